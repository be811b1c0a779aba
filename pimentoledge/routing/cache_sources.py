"""Where cached parts can be fetched from, and how long that takes."""

import math

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import configurations
from pimentoledge.routing import request_types

# After another router sent a prompt to a runner, until its parts can be fetched
# from there: the time to the first event of a prompt of 9,000 tokens behind
# one as long. Asked for sooner, they would be missed and read again.
READY_SECONDS = 0.6
# Between data centres a transfer takes so many times as long (users' pages).
REMOTE_TRANSFER_FACTOR = 2.0
# For how long a transfer counts into how busy a link is of late.
LINK_WINDOW_SECONDS = 2.0
# Where the configuration doesn't tell a link's speed or a token's memory: as
# on the engines of the users' first pages.
DEFAULT_LINK_BYTES = 340e9 / 8
DEFAULT_TOKEN_BYTES = 131072


@attrs.frozen(kw_only=True)
class CacheSource:
    """A server that keeps the first parts of a prompt.

    Attributes:
        address: of it.
        data_centre: where it is.
        tokens: how much of the prompt it keeps.
    """

    address: str
    data_centre: str
    tokens: int


class Links:
    """How busy the links of KV cache servers are with what is saved.

    Attributes:
        carried: seconds of transfers of late, by address, and as of when.
    """

    def __init__(self):
        self.carried: dict[str, tuple[float, float]] = {}

    def note_transfer(self, address: str, seconds: float, now: float) -> None:
        """Takes a transfer that was asked for."""
        self.carried[address] = (
            self._decayed_seconds(address, now) + seconds,
            now,
        )

    def busy_share(self, address: str, now: float) -> float:
        """Returns which part of the last seconds a link was busy.

        Over 1, what it was asked to carry piles up.
        """
        return self._decayed_seconds(address, now) / LINK_WINDOW_SECONDS

    def _decayed_seconds(self, address: str, now: float) -> float:
        seconds, when = self.carried.get(address, (0.0, now))
        return seconds * math.exp(-max(0.0, now - when) / LINK_WINDOW_SECONDS)


def transfer_seconds(
    tokens: int,
    *,
    service: configurations.Service | None,
    link_bytes: float | None,
    apart: bool,
) -> float:
    """Returns how long a transfer of cached parts takes, but for queues.

    Args:
        tokens: of the parts.
        service: the runners' service.
        link_bytes: bytes in a second of the link at the other end, or None.
        apart: whether the ends are in two data centres.
    """
    size = (service and service.token_bytes) or DEFAULT_TOKEN_BYTES
    own = (service and service.link_bytes) or DEFAULT_LINK_BYTES
    seconds = tokens * size / min(own, link_bytes or own)
    return seconds * REMOTE_TRANSFER_FACTOR if apart else seconds


@attrs.frozen(kw_only=True)
class Sources:
    """What can be fetched of a prompt.

    Attributes:
        best: the servers to fetch from: of each data centre that with most.
        pending_tokens: tokens of the first parts that some runner keeps or is
            about to have read.
    """

    best: tuple[CacheSource, ...] = ()
    pending_tokens: int = 0

    def for_runner(self, data_centre: str, held: int) -> CacheSource | None:
        """Returns where a runner should fetch from, or None.

        Args:
            data_centre: the runner's.
            held: how much of the prompt it keeps itself.
        """
        found = [each for each in self.best if each.tokens > held]
        return max(
            found,
            key=lambda each: (each.tokens, each.data_centre == data_centre),
            default=None,
        )


def find(
    *,
    runners: list[backends.Backend],
    stored: CacheSource | None,
    model: str,
    version: int,
    namespace: str,
    parts: tuple[request_types.Part, ...],
    now: float,
) -> Sources:
    """Returns what can be fetched of a prompt under weights.

    A runner is a source only while it has the same weights: what its runs
    leave under the namespace after a change would be made on others.

    Args:
        runners: all of the service.
        stored: the KV cache server with what it keeps, or None.
        model: the model.
        version: the weights.
        namespace: under which the parts are found.
        parts: the shared parts.
        now: the time.
    """
    best: dict[str, CacheSource] = {}
    coming = 0
    for each in runners:
        held = each.cached_tokens(namespace, parts)
        if not held or each.registration.weights.get(model) != version:
            continue
        if not each.usable(now):
            continue
        coming = max(coming, held)
        ready = each.cached_tokens(namespace, parts, ready_by=now)
        place = each.registration.data_centre
        known = best.get(place)
        if ready and (known is None or ready > known.tokens):
            best[place] = CacheSource(
                address=each.registration.address,
                data_centre=place,
                tokens=ready,
            )
    found = list(best.values())
    if stored is not None:
        found.append(stored)
    return Sources(best=tuple(found), pending_tokens=coming)
