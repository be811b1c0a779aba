"""Number of routers in the fleet, also for a router that has just started.

A router's share of an organisation's limit and of the retry budget follows from
this number. When many routers start together, each knows few others at first
and would take too large a share. So the store keeps the number and the owners
of the limits, and a router that starts reads them from there.
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
from pimentoledge.routing import supervised_tasks

logger = logbook.Logger("fleet_sizes")

KIND = "router-leases"
NAME = "fleet"
# Interval between checks of the stored number.
CHECK_SECONDS = 1.0
# Number of consecutive checks in which the count must differ from the stored
# number before it is written.
CHECKS_BEFORE_WRITE = 3
# For this long after its start a router that has not read the stored number
# takes the fleet's size to be unknown.
UNKNOWN_SECONDS = 1.5
# For this long after its start a router may know too few of the others.
STARTING_SECONDS = 10.0
RETRY_SECONDS = 0.5


class FleetSize:
    """The number of routers, from the store and from membership.

    Attributes:
        roster: the other routers.
        store: the store's client.
        lines: log of changes of the view.
        owners: returns the owners of the limits that this router knows.
        started_at: when this router started.
        stored: the stored number, 0 if there is none, None if not read yet.
        stored_owners: mailboxes of the stored owners.
        revision: revision of the stored object, 0 if there is none.
        era: era of the store in which the object was last read or written.
    """

    def __init__(
        self,
        *,
        roster: rosters.Roster,
        store: stores.StoreClient,
        lines: log_lines.Lines,
        owners: Callable[[], list[str]],
        started_at: float,
    ):
        self.roster = roster
        self.store = store
        self.lines = lines
        self.owners = owners
        self.started_at = started_at
        self.stored: int | None = None
        self.stored_owners: list[str] = []
        self.revision = 0
        self.era = 0
        self._differed = 0
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to read the stored number and to keep it up to date."""
        self._task = supervised_tasks.start("fleet size", self._run())

    def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()

    def share(self, now: float) -> float:
        """Returns this router's share of a fleet-wide limit; 0 if unknown."""
        if self.stored is None and now - self.started_at < UNKNOWN_SECONDS:
            return 0.0
        return 1 / self.count(now)

    def count(self, now: float) -> int:
        """Returns the number of routers, this one included."""
        count = self.roster.count(now)
        if now - self.started_at >= STARTING_SECONDS:
            return count
        return max(count, self.stored or 0)

    def routers(self, now: float) -> list[str]:
        """Returns the mailboxes of the other members.

        A router that has just started includes the stored owners, from which
        it may not have received heartbeats yet.
        """
        mailboxes = set(self.roster.members(now))
        if now - self.started_at < STARTING_SECONDS:
            mailboxes.update(self.stored_owners)
        mailboxes.discard(self.roster.own)
        return list(mailboxes)

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
            self._apply(await self.store.read(KIND, NAME))
            return
        if not self._is_writer(now):
            self._differed = 0
            return
        if self.store.era > self.era:
            # A restored store may lack the object, or its newest content.
            self._apply(await self.store.read(KIND, NAME))
            return
        count, owners = self.roster.count(now), sorted(set(self.owners()))
        same = count == self.stored and owners == self.stored_owners
        self._differed = 0 if same else self._differed + 1
        if self._differed >= CHECKS_BEFORE_WRITE:
            self._differed = 0
            await self._write(count, owners)

    def _is_writer(self, now: float) -> bool:
        """Returns whether this router writes the number for the fleet.

        The writer is the first member on the ring.
        """
        if now - self.started_at < STARTING_SECONDS / 2:
            return False
        here = heartbeat_rings.ring_position(self.roster.own)
        return all(
            heartbeat_rings.ring_position(each) > here
            for each in self.roster.members(now)
        )

    async def _write(self, count: int, owners: list[str]) -> None:
        answer = await self.store.write(
            KIND,
            NAME,
            {"routers": count, "owners": owners},
            revision=self.revision or None,
        )
        self._apply(answer)

    def _apply(self, answer: object) -> None:
        match answer:
            case registrations.Absent(era=era):
                self.stored, self.revision, self.era = 0, 0, era
            case registrations.Stored(value=value, revision=revision, era=era):
                self.stored, self.revision = _read_number(value), revision
                self.era = era
                self.stored_owners = _read_owners(value)
                self.lines.write("fleet_size", routers=self.stored)
            case registrations.Conflict(found=None, era=era):
                self._apply(registrations.Absent(era=era))
            case registrations.Conflict(found=current):
                self._apply(current)
            case registrations.Unavailable(reason=reason):
                self.lines.write("fleet_size_unknown", why=reason)


def _read_number(value: object) -> int:
    """Returns the number of routers in a stored value, 0 if there is none."""
    if not isinstance(value, dict):
        return 0
    number = value.get("routers")
    return number if isinstance(number, int) and number > 0 else 0


def _read_owners(value: object) -> list[str]:
    """Returns the owners in a stored value."""
    owners = value.get("owners") if isinstance(value, dict) else None
    if not isinstance(owners, list):
        return []
    return [each for each in owners if isinstance(each, str)]
