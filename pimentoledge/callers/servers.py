"""The HTTP server for callers."""

from collections.abc import Callable
import itertools
import secrets
import socket
import threading
import time

from cheroot import server
import logbook

from pimentoledge.callers import gateways
from pimentoledge.callers import replies
from pimentoledge.callers import writers
from pimentoledge.decisions import events

# A thread that serves a stream runs a dozen small frames; the default of 8 MiB
# of address space for each would pass the limits of a small VM.
STACK_BYTES = 256 * 1024
# Threads beyond those of open requests: for health checks and refusals.
SPARE_THREADS = 8
# Longest wait for the next byte from or to a caller.
SOCKET_SECONDS = 10.0
# Longest time for the whole of a request to arrive.
READ_SECONDS = 30.0
# How long a kept connection may stay idle; longer than a balancer keeps one,
# so that the balancer closes it first and sends nothing into a closing one.
IDLE_SECONDS = 75.0
MAX_HEAD_BYTES = 64 * 1024
_LISTEN_QUEUE = 1024
_CLOSE_SECONDS = 5.0
_WATCH_SECONDS = 1.0

_log = logbook.Logger("callers")


class _Connection(server.HTTPConnection):
    """A caller's connection, watched while a request is read from it."""

    seen = False

    def communicate(self) -> bool:
        self.socket.settimeout(SOCKET_SECONDS)
        self.server.owner.reading[self] = time.monotonic()
        try:
            return super().communicate()
        finally:
            self.server.owner.reading_done(self)


class _Server(server.HTTPServer):
    """The HTTP library's server with the limits that callers meet."""

    ConnectionClass = _Connection
    max_request_header_size = MAX_HEAD_BYTES
    request_queue_size = _LISTEN_QUEUE
    timeout = IDLE_SECONDS
    shutdown_timeout = _CLOSE_SECONDS

    def __init__(self, *, owner: "CallerServer", bind: tuple[str, int]):
        threads = owner.threads + SPARE_THREADS
        super().__init__(
            bind,
            gateways.CallerGateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="pimentoledge",
        )
        self.owner = owner
        self.keep_alive_conn_limit = 2 * threads

    def process_conn(self, conn: server.HTTPConnection) -> None:
        """Gives a connection to a thread once there is something to read.

        A connection on which nothing is sent would otherwise hold a thread
        until its timeout, and a few hundred of them the whole entry.
        """
        if getattr(conn, "seen", True):
            super().process_conn(conn)
        else:
            conn.seen = True
            self.put_conn(conn)

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Writes the library's messages to the log."""
        _log.warning("http server: {}", msg, exc_info=traceback)


class CallerServer:
    """Serves callers; each open request has a thread of its own.

    Attributes:
        listen: address as IP:PORT; port 0 takes a free one.
        threads: requests served at one time.
        max_body_bytes: largest body.
        buffer_bytes: bytes of an answer that the kernel may keep for a slow
            caller, beside those that its ReplyQueue keeps.
        submit: hands a request to the core and returns its ReplyQueue.
        on_caller_left: tells the core that a request's caller went away.
        models: models that an API key's digest may use; None for no such key.
        ready: whether the balancer should send callers here.
        writer: sends the streams.
        reading: connections a request is being read from, and since when.
        address: the address bound, once started.
    """

    def __init__(
        self,
        *,
        listen: str,
        threads: int,
        max_body_bytes: int,
        buffer_bytes: int,
        submit: Callable[[events.CallerRequest], replies.ReplyQueue],
        on_caller_left: Callable[[str], None],
        models: Callable[[str], list[str] | None],
        ready: Callable[[], bool],
    ):
        self.listen = listen
        self.threads = threads
        self.max_body_bytes = max_body_bytes
        self.buffer_bytes = buffer_bytes
        self.submit = submit
        self.on_caller_left = on_caller_left
        self.models = models
        self.ready = ready
        self.reading: dict[server.HTTPConnection, float] = {}
        self.address = ""
        self._prefix = secrets.token_hex(8)
        self._numbers = itertools.count(1)
        self._open = threading.Semaphore(threads)
        self._closing = threading.Event()
        self.writer = writers.StreamWriter()
        self._server: _Server | None = None
        self._tasks: list[threading.Thread] = []

    def start(self) -> None:
        """Binds the address and serves from threads of its own."""
        self.writer.start()
        host, _, port = self.listen.rpartition(":")
        self._server = _Server(owner=self, bind=(host, int(port)))
        before = threading.stack_size(STACK_BYTES)
        try:
            self._server.prepare()
            self._start_tasks()
        finally:
            threading.stack_size(before)
        # Accepted sockets inherit it. Left to itself, the kernel would keep
        # some megabytes for each caller that doesn't read.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self.buffer_bytes // 2
        )
        host, port = self._server.bind_addr
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops accepting, waits a little for open requests, and ends them."""
        self._closing.set()
        if self._server is not None:
            self._server.stop()
        self.writer.close()
        for task in self._tasks:
            task.join()
        self._tasks.clear()

    def open_request(self) -> bool:
        """Returns whether one more request may be served now."""
        return self._open.acquire(blocking=False)

    def close_request(self) -> None:
        """Says that a request admitted by open_request has ended."""
        self._open.release()

    def reading_done(self, conn: server.HTTPConnection) -> None:
        """Says that a whole request was read from a connection."""
        self.reading.pop(conn, None)

    def new_request_id(self) -> str:
        """Returns an id that no entry has used or will use."""
        return f"{self._prefix}-{next(self._numbers)}"

    def _start_tasks(self) -> None:
        for target in (self._server.serve, self._watch):
            task = threading.Thread(target=target, name=target.__name__)
            task.start()
            self._tasks.append(task)

    def _watch(self) -> None:
        while not self._closing.wait(_WATCH_SECONDS):
            self._end_late(time.monotonic() - READ_SECONDS)

    def _end_late(self, before: float) -> None:
        """Ends requests that began to arrive too long ago.

        A caller that sends a byte now and then never meets the timeout of
        its socket, and would hold a thread for hours. The reading thread
        then sees the end of the connection and answers that.
        """
        for conn, since in list(self.reading.items()):
            if since < before and self.reading.pop(conn, None) is not None:
                try:
                    conn.socket.shutdown(socket.SHUT_RD)
                except OSError:
                    pass
