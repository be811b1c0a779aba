"""How late the event loop of this process is.

The processor's clock of a process doesn't tell the share of a processor that
the VM grants it. The length of the loop's iterations does: each step of a
request waits for one, and they grow with the work that is ready at once.
"""

import collections
import selectors

from pimentoledge.routing import clocks

# Span over which iterations are observed.
WINDOW_SECONDS = 1.0
# Some eight steps lie between a client's connection and its response, so with
# longer iterations the router itself makes responses late.
LONG_SECONDS = 0.1


class LoopLoad:
    """Observes the iterations of an event loop."""

    def __init__(self):
        # End and length of each long iteration in the window.
        self._long: collections.deque[tuple[float, float]] = collections.deque()
        self._long_seconds = 0.0

    def add_iteration(self, seconds: float, now: float) -> None:
        """Adds an iteration that has just ended.

        Args:
            seconds: its length, without the wait for events.
            now: the time.
        """
        if seconds >= LONG_SECONDS:
            self._long.append((now, seconds))
            self._long_seconds += seconds

    def late_share(self, now: float) -> float:
        """Returns the share of the window spent in long iterations."""
        while self._long and now - self._long[0][0] >= WINDOW_SECONDS:
            self._long_seconds -= self._long.popleft()[1]
        if not self._long:
            # Rounding errors would add up.
            self._long_seconds = 0.0
        return min(1.0, self._long_seconds / WINDOW_SECONDS)


class TimedSelector(selectors.DefaultSelector):
    """A selector that observes the iterations between its calls.

    Attributes:
        load: the load to which it adds them.
    """

    def __init__(self, load: LoopLoad):
        super().__init__()
        self.load = load
        self._returned_at = clocks.now()

    def select(self, timeout: float | None = None):
        """Waits for events; see selectors.BaseSelector."""
        now = clocks.now()
        self.load.add_iteration(now - self._returned_at, now)
        events = super().select(timeout)
        self._returned_at = clocks.now()
        return events
