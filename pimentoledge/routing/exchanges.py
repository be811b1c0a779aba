"""One request from its acceptance to its whole answer, by one task."""

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
from pimentoledge.routing import event_streams
from pimentoledge.routing import log_lines
from pimentoledge.routing import memory_estimates
from pimentoledge.routing import placements
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_rules
from pimentoledge.routing import router_responses
from pimentoledge.routing import selections
from pimentoledge.routing import server_connections
from pimentoledge.routing import server_notices
from pimentoledge.routing import server_permits
from pimentoledge.routing import suspects
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters

logger = logbook.Logger("exchanges")

# The server gives its own answer at the deadline; this much later it is
# given here.
ANSWER_GRACE_SECONDS = 0.05
GATEWAY_TIMEOUT = 504
# Share of the latency objective for which a request waits here for a server
# to become free before it is refused.
WAIT_SHARE = 0.12
WAIT_STEP_SECONDS = 0.02
# So long before the bound a request that has not begun on older weights is
# withdrawn: the server has to hear of it.
WITHDRAW_SECONDS = 0.3
# Refused permits after which a request leaves out all limited servers.
MOST_LIMIT_REFUSALS = 3
# Refusals for want of a server that takes the request.
SERVERS_WANTED = frozenset((results.Code.NO_SERVER, results.Code.OVERLOADED))
# Without a stated wait, a client is taken to wait so long.
DEFAULT_WAIT_SECONDS = 60.0


class Exchange:
    """Serves one request.

    Attributes:
        decoded: the request, or why it can't be told.
        answer: what the client is sent.
        view: what the process believes.
        pool: connections to servers.
        lines: where decisions are written.
        active_exchanges: all exchanges under way; this one is in it while
            it runs.
        died: called with a server that was found dead.
        recheck: called with a server that is not as it was believed to be.
        prompt_changed: called with the length of a prompt that was sent, or
            read, and the time.
        limiter: holds organisations' limits.
        notices: takes what answers say of their servers.
        permits: hold the limits that servers have named.
        content: fingerprint of the request, or "" before it is known.
        history: what was done so far.
        route: the route in force when it was accepted.
        organisation: whose key it is, or None.
        charge: its part of the organisation's limit, or None without one.
    """

    def __init__(
        self,
        *,
        decoded: result.Result[request_types.ClientRequest, results.Error],
        client,
        view: cluster_views.ClusterView,
        pool: server_connections.ConnectionPool,
        lines: log_lines.Lines,
        everyone: set["Exchange"],
        died: Callable[[str], None],
        doubt: Callable[[backends.Backend], None],
        prompt_changed: Callable[[int, float], None],
        limiter: limiters.Limiter,
        notices: server_notices.ServerNotices,
        permits: server_permits.Permits,
    ):
        self.decoded = decoded
        self.died = died
        self.recheck = doubt
        self.prompt_changed = prompt_changed
        self.limiter = limiter
        self.notices = notices
        self.permits = permits
        self.answer = client_responses.ClientResponse(client=client)
        self.view = view
        self.pool = pool
        self.lines = lines
        self.active_exchanges = everyone
        self.content = ""
        self.history = retry_rules.AttemptHistory()
        self.client_request: request_types.ClientRequest | None = None
        self.route: configurations.Route | None = None
        self.organisation: configurations.Organisation | None = None
        self.charge: charges.Charge | None = None
        self._ends_at = 0.0
        self._ending = False
        self._chosen: dict[str, object] = {}
        self._lacks: dict[capacity_checks.Shortage, int] = {}
        self._limit_refusals = 0
        self._task: asyncio.Task | None = None
        self._under_way: attempts.Attempt | None = None
        self._failed_answer: (
            tuple[request_types.ServerResponse, bytes] | None
        ) = None

    def start(self) -> None:
        """Begins; the client's connection is told when it has ended."""
        self.active_exchanges.add(self)
        self._task = asyncio.get_running_loop().create_task(self.run())

    def client_left(self) -> None:
        """Takes the client's leaving.

        What may be repeated, and streams, are stopped at the server. A call
        that may not is left to finish once it was sent: the client wants it
        done, and a half-done one helps nobody.
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
        if self._ending:
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
        """Gives the final answer at once, since the process ends."""
        self._ending = True
        self._task.cancel()

    async def _serve(self) -> None:
        match self.decoded:
            case result.Failure(error):
                self._refuse(error.code)
                return
            case result.Success(client_request):
                self.client_request = client_request
                self.answer.begin(client_request)
        code = self._accept(client_request)
        if code is not None:
            self._refuse(code)
            return
        try:
            async with asyncio.timeout(
                self._ends_at + ANSWER_GRACE_SECONDS - clocks.now()
            ):
                await self._try_servers()
        except TimeoutError:
            self._unanswered()
            self._give_up(retry_rules.timeout_code(self.history))

    def _unanswered(self) -> None:
        """Takes a deadline without an answer as evidence about a server."""
        pending = self.history.pending
        backend = self.view.servers.by_incarnation.get(pending)
        if backend is not None and not self.answer.head_sent:
            backend.troubled(clocks.now())

    def _accept(
        self, client_request: request_types.ClientRequest
    ) -> results.Code | None:
        """Checks the request; returns why it is refused, or None."""
        if self.view.refusing:
            # A request begun now could be cut by the end of the grace time.
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
            wait = DEFAULT_WAIT_SECONDS
        self._ends_at = client_request.arrived + min(
            wait, route.timeout_seconds
        )
        self.content = suspects.fingerprint(client_request)
        if client_request.model:
            self.view.mean_unshared(client_request.model).note(
                memory_estimates.unshared_tokens(client_request)
            )
        if self.view.suspects.is_quarantined(
            self.content, client_request.arrived
        ):
            return results.Code.CRASHES
        return None

    def _charge(self, version: int) -> charges.Charge | None:
        """Returns what the request has to acquire; None without a limit."""
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

    async def _is_charged(self) -> bool:
        """Returns whether the limit allows a run; else ends the request."""
        if self.charge is None:
            return True
        if len(self.charge.owners) > self.history.runs():
            return True
        answer = await self.charge.acquire()
        if answer.decision.granted:
            return True
        self._limited(answer)
        return False

    def _limited(self, answer: limiters.AcquireResult) -> None:
        """Ends a request for which the limit has no room."""
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
        """Sends the request to servers until there is an answer."""
        until = None
        while True:
            if not await self._is_charged():
                return
            if until is None:
                seconds = WAIT_SHARE * self.route.objective_seconds
                until = clocks.now() + seconds
            choice = await self._choose(until)
            if isinstance(choice, placements.NoCapacity):
                self._lacks = choice.shortage
                self._give_up(self._code_without_choice(choice))
                return
            backend = self._take(choice)
            permit = await self.permits.acquire(
                backend, self.client_request.request
            )
            if not permit.granted:
                self._limit_refusals += 1
                continue
            if permit.charge is not None:
                self._chosen["limit"] = permit.charge.limit.per_second
            if not self._may_send(backend):
                permit.give_back()
                self._give_up(retry_rules.final_code(self.history))
                return
            until = None
            try:
                if await self._attempt(backend, permit):
                    return
            except attempts.BrokenError as broken:
                self._met(backend, broken.outcome)
                self._log(
                    "attempt_ended",
                    server=backend.registration.incarnation,
                    outcome=broken.outcome,
                    reason=broken.reason,
                    chosen=self._chosen,
                )
            if not self._may_go_on():
                self._give_up(retry_rules.final_code(self.history))
                return

    def _code_without_choice(
        self, found: placements.NoCapacity
    ) -> results.Code:
        """Returns why no server could be chosen."""
        code = retry_rules.final_code(self.history)
        if code is not results.Code.NO_SERVER or not found.shortage:
            return code
        return results.Code.OVERLOADED

    def _may_go_on(self) -> bool:
        more = retry_rules.may_retry(self.history, self.route)
        return more and self.answer.can_resume()

    def _met(
        self, backend: backends.Backend, outcome: retry_rules.AttemptOutcome
    ) -> None:
        incarnation = backend.registration.incarnation
        self.history.note_outcome(incarnation, outcome)
        if outcome is retry_rules.AttemptOutcome.BROKE:
            backend.troubled(clocks.now())
            self.view.suspects.record_break(
                self.content, incarnation, clocks.now()
            )

    def _may_send(self, backend: backends.Backend) -> bool:
        service = backend.registration.service
        budget = self.view.budget(service)
        now = clocks.now()
        if not self.history.sends:
            budget.note_request(now)
            return True
        return budget.take(now, self.view.members)

    def _take(self, choice: placements.Choice) -> backends.Backend:
        """Keeps what a choice went by, as it was then, for the log."""
        self._chosen = decision_fields.of_choice(
            self.view, self.client_request, choice, clocks.now()
        )
        return choice.backend

    async def _choose(
        self, until: float
    ) -> placements.Choice | placements.NoCapacity:
        """Returns the server to send to; waits a moment for a free one.

        Args:
            until: for how long it may wait, in seconds of clocks.now.
        """
        while True:
            now = clocks.now()
            found = selections.select(
                view=self.view,
                client_request=self.client_request,
                route=self.route,
                organisation=self.organisation,
                without=self._excluded(),
                now=now,
            )
            if isinstance(found, placements.Choice) or now >= until:
                return found
            back_at = backoffs.back_at(
                self.view, self.route, now, self._excluded()
            )
            if back_at is not None and back_at > until:
                return found
            await asyncio.sleep(WAIT_STEP_SECONDS)

    def _excluded(self) -> set[str]:
        """Returns the servers that the request is not to be sent to.

        After several refused permits no limited server is asked for one.
        """
        found = self.history.excluded_servers()
        if self._limit_refusals >= MOST_LIMIT_REFUSALS:
            found = found | self.view.server_limits.limited()
        return found

    async def _connect(
        self, backend: backends.Backend, permit: server_permits.Permit
    ) -> server_connections.ServerConnection:
        """Returns a connection on which the request may be sent.

        Raises BrokenError where there is none.
        """
        address = backend.registration.address
        try:
            connection = await self.pool.acquire(address)
        except server_connections.CannotConnectError as error:
            backend.failed(clocks.now())
            self.died(backend.registration.incarnation)
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.UNSENT, str(error)
            ) from error
        unwanted = _unwanted(backend)
        if unwanted is None and self.permits.is_missing(backend, permit):
            unwanted = "it named a limit meanwhile"
        if unwanted is not None:
            # Opening a connection takes up to 0.6 s; what was heard meanwhile
            # is newer than the choice, and nothing has been sent yet.
            connection.abort()
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.UNSENT, unwanted
            )
        return connection

    async def _attempt(
        self, backend: backends.Backend, permit: server_permits.Permit
    ) -> bool:
        """Sends the request to a server; returns whether it is answered.

        Raises BrokenError where the attempt gave no answer to pass on.
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
            most_idle=selections.most_idle(
                self.view, backend.registration.service
            ),
            speeds=selections.speeds_of(
                self.view,
                self.client_request.model,
                backend.registration.service,
            ),
        )
        self.history.sent(backend.registration.incarnation)
        self._under_way = attempt
        try:
            attempt.start()
            self.prompt_changed(self.client_request.prompt_tokens, clocks.now())
            return await self._receive(attempt)
        finally:
            self._under_way = None
            attempt.close()

    def withdraw_if_late(self, now: float) -> None:
        """Gives up an attempt that would begin on weights that are too old.

        A runner that is slowed or full begins a request seconds after it was
        sent. It is told by the end of its connection.
        """
        attempt = self._under_way
        if attempt is None or attempt.withdrawn or attempt.has_begun():
            return
        until = self.view.begins_until(
            self.client_request.model, attempt.dispatch.weights
        )
        if until is not None and now >= until - WITHDRAW_SECONDS:
            attempt.withdraw("not begun before its weights were too old")

    def _dispatch(self, backend: backends.Backend) -> request_types.Dispatch:
        """Returns what goes to a server, and notes what it will hold."""
        now = clocks.now()
        found = selections.dispatch(
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
            self.client_request, backend, found
        )
        selections.note_sent(
            self.view, self.client_request, backend, found, now
        )
        return found

    async def _receive(self, attempt: attempts.Attempt) -> bool:
        answer, _ = await attempt.read_head()
        self._learn(attempt, answer)
        streams = self.route.kind is configurations.Repeatability.STREAM
        if streams and answer.status == 200 and answer.signed:
            await self._stream(attempt, answer)
            return True
        body = await attempt.read_body()
        attempt.release(answer)
        self._judge(attempt.backend, answer, body)
        return True

    def _learn(
        self, attempt: attempts.Attempt, answer: request_types.ServerResponse
    ) -> None:
        """Takes what an answer's head says of its server."""
        backend = attempt.backend
        self.notices.apply(backend, answer, attempt.sent)
        if answer.load is not None:
            backend.update_load(answer.load, clocks.now())
        found = answer.server
        if found is not None and found != backend.registration.server:
            # Another life, or another service's server, has the address.
            backend.over = True
            self._log(
                "server_over",
                server=backend.registration.incarnation,
                found=found,
            )

    def _judge(
        self,
        backend: backends.Backend,
        answer: request_types.ServerResponse,
        body: bytes,
    ) -> None:
        """Passes a whole answer on, or raises BrokenError."""
        if answer.not_run:
            self._refused_by(backend, answer, clocks.now())
            raise attempts.BrokenError(
                retry_rules.AttemptOutcome.NOT_RUN,
                f"{answer.status}: not run, load {_load_text(answer.load)}",
            )
        if answer.status in router_responses.PROMISES or answer.encoded:
            # It bears no "not run", so passing on a status that promises as
            # much could be untrue.
            raise _broke(f"status {answer.status}")
        if answer.status < 300 and not answer.signed:
            raise _broke("no signature")
        if self.answer.head_sent:
            # Another answer's head must not follow a stream's first events.
            raise _broke(f"status {answer.status} instead of a stream's rest")
        self._answered(backend, answer.status)
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

    def _answered(self, backend: backends.Backend, status: int) -> None:
        """Takes a whole answer as evidence about its server.

        A server that looks healthy may fail part of its requests, and is the
        quickest for it: left alone it would draw them all. Its own time-out
        says no more of it than a request's own deadline does.
        """
        if status >= 500 and status != GATEWAY_TIMEOUT:
            backend.troubled(clocks.now())
            self.view.suspects.clear(self.content)
        else:
            self._served(backend)

    def _served(self, backend: backends.Backend) -> None:
        """Takes a whole answer as proof that server and content are sound."""
        backend.served()
        self.view.suspects.clear(self.content)

    def _refused_by(
        self,
        backend: backends.Backend,
        answer: request_types.ServerResponse,
        now: float,
    ) -> None:
        """Takes a server's word that it did not run the request."""
        backend.back_off_full(now)
        load = answer.load
        full = load is not None and load.running + load.waiting >= load.slots
        weights = placements.weights_of(backend, self.client_request.model)
        wanted = not backend.is_leaving() and not backend.is_unavailable(now)
        if weights is not None and not full and wanted:
            # It loads weights, or has others than believed.
            self.recheck(backend)

    def _would_retry(self) -> bool:
        more = len(self.history.ran_on) + 1 < self.route.most_servers
        return self.route.repeatable() and more

    async def _stream(
        self, attempt: attempts.Attempt, answer: request_types.ServerResponse
    ) -> None:
        """Passes events on as they come; raises BrokenError."""
        splitter = event_streams.Splitter()
        while (piece := await attempt.next_piece()) is not None:
            self._prompt_read(attempt)
            for event in splitter.feed(piece):
                pause = self.answer.pass_event(event, answer)
                if pause is not None:
                    attempt.backend.paused(pause)
            await self.answer.client.drained()
        if splitter.rest:
            raise _broke("ended within an event")
        self._served(attempt.backend)
        attempt.release(answer)
        self.answer.end_stream(answer)
        self._streamed(attempt.backend)

    def _streamed(self, backend: backends.Backend) -> None:
        first = self.answer.first_seconds
        if first is not None:
            self.lines.counters.first_event(first)
        self._log(
            "streamed",
            server=backend.registration.incarnation,
            last=self.answer.last_event,
            first_ms=_ms(first),
            gap_ms=_ms(self.answer.gap_seconds),
            late=self._lateness(),
            chosen=self._chosen,
        )

    def _lateness(self) -> str | None:
        """Returns why a whole stream came late by its route's terms."""
        first = self.answer.first_seconds
        if first is not None and first > self.route.objective_seconds:
            return "first"
        most = self.route.gap_seconds
        if most is not None and self.answer.gap_seconds > most:
            return "pause"
        return None

    def _prompt_read(self, attempt: attempts.Attempt) -> None:
        """Takes the first piece as proof that the prompt was read."""
        if attempt.account.prompt_read:
            return
        known = self.view.first_event(self.client_request.model)
        attempt.account.began(known, clocks.now())
        selections.note_read(
            self.view,
            self.client_request,
            attempt.backend,
            attempt.dispatch,
            clocks.now(),
        )
        self.prompt_changed(self.client_request.prompt_tokens, clocks.now())

    def _give_up(self, code: results.Code) -> None:
        """Gives the final answer of a request that has none."""
        if self.answer.head_sent:
            # An answer that ends early must not look whole.
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
            lacks={each.value: count for each, count in self._lacks.items()},
        )
        self.answer.refuse(code, wait)

    def _retry_seconds(self, code: results.Code, now: float) -> float | None:
        """Returns after how long the client may come back, or None."""
        if code in SERVERS_WANTED:
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


def _broke(reason: str) -> attempts.BrokenError:
    return attempts.BrokenError(retry_rules.AttemptOutcome.BROKE, reason)


def _unwanted(backend: backends.Backend) -> str | None:
    """Returns why a server must get no request now, or None."""
    if backend.is_leaving():
        return "it began to leave meanwhile"
    if backend.is_backing_off(clocks.now()):
        return "it asked for no request meanwhile"
    return None


def _load_text(load: request_types.ServerLoad | None) -> str:
    if load is None:
        return "unknown"
    return f"{load.running}+{load.waiting} of {load.slots}"


def _ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
