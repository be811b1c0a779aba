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
        since: when it was named, as far as known, in seconds of clocks.now.
    """

    version: int
    since: float


@attrs.define(kw_only=True)
class Wanted:
    """The version of a model's weights that is wanted.

    Attributes:
        version: the newest that was named.
        since: when it was named, as far as known, in seconds of clocks.now.
        earlier: versions that were named before, oldest first; of those
            named no earlier than a newer one nothing is kept.
    """

    version: int
    since: float
    earlier: list[Named] = attrs.field(factory=list)

    def named(self) -> list[Named]:
        """Returns the versions that were named, oldest first."""
        return [*self.earlier, Named(version=self.version, since=self.since)]

    def superseded(self, version: int) -> float | None:
        """Returns when a version newer than this was first named, or None."""
        for each in self.named():
            if each.version > version:
                return each.since
        return None

    def take(self, version: int, since: float) -> bool:
        """Takes a named version; returns whether it is the newest, and new.

        Of two times at which it may have been named the earlier holds.
        """
        is_news = version > self.version
        if is_news:
            self.earlier.append(Named(version=self.version, since=self.since))
            self.version, self.since = version, since
        elif version == self.version:
            self.since = min(self.since, since)
        else:
            self.earlier.append(Named(version=version, since=since))
        self._settle()
        return is_news

    def _settle(self) -> None:
        """Keeps what some runner's weights may yet be judged by."""
        kept: list[Named] = []
        earliest = self.since
        for each in sorted(
            self.earlier, key=lambda each: (-each.version, each.since)
        ):
            if each.since < earliest:
                kept.append(each)
                earliest = each.since
        kept.reverse()
        while len(kept) > MOST_EARLIER:
            oldest, second, *rest = kept
            kept = [attrs.evolve(second, since=oldest.since), *rest]
        self.earlier = kept
