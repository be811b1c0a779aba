"""A consistent hash ring, the same on all nodes without any messages."""

import bisect
from collections import abc

import xxhash


def point(name: str) -> int:
    """Returns the position of a name on the ring."""
    return xxhash.xxh3_64_intdigest(name.encode())


class Ring:
    """Names sorted by their hashes.

    Adding or removing a name changes only the successors of nearby positions.

    Attributes:
        points: sorted hashes.
        names: names in the order of `points`.
    """

    def __init__(self, *, names: abc.Iterable[str] = ()):
        pairs = sorted((point(name), name) for name in set(names))
        self.points = [each for each, _ in pairs]
        self.names = [name for _, name in pairs]

    def successors(self, position: int, count: int) -> list[str]:
        """Returns up to `count` names after a position, nearest first."""
        size = len(self.names)
        first = bisect.bisect_left(self.points, position)
        return [
            self.names[(first + step) % size]
            for step in range(min(count, size))
        ]
