"""Runs calls to the object API outside the state machine's thread."""

from collections.abc import Callable
from concurrent import futures

from pimentoledge.decisions import stores
from pimentoledge.stores import objects

# Enough for a few watches, which block their thread, and short calls.
THREADS = 8


class StoreTask:
    """Makes calls on a thread pool and delivers their answers as events.

    Attributes:
        client: the object API's client.
        deliver: called with each stores.StoreAnswer, from another thread.
    """

    def __init__(
        self,
        *,
        client: objects.ObjectClient,
        deliver: Callable[[object], None],
    ):
        self.client = client
        self.deliver = deliver
        self.pool = futures.ThreadPoolExecutor(
            max_workers=THREADS, thread_name_prefix="store"
        )

    def start(self) -> None:
        """Opens the client."""
        self.client.start()

    def call(self, call: stores.Call) -> None:
        """Queues a call; its answer is delivered later."""
        self.pool.submit(self.run, call)

    def run(self, call: stores.Call) -> None:
        """Makes one call and delivers its answer."""
        self.deliver(self.client.call(call))

    def close(self) -> None:
        """Closes the client, drops queued calls and waits for running ones."""
        self.client.close()
        self.pool.shutdown(wait=True, cancel_futures=True)
