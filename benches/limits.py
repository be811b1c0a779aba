"""Compares approaches to applying one contract's limits at ten entries.

Runs in one process, in simulated time; a message takes 1 ms. Usage:

    python -m benches.limits [--seconds 60] [--seed 1]
"""

import argparse
import collections
import heapq
import json
import random
import sys

import attrs
import msgspec

from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import limits

ENTRIES = [f"tcp://10.0.0.{number}:7000" for number in range(1, 11)]
LINK_SECONDS = 0.001
HOLD_SECONDS = 0.3
# Bytes that TCP, IP and pynng add to a message: 40, 12 for timestamps, 8.
OVERHEAD_BYTES = 60


class EqualShare:
    """Baseline: an equal part of the limit for each entry, no messages."""

    def __init__(self, *, address):
        self.address = address
        self.level = None
        self.refilled_at = 0.0
        self.running = set()

    def admit(self, contract, request, now):
        """Admits or refuses a request by this entry's own share."""
        share_count = len(ENTRIES)
        burst = max(1.0, contract.burst / share_count)
        rate = contract.requests_per_second / share_count
        level = burst if self.level is None else self.level
        self.level = min(burst, level + rate * (now - self.refilled_at))
        self.refilled_at = now
        slots = max(1, contract.concurrency // share_count)
        if contract.concurrency and len(self.running) >= slots:
            return limits.Refused(error=None)
        if rate and self.level < 1.0:
            return limits.Refused(error=None)
        self.level -= 1.0
        self.running.add(request)
        return limits.Granted()

    def release(self, request, now):
        """Frees the slot of a request."""
        self.running.discard(request)
        return []

    def handle(self, event, now):
        """Returns no actions: entries exchange no messages."""
        return []


@attrs.define(kw_only=True)
class CounterReport:
    """The two counters of one entry, sent to all others.

    Attributes:
        organisation: organisation of the limits.
        taken: number of requests admitted.
        ended: number of requests ended.
    """

    organisation: str
    taken: int
    ended: int


class MergedCounters(EqualShare):
    """Baseline: each entry's counters, sent to all others and merged."""

    def __init__(self, *, address, report_seconds=0.5):
        super().__init__(address=address)
        self.report_seconds = report_seconds
        self.admitted = collections.Counter()
        self.ended = collections.Counter()
        self.reported = (0, 0)
        self.reported_at = 0.0

    def admit(self, contract, request, now):
        """Admits or refuses a request by the sum of all known counters."""
        burst = float(contract.burst)
        level = burst if self.level is None else self.level
        rate = contract.requests_per_second
        self.level = min(burst, level + rate * (now - self.refilled_at))
        self.refilled_at = now
        running = self.admitted.total() - self.ended.total()
        if contract.concurrency and running >= contract.concurrency:
            return limits.Refused(error=None)
        if rate and self.level < 1.0:
            return limits.Refused(error=None)
        self.level -= 1.0
        self.admitted[self.address] += 1
        return limits.Granted()

    def release(self, request, now):
        """Counts the end of a request."""
        self.ended[self.address] += 1
        return []

    def handle(self, event, now):
        """Merges another entry's counters, or sends this one's."""
        if isinstance(event, events.FromNode):
            report = event.message
            newly_admitted = report.taken - self.admitted[event.sender]
            self.level = (self.level or 0.0) - max(0, newly_admitted)
            self.admitted[event.sender] = report.taken
            self.ended[event.sender] = report.ended
            return []
        own_counts = (self.admitted[self.address], self.ended[self.address])
        if (
            now - self.reported_at < self.report_seconds
            or own_counts == self.reported
        ):
            return []
        self.reported = own_counts
        self.reported_at = now
        message = CounterReport(
            organisation="o", taken=own_counts[0], ended=own_counts[1]
        )
        return [
            actions.Send(address=peer, message=message)
            for peer in ENTRIES
            if peer != self.address
        ]


def new_limits(address, **fields):
    """Returns an entry's ContractLimits with the given policy."""
    node = limits.ContractLimits(
        name=address, address=address, policy=limits.Policy(**fields)
    )
    node.update_entries(ENTRIES, 0.0)
    return node


APPROACHES = {
    "equal share": lambda address: EqualShare(address=address),
    "merged counters": lambda address: MergedCounters(address=address),
    "lending": lambda address: new_limits(address),
    "lending, slots ahead": lambda a: new_limits(a, slots_ahead=True),
    "ask the owner": lambda a: new_limits(a, own_share=0.0, chunk_seconds=0.0),
}


@attrs.define(kw_only=True)
class OfferedLoad:
    """A load and its network faults.

    Attributes:
        name: name in the table.
        contract: the limits.
        requests_per_second: offered over all entries.
        entries_at: returns the entries that get requests at a given time.
        cut_at: returns the mailboxes that are cut off at a given time.
    """

    name: str
    contract: declarations.Contract
    requests_per_second: float
    entries_at: object
    cut_at: object = lambda now: set()


@attrs.define(kw_only=True)
class Result:
    """Measurements of one run.

    Attributes:
        offered: number of requests.
        admitted: number of admitted requests.
        refused_below_limit: requests refused although the limit as a whole
            was not reached.
        max_overdraft: highest number of tokens admitted beyond the bucket.
        max_running: highest number of concurrent requests.
        message_bytes: size of all messages, including transport overhead.
        wait_seconds: time that each request waited for its decision.
        retried: retries at the time given by `retry_after`.
        retried_refused: retries that were refused again.
    """

    offered: int = 0
    admitted: int = 0
    refused_below_limit: int = 0
    max_overdraft: float = 0.0
    max_running: int = 0
    message_bytes: int = 0
    wait_seconds: list = attrs.field(factory=list)
    retried: int = 0
    retried_refused: int = 0


class Run:
    """Simulates one approach under one load."""

    def __init__(self, *, approach, load, seconds, seed):
        self.load = load
        self.seconds = seconds
        self.random = random.Random(seed)
        self.nodes = {
            address: APPROACHES[approach](address) for address in ENTRIES
        }
        self.queue = []
        self.sequence = 0
        self.result = Result()
        self.level = float(load.contract.burst)
        self.refilled_at = 0.0
        self.running = 0
        self.arrived_at = {}
        self.retries = set()

    def schedule(self, when, callback, *arguments):
        """Schedules a call of `callback` with the time and `arguments`."""
        self.sequence += 1
        heapq.heappush(self.queue, (when, self.sequence, callback, arguments))

    def run(self):
        """Runs the simulation and returns its result."""
        now = 0.0
        while now < self.seconds:
            now += self.random.expovariate(self.load.requests_per_second)
            entry = self.random.choice(self.load.entries_at(now))
            self.schedule(now, self.handle_arrival, entry, f"r{self.sequence}")
        for address in ENTRIES:
            self.schedule(self.random.random() * 0.1, self.tick, address)
        while self.queue:
            when, _, callback, arguments = heapq.heappop(self.queue)
            if when > self.seconds:
                break
            callback(when, *arguments)
        return self.result

    def tick(self, now, address):
        """Sends an entry its periodic tick."""
        self.apply_outputs(now, address, self.nodes[address].handle(None, now))
        self.schedule(now + 0.1, self.tick, address)

    def handle_arrival(self, now, address, request):
        """Offers a request to an entry."""
        self.result.offered += 1
        self.arrived_at[request] = now
        outcome = self.nodes[address].admit(self.load.contract, request, now)
        match outcome:
            case limits.Granted():
                self.record_admitted(now, address, request)
            case limits.Refused():
                self.record_refused(now, address, request, outcome.error)
        self.apply_outputs(now, address, getattr(outcome, "sends", []))

    def available_tokens(self, now):
        """Refills the bucket of the whole limit and returns its tokens."""
        contract = self.load.contract
        accrued = (now - self.refilled_at) * contract.requests_per_second
        self.level = min(contract.burst, self.level + accrued)
        self.refilled_at = now
        return self.level

    def record_admitted(self, now, address, request):
        """Records an admitted request and schedules its end."""
        result = self.result
        result.admitted += 1
        result.wait_seconds.append(now - self.arrived_at[request])
        result.retried += request in self.retries
        if self.load.contract.requests_per_second:
            self.level = self.available_tokens(now) - 1.0
            result.max_overdraft = max(result.max_overdraft, -self.level)
        self.running += 1
        result.max_running = max(result.max_running, self.running)
        run_seconds = self.random.expovariate(1 / HOLD_SECONDS)
        self.schedule(now + run_seconds, self.finish, address, request)

    def record_refused(self, now, address, request, error):
        """Records a refusal and schedules a retry for one caller in ten."""
        result = self.result
        result.wait_seconds.append(now - self.arrived_at[request])
        contract = self.load.contract
        has_token = (
            not contract.requests_per_second
            or self.available_tokens(now) >= 1.0
        )
        has_slot = (
            not contract.concurrency or self.running < contract.concurrency
        )
        result.refused_below_limit += has_token and has_slot
        if request in self.retries:
            result.retried += 1
            result.retried_refused += 1
        elif error is not None and self.random.random() < 0.1:
            retry = request + "again"
            self.retries.add(retry)
            when = now + error.retry_after
            self.schedule(when, self.handle_arrival, address, retry)

    def finish(self, now, address, request):
        """Releases a request that has ended."""
        self.running -= 1
        self.apply_outputs(
            now, address, self.nodes[address].release(request, now)
        )

    def apply_outputs(self, now, source, outputs):
        """Records decisions and delivers messages, unless an end is cut off."""
        cut = self.load.cut_at(now)
        for output in outputs:
            match output:
                case actions.Send(address=target, message=message):
                    size = len(msgspec.msgpack.encode(message))
                    self.result.message_bytes += size + OVERHEAD_BYTES
                    if source in cut or target in cut:
                        continue
                    event = events.FromNode(sender=source, message=message)
                    self.schedule(
                        now + LINK_SECONDS, self.receive, target, event
                    )
                case limits.Decided(request=request, error=None):
                    self.record_admitted(now, source, request)
                case limits.Decided(request=request, error=error):
                    self.record_refused(now, source, request, error)

    def receive(self, now, address, event):
        """Delivers a message to an entry."""
        self.apply_outputs(now, address, self.nodes[address].handle(event, now))


def all_entries(now):
    """Spreads requests over all entries."""
    return ENTRIES


def one_entry(now):
    """Sends all requests to one entry, which is not the owner."""
    owner = new_limits(ENTRIES[0]).owner_of("acme")
    return [next(each for each in ENTRIES if each != owner)]


def shifting_entry(now):
    """Sends all requests to one entry for a second, then to the next."""
    return [ENTRIES[int(now) % len(ENTRIES)]]


def owner_cut(now):
    """Cuts off the owner for the middle third of a minute."""
    owner = new_limits(ENTRIES[0]).owner_of("acme")
    return {owner} if 20 <= now < 40 else set()


def half_cut(now):
    """Cuts off half of the entries for the middle third of a minute."""
    owner = new_limits(ENTRIES[0]).owner_of("acme")
    others = [each for each in ENTRIES if each != owner]
    return set(others[:5]) if 20 <= now < 40 else set()


def loads():
    """Yields every load of the table."""

    def contract(**fields):
        return declarations.Contract(organisation="acme", version=1, **fields)

    large = contract(requests_per_second=100, burst=100)
    small = contract(requests_per_second=5, burst=5)
    slots = contract(concurrency=50)
    few_slots = contract(concurrency=4)
    distributions = [
        ("even", all_entries),
        ("one", one_entry),
        ("shifting", shifting_entry),
    ]
    sizes = [
        ("rate 100", large, 100),
        ("rate 5", small, 5),
        ("slots 50", slots, 50 / HOLD_SECONDS),
        ("slots 4", few_slots, 4 / HOLD_SECONDS),
    ]
    for size, limit, capacity in sizes:
        for factor in (0.5, 2.0):
            for distribution, entries_at in distributions:
                yield OfferedLoad(
                    name=f"{size}, {factor:g}x, {distribution}",
                    contract=limit,
                    requests_per_second=capacity * factor,
                    entries_at=entries_at,
                )
        for fault, cut_at in (("owner cut", owner_cut), ("half cut", half_cut)):
            yield OfferedLoad(
                name=f"{size}, 2x, even, {fault}",
                contract=limit,
                requests_per_second=capacity * 2,
                entries_at=all_entries,
                cut_at=cut_at,
            )


def row(approach, load, result, seconds):
    """Returns one row of the table."""
    waits = sorted(result.wait_seconds)
    allowed = load.contract.requests_per_second * seconds + load.contract.burst
    rate = load.contract.requests_per_second
    excess = result.max_overdraft if rate else 0
    if load.contract.concurrency:
        excess = max(0, result.max_running - load.contract.concurrency)
    return {
        "load": load.name,
        "way": approach,
        "let_in": result.admitted,
        "of_limit": round(result.admitted / allowed, 3) if rate else None,
        "over": round(excess, 1),
        "refused_below_percent": round(
            100 * result.refused_below_limit / result.offered, 2
        ),
        "bytes_per_entry_second": round(
            result.message_bytes / seconds / len(ENTRIES), 1
        ),
        "wait_ms_p50": round(1000 * waits[len(waits) // 2], 2),
        "wait_ms_p99": round(1000 * waits[int(len(waits) * 0.99)], 2),
        "retry_kept_percent": round(
            100 * (1 - result.retried_refused / result.retried), 1
        )
        if result.retried
        else None,
    }


def main():
    """Runs all loads and prints a table; --json also writes a JSON file."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    parser.add_argument("--way", default="")
    parser.add_argument("--json", default="")
    arguments = parser.parse_args()
    rows = []
    for load in loads():
        for approach in APPROACHES:
            if arguments.only not in load.name or arguments.way not in approach:
                continue
            result = Run(
                approach=approach,
                load=load,
                seconds=arguments.seconds,
                seed=arguments.seed,
            ).run()
            rows.append(row(approach, load, result, arguments.seconds))
    columns = list(rows[0])
    titles = [name.replace("_", " ") for name in columns]
    print("| " + " | ".join(titles) + " |")
    print("|" + " --- |" * len(columns))
    for each in rows:
        print("| " + " | ".join(str(each[name]) for name in columns) + " |")
    if arguments.json:
        with open(arguments.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    sys.exit(main())
