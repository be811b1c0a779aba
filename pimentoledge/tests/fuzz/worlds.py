"""Entries, agents, engines, services and the store in one process.

Nothing happens on its own: the user of a World chooses which message, store
call or backend event is delivered next, and when the clock advances. The state
machines and fakes are those used elsewhere; only sockets and threads are
left out.
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
# Concurrency limit of one of the two organisations.
CONCURRENCY = 3
# Maximum number of runners that load weights concurrently.
CONCURRENT_LOADS = 1
# How long a message waits for a connection to a process that has ended.
CONNECT_SECONDS = 1.0
KEY_TEMPLATE = "fuzz-key-of-{}"
OPERATOR_KEY = "fuzz-key-of-an-operator"


@attrs.define(kw_only=True, eq=False)
class Process:
    """One process of an entry or an agent, from its start to its end.

    Attributes:
        name: name of the entry or agent.
        address: address of the mailbox.
        core: the state machine.
        backend: fake engine or service of an agent; None for an entry.
        alive: whether it receives messages; a replaced process doesn't.
        runs: whether it has not ended; a replaced process may still run.
        paused: whether it is suspended.
        draining: whether it ends as soon as it is idle.
        next_status_at: time at which the backend's status is fetched next.
        backend_events: events of the backend that are not delivered yet.
        inbox: events that arrived while it was paused.
    """

    name: str
    address: str
    core: entries.Entry | agents.Agent
    backend: object = None
    alive: bool = True
    runs: bool = True
    paused: bool = False
    draining: bool = False
    next_status_at: float = 0.0
    backend_events: collections.deque = attrs.field(factory=collections.deque)
    inbox: list = attrs.field(factory=list)

    def acts(self) -> bool:
        """Returns whether it is running and not paused."""
        return self.runs and not self.paused

    def is_entry(self) -> bool:
        """Returns whether it is an entry."""
        return self.backend is None


@attrs.define(kw_only=True, eq=False)
class Channel:
    """Messages in transit from one process to an address, in order.

    Attributes:
        source: the sender.
        target: address of the receiver's mailbox.
        queue: sending time, bytes and message of each.
        blocked: whether delivery is suspended.
    """

    source: Process
    target: str
    blocked: bool = False
    queue: collections.deque = attrs.field(factory=collections.deque)


class World:
    """All processes and the messages between them.

    Attributes:
        now: the time in seconds.
        objects: the store.
        processes: the current process by mailbox address.
        replaced: processes that were replaced and may still run.
        channels: messages in transit, by the sender's id and the address.
        store_calls: calls that have not reached the store: process, call,
            time of the call.
        answers: answers of the store in transit: process, answer.
        work: runs and orders that have not reached a backend: process, action,
            time of the action.
        disconnected_streams: streams whose connection to the engine is broken,
            by the engine's id, request and attempt.
        answered: the latest answers of the store that were delivered.
        start_numbers: numbers for starts of processes; each is also a seed.
        request_numbers: numbers for requests of callers and operators.
        oracle: checks all events and actions.
        entries: mailbox addresses of the entries.
        runners: mailbox addresses of the runners' agents.
        services: mailbox addresses of the services' agents.
    """

    def __init__(self, *, entry_count=2, runners=3, services=2):
        self.now = 1000.0
        self.objects = fake_objects.FakeObjects(clock=lambda: self.now)
        self.processes: dict[str, Process] = {}
        self.replaced: list[Process] = []
        self.channels: dict[tuple, Channel] = {}
        self.store_calls: list = []
        self.answers: list = []
        self.work: list = []
        self.disconnected_streams: set[tuple] = set()
        self.answered: collections.deque = collections.deque(maxlen=40)
        self.start_numbers = itertools.count(1)
        self.request_numbers = itertools.count(1)
        self.oracle = oracles.Oracle(world=self)
        self.entries = [f"tcp://10.0.0.{n}:1" for n in range(entry_count)]
        self.runners = [f"tcp://10.0.1.{n}:1" for n in range(runners)]
        self.services = [f"tcp://10.0.2.{n}:1" for n in range(services)]
        self.declare_initial()
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
            # Engines differ in frame size, so that mixed-up frames are noticed.
            engine.text_every = 1 + number % 2
            self.start_agent(address, engine)
        for address in self.services:
            self.start_agent(address, fake_services.FakeService())
        self.settle(1.5)

    def declare_initial(self) -> None:
        """Writes the initial declarations."""
        self.declare_weights("w1")
        self.declare(declarations.Service(name="cards"))
        for name, concurrency in (("acme", 0), ("zenith", CONCURRENCY)):
            self.declare(
                declarations.Contract(
                    organisation=name,
                    key_digests=[
                        declarations.key_digest(KEY_TEMPLATE.format(name))
                    ],
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
        """Writes a declaration; replaces the current one."""
        path = declarations.path_of(declaration)
        stored = self.objects.objects.get(path)
        write = stores.Write(
            call="operator",
            path=path,
            value=declarations.encode(declaration),
            expected=stored.version if stored else 0,
            write_id=f"operator{self.objects.revision}",
        )
        return self.objects.call(write)

    def declare_weights(
        self, weights: str, loads: int = CONCURRENT_LOADS
    ) -> None:
        """Declares the weights that the model's runners should load."""
        model = declarations.Model(
            name="m", weights=weights, concurrent_loads=loads
        )
        self.declare(model)

    def read_declaration(self, kind, name):
        """Returns a declaration from the store.

        It is decoded without the code under test.
        """
        path = declarations.PREFIXES[kind] + name
        return msgspec.json.decode(self.objects.objects[path].value, type=kind)

    def start_entry(self, address: str) -> Process:
        """Starts an entry with an empty state."""
        number = next(self.start_numbers)
        name = name_of(address)
        core = entries.Entry(
            name=name,
            address=address,
            data_centre="",
            seed=number,
            block_bytes=BLOCK_BYTES,
            view=configuration.Configuration(),
            seeds=self.entries,
            first_key=declarations.key_digest(OPERATOR_KEY),
        )
        return self.start(Process(name=name, address=address, core=core))

    def start_agent(self, address: str, backend: object) -> Process:
        """Starts an agent of an engine or a service."""
        number = next(self.start_numbers)
        is_engine = isinstance(backend, fake_engines.FakeEngine)
        kinds = declarations.ServerKind
        core = agents.Agent(
            name=name_of(address),
            address=address,
            kind=kinds.RUNNER if is_engine else kinds.SERVICE,
            life=f"life{number}",
            slots=2,
            seed=number,
            view=configuration.Configuration(),
            seeds=self.entries,
        )
        process = Process(
            name=core.name, address=address, core=core, backend=backend
        )
        return self.start(process)

    def start(self, process: Process) -> Process:
        """Makes a process the current one at its address."""
        self.processes[process.address] = process
        self.oracle.record_start(process)
        return process

    def stop(self, process: Process) -> None:
        """Ends a process without warning; messages sent to it are lost."""
        process.alive = process.runs = False
        self.oracle.record_stop(process)
        for channel in list(self.channels.values()):
            if channel.target == process.address:
                self.cut(channel)

    def replace(self, process: Process) -> Process:
        """Starts a new process; the old one is paused and may run again."""
        process.alive = False
        if not process.is_entry():
            # Only one running process can own a mailbox. The new process owns
            # it, so the old one has another address, which isn't declared.
            process.core.orders.address = ""
        self.replaced.append(process)
        self.oracle.record_stop(process)
        if process.is_entry():
            return self.start_entry(process.address)
        return self.start_agent(process.address, process.backend)

    def stop_replaced(self, process: Process) -> None:
        """Ends a process that was replaced."""
        if process.runs:
            process.runs = False
            self.oracle.note(f"{process.name}'s replaced process ends")

    def drain(self, process: Process) -> None:
        """Makes a process finish its open work and then end."""
        process.draining = True
        self.give(process, events.Drain())

    def restart_if_idle(self, process: Process) -> None:
        """Restarts a draining process if it is idle."""
        is_current = self.processes[process.address] is process
        if is_current and process.draining and process.core.idle():
            self.oracle.check_shutdown(process)
            self.restart(process)

    def restart(self, process: Process) -> Process:
        """Ends a process without warning and starts a new one."""
        self.stop(process)
        if process.is_entry():
            return self.start_entry(process.address)
        return self.start_agent(process.address, process.backend)

    def cut(self, channel: Channel) -> None:
        """Breaks a connection; messages in transit are lost."""
        channel.queue.clear()
        down = events.Unreachable(address=channel.target)
        self.give(channel.source, down)

    def give(self, process: Process, event: object) -> None:
        """Passes an event to a state machine and performs its actions."""
        if not process.runs:
            return
        if process.paused:
            process.inbox.append(event)
            return
        self.oracle.record_event(process, event)
        self.perform_actions(process, process.core.handle(event, self.now))
        self.perform_actions(process, process.core.flush())

    def perform_actions(self, process: Process, action_list: list) -> None:
        """Queues the messages, calls and runs that a state machine requests."""
        for action in action_list:
            self.oracle.record_action(process, action)
            match action:
                case actions.Send():
                    self.send(process, action)
                case actions.CallStore():
                    self.store_calls.append((process, action.call, self.now))
                case (
                    actions.RunCompletion()
                    | actions.RunCall()
                    | actions.CancelRun()
                    | actions.ResumeRun()
                    | actions.OrderEngine()
                ):
                    self.work.append((process, action, self.now))
                case actions.CheckEngine():
                    process.next_status_at = self.now

    def send(self, process: Process, action: actions.Send) -> None:
        """Queues an encoded message for delivery."""
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
        if channel.queue and self.can_deliver(channel):
            _, data, _ = channel.queue.popleft()
            self.give(target, codecs.CODEC.decode(data).unwrap())

    def call_store(self, number: int) -> None:
        """Delivers a call to the store and queues its answer."""
        process, call, _ = self.store_calls.pop(number)
        self.answers.append((process, self.objects.call(call)))
        if isinstance(call, stores.Write):
            self.oracle.record_write(self.objects.objects.get(call.path))

    def ready_calls(self) -> list[int]:
        """Returns the indices of the calls that the store would answer now."""
        return [
            n
            for n, each in enumerate(self.store_calls)
            if not self.is_waiting(*each)
        ]

    def is_waiting(
        self, process: Process, call: stores.Call, since: float
    ) -> bool:
        """Returns whether a call is a watch without changes to report yet."""
        if not isinstance(call, stores.Watch) or self.objects.down:
            return False
        expired = self.now >= since + call.seconds
        return not expired and not self.objects.has_changes(
            call.prefix, call.after
        )

    def answer(self, number: int) -> None:
        """Delivers an answer of the store."""
        process, answer = self.answers.pop(number)
        self.answered.append((process, answer))
        self.give(process, answer)

    def reach_backend(self, number: int) -> None:
        """Delivers a run or an order to its engine or service."""
        process, action, since = self.work.pop(number)
        match action:
            case actions.RunCompletion():
                self.oracle.record_submission(process, action)
                refused = process.backend.submit(action, action.salt, self.now)
                if refused is not None:
                    process.backend_events.append(refused)
            case actions.CancelRun():
                process.backend.cancel(action.request, action.attempt, self.now)
            case actions.ResumeRun():
                self.resume_stream(process, action)
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
        """Delivers an order to an engine and queues its answer."""
        answer = process.backend.order(order, self.now)
        self.oracle.check_order(process, order, answer, self.now - since)
        process.backend_events.append(
            events.OrderDone(order=order, answer=answer)
        )
        # An agent fetches the engine's status right after an order.
        process.next_status_at = self.now

    def resume_stream(
        self, process: Process, action: actions.ResumeRun
    ) -> None:
        """Resumes a stream at its engine."""
        key = (id(process.backend), action.request, action.attempt)
        self.disconnected_streams.discard(key)
        resumed = process.backend.resume(
            action.request, action.attempt, action.index
        )
        if resumed is None:
            resumed = [_make_broken_event(action.request, action.attempt)]
        process.backend_events.extend(resumed)

    def disconnect(self, process: Process, request: str, attempt: int) -> None:
        """Breaks a stream's connection while its engine keeps running."""
        self.disconnected_streams.add((id(process.backend), request, attempt))
        remaining = [
            each
            for each in process.backend_events
            if (getattr(each, "request", ""), getattr(each, "attempt", 0))
            != (request, attempt)
        ]
        process.backend_events = collections.deque(remaining)
        process.backend_events.append(_make_broken_event(request, attempt))

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
        answer = service.call(call)
        self.oracle.record_call(action, len(service.calls) - before)
        if answer is None:
            return events.EngineBroken(
                request=action.request,
                attempt=action.attempt,
                ran="not_run" if down else "outcome_unknown",
                text="no answer",
            )
        return events.ServiceDone(
            request=action.request,
            attempt=action.attempt,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
        )

    def hear_engines(self) -> None:
        """Advances the engines and queues their events for the agents."""
        for process in self.active_processes():
            engine = process.backend
            if not isinstance(engine, fake_engines.FakeEngine):
                continue
            for event in engine.step(self.now):
                owner = self.oracle.find_owner(event) or process
                self.oracle.check_engine_event(owner, event)
                key = (id(engine), event.request, event.attempt)
                if key not in self.disconnected_streams:
                    owner.backend_events.append(event)

    def deliver_backend_event(self, process: Process) -> None:
        """Delivers the next event of a backend to its agent."""
        if process.acts() and process.backend_events:
            self.give(process, process.backend_events.popleft())

    def active_processes(self) -> list[Process]:
        """Returns all processes that have not ended, also replaced ones."""
        return [
            each
            for each in [*self.processes.values(), *self.replaced]
            if each.runs
        ]

    def advance(self, seconds: float) -> None:
        """Advances the clock; runs timers, but delivers no messages."""
        end = self.now + seconds
        while self.now < end:
            wake_times = [
                each.core.next_wake() for each in self.active_processes()
            ]
            wake_times += [
                each.backend.next_wake()
                for each in self.active_processes()
                if isinstance(each.backend, fake_engines.FakeEngine)
            ]
            future = [each for each in wake_times if each and each > self.now]
            self.now = max(self.now + 0.002, min([*future, end]))
            self.hear_engines()
            for process in self.active_processes():
                if process.acts():
                    self.run_timers(process)
                    self.restart_if_idle(process)
            self.report_unsent()
            self.oracle.check_time()

    def run_timers(self, process: Process) -> None:
        """Handles a process's inbox, timers and regular status requests."""
        while process.inbox:
            self.give(process, process.inbox.pop(0))
        wake = process.core.next_wake()
        if wake is not None and wake <= self.now:
            self.perform_actions(process, process.core.tick(self.now))
            self.perform_actions(process, process.core.flush())
        if process.backend is not None and self.now >= process.next_status_at:
            process.next_status_at = self.now + STATUS_SECONDS
            process.backend_events.append(self.status(process))

    def status(self, process: Process) -> events.EngineStatus:
        """Returns the status of a process's backend."""
        if isinstance(process.backend, fake_engines.FakeEngine):
            return process.backend.status(self.now)
        return events.EngineStatus(incarnation=process.core.life)

    def report_unsent(self) -> None:
        """Reports messages for which no connection could be made."""
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
        """Delivers everything in transit until no more events result."""
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
        raise AssertionError("messages are delivered without end")

    def deliver_messages(self) -> None:
        """Delivers messages, store calls and the store's answers only."""
        for channel in list(self.channels.values()):
            while channel.queue and self.can_deliver(channel):
                self.deliver_message(channel)
        if not self.objects.latency:
            while ready := self.ready_calls():
                self.call_store(ready[0])
        while self.answers:
            self.answer(0)

    def can_deliver(self, channel: Channel) -> bool:
        """Returns whether a connection can deliver messages now."""
        target = self.processes[channel.target]
        return target.alive and not target.paused and not channel.blocked

    def settle(self, seconds: float) -> None:
        """Advances the clock in small steps and delivers everything."""
        end = self.now + seconds
        self.deliver_all()
        while self.now < end:
            self.advance(min(0.05, end - self.now))
            self.deliver_all()


def _make_broken_event(request: str, attempt: int) -> events.EngineBroken:
    return events.EngineBroken(
        request=request, attempt=attempt, ran="ran", text="connection broke"
    )


def name_of(address: str) -> str:
    """Returns the name of the process at an address."""
    host = address.removeprefix("tcp://10.0.").partition(":")[0]
    group, number = host.split(".")
    return "ers"[int(group)] + number
