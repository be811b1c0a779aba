"""Serves one client request, from admission to the complete response."""

import asyncio

import logbook
from returns import result

from pimentoledge import results
from pimentoledge.routing import attempts
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import configurations
from pimentoledge.routing import placements
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import server_permits
from pimentoledge.routing import suspects
from pimentoledge.routing.request_stages import acceptance
from pimentoledge.routing.request_stages import attempt_runs
from pimentoledge.routing.request_stages import contexts
from pimentoledge.routing.request_stages import final_responses
from pimentoledge.routing.request_stages import server_choices
from pimentoledge.routing.request_stages import server_responses

logger = logbook.Logger("exchanges")

# A server sends its own timeout response at the deadline. The router waits
# this much longer before it sends one itself.
ANSWER_GRACE_SECONDS = 0.05


class Exchange:
    """Serves one request.

    Attributes:
        decoded: the decoded request, or the decoding error.
        context: the request, its state and what its stages work with.
        active_exchanges: all exchanges in progress; contains this one while it
            runs.
        final: sends the final response of a request that isn't served.
        acceptance: decides whether the request is accepted.
        choice: chooses the server for each attempt.
        attempt_runs: runs the attempts.
    """

    def __init__(
        self,
        *,
        decoded: result.Result[request_types.ClientRequest, results.Error],
        context: contexts.Context,
        active_exchanges: set["Exchange"],
    ):
        self.decoded = decoded
        self.context = context
        self.active_exchanges = active_exchanges
        self.final = final_responses.FinalResponses(context=context)
        self.acceptance = acceptance.Acceptance(
            context=context, final=self.final
        )
        self.choice = server_choices.ServerChoice(context=context)
        self.attempt_runs = attempt_runs.AttemptRuns(
            context=context,
            responses=server_responses.ServerResponses(context=context),
        )
        self._shutting_down = False
        self._left_reason = ""
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the task; it notifies the client's connection at its end."""
        self.active_exchanges.add(self)
        self._task = asyncio.get_running_loop().create_task(self.run())

    def client_left(self, reason: str) -> None:
        """Handles the end of the client's connection.

        Streams and repeatable calls are cancelled at the server. A call that
        may not be repeated runs to its end once it was sent: the client needs
        its effect, and a partly executed call is of no use.

        Args:
            reason: why the connection ended, for the log.
        """
        self._left_reason = reason
        unsafe = (
            self.context.route is not None
            and self.context.route.kind is configurations.Repeatability.UNSAFE
        )
        if unsafe and self.context.history.runs():
            self.context.log("client_left_call", reason=reason)
            return
        self._task.cancel()

    async def run(self) -> None:
        """Serves the request; never raises."""
        try:
            await self._serve()
        except asyncio.CancelledError:
            self._cancelled()
        except Exception:
            logger.exception("defect")
            self.final.give_up(results.Code.INTERNAL)
        finally:
            self.choice.release_place()
            self.context.end_claim()
            self.context.take_failed_answer()
            if self.context.charge is not None:
                self.context.charge.settle(self.context.history.runs())
            self.active_exchanges.discard(self)

    def _cancelled(self) -> None:
        if self._shutting_down:
            self.final.give_up(retry_rules.timeout_code(self.context.history))
            return
        self.context.log(
            "client_left",
            reason=self._left_reason,
            server=self.context.history.pending,
            silent_ms=contexts.milliseconds(
                self.context.answer.silent_seconds(clocks.now())
            ),
            chosen=self.context.chosen,
        )
        self.context.answer.client.finished()

    def end_now(self) -> None:
        """Sends the final response at once, since the process shuts down."""
        self._shutting_down = True
        self._task.cancel()

    async def _serve(self) -> None:
        match self.decoded:
            case result.Failure(error):
                self.final.refuse(error.code)
                return
            case result.Success(client_request):
                self.context.client_request = client_request
                self.context.answer.begin(client_request)
        code = await self.acceptance.admit(client_request)
        if code is not None:
            self.final.refuse(code)
            return
        self.acceptance.note_prompt(client_request)
        try:
            async with asyncio.timeout(
                self.context.ends_at + ANSWER_GRACE_SECONDS - clocks.now()
            ):
                code = await self.context.binding.resume(
                    client_request, self.context.route
                )
                if code is None:
                    await self._try_servers()
                else:
                    self.final.refuse(code)
        except TimeoutError:
            self.attempt_runs.note_timeout()
            self.final.give_up(retry_rules.timeout_code(self.context.history))
        except suspects.QuarantinedError:
            self.final.give_up(
                retry_rules.quarantine_code(self.context.history)
            )

    async def _try_servers(self) -> None:
        """Sends the request to servers until one of them has responded."""
        until = None
        while True:
            if not await self.acceptance.acquire_quota():
                return
            if until is None:
                until = self.choice.wait_until(clocks.now())
            choice = await self.choice.choose(until)
            if isinstance(choice, placements.NoCapacity):
                self.context.shortages = choice.shortage
                self.final.give_up(self.choice.code_without_choice(choice))
                return
            backend = self.choice.note_choice(choice)
            permit = await self.context.permits.acquire(
                backend, self.context.client_request.request
            )
            if not permit.granted:
                self.context.limit_refusals += 1
                continue
            if permit.charge is not None:
                self.context.chosen["limit"] = permit.charge.limit.per_second
            if not self.choice.consume_retry_budget(backend):
                permit.give_back()
                self.final.give_up(retry_rules.final_code(self.context.history))
                return
            until = None
            try:
                if await self._run_attempt(backend, permit):
                    return
            except attempts.BrokenError as broken:
                self.attempt_runs.record_outcome(backend, broken)
                self.context.log(
                    "attempt_ended",
                    server=backend.registration.incarnation,
                    outcome=broken.outcome,
                    reason=broken.reason,
                    subjects=[each.key for each in self.context.subjects],
                    organisation=self.context.organisation_name(),
                    model=self.context.client_request.model,
                    events=0
                    if self.context.relay is None
                    else self.context.relay.events,
                    connection=self.context.connection_fields(),
                    chosen=self.context.chosen,
                )
            if not self._may_retry():
                self.final.give_up(retry_rules.final_code(self.context.history))
                return

    async def _run_attempt(
        self, backend: backends.Backend, permit: server_permits.Permit
    ) -> bool:
        """Runs an attempt; returns whether the request is answered."""
        answered = False
        try:
            answered = await self.attempt_runs.run(backend, permit)
            return answered
        finally:
            self.choice.note_ended(backend, answered)

    def _may_retry(self) -> bool:
        """Returns whether a further attempt is allowed and of use."""
        more = retry_rules.may_retry(self.context.history, self.context.route)
        return more and self.context.answer.can_resume()

    def withdraw_if_late(self, now: float) -> None:
        """Withdraws an attempt that would start on weights that are too old."""
        self.attempt_runs.withdraw_if_late(now)
