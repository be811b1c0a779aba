"""The HTTP server for callers."""

from collections.abc import Callable
import itertools
import secrets
import socket
import threading

from cheroot import server
import logbook

from pimentoledge import http_servers
from pimentoledge.callers import gateways
from pimentoledge.callers import replies
from pimentoledge.callers import request_bodies
from pimentoledge.callers import writers
from pimentoledge.decisions import events

# A thread that serves a stream uses a dozen small frames; the default of 8 MiB
# of address space per thread would exceed the limits of a small VM.
THREAD_STACK_BYTES = 256 * 1024
# Threads for health checks and rejections, in addition to those of requests.
SPARE_THREADS = 8
# Idle timeout of persistent connections. It exceeds the balancer's, so that the
# balancer closes first and never sends a request on a closing connection.
KEEP_ALIVE_SECONDS = 75.0
MAX_HEADER_BYTES = 64 * 1024
# Receive buffer of a connection, which the kernel would let grow to many MB.
RECEIVE_BUFFER_BYTES = 64 * 1024
_LISTEN_BACKLOG = 1024
_SHUTDOWN_SECONDS = 5.0

_log = logbook.Logger("callers")


class _Server(http_servers.BoundedServer, server.HTTPServer):
    """The HTTP library's server, configured with the limits for callers."""

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

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Logs the messages of the HTTP library."""
        _log.warning("http server: {}", msg, exc_info=traceback)


class CallerServer:
    """Serves callers, with one thread per open request.

    Attributes:
        listen: address as IP:PORT; port 0 selects a free port.
        max_open_requests: maximum number of concurrent requests.
        max_body_bytes: maximum size of a body.
        bodies: counts the bodies of all requests.
        send_buffer_bytes: bytes of a response that the kernel may buffer for
            a slow caller, in addition to those in its ReplyQueue.
        submit: passes a request to the core and returns its ReplyQueue.
        on_caller_left: notifies the core that a request's caller
            disconnected.
        list_models: returns the models that the digest of an API key may
            use; None for an unknown key.
        is_ready: whether the balancer should send callers to this entry.
        writer: sends the streams.
        address: the bound address, once started.
    """

    def __init__(
        self,
        *,
        listen: str,
        max_open_requests: int,
        max_body_bytes: int,
        body_memory_bytes: int,
        send_buffer_bytes: int,
        submit: Callable[[events.CallerRequest], replies.ReplyQueue],
        on_caller_left: Callable[[str], None],
        list_models: Callable[[str], list[str] | None],
        is_ready: Callable[[], bool],
    ):
        self.listen = listen
        self.max_open_requests = max_open_requests
        self.max_body_bytes = max_body_bytes
        self.bodies = request_bodies.BodyBudget(
            bound=max(body_memory_bytes, max_body_bytes)
        )
        self.send_buffer_bytes = send_buffer_bytes
        self.submit = submit
        self.on_caller_left = on_caller_left
        self.list_models = list_models
        self.is_ready = is_ready
        self.address = ""
        self._id_prefix = secrets.token_hex(8)
        self._request_numbers = itertools.count(1)
        self._request_slots = threading.Semaphore(max_open_requests)
        self.writer = writers.StreamWriter()
        self._server: _Server | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Binds the address and starts the serving threads."""
        self.writer.start()
        host, _, port = self.listen.rpartition(":")
        self._server = _Server(caller_server=self, bind=(host, int(port)))
        previous_stack_bytes = threading.stack_size(THREAD_STACK_BYTES)
        try:
            self._server.prepare()
            self._thread = threading.Thread(
                target=self._server.serve, name="serve"
            )
            self._thread.start()
        finally:
            threading.stack_size(previous_stack_bytes)
        # Accepted sockets inherit the sizes. By default the kernel would buffer
        # some megabytes for each caller that doesn't read.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer_bytes // 2
        )
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        host, port = self._server.bind_addr
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops accepting, waits briefly for open requests and ends them."""
        if self._server is not None:
            self._server.stop()
        self.writer.close()
        if self._thread is not None:
            self._thread.join()

    def open_request(self) -> bool:
        """Reserves a slot for a request; returns False if none is free."""
        return self._request_slots.acquire(blocking=False)

    def close_request(self) -> None:
        """Releases the slot reserved by `open_request`."""
        self._request_slots.release()

    def on_request_read(self, conn: server.HTTPConnection) -> None:
        """Ends the time limit for reading a request from a connection."""
        self._server.on_request_read(conn)

    def new_request_id(self) -> str:
        """Returns an id that is unique among all entries."""
        return f"{self._id_prefix}-{next(self._request_numbers)}"

    @property
    def read_started_at(self) -> dict[server.HTTPConnection, float]:
        """Start time of each connection's request that is being read."""
        return self._server.read_started_at

    def _end_slow_requests(self, latest_start: float) -> None:
        self._server.end_slow_requests(latest_start)
