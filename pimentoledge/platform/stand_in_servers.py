"""Stand-ins of backend servers, with injected faults."""

from collections.abc import Callable
import threading
import time

import attrs
import cheroot.server
import msgspec

from pimentoledge import fake_http
from pimentoledge.platform import names
from pimentoledge.platform import second_responses

THREADS = 32
SIGNATURE = b"stand.in"
# An endless header, in blocks: 16 MB are far above any bound of a router.
FLOOD_BLOCK = b"x" * 65536
FLOOD_BLOCKS = 256
# Interval at which a queued request's connection is checked.
QUEUE_POLL_SECONDS = 0.02
POLL_SECONDS = 0.001


@attrs.define(kw_only=True)
class ReceivedRequest:
    """A request as the server received it.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: values by lower-case name.
        body: body of the request.
        ran: whether the server executed it.
        received_at: when it was received, in seconds of time.monotonic.
        started_at: when execution started, on the same clock; 0 if not run.
        weights: version of the weights that it started on, or None.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ran: bool = False
    received_at: float = attrs.field(factory=time.monotonic)
    started_at: float = 0.0
    weights: int | None = None


class StandInServer:
    """A backend server.

    Attributes:
        incarnation: id of the server.
        service: service to which it belongs.
        data_centre: data centre in which it runs.
        weights: version of each of its models.
        calls: received requests, in order.
        arrival_times: when requests, orders and reports arrived, in seconds
            of time.monotonic.
        orders: received orders, in order.
        orders_taken: number of orders that it has taken.
        heartbeats: number of entries that it has written.
        events: number of events of a stream.
        event_seconds: delay after each event.
        body_to_head: whether responses to HEAD wrongly have a body.
        queue_seconds: how long a request is queued.
        work_seconds: execution time of a request.
        refuse: number of next requests that it refuses to run.
        fail: number of next requests that it answers with status 500.
        cut_after: number of events after which it cuts the next stream, or
            None.
        lose: number of next requests that it runs without responding.
        misnumber: number of next responses with another request's id.
        load_seconds: how long loading weights takes.
        refuse_orders: number of next orders that it refuses with status 503.
        silent_orders: number of next orders that it drops without responding.
        active_requests: number of running requests.
        leaving: whether all its responses announce that it is leaving.
        reports_leaving: whether its reports, but no other responses, state
            that it is draining.
        retry_after: backoff requested by its refusals, in seconds, or "".
        limit: limit in requests a second that its responses state, or "".
        on_loaded: called after weights were loaded.
        crashes_on: body of requests that crash it, or b"".
        crashes_on_part: name of a prompt part that crashes it, or "".
        crashes_after_head: whether it sends a response's head before it
            crashes.
        unframed: whether its responses have no length or chunks and end with
            their connections.
        second_response: returns how a request is answered again, or None if it
            isn't.
        marks_not_run: whether its successful responses state that the request
            did not run.
        empty: whether its responses have no body, if they are no streams.
        crashes: requests that have crashed it, in order.
        software: version of its software.
        slowdown: how long work takes on its VM, in percent of the usual time,
            as its responses report; 0 if they don't.
        floods: number of next requests that it answers with a header that
            doesn't end, until the caller closes.
        flooded_until_closed: how often the caller has closed in such a header.
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
        self.orders_taken = 0
        self.heartbeats = 0
        self.events = 5
        self.event_seconds = 0.0
        self.body_to_head = False
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
        self.crashes_on = b""
        self.software = "v1"
        self.crashes_on_part = ""
        self.slowdown = 0
        self.floods = 0
        self.flooded_until_closed = 0
        self.crashes_after_head = False
        self.unframed = False
        self.second_response: Callable[
            [cheroot.server.HTTPRequest],
            second_responses.SecondResponse | None,
        ] = lambda request: None
        self.marks_not_run = False
        self.empty = False
        self.crashes: list[ReceivedRequest] = []
        self._crash_thread: threading.Thread | None = None
        self._lock = threading.Lock()
        self._server = fake_http.HttpServer(
            handle=self.handle, host="127.0.0.1", port=0, threads=THREADS
        )

    @property
    def address(self) -> str:
        """IP:PORT of the server."""
        return f"127.0.0.1:{self._server.port}"

    def start(self) -> None:
        """Starts listening."""
        self._server.start()

    def close(self) -> None:
        """Stops listening."""
        if self._crash_thread is not None:
            self._crash_thread.join()
            self._crash_thread = None
        self._server.close()

    def entry(self, *, leaving: bool = False) -> dict:
        """Returns its own entry in the store, as of the next heartbeat."""
        self.heartbeats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": self.software,
            "slots": 8,
            "state": "draining" if leaving else "ready",
            "coldRemainingMs": 0,
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.weights.items()
            ],
            "seq": self.heartbeats,
        }

    def handle(self, request: cheroot.server.HTTPRequest) -> None:
        """Handles one request."""
        headers = {
            name.decode().lower(): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }
        self.arrival_times.append(time.monotonic())
        body = fake_http.read_body(request)
        second_responses.finish_pending(request)
        second = self.second_response(request)
        if second is None:
            self._dispatch(request, headers, body)
            return
        second_responses.answer_twice(
            request,
            second,
            answer=lambda: self._dispatch(request, headers, body),
            encode=lambda status: self._encode_response(headers, body, status),
        )

    def _dispatch(self, request, headers: dict[str, str], body: bytes) -> None:
        """Answers one request."""
        path = fake_http.path_of(request)
        expected_incarnation = headers.get(names.EXPECTED_INCARNATION.decode())
        if expected_incarnation not in (None, self.incarnation):
            self._send_not_run(request, headers, 421)
        elif path == names.ORDER_PATH:
            self._handle_order(request, msgspec.json.decode(body))
        elif path == names.REPORT_PATH:
            self._handle_report(request)
        else:
            call = ReceivedRequest(
                method=request.method.decode(),
                target=request.uri.decode(),
                headers=headers,
                body=body,
            )
            self.calls.append(call)
            self._handle_call(request, call)

    def _encode_response(
        self, headers: dict[str, str], body: bytes, status: int
    ) -> bytes:
        """Returns a whole response with a status.

        Args:
            headers: headers of the request.
            body: body of the request.
            status: HTTP status.
        """
        content = b"answer of " + body if status == 200 else b"failed"
        head = self._response_headers(headers)
        if status == 503:
            head.append((names.NOT_RUN, b"1"))
        return fake_http.encode_response(status, head, content)

    def _consume_fault(self, fault: str) -> bool:
        """Returns whether a fault is pending, and decrements its counter."""
        with self._lock:
            remaining = getattr(self, fault)
            if remaining <= 0:
                return False
            setattr(self, fault, remaining - 1)
            return True

    def _handle_call(self, request, call: ReceivedRequest) -> None:
        expected = call.headers.get(names.EXPECTED_WEIGHT_VERSION.decode())
        model = call.headers.get(names.MODEL.decode(), "")
        if expected is not None and int(expected) != self.weights.get(model):
            self._send_not_run(request, call.headers, 421)
            return
        if self._consume_fault("refuse"):
            self._send_not_run(request, call.headers, 503)
            return
        if not self._wait_in_queue(request):
            fake_http.cut_connection(request)
            return
        call.ran = True
        call.started_at = time.monotonic()
        call.weights = self.weights.get(model)
        self.active_requests += 1
        try:
            self._run_request(request, call)
        finally:
            self.active_requests -= 1

    def _wait_in_queue(self, request) -> bool:
        """Queues a request; returns whether its caller is still connected."""
        deadline = time.monotonic() + self.queue_seconds
        while time.monotonic() < deadline:
            if fake_http.is_disconnected(request.conn.socket):
                return False
            time.sleep(QUEUE_POLL_SECONDS)
        return True

    def _crash(self, request, call: ReceivedRequest) -> None:
        """Ends the server while it runs a request."""
        if self.crashes_after_head:
            self._begin_stream(request, self._response_headers(call.headers))
        with self._lock:
            self.crashes.append(call)
            if self._crash_thread is None:
                self._crash_thread = threading.Thread(target=self.end)
                self._crash_thread.start()
        while self._server.is_listening():
            time.sleep(POLL_SECONDS)
        fake_http.cut_connection(request)

    def end(self) -> None:
        """Closes all sockets, as the end of the process does."""
        self._server.close()

    def _is_crashed_by(self, call: ReceivedRequest) -> bool:
        if self.crashes_on and call.body == self.crashes_on:
            return True
        parts = call.headers.get(names.PROMPT_PREFIX.decode(), "").split(",")
        shared = [each.partition(":")[0] for each in parts[:-1]]
        return self.crashes_on_part in shared

    def _run_request(self, request, call: ReceivedRequest) -> None:
        if self._is_crashed_by(call):
            self._crash(request, call)
            return
        if self._consume_fault("lose"):
            fake_http.cut_connection(request)
            return
        if self._consume_fault("floods"):
            self._flood(request)
            return
        if self.work_seconds:
            time.sleep(self.work_seconds)
        head = self._response_headers(call.headers)
        if self._consume_fault("misnumber"):
            head[0] = (names.REQUEST_ID, b"another-one")
        if self._consume_fault("fail"):
            fake_http.send_response(
                request, b"failed", status=500, headers=head
            )
            return
        if is_model_request(call):
            self._send_stream(request, call, head)
            return
        if self.marks_not_run:
            head.append((names.NOT_RUN, b"1"))
        body = b"" if self.empty else b"answer of " + call.body
        if self.unframed:
            fake_http.end_with_connection(request, head)
            fake_http.begin_response(request, 200, head)
            request.conn.wfile.write(body)
            return
        if self.body_to_head:
            request.method = b"GET"
        fake_http.send_response(request, body, headers=head)

    def _flood(self, request) -> None:
        """Sends a header without an end until the caller closes."""
        try:
            request.conn.wfile.write(b"HTTP/1.1 200 OK\r\nFiller: ")
            for _ in range(FLOOD_BLOCKS):
                request.conn.wfile.write(FLOOD_BLOCK)
        except OSError:
            self.flooded_until_closed += 1
        fake_http.cut_connection(request)

    def _load_header(self) -> bytes:
        load = b"%d,0,8" % self.active_requests
        return load + b",%d" % self.slowdown if self.slowdown else load

    def _response_headers(
        self, headers: dict[str, str]
    ) -> list[tuple[bytes, bytes]]:
        request_id = headers.get(names.REQUEST_ID.decode(), "").encode()
        return [
            (names.REQUEST_ID, request_id),
            (names.SIGNATURE, SIGNATURE),
            (names.SERVER_LOAD, self._load_header()),
            *self._notice_headers(),
        ]

    def _notice_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers that every response of the server has."""
        headers = [(names.SERVER_LEAVING, b"1")] if self.leaving else []
        if self.limit:
            headers.append((names.SERVER_LIMIT, self.limit.encode()))
        return headers

    def _send_stream(self, request, call: ReceivedRequest, head: list) -> None:
        first = int(call.headers.get(names.LAST_EVENT_ID.decode(), 0)) + 1
        self._begin_stream(request, head)
        cut_after, self.cut_after = self.cut_after, None
        for number in range(first, self.events + 1):
            if cut_after is not None and number > cut_after:
                request.conn.wfile.write(b"6\r\nid: 9\n\r\n")
                fake_http.cut_connection(request)
                return
            self._write_chunk(request, self._encode_event(call, number))
            if self.event_seconds:
                time.sleep(self.event_seconds)
        self._write_chunk(request, b"")
        request.chunked_write = False

    def _begin_stream(self, request, head: list) -> None:
        head = [*head, (b"Content-Type", b"text/event-stream")]
        if self.unframed:
            fake_http.end_with_connection(request, head)
        fake_http.begin_response(request, 200, head)

    def _write_chunk(self, request, data: bytes) -> None:
        if not self.unframed:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        request.conn.wfile.write(data)

    def _encode_event(self, call: ReceivedRequest, number: int) -> bytes:
        """Returns an event of a stream."""
        return b"id: %d\ndata: piece %d\n\n" % (number, number)

    def _send_not_run(
        self, request, headers: dict[str, str], status: int
    ) -> None:
        head = self._response_headers(headers)
        head.append((names.NOT_RUN, b"1"))
        if status == 503 and self.retry_after:
            head.append((names.RETRY_AFTER, self.retry_after.encode()))
        fake_http.send_response(request, b"", status=status, headers=head)

    def _handle_order(self, request, body: dict) -> None:
        self.orders.append(body)
        if self._consume_fault("silent_orders"):
            fake_http.cut_connection(request)
            return
        if self._consume_fault("refuse_orders"):
            self._send_not_run(request, {}, 503)
            return
        with self._lock:
            if body.get("precondition", self.orders_taken) != self.orders_taken:
                self._send_control(request, b"{}", 409)
                return
            self.orders_taken += 1
        self._send_control(request, b"{}", 202)
        timer = threading.Timer(self.load_seconds, self._finish_load, [body])
        timer.start()

    def _finish_load(self, body: dict) -> None:
        self.weights[body["model"]] = body["version"]
        self.on_loaded()

    def _handle_report(self, request) -> None:
        body = {
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.weights.items()
            ],
            "busy": False,
            "seq": self.orders_taken,
            "state": "draining" if self.reports_leaving else "ready",
        }
        self._send_control(request, msgspec.json.encode(body), 200)

    def _send_control(self, request, body: bytes, status: int) -> None:
        """Sends the response to a report or an order."""
        headers = self._notice_headers()
        fake_http.send_response(request, body, status=status, headers=headers)


def is_model_request(call: ReceivedRequest) -> bool:
    """Returns whether a request names a model; its response is a stream."""
    return names.MODEL.decode() in call.headers
