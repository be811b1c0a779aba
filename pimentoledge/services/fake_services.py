"""A fake plain service that counts runs and can inject faults."""

import collections
import hashlib
import threading
import time

import attrs
import cheroot.server

from pimentoledge import fake_http

KEY_HEADER = "Idempotency-Key"
THREADS = 32


@attrs.define(kw_only=True)
class ReceivedCall:
    """A call received by the service.

    Attributes:
        method: HTTP method.
        path: path with the leading slash.
        query: query string.
        headers: by lower-case name.
        body: the body.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


@attrs.define(kw_only=True)
class FakeResponse:
    """A response of the service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def body_digest(body: bytes) -> str:
    """Returns the digest by which the runs of a body are counted."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


class FakeService:
    """Runs every call regardless of its idempotency key and counts runs.

    Attributes:
        runs_by_key: runs by idempotency key.
        runs_by_body: runs by digest of the body.
        calls: the calls that ran, in order.
        latency: duration of a call in seconds.
        status: HTTP status of the responses.
        down: whether the service is down and runs no calls.
        crash_on: a call whose body contains this marker runs and then crashes
            the service, which stays down; empty for none.
        lose_answers: number of upcoming calls that run but get no response.
        lose_requests: number of upcoming calls that are lost before they run.
        crashes: number of crashes.
        lock: guards the counters and the injected faults.
    """

    def __init__(self):
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.runs_by_body: collections.Counter[str] = collections.Counter()
        self.calls: list[ReceivedCall] = []
        self.latency = 0.0
        self.status = 200
        self.down = False
        self.crash_on = b""
        self.lose_answers = 0
        self.lose_requests = 0
        self.crashes = 0
        self.lock = threading.Lock()

    def call(self, call: ReceivedCall) -> FakeResponse | None:
        """Runs a call; returns None if there is no response."""
        with self.lock:
            if self.down:
                return None
            if self.lose_requests > 0:
                self.lose_requests -= 1
                return None
            self._record(call)
            if self.crash_on and self.crash_on in call.body:
                self.crashes += 1
                self.down = True
                return None
            if self.lose_answers > 0:
                self.lose_answers -= 1
                return None
            run_number = len(self.calls)
        return FakeResponse(
            status=self.status,
            headers=[
                ("Content-Type", "text/plain"),
                ("X-Run", str(run_number)),
            ],
            body=b"run %d of %s" % (run_number, call.body),
        )

    def _record(self, call: ReceivedCall) -> None:
        key = call.headers.get(KEY_HEADER.lower(), "")
        if key:
            self.runs_by_key[key] += 1
        self.runs_by_body[body_digest(call.body)] += 1
        self.calls.append(call)


class ServiceServer:
    """Serves a fake plain service.

    While the service is down, the server closes each connection without a
    response, which leaves unknown whether the call ran. After `close` the port
    is closed, so that calls certainly don't run.

    Attributes:
        service: the fake service.
    """

    def __init__(
        self,
        *,
        service: FakeService,
        host: str = "127.0.0.1",
        port: int = 0,
        threads: int = THREADS,
    ):
        self.service = service
        self.server = fake_http.HttpServer(
            handle=self.handle, host=host, port=port, threads=threads
        )

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return self.server.url

    def start(self) -> None:
        """Starts listening."""
        self.server.start()

    def close(self) -> None:
        """Stops listening; `start` opens the same port again."""
        self.server.close()

    def handle(self, request: cheroot.server.HTTPRequest) -> None:
        """Responds to one request or closes its connection."""
        call = _parse_call(request)
        if self.service.latency > 0:
            time.sleep(self.service.latency)
        response = self.service.call(call)
        if response is None:
            fake_http.cut_connection(request)
            return
        headers = [(n.encode(), v.encode()) for n, v in response.headers]
        fake_http.send_response(
            request, response.body, status=response.status, headers=headers
        )


def _parse_call(request: cheroot.server.HTTPRequest) -> ReceivedCall:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.inheaders.items()
    }
    return ReceivedCall(
        method=request.method.decode("ascii"),
        path=fake_http.path_of(request),
        query=request.qs.decode("ascii"),
        headers=headers,
        body=fake_http.read_body(request),
    )
