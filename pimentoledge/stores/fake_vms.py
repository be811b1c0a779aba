"""In-memory fake of the platform's lagging list of VMs."""

import threading
import time

import attrs

from pimentoledge.stores import vms


class FakeVmList:
    """A list of VMs that shows each change after a delay of `lag` seconds.

    Attributes:
        lag: delay of each change in seconds.
        down: whether the list can't be read.
        clock: returns the time in seconds.
        history: (time, VMs by name from then on), oldest first.
    """

    def __init__(self, *, lag: float = 0.0, clock=time.monotonic):
        self.lag = lag
        self.down = False
        self.clock = clock
        self.lock = threading.Lock()
        self.history: list[tuple[float, dict[str, vms.Vm]]] = []

    def put(self, vm: vms.Vm) -> None:
        """Adds a VM or replaces the one of this name."""
        with self.lock:
            self._append({**self._latest(), vm.name: vm})

    def mark_leaving(self, name: str) -> None:
        """Marks a VM as leaving."""
        with self.lock:
            latest = self._latest()
            leaving = attrs.evolve(latest[name], state=vms.VmState.LEAVING)
            self._append({**latest, name: leaving})

    def remove(self, name: str) -> None:
        """Removes a VM."""
        with self.lock:
            latest = self._latest()
            remaining = {key: vm for key, vm in latest.items() if key != name}
            self._append(remaining)

    def lagged_list(self) -> list[vms.Vm]:
        """Returns the list as it was `lag` seconds ago."""
        with self.lock:
            listed: dict[str, vms.Vm] = {}
            latest_time = self.clock() - self.lag
            for when, state in self.history:
                if when <= latest_time:
                    listed = state
            return list(listed.values())

    def _latest(self) -> dict[str, vms.Vm]:
        return self.history[-1][1] if self.history else {}

    def _append(self, state: dict[str, vms.Vm]) -> None:
        self.history.append((self.clock(), state))
