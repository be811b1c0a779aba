"""Handles the responses of servers to a client request."""

from pimentoledge.platform import requests
from pimentoledge.routing import attempts
from pimentoledge.routing import backends
from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import clocks
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import router_responses
from pimentoledge.routing import selections
from pimentoledge.routing import server_notices
from pimentoledge.routing import stream_relays
from pimentoledge.routing.request_stages import contexts

GATEWAY_TIMEOUT = 504


class ServerResponses:
    """Relays responses, and records what they show of their servers.

    Attributes:
        context: the request and its state.
    """

    def __init__(self, *, context: contexts.Context):
        self.context = context

    def update_server_state(
        self, attempt: attempts.Attempt, answer: request_types.ServerResponse
    ) -> None:
        """Applies what a response head reports about its server."""
        backend = attempt.backend
        self.context.notices.apply(backend, answer, attempt.sent)
        if answer.load is not None:
            backend.update_load(answer.load, clocks.now())
            self.context.view.load_control.note_report(
                backend.registration.service, answer.load
            )
        reported = answer.server
        if reported is not None and reported != backend.registration.server:
            # Another incarnation, or another service's server, now uses the
            # address.
            backend.ended = True
            if not backend.announced_leaving():
                self.context.died(backend.registration.incarnation)
            self.context.log(
                "server_over",
                server=backend.registration.incarnation,
                found=reported,
            )
        elif answer.status != server_notices.MISDIRECTED:
            self._record_life(backend, attempt.sent)

    def _record_life(self, backend: backends.Backend, sent_at: float) -> None:
        """Records that a server has answered a request."""
        incarnation = backend.registration.incarnation
        for subject in self.context.view.suspects.record_life(
            incarnation, sent_at
        ):
            self.context.log(
                "crash_refuted", subject=subject, server=incarnation
            )

    def handle(
        self,
        backend: backends.Backend,
        answer: request_types.ServerResponse,
        body: bytes,
        *,
        framed: bool,
    ) -> None:
        """Relays a complete response.

        Args:
            backend: the server.
            answer: its response.
            body: the whole body.
            framed: whether the response told where it ends.

        Raises:
            BrokenError: the response must not be relayed.
        """
        if answer.not_run:
            self._record_refusal(backend, answer, clocks.now())
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.NOT_RUN,
                f"{answer.status}: not run, load {_load_text(answer.load)}",
            )
        self._check_response(answer)
        if requests.holds_response_to(
            body, self.context.client_request.request
        ):
            raise attempts.broken("holds another response")
        if answer.status < 300 and not framed and not body:
            raise attempts.broken("ended with its connection and no body")
        self._record_status(backend, answer.status, framed=framed)
        if answer.status >= 500 and self._would_retry():
            self.context.keep_failed_answer(answer, body)
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.FAILED, f"status {answer.status}"
            )
        self.context.take_failed_answer()
        self.context.answer.pass_on(answer, body)
        self._log_answered(backend, answer)

    def _check_response(self, answer: request_types.ServerResponse) -> None:
        """Raises BrokenError if a response must not be relayed."""
        if answer.status in router_responses.NOT_RUN_STATUSES or answer.encoded:
            # The status promises that the request did not run, but the
            # response isn't marked "not run": the promise may be false.
            raise attempts.broken(f"status {answer.status}")
        if answer.status < 300 and not answer.signed:
            raise attempts.broken("no signature")
        if self.context.answer.head_sent:
            # A second response head must not follow a stream's first events.
            raise attempts.broken(
                f"status {answer.status} instead of a stream's rest"
            )

    def _log_answered(
        self, backend: backends.Backend, answer: request_types.ServerResponse
    ) -> None:
        self.context.log(
            "answered",
            server=backend.registration.incarnation,
            status=answer.status,
            connection=self.context.connection_fields(),
            chosen=self.context.chosen,
        )

    async def relay_body(
        self,
        attempt: attempts.Attempt,
        answer: request_types.ServerResponse,
        first: bytes,
        length: int | None,
    ) -> None:
        """Relays a body that is too large to be held, as it arrives.

        Args:
            attempt: the attempt.
            answer: the head of its response.
            first: the bytes of the body that were collected.
            length: length of the body, or None if it was not announced.

        Raises:
            BrokenError: the response must not be relayed, or ended early.
        """
        backend = attempt.backend
        if answer.not_run:
            # A server that refuses has no such body to send.
            raise attempts.over_bound(
                buffer_bounds.Bound.BODY, max(len(first), length or 0)
            )
        self._check_response(answer)
        if answer.status >= 500 and self._would_retry():
            self._record_status(backend, answer.status, framed=False)
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.FAILED, f"status {answer.status}"
            )
        connection = attempt.connection
        connection.reads_ahead = False
        self.context.take_failed_answer()
        self.context.answer.begin_body(answer, length)
        if connection.holder is not None:
            connection.holder.note(buffer_budgets.Part.COLLECTED, 0)
        await self.context.answer.pass_body(first)
        while (chunk := await attempt.next_chunk()) is not None:
            await self.context.answer.pass_body(chunk)
        framed = not connection.ends_by_close
        self._record_status(backend, answer.status, framed=framed)
        attempt.release(answer)
        self.context.answer.end_body()
        self._log_answered(backend, answer)

    def _record_status(
        self, backend: backends.Backend, status: int, *, framed: bool
    ) -> None:
        """Counts a complete response as a success or failure of its server.

        A server that fails requests responds fast and would attract all
        traffic if failures did not count. Its own timeout does not count as a
        failure, as it may come from the request's short deadline.
        """
        if status >= 500 and status != GATEWAY_TIMEOUT:
            backend.note_request_failure(clocks.now())
        else:
            backend.note_success()
        if status < 300 and framed:
            self._record_success()

    def _record_success(self) -> None:
        """Records that a server has run the request without a crash.

        Other responses prove nothing: a faulty server may fail any request
        without running it, and one that crashes may end its response early.
        """
        now = clocks.now()
        for each in self.context.subjects:
            if self.context.view.suspects.record_success(each.key, now):
                self.context.log("suspicion_cleared", subject=each.key)

    def _record_refusal(
        self,
        backend: backends.Backend,
        answer: request_types.ServerResponse,
        now: float,
    ) -> None:
        """Handles a server's response that it did not run the request."""
        backend.back_off_full(now)
        load = answer.load
        full = load is not None and load.running + load.waiting >= load.slots
        weights = selections.expected_weights(
            self.context.view, self.context.client_request.model, backend
        )
        wanted = not backend.is_leaving() and not backend.is_unavailable(now)
        if weights is not None and not full and wanted:
            # It loads weights, or its weights differ from the cached state.
            self.context.recheck(backend)

    def _would_retry(self) -> bool:
        more = (
            len(self.context.history.ran_on) + 1
            < self.context.route.most_servers
        )
        return self.context.route.repeatable() and more

    async def stream(
        self,
        attempt: attempts.Attempt,
        answer: request_types.ServerResponse,
        *,
        framed: bool,
    ) -> None:
        """Relays a stream.

        Raises:
            BrokenError: the stream ended early.
        """
        registration = attempt.backend.registration
        self.context.relay = stream_relays.StreamRelay(
            attempt=attempt,
            response=answer,
            answer=self.context.answer,
            framed=framed,
            observes_speed=self.context.view.load_control.applies(
                registration.service
            ),
            on_first=lambda: self._record_first_event(attempt),
            on_event=lambda: self._begin_events(registration.stream_software),
            on_proved=self._record_success,
        )
        await self.context.relay.run()
        attempt.backend.note_success()
        if self.context.client_request.resume_after is None:
            attempt.backend.speed.pace.note_stream(
                self.context.relay.events,
                self.context.client_request.answer_tokens,
            )
        if framed:
            self._record_success()
        attempt.release(answer)
        self.context.answer.end_stream(answer)
        self._log_stream(attempt.backend)

    def _begin_events(self, software: str) -> None:
        """Prepares for the first events of a stream."""
        self.context.take_failed_answer()
        self.context.binding.begin(
            self.context.client_request, self.context.route, software
        )

    def _log_stream(self, backend: backends.Backend) -> None:
        first = self.context.answer.first_seconds
        if first is not None:
            self.context.lines.counters.first_event(first)
        self.context.log(
            "streamed",
            server=backend.registration.incarnation,
            last=self.context.answer.last_event,
            first_ms=contexts.milliseconds(first),
            gap_ms=contexts.milliseconds(self.context.answer.gap_seconds),
            late=self._late_part(),
            connection=self.context.connection_fields(),
            chosen=self.context.chosen,
        )

    def _late_part(self) -> str | None:
        """Returns which objective of its route a complete stream missed.

        "first" stands for the time to the first event, "pause" for the longest
        time between two events, None for neither.
        """
        first = self.context.answer.first_seconds
        if first is not None and first > self.context.route.objective_seconds:
            return "first"
        most = self.context.route.gap_seconds
        if most is not None and self.context.answer.gap_seconds > most:
            return "pause"
        return None

    def _record_first_event(self, attempt: attempts.Attempt) -> None:
        """Records that the prompt was read, once the first bytes arrive."""
        if attempt.account.prompt_read:
            return
        known = self.context.view.first_event(self.context.client_request.model)
        attempt.account.note_first_event(known, clocks.now())
        selections.note_read(
            self.context.view,
            self.context.client_request,
            attempt.backend,
            attempt.dispatch,
            clocks.now(),
        )
        self.context.prompt_changed(
            self.context.client_request.prompt_tokens, clocks.now()
        )


def _load_text(load: request_types.ServerLoad | None) -> str:
    if load is None:
        return "unknown"
    return f"{load.running}+{load.waiting} of {load.slots}"
