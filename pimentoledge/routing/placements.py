"""Which server a request is sent to."""

import collections

import attrs
import xxhash

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources
from pimentoledge.routing import capacity_checks
from pimentoledge.routing import request_types
from pimentoledge.routing import wait_estimates

# Another data centre: its bytes are dear, so it is worth a queue.
REMOTE_DATA_CENTRE_MS = 120.0
# Requests that begin on older weights lose a part of their worth.
OLDER_WEIGHTS_MS = 150.0
# Keeps requests that share a prompt together when all else is alike.
TIE_BREAK_MS = 6.0
# A token of a shared part that is read by a second runner: it is paid for, and
# weighs more than the wait.
DUPLICATE_READ_MS = 0.1
# A long prompt read at a runner that is slower by its own measure again: its
# chunks stretch the pauses of all streams there. At 1.3 times the pace of the
# others, four chunks between two events take 230 to 250 ms.
SLOW_RUNNER_MS = 0.08
# Prompts shorter than a chunk don't stretch pauses.
CHUNK_TOKENS = 1024
# A server that failed all of its last requests, by their share.
FAILURE_RATE_MS = 400.0
# Part of an engine's memory that is believed to stay cached.
CACHED_SHARE = 0.7


@attrs.frozen(kw_only=True)
class Criteria:
    """What a choice takes into account besides the servers.

    Attributes:
        data_centre: this router's.
        parts: the shared parts of the prompt.
        unshared: tokens that no other request shares.
        demand: what the request needs of a runner, or None where requests are
            not read before they begin.
        model: the model asked for, or "".
        newest: newest version of its weights, or None.
        isolated_by: organisation that shares no cached part, or "".
        sources: what can be fetched, under the newest weights.
        speeds: what first events have shown.
        local_first: whether servers of the own data centre go before all
            others.
    """

    data_centre: str
    parts: tuple[request_types.Part, ...] = ()
    unshared: int = 0
    demand: capacity_checks.Demand | None = None
    model: str = ""
    newest: int | None = None
    isolated_by: str = ""
    sources: cache_sources.Sources = cache_sources.Sources()
    speeds: wait_estimates.Speeds = wait_estimates.Speeds()
    local_first: bool = False


def namespace(version: int, isolated_by: str) -> str:
    """Returns the namespace of cached parts.

    Parts made under other weights, or for an organisation that shares none,
    must never be found: neither the engine nor the KV cache server checks.
    """
    return f"{version}.{isolated_by}" if isolated_by else str(version)


def weights_of(backend: backends.Backend, model: str) -> int | None:
    """Returns the version of a model's weights that a server has."""
    return backend.registration.weights.get(model)


@attrs.frozen(kw_only=True)
class ServerCandidate:
    """What a server offers a request.

    Attributes:
        backend: the server.
        first_seconds: expected time to the first event.
        penalty_ms: what else is lost there, as a wait that would be worth it.
        shortage: what it has too little of, or None.
    """

    backend: backends.Backend
    first_seconds: float
    penalty_ms: float
    shortage: capacity_checks.Shortage | None

    @property
    def cost(self) -> float:
        """The expected wait, in ms, with what it loses."""
        return 1000 * self.first_seconds + self.penalty_ms


@attrs.frozen(kw_only=True)
class Choice:
    """The server chosen for a request, and against what.

    Attributes:
        candidate: the server's.
        second_cost: cost of the next best, or None if no other had room.
        usable: how many could have been chosen.
        declared: how many were declared and not yet tried.
    """

    candidate: ServerCandidate
    second_cost: float | None
    usable: int
    declared: int

    @property
    def backend(self) -> backends.Backend:
        """The server."""
        return self.candidate.backend


@attrs.frozen(kw_only=True)
class NoCapacity:
    """That no server should get a request now.

    Attributes:
        shortage: what usable servers have too little of, with how many lack it.
    """

    shortage: dict[capacity_checks.Shortage, int]


def choose(
    *,
    candidates: list[backends.Backend],
    terms: Criteria,
    now: float,
) -> Choice | NoCapacity:
    """Returns the server with room that costs least, if any."""
    usable = [each for each in candidates if each.usable(now)]
    paces = [each.mean_event_gap for each in usable if each.mean_event_gap]
    best = min(paces, default=0.0)
    offers = [evaluate(each, terms, now, best) for each in usable]
    free = [each for each in offers if each.shortage is None]
    if not free:
        lacks = collections.Counter(each.shortage for each in offers)
        return NoCapacity(shortage=dict(lacks))
    free.sort(
        key=lambda each: (
            terms.local_first and _is_elsewhere(each.backend, terms),
            each.cost,
        )
    )
    return Choice(
        candidate=free[0],
        second_cost=free[1].cost if len(free) > 1 else None,
        usable=len(usable),
        declared=len(candidates),
    )


def _is_elsewhere(backend: backends.Backend, terms: Criteria) -> bool:
    return backend.registration.data_centre != terms.data_centre


def evaluate(
    backend: backends.Backend,
    terms: Criteria,
    now: float,
    best_pace: float = 0.0,
) -> ServerCandidate:
    """Returns what a server offers a request.

    Args:
        backend: the server.
        terms: what else counts.
        now: the time.
        best_pace: least pace of all that could be chosen, or 0.
    """
    version = weights_of(backend, terms.model)
    older = _is_older(version, terms)
    prompt = _prompt_work(backend, terms, version, older)
    first = wait_estimates.expected_wait(backend, prompt, terms.speeds, now)
    losses = FAILURE_RATE_MS * backend.decayed_failure_rate(now)
    if terms.unshared > CHUNK_TOKENS and backend.mean_event_gap and best_pace:
        slower = backend.mean_event_gap / best_pace - 1
        losses += SLOW_RUNNER_MS * terms.unshared * slower
    if _is_elsewhere(backend, terms):
        losses += REMOTE_DATA_CENTRE_MS
    if older:
        losses += OLDER_WEIGHTS_MS
    losses += DUPLICATE_READ_MS * prompt.duplicate_tokens
    # What waits there waits as long for this one as this one for it.
    losses += 1000 * first.reader_seconds
    lacks = None
    if terms.demand is not None:
        lacks = capacity_checks.shortage(
            backend.registration.slots,
            terms.demand,
            busy=first.busy,
            first_seconds=first.seconds,
            wait_seconds=first.others_seconds,
        )
    return ServerCandidate(
        backend=backend,
        first_seconds=first.seconds,
        penalty_ms=losses + _tie_break_ms(backend, terms),
        shortage=lacks,
    )


def _is_older(version: int | None, terms: Criteria) -> bool:
    """Returns whether newer weights than these are named."""
    return None not in (version, terms.newest) and version < terms.newest


def _prompt_work(
    backend: backends.Backend,
    terms: Criteria,
    version: int | None,
    older: bool,
) -> wait_estimates.PromptWork:
    """Returns what a runner has to do for the prompt."""
    if not terms.parts or version is None:
        return wait_estimates.PromptWork(to_read=terms.unshared)
    found = namespace(version, terms.isolated_by)
    held = backend.cached_tokens(found, terms.parts)
    shared = sum(part.tokens for part in terms.parts)
    prompt = wait_estimates.prompt_work(
        data_centre=backend.registration.data_centre,
        held=held,
        shared=shared,
        unshared=terms.unshared,
        sources=cache_sources.Sources() if older else terms.sources,
        speeds=terms.speeds,
    )
    if older:
        # Nothing of older weights is fetched, so it would be read again.
        return attrs.evolve(prompt, duplicate_tokens=shared - held)
    return prompt


def _tie_break_ms(backend: backends.Backend, terms: Criteria) -> float:
    """Returns what decides where all else is alike.

    Requests that share a prompt stay together, and routers that see the same
    don't all choose the same.
    """
    if not terms.parts:
        return 0.0
    name = terms.parts[-1].name + backend.registration.incarnation
    return TIE_BREAK_MS * xxhash.xxh3_64_intdigest(name.encode()) / 2**64
