"""Objects of the platform's store: registrations, weights, changes.

A store that is restored from an older copy gives revisions out again and starts
a new era. A revision is comparable only within its era; a position is an era
and a revision in it. Stores that number no eras are in era 0.
"""

import attrs

from pimentoledge.nodes import numbers
from pimentoledge.routing import transfers


@attrs.frozen(kw_only=True)
class Registration:
    """A backend server's own entry in the store.

    Attributes:
        server: id of the server; a restarted server may keep its id.
        service: the service to which it belongs.
        address: IP:PORT.
        data_centre: data centre in which it runs.
        slots: requests that it runs at once.
        leaving: whether it is draining and takes no new requests.
        weights: loaded version of each of its models.
        born: when this incarnation started, in whole ms since 1970 by the
            server's clock; None if not reported, where each start has a new
            id.
        software: version of its software; "" if not reported.
    """

    server: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    weights: dict[str, int]
    born: int | None = None
    software: str = ""

    @property
    def incarnation(self) -> str:
        """Identifies this run of the server; keys all state kept about it.

        A server that restarts under the same id has lost its state. If state
        were keyed by the id alone, the cached parts, load, failures and order
        count of the previous incarnation would be attributed to the new one.
        No id of another server may name it, so the separator is doubled in ids.
        """
        name = self.server.replace("@", "@@")
        return name if self.born is None else f"{name}@{self.born}"

    @property
    def stream_software(self) -> str:
        """Identifies what software writes a stream here.

        What two services or two software versions write doesn't fit together.
        A server that reports no version may have any.
        """
        return f"{self.service} {self.software or self.incarnation}"

    def is_older_than(self, other: "Registration") -> bool:
        """Returns whether another incarnation of the server started later."""
        if self.born is None or other.born is None:
            return False
        return self.born < other.born


@attrs.frozen(kw_only=True)
class NamedWeights:
    """The version of a model's weights that its runners must load."""

    model: str
    version: int


@attrs.define(kw_only=True)
class Stored:
    """An object of the store.

    Attributes:
        name: name, unique within its kind.
        revision: revision of its last change.
        value: content, as decoded JSON.
        leaving: whether it is marked for deletion.
        era: era of the revision.
    """

    name: str
    revision: numbers.Identifier
    value: object
    leaving: bool = False
    era: numbers.Identifier = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision of its last change."""
        return self.era, self.revision


@attrs.frozen(kw_only=True)
class Absent:
    """The requested object doesn't exist.

    Attributes:
        era: era of the store.
    """

    era: numbers.Identifier = 0


@attrs.define(kw_only=True)
class Listing:
    """All objects of a kind at a revision.

    Attributes:
        objects: the readable objects.
        revision: revision of the listing.
        unreadable: for each unreadable object, why it can't be read.
        era: era of the revision.
        transfer: how its last page arrived, or None.
    """

    objects: list[Stored]
    revision: numbers.Identifier
    unreadable: tuple[str, ...] = ()
    era: numbers.Identifier = 0
    transfer: transfers.Transfer | None = None

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision of the listing."""
        return self.era, self.revision


@attrs.define(kw_only=True)
class Changes:
    """Changes of the objects of a kind up to a revision.

    Attributes:
        changed: changed objects, in their newest state.
        removed: deleted objects.
        revision: revision from which the next watch continues.
        unreadable: for each unreadable object, why it can't be read.
        era: era of the revision.
        after: revision of the newest change known when these were requested.
        transfer: how they arrived, or None.
    """

    changed: list[Stored]
    removed: list[Stored]
    revision: numbers.Identifier
    unreadable: tuple[str, ...] = ()
    era: numbers.Identifier = 0
    after: numbers.Identifier = 0
    transfer: transfers.Transfer | None = None

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision from which the next watch continues."""
        return self.era, self.revision


@attrs.frozen(kw_only=True)
class HistoryGone:
    """The requested changes are not kept; a new listing is needed.

    Attributes:
        era: era of the store.
    """

    era: int = 0


@attrs.frozen(kw_only=True)
class Unavailable:
    """A call got no response, or an unusable one.

    Attributes:
        reason: the error.
        maybe_done: whether a write may have been applied, or may yet be.
        overdue: whether the call timed out.
        unreadable: whether there was a response that can't be read.
    """

    reason: str
    maybe_done: bool
    overdue: bool = False
    unreadable: bool = False


# Result of a watch.
WatchResult = Changes | HistoryGone | Unavailable


@attrs.frozen(kw_only=True)
class Conflict:
    """A conditional write failed: the object has another revision.

    Attributes:
        found: the stored object, or None if it doesn't exist.
        era: era of the store.
    """

    found: Stored | None
    era: int = 0
