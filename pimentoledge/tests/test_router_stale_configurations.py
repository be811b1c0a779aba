"""Requests at a router that knows of a newer configuration than its own."""

import asyncio

import pytest

from pimentoledge import results
from pimentoledge.routing import clocks
from pimentoledge.routing import stale_configurations
from pimentoledge.tests import router_world

with_world = router_world.with_world


def _set_behind(router, seconds=0.0):
    router.peers.replicator.update_behind = lambda now: None
    router.view.behind_since = clocks.now() - seconds


@with_world()
async def test_a_router_that_is_behind_gives_no_404_or_401(world):
    """Guards against refusals that the configuration in force takes back."""
    [router] = world.routers
    _set_behind(router)
    for path, key in (("/added/", router_world.KEY), ("/cards/", "new-key")):
        began = clocks.now()
        answer = await world.request(path, body=b"c", key=key)
        assert answer.status == 503
        assert 0.4 < clocks.now() - began < 0.9
        assert 0 < float(answer.headers["retry-after"]) < 1
        _set_behind(router)
    assert (await world.request("/cards/", body=b"c")).status == 200


@with_world()
async def test_a_request_waits_for_a_configuration_that_is_about_to_arrive(
    world,
):
    """Guards against a refusal in the moments that a newer one takes."""
    [router] = world.routers
    _set_behind(router)
    request = asyncio.ensure_future(world.request("/added/", body=b"c"))
    await asyncio.sleep(0.1)
    added = router_world.route("added", service="plain", kind="safe")
    routes = [
        router_world.route("cards", service="plain", kind="unsafe"),
        added,
    ]
    value = router_world.configuration(version=9, routes=routes)
    world.store.put("config", "main", value)
    await world.until(lambda: router.view.configuration.version == 9)
    router.view.behind_since = None
    assert (await request).status == 200


@with_world()
async def test_nothing_is_served_by_a_configuration_that_is_long_replaced(
    world,
):
    """Guards against a moved route that its former service goes on serving."""
    [router] = world.routers
    bound = router.view.bounds.configuration_seconds
    _set_behind(router, 0.3 * bound)
    assert (await world.request("/cards/", body=b"c")).status == 200
    _set_behind(router, 0.6 * bound)
    assert (await world.request("/cards/", body=b"c")).status == 503
    assert len(world.executed_requests("plain")) == 1


@with_world(routers=2)
async def test_a_configuration_that_only_others_can_read_leaves_no_one_behind(
    world,
):
    """Guards against a former build that refuses all beside a newer one."""
    first, second = world.routers
    [peer] = second.peers.roster.known.values()
    await world.until(lambda: peer.configuration)
    world.store.put("config", "main", {"version": 8, "routes": [{}]})
    await world.until(lambda: second.view.unreadable_version == 8)
    peer.configuration = 8
    second.peers.replicator.update_behind(clocks.now())
    assert second.view.behind_since is None
    peer.configuration = 9
    second.peers.replicator.update_behind(clocks.now())
    assert second.view.behind_since is not None


def test_only_what_a_newer_configuration_may_change_is_held():
    """Guards against refusals that wait for nothing."""

    def may_act(code, behind_since, now=10.0):
        return stale_configurations.may_act(
            code, behind_since=behind_since, bound_seconds=2.0, now=now
        )

    for code in (None, results.Code.NOT_FOUND, results.Code.SHUTTING_DOWN):
        assert may_act(code, None)
    assert may_act(None, 9.1)
    assert not may_act(None, 9.0)
    assert not may_act(results.Code.NOT_FOUND, 10.0)
    assert not may_act(results.Code.BAD_KEY, 10.0)
    for seconds in (0.0, 100.0):
        assert may_act(results.Code.SHUTTING_DOWN, 10.0 - seconds)
        assert may_act(results.Code.CONFIGURATION_INCOMPLETE, 10.0 - seconds)


@pytest.mark.parametrize(
    "spec",
    [[], {"routes": []}, {"version": 8, "routes": [{}]}],
    ids=["no object", "no version", "bad route"],
)
def test_a_router_that_starts_beside_an_unreadable_configuration(spec):
    """Guards against a starting router that serves nothing beside others."""

    @with_world()
    async def run(world):
        [first] = world.routers
        before = first.view.configuration.version
        world.store.put("config", "main", spec)
        await world.until(lambda: first.updater.unreadable["configuration"])
        port = router_world.free_port()
        seeds = [port, first.chosen.text("peer-listen").rpartition(":")[2]]
        late = await world.add_router("late", port, seeds)
        await world.until(late.view.ready)
        assert late.view.configuration.version == before
        assert (await world.request("/cards/", 1, body=b"c")).status == 200
        world.store.put("config", "main", router_world.configuration(version=9))
        for router in world.routers:
            await world.until(
                lambda router=router: router.view.configuration.version == 9
            )

    run()
