"""Single-threaded simulation of entries, agents and a store."""

import heapq
import itertools

from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import distribution
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.decisions import subscription

DELAY_SECONDS = 0.002


class LossyStore:
    """In-memory store that can be down and whose watches can drop changes.

    Attributes:
        objects: newest version of each object, by path.
        calls: calls recorded by Network.
        down: whether every call fails.
        dropped: versions that watches do not return.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.calls = []
        self.down = False
        self.dropped = set()

    def put(self, path, value, write_id=""):
        self.revision += 1
        self.objects[path] = stores.Object(
            path=path, version=self.revision, value=value, write_id=write_id
        )
        return self.objects[path]

    def call(self, call):
        """Returns the answer to a call; None for a watch without changes."""
        outcome = stores.Outcome
        if self.down:
            return stores.StoreAnswer(call=call.call, outcome=outcome.DOWN)
        match call:
            case stores.Read(path=path):
                found = [self.objects[path]] if path in self.objects else []
                live = found and found[0].value is not None
                kind = outcome.FOUND if live else outcome.ABSENT
            case stores.Scan(prefix=prefix):
                kind = outcome.FOUND
                found = [
                    o
                    for o in self.objects.values()
                    if o.path.startswith(prefix) and o.value is not None
                ]
            case stores.Watch(prefix=prefix, after=after):
                kind = outcome.FOUND
                found = [
                    o
                    for o in self.objects.values()
                    if o.path.startswith(prefix)
                    and o.version > after
                    and o.version not in self.dropped
                ]
                if not found:
                    return None
            case stores.Write(path=path, expected=expected):
                found = [self.objects[path]] if path in self.objects else []
                live = found and found[0].value is not None
                if (found[0].version if live else 0) != expected:
                    kind = outcome.CONFLICT
                else:
                    kind = outcome.WRITTEN
                    found = [self.put(path, call.value, call.write_id)]
        return stores.StoreAnswer(
            call=call.call, outcome=kind, objects=found, version=self.revision
        )


class Network:
    """Runs state machines with simulated time, messages and store calls.

    Attributes:
        now: simulated time in seconds.
        nodes: state machines by address.
        seeds: addresses that new nodes use to find entries.
        cut: function of (sender, receiver) that returns whether messages
            are dropped.
        cut_from_store: addresses that can't reach the store.
        sent: number of messages sent.
        released: number of ReleaseMemory actions.
        queue: heap of (time, number, address, event) to deliver.
        watches: pending watches as (address, call, time when it ends).
    """

    def __init__(self, *, seeds=()):
        self.now = 100.0
        self.store = LossyStore()
        self.nodes = {}
        self.seeds = list(seeds)
        self.cut = lambda sender, receiver: False
        self.cut_from_store = set()
        self.sent = 0
        self.released = 0
        self.queue = []
        self.watches = []
        self.numbers = itertools.count()

    def launch_entry(self, number, data_centre="north"):
        """Starts an entry, or restarts it without its state."""
        address = f"tcp://10.0.0.{number}:7000"
        self.nodes[address] = distribution.Distributor(
            name=f"entry-{number}",
            address=address,
            data_centre=data_centre,
            seed=next(self.numbers) * 1000,
            view=configuration.Configuration(),
            seeds=self.seeds,
        )
        self.watches = [w for w in self.watches if w[0] != address]
        return self.nodes[address]

    def launch_agent(self, number):
        """Starts or restarts the agent of a runner."""
        address = f"tcp://10.0.1.{number}:7000"
        self.nodes[address] = subscription.Subscriber(
            name=f"r{number}",
            seed=next(self.numbers),
            view=configuration.Configuration(),
            seeds=self.seeds,
        )
        return self.nodes[address]

    def entries(self):
        kind = distribution.Distributor
        return [n for n in self.nodes.values() if isinstance(n, kind)]

    def declare(self, declaration):
        """Writes a declaration as another client of the store."""
        path = declarations.path_of(declaration)
        return self.store.put(path, declarations.encode(declaration))

    def run(self, seconds, until=None):
        """Runs for `seconds` or until `until` holds; returns whether it did."""
        end = self.now + seconds
        while self.now < end:
            if until is not None and until():
                return True
            self.step(end)
        return until is not None and until()

    def step(self, end):
        wakes = [node.next_wake() for node in self.nodes.values()]
        wakes += [due for _, _, due in self.watches]
        wakes += [self.queue[0][0]] if self.queue else []
        self.now = min(max(self.now, min(wakes)), end)
        while self.queue and self.queue[0][0] <= self.now:
            _, _, address, event = heapq.heappop(self.queue)
            if address in self.nodes:
                node = self.nodes[address]
                self.perform(address, node.handle(event, self.now))
        for address, node in list(self.nodes.items()):
            if node.next_wake() <= self.now:
                self.perform(address, node.wake(self.now))
        self.answer_watches()

    def answer_watches(self):
        """Answers the watches that have changes or have timed out."""
        waiting, self.watches = self.watches, []
        for address, call, due in waiting:
            answer = self.call_store(address, call)
            if answer is None and self.now >= due:
                answer = stores.StoreAnswer(
                    call=call.call,
                    outcome=stores.Outcome.FOUND,
                    version=self.store.revision,
                )
            if answer is None:
                self.watches.append((address, call, due))
            else:
                self.schedule(address, answer)

    def call_store(self, address, call):
        if address in self.cut_from_store:
            return stores.StoreAnswer(
                call=call.call, outcome=stores.Outcome.DOWN
            )
        return self.store.call(call)

    def schedule(self, address, event):
        number = next(self.numbers)
        heapq.heappush(
            self.queue, (self.now + DELAY_SECONDS, number, address, event)
        )

    def perform(self, address, todo):
        for action in todo:
            match action:
                case actions.Send(address=receiver, message=message):
                    self.send(address, receiver, message)
                case actions.ReleaseMemory():
                    self.released += 1
                case actions.CallStore(call=stores.Watch() as call):
                    self.store.calls.append(call)
                    due = self.now + call.seconds
                    self.watches.append((address, call, due))
                case actions.CallStore(call=call):
                    self.store.calls.append(call)
                    self.schedule(address, self.call_store(address, call))

    def send(self, sender, receiver, message):
        self.sent += 1
        if receiver not in self.nodes or self.cut(sender, receiver):
            self.schedule(sender, events.Unreachable(address=receiver))
            return
        view = self.nodes[sender].configuration
        event = events.FromNode(
            sender=sender, message=message, configuration=view.version
        )
        self.schedule(receiver, event)
