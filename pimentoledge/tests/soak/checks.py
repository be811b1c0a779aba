"""Invariants of a run, checked against what clients and servers recorded."""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import math
import signal

import attrs

from pimentoledge.platform import names
from pimentoledge.routing import router_responses
from pimentoledge.tests.soak import clients
from pimentoledge.tests.soak import records
from pimentoledge.tests.soak import servers

INVARIANTS = {
    "once": "an unsafe request runs at most once",
    "not_run": "a request answered with 408, 421, 429 or 503 never ran",
    "whole": "a 2xx is a server's complete, correct answer to its request",
    "own": "a server's answer has the status that the server gave, and answers"
    " this very try",
    "stream": "a stream has each event once, in order, and ends when complete",
    "answered": "an accepted request is answered, even around a SIGTERM",
    "exit": "a router exits with 0 within its grace period after SIGTERM",
    "drain": "no request reaches a server drain-ms after it announced leaving",
    "rest": "a runner gets at most two requests in a backoff that it asks for",
    "limit": "routers that know a server's limit together send no more than it",
    "weights": "no request begins on old weights later than weights-ms",
    "configuration": "no request uses a configuration replaced config-ms ago",
    "orders": "holders order lease-ms apart, each with a higher fencing token",
    "crashes": "content that crashed three servers, and a part that crashed"
    " five, reaches at most three more",
    "harmless": "no content is refused as crashing that crashed no server",
    "budget": "in 10 s a service gets no more repeats than the budget of all"
    " routers allows",
    "versions": "a stream goes on only at the software version that began it",
    "recovery": "every request is served some seconds after the last fault",
}
# A router that was restarted, frozen or disconnected from the store within this
# time may have outdated information.
UNDISTURBED_SECONDS = 3.0
DRAIN_SECONDS = 2.0
WEIGHTS_SECONDS = 5.0
CONFIGURATION_SECONDS = 2.0
LEASE_SECONDS = 1.0
# Servers that content, or a prompt part, may crash before the bound on its
# retries applies, the time after which it does, and the bound.
MAX_CRASHES = 3
MAX_PART_CRASHES = 5
CRASHES_APPLY_SECONDS = 3.0
MAX_RETRIES_AFTER_CRASHES = 3
CRASHES_MARK = b"crashed servers; not run"
# Time after a freeze in which orders sent before it may still arrive.
LATE_ORDER_SECONDS = 1.0
# Time after a refusal from which the router must observe its Retry-After.
BACKOFF_APPLY_SECONDS = 0.5
MAX_IN_BACKOFF = 2
# Time after a server first announces a limit from which requests are counted.
LIMIT_SETTLE_SECONDS = 3.0
# Time after a router first relays a limit from which it must apply it.
LIMIT_APPLY_SECONDS = 0.5
LIMIT_WINDOW_SECONDS = 4.0
# Tolerated excess over a limit: a part of the limit, and some requests.
LIMIT_OVERSHOOT = 0.5
LIMIT_SLACK_REQUESTS = 5
# Time after the last fault from which every request must be served.
RECOVERY_SECONDS = 6.0
# Time after SIGTERM during which a router still accepts new connections.
ACCEPTING_SECONDS = 2.0
STREAM_EVENTS = 5
# The retry budget of all routers, as the settings have it by default.
BUDGET_RATIO = 0.2
BUDGET_SLACK = 20
BUDGET_WINDOW_SECONDS = 10.0
# Services to which requests of a route may go.
SERVICES_OF_ROUTES = {
    "cards": ("plain",),
    "notices": ("plain", "runners"),
    "lookups": ("runners",),
    "drafts": ("runners",),
}


@attrs.frozen(kw_only=True)
class Violation:
    """One case in which an invariant did not hold.

    Attributes:
        invariant: key of INVARIANTS.
        at: time of the violation, in seconds of time.monotonic.
        subject: ids of the request, server or router, separated by spaces.
        text: what was observed.
    """

    invariant: str
    at: float
    subject: str
    text: str


Check = Callable[[records.SoakRecord], Iterator[Violation]]


def find_violations(record: records.SoakRecord) -> list[Violation]:
    """Returns all violations in a record, in order of time."""
    found = [each for check in CHECKS for each in check(record)]
    return sorted(found, key=lambda each: each.at)


def was_undisturbed(record: records.SoakRecord, router: str, at: float) -> bool:
    """Returns whether a router ran with access to the store recently.

    It must not have been frozen, restarted or disconnected from the store in
    the last UNDISTURBED_SECONDS.
    """
    begin = at - UNDISTURBED_SECONDS
    disturbed = any(
        each.overlaps(router, begin, at)
        for each in (*record.freezes, *record.outages)
    )
    return not disturbed and not was_restarted(record, router, begin, at)


def was_restarted(
    record: records.SoakRecord, router: str, begin: float, end: float
) -> bool:
    """Returns whether a router process was started within a period."""
    process_runs = record.process_runs[router]
    return any(begin <= each.started <= end for each in process_runs)


def was_frozen(
    record: records.SoakRecord, router: str, begin: float, end: float
) -> bool:
    """Returns whether a router was stopped by SIGSTOP within a period."""
    return any(each.overlaps(router, begin, end) for each in record.freezes)


def knows_since(
    record: records.SoakRecord,
    request: records.Request,
    at: float,
    seconds: float,
) -> float | None:
    """Returns when a process surely knew what the store took at a time.

    That is None unless it was undisturbed then. It doesn't forget, whatever
    happens to the store later.

    Args:
        record: the record of the run.
        request: a request that the process got.
        at: when the store took it.
        seconds: the time within which routers must know.
    """
    known_at = at + seconds
    process_run = record.process_runs[request.router][request.process_run]
    if process_run.started > at or known_at > request.sent:
        return None
    if not was_undisturbed(record, request.router, known_at):
        return None
    return known_at


def _arrivals_with_requests(
    record: records.SoakRecord,
) -> Iterator[tuple[records.Arrival, records.Request]]:
    """Yields each arrival of a client's request together with the request."""
    for arrival in list(record.arrivals):
        request = record.requests.get(arrival.request)
        if request is not None:
            yield arrival, request


def _runs_by_request(
    record: records.SoakRecord,
) -> dict[str, list[records.Arrival]]:
    """Returns the arrivals that servers ran, by id of the request."""
    runs: dict[str, list[records.Arrival]] = {}
    for arrival in list(record.arrivals):
        if arrival.ran:
            runs.setdefault(arrival.request, []).append(arrival)
    return runs


def check_runs_at_most_once(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that what may run once did, also if its client repeated it."""
    by_first: dict[str, list[records.Arrival]] = {}
    for identity, runs in _runs_by_request(record).items():
        request = record.requests.get(identity) or record.repeats.get(identity)
        if request and request.route in clients.UNREPEATABLE:
            by_first.setdefault(request.repeats or identity, []).extend(runs)
    for first, runs in by_first.items():
        if len(runs) > 1:
            where_run = ", ".join(
                f"{each.server} as {each.request}" for each in runs
            )
            yield Violation(
                invariant="once",
                at=max(each.at for each in runs),
                subject=first,
                text=f"ran at {where_run}",
            )


def check_refused_not_run(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that no server ran a request that was answered as not run."""
    for identity, runs in _runs_by_request(record).items():
        request = record.requests.get(identity) or record.repeats.get(identity)
        if request and request.status in router_responses.NOT_RUN_STATUSES:
            yield Violation(
                invariant="not_run",
                at=request.ended,
                subject=identity,
                text=f"answered {request.status}, ran at {runs[0].server}",
            )


def _describe_error(
    record: records.SoakRecord, request: records.Request, runs: list
) -> str | None:
    """Returns what is wrong with a 2xx answer, or None if it is correct."""
    server = request.headers.get(servers.INCARNATION_HEADER.decode().lower())
    if request.headers.get("request-id") != request.sent_as:
        return "another request's id"
    if "server-stamp" not in request.headers:
        return "no signature"
    if server not in {each.server for each in runs}:
        return f"{server} did not run it"
    if request.route in clients.STREAMS or not request.whole:
        return None
    if request.answer != b"answer of " + request.body:
        return f"body {request.answer!r}"
    return None


def check_complete_answers(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that each 2xx answer is correct."""
    runs = _runs_by_request(record)
    for request in list(record.requests.values()):
        if request.ended is None or not 200 <= (request.status or 0) < 300:
            continue
        error = _describe_error(record, request, runs.get(request.identity, []))
        if error is not None:
            yield Violation(
                invariant="whole",
                at=request.ended,
                subject=request.identity,
                text=error,
            )


def check_own_answers(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that servers' answers belong to the tries that they answer."""
    arrivals = {str(each.number): each for each in list(record.arrivals)}
    for request in (
        *list(record.requests.values()),
        *list(record.repeats.values()),
        *[each.request for each in list(record.resumptions.values())],
    ):
        number = request.headers.get(servers.ARRIVAL_HEADER.decode().lower())
        if number is None:
            continue
        arrival = arrivals[number]
        error = None
        if arrival.request != request.identity:
            error = f"got the answer to {arrival.request}"
        elif arrival.status not in (None, request.status):
            error = f"got {request.status}, the server gave {arrival.status}"
        if error is not None:
            yield Violation(
                invariant="own",
                at=request.headed,
                subject=f"{request.identity} {request.sent_as}",
                text=f"{error} at {arrival.server}",
            )


def check_stream_events(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that streams have the expected events."""
    for request in list(record.requests.values()):
        if request.route not in clients.STREAMS or request.status != 200:
            continue
        expected = b"".join(
            servers.encode_event(number, request.body)
            for number in range(1, STREAM_EVENTS + 1)
        )
        correct = expected.startswith(request.answer)
        if request.whole:
            correct = request.answer == expected
        if not correct:
            yield Violation(
                invariant="stream",
                at=request.ended,
                subject=request.identity,
                text=f"whole: {request.whole}, got {request.answer!r}",
            )


def _may_be_incomplete(
    record: records.SoakRecord, request: records.Request, arrivals: list
) -> bool:
    """Returns whether a request may end without a complete answer."""
    process_run = record.process_runs[request.router][request.process_run]
    if process_run.killed is not None and process_run.killed <= request.ended:
        return True
    if was_frozen(record, request.router, request.sent, request.ended):
        return True
    if _was_client_cut(record, request, arrivals):
        return True
    if request.status is not None:
        # Once a stream has begun, the router can't send another answer.
        return any(each.harmed for each in arrivals)
    if arrivals or request.timed_out:
        return False
    if (
        process_run.terminated_at is None
        or request.sent < process_run.terminated_at
    ):
        return False
    # The router may have closed the connection while the request was in
    # transit.
    return (
        not request.first
        or request.sent > process_run.terminated_at + ACCEPTING_SECONDS
    )


def _was_client_cut(
    record: records.SoakRecord, request: records.Request, arrivals: list
) -> bool:
    """Returns whether a request lost its answer as its client was cut off.

    The connection of an unsafe call that reached a server must last until the
    client's deadline all the same. An idle one may have ended in a cut before
    the request.
    """
    within = request.ended - request.sent < clients.DEADLINE_SECONDS
    if request.route == "cards" and arrivals and within:
        return False
    begin = request.sent
    if not arrivals and request.reset:
        begin = -math.inf
    return any(
        each.overlaps(request.router, begin, request.ended)
        for each in record.client_cuts
    )


def check_accepted_answered(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that accepted requests are answered."""
    arrivals_by_request: dict[str, list[records.Arrival]] = {}
    for arrival in list(record.arrivals):
        arrivals_by_request.setdefault(arrival.request, []).append(arrival)
    for request in list(record.requests.values()):
        if request.ended is None or request.whole:
            continue
        arrivals = arrivals_by_request.get(request.identity, [])
        if not _may_be_incomplete(record, request, arrivals):
            reached = ", ".join(each.server for each in arrivals)
            yield Violation(
                invariant="answered",
                at=request.ended,
                subject=request.identity,
                text=f"status {request.status}, timed out: "
                f"{request.timed_out}, reached {reached or 'no server'}",
            )


def _used_processes(record: records.SoakRecord) -> set[tuple[str, int]]:
    """Returns router and process number of all processes that got a request."""
    return {
        (each.router, each.process_run)
        for each in list(record.requests.values())
    }


def check_exits(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that routers end only after SIGTERM, with 0 and in time."""
    used_processes = _used_processes(record)
    for router, process_runs in record.process_runs.items():
        for number, process_run in enumerate(list(process_runs)):
            if process_run.ended is None:
                continue
            # Terminated before it had installed its signal handler and opened
            # its sockets.
            before_startup = (
                process_run.terminated_at is not None
                and process_run.status == -signal.SIGTERM
                and (router, number) not in used_processes
            )
            wrong = process_run.overdue and not was_frozen(
                record, router, process_run.terminated_at, process_run.ended
            )
            if process_run.killed is None:
                wrong = process_run.terminated_at is None or not (
                    process_run.status == 0 or before_startup
                )
            if wrong:
                yield Violation(
                    invariant="exit",
                    at=process_run.ended,
                    subject=f"{router} {number}",
                    text=(
                        f"ended with {process_run.status},"
                        f" SIGTERM at {process_run.terminated_at}"
                    ),
                )


def _first_relayed(
    record: records.SoakRecord,
    header: bytes,
    begin: float = -math.inf,
    end: float = math.inf,
) -> dict[tuple[str, str, int], float]:
    """Returns when router processes first relayed a server's header.

    Args:
        record: the record of the run.
        header: the header's name.
        begin: time from which answers count.
        end: time until which answers count.

    Returns:
        The times by server, router and number of the process.
    """
    found: dict[tuple[str, str, int], float] = {}
    for request in list(record.requests.values()):
        head_at = request.headed
        if head_at is None or header.decode() not in request.headers:
            continue
        if begin <= head_at <= end:
            server = request.headers.get(
                servers.INCARNATION_HEADER.decode().lower()
            )
            key = (server, request.router, request.process_run)
            found[key] = min(found.get(key, head_at), head_at)
    return found


def check_drain(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that routers send no requests to servers that leave."""
    relayed_times = _first_relayed(record, names.SERVER_LEAVING)
    for arrival, request in _arrivals_with_requests(record):
        router, server = request.router, arrival.server
        known = {}
        relayed_at = relayed_times.get((server, router, request.process_run))
        if relayed_at and not was_frozen(
            record, router, relayed_at, arrival.at
        ):
            known["an answer"] = relayed_at
        stored_at = record.leaving.get(server)
        if stored_at and (
            was_undisturbed(record, router, arrival.at)
            or knows_since(record, request, stored_at, DRAIN_SECONDS)
        ):
            known["the store"] = stored_at
        for source, since in known.items():
            if request.sent > since + DRAIN_SECONDS:
                yield Violation(
                    invariant="drain",
                    at=arrival.at,
                    subject=f"{server} {router} by {source}",
                    text=f"{request.identity} arrived"
                    f" {arrival.at - since:.3f} s after the announcement",
                )


def check_backoff(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that routers back off from runners as long as requested."""
    pairs = list(_arrivals_with_requests(record))
    for refused_arrival, refused_request in pairs:
        if refused_arrival.rest_seconds is None:
            continue
        begin = refused_arrival.at + BACKOFF_APPLY_SECONDS
        end = refused_arrival.at + refused_arrival.rest_seconds
        crash_times = record.gone.get(refused_arrival.server, [])
        end = min(
            [end, *(each for each in crash_times if each > refused_arrival.at)]
        )
        router = refused_request.router
        if was_restarted(record, router, refused_arrival.at, end) or was_frozen(
            record, router, refused_arrival.at, end
        ):
            continue
        inside = [
            arrival
            for arrival, request in pairs
            if arrival.server == refused_arrival.server
            and request.router == router
            and begin <= arrival.at < end
        ]
        if len(inside) > MAX_IN_BACKOFF:
            yield Violation(
                invariant="rest",
                at=inside[MAX_IN_BACKOFF].at,
                subject=f"{refused_arrival.server} {router}",
                text=f"asked for {refused_arrival.rest_seconds} s of backoff"
                f" in answer to {refused_arrival.request}, got {len(inside)}",
            )


def _limited_periods(
    record: records.SoakRecord, server: str
) -> Iterator[tuple[float, float]]:
    """Yields begin and end of each period in which a server has a limit."""
    begin = None
    for at, per_second in record.limits[server]:
        if per_second is not None and begin is None:
            begin = at
        if per_second is None and begin is not None:
            yield begin, at
            begin = None
    if begin is not None:
        yield begin, math.inf


def _highest_limit(
    record: records.SoakRecord, server: str, begin: float, end: float
) -> float:
    """Returns the highest limit that applies to a server within a period."""
    limits = record.limits[server]
    period_ends = [at for at, _ in limits[1:]] + [math.inf]
    return max(
        per_second or 0.0
        for (at, per_second), until in zip(limits, period_ends, strict=True)
        if at <= end and until + LIMIT_APPLY_SECONDS >= begin
    )


def check_limits(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that servers get no more requests than their limits allow.

    Calls that routers make on their own behalf count, whichever router makes
    them.
    """
    pairs = list(_arrivals_with_requests(record))
    for server in list(record.limits):
        for begin, end in _limited_periods(record, server):
            relayed_times = _first_relayed(
                record, names.SERVER_LIMIT, begin, end
            )
            arrival_times = [
                arrival.at
                for arrival, request in pairs
                if arrival.server == server
                and _knew_limit(record, request, arrival, relayed_times)
            ] + list(record.own_calls.get(server, ()))
            since = begin + LIMIT_SETTLE_SECONDS
            inside = sorted(at for at in arrival_times if since <= at <= end)
            yield from _limit_violations(record, server, inside)


def _knew_limit(
    record: records.SoakRecord,
    request: records.Request,
    arrival: records.Arrival,
    relayed_times: dict[tuple[str, str, int], float],
) -> bool:
    """Returns whether a request was sent by a router that knew the limit."""
    at = arrival.at
    relayed_at = relayed_times.get(
        (arrival.server, request.router, request.process_run)
    )
    if relayed_at is None or at < relayed_at + LIMIT_APPLY_SECONDS:
        return False
    begin = at - UNDISTURBED_SECONDS
    return not was_frozen(
        record, request.router, begin, at
    ) and not was_restarted(record, request.router, begin, at)


def _limit_violations(
    record: records.SoakRecord, server: str, arrival_times: list[float]
) -> Iterator[Violation]:
    """Yields a violation for each time window with too many requests."""
    for first in arrival_times:
        inside = [
            at
            for at in arrival_times
            if 0 <= at - first <= LIMIT_WINDOW_SECONDS
        ]
        highest = _highest_limit(record, server, first, inside[-1])
        allowed = (
            1 + LIMIT_OVERSHOOT
        ) * highest * LIMIT_WINDOW_SECONDS + LIMIT_SLACK_REQUESTS
        if len(inside) > allowed:
            yield Violation(
                invariant="limit",
                at=first,
                subject=server,
                text=f"got {len(inside)} in {LIMIT_WINDOW_SECONDS:g} s with a"
                f" limit of {highest} per second; allowed {allowed:g}",
            )


def check_weights(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that requests begin on sufficiently new weights."""
    for arrival, request in _arrivals_with_requests(record):
        if not arrival.ran or arrival.resumed or arrival.weights is None:
            continue
        if not was_undisturbed(record, request.router, arrival.at):
            continue
        for version, at in record.named:
            older = arrival.weights < version
            late = arrival.at > at + WEIGHTS_SECONDS
            undisturbed = not any(
                each.router is None and each.begin <= arrival.at
                for each in record.outages
                if each.end >= at
            )
            if older and late and undisturbed:
                yield Violation(
                    invariant="weights",
                    at=arrival.at,
                    subject=f"{arrival.server} {request.router}",
                    text=f"{request.identity} began on {arrival.weights},"
                    f" {arrival.at - at:.3f} s after {version} was named",
                )
                break


def check_configuration(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that requests use a configuration that may be current."""
    for arrival, request in _arrivals_with_requests(record):
        changes = record.changes
        begin = request.sent - CONFIGURATION_SECONDS
        if not was_undisturbed(record, request.router, arrival.at):
            begin = _newest_known_change(record, request)
        in_force = [
            each
            for each, after in zip(changes, [*changes[1:], None], strict=True)
            if each.at <= arrival.at and (after is None or after.at >= begin)
        ]
        allowed = any(
            request.key in each.keys
            and each.services[request.route] == arrival.service
            for each in in_force
        )
        if not allowed:
            yield Violation(
                invariant="configuration",
                at=arrival.at,
                subject=f"{request.route} {request.key}",
                text=f"{request.identity} reached {arrival.server} via"
                f" {request.router}",
            )


def _newest_known_change(
    record: records.SoakRecord, request: records.Request
) -> float:
    """Returns the time of the newest change that a process surely knew."""
    known = [
        each.at
        for each in record.changes
        if knows_since(record, request, each.at, CONFIGURATION_SECONDS)
    ]
    return max(known, default=-math.inf)


def check_orders(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that orders of two holders exclude each other."""
    previous = None
    holders: dict[int, str] = {}
    for order in list(record.orders):
        router = order.holder.partition("@")[0]
        if was_frozen(record, router, order.at - LATE_ORDER_SECONDS, order.at):
            continue
        wrong = None
        if holders.setdefault(order.fence, order.holder) != order.holder:
            wrong = f"has the token of {holders[order.fence]}"
        elif previous is not None and order.fence < previous.fence:
            wrong = f"came after {previous.fence} of {previous.holder}"
        elif (
            previous is not None
            and order.holder != previous.holder
            and order.at - previous.at < LEASE_SECONDS
        ):
            wrong = f"came {order.at - previous.at:.3f} s after one of"
            wrong += f" {previous.holder}"
        if wrong is not None:
            yield Violation(
                invariant="orders",
                at=order.at,
                subject=order.holder,
                text=f"an order with token {order.fence} {wrong}",
            )
        previous = order


def check_crashes(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that content which crashes servers is kept from others."""
    by_content: dict[str, list[records.Arrival]] = {}
    by_part: dict[str, list[records.Arrival]] = {}
    for arrival in list(record.arrivals):
        request = record.crashing.get(arrival.request)
        part = record.crashing_parts.get(arrival.request)
        if part is not None:
            by_part.setdefault(part, []).append(arrival)
        elif request is not None:
            by_content.setdefault(request.body.decode(), []).append(arrival)
    for content, arrivals in by_content.items():
        yield from _check_late_sends(record, content, arrivals, MAX_CRASHES)
    for part, arrivals in by_part.items():
        yield from _check_late_sends(record, part, arrivals, MAX_PART_CRASHES)


def _check_late_sends(
    record: records.SoakRecord,
    subject: str,
    arrivals: list[records.Arrival],
    most: int,
) -> Iterator[Violation]:
    """Checks the sends after a number of crashes of one subject."""
    crashes = [each.at for each in arrivals if each.ran]
    if len(crashes) < most:
        return
    applies_from = crashes[most - 1] + CRASHES_APPLY_SECONDS
    later = [
        each
        for each in arrivals
        if each.at > applies_from
        and was_undisturbed(
            record, record.crashing[each.request].router, each.at
        )
    ]
    if len(later) > MAX_RETRIES_AFTER_CRASHES:
        yield Violation(
            invariant="crashes",
            at=later[MAX_RETRIES_AFTER_CRASHES].at,
            subject=subject,
            text=f"reached {len(later)} servers later than"
            f" {CRASHES_APPLY_SECONDS} s after crash {most};"
            f" {len(crashes)} crashes in all",
        )


def check_harmless(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that content which crashes no server is not quarantined."""
    for request in list(record.requests.values()):
        if request.status == 503 and CRASHES_MARK in request.answer:
            yield Violation(
                invariant="harmless",
                at=request.ended,
                subject=request.identity,
                text=f"refused by {request.router}",
            )


def check_recovery(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that every request is served again after the last fault."""
    if record.quiet_from is None:
        return
    keys = record.changes[-1].keys
    for request in list(record.requests.values()):
        late = request.sent > record.quiet_from + RECOVERY_SECONDS
        if not late or request.ended is None:
            continue
        expected = 200 if request.key in keys else 401
        if request.status != expected or not request.whole:
            yield Violation(
                invariant="recovery",
                at=request.ended,
                subject=f"{request.router} {request.route}",
                text=f"{request.identity} got {request.status}",
            )


def check_budget(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks the repeats of a service over all routers, in each window."""
    asked: dict[str, list[float]] = {}
    repeats: dict[str, list[float]] = {}
    resumed = [each.request for each in list(record.resumptions.values())]
    for request in (
        *list(record.requests.values()),
        *list(record.crashing.values()),
        *resumed,
    ):
        for service in SERVICES_OF_ROUTES.get(request.route, ()):
            asked.setdefault(service, []).append(request.sent)
    arrived = set()
    for arrival in list(record.arrivals):
        if arrival.request in arrived:
            repeats.setdefault(arrival.service, []).append(arrival.at)
        arrived.add(arrival.request)
    for service, times in repeats.items():
        sent = sorted(asked.get(service, ()))
        times.sort()
        for begin in times:
            most = max(
                _count(sent, begin - share * BUDGET_WINDOW_SECONDS)
                for share in (0, 0.5, 1)
            )
            allowed = BUDGET_RATIO * most + BUDGET_SLACK
            count = _count(times, begin)
            if count > allowed:
                yield Violation(
                    invariant="budget",
                    at=begin,
                    subject=service,
                    text=f"{count} repeats for {most} requests",
                )
                break


def _count(times: list[float], begin: float) -> int:
    """Returns how many sorted times lie in the window that begins then."""
    end = begin + BUDGET_WINDOW_SECONDS
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


def check_versions(record: records.SoakRecord) -> Iterator[Violation]:
    """Checks that streams hold events of one software version."""
    arrivals: dict[str, list[records.Arrival]] = {}
    for each in list(record.arrivals):
        if each.ran:
            arrivals.setdefault(each.request, []).append(each)
    for request in list(record.requests):
        began = None
        for each in arrivals.get(request, ()):
            if not each.resumed:
                began = each.software
            elif each.software != began:
                yield _joined(each, began)
    for identity, taken in list(record.resumptions.items()):
        before = [
            each
            for each in arrivals.get(taken.began_as, ())
            if each.at < taken.request.sent
        ]
        began = before[-1].software if before else None
        for each in arrivals.get(identity, ()):
            if each.software != began:
                yield _joined(each, began)
        yield from _check_resumed(taken)


def _joined(arrival: records.Arrival, began: str | None) -> Violation:
    return Violation(
        invariant="versions",
        at=arrival.at,
        subject=arrival.request,
        text=f"began at {began}, goes on at {arrival.software}",
    )


def _check_resumed(taken: records.Resumption) -> Iterator[Violation]:
    """Checks that a stream that was resumed has the events that follow."""
    request = taken.request
    if request.status != 200:
        return
    expected = b"".join(
        servers.encode_event(number, request.body)
        for number in range(taken.after + 1, STREAM_EVENTS + 1)
    )
    if not expected.startswith(request.answer) or (
        request.whole and request.answer != expected
    ):
        yield Violation(
            invariant="stream",
            at=request.ended,
            subject=request.identity,
            text=f"after {taken.after}: {request.answer!r}",
        )


CHECKS: tuple[Check, ...] = (
    check_budget,
    check_versions,
    check_runs_at_most_once,
    check_refused_not_run,
    check_complete_answers,
    check_own_answers,
    check_stream_events,
    check_accepted_answered,
    check_exits,
    check_drain,
    check_backoff,
    check_limits,
    check_weights,
    check_configuration,
    check_orders,
    check_crashes,
    check_harmless,
    check_recovery,
)
