"""Runs of placement in virtual time: entries, agents, engines.

One process, one heap of events. Placement and retries at the entries and
admission at the agents are the real decisions; the engines are the bench's.
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
from pimentoledge import results
from pimentoledge.decisions import admission
from pimentoledge.decisions import declarations
from pimentoledge.decisions import placement
from pimentoledge.decisions import retries
from pimentoledge.nodes import messages

_HOP_SECONDS = 0.001
_REPORT_SECONDS = 0.5
_LAG_SECONDS = 0.3
_LONG_LAG_SECONDS = 3.0
_LOST_SHARE = 0.3
_DOWN_SECONDS = 3.0
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
        done: whether it was completed.
        tries: what the entry's retries know of it.
        sent: attempts of it so far.
        crashes: engines that died while they ran it.
        refusals: attempts of it that an agent refused.
        prompt_tokens: prompt tokens of all its starts in an engine.
        cached_tokens: of these, taken from a cache.
        wasted_tokens: of these, computed though a live engine held them.
        sender: entry and the entry's life that sent it last.
    """

    arrival: workloads.Arrival
    first_at: float = 0.0
    done: bool = False
    tries: retries.AttemptState
    sent: int = 0
    crashes: int = 0
    refusals: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    sender: tuple[int, int] = (0, 0)


@attrs.define(kw_only=True)
class Entry:
    """An entry: its policy, its retries and its restarts."""

    number: int
    placer: placement.Placer
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)
    life: int = 0


def _key(job: engines.Job) -> admission.Key:
    return (job.arrival.request, job.attempt)


class Agent:
    """The process beside one engine.

    Attributes:
        engine: its engine.
        admission: decides what runs, waits and is refused.
        jobs: what runs or waits here.
        wake: when admission wants to be asked again.
        incarnation: number of the engine's life; 0 while it is down.
        lives: lives so far.
        stepping: whether a step is under way.
        received: dispatches by entry and the entry's life.
        history: times and truths, oldest first, as far back as the lag.
    """

    def __init__(self, *, engine: engines.Engine):
        self.engine = engine
        self.admission = admission.Admission(
            server=engine.name, slots=engine.pool.slots
        )
        self.jobs: dict[admission.Key, engines.Job] = {}
        self.wake = 0.0
        self.incarnation = 1
        self.lives = 1
        self.stepping = False
        self.received: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self.history: collections.deque[tuple[float, dict]] = (
            collections.deque()
        )

    def queued_tokens(self) -> int:
        """Returns the uncached prompt tokens waiting or in prefill.

        Counted as the real agent does, which doesn't see how far a prefill is
        nor what the cache really had.
        """
        return self.admission.queued_tokens + sum(
            max(0, job.arrival.prompt_tokens - job.expected_tokens)
            for job in self.engine.batch
            if job.tokens_left
        )

    def left_tokens(self) -> int:
        """Returns the same with all known, for the oracles."""
        return self.admission.queued_tokens + self.engine.left_tokens()

    def note(self, now: float, lag: float):
        """Keeps the load of this moment for the reports to come."""
        load = {
            "running": len(self.admission.running),
            "queued": self.admission.queued,
            "queued_tokens": self.queued_tokens(),
            "received": dict(self.received),
        }
        self.history.append((now, load))
        while len(self.history) > 1 and self.history[1][0] <= now - lag:
            self.history.popleft()

    def truth(self, entry: tuple[int, int]) -> messages.ServerStatus:
        """Returns the report for an entry."""
        load = self.history[0][1] if self.history else {"received": {}}
        values = load | {"received": load["received"].get(entry, 0)}
        pool = self.engine.pool
        return messages.ServerStatus(
            server=self.engine.name,
            incarnation=str(self.incarnation) if self.incarnation else "",
            weights=workloads.WEIGHTS,
            slots=pool.slots,
            token_seconds=pool.token_seconds,
            step_seconds=pool.step_seconds,
            **values,
        )


class Run:
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
            each.request: Measured(
                arrival=each,
                tries=retries.AttemptState(deadline=each.at + each.deadline),
            )
            for each in self.arrivals
        }
        self.servers: dict[str, list[declarations.BackendServer]] = {}
        self.agents: dict[str, Agent] = {}
        for pool in workloads.POOLS[deployment]:
            self.add_pool(pool)
        self.entries = [
            Entry(number=number, placer=self.placer(number))
            for number in range(workloads.ENTRIES)
        ]

    def add_pool(self, pool: workloads.RunnerPool):
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
            made.agents = self.agents
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
        entry = self.entries[arrival.entry]
        entry.budget.record_request(self.now)
        self.place(entry.placer, arrival)

    def place(self, placer: placement.Placer, arrival: workloads.Arrival):
        """An entry chooses a server and sends the request there."""
        entry = self.entries[arrival.entry]
        measured = self.measured[arrival.request]
        left = arrival.at + arrival.deadline - self.now
        wanted = placement.PlacementRequest(
            request=arrival.request,
            organisation=arrival.organisation,
            model=arrival.model,
            weights=workloads.WEIGHTS,
            blocks=arrival.blocks,
            block_tokens=workloads.BLOCK_TOKENS,
            prompt_tokens=arrival.prompt_tokens,
            priority=arrival.priority,
            seconds_left=left,
            avoid=frozenset(measured.tries.avoid),
        )
        servers = self.servers[arrival.model]
        choice = placer.choose(wanted, servers, self.now)
        if choice.server is None:
            self.retry(arrival, retries.NoCandidate())
            return
        tokens = arrival.prompt_tokens - choice.expected_depth
        placer.sent(choice.server, arrival.request, tokens, self.now)
        measured.sent += 1
        job = engines.Job(
            arrival=arrival,
            attempt=measured.sent,
            expected_tokens=choice.expected_depth,
            crashes=measured.crashes,
        )
        sender = (entry.number, entry.life)
        self.at(
            self.now + _HOP_SECONDS,
            self.dispatched,
            choice,
            job,
            sender,
        )

    def dispatch(self, choice, job: engines.Job) -> messages.Dispatch:
        """Returns what an agent's admission is offered."""
        arrival = job.arrival
        return messages.Dispatch(
            request=arrival.request,
            attempt=job.attempt,
            organisation=arrival.organisation,
            priority=arrival.priority,
            seconds_left=arrival.at + arrival.deadline - self.now,
            server=choice.server,
            incarnation=choice.incarnation,
            weights=workloads.WEIGHTS,
            expected_depth=job.expected_tokens,
            prompt_tokens=arrival.prompt_tokens,
            fingerprint=arrival.request.encode(),
            crashes=job.crashes,
            completion=messages.Completion(
                model=arrival.model,
                prompt="",
                max_tokens=arrival.output_tokens,
            ),
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

    def learned(self, placer: placement.Placer, truth: messages.ServerStatus):
        """A report reached an entry."""
        placer.learned(truth, self.now)

    def failed(self, placer, truth, job: engines.Job, failure: retries.Failure):
        """An entry's dispatch was refused, or broke."""
        placer.learned(truth, self.now)
        self.retry(job.arrival, failure)

    def retry(self, arrival: workloads.Arrival, failure: retries.Failure):
        """An entry tries again, or gives up."""
        entry = self.entries[arrival.entry]
        tries = self.measured[arrival.request].tries
        match retries.next_step(tries, failure, entry.budget, self.now):
            case retries.Retry(delay=delay):
                sender = (entry.number, entry.life)
                at = self.now + delay
                self.at(at, self.told, sender, self.place, (arrival,))

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
        if self.now < workloads.DURATION_SECONDS:
            self.at(self.now + _REPORT_SECONDS, self.report, name)

    def dispatched(self, choice, job: engines.Job, sender):
        """A request reached an agent."""
        agent = self.agents[choice.server]
        agent.received[sender] += 1
        measured = self.measured[job.arrival.request]
        measured.sender = sender
        verdict = agent.admission.offer(
            self.dispatch(choice, job),
            f"{sender}",
            agent.truth(sender),
            self.now,
        )
        match verdict:
            case admission.Refuse():
                self.refuse(agent, job, verdict.code)
            case admission.Queue():
                agent.jobs[_key(job)] = job
            case admission.Admit(pause=pause):
                for key in pause:
                    agent.engine.cancel(agent.jobs[key])
                    agent.admission.paused(*key, self.now)
                agent.jobs[_key(job)] = job
                agent.engine.submit(job)
        self.tend(choice.server)
        if _key(job) in agent.jobs:
            truth = agent.truth(sender)
            self.tell(sender, self.learned, truth, lossy=True)

    def refuse(self, agent: Agent, job: engines.Job, code: results.Code):
        """An agent gives back a request that didn't run."""
        self.measured[job.arrival.request].refusals += 1
        server = agent.engine.name
        self.give_back(agent, job, retries.NotRun(server=server, code=code))

    def broke(self, agent: Agent, job: engines.Job, code: results.Code):
        """An agent gives back a request that had run."""
        server = agent.engine.name
        ran = results.Ran.RAN
        failure = retries.Broken(server=server, code=code, ran=ran)
        self.give_back(agent, job, failure)

    def give_back(self, agent: Agent, job: engines.Job, failure):
        """An agent tells an entry that a request won't be answered here."""
        agent.note(self.now, self.lag)
        sender = self.measured[job.arrival.request].sender
        self.tell(sender, self.failed, agent.truth(sender), job, failure)

    def tend(self, name: str):
        """Has an agent refuse what is too late and start what may start."""
        agent = self.agents[name]
        for refused in agent.admission.expired(self.now):
            key = (refused.dispatch.request, refused.dispatch.attempt)
            give_back = self.broke if refused.started else self.refuse
            give_back(agent, agent.jobs.pop(key), refused.code)
        for ready in agent.admission.ready(self.now):
            key = (ready.dispatch.request, ready.dispatch.attempt)
            agent.engine.submit(agent.jobs[key])
        agent.note(self.now, self.lag)
        wake = agent.admission.next_wake()
        if wake is not None and not self.now < agent.wake <= wake:
            agent.wake = wake
            self.at(wake, self.tend, name)
        self.step(name)

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
        for job in first:
            measured = self.measured[job.arrival.request]
            if not measured.first_at:
                measured.first_at = self.now + _HOP_SECONDS
            agent.admission.proved(*_key(job))
        for job in done:
            del agent.jobs[_key(job)]
            uncached = job.arrival.prompt_tokens - job.cached
            agent.admission.ended(
                *_key(job),
                self.now,
                finished=True,
                tokens=uncached + job.generated,
            )
        self.tend(name)
        for job in done:
            measured = self.measured[job.arrival.request]
            measured.done = True
            truth = agent.truth(measured.sender)
            self.tell(measured.sender, self.finished, truth, job, lossy=True)

    def crash(self, name: str):
        """An engine dies; what it ran is run again elsewhere."""
        agent = self.agents[name]
        agent.engine.crash()
        waited = {each.request for each in agent.admission.clear()}
        lost = list(agent.jobs.values())
        agent.jobs.clear()
        agent.incarnation = 0
        agent.lives += 1
        agent.stepping = False
        self.at(self.now + _DOWN_SECONDS, self.reboot, name)
        for job in lost:
            if job.arrival.request in waited:
                self.refuse(agent, job, results.Code.SERVER_DOWN)
                continue
            self.measured[job.arrival.request].crashes += 1
            self.broke(agent, job, results.Code.ENGINE_DIED)

    def reboot(self, name: str):
        """An engine is back, empty."""
        self.agents[name].incarnation = self.agents[name].lives
