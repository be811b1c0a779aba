"""Organisations that compete for runners, in virtual time.

Routers decide with the product's own code; runners are simple: one prefill
after the other, then a time for the response that depends on its kind.
"""

import collections
from collections.abc import Callable
import functools
import random

import attrs

from benches import fleet_engines
from pimentoledge.routing import attempt_loads
from pimentoledge.routing import backends
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import daemons
from pimentoledge.routing import load_controls
from pimentoledge.routing import load_reports
from pimentoledge.routing import peer_messages
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import rosters
from pimentoledge.routing import selections
from pimentoledge.routing.fair_shares import share_demands
from pimentoledge.routing.fair_shares import share_reports
from pimentoledge.routing.request_stages import server_choices

SERVICE = "s"
MODEL = "m"
HOP_SECONDS = 0.002
# Figures of Meda's runners.
SLOTS = 64
MEMORY_TOKENS = 88_745
TOKENS_PER_SECOND = 36_100


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        prompt: prompt tokens, none of them shared.
        answer: most answer tokens.
        seconds: time from the first event to the end.
        urgency: urgency of its route.
        objective_seconds: target time to the first event.
    """

    prompt: int
    answer: int
    seconds: float
    urgency: int
    objective_seconds: float

    def route(self) -> configurations.Route:
        """Returns its route."""
        share = configurations.ServiceShare(service=SERVICE, weight=1)
        return configurations.Route(
            name=f"u{self.urgency}",
            host="h",
            path_prefix="/",
            kind=configurations.Repeatability.STREAM,
            timeout_seconds=10.0,
            objective_seconds=self.objective_seconds,
            urgency=self.urgency,
            shares=(share,),
            most_servers=1,
            open=False,
            by_prefix=False,
            resumable=False,
            gap_seconds=None,
        )


SHORT = Kind(
    prompt=198, answer=628, seconds=2.0, urgency=0, objective_seconds=0.515
)
LONG = Kind(
    prompt=2890, answer=7, seconds=0.6, urgency=2, objective_seconds=1.535
)


@attrs.frozen(kw_only=True)
class Load:
    """What one organisation sends.

    Attributes:
        organisation: its name.
        kind: the kind of its requests.
        rate: requests per second.
        routers: routers that it sends through, or None for all.
        since: when it begins.
        until: when it ends.
    """

    organisation: str
    kind: Kind
    rate: float
    routers: tuple[int, ...] | None = None
    since: float = 0.0
    until: float = float("inf")


class Runner:
    """One runner: slots, and one prefill after the other."""

    def __init__(self, scheduler: fleet_engines.Scheduler, slowdown: float):
        self.scheduler = scheduler
        self.slowdown = slowdown
        self.running = 0
        self.held = 0
        self.queue: collections.deque = collections.deque()
        self._prefilled_at = 0.0

    def load(self) -> request_types.ServerLoad:
        """Returns its load report."""
        return request_types.ServerLoad(
            running=self.running,
            waiting=len(self.queue),
            slots=SLOTS,
            slowdown=self.slowdown,
        )

    def submit(
        self,
        kind: Kind,
        first: Callable[[], None],
        ended: Callable[[], None],
    ) -> None:
        """Runs a request, or queues it for a slot and memory."""
        self.queue.append((kind, first, ended))
        self._start()

    def _start(self) -> None:
        while self.queue and self.running < SLOTS:
            kind, first, ended = self.queue[0]
            tokens = kind.prompt + kind.answer
            if self.running and self.held + tokens > MEMORY_TOKENS:
                return
            self.queue.popleft()
            self.running += 1
            self.held += tokens
            now = self.scheduler.now
            seconds = self.slowdown * kind.prompt / TOKENS_PER_SECOND
            self._prefilled_at = max(now, self._prefilled_at) + seconds
            self.scheduler.schedule(self._prefilled_at, first)
            self.scheduler.schedule(
                self._prefilled_at + kind.seconds * self.slowdown,
                functools.partial(self._end, tokens, ended),
            )

    def _end(self, tokens: int, ended: Callable[[], None]) -> None:
        self.running -= 1
        self.held -= tokens
        ended()
        self._start()


class Roster:
    """A roster whose routers are present while they are reached."""

    def __init__(self, world: "World", own: str):
        self.world = world
        self.own = own

    def present(self, now: float) -> dict[str, rosters.Peer]:
        """Returns the routers that this one reaches."""
        return {
            name: rosters.Peer(data_centre="a")
            for name in self.world.names
            if name != self.own and not self.world.away & {name, self.own}
        }

    members = present

    @property
    def known(self) -> dict[str, rosters.Peer]:
        """Returns all other routers."""
        return {
            name: rosters.Peer(data_centre="a")
            for name in self.world.names
            if name != self.own
        }

    def reaches_all(self) -> bool:
        """Returns that every router sends its reports to all others."""
        return True


@attrs.define
class Tally:
    """Requests asked and served, and requests late at their first event."""

    asked: int = 0
    served: int = 0
    late: int = 0

    def ratio(self) -> float:
        """Returns the part that was served."""
        return self.served / self.asked if self.asked else 1.0


class World:
    """Routers, runners and the organisations' loads.

    Attributes:
        scheduler: virtual time.
        views: the routers' views of the cluster.
        names: the routers' mailboxes.
        away: mailboxes that are cut off or killed.
        killed: numbers of killed routers.
        tallies: what was asked and served, by organisation and urgency.
        runners: the runners by incarnation.
        used: sum over time of the runners' slots in use, from `counted_from`.
        counted_from: time from which requests are counted.
    """

    def __init__(
        self,
        *,
        loads: list[Load],
        routers: int = 4,
        runners: int = 2,
        seed: int = 1,
        mode: load_controls.Mode = load_controls.Mode.AUTO,
        organisations: list[configurations.Organisation] = (),
        new_shares: Callable[[], object] | None = None,
        exchanges_shares: bool = True,
        counted_from: float = 4.0,
    ):
        self.scheduler = fleet_engines.Scheduler()
        self.random = random.Random(seed)
        self.loads = loads
        self.away: set[str] = set()
        self.killed: set[int] = set()
        self.counted_from = counted_from
        self.tallies: dict[tuple[str, int], Tally] = collections.defaultdict(
            Tally
        )
        self.used = 0.0
        self.runners = {
            f"r{n}": Runner(self.scheduler, 1.0) for n in range(runners)
        }
        self.names = [f"tcp://{n}" for n in range(routers)]
        self.exchanges_shares = exchanges_shares
        self.organisations = {each.name: each for each in organisations}
        for each in loads:
            self.organisations.setdefault(
                each.organisation, organisation(each.organisation)
            )
        self.views: list[cluster_views.ClusterView] = []
        self.reports: list[load_reports.LoadReports] = []
        for name in self.names:
            self._add_router(name, mode, new_shares)
        for each in loads:
            self.scheduler.schedule(
                each.since, functools.partial(self._arrive, each)
            )
        for number in range(routers):
            self.scheduler.schedule(
                daemons.TICK_SECONDS * number / routers,
                functools.partial(self._tick, number),
            )

    def _add_router(self, name, mode, new_shares) -> None:
        view = cluster_views.ClusterView(
            name=name,
            data_centre="a",
            started_at=0.0,
            load_control=load_controls.LoadControl(mode=mode),
        )
        if new_shares is not None:
            view.fair_shares = new_shares()
        service = configurations.Service(
            name=SERVICE,
            max_connections=0,
            models=(MODEL,),
            slots=SLOTS,
            cache_tokens=MEMORY_TOKENS,
            cache_address=None,
            data_centre=None,
        )
        view.configuration = configurations.build(
            version=1,
            routes=[],
            organisations=list(self.organisations.values()),
            services=[service],
            limits=configurations.ClientLimits(),
        )
        for server in self.runners:
            view.servers.put(
                registrations.Registration(
                    server=server,
                    service=SERVICE,
                    address=f"{server}:80",
                    data_centre="a",
                    slots=SLOTS,
                    leaving=False,
                    weights={MODEL: 1},
                )
            )
        reports = load_reports.LoadReports(
            view=view,
            roster=Roster(self, name),
            send_all=functools.partial(self._send_all, name),
        )
        reports.parts.append(share_reports.ShareReports(view=view))
        self.views.append(view)
        self.reports.append(reports)

    def _send_all(
        self, sender: str, receivers: list[str], message: object
    ) -> None:
        if not self.exchanges_shares:
            message = attrs.evolve(message, shares=[])
        for each in receivers:
            if not self.away & {sender, each}:
                self.scheduler.schedule_after(
                    HOP_SECONDS,
                    functools.partial(self.deliver, sender, each, message),
                )

    def deliver(
        self, sender: str, receiver: str, report: peer_messages.LoadReport
    ) -> None:
        """Delivers a load report."""
        self.reports[self.names.index(receiver)].receive(
            sender, report, self.scheduler.now
        )

    def _tick(self, number: int) -> None:
        if number in self.killed:
            return
        self.reports[number].tick(self.scheduler.now)
        if number == 0 and self.scheduler.now >= self.counted_from:
            running = sum(each.running for each in self.runners.values())
            self.used += running * daemons.TICK_SECONDS
        self.scheduler.schedule_after(
            daemons.TICK_SECONDS, functools.partial(self._tick, number)
        )

    def kill(self, number: int) -> None:
        """Kills a router; its requests go on at the runners."""
        self.killed.add(number)
        self.away.add(self.names[number])

    def run(self, until: float) -> "World":
        """Runs the simulation up to a time and returns this world."""
        self.scheduler.run(until)
        return self

    def _arrive(self, load: Load) -> None:
        now = self.scheduler.now
        if now >= load.until:
            return
        self.scheduler.schedule_after(
            self.random.expovariate(load.rate),
            functools.partial(self._arrive, load),
        )
        routers = load.routers or range(len(self.views))
        number = self.random.choice(
            [each for each in routers if each not in self.killed]
        )
        arrival = request(load.kind, now, str(self.random.random()))
        view = self.views[number]
        view.mean_unshared(MODEL).note(load.kind.prompt + load.kind.answer)
        shares = share_demands.counting(view, SERVICE)
        if shares is not None:
            shares.served.note_asked(
                SERVICE, load.organisation, load.kind.urgency, now
            )
        if now >= self.counted_from:
            self._tally(load).asked += 1
        self._try(view, number, load, arrival)

    def _tally(self, load: Load) -> Tally:
        return self.tallies[load.organisation, load.kind.urgency]

    def _try(self, view, number, load: Load, request) -> None:
        """Chooses a runner as `exchanges` does, or waits, or refuses."""
        if number in self.killed:
            return
        now = self.scheduler.now
        route = load.kind.route()
        choice = selections.select(
            view=view,
            client_request=request,
            route=route,
            organisation=self.organisations[load.organisation],
            without=set(),
            now=now,
        )
        if isinstance(choice, placements.Choice):
            self._send(view, number, load, request, choice.backend)
            return
        wait = server_choices.WAIT_SHARE * route.objective_seconds
        if now - request.arrived < wait:
            self.scheduler.schedule_after(
                server_choices.WAIT_STEP_SECONDS,
                functools.partial(self._try, view, number, load, request),
            )
            return
        shares = share_demands.counting(view, SERVICE)
        if shares is not None:
            shares.served.note_refused(
                SERVICE, load.organisation, load.kind.urgency, now
            )

    def _send(
        self, view, number, load, request, backend: backends.Backend
    ) -> None:
        now = self.scheduler.now
        attempt = attempt_loads.AttemptLoad(
            client_request=request,
            backend=backend,
            dispatch=request_types.Dispatch(
                server=backend.registration.server,
                organisation=load.organisation,
                seconds_left=10.0,
                to_read=load.kind.prompt,
            ),
            fair_shares=share_demands.counting(view, SERVICE),
        )
        attempt.start(selections.speeds_of(view, MODEL, SERVICE), now)
        self.reports[number].prompt_changed(request.prompt_tokens, now)
        counted = request.arrived >= self.counted_from
        if counted:
            self._tally(load).served += 1
        runner = self.runners[backend.registration.server]

        def first() -> None:
            seconds = self.scheduler.now - request.arrived
            if counted and seconds > load.kind.objective_seconds:
                self._tally(load).late += 1
            if number not in self.killed:
                report()
                attempt.note_first_event(
                    view.first_event(MODEL), self.scheduler.now
                )

        def report() -> None:
            backend.update_load(runner.load(), self.scheduler.now)
            view.load_control.note_report(SERVICE, runner.load())

        def ended() -> None:
            if number not in self.killed:
                report()
                attempt.close(self.scheduler.now)

        runner.submit(load.kind, first, ended)

    def ratio(self, organisation: str, urgency: int | None = None) -> float:
        """Returns the part of an organisation's requests that was served."""
        found = Tally()
        for (name, kind), tally in self.tallies.items():
            if name == organisation and urgency in (None, kind):
                found.asked += tally.asked
                found.served += tally.served
        return found.ratio()

    def total(self, urgency: int | None = None) -> Tally:
        """Returns the sums over all organisations."""
        found = Tally()
        for (_, kind), tally in self.tallies.items():
            if urgency in (None, kind):
                found.asked += tally.asked
                found.served += tally.served
                found.late += tally.late
        return found

    def busy_share(self) -> float:
        """Returns the mean part of the runners' slots in use."""
        seconds = self.scheduler.now - self.counted_from
        return self.used / seconds / (SLOTS * len(self.runners))


def organisation(name: str, **fields: object) -> configurations.Organisation:
    """Returns an organisation."""
    defaults = {"urgency": None, "isolated": False}
    return configurations.Organisation(
        name=name, keys=(name,), **(defaults | fields)
    )


def request(
    kind: Kind, now: float, name: str = "q"
) -> request_types.ClientRequest:
    """Returns a request of a kind that arrives now."""
    return request_types.ClientRequest(
        request=name,
        method=b"POST",
        host="h",
        target=b"/",
        path="/",
        key=None,
        wait_seconds=10.0,
        model=MODEL,
        prompt_tokens=kind.prompt,
        answer_tokens=kind.answer,
        parts=(),
        resume_after=None,
        passed_on=[],
        body=b"",
        arrived=now,
    )
