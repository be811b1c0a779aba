"""Records of what clients, servers and the operator observed in a run.

Times are in seconds of time.monotonic.
"""

import math
import time

import attrs


@attrs.define(kw_only=True)
class Request:
    """A request as observed by its client.

    Attributes:
        identity: its name in the record, and its id unless `sent_as` is given.
        route: name of its route.
        key: the organisation's key that it was sent with.
        body: its body.
        router: name of the router that it was sent to.
        process_run: number of the router's process.
        first: whether it was the first on its connection.
        sent: when it was sent.
        headed: when the answer's headers had arrived, or None.
        ended: when the client stopped waiting, or None.
        status: HTTP status, or None if there was no answer.
        headers: the answer's headers, by lower-case name.
        answer: the part of the answer's body that arrived.
        whole: whether the answer was complete.
        timed_out: whether the client gave up before the answer's end.
        reset: whether the connection was reset before any part of the answer,
            as one that is closed with unread bytes is.
        repeats: id of the request that it sends again, or "".
        sent_as: the id that it was sent under; other tries, and requests of
            other organisations, may have the same one.
    """

    identity: str
    route: str
    key: str
    body: bytes
    router: str
    process_run: int
    first: bool
    sent: float
    headed: float | None = None
    ended: float | None = None
    status: int | None = None
    headers: dict[str, str] = attrs.field(factory=dict)
    answer: bytes = b""
    whole: bool = False
    timed_out: bool = False
    reset: bool = False
    repeats: str = ""
    sent_as: str = attrs.field(
        default=attrs.Factory(lambda self: self.identity, takes_self=True)
    )


@attrs.define(kw_only=True)
class Arrival:
    """The arrival of a request at a server.

    Attributes:
        request: its name in the record.
        number: number of the arrival, as the server's answer has it.
        server: the server's incarnation.
        service: the server's service.
        at: when it arrived.
        resumed: whether it asked for the remaining events of a stream.
        software: software version of the server.
        ran: whether the server ran it.
        weights: version of the weights that it began on, or None.
        rest_seconds: backoff that the server asked for, or None.
        harmed: whether a fault may have cut off or lost its answer.
        status: status of the server's answer, or None without one or before
            its end.
    """

    request: str
    number: int
    server: str
    service: str
    at: float
    resumed: bool
    software: str = ""
    ran: bool = False
    weights: int | None = None
    rest_seconds: float | None = None
    harmed: bool = False
    status: int | None = None


@attrs.define(kw_only=True)
class Resumption:
    """A stream that a client resumes after its response broke.

    Attributes:
        request: the request that resumes it.
        began_as: id of the request that brought its first event.
        after: number of the last event that the client has.
    """

    request: Request
    began_as: str
    after: int


@attrs.define(kw_only=True)
class ProcessRun:
    """One process of a router.

    Attributes:
        started: when it was started.
        terminated_at: when it was first sent SIGTERM, or None.
        killed: when it was sent SIGKILL, or None.
        overdue: whether it was sent SIGKILL because it had not ended in time.
        ended: when its end was detected, or None.
        status: its exit status, or None.
    """

    started: float
    terminated_at: float | None = None
    killed: float | None = None
    overdue: bool = False
    ended: float | None = None
    status: int | None = None


@attrs.define(kw_only=True)
class Span:
    """A period in which a fault was active.

    Attributes:
        router: name of the affected router, or None for all routers.
        begin: begin of the period.
        end: end of the period; infinite until it has ended.
    """

    router: str | None
    begin: float
    end: float = math.inf

    def overlaps(self, router: str, begin: float, end: float) -> bool:
        """Returns whether it affected a router within a period."""
        affects_router = self.router in (None, router)
        return affects_router and self.begin <= end and self.end >= begin


@attrs.frozen(kw_only=True)
class ConfigurationChange:
    """A configuration that the operator stored.

    Attributes:
        at: when it was stored.
        keys: valid keys of organisations.
        services: service of each route, by name of the route.
    """

    at: float
    keys: frozenset[str]
    services: dict[str, str]


@attrs.frozen(kw_only=True)
class Order:
    """An order that a runner received.

    Attributes:
        at: when it arrived.
        holder: name of the router that sent it.
        fence: its fencing token.
    """

    at: float
    holder: str
    fence: int


@attrs.define(kw_only=True)
class SoakRecord:
    """Everything that was observed in a run.

    Attributes:
        requests: requests of clients, by id.
        crashing: requests whose content crashes servers, by id. They are not
            among `requests`.
        crashing_parts: the prompt part that makes them crash servers, by id.
        resumptions: streams that clients took up, by id of the request. They
            are not among `requests`.
        repeats: requests that clients sent again after they had not run, by id.
            They are not among `requests`.
        arrivals: arrivals at servers, in order.
        process_runs: processes of each router in order, by name of the router.
        freezes: periods in which routers were stopped.
        outages: periods with a fault of the store.
        client_cuts: periods in which the clients of routers were unreachable.
        named: version and time of each change of the wanted weights.
        leaving: when a server's registration was marked as leaving, by
            incarnation.
        gone: when a server's process ended, by incarnation.
        limits: time and value of each change of a server's limit, by
            incarnation; the value is None when a limit ends.
        own_calls: arrival times of orders to a server and of requests for its
            report, by incarnation.
        orders: orders that any runner received, in order.
        changes: configurations in order.
        faults: time and description of each fault, in order.
        quiet_from: when the last fault had ended, or None.
        stopped: when clients stopped sending requests, or None.
    """

    requests: dict[str, Request] = attrs.field(factory=dict)
    crashing: dict[str, Request] = attrs.field(factory=dict)
    crashing_parts: dict[str, str] = attrs.field(factory=dict)
    resumptions: dict[str, Resumption] = attrs.field(factory=dict)
    repeats: dict[str, Request] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    process_runs: dict[str, list[ProcessRun]] = attrs.field(factory=dict)
    freezes: list[Span] = attrs.field(factory=list)
    outages: list[Span] = attrs.field(factory=list)
    client_cuts: list[Span] = attrs.field(factory=list)
    named: list[tuple[int, float]] = attrs.field(factory=list)
    leaving: dict[str, float] = attrs.field(factory=dict)
    gone: dict[str, list[float]] = attrs.field(factory=dict)
    limits: dict[str, list[tuple[float, float | None]]] = attrs.field(
        factory=dict
    )
    own_calls: dict[str, list[float]] = attrs.field(factory=dict)
    orders: list[Order] = attrs.field(factory=list)
    changes: list[ConfigurationChange] = attrs.field(factory=list)
    faults: list[tuple[float, str]] = attrs.field(factory=list)
    quiet_from: float | None = None
    stopped: float | None = None

    def add_fault(self, text: str) -> None:
        """Records the description of a fault with the current time."""
        self.faults.append((time.monotonic(), text))
