"""How much of a service's slots and memory is in use, as far as known."""

import random

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import memory_estimates

# Capacity is scarce when more than this part of what may be used is in use:
# below, servers with room are found for all.
SCARCE_SHARE = 0.8
# Servers that are counted, drawn at random in larger services.
MAX_SERVERS = 100


@attrs.frozen(kw_only=True)
class ServiceUsage:
    """The use of those of a service's servers that accept work.

    Attributes:
        slots: their slots.
        limit: requests that they take well, at most their slots.
        busy: estimated requests there.
        memory: tokens of their memory, or 0 if unknown.
        held: estimated tokens of memory in use.
        mean_tokens: mean memory of the requests whose tokens are known.
        servers: number of servers that accept work, also those not counted.
    """

    slots: int = 0
    limit: float = 0.0
    busy: float = 0.0
    memory: int = 0
    held: float = 0.0
    mean_tokens: float = 0.0
    servers: int = 0

    def is_scarce(self, slot_share: float, memory_share: float) -> bool:
        """Returns whether most of what a request may use is in use.

        Args:
            slot_share: part of the limit of requests that it may use.
            memory_share: part of the memory that it may use.
        """
        return self.exceeds(SCARCE_SHARE, slot_share, memory_share)

    def exceeds(
        self, part: float, slot_share: float, memory_share: float
    ) -> bool:
        """Returns whether more than a part of what a request may use is in use.

        Args:
            part: the part.
            slot_share: part of the limit of requests that it may use.
            memory_share: part of the memory that it may use.
        """
        return (
            self.busy > part * slot_share * self.limit > 0
            or self.held > part * memory_share * self.memory > 0
        )


def measure(
    servers: list[backends.Backend],
    *,
    memory: int | None,
    mean_tokens: float,
    now: float,
) -> ServiceUsage:
    """Returns the use of a service's servers.

    Args:
        servers: all servers of the service.
        memory: memory of each in tokens, or None if unknown.
        mean_tokens: moving mean of the memory of this router's requests, for
            services where no request is open.
        now: the time.
    """
    usable = [each for each in servers if each.usable(now)]
    servers = len(usable)
    if servers > MAX_SERVERS:
        usable = random.sample(usable, MAX_SERVERS)
    known = sum(map(memory_estimates.known_requests, usable))
    known_tokens = sum(map(memory_estimates.known_tokens, usable))
    # The mean over open requests: that over arrivals counts short requests
    # too much, since they don't stay.
    mean = known_tokens / known if known else mean_tokens
    busy = [each.estimated_requests(now) for each in usable]
    return ServiceUsage(
        slots=sum(each.registration.slots for each in usable),
        limit=sum(
            each.speed.limit(each.registration.slots, now) for each in usable
        ),
        busy=sum(busy),
        memory=(memory or 0) * len(usable),
        held=sum(
            memory_estimates.held_tokens(each, requests, mean)
            for each, requests in zip(usable, busy, strict=True)
        ),
        mean_tokens=mean,
        servers=servers,
    )
