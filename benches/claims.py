"""Claims in virtual time: agents, one rate-limited store, Poisson arrivals.

The claims are the real ones; the store counts, refuses what is above its
rate, and answers after a few milliseconds.

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


class Store:
    """Objects with conditional writes, two rates and outages.

    Attributes:
        objects: object by path.
        revision: version of the newest write.
        writes: writes that took effect.
        refused: calls refused for their rate.
        reads: reads answered.
        write_bytes: bytes of values written.
        outages: spans of time in which every call is refused.
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
        self.filled = 0.0

    def seconds(self) -> float:
        """Returns the time that the next call takes."""
        return _STORE_SECONDS * self.random.lognormvariate(0.0, 0.4)

    def perform(self, call: stores.Call, now: float) -> stores.StoreAnswer:
        """Performs a call, or refuses it."""
        if any(start <= now < end for start, end in self.outages):
            return stores.StoreAnswer(
                call=call.call, outcome=stores.Outcome.DOWN
            )
        if not self._allowed(type(call), now):
            self.refused += 1
            return stores.StoreAnswer(
                call=call.call, outcome=stores.Outcome.DOWN
            )
        found = self.objects.get(call.path)
        if isinstance(call, stores.Read):
            self.reads += 1
            return self._found(call, found)
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

    def _found(self, call, found) -> stores.StoreAnswer:
        if found is None:
            outcome = stores.Outcome.ABSENT
            return stores.StoreAnswer(call=call.call, outcome=outcome)
        return stores.StoreAnswer(
            call=call.call, outcome=stores.Outcome.FOUND, objects=[found]
        )

    def _allowed(self, kind: type, now: float) -> bool:
        passed = now - self.filled
        self.filled = now
        rates = {
            stores.Write: _WRITES_PER_SECOND,
            stores.Read: _READS_PER_SECOND,
        }
        for each, rate in rates.items():
            filled = self.tokens[each] + passed * rate
            self.tokens[each] = min(filled, rate * _BURST_SECONDS)
        if self.tokens[kind] < 1.0:
            return False
        self.tokens[kind] -= 1.0
        return True


@attrs.define(kw_only=True)
class Measured:
    """What a run came to.

    Attributes:
        latencies: seconds from arrival to grant.
        denied: refusals by code.
        waits: seconds from arrival to refusal.
        times: arrival time of each refusal.
    """

    latencies: list[float] = attrs.field(factory=list)
    denied: dict[results.Code, int] = attrs.field(factory=dict)
    waits: list[float] = attrs.field(factory=list)
    times: list[float] = attrs.field(factory=list)


class Run:
    """One run in virtual time.

    Attributes:
        store: the store.
        now: virtual time in seconds.
        measured: the figures.
        agents: claims of each agent, by name.
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
        warm: float = 0.0,
    ):
        self.store = Store(seed=seed, outages=outages or [])
        self.random = random.Random(seed)
        self.rate = rate
        self.seconds = seconds
        self.warm = warm
        self.now = 0.0
        self.measured = Measured()
        self.events: list = []
        self.order = itertools.count()
        self.arrived: dict[str, float] = {}
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
        self.woken: dict[str, float] = {}

    def run(self) -> Measured:
        """Runs to the end of the arrivals, and until all are answered."""
        self._later(self.random.expovariate(self.rate), self._arrive)
        while self.events:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)
        return self.measured

    def _later(self, seconds: float, act, *arguments):
        entry = (self.now + seconds, next(self.order), act, arguments)
        heapq.heappush(self.events, entry)

    def _arrive(self):
        if self.now >= self.seconds:
            return
        self.claim()
        self._later(self.random.expovariate(self.rate), self._arrive)

    def claim(self):
        """Makes one claim, with a new key, at the agent that owns it."""
        number = next(self.order)
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
        self.arrived[dispatch.request] = self.now
        outputs = self.agents[name].claim(
            dispatch, serves=_SERVICE, outcome_seconds=3600.0, now=self.now
        )
        self._take(name, outputs)

    def _take(self, name: str, outputs: list[claims.Output]):
        for output in outputs:
            match output:
                case actions.CallStore():
                    half = self.store.seconds() / 2
                    self._later(half, self._perform, name, output.call, half)
                case claim_verdicts.Granted():
                    if self.now >= self.warm:
                        wait = self.now - self.arrived[output.request]
                        self.measured.latencies.append(wait)
                    self._later(
                        _RUN_SECONDS, self._finish, name, output.request
                    )
                case claim_verdicts.Denied():
                    self._refused(output)
        wake = self.agents[name].next_wake()
        if wake is not None and wake != self.woken.get(name):
            self.woken[name] = wake
            self._later(max(0.0, wake - self.now), self._wake, name, wake)

    def _refused(self, output: claim_verdicts.Denied):
        measured = self.measured
        measured.denied[output.code] = measured.denied.get(output.code, 0) + 1
        measured.waits.append(self.now - self.arrived[output.request])
        measured.times.append(self.arrived[output.request])

    def _perform(self, name: str, call: stores.Call, half: float):
        answer = self.store.perform(call, self.now)
        self._later(half, self._answer, name, answer)

    def _answer(self, name: str, answer: stores.StoreAnswer):
        self._take(name, self.agents[name].answer(answer, self.now))

    def _finish(self, name: str, request: str):
        answer = claim_records.StoredAnswer(
            status=201,
            headers=[("content-type", "application/json")],
            body=b"y" * _ANSWER_BYTES,
        )
        outputs = self.agents[name].finished(
            request, answer=answer, now=self.now
        )
        self._take(name, outputs)

    def _wake(self, name: str, wake: float):
        if self.woken.get(name) == wake:
            del self.woken[name]
        self._take(name, self.agents[name].tick(self.now))


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return float("nan")
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def _line(run: Run, seconds: float) -> str:
    measured = run.measured
    ms = [each * 1000 for each in measured.latencies]
    granted = len(ms) / (seconds - run.warm)
    denied = ", ".join(
        f"{code.name} {count}" for code, count in measured.denied.items()
    )
    return (
        f"granted/s {granted:7.1f}  p50 {_percentile(ms, 0.5):6.1f} ms"
        f"  p99 {_percentile(ms, 0.99):7.1f} ms"
        f"  writes/s {run.store.writes / seconds:6.1f}"
        f"  refused by the store/s {run.store.refused / seconds:5.1f}"
        f"  kB/s {run.store.write_bytes / seconds / 1000:7.1f}"
        f"  denied: {denied or 'none'}"
    )


def load() -> None:
    """Claims a second against the store's 300 writes a second."""
    for rate in (1, 10, 30, 100, 200, 400, 800):
        run = Run(
            rate=rate,
            seconds=12.0,
            agents=3,
            limits=claim_shards.ClaimBounds(),
            warm=2.0,
        )
        run.run()
        print(f"offered/s {rate:4d}  {_line(run, 12.0)}")


def spacing() -> None:
    """The two intervals that trade latency and bytes for writes."""
    for gap, delay in itertools.product((0.0, 0.02, 0.05, 0.1), (0.02, 0.25)):
        limits = claim_shards.ClaimBounds(write_gap=gap, outcome_delay=delay)
        for rate in (10, 100, 400):
            run = Run(rate=rate, seconds=8.0, agents=3, limits=limits, warm=2.0)
            run.run()
            print(
                f"gap {gap:4.2f} s  delay {delay:4.2f} s"
                f"  offered/s {rate:3d}  {_line(run, 8.0)}"
            )


def sizes() -> None:
    """Bytes of the records, and what one object holds."""
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
    for kept, known in ((3600, 86400), (600, 86400), (3600, 14400)):
        # With r claims a second: r * kept answers and r * known keys.
        by_answers = limits.answers_bytes / (
            kept * finished + known * remembered
        )
        by_keys = limits.object_bytes / ((kept + known) * remembered)
        print(
            f"answers kept {kept} s, keys known {known} s:"
            f" {by_answers * claim_records.SHARDS:.2f} claims/s of a service"
            f" with every answer kept,"
            f" {by_keys * claim_records.SHARDS:.2f} before it refuses"
        )
    for count in (100, 1000, 10000):
        _commit_cost(count, finished)


def _commit_cost(count: int, length: int) -> None:
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
    encoding, decoding = [], []
    for _ in range(20):
        started = time.process_time()
        shard.size()
        shard.encode()
        middle = time.process_time()
        claim_records.decode(value)
        encoding.append(middle - started)
        decoding.append(time.process_time() - middle)
    print(
        f"{count} keys, {len(value)} bytes:"
        f" encode {statistics.median(encoding) * 1000:.2f} ms,"
        f" decode {statistics.median(decoding) * 1000:.2f} ms"
    )


def outage() -> None:
    """Refusals under each patience, for a blip and for an outage."""
    ways = {"refuse at once": 0.1, "wait 2 s": 2.0, "wait 10 s": 10.0}
    for length in (0.5, 5.0, 60.0):
        for name, patience in ways.items():
            run = Run(
                rate=50,
                seconds=20.0 + length,
                agents=3,
                limits=claim_shards.ClaimBounds(outage_wait=patience),
                outages=[(10.0, 10.0 + length)],
            )
            measured = run.run()
            after = [t for t in measured.times if t >= 10.0 + length]
            waits = measured.waits
            print(
                f"outage {length:4.1f} s, {name:14s}:"
                f" refused {len(waits)} of {len(run.arrived)},"
                f" of these {len(after)} that came after it;"
                f" refused after p50 {_percentile(waits, 0.5):.2f} s,"
                f" p99 {_percentile(waits, 0.99):.2f} s"
            )


def cost() -> None:
    """Processor time and memory of one agent's claims."""
    for rate, seconds in ((5, 60.0), (50, 12.0), (200, 6.0)):
        run = Run(
            rate=rate,
            seconds=seconds,
            agents=1,
            limits=claim_shards.ClaimBounds(),
        )
        started = time.process_time()
        run.run()
        spent = time.process_time() - started
        count = len(run.arrived)
        print(
            f"{rate} claims/s: {spent / count * 1e6:.0f} us of processor time"
            f" for each claim, this bench's own included"
        )
    for count in (1000, 4000):
        print(_herd(count))
    for count in (10000, 20000):
        print(_memory(count))


def _herd(count: int) -> str:
    """Many claims in one moment at one agent."""
    run = Run(
        rate=1.0, seconds=0.0, agents=1, limits=claim_shards.ClaimBounds()
    )
    started = time.process_time()
    for _ in range(count):
        run.claim()
    run.run()
    spent = time.process_time() - started
    return (
        f"herd of {count}: granted {len(run.measured.latencies)},"
        f" the last after {max(run.measured.latencies):.2f} s,"
        f" {spent / count * 1e6:.0f} us for each"
    )


def _memory(count: int) -> str:
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
    """Runs the measurements that are named, or all."""
    every = {f.__name__: f for f in (load, spacing, sizes, outage, cost)}
    parser = argparse.ArgumentParser()
    parser.add_argument("names", nargs="*", choices=[*every, []])
    for name in parser.parse_args().names or every:
        print(f"# {name}")
        every[name]()


if __name__ == "__main__":
    main()
