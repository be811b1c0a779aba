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

_TOO_SLOW = results.Error(
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
        "notified",
        "notify",
        "overrun",
        "put_bytes",
        "taken_bytes",
        "waiting",
    )

    def __init__(self, *, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.overrun = False
        self.waiting: queue.SimpleQueue[Reply] = queue.SimpleQueue()
        self.notify: Callable[[bool], None] | None = None
        self.notified = False
        self.put_bytes = 0
        self.taken_bytes = 0

    def put(self, reply: Reply) -> bool:
        """Hands a reply to the caller's thread; never waits.

        Returns:
            Whether the stream goes on. False once the caller reads too
            slowly: nothing more will reach it, and the request should be
            cancelled.
        """
        if self.overrun:
            return False
        last = type(reply) is not actions.ReplyText
        if not last:
            self.put_bytes += len(reply.text)
            if self.put_bytes - self.taken_bytes > self.limit_bytes:
                self._overrun(reply.request)
                return False
        self.waiting.put(reply)
        if self.notify is not None and (last or not self.notified):
            self.notified = True
            self.notify(last)
        return True

    def set_listener(self, notify: Callable[[bool], None]) -> None:
        """Has a function told of replies, from now on.

        Replies may have been put before, even the last one, so the function
        is told of it at once.
        """
        self.notify = notify
        notify(True)

    def get_all(self, timeout: float) -> list[Reply]:
        """Waits for replies and takes all that there are.

        Args:
            timeout: longest wait in seconds.

        Returns:
            Adjoining text as one ReplyText, then the last reply if it is
            there; nothing if nothing came in time.
        """
        try:
            first = self.waiting.get(timeout=timeout)
        except queue.Empty:
            return []
        return self._taken([first])

    def take_ready(self) -> list[Reply]:
        """Takes all that is there, as `get_all` does, without waiting."""
        # Cleared first: what is put behind this line is notified again.
        self.notified = False
        return self._taken([])

    def _taken(self, ready: list[Reply]) -> list[Reply]:
        for _ in range(self.waiting.qsize()):
            ready.append(self.waiting.get())
        if self.overrun and ready:
            return [self._last(ready[-1])]
        if len(ready) == 1:
            if type(ready[0]) is actions.ReplyText:
                self.taken_bytes += len(ready[0].text)
            return ready
        return self._coalesced(ready)

    def _last(self, reply: Reply) -> Reply:
        # `overrun` is set before the error is put, so the error will come.
        while type(reply) is not actions.ReplyError:
            reply = self.waiting.get()
        return reply

    def _coalesced(self, ready: list[Reply]) -> list[Reply]:
        texts = [each for each in ready if type(each) is actions.ReplyText]
        self.taken_bytes += sum(len(each.text) for each in texts)
        if len(texts) < 2:
            return ready
        whole = actions.ReplyText(
            request=texts[0].request,
            text="".join(each.text for each in texts),
            tokens=sum(each.tokens for each in texts),
        )
        return [whole, *ready[len(texts) :]]

    def _overrun(self, request: str) -> None:
        self.overrun = True
        error = actions.ReplyError(request=request, error=_TOO_SLOW)
        self.waiting.put(error)
        if self.notify is not None:
            self.notify(True)
