"""Tests of the admission queue in a real router with stand-in servers."""

import asyncio
import collections

import msgspec

from pimentoledge import results
from pimentoledge.routing import clocks
from pimentoledge.routing import load_controls
from pimentoledge.tests import router_world

with_world = router_world.with_world
SLOTS = 8


def _control_load(world, work_seconds=0.2):
    """Turns load control on, and makes servers take some time."""
    for each in world.routers:
        each.view.load_control.mode = load_controls.Mode.ON
    for server in world.servers.values():
        server.work_seconds = work_seconds


def _requests(world, count, path="/cards/"):
    return [
        asyncio.ensure_future(world.request(path, body=b"%d" % number))
        for number in range(count)
    ]


async def _until_waiting(router, count):
    async with asyncio.timeout(3):
        while _gauge(router, "waiting_requests") != count:
            await asyncio.sleep(0.01)


def _gauge(router, name):
    return router.admission.gauges(clocks.now())[name]


def _code(answer):
    return msgspec.json.decode(answer.body)["error"]["code"]


@with_world(plain=2, runners=0)
async def test_requests_beyond_the_slots_wait_in_the_router(world):
    """Guards against a queue in the server, which a crash loses."""
    _control_load(world)
    answers = _requests(world, 5 * SLOTS, path="/notices/")
    most = collections.Counter()
    while not all(each.done() for each in answers):
        for name, server in world.servers.items():
            most[name] = max(most[name], server.active_requests)
        await asyncio.sleep(0.005)
    assert {each.result().status for each in answers} == {200}
    assert set(most.values()) == {SLOTS}
    [router] = world.routers
    assert router.admission.counters.decisions["admission", "place"] == 40
    for each in router.view.servers.by_incarnation.values():
        assert (each.reserved, each.reserved_tokens) == (0, 0)


@with_world(plain=1, runners=0)
async def test_a_drain_refuses_unsafe_requests_that_wait_as_not_run(world):
    _control_load(world, work_seconds=0.6)
    answers = _requests(world, SLOTS + 4)
    [router] = world.routers
    await _until_waiting(router, 4)
    drain = asyncio.ensure_future(router.drain())
    await _until_waiting(router, 0)
    assert len(router.exchanges) <= SLOTS
    got = await asyncio.gather(*answers)
    refused = [each for each in got if each.status == 503]
    assert len(refused) == 4
    assert {_code(each) for each in refused} == {results.Code.SHUTTING_DOWN}
    assert all(float(each.headers["retry-after"]) > 0 for each in refused)
    assert len(world.executed_requests("plain")) == SLOTS
    await drain


@with_world(plain=1, runners=0)
async def test_what_leaves_the_queue_has_not_run(world):
    """A client that disconnects, and one that can't be served in time."""
    _control_load(world, work_seconds=1.2)
    answers = _requests(world, SLOTS)
    [router] = world.routers
    await world.until(lambda: len(world.executed_requests("plain")) == SLOTS)
    client = world.client()
    await client.open()
    client.send("/cards/", body=b"left")
    await _until_waiting(router, 1)
    client.close()
    await _until_waiting(router, 0)
    late = await world.request("/cards/", body=b"late")
    assert (late.status, _code(late)) == (503, results.Code.OVERLOADED)
    assert {each.status for each in await asyncio.gather(*answers)} == {200}
    bodies = {call.body for call in world.executed_requests("plain")}
    assert not bodies & {b"left", b"late"}
    assert router.admission.returning.refused


@with_world(routers=2, plain=1, runners=0)
async def test_routers_report_waiting_and_refused_requests(world):
    """Guards against places that all routers give out."""
    _control_load(world, work_seconds=1.5)
    answers = _requests(world, SLOTS + 1)
    first, second = world.routers
    await _until_waiting(first, 1)
    await world.until(
        lambda: second.admission.peers.routers("plain", clocks.now()) == 1
    )
    assert (await answers[-1]).status == 503
    await world.until(lambda: second.admission.returning.refused)
    assert second.admission.returning.refused.keys() == (
        first.admission.returning.refused.keys()
    )
    await asyncio.gather(*answers)
