"""One thread that sends the text of all open streams.

Waking a thread for each token costs many times what sending it does. So the
core's thread only says which streams have text, and this thread sends for all
of them, each time that it is woken.
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

# A stream whose caller takes nothing for so long is given up.
STUCK_SECONDS = 10.0
_CHECK_SECONDS = 1.0
_WATCHED = select.EPOLLRDHUP
_CLOSED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

_log = logbook.Logger("writers")


class StreamEnd(enum.Enum):
    """How the sending of a stream ended."""

    WHOLE = "whole"
    CUT = "cut"
    GONE = "gone"


@attrs.define(kw_only=True, eq=False)
class OutgoingStream:
    """A stream that the writer sends.

    Attributes:
        replies: where its replies come from.
        encoder: gives them their form.
        sock: the caller's socket, not blocking; the writer's until the end.
        chunked: whether the answer is sent in HTTP chunks.
        unsent: bytes that the socket did not take yet.
        stalled_since: when it last took some, while there is a rest.
        end: how it ends once the rest is sent; None while it goes on.
        over: set when the writer is done with it.
    """

    replies: replies.ReplyQueue
    encoder: answers.CompletionEncoder
    sock: socket.socket
    chunked: bool
    unsent: bytes = b""
    stalled_since: float = 0.0
    end: StreamEnd | None = None
    over: threading.Event = attrs.field(factory=threading.Event)


class StreamWriter:
    """Sends streams from a thread of its own.

    Attributes:
        streams: open streams by file number.
        ready: streams that have replies; None to look for `closing`.
        sleeping: whether the thread has to be woken for what is ready.
        blocked: file numbers of streams with a rest.
        closing: whether the thread should end.
    """

    def __init__(self):
        self.streams: dict[int, OutgoingStream] = {}
        self.ready: collections.deque[OutgoingStream | None] = (
            collections.deque()
        )
        self.sleeping = False
        self.blocked: set[int] = set()
        self.closing = False
        self.epoll: select.epoll | None = None
        self.alarm = -1
        self.thread = threading.Thread(target=self.run, name="writer")

    def start(self) -> None:
        """Starts the thread."""
        self.epoll = select.epoll()
        self.alarm = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.epoll.register(self.alarm, select.EPOLLIN)
        self.thread.start()

    def close(self) -> None:
        """Ends the thread; streams that are open count as gone."""
        self.closing = True
        if self.epoll is None:
            return
        self.notify(None, True)
        self.thread.join()
        self.epoll.close()
        os.close(self.alarm)

    def write(self, stream: OutgoingStream) -> StreamEnd:
        """Sends a stream to its end; called by the caller's thread."""
        stream.replies.set_listener(functools.partial(self.notify, stream))
        while not stream.over.wait(STUCK_SECONDS):
            if not self.thread.is_alive():
                return StreamEnd.GONE
        return stream.end

    def notify(self, stream: OutgoingStream | None, last: bool) -> None:
        """Says that a stream has replies; any thread may call it."""
        del last  # The writer takes whatever there is.
        self.ready.append(stream)
        if self.sleeping:
            self.sleeping = False
            os.eventfd_write(self.alarm, 1)

    def run(self) -> None:
        """Sends until closed."""
        checked = time.monotonic()
        while not self.closing:
            self._wait()
            self._send_ready()
            now = time.monotonic()
            if now - checked > _CHECK_SECONDS:
                checked = now
                self._give_up_stuck(now)
        for stream in list(self.streams.values()):
            self._finish(stream, StreamEnd.GONE)

    def _wait(self) -> None:
        # `sleeping` is set before `ready` is looked at: whoever appends after
        # the look sees it set and wakes this thread.
        self.sleeping = True
        timeout = 0.0 if self.ready else _CHECK_SECONDS
        found = self.epoll.poll(timeout)
        self.sleeping = False
        for fileno, seen in found:
            if fileno == self.alarm:
                os.eventfd_read(self.alarm)
            else:
                self._take_event(fileno, seen)

    def _take_event(self, fileno: int, seen: int) -> None:
        stream = self.streams.get(fileno)
        if stream is None:
            return
        if seen & _CLOSED:
            self._finish(stream, StreamEnd.GONE)
        elif seen & select.EPOLLOUT:
            self._send(stream, b"")

    def _send_ready(self) -> None:
        for _ in range(len(self.ready)):
            stream = self.ready.popleft()
            if stream is None or stream.over.is_set():
                continue
            fileno = stream.sock.fileno()
            if fileno not in self.streams:
                self.streams[fileno] = stream
                self.epoll.register(fileno, _WATCHED)
            # While the socket is full, what comes waits in the bounded
            # Replies; there it may end the stream, but it takes no memory.
            if not stream.unsent:
                self._send_or_cut(stream)

    def _send_or_cut(self, stream: OutgoingStream) -> None:
        try:
            self._send_replies(stream)
        except Exception:  # A defect met by one stream must not end them all.
            _log.critical("defect: {}", traceback.format_exc())
            self._finish(stream, StreamEnd.CUT)

    def _send_replies(self, stream: OutgoingStream) -> None:
        data = b""
        for reply in stream.replies.take_ready():
            match reply:
                case actions.ReplyText():
                    data += stream.encoder.encode_text(reply.text)
                case actions.ReplyEnd():
                    data += stream.encoder.encode_end(reply)
                    stream.end = StreamEnd.WHOLE
                case actions.ReplyError():
                    data += answers.encode_failure(reply.error)
                    stream.end = StreamEnd.CUT
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
            self._finish(stream, StreamEnd.GONE)
            return
        stream.unsent = data[sent:]
        if stream.unsent:
            self._block(stream, was_full, sent)
        elif stream.end is not None:
            self._finish(stream, stream.end)
        elif was_full:
            self._unblock(stream)

    def _block(self, stream: OutgoingStream, was_full: bool, sent: int) -> None:
        if sent or not was_full:
            stream.stalled_since = time.monotonic()
        if not was_full:
            fileno = stream.sock.fileno()
            self.blocked.add(fileno)
            self.epoll.modify(fileno, _WATCHED | select.EPOLLOUT)

    def _unblock(self, stream: OutgoingStream) -> None:
        fileno = stream.sock.fileno()
        self.blocked.discard(fileno)
        self.epoll.modify(fileno, _WATCHED)
        self._send_or_cut(stream)

    def _give_up_stuck(self, now: float) -> None:
        for fileno in list(self.blocked):
            stream = self.streams[fileno]
            if now - stream.stalled_since > STUCK_SECONDS:
                self._finish(stream, StreamEnd.GONE)

    def _finish(self, stream: OutgoingStream, end: StreamEnd) -> None:
        fileno = stream.sock.fileno()
        if self.streams.pop(fileno, None) is None:
            return
        self.blocked.discard(fileno)
        self.epoll.unregister(fileno)
        stream.end = end
        stream.over.set()
