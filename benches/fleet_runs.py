"""Simulates the placement decisions of routers over engines in virtual time.

    python -m benches.fleet_runs [--routers 68] [--engines 60] [--seconds 20]

There are no processes and no network. Each router has its own cluster view,
places requests with the production code, and receives the load reports of the
other routers. The results of clients and the work of engines are counted.
"""

import argparse
import functools
import itertools
import random

import attrs

from benches import fleet_engines
from pimentoledge.routing import attempt_loads
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import daemons
from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import load_reports
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import rollouts
from pimentoledge.routing import rosters
from pimentoledge.routing import selections
from pimentoledge.routing.request_stages import server_choices

MODEL = "m"
SERVICE = "runners"
# One-way delay between VMs, and to a client.
HOP_SECONDS = 0.001
RETRY_SECONDS = 0.5
CACHE_SERVERS = 2


@attrs.frozen(kw_only=True)
class RequestKind:
    """One kind of requests.

    A prompt has three parts: one shared by many topics, one shared by the
    requests of a topic, and one of its own.

    Attributes:
        name: name of the kind.
        share: share of all requests.
        urgency: scheduling urgency; 0 is the most urgent.
        objective_seconds: objective for the time to the first event.
        patience_seconds: time without an event after which a client leaves.
        common_parts: number of distinct first parts.
        common_tokens: mean length of the first parts.
        topics: number of distinct second parts.
        topic_tokens: mean length of the second parts.
        own_tokens: mean length of the part that no other request has.
        events: mean number of events of an answer.
        event_spread: standard deviation of the logarithm of that number.
        repeatable: whether the request may be sent to a second server.
    """

    name: str
    share: float
    urgency: int
    objective_seconds: float
    patience_seconds: float
    common_parts: int
    common_tokens: int
    topics: int
    topic_tokens: int
    own_tokens: int
    events: float
    event_spread: float
    repeatable: bool


LOOK_UP = RequestKind(
    name="look-up",
    share=0.46,
    urgency=1,
    objective_seconds=0.818,
    patience_seconds=3.27,
    common_parts=4,
    common_tokens=2520,
    topics=877,
    topic_tokens=3780,
    own_tokens=2890,
    events=13,
    event_spread=1.0,
    repeatable=True,
)
DRAFT = RequestKind(
    name="draft",
    share=0.54,
    urgency=0,
    objective_seconds=0.508,
    patience_seconds=2.03,
    common_parts=39,
    common_tokens=119,
    topics=1035,
    topic_tokens=79,
    own_tokens=628,
    events=73,
    event_spread=0.69,
    repeatable=False,
)
GAP_SECONDS = 0.25


@attrs.frozen(kw_only=True)
class Plan:
    """Parameters of a simulation.

    Attributes:
        routers: number of routers.
        engines: number of engines.
        data_centres: number of data centres over which both are spread.
        seconds: duration of the load.
        rate: requests per second over all kinds.
        kinds: the kinds of requests.
        engine_spec: sizes and speeds of each engine.
        rollouts_at: times at which new weights are declared.
        outage: share of the engines that stop responding, and begin and end of
            that outage.
        organisations: number of organisations.
        isolated_share: share of the organisations whose cached parts are not
            shared with others.
        cache_tokens: memory of each KV cache server.
        cache_link_bytes: bytes per second of each KV cache server's link.
        seed: random seed.
    """

    routers: int = 68
    engines: int = 60
    data_centres: int = 5
    seconds: float = 20.0
    rate: float = 240.0
    kinds: tuple[RequestKind, ...] = (LOOK_UP, DRAFT)
    engine_spec: fleet_engines.EngineSpec = fleet_engines.EngineSpec()
    rollouts_at: tuple[float, ...] = ()
    outage: tuple[float, float, float] = (0.0, 0.0, 0.0)
    organisations: int = 140
    isolated_share: float = 0.3
    cache_tokens: int = 1744752
    cache_link_bytes: float = 340e9 / 8
    seed: int = 1


@attrs.define(kw_only=True)
class Outcome:
    """Results of the requests of a kind.

    Attributes:
        requests: requests of clients.
        in_time: complete answers whose first event and gaps met the objectives.
        late: complete answers that missed an objective.
        refused: clients whose last attempt was refused.
        failed: clients whose last attempt timed out.
        first_event_waits: seconds to the first event of each complete answer.
    """

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    first_event_waits: list[float] = attrs.field(factory=list)

    def share_in_time(self) -> float:
        """Returns the share of the requests that were answered in time."""
        return self.in_time / max(1, self.requests)


class _FullRoster:
    """A roster in which every other router is always present."""

    def __init__(self, own: str):
        self.own = own
        self.peers: dict[str, rosters.Peer] = {}

    def present(self, now: float) -> dict[str, rosters.Peer]:
        """Returns the other routers."""
        return self.peers

    members = present

    def reaches_all(self) -> bool:
        """Returns whether heartbeats go directly between all routers."""
        return len(self.peers) <= heartbeat_rings.ALL_TO_ALL

    @property
    def known(self) -> dict[str, rosters.Peer]:
        """Returns the other routers."""
        return self.peers


@attrs.define(kw_only=True, eq=False)
class Router:
    """One router's cluster view and its load reports.

    Attributes:
        name: the router's mailbox.
        view: the router's view of the cluster.
        reports: exchange of load reports with the other routers.
    """

    name: str
    view: cluster_views.ClusterView
    reports: load_reports.LoadReports


@attrs.define(kw_only=True, eq=False)
class Client:
    """One request of a client, with its attempts.

    Attributes:
        client_request: the request.
        kind: kind of the request.
        organisation: organisation of the client.
        events: number of events of the answer.
        started_at: time of the first attempt.
        attempts: number of attempts so far.
        ended: whether the current attempt has ended.
        first_event_at: time of the first event; None before.
        longest_gap: longest time between two events.
        tried: incarnations of servers that refused the current attempt.
        attempt_load: load of the current attempt in the router's view.
        run: the current attempt at an engine.
        engine: the engine that the request was last sent to.
    """

    client_request: request_types.ClientRequest
    kind: RequestKind
    organisation: configurations.Organisation
    events: int
    started_at: float
    attempts: int = 0
    ended: bool = False
    first_event_at: float | None = None
    longest_gap: float = 0.0
    tried: set[str] = attrs.field(factory=set)
    attempt_load: attempt_loads.AttemptLoad | None = None
    run: fleet_engines.Run | None = None
    engine: fleet_engines.Engine | None = None


class Fleet:
    """Simulates a plan.

    Attributes:
        plan: parameters of the simulation.
        scheduler: scheduler in virtual time.
        totals: counts of the engines' work.
        engines: engines by server id.
        routers: the routers.
        outcomes: results by name of the kind.
        version: version of the weights declared last.
    """

    def __init__(self, plan: Plan):
        self.plan = plan
        self.scheduler = fleet_engines.Scheduler()
        self.totals = fleet_engines.Totals()
        self.engines: dict[str, fleet_engines.Engine] = {}
        self.routers: list[Router] = []
        self.outcomes = {each.name: Outcome() for each in plan.kinds}
        self.version = 1
        self._random = random.Random(plan.seed)
        self._request_numbers = itertools.count()
        self._cache_sources: dict = {}
        self._organisations = self._make_organisations()
        self._configuration = self._make_configuration()
        self._make_engines()
        self._make_routers()
        self._tokens_by_part: dict[str, int] = {}

    def _make_organisations(self) -> list[configurations.Organisation]:
        """Makes organisations; the n-th sends 1/n as often as the first."""
        isolated_interval = max(
            1, round(1 / max(0.01, self.plan.isolated_share))
        )
        return [
            configurations.Organisation(
                name=f"o{number}",
                keys=(),
                urgency=None,
                isolated=number % isolated_interval == isolated_interval - 1,
            )
            for number in range(self.plan.organisations)
        ]

    def _make_configuration(self) -> configurations.Configuration:
        plan = self.plan
        services = [
            configurations.Service(
                name=SERVICE,
                max_connections=0,
                models=(MODEL,),
                slots=plan.engine_spec.slots,
                cache_tokens=plan.engine_spec.memory_tokens,
                cache_address=None,
                data_centre=None,
                token_bytes=plan.engine_spec.token_bytes,
                link_bytes=plan.engine_spec.link_bytes_per_second,
            )
        ]
        for number in range(CACHE_SERVERS):
            address = f"cache-{number}"
            place = f"d{number % plan.data_centres}"
            self._cache_sources[address] = fleet_engines.CacheServer(
                address=address,
                link=fleet_engines.Link(
                    data_centre=place, bytes_per_second=plan.cache_link_bytes
                ),
                memory_tokens=plan.cache_tokens,
            )
            services.append(
                configurations.Service(
                    name=address,
                    max_connections=0,
                    models=(),
                    slots=None,
                    cache_tokens=plan.cache_tokens,
                    cache_address=address,
                    data_centre=place,
                    link_bytes=plan.cache_link_bytes,
                )
            )
        return configurations.build(
            version=1,
            routes=[],
            organisations=None,
            services=services,
            limits=configurations.ClientLimits(),
        )

    def _make_engines(self) -> None:
        for number in range(self.plan.engines):
            name = f"e{number}"
            self.engines[name] = fleet_engines.Engine(
                name=name,
                address=f"10.0.0.{number}:80",
                data_centre=f"d{number % self.plan.data_centres}",
                spec=self.plan.engine_spec,
                scheduler=self.scheduler,
                totals=self.totals,
                sources=self._cache_sources,
            )

    def _registration(self, name: str, version: int):
        number = int(name[1:])
        return registrations.Registration(
            server=name,
            service=SERVICE,
            address=f"10.0.0.{number}:80",
            data_centre=f"d{number % self.plan.data_centres}",
            slots=self.plan.engine_spec.slots,
            leaving=False,
            weights={MODEL: version},
        )

    def _make_routers(self) -> None:
        for number in range(self.plan.routers):
            name = f"tcp://r{number}"
            place = f"d{number % self.plan.data_centres}"
            view = cluster_views.ClusterView(
                name=name, data_centre=place, started_at=0.0
            )
            view.configuration = self._configuration
            view.members = self.plan.routers
            view.set_wanted_version(MODEL, 1, 0.0)
            for engine in self.engines:
                view.servers.put(self._registration(engine, 1))
            self.routers.append(
                Router(
                    name=name,
                    view=view,
                    reports=load_reports.LoadReports(
                        view=view,
                        roster=_FullRoster(name),
                        send_all=self._make_sender(name),
                    ),
                )
            )
        by_name = {each.name: each for each in self.routers}
        for router in self.routers:
            router.reports.roster.peers = {
                name: rosters.Peer(
                    data_centre=each.view.data_centre, last_heard_at=0.0
                )
                for name, each in by_name.items()
                if name != router.name
            }

    def _make_sender(self, sender: str):
        def deliver(address: str, message: object) -> None:
            receiver = self.routers[int(address.removeprefix("tcp://r"))]
            receiver.reports.receive(sender, message, self.scheduler.now)

        def send_all(addresses: list[str], message: object) -> None:
            for address in addresses:
                self.scheduler.schedule_after(
                    HOP_SECONDS,
                    functools.partial(deliver, address, message),
                )

        return send_all

    def run(self) -> "Fleet":
        """Runs the simulation and returns this fleet."""
        plan = self.plan
        for kind in plan.kinds:
            self._schedule_arrival(kind)
        for number, router in enumerate(self.routers):
            offset = daemons.TICK_SECONDS * number / len(self.routers)
            self.scheduler.schedule(
                offset, lambda router=router: self._tick(router)
            )
        for when in plan.rollouts_at:
            self.scheduler.schedule(when, self._start_rollout)
        share, since, until = plan.outage
        for name in list(self.engines)[:: round(1 / share)] if share else ():
            self.scheduler.schedule(
                since, lambda name=name: self._stop_engine(name)
            )
            self.scheduler.schedule(
                until, lambda name=name: self._restart_engine(name)
            )
        self.scheduler.run(plan.seconds)
        self.scheduler.run(plan.seconds + 8.0)
        return self

    def _tick(self, router: Router) -> None:
        router.reports.tick(self.scheduler.now)
        if self.scheduler.now < self.plan.seconds:
            self.scheduler.schedule_after(
                daemons.TICK_SECONDS, lambda: self._tick(router)
            )

    def _schedule_arrival(self, kind: RequestKind) -> None:
        wait = self._random.expovariate(self.plan.rate * kind.share)
        when = self.scheduler.now + wait
        if when > self.plan.seconds:
            return

        def arrive() -> None:
            self._schedule_arrival(kind)
            self._start_client(kind)

        self.scheduler.schedule(when, arrive)

    def _part_tokens(self, name: str, mean: int, spread: float) -> int:
        """Returns the length of a prompt part, the same on each call."""
        if name not in self._tokens_by_part:
            generator = random.Random(f"{self.plan.seed}/{name}")
            self._tokens_by_part[name] = _draw_lognormal(
                generator, mean, spread
            )
        return self._tokens_by_part[name]

    def _make_request(self, kind: RequestKind) -> request_types.ClientRequest:
        generator = self._random
        topic = int(kind.topics * generator.random() ** 1.3)
        common = min(topic * 2654435761 % 16 // 4, kind.common_parts - 1)
        if kind.common_parts > 4:
            common = topic % kind.common_parts
        elif generator.random() < 0.6:
            common = 0
        common_name = f"{kind.name}-c{common}"
        topic_name = f"{kind.name}-t{topic}"
        number = next(self._request_numbers)
        parts = (
            request_types.Part(
                name=common_name,
                tokens=self._part_tokens(common_name, kind.common_tokens, 0.4),
            ),
            request_types.Part(
                name=topic_name,
                tokens=self._part_tokens(topic_name, kind.topic_tokens, 0.7),
            ),
            request_types.Part(
                name=f"own-{number}",
                tokens=_draw_lognormal(generator, kind.own_tokens, 1.0),
            ),
        )
        return request_types.ClientRequest(
            request=str(number),
            method=b"POST",
            host="h",
            target=b"/",
            path="/",
            key=None,
            wait_seconds=None,
            model=MODEL,
            prompt_tokens=sum(each.tokens for each in parts),
            answer_tokens=0,
            parts=parts,
            resume_after=None,
            passed_on=[],
            body=b"",
            arrived=self.scheduler.now,
        )

    def _start_client(self, kind: RequestKind) -> None:
        client_request = self._make_request(kind)
        rank = int(len(self._organisations) ** self._random.random()) - 1
        events = _draw_lognormal(self._random, kind.events, kind.event_spread)
        client_request.answer_tokens = (
            events * self.plan.engine_spec.steps_per_event
        )
        client = Client(
            client_request=client_request,
            kind=kind,
            organisation=self._organisations[rank],
            events=events,
            started_at=self.scheduler.now,
        )
        self.outcomes[kind.name].requests += 1
        self._start_attempt(client)

    def _start_attempt(self, client: Client) -> None:
        client.attempts += 1
        client.ended = False
        client.tried = set()
        router = self._random.choice(self.routers)
        client_request = client.client_request
        client_request.arrived = self.scheduler.now
        router.view.mean_unshared(MODEL).note(
            client_request.parts[-1].tokens + client_request.answer_tokens
        )
        attempts = client.attempts
        self.scheduler.schedule_after(
            client.kind.patience_seconds,
            lambda: self._on_patience_timeout(client, attempts),
        )
        self._route(router, client, self.scheduler.now)

    def _route(self, router: Router, client: Client, arrived_at: float) -> None:
        """Selects an engine as `server_choices` does, and dispatches."""
        if client.ended:
            return
        now = self.scheduler.now
        route = _route_of(client.kind)
        choice = selections.select(
            view=router.view,
            client_request=client.client_request,
            route=route,
            organisation=client.organisation,
            without=client.tried,
            now=now,
        )
        chosen = isinstance(choice, placements.Choice)
        if chosen and len(client.tried) < retry_rules.MAX_SENDS:
            self._dispatch(router, client, route, choice)
        elif (
            now - arrived_at
            < server_choices.WAIT_SHARE * route.objective_seconds
        ):
            self.scheduler.schedule_after(
                server_choices.WAIT_STEP_SECONDS,
                lambda: self._route(router, client, arrived_at),
            )
        else:
            self._fail_attempt(client, retry_after=RETRY_SECONDS, refused=True)

    def _dispatch(
        self,
        router: Router,
        client: Client,
        route: configurations.Route,
        choice: placements.Choice,
    ) -> None:
        backend = choice.backend
        now = self.scheduler.now
        sent = selections.dispatch(
            view=router.view,
            client_request=client.client_request,
            route=route,
            organisation=client.organisation,
            backend=backend,
            resume_after=None,
            seconds_left=10.0,
            now=now,
        )
        attempt_load = attempt_loads.AttemptLoad(
            client_request=client.client_request, backend=backend, dispatch=sent
        )
        attempt_load.start(
            selections.speeds_of(router.view, MODEL, SERVICE), now
        )
        selections.note_sent(
            router.view, client.client_request, backend, sent, now
        )
        router.reports.prompt_changed(client.client_request.prompt_tokens, now)
        client.attempt_load = attempt_load
        engine = self.engines[backend.registration.server]
        client.engine = engine
        client.run = fleet_engines.Run(
            client_request=client.client_request,
            dispatch=sent,
            events=client.events,
            on_first_event=lambda: self._on_first_event(
                router, client, engine.load()
            ),
            on_event_gap=lambda seconds: self._on_event_gap(client, seconds),
            on_end=lambda complete: self._on_complete(client, backend),
        )
        run = client.run
        self.scheduler.schedule_after(
            HOP_SECONDS, lambda: self._submit(router, client, run, engine)
        )

    def _submit(self, router, client, run, engine) -> None:
        if client.ended or client.run is not run or not engine.up:
            return
        registered = router.view.servers.by_server[engine.name]
        weights_match = registered.registration.weights[MODEL] == engine.version
        if not weights_match or not engine.submit(run):
            client.attempt_load.close(self.scheduler.now)
            client.attempt_load = None
            backend = backend_of(router, engine)
            backend.back_off_full(self.scheduler.now)
            backend.update_load(engine.load(), self.scheduler.now)
            client.tried.add(backend.registration.incarnation)
            self._route(router, client, self.scheduler.now)

    def _on_first_event(
        self, router, client, load: request_types.ServerLoad
    ) -> None:
        now = self.scheduler.now
        client.first_event_at = now
        attempt_load = client.attempt_load
        attempt_load.backend.update_load(load, now)
        attempt_load.note_first_event(router.view.first_event(MODEL), now)
        selections.note_read(
            router.view,
            client.client_request,
            attempt_load.backend,
            attempt_load.dispatch,
            now,
        )
        router.reports.prompt_changed(client.client_request.prompt_tokens, now)

    def _on_event_gap(self, client: Client, seconds: float) -> None:
        client.longest_gap = max(client.longest_gap, seconds)
        if client.attempt_load is not None:
            client.attempt_load.backend.note_event_gap(seconds)

    def _on_complete(self, client: Client, backend) -> None:
        if client.ended:
            return
        client.ended = True
        client.attempt_load.close(self.scheduler.now)
        backend.note_success()
        outcome = self.outcomes[client.kind.name]
        first_event_wait = client.first_event_at - client.started_at
        outcome.first_event_waits.append(first_event_wait)
        late = first_event_wait > client.kind.objective_seconds
        if late or client.longest_gap > GAP_SECONDS:
            outcome.late += 1
        else:
            outcome.in_time += 1

    def _on_patience_timeout(self, client: Client, attempts: int) -> None:
        if (
            client.ended
            or client.first_event_at is not None
            or client.attempts != attempts
        ):
            return
        if client.engine is not None and client.run is not None:
            client.engine.cancel(client.run)
        self._fail_attempt(client, retry_after=0.05, refused=False)

    def _fail_attempt(
        self, client: Client, *, retry_after: float, refused: bool
    ) -> None:
        """Ends an attempt without an answer; a client makes two attempts."""
        client.ended = True
        if client.attempt_load is not None:
            client.attempt_load.close(self.scheduler.now)
            client.attempt_load = None
        if client.attempts < 2:
            self.scheduler.schedule_after(
                retry_after, lambda: self._start_attempt(client)
            )
        elif refused:
            self.outcomes[client.kind.name].refused += 1
        else:
            self.outcomes[client.kind.name].failed += 1

    def _start_rollout(self) -> None:
        self.version += 1
        now = self.scheduler.now
        for router in self.routers:
            router.view.set_wanted_version(MODEL, self.version, now)
        engines = list(self.engines.values())
        size = max(1, int(len(engines) * rollouts.CONCURRENT_LOAD_SHARE))
        load_seconds = self.plan.engine_spec.load_seconds
        for number in range(0, len(engines), size):
            for engine in engines[number : number + size]:
                self.scheduler.schedule_after(
                    load_seconds * (number // size) + 0.02,
                    lambda engine=engine: self._load_weights(engine),
                )

    def _load_weights(self, engine: fleet_engines.Engine) -> None:
        version = self.version
        for router in self.routers:
            backend = backend_of(router, engine)
            backend.loading_until = self.scheduler.now + rollouts.LOAD_SECONDS

        def finish() -> None:
            engine.version = version
            for router in self.routers:
                registration = self._registration(engine.name, version)
                router.view.servers.put(registration)

        engine.load_weights(finish)

    def _stop_engine(self, name: str) -> None:
        self.engines[name].up = False
        for router in self.routers:
            backend = backend_of(router, self.engines[name])
            backend.avoid_until = self.plan.outage[2]

    def _restart_engine(self, name: str) -> None:
        self.engines[name].up = True


def backend_of(router: Router, engine: fleet_engines.Engine):
    """Returns the backend of an engine in a router's view."""
    return router.view.servers.by_server[engine.name]


def _draw_lognormal(
    generator: random.Random, mean: float, spread: float
) -> int:
    """Draws an integer from a log-normal distribution.

    Values are limited to the range from 1 to 6.3 times the mean.
    """
    median = mean / 2.718281828 ** (spread * spread / 2)
    value = median * 2.718281828 ** (spread * generator.gauss(0, 1))
    return max(1, min(int(value), int(6.3 * mean)))


def _route_of(kind: RequestKind) -> configurations.Route:
    return configurations.Route(
        name=kind.name,
        host="h",
        path_prefix="/",
        kind=configurations.Repeatability.STREAM,
        timeout_seconds=10.0,
        objective_seconds=kind.objective_seconds,
        urgency=kind.urgency,
        shares=(configurations.ServiceShare(service=SERVICE, weight=1),),
        most_servers=2 if kind.repeatable else 1,
        open=True,
        by_prefix=True,
        resumable=kind.repeatable,
        gap_seconds=GAP_SECONDS,
    )


def utility(fleet: Fleet) -> float:
    """Returns the mean utility of a request, from -0.3 to 1.

    An answer in time counts as 1, a late one as 0.3. A client that was refused
    twice has waited for nothing and counts as -0.3.
    """
    outcomes = fleet.outcomes.values()
    credit = sum(
        each.in_time + 0.3 * each.late - 0.3 * each.refused for each in outcomes
    )
    return credit / max(1, sum(each.requests for each in outcomes))


def summary_line(fleet: Fleet) -> str:
    """Returns the results of a simulation on one line."""
    parts = [f"worth {utility(fleet):.3f}"]
    for name, each in fleet.outcomes.items():
        waits = sorted(each.first_event_waits) or [0.0]
        parts.append(
            f"{name} {each.share_in_time():.3f} in time"
            f" (late {each.late} refused {each.refused} failed {each.failed},"
            f" p50 {waits[len(waits) // 2]:.2f}"
            f" p90 {waits[len(waits) * 9 // 10]:.2f} s)"
        )
    totals = fleet.totals
    parts.append(
        f"read {totals.prefill_tokens / 1e6:.1f}M"
        f" again {totals.repeated_tokens / 1e6:.2f}M"
        f" kept {totals.cached_tokens / 1e6:.1f}M"
        f" moved {totals.moved_bytes / 1e9:.0f}GB"
        f" not started {totals.not_started}"
    )
    return "; ".join(parts)


def main() -> None:
    """Runs one simulation and prints its results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", type=int, default=68)
    parser.add_argument("--engines", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=240.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--weights", type=float, nargs="*", default=[])
    parser.add_argument("--dark", type=float, default=0.0)
    arguments = parser.parse_args()
    plan = Plan(
        routers=arguments.routers,
        engines=arguments.engines,
        seconds=arguments.seconds,
        rate=arguments.rate,
        seed=arguments.seed,
        rollouts_at=tuple(arguments.weights),
        outage=(arguments.dark, 2.5, 16.5),
    )
    print(summary_line(Fleet(plan).run()))


if __name__ == "__main__":
    main()
