"""Decaying counters of the service that an organisation has received."""

import math

import attrs

from pimentoledge.routing import memory_estimates
from pimentoledge.routing import request_types

# Half-life of the counters. Shorter, and one long prompt makes a small
# organisation exceed its share; longer, and an organisation that has sent much
# pays for it after its excess has ended.
HALF_LIFE_SECONDS = 3.0
DECAY = math.log(2) / HALF_LIFE_SECONDS
# Units that a slot counts as at services without a model. Counters below half a
# unit are deleted and reports are whole numbers; requests of 50 ms hold a slot
# for far less than half of the time.
SLOT_UNITS = 1000


@attrs.frozen(kw_only=True)
class Work:
    """What a request takes of its service.

    Attributes:
        memory: tokens of memory that it occupies while it is open; at services
            without a model SLOT_UNITS, for the slot.
        prefill: unshared tokens of its prompt to prefill.
    """

    memory: int
    prefill: int


def work_of(client_request: request_types.ClientRequest) -> Work:
    """Returns what a request takes of its service."""
    if not client_request.model:
        return Work(memory=SLOT_UNITS, prefill=0)
    return Work(
        memory=memory_estimates.unshared_tokens(client_request),
        prefill=max(0, client_request.unshared_tokens()),
    )


@attrs.frozen(kw_only=True)
class Capacity:
    """What a service's servers can give together.

    Attributes:
        memory: tokens of memory, or units of slots at services without a model.
        prefill: prompt tokens prefilled per second.
    """

    memory: float
    prefill: float


@attrs.define(kw_only=True)
class ShareCounter:
    """The service that one organisation has received of one service.

    Both means are exponentially weighted over past time. Those of other routers
    are as of their last reports.

    Attributes:
        held: tokens of memory of this router's open requests.
        memory: mean of `held`.
        prefill: mean prompt tokens per second that this router sent.
        at: time of these means.
        peer_memory: sum of the mean memory at other routers.
        peer_prefill: sum of the mean prompt tokens per second there.
    """

    held: int = 0
    memory: float = 0.0
    prefill: float = 0.0
    at: float = 0.0
    peer_memory: int = 0
    peer_prefill: int = 0

    def advance(self, now: float) -> None:
        """Brings the means up to a time; earlier times change nothing."""
        if now <= self.at:
            return
        factor = math.exp(-DECAY * (now - self.at))
        self.memory = self.held + (self.memory - self.held) * factor
        self.prefill *= factor
        self.at = now

    def start(self, work: Work, now: float) -> None:
        """Adds a request that was sent to a server."""
        self.advance(now)
        self.held += work.memory
        self.prefill += work.prefill * DECAY

    def end(self, work: Work, now: float) -> None:
        """Removes a request that has ended from the memory held."""
        self.advance(now)
        self.held = max(0, self.held - work.memory)

    def received(self, capacity: Capacity, now: float) -> float:
        """Returns the dominant share: the larger of its shares of capacity."""
        self.advance(now)
        return max(
            (self.memory + self.peer_memory) / capacity.memory,
            (self.prefill + self.peer_prefill) / capacity.prefill,
        )

    def is_negligible(self) -> bool:
        """Returns whether nothing is left that would be reported."""
        return (
            not self.held
            and not self.peer_memory
            and not self.peer_prefill
            and self.memory < 0.5
            and self.prefill < 0.5
        )
