"""Follows a part of the object API and delivers every change."""

from collections.abc import Callable
import itertools
import threading

from pimentoledge.decisions import stores
from pimentoledge.platform import objects

WATCH_SECONDS = 20.0
# Wait before asking a store again that did not answer.
RETRY_SECONDS = 0.5


class Watcher:
    """A task that scans once and then watches.

    Attributes:
        client: the object API's client; this task's own.
        prefix: which objects.
        deliver: called with each stores.Answer, from the task's thread.
        version: up to which revision everything was delivered.
    """

    def __init__(
        self,
        *,
        client: objects.ObjectClient,
        prefix: str,
        deliver: Callable[[object], None],
    ):
        self.client = client
        self.prefix = prefix
        self.deliver = deliver
        self.version = 0
        self.closing = threading.Event()
        self.numbers = itertools.count()
        self.thread = threading.Thread(target=self.run, name="watcher")

    def start(self) -> None:
        """Starts to follow."""
        self.client.start()
        self.thread.start()

    def close(self) -> None:
        """Stops; a watch that waits is cut."""
        self.closing.set()
        self.client.close()
        self.thread.join()

    def run(self) -> None:
        """Scans, then watches, until closed."""
        while not self.closing.is_set():
            answer = self.client.call(self.next_call())
            match answer.outcome:
                case stores.Outcome.FOUND | stores.Outcome.ABSENT:
                    self.version = max(self.version, answer.version)
                    self.deliver(answer)
                case _:
                    self.closing.wait(RETRY_SECONDS)

    def next_call(self) -> stores.Call:
        """Returns the next call to make."""
        call = f"{self.prefix}{next(self.numbers)}"
        if self.version == 0:
            return stores.Scan(call=call, prefix=self.prefix)
        return stores.Watch(
            call=call,
            prefix=self.prefix,
            after=self.version,
            seconds=WATCH_SECONDS,
        )
