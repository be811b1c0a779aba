"""Measures admission, retries and quarantine in virtual time.

python -m benches.admission [NAME ...] runs the named measurements, or all,
and prints one table for each.
"""

import collections
import random
import sys
import time
import tracemalloc

import attrs
import msgspec

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import admission
from pimentoledge.decisions import events
from pimentoledge.decisions import quarantine
from pimentoledge.decisions import retries
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.runners import fake_engines
from pimentoledge.tests import simulated_clusters

SEEDS = (1, 2, 3)
SLOTS = 16
STEP_SECONDS = 0.032
TOKEN_SECONDS = 0.0001
CACHE_BLOCKS = 4000
TOKEN_BYTES = 4
SENDER = "tcp://127.0.0.1:1"


@attrs.define(kw_only=True)
class Job:
    """One request of a workload, and what became of it.

    Attributes:
        name: request id.
        organisation: whose it is.
        batch: its priority.
        arrived: when it comes.
        tokens: length of its answer.
        prompt: its prompt.
        started: when the engine first took it; -1 before.
        first: when its first token came; -1 before.
        ended: when it was complete; -1 before.
        refused: why it was not run.
        made: tokens generated so far.
    """

    name: str
    organisation: str
    batch: bool
    arrived: float
    tokens: int
    prompt: str
    started: float = -1.0
    first: float = -1.0
    ended: float = -1.0
    refused: str = ""
    made: int = 0


class Runner:
    """An engine with its admission, driven in virtual time.

    Attributes:
        admitting: the admission under measurement.
        engine: the engine.
        jobs: jobs by name.
        blind: whether priorities and organisations are hidden from
            admission, which makes it first come, first served.
    """

    def __init__(
        self,
        *,
        admitting: admission.Admission,
        blind: bool = False,
    ):
        self.admitting = admitting
        self.engine = fake_engines.FakeEngine(
            slots=admitting.slots,
            cache_blocks=CACHE_BLOCKS,
            token_seconds=TOKEN_SECONDS,
            step_seconds=STEP_SECONDS,
        )
        self.jobs: dict[str, Job] = {}
        self.blind = blind

    def run(self, jobs: list[Job], until: float) -> None:
        """Runs a workload, in order of arrival, until a time."""
        self.jobs = {each.name: each for each in jobs}
        coming = collections.deque(jobs)
        now = 0.0
        while now < until:
            wakes = [self.engine.next_wake(), self.admitting.next_wake()]
            if coming:
                wakes.append(coming[0].arrived)
            due = [each for each in wakes if each is not None]
            if not due:
                return
            now = max(now, min(due))
            while coming and coming[0].arrived <= now:
                self.arrive(coming.popleft(), now)
            self.engine_says(now)
            self.settle(now)

    def arrive(self, job: Job, now: float) -> None:
        """Offers a job."""
        tokens = len(job.prompt) // TOKEN_BYTES
        dispatch = messages.Dispatch(
            request=job.name,
            attempt=1,
            organisation="all" if self.blind else job.organisation,
            priority="batch" if job.batch and not self.blind else "interactive",
            seconds_left=3600.0,
            server="r1",
            prompt_tokens=tokens,
            completion=messages.Completion(
                model="m", prompt=job.prompt, max_tokens=job.tokens
            ),
        )
        truth = messages.ServerStatus(
            server="r1",
            incarnation=self.engine.incarnation,
            token_seconds=TOKEN_SECONDS,
        )
        verdict = self.admitting.offer(dispatch, SENDER, truth, now)
        match verdict:
            case admission.Admit(pause=pause):
                for request, attempt in pause:
                    self.engine.cancel(request, attempt, now)
                self.submit(dispatch, now)
            case admission.Refuse(code=code):
                job.refused = code.name
        self.engine_says(now)
        self.settle(now)

    def submit(self, dispatch: messages.Dispatch, now: float) -> None:
        """Hands a dispatch to the engine."""
        job = self.jobs[dispatch.request]
        continued = fake_engines.expected_text(job.prompt, 0, job.made)
        completion = attrs.evolve(
            dispatch.completion, continued=continued, continued_tokens=job.made
        )
        run = actions.RunCompletion(
            request=job.name,
            attempt=1,
            priority=dispatch.priority,
            completion=completion,
        )
        refused = self.engine.submit(run, dispatch.organisation, now)
        assert refused is None, refused

    def engine_says(self, now: float) -> None:
        """Takes what came out of the engine."""
        for event in self.engine.step(now):
            job = self.jobs[event.request]
            match event:
                case events.EngineStarted():
                    if job.started < 0:
                        job.started = now
                case events.EngineText():
                    if job.first < 0:
                        job.first = now
                    job.made += event.tokens
                case events.EngineEnded():
                    job.ended = now
                    used = event.prompt_tokens - event.cached_tokens
                    self.admitting.ended(
                        job.name,
                        1,
                        now,
                        finished=True,
                        tokens=used + job.made,
                    )
                case events.EngineBroken():
                    self.admitting.paused(job.name, 1, now)

    def settle(self, now: float) -> None:
        """Starts what may start."""
        for refused in self.admitting.expired(now):
            self.jobs[refused.dispatch.request].refused = refused.code.name
        for ready in self.admitting.ready(now):
            self.submit(ready.dispatch, now)


def jobs_of(
    *,
    chance: random.Random,
    organisation: str,
    batch: bool,
    rate: float,
    seconds: float,
    prompt_tokens: int,
    tokens: int,
) -> list[Job]:
    """Returns Poisson arrivals with exponential answer lengths."""
    jobs = []
    at = 0.0
    while (at := at + chance.expovariate(rate)) < seconds:
        name = f"{organisation}-{'b' if batch else 'i'}-{len(jobs)}"
        jobs.append(
            Job(
                name=name,
                organisation=organisation,
                batch=batch,
                arrived=at,
                tokens=max(1, int(chance.expovariate(1 / tokens))),
                prompt=name.ljust(prompt_tokens * TOKEN_BYTES, "x"),
            )
        )
    return jobs


def both_kinds(
    *, chance: random.Random, rate: float, batch_rate: float, seconds: float
) -> tuple[list[Job], list[Job]]:
    """Returns short interactive jobs and long batch jobs, by their rates."""
    counter = jobs_of(
        chance=chance,
        organisation="counter",
        batch=False,
        rate=rate,
        seconds=seconds,
        prompt_tokens=500,
        tokens=100,
    )
    checks = jobs_of(
        chance=chance,
        organisation="checks",
        batch=True,
        rate=batch_rate,
        seconds=seconds,
        prompt_tokens=2000,
        tokens=300,
    )
    return counter, checks


def merged(*groups: list[Job]) -> list[Job]:
    """Returns copies of all jobs in order of arrival."""
    jobs = [attrs.evolve(job) for group in groups for job in group]
    return sorted(jobs, key=lambda each: each.arrived)


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile; 0 of nothing."""
    values = sorted(values)
    return (
        values[min(len(values) - 1, int(share * len(values)))] if values else 0
    )


def table(title: str, rows: list[dict[str, object]]) -> None:
    """Prints rows of equal keys."""
    print(f"\n{title}")
    cells = [[str(key) for key in rows[0]]]
    for row in rows:
        cells.append(
            [
                f"{each:.4g}" if isinstance(each, float) else str(each)
                for each in row.values()
            ]
        )
    widths = [max(len(row[i]) for row in cells) for i in range(len(cells[0]))]
    for row in cells:
        print("  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)))


def wait_row(
    policy: str, jobs: list[Job], runners: list[Runner], until: float
) -> dict[str, object]:
    """Returns the figures of the two priorities."""
    waits = [
        each.started - each.arrived
        for each in jobs
        if not each.batch and each.started >= 0
    ]
    batch = [each for each in jobs if each.batch]
    done = [each for each in batch if each.ended >= 0]
    counters = [each.engine.counters for each in runners]
    return {
        "policy": policy,
        "interactive": len(waits),
        "wait_p50_ms": 1000 * quantile(waits, 0.5),
        "wait_p99_ms": 1000 * quantile(waits, 0.99),
        "wait_max_ms": 1000 * max(waits),
        "batch_done": len(done),
        "batch_tokens_s": sum(each.made for each in batch) / until,
        "computed_tokens": sum(e.computed_tokens for e in counters),
        "paused": sum(e.cancelled for e in counters),
    }


def batch_delay() -> None:
    """How long batch work delays interactive work."""
    until = 120.0
    policies = {
        "first come": {"pauses": False, "reserve": 0},
        "priority only": {"pauses": False, "reserve": 0},
        "reserve 2": {"pauses": False, "reserve": 2},
        "reserve 4": {"pauses": False, "reserve": 4},
        "pause": {},
    }
    for rate in (0.5, 2.0):
        rows = []
        for policy, settings in policies.items():
            jobs = []
            runners = []
            for seed in SEEDS:
                chance = random.Random(seed)
                counter, checks = both_kinds(
                    chance=chance, rate=rate, batch_rate=2.0, seconds=until
                )
                admitting = admission.Admission(
                    server="r1",
                    slots=SLOTS,
                    queue_limit=100_000,
                    age_seconds=1e9,
                    **settings,
                )
                blind = policy == "first come"
                runner = Runner(admitting=admitting, blind=blind)
                mine = merged(counter, checks)
                runner.run(mine, until)
                jobs += mine
                runners.append(runner)
            rows.append(wait_row(policy, jobs, runners, len(SEEDS) * until))
        table(
            f"batch_delay: {SLOTS} slots, batch 2/s (more than fits), "
            f"interactive {rate:g}/s; step {1000 * STEP_SECONDS:g} ms, "
            f"a batch prefill {2e6 * TOKEN_SECONDS:g} ms",
            rows,
        )


def starvation() -> None:
    """Whether batch work gets on while interactive work fills all slots."""
    until = 300.0
    rows = []
    for age in (5.0, 10.0, 1e9):
        chance = random.Random(1)
        counter, checks = both_kinds(
            chance=chance, rate=6.0, batch_rate=0.1, seconds=until
        )
        admitting = admission.Admission(
            server="r1", slots=SLOTS, queue_limit=100_000, age_seconds=age
        )
        runner = Runner(admitting=admitting)
        jobs = merged(counter, checks)
        runner.run(jobs, until)
        batch = [each for each in jobs if each.batch]
        waits = [e.started - e.arrived for e in batch if e.started >= 0]
        served = [e for e in jobs if not e.batch and e.ended >= 0]
        rows.append(
            {
                "age_seconds": age if age < 1e9 else "never",
                "batch": len(batch),
                "started": len(waits),
                "wait_p50_s": quantile(waits, 0.5),
                "wait_max_s": max(waits, default=0.0),
                "interactive_done": len(served),
            }
        )
    table("starvation: interactive work at about 1.2 times what fits", rows)


def fairness() -> None:
    """What a small organisation gets beside one that sends ten times more."""
    until = 300.0
    rows = []
    for policy, blind in (("first come", True), ("fair share", False)):
        for seed in SEEDS:
            chance = random.Random(seed)
            groups = [
                jobs_of(
                    chance=chance,
                    organisation=organisation,
                    batch=False,
                    rate=rate,
                    seconds=until,
                    prompt_tokens=500,
                    tokens=100,
                )
                for organisation, rate in (("large", 10.0), ("small", 1.0))
            ]
            admitting = admission.Admission(server="r1", slots=SLOTS)
            runner = Runner(admitting=admitting, blind=blind)
            jobs = merged(*groups)
            runner.run(jobs, until)
            row: dict[str, object] = {"policy": policy, "seed": seed}
            for organisation in ("large", "small"):
                mine = [e for e in jobs if e.organisation == organisation]
                waits = [e.first - e.arrived for e in mine if e.first >= 0]
                refused = sum(bool(e.refused) for e in mine)
                row[f"{organisation}_sent"] = len(mine)
                row[f"{organisation}_refused_%"] = 100 * refused / len(mine)
                row[f"{organisation}_ttft_p50_s"] = quantile(waits, 0.5)
                row[f"{organisation}_ttft_p95_s"] = quantile(waits, 0.95)
            rows.append(row)
    table("fairness: one organisation sends 10/s, one 1/s, 5/s fit", rows)


def retry_storm() -> None:
    """How many attempts a sick cluster sees for each request."""
    rows = []
    for failing in (0.01, 0.1, 0.5, 1.0):
        for policy in ("budget", "none"):
            chance = random.Random(1)
            budget = retries.RetryBudget()
            if policy == "none":
                budget = retries.RetryBudget(capacity=1e9)
            attempts = failed = 0
            longest = 0.0
            for number in range(30_000):
                start = now = number / 100
                budget.record_request(now)
                state = retries.AttemptState(deadline=start + 60)
                while True:
                    attempts += 1
                    if chance.random() >= failing:
                        break
                    failure = retries.Broken(
                        server=f"r{state.attempts}",
                        code=results.Code.ENGINE_DIED,
                        ran=results.Ran.RAN,
                    )
                    step = retries.next_step(state, failure, budget, now)
                    if isinstance(step, retries.GiveUp):
                        failed += 1
                        break
                    now += step.delay
                longest = max(longest, now - start)
            rows.append(
                {
                    "failing": failing,
                    "policy": policy,
                    "attempts_per_request": attempts / 30_000,
                    "given_up_%": failed / 300,
                    "longest_delay_s": longest,
                }
            )
    table("retry_storm: 30,000 requests in 300 s, repeatable", rows)


def quarantine_cost() -> None:
    """What one crash costs its entries and the store."""
    rows = []
    for entries, batch in ((3, 16), (10, 16), (350, 16)):
        names = [
            f"tcp://10.0.{n // 250}.{n % 250}:7000" for n in range(entries)
        ]
        machines = [
            quarantine.Quarantine(
                name=name, peers=[each for each in names if each != name]
            )
            for name in names
        ]
        chance = random.Random(1)
        prints = [chance.randbytes(16) for _ in range(batch)]
        reporters = chance.sample(machines, min(entries, batch))
        sent = size = writes = 0
        begin = time.process_time()
        # The worst order: each reporter speaks before it hears another.
        news = []
        for machine in reporters:
            news += machine.record_crash(prints, "r1", "i1", 0.0)
        for action in news:
            match action:
                case actions.Send(address=address, message=message):
                    sent += 1
                    size += len(msgspec.msgpack.encode(message))
                    event = events.FromNode(sender="", message=message)
                    told = machines[names.index(address)]
                    writes += len(told.handle(event, 0.0))
                case actions.CallStore():
                    writes += 1
        spent = time.process_time() - begin
        rows.append(
            {
                "entries": entries,
                "suspects": batch,
                "messages": sent,
                "bytes_per_entry": size / entries,
                "writes": writes,
                "us_per_entry": 1e6 * spent / entries,
            }
        )
    table("quarantine_cost: one crash", rows)
    tracemalloc.start()
    machine = quarantine.Quarantine(name=SENDER)
    for number in range(quarantine.MAX_RECORDS // 16):
        prints = [
            random.Random(number * 16 + n).randbytes(16) for n in range(16)
        ]
        machine.record_crash(prints, f"r{number}", "i", 0.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{len(machine.records)} records hold {held / 1e6:.2f} MB")


def decision_time() -> None:
    """Processor time of one request through admission."""
    rows = []
    for waiting in (0, 16, 64, 256):
        admitting = admission.Admission(
            server="r1", slots=SLOTS, queue_limit=1000
        )
        truth = messages.ServerStatus(server="r1", incarnation="i")
        count = SLOTS + waiting

        def offer(number, admitting=admitting, truth=truth):
            dispatch = messages.Dispatch(
                request=f"q{number}",
                attempt=1,
                organisation=f"o{number % 8}",
                priority="interactive",
                seconds_left=3600.0,
                server="r1",
                prompt_tokens=500,
                fingerprint=number.to_bytes(16, "big"),
            )
            admitting.offer(dispatch, SENDER, truth, 0.0)

        for number in range(count):
            offer(number)
        begin = time.process_time()
        rounds = 2000
        for number in range(rounds):
            running = next(iter(admitting.running))
            admitting.ended(*running, 0.0, finished=True, tokens=600)
            admitting.ready(0.0)
            offer(count + number)
            admitting.expired(0.0)
            admitting.next_wake()
        spent = time.process_time() - begin
        rows.append(
            {"waiting": waiting, "us_per_request": 1e6 * spent / rounds}
        )
    table("decision_time: offer, ended, ready, expired and next_wake", rows)


def poison_row(name: str, *, copies: int = 1, seconds: float = 0.0) -> dict:
    """Sends one poison request again and again through ten entries."""
    path = simulated_clusters.SimulatedCluster(
        entry_count=10, runners=9, slots=4
    )
    entries = set(path.entry_addresses)
    if "apart" in name:
        path.cut = lambda sender, receiver: entries >= {sender, receiver}
    if "no store" in name:
        path.cut_from_store |= entries
    if name == "no quarantine":
        for node in path.nodes.values():
            core = node.core
            if node.engine is None:
                core.quarantine.check = lambda *_: quarantine.Clear()
            else:
                core.admission.remembered = collections.defaultdict(
                    lambda: admission.Crashes(count=0, until=1e9)
                )
                core.admission._record_crashes = lambda *_, **__: None
    before = len(path.store.calls)
    innocents = []
    asked = {}
    for number in range(20):
        if name == "herd restart" and number in (4, 8):
            for each in range(10):
                path.start_entry(each)
            path.run(8.0)
        for each in range(6):
            innocent = f"i{number}.{each}"
            innocents.append(innocent)
            asked[innocent] = path.now
            prompt = f"manual {each} " * 300
            path.request((number + each) % 10, innocent, prompt, tokens=60)
        sent = [f"x{number}.{copy}" for copy in range(copies)]
        for copy, each in enumerate(sent):
            path.request((number + copy) % 10, each, "poison " * 300)
        path.run(
            40.0, until=lambda sent=sent: all(e in path.answers for e in sent)
        )
        path.run(max(seconds, 2.0 if "herd" in name else 0.0))
    path.run(30.0, until=lambda: all(e in path.answers for e in innocents))
    late = [
        path.answers[e][1] - asked[e] for e in innocents if e in path.answers
    ]
    bad = [e for e in innocents if path.result_code(e) != results.Code.OK]
    writes = [e for e in path.store.calls[before:] if _is_news(e)]
    return {
        "case": name,
        "engines_crashed": path.crash_count(),
        "innocents": len(innocents),
        "not_served": len(bad),
        "answer_p50_s": quantile(late, 0.5),
        "answer_max_s": max(late),
        "store_writes": len(writes),
    }


def _is_news(call: stores.Call) -> bool:
    news = getattr(call, "path", "").startswith(quarantine.PREFIX)
    return isinstance(call, stores.Write) and news


def poison() -> None:
    """Engines that one poison request crashes, sent again twenty times."""
    rows = [
        poison_row("no quarantine"),
        poison_row("in touch"),
        poison_row("ten copies at once", copies=10),
        poison_row("herd restart"),
        poison_row("entries apart, resend at once"),
        poison_row("entries apart, resend after 2 s", seconds=2.0),
        poison_row("entries apart, no store"),
    ]
    table("poison: 10 entries, 9 runners of 4 slots, 20 resends", rows)


MEASUREMENTS = {
    "batch_delay": batch_delay,
    "starvation": starvation,
    "fairness": fairness,
    "retry_storm": retry_storm,
    "poison": poison,
    "quarantine_cost": quarantine_cost,
    "decision_time": decision_time,
}


def main() -> None:
    """Runs what the command line names."""
    for name in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[name]()


if __name__ == "__main__":
    main()
