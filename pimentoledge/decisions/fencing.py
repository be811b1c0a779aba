"""The fencing number that an agent sends with its orders.

One object per backend server holds the life of the agent that may give
orders, and its fencing number. A life acquires its number once, by a
conditional update; the number is greater than all earlier ones.
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
    """The agent life that may give orders to a server.

    Attributes:
        life: id of the agent's life.
        number: its fencing number.
    """

    life: str
    number: int


@attrs.frozen(kw_only=True)
class FenceTiming:
    """Timeouts and backoffs, in seconds.

    Attributes:
        confirm: maximum age of a valid confirmation.
        retry: wait after the store was down.
        retake: backoff before a new number is acquired after another life
            superseded this one; doubles each time. It is longer than a
            declaration takes to reach this process, so a process whose
            address is no longer declared has seen that by then, and acquires
            no number.
        max_retake_seconds: maximum of that backoff.
    """

    confirm: float = 1.0
    retry: float = 1.0
    retake: float = 10.0
    max_retake_seconds: float = 600.0


class Tenure:
    """One agent life's right to give orders.

    Attributes:
        life: id of the agent's life.
        timing: timeouts and backoffs.
        number: the fencing number; 0 if there is none.
        floor: highest number seen so far; a new one must be greater.
        confirmed_at: when the object was last confirmed to hold this life.
        superseded: number of times the object held another life.
        pending_number: the number that the current update will establish; 0
            if the object holds another life.
        number_rejected: whether an engine rejected the number, so that the
            object must still hold this life for a new one to be acquired.
        retry_at: earliest time of the next call.
        update: the conditional update of the object.
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
        self.pending_number = 0
        self.number_rejected = False
        self.retry_at = -math.inf
        self.update = conditional_updates.ConditionalUpdate(
            path=PREFIX + server,
            name="fencing",
            life=life,
            generator=generator,
        )

    def acquire(self, now: float) -> list[actions.Action]:
        """Acquires a number, unless one is held or a backoff is running."""
        if self.number or self.update.busy() or now < self.retry_at:
            return []
        change = (
            self._raise_change if self.number_rejected else self._acquire_change
        )
        return self.update.start(change, now)

    def fresh(self, now: float) -> bool:
        """Returns whether the last confirmation is recent enough."""
        age = now - self.confirmed_at
        return self.number > 0 and age <= self.timing.confirm

    def confirm(self, now: float) -> list[actions.Action]:
        """Reads the object to confirm that it still holds this life."""
        if not self.number or self.update.busy() or now < self.retry_at:
            return []
        return self.update.start(self._confirm_change, now)

    def mark_fenced(self, highest: int) -> None:
        """Drops the number, since the engine rejected it as too old.

        Args:
            highest: the highest number that the engine has seen.
        """
        self.floor = max(self.floor, highest)
        self.number = 0
        self.number_rejected = True

    def next_wake(self) -> float | None:
        """Returns when to call `wake`; None if idle."""
        return self.update.next_wake()

    def wake(self, now: float) -> list[actions.Action]:
        """Handles timeouts and backoffs that have expired."""
        return self.update.wake(now)

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        """Handles the store's answer."""
        calls, outcome = self.update.handle(answer, now)
        match outcome:
            case conditional_updates.UpdateOutcome.DOWN:
                self.retry_at = now + self.timing.retry
            case (
                conditional_updates.UpdateOutcome.WRITTEN
                | conditional_updates.UpdateOutcome.UNCHANGED
            ):
                self._apply_result(now)
        return calls

    def _apply_result(self, now: float) -> None:
        self.number_rejected = False
        if self.pending_number:
            self.number = self.pending_number
            self.floor = max(self.floor, self.number)
            self.confirmed_at = self.update.started
            return
        self.number = 0
        backoff = self.timing.retake * 2 ** min(self.superseded, 16)
        self.superseded += 1
        self.retry_at = now + min(backoff, self.timing.max_retake_seconds)

    def _acquire_change(
        self, stored: stores.Object | None
    ) -> conditional_updates.Change:
        record = _decode(stored)
        if record.life == self.life and record.number >= self.floor:
            self.pending_number = record.number
            return conditional_updates.Change(write=False)
        self.pending_number = max(record.number, self.floor) + 1
        return self._write_change(self.pending_number)

    def _confirm_change(
        self, stored: stores.Object | None
    ) -> conditional_updates.Change:
        record = _decode(stored)
        is_own = record.life == self.life and record.number == self.number
        self.pending_number = self.number if is_own else 0
        return conditional_updates.Change(write=False)

    def _raise_change(
        self, stored: stores.Object | None
    ) -> conditional_updates.Change:
        record = _decode(stored)
        # The engine has seen a greater number either because a later life
        # sent it or because the object was lost and recreated. Only in the
        # second case does the object still hold this life.
        if record.life != self.life:
            self.pending_number = 0
            return conditional_updates.Change(write=False)
        if record.number > self.floor:
            self.pending_number = record.number
            return conditional_updates.Change(write=False)
        self.pending_number = self.floor + 1
        return self._write_change(self.pending_number)

    def _write_change(self, number: int) -> conditional_updates.Change:
        record = FenceRecord(life=self.life, number=number)
        return conditional_updates.Change(
            write=True, value=msgspec.json.encode(record)
        )


def _decode(stored: stores.Object | None) -> FenceRecord:
    if stored is None:
        return FenceRecord(life="", number=0)
    return msgspec.json.decode(stored.value, type=FenceRecord)
