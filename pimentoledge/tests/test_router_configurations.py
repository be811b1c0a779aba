"""Configurations: at the edge of their bound, invalid ones, large ones."""

import asyncio
import contextlib
import copy

import attrs
import pytest

from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.platform import stores
from pimentoledge.routing import calls
from pimentoledge.routing import clocks
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import replicators
from pimentoledge.tests import raw_servers
from pimentoledge.tests import router_world

with_world = router_world.with_world
CONFIGURATION_SECONDS = 2.0


def _store(world, version, **overrides):
    value = router_world.configuration(version=version, **overrides)
    world.store.put("config", "main", value)


async def _in_force(world, version, routers, seconds=CONFIGURATION_SECONDS):
    await world.until(
        lambda: all(
            each.view.configuration.version == version for each in routers
        ),
        seconds=seconds,
    )


@with_world()
async def test_a_change_is_in_force_in_time_though_the_watch_is_dead(world):
    """Guards against an older configuration behind a watch gone silent."""
    await asyncio.sleep(0.6)
    world.store.silence_watches()
    _store(world, 9)
    await _in_force(world, 9, world.routers)


@with_world(routers=2)
async def test_a_change_is_in_force_in_time_though_all_watches_are_dead(world):
    """Guards against routers that confirm each other's older copies."""
    await asyncio.sleep(1.0)
    world.store.silence_watches()
    _store(world, 9)
    await _in_force(world, 9, world.routers)


@with_world(routers=3)
async def test_a_change_reaches_a_router_that_the_store_refuses(world):
    """Guards against a refused router that waits for the store."""
    first, second, third = world.routers
    await asyncio.sleep(1.0)
    for each in third.watchers:
        each.close()
        each.reached = False
    _store(world, 9)
    await _in_force(world, 9, [first, second])
    await _in_force(world, 9, [third])


@with_world(routers=2)
async def test_an_older_listing_of_a_router_is_not_taken(world):
    """Guards against a configuration that comes back older."""
    first, second = world.routers
    old = first.kinds["configuration"].cache.listing()
    _store(world, 9)
    await _in_force(world, 9, world.routers)
    second.peers.replicator.receive_listing(
        first.peers.address,
        peer_messages.FullListing(kind="configuration", listing=old),
    )
    newer = attrs.evolve(old, revision=old.revision + 100)
    second.peers.replicator.receive_listing(
        first.peers.address,
        peer_messages.FullListing(kind="configuration", listing=newer),
    )
    assert second.view.configuration.version == 9


ROUTE = router_world.route("cards", service="plain", kind="unsafe")
INVALID = {
    "no version": {"version": None},
    "a version in words": {"version": "9"},
    "a version of the wrong type": {"version": True},
    "no routes": {"routes": None},
    "a prefix without a slash": {"routes": [ROUTE | {"pathPrefix": "/cards"}]},
    "a prefix of the wrong type": {"routes": [ROUTE | {"pathPrefix": 5}]},
    "a host of the wrong type": {"routes": [ROUTE | {"host": None}]},
    "a service of the wrong type": {"routes": [ROUTE | {"service": 5}]},
    "no weights": {
        "routes": [
            ROUTE | {"trafficSplit": [{"service": "plain", "weight": 0}]}
        ]
    },
    "a negative weight": {
        "routes": [
            ROUTE | {"trafficSplit": [{"service": "plain", "weight": -1}]}
        ]
    },
    "a negative timeout": {"routes": [ROUTE | {"timeoutMs": -5}]},
    "a timeout in words": {"routes": [ROUTE | {"timeoutMs": "5"}]},
    "a key of the wrong type": {"tenants": [{"name": "a", "apiKeys": [5]}]},
    "a rate in words": {
        "tenants": [{"name": "a", "apiKeys": ["k"], "ratePerS": "5"}]
    },
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_configuration_is_not_decoded(name):
    """Guards against an invalid configuration that comes into force."""
    value = router_world.configuration(version=9) | INVALID[name]
    stored = registrations.Stored(name="main", revision=5, value=value)
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        objects.decode_configuration(stored)


@with_world()
async def test_after_an_invalid_configuration_the_next_one_is_taken(world):
    """Guards against a router that stays on what it has for good."""
    [router] = world.routers
    before = router.view.configuration.version
    world.store.put("config", "main", {"version": 8, "routes": [{}]})
    world.store.put("config", "other", router_world.configuration(version=99))
    await asyncio.sleep(0.3)
    assert router.view.configuration.version == before
    assert (await world.request("/cards/", body=b"c")).status == 200
    added = router_world.route("added", service="plain", kind="safe")
    _store(world, 9, routes=[ROUTE, added])
    await _in_force(world, 9, [router])
    assert (await world.request("/added/", body=b"c")).status == 200


@with_world(routers=2)
async def test_unanswered_requests_for_a_listing_become_rarer(world):
    """Guards against copies of a large configuration that fill a link."""
    first, second = world.routers
    sent = []
    replicator = second.peers.replicator
    replicator.send = lambda address, message: sent.append(clocks.now())
    began = clocks.now()
    while clocks.now() < began + 2.5:
        replicator._request_listing(first.peers.address, "configuration")
        await asyncio.sleep(0.02)
    assert [round(each - began, 1) for each in sent] == [0.0, 0.6, 1.8]
    replicator.receive_listing(
        first.peers.address,
        peer_messages.FullListing(
            kind="configuration",
            listing=second.kinds["configuration"].cache.listing(),
        ),
    )
    _, interval = replicator._listing_requests["configuration"]
    assert interval == replicators.LISTING_REQUEST_SECONDS


@with_world(routers=2)
async def test_what_the_store_is_sending_is_requested_as_a_difference(world):
    """Guards against a second copy of what a slow link is busy with."""
    first, second = world.routers
    await world.until(lambda: second.peers.roster.present(clocks.now()))
    sent = []
    replicator = second.peers.replicator
    replicator.send = lambda address, message: sent.append(message)
    [peer] = second.peers.roster.known.values()
    peer.configuration = 99
    watcher = second.kinds["configuration"]
    watcher.is_receiving = lambda now: True
    for _ in range(3):
        replicator.catch_up(first.peers.address)
    base = second.updater.history.digest
    assert base
    assert sent == [peer_messages.ConfigurationRequest(base=base)]


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"


def test_a_response_counts_as_arriving_while_its_bytes_arrive():
    """Guards against a stalled response that nobody requests elsewhere."""

    async def play(address):
        caller = calls.Caller()
        store = stores.StoreClient(address=address, caller=caller)
        call = asyncio.ensure_future(
            caller.call(
                address=address,
                method="GET",
                target=names.OBJECTS_PATH + "config?watch=1",
                seconds=5,
            )
        )
        seen = []
        for _ in range(60):
            await asyncio.sleep(0.02)
            now = clocks.now()
            seen.append(store.is_receiving("config", now, 0.5))
            assert not store.is_receiving("servers", now, 0.5)
        call.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await call
        caller.close()
        assert True in seen
        assert not seen[-1]
        assert not store.is_receiving("config", clocks.now(), 0.5)

    with raw_servers.raw_server(HEAD + b"1" * 20, hang=True, pause=0.01) as url:
        asyncio.run(play(url.removeprefix("http://")))


@with_world()
async def test_a_large_answer_that_is_arriving_is_requested_once(world):
    """Guards against polls that each carry a copy over a slow link."""
    [router] = world.routers
    watcher = router.kinds["configuration"]
    await asyncio.sleep(0.6)
    polls = []
    request_poll = watcher._request_poll

    def count_poll():
        polls.append(clocks.now())
        return request_poll()

    watcher._request_poll = count_poll
    began = clocks.now()
    watcher.is_receiving = lambda now: now - began < 1.2
    world.store.silence_watches()
    watcher.cache.known_at = began - 1.0
    await asyncio.sleep(1.0)
    assert not polls
    await world.until(lambda: polls)
    assert polls[0] - began < 1.5


@with_world()
async def test_a_watch_that_is_answered_is_applied_while_a_poll_is_open(world):
    """Guards against a new version that waits for a second copy of it."""
    [router] = world.routers
    watcher = router.kinds["configuration"]
    await asyncio.sleep(0.6)
    polls = []

    async def poll_slowly():
        polls.append(clocks.now())
        await asyncio.sleep(4.0)

    watcher._request_poll = poll_slowly
    watcher.cache.known_at = clocks.now() - CONFIGURATION_SECONDS
    watcher.catch_up()
    await world.until(lambda: polls)
    _store(world, 9)
    await _in_force(world, 9, [router], seconds=0.5)


def _call_count(world):
    return sum(
        count
        for call, count in world.store.counts.items()
        if call == "GET config"
    )


def _shape(router):
    replicator = router.peers.replicator
    return (
        replicator.follows_configuration(),
        router.kinds["configuration"].watching,
    )


@with_world(routers=5)
async def test_a_version_is_read_from_the_store_by_two_routers_only(world):
    """Guards against a whole copy on each router's link for each version."""
    await world.until(
        lambda: [_shape(each) for each in world.routers].count((True, False))
        == 3
    )
    calls = _call_count(world)
    changes = world.routers[0].updater.history
    _store(world, 9)
    await _in_force(world, 9, world.routers)
    await asyncio.sleep(0.2)
    assert _call_count(world) - calls <= 4
    assert len(changes.steps) == 1
    sources = {
        each.kinds["configuration"].cache.transfer.source != "store"
        for each in world.routers
    }
    assert sources == {True, False}


@with_world(routers=3)
async def test_the_routers_with_the_fastest_links_watch(world):
    """Guards against a version that reaches a data centre by a slow link."""
    for number, router in enumerate(world.routers):
        shares = router.peers.replicator.configuration_shares
        shares.bandwidth = 10.0 * number
    await world.until(
        lambda: [_shape(each) for each in world.routers]
        == [(True, False), (False, True), (False, True)],
        seconds=8,
    )


@with_world(routers=4)
async def test_a_version_is_in_force_in_time_though_its_watchers_are_silent(
    world,
):
    """Guards against routers that rely on watchers the store doesn't answer."""
    await world.until(
        lambda: [_shape(each) for each in world.routers].count((True, False))
        == 2
    )
    world.store.silence_watches()
    _store(world, 9)
    await _in_force(world, 9, world.routers)


@with_world(routers=2)
async def test_a_router_with_another_content_gets_the_whole_one(world):
    """Guards against a difference that can't be applied, again and again."""
    first, second = world.routers
    for each in second.watchers:
        each.close()
    second.updater.history.digest = "other"
    _store(world, 9)
    await _in_force(world, 9, world.routers)
    assert second.updater.history.digest == first.updater.history.digest


def test_the_longest_prefix_of_a_path_matches():
    built = objects.decode_configuration(
        registrations.Stored(
            name="main",
            revision=1,
            value=router_world.configuration(
                routes=[
                    ROUTE | {"name": name, "pathPrefix": prefix}
                    for name, prefix in (
                        ("all", "/"),
                        ("a", "/a/"),
                        ("ab", "/a/b/"),
                        ("again", "/a/b/"),
                    )
                ]
            ),
        )
    )
    host = ROUTE["host"]
    names = {
        path: built.match(host, path).name
        for path in ("/", "/x", "/a", "/a/", "/a/x/b/", "/a/b/", "/a/b/c/d")
    }
    assert names == {
        "/": "all",
        "/x": "all",
        "/a": "all",
        "/a/": "a",
        "/a/x/b/": "a",
        "/a/b/": "ab",
        "/a/b/c/d": "ab",
    }
    assert built.match("elsewhere", "/a/") is None


@with_world(routers=2)
async def test_large_versions_in_quick_succession_are_in_force_on_slow_links(
    world,
):
    """Guards against versions that take a slow link longer than the bound."""
    slow_store = world.store.with_another_address()
    slow_store.start()
    # A quarter of 10 Mbit/s: traffic takes the rest.
    slow_store.bytes_per_second = 10e6 / 8 / 4
    ports = [router_world.free_port() for _ in range(2)]
    seeds = [each.chosen.text("peer-listen") for each in world.routers]
    for number, port in enumerate(ports):
        await world.add_router(
            f"slow-{number}",
            port,
            [each.rpartition(":")[2] for each in seeds],
            **{"store-address": slow_store.address},
        )
    for each in world.routers[:2]:
        each.peers.replicator.configuration_shares.bandwidth = 100.0
    slow = world.routers[2:]
    try:
        await world.until(
            lambda: all(
                each.view.configuration and _shape(each) == (True, False)
                for each in slow
            ),
            seconds=10,
        )
        fields = {name: each for name, each in ROUTE.items() if each}
        routes = [
            fields | {"name": f"r{each}", "pathPrefix": f"/r{each}/"}
            for each in range(5000)
        ]
        _store(world, 9, routes=routes)
        await _in_force(world, 9, slow)
        _store(world, 10, routes=routes)
        await _in_force(world, 10, slow)
    finally:
        slow_store.close()


@with_world(routers=2)
async def test_differences_are_sent_after_the_store_was_restored(world):
    """Guards against a copy whose equal content is another object."""
    first, second = world.routers
    for each in second.watchers:
        each.close()
    _store(world, 9)
    await _in_force(world, 9, world.routers)
    [stored] = first.kinds["configuration"].cache.objects.values()
    stored.value = copy.deepcopy(stored.value)
    sent = []
    exchange = first.peers.replicator.configurations
    exchange.send = lambda address, message: sent.append(message)
    exchange.answer(
        second.peers.address, peer_messages.ConfigurationRequest(base="")
    )
    assert [len(each.steps) for each in sent] == [1]
