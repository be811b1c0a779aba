"""Tests that routers learn in time that a server is leaving.

A server that announces in the store that it leaves serves on for `drain-ms`
and then ends. After that time no router may send it a request, so a router must
detect when it may have missed the announcement.
"""

import asyncio

import pytest

from pimentoledge.platform import stores
from pimentoledge.routing import clocks
from pimentoledge.routing import counters
from pimentoledge.routing import hedged_calls
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import registrations
from pimentoledge.routing import watchers
from pimentoledge.tests import router_world

with_world = router_world.with_world
MODEL = router_world.MODEL
# Default time for which a server that is leaving may get requests.
DRAIN_SECONDS = 2.0


def has_seen_leaving(router, server="p0"):
    """Returns whether a router has seen that a server is leaving or gone."""
    found = router.view.servers.by_incarnation.get(server)
    return found is None or found.registration.leaving


async def _all_wait(world):
    """Waits until every watch has started."""
    await asyncio.sleep(0.3)


async def _outage(world):
    """Simulates a store outage that ends all watches and loses new calls."""
    world.store.silent = True
    world.store.cut_watches()
    await asyncio.sleep(2.0)
    world.store.silent = False
    await asyncio.sleep(0.3)


def _silence(router):
    """Leaves every call of a router to the store without a response."""

    async def unanswered(*_, **__):
        await asyncio.sleep(stores.CALL_TIMEOUT_SECONDS)
        return registrations.Unavailable(reason="silent", maybe_done=True)

    async def silent_watch(kind, revision, seconds):
        await asyncio.sleep(seconds)
        return await unanswered()

    router.store.watch = silent_watch
    for name in ("list", "read", "write"):
        setattr(router.store, name, unanswered)


@with_world(routers=2, plain=2, runners=1)
async def test_requests_reach_no_server_that_left_after_an_outage(world):
    """Guards against requests to a server more than 2 s after it leaves.

    In an outage of the store each router's watch ends and it opens another one,
    with a wait of 20 s. A call sent during an outage is never answered, even
    after it. Routers that relied on it missed all changes for 22 s: requests
    reached a server 2,041 ms after it announced that it leaves, and one that
    had been gone for 9 s still counted as usable.
    """
    await _outage(world)
    world.write_registration(world.servers["p0"], leaving=True)
    left = clocks.now()
    while clocks.now() < left + DRAIN_SECONDS + 0.5:
        for number in range(2):
            await world.request("/notices/", number, body=b"n")
        await asyncio.sleep(0.02)
    last = max(
        (each.received_at for each in world.servers["p0"].calls), default=0.0
    )
    assert last < left + DRAIN_SECONDS
    assert all(has_seen_leaving(each) for each in world.routers)


@with_world(routers=2, plain=1, runners=1)
async def test_revoked_keys_and_new_weights_arrive_after_an_outage(world):
    """Guards against configuration and weights 22 s late after an outage.

    On routers whose watches ended in the outage a revoked key kept working, and
    requests went on to older weights.
    """
    await _outage(world)
    world.store.put(
        "config", "main", router_world.configuration(version=9, tenants=[])
    )
    world.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    await world.until(
        lambda: all(
            each.view.configuration.version == 9 for each in world.routers
        ),
        seconds=2.0,
    )
    await world.until(
        lambda: all(
            each.view.wanted[MODEL].version == 2 for each in world.routers
        ),
        seconds=4.0,
    )


@with_world(plain=2, runners=1)
async def test_a_watch_on_a_dead_connection_is_detected(world):
    """Guards against missed changes on a connection that went silent.

    New connections still work, but a single router has no peer that could
    report the changes.
    """
    [router] = world.routers
    await _all_wait(world)
    world.store.silence_watches()
    world.write_registration(world.servers["p0"], leaving=True)
    await world.until(lambda: has_seen_leaving(router), seconds=DRAIN_SECONDS)


@with_world(routers=2, plain=2, runners=1)
async def test_a_router_with_a_dead_watch_fetches_changes_from_peers(world):
    """Guards against a router that relies on its own dead watch.

    Its peers' heartbeats showed a newer change, but as its own watch was open
    it requested the change from nobody.
    """
    first, second = world.routers
    await world.until(lambda: first.peers.roster.present(clocks.now()))
    await _all_wait(world)
    _silence(second)
    # Ends the watch that was opened before.
    world.write_registration(world.servers["r0"], leaving=True)
    await world.until(lambda: has_seen_leaving(first, "r0"))
    await world.until(lambda: has_seen_leaving(second, "r0"))
    await _all_wait(world)
    world.write_registration(world.servers["p0"], leaving=True)
    await world.until(lambda: has_seen_leaving(second), seconds=DRAIN_SECONDS)


async def _all_watches_die(world, *, cut_off):
    """Simulates dead watches on the routers that watch for all others."""
    await world.until(
        lambda: all(
            len(each.peers.roster.members(clocks.now())) == 12
            for each in world.routers
        ),
        seconds=9,
    )
    await world.until(
        lambda: sum(
            not each.peers.replicator.follows() for each in world.routers
        )
        == 2,
        seconds=9,
    )
    world.write_registration(world.servers["r0"], leaving=True)
    await world.until(
        lambda: all(has_seen_leaving(each, "r0") for each in world.routers)
    )
    await _all_wait(world)
    watching = [
        each for each in world.routers if each.kinds["servers"].watching
    ]
    assert watching
    for each in watching if cut_off else ():
        _silence(each)
    world.store.silence_watches()
    world.write_registration(world.servers["p0"], leaving=True)
    await world.until(
        lambda: all(has_seen_leaving(each) for each in world.routers),
        seconds=DRAIN_SECONDS,
    )


@with_world(routers=13, plain=2, runners=1)
async def test_watching_routers_detect_that_all_watches_are_dead(world):
    """Guards against missed changes when all watches are dead.

    With many routers two watch for all. Both may have dead calls while they
    still report that they watch, so the others polled nobody.
    """
    await _all_watches_die(world, cut_off=False)


@with_world(routers=13, plain=2, runners=1)
async def test_other_routers_poll_when_watching_ones_reach_no_store(world):
    """The same, where the store answers all routers but those that watch."""
    await _all_watches_die(world, cut_off=True)


@with_world(plain=2, runners=1)
async def test_a_server_that_leaves_while_it_is_being_reached_gets_nothing(
    world,
):
    """Guards against a request sent after its server announced leaving.

    Opening a connection may take 0.6 s; the request was sent on it even if the
    server had announced meanwhile that it leaves.
    """
    [router] = world.routers
    request_task = await world.request_while_connecting("p0", "p1")
    world.write_registration(world.servers["p0"], leaving=True)
    await world.until(lambda: has_seen_leaving(router))
    assert (await request_task).status == 200
    assert not world.servers["p0"].calls
    assert len(world.servers["p1"].calls) == 1


@with_world(plain=2, runners=1)
async def test_a_router_that_was_paused_polls_the_store_at_once(world):
    """Guards against changes missed while the VM was frozen.

    A router must poll the store as soon as it runs again. One with an open
    watch of its own did not, though the network may have dropped the watch.
    """
    [router] = world.routers
    await _all_wait(world)
    world.store.silence_watches()
    world.write_registration(world.servers["p0"], leaving=True)
    await asyncio.sleep(0.1)
    assert not has_seen_leaving(router)
    router._ticked = clocks.now() - 5.0
    router.detect_pause(clocks.now())
    await world.until(lambda: has_seen_leaving(router), seconds=0.3)


@pytest.mark.parametrize(("away", "lapsed"), [(0.3, False), (3.0, True)])
def test_only_a_long_outage_lets_entries_lapse(away, lapsed):
    """Guards against 1.6 s more of requests to a server that left.

    Entries lapse only if servers could not write for two of their write
    intervals. A single call that is cut or rejected shows no such outage: an
    entry that is missing after it belongs to a server that left.
    """
    servers = watchers.Watcher(
        cache=object_caches.ObjectCache(
            kind="servers", on_change=lambda changed, gone: None
        ),
        store=None,
        lines=log_lines.Lines(counters=counters.Counters()),
        bound_seconds=lambda: DRAIN_SECONDS,
        answers=hedged_calls.AnswerSignal(),
        polls_in_outage=False,
    )
    servers.cache.advance_known_at(clocks.now() - away)
    servers._record_failure(
        registrations.Unavailable(reason="cut", maybe_done=False)
    )
    servers._record_answer()
    assert (servers.lapse_ends() > clocks.now()) is lapsed
    # Another lost call soon after doesn't change that.
    servers.cache.advance_known_at(clocks.now())
    servers._record_failure(
        registrations.Unavailable(reason="cut", maybe_done=False)
    )
    assert (servers.lapse_ends() > clocks.now()) is lapsed
    servers._record_answer()
    assert (servers.lapse_ends() > clocks.now()) is lapsed


class _ScriptedStore:
    """A store whose watches stay open and whose polls return one change."""

    def __init__(self, found):
        self.found = found

    async def list(self, kind):
        return registrations.Listing(objects=[], revision=7)

    async def watch(self, kind, revision, seconds):
        if seconds:
            await asyncio.Event().wait()
        return self.found

    def is_receiving(self, *_):
        return False


def _changed(name, revision):
    entry = registrations.Stored(name=name, revision=revision, value={})
    return registrations.Changes(changed=[entry], removed=[], revision=revision)


def test_forwarded_changes_name_what_was_known_when_they_were_requested():
    """Guards against routers that miss for good that a server leaves."""

    async def run():
        forwarded = []
        servers = watchers.Watcher(
            cache=object_caches.ObjectCache(
                kind="servers", on_change=lambda changed, gone: None
            ),
            store=_ScriptedStore(_changed("p1", 9)),
            lines=log_lines.Lines(counters=counters.Counters()),
            bound_seconds=lambda: DRAIN_SECONDS,
            on_changes=lambda *found: forwarded.append(found),
            answers=hedged_calls.AnswerSignal(),
            polls_in_outage=False,
        )
        await servers._step()
        step = asyncio.ensure_future(servers._step())
        await asyncio.sleep(0.05)
        # A peer forwards a change while the watch is open.
        servers.cache.apply(_changed("p0", 8))
        servers.catch_up()
        await step
        return forwarded

    [[changes]] = asyncio.run(run())
    assert changes.revision == 9
    assert changes.after == 8


@with_world(routers=3, plain=1, runners=1)
async def test_one_router_polls_for_all(world):
    """Guards against polls by each router, since each call has a cost.

    One router polls and reports in its heartbeats that nothing changed, so the
    copies of all routers stay recent.
    """
    await world.until(
        lambda: all(
            len(each.peers.roster.present(clocks.now())) == 2
            for each in world.routers
        )
    )
    await asyncio.sleep(1.0)
    before = world.store.counts["GET servers"]
    oldest = 0.0
    began = clocks.now()
    while clocks.now() < began + 4.0:
        await asyncio.sleep(0.05)
        ages = [
            clocks.now() - each.kinds["servers"].cache.known_at
            for each in world.routers
        ]
        oldest = max(oldest, *ages)
    assert oldest < watchers.POLL_SHARES[-1] * DRAIN_SECONDS + 0.3
    early = watchers.POLL_SHARES[0] * DRAIN_SECONDS
    assert world.store.counts["GET servers"] - before <= 4.0 / early + 2


@with_world(routers=2, plain=1, runners=1)
async def test_a_heartbeat_counts_only_where_its_changes_are_known(world):
    """Guards against a router that takes an incomplete copy for complete.

    A heartbeat shows that nothing is newer only to a router that has all the
    changes known to the sender.
    """
    first, second = world.routers
    await world.until(lambda: second.peers.roster.present(clocks.now()))
    await _all_wait(world)
    copies = second.peers.replicator
    cache = copies.watching["servers"].cache
    heartbeat = first.peers._own_heartbeat(clocks.now())
    for ahead, age in ((1, -60_000), (0, -120_000)):
        # Negative ages, which no other source produces.
        heartbeat.known = {"servers": (cache.revision + ahead, age)}
        now = clocks.now()
        copies.merge_known(heartbeat, now)
        assert (cache.known_at > now + 1) is (ahead == 0)


@pytest.mark.parametrize(("eras", "counts"), [(0, True), (1, False)])
def test_a_heartbeat_counts_once_its_changes_have_arrived(eras, counts):
    """Guards against a poll of each router after a change told in between.

    Args:
        eras: number of eras between the heartbeat and the change.
        counts: whether the heartbeat then shows that nothing is newer.
    """
    cache = object_caches.ObjectCache(
        kind="config", on_change=lambda new, gone: None
    )
    cache.apply(registrations.Listing(objects=[], revision=6, era=1))
    cache.advance_known_at(100.0)
    cache.merge_confirmed((1, 7), 101.0)
    assert cache.known_at == 100.0
    stored = registrations.Stored(name="main", revision=7, value={}, era=1)
    cache.apply(
        registrations.Listing(objects=[stored], revision=7, era=1 + eras)
    )
    assert cache.known_at == (101.0 if counts else 100.0)


@with_world(routers=2, plain=1, runners=1)
async def test_heartbeats_to_and_fro_do_not_renew_a_copy(world):
    """Guards against a dead watch that heartbeats keep hidden."""
    transit = 0.2
    await _all_wait(world)
    known_at = clocks.now() + 60.0
    for each in world.routers:
        each.kinds["servers"].cache.known_at = known_at
    now = known_at
    for _ in range(20):
        for sender, receiver in (world.routers, reversed(world.routers)):
            heartbeat = sender.peers._own_heartbeat(now)
            now += transit
            receiver.peers.replicator.merge_known(heartbeat, now)
    for each in world.routers:
        assert each.kinds["servers"].cache.known_at < known_at + 0.5


@with_world(routers=2, plain=1, runners=1)
async def test_copies_do_not_stay_current_by_late_heartbeats(world):
    """Guards against routers that confirm each other's blind copies."""
    await world.until(
        lambda: all(
            each.peers.roster.present(clocks.now()) for each in world.routers
        )
    )
    await asyncio.sleep(1.0)
    caches = [each.kinds["servers"].cache for each in world.routers]
    for each in world.routers:
        _silence(each)
        _delay_heartbeats(each, 0.2)
    # Time for a poll that was sent before.
    await asyncio.sleep(0.3)
    newest = max(each.known_at for each in caches)
    await asyncio.sleep(3.0)
    assert max(each.known_at for each in caches) < newest + 0.1


def _delay_heartbeats(router, seconds):
    """Delays all heartbeats that a router receives."""
    handle = router.peers._handle_heartbeat
    loop = asyncio.get_running_loop()

    def handle_later(event, heartbeat):
        loop.call_later(seconds, handle, event, heartbeat)

    router.peers._handle_heartbeat = handle_later


@with_world(routers=2, plain=2, runners=1)
async def test_lapsed_entries_in_a_peers_listing_are_kept(world):
    """Guards against refusals after an outage although the servers run.

    The router that first reached the store kept servers with lapsed entries
    until they would return. A peer that got the listing from it dropped them at
    once, as the listing came without the time for which they are kept.
    """
    first, second = world.routers
    await world.until(lambda: first.peers.roster.present(clocks.now()))
    await _all_wait(world)
    for each in second.watchers:
        each.close()
        each.reached = False
    first.kinds["servers"].recovered_at = clocks.now()
    world.store.remove("servers", "p0")
    cache = second.kinds["servers"].cache
    await world.until(lambda: "p0" in first.updater.lapsed)
    await world.until(lambda: "p0" not in cache.objects)
    assert "p0" in second.view.servers.by_incarnation
    await world.until(
        lambda: "p0" not in second.view.servers.by_incarnation,
        seconds=DRAIN_SECONDS,
    )
