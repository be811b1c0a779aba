"""Compares ways to divide capacity among organisations.

In virtual time: 4 routers, 2 runners, and organisations of which some send too
much. Prints a table in Markdown: how often the worst-served of the others is
served, compared with a calm day; then the part of all requests that is served.
Both are the mean over the seeds; the worst seed is in brackets.

Usage: python -m benches.share_ways [SEEDS [SECONDS]]
"""

import sys

from benches import share_runs
from pimentoledge.routing.fair_shares import organisation_shares
from pimentoledge.routing.fair_shares import share_counters
from pimentoledge.routing.fair_shares import standings

SHORT, LONG = share_runs.SHORT, share_runs.LONG


class NoShares(organisation_shares.FairShares):
    """Admits all organisations alike."""

    def standing(self, service, organisation, now):
        """Returns that no other organisation wants capacity."""
        return standings.Standing.ALONE


class TokenCounters(organisation_shares.FairShares):
    """Decaying counters of tokens, whatever resource they take."""

    def note_started(self, service, organisation, work, now):
        """Counts all tokens at the start."""
        tokens = share_counters.Work(memory=0, prefill=work.memory)
        super().note_started(service, organisation, tokens, now)

    def note_ended(self, service, organisation, work, now):
        """Does nothing: the tokens were counted at the start."""


class StartTags(organisation_shares.FairShares):
    """Start-time fair queueing's tags, for each router by itself.

    An organisation's tag grows with its tokens, from the virtual time on, which
    is the lowest start tag of the open requests.
    """

    def __init__(self):
        super().__init__()
        self.tags: dict[str, float] = {}
        self.open: dict[str, list[tuple[float, int]]] = {}
        self.virtual = 0.0

    def note_started(self, service, organisation, work, now):
        """Advances the organisation's tag."""
        start = max(self.virtual, self.tags.get(organisation, 0.0))
        self.tags[organisation] = start + work.memory / self._weight(
            organisation
        )
        self.open.setdefault(organisation, []).append(start)

    def note_ended(self, service, organisation, work, now):
        """Advances the virtual time to the lowest start tag in service."""
        self.open[organisation].pop(0)
        lowest = min(
            (tags[0] for tags in self.open.values() if tags), default=0
        )
        self.virtual = max(self.virtual, lowest)

    def received(self, service, organisation, now):
        """Returns by how much its tag is ahead of the virtual time."""
        return max(0.0, self.tags.get(organisation, 0.0) - self.virtual)

    def standing(self, service, organisation, now):
        """Compares the lead of its tag with those of the others."""
        leads = [
            (tag - self.virtual, 1.0)
            for tag in self.tags.values()
            if tag > self.virtual
        ]
        level = standings.share_level(leads)
        if len(leads) < 2:
            return standings.Standing.ALONE
        if self.received(service, organisation, now) > level.share:
            return standings.Standing.ABOVE
        return standings.Standing.BELOW


# Class, and whether counters are exchanged.
WAYS = {
    "none": (NoShares, True),
    "token counters": (TokenCounters, True),
    "start-time tags": (StartTags, False),
    "dominant shares, each router for itself": (
        organisation_shares.FairShares,
        False,
    ),
    "dominant shares, exchanged": (organisation_shares.FairShares, True),
}


def load(organisation, kind, rate, **more):
    """Returns what an organisation sends."""
    return share_runs.Load(
        organisation=organisation, kind=kind, rate=rate, **more
    )


EVEN = [load(f"o{n}", SHORT, 2.6) for n in range(15)]
MIXED = [load(f"o{n}", SHORT, 2.6) for n in range(8)] + [
    load(f"o{n}", LONG, 1.0) for n in range(8)
]
# What is sent on a calm day, and what comes in addition.
SCENES = {
    "short, 7 times": (EVEN, [load("hot", SHORT, 18.2)]),
    "short, 20 times": (EVEN, [load("hot", SHORT, 52.0)]),
    "20 times, one router": (EVEN, [load("hot", SHORT, 52.0, routers=(0,))]),
    "long beside short": (EVEN, [load("hot", LONG, 60.0)]),
    "bulk beside urgent": (MIXED, [load("hot", LONG, 60.0)]),
    "urgent beside bulk": (MIXED, [load("hot", SHORT, 60.0)]),
    "two at once": (
        MIXED,
        [load("hot", SHORT, 60.0), load("hot2", LONG, 60.0)],
    ),
}


def play(way: str, scene: str, seed: int, seconds: float) -> tuple:
    """Returns the worst-served of the others and the part of all served."""
    new_shares, exchanges_shares = WAYS[way]
    usual, more = SCENES[scene]
    worlds = [
        share_runs.World(
            loads=loads,
            seed=seed,
            new_shares=new_shares,
            exchanges_shares=exchanges_shares,
        ).run(seconds)
        for loads in (usual, usual + more)
    ]
    calm, world = worlds
    worst = min(
        world.ratio(each.organisation) / calm.ratio(each.organisation)
        for each in usual
    )
    return worst, world.total().ratio()


def main() -> None:
    """Prints the table."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 16.0
    print(f"| scene | {' | '.join(WAYS)} |")
    print("| --- " * (len(WAYS) + 1) + "|")
    for scene in SCENES:
        cells = []
        for way in WAYS:
            found = [play(way, scene, s + 1, seconds) for s in range(seeds)]
            worst = [each for each, _ in found]
            served = sum(each for _, each in found) / seeds
            mean = sum(worst) / seeds
            cells.append(f"{mean:.2f} ({min(worst):.2f}), {served:.2f}")
        print(f"| {scene} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
