"""Stateful test of streams through an entry under faults."""

import collections

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pimentoledge import results
from pimentoledge.callers import gateways
from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import entries
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages

KEY = gateways.digest_key("k")
TOKENS = 4
DEADLINE_SECONDS = 2.5
SERVERS = 3


def token_text(request, index):
    return f"{request}:{index} "


def expected_text(request, count=TOKENS):
    return "".join(token_text(request, index) for index in range(count))


@attrs.define(kw_only=True)
class Run:
    """An attempt that runs at an agent.

    Attributes:
        request: id of the request.
        attempt: number of the attempt.
        sequence: sequence number of the next frame.
        index: index of the next token.
    """

    request: str
    attempt: int
    sequence: int
    index: int


@attrs.define(kw_only=True)
class Agent:
    """A backend server with its agent and the messages in transit."""

    name: str
    address: str
    start_count: int = 1
    inbox: collections.deque = attrs.field(factory=collections.deque)
    outbox: collections.deque = attrs.field(factory=collections.deque)
    runs: list[Run] = attrs.field(factory=list)

    def status(self):
        return messages.ServerStatus(
            server=self.name,
            incarnation=f"{self.name}-{self.start_count}",
            weights="w1",
            slots=8,
            configuration=9,
        )

    def finish(self, run):
        self.runs.remove(run)
        self.outbox.append(
            messages.Finished(
                request=run.request,
                attempt=run.attempt,
                sequence=run.sequence,
                reason="stop",
                prompt_tokens=4,
                cached_tokens=0,
                completion_tokens=run.index,
                truth=self.status(),
            )
        )

    def fail(self, run, ran=results.Ran.RAN):
        self.runs.remove(run)
        self.outbox.append(
            messages.Failed(
                request=run.request,
                attempt=run.attempt,
                code=results.Code.ENGINE_DIED,
                ran=ran,
                truth=self.status(),
            )
        )


@attrs.define(kw_only=True)
class Caller:
    """The answer that a caller has received so far."""

    text: str = ""
    ended: bool = False
    disconnected: bool = False


def declared_objects():
    all_declarations = [
        declarations.Model(name="m", weights="w1"),
        declarations.Contract(
            organisation="o",
            key_digests=[KEY],
            models=["m"],
            deadline_seconds=DEADLINE_SECONDS,
        ),
    ]
    all_declarations += [
        declarations.BackendServer(
            name=f"r{number}",
            serves="m",
            agent=f"tcp://10.0.0.{number}:7000",
            slots=8,
        )
        for number in range(SERVERS)
    ]
    return [
        stores.Object(
            path=declarations.path_of(each),
            version=number + 1,
            value=declarations.encode(each),
        )
        for number, each in enumerate(all_declarations)
    ]


def _is_frames(message):
    return isinstance(message, messages.Frames)


class Streams(stateful.RuleBasedStateMachine):
    """Engines crash, connections break, messages are lost, callers disconnect.

    The expected answer of each request is known. The text that a caller
    receives is always a prefix of it, and the end follows only the whole
    answer. Each request gets exactly one end or error and nothing after it.
    "Not run" is reported only for requests that no engine ran.
    """

    def __init__(self):
        super().__init__()
        view = configuration.Configuration()
        view.apply(declared_objects())
        self.entry = entries.Entry(
            name="entry",
            address="tcp://10.0.1.1:7000",
            data_centre="west",
            seed=7,
            block_bytes=64,
            view=view,
            seeds=[],
        )
        self.agents = [
            Agent(name=f"r{number}", address=f"tcp://10.0.0.{number}:7000")
            for number in range(SERVERS)
        ]
        self.callers = {}
        self.ran = set()
        self.now = 100.0

    def handle(self, event):
        self.apply_actions(self.entry.handle(event, self.now))

    def apply_actions(self, todo):
        by_address = {each.address: each for each in self.agents}
        for action in todo:
            match action:
                case actions.Send() if action.address in by_address:
                    by_address[action.address].inbox.append(action.message)
                case actions.ReplyText():
                    caller = self.open_caller(action.request)
                    caller.text += action.text
                    expected = expected_text(action.request)
                    assert expected.startswith(caller.text)
                case actions.ReplyEnd():
                    caller = self.open_caller(action.request)
                    assert caller.text == expected_text(action.request)
                    assert action.completion_tokens == TOKENS
                    caller.ended = True
                case actions.ReplyError():
                    caller = self.open_caller(action.request)
                    if action.error.outcome() == results.Ran.NOT_RUN:
                        assert action.request not in self.ran
                    caller.ended = True

    def open_caller(self, request):
        caller = self.callers[request]
        assert not caller.ended
        assert not caller.disconnected
        return caller

    @stateful.rule()
    def add_request(self):
        request = f"q{len(self.callers)}"
        self.callers[request] = Caller()
        completion = messages.Completion(
            model="m", prompt=f"a manual {request}", max_tokens=TOKENS
        )
        self.handle(
            events.CallerRequest(
                request=request, key_digest=KEY, completion=completion
            )
        )

    @stateful.rule(
        admit=strategies.sampled_from([True] * 7 + [False]),
        count=strategies.integers(0, 3),
    )
    def work_all(self, admit, count):
        for agent in self.agents:
            self.work(agent, admit, count, len(agent.outbox) + 3)

    @stateful.rule(
        number=strategies.integers(0, SERVERS - 1),
        count=strategies.integers(0, 2),
        delivered=strategies.integers(0, 4),
    )
    def work_one(self, number, count, delivered):
        self.work(self.agents[number], True, count, delivered)

    def work(self, agent, admit, count, delivered):
        """Makes an agent process its inbox, generate frames and send them."""
        while agent.inbox:
            self.process_message(agent, agent.inbox.popleft(), admit)
        for run in list(agent.runs):
            self.generate(agent, run, count)
        for _ in range(min(delivered, len(agent.outbox))):
            self.handle(
                events.FromNode(
                    sender=agent.address,
                    message=agent.outbox.popleft(),
                    configuration=9,
                )
            )

    def process_message(self, agent, message, admit):
        match message:
            case messages.Dispatch() if admit:
                done = message.completion.continued_tokens
                text = message.completion.continued
                assert text == expected_text(message.request, done)
                agent.runs.append(
                    Run(
                        request=message.request,
                        attempt=message.attempt,
                        sequence=message.sequence,
                        index=done,
                    )
                )
                answer = messages.Admitted(
                    request=message.request,
                    attempt=message.attempt,
                    truth=agent.status(),
                )
                agent.outbox.append(answer)
            case messages.Dispatch():
                agent.outbox.append(
                    messages.Refused(
                        request=message.request,
                        attempt=message.attempt,
                        code=results.Code.OVERLOADED,
                        truth=agent.status(),
                    )
                )
            case messages.Cancel():
                agent.runs = [
                    run
                    for run in agent.runs
                    if (run.request, run.attempt)
                    != (message.request, message.attempt)
                ]
            case messages.Probe():
                running = {run.request for run in agent.runs}
                unknown = [r for r in message.requests if r not in running]
                agent.outbox.append(
                    messages.ProbeAnswer(truth=agent.status(), unknown=unknown)
                )

    def generate(self, agent, run, count):
        self.ran.add(run.request)
        frames = []
        while count and run.index < TOKENS:
            frames.append(
                messages.Frame(
                    request=run.request,
                    attempt=run.attempt,
                    sequence=run.sequence,
                    text=token_text(run.request, run.index),
                )
            )
            run.sequence += 1
            run.index += 1
            count -= 1
        if frames:
            agent.outbox.append(messages.Frames(frames=frames))
        if run.index == TOKENS:
            agent.finish(run)

    @stateful.rule(
        number=strategies.integers(0, SERVERS - 1),
        fault=strategies.sampled_from(
            ["crash", "lose", "lose", "cut", "cut off"]
        ),
    )
    def fail(self, number, fault):
        agent = self.agents[number]
        match fault:
            case "crash":
                agent.start_count += 1
                for run in list(agent.runs):
                    self.ran.add(run.request)
                    agent.fail(run)
            case "lose":
                self.work(agent, True, TOKENS - 1, 0)
                sent = [each for each in agent.outbox if _is_frames(each)]
                if sent:
                    agent.outbox.remove(sent[-1])
            case _:
                self.cut(agent, agent_notified=fault == "cut")

    def cut(self, agent, agent_notified):
        """Breaks a connection; the agent stops its runs only if notified."""
        unsent = list(agent.inbox)
        agent.inbox.clear()
        agent.outbox.clear()
        if agent_notified:
            agent.runs.clear()
        self.handle(events.Unreachable(address=agent.address, unsent=unsent))

    @stateful.rule(which=strategies.integers(0, 5))
    def leave(self, which):
        waiting = [
            request
            for request, caller in self.callers.items()
            if not caller.ended and not caller.disconnected
        ]
        if waiting:
            request = waiting[which % len(waiting)]
            self.callers[request].disconnected = True
            self.handle(events.CallerGone(request=request))

    @stateful.rule(
        seconds=strategies.sampled_from([0.01] * 6 + [0.3, 1.0, 6.0])
    )
    def wait(self, seconds):
        end = self.now + seconds
        while True:
            wake = self.entry.next_wake()
            if wake is None or wake > end:
                break
            self.now = max(self.now, wake)
            self.apply_actions(self.entry.tick(self.now))
        self.now = end

    def teardown(self):
        for _ in range(5):
            self.wait(6.0)
        assert self.entry.idle()
        assert all(
            each.ended or each.disconnected for each in self.callers.values()
        )


Streams.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=50,
    deadline=None,
)
TestStreams = Streams.TestCase
