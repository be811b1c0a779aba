"""Checks whether a runner has capacity for one more request."""

import enum

import attrs

from pimentoledge.routing.fair_shares import standings

# Share of a runner's slots, or of the requests that it takes well, that less
# urgent requests may use. Prefilling long
# prompts slows all responses of a runner: with every slot open to them, short
# responses take ten times as long, occupy their slots, and nothing ends in
# time. With a quarter of 60 runners unreachable and more load than the rest can
# prefill, this and MAX_WAIT_OBJECTIVES raise the short responses in time from
# 37 to 84 of 100, and those of prompts of 9,000 tokens from 37 to 53.
LESS_URGENT_SLOTS = 0.7
# The same for the most urgent.
URGENT_SLOTS = 1.0
# Share of a runner's memory that its requests may use. Beyond it cached parts
# are evicted for running requests, so each prompt is prefilled in full, takes
# longer, and requests pile up: the congestion then outlasts its cause.
MEMORY_SHARE = 0.9
# The same for the most urgent requests, so that the others are refused first.
URGENT_MEMORY_SHARE = 1.5
# Longest expected time to the first event, as a multiple of its objective.
# Under overload, requests are admitted until the wait reaches this limit, so
# with a value over 1 all of them would be late.
MAX_WAIT_OBJECTIVES = 1.0
# A wait for other requests of up to this multiple of the objective is always
# accepted. Otherwise a prompt whose own prefill exceeds its objective would be
# refused everywhere, and an underestimated prefill speed would never be
# corrected because no request would be sent.
TOLERATED_QUEUE_OBJECTIVES = 0.3
# Under scarcity, least part of what others may use that an organisation above
# its share may use. The rest stays free for those below theirs: they ask for
# less than a seventh of what the others have, so it is enough for them.
ABOVE_SHARE = 0.85
# Under scarcity, part of the slots of the most urgent that other requests of an
# organisation below its share may use, while others have more than theirs:
# more than the most urgent requests of those above may use, so that a flood of
# these doesn't displace it. It doesn't raise MEMORY_SHARE: memory in use beyond
# that makes congestion outlast its cause.
PREFERRED_SHARE = 0.92
# How much longer than others a starved request may wait. A wait beyond the
# objective is worth less than one in time and more than a refusal.
STARVED_WAIT = 2.0


class Shortage(enum.StrEnum):
    """The resource that a runner lacks for one more request."""

    SLOTS = "slots"
    MEMORY = "memory"
    TIME = "time"
    # Its weights would be too old before the request begins.
    WEIGHTS = "weights"


@attrs.frozen(kw_only=True)
class Demand:
    """What a request needs of a runner.

    Attributes:
        urgent: whether its route is among the most urgent.
        mean_tokens: mean memory use of a runner's requests, in tokens; with
            `tokens`, of those whose memory no router has reported.
        memory: size of a runner's memory in tokens, or None if unknown.
        objective_seconds: target time to the first event.
        tokens: memory that the request uses, in tokens; None without load
            control, where `mean_tokens` stands for it.
        standing: how its organisation's service compares with its share, or
            None without load control.
        scarce: whether most of what such a request may use is in use.
        preferred: whether capacity is scarce, its organisation below its
            share, and others have more than theirs.
        starved: whether its kind or organisation is hardly ever served.
        above_share: if its organisation is above its share, the part that it
            may use under scarcity of what others may use.
    """

    urgent: bool
    mean_tokens: float
    memory: int | None
    objective_seconds: float
    tokens: int | None = None
    standing: standings.Standing | None = None
    scarce: bool = False
    preferred: bool = False
    starved: bool = False
    above_share: float = ABOVE_SHARE

    def shares(self) -> tuple[float, float]:
        """Returns the shares of slots and of memory that it may use.

        A starved request competes with the most urgent ones.
        """
        limit = self.share_factor()
        if self.urgent or self.starved:
            return limit * URGENT_SLOTS, limit * URGENT_MEMORY_SHARE
        if self.preferred:
            return PREFERRED_SHARE * URGENT_SLOTS, MEMORY_SHARE
        return limit * LESS_URGENT_SLOTS, limit * MEMORY_SHARE

    def wait_factor(self) -> float:
        """Returns by how much its longest accepted wait is changed."""
        return self.share_factor() * (STARVED_WAIT if self.starved else 1.0)

    def share_factor(self) -> float:
        """Returns the part that it may use of what others may use."""
        above = self.standing is standings.Standing.ABOVE
        return self.above_share if above and self.scarce else 1.0


def shortage(
    slots: int,
    demand: Demand,
    *,
    busy: float,
    first_seconds: float,
    wait_seconds: float,
    limit: float | None = None,
    held_tokens: float = 0.0,
) -> Shortage | None:
    """Returns the resource that a runner lacks for one more request, or None.

    An idle runner always has capacity: otherwise a long prompt would be refused
    everywhere.

    Args:
        slots: number of the runner's slots.
        demand: what the request needs.
        busy: number of requests at the runner.
        first_seconds: expected time to the first event there.
        wait_seconds: the share of that time spent waiting for other requests.
        limit: number of requests that the runner takes well, which replaces
            its slots; None if it is not estimated.
        held_tokens: memory in use at the runner, in tokens; used with load
            control.
    """
    if not busy:
        return None
    slot_share, memory_share = demand.shares()
    if busy + 1 > slot_share * (slots if limit is None else limit):
        return Shortage.SLOTS
    if demand.tokens is None:
        used = (busy + 1) * demand.mean_tokens
    else:
        used = held_tokens + demand.tokens
    if demand.memory is not None and used > memory_share * demand.memory:
        return Shortage.MEMORY
    objective = demand.wait_factor() * demand.objective_seconds
    late = first_seconds > MAX_WAIT_OBJECTIVES * objective
    if late and wait_seconds > TOLERATED_QUEUE_OBJECTIVES * objective:
        return Shortage.TIME
    return None
