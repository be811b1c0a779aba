"""Parsing of HTTP/1.1 requests and responses with httptools."""

from collections.abc import Callable
import re

import attrs
import httptools

from pimentoledge.routing import buffer_bounds

# Bytes of a response that are parsed between two checks of its bounds.
SLICE_BYTES = 16 * 1024
# Bytes of a client that are parsed between two checks, where no body of known
# length is due.
REQUEST_SLICE_BYTES = 1024
# Default number of complete requests beyond which no more is parsed.
MAX_WAITING_REQUESTS = 8
# Memory of a header line and of a head in addition to their bytes.
LINE_OBJECT_BYTES = 150
HEAD_OBJECT_BYTES = 500
# Framing of a chunk: its size in up to 16 digits, and two line ends.
CHUNK_FRAMING_BYTES = 20

# RFC 9112, 6.1: clients of these versions take chunk sizes for the body.
VERSIONS_WITHOUT_CHUNKS = frozenset(("0.9", "1.0"))

# Within a response it shows that the response was cut and another followed.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?:[ \r\n]|$)")
STATUS_LINE_BYTES = len(b"HTTP/1.1 200 ")
# A field may quote one, where it doesn't go on from the middle of a value.
QUOTED_STATUS_LINE = re.compile(rb"(?:^|[ \t\"'(,;=])" + STATUS_LINE.pattern)
# The begin of one, where the bytes that were read end.
BEGUN_STATUS_LINE = re.compile(
    rb"H(?:T(?:T(?:P(?:/(?:1(?:\.(?:[0-9](?: (?:[1-5][0-9]?)?)?)?)?)?)?)?)?)?$"
)

Headers = list[tuple[bytes, bytes]]


@attrs.define(kw_only=True)
class RequestHead:
    """The head of a request.

    Attributes:
        method: the method as received.
        target: path and query as received.
        headers: names as received, and values, in order.
        keep_alive: whether the connection may serve another request.
        version: HTTP version, such as "1.1".
        memory_bytes: about the memory that it takes.
    """

    method: bytes
    target: bytes
    headers: Headers
    keep_alive: bool
    version: str = "1.1"
    memory_bytes: int = 0

    def allows_chunks(self) -> bool:
        """Returns whether the response may be sent in chunks."""
        return self.version not in VERSIONS_WITHOUT_CHUNKS

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header.

        Args:
            name: the header's name in lower case.
        """
        return [value for key, value in self.headers if key.lower() == name]

    def value(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
            name: the header's name in lower case.
        """
        values = self.values(name)
        return values[0] if values else None


@attrs.define(kw_only=True)
class ResponseHead:
    """The head of a response.

    Attributes:
        status: the HTTP status.
        headers: names in lower case, and values, in order.
        keep_alive: whether the connection may serve another request.
        ends_by_close: whether the body ends only with the connection.
    """

    status: int
    headers: Headers
    keep_alive: bool
    ends_by_close: bool

    def value(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
            name: the header's name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def body_length(self) -> int | None:
        """Returns the announced length of the body, or None."""
        value = self.value(b"content-length")
        if value is None or self.value(b"transfer-encoding") is not None:
            return None
        return int(value) if value.strip().isdigit() else None


class BadMessageError(Exception):
    """A malformed message, or one that is not accepted.

    Attributes:
        status: HTTP status of the response to a client.
    """

    def __init__(self, text: str, status: int = 400):
        super().__init__(text)
        self.status = status


class RequestParser:
    """Parses a client's bytes into complete requests.

    Bytes are checked in slices, so a bound may be exceeded by at most one
    slice, and at most the requests of one slice wait beyond `max_waiting`.

    Attributes:
        max_header_bytes: maximum size of a head, and of what surrounds the
            chunks of a body beyond the framing that they need.
        max_body_bytes: maximum size of a body.
        max_waiting: number of complete requests beyond which no more is
            parsed.
        on_begin: called when a request begins; may change the maximum sizes.
        requests: complete requests that are not served yet, oldest first.
        begun: whether part of a request was read.
        unread_head: whether a request's head is not complete yet.
        awaits_continue: whether the client holds its body back until it gets
            an interim response.
    """

    def __init__(
        self,
        *,
        max_header_bytes: int,
        max_body_bytes: int,
        max_waiting: int = MAX_WAITING_REQUESTS,
        on_begin: Callable[[], None] = lambda: None,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.max_waiting = max_waiting
        self.on_begin = on_begin
        self.requests: list[tuple[RequestHead, bytes]] = []
        self.begun = False
        self.unread_head = False
        self.awaits_continue = False
        self._parser = httptools.HttpRequestParser(self)
        self._error: BadMessageError | None = None
        self._unparsed = b""
        self._ended_in_slice = False
        self._chunks_in_slice = 0
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._unread_bytes = 0
        self._framing_bytes = 0
        self._body = bytearray()
        self._announced_bytes = 0
        self._head: RequestHead | None = None

    def incomplete_bytes(self) -> int:
        """Returns the size of the body that is being read."""
        return len(self._body)

    def announced_bytes(self) -> int:
        """Returns the size that this body is expected to have.

        A body in chunks announces none. It is expected to become twice as large
        as it is.
        """
        if self._announced_bytes:
            return self._announced_bytes
        return min(2 * len(self._body), self.max_body_bytes)

    def announces_length(self) -> bool:
        """Returns whether that body has a Content-Length."""
        return self._announced_bytes > 0

    def waiting_bytes(self) -> int:
        """Returns the size of the bodies of `requests`."""
        return sum(len(body) for _, body in self.requests)

    def heads_memory(self) -> int:
        """Returns about the memory of what is held beside bodies, in bytes."""
        waiting = sum(head.memory_bytes for head, _ in self.requests)
        size = len(self._unparsed) + waiting
        if self.begun:
            size += self._head_memory() + self._framing_bytes
        return size

    def _head_memory(self) -> int:
        read = max(self._unread_bytes, self._header_bytes)
        return HEAD_OBJECT_BYTES + read + LINE_OBJECT_BYTES * len(self._headers)

    def abandon(self) -> None:
        """Frees an incomplete request; no more bytes may be fed."""
        self.begun = False
        self._unparsed = b""
        self._reset()

    def close(self) -> None:
        """Frees all that was read, as the connection has ended.

        This object and its parser refer to each other, so what they hold would
        stay until the garbage collector runs.
        """
        self.abandon()
        self.requests.clear()

    def unparsed_bytes(self) -> int:
        """Returns the number of bytes that were kept and not parsed yet."""
        return len(self._unparsed)

    def feed(self, data: bytes) -> None:
        """Parses bytes, and keeps those that are not to be parsed yet.

        Raises:
            BadMessageError: the bytes are refused; the parser can't be used
                any more.
        """
        self._unparsed = self._unparsed + data if self._unparsed else data
        self.parse_rest()

    def parse_rest(self) -> None:
        """Parses bytes that were kept, while no more requests wait than may.

        Raises:
            BadMessageError: as `feed`.
        """
        unparsed, self._unparsed = self._unparsed, b""
        start = 0
        while start < len(unparsed) and len(self.requests) <= self.max_waiting:
            end = start + self._slice_size()
            self._parse_slice(unparsed[start:end])
            start = end
        self._unparsed = unparsed[start:]

    def _slice_size(self) -> int:
        """Returns how many bytes to parse before the next check."""
        due = self._announced_bytes - len(self._body)
        return max(REQUEST_SLICE_BYTES, due)

    def _parse_slice(self, data: bytes) -> None:
        self._ended_in_slice = False
        self._chunks_in_slice = 0
        was_in_head, body_before = self._head is None, len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadMessageError("upgrades are not served") from error
        except httptools.HttpParserError as error:
            if self._error is not None:
                raise self._error from error
            raise BadMessageError(str(error)) from error
        if self._ended_in_slice:
            return
        if self.unread_head:
            self._limit_unread_head(len(data))
        elif not was_in_head:
            body = len(self._body) - body_before
            self._limit_framing(len(data) - body)

    def _limit_unread_head(self, size: int) -> None:
        """Refuses an incomplete head that exceeds the maximum size.

        Header lines are counted when they are complete, so a line without an
        end would fill the memory uncounted.
        """
        self._unread_bytes += size
        if self._unread_bytes > self.max_header_bytes:
            raise BadMessageError("the head is too large", 431)

    def _limit_framing(self, size: int) -> None:
        """Refuses chunk extensions and trailers that exceed the maximum size.

        Args:
            size: bytes read that don't belong to the body.
        """
        needed = self._chunks_in_slice * CHUNK_FRAMING_BYTES
        # What one chunk doesn't need is no allowance for later ones.
        self._framing_bytes = max(0, self._framing_bytes + size - needed)
        if self._framing_bytes > self.max_header_bytes:
            raise BadMessageError("the framing of the body is too large", 431)

    def _refuse(self, text: str, status: int) -> None:
        self._error = BadMessageError(text, status)
        raise self._error

    def on_message_begin(self) -> None:  # noqa: D102
        self.on_begin()
        self._reset()
        self.begun = True
        self.unread_head = True

    def on_url(self, url: bytes) -> None:  # noqa: D102
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        if self.unread_head:
            # Trailers are counted and not passed on.
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
            version=self._parser.get_http_version(),
            memory_bytes=self._head_memory(),
        )
        self._check_framing(self._head)
        self.awaits_continue = self._expects_continue(self._head)

    def _expects_continue(self, head: RequestHead) -> bool:
        """Returns whether a head requests an interim response.

        RFC 9110, 10.1.1: the expectation is ignored in HTTP/1.0, whose clients
        can't parse such a response.
        """
        if head.version != "1.1":
            return False
        return b"100-continue" in (
            value.strip().lower() for value in head.values(b"expect")
        )

    def _check_framing(self, head: RequestHead) -> None:
        """Refuses a head whose body two parsers could delimit differently."""
        lengths = head.values(b"content-length")
        codings = head.values(b"transfer-encoding")
        if len(lengths) > 1 or (lengths and codings) or len(codings) > 1:
            self._refuse("the body's length is ambiguous", 400)
        if codings and codings[0].strip().lower() != b"chunked":
            self._refuse("transfer coding is not served", 400)
        if len(head.values(b"host")) != 1:
            self._refuse("one Host header is needed", 400)
        if lengths:
            self._announced_bytes = int(lengths[0])
        if self._announced_bytes > self.max_body_bytes:
            self._refuse("the body is too large", 413)

    def on_chunk_header(self) -> None:  # noqa: D102
        self._chunks_in_slice += 1

    def on_body(self, body: bytes) -> None:  # noqa: D102
        self.awaits_continue = False
        self._body += body
        if len(self._body) > self.max_body_bytes:
            self._refuse("the body is too large", 413)

    def on_message_complete(self) -> None:  # noqa: D102
        self.requests.append((self._head, bytes(self._body)))
        self.awaits_continue = False
        self.begun = False
        self._ended_in_slice = True
        self._reset()


class ResponseParser:
    """Parses a server's bytes into heads, body chunks and ends.

    Bytes are counted in slices, so a bound may be exceeded by at most one
    slice. The body bytes of a slice are passed on together: single chunks of
    a few bytes would each take the memory and time of a whole event. What a
    slice holds is passed on once all of it was parsed, since the bytes after a
    response may show that it was cut.

    Attributes:
        heads: called with the head of each final, not interim, response.
        pieces: called with the bytes of a body.
        ends: called at the end of each final response, with the value that
            `message_count` had there.
        message_count: number of responses, interim ones too, that have begun.
        allows_quotes: whether a field may quote a status line, as no earlier
            response can have been cut.
        quoted: whether one has.
    """

    def __init__(self, *, heads, pieces, ends):
        self.heads = heads
        self.pieces = pieces
        self.ends = ends
        self.message_count = 0
        self.allows_quotes = False
        self.quoted = False
        self._parser = httptools.HttpResponseParser(self)
        self._interim = False
        self._error: (
            BadMessageError | buffer_bounds.BoundExceededError | None
        ) = None
        self._phrase: list[bytes] = []
        self._headers: Headers = []
        self._slice_body: list[bytes] = []
        self._ended_in_slice = False
        self._reports: list[tuple[Callable, tuple]] = []
        self._head_in_slice = False
        self._ended_body = b""
        self._last_body_end = b""
        self._maybe_cut = False
        self._reset()

    def _reset(self) -> None:
        """Prepares for the next final response."""
        self._in_head = True
        self._head_bytes = 0
        self._header_bytes = 0
        self._lines = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        self._has_length = False
        self._body_end = b""
        self._holds_status_line = False

    def may_be_cut(self) -> bool:
        """Returns whether the last response may have taken bytes of another.

        If it has, what follows it is no response.
        """
        begun = BEGUN_STATUS_LINE.search(self._last_body_end)
        return self._maybe_cut or begun is not None

    def feed(self, data: bytes | memoryview) -> None:
        """Parses bytes.

        Raises:
            BadMessageError: the bytes are no HTTP response, or show that one
                was cut and lacks bytes that another one seemed to bring.
            BoundExceededError: the response exceeds a bound.
        """
        if len(data) <= SLICE_BYTES:
            self._feed_slice(data)
            return
        view = memoryview(data)
        for start in range(0, len(view), SLICE_BYTES):
            self._feed_slice(view[start : start + SLICE_BYTES])

    def _feed_slice(self, data: bytes | memoryview) -> None:
        self._ended_in_slice = False
        was_in_head, body_before = self._in_head, self._body_bytes
        self._head_in_slice = False
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._flush()
            if self._error is None and self._was_cut(bytes(data)):
                self._reports.clear()
                self._error = BadMessageError("cut before another response")
            self._report()
            if self._error is not None:
                raise self._error from error
            raise BadMessageError(str(error)) from error
        self._flush()
        self._report()
        if self._ended_in_slice:
            return
        if self._in_head:
            self._head_bytes += len(data)
            self._check(
                buffer_bounds.Bound.HEAD,
                self._head_bytes,
                buffer_bounds.HEAD_BYTES,
            )
        elif not was_in_head:
            body = self._body_bytes - body_before
            self._framing_bytes += len(data) - body
            if self._framing_bytes > buffer_bounds.FRAMING_BYTES:
                self._check(
                    buffer_bounds.Bound.FRAMING,
                    self._framing_bytes,
                    buffer_bounds.FRAMING_BYTES + self._body_bytes,
                )

    def _check(
        self, bound: buffer_bounds.Bound, size: int, maximum: int
    ) -> None:
        if size > maximum:
            self._error = buffer_bounds.BoundExceededError(bound, size)
            raise self._error

    def _flush(self) -> None:
        """Passes on the body bytes of the current slice."""
        if not self._slice_body:
            return
        pieces, self._slice_body = self._slice_body, []
        data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        if self._has_length:
            self._search_status_line(data)
        self._reports.append((self.pieces, (data,)))

    def _search_status_line(self, data: bytes) -> None:
        """Notes whether a body holds a status line.

        Where chunks are cut, the next response is no valid chunk.
        """
        # It may begin in one slice and end in the next one.
        seam = self._body_end + data[:STATUS_LINE_BYTES]
        for searched in (seam, data):
            if b"HTTP/1." in searched and STATUS_LINE.search(searched):
                self._holds_status_line = True
        self._body_end = (self._body_end + data[-STATUS_LINE_BYTES:])[
            -STATUS_LINE_BYTES:
        ]

    def _report(self) -> None:
        """Passes on what the current slice holds."""
        reports, self._reports = self._reports, []
        for report, arguments in reports:
            report(*arguments)

    def _was_cut(self, data: bytes) -> bool:
        """Returns whether the last response took bytes of the next one.

        Its body then holds the begin of a status line at least, and what
        follows the body is no response.

        Args:
            data: the slice that holds the end of the response.
        """
        if not self._ended_in_slice:
            return False
        if self._maybe_cut:
            return True
        end = len(self._ended_body)
        if self._head_in_slice:
            end += data.find(b"\r\n\r\n" + self._ended_body) + 4
        within = len(self._last_body_end)
        seam = self._last_body_end + data[end : end + STATUS_LINE_BYTES]
        found = STATUS_LINE.search(seam) or BEGUN_STATUS_LINE.search(seam)
        return found is not None and found.start() < within

    def on_message_begin(self) -> None:  # noqa: D102
        self.message_count += 1
        self._phrase = []
        self._headers = []

    def on_status(self, phrase: bytes) -> None:  # noqa: D102
        self._phrase.append(phrase)

    def _refuse_status_line(self, text: bytes) -> None:
        if b"HTTP/" in text and STATUS_LINE.search(text):
            self._error = BadMessageError("a status line within a head")
            raise self._error

    def _check_field(self, value: bytes) -> None:
        """Refuses a field that shows that its head was cut."""
        if b"HTTP/" not in value:
            return
        if self.allows_quotes and QUOTED_STATUS_LINE.search(value):
            self.quoted = True
            return
        self._refuse_status_line(value)

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        self._check_field(value)
        if not self._in_head:
            # Trailers are not passed on.
            return
        self._headers.append((name.lower(), value))
        self._lines += 1
        self._header_bytes += len(name) + len(value) + 4
        bounds = buffer_bounds.Bound
        self._check(bounds.HEAD_LINES, self._lines, buffer_bounds.HEAD_LINES)
        self._check(bounds.HEAD, self._header_bytes, buffer_bounds.HEAD_BYTES)

    def on_headers_complete(self) -> None:  # noqa: D102
        self._refuse_status_line(b"".join(self._phrase))
        status = self._parser.get_status_code()
        self._interim = status < 200
        if self._interim:
            return
        self._in_head = False
        self._head_in_slice = True
        names = {name for name, _ in self._headers}
        self._has_length = b"content-length" in names
        framed = b"content-length" in names or b"transfer-encoding" in names
        head = ResponseHead(
            status=status,
            headers=self._headers,
            keep_alive=self._parser.should_keep_alive(),
            ends_by_close=not framed and status not in (204, 304),
        )
        self._reports.append((self.heads, (head,)))

    def on_body(self, body: bytes) -> None:  # noqa: D102
        self._slice_body.append(body)
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:  # noqa: D102
        if not self._interim:
            self._ended_body = b"".join(self._slice_body)
            self._flush()
            self._maybe_cut = self._holds_status_line
            self._last_body_end = self._body_end
            self._reports.append((self.ends, (self.message_count,)))
            self._ended_in_slice = True
            self._reset()
