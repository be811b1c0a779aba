"""Wire format of the object API: JSON over HTTP, one path per kind of call."""

import msgspec

from pimentoledge.decisions import stores

# msgspec encodes values, which are bytes, as base64.
PATHS: dict[type, str] = {
    stores.Read: "/objects/read",
    stores.Write: "/objects/write",
    stores.Scan: "/objects/scan",
    stores.Watch: "/objects/watch",
}
CALL_TYPES: dict[str, type] = {path: kind for kind, path in PATHS.items()}


def encode(message: stores.Call | stores.StoreAnswer) -> bytes:
    """Returns the JSON form of a call or an answer."""
    return msgspec.json.encode(message)


def decode_call(path: str, body: bytes) -> stores.Call:
    """Returns the call that was sent to a path."""
    return msgspec.json.decode(body, type=CALL_TYPES[path])


def decode_answer(body: bytes) -> stores.StoreAnswer:
    """Returns the answer in a body."""
    return msgspec.json.decode(body, type=stores.StoreAnswer)
