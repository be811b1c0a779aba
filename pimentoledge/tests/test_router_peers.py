"""Several routers: what they tell each other, and who gives orders."""

import asyncio

import attrs

from pimentoledge.routing import clocks
from pimentoledge.routing import rosters
from pimentoledge.routing import wanted_weights
from pimentoledge.tests import router_world

played = router_world.played
MODEL = router_world.MODEL


def _hear(*routers):
    """Returns whether all routers hear each other."""
    now = clocks.now()
    return all(
        len(each.peers.roster.present(now)) == len(routers) - 1
        for each in routers
    )


def _cut_from_store(router):
    """Lets a router reach the store no more."""
    for each in router.watchers:
        each.close()
        each.reached = False


@played(routers=2, runners=5)
async def test_new_weights_reach_each_runner_by_one_holder(world):
    orders = await world.roll_out(2)
    assert len({order["fence"] for order in orders}) == 1
    assert all(order["version"] == 2 for order in orders)


@played(routers=1, runners=1)
async def test_an_order_that_comes_late_cannot_bring_old_weights_back(world):
    """Requests must not fall back to old weights seconds after a rollout.

    A runner takes an order for version 2 without an answer; the next one,
    for the same count of orders, replaces it, and the late one then finds
    another count.
    """
    runner = world.servers["r0"]
    runner.silent_orders = 1
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: runner.weights[MODEL] == 2, seconds=9)
    first, second = runner.orders[:2]
    assert first["precondition"] == second["precondition"] == 0
    assert runner.taken == 1


@played(routers=2)
async def test_a_router_cut_from_the_store_hears_of_changes(world):
    """A revoked key must stop working at a router that the store turns away.

    The store answers one router only; the other learns of the configuration,
    the weights and the servers from it.
    """
    first, second = world.routers
    await world.until(lambda: _hear(first, second))
    _cut_from_store(second)
    world.store.put(
        "config", "main", router_world.configuration(version=9, tenants=[])
    )
    world.tell(world.servers["p0"], leaving=True)
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: second.view.configuration.version == 9)
    await world.until(lambda: second.view.wanted[MODEL].version == 2)
    await world.until(
        lambda: second.view.servers.by_incarnation["p0"].registration.leaving
    )
    assert (await world.ask("/cards/", 1, body=b"c")).status == 401


@played(routers=2)
async def test_a_restarted_router_takes_the_age_of_weights_from_others(world):
    """A router that has just started must not take old news for new.

    It would send requests to runners with old weights for as long again.
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


@played(routers=2)
async def test_content_that_killed_servers_is_refused_by_all_routers(world):
    """A request that crashes its server comes again through other routers.

    After two dead servers no router sends it to a third; other content is
    served.
    """
    first, second = world.routers
    await world.until(lambda: _hear(first, second))
    for incarnation in ("p0", "p1"):
        server = world.servers[incarnation]
        other = world.servers["p1" if incarnation == "p0" else "p0"]
        other_entry = other.incarnation
        world.tell(other, leaving=True)
        await world.until(
            lambda name=other_entry: first.view.servers.by_incarnation[
                name
            ].registration.leaving
        )
        server.lose = 1
        assert (await world.ask("/cards/", body=b"bad")).status == 502
        first.view.servers.by_incarnation[incarnation].avoid_until = 0.0
        first.peers.server_died(incarnation)
        world.tell(other)
        await world.until(
            lambda name=other_entry: not first.view.servers.by_incarnation[
                name
            ].registration.leaving
        )
    await asyncio.sleep(0.2)
    for number in (0, 1):
        got = await world.ask("/cards/", number, body=b"bad")
        assert (number, got.status) == (number, 503)
        got = await world.ask("/cards/", number, body=b"good")
        assert got.status == 200


@played(routers=2)
async def test_a_router_that_is_gone_for_good_is_forgotten(world):
    """VMs are replaced every day; their addresses must not pile up."""
    first, second = world.routers
    await world.until(lambda: _hear(first, second))
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


@played(routers=2)
async def test_a_router_started_in_an_outage_takes_all_from_the_others(world):
    """A VM that restarts while the store is down must serve, not refuse."""
    first, second = world.routers
    await world.until(lambda: _hear(first, second))
    world.store.objects.down = True
    port = router_world.free_port()
    seeds = [int(each.rpartition(":")[2]) for each in first.peers.roster.seeds]
    third = await world.add_router("router-2", port, seeds)
    await world.until(
        lambda: third.view.ready() and third.view.servers.by_incarnation
    )
    assert (await world.ask("/cards/", 2, body=b"c")).status == 200


@played(routers=2)
async def test_a_router_that_falls_silent_is_not_waited_for(world):
    """A holder that is frozen or cut off must not keep others from orders."""
    first, second = world.routers
    await world.until(lambda: _hear(first, second))
    later = clocks.now() + rosters.AWAY_SECONDS + 0.1
    assert not first.peers.roster.present(later)
