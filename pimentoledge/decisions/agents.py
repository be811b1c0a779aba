"""The agent's state machine: the authority on one backend server's state.

It admits or refuses each dispatch, submits admitted ones to the engine or
service on the same host, and sends the answer back to the requesting entry.
"""

import attrs

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import admission
from pimentoledge.decisions import claim_records
from pimentoledge.decisions import claim_verdicts
from pimentoledge.decisions import claims
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import kept_completions
from pimentoledge.decisions import orders
from pimentoledge.decisions import outboxes
from pimentoledge.decisions import run_logs
from pimentoledge.decisions import runs
from pimentoledge.decisions import stores
from pimentoledge.decisions import subscription
from pimentoledge.nodes import messages

Key = tuple[str, int]
Actions = list[actions.Action]

# Resumptions of a stream in a row without any new token.
MAX_RESUMES = 3
# Generated tokens after which a suspect no longer blocks other suspects. The
# prefill and the first steps, in which content crashes an engine, are over.
PROVED_TOKENS = 16
# Bound on the senders in `Agent.received`.
MAX_SENDERS = 4096


@attrs.define(kw_only=True)
class Crash:
    """An engine crash.

    Attributes:
        incarnation: incarnation of the engine that crashed.
        suspects: fingerprints of the content that it was running.
    """

    incarnation: str
    suspects: list[bytes]


class Agent:
    """The state machine for one backend server.

    Attributes:
        name: the backend server's name.
        kind: kind of the backend server.
        life: id of this start of the agent's process.
        configuration: the declarations received so far.
        admission: decides what runs, waits and is refused.
        claims: at-most-once calls.
        orders: brings the engine to its declared state.
        applied: digest of the configuration, and number of runners, that
            were last passed to `orders`.
        announced_closing: value of `orders.closing` in the last report that
            was sent to all entries.
        subscriber: fetches the declarations from entries.
        status: last status reported by the engine or service.
        runs: attempts that have not ended, by request and attempt.
        received: number of dispatches received, by sender.
        outbox: messages to entries.
        draining: whether the process is shutting down.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str = "",
        kind: declarations.ServerKind,
        life: str,
        slots: int,
        seed: int,
        view: configuration.Configuration,
        seeds: list[str],
    ):
        self.name = name
        self.kind = kind
        self.life = life
        self.configuration = view
        self.admission = admission.Admission(server=name, slots=slots)
        self.claims = claims.Claims(agent=name, life=life, seed=seed)
        self.orders = orders.Orders(
            server=name, life=life, address=address, seed=seed
        )
        self.applied: tuple[int, int] | None = None
        self.announced_closing = False
        self.subscriber = subscription.Subscriber(
            name=name, seed=seed, view=view, seeds=seeds
        )
        self.status = events.EngineStatus()
        self.runs: dict[Key, runs.Run] = {}
        self.received: dict[str, int] = {}
        self.outbox = outboxes.Outbox()
        self.draining = False

    def handle(self, event: object, now: float) -> Actions:
        """Handles an event and returns the resulting actions."""
        match event:
            case events.EngineText():
                return self.engine_text(event)
            case events.FromNode():
                todo = self.subscriber.handle(event, now)
                todo += self.apply_declarations(now)
                return todo + self.from_node(event, now)
            case events.EngineStarted():
                return self.engine_started(event)
            case events.EngineEnded():
                return self.engine_ended(event, now)
            case events.EngineBroken():
                return self.engine_broken(event, now)
            case events.ServiceDone():
                return self.service_done(event, now)
            case events.EngineStatus():
                return self.engine_status(event, now)
            case stores.StoreAnswer() if self.claims.owns(event.call):
                return self.apply_claims(self.claims.answer(event, now), now)
            case events.OrderDone():
                return self.apply_orders(self.orders.handle(event, now), now)
            case stores.StoreAnswer() if self.orders.owns(event):
                return self.apply_orders(self.orders.handle(event, now), now)
            case events.Unreachable():
                todo = self.subscriber.handle(event, now)
                return todo + self.unreachable(event, now)
            case events.Drain():
                self.draining = True
                return self.apply_orders(self.orders.retire(now), now)
        return []

    def tick(self, now: float) -> Actions:
        """Runs the timers that are due."""
        todo = self.subscriber.wake(now)
        todo += self.apply_declarations(now)
        todo += self.apply_orders(self.orders.wake(now), now)
        todo += self.apply_claims(self.claims.tick(now), now)
        return todo + self.advance(now)

    def next_wake(self) -> float | None:
        """Returns when `tick` is due next."""
        times = (
            self.admission.next_wake(),
            self.claims.next_wake(),
            self.orders.next_wake(),
            self.subscriber.next_wake(),
        )
        return min((each for each in times if each is not None), default=None)

    def flush(self) -> Actions:
        """Returns the buffered messages, batched by recipient."""
        return self.outbox.flush()

    def partners(self) -> set[str]:
        """Returns the mailboxes of the entries that wait for answers."""
        return {each.sender for each in self.runs.values()}

    def idle(self) -> bool:
        """Returns whether no attempt, claim, order or permit is open."""
        held = self.claims.held() or self.orders.held()
        return not self.runs and not held

    def apply_declarations(self, now: float) -> Actions:
        """Passes the declarations to `orders` if they have changed."""
        current = self.configuration.root, self.subscriber.runners
        if self.applied == current:
            return []
        self.applied = current
        server = self.configuration.server(self.name)
        serves = server.serves if server is not None else ""
        todo = self.orders.declare(
            server=server,
            model=self.configuration.model(serves),
            runners=self.subscriber.runners,
            now=now,
        )
        return self.apply_orders(todo, now)

    def apply_orders(self, todo: Actions, now: float) -> Actions:
        """Adds the effects of `orders.closing` to the actions of the orders.

        Sends a report when the server closes or opens, and refuses queued
        work while it is closed for a load.
        """
        if self.announced_closing is not self.orders.closing:
            self.announced_closing = self.orders.closing
            todo = todo + self.announce()
        if not self.orders.closing:
            return todo
        for run in list(self.runs.values()):
            if self.admission.cancel(*run.key()):
                refused = admission.Refuse(
                    code=results.Code.SERVER_LOADING,
                    dispatch=run.dispatch,
                    sender=run.sender,
                )
                todo += self.refuse_and_release(run, refused, now)
        return todo

    def server_status(self, sender: str) -> messages.ServerStatus:
        """Returns the server's current state, for one recipient."""
        declared = self.configuration.server(self.name)
        leaving = self.draining or (
            declared is not None
            and declared.state == declarations.ServerState.LEAVING
        )
        return messages.ServerStatus(
            server=self.name,
            incarnation=self.status.incarnation,
            weights=self.status.weights,
            adapters=self.status.adapters,
            leaving=leaving,
            loading=self.orders.closing,
            running=len(self.admission.running),
            queued=self.admission.queued,
            queued_tokens=self.admission.queued_tokens + self.prefill_tokens(),
            slots=self.admission.slots,
            token_seconds=self.status.token_seconds,
            step_seconds=self.status.step_seconds,
            received=self.received.get(sender, 0),
            configuration=self.configuration.version,
        )

    def prefill_tokens(self) -> int:
        """Returns the uncached prompt tokens in prefill at the engine.

        If they were left out, a runner in a long prefill would look idle and
        every entry would send it more work.
        """
        return sum(
            max(0, each.dispatch.prompt_tokens - each.dispatch.expected_depth)
            for each in self.runs.values()
            if each.stage is runs.RunStage.RUNNING and not each.tokens
        )

    def from_node(self, event: events.FromNode, now: float) -> Actions:
        """Handles a message of another process."""
        match event.message:
            case messages.Dispatch():
                return self.dispatch(event.message, event.sender, now)
            case messages.Cancel():
                return self.cancel(event.message, event.sender, now)
            case messages.Probe():
                return self.probe(event.message, event.sender)
        return []

    def dispatch(
        self, dispatch: messages.Dispatch, sender: str, now: float
    ) -> Actions:
        """Handles a new attempt; claims it first if it has a key."""
        if (dispatch.request, dispatch.attempt) in self.runs:
            return []
        self.count_dispatch(sender)
        run = runs.Run(
            dispatch=dispatch,
            sender=sender,
            expires=now + dispatch.seconds_left,
            sequence=dispatch.sequence,
        )
        if dispatch.server != self.name:
            return [self.refuse(run, results.Code.WRONG_SERVER)]
        if self.draining:
            return [self.refuse(run, results.Code.SHUTTING_DOWN)]
        self.runs[run.key()] = run
        if not dispatch.key:
            return self.offer(run, now)
        run.stage = runs.RunStage.CLAIMING
        outputs = self.claims.claim(
            dispatch,
            serves=self.serves(dispatch),
            outcome_seconds=self.outcome_seconds(dispatch),
            now=now,
        )
        return self.apply_claims(outputs, now)

    def serves(self, dispatch: messages.Dispatch) -> str:
        """Returns the model or service that a dispatch is for."""
        if dispatch.completion is not None:
            return dispatch.completion.model
        return dispatch.call.service

    def outcome_seconds(self, dispatch: messages.Dispatch) -> float:
        """Returns how long the answer of a call is kept, in seconds."""
        service = self.configuration.service(self.serves(dispatch))
        if service is not None:
            return service.outcome_seconds
        return declarations.OUTCOME_SECONDS

    def count_dispatch(self, sender: str) -> None:
        """Counts a dispatch of a sender."""
        if sender not in self.received and len(self.received) >= MAX_SENDERS:
            del self.received[next(iter(self.received))]
        self.received[sender] = self.received.get(sender, 0) + 1

    def offer(self, run: runs.Run, now: float) -> Actions:
        """Offers a request to admission."""
        run.dispatch.seconds_left = run.expires - now
        verdict = self.admission.offer(
            run.dispatch, run.sender, self.server_status(run.sender), now
        )
        todo: Actions = [run_logs.admit(run, verdict)]
        match verdict:
            case admission.Admit(pause=pause):
                todo.append(self.admitted_reply(run))
                todo += self.pause(pause)
                todo.append(self.begin(run))
            case admission.Queue():
                run.stage = runs.RunStage.QUEUED
                todo.append(self.admitted_reply(run))
            case admission.Refuse():
                todo += self.refuse_and_release(run, verdict, now)
        return todo + self.advance(now)

    def pause(self, keys: list[Key]) -> Actions:
        """Cancels batch work at the engine to free slots."""
        todo: Actions = []
        for key in keys:
            self.runs[key].stage = runs.RunStage.PAUSING
            request, attempt = key
            todo.append(actions.CancelRun(request=request, attempt=attempt))
            todo.append(run_logs.pause(self.runs[key], "pause"))
        return todo

    def requeue_paused(self, run: runs.Run, now: float) -> Actions:
        """Requeues batch work that has stopped for a pause.

        The engine's status is fetched, because the stream may have ended by
        a crash and not by the pause. In that case the attempt is failed to
        its entry.
        """
        run.stage = runs.RunStage.PAUSED
        run.earlier_tokens += run.tokens
        run.tokens = 0
        request, attempt = run.key()
        self.admission.paused(request, attempt, now)
        return [actions.CheckEngine(), *self.advance(now)]

    def admitted_reply(self, run: runs.Run) -> actions.Send:
        """Returns the reply that an attempt was accepted."""
        request, attempt = run.key()
        return actions.Send(
            address=run.sender,
            message=messages.Admitted(
                request=request,
                attempt=attempt,
                truth=self.server_status(run.sender),
            ),
        )

    def refuse_and_release(
        self, run: runs.Run, verdict: admission.Refuse, now: float
    ) -> Actions:
        """Refuses an attempt and releases its claim, if it has one."""
        refusal = self.refuse(run, verdict.code, verdict.retry_after)
        if run.dispatch.key:
            return self.release(run, refusal.message, now)
        del self.runs[run.key()]
        return [refusal]

    def release(
        self,
        run: runs.Run,
        verdict: messages.Refused | messages.Failed,
        now: float,
    ) -> Actions:
        """Releases the claim of a call that did not run, then replies.

        The entry retries at the next agent as soon as it has the reply. If
        that agent still found the claim in the store, it would answer
        "outcome unknown" for a call that never ran.
        """
        run.stage = runs.RunStage.RELEASING
        run.verdict = verdict
        outputs = self.claims.failed(
            run.dispatch.request, results.Ran.NOT_RUN, now
        )
        return self.apply_claims(outputs, now)

    def claim_released(self, output: claim_verdicts.Released) -> Actions:
        """Sends the reply that waited for the release of a claim."""
        run = self.runs.pop((output.request, output.attempt), None)
        if run is None or run.verdict is None:
            return []
        return self.outbox.send(run.sender, run.verdict)

    def refuse(
        self, run: runs.Run, code: results.Code, retry_after: float = 0.0
    ) -> actions.Send:
        """Returns the reply that an attempt was not run."""
        request, attempt = run.key()
        message = messages.Refused(
            request=request,
            attempt=attempt,
            code=code,
            truth=self.server_status(run.sender),
            retry_after=retry_after,
        )
        return actions.Send(address=run.sender, message=message)

    def begin(self, run: runs.Run) -> actions.Action:
        """Submits an attempt to the engine or service."""
        run.stage = runs.RunStage.RUNNING
        run.ran = ""
        return run.action(weights=self.status.weights)

    def advance(self, now: float) -> Actions:
        """Refuses queued work that is late, and starts what has a slot."""
        todo: Actions = []
        for refused in self.admission.expired(now):
            key = (refused.dispatch.request, refused.dispatch.attempt)
            run = self.runs.get(key)
            if run is None:
                continue
            todo.append(run_logs.admit(run, refused))
            if refused.started:
                code = results.Code.STREAM_BROKEN
                ran = results.Ran(run.ran or results.Ran.RAN)
                todo += self.fail(run, code, ran, now)
            else:
                todo += self.refuse_and_release(run, refused, now)
        for ready in self.admission.ready(now):
            key = (ready.dispatch.request, ready.dispatch.attempt)
            run = self.runs[key]
            run.dispatch.seconds_left = run.expires - now
            todo.append(self.begin(run))
            if ready.resumed:
                todo.append(run_logs.pause(run, "resume"))
        return todo

    def apply_claims(self, outputs: list[claims.Output], now: float) -> Actions:
        """Carries out the verdicts of the claims."""
        todo: Actions = []
        for output in outputs:
            if not isinstance(output, actions.CallStore):
                todo.append(run_logs.claim(output))
            match output:
                case claim_verdicts.Granted():
                    run = self.runs.get((output.request, output.attempt))
                    if run is not None:
                        todo += self.offer(run, now)
                case claim_verdicts.Replay():
                    todo += self.replay(output)
                case claim_verdicts.Denied():
                    todo += self.claim_denied(output)
                case claim_verdicts.Released():
                    todo += self.claim_released(output)
                case _:
                    todo.append(output)
        return todo

    def replay(self, output: claim_verdicts.Replay) -> Actions:
        """Answers a resend with the kept answer of the first run."""
        run = self.runs.pop((output.request, output.attempt), None)
        if run is None:
            return []
        if run.dispatch.completion is not None:
            status = self.server_status(run.sender)
            frames, finished = kept_completions.replay(output.body, run, status)
            todo = self.outbox.send(run.sender, frames)
            return todo + self.outbox.send(run.sender, finished)
        message = messages.ServiceAnswer(
            request=output.request,
            attempt=output.attempt,
            status=output.status,
            headers=output.headers,
            body=output.body,
            truth=self.server_status(run.sender),
            replayed=True,
        )
        return self.outbox.send(run.sender, message)

    def claim_denied(self, output: claim_verdicts.Denied) -> Actions:
        """Replies that a call is not run because of its idempotency key."""
        run = self.runs.pop((output.request, output.attempt), None)
        if run is None:
            return []
        if output.ran == results.Ran.NOT_RUN:
            return [self.refuse(run, output.code)]
        verdict = self.failed_message(run, output.code, output.ran)
        return self.outbox.send(run.sender, verdict)

    def engine_started(self, event: events.EngineStarted) -> Actions:
        """Records that the engine began an attempt; checks its incarnation.

        The incarnation in the event is newer than the last status.
        """
        todo: Actions = []
        run = self.runs.get((event.request, event.attempt))
        if run is not None:
            run.begun = True
        if run is None or run.stage == runs.RunStage.PAUSING:
            # The first cancellation may have reached the engine before the
            # completion did, and then had no effect.
            stop = actions.CancelRun(
                request=event.request, attempt=event.attempt
            )
            todo.append(stop)
        if event.incarnation != self.status.incarnation:
            todo.append(actions.CheckEngine())
        return todo

    def engine_text(self, event: events.EngineText) -> Actions:
        """Buffers generated text as a frame for the entry."""
        run = self.runs.get((event.request, event.attempt))
        # Duplicate or out-of-order tokens come from a connection that broke
        # and was resumed. Forwarding them would corrupt the stream.
        if run is None or event.index != run.tokens:
            return []
        if run.tokens < PROVED_TOKENS <= run.tokens + event.tokens:
            self.admission.proved(event.request, event.attempt)
        run.tokens += event.tokens
        run.begun = True
        run.resumes = 0
        if run.dispatch.key:
            self.keep_text(run, event.text)
        elif run.is_pausable():
            run.pieces.append(event.text)
        frame = messages.Frame(
            request=event.request,
            attempt=event.attempt,
            sequence=run.sequence,
            text=event.text,
            tokens=event.tokens,
        )
        run.sequence += 1
        self.outbox.hold(run.sender, frame)
        return []

    def keep_text(self, run: runs.Run, text: str) -> None:
        """Keeps the text of a completion with an idempotency key.

        Text that is too long to be stored is discarded.
        """
        if run.text is None:
            return
        run.text += text
        if len(run.text) > self.claims.limits.answer_bytes:
            run.text = None

    def engine_ended(self, event: events.EngineEnded, now: float) -> Actions:
        """Finishes a stream, or fails it if tokens were lost."""
        run = self.runs.get((event.request, event.attempt))
        if run is None:
            return []
        if event.completion_tokens != run.tokens:
            # Tokens were lost between the engine and the agent, so the
            # stream must not be reported as complete.
            return self.fail(
                run, results.Code.STREAM_BROKEN, results.Ran.RAN, now
            )
        del self.runs[run.key()]
        uncached = event.prompt_tokens - event.cached_tokens
        made = run.earlier_tokens + event.completion_tokens
        self.admission.ended(
            event.request,
            event.attempt,
            now,
            finished=True,
            tokens=uncached + made,
        )
        message = messages.Finished(
            request=event.request,
            attempt=event.attempt,
            sequence=run.sequence,
            reason=event.reason,
            prompt_tokens=event.prompt_tokens,
            cached_tokens=event.cached_tokens,
            completion_tokens=made,
            truth=self.server_status(run.sender),
        )
        todo = self.outbox.send(run.sender, message)
        if run.dispatch.key:
            answer = kept_completions.answer(run, message)
            outputs = self.claims.finished(
                event.request, answer=answer, now=now
            )
            todo += self.apply_claims(outputs, now)
        return todo + self.advance(now)

    def service_done(self, event: events.ServiceDone, now: float) -> Actions:
        """Records the outcome of a claim, then forwards the answer."""
        run = self.runs.pop((event.request, event.attempt), None)
        if run is None:
            return []
        self.admission.ended(event.request, event.attempt, now, finished=True)
        todo: Actions = []
        if run.dispatch.key:
            answer = claim_records.StoredAnswer(
                status=event.status, headers=event.headers, body=event.body
            )
            outputs = self.claims.finished(
                event.request, answer=answer, now=now
            )
            todo += self.apply_claims(outputs, now)
        message = messages.ServiceAnswer(
            request=event.request,
            attempt=event.attempt,
            status=event.status,
            headers=event.headers,
            body=event.body,
            truth=self.server_status(run.sender),
        )
        return todo + self.outbox.send(run.sender, message) + self.advance(now)

    def engine_broken(self, event: events.EngineBroken, now: float) -> Actions:
        """Handles an answer that broke off or never began."""
        run = self.runs.get((event.request, event.attempt))
        if run is None:
            return []
        if self.kind == declarations.ServerKind.SERVICE:
            code = results.Code.SERVICE_FAILED
            return self.fail(run, code, results.Ran(event.ran), now)
        # An attempt that the engine refuses now may have run before a pause.
        run.begun |= event.ran != results.Ran.NOT_RUN
        run.ran = results.Ran.RAN if run.begun else event.ran
        if run.stage == runs.RunStage.PAUSING:
            return self.requeue_paused(run, now)
        run.stage = runs.RunStage.BROKEN
        if run.ran == results.Ran.NOT_RUN:
            self.admission.not_started(event.request, event.attempt)
        return [actions.CheckEngine()]

    def engine_status(self, status: events.EngineStatus, now: float) -> Actions:
        """Handles the engine's status; detects a crash or restart."""
        before = self.status.incarnation
        self.status = status
        todo = self.update_orders(status, now)
        if status.slots:
            self.admission.slots = status.slots
        if before and status.incarnation != before:
            return todo + self.engine_died(before, now) + self.advance(now)
        for run in list(self.runs.values()):
            if run.stage == runs.RunStage.BROKEN:
                todo += self.resume(run, now)
        return todo + self.advance(now)

    def announce(self) -> Actions:
        """Sends a report to each entry in `received`.

        Entries learn a server's state from its answers, and a server that is
        closed for a load sends none. An upgrade closes many servers in turn,
        each for about half a second, so without the reports entries would
        treat all of them as closed.
        """
        return [
            actions.Send(
                address=each,
                message=messages.ProbeAnswer(truth=self.server_status(each)),
            )
            for each in self.received
        ]

    def update_orders(self, status: events.EngineStatus, now: float) -> Actions:
        """Passes the load and a new status to the orders."""
        adapters = {
            each.dispatch.completion.adapter
            for each in self.runs.values()
            if each.dispatch.completion is not None
        }
        todo = self.orders.work(
            running=len(self.runs), adapters=frozenset(adapters), now=now
        )
        todo += self.orders.handle(status, now)
        return self.apply_orders(todo, now)

    def resume(self, run: runs.Run, now: float) -> Actions:
        """Resumes a stream whose connection broke while its engine is up.

        The engine has gone on generating, so a retry elsewhere would compute
        the same answer twice. An engine that refuses to resume breaks the
        stream again at once; MAX_RESUMES bounds that loop.
        """
        if run.ran == results.Ran.NOT_RUN or run.resumes >= MAX_RESUMES:
            code = results.Code.STREAM_BROKEN
            return self.fail(run, code, results.Ran(run.ran), now)
        run.resumes += 1
        run.stage = runs.RunStage.RUNNING
        request, attempt = run.key()
        return [
            actions.ResumeRun(
                request=request, attempt=attempt, index=run.tokens
            )
        ]

    def engine_died(self, incarnation: str, now: float) -> Actions:
        """Fails the attempts that the engine ran, and refuses queued ones.

        A restarted engine may have begun an attempt that was on its way when
        the former one died, so each is also cancelled there.
        """
        suspects = self.admission.suspects()
        self.admission.clear()
        todo: Actions = []
        for run in list(self.runs.values()):
            match run.stage:
                case (
                    runs.RunStage.RUNNING
                    | runs.RunStage.BROKEN
                    | runs.RunStage.PAUSING
                    | runs.RunStage.PAUSED
                ):
                    ran = results.Ran(run.ran or _has_run(run))
                    crash = Crash(incarnation=incarnation, suspects=suspects)
                    code = results.Code.ENGINE_DIED
                    todo += self.fail(run, code, ran, now, crash)
                    request, attempt = run.key()
                    todo.append(
                        actions.CancelRun(request=request, attempt=attempt)
                    )
                case runs.RunStage.QUEUED:
                    refused = admission.Refuse(
                        code=results.Code.SERVER_DOWN,
                        dispatch=run.dispatch,
                        sender=run.sender,
                    )
                    todo += self.refuse_and_release(run, refused, now)
        return todo

    def fail(
        self,
        run: runs.Run,
        code: results.Code,
        ran: results.Ran,
        now: float,
        crash: Crash | None = None,
    ) -> Actions:
        """Ends an attempt with a failure."""
        request, attempt = run.key()
        self.admission.ended(request, attempt, now)
        verdict = self.failed_message(run, code, ran, crash)
        if run.dispatch.key and ran == results.Ran.NOT_RUN:
            return self.release(run, verdict, now) + self.advance(now)
        del self.runs[run.key()]
        todo: Actions = []
        if run.dispatch.key:
            outputs = self.claims.failed(request, ran, now)
            todo += self.apply_claims(outputs, now)
        todo += self.outbox.send(run.sender, verdict)
        return todo + self.advance(now)

    def failed_message(
        self,
        run: runs.Run,
        code: results.Code,
        ran: results.Ran,
        crash: Crash | None = None,
    ) -> messages.Failed:
        """Returns the message that reports the failure of an attempt."""
        request, attempt = run.key()
        return messages.Failed(
            request=request,
            attempt=attempt,
            code=code,
            ran=ran,
            truth=self.server_status(run.sender),
            suspects=crash.suspects if crash else [],
            incarnation=crash.incarnation if crash else "",
        )

    def cancel(
        self, message: messages.Cancel, sender: str, now: float
    ) -> Actions:
        """Handles the cancellation of an attempt by its entry."""
        run = self.runs.get((message.request, message.attempt))
        if run is None or run.sender != sender:
            return []
        return self.abandon(run, now)

    def abandon(self, run: runs.Run, now: float) -> Actions:
        """Stops an attempt that is no longer needed.

        A service call, or an attempt with an idempotency key, goes on: its
        outcome has to be recorded.
        """
        if run.dispatch.key or run.dispatch.completion is None:
            run.wanted = False
            return []
        del self.runs[run.key()]
        request, attempt = run.key()
        if self.admission.cancel(request, attempt):
            return []
        self.admission.ended(request, attempt, now)
        stop = actions.CancelRun(request=request, attempt=attempt)
        return [stop, *self.advance(now)]

    def unreachable(self, event: events.Unreachable, now: float) -> Actions:
        """Stops the attempts of an entry that can't be reached."""
        self.outbox.drop(event.address)
        todo: Actions = []
        for run in list(self.runs.values()):
            if run.sender == event.address:
                todo += self.abandon(run, now)
        return todo

    def probe(self, message: messages.Probe, sender: str) -> Actions:
        """Replies to a probe with the requests that are unknown here."""
        known = {request for request, _ in self.runs}
        unknown = [each for each in message.requests if each not in known]
        report = messages.ProbeAnswer(
            truth=self.server_status(sender), unknown=unknown
        )
        return self.outbox.send(sender, report)


def _has_run(run: runs.Run) -> results.Ran:
    """Returns whether an attempt ran on an engine that has crashed.

    It was submitted, but unless the engine reported anything about it, the
    engine may have been down already; "ran" could then be false.
    """
    return results.Ran.RAN if run.begun else results.Ran.UNKNOWN
