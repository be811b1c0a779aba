"""Converts requests to calls of plain services and filters their headers."""

import urllib.parse

from pimentoledge.nodes import messages

SERVICES_ROOT = "/services/"

# Headers that apply to a single connection, and those that the sending HTTP
# library sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Headers for this system only. The API key must not be forwarded.
_INTERNAL_HEADERS = frozenset(
    ("authorization", "x-priority", "x-request-timeout", "traceparent")
)


def parse_call(
    *, method: str, target: str, headers: list[tuple[str, str]], body: bytes
) -> messages.ServiceCall | None:
    """Builds the service call for a request below SERVICES_ROOT.

    Args:
        method: HTTP method.
        target: raw path and query, not unquoted.
        headers: headers of the request.
        body: the complete body.

    Returns:
        The call; None if the path names no service.
    """
    path, _, query = target.removeprefix(SERVICES_ROOT).partition("?")
    service, _, rest = path.partition("/")
    if not service:
        return None
    return messages.ServiceCall(
        service=urllib.parse.unquote(service),
        method=method,
        path="/" + rest,
        query=query,
        headers=remove_headers(
            headers, _HOP_BY_HOP_HEADERS | _INTERNAL_HEADERS
        ),
        body=body,
    )


def response_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Returns the headers of a service's response to relay to the caller."""
    return remove_headers(headers, _HOP_BY_HOP_HEADERS)


def remove_headers(
    headers: list[tuple[str, str]], names: frozenset[str]
) -> list[tuple[str, str]]:
    """Removes headers that are in `names` or listed in Connection."""
    removed = set(names)
    for name, value in headers:
        if name.lower() == "connection":
            removed.update(each.strip().lower() for each in value.split(","))
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in removed and _is_single_line(name + value)
    ]


def _is_single_line(text: str) -> bool:
    # A line break within a header would start another header at the receiver.
    return "\r" not in text and "\n" not in text
