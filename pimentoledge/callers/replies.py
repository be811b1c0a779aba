"""The way back from an entry's core thread to one caller's thread."""

from collections.abc import Callable
import queue

from pimentoledge import results
from pimentoledge.decisions import actions

Reply = (
    actions.ReplyText
    | actions.ReplyEnd
    | actions.ReplyAnswer
    | actions.ReplyError
)

_TOO_SLOW_ERROR = results.Error(
    code=results.Code.CALLER_GONE,
    text="the answer was read too slowly; the stream was ended",
)


class ReplyQueue:
    """Replies to one request; one thread puts, one other thread takes.

    A caller that reads slowly must cost only its own stream, and no more
    memory than a bound. Hence `put` never waits, and text beyond the bound
    ends the stream. The two byte counts have one writer each, so that neither
    thread needs a lock for them.

    Attributes:
        limit_bytes: most text that may wait; one character counts as one.
        overrun: whether the bound was passed.
        waiting: replies not yet taken.
        notify: told of replies that wait, instead of whoever waits in
            `get_all`; its argument says whether the last reply may be among
            them.
        notified: whether `notify` was told of what waits now.
        put_bytes: text put so far; written only by the putting thread.
        taken_bytes: text taken so far; written only by the taking thread.
    """

    __slots__ = (
        "limit_bytes",
        "listener",
        "listener_called",
        "overflowed",
        "pending",
        "put_bytes",
        "read_bytes",
    )

    def __init__(self, *, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.overflowed = False
        self.pending: queue.SimpleQueue[Reply] = queue.SimpleQueue()
        self.listener: Callable[[bool], None] | None = None
        self.listener_called = False
        self.put_bytes = 0
        self.read_bytes = 0

    def put(self, reply: Reply) -> bool:
        """Hands a reply to the caller's thread; never waits.

        Returns:
            Whether the stream goes on. False once the caller reads too
            slowly: nothing more will reach it, and the request should be
            cancelled.
        """
        if self.overflowed:
            return False
        is_last = type(reply) is not actions.ReplyText
        if not is_last:
            self.put_bytes += len(reply.text)
            if self.put_bytes - self.read_bytes > self.limit_bytes:
                self._overflow(reply.request)
                return False
        self.pending.put(reply)
        if self.listener is not None and (is_last or not self.listener_called):
            self.listener_called = True
            self.listener(is_last)
        return True

    def set_listener(self, listener: Callable[[bool], None]) -> None:
        """Has a function told of replies, from now on.

        Replies may have been put before, even the last one, so the function
        is told of it at once.
        """
        self.listener = listener
        listener(True)

    def get_all(self, timeout: float) -> list[Reply]:
        """Waits for replies and takes all that there are.

        Args:
            timeout: longest wait in seconds.

        Returns:
            Adjoining text as one ReplyText, then the last reply if it is
            there; nothing if nothing came in time.
        """
        try:
            first = self.pending.get(timeout=timeout)
        except queue.Empty:
            return []
        return self._collect([first])

    def get_ready(self) -> list[Reply]:
        """Takes all that is there, as `get_all` does, without waiting."""
        # Cleared first: what is put behind this line is notified again.
        self.listener_called = False
        return self._collect([])

    def _collect(self, collected: list[Reply]) -> list[Reply]:
        for _ in range(self.pending.qsize()):
            collected.append(self.pending.get())
        if self.overflowed and collected:
            return [self._wait_for_error(collected[-1])]
        if len(collected) == 1:
            if type(collected[0]) is actions.ReplyText:
                self.read_bytes += len(collected[0].text)
            return collected
        return self._merge_texts(collected)

    def _wait_for_error(self, reply: Reply) -> Reply:
        # `overrun` is set before the error is put, so the error will come.
        while type(reply) is not actions.ReplyError:
            reply = self.pending.get()
        return reply

    def _merge_texts(self, collected: list[Reply]) -> list[Reply]:
        texts = [each for each in collected if type(each) is actions.ReplyText]
        self.read_bytes += sum(len(each.text) for each in texts)
        if len(texts) < 2:
            return collected
        merged = actions.ReplyText(
            request=texts[0].request,
            text="".join(each.text for each in texts),
            tokens=sum(each.tokens for each in texts),
        )
        return [merged, *collected[len(texts) :]]

    def _overflow(self, request_id: str) -> None:
        self.overflowed = True
        error = actions.ReplyError(request=request_id, error=_TOO_SLOW_ERROR)
        self.pending.put(error)
        if self.listener is not None:
            self.listener(True)
