"""The highest recent value of a count."""

import collections


class PeakCount:
    """Keeps the highest value of a count in a sliding window.

    Attributes:
        window_seconds: length of the window.
    """

    def __init__(self, *, window_seconds: float):
        self.window_seconds = window_seconds
        # Times and values; each value is higher than all later ones.
        self._values: collections.deque[tuple[float, int]] = collections.deque()

    def note(self, value: int, now: float) -> int:
        """Records a value; returns the highest in the window."""
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now, value))
        while now - self._values[0][0] > self.window_seconds:
            self._values.popleft()
        return self._values[0][1]
