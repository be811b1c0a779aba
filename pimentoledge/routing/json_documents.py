"""Decodes JSON documents, and documents of which a part can't be decoded.

Other writers may store bytes that no decoder accepts, and values that no
message to other routers can hold. Where a document as a whole can't be used,
its parts are found by their grammar alone and decoded one by one.
"""

from collections.abc import Iterator
import re

import msgspec

# A run of digits that may be an integer beyond 64 bits.
_LONG_INTEGER = re.compile(rb"\d{19}")
# A string, a structural character, or a literal; the content of strings and
# literals isn't checked.
_TOKEN = re.compile(
    rb'\s*("(?:[^"\\]|\\.)*"|[\[\]{},:]|[^\s"\[\]{},:]+)', re.DOTALL
)
_CLOSING = {b"{": b"}", b"[": b"]"}
_STRUCTURAL = frozenset(b"{}[],:")
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


def end_of_value(data: bytes, begin: int) -> int:
    """Returns the end of the value that begins at an offset.

    Raises:
        UnreadableError: the strings and brackets there form no value.
    """
    open_brackets: list[bytes] = []
    expects = "value"
    position = begin
    while True:
        token, position = _next_token(data, position)
        match expects, token:
            case ("value" | "first", b"{" | b"["):
                open_brackets.append(token)
                expects = "first key" if token == b"{" else "first"
                continue
            case ("value" | "first", _) if token[0] not in _STRUCTURAL:
                pass
            case ("first", b"]") | ("first key", b"}"):
                open_brackets.pop()
            case ("key" | "first key", _) if token.startswith(b'"'):
                expects = "colon"
                continue
            case "colon", b":":
                expects = "value"
                continue
            case "comma", b",":
                expects = "key" if open_brackets[-1] == b"{" else "value"
                continue
            case "comma", _ if token == _CLOSING[open_brackets[-1]]:
                open_brackets.pop()
            case _:
                raise UnreadableError("strings and brackets don't match")
        if not open_brackets:
            return position
        expects = "comma"


def _next_token(data: bytes, position: int) -> tuple[bytes, int]:
    match = _TOKEN.match(data, position)
    if match is None:
        raise UnreadableError("strings and brackets don't match")
    return match.group(1), match.end()


def fields(data: bytes) -> Iterator[tuple[str, int]]:
    """Yields the name of each field of an object, and where its value begins.

    The value of a field must be valid only if the next field is asked for.
    Fields whose name can't be decoded are left out.

    Raises:
        UnreadableError: it is no object, or not from this field on.
    """
    token, position = _next_token(data, 0)
    if token != b"{":
        raise UnreadableError("not an object")
    token, position = _next_token(data, position)
    while token != b"}":
        name = token
        token, position = _next_token(data, position)
        if token != b":" or not name.startswith(b'"'):
            raise UnreadableError("a field has no name or no value")
        try:
            yield str(decode(name)), position
        except UnreadableError:
            pass
        position = end_of_value(data, position)
        token, position = _next_token(data, position)
        if token == b",":
            token, position = _next_token(data, position)
        elif token != b"}":
            raise UnreadableError("a field isn't followed by another one")


def decode_field(data: bytes, name: str) -> object:
    """Decodes one field of an object; what follows it may be unreadable.

    Raises:
        UnreadableError: there is no such field, or it can't be decoded.
    """
    for each, begin in fields(data):
        if each == name:
            return decode(data[begin : end_of_value(data, begin)])
    raise UnreadableError(f"no field {name}")
