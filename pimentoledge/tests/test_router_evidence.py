"""Tests that requests, not status checks or stale state, show health."""

import asyncio
import time

import pytest

from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import daemons
from pimentoledge.routing import leases
from pimentoledge.routing import registrations
from pimentoledge.routing import selections
from pimentoledge.routing import server_connections
from pimentoledge.tests import router_world

with_world = router_world.with_world
MODEL = router_world.MODEL


def registration(name):
    return registrations.Registration(
        server=name,
        service="s",
        address="1.1.1.1:1",
        data_centre="a",
        slots=8,
        leaving=False,
        weights={},
    )


@with_world(plain=2)
async def test_a_good_status_check_brings_no_failing_server_back(world):
    """Guards against requests to a server that fails them but looks healthy.

    Its status check passes and the store shows it as ready, but requests fail
    there. The other server must get nearly all of them.
    """
    await world.until_retries_allowed("plain", 4)
    grey = world.servers["p0"]
    grey.fail = 1000
    for _ in range(60):
        got = await world.request("/notices/", body=b"n")
        assert got.status == 200
    failed = [call for call in grey.calls if call.ran]
    assert 0 < len(failed) <= 6
    checks = [
        call
        for server in world.servers.values()
        for call in server.calls
        if not call.target.startswith("/notices/")
    ]
    assert not checks


@with_world(plain=2)
async def test_a_server_that_recovers_is_found_by_requests_alone(world):
    """Guards against a recovered server that stays unused.

    Its status check may still fail, but routers don't use it: once its failures
    are old, requests try the server again, and one success brings it back.
    """
    once = world.servers["p0"]
    [router] = world.routers
    held = router.view.servers.by_incarnation["p0"]
    for _ in range(12):
        held.note_request_failure(clocks.now())
    held.failure_rate_at -= 10 * backends.FAILURE_RATE_HALF_LIFE_SECONDS
    other = router.view.servers.by_incarnation["p1"]
    other.open = 7
    for _ in range(60):
        await world.request("/notices/", body=b"n")
    assert sum(call.ran for call in once.calls) > 20
    assert held.decayed_failure_rate(clocks.now()) < 0.01


def test_a_flapping_server_costs_a_few_requests_each_turn():
    """Guards against many failed requests on a server that flaps every 2 s.

    Each time it goes down, the first request detects that, and only a few more
    may fail on it; while it is up it must be used.
    """
    server = backends.Backend(registration=registration("f"))
    for turn in range(10):
        start = turn * 4.0
        tries = {False: 0, True: 0}
        for step in range(400):
            now = start + step / 100
            up = step >= 200
            if not server.usable(now):
                continue
            tries[up] += 1
            if up:
                server.note_success()
            else:
                server.note_connection_failure(now)
        assert tries[False] <= 4
        assert tries[True] >= 40


def test_a_flapping_server_is_avoided_for_longer_while_it_stays_down():
    """Guards against a failed request each second on a server that is down."""
    server = backends.Backend(registration=registration("f"))
    tries = 0
    for step in range(6000):
        if server.usable(step / 100):
            tries += 1
            server.note_connection_failure(step / 100)
    assert tries <= 4 + 60 / backends.MAX_FAILURE_BACKOFF_SECONDS


@with_world(plain=2)
async def test_after_a_freeze_no_connection_or_list_from_before_is_used(
    world,
):
    """Guards against a lost request after a VM was frozen.

    Servers closed its idle connections meanwhile: a request sent on one may
    have run or not. Its list of servers is as old as the freeze.
    """
    [router] = world.routers
    await world.request("/cards/", body=b"before")
    assert any(router.pool.idle.values())
    watches = world.store.counts["GET servers"]
    router._ticked = clocks.now() - daemons.PAUSE_SECONDS - 5
    router.detect_pause(clocks.now())
    assert not any(router.pool.idle.values())
    opened = router.pool.opened
    got = await world.request("/cards/", body=b"after")
    assert got.status == 200
    assert router.pool.opened == opened + 1
    await world.until(lambda: world.store.counts["GET servers"] > watches)


@with_world(plain=1, runners=0)
async def test_a_freeze_during_a_connect_shows_no_unreachable_server(world):
    """Guards against connections that were opened in time and count as lost."""
    [router] = world.routers
    open_connection = router.pool._open

    async def open_during_freeze(address, seconds):
        asyncio.get_running_loop().call_soon(time.sleep, seconds + 0.1)
        return await open_connection(address, seconds)

    router.pool._open = open_during_freeze
    assert (await world.request("/notices/", body=b"n")).status == 200
    [server] = router.view.servers.by_incarnation.values()
    assert not server.failures


def test_a_connect_that_is_not_answered_ends_in_time(monkeypatch):
    """Guards against requests that wait for a server that is gone."""

    async def connect():
        async def never_opened(*_):
            await asyncio.sleep(10)

        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "create_connection", never_opened)
        await server_connections.ConnectionPool().open("127.0.0.1:9")

    began = clocks.now()
    with pytest.raises(server_connections.CannotConnectError):
        asyncio.run(connect())
    assert clocks.now() - began < server_connections.CONNECT_SECONDS + 0.2


def test_after_a_freeze_the_lease_is_over_before_anything_is_done():
    """Guards against orders from a former lease holder after a freeze.

    Its successor may already send orders, and only one holder may do so within
    a lease. The clock of the term includes the time of the freeze.
    """
    lease = leases.Lease(holder="me", lease_seconds=3.0, revision=0)
    sent = 100.0
    lease.record_write(
        registrations.Stored(name="", revision=7, value=None), sent
    )
    assert lease.may_order(sent + 0.5)
    woke = sent + 4.0
    assert not lease.may_order(woke)
    assert not lease.holds(woke)
    assert lease.step(woke) is leases.Step.WRITE
    assert not lease.may_order(sent + leases.TERM_SECONDS)


@with_world(routers=3, plain=1, runners=1)
async def test_after_a_freeze_other_routers_count_as_silent(world):
    """Guards against a wait for a lease holder that died in the freeze."""
    first = world.routers[0]
    await world.until(
        lambda: len(first.peers.roster.present(clocks.now())) == 2
    )
    woke = clocks.now() + 5.0
    assert not first.peers.roster.present(woke)
    assert not first.peers.holder_heartbeats.holder_is_alive(woke)
    assert first.peers.replicator.shares.watcher_ages(woke) == {}


@with_world(plain=1)
async def test_idle_connections_are_shared_among_all_routers(world):
    """Guards against idle connections that exhaust a server's limit.

    A server resets connections beyond its limit over all clients. Three hundred
    routers with a few idle ones each would use it up, and requests would be
    reset.
    """
    [router] = world.routers

    async def four_at_once():
        await asyncio.gather(
            *(world.request("/notices/", body=b"n") for _ in range(4))
        )

    world.servers["p0"].work_seconds = 0.05
    await four_at_once()
    [idle] = router.pool.idle.values()
    assert len(idle) > 1
    most = selections.max_idle_connections(router.view, "plain")
    assert most == 25
    router.view.members = 100
    router.peers.tick = lambda now: None
    assert selections.max_idle_connections(router.view, "plain") == 1
    router.pool.close()
    await four_at_once()
    [idle] = router.pool.idle.values()
    assert len(idle) == 1
