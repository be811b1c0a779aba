"""Compares ways of holding one contract's limits over ten entries.

Virtual time, one process, links of one millisecond. Run:

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


class Share:
    """Baseline: an equal part of the limit for each entry, no messages."""

    def __init__(self, *, address):
        self.address = address
        self.level = None
        self.at = 0.0
        self.running = set()

    def admit(self, contract, request, now):
        """Lets in from this entry's own part."""
        part = len(ENTRIES)
        burst = max(1.0, contract.burst / part)
        rate = contract.requests_per_second / part
        level = burst if self.level is None else self.level
        self.level = min(burst, level + rate * (now - self.at))
        self.at = now
        slots = max(1, contract.concurrency // part)
        if contract.concurrency and len(self.running) >= slots:
            return limits.Refused(error=None)
        if rate and self.level < 1.0:
            return limits.Refused(error=None)
        self.level -= 1.0
        self.running.add(request)
        return limits.Granted()

    def release(self, request, now):
        """Ends a request."""
        self.running.discard(request)
        return []

    def handle(self, event, now):
        """Has nothing to do."""
        return []


@attrs.define(kw_only=True)
class Counts:
    """What an entry tells the others: its own two counters."""

    organisation: str
    taken: int
    ended: int


class Merged(Share):
    """Baseline: each entry's counters, sent to all others and merged."""

    def __init__(self, *, address, period=0.5):
        super().__init__(address=address)
        self.period = period
        self.taken = collections.Counter()
        self.ended = collections.Counter()
        self.told = (0, 0)
        self.told_at = 0.0

    def admit(self, contract, request, now):
        """Lets in against the sum of all counters known here."""
        burst = float(contract.burst)
        level = burst if self.level is None else self.level
        rate = contract.requests_per_second
        self.level = min(burst, level + rate * (now - self.at))
        self.at = now
        running = self.taken.total() - self.ended.total()
        if contract.concurrency and running >= contract.concurrency:
            return limits.Refused(error=None)
        if rate and self.level < 1.0:
            return limits.Refused(error=None)
        self.level -= 1.0
        self.taken[self.address] += 1
        return limits.Granted()

    def release(self, request, now):
        """Counts the end of a request."""
        self.ended[self.address] += 1
        return []

    def handle(self, event, now):
        """Merges another entry's counters, or sends this one's."""
        if isinstance(event, events.FromNode):
            counts = event.message
            fresh = counts.taken - self.taken[event.sender]
            self.level = (self.level or 0.0) - max(0, fresh)
            self.taken[event.sender] = counts.taken
            self.ended[event.sender] = counts.ended
            return []
        own = (self.taken[self.address], self.ended[self.address])
        if now - self.told_at < self.period or own == self.told:
            return []
        self.told = own
        self.told_at = now
        message = Counts(organisation="o", taken=own[0], ended=own[1])
        return [
            actions.Send(address=peer, message=message)
            for peer in ENTRIES
            if peer != self.address
        ]


def lending(address, **fields):
    """Returns the product's own limits, with a policy."""
    node = limits.ContractLimits(
        name=address, address=address, policy=limits.Policy(**fields)
    )
    node.update_entries(ENTRIES, 0.0)
    return node


WAYS = {
    "equal share": lambda address: Share(address=address),
    "merged counters": lambda address: Merged(address=address),
    "lending": lambda address: lending(address),
    "lending, slots ahead": lambda a: lending(a, slots_ahead=True),
    "ask the owner": lambda a: lending(a, own_share=0.0, chunk_seconds=0.0),
}


@attrs.define(kw_only=True)
class OfferedLoad:
    """What is offered, and what is wrong.

    Attributes:
        name: for the table.
        contract: the limits.
        offered: requests per second over all entries.
        place: which entries get the requests, by time.
        cut: mailboxes cut off, by time.
    """

    name: str
    contract: declarations.Contract
    offered: float
    place: object
    cut: object = lambda now: set()


@attrs.define(kw_only=True)
class Result:
    """What came out of one run.

    Attributes:
        offered: requests.
        let_in: requests let in.
        refused_below: refused while the limit as a whole had room.
        overdraft: most requests that the bucket was ever short of.
        peak: most requests that ran at one time.
        message_bytes: of all messages, with the transport's own.
        waits: time each request waited for a decision, seconds.
        returned: callers that came back at the time they were told.
        returned_refused: of them, refused again.
    """

    offered: int = 0
    let_in: int = 0
    refused_below: int = 0
    overdraft: float = 0.0
    peak: int = 0
    message_bytes: int = 0
    waits: list = attrs.field(factory=list)
    returned: int = 0
    returned_refused: int = 0


class Run:
    """One run of one way under one load."""

    def __init__(self, *, way, load, seconds, seed):
        self.load = load
        self.seconds = seconds
        self.random = random.Random(seed)
        self.nodes = {address: WAYS[way](address) for address in ENTRIES}
        self.queue = []
        self.order = 0
        self.result = Result()
        self.level = float(load.contract.burst)
        self.at = 0.0
        self.running = 0
        self.asked = {}
        self.again = set()

    def push(self, when, what, *fields):
        """Puts an event into the queue."""
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, what, fields))

    def run(self):
        """Runs to the end and returns the result."""
        now = 0.0
        while now < self.seconds:
            now += self.random.expovariate(self.load.offered)
            place = self.random.choice(self.load.place(now))
            self.push(now, self.arrive, place, f"r{self.order}")
        for address in ENTRIES:
            self.push(self.random.random() * 0.1, self.tick, address)
        while self.queue:
            when, _, what, fields = heapq.heappop(self.queue)
            if when > self.seconds:
                break
            what(when, *fields)
        return self.result

    def tick(self, now, address):
        """Lets an entry look at its leases."""
        self.do(now, address, self.nodes[address].handle(None, now))
        self.push(now + 0.1, self.tick, address)

    def arrive(self, now, address, request):
        """A request reaches an entry."""
        self.result.offered += 1
        self.asked[request] = now
        taken = self.nodes[address].admit(self.load.contract, request, now)
        match taken:
            case limits.Granted():
                self.granted(now, address, request)
            case limits.Refused():
                self.refused(now, address, request, taken.error)
        self.do(now, address, getattr(taken, "sends", []))

    def room(self, now):
        """Returns the tokens that the whole limit has left."""
        contract = self.load.contract
        fresh = (now - self.at) * contract.requests_per_second
        self.level = min(contract.burst, self.level + fresh)
        self.at = now
        return self.level

    def granted(self, now, address, request):
        """A request is let in."""
        result = self.result
        result.let_in += 1
        result.waits.append(now - self.asked[request])
        result.returned += request in self.again
        if self.load.contract.requests_per_second:
            self.level = self.room(now) - 1.0
            result.overdraft = max(result.overdraft, -self.level)
        self.running += 1
        result.peak = max(result.peak, self.running)
        held = self.random.expovariate(1 / HOLD_SECONDS)
        self.push(now + held, self.end, address, request)

    def refused(self, now, address, request, error):
        """A request is refused; some callers come back when told."""
        result = self.result
        result.waits.append(now - self.asked[request])
        contract = self.load.contract
        token = not contract.requests_per_second or self.room(now) >= 1.0
        free = not contract.concurrency or self.running < contract.concurrency
        result.refused_below += token and free
        if request in self.again:
            result.returned += 1
            result.returned_refused += 1
        elif error is not None and self.random.random() < 0.1:
            name = request + "again"
            self.again.add(name)
            when = now + error.retry_after
            self.push(when, self.arrive, address, name)

    def end(self, now, address, request):
        """A request has run."""
        self.running -= 1
        self.do(now, address, self.nodes[address].release(request, now))

    def do(self, now, source, done):
        """Carries messages, unless one end is cut off."""
        cut = self.load.cut(now)
        for action in done:
            match action:
                case actions.Send(address=target, message=message):
                    size = len(msgspec.msgpack.encode(message))
                    self.result.message_bytes += size + OVERHEAD_BYTES
                    if source in cut or target in cut:
                        continue
                    event = events.FromNode(sender=source, message=message)
                    self.push(now + LINK_SECONDS, self.hear, target, event)
                case limits.Decided(request=request, error=None):
                    self.granted(now, source, request)
                case limits.Decided(request=request, error=error):
                    self.refused(now, source, request, error)

    def hear(self, now, address, event):
        """A message reaches an entry."""
        self.do(now, address, self.nodes[address].handle(event, now))


def even(now):
    """Spreads requests over all entries."""
    return ENTRIES


def one(now):
    """Sends all requests to one entry, which is not the owner."""
    owner = lending(ENTRIES[0]).owner_of("acme")
    return [next(each for each in ENTRIES if each != owner)]


def shifting(now):
    """Sends all requests to one entry for a second, then to the next."""
    return [ENTRIES[int(now) % len(ENTRIES)]]


def owner_cut(now):
    """Cuts off the owner for the middle third of a minute."""
    owner = lending(ENTRIES[0]).owner_of("acme")
    return {owner} if 20 <= now < 40 else set()


def half_cut(now):
    """Cuts off half of the entries for the middle third of a minute."""
    owner = lending(ENTRIES[0]).owner_of("acme")
    others = [each for each in ENTRIES if each != owner]
    return set(others[:5]) if 20 <= now < 40 else set()


def loads():
    """Returns every load of the table."""

    def contract(**fields):
        return declarations.Contract(organisation="acme", version=1, **fields)

    large = contract(requests_per_second=100, burst=100)
    small = contract(requests_per_second=5, burst=5)
    slots = contract(concurrency=50)
    few = contract(concurrency=4)
    places = [("even", even), ("one", one), ("shifting", shifting)]
    sizes = [
        ("rate 100", large, 100),
        ("rate 5", small, 5),
        ("slots 50", slots, 50 / HOLD_SECONDS),
        ("slots 4", few, 4 / HOLD_SECONDS),
    ]
    for size, limit, full in sizes:
        for factor in (0.5, 2.0):
            for place, chosen in places:
                yield OfferedLoad(
                    name=f"{size}, {factor:g}x, {place}",
                    contract=limit,
                    offered=full * factor,
                    place=chosen,
                )
        for fault, cut in (("owner cut", owner_cut), ("half cut", half_cut)):
            yield OfferedLoad(
                name=f"{size}, 2x, even, {fault}",
                contract=limit,
                offered=full * 2,
                place=even,
                cut=cut,
            )


def row(way, load, result, seconds):
    """Returns one line of the table."""
    waits = sorted(result.waits)
    ideal = load.contract.requests_per_second * seconds + load.contract.burst
    rate = load.contract.requests_per_second
    over = result.overdraft if rate else 0
    if load.contract.concurrency:
        over = max(0, result.peak - load.contract.concurrency)
    return {
        "load": load.name,
        "way": way,
        "let_in": result.let_in,
        "of_limit": round(result.let_in / ideal, 3) if rate else None,
        "over": round(over, 1),
        "refused_below_percent": round(
            100 * result.refused_below / result.offered, 2
        ),
        "bytes_per_entry_second": round(
            result.message_bytes / seconds / len(ENTRIES), 1
        ),
        "wait_ms_p50": round(1000 * waits[len(waits) // 2], 2),
        "wait_ms_p99": round(1000 * waits[int(len(waits) * 0.99)], 2),
        "retry_kept_percent": round(
            100 * (1 - result.returned_refused / result.returned), 1
        )
        if result.returned
        else None,
    }


def main():
    """Runs all and prints a table, then the same as JSON with --json."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="")
    parser.add_argument("--way", default="")
    parser.add_argument("--json", default="")
    chosen = parser.parse_args()
    rows = []
    for load in loads():
        for way in WAYS:
            if chosen.only not in load.name or chosen.way not in way:
                continue
            result = Run(
                way=way, load=load, seconds=chosen.seconds, seed=chosen.seed
            ).run()
            rows.append(row(way, load, result, chosen.seconds))
    head = list(rows[0])
    short = [name.replace("_", " ") for name in head]
    print("| " + " | ".join(short) + " |")
    print("|" + " --- |" * len(head))
    for each in rows:
        print("| " + " | ".join(str(each[name]) for name in head) + " |")
    if chosen.json:
        with open(chosen.json, "w") as file:
            json.dump(rows, file, indent=1)


if __name__ == "__main__":
    sys.exit(main())
