"""Choice of the routers to which a router sends its heartbeats."""

import bisect
import functools
import math

import xxhash

# With up to this many others, a router sends to all of them. When 23 routers
# all sent to each other, heartbeats alone took some 10 MB between data centres
# on a quiet day.
ALL_TO_ALL = 8
RING_SIZE = 2**64
# Number of adjacent routers on the ring to link with, in each direction.
ADJACENT_LINKS = 2


@functools.lru_cache(maxsize=4096)
def ring_position(address: str) -> int:
    """Returns a router's position on the hash ring, the same everywhere."""
    return xxhash.xxh3_64_intdigest(address.encode())


def partners(
    own: str, data_centre: str, others: dict[str, str]
) -> tuple[list[str], list[str]]:
    """Returns the routers to which a router sends messages.

    Within a data centre each router is linked with the next two on a hash ring
    in each direction, with those half, an eighth, a thirty-second of the ring
    further on, and with those that are so linked with it. So each has some
    log2(n) links, and changes that are forwarded at once reach all of n
    routers in about as many steps. The loss of a third of the routers
    partitions none of the rest, since each has several other links. Traffic
    between data centres is expensive, so a router has about one link to each
    other data centre.

    Args:
        own: this router's mailbox.
        data_centre: this router's data centre.
        others: data centres of the other members, by mailbox.

    Returns:
        the partners in the own data centre, and those in others.
    """
    by_data_centre: dict[str, list[str]] = {}
    for address, where in others.items():
        by_data_centre.setdefault(where, []).append(address)
    near = by_data_centre.pop(data_centre, [])
    if len(others) <= ALL_TO_ALL:
        return near, [each for each in others if each not in near]
    far = set()
    for where, ring in by_data_centre.items():
        if where > data_centre:
            far.add(_successor(own, ring))
        else:
            far.update(_predecessors(own, near, ring))
    return _near(own, near), sorted(far, key=ring_position)


def _successor(address: str, ring: list[str]) -> str:
    """Returns the first router of a ring after an address's position."""
    after = [
        each for each in ring if ring_position(each) > ring_position(address)
    ]
    return min(after or ring, key=ring_position)


def _predecessors(own: str, peers: list[str], others: list[str]) -> list[str]:
    """Returns the routers of another ring whose successor is this router.

    Args:
        own: this router.
        peers: the other routers of its ring.
        others: the routers of the other ring.
    """
    if not peers:
        return list(others)
    here = ring_position(own)
    before = [
        ring_position(each) for each in peers if ring_position(each) < here
    ]
    ring = sorted(others, key=ring_position)
    positions = [ring_position(each) for each in ring]
    last = max(before or map(ring_position, peers))
    return _between(ring, positions, last, here)


def _near(own: str, others: list[str]) -> list[str]:
    """Returns the partners within the own data centre."""
    if len(others) <= ALL_TO_ALL:
        return list(others)
    ring = sorted(others, key=ring_position)
    positions = [ring_position(each) for each in ring]
    here = ring_position(own)
    index = bisect.bisect_left(positions, here)
    before = positions[index - 1]
    links = {
        ring[(index + offset) % len(ring)]
        for offset in range(-ADJACENT_LINKS, ADJACENT_LINKS)
    }
    for span in _spans(len(others)):
        at = bisect.bisect_left(positions, (here + span) % RING_SIZE)
        links.add(ring[at % len(ring)])
        links.update(_between(ring, positions, before - span, here - span))
    return sorted(links, key=ring_position)


def _spans(count: int) -> list[int]:
    """Returns the distances on the ring to the linked routers."""
    return [
        RING_SIZE >> n for n in range(1, math.ceil(math.log2(count)) + 1, 2)
    ]


def _between(
    ring: list[str], positions: list[int], after: int, until: int
) -> list[str]:
    """Returns the routers on an arc of the ring; only its end is included."""
    low = bisect.bisect_right(positions, after % RING_SIZE)
    high = bisect.bisect_right(positions, until % RING_SIZE)
    if after % RING_SIZE <= until % RING_SIZE:
        return ring[low:high]
    return ring[low:] + ring[:high]
