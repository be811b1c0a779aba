"""Final responses of requests that no server has answered."""

from pimentoledge import results
from pimentoledge.routing import backoffs
from pimentoledge.routing import charges
from pimentoledge.routing import clocks
from pimentoledge.routing import decision_fields
from pimentoledge.routing import retry_rules
from pimentoledge.routing import router_responses
from pimentoledge.routing.fair_shares import share_demands
from pimentoledge.routing.quotas import limiters
from pimentoledge.routing.request_stages import contexts

# Codes of refusals because no server can accept the request.
NO_CAPACITY_CODES = frozenset((results.Code.NO_SERVER, results.Code.OVERLOADED))


class FinalResponses:
    """Ends a request with a refusal or an error.

    Attributes:
        context: the request and its state.
    """

    def __init__(self, *, context: contexts.Context):
        self.context = context

    def refuse_over_limit(self, answer: limiters.AcquireResult) -> None:
        """Refuses a request that exceeds its organisation's limit."""
        decision = answer.decision
        known = charges.is_known(answer)
        code = results.Code.RATE_LIMITED
        if not known:
            code = results.Code.LIMIT_UNKNOWN
        self.context.lines.counters.decided(
            "limited", f"urgency {self.context.organisation.urgency}"
        )
        self.context.log(
            "limited",
            code=code.name,
            **self._standing(clocks.now()),
            cost=self.context.charge.cost,
            left=round(decision.left),
            share=round(decision.share, 3),
            owner=answer.owner,
            answer_ms=contexts.milliseconds(answer.seconds),
            limit_version=self.context.charge.limit.version,
            wait_s=decision.wait_seconds,
        )
        if self.context.history.runs():
            self.give_up(retry_rules.final_code(self.context.history))
            return
        if known:
            wait = router_responses.limit_retry_seconds(decision.wait_seconds)
        else:
            wait = router_responses.retry_seconds(code)
        self.context.answer.refuse(code, wait)

    def give_up(self, code: results.Code) -> None:
        """Sends the final response of a request that failed."""
        if self.context.answer.head_sent:
            # A response that ends early must not look complete.
            self.context.log("broken_off", code=code.name)
            self.context.answer.break_off()
            return
        failed_answer = self.context.take_failed_answer()
        if failed_answer is not None:
            answer, body = failed_answer
            self.context.log("answered", status=answer.status, again=True)
            self.context.answer.pass_on(answer, body)
            return
        self.refuse(code)

    def refuse(self, code: results.Code) -> None:
        """Refuses the request, and says when the client may retry."""
        now = clocks.now()
        wait = self._retry_seconds(code, now)
        standing = self._standing(now)
        if code in NO_CAPACITY_CODES:
            self._note_no_capacity(now)
        self.context.log(
            "refused",
            code=code.name,
            retry_s=None if wait is None else round(wait, 3),
            **standing,
            **decision_fields.of_refusal(
                self.context.view,
                self.context.route,
                len(self.context.history.excluded_servers()),
                now,
            ),
            lacks={
                each.value: count
                for each, count in self.context.shortages.items()
            },
            **self.context.refusal,
        )
        self.context.answer.refuse(code, wait)

    def _standing(self, now: float) -> dict[str, object]:
        """Counts a refusal; returns the log fields of who is refused."""
        context = self.context
        fields = decision_fields.of_standing(
            context.view,
            context.client_request,
            context.route,
            context.organisation,
            now,
        )
        route = context.route
        context.lines.counters.refusal(
            urgency="" if route is None else str(route.urgency),
            standing=fields["standing"] or "",
            organisation=fields["organisation"],
            now=now,
        )
        return fields

    def _note_no_capacity(self, now: float) -> None:
        """Counts that no server could accept the request."""
        route = self.context.route
        if route is None:
            return
        service = route.shares[0].service
        shares = share_demands.counting(self.context.view, service)
        if shares is not None:
            shares.served.note_refused(
                service, self.context.organisation_name(), route.urgency, now
            )

    def _retry_seconds(self, code: results.Code, now: float) -> float | None:
        """Returns the seconds until the client may retry, or None."""
        if code is results.Code.CRASHES:
            return (
                self.context.view.suspects.blocked_until(self.context.subjects)
                - now
            )
        if code in NO_CAPACITY_CODES:
            back_at = backoffs.back_at(
                self.context.view, self.context.route, now
            )
            if back_at is not None:
                return router_responses.backoff_retry_seconds(back_at - now)
            if self.context.place_seconds is not None:
                return router_responses.place_retry_seconds(
                    self.context.place_seconds
                )
        return router_responses.retry_seconds(code)
