"""To which other routers a router sends its heartbeats."""

import bisect
import functools
import math

import xxhash

# Up to so many others each is written to. With 23 routers on a calm day
# written to one by one, heartbeats were 12 MB between data centres.
ALL_TO_ALL = 8
CIRCLE = 2**64


@functools.lru_cache(maxsize=4096)
def place(address: str) -> int:
    """Returns where a router stands on the circle that all agree on."""
    return xxhash.xxh3_64_intdigest(address.encode())


def partners(own: str, others: list[str]) -> list[str]:
    """Returns those of the others to write to.

    Each router is linked with the next on a circle and with those half, an
    eighth, a thirty-second of it further on, and with those that are so
    linked with it. So each has some log2(n) links, news that is passed on at
    once reaches all of n routers in about as many steps, and the death of a
    third parts nobody: who lost one link has a handful of others.

    Args:
        own: this router's mailbox.
        others: the mailboxes of routers that are believed to live.
    """
    if len(others) <= ALL_TO_ALL:
        return list(others)
    ring = sorted(others, key=place)
    places = [place(each) for each in ring]
    here = place(own)
    before = places[bisect.bisect_left(places, here) - 1]
    found: set[str] = set()
    for span in _spans(len(others)):
        at = bisect.bisect_left(places, (here + span) % CIRCLE)
        found.add(ring[at % len(ring)])
        found.update(_between(ring, places, before - span, here - span))
    return sorted(found, key=place)


def _spans(count: int) -> list[int]:
    """Returns how far on the circle the linked routers are."""
    return [
        1,
        *(CIRCLE >> n for n in range(1, math.ceil(math.log2(count)) + 1, 2)),
    ]


def _between(
    ring: list[str], places: list[int], after: int, until: int
) -> list[str]:
    """Returns the routers on an arc of the circle, whose end is included."""
    low = bisect.bisect_right(places, after % CIRCLE)
    high = bisect.bisect_right(places, until % CIRCLE)
    if after % CIRCLE <= until % CIRCLE:
        return ring[low:high]
    return ring[low:] + ring[:high]
