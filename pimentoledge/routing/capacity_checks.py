"""Checks whether a runner has capacity for one more request."""

import enum

import attrs

# Share of a runner's slots that less urgent requests may use. Prefilling long
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
        mean_tokens: mean memory use of a runner's requests, in tokens.
        memory: size of a runner's memory in tokens, or None if unknown.
        objective_seconds: target time to the first event.
    """

    urgent: bool
    mean_tokens: float
    memory: int | None
    objective_seconds: float


def shortage(
    slots: int,
    demand: Demand,
    *,
    busy: float,
    first_seconds: float,
    wait_seconds: float,
    limit: float | None = None,
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
        limit: number of requests that the runner takes well, or None if it is
            estimated as a share of its slots.
    """
    if not busy:
        return None
    slot_share = URGENT_SLOTS if demand.urgent else LESS_URGENT_SLOTS
    if busy + 1 > (slot_share * slots if limit is None else limit):
        return Shortage.SLOTS
    memory_share = URGENT_MEMORY_SHARE if demand.urgent else MEMORY_SHARE
    used = (busy + 1) * demand.mean_tokens
    if demand.memory is not None and used > memory_share * demand.memory:
        return Shortage.MEMORY
    late = first_seconds > MAX_WAIT_OBJECTIVES * demand.objective_seconds
    if (
        late
        and wait_seconds > TOLERATED_QUEUE_OBJECTIVES * demand.objective_seconds
    ):
        return Shortage.TIME
    return None
