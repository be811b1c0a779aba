"""How much the crashes that are known speak against each suspect."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from pimentoledge.routing import blames

# Weight of a crash that something else may explain: the server was only silent,
# as behind a partition, or servers that did not run the content died within the
# time below.
WEAK_WEIGHT = 0.5
MASS_LOSS_SECONDS = 0.5
# So many crashes of a suspect at the same moment count as one, since a lost
# rack has all parts and contents that are much in use. Silence shows only with
# time.
MASS_LOSS_SERVERS = 3
SAME_MOMENT_SECONDS = 0.1
SILENCE_SECONDS = 3.0
# A success counts for a part's trust for so long before a crash.
TRUST_SECONDS = 20.0
NEVER = -math.inf


@attrs.define
class Crash:
    """A server that died while it ran some subject.

    Attributes:
        when: when its connection broke, in seconds of clocks.now; never before
            the server died.
        released: whether it no longer counts, because the server turned out to
            live. This is never revoked.
        silent: whether the server did not close the connection.
    """

    when: float
    released: bool = False
    silent: bool = False


@attrs.define(kw_only=True)
class Suspect:
    """A subject of requests that were on servers when they died.

    Attributes:
        depth: place of a part in the prompt, or 0 for the content of a request.
        crashes: the crashes, by incarnation of the server.
        succeeded_at: when it last succeeded, in seconds of clocks.now.
    """

    depth: int
    crashes: dict[str, Crash] = attrs.field(factory=dict)
    succeeded_at: float = NEVER

    def counted(self) -> dict[str, Crash]:
        """Returns the crashes that count."""
        return {
            incarnation: each
            for incarnation, each in self.crashes.items()
            if not each.released and each.when > self.succeeded_at
        }

    def newest(self) -> float:
        """Returns the time of the newest crash, counted or not."""
        return max(each.when for each in self.crashes.values())

    def trust(self, watched_from: float) -> blames.Trust:
        """Returns what spoke for it before it crashed servers.

        Args:
            watched_from: time from which successes are known.
        """
        counted = self.counted()
        if not self.depth or not counted:
            return blames.Trust.NONE
        since = min(each.when for each in counted.values()) - TRUST_SECONDS
        if self.succeeded_at >= since:
            return blames.Trust.RECENT
        if watched_from > since:
            return blames.Trust.UNKNOWN
        return blames.Trust.NONE


class Assessment:
    """Weighs crashes, for one decision.

    Attributes:
        subjects: the suspects by key.
        run_on: keys of what servers ran when they died, by incarnation.
        died_at: when they died.
        watched_from: time from which successes are known.
    """

    def __init__(
        self,
        *,
        subjects: Mapping[str, Suspect],
        run_on: Mapping[str, Iterable[str]],
        died_at: Mapping[str, float],
        watched_from: float,
    ):
        self.subjects = subjects
        self.run_on = run_on
        self.died_at = died_at
        self.watched_from = watched_from
        self._parts: dict[str, list[tuple[blames.Trust, int]]] = {}

    def evidence(self, key: str) -> blames.Evidence:
        """Returns the crashes that count against a suspect."""
        suspect = self.subjects[key]
        counted = suspect.counted()
        weight = self._part_weight if suspect.depth else self._content_weight
        crashes = {each: weight(each, counted) for each in counted}
        trust = suspect.trust(self.watched_from)
        if suspect.depth:
            for each in counted:
                if self._has_rival(each, trust, suspect.depth):
                    crashes[each] *= blames.RIVAL_WEIGHT
        return blames.Evidence(
            key=key,
            depth=suspect.depth,
            crashes=crashes,
            succeeded_at=suspect.succeeded_at,
            trust=trust,
        )

    def _has_rival(
        self, incarnation: str, trust: blames.Trust, depth: int
    ) -> bool:
        """Returns whether a server ran a part that is blamed before another."""
        if incarnation not in self._parts:
            suspects = [self.subjects[key] for key in self.run_on[incarnation]]
            self._parts[incarnation] = [
                (each.trust(self.watched_from), each.depth)
                for each in suspects
                if each.depth and incarnation in each.counted()
            ]
        return any(
            blames.precedes(each, (trust, depth))
            for each in self._parts[incarnation]
        )

    def _content_weight(
        self, incarnation: str, counted: dict[str, Crash]
    ) -> float:
        """Returns the weight of one of the crashes of some content."""
        crash = counted[incarnation]
        is_weak = crash.silent or any(
            abs(died_at - crash.when) < MASS_LOSS_SECONDS
            for other, died_at in self.died_at.items()
            if other not in counted
        )
        weight = WEAK_WEIGHT if is_weak else 1.0
        times = [each.when for each in counted.values()]
        return weight / _lost(_count_near(crash.when, times))

    def _part_weight(
        self, incarnation: str, counted: dict[str, Crash]
    ) -> float:
        """Returns the weight of one of the crashes of some part."""
        crash = counted[incarnation]
        weight = WEAK_WEIGHT if crash.silent else 1.0
        span = SILENCE_SECONDS if crash.silent else SAME_MOMENT_SECONDS
        times = [each.when for each in counted.values()]
        together = _count_near(crash.when, times, span)
        # A lost rack also has servers that did not run the part.
        died = _count_near(crash.when, self.died_at.values(), span)
        return weight / _lost(max(together, died))


def _lost(deaths: int) -> int:
    """Returns how many of the deaths at one moment count as one."""
    return deaths if deaths >= MASS_LOSS_SERVERS else 1


def _count_near(
    when: float, times: Iterable[float], span: float = SAME_MOMENT_SECONDS
) -> int:
    return sum(abs(each - when) < span for each in times)
