"""Client of a plain service."""

import urllib3

from pimentoledge import http_faults
from pimentoledge import http_pools
from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import events

KEY_HEADER = "Idempotency-Key"
CONNECT_SECONDS = 2.0
POOL_SIZE = 64
# Headers that belong to one connection, and those that are set anew here.
OWN_HEADERS = frozenset(
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
    """Passes calls on over HTTP; may be used from any thread; no retries.

    Attributes:
        url: base URL of the service.
    """

    def __init__(self, *, url: str):
        self.url = url
        self.pool = None

    def start(self) -> None:
        """Opens the connection pool."""
        self.pool = http_pools.Pool(size=POOL_SIZE)

    def close(self) -> None:
        """Closes the connections, also those that a thread waits on."""
        if self.pool is not None:
            self.pool.cut()

    def run(
        self, run: actions.RunCall
    ) -> events.ServiceDone | events.EngineBroken:
        """Passes a call on and waits for its answer.

        Any answer of the service counts as done, whatever its status. Without
        one, "not_run" means that no connection came about; after that the
        service may have run the call, so the outcome is unknown.
        """
        call = run.call
        query = "?" + call.query if call.query else ""
        timeout = urllib3.Timeout(
            connect=min(CONNECT_SECONDS, run.seconds), read=run.seconds
        )
        try:
            answer = self.pool.request(
                call.method,
                f"{self.url}/{call.path.lstrip('/')}{query}",
                body=call.body or None,
                headers=_headers(run),
                timeout=timeout,
                redirect=False,
                decode_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            not_run = http_faults.never_sent(error)
            ran = results.Ran.NOT_RUN if not_run else results.Ran.UNKNOWN
            return events.EngineBroken(
                request=run.request,
                attempt=run.attempt,
                ran=str(ran),
                text=str(error),
            )
        return events.ServiceDone(
            request=run.request,
            attempt=run.attempt,
            status=answer.status,
            headers=_passed(list(answer.headers.iteritems())),
            body=answer.data,
        )


def _passed(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return [each for each in headers if each[0].lower() not in OWN_HEADERS]


def _headers(run: actions.RunCall) -> urllib3.HTTPHeaderDict:
    headers = urllib3.HTTPHeaderDict(_passed(run.call.headers))
    if run.key:
        headers.add(KEY_HEADER, run.key)
    if run.trace:
        headers.add("traceparent", run.trace)
    return headers
