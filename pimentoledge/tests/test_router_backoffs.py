"""Tests that a server gets no request before the end of its Retry-After."""

import asyncio
import time

import attrs
import pytest

from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import rollouts
from pimentoledge.routing import router_responses
from pimentoledge.tests import router_world
from pimentoledge.tests import test_router_notices

with_world = router_world.with_world
answer = test_router_notices.answer
taker = test_router_notices.new_notices
MODEL = router_world.MODEL
REGISTRATION = test_router_notices.REGISTRATION
# Large, as a request waits for a server for a part of its latency objective.
OBJECTIVE_MS = 10_000


def busy(seconds, **more):
    """Returns a refusal with which a server announces a backoff."""
    return answer(
        status=503,
        not_run=True,
        signed=False,
        retry_seconds=seconds,
        retry_text=str(seconds),
        **more,
    )


def server_backed_off(seconds=60.0):
    """Returns a set of servers and the one of them that backs off."""
    servers = backends.Backends()
    backend = servers.put(REGISTRATION)
    taker(servers).apply(backend, busy(seconds))
    return servers, backend


async def _configure_long_wait(world):
    """Configures a route whose requests wait over a second for a server."""
    route = router_world.route(
        "notices", service="plain", kind="safe", targetLatencyMs=OBJECTIVE_MS
    )
    changed = router_world.configuration(
        version=2, routes=[route], kv_address=world.kv_server.address
    )
    world.store.put("config", "main", changed)
    [router] = world.routers
    await world.until(lambda: router.view.configuration.version == 2)


@pytest.mark.parametrize(
    "path",
    [
        pytest.param("/notices/", id="plain"),
        pytest.param("/lookups/", id="streamed"),
    ],
)
def test_no_request_reaches_a_server_before_its_retry_after(path):
    @with_world(plain=2, runners=2)
    async def test(world):
        kind, headers = "p", {}
        if path == "/lookups/":
            kind, headers = "r", router_world.stream_headers()
        server = world.servers[f"{kind}0"]
        server.refuse, server.retry_after = 1, "2.0"
        while not server.calls:
            await world.request(path, body=b"n", headers=headers)
        refused = clocks.now()
        [router] = world.routers
        other = router.view.servers.by_incarnation[f"{kind}1"]
        other.avoid_until = clocks.now() + 60.0
        while clocks.now() < refused + 1.0:
            await world.request(path, body=b"n", headers=headers)
        assert len(server.calls) == 1
        await asyncio.sleep(refused + 2.1 - clocks.now())
        got = await world.request(path, body=b"n", headers=headers)
        assert got.status == 200
        assert len(server.calls) == 2

    test()


@with_world(plain=2, runners=1)
async def test_server_that_backs_off_while_connecting_gets_no_request(world):
    [router] = world.routers
    known = router.view.servers.by_incarnation
    request_task = await world.request_while_connecting("p0", "p1")
    router.notices.apply(known["p0"], busy(60.0))
    assert (await request_task).status == 200
    assert not world.servers["p0"].calls


@with_world(plain=2, runners=1)
async def test_request_is_refused_at_once_while_all_servers_back_off(world):
    await _configure_long_wait(world)
    [router] = world.routers
    known = router.view.servers.by_incarnation
    router.notices.apply(known["p0"], busy(5.0))
    router.notices.apply(known["p1"], busy(2.0))
    back_at = known["p1"].notice.retry_at
    returns = []
    began = time.monotonic()
    for _ in range(10):
        sent = clocks.now()
        got = await world.request("/notices/", body=b"n")
        wait = float(got.headers["retry-after"])
        assert got.status == 503
        assert 1.4 < wait < 3.0
        returns.append(clocks.now() + wait)
        assert returns[-1] >= back_at - 0.001
        assert sent + wait <= back_at + 0.501
    assert time.monotonic() - began < 0.5
    # Ten times drawn from 0.5 s lie this close together once in 10**8 runs.
    assert max(returns) - min(returns) > 0.05
    assert not world.executed_requests("plain")


def test_clients_refused_during_a_backoff_return_at_different_times():
    waits = [router_responses.backoff_retry_seconds(2.0) for _ in range(20)]
    assert len(set(waits)) == 20
    assert 2.0 <= min(waits) < max(waits) <= 2.5


@with_world(plain=1, runners=1)
async def test_refusal_by_the_last_server_has_its_retry_after(
    world,
):
    await _configure_long_wait(world)
    server = world.servers["p0"]
    server.refuse, server.retry_after = 1, "2"
    began = time.monotonic()
    got = await world.request("/notices/", body=b"n")
    assert got.status == 503
    assert float(got.headers["retry-after"]) > 1.9
    assert time.monotonic() - began < 0.5


@with_world(plain=2, runners=1)
async def test_failed_request_does_not_wait_while_the_others_back_off(
    world,
):
    await _configure_long_wait(world)
    [router] = world.routers
    known = router.view.servers.by_incarnation
    world.servers["p0"].fail = 1
    router.notices.apply(known["p1"], busy(60.0))
    began = time.monotonic()
    assert (await world.request("/notices/", body=b"n")).status == 500
    assert time.monotonic() - began < 0.5


@with_world(plain=1, runners=1)
async def test_request_waits_for_a_server_whose_backoff_ends_in_time(world):
    await _configure_long_wait(world)
    [router] = world.routers
    known = router.view.servers.by_incarnation["p0"]
    router.notices.apply(known, busy(0.3))
    assert (await world.request("/notices/", body=b"n")).status == 200


@with_world(routers=2, plain=1, runners=1)
async def test_backoff_applies_only_to_the_router_that_received_it(world):
    server = world.servers["p0"]
    server.refuse, server.retry_after = 1, "60"
    assert (await world.request("/notices/", 0, body=b"n")).status == 503
    assert (await world.request("/notices/", 1, body=b"n")).status == 200
    assert (await world.request("/notices/", 0, body=b"n")).status == 503
    assert len(server.calls) == 2


@with_world(plain=1, runners=2)
async def test_runner_that_backs_off_gets_no_status_check(world):
    [router] = world.routers
    rechecked = []
    router.rechecks.recheck = rechecked.append
    runner = world.servers["r0"]
    runner.refuse, runner.retry_after = 1, "60"
    while not runner.calls:
        await world.request("/lookups/", headers=router_world.stream_headers())
    assert not rechecked


@with_world(plain=1, runners=2)
async def test_order_refused_with_retry_after_is_not_repeated_early(
    world,
):
    """No order to load weights is sent before the runner's backoff ends."""
    [router] = world.routers
    known = router.view.servers.by_incarnation["r0"]
    runner = world.servers["r0"]
    runner.retry_after = "1"
    runner.refuse_orders = 100
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(lambda: known.notice.retry_at)
    refused = len(runner.orders)
    await asyncio.sleep(0.7)
    assert len(runner.orders) == refused == 1
    runner.refuse_orders = 0
    await world.until(lambda: runner.weights[MODEL] == 2)


def test_no_runner_gets_a_load_order_before_its_retry_after():
    view = cluster_views.ClusterView(name="b", data_centre="a", started_at=0.0)
    view.set_wanted_version(MODEL, 2, 0.0)
    backend = view.servers.put(REGISTRATION)
    taker(view.servers).apply(backend, busy(60.0))
    rollout = rollouts.Rollout(view=view)
    now = clocks.now()
    assert not rollout.due(now)
    [due] = rollout.due(now + 61.0)
    assert due.backend is backend


def test_only_time_ends_a_backoff():
    servers, backend = server_backed_off()
    now = clocks.now()
    backend.note_success()
    backend.finish_loading()
    taker(servers).apply(backend, answer())
    taker(servers).apply(backend, busy(1.0))
    servers.put(attrs.evolve(REGISTRATION, slots=9))
    assert not backend.usable(now + 59.0)
    servers.remove("s0")
    assert not servers.put(REGISTRATION).usable(now + 59.0)
    assert servers.put(REGISTRATION).usable(now + 61.0)


def test_server_that_backs_off_is_not_unreachable():
    _, backend = server_backed_off()
    now = clocks.now()
    assert not backend.is_unreachable(now)
    assert not backend.is_leaving()


def test_retry_after_of_zero_causes_no_backoff():
    _, backend = server_backed_off(0.0)
    assert not backend.notice.retry_at


def test_new_incarnation_does_not_back_off():
    servers, _ = server_backed_off()
    present = servers.put(attrs.evolve(REGISTRATION, born=200))
    assert present.usable(clocks.now())


@pytest.mark.parametrize("status", [200, 500, 421])
def test_only_a_refusal_for_load_causes_a_backoff(status):
    servers = backends.Backends()
    backend = servers.put(REGISTRATION)
    found = attrs.evolve(busy(60.0), status=status, server="s0")
    taker(servers).apply(backend, found)
    assert backend.usable(clocks.now())
