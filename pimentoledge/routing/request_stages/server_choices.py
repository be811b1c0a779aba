"""Chooses the server for an attempt."""

import asyncio
from collections.abc import Hashable

from pimentoledge import results
from pimentoledge.routing import backends
from pimentoledge.routing import backoffs
from pimentoledge.routing import capacity_checks
from pimentoledge.routing import clocks
from pimentoledge.routing import decision_fields
from pimentoledge.routing import memory_estimates
from pimentoledge.routing import placements
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import selections
from pimentoledge.routing.admission import reservations
from pimentoledge.routing.admission import tickets
from pimentoledge.routing.request_stages import contexts

# Interval at which a request without a server looks for one again.
WAIT_STEP_SECONDS = 0.02
# Part of the route's latency objective that a request may wait in the router
# for a free server before it is refused.
WAIT_SHARE = 0.12
# The same as a part of the remaining time, where requests wait in a queue.
QUEUE_SHARE = 1 / 3
# After this many refused permits, a request excludes all servers with a limit.
MAX_PERMIT_REFUSALS = 3
# Codes of requests that no server has run.
NOT_RUN_CODES = (results.Code.NO_SERVER, results.Code.OVERLOADED)


class ServerChoice:
    """Chooses a server, and waits for one if none has capacity.

    Attributes:
        context: the request and its state.
    """

    def __init__(self, *, context: contexts.Context):
        self.context = context
        self._claimed: placements.Choice | None = None
        self._lacking = placements.NoCapacity(shortage={})
        self._drained = False

    def wait_until(self, now: float) -> float:
        """Returns until when the request may wait for a server.

        In a queue it waits while its deadline leaves time for the expected
        service, and for at least as long as without a queue.
        """
        route = self.context.route
        at_least = WAIT_SHARE * route.objective_seconds
        if not self._is_queued():
            return now + at_least
        left = self.context.ends_at - now
        spare = left - self._expected_service_seconds()
        return now + min(left, max(at_least, min(QUEUE_SHARE * left, spare)))

    async def choose(
        self, until: float
    ) -> placements.Choice | placements.NoCapacity:
        """Returns the server to send to; waits for a free one if necessary.

        Args:
            until: end of the wait, in seconds of clocks.now.
        """
        self.release_place()
        if self._is_queued():
            return await self._choose_in_order(until)
        while True:
            self.context.check_quarantine()
            now = clocks.now()
            choice = self._select(self._excluded(), now)
            if isinstance(choice, placements.Choice) or now >= until:
                return choice
            if self._has_lost_its_version():
                return choice
            back_at = backoffs.back_at(
                self.context.view, self.context.route, now, self._excluded()
            )
            if back_at is not None and back_at > until:
                return choice
            await asyncio.sleep(WAIT_STEP_SECONDS)

    async def _choose_in_order(
        self, until: float
    ) -> placements.Choice | placements.NoCapacity:
        """Waits in the queue for a place, which is then reserved."""
        self.context.check_quarantine()
        ticket = self._ticket(until, clocks.now())
        outcome = await self.context.admission.wait(ticket, self)
        self.context.check_quarantine()
        if outcome is tickets.Outcome.PLACE:
            return self._claimed
        now = clocks.now()
        self._drained = outcome is tickets.Outcome.DRAINING
        seconds = self.context.admission.refuse(ticket, now)
        self.context.place_seconds = seconds
        self.context.refusal = {
            "reason": outcome.value,
            "expected_wait_ms": contexts.milliseconds(seconds),
        }
        if not self._lacking.shortage and self.find(frozenset(), now):
            # Places are free, but requests that go first wait for them.
            shortage = {capacity_checks.Shortage.SLOTS: 1}
            return placements.NoCapacity(shortage=shortage)
        return self._lacking

    def _ticket(self, until: float, now: float) -> tickets.Ticket:
        """Returns the request's ticket for the queue."""
        context = self.context
        digest = context.subjects[0].key
        arrived = context.client_request.arrived
        first = context.admission.returning.first_arrival(digest, now)
        return tickets.Ticket(
            service=self._service(),
            organisation=context.organisation_name(),
            urgency=self._urgency(),
            deadline=context.ends_at,
            until=until,
            arrived=arrived if first is None else min(arrived, first),
            returning=first is not None,
            kind=self._kind(now),
            digest=digest,
            sent=context.history.runs() > 0,
        )

    def _urgency(self) -> int:
        """Returns the urgency in the queue; streams that go on come first."""
        context = self.context
        if context.binding.software is not None or context.answer.head_sent:
            return request_types.HIGHEST_URGENCY
        return selections.urgency_of(context.route, context.organisation)

    def _kind(self, now: float) -> Hashable:
        """Returns what decides which servers have places for the request."""
        context = self.context
        client_request = context.client_request
        tokens = memory_estimates.unshared_tokens(client_request)
        return (
            context.route.name,
            context.binding.software,
            frozenset(self._excluded()),
            client_request.model,
            tokens.bit_length(),
            context.view.fair_shares.standing(
                self._service(), context.organisation_name(), now
            ),
        )

    def find(self, without: frozenset[str], now: float) -> tickets.Place | None:
        """Returns a free place for the request, or None.

        Args:
            without: incarnations of servers to leave out.
            now: the time.
        """
        full = self._full_servers(now)
        choice = self._select(self._excluded() | without | full, now)
        if isinstance(choice, placements.NoCapacity):
            self._lacking = choice
            if full:
                shortage = {capacity_checks.Shortage.SLOTS: len(full)}
                self._lacking = placements.NoCapacity(shortage=shortage)
            return None
        backend = choice.backend
        return tickets.Place(
            server=backend.registration.incarnation,
            free=self._free_places(backend, now),
            reported_at=backend.load_at,
            choice=choice,
        )

    def claim(self, place: tickets.Place) -> None:
        """Reserves a place until the request is sent."""
        self._claimed = place.choice
        self.context.place = reservations.Reservation(
            backend=self._claimed.backend,
            tokens=self.context.client_request.unshared_tokens(),
        )

    def is_hopeless(self, now: float) -> bool:
        """Returns whether no server may get the request any more."""
        return (
            self._has_lost_its_version()
            or self.context.blocking_subject() is not None
        )

    def blocked_until(self, now: float) -> float | None:
        """Returns until when all servers are in a backoff, or None."""
        return backoffs.back_at(
            self.context.view, self.context.route, now, self._excluded()
        )

    def log(self, message: str, **fields: object) -> None:
        """Writes a log line that names the request."""
        self.context.log(
            message, organisation=self.context.organisation_name(), **fields
        )

    def release_place(self) -> None:
        """Gives back a place at which the request was not sent."""
        if self.context.place is not None:
            self.context.release_place()
            self.context.admission.notify(self._service(), clocks.now())

    def note_ended(self, backend: backends.Backend, answered: bool) -> None:
        """Records that an attempt at a server has ended.

        Args:
            backend: the server.
            answered: whether the request got its response.
        """
        now = clocks.now()
        service = backend.registration.service
        if not self.context.view.load_control.applies(service):
            return
        self.context.admission.note_ended(
            service,
            server=backend.registration.incarnation,
            kind=self.context.route.name,
            seconds=now - self.context.sent_at if answered else None,
            now=now,
        )

    def note_choice(self, choice: placements.Choice) -> backends.Backend:
        """Saves the data that the choice was based on for the log."""
        self.context.chosen = decision_fields.of_choice(
            self.context.view, self.context.client_request, choice, clocks.now()
        )
        return choice.backend

    def code_without_choice(
        self, no_capacity: placements.NoCapacity
    ) -> results.Code:
        """Returns the code of a request for which no server can be chosen."""
        code = retry_rules.final_code(self.context.history)
        if code in NOT_RUN_CODES and self._drained:
            return results.Code.SHUTTING_DOWN
        if code is results.Code.NO_SERVER and self._has_lost_its_version():
            return results.Code.STREAM_VERSION_GONE
        if code is not results.Code.NO_SERVER or not no_capacity.shortage:
            return code
        return results.Code.OVERLOADED

    def consume_retry_budget(self, backend: backends.Backend) -> bool:
        """Counts a first send or a retry; returns whether it may be sent."""
        view = self.context.view
        budget = view.budget(backend.registration.service)
        now = clocks.now()
        if not self.context.counted:
            self.context.counted = True
            budget.note_request(now, view.members)
        if not self.context.history.sends:
            return True
        return budget.try_consume(now, view.members)

    def _select(
        self, without: set[str] | frozenset[str], now: float
    ) -> placements.Choice | placements.NoCapacity:
        return selections.select(
            view=self.context.view,
            client_request=self.context.client_request,
            route=self.context.route,
            organisation=self.context.organisation,
            without=without,
            now=now,
            software=self.context.binding.software,
        )

    def _service(self) -> str:
        """Returns the service at which the request is to run first."""
        return selections.ordered_services(
            self.context.route, self.context.client_request.request
        )[0]

    def _is_queued(self) -> bool:
        """Returns whether the request waits in a queue for its service."""
        return self.context.view.load_control.applies(self._service())

    def _expected_service_seconds(self) -> float:
        """Returns how long the request will take at a server."""
        context = self.context
        seconds = context.admission.service_seconds(context.route.name)
        model = context.client_request.model
        if not model:
            return seconds
        speeds = selections.speeds_of(context.view, model, self._service())
        first_seconds = (
            speeds.base_seconds
            + speeds.token_seconds * context.client_request.unshared_tokens()
        )
        return max(seconds, first_seconds)

    def _full_servers(self, now: float) -> set[str]:
        """Returns the servers of plain services that have no place.

        Requests beyond a server's slots wait here and not in its own queue,
        where a crash loses them.
        """
        if self.context.client_request.model:
            return set()
        view = self.context.view
        return {
            each.registration.incarnation
            for share in self.context.route.shares
            if view.load_control.applies(share.service)
            for each in view.servers.of_service(share.service)
            if each.estimated_requests(now) >= each.registration.slots
        }

    def _free_places(self, backend: backends.Backend, now: float) -> float:
        """Returns the number of free places at a server that has one."""
        places = backend.registration.slots
        model = self.context.client_request.model
        service = self.context.view.configuration.services.get(
            backend.registration.service
        )
        if model and service is not None and service.cache_tokens:
            mean_tokens = max(
                1.0, self.context.view.mean_unshared(model).mean()
            )
            memory = capacity_checks.MEMORY_SHARE * service.cache_tokens
            places = min(places, memory / mean_tokens)
        return max(1.0, places - backend.estimated_requests(now))

    def _has_lost_its_version(self) -> bool:
        """Returns whether no server can go on with the stream."""
        software = self.context.binding.software
        return software is not None and not selections.has_software(
            self.context.view, self.context.route, software, self._excluded()
        )

    def _excluded(self) -> set[str]:
        """Returns the servers that the request must not be sent to.

        After MAX_PERMIT_REFUSALS they include all servers with a limit.
        """
        excluded = self.context.history.excluded_servers()
        if self.context.limit_refusals >= MAX_PERMIT_REFUSALS:
            excluded = excluded | self.context.view.server_limits.limited()
        return excluded
