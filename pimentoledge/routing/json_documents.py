"""Decodes JSON documents, and documents of which a part can't be decoded.

Other writers may store bytes that no decoder accepts, and values that no
message to other routers can hold. Where a document as a whole can't be used,
its parts are found by their brackets alone and decoded one by one.
"""

from collections.abc import Iterator
import re

import msgspec

# A run of digits that may be an integer beyond 64 bits.
_LONG_INTEGER = re.compile(rb"\d{19}")
# Strings and brackets; all else between them can't contain these.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_ENCODER = msgspec.msgpack.Encoder()


class UnreadableError(Exception):
    """A document, or a part of one, can't be decoded or passed on."""


def decode(data: bytes) -> object:
    """Decodes a document.

    Raises:
        UnreadableError: it is no JSON, or contains a value that a message
            can't hold.
    """
    try:
        document = msgspec.json.decode(data)
        if _LONG_INTEGER.search(data):
            _ENCODER.encode(document)
    except (msgspec.MsgspecError, OverflowError, RecursionError) as error:
        raise UnreadableError(str(error)[:200]) from error
    return document


def split_object(data: bytes) -> dict[str, bytes]:
    """Returns the undecoded values of an object by name.

    Entries whose name can't be decoded are left out.

    Raises:
        UnreadableError: it is no object.
    """
    values = {}
    for part in _split(data, b"{", b"}"):
        match = _TOKEN.match(part)
        name, colon, value = part.partition(b":")
        if match is not None:
            name = match.group()
            _, colon, value = part[match.end() :].partition(b":")
        if not colon:
            raise UnreadableError("an entry of an object has no value")
        try:
            values[str(decode(name.strip()))] = value.strip()
        except UnreadableError:
            continue
    return values


def split_array(data: bytes) -> list[bytes]:
    """Returns the undecoded elements of an array.

    Raises:
        UnreadableError: it is no array.
    """
    return list(_split(data, b"[", b"]"))


def _split(data: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    data = data.strip()
    if not (data.startswith(opening) and data.endswith(closing)):
        raise UnreadableError("brackets don't match")
    depth = 0
    begin = 1
    for match in _TOKEN.finditer(data):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
        elif token in (b"]", b"}"):
            depth -= 1
            if depth == 0 and match.end() != len(data):
                raise UnreadableError("brackets don't match")
        elif token == b"," and depth == 1:
            yield data[begin : match.start()].strip()
            begin = match.end()
    if depth != 0:
        raise UnreadableError("brackets don't match")
    last = data[begin:-1].strip()
    if last or begin > 1:
        yield last
