"""Requests to the platform's object API and their answers.

Each call has a unique id, and its answer carries the same id. A write whose
outcome is LOST may have taken effect, so the writer reads the object back and
compares `write_id` before it does anything else.
"""

import enum

import attrs


class Outcome(enum.StrEnum):
    """The result of a call to the store."""

    FOUND = "found"
    ABSENT = "absent"
    WRITTEN = "written"
    CONFLICT = "conflict"
    # The call was refused or never sent, and had no effect.
    DOWN = "down"
    # No answer arrived; a write may have taken effect.
    LOST = "lost"


@attrs.define(kw_only=True)
class Object:
    """One object in the store.

    Attributes:
        path: the object's path.
        version: the store's revision at the object's last write. Revisions
            increase across all objects, so versions of different objects
            can be compared.
        value: the stored bytes; None if the object was deleted.
        write_id: the write id of the last write.
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
    """Write one object if it has the expected version.

    Attributes:
        call: the call's id.
        path: the object's path.
        value: new value; None deletes the object.
        expected: the version the object must have; 0 if it must not exist.
        write_id: a unique id, used to find out whether a write whose answer
            was lost took effect.
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
        prefix: prefix of the paths to watch.
        after: only changes with a greater version are returned.
        seconds: how long the store may wait for a change before it returns
            an empty answer.
    """

    call: str
    prefix: str
    after: int
    seconds: float


@attrs.define(kw_only=True)
class StoreAnswer:
    """The store's answer to a call.

    Attributes:
        call: id of the answered call.
        outcome: the result of the call.
        objects: the objects read; after CONFLICT the current object, if the
            store returned it. Deleted objects have a value of None.
        version: after WRITTEN the new version; for scans and watches the
            revision up to which the answer is complete.
    """

    call: str
    outcome: Outcome
    objects: list[Object] = attrs.field(factory=list)
    version: int = 0


Call = Read | Write | Scan | Watch
