"""A plain service that counts how often each call ran, with its faults."""

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
    """A call as the service got it.

    Attributes:
        method: HTTP method.
        path: path with its leading slash.
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
    """The service's answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def body_digest(body: bytes) -> str:
    """Returns the digest under which the runs of a body are counted."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


class FakeService:
    """Runs each call that it gets, without looking at keys, and counts.

    Attributes:
        runs_by_key: runs by idempotency key.
        runs_by_body: runs by digest of the body.
        calls: the calls that ran, in order.
        latency: seconds that a call runs.
        status: HTTP status of the answers.
        down: whether it takes no call.
        crash_on: a body with this marker crashes it after it ran, and it
            stays down; empty for none.
        lose_answers: number of next calls that run and whose answer is lost.
        lose_requests: number of next calls that get lost before they run.
        crashes: crashes.
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
        """Runs a call; None when it gives no answer."""
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

    While the service is down it cuts each connection, which leaves it open
    whether the call ran; `close` closes the port, so that it certainly didn't.

    Attributes:
        service: the fake.
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
        """Listens."""
        self.server.start()

    def close(self) -> None:
        """Stops listening; `start` opens the same port again."""
        self.server.close()

    def handle(self, request: cheroot.server.HTTPRequest) -> None:
        """Answers one request, or cuts its connection."""
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
