"""The store's record of quarantined content and prompt parts.

Routers that run tell each other what crashed servers. When all of them restart
at once, only the store still knows. A subject is written there once it is
quarantined, by the routers that saw one of its crashes; single crashes aren't,
since a data centre that goes would have thousands of them written.
"""

import asyncio
import time

import logbook

from pimentoledge.platform import stores
from pimentoledge.routing import clocks
from pimentoledge.routing import crash_evidence
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import server_deaths
from pimentoledge.routing import supervised_tasks
from pimentoledge.routing import suspects as suspects_module

logger = logbook.Logger("stored_quarantines")

KIND = "quarantines"
# Times after the start at which a router reads the records. The reads are cheap
# ones, which may lack the writes of the last seconds; the second one has them.
READ_SECONDS = (0.0, 5.0)
RETRY_SECONDS = 1.0
# Interval between checks for content to write.
CHECK_SECONDS = 0.1
# Tolerance for the time of day of the router that wrote a record.
CLOCK_SECONDS = 60.0


class StoredQuarantines:
    """Reads the records of quarantined content, and writes this router's.

    Attributes:
        suspects: the content that is suspected.
        store: the store's client.
        lines: log of what is read and written.
        pending: contents to be written or deleted, the oldest first.
        revisions: revisions of the records that this router has written, by
            content.
        era: era of the store in which they were written.
    """

    def __init__(
        self,
        *,
        suspects: suspects_module.Suspects,
        store: stores.StoreClient,
        lines: log_lines.Lines,
        started_at: float,
    ):
        self.suspects = suspects
        self.store = store
        self.lines = lines
        self.pending: dict[str, None] = {}
        self.revisions: dict[str, int] = {}
        self.era = 0
        self._reads_at = [started_at + each for each in READ_SECONDS]
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts to read and write."""
        self._task = supervised_tasks.start("quarantines", self._run())

    def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()

    def changed(self, subject: str) -> None:
        """Handles changed evidence against a subject seen to crash here."""
        if subject in self.suspects.quarantines or subject in self.revisions:
            self.pending[subject] = None

    async def _run(self) -> None:
        while True:
            try:
                done = await self._step(clocks.now())
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("defect")
                done = False
            await asyncio.sleep(CHECK_SECONDS if done else RETRY_SECONDS)

    async def _step(self, now: float) -> bool:
        """Makes the next call that is due; returns whether it succeeded."""
        if self._reads_at and now >= self._reads_at[0]:
            if not await self._read():
                return False
            del self._reads_at[0]
        if self.store.era > self.era:
            # A restored store may lack the records.
            self.pending.update(dict.fromkeys(self.revisions))
            self.era = self.store.era
        if not self.pending:
            return True
        subject = next(iter(self.pending))
        if not await self._save(subject, now):
            return False
        self.pending.pop(subject, None)
        return True

    async def _read(self) -> bool:
        found = await self.store.list(KIND, allow_stale=True)
        if isinstance(found, registrations.Unavailable):
            return False
        now, time_of_day = clocks.now(), time.time()
        for each in found.objects:
            await self._apply(each, now, time_of_day)
        if found.objects:
            self.lines.write("quarantines_read", number=len(found.objects))
        return True

    async def _apply(
        self, stored: registrations.Stored, now: float, time_of_day: float
    ) -> None:
        """Applies a record, or deletes it if it has expired."""
        ages = _ages(stored.value, time_of_day)
        if not ages:
            self.lines.write("unreadable", object=stored.name)
            return
        subject = server_deaths.Subject(
            key=stored.name, depth=_depth(stored.value)
        )
        remembered = suspects_module.memory_seconds(
            len(ages), is_part=subject.depth > 0
        )
        if min(ages.values()) > remembered + CLOCK_SECONDS:
            await self.store.delete(KIND, stored.name, stored.revision)
            return
        for incarnation, age in ages.items():
            self.suspects.record_crash(subject, incarnation, now - age)

    async def _save(self, subject: str, now: float) -> bool:
        """Writes or deletes a record; returns whether that is done."""
        if subject not in self.suspects.quarantines:
            return await self._delete(subject)
        answer = await self.store.write(
            KIND,
            subject,
            {
                "crashes": self._crash_times(subject, now),
                "depth": self.suspects.subjects[subject].depth,
            },
            revision=self.revisions.get(subject),
        )
        match answer:
            case registrations.Unavailable(reason=reason):
                self.lines.write(
                    "quarantine_not_written", subject=subject, why=reason
                )
                return False
            case registrations.Conflict(found=found):
                # Another router wrote it, or it was deleted meanwhile.
                self.revisions.pop(subject, None)
                if found is not None:
                    self.revisions[subject] = found.revision
                    await self._apply(found, now, time.time())
                return self._is_saved(subject, found)
            case registrations.Stored(revision=revision):
                self.revisions[subject] = revision
        self.lines.write("quarantine_written", subject=subject)
        return True

    def _is_saved(
        self, subject: str, found: registrations.Stored | None
    ) -> bool:
        """Returns whether a record has all crashes that count."""
        if found is None:
            return False
        stored = _ages(found.value, time.time())
        return self._counted(subject).keys() <= stored.keys()

    def _counted(self, subject: str) -> dict[str, crash_evidence.Crash]:
        suspect = self.suspects.subjects.get(subject)
        return {} if suspect is None else suspect.counted()

    async def _delete(self, subject: str) -> bool:
        revision = self.revisions.get(subject)
        if revision is None:
            return True
        deleted = await self.store.delete(KIND, subject, revision)
        if isinstance(deleted, registrations.Unavailable):
            return False
        del self.revisions[subject]
        return True

    def _crash_times(self, subject: str, now: float) -> dict[str, int]:
        """Returns the crashes that count, in ms of the time of day."""
        time_of_day = time.time()
        return {
            incarnation: int((time_of_day - (now - each.when)) * 1000)
            for incarnation, each in self._counted(subject).items()
        }


def _ages(value: object, time_of_day: float) -> dict[str, float]:
    """Returns the ages of the crashes in a record, empty if it is unreadable.

    A time in the future comes from another clock and counts as now.
    """
    crashes = value.get("crashes") if isinstance(value, dict) else None
    if not isinstance(crashes, dict):
        return {}
    return {
        incarnation: max(0.0, time_of_day - when / 1000)
        for incarnation, when in crashes.items()
        if isinstance(when, int)
    }


def _depth(value: object) -> int:
    """Returns the place of a part in the prompt; 0 for content."""
    depth = value.get("depth") if isinstance(value, dict) else None
    return depth if isinstance(depth, int) else 0
