"""Replication of records over a network that loses messages."""

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from pimentoledge.routing import peer_messages
from pimentoledge.routing import record_logs

ROUTERS = 4
KIND = "crashes"


class Router:
    """A router that keeps a set of names as records."""

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.start()

    def start(self):
        self.known = set()
        self.exchange = record_logs.RecordExchange(
            kinds=[
                record_logs.RecordKind(
                    name=KIND, encode=self.encode, merge=self.merge
                )
            ],
            send=self.send,
            partners=lambda: [
                each for each in self.network.routers if each != self.name
            ],
            clock=lambda now: (0, 0),
        )

    def add(self, content):
        if content not in self.known:
            self.known.add(content)
            self.exchange.log.note((KIND, content))

    def forget(self, content):
        self.known.discard(content)
        self.exchange.log.discard((KIND, content))

    def encode(self, keys, now):
        return [
            peer_messages.CrashRecord(content=key, incarnation="i", age=0)
            for key in keys
        ]

    def merge(self, records, sender, sent_at):
        for each in records:
            self.add(each.content)

    def send(self, addresses, message):
        for address in addresses:
            self.network.messages.append((self.name, address, message))

    def receive(self, sender, message, now):
        match message:
            case peer_messages.Records():
                self.exchange.receive(sender, message, now)
                self.exchange.request_missing(sender, now)
            case peer_messages.RecordsRequest():
                self.exchange.receive_request(sender, message, now)
            case tuple():
                self.exchange.receive_position(sender, message, now)


class Network:
    """Routers and the messages between them.

    Attributes:
        routers: the routers by name.
        messages: sender, receiver and content of each message on its way.
        now: the time.
    """

    def __init__(self):
        self.routers = {}
        self.messages = collections.deque()
        self.now = 0.0
        for number in range(ROUTERS):
            name = f"r{number}"
            self.routers[name] = Router(name, self)

    def deliver(self, lost=False):
        if self.messages:
            sender, receiver, message = self.messages.popleft()
            if not lost:
                self.routers[receiver].receive(sender, message, self.now)

    def tick(self):
        """Lets each router send what is new, and a heartbeat."""
        self.now += 0.5
        for name, router in self.routers.items():
            router.exchange.send_new(self.now)
            router.send(
                [each for each in self.routers if each != name],
                router.exchange.position(),
            )

    def settle(self):
        for _ in range(ROUTERS + 2):
            self.tick()
            while self.messages:
                self.deliver()


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("add"),
            strategies.integers(0, ROUTERS - 1),
            strategies.integers(0, 9),
        ),
        strategies.tuples(
            strategies.just("restart"), strategies.integers(0, ROUTERS - 1)
        ),
        strategies.tuples(strategies.just("deliver"), strategies.booleans()),
        strategies.tuples(strategies.just("tick")),
    ),
    max_size=60,
)


@given(steps=STEPS)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_all_routers_get_all_records_once_no_message_is_lost(steps):
    """Guards against a record that is sent once and lost on its way."""
    network = Network()
    for step in steps:
        match step:
            case ("add", router, number):
                network.routers[f"r{router}"].add(f"c{number}")
            case ("restart", router):
                network.routers[f"r{router}"].start()
            case ("deliver", lost):
                network.deliver(lost)
            case ("tick",):
                network.tick()
    known = set().union(*(each.known for each in network.routers.values()))
    network.settle()
    # What is on its way from a router that has restarted may arrive besides.
    held = [each.known for each in network.routers.values()]
    assert all(each == held[0] for each in held)
    assert known <= held[0]


def test_a_router_that_joins_gets_more_records_than_a_message_holds():
    network = Network()
    number = 2 * record_logs.MAX_RECORDS + 1
    for each in range(number):
        network.routers["r0"].add(f"c{each}")
    network.settle()
    network.routers["r1"].start()
    network.settle()
    assert len(network.routers["r1"].known) == number


def test_routers_that_agree_exchange_only_heartbeats():
    """Guards against records that are sent again and again."""
    network = Network()
    network.routers["r0"].add("c")
    network.settle()
    network.tick()
    assert {type(message) for _, _, message in network.messages} == {tuple}


def test_a_forgotten_record_is_not_sent_again():
    network = Network()
    for name in ("c", "d"):
        network.routers["r0"].add(name)
    network.settle()
    for each in network.routers.values():
        each.forget("c")
    network.routers["r3"].start()
    network.settle()
    assert network.routers["r3"].known == {"d"}
