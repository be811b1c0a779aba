"""Compares ways to give places at full servers to waiting requests.

In virtual time: one router, servers with a number of slots, and organisations
of which one sends most of the load. Clients retry once, after the time they
were told. Prints a table in Markdown: the share of clients that were served
before their deadline, and the share of the capacity that was used.

Usage: python -m benches.admission_ways [SEEDS [LOAD ...]]
"""

import asyncio
import collections
import random
import sys

import attrs

from pimentoledge import results
from pimentoledge.routing import router_responses
from pimentoledge.routing.admission import tickets
from pimentoledge.routing.request_stages import server_choices
from pimentoledge.tests import admission_world

SERVERS = 5
SLOTS = 8
SECONDS = 20.0
ORGANISATIONS = 10
# Part of all requests that the first organisation sends.
HEAVY_SHARE = 0.7
HALF_LIFE_SECONDS = 5.0
# Part of its remaining time for which a client honours Retry-After.
HONOURED_SHARE = 1 / 3
WAYS = ("polling", "fifo", "urgency", "share and deadline")


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        urgency: 0 is the most urgent.
        seconds: how long it holds its place.
        deadline_seconds: time within which the client needs the response.
        objective_seconds: objective of its route.
        weight: its part of all requests.
    """

    urgency: int
    seconds: float
    deadline_seconds: float
    objective_seconds: float
    weight: float


KINDS = (
    Kind(
        urgency=0,
        seconds=1.0,
        deadline_seconds=6.0,
        objective_seconds=0.6,
        weight=0.5,
    ),
    Kind(
        urgency=1,
        seconds=0.2,
        deadline_seconds=3.0,
        objective_seconds=0.4,
        weight=0.2,
    ),
    Kind(
        urgency=2,
        seconds=0.6,
        deadline_seconds=5.0,
        objective_seconds=1.5,
        weight=0.3,
    ),
)


class Run:
    """One run of one way.

    Attributes:
        way: one of WAYS.
        load: offered load as a multiple of the capacity.
        clients: number of clients by kind and whether it is the heavy one.
        served: those of them that were served in time.
        used: seconds for which places were used.
    """

    def __init__(self, *, way: str, load: float, seed: int):
        self.way = way
        self.load = load
        self.clients = collections.Counter()
        self.served = collections.Counter()
        self.used = 0.0
        self._random = random.Random(seed)
        self._received = collections.defaultdict(float)
        self._world: admission_world.World | None = None
        self._at = 0.0

    def received(self, service: str, organisation: str, now: float) -> float:
        """Returns the decayed service that an organisation has received."""
        factor = 0.5 ** ((now - self._at) / HALF_LIFE_SECONDS)
        self._at = now
        for each in self._received:
            self._received[each] *= factor
        return self._received[organisation]

    async def play(self) -> "Run":
        """Runs all clients."""
        self._world = admission_world.World(
            {f"server {number}": SLOTS for number in range(SERVERS)},
            received=self.received,
        )
        mean = sum(each.weight * each.seconds for each in KINDS)
        rate = self.load * SERVERS * SLOTS / mean
        clients = []
        at = 0.0
        while at < SECONDS:
            at += self._random.expovariate(rate)
            [kind] = self._random.choices(
                KINDS, [each.weight for each in KINDS]
            )
            number = 0
            if self._random.random() > HEAVY_SHARE:
                number = self._random.randrange(1, ORGANISATIONS)
            clients.append(self._client(at, kind, number))
        await self._world.run(clients, until=2 * SECONDS)
        return self

    async def _client(self, at: float, kind: Kind, number: int) -> None:
        await asyncio.sleep(at)
        label = kind.urgency, number == 0
        self.clients[label] += 1
        ends_at = at + kind.deadline_seconds
        wait = await self._request(kind, number, at, ends_at, first=True)
        left = ends_at - admission_world.now()
        if wait is not None and wait <= HONOURED_SHARE * left:
            await asyncio.sleep(wait)
            await self._request(kind, number, at, ends_at, first=False)

    async def _request(
        self, kind: Kind, number: int, at: float, ends_at: float, *, first: bool
    ) -> float | None:
        """Sends a request; returns the time to a retry if it is refused."""
        world = self._world
        finder = admission_world.Finder(world=world)
        began = admission_world.now()
        if self.way == "polling":
            wait = await self._poll(kind, finder, began)
        else:
            left = ends_at - began
            spare = min(server_choices.QUEUE_SHARE * left, left - kind.seconds)
            wait = await self._queue(kind, number, at, ends_at, spare, finder)
        if wait is not None:
            return wait
        self._received[f"organisation {number}"] += kind.seconds
        await asyncio.sleep(kind.seconds)
        now = admission_world.now()
        world.busy[finder.server] -= 1
        world.gate.note_ended(
            admission_world.SERVICE,
            server=finder.server,
            kind="r",
            seconds=kind.seconds,
            now=now,
        )
        if now <= SECONDS:
            self.used += kind.seconds
        self.served[kind.urgency, number == 0] += now <= ends_at
        return None

    async def _poll(
        self, kind: Kind, finder: admission_world.Finder, began: float
    ) -> float | None:
        until = began + server_choices.WAIT_SHARE * kind.objective_seconds
        while True:
            now = admission_world.now()
            place = finder.find(frozenset(), now)
            if place is not None:
                finder.claim(place)
                return None
            if now >= until:
                return router_responses.retry_seconds(results.Code.OVERLOADED)
            await asyncio.sleep(server_choices.WAIT_STEP_SECONDS)

    async def _queue(
        self,
        kind: Kind,
        number: int,
        at: float,
        ends_at: float,
        spare: float,
        finder: admission_world.Finder,
    ) -> float | None:
        now = admission_world.now()
        by_share = self.way == "share and deadline"
        ticket = tickets.Ticket(
            service=admission_world.SERVICE,
            organisation=f"organisation {number}" if by_share else "",
            urgency=0 if self.way == "fifo" else kind.urgency,
            deadline=ends_at if by_share else now,
            until=now + max(0.0, spare),
            arrived=at,
            returning=by_share and at < now,
            kind=kind.urgency,
        )
        gate = self._world.gate
        if await gate.wait(ticket, finder) is tickets.Outcome.PLACE:
            return None
        wait = gate.refuse(ticket, admission_world.now())
        if wait is None:
            return router_responses.retry_seconds(results.Code.OVERLOADED)
        return router_responses.place_retry_seconds(wait)


def main() -> None:
    """Prints a table for each load."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    for load in [float(each) for each in sys.argv[2:]] or [0.9, 1.5, 3.0]:
        print(f"\nLoad {load}, {seeds} seeds\n")
        print("| way | urgency 0 | 1 | 2 | heavy | others | all | used |")
        print("| --- |" + " --- |" * 7)
        for way in WAYS:
            runs = []
            for seed in range(seeds):
                random.seed(seed)
                run = Run(way=way, load=load, seed=seed)
                runs.append(admission_world.play(run.play()))
            print(f"| {way} | " + " | ".join(_cells(runs)) + " |")


def _cells(runs: list[Run]) -> list[str]:
    clients = sum((each.clients for each in runs), collections.Counter())
    served = sum((each.served for each in runs), collections.Counter())

    def share(chosen) -> str:
        labels = [each for each in clients if chosen(*each)]
        total = sum(clients[each] for each in labels)
        return f"{sum(served[each] for each in labels) / total:.3f}"

    capacity = len(runs) * SERVERS * SLOTS * SECONDS
    return [
        *(
            share(lambda urgency, heavy, wanted=wanted: urgency == wanted)
            for wanted in range(len(KINDS))
        ),
        share(lambda urgency, heavy: heavy),
        share(lambda urgency, heavy: not heavy),
        share(lambda urgency, heavy: True),
        f"{sum(each.used for each in runs) / capacity:.3f}",
    ]


if __name__ == "__main__":
    main()
