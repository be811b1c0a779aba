"""Requests that were refused and whose clients may return."""

import collections

import attrs

from pimentoledge.nodes import numbers

# How long a refused request is remembered: clients retry within a third of
# their remaining time.
KEPT_SECONDS = 10.0
MAX_KEPT = 1000
# Most refused requests in one load report, some 40 bytes each.
MAX_REPORTED = 50


@attrs.frozen(kw_only=True)
class RefusedRequest:
    """A refused request.

    Attributes:
        first_arrival: when its client first asked, in seconds of clocks.now.
        until: until when it is remembered, in seconds of clocks.now.
    """

    first_arrival: float
    until: float


class ReturningClients:
    """The refused requests of this router and of nearby ones, by digest.

    Attributes:
        refused: the refused requests, the newest last.
    """

    def __init__(self):
        self.refused: collections.OrderedDict[str, RefusedRequest] = (
            collections.OrderedDict()
        )
        self._unreported: dict[str, float] = {}

    def first_arrival(self, digest: str, now: float) -> float | None:
        """Returns when a refused request first arrived, or None if unknown."""
        known = self.refused.get(digest)
        if known is None or now >= known.until:
            return None
        return known.first_arrival

    def note_refused(self, digest: str, arrived: float, now: float) -> None:
        """Records a request that this router refused."""
        self._note(digest, arrived, now)
        self._unreported.pop(digest, None)
        self._unreported[digest] = arrived
        while len(self._unreported) > MAX_REPORTED:
            del self._unreported[next(iter(self._unreported))]

    def note_served(self, digest: str) -> None:
        """Forgets a request that got a place."""
        self.refused.pop(digest, None)
        self._unreported.pop(digest, None)

    def take_report(self, now: float) -> dict[str, int]:
        """Returns newly refused requests with the ms since their arrival."""
        report = {
            digest: numbers.milliseconds(now - arrived)
            for digest, arrived in self._unreported.items()
        }
        self._unreported.clear()
        return report

    def merge(self, reported: dict[str, int], now: float) -> None:
        """Records requests that another router refused."""
        for digest, age_ms in list(reported.items())[-MAX_REPORTED:]:
            self._note(digest, now - age_ms / 1000, now)

    def expire(self, now: float) -> None:
        """Forgets requests that were refused too long ago."""
        while self.refused:
            digest = next(iter(self.refused))
            if now < self.refused[digest].until:
                return
            del self.refused[digest]

    def _note(self, digest: str, arrived: float, now: float) -> None:
        known = self.refused.pop(digest, None)
        if known is not None:
            arrived = min(arrived, known.first_arrival)
        self.refused[digest] = RefusedRequest(
            first_arrival=arrived, until=now + KEPT_SECONDS
        )
        while len(self.refused) > MAX_KEPT:
            self.refused.popitem(last=False)
