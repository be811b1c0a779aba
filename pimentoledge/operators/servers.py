"""The HTTP server for operators, metrics and health checks."""

from collections import abc
import threading
import traceback
import urllib.parse

import attrs
from cheroot import server
from cheroot import wsgi
import logbook

from pimentoledge import http_servers

logger = logbook.Logger("operators")

THREADS = 8
MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
SHUTDOWN_SECONDS = 2.0
# Part of the process's descriptors that operators' connections may take.
CONNECTION_SHARE = 0.1
JSON_TYPE = "application/json"
_REASON_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    412: "Precondition Failed",
    413: "Content Too Large",
    428: "Precondition Required",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@attrs.define(kw_only=True)
class PageRequest:
    """A request passed to a page.

    Attributes:
        method: HTTP method.
        path: path without the query.
        query: query parameters by name; the last value if one is repeated.
        headers: header values by lower-case name.
        body: the complete body.
    """

    method: str
    path: str
    query: dict[str, str] = attrs.field(factory=dict)
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


@attrs.define(kw_only=True)
class PageResponse:
    """A page's response.

    Attributes:
        status: HTTP status.
        body: the response body.
        content_type: its media type.
        headers: additional headers.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: list[tuple[str, str]] = attrs.field(factory=list)


Page = abc.Callable[[PageRequest], PageResponse]


class _Server(http_servers.BoundedServer, wsgi.Server):
    """The HTTP library's server, with limits for its clients."""

    max_connection_share = CONNECTION_SHARE


class AdminServer:
    """Serves the page with the longest matching path prefix.

    Attributes:
        listen: address as IP:PORT; port 0 selects a free port.
        pages: Page by path; a path that ends with "/" matches all paths below.
        address: the bound address, once started.
    """

    def __init__(self, *, listen: str, pages: dict[str, Page]):
        self.listen = listen
        self.pages = pages
        self.address = ""
        self._server: _Server | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Binds the address and starts serving."""
        host, port = self.listen.rsplit(":", 1)
        self._server = _Server(
            (host, int(port)),
            self.serve,
            numthreads=THREADS,
            max=THREADS,
            timeout=http_servers.SOCKET_TIMEOUT_SECONDS,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._server.serve, name="admin")
        self._thread.start()

    def close(self) -> None:
        """Stops the server and waits for running requests."""
        if self._server is None:
            return
        self._server.stop()
        self._thread.join()

    def serve(
        self, environ: dict[str, object], start_response: abc.Callable
    ) -> list[bytes]:
        """Serves one request, as a WSGI application."""
        try:
            response = self._respond(environ)
        except server.MaxSizeExceeded:
            response = PageResponse(status=413)
        except Exception:  # A bug in a page must not end the thread.
            logger.error("defect in a page: {}", traceback.format_exc())
            response = PageResponse(status=500)
        reason = _REASON_PHRASES.get(response.status, "Other")
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(f"{response.status} {reason}", headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    def _respond(self, environ: dict[str, object]) -> PageResponse:
        request = _build_request(environ)
        page = self._find_page(request.path)
        return PageResponse(status=404) if page is None else page(request)

    def _find_page(self, path: str) -> Page | None:
        if path in self.pages:
            return self.pages[path]
        prefixes = [
            each
            for each in self.pages
            if each.endswith("/") and path.startswith(each)
        ]
        return self.pages[max(prefixes, key=len)] if prefixes else None


def _build_request(environ: dict[str, object]) -> PageRequest:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        raise server.MaxSizeExceeded()
    body = environ["wsgi.input"].read(length) if length else b""
    return PageRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(urllib.parse.parse_qsl(environ["QUERY_STRING"])),
        headers={
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        },
        body=body,
    )
