"""HTTP server of the fakes of external systems.

A fake must be able to fail as a real server may: close a connection in the
middle of a response. So the handlers write to cheroot's request themselves, and
`cut_connection` closes a connection without a response or an end marker.
"""

from collections.abc import Callable
import select
import socket
import threading
import time
import urllib.parse

import cheroot.server
import msgspec

LISTEN_BACKLOG = 512
SHUTDOWN_TIMEOUT_SECONDS = 5
POLL_INTERVAL_SECONDS = 0.05
# Bytes that are written at once to a caller on a slow link.
SLOW_PIECE_BYTES = 4096
JSON = b"application/json"
EVENT_STREAM = b"text/event-stream"

RequestHandler = Callable[[cheroot.server.HTTPRequest], None]


class HandlerGateway(cheroot.server.Gateway):
    """Passes each request to the handler of its server."""

    def respond(self) -> None:
        """Answers one request; a malformed one with status 400."""
        try:
            self.req.server.handle(self.req)
        except (msgspec.MsgspecError, KeyError, ValueError):
            if self.req.sent_headers:
                raise
            send_response(self.req, b"{}", status=400)


class ReusingServer(cheroot.server.HTTPServer):
    """A server whose port can be bound again at once after it has closed.

    Cheroot leaves SO_REUSEADDR off for a port that the system picked, so a
    restart on it fails with "address in use" for as long as connections of
    the previous server are in TIME_WAIT. Connections inherit the option from
    the listening socket. It is set only after binding, so that it can't take
    over a port that is in use.
    """

    @staticmethod
    def bind_socket(socket_, bind_addr):
        """Binds the socket, then sets SO_REUSEADDR for later binds."""
        socket_.bind(bind_addr)
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return socket_


class HttpServer:
    """A cheroot server that runs in its own thread.

    It can be started again on the same port after `close`, as a restarted
    peer would be.

    Attributes:
        host: address to listen at.
        port: port to listen at; 0 until the first start picks a free one.
        threads: number of requests handled concurrently.
    """

    def __init__(
        self, *, handle: RequestHandler, host: str, port: int, threads: int
    ):
        self.handle = handle
        self.host = host
        self.port = port
        self.threads = threads
        self.http = None
        self.thread = None
        self._changing = threading.Lock()

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.host}:{self.port}"

    def start(self) -> None:
        """Binds the port and serves."""
        with self._changing:
            http = ReusingServer(
                (self.host, self.port), HandlerGateway, minthreads=self.threads
            )
            http.handle = self.handle
            http.request_queue_size = LISTEN_BACKLOG
            http.shutdown_timeout = SHUTDOWN_TIMEOUT_SECONDS
            http.expiration_interval = POLL_INTERVAL_SECONDS
            http.keep_alive_conn_limit = 1000
            http.prepare()
            self.http = http
            self.port = http.bind_addr[1]
            self.thread = threading.Thread(
                target=http.serve, name=f"fake-{self.port}"
            )
            self.thread.start()

    def close(self) -> None:
        """Stops listening and closes all connections.

        It may be called in several threads, also while it starts; each returns
        when it is closed.
        """
        with self._changing:
            if self.http is None:
                return
            self.http.stop()
            self.thread.join()
            self.http = None
            self.thread = None

    def is_listening(self) -> bool:
        """Returns whether connections are accepted."""
        http = self.http
        return http is not None and http.socket is not None


def read_body(request: cheroot.server.HTTPRequest) -> bytes:
    """Returns the complete body of a request."""
    return request.rfile.read()


def path_of(request: cheroot.server.HTTPRequest) -> str:
    """Returns the path of a request, without its query."""
    return request.path.decode("ascii")


def begin_response(
    request: cheroot.server.HTTPRequest,
    status: int,
    headers: list[tuple[bytes, bytes]],
) -> None:
    """Sends status line and headers; the body may follow in parts."""
    request.status = b"%d status" % status
    request.outheaders = headers
    request.send_headers()
    request.sent_headers = True


def end_with_connection(
    request: cheroot.server.HTTPRequest, headers: list[tuple[bytes, bytes]]
) -> None:
    """Delimits the body by closing the connection instead of by chunks."""
    # Cheroot sends bodies of unknown length in chunks, except over HTTP/1.0.
    request.response_protocol = "HTTP/1.0"
    headers.append((b"Connection", b"close"))


def send_response(
    request: cheroot.server.HTTPRequest,
    body: bytes,
    status: int = 200,
    headers: list[tuple[bytes, bytes]] | None = None,
    bytes_per_second: float = 0.0,
) -> None:
    """Sends a complete response, as JSON unless headers are given.

    Args:
        request: the request.
        body: the whole body.
        status: HTTP status.
        headers: names and values.
        bytes_per_second: bandwidth of the caller's link; 0 for no limit.
    """
    all_headers = list(headers or [(b"Content-Type", JSON)])
    all_headers.append((b"Content-Length", b"%d" % len(body)))
    begin_response(request, status, all_headers)
    if request.method == b"HEAD":
        return
    if not bytes_per_second:
        request.conn.wfile.write(body)
        return
    for start in range(0, len(body), SLOW_PIECE_BYTES):
        piece = body[start : start + SLOW_PIECE_BYTES]
        time.sleep(len(piece) / bytes_per_second)
        request.conn.wfile.write(piece)


def encode_response(
    status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Returns the bytes of a complete response."""
    lines = [b"HTTP/1.1 %d status" % status]
    lines += [b"%b: %b" % pair for pair in headers]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def cut_connection(request: cheroot.server.HTTPRequest) -> None:
    """Closes the connection at once, without a response or an end marker."""
    request.sent_headers = True
    request.chunked_write = False
    request.close_connection = True
    cut_socket(request.conn.socket)


def cut_socket(connection: socket.socket) -> None:
    """Shuts a socket down, from any thread; its owner closes it."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer closed it first; the connection is down either way.
        pass


def query_of(request: cheroot.server.HTTPRequest) -> dict[str, str]:
    """Returns the query's fields; a repeated field has its last value."""
    return dict(urllib.parse.parse_qsl(request.qs.decode("ascii")))


def is_disconnected(connection: socket.socket) -> bool:
    """Returns whether the caller has closed its connection."""
    readable, _, _ = select.select([connection], [], [], 0)
    if not readable:
        return False
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
