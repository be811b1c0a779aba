"""Crowds of clients that don't behave, and what a process takes meanwhile."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import http.client
import os
import pathlib
import select
import socket
import threading
import time

import attrs

PIECE_BYTES = 65536
BYTES_PER_MB = 1_000_000
# A crowd that has sent nothing for this long, while the process took no more
# memory, has sent all that it can.
SETTLED_SECONDS = 1.5
LONGEST_SECONDS = 30.0
SAMPLE_SECONDS = 0.05
# Time-out of an ordinary request, and time in which one that was refused is
# repeated after each pause.
ANSWER_SECONDS = 5.0
REPEAT_SECONDS = 30.0
PAUSE_SECONDS = 0.2
# What a sample must be larger by to count as growth, in bytes.
GROWTH_BYTES = 200_000
# The kernel keeps no more of what a client has sent and nobody received.
SEND_BUFFER_BYTES = 65536
_CLOSED_FLAGS = select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP


def repeated(unit: bytes, size: int) -> Iterator[bytes]:
    """Yields a unit again and again, about `size` bytes in all."""
    piece = unit * max(1, PIECE_BYTES // len(unit))
    for _ in range(size // len(piece)):
        yield piece
    yield unit * (size % len(piece) // len(unit))


def chunk(size: int) -> bytes:
    """Returns one chunk of a body."""
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


def chunks(size: int, step: int) -> Iterator[bytes]:
    """Yields a body in chunks of `step` bytes, without its last chunk."""
    unit = chunk(step)
    yield from repeated(unit, size // step * len(unit))


@attrs.define(eq=False)
class _Member:
    sock: socket.socket
    pieces: Iterator[bytes]
    rest: memoryview = memoryview(b"")
    sent_all: bool = False
    closed: bool = False

    def send(self) -> bool:
        """Sends what the socket takes; returns whether it took anything."""
        progress = False
        while True:
            if not self.rest:
                self.rest = memoryview(next(self.pieces, b""))
                if not self.rest:
                    self.sent_all = True
                    return progress
            try:
                count = self.sock.send(self.rest)
            except BlockingIOError:
                return progress
            except OSError:
                self.closed = True
                return progress
            self.rest = self.rest[count:]
            progress = True
            if count < PIECE_BYTES:
                return progress


class Crowd:
    """Clients that each send their pieces and stay open; none reads.

    Attributes:
        count: number of clients.
    """

    def __init__(self, *, address: str, pieces: list[Iterator[bytes]]):
        host, _, port = address.rpartition(":")
        self.count = len(pieces)
        self._address = host, int(port)
        self._pieces = pieces
        self._members: dict[int, _Member] = {}
        self._poll = select.epoll()
        self._progress_at = time.monotonic()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="crowd")

    def start(self) -> None:
        """Opens all connections and starts to send."""
        for each in self._pieces:
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
            sock.connect_ex(self._address)
            self._members[sock.fileno()] = _Member(sock, each)
            self._poll.register(
                sock.fileno(), select.EPOLLOUT | select.EPOLLRDHUP
            )
        self._progress_at = time.monotonic()
        self._thread.start()

    def wait(self, usage: "Usage") -> None:
        """Waits until no client can send any more and the process is calm."""
        end = time.monotonic() + LONGEST_SECONDS
        while (now := time.monotonic()) < end:
            changed_at = max(self._progress_at, usage.grew_at)
            if now - changed_at > SETTLED_SECONDS:
                return
            time.sleep(SAMPLE_SECONDS)

    def closed(self) -> int:
        """Returns how many connections the process has closed."""
        return sum(each.closed for each in self._members.values())

    def close(self) -> None:
        """Closes all connections."""
        self._closing.set()
        self._thread.join()
        for each in self._members.values():
            each.sock.close()
        self._poll.close()

    def _run(self) -> None:
        while not self._closing.is_set():
            for number, flags in self._poll.poll(SAMPLE_SECONDS):
                self._handle(self._members[number], flags)

    def _handle(self, member: _Member, flags: int) -> None:
        if flags & _CLOSED_FLAGS:
            member.closed = True
        elif member.send():
            self._progress_at = time.monotonic()
        if member.closed:
            self._poll.unregister(member.sock.fileno())
        elif member.sent_all:
            self._poll.modify(member.sock.fileno(), select.EPOLLRDHUP)


class Usage:
    """The largest memory and number of descriptors of a process.

    Attributes:
        memory: resident memory and what its sockets have received unread, in
            bytes.
        descriptors: number of open descriptors.
        grew_at: when the memory last grew, in seconds of time.monotonic.
    """

    def __init__(self, *, process: int, ports: list[int]):
        self.memory = 0
        self.grew_at = time.monotonic()
        self.descriptors = 0
        self._folder = pathlib.Path("/proc") / str(process)
        self._ports = {f"{port:04X}" for port in ports}
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="usage")

    def start(self) -> None:
        """Starts to take samples."""
        self._thread.start()

    def close(self) -> None:
        """Ends the samples."""
        self._closing.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._closing.wait(SAMPLE_SECONDS):
            try:
                status = (self._folder / "status").read_text()
                descriptors = len(os.listdir(self._folder / "fd"))
            except OSError:
                return
            fields = dict(
                line.split(":", 1) for line in status.splitlines() if line
            )
            if "VmHWM" not in fields:
                return
            peak = int(fields["VmHWM"].split()[0]) * 1024
            resident = int(fields["VmRSS"].split()[0]) * 1024
            before = self.memory
            self.memory = max(before, peak, resident + self._unread())
            if self.memory > before + GROWTH_BYTES:
                self.grew_at = time.monotonic()
            self.descriptors = max(self.descriptors, descriptors)

    def _unread(self) -> int:
        """Returns the bytes that the kernel holds for the process's ports."""
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].rpartition(":")[2] in self._ports:
                unread += int(fields[4].partition(":")[2], 16)
        return unread


@contextlib.contextmanager
def crowd_at(address: str, pieces: list[Iterator[bytes]], usage: Usage):
    """Starts a crowd, yields it once it has settled, and closes it."""
    crowd = Crowd(address=address, pieces=pieces)
    crowd.start()
    try:
        crowd.wait(usage)
        yield crowd
    finally:
        crowd.close()


def status_of(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    fields: dict[str, str] | None = None,
) -> int | None:
    """Sends an ordinary request; returns its status, or None without one."""
    connection = http.client.HTTPConnection(address, timeout=ANSWER_SECONDS)
    try:
        connection.request(method, path, body, fields or {})
        with contextlib.closing(connection.getresponse()) as response:
            response.read()
            return response.status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def is_answered(send: Callable[[], int | None]) -> bool:
    """Repeats an ordinary request; returns whether it succeeds in time."""
    end = time.monotonic() + REPEAT_SECONDS
    while send() != 200:
        if time.monotonic() > end:
            return False
        time.sleep(PAUSE_SECONDS)
    return True
