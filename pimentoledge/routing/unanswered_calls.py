"""Which calls of a router to the store were not answered, and when sent."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import attrs

from pimentoledge.routing import clocks

# A call without a response for this time is overdue, and is sent again on a new
# connection. Responses take 4 ms, or about 360 ms from a slow store. A call
# sent during an outage is never answered, so routers that started in one would
# otherwise wait for the timeout of the first call, 2.5 s.
OVERDUE_SECONDS = 0.5
# Number of calls without an answer that are remembered.
MAX_LOST = 64


@attrs.define(kw_only=True, eq=False)
class TrackedCall:
    """A call to the store.

    Attributes:
        kind: kind of the objects that it requests.
        sent: when it was sent.
        answered: whether it ended, by an answer or an error, in time.
    """

    kind: str
    sent: float
    answered: bool = False


class UnansweredCalls:
    """Calls of all watchers of a router that the store did not answer.

    A call that is sent in an outage is never answered, so it shows that the
    store was silent when it was sent, but not that it was when its timeout
    ended.
    """

    def __init__(self):
        self._open: set[TrackedCall] = set()
        self._lost: collections.deque[TrackedCall] = collections.deque(
            maxlen=MAX_LOST
        )

    @contextlib.contextmanager
    def track(
        self, kind: str, arrived: Callable[[float, float], float]
    ) -> Iterator[TrackedCall]:
        """Tracks a call while it is open.

        Args:
            kind: kind of the objects that it requests.
            arrived: returns the earliest time at which data that is read at a
                given time may have arrived, in answer to a call of a given
                time.
        """
        call = TrackedCall(kind=kind, sent=clocks.now())
        self._open.add(call)
        try:
            yield call
        finally:
            self._open.discard(call)
            if not call.answered and _is_overdue(call, arrived):
                self._lost.append(call)

    def silent_at(
        self,
        kind: str,
        *,
        since: float,
        before: float,
        arrived: Callable[[float, float], float],
    ) -> float:
        """Returns when the store was last shown to be silent, or 0.

        The calls of other kinds count only if one of this kind was lost too:
        the store may answer one kind and not another.

        Args:
            kind: kind of the objects.
            since: when a call of this kind was last answered.
            before: when the call was sent that was answered now. One that was
                sent later and has no answer yet is only slow.
            arrived: as in `track`.
        """
        lost = [each for each in self._lost if each.sent < before]
        lost += [
            each
            for each in self._open
            if each.sent < before and _is_overdue(each, arrived)
        ]
        if not any(each.kind == kind and each.sent > since for each in lost):
            return 0.0
        return max(each.sent for each in lost)


def _is_overdue(
    call: TrackedCall, arrived: Callable[[float, float], float]
) -> bool:
    """Returns whether a call had no answer for some time without a pause."""
    until = arrived(clocks.now(), call.sent)
    return until - call.sent >= OVERDUE_SECONDS
