"""Conversion between declarations and the JSON of the administration API."""

import re

import msgspec
from returns import result

from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.decisions import validation

MIN_KEY_LENGTH = 16
# Read-only fields: returned by reads and ignored in writes.
_READ_ONLY = ("version", "changed")
_FIELD_PATH = re.compile(r" - at `\$\.?([^`]*)`$")
_MISSING_FIELD = re.compile(r"missing required field `([^`]+)`")

KINDS: dict[str, type] = {
    prefix.removeprefix(declarations.ROOT).rstrip("/"): kind
    for kind, prefix in declarations.PREFIXES.items()
}


def read_body(
    body: bytes,
) -> result.Result[dict[str, object], list[validation.Fault]]:
    """Decodes a request body that must be a JSON object."""
    try:
        return result.Success(msgspec.json.decode(body, type=dict[str, object]))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _fault("", f"the body must be a JSON object: {error}")


def parse(
    kind: type, name: str, fields: dict[str, object]
) -> result.Result[declarations.Declaration, list[validation.Fault]]:
    """Builds a declaration from the fields that an operator sent.

    Args:
        kind: class of the declaration.
        name: its name, from the path; the fields may omit it.
        fields: the fields; "keys" holds plaintext keys, which are replaced
            by their digests.

    Returns:
        The declaration, or the faults found in the fields.
    """
    fields = {k: v for k, v in fields.items() if k not in _READ_ONLY}
    name_field = _name_field(kind)
    if fields.setdefault(name_field, name) != name:
        return _fault(name_field, f"must be {name!r}, as in the path")
    match _digest_keys(kind, fields):
        case result.Failure(faults):
            return result.Failure(faults)
    for field in fields:
        if field not in kind.__annotations__:
            return _fault(field, "there is no such field")
    try:
        declaration = msgspec.convert(fields, kind)
    except msgspec.ValidationError as error:
        return result.Failure([_fault_from_message(str(error))])
    faults = validation.faults(declaration)
    return result.Failure(faults) if faults else result.Success(declaration)


def merge(
    kind: type, stored: stores.Object, patch: dict[str, object]
) -> dict[str, object]:
    """Returns a stored declaration's fields with some of them replaced.

    A null resets a field to its default. Unknown fields are dropped.
    """
    fields = msgspec.json.decode(stored.value, type=dict[str, object])
    known = kind.__annotations__
    fields = {k: v for k, v in fields.items() if k in known}
    fields.update(patch)
    return {k: v for k, v in fields.items() if v is not None}


def show(stored: stores.Object) -> dict[str, object]:
    """Returns a stored declaration's fields and version for operators."""
    try:
        fields = msgspec.json.decode(stored.value, type=dict[str, object])
    except msgspec.MsgspecError:
        fields = {"unreadable": stored.value.decode(errors="replace")}
    fields["version"] = stored.version
    return fields


def _digest_keys(
    kind: type, fields: dict[str, object]
) -> result.Result[None, list[validation.Fault]]:
    if "key_digests" not in kind.__annotations__ or "keys" not in fields:
        return result.Success(None)
    keys = fields.pop("keys")
    if not isinstance(keys, list):
        return _fault("keys", "must be a list of keys")
    for index, key in enumerate(keys):
        if not isinstance(key, str) or len(key) < MIN_KEY_LENGTH:
            text = f"must be text of at least {MIN_KEY_LENGTH} characters"
            return _fault(f"keys[{index}]", text)
    digests = [declarations.key_digest(key) for key in keys]
    existing = fields.get("key_digests", [])
    if not isinstance(existing, list):
        return _fault("key_digests", "must be a list")
    fields["key_digests"] = list(dict.fromkeys(existing + digests))
    return result.Success(None)


def _name_field(kind: type) -> str:
    return "organisation" if kind is declarations.Contract else "name"


def _fault_from_message(text: str) -> validation.Fault:
    missing = _MISSING_FIELD.search(text)
    if missing:
        return validation.Fault(param=missing[1], text="is missing")
    location = _FIELD_PATH.search(text)
    param = location[1] if location else ""
    return validation.Fault(param=param, text=_FIELD_PATH.sub("", text))


def _fault(param: str, text: str) -> result.Failure:
    return result.Failure([validation.Fault(param=param, text=text)])
