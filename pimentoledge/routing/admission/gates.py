"""Lets requests wait for places at servers, and gives places out in order."""

import asyncio
import collections
from collections.abc import Callable
import math
from typing import Protocol

import attrs

from pimentoledge.routing import clocks
from pimentoledge.routing import counters as counters_module
from pimentoledge.routing import peer_messages
from pimentoledge.routing.admission import place_shares
from pimentoledge.routing.admission import queues
from pimentoledge.routing.admission import release_rates
from pimentoledge.routing.admission import returning_clients
from pimentoledge.routing.admission import tickets as tickets_module

# Most waiting requests of all services, some 2 KB each with their connections,
# besides their bodies.
MAX_WAITING = 1000
# Reports within this time lead to one search for places. A search takes some
# ms, and some 300 load reports a second arrive in a large data centre.
SEARCH_SECONDS = 0.02
# The same for ended attempts of this router, each of which leaves a place.
END_SEARCH_SECONDS = 0.005
# After this many failed searches for requests of one kind, others of that kind
# are not tried until the next search.
MAX_FAILED_SEARCHES = 3
# The same for requests of all kinds together.
MAX_FAILED_OF_ALL = 24
# Longest time for which one search keeps the event loop from other work.
MAX_SEARCH_SECONDS = 0.004
# Most servers at which one request looks for an unused part of the places.
MAX_SERVERS_TRIED = 4
# The expected time between two places is computed anew after this time.
ESTIMATE_SECONDS = 0.05


class PlaceFinder(Protocol):
    """Finds a place for one request."""

    def find(
        self, without: frozenset[str], now: float
    ) -> tickets_module.Place | None:
        """Returns a free place, or None.

        Args:
            without: incarnations of servers to leave out.
            now: the time.
        """

    def claim(self, place: tickets_module.Place) -> None:
        """Reserves the place for the request."""

    def is_hopeless(self, now: float) -> bool:
        """Returns whether the request can't get a place any more."""

    def blocked_until(self, now: float) -> float | None:
        """Returns until when all servers are known to accept nothing."""

    def log(self, message: str, **fields: object) -> None:
        """Writes a log line that names the request."""


@attrs.frozen(kw_only=True, eq=False)
class _Waiter:
    finder: PlaceFinder
    future: asyncio.Future[tickets_module.Outcome]


class AdmissionGate:
    """The queues of a router, and the requests that wait in them.

    It also fills and merges its fields of the load reports.

    Attributes:
        queues: the waiting requests by service.
        rates: how fast places become free, by service.
        service_rates: how long attempts take, by kind of request.
        returning: refused requests whose clients may return.
        peers: numbers of requests that wait at other routers.
        shares: this router's parts of free places.
        counters: counts the outcomes.
        in_use: returns the number of places in use at a service's servers.
        received: returns what an organisation has received of a service.
        clock: returns the time, in seconds of clocks.now.
        max_tickets: maximum number of waiting requests of a service.
        max_waiting: the same of all services.
        draining: whether the router drains.
    """

    def __init__(
        self,
        *,
        counters: counters_module.Counters,
        in_use: Callable[[str, float], float] = lambda service, now: 0.0,
        received: tickets_module.Received = tickets_module.no_shares,
        clock: Callable[[], float] = clocks.now,
        shares: place_shares.PlaceShares | None = None,
        max_tickets: int = queues.MAX_TICKETS,
        max_waiting: int = MAX_WAITING,
    ):
        self.queues: dict[str, queues.AdmissionQueue] = {}
        self.rates: dict[str, release_rates.ReleaseRate] = (
            collections.defaultdict(release_rates.ReleaseRate)
        )
        self.service_rates: dict[str, release_rates.ReleaseRate] = (
            collections.defaultdict(release_rates.ReleaseRate)
        )
        self.returning = returning_clients.ReturningClients()
        self.peers = place_shares.PeerQueues()
        self.shares = shares or place_shares.PlaceShares()
        self.counters = counters
        self.in_use = in_use
        self.received = received
        self.clock = clock
        self.max_tickets = max_tickets
        self.max_waiting = max_waiting
        self.draining = False
        self._waiters: dict[tickets_module.Ticket, _Waiter] = {}
        self._failed: dict[str, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        self._searched: dict[str, float] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._place_seconds: dict[str, tuple[float | None, float]] = {}

    async def wait(
        self, ticket: tickets_module.Ticket, finder: PlaceFinder
    ) -> tickets_module.Outcome:
        """Waits until the request has a place, or can't get one in time.

        The place is claimed before this returns. A caller that is cancelled
        meanwhile gives it back.
        """
        outcome = await self._wait(ticket, finder)
        self.counters.decided("admission", outcome.value)
        if outcome is tickets_module.Outcome.PLACE:
            self.returning.note_served(ticket.digest)
        return outcome

    async def _wait(
        self, ticket: tickets_module.Ticket, finder: PlaceFinder
    ) -> tickets_module.Outcome:
        now = self.clock()
        queue = self._queue(ticket.service)
        if not queue.tickets:
            self._failed.pop(ticket.service, None)
            if self._place(ticket, finder, now):
                return tickets_module.Outcome.PLACE
        if self.draining and not ticket.sent:
            return tickets_module.Outcome.DRAINING
        waiter = _Waiter(
            finder=finder, future=asyncio.get_running_loop().create_future()
        )
        match queue.offer(ticket, now):
            case tickets_module.Rejected(outcome=outcome):
                self._give_out(queue, now)
                if self._place(ticket, finder, now, untried=True):
                    return tickets_module.Outcome.PLACE
                return outcome
            case tickets_module.Queued() as queued:
                pass
        self._waiters[ticket] = waiter
        try:
            if queued.displaced is not None:
                self._end(queued.displaced, tickets_module.Outcome.FULL)
            self._bound(now)
            self._give_out(queue, now)
            if waiter.future.done():
                return waiter.future.result()
            if self._is_hopeless(ticket, finder, now):
                return tickets_module.Outcome.TOO_LATE
            finder.log(
                "queued",
                position=queued.position,
                expected_wait_ms=_milliseconds(queued.wait_seconds),
            )
            return await self._outcome(ticket, waiter, now)
        finally:
            self._waiters.pop(ticket, None)
            queue.remove(ticket)

    async def _outcome(
        self, ticket: tickets_module.Ticket, waiter: _Waiter, since: float
    ) -> tickets_module.Outcome:
        timer = asyncio.get_running_loop().call_later(
            max(0.0, ticket.until - since), self._expire, ticket
        )
        try:
            outcome = await waiter.future
        finally:
            timer.cancel()
        if outcome is tickets_module.Outcome.PLACE:
            waiter.finder.log(
                "admitted", waited_ms=_milliseconds(self.clock() - since)
            )
        return outcome

    def note_ended(
        self,
        service: str,
        *,
        server: str,
        kind: str,
        seconds: float | None,
        now: float,
    ) -> None:
        """Records that an attempt of this router has ended.

        Args:
            service: the service.
            server: incarnation of the server.
            kind: name of the request's route.
            seconds: how long it held its place, or None if it was not served.
            now: the time.
        """
        if seconds is not None:
            self.rates[service].note_released(seconds, now)
            self.service_rates[kind].note_released(seconds, now)
        self.shares.note_ended(server)
        queue = self.queues.get(service)
        since = now - self._searched.get(service, 0.0)
        if queue is not None and queue.tickets and since >= END_SEARCH_SECONDS:
            self._search(service, now)
        else:
            self.notify(service, now)

    def service_seconds(self, kind: str) -> float:
        """Returns how long attempts of a route take, or 0 if unknown."""
        rate = self.service_rates.get(kind)
        return 0.0 if rate is None else rate.mean_seconds() or 0.0

    def refuse(self, ticket: tickets_module.Ticket, now: float) -> float | None:
        """Records a refusal; returns when a place is expected.

        Returns:
            the seconds until then, or None if unknown.
        """
        self.returning.note_refused(ticket.digest, ticket.arrived, now)
        ahead = self._queue(ticket.service).ahead_of(ticket, now)
        return self._expected_wait(ticket.service, ahead, now)

    def notify(self, service: str, now: float) -> None:
        """Looks for places, since there may be room at a service's servers."""
        queue = self.queues.get(service)
        if queue is None or not queue.tickets or service in self._timers:
            return
        if now - self._searched.get(service, -math.inf) >= SEARCH_SECONDS:
            self._search(service, now)
        else:
            self._search_soon(service)

    def tick(self, now: float) -> None:
        """Looks for places, and refuses what can't be in time any more."""
        for service, queue in self.queues.items():
            if not queue.tickets:
                continue
            self._search(service, now)
            for ticket in queue.late(now):
                self._end(ticket, tickets_module.Outcome.TOO_LATE)
            self._end_hopeless(queue, now)
        self.returning.expire(now)
        self.shares.expire(now)
        for kind, rate in list(self.service_rates.items()):
            if rate.is_unused(now):
                del self.service_rates[kind]

    def drain(self) -> None:
        """Empties the queues; from now on no new request waits.

        A request that was sent before, such as a stream whose server died,
        may have run, so it can't be told to come back as one that has not.
        """
        self.draining = True
        for ticket in list(self._waiters):
            if not ticket.sent:
                self._end(ticket, tickets_module.Outcome.DRAINING)

    def close(self) -> None:
        """Cancels the searches that are due."""
        for each in self._timers.values():
            each.cancel()
        self._timers.clear()

    def gauges(self, now: float) -> dict[str, float]:
        """Returns the length of the queues and the oldest wait."""
        arrivals = [
            each.arrived
            for queue in self.queues.values()
            for each in queue.tickets
        ]
        return {
            "waiting_requests": len(arrivals),
            "oldest_wait_seconds": now - min(arrivals, default=now),
        }

    def fill(self, report: peer_messages.LoadReport, now: float) -> None:
        """Sets the numbers of waiting requests and those newly refused."""
        report.waiting = {
            service: len(queue.tickets)
            for service, queue in self.queues.items()
            if queue.tickets
        }
        report.refused = self.returning.take_report(now)

    def merge(
        self, sender: str, report: peer_messages.LoadReport, now: float
    ) -> None:
        """Merges another router's waiting and refused requests."""
        self.peers.set(sender, report.waiting, now)
        self.returning.merge(report.refused, now)
        for service in self.queues:
            self.notify(service, now)

    def forget(self, sender: str) -> None:
        """Discards the waiting requests of an absent router."""
        self.peers.forget(sender)

    def _queue(self, service: str) -> queues.AdmissionQueue:
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = queues.AdmissionQueue(
                received=lambda *which: self.received(*which),
                expected_wait=lambda ahead, now: self._expected_wait(
                    service, ahead, now
                ),
                max_tickets=self.max_tickets,
            )
        return queue

    def _expected_wait(
        self, service: str, ahead: int, now: float
    ) -> float | None:
        seconds, at = self._place_seconds.get(service, (None, -1.0))
        if not 0 <= now - at < ESTIMATE_SECONDS:
            seconds = self.rates[service].expected_wait(
                0,
                now,
                in_use=self.in_use(service, now),
                routers=self._routers(service, now),
            )
            self._place_seconds[service] = (seconds, now)
        return None if seconds is None else seconds * (ahead + 1)

    def _routers(self, service: str, now: float) -> int:
        return 1 + self.peers.routers(service, now)

    def _search_soon(self, service: str) -> None:
        """Searches once SEARCH_SECONDS have passed, unless that is due."""
        if service not in self._timers:
            self._timers[service] = asyncio.get_running_loop().call_later(
                SEARCH_SECONDS, self._search_later, service
            )

    def _search_later(self, service: str) -> None:
        del self._timers[service]
        self._search(service, self.clock())

    def _search(self, service: str, now: float) -> None:
        self._searched[service] = now
        self._failed.pop(service, None)
        self._give_out(self._queue(service), now)

    def _give_out(self, queue: queues.AdmissionQueue, now: float) -> None:
        """Gives free places to waiting requests, in their order."""

        def accepts(ticket: tickets_module.Ticket) -> bool:
            waiter = self._waiters.get(ticket)
            if waiter is None:
                return False
            try:
                return self._place(ticket, waiter.finder, now)
            except Exception as error:
                # A request that can't be evaluated must not hold up others.
                self._fail(ticket, error)
                return False

        until = self.clock() + MAX_SEARCH_SECONDS
        while (ticket := queue.next(now, accepts)) is not None:
            self._end(ticket, tickets_module.Outcome.PLACE)
            if self.clock() >= until:
                self._search_soon(ticket.service)
                return

    def _place(
        self,
        ticket: tickets_module.Ticket,
        finder: PlaceFinder,
        now: float,
        *,
        untried: bool = False,
    ) -> bool:
        """Claims a place for a request; returns whether there is one.

        Args:
            ticket: the request's ticket.
            finder: finds a place for it.
            now: the time.
            untried: whether failed searches for others don't count, since the
                request is refused otherwise.
        """
        failed = self._failed[ticket.service]
        if not untried and (
            failed[ticket.kind] >= MAX_FAILED_SEARCHES
            or failed.total() >= MAX_FAILED_OF_ALL
        ):
            return False
        routers = self._routers(ticket.service, now)
        without: frozenset[str] = frozenset()
        for _ in range(MAX_SERVERS_TRIED):
            place = finder.find(without, now)
            if place is None:
                break
            if self.shares.take(place, routers, now):
                finder.claim(place)
                return True
            without |= {place.server}
        failed[ticket.kind] += 1
        return False

    def _expire(self, ticket: tickets_module.Ticket) -> None:
        """Ends a wait; a place that was left to other routers is still taken.

        A refused request costs its client more than a place that two routers
        take.
        """
        waiter = self._waiters.get(ticket)
        if waiter is None or waiter.future.done():
            return
        now = self.clock()
        searched = self._searched.get(ticket.service, -math.inf)
        if now - searched >= END_SEARCH_SECONDS:
            self._search(ticket.service, now)
        if waiter.future.done():
            return
        try:
            place = waiter.finder.find(frozenset(), now)
            if place is not None:
                waiter.finder.claim(place)
        except Exception as error:
            self._fail(ticket, error)
            return
        outcome = tickets_module.Outcome.PLACE
        if place is None:
            outcome = tickets_module.Outcome.TOO_LATE
        self._end(ticket, outcome)

    def _fail(self, ticket: tickets_module.Ticket, error: Exception) -> None:
        """Ends a wait with an error, which its caller gets."""
        waiter = self._waiters.pop(ticket)
        self._queue(ticket.service).remove(ticket)
        if not waiter.future.done():
            waiter.future.set_exception(error)

    def _end(
        self,
        ticket: tickets_module.Ticket,
        outcome: tickets_module.Outcome,
    ) -> None:
        self._queue(ticket.service).remove(ticket)
        waiter = self._waiters.pop(ticket, None)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_result(outcome)

    def _end_hopeless(self, queue: queues.AdmissionQueue, now: float) -> None:
        blocked: dict[object, float | None] = {}
        for ticket in list(queue.tickets):
            finder = self._waiters[ticket].finder
            try:
                if ticket.kind not in blocked:
                    blocked[ticket.kind] = finder.blocked_until(now)
                hopeless = finder.is_hopeless(now)
            except Exception as error:
                self._fail(ticket, error)
                continue
            if hopeless or (blocked[ticket.kind] or 0.0) > ticket.until:
                self._end(ticket, tickets_module.Outcome.TOO_LATE)

    def _is_hopeless(
        self, ticket: tickets_module.Ticket, finder: PlaceFinder, now: float
    ) -> bool:
        until = finder.blocked_until(now)
        return finder.is_hopeless(now) or (until or 0.0) > ticket.until

    def _bound(self, now: float) -> None:
        """Removes the last of the longest queue if too many requests wait."""
        waiting = sum(len(each.tickets) for each in self.queues.values())
        if waiting > self.max_waiting:
            longest = max(
                self.queues.values(), key=lambda each: len(each.tickets)
            )
            self._end(longest.ordered(now)[-1], tickets_module.Outcome.FULL)


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(1000 * seconds, 1)
