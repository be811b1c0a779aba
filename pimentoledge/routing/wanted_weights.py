"""The wanted version of a model's weights, and when it was named."""

import enum
import math

import attrs

from pimentoledge.routing import delays

# Number of versions kept in addition to the newest. If there are more, the two
# oldest are merged into one with the earlier of their times.
MAX_EARLIER = 8


class Source(enum.IntEnum):
    """Source of the time at which a version was named, best first."""

    # A router received the version when it was named.
    HEARD = 0
    # Lower bound: a router had all versions at that time, without this one.
    NOT_BEFORE = 1
    # A router read the version when it started.
    GUESSED = 2


@attrs.frozen(kw_only=True)
class NamedVersion:
    """A version that was named.

    Attributes:
        version: its number.
        since: when it was named, in seconds of clocks.now.
        source: source of that time.
        known_at: earliest time at which a router is known to have had this
            version, in seconds of clocks.now; infinite if unknown.
    """

    version: int
    since: float
    source: Source = Source.HEARD
    known_at: float = math.inf

    def merge(self, other: "NamedVersion") -> "NamedVersion":
        """Merges two records of the same version.

        The better source wins. With equal sources the earlier time wins, but
        of two lower bounds that clearly differ the later. A time at which some
        router had the version already is wrong and doesn't count.
        """
        known_at = min(self.latest(), other.latest())
        possible = [
            each
            for each in (self, other)
            if each.since <= known_at + delays.ROUND_TRIP_SECONDS
        ]
        if not possible:
            best = min(self, other, key=lambda each: each.since)
        elif len(possible) == 1:
            [best] = possible
        else:
            best = self._better(other)
        # Undelayed evidence may be late too, if by less than what shows it.
        since = min(best.since, known_at)
        return attrs.evolve(best, since=since, known_at=known_at)

    def _better(self, other: "NamedVersion") -> "NamedVersion":
        if self.source != other.source:
            return min(self, other, key=lambda each: each.source)
        earlier, later = sorted((self, other), key=lambda each: each.since)
        if self.source is not Source.NOT_BEFORE:
            return earlier
        # Each heartbeat would add its transit time to the later of two bounds.
        differ = later.since - earlier.since > delays.ROUND_TRIP_SECONDS
        return later if differ else earlier

    def latest(self) -> float:
        """Returns the latest time at which the version can have been named."""
        if self.source is Source.HEARD:
            return min(self.known_at, self.since)
        return self.known_at

    @property
    def is_exact(self) -> bool:
        """Whether no better source can show a later time."""
        return self.source is Source.HEARD


class WantedWeights:
    """The wanted version of a model's weights.

    Attributes:
        named: versions that were named, oldest first, without those that
            supersede no runner's weights earlier than a newer version does.
    """

    def __init__(self, first: NamedVersion):
        self.named = [first]

    @property
    def newest(self) -> NamedVersion:
        """The newest version that was named."""
        return self.named[-1]

    @property
    def version(self) -> int:
        """Number of the newest version."""
        return self.newest.version

    @property
    def since(self) -> float:
        """When the newest version was named, or may have been."""
        return self.newest.since

    def since_of(self, version: int) -> float | None:
        """Returns when a version was named, or None without a record of it."""
        for each in self.named:
            if each.version == version:
                return each.since
        return None

    def superseded(self, version: int) -> float | None:
        """Returns when a newer version was first named, or None."""
        times = [each.since for each in self.named if each.version > version]
        return min(times, default=None)

    def add(self, named: NamedVersion) -> bool:
        """Adds a version; returns whether it is newer than all others."""
        is_new = named.version > self.version
        by_version = {each.version: each for each in self.named}
        known = by_version.get(named.version)
        better = named if known is None else known.merge(named)
        by_version[named.version] = better
        self.named = _without_redundant(
            [by_version[version] for version in sorted(by_version)]
        )
        return is_new


def _without_redundant(named: list[NamedVersion]) -> list[NamedVersion]:
    """Returns the versions that may determine when weights are superseded.

    A version whose time may still turn out to be later makes no other version
    redundant.
    """
    *earlier, newest = named
    kept = [newest]
    earliest = newest.since if newest.is_exact else None
    for each in reversed(earlier):
        if earliest is None or each.since < earliest:
            kept.append(each)
            if each.is_exact:
                earliest = each.since
    kept.reverse()
    while len(kept) > MAX_EARLIER + 1:
        oldest, second, *rest = kept
        earlier = min(oldest, second, key=lambda each: each.since)
        kept = [attrs.evolve(earlier, version=second.version), *rest]
    return kept
