"""The administration API: converts HTTP to typed requests and back."""

from collections import abc
import re
import secrets
import time

import msgspec
from returns import result

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import administration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.operators import servers

API_ROOT = "/admin/v1/"
SOURCE_HEADER = "Pimentoledge-Source"
_ALLOWED_METHODS = ("GET", "PUT", "PATCH", "DELETE")
_VERSION_PATTERN = re.compile(r'"?(\d{1,18})"?')
_TRUE_VALUES = ("true", "1")

# Passes a request to the state machine and waits for its reply; returns None if
# the process is shutting down.
Submit = abc.Callable[[events.OperatorRequest], actions.ReplyOperator | None]


class AdminApi:
    """Serves the paths below /admin/v1/.

    Attributes:
        submit: passes a request to the state machine and waits for its reply.
    """

    def __init__(self, *, submit: Submit):
        self.submit = submit

    def serve(self, request: servers.PageRequest) -> servers.PageResponse:
        """Handles one request."""
        match parse(request):
            case result.Failure(error):
                return _error_response(error)
            case result.Success(event):
                reply = self.submit(event)
        if reply is None:
            ran = results.Ran.NOT_RUN
            if event.method != "GET" and not event.dry_run:
                ran = results.Ran.UNKNOWN
            code = results.Code.SHUTTING_DOWN
            return _error_response(results.Error(code=code, ran=ran))
        return _success_response(reply)


def parse(
    request: servers.PageRequest,
) -> result.Result[events.OperatorRequest, results.Error]:
    """Parses a request."""
    if request.method not in _ALLOWED_METHODS:
        return _failure(results.Code.METHOD_NOT_ALLOWED)
    parts = request.path.removeprefix(API_ROOT).rstrip("/").split("/")
    history = len(parts) == 3 and parts[2] == "history"
    is_valid_path = len(parts) <= 2 or (history and request.method == "GET")
    if not is_valid_path:
        return _failure(results.Code.NOT_FOUND)
    if parts[0] == administration.STATUS and len(parts) > 1:
        return _failure(results.Code.NOT_FOUND)
    limit = request.query.get("limit", "100")
    if not limit.isdecimal():
        return _failure(results.Code.BAD_FIELD, "limit must be a number")
    match _expected_version(request.headers):
        case result.Failure(error):
            return result.Failure(error)
        case result.Success(expected):
            pass
    event = events.OperatorRequest(
        request=secrets.token_hex(12),
        key_digest=declarations.key_digest(_bearer_key(request.headers)),
        method=request.method,
        kind=parts[0],
        name=parts[1] if len(parts) > 1 else "",
        history=history,
        limit=int(limit),
        cursor=request.query.get("cursor", ""),
        body=request.body,
        expected=expected,
        dry_run=request.query.get("dry_run", "").lower() in _TRUE_VALUES,
        at=time.time(),
    )
    return result.Success(event)


def _bearer_key(headers: dict[str, str]) -> str:
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _expected_version(
    headers: dict[str, str],
) -> result.Result[int | None, results.Error]:
    if_none_match = headers.get("if-none-match")
    if_match = headers.get("if-match")
    if if_none_match is None and if_match is None:
        return result.Success(None)
    if if_none_match is not None and (
        if_match is not None or if_none_match.strip() != "*"
    ):
        text = 'If-None-Match must be "*", and without If-Match'
        return _failure(results.Code.BAD_FIELD, text)
    if if_none_match is not None:
        return result.Success(0)
    version = _VERSION_PATTERN.fullmatch(if_match.strip())
    if version is None or int(version[1]) == 0:
        text = "If-Match must be the ETag of the version that was read"
        return _failure(results.Code.BAD_FIELD, text)
    return result.Success(int(version[1]))


def _failure(code: results.Code, text: str = "") -> result.Failure:
    return result.Failure(results.Error(code=code, text=text))


def _error_response(error: results.Error) -> servers.PageResponse:
    body = msgspec.json.encode({"error": error.fields()})
    return servers.PageResponse(status=error.status(), body=body)


def _success_response(reply: actions.ReplyOperator) -> servers.PageResponse:
    headers = []
    if reply.version:
        headers.append(("ETag", f'"{reply.version}"'))
    if reply.known:
        headers.append((SOURCE_HEADER, "known"))
    return servers.PageResponse(
        status=reply.status,
        body=msgspec.json.encode(reply.fields),
        headers=headers,
    )
