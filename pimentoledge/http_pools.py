"""HTTP connections that can be cut while another thread waits on them."""

import socket

import urllib3
from urllib3 import connection
from urllib3 import connectionpool

# For calls that name no timeout of their own.
DEFAULT_SECONDS = 30.0


class HttpPool(urllib3.PoolManager):
    """A pool of connections, without retries, that `cut` ends.

    A thread that waits for an answer holds its connection outside the pool,
    so clearing the pool would leave it waiting until its timeout and delay
    the end of the process by as much.

    Attributes:
        connections: connections that are open.
        cutting: whether the pool was cut; a new connection then fails.
    """

    def __init__(
        self,
        *,
        size: int,
        timeout: float | urllib3.Timeout = DEFAULT_SECONDS,
    ):
        super().__init__(retries=False, maxsize=size, timeout=timeout)
        self.connections: set[connection.HTTPConnection] = set()
        self.cutting = False
        pool = self

        class TrackedConnection(connection.HTTPConnection):

            def connect(self):
                super().connect()
                pool.track(self)

            def close(self):
                pool.connections.discard(self)
                super().close()

        class TrackedPool(connectionpool.HTTPConnectionPool):
            ConnectionCls = TrackedConnection

        self.pool_classes_by_scheme = {"http": TrackedPool}

    def track(self, opened: connection.HTTPConnection) -> None:
        """Notes an open connection; cuts it if it came too late."""
        self.connections.add(opened)
        if self.cutting:
            _cut(opened)

    def cut(self) -> None:
        """Ends every connection; whoever waits on one gets an error."""
        self.cutting = True
        for each in list(self.connections):
            _cut(each)
        self.clear()


def _cut(each: connection.HTTPConnection) -> None:
    opened = each.sock
    if opened is None:
        return
    try:
        opened.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Already closed by its peer or by the thread that used it.
        return
