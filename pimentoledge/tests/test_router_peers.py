"""Tests of several routers: shared state, and orders by the lease holder."""

import asyncio

import attrs

from pimentoledge.routing import clocks
from pimentoledge.routing import rosters
from pimentoledge.routing import wanted_weights
from pimentoledge.tests import router_world

with_world = router_world.with_world
MODEL = router_world.MODEL


def _connected(*routers):
    """Returns whether all routers receive heartbeats from each other."""
    now = clocks.now()
    return all(
        len(each.peers.roster.present(now)) == len(routers) - 1
        for each in routers
    )


def _cut_from_store(router):
    """Makes the store unreachable for a router."""
    for each in router.watchers:
        each.close()
        each.reached = False


@with_world(routers=2, runners=5)
async def test_new_weights_reach_each_runner_by_one_holder(world):
    orders = await world.roll_out(2)
    assert len({order["fence"] for order in orders}) == 1
    assert all(order["version"] == 2 for order in orders)


@with_world(routers=1, runners=1)
async def test_a_late_order_cannot_restore_old_weights(world):
    """Requests must not fall back to old weights seconds after a rollout.

    A runner accepts an order for version 2 and sends no answer. The repeated
    order has the same precondition, so that only one of the two applies; the
    other finds a different count of orders.
    """
    runner = world.servers["r0"]
    runner.silent_orders = 1
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: runner.weights[MODEL] == 2, seconds=9)
    first, second = runner.orders[:2]
    assert first["precondition"] == second["precondition"] == 0
    assert runner.orders_taken == 1


@with_world(routers=2)
async def test_a_router_without_the_store_receives_changes(world):
    """A revoked key must stop working at a router that cannot reach the store.

    Only one router reaches the store; the other receives the configuration,
    the weights and the servers from it.
    """
    first, second = world.routers
    await world.until(lambda: _connected(first, second))
    _cut_from_store(second)
    world.store.put(
        "config", "main", router_world.configuration(version=9, tenants=[])
    )
    world.write_registration(world.servers["p0"], leaving=True)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: second.view.configuration.version == 9)
    await world.until(lambda: second.view.wanted[MODEL].version == 2)
    await world.until(
        lambda: second.view.servers.by_incarnation["p0"].registration.leaving
    )
    assert (await world.request("/cards/", 1, body=b"c")).status == 401


@with_world(routers=2)
async def test_a_restarted_router_takes_the_age_of_weights_from_others(world):
    """A router that has just started must not take an old change for a new one.

    It would again send requests to runners with old weights, for as long as
    after a new change.
    """
    first, second = world.routers
    for router, seconds in ((first, -100.0), (second, 1.0)):
        named = router.view.wanted[MODEL].newest
        router.view.wanted[MODEL] = wanted_weights.WantedWeights(
            attrs.evolve(named, since=named.since + seconds)
        )
    await world.until(
        lambda: second.view.wanted[MODEL].since
        < first.view.wanted[MODEL].since + 1
    )


@with_world(routers=2, plain=4)
async def test_content_that_crashed_servers_is_refused_by_all_routers(world):
    """A request that crashes servers may be repeated through other routers.

    After two crashes no router sends it to a third server; other content is
    served.
    """
    first, second = world.routers
    await world.until(lambda: _connected(first, second))
    for server in world.servers.values():
        server.crashes_on = b"bad"
    for number in (0, 1):
        got = await world.request("/cards/", number, body=b"bad")
        assert got.status == 502
        await asyncio.sleep(0.2)
    for number in (0, 1):
        got = await world.request("/cards/", number, body=b"bad")
        assert (number, got.status) == (number, 503)
        got = await world.request("/cards/", number, body=b"good")
        assert got.status == 200
    crashed = [each for each in world.servers.values() if each.crashes]
    assert len(crashed) == 2


@with_world(routers=2)
async def test_a_router_that_is_gone_for_good_is_removed(world):
    """VMs are replaced every day; their addresses must not accumulate."""
    first, second = world.routers
    await world.until(lambda: _connected(first, second))
    gone = "tcp://127.0.0.1:9"
    first.peers.roster.known[gone] = rosters.Peer(
        first_seen_at=clocks.now() - 1
    )
    first.tick()
    assert gone in first.peers.roster.known
    first.peers.roster.known[gone].first_seen_at -= rosters.FORGET_SECONDS
    first.tick()
    assert gone not in first.peers.roster.known
    assert second.peers.address in first.peers.roster.known


@with_world(routers=2)
async def test_a_router_started_in_an_outage_gets_its_state_from_peers(world):
    """A VM that restarts while the store is down must serve requests."""
    first, second = world.routers
    await world.until(lambda: _connected(first, second))
    world.store.objects.down = True
    port = router_world.free_port()
    seeds = [int(each.rpartition(":")[2]) for each in first.peers.roster.seeds]
    third = await world.add_router("router-2", port, seeds)
    await world.until(
        lambda: third.view.ready() and third.view.servers.by_incarnation
    )
    assert (await world.request("/cards/", 2, body=b"c")).status == 200


@with_world(routers=2)
async def test_a_router_without_recent_heartbeats_is_not_present(world):
    """A paused or unreachable holder must not block orders by others."""
    first, second = world.routers
    await world.until(lambda: _connected(first, second))
    later = clocks.now() + rosters.AWAY_SECONDS + 0.1
    assert not first.peers.roster.present(later)
