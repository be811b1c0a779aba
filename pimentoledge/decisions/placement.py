"""Where a request runs: the cheapest backend server as this entry sees it.

Every entry decides alone. Entries agree on where a prefix lives because they
rank the servers by the same hash, and each corrects that by what its own
requests found.

The cost is the expected wait and the expected computing, but computing is
charged at more than its time: a token computed again delays everybody behind
it, and evicts another's blocks. With the bare time as cost, spilled requests
make queues longer, which makes more requests spill.
"""

from collections.abc import Sequence
import random

import attrs

from pimentoledge.decisions import declarations
from pimentoledge.decisions import hints
from pimentoledge.decisions import homes
from pimentoledge.decisions import loads
from pimentoledge.nodes import messages

# What a token to compute costs, in times of its prefill. Nobody waits on
# batch work, so it goes where least is computed nearly whatever the queue.
_PRICES = {
    declarations.Priority.INTERACTIVE: 2.0,
    declarations.Priority.BATCH: 8.0,
}
# The price rises by one for so many seconds of mean queue.
_WAIT_PER_PRICE = 0.4
_MAX_PRICE = 16.0
# Share of a prompt for which a home is credited without a hint: other entries
# send the same text there.
_HOME_CREDIT = 0.9
_SPARE_CREDIT = 0.5
# Up to so many servers, all are considered; of more, the homes, those with
# hints and a few at random, so that the time does not grow with the fleet.
_MAX_FULL_SCAN = 32
_RANDOM_CONSIDERED = 2
_INITIAL_SLOT_SECONDS = 1.0
_SLOT_SECONDS_WEIGHT = 0.05
_MAX_PENDING = 20_000


@attrs.define(kw_only=True)
class PlacementRequest:
    """What a request needs.

    Attributes:
        request: request id.
        organisation: whose request it is.
        model: model or service name.
        adapter: adapter name; empty for none.
        weights: weights version; empty for a plain service.
        blocks: digests of the prompt's blocks, from prefixes.chain.
        block_tokens: estimated tokens in one block.
        prompt_tokens: estimated tokens in the prompt.
        priority: declarations.Priority.
        seconds_left: time to the deadline.
        avoid: servers that must not run it.
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
    """A server that was considered.

    Attributes:
        server: its name.
        cost: expected seconds to the first token.
        depth_tokens: prompt tokens expected in its cache.
        wait_seconds: expected queue ahead.
    """

    server: str
    cost: float
    depth_tokens: int
    wait_seconds: float


@attrs.define(kw_only=True)
class Choice:
    """Where a request shall run.

    Attributes:
        server: the server's name; None when there is none.
        incarnation: engine incarnation assumed; empty when not known.
        weights: weights version assumed; empty when not known.
        expected_depth: prompt tokens expected in its cache.
        candidates: what was considered, cheapest first.
        reason: why, in a few words.
    """

    server: str | None
    incarnation: str = ""
    weights: str = ""
    expected_depth: int = 0
    candidates: list[Candidate] = attrs.field(factory=list)
    reason: str = ""


@attrs.define(kw_only=True)
class Pending:
    """A request between its choice and its end.

    Attributes:
        blocks: digests of its prompt's blocks.
        life: engine life that it was sent to; None before.
        sent_at: when.
    """

    blocks: list[bytes]
    life: hints.EngineLife | None = None
    sent_at: float = 0.0


class Placer:
    """Chooses servers and learns from what became of the requests.

    Attributes:
        data_centre: this entry's data centre.
        cross_seconds: added to the cost of a server in another one.
        random: the only source of chance, seeded.
        hints: what is probably cached where.
        loads: load by server name.
        lives: engine life by server name.
        pending: requests under way, by id.
        slot_seconds: how long a request holds a slot, in seconds.
        homes: where prefixes live by the hash.
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
        """Returns where a request shall run.

        Args:
            wanted: what it needs.
            servers: servers declared for its model or service.
            now: the time.
        """
        names = [each.name for each in servers]
        found = self.homes.find(wanted.model, wanted.blocks, names, now)
        ours = {names[each.position]: each for each in found}
        depths = self.hints.depths(wanted.blocks, now)
        considered = self.considered(servers, ours, depths, wanted.model, names)
        usable, reason = self.usable(wanted, considered, servers, now)
        if not usable:
            return Choice(server=None, reason=reason)
        price = self.price(wanted, usable, now)
        candidates = [
            self.candidate(
                wanted, each, depths, ours.get(each.name), price, now
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
        ours: dict[str, homes.Home],
        depths: dict[str, int],
        model: str,
        names: list[str],
    ) -> Sequence[declarations.BackendServer]:
        """Returns the servers that are worth a look."""
        if len(servers) <= _MAX_FULL_SCAN:
            return servers
        positions = self.homes.ranking(model, names).positions
        found = {each.position for each in ours.values()}
        found.update(positions[name] for name in depths if name in positions)
        for _ in range(_RANDOM_CONSIDERED):
            found.add(self.random.randrange(len(servers)))
        return [servers[position] for position in sorted(found)]

    def usable(
        self,
        wanted: PlacementRequest,
        considered: Sequence[declarations.BackendServer],
        servers: Sequence[declarations.BackendServer],
        now: float,
    ) -> tuple[list[declarations.BackendServer], str]:
        """Returns the servers that may be chosen, and the reason."""
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
        # Failures only delay: with no other server left, one that failed
        # a moment ago is tried again, since its agent refuses truthfully.
        return allowed, "last resort" if allowed else "no usable server"

    def is_eligible(
        self, wanted: PlacementRequest, server: declarations.BackendServer
    ) -> bool:
        """Returns whether a server may run a request at all."""
        if server.state != declarations.ServerState.IN:
            return False
        if server.name in wanted.avoid:
            return False
        load = self.loads.get(server.name)
        if load is None or load.truth is None:
            return True
        truth = load.truth
        if truth.leaving or not truth.incarnation:
            return False
        if wanted.weights and truth.weights != wanted.weights:
            return False
        return not wanted.adapter or wanted.adapter in truth.adapters

    def is_past_backoff(self, server: str, now: float) -> bool:
        """Returns whether a server hasn't failed a moment ago."""
        load = self.loads.get(server)
        return load is None or now >= load.retry_at

    def price(
        self,
        wanted: PlacementRequest,
        servers: Sequence[declarations.BackendServer],
        now: float,
    ) -> float:
        """Returns what computing costs, in times of its seconds.

        The longer the queues everywhere, the more requests a token computed
        again delays.
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
        """Returns a server with its cost."""
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
        """Keeps a request's blocks until it is sent and finished."""
        self.pending[wanted.request] = Pending(blocks=wanted.blocks)
        if len(self.pending) > _MAX_PENDING:
            del self.pending[next(iter(self.pending))]

    def sent(self, server: str, request: str, tokens: int, now: float):
        """Counts a dispatch.

        Args:
            server: where it went.
            request: request id.
            tokens: uncached prompt tokens expected.
            now: the time.
        """
        load = self.loads.setdefault(server, loads.EstimatedLoad())
        load.sent(tokens, now)
        pending = self.pending.get(request)
        if pending is None:
            return
        pending.life = self.life(server)
        pending.sent_at = now
        self.hints.add(pending.blocks, pending.life, now)

    def learned(self, truth: messages.Truth, now: float):
        """Takes what an agent says of its server in place of hints."""
        load = self.loads.setdefault(truth.server, loads.EstimatedLoad())
        load.reported(truth, now)
        life = self.life(truth.server)
        same = life.incarnation == truth.incarnation
        if same and life.weights == truth.weights:
            return
        life.ended = True
        self.lives[truth.server] = hints.EngineLife(
            server=truth.server,
            incarnation=truth.incarnation,
            weights=truth.weights,
        )

    def finished(
        self,
        server: str,
        request: str,
        blocks: list[bytes],
        cached_tokens: int,
        now: float,
    ):
        """Learns from a request that ran to its end.

        Args:
            server: where it ran.
            request: request id.
            blocks: digests of its prompt's blocks.
            cached_tokens: prompt tokens that the engine took from its cache.
            now: the time.
        """
        life = self.life(server)
        pending = self.pending.pop(request, None)
        if pending is not None and pending.life is not None:
            taken = now - pending.sent_at
            self.slot_seconds += _SLOT_SECONDS_WEIGHT * (
                taken - self.slot_seconds
            )
            life = pending.life
        if not life.ended:
            self.hints.add(blocks, life, now)

    def failed(self, server: str, now: float):
        """Counts a failure to reach a server or to be served by it."""
        self.loads.setdefault(server, loads.EstimatedLoad()).failed(now)

    def life(self, server: str) -> hints.EngineLife:
        """Returns the engine life that is believed to be current."""
        return self.lives.setdefault(server, hints.EngineLife(server=server))
