"""Compares ways to find each server's speed and limit, in virtual time.

    python -m benches.speed_ways [--seconds 20] [--seed 1] [--world slow]

There are no processes and no network. Routers with the product's placement
send short streams and long prompts to servers whose steps take a base and a
time for each running request, times a slowdown; chunks of prompts are read
between steps. Routers exchange the product's load reports.
"""

import argparse
import collections
import heapq
import random

import attrs

from pimentoledge.routing import attempt_loads
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import load_controls
from pimentoledge.routing import load_reports
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import rosters
from pimentoledge.routing import selections
from pimentoledge.routing.server_speeds import speed_reports
from pimentoledge.routing.server_speeds import speeds

SERVICE = "s"
MODEL = "m"
SLOTS = 64
STEP_SECONDS = 0.00374
RUNNING_SECONDS = 0.00016
CHUNK_TOKENS = 1024
TOKEN_SECONDS = 1 / 81900
MEMORY_TOKENS = 114_380
EVENT_STEPS = 7
TICK_SECONDS = 0.1
# Requests a second for each server.
RATES = {"short": 7.0, "long": 4.8}
# Time after which a request without a place counts as refused.
WAIT_SECONDS = 0.06
WAIT_STEP_SECONDS = 0.02
# Delay of the slowdown that servers report late.
LATE_SECONDS = 3.0
# Measurements begin once estimates have had this time.
WARM_UP_SECONDS = 4.0
# Requests that arrive this shortly before the end aren't measured, so that
# slow streams count as often as fast ones.
COOL_DOWN_SECONDS = 5.0
# A quarter of the servers changes every so many seconds in the world "change".
CHANGE_SECONDS = 5.0


class ReportedAlone(speeds.ServerSpeed):
    """Believes the reported figure, without observations and limit."""

    def note_event_gap(self, seconds, running, slots, now):
        """Learns the service's line only."""
        self.pace.note_gap(seconds, running)

    def note_first_event(self, seconds, expected, now):
        """Learns nothing."""

    def merge(self, sender, summary, now):
        """Learns nothing."""


class ObservedAlone(speeds.ServerSpeed):
    """Ignores the reported figure."""

    def note_report(self, slowdown, at):
        """Learns nothing."""


class GradientLimit(speeds.ServerSpeed):
    """Finds limits only; all servers count as equally fast."""

    def factors(self, now):
        """Returns the mean."""
        return 1.0, 1.0


class LatencyInFlight(speeds.ServerSpeed):
    """Multiplies a server's own latency by its requests in flight."""

    latency = 0.0

    def note_event_gap(self, seconds, running, slots, now):
        """Updates the mean of this router."""
        self.pace.note_gap(seconds, running)
        self.latency += 0.03 * (seconds - self.latency)

    def note_first_event(self, seconds, expected, now):
        """Learns nothing."""

    def merge(self, sender, summary, now):
        """Learns nothing."""

    def note_report(self, slowdown, at):
        """Learns nothing."""

    def factors(self, now):
        """Returns the latency and requests in flight, of the line's."""
        usual = self.pace.gap_seconds(0)
        if not usual or not self.latency:
            return 1.0, 1.0
        mean = max(1.0, self.pace.running / self.pace.weight)
        return self.latency / usual * max(1.0, self.requests / mean), 1.0


WAYS = {
    "before": None,
    "reported": ReportedAlone,
    "observed": ObservedAlone,
    "gradient": GradientLimit,
    "in flight": LatencyInFlight,
    "both": speeds.ServerSpeed,
}
REPORTS = ("true", "none", "false", "late")
WORLDS = ("slow", "early", "change")


@attrs.define(kw_only=True, eq=False)
class Stream:
    """A request and what its client has received."""

    kind: str
    request: request_types.ClientRequest
    arrived: float
    router: "Router"
    load: attempt_loads.AttemptLoad | None = None
    to_read: int = 0
    steps: int = 0
    events: int = 0
    event_at: float = 0.0
    first: float | None = None
    gap: float = 0.0


KINDS = {
    # Prompt tokens, events, objectives of first event and gap, urgency.
    "short": (628, 42, 0.615, 0.3, 0),
    "long": (2890, 7, 0.435, 0.3, 2),
}


def route(kind):
    """Returns the route of a kind of requests."""
    _, _, first, gap, urgency = KINDS[kind]
    return configurations.Route(
        name=kind,
        host="h",
        path_prefix=f"/{kind}/",
        kind=configurations.Repeatability.SAFE,
        timeout_seconds=12.0,
        objective_seconds=first,
        urgency=urgency,
        shares=(configurations.ServiceShare(service=SERVICE, weight=1),),
        most_servers=2,
        open=True,
        by_prefix=False,
        resumable=False,
        gap_seconds=gap,
    )


ROUTES = {kind: route(kind) for kind in KINDS}


class Server:
    """A runner that decodes in steps and reads chunks between them."""

    def __init__(self, *, number, world):
        self.name = f"b{number}"
        self.number = number
        self.world = world
        self.reading = collections.deque()
        self.running = []
        self.at = 0.0
        self.busy = 0.0
        self.received = []

    def slowdown(self, now):
        """Returns how long work takes, of the usual time."""
        quarter = self.number % 4
        match self.world.name:
            case "slow":
                return 3.0 if quarter == 0 else 1.0
            case "early":
                most = SLOTS / 3
                slow = quarter == 0 and len(self.running) > most
                return (len(self.running) / most) ** 2 if slow else 1.0
        return 2.5 if quarter == int(now / CHANGE_SECONDS) % 4 else 1.0

    def reported(self, now):
        """Returns the slowdown that it reports, or None."""
        match self.world.reports:
            case "none":
                return None
            case "false":
                return 0.4 if self.number % 4 == 0 else 2.5
            case "late":
                now = max(0.0, now - LATE_SECONDS)
        # Work on the VM makes the figure change from report to report.
        return self.slowdown(now) * self.world.random.uniform(0.8, 1.25)

    def accept(self, stream, now):
        """Queues a request."""
        if not self.running and not self.reading:
            self.at = max(self.at, now)
        self.received.append(now)
        self.reading.append(stream)

    def run(self, until):
        """Runs the steps that begin before a time."""
        while self.at < until and (self.running or self.reading):
            slow = self.slowdown(self.at)
            took = (STEP_SECONDS + RUNNING_SECONDS * len(self.running)) * slow
            if self.reading and len(self.running) < SLOTS:
                stream = self.reading[0]
                chunk = min(CHUNK_TOKENS, stream.to_read)
                stream.to_read -= chunk
                took += chunk * TOKEN_SECONDS * slow
                if not stream.to_read:
                    self.running.append(self.reading.popleft())
                else:
                    self.reading.rotate(-1)
            self.at += took
            self.busy += took
            for stream in list(self.running):
                stream.steps += 1
                if stream.steps % EVENT_STEPS == 0:
                    self.world.later(self.at, self.world.on_event, stream, self)
                if stream.steps >= EVENT_STEPS * KINDS[stream.kind][1]:
                    self.running.remove(stream)


class Router:
    """A router's view and load reports."""

    def __init__(self, *, name, world, count, way):
        mode = "off" if way is None else "on"
        self.world = world
        self.view = cluster_views.ClusterView(
            name=name,
            data_centre="d",
            started_at=0.0,
            members=count,
            load_control=load_controls.LoadControl(
                mode=load_controls.Mode(mode)
            ),
        )
        self.view.configuration = configurations.build(
            version=1,
            routes=list(ROUTES.values()),
            organisations=None,
            services=[
                configurations.Service(
                    name=SERVICE,
                    max_connections=0,
                    models=(MODEL,),
                    slots=SLOTS,
                    cache_tokens=MEMORY_TOKENS,
                    cache_address=None,
                    data_centre=None,
                )
            ],
            limits=configurations.ClientLimits(),
        )
        for each in world.servers:
            backend = self.view.servers.put(
                registrations.Registration(
                    server=each.name,
                    service=SERVICE,
                    address=each.name,
                    data_centre="d",
                    slots=SLOTS,
                    leaving=False,
                    weights={MODEL: 1},
                )
            )
            if way is not None:
                backend.speed = way(pace=backend.speed.pace)
        roster = rosters.Roster(own=name, data_centre="d")
        for number in range(count):
            if f"tcp://r{number}" != name:
                roster.known[f"tcp://r{number}"] = rosters.Peer(
                    last_heard_at=1e9, alive_at=1e9, data_centre="d"
                )
        self.reports = load_reports.LoadReports(
            view=self.view, roster=roster, send_all=self.send_all
        )
        self.reports.parts.append(speed_reports.SpeedReports(view=self.view))

    def send_all(self, addresses, message):
        """Delivers a report to the other routers, unless it is cut off."""
        for address in addresses:
            other = self.world.routers[address]
            if not {self.view.name, address} & self.world.cut:
                other.reports.receive(self.view.name, message, self.world.now)

    def choose(self, stream, now):
        """Sends a request, or returns False without a place."""
        choice = selections.select(
            view=self.view,
            client_request=stream.request,
            route=ROUTES[stream.kind],
            organisation=None,
            without=set(),
            now=now,
        )
        if not isinstance(choice, placements.Choice):
            return False
        backend = choice.backend
        stream.to_read = stream.request.prompt_tokens
        stream.load = attempt_loads.AttemptLoad(
            client_request=stream.request,
            backend=backend,
            dispatch=request_types.Dispatch(
                server=backend.registration.server,
                organisation=None,
                seconds_left=12.0,
                to_read=stream.to_read,
            ),
        )
        speeds_ = selections.speeds_of(self.view, MODEL, SERVICE)
        stream.load.start(speeds_, now)
        if stream.to_read > load_reports.URGENT_TOKENS:
            self.reports.tick(now)
        self.world.by_name[backend.registration.server].accept(stream, now)
        return True


class World:
    """Routers, servers and the results of all requests.

    Attributes:
        cut: routers that neither send nor receive reports.
        late: number of late requests by kind and cause.
        ended: number of measured requests by kind.
        seconds: sum of the times to the last event by kind.
    """

    def __init__(
        self, *, name, reports, way, servers=12, routers=4, seed=1, rates=None
    ):
        self.name = name
        self.reports = reports
        self.rates = rates or RATES
        self.random = random.Random(seed)
        random.seed(seed)
        self.now = 0.0
        self.cut = set()
        self.servers = [Server(number=n, world=self) for n in range(servers)]
        self.by_name = {each.name: each for each in self.servers}
        self.routers = {}
        for number in range(routers):
            each = f"tcp://r{number}"
            self.routers[each] = Router(
                name=each, world=self, count=routers, way=WAYS[way]
            )
        self.late = collections.Counter()
        self.ended = collections.Counter()
        self.seconds = collections.Counter()
        self.until = 0.0
        self._number = 0
        self._heap = []
        for kind in KINDS:
            self.later(0.0, self._arrive, kind)
        self.later(0.0, self._tick)

    def later(self, at, action, *values):
        """Calls a function at a time."""
        self._number += 1
        heapq.heappush(self._heap, (at, self._number, action, values))

    def run(self, seconds):
        """Runs until a time."""
        self.until = seconds - COOL_DOWN_SECONDS
        while self._heap[0][0] < seconds:
            now = self.now = max(self.now, self._heap[0][0])
            for each in self.servers:
                each.run(now)
            at, _, action, values = heapq.heappop(self._heap)
            action(at, *values)

    def _tick(self, now):
        for each in self.routers.values():
            each.reports.tick(now)
        self.later(now + TICK_SECONDS, self._tick)

    def _arrive(self, now, kind):
        tokens, events, *_ = KINDS[kind]
        rate = self.rates[kind] * len(self.servers)
        self.later(now + self.random.expovariate(rate), self._arrive, kind)
        router = self.random.choice(list(self.routers.values()))
        request = request_types.ClientRequest(
            request=str(self._number),
            method=b"POST",
            host="h",
            target=b"/",
            path="/",
            key=None,
            wait_seconds=12.0,
            model=MODEL,
            prompt_tokens=tokens,
            answer_tokens=events * EVENT_STEPS,
            parts=(),
            resume_after=None,
            passed_on=[],
            body=b"",
            arrived=now,
        )
        router.view.mean_unshared(MODEL).note(tokens)
        stream = Stream(kind=kind, request=request, arrived=now, router=router)
        self._choose(now, stream)

    def _choose(self, now, stream):
        if stream.router.choose(stream, now):
            return
        if now < stream.arrived + WAIT_SECONDS:
            self.later(now + WAIT_STEP_SECONDS, self._choose, stream)
        elif self._measures(stream):
            self.ended[stream.kind] += 1
            self.late[stream.kind, "refused"] += 1

    def on_event(self, now, stream, server):
        """Delivers an event to the router and the client."""
        backend, view = stream.load.backend, stream.router.view
        if stream.first is None:
            stream.first = now - stream.arrived
            backend.update_load(
                request_types.ServerLoad(
                    running=len(server.running),
                    waiting=len(server.reading),
                    slots=SLOTS,
                    slowdown=server.reported(now),
                ),
                now,
            )
            stream.load.note_first_event(view.first_event(MODEL), now)
        else:
            gap = now - stream.event_at
            stream.gap = max(stream.gap, gap)
            backend.note_event_gap(gap)
            backend.note_paced_gap(gap, now)
        stream.event_at = now
        stream.events += 1
        if stream.events == KINDS[stream.kind][1]:
            self._end(now, stream)

    def _end(self, now, stream):
        stream.load.close(now)
        stream.load.backend.speed.pace.note_stream(
            stream.events, stream.request.answer_tokens
        )
        if not self._measures(stream):
            return
        _, _, first, gap, _ = KINDS[stream.kind]
        self.ended[stream.kind] += 1
        self.seconds[stream.kind] += now - stream.arrived
        if stream.first > first:
            self.late[stream.kind, "first"] += 1
        elif stream.gap > gap:
            self.late[stream.kind, "pause"] += 1

    def _measures(self, stream):
        return WARM_UP_SECONDS < stream.arrived < self.until

    def late_share(self, kind, *causes):
        """Returns the share of a kind that is late or refused."""
        causes = causes or ("first", "pause", "refused")
        late = sum(self.late[kind, each] for each in causes)
        return late / max(1, self.ended[kind])

    def mean_seconds(self, kind):
        """Returns the mean time to the last event."""
        return self.seconds[kind] / max(1, self.ended[kind])

    def busiest(self):
        """Returns the busy time of the busiest server, of the mean."""
        busy = [each.busy for each in self.servers]
        return max(busy) * len(busy) / sum(busy)


def main():
    """Prints a table of all ways in all worlds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--world", choices=WORLDS)
    parser.add_argument("--rate", type=float, default=1.0)
    chosen = parser.parse_args()
    rates = {kind: chosen.rate * rate for kind, rate in RATES.items()}
    print(
        "| world | reports | way | late short, % | by pauses, % | late long,"
        " % | short, s | busiest of mean |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in WORLDS if chosen.world is None else (chosen.world,):
        for reports in REPORTS:
            for way in WAYS:
                if way == "before" and reports != "true":
                    continue
                world = World(
                    name=name,
                    reports=reports,
                    way=way,
                    seed=chosen.seed,
                    rates=rates,
                )
                world.run(chosen.seconds)
                print(
                    f"| {name} | {reports} | {way} "
                    f"| {100 * world.late_share('short'):.1f} "
                    f"| {100 * world.late_share('short', 'pause'):.1f} "
                    f"| {100 * world.late_share('long'):.1f} "
                    f"| {world.mean_seconds('short'):.2f} "
                    f"| {world.busiest():.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
