"""Encodes and decodes requests of clients and responses of servers."""

import re

from returns import result

from pimentoledge import results
from pimentoledge.platform import names
from pimentoledge.routing import http_messages
from pimentoledge.routing import request_types

_MAX_NUMBER_DIGITS = 15
_FIRST_ERROR_STATUS = 400


def _parse_integer(value: bytes | None) -> int | None:
    if value is None:
        return None
    text = value.strip()
    if not text.isdigit() or len(text) > _MAX_NUMBER_DIGITS:
        return None
    return int(text)


def _parse_decimal(value: bytes | None) -> float | None:
    """Parses a non-negative decimal number; returns None if invalid."""
    if value is None:
        return None
    whole, _, fraction = value.strip().partition(b".")
    if not (whole + fraction).isdigit() or len(whole) > _MAX_NUMBER_DIGITS:
        return None
    return float(value)


def _decode_text(value: bytes | None) -> str:
    return "" if value is None else value.strip().decode("latin-1")


def _api_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    if not value.lower().startswith(names.BEARER_PREFIX):
        return None
    return value[len(names.BEARER_PREFIX) :].strip().decode("latin-1") or None


def _prompt_parts(value: bytes | None) -> tuple[request_types.Part, ...]:
    if not value:
        return ()
    parts = []
    for entry in value.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        token_count = _parse_integer(tokens)
        if not name or token_count is None:
            return ()
        parts.append(
            request_types.Part(name=name.decode("latin-1"), tokens=token_count)
        )
    return tuple(parts)


def _token_counts(value: bytes | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    first, _, second = value.partition(b",")
    return _parse_integer(first) or 0, _parse_integer(second) or 0


def _is_forwarded(name: bytes, dropped: frozenset[bytes]) -> bool:
    lower_name = name.lower()
    return lower_name not in dropped and lower_name not in names.HOP_BY_HOP


def is_readiness_probe(head: http_messages.RequestHead) -> bool:
    """Returns whether a request is the load balancer's readiness probe."""
    return head.target.partition(b"?")[0] == names.READY_PATH


def decode_request(
    head: http_messages.RequestHead, body: bytes, arrived: float
) -> result.Result[request_types.ClientRequest, results.Error]:
    """Decodes a client's request, or returns why it is invalid.

    Args:
        head: the request's head.
        body: its complete body.
        arrived: when it was fully received, in seconds of clocks.now.
    """
    request_ids = head.values(names.REQUEST_ID)
    if not head.target.startswith(b"/"):
        return _bad_field("the target must be a path")
    if len(request_ids) != 1 or not request_ids[0].strip():
        return _bad_field("one request id is needed")
    deadline_milliseconds = _parse_integer(head.value(names.DEADLINE))
    prompt_tokens, answer_tokens = _token_counts(head.value(names.TOKEN_USAGE))
    host = _decode_text(head.value(b"host")).lower().partition(":")[0]
    path = head.target.partition(b"?")[0].decode("latin-1")
    return result.Success(
        request_types.ClientRequest(
            request=_decode_text(request_ids[0]),
            method=head.method,
            host=host,
            target=head.target,
            path=path,
            key=_api_key(head.value(names.AUTHORIZATION)),
            wait_seconds=None
            if deadline_milliseconds is None
            else deadline_milliseconds / 1000,
            model=_decode_text(head.value(names.MODEL)),
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            parts=_prompt_parts(head.value(names.PROMPT_PREFIX)),
            resume_after=_parse_integer(head.value(names.LAST_EVENT_ID)),
            resumes=_decode_text(head.value(names.RESUMES)),
            passed_on=[
                (name, value)
                for name, value in head.headers
                if _is_forwarded(name, names.ROUTER_ONLY)
            ],
            body=body,
            arrived=arrived,
        )
    )


def _bad_field(text: str) -> result.Failure:
    return result.Failure(results.Error(code=results.Code.BAD_FIELD, text=text))


def encode_request(
    client_request: request_types.ClientRequest,
    dispatch: request_types.Dispatch,
) -> bytes:
    """Encodes a client's request as sent to a server."""
    lines = [b"%b %b HTTP/1.1" % (client_request.method, client_request.target)]
    lines += [b"%b: %b" % pair for pair in client_request.passed_on]
    lines += [b"%b: %b" % pair for pair in _system_headers(dispatch)]
    if client_request.body or client_request.method not in (
        b"GET",
        b"HEAD",
        b"DELETE",
    ):
        lines.append(b"Content-Length: %d" % len(client_request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + client_request.body


def _system_headers(
    dispatch: request_types.Dispatch,
) -> list[tuple[bytes, bytes]]:
    milliseconds = max(1, int(dispatch.seconds_left * 1000))
    pairs: list[tuple[bytes, object]] = [
        (names.DEADLINE, milliseconds),
        (names.EXPECTED_INCARNATION, dispatch.server),
        (names.ORGANISATION, dispatch.organisation),
        (names.URGENCY, dispatch.urgency),
        (names.EXPECTED_WEIGHT_VERSION, dispatch.weights),
        (names.NAMESPACE, dispatch.namespace),
        (names.KV_FETCH_FROM, dispatch.fetch_from),
        (names.KV_SAVE_TO, dispatch.save_to),
        (names.LAST_EVENT_ID, dispatch.resume_after),
    ]
    return [
        (name, str(value).encode("latin-1"))
        for name, value in pairs
        if value is not None
    ]


def decode_response_head(
    head: http_messages.ResponseHead,
) -> request_types.ServerResponse:
    """Decodes the head of a server's response."""
    request_id = head.value(names.REQUEST_ID)
    return request_types.ServerResponse(
        status=head.status,
        request=None if request_id is None else _decode_text(request_id),
        not_run=_is_not_run(head),
        signed=head.value(names.SIGNATURE) is not None,
        encoded=head.value(b"content-encoding") is not None,
        load=_server_load(head.value(names.SERVER_LOAD)),
        weights=_parse_integer(head.value(names.WEIGHT_VERSIONS)),
        server=_decode_text(head.value(names.INCARNATION)) or None,
        idle_seconds=_idle_seconds(head.value(b"keep-alive")),
        leaving=_decode_text(head.value(names.SERVER_LEAVING)) == "1",
        retry_seconds=_parse_decimal(head.value(names.RETRY_AFTER)),
        retry_text=_decode_text(head.value(names.RETRY_AFTER)),
        limit=_parse_decimal(head.value(names.SERVER_LIMIT)),
        limit_text=_decode_text(head.value(names.SERVER_LIMIT)),
        passed_on=[
            (name, value)
            for name, value in head.headers
            if _is_forwarded(name, frozenset())
        ],
    )


def holds_response_to(body: bytes, request: str) -> bool:
    """Returns whether a body holds the head of a response to its own request.

    Then a server has responded twice, and its first response was cut or told
    no length.

    Args:
        body: the body of a response.
        request: id of the request.
    """
    if b"HTTP/1." not in body:
        return False
    status_line = http_messages.STATUS_LINE.search(body)
    if status_line is None:
        return False
    field = re.compile(
        rb"\n%b:[ \t]*%b[ \t\r\n]"
        % (re.escape(names.REQUEST_ID), re.escape(request.encode("latin-1"))),
        re.IGNORECASE,
    )
    return field.search(body, status_line.end() - 1) is not None


def _is_not_run(head: http_messages.ResponseHead) -> bool:
    """Returns whether a server states that it did not run the request.

    A success contradicts the statement, so it doesn't count.
    """
    if head.status < _FIRST_ERROR_STATUS:
        return False
    return head.value(names.NOT_RUN) is not None or head.status == 421


def _server_load(value: bytes | None) -> request_types.ServerLoad | None:
    if value is None:
        return None
    # Servers may add figures; the known ones hold whatever follows them.
    numbers = [_parse_integer(each) for each in value.split(b",")]
    if len(numbers) < 3 or None in numbers[:3]:
        return None
    running, waiting, slots = numbers[:3]
    percent = numbers[3] if len(numbers) > 3 else None
    return request_types.ServerLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=percent / 100 if percent else None,
    )


def _idle_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    for entry in value.split(b","):
        name, _, seconds = entry.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_integer(seconds)
    return None


def encode_router_response(
    *,
    status: int,
    request: str,
    body: bytes = b"",
    retry_seconds: float | None = None,
    closes: bool = False,
) -> bytes:
    """Encodes a response that the router itself generates."""
    lines = [
        b"HTTP/1.1 %d %b" % (status, _REASON_PHRASES.get(status, b"Answer")),
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(body),
    ]
    if request:
        name = request.encode("latin-1")
        lines.append(b"%b: %b" % (names.REQUEST_ID, name))
    if retry_seconds is not None:
        lines.append(b"%b: %.3f" % (names.RETRY_AFTER, retry_seconds))
    if closes:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_response_head(
    response: request_types.ServerResponse,
    *,
    length: int | None,
    closes: bool,
    chunked: bool = True,
) -> bytes:
    """Encodes the head of a server's response for the client.

    Args:
        response: the server's response.
        length: length of the body, or None if it isn't known.
        closes: whether the connection is closed after the response.
        chunked: whether a body of unknown length is sent in chunks; otherwise
            it ends with the connection.
    """
    reason = _REASON_PHRASES.get(response.status, b"Answer")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines += [b"%b: %b" % pair for pair in response.passed_on]
    if length is None:
        if chunked:
            lines.append(b"Transfer-Encoding: chunked")
    elif response.status not in (204, 304):
        lines.append(b"Content-Length: %d" % length)
    if closes:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
