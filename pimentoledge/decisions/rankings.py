"""Rendezvous hashing: a ranking of the servers for each key.

Entries that have the same list of servers compute the same ranking without
exchanging messages. Removing a server moves only the keys that ranked it
first, and spreads them over the other servers. To avoid hashing each of
thousands of servers per key, servers are grouped by the hash of their name;
groups are ranked first, weighted by their size.
"""

from collections.abc import Sequence
import math

import attrs
import xxhash

_GROUPS = 32
_RANGE = float(2**64)


@attrs.define(kw_only=True)
class Group:
    """Servers whose name hashes have the same remainder.

    Attributes:
        seed: hash seed of the group.
        members: (hash seed, position) of each server.
    """

    seed: int
    members: list[tuple[int, int]] = attrs.field(factory=list)


class Ranking:
    """Ranks a fixed list of servers.

    Attributes:
        names: the servers' names.
        positions: position in `names` by name.
        groups: the non-empty groups.
    """

    def __init__(self, *, names: Sequence[str]):
        self.names = names
        self.positions = {name: index for index, name in enumerate(names)}
        groups: dict[int, Group] = {}
        for position, name in enumerate(names):
            seed = xxhash.xxh3_64_intdigest(name.encode())
            number = seed % _GROUPS
            group = groups.setdefault(number, Group(seed=number))
            group.members.append((seed, position))
        self.groups = [groups[number] for number in sorted(groups)]

    def first(self, key: bytes, count: int) -> list[int]:
        """Returns the positions of the highest-ranked servers for a key.

        Args:
            key: a digest.
            count: maximum number of servers to return.
        """
        ranked: list[int] = []
        for group in sorted(self.groups, key=lambda each: _score(key, each)):
            members = sorted(
                group.members,
                key=lambda each: xxhash.xxh3_64_intdigest(key, each[0]),
            )
            ranked.extend(position for _, position in members)
            if len(ranked) >= count:
                break
        return ranked[:count]


def _score(key: bytes, group: Group) -> float:
    """Returns the group's score; the lowest score ranks first.

    The score is an exponential variate with the group's size as its rate, so
    that a group ranks first with a probability proportional to its size.
    """
    uniform = xxhash.xxh3_64_intdigest(key, group.seed) + 1
    return -math.log(uniform / _RANGE) / len(group.members)
