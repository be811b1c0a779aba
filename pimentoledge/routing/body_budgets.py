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
# A client that sends nothing of its body for so long reserves no room for it.
STALLED_SECONDS = 0.2


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


@attrs.frozen(kw_only=True)
class Bodies:
    """The bodies of a connection's requests.

    Attributes:
        complete: bytes of bodies that were read completely.
        read: bytes that were read of an incomplete one.
        announced: its whole size, or 0 if it isn't known.
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


class BodyBudget:
    """Counts request bodies, and stops reading what would exceed a bound.

    Incomplete bodies are read on, oldest first, while their rests fit. Complete
    ones are freed as their requests are answered. Without any, waiting would
    free nothing, so the oldest incomplete one is read on: at most one body
    exceeds the bound. Clients that stall hold no others up.

    Attributes:
        bound: number of bytes above which reading stops.
        held: number of bytes held now.
        peak: largest number that was held.
    """

    def __init__(self, *, bound: float):
        self.bound = bound
        self.held = 0
        self.peak = 0
        self._rest = 0
        self._complete: dict[Reader, Bodies] = {}
        self._incomplete: dict[Reader, Bodies] = {}
        self._progress_at: dict[Reader, float] = {}
        self._pauses = False

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
        _keep(self._progress_at, reader, now, bool(bodies.read))
        if self._pauses or self.held + self._rest > self.bound:
            if not bodies.read:
                reader.pause_body(False)
            self._pause_or_resume(now)

    def tick(self, now: float) -> None:
        """Lets others read on in place of clients that have stalled."""
        if self._pauses:
            self._pause_or_resume(now)

    def _pause_or_resume(self, now: float) -> None:
        self._pauses = False
        room = self.bound - self.held
        may_exceed = not self._complete
        for each, bodies in list(self._incomplete.items()):
            if now - self._progress_at[each] > STALLED_SECONDS:
                continue
            reads = not self._pauses and (room >= bodies.rest() or may_exceed)
            may_exceed = False
            room -= bodies.rest()
            self._pauses |= not reads
            if not reads:
                # It is not the client that holds its body back.
                self._progress_at[each] = now
            each.pause_body(not reads)


def _keep(kept: dict[Reader, Any], reader: Reader, value: Any, holds: bool):
    if holds:
        kept[reader] = value
    else:
        kept.pop(reader, None)
