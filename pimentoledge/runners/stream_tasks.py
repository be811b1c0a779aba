"""Reads all streams of one engine on a single thread."""

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
# Interval of the checks for idle streams.
IDLE_CHECK_SECONDS = 1.0

Deliver = Callable[[list[streams.Event]], None]


@attrs.define(kw_only=True, eq=False)
class OpenStream:
    """A stream whose response is being read.

    Attributes:
        reader: parses its bytes into events.
        response: the HTTP response; None until its headers have arrived.
        deliver: callback that receives the events.
        last_received: when the last bytes arrived.
        descriptor: file descriptor of its socket while a task reads it.
        abandoned: whether the receiver no longer needs the rest.
    """

    reader: streams.StreamReader
    response: urllib3.BaseHTTPResponse | None = None
    deliver: Deliver
    last_received: float = 0.0
    descriptor: int = -1
    abandoned: bool = False

    def receive(self) -> list[streams.Event]:
        """Reads what has arrived; blocks if nothing has.

        No bytes remain in the HTTP library's buffer, unless the response uses
        chunked encoding: a read larger than the buffer drains it, and reads
        from the socket directly when the buffer is empty.
        """
        try:
            data = self.response.read1(READ_BYTES, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            # ValueError: the response is already closed.
            return [self.reader.mark_broken(str(error))]
        if not data:
            return [
                self.reader.mark_broken(
                    "the stream stopped without its end mark"
                )
            ]
        return list(self.reader.feed(data))

    def receive_and_deliver(self) -> None:
        """Reads what has arrived and passes its events to the receiver."""
        if received := self.receive():
            self.deliver(received)

    def disconnect(self) -> None:
        """Shuts the connection down so that `receive` ends; thread-safe."""
        try:
            copy = socket.socket(fileno=os.dup(self.response.fileno()))
        except (AttributeError, OSError, ValueError):
            # There is no response yet, or it is already closed.
            return
        with copy:
            try:
                copy.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The engine has already closed the connection.
                return


class StreamTask:
    """Owns the connections of all streams of one engine.

    One thread per stream would cost a thread switch per token, and all threads
    would wake up at each step of the engine. Instead, one thread waits for all
    sockets and passes the events of one round to each receiver in one call.

    This works only for responses without chunked encoding: parts of a chunked
    one may already be in the HTTP library's buffer, where a selector does not
    see them.

    Attributes:
        idle_timeout: seconds without a byte after which a stream is broken.
        new_streams: streams that the thread has not registered yet.
        open_streams: streams registered with the selector.
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
        """Ends all open streams as broken, and stops the thread."""
        self.closing = True
        self.wake()
        self.thread.join()
        self.selector.close()
        self.wake_sender.close()
        self.wake_receiver.close()

    def add(self, stream: OpenStream) -> None:
        """Starts reading a stream; thread-safe."""
        self.new_streams.append(stream)
        self.wake()

    def abandon(self, stream: OpenStream) -> None:
        """Closes a stream that is no longer needed, without an event."""
        stream.abandoned = True
        self.wake()

    def wake(self) -> None:
        """Makes the thread process new and abandoned streams."""
        try:
            self.wake_sender.send(b"w")
        except BlockingIOError:
            # The socket is full of unread wake-ups, so the thread wakes anyway.
            pass

    def run(self) -> None:
        """Reads streams until the task is closed."""
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
                # The stream was abandoned and dropped earlier in this round.
                # Its descriptor may already belong to another stream.
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
        # An engine on a frozen VM neither sends data nor closes its
        # connections; without a timeout its streams would never end.
        for stream in list(self.open_streams):
            if now - stream.last_received > self.idle_timeout:
                self._drop(stream)
                event = stream.reader.mark_broken("the engine fell silent")
                stream.deliver([event])
