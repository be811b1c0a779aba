"""Errors as callers see them: the OpenAI error object and its headers."""

import math

import msgspec

from pimentoledge import results

_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}
_FIRST_SERVER_STATUS = 500

_encode = msgspec.json.Encoder().encode


def _kind(status: int) -> str:
    if status >= _FIRST_SERVER_STATUS:
        return "server_error"
    return _TYPES.get(status, "invalid_request_error")


def body(error: results.Error, param: str | None = None) -> bytes:
    """Returns the error object as JSON.

    Args:
        error: what went wrong.
        param: the field at fault, if one is.
    """
    return _encode(
        {
            "error": {
                "message": error.message(),
                "type": _kind(error.status()),
                "param": param,
                "code": error.code.name,
                "number": int(error.code),
                "outcome": str(error.outcome()),
                "retry_after": error.retry_after,
            }
        }
    )


def headers(error: results.Error) -> list[tuple[str, str]]:
    """Returns the headers that go with an error."""
    found = [("Content-Type", "application/json")]
    if error.retry_after > 0:
        found.append(("Retry-After", str(math.ceil(error.retry_after))))
    if error.status() == 401:
        found.append(("WWW-Authenticate", "Bearer"))
    if error.outcome() == results.Ran.UNKNOWN:
        # OpenAI's client libraries send a failed call again by themselves;
        # of a call that may have run, only its caller can decide that.
        found.append(("X-Should-Retry", "false"))
    return found
