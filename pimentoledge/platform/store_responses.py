"""Decodes responses of the platform's store, of which parts may be unreadable.

A store may send an object's content as another writer stored it, so one object
may break the grammar of the whole response.
"""

import bisect
from collections.abc import Iterator
import re

from pimentoledge.routing import json_documents

_METADATA = "metadata"
_OBJECT = "object"
_DELETED = "deleted"
# Matches between two elements, by the field of a page that holds them. An
# element begins with one of its own fields.
_SEPARATORS = {
    "items": re.compile(rb'\}\s*,\s*(?=\{\s*"(?:metadata|spec|status)"\s*:)'),
    "events": re.compile(rb'\}\s*,\s*(?=\{\s*"(?:object|deleted)"\s*:)'),
}
# What follows an element. A field there shows that a bracket closed it early.
_NEXT = re.compile(rb'\s*(?:,(?!\s*"[^"]*"\s*:)|\Z)')
_BETWEEN = re.compile(rb"[\s,]*")
_DELETED_LAST = re.compile(rb'"deleted"\s*:\s*true\s*\}[\s,]*\Z')


def decode(data: bytes) -> object:
    """Decodes a response of the store.

    Of an object that can't be decoded the metadata stay, if they can be
    decoded; an element without readable metadata becomes None.

    Raises:
        json_documents.UnreadableError: it can't be decoded in parts either.
    """
    try:
        return json_documents.decode(data)
    except json_documents.UnreadableError:
        return _decode_parts(data)


def _decode_parts(data: bytes) -> object:
    """Decodes an object, or a page of objects or events, in parts."""
    body: dict[str, object] = {}
    for name, begin in json_documents.fields(data):
        if name == _METADATA:
            return _without_content(data)
        if name in _SEPARATORS:
            # What follows the elements has no brackets.
            end = data.rfind(b"]")
            elements = _decode_elements(data[begin:end], _SEPARATORS[name])
            body[name] = list(elements)
            rest = data[end + 1 :].strip().removeprefix(b",")
            return body | json_documents.decode(b"{" + rest)
        end = json_documents.end_of_value(data, begin)
        body[name] = json_documents.decode(data[begin:end])
    return body


def _decode_elements(
    data: bytes, separator: re.Pattern[bytes]
) -> Iterator[object]:
    """Decodes the elements of a page.

    An element ends where its brackets close, since what it contains may look
    like the begin of another one. If they don't close, it ends before what
    looks like the next one.

    Args:
        data: the elements with the bracket that opens them.
        separator: matches between two elements.

    Raises:
        json_documents.UnreadableError: there is no such bracket.
    """
    position = data.find(b"[") + 1
    if not position:
        raise json_documents.UnreadableError("no array of elements")
    begins = [match.end() for match in separator.finditer(data)]
    begins.append(len(data))
    while True:
        position = _BETWEEN.match(data, position).end()
        if position == len(data):
            return
        end = begins[bisect.bisect_right(begins, position)]
        try:
            yield json_documents.decode(data[position:end].rstrip(b", \t\r\n"))
        except json_documents.UnreadableError:
            end = _end_of_element(data, position, end)
            yield _decode_element(data[position:end])
        position = end


def _end_of_element(data: bytes, begin: int, following: int) -> int:
    """Returns the end of an element, by its brackets if they close.

    Args:
        data: the elements.
        begin: where the element begins.
        following: where the next element seems to begin.
    """
    try:
        end = json_documents.end_of_value(data, begin)
        if _NEXT.match(data, end):
            return end
    except json_documents.UnreadableError:
        pass
    return following


def _decode_element(data: bytes) -> object:
    """Decodes an element, without its content if that can't be decoded.

    Returns:
        the element, or None if its metadata can't be decoded either.
    """
    try:
        return json_documents.decode(data)
    except json_documents.UnreadableError:
        return _decode_marked(data)


def _decode_marked(data: bytes) -> dict | None:
    """Decodes the metadata of an element, and whether it was deleted."""
    deleted = False
    try:
        for name, begin in json_documents.fields(data):
            match name:
                case "metadata":
                    return _without_content(data)
                case "deleted":
                    end = json_documents.end_of_value(data, begin)
                    deleted = json_documents.decode(data[begin:end])
                case "object":
                    return {
                        _OBJECT: _without_content(data[begin:]),
                        _DELETED: bool(deleted or _DELETED_LAST.search(data)),
                    }
    except json_documents.UnreadableError:
        pass
    return None


def _without_content(data: bytes) -> dict:
    """Decodes the metadata of an object; raises UnreadableError."""
    metadata = json_documents.decode_field(data, _METADATA)
    if not isinstance(metadata, dict):
        raise json_documents.UnreadableError("the metadata are no object")
    return {_METADATA: metadata, "spec": None}
