"""Limits that servers name, held over many routers, in virtual time.

    python -m benches.server_limits [--routers 3,22,68,300] [--seed 1]

Plays the world of `benches.quotas` with servers that begin to name a limit:
routers learn of it, and acquire a permit for each request. A judge
counts what reaches each server in every window.
"""

import argparse
import collections

import attrs

from benches import quota_ways
from benches import quotas
from pimentoledge.routing import server_permits
from pimentoledge.routing.quotas import ledgers

WINDOW_SECONDS = ledgers.SERVER_BOUNDS.window_seconds
# The users' figures: half of a limit more, and so many requests.
OVER = 0.5
SLACK = 5
# From a server's first answer with a limit until it counts.
CONTACT_SECONDS = 3.0
# What a limit needs to reach the other routers, at most.
SPREAD_SECONDS = 0.4
# Requests a second that each server would get without a limit.
DEMAND = 40.0


@attrs.frozen(kw_only=True)
class Case:
    """What happens after servers began to name limits.

    Attributes:
        name: of the case.
        per_second: the limit that each server names.
        changes: when they name another, and which; None for none any more.
        faults: what happens to the routers; see quotas.Case.
        freezes: part of the routers that stand still, from when to when.
        joins: part of the routers that start only then, and when.
    """

    name: str
    per_second: float = 1.0
    changes: tuple[tuple[float, float | None], ...] = ()
    faults: quotas.Case = quotas.Case(name="none")
    freezes: tuple[float, float, float] = (0.0, 0.0, 0.0)
    joins: tuple[float, float] = (0.0, 0.0)


def _faults(**given: object) -> quotas.Case:
    return quotas.Case(name="faults", **given)


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
        Case(name="halves", faults=_faults(cuts=(0.5, 6.0, 14.0))),
        Case(name="alone", faults=_faults(cuts=(0.35, 6.0, 14.0), alone=True)),
        Case(
            name="one-way", faults=_faults(cuts=(0.3, 6.0, 14.0), one_way=True)
        ),
        Case(name="kills", faults=_faults(kills=(7.0, 10.0))),
        Case(name="owner-dies", faults=_faults(kill_owner_at=7.0)),
        Case(name="rolling", faults=_faults(roll_from=5.0)),
        Case(name="freezes", freezes=(0.4, 6.0, 9.0)),
        Case(name="joins", joins=(0.5, 7.0)),
    )
}


@attrs.frozen(kw_only=True)
class Found:
    """What a play came to.

    Attributes:
        worst: most requests that a server got in a window, by what is allowed.
        used: part of the limits that was used, from CONTACT_SECONDS on.
        asks: questions to owners, a second and router.
        messages: a second and router.
        kilobytes: a second and router.
        owner_messages: a second, of the router that has most of them.
    """

    worst: float
    used: float
    asks: float
    messages: float
    kilobytes: float
    owner_messages: float


class World(quotas.World):
    """Routers, links, and requests to servers that name limits."""

    def __init__(self, *, routers, case, servers=3, seed=1):
        super().__init__(
            way=quota_ways.WAYS["lent rights"],
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
            rate=DEMAND,
        )
        self.named = case
        self.lead = 0.0
        self.advertised = {}
        self.learnt = collections.defaultdict(dict)
        self.limited_until = {}
        self.asked_count = 0
        self.frozen = {}
        self.came = collections.defaultdict(list)
        self.owed = collections.defaultdict(float)

    def play(self, seconds=18.0, lead=4.0):
        """Plays the case; returns the judge's findings."""
        self.lead = lead
        case = self.named
        limits = [(0.0, case.per_second), *case.changes]
        for number, (when, per_second) in enumerate(limits):
            self.at(lead + when, self.name_limit, per_second)
            ends = [*limits, (seconds, None)][number + 1][0]
            begins = max(when, CONTACT_SECONDS)
            self.owed["all"] += (per_second or 0.0) * max(0.0, ends - begins)
        if case.freezes[0]:
            self.at(lead + case.freezes[1], self.freeze)
        return super().play(seconds, lead)

    def start(self, router):
        """Starts a router, unless it joins later."""
        share, when = self.named.joins
        late = router.number < share * len(self.names)
        if late and self.now < self.lead + when:
            self.at(self.lead + when, self.start, router)
            return
        super().start(router)
        self.limited_until = {
            key: until
            for key, until in self.limited_until.items()
            if key[0] != router.name
        }
        self.learnt[router.name] = {}
        self.tell(router.name)

    def tick(self, router, way):
        """Lets a router do what is due, if some limit is known to it."""
        until = self.frozen.get(router.name, 0.0)
        if self.now < until:
            self.at(until, self.tick, router, way)
            return
        if self.learnt[router.name] or router.way is not way:
            super().tick(router, way)
            return
        self.last_up[router.name] = self.now
        self.at(self.now + quotas.TICK_SECONDS, self.tick, router, way)

    def deliver(self, sender, way, to, message):
        """Brings a message; to a router that stands still, after that."""
        until = self.frozen.get(to, 0.0)
        if self.now < until:
            self.at(until, self.deliver, sender, way, to, message)
            return
        super().deliver(sender, way, to, message)

    def freeze(self):
        """Lets some routers stand still."""
        share, _, end = self.named.freezes
        for name in self.random.sample(
            self.names, int(share * len(self.names))
        ):
            self.frozen[name] = self.lead + end

    def name_limit(self, per_second):
        """Lets all servers name a limit, or none."""
        for each in self.organisations:
            self.advertised[each.name] = (per_second, self.now)
        for name in self.names:
            self.tell(name)

    def tell(self, name):
        """Lets a router learn soon what servers name now."""
        for server, limit in self.advertised.items():
            later = self.now + self.random.uniform(0, SPREAD_SECONDS)
            self.at(later, self.learn, name, server, limit)

    def learn(self, name, server, limit):
        """Takes a limit that a server named."""
        if self.routers[name].way is None:
            return
        if self.learnt[name].get(server, (None, 0.0))[1] < limit[1]:
            self.learnt[name][server] = limit
            self.limited_until.pop((name, server), None)

    def request(self, organisation, lead):
        """Lets a request to a server come, and plans the next."""
        self.at(
            self.now + self.random.expovariate(self.rate),
            self.request,
            organisation,
            lead,
        )
        weights = [each.weight for each in self.routers.values()]
        name = self.random.choices(self.names, weights)[0]
        router = self.routers[name]
        if router.way is None or self.now < self.frozen.get(name, 0.0):
            return
        server = organisation.name
        per_second, received_at = self.learnt[name].get(server, (None, 0.0))
        if per_second is None:
            return
        if self.now < self.limited_until.get((name, server), 0.0):
            return
        self.asked_count += 1
        way = router.way

        def decided(answer):
            if router.way is not way:
                return
            if answer.decision.granted:
                self.came[server].append(self.now)
                return
            wait = server_permits.wait_seconds(answer)
            self.limited_until[name, server] = self.now + wait

        limit = ledgers.server_limit(per_second, received_at)
        way.acquire(server, limit, 1.0, self.now, decided)

    def judge(self, seconds):
        """Returns what the play came to."""
        since = self.lead + CONTACT_SECONDS
        worst = max(
            (self.worst(came, since) for came in self.came.values()),
            default=0.0,
        )
        got = sum(
            sum(at >= since for at in came) for came in self.came.values()
        )
        owed = len(self.organisations) * self.owed["all"]
        routers = len(self.routers)
        return Found(
            worst=worst,
            used=got / max(1.0, owed),
            asks=self.asked_count / seconds / routers,
            messages=self.sent_messages / seconds / routers,
            kilobytes=self.sent_bytes / seconds / routers / 1000,
            owner_messages=quotas.most(self.load_messages) / self.load_seconds,
        )

    def worst(self, came, since):
        """Returns the fullest window of a server, by what is allowed."""
        worst = 0.0
        window = collections.deque()
        for at in came:
            if at < since:
                continue
            window.append(at)
            while window[0] <= at - WINDOW_SECONDS:
                window.popleft()
            most = (1 + OVER) * WINDOW_SECONDS * self.limit_in(window[0], at)
            worst = max(worst, len(window) / (most + SLACK))
        return worst

    def limit_in(self, begin, end):
        """Returns the highest limit that was named within a time.

        A limit counts for half a second more, in which it is on its way.
        """
        case = self.named
        limits = [(0.0, case.per_second), *case.changes]
        highest = 0.0
        for number, (when, per_second) in enumerate(limits):
            later = limits[number + 1][0] if number + 1 < len(limits) else 1e9
            if self.lead + when <= end and begin <= self.lead + later + 0.5:
                highest = max(highest, per_second or 0.0)
        return highest


def main():
    """Prints a table of cases by numbers of routers."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", default="3,22,68,300")
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--seed", type=int, default=1)
    chosen = parser.parse_args()
    print(
        "| routers | case | worst | used % | asks/s | msg/s | kB/s |"
        " owner msg/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for routers in map(int, chosen.routers.split(",")):
        for case in chosen.cases.split(","):
            found = World(
                routers=routers, case=CASES[case], seed=chosen.seed
            ).play()
            print(
                f"| {routers} | {case} | {found.worst:.2f} |"
                f" {100 * found.used:.0f} | {found.asks:.1f} |"
                f" {found.messages:.1f} | {found.kilobytes:.1f} |"
                f" {found.owner_messages:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
