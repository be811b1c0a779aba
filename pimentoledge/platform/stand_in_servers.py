"""Backend servers of the platform as stand-ins, with their faults."""

import threading
import time

import attrs
import cheroot.server
import msgspec

from pimentoledge import fake_http
from pimentoledge.platform import names

THREADS = 32
SIGNATURE = b"stand.in"
# Between two looks at whether a caller that waits is still there.
QUEUE_STEP_SECONDS = 0.02


@attrs.define(kw_only=True)
class ReceivedRequest:
    """A request as the server got it.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: by lower-case name.
        body: its bytes.
        ran: whether the server worked on it.
        at: when it came, in seconds of time.monotonic.
        began: when the server began to work on it, the same; 0 if it didn't.
        weights: version of the model's weights that it began on, or None.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool = False
    at: float = attrs.field(factory=time.monotonic)
    began: float = 0.0
    weights: int | None = None


class StandInServer:
    """One backend server.

    Attributes:
        incarnation: id of its life.
        service: service that it serves.
        data_centre: where it stands.
        weights: version of each of its models.
        calls: requests that it got, in order.
        arrival_times: when anything reached it, orders and reports too, in
            seconds of time.monotonic.
        orders: orders that it got, in order.
        taken: orders that it has taken.
        events: events of a stream.
        event_seconds: pause between them.
        queue_seconds: how long a request waits before it begins.
        work_seconds: how long a plain call takes.
        refuse: number of next requests that it doesn't run.
        fail: number of next requests that it fails with a 500.
        cut_after: events after which the next stream is cut, or None.
        lose: number of next requests that it runs without an answer.
        misnumber: number of next answers that bear another request's id.
        load_seconds: how long weights take to load.
        refuse_orders: number of next orders that it turns away with a 503.
        silent_orders: number of next orders that it takes without an answer.
        active_requests: requests that it works on now.
        leaving: whether all its answers say that it leaves.
        reports_leaving: whether its reports alone say so.
        retry_after: for how long its refusals ask for no request, or "".
        limit: requests a second that all its answers name as a limit, or "".
    """

    def __init__(
        self,
        *,
        incarnation: str,
        service: str,
        data_centre: str = "a",
        weights: dict[str, int] | None = None,
    ):
        self.incarnation = incarnation
        self.service = service
        self.data_centre = data_centre
        self.weights = dict(weights or {})
        self.calls: list[ReceivedRequest] = []
        self.arrival_times: list[float] = []
        self.orders: list[dict] = []
        self.taken = 0
        self.events = 5
        self.event_seconds = 0.0
        self.queue_seconds = 0.0
        self.work_seconds = 0.0
        self.refuse = 0
        self.fail = 0
        self.cut_after: int | None = None
        self.lose = 0
        self.misnumber = 0
        self.load_seconds = 0.05
        self.refuse_orders = 0
        self.silent_orders = 0
        self.active_requests = 0
        self.leaving = False
        self.reports_leaving = False
        self.retry_after = ""
        self.limit = ""
        self.on_loaded = lambda: None
        self._lock = threading.Lock()
        self._server = fake_http.HttpServer(
            handle=self.handle, host="127.0.0.1", port=0, threads=THREADS
        )

    @property
    def address(self) -> str:
        """IP:PORT of the server."""
        return f"127.0.0.1:{self._server.port}"

    def start(self) -> None:
        """Listens."""
        self._server.start()

    def close(self) -> None:
        """Stops."""
        self._server.close()

    def entry(self, *, leaving: bool = False) -> dict:
        """Returns what it writes of itself into the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 8,
            "state": "draining" if leaving else "ready",
            "coldRemainingMs": 0,
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.weights.items()
            ],
            "seq": 1,
        }

    def handle(self, request: cheroot.server.HTTPRequest) -> None:
        """Answers one request."""
        headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }
        self.arrival_times.append(time.monotonic())
        path = fake_http.path_of(request)
        body = fake_http.read_body(request)
        expected = headers.get(names.INCARNATION_ONLY.decode())
        if expected not in (None, self.incarnation):
            self._not_run(request, headers, 421)
        elif path == names.ORDER_PATH:
            self._order(request, msgspec.json.decode(body))
        elif path == names.REPORT_PATH:
            self._report(request)
        else:
            call = ReceivedRequest(
                method=request.method.decode(),
                target=request.uri.decode(),
                headers=headers,
                body=body,
            )
            self.calls.append(call)
            self._serve(request, call)

    def _next(self, name: str) -> bool:
        """Returns whether one of the next faults of a kind is due."""
        with self._lock:
            left = getattr(self, name)
            if left <= 0:
                return False
            setattr(self, name, left - 1)
            return True

    def _serve(self, request, call: ReceivedRequest) -> None:
        wanted = call.headers.get(names.WEIGHTS_ONLY.decode())
        model = call.headers.get(names.MODEL.decode(), "")
        if wanted is not None and int(wanted) != self.weights.get(model):
            self._not_run(request, call.headers, 421)
            return
        if self._next("refuse"):
            self._not_run(request, call.headers, 503)
            return
        if not self._queue(request):
            fake_http.cut_connection(request)
            return
        call.ran = True
        call.began = time.monotonic()
        call.weights = self.weights.get(model)
        self.active_requests += 1
        try:
            self._run(request, call)
        finally:
            self.active_requests -= 1

    def _queue(self, request) -> bool:
        """Waits for a turn; returns whether the caller is still there."""
        until = time.monotonic() + self.queue_seconds
        while time.monotonic() < until:
            if fake_http.is_disconnected(request.conn.socket):
                return False
            time.sleep(QUEUE_STEP_SECONDS)
        return True

    def _run(self, request, call: ReceivedRequest) -> None:
        if self._next("lose"):
            fake_http.cut_connection(request)
            return
        if self.work_seconds:
            time.sleep(self.work_seconds)
        head = self._head(call.headers)
        if self._next("misnumber"):
            head[0] = (names.REQUEST_ID, b"another-one")
        if self._next("fail"):
            fake_http.send_response(
                request, b"failed", status=500, headers=head
            )
            return
        if model_named(call):
            self._stream(request, call, head)
            return
        fake_http.send_response(
            request, b"answer of " + call.body, headers=head
        )

    def _head(self, headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
        identity = headers.get(names.REQUEST_ID.decode(), "").encode()
        return [
            (names.REQUEST_ID, identity),
            (names.SIGNATURE, SIGNATURE),
            (names.SERVER_LOAD, b"%d,0,8" % self.active_requests),
            *self._notice(),
        ]

    def _notice(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers of all its answers, whatever was asked."""
        found = [(names.SERVER_LEAVING, b"1")] if self.leaving else []
        if self.limit:
            found.append((names.SERVER_LIMIT, self.limit.encode()))
        return found

    def _stream(self, request, call: ReceivedRequest, head: list) -> None:
        first = int(call.headers.get(names.LAST_EVENT_ID.decode(), 0)) + 1
        fake_http.begin_response(
            request,
            200,
            [*head, (b"Content-Type", b"text/event-stream")],
        )
        cut_after, self.cut_after = self.cut_after, None
        for number in range(first, self.events + 1):
            if cut_after is not None and number > cut_after:
                request.conn.wfile.write(b"6\r\nid: 9\n\r\n")
                fake_http.cut_connection(request)
                return
            piece = self._piece(call, number)
            request.conn.wfile.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            if self.event_seconds:
                time.sleep(self.event_seconds)
        request.conn.wfile.write(b"0\r\n\r\n")
        request.chunked_write = False

    def _piece(self, call: ReceivedRequest, number: int) -> bytes:
        """Returns an event of a stream."""
        return b"id: %d\ndata: piece %d\n\n" % (number, number)

    def _not_run(self, request, headers: dict[str, str], status: int) -> None:
        head = self._head(headers)
        head.append((names.NOT_RUN, b"1"))
        if status == 503 and self.retry_after:
            head.append((names.RETRY_AFTER, self.retry_after.encode()))
        fake_http.send_response(request, b"", status=status, headers=head)

    def _order(self, request, body: dict) -> None:
        self.orders.append(body)
        if self._next("silent_orders"):
            fake_http.cut_connection(request)
            return
        if self._next("refuse_orders"):
            self._not_run(request, {}, 503)
            return
        with self._lock:
            if body.get("precondition", self.taken) != self.taken:
                fake_http.send_response(
                    request, b"{}", status=409, headers=self._notice()
                )
                return
            self.taken += 1
        fake_http.send_response(
            request, b"{}", status=202, headers=self._notice()
        )
        timer = threading.Timer(self.load_seconds, self._loaded, [body])
        timer.start()

    def _loaded(self, body: dict) -> None:
        self.weights[body["model"]] = body["version"]
        self.on_loaded()

    def _report(self, request) -> None:
        body = {
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.weights.items()
            ],
            "busy": False,
            "seq": self.taken,
            "state": "draining" if self.reports_leaving else "ready",
        }
        fake_http.send_response(
            request, msgspec.json.encode(body), headers=self._notice()
        )


def model_named(call: ReceivedRequest) -> bool:
    """Returns whether a request is for a model, whose answers are streams."""
    return names.MODEL.decode() in call.headers
