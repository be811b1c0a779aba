"""Polls the platform's list of VMs and delivers it."""

from collections.abc import Callable
import threading

import logbook
from returns import result

from pimentoledge.decisions import events
from pimentoledge.stores import vms

logger = logbook.Logger("vms")


class VmTask:
    """Polls the list of VMs on a thread.

    Attributes:
        client: the list's client.
        interval_seconds: time between two reads.
        deliver: called with each events.VmsListed, from the task's thread.
    """

    def __init__(
        self,
        *,
        client: vms.VmListClient,
        interval_seconds: float,
        deliver: Callable[[object], None],
    ):
        self.client = client
        self.interval_seconds = interval_seconds
        self.deliver = deliver
        self.closing = threading.Event()
        self.thread = threading.Thread(target=self.run, name="vms")

    def start(self) -> None:
        """Opens the client and starts the thread."""
        self.client.start()
        self.thread.start()

    def close(self) -> None:
        """Stops the thread; aborts a read in progress."""
        self.closing.set()
        self.client.close()
        self.thread.join()

    def run(self) -> None:
        """Reads the list at each interval until closed."""
        while not self.closing.is_set():
            match self.client.read():
                case result.Success(listed):
                    self.deliver(_vms_listed(listed))
                case result.Failure(error) if not self.closing.is_set():
                    # The last list stays in use: a failed read gives no
                    # information about any VM.
                    logger.info("{}", error.text)
            self.closing.wait(self.interval_seconds)


def _vms_listed(listed: list[vms.Vm]) -> events.VmsListed:
    return events.VmsListed(
        vms=[
            events.ListedVm(
                address=each.address,
                leaving=each.state is vms.VmState.LEAVING,
            )
            for each in listed
        ]
    )
