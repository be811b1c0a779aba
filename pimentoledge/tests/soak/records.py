"""What clients, servers and the operator saw in a run.

Times are in seconds of time.monotonic.
"""

import math
import time

import attrs


@attrs.define(kw_only=True)
class Request:
    """A request as its client saw it.

    Attributes:
        identity: its id.
        route: name of its route.
        key: the organisation's key that it bore.
        body: its body.
        router: name of the router that it was sent to.
        process_run: number of that router's process.
        first: whether it was the first on its connection.
        sent: when it was sent.
        headed: when the answer's head had come, or None.
        ended: when the client stopped waiting, or None.
        status: HTTP status, or None without an answer.
        headers: the answer's headers, by lower-case name.
        answer: the answer's body as far as it came.
        whole: whether the answer had its end.
        timed_out: whether the client gave up without an end.
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


@attrs.define(kw_only=True)
class Arrival:
    """A request as it reached a server.

    Attributes:
        request: its id.
        server: the server's incarnation.
        service: the server's service.
        at: when it came.
        resumed: whether it asked for a stream's rest.
        ran: whether the server worked on it.
        weights: version of the weights that it began on, or None.
        rest_seconds: rest that the server asked for, or None.
        harmed: whether the server cut or lost its answer.
    """

    request: str
    server: str
    service: str
    at: float
    resumed: bool
    ran: bool = False
    weights: int | None = None
    rest_seconds: float | None = None
    harmed: bool = False


@attrs.define(kw_only=True)
class ProcessRun:
    """One process of a router.

    Attributes:
        started: when it was started.
        terminated_at: when it was first sent SIGTERM, or None.
        killed: when it was sent SIGKILL, or None.
        overdue: whether it was sent SIGKILL since it had not ended in time.
        ended: when it was found ended, or None.
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
    """A time in which something was disturbed.

    Attributes:
        router: name of the router, or None for all.
        begin: its begin.
        end: its end; infinite until it is known.
    """

    router: str | None
    begin: float
    end: float = math.inf

    def touches(self, router: str, begin: float, end: float) -> bool:
        """Returns whether it disturbed a router within a time."""
        mine = self.router in (None, router)
        return mine and self.begin <= end and self.end >= begin


@attrs.frozen(kw_only=True)
class ConfigurationChange:
    """A configuration as it was put in force.

    Attributes:
        at: when the store took it.
        keys: keys that are valid.
        services: service by name of route.
    """

    at: float
    keys: frozenset[str]
    services: dict[str, str]


@attrs.define(kw_only=True)
class SoakRecord:
    """Everything that was seen.

    Attributes:
        requests: by id.
        arrivals: in order.
        process_runs: processes by name of router, in order.
        freezes: times in which routers were stopped.
        outages: times in which the store was disturbed.
        named: version and time of each naming of weights.
        leaving: when the store took a server's word, by incarnation.
        gone: when a server's process ended, by incarnation.
        limits: limits that a server named, or None for none any more, each with
            the time since when, by incarnation.
        own_calls: when routers' own calls reached a server, by incarnation.
        changes: configurations in order.
        faults: time and text of each fault, in order.
        quiet_from: when the last fault had ended, or None.
        stopped: when clients sent nothing more, or None.
    """

    requests: dict[str, Request] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    process_runs: dict[str, list[ProcessRun]] = attrs.field(factory=dict)
    freezes: list[Span] = attrs.field(factory=list)
    outages: list[Span] = attrs.field(factory=list)
    named: list[tuple[int, float]] = attrs.field(factory=list)
    leaving: dict[str, float] = attrs.field(factory=dict)
    gone: dict[str, list[float]] = attrs.field(factory=dict)
    limits: dict[str, list[tuple[float, float | None]]] = attrs.field(
        factory=dict
    )
    own_calls: dict[str, list[float]] = attrs.field(factory=dict)
    changes: list[ConfigurationChange] = attrs.field(factory=list)
    faults: list[tuple[float, str]] = attrs.field(factory=list)
    quiet_from: float | None = None
    stopped: float | None = None

    def note(self, text: str) -> None:
        """Notes what a fault does."""
        self.faults.append((time.monotonic(), text))
