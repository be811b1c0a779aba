"""The retry budget, which all routers share."""

# Part of the shared budget that is used. The rest is a margin for routers that
# count too few members, and for retries that reach servers late.
SAFETY_FACTOR = 0.9
# Part of the slack that may be used at once. The rest becomes available over
# the length of the window.
BURST_SHARE = 0.5


class Budget:
    """This router's part of the retry budget of one service.

    The limit holds for all routers together in any window, however often their
    processes start and clients change routers. So nothing depends on what
    other processes have used: each has a token bucket that is empty when it
    starts. Requests and an equal part of the slack fill it. What it holds and
    what the slack adds in a window are together that part, so the requests of
    earlier windows allow nothing beyond it.

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
        self._level = 0.0
        self._filled_at = started_at
        self._requested_at = started_at

    def note_request(self, now: float, members: int) -> None:
        """Counts a client's request.

        Args:
            now: the time, in seconds of clocks.now.
            members: number of routers that share the budget.
        """
        self._fill(now, members)
        self._requested_at = now
        earned = SAFETY_FACTOR * self.ratio
        self._level = min(self._capacity(now, members), self._level + earned)

    def allowance(self, now: float, members: int) -> float:
        """Returns how many more retries may be made now.

        Args:
            now: the time, in seconds of clocks.now.
            members: number of routers that share the budget.
        """
        self._fill(now, members)
        return self._level

    def try_consume(self, now: float, members: int) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        if self.allowance(now, members) < 1:
            return False
        self._level -= 1
        return True

    def _fill(self, now: float, members: int) -> None:
        """Adds what the slack has earned since the last call."""
        part = self._part(members)
        capacity = self._capacity(now, members)
        held = min(part, capacity)
        rate = (part - held) / self.window_seconds
        earned = rate * max(0.0, now - self._filled_at)
        level = min(self._level, capacity)
        self._level = max(level, min(held, level + earned))
        self._filled_at = max(now, self._filled_at)

    def _part(self, members: int) -> float:
        """Returns this router's part of the slack."""
        return SAFETY_FACTOR * self.slack / max(1, members)

    def _capacity(self, now: float, members: int) -> float:
        """Returns the most retries that may be made at once."""
        part = self._part(members)
        if part < 1 and now - self._requested_at >= self.window_seconds:
            return part
        # In a large fleet a smaller bucket would never hold a whole retry.
        return max(1.0, self.burst_share * part)
