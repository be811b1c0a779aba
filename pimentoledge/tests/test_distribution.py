"""Tests of the distribution of configuration changes to every node."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pimentoledge import allocators
from pimentoledge.decisions import declarations
from pimentoledge.decisions import distribution
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.nodes import configuration_messages as messages
from pimentoledge.tests import network

IN_FORCE_SECONDS = 5
OLD_CONTRACT_PATH = "declared/contracts/old"


def contract(name, **fields):
    return declarations.Contract(organisation=name, **fields)


def start_network(count, *, agents=0, contracts=20):
    """Returns a network whose entries are started and know each other."""
    net = network.Network(seeds=["tcp://10.0.0.1:7000", "tcp://10.0.0.2:7000"])
    for number in range(contracts):
        net.declare(contract(f"org-{number}"))
    net.declare(declarations.Model(name="assistant", weights="v1"))
    for number in range(agents):
        address = f"tcp://10.0.1.{number}:7000"
        net.declare(
            declarations.BackendServer(
                name=f"r{number}", serves="assistant", agent=address
            )
        )
        net.launch_agent(number)
    for number in range(1, count + 1):
        net.launch_entry(number, ["north", "east", "south"][number % 3])
    net.run(30)
    assert all(len(e.configuration.entries()) == count for e in net.entries())
    return net


def has_reached_all(net, stored):
    def reached():
        views = [node.configuration for node in net.entries()]
        newest = [view.newest(stored.path) for view in views]
        return all(o and o.version >= stored.version for o in newest)

    return reached


def test_change_reaches_all_and_the_store_is_called_by_few():
    calls = {}
    for count in (6, 24):
        net = start_network(count)
        stored = net.declare(contract("new"))
        assert net.run(IN_FORCE_SECONDS, until=has_reached_all(net, stored))
        net.run(20)
        before = len(net.store.calls)
        net.run(60)
        calls[count] = len(net.store.calls) - before
    assert calls[24] <= calls[6] + 2


def test_memory_of_a_large_scan_is_released(monkeypatch):
    monkeypatch.setattr(distribution, "LARGE_ANSWER", 10)
    net = start_network(1)
    scans = [c for c in net.store.calls if isinstance(c, stores.Scan)]
    assert net.released == len(scans) > 1
    assert allocators.release_free_memory() in (True, False)


def test_digests_repair_lost_messages():
    """An entry keeps the old limits of a contract.

    The message with the change was lost, and no entry repeats it.
    """
    net = start_network(8)
    net.cut = lambda sender, receiver: True
    stored = net.declare(contract("org-1", burst=99))
    net.run(1)
    chance = random.Random(1)
    net.cut = lambda sender, receiver: chance.random() < 0.5
    assert net.run(2 * IN_FORCE_SECONDS, until=has_reached_all(net, stored))


def test_sweep_finds_what_every_watch_dropped():
    """The key of a deleted contract stays valid.

    The store's watch drops the deletion for every watcher, and no further
    change of that object follows.
    """
    net = start_network(3)
    # A sweep has just begun; the next one begins in 10 s.
    net.run(3)
    net.store.dropped.add(net.store.revision + 1)
    net.store.put("declared/contracts/org-3", None)
    net.declare(contract("later"))
    net.run(0.3)
    views = [entry.configuration for entry in net.entries()]
    assert all("org-3" in view.contracts for view in views)
    assert net.run(
        20, until=lambda: all("org-3" not in v.contracts for v in views)
    )


def test_entry_that_restarts_while_the_store_is_down_copies_from_others():
    net = start_network(3)
    net.store.down = True
    net.store.calls.clear()
    late = net.launch_entry(2)
    assert net.run(2, until=late.configuration.is_complete)
    assert len(late.configuration.contracts) == 20
    assert net.store.calls == [] or not any(
        isinstance(call, stores.Scan) for call in net.store.calls
    )


def test_entry_that_restarts_waits_for_the_newest_version():
    """An entry reverts to old limits after its restart.

    It copies the configuration from the only entry that missed a change,
    although another entry has the change.
    """
    net = start_network(3)
    lagging = net.entries()[0].address
    net.cut = lambda sender, receiver: lagging in (sender, receiver)
    net.cut_from_store = {lagging}
    stored = net.declare(contract("org-1", burst=99))
    net.run(3)
    late = net.launch_entry(3)
    fresh = net.entries()[1].address
    cut_pairs = [{lagging, fresh}]
    net.cut = lambda sender, receiver: {sender, receiver} in cut_pairs
    net.run(0.005)
    cut_pairs.append({late.address, fresh})
    net.run(1)
    assert not late.configuration.is_complete()
    cut_pairs.pop()
    assert net.run(5, until=late.configuration.is_complete)
    assert late.configuration.newest(stored.path).version == stored.version


def test_deletion_leaves_no_entry_behind():
    """Entries permanently compare digests five times as often.

    The newest change was a deletion. An entry that started after it never
    receives its version and considers itself behind.
    """
    net = start_network(2)
    net.store.put("declared/contracts/org-3", None)
    net.run(10)
    net.seeds = []
    net.launch_entry(1, "east")
    net.run(10)
    older_version = net.entries()[0].configuration.version
    newer_version = net.entries()[1].configuration.version
    assert older_version == newer_version


def test_all_entries_restart_while_the_store_is_down():
    """Every client is refused as unknown until the store is back.

    A bad release restarts all entries within seconds during an outage of the
    store, so that no entry has the configuration any more.
    """
    net = start_network(4, agents=6)
    net.run(10)
    net.store.down = True
    accepted = stores.Object(
        path="declared/contracts/org-1",
        version=net.store.revision + 1,
        value=declarations.encode(contract("org-1", burst=77)),
    )
    first = net.entries()[0]
    net.perform(first.address, first.publish([accepted], net.now))
    net.run(0.1)
    for number in range(1, 5):
        net.launch_entry(number)
    assert net.run(
        10,
        until=lambda: all(e.configuration.is_complete() for e in net.entries()),
    )
    for entry in net.entries():
        assert len(entry.configuration.contracts) == 20
        assert entry.configuration.contracts["org-1"].burst == 77


def test_all_entries_restart_and_few_read_the_store():
    """Every client is refused as unknown for seconds after a release.

    All entries restart together while the store is up. Each waits a fixed
    time for a complete entry before it scans the store, and the others learn
    only by their next digest that one is complete. One entry starts a snapshot
    from another just before that one restarts and then has nothing to send.
    """
    count = 60
    net = start_network(count)
    net.store.calls.clear()
    for number in range(1, count + 1):
        net.launch_entry(number, ["north", "east", "south"][number % 3])
    complete = net.run(
        0.3,
        until=lambda: all(e.configuration.is_complete() for e in net.entries()),
    )
    scans = [c for c in net.store.calls if isinstance(c, stores.Scan)]
    assert complete
    # Each of the two seeds lets one entry per data centre scan the store.
    assert 3 <= len(scans) <= 2 * 3


def test_store_outage_of_minutes():
    net = start_network(6)
    net.store.down = True
    net.run(300)
    net.store.calls.clear()
    net.run(60)
    # Two watchers per data centre call it, each every 1 to 2 s, and no others.
    assert len(net.store.calls) <= 6 * 65
    net.store.down = False
    stored = net.declare(contract("org-2", burst=5))
    assert net.run(IN_FORCE_SECONDS, until=has_reached_all(net, stored))


def test_others_take_over_from_dead_watchers():
    """Changes stop reaching one data centre, and then all.

    Both watchers of each data centre died, and the other entries do not
    notice that none watches any more.
    """
    net = start_network(12)
    for entry in net.entries():
        if entry.peers.rank(net.now) < distribution.WATCHERS:
            del net.nodes[entry.address]
    net.watches = []
    net.run(30)
    stored = net.declare(contract("new"))
    assert net.run(IN_FORCE_SECONDS, until=has_reached_all(net, stored))


def test_partition_does_not_restore_a_deleted_contract():
    """A contract that was deleted during a partition comes back into force.

    The partitioned half still has the contract. An entry that started after
    the deletion has received neither and copies the contract from that half.
    """
    net = start_network(6)
    old = net.declare(contract("old"))
    assert net.run(IN_FORCE_SECONDS, until=has_reached_all(net, old))
    far = {entry.address for entry in net.entries()[3:]}
    stale = net.entries()[3]
    net.cut = lambda sender, receiver: (sender in far) != (receiver in far)
    net.cut_from_store = far
    net.store.put(OLD_CONTRACT_PATH, None)
    net.run(30)
    net.launch_entry(1)
    net.run(10)
    net.cut = lambda sender, receiver: False
    fresh = net.entries()[0].configuration
    assert stale.configuration.newest(OLD_CONTRACT_PATH).value is not None
    for _ in range(40):
        net.run(0.25)
        assert "old" not in fresh.contracts
    assert "old" not in stale.configuration.contracts


def test_deletion_without_a_tombstone_reaches_all():
    """A deleted contract stays in force at some entries permanently.

    The watch drops the deletion. An entry that starts afterwards scans the
    store, which no longer has the contract, so no node has a tombstone. That
    entry is also the sweeper, and its sweeps find no difference.
    """
    net = start_network(3, agents=3)
    first = min(
        net.entries(), key=lambda e: e.peers.rank(net.now, everywhere=True)
    )
    net.store.dropped.add(net.store.revision + 1)
    net.store.put("declared/contracts/org-3", None)
    net.cut = lambda sender, receiver: first.address in (sender, receiver)
    number = int(first.name.removeprefix("entry-"))
    again = net.launch_entry(number, first.data_centre)
    assert net.run(9, until=again.configuration.is_complete)
    assert "org-3" not in again.configuration.contracts
    net.cut = lambda sender, receiver: False
    views = [entry.configuration for entry in net.entries()]
    assert any("org-3" in view.contracts for view in views)
    net.run(IN_FORCE_SECONDS)
    assert all("org-3" not in view.contracts for view in views)
    net.run(2 * IN_FORCE_SECONDS)
    path = "declared/contracts/org-3"
    for node in net.nodes.values():
        if hasattr(node, "kept"):
            assert node.kept.in_force(path) is None


def test_stale_copy_of_an_agent_does_not_restore_a_contract():
    """A deleted contract comes back into force when an agent resumes.

    The agent was paused since before the deletion and still has the contract.
    """
    net = start_network(2)
    entry = net.entries()[0]
    agent = "tcp://10.0.1.1:7000"
    poll = messages.Poll(server="r1", versions=[], held=[])
    entry.handle(events.FromNode(sender=agent, message=poll), net.now)
    stale_object = stores.Object(
        path=OLD_CONTRACT_PATH,
        version=1,
        value=declarations.encode(contract("old")),
    )
    changes = messages.Changes(objects=[stale_object])
    entry.configuration.floor = 0
    entry.handle(events.FromNode(sender=agent, message=changes), net.now)
    assert "old" not in entry.configuration.contracts


def test_agent_gets_its_own_declarations_at_once():
    net = start_network(4, agents=3)
    model = declarations.Model(name="assistant", weights="v2")
    net.declare(model)
    agents = [n for a, n in net.nodes.items() if a.startswith("tcp://10.0.1")]

    def reached():
        models = [n.configuration.model("assistant") for n in agents]
        return all(each and each.weights == "v2" for each in models)

    assert net.run(IN_FORCE_SECONDS, until=reached)
    assert all(len(a.configuration.contracts) == 0 for a in agents)
    count, _ = net.entries()[0].agents.counts(net.now)
    assert count <= 3


def test_agents_find_entries_at_new_addresses():
    """Agents keep old declarations although the store is available again.

    All entries were replaced at other addresses during an outage. The agents
    have only the old addresses, from their settings and from answers.
    """
    net = start_network(2, agents=3)
    for entry in net.entries():
        del net.nodes[entry.address]
    net.seeds = []
    before = net.sent
    net.run(20)
    assert net.sent - before < 3 * 20 * 4
    net.launch_entry(11)
    net.run(20)
    net.declare(declarations.Model(name="assistant", weights="v2"))
    net.run(IN_FORCE_SECONDS)
    agents = [n for a, n in net.nodes.items() if a.startswith("tcp://10.0.1")]
    for agent in agents:
        assert agent.configuration.model("assistant").weights == "v2"


def test_dead_entry_is_deleted_and_a_partitioned_one_declares_itself():
    """Entries waste messages on dead entries, which accumulate over time.

    A VM that fails can't delete the declaration of its entry.
    """
    net = start_network(3)
    gone = net.nodes.pop(net.entries()[1].address)
    net.watches = [w for w in net.watches if w[0] != gone.address]
    net.run(1500)
    assert all(len(e.configuration.entries()) == 2 for e in net.entries())
    net.nodes[gone.address] = gone
    gone.watching.attempted = net.now
    net.run(30)
    assert all(len(e.configuration.entries()) == 3 for e in net.entries())
    leaving = net.entries()[0]
    net.perform(leaving.address, leaving.handle(events.Drain(), net.now))
    net.run(5)
    assert all(len(e.configuration.entries()) == 2 for e in net.entries())


def test_two_processes_with_one_name_back_off():
    net = start_network(1)
    twin = net.launch_entry(9)
    twin.registration.name = "entry-1"
    net.run(20)
    before = len(net.store.calls)
    net.run(300)
    writes = [
        c for c in net.store.calls[before:] if isinstance(c, stores.Write)
    ]
    assert len(writes) <= 14


class Faults(stateful.RuleBasedStateMachine):
    """Applies random changes, partitions, outages and restarts.

    No entry may revert to an older version, and after the faults end all
    entries must match the store.
    """

    def __init__(self):
        super().__init__()
        self.net = start_network(4, contracts=3, agents=3)
        self.seen = {}
        self.half = False

    @stateful.rule(
        name=strategies.sampled_from("abc"), alive=strategies.booleans()
    )
    def change(self, name, alive):
        if alive:
            self.net.declare(contract(name))
        else:
            self.net.store.put(f"declared/contracts/{name}", None)

    @stateful.rule(
        number=strategies.integers(0, 3), name=strategies.sampled_from("abc")
    )
    def accept_at_an_entry(self, number, name):
        if self.net.store.down:
            return
        stored = self.net.declare(contract(name))
        entry = self.net.entries()[number]
        todo = entry.publish([stored], self.net.now)
        self.net.perform(entry.address, todo)

    @stateful.rule()
    def drop_next_change_from_watches(self):
        self.net.store.dropped.add(self.net.store.revision + 1)

    @stateful.rule()
    def restart_all(self):
        for number in range(1, 5):
            self.restart(number)

    @stateful.rule(number=strategies.integers(0, 2))
    def restart_agent(self, number):
        self.net.launch_agent(number)

    @stateful.rule()
    def cut_or_heal(self):
        self.half = not self.half
        near = {entry.address for entry in self.net.entries()[:2]}
        self.net.cut = lambda sender, receiver: self.half and (
            (sender in near) != (receiver in near)
        )

    @stateful.rule()
    def store_down_or_up(self):
        self.net.store.down = not self.net.store.down

    @stateful.rule(number=strategies.integers(1, 4))
    def restart(self, number):
        entry = self.net.launch_entry(number)
        self.seen.pop(entry.address, None)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 3]))
    def run_for(self, seconds):
        self.net.run(seconds)

    @stateful.invariant()
    def never_reverts(self):
        for entry in self.net.entries():
            seen = self.seen.setdefault(entry.address, {})
            for name in "abc":
                path = f"declared/contracts/{name}"
                newest = entry.configuration.newest(path)
                version = newest.version if newest else 0
                floor = entry.configuration.floor
                assert max(version, floor) >= seen.get(name, 0)
                seen[name] = max(version, seen.get(name, 0))

    def teardown(self):
        self.half = False
        self.net.store.down = False
        self.net.run(25)
        for entry in self.net.entries():
            for name in "abc":
                path = f"declared/contracts/{name}"
                stored = self.net.store.objects.get(path)
                alive = stored is not None and stored.value is not None
                found = entry.configuration.in_force(path)
                assert (found is not None) == alive
                assert not alive or found.version == stored.version


TestFaults = Faults.TestCase
TestFaults.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25, stateful_step_count=15
)
