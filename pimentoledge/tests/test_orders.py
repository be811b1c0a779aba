"""Orders to engines: upgrades, permits, fencing and suspended agents."""

import signal
import subprocess
import sys

import attrs
import hypothesis
from hypothesis import strategies
import pynng
import pytest

from benches import fleets
from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import orders
from pimentoledge.decisions import permits
from pimentoledge.runners import messages as runners


def _loads(fleet, weights):
    return [
        name
        for _, name, order in fleet.engine_orders
        if order.kind == "load" and order.value == weights
    ]


def _fleet(size=5, limit=2, **fields):
    fleet = fleets.Fleet(size=size, limit=limit, **fields)
    fleet.run(1.0)
    return fleet


def _run_until_settled(fleet):
    """Runs until the declared weights are loaded and no permit is held."""
    fleet.run_until(
        lambda: fleet.is_upgraded() and not fleets.permit_holders(fleet)
    )


@pytest.mark.parametrize(("size", "limit"), [(9, 3), (5, 2), (3, 3), (3, 2)])
def test_upgrade_under_load(size, limit):
    """New weights are declared while every runner has streams.

    Guards against a load that breaks the streams of its engine, against more
    concurrent loads than the weight store supports, and against too few
    runners in service for the clients.
    """
    fleet = _fleet(size, limit)
    fleet.schedule_traffic(4 * size, 30.0)
    fleet.run(5.0)
    fleet.upgrade("w2")
    _run_until_settled(fleet)
    assert sorted(_loads(fleet, "w2")) == sorted(fleet.nodes)
    assert 0 < fleet.max_loading <= limit
    assert fleet.min_open_nodes >= size - permits.max_out_of_service(size)
    assert fleet.broken == fleet.unplaced == 0


def test_the_only_runner_of_a_model_is_upgraded():
    fleet = _fleet(1)
    fleet.upgrade("w2", adapters=["a1"])
    _run_until_settled(fleet)
    fleet.upgrade("w2", adapters=["a2"])
    _run_until_settled(fleet)
    assert fleet.nodes["r1"].engine.adapters == ["a2"]


@pytest.mark.parametrize("last", ["w1", "w3"])
def test_another_declaration_during_an_upgrade(last):
    """New weights, or the old ones, are declared during an upgrade.

    The status lags and still shows the old weights while a load runs. Guards
    against a rollback that counts as done because of the outdated status.
    """
    fleet = _fleet()
    for node in fleet.nodes.values():
        node.engine.report_lag = 0.3
    fleet.upgrade("w2")
    fleet.run(fleet.now + 0.7)
    assert 0 < len(_loads(fleet, "w2")) < 5
    fleet.upgrade(last)
    _run_until_settled(fleet)
    fleet.run(fleet.now + 2.0)
    assert fleet.is_upgraded()
    assert fleet.max_loading <= 2


@pytest.mark.parametrize("returns", [True, False])
def test_agent_dies_during_a_load(returns):
    """An agent dies while it holds a permit, and restarts or does not.

    Guards against a permit that is never released and blocks the upgrade.
    The entry counts as a runner out of service until the agent's next start
    removes it.
    """
    fleet = _fleet()
    fleet.upgrade("w2")
    fleet.run_until(lambda: len(fleet.engine_orders) == 2)
    dead = [fleet.nodes[name] for _, name, _ in fleet.engine_orders]
    for node in dead:
        node.orders = None
    if returns:
        fleet.run(fleet.now + 5.0)
        for node in dead:
            fleet.start_agent(node)
        _run_until_settled(fleet)
        return
    assert fleet.run_until(fleet.is_upgraded) > 5.0
    assert fleet.max_loading <= 2
    holders = fleets.permit_holders(fleet)
    kinds = {each.server: each.kind for each in holders}
    assert [kinds[each.name] for each in dead] == ["out", "out"]


def test_store_down_amid_an_upgrade():
    """The store goes down after the first permits were granted.

    Loads in progress end and their runners serve again. No other load starts,
    because the limit of the weight store could be exceeded. After the outage
    the upgrade goes on, and agents that were only unable to write keep their
    permits.
    """
    fleet = _fleet()
    fleet.upgrade("w2")
    fleet.run_until(lambda: fleet.engine_orders)
    fleet.store.down = True
    fleet.run(fleet.now + 5.0)
    started = len(fleet.engine_orders)
    fleet.run(fleet.now + 600.0)
    assert len(fleet.engine_orders) == started < 5
    assert len(fleet.open_nodes()) == 5
    fleet.store.down = False
    _run_until_settled(fleet)
    assert fleet.max_loading <= 2


def test_store_loses_answers_during_an_upgrade():
    fleet = _fleet()
    fleet.store.lose_answers = 12
    fleet.store.lose_requests = 3
    fleet.upgrade("w2")
    _run_until_settled(fleet)
    assert fleet.max_loading <= 2
    assert len(_loads(fleet, "w2")) == 5


def test_engine_comes_back_with_the_weights_it_was_started_with():
    fleet = _fleet()
    fleet.upgrade("w2")
    _run_until_settled(fleet)
    fleet.nodes["r1"].engine.crash(fleet.now)
    fleet.run(fleet.now + 8.0)
    assert [each.kind for each in fleets.permit_holders(fleet)] == ["out"]
    fleet.nodes["r1"].engine.restart(fleet.now)
    _run_until_settled(fleet)


def test_runners_that_are_down_count_as_out():
    """Two of five engines are down when new weights are declared.

    If only loads were counted, two more would go out of service and one would
    be left. The three are loaded one at a time.
    """
    fleet = _fleet()
    for name in ("r1", "r2"):
        fleet.nodes[name].engine.crash(fleet.now)
    fleet.run(fleet.now + 8.0)
    fleet.upgrade("w2")
    fleet.run_until(lambda: len(_loads(fleet, "w2")) == 3)
    assert fleet.min_open_nodes == 2
    for name in ("r1", "r2"):
        fleet.nodes[name].engine.restart(fleet.now)
    _run_until_settled(fleet)


def test_the_last_serving_runner_stays_in_service():
    """One of two runners is down, so the other one must not be upgraded.

    Once the operator has declared the first as leaving, the model has only
    one runner, which can't be upgraded without going out of service.
    """
    fleet = _fleet(2)
    fleet.nodes["r1"].engine.crash(fleet.now)
    fleet.run(fleet.now + 8.0)
    fleet.upgrade("w2")
    fleet.run(fleet.now + 60.0)
    assert fleet.min_open_nodes == 1
    assert fleet.engine_orders == []
    leaving = declarations.ServerState.LEAVING
    fleet.add_server(attrs.evolve(fleet.servers["r1"], state=leaving))
    fleet.apply_declaration(fleet.nodes["r2"])
    fleet.run_until(lambda: fleet.nodes["r2"].engine.weights == "w2")
    assert fleets.permit_holders(fleet) == []


@pytest.mark.parametrize(
    "fields",
    [
        {"state": declarations.ServerState.LEAVING},
        {"agent": "tcp://10.0.0.1:9999"},
        {"kind": declarations.ServerKind.SERVICE},
    ],
)
def test_only_the_declared_agent_of_a_runner_gives_orders(fields):
    fleet = _fleet()
    fleet.add_server(attrs.evolve(fleet.servers["r1"], **fields))
    fleet.upgrade("w2")
    fleet.run(fleet.now + 30.0)
    assert sorted(_loads(fleet, "w2")) == ["r2", "r3", "r4", "r5"]


def test_agent_without_a_declaration_has_no_timer():
    """Guards against a busy loop of an agent that sends no orders.

    An agent of a plain service, or one without a declaration yet, would spin
    if a timer were due and never handled.
    """
    machine = orders.Orders(server="r1", life="1", address="", seed=1)
    assert machine.next_wake() is None
    assert machine.wake(1.0) == []
    assert machine.next_wake() is None


@pytest.mark.parametrize("down", [False, True])
def test_agent_that_shuts_down_releases_its_permit(down):
    """An agent shuts down during a load, with the store up or down.

    It exits when the load is done and the permit is released. With the store
    down the permit can't be released, and waiting for that would delay the
    exit.
    """
    fleet = _fleet()
    fleet.upgrade("w2")
    fleet.run_until(lambda: fleet.engine_orders)
    node = fleet.nodes[fleet.engine_orders[0][1]]
    fleet.store.down = down
    node.orders.retire(fleet.now)
    assert node.orders.held()
    fleet.run_until(lambda: not node.orders.held(), timeout_seconds=5.0)
    assert node.engine.weights == "w2"
    servers = [each.server for each in fleets.permit_holders(fleet)]
    assert (node.name in servers) is down


def _run_actions(fleet, machine, todo):
    """Answers a machine's calls to the store; returns the orders it sends."""
    sent = []
    while todo:
        match todo.pop(0):
            case actions.CallStore(call=call):
                answer = fleet.store.call(call)
                todo += machine.handle(answer, fleet.now)
            case actions.OrderEngine(order=order):
                sent.append(order)
    return sent


def _take_over(fleet, node):
    """Suspends a node's agent and starts another agent for the server.

    The new agent has the address that is declared now. The suspended one has
    not received that declaration.
    """
    paused = node.orders
    fleet.servers[node.name] = declarations.BackendServer(
        name=node.name,
        serves="m",
        agent="tcp://10.0.0.1:7001",
        checks_orders=node.engine.checks_orders,
    )
    fleet.start_agent(node)
    return paused


@pytest.mark.parametrize("checks", [True, False])
def test_late_order_of_a_suspended_agent(checks):
    """An agent is suspended just before it sends an order.

    Another agent takes over and loads newer weights. Then the first resumes
    and sends its order for the older ones. An engine that checks fencing
    numbers refuses it. An engine that ignores them carries it out; the status
    shows that, and the new agent closes the runner and loads again.
    """
    fleet = _fleet(1, checks_orders=checks)
    node = fleet.nodes["r1"]
    sent = []
    fleet.send_order = lambda *arguments: sent.append(arguments)
    fleet.upgrade("w2")
    fleet.run_until(lambda: sent)
    del fleet.send_order
    paused = _take_over(fleet, node)
    fleet.upgrade("w3")
    fleet.run_until(fleet.is_upgraded)
    fleet.run(fleet.now + 1.0)
    fleet.send_order(*sent[0])
    if checks:
        answer = runners.OrderAnswer(accepted=False, reason="fenced", highest=2)
        done = events.OrderDone(order=sent[0][2], answer=answer)
        found = paused.handle(done, fleet.now)
        assert _run_actions(fleet, paused, found) == []
        assert fleet.store.objects["orders/r1"].write_id.startswith("r1-2/")
    fleet.run(fleet.now + 0.6)
    assert (node.engine.weights == "w2") is not checks
    _run_until_settled(fleet)
    assert node.engine.weights == "w3"
    assert len(_loads(fleet, "w3")) == (1 if checks else 2)


@pytest.mark.parametrize("checks", [True, False])
def test_agent_suspended_before_it_decides_sends_no_order(checks):
    """An agent is suspended for a minute while it has a permit.

    Another agent takes over meanwhile. The first resumes with a cached permit
    and a cached fencing number, both outdated. Both are read again before an
    order, whether or not the engine checks the number.
    """
    fleet = _fleet(1, checks_orders=checks)
    node = fleet.nodes["r1"]
    fleet.upgrade("w2")
    fleet.run_until(lambda: node.orders.permits.granted())
    fleet.run_until(lambda: fleet.is_upgraded())
    old = _take_over(fleet, node)
    fleet.upgrade("w3")
    fleet.run(fleet.now + 60.0)
    status = node.engine.status(fleet.now)
    found = old.handle(status, fleet.now) + old.wake(fleet.now)
    assert _run_actions(fleet, old, found) == []
    assert old.tenure.number == 0


def test_permit_of_a_suspended_agent_is_not_used_after_expiry():
    """An agent gets a permit, is suspended for a minute and resumes.

    The others have treated the permit as expired and granted it again. A load
    under the old permit would exceed the limit of the weight store.
    """
    fleet = _fleet()
    fleet.schedule_traffic(20, 3.0)
    fleet.run(2.5)
    fleet.upgrade("w2")
    fleet.run_until(lambda: any(e.orders.closing for e in fleet.nodes.values()))
    paused = [e for e in fleet.nodes.values() if e.orders.closing][0]
    paused.paused = True
    fleet.run(fleet.now + 60.0)
    assert paused.engine.weights == "w1"
    assert paused.orders.permits.granted()
    assert not paused.orders.permits.fresh(fleet.now)
    fleet.resume(paused)
    _run_until_settled(fleet)
    assert fleet.max_loading <= 2


def test_paused_process_keeps_its_address():
    """A stopped agent keeps its mailbox, so no successor can start there.

    This protects an engine that ignores fencing numbers from a late order: a
    successor on the same address starts only after the stopped agent is dead.
    """
    code = (
        "import pynng, sys, time\n"
        "s = pynng.Pair1(polyamorous=True)\n"
        "s.listen('tcp://127.0.0.1:0')\n"
        "print(s.listeners[0].local_address, flush=True)\n"
        "time.sleep(60)\n"
    )
    child = subprocess.Popen([sys.executable, "-c", code], stdout=-1)
    try:
        address = "tcp://" + child.stdout.readline().decode().strip()
        child.send_signal(signal.SIGSTOP)
        with pynng.Pair1() as successor:
            with pytest.raises(pynng.AddressInUse):
                successor.listen(address)
            child.kill()
            child.wait(10)
            successor.listen(address)
    finally:
        child.kill()
        child.wait(10)
        child.stdout.close()


def _loading_node(fleet):
    nodes = fleet.nodes.values()
    fleet.run_until(lambda: any(each.engine.loading for each in nodes))
    (node,) = [each for each in nodes if each.engine.loading]
    return node


def test_runner_that_leaves_during_a_load_keeps_its_permit():
    """Guards against two concurrent loads where one is allowed.

    An operator takes a runner out of service while it loads weights. If its
    agent released the permit at once, the next runner would load while the
    first engine is still loading.
    """
    fleet = _fleet(3, 1)
    fleet.upgrade("w2")
    node = _loading_node(fleet)
    fleet.servers[node.name].state = declarations.ServerState.LEAVING
    for each in fleet.nodes.values():
        fleet.declare(each)
    fleet.run_until(fleet.is_upgraded)
    assert fleet.max_loading == 1


def test_permit_of_an_agent_that_died_outlasts_its_load():
    """Guards against two concurrent loads where one is allowed.

    An agent dies during a load, and the old weights are declared again. The
    engine's status shows the old weights and not the load. If the agent's
    next start released the permit because of that, the next upgrade would
    begin on another runner while the load is still running.
    """
    fleet = _fleet(3, 1)
    fleet.upgrade("w2")
    node = _loading_node(fleet)
    fleet.model.weights = "w1"
    fleet.start_agent(node)
    for each in fleet.nodes.values():
        fleet.declare(each)
    fleet.run(fleet.now + 0.05)
    assert node.engine.loading
    fleet.model.weights = "w3"
    for each in fleet.nodes.values():
        if each is not node:
            fleet.declare(each)
    fleet.run(fleet.now + 0.3)
    fleet.declare(node)
    fleet.run_until(fleet.is_upgraded)
    assert fleet.max_loading == 1


def _crash(fleet, node):
    node.engine.crash(fleet.now)
    fleet.schedule(fleet.now + 3.0, lambda: node.engine.restart(fleet.now))


def _die(fleet, node):
    node.orders = None
    fleet.schedule(fleet.now + 3.0, fleet.start_agent, node)


def _pause(fleet, node):
    node.paused = True
    fleet.schedule(fleet.now + 2.0, fleet.resume, node)


def _outage(fleet, node):
    del node
    fleet.store.down = True
    fleet.schedule(fleet.now + 8.0, setattr, fleet.store, "down", False)


def _lose(fleet, node):
    del node
    fleet.store.lose_answers += 2


def _upgrade(fleet, node):
    fleet.upgrade(f"w{int(fleet.now)}{node.name}")


_FAULT = strategies.tuples(
    strategies.sampled_from([_crash, _die, _pause, _outage, _lose, _upgrade]),
    strategies.sampled_from(["r1", "r2", "r3", "r4", "r5"]),
    strategies.floats(0.0, 3.0),
)


@hypothesis.seed(7)
@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(faults=strategies.lists(_FAULT, max_size=15))
def test_any_faults_keep_the_limit_and_end_as_declared(faults):
    """Crashes, agent restarts, suspensions, outages and upgrades, any order.

    None of them lasts as long as a permit, so the limit holds throughout. At
    the end each engine has its declared state.
    """
    fleet = _fleet()
    for fault, name, wait in faults:
        fault(fleet, fleet.nodes[name])
        fleet.run(fleet.now + wait)
        assert fleet.max_loading <= 2
    fleet.run(fleet.now + 10.0)
    fleet.store.lose_answers = 0
    fleet.upgrade("last")
    _run_until_settled(fleet)
    assert fleet.max_loading <= 2
