"""Builds error responses: the OpenAI error object and its headers."""

import math

import msgspec

from pimentoledge import results

_encode = msgspec.json.Encoder().encode


def error_body(error: results.Error, param: str | None = None) -> bytes:
    """Returns the error object as JSON.

    Args:
        error: the error.
        param: the invalid field, if any.
    """
    return _encode({"error": error.fields(param)})


def error_headers(error: results.Error) -> list[tuple[str, str]]:
    """Returns the headers of an error response."""
    headers = [("Content-Type", "application/json")]
    if error.retry_after > 0:
        headers.append(("Retry-After", str(math.ceil(error.retry_after))))
    if error.status() == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    if error.outcome() == results.Ran.UNKNOWN:
        # OpenAI's client libraries retry failed calls automatically. Whether
        # to retry a call that may have run is up to its caller.
        headers.append(("X-Should-Retry", "false"))
    return headers
