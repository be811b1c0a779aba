"""Which version of a model's weights is wanted, and since when."""

import enum

import attrs

# Versions kept besides the newest. Of more, the two oldest count as one that
# was named when the older was.
MAX_EARLIER = 8


class Source(enum.IntEnum):
    """Where the time at which a version was named comes from, best first."""

    # Some router heard the version as it was named.
    HEARD = 0
    # Some router knew all versions then, and this was none of them.
    NOT_BEFORE = 1
    # A router found the version as it started.
    GUESSED = 2


@attrs.frozen(kw_only=True)
class NamedVersion:
    """A version that was named.

    Attributes:
        version: its number.
        since: when it was named, in seconds of clocks.now.
        source: where that time comes from.
    """

    version: int
    since: float
    source: Source = Source.HEARD

    def merge(self, other: "NamedVersion") -> "NamedVersion":
        """Returns what is known of a version by two accounts of it.

        Of two times before which it was not named the later holds, of others
        the earlier.
        """
        if self.source != other.source:
            return min(self, other, key=lambda each: each.source)
        if self.source is Source.NOT_BEFORE:
            return max(self, other, key=lambda each: each.since)
        return min(self, other, key=lambda each: each.since)

    @property
    def is_exact(self) -> bool:
        """Whether nothing better can show that it was named later."""
        return self.source is Source.HEARD


class WantedWeights:
    """The version of a model's weights that is wanted.

    Attributes:
        named: versions that were named, oldest first. One that can't bind any
            runner sooner than a newer one does is left out.
    """

    def __init__(self, first: NamedVersion):
        self.named = [first]

    @property
    def newest(self) -> NamedVersion:
        """The newest that was named."""
        return self.named[-1]

    @property
    def version(self) -> int:
        """Number of the newest that was named."""
        return self.newest.version

    @property
    def since(self) -> float:
        """When the newest was named, or may have been."""
        return self.newest.since

    def superseded(self, version: int) -> float | None:
        """Returns when a version newer than this was first named, or None."""
        times = [each.since for each in self.named if each.version > version]
        return min(times, default=None)

    def add(self, named: NamedVersion) -> bool:
        """Takes a named version; returns whether it is the newest, and new."""
        is_news = named.version > self.version
        by_version = {each.version: each for each in self.named}
        known = by_version.get(named.version)
        better = named if known is None else known.merge(named)
        by_version[named.version] = better
        self.named = _without_redundant(
            [by_version[version] for version in sorted(by_version)]
        )
        return is_news


def _without_redundant(named: list[NamedVersion]) -> list[NamedVersion]:
    """Returns the versions that some runner's weights may be judged by.

    A time that may yet turn out to be later makes no other needless.
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
