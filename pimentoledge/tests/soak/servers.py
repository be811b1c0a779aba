"""Stand-ins for backend servers that record the requests they receive."""

import itertools
import random
import threading
import time

import attrs

from pimentoledge import fake_http
from pimentoledge.platform import names
from pimentoledge.platform import second_responses
from pimentoledge.platform import stand_in_servers
from pimentoledge.tests.soak import links
from pimentoledge.tests.soak import records

# Response header with the incarnation of the server.
INCARNATION_HEADER = b"Soak-Server"
# Response header with the number of the arrival that it answers.
ARRIVAL_HEADER = b"Soak-Arrival"
# Request header with the request's name in the record, if that isn't its id.
IDENTITY_HEADER = b"Soak-Request"
# Begin of the bodies of requests that crash each server that runs them.
CRASHING_PREFIX = b"crashes "
# Begin of the names of prompt parts that do the same.
CRASHING_PART = "crashing-part-"
# Longest time from a response to a second one, and largest piece of it.
MAX_SECOND_DELAY_SECONDS = 0.1
MAX_PIECE_BYTES = 2000
# Longest begin of a second response that is cut; heads are longer.
MAX_CUT_BYTES = 150
# Statuses of second responses by those of the first ones.
SECOND_STATUSES = (
    {},
    {200: 500, 202: 500, 500: 200},
    {200: 503, 202: 503, 500: 503},
)
_arrival_numbers = itertools.count(1)


@attrs.frozen(kw_only=True)
class Repetition:
    """How a server answers requests more than once.

    Attributes:
        chooser: random generator of what happens to each request.
        repeated: share of requests that it answers again.
        failed: share of clients' requests that it answers with status 500.
        answers_routers: whether it also answers orders and requests for its
            report again.
    """

    chooser: random.Random
    repeated: float
    failed: float
    answers_routers: bool

    def draw(self) -> second_responses.SecondResponse | None:
        """Returns how the next request is answered again, or None."""
        if self.chooser.random() >= self.repeated:
            return None
        delay = self.chooser.uniform(0, MAX_SECOND_DELAY_SECONDS)
        size = self.chooser.randint(1, MAX_PIECE_BYTES)
        return second_responses.SecondResponse(
            statuses=self.chooser.choice(SECOND_STATUSES),
            delay_seconds=self.chooser.choice((0.0, delay, None)),
            piece_bytes=self.chooser.choice((0, size % 100 + 1, size)),
            max_bytes=self.chooser.choice(
                (None, self.chooser.randint(1, MAX_CUT_BYTES))
            ),
        )


class Server(stand_in_servers.StandInServer):
    """A stand-in that records arrivals and can crash.

    Attributes:
        record: the record of the run, to which it adds arrivals.
        draining: whether its registration in the store says that it leaves.
        running: whether its simulated process runs.
        link: the proxy through which routers reach it, or None.
        on_crashed: called from a thread when a request has crashed it.
        repetition: how it answers requests more than once, or None.
    """

    def __init__(self, *, record: records.SoakRecord, **options):
        super().__init__(**options)
        self.record = record
        self.link: links.Link | None = None
        self.draining = False
        self.running = False
        self.on_crashed = lambda: None
        self.repetition: Repetition | None = None
        self.second_response = self._draw_second_response
        self._handled = threading.local()
        self._in_progress: dict[object, records.Arrival] = {}
        self._in_progress_lock = threading.Lock()

    def start(self) -> None:
        """Starts to listen."""
        self.running = True
        super().start()

    def end(self) -> None:
        """Ends the process, as a request has crashed it."""
        self.crash()
        self.on_crashed()

    def crash(self) -> None:
        """Cuts all connections and stops listening."""
        self.running = False
        self.record.gone.setdefault(self.incarnation, []).append(
            time.monotonic()
        )
        for request in self.mark_harmed():
            fake_http.cut_socket(request.conn.socket)
        self._server.close()

    def mark_harmed(self) -> list:
        """Marks all requests in progress as harmed and returns them."""
        with self._in_progress_lock:
            in_progress = list(self._in_progress.items())
        for _, arrival in in_progress:
            arrival.harmed = True
        return [request for request, _ in in_progress]

    def set_limit(self, per_second: float | None) -> None:
        """Announces a limit in all answers from now on, or none if None."""
        self.limit = "" if per_second is None else str(per_second)
        self.record.limits.setdefault(self.incarnation, []).append(
            (time.monotonic(), per_second)
        )

    def entry(self, *, leaving: bool = False) -> dict:
        """Returns its registration for the store."""
        entry = super().entry(leaving=leaving or self.draining)
        if self.link is not None:
            entry["address"] = self.link.address
        return entry

    def handle(self, request) -> None:
        """Answers one request and records its arrival."""
        path = fake_http.path_of(request)
        if path in (names.ORDER_PATH, names.REPORT_PATH):
            self.record.own_calls.setdefault(self.incarnation, []).append(
                time.monotonic()
            )
            self._handled.arrival = None
            super().handle(request)
            return
        headers = {
            name.lower(): value for name, value in request.inheaders.items()
        }
        arrival = records.Arrival(
            request=headers.get(
                IDENTITY_HEADER.lower(), headers.get(names.REQUEST_ID, b"")
            ).decode(),
            number=next(_arrival_numbers),
            server=self.incarnation,
            service=self.service,
            at=time.monotonic(),
            resumed=names.LAST_EVENT_ID in headers,
            software=self.software,
        )
        self._handled.arrival = arrival
        with self._in_progress_lock:
            self._in_progress[request] = arrival
        self.record.arrivals.append(arrival)
        try:
            if self.running:
                super().handle(request)
            else:
                arrival.harmed = True
                fake_http.cut_connection(request)
        finally:
            arrival.harmed |= request.close_connection
            if request.status:
                arrival.status = int(request.status[:3])
            with self._in_progress_lock:
                del self._in_progress[request]

    def _draw_second_response(self, request):
        """Returns how a request is answered again, or None if it isn't."""
        repetition = self.repetition
        if repetition is None:
            return None
        if request not in self._in_progress and not repetition.answers_routers:
            return None
        return repetition.draw()

    def _consume_fault(self, fault: str) -> bool:
        repetition = self.repetition
        if fault == "fail" and repetition is not None:
            return repetition.chooser.random() < repetition.failed
        return super()._consume_fault(fault)

    def _handle_order(self, request, body: dict) -> None:
        self.record.orders.append(
            records.Order(
                at=time.monotonic(), holder=body["holder"], fence=body["fence"]
            )
        )
        super()._handle_order(request, body)

    def _run_request(self, request, call) -> None:
        arrival = self._in_progress[request]
        if self.lose or self.floods:
            arrival.harmed = True
        arrival.weights = call.weights
        arrival.ran = True
        super()._run_request(request, call)

    def _is_crashed_by(self, call) -> bool:
        parts = call.headers.get(names.PROMPT_PREFIX.decode(), "").split(",")
        return call.body.startswith(CRASHING_PREFIX) or any(
            each.startswith(CRASHING_PART) for each in parts[:-1]
        )

    def _send_stream(self, request, call, head) -> None:
        if self.cut_after is not None:
            self._in_progress[request].harmed = True
        super()._send_stream(request, call, head)

    def _response_headers(
        self, headers: dict[str, str]
    ) -> list[tuple[bytes, bytes]]:
        head = super()._response_headers(headers)
        head.append((INCARNATION_HEADER, self.incarnation.encode()))
        arrival = self._handled.arrival
        if arrival is not None:
            head.append((ARRIVAL_HEADER, b"%d" % arrival.number))
        return head

    def _encode_event(self, call, number: int) -> bytes:
        return encode_event(number, call.body)

    def _send_not_run(self, request, headers, status: int) -> None:
        if status == 503 and self.retry_after:
            self._in_progress[request].rest_seconds = float(self.retry_after)
        super()._send_not_run(request, headers, status)


def encode_event(number: int, body: bytes) -> bytes:
    """Returns an event of the stream that answers a request with this body."""
    return b"id: %d\ndata: piece %d of %b\n\n" % (number, number, body)
