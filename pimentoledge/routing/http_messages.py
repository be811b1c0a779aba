"""Parsing of HTTP/1.1 from both sides, on httptools."""

import attrs
import httptools

Headers = list[tuple[bytes, bytes]]


@attrs.define(kw_only=True)
class RequestHead:
    """The head of a request.

    Attributes:
        method: as sent.
        target: path and query as sent.
        headers: names as sent, and values, in order.
        keep_alive: whether the connection may serve another request.
    """

    method: bytes
    target: bytes
    headers: Headers
    keep_alive: bool

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header; the name in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def value(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        found = self.values(name)
        return found[0] if found else None


@attrs.define(kw_only=True)
class ResponseHead:
    """The head of a response.

    Attributes:
        status: its status.
        headers: names in lower case, and values, in order.
        keep_alive: whether the connection may serve another request.
        ends_by_close: whether only the connection's end ends its body.
    """

    status: int
    headers: Headers
    keep_alive: bool
    ends_by_close: bool

    def value(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None; in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class BadMessageError(Exception):
    """Bytes that are no message, or one that is not accepted.

    Attributes:
        status: what a client is answered.
    """

    def __init__(self, text: str, status: int = 400):
        super().__init__(text)
        self.status = status


class RequestParser:
    """Turns a client's bytes into whole requests.

    Attributes:
        max_header_bytes: largest head.
        max_body_bytes: largest body.
        requests: whole requests not yet taken, oldest first.
        begun: whether part of a request was read.
        unread_head: whether a request's head is not complete yet.
        awaits_go_ahead: whether the client holds its body back until it gets
            an interim answer.
    """

    def __init__(self, *, max_header_bytes: int, max_body_bytes: int):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.requests: list[tuple[RequestHead, bytes]] = []
        self.begun = False
        self.unread_head = False
        self.awaits_go_ahead = False
        self._parser = httptools.HttpRequestParser(self)
        self._fault: BadMessageError | None = None
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._unread_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head: RequestHead | None = None

    def feed(self, data: bytes) -> None:
        """Takes bytes; after BadMessageError nothing may follow."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadMessageError("upgrades are not served") from error
        except httptools.HttpParserError as error:
            if self._fault is not None:
                raise self._fault from error
            raise BadMessageError(str(error)) from error
        self._bound_unread_head(len(data))

    def _bound_unread_head(self, size: int) -> None:
        """Refuses a head that grows without an end.

        Lines of a head are counted when they are whole; one that never ends
        would be kept in memory uncounted. What follows a whole head in the
        same bytes is body and doesn't count.
        """
        if not self.unread_head:
            return
        self._unread_bytes += size
        if self._unread_bytes > self.max_header_bytes:
            raise BadMessageError("the head is too large", 431)

    def _refuse(self, text: str, status: int) -> None:
        self._fault = BadMessageError(text, status)
        raise self._fault

    def on_message_begin(self) -> None:  # noqa: D102
        self._reset()
        self.begun = True
        self.unread_head = True

    def on_url(self, url: bytes) -> None:  # noqa: D102
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        self._headers.append((name, value))
        self._count(len(name) + len(value) + 4)

    def _count(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.max_header_bytes:
            self._refuse("the head is too large", 431)

    def on_headers_complete(self) -> None:  # noqa: D102
        self.unread_head = False
        self._head = RequestHead(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            keep_alive=self._parser.should_keep_alive(),
        )
        self._check_framing(self._head)
        self.awaits_go_ahead = self._wants_go_ahead(self._head)

    def _wants_go_ahead(self, head: RequestHead) -> bool:
        """Returns whether a head asks for an interim answer.

        RFC 9110, 10.1.1: not in HTTP/1.0, whose clients can't read one.
        """
        if self._parser.get_http_version() != "1.1":
            return False
        return b"100-continue" in (
            value.strip().lower() for value in head.values(b"expect")
        )

    def _check_framing(self, head: RequestHead) -> None:
        """Refuses what two readers could frame in two ways."""
        lengths = head.values(b"content-length")
        codings = head.values(b"transfer-encoding")
        if len(lengths) > 1 or (lengths and codings) or len(codings) > 1:
            self._refuse("the body's length is ambiguous", 400)
        if codings and codings[0].strip().lower() != b"chunked":
            self._refuse("transfer coding is not served", 400)
        if len(head.values(b"host")) != 1:
            self._refuse("one Host header is needed", 400)
        if lengths and int(lengths[0]) > self.max_body_bytes:
            self._refuse("the body is too large", 413)

    def on_body(self, body: bytes) -> None:  # noqa: D102
        self.awaits_go_ahead = False
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.max_body_bytes:
            self._refuse("the body is too large", 413)

    def on_message_complete(self) -> None:  # noqa: D102
        self.requests.append((self._head, b"".join(self._body)))
        self.awaits_go_ahead = False
        self.begun = False
        self._reset()


class ResponseParser:
    """Turns a server's bytes into heads, pieces of bodies and ends.

    Attributes:
        heads: called with each final head.
        pieces: called with each piece of a body.
        ends: called at each end of a message.
    """

    def __init__(self, *, heads, pieces, ends):
        self.heads = heads
        self.pieces = pieces
        self.ends = ends
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._interim = False

    def feed(self, data: bytes) -> None:
        """Takes bytes; raises BadMessageError."""
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise BadMessageError(str(error)) from error

    def on_message_begin(self) -> None:  # noqa: D102
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:  # noqa: D102
        status = self._parser.get_status_code()
        self._interim = status < 200
        if self._interim:
            return
        names = {name for name, _ in self._headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self.heads(
            ResponseHead(
                status=status,
                headers=self._headers,
                keep_alive=self._parser.should_keep_alive(),
                ends_by_close=not framed and status not in (204, 304),
            )
        )

    def on_body(self, body: bytes) -> None:  # noqa: D102
        self.pieces(body)

    def on_message_complete(self) -> None:  # noqa: D102
        if not self._interim:
            self.ends()
