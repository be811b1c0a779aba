"""Local copies of the store's objects, read from the store or a peer."""

from collections.abc import Callable

import attrs

from pimentoledge.routing import registrations


@attrs.define(kw_only=True)
class ObjectCache:
    """A copy of all objects of one kind, as of a revision.

    Attributes:
        kind: kind of the objects.
        on_change: called with the changed objects and the names of the removed
            ones.
        objects: objects by name.
        revision: revision up to which changes are known, or None before the
            first listing.
        changed_at: revision of the newest known change.
        known_at: time up to which all changes are known, in seconds of
            clocks.now; 0 before the first listing.
        change_age_seconds: greatest possible age of the newest changes when
            they were read; 0 if a watch returned them as they were made.
        silent_at: when the store was last found not to respond, in seconds of
            clocks.now, or 0.
    """

    kind: str
    on_change: Callable[[list[registrations.Stored], list[str]], None]
    objects: dict[str, registrations.Stored] = attrs.field(factory=dict)
    revision: int | None = None
    changed_at: int = 0
    known_at: float = 0.0
    change_age_seconds: float = 0.0
    silent_at: float = 0.0

    def advance_known_at(self, when: float) -> None:
        """Records that all changes up to a time are known."""
        self.known_at = max(self.known_at, when)

    def apply(
        self,
        found: registrations.Listing | registrations.Changes,
        change_age_seconds: float = 0.0,
    ) -> bool:
        """Applies a listing or changes, unless newer ones were applied.

        Args:
            found: the listing or the changes.
            change_age_seconds: greatest possible age of the changes.

        Returns:
            Whether any object changed.
        """
        if self.revision is not None and found.revision < self.revision:
            return False
        self.change_age_seconds = change_age_seconds
        match found:
            case registrations.Listing(objects=objects):
                present = {each.name for each in objects}
                removed = [name for name in self.objects if name not in present]
                changed = [each for each in objects if self._is_newer(each)]
                newest = objects
                if removed:
                    # A listing doesn't show the revision of a removal; it is at
                    # most that of the listing.
                    self.changed_at = max(self.changed_at, found.revision)
            case registrations.Changes():
                changed = [
                    each for each in found.changed if self._is_newer(each)
                ]
                removed = [
                    each.name
                    for each in found.removed
                    if self._is_removal_current(each)
                ]
                newest = found.changed + found.removed
        for each in changed:
            self.objects[each.name] = each
        for name in removed:
            del self.objects[name]
        self.revision = found.revision
        self.changed_at = max(
            [self.changed_at, *(each.revision for each in newest)]
        )
        self.on_change(changed, removed)
        return bool(changed or removed)

    def _is_newer(self, each: registrations.Stored) -> bool:
        cached = self.objects.get(each.name)
        return cached is None or cached.revision < each.revision

    def _is_removal_current(self, gone: registrations.Stored) -> bool:
        """Returns whether a removal applies to the cached object.

        Changes arrive from several sources. The late report of a removal must
        not remove an object that was created again at a later revision.
        """
        cached = self.objects.get(gone.name)
        return cached is not None and cached.revision <= gone.revision

    def listing(self) -> registrations.Listing:
        """Returns all objects as of the cached revision."""
        return registrations.Listing(
            objects=list(self.objects.values()), revision=self.revision
        )
