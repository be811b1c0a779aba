"""To which other routers a router sends its heartbeats."""

import bisect
import functools
import math

import xxhash

# Up to so many others, each is written to. With 23 routers on a calm day each
# written to by all, heartbeats were some 10 MB between data centres.
ALL_TO_ALL = 8
RING_SIZE = 2**64
# Links to those beside a router, to each side.
ADJACENT_LINKS = 2


@functools.lru_cache(maxsize=4096)
def ring_position(address: str) -> int:
    """Returns where a router stands on the circle that all agree on."""
    return xxhash.xxh3_64_intdigest(address.encode())


def partners(
    own: str, data_centre: str, others: dict[str, str]
) -> tuple[list[str], list[str]]:
    """Returns those of the others to write to.

    Within a data centre each router is linked with the next two on a circle
    and with those half, an eighth, a thirty-second of it further on, and with
    those that are so linked with it. So each has some log2(n) links, news that
    is passed on at once reaches all of n routers in about as many steps, and
    the death of a third parts nobody: who lost one link has a handful of
    others. Bytes between data centres are dear, so a router has about one link
    to each other data centre.

    Args:
        own: this router's mailbox.
        data_centre: where it is.
        others: the data centres of routers that are believed to live, by
            mailbox.

    Returns:
        those of the own data centre, and those of others.
    """
    places: dict[str, list[str]] = {}
    for address, where in others.items():
        places.setdefault(where, []).append(address)
    near = places.pop(data_centre, [])
    if len(others) <= ALL_TO_ALL:
        return near, [each for each in others if each not in near]
    far = set()
    for where, there in places.items():
        if where > data_centre:
            far.add(_next(own, there))
        else:
            far.update(_before(own, near, there))
    return _near(own, near), sorted(far, key=ring_position)


def _next(address: str, ring: list[str]) -> str:
    """Returns the router of a ring that comes next on the circle."""
    after = [
        each for each in ring if ring_position(each) > ring_position(address)
    ]
    return min(after or ring, key=ring_position)


def _before(own: str, beside: list[str], others: list[str]) -> list[str]:
    """Returns those of another ring that have this router next in its own.

    Args:
        own: this router.
        beside: the others of its ring.
        others: the other ring.
    """
    if not beside:
        return list(others)
    here = ring_position(own)
    before = [
        ring_position(each) for each in beside if ring_position(each) < here
    ]
    ring = sorted(others, key=ring_position)
    places = [ring_position(each) for each in ring]
    last = max(before or map(ring_position, beside))
    return _between(ring, places, last, here)


def _near(own: str, others: list[str]) -> list[str]:
    """Returns those of the own data centre to write to."""
    if len(others) <= ALL_TO_ALL:
        return list(others)
    ring = sorted(others, key=ring_position)
    places = [ring_position(each) for each in ring]
    here = ring_position(own)
    index = bisect.bisect_left(places, here)
    before = places[index - 1]
    found = {
        ring[(index + offset) % len(ring)]
        for offset in range(-ADJACENT_LINKS, ADJACENT_LINKS)
    }
    for span in _spans(len(others)):
        at = bisect.bisect_left(places, (here + span) % RING_SIZE)
        found.add(ring[at % len(ring)])
        found.update(_between(ring, places, before - span, here - span))
    return sorted(found, key=ring_position)


def _spans(count: int) -> list[int]:
    """Returns how far on the circle the linked routers are."""
    return [
        RING_SIZE >> n for n in range(1, math.ceil(math.log2(count)) + 1, 2)
    ]


def _between(
    ring: list[str], places: list[int], after: int, until: int
) -> list[str]:
    """Returns the routers on an arc of the circle, whose end is included."""
    low = bisect.bisect_right(places, after % RING_SIZE)
    high = bisect.bisect_right(places, until % RING_SIZE)
    if after % RING_SIZE <= until % RING_SIZE:
        return ring[low:high]
    return ring[low:] + ring[:high]
