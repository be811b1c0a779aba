"""What the platform's store says: servers, named weights, objects."""

import attrs


@attrs.frozen(kw_only=True)
class Registration:
    """What a backend server says of itself.

    Attributes:
        server: its id. It may start again under the same one.
        service: which service it serves.
        address: IP:PORT.
        data_centre: where it stands.
        slots: requests that it runs at once.
        leaving: whether it asks for no new work.
        weights: version of each of its models.
        born: when its present life began, in whole ms since 1970 by its own
            clock; None where it doesn't tell, and each start has a new id.
    """

    server: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    weights: dict[str, int]
    born: int | None = None

    @property
    def incarnation(self) -> str:
        """Its present life, by which all that is believed of it is kept.

        A server that starts again under the id that it had holds and knows
        nothing of before. Kept by its id alone, its former life's cached
        parts, load, failures and count of orders would count as its own.
        """
        if self.born is None:
            return self.server
        return f"{self.server}@{self.born}"

    def is_older_than(self, other: "Registration") -> bool:
        """Returns whether another life of the same server came later."""
        if self.born is None or other.born is None:
            return False
        return self.born < other.born


@attrs.frozen(kw_only=True)
class NamedWeights:
    """The version that a model's runners are to have."""

    model: str
    version: int


@attrs.define(kw_only=True)
class Stored:
    """An object of the store.

    Attributes:
        name: its name within its kind.
        revision: of its last change.
        value: what it holds, as decoded JSON.
        leaving: whether it is marked to be deleted.
    """

    name: str
    revision: int
    value: object
    leaving: bool = False


@attrs.define(kw_only=True)
class Listing:
    """All objects of a kind at a revision.

    Attributes:
        objects: those that could be read.
        revision: as of which.
        unreadable: why others couldn't be.
    """

    objects: list[Stored]
    revision: int
    unreadable: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class Changes:
    """What changed in a kind up to a revision.

    Attributes:
        changed: objects as they are now.
        removed: objects that are gone.
        revision: from which to ask on.
        unreadable: why others couldn't be read.
    """

    changed: list[Stored]
    removed: list[Stored]
    revision: int
    unreadable: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HistoryGone:
    """The changes asked for are no longer kept; list anew."""


@attrs.frozen(kw_only=True)
class Unavailable:
    """A call had no answer, or none that says anything.

    Attributes:
        reason: what was met.
        maybe_done: whether a write may have been or may yet be carried out.
        overdue: whether nothing came in time.
    """

    reason: str
    maybe_done: bool
    overdue: bool = False


# What a call for changes may bring.
WatchResult = Changes | HistoryGone | Unavailable


@attrs.frozen(kw_only=True)
class Conflict:
    """A conditional write met another revision.

    Attributes:
        found: the object as it is, or None if there is none.
    """

    found: Stored | None
