"""Tests of routers before a store that is restored from an older copy."""

import asyncio
import collections

import pytest

from pimentoledge.platform import objects as platform_objects
from pimentoledge.routing import clocks
from pimentoledge.routing import object_caches
from pimentoledge.routing import object_merges
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import view_updaters
from pimentoledge.tests import router_world
from pimentoledge.tests.test_router_leaving import _silence
from pimentoledge.tests.test_router_leaving import has_seen_leaving
from pimentoledge.tests.test_router_rings import _few_watch
from pimentoledge.tests.test_router_store import following

with_world = router_world.with_world

# Rounds of changes that the store acknowledges and loses.
LOST_ROUNDS = 20
# Within this time of a restore each router must know the restored state.
RESTORED_SECONDS = 1.5
# The same for a fleet in which most routers follow the watches of others: from
# then on bounds count again after a disturbance of the store.
FLEET_RESTORED_SECONDS = 3.0


async def _spend_revisions(world, rounds=LOST_ROUNDS):
    """Changes objects of each kind, and waits until all routers know."""
    begin = world.store.objects.revision
    for number in range(rounds):
        world.store.put("config", "other", {"number": number})
        model = {"model": "other", "version": number + 1}
        world.store.put("versions", "other", model)
        entry = world.servers["r0"].entry()
        world.store.put("servers", "other", entry | {"slots": number + 1})
    await world.until(
        lambda: all(
            each.cache.revision > begin + 3 * (rounds - 1)
            for router in world.routers
            for each in router.watchers
        ),
        seconds=3,
    )


async def _restore(world, backup, away_seconds=0.3):
    """Makes the store unavailable, and restores a copy of it."""
    world.store.objects.down = True
    world.store.cut_watches()
    await asyncio.sleep(away_seconds)
    world.store.objects.restore(backup)
    world.store.objects.down = False


async def _restore_removed_server(world, router):
    """Restores a copy of the store from before a server was removed."""
    backup = world.store.objects.back_up()
    world.store.remove("servers", "p0")
    await world.until(
        lambda: "p0" not in router.view.servers.by_server, seconds=3
    )
    await _restore(world, backup)


async def _check_unused(world):
    """Checks that requests reach the other server only."""
    for _ in range(10):
        await world.request("/notices/", body=b"n")
    assert not world.servers["p0"].calls


def _leaves(world, server="p0"):
    world.write_registration(world.servers[server], leaving=True)


@with_world(routers=2, runners=1)
async def test_a_server_that_leaves_after_a_restore_is_avoided(world):
    """Guards against changes dropped for their lower revisions."""
    backup = world.store.objects.back_up()
    await _spend_revisions(world)
    await _restore(world, backup)
    _leaves(world)
    await world.until(
        lambda: all(map(has_seen_leaving, world.routers)),
        seconds=RESTORED_SECONDS,
    )


@with_world(routers=1, runners=1)
async def test_a_configuration_after_a_restore_comes_into_force(world):
    """Guards against a revoked key that stays in force after a restore."""
    backup = world.store.objects.back_up()
    await _spend_revisions(world)
    await _restore(world, backup)
    spec = router_world.configuration(7, tenants=[])
    world.store.put("config", "main", spec)
    [router] = world.routers
    await world.until(
        lambda: router.view.configuration.version == 7,
        seconds=RESTORED_SECONDS,
    )


@with_world(routers=1, runners=1)
async def test_a_router_relists_when_revisions_were_given_out_again(world):
    """Guards against a watch that goes on from a revision of another era."""
    backup = world.store.objects.back_up()
    await _spend_revisions(world, 2)
    world.store.objects.restore(backup)
    _leaves(world)
    world.store.put("others", "a", {})
    for number in range(9):
        world.store.put("others", "b", {"number": number})
    await world.until(
        lambda: has_seen_leaving(world.routers[0]), seconds=RESTORED_SECONDS
    )


@with_world(routers=1, runners=1)
async def test_a_restored_entry_does_not_take_back_a_leaving(world):
    """Guards against requests to a server whose leaving the store forgot."""
    [router] = world.routers
    backup = world.store.objects.back_up()
    _leaves(world)
    await world.until(lambda: has_seen_leaving(router))
    await _restore(world, backup)
    await _spend_revisions(world)
    assert has_seen_leaving(router)
    await _check_unused(world)


@with_world(routers=1, runners=1)
async def test_a_restored_entry_of_a_removed_server_is_not_used(world):
    """Guards against requests to a server whose removal the store forgot."""
    [router] = world.routers
    await _restore_removed_server(world, router)
    await _spend_revisions(world)
    assert "p0" not in router.view.servers.by_server
    await _check_unused(world)


@with_world(routers=1, runners=1)
async def test_a_server_that_the_restored_store_lacks_stays_in_use(world):
    """Guards against 503s until servers have registered again."""
    [router] = world.routers
    backup = world.store.objects.back_up()
    world.platform.add_server("p9", service="plain")
    await world.until(lambda: "p9" in router.view.servers.by_server)
    await _restore(world, backup)
    await asyncio.sleep(RESTORED_SECONDS - 0.5)
    assert "p9" in router.view.servers.by_server


@with_world(routers=2, runners=1)
async def test_a_router_that_starts_after_a_restore_gets_the_revoked_key(world):
    """Guards against a revoked key that an older copy puts in force again."""
    backup = world.store.objects.back_up()
    await _spend_revisions(world)
    world.store.put("config", "main", router_world.configuration(5, tenants=[]))
    await world.until(
        lambda: all(
            each.view.configuration.version == 5 for each in world.routers
        )
    )
    await _restore(world, backup)
    await _check_late_router_has_configuration(world, version=5)


@with_world(routers=2, runners=1)
async def test_a_router_that_starts_after_others_relisted_gets_the_revoked_key(
    world,
):
    """Guards against a kept version that is dropped for its equal position."""
    backup = world.store.objects.back_up()
    world.store.put("config", "main", router_world.configuration(5, tenants=[]))
    await world.until(
        lambda: all(
            each.view.configuration.version == 5 for each in world.routers
        )
    )
    await _restore(world, backup)
    era = world.store.objects.era
    await world.until(
        lambda: all(
            each.kinds["configuration"].cache.era == era
            for each in world.routers
        )
    )
    await _check_late_router_has_configuration(world, version=5)


async def _check_late_router_has_configuration(world, *, version):
    """Starts a router and waits until it uses a version."""
    ports = [
        int(each.chosen.text("peer-listen").rpartition(":")[2])
        for each in world.routers
    ]
    late = await world.add_router("late", router_world.free_port(), ports)
    await world.until(
        lambda: late.view.ready() and late.view.configuration.version == version
    )


@with_world(routers=2, plain=1, runners=2)
async def test_orders_after_a_restore_have_higher_fencing_tokens(world):
    """Guards against a fencing token that is given out twice."""
    backup = world.store.objects.back_up()
    before = await world.roll_out(2)
    await _restore(world, backup)
    for each in world.servers.values():
        each.orders.clear()
    after = await world.roll_out(3)
    assert min(each["fence"] for each in after) > max(
        each["fence"] for each in before
    )


@with_world(routers=2, runners=1)
async def test_a_heartbeat_of_a_former_era_confirms_no_copy(world):
    """Guards against a blind copy that counts as current."""
    first, second = world.routers
    backup = world.store.objects.back_up()
    await _spend_revisions(world)
    _silence(second)
    second.store.address = "127.0.0.1:9"
    await asyncio.sleep(0.1)
    world.store.objects.restore(backup)
    _leaves(world)
    await world.until(lambda: has_seen_leaving(first), seconds=3)
    await world.until(
        lambda: has_seen_leaving(second), seconds=RESTORED_SECONDS
    )


class RestoredStore:
    """A store of which each watch is answered from a later era.

    Attributes:
        listings: number of listings so far, by kind.
    """

    def __init__(self):
        self.listings = collections.Counter()

    async def list(self, kind):
        self.listings[kind] += 1
        return registrations.Listing(
            objects=[], revision=7, era=min(2, self.listings[kind])
        )

    def is_receiving(self, kind, now, most_seconds):
        """Returns whether an answer is arriving; here they arrive at once."""
        return False

    def forget_connections(self):
        """Does nothing: this store has no connections."""

    async def watch(self, kind, revision, seconds):
        await asyncio.sleep(min(seconds, 0.1))
        return registrations.Changes(changed=[], removed=[], revision=9, era=2)


def test_a_watch_that_is_answered_from_a_later_era_needs_a_listing():
    """Guards against changes that are applied to a copy of another era."""

    async def play():
        store = RestoredStore()
        async with following(store):
            await asyncio.sleep(0.6)
        assert set(store.listings.values()) == {2}

    asyncio.run(play())


def test_the_era_of_a_response_is_that_of_its_objects():
    item = {"metadata": {"name": "a", "rev": 3}, "spec": {}}
    stored = platform_objects.decode_stored(item, 4)
    assert stored.position == (4, 3)


@with_world(routers=1, runners=1)
async def test_the_size_of_the_fleet_is_written_again_after_a_restore(world):
    """Guards against a router that starts and finds no size of the fleet."""
    [router] = world.routers
    size = router.peers.fleet_size
    size.started_at = clocks.now() - 60
    backup = world.store.objects.back_up()
    path = "router-leases/fleet"
    await world.until(lambda: path in world.store.objects.objects, seconds=8)
    await _restore(world, backup)
    assert path not in world.store.objects.objects
    await world.until(lambda: path in world.store.objects.objects, seconds=8)


def _entry(era, *, leaving, heartbeats):
    fields = {
        "service": "plain",
        "address": "127.0.0.1:9",
        "zone": "a",
        "state": "draining" if leaving else "ready",
        "seq": heartbeats,
    }
    return registrations.Stored(name="p", revision=5, value=fields, era=era)


@pytest.mark.parametrize(
    ("before", "after", "leaving"), [(7, 6, True), (7, 7, True), (7, 8, False)]
)
def test_only_a_later_heartbeat_takes_back_a_leaving(before, after, leaving):
    merge = object_merges.registrations_merge(
        platform_objects.decode_registration, platform_objects.heartbeat_count
    )
    kept = merge(
        _entry(1, leaving=True, heartbeats=before),
        _entry(2, leaving=False, heartbeats=after),
    )
    assert platform_objects.decode_registration(kept).leaving is leaving
    assert kept.position == (2, 5)


@with_world(routers=1, runners=1)
async def test_a_removed_server_whose_restored_entry_stays_is_used(world):
    """Guards against a server that is never used again after a restore."""
    [router] = world.routers
    await _restore_removed_server(world, router)
    await world.until(lambda: router.updater.withheld, seconds=RESTORED_SECONDS)
    router.updater.tick(
        clocks.now() + view_updaters.RESTORED_ENTRY_SECONDS + 0.1
    )
    assert "p0" in router.view.servers.by_server


@with_world(routers=13, plain=2, runners=2)
async def test_all_of_many_routers_know_a_restored_store(world):
    """Guards against routers that follow the copies of a former era."""
    await _few_watch(world)
    backup = world.store.objects.back_up()
    for number in range(LOST_ROUNDS):
        entry = world.servers["p1"].entry()
        world.store.put("servers", "other", entry | {"slots": number + 1})
    begin = world.store.objects.revision
    await world.until(
        lambda: all(
            each.kinds["servers"].cache.revision >= begin
            for each in world.routers
        )
    )
    await _restore(world, backup)
    _leaves(world)
    await world.until(
        lambda: all(map(has_seen_leaving, world.routers)),
        seconds=FLEET_RESTORED_SECONDS,
    )


class OvertakenStore(RestoredStore):
    """A store whose second era a peer's listing shows before its own answer.

    Attributes:
        overtake: called while a watch waits.
    """

    async def list(self, kind):
        self.listings[kind] += 1
        return registrations.Listing(
            objects=[], revision=78, era=min(2, self.listings[kind])
        )

    async def watch(self, kind, revision, seconds):
        await asyncio.sleep(0.05)
        self.overtake(kind)
        return registrations.Changes(changed=[], removed=[], revision=80, era=2)


def test_a_watch_from_a_former_era_does_not_continue_a_peers_listing():
    """Guards against changes that are missed between a listing and a watch."""

    async def play():
        store = OvertakenStore()
        async with following(store) as found:
            peers = registrations.Listing(objects=[], revision=60, era=2)
            store.overtake = lambda kind: found[kind].cache.apply(peers)
            await asyncio.sleep(0.4)
        assert set(store.listings.values()) == {2}

    asyncio.run(play())


def test_of_one_incarnation_the_entry_with_more_heartbeats_is_kept():
    """Guards against weights of a server that an older entry takes back."""
    merge = object_merges.registrations_merge(
        platform_objects.decode_registration, platform_objects.heartbeat_count
    )
    before = _entry(1, leaving=False, heartbeats=7)
    before.value["slots"] = 9
    kept = merge(before, _entry(2, leaving=False, heartbeats=6))
    assert platform_objects.decode_registration(kept).slots == 9


def test_weights_that_the_restored_store_lacks_are_kept_for_peers():
    """Guards against a named version that a router no longer passes on."""
    cache = object_caches.ObjectCache(
        kind="weights", on_change=lambda new, gone: None, keeps_missing=True
    )
    named = registrations.Stored(name="m", revision=9, value={}, era=1)
    cache.apply(registrations.Listing(objects=[named], revision=9, era=1))
    cache.apply(registrations.Listing(objects=[], revision=7, era=2))
    assert cache.position == (2, 7)
    assert cache.listing().objects == [named]


@with_world(routers=2, plain=1, runners=1)
async def test_a_heartbeat_counts_only_for_a_copy_of_its_era(world):
    """Guards against a copy that another era's heartbeat shows as current."""
    first, second = world.routers
    heartbeat = second.peers._own_heartbeat(clocks.now())
    cache = first.kinds["servers"].cache
    for era, is_confirmed in ((cache.era + 1, False), (cache.era, True)):
        heartbeat.eras["servers"] = era
        heartbeat.known["servers"] = (0, 0)
        later = clocks.now() + 100.0
        first.peers.replicator.merge_known(heartbeat, later)
        assert (cache.known_at == later) is is_confirmed


@with_world(routers=1, plain=1, runners=1)
async def test_forwarded_changes_of_another_era_are_not_applied(world):
    """Guards against a follower that misses what lies between two eras."""
    [router] = world.routers
    cache = router.kinds["servers"].cache
    position = cache.position
    watched = peer_messages.WatchedChanges(
        after=0,
        changes=registrations.Changes(
            changed=[], removed=[], revision=90, era=cache.era + 1
        ),
        lapse_ms=0,
    )
    router.peers.replicator.receive_changes("tcp://127.0.0.1:9", watched)
    assert cache.position == position
    assert router.kinds["servers"]._poll_requested.is_set()
