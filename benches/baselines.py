"""Placement policies that the real one is compared with.

They see the same load reports, corrected by what their entry sent since; the
oracles alone look into the engines.
"""

import bisect
from collections.abc import Sequence
import hashlib

from benches import workloads
from pimentoledge.decisions import declarations
from pimentoledge.decisions import placement

_SHORT_TOKENS = 512
_LONG_TOKENS = 4096
_LOAD_FACTOR = 1.25
_POINTS = 64


class Baseline(placement.Placer):
    """A policy with the placer's bookkeeping and a choice of its own."""

    def choose(
        self,
        wanted: placement.PlacementRequest,
        servers: Sequence[declarations.BackendServer],
        now: float,
    ) -> placement.Choice:
        """Returns where a request shall run."""
        allowed = [each for each in servers if self.is_eligible(wanted, each)]
        usable = [
            each for each in allowed if self.is_past_backoff(each.name, now)
        ]
        names = [each.name for each in usable or allowed]
        if not names:
            return placement.Choice(server=None, reason="no usable server")
        self.add_pending(wanted)
        name = self.pick(wanted, names, now)
        return placement.Choice(
            server=name, incarnation=self.life(name).incarnation
        )

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""
        raise NotImplementedError

    def outstanding(self, name: str) -> int:
        """Returns requests believed to be at a server."""
        load = self.loads.get(name)
        if load is None or load.status is None:
            return 0
        return load.status.running + load.status.queued + len(load.uncovered)


class Random(Baseline):
    """Any server."""

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""
        return self.random.choice(names)


class LeastLoaded(Baseline):
    """The server with the shortest expected wait, then fewest requests."""

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""

        def key(name: str) -> tuple[float, int, float]:
            load = self.loads.get(name)
            wait = load.wait_seconds(now, self.slot_seconds) if load else 0.0
            return (wait, self.outstanding(name), self.random.random())

        return min(names, key=key)


def _point(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


class Hash(Baseline):
    """Consistent hashing of the prompt's first tokens.

    Attributes:
        tokens: how many tokens are hashed.
    """

    tokens = _LONG_TOKENS

    def ring(
        self, wanted: placement.PlacementRequest, names: list[str]
    ) -> list[str]:
        """Returns the names in the order of the ring from the key on."""
        points = sorted(
            (_point(f"{name} {number}".encode()), name)
            for name in names
            for number in range(_POINTS)
        )
        depth = max(1, self.tokens // workloads.BLOCK_TOKENS)
        key = b"".join(wanted.blocks[:depth][-1:])
        start = bisect.bisect(points, (_point(key), ""))
        order = points[start:] + points[:start]
        return list(dict.fromkeys(name for _, name in order))

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""
        return self.ring(wanted, names)[0]


class HashShort(Hash):
    """Hashing of so few tokens that only the first level counts."""

    tokens = _SHORT_TOKENS


class BoundedHash(Hash):
    """Consistent hashing with bounded loads.

    A server with more than _LOAD_FACTOR times the mean load passes its
    request on to the next one on the ring.
    """

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""
        loads = {name: self.outstanding(name) for name in names}
        mean = (sum(loads.values()) + 1) / len(names)
        order = self.ring(wanted, names)
        for name in order:
            if loads[name] + 1 <= max(1.0, _LOAD_FACTOR * mean):
                return name
        return min(order, key=lambda name: loads[name])


class BoundedHashShort(BoundedHash):
    """Bounded-load hashing of the first level only."""

    tokens = _SHORT_TOKENS


class Oracle(Baseline):
    """The cheapest server, with every cache and queue known at once.

    Attributes:
        agents: the agents by name, set by the bench.
    """

    agents: dict = {}

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""

        def cost(name: str) -> tuple[float, float]:
            agent = self.agents[name]
            pool = agent.engine.pool
            cached = agent.engine.depth(wanted.blocks) * wanted.block_tokens
            left = wanted.prompt_tokens - cached + agent.left_tokens()
            over = len(agent.jobs) - pool.slots + 1
            slot = max(0, over) * self.slot_seconds / pool.slots
            return (max(left * pool.token_seconds, slot), len(name))

        return min(names, key=cost)


class DeepestOracle(Oracle):
    """The server that holds most of the prompt, then the least loaded."""

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""

        def key(name: str) -> tuple[int, int]:
            agent = self.agents[name]
            depth = agent.engine.depth(wanted.blocks)
            return (-depth, agent.left_tokens())

        return min(names, key=key)


POLICIES = {
    "placer": placement.Placer,
    "random": Random,
    "least-loaded": LeastLoaded,
    "hash-short": HashShort,
    "hash-long": Hash,
    "bounded-short": BoundedHashShort,
    "bounded-long": BoundedHash,
    "oracle": Oracle,
    "oracle-deepest": DeepestOracle,
}
ORACLES = ("oracle", "oracle-deepest")
