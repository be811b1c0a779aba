"""Copies of the store's objects, from the store or from another router."""

from collections.abc import Callable

import attrs

from pimentoledge.routing import registrations


@attrs.define(kw_only=True)
class Mirror:
    """All objects of one kind, as of a revision.

    Attributes:
        kind: which kind.
        take: called with (changed, names of the removed).
        objects: by name.
        revision: up to which they are known, or None before the first.
    """

    kind: str
    take: Callable[[list[registrations.Stored], list[str]], None]
    objects: dict[str, registrations.Stored] = attrs.field(factory=dict)
    revision: int | None = None

    def apply(
        self, found: registrations.Listing | registrations.Changes
    ) -> None:
        """Takes a listing or changes, unless newer ones were taken."""
        if self.revision is not None and found.revision < self.revision:
            return
        match found:
            case registrations.Listing(objects=objects):
                present = {each.name for each in objects}
                removed = [name for name in self.objects if name not in present]
                changed = [each for each in objects if self._is_news(each)]
            case registrations.Changes():
                changed = [
                    each for each in found.changed if self._is_news(each)
                ]
                removed = [
                    each.name
                    for each in found.removed
                    if each.name in self.objects
                ]
        for each in changed:
            self.objects[each.name] = each
        for name in removed:
            del self.objects[name]
        self.revision = found.revision
        self.take(changed, removed)

    def _is_news(self, each: registrations.Stored) -> bool:
        held = self.objects.get(each.name)
        return held is None or held.revision < each.revision

    def listing(self) -> registrations.Listing:
        """Returns all objects as of the mirror's revision."""
        return registrations.Listing(
            objects=list(self.objects.values()), revision=self.revision
        )
