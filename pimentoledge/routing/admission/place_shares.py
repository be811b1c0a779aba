"""This router's part of free places that several routers wait for."""

from collections.abc import Callable
import random

import attrs

from pimentoledge.routing.admission import tickets

# How long another router's number of waiting requests counts.
PEER_EXPIRY_SECONDS = 3.0
# A part is drawn again after this time without a report of the server.
REDRAW_SECONDS = 0.1
# A part that was not used for this time is forgotten.
PART_EXPIRY_SECONDS = 3.0


class PeerQueues:
    """The numbers of requests that wait at other routers."""

    def __init__(self):
        self._queues: dict[str, tuple[dict[str, int], float]] = {}

    def set(self, router: str, waiting: dict[str, int], now: float) -> None:
        """Replaces a router's numbers of waiting requests, by service."""
        if waiting:
            self._queues[router] = (waiting, now)
        else:
            self._queues.pop(router, None)

    def forget(self, router: str) -> None:
        """Discards the numbers of an absent router."""
        self._queues.pop(router, None)

    def routers(self, service: str, now: float) -> int:
        """Returns at how many other routers requests of a service wait."""
        return sum(
            waiting.get(service, 0) > 0 and now - since < PEER_EXPIRY_SECONDS
            for waiting, since in self._queues.values()
        )


@attrs.define(kw_only=True)
class _Part:
    reported_at: float
    drawn_at: float
    left: int


class PlaceShares:
    """Keeps all routers from taking the same free place.

    All routers learn of a free place at about the same time. Each gives out at
    most its part of a server's free places until its next report, or the
    next tick.

    Attributes:
        draw: returns a random number from 0 to 1.
    """

    def __init__(self, *, draw: Callable[[], float] = random.random):
        self.draw = draw
        self._parts: dict[str, _Part] = {}

    def take(self, place: tickets.Place, routers: int, now: float) -> bool:
        """Takes a place, if this router's part has one left.

        Args:
            place: the place.
            routers: number of routers with waiting requests, with this one.
            now: the time.
        """
        if routers <= 1:
            return True
        part = self._parts.get(place.server)
        if (
            part is None
            or part.reported_at != place.reported_at
            or now - part.drawn_at >= REDRAW_SECONDS
        ):
            part = _Part(
                reported_at=place.reported_at,
                drawn_at=now,
                left=self._draw_part(place.free / routers),
            )
            self._parts[place.server] = part
        if not part.left:
            return False
        part.left -= 1
        return True

    def note_ended(self, server: str) -> None:
        """Draws anew for a server at which an attempt has ended."""
        self._parts.pop(server, None)

    def expire(self, now: float) -> None:
        """Forgets parts that are too old."""
        for server, part in list(self._parts.items()):
            if now - part.drawn_at > PART_EXPIRY_SECONDS:
                del self._parts[server]

    def _draw_part(self, part: float) -> int:
        whole = int(part)
        return whole + (self.draw() < part - whole)
