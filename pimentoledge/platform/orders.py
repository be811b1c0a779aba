"""Sends orders to runners and reads their reports."""

from collections.abc import Callable

import attrs

from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.platform import requests
from pimentoledge.routing import calls
from pimentoledge.routing import http_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import rollouts

# A runner accepts or refuses an order at once. One that has not responded by
# then may still execute the order seconds later.
ORDER_TIMEOUT_SECONDS = 0.4
REPORT_TIMEOUT_SECONDS = 0.4
# Running requests continue while the weights change.
SWITCH_MODE = "keep"

_EXPECTED_INCARNATION = names.EXPECTED_INCARNATION.decode()


@attrs.define(kw_only=True)
class RunnerClient:
    """Sends orders to runners and requests their reports.

    Attributes:
        caller: makes the calls.
        holder: name of this process as the sender of orders.
        on_response: called with the runner and the head of its response.
    """

    caller: calls.Caller
    holder: str
    on_response: Callable[
        [registrations.Registration, request_types.ServerResponse], None
    ] = lambda runner, response: None

    async def report(
        self, runner: registrations.Registration
    ) -> rollouts.RunnerReport | registrations.Unavailable:
        """Requests a runner's report of its state."""
        try:
            reply = await self.caller.call(
                address=runner.address,
                method="GET",
                target=names.REPORT_PATH,
                headers=((_EXPECTED_INCARNATION, runner.server),),
                seconds=REPORT_TIMEOUT_SECONDS,
                exclusive=True,
            )
        except calls.CallError as error:
            return registrations.Unavailable(
                reason=str(error), maybe_done=False
            )
        self._notify_response(runner, reply)
        if reply.status != 200:
            return registrations.Unavailable(
                reason=f"status {reply.status}", maybe_done=False
            )
        try:
            runner_report = objects.decode_runner_report(reply.body)
        except ValueError as error:
            return registrations.Unavailable(
                reason=f"unreadable: {error}", maybe_done=False
            )
        if runner_report.leaving and runner_report.born in (None, runner.born):
            self._notify_response(runner, reply, leaving=True)
        return runner_report

    async def load(
        self, runner: registrations.Registration, order: rollouts.LoadOrder
    ) -> rollouts.OrderVerdict:
        """Orders a runner to load weights; returns its verdict."""
        try:
            reply = await self.caller.call(
                address=runner.address,
                method="POST",
                target=names.ORDER_PATH,
                headers=((_EXPECTED_INCARNATION, runner.server),),
                body={
                    "op": "version",
                    "model": order.model,
                    "version": order.version,
                    "switchMode": SWITCH_MODE,
                    "holder": self.holder,
                    "fence": order.fence,
                    "precondition": order.orders_taken,
                },
                seconds=ORDER_TIMEOUT_SECONDS,
                exclusive=True,
            )
        except calls.CallError as error:
            if not error.sent:
                return rollouts.OrderVerdict.UNREACHED
            return rollouts.OrderVerdict.UNKNOWN
        self._notify_response(runner, reply)
        return _VERDICTS_BY_STATUS.get(
            reply.status, rollouts.OrderVerdict.REFUSED
        )

    def _notify_response(
        self,
        runner: registrations.Registration,
        reply: calls.Reply,
        *,
        leaving: bool = False,
    ) -> None:
        head = http_messages.ResponseHead(
            status=reply.status,
            headers=reply.headers,
            keep_alive=True,
            ends_by_close=False,
        )
        response = requests.decode_response_head(head)
        response.leaving |= leaving
        self.on_response(runner, response)


_VERDICTS_BY_STATUS = {
    202: rollouts.OrderVerdict.TAKEN,
    200: rollouts.OrderVerdict.HOLDS,
    # Another order is in progress, or the count of orders differs.
    409: rollouts.OrderVerdict.OUT_OF_STEP,
    412: rollouts.OrderVerdict.FENCED,
    421: rollouts.OrderVerdict.WRONG_SERVER,
}
