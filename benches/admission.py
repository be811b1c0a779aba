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
    """One request of a workload and its outcome.

    Attributes:
        name: request id.
        organisation: organisation that sends it.
        batch: whether its priority is batch instead of interactive.
        arrived_at: arrival time.
        answer_tokens: length of its answer.
        prompt: its prompt.
        started_at: when the engine first started it; -1 before.
        first_token_at: when its first token was generated; -1 before.
        ended_at: when it was complete; -1 before.
        refusal: name of the code it was refused with; empty if it was not.
        generated_tokens: tokens generated so far.
    """

    name: str
    organisation: str
    batch: bool
    arrived_at: float
    answer_tokens: int
    prompt: str
    started_at: float = -1.0
    first_token_at: float = -1.0
    ended_at: float = -1.0
    refusal: str = ""
    generated_tokens: int = 0


class Runner:
    """An engine with its admission control, run in virtual time.

    Attributes:
        admission: the admission control under measurement.
        engine: the engine.
        jobs: jobs by name.
        fifo: whether priorities and organisations are hidden from
            admission, which makes it first come, first served.
    """

    def __init__(
        self,
        *,
        admission_control: admission.Admission,
        fifo: bool = False,
    ):
        self.admission = admission_control
        self.engine = fake_engines.FakeEngine(
            slots=admission_control.slots,
            cache_blocks=CACHE_BLOCKS,
            token_seconds=TOKEN_SECONDS,
            step_seconds=STEP_SECONDS,
        )
        self.jobs: dict[str, Job] = {}
        self.fifo = fifo

    def run(self, jobs: list[Job], until: float) -> None:
        """Runs jobs that are sorted by arrival until `until`."""
        self.jobs = {each.name: each for each in jobs}
        arrivals = collections.deque(jobs)
        now = 0.0
        while now < until:
            wake_times = [self.engine.next_wake(), self.admission.next_wake()]
            if arrivals:
                wake_times.append(arrivals[0].arrived_at)
            due = [each for each in wake_times if each is not None]
            if not due:
                return
            now = max(now, min(due))
            while arrivals and arrivals[0].arrived_at <= now:
                self.offer(arrivals.popleft(), now)
            self.process_engine_events(now)
            self.update_queue(now)

    def offer(self, job: Job, now: float) -> None:
        """Offers a job to admission, and submits it if it is admitted."""
        prompt_tokens = len(job.prompt) // TOKEN_BYTES
        dispatch = messages.Dispatch(
            request=job.name,
            attempt=1,
            organisation="all" if self.fifo else job.organisation,
            priority="batch" if job.batch and not self.fifo else "interactive",
            seconds_left=3600.0,
            server="r1",
            prompt_tokens=prompt_tokens,
            completion=messages.Completion(
                model="m", prompt=job.prompt, max_tokens=job.answer_tokens
            ),
        )
        status = messages.ServerStatus(
            server="r1",
            incarnation=self.engine.incarnation,
            token_seconds=TOKEN_SECONDS,
        )
        verdict = self.admission.offer(dispatch, SENDER, status, now)
        match verdict:
            case admission.Admit(pause=pause):
                for request, attempt in pause:
                    self.engine.cancel(request, attempt, now)
                self.submit(dispatch, now)
            case admission.Refuse(code=code):
                job.refusal = code.name
        self.process_engine_events(now)
        self.update_queue(now)

    def submit(self, dispatch: messages.Dispatch, now: float) -> None:
        """Submits a dispatch to the engine, which continues paused jobs."""
        job = self.jobs[dispatch.request]
        generated_text = fake_engines.expected_text(
            job.prompt, 0, job.generated_tokens
        )
        completion = attrs.evolve(
            dispatch.completion,
            continued=generated_text,
            continued_tokens=job.generated_tokens,
        )
        run = actions.RunCompletion(
            request=job.name,
            attempt=1,
            priority=dispatch.priority,
            completion=completion,
        )
        refusal = self.engine.submit(run, dispatch.organisation, now)
        assert refusal is None, refusal

    def process_engine_events(self, now: float) -> None:
        """Runs the engine up to now and processes its events."""
        for event in self.engine.step(now):
            job = self.jobs[event.request]
            match event:
                case events.EngineStarted():
                    if job.started_at < 0:
                        job.started_at = now
                case events.EngineText():
                    if job.first_token_at < 0:
                        job.first_token_at = now
                    job.generated_tokens += event.tokens
                case events.EngineEnded():
                    job.ended_at = now
                    uncached_tokens = event.prompt_tokens - event.cached_tokens
                    self.admission.ended(
                        job.name,
                        1,
                        now,
                        finished=True,
                        tokens=uncached_tokens + job.generated_tokens,
                    )
                case events.EngineBroken():
                    self.admission.paused(job.name, 1, now)

    def update_queue(self, now: float) -> None:
        """Records expired jobs as refused and submits those that may start."""
        for refused in self.admission.expired(now):
            self.jobs[refused.dispatch.request].refusal = refused.code.name
        for ready in self.admission.ready(now):
            self.submit(ready.dispatch, now)


def generate_jobs(
    *,
    rng: random.Random,
    organisation: str,
    batch: bool,
    rate: float,
    seconds: float,
    prompt_tokens: int,
    mean_answer_tokens: int,
) -> list[Job]:
    """Returns jobs with Poisson arrivals and exponential answer lengths."""
    jobs = []
    at = 0.0
    while (at := at + rng.expovariate(rate)) < seconds:
        name = f"{organisation}-{'b' if batch else 'i'}-{len(jobs)}"
        jobs.append(
            Job(
                name=name,
                organisation=organisation,
                batch=batch,
                arrived_at=at,
                answer_tokens=max(
                    1, int(rng.expovariate(1 / mean_answer_tokens))
                ),
                prompt=name.ljust(prompt_tokens * TOKEN_BYTES, "x"),
            )
        )
    return jobs


def generate_mixed_jobs(
    *,
    rng: random.Random,
    interactive_rate: float,
    batch_rate: float,
    seconds: float,
) -> tuple[list[Job], list[Job]]:
    """Returns short interactive jobs and long batch jobs."""
    interactive_jobs = generate_jobs(
        rng=rng,
        organisation="counter",
        batch=False,
        rate=interactive_rate,
        seconds=seconds,
        prompt_tokens=500,
        mean_answer_tokens=100,
    )
    batch_jobs = generate_jobs(
        rng=rng,
        organisation="checks",
        batch=True,
        rate=batch_rate,
        seconds=seconds,
        prompt_tokens=2000,
        mean_answer_tokens=300,
    )
    return interactive_jobs, batch_jobs


def merge_by_arrival(*groups: list[Job]) -> list[Job]:
    """Returns copies of all jobs in order of arrival."""
    jobs = [attrs.evolve(job) for group in groups for job in group]
    return sorted(jobs, key=lambda each: each.arrived_at)


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile of the values, or 0 if there are none."""
    values = sorted(values)
    return (
        values[min(len(values) - 1, int(share * len(values)))] if values else 0
    )


def print_table(title: str, rows: list[dict[str, object]]) -> None:
    """Prints rows that have the same keys as an aligned table."""
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


def waiting_times_row(
    policy: str, jobs: list[Job], runners: list[Runner], until: float
) -> dict[str, object]:
    """Returns interactive waiting times and batch throughput of a policy."""
    waits = [
        each.started_at - each.arrived_at
        for each in jobs
        if not each.batch and each.started_at >= 0
    ]
    batch_jobs = [each for each in jobs if each.batch]
    finished_batch = [each for each in batch_jobs if each.ended_at >= 0]
    engine_counters = [each.engine.counters for each in runners]
    return {
        "policy": policy,
        "interactive": len(waits),
        "wait_p50_ms": 1000 * quantile(waits, 0.5),
        "wait_p99_ms": 1000 * quantile(waits, 0.99),
        "wait_max_ms": 1000 * max(waits),
        "batch_done": len(finished_batch),
        "batch_tokens_s": sum(each.generated_tokens for each in batch_jobs)
        / until,
        "computed_tokens": sum(e.computed_tokens for e in engine_counters),
        "paused": sum(e.cancelled for e in engine_counters),
    }


def batch_delay() -> None:
    """Measures how long batch jobs delay interactive jobs."""
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
                rng = random.Random(seed)
                interactive_jobs, batch_jobs = generate_mixed_jobs(
                    rng=rng,
                    interactive_rate=rate,
                    batch_rate=2.0,
                    seconds=until,
                )
                admission_control = admission.Admission(
                    server="r1",
                    slots=SLOTS,
                    queue_limit=100_000,
                    age_seconds=1e9,
                    **settings,
                )
                fifo = policy == "first come"
                runner = Runner(admission_control=admission_control, fifo=fifo)
                seed_jobs = merge_by_arrival(interactive_jobs, batch_jobs)
                runner.run(seed_jobs, until)
                jobs += seed_jobs
                runners.append(runner)
            rows.append(
                waiting_times_row(policy, jobs, runners, len(SEEDS) * until)
            )
        print_table(
            f"batch_delay: {SLOTS} slots, batch 2/s (more than fits), "
            f"interactive {rate:g}/s; step {1000 * STEP_SECONDS:g} ms, "
            f"a batch prefill {2e6 * TOKEN_SECONDS:g} ms",
            rows,
        )


def starvation() -> None:
    """Measures batch progress while interactive jobs fill all slots."""
    until = 300.0
    rows = []
    for age in (5.0, 10.0, 1e9):
        rng = random.Random(1)
        interactive_jobs, batch_jobs = generate_mixed_jobs(
            rng=rng, interactive_rate=6.0, batch_rate=0.1, seconds=until
        )
        admission_control = admission.Admission(
            server="r1", slots=SLOTS, queue_limit=100_000, age_seconds=age
        )
        runner = Runner(admission_control=admission_control)
        jobs = merge_by_arrival(interactive_jobs, batch_jobs)
        runner.run(jobs, until)
        arrived_batch = [each for each in jobs if each.batch]
        waits = [
            e.started_at - e.arrived_at
            for e in arrived_batch
            if e.started_at >= 0
        ]
        finished_interactive = [
            e for e in jobs if not e.batch and e.ended_at >= 0
        ]
        rows.append(
            {
                "age_seconds": age if age < 1e9 else "never",
                "batch": len(arrived_batch),
                "started": len(waits),
                "wait_p50_s": quantile(waits, 0.5),
                "wait_max_s": max(waits, default=0.0),
                "interactive_done": len(finished_interactive),
            }
        )
    print_table(
        "starvation: interactive work at about 1.2 times what fits", rows
    )


def fairness() -> None:
    """Compares a small organisation with one that sends ten times as much."""
    until = 300.0
    rows = []
    for policy, fifo in (("first come", True), ("fair share", False)):
        for seed in SEEDS:
            rng = random.Random(seed)
            groups = [
                generate_jobs(
                    rng=rng,
                    organisation=organisation,
                    batch=False,
                    rate=rate,
                    seconds=until,
                    prompt_tokens=500,
                    mean_answer_tokens=100,
                )
                for organisation, rate in (("large", 10.0), ("small", 1.0))
            ]
            admission_control = admission.Admission(server="r1", slots=SLOTS)
            runner = Runner(admission_control=admission_control, fifo=fifo)
            jobs = merge_by_arrival(*groups)
            runner.run(jobs, until)
            row: dict[str, object] = {"policy": policy, "seed": seed}
            for organisation in ("large", "small"):
                organisation_jobs = [
                    e for e in jobs if e.organisation == organisation
                ]
                waits = [
                    e.first_token_at - e.arrived_at
                    for e in organisation_jobs
                    if e.first_token_at >= 0
                ]
                refused = sum(bool(e.refusal) for e in organisation_jobs)
                row[f"{organisation}_sent"] = len(organisation_jobs)
                row[f"{organisation}_refused_%"] = (
                    100 * refused / len(organisation_jobs)
                )
                row[f"{organisation}_ttft_p50_s"] = quantile(waits, 0.5)
                row[f"{organisation}_ttft_p95_s"] = quantile(waits, 0.95)
            rows.append(row)
    print_table("fairness: one organisation sends 10/s, one 1/s, 5/s fit", rows)


def retry_storm() -> None:
    """Measures attempts per request in a cluster where attempts fail."""
    rows = []
    for failure_rate in (0.01, 0.1, 0.5, 1.0):
        for policy in ("budget", "none"):
            rng = random.Random(1)
            budget = retries.RetryBudget()
            if policy == "none":
                budget = retries.RetryBudget(capacity=1e9)
            attempts = failed = 0
            longest_delay = 0.0
            for number in range(30_000):
                start = now = number / 100
                budget.record_request(now)
                state = retries.AttemptState(deadline=start + 60)
                while True:
                    attempts += 1
                    if rng.random() >= failure_rate:
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
                longest_delay = max(longest_delay, now - start)
            rows.append(
                {
                    "failing": failure_rate,
                    "policy": policy,
                    "attempts_per_request": attempts / 30_000,
                    "given_up_%": failed / 300,
                    "longest_delay_s": longest_delay,
                }
            )
    print_table("retry_storm: 30,000 requests in 300 s, repeatable", rows)


def quarantine_cost() -> None:
    """Measures messages, store writes and processor time of one crash."""
    rows = []
    for entries, batch in ((3, 16), (10, 16), (350, 16)):
        names = [
            f"tcp://10.0.{n // 250}.{n % 250}:7000" for n in range(entries)
        ]
        quarantines = [
            quarantine.Quarantine(
                name=name, peers=[each for each in names if each != name]
            )
            for name in names
        ]
        rng = random.Random(1)
        fingerprints = [rng.randbytes(16) for _ in range(batch)]
        reporters = rng.sample(quarantines, min(entries, batch))
        sent_messages = sent_bytes = writes = 0
        started = time.process_time()
        # Worst case: each reporter reports before it receives another report.
        reports = []
        for reporter in reporters:
            reports += reporter.record_crash(fingerprints, "r1", "i1", 0.0)
        for action in reports:
            match action:
                case actions.Send(address=address, message=message):
                    sent_messages += 1
                    sent_bytes += len(msgspec.msgpack.encode(message))
                    event = events.FromNode(sender="", message=message)
                    receiver = quarantines[names.index(address)]
                    writes += len(receiver.handle(event, 0.0))
                case actions.CallStore():
                    writes += 1
        cpu_seconds = time.process_time() - started
        rows.append(
            {
                "entries": entries,
                "suspects": batch,
                "messages": sent_messages,
                "bytes_per_entry": sent_bytes / entries,
                "writes": writes,
                "us_per_entry": 1e6 * cpu_seconds / entries,
            }
        )
    print_table("quarantine_cost: one crash", rows)
    tracemalloc.start()
    reporter = quarantine.Quarantine(name=SENDER)
    for number in range(quarantine.MAX_RECORDS // 16):
        fingerprints = [
            random.Random(number * 16 + n).randbytes(16) for n in range(16)
        ]
        reporter.record_crash(fingerprints, f"r{number}", "i", 0.0)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{len(reporter.records)} records hold {traced_bytes / 1e6:.2f} MB")


def decision_time() -> None:
    """Measures the processor time that admission spends on a request."""
    rows = []
    for waiting in (0, 16, 64, 256):
        admission_control = admission.Admission(
            server="r1", slots=SLOTS, queue_limit=1000
        )
        status = messages.ServerStatus(server="r1", incarnation="i")
        count = SLOTS + waiting

        def offer(number, admission_control=admission_control, status=status):
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
            admission_control.offer(dispatch, SENDER, status, 0.0)

        for number in range(count):
            offer(number)
        started = time.process_time()
        rounds = 2000
        for number in range(rounds):
            running = next(iter(admission_control.running))
            admission_control.ended(*running, 0.0, finished=True, tokens=600)
            admission_control.ready(0.0)
            offer(count + number)
            admission_control.expired(0.0)
            admission_control.next_wake()
        cpu_seconds = time.process_time() - started
        rows.append(
            {"waiting": waiting, "us_per_request": 1e6 * cpu_seconds / rounds}
        )
    print_table(
        "decision_time: offer, ended, ready, expired and next_wake", rows
    )


def poison_row(name: str, *, copies: int = 1, seconds: float = 0.0) -> dict:
    """Sends one poison request repeatedly through ten entries.

    Other requests run at the same time.

    Args:
        name: name of the case, which also selects the faults.
        copies: poison requests sent at once in each round.
        seconds: least pause after each round.

    Returns:
        Engine crashes, the other requests' results and store writes.
    """
    cluster = simulated_clusters.SimulatedCluster(
        entry_count=10, runners=9, slots=4
    )
    entry_names = set(cluster.entry_addresses)
    if "apart" in name:
        cluster.cut = lambda sender, receiver: entry_names >= {sender, receiver}
    if "no store" in name:
        cluster.cut_from_store |= entry_names
    if name == "no quarantine":
        for node in cluster.nodes.values():
            core = node.core
            if node.engine is None:
                core.quarantine.check = lambda *_: quarantine.Clear()
            else:
                core.admission.remembered = collections.defaultdict(
                    lambda: admission.Crashes(count=0, until=1e9)
                )
                core.admission._record_crashes = lambda *_, **__: None
    before = len(cluster.store.calls)
    other_requests = []
    sent_at = {}
    for number in range(20):
        if name == "herd restart" and number in (4, 8):
            for each in range(10):
                cluster.start_entry(each)
            cluster.run(8.0)
        for each in range(6):
            other_request = f"i{number}.{each}"
            other_requests.append(other_request)
            sent_at[other_request] = cluster.now
            prompt = f"manual {each} " * 300
            cluster.request(
                (number + each) % 10, other_request, prompt, tokens=60
            )
        poison_requests = [f"x{number}.{copy}" for copy in range(copies)]
        for copy, each in enumerate(poison_requests):
            cluster.request((number + copy) % 10, each, "poison " * 300)
        cluster.run(
            40.0,
            until=lambda poison_requests=poison_requests: all(
                e in cluster.answers for e in poison_requests
            ),
        )
        cluster.run(max(seconds, 2.0 if "herd" in name else 0.0))
    cluster.run(
        30.0, until=lambda: all(e in cluster.answers for e in other_requests)
    )
    latencies = [
        cluster.answers[e][1] - sent_at[e]
        for e in other_requests
        if e in cluster.answers
    ]
    not_served = [
        e for e in other_requests if cluster.result_code(e) != results.Code.OK
    ]
    writes = [
        e for e in cluster.store.calls[before:] if _is_quarantine_write(e)
    ]
    return {
        "case": name,
        "engines_crashed": cluster.crash_count(),
        "innocents": len(other_requests),
        "not_served": len(not_served),
        "answer_p50_s": quantile(latencies, 0.5),
        "answer_max_s": max(latencies),
        "store_writes": len(writes),
    }


def _is_quarantine_write(call: stores.Call) -> bool:
    in_quarantine = getattr(call, "path", "").startswith(quarantine.PREFIX)
    return isinstance(call, stores.Write) and in_quarantine


def poison() -> None:
    """Counts the engines that a poison request crashes over 20 sendings."""
    rows = [
        poison_row("no quarantine"),
        poison_row("in touch"),
        poison_row("ten copies at once", copies=10),
        poison_row("herd restart"),
        poison_row("entries apart, resend at once"),
        poison_row("entries apart, resend after 2 s", seconds=2.0),
        poison_row("entries apart, no store"),
    ]
    print_table("poison: 10 entries, 9 runners of 4 slots, 20 resends", rows)


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
    """Runs the measurements named on the command line, or all."""
    for name in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[name]()


if __name__ == "__main__":
    main()
