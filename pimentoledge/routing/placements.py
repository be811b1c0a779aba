"""Which server a request is sent to."""

import attrs
import xxhash

from pimentoledge.routing import asks
from pimentoledge.routing import backends

# Time to read a token, and to fetch one that another server or the KV cache
# server holds: read off the engines' figures on the users' pages.
READ_MS = 0.031
FETCH_MS = 0.006
# Added wait for each request that a server has while it has free slots, at a
# server of ten slots; a larger batch shares its step among more.
SHARED_STEP_MS = 1.5
SHARED_STEP_SLOTS = 10
# For each request beyond its slots, at a server of eight; more slots are free
# sooner.
QUEUE_MS = 60.0
QUEUE_SLOTS = 8
# Another data centre: its bytes are dear, so it is worth a queue.
ELSEWHERE_MS = 120.0
# Requests that begin on older weights lose a part of their worth.
OLDER_WEIGHTS_MS = 150.0
# Keeps requests that share a prompt together when all else is alike.
HOME_MS = 6.0
# A token of a shared part that is read by a second runner: it is paid for, and
# weighs more than the wait.
READ_TWICE_MS = 0.1
# A long prompt read at a runner that is slower by its own measure again: its
# chunks stretch the pauses of all streams there. At 1.3 times the pace of the
# others, four chunks between two events take 230 to 250 ms.
SLOWNESS_MS = 0.08
# Prompts shorter than a chunk don't stretch pauses.
CHUNK_TOKENS = 1024
# A server that failed all of its last requests, by their share.
TROUBLE_MS = 400.0
# Part of an engine's memory that is believed to stay cached.
KEPT_SHARE = 0.7


@attrs.frozen(kw_only=True)
class Terms:
    """What a choice takes into account besides the servers.

    Attributes:
        data_centre: this router's.
        parts: the shared parts of the prompt.
        unshared: tokens that no other request shares.
        held: tokens that the request will hold.
        cache_tokens: an engine's memory, or None.
        model: the model asked for, or "".
        newest: newest version of its weights, or None.
        isolated_by: organisation that shares no cached part, or "".
        fetches: whether parts can be fetched.
        queued_ms: expected wait for each request that has not begun; 0 where
            requests are not read before they begin.
        home: incarnation of the runner that is to read a part that is not
            kept anywhere yet, or None.
        home_tokens: tokens of that part.
    """

    data_centre: str
    parts: tuple[asks.Part, ...] = ()
    unshared: int = 0
    held: int = 0
    cache_tokens: int | None = None
    model: str = ""
    newest: int | None = None
    isolated_by: str = ""
    fetches: bool = False
    queued_ms: float = 0.0
    home: str | None = None
    home_tokens: int = 0


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
class Choice:
    """The server chosen for a request, and against what.

    Attributes:
        backend: the server.
        cost: its expected wait, in ms.
        second: that of the next best, or None if no other was usable.
        usable: how many could have been chosen.
        declared: how many were declared and not yet tried.
    """

    backend: backends.Backend
    cost: float
    second: float | None
    usable: int
    declared: int


def choose(
    *,
    candidates: list[backends.Backend],
    terms: Terms,
    now: float,
) -> Choice | None:
    """Returns the server with the least expected wait, or None."""
    usable = [each for each in candidates if each.usable(now)]
    if not usable:
        return None
    paces = [each.pace for each in usable if each.pace]
    best = min(paces, default=0.0)
    costs = [cost(each, terms, now, best) for each in usable]
    least, *others = sorted(costs)
    return Choice(
        backend=usable[costs.index(least)],
        cost=least,
        second=others[0] if others else None,
        usable=len(usable),
        declared=len(candidates),
    )


def cost(
    backend: backends.Backend,
    terms: Terms,
    now: float,
    best_pace: float = 0.0,
) -> float:
    """Returns the expected wait at a server, in ms, with what it loses.

    Args:
        backend: the server.
        terms: what else counts.
        now: the time.
        best_pace: least pace of all that could be chosen, or 0.
    """
    total = _load_cost(backend, terms) + TROUBLE_MS * backend.trouble_by(now)
    if terms.unshared > CHUNK_TOKENS and backend.pace and best_pace:
        slower = backend.pace / best_pace - 1
        total += SLOWNESS_MS * terms.unshared * slower
    if backend.registration.data_centre != terms.data_centre:
        total += ELSEWHERE_MS
    version = weights_of(backend, terms.model)
    if _is_older(version, terms):
        total += OLDER_WEIGHTS_MS
    if terms.home not in (None, backend.registration.incarnation):
        total += READ_TWICE_MS * terms.home_tokens
    return total + _prompt_cost(backend, terms, version)


def _is_older(version: int | None, terms: Terms) -> bool:
    """Returns whether newer weights than these are named."""
    return None not in (version, terms.newest) and version < terms.newest


def _load_cost(backend: backends.Backend, terms: Terms) -> float:
    slots = max(1, backend.registration.slots)
    busy = backend.busyness()
    shared = SHARED_STEP_SLOTS / max(SHARED_STEP_SLOTS, slots)
    total = SHARED_STEP_MS * min(busy, slots) * shared
    total += QUEUE_MS * max(0, busy + 1 - slots) * QUEUE_SLOTS / slots
    total += READ_MS * backend.unread()
    # An engine says how many wait, and that counts most: a fit over 3,611 first
    # events gives 42 ms for each of those and 0.7 ms for one that runs.
    total += terms.queued_ms * backend.queued()
    if terms.cache_tokens:
        over = backend.held + terms.held - KEPT_SHARE * terms.cache_tokens
        total += READ_MS * max(0.0, over)
    return total


def _prompt_cost(
    backend: backends.Backend, terms: Terms, version: int | None
) -> float:
    if not terms.parts or version is None:
        return 0.0
    found = namespace(version, terms.isolated_by)
    cached = backend.cached_tokens(found, terms.parts)
    missing = sum(part.tokens for part in terms.parts) - cached
    each = FETCH_MS if terms.fetches else READ_MS
    if _is_older(version, terms):
        # Nothing of older weights is fetched, so it would be read again.
        each = READ_TWICE_MS
    name = terms.parts[-1].name + backend.registration.incarnation
    home = xxhash.xxh3_64_intdigest(name.encode()) / 2**64
    return each * missing + READ_MS * terms.unshared + HOME_MS * home
