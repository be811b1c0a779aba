"""HTTP servers with threads that slow and silent clients can't fill."""

import socket
import threading
import time

from cheroot import server

from pimentoledge import descriptors

# Part of the process's descriptors that connections of one server may take.
# Requests of callers need further ones, to agents or other processes.
CONNECTION_SHARE = 0.45
# Number by which it may be exceeded until connections that were ended for new
# ones are closed, as a part.
ENDING_SHARE = 0.1
# Maximum wait for the next byte from or to a client.
SOCKET_TIMEOUT_SECONDS = 10.0
# Maximum time for a complete request to arrive, and the same while requests
# wait for a thread.
REQUEST_READ_SECONDS = 30.0
CROWDED_READ_SECONDS = 2.0
_READ_CHECK_SECONDS = 1.0


class Connection(server.HTTPConnection):
    """A connection that records when reading a request began.

    Attributes:
        waited_for_data: whether it had data to read when a thread got it.
        ended_for_others: whether its reading was ended since requests of
            others wait for a thread.
    """

    waited_for_data = False
    ended_for_others = False

    def communicate(self) -> bool:
        """Serves one request."""
        self.socket.settimeout(SOCKET_TIMEOUT_SECONDS)
        self.server.read_started_at[self] = time.monotonic()
        try:
            return super().communicate()
        finally:
            self.server.on_request_read(self)

    def shut_down(self, how: int) -> None:
        """Ends a direction of the connection; any thread may call it.

        Args:
            how: as for socket.shutdown.
        """
        try:
            self.socket.shutdown(how)
        except OSError:
            # The client has left.
            pass

    def close(self) -> None:
        """Closes the connection, which frees its place."""
        self.server.open_connections.pop(self, None)
        super().close()


class BoundedServer:
    """Extends a server of the HTTP library; comes before it in the bases.

    Attributes:
        read_started_at: start time of each connection's request that is being
            read.
        open_connections: open connections, oldest first, and whether each is
            idle.
        max_connection_share: part of the descriptors that connections take.
    """

    ConnectionClass = Connection
    max_connection_share = CONNECTION_SHARE

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.read_started_at: dict[server.HTTPConnection, float] = {}
        self.open_connections: dict[server.HTTPConnection, bool] = {}
        self._closing = threading.Event()
        self._watcher = threading.Thread(target=self._watch, name="_watch")

    def prepare(self) -> None:
        """Binds the address and starts the threads."""
        super().prepare()
        self._watcher.start()

    def stop(self) -> None:
        """Stops serving."""
        self._closing.set()
        super().stop()
        if self._watcher.is_alive():
            self._watcher.join()

    def process_conn(self, conn: server.HTTPConnection) -> None:
        """Passes a connection to a thread once it has data to read.

        Otherwise a silent connection would occupy a thread until its timeout,
        and a few hundred of them would block the whole server.
        """
        if getattr(conn, "waited_for_data", True):
            self.open_connections[conn] = False
            super().process_conn(conn)
            return
        conn.waited_for_data = True
        if self._has_room():
            self.put_conn(conn)
        else:
            conn.close()

    def put_conn(self, conn: server.HTTPConnection) -> None:
        """Waits until a connection has data to read."""
        # Put again at the end: the one that is idle for longest comes first.
        self.open_connections.pop(conn, None)
        self.open_connections[conn] = True
        super().put_conn(conn)

    def _has_room(self) -> bool:
        """Returns whether a new connection may stay.

        At the limit the connection that is idle for longest is ended for it.
        """
        maximum = self.max_connection_share * descriptors.allowed()
        count = len(self.open_connections)
        if count < maximum:
            return True
        for conn, idle in list(self.open_connections.items()):
            if idle:
                self.open_connections[conn] = False
                conn.shut_down(socket.SHUT_RDWR)
                return count < (1 + ENDING_SHARE) * maximum
        return False

    def on_request_read(self, conn: server.HTTPConnection) -> None:
        """Ends the time limit for reading a request from a connection."""
        self.read_started_at.pop(conn, None)

    def _watch(self) -> None:
        while not self._closing.wait(_READ_CHECK_SECONDS):
            now = time.monotonic()
            self.end_slow_requests(now - REQUEST_READ_SECONDS)
            if self.requests.qsize:
                self.end_slow_requests(
                    now - CROWDED_READ_SECONDS, for_others=True
                )

    def end_slow_requests(
        self, latest_start: float, *, for_others: bool = False
    ) -> None:
        """Ends reading of requests that started before a given time.

        A client that sends a byte now and then never triggers the timeout of
        its socket and would occupy a thread for hours. Shutting down the
        receiving side lets the reading thread respond with an error.

        Args:
            latest_start: time in seconds of time.monotonic.
            for_others: whether they may begin again later.
        """
        for conn, started_at in list(self.read_started_at.items()):
            if (
                started_at < latest_start
                and self.read_started_at.pop(conn, None) is not None
            ):
                conn.ended_for_others = for_others
                conn.shut_down(socket.SHUT_RD)
