"""A ring of hashed names, on which all nodes agree without a message."""

import bisect
from collections import abc

import xxhash


def point(name: str) -> int:
    """Returns the place of a name on the ring."""
    return xxhash.xxh3_64_intdigest(name.encode())


class Ring:
    """Names in the order of their hashes.

    A name that comes or goes changes the successors of its neighbours only.

    Attributes:
        points: sorted hashes.
        names: the names in the same order.
    """

    def __init__(self, *, names: abc.Iterable[str] = ()):
        pairs = sorted((point(name), name) for name in set(names))
        self.points = [each for each, _ in pairs]
        self.names = [name for _, name in pairs]

    def successors(self, place: int, count: int) -> list[str]:
        """Returns the names that follow a place, the nearest first."""
        size = len(self.names)
        first = bisect.bisect_left(self.points, place)
        return [
            self.names[(first + step) % size]
            for step in range(min(count, size))
        ]
