"""The path of a request in virtual time: entries, agents, engines.

One process, one heap of events. The entries' decisions are the real ones;
the agents here only queue, refuse and report.
"""

import collections
import enum
import heapq
import itertools
import random

import attrs

from benches import baselines
from benches import engines
from benches import workloads
from pimentoledge.decisions import declarations
from pimentoledge.decisions import placement
from pimentoledge.nodes import messages

_HOP_SECONDS = 0.001
_REPORT_SECONDS = 0.5
_LAG_SECONDS = 0.3
_LONG_LAG_SECONDS = 3.0
_LOST_SHARE = 0.3
_DOWN_SECONDS = 3.0
_ATTEMPTS = 4
_CRASHES = 2
_RUSH_LOAD = 1.3


class Fault(enum.StrEnum):
    """What goes wrong; the last three from FAULT_AT on."""

    NONE = "none"
    RUSH = "rush"
    EVENTS_LOST = "events lost"
    REPORTS_LAG = "reports lag"
    CRASH = "engine crash"
    HOT_SHIFT = "hot shift"
    HERD_RESTART = "herd restart"


SUDDEN = (Fault.CRASH, Fault.HOT_SHIFT, Fault.HERD_RESTART)


@attrs.define(kw_only=True)
class Measured:
    """What became of one request.

    Attributes:
        arrival: the request.
        first_at: when its first token reached the entry; 0 for never.
        refused: whether it was refused in the end.
        prompt_tokens: prompt tokens of all its starts in an engine.
        cached_tokens: of these, taken from a cache.
        wasted_tokens: of these, computed though a live engine held them.
        sender: entry and the entry's life that sent it last.
    """

    arrival: workloads.Arrival
    first_at: float = 0.0
    refused: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    sender: tuple[int, int] = (0, 0)


@attrs.define(kw_only=True)
class Entry:
    """An entry: its policy and its restarts."""

    number: int
    placer: placement.Placer
    life: int = 0


class Agent:
    """The process beside one engine.

    Attributes:
        engine: its engine.
        incarnation: number of the engine's life; 0 while it is down.
        lives: lives so far.
        stepping: whether a step is under way.
        received: dispatches by entry and the entry's life.
        history: times and truths, oldest first, as far back as the lag.
    """

    def __init__(self, *, engine: engines.Engine):
        self.engine = engine
        self.incarnation = 1
        self.lives = 1
        self.stepping = False
        self.received: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self.history: collections.deque[tuple[float, dict]] = (
            collections.deque()
        )

    def note(self, now: float, lag: float):
        """Keeps the load of this moment for the reports to come."""
        engine = self.engine
        load = {
            "running": len(engine.batch),
            "queued": engine.queued(),
            "queued_tokens": engine.queued_tokens(),
            "received": dict(self.received),
        }
        self.history.append((now, load))
        while len(self.history) > 1 and self.history[1][0] <= now - lag:
            self.history.popleft()

    def truth(self, entry: tuple[int, int]) -> messages.Truth:
        """Returns the report for an entry."""
        load = self.history[0][1] if self.history else {"received": {}}
        values = load | {"received": load["received"].get(entry, 0)}
        pool = self.engine.pool
        return messages.Truth(
            server=self.engine.name,
            incarnation=str(self.incarnation) if self.incarnation else "",
            weights=workloads.WEIGHTS,
            slots=pool.slots,
            token_seconds=pool.token_seconds,
            step_seconds=pool.step_seconds,
            **values,
        )


class Path:
    """One run of one policy over one workload with one fault."""

    def __init__(
        self,
        *,
        deployment: workloads.Deployment,
        policy: str,
        fault: Fault,
        seed: int,
    ):
        self.fault = fault
        self.policy = policy
        self.rng = random.Random(seed)
        self.seed = seed
        self.now = 0.0
        self.heap: list = []
        self.order = itertools.count()
        self.lag = _LAG_SECONDS
        if fault == Fault.REPORTS_LAG:
            self.lag = _LONG_LAG_SECONDS
        self.arrivals = workloads.arrivals(
            deployment,
            seed,
            fault == Fault.HOT_SHIFT,
            _RUSH_LOAD if fault == Fault.RUSH else 1.0,
        )
        self.measured = {
            each.request: Measured(arrival=each) for each in self.arrivals
        }
        self.servers: dict[str, list[declarations.BackendServer]] = {}
        self.agents: dict[str, Agent] = {}
        for pool in workloads.POOLS[deployment]:
            self.add_pool(pool)
        self.entries = [
            Entry(number=number, placer=self.placer(number))
            for number in range(workloads.ENTRIES)
        ]

    def add_pool(self, pool: workloads.Pool):
        """Makes the runners of one pool."""
        holders = engines.Holders()
        servers = []
        for number in range(pool.runners):
            name = f"{pool.model}-{number}"
            engine = engines.Engine(name=name, pool=pool, holders=holders)
            self.agents[name] = Agent(engine=engine)
            place = number % len(workloads.DATA_CENTRES)
            server = declarations.BackendServer(
                name=name,
                serves=pool.model,
                agent="tcp://127.0.0.1:1",
                data_centre=workloads.DATA_CENTRES[place],
                slots=pool.slots,
            )
            servers.append(server)
        self.servers[pool.model] = servers

    def placer(self, number: int, life: int = 0) -> placement.Placer:
        """Returns a new policy for an entry."""
        place = number % len(workloads.DATA_CENTRES)
        made = baselines.POLICIES[self.policy](
            seed=self.seed * 1000 + number * 10 + life,
            data_centre=workloads.DATA_CENTRES[place],
        )
        if self.policy in baselines.ORACLES:
            made.engines = {
                name: agent.engine for name, agent in self.agents.items()
            }
        return made

    def at(self, time: float, act, *args):
        """Has a method called at a time."""
        heapq.heappush(self.heap, (time, next(self.order), act, args))

    def run(self) -> list[Measured]:
        """Runs to the end and returns what became of each request."""
        for arrival in self.arrivals:
            self.at(arrival.at, self.arrive, arrival)
        for offset, name in enumerate(self.agents):
            start = _REPORT_SECONDS * offset / len(self.agents)
            self.at(start, self.report, name)
        if self.fault == Fault.CRASH:
            for name in list(self.agents)[:_CRASHES]:
                self.at(workloads.FAULT_AT, self.crash, name)
        if self.fault == Fault.HERD_RESTART:
            self.at(workloads.FAULT_AT, self.restart_entries)
        while self.heap:
            self.now, _, act, args = heapq.heappop(self.heap)
            act(*args)
        return list(self.measured.values())

    # Entries.

    def arrive(self, arrival: workloads.Arrival):
        """A request reaches its entry."""
        self.place(arrival, 1, frozenset())

    def place(
        self, arrival: workloads.Arrival, attempt: int, avoid: frozenset[str]
    ):
        """An entry chooses a server and sends the request there."""
        entry = self.entries[arrival.entry]
        left = arrival.at + arrival.deadline - self.now
        wanted = placement.Wanted(
            request=arrival.request,
            organisation=arrival.organisation,
            model=arrival.model,
            weights=workloads.WEIGHTS,
            blocks=arrival.blocks,
            block_tokens=workloads.BLOCK_TOKENS,
            prompt_tokens=arrival.prompt_tokens,
            priority=arrival.priority,
            seconds_left=left,
            avoid=avoid,
        )
        servers = self.servers[arrival.model]
        choice = entry.placer.choose(wanted, servers, self.now)
        if choice.server is None or attempt > _ATTEMPTS or left <= 0:
            self.measured[arrival.request].refused = True
            return
        tokens = arrival.prompt_tokens - choice.expected_depth
        entry.placer.sent(choice.server, arrival.request, tokens, self.now)
        job = engines.Job(
            arrival=arrival, attempt=attempt, expected=choice.expected_depth
        )
        sender = (entry.number, entry.life)
        self.at(
            self.now + _HOP_SECONDS,
            self.dispatched,
            choice,
            job,
            sender,
            avoid,
        )

    def tell(self, sender: tuple[int, int], act, *args, lossy: bool = False):
        """Sends something back to an entry, if that life of it still runs."""
        lost = lossy and self.fault == Fault.EVENTS_LOST
        if lost and self.rng.random() < _LOST_SHARE:
            return
        self.at(self.now + _HOP_SECONDS, self.told, sender, act, args)

    def told(self, sender: tuple[int, int], act, args):
        """Something came back to an entry."""
        entry = self.entries[sender[0]]
        if entry.life == sender[1]:
            act(entry.placer, *args)

    def learned(self, placer: placement.Placer, truth: messages.Truth):
        """A report reached an entry."""
        placer.learned(truth, self.now)

    def refused(self, placer, truth, arrival, attempt, avoid):
        """An entry's dispatch was refused; it tries elsewhere."""
        placer.learned(truth, self.now)
        self.place(arrival, attempt + 1, avoid)

    def finished(self, placer, truth, job: engines.Job):
        """A request's end reached its entry."""
        placer.learned(truth, self.now)
        placer.finished(
            truth.server,
            job.arrival.request,
            job.arrival.blocks,
            job.cached,
            self.now,
        )

    def restart_entries(self):
        """All entries start anew and know nothing."""
        for entry in self.entries:
            entry.life += 1
            entry.placer = self.placer(entry.number, entry.life)

    # Agents.

    def report(self, name: str):
        """An agent tells every entry its truth, again and again."""
        agent = self.agents[name]
        agent.note(self.now, self.lag)
        for entry in self.entries:
            sender = (entry.number, entry.life)
            truth = agent.truth(sender)
            self.tell(sender, self.learned, truth, lossy=True)
        if self.now < workloads.SECONDS:
            self.at(self.now + _REPORT_SECONDS, self.report, name)

    def dispatched(self, choice, job: engines.Job, sender, avoid):
        """A request reached an agent."""
        agent = self.agents[choice.server]
        agent.received[sender] += 1
        assumed = choice.incarnation
        stale = assumed and assumed != str(agent.incarnation)
        if not agent.incarnation or stale or self.late(agent, job):
            agent.note(self.now, self.lag)
            if not stale:
                avoid = avoid | {choice.server}
            self.tell(
                sender,
                self.refused,
                agent.truth(sender),
                job.arrival,
                job.attempt,
                avoid,
            )
            return
        agent.engine.submit(job)
        self.measured[job.arrival.request].sender = sender
        agent.note(self.now, self.lag)
        self.tell(sender, self.learned, agent.truth(sender), lossy=True)
        self.step(choice.server)

    def late(self, agent: Agent, job: engines.Job) -> bool:
        """Returns whether a request's deadline can't be met here."""
        engine = agent.engine
        wait = engine.queued_tokens() * engine.pool.token_seconds
        return self.now + wait > job.arrival.at + job.arrival.deadline

    def step(self, name: str):
        """Begins a step of an engine that isn't in one."""
        agent = self.agents[name]
        if agent.stepping or agent.engine.idle():
            return
        agent.stepping = True
        seconds = agent.engine.start_step()
        for job, wasted in agent.engine.started:
            measured = self.measured[job.arrival.request]
            measured.prompt_tokens += job.arrival.prompt_tokens
            measured.cached_tokens += job.cached
            measured.wasted_tokens += wasted
        agent.engine.started.clear()
        self.at(self.now + seconds, self.stepped, name, agent.lives)

    def stepped(self, name: str, life: int):
        """A step of an engine is over."""
        agent = self.agents[name]
        if agent.lives != life:
            return
        agent.stepping = False
        first, done = agent.engine.end_step()
        agent.note(self.now, self.lag)
        for job in first:
            measured = self.measured[job.arrival.request]
            if not measured.first_at:
                measured.first_at = self.now + _HOP_SECONDS
        for job in done:
            sender = self.measured[job.arrival.request].sender
            truth = agent.truth(sender)
            self.tell(sender, self.finished, truth, job, lossy=True)
        self.step(name)

    def crash(self, name: str):
        """An engine dies; what it ran is run again elsewhere."""
        agent = self.agents[name]
        lost = agent.engine.crash()
        agent.incarnation = 0
        agent.lives += 1
        agent.stepping = False
        agent.note(self.now, self.lag)
        self.at(self.now + _DOWN_SECONDS, self.reboot, name)
        for job in lost:
            sender = self.measured[job.arrival.request].sender
            self.tell(
                sender,
                self.refused,
                agent.truth(sender),
                job.arrival,
                job.attempt,
                frozenset([name]),
            )

    def reboot(self, name: str):
        """An engine is back, empty."""
        self.agents[name].incarnation = self.agents[name].lives
