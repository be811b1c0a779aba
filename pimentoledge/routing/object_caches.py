"""Copies of the store's objects, from the store or from another router."""

from collections.abc import Callable

import attrs

from pimentoledge.routing import registrations


@attrs.define(kw_only=True)
class ObjectCache:
    """All objects of one kind, as of a revision.

    Attributes:
        kind: which kind.
        on_change: called with (changed, names of the removed).
        objects: by name.
        revision: up to which they are known, or None before the first.
        changed_at: revision of the newest change that is known.
        known_at: as of when all changes are known, in seconds of clocks.now;
            0 before the first.
        change_age_seconds: how long ago at most the newest changes came about
            that nothing had told of; 0 where a wait brought them.
        silent_at: when the store was last found to answer nothing, in seconds
            of clocks.now, or 0.
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
        """Takes that all changes up to a time are known."""
        self.known_at = max(self.known_at, when)

    def apply(
        self,
        found: registrations.Listing | registrations.Changes,
        change_age_seconds: float = 0.0,
    ) -> bool:
        """Takes a listing or changes, unless newer ones were taken.

        Args:
            found: the listing or the changes.
            change_age_seconds: how long ago at most they came about.

        Returns:
            Whether that changed anything.
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
                    # When they went is not told; it was by then.
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
        held = self.objects.get(each.name)
        return held is None or held.revision < each.revision

    def _is_removal_current(self, gone: registrations.Stored) -> bool:
        """Returns whether what is gone is what is held.

        Changes come from several tellers: one that came back meanwhile, with
        a later revision, must not be taken away by the news of its going.
        """
        held = self.objects.get(gone.name)
        return held is not None and held.revision <= gone.revision

    def listing(self) -> registrations.Listing:
        """Returns all objects as of the mirror's revision."""
        return registrations.Listing(
            objects=list(self.objects.values()), revision=self.revision
        )
