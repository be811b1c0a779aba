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
IDLE_CHECK_SECONDS = 1.0

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
    response: urllib3.BaseHTTPResponse | None = None
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
            data = self.response.read1(READ_BYTES, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            # ValueError: the answer was closed already.
            return [self.reader.mark_broken(str(error))]
        if not data:
            return [
                self.reader.mark_broken(
                    "the stream stopped without its end mark"
                )
            ]
        return list(self.reader.feed(data))

    def receive_and_deliver(self) -> None:
        """Reads, and gives the receiver what came."""
        if received := self.receive():
            self.deliver(received)

    def disconnect(self) -> None:
        """Ends the connection, from any thread; `receive` then sees the end."""
        try:
            copy = socket.socket(fileno=os.dup(self.response.fileno()))
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

    def __init__(self, *, idle_timeout: float):
        self.idle_timeout = idle_timeout
        self.selector = None
        self.new_streams: collections.deque[OpenStream] = collections.deque()
        self.open_streams: set[OpenStream] = set()
        self.closing = False
        self.thread = None

    def start(self) -> None:
        """Starts the thread."""
        self.selector = selectors.DefaultSelector()
        self.wake_sender, self.wake_receiver = socket.socketpair()
        self.wake_sender.setblocking(False)
        self.selector.register(self.wake_receiver, selectors.EVENT_READ)
        self.thread = threading.Thread(target=self.run, name="engine-streams")
        self.thread.start()

    def close(self) -> None:
        """Breaks the streams that still run, and ends the thread."""
        self.closing = True
        self.wake()
        self.thread.join()
        self.selector.close()
        self.wake_sender.close()
        self.wake_receiver.close()

    def add(self, stream: OpenStream) -> None:
        """Begins to read a stream; from any thread."""
        self.new_streams.append(stream)
        self.wake()

    def abandon(self, stream: OpenStream) -> None:
        """Ends a stream that nobody wants any more, without an event."""
        stream.abandoned = True
        self.wake()

    def wake(self) -> None:
        """Makes the thread look at its inbox."""
        try:
            self.wake_sender.send(b"w")
        except BlockingIOError:
            # So many wakes are waiting that it will look anyway.
            pass

    def run(self) -> None:
        """Reads until the end."""
        last_idle_check = time.monotonic()
        while not self.closing:
            ready = self.selector.select(IDLE_CHECK_SECONDS)
            now = time.monotonic()
            self._read_ready([key for key, _ in ready], now)
            if now - last_idle_check >= IDLE_CHECK_SECONDS:
                last_idle_check = now
                self._break_idle(now)
        self._register_new(time.monotonic())
        for stream in list(self.open_streams):
            self._drop(stream)
            stream.deliver([stream.reader.mark_broken("the client was closed")])

    def _read_ready(
        self, ready: list[selectors.SelectorKey], now: float
    ) -> None:
        batches: dict[Deliver, list[streams.Event]] = {}
        for key in ready:
            stream = key.data
            if stream is None:
                self._handle_wakeup(now)
                continue
            if stream not in self.open_streams:
                # It was abandoned, and dropped earlier in this round. Its
                # descriptor may already be another stream's.
                continue
            received = stream.receive()
            stream.last_received = now
            if received:
                batches.setdefault(stream.deliver, []).extend(received)
            if stream.reader.finished:
                self._drop(stream)
        for deliver, received in batches.items():
            deliver(received)

    def _handle_wakeup(self, now: float) -> None:
        self.wake_receiver.recv(READ_BYTES)
        self._register_new(now)
        for stream in [each for each in self.open_streams if each.abandoned]:
            self._drop(stream)

    def _register_new(self, now: float) -> None:
        while self.new_streams:
            stream = self.new_streams.popleft()
            stream.last_received = now
            self.open_streams.add(stream)
            stream.descriptor = stream.response.fileno()
            self.selector.register(
                stream.descriptor, selectors.EVENT_READ, stream
            )

    def _drop(self, stream: OpenStream) -> None:
        self.open_streams.remove(stream)
        self.selector.unregister(stream.descriptor)
        stream.response.close()

    def _break_idle(self, now: float) -> None:
        # An engine whose VM froze sends nothing and closes nothing: the
        # stream just stands still. Its reader must not wait for ever.
        for stream in list(self.open_streams):
            if now - stream.last_received > self.idle_timeout:
                self._drop(stream)
                event = stream.reader.mark_broken("the engine fell silent")
                stream.deliver([event])
