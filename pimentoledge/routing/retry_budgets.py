"""How often requests may be sent once more, over all entries together."""

import collections

# Part of the common allowance that is used: other entries may believe in
# fewer members than there are, and windows slide.
PRUDENCE = 0.9


class Budget:
    """This entry's part of the repeats of one service.

    The bound holds for all entries together in any window; each keeps to its
    own requests' ratio and to its part of the constant.

    Attributes:
        ratio: repeats for each request.
        slack: repeats besides, for all entries together.
        window_seconds: length of the window.
        born: when this process started.
    """

    def __init__(
        self, *, ratio: float, slack: float, window_seconds: float, born: float
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.born = born
        self._asked: collections.deque[float] = collections.deque()
        self._repeated: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a client's request."""
        self._asked.append(now)
        self._expire(now)

    def _expire(self, now: float) -> None:
        start = now - self.window_seconds
        for times in (self._asked, self._repeated):
            while times and times[0] < start:
                times.popleft()

    def allowance(self, now: float, members: int) -> float:
        """Returns how many more repeats may be made now."""
        self._expire(now)
        slack = self.slack / max(1, members)
        if now - self.born < self.window_seconds:
            # A former life of this process may have spent its part in the
            # same window.
            slack /= 2
        most = PRUDENCE * (self.ratio * len(self._asked) + slack)
        return most - len(self._repeated)

    def try_consume(self, now: float, members: int) -> bool:
        """Returns whether a repeat may be made, and counts it."""
        if self.allowance(now, members) < 1:
            return False
        self._repeated.append(now)
        return True
