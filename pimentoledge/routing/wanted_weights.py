"""Which version of a model's weights is wanted, and since when."""

import attrs

# Versions kept besides the newest. Of more, the two oldest count as one that
# was named when the older was.
MOST_EARLIER = 8


@attrs.frozen(kw_only=True)
class Named:
    """A version that was named.

    Attributes:
        version: its number.
        since: when it was named, in seconds of clocks.now.
        sure: whether some router heard it as it was named; else `since` is
            the earliest time at which that may have been.
    """

    version: int
    since: float
    sure: bool = True

    def or_better(self, other: "Named") -> "Named":
        """Returns what is known of a version by two accounts of it.

        What was heard goes before what may have been; of two alike the
        earlier holds.
        """
        if self.sure != other.sure:
            return self if self.sure else other
        return self if self.since <= other.since else other


class Wanted:
    """The version of a model's weights that is wanted.

    Attributes:
        named: versions that were named, oldest first. One that can't bind any
            runner sooner than a newer one does is left out.
    """

    def __init__(self, first: Named):
        self.named = [first]

    @property
    def newest(self) -> Named:
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

    def take(self, named: Named) -> bool:
        """Takes a named version; returns whether it is the newest, and new."""
        is_news = named.version > self.version
        by_version = {each.version: each for each in self.named}
        known = by_version.get(named.version)
        better = named if known is None else known.or_better(named)
        by_version[named.version] = better
        self.named = _settled(
            [by_version[version] for version in sorted(by_version)]
        )
        return is_news


def _settled(named: list[Named]) -> list[Named]:
    """Returns the versions that some runner's weights may be judged by.

    A time that may yet turn out to be later makes no other needless.
    """
    *earlier, newest = named
    kept = [newest]
    earliest = newest.since if newest.sure else None
    for each in reversed(earlier):
        if earliest is None or each.since < earliest:
            kept.append(each)
            if each.sure:
                earliest = each.since
    kept.reverse()
    while len(kept) > MOST_EARLIER + 1:
        oldest, second, *rest = kept
        since = min(oldest.since, second.since)
        kept = [attrs.evolve(second, since=since), *rest]
    return kept
