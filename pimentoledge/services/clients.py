"""Client of a plain service."""

import time

import urllib3

from pimentoledge import http_faults
from pimentoledge import http_pools
from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import events

KEY_HEADER = "Idempotency-Key"
CONNECT_TIMEOUT_SECONDS = 2.0
POOL_SIZE = 64
READ_CHUNK_BYTES = 65536
# Headers that apply to a single connection, and those that are set here.
NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "traceparent",
        "upgrade",
    }
)


class ServiceClient:
    """Forwards calls over HTTP without retries; thread-safe.

    Attributes:
        url: base URL of the service.
    """

    def __init__(self, *, url: str):
        self.url = url
        self.pool = None

    def start(self) -> None:
        """Opens the connection pool."""
        self.pool = http_pools.HttpPool(size=POOL_SIZE, reuses=False)

    def close(self) -> None:
        """Closes all connections, including those in use by other threads."""
        if self.pool is not None:
            self.pool.cut()

    def run(
        self, action: actions.RunCall
    ) -> events.ServiceDone | events.EngineBroken:
        """Forwards a call and waits for its response.

        Any response of the service counts as done, whatever its status.
        Without a response, "not_run" means that no connection was
        established; otherwise the service may have run the call, so the
        outcome is unknown.
        """
        deadline = time.monotonic() + action.seconds
        try:
            response = self._send(action)
        except urllib3.exceptions.HTTPError as error:
            not_run = http_faults.never_sent(error)
            ran = results.Ran.NOT_RUN if not_run else results.Ran.UNKNOWN
            return _failure(action, ran, str(error))
        except ValueError as error:
            # The HTTP library rejects headers that it can't encode, such as
            # those with a line break or a character outside Latin-1. It
            # checks all headers before it sends anything.
            return _failure(action, results.Ran.NOT_RUN, str(error))
        try:
            body = _read_body(response, deadline)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            response.close()
            return _failure(action, results.Ran.UNKNOWN, str(error))
        return events.ServiceDone(
            request=action.request,
            attempt=action.attempt,
            status=response.status,
            headers=_forwarded_headers(list(response.headers.iteritems())),
            body=body,
        )

    def _send(self, action: actions.RunCall) -> urllib3.BaseHTTPResponse:
        call = action.call
        query = "?" + call.query if call.query else ""
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_SECONDS, action.seconds),
            read=action.seconds,
        )
        return self.pool.request(
            call.method,
            f"{self.url}/{call.path.lstrip('/')}{query}",
            body=call.body or None,
            headers=_request_headers(action),
            timeout=timeout,
            redirect=False,
            preload_content=False,
        )


def _read_body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Returns the complete body without decoding it.

    The timeout of the HTTP library limits each read, and a service that sends
    a byte now and then never exceeds it, so the deadline is also checked here.

    Raises:
        TimeoutError: the body was not complete by the deadline.
    """
    pieces = []
    while piece := response.read1(READ_CHUNK_BYTES, decode_content=False):
        pieces.append(piece)
        if time.monotonic() > deadline:
            raise TimeoutError("the answer was not complete in time")
    return b"".join(pieces)


def _failure(
    action: actions.RunCall, ran: results.Ran, text: str
) -> events.EngineBroken:
    return events.EngineBroken(
        request=action.request, attempt=action.attempt, ran=str(ran), text=text
    )


def _forwarded_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return [
        each for each in headers if each[0].lower() not in NOT_FORWARDED_HEADERS
    ]


def _request_headers(action: actions.RunCall) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict(_forwarded_headers(action.call.headers))
    if action.key:
        headers.add(KEY_HEADER, action.key)
    if action.trace:
        headers.add("traceparent", action.trace)
    return headers
