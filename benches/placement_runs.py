"""Simulates placement over entries, agents and engines in virtual time.

A run has one heap of events in one process. Placement and retries at the
entries and admission at the agents use the real code; the engines are models
from benches.engines.
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
_REPORT_LAG_SECONDS = 0.3
_LONG_REPORT_LAG_SECONDS = 3.0
_LOSS_PROBABILITY = 0.3
_DOWN_SECONDS = 3.0
_CRASHED_ENGINES = 2
_RUSH_LOAD_FACTOR = 1.3


class Fault(enum.StrEnum):
    """Fault injected into a run; the last three occur at FAULT_AT."""

    NONE = "none"
    RUSH = "rush"
    EVENTS_LOST = "events lost"
    REPORTS_LAG = "reports lag"
    CRASH = "engine crash"
    HOT_SHIFT = "hot shift"
    HERD_RESTART = "herd restart"


SUDDEN_FAULTS = (Fault.CRASH, Fault.HOT_SHIFT, Fault.HERD_RESTART)


@attrs.define(kw_only=True)
class RequestResult:
    """Result of one request.

    Attributes:
        arrival: the request.
        first_token_at: when its first token reached the entry; 0 for never.
        completed: whether it was completed.
        attempt_state: state of the entry's retries for it.
        attempts: attempts so far.
        crashes: engines that crashed while they ran it.
        refusals: attempts that an agent refused.
        prompt_tokens: prompt tokens of all its starts in an engine.
        cached_tokens: those of them found in the engine's cache.
        wasted_tokens: those of them computed although a running engine had
            them cached.
        sender: number and incarnation of the entry that sent it last.
    """

    arrival: workloads.Arrival
    first_token_at: float = 0.0
    completed: bool = False
    attempt_state: retries.AttemptState
    attempts: int = 0
    crashes: int = 0
    refusals: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    sender: tuple[int, int] = (0, 0)


@attrs.define(kw_only=True)
class Entry:
    """An entry with its placement policy and retry budget.

    Attributes:
        number: number of the entry.
        placer: placement policy.
        budget: retry budget.
        incarnation: number of restarts.
    """

    number: int
    placer: placement.Placer
    budget: retries.RetryBudget = attrs.field(factory=retries.RetryBudget)
    incarnation: int = 0


def _admission_key(job: engines.Job) -> admission.Key:
    return (job.arrival.request, job.attempt)


class Agent:
    """The agent of one engine.

    Attributes:
        engine: its engine.
        admission: admission control of the engine.
        jobs: running and waiting jobs.
        scheduled_wake: when `Run.update_admission` is scheduled next.
        incarnation: incarnation of the engine; 0 while it is down.
        start_count: incarnations of the engine so far, counting one that is
            about to start after a crash.
        in_step: whether the engine is in a step.
        received: dispatches by the number and incarnation of their entry.
        load_history: times and loads, oldest first, back to the report lag.
    """

    def __init__(self, *, engine: engines.Engine):
        self.engine = engine
        self.admission = admission.Admission(
            server=engine.name, slots=engine.pool.slots
        )
        self.jobs: dict[admission.Key, engines.Job] = {}
        self.scheduled_wake = 0.0
        self.incarnation = 1
        self.start_count = 1
        self.in_step = False
        self.received: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self.load_history: collections.deque[tuple[float, dict]] = (
            collections.deque()
        )

    def queued_tokens(self) -> int:
        """Returns the uncached prompt tokens waiting or in prefill.

        Counted like the real agent, which sees neither the progress of a
        prefill nor how much was actually cached.
        """
        return self.admission.queued_tokens + sum(
            max(0, job.arrival.prompt_tokens - job.expected_tokens)
            for job in self.engine.batch
            if job.tokens_left
        )

    def left_tokens(self) -> int:
        """Returns the exact number of such tokens, for the oracles."""
        return self.admission.queued_tokens + self.engine.left_tokens()

    def record_load(self, now: float, lag: float):
        """Records the current load; drops loads older than the report lag."""
        load = {
            "running": len(self.admission.running),
            "queued": self.admission.queued,
            "queued_tokens": self.queued_tokens(),
            "received": dict(self.received),
        }
        self.load_history.append((now, load))
        while (
            len(self.load_history) > 1 and self.load_history[1][0] <= now - lag
        ):
            self.load_history.popleft()

    def status(self, entry: tuple[int, int]) -> messages.ServerStatus:
        """Returns the status report for an entry and its incarnation."""
        load = (
            self.load_history[0][1] if self.load_history else {"received": {}}
        )
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
    """Simulation of one policy on one workload with one fault."""

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
        self.events: list = []
        self.sequence = itertools.count()
        self.report_lag = _REPORT_LAG_SECONDS
        if fault == Fault.REPORTS_LAG:
            self.report_lag = _LONG_REPORT_LAG_SECONDS
        self.arrivals = workloads.arrivals(
            deployment,
            seed,
            fault == Fault.HOT_SHIFT,
            _RUSH_LOAD_FACTOR if fault == Fault.RUSH else 1.0,
        )
        self.request_results = {
            each.request: RequestResult(
                arrival=each,
                attempt_state=retries.AttemptState(
                    deadline=each.at + each.deadline
                ),
            )
            for each in self.arrivals
        }
        self.servers: dict[str, list[declarations.BackendServer]] = {}
        self.agents: dict[str, Agent] = {}
        for pool in workloads.POOLS[deployment]:
            self.add_pool(pool)
        self.entries = [
            Entry(number=number, placer=self.new_placer(number))
            for number in range(workloads.ENTRIES)
        ]

    def add_pool(self, pool: workloads.RunnerPool):
        """Creates the runners of one pool."""
        holders = engines.Holders()
        servers = []
        for number in range(pool.runners):
            name = f"{pool.model}-{number}"
            engine = engines.Engine(name=name, pool=pool, holders=holders)
            self.agents[name] = Agent(engine=engine)
            data_centre_index = number % len(workloads.DATA_CENTRES)
            server = declarations.BackendServer(
                name=name,
                serves=pool.model,
                agent="tcp://127.0.0.1:1",
                data_centre=workloads.DATA_CENTRES[data_centre_index],
                slots=pool.slots,
            )
            servers.append(server)
        self.servers[pool.model] = servers

    def new_placer(self, number: int, incarnation: int = 0) -> placement.Placer:
        """Returns a new placement policy for an entry."""
        data_centre_index = number % len(workloads.DATA_CENTRES)
        placer = baselines.POLICIES[self.policy](
            seed=self.seed * 1000 + number * 10 + incarnation,
            data_centre=workloads.DATA_CENTRES[data_centre_index],
        )
        if self.policy in baselines.ORACLES:
            placer.agents = self.agents
        return placer

    def schedule(self, time: float, callback, *args):
        """Schedules a call at a time."""
        heapq.heappush(self.events, (time, next(self.sequence), callback, args))

    def run(self) -> list[RequestResult]:
        """Runs until no event is left; returns the result of each request."""
        for arrival in self.arrivals:
            self.schedule(arrival.at, self.request_arrived, arrival)
        for offset, name in enumerate(self.agents):
            start = _REPORT_SECONDS * offset / len(self.agents)
            self.schedule(start, self.send_report, name)
        if self.fault == Fault.CRASH:
            for name in list(self.agents)[:_CRASHED_ENGINES]:
                self.schedule(workloads.FAULT_AT, self.crash_engine, name)
        if self.fault == Fault.HERD_RESTART:
            self.schedule(workloads.FAULT_AT, self.restart_entries)
        while self.events:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        return list(self.request_results.values())

    # Entries.

    def request_arrived(self, arrival: workloads.Arrival):
        """Handles the arrival of a request at its entry."""
        entry = self.entries[arrival.entry]
        entry.budget.record_request(self.now)
        self.place_request(entry.placer, arrival)

    def place_request(
        self, placer: placement.Placer, arrival: workloads.Arrival
    ):
        """Chooses a server for a request and sends it there."""
        entry = self.entries[arrival.entry]
        result = self.request_results[arrival.request]
        seconds_left = arrival.at + arrival.deadline - self.now
        request = placement.PlacementRequest(
            request=arrival.request,
            organisation=arrival.organisation,
            model=arrival.model,
            weights=workloads.WEIGHTS,
            blocks=arrival.blocks,
            block_tokens=workloads.BLOCK_TOKENS,
            prompt_tokens=arrival.prompt_tokens,
            priority=arrival.priority,
            seconds_left=seconds_left,
            avoid=frozenset(result.attempt_state.avoid),
        )
        servers = self.servers[arrival.model]
        choice = placer.choose(request, servers, self.now)
        if choice.server is None:
            self.retry(arrival, retries.NoCandidate())
            return
        uncached_tokens = arrival.prompt_tokens - choice.expected_depth
        placer.sent(choice.server, arrival.request, uncached_tokens, self.now)
        result.attempts += 1
        job = engines.Job(
            arrival=arrival,
            attempt=result.attempts,
            expected_tokens=choice.expected_depth,
            crashes=result.crashes,
        )
        sender = (entry.number, entry.incarnation)
        self.schedule(
            self.now + _HOP_SECONDS,
            self.dispatch_received,
            choice,
            job,
            sender,
        )

    def build_dispatch(self, choice, job: engines.Job) -> messages.Dispatch:
        """Returns the dispatch that is offered to an agent's admission."""
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

    def send_to_entry(
        self, sender: tuple[int, int], callback, *args, lossy: bool = False
    ):
        """Schedules a call at an entry, skipped if it restarts before."""
        lost = lossy and self.fault == Fault.EVENTS_LOST
        if lost and self.rng.random() < _LOSS_PROBABILITY:
            return
        self.schedule(
            self.now + _HOP_SECONDS,
            self.deliver_to_entry,
            sender,
            callback,
            args,
        )

    def deliver_to_entry(self, sender: tuple[int, int], callback, args):
        """Calls back at an entry unless it has restarted since."""
        entry = self.entries[sender[0]]
        if entry.incarnation == sender[1]:
            callback(entry.placer, *args)

    def status_received(
        self, placer: placement.Placer, status: messages.ServerStatus
    ):
        """Handles a status report at an entry."""
        placer.record_status(status, self.now)

    def dispatch_failed(
        self, placer, status, job: engines.Job, failure: retries.Failure
    ):
        """Handles a refused or interrupted dispatch at an entry."""
        placer.record_status(status, self.now)
        self.retry(job.arrival, failure)

    def retry(self, arrival: workloads.Arrival, failure: retries.Failure):
        """Schedules a retry if the entry's budget and the deadline allow it."""
        entry = self.entries[arrival.entry]
        attempt_state = self.request_results[arrival.request].attempt_state
        match retries.next_step(attempt_state, failure, entry.budget, self.now):
            case retries.Retry(delay=delay):
                sender = (entry.number, entry.incarnation)
                retry_at = self.now + delay
                self.schedule(
                    retry_at,
                    self.deliver_to_entry,
                    sender,
                    self.place_request,
                    (arrival,),
                )

    def request_finished(self, placer, status, job: engines.Job):
        """Handles the completion of a request at its entry."""
        placer.record_status(status, self.now)
        placer.finished(
            status.server,
            job.arrival.request,
            job.arrival.blocks,
            job.cached,
            self.now,
        )

    def restart_entries(self):
        """Restarts all entries with empty placement state."""
        for entry in self.entries:
            entry.incarnation += 1
            entry.placer = self.new_placer(entry.number, entry.incarnation)

    # Agents.

    def send_report(self, name: str):
        """Sends an agent's status to every entry at regular intervals."""
        agent = self.agents[name]
        agent.record_load(self.now, self.report_lag)
        for entry in self.entries:
            sender = (entry.number, entry.incarnation)
            status = agent.status(sender)
            self.send_to_entry(sender, self.status_received, status, lossy=True)
        if self.now < workloads.DURATION_SECONDS:
            self.schedule(self.now + _REPORT_SECONDS, self.send_report, name)

    def dispatch_received(self, choice, job: engines.Job, sender):
        """Offers a dispatch to its agent's admission."""
        agent = self.agents[choice.server]
        agent.received[sender] += 1
        result = self.request_results[job.arrival.request]
        result.sender = sender
        verdict = agent.admission.offer(
            self.build_dispatch(choice, job),
            f"{sender}",
            agent.status(sender),
            self.now,
        )
        match verdict:
            case admission.Refuse():
                self.return_unstarted(agent, job, verdict.code)
            case admission.Queue():
                agent.jobs[_admission_key(job)] = job
            case admission.Admit(pause=pause):
                for key in pause:
                    agent.engine.cancel(agent.jobs[key])
                    agent.admission.paused(*key, self.now)
                agent.jobs[_admission_key(job)] = job
                agent.engine.submit(job)
        self.update_admission(choice.server)
        if _admission_key(job) in agent.jobs:
            status = agent.status(sender)
            self.send_to_entry(sender, self.status_received, status, lossy=True)

    def return_unstarted(
        self, agent: Agent, job: engines.Job, code: results.Code
    ):
        """Returns a request that did not run to its entry."""
        self.request_results[job.arrival.request].refusals += 1
        server = agent.engine.name
        self.return_request(
            agent, job, retries.NotRun(server=server, code=code)
        )

    def return_started(
        self, agent: Agent, job: engines.Job, code: results.Code
    ):
        """Returns a request that had started to its entry."""
        server = agent.engine.name
        ran = results.Ran.RAN
        failure = retries.Broken(server=server, code=code, ran=ran)
        self.return_request(agent, job, failure)

    def return_request(self, agent: Agent, job: engines.Job, failure):
        """Reports to the entry that a request failed at this agent."""
        agent.record_load(self.now, self.report_lag)
        sender = self.request_results[job.arrival.request].sender
        self.send_to_entry(
            sender, self.dispatch_failed, agent.status(sender), job, failure
        )

    def update_admission(self, name: str):
        """Refuses expired requests and starts those that admission allows."""
        agent = self.agents[name]
        for refused in agent.admission.expired(self.now):
            key = (refused.dispatch.request, refused.dispatch.attempt)
            return_job = (
                self.return_started
                if refused.started
                else self.return_unstarted
            )
            return_job(agent, agent.jobs.pop(key), refused.code)
        for ready in agent.admission.ready(self.now):
            key = (ready.dispatch.request, ready.dispatch.attempt)
            agent.engine.submit(agent.jobs[key])
        agent.record_load(self.now, self.report_lag)
        next_wake = agent.admission.next_wake()
        if (
            next_wake is not None
            and not self.now < agent.scheduled_wake <= next_wake
        ):
            agent.scheduled_wake = next_wake
            self.schedule(next_wake, self.update_admission, name)
        self.start_step(name)

    def start_step(self, name: str):
        """Starts an engine step unless one is running or there is no work."""
        agent = self.agents[name]
        if agent.in_step or agent.engine.idle():
            return
        agent.in_step = True
        seconds = agent.engine.start_step()
        for job, wasted in agent.engine.started:
            result = self.request_results[job.arrival.request]
            result.prompt_tokens += job.arrival.prompt_tokens
            result.cached_tokens += job.cached
            result.wasted_tokens += wasted
        agent.engine.started.clear()
        self.schedule(
            self.now + seconds, self.finish_step, name, agent.start_count
        )

    def finish_step(self, name: str, start_count: int):
        """Ends an engine step; ignored if the engine has crashed since."""
        agent = self.agents[name]
        if agent.start_count != start_count:
            return
        agent.in_step = False
        first_tokens, completed = agent.engine.end_step()
        for job in first_tokens:
            result = self.request_results[job.arrival.request]
            if not result.first_token_at:
                result.first_token_at = self.now + _HOP_SECONDS
            agent.admission.proved(*_admission_key(job))
        for job in completed:
            del agent.jobs[_admission_key(job)]
            uncached = job.arrival.prompt_tokens - job.cached
            agent.admission.ended(
                *_admission_key(job),
                self.now,
                finished=True,
                tokens=uncached + job.generated,
            )
        self.update_admission(name)
        for job in completed:
            result = self.request_results[job.arrival.request]
            result.completed = True
            status = agent.status(result.sender)
            self.send_to_entry(
                result.sender, self.request_finished, status, job, lossy=True
            )

    def crash_engine(self, name: str):
        """Crashes an engine and returns its requests to their entries."""
        agent = self.agents[name]
        agent.engine.crash()
        queued = {each.request for each in agent.admission.clear()}
        lost_jobs = list(agent.jobs.values())
        agent.jobs.clear()
        agent.incarnation = 0
        agent.start_count += 1
        agent.in_step = False
        self.schedule(self.now + _DOWN_SECONDS, self.restart_engine, name)
        for job in lost_jobs:
            if job.arrival.request in queued:
                self.return_unstarted(agent, job, results.Code.SERVER_DOWN)
                continue
            self.request_results[job.arrival.request].crashes += 1
            self.return_started(agent, job, results.Code.ENGINE_DIED)

    def restart_engine(self, name: str):
        """Starts a crashed engine again, with an empty cache."""
        self.agents[name].incarnation = self.agents[name].start_count
