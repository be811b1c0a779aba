"""The former versions of a declaration, kept in an object beside it.

Before an update replaces a version, it puts that version into the history.
So the current version and the history together are complete, whatever
happens to the process that updates; and the write id of every version that
ever was in force is found in one of them while the history reaches back.

The history stands outside the path that nodes watch: it is read only on
demand, and costs each update one read and one write, and the nodes nothing.
"""

import attrs
import msgspec

from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores

ROOT = "histories/"
KEPT = 20
MOST_BYTES = 500_000


@attrs.define(kw_only=True)
class FormerVersion:
    """A version that was replaced.

    Attributes:
        version: its version.
        write_id: id of the write that made it.
        value: its value as JSON.
    """

    version: int
    write_id: str
    value: msgspec.Raw


@attrs.define(kw_only=True)
class History:
    """The former versions of one object.

    Attributes:
        formers: oldest first.
        dropped: the newest version that was dropped; 0 for none.
    """

    formers: list[FormerVersion] = attrs.field(factory=list)
    dropped: int = 0

    def holds(self, version: int) -> bool:
        """Returns whether a version is among them."""
        return any(each.version == version for each in self.formers)

    def is_complete_since(self, version: int) -> bool:
        """Returns whether nothing newer than a version was dropped."""
        return self.dropped <= version


def path_of(path: str) -> str:
    """Returns the path of the history of the object at a path."""
    return ROOT + path.removeprefix(declarations.ROOT)


def decode(stored: stores.Object | None) -> History:
    """Reads a history; none, or one that can't be read, is empty."""
    if stored is None or stored.value is None:
        return History()
    try:
        return msgspec.json.decode(stored.value, type=History)
    except msgspec.MsgspecError:
        return History()


def extended(history: History, replaced: stores.Object) -> bytes:
    """Returns the encoded history with a version put at its end."""
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
    while len(formers) > KEPT or (size > MOST_BYTES and len(formers) > 1):
        oldest = formers.pop(0)
        dropped = oldest.version
        size -= len(oldest.value)
    return msgspec.json.encode(History(formers=formers, dropped=dropped))


def _as_json(value: bytes) -> msgspec.Raw:
    try:
        msgspec.json.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        # Written past the administration API; shown as it is.
        value = msgspec.json.encode(value.decode(errors="replace"))
    return msgspec.Raw(value)
