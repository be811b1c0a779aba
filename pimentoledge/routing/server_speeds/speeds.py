"""The estimated speed of one incarnation of a server."""

import attrs

from pimentoledge.routing.server_speeds import concurrency_limits
from pimentoledge.routing.server_speeds import observations
from pimentoledge.routing.server_speeds import paces
from pimentoledge.routing.server_speeds import slowdowns

# A report moves an estimate by at most this factor from what is observed, so
# that a false one neither attracts all requests nor ends them.
MAX_REPORT_FACTOR = 4.0
# Weights of the assumption that a server is like the mean, as expected time:
# about 15 events, and some first events.
GAP_PRIOR_SECONDS = 0.5
FIRST_PRIOR_SECONDS = 0.3
# Estimates are computed again after this time. A request is evaluated at up to
# 60 servers, and an estimate sums the observations of up to 32 routers.
REFRESH_SECONDS = 0.1


@attrs.define(kw_only=True)
class ServerSpeed:
    """The speed of a server relative to its service's mean.

    Attributes:
        pace: the pace of the service's streams, shared by its servers.
        reported: slowdown that the server reports.
        gaps: observed times between events.
        firsts: observed times to first events.
        concurrency: finds the limit.
        requests: number of its requests when it was last evaluated.
        received_at: when that number last rose; 0 before it was evaluated.
    """

    pace: paces.ServicePace = attrs.field(factory=paces.ServicePace)
    reported: slowdowns.ReportedSlowdown = attrs.field(
        factory=slowdowns.ReportedSlowdown
    )
    gaps: observations.Ratio = attrs.field(
        factory=lambda: observations.Ratio(prior_seconds=GAP_PRIOR_SECONDS)
    )
    firsts: observations.Ratio = attrs.field(
        factory=lambda: observations.Ratio(prior_seconds=FIRST_PRIOR_SECONDS)
    )
    concurrency: concurrency_limits.ConcurrencyLimit = attrs.field(
        default=attrs.Factory(
            lambda self: concurrency_limits.ConcurrencyLimit(pace=self.pace),
            takes_self=True,
        )
    )
    requests: float = 0.0
    received_at: float = 0.0
    _factors: tuple[float, float] = (1.0, 1.0)
    _until: float = float("-inf")

    def note_report(self, slowdown: float, at: float) -> None:
        """Adds a slowdown that the server reported at a time."""
        self.reported.note(slowdown, at)
        half_life = observations.HALF_LIFE_SECONDS
        if self.reported.varies(at):
            half_life = observations.REPORTED_HALF_LIFE_SECONDS
        for each in (self.gaps.own, self.firsts.own):
            each.half_life = half_life
        self._until = float("-inf")

    def note_requests(self, requests: float, now: float) -> None:
        """Updates the number of requests at the server."""
        if requests > self.requests or not self.received_at:
            self.received_at = now
        self.requests = requests

    def note_first_event(
        self, seconds: float, expected: float, now: float
    ) -> None:
        """Adds a time to a first event.

        Args:
            seconds: the time.
            expected: the time expected of the service's mean server.
            now: the time.
        """
        self.firsts.own.note(seconds, expected, self.reported.value(now), now)

    def note_event_gap(
        self, seconds: float, running: float, slots: int, now: float
    ) -> None:
        """Adds the time between two events of a stream.

        Args:
            seconds: the time.
            running: number of requests at the server.
            slots: number of its slots.
            now: the time.
        """
        expected = self.pace.gap_seconds(running)
        slowdown = self.reported.value(now)
        if expected is None:
            self.pace.note_gap(seconds, running)
        else:
            self.gaps.own.note(seconds, expected, slowdown, now)
            # Slow servers get fewer requests: without the factor, the line
            # would fall with the requests.
            factor = self.step_factor(now)
            longest = observations.MAX_OUTLIER_FACTOR * expected * factor
            self.pace.note_observed_gap(
                min(seconds, longest),
                running,
                server=id(self),
                factor=factor,
                now=now,
            )
        bounded = min(MAX_REPORT_FACTOR, max(1 / MAX_REPORT_FACTOR, slowdown))
        self.concurrency.note(seconds, running, slots, now, bounded)

    def step_factor(self, now: float) -> float:
        """Returns the time of a decode step; 1.0 is the service's mean."""
        return self.factors(now)[0]

    def prefill_factor(self, now: float) -> float:
        """Returns the time to prefill; 1.0 is as the model's line says.

        Times of fetches aren't observed apart from it.
        """
        return self.factors(now)[1]

    def event_seconds(self, running: float, now: float) -> float | None:
        """Returns the expected time between events, or None if unknown.

        Args:
            running: number of requests at the server.
            now: the time.
        """
        usual = self.pace.gap_seconds(running)
        return None if usual is None else usual * self.step_factor(now)

    def limit(self, slots: int, now: float) -> float:
        """Returns the number of requests that it takes well."""
        return self.concurrency.limit(slots, now)

    def factors(self, now: float) -> tuple[float, float]:
        """Returns the factors of a step and of a prefill."""
        if now >= self._until:
            reported = self.reported.value(now)
            gaps = self.gaps.levels(now)
            firsts = self.firsts.levels(now, gaps)
            self._factors = (
                _bounded(gaps, reported),
                _bounded(firsts, reported),
            )
            self._until = now + REFRESH_SECONDS
        return self._factors

    def summary(self, now: float) -> tuple[int, ...]:
        """Returns this router's observations for a report, or () if none."""
        gaps, firsts = self.gaps.summary(now), self.firsts.summary(now)
        expected = self.gaps.own.expected + self.firsts.own.expected
        if not gaps[0] and not firsts[0]:
            return ()
        slowed = self.gaps.own.slowed + self.firsts.own.slowed
        percent = min(observations.MAX_PERCENT, round(100 * slowed / expected))
        return (*gaps, *firsts, percent)

    def merge(self, sender: str, summary: tuple[int, ...], now: float) -> None:
        """Replaces another router's observations by a summary of it.

        A summary of another length is of a build that this one doesn't know.
        """
        if len(summary) != 5:
            return
        gap_units, gap_percent, first_units, first_percent, percent = summary
        slowdown = percent / 100
        self.gaps.merge(sender, gap_units, gap_percent, slowdown, now)
        self.firsts.merge(sender, first_units, first_percent, slowdown, now)

    def forget(self, sender: str) -> None:
        """Discards the observations of another router."""
        self.gaps.others.pop(sender, None)
        self.firsts.others.pop(sender, None)


def _bounded(levels: tuple[float, float], reported: float) -> float:
    """Returns the factor by observation and report.

    Args:
        levels: observed time and the slowdown reported meanwhile.
        reported: present reported slowdown.
    """
    observed, reported_then = levels
    change = reported / reported_then
    return observed * min(MAX_REPORT_FACTOR, max(1 / MAX_REPORT_FACTOR, change))
