"""The order in which waiting requests get places at a service's servers."""

import collections
from collections.abc import Callable
import math

from pimentoledge.routing.admission import tickets as tickets_module

# Most waiting requests of a service: more would wait longer than clients do.
MAX_TICKETS = 256
# The least urgent requests get at least every fourth place while they wait, so
# that they are served at least a quarter as often as all.
LEAST_URGENT_EVERY = 4
# Requests of urgencies between the most and the least urgent that wait get
# about every eighth place.
BETWEEN_EVERY = 8
# Organisations count as equal if what they have received differs by less than
# about this factor. Without it a difference of a thousandth would place a
# returning client behind one that never waited.
EQUAL_FACTOR = 1.25

ExpectedWait = Callable[[int, float], float | None]


class AdmissionQueue:
    """The waiting requests of one service.

    Attributes:
        tickets: the waiting requests, the oldest first.
        received: returns what an organisation has received.
        expected_wait: returns the expected wait behind a number of requests, in
            seconds, or None if unknown.
        max_tickets: maximum number of tickets.
    """

    def __init__(
        self,
        *,
        expected_wait: ExpectedWait,
        received: tickets_module.Received = tickets_module.no_shares,
        max_tickets: int = MAX_TICKETS,
    ):
        self.tickets: dict[tickets_module.Ticket, None] = {}
        self.received = received
        self.expected_wait = expected_wait
        self.max_tickets = max_tickets
        self._passed: collections.Counter[int] = collections.Counter()

    def offer(
        self, ticket: tickets_module.Ticket, now: float
    ) -> tickets_module.Queued | tickets_module.Rejected:
        """Queues a ticket, unless no place is expected in time.

        Of a full queue the ticket leaves that would get a place last.
        """
        ahead = self.ahead_of(ticket, now)
        wait = self.expected_wait(ahead, now)
        if self._is_late(ticket, ahead, now):
            return tickets_module.Rejected(
                outcome=tickets_module.Outcome.TOO_LATE, wait_seconds=wait
            )
        self.tickets[ticket] = None
        displaced = None
        if len(self.tickets) > self.max_tickets:
            displaced = self.ordered(now)[-1]
            self.remove(displaced)
        if displaced is ticket:
            return tickets_module.Rejected(
                outcome=tickets_module.Outcome.FULL, wait_seconds=wait
            )
        return tickets_module.Queued(
            position=ahead, wait_seconds=wait, displaced=displaced
        )

    def next(
        self,
        now: float,
        accepts: Callable[[tickets_module.Ticket], bool] = lambda ticket: True,
    ) -> tickets_module.Ticket | None:
        """Removes and returns the ticket that gets the next place, or None.

        Args:
            now: the time.
            accepts: returns whether a ticket can use the place; it is asked in
                the order of the tickets until it returns True.
        """
        ordered = self.ordered(now)
        due = self._due_urgencies()
        first = [
            each
            for urgency in due
            for each in ordered
            if each.urgency == urgency
        ]
        rest = [each for each in ordered if each.urgency not in due]
        for ticket in first + rest:
            if accepts(ticket):
                self._note_served(ticket)
                self.remove(ticket)
                return ticket
        return None

    def remove(self, ticket: tickets_module.Ticket) -> None:
        """Removes a ticket, if it is queued."""
        self.tickets.pop(ticket, None)
        if not self.tickets:
            self._passed.clear()

    def ordered(self, now: float) -> list[tickets_module.Ticket]:
        """Returns the tickets by urgency, share and deadline."""
        return sorted(self.tickets, key=self._key(now))

    def ahead_of(self, ticket: tickets_module.Ticket, now: float) -> int:
        """Returns how many of the tickets get a place before one."""
        key = self._key(now)
        own = key(ticket)
        before = [each for each in self.tickets if key(each) < own]
        return self._places_before(
            ticket,
            len(before),
            sum(each.urgency == ticket.urgency for each in before),
            {each.urgency for each in self.tickets},
        )

    def late(self, now: float) -> list[tickets_module.Ticket]:
        """Returns the tickets for which no place is expected in time."""
        found = []
        kept: collections.Counter[int] = collections.Counter()
        urgencies = {each.urgency for each in self.tickets}
        for ticket in self.ordered(now):
            ahead = self._places_before(
                ticket, kept.total(), kept[ticket.urgency], urgencies
            )
            if self._is_late(ticket, ahead, now):
                found.append(ticket)
            else:
                kept[ticket.urgency] += 1
        return found

    def _is_late(
        self, ticket: tickets_module.Ticket, ahead: int, now: float
    ) -> bool:
        """Returns whether the requests ahead take until the wait's end.

        The first in the queue waits to the end, as a place may become free at
        any moment.
        """
        if not ahead:
            return now >= ticket.until
        wait = self.expected_wait(ahead - 1, now)
        return now + (wait or 0.0) >= ticket.until

    def _places_before(
        self,
        ticket: tickets_module.Ticket,
        before: int,
        alike: int,
        urgencies: set[int],
    ) -> int:
        """Returns the number of places given out before a ticket's.

        Args:
            ticket: the ticket.
            before: number of tickets before it in the order.
            alike: number of those that are as urgent.
            urgencies: the urgencies of all tickets.
        """
        if all(each >= ticket.urgency for each in urgencies):
            return before
        least = all(each <= ticket.urgency for each in urgencies)
        return min(before, _places_each(least=least) * (alike + 1) - 1)

    def _key(
        self, now: float
    ) -> Callable[[tickets_module.Ticket], tuple[object, ...]]:
        levels: dict[str, float] = {}

        def key(ticket: tickets_module.Ticket) -> tuple[object, ...]:
            name = ticket.organisation
            if name not in levels:
                levels[name] = _level(self.received(ticket.service, name, now))
            return (
                ticket.urgency,
                levels[name],
                not ticket.returning,
                ticket.deadline,
                ticket.arrived,
            )

        return key

    def _due_urgencies(self) -> list[int]:
        """Returns the urgencies whose turn it is, the least urgent first."""
        present = sorted({each.urgency for each in self.tickets}, reverse=True)
        return [
            urgency
            for urgency in present[:-1]
            if self._passed[urgency] + 1
            >= _places_each(least=urgency == present[0])
        ]

    def _note_served(self, ticket: tickets_module.Ticket) -> None:
        present = {each.urgency for each in self.tickets}
        for urgency in list(self._passed):
            if urgency not in present:
                del self._passed[urgency]
        for urgency in present:
            if urgency != ticket.urgency:
                self._passed[urgency] += 1
        self._passed[ticket.urgency] = 0


def _places_each(*, least: bool) -> int:
    """Returns of how many places an urgency gets at least one."""
    return LEAST_URGENT_EVERY if least else BETWEEN_EVERY


def _level(received: float) -> float:
    """Returns the same number for about equal amounts of service."""
    if received <= 0:
        return -math.inf
    return math.floor(math.log(received) / math.log(EQUAL_FACTOR))
