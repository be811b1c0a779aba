"""Ranks backend servers for a request by cost."""

import collections
from collections.abc import Callable
import random

import attrs
import xxhash

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources
from pimentoledge.routing import capacity_checks
from pimentoledge.routing import memory_estimates
from pimentoledge.routing import request_types
from pimentoledge.routing import wait_estimates

# Penalty for another data centre: traffic between data centres is expensive, so
# a local queue is preferable.
REMOTE_DATA_CENTRE_MS = 120.0
# Penalty for starting on older weights, whose answers are worth less.
OLDER_WEIGHTS_MS = 150.0
# Largest tie-breaker, which keeps requests that share a prompt together when
# the other costs are equal.
TIE_BREAK_MS = 6.0
# Penalty per token of a shared part that a second runner would prefill: the
# repeated work is paid for and costs more than the wait.
DUPLICATE_READ_MS = 0.1
# Penalty per prompt token for each multiple of the fastest runner's event gap
# by which a runner is slower: the chunks of a long prompt lengthen the gaps of
# all streams there. With event gaps 1.3 times those of the others, four chunks
# between two events take 230 to 250 ms.
SLOW_RUNNER_MS = 0.08
# Prompts shorter than a chunk don't lengthen event gaps.
CHUNK_TOKENS = 1024
# Penalty for a server that failed all of its recent requests; scaled by its
# failure rate.
FAILURE_RATE_MS = 400.0
# Share of its longest gap between events that a stream's events take on
# average. A stream's time at a server costs this, divided by the objective for
# that gap: with a near objective, any disruption makes the stream late.
PACED_GAP_SECONDS = 0.1
# Cost of the time by which the chunks of a prompt delay each request that runs
# there, as a share of that time: most of them have time left.
DELAY_SHARE = 0.1
# Cost of a pause as long as its objective, besides what it takes, when events
# and chunks of prompts meet; and the share of the objective that is safe.
PAUSE_SECONDS = 1.0
SAFE_PAUSE = 0.4
# Servers whose cost exceeds the best by at most this share of its expected
# wait are equal: one is drawn, as routers with the same view would all send to
# the best.
EQUAL_SHARE = 0.1
# A server without a new request for this long may be drawn although others are
# better, since its speed is only known from what it serves; and the time by
# which it gets a request.
PROBE_SECONDS = 1.5
PROBE_UNTIL_SECONDS = 2.0
# Servers with a higher failure rate get no request for the sake of their speed.
PROBE_FAILURE_RATE = 0.05
# Share of the requests that go to such a server while the best is idle.
IDLE_PROBE_SHARE = 0.05
# Share of an engine's memory that is assumed to hold cached parts.
CACHED_SHARE = 0.7


@attrs.frozen(kw_only=True)
class Criteria:
    """The inputs of a placement decision besides the servers.

    Attributes:
        data_centre: this router's data centre.
        parts: the shared parts of the prompt.
        unshared: prompt tokens that no other request shares.
        demand: what the request needs of a runner, or None for services
            without a prefill phase.
        model: the requested model, or "".
        newest: newest version of its weights, or None.
        withdrawn_at: returns when requests that have not begun on a version are
            withdrawn, or None.
        cache_group: group of organisations that share cached parts, or "".
        sources: where cached parts of the newest weights can be fetched.
        speeds: speeds estimated from first events.
        local_first: whether servers of this router's data centre are preferred
            to all others regardless of cost.
        members: number of routers.
        events: expected number of events of the response.
        gap_objective: target for the longest gap between events, in seconds,
            or None.
        may_probe: whether the request may go to a server that isn't among the
            best, to observe its speed.
    """

    data_centre: str
    parts: tuple[request_types.Part, ...] = ()
    unshared: int = 0
    demand: capacity_checks.Demand | None = None
    model: str = ""
    newest: int | None = None
    withdrawn_at: Callable[[int | None], float | None] = lambda version: None
    cache_group: str = ""
    sources: cache_sources.Sources = cache_sources.Sources()
    speeds: wait_estimates.Speeds = wait_estimates.Speeds()
    local_first: bool = False
    members: int = 1
    events: float = 0.0
    gap_objective: float | None = None
    may_probe: bool = True


def namespace(version: int, cache_group: str) -> str:
    """Returns the namespace of cached parts.

    Separate namespaces isolate parts of other weights and of other groups of
    organisations, because neither the engine nor the KV cache server checks
    either.
    """
    return f"{version}.{cache_group}" if cache_group else str(version)


def weights_of(backend: backends.Backend, model: str) -> int | None:
    """Returns the version of a model's weights that a server has loaded."""
    return backend.registration.weights.get(model)


@attrs.frozen(kw_only=True)
class ServerCandidate:
    """The cost of placing a request on a server.

    Attributes:
        backend: the server.
        first_seconds: expected time to the first event.
        penalty_ms: other costs, as the equivalent wait in ms.
        shortage: the resource that the server has too little of, or None.
        busy: estimated number of requests at the server.
    """

    backend: backends.Backend
    first_seconds: float
    penalty_ms: float
    shortage: capacity_checks.Shortage | None
    busy: float = 0.0

    @property
    def cost(self) -> float:
        """The expected wait plus the penalties, in ms."""
        return 1000 * self.first_seconds + self.penalty_ms


@attrs.frozen(kw_only=True)
class Choice:
    """The server chosen for a request and the alternatives.

    Attributes:
        candidate: the chosen candidate.
        second_cost: cost of the next best, or None if no other had capacity.
        usable: number of servers that accept new work.
        declared: number of declared servers that were not tried yet.
    """

    candidate: ServerCandidate
    second_cost: float | None
    usable: int
    declared: int

    @property
    def backend(self) -> backends.Backend:
        """The chosen server."""
        return self.candidate.backend


@attrs.frozen(kw_only=True)
class NoCapacity:
    """No server has capacity for the request.

    Attributes:
        shortage: number of usable servers short of each resource.
    """

    shortage: dict[capacity_checks.Shortage, int]


def choose(
    *,
    candidates: list[backends.Backend],
    criteria: Criteria,
    now: float,
) -> Choice | NoCapacity:
    """Returns the cheapest server with capacity, or the shortages if none."""
    usable = [each for each in candidates if each.usable(now)]
    gaps = [each.mean_event_gap for each in usable if each.mean_event_gap]
    min_gap = min(gaps, default=0.0)
    evaluated = [evaluate(each, criteria, now, min_gap) for each in usable]
    free = [each for each in evaluated if each.shortage is None]
    if not free:
        shortages = collections.Counter(each.shortage for each in evaluated)
        return NoCapacity(shortage=dict(shortages))
    free.sort(
        key=lambda each: (
            criteria.local_first and _is_remote(each.backend, criteria),
            each.cost,
        )
    )
    chosen = free[0]
    if criteria.speeds.per_server:
        chosen = _probe(free, criteria, now) or _draw(free, criteria)
    second = free[1] if chosen is free[0] and len(free) > 1 else free[0]
    return Choice(
        candidate=chosen,
        second_cost=None if second is chosen else second.cost,
        usable=len(usable),
        declared=len(candidates),
    )


def _draw(ranked: list[ServerCandidate], criteria: Criteria) -> ServerCandidate:
    """Returns one of the candidates that are about as good as the first."""
    best = ranked[0]
    if criteria.unshared > CHUNK_TOKENS and criteria.parts:
        # Requests that share a long prompt stay together.
        return best
    most = best.cost + EQUAL_SHARE * 1000 * max(0.0, best.first_seconds)
    equal = [
        each
        for each in ranked
        if each.cost <= most
        and (
            not criteria.local_first
            or _is_remote(each.backend, criteria)
            == _is_remote(best.backend, criteria)
        )
    ]
    return random.choice(equal)


def _probe(
    ranked: list[ServerCandidate], criteria: Criteria, now: float
) -> ServerCandidate | None:
    """Returns a server that is due for a request whatever its cost, if any.

    All routers draw for the same server, so that about one of them sends to it
    before the others know. Servers that would fail the request or serve it too
    late are left out.
    """
    if len(ranked) < 2 or not criteria.may_probe:
        return None
    due = [
        each
        for each in ranked[1:]
        if now - each.backend.speed.received_at > PROBE_SECONDS
        and each.backend.decayed_failure_rate(now) < PROBE_FAILURE_RATE
        and (
            criteria.demand is None
            or each.first_seconds <= criteria.demand.objective_seconds
        )
        and not (criteria.local_first and _is_remote(each.backend, criteria))
    ]
    if not due:
        return None
    longest = max(now - each.backend.speed.received_at for each in due)
    left = (PROBE_UNTIL_SECONDS - longest) / (
        PROBE_UNTIL_SECONDS - PROBE_SECONDS
    )
    share = min(1 / max(1, criteria.members), 2 ** -max(0.0, left))
    if not ranked[0].busy:
        share = min(share, IDLE_PROBE_SHARE)
    return random.choice(due) if random.random() < share else None


def _is_remote(backend: backends.Backend, criteria: Criteria) -> bool:
    return backend.registration.data_centre != criteria.data_centre


def evaluate(
    backend: backends.Backend,
    criteria: Criteria,
    now: float,
    min_event_gap: float = 0.0,
) -> ServerCandidate:
    """Returns the cost of placing a request on a server.

    Args:
        backend: the server.
        criteria: the other inputs of the decision.
        now: the time.
        min_event_gap: smallest mean event gap of all usable servers, in
            seconds, or 0 if unknown.
    """
    version = weights_of(backend, criteria.model)
    older = _is_older(version, criteria)
    prompt = _prompt_work(backend, criteria, version, older)
    wait = wait_estimates.expected_wait(backend, prompt, criteria.speeds, now)
    penalty_ms = FAILURE_RATE_MS * backend.decayed_failure_rate(now)
    per_server = criteria.speeds.per_server
    if per_server:
        penalty_ms += _pace_ms(wait, criteria)
        backend.speed.note_requests(wait.busy, now)
    elif (
        criteria.unshared > CHUNK_TOKENS
        and backend.mean_event_gap
        and min_event_gap
    ):
        slowness = backend.mean_event_gap / min_event_gap - 1
        penalty_ms += SLOW_RUNNER_MS * criteria.unshared * slowness
    if _is_remote(backend, criteria):
        penalty_ms += REMOTE_DATA_CENTRE_MS
    if older:
        penalty_ms += OLDER_WEIGHTS_MS
    penalty_ms += DUPLICATE_READ_MS * prompt.duplicate_tokens
    # Chunks of prompts are interleaved, so this prompt delays the waiting ones
    # as long as they delay it.
    penalty_ms += 1000 * wait.reader_seconds
    shortage = None
    if criteria.demand is not None:
        shortage = capacity_checks.shortage(
            backend.registration.slots,
            criteria.demand,
            busy=wait.busy,
            first_seconds=wait.seconds,
            wait_seconds=wait.others_seconds,
            limit=backend.speed.limit(backend.registration.slots, now)
            if per_server
            else None,
            held_tokens=_held_tokens(backend, criteria.demand, wait.busy),
        )
    withdrawn_at = criteria.withdrawn_at(version)
    if withdrawn_at is not None and now + wait.seconds >= withdrawn_at:
        shortage = capacity_checks.Shortage.WEIGHTS
    return ServerCandidate(
        backend=backend,
        first_seconds=wait.seconds,
        penalty_ms=penalty_ms + _tie_break_ms(backend, criteria),
        shortage=shortage,
        busy=wait.busy,
    )


def _held_tokens(
    backend: backends.Backend, demand: capacity_checks.Demand, busy: float
) -> float:
    """Returns the memory in use at a server, in tokens, if it is needed."""
    if demand.tokens is None:
        return 0.0
    return memory_estimates.held_tokens(backend, busy, demand.mean_tokens)


def _pace_ms(wait: wait_estimates.ExpectedWait, criteria: Criteria) -> float:
    """Returns the cost of the pace of streams at a server, in ms.

    A stream costs the time of all its events there and of the chunks that it
    meets, a prompt the delay that its chunks cause to the requests there.
    """
    cost = DELAY_SHARE * wait.read_seconds * wait.busy
    if not criteria.gap_objective or not wait.event_seconds:
        return 1000 * cost
    weight = min(1.0, PACED_GAP_SECONDS / criteria.gap_objective)
    event_seconds = wait.event_seconds + wait.delay_seconds
    cost += weight * (criteria.events * event_seconds + wait.later_seconds)
    chunks = wait.read_seconds + wait.reader_seconds + wait.later_seconds
    pause = (wait.event_seconds + chunks) / criteria.gap_objective
    cost += PAUSE_SECONDS * max(0.0, pause - SAFE_PAUSE) ** 2
    return 1000 * cost


def _is_older(version: int | None, criteria: Criteria) -> bool:
    """Returns whether weights newer than this version are announced."""
    return None not in (version, criteria.newest) and version < criteria.newest


def _prompt_work(
    backend: backends.Backend,
    criteria: Criteria,
    version: int | None,
    older: bool,
) -> wait_estimates.PromptWork:
    """Returns the prefill and fetch work for the prompt at a runner."""
    if not criteria.parts or version is None:
        return wait_estimates.PromptWork(to_read=criteria.unshared)
    cache_namespace = namespace(version, criteria.cache_group)
    cached = backend.cached_tokens(cache_namespace, criteria.parts)
    shared = sum(part.tokens for part in criteria.parts)
    prompt = wait_estimates.prompt_work(
        data_centre=backend.registration.data_centre,
        cached=cached,
        shared=shared,
        unshared=criteria.unshared,
        sources=cache_sources.Sources() if older else criteria.sources,
        speeds=criteria.speeds,
    )
    if older:
        # Parts of older weights are not fetched, so they are prefilled again.
        return attrs.evolve(prompt, duplicate_tokens=shared - cached)
    return prompt


def _tie_break_ms(backend: backends.Backend, criteria: Criteria) -> float:
    """Returns the cost that decides between otherwise equal servers.

    It keeps requests that share a prompt together, and keeps routers with the
    same view from sending all prompts to the same server.
    """
    if not criteria.parts:
        return 0.0
    name = criteria.parts[-1].name + backend.registration.incarnation
    return TIE_BREAK_MS * xxhash.xxh3_64_intdigest(name.encode()) / 2**64
