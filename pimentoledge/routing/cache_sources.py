"""Finds servers to fetch cached parts from and estimates transfer times."""

import math

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import configurations
from pimentoledge.routing import request_types

# Delay from dispatching a prompt to a runner until its parts can be fetched
# from there: the time to the first event of a prompt of 9,000 tokens queued
# behind one as long. An earlier fetch would miss, and the parts would be
# prefilled again.
READY_SECONDS = 0.6
# A transfer between data centres takes this many times as long.
REMOTE_TRANSFER_FACTOR = 2.0
# Time constant of the moving link utilization.
LINK_WINDOW_SECONDS = 2.0
# Defaults for a link's speed in bytes a second and a token's memory in bytes,
# used if the configuration doesn't set them.
DEFAULT_LINK_BYTES = 340e9 / 8
DEFAULT_TOKEN_BYTES = 131072


@attrs.frozen(kw_only=True)
class CacheSource:
    """A server that has cached the first parts of a prompt.

    Attributes:
        address: address of the server.
        data_centre: data centre of the server.
        tokens: number of the prompt's leading tokens that it has cached.
    """

    address: str
    data_centre: str
    tokens: int


class Links:
    """Utilization of the links of KV cache servers by saved parts.

    Attributes:
        carried: decayed seconds of recent transfers and the time of their last
            update, by address.
    """

    def __init__(self):
        self.carried: dict[str, tuple[float, float]] = {}

    def note_transfer(self, address: str, seconds: float, now: float) -> None:
        """Adds a requested transfer to a link's utilization."""
        self.carried[address] = (
            self._decayed_seconds(address, now) + seconds,
            now,
        )

    def busy_share(self, address: str, now: float) -> float:
        """Returns the recent utilization of a link.

        Over 1, transfers are requested faster than the link completes them.
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
    remote: bool,
) -> float:
    """Returns the time to transfer cached parts, without queueing.

    Args:
        tokens: number of tokens of the parts.
        service: the runners' service.
        link_bytes: speed of the link at the other end in bytes a second, or
            None.
        remote: whether the ends are in different data centres.
    """
    size = (service and service.token_bytes) or DEFAULT_TOKEN_BYTES
    own = (service and service.link_bytes) or DEFAULT_LINK_BYTES
    seconds = tokens * size / min(own, link_bytes or own)
    return seconds * REMOTE_TRANSFER_FACTOR if remote else seconds


@attrs.frozen(kw_only=True)
class Sources:
    """The servers that a prompt's cached parts can be fetched from.

    Attributes:
        best: the runner with the most cached tokens in each data centre, and
            the KV cache server if there is one.
        pending_tokens: leading tokens that some runner has cached or will have
            prefilled soon.
    """

    best: tuple[CacheSource, ...] = ()
    pending_tokens: int = 0

    def for_runner(self, data_centre: str, cached: int) -> CacheSource | None:
        """Returns the source that a runner should fetch from, or None.

        Args:
            data_centre: the runner's data centre.
            cached: leading tokens of the prompt that it has cached itself.
        """
        useful = [each for each in self.best if each.tokens > cached]
        return max(
            useful,
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
    """Returns where a prompt's parts can be fetched for a version of weights.

    A runner is a source only while it has the same weights: after a change, its
    runs would add parts of other weights to the namespace.

    Args:
        runners: all runners of the service.
        stored: the KV cache server and its cached tokens, or None.
        model: the model.
        version: version of the weights.
        namespace: cache namespace of the parts.
        parts: the prompt's shared parts.
        now: the time.
    """
    best: dict[str, CacheSource] = {}
    pending = 0
    for each in runners:
        cached = each.cached_tokens(namespace, parts)
        if not cached or each.registration.weights.get(model) != version:
            continue
        if not each.usable(now):
            continue
        pending = max(pending, cached)
        ready = each.cached_tokens(namespace, parts, ready_by=now)
        data_centre = each.registration.data_centre
        known = best.get(data_centre)
        if ready and (known is None or ready > known.tokens):
            best[data_centre] = CacheSource(
                address=each.registration.address,
                data_centre=data_centre,
                tokens=ready,
            )
    sources = list(best.values())
    if stored is not None:
        sources.append(stored)
    return Sources(best=tuple(sources), pending_tokens=pending)
