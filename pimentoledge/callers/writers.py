"""Sends the text of all open streams from a single thread.

Waking a thread for each token costs many times as much as sending the token.
So the core's thread only marks the streams that have text, and this thread
sends the text of all of them on each wakeup.
"""

import collections
import enum
import functools
import os
import select
import socket
import threading
import time
import traceback

import attrs
import logbook

from pimentoledge.callers import answers
from pimentoledge.callers import replies
from pimentoledge.decisions import actions

# A stream is dropped if its caller reads nothing for this long.
STALL_TIMEOUT_SECONDS = 10.0
_STALL_CHECK_SECONDS = 1.0
_WATCHED_EVENTS = select.EPOLLRDHUP
_CLOSED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

_log = logbook.Logger("writers")


class StreamEnd(enum.Enum):
    """How the sending of a stream ended."""

    COMPLETE = "whole"
    FAILED = "cut"
    CALLER_GONE = "gone"


@attrs.define(kw_only=True, eq=False)
class OutgoingStream:
    """A stream that the writer sends.

    Attributes:
        reply_queue: queue of the stream's replies.
        encoder: encodes the replies.
        sock: the caller's non-blocking socket; owned by the writer until the
            stream ends.
        chunked: whether chunked transfer encoding is used.
        unsent: bytes not yet accepted by the socket.
        stalled_since: time of the last progress while bytes are unsent.
        end: how the stream ends once all bytes are sent; None while it is
            open.
        finished: set when the writer has finished the stream.
    """

    reply_queue: replies.ReplyQueue
    encoder: answers.CompletionEncoder
    sock: socket.socket
    chunked: bool
    unsent: bytes = b""
    stalled_since: float = 0.0
    end: StreamEnd | None = None
    finished: threading.Event = attrs.field(factory=threading.Event)


class StreamWriter:
    """Sends streams from a dedicated thread.

    Attributes:
        streams: open streams by file descriptor.
        ready_streams: streams that have replies; None to check `closing`.
        sleeping: whether the thread must be woken up to see new entries of
            `ready_streams`.
        blocked_files: file descriptors of streams with unsent bytes.
        closing: whether the thread should end.
        epoll: waits for socket events and wakeups, once started.
        wakeup_fd: eventfd that wakes the thread up, once started.
        thread: the sending thread.
    """

    def __init__(self):
        self.streams: dict[int, OutgoingStream] = {}
        self.ready_streams: collections.deque[OutgoingStream | None] = (
            collections.deque()
        )
        self.sleeping = False
        self.blocked_files: set[int] = set()
        self.closing = False
        self.epoll: select.epoll | None = None
        self.wakeup_fd = -1
        self.thread = threading.Thread(target=self.run, name="writer")

    def start(self) -> None:
        """Starts the thread."""
        self.epoll = select.epoll()
        self.wakeup_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.epoll.register(self.wakeup_fd, select.EPOLLIN)
        self.thread.start()

    def close(self) -> None:
        """Ends the thread; open streams end as CALLER_GONE."""
        self.closing = True
        if self.epoll is None:
            return
        self.notify(None, True)
        self.thread.join()
        self.epoll.close()
        os.close(self.wakeup_fd)

    def write(self, stream: OutgoingStream) -> StreamEnd:
        """Sends a stream and waits for its end, on the caller's thread."""
        stream.reply_queue.set_listener(functools.partial(self.notify, stream))
        while not stream.finished.wait(STALL_TIMEOUT_SECONDS):
            if not self.thread.is_alive():
                return StreamEnd.CALLER_GONE
        return stream.end

    def notify(self, stream: OutgoingStream | None, last: bool) -> None:
        """Marks a stream as having replies; may be called from any thread."""
        del last  # The writer reads all queued replies.
        self.ready_streams.append(stream)
        if self.sleeping:
            self.sleeping = False
            os.eventfd_write(self.wakeup_fd, 1)

    def run(self) -> None:
        """Sends streams until closed."""
        checked = time.monotonic()
        while not self.closing:
            self._wait()
            self._send_ready()
            now = time.monotonic()
            if now - checked > _STALL_CHECK_SECONDS:
                checked = now
                self._drop_stalled(now)
        for stream in list(self.streams.values()):
            self._finish(stream, StreamEnd.CALLER_GONE)

    def _wait(self) -> None:
        # `sleeping` is set before `ready_streams` is checked, so that a thread
        # that appends after the check sees it and wakes this thread up.
        self.sleeping = True
        timeout = 0.0 if self.ready_streams else _STALL_CHECK_SECONDS
        polled = self.epoll.poll(timeout)
        self.sleeping = False
        for fileno, flags in polled:
            if fileno == self.wakeup_fd:
                os.eventfd_read(self.wakeup_fd)
            else:
                self._handle_event(fileno, flags)

    def _handle_event(self, fileno: int, flags: int) -> None:
        stream = self.streams.get(fileno)
        if stream is None:
            return
        if flags & _CLOSED_EVENTS:
            self._finish(stream, StreamEnd.CALLER_GONE)
        elif flags & select.EPOLLOUT:
            self._send(stream, b"")

    def _send_ready(self) -> None:
        for _ in range(len(self.ready_streams)):
            stream = self.ready_streams.popleft()
            if stream is None or stream.finished.is_set():
                continue
            fileno = stream.sock.fileno()
            if fileno not in self.streams:
                self.streams[fileno] = stream
                self.epoll.register(fileno, _WATCHED_EVENTS)
            # While the socket is full, replies stay in the ReplyQueue, whose
            # limit bounds the memory by ending the stream.
            if not stream.unsent:
                self._send_or_cut(stream)

    def _send_or_cut(self, stream: OutgoingStream) -> None:
        try:
            self._send_replies(stream)
        except Exception:  # A bug in one stream must not end the others.
            _log.critical("defect: {}", traceback.format_exc())
            self._finish(stream, StreamEnd.FAILED)

    def _send_replies(self, stream: OutgoingStream) -> None:
        data = b""
        for reply in stream.reply_queue.get_ready():
            match reply:
                case actions.ReplyText():
                    data += stream.encoder.encode_text(reply.text)
                case actions.ReplyEnd():
                    data += stream.encoder.encode_end(reply)
                    stream.end = StreamEnd.COMPLETE
                case actions.ReplyError():
                    data += answers.encode_failure(reply.error)
                    stream.end = StreamEnd.FAILED
        if data and stream.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if data:
            self._send(stream, data)

    def _send(self, stream: OutgoingStream, data: bytes) -> None:
        was_full = bool(stream.unsent)
        data = stream.unsent + data
        try:
            sent = stream.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._finish(stream, StreamEnd.CALLER_GONE)
            return
        stream.unsent = data[sent:]
        if stream.unsent:
            self._mark_blocked(stream, was_full, sent)
        elif stream.end is not None:
            self._finish(stream, stream.end)
        elif was_full:
            self._resume(stream)

    def _mark_blocked(
        self, stream: OutgoingStream, was_full: bool, sent: int
    ) -> None:
        if sent or not was_full:
            stream.stalled_since = time.monotonic()
        if not was_full:
            fileno = stream.sock.fileno()
            self.blocked_files.add(fileno)
            self.epoll.modify(fileno, _WATCHED_EVENTS | select.EPOLLOUT)

    def _resume(self, stream: OutgoingStream) -> None:
        fileno = stream.sock.fileno()
        self.blocked_files.discard(fileno)
        self.epoll.modify(fileno, _WATCHED_EVENTS)
        self._send_or_cut(stream)

    def _drop_stalled(self, now: float) -> None:
        for fileno in list(self.blocked_files):
            stream = self.streams[fileno]
            if now - stream.stalled_since > STALL_TIMEOUT_SECONDS:
                self._finish(stream, StreamEnd.CALLER_GONE)

    def _finish(self, stream: OutgoingStream, end: StreamEnd) -> None:
        fileno = stream.sock.fileno()
        if self.streams.pop(fileno, None) is None:
            return
        self.blocked_files.discard(fileno)
        self.epoll.unregister(fileno)
        stream.end = end
        stream.finished.set()
