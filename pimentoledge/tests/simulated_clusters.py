"""Simulation of entries, agents and fake engines, in simulated time."""

import math

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import agents
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import entries
from pimentoledge.decisions import events
from pimentoledge.decisions import quarantine
from pimentoledge.nodes import messages
from pimentoledge.runners import fake_engines
from pimentoledge.tests import network

STATUS_INTERVAL_SECONDS = 0.1
POISON = "poison"


class Node:
    """An entry, or an agent together with its fake engine."""

    def __init__(self, core, engine=None):
        self.core = core
        self.engine = engine
        self.status_at = 0.0 if engine else math.inf

    @property
    def configuration(self):
        return self.core.configuration

    def handle(self, event, now):
        return self.core.handle(event, now) + self.core.flush()

    def next_wake(self):
        wakes = [self.core.next_wake(), self.status_at]
        if self.engine is not None:
            wakes.append(self.engine.next_wake())
        return min(each for each in wakes if each is not None)

    def wake(self, now):
        todo = self.core.tick(now)
        for event in self.engine.step(now) if self.engine else ():
            todo += self.core.handle(event, now)
        if now >= self.status_at:
            self.status_at = now + STATUS_INTERVAL_SECONDS
            todo += self.core.handle(self.engine.status(now), now)
        return todo + self.core.flush()


class SimulatedCluster(network.Network):
    """Entries, runners and callers.

    Attributes:
        answers: the result of a request and when it came, by request id.
        texts: the text that a caller has received, by request id.
        first_text_times: when a caller received its first text, by request id.
        restart_seconds: time that a crashed engine takes to restart.
        entry_addresses: addresses of the entries.
        runners: Node of each runner.
    """

    def __init__(self, *, entry_count, runners, slots=4, **engine):
        super().__init__()
        self.answers = {}
        self.texts = {}
        self.first_text_times = {}
        self.restart_seconds = 1.0
        self.entry_addresses = [
            f"tcp://10.0.0.{n}:7000" for n in range(entry_count)
        ]
        self.seeds = self.entry_addresses
        self.declare(declarations.Model(name="m", weights="w1"))
        for organisation in ("o", "p"):
            contract = declarations.Contract(
                organisation=organisation,
                key_digests=[declarations.key_digest(organisation)],
                models=["m"],
            )
            self.declare(contract)
        for address in self.entry_addresses:
            self.declare(
                declarations.EntryNode(name=address[6:-5], mailbox=address)
            )
        self.runners = []
        for number in range(runners):
            self.add_runner(number, slots, engine)
        for number in range(entry_count):
            self.start_entry(number)
        self.run(8.0)

    def add_runner(self, number, slots, engine):
        name = f"r{number}"
        address = f"tcp://10.0.1.{number}:7000"
        fake = fake_engines.FakeEngine(
            slots=slots, cache_blocks=1000, name=name, seed=number, **engine
        )
        fake.restart_seconds = self.restart_seconds
        fake.poison = POISON
        self.declare(
            declarations.BackendServer(
                name=name, serves="m", agent=address, slots=slots
            )
        )
        core = agents.Agent(
            name=name,
            kind=declarations.ServerKind.RUNNER,
            life="life",
            slots=slots,
            seed=number,
            view=configuration.Configuration(),
            seeds=self.entry_addresses,
        )
        self.nodes[address] = Node(core, fake)
        self.runners.append(self.nodes[address])

    def start_entry(self, number):
        """Starts an entry, or restarts it without its state."""
        address = self.entry_addresses[number]
        core = entries.Entry(
            name=address[6:-5],
            address=address,
            data_centre="",
            seed=next(self.numbers),
            block_bytes=256,
            view=configuration.Configuration(),
            seeds=self.entry_addresses,
        )
        self.nodes[address] = Node(core)
        self.watches = [w for w in self.watches if w[0] != address]

    def request(
        self, entry, request, prompt, *, tokens=20, batch=False, seconds=60.0
    ):
        """Sends a caller's completion request to an entry."""
        event = events.CallerRequest(
            request=request,
            key_digest=declarations.key_digest("o"),
            seconds=seconds,
            batch=batch,
            completion=messages.Completion(
                model="m", prompt=prompt, max_tokens=tokens
            ),
        )
        address = self.entry_addresses[entry]
        self.perform(address, self.nodes[address].handle(event, self.now))

    def perform(self, address, todo):
        node = self.nodes.get(address)
        for action in todo:
            match action:
                case actions.RunCompletion():
                    refused = node.engine.submit(action, action.salt, self.now)
                    if refused is not None:
                        self.schedule(address, refused)
                case actions.CancelRun(request=request, attempt=attempt):
                    node.engine.cancel(request, attempt, self.now)
                case actions.CheckEngine():
                    node.status_at = min(node.status_at, self.now)
                case actions.ReplyText(request=request, text=text):
                    self.first_text_times.setdefault(request, self.now)
                    self.texts[request] = self.texts.get(request, "") + text
                case actions.ReplyEnd(request=request):
                    self.record_answer(
                        request, results.Error(code=results.Code.OK)
                    )
                case actions.ReplyError(request=request, error=error):
                    self.record_answer(request, error)
        super().perform(address, todo)

    def record_answer(self, request, error):
        assert request not in self.answers
        self.answers[request] = (error, self.now)

    def result_code(self, request):
        """Returns the result code of a request; None while it runs."""
        answer = self.answers.get(request)
        return answer and answer[0].code

    def crash_count(self):
        """Returns the number of engine crashes so far."""
        return sum(e.engine.counters.crashes for e in self.runners)

    def crash_records(self, entry):
        """Returns the records of an entry's quarantine."""
        core = self.nodes[self.entry_addresses[entry]].core
        assert isinstance(core.quarantine, quarantine.Quarantine)
        return core.quarantine.records
