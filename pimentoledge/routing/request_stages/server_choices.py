"""Chooses the server for an attempt."""

import asyncio

from pimentoledge import results
from pimentoledge.routing import backends
from pimentoledge.routing import backoffs
from pimentoledge.routing import clocks
from pimentoledge.routing import decision_fields
from pimentoledge.routing import placements
from pimentoledge.routing import retry_rules
from pimentoledge.routing import selections
from pimentoledge.routing.request_stages import contexts

# Interval at which a request without a server looks for one again.
WAIT_STEP_SECONDS = 0.02
# After this many refused permits, a request excludes all servers with a limit.
MAX_PERMIT_REFUSALS = 3


class ServerChoice:
    """Chooses a server, and waits for one if none has capacity.

    Attributes:
        context: the request and its state.
    """

    def __init__(self, *, context: contexts.Context):
        self.context = context

    async def choose(
        self, until: float
    ) -> placements.Choice | placements.NoCapacity:
        """Returns the server to send to; waits for a free one if necessary.

        Args:
            until: end of the wait, in seconds of clocks.now.
        """
        while True:
            self.context.check_quarantine()
            now = clocks.now()
            choice = selections.select(
                view=self.context.view,
                client_request=self.context.client_request,
                route=self.context.route,
                organisation=self.context.organisation,
                without=self._excluded(),
                now=now,
                software=self.context.binding.software,
            )
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
        if code is results.Code.NO_SERVER and self._has_lost_its_version():
            return results.Code.STREAM_VERSION_GONE
        if code is not results.Code.NO_SERVER or not no_capacity.shortage:
            return code
        return results.Code.OVERLOADED

    def consume_retry_budget(self, backend: backends.Backend) -> bool:
        """Counts a first send or a retry; returns whether it may be sent."""
        service = backend.registration.service
        budget = self.context.view.budget(service)
        now = clocks.now()
        if not self.context.counted:
            self.context.counted = True
            budget.note_request(now)
        if not self.context.history.sends:
            return True
        return budget.try_consume(now, self.context.view.members)

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
