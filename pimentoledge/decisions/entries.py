"""The state machine of an entry: from a caller's request to its full answer.

It checks the contract, chooses a backend server, sends the request to that
server's agent and forwards the answer. The entry's view of the servers may be
out of date, so each dispatch carries the assumed server state, and the agent
refuses the dispatch if that state is wrong.
"""

from returns import result

from pimentoledge import results
from pimentoledge.decisions import acceptance
from pimentoledge.decisions import actions
from pimentoledge.decisions import administration
from pimentoledge.decisions import claim_records
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import distribution
from pimentoledge.decisions import events
from pimentoledge.decisions import limits
from pimentoledge.decisions import membership
from pimentoledge.decisions import placement
from pimentoledge.decisions import quarantine
from pimentoledge.decisions import requests
from pimentoledge.decisions import retries
from pimentoledge.decisions import streams
from pimentoledge.decisions import tickets
from pimentoledge.decisions import timers
from pimentoledge.nodes import messages

Actions = list[actions.Action]

# An agent that has neither admitted nor refused a request after this time is
# probed.
ANSWER_SECONDS = 0.5
# An agent that sends nothing for an admitted request during this time is
# probed.
SILENCE_SECONDS = 5.0
# An agent that does not answer a probe within this time is considered
# unreachable.
PROBE_SECONDS = 0.5

_DEADLINE = "deadline"
_QUIET = "quiet"
_RETRY = "retry"


class Entry:
    """The state machine for the requests of one entry.

    Attributes:
        name: name of the entry.
        address: its mailbox.
        block_bytes: prompt bytes in one block of the prefix chain.
        configuration: the entry's copy of the declared configuration.
        placer: chooses among usable servers.
        membership: tracks which servers are usable.
        limits: limits of the contracts over all entries.
        distributor: replicates the configuration between the nodes.
        administration: handles operators' requests.
        root: digest of the configuration that was last applied.
        budget: limits retries.
        quarantine: tracks content that was in engines that crashed.
        tickets: requests in progress, by id.
        timers: timers by (kind, request id).
        draining: whether new requests are refused because of a shutdown.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        data_centre: str,
        seed: int,
        block_bytes: int,
        view: configuration.Configuration,
        seeds: list[str],
        first_key: str = "",
    ):
        self.name = name
        self.address = address
        self.block_bytes = block_bytes
        self.configuration = view
        self.placer = placement.Placer(seed=seed, data_centre=data_centre)
        self.membership = membership.Membership(seed=seed)
        self.limits = limits.ContractLimits(
            name=name, address=address, seed=seed
        )
        self.distributor = distribution.Distributor(
            name=name,
            address=address,
            data_centre=data_centre,
            seed=seed,
            view=view,
            seeds=seeds,
        )
        self.administration = administration.Administration(
            name=name,
            seed=seed,
            view=view,
            distributor=self.distributor,
            first_key=first_key,
        )
        self.root = view.root
        self.budget = retries.RetryBudget()
        self.quarantine = quarantine.Quarantine(name=address)
        self.tickets: dict[str, tickets.Ticket] = {}
        self.timers = timers.Timers()
        self.draining = False

    def handle(self, event: object, now: float) -> Actions:
        """Handles an event and returns the actions to carry out."""
        todo = self.handle_configuration(event, now)
        todo += self.quarantine.handle(event, now)
        match event:
            case events.FromNode():
                todo += self.from_node(event, now)
            case events.CallerRequest():
                todo += self.accept(event, now)
            case events.CallerGone():
                todo += self.caller_gone(event, now)
            case events.Unreachable():
                todo += self.unreachable(event, now)
                todo += self.apply_limit_outputs(
                    self.limits.handle(event, now), now
                )
            case events.VmsListed():
                self.membership.update_vms(event.vms, now)
            case events.Drain():
                self.draining = True
        return todo

    def handle_configuration(self, event: object, now: float) -> Actions:
        """Passes an event to the configuration's state machines."""
        todo = self.distributor.handle(event, now)
        todo += self.administration.handle(event, now)
        return todo + self.apply_new_configuration(now)

    def apply_new_configuration(self, now: float) -> Actions:
        """Applies the declared configuration if it has changed."""
        if self.root == self.configuration.root:
            return []
        self.root = self.configuration.root
        peers = [each.mailbox for each in self.configuration.entries()]
        self.quarantine.peers = [each for each in peers if each != self.address]
        return self.apply_limit_outputs(
            self.limits.update_entries(peers, now), now
        )

    def tick(self, now: float) -> Actions:
        """Handles expired timers."""
        todo = self.distributor.wake(now)
        todo += self.administration.wake(now)
        todo += self.quarantine.wake(now)
        todo += self.probe_closed_servers(now)
        for kind, request in self.timers.due(now):
            ticket = self.tickets.get(request)
            if ticket is None:
                continue
            match kind:
                case "deadline":
                    todo += self.too_late(ticket, now)
                case "quiet":
                    todo += self.check_silence(ticket, now)
                case "retry":
                    todo += self.place(ticket, now)
        wake = self.limits.next_wake()
        if wake is not None and wake <= now:
            todo += self.apply_limit_outputs(self.limits.handle(None, now), now)
        return todo

    def probe_closed_servers(self, now: float) -> Actions:
        """Probes servers that take no new work, to detect a recovery."""
        closed = [
            self.configuration.server(name)
            for name in self.membership.due_probes(now)
        ]
        return [
            actions.Send(address=each.agent, message=messages.Probe())
            for each in closed
            if each is not None
        ]

    def next_wake(self) -> float | None:
        """Returns the time at which `tick` is due next."""
        times = (
            self.timers.next(),
            self.membership.next_wake(),
            self.limits.next_wake(),
            self.distributor.next_wake(),
            self.administration.next_wake(),
            self.quarantine.next_wake(),
        )
        return min((each for each in times if each is not None), default=None)

    def flush(self) -> Actions:
        """Returns the buffered messages; an entry buffers none."""
        return []

    def partners(self) -> set[str]:
        """Returns the mailboxes of the agents that have requests."""
        return {each.agent for each in self.tickets.values()}

    def idle(self) -> bool:
        """Returns whether every request has ended."""
        return not self.tickets

    def from_node(self, event: events.FromNode, now: float) -> Actions:
        """Handles a message from another process."""
        message = event.message
        match message:
            case messages.Frames():
                return self.frames(message.frames, event.sender, now)
            case messages.QuotaRequest() | messages.QuotaGrant():
                return self.apply_limit_outputs(
                    self.limits.handle(event, now), now
                )
            case messages.ProbeAnswer():
                return self.report(message, event.sender, now)
        ticket = self.current(message, event.sender)
        status = getattr(message, "truth", None)
        if status is not None:
            self.learn(status, now)
        if ticket is None:
            return []
        ticket.last_heard_at = now
        ticket.probed = False
        match message:
            case messages.Admitted():
                ticket.phase = tickets.Phase.ADMITTED
                self.set_silence_timer(ticket, now + SILENCE_SECONDS)
            case messages.Refused():
                return self.refused(ticket, message, now)
            case messages.Finished():
                return self.finished(ticket, message, now)
            case messages.ServiceAnswer():
                return self.answered(ticket, message, now)
            case messages.Failed():
                return self.failed(ticket, message, now)
        return []

    def current(self, message: object, sender: str) -> tickets.Ticket | None:
        """Returns the ticket of a message from its current attempt.

        Messages of an abandoned attempt may arrive at any later time. They
        must be ignored, since they could corrupt the caller's stream or be
        taken for the answer of another attempt.
        """
        ticket = self.tickets.get(getattr(message, "request", ""))
        if ticket is None or ticket.agent != sender:
            return None
        if not ticket.stream.is_current(message.request, message.attempt):
            return None
        return ticket

    def learn(self, status: messages.ServerStatus, now: float) -> None:
        """Applies an agent's report about its server unless it is outdated."""
        order = self.membership.record_report(status, now)
        if order is not membership.ReportOrder.PAST:
            self.placer.record_status(status, now)

    def accept(self, event: events.CallerRequest, now: float) -> Actions:
        """Accepts or refuses a caller's request."""
        if self.draining:
            error = results.Error(code=results.Code.SHUTTING_DOWN)
            return [_error(event.request, error)]
        match acceptance.check(event, self.configuration):
            case result.Failure(error):
                return [_error(event.request, error)]
            case result.Success(accepted):
                ticket = self.ticket(event, accepted, now)
        match self.quarantine.check(ticket.fingerprint, now):
            case quarantine.Poison(error=error):
                return [
                    requests.log_poison(ticket),
                    _error(event.request, error),
                ]
        self.budget.record_request(now)
        self.tickets[event.request] = ticket
        self.timers.set((_DEADLINE, event.request), ticket.deadline)
        match self.limits.admit(ticket.contract, event.request, now):
            case limits.Granted(sends=sends):
                return self.apply_limit_outputs(sends, now) + self.place(
                    ticket, now
                )
            case limits.Refused(error=error, sends=sends):
                done = self.end_error(ticket, error, now)
                return self.apply_limit_outputs(sends, now) + done
            case limits.Waiting(sends=sends):
                return self.apply_limit_outputs(sends, now)

    def ticket(
        self,
        event: events.CallerRequest,
        accepted: acceptance.Accepted,
        now: float,
    ) -> tickets.Ticket:
        """Creates the ticket of an accepted request."""
        contract = accepted.contract
        deadline = now + accepted.seconds
        ticket = tickets.Ticket(
            event=event,
            contract=contract,
            deadline=deadline,
            blocks=requests.prompt_blocks(
                event, contract.organisation, self.block_bytes
            ),
            fingerprint=acceptance.fingerprint(contract.organisation, event),
            stream=streams.Stream(request=event.request),
            attempt_state=retries.AttemptState(deadline=deadline),
        )
        ticket.attempt_state.repeatable = ticket.repeatable()
        return ticket

    def apply_limit_outputs(self, outputs: list[object], now: float) -> Actions:
        """Applies the limits' decisions and returns their messages."""
        todo: Actions = []
        for output in outputs:
            match output:
                case limits.Decided():
                    todo += self.limit_decided(output, now)
                case _:
                    todo.append(output)
        return todo

    def limit_decided(self, decided: limits.Decided, now: float) -> Actions:
        """Places or ends a request that waited for its limit."""
        ticket = self.tickets.get(decided.request)
        if ticket is None:
            return self.apply_limit_outputs(
                self.limits.release(decided.request, now), now
            )
        if decided.error is not None:
            return self.end_error(ticket, decided.error, now)
        return self.place(ticket, now)

    def place(self, ticket: tickets.Ticket, now: float) -> Actions:
        """Chooses a server and sends the request to its agent."""
        ticket.phase = tickets.Phase.PLACING
        ticket.crashes = 0
        match self.quarantine.check(ticket.fingerprint, now):
            case quarantine.Poison(error=error):
                end = self.end_error(ticket, error, now)
                return [requests.log_poison(ticket), *end]
            case quarantine.Suspect(crashes=crashes):
                ticket.crashes = crashes
                request = ticket.event.request
                if not self.quarantine.claim(ticket.fingerprint, request):
                    return self.handle_failure(ticket, _SUSPECT_BUSY, now)
        choice = self.choose(ticket, now)
        log = requests.log_route(ticket, choice)
        server = self.configuration.server(choice.server or "")
        if server is None:
            failure = retries.NoCandidate()
            return [log, *self.handle_failure(ticket, failure, now)]
        attempt = ticket.stream.new_attempt()
        ticket.phase = tickets.Phase.SENT
        ticket.server = server.name
        ticket.agent = server.agent
        ticket.last_heard_at = now
        ticket.probed = False
        dispatch = requests.dispatch(
            ticket, attempt, choice, self.configuration.version, now
        )
        uncached = dispatch.prompt_tokens - choice.expected_depth
        request = ticket.event.request
        self.placer.sent(server.name, request, max(0, uncached), now)
        self.membership.record_dispatch(server.name, now)
        self.set_silence_timer(ticket, now + ANSWER_SECONDS)
        return [log, actions.Send(address=server.agent, message=dispatch)]

    def choose(self, ticket: tickets.Ticket, now: float) -> placement.Choice:
        """Chooses the server for a request's next attempt."""
        completion = ticket.event.completion
        call = ticket.event.call
        if completion is not None:
            kind, serves = declarations.ServerKind.RUNNER, completion.model
        else:
            kind, serves = declarations.ServerKind.SERVICE, call.service
        declared = self.configuration.servers(kind, serves)
        usable = self.membership.usable(declared, now)
        if ticket.event.idempotency_key:
            # Only usable servers are considered, so the keys of a dead agent
            # move to the next owner at once and aren't tried at the dead one
            # first.
            usable = self.owners(ticket, serves, usable)
        elif ticket.crashes:
            return self.choose_for_suspect(ticket, usable)
        wanted = requests.placement_request(
            ticket, serves, self.block_bytes, now
        )
        return self.placer.choose(wanted, usable, now)

    def choose_for_suspect(
        self,
        ticket: tickets.Ticket,
        usable: list[declarations.BackendServer],
    ) -> placement.Choice:
        """Chooses the server for suspect content, the same at each entry."""
        names = [
            each.name
            for each in usable
            if each.name not in ticket.attempt_state.avoid
        ]
        order = self.quarantine.rank_servers(ticket.fingerprint, names)
        return placement.Choice(
            server=order[0] if order else None,
            reason=f"suspect of {ticket.crashes} crashes, run apart",
        )

    def owners(
        self,
        ticket: tickets.Ticket,
        serves: str,
        usable: list[declarations.BackendServer],
    ) -> list[declarations.BackendServer]:
        """Returns the server that owns a request's idempotency key, if any."""
        shard = claim_records.shard_of(
            ticket.contract.organisation, ticket.event.idempotency_key
        )
        left = [
            each
            for each in usable
            if each.name not in ticket.attempt_state.avoid
        ]
        owner = claim_records.owner(serves, shard, left)
        return [owner] if owner is not None else []

    def frames(
        self, frames: list[messages.Frame], sender: str, now: float
    ) -> Actions:
        """Forwards frames to their callers, in order."""
        todo: Actions = []
        for frame in frames:
            ticket = self.tickets.get(frame.request)
            if ticket is None or ticket.agent != sender:
                todo.append(_stop_orphan(frame, sender))
                continue
            delivered = ticket.stream.accept(frame)
            if isinstance(delivered, streams.Broken):
                todo += self.stream_broken(ticket, now)
                continue
            if not delivered:
                continue
            ticket.last_heard_at = now
            ticket.probed = False
            for each in delivered:
                todo.append(
                    actions.ReplyText(
                        request=each.request, text=each.text, tokens=each.tokens
                    )
                )
        return todo

    def stream_broken(self, ticket: tickets.Ticket, now: float) -> Actions:
        """Cancels an attempt that lost frames, then retries or ends."""
        failure = retries.Broken(
            server=ticket.server,
            code=results.Code.STREAM_BROKEN,
            ran=results.Ran.RAN,
        )
        return [self.cancel(ticket), *self.handle_failure(ticket, failure, now)]

    def refused(
        self, ticket: tickets.Ticket, message: messages.Refused, now: float
    ) -> Actions:
        """Retries or ends a request that its agent refused."""
        code = results.Code(message.code)
        if code == results.Code.SERVER_DOWN:
            self.membership.record_refusal(ticket.server, now)
        if code in _FINAL_CODES:
            error = results.Error(
                code=code,
                ran=ticket.attempt_state.ran,
                retry_after=message.retry_after,
            )
            return self.end_error(ticket, error, now)
        failure = retries.NotRun(
            server=ticket.server, code=code, retry_after=message.retry_after
        )
        return self.handle_failure(ticket, failure, now)

    def failed(
        self, ticket: tickets.Ticket, message: messages.Failed, now: float
    ) -> Actions:
        """Retries or ends a request that was admitted and failed."""
        code = results.Code(message.code)
        if code in _FINAL_CODES:
            error = results.Error(code=code, ran=results.Ran(message.ran))
            return self.end_error(ticket, error, now)
        todo: Actions = []
        if code == results.Code.ENGINE_DIED:
            todo = self.quarantine.record_crash(
                message.suspects, ticket.server, message.incarnation, now
            )
        failure = retries.Broken(
            server=ticket.server, code=code, ran=results.Ran(message.ran)
        )
        return todo + self.handle_failure(ticket, failure, now)

    def finished(
        self, ticket: tickets.Ticket, message: messages.Finished, now: float
    ) -> Actions:
        """Ends a stream if all its frames were forwarded."""
        match ticket.stream.finish(message):
            case streams.Broken():
                return self.stream_broken(ticket, now)
            case streams.Complete(completion_tokens=tokens):
                pass
            case _:
                return []
        self.placer.finished(
            ticket.server,
            message.request,
            ticket.blocks,
            message.cached_tokens,
            now,
        )
        reply = actions.ReplyEnd(
            request=message.request,
            reason=message.reason,
            prompt_tokens=message.prompt_tokens,
            cached_tokens=message.cached_tokens,
            completion_tokens=tokens,
        )
        released = self.quarantine.record_completion(ticket.fingerprint, now)
        return [reply, *released, *self.end(ticket, now)]

    def answered(
        self,
        ticket: tickets.Ticket,
        message: messages.ServiceAnswer,
        now: float,
    ) -> Actions:
        """Forwards a service's answer to the caller."""
        self.placer.finished(ticket.server, message.request, [], 0, now)
        reply = actions.ReplyAnswer(
            request=message.request,
            status=message.status,
            headers=message.headers,
            body=message.body,
            replayed=message.replayed,
        )
        return [reply, *self.end(ticket, now)]

    def handle_failure(
        self, ticket: tickets.Ticket, failure: retries.Failure, now: float
    ) -> Actions:
        """Retries a failed request or ends it with an error."""
        tries = ticket.attempt_state
        tries.streamed = ticket.stream.tokens
        tries.continuable = ticket.stream.can_continue()
        next_step = retries.next_step(tries, failure, self.budget, now)
        log = requests.log_step(ticket, failure, next_step)
        match next_step:
            case retries.GiveUp(error=error):
                return [log, *self.end_error(ticket, error, now)]
            case retries.Retry(delay=delay) if delay > 0:
                ticket.phase = tickets.Phase.PLACING
                ticket.stream.open = False
                self.timers.cancel((_QUIET, ticket.event.request))
                self.timers.set((_RETRY, ticket.event.request), now + delay)
                return [log]
            case retries.Retry():
                return [log, *self.place(ticket, now)]

    def end(self, ticket: tickets.Ticket, now: float) -> Actions:
        """Removes the state of a request that has ended."""
        request = ticket.event.request
        del self.tickets[request]
        self.quarantine.release_claim(ticket.fingerprint, request)
        for kind in (_DEADLINE, _QUIET, _RETRY):
            self.timers.cancel((kind, request))
        return self.apply_limit_outputs(self.limits.release(request, now), now)

    def end_error(
        self, ticket: tickets.Ticket, error: results.Error, now: float
    ) -> Actions:
        """Ends a request with an error."""
        return [_error(ticket.event.request, error), *self.end(ticket, now)]

    def cancel(self, ticket: tickets.Ticket) -> actions.Send:
        """Returns the message that cancels the current attempt."""
        cancel = messages.Cancel(
            request=ticket.event.request, attempt=ticket.stream.attempt
        )
        return actions.Send(address=ticket.agent, message=cancel)

    def caller_gone(self, event: events.CallerGone, now: float) -> Actions:
        """Cancels the request of a caller that disconnected."""
        ticket = self.tickets.get(event.request)
        if ticket is None:
            return []
        todo: Actions = []
        if _is_with_agent(ticket):
            todo.append(self.cancel(ticket))
        return todo + self.end(ticket, now)

    def too_late(self, ticket: tickets.Ticket, now: float) -> Actions:
        """Ends a request at its deadline; the error states whether it ran."""
        ran = ticket.attempt_state.ran
        if ticket.stream.tokens:
            ran = results.Ran.RAN
        elif _is_with_agent(ticket):
            ran = results.Ran.UNKNOWN
        error = results.Error(code=results.Code.DEADLINE_PASSED, ran=ran)
        todo = [self.cancel(ticket)] if _is_with_agent(ticket) else []
        return todo + self.end_error(ticket, error, now)

    def set_silence_timer(self, ticket: tickets.Ticket, at: float) -> None:
        """Sets the time at which the agent's silence is checked."""
        self.timers.set((_QUIET, ticket.event.request), at)

    def check_silence(self, ticket: tickets.Ticket, now: float) -> Actions:
        """Probes a silent agent, or treats it as lost after a probe."""
        limit = SILENCE_SECONDS
        if ticket.phase is tickets.Phase.SENT:
            limit = ANSWER_SECONDS
        if not _is_with_agent(ticket):
            return []
        if now - ticket.last_heard_at < limit:
            self.set_silence_timer(ticket, ticket.last_heard_at + limit)
            return []
        if ticket.probed:
            return self.agent_lost(ticket, results.Ran.UNKNOWN, now)
        ticket.probed = True
        self.set_silence_timer(ticket, now + PROBE_SECONDS)
        probe = messages.Probe(requests=[ticket.event.request])
        return [actions.Send(address=ticket.agent, message=probe)]

    def agent_lost(
        self, ticket: tickets.Ticket, ran: results.Ran, now: float
    ) -> Actions:
        """Retries or ends a request whose agent can't be reached."""
        suspected = self.quarantine.record_crash(
            [ticket.fingerprint],
            ticket.server,
            self.membership.incarnation(ticket.server),
            now,
            certain=False,
        )
        self.membership.record_timeout(ticket.server, now)
        self.placer.failed(ticket.server, now)
        if ticket.stream.tokens:
            ran = results.Ran.RAN
        failure = retries.Broken(
            server=ticket.server,
            code=results.Code.AGENT_UNREACHABLE,
            ran=ran,
        )
        cancel = self.cancel(ticket)
        return [cancel, *suspected, *self.handle_failure(ticket, failure, now)]

    def report(
        self, message: messages.ProbeAnswer, sender: str, now: float
    ) -> Actions:
        """Handles an agent's answer to a probe."""
        self.learn(message.truth, now)
        todo: Actions = []
        for request in message.unknown:
            ticket = self.tickets.get(request)
            # Messages of one sender arrive in order, so an answer sent before
            # the report would have arrived: the agent has lost the request.
            if ticket is not None and ticket.agent == sender and ticket.probed:
                todo += self.agent_lost(ticket, results.Ran.UNKNOWN, now)
        for ticket in self.tickets.values():
            if ticket.agent == sender and ticket.probed:
                ticket.last_heard_at = now
                ticket.probed = False
                self.set_silence_timer(ticket, now + SILENCE_SECONDS)
        return todo

    def unreachable(self, event: events.Unreachable, now: float) -> Actions:
        """Retries or ends all requests of an agent that can't be reached."""
        unsent = {
            (each.request, each.attempt)
            for each in event.unsent
            if isinstance(each, messages.Dispatch)
        }
        todo: Actions = []
        for ticket in list(self.tickets.values()):
            if ticket.agent != event.address or not _is_with_agent(ticket):
                continue
            key = (ticket.event.request, ticket.stream.attempt)
            self.membership.record_refusal(ticket.server, now)
            if key in unsent:
                failure = retries.NotRun(
                    server=ticket.server,
                    code=results.Code.AGENT_UNREACHABLE,
                )
                todo += self.handle_failure(ticket, failure, now)
            else:
                todo += self.agent_lost(ticket, results.Ran.UNKNOWN, now)
        return todo


_SUSPECT_BUSY = retries.NotRun(server="", code=results.Code.SUSPECT_BUSY)
# Codes from an agent that end the request without another attempt.
_FINAL_CODES = frozenset(
    {
        results.Code.CLAIM_RUNNING,
        results.Code.OUTCOME_UNKNOWN,
        results.Code.KEY_REUSED,
        results.Code.ANSWER_NOT_KEPT,
        # Other agents use the same shard of the same store, so a retry there
        # would fail too.
        results.Code.CLAIM_STORE_DOWN,
        results.Code.CLAIMS_FULL,
        results.Code.POISON,
    }
)


def _stop_orphan(frame: messages.Frame, sender: str) -> actions.Send:
    """Returns the message that cancels an attempt unknown to this entry.

    This happens if the attempt's entry was killed and this entry took over
    its address, or if the dispatch arrived after its own cancel, which was
    sent on an older connection. Without the cancel, the engine would generate
    the whole answer although nobody reads it.
    """
    cancel = messages.Cancel(request=frame.request, attempt=frame.attempt)
    return actions.Send(address=sender, message=cancel)


def _is_with_agent(ticket: tickets.Ticket) -> bool:
    """Returns whether an agent may have the request."""
    return ticket.phase in (tickets.Phase.SENT, tickets.Phase.ADMITTED)


def _error(request: str, error: results.Error) -> actions.ReplyError:
    return actions.ReplyError(request=request, error=error)
