"""Optimistic update of one stored object that tolerates lost answers.

An update reads the object, changes it and writes it back if it still has the
version that was read. After a conflict it starts again. After a lost answer
it first reads the object back and compares the write id.
"""

from collections import abc
import enum
import random

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import stores


class UpdateStage(enum.StrEnum):
    """State of an update."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"
    # Backing off after a conflict or a failed read.
    PAUSING = "pausing"


class UpdateOutcome(enum.StrEnum):
    """Result of an update."""

    WRITTEN = "written"
    # The change function returned nothing to write.
    UNCHANGED = "unchanged"
    # The store is down; the update had no effect.
    DOWN = "down"


@attrs.define(kw_only=True)
class Change:
    """The result of a change function.

    Attributes:
        write: whether to write the object.
        value: the new value; None deletes the object.
    """

    write: bool
    value: bytes | None = None


@attrs.frozen(kw_only=True)
class UpdateTiming:
    """Timeouts and backoffs of an update, in seconds.

    Attributes:
        conflict: maximum backoff after the first conflict; it doubles with
            each further one, at most six times.
        first_retry: first backoff before a lost write is read back again.
        max_retry_seconds: maximum backoff before a lost write is read
            back again.
        answer: time after which a call counts as lost. The store client's
            own timeout is much shorter.
    """

    conflict: float = 0.02
    first_retry: float = 0.1
    max_retry_seconds: float = 5.0
    answer: float = 30.0


class ConditionalUpdate:
    """Updates one object; runs one change at a time.

    The change is a function of the current object (None if absent). It may
    be called several times, so it must return nothing to write if its effect
    is already present: a lost write may have taken effect and then been
    overwritten by another writer, so that its write id is gone.

    Attributes:
        path: the object's path.
        name: prefix of the ids of its calls.
        life: id of this process's life; makes write ids unique.
        timing: timeouts and backoffs.
        stage: state of the update.
        started: time at which the last read was sent; the current write is
            based on it.
        writes: number of writes sent.
        conflicts: number of writes rejected because of a newer version.
        lost: number of writes whose answer was lost.
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
        self._write_uncertain = False
        self._attempts = 0
        self._wake_at = 0.0

    def busy(self) -> bool:
        """Returns whether a change is in progress."""
        return self.stage is not UpdateStage.IDLE

    def owns(self, answer: stores.StoreAnswer) -> bool:
        """Returns whether an answer belongs to one of its calls."""
        return answer.call.startswith(self.name + "/")

    def start(
        self,
        change: abc.Callable[[stores.Object | None], Change],
        now: float,
    ) -> list[actions.Action]:
        """Starts a change; no other may be in progress."""
        self._change = change
        self._attempts = 0
        self._write_uncertain = False
        return self._read(now)

    def next_wake(self) -> float | None:
        """Returns when to call `wake`; None if idle."""
        return self._wake_at if self.busy() else None

    def wake(self, now: float) -> list[actions.Action]:
        """Handles timeouts and backoffs that have expired."""
        if not self.busy() or now < self._wake_at:
            return []
        if self.stage is UpdateStage.WRITING:
            self._write_uncertain = True
        return self._read(now)

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> tuple[list[actions.Action], UpdateOutcome | None]:
        """Handles the store's answer.

        Returns:
            The next calls, and the outcome if the change has ended.
        """
        if answer.call != self._call or not self.busy():
            return [], None
        if self.stage is UpdateStage.READING:
            return self._handle_read(answer, now)
        if self.stage is UpdateStage.WRITING:
            return self._handle_written(answer, now)
        return [], None

    def _next_call(self, now: float) -> str:
        self._calls += 1
        self._call = f"{self.name}/{self._calls}"
        self._wake_at = now + self.timing.answer
        return self._call

    def _read(self, now: float) -> list[actions.Action]:
        self.stage = UpdateStage.READING
        self.started = now
        call = stores.Read(call=self._next_call(now), path=self.path)
        return [actions.CallStore(call=call)]

    def _handle_read(
        self, answer: stores.StoreAnswer, now: float
    ) -> tuple[list[actions.Action], UpdateOutcome | None]:
        match answer.outcome:
            case stores.Outcome.FOUND:
                current = answer.objects[0]
                existing = current if current.value is not None else None
                return self._apply(existing, now)
            case stores.Outcome.ABSENT:
                return self._apply(None, now)
        if self._write_uncertain:
            # The write may have taken effect. Ending with DOWN would report
            # that it had not, so the object is read back however long the
            # outage lasts.
            self._pause(self._backoff(), now)
            return [], None
        return [], self._end(UpdateOutcome.DOWN)

    def _apply(
        self, current: stores.Object | None, now: float
    ) -> tuple[list[actions.Action], UpdateOutcome | None]:
        is_own_write = (
            current is not None and current.write_id == self._write_id
        )
        if self._write_uncertain and is_own_write:
            return [], self._end(UpdateOutcome.WRITTEN)
        self._write_uncertain = False
        change = self._change(current)
        if not change.write:
            return [], self._end(UpdateOutcome.UNCHANGED)
        return [self._write(change, current, now)], None

    def _write(
        self, change: Change, current: stores.Object | None, now: float
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
                expected=current.version if current else 0,
                write_id=self._write_id,
            )
        )

    def _handle_written(
        self, answer: stores.StoreAnswer, now: float
    ) -> tuple[list[actions.Action], UpdateOutcome | None]:
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                return [], self._end(UpdateOutcome.WRITTEN)
            case stores.Outcome.CONFLICT:
                self.conflicts += 1
                self._attempts += 1
                wait = self.timing.conflict * 2 ** min(self._attempts - 1, 6)
                # Without jitter, writers that conflicted would retry at the
                # same time and conflict again.
                self._pause(self._random.uniform(0, wait), now)
                return [], None
            case stores.Outcome.LOST:
                self.lost += 1
                self._write_uncertain = True
                return self._read(now), None
        return [], self._end(UpdateOutcome.DOWN)

    def _backoff(self) -> float:
        backoff = self.timing.first_retry * 2 ** min(self._attempts, 16)
        self._attempts += 1
        wait = min(backoff, self.timing.max_retry_seconds)
        return wait * self._random.uniform(0.75, 1.25)

    def _pause(self, wait: float, now: float) -> None:
        self.stage = UpdateStage.PAUSING
        self._wake_at = now + wait

    def _end(self, outcome: UpdateOutcome) -> UpdateOutcome:
        self.stage = UpdateStage.IDLE
        self._change = None
        return outcome
