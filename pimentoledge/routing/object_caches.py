"""Local copies of the store's objects, read from the store or a peer."""

from collections.abc import Callable

import attrs
import logbook

from pimentoledge.routing import clocks
from pimentoledge.routing import delays
from pimentoledge.routing import object_merges
from pimentoledge.routing import registrations
from pimentoledge.routing import transfers

logger = logbook.Logger("object caches")


@attrs.define(kw_only=True)
class ObjectCache:
    """A copy of all objects of one kind, as of a position in the store.

    Attributes:
        kind: kind of the objects.
        on_change: called with the changed objects and the names of the removed
            ones.
        merge: chooses between two records of an object.
        keeps_missing: whether objects that a listing lacks are kept, for kinds
            of which nothing is withdrawn by removal.
        objects: objects by name.
        era: era of `revision` and `changed_at`.
        revision: revision up to which changes are known, or None before the
            first listing.
        changed_at: revision of the newest known change.
        restored: whether the newest changes were those between the copy and
            the first listing of a later era, which may contain older data.
        known_at: time up to which all changes are known, in seconds of
            clocks.now; 0 before the first listing.
        change_age_seconds: greatest possible age of the newest changes when
            they were read; 0 if a watch returned them as they were made.
        silent_at: when the newest call was sent that the store is known not to
            have answered, in seconds of clocks.now, or 0.
        transfer: how the newest changes arrived, or None.
        listed_at: when changes were last not known one by one, in seconds of
            clocks.now; 0 before the first listing.
        confirmed: position and time of a peer's copy that was current then and
            has changes that this one lacks, or None.
    """

    kind: str
    on_change: Callable[[list[registrations.Stored], list[str]], None]
    merge: object_merges.Merge = object_merges.keep_later
    keeps_missing: bool = False
    objects: dict[str, registrations.Stored] = attrs.field(factory=dict)
    era: int = 0
    revision: int | None = None
    changed_at: int = 0
    restored: bool = False
    known_at: float = 0.0
    change_age_seconds: float = 0.0
    silent_at: float = 0.0
    transfer: transfers.Transfer | None = None
    listed_at: float = 0.0
    confirmed: tuple[tuple[int, int], float] | None = None

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision up to which changes are known; (-1, 0) if none."""
        return (-1, 0) if self.revision is None else (self.era, self.revision)

    def advance_known_at(self, when: float) -> None:
        """Records that all changes up to a time are known."""
        self.known_at = max(self.known_at, when)

    def merge_confirmed(self, position: tuple[int, int], when: float) -> None:
        """Merges the time at which a peer's copy was known to be current.

        If this copy lacks changes of that one, it is as current as that one
        once it has them.

        Args:
            position: position of the newest change of the peer's copy.
            when: the time, in seconds of clocks.now.
        """
        if self._includes(position):
            self._advance_confirmed(when)
        elif self.confirmed is None or (position, when) > self.confirmed:
            self.confirmed = (position, when)

    def _advance_confirmed(self, when: float) -> None:
        # Each heartbeat would add its transit time to the same time.
        if when - self.known_at > delays.ROUND_TRIP_SECONDS:
            self.advance_known_at(when)

    def _includes(self, position: tuple[int, int]) -> bool:
        """Returns whether the copy has all changes up to a position."""
        era, revision = position
        return (
            self.revision is not None
            and era == self.era
            and revision <= self.revision
        )

    def is_older(
        self, found: registrations.Listing | registrations.Changes
    ) -> bool:
        """Returns whether the copy is newer than a listing or changes."""
        return found.position < self.position

    def continues(self, found: registrations.Changes) -> bool:
        """Returns whether changes are of the copy's era.

        The changes between two eras are not known, only the listing of the
        later one shows them.
        """
        return self.revision is not None and found.era == self.era

    def apply(
        self,
        found: registrations.Listing | registrations.Changes,
        change_age_seconds: float = 0.0,
    ) -> bool:
        """Applies a listing or changes, unless newer ones were applied.

        An older listing still shows content that the store has forgotten.

        Args:
            found: the listing, or changes that continue the copy.
            change_age_seconds: greatest possible age of the changes.

        Returns:
            Whether any object changed.
        """
        if self.is_older(found):
            return self._apply_forgotten(found)
        self.change_age_seconds = change_age_seconds
        self.transfer = found.transfer
        self.restored = self.revision is not None and found.era > self.era
        if found.era != self.era:
            self.changed_at = 0
        match found:
            case registrations.Listing(objects=objects):
                present = {each.name for each in objects}
                removed = [name for name in self.objects if name not in present]
                if self.keeps_missing:
                    removed = []
                newest = objects
                self.listed_at = clocks.now()
                if removed:
                    # A listing doesn't show the revision of a removal; it is at
                    # most that of the listing.
                    self.changed_at = max(self.changed_at, found.revision)
            case registrations.Changes():
                objects = found.changed
                removed = [
                    each.name
                    for each in found.removed
                    if self._is_removal_current(each)
                ]
                newest = found.changed + found.removed
                if any(self._is_unseen(each) for each in found.removed):
                    self.listed_at = clocks.now()
        changed = [each for each in objects if self._merge(each)]
        for name in removed:
            del self.objects[name]
        self.era, self.revision = found.position
        self.changed_at = max(
            [self.changed_at, *(each.revision for each in newest)]
        )
        if self.confirmed is not None and self._includes(self.confirmed[0]):
            self._advance_confirmed(self.confirmed[1])
            self.confirmed = None
        return self._notify([each.name for each in changed], removed)

    def _apply_forgotten(
        self, found: registrations.Listing | registrations.Changes
    ) -> bool:
        """Applies the newer contents in an older listing, if there are any."""
        if not isinstance(found, registrations.Listing):
            return False
        names = [
            each.name
            for each in found.objects
            if (self.keeps_missing or each.name in self.objects)
            and self._merge(each)
        ]
        return bool(names) and self._notify(names, [])

    def _notify(self, names: list[str], removed: list[str]) -> bool:
        self.on_change([self.objects[name] for name in names], removed)
        return bool(names or removed)

    def _merge(self, found: registrations.Stored) -> bool:
        """Merges a record of an object; returns whether its content changed."""
        cached = self.objects.get(found.name)
        if cached is None:
            self.objects[found.name] = found
            return True
        if (cached.value, cached.leaving) == (found.value, found.leaving):
            if cached.position < found.position:
                self.objects[found.name] = found
            return False
        # Of equal positions, a peer may have kept newer content at one.
        if cached.position <= found.position:
            kept = self._merged(cached, found)
        else:
            kept = self._merged(found, cached)
        self.objects[found.name] = kept
        return (kept.value, kept.leaving) != (cached.value, cached.leaving)

    def _merged(
        self, earlier: registrations.Stored, later: registrations.Stored
    ) -> registrations.Stored:
        """Returns the content to keep; the later one if there is an error."""
        try:
            return self.merge(earlier, later)
        except Exception:
            logger.exception("{} {} can't be merged", self.kind, later.name)
            return later

    def _is_removal_current(self, gone: registrations.Stored) -> bool:
        """Returns whether a removal applies to the cached object.

        Changes arrive from several sources. The late report of a removal must
        not remove an object that was created again at a later revision.
        """
        cached = self.objects.get(gone.name)
        return cached is not None and cached.position <= gone.position

    def _is_unseen(self, gone: registrations.Stored) -> bool:
        """Returns whether an object was created and removed unseen."""
        known_to = (self.era, self.changed_at)
        return gone.name not in self.objects and gone.position > known_to

    def listing(self) -> registrations.Listing:
        """Returns all objects as of the cached position."""
        return registrations.Listing(
            objects=list(self.objects.values()),
            revision=self.revision,
            era=self.era,
        )
