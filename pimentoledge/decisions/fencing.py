"""The fencing number that an agent gives with its orders.

One object per backend server names the agent life that may give orders and
its number. The number is taken once in a life, by a conditional update, and
is greater than every number taken before it.
"""

import math
import random

import attrs
import msgspec

from pimentoledge.decisions import actions
from pimentoledge.decisions import conditional_updates
from pimentoledge.decisions import stores

PREFIX = "orders/"


@attrs.define(kw_only=True)
class FenceRecord:
    """Who may give orders to a server.

    Attributes:
        life: id of the agent's life.
        number: its fencing number.
    """

    life: str
    number: int


@attrs.frozen(kw_only=True)
class FenceTiming:
    """Times in seconds.

    Attributes:
        confirm: age up to which a confirmation counts.
        retry: wait after the store was down.
        retake: wait before a number that somebody else superseded is taken
            anew, doubled each time. It is longer than a declaration takes to
            reach this process: by then a process whose address is no longer
            declared knows that, and takes none.
        longest_retake: longest wait before that.
    """

    confirm: float = 1.0
    retry: float = 1.0
    retake: float = 10.0
    longest_retake: float = 600.0


class Tenure:
    """One agent life's right to give orders.

    Attributes:
        life: id of the agent's life.
        timing: times.
        number: the fencing number; 0 while there is none.
        floor: highest number known of; a new one is greater.
        confirmed_at: when the object was last known to name this life.
        superseded: times that another life was found in the object.
        candidate: the number that the update under way will give; 0 when it
            finds another life.
        doubted: whether an engine refused the number, so that the object is
            read before another one is taken.
        retry_at: earliest next call.
        update: the calls to the store.
    """

    def __init__(
        self,
        *,
        server: str,
        life: str,
        generator: random.Random,
        timing: FenceTiming | None = None,
    ):
        self.life = life
        self.timing = timing or FenceTiming()
        self.number = 0
        self.floor = 0
        self.confirmed_at = 0.0
        self.superseded = 0
        self.candidate = 0
        self.doubted = False
        self.retry_at = -math.inf
        self.update = conditional_updates.ConditionalUpdate(
            path=PREFIX + server,
            name="fencing",
            life=life,
            generator=generator,
        )

    def acquire(self, now: float) -> list[actions.Action]:
        """Takes a number, unless there is one or it is too early."""
        if self.number or self.update.busy() or now < self.retry_at:
            return []
        change = self._raise if self.doubted else self._take
        return self.update.start(change, now)

    def fresh(self, now: float) -> bool:
        """Returns whether the right was confirmed a moment ago."""
        age = now - self.confirmed_at
        return self.number > 0 and age <= self.timing.confirm

    def confirm(self, now: float) -> list[actions.Action]:
        """Reads back whether the right still stands."""
        if not self.number or self.update.busy() or now < self.retry_at:
            return []
        return self.update.start(self._confirm, now)

    def mark_fenced(self, highest: int) -> None:
        """Takes note that the engine refused the number as too old.

        Args:
            highest: the highest number that the engine has seen.
        """
        self.floor = max(self.floor, highest)
        self.number = 0
        self.doubted = True

    def next_wake(self) -> float | None:
        """Returns when to call `wake`; None for never."""
        return self.update.next_wake()

    def wake(self, now: float) -> list[actions.Action]:
        """Does what is due by now."""
        return self.update.wake(now)

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        """Takes the store's answer."""
        called, ended = self.update.handle(answer, now)
        match ended:
            case conditional_updates.UpdateOutcome.DOWN:
                self.retry_at = now + self.timing.retry
            case (
                conditional_updates.UpdateOutcome.WRITTEN
                | conditional_updates.UpdateOutcome.UNCHANGED
            ):
                self._settle(now)
        return called

    def _settle(self, now: float) -> None:
        self.doubted = False
        if self.candidate:
            self.number = self.candidate
            self.floor = max(self.floor, self.number)
            self.confirmed_at = self.update.started
            return
        self.number = 0
        waits = self.timing.retake * 2 ** min(self.superseded, 16)
        self.superseded += 1
        self.retry_at = now + min(waits, self.timing.longest_retake)

    def _take(self, found: stores.Object | None) -> conditional_updates.Change:
        record = _decode(found)
        if record.life == self.life and record.number >= self.floor:
            self.candidate = record.number
            return conditional_updates.Change(write=False)
        self.candidate = max(record.number, self.floor) + 1
        return self._write(self.candidate)

    def _confirm(
        self, found: stores.Object | None
    ) -> conditional_updates.Change:
        record = _decode(found)
        ours = record.life == self.life and record.number == self.number
        self.candidate = self.number if ours else 0
        return conditional_updates.Change(write=False)

    def _raise(self, found: stores.Object | None) -> conditional_updates.Change:
        record = _decode(found)
        # An engine that has seen a greater number was given it by a later
        # life, or the object was lost and begun anew. Only in the second
        # case does it still name this life.
        if record.life != self.life:
            self.candidate = 0
            return conditional_updates.Change(write=False)
        if record.number > self.floor:
            self.candidate = record.number
            return conditional_updates.Change(write=False)
        self.candidate = self.floor + 1
        return self._write(self.candidate)

    def _write(self, number: int) -> conditional_updates.Change:
        record = FenceRecord(life=self.life, number=number)
        return conditional_updates.Change(
            write=True, value=msgspec.json.encode(record)
        )


def _decode(found: stores.Object | None) -> FenceRecord:
    if found is None:
        return FenceRecord(life="", number=0)
    return msgspec.json.decode(found.value, type=FenceRecord)
