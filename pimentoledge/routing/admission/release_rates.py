"""How fast places at a service's servers become free."""

# Half-life of what was observed of ended attempts.
HALF_LIFE_SECONDS = 5.0
# Fewer ended attempts than this say nothing of the rate.
MIN_RELEASED = 3.0
# Decayed number of ended attempts below which a rate is discarded.
NEGLIGIBLE = 0.001
LN_2 = 0.6931


class ReleaseRate:
    """Estimates waits for a place from the attempts that have ended.

    Two estimates are made, and the shorter wait counts, since a refused request
    costs its caller more than a late one. One is the rate at which attempts of
    this router have ended. The other is this router's part of the places in use
    divided by the time for which an attempt holds one; it is right also for a
    router that had few requests before a burst.

    Attributes:
        count: decayed number of ended attempts.
        seconds: decayed sum of the times for which they held their places.
    """

    def __init__(self):
        self.count = 0.0
        self.seconds = 0.0
        self._at = 0.0

    def note_released(self, work: float, now: float) -> None:
        """Records an ended attempt.

        Args:
            work: seconds for which it held its place.
            now: the time.
        """
        self._decay(now)
        self.count += 1
        self.seconds += work

    def mean_seconds(self) -> float | None:
        """Returns how long an attempt holds a place, or None if unknown."""
        if self.count < MIN_RELEASED:
            return None
        return self.seconds / self.count

    def expected_wait(
        self, ahead: int, now: float, *, in_use: float = 1.0, routers: int = 1
    ) -> float | None:
        """Returns the seconds until a request gets a place, or None if unknown.

        Args:
            ahead: number of requests that get a place first.
            now: the time.
            in_use: places in use at the service's servers.
            routers: number of routers at which requests wait for them.
        """
        self._decay(now)
        held_seconds = self.mean_seconds()
        if held_seconds is None or in_use <= 0:
            # Without places in use, the servers are idle or have failed.
            return None
        per_second = LN_2 * self.count / HALF_LIFE_SECONDS
        if held_seconds > 0:
            per_second = max(per_second, in_use / held_seconds / routers)
        return (ahead + 1) / per_second

    def is_unused(self, now: float) -> bool:
        """Returns whether nothing has ended for a long time."""
        self._decay(now)
        return self.count < NEGLIGIBLE

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_SECONDS)
        self._at = max(now, self._at)
        self.count *= factor
        self.seconds *= factor
