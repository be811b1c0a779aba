"""Simulation of real entries and agents with a fake store and service.

Messages, store calls and service calls wait in one queue. A test processes
them one by one, kills and pauses processes in between, and advances the time.
"""

import collections

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import agents
from pimentoledge.decisions import claim_records
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import entries
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.services import fake_services
from pimentoledge.stores import fake_objects

KEY_DIGEST = "ab" * 32
KEY = "key-1"


@attrs.define
class Item:
    """A queued message, store call or service call."""

    sender: str
    receiver: str
    content: object


class Cluster:
    """Two entries and two agents with a fake store and service.

    Attributes:
        replies: replies to clients, by request.
        verdicts: logged verdicts of the claims, in order.
        queue: queued items.
        paused: addresses of paused nodes, which process nothing.
        backlog: items that arrived for paused nodes.
    """

    def __init__(self, kind=declarations.ServerKind.SERVICE):
        self.now = 100.0
        self.objects = fake_objects.FakeObjects(clock=lambda: self.now)
        self.service = fake_services.FakeService()
        self.view = configuration.Configuration()
        self.kind = kind
        self.queue: collections.deque[Item] = collections.deque()
        self.nodes: dict[str, entries.Entry | agents.Agent] = {}
        self.paused: set[str] = set()
        self.backlog: list[Item] = []
        self.replies: dict[str, list] = {}
        self.verdicts: list[str] = []
        self.agent_starts = 0
        self.version = 0
        self.declare(
            declarations.Contract(
                organisation="o",
                key_digests=[KEY_DIGEST],
                services=["cards"],
                models=["cards"],
            )
        )
        self.declare(declarations.Service(name="cards"))
        self.declare(declarations.Model(name="cards", weights="w"))
        for name in ("a", "b"):
            self.declare_server(name)
            self.start_agent(name)
        for name in ("e", "f"):
            self.start_entry(name)

    def declare(self, declaration) -> None:
        self.version += 1
        path = declarations.path_of(declaration)
        value = declarations.encode(declaration)
        stored = stores.Object(path=path, version=self.version, value=value)
        assert self.view.apply([stored])

    def declare_server(self, name, state=declarations.ServerState.IN) -> None:
        self.declare(
            declarations.BackendServer(
                name=name,
                kind=self.kind,
                serves="cards",
                agent=address(name),
                state=state,
            )
        )

    def start_entry(self, name: str) -> None:
        self.nodes[address(name)] = entries.Entry(
            name=name,
            address=address(name),
            data_centre="d",
            seed=1,
            block_bytes=256,
            view=self.view,
            seeds=[],
        )

    def start_agent(self, name: str) -> None:
        self.agent_starts += 1
        incarnation = f"life-{self.agent_starts}"
        core = agents.Agent(
            name=name,
            kind=self.kind,
            life=incarnation,
            slots=4,
            seed=self.agent_starts,
            view=self.view,
            seeds=[],
        )
        self.nodes[address(name)] = core
        status = events.EngineStatus(incarnation=incarnation, weights="w")
        self.handle(address(name), status)

    def owner(self, key: str = KEY) -> str:
        """Returns the name of the agent that owns a key's shard."""
        shard = claim_records.shard_of("o", key)
        servers = self.view.servers(self.kind, "cards")
        return claim_records.owner("cards", shard, servers).name

    def post(self, entry: str, request: str, body=b"card", key=KEY) -> None:
        call = messages.ServiceCall(
            service="cards", method="POST", path="/new", body=body
        )
        self.send_request(entry, request, key, call=call)

    def send_request(self, entry: str, request: str, key=KEY, **fields) -> None:
        event = events.CallerRequest(
            request=request,
            key_digest=KEY_DIGEST,
            idempotency_key=key,
            seconds=10.0,
            **fields,
        )
        self.handle(address(entry), event)

    def handle(self, receiver: str, event: object) -> None:
        core = self.nodes[receiver]
        pending = core.handle(event, self.now) + core.flush()
        self.apply_actions(receiver, pending)

    def apply_actions(self, sender: str, pending: list) -> None:
        for action in pending:
            match action:
                case actions.Send():
                    item = Item(sender, action.address, action.message)
                    self.queue.append(item)
                case actions.CallStore() if "claims/" in action.call.call:
                    self.queue.append(Item(sender, sender, action.call))
                case actions.RunCall() | actions.RunCompletion():
                    self.queue.append(Item(sender, sender, action))
                case actions.LogDecision(kind="claim", fields=fields):
                    self.verdicts.append(fields["verdict"])
                case (
                    actions.ReplyAnswer()
                    | actions.ReplyError()
                    | actions.ReplyText()
                    | actions.ReplyEnd()
                ):
                    self.replies.setdefault(action.request, []).append(action)

    def kill(self, name: str) -> None:
        """Kills a process; messages it has already sent still arrive."""
        del self.nodes[address(name)]

    def step(self) -> None:
        """Processes the first item of the queue."""
        item = self.queue.popleft()
        if item.receiver in self.paused:
            self.backlog.append(item)
            return
        match item.content:
            case stores.Read() | stores.Write():
                self.deliver_event(item.sender, self.objects.call(item.content))
            case actions.RunCall():
                self.run_call(item)
            case actions.RunCompletion():
                self.run_completion(item)
            case Event():
                self.deliver_event(item.receiver, item.content.event)
            case _:
                self.deliver_message(item)

    def deliver_event(self, receiver: str, event: object) -> None:
        if receiver in self.nodes:
            self.handle(receiver, event)

    def deliver_message(self, item: Item) -> None:
        if item.receiver in self.nodes:
            event = events.FromNode(sender=item.sender, message=item.content)
            self.handle(item.receiver, event)
        elif item.sender in self.nodes:
            unreachable = events.Unreachable(
                address=item.receiver, unsent=[item.content]
            )
            self.handle(item.sender, unreachable)

    def run_call(self, item: Item) -> None:
        """Calls the service, unless the agent crashed before it."""
        if item.receiver not in self.nodes:
            return
        run = item.content
        refused = self.service.down
        call = fake_services.ReceivedCall(
            method=run.call.method,
            path=run.call.path,
            headers={"idempotency-key": run.key},
            body=run.call.body,
        )
        answer = self.service.call(call)
        if answer is None:
            event = events.EngineBroken(
                request=run.request,
                attempt=run.attempt,
                ran="not_run" if refused else "outcome_unknown",
                text="",
            )
        else:
            event = events.ServiceDone(
                request=run.request,
                attempt=run.attempt,
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
            )
        self.queue.append(Item(item.sender, item.sender, Event(event)))

    def run_completion(self, item: Item) -> None:
        self.service.runs_by_key[KEY] += 1
        run = item.content
        text_event = events.EngineText(
            request=run.request,
            attempt=run.attempt,
            index=0,
            text="It fits.",
            tokens=2,
        )
        end_event = events.EngineEnded(
            request=run.request,
            attempt=run.attempt,
            reason="stop",
            prompt_tokens=3,
            cached_tokens=0,
            completion_tokens=2,
        )
        for event in (text_event, end_event):
            self.queue.append(Item(item.sender, item.sender, Event(event)))

    def run_until(self, kind: type) -> Item:
        """Runs until the first item is of a kind, and returns that item."""
        for _ in range(1000):
            if not self.queue:
                self.advance(1.0)
            elif isinstance(self.queue[0].content, kind):
                return self.queue[0]
            else:
                self.step()
        raise AssertionError(f"no {kind}")

    def settle(self, seconds: float = 5.0) -> None:
        """Processes all items that are due within some seconds."""
        end = self.now + seconds
        while True:
            while self.queue:
                self.step()
            if not self.advance(end - self.now):
                self.now = end
                return

    def advance(self, seconds: float) -> bool:
        """Advances to the next wake-up; False if none is within `seconds`."""
        running = [each for each in self.nodes if each not in self.paused]
        wakes = [self.nodes[each].next_wake() for each in running]
        soonest = min((w for w in wakes if w is not None), default=None)
        if soonest is None or soonest > self.now + seconds:
            return False
        self.now = max(self.now + 1e-6, soonest)
        for each in running:
            core = self.nodes[each]
            self.apply_actions(each, core.tick(self.now) + core.flush())
        return True

    def resume(self, name: str) -> None:
        """Resumes a paused process and queues the items of its backlog."""
        self.paused.discard(address(name))
        self.queue.extend(self.backlog)
        self.backlog.clear()

    def run_count(self) -> int:
        return self.service.runs_by_key[KEY]


@attrs.define
class Event:
    """An event of a service or engine, in flight to its agent."""

    event: object


def address(name: str) -> str:
    """Returns the mailbox address of a process."""
    return f"tcp://10.0.0.{ord(name)}:7000"
