"""Simulates claims of agents with one rate-limited store, in virtual time.

The agents run the real `claims.Claims`, and claims arrive as a Poisson process.
The store counts calls, refuses those above its rates and answers after a few
milliseconds.

python -m benches.claims [load|spacing|sizes|outage|cost]
"""

import argparse
import heapq
import itertools
import random
import statistics
import time
import tracemalloc

import attrs

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import claim_records
from pimentoledge.decisions import claim_shards
from pimentoledge.decisions import claim_verdicts
from pimentoledge.decisions import claims
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages

_SERVICE = "orders"
_WRITES_PER_SECOND = 300.0
_READS_PER_SECOND = 2000.0
_BURST_SECONDS = 0.1
_STORE_SECONDS = 0.005
_RUN_SECONDS = 0.02
_ANSWER_BYTES = 500
_ORGANISATIONS = 8


class RateLimitedStore:
    """A store with conditional writes, rate limits and outages.

    Attributes:
        objects: objects by path.
        revision: version of the latest write.
        writes: writes that succeeded.
        refused: calls refused by the rate limits.
        reads: reads answered.
        write_bytes: bytes of values written.
        outages: (start, end) times between which every call is refused.
        tokens: tokens left for each kind of call.
        refilled_at: when the tokens were last refilled.
    """

    def __init__(self, *, seed: int, outages: list[tuple[float, float]]):
        self.objects: dict[str, stores.Object] = {}
        self.revision = 0
        self.writes = 0
        self.refused = 0
        self.reads = 0
        self.write_bytes = 0
        self.outages = outages
        self.random = random.Random(seed)
        self.tokens = {
            stores.Write: _WRITES_PER_SECOND * _BURST_SECONDS,
            stores.Read: _READS_PER_SECOND * _BURST_SECONDS,
        }
        self.refilled_at = 0.0

    def sample_latency(self) -> float:
        """Returns a random duration of a call, in seconds."""
        return _STORE_SECONDS * self.random.lognormvariate(0.0, 0.4)

    def perform(self, call: stores.Call, now: float) -> stores.StoreAnswer:
        """Performs a call, or refuses it because of its rate or an outage."""
        if any(start <= now < end for start, end in self.outages):
            return stores.StoreAnswer(
                call=call.call, outcome=stores.Outcome.DOWN
            )
        if not self._consume_token(type(call), now):
            self.refused += 1
            return stores.StoreAnswer(
                call=call.call, outcome=stores.Outcome.DOWN
            )
        found = self.objects.get(call.path)
        if isinstance(call, stores.Read):
            self.reads += 1
            return self._read_answer(call, found)
        if call.expected != (found.version if found else 0):
            return stores.StoreAnswer(
                call=call.call,
                outcome=stores.Outcome.CONFLICT,
                objects=[found] if found else [],
            )
        self.revision += 1
        self.writes += 1
        self.write_bytes += len(call.value)
        self.objects[call.path] = stores.Object(
            path=call.path,
            version=self.revision,
            value=call.value,
            write_id=call.write_id,
        )
        return stores.StoreAnswer(
            call=call.call,
            outcome=stores.Outcome.WRITTEN,
            version=self.revision,
        )

    def _read_answer(self, call, found) -> stores.StoreAnswer:
        if found is None:
            outcome = stores.Outcome.ABSENT
            return stores.StoreAnswer(call=call.call, outcome=outcome)
        return stores.StoreAnswer(
            call=call.call, outcome=stores.Outcome.FOUND, objects=[found]
        )

    def _consume_token(self, kind: type, now: float) -> bool:
        elapsed = now - self.refilled_at
        self.refilled_at = now
        rates = {
            stores.Write: _WRITES_PER_SECOND,
            stores.Read: _READS_PER_SECOND,
        }
        for each, rate in rates.items():
            refilled = self.tokens[each] + elapsed * rate
            self.tokens[each] = min(refilled, rate * _BURST_SECONDS)
        if self.tokens[kind] < 1.0:
            return False
        self.tokens[kind] -= 1.0
        return True


@attrs.define(kw_only=True)
class RunResults:
    """Results of a run.

    Attributes:
        latencies: seconds from arrival to grant of each granted claim.
        denials: number of refused claims by code.
        refusal_delays: seconds from arrival to refusal of each refused claim.
        refused_arrivals: arrival time of each refused claim.
    """

    latencies: list[float] = attrs.field(factory=list)
    denials: dict[results.Code, int] = attrs.field(factory=dict)
    refusal_delays: list[float] = attrs.field(factory=list)
    refused_arrivals: list[float] = attrs.field(factory=list)


class Run:
    """One simulation in virtual time.

    Attributes:
        store: the store.
        rate: claims per second.
        seconds: when arrivals end.
        warmup_seconds: grants before this time are not counted.
        now: virtual time in seconds.
        results: the results.
        events: heap of scheduled callbacks.
        arrival_times: arrival time by request.
        agents: claims of each agent, by name.
        scheduled_wakes: next scheduled wake by agent.
    """

    def __init__(
        self,
        *,
        rate: float,
        seconds: float,
        agents: int,
        limits: claim_shards.ClaimBounds,
        seed: int = 1,
        outages: list[tuple[float, float]] | None = None,
        warmup_seconds: float = 0.0,
    ):
        self.store = RateLimitedStore(seed=seed, outages=outages or [])
        self.random = random.Random(seed)
        self.rate = rate
        self.seconds = seconds
        self.warmup_seconds = warmup_seconds
        self.now = 0.0
        self.results = RunResults()
        self.events: list = []
        self.sequence = itertools.count()
        self.arrival_times: dict[str, float] = {}
        self.servers = [
            declarations.BackendServer(name=f"s{n}", serves=_SERVICE, agent="")
            for n in range(agents)
        ]
        self.agents = {
            each.name: claims.Claims(
                agent=each.name, life=f"{each.name}-1", seed=seed, limits=limits
            )
            for each in self.servers
        }
        self.scheduled_wakes: dict[str, float] = {}

    def run(self) -> RunResults:
        """Runs until arrivals have ended and no event is left."""
        self._schedule(self.random.expovariate(self.rate), self._arrive)
        while self.events:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        return self.results

    def _schedule(self, seconds: float, callback, *arguments):
        entry = (self.now + seconds, next(self.sequence), callback, arguments)
        heapq.heappush(self.events, entry)

    def _arrive(self):
        if self.now >= self.seconds:
            return
        self.claim()
        self._schedule(self.random.expovariate(self.rate), self._arrive)

    def claim(self):
        """Claims a new key at the agent that owns its shard."""
        number = next(self.sequence)
        organisation = f"org-{self.random.randrange(_ORGANISATIONS)}"
        dispatch = messages.Dispatch(
            request=f"r{number}",
            attempt=1,
            organisation=organisation,
            priority="interactive",
            seconds_left=30.0,
            server="",
            key=f"{self.random.getrandbits(128):032x}",
            call=messages.ServiceCall(
                service=_SERVICE, method="POST", path="/", body=b"x" * 200
            ),
        )
        shard = claim_records.shard_of(organisation, dispatch.key)
        name = claim_records.owner(_SERVICE, shard, self.servers).name
        self.arrival_times[dispatch.request] = self.now
        outputs = self.agents[name].claim(
            dispatch, serves=_SERVICE, outcome_seconds=3600.0, now=self.now
        )
        self._handle_outputs(name, outputs)

    def _handle_outputs(self, name: str, outputs: list[claims.Output]):
        for output in outputs:
            match output:
                case actions.CallStore():
                    half_latency = self.store.sample_latency() / 2
                    self._schedule(
                        half_latency,
                        self._perform,
                        name,
                        output.call,
                        half_latency,
                    )
                case claim_verdicts.Granted():
                    if self.now >= self.warmup_seconds:
                        wait = self.now - self.arrival_times[output.request]
                        self.results.latencies.append(wait)
                    self._schedule(
                        _RUN_SECONDS, self._finish, name, output.request
                    )
                case claim_verdicts.Denied():
                    self._record_refusal(output)
        wake = self.agents[name].next_wake()
        if wake is not None and wake != self.scheduled_wakes.get(name):
            self.scheduled_wakes[name] = wake
            self._schedule(max(0.0, wake - self.now), self._wake, name, wake)

    def _record_refusal(self, output: claim_verdicts.Denied):
        run_results = self.results
        run_results.denials[output.code] = (
            run_results.denials.get(output.code, 0) + 1
        )
        run_results.refusal_delays.append(
            self.now - self.arrival_times[output.request]
        )
        run_results.refused_arrivals.append(self.arrival_times[output.request])

    def _perform(self, name: str, call: stores.Call, half_latency: float):
        answer = self.store.perform(call, self.now)
        self._schedule(half_latency, self._deliver_answer, name, answer)

    def _deliver_answer(self, name: str, answer: stores.StoreAnswer):
        self._handle_outputs(name, self.agents[name].answer(answer, self.now))

    def _finish(self, name: str, request: str):
        answer = claim_records.StoredAnswer(
            status=201,
            headers=[("content-type", "application/json")],
            body=b"y" * _ANSWER_BYTES,
        )
        outputs = self.agents[name].finished(
            request, answer=answer, now=self.now
        )
        self._handle_outputs(name, outputs)

    def _wake(self, name: str, wake: float):
        if self.scheduled_wakes.get(name) == wake:
            del self.scheduled_wakes[name]
        self._handle_outputs(name, self.agents[name].tick(self.now))


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return float("nan")
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def _format_results(run: Run, seconds: float) -> str:
    run_results = run.results
    latencies_ms = [each * 1000 for each in run_results.latencies]
    granted = len(latencies_ms) / (seconds - run.warmup_seconds)
    denials = ", ".join(
        f"{code.name} {count}" for code, count in run_results.denials.items()
    )
    return (
        f"granted/s {granted:7.1f}"
        f"  p50 {_percentile(latencies_ms, 0.5):6.1f} ms"
        f"  p99 {_percentile(latencies_ms, 0.99):7.1f} ms"
        f"  writes/s {run.store.writes / seconds:6.1f}"
        f"  refused by the store/s {run.store.refused / seconds:5.1f}"
        f"  kB/s {run.store.write_bytes / seconds / 1000:7.1f}"
        f"  denied: {denials or 'none'}"
    )


def load() -> None:
    """Varies the rate of claims; the store allows 300 writes a second."""
    for rate in (1, 10, 30, 100, 200, 400, 800):
        run = Run(
            rate=rate,
            seconds=12.0,
            agents=3,
            limits=claim_shards.ClaimBounds(),
            warmup_seconds=2.0,
        )
        run.run()
        print(f"offered/s {rate:4d}  {_format_results(run, 12.0)}")


def spacing() -> None:
    """Varies the two intervals that trade latency and bytes for writes."""
    for gap, delay in itertools.product((0.0, 0.02, 0.05, 0.1), (0.02, 0.25)):
        limits = claim_shards.ClaimBounds(write_gap=gap, outcome_delay=delay)
        for rate in (10, 100, 400):
            run = Run(
                rate=rate,
                seconds=8.0,
                agents=3,
                limits=limits,
                warmup_seconds=2.0,
            )
            run.run()
            print(
                f"gap {gap:4.2f} s  delay {delay:4.2f} s"
                f"  offered/s {rate:3d}  {_format_results(run, 8.0)}"
            )


def sizes() -> None:
    """Prints record sizes and the rates of claims that fit in an object."""
    key = claim_records.key_digest("org", "key")
    fixed = {"key": key, "content": key, "until": 123456.0}
    answer = claim_records.StoredAnswer(
        status=201,
        headers=[("content-type", "application/json")],
        body=b"y" * _ANSWER_BYTES,
    )
    rows = {
        "claimed": claim_records.ClaimRecord(
            state=claim_records.State.CLAIMED,
            life="f" * 16,
            token=123456,
            **fixed,
        ),
        f"finished, answer of {_ANSWER_BYTES} bytes": claim_records.ClaimRecord(
            state=claim_records.State.FINISHED, answer=answer, **fixed
        ),
        "remembered": claim_records.ClaimRecord(
            state=claim_records.State.REMEMBERED, **fixed
        ),
    }
    for name, record in rows.items():
        print(f"{name}: {len(record.encoded)} bytes")
    limits = claim_shards.ClaimBounds()
    finished, remembered = [len(each.encoded) for each in rows.values()][1:]
    for answer_seconds, key_seconds in (
        (3600, 86400),
        (600, 86400),
        (3600, 14400),
    ):
        # At r claims a second an object holds r * answer_seconds answers
        # and r * key_seconds keys.
        by_answers = limits.answers_bytes / (
            answer_seconds * finished + key_seconds * remembered
        )
        by_keys = limits.object_bytes / (
            (answer_seconds + key_seconds) * remembered
        )
        print(
            f"answers kept {answer_seconds} s, keys known {key_seconds} s:"
            f" {by_answers * claim_records.SHARDS:.2f} claims/s of a service"
            f" with every answer kept,"
            f" {by_keys * claim_records.SHARDS:.2f} before it refuses"
        )
    for count in (100, 1000, 10000):
        _measure_commit(count, finished)


def _measure_commit(count: int, length: int) -> None:
    shard = claim_records.Shard()
    for number in range(count):
        key = claim_records.key_digest("org", str(number))
        shard.records[key] = claim_records.ClaimRecord(
            key=key,
            content=key,
            state=claim_records.State.REMEMBERED,
            until=1e6,
        )
    value = shard.encode()
    encode_seconds, decode_seconds = [], []
    for _ in range(20):
        started = time.process_time()
        shard.size()
        shard.encode()
        encoded_at = time.process_time()
        claim_records.decode(value)
        encode_seconds.append(encoded_at - started)
        decode_seconds.append(time.process_time() - encoded_at)
    print(
        f"{count} keys, {len(value)} bytes:"
        f" encode {statistics.median(encode_seconds) * 1000:.2f} ms,"
        f" decode {statistics.median(decode_seconds) * 1000:.2f} ms"
    )


def outage() -> None:
    """Counts refusals for short and long outages by how long claims wait."""
    outage_waits = {"refuse at once": 0.1, "wait 2 s": 2.0, "wait 10 s": 10.0}
    for outage_seconds in (0.5, 5.0, 60.0):
        for name, outage_wait in outage_waits.items():
            run = Run(
                rate=50,
                seconds=20.0 + outage_seconds,
                agents=3,
                limits=claim_shards.ClaimBounds(outage_wait=outage_wait),
                outages=[(10.0, 10.0 + outage_seconds)],
            )
            run_results = run.run()
            arrived_after = [
                t
                for t in run_results.refused_arrivals
                if t >= 10.0 + outage_seconds
            ]
            delays = run_results.refusal_delays
            print(
                f"outage {outage_seconds:4.1f} s, {name:14s}:"
                f" refused {len(delays)} of {len(run.arrival_times)},"
                f" of these {len(arrived_after)} that came after it;"
                f" refused after p50 {_percentile(delays, 0.5):.2f} s,"
                f" p99 {_percentile(delays, 0.99):.2f} s"
            )


def cost() -> None:
    """Measures processor time and memory of one agent's claims."""
    for rate, seconds in ((5, 60.0), (50, 12.0), (200, 6.0)):
        run = Run(
            rate=rate,
            seconds=seconds,
            agents=1,
            limits=claim_shards.ClaimBounds(),
        )
        started = time.process_time()
        run.run()
        cpu_seconds = time.process_time() - started
        count = len(run.arrival_times)
        print(
            f"{rate} claims/s: {cpu_seconds / count * 1e6:.0f} us of processor"
            f" time for each claim, this bench's own included"
        )
    for count in (1000, 4000):
        print(_measure_burst(count))
    for count in (10000, 20000):
        print(_measure_memory(count))


def _measure_burst(count: int) -> str:
    """Measures many simultaneous claims at one agent."""
    run = Run(
        rate=1.0, seconds=0.0, agents=1, limits=claim_shards.ClaimBounds()
    )
    started = time.process_time()
    for _ in range(count):
        run.claim()
    run.run()
    cpu_seconds = time.process_time() - started
    return (
        f"burst of {count}: granted {len(run.results.latencies)},"
        f" the last after {max(run.results.latencies):.2f} s,"
        f" {cpu_seconds / count * 1e6:.0f} us for each"
    )


def _measure_memory(count: int) -> str:
    tracemalloc.start()
    shard = claim_records.Shard()
    for number in range(count):
        key = claim_records.key_digest("org", str(number))
        shard.records[key] = claim_records.ClaimRecord(
            key=key,
            content=key[::-1],
            state=claim_records.State.REMEMBERED,
            until=1e6,
        )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return f"memory of {count} keys: {size / count:.0f} bytes for each"


def main() -> None:
    """Runs the measurements named on the command line, or all."""
    measurements = {f.__name__: f for f in (load, spacing, sizes, outage, cost)}
    parser = argparse.ArgumentParser()
    parser.add_argument("names", nargs="*", choices=[*measurements, []])
    for name in parser.parse_args().names or measurements:
        print(f"# {name}")
        measurements[name]()


if __name__ == "__main__":
    main()
