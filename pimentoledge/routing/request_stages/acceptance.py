"""Decides whether a client request is accepted."""

import asyncio

from pimentoledge import results
from pimentoledge.routing import charges
from pimentoledge.routing import clocks
from pimentoledge.routing import memory_estimates
from pimentoledge.routing import request_types
from pimentoledge.routing import stale_configurations
from pimentoledge.routing import suspects
from pimentoledge.routing.fair_shares import share_demands
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.request_stages import contexts
from pimentoledge.routing.request_stages import final_responses

# Interval at which a request that a newer configuration may affect is checked
# again.
WAIT_STEP_SECONDS = 0.02


class Acceptance:
    """Checks a request against the configuration and its limits.

    Attributes:
        context: the request and its state.
        final: sends the final response.
    """

    def __init__(
        self,
        *,
        context: contexts.Context,
        final: final_responses.FinalResponses,
    ):
        self.context = context
        self.final = final

    def note_prompt(self, client_request: request_types.ClientRequest) -> None:
        """Counts an accepted request, and its prompt in its model's mean."""
        context = self.context
        service = context.route.shares[0].service
        shares = share_demands.counting(context.view, service)
        if shares is not None:
            shares.served.note_asked(
                service,
                context.organisation_name(),
                context.route.urgency,
                clocks.now(),
            )
        if client_request.model:
            self.context.view.mean_unshared(client_request.model).note(
                memory_estimates.unshared_tokens(client_request)
            )

    async def admit(
        self, client_request: request_types.ClientRequest
    ) -> results.Code | None:
        """Returns the code with which the request is refused, or None.

        Waits for a newer configuration that is known to be in force elsewhere,
        if the one in force here may be wrong about the request.
        """
        wait = client_request.wait_seconds or request_types.DEFAULT_WAIT_SECONDS
        until = clocks.now() + stale_configurations.hold_seconds(wait)
        while True:
            code = self._accept(client_request)
            now = clocks.now()
            if stale_configurations.may_act(
                code,
                behind_since=self.context.view.behind_since,
                bound_seconds=self.context.view.bounds.configuration_seconds,
                now=now,
            ):
                return code
            if now >= until:
                return results.Code.STALE_CONFIGURATION
            await asyncio.sleep(WAIT_STEP_SECONDS)

    def _accept(
        self, client_request: request_types.ClientRequest
    ) -> results.Code | None:
        """Returns the code with which the request is refused, or None."""
        if self.context.view.refusing:
            # The end of the grace time could interrupt a request started now.
            return results.Code.SHUTTING_DOWN
        configuration = self.context.view.configuration
        if configuration is None:
            return results.Code.CONFIGURATION_INCOMPLETE
        route = configuration.match(client_request.host, client_request.path)
        if route is None:
            return results.Code.NOT_FOUND
        if configuration.by_key is not None and not route.open:
            self.context.organisation = configuration.by_key.get(
                client_request.key
            )
            if self.context.organisation is None:
                return results.Code.BAD_KEY
            self.context.charge = self._charge(configuration.version)
        self.context.route = route
        wait = client_request.wait_seconds
        if wait is None:
            wait = request_types.DEFAULT_WAIT_SECONDS
        self.context.ends_at = client_request.arrived + min(
            wait, route.timeout_seconds
        )
        self.context.subjects = suspects.subjects_of(
            client_request, self.context.organisation_name()
        )
        if self.context.blocking_subject() is not None:
            return results.Code.CRASHES
        if not self.context.claim_request(clocks.now()):
            return results.Code.ALREADY_SENT
        return None

    def _charge(self, version: int) -> charges.Charge | None:
        """Returns what the request has to acquire, or None without a limit."""
        quota = self.context.organisation.quota
        if quota is None:
            return None
        return charges.Charge(
            limiter=self.context.limiter,
            organisation=self.context.organisation.name,
            limit=ledgers.Limit(
                version=version,
                per_second=quota.per_second,
                burst=quota.burst,
            ),
            cost=quota.cost(self.context.client_request.tokens()),
        )

    async def acquire_quota(self) -> bool:
        """Acquires quota for a further run.

        Returns whether the limit allows it; if not, the request is refused.
        """
        if self.context.charge is None:
            return True
        if len(self.context.charge.owners) > self.context.history.runs():
            return True
        answer = await self.context.charge.acquire()
        if answer.decision.granted:
            return True
        self.final.refuse_over_limit(answer)
        return False
