"""Baseline placement policies to compare the real placer with.

They get the same load reports, corrected by what their entry has sent since.
Only the oracles read the state of the engines.
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
_POINTS_PER_SERVER = 64


class Baseline(placement.Placer):
    """A policy that keeps the placer's state but chooses the server itself."""

    def choose(
        self,
        wanted: placement.PlacementRequest,
        servers: Sequence[declarations.BackendServer],
        now: float,
    ) -> placement.Choice:
        """Chooses the server for a request."""
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
        """Returns the estimated number of requests at a server."""
        load = self.loads.get(name)
        if load is None or load.status is None:
            return 0
        return load.status.running + load.status.queued + len(load.uncovered)


class Random(Baseline):
    """Chooses a server at random."""

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""
        return self.random.choice(names)


class LeastLoaded(Baseline):
    """Chooses the shortest expected wait, then the fewest requests."""

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""

        def key(name: str) -> tuple[float, int, float]:
            load = self.loads.get(name)
            wait = load.wait_seconds(now, self.slot_seconds) if load else 0.0
            return (wait, self.outstanding(name), self.random.random())

        return min(names, key=key)


def _ring_position(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


class Hash(Baseline):
    """Consistent hashing of the prompt's first tokens.

    Attributes:
        tokens: number of prompt tokens that are hashed.
    """

    tokens = _LONG_TOKENS

    def ring_order(
        self, wanted: placement.PlacementRequest, names: list[str]
    ) -> list[str]:
        """Returns the names in ring order, starting at the prompt's key."""
        points = sorted(
            (_ring_position(f"{name} {number}".encode()), name)
            for name in names
            for number in range(_POINTS_PER_SERVER)
        )
        depth = max(1, self.tokens // workloads.BLOCK_TOKENS)
        key = b"".join(wanted.blocks[:depth][-1:])
        start = bisect.bisect(points, (_ring_position(key), ""))
        order = points[start:] + points[:start]
        return list(dict.fromkeys(name for _, name in order))

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""
        return self.ring_order(wanted, names)[0]


class HashShort(Hash):
    """Consistent hashing of only the first level of shared prefixes."""

    tokens = _SHORT_TOKENS


class BoundedHash(Hash):
    """Consistent hashing with bounded loads.

    If a server would exceed _LOAD_FACTOR times the mean load, the request goes
    to the next one on the ring.
    """

    def pick(
        self, wanted: placement.PlacementRequest, names: list[str], now: float
    ) -> str:
        """Returns one of the names."""
        loads = {name: self.outstanding(name) for name in names}
        mean = (sum(loads.values()) + 1) / len(names)
        order = self.ring_order(wanted, names)
        for name in order:
            if loads[name] + 1 <= max(1.0, _LOAD_FACTOR * mean):
                return name
        return min(order, key=lambda name: loads[name])


class BoundedHashShort(BoundedHash):
    """Bounded-load hashing of only the first level of shared prefixes."""

    tokens = _SHORT_TOKENS


class Oracle(Baseline):
    """Chooses the cheapest server from the current caches and queues.

    Attributes:
        agents: the agents by name, set by placement_runs.
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
            uncached_tokens = (
                wanted.prompt_tokens - cached + agent.left_tokens()
            )
            excess_jobs = len(agent.jobs) - pool.slots + 1
            slot_wait = max(0, excess_jobs) * self.slot_seconds / pool.slots
            return (
                max(uncached_tokens * pool.token_seconds, slot_wait),
                len(name),
            )

        return min(names, key=cost)


class DeepestOracle(Oracle):
    """Chooses the longest cached prefix, then the least loaded server."""

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
