"""Requests that crash servers, before real routers."""

import asyncio
import time

import msgspec

from pimentoledge.routing import clocks
from pimentoledge.routing import server_connections
from pimentoledge.routing import server_deaths
from pimentoledge.tests import router_world

with_world = router_world.with_world
BODY = b"crashes"
CRASHED = 502
QUARANTINED = 503


def _crashed(world):
    """Returns the incarnations of the servers that have crashed."""
    return [each.incarnation for each in world.servers.values() if each.crashes]


def _crash_on_request(world):
    for each in world.servers.values():
        each.crashes_on = BODY


async def _send(world, number=0, path="/cards/"):
    """Sends a request that crashes servers; returns the response."""
    answer = await world.request(path, number=number, body=BODY)
    await asyncio.sleep(0.1)
    return answer


def _forget_to_check(router):
    """Makes a router open no connection after one broke."""
    router.liveness_checks.check = lambda backend: None


@with_world(plain=6, runners=0)
async def test_a_crash_counts_without_another_request_to_the_server(world):
    """Guards against crashes that count only if somebody sends there again."""
    _crash_on_request(world)
    statuses = [(await _send(world)).status for _ in range(4)]
    assert statuses == [CRASHED] * 2 + [QUARANTINED] * 2
    assert len(_crashed(world)) == 2


@with_world(plain=6, runners=0)
async def test_an_entry_that_lapses_later_proves_a_crash(world):
    """Guards against crashes whose server is found dead after some seconds."""
    [router] = world.routers
    _forget_to_check(router)
    _crash_on_request(world)
    for _ in range(2):
        assert (await _send(world)).status == CRASHED
    await asyncio.sleep(3.6)
    for each in _crashed(world):
        world.store.remove("servers", each)
    await world.until(
        lambda: len(router.view.servers.by_incarnation)
        == len(world.servers) - 2
    )
    assert (await _send(world)).status == QUARANTINED


@with_world(plain=2, runners=0)
async def test_a_request_that_waits_is_not_sent_once_quarantined(world):
    """Guards against a check of the content on arrival only."""
    [router] = world.routers
    for each in router.view.servers.by_incarnation.values():
        each.avoid_until = clocks.now() + 0.05
    waiting = asyncio.ensure_future(_send(world))
    await world.until(lambda: router.exchanges)
    [exchange] = router.exchanges
    for server in ("a", "b"):
        router.view.suspects.record_crash(
            exchange.context.subjects[0], server, clocks.now()
        )
    answer = await waiting
    assert answer.status == QUARANTINED
    assert float(answer.headers["retry-after"]) > 50
    assert not world.executed_requests("plain")


@with_world(plain=2, runners=0)
async def test_a_request_is_not_sent_if_quarantined_while_connecting(world):
    """Guards against a last server that gets content of two crashes."""
    [router] = world.routers
    request = await world.request_while_connecting("p0", "p1", body=BODY)
    [exchange] = router.exchanges
    for server in ("a", "b"):
        router.view.suspects.record_crash(
            exchange.context.subjects[0], server, clocks.now()
        )
    assert (await request).status == QUARANTINED
    assert not world.executed_requests("plain")


@with_world(plain=6, runners=0)
async def test_a_request_that_ran_is_not_refused_as_not_run(world):
    """Guards against a false "not run" after an attempt that crashed."""
    await world.until_retries_allowed("plain")
    _crash_on_request(world)
    statuses = [(await _send(world, path="/notices/")).status for _ in range(2)]
    assert statuses == [CRASHED, QUARANTINED]
    assert len(_crashed(world)) == 2


@with_world(plain=6, runners=0)
async def test_content_is_recognised_with_another_key_of_the_organisation(
    world,
):
    """Guards against content that crashes two servers for each new key."""
    keys = [router_world.KEY, "second"]
    tenants = [{"name": "acme", "apiKeys": keys}]
    value = router_world.configuration(version=9, tenants=tenants)
    world.store.put("config", "main", value)
    [router] = world.routers
    await world.until(lambda: router.view.configuration.version == 9)
    _crash_on_request(world)
    statuses = []
    for key in (*keys, *keys):
        answer = await world.request("/cards/", body=BODY, key=key)
        statuses.append(answer.status)
        await asyncio.sleep(0.1)
    assert statuses == [CRASHED] * 2 + [QUARANTINED] * 2


@with_world(plain=6, runners=0)
async def test_a_failure_response_clears_no_content(world):
    """Guards against a 500 of a faulty server that counts as completion."""
    _crash_on_request(world)
    assert (await _send(world)).status == CRASHED
    for each in world.servers.values():
        each.crashes_on, each.fail = b"", 1
    assert (await _send(world)).status == 500
    _crash_on_request(world)
    statuses = [(await _send(world)).status for _ in range(2)]
    assert statuses == [CRASHED, QUARANTINED]


@with_world(plain=2, runners=0)
async def test_lost_responses_of_live_servers_quarantine_nothing(world):
    """Guards against the refusal of harmless content."""
    for _ in range(4):
        for each in world.servers.values():
            each.lose = 1
        assert (await _send(world)).status == CRASHED
    for each in world.servers.values():
        each.lose = 0
    assert (await _send(world)).status == 200


@with_world(plain=2, runners=0)
async def test_a_server_that_answers_has_not_crashed(world):
    """Guards against harmless content that is refused after a cut."""
    [router] = world.routers
    open_connection = router.pool.open

    async def refuse(address):
        raise server_connections.CannotConnectError(address)

    router.pool.open = refuse
    for each in world.servers.values():
        each.lose = 1
    for _ in range(2):
        assert (await _send(world)).status == CRASHED
    assert (await _send(world)).status == QUARANTINED
    router.pool.open = open_connection
    for each in router.view.servers.by_incarnation.values():
        each.avoid_until = 0.0
    for number in range(20):
        await world.request("/cards/", body=b"other %d" % number)
    assert (await _send(world)).status == 200


def _quarantine(router, content="c"):
    for server in ("a", "b"):
        router.view.suspects.record_crash(
            server_deaths.Subject(key=content), server, clocks.now()
        )


def _all_quarantine(routers, content="c"):
    return all(
        each.view.suspects.is_quarantined(content, clocks.now())
        for each in routers
    )


def _cut_off(router, *others):
    """Loses all messages between a router and others; returns the end."""
    ends = []
    for one, two in [(router, each) for each in others]:
        for sender, receiver in ((one, two), (two, one)):
            ends.append(_lose_messages(sender, receiver))

    def heal():
        for each in ends:
            each()

    return heal


def _lose_messages(sender, receiver):
    mailbox, address = sender.peers._mailbox, receiver.peers.address
    send_all = mailbox.send_all

    def send_some(addresses, message, **more):
        rest = [each for each in addresses if each != address]
        send_all(rest, message, **more)

    mailbox.send_all = send_some
    return lambda: setattr(mailbox, "send_all", send_all)


async def _join(world):
    ports = [
        int(each.chosen.text("peer-listen").rpartition(":")[2])
        for each in world.routers
    ]
    return await world.add_router("late", router_world.free_port(), ports)


@with_world(routers=3, plain=1, runners=0)
async def test_a_router_that_joins_learns_what_is_quarantined(world):
    """Guards against crashes that are told to the partners of then only."""
    _quarantine(world.routers[0])
    await world.until(lambda: _all_quarantine(world.routers))
    joined = await _join(world)
    await world.until(lambda: _all_quarantine([joined]), seconds=3)


@with_world(routers=3, plain=1, runners=0)
async def test_a_router_learns_after_a_cut_what_is_quarantined(world):
    """Guards against crashes that are told once, whoever receives it."""
    first, second, third = world.routers
    heal = _cut_off(third, first, second)
    _quarantine(first)
    await world.until(lambda: _all_quarantine([first, second]))
    await asyncio.sleep(1)
    assert not _all_quarantine([third])
    heal()
    await world.until(lambda: _all_quarantine([third]), seconds=3)


@with_world(routers=3, plain=1, runners=0)
async def test_a_clearance_reaches_a_router_that_was_cut_off(world):
    """Guards against harmless content that some routers go on refusing."""
    first, second, third = world.routers
    _quarantine(first)
    await world.until(lambda: _all_quarantine(world.routers))
    heal = _cut_off(third, first, second)
    first.view.suspects.record_success("c", clocks.now())
    await asyncio.sleep(0.5)
    heal()
    await world.until(
        lambda: not any(_all_quarantine([each]) for each in world.routers),
        seconds=3,
    )
    assert not first.view.suspects.record_crash(
        server_deaths.Subject(key="c"), "a", clocks.now()
    )


async def _restart_all(world):
    """Starts new routers in the place of all, which end without notice."""
    for router in world.routers:
        router.close()
    world.routers.clear()
    port = router_world.free_port()
    router = await world.add_router("after", port, [port])
    await world.until(router.view.ready)
    return router


@with_world(plain=6, runners=0)
async def test_quarantined_content_is_known_after_all_routers_restart(world):
    """Guards against two more crashes after each restart of all routers."""
    _crash_on_request(world)
    for _ in range(2):
        assert (await _send(world)).status == CRASHED
    await world.until(lambda: "POST quarantines" in world.store.counts)
    router = await _restart_all(world)
    await world.until(lambda: router.view.suspects.subjects)
    await world.until(world.all_servers_known)
    assert (await _send(world)).status == QUARANTINED


@with_world(plain=6, runners=0)
async def test_quarantined_content_is_stored_after_an_outage(world):
    """Guards against content that is stored only if the store answers then."""
    _crash_on_request(world)
    world.store.refused = {"127.0.0.1"}
    for _ in range(2):
        assert (await _send(world)).status == CRASHED
    await asyncio.sleep(0.5)
    world.store.refused = set()
    await world.until(
        lambda: any(
            each.startswith("quarantines/")
            for each in world.store.objects.objects
        )
    )


@with_world(routers=2, plain=6, runners=0)
async def test_crashes_seen_by_two_routers_are_stored_once(world):
    first, second = world.routers
    _crash_on_request(world)
    for number in (0, 1):
        assert (await _send(world, number)).status == CRASHED
    await world.until(
        lambda: _stored(world) and not first.peers.crash_reports.stored.pending
    )
    await world.until(lambda: not second.peers.crash_reports.stored.pending)
    [value] = _stored(world)
    assert set(value["crashes"]) == set(_crashed(world))


def _stored(world):
    return [
        msgspec.json.decode(each.value)
        for path, each in world.store.objects.objects.items()
        if path.startswith("quarantines/") and each.value is not None
    ]


@with_world(plain=6, runners=0)
async def test_released_content_is_removed_from_the_store(world):
    """Guards against harmless content that is refused after a restart."""
    [router] = world.routers
    _crash_on_request(world)
    for _ in range(2):
        assert (await _send(world)).status == CRASHED
    await world.until(lambda: _stored(world))
    [content] = router.view.suspects.subjects
    router.view.suspects.record_success(content, clocks.now())
    await world.until(lambda: not _stored(world))


@with_world(plain=2, runners=0)
async def test_expired_quarantines_are_not_read(world):
    """Guards against content that each restart quarantines anew."""
    old = {"crashes": {"a": 1000, "b": 2000}}
    world.store.put("quarantines", "c", old)
    recent = int(time.time() * 1000)
    world.store.put("quarantines", "d", {"crashes": {"a": recent, "b": recent}})
    world.store.put("quarantines", "e", ["unreadable"])
    router = await _restart_all(world)
    await world.until(lambda: router.view.suspects.subjects)
    assert list(router.view.suspects.subjects) == ["d"]
    await world.until(lambda: len(_stored(world)) == 2)
