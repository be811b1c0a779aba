"""Compares ways to find the software version at which a stream goes on.

In virtual time: streams begin at routers, break, and are resumed at any
router, while routers are killed or cut off. Prints a table in Markdown: the
streams that went on at their version, that went on at another one, and that
were refused, in % of those resumed, and messages for each stream that began.

Usage: python -m benches.stream_version_ways [SEEDS [ROUTERS ...]]
"""

from collections.abc import Callable
import random
import sys

import attrs
import xxhash

from pimentoledge.routing import stream_version_exchanges
from pimentoledge.routing import stream_versions

END_SECONDS = 60.0
# Streams that may be resumed, a second and router.
RATE = 4.0
# From the first event to the break of a stream, and to its resumption.
BREAK_SECONDS = (0.02, 4.0)
RETURN_SECONDS = (0.05, 0.6)
# Part of streams that break for another reason than their router.
BROKEN_SHARE = 0.2
RESTART_SECONDS = 0.6
# Time for which a dead router counts as a member in large fleets.
MEMBER_SECONDS = 15.0
# The same in small fleets.
PRESENT_SECONDS = 1.6
ALL_TO_ALL = 8
# Until a record has arrived.
RECORD_SECONDS = 0.004


@attrs.define(kw_only=True)
class Router:
    """One router.

    Attributes:
        name: its mailbox.
        data_centre: where it is.
        down_until: end of its last restart.
        killed_at: when it was killed last.
        cut: times from and to which it is cut off from all others.
        records: the streams that it knows.
    """

    name: str
    data_centre: str
    down_until: float = -1.0
    killed_at: float = -1e9
    cut: tuple[float, float] = (-1.0, -1.0)
    records: stream_versions.StreamRecords = attrs.field(
        factory=stream_versions.StreamRecords
    )

    def runs(self, now: float) -> bool:
        """Returns whether its process runs."""
        return now >= self.down_until

    def reaches(self, other: "Router", now: float) -> bool:
        """Returns whether a message gets to another router."""
        cut = any(each.cut[0] <= now < each.cut[1] for each in (self, other))
        return self.runs(now) and other.runs(now) and not cut


@attrs.frozen(kw_only=True)
class Way:
    """A way to find a version.

    Attributes:
        name: its name.
        owners: routers that are told of a stream, beside its own.
        asked: routers that are asked first.
        asks_all: whether all are asked if these don't know.
        drawn: whether the version is drawn by the stream's id again.
    """

    name: str
    owners: int = 0
    asked: int = 0
    asks_all: bool = False
    drawn: bool = False


FIRST_QUERIED = stream_version_exchanges.FIRST_QUERIED
WAYS = (
    Way(name="own router only"),
    Way(name="drawn by id", drawn=True),
    Way(name="one owner", owners=1, asked=FIRST_QUERIED),
    Way(
        name="two owners",
        owners=stream_versions.OWNERS,
        asked=FIRST_QUERIED,
    ),
    Way(
        name="two owners, then all",
        owners=stream_versions.OWNERS,
        asked=FIRST_QUERIED,
        asks_all=True,
    ),
    Way(name="three owners, then all", owners=3, asked=4, asks_all=True),
    Way(name="all asked", asks_all=True),
)


def _kills(*times: float, share: float = 1.0) -> Callable:
    def play(routers: list[Router], draw: random.Random) -> list[tuple]:
        return [
            (when, draw.sample(routers, max(1, int(share * len(routers)))))
            for when in times
        ]

    return play


def _rolling(routers: list[Router], draw: random.Random) -> list[tuple]:
    return [
        (5.0 + 40.0 * number / len(routers), [each])
        for number, each in enumerate(routers)
    ]


SCENES: dict[str, tuple[Callable, float]] = {
    "servers crash": (lambda routers, draw: [], 0.0),
    "a third killed, four times": (_kills(8, 20, 32, 44, share=0.34), 0.0),
    "each killed in turn": (_rolling, 0.0),
    "all killed, three times": (_kills(10, 25, 40), 0.0),
    "a third cut off for 20 s": (lambda routers, draw: [], 0.34),
}


def share_of_newer(now: float) -> float:
    """Returns the part of new streams that the newer version begins."""
    return min(0.9, max(0.1, now / END_SECONDS))


def _drawn(request: str, now: float) -> str:
    point = xxhash.xxh3_64_intdigest(request.encode()) / 2**64
    return "v2" if point < share_of_newer(now) else "v1"


class Run:
    """One run of a way in a scene."""

    def __init__(self, *, way: Way, scene: str, routers: int, seed: int):
        self.way = way
        self.draw = random.Random(seed)
        self.routers = [
            Router(name=f"r{each}", data_centre="abc"[each % 3])
            for each in range(routers)
        ]
        plan, cut_share = SCENES[scene]
        self.kills = sorted(plan(self.routers, self.draw), key=lambda k: k[0])
        for each in self.draw.sample(
            self.routers, int(cut_share * len(self.routers))
        ):
            each.cut = (15.0, 35.0)
        self.counts = {"right": 0, "wrong": 0, "refused": 0}
        self.messages = 0
        self.began = 0

    def members(self, router: Router, now: float) -> dict[str, str]:
        """Returns the routers that a router takes for running."""
        few = len(self.routers) <= ALL_TO_ALL
        memory = PRESENT_SECONDS if few else MEMBER_SECONDS
        return {
            each.name: each.data_centre
            for each in self.routers
            if each is not router
            and (each.runs(now) or now - each.killed_at < memory)
        }

    def play(self) -> None:
        """Plays the run."""
        events = [(when, "kill", who) for when, who in self.kills]
        now = 0.0
        rate = RATE * len(self.routers)
        while now < END_SECONDS:
            now += self.draw.expovariate(rate)
            events.append((now, "begin", None))
        events.sort(key=lambda each: each[0])
        kills = [(when, who) for when, kind, who in events if kind == "kill"]
        pending: list[tuple[float, str, str]] = []
        for when, kind, who in events:
            while pending and pending[0][0] <= when:
                self._resume(*pending.pop(0))
            if kind == "kill":
                for each in who:
                    each.killed_at = when
                    each.down_until = when + RESTART_SECONDS
                    each.records = stream_versions.StreamRecords()
                continue
            resumption = self._begin(when, kills)
            if resumption is not None:
                pending.append(resumption)
                pending.sort()

    def _begin(
        self, now: float, kills: list[tuple[float, list[Router]]]
    ) -> tuple[float, str, str] | None:
        running = [each for each in self.routers if each.runs(now)]
        if not running:
            return None
        router = self.draw.choice(running)
        self.began += 1
        request = f"q{self.began}"
        version = _drawn(request, now)
        if not self.way.drawn:
            newer = self.draw.random() < share_of_newer(now)
            version = "v2" if newer else "v1"
        broken_at = now + self.draw.uniform(*BREAK_SECONDS)
        killed_at = next(
            (
                when
                for when, who in kills
                if router in who and now <= when < broken_at
            ),
            None,
        )
        self._replicate(router, request, version, now, killed_at)
        if killed_at is None and self.draw.random() >= BROKEN_SHARE:
            return None
        ended_at = broken_at if killed_at is None else killed_at
        back_at = ended_at + self.draw.uniform(*RETURN_SECONDS)
        return back_at, request, version

    def _replicate(
        self,
        router: Router,
        request: str,
        version: str,
        now: float,
        killed_at: float | None,
    ) -> None:
        began = stream_versions.Began(
            request=request, software=version, left_ms=11000
        )
        router.records.put(began, now)
        ranked = stream_versions.ranked(request, self.members(router, now))
        by_name = {each.name: each for each in self.routers}
        for name in ranked[: self.way.owners]:
            self.messages += 1
            arrives = killed_at is None or killed_at > now + RECORD_SECONDS
            if arrives and router.reaches(by_name[name], now):
                by_name[name].records.put(began, now)

    def _resume(self, now: float, request: str, version: str) -> None:
        running = [each for each in self.routers if each.runs(now)]
        if not running:
            return
        found = self._find(self.draw.choice(running), request, now)
        if found is None:
            self.counts["refused"] += 1
        else:
            self.counts["right" if found == version else "wrong"] += 1

    def _find(self, router: Router, request: str, now: float) -> str | None:
        if self.way.drawn:
            return _drawn(request, now)
        known = router.records.get(request, now)
        if known is not None:
            return known
        ranked = stream_versions.ranked(request, self.members(router, now))
        if not self.way.asks_all:
            ranked = ranked[: self.way.asked]
        by_name = {each.name: each for each in self.routers}
        for start, end in ((0, self.way.asked), (self.way.asked, len(ranked))):
            for name in ranked[start:end]:
                self.messages += 2
                if router.reaches(by_name[name], now):
                    known = known or by_name[name].records.get(request, now)
            if known is not None:
                return known
        return None


def main() -> None:
    """Prints the tables."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    for routers in [int(each) for each in sys.argv[2:]] or [4, 22]:
        print(f"\n{routers} routers, {seeds} seeds\n")
        print("| scene | " + " | ".join(each.name for each in WAYS) + " |")
        print("| --- |" + " --- |" * len(WAYS))
        for scene in SCENES:
            print(f"| {scene} | " + " | ".join(_cells(scene, routers, seeds)))


def _cells(scene: str, routers: int, seeds: int) -> list[str]:
    cells = []
    for way in WAYS:
        counts = {"right": 0, "wrong": 0, "refused": 0}
        messages = began = 0
        for seed in range(1, seeds + 1):
            run = Run(way=way, scene=scene, routers=routers, seed=seed)
            run.play()
            for name, count in run.counts.items():
                counts[name] += count
            messages += run.messages
            began += run.began
        total = max(1, sum(counts.values()))
        parts = [f"{100 * count / total:.1f}" for count in counts.values()]
        cells.append(f"{', '.join(parts)}; {messages / began:.1f}")
    return [*cells, ""]


if __name__ == "__main__":
    main()
