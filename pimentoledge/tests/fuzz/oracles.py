"""What must hold, checked on everything that a World lets happen.

The oracle knows what was asked, what each caller was told, and what the fakes
really ran. Each check belongs to one line of LINES.
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

LINES = {
    "cache": "no request relies on a dead engine's, another organisation's"
    " or older weights' cache",
    "stream": "every stream is complete and in order",
    "restart": "a restarted entry serves at once",
    "own": "a caller gets the whole answer to its own request",
    "not_run": "a refusal that says not run is true",
    "once": "a call that may not be repeated runs at most once",
    "leaving": "a leaving server gets no new work after a few seconds",
    "drain": "a graceful shutdown cuts no request",
    "configuration": "an accepted configuration is in force and stays",
    "answered": "every accepted request is answered in time, and once",
    "shared": "shared prompt work is not paid twice",
    "told": "nothing told to a caller is false",
    "loads": "loads at one time stay within the limit",
    "upgrade": "an upgrade ends, and alone leaves no model without a runner",
    "limits": "a contract's limit holds over all entries",
    "poison": "one poison request crashes at most three engines",
}
# A change is in force everywhere by then, unless the store is cut off.
FORCE_SECONDS = 5.0
# An order that was longer on its way may reach its engine when the permit
# has been counted as lost: ten seconds, less two from its last confirmation
# to the order, and less the load itself.
ORDER_SECONDS = 5.0
# After its deadline a request has this long to be answered.
LATE_SECONDS = 1.0
POISON = "POISON"
MOST_CRASHES = 3
HISTORY = 80
SHORT = 180
TOKEN_BYTES = 4


class ViolationError(AssertionError):
    """Something that must always hold did not.

    Attributes:
        line: key of LINES.
    """

    def __init__(self, line: str, text: str, history: list[str]):
        super().__init__(
            f"{LINES[line]}: {text}\n" + "\n".join(history[-HISTORY:])
        )
        self.line = line


@attrs.define(kw_only=True)
class TrackedRequest:
    """One request, and what its caller has been told.

    Attributes:
        event: the caller's request.
        organisation: whose it is.
        entry: the process that got it.
        deadline: when it must be answered.
        text: text received.
        tokens: tokens received.
        ended: the last action of the answer; None before.
        error: the error it ended with.
        lost: whether its entry died, or the caller went away.
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
        path: which object.
        expected: the version that the operator had read.
        mark: bytes that only this change writes.
        accepted: whether the operator was told so.
        refused: whether the operator was told that nothing was written.
    """

    path: str
    expected: int
    mark: bytes
    accepted: bool = False
    refused: bool = False


class Oracle:
    """Sees everything and judges it.

    Attributes:
        world: what it watches.
        asked: requests by id.
        ran: how often each request began to run in a backend.
        reached_backend: requests that were handed to a backend; what waits
            in an engine's own queue when it dies counts as run, since
            nobody outside can tell.
        key_ran: the same by idempotency key.
        changes: operators' changes by request id.
        contents: everything that was ever stored, by path and version.
        steps: events given to state machines.
        crashes: engine and number of each crash by poison.
        pushed: the same of crashes that had another cause.
        disturbed: whether entries could not reach each other at some time.
        late: engines whose load was ordered too long ago to be counted.
        failed: whether a violation was raised; what comes after it says
            nothing, since a state machine was left in the middle of a step.
        history: what happened, as text.
    """

    def __init__(self, *, world):
        self.world = world
        self.asked: dict[str, TrackedRequest] = {}
        self.ran = collections.Counter()
        self.reached_backend: set[str] = set()
        self.key_ran = collections.Counter()
        self.changes: dict[str, Change] = {}
        self.contents: dict[tuple, bytes | None] = {}
        self.steps = 0
        self.disturbed = False
        self.late: set[str] = set()
        self.failed = False
        self.history: list[str] = []
        self.owners: dict[tuple, object] = {}
        self.cached: dict[tuple, int] = {}
        self.prompts: dict[tuple, list] = {}
        self.left: dict[str, float] = {}
        self.versions: dict[tuple, int] = {}
        self.crashes: set[tuple] = set()
        self.pushed: set[tuple] = set()

    def fail(self, line: str, text: str) -> None:
        """Raises a violation of a line."""
        self.failed = True
        raise ViolationError(line, text, self.history)

    def note(self, text: str) -> None:
        """Adds to the history."""
        self.history.append(f"{self.world.now:.3f} {text}")

    def started(self, process) -> None:
        """A process starts."""
        self.note(f"{process.name} starts")

    def stopped(self, process) -> None:
        """A process ends without warning: its callers see it."""
        self.disturbed |= process.is_entry()
        self.note(f"{process.name} ends")
        for asked in self.asked.values():
            if asked.entry is process and asked.ended is None:
                asked.lost = True

    def shut_down(self, process) -> None:
        """A draining process ends because it says that it is idle."""
        self.note(f"{process.name} is idle and ends")
        for request, asked in self.asked.items():
            if asked.entry is process and not (asked.ended or asked.lost):
                self.fail("drain", f"{process.name} cut {request}")
        for (_, request, _), owner in self.owners.items():
            asked = self.asked.get(request)
            waits = asked and not (asked.ended or asked.lost)
            if owner is process and waits and self.running(request, process):
                self.fail("drain", f"{process.name} cut the run of {request}")

    def running(self, request: str, process) -> bool:
        """Returns whether a request is in a process's engine."""
        streams = getattr(process.backend, "streams", {})
        return any(each == request for each, _ in streams)

    def submitted(self, asked: TrackedRequest) -> None:
        """A caller asks."""
        event = asked.event
        self.asked[event.request] = asked
        kind = "completion" if event.completion else "call"
        self.note(
            f"{event.request}: {asked.organisation} asks"
            f" {asked.entry.name} for a {kind} key={event.idempotency_key!r}"
        )

    def given(self, process, event) -> None:
        """A state machine is given an event."""
        self.steps += 1
        self.disturbed |= isinstance(event, events.Unreachable)
        if not _is_noise(event):
            self.note(f"{process.name} <- {_short(event)}")

    def did(self, process, action) -> None:
        """A state machine asks for something."""
        if not _is_noise(action):
            self.note(f"{process.name} -> {_short(action)}")
        match action:
            case actions.Send(message=messages.Admitted() as admitted):
                self.admitted(process, admitted)
            case actions.ReplyOperator():
                self.operator_told(action)
            case (
                actions.ReplyText()
                | actions.ReplyEnd()
                | actions.ReplyAnswer()
                | actions.ReplyError()
            ):
                self.replied(process, action)
        self.check_configuration(process)

    def replied(self, process, action) -> None:
        """A caller is told something."""
        asked = self.asked.get(action.request)
        if asked is None or asked.entry is not process:
            self.fail("own", f"an answer to nobody: {action}")
        if asked.lost:
            return
        if asked.ended is not None:
            self.fail("answered", f"{action.request} answered twice")
        match action:
            case actions.ReplyText():
                asked.text += action.text
                asked.tokens += action.tokens
                self.check_text(asked)
                return
            case actions.ReplyEnd():
                self.check_end(asked, action)
            case actions.ReplyAnswer():
                self.check_answer(asked, action)
            case actions.ReplyError():
                asked.error = action.error
                self.check_outcome(asked)
        asked.ended = action

    def stored(self, found: stores.Object | None) -> None:
        """A write has reached the store."""
        if found is None:
            return
        self.contents[(found.path, found.version)] = found.value
        for change in self.changes.values():
            if change.refused and change.mark in (found.value or b""):
                self.fail("told", f"{change} was written after all")

    def operator_told(self, reply: actions.ReplyOperator) -> None:
        """Checks what an operator is told of a change."""
        change = self.changes.get(reply.request)
        if change is None:
            return
        versions = [
            version
            for (path, version), value in self.contents.items()
            if path == change.path and change.mark in (value or b"")
        ]
        if reply.status == 200:
            if reply.version not in versions:
                self.fail("configuration", f"{reply} is not in the store")
            change.accepted = True
        elif reply.fields["error"].get("ran") == "not_run":
            change.refused = True
            if versions:
                self.fail("told", f"{reply}, and it is in the store")
        rivals = [
            each
            for each in self.changes.values()
            if each.accepted
            and (each.path, each.expected) == (change.path, change.expected)
        ]
        if len(rivals) > 1:
            self.fail("configuration", f"two winners: {rivals}")

    def expected(self, asked: TrackedRequest) -> str:
        """Returns the whole text of a completion."""
        wanted = asked.event.completion
        return fake_engines.expected_text(wanted.prompt, 0, wanted.max_tokens)

    def check_text(self, asked: TrackedRequest) -> None:
        """Checks that a stream is its own, in order and without gaps."""
        if not self.expected(asked).startswith(asked.text):
            self.fail("stream", f"{asked.event.request} got {asked.text!r}")

    def check_end(self, asked: TrackedRequest, end: actions.ReplyEnd) -> None:
        """Checks a stream that is said to be complete, and its usage."""
        request = asked.event.request
        if asked.text != self.expected(asked):
            self.fail("stream", f"{request} ended short: {asked.text!r}")
        if end.completion_tokens != asked.tokens:
            self.fail("told", f"{request}: {end} after {asked.tokens} tokens")
        cached = {n for (each, _), n in self.cached.items() if each == request}
        if end.cached_tokens not in cached:
            self.fail("told", f"{request}: {end}, the engines said {cached}")

    def check_answer(
        self, asked: TrackedRequest, answer: actions.ReplyAnswer
    ) -> None:
        """Checks that a service's answer is to this very call."""
        if not answer.body.endswith(b" of " + asked.event.call.body):
            self.fail("own", f"{asked.event.request} got {answer.body!r}")
        if not self.runs(asked):
            self.fail("told", f"{asked.event.request} answered, never run")

    def runs(self, asked: TrackedRequest) -> int:
        """Returns a number above 0 if a request, or its key, was run."""
        key = (asked.organisation, asked.event.idempotency_key)
        by_key = self.key_ran[key] if key[1] else 0
        begun = asked.event.request in self.reached_backend
        return self.ran[asked.event.request] + by_key + begun

    def check_outcome(self, asked: TrackedRequest) -> None:
        """Checks what an error says about the call having run."""
        request = asked.event.request
        said = asked.error.outcome()
        if said == results.Ran.NOT_RUN and self.ran[request]:
            self.fail("not_run", f"{request} ran; told {asked.error}")
        claimed = asked.error.code == results.Code.CLAIM_RUNNING
        # What is said of poison is said of its content, whoever sent it.
        poison = asked.error.code == results.Code.POISON
        ran = self.runs(asked) or (poison and self.content_ran(asked))
        if said == results.Ran.RAN and not ran and not claimed:
            self.fail("told", f"{request} never ran; told {asked.error}")

    def content_ran(self, asked: TrackedRequest) -> bool:
        """Returns whether the same content was ever run."""
        wanted = asked.event.completion
        return any(
            each.organisation == asked.organisation
            and each.event.completion == wanted
            and request in self.reached_backend
            for request, each in self.asked.items()
        )

    def reached(self, process, run: actions.RunCompletion) -> None:
        """A completion reaches an engine."""
        self.owners[(id(process.backend), run.request, run.attempt)] = process
        if process.backend.incarnation:
            self.reached_backend.add(run.request)

    def owner_of(self, event):
        """Returns the life of an agent that waits for an engine's word."""
        for process in self.world.active_processes():
            key = (id(process.backend), event.request, event.attempt)
            if key in self.owners:
                return self.owners[key]
        return None

    def engine_said(self, process, event) -> None:
        """An engine says something of a completion."""
        self.note(f"{process.name}'s engine: {_short(event)}")
        if isinstance(event, events.EngineBroken) and event.text == "crashed":
            self.count_crash(process, event)
        if not isinstance(event, events.EngineStarted):
            return
        asked = self.asked[event.request]
        self.cached[(event.request, event.attempt)] = event.cached_tokens
        self.count(asked)
        self.check_cache(process, asked, event)

    def count(self, asked: TrackedRequest) -> None:
        """Counts a run, and checks that it was allowed."""
        request = asked.event.request
        self.ran[request] += 1
        if asked.error is not None:
            said = asked.error.outcome()
            if said == results.Ran.NOT_RUN:
                self.fail("not_run", f"{request} runs after {asked.error}")
        key = asked.event.idempotency_key
        if not key:
            return
        self.key_ran[(asked.organisation, key)] += 1
        if self.key_ran[(asked.organisation, key)] > 1:
            self.fail("once", f"key {key!r} of {asked.organisation} ran again")

    def called(self, action: actions.RunCall, runs: int) -> None:
        """A call reached a plain service and ran, or did not."""
        self.note(f"service runs {action.request}: {runs}")
        for _ in range(runs):
            self.count(self.asked[action.request])

    def check_cache(self, process, asked: TrackedRequest, event) -> None:
        """Checks that reused tokens are of this organisation and engine."""
        prompt = asked.event.completion.prompt
        engine = process.backend
        life = (event.incarnation, engine.weights, asked.organisation)
        seen = self.prompts.setdefault(life, [])
        reused = event.cached_tokens * TOKEN_BYTES
        known = any(each[:reused] == prompt[:reused] for each in seen)
        if event.cached_tokens and not known:
            self.fail("cache", f"{asked.event.request} reused {reused} bytes")
        seen.append(prompt)

    def admitted(self, process, admitted: messages.Admitted) -> None:
        """An agent takes a request."""
        run = process.core.runs.get((admitted.request, admitted.attempt))
        status = process.core.status
        if run is not None:
            sent = run.dispatch
            if sent.incarnation not in ("", status.incarnation):
                self.fail("cache", f"{process.name} took {_short(sent)}")
            if sent.weights not in ("", status.weights):
                self.fail("cache", f"{process.name} took {_short(sent)}")
        left = self.left.get(process.name)
        if left is not None and self.world.now - left > FORCE_SECONDS:
            self.fail("leaving", f"{process.name} took {admitted.request}")

    def count_crash(self, process, event: events.EngineBroken) -> None:
        """Counts the engines that a poison request crashed."""
        asked = self.asked[event.request]
        engine = process.backend
        crash = (engine.name, engine.counters.crashes)
        if not asked.event.completion.prompt.startswith(POISON):
            return
        if crash in self.pushed:
            return
        self.crashes.add(crash)
        if len(self.crashes) > MOST_CRASHES:
            self.fail("poison", f"{asked.event.request}: {self.crashes}")

    def check_configuration(self, process) -> None:
        """Checks that no declaration goes back to an older version."""
        view = process.core.configuration
        for kind, name in ((declarations.Model, "m"),):
            path = declarations.PREFIXES[kind] + name
            present = view.in_force(path)
            version = present.version if present else 0
            before = self.versions.get((process, path), 0)
            if version < before:
                self.fail(
                    "configuration",
                    f"{process.name} went back from {before} to {version}",
                )
            self.versions[(process, path)] = version

    def excuse_leaving(self) -> None:
        """Starts the time of a leave anew while nobody can hear of it."""
        objects = self.world.objects
        entries = [self.world.processes[e] for e in self.world.entries]
        nobody = all(each.paused for each in entries)
        for process in self.world.processes.values():
            declared = process.core.configuration.server(process.name)
            state = declared.state if declared else None
            held = any(
                each.blocked and each.target == process.address
                for each in self.world.channels.values()
            )
            deaf = objects.down or objects.latency or process.paused
            deaf = deaf or held or nobody
            known = state is declarations.ServerState.LEAVING
            if process.name in self.left and deaf and not known:
                self.left[process.name] = self.world.now

    def check_limit(self) -> None:
        """Checks the concurrency of the organisation that has a limit.

        It is exact while all entries reach each other. Once one was cut off,
        paused or restarted, a second owner may have lent it all again, and
        each entry has a share of its own.
        """
        world = self.world
        live = [world.processes[each] for each in world.entries]
        cut = any(each.blocked for each in world.channels.values())
        silent = any(each.core.limits.silent or each.paused for each in live)
        self.disturbed |= cut or silent
        tickets = [one for each in live for one in each.core.tickets.values()]
        running = [
            each.event.request
            for each in tickets
            if each.contract.concurrency
            and each.phase is not request_tickets.Phase.LIMITED
        ]
        most = max((each.contract.concurrency for each in tickets), default=0)
        if self.disturbed:
            most = 2 * most + len(live)
        if len(running) > most:
            self.fail("limits", f"{running} run, {most} may")

    def ordered(self, process, order, answer, age: float) -> None:
        """An order reached an engine.

        Args:
            process: the agent that gave it.
            order: the order.
            answer: the engine's answer.
            age: seconds that it was on its way.
        """
        self.note(f"{process.name}'s engine {order}: {answer}"[:SHORT])
        engine = process.backend
        if answer.accepted and engine.loading and age > ORDER_SECONDS:
            self.late.add(engine.name)
        self.check_loads()

    def check_loads(self) -> None:
        """Checks how many runners load, and that one is left that serves.

        It may be none that serves where an operator took others out, or they
        are down: only an upgrade that nothing came in the way of is judged.
        """
        world = self.world
        engines = [world.processes[each].backend for each in world.runners]
        loading = {each.name for each in engines if each.loading}
        self.late &= loading
        model = world.declared(declarations.Model, "m")
        if len(loading - self.late) > model.concurrent_loads:
            self.fail("loads", f"{loading} load at one time")
        kind = declarations.BackendServer
        declared = [
            world.declared(kind, world.processes[each].name)
            for each in world.runners
        ]
        state = declarations.ServerState.IN
        alone = all(each.state is state for each in declared)
        alone = alone and all(each.incarnation for each in engines)
        if alone and not self.late and len(engines) == len(loading) > 1:
            self.fail("upgrade", f"all runners of m load: {loading}")

    def passed(self) -> None:
        """Time has passed."""
        self.check_loads()
        self.excuse_leaving()
        self.check_limit()
        for request, asked in self.asked.items():
            if asked.ended or asked.lost or asked.entry.paused:
                continue
            if self.world.now > asked.deadline + LATE_SECONDS:
                self.fail("answered", f"{request} is late")

    def check_in_force(self) -> None:
        """Checks that all processes have what the store has."""
        for process in self.world.processes.values():
            for path, each in self.world.objects.objects.items():
                if not self.needs(process, path):
                    continue
                present = process.core.configuration.in_force(path)
                version = present.version if present else 0
                if version != (each.version if each.value else 0):
                    text = f"{process.name} has {path} at {version}"
                    self.fail("configuration", f"{text}, not {each.version}")

    def needs(self, process, path: str) -> bool:
        """Returns whether a process goes by an object of the store."""
        if process.is_entry():
            return path.startswith(declarations.ROOT)
        return path == declarations.PREFIXES[declarations.BackendServer] + (
            process.name
        )


def _is_noise(what) -> bool:
    """Returns whether something is too frequent for the history."""
    message = getattr(what, "message", None)
    if type(message).__module__ == configuration_messages.__name__:
        return True
    noise = (events.EngineStatus, stores.StoreAnswer, actions.LogDecision)
    return isinstance(what, noise)


def _short(what) -> str:
    text = repr(getattr(what, "message", what))
    return text if len(text) < SHORT else text[:SHORT] + "..."
