"""The retry budget, which all routers share."""

import collections

# Part of the shared budget that is used. The rest is a margin for routers that
# count too few members, and for sliding windows that are not aligned.
SAFETY_FACTOR = 0.9


class Budget:
    """This router's part of the retry budget of one service.

    The limit holds for all routers together in any window. Each router applies
    the ratio to its own requests and uses an equal part of the slack.

    Attributes:
        ratio: number of retries allowed for each request.
        slack: number of retries allowed in addition, for all routers together.
        window_seconds: length of the sliding window.
        started_at: when this process started, in seconds of clocks.now.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_seconds: float,
        started_at: float,
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.started_at = started_at
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a client's request."""
        self._requests.append(now)
        self._expire(now)

    def _expire(self, now: float) -> None:
        start = now - self.window_seconds
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()

    def allowance(self, now: float, members: int) -> float:
        """Returns how many more retries may be made now.

        Args:
            now: the time, in seconds of clocks.now.
            members: number of routers that share the budget.
        """
        self._expire(now)
        slack = self.slack / max(1, members)
        if now - self.started_at < self.window_seconds:
            # Before a restart, this router may have used its part in the same
            # window.
            slack /= 2
        limit = SAFETY_FACTOR * (self.ratio * len(self._requests) + slack)
        return limit - len(self._retries)

    def try_consume(self, now: float, members: int) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        if self.allowance(now, members) < 1:
            return False
        self._retries.append(now)
        return True
