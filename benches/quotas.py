"""Limits over many routers, in virtual time.

    python -m benches.quotas [--routers 3,22,68] [--cases calm,hot] [--seed 1]

No process, no network. Routers decide by one of several ways; requests of
organisations come to them; links delay, cut and lose; routers are killed and
come back knowing nothing. A judge looks at what ran in every window, and at
what a single bucket would have let in.
"""

import argparse
import collections
import heapq
import itertools
import random

import attrs
import msgspec

from benches import quota_ways
from pimentoledge.routing.quotas import ledgers

WINDOW_SECONDS = 8.0
BOUNDS = ledgers.QuotaBounds(
    window_seconds=WINDOW_SECONDS, over=0.1, slack=72000.0
)
TICK_SECONDS = 0.1
IN_CENTRE_SECONDS = 0.0005
APART_SECONDS = 0.0018
# A process needs so long to come up again, slow VMs longer.
START_SECONDS = (0.4, 1.0)
# What a router that starts needs to read the number of routers.
READ_SECONDS = 0.02
# After which a router that started is known, and who died is forgotten.
MEET_SECONDS = 0.3
MEMBER_SECONDS = 30.0
# What a cut held up comes after it, if it is over so soon.
HELD_SECONDS = 4.0
# Around a message, in bytes.
ENVELOPE_BYTES = 40
DRAFT_COST = 900.0
LOOK_UP_COST = 9190.0
LOOK_UP_SHARE = 0.18


@attrs.frozen(kw_only=True)
class Organisation:
    """Whose requests come.

    Attributes:
        name: its name.
        share: of all requests.
        per_second: its limit's rate.
        burst: its limit's burst.
    """

    name: str
    share: float
    per_second: float
    burst: float


@attrs.frozen(kw_only=True)
class Case:
    """What happens.

    Attributes:
        name: of the case.
        hot: factor of the first organisation's requests, from when to when.
        one: whether these come to one router.
        cuts: part of the routers cut off from all others, each by itself if
            `alone`, from when to when.
        alone: whether those that are cut off don't hear each other.
        one_way: whether only what they send is lost.
        kills: when all are killed.
        kill_owner_at: when the owner of the first organisation is killed.
        roll_from: when routers are stopped in turn, or 0.
        lowered_at: when the first organisation's limit becomes a third, or 0.
    """

    name: str
    hot: tuple[float, float, float] = (1.0, 0.0, 0.0)
    one: bool = False
    cuts: tuple[float, float, float] = (0.0, 0.0, 0.0)
    alone: bool = False
    one_way: bool = False
    kills: tuple[float, ...] = ()
    kill_owner_at: float = 0.0
    roll_from: float = 0.0
    lowered_at: float = 0.0


HOT = (7.0, 5.0, 25.0)
CASES = {
    each.name: each
    for each in (
        Case(name="calm"),
        Case(name="hot", hot=HOT),
        Case(name="hot-one", hot=HOT, one=True),
        Case(name="hot-alone", hot=HOT, cuts=(0.35, 8.0, 18.0), alone=True),
        Case(name="hot-halves", hot=HOT, cuts=(0.5, 8.0, 18.0)),
        Case(name="hot-one-way", hot=HOT, cuts=(0.3, 8.0, 18.0), one_way=True),
        Case(name="hot-kills", hot=HOT, kills=(9.0, 12.0)),
        Case(name="hot-owner-dies", hot=HOT, kill_owner_at=10.0),
        Case(name="hot-rolling", hot=HOT, roll_from=8.0),
        Case(name="hot-lowered", hot=HOT, lowered_at=12.0),
        Case(name="kills", kills=(9.0, 12.0)),
        Case(name="alone", cuts=(0.35, 8.0, 18.0), alone=True),
        Case(name="owner-dies", kill_owner_at=10.0),
    )
}


@attrs.define(kw_only=True)
class Router:
    """One router.

    Attributes:
        name: its mailbox.
        number: its number.
        way: how it decides; None while it is down.
        born: when it started.
        weight: its part of the requests.
    """

    name: str
    number: int
    way: object = None
    born: float = 0.0
    weight: float = 1.0


@attrs.define(kw_only=True)
class Ran:
    """A request that ran."""

    sent: float
    ran: float
    cost: float


@attrs.define(kw_only=True)
class Found:
    """What a play came to.

    Attributes:
        worst: most that ran of an organisation in a window, as a part of what
            the page allows.
        refused_below: part of the tokens below the limits that was not let in
            though as much was asked for.
        messages: a second and router.
        kilobytes: a second and router.
        wait_p99_ms: time until an answer.
        owner_messages: a second, sent and received by the router that has most
            of them, while the first organisation is hot, or else all the time.
        owner_kilobytes: the same in kilobytes.
    """

    worst: float
    refused_below: float
    messages: float
    kilobytes: float
    wait_p99_ms: float
    owner_messages: float
    owner_kilobytes: float


class World:
    """Routers, links and requests."""

    def __init__(
        self, *, way, routers, case, organisations=None, seed=1, rate=None
    ):
        self.random = random.Random(seed)
        self.case = case
        self.make = way
        self.now = 0.0
        self.heap = []
        self.order = itertools.count()
        self.stored = routers
        self.rate = rate or 9.0 * routers
        self.organisations = organisations or usual(self.rate)
        self.version = 1
        self.limits = {
            each.name: ledgers.Limit(
                version=1, per_second=each.per_second, burst=each.burst
            )
            for each in self.organisations
        }
        self.routers = {
            f"tcp://10.0.{number // 250}.{number % 250}:1": Router(
                name=f"tcp://10.0.{number // 250}.{number % 250}:1",
                number=number,
                weight=self.random.lognormvariate(0, 0.4),
            )
            for number in range(routers)
        }
        self.names = list(self.routers)
        self.last_up: dict[str, float] = {}
        self.ran = collections.defaultdict(list)
        self.asked = collections.defaultdict(list)
        self.sent_messages = 0
        self.sent_bytes = 0
        self.load_since = 0.0
        self.load_seconds = 1.0
        self.load_messages = collections.Counter()
        self.load_bytes = collections.Counter()
        self.waits = []
        self.lives = itertools.count(1)
        self.cut = set()

    def at(self, when, what, *arguments):
        """Has something done at a time."""
        heapq.heappush(self.heap, (when, next(self.order), what, arguments))

    def play(self, seconds=30.0, lead=4.0):
        """Plays the case; returns the judge's findings."""
        for router in self.routers.values():
            self.at(self.random.uniform(0, 0.3), self.start, router)
        case = self.case
        for when in case.kills:
            self.at(lead + when, self.kill_all)
        if case.kill_owner_at:
            self.at(lead + case.kill_owner_at, self.kill_owner)
        if case.roll_from:
            for turn, router in enumerate(self.routers.values()):
                when = lead + case.roll_from + 0.5 * turn
                self.at(when, self.stop, router)
        if case.cuts[0]:
            self.at(lead + case.cuts[1], self.begin_cut)
            self.at(lead + case.cuts[2], self.end_cut)
        if case.lowered_at:
            self.at(lead + case.lowered_at, self.lower)
        for each in self.organisations:
            self.at(lead, self.request, each, lead)
        end = lead + seconds
        _, since, until = case.hot if case.hot[0] > 1 else (1, 0, seconds)
        self.load_since = lead + since
        self.load_seconds = min(until, seconds) - since
        while self.heap and self.heap[0][0] < end:
            self.now, _, what, arguments = heapq.heappop(self.heap)
            what(*arguments)
        return self.judge(seconds)

    def start(self, router):
        """Starts a router, which knows nothing."""
        router.born = self.now
        router.way = self.make(
            own=router.name,
            life=next(self.lives),
            bounds=BOUNDS,
            share=lambda now: self.share(router, now),
            routers=lambda now: self.known(router, now),
            send=lambda to, message: self.send(router, to, message),
        )
        self.last_up[router.name] = self.now
        self.at(self.now + 0.01, self.tick, router, router.way)

    def tick(self, router, way):
        """Lets a router do what is due."""
        if router.way is not way:
            return
        self.last_up[router.name] = self.now
        way.tick(self.now)
        later = self.now + TICK_SECONDS * self.random.uniform(0.95, 1.1)
        self.at(later, self.tick, router, way)

    def share(self, router, now):
        """Returns a router's part, once it knows how many there are."""
        if now - router.born < READ_SECONDS:
            return 0.0
        return 1 / max(self.stored, 1 + len(self.known(router, now)))

    def known(self, router, now):
        """Returns whom a router believes to live."""
        if now - router.born < MEET_SECONDS:
            return []
        return [
            name
            for name, other in self.routers.items()
            if other is not router
            and now - self.last_up.get(name, -1e9) < MEMBER_SECONDS
            and (other.way is None or now - other.born >= MEET_SECONDS)
        ]

    def connected(self, sender, receiver):
        """Returns whether a message gets through."""
        if sender == receiver:
            return True
        cut = (sender in self.cut, receiver in self.cut)
        if self.case.one_way:
            return not cut[0] or cut[1]
        if self.case.alone:
            return not any(cut)
        return cut[0] == cut[1]

    def send(self, router, to, message):
        """Sends a message, unless the sender is down."""
        data = len(msgspec.msgpack.encode(message)) + ENVELOPE_BYTES
        self.sent_messages += 1
        self.sent_bytes += data
        if 0 <= self.now - self.load_since < self.load_seconds:
            for each in (router.name, to):
                self.load_messages[each] += 1
                self.load_bytes[each] += data
        delay = IN_CENTRE_SECONDS
        if router.number % 3 != self.routers[to].number % 3:
            delay = APART_SECONDS
        delay *= self.random.uniform(0.9, 1.6)
        way = router.way
        if not self.connected(router.name, to):
            heals = 4.0 + self.case.cuts[2]
            if heals - self.now > HELD_SECONDS:
                return
            delay = heals - self.now + self.random.uniform(0, 0.3)
        self.at(self.now + delay, self.deliver, router.name, way, to, message)

    def deliver(self, sender, way, to, message):
        """Brings a message, if the receiver is up."""
        router = self.routers[to]
        if router.way is None:
            back = self.routers[sender]
            if back.way is way:
                back.way.unreachable(to, self.now)
            return
        router.way.handle(sender, message, self.now)

    def stop(self, router):
        """Tells a router to end; it comes back later."""
        if router.way is None:
            return
        router.way.leave(self.now)
        self.at(self.now + 2.7, self.kill, router)

    def kill(self, router):
        """Kills a router; it comes back knowing nothing."""
        router.way = None
        later = 1.0 + self.random.uniform(*START_SECONDS)
        self.at(self.now + later, self.start, router)

    def kill_all(self):
        """Kills all routers."""
        for router in self.routers.values():
            if router.way is not None:
                self.kill(router)

    def kill_owner(self):
        """Kills the router that has most rights of the first organisation."""
        slot = ledgers.slot_of(self.organisations[0].name)
        self.kill(
            max(
                self.routers.values(),
                key=lambda each: each.way.ledger.slots[slot].share,
            )
        )

    def begin_cut(self):
        """Cuts some routers off."""
        count = int(self.case.cuts[0] * len(self.names))
        self.cut = set(self.random.sample(self.names, count))

    def end_cut(self):
        """Heals the cut."""
        self.cut = set()

    def lower(self):
        """Makes the first organisation's limit a third."""
        name = self.organisations[0].name
        before = self.limits[name]
        self.limits[name] = ledgers.Limit(
            version=2,
            per_second=before.per_second / 3,
            burst=before.burst / 3,
        )

    def request(self, organisation, lead):
        """Lets a request come, and plans the next."""
        factor, since, until = self.case.hot
        hot = organisation is self.organisations[0]
        hot = hot and since <= self.now - lead < until
        rate = self.rate * organisation.share * (factor if hot else 1.0)
        self.at(
            self.now + self.random.expovariate(rate),
            self.request,
            organisation,
            lead,
        )
        mean = DRAFT_COST
        if self.random.random() < LOOK_UP_SHARE:
            mean = LOOK_UP_COST
        cost = round(mean * min(4.0, self.random.lognormvariate(-0.18, 0.6)))
        names = self.names
        if hot and self.case.one and factor > 1:
            names = names[:1]
        weights = [self.routers[name].weight for name in names]
        router = self.routers[self.random.choices(names, weights)[0]]
        if router.way is None:
            return
        self.asked[organisation.name].append((self.now, cost))
        began = self.now

        def decided(answer):
            self.waits.append(self.now - began)
            if answer.decision.granted:
                self.ran[organisation.name].append(
                    Ran(sent=began, ran=self.now, cost=cost)
                )

        limit = self.limits[organisation.name]
        router.way.acquire(organisation.name, limit, cost, self.now, decided)

    def judge(self, seconds):
        """Returns what the play came to."""
        owed = lost = 0.0
        for organisation in self.organisations:
            below = below_limit(organisation, self.asked[organisation.name])
            let_in = sum(each.cost for each in self.ran[organisation.name])
            owed += below
            lost += max(0.0, below - let_in)
        worst = max(
            worst_window(organisation, self.ran[organisation.name])
            for organisation in self.organisations
        )
        waits = sorted(self.waits)
        routers = len(self.routers)
        return Found(
            worst=worst,
            refused_below=lost / max(1.0, owed),
            messages=self.sent_messages / seconds / routers,
            kilobytes=self.sent_bytes / seconds / routers / 1000,
            wait_p99_ms=1000 * waits[int(0.99 * len(waits))],
            owner_messages=most(self.load_messages) / self.load_seconds,
            owner_kilobytes=most(self.load_bytes) / self.load_seconds / 1000,
        )


def most(counter):
    """Returns the highest count, or 0."""
    return max(counter.values(), default=0)


def usual(rate):
    """Returns sixteen organisations, a few of them large."""
    weights = [1 / rank for rank in range(1, 17)]
    mean = LOOK_UP_SHARE * LOOK_UP_COST + (1 - LOOK_UP_SHARE) * DRAFT_COST
    found = []
    for number, weight in enumerate(weights):
        share = weight / sum(weights)
        per_second = max(18000.0, 1.8 * rate * share * mean)
        found.append(
            Organisation(
                name=f"o{number}",
                share=share,
                per_second=per_second,
                burst=per_second,
            )
        )
    return found


def below_limit(organisation, asked):
    """Returns how many tokens one bucket would let in."""
    level = organisation.burst
    before = found = 0.0
    for when, cost in asked:
        refill = organisation.per_second * (when - before)
        level = min(organisation.burst, level + refill)
        before = when
        if level >= cost:
            level -= cost
            found += cost
    return found


def worst_window(organisation, ran):
    """Returns the most that ran in a window, by what is allowed."""
    limit = organisation.per_second * WINDOW_SECONDS + organisation.burst
    allowed = limit * (1 + BOUNDS.over) + BOUNDS.slack
    worst = total = 0.0
    window = collections.deque()
    for each in sorted(ran, key=lambda one: one.ran):
        window.append(each)
        total += each.cost
        while window[0].ran < each.ran - WINDOW_SECONDS:
            total -= window.popleft().cost
        worst = max(worst, total)
    return worst / allowed


def main():
    """Prints a table of ways by cases."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", default="3,22,68")
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--ways", default=",".join(quota_ways.WAYS))
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    print(
        "| routers | case | way | worst | below % | msg/s | kB/s | p99 ms |"
        " owner msg/s | owner kB/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for routers in map(int, chosen.routers.split(",")):
        for case in chosen.cases.split(","):
            for way in chosen.ways.split(","):
                found = World(
                    way=quota_ways.WAYS[way],
                    routers=routers,
                    case=CASES[case],
                    seed=chosen.seed,
                ).play()
                print(
                    f"| {routers} | {case} | {way} | {found.worst:.2f} |"
                    f" {100 * found.refused_below:.2f} |"
                    f" {found.messages:.0f} | {found.kilobytes:.1f} |"
                    f" {found.wait_p99_ms:.1f} |"
                    f" {found.owner_messages:.0f} |"
                    f" {found.owner_kilobytes:.0f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
