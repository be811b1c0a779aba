"""A conditional update of one object, carried through lost answers.

An update reads the object, changes it and writes it back on condition of the
version that it read. A conflict starts it again; a lost answer is read back
by write id before anything else.
"""

from collections import abc
import enum
import random

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import stores


class UpdateStage(enum.StrEnum):
    """What an update waits for."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"
    # A conflict or an unreadable store; it goes on at `resume_at`.
    PAUSING = "pausing"


class UpdateOutcome(enum.StrEnum):
    """How an update ended."""

    WRITTEN = "written"
    # The change found nothing to write.
    UNCHANGED = "unchanged"
    # The store is down; the update had no effect.
    DOWN = "down"


@attrs.define(kw_only=True)
class Change:
    """What to do with an object as it was read.

    Attributes:
        write: whether to write at all.
        value: the new value; None deletes the object.
    """

    write: bool
    value: bytes | None = None


@attrs.frozen(kw_only=True)
class UpdateTiming:
    """Waits of an update, in seconds.

    Attributes:
        conflict: longest wait after the first conflict.
        first_retry: wait before a lost write is read back again.
        last_retry: longest wait before that.
        answer: time after which a call counts as lost even here; the client
            of the store gives up long before.
    """

    conflict: float = 0.02
    first_retry: float = 0.1
    last_retry: float = 5.0
    answer: float = 30.0


class ConditionalUpdate:
    """Changes one object; one change at a time.

    The change is a function of the object as it is (None when absent). It
    may be called several times, so a change that is already there must end
    with nothing to write: that is how a lost write shows that took effect
    and was then overwritten by somebody else.

    Attributes:
        path: the object's path.
        name: first part of the ids of its calls.
        life: id of this process's life; makes write ids unique.
        timing: waits.
        stage: what it waits for.
        started: when the read was sent that the current write rests on.
        writes: writes sent.
        conflicts: writes that met a newer version.
        lost: writes whose answer was lost.
    """

    def __init__(
        self,
        *,
        path: str,
        name: str,
        life: str,
        generator: random.Random,
        timing: UpdateTiming | None = None,
    ):
        self.path = path
        self.name = name
        self.life = life
        self.timing = timing or UpdateTiming()
        self.stage = UpdateStage.IDLE
        self.started = 0.0
        self.writes = 0
        self.conflicts = 0
        self.lost = 0
        self._random = generator
        self._change: abc.Callable[[stores.Object | None], Change] | None = None
        self._calls = 0
        self._call = ""
        self._write_id = ""
        self._in_doubt = False
        self._tries = 0
        self._due = 0.0

    def busy(self) -> bool:
        """Returns whether a change is under way."""
        return self.stage is not UpdateStage.IDLE

    def owns(self, answer: stores.StoreAnswer) -> bool:
        """Returns whether an answer is to one of its calls."""
        return answer.call.startswith(self.name + "/")

    def start(
        self,
        change: abc.Callable[[stores.Object | None], Change],
        now: float,
    ) -> list[actions.Action]:
        """Starts a change; none may be under way."""
        self._change = change
        self._tries = 0
        self._in_doubt = False
        return self._read(now)

    def next_wake(self) -> float | None:
        """Returns when to call `wake`; None for never."""
        return self._due if self.busy() else None

    def wake(self, now: float) -> list[actions.Action]:
        """Does what is due by now."""
        if not self.busy() or now < self._due:
            return []
        if self.stage is UpdateStage.WRITING:
            self._in_doubt = True
        return self._read(now)

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> tuple[list[actions.Action], UpdateOutcome | None]:
        """Takes the store's answer.

        Returns:
            The next calls, and how the change ended if it has ended.
        """
        if answer.call != self._call or not self.busy():
            return [], None
        if self.stage is UpdateStage.READING:
            return self._have_read(answer, now)
        if self.stage is UpdateStage.WRITING:
            return self._have_written(answer, now)
        return [], None

    def _next_call(self, now: float) -> str:
        self._calls += 1
        self._call = f"{self.name}/{self._calls}"
        self._due = now + self.timing.answer
        return self._call

    def _read(self, now: float) -> list[actions.Action]:
        self.stage = UpdateStage.READING
        self.started = now
        call = stores.Read(call=self._next_call(now), path=self.path)
        return [actions.CallStore(call=call)]

    def _have_read(
        self, answer: stores.StoreAnswer, now: float
    ) -> tuple[list[actions.Action], UpdateOutcome | None]:
        match answer.outcome:
            case stores.Outcome.FOUND:
                found = answer.objects[0]
                live = found if found.value is not None else None
                return self._apply(live, now)
            case stores.Outcome.ABSENT:
                return self._apply(None, now)
        if self._in_doubt:
            # The write may have taken effect. Ending here would let its
            # owner act as if it had not; so it is read back however long
            # the outage lasts.
            self._pause(self._backoff(), now)
            return [], None
        return [], self._end(UpdateOutcome.DOWN)

    def _apply(
        self, found: stores.Object | None, now: float
    ) -> tuple[list[actions.Action], UpdateOutcome | None]:
        ours = found is not None and found.write_id == self._write_id
        if self._in_doubt and ours:
            return [], self._end(UpdateOutcome.WRITTEN)
        self._in_doubt = False
        change = self._change(found)
        if not change.write:
            return [], self._end(UpdateOutcome.UNCHANGED)
        return [self._write(change, found, now)], None

    def _write(
        self, change: Change, found: stores.Object | None, now: float
    ) -> actions.CallStore:
        self.stage = UpdateStage.WRITING
        self.writes += 1
        call = self._next_call(now)
        self._write_id = f"{self.life}/{call}"
        return actions.CallStore(
            call=stores.Write(
                call=call,
                path=self.path,
                value=change.value,
                expected=found.version if found else 0,
                write_id=self._write_id,
            )
        )

    def _have_written(
        self, answer: stores.StoreAnswer, now: float
    ) -> tuple[list[actions.Action], UpdateOutcome | None]:
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                return [], self._end(UpdateOutcome.WRITTEN)
            case stores.Outcome.CONFLICT:
                self.conflicts += 1
                self._tries += 1
                wait = self.timing.conflict * 2 ** min(self._tries - 1, 6)
                # Without jitter the losers of one race meet again in the
                # next one.
                self._pause(self._random.uniform(0, wait), now)
                return [], None
            case stores.Outcome.LOST:
                self.lost += 1
                self._in_doubt = True
                return self._read(now), None
        return [], self._end(UpdateOutcome.DOWN)

    def _backoff(self) -> float:
        doubled = self.timing.first_retry * 2 ** min(self._tries, 16)
        self._tries += 1
        wait = min(doubled, self.timing.last_retry)
        return wait * self._random.uniform(0.75, 1.25)

    def _pause(self, wait: float, now: float) -> None:
        self.stage = UpdateStage.PAUSING
        self._due = now + wait

    def _end(self, ended: UpdateOutcome) -> UpdateOutcome:
        self.stage = UpdateStage.IDLE
        self._change = None
        return ended
