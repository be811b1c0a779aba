"""Simulates limits that many routers share, in virtual time.

    python -m benches.quotas [--routers 3,22,68] [--cases calm,hot] [--seed 1]

There are no processes and no network. Routers with one of several limiters
receive requests of organisations; links delay and lose messages and are
partitioned; routers are killed and restart without state. The results compare
the requests executed in every window with the limits, and with the requests
that a single token bucket would have admitted.
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
SAME_CENTRE_DELAY_SECONDS = 0.0005
CROSS_CENTRE_DELAY_SECONDS = 0.0018
# Range of the start time of a process; it is longer on slow VMs.
RESTART_SECONDS = (0.4, 1.0)
# Time that a starting router needs to read the number of routers.
ROUTER_COUNT_READ_SECONDS = 0.02
# Time after which other routers know a started router, and after which they
# forget one that is down.
DISCOVERY_SECONDS = 0.3
MEMBERSHIP_SECONDS = 30.0
# Messages into a partition are delivered after it if it heals within this time,
# and are lost otherwise.
MAX_HEAL_DELAY_SECONDS = 4.0
# Bytes of the frame around a message.
ENVELOPE_BYTES = 40
DRAFT_COST = 900.0
LOOK_UP_COST = 9190.0
LOOK_UP_SHARE = 0.18


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation and its limit.

    Attributes:
        name: the organisation's name.
        share: share of all requests.
        per_second: rate of the limit.
        burst: burst of the limit.
    """

    name: str
    share: float
    per_second: float
    burst: float


@attrs.frozen(kw_only=True)
class Case:
    """Load changes and faults of a simulation.

    Attributes:
        name: name of the case.
        hot_load: factor on the first organisation's load, and begin and end of
            that.
        hot_at_one_router: whether that load comes to one router.
        partition: share of the routers partitioned from all others, and begin
            and end of that.
        isolated: whether partitioned routers don't reach each other either.
        one_way: whether only messages from partitioned routers are lost.
        kill_all_at: times at which all routers are killed.
        kill_owner_at: when the owner of the first organisation is killed.
        rolling_restart_from: when routers begin to restart in turn; 0 for
            never.
        lowered_at: when the first organisation's limit is reduced to a third;
            0 for never.
    """

    name: str
    hot_load: tuple[float, float, float] = (1.0, 0.0, 0.0)
    hot_at_one_router: bool = False
    partition: tuple[float, float, float] = (0.0, 0.0, 0.0)
    isolated: bool = False
    one_way: bool = False
    kill_all_at: tuple[float, ...] = ()
    kill_owner_at: float = 0.0
    rolling_restart_from: float = 0.0
    lowered_at: float = 0.0


HOT = (7.0, 5.0, 25.0)
CASES = {
    each.name: each
    for each in (
        Case(name="calm"),
        Case(name="hot", hot_load=HOT),
        Case(name="hot-one", hot_load=HOT, hot_at_one_router=True),
        Case(
            name="hot-alone",
            hot_load=HOT,
            partition=(0.35, 8.0, 18.0),
            isolated=True,
        ),
        Case(name="hot-halves", hot_load=HOT, partition=(0.5, 8.0, 18.0)),
        Case(
            name="hot-one-way",
            hot_load=HOT,
            partition=(0.3, 8.0, 18.0),
            one_way=True,
        ),
        Case(name="hot-kills", hot_load=HOT, kill_all_at=(9.0, 12.0)),
        Case(
            name="hot-many-kills",
            hot_load=HOT,
            kill_all_at=(6.0, 7.5, 9.0, 10.5, 12.0, 13.5),
        ),
        Case(name="hot-owner-dies", hot_load=HOT, kill_owner_at=10.0),
        Case(name="hot-rolling", hot_load=HOT, rolling_restart_from=8.0),
        Case(name="hot-lowered", hot_load=HOT, lowered_at=12.0),
        Case(name="kills", kill_all_at=(9.0, 12.0)),
        Case(name="alone", partition=(0.35, 8.0, 18.0), isolated=True),
        Case(name="owner-dies", kill_owner_at=10.0),
    )
}


@attrs.define(kw_only=True)
class Router:
    """One router.

    Attributes:
        name: the router's mailbox.
        number: index of the router.
        limiter: the router's limiter; None while the router is down.
        started_at: time of the last start.
        weight: weight of the router in the distribution of requests.
    """

    name: str
    number: int
    limiter: object = None
    started_at: float = 0.0
    weight: float = 1.0


@attrs.define(kw_only=True)
class ExecutedRequest:
    """A request that was granted and executed.

    Attributes:
        arrived_at: when the request reached a router.
        executed_at: when it was granted.
        cost: cost in the limit's unit.
    """

    arrived_at: float
    executed_at: float
    cost: float


@attrs.define(kw_only=True)
class Result:
    """Results of a simulation.

    Attributes:
        worst_ratio: highest cost executed for an organisation in a window,
            relative to the allowed cost.
        refused_below_limit: share of the requested tokens below the limits that
            was not admitted.
        messages: messages per second and router.
        kilobytes: kilobytes per second and router.
        wait_p99_ms: 99th percentile of the time until a decision.
        owner_messages: messages per second sent and received by the router with
            the most of them, while the first organisation's load is raised, or
            else over the whole simulation.
        owner_kilobytes: the same in kilobytes.
    """

    worst_ratio: float
    refused_below_limit: float
    messages: float
    kilobytes: float
    wait_p99_ms: float
    owner_messages: float
    owner_kilobytes: float


class World:
    """Simulation of routers, links and requests."""

    def __init__(
        self,
        *,
        limiter_class,
        routers,
        case,
        organisations=None,
        seed=1,
        rate=None,
    ):
        self.random = random.Random(seed)
        self.case = case
        self.limiter_class = limiter_class
        self.now = 0.0
        self.scheduled = []
        self.sequence = itertools.count()
        self.stored_router_count = routers
        self.rate = rate or 9.0 * routers
        self.organisations = organisations or default_organisations(self.rate)
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
        self.last_up_at: dict[str, float] = {}
        self.executed = collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)
        self.message_count = 0
        self.byte_count = 0
        self.owner_load_from = 0.0
        self.owner_load_seconds = 1.0
        self.messages_by_router = collections.Counter()
        self.bytes_by_router = collections.Counter()
        self.waits = []
        self.start_numbers = itertools.count(1)
        self.partitioned = set()

    def schedule(self, when, callback, *arguments):
        """Schedules a call of `callback` at a virtual time."""
        heapq.heappush(
            self.scheduled, (when, next(self.sequence), callback, arguments)
        )

    def run(self, seconds=30.0, lead=4.0):
        """Runs the case and returns the results."""
        for router in self.routers.values():
            self.schedule(self.random.uniform(0, 0.3), self.start, router)
        case = self.case
        for when in case.kill_all_at:
            self.schedule(lead + when, self.kill_all)
        if case.kill_owner_at:
            self.schedule(lead + case.kill_owner_at, self.kill_owner)
        if case.rolling_restart_from:
            for turn, router in enumerate(self.routers.values()):
                when = lead + case.rolling_restart_from + 0.5 * turn
                self.schedule(when, self.stop, router)
        if case.partition[0]:
            self.schedule(lead + case.partition[1], self.begin_partition)
            self.schedule(lead + case.partition[2], self.end_partition)
        if case.lowered_at:
            self.schedule(lead + case.lowered_at, self.lower_limit)
        for each in self.organisations:
            self.schedule(lead, self.request, each, lead)
        end = lead + seconds
        _, since, until = (
            case.hot_load if case.hot_load[0] > 1 else (1, 0, seconds)
        )
        self.owner_load_from = lead + since
        self.owner_load_seconds = min(until, seconds) - since
        while self.scheduled and self.scheduled[0][0] < end:
            self.now, _, callback, arguments = heapq.heappop(self.scheduled)
            callback(*arguments)
        return self.measure(seconds)

    def start(self, router):
        """Starts a router without state."""
        router.started_at = self.now
        router.limiter = self.limiter_class(
            own=router.name,
            life=next(self.start_numbers),
            bounds=BOUNDS,
            share=lambda now: self.share(router, now),
            routers=lambda now: self.known_routers(router, now),
            send=lambda to, message: self.send(router, to, message),
        )
        self.last_up_at[router.name] = self.now
        self.schedule(self.now + 0.01, self.tick, router, router.limiter)

    def tick(self, router, limiter):
        """Ticks a router's limiter and schedules the next tick."""
        if router.limiter is not limiter:
            return
        self.last_up_at[router.name] = self.now
        limiter.tick(self.now)
        next_tick_at = self.now + TICK_SECONDS * self.random.uniform(0.95, 1.1)
        self.schedule(next_tick_at, self.tick, router, limiter)

    def share(self, router, now):
        """Returns a router's share; 0 until it knows the number of routers."""
        if now - router.started_at < ROUTER_COUNT_READ_SECONDS:
            return 0.0
        return 1 / max(
            self.stored_router_count, 1 + len(self.known_routers(router, now))
        )

    def known_routers(self, router, now):
        """Returns the other routers that a router considers members."""
        if now - router.started_at < DISCOVERY_SECONDS:
            return []
        return [
            name
            for name, other in self.routers.items()
            if other is not router
            and now - self.last_up_at.get(name, -1e9) < MEMBERSHIP_SECONDS
            and (
                other.limiter is None
                or now - other.started_at >= DISCOVERY_SECONDS
            )
        ]

    def connected(self, sender, receiver):
        """Returns whether messages from a sender reach a receiver."""
        if sender == receiver:
            return True
        partitioned = (sender in self.partitioned, receiver in self.partitioned)
        if self.case.one_way:
            return not partitioned[0] or partitioned[1]
        if self.case.isolated:
            return not any(partitioned)
        return partitioned[0] == partitioned[1]

    def send(self, router, receiver, message):
        """Counts a message and schedules its delivery, unless it is lost."""
        size = len(msgspec.msgpack.encode(message)) + ENVELOPE_BYTES
        self.message_count += 1
        self.byte_count += size
        if 0 <= self.now - self.owner_load_from < self.owner_load_seconds:
            for endpoint in (router.name, receiver):
                self.messages_by_router[endpoint] += 1
                self.bytes_by_router[endpoint] += size
        delay = SAME_CENTRE_DELAY_SECONDS
        if router.number % 3 != self.routers[receiver].number % 3:
            delay = CROSS_CENTRE_DELAY_SECONDS
        delay *= self.random.uniform(0.9, 1.6)
        limiter = router.limiter
        if not self.connected(router.name, receiver):
            heals_at = 4.0 + self.case.partition[2]
            if heals_at - self.now > MAX_HEAL_DELAY_SECONDS:
                return
            delay = heals_at - self.now + self.random.uniform(0, 0.3)
        self.schedule(
            self.now + delay,
            self.deliver,
            router.name,
            limiter,
            receiver,
            message,
        )

    def deliver(self, sender, limiter, receiver, message):
        """Delivers a message, or reports the receiver as unreachable."""
        router = self.routers[receiver]
        if router.limiter is None:
            sending_router = self.routers[sender]
            if sending_router.limiter is limiter:
                sending_router.limiter.unreachable(receiver, self.now)
            return
        router.limiter.handle(sender, message, self.now)

    def stop(self, router):
        """Shuts a router down gracefully; it restarts later."""
        if router.limiter is None:
            return
        router.limiter.leave(self.now)
        self.schedule(self.now + 2.7, self.kill, router)

    def kill(self, router):
        """Kills a router; it restarts later without state."""
        router.limiter = None
        restart_delay = 1.0 + self.random.uniform(*RESTART_SECONDS)
        self.schedule(self.now + restart_delay, self.start, router)

    def kill_all(self):
        """Kills all routers."""
        for router in self.routers.values():
            if router.limiter is not None:
                self.kill(router)

    def kill_owner(self):
        """Kills the router with the largest share of the first organisation."""
        slot = ledgers.slot_of(self.organisations[0].name)
        self.kill(
            max(
                self.routers.values(),
                key=lambda each: each.limiter.ledger.slots[slot].share,
            )
        )

    def begin_partition(self):
        """Partitions a share of the routers from the others."""
        count = int(self.case.partition[0] * len(self.names))
        self.partitioned = set(self.random.sample(self.names, count))

    def end_partition(self):
        """Heals the partition."""
        self.partitioned = set()

    def lower_limit(self):
        """Reduces the first organisation's limit to a third."""
        name = self.organisations[0].name
        before = self.limits[name]
        self.limits[name] = ledgers.Limit(
            version=2,
            per_second=before.per_second / 3,
            burst=before.burst / 3,
        )

    def request(self, organisation, lead):
        """Sends a request to a router and schedules the next one."""
        factor, since, until = self.case.hot_load
        hot = organisation is self.organisations[0]
        hot = hot and since <= self.now - lead < until
        rate = self.rate * organisation.share * (factor if hot else 1.0)
        self.schedule(
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
        if hot and self.case.hot_at_one_router and factor > 1:
            names = names[:1]
        weights = [self.routers[name].weight for name in names]
        router = self.routers[self.random.choices(names, weights)[0]]
        if router.limiter is None:
            return
        self.arrivals[organisation.name].append((self.now, cost))
        arrived_at = self.now

        def decided(answer):
            self.waits.append(self.now - arrived_at)
            if answer.decision.granted:
                self.executed[organisation.name].append(
                    ExecutedRequest(
                        arrived_at=arrived_at, executed_at=self.now, cost=cost
                    )
                )

        limit = self.limits[organisation.name]
        router.limiter.acquire(
            organisation.name, limit, cost, self.now, decided
        )

    def measure(self, seconds):
        """Returns the results of the simulation."""
        allowed = refused = 0.0
        for organisation in self.organisations:
            allowed_of_organisation = single_bucket_cost(
                organisation, self.arrivals[organisation.name]
            )
            executed = sum(
                each.cost for each in self.executed[organisation.name]
            )
            allowed += allowed_of_organisation
            refused += max(0.0, allowed_of_organisation - executed)
        worst_ratio = max(
            worst_window_ratio(organisation, self.executed[organisation.name])
            for organisation in self.organisations
        )
        waits = sorted(self.waits)
        routers = len(self.routers)
        return Result(
            worst_ratio=worst_ratio,
            refused_below_limit=refused / max(1.0, allowed),
            messages=self.message_count / seconds / routers,
            kilobytes=self.byte_count / seconds / routers / 1000,
            wait_p99_ms=1000 * waits[int(0.99 * len(waits))],
            owner_messages=highest_count(self.messages_by_router)
            / self.owner_load_seconds,
            owner_kilobytes=highest_count(self.bytes_by_router)
            / self.owner_load_seconds
            / 1000,
        )


def highest_count(counter):
    """Returns the highest count, or 0."""
    return max(counter.values(), default=0)


def default_organisations(rate):
    """Returns sixteen organisations, a few of them large."""
    weights = [1 / rank for rank in range(1, 17)]
    mean = LOOK_UP_SHARE * LOOK_UP_COST + (1 - LOOK_UP_SHARE) * DRAFT_COST
    organisations = []
    for number, weight in enumerate(weights):
        share = weight / sum(weights)
        per_second = max(18000.0, 1.8 * rate * share * mean)
        organisations.append(
            Organisation(
                name=f"o{number}",
                share=share,
                per_second=per_second,
                burst=per_second,
            )
        )
    return organisations


def single_bucket_cost(organisation, arrivals):
    """Returns the cost that a single token bucket would admit."""
    level = organisation.burst
    last_at = admitted = 0.0
    for when, cost in arrivals:
        refill = organisation.per_second * (when - last_at)
        level = min(organisation.burst, level + refill)
        last_at = when
        if level >= cost:
            level -= cost
            admitted += cost
    return admitted


def worst_window_ratio(organisation, executed):
    """Returns the highest cost executed in a window over the allowed cost."""
    limit = organisation.per_second * WINDOW_SECONDS + organisation.burst
    allowed = limit * (1 + BOUNDS.over) + BOUNDS.slack
    highest = total = 0.0
    window = collections.deque()
    for each in sorted(executed, key=lambda one: one.executed_at):
        window.append(each)
        total += each.cost
        while window[0].executed_at < each.executed_at - WINDOW_SECONDS:
            total -= window.popleft().cost
        highest = max(highest, total)
    return highest / allowed


def main():
    """Prints a table of results by number of routers, case and limiter."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", default="3,22,68")
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--ways", default=",".join(quota_ways.LIMITERS))
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(
        "| routers | case | way | worst | below % | msg/s | kB/s | p99 ms |"
        " owner msg/s | owner kB/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for routers in map(int, arguments.routers.split(",")):
        for case in arguments.cases.split(","):
            for way in arguments.ways.split(","):
                result = World(
                    limiter_class=quota_ways.LIMITERS[way],
                    routers=routers,
                    case=CASES[case],
                    seed=arguments.seed,
                ).run()
                print(
                    f"| {routers} | {case} | {way} | {result.worst_ratio:.2f} |"
                    f" {100 * result.refused_below_limit:.2f} |"
                    f" {result.messages:.0f} | {result.kilobytes:.1f} |"
                    f" {result.wait_p99_ms:.1f} |"
                    f" {result.owner_messages:.0f} |"
                    f" {result.owner_kilobytes:.0f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
