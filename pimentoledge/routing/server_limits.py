"""Limits that servers advertise in their answers, by server incarnation."""

from collections.abc import Container
from collections.abc import Iterable

import attrs

from pimentoledge.nodes import numbers
from pimentoledge.routing import delays

# Encodes "no limit" in messages between routers.
NO_LIMIT = -1.0
# Lower bound of a limit. Only an answer can show that a limit has ended, so a
# few requests must reach the server.
MIN_PER_SECOND = 0.1
# Ended limits and those of removed servers are dropped after this time.
FORGET_SECONDS = 60.0
# Smaller differences between the times of one limit are caused by its
# transmission between routers.
ECHO_SECONDS = delays.ROUND_TRIP_SECONDS


@attrs.frozen(kw_only=True)
class AdvertisedLimit:
    """A limit advertised in a server's answer.

    Attributes:
        per_second: requests a second that it accepts from all routers together,
            or None if it advertises no limit any more.
        received_at: when that was received, in seconds of clocks.now.
    """

    per_second: float | None
    received_at: float


class ServerLimits:
    """The newest limit of each server that has advertised one.

    Attributes:
        advertised: newest limit by incarnation.
    """

    def __init__(self):
        self.advertised: dict[str, AdvertisedLimit] = {}

    def update(
        self,
        server: str,
        per_second: float | None,
        *,
        sent_at: float,
        received_at: float,
    ) -> bool:
        """Records the limit in a server's answer; returns if it changed.

        Answers on different connections may overtake each other, so the answer
        to a request that was sent before the cached limit was received can only
        lower it.

        Args:
            server: the server's incarnation.
            per_second: the limit that it advertises, or None.
            sent_at: when the request was sent.
            received_at: when the answer was received.
        """
        known = self.advertised.get(server)
        if known is None and per_second is None:
            return False
        before = None if known is None else known.per_second
        if (
            known is not None
            and sent_at < known.received_at
            and not _is_lower(per_second, before)
        ):
            return False
        self.advertised[server] = AdvertisedLimit(
            per_second=per_second, received_at=received_at
        )
        return per_second != before

    def merge(self, server: str, limit: AdvertisedLimit) -> bool:
        """Merges a limit from another router; returns if it changed."""
        known = self.advertised.get(server)
        if known is None:
            if limit.per_second is None:
                return False
        elif known.per_second == limit.per_second:
            if limit.received_at > known.received_at + ECHO_SECONDS:
                self.advertised[server] = limit
            return False
        elif limit.received_at <= known.received_at:
            return False
        self.advertised[server] = limit
        return True

    def get(self, server: str) -> float | None:
        """Returns a server's limit in requests a second, or None."""
        limit = self.advertised.get(server)
        if limit is None or limit.per_second is None:
            return None
        return max(MIN_PER_SECOND, limit.per_second)

    def limited(self) -> set[str]:
        """Returns the servers that have a limit, by incarnation."""
        return {
            server
            for server, limit in self.advertised.items()
            if limit.per_second is not None
        }

    def encode(
        self, servers: Iterable[str], now: float
    ) -> dict[str, tuple[float, int]]:
        """Returns limits in the form of a LimitReport to other routers."""
        encoded = {}
        for server in servers:
            limit = self.advertised.get(server)
            if limit is not None:
                number = (
                    NO_LIMIT if limit.per_second is None else limit.per_second
                )
                encoded[server] = (
                    number,
                    numbers.milliseconds(now - limit.received_at),
                )
        return encoded

    def has_any(self) -> bool:
        """Returns whether some server has a limit."""
        return any(
            each.per_second is not None for each in self.advertised.values()
        )

    def expire(self, declared: Container[str], now: float) -> None:
        """Drops limits that have ended, and those of removed servers.

        Args:
            declared: incarnations of the servers that are registered.
            now: the time.
        """
        for server, limit in list(self.advertised.items()):
            needed = limit.per_second is not None and server in declared
            if not needed and now - limit.received_at > FORGET_SECONDS:
                del self.advertised[server]


def _is_lower(per_second: float | None, than: float | None) -> bool:
    if per_second is None:
        return False
    return than is None or per_second < than
