"""Reading of request bodies, within a bound of the whole process."""

from collections.abc import Callable
import re
import threading
import time
from typing import BinaryIO

import attrs

# Bytes that are read between two checks of the bounds.
PIECE_BYTES = 64 * 1024
# Bytes of chunk extensions and trailers that a body may have.
FRAMING_BYTES = 64 * 1024
# A chunk's line needs a size of up to 16 digits and a line end.
CHUNK_LINE_BYTES = 18
# A caller that sends less of its body in this time stalls. It is ended while
# the body of another caller lacks room.
STALLED_SECONDS = 0.2
PROGRESS_BYTES = 4096
# Longest wait for room until the bodies of stalled callers are freed.
ROOM_SECONDS = 1.0
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}[ \t]*(?:;|\r?\n)")


class TooLargeError(Exception):
    """A body exceeds the maximum size."""


class NoRoomError(Exception):
    """The bodies of all callers exceed the bound of the process."""


class BadFramingError(Exception):
    """The chunks of a body are malformed, or it ended early."""


@attrs.define(kw_only=True, eq=False)
class HeldBody:
    """The body of one request.

    Attributes:
        end_reading: ends the reading of it by its thread, from another one.
        size: bytes held.
        complete: whether all of it was read.
        ending: whether its reading was ended in favour of others.
        progress_at: when its caller last sent a part, in seconds of
            time.monotonic.
        progress_size: its size then.
    """

    end_reading: Callable[[], None]
    size: int = 0
    complete: bool = False
    ending: bool = False
    progress_at: float = attrs.field(factory=time.monotonic)
    progress_size: int = 0

    def stalls(self, now: float) -> bool:
        """Returns whether its caller sends too little, and bytes are held."""
        if self.complete or self.ending or not self.size:
            return False
        return now - self.progress_at > STALLED_SECONDS


class BodyBudget:
    """Counts the bodies of requests, in all threads.

    Attributes:
        bound: largest number of bytes held.
        held: number of bytes held.
    """

    def __init__(self, *, bound: int):
        self.bound = bound
        self.held = 0
        self._bodies: set[HeldBody] = set()
        self._changed = threading.Condition()

    def begin(self, end_reading: Callable[[], None]) -> HeldBody:
        """Returns a body of which nothing is held yet."""
        body = HeldBody(end_reading=end_reading)
        with self._changed:
            self._bodies.add(body)
        return body

    def add(self, body: HeldBody, size: int) -> None:
        """Counts further bytes of a body, before they are read.

        Callers that stall are ended if there is no room.

        Args:
            body: the body.
            size: number of bytes.

        Raises:
            NoRoomError: the bound would be exceeded.
        """
        with self._changed:
            if not self._fits(size) and self._end_stalled(size):
                self._changed.wait_for(
                    lambda: self._fits(size), timeout=ROOM_SECONDS
                )
            if not self._fits(size):
                raise NoRoomError
            self.held += size
            body.size += size
            if body.size - body.progress_size >= PROGRESS_BYTES:
                body.progress_at = time.monotonic()
                body.progress_size = body.size

    def end(self, body: HeldBody) -> None:
        """Frees a body."""
        with self._changed:
            self._bodies.discard(body)
            self.held -= body.size
            self._changed.notify_all()

    def _fits(self, size: int) -> bool:
        return self.held + size <= self.bound

    def _end_stalled(self, size: int) -> bool:
        """Ends callers that stalled longest; returns whether that makes room.

        Args:
            size: number of bytes that lack room.
        """
        now = time.monotonic()
        lacking = self.held + size - self.bound
        lacking -= sum(each.size for each in self._bodies if each.ending)
        stalled = [each for each in self._bodies if each.stalls(now)]
        for each in sorted(stalled, key=lambda body: body.progress_at):
            if lacking <= 0:
                break
            each.ending = True
            each.end_reading()
            lacking -= each.size
        return lacking <= 0


class BodyReader:
    """Reads one body.

    Attributes:
        source: the connection's input.
        max_bytes: maximum size of the body.
        budget: counts the bodies of the process.
        held: what is counted of this one.
    """

    def __init__(
        self,
        *,
        source: BinaryIO,
        max_bytes: int,
        budget: BodyBudget,
        held: HeldBody,
    ):
        self.source = source
        self.max_bytes = max_bytes
        self.budget = budget
        self.held = held
        self._body = bytearray()
        self._framing_bytes = 0

    def read_length(self, length: int) -> bytes:
        """Reads a body of known length.

        Raises:
            TooLargeError: it exceeds the maximum size.
            NoRoomError: the bound of the process would be exceeded.
            BadFramingError: it ends early.
        """
        if length > self.max_bytes:
            raise TooLargeError
        self._read_bytes(length, "the body is shorter than declared")
        return self._complete()

    def read_chunks(self) -> bytes:
        """Reads a body in chunks and its trailers, which are dropped.

        Raises:
            TooLargeError: it exceeds the maximum size.
            NoRoomError: the bound of the process would be exceeded.
            BadFramingError: it is malformed or ends early.
        """
        while size := self._read_chunk_size():
            if len(self._body) + size > self.max_bytes:
                raise TooLargeError
            self._read_bytes(size, "a chunk is shorter than declared")
            if self._read_line(2) != b"\r\n":
                raise BadFramingError("no line end after a chunk")
        while self._read_line(0) not in (b"\r\n", b"\n"):
            pass
        return self._complete()

    def _complete(self) -> bytes:
        self.held.complete = True
        return bytes(self._body)

    def _read_bytes(self, size: int, text: str) -> None:
        while size:
            count = min(size, PIECE_BYTES)
            self.budget.add(self.held, count)
            piece = self.source.read(count)
            self._body += piece
            if len(piece) < count:
                raise BadFramingError(text)
            size -= count

    def _read_chunk_size(self) -> int:
        line = self._read_line(CHUNK_LINE_BYTES)
        if not _CHUNK_SIZE.match(line):
            raise BadFramingError("a chunk has no valid size")
        return int(line.partition(b";")[0], 16)

    def _read_line(self, needed: int) -> bytes:
        """Reads a line outside of the body.

        Args:
            needed: number of bytes that it may have without counting as
                extension or trailer.
        """
        rest = FRAMING_BYTES - self._framing_bytes
        line = self.source.readline(needed + rest + 1)
        self._framing_bytes += max(0, len(line) - needed)
        if self._framing_bytes > FRAMING_BYTES:
            raise BadFramingError("chunk extensions or trailers are too large")
        if not line.endswith(b"\n"):
            raise BadFramingError("the body ends within a line")
        return line
