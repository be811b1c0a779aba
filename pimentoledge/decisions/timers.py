"""Named timers, kept in a heap."""

import heapq


class Timers:
    """Timers by key; setting a key again replaces its timer.

    Attributes:
        heap: (time, key) pairs, including replaced and cancelled timers.
        times: time of the current timer by key.
    """

    def __init__(self):
        self.heap: list[tuple[float, tuple]] = []
        self.times: dict[tuple, float] = {}

    def set(self, key: tuple, at: float) -> None:
        """Sets or replaces the timer of a key."""
        if self.times.get(key) == at:
            return
        self.times[key] = at
        heapq.heappush(self.heap, (at, key))

    def cancel(self, key: tuple) -> None:
        """Cancels a timer; does nothing if there is none."""
        self.times.pop(key, None)

    def due(self, now: float) -> list[tuple]:
        """Removes the timers that are due and returns their keys."""
        keys = []
        while self.heap and self.heap[0][0] <= now:
            at, key = heapq.heappop(self.heap)
            if self.times.get(key) == at:
                del self.times[key]
                keys.append(key)
        return keys

    def next(self) -> float | None:
        """Returns the time of the earliest timer; None if there is none."""
        while self.heap and self.times.get(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None
