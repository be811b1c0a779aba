"""Passes replies from an entry's core thread to the thread of a caller."""

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
    """Queue of the replies to one request, with one producer and one consumer.

    A slow reader must affect only its own stream and use a bounded amount of
    memory. Therefore `put` never blocks, and text above the limit ends the
    stream. Each byte count is written by one thread only, so that no lock is
    needed.

    Attributes:
        limit_bytes: maximum amount of queued text; each character counts as
            one byte.
        overflowed: whether the limit was exceeded.
        pending: queued replies.
        listener: called when replies are queued, in place of waiting in
            `get_all`; its argument tells whether the last reply may be
            among them.
        listener_called: whether `listener` was called for the pending replies.
        put_bytes: text queued so far; written only by the producer.
        read_bytes: text dequeued so far; written only by the consumer.
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
        """Queues a reply for the caller's thread without blocking.

        Returns:
            Whether the stream continues. False once the caller reads too
            slowly: no further reply is delivered, and the request should be
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
        """Sets the function to call when replies are queued.

        Replies may already be queued, even the last one, so the function is
        also called immediately.
        """
        self.listener = listener
        listener(True)

    def get_all(self, timeout: float) -> list[Reply]:
        """Waits for replies and returns all that are queued.

        Args:
            timeout: maximum wait in seconds.

        Returns:
            All text as one ReplyText, then the last reply if it is queued;
            an empty list on timeout.
        """
        try:
            first = self.pending.get(timeout=timeout)
        except queue.Empty:
            return []
        return self._collect([first])

    def get_ready(self) -> list[Reply]:
        """Returns all queued replies as `get_all` does, without waiting."""
        # Cleared first, so that replies queued from here on call the listener.
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
        # `overflowed` is set before the error is queued, so the error follows.
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
