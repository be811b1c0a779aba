"""Simulates limits that servers advertise, over many routers in virtual time.

    python -m benches.server_limits [--routers 3,22,68,300] [--seed 1]

Extends the simulation of `benches.quotas` with servers that begin to advertise
a limit. Routers receive the limit, and acquire a permit for each request. The
requests that reach each server in every window are counted.
"""

import argparse
import collections

import attrs

from benches import quota_ways
from benches import quotas
from pimentoledge.routing import server_permits
from pimentoledge.routing.quotas import ledgers

WINDOW_SECONDS = ledgers.SERVER_BOUNDS.window_seconds
# Users allow a window to exceed a limit by this share and this many requests.
ALLOWED_EXCESS_SHARE = 0.5
ALLOWED_EXCESS_REQUESTS = 5
# Time from a server's first answer with a limit until the limit is checked.
SETTLING_SECONDS = 3.0
# Longest time until a limit reaches all routers.
PROPAGATION_SECONDS = 0.4
# Requests per second that each server would get without a limit.
DEMAND_PER_SECOND = 40.0


@attrs.frozen(kw_only=True)
class Case:
    """Events after servers have begun to advertise limits.

    Attributes:
        name: name of the case.
        per_second: limit that each server advertises.
        changes: times of changes and the new limits; None withdraws the limit.
        faults: faults of routers and links; see quotas.Case.
        freezes: share of the routers that freeze, and begin and end of that.
        joins: share of the routers that start late, and when.
    """

    name: str
    per_second: float = 1.0
    changes: tuple[tuple[float, float | None], ...] = ()
    faults: quotas.Case = quotas.Case(name="none")
    freezes: tuple[float, float, float] = (0.0, 0.0, 0.0)
    joins: tuple[float, float] = (0.0, 0.0)


def _fault_case(**fields: object) -> quotas.Case:
    return quotas.Case(name="faults", **fields)


CASES = {
    each.name: each
    for each in (
        Case(name="steady"),
        Case(name="fraction", per_second=0.3),
        Case(name="many", per_second=30.0),
        Case(name="lowered", per_second=8.0, changes=((9.0, 1.0),)),
        Case(name="raised", changes=((9.0, 6.0),)),
        Case(name="ends", changes=((9.0, None), (11.0, 1.0))),
        Case(name="flaps", changes=tuple((6.0 + t, 1.0 + t) for t in range(8))),
        Case(name="halves", faults=_fault_case(partition=(0.5, 6.0, 14.0))),
        Case(
            name="alone",
            faults=_fault_case(partition=(0.35, 6.0, 14.0), isolated=True),
        ),
        Case(
            name="one-way",
            faults=_fault_case(partition=(0.3, 6.0, 14.0), one_way=True),
        ),
        Case(name="kills", faults=_fault_case(kill_all_at=(7.0, 10.0))),
        Case(name="owner-dies", faults=_fault_case(kill_owner_at=7.0)),
        Case(name="rolling", faults=_fault_case(rolling_restart_from=5.0)),
        Case(name="freezes", freezes=(0.4, 6.0, 9.0)),
        Case(name="joins", joins=(0.5, 7.0)),
    )
}


@attrs.frozen(kw_only=True)
class Result:
    """Results of a simulation.

    Attributes:
        worst_ratio: highest number of requests that reached a server in a
            window, relative to the allowed number.
        used_share: share of the limits that was used, from SETTLING_SECONDS on.
        acquires: acquires of permits per second and router.
        messages: messages per second and router.
        kilobytes: kilobytes per second and router.
        owner_messages: messages per second of the router with the most of them.
    """

    worst_ratio: float
    used_share: float
    acquires: float
    messages: float
    kilobytes: float
    owner_messages: float


class World(quotas.World):
    """Simulation of routers, links, and servers that advertise limits."""

    def __init__(self, *, routers, case, servers=3, seed=1):
        super().__init__(
            limiter_class=quota_ways.LIMITERS["lent rights"],
            routers=routers,
            case=case.faults,
            organisations=[
                quotas.Organisation(
                    name=f"{ledgers.SERVER_PREFIX}s{number}",
                    share=1.0,
                    per_second=case.per_second,
                    burst=0.0,
                )
                for number in range(servers)
            ],
            seed=seed,
            rate=DEMAND_PER_SECOND,
        )
        self.limit_case = case
        self.lead = 0.0
        self.advertised = {}
        self.known_limits = collections.defaultdict(dict)
        self.limited_until = {}
        self.acquire_count = 0
        self.frozen_until = {}
        self.admitted_at = collections.defaultdict(list)
        self.limit_integral = collections.defaultdict(float)

    def run(self, seconds=18.0, lead=4.0):
        """Runs the case and returns the results."""
        self.lead = lead
        case = self.limit_case
        limits = [(0.0, case.per_second), *case.changes]
        for number, (when, per_second) in enumerate(limits):
            self.schedule(lead + when, self.advertise_limit, per_second)
            ends_at = [*limits, (seconds, None)][number + 1][0]
            begins_at = max(when, SETTLING_SECONDS)
            self.limit_integral["all"] += (per_second or 0.0) * max(
                0.0, ends_at - begins_at
            )
        if case.freezes[0]:
            self.schedule(lead + case.freezes[1], self.freeze)
        return super().run(seconds, lead)

    def start(self, router):
        """Starts a router, or schedules its start if it joins later."""
        share, joins_at = self.limit_case.joins
        joins_later = router.number < share * len(self.names)
        if joins_later and self.now < self.lead + joins_at:
            self.schedule(self.lead + joins_at, self.start, router)
            return
        super().start(router)
        self.limited_until = {
            key: until
            for key, until in self.limited_until.items()
            if key[0] != router.name
        }
        self.known_limits[router.name] = {}
        self.schedule_limit_update(router.name)

    def tick(self, router, limiter):
        """Ticks a router's limiter if the router knows a limit."""
        resumes_at = self.frozen_until.get(router.name, 0.0)
        if self.now < resumes_at:
            self.schedule(resumes_at, self.tick, router, limiter)
            return
        if self.known_limits[router.name] or router.limiter is not limiter:
            super().tick(router, limiter)
            return
        self.last_up_at[router.name] = self.now
        self.schedule(
            self.now + quotas.TICK_SECONDS, self.tick, router, limiter
        )

    def deliver(self, sender, limiter, receiver, message):
        """Delivers a message; a frozen router gets it after the freeze."""
        resumes_at = self.frozen_until.get(receiver, 0.0)
        if self.now < resumes_at:
            self.schedule(
                resumes_at, self.deliver, sender, limiter, receiver, message
            )
            return
        super().deliver(sender, limiter, receiver, message)

    def freeze(self):
        """Freezes a share of the routers."""
        share, _, end_at = self.limit_case.freezes
        for name in self.random.sample(
            self.names, int(share * len(self.names))
        ):
            self.frozen_until[name] = self.lead + end_at

    def advertise_limit(self, per_second):
        """Makes all servers advertise a limit, or none."""
        for each in self.organisations:
            self.advertised[each.name] = (per_second, self.now)
        for name in self.names:
            self.schedule_limit_update(name)

    def schedule_limit_update(self, router_name):
        """Schedules the receipt of the advertised limits at a router."""
        for server, limit in self.advertised.items():
            received_at = self.now + self.random.uniform(0, PROPAGATION_SECONDS)
            self.schedule(
                received_at, self.receive_limit, router_name, server, limit
            )

    def receive_limit(self, router_name, server, limit):
        """Updates a router's limit of a server if the received one is newer."""
        if self.routers[router_name].limiter is None:
            return
        if (
            self.known_limits[router_name].get(server, (None, 0.0))[1]
            < limit[1]
        ):
            self.known_limits[router_name][server] = limit
            self.limited_until.pop((router_name, server), None)

    def request(self, organisation, lead):
        """Sends a request to a server and schedules the next one."""
        self.schedule(
            self.now + self.random.expovariate(self.rate),
            self.request,
            organisation,
            lead,
        )
        weights = [each.weight for each in self.routers.values()]
        name = self.random.choices(self.names, weights)[0]
        router = self.routers[name]
        if router.limiter is None or self.now < self.frozen_until.get(
            name, 0.0
        ):
            return
        server = organisation.name
        per_second, received_at = self.known_limits[name].get(
            server, (None, 0.0)
        )
        if per_second is None:
            return
        if self.now < self.limited_until.get((name, server), 0.0):
            return
        self.acquire_count += 1
        limiter = router.limiter

        def decided(answer):
            if router.limiter is not limiter:
                return
            if answer.decision.granted:
                self.admitted_at[server].append(self.now)
                return
            wait = server_permits.wait_seconds(answer)
            self.limited_until[name, server] = self.now + wait

        limit = ledgers.server_limit(per_second, received_at)
        limiter.acquire(server, limit, 1.0, self.now, decided)

    def measure(self, seconds):
        """Returns the results of the simulation."""
        counted_from = self.lead + SETTLING_SECONDS
        worst_ratio = max(
            (
                self.worst_ratio(times, counted_from)
                for times in self.admitted_at.values()
            ),
            default=0.0,
        )
        admitted = sum(
            sum(at >= counted_from for at in times)
            for times in self.admitted_at.values()
        )
        allowed = len(self.organisations) * self.limit_integral["all"]
        routers = len(self.routers)
        return Result(
            worst_ratio=worst_ratio,
            used_share=admitted / max(1.0, allowed),
            acquires=self.acquire_count / seconds / routers,
            messages=self.message_count / seconds / routers,
            kilobytes=self.byte_count / seconds / routers / 1000,
            owner_messages=quotas.highest_count(self.messages_by_router)
            / self.owner_load_seconds,
        )

    def worst_ratio(self, admitted_at, counted_from):
        """Returns the most requests in a window, relative to the allowed."""
        worst_ratio = 0.0
        window = collections.deque()
        for at in admitted_at:
            if at < counted_from:
                continue
            window.append(at)
            while window[0] <= at - WINDOW_SECONDS:
                window.popleft()
            allowed = (
                (1 + ALLOWED_EXCESS_SHARE)
                * WINDOW_SECONDS
                * self.highest_limit(window[0], at)
            )
            worst_ratio = max(
                worst_ratio, len(window) / (allowed + ALLOWED_EXCESS_REQUESTS)
            )
        return worst_ratio

    def highest_limit(self, begin, end):
        """Returns the highest limit that was advertised in an interval.

        A limit counts for half a second more, the time that its replacement may
        need to reach the routers.
        """
        case = self.limit_case
        limits = [(0.0, case.per_second), *case.changes]
        highest = 0.0
        for number, (when, per_second) in enumerate(limits):
            ends_at = limits[number + 1][0] if number + 1 < len(limits) else 1e9
            if self.lead + when <= end and begin <= self.lead + ends_at + 0.5:
                highest = max(highest, per_second or 0.0)
        return highest


def main():
    """Prints a table of results by number of routers and case."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", default="3,22,68,300")
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(
        "| routers | case | worst | used % | asks/s | msg/s | kB/s |"
        " owner msg/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for routers in map(int, arguments.routers.split(",")):
        for case in arguments.cases.split(","):
            result = World(
                routers=routers, case=CASES[case], seed=arguments.seed
            ).run()
            print(
                f"| {routers} | {case} | {result.worst_ratio:.2f} |"
                f" {100 * result.used_share:.0f} | {result.acquires:.1f} |"
                f" {result.messages:.1f} | {result.kilobytes:.1f} |"
                f" {result.owner_messages:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
