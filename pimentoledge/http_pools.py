"""HTTP connections that can be cut while another thread waits on them."""

import socket

import urllib3
from urllib3 import connection
from urllib3 import connectionpool

# Timeout of pools that are created without one.
DEFAULT_TIMEOUT_SECONDS = 30.0


class HttpPool(urllib3.PoolManager):
    """A connection pool without retries, whose connections `cut` closes.

    A thread that waits for a response has taken its connection out of the
    pool, so clearing the pool would leave it waiting until its timeout and
    delay the exit of the process by as much.

    Attributes:
        connections: the open connections.
        is_cut: whether the pool was cut; new connections then fail.
        reuses: whether connections carry further requests. A server may answer
            a request again, and late, where the next response is due; this is
            noticed only if responses tell to which request they belong.
    """

    def __init__(
        self,
        *,
        size: int,
        timeout: float | urllib3.Timeout = DEFAULT_TIMEOUT_SECONDS,
        reuses: bool = True,
    ):
        super().__init__(retries=False, maxsize=size, timeout=timeout)
        self.connections: set[connection.HTTPConnection] = set()
        self.is_cut = False
        self.reuses = reuses
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

            def _put_conn(self, conn):
                if conn is not None and not pool.reuses:
                    # The pool opens it again for the next request.
                    conn.close()
                super()._put_conn(conn)

        self.pool_classes_by_scheme = {"http": TrackedPool}

    def track(self, opened: connection.HTTPConnection) -> None:
        """Records an open connection; cuts it if the pool is already cut."""
        self.connections.add(opened)
        if self.is_cut:
            _cut(opened)

    def cut(self) -> None:
        """Shuts all connections down; threads that wait on one get an error."""
        self.is_cut = True
        for each in list(self.connections):
            _cut(each)
        self.clear()


def _cut(opened: connection.HTTPConnection) -> None:
    connected = opened.sock
    if connected is None:
        return
    try:
        connected.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Already closed by its peer or by the thread that used it.
        return
