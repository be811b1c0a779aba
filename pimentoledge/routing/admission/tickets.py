"""Requests that wait for a place at a server, and how their waits end."""

from collections.abc import Callable
from collections.abc import Hashable
import enum

import attrs

# Returns the service that an organisation has received, by its weight, given a
# service, an organisation and the time.
Received = Callable[[str, str, float], float]


def no_shares(service: str, organisation: str, now: float) -> float:
    """Returns 0: all organisations count as equal."""
    return 0.0


class Outcome(enum.StrEnum):
    """How a request's wait for a place ended."""

    # It has a place.
    PLACE = "place"
    # No place is expected in time.
    TOO_LATE = "too_late"
    # Requests that go first fill the queue.
    FULL = "full"
    # The router is shutting down.
    DRAINING = "draining"


@attrs.frozen(kw_only=True, eq=False)
class Ticket:
    """A request that needs a place.

    Attributes:
        service: its service.
        organisation: name of its organisation, or "".
        urgency: 0 is the most urgent.
        deadline: when its client needs the whole response, in seconds of
            clocks.now.
        until: until when it may wait, in seconds of clocks.now.
        arrived: when its client first asked for it, in seconds of clocks.now.
        returning: whether it was refused before.
        kind: equal for requests that servers have places for alike.
        digest: digest of its content.
        sent: whether a server may have run it already.
    """

    service: str
    organisation: str
    urgency: int
    deadline: float
    until: float
    arrived: float
    returning: bool = False
    kind: Hashable = ""
    digest: str = ""
    sent: bool = False


@attrs.frozen(kw_only=True)
class Queued:
    """A ticket was queued.

    Attributes:
        position: number of tickets that go first.
        wait_seconds: expected wait for a place, or None if unknown.
        displaced: the ticket that left a full queue for it, or None.
    """

    position: int
    wait_seconds: float | None
    displaced: Ticket | None = None


@attrs.frozen(kw_only=True)
class Rejected:
    """A ticket was not queued.

    Attributes:
        outcome: the reason, TOO_LATE or FULL.
        wait_seconds: expected wait for a place, or None if unknown.
    """

    outcome: Outcome
    wait_seconds: float | None


@attrs.frozen(kw_only=True)
class Place:
    """A free place for a request at a server.

    Attributes:
        server: incarnation of the server.
        free: number of its free places, as far as known.
        reported_at: time of the server's newest load report.
        choice: the placement decision, for the caller.
    """

    server: str
    free: float
    reported_at: float = 0.0
    choice: object = None
