"""A few runners with their agents' order machines, in virtual time.

Only what lies on the path of an order: the machines, fake engines, the fake
object API behind a latency, and streams that keep the engines busy.
"""

import heapq
import itertools
import random

import msgspec

from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import orders
from pimentoledge.decisions import permits
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.runners import fake_engines
from pimentoledge.runners import fake_weight_stores
from pimentoledge.stores import fake_objects

STATUS_SECONDS = 0.1
MAX_CALLBACKS = 200_000


def server_of(name: str, **fields) -> declarations.BackendServer:
    """Returns the declaration of a runner whose agent has its own address."""
    return declarations.BackendServer(
        name=name, serves="m", agent=f"tcp://10.0.0.{name[1:]}:7000", **fields
    )


class Node:
    """One runner, its engine and its agent's machine.

    Attributes:
        name: the server's name.
        engine: the fake engine.
        orders: the machine of the agent's current life; None while dead.
        paused: whether the agent stands still; what comes for it is kept.
        deferred: callables to run when it goes on.
    """

    def __init__(self, *, name, engine):
        self.name = name
        self.engine = engine
        self.orders = None
        self.paused = False
        self.deferred = []
        self.agent_starts = 0


class Fleet:
    """Runners of one model.

    Attributes:
        now: virtual time in seconds.
        store: the object API.
        weight_store: what all engines load from.
        nodes: Node by server name.
        model: the model's declaration.
        servers: server declarations by name.
        given: (time, server, order) of each order that an engine got.
        fewest: fewest runners that took new work at one time.
        most_loading: most engines that loaded weights at one time.
        refused: requests refused because a runner was loading.
        unplaced: requests that no runner took.
        ended: streams that ended as they should.
        broken: streams that an engine broke off.
    """

    def __init__(
        self, *, size, limit, seed=1, checks_orders=True, latency=0.003
    ):
        self.now = 0.0
        self.random = random.Random(seed)
        self.seed = seed
        self.latency = latency
        self.store = fake_objects.FakeObjects(clock=lambda: self.now)
        self.weight_store = fake_weight_stores.WeightStore(concurrent=limit)
        self.model = declarations.Model(
            name="m", weights="w1", concurrent_loads=limit
        )
        self.servers = {}
        self.nodes = {}
        self.engine_orders = []
        self.min_open_nodes = size
        self.max_loading = 0
        self.broken = 0
        self.refused = 0
        self.unplaced = 0
        self.completed = 0
        self.scheduled = []
        self.sequence = itertools.count()
        for number in range(1, size + 1):
            name = f"r{number}"
            self.add_server(server_of(name, checks_orders=checks_orders))
            engine = fake_engines.FakeEngine(
                slots=16,
                cache_blocks=64,
                weight_store=self.weight_store,
                checks_orders=checks_orders,
                name=name,
                seed=number,
            )
            self.nodes[name] = Node(name=name, engine=engine)
        for node in self.nodes.values():
            self.start_agent(node)
            self.schedule(
                self.random.uniform(0, STATUS_SECONDS), self.poll, node
            )

    def add_server(self, server):
        """Declares a server, here and in the store."""
        self.servers[server.name] = server
        path = declarations.path_of(server)
        stored = stores.Object(
            path=path, version=1, value=declarations.encode(server)
        )
        self.store.objects[path] = stored

    def schedule(self, when, callback, *arguments):
        """Has something done at a time."""
        heapq.heappush(
            self.scheduled, (when, next(self.sequence), callback, arguments)
        )

    def run(self, until):
        """Lets the time go on; raises when a machine asks for no rest."""
        for _ in range(MAX_CALLBACKS):
            if not self.scheduled or self.scheduled[0][0] > until:
                self.now = until
                return
            self.now, _, callback, arguments = heapq.heappop(self.scheduled)
            callback(*arguments)
            self.record_load()
        raise AssertionError("a machine wakes again and again")

    def record_load(self):
        """Takes note of how many runners take work, and how many load."""
        loading = [each for each in self.nodes.values() if each.engine.loading]
        self.max_loading = max(self.max_loading, len(loading))
        self.min_open_nodes = min(self.min_open_nodes, len(self.open_nodes()))

    def run_until(self, condition, timeout_seconds=600.0):
        """Lets the time go on until a condition; returns the seconds."""
        started_at = self.now
        while not condition():
            assert (
                self.now < started_at + timeout_seconds
            ), "condition never held"
            self.run(self.now + 0.05)
        return self.now - started_at

    def start_agent(self, node, address=None):
        """Starts a new life of a node's agent."""
        node.agent_starts += 1
        node.paused = False
        node.deferred = []
        node.orders = orders.Orders(
            server=node.name,
            life=f"{node.name}-{node.agent_starts}",
            address=address or self.servers[node.name].agent,
            seed=self.seed + node.agent_starts,
        )
        self.declare(node)

    def declare(self, node):
        """Tells a node what is declared now."""
        usable_servers = [
            each
            for each in self.servers.values()
            if each.state is declarations.ServerState.IN
        ]
        requested = node.orders.declare(
            server=self.servers[node.name],
            model=self.model,
            runners=len(usable_servers),
            now=self.now,
        )
        self.run_actions(node, node.orders, requested)

    def upgrade(self, weights, adapters=()):
        """Declares other weights; each agent learns it within 0.2 s."""
        self.model = declarations.Model(
            name="m",
            weights=weights,
            adapters=list(adapters),
            concurrent_loads=self.model.concurrent_loads,
        )
        for node in self.nodes.values():
            self.schedule(
                self.now + self.random.uniform(0, 0.2),
                self.apply_declaration,
                node,
            )

    def apply_declaration(self, node):
        """A declaration reaches a node."""
        if node.orders is not None:
            self.declare(node)

    def is_upgraded(self):
        """Returns whether each engine has what is declared."""
        return all(
            each.engine.weights == self.model.weights
            and set(each.engine.adapters) == set(self.model.adapters)
            for each in self.nodes.values()
        )

    def open_nodes(self):
        """Returns the nodes that take new work."""
        return [
            each
            for each in self.nodes.values()
            if each.engine.incarnation
            and not each.engine.loading
            and not (each.orders is not None and each.orders.closing)
        ]

    def poll(self, node):
        """Reads an engine's status, again and again."""
        self.schedule(self.now + STATUS_SECONDS, self.poll, node)
        self.step(node)
        self.deliver(node, node.orders, node.engine.status(self.now))
        self.report_work(node)

    def step(self, node):
        """Lets an engine do what is due."""
        for event in node.engine.step(self.now):
            match event:
                case events.EngineEnded():
                    self.completed += 1
                case events.EngineBroken():
                    self.broken += 1

    def report_work(self, node):
        """Tells a node's machine how much work its engine holds."""
        machine = node.orders
        if machine is None or node.paused:
            return
        requested = machine.work(
            running=len(node.engine.streams),
            adapters=frozenset(
                each.adapter for each in node.engine.streams.values()
            ),
            now=self.now,
        )
        self.run_actions(node, machine, requested)

    def deliver(self, node, machine, event):
        """Gives an event to a machine, now or when it goes on."""
        if machine is None or machine is not node.orders:
            return
        if node.paused:
            node.deferred.append(lambda: self.deliver(node, machine, event))
            return
        self.run_actions(node, machine, machine.handle(event, self.now))

    def wake(self, node, machine):
        """Wakes a machine if its time has come."""
        due = machine.next_wake()
        if machine is not node.orders or node.paused or due is None:
            return
        if due <= self.now:
            self.run_actions(node, machine, machine.wake(self.now))

    def run_actions(self, node, machine, requested):
        """Carries out what a machine asks for."""
        for each in requested:
            match each:
                case actions.CallStore(call=call):
                    sent = self.now + self.latency / 2
                    self.schedule(sent, self.call_store, node, machine, call)
                case actions.OrderEngine(order=order):
                    self.send_order(node, machine, order)
        due = machine.next_wake()
        if due is not None:
            self.schedule(max(due, self.now), self.wake, node, machine)

    def call_store(self, node, machine, call):
        """A call reaches the store; its answer comes back."""
        answer = self.store.call(call)
        self.schedule(
            self.now + self.latency / 2, self.deliver, node, machine, answer
        )

    def send_order(self, node, machine, order):
        """An order reaches the engine."""
        self.engine_orders.append((self.now, node.name, order))
        self.step(node)
        answer = node.engine.order(order, self.now)
        done = events.OrderDone(order=order, answer=answer)
        self.schedule(self.now + 0.001, self.deliver, node, machine, done)

    def resume(self, node):
        """Ends a pause."""
        node.paused = False
        deferred, node.deferred = node.deferred, []
        self.report_work(node)
        for each in deferred:
            each()
        if node.orders is not None:
            self.run_actions(node, node.orders, node.orders.wake(self.now))

    def schedule_traffic(self, per_second, until, tokens=60):
        """Starts streams at random times on runners that seem open."""
        when = self.now
        while when < until:
            when += self.random.expovariate(per_second)
            self.schedule(when, self.submit_stream, f"q{when:.6f}", tokens)

    def submit_stream(self, request, tokens):
        """Tries the runners in random order until one takes a stream."""
        names = self.random.sample(sorted(self.nodes), len(self.nodes))
        for name in names:
            node = self.nodes[name]
            self.step(node)
            if node.orders is not None and node.orders.closing:
                self.refused += 1
                continue
            run = actions.RunCompletion(
                request=request,
                attempt=1,
                priority="interactive",
                completion=messages.Completion(
                    model="m", prompt=request * 10, max_tokens=tokens
                ),
            )
            if node.engine.submit(run, "", self.now) is None:
                self.report_work(node)
                return
        self.unplaced += 1


def permit_holders(fleet: Fleet) -> list[permits.PermitEntry]:
    """Returns the entries of the object of permits."""
    stored = fleet.store.objects.get(permits.PATH)
    if stored is None:
        return []
    return msgspec.json.decode(stored.value, type=permits.PermitTable).holders
