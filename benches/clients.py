"""Callers for measurements: many streams from one thread, and steady calls."""

import json
import selectors
import socket
import time

import attrs

_READ_BYTES = 64 * 1024
# Stands in the first event of an answer that holds text, and in no other.
_TEXT = b'"text"'


@attrs.define(kw_only=True)
class Stream:
    """One streamed completion as its caller sees it.

    Attributes:
        begun: when the request was sent, seconds.
        first: when the first text came; 0 before.
        ended: when the connection ended or the answer was complete.
        events: events received.
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
        """Returns whether the stream ended as a complete one does."""
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
    """Returns the head of a request whose connection ends with it."""
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
        selector: the sockets that are open, each with its Stream.
        streams: every stream begun.
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
        """Hangs up on all that is open."""
        for key in list(self.selector.get_map().values()):
            self.selector.unregister(key.fileobj)
            key.fileobj.close()
        self.selector.close()

    def read(self, sock: socket.socket, stream: Stream) -> None:
        """Reads what came on a stream."""
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
