"""The bytes that a process holds for exchanges, and their bound."""

from collections.abc import Callable
import enum
import math

from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import clocks

# Bound of a process that doesn't know its VM's memory, in bytes.
DEFAULT_BYTES = 16_000_000
# Part of the VM's memory that may be held.
MEMORY_SHARE = 0.1
BYTES_PER_MB = 1_000_000
# Part of the bound above which connections don't read ahead.
TIGHT_SHARE = 0.5


def bound_of(memory_mb: float) -> float:
    """Returns the bound of a process in bytes.

    Args:
        memory_mb: memory of its VM in MB, or 0 if unknown.
    """
    return part_of_memory(memory_mb, share=MEMORY_SHARE, default=DEFAULT_BYTES)


def part_of_memory(memory_mb: float, *, share: float, default: float) -> float:
    """Returns a part of the VM's memory in bytes.

    Args:
        memory_mb: memory of the VM in MB, or 0 if unknown.
        share: the part.
        default: number of bytes if the memory is unknown.
    """
    return memory_mb * BYTES_PER_MB * share if memory_mb else default


class Part(enum.Enum):
    """Where bytes of an exchange are held."""

    # Output that the client hasn't read.
    UNSENT = enum.auto()
    # The request, as far as the server hasn't read it.
    REQUEST = enum.auto()
    # Events of the server's connection that the exchange hasn't read.
    QUEUED = enum.auto()
    COLLECTED = enum.auto()
    INCOMPLETE_EVENT = enum.auto()
    # A failure response that is kept in case no further attempt succeeds.
    FAILED_ANSWER = enum.auto()


# Parts that don't belong to the connection to the server.
_KEPT_PARTS = frozenset((Part.UNSENT, Part.FAILED_ANSWER))


class BufferBudget:
    """Counts the bytes held for exchanges, and closes holders above a bound.

    Attributes:
        bound: largest number of bytes.
        held: number of bytes held now.
        peak: largest number that was held.
    """

    def __init__(self, *, bound: float):
        self.bound = bound
        self.held = 0
        self.peak = 0
        self._holders: set[Holder] = set()

    def is_tight(self) -> bool:
        """Returns whether so much is held that nothing may be read ahead."""
        return self.held > self.bound * TIGHT_SHARE

    def changed(self, holder: "Holder", delta: int) -> None:
        """Counts a change of what a holder holds, in bytes."""
        self.held += delta
        if holder.held:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)
        if delta > 0:
            self.peak = max(self.peak, self.held)
            if self.held > self.bound:
                self._relieve()

    def refresh(self) -> None:
        """Updates what clients have read, which no callback reports."""
        for holder in list(self._holders):
            holder.refresh()

    def _relieve(self) -> None:
        """Closes holders until the bound is kept.

        Each exchange may hold COLLECTED_BYTES, so holders of up to this size
        count as equal. Otherwise clients that read nothing would get the ones
        closed whose responses are being collected.
        """
        self.refresh()
        if self.held <= self.bound:
            return
        for holder in sorted(self._holders, key=_closing_order):
            if self.held <= self.bound:
                return
            holder.close()


def _closing_order(holder: "Holder") -> tuple[int, float]:
    units = math.ceil(holder.held / buffer_bounds.COLLECTED_BYTES)
    return -units, holder.progress_at


class Holder:
    """What is held for one client's connection.

    Attributes:
        budget: the budget of the process.
        unsent_bytes: returns the size of the output that the client hasn't
            read.
        close_client: closes the client's connection.
        close_server: closes the connection to the server that has the client's
            request, or None if no server has it.
        held: number of bytes held.
        progress_at: when the client last read something, or when it had
            nothing left to read, in seconds of clocks.now.
    """

    def __init__(
        self,
        *,
        budget: BufferBudget,
        unsent_bytes: Callable[[], int],
        close_client: Callable[[buffer_bounds.Exceeded], None],
    ):
        self.budget = budget
        self.unsent_bytes = unsent_bytes
        self.close_client = close_client
        self.close_server: Callable[[buffer_bounds.Exceeded], None] | None = (
            None
        )
        self.held = 0
        self.progress_at = clocks.now()
        self._sizes = dict.fromkeys(Part, 0)

    def note(self, part: Part, size: int) -> None:
        """Sets how many bytes a part holds."""
        before = self._sizes[part]
        if size == before:
            return
        unsent = self._sizes[Part.UNSENT]
        if not unsent or (part is Part.UNSENT and size < unsent):
            self.progress_at = clocks.now()
        self._sizes[part] = size
        self.held += size - before
        self.budget.changed(self, size - before)

    def refresh(self) -> None:
        """Updates what the client has read."""
        if self._sizes[Part.UNSENT]:
            self.note(Part.UNSENT, self.unsent_bytes())

    def server_ended(self) -> None:
        """Removes all that is held of a server's connection."""
        self.close_server = None
        for part in Part:
            if part not in _KEPT_PARTS:
                self.note(part, 0)

    def close(self) -> None:
        """Closes the client that doesn't read, or else the server."""
        exceeded = buffer_bounds.Exceeded(
            bound=buffer_bounds.Bound.BUFFERS, size=self.held
        )
        if self._sizes[Part.UNSENT] or self.close_server is None:
            # The exchange ends later, and until then others would be closed.
            for part in _KEPT_PARTS:
                self.note(part, 0)
            self.close_client(exceeded)
        else:
            close_server = self.close_server
            self.server_ended()
            close_server(exceeded)
