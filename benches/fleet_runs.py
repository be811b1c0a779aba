"""Routers' own decisions before engines in virtual time.

    python -m benches.fleet_runs [--routers 68] [--engines 60] [--seconds 20]

No process, no network. Each router has its beliefs, chooses with the product's
own code, and hears from the others what it would hear. What a client gets, and
what the engines did for it, is counted.
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
from pimentoledge.routing import exchanges
from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import load_reports
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import rollouts
from pimentoledge.routing import rosters
from pimentoledge.routing import selections

MODEL = "m"
SERVICE = "runners"
# One way between VMs, and to a client.
HOP_SECONDS = 0.001
RETRY_SECONDS = 0.5
CACHE_SERVERS = 2


@attrs.frozen(kw_only=True)
class Work:
    """One kind of requests.

    Attributes:
        name: of the kind.
        share: of all requests.
        urgency: 0 is first.
        objective_seconds: to the first event.
        patience_seconds: a client leaves after so long without an event.
        commons: how many first parts there are, each of many topics.
        common_tokens: mean length of them.
        topics: how many second parts there are.
        topic_tokens: mean length of them.
        own_tokens: mean length of what no other request has.
        events: mean number of events.
        event_spread: spread of it.
        repeatable: whether it may run again.
    """

    name: str
    share: float
    urgency: int
    objective_seconds: float
    patience_seconds: float
    commons: int
    common_tokens: int
    topics: int
    topic_tokens: int
    own_tokens: int
    events: float
    event_spread: float
    repeatable: bool


LOOK_UP = Work(
    name="look-up",
    share=0.46,
    urgency=1,
    objective_seconds=0.818,
    patience_seconds=3.27,
    commons=4,
    common_tokens=2520,
    topics=877,
    topic_tokens=3780,
    own_tokens=2890,
    events=13,
    event_spread=1.0,
    repeatable=True,
)
DRAFT = Work(
    name="draft",
    share=0.54,
    urgency=0,
    objective_seconds=0.508,
    patience_seconds=2.03,
    commons=39,
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
    """What is played.

    Attributes:
        routers: how many routers.
        engines: how many engines.
        data_centres: over how many data centres both are spread.
        seconds: how long requests come.
        rate: requests a second, of the kinds below.
        works: the kinds.
        shape: the engines'.
        weights_at: when new weights are named.
        dark: part of the engines that fall silent, from when, until when.
        organisations: how many; some of them share no cached part.
        isolated_share: part of those that share none.
        cache_tokens: memory of each KV cache server.
        cache_link_bytes: what its link carries in a second.
        seed: of all that is drawn.
    """

    routers: int = 68
    engines: int = 60
    data_centres: int = 5
    seconds: float = 20.0
    rate: float = 240.0
    works: tuple[Work, ...] = (LOOK_UP, DRAFT)
    shape: fleet_engines.Shape = fleet_engines.Shape()
    weights_at: tuple[float, ...] = ()
    dark: tuple[float, float, float] = (0.0, 0.0, 0.0)
    organisations: int = 140
    isolated_share: float = 0.3
    cache_tokens: int = 1744752
    cache_link_bytes: float = 340e9 / 8
    seed: int = 1


@attrs.define(kw_only=True)
class Outcome:
    """What became of the requests of a kind.

    Attributes:
        asked: requests of clients.
        in_time: whole answers in time.
        late: whole answers that were not.
        refused: clients that were refused for good.
        failed: clients that got nothing else.
        firsts: seconds to each first event.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    firsts: list[float] = attrs.field(factory=list)

    def share_in_time(self) -> float:
        """Returns the part of the requests that were answered in time."""
        return self.in_time / max(1, self.asked)


class _Everyone:
    """Stands for a roster in which each router hears all others."""

    def __init__(self, own: str):
        self.own = own
        self.others: dict[str, rosters.Peer] = {}

    def present(self, now: float) -> dict[str, rosters.Peer]:
        """Returns the other routers."""
        return self.others

    members = present

    def reaches_all(self) -> bool:
        """Returns whether every router hears the others itself."""
        return len(self.others) <= heartbeat_rings.ALL_TO_ALL

    @property
    def known(self) -> dict[str, rosters.Peer]:
        """Returns the other routers."""
        return self.others


@attrs.define(kw_only=True, eq=False)
class Router:
    """One router's beliefs, and its reports to the others.

    Attributes:
        name: its mailbox.
        view: what it believes.
        reports: what it tells the others of its data centre.
    """

    name: str
    view: cluster_views.ClusterView
    reports: load_reports.LoadReports


@attrs.define(kw_only=True, eq=False)
class Client:
    """One request of a client, with its tries.

    Attributes:
        client_request: the request.
        work: its kind.
        organisation: whose key it bears.
        events: events of its answer.
        began: when it was first asked for.
        tries: tries so far.
        over: whether this try has ended.
        first: when its first event came.
        gap: longest pause.
    """

    client_request: request_types.ClientRequest
    work: Work
    organisation: configurations.Organisation
    events: int
    began: float
    tries: int = 0
    over: bool = False
    first: float | None = None
    gap: float = 0.0
    tried: set[str] = attrs.field(factory=set)
    account: attempt_loads.AttemptLoad | None = None
    run: fleet_engines.Run | None = None
    engine: fleet_engines.Engine | None = None


class Fleet:
    """Plays a plan.

    Attributes:
        plan: what is played.
        agenda: virtual time.
        totals: what the engines did.
        engines: by server id.
        routers: the routers.
        outcomes: by kind.
    """

    def __init__(self, plan: Plan):
        self.plan = plan
        self.agenda = fleet_engines.Agenda()
        self.totals = fleet_engines.Totals()
        self.engines: dict[str, fleet_engines.Engine] = {}
        self.routers: list[Router] = []
        self.outcomes = {each.name: Outcome() for each in plan.works}
        self.version = 1
        self._drawn = random.Random(plan.seed)
        self._numbers = itertools.count()
        self._sources: dict = {}
        self._organisations = self._make_organisations()
        self._configuration = self._configure()
        self._make_engines()
        self._make_routers()
        self._lengths: dict[str, int] = {}

    def _make_organisations(self) -> list[configurations.Organisation]:
        """Some are large: the n-th asks 1/n times as often."""
        every = max(1, round(1 / max(0.01, self.plan.isolated_share)))
        return [
            configurations.Organisation(
                name=f"o{number}",
                keys=(),
                urgency=None,
                isolated=number % every == every - 1,
            )
            for number in range(self.plan.organisations)
        ]

    def _configure(self) -> configurations.Configuration:
        plan = self.plan
        services = [
            configurations.Service(
                name=SERVICE,
                max_connections=0,
                models=(MODEL,),
                slots=plan.shape.slots,
                cache_tokens=plan.shape.memory_tokens,
                cache_address=None,
                data_centre=None,
                token_bytes=plan.shape.token_bytes,
                link_bytes=plan.shape.link_bytes,
            )
        ]
        for number in range(CACHE_SERVERS):
            address = f"cache-{number}"
            place = f"d{number % plan.data_centres}"
            self._sources[address] = fleet_engines.CacheServer(
                address=address,
                link=fleet_engines.Link(
                    data_centre=place, speed=plan.cache_link_bytes
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
                shape=self.plan.shape,
                agenda=self.agenda,
                totals=self.totals,
                sources=self._sources,
            )

    def _registration(self, name: str, version: int):
        number = int(name[1:])
        return registrations.Registration(
            server=name,
            service=SERVICE,
            address=f"10.0.0.{number}:80",
            data_centre=f"d{number % self.plan.data_centres}",
            slots=self.plan.shape.slots,
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
                        roster=_Everyone(name),
                        send_all=self._sender(name),
                    ),
                )
            )
        by_name = {each.name: each for each in self.routers}
        for router in self.routers:
            router.reports.roster.others = {
                name: rosters.Peer(
                    data_centre=each.view.data_centre, last_heard_at=0.0
                )
                for name, each in by_name.items()
                if name != router.name
            }

    def _sender(self, sender: str):
        def deliver(address: str, message: object) -> None:
            receiver = self.routers[int(address.removeprefix("tcp://r"))]
            receiver.reports.receive(sender, message, self.agenda.now)

        def send_all(addresses: list[str], message: object) -> None:
            for address in addresses:
                self.agenda.after(
                    HOP_SECONDS,
                    functools.partial(deliver, address, message),
                )

        return send_all

    def play(self) -> "Fleet":
        """Plays the plan; returns itself."""
        plan = self.plan
        for work in plan.works:
            self._plan_arrival(work)
        for number, router in enumerate(self.routers):
            offset = daemons.TICK_SECONDS * number / len(self.routers)
            self.agenda.at(offset, lambda router=router: self._tick(router))
        for when in plan.weights_at:
            self.agenda.at(when, self._name_weights)
        share, since, until = plan.dark
        for name in list(self.engines)[:: round(1 / share)] if share else ():
            self.agenda.at(since, lambda name=name: self._fall_silent(name))
            self.agenda.at(until, lambda name=name: self._come_back(name))
        self.agenda.run(plan.seconds)
        self.agenda.run(plan.seconds + 8.0)
        return self

    def _tick(self, router: Router) -> None:
        router.reports.tick(self.agenda.now)
        if self.agenda.now < self.plan.seconds:
            self.agenda.after(daemons.TICK_SECONDS, lambda: self._tick(router))

    def _plan_arrival(self, work: Work) -> None:
        wait = self._drawn.expovariate(self.plan.rate * work.share)
        when = self.agenda.now + wait
        if when > self.plan.seconds:
            return

        def arrive() -> None:
            self._plan_arrival(work)
            self._arrive(work)

        self.agenda.at(when, arrive)

    def _length(self, name: str, mean: int, spread: float) -> int:
        """Returns the length of a part, the same each time."""
        if name not in self._lengths:
            drawn = random.Random(f"{self.plan.seed}/{name}")
            self._lengths[name] = _lognormal(drawn, mean, spread)
        return self._lengths[name]

    def _ask(self, work: Work) -> request_types.ClientRequest:
        drawn = self._drawn
        topic = int(work.topics * drawn.random() ** 1.3)
        common = min(topic * 2654435761 % 16 // 4, work.commons - 1)
        if work.commons > 4:
            common = topic % work.commons
        elif drawn.random() < 0.6:
            common = 0
        first = f"{work.name}-c{common}"
        second = f"{work.name}-t{topic}"
        number = next(self._numbers)
        parts = (
            request_types.Part(
                name=first, tokens=self._length(first, work.common_tokens, 0.4)
            ),
            request_types.Part(
                name=second, tokens=self._length(second, work.topic_tokens, 0.7)
            ),
            request_types.Part(
                name=f"own-{number}",
                tokens=_lognormal(drawn, work.own_tokens, 1.0),
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
            arrived=self.agenda.now,
        )

    def _arrive(self, work: Work) -> None:
        client_request = self._ask(work)
        rank = int(len(self._organisations) ** self._drawn.random()) - 1
        events = _lognormal(self._drawn, work.events, work.event_spread)
        client_request.answer_tokens = events * self.plan.shape.event_steps
        client = Client(
            client_request=client_request,
            work=work,
            organisation=self._organisations[rank],
            events=events,
            began=self.agenda.now,
        )
        self.outcomes[work.name].asked += 1
        self._try(client)

    def _try(self, client: Client) -> None:
        client.tries += 1
        client.over = False
        client.tried = set()
        router = self._drawn.choice(self.routers)
        client_request = client.client_request
        client_request.arrived = self.agenda.now
        router.view.mean_unshared(MODEL).note(
            client_request.parts[-1].tokens + client_request.answer_tokens
        )
        tries = client.tries
        self.agenda.after(
            client.work.patience_seconds,
            lambda: self._lose_patience(client, tries),
        )
        self._route(router, client, self.agenda.now)

    def _route(self, router: Router, client: Client, since: float) -> None:
        """Chooses an engine, as exchanges do, and sends the request there."""
        if client.over:
            return
        now = self.agenda.now
        route = _route_of(client.work)
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
            self._send(router, client, route, choice)
        elif now - since < exchanges.WAIT_SHARE * route.objective_seconds:
            self.agenda.after(
                exchanges.WAIT_STEP_SECONDS,
                lambda: self._route(router, client, since),
            )
        else:
            self._end(client, again_after=RETRY_SECONDS, refused=True)

    def _send(
        self,
        router: Router,
        client: Client,
        route: configurations.Route,
        choice: placements.Choice,
    ) -> None:
        backend = choice.backend
        now = self.agenda.now
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
        account = attempt_loads.AttemptLoad(
            client_request=client.client_request, backend=backend, dispatch=sent
        )
        account.start(selections.speeds_of(router.view, MODEL, SERVICE), now)
        selections.note_sent(
            router.view, client.client_request, backend, sent, now
        )
        router.reports.prompt_changed(client.client_request.prompt_tokens, now)
        client.account = account
        engine = self.engines[backend.registration.server]
        client.engine = engine
        client.run = fleet_engines.Run(
            client_request=client.client_request,
            sent=sent,
            events=client.events,
            began=lambda: self._began(router, client, engine.load()),
            paused=lambda seconds: self._paused(client, seconds),
            ended=lambda whole: self._whole(client, backend),
        )
        run = client.run
        self.agenda.after(
            HOP_SECONDS, lambda: self._reach(router, client, run, engine)
        )

    def _reach(self, router, client, run, engine) -> None:
        if client.over or client.run is not run or not engine.up:
            return
        version = router.view.servers.by_server[engine.name]
        right = version.registration.weights[MODEL] == engine.version
        if not right or not engine.submit(run):
            client.account.close()
            client.account = None
            backend = run_backend(router, engine)
            backend.back_off_full(self.agenda.now)
            backend.update_load(engine.load(), self.agenda.now)
            client.tried.add(backend.registration.incarnation)
            self._route(router, client, self.agenda.now)

    def _began(self, router, client, load: request_types.ServerLoad) -> None:
        now = self.agenda.now
        client.first = now
        account = client.account
        account.backend.update_load(load, now)
        account.note_first_event(router.view.first_event(MODEL), now)
        selections.note_read(
            router.view,
            client.client_request,
            account.backend,
            account.dispatch,
            now,
        )
        router.reports.prompt_changed(client.client_request.prompt_tokens, now)

    def _paused(self, client: Client, seconds: float) -> None:
        client.gap = max(client.gap, seconds)
        if client.account is not None:
            client.account.backend.note_event_gap(seconds)

    def _whole(self, client: Client, backend) -> None:
        if client.over:
            return
        client.over = True
        client.account.close()
        backend.note_success()
        found = self.outcomes[client.work.name]
        waited = client.first - client.began
        found.firsts.append(waited)
        late = waited > client.work.objective_seconds
        if late or client.gap > GAP_SECONDS:
            found.late += 1
        else:
            found.in_time += 1

    def _lose_patience(self, client: Client, tries: int) -> None:
        if client.over or client.first is not None or client.tries != tries:
            return
        if client.engine is not None and client.run is not None:
            client.engine.cancel(client.run)
        self._end(client, again_after=0.05, refused=False)

    def _end(
        self, client: Client, *, again_after: float, refused: bool
    ) -> None:
        """Ends a try without an answer; the client has one try more."""
        client.over = True
        if client.account is not None:
            client.account.close()
            client.account = None
        if client.tries < 2:
            self.agenda.after(again_after, lambda: self._try(client))
        elif refused:
            self.outcomes[client.work.name].refused += 1
        else:
            self.outcomes[client.work.name].failed += 1

    def _name_weights(self) -> None:
        self.version += 1
        now = self.agenda.now
        for router in self.routers:
            router.view.set_wanted_version(MODEL, self.version, now)
        waves = list(self.engines.values())
        size = max(1, int(len(waves) * rollouts.CONCURRENT_LOAD_SHARE))
        load = self.plan.shape.load_seconds
        for number in range(0, len(waves), size):
            for engine in waves[number : number + size]:
                self.agenda.after(
                    load * (number // size) + 0.02,
                    lambda engine=engine: self._load(engine),
                )

    def _load(self, engine: fleet_engines.Engine) -> None:
        version = self.version
        for router in self.routers:
            found = run_backend(router, engine)
            found.loading_until = self.agenda.now + rollouts.LOAD_SECONDS

        def done() -> None:
            engine.version = version
            for router in self.routers:
                found = self._registration(engine.name, version)
                router.view.servers.put(found)

        engine.load_weights(done)

    def _fall_silent(self, name: str) -> None:
        self.engines[name].up = False
        for router in self.routers:
            found = run_backend(router, self.engines[name])
            found.avoid_until = self.plan.dark[2]

    def _come_back(self, name: str) -> None:
        self.engines[name].up = True


def run_backend(router: Router, engine: fleet_engines.Engine):
    """Returns a router's beliefs of an engine."""
    return router.view.servers.by_server[engine.name]


def _lognormal(drawn: random.Random, mean: float, spread: float) -> int:
    """Returns a whole number of at least one, with this mean."""
    middle = mean / 2.718281828 ** (spread * spread / 2)
    found = middle * 2.718281828 ** (spread * drawn.gauss(0, 1))
    return max(1, min(int(found), int(6.3 * mean)))


def _route_of(work: Work) -> configurations.Route:
    return configurations.Route(
        name=work.name,
        host="h",
        path_prefix="/",
        kind=configurations.Repeatability.STREAM,
        timeout_seconds=10.0,
        objective_seconds=work.objective_seconds,
        urgency=work.urgency,
        shares=(configurations.ServiceShare(service=SERVICE, weight=1),),
        most_servers=2 if work.repeatable else 1,
        open=True,
        by_prefix=True,
        resumable=work.repeatable,
        gap_seconds=GAP_SECONDS,
    )


def worth(fleet: Fleet) -> float:
    """Returns the part of their worth that clients get.

    A late answer counts for three tenths; a client that was refused twice has
    waited for nothing, which counts against that.
    """
    found = fleet.outcomes.values()
    got = sum(
        each.in_time + 0.3 * each.late - 0.3 * each.refused for each in found
    )
    return got / max(1, sum(each.asked for each in found))


def line(fleet: Fleet) -> str:
    """Returns a run's figures on one line."""
    parts = [f"worth {worth(fleet):.3f}"]
    for name, each in fleet.outcomes.items():
        firsts = sorted(each.firsts) or [0.0]
        parts.append(
            f"{name} {each.share_in_time():.3f} in time"
            f" (late {each.late} refused {each.refused} failed {each.failed},"
            f" p50 {firsts[len(firsts) // 2]:.2f}"
            f" p90 {firsts[len(firsts) * 9 // 10]:.2f} s)"
        )
    totals = fleet.totals
    parts.append(
        f"read {totals.read / 1e6:.1f}M again {totals.again / 1e6:.2f}M"
        f" kept {totals.kept / 1e6:.1f}M moved {totals.moved_bytes / 1e9:.0f}GB"
        f" not started {totals.not_started}"
    )
    return "; ".join(parts)


def main() -> None:
    """Plays one plan and prints its figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", type=int, default=68)
    parser.add_argument("--engines", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=240.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--weights", type=float, nargs="*", default=[])
    parser.add_argument("--dark", type=float, default=0.0)
    given = parser.parse_args()
    plan = Plan(
        routers=given.routers,
        engines=given.engines,
        seconds=given.seconds,
        rate=given.rate,
        seed=given.seed,
        weights_at=tuple(given.weights),
        dark=(given.dark, 2.5, 16.5),
    )
    print(line(Fleet(plan).play()))


if __name__ == "__main__":
    main()
