"""Second responses to requests that a stand-in server has already answered."""

from collections.abc import Callable
import contextlib
import socket
import threading
import time

import attrs
import cheroot.server

# Interval between two pieces of a response.
PIECE_SECONDS = 0.0005


@attrs.frozen(kw_only=True)
class SecondResponse:
    """How a server answers a request again.

    Attributes:
        statuses: status of the second response by that of the first one. To a
            response with another status the second one is a copy.
        delay_seconds: time from the first response, or None to send it where
            the next response on the connection is due.
        piece_bytes: size of the pieces, of which the first is sent together
            with the end of the first response; 0 to send it as a whole.
        max_bytes: number of bytes after which it is cut, or None.
        missing_bytes: number of bytes that the first response lacks.
    """

    statuses: dict[int, int] = attrs.field(factory=dict)
    delay_seconds: float | None = None
    piece_bytes: int = 0
    max_bytes: int | None = None
    missing_bytes: int = 0


class _RecordingFile:
    """Writes to a connection, less the last bytes, and keeps all of them."""

    def __init__(self, file, missing_bytes: int):
        self.file = file
        self.missing_bytes = missing_bytes
        self.written = bytearray()
        self.passed = 0

    def write(self, data: bytes) -> int:
        self.written += data
        end = max(self.passed, len(self.written) - self.missing_bytes)
        self.file.write(bytes(self.written[self.passed : end]))
        self.passed = end
        return len(data)

    def flush(self) -> None:
        self.file.flush()


class _PendingResponse:
    """The rest of a second response that is sent later."""

    def __init__(
        self, *, sock: socket.socket, data: bytes, second: SecondResponse
    ):
        self.sock = sock
        self.data = data
        self.piece_bytes = second.piece_bytes or len(data) or 1
        self._timer = None
        if second.delay_seconds is not None:
            self._timer = threading.Timer(second.delay_seconds, self._send)
            self._timer.daemon = True
            self._timer.start()

    def finish(self) -> None:
        """Sends it now, or waits until it was sent."""
        if self._timer is None:
            self._send()
        else:
            self._timer.join()

    def _send(self) -> None:
        try:
            for begin in range(0, len(self.data), self.piece_bytes):
                self.sock.sendall(self.data[begin : begin + self.piece_bytes])
                time.sleep(PIECE_SECONDS)
        except OSError:
            # The caller has closed the connection.
            return


def finish_pending(request: cheroot.server.HTTPRequest) -> None:
    """Sends what is left of a second response on the request's connection."""
    pending = getattr(request.conn, "pending_response", None)
    request.conn.pending_response = None
    if pending is not None:
        pending.finish()


def answer_twice(
    request: cheroot.server.HTTPRequest,
    second: SecondResponse,
    *,
    answer: Callable[[], None],
    encode: Callable[[int], bytes],
) -> None:
    """Answers a request, and again unless its connection ends.

    Args:
        request: the request.
        second: how it is answered again.
        answer: answers it.
        encode: returns a whole response with a status.
    """
    sock = request.conn.socket
    _hold_back(sock, bool(second.piece_bytes))
    try:
        first = _record_answer(request, answer, second.missing_bytes)
        if request.close_connection:
            return
        status = second.statuses.get(int(request.status[:3]))
        data = first if status is None else encode(status)
        data = data[: second.max_bytes]
        request.conn.wfile.write(data[: second.piece_bytes])
    finally:
        _hold_back(sock, False)
    request.conn.pending_response = _PendingResponse(
        sock=sock, data=data[second.piece_bytes :], second=second
    )


def _record_answer(
    request: cheroot.server.HTTPRequest,
    answer: Callable[[], None],
    missing_bytes: int,
) -> bytes:
    """Answers a request; returns the whole answer."""
    recording = _RecordingFile(request.conn.wfile, missing_bytes)
    request.conn.wfile = recording
    try:
        answer()
    finally:
        request.conn.wfile = recording.file
    return bytes(recording.written)


def _hold_back(sock: socket.socket, held: bool) -> None:
    """Sets whether what is written waits for what follows it."""
    with contextlib.suppress(OSError):
        # The connection may have ended.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, held)
