"""Differences between two versions of a decoded JSON object.

Of a configuration with thousands of entries, one version changes a few. A
difference has these alone, and says which runs of the older lists the newer
ones keep.
"""

import attrs
import msgspec


@attrs.define(kw_only=True)
class FieldChange:
    """One field of the newer object.

    Attributes:
        name: name of the field.
        pieces: for a list, runs of the older list with what follows each:
            index of the first entry, number of entries, new entries. None if
            `value` is the whole field.
        value: the whole field.
        kept: whether the field is equal in the older object.
    """

    name: str
    pieces: list[tuple[int, int, list[object]]] | None = None
    value: object = None
    kept: bool = False


class UnmatchedBaseError(Exception):
    """A difference doesn't apply to the object that it is applied to."""


def difference(older: dict, newer: dict) -> list[FieldChange]:
    """Returns the fields of the newer object, in their order."""
    return [
        _field_change(name, name in older, older.get(name), value)
        for name, value in newer.items()
    ]


def _field_change(
    name: str, is_known: bool, older: object, newer: object
) -> FieldChange:
    if isinstance(older, list) and isinstance(newer, list):
        return FieldChange(name=name, pieces=_pieces(older, newer))
    # Numbers and booleans may be equal and encoded differently.
    if is_known and type(older) is type(newer) and older == newer:
        return FieldChange(name=name, kept=True)
    return FieldChange(name=name, value=newer)


def _pieces(older: list, newer: list) -> list[tuple[int, int, list[object]]]:
    """Returns the newer list as runs of the older one and new entries."""
    pieces: list[tuple[int, int, list[object]]] = []
    start = end = 0
    added: list[object] = []
    places: dict[bytes, int] | None = None
    for entry in newer:
        if not added and end < len(older) and _is_equal(older[end], entry):
            end += 1
            continue
        if places is None:
            places = _places(older)
        place = places.get(msgspec.json.encode(entry))
        if place is None:
            added.append(entry)
            continue
        pieces.append((start, end - start, added))
        start, end, added = place, place + 1, []
    pieces.append((start, end - start, added))
    return pieces


def _is_equal(one: object, other: object) -> bool:
    return one is other or one == other


def _places(entries: list) -> dict[bytes, int]:
    """Returns the index of each entry by its encoding."""
    return {
        msgspec.json.encode(entry): index for index, entry in enumerate(entries)
    }


def apply(older: dict, changes: list[FieldChange]) -> dict:
    """Returns the newer object; it shares what is kept with the older one.

    Raises:
        UnmatchedBaseError: the older object lacks what the difference keeps.
    """
    newer: dict[str, object] = {}
    for each in changes:
        if each.pieces is not None:
            newer[each.name] = _joined(older.get(each.name), each.pieces)
        elif not each.kept:
            newer[each.name] = each.value
        elif each.name in older:
            newer[each.name] = older[each.name]
        else:
            raise UnmatchedBaseError(f"no field {each.name}")
    return newer


def _joined(
    older: object, pieces: list[tuple[int, int, list[object]]]
) -> list[object]:
    if not isinstance(older, list):
        raise UnmatchedBaseError("the older field is no list")
    joined: list[object] = []
    for start, count, added in pieces:
        if start < 0 or count < 0 or start + count > len(older):
            raise UnmatchedBaseError(f"no entries {start} to {start + count}")
        joined += older[start : start + count]
        joined += added
    return joined
