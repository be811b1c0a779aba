"""Compares what organisations have received with their shares."""

from collections.abc import Iterable
import enum

import attrs

# Part of all service received by which organisations together exceed the level
# of shares: what those above it yield under scarcity. With a small part only
# the largest would be above its share, and the next largest would take what it
# yields.
EXCESS = 0.15
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


@attrs.frozen(kw_only=True)
class ShareLevel:
    """What organisations are entitled to.

    Attributes:
        share: share of an organisation of weight 1.
        uneven: whether some have clearly more than equal parts, and not only by
            chance.
    """

    share: float = 0.0
    uneven: bool = False


def share_level(received: Iterable[tuple[float, float]]) -> ShareLevel:
    """Returns the level of shares.

    As in max-min division, organisations that use less than an equal part leave
    the rest to the others, so a share is at least the mean. Organisations that
    received more are above their shares.

    Args:
        received: what each organisation received, and its weight.
    """
    ordered = sorted(
        ((amount / weight, weight) for amount, weight in received),
        reverse=True,
    )
    total = sum(amount * weight for amount, weight in ordered)
    if not total:
        return ShareLevel()
    mean = total / sum(weight for _, weight in ordered)
    # The level lies between two organisations; those before it exceed it.
    above = weights = level = 0.0
    for amount, weight in ordered:
        if weights and above - weights * amount >= EXCESS * total:
            break
        above += amount * weight
        weights += weight
        level = (above - EXCESS * total) / weights
    return ShareLevel(
        share=max(level, MEAN_MULTIPLE * mean), uneven=level > mean
    )
