"""Tests of large fleets: heartbeat partners, and forwarding of changes."""

import math
import random

import pytest

from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import holder_heartbeats
from pimentoledge.routing import leases
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import rosters
from pimentoledge.routing import server_deaths
from pimentoledge.routing import watch_shares
from pimentoledge.tests import router_world

with_world = router_world.with_world
MODEL = router_world.MODEL


def addresses(count):
    return [f"tcp://10.{n % 3}.{n // 250}.{n % 250}:7340" for n in range(count)]


def where(address):
    """Returns an address's data centre, which is its second number."""
    return address.split(".")[1]


def links_of(address, members):
    others = {each: where(each) for each in members if each != address}
    return heartbeat_rings.partners(address, where(address), others)


def graph(members):
    links = {}
    for each in members:
        near, far = links_of(each, members)
        links[each] = near + far
    return links


def steps_to_reach_all(links, alive):
    """Returns the number of steps in which a change reaches all routers."""
    reached = {alive[0]}
    edge = set(reached)
    steps = 0
    while edge:
        edge = {
            to for each in edge for to in links[each] if to in set(alive)
        } - reached
        reached |= edge
        steps += bool(edge)
    return steps if len(reached) == len(alive) else None


class TestRings:
    """Heartbeat partners of a router."""

    def test_small_fleets_are_fully_connected(self):
        members = addresses(heartbeat_rings.ALL_TO_ALL + 1)
        for each, partners in graph(members).items():
            assert sorted([*partners, each]) == sorted(members)

    def test_number_of_partners_grows_logarithmically(self):
        """With 350 routers, heartbeats to all would cost each 650 KB/s."""
        for count in (23, 100, 350):
            links = graph(addresses(count))
            degrees = [len(partners) for partners in links.values()]
            assert sum(degrees) / count <= math.log2(count) + 5
            assert max(degrees) <= 4 * math.log2(count) + 6

    def test_links_are_symmetric(self):
        """A router with few senders would receive changes late."""
        links = graph(addresses(100))
        for each, partners in links.items():
            assert all(each in links[other] for other in partners)

    def test_few_links_leave_a_data_centre(self):
        """Traffic between data centres costs more than all store calls."""
        for count in (24, 100, 350):
            members = addresses(count)
            far = [len(links_of(each, members)[1]) for each in members]
            assert sum(far) / count <= 2.1

    def test_changes_reach_all_routers_in_few_steps(self):
        for count in (23, 100, 350):
            members = addresses(count)
            steps = steps_to_reach_all(graph(members), members)
            assert steps <= math.ceil(math.log2(count)) + 1

    def test_loss_of_a_third_of_routers_causes_no_partition(self):
        """Changes must still reach all routers after many VMs lose power."""
        members = addresses(120)
        links = graph(members)
        for seed in range(20):
            alive = random.Random(seed).sample(members, 80)
            assert steps_to_reach_all(links, alive) is not None


class TestRosters:
    """Membership of routers."""

    def roster(self):
        new_roster = rosters.Roster(own="tcp://me:1", data_centre="0")
        new_roster.add_seeds(["tcp://seed:1"], 100.0)
        return new_roster

    def test_a_router_known_only_through_peers_is_a_member(self):
        """All routers share the retry budget, not only direct neighbours."""
        roster = self.roster()
        roster.merge_ages(
            {"1": {"tcp://far:1": 4000}, "0": {"tcp://me:1": 0}}, 100.0
        )
        roster.tick(100.0)
        assert roster.count(100.0) == 2
        assert "tcp://far:1" in roster.partners
        # Without any members it counts all routers that it knows of.
        assert roster.count(100.0 + rosters.MEMBER_SECONDS) == 3
        assert not roster.ages(100.0 + rosters.MEMBER_SECONDS)

    def test_forwarded_ages_do_not_keep_a_dead_router_alive(self):
        """Two routers that report a third to each other must remove it."""
        one, two = self.roster(), self.roster()
        one.merge_ages({"0": {"tcp://gone:1": 0}}, 100.0)
        now = 100.0
        while now < 100.0 + rosters.FORGET_SECONDS + 1:
            two.merge_ages(one.ages(now), now)
            one.merge_ages(two.ages(now), now)
            one.tick(now)
            two.tick(now)
            now += 0.5
        assert "tcp://gone:1" not in one.known
        assert "tcp://gone:1" not in two.known

    def test_a_router_that_just_started_uses_the_count_of_peers(self):
        """A restarted router must not take too large a share of the budget.

        After all VMs were killed at once, each has heartbeats of three seeds
        only. By its own count it would use a quarter of the retry budget
        instead of a hundredth.
        """
        roster = self.roster()
        roster.merge_ages({"0": {"tcp://seed:1": 0}}, 100.0)
        roster.merge_count(300, 1000, 100.0)
        assert roster.count(100.0) == 300
        roster.merge_count(20, 0, 101.0)
        assert roster.count(101.0) == 300
        assert roster.count_report(101.0) == (300, 2000)
        assert roster.count(100.0 + rosters.COUNT_SECONDS) == 2

    def test_a_count_that_routers_forward_to_each_other_expires(self):
        """Guards against a budget divided by routers that are long gone."""
        transit = 0.2
        pair = [self.roster(), self.roster()]
        pair[0].merge_count(300, 0, 100.0)
        now = 100.0
        while now < 100.0 + 2 * rosters.COUNT_SECONDS:
            for sender, receiver in (pair, reversed(pair)):
                told = sender.count_report(now)
                receiver.merge_count(*told, now + transit)
            now += 0.5
        assert max(each.count(now) for each in pair) < 300

    def test_a_router_without_heartbeats_is_still_probed(self):
        """Two halves must reconnect after a partition of some minutes."""
        roster = self.roster()
        roster.merge_ages({"0": dict.fromkeys(addresses(40), 0)}, 500.0)
        roster.tick(500.0)
        assert "tcp://seed:1" in roster.partners


class TestHolderHeartbeats:
    """Heartbeats of the lease holder."""

    def parts(self):
        view = cluster_views.ClusterView(
            name="x", data_centre="a", started_at=0.0
        )
        lease = leases.Lease(holder="me", lease_seconds=3.0, revision=0)
        return (
            holder_heartbeats.HolderHeartbeats(lease=lease, view=view),
            lease,
            view,
        )

    def heartbeat(self, of, now):
        return peer_messages.Heartbeat(
            data_centre="a",
            counted=(1, 0),
            wanted={},
            known={"servers": (1, 0)},
            store_reached=True,
            lease_revision=1,
            lease_holder="",
            lease_ms=0,
            leaving=False,
            pulse=of.newest,
            holding=of.holding,
            loading=of.loading_servers(now),
        )

    def test_an_older_heartbeat_does_not_mark_a_server_as_loading_again(self):
        """A runner that has finished loading must stay usable.

        Heartbeats are forwarded on several paths, so that older ones can
        arrive after newer ones.
        """
        holder, lease, holder_view = self.parts()
        other, _, view = self.parts()
        registration = registrations.Registration(
            server="r",
            service="s",
            address="1.1.1.1:1",
            data_centre="a",
            slots=8,
            leaving=False,
            weights={"m": 1},
        )
        backend = view.servers.put(registration)
        holder_view.servers.put(registration).loading_until = 20.9
        lease.record_write(
            registrations.Stored(name="", revision=7, value=None), 20.0
        )
        holder.record_own(20.0)
        early = self.heartbeat(holder, 20.0)
        assert other.merge(early, 20.0)
        assert backend.loading_until == pytest.approx(20.9, abs=0.002)
        holder_view.servers.by_incarnation["r"].loading_until = 0.0
        backend.finish_loading()
        holder.record_own(20.5)
        assert other.merge(self.heartbeat(holder, 20.5), 20.5)
        assert not other.merge(early, 20.6)
        assert backend.usable(20.6)
        assert other.holder_is_alive(20.6)

    def test_a_holder_that_lost_the_lease_announces_it(self):
        """Its successor must not have to wait until its heartbeats expire."""
        holder, lease, _ = self.parts()
        other, _, _ = self.parts()
        lease.record_write(
            registrations.Stored(name="", revision=7, value=None), 20.0
        )
        holder.record_own(20.0)
        other.merge(self.heartbeat(holder, 20.0), 20.0)
        lease.learn(
            registrations.Stored(name="", revision=8, value={"holder": "b"}),
            20.2,
        )
        holder.record_own(20.3)
        assert other.merge(self.heartbeat(holder, 20.3), 20.3)
        assert not other.holder_is_alive(20.3)
        before = holder.newest
        holder.record_own(20.8)
        assert holder.newest == before

    def test_a_succeeded_holder_does_not_hide_its_successor(self):
        """Guards against a successor's heartbeat replaced by an older one.

        A holder whose store doesn't answer may receive its successor's
        heartbeat before it knows of the succession.
        """
        holder, lease, _ = self.parts()
        successor, later, _ = self.parts()
        lease.record_write(
            registrations.Stored(name="", revision=7, value=None), 20.0
        )
        holder.record_own(20.0)
        later.record_write(
            registrations.Stored(name="", revision=8, value=None), 20.1
        )
        successor.record_own(20.1)
        assert holder.merge(self.heartbeat(successor, 20.1), 20.2)
        holder.record_own(20.3)
        assert holder.newest == successor.newest
        successor.record_own(20.6)
        assert holder.merge(self.heartbeat(successor, 20.6), 20.7)

    def test_a_holder_without_recent_heartbeats_is_not_alive(self):
        holder, lease, _ = self.parts()
        other, _, _ = self.parts()
        lease.record_write(
            registrations.Stored(name="", revision=7, value=None), 20.0
        )
        holder.record_own(20.0)
        other.merge(self.heartbeat(holder, 20.0), 20.0)
        assert not other.holder_is_alive(
            20.0 + holder_heartbeats.SILENT_SECONDS
        )


class TestWatchShares:
    """Choice of the routers that watch the servers for all."""

    def shares(self, watching, own="tcp://me:1"):
        new_shares = watch_shares.WatchShares(own=own)
        new_shares.merge_ages(dict.fromkeys(watching, 0), 100.0)
        return new_shares

    def test_the_first_by_rank_watch_for_the_rest(self):
        members = sorted(addresses(20), key=heartbeat_rings.ring_position)
        for rank, each in enumerate(members):
            others = [other for other in members if other != each]
            shares = self.shares(others, own=each)
            shares.record_own(100.0)
            assert shares.has_enough(rank, 100.0) is (
                rank >= watch_shares.WATCHERS
            )

    def test_after_a_watcher_dies_only_the_standbys_watch(self):
        """Otherwise all routers relying on it would call the store at once."""
        members = sorted(addresses(20), key=heartbeat_rings.ring_position)
        left = members[1 : watch_shares.WATCHERS]
        watch = [
            each
            for rank, each in enumerate(members)
            if not self.shares(
                [other for other in left if other != each], own=each
            ).has_enough(rank, 100.0)
        ]
        assert members[watch_shares.WATCHERS] in watch
        assert len(watch) <= watch_shares.STANDBYS

    def test_a_router_without_known_watchers_watches_itself(self):
        shares = self.shares(addresses(3))
        assert shares.has_enough(15, 100.0)
        later = 100.0 + watch_shares.FRESH_SECONDS + 0.1
        assert not shares.has_enough(15, later)


class TestForwardedChanges:
    """Copies of stored objects that are updated by forwarded changes."""

    def new_cache(self):
        cache = object_caches.ObjectCache(
            kind="servers", on_change=lambda changed, gone: None
        )
        cache.apply(
            registrations.Listing(objects=[self.stored("a", 3)], revision=5)
        )
        return cache

    def stored(self, name, revision):
        return registrations.Stored(name=name, revision=revision, value=None)

    def test_a_repeated_removal_does_not_remove_a_server_that_returned(self):
        """A server whose entry expired in an outage and returned must be used.

        Watchers forward its removal and its return, so that the removal can
        arrive again after the return.
        """
        cache = self.new_cache()
        gone = registrations.Changes(
            changed=[], removed=[self.stored("a", 6)], revision=8
        )
        back = registrations.Changes(
            changed=[self.stored("a", 7)], removed=[], revision=8
        )
        assert cache.apply(gone)
        assert cache.apply(back)
        assert not cache.apply(gone)
        assert "a" in cache.objects

    def test_a_removal_counts_as_the_newest_change(self):
        cache = self.new_cache()
        assert cache.changed_at == 3
        cache.apply(
            registrations.Changes(
                changed=[], removed=[self.stored("a", 6)], revision=9
            )
        )
        assert (cache.changed_at, cache.revision) == (6, 9)


def _watching(routers):
    return [each for each in routers if each.kinds["servers"].watching]


async def _all_known(world):
    """Waits until each router has all others as members.

    Its count of routers doesn't show that, since it may come from peers.
    """
    others = len(world.routers) - 1
    await world.until(
        lambda: all(
            len(each.peers.roster.members(clocks.now())) == others
            for each in world.routers
        ),
        seconds=9,
    )


async def _few_watch(world):
    """Waits until all routers but two rely on the watches of others.

    Which two depends on whose watch ended first: a router of a better rank
    whose watch ends later finds enough watchers.
    """
    await _all_known(world)
    await world.until(
        lambda: sum(
            not each.peers.replicator.follows() for each in world.routers
        )
        == watch_shares.WATCHERS,
        seconds=9,
    )
    # A change ends the watches that are still open.
    world.write_registration(world.servers["r0"], leaving=True)
    await world.until(
        lambda: 0 < len(_watching(world.routers)) <= watch_shares.STANDBYS
    )


@with_world(routers=13, plain=2, runners=2)
async def test_few_routers_watch_and_all_receive_changes(world):
    """Guards against a call to the store per change from each router.

    After the watchers are cut off, the other routers must still receive a
    server's drain.
    """
    routers = world.routers
    await _few_watch(world)
    before = world.store.counts.get("GET servers", 0)
    world.write_registration(world.servers["p0"], leaving=True)

    def seen_leaving(by, name):
        return all(
            each.view.servers.by_incarnation[name].registration.leaving
            for each in by
        )

    await world.until(lambda: seen_leaving(routers, "p0"), seconds=1)
    calls = world.store.counts.get("GET servers", 0) - before
    assert calls < len(routers)
    cut_off = _watching(routers)
    for each in cut_off:
        _cut_off(each)
    others = [each for each in routers if each not in cut_off]
    world.write_registration(world.servers["p1"], leaving=True)
    await world.until(
        lambda: seen_leaving(others, "p1"),
        seconds=watch_shares.FRESH_SECONDS + 1.0,
    )


def _cut_off(router):
    """Stops a router's watches and its messages to peers."""
    for each in router.watchers:
        each.close()
    router.peers.send_heartbeat = lambda now: None
    router.peers._send = lambda address, message, now: None


@with_world(routers=13, plain=2, runners=2)
async def test_a_router_that_missed_changes_catches_up(world):
    """A router that was paused may have a list that is minutes old.

    The next changes that it receives show that it has missed some.
    """
    routers = world.routers
    await _few_watch(world)
    late = next(each for each in routers if each not in _watching(routers))
    handle = late.peers.handle
    late.peers.handle = lambda event: None
    world.write_registration(world.servers["p0"], leaving=True)
    await world.until(
        lambda: all(
            each.view.servers.by_incarnation["p0"].registration.leaving
            for each in routers
            if each is not late
        )
    )
    late.peers.handle = handle
    world.write_registration(world.servers["p1"], leaving=True)
    await world.until(
        lambda: all(
            late.view.servers.by_incarnation[each].registration.leaving
            for each in ("p0", "p1")
        ),
        seconds=2,
    )


@with_world(routers=13, plain=2, runners=4)
async def test_crash_reports_reach_routers_that_are_not_partners(world):
    """A request that crashes servers may be repeated through any router.

    In a fleet with more routers than each has partners, reports of such
    requests must be forwarded.
    """
    await _all_known(world)
    # Ring positions follow from the ports, and a router before a large gap may
    # be linked with all others; the one with the fewest links never is.
    first = min(world.routers, key=lambda each: len(each.peers.roster.partners))
    far = [
        each
        for each in world.routers
        if each is not first
        and each.peers.address not in first.peers.roster.partners
    ]
    assert far
    for incarnation in ("p0", "p1"):
        now = clocks.now()
        first.view.suspects.record_break(
            [server_deaths.Subject(key="content")],
            incarnation,
            sent=now,
            now=now,
        )
        first.peers.server_died(incarnation)
    await world.until(
        lambda: all(
            each.view.suspects.is_quarantined("content", clocks.now())
            for each in far
        )
    )


@with_world(routers=13, plain=1, runners=4)
async def test_one_of_many_routers_sends_the_rollout_orders(world):
    """Each runner must load once, though many routers see that it is due."""
    await world.roll_out(2)
    assert world.routers[0].view.wanted[MODEL].version == 2
