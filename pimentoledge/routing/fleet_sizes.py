"""How many routers there are, also for one that has just started.

A router's part of an organisation's limit follows from it. One that starts
beside others that have just started as well hears of few, and would take too
much; so the number lies in the store, with the owners of the limits, which all
then find at once.
"""

import asyncio
from collections.abc import Callable

import logbook

from pimentoledge.platform import stores
from pimentoledge.routing import clocks
from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import rosters

logger = logbook.Logger("fleet_sizes")

KIND = "router-leases"
NAME = "fleet"
# Between two looks at whether the store's number is still right.
CHECK_SECONDS = 1.0
# A number must differ for so many looks before it is written.
CHECKS_BEFORE_WRITE = 3
# Without the store's word a router that has just started knows nothing of the
# others for so long.
UNKNOWN_SECONDS = 1.5
# For so long after its start a router hears of too few.
STARTING_SECONDS = 10.0
RETRY_SECONDS = 0.5


class FleetSize:
    """The number of routers, by the store and by those that are heard.

    Attributes:
        roster: the other routers.
        store: the store's client.
        lines: where changes of belief are written.
        is_needed: returns whether anybody needs the number.
        owners: returns the owners of the limits as this router knows them.
        born: when this router started.
        stored: the store's number, 0 if it has none, None if not read.
        stored_owners: mailboxes of the owners by the store.
        revision: of the store's object, 0 if there is none.
    """

    def __init__(
        self,
        *,
        roster: rosters.Roster,
        store: stores.Store,
        lines: log_lines.Lines,
        is_needed: Callable[[], bool],
        owners: Callable[[], list[str]],
        born: float,
    ):
        self.roster = roster
        self.store = store
        self.lines = lines
        self.is_needed = is_needed
        self.owners = owners
        self.born = born
        self.stored: int | None = None
        self.stored_owners: list[str] = []
        self.revision = 0
        self._differed = 0
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to read, and to keep the store's number right."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stops."""
        if self._task is not None:
            self._task.cancel()

    def share(self, now: float) -> float:
        """Returns this router's part of what all share; 0 if not known."""
        count = self.roster.count(now)
        if now - self.born >= STARTING_SECONDS:
            return 1 / count
        if self.stored is None and now - self.born < UNKNOWN_SECONDS:
            return 0.0
        return 1 / max(count, self.stored or 0)

    def routers(self, now: float) -> list[str]:
        """Returns the mailboxes of the others believed to live.

        One that has just started counts the owners among them, of which it
        may not have heard yet.
        """
        found = set(self.roster.members(now))
        if now - self.born < STARTING_SECONDS:
            found.update(self.stored_owners)
        found.discard(self.roster.own)
        return list(found)

    async def _run(self) -> None:
        while True:
            try:
                await self._step(clocks.now())
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("defect")
            starting = self.stored is None
            await asyncio.sleep(RETRY_SECONDS if starting else CHECK_SECONDS)

    async def _step(self, now: float) -> None:
        if self.stored is None:
            self._learn(await self.store.read(KIND, NAME))
            return
        if not self.is_needed() or not self._is_writer(now):
            self._differed = 0
            return
        count, owners = self.roster.count(now), sorted(set(self.owners()))
        same = count == self.stored and owners == self.stored_owners
        self._differed = 0 if same else self._differed + 1
        if self._differed >= CHECKS_BEFORE_WRITE:
            self._differed = 0
            await self._write(count, owners)

    def _is_writer(self, now: float) -> bool:
        """Returns whether this router comes first of all that live."""
        if now - self.born < STARTING_SECONDS / 2:
            return False
        here = heartbeat_rings.ring_position(self.roster.own)
        return all(
            heartbeat_rings.ring_position(each) > here
            for each in self.roster.members(now)
        )

    async def _write(self, count: int, owners: list[str]) -> None:
        found = await self.store.write(
            KIND,
            NAME,
            {"routers": count, "owners": owners},
            revision=self.revision or None,
        )
        self._learn(found)

    def _learn(self, found: object) -> None:
        match found:
            case None:
                self.stored, self.revision = 0, 0
            case registrations.Stored(value=value, revision=revision):
                self.stored, self.revision = _number(value), revision
                self.stored_owners = _owners(value)
                self.lines.write("fleet_size", routers=self.stored)
            case registrations.Conflict(found=held):
                self._learn(held)
            case registrations.Unavailable(reason=reason):
                self.lines.write("fleet_size_unknown", why=reason)


def _number(value: object) -> int:
    """Returns the number that an object holds, 0 for one that holds none."""
    if not isinstance(value, dict):
        return 0
    found = value.get("routers")
    return found if isinstance(found, int) and found > 0 else 0


def _owners(value: object) -> list[str]:
    """Returns the owners that an object names."""
    found = value.get("owners") if isinstance(value, dict) else None
    if not isinstance(found, list):
        return []
    return [each for each in found if isinstance(each, str)]
