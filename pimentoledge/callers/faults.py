"""Errors as callers see them: the OpenAI error object and its headers."""

import math

import msgspec

from pimentoledge import results

_encode = msgspec.json.Encoder().encode


def error_body(error: results.Error, param: str | None = None) -> bytes:
    """Returns the error object as JSON.

    Args:
        error: what went wrong.
        param: the field at fault, if one is.
    """
    return _encode({"error": error.fields(param)})


def error_headers(error: results.Error) -> list[tuple[str, str]]:
    """Returns the headers that go with an error."""
    headers = [("Content-Type", "application/json")]
    if error.retry_after > 0:
        headers.append(("Retry-After", str(math.ceil(error.retry_after))))
    if error.status() == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    if error.outcome() == results.Ran.UNKNOWN:
        # OpenAI's client libraries send a failed call again by themselves;
        # of a call that may have run, only its caller can decide that.
        headers.append(("X-Should-Retry", "false"))
    return headers
