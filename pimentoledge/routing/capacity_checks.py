"""Whether a runner should get one more request."""

import enum

import attrs

# Part of a runner's slots that less urgent requests may fill. What reads long
# prompts slows all answers of its runner: with every slot open to them, short
# answers take ten times as long, keep their slots, and nothing ends in time.
# With a quarter of 60 runners dark and more asked than the rest can read, this
# and the bound on time brought the short answers in time from 37 to 84 of 100,
# and prompts of 9,000 tokens from 37 to 53 (played once each).
LESS_URGENT_SLOTS = 0.7
# The same for the most urgent.
URGENT_SLOTS = 1.0
# Part of a runner's memory that the requests it has may take. Beyond it
# cached parts yield to what runs, so each prompt is read whole, takes longer,
# and more pile up: the congestion then outlasts its cause.
MEMORY_SHARE = 0.9
# The same for the most urgent requests, so that the others are refused first.
URGENT_MEMORY_SHARE = 1.5
# A first event that is expected later than so many times its objective is not
# worth what it takes from others. Where more come than can be read, as many
# are let in as make the wait as long as this: beyond 1 all would be late.
MAX_WAIT_OBJECTIVES = 1.0
# But a wait for others of so many times the objective is borne: a prompt that
# takes longer to read than its objective would else be shut out everywhere,
# and where reading was guessed too slow, nothing would show it.
TOLERATED_QUEUE_OBJECTIVES = 0.3


class Shortage(enum.StrEnum):
    """What a runner has too little of for one more request."""

    SLOTS = "slots"
    MEMORY = "memory"
    TIME = "time"


@attrs.frozen(kw_only=True)
class Demand:
    """What a request needs of a runner.

    Attributes:
        urgent: whether its route is among the most urgent.
        mean_tokens: what the requests that a runner has hold, in the mean.
        memory: tokens of a runner's memory, or None if that isn't known.
        objective_seconds: time within which its first event is worth most.
    """

    urgent: bool
    mean_tokens: float
    memory: int | None
    objective_seconds: float


def shortage(
    slots: int,
    need: Demand,
    *,
    busy: float,
    first_seconds: float,
    wait_seconds: float,
) -> Shortage | None:
    """Returns what a runner lacks for one more request, or None.

    A runner without requests lacks nothing: else a long prompt would be shut
    out everywhere.

    Args:
        slots: the runner's.
        need: what the request needs.
        busy: requests that the runner has.
        first_seconds: its expected time to the first event there.
        wait_seconds: for how long of that it would wait for others.
    """
    if not busy:
        return None
    part = URGENT_SLOTS if need.urgent else LESS_URGENT_SLOTS
    if busy + 1 > part * slots:
        return Shortage.SLOTS
    share = URGENT_MEMORY_SHARE if need.urgent else MEMORY_SHARE
    held = (busy + 1) * need.mean_tokens
    if need.memory is not None and held > share * need.memory:
        return Shortage.MEMORY
    late = first_seconds > MAX_WAIT_OBJECTIVES * need.objective_seconds
    if (
        late
        and wait_seconds > TOLERATED_QUEUE_OBJECTIVES * need.objective_seconds
    ):
        return Shortage.TIME
    return None
