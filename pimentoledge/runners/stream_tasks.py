"""Reads the streams of one engine on one thread."""

import collections
from collections.abc import Callable
import os
import selectors
import socket
import threading
import time

import attrs
import urllib3

from pimentoledge.runners import streams

READ_BYTES = 65536
# How often silent streams are looked for, in seconds.
SWEEP_SECONDS = 1.0

Deliver = Callable[[list[streams.Event]], None]


@attrs.define(kw_only=True, eq=False)
class OpenStream:
    """A stream that is being read.

    Attributes:
        reader: makes events of its bytes.
        answer: the HTTP answer that it comes in.
        deliver: gets the events.
        last_received: when the last bytes came.
        descriptor: file descriptor of its socket while a task reads it.
        abandoned: whether nobody wants the rest.
    """

    reader: streams.StreamReader
    answer: urllib3.BaseHTTPResponse | None = None
    deliver: Deliver
    last_received: float = 0.0
    descriptor: int = -1
    abandoned: bool = False

    def receive(self) -> list[streams.Event]:
        """Reads what has arrived; waits for it if nothing has.

        Nothing stays behind in the HTTP library's buffer, unless the answer
        comes in chunks: a read that is larger than the buffer empties it, and
        goes to the socket itself when it is empty.
        """
        try:
            data = self.answer.read1(READ_BYTES, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            # ValueError: the answer was closed already.
            return [self.reader.broken(str(error))]
        if not data:
            return [
                self.reader.broken("the stream stopped without its end mark")
            ]
        return list(self.reader.feed(data))

    def read(self) -> None:
        """Reads, and gives the receiver what came."""
        if found := self.receive():
            self.deliver(found)

    def disconnect(self) -> None:
        """Ends the connection, from any thread; `receive` then sees the end."""
        try:
            copy = socket.socket(fileno=os.dup(self.answer.fileno()))
        except (AttributeError, OSError, ValueError):
            # No answer yet, or it has been closed already.
            return
        with copy:
            try:
                copy.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The engine was faster.
                return


class StreamTask:
    """Owns the connections of all streams of one engine.

    A thread for each stream costs a thread switch for each token, and they
    all wake together at each step of the engine. So one thread waits for all
    sockets, and gives what came in one round to each receiver in one call.

    Only answers that aren't in chunks can be read so: of a chunked one, parts
    may already lie in the HTTP library's buffer, where a selector does not
    see them.

    Attributes:
        silence: seconds without a byte after which a stream is broken.
    """

    def __init__(self, *, silence: float):
        self.silence = silence
        self.selector = None
        self.inbox: collections.deque[OpenStream] = collections.deque()
        self.readings: set[OpenStream] = set()
        self.closing = False
        self.thread = None

    def start(self) -> None:
        """Starts the thread."""
        self.selector = selectors.DefaultSelector()
        self.waker, self.wakened = socket.socketpair()
        self.waker.setblocking(False)
        self.selector.register(self.wakened, selectors.EVENT_READ)
        self.thread = threading.Thread(target=self.run, name="engine-streams")
        self.thread.start()

    def close(self) -> None:
        """Breaks the streams that still run, and ends the thread."""
        self.closing = True
        self.wake()
        self.thread.join()
        self.selector.close()
        self.waker.close()
        self.wakened.close()

    def add(self, reading: OpenStream) -> None:
        """Begins to read a stream; from any thread."""
        self.inbox.append(reading)
        self.wake()

    def abandon(self, reading: OpenStream) -> None:
        """Ends a stream that nobody wants any more, without an event."""
        reading.abandoned = True
        self.wake()

    def wake(self) -> None:
        """Makes the thread look at its inbox."""
        try:
            self.waker.send(b"w")
        except BlockingIOError:
            # So many wakes are waiting that it will look anyway.
            pass

    def run(self) -> None:
        """Reads until the end."""
        swept = time.monotonic()
        while not self.closing:
            ready = self.selector.select(SWEEP_SECONDS)
            now = time.monotonic()
            self._round([key for key, _ in ready], now)
            if now - swept >= SWEEP_SECONDS:
                swept = now
                self._sweep(now)
        self._register(time.monotonic())
        for reading in list(self.readings):
            self._drop(reading)
            reading.deliver([reading.reader.broken("the client was closed")])

    def _round(self, ready: list[selectors.SelectorKey], now: float) -> None:
        batches: dict[Deliver, list[streams.Event]] = {}
        for key in ready:
            reading = key.data
            if reading is None:
                self._look(now)
                continue
            if reading not in self.readings:
                # It was abandoned, and dropped earlier in this round. Its
                # descriptor may already be another stream's.
                continue
            found = reading.receive()
            reading.last_received = now
            if found:
                batches.setdefault(reading.deliver, []).extend(found)
            if reading.reader.over:
                self._drop(reading)
        for deliver, found in batches.items():
            deliver(found)

    def _look(self, now: float) -> None:
        self.wakened.recv(READ_BYTES)
        self._register(now)
        for reading in [each for each in self.readings if each.abandoned]:
            self._drop(reading)

    def _register(self, now: float) -> None:
        while self.inbox:
            reading = self.inbox.popleft()
            reading.last_received = now
            self.readings.add(reading)
            reading.descriptor = reading.answer.fileno()
            self.selector.register(
                reading.descriptor, selectors.EVENT_READ, reading
            )

    def _drop(self, reading: OpenStream) -> None:
        self.readings.remove(reading)
        self.selector.unregister(reading.descriptor)
        reading.answer.close()

    def _sweep(self, now: float) -> None:
        # An engine whose VM froze sends nothing and closes nothing: the
        # stream just stands still. Its reader must not wait for ever.
        for reading in list(self.readings):
            if now - reading.last_received > self.silence:
                self._drop(reading)
                event = reading.reader.broken("the engine fell silent")
                reading.deliver([event])
