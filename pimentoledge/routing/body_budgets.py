"""The request bodies that a process holds, and their bound."""

from typing import Any
from typing import Protocol

import attrs

from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import clocks

# Bound of a process that doesn't know its VM's memory, in bytes.
DEFAULT_BYTES = 24_000_000
# Part of the VM's memory that bodies may take. While a server reads one slowly,
# there are two copies of it.
MEMORY_SHARE = 0.15
# A client that sends less of its body in this time stalls. It reserves no room
# for the rest.
STALLED_SECONDS = 0.2
PROGRESS_BYTES = 4096
# Part of the bound that clients which stall may hold while others wait.
STALLED_SHARE = 0.5
# Part of the bound by which first reads of many clients may exceed it.
OVERRUN_SHARE = 0.5


def bound_of(memory_mb: float) -> float:
    """Returns the bound of a process in bytes.

    Args:
        memory_mb: memory of its VM in MB, or 0 if unknown.
    """
    return buffer_budgets.part_of_memory(
        memory_mb, share=MEMORY_SHARE, default=DEFAULT_BYTES
    )


class Reader(Protocol):
    """A connection that reads request bodies."""

    def pause_body(self, paused: bool) -> None:
        """Stops reading an incomplete body, or goes on."""

    def refuse_body(self) -> None:
        """Refuses the request of an incomplete body and notes what is left."""


@attrs.frozen(kw_only=True)
class Bodies:
    """The bodies of a connection's requests.

    Attributes:
        complete: bytes of bodies that were read completely.
        read: bytes that were read of an incomplete one.
        announced: its whole size, as announced or expected.
    """

    complete: int = 0
    read: int = 0
    announced: int = 0

    def held(self) -> int:
        """Returns the number of bytes held."""
        return self.complete + self.read

    def rest(self) -> int:
        """Returns the number of announced bytes that were not read yet."""
        return max(0, self.announced - self.read) if self.read else 0


@attrs.frozen(kw_only=True)
class _Progress:
    """When a client last sent a part of its body, and its size then."""

    at: float
    read: int


class BodyBudget:
    """Counts request bodies, and stops reading what would exceed a bound.

    Incomplete bodies are read on, oldest first, while their rests fit. Complete
    ones are freed as their requests are answered. Without any, waiting would
    free nothing, so the oldest incomplete one is read on.

    Clients that stall hold no others up: while others wait, those that have
    stalled longest are refused until they hold no more than STALLED_SHARE of
    the bound. Apart from the largest body, no more than OVERRUN_SHARE beyond
    the bound is held; above it the newest incomplete bodies are refused. There,
    what the kernel may hold for each client that isn't read counts, too.

    Attributes:
        bound: number of bytes above which reading stops.
        paused_bytes: what the kernel holds for a client that isn't read.
        held: number of bytes held now.
        peak: largest number that was held.
    """

    def __init__(self, *, bound: float, paused_bytes: int = 0):
        self.bound = bound
        self.paused_bytes = paused_bytes
        self.held = 0
        self.peak = 0
        self._rest = 0
        self._complete: dict[Reader, Bodies] = {}
        self._incomplete: dict[Reader, Bodies] = {}
        self._progress: dict[Reader, _Progress] = {}
        self._paused: set[Reader] = set()
        self._pauses = False
        self._relieving = False

    def note(self, reader: Reader, bodies: Bodies) -> None:
        """Sets what a connection holds."""
        before = self._complete.get(reader) or self._incomplete.get(reader)
        if before is not None:
            self.held -= before.held()
            self._rest -= before.rest()
        self.held += bodies.held()
        self._rest += bodies.rest()
        self.peak = max(self.peak, self.held)
        _keep(self._complete, reader, bodies, bool(bodies.complete))
        _keep(self._incomplete, reader, bodies, bool(bodies.read))
        now = clocks.now()
        self._note_progress(reader, bodies, now)
        if self._pauses or self.held + self._rest > self.bound:
            if not bodies.read:
                reader.pause_body(False)
            self._pause_or_resume(now)
            self._relieve(now)

    def _note_progress(
        self, reader: Reader, bodies: Bodies, now: float
    ) -> None:
        if not bodies.read:
            self._progress.pop(reader, None)
            self._paused.discard(reader)
            return
        last = self._progress.get(reader)
        if last is None or not (
            last.read <= bodies.read < last.read + PROGRESS_BYTES
        ):
            self._progress[reader] = _Progress(at=now, read=bodies.read)

    def fits(self) -> bool:
        """Returns whether all bodies fit, with what is due of them."""
        return self.held + self._rest <= self.bound

    def is_full(self, reader: Reader) -> bool:
        """Returns whether a connection's request may not begin.

        Reading stops above the bound, but what was read with the first bytes
        of many clients may be complete.
        """
        own = self._complete.get(reader) or self._incomplete.get(reader)
        others = self.held - (own.held() if own is not None else 0)
        return others > (1 + OVERRUN_SHARE) * self.bound

    def tick(self, now: float) -> None:
        """Lets others read on in place of clients that have stalled."""
        if self._pauses:
            self._pause_or_resume(now)
            self._relieve(now)

    def _stalls(self, reader: Reader, now: float) -> bool:
        if reader in self._paused:
            # It is not the client that holds its body back.
            return False
        return now - self._progress[reader].at > STALLED_SECONDS

    def _pause_or_resume(self, now: float) -> None:
        self._pauses = False
        room = self.bound - self.held
        may_exceed = not self._complete
        for each, bodies in list(self._incomplete.items()):
            if self._stalls(each, now):
                continue
            reads = not self._pauses and (room >= bodies.rest() or may_exceed)
            may_exceed = False
            room -= bodies.rest()
            self._pauses |= not reads
            if not reads:
                self._paused.add(each)
            elif each in self._paused:
                self._paused.discard(each)
                self._progress[each] = _Progress(at=now, read=bodies.read)
            each.pause_body(not reads)

    def _relieve(self, now: float) -> None:
        """Refuses bodies while too much is held."""
        if self._relieving:
            return
        self._relieving = True
        try:
            while (reader := self._to_refuse(now)) is not None:
                reader.refuse_body()
        finally:
            self._relieving = False

    def _to_refuse(self, now: float) -> Reader | None:
        """Returns the client whose incomplete body is to be refused, if any."""
        stalled = [each for each in self._incomplete if self._stalls(each, now)]
        size = sum(self._incomplete[each].read for each in stalled)
        exceeds = self._exceeds()
        if stalled and (
            exceeds or (self._pauses and size > STALLED_SHARE * self.bound)
        ):
            return min(stalled, key=lambda each: self._progress[each].at)
        if exceeds and len(self._incomplete) > 1:
            return next(reversed(self._incomplete))
        return None

    def _exceeds(self) -> bool:
        """Returns whether more is held than may be, apart from one body."""
        maximum = (1 + OVERRUN_SHARE) * self.bound
        taken = self.held + len(self._paused) * self.paused_bytes
        if taken <= maximum:
            return False
        sizes = [each.read for each in self._incomplete.values()]
        return taken - max(sizes, default=0) > maximum


def _keep(kept: dict[Reader, Any], reader: Reader, value: Any, holds: bool):
    if holds:
        kept[reader] = value
    else:
        kept.pop(reader, None)
