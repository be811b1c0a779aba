"""The request heads that a process holds, and their bound."""

from typing import Protocol

import attrs

from pimentoledge.routing import buffer_budgets

# Bound of a process that doesn't know its VM's memory, in bytes.
DEFAULT_BYTES = 16_000_000
# Part of the VM's memory that heads may take.
MEMORY_SHARE = 0.1
# Part of the bound that is held at most after clients were refused, so that not
# every further head needs a search for the largest.
RELIEVED_SHARE = 0.9


def bound_of(memory_mb: float) -> float:
    """Returns the bound of a process in bytes.

    Args:
        memory_mb: memory of its VM in MB, or 0 if unknown.
    """
    return buffer_budgets.part_of_memory(
        memory_mb, share=MEMORY_SHARE, default=DEFAULT_BYTES
    )


class Reader(Protocol):
    """A connection that reads requests."""

    def refuse_heads(self) -> None:
        """Refuses the requests that aren't in progress, and notes the rest."""


@attrs.frozen(kw_only=True)
class Heads:
    """What a connection holds of requests beside their bodies.

    Attributes:
        served: bytes that belong to the request in progress.
        unserved: bytes of incomplete and waiting requests, and bytes that
            weren't parsed yet.
    """

    served: int = 0
    unserved: int = 0

    def held(self) -> int:
        """Returns the number of bytes held."""
        return self.served + self.unserved


class HeadBudget:
    """Counts the memory of request heads, and refuses the largest if full.

    Attributes:
        bound: largest number of bytes.
        held: number of bytes held now.
        peak: largest number that was held.
    """

    def __init__(self, *, bound: float):
        self.bound = bound
        self.held = 0
        self.peak = 0
        self._heads: dict[Reader, Heads] = {}
        self._relieving = False

    def note(self, reader: Reader, heads: Heads) -> None:
        """Sets what a connection holds."""
        before = self._heads.pop(reader, None)
        if before is not None:
            self.held -= before.held()
        if heads.held():
            self._heads[reader] = heads
            self.held += heads.held()
        self.peak = max(self.peak, self.held)
        if self.held > self.bound and not self._relieving:
            self._relieve()

    def is_full(self) -> bool:
        """Returns whether no further request may begin."""
        return self.held > self.bound

    def _relieve(self) -> None:
        """Refuses unserved requests, largest first."""
        self._relieving = True
        try:
            for reader in sorted(self._heads, key=self._unserved, reverse=True):
                if (
                    self.held <= RELIEVED_SHARE * self.bound
                    or not self._unserved(reader)
                ):
                    return
                reader.refuse_heads()
        finally:
            self._relieving = False

    def _unserved(self, reader: Reader) -> int:
        heads = self._heads.get(reader)
        return heads.unserved if heads is not None else 0
