"""Hedged calls: an overdue call is sent again while the first stays open."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from pimentoledge.routing import registrations
from pimentoledge.routing import unanswered_calls

# Most open calls of one hedged call. With 0.5 s between calls and a timeout of
# 2.5 s, a store that doesn't respond never has more of them open.
MAX_CALLS = 5


async def first_answer(
    *,
    call: Callable[[], Awaitable[object]],
    overdue: Callable[[], Awaitable[None]],
    failed: Callable[[registrations.Unavailable], None],
) -> object:
    """Returns the first response to a call or to its retries.

    A call sent during an outage of its peer may never be answered, even after
    the peer recovers; a retry on a new connection is answered at once. The
    first call is kept open, since a peer that is only slow will answer it.

    Args:
        call: makes the call; returns Unavailable if there is no response.
        overdue: returns once a response has become overdue.
        failed: called with the result of each call without a response.

    Returns:
        The response, or Unavailable once no call is open.
    """
    calls = {_start(call())}
    overdue_task = _start(overdue())
    try:
        while True:
            await asyncio.wait(
                {*calls, overdue_task}, return_when=asyncio.FIRST_COMPLETED
            )
            for each in [each for each in calls if each.done()]:
                calls.discard(each)
                found = each.result()
                if not isinstance(found, registrations.Unavailable):
                    return found
                failed(found)
            if not calls:
                return found
            if overdue_task.done():
                overdue_task = _start(overdue())
                if len(calls) < MAX_CALLS:
                    calls.add(_start(call()))
    finally:
        for each in (*calls, overdue_task):
            each.cancel()


def _start(awaitable: Awaitable[object]) -> asyncio.Task:
    return asyncio.ensure_future(awaitable)


class AnswerSignal:
    """Wakes tasks that wait for a peer when it answers any call.

    Attributes:
        unanswered: the calls that it did not answer.
    """

    def __init__(self):
        self.unanswered = unanswered_calls.UnansweredCalls()
        self._answered = asyncio.Event()

    def answered(self) -> None:
        """Wakes all waiting tasks."""
        self._answered.set()
        self._answered = asyncio.Event()

    async def next(self) -> None:
        """Waits until the peer answers its next call."""
        await self._answered.wait()
