"""The former versions of a declaration, stored in an object of their own.

Before an update replaces a version, it appends that version to the history.
The history and the current version are therefore complete together even if
the updating process fails, and one of them holds the write id of every
version that was ever in force, as far back as the history goes.

Histories are stored outside the prefix that nodes watch and are read only on
demand. They cost each update one read and one write, and the nodes nothing.
"""

import attrs
import msgspec

from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores

ROOT = "histories/"
MAX_VERSIONS = 20
MAX_BYTES = 500_000


@attrs.define(kw_only=True)
class FormerVersion:
    """A replaced version of an object.

    Attributes:
        version: the replaced version.
        write_id: id of the write that created it.
        value: its value as JSON.
    """

    version: int
    write_id: str
    value: msgspec.Raw


@attrs.define(kw_only=True)
class History:
    """The former versions of one object.

    Attributes:
        formers: the former versions, oldest first.
        dropped: the newest version removed from the history; 0 for none.
    """

    formers: list[FormerVersion] = attrs.field(factory=list)
    dropped: int = 0

    def holds(self, version: int) -> bool:
        """Returns whether the history contains a version."""
        return any(each.version == version for each in self.formers)

    def is_complete_since(self, version: int) -> bool:
        """Returns whether no version newer than the given one was dropped."""
        return self.dropped <= version


def path_of(path: str) -> str:
    """Returns the path of the history of the object at a path."""
    return ROOT + path.removeprefix(declarations.ROOT)


def decode(stored: stores.Object | None) -> History:
    """Decodes a history; an absent or invalid one gives an empty history."""
    if stored is None or stored.value is None:
        return History()
    try:
        return msgspec.json.decode(stored.value, type=History)
    except msgspec.MsgspecError:
        return History()


def extended(history: History, replaced: stores.Object) -> bytes:
    """Returns the encoded history with a replaced version appended.

    The oldest versions are dropped to stay within the limits of count and
    size.
    """
    formers = [
        each for each in history.formers if each.version < replaced.version
    ]
    formers.append(
        FormerVersion(
            version=replaced.version,
            write_id=replaced.write_id,
            value=_as_json(replaced.value),
        )
    )
    dropped = history.dropped
    size = sum(len(each.value) for each in formers)
    while len(formers) > MAX_VERSIONS or (
        size > MAX_BYTES and len(formers) > 1
    ):
        oldest = formers.pop(0)
        dropped = oldest.version
        size -= len(oldest.value)
    return msgspec.json.encode(History(formers=formers, dropped=dropped))


def _as_json(value: bytes) -> msgspec.Raw:
    try:
        msgspec.json.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        # Not written by the administration API; kept as a JSON string.
        value = msgspec.json.encode(value.decode(errors="replace"))
    return msgspec.Raw(value)
