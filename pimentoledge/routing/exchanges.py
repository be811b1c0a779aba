"""Serves one client request, from admission to the complete response."""

import asyncio
from collections.abc import Callable

import logbook
from returns import result

from pimentoledge import results
from pimentoledge.routing import attempts
from pimentoledge.routing import backends
from pimentoledge.routing import backoffs
from pimentoledge.routing import capacity_checks
from pimentoledge.routing import charges
from pimentoledge.routing import client_responses
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import decision_fields
from pimentoledge.routing import log_lines
from pimentoledge.routing import memory_estimates
from pimentoledge.routing import placements
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import router_responses
from pimentoledge.routing import selections
from pimentoledge.routing import server_connections
from pimentoledge.routing import server_deaths
from pimentoledge.routing import server_notices
from pimentoledge.routing import server_permits
from pimentoledge.routing import stale_configurations
from pimentoledge.routing import stream_bindings
from pimentoledge.routing import stream_relays
from pimentoledge.routing import stream_version_exchanges
from pimentoledge.routing import suspects
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters

logger = logbook.Logger("exchanges")

# A server sends its own timeout response at the deadline. The router waits
# this much longer before it sends one itself.
ANSWER_GRACE_SECONDS = 0.05
GATEWAY_TIMEOUT = 504
# Part of the route's latency objective that a request may wait in the router
# for a free server before it is refused.
WAIT_SHARE = 0.12
WAIT_STEP_SECONDS = 0.02
# After this many refused permits, a request excludes all servers with a limit.
MAX_PERMIT_REFUSALS = 3
# Codes of refusals because no server can accept the request.
NO_CAPACITY_CODES = frozenset((results.Code.NO_SERVER, results.Code.OVERLOADED))


class Exchange:
    """Serves one request.

    Attributes:
        decoded: the decoded request, or the decoding error.
        answer: the response to the client.
        view: cached state of the cluster.
        pool: connections to servers.
        lines: writes the decision log.
        active_exchanges: all exchanges in progress; contains this one while it
            runs.
        died: called with the incarnation of a server that has ended, or that
            accepts no connections.
        broke: called with the subjects of the request, the incarnation of a
            server that gave no complete response to it, when it was sent, and
            whether the server was silent rather than closed the connection.
        check_alive: called with a server of which a connection broke.
        recheck: called with a server whose state differs from the cached one.
        prompt_changed: called with the number of tokens of a prompt that was
            sent to or read by a server, and the time.
        limiter: enforces the organisations' limits.
        notices: applies what responses report about their servers.
        permits: enforces the limits that servers have announced.
        binding: the software version to which its stream is bound.
        subjects: what the request may crash servers by, its content first;
            empty before it is accepted.
        history: the attempts made so far.
        client_request: the decoded request, or None before it is available.
        route: the route that matched when the request was accepted.
        organisation: the organisation that the API key belongs to, or None.
        charge: what the request acquires of the organisation's limit, or None
            without a limit.
    """

    def __init__(
        self,
        *,
        decoded: result.Result[request_types.ClientRequest, results.Error],
        client,
        view: cluster_views.ClusterView,
        pool: server_connections.ConnectionPool,
        lines: log_lines.Lines,
        active_exchanges: set["Exchange"],
        died: Callable[[str], None],
        broke: Callable[
            [tuple[server_deaths.Subject, ...], str, float, bool], None
        ],
        check_alive: Callable[[backends.Backend], None],
        recheck: Callable[[backends.Backend], None],
        prompt_changed: Callable[[int, float], None],
        limiter: limiters.Limiter,
        notices: server_notices.ServerNotices,
        permits: server_permits.Permits,
        stream_versions: stream_version_exchanges.StreamVersionExchange,
    ):
        self.decoded = decoded
        self.died = died
        self.broke = broke
        self.check_alive = check_alive
        self.recheck = recheck
        self.prompt_changed = prompt_changed
        self.limiter = limiter
        self.notices = notices
        self.permits = permits
        self.binding = stream_bindings.StreamBinding(versions=stream_versions)
        self.answer = client_responses.ClientResponse(client=client)
        self.view = view
        self.pool = pool
        self.lines = lines
        self.active_exchanges = active_exchanges
        self.subjects: tuple[server_deaths.Subject, ...] = ()
        self.history = retry_rules.AttemptHistory()
        self.client_request: request_types.ClientRequest | None = None
        self.route: configurations.Route | None = None
        self.organisation: configurations.Organisation | None = None
        self.charge: charges.Charge | None = None
        self._ends_at = 0.0
        self._shutting_down = False
        self._chosen: dict[str, object] = {}
        self._shortages: dict[capacity_checks.Shortage, int] = {}
        self._limit_refusals = 0
        # Whether the retry budget has counted this request.
        self._counted = False
        # When the newest attempt was sent.
        self._sent_at = 0.0
        # The stream of the newest attempt, if it got one.
        self._relay: stream_relays.StreamRelay | None = None
        self._task: asyncio.Task | None = None
        self._current_attempt: attempts.Attempt | None = None
        self._failed_answer: (
            tuple[request_types.ServerResponse, bytes] | None
        ) = None

    def start(self) -> None:
        """Starts the task; it notifies the client's connection at its end."""
        self.active_exchanges.add(self)
        self._task = asyncio.get_running_loop().create_task(self.run())

    def client_left(self) -> None:
        """Handles a client that closed its connection.

        Streams and repeatable calls are cancelled at the server. A call that
        may not be repeated runs to its end once it was sent: the client needs
        its effect, and a partly executed call is of no use.
        """
        unsafe = (
            self.route is not None
            and self.route.kind is configurations.Repeatability.UNSAFE
        )
        if unsafe and self.history.sends:
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
            self._give_up(results.Code.INTERNAL)
        finally:
            if self.charge is not None:
                self.charge.settle(self.history.runs())
            self.active_exchanges.discard(self)

    def _cancelled(self) -> None:
        if self._shutting_down:
            self._give_up(retry_rules.timeout_code(self.history))
            return
        self._log(
            "client_left",
            server=self.history.pending,
            silent_ms=_ms(self.answer.silent_seconds(clocks.now())),
            chosen=self._chosen,
        )
        self.answer.client.finished()

    def end_now(self) -> None:
        """Sends the final response at once, since the process shuts down."""
        self._shutting_down = True
        self._task.cancel()

    async def _serve(self) -> None:
        match self.decoded:
            case result.Failure(error):
                self._refuse(error.code)
                return
            case result.Success(client_request):
                self.client_request = client_request
                self.answer.begin(client_request)
        code = await self._admit(client_request)
        if code is not None:
            self._refuse(code)
            return
        self._note_prompt(client_request)
        try:
            async with asyncio.timeout(
                self._ends_at + ANSWER_GRACE_SECONDS - clocks.now()
            ):
                code = await self.binding.resume(client_request, self.route)
                if code is None:
                    await self._try_servers()
                else:
                    self._refuse(code)
        except TimeoutError:
            self._note_timeout()
            self._give_up(retry_rules.timeout_code(self.history))
        except suspects.QuarantinedError:
            self._give_up(retry_rules.quarantine_code(self.history))

    def _note_prompt(self, client_request: request_types.ClientRequest) -> None:
        """Counts the prompt of an accepted request in its model's mean."""
        if client_request.model:
            self.view.mean_unshared(client_request.model).note(
                memory_estimates.unshared_tokens(client_request)
            )

    def _note_timeout(self) -> None:
        """Counts a deadline that passed without a response as a failure."""
        pending = self.history.pending
        backend = self.view.servers.by_incarnation.get(pending)
        if backend is not None and not self.answer.head_sent:
            backend.note_request_failure(clocks.now())
            self._record_break(backend, silent=True)

    async def _admit(
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
                behind_since=self.view.behind_since,
                bound_seconds=self.view.bounds.configuration_seconds,
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
        if self.view.refusing:
            # The end of the grace time could interrupt a request started now.
            return results.Code.SHUTTING_DOWN
        configuration = self.view.configuration
        if configuration is None:
            return results.Code.CONFIGURATION_INCOMPLETE
        route = configuration.match(client_request.host, client_request.path)
        if route is None:
            return results.Code.NOT_FOUND
        if configuration.by_key is not None and not route.open:
            self.organisation = configuration.by_key.get(client_request.key)
            if self.organisation is None:
                return results.Code.BAD_KEY
            self.charge = self._charge(configuration.version)
        self.route = route
        wait = client_request.wait_seconds
        if wait is None:
            wait = request_types.DEFAULT_WAIT_SECONDS
        self._ends_at = client_request.arrived + min(
            wait, route.timeout_seconds
        )
        self.subjects = suspects.subjects_of(
            client_request, self._organisation_name()
        )
        if self._blocking_subject() is not None:
            return results.Code.CRASHES
        return None

    def _blocking_subject(self) -> str | None:
        return self.view.suspects.blocking(self.subjects, clocks.now())

    def _organisation_name(self) -> str:
        return "" if self.organisation is None else self.organisation.name

    def _charge(self, version: int) -> charges.Charge | None:
        """Returns what the request has to acquire, or None without a limit."""
        quota = self.organisation.quota
        if quota is None:
            return None
        return charges.Charge(
            limiter=self.limiter,
            organisation=self.organisation.name,
            limit=ledgers.Limit(
                version=version,
                per_second=quota.per_second,
                burst=quota.burst,
            ),
            cost=quota.cost(self.client_request.tokens()),
        )

    async def _acquire_quota(self) -> bool:
        """Acquires quota for a further run.

        Returns whether the limit allows it; if not, the request is refused.
        """
        if self.charge is None:
            return True
        if len(self.charge.owners) > self.history.runs():
            return True
        answer = await self.charge.acquire()
        if answer.decision.granted:
            return True
        self._refuse_over_limit(answer)
        return False

    def _refuse_over_limit(self, answer: limiters.AcquireResult) -> None:
        """Refuses a request that exceeds its organisation's limit."""
        decision = answer.decision
        known = charges.is_known(answer)
        code = results.Code.RATE_LIMITED
        if not known:
            code = results.Code.LIMIT_UNKNOWN
        self.lines.counters.decided(
            "limited", f"urgency {self.organisation.urgency}"
        )
        self._log(
            "limited",
            code=code.name,
            organisation=self.organisation.name,
            cost=self.charge.cost,
            left=round(decision.left),
            share=round(decision.share, 3),
            owner=answer.owner,
            answer_ms=_ms(answer.seconds),
            limit_version=self.charge.limit.version,
            wait_s=decision.wait_seconds,
        )
        if self.history.runs():
            self._give_up(retry_rules.final_code(self.history))
            return
        if known:
            wait = router_responses.limit_retry_seconds(decision.wait_seconds)
        else:
            wait = router_responses.retry_seconds(code)
        self.answer.refuse(code, wait)

    async def _try_servers(self) -> None:
        """Sends the request to servers until one of them has responded."""
        until = None
        while True:
            if not await self._acquire_quota():
                return
            if until is None:
                seconds = WAIT_SHARE * self.route.objective_seconds
                until = clocks.now() + seconds
            choice = await self._choose(until)
            if isinstance(choice, placements.NoCapacity):
                self._shortages = choice.shortage
                self._give_up(self._code_without_choice(choice))
                return
            backend = self._note_choice(choice)
            permit = await self.permits.acquire(
                backend, self.client_request.request
            )
            if not permit.granted:
                self._limit_refusals += 1
                continue
            if permit.charge is not None:
                self._chosen["limit"] = permit.charge.limit.per_second
            if not self._consume_retry_budget(backend):
                permit.give_back()
                self._give_up(retry_rules.final_code(self.history))
                return
            until = None
            try:
                if await self._attempt(backend, permit):
                    return
            except attempts.BrokenError as broken:
                self._record_outcome(backend, broken.outcome, broken.silent)
                self._log(
                    "attempt_ended",
                    server=backend.registration.incarnation,
                    outcome=broken.outcome,
                    reason=broken.reason,
                    subjects=[each.key for each in self.subjects],
                    organisation=self._organisation_name(),
                    model=self.client_request.model,
                    events=0 if self._relay is None else self._relay.events,
                    chosen=self._chosen,
                )
            if not self._may_retry():
                self._give_up(retry_rules.final_code(self.history))
                return

    def _code_without_choice(
        self, no_capacity: placements.NoCapacity
    ) -> results.Code:
        """Returns the code of a request for which no server can be chosen."""
        code = retry_rules.final_code(self.history)
        if code is results.Code.NO_SERVER and self._has_lost_its_version():
            return results.Code.STREAM_VERSION_GONE
        if code is not results.Code.NO_SERVER or not no_capacity.shortage:
            return code
        return results.Code.OVERLOADED

    def _may_retry(self) -> bool:
        """Returns whether a further attempt is allowed and of use."""
        more = retry_rules.may_retry(self.history, self.route)
        return more and self.answer.can_resume()

    def _record_outcome(
        self,
        backend: backends.Backend,
        outcome: retry_rules.AttemptOutcome,
        silent: bool,
    ) -> None:
        incarnation = backend.registration.incarnation
        self.history.note_outcome(incarnation, outcome)
        if outcome is retry_rules.AttemptOutcome.BROKE:
            backend.note_request_failure(clocks.now())
            self._record_break(backend, silent)

    def _record_break(self, backend: backends.Backend, silent: bool) -> None:
        """Records that a server gave no response, which may be a crash.

        A request crashes a server as its answer begins, so one whose answer
        has gone on is not the cause.
        """
        incarnation = backend.registration.incarnation
        subjects = () if self._has_proved_sound() else self.subjects
        self.broke(subjects, incarnation, self._sent_at, silent)
        self.check_alive(backend)

    def _check_quarantine(self) -> None:
        """Raises QuarantinedError if the request must not be sent any more.

        Its subjects may have crashed servers while it waited here, or by its
        own attempts.
        """
        subject = self._blocking_subject()
        if subject is not None:
            raise suspects.QuarantinedError(subject)

    def _has_proved_sound(self) -> bool:
        """Returns whether the server's answer has gone on after it began."""
        return self._relay is not None and self._relay.has_proved_sound()

    def _consume_retry_budget(self, backend: backends.Backend) -> bool:
        """Counts a first send or a retry; returns whether it may be sent."""
        service = backend.registration.service
        budget = self.view.budget(service)
        now = clocks.now()
        if not self._counted:
            self._counted = True
            budget.note_request(now)
        if not self.history.sends:
            return True
        return budget.try_consume(now, self.view.members)

    def _note_choice(self, choice: placements.Choice) -> backends.Backend:
        """Saves the data that the choice was based on for the log."""
        self._chosen = decision_fields.of_choice(
            self.view, self.client_request, choice, clocks.now()
        )
        return choice.backend

    async def _choose(
        self, until: float
    ) -> placements.Choice | placements.NoCapacity:
        """Returns the server to send to; waits for a free one if necessary.

        Args:
            until: end of the wait, in seconds of clocks.now.
        """
        while True:
            self._check_quarantine()
            now = clocks.now()
            choice = selections.select(
                view=self.view,
                client_request=self.client_request,
                route=self.route,
                organisation=self.organisation,
                without=self._excluded(),
                now=now,
                software=self.binding.software,
            )
            if isinstance(choice, placements.Choice) or now >= until:
                return choice
            if self._has_lost_its_version():
                return choice
            back_at = backoffs.back_at(
                self.view, self.route, now, self._excluded()
            )
            if back_at is not None and back_at > until:
                return choice
            await asyncio.sleep(WAIT_STEP_SECONDS)

    def _has_lost_its_version(self) -> bool:
        """Returns whether no server can go on with the stream."""
        software = self.binding.software
        return software is not None and not selections.has_software(
            self.view, self.route, software, self._excluded()
        )

    def _excluded(self) -> set[str]:
        """Returns the servers that the request must not be sent to.

        After MAX_PERMIT_REFUSALS they include all servers with a limit.
        """
        excluded = self.history.excluded_servers()
        if self._limit_refusals >= MAX_PERMIT_REFUSALS:
            excluded = excluded | self.view.server_limits.limited()
        return excluded

    async def _connect(
        self, backend: backends.Backend, permit: server_permits.Permit
    ) -> server_connections.ServerConnection:
        """Returns a connection on which the request may be sent.

        Raises:
            BrokenError: there is none.
        """
        address = backend.registration.address
        try:
            connection = await self.pool.acquire(address)
        except server_connections.CannotConnectError as error:
            backend.note_connection_failure(clocks.now())
            self.died(backend.registration.incarnation)
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.UNSENT, str(error)
            ) from error
        try:
            self._check_quarantine()
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
        if self.permits.is_missing(backend, permit):
            return "it announced a limit meanwhile"
        model = self.client_request.model
        if not selections.weights_allow(self.view, model, backend, now):
            return "its weights became too old meanwhile"
        return None

    async def _attempt(
        self, backend: backends.Backend, permit: server_permits.Permit
    ) -> bool:
        """Sends the request to a server; returns whether it is answered.

        Raises:
            BrokenError: the attempt gave no response to relay.
        """
        try:
            connection = await self._connect(backend, permit)
        except BaseException:
            permit.give_back()
            raise
        attempt = attempts.Attempt(
            client_request=self.client_request,
            backend=backend,
            dispatch=self._dispatch(backend),
            pool=self.pool,
            connection=connection,
            max_idle=selections.max_idle_connections(
                self.view, backend.registration.service
            ),
            speeds=selections.speeds_of(
                self.view,
                self.client_request.model,
                backend.registration.service,
            ),
        )
        self.history.sent(backend.registration.incarnation)
        self._sent_at = clocks.now()
        self.view.suspects.start_trial(self.subjects, self._sent_at)
        self._current_attempt = attempt
        self._relay = None
        try:
            attempt.start()
            self.prompt_changed(self.client_request.prompt_tokens, clocks.now())
            return await self._receive(attempt)
        finally:
            self._current_attempt = None
            attempt.close()

    def withdraw_if_late(self, now: float) -> None:
        """Withdraws an attempt that would start on weights that are too old.

        A slow or full runner may start a request seconds after it was sent.
        Closing the connection cancels the request there.
        """
        attempt = self._current_attempt
        if attempt is None or attempt.withdrawn or attempt.has_begun():
            return
        withdrawn_at = self.view.withdrawn_at(
            self.client_request.model, attempt.dispatch.weights
        )
        if withdrawn_at is not None and now >= withdrawn_at:
            attempt.withdraw("not begun before its weights were too old")

    def _dispatch(self, backend: backends.Backend) -> request_types.Dispatch:
        """Builds the dispatch to a server and records the expected cache."""
        now = clocks.now()
        dispatch = selections.dispatch(
            view=self.view,
            client_request=self.client_request,
            route=self.route,
            organisation=self.organisation,
            backend=backend,
            resume_after=self.answer.last_event,
            seconds_left=self._ends_at - now,
            now=now,
        )
        self._chosen |= decision_fields.of_dispatch(
            self.client_request, backend, dispatch
        )
        selections.note_sent(
            self.view, self.client_request, backend, dispatch, now
        )
        return dispatch

    async def _receive(self, attempt: attempts.Attempt) -> bool:
        answer, head = await attempt.read_head()
        self._update_server_state(attempt, answer)
        streams = self.route.kind is configurations.Repeatability.STREAM
        if streams and answer.status == 200 and answer.signed:
            await self._stream(attempt, answer, framed=not head.ends_by_close)
            return True
        body = await attempt.read_body()
        attempt.release(answer)
        self._handle_response(
            attempt.backend, answer, body, framed=not head.ends_by_close
        )
        return True

    def _update_server_state(
        self, attempt: attempts.Attempt, answer: request_types.ServerResponse
    ) -> None:
        """Applies what a response head reports about its server."""
        backend = attempt.backend
        self.notices.apply(backend, answer, attempt.sent)
        if answer.load is not None:
            backend.update_load(answer.load, clocks.now())
        reported = answer.server
        if reported is not None and reported != backend.registration.server:
            # Another incarnation, or another service's server, now uses the
            # address.
            backend.ended = True
            if not backend.announced_leaving():
                self.died(backend.registration.incarnation)
            self._log(
                "server_over",
                server=backend.registration.incarnation,
                found=reported,
            )
        elif answer.status != server_notices.MISDIRECTED:
            self._record_life(backend, attempt.sent)

    def _record_life(self, backend: backends.Backend, sent_at: float) -> None:
        """Records that a server has answered a request."""
        incarnation = backend.registration.incarnation
        for subject in self.view.suspects.record_life(incarnation, sent_at):
            self._log("crash_refuted", subject=subject, server=incarnation)

    def _handle_response(
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
        if answer.status in router_responses.NOT_RUN_STATUSES or answer.encoded:
            # The status promises that the request did not run, but the
            # response isn't marked "not run": the promise may be false.
            raise attempts.broken(f"status {answer.status}")
        if answer.status < 300 and not answer.signed:
            raise attempts.broken("no signature")
        if answer.status < 300 and not framed and not body:
            raise attempts.broken("ended with its connection and no body")
        if self.answer.head_sent:
            # A second response head must not follow a stream's first events.
            raise attempts.broken(
                f"status {answer.status} instead of a stream's rest"
            )
        self._record_status(backend, answer.status, framed=framed)
        if answer.status >= 500 and self._would_retry():
            self._failed_answer = (answer, body)
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.FAILED, f"status {answer.status}"
            )
        self.answer.pass_on(answer, body)
        self._log(
            "answered",
            server=backend.registration.incarnation,
            status=answer.status,
            chosen=self._chosen,
        )

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
        for each in self.subjects:
            if self.view.suspects.record_success(each.key, now):
                self._log("suspicion_cleared", subject=each.key)

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
            self.view, self.client_request.model, backend
        )
        wanted = not backend.is_leaving() and not backend.is_unavailable(now)
        if weights is not None and not full and wanted:
            # It loads weights, or its weights differ from the cached state.
            self.recheck(backend)

    def _would_retry(self) -> bool:
        more = len(self.history.ran_on) + 1 < self.route.most_servers
        return self.route.repeatable() and more

    async def _stream(
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
        software = attempt.backend.registration.software
        self._relay = stream_relays.StreamRelay(
            attempt=attempt,
            response=answer,
            answer=self.answer,
            framed=framed,
            on_first=lambda: self._record_first_event(attempt),
            on_event=lambda: self.binding.begin(
                self.client_request, self.route, software
            ),
            on_proved=self._record_success,
        )
        await self._relay.run()
        attempt.backend.note_success()
        if framed:
            self._record_success()
        attempt.release(answer)
        self.answer.end_stream(answer)
        self._log_stream(attempt.backend)

    def _log_stream(self, backend: backends.Backend) -> None:
        first = self.answer.first_seconds
        if first is not None:
            self.lines.counters.first_event(first)
        self._log(
            "streamed",
            server=backend.registration.incarnation,
            last=self.answer.last_event,
            first_ms=_ms(first),
            gap_ms=_ms(self.answer.gap_seconds),
            late=self._late_part(),
            chosen=self._chosen,
        )

    def _late_part(self) -> str | None:
        """Returns which objective of its route a complete stream missed.

        "first" stands for the time to the first event, "pause" for the longest
        time between two events, None for neither.
        """
        first = self.answer.first_seconds
        if first is not None and first > self.route.objective_seconds:
            return "first"
        most = self.route.gap_seconds
        if most is not None and self.answer.gap_seconds > most:
            return "pause"
        return None

    def _record_first_event(self, attempt: attempts.Attempt) -> None:
        """Records that the prompt was read, once the first bytes arrive."""
        if attempt.account.prompt_read:
            return
        known = self.view.first_event(self.client_request.model)
        attempt.account.note_first_event(known, clocks.now())
        selections.note_read(
            self.view,
            self.client_request,
            attempt.backend,
            attempt.dispatch,
            clocks.now(),
        )
        self.prompt_changed(self.client_request.prompt_tokens, clocks.now())

    def _give_up(self, code: results.Code) -> None:
        """Sends the final response of a request that failed."""
        if self.answer.head_sent:
            # A response that ends early must not look complete.
            self._log("broken_off", code=code.name)
            self.answer.break_off()
            return
        if self._failed_answer is not None:
            answer, body = self._failed_answer
            self._log("answered", status=answer.status, again=True)
            self.answer.pass_on(answer, body)
            return
        self._refuse(code)

    def _refuse(self, code: results.Code) -> None:
        wait = self._retry_seconds(code, clocks.now())
        self._log(
            "refused",
            code=code.name,
            retry_s=None if wait is None else round(wait, 3),
            **decision_fields.of_refusal(
                self.view,
                self.route,
                len(self.history.excluded_servers()),
                clocks.now(),
            ),
            lacks={
                each.value: count for each, count in self._shortages.items()
            },
        )
        self.answer.refuse(code, wait)

    def _retry_seconds(self, code: results.Code, now: float) -> float | None:
        """Returns the seconds until the client may retry, or None."""
        if code is results.Code.CRASHES:
            return self.view.suspects.blocked_until(self.subjects) - now
        if code in NO_CAPACITY_CODES:
            back_at = backoffs.back_at(self.view, self.route, now)
            if back_at is not None:
                return router_responses.backoff_retry_seconds(back_at - now)
        return router_responses.retry_seconds(code)

    def _log(self, message: str, **fields: object) -> None:
        if self.client_request is not None:
            fields["request"] = self.client_request.request
            fields["ms"] = _ms(clocks.now() - self.client_request.arrived)
        if self.route is not None:
            fields["route"] = self.route.name
        fields["sends"] = self.history.sends
        self.lines.write(message, **fields)


def _load_text(load: request_types.ServerLoad | None) -> str:
    if load is None:
        return "unknown"
    return f"{load.running}+{load.waiting} of {load.slots}"


def _ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
