"""Decides whether a router accepts a further connection of a client.

The load balancer may hand one router more connections than it can serve. What
it reads it has to serve, and too many requests at once make all of them late.
A connection that it closes unread is opened again at another router, so at its
limit it leaves the rest to them. The limit follows from how late the router is
with the requests that it has.
"""

import math

# Shares of late iterations of the event loop above which the limit falls, and
# below which it rises.
MAX_LATE = 0.5
LOW_LATE = 0.25
# The limit falls at most once in this time, since the requests that it leaves
# have to end before it shows.
FALL_SECONDS = 0.4
FALL_FACTOR = 0.8
# Rise of a limit that is reached, for each interval.
RISE_SECONDS = 0.1
RISE_FACTOR = 1.05
MIN_LIMIT = 4.0
# Without overload for this long, there is no limit.
FORGET_SECONDS = 5.0
# One connection is accepted in this time even at the limit: otherwise a router
# whose kept connections use all it has would appear to be dead.
MIN_INTERVAL_SECONDS = 0.5


class ConnectionLimit:
    """Bound on the requests in progress at which connections are accepted.

    Attributes:
        limit: the bound, infinite while the router is not overloaded.
        overloaded_at: when the router was last overloaded.
        accepted: number of accepted connections.
        refused: number of connections closed unread.
    """

    def __init__(self):
        self.limit = math.inf
        self.overloaded_at = -math.inf
        self.accepted = 0
        self.refused = 0
        self._fell_at = -math.inf
        self._rose_at = -math.inf
        self._accepted_at = -math.inf

    def is_needed(self, late_share: float) -> bool:
        """Returns whether there is a limit, or overload that calls for one."""
        return late_share > MAX_LATE or not math.isinf(self.limit)

    def accepts(self, in_progress: int, late_share: float, now: float) -> bool:
        """Returns whether a further connection is accepted.

        Args:
            in_progress: requests in progress, and accepted connections without
                a request so far.
            late_share: share of the last second that the event loop spent in
                long iterations.
            now: the time.
        """
        self._adapt(in_progress, late_share, now)
        if (
            in_progress >= self.limit
            and now - self._accepted_at < MIN_INTERVAL_SECONDS
        ):
            self.refused += 1
            return False
        self._accepted_at = now
        self.accepted += 1
        return True

    def _adapt(self, in_progress: int, late_share: float, now: float) -> None:
        if late_share > MAX_LATE:
            self.overloaded_at = now
            if now - self._fell_at >= FALL_SECONDS:
                self._fell_at = now
                bound = max(MIN_LIMIT, FALL_FACTOR * in_progress)
                self.limit = min(self.limit, bound)
            return
        if math.isinf(self.limit):
            return
        if now - self.overloaded_at > FORGET_SECONDS:
            self.limit = math.inf
        elif (
            late_share < LOW_LATE
            and in_progress >= self.limit
            and now - self._rose_at >= RISE_SECONDS
        ):
            self._rose_at = now
            self.limit = max(RISE_FACTOR * self.limit, self.limit + 1)
