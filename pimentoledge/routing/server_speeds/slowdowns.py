"""The slowdown that a server reports of its VM."""

import attrs

# Reports outside of these bounds are taken as the bound: no VM that still
# serves requests is known to differ more from its usual speed.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 20.0
# The figure changes many times a second, and a request meets the mean of it.
# Reports that follow each other faster than this half-life are averaged.
FAST_HALF_LIFE_SECONDS = 0.2
# Least weight of the newest report, so that a change counts at once.
MIN_NEWEST_WEIGHT = 0.4
# Half-life of the mean that a report without successors falls back to.
SLOW_HALF_LIFE_SECONDS = 3.0
# A report counts in full for this long; afterwards with this half-life.
FRESH_SECONDS = 0.5
FADE_HALF_LIFE_SECONDS = 1.0
# A report that differs from the newest by more than this share shows that the
# figure varies, for the time after it.
VARIATION = 0.05
VARIATION_SECONDS = 3.0
# Half-life after which a mean without new reports falls back to the usual.
FORGET_HALF_LIFE_SECONDS = 4.0


@attrs.define(kw_only=True)
class ReportedSlowdown:
    """Reported slowdowns of one server, as multiples of the usual time.

    Attributes:
        newest: mean of the newest reports; 1.0 without any.
        mean: mean of some seconds.
        at: time of the newest report, or None.
        varied_at: time of the last report that differed from those before it.
    """

    newest: float = 1.0
    mean: float = 1.0
    at: float | None = None
    varied_at: float = float("-inf")

    def note(self, slowdown: float, at: float) -> None:
        """Adds a report made at a time; one older than the newest is ignored.

        Reports of other routers arrive out of order, and the newer one shows
        the present speed.
        """
        if not slowdown > 0 or (self.at is not None and at < self.at):
            return
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        if self.at is None:
            self.newest = self.mean = slowdown
        else:
            if abs(slowdown - self.newest) > VARIATION * self.newest:
                self.varied_at = at
            age = at - self.at
            share = 1 - 0.5 ** (age / FAST_HALF_LIFE_SECONDS)
            share = max(MIN_NEWEST_WEIGHT, share)
            self.newest += share * (slowdown - self.newest)
            share = 1 - 0.5 ** (age / SLOW_HALF_LIFE_SECONDS)
            self.mean += share * (slowdown - self.mean)
        self.at = at

    def varies(self, now: float) -> bool:
        """Returns whether the reported figure follows changes."""
        return now - self.varied_at <= VARIATION_SECONDS

    def value(self, now: float) -> float:
        """Returns the present slowdown; 1.0 if nothing is known."""
        if self.at is None:
            return 1.0
        age = max(0.0, now - self.at - FRESH_SECONDS)
        fresh = 0.5 ** (age / FADE_HALF_LIFE_SECONDS)
        value = self.mean + fresh * (self.newest - self.mean)
        return 1 + (value - 1) * 0.5 ** (age / FORGET_HALF_LIFE_SECONDS)
