"""Observed times of one server's work, compared with the expected ones."""

import attrs

# Half-life of an observation: two seconds after a change, three quarters of
# the weight is of the time since.
HALF_LIFE_SECONDS = 1.0
# The same while the slowdown that a server reports varies. The report shows a
# change, so observations need only correct its level, and vary less. A constant
# report shows none.
REPORTED_HALF_LIFE_SECONDS = 4.0
# Observations of other routers count for this long after their arrival.
EXPIRY_SECONDS = 3.0
# Longest time counted for one event, as a multiple of the expected one, so
# that a stall or a change of weights doesn't pass for a slow server.
MAX_OUTLIER_FACTOR = 6.0
# Weight of the assumption that the reported slowdown was the usual one, as
# expected time. It is small, so that a constant false report is soon corrected
# by what is observed.
REPORT_PRIOR_SECONDS = 0.1
# Bounds of a ratio that another router reports.
MIN_RATIO = 0.05
MAX_RATIO = 20.0
# Reported weights are multiples of this time, and at most MAX_UNITS of them,
# so that a weight takes one byte.
UNIT_SECONDS = 0.05
MAX_UNITS = 127
# Largest reported percentage, so that it takes at most three bytes.
MAX_PERCENT = 2000


@attrs.define(kw_only=True)
class Observed:
    """Sums over observations whose weights decay with time.

    Attributes:
        seconds: the observed time.
        expected: the time expected of the service's mean server.
        slowed: the same, times the slowdown that was reported then.
        at: time as of which the sums hold.
        half_life: half-life of the weights, in seconds.
    """

    seconds: float = 0.0
    expected: float = 0.0
    slowed: float = 0.0
    at: float = 0.0
    half_life: float = HALF_LIFE_SECONDS

    def share(self, now: float) -> float:
        """Returns what is left of the sums' weight at a time."""
        return 0.5 ** (max(0.0, now - self.at) / self.half_life)

    def note(
        self, seconds: float, expected: float, slowdown: float, now: float
    ) -> None:
        """Adds an observation; times are in seconds."""
        share = self.share(now)
        slowed = expected * slowdown
        longest = MAX_OUTLIER_FACTOR * max(expected, slowed)
        self.seconds = share * self.seconds + min(seconds, longest)
        self.expected = share * self.expected + expected
        self.slowed = share * self.slowed + slowed
        self.at = now


@attrs.define(kw_only=True)
class Ratio:
    """Observed times of one kind of work, of this router and of others.

    Attributes:
        prior_seconds: weight of the assumption that the server is like the
            service's mean, as expected time.
        own: observations of this router.
        others: the last observations reported by each other router.
    """

    prior_seconds: float
    own: Observed = attrs.field(factory=Observed)
    others: dict[str, Observed] = attrs.field(factory=dict)

    def levels(
        self, now: float, prior: tuple[float, float] = (1.0, 1.0)
    ) -> tuple[float, float]:
        """Returns the observed time and the reported slowdown meanwhile.

        Both are multiples of the time of the service's mean server.

        Args:
            now: the time.
            prior: what is assumed without observations.
        """
        self._expire(now)
        expected = seconds = slowed = 0.0
        for each, share in self._shares(now):
            expected += share * each.expected
            seconds += share * each.seconds
            slowed += share * each.slowed
        level = self.prior_seconds
        report = REPORT_PRIOR_SECONDS
        return (
            (seconds + level * prior[0]) / (expected + level),
            (slowed + report * prior[1]) / (expected + report),
        )

    def _shares(self, now: float):
        yield self.own, self.own.share(now)
        for each in self.others.values():
            yield each, each.share(now)

    def _expire(self, now: float) -> None:
        """Removes the observations of routers that report none any more."""
        expired = [
            sender
            for sender, each in self.others.items()
            if now - each.at > EXPIRY_SECONDS
        ]
        for sender in expired:
            del self.others[sender]

    def summary(self, now: float) -> tuple[int, int]:
        """Returns the own observations for a report: weight and percent."""
        units = int(self.own.share(now) * self.own.expected / UNIT_SECONDS)
        if not units:
            return 0, 0
        percent = round(100 * self.own.seconds / self.own.expected)
        return min(MAX_UNITS, units), min(MAX_PERCENT, percent)

    def merge(
        self,
        sender: str,
        units: int,
        percent: int,
        slowdown: float,
        now: float,
    ) -> None:
        """Replaces the observations of another router."""
        expected = UNIT_SECONDS * min(MAX_UNITS, max(0, units))
        if not expected:
            self.others.pop(sender, None)
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, percent / 100))
        self.others[sender] = Observed(
            seconds=ratio * expected,
            expected=expected,
            slowed=expected * min(MAX_RATIO, max(MIN_RATIO, slowdown)),
            at=now,
        )
