"""The retry budget, which all routers share."""

import collections

# Part of the shared budget that is used. The rest is a margin for routers that
# count too few members, and for sliding windows that are not aligned.
SAFETY_FACTOR = 0.9
# Part of the slack that may be used at once. The rest becomes available over
# the length of the window.
BURST_SHARE = 0.25


class Budget:
    """This router's part of the retry budget of one service.

    The limit holds for all routers together in any window, however often their
    processes start. Each applies the ratio to its own requests, which needs no
    memory of former processes. An equal part of the slack is a token bucket
    that is empty when a process starts: what it holds and what it earns in a
    window are together that part.

    Attributes:
        ratio: number of retries allowed for each request.
        slack: number of retries allowed in addition, for all routers together.
        window_seconds: length of the sliding window.
        burst_share: part of the slack that may be used at once.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_seconds: float,
        started_at: float,
        burst_share: float = BURST_SHARE,
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.burst_share = burst_share
        self._requests: collections.deque[float] = collections.deque()
        # Time of each retry, and the part of it that the ratio allowed.
        self._by_ratio: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._level = 0.0
        self._filled_at = started_at

    def note_request(self, now: float) -> None:
        """Counts a client's request."""
        self._requests.append(now)
        self._expire(now)

    def _expire(self, now: float) -> None:
        start = now - self.window_seconds
        while self._requests and self._requests[0] < start:
            self._requests.popleft()
        while self._by_ratio and self._by_ratio[0][0] < start:
            self._by_ratio.popleft()

    def allowance(self, now: float, members: int) -> float:
        """Returns how many more retries may be made now.

        Args:
            now: the time, in seconds of clocks.now.
            members: number of routers that share the budget.
        """
        self._fill(now, members)
        return self._left_by_ratio(now) + self._level

    def _fill(self, now: float, members: int) -> None:
        """Adds what the slack has earned since the last call."""
        slack = SAFETY_FACTOR * self.slack / max(1, members)
        # In a large fleet a smaller bucket would never hold a whole retry.
        top = max(self.burst_share * slack, min(1.0, slack))
        rate = (slack - top) / self.window_seconds
        earned = rate * max(0.0, now - self._filled_at)
        self._level = min(top, self._level + earned)
        self._filled_at = max(now, self._filled_at)

    def _left_by_ratio(self, now: float) -> float:
        self._expire(now)
        limit = SAFETY_FACTOR * self.ratio * len(self._requests)
        return max(0.0, limit - sum(part for _, part in self._by_ratio))

    def try_consume(self, now: float, members: int) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        if self.allowance(now, members) < 1:
            return False
        part = min(1.0, self._left_by_ratio(now))
        self._by_ratio.append((now, part))
        self._level -= 1 - part
        return True
