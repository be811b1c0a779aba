"""The Hypothesis state machine: injects any fault at any time."""

from hypothesis import strategies
import hypothesis.stateful

from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.nodes import messages
from pimentoledge.runners import fake_engines
from pimentoledge.runners import messages as runner_messages
from pimentoledge.services import fake_services
from pimentoledge.tests.fuzz import oracles
from pimentoledge.tests.fuzz import worlds

ORGANISATIONS = ("acme", "zenith")
PROMPT_PREFIX = "A service manual of brand {} says how the part fits a frame. "
DEADLINE_SECONDS = 6.0
# Time in which entries that restart together must serve again. They ask one
# another for the configuration, and one of them reads the store.
RESTART_SECONDS = 0.2
# The same while the store is down: they must first find agents that have a
# copy of the configuration.
RESTART_WITHOUT_STORE_SECONDS = 2.5
# Time for a rollout to end. A load takes half a second, the permit of an
# agent that ended counts for ten seconds, and one under a fencing number that
# a later start of the agent replaced counts for ten more.
UPGRADE_SECONDS = 60.0
BLOCK_TOKENS = worlds.BLOCK_BYTES // 4
NUMBER = strategies.integers(0, 11)
rule = hypothesis.stateful.rule


def prompt_of(brand: int, model: int) -> str:
    """Returns a prompt; prompts of one brand share a long prefix."""
    return (
        PROMPT_PREFIX.format(brand) * 30 + f" Model {model}: which part? " * 12
    )


class Driver:
    """Applies callers' and operators' requests and faults to a world.

    Entries and agents are selected by numbers of any size.
    """

    def __init__(self, **sizes):
        self.world = worlds.World(**sizes)
        self.oracle = self.world.oracle

    def pick(self, items, selector):
        """Returns one of the items, or None if there are none."""
        items = list(items)
        return items[selector % len(items)] if items else None

    def entry(self, selector) -> worlds.Process:
        """Returns a current entry process that isn't paused.

        If all of them are paused, it resumes the first.
        """
        current = [self.world.processes[each] for each in self.world.entries]
        active = [each for each in current if not each.paused]
        if not active:
            current[0].paused = False
        return self.pick(active or current[:1], selector)

    def agent(self, selector) -> worlds.Process:
        """Returns the current process of an agent."""
        addresses = self.world.runners + self.world.services
        return self.world.processes[self.pick(addresses, selector)]

    def send_request(
        self, entry, organisation, *, seconds=DEADLINE_SECONDS, **fields
    ):
        """Sends a caller's request to an entry; returns its record."""
        request = f"r{next(self.world.request_numbers)}"
        key = worlds.KEY_TEMPLATE.format(organisation)
        event = events.CallerRequest(
            request=request,
            key_digest=declarations.key_digest(key),
            seconds=seconds,
            **fields,
        )
        tracked = oracles.TrackedRequest(
            event=event,
            organisation=organisation,
            entry=entry,
            deadline=self.world.now + seconds,
        )
        self.oracle.record_request(tracked)
        self.world.give(entry, event)
        return tracked

    def complete(self, entry, organisation, prompt, tokens=6, **fields):
        """Sends a request for a completion."""
        wanted = messages.Completion(
            model="m", prompt=prompt, max_tokens=tokens
        )
        return self.send_request(
            entry, organisation, completion=wanted, **fields
        )

    def call(self, entry, organisation, key, method="POST"):
        """Sends a call to a plain service."""
        call = messages.ServiceCall(
            service="cards",
            method=method,
            path="/cards",
            body=f"card {key}".encode(),
        )
        return self.send_request(
            entry, organisation, call=call, idempotency_key=key
        )

    def busy(self):
        """Returns the current processes that have open requests or runs."""
        return [
            each
            for each in self.world.processes.values()
            if (each.core.tickets if each.is_entry() else each.core.runs)
        ]

    def change_contract(self, entry, path, version):
        """Sends an operator's conditional update of a contract."""
        number = next(self.world.request_numbers)
        event = events.OperatorRequest(
            request=f"o{number}",
            key_digest=declarations.key_digest(worlds.OPERATOR_KEY),
            method="PATCH",
            kind="contracts",
            name="zenith",
            body=b'{"burst": %d}' % (100000 + number),
            expected=version,
        )
        self.oracle.changes[event.request] = oracles.Change(
            path=path, expected=version, marker=b"%d" % (100000 + number)
        )
        self.world.give(entry, event)

    def end_faults(self):
        """Ends all faults and delivers all pending messages."""
        world = self.world
        for channel in world.channels.values():
            channel.blocked = False
        world.objects.down = False
        world.objects.latency = 0.0
        world.objects.lose_answers = world.objects.lose_requests = 0
        for process in world.active_processes():
            process.paused = False
            if not process.is_entry():
                self.repair_backend(process.backend)
        world.deliver_all()
        for process in world.replaced:
            # A replaced process is ended once it is reachable again.
            world.stop_replaced(process)
        for process in list(world.processes.values()):
            if not process.alive:
                world.restart(process)

    def repair_backend(self, backend):
        """Ends the faults of an engine or a service."""
        if isinstance(backend, fake_services.FakeService):
            backend.down = False
            backend.lose_answers = backend.lose_requests = 0
            return
        backend.restart(self.world.now)

    def check_healed(self):
        """Ends all faults; checks that requests end and changes propagate."""
        self.end_faults()
        self.world.settle(DEADLINE_SECONDS + oracles.FORCE_SECONDS)
        for tracked in self.oracle.asked.values():
            if not (tracked.ended or tracked.lost):
                self.oracle.fail(
                    "answered", f"{tracked.event.request} has no answer"
                )
        self.oracle.check_propagation()

    def check_service(self):
        """Checks that healthy and restarted processes serve, and share caches.

        All entries restart together. Each must soon serve again, and a prompt
        that was computed for one entry must be read from the cache for the
        others.
        """
        self.check_healed()
        world = self.world
        for name in [worlds.name_of(each) for each in world.runners]:
            self.declare(name, declarations.ServerState.IN)
        self.end_faults()
        self.wait_for_upgrade()
        if len(world.entries) > 1:
            self.check_restart_without_store()
        self.check_all_restart_without_store()
        for address in world.entries:
            world.restart(world.processes[address])
        world.settle(RESTART_SECONDS)
        # No engine has this prompt in its cache yet.
        prompt = prompt_of(100 + self.oracle.steps, 0)
        for number in range(2 * len(world.entries)):
            tracked = self.complete(self.entry(number), "acme", prompt)
            world.settle(1.0)
            if not isinstance(tracked.ended, actions.ReplyEnd):
                self.oracle.fail(
                    "restart", f"{tracked.event.request} not served"
                )
            wanted = tracked.ended.prompt_tokens - 2 * BLOCK_TOKENS
            if number and tracked.ended.cached_tokens < wanted:
                self.oracle.fail(
                    "shared", f"{tracked.ended} was computed again"
                )

    def check_restart_without_store(self):
        """Checks that a restarted entry serves while the store is down.

        It gets the configuration from another entry.
        """
        self.world.objects.down = True
        entry = self.world.restart(self.entry(0))
        self.world.settle(0.5)
        tracked = self.complete(entry, "acme", prompt_of(0, 0))
        self.world.settle(1.0)
        if not isinstance(tracked.ended, actions.ReplyEnd):
            self.oracle.fail("restart", f"{tracked.event.request} not served")
        self.world.objects.down = False

    def check_all_restart_without_store(self):
        """Checks that all entries can restart while the store is down.

        They get the configuration from the agents.
        """
        world = self.world
        world.objects.down = True
        for address in world.entries:
            world.restart(world.processes[address])
        world.settle(RESTART_WITHOUT_STORE_SECONDS)
        for address in world.entries:
            entry = world.processes[address]
            tracked = self.complete(entry, "acme", prompt_of(0, 0))
            world.settle(1.0)
            if not isinstance(tracked.ended, actions.ReplyEnd):
                self.oracle.fail(
                    "restart", f"{tracked.event.request} not served"
                )
        world.objects.down = False

    def wait_for_upgrade(self):
        """Waits until every engine has loaded the declared weights."""
        world = self.world
        wanted = world.read_declaration(declarations.Model, "m").weights
        end = world.now + UPGRADE_SECONDS
        engines = [world.processes[each].backend for each in world.runners]
        while any(each.weights != wanted for each in engines):
            world.settle(1.0)
            if world.now > end:
                self.oracle.fail("upgrade", f"not all engines loaded {wanted}")
        world.settle(3.0)

    def load_weights(self, engine, weights):
        """Orders an engine to load weights; it refuses while it is busy."""
        order = runner_messages.Order(
            kind="load", value=weights, fencing=engine.fencing + 1
        )
        engine.order(order, self.world.now)

    def declare(self, name, state):
        """Declares a backend server's state; the store may refuse the write."""
        declared = self.world.read_declaration(declarations.BackendServer, name)
        declared.state = state
        self.world.declare(declared)
        declared = self.world.read_declaration(declarations.BackendServer, name)
        leaving = declared.state is declarations.ServerState.LEAVING
        if not leaving:
            self.oracle.leaving_since.pop(name, None)
        elif name not in self.oracle.leaving_since:
            self.oracle.leaving_since[name] = self.world.now


class Machine(Driver, hypothesis.stateful.RuleBasedStateMachine):
    """Every event that may happen, as a rule."""

    def __init__(self):
        hypothesis.stateful.RuleBasedStateMachine.__init__(self)
        Driver.__init__(self)

    @rule(
        entry=NUMBER,
        organisation=strategies.sampled_from(ORGANISATIONS),
        brand=strategies.integers(0, 1),
        model=strategies.integers(0, 2),
        batch=strategies.booleans(),
    )
    def ask_completion(self, entry, organisation, brand, model, batch):
        prompt = prompt_of(brand, model)
        self.complete(self.entry(entry), organisation, prompt, batch=batch)

    @rule(
        entry=NUMBER,
        organisation=strategies.sampled_from(ORGANISATIONS),
        card=strategies.integers(0, 1),
    )
    def ask_call(self, entry, organisation, card):
        """The same few keys, so that callers send theirs again."""
        self.call(self.entry(entry), organisation, f"k{card}")

    @rule(entry=NUMBER, first=strategies.integers(0, 1))
    def ask_calls_together(self, entry, first):
        """Several calls reach the services in any order."""
        for card in ("x", "y", "z"):
            self.call(self.entry(entry), "acme", f"{card}{entry}")
        for _ in range(6):
            self.world.deliver_messages()
            self.world.advance(0.01)
        if len(self.world.work) > 1:
            self.world.reach_backend(-1 - first)

    @rule(which=NUMBER, fault=strategies.sampled_from(["answer", "call", ""]))
    def call_and_restart(self, which, fault):
        """A keyed call is on its way when its agent restarts."""
        objects = self.world.objects
        objects.lose_answers += fault == "answer"
        objects.lose_requests += fault == "call"
        entry = self.entry(which)
        self.call(entry, "acme", "k0")
        for _ in range(1 + which % 4):
            self.world.deliver_messages()
            self.world.advance(0.01)
        while self.world.work and which % 2:
            self.world.reach_backend(0)
        for address in self.world.services:
            self.world.restart(self.world.processes[address])

    @rule(entry=NUMBER)
    def ask_poison(self, entry):
        self.complete(self.entry(entry), "acme", oracles.POISON * 100)

    @rule(which=NUMBER)
    def caller_goes(self, which):
        open_ones = [
            each
            for each in self.oracle.asked.values()
            if not (each.ended or each.lost) and not each.entry.paused
        ]
        asked = self.pick(open_ones, which)
        if asked is not None:
            asked.lost = True
            gone = events.CallerGone(request=asked.event.request)
            self.world.give(asked.entry, gone)

    @rule(which=NUMBER, many=strategies.integers(1, 5))
    def carry(self, which, many):
        channels = [each for each in self.world.channels.values() if each.queue]
        channel = self.pick(channels, which)
        for _ in range(many):
            if channel is not None:
                self.world.deliver_message(channel)

    @rule(which=NUMBER)
    def lose_message(self, which):
        channels = [each for each in self.world.channels.values() if each.queue]
        channel = self.pick(channels, which)
        if channel is not None:
            self.oracle.disturbed = True
            self.oracle.note(f"lost: {channel.queue[0][2]}"[:200])
            channel.queue.popleft()

    @rule(which=NUMBER)
    def cut_connection(self, which):
        busy = [
            each
            for each in self.world.channels.values()
            if each.source in self.busy()
        ]
        channel = self.pick(busy or self.world.channels.values(), which)
        if channel is not None:
            self.oracle.note(f"{channel.source.name} cut off {channel.target}")
            self.world.cut(channel)

    @rule(which=NUMBER)
    def hold_connection(self, which):
        """A connection stops for a while; what is on it comes late."""
        channel = self.pick(self.world.channels.values(), which)
        if channel is not None:
            channel.blocked = True

    @rule()
    def release_connections(self):
        for channel in self.world.channels.values():
            channel.blocked = False

    @rule(which=NUMBER)
    def agent_lags(self, which):
        """A stream's agent is taken for dead; its frames come later."""
        self.world.deliver_all()
        self.world.advance(0.05)
        for agent in self.busy():
            if agent.is_entry():
                continue
            while agent.backend_events and agent.acts():
                self.world.deliver_backend_event(agent)
            down = events.Unreachable(address=agent.address)
            for channel in self.world.channels.values():
                channel.blocked |= channel.source is agent
            self.world.give(self.entry(which), down)
            return

    @rule(which=NUMBER)
    def reach_backend(self, which):
        if self.world.work:
            self.world.reach_backend(which % len(self.world.work))

    @rule(which=NUMBER)
    def lose_work(self, which):
        """A run that a process that has died gave out never arrives."""
        dead = [each for each in self.world.work if not each[0].runs]
        lost = self.pick(dead, which)
        if lost is not None:
            self.world.work.remove(lost)

    @rule(which=NUMBER, many=strategies.integers(1, 5))
    def hear(self, which, many):
        telling = [
            each
            for each in self.world.active_processes()
            if each.backend_events
        ]
        process = self.pick(telling, which)
        for _ in range(many):
            if process is not None:
                self.world.deliver_backend_event(process)

    @rule(which=NUMBER)
    def lose_word(self, which):
        """An engine's word gets lost on its way to the agent."""
        self.world.advance(0.05)
        telling = [
            (process, event)
            for process in self.world.active_processes()
            for event in process.backend_events
            if isinstance(event, events.EngineText)
        ]
        found = self.pick(telling, which)
        if found is not None:
            self.oracle.note(f"lost: {found[1]}")
            found[0].backend_events.remove(found[1])

    @rule(which=NUMBER)
    def engine_connection_breaks(self, which):
        streams = [
            (agent, run.dispatch.request, run.dispatch.attempt)
            for agent in self.world.active_processes()
            if not agent.is_entry()
            for run in agent.core.runs.values()
            if run.dispatch.completion is not None
            and self.oracle.running(run.dispatch.request, agent)
        ]
        stream = self.pick(streams, which)
        if stream is not None:
            self.world.disconnect(*stream)

    @rule(which=NUMBER)
    def store_does(self, which):
        call = self.pick(self.world.ready_calls(), which)
        if call is not None:
            self.world.call_store(call)

    @rule(which=NUMBER)
    def store_answers(self, which):
        if self.world.answers:
            self.world.answer(which % len(self.world.answers))

    @rule(which=NUMBER)
    def store_answers_late(self, which):
        """An old answer of the store comes again, as from a slow watch."""
        said = [each for each in self.world.answered if each[0].acts()]
        answered = self.pick(said, which)
        if answered is not None:
            self.world.give(*answered)

    @rule(
        kind=strategies.sampled_from(["up", "down", "slow", "answer", "call"])
    )
    def store_fault(self, kind):
        objects = self.world.objects
        self.oracle.note(f"store: {kind}")
        objects.down = kind == "down"
        objects.latency = float(kind == "slow")
        objects.lose_answers += kind == "answer"
        objects.lose_requests += kind == "call"

    @rule(seconds=strategies.sampled_from([0.005, 0.02, 0.1, 0.6, 3.0]))
    def wait(self, seconds):
        self.world.advance(seconds)

    @rule()
    def deliver_all(self):
        self.world.deliver_all()

    @rule(seconds=strategies.sampled_from([0.05, 0.3, 2.0]))
    def settle(self, seconds):
        self.world.settle(seconds)

    @rule(which=NUMBER)
    def engine_crashes(self, which):
        engine = self.agent(which).backend
        if isinstance(engine, fake_engines.FakeEngine):
            self.oracle.note(f"{engine.name} crashes")
            crash = (engine.name, engine.counters.crashes + 1)
            self.oracle.pushed.add(crash)
            engine.crash(self.world.now)
            self.world.hear_engines()

    @rule(which=NUMBER)
    def engine_returns(self, which):
        engine = self.agent(which).backend
        if isinstance(engine, fake_engines.FakeEngine):
            engine.restart(self.world.now)

    @rule(which=NUMBER)
    def engine_bounces(self, which):
        """An engine comes back empty before any entry knows that it died."""
        agent = self.agent(which)
        if not isinstance(agent.backend, fake_engines.FakeEngine):
            return
        prompt = prompt_of(which % 2, 0)
        self.complete(self.entry(which), "acme", prompt)
        self.world.settle(0.3)
        self.engine_crashes(which)
        agent.backend.restart(self.world.now)
        if agent.acts():
            self.world.give(agent, self.world.status(agent))
        self.complete(self.entry(which), "acme", prompt)
        self.world.deliver_messages()

    @rule(
        which=NUMBER, kind=strategies.sampled_from(["answer", "call", "down"])
    )
    def service_fault(self, which, kind):
        service = self.agent(which).backend
        if isinstance(service, fake_services.FakeService):
            service.down = kind == "down"
            service.lose_answers += kind == "answer"
            service.lose_requests += kind == "call"

    @rule(which=NUMBER)
    def process_restarts(self, which):
        addresses = list(self.world.processes)
        address = self.pick(addresses, which)
        self.world.restart(self.world.processes[address])

    @rule()
    def entries_restart(self):
        for address in self.world.entries:
            self.world.restart(self.world.processes[address])

    @rule()
    def entries_restart_without_store(self):
        self.store_fault("down")
        self.entries_restart()

    @rule(which=NUMBER)
    def process_pauses(self, which):
        process = self.pick(self.world.processes.values(), which)
        process.paused = True

    @rule(which=NUMBER)
    def process_wakes(self, which):
        paused = [each for each in self.world.active_processes() if each.paused]
        process = self.pick(paused, which)
        if process is not None:
            process.paused = False

    @rule(which=NUMBER)
    def agent_is_replaced(self, which):
        """A paused agent is taken for dead, and acts once more later."""
        agent = self.agent(which)
        agent.paused = True
        self.world.replace(agent)

    @rule(which=NUMBER)
    def process_drains(self, which):
        process = self.pick(self.busy() or self.world.active_processes(), which)
        if process.acts() and process.alive:
            self.world.drain(process)

    @rule(which=NUMBER, state=strategies.sampled_from(declarations.ServerState))
    def declare_state(self, which, state):
        self.declare(self.agent(which).name, state)

    @rule(first=NUMBER, second=NUMBER)
    def operators_race(self, first, second):
        """Two operators change the version that both of them have read."""
        path = declarations.PREFIXES[declarations.Contract] + "zenith"
        version = self.world.objects.objects[path].version
        for entry in (self.entry(first), self.entry(second)):
            self.change_contract(entry, path, version)

    @rule(which=NUMBER)
    def leaves(self, which):
        """A server leaves, and requests go on coming afterwards."""
        agent = self.agent(which)
        self.declare(agent.name, declarations.ServerState.LEAVING)
        self.world.settle(oracles.FORCE_SECONDS + 1.0)
        for number in range(3):
            prompt = prompt_of(which, number)
            self.complete(self.entry(number), "zenith", prompt)
        self.world.settle(0.1)

    @rule(weights=strategies.sampled_from(["w1", "w2", "w3"]), which=NUMBER)
    def upgrade(self, weights, which):
        """The operator declares weights; faults may come at any moment."""
        self.world.declare_weights(weights)
        for _ in range(which % 4):
            self.world.settle(0.3)

    @rule(which=NUMBER)
    def agent_dies_in_load(self, which):
        """An agent ends, or stands still, while its engine loads weights."""
        loading = self.loading()
        if not loading:
            self.world.declare_weights(f"w{self.oracle.steps}")
        for _ in range(60):
            loading = loading or self.loading()
            if not loading:
                self.world.settle(0.1)
        agent = self.pick(loading, which)
        if agent is not None and which % 3 == 0:
            agent.paused = True
        elif agent is not None:
            self.world.restart(agent)

    def loading(self):
        """Returns the agents whose engines load weights."""
        agents = [self.world.processes[each] for each in self.world.runners]
        return [each for each in agents if each.backend.loading]

    @rule(which=NUMBER, arrives=strategies.booleans())
    def lose_order(self, which, arrives):
        """The connection breaks after an order, or before it arrives."""
        given = [
            each
            for each in self.world.work
            if isinstance(each[1], actions.OrderEngine)
        ]
        lost = self.pick(given, which)
        if lost is None:
            return
        process, action, since = lost
        self.world.work.remove(lost)
        if arrives:
            self.world.carry_out(process, action.order, since)
            process.backend_events.pop()
        process.backend_events.append(
            events.OrderDone(order=action.order, answer=None)
        )

    @rule()
    def heal_all(self):
        self.check_healed()

    def teardown(self):
        """Ends every example without faults, and checks the rest."""
        if not self.oracle.failed:
            self.check_service()
