"""Load client for measurements: many streams driven by one thread."""

import json
import selectors
import socket
import time

import attrs

_READ_BYTES = 64 * 1024
# Key of the text in an event's JSON; no event before the first text has it.
_TEXT = b'"text"'


@attrs.define(kw_only=True)
class Stream:
    """One streamed completion, as measured by its caller.

    Attributes:
        started_at: when the request was sent, in seconds.
        first_text_at: when the first text was received; 0 before.
        ended_at: when the connection ended; 0 before.
        events: number of events received.
        tail: last bytes received.
        failed: whether the status was not 200.
    """

    started_at: float = 0.0
    first_text_at: float = 0.0
    ended_at: float = 0.0
    events: int = 0
    tail: bytes = b""
    failed: bool = False

    def complete(self) -> bool:
        """Returns whether the end marker of the stream was received."""
        return b"data: [DONE]" in self.tail


def body_of(*, model: str, prompt: str, tokens: int, **fields) -> bytes:
    """Returns the body of a streamed completion."""
    return json.dumps(
        {
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
            **fields,
        }
    ).encode()


def head_of(*, path: str, key: str, length: int) -> bytes:
    """Returns the head of a request that closes its connection afterwards."""
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: bench",
        f"Authorization: Bearer {key}",
        "Content-Type: application/json",
        f"Content-Length: {length}",
        "Connection: close",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class StreamLoad:
    """Streams driven by one thread.

    Attributes:
        address: where the requests go, (host, port).
        selector: open sockets, each with its Stream.
        streams: all streams started.
        events: events received over all streams.
    """

    def __init__(self, *, address: tuple[str, int]):
        self.address = address
        self.selector = selectors.DefaultSelector()
        self.streams: list[Stream] = []
        self.events = 0

    def begin(self, request: bytes) -> Stream:
        """Opens a connection and sends a request on it."""
        sock = socket.create_connection(self.address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(started_at=time.perf_counter())
        sock.sendall(request)
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, stream)
        self.streams.append(stream)
        return stream

    def run(self, until: float) -> None:
        """Reads until a time, or until no stream is open."""
        while self.selector.get_map():
            left = until - time.perf_counter()
            if left <= 0:
                return
            for key, _ in self.selector.select(left):
                self.read(key.fileobj, key.data)

    def open_count(self) -> int:
        """Returns how many streams are open."""
        return len(self.selector.get_map())

    def close(self) -> None:
        """Closes all open connections."""
        for key in list(self.selector.get_map().values()):
            self.selector.unregister(key.fileobj)
            key.fileobj.close()
        self.selector.close()

    def read(self, sock: socket.socket, stream: Stream) -> None:
        """Reads available data of a stream."""
        try:
            data = sock.recv(_READ_BYTES)
        except ConnectionError:
            data = b""
        now = time.perf_counter()
        if not data:
            stream.ended_at = now
            self.selector.unregister(sock)
            sock.close()
            return
        if not stream.tail:
            stream.failed = b" 200 " not in data[:20]
        if not stream.first_text_at and _TEXT in data:
            stream.first_text_at = now
        events = data.count(b"data: ")
        stream.events += events
        self.events += events
        stream.tail = (stream.tail + data)[-200:]
