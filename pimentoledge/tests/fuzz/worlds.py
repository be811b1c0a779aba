"""Entries, agents, engines, services and the store in one process.

Nothing happens by itself: whoever drives a World chooses which message,
store call or backend event is next, and when time passes. The state machines
and the fakes are the real ones; only sockets and threads are left out.
"""

import collections
import itertools

import attrs
import msgspec

from pimentoledge.decisions import actions
from pimentoledge.decisions import agents
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import entries
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.nodes import codecs
from pimentoledge.runners import fake_engines
from pimentoledge.runners import messages as runner_messages
from pimentoledge.services import fake_services
from pimentoledge.stores import fake_objects
from pimentoledge.tests.fuzz import oracles

BLOCK_BYTES = 256
STATUS_SECONDS = 0.5
# The limit of one of the two organisations.
CONCURRENCY = 3
# Runners that may load weights at one time.
LOADS = 1
# How long a message waits for a connection to a process that is gone.
CONNECT_SECONDS = 1.0
KEY = "fuzz-key-of-{}"
OPERATOR_KEY = "fuzz-key-of-an-operator"


@attrs.define(kw_only=True, eq=False)
class Process:
    """One life of an entry or an agent.

    Attributes:
        name: its name.
        address: its mailbox.
        core: its state machine.
        backend: fake engine or service beside an agent.
        alive: whether it reads messages; a former life does not.
        runs: whether it acts at all; a former life may, until it ends.
        paused: whether it stands still.
        draining: whether it was told to end once it is idle.
        status_at: when its engine is asked next.
        backend_events: events of its backend that are on the way to it.
        inbox: what came while it was paused.
    """

    name: str
    address: str
    core: entries.Entry | agents.Agent
    backend: object = None
    alive: bool = True
    runs: bool = True
    paused: bool = False
    draining: bool = False
    status_at: float = 0.0
    backend_events: collections.deque = attrs.field(factory=collections.deque)
    inbox: list = attrs.field(factory=list)

    def acts(self) -> bool:
        """Returns whether it does anything now."""
        return self.runs and not self.paused

    def is_entry(self) -> bool:
        """Returns whether it is an entry."""
        return self.backend is None


@attrs.define(kw_only=True, eq=False)
class Channel:
    """What is on the way from one process to an address, in order.

    Attributes:
        source: who sends.
        target: the mailbox it goes to.
        queue: time, bytes and message of each.
        blocked: whether nothing gets through for now.
    """

    source: Process
    target: str
    blocked: bool = False
    queue: collections.deque = attrs.field(factory=collections.deque)


class World:
    """All processes and what is between them.

    Attributes:
        now: the time in seconds.
        objects: the store.
        processes: the present life by mailbox.
        former: lives that were replaced and may still act.
        channels: messages on the way.
        calls: store calls that have not reached the store: process, call,
            when it was made.
        answers: answers of the store on the way: process, answer.
        work: runs and orders that have not reached a backend: process,
            action, when it was given.
        answered: answers of the store that were delivered lately.
        disconnected: streams whose connection to the engine has broken, by
            engine, request and attempt.
        oracle: judges everything that is seen.
    """

    def __init__(self, *, entry_count=2, runners=3, services=2):
        self.now = 1000.0
        self.objects = fake_objects.FakeObjects(clock=lambda: self.now)
        self.processes: dict[str, Process] = {}
        self.former: list[Process] = []
        self.channels: dict[tuple, Channel] = {}
        self.calls: list = []
        self.answers: list = []
        self.work: list = []
        self.disconnected: set[tuple] = set()
        self.answered: collections.deque = collections.deque(maxlen=40)
        self.lives = itertools.count(1)
        self.requests = itertools.count(1)
        self.oracle = oracles.Oracle(world=self)
        self.entries = [f"tcp://10.0.0.{n}:1" for n in range(entry_count)]
        self.runners = [f"tcp://10.0.1.{n}:1" for n in range(runners)]
        self.services = [f"tcp://10.0.2.{n}:1" for n in range(services)]
        self.declare_all()
        for address in self.entries:
            self.start_entry(address)
        for number, address in enumerate(self.runners):
            engine = fake_engines.FakeEngine(
                slots=2,
                cache_blocks=200,
                step_seconds=0.02,
                block_bytes=BLOCK_BYTES,
                name=f"engine{number}",
                seed=number,
            )
            engine.poison = oracles.POISON
            # Frames of different engines differ, so that crossed ones show.
            engine.text_every = 1 + number % 2
            self.start_agent(address, engine)
        for address in self.services:
            self.start_agent(address, fake_services.FakeService())
        self.settle(1.5)

    def declare_all(self) -> None:
        """Writes the declarations of the start."""
        self.declare_weights("w1")
        self.declare(declarations.Service(name="cards"))
        for name, concurrency in (("acme", 0), ("zenith", CONCURRENCY)):
            self.declare(
                declarations.Contract(
                    organisation=name,
                    key_digests=[declarations.key_digest(KEY.format(name))],
                    models=["m"],
                    services=["cards"],
                    concurrency=concurrency,
                )
            )
        for kind, serves, addresses in (
            (declarations.ServerKind.RUNNER, "m", self.runners),
            (declarations.ServerKind.SERVICE, "cards", self.services),
        ):
            for address in addresses:
                server = declarations.BackendServer(
                    name=name_of(address),
                    kind=kind,
                    serves=serves,
                    agent=address,
                    slots=2,
                )
                self.declare(server)

    def declare(self, declaration) -> stores.StoreAnswer:
        """Writes a declaration over the present one."""
        path = declarations.path_of(declaration)
        read = self.objects.objects.get(path)
        write = stores.Write(
            call="operator",
            path=path,
            value=declarations.encode(declaration),
            expected=read.version if read else 0,
            write_id=f"operator{self.objects.revision}",
        )
        return self.objects.call(write)

    def declare_weights(self, weights: str, loads: int = LOADS) -> None:
        """Writes which weights the model's runners should have."""
        model = declarations.Model(
            name="m", weights=weights, concurrent_loads=loads
        )
        self.declare(model)

    def declared(self, kind, name):
        """Returns a declaration as the store has it, read independently."""
        path = declarations.PREFIXES[kind] + name
        return msgspec.json.decode(self.objects.objects[path].value, type=kind)

    def start_entry(self, address: str) -> Process:
        """Starts an entry, knowing nothing."""
        life = next(self.lives)
        name = name_of(address)
        core = entries.Entry(
            name=name,
            address=address,
            data_centre="",
            seed=life,
            block_bytes=BLOCK_BYTES,
            view=configuration.Configuration(),
            seeds=self.entries,
            first_key=declarations.key_digest(OPERATOR_KEY),
        )
        return self.start(Process(name=name, address=address, core=core))

    def start_agent(self, address: str, backend: object) -> Process:
        """Starts an agent beside an engine or service."""
        life = next(self.lives)
        is_engine = isinstance(backend, fake_engines.FakeEngine)
        kinds = declarations.ServerKind
        core = agents.Agent(
            name=name_of(address),
            address=address,
            kind=kinds.RUNNER if is_engine else kinds.SERVICE,
            life=f"life{life}",
            slots=2,
            seed=life,
            view=configuration.Configuration(),
            seeds=self.entries,
        )
        process = Process(
            name=core.name, address=address, core=core, backend=backend
        )
        return self.start(process)

    def start(self, process: Process) -> Process:
        """Puts a process at its address."""
        self.processes[process.address] = process
        self.oracle.started(process)
        return process

    def stop(self, process: Process) -> None:
        """Ends a process without warning; what was sent to it is lost."""
        process.alive = process.runs = False
        self.oracle.stopped(process)
        for channel in list(self.channels.values()):
            if channel.target == process.address:
                self.cut(channel)

    def replace(self, process: Process) -> Process:
        """Starts a new life while the old one, paused, may still act."""
        process.alive = False
        if not process.is_entry():
            # A process holds its mailbox alone as long as it lives: the new
            # one has it, so the old one has another, that isn't declared.
            process.core.orders.address = ""
        self.former.append(process)
        self.oracle.stopped(process)
        if process.is_entry():
            return self.start_entry(process.address)
        return self.start_agent(process.address, process.backend)

    def end_former(self, process: Process) -> None:
        """Ends a life that was replaced."""
        if process.runs:
            process.runs = False
            self.oracle.note(f"{process.name}'s former life ends")

    def drain(self, process: Process) -> None:
        """Tells a process to finish what runs, and then to end."""
        process.draining = True
        self.give(process, events.Drain())

    def end_if_idle(self, process: Process) -> None:
        """Ends a draining process that has nothing left; starts a new one."""
        present = self.processes[process.address] is process
        if present and process.draining and process.core.idle():
            self.oracle.shut_down(process)
            self.restart(process)

    def restart(self, process: Process) -> Process:
        """Ends a process and starts it anew."""
        self.stop(process)
        if process.is_entry():
            return self.start_entry(process.address)
        return self.start_agent(process.address, process.backend)

    def cut(self, channel: Channel) -> None:
        """Breaks a connection; what was on the way is lost."""
        channel.queue.clear()
        down = events.Unreachable(address=channel.target)
        self.give(channel.source, down)

    def give(self, process: Process, event: object) -> None:
        """Gives an event to a state machine and does what it asks."""
        if not process.runs:
            return
        if process.paused:
            process.inbox.append(event)
            return
        self.oracle.given(process, event)
        self.perform(process, process.core.handle(event, self.now))
        self.perform(process, process.core.flush())

    def perform(self, process: Process, todo: list) -> None:
        """Puts on the way what a state machine asks for."""
        for action in todo:
            self.oracle.did(process, action)
            match action:
                case actions.Send():
                    self.send(process, action)
                case actions.CallStore():
                    self.calls.append((process, action.call, self.now))
                case (
                    actions.RunCompletion()
                    | actions.RunCall()
                    | actions.CancelRun()
                    | actions.ResumeRun()
                    | actions.OrderEngine()
                ):
                    self.work.append((process, action, self.now))
                case actions.CheckEngine():
                    process.status_at = self.now

    def send(self, process: Process, action: actions.Send) -> None:
        """Puts a message on its way, as bytes."""
        data = codecs.CODEC.encode(
            action.message,
            sender=process.address,
            configuration=process.core.configuration.version,
        )
        key = (id(process), action.address)
        if key not in self.channels:
            self.channels[key] = Channel(source=process, target=action.address)
        self.channels[key].queue.append((self.now, data, action.message))

    def deliver_message(self, channel: Channel) -> None:
        """Delivers the next message of a connection."""
        target = self.processes[channel.target]
        if channel.queue and self.open(channel):
            _, data, _ = channel.queue.popleft()
            self.give(target, codecs.CODEC.decode(data).unwrap())

    def call_store(self, number: int) -> None:
        """Lets a call reach the store; its answer is then on the way."""
        process, call, _ = self.calls.pop(number)
        self.answers.append((process, self.objects.call(call)))
        if isinstance(call, stores.Write):
            self.oracle.stored(self.objects.objects.get(call.path))

    def ready_calls(self) -> list[int]:
        """Returns the calls that the store does not keep waiting."""
        return [n for n, each in enumerate(self.calls) if not self.waits(*each)]

    def waits(self, process: Process, call: stores.Call, since: float) -> bool:
        """Returns whether a call is a watch that has nothing to tell yet."""
        if not isinstance(call, stores.Watch) or self.objects.down:
            return False
        late = self.now >= since + call.seconds
        return not late and not self.objects.has_changes(
            call.prefix, call.after
        )

    def answer(self, number: int) -> None:
        """Delivers an answer of the store."""
        process, answer = self.answers.pop(number)
        self.answered.append((process, answer))
        self.give(process, answer)

    def reach_backend(self, number: int) -> None:
        """Lets a run or an order reach its engine or service."""
        process, action, since = self.work.pop(number)
        match action:
            case actions.RunCompletion():
                self.oracle.reached(process, action)
                refused = process.backend.submit(action, action.salt, self.now)
                if refused is not None:
                    process.backend_events.append(refused)
            case actions.CancelRun():
                process.backend.cancel(action.request, action.attempt, self.now)
            case actions.ResumeRun():
                self.resume(process, action)
            case actions.OrderEngine():
                self.carry_out(process, action.order, since)
            case actions.RunCall():
                process.backend_events.append(
                    self.call_service(process, action)
                )
        self.hear_engines()

    def carry_out(
        self, process: Process, order: runner_messages.Order, since: float
    ) -> None:
        """Gives an order to an engine; its answer is then on the way."""
        answer = process.backend.order(order, self.now)
        self.oracle.ordered(process, order, answer, self.now - since)
        process.backend_events.append(
            events.OrderDone(order=order, answer=answer)
        )
        # Whoever gave an order asks at once what came of it.
        process.status_at = self.now

    def resume(self, process: Process, action: actions.ResumeRun) -> None:
        """Takes up a stream at its engine."""
        key = (id(process.backend), action.request, action.attempt)
        self.disconnected.discard(key)
        found = process.backend.resume(
            action.request, action.attempt, action.index
        )
        if found is None:
            found = [_broken(action.request, action.attempt)]
        process.backend_events.extend(found)

    def disconnect(self, process: Process, request: str, attempt: int) -> None:
        """Breaks a stream's connection, though its engine lives."""
        self.disconnected.add((id(process.backend), request, attempt))
        kept = [
            each
            for each in process.backend_events
            if (getattr(each, "request", ""), getattr(each, "attempt", 0))
            != (request, attempt)
        ]
        process.backend_events = collections.deque(kept)
        process.backend_events.append(_broken(request, attempt))

    def call_service(self, process: Process, action: actions.RunCall):
        """Runs a call at a plain service."""
        service = process.backend
        headers = {fake_services.KEY_HEADER.lower(): action.key}
        call = fake_services.ReceivedCall(
            method=action.call.method,
            path=action.call.path,
            headers=headers,
            body=action.call.body,
        )
        down = service.down
        before = len(service.calls)
        done = service.call(call)
        self.oracle.called(action, len(service.calls) - before)
        if done is None:
            return events.EngineBroken(
                request=action.request,
                attempt=action.attempt,
                ran="not_run" if down else "outcome_unknown",
                text="no answer",
            )
        return events.ServiceDone(
            request=action.request,
            attempt=action.attempt,
            status=done.status,
            headers=done.headers,
            body=done.body,
        )

    def hear_engines(self) -> None:
        """Puts what the engines say on its way to their agents."""
        for process in self.active_processes():
            engine = process.backend
            if not isinstance(engine, fake_engines.FakeEngine):
                continue
            for event in engine.step(self.now):
                owner = self.oracle.owner_of(event) or process
                self.oracle.engine_said(owner, event)
                key = (id(engine), event.request, event.attempt)
                if key not in self.disconnected:
                    owner.backend_events.append(event)

    def deliver_backend_event(self, process: Process) -> None:
        """Delivers the next word of a backend to its agent."""
        if process.acts() and process.backend_events:
            self.give(process, process.backend_events.popleft())

    def active_processes(self) -> list[Process]:
        """Returns all lives that may act."""
        return [
            each
            for each in [*self.processes.values(), *self.former]
            if each.runs
        ]

    def advance(self, seconds: float) -> None:
        """Lets time pass; timers run, messages stay on their way."""
        end = self.now + seconds
        while self.now < end:
            wakes = [each.core.next_wake() for each in self.active_processes()]
            wakes += [
                each.backend.next_wake()
                for each in self.active_processes()
                if isinstance(each.backend, fake_engines.FakeEngine)
            ]
            later = [each for each in wakes if each and each > self.now]
            self.now = max(self.now + 0.002, min([*later, end]))
            self.hear_engines()
            for process in self.active_processes():
                if process.acts():
                    self.run_timers(process)
                    self.end_if_idle(process)
            self.give_up_connections()
            self.oracle.passed()

    def run_timers(self, process: Process) -> None:
        """Runs a process's timers and its regular questions."""
        while process.inbox:
            self.give(process, process.inbox.pop(0))
        wake = process.core.next_wake()
        if wake is not None and wake <= self.now:
            self.perform(process, process.core.tick(self.now))
            self.perform(process, process.core.flush())
        if process.backend is not None and self.now >= process.status_at:
            process.status_at = self.now + STATUS_SECONDS
            process.backend_events.append(self.status(process))

    def status(self, process: Process) -> events.EngineStatus:
        """Returns what a backend says of itself."""
        if isinstance(process.backend, fake_engines.FakeEngine):
            return process.backend.status(self.now)
        return events.EngineStatus(incarnation=process.core.life)

    def give_up_connections(self) -> None:
        """Reports messages that no connection came up for."""
        for channel in list(self.channels.values()):
            if self.processes[channel.target].alive or not channel.queue:
                continue
            if self.now - channel.queue[0][0] < CONNECT_SECONDS:
                continue
            unsent = [message for _, _, message in channel.queue]
            channel.queue.clear()
            event = events.Unreachable(address=channel.target, unsent=unsent)
            self.give(channel.source, event)

    def deliver_all(self) -> None:
        """Delivers everything that is on its way, until nothing is."""
        for _ in range(1000):
            before = self.oracle.steps
            self.deliver_messages()
            while self.work:
                self.reach_backend(0)
            for process in self.active_processes():
                while process.backend_events and process.acts():
                    self.deliver_backend_event(process)
            if self.oracle.steps == before:
                return
        raise AssertionError("messages without end")

    def deliver_messages(self) -> None:
        """Delivers messages and the store's answers, and nothing else."""
        for channel in list(self.channels.values()):
            while channel.queue and self.open(channel):
                self.deliver_message(channel)
        if not self.objects.latency:
            while ready := self.ready_calls():
                self.call_store(ready[0])
        while self.answers:
            self.answer(0)

    def open(self, channel: Channel) -> bool:
        """Returns whether a connection can deliver."""
        target = self.processes[channel.target]
        return target.alive and not target.paused and not channel.blocked

    def settle(self, seconds: float) -> None:
        """Delivers everything at once while time passes."""
        end = self.now + seconds
        self.deliver_all()
        while self.now < end:
            self.advance(min(0.05, end - self.now))
            self.deliver_all()


def _broken(request: str, attempt: int) -> events.EngineBroken:
    return events.EngineBroken(
        request=request, attempt=attempt, ran="ran", text="connection broke"
    )


def name_of(address: str) -> str:
    """Returns the name of the process at an address."""
    host = address.removeprefix("tcp://10.0.").partition(":")[0]
    group, number = host.split(".")
    return "ers"[int(group)] + number
