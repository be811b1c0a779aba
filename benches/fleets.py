"""Simulates runners and their agents' order state machines in virtual time.

Only the path of an order is simulated: the state machines, fake engines, a fake
object API with a latency, and streams that load the engines.
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
    """One runner, its engine and its agent's state machine.

    Attributes:
        name: the server's name.
        engine: the fake engine.
        orders: the state machine of the running agent process; None while the
            agent is down.
        paused: whether the agent is paused; its events are deferred meanwhile.
        deferred: callables to run when the agent resumes.
        agent_starts: number of starts of the agent.
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
        weight_store: the store that all engines load weights from.
        nodes: Node by server name.
        model: the model's declaration.
        servers: server declarations by name.
        engine_orders: (time, server, order) of each order sent to an engine.
        min_open_nodes: lowest number of nodes that accepted new work at a time.
        max_loading: highest number of engines that loaded weights at a time.
        refused: times that a node refused a request because its agent had
            closed it to new work for an order.
        unplaced: requests that no node accepted.
        completed: streams that completed.
        broken: streams that an engine aborted.
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
        """Declares a server in this fleet and in the store."""
        self.servers[server.name] = server
        path = declarations.path_of(server)
        stored = stores.Object(
            path=path, version=1, value=declarations.encode(server)
        )
        self.store.objects[path] = stored

    def schedule(self, when, callback, *arguments):
        """Schedules a call of `callback` at a virtual time."""
        heapq.heappush(
            self.scheduled, (when, next(self.sequence), callback, arguments)
        )

    def run(self, until):
        """Runs the simulation until a virtual time.

        Raises an error after MAX_CALLBACKS callbacks, as happens if a state
        machine always asks to be woken at once.
        """
        for _ in range(MAX_CALLBACKS):
            if not self.scheduled or self.scheduled[0][0] > until:
                self.now = until
                return
            self.now, _, callback, arguments = heapq.heappop(self.scheduled)
            callback(*arguments)
            self.record_load()
        raise AssertionError(
            f"more than {MAX_CALLBACKS} callbacks before {until} s"
        )

    def record_load(self):
        """Updates the extremes of open nodes and of loading engines."""
        loading = [each for each in self.nodes.values() if each.engine.loading]
        self.max_loading = max(self.max_loading, len(loading))
        self.min_open_nodes = min(self.min_open_nodes, len(self.open_nodes()))

    def run_until(self, condition, timeout_seconds=600.0):
        """Runs until a condition holds; returns the virtual seconds taken."""
        started_at = self.now
        while not condition():
            assert (
                self.now < started_at + timeout_seconds
            ), f"condition not met within {timeout_seconds} s"
            self.run(self.now + 0.05)
        return self.now - started_at

    def start_agent(self, node, address=None):
        """Starts a node's agent with a new state machine."""
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
        """Passes the current declarations to a node's agent."""
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
        """Declares other weights; each agent receives them within 0.2 s."""
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
        """Passes the current declarations to a node if its agent is up."""
        if node.orders is not None:
            self.declare(node)

    def is_upgraded(self):
        """Returns whether each engine has the declared weights and adapters."""
        return all(
            each.engine.weights == self.model.weights
            and set(each.engine.adapters) == set(self.model.adapters)
            for each in self.nodes.values()
        )

    def open_nodes(self):
        """Returns the nodes that accept new work."""
        return [
            each
            for each in self.nodes.values()
            if each.engine.incarnation
            and not each.engine.loading
            and not (each.orders is not None and each.orders.closing)
        ]

    def poll(self, node):
        """Delivers an engine's status to its agent, and schedules the next."""
        self.schedule(self.now + STATUS_SECONDS, self.poll, node)
        self.step(node)
        self.deliver(node, node.orders, node.engine.status(self.now))
        self.report_work(node)

    def step(self, node):
        """Steps an engine to the current time and counts ended streams."""
        for event in node.engine.step(self.now):
            match event:
                case events.EngineEnded():
                    self.completed += 1
                case events.EngineBroken():
                    self.broken += 1

    def report_work(self, node):
        """Reports the engine's running streams to the node's state machine."""
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
        """Passes an event to a state machine, after a pause if there is one."""
        if machine is None or machine is not node.orders:
            return
        if node.paused:
            node.deferred.append(lambda: self.deliver(node, machine, event))
            return
        self.run_actions(node, machine, machine.handle(event, self.now))

    def wake(self, node, machine):
        """Wakes a state machine if its wake-up time has passed."""
        due = machine.next_wake()
        if machine is not node.orders or node.paused or due is None:
            return
        if due <= self.now:
            self.run_actions(node, machine, machine.wake(self.now))

    def run_actions(self, node, machine, requested):
        """Runs actions of a state machine and schedules its next wake-up."""
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
        """Makes a store call and schedules the delivery of its answer."""
        answer = self.store.call(call)
        self.schedule(
            self.now + self.latency / 2, self.deliver, node, machine, answer
        )

    def send_order(self, node, machine, order):
        """Passes an order to the engine and schedules the answer."""
        self.engine_orders.append((self.now, node.name, order))
        self.step(node)
        answer = node.engine.order(order, self.now)
        done = events.OrderDone(order=order, answer=answer)
        self.schedule(self.now + 0.001, self.deliver, node, machine, done)

    def resume(self, node):
        """Resumes a paused agent and delivers the deferred events."""
        node.paused = False
        deferred, node.deferred = node.deferred, []
        self.report_work(node)
        for each in deferred:
            each()
        if node.orders is not None:
            self.run_actions(node, node.orders, node.orders.wake(self.now))

    def schedule_traffic(self, per_second, until, tokens=60):
        """Schedules streams at random times, `per_second` on average."""
        when = self.now
        while when < until:
            when += self.random.expovariate(per_second)
            self.schedule(when, self.submit_stream, f"q{when:.6f}", tokens)

    def submit_stream(self, request, tokens):
        """Submits a stream to the nodes in random order until one accepts."""
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
    """Returns the holders in the stored permit table."""
    stored = fleet.store.objects.get(permits.PATH)
    if stored is None:
        return []
    return msgspec.json.decode(stored.value, type=permits.PermitTable).holders
