"""Backend servers that keep a record of what reaches them."""

import threading
import time

from pimentoledge import fake_http
from pimentoledge.platform import names
from pimentoledge.platform import stand_in_servers
from pimentoledge.tests.soak import links
from pimentoledge.tests.soak import records

# Bears the incarnation of the server that answers.
SERVER = b"Soak-Server"


class Server(stand_in_servers.StandInServer):
    """A stand-in that can crash, leave, and ask for a rest.

    Attributes:
        record: where arrivals are kept.
        draining: whether its entry in the store says that it leaves.
        alive: whether its process runs.
        link: the proxy by which routers reach it, or None.
    """

    def __init__(self, *, record: records.SoakRecord, **given):
        super().__init__(**given)
        self.record = record
        self.link: links.Link | None = None
        self.draining = False
        self.alive = False
        self._present: dict[object, records.Arrival] = {}
        self._guard = threading.Lock()

    def start(self) -> None:
        """Listens."""
        self.alive = True
        super().start()

    def crash(self) -> None:
        """Cuts all connections and stops listening."""
        self.alive = False
        self.record.gone.setdefault(self.incarnation, []).append(
            time.monotonic()
        )
        for request in self.harm():
            fake_http.cut_socket(request.conn.socket)
        self.close()

    def harm(self) -> list:
        """Notes that what it works on may be lost; returns the requests."""
        with self._guard:
            present = list(self._present.items())
        for _, arrival in present:
            arrival.harmed = True
        return [request for request, _ in present]

    def name_limit(self, per_second: float | None) -> None:
        """Names a limit in all answers from now on, or none any more."""
        self.limit = "" if per_second is None else str(per_second)
        self.record.limits.setdefault(self.incarnation, []).append(
            (time.monotonic(), per_second)
        )

    def entry(self, *, leaving: bool = False) -> dict:
        """Returns what it writes of itself into the store."""
        found = super().entry(leaving=leaving or self.draining)
        if self.link is not None:
            found["address"] = self.link.address
        return found

    def handle(self, request) -> None:
        """Answers one request and records it."""
        path = fake_http.path_of(request)
        if path in (names.ORDER_PATH, names.REPORT_PATH):
            self.record.own_calls.setdefault(self.incarnation, []).append(
                time.monotonic()
            )
            super().handle(request)
            return
        headers = {
            name.lower(): value for name, value in request.inheaders.items()
        }
        arrival = records.Arrival(
            request=headers.get(names.REQUEST_ID, b"").decode(),
            server=self.incarnation,
            service=self.service,
            at=time.monotonic(),
            resumed=names.LAST_EVENT_ID in headers,
        )
        with self._guard:
            self._present[request] = arrival
        self.record.arrivals.append(arrival)
        try:
            if self.alive:
                super().handle(request)
            else:
                arrival.harmed = True
                fake_http.cut_connection(request)
        finally:
            arrival.harmed |= request.close_connection
            with self._guard:
                del self._present[request]

    def _run_request(self, request, call) -> None:
        arrival = self._present[request]
        if self.lose:
            arrival.harmed = True
        arrival.weights = call.weights
        arrival.ran = True
        super()._run_request(request, call)

    def _send_stream(self, request, call, head) -> None:
        if self.cut_after is not None:
            self._present[request].harmed = True
        super()._send_stream(request, call, head)

    def _response_headers(
        self, headers: dict[str, str]
    ) -> list[tuple[bytes, bytes]]:
        head = super()._response_headers(headers)
        head.append((SERVER, self.incarnation.encode()))
        return head

    def _encode_event(self, call, number: int) -> bytes:
        return piece(number, call.body)

    def _send_not_run(self, request, headers, status: int) -> None:
        if status == 503 and self.retry_after:
            self._present[request].rest_seconds = float(self.retry_after)
        super()._send_not_run(request, headers, status)


def piece(number: int, body: bytes) -> bytes:
    """Returns an event of the stream that answers a body."""
    return b"id: %d\ndata: piece %d of %b\n\n" % (number, number, body)
