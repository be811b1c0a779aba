"""Servers and clients in virtual time, for tests of admission."""

import asyncio

import attrs

from pimentoledge.routing import counters
from pimentoledge.routing.admission import gates
from pimentoledge.routing.admission import place_shares
from pimentoledge.routing.admission import tickets

TICK_SECONDS = 0.1
SERVICE = "s"


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only when nothing else can run."""

    def __init__(self):
        self.virtual_now = 0.0
        super().__init__()

    def time(self):
        return self.virtual_now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.virtual_now = max(self.virtual_now, self._scheduled[0].when())
        super()._run_once()


def play(coroutine):
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


def now():
    return asyncio.get_running_loop().time()


@attrs.define(kw_only=True, eq=False, slots=False)
class Finder:
    """Finds a place at the least busy server of a world.

    Attributes:
        world: the servers.
        server: the server that the request got, or "".
        lines: the log lines that name the request.
        hopeless: whether it can't get a place any more.
        blocked: until when all servers accept nothing, or None.
    """

    world: "World"
    server: str = ""
    lines: list = attrs.field(factory=list)
    hopeless: bool = False
    blocked: float | None = None

    def find(self, without, now):
        world = self.world
        free = {
            name: slots - world.busy.get(name, 0)
            for name, slots in world.slots.items()
            if name not in without and slots > world.busy.get(name, 0)
        }
        if not free:
            return None
        server = max(free, key=free.get)
        return tickets.Place(server=server, free=free[server])

    def claim(self, place):
        self.server = place.server
        self.world.busy[place.server] = self.world.busy.get(place.server, 0) + 1

    def is_hopeless(self, now):
        return self.hopeless

    def blocked_until(self, now):
        return self.blocked

    def log(self, message, **fields):
        self.lines.append((message, fields))


class World:
    """Servers of one service, and a gate in front of them.

    Attributes:
        slots: number of slots by server.
        busy: number of requests by server.
        gate: the gate.
        order: labels of the requests in the order in which they got places.
        refused: by label of a refused request, its outcome, the time, and the
            wait for a place that it was told.
        notifies: whether ended attempts notify the gate.
    """

    def __init__(self, slots, *, draw=lambda: 0.5, **more):
        self.slots = dict(slots)
        self.busy = {}
        self.gate = gates.AdmissionGate(
            counters=counters.Counters(),
            in_use=lambda service, at: sum(
                self.busy.get(each, 0) for each in self.slots
            ),
            clock=now,
            shares=place_shares.PlaceShares(draw=draw),
            **more,
        )
        self.order = []
        self.refused = {}
        self.notifies = True

    def ticket(self, *, patience=1.0, urgency=0, organisation="o", **more):
        fields = {
            "service": SERVICE,
            "organisation": organisation,
            "urgency": urgency,
            "deadline": now() + 3 * patience,
            "until": now() + patience,
            "arrived": now(),
            "kind": urgency,
        }
        return tickets.Ticket(**(fields | more))

    async def request(self, label, *, seconds=0.1, at=0.0, **more):
        """Waits for a place, runs and returns the outcome."""
        if at > now():
            await asyncio.sleep(at - now())
        ticket = self.ticket(**more)
        finder = Finder(world=self)
        outcome = await self.gate.wait(ticket, finder)
        if outcome is not tickets.Outcome.PLACE:
            wait = self.gate.refuse(ticket, now())
            self.refused[label] = (outcome, now(), wait)
            return outcome
        self.order.append(label)
        await asyncio.sleep(seconds)
        self.busy[finder.server] -= 1
        if self.notifies:
            self.gate.note_ended(
                SERVICE,
                server=finder.server,
                kind="r",
                seconds=seconds,
                now=now(),
            )
        return outcome

    async def tick(self, until):
        """Runs the periodic work of the router until a time."""
        while now() < until:
            self.gate.tick(now())
            await asyncio.sleep(TICK_SECONDS)

    async def run(self, requests, *, until=10.0):
        """Runs requests, and returns their outcomes."""
        ticks = asyncio.ensure_future(self.tick(until))
        try:
            return await asyncio.gather(*requests)
        finally:
            ticks.cancel()
