"""Placement: chooses the backend server with the lowest cost for a request.

Each entry decides on its own. Entries agree on the home servers of a prefix
because they rank the servers by the same hash. Each entry refines this with
the results of its own requests.

The cost is the expected queueing time plus the expected prefill time. Prefill
is weighted by more than its duration, because recomputing a token delays all
requests queued behind it and evicts other blocks from the cache. With an
unweighted prefill time, requests that spill to other servers lengthen the
queues, which makes more requests spill.
"""

from collections.abc import Sequence
import random

import attrs

from pimentoledge.decisions import declarations
from pimentoledge.decisions import hints
from pimentoledge.decisions import homes
from pimentoledge.decisions import loads
from pimentoledge.nodes import messages

# Cost of computing a token, as a multiple of its prefill time. Batch requests
# have no user waiting, so they minimize prefill with little regard to queues.
_PRICES = {
    declarations.Priority.INTERACTIVE: 2.0,
    declarations.Priority.BATCH: 8.0,
}
# Mean queueing time, in seconds, that raises the price by one.
_WAIT_PER_PRICE = 0.4
_MAX_PRICE = 16.0
# Share of a prompt that is assumed to be cached at a home server without a
# hint, because other entries send requests with the same prefix there. The
# second value applies to spare homes.
_HOME_CREDIT = 0.9
_SPARE_CREDIT = 0.5
# Up to this many servers, all are considered. In a larger fleet only the
# homes, the servers with hints and a few random ones are, so that the time of
# a decision does not grow with the fleet.
_MAX_FULL_SCAN = 32
_RANDOM_CONSIDERED = 2
_INITIAL_SLOT_SECONDS = 1.0
_SLOT_SECONDS_WEIGHT = 0.05
_MAX_PENDING = 20_000


@attrs.define(kw_only=True)
class PlacementRequest:
    """The inputs to the placement of one request.

    Attributes:
        request: request id.
        organisation: organisation that sent the request.
        model: model or service name.
        adapter: adapter name; empty for none.
        weights: weights version; empty for a plain service.
        blocks: digests of the prompt's blocks, from prefixes.chain.
        block_tokens: estimated tokens in one block.
        prompt_tokens: estimated tokens in the prompt.
        priority: declarations.Priority.
        seconds_left: seconds until the deadline.
        avoid: names of servers that must not be chosen.
    """

    request: str
    organisation: str
    model: str
    adapter: str = ""
    weights: str = ""
    blocks: list[bytes] = attrs.field(factory=list)
    block_tokens: int = 64
    prompt_tokens: int = 0
    priority: str = declarations.Priority.INTERACTIVE
    seconds_left: float = 60.0
    avoid: frozenset[str] = frozenset()


@attrs.define(kw_only=True)
class Candidate:
    """A server that was considered, with its cost.

    Attributes:
        server: server name.
        cost: expected seconds to the first token, with prefill weighted by
            the price.
        depth_tokens: prompt tokens expected in its prefix cache.
        wait_seconds: expected queueing time.
    """

    server: str
    cost: float
    depth_tokens: int
    wait_seconds: float


@attrs.define(kw_only=True)
class Choice:
    """The result of a placement.

    Attributes:
        server: name of the chosen server; None if no server is usable.
        incarnation: assumed engine incarnation; empty if unknown.
        weights: assumed weights version; empty if unknown.
        expected_depth: prompt tokens expected in the server's prefix cache.
        candidates: servers that were considered, cheapest first.
        reason: short explanation for the log.
    """

    server: str | None
    incarnation: str = ""
    weights: str = ""
    expected_depth: int = 0
    candidates: list[Candidate] = attrs.field(factory=list)
    reason: str = ""


@attrs.define(kw_only=True)
class Pending:
    """A request between its placement and its end.

    Attributes:
        blocks: digests of its prompt's blocks.
        life: engine life that it was sent to; None before the dispatch.
        sent_at: time of the dispatch.
    """

    blocks: list[bytes]
    life: hints.EngineLife | None = None
    sent_at: float = 0.0


class Placer:
    """Chooses servers and updates its estimates from request outcomes.

    Attributes:
        data_centre: this entry's data centre.
        cross_seconds: cost in seconds that is added for a server in another
            data centre.
        random: seeded random generator.
        hints: prompt blocks that servers probably have cached.
        loads: estimated load by server name.
        lives: current engine life by server name.
        pending: requests placed but not finished, by id.
        slot_seconds: moving average of the seconds that a request occupies a
            slot.
        homes: home servers of prefixes.
    """

    def __init__(
        self,
        *,
        seed: int,
        data_centre: str,
        hint_limit: int = 20_000,
        hint_seconds: float = 20.0,
        holders: int = 8,
        cross_seconds: float = 0.001,
    ):
        self.data_centre = data_centre
        self.cross_seconds = cross_seconds
        self.random = random.Random(seed)
        self.hints = hints.Hints(
            limit=hint_limit, seconds=hint_seconds, holders=holders
        )
        self.loads: dict[str, loads.EstimatedLoad] = {}
        self.lives: dict[str, hints.EngineLife] = {}
        self.pending: dict[str, Pending] = {}
        self.slot_seconds = _INITIAL_SLOT_SECONDS
        self.homes = homes.Homes()

    def choose(
        self,
        wanted: PlacementRequest,
        servers: Sequence[declarations.BackendServer],
        now: float,
    ) -> Choice:
        """Chooses the server for a request.

        Args:
            wanted: the request's requirements.
            servers: servers declared for its model or service.
            now: current time.
        """
        names = [each.name for each in servers]
        prompt_homes = self.homes.find(wanted.model, wanted.blocks, names, now)
        homes_by_name = {names[each.position]: each for each in prompt_homes}
        depths = self.hints.depths(wanted.blocks, now)
        considered = self.considered(
            servers, homes_by_name, depths, wanted.model, names
        )
        usable, reason = self.usable(wanted, considered, servers, now)
        if not usable:
            return Choice(server=None, reason=reason)
        price = self.price(wanted, usable, now)
        candidates = [
            self.candidate(
                wanted, each, depths, homes_by_name.get(each.name), price, now
            )
            for each in usable
        ]
        candidates.sort(key=lambda each: each.cost)
        best = candidates[0]
        self.add_pending(wanted)
        self.homes.add(wanted.model, wanted.blocks, now)
        life = self.life(best.server)
        return Choice(
            server=best.server,
            incarnation=life.incarnation,
            weights=life.weights,
            expected_depth=best.depth_tokens,
            candidates=candidates,
            reason=reason,
        )

    def considered(
        self,
        servers: Sequence[declarations.BackendServer],
        homes_by_name: dict[str, homes.Home],
        depths: dict[str, int],
        model: str,
        names: list[str],
    ) -> Sequence[declarations.BackendServer]:
        """Returns the servers for which a cost is computed."""
        if len(servers) <= _MAX_FULL_SCAN:
            return servers
        positions = self.homes.ranking(model, names).positions
        selected = {each.position for each in homes_by_name.values()}
        selected.update(positions[name] for name in depths if name in positions)
        for _ in range(_RANDOM_CONSIDERED):
            selected.add(self.random.randrange(len(servers)))
        return [servers[position] for position in sorted(selected)]

    def usable(
        self,
        wanted: PlacementRequest,
        considered: Sequence[declarations.BackendServer],
        servers: Sequence[declarations.BackendServer],
        now: float,
    ) -> tuple[list[declarations.BackendServer], str]:
        """Returns the servers to choose from, and the reason for the log."""
        allowed = [
            each for each in considered if self.is_eligible(wanted, each)
        ]
        usable = [
            each for each in allowed if self.is_past_backoff(each.name, now)
        ]
        if usable:
            return usable, "cheapest"
        if len(considered) < len(servers):
            return self.usable(wanted, servers, servers, now)
        # Backoff only lowers a server's preference. If no other server is
        # left, a recently failed one is tried again; its agent refuses the
        # request if the server still can't run it.
        return allowed, "last resort" if allowed else "no usable server"

    def is_eligible(
        self, wanted: PlacementRequest, server: declarations.BackendServer
    ) -> bool:
        """Returns whether a server may run a request, regardless of load."""
        if server.state != declarations.ServerState.IN:
            return False
        if server.name in wanted.avoid:
            return False
        load = self.loads.get(server.name)
        if load is None or load.status is None:
            return True
        status = load.status
        if status.leaving or not status.incarnation:
            return False
        if wanted.weights and status.weights != wanted.weights:
            return False
        return not wanted.adapter or wanted.adapter in status.adapters

    def is_past_backoff(self, server: str, now: float) -> bool:
        """Returns whether a server's backoff after failures has ended."""
        load = self.loads.get(server)
        return load is None or now >= load.retry_at

    def price(
        self,
        wanted: PlacementRequest,
        servers: Sequence[declarations.BackendServer],
        now: float,
    ) -> float:
        """Returns the cost of prefill as a multiple of its duration.

        It grows with the mean queueing time of the servers, because a
        recomputed token delays more requests when all queues are long.
        """
        waits = [
            self.loads[each.name].wait_seconds(now, self.slot_seconds)
            for each in servers
            if each.name in self.loads
        ]
        mean = sum(waits) / len(waits) if waits else 0.0
        price = _PRICES.get(wanted.priority, 1.0)
        return min(_MAX_PRICE, price + mean / _WAIT_PER_PRICE)

    def candidate(
        self,
        wanted: PlacementRequest,
        server: declarations.BackendServer,
        depths: dict[str, int],
        home: homes.Home | None,
        price: float,
        now: float,
    ) -> Candidate:
        """Computes the cost of running a request on a server."""
        load = self.loads.get(server.name) or loads.EstimatedLoad()
        depth = depths.get(server.name, 0)
        credit = float(depth)
        if home is not None:
            share = _HOME_CREDIT if home.first else _SPARE_CREDIT
            credit = max(credit, share * len(wanted.blocks))
        left = wanted.prompt_tokens - credit * wanted.block_tokens
        wait = load.wait_seconds(now, self.slot_seconds)
        cost = wait + max(0.0, left) * load.token_seconds() * price
        if server.data_centre != self.data_centre:
            cost += self.cross_seconds
        return Candidate(
            server=server.name,
            cost=cost,
            depth_tokens=min(depth * wanted.block_tokens, wanted.prompt_tokens),
            wait_seconds=wait,
        )

    def add_pending(self, wanted: PlacementRequest):
        """Stores a request's blocks until it is finished.

        The oldest request is dropped if there are too many.
        """
        self.pending[wanted.request] = Pending(blocks=wanted.blocks)
        if len(self.pending) > _MAX_PENDING:
            del self.pending[next(iter(self.pending))]

    def sent(self, server: str, request: str, tokens: int, now: float):
        """Records a dispatch and adds hints for its prompt.

        Args:
            server: server it was sent to.
            request: request id.
            tokens: expected number of uncached prompt tokens.
            now: current time.
        """
        load = self.loads.setdefault(server, loads.EstimatedLoad())
        load.sent(tokens, now)
        pending = self.pending.get(request)
        if pending is None:
            return
        pending.life = self.life(server)
        pending.sent_at = now
        self.hints.add(pending.blocks, pending.life, now)

    def record_status(self, status: messages.ServerStatus, now: float):
        """Updates a server's load and engine life from its agent's report.

        A new incarnation or weights version invalidates the server's hints.
        """
        load = self.loads.setdefault(status.server, loads.EstimatedLoad())
        load.record_status(status, now)
        life = self.life(status.server)
        same = life.incarnation == status.incarnation
        if same and life.weights == status.weights:
            return
        life.ended = True
        self.lives[status.server] = hints.EngineLife(
            server=status.server,
            incarnation=status.incarnation,
            weights=status.weights,
        )

    def finished(
        self,
        server: str,
        request: str,
        blocks: list[bytes],
        cached_tokens: int,
        now: float,
    ):
        """Records a request that ran to its end.

        Updates the average slot time and the hints.

        Args:
            server: server it ran on.
            request: request id.
            blocks: digests of its prompt's blocks.
            cached_tokens: prompt tokens that the engine took from its cache.
            now: current time.
        """
        life = self.life(server)
        pending = self.pending.pop(request, None)
        if pending is not None and pending.life is not None:
            elapsed = now - pending.sent_at
            self.slot_seconds += _SLOT_SECONDS_WEIGHT * (
                elapsed - self.slot_seconds
            )
            life = pending.life
        if not life.ended:
            self.hints.add(blocks, life, now)

    def failed(self, server: str, now: float):
        """Records a failed attempt, which starts or extends the backoff."""
        self.loads.setdefault(server, loads.EstimatedLoad()).failed(now)

    def life(self, server: str) -> hints.EngineLife:
        """Returns the newest known engine life of a server."""
        return self.lives.setdefault(server, hints.EngineLife(server=server))
