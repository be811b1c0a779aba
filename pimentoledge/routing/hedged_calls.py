"""A call that is made again beside itself while its answer is overdue."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from pimentoledge.routing import registrations

# Calls of one question under way at a time. With a pause of half a second and
# 2.5 s for each, a silent store never has more waiting for it.
MAX_CALLS = 5


async def first_answer(
    *,
    call: Callable[[], Awaitable[object]],
    overdue: Callable[[], Awaitable[None]],
    failed: Callable[[registrations.Unavailable], None],
) -> object:
    """Returns the first answer of a call and of those made beside it.

    A call that was sent while its peer was silent may never be answered, also
    after the peer is back; one on a new connection is answered at once. The
    first call is kept, since a peer that is only slow will answer it.

    Args:
        call: makes the call; returns Unavailable where there is no answer.
        overdue: returns when an answer has become overdue.
        failed: told of each call without an answer.

    Returns:
        The answer, or Unavailable once no call is under way any more.
    """
    calls = {_start(call())}
    again = _start(overdue())
    try:
        while True:
            await asyncio.wait(
                {*calls, again}, return_when=asyncio.FIRST_COMPLETED
            )
            for each in [each for each in calls if each.done()]:
                calls.discard(each)
                found = each.result()
                if not isinstance(found, registrations.Unavailable):
                    return found
                failed(found)
            if not calls:
                return found
            if again.done():
                again = _start(overdue())
                if len(calls) < MAX_CALLS:
                    calls.add(_start(call()))
    finally:
        for each in (*calls, again):
            each.cancel()


def _start(what: Awaitable[object]) -> asyncio.Task:
    return asyncio.ensure_future(what)


class AnswerSignal:
    """Tells those who wait for a peer that it has answered someone."""

    def __init__(self):
        self._answered = asyncio.Event()

    def answered(self) -> None:
        """Wakes all who wait."""
        self._answered.set()
        self._answered = asyncio.Event()

    async def next(self) -> None:
        """Returns when the peer has answered the next time."""
        await self._answered.wait()
