"""Invariants, checked on every event and action in a World.

The oracle records the requests, the answers that callers received, and what
the fakes ran. Each check belongs to one of INVARIANTS.
"""

import collections

import attrs

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.decisions import tickets as request_tickets
from pimentoledge.nodes import configuration_messages
from pimentoledge.nodes import messages
from pimentoledge.runners import fake_engines

INVARIANTS = {
    "cache": "no request uses the cache of an ended engine, another"
    " organisation or older weights",
    "stream": "every stream is complete and in order",
    "restart": "a restarted entry serves requests at once",
    "own_answer": "a caller gets the complete answer to its own request",
    "not_run": "a request that is reported as not run never runs",
    "once": "a call that must not be repeated runs at most once",
    "leaving": "a leaving server gets no new requests after a few seconds",
    "drain": "a graceful shutdown aborts no request",
    "configuration": "an accepted configuration comes into force and is"
    " never reverted",
    "answered": "every accepted request is answered in time, exactly once",
    "shared": "a shared prompt is not computed twice",
    "reported": "callers and operators get no false reports",
    "loads": "the number of concurrent loads stays within the limit",
    "upgrade": "an upgrade ends, and doesn't by itself leave a model without a"
    " runner",
    "limits": "a contract's limit holds across all entries",
    "poison": "one poison request crashes at most three engines",
}
# Time after which a change is in force everywhere, unless the store can't be
# reached.
FORCE_SECONDS = 5.0
# An order that is delayed longer may reach its engine after its permit is
# counted as lost. That happens ten seconds after the permit's last
# confirmation, less two until the order is sent, and less the load itself.
MAX_ORDER_SECONDS = 5.0
# How long after its deadline a request may still be answered.
ANSWER_GRACE_SECONDS = 1.0
POISON = "POISON"
MAX_CRASHES = 3
MAX_HISTORY_LINES = 80
MAX_TEXT_CHARS = 180
BYTES_PER_TOKEN = 4


class ViolationError(AssertionError):
    """An invariant was violated.

    Attributes:
        invariant: key of INVARIANTS.
    """

    def __init__(self, invariant: str, text: str, history: list[str]):
        super().__init__(
            f"{INVARIANTS[invariant]}: {text}\n"
            + "\n".join(history[-MAX_HISTORY_LINES:])
        )
        self.invariant = invariant


@attrs.define(kw_only=True)
class TrackedRequest:
    """One request, and the answer that its caller has received.

    Attributes:
        event: the caller's request.
        organisation: the caller's organisation.
        entry: the process that received it.
        deadline: when it must be answered.
        text: text received.
        tokens: tokens received.
        ended: the last action of the answer; None before.
        error: the error that it ended with; None if there is none.
        lost: whether its entry ended or the caller disconnected.
    """

    event: events.CallerRequest
    organisation: str
    entry: object
    deadline: float
    text: str = ""
    tokens: int = 0
    ended: object = None
    error: results.Error | None = None
    lost: bool = False


@attrs.define(kw_only=True)
class Change:
    """One operator's change of a declaration.

    Attributes:
        path: path of the object.
        expected: the version that the operator had read.
        marker: bytes that only this change writes.
        accepted: whether the change was reported as accepted.
        refused: whether the change was reported as not written.
    """

    path: str
    expected: int
    marker: bytes
    accepted: bool = False
    refused: bool = False


class Oracle:
    """Records the events and actions of a world and checks the invariants.

    Attributes:
        world: the observed world.
        asked: requests by id.
        run_counts: how often each request began to run in a backend.
        reached_backend: requests that were submitted to a running engine. A
            request that waits in an engine's own queue when it crashes counts
            as run, since that can't be observed from outside.
        key_run_counts: runs by organisation and idempotency key.
        changes: operators' changes by request id.
        stored_values: all values ever stored, by path and version.
        steps: number of events that state machines handled.
        disturbed: whether entries were ever unable to reach each other.
        late_loads: engines whose load order was delayed so long that the load
            doesn't count.
        failed: whether a violation was raised. Later checks mean nothing then,
            since a state machine was interrupted in the middle of a step.
        history: log of the events and actions.
        run_owners: process that an attempt runs for, by the backend's id,
            request and attempt.
        cached_tokens: cached tokens that engines reported, by request and
            attempt.
        prompts: prompts that an engine ran, by incarnation, weights and
            organisation.
        leaving_since: time from which a server was leaving, by name.
        versions: newest version in force, by process and path.
        poison_crashes: engine and crash number of each crash caused by poison.
        pushed: the same for crashes injected by a rule.
    """

    def __init__(self, *, world):
        self.world = world
        self.asked: dict[str, TrackedRequest] = {}
        self.run_counts = collections.Counter()
        self.reached_backend: set[str] = set()
        self.key_run_counts = collections.Counter()
        self.changes: dict[str, Change] = {}
        self.stored_values: dict[tuple, bytes | None] = {}
        self.steps = 0
        self.disturbed = False
        self.late_loads: set[str] = set()
        self.failed = False
        self.history: list[str] = []
        self.run_owners: dict[tuple, object] = {}
        self.cached_tokens: dict[tuple, int] = {}
        self.prompts: dict[tuple, list] = {}
        self.leaving_since: dict[str, float] = {}
        self.versions: dict[tuple, int] = {}
        self.poison_crashes: set[tuple] = set()
        self.pushed: set[tuple] = set()

    def fail(self, invariant: str, text: str) -> None:
        """Raises a violation of an invariant."""
        self.failed = True
        raise ViolationError(invariant, text, self.history)

    def note(self, text: str) -> None:
        """Adds a line to the history."""
        self.history.append(f"{self.world.now:.3f} {text}")

    def record_start(self, process) -> None:
        """Records that a process starts."""
        self.note(f"{process.name} starts")

    def record_stop(self, process) -> None:
        """Records that a process ends without warning.

        Its callers notice, so their requests need no answer.
        """
        self.disturbed |= process.is_entry()
        self.note(f"{process.name} ends")
        for tracked in self.asked.values():
            if tracked.entry is process and tracked.ended is None:
                tracked.lost = True

    def check_shutdown(self, process) -> None:
        """Checks that a draining process that reports idle has no open work."""
        self.note(f"{process.name} is idle and ends")
        for request, tracked in self.asked.items():
            if tracked.entry is process and not (tracked.ended or tracked.lost):
                self.fail("drain", f"{process.name} aborted {request}")
        for (_, request, _), owner in self.run_owners.items():
            tracked = self.asked.get(request)
            is_open = tracked and not (tracked.ended or tracked.lost)
            if owner is process and is_open and self.running(request, process):
                self.fail(
                    "drain", f"{process.name} aborted the run of {request}"
                )

    def running(self, request: str, process) -> bool:
        """Returns whether a request is at a process's engine."""
        streams = getattr(process.backend, "streams", {})
        return any(each == request for each, _ in streams)

    def record_request(self, tracked: TrackedRequest) -> None:
        """Records a caller's request."""
        event = tracked.event
        self.asked[event.request] = tracked
        kind = "completion" if event.completion else "call"
        self.note(
            f"{event.request}: {tracked.organisation} sends"
            f" {tracked.entry.name} a {kind} key={event.idempotency_key!r}"
        )

    def record_event(self, process, event) -> None:
        """Records an event that a state machine handles."""
        self.steps += 1
        self.disturbed |= isinstance(event, events.Unreachable)
        if not _is_too_frequent(event):
            self.note(f"{process.name} <- {_abbreviate(event)}")

    def record_action(self, process, action) -> None:
        """Records and checks an action of a state machine."""
        if not _is_too_frequent(action):
            self.note(f"{process.name} -> {_abbreviate(action)}")
        match action:
            case actions.Send(message=messages.Admitted() as admitted):
                self.check_admission(process, admitted)
            case actions.ReplyOperator():
                self.check_operator_reply(action)
            case (
                actions.ReplyText()
                | actions.ReplyEnd()
                | actions.ReplyAnswer()
                | actions.ReplyError()
            ):
                self.check_reply(process, action)
        self.check_configuration(process)

    def check_reply(self, process, action) -> None:
        """Records and checks a reply to a caller."""
        tracked = self.asked.get(action.request)
        if tracked is None or tracked.entry is not process:
            self.fail("own_answer", f"an answer to no open request: {action}")
        if tracked.lost:
            return
        if tracked.ended is not None:
            self.fail("answered", f"{action.request} answered twice")
        match action:
            case actions.ReplyText():
                tracked.text += action.text
                tracked.tokens += action.tokens
                self.check_text(tracked)
                return
            case actions.ReplyEnd():
                self.check_end(tracked, action)
            case actions.ReplyAnswer():
                self.check_answer(tracked, action)
            case actions.ReplyError():
                tracked.error = action.error
                self.check_outcome(tracked)
        tracked.ended = action

    def record_write(self, found: stores.Object | None) -> None:
        """Records the object that a write to the store left."""
        if found is None:
            return
        self.stored_values[(found.path, found.version)] = found.value
        for change in self.changes.values():
            if change.refused and change.marker in (found.value or b""):
                self.fail("reported", f"{change} was reported as not written")

    def check_operator_reply(self, reply: actions.ReplyOperator) -> None:
        """Checks the reply to an operator's change."""
        change = self.changes.get(reply.request)
        if change is None:
            return
        versions = [
            version
            for (path, version), value in self.stored_values.items()
            if path == change.path and change.marker in (value or b"")
        ]
        if reply.status == 200:
            if reply.version not in versions:
                self.fail("configuration", f"{reply} is not in the store")
            change.accepted = True
        elif reply.fields["error"].get("ran") == "not_run":
            change.refused = True
            if versions:
                self.fail(
                    "reported", f"{reply}, but the change is in the store"
                )
        accepted = [
            each
            for each in self.changes.values()
            if each.accepted
            and (each.path, each.expected) == (change.path, change.expected)
        ]
        if len(accepted) > 1:
            self.fail(
                "configuration", f"conflicting changes accepted: {accepted}"
            )

    def expected_text(self, tracked: TrackedRequest) -> str:
        """Returns the complete text of a completion."""
        wanted = tracked.event.completion
        return fake_engines.expected_text(wanted.prompt, 0, wanted.max_tokens)

    def check_text(self, tracked: TrackedRequest) -> None:
        """Checks that a stream has the request's own text, without gaps."""
        if not self.expected_text(tracked).startswith(tracked.text):
            self.fail("stream", f"{tracked.event.request} got {tracked.text!r}")

    def check_end(self, tracked: TrackedRequest, end: actions.ReplyEnd) -> None:
        """Checks a stream that is reported as complete, and its usage."""
        request = tracked.event.request
        if tracked.text != self.expected_text(tracked):
            self.fail("stream", f"{request} ended short: {tracked.text!r}")
        if end.completion_tokens != tracked.tokens:
            self.fail(
                "reported", f"{request}: {end} after {tracked.tokens} tokens"
            )
        cached = {
            n for (each, _), n in self.cached_tokens.items() if each == request
        }
        if end.cached_tokens not in cached:
            self.fail(
                "reported",
                f"{request}: {end}, but the engines reported {cached}",
            )

    def check_answer(
        self, tracked: TrackedRequest, answer: actions.ReplyAnswer
    ) -> None:
        """Checks that a service's answer belongs to this call."""
        if not answer.body.endswith(b" of " + tracked.event.call.body):
            self.fail(
                "own_answer", f"{tracked.event.request} got {answer.body!r}"
            )
        if not self.count_runs(tracked):
            self.fail(
                "reported", f"{tracked.event.request} answered but never run"
            )

    def count_runs(self, tracked: TrackedRequest) -> int:
        """Returns a positive number if a request or its key was run."""
        key = (tracked.organisation, tracked.event.idempotency_key)
        by_key = self.key_run_counts[key] if key[1] else 0
        submitted = tracked.event.request in self.reached_backend
        return self.run_counts[tracked.event.request] + by_key + submitted

    def check_outcome(self, tracked: TrackedRequest) -> None:
        """Checks whether an error reports correctly if the request ran."""
        request = tracked.event.request
        outcome = tracked.error.outcome()
        if outcome == results.Ran.NOT_RUN and self.run_counts[request]:
            self.fail("not_run", f"{request} ran, but got {tracked.error}")
        claimed = tracked.error.code == results.Code.CLAIM_RUNNING
        # A poison error refers to the content, which another request of the
        # organisation may have sent.
        poison = tracked.error.code == results.Code.POISON
        ran = self.count_runs(tracked) or (
            poison and self.has_content_run(tracked)
        )
        if outcome == results.Ran.RAN and not ran and not claimed:
            self.fail(
                "reported", f"{request} never ran, but got {tracked.error}"
            )

    def has_content_run(self, tracked: TrackedRequest) -> bool:
        """Returns whether the organisation's same content was ever run."""
        wanted = tracked.event.completion
        return any(
            each.organisation == tracked.organisation
            and each.event.completion == wanted
            and request in self.reached_backend
            for request, each in self.asked.items()
        )

    def record_submission(self, process, run: actions.RunCompletion) -> None:
        """Records that a completion reaches an engine."""
        self.run_owners[(id(process.backend), run.request, run.attempt)] = (
            process
        )
        if process.backend.incarnation:
            self.reached_backend.add(run.request)

    def find_owner(self, event):
        """Returns the agent process for which an engine's event is."""
        for process in self.world.active_processes():
            key = (id(process.backend), event.request, event.attempt)
            if key in self.run_owners:
                return self.run_owners[key]
        return None

    def check_engine_event(self, process, event) -> None:
        """Records and checks an engine's event about a completion."""
        self.note(f"{process.name}'s engine: {_abbreviate(event)}")
        if isinstance(event, events.EngineBroken) and event.text == "crashed":
            self.check_crash(process, event)
        if not isinstance(event, events.EngineStarted):
            return
        tracked = self.asked[event.request]
        self.cached_tokens[(event.request, event.attempt)] = event.cached_tokens
        self.record_run(tracked)
        self.check_cache(process, tracked, event)

    def record_run(self, tracked: TrackedRequest) -> None:
        """Counts a run and checks that it was allowed."""
        request = tracked.event.request
        self.run_counts[request] += 1
        if tracked.error is not None:
            outcome = tracked.error.outcome()
            if outcome == results.Ran.NOT_RUN:
                self.fail("not_run", f"{request} runs after {tracked.error}")
        key = tracked.event.idempotency_key
        if not key:
            return
        self.key_run_counts[(tracked.organisation, key)] += 1
        if self.key_run_counts[(tracked.organisation, key)] > 1:
            self.fail(
                "once", f"key {key!r} of {tracked.organisation} ran again"
            )

    def record_call(self, action: actions.RunCall, runs: int) -> None:
        """Records how often a call that reached a plain service ran."""
        self.note(f"service runs {action.request}: {runs}")
        for _ in range(runs):
            self.record_run(self.asked[action.request])

    def check_cache(self, process, tracked: TrackedRequest, event) -> None:
        """Checks that cached tokens stem from this organisation and engine."""
        prompt = tracked.event.completion.prompt
        engine = process.backend
        cache_key = (event.incarnation, engine.weights, tracked.organisation)
        earlier_prompts = self.prompts.setdefault(cache_key, [])
        reused = event.cached_tokens * BYTES_PER_TOKEN
        known = any(
            each[:reused] == prompt[:reused] for each in earlier_prompts
        )
        if event.cached_tokens and not known:
            self.fail("cache", f"{tracked.event.request} reused {reused} bytes")
        earlier_prompts.append(prompt)

    def check_admission(self, process, admitted: messages.Admitted) -> None:
        """Checks that an agent was allowed to admit a request."""
        run = process.core.runs.get((admitted.request, admitted.attempt))
        status = process.core.status
        if run is not None:
            dispatch = run.dispatch
            if dispatch.incarnation not in ("", status.incarnation):
                self.fail(
                    "cache", f"{process.name} admitted {_abbreviate(dispatch)}"
                )
            if dispatch.weights not in ("", status.weights):
                self.fail(
                    "cache", f"{process.name} admitted {_abbreviate(dispatch)}"
                )
        leaving_since = self.leaving_since.get(process.name)
        if (
            leaving_since is not None
            and self.world.now - leaving_since > FORCE_SECONDS
        ):
            self.fail("leaving", f"{process.name} admitted {admitted.request}")

    def check_crash(self, process, event: events.EngineBroken) -> None:
        """Counts the engines that a poison request crashed."""
        tracked = self.asked[event.request]
        engine = process.backend
        crash = (engine.name, engine.counters.crashes)
        if not tracked.event.completion.prompt.startswith(POISON):
            return
        if crash in self.pushed:
            return
        self.poison_crashes.add(crash)
        if len(self.poison_crashes) > MAX_CRASHES:
            self.fail(
                "poison", f"{tracked.event.request}: {self.poison_crashes}"
            )

    def check_configuration(self, process) -> None:
        """Checks that no declaration is replaced by an older version."""
        view = process.core.configuration
        for kind, name in ((declarations.Model, "m"),):
            path = declarations.PREFIXES[kind] + name
            current = view.in_force(path)
            version = current.version if current else 0
            previous = self.versions.get((process, path), 0)
            if version < previous:
                self.fail(
                    "configuration",
                    f"{process.name} went back from {previous} to {version}",
                )
            self.versions[(process, path)] = version

    def postpone_leaving(self) -> None:
        """Restarts a leaving server's time limit while it can't be informed."""
        objects = self.world.objects
        entries = [self.world.processes[e] for e in self.world.entries]
        all_paused = all(each.paused for each in entries)
        for process in self.world.processes.values():
            declared = process.core.configuration.server(process.name)
            state = declared.state if declared else None
            blocked = any(
                each.blocked and each.target == process.address
                for each in self.world.channels.values()
            )
            unreachable = objects.down or objects.latency or process.paused
            unreachable = unreachable or blocked or all_paused
            is_informed = state is declarations.ServerState.LEAVING
            if (
                process.name in self.leaving_since
                and unreachable
                and not is_informed
            ):
                self.leaving_since[process.name] = self.world.now

    def check_limit(self) -> None:
        """Checks the concurrency of the organisation that has a limit.

        The limit is exact while all entries reach each other. After one was
        unreachable, paused or restarted, a second owner may have lent the
        whole limit again, and each entry has a share of its own.
        """
        world = self.world
        entries = [world.processes[each] for each in world.entries]
        blocked = any(each.blocked for each in world.channels.values())
        silent = any(each.core.limits.silent or each.paused for each in entries)
        self.disturbed |= blocked or silent
        open_tickets = [
            one for each in entries for one in each.core.tickets.values()
        ]
        running = [
            each.event.request
            for each in open_tickets
            if each.contract.concurrency
            and each.phase is not request_tickets.Phase.LIMITED
        ]
        limit = max(
            (each.contract.concurrency for each in open_tickets), default=0
        )
        if self.disturbed:
            limit = 2 * limit + len(entries)
        if len(running) > limit:
            self.fail("limits", f"{running} run, but the limit is {limit}")

    def check_order(self, process, order, answer, age: float) -> None:
        """Checks the loads after an order reached an engine.

        Args:
            process: the agent that sent it.
            order: the order.
            answer: the engine's answer.
            age: seconds between sending and arrival.
        """
        self.note(f"{process.name}'s engine {order}: {answer}"[:MAX_TEXT_CHARS])
        engine = process.backend
        if answer.accepted and engine.loading and age > MAX_ORDER_SECONDS:
            self.late_loads.add(engine.name)
        self.check_loads()

    def check_loads(self) -> None:
        """Checks how many runners load, and that one is left to serve.

        The second check is skipped if a server is declared out or an engine is
        down, since then no runner may be left for a reason other than the
        upgrade.
        """
        world = self.world
        engines = [world.processes[each].backend for each in world.runners]
        loading = {each.name for each in engines if each.loading}
        self.late_loads &= loading
        model = world.read_declaration(declarations.Model, "m")
        if len(loading - self.late_loads) > model.concurrent_loads:
            self.fail("loads", f"concurrent loads: {loading}")
        kind = declarations.BackendServer
        declared = [
            world.read_declaration(kind, world.processes[each].name)
            for each in world.runners
        ]
        state = declarations.ServerState.IN
        undisturbed = all(each.state is state for each in declared)
        undisturbed = undisturbed and all(each.incarnation for each in engines)
        if (
            undisturbed
            and not self.late_loads
            and len(engines) == len(loading) > 1
        ):
            self.fail("upgrade", f"all runners of m load: {loading}")

    def check_time(self) -> None:
        """Checks the invariants that depend on time."""
        self.check_loads()
        self.postpone_leaving()
        self.check_limit()
        for request, tracked in self.asked.items():
            if tracked.ended or tracked.lost or tracked.entry.paused:
                continue
            if self.world.now > tracked.deadline + ANSWER_GRACE_SECONDS:
                self.fail(
                    "answered", f"{request} has no answer after its deadline"
                )

    def check_propagation(self) -> None:
        """Checks that all processes have the stored versions in force."""
        for process in self.world.processes.values():
            for path, stored in self.world.objects.objects.items():
                if not self.uses_object(process, path):
                    continue
                current = process.core.configuration.in_force(path)
                version = current.version if current else 0
                if version != (stored.version if stored.value else 0):
                    text = f"{process.name} has {path} at {version}"
                    self.fail("configuration", f"{text}, not {stored.version}")

    def uses_object(self, process, path: str) -> bool:
        """Returns whether a process uses an object of the store."""
        if process.is_entry():
            return path.startswith(declarations.ROOT)
        return path == declarations.PREFIXES[declarations.BackendServer] + (
            process.name
        )


def _is_too_frequent(what) -> bool:
    """Returns whether an event or action is too frequent for the history."""
    message = getattr(what, "message", None)
    if type(message).__module__ == configuration_messages.__name__:
        return True
    noise = (events.EngineStatus, stores.StoreAnswer, actions.LogDecision)
    return isinstance(what, noise)


def _abbreviate(what) -> str:
    """Returns the text of an event or action for the history."""
    text = repr(getattr(what, "message", what))
    return text if len(text) < MAX_TEXT_CHARS else text[:MAX_TEXT_CHARS] + "..."
