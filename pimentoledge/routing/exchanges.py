"""One request from its acceptance to its whole answer, by one task."""

import asyncio
from collections.abc import Callable

import logbook
from returns import result

from pimentoledge import results
from pimentoledge.platform import requests
from pimentoledge.routing import asks
from pimentoledge.routing import backends
from pimentoledge.routing import beliefs
from pimentoledge.routing import clocks
from pimentoledge.routing import configurations
from pimentoledge.routing import event_streams
from pimentoledge.routing import http_messages
from pimentoledge.routing import log_lines
from pimentoledge.routing import own_answers
from pimentoledge.routing import placements
from pimentoledge.routing import selections
from pimentoledge.routing import server_connections
from pimentoledge.routing import suspects
from pimentoledge.routing import verdicts

logger = logbook.Logger("exchanges")

# The server gives its own answer at the deadline; this much later it is
# given here.
ANSWER_GRACE_SECONDS = 0.05
# How long an idle connection to a server is kept if the server says nothing.
IDLE_SECONDS = 3.0
# A connection is not used in the last part of its idle time: the server may
# be closing it while the request is on its way.
IDLE_MARGIN_SECONDS = 1.0
# Share of the latency objective for which a request waits here for a server
# to become free before it is refused.
WAIT_SHARE = 0.12
WAIT_STEP_SECONDS = 0.02
# Without a stated wait, a client is taken to wait so long.
DEFAULT_WAIT_SECONDS = 60.0


class BrokenError(Exception):
    """An attempt ended without a whole answer.

    Attributes:
        outcome: what is known of it.
        reason: what was met.
    """

    def __init__(self, outcome: verdicts.Outcome, reason: str):
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason


class Exchange:
    """Serves one request.

    Attributes:
        decoded: the request, or why it can't be told.
        client: the client's connection.
        believed: what the process believes.
        pool: connections to servers.
        lines: where decisions are written.
        died: called with a server that was found dead.
        doubt: called with a server that is not as it was believed to be.
        content: fingerprint of the request, or "" before it is known.
        history: what was done so far.
        route: the route in force when it was accepted.
        organisation: whose key it is, or None.
        last_event: number of the last event sent to the client.
        head_sent: whether the answer's head was sent to the client.
        first_seconds: time to the first event, or None before it.
        gap_seconds: longest pause between two events.
    """

    def __init__(
        self,
        *,
        decoded: result.Result[asks.Ask, results.Error],
        client,
        believed: beliefs.Beliefs,
        pool: server_connections.Pool,
        lines: log_lines.Lines,
        died: Callable[[str], None],
        doubt: Callable[[backends.Backend], None],
    ):
        self.decoded = decoded
        self.died = died
        self.doubt = doubt
        self.client = client
        self.believed = believed
        self.pool = pool
        self.lines = lines
        self.content = ""
        self.history = verdicts.History()
        self.ask: asks.Ask | None = None
        self.route: configurations.Route | None = None
        self.organisation: configurations.Organisation | None = None
        self.last_event: int | None = None
        self.head_sent = False
        self.first_seconds: float | None = None
        self.gap_seconds = 0.0
        self._event_at = 0.0
        self._ends_at = 0.0
        self._task: asyncio.Task | None = None
        self._failed_answer: tuple[asks.Answer, bytes] | None = None

    def start(self) -> None:
        """Begins; the client's connection is told when it has ended."""
        self._task = asyncio.get_running_loop().create_task(self.run())

    def client_left(self) -> None:
        """Takes the client's leaving.

        What may be repeated, and streams, are stopped at the server. A call
        that may not is left to finish once it was sent: the client wants it
        done, and a half-done one helps nobody.
        """
        unsafe = (
            self.route is not None
            and self.route.kind is configurations.Kind.UNSAFE
        )
        if unsafe and self.history.sends:
            return
        self._task.cancel()

    async def run(self) -> None:
        """Serves the request; never raises."""
        try:
            await self._serve()
        except asyncio.CancelledError:
            self._log("client_left")
            self.client.finished()
        except Exception:
            logger.exception("defect")
            self._give_up(results.Code.INTERNAL)

    async def _serve(self) -> None:
        match self.decoded:
            case result.Failure(error):
                self._refuse(error.code)
                return
            case result.Success(ask):
                self.ask = ask
        code = self._accept(ask)
        if code is not None:
            self._refuse(code)
            return
        self.last_event = ask.resume_after
        if self.route.by_prefix:
            self.believed.homes.used(ask.parts[:-1], ask.arrived)
        try:
            async with asyncio.timeout(
                self._ends_at + ANSWER_GRACE_SECONDS - clocks.now()
            ):
                await self._try_servers()
        except TimeoutError:
            self._give_up(verdicts.late_code(self.history))

    def _accept(self, ask: asks.Ask) -> results.Code | None:
        """Checks the request; returns why it is refused, or None."""
        if self.believed.refusing:
            # A request begun now could be cut by the end of the grace time.
            return results.Code.SHUTTING_DOWN
        configuration = self.believed.configuration
        if configuration is None:
            return results.Code.CONFIGURATION_INCOMPLETE
        route = configuration.match(ask.host, ask.path)
        if route is None:
            return results.Code.NOT_FOUND
        if configuration.by_key is not None and not route.open:
            self.organisation = configuration.by_key.get(ask.key)
            if self.organisation is None:
                return results.Code.BAD_KEY
        self.route = route
        wait = ask.wait_seconds
        if wait is None:
            wait = DEFAULT_WAIT_SECONDS
        self._ends_at = ask.arrived + min(wait, route.timeout_seconds)
        self.content = suspects.fingerprint(ask)
        if self.believed.suspects.is_barred(self.content, ask.arrived):
            return results.Code.CRASHES
        return None

    async def _try_servers(self) -> None:
        """Sends the request to servers until there is an answer."""
        while True:
            backend = await self._choose()
            if backend is None:
                self._give_up(verdicts.final_code(self.history))
                return
            if not self._may_send(backend):
                self._give_up(verdicts.final_code(self.history))
                return
            try:
                if await self._attempt(backend):
                    return
            except BrokenError as broken:
                self._met(backend, broken.outcome)
                self._log(
                    "attempt_ended",
                    server=backend.registration.incarnation,
                    outcome=broken.outcome,
                    reason=broken.reason,
                )
            if not verdicts.may_go_on(self.history, self.route):
                self._give_up(verdicts.final_code(self.history))
                return

    def _met(
        self, backend: backends.Backend, outcome: verdicts.Outcome
    ) -> None:
        incarnation = backend.registration.incarnation
        self.history.met(incarnation, outcome)
        if outcome is verdicts.Outcome.BROKE:
            backend.troubled()
            self.believed.suspects.broke(
                self.content, incarnation, clocks.now()
            )

    def _may_send(self, backend: backends.Backend) -> bool:
        service = backend.registration.service
        budget = self.believed.budget(service)
        now = clocks.now()
        if not self.history.sends:
            budget.asked(now)
            return True
        return budget.take(now, self.believed.members)

    async def _choose(self) -> backends.Backend | None:
        """Returns the server to send to; waits a moment for a free one."""
        until = clocks.now() + WAIT_SHARE * self.route.objective_seconds
        while True:
            now = clocks.now()
            found = selections.select(
                believed=self.believed,
                ask=self.ask,
                route=self.route,
                organisation=self.organisation,
                without=self.history.tried(),
                now=now,
            )
            if found is not None or now >= until:
                return found
            await asyncio.sleep(WAIT_STEP_SECONDS)

    async def _attempt(self, backend: backends.Backend) -> bool:
        """Sends the request to a server; returns whether it is answered.

        Raises BrokenError where the attempt gave no answer to pass on.
        """
        address = backend.registration.address
        try:
            connection = await self.pool.acquire(address)
        except server_connections.CannotConnectError as error:
            backend.failed(clocks.now())
            self.died(backend.registration.incarnation)
            raise BrokenError(verdicts.Outcome.UNSENT, str(error)) from error
        now = clocks.now()
        dispatch = selections.dispatch(
            believed=self.believed,
            ask=self.ask,
            route=self.route,
            organisation=self.organisation,
            backend=backend,
            resume_after=self.last_event,
            seconds_left=self._ends_at - now,
            now=now,
        )
        held = self.ask.prompt_tokens + self.ask.answer_tokens
        work = _Work(backend=backend, held=held, dispatch=dispatch)
        work.begin(self._uncached(backend, dispatch))
        selections.note_sent(self.believed, self.ask, backend, dispatch)
        self.history.sent(backend.registration.incarnation)
        try:
            connection.send(requests.encode_request(self.ask, dispatch))
            return await self._receive(connection, work)
        finally:
            work.end()
            if connection.busy:
                connection.abort()

    def _uncached(
        self, backend: backends.Backend, dispatch: asks.Dispatch
    ) -> int:
        if dispatch.namespace is None:
            return 0
        cached = backend.cached_tokens(dispatch.namespace, self.ask.parts)
        return max(0, self.ask.prompt_tokens - cached)

    async def _receive(
        self, connection: server_connections.ServerConnection, work: "_Work"
    ) -> bool:
        answer, head = await self._read_head(connection)
        self._learn(work.backend, answer)
        streams = self.route.kind is configurations.Kind.STREAM
        if streams and answer.status == 200 and answer.signed:
            return await self._stream(connection, work, answer)
        body = await self._read_body(connection, head)
        self._release(connection, answer)
        return self._judge(work.backend, answer, body)

    async def _read_head(
        self, connection: server_connections.ServerConnection
    ) -> tuple[asks.Answer, http_messages.ResponseHead]:
        """Returns the head of this request's answer.

        A server may send a second answer late, where the next one is due; it
        bears another request's id and is read over.
        """
        foreign = False
        while True:
            match await connection.next():
                case server_connections.Headed(head=head):
                    answer = requests.decode_answer(head)
                    foreign = answer.request != self.ask.request
                    if not foreign:
                        return answer, head
                    connection.reusable = False
                    if head.ends_by_close or answer.request is None:
                        raise BrokenError(
                            verdicts.Outcome.BROKE, "another request's answer"
                        )
                case server_connections.Broke(reason=reason):
                    raise BrokenError(verdicts.Outcome.BROKE, reason)

    async def _read_body(
        self,
        connection: server_connections.ServerConnection,
        head: http_messages.ResponseHead,
    ) -> bytes:
        pieces = []
        while True:
            match await connection.next():
                case server_connections.Piece(data=data):
                    pieces.append(data)
                case server_connections.Ended():
                    return b"".join(pieces)
                case server_connections.Broke(reason=reason):
                    raise BrokenError(verdicts.Outcome.BROKE, reason)

    def _release(
        self,
        connection: server_connections.ServerConnection,
        answer: asks.Answer,
    ) -> None:
        idle = answer.idle_seconds
        if idle is None:
            idle = IDLE_SECONDS + IDLE_MARGIN_SECONDS
        self.pool.release(
            connection, idle_seconds=max(0.0, idle - IDLE_MARGIN_SECONDS)
        )

    def _learn(self, backend: backends.Backend, answer: asks.Answer) -> None:
        """Takes what an answer's head says of its server."""
        if answer.load is not None:
            backend.told_load(answer.load)
        incarnation = answer.incarnation
        known = backend.registration.incarnation
        if incarnation is not None and incarnation != known:
            # Another life, or another service's server, has the address.
            backend.over = True
            self._log("server_over", server=known, found=incarnation)

    def _judge(
        self, backend: backends.Backend, answer: asks.Answer, body: bytes
    ) -> bool:
        """Passes a whole answer on, or raises BrokenError."""
        now = clocks.now()
        if answer.not_run:
            self._refused_by(backend, answer, now)
            raise BrokenError(
                verdicts.Outcome.NOT_RUN,
                f"{answer.status}: not run, load {_load_text(answer.load)}",
            )
        if answer.status in own_answers.PROMISES or answer.encoded:
            # It bears no "not run", so passing on a status that promises as
            # much could be untrue.
            raise BrokenError(verdicts.Outcome.BROKE, f"status {answer.status}")
        if answer.status < 300 and not answer.signed:
            raise BrokenError(verdicts.Outcome.BROKE, "no signature")
        backend.served()
        self.believed.suspects.served(self.content)
        if answer.status >= 500 and self._would_retry():
            self._failed_answer = (answer, body)
            raise BrokenError(
                verdicts.Outcome.FAILED, f"status {answer.status}"
            )
        self._pass_on(answer, body)
        self._log(
            "answered",
            server=backend.registration.incarnation,
            status=answer.status,
        )
        return True

    def _refused_by(
        self, backend: backends.Backend, answer: asks.Answer, now: float
    ) -> None:
        """Takes a server's word that it did not run the request."""
        backend.was_full(now)
        load = answer.load
        full = load is not None and load.running + load.waiting >= load.slots
        weights = placements.weights_of(backend, self.ask.model)
        if weights is not None and not full and not backend.over:
            # It loads weights, or has others than believed.
            self.doubt(backend)

    def _would_retry(self) -> bool:
        more = len(self.history.ran_on) + 1 < self.route.most_servers
        return self.route.kind is configurations.Kind.SAFE and more

    def _pass_on(self, answer: asks.Answer, body: bytes) -> None:
        closes = self.client.closes
        self.client.send(
            requests.encode_answer_head(answer, length=len(body), closes=closes)
            + body
        )
        self.client.finished()

    async def _stream(
        self,
        connection: server_connections.ServerConnection,
        work: "_Work",
        answer: asks.Answer,
    ) -> bool:
        """Passes events on as they come; returns whether all were."""
        splitter = event_streams.Splitter()
        while True:
            match await connection.next():
                case server_connections.Piece(data=data):
                    self._prompt_read(work)
                    for event in splitter.feed(data):
                        self._pass_event(event, answer, work.backend)
                    await self.client.drained()
                case server_connections.Ended():
                    if splitter.rest:
                        raise BrokenError(
                            verdicts.Outcome.BROKE, "ended within an event"
                        )
                    work.backend.served()
                    self.believed.suspects.served(self.content)
                    self._release(connection, answer)
                    self._end_stream(answer)
                    self._log(
                        "streamed",
                        server=work.backend.registration.incarnation,
                        last=self.last_event,
                        first_ms=_ms(self.first_seconds),
                        gap_ms=_ms(self.gap_seconds),
                    )
                    return True
                case server_connections.Broke(reason=reason):
                    raise BrokenError(verdicts.Outcome.BROKE, reason)

    def _prompt_read(self, work: "_Work") -> None:
        """Takes the first piece as proof that the prompt was read."""
        if work.reading_over:
            return
        work.reads_no_more()
        selections.note_read(
            self.believed, self.ask, work.dispatch, clocks.now()
        )

    def _pass_event(
        self,
        event: event_streams.Event,
        answer: asks.Answer,
        backend: backends.Backend,
    ) -> None:
        """Sends an event to the client unless it has it."""
        if event.number is not None:
            if self.last_event is not None and event.number <= self.last_event:
                return
            self.last_event = event.number
        self._send_stream_head(answer)
        now = clocks.now()
        if self.first_seconds is None:
            self.first_seconds = now - self.ask.arrived
            self.lines.counters.first_event(self.first_seconds)
        else:
            gap = now - self._event_at
            self.gap_seconds = max(self.gap_seconds, gap)
            backend.paused(gap)
        self._event_at = now
        self.client.send(b"%x\r\n%b\r\n" % (len(event.data), event.data))

    def _send_stream_head(self, answer: asks.Answer) -> None:
        if self.head_sent:
            return
        self.head_sent = True
        self.client.send(
            requests.encode_answer_head(
                answer, length=None, closes=self.client.closes
            )
        )

    def _end_stream(self, answer: asks.Answer) -> None:
        self._send_stream_head(answer)
        self.client.send(b"0\r\n\r\n")
        self.client.finished()

    def _give_up(self, code: results.Code) -> None:
        """Gives the final answer of a request that has none."""
        if self.head_sent:
            # An answer that ends early must not look whole.
            self._log("broken_off", code=code.name)
            self.client.abort()
            return
        if self._failed_answer is not None:
            answer, body = self._failed_answer
            self._log("answered", status=answer.status, again=True)
            self._pass_on(answer, body)
            return
        self._refuse(code)

    def _refuse(self, code: results.Code) -> None:
        meaning = results.MEANINGS[code]
        promises = meaning.status in own_answers.PROMISES
        self._log("refused", code=code.name, **self._grounds())
        self.client.send(
            own_answers.encode(
                code=code,
                request="" if self.ask is None else self.ask.request,
                retry_seconds=own_answers.RETRY_SECONDS if promises else None,
                closes=self.client.closes,
            )
        )
        self.client.finished()

    def _grounds(self) -> dict[str, object]:
        """Returns what decided a refusal, for its log line."""
        configuration = self.believed.configuration
        if configuration is None or self.route is None:
            return {"configuration": configuration and configuration.version}
        now = clocks.now()
        servers = [
            each
            for share in self.route.shares
            for each in self.believed.servers.of_service(share.service)
        ]
        budget = self.believed.budget(self.route.shares[0].service)
        left = budget.allowance(now, self.believed.members)
        return {
            "configuration": configuration.version,
            "servers": len(servers),
            "usable": sum(each.usable(now) for each in servers),
            "tried": len(self.history.tried()),
            "repeats_left": round(left, 1),
        }

    def _log(self, message: str, **fields: object) -> None:
        if self.ask is not None:
            fields["request"] = self.ask.request
            fields["ms"] = _ms(clocks.now() - self.ask.arrived)
        if self.route is not None:
            fields["route"] = self.route.name
        fields["sends"] = self.history.sends
        self.lines.write(message, **fields)


def _load_text(load: asks.Load | None) -> str:
    if load is None:
        return "unknown"
    return f"{load.running}+{load.waiting} of {load.slots}"


def _ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)


class _Work:
    """What a server has of one request, for its expected wait."""

    def __init__(
        self,
        *,
        backend: backends.Backend,
        held: int,
        dispatch: asks.Dispatch,
    ):
        self.backend = backend
        self.held = held
        self.dispatch = dispatch
        self.reading = 0
        self.reading_over = False

    def begin(self, reading: int) -> None:
        """Counts it."""
        self.reading = reading
        self.backend.open += 1
        self.backend.reading += reading
        self.backend.held += self.held

    def reads_no_more(self) -> None:
        """Notes that the prompt has been read."""
        self.backend.reading -= self.reading
        self.reading = 0
        self.reading_over = True

    def end(self) -> None:
        """Counts it out."""
        self.reads_no_more()
        self.backend.open -= 1
        self.backend.held -= self.held
