"""The platform's lagging list of VMs in memory."""

import threading
import time

import attrs

from pimentoledge.stores import vms


class FakeVmList:
    """A list that shows each change only `lag` seconds after it happened.

    Attributes:
        lag: seconds by which the list is late.
        down: whether the list can't be read.
        clock: returns the time in seconds.
        history: (time, list from then on), oldest first.
    """

    def __init__(self, *, lag: float = 0.0, clock=time.monotonic):
        self.lag = lag
        self.down = False
        self.clock = clock
        self.lock = threading.Lock()
        self.history: list[tuple[float, dict[str, vms.Vm]]] = []

    def put(self, vm: vms.Vm) -> None:
        """Adds a VM or changes it."""
        with self.lock:
            self._change({**self._newest(), vm.name: vm})

    def leave(self, name: str) -> None:
        """Marks a VM as leaving."""
        with self.lock:
            newest = self._newest()
            leaving = attrs.evolve(newest[name], state=vms.VmState.LEAVING)
            self._change({**newest, name: leaving})

    def remove(self, name: str) -> None:
        """Takes a VM out."""
        with self.lock:
            newest = self._newest()
            kept = {key: vm for key, vm in newest.items() if key != name}
            self._change(kept)

    def lagged_list(self) -> list[vms.Vm]:
        """Returns the list as it was `lag` seconds ago."""
        with self.lock:
            shown: dict[str, vms.Vm] = {}
            horizon = self.clock() - self.lag
            for when, state in self.history:
                if when <= horizon:
                    shown = state
            return list(shown.values())

    def _newest(self) -> dict[str, vms.Vm]:
        return self.history[-1][1] if self.history else {}

    def _change(self, state: dict[str, vms.Vm]) -> None:
        self.history.append((self.clock(), state))
