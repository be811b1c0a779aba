"""The number of connections that a listener keeps open.

Clients may open connections up to the limit of descriptors. Then the router
could reach neither servers nor the store.
"""

import math
from typing import Protocol

from pimentoledge import descriptors
from pimentoledge.routing import buffer_budgets

# Part of the process's descriptors that connections of clients may take.
# Each of them may need a further one to a server.
CLIENT_SHARE = 0.45
# Part of the VM's memory that connections may take, of about so many bytes
# each: idle ones take some 6 KB, with a small request in progress some 24 KB.
MEMORY_SHARE = 0.2
CONNECTION_BYTES = 24_000
# The same for each of the pages for the balancer and for metrics.
PAGE_SHARE = 0.05
MIN_PAGE_CONNECTIONS = 8
MAX_PAGE_CONNECTIONS = 64


def descriptors_of(maximum: float) -> int:
    """Returns how many descriptors the process may open.

    Args:
        maximum: the setting, or 0 for what the system allows.
    """
    allowed = descriptors.allowed()
    return min(allowed, int(maximum)) if maximum else allowed


def client_connections_of(available: int, memory_mb: float) -> int:
    """Returns how many connections of clients may be open.

    Args:
        available: number of descriptors that the process may open.
        memory_mb: memory of its VM in MB, or 0 if unknown.
    """
    memory = buffer_budgets.part_of_memory(
        memory_mb, share=MEMORY_SHARE, default=math.inf
    )
    most = min(CLIENT_SHARE * available, memory / CONNECTION_BYTES)
    return max(1, int(most))


def page_connections_of(available: int) -> int:
    """Returns how many connections of one page may be open."""
    share = int(PAGE_SHARE * available)
    return min(max(share, MIN_PAGE_CONNECTIONS), MAX_PAGE_CONNECTIONS)


class Connection(Protocol):
    """An open connection.

    Attributes:
        served: whether a complete response was sent on it.
        idle_since: when it was opened or last became idle, in seconds.
    """

    served: bool
    idle_since: float

    def is_busy(self) -> bool:
        """Returns whether a request is in progress."""

    def abort(self) -> None:
        """Ends the connection at once."""


class ConnectionSlots:
    """Counts open connections, and ends idle ones in favour of new ones.

    Attributes:
        maximum: number of connections that may be open.
        connections: the open connections.
        ended: number of connections ended for others.
    """

    def __init__(self, *, maximum: int = MIN_PAGE_CONNECTIONS):
        self.maximum = maximum
        self.connections: set[Connection] = set()
        self.ended = 0

    def is_full(self, pending: int) -> bool:
        """Returns whether no further connection may be opened.

        Args:
            pending: connections that are accepted and not counted yet.
        """
        return len(self.connections) + pending >= self.maximum

    def make_room(self) -> bool:
        """Ends the connection that misses it least; returns whether one could.

        Connections on which no request was served go first, of these the one
        that was idle for the longest time.
        """
        idle = [each for each in self.connections if not each.is_busy()]
        if not idle:
            return False
        victim = min(idle, key=lambda each: (each.served, each.idle_since))
        self.connections.discard(victim)
        self.ended += 1
        victim.abort()
        return True
