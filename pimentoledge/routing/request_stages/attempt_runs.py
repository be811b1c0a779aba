"""Runs the attempts of a client request."""

from pimentoledge.routing import attempts
from pimentoledge.routing import backends
from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import clocks
from pimentoledge.routing import configurations
from pimentoledge.routing import decision_fields
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import selections
from pimentoledge.routing import server_connections
from pimentoledge.routing import server_permits
from pimentoledge.routing import suspects
from pimentoledge.routing.fair_shares import share_demands
from pimentoledge.routing.request_stages import contexts
from pimentoledge.routing.request_stages import server_responses

# Time after the end of a request in which a response may reach a client that
# was unreachable: a segment is sent again after about as long as it was lost.
RESPONSE_SECONDS = 5.0


class AttemptRuns:
    """Sends a request to servers and records the outcomes.

    Attributes:
        context: the request and its state.
        responses: handles the servers' responses.
    """

    def __init__(
        self,
        *,
        context: contexts.Context,
        responses: server_responses.ServerResponses,
    ):
        self.context = context
        self.responses = responses

    async def run(
        self, backend: backends.Backend, permit: server_permits.Permit
    ) -> bool:
        """Sends the request to a server; returns whether it is answered.

        Raises:
            BrokenError: the attempt gave no response to relay.
        """
        self.context.last_attempt = None
        try:
            connection = await self._connect(backend, permit)
        except BaseException:
            permit.give_back()
            raise
        attempt = attempts.Attempt(
            client_request=self.context.client_request,
            backend=backend,
            dispatch=self._dispatch(backend),
            pool=self.context.pool,
            connection=connection,
            max_idle=selections.max_idle_connections(
                self.context.view, backend.registration.service
            ),
            speeds=selections.speeds_of(
                self.context.view,
                self.context.client_request.model,
                backend.registration.service,
            ),
            fair_shares=share_demands.counting(
                self.context.view, backend.registration.service
            ),
        )
        self.context.history.sent(backend.registration.incarnation)
        self.context.sent_at = clocks.now()
        self.context.view.suspects.start_trial(
            self.context.subjects, self.context.sent_at
        )
        if not self.context.route.repeatable():
            self._hold_client()
        self.context.current_attempt = attempt
        self.context.last_attempt = attempt
        self.context.relay = None
        self.context.release_place()
        try:
            connection.count_for(self.context.answer.client.holder)
            attempt.start()
            self.context.prompt_changed(
                self.context.client_request.prompt_tokens, clocks.now()
            )
            return await self._receive(attempt)
        except attempts.BrokenError as broken:
            if broken.exceeded is not None:
                self._log_exceeded(backend, broken.exceeded)
            raise
        finally:
            self.context.current_attempt = None
            attempt.close()
            connection.stop_counting()

    def _hold_client(self) -> None:
        """Keeps the client's connection for as long as it may wait."""
        client_request = self.context.client_request
        wait = client_request.wait_seconds or request_types.DEFAULT_WAIT_SECONDS
        self.context.answer.client.hold_until(
            min(
                client_request.arrived + wait,
                self.context.ends_at + RESPONSE_SECONDS,
            )
        )

    def _log_exceeded(
        self, backend: backends.Backend, exceeded: buffer_bounds.Exceeded
    ) -> None:
        self.context.log(
            "bound_exceeded",
            server=backend.registration.incarnation,
            bound=exceeded.bound.value,
            bytes=exceeded.size,
        )

    async def _connect(
        self, backend: backends.Backend, permit: server_permits.Permit
    ) -> server_connections.ServerConnection:
        """Returns a connection on which the request may be sent.

        Raises:
            BrokenError: there is none.
        """
        address = backend.registration.address
        try:
            connection = await self.context.pool.acquire(
                address, request=self.context.client_request.request
            )
        except server_connections.CannotConnectError as error:
            backend.note_connection_failure(clocks.now())
            self.context.died(backend.registration.incarnation)
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.UNSENT, str(error)
            ) from error
        try:
            self.context.check_quarantine()
        except suspects.QuarantinedError:
            connection.abort()
            raise
        unavailable_reason = self._unavailable_reason(backend, permit)
        if unavailable_reason is not None:
            # Nothing has been sent yet.
            connection.abort()
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.UNSENT, unavailable_reason
            )
        return connection

    def _unavailable_reason(
        self, backend: backends.Backend, permit: server_permits.Permit
    ) -> str | None:
        """Returns why a chosen server must not get the request, or None.

        A permit and a connection take up to a second, in which newer reports
        about the server may arrive.
        """
        now = clocks.now()
        if backend.is_leaving():
            return "it started to drain meanwhile"
        if backend.is_backing_off(now):
            return "it announced a backoff meanwhile"
        if self.context.permits.is_missing(backend, permit):
            return "it announced a limit meanwhile"
        model = self.context.client_request.model
        if not selections.weights_allow(self.context.view, model, backend, now):
            return "its weights became too old meanwhile"
        return None

    def _dispatch(self, backend: backends.Backend) -> request_types.Dispatch:
        """Builds the dispatch to a server and records the expected cache."""
        now = clocks.now()
        dispatch = selections.dispatch(
            view=self.context.view,
            client_request=self.context.client_request,
            route=self.context.route,
            organisation=self.context.organisation,
            backend=backend,
            resume_after=self.context.answer.last_event,
            seconds_left=self.context.ends_at - now,
            now=now,
        )
        self.context.chosen |= decision_fields.of_dispatch(
            self.context.client_request, backend, dispatch
        )
        selections.note_sent(
            self.context.view,
            self.context.client_request,
            backend,
            dispatch,
            now,
        )
        return dispatch

    async def _receive(self, attempt: attempts.Attempt) -> bool:
        answer, head = await attempt.read_head()
        self.responses.update_server_state(attempt, answer)
        streams = self.context.route.kind is configurations.Repeatability.STREAM
        if streams and answer.status == 200 and answer.signed:
            await self.responses.stream(
                attempt, answer, framed=not head.ends_by_close
            )
            return True
        length = head.body_length()
        body, complete = await attempt.collect_body(length)
        if not complete:
            await self.responses.relay_body(attempt, answer, body, length)
            return True
        attempt.release(answer)
        # What the client doesn't read of it counts as unsent from now on.
        attempt.connection.stop_counting()
        self.responses.handle(
            attempt.backend, answer, body, framed=not head.ends_by_close
        )
        return True

    def withdraw_if_late(self, now: float) -> None:
        """Withdraws an attempt that would start on weights that are too old.

        A slow or full runner may start a request seconds after it was sent.
        Closing the connection cancels the request there.
        """
        attempt = self.context.current_attempt
        if attempt is None or attempt.withdrawn or attempt.has_begun():
            return
        withdrawn_at = self.context.view.withdrawn_at(
            self.context.client_request.model, attempt.dispatch.weights
        )
        if withdrawn_at is not None and now >= withdrawn_at:
            attempt.withdraw("not begun before its weights were too old")

    def note_timeout(self) -> None:
        """Counts a deadline that passed without a response as a failure."""
        pending = self.context.history.pending
        backend = self.context.view.servers.by_incarnation.get(pending)
        if backend is not None and not self.context.answer.head_sent:
            backend.note_request_failure(clocks.now())
            self._record_break(backend, silent=True)

    def record_outcome(
        self, backend: backends.Backend, broken: attempts.BrokenError
    ) -> None:
        """Records how an attempt at a server ended without a response."""
        incarnation = backend.registration.incarnation
        self.context.history.note_outcome(incarnation, broken.outcome)
        if broken.is_server_fault():
            backend.note_request_failure(clocks.now())
            self._record_break(backend, broken.silent)

    def _record_break(self, backend: backends.Backend, silent: bool) -> None:
        """Records that a server gave no response, which may be a crash.

        A request crashes a server as its answer begins, so one whose answer
        has gone on is not the cause.
        """
        incarnation = backend.registration.incarnation
        subjects = (
            () if self.context.has_proved_sound() else self.context.subjects
        )
        self.context.broke(subjects, incarnation, self.context.sent_at, silent)
        self.context.check_alive(backend)
