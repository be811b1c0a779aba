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
THREAD_STACK_BYTES = 256 * 1024
# Threads beyond those of open requests: for health checks and refusals.
SPARE_THREADS = 8
# Longest wait for the next byte from or to a caller.
SOCKET_TIMEOUT_SECONDS = 10.0
# Longest time for the whole of a request to arrive.
REQUEST_READ_SECONDS = 30.0
# How long a kept connection may stay idle; longer than a balancer keeps one,
# so that the balancer closes it first and sends nothing into a closing one.
KEEP_ALIVE_SECONDS = 75.0
MAX_HEADER_BYTES = 64 * 1024
_LISTEN_BACKLOG = 1024
_SHUTDOWN_SECONDS = 5.0
_READ_CHECK_SECONDS = 1.0

_log = logbook.Logger("callers")


class _Connection(server.HTTPConnection):
    """A caller's connection, watched while a request is read from it."""

    waited_for_data = False

    def communicate(self) -> bool:
        self.socket.settimeout(SOCKET_TIMEOUT_SECONDS)
        self.server.caller_server.read_started_at[self] = time.monotonic()
        try:
            return super().communicate()
        finally:
            self.server.caller_server.on_request_read(self)


class _Server(server.HTTPServer):
    """The HTTP library's server with the limits that callers meet."""

    ConnectionClass = _Connection
    max_request_header_size = MAX_HEADER_BYTES
    request_queue_size = _LISTEN_BACKLOG
    timeout = KEEP_ALIVE_SECONDS
    shutdown_timeout = _SHUTDOWN_SECONDS

    def __init__(self, *, caller_server: "CallerServer", bind: tuple[str, int]):
        threads = caller_server.max_open_requests + SPARE_THREADS
        super().__init__(
            bind,
            gateways.CallerGateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="pimentoledge",
        )
        self.caller_server = caller_server
        self.keep_alive_conn_limit = 2 * threads

    def process_conn(self, conn: server.HTTPConnection) -> None:
        """Gives a connection to a thread once there is something to read.

        A connection on which nothing is sent would otherwise hold a thread
        until its timeout, and a few hundred of them the whole entry.
        """
        if getattr(conn, "waited_for_data", True):
            super().process_conn(conn)
        else:
            conn.waited_for_data = True
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
        max_open_requests: int,
        max_body_bytes: int,
        send_buffer_bytes: int,
        submit: Callable[[events.CallerRequest], replies.ReplyQueue],
        on_caller_left: Callable[[str], None],
        list_models: Callable[[str], list[str] | None],
        is_ready: Callable[[], bool],
    ):
        self.listen = listen
        self.max_open_requests = max_open_requests
        self.max_body_bytes = max_body_bytes
        self.send_buffer_bytes = send_buffer_bytes
        self.submit = submit
        self.on_caller_left = on_caller_left
        self.list_models = list_models
        self.is_ready = is_ready
        self.read_started_at: dict[server.HTTPConnection, float] = {}
        self.address = ""
        self._id_prefix = secrets.token_hex(8)
        self._request_numbers = itertools.count(1)
        self._request_slots = threading.Semaphore(max_open_requests)
        self._closing = threading.Event()
        self.writer = writers.StreamWriter()
        self._server: _Server | None = None
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Binds the address and serves from threads of its own."""
        self.writer.start()
        host, _, port = self.listen.rpartition(":")
        self._server = _Server(caller_server=self, bind=(host, int(port)))
        previous_stack_bytes = threading.stack_size(THREAD_STACK_BYTES)
        try:
            self._server.prepare()
            self._start_threads()
        finally:
            threading.stack_size(previous_stack_bytes)
        # Accepted sockets inherit it. Left to itself, the kernel would keep
        # some megabytes for each caller that doesn't read.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer_bytes // 2
        )
        host, port = self._server.bind_addr
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops accepting, waits a little for open requests, and ends them."""
        self._closing.set()
        if self._server is not None:
            self._server.stop()
        self.writer.close()
        for thread in self._threads:
            thread.join()
        self._threads.clear()

    def open_request(self) -> bool:
        """Returns whether one more request may be served now."""
        return self._request_slots.acquire(blocking=False)

    def close_request(self) -> None:
        """Says that a request admitted by open_request has ended."""
        self._request_slots.release()

    def on_request_read(self, conn: server.HTTPConnection) -> None:
        """Says that a whole request was read from a connection."""
        self.read_started_at.pop(conn, None)

    def new_request_id(self) -> str:
        """Returns an id that no entry has used or will use."""
        return f"{self._id_prefix}-{next(self._request_numbers)}"

    def _start_threads(self) -> None:
        for target in (self._server.serve, self._watch):
            thread = threading.Thread(target=target, name=target.__name__)
            thread.start()
            self._threads.append(thread)

    def _watch(self) -> None:
        while not self._closing.wait(_READ_CHECK_SECONDS):
            self._end_slow_requests(time.monotonic() - REQUEST_READ_SECONDS)

    def _end_slow_requests(self, latest_start: float) -> None:
        """Ends requests that began to arrive too long ago.

        A caller that sends a byte now and then never meets the timeout of
        its socket, and would hold a thread for hours. The reading thread
        then sees the end of the connection and answers that.
        """
        for conn, started_at in list(self.read_started_at.items()):
            if (
                started_at < latest_start
                and self.read_started_at.pop(conn, None) is not None
            ):
                try:
                    conn.socket.shutdown(socket.SHUT_RD)
                except OSError:
                    pass
