"""Compares what organisations have received with their shares."""

from collections.abc import Iterable
import enum

# Part of all service received by which organisations together exceed the level
# of shares. With none, only the largest organisation would be above its share
# and the next largest would take what that one yields.
EXCESS = 0.02
# Lowest level of shares, as a multiple of the mean: counters of organisations
# that send the same differ by chance.
MEAN_MULTIPLE = 1.05


class Standing(enum.StrEnum):
    """How an organisation's service compares with its share.

    Attributes:
        BELOW: it has received at most its share.
        ABOVE: it has received more, and others that are below theirs want
            capacity.
        ALONE: no other organisation that is below its share wants capacity.
    """

    BELOW = "below"
    ABOVE = "above"
    ALONE = "alone"


def share_level(received: Iterable[tuple[float, float]]) -> float:
    """Returns the share of an organisation of weight 1.

    It is what max-min division leaves: organisations that use less than an
    equal part leave the rest to the others, so it is at least the mean.
    Organisations that received more are above their shares.

    Args:
        received: what each organisation received, and its weight.
    """
    ordered = sorted(
        ((amount / weight, weight) for amount, weight in received),
        reverse=True,
    )
    total = sum(amount * weight for amount, weight in ordered)
    all_weights = sum(weight for _, weight in ordered)
    if not total:
        return 0.0
    # The level lies between two organisations; those before it exceed it.
    above = weights = level = 0.0
    for amount, weight in ordered:
        if weights and above - weights * amount >= EXCESS * total:
            break
        above += amount * weight
        weights += weight
        level = (above - EXCESS * total) / weights
    return max(level, MEAN_MULTIPLE * total / all_weights)
