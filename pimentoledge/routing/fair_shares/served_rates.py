"""Part of the requests that is served, by organisation and kind."""

import collections
import math

import attrs

# Half-life of the counts: long enough for some requests of a small
# organisation, short enough that a client that retries is served.
HALF_LIFE_SECONDS = 10.0
DECAY = math.log(2) / HALF_LIFE_SECONDS
# Whoever is served less than this part as often as all requests is starved.
# Each kind and organisation is to be served a quarter as often; the rest is
# what happens before a refusal has an effect.
STARVED_RATIO = 0.35
# With fewer requests in the counts, one refusal more or less decides.
MIN_ASKED = 3.0
# Organisations and kinds that are counted; the least recent are forgotten.
MAX_COUNTED = 2048


@attrs.define
class _Count:
    asked: float = 0.0
    refused: float = 0.0
    at: float = 0.0

    def add(self, asked: int, refused: int, now: float) -> None:
        if now > self.at:
            factor = math.exp(-DECAY * (now - self.at))
            self.asked *= factor
            self.refused *= factor
            self.at = now
        self.asked += asked
        self.refused += refused

    def served(self) -> float:
        return 1 - min(1.0, self.refused / self.asked) if self.asked else 1.0


class ServedRates:
    """Counts requests asked and refused for want of capacity at one router."""

    def __init__(self):
        self._all: dict[str, _Count] = {}
        self._counts: collections.OrderedDict[tuple[str, str | int], _Count] = (
            collections.OrderedDict()
        )

    def note_asked(
        self, service: str, organisation: str, urgency: int, now: float
    ) -> None:
        """Counts a request; urgency is its route's."""
        self._add(service, organisation, urgency, now, asked=1)

    def note_refused(
        self, service: str, organisation: str, urgency: int, now: float
    ) -> None:
        """Counts that a request was refused for want of capacity."""
        self._add(service, organisation, urgency, now, refused=1)

    def _add(
        self, service, organisation, urgency, now, *, asked=0, refused=0
    ) -> None:
        self._all.setdefault(service, _Count(at=now)).add(asked, refused, now)
        for kind in (organisation, urgency):
            count = self._counts.setdefault((service, kind), _Count(at=now))
            count.add(asked, refused, now)
            self._counts.move_to_end((service, kind))
        while len(self._counts) > MAX_COUNTED:
            self._counts.popitem(last=False)

    def is_starved(self, service: str, kind: str | int) -> bool:
        """Returns whether an organisation or an urgency is hardly served."""
        total = self._all.get(service)
        count = self._counts.get((service, kind))
        if total is None or count is None or count.asked < MIN_ASKED:
            return False
        return count.served() < STARVED_RATIO * total.served()
