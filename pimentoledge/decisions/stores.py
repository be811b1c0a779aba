"""Calls to the platform's object API, as the decisions see them.

Each call carries an id of its own, and its answer carries the same id. A
write may have taken effect though its answer says LOST; the writer reads the
object back and compares `write_id` before it does anything else.
"""

import enum

import attrs


class Outcome(enum.StrEnum):
    """How a call to the store ended."""

    FOUND = "found"
    ABSENT = "absent"
    WRITTEN = "written"
    CONFLICT = "conflict"
    # The call certainly had no effect: refused, or never sent.
    DOWN = "down"
    # A write that may have taken effect; the answer did not come.
    LOST = "lost"


@attrs.define(kw_only=True)
class Object:
    """One object as the store holds it.

    Attributes:
        path: where it is.
        version: the store's revision at its last write; grows over all
            objects, so versions of different objects are ordered too.
        value: the bytes that were written; None when it was deleted.
        write_id: the id that its last writer gave.
    """

    path: str
    version: int
    value: bytes | None
    write_id: str = ""


@attrs.define(kw_only=True)
class Read:
    """Read one object."""

    call: str
    path: str


@attrs.define(kw_only=True)
class Write:
    """Write one object, on condition of its version.

    Attributes:
        call: the call's id.
        path: where to write.
        value: new value; None deletes the object.
        expected: the version that it must have; 0 when it must be absent.
        write_id: a new id, for finding out whether a lost write took effect.
    """

    call: str
    path: str
    value: bytes | None
    expected: int
    write_id: str


@attrs.define(kw_only=True)
class Scan:
    """Read all objects whose path starts with a prefix."""

    call: str
    prefix: str


@attrs.define(kw_only=True)
class Watch:
    """Wait for changes under a prefix after a version.

    Attributes:
        call: the call's id.
        prefix: which objects.
        after: only changes with a greater version.
        seconds: how long the store may wait before it answers with none.
    """

    call: str
    prefix: str
    after: int
    seconds: float


@attrs.define(kw_only=True)
class StoreAnswer:
    """The store's answer.

    Attributes:
        call: id of the call that it answers.
        outcome: how it ended.
        objects: what was read; after CONFLICT the object as it is now, where
            the store gave it; deleted objects have a value of None.
        version: WRITTEN: the new version; scan and watch: the revision up
            to which the answer is complete.
    """

    call: str
    outcome: Outcome
    objects: list[Object] = attrs.field(factory=list)
    version: int = 0


Call = Read | Write | Scan | Watch
