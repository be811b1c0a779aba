"""Many routers: whom each writes to, and what all of them hear."""

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
from pimentoledge.routing import watch_shares
from pimentoledge.tests import router_world

played = router_world.played
MODEL = router_world.MODEL


def addresses(count):
    return [f"tcp://10.{n % 3}.{n // 250}.{n % 250}:7340" for n in range(count)]


def where(address):
    """Returns an address's data centre: its second number."""
    return address.split(".")[1]


def links_of(address, members):
    others = {each: where(each) for each in members if each != address}
    return heartbeat_rings.partners(address, where(address), others)


def graph(members):
    found = {}
    for each in members:
        near, far = links_of(each, members)
        found[each] = near + far
    return found


def steps_to_reach_all(links, alive):
    """Returns in how many steps news passes from one router to all."""
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
    """Whom a router writes to."""

    def test_few_routers_write_to_each_other(self):
        members = addresses(heartbeat_rings.ALL_TO_ALL + 1)
        for each, found in graph(members).items():
            assert sorted([*found, each]) == sorted(members)

    def test_what_a_router_sends_grows_with_the_logarithm(self):
        """At 350 routers heartbeats to all would take 650 KB/s of each."""
        for count in (23, 100, 350):
            links = graph(addresses(count))
            degrees = [len(found) for found in links.values()]
            assert sum(degrees) / count <= math.log2(count) + 5
            assert max(degrees) <= 4 * math.log2(count) + 6

    def test_links_hold_both_ways(self):
        """A router that is written to by few would hear news late."""
        links = graph(addresses(100))
        for each, found in links.items():
            assert all(each in links[other] for other in found)

    def test_few_links_leave_a_data_centre(self):
        """Bytes between data centres cost more than all calls to the store."""
        for count in (24, 100, 350):
            members = addresses(count)
            far = [len(links_of(each, members)[1]) for each in members]
            assert sum(far) / count <= 2.1

    def test_news_reach_all_in_few_steps(self):
        for count in (23, 100, 350):
            members = addresses(count)
            steps = steps_to_reach_all(graph(members), members)
            assert steps <= math.ceil(math.log2(count)) + 1

    def test_the_death_of_a_third_parts_nobody(self):
        """Many VMs lose power at once; the others must go on hearing news."""
        members = addresses(120)
        links = graph(members)
        for seed in range(20):
            alive = random.Random(seed).sample(members, 80)
            assert steps_to_reach_all(links, alive) is not None


class TestRosters:
    """Who is believed to live."""

    def roster(self):
        found = rosters.Roster(own="tcp://me:1", data_centre="0")
        found.add_seeds(["tcp://seed:1"], 100.0)
        return found

    def test_a_router_heard_by_others_alone_is_a_member(self):
        """The budget of repeats is shared by all, not by those heard here."""
        roster = self.roster()
        roster.merge_ages(
            {"1": {"tcp://far:1": 4000}, "0": {"tcp://me:1": 0}}, 100.0
        )
        roster.tick(100.0)
        assert roster.count(100.0) == 2
        assert "tcp://far:1" in roster.partners
        # Heard nobody for so long, it goes by all that it ever knew.
        assert roster.count(100.0 + rosters.MEMBER_SECONDS) == 3
        assert not roster.ages(100.0 + rosters.MEMBER_SECONDS)

    def test_who_died_is_not_kept_alive_by_hearsay(self):
        """Two routers that tell each other of a third must let it go."""
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

    def test_one_that_just_started_goes_by_what_others_count(self):
        """All VMs are killed at once; each then has heard three seeds.

        It would take a hundredth of the budget of repeats for a quarter.
        """
        roster = self.roster()
        roster.merge_ages({"0": {"tcp://seed:1": 0}}, 100.0)
        roster.merge_count(300, 1000, 100.0)
        assert roster.count(100.0) == 300
        roster.merge_count(20, 0, 101.0)
        assert roster.count(101.0) == 300
        assert roster.count_report(101.0) == (300, 2000)
        assert roster.count(100.0 + rosters.COUNT_SECONDS) == 2

    def test_one_that_is_not_heard_is_still_tried(self):
        """Two halves cut apart for minutes must find each other again."""
        roster = self.roster()
        roster.merge_ages({"0": dict.fromkeys(addresses(40), 0)}, 500.0)
        roster.tick(500.0)
        assert "tcp://seed:1" in roster.partners


class TestPulses:
    """Signs of life of the router that gives orders."""

    def parts(self):
        view = cluster_views.ClusterView(name="x", data_centre="a", born=0.0)
        lease = leases.Lease(holder="me", lease_seconds=3.0, revision=0)
        return (
            holder_heartbeats.HolderHeartbeats(lease=lease, view=view),
            lease,
            view,
        )

    def beat(self, of, now):
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

    def test_an_older_sign_does_not_bring_back_what_has_loaded(self):
        """A runner that has loaded must not be left alone again.

        Signs come over several ways, late ones after newer ones.
        """
        holder, lease, held = self.parts()
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
        held.servers.put(registration).loading_until = 20.9
        lease.wrote(registrations.Stored(name="", revision=7, value=None), 20.0)
        holder.own(20.0)
        early = self.beat(holder, 20.0)
        assert other.merge(early, 20.0)
        assert backend.loading_until == pytest.approx(20.9, abs=0.002)
        held.servers.by_incarnation["r"].loading_until = 0.0
        backend.loaded()
        holder.own(20.5)
        assert other.merge(self.beat(holder, 20.5), 20.5)
        assert not other.merge(early, 20.6)
        assert backend.usable(20.6)
        assert other.holder_is_alive(20.6)

    def test_a_holder_that_lost_the_lease_says_so(self):
        """A successor need not wait for its silence."""
        holder, lease, _ = self.parts()
        other, _, _ = self.parts()
        lease.wrote(registrations.Stored(name="", revision=7, value=None), 20.0)
        holder.own(20.0)
        other.merge(self.beat(holder, 20.0), 20.0)
        lease.learn(
            registrations.Stored(name="", revision=8, value={"holder": "b"}),
            20.2,
        )
        holder.own(20.3)
        assert other.merge(self.beat(holder, 20.3), 20.3)
        assert not other.holder_is_alive(20.3)
        before = holder.newest
        holder.own(20.8)
        assert holder.newest == before

    def test_silence_ends_a_holder(self):
        holder, lease, _ = self.parts()
        other, _, _ = self.parts()
        lease.wrote(registrations.Stored(name="", revision=7, value=None), 20.0)
        holder.own(20.0)
        other.merge(self.beat(holder, 20.0), 20.0)
        assert not other.holder_is_alive(
            20.0 + holder_heartbeats.SILENT_SECONDS
        )


class TestWatchShares:
    """Who watches the servers for all."""

    def shares(self, watching, own="tcp://me:1"):
        found = watch_shares.WatchShares(own=own)
        found.take(dict.fromkeys(watching, 0), 100.0)
        return found

    def test_the_first_by_rank_watch_for_the_rest(self):
        members = sorted(addresses(20), key=heartbeat_rings.place)
        for rank, each in enumerate(members):
            others = [other for other in members if other != each]
            shares = self.shares(others, own=each)
            shares.watches(100.0)
            assert shares.has_enough(rank, 100.0) is (
                rank >= watch_shares.WATCHERS
            )

    def test_the_death_of_one_makes_only_the_next_watch(self):
        """All that follow would call the store at once."""
        members = sorted(addresses(20), key=heartbeat_rings.place)
        left = members[1 : watch_shares.WATCHERS]
        watch = [
            each
            for rank, each in enumerate(members)
            if not self.shares(
                [other for other in left if other != each], own=each
            ).has_enough(rank, 100.0)
        ]
        assert members[watch_shares.WATCHERS] in watch
        assert len(watch) <= watch_shares.RESERVE

    def test_who_hears_of_no_watcher_watches(self):
        shares = self.shares(addresses(3))
        assert shares.has_enough(15, 100.0)
        later = 100.0 + watch_shares.FRESH_SECONDS + 0.1
        assert not shares.has_enough(15, later)


class TestTold:
    """Copies that are kept by what others tell."""

    def mirror(self):
        found = object_caches.ObjectCache(
            kind="servers", on_change=lambda changed, gone: None
        )
        found.apply(
            registrations.Listing(objects=[self.stored("a", 3)], revision=5)
        )
        return found

    def stored(self, name, revision):
        return registrations.Stored(name=name, revision=revision, value=None)

    def test_news_of_a_going_do_not_take_away_what_came_back(self):
        """A server that lapsed in an outage is back; all must use it.

        One watcher tells that it is gone, and that it is back; another, whose
        answer held both, tells again; then the first news arrive once more.
        """
        mirror = self.mirror()
        gone = registrations.Changes(
            changed=[], removed=[self.stored("a", 6)], revision=8
        )
        back = registrations.Changes(
            changed=[self.stored("a", 7)], removed=[], revision=8
        )
        assert mirror.apply(gone)
        assert mirror.apply(back)
        assert not mirror.apply(gone)
        assert "a" in mirror.objects

    def test_the_newest_change_is_known_also_where_it_is_a_going(self):
        mirror = self.mirror()
        assert mirror.changed_at == 3
        mirror.apply(
            registrations.Changes(
                changed=[], removed=[self.stored("a", 6)], revision=9
            )
        )
        assert (mirror.changed_at, mirror.revision) == (6, 9)


def _watching(routers):
    return [each for each in routers if each.kinds["servers"].watching]


async def _all_met(world):
    """Waits until each router knows of all others.

    What it counts may be what others count, long before that.
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
    """Waits until all routers but two let others watch.

    Which two depends on whose watch ended first: later ones of better rank
    find enough who watch.
    """
    await _all_met(world)
    await world.until(
        lambda: sum(
            not each.peers.replicator.follows() for each in world.routers
        )
        == watch_shares.WATCHERS,
        seconds=9,
    )
    # A change ends the watches that were begun before.
    world.tell(world.servers["r0"], leaving=True)
    await world.until(
        lambda: 0 < len(_watching(world.routers)) <= watch_shares.RESERVE
    )


@played(routers=13, plain=2, runners=2)
async def test_few_routers_watch_and_all_hear(world):
    """Each change would else cost a call to the store for each router.

    Then those who watch fall silent: the others must hear of a server that
    leaves all the same.
    """
    routers = world.routers
    await _few_watch(world)
    before = world.store.counts.get("GET servers", 0)
    world.tell(world.servers["p0"], leaving=True)

    def heard(who, name):
        return all(
            each.view.servers.by_incarnation[name].registration.leaving
            for each in who
        )

    await world.until(lambda: heard(routers, "p0"), seconds=1)
    calls = world.store.counts.get("GET servers", 0) - before
    assert calls < len(routers)
    silent = _watching(routers)
    for each in silent:
        _cut_off(each)
    others = [each for each in routers if each not in silent]
    world.tell(world.servers["p1"], leaving=True)
    await world.until(
        lambda: heard(others, "p1"), seconds=watch_shares.FRESH_SECONDS + 1.0
    )


def _cut_off(router):
    """Lets a router neither watch nor write to others."""
    for each in router.watchers:
        each.close()
    router.peers.beat = lambda now: None
    router.peers._send = lambda address, message, now: None


@played(routers=13, plain=2, runners=2)
async def test_a_router_that_missed_news_asks_the_store_once(world):
    """One that was frozen has a list that may be minutes old.

    What it is told next tells it that it missed something.
    """
    routers = world.routers
    await _few_watch(world)
    late = next(each for each in routers if each not in _watching(routers))
    take = late.peers.handle
    late.peers.handle = lambda event: None
    world.tell(world.servers["p0"], leaving=True)
    await world.until(
        lambda: all(
            each.view.servers.by_incarnation["p0"].registration.leaving
            for each in routers
            if each is not late
        )
    )
    late.peers.handle = take
    world.tell(world.servers["p1"], leaving=True)
    await world.until(
        lambda: all(
            late.view.servers.by_incarnation[each].registration.leaving
            for each in ("p0", "p1")
        ),
        seconds=2,
    )


@played(routers=13, plain=2, runners=4)
async def test_news_reach_routers_that_the_teller_does_not_write_to(world):
    """A job card that crashes servers comes again through a far router.

    With more routers than each writes to, what one of them tells must be
    passed on: content that killed servers, and runners that load.
    """
    await _all_met(world)
    # Where each stands follows from its port, and one before a large gap may
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
        first.view.suspects.record_break("content", incarnation, clocks.now())
        first.peers.server_died(incarnation)
    await world.until(
        lambda: all(
            each.view.suspects.is_quarantined("content", clocks.now())
            for each in far
        )
    )


@played(routers=13, plain=1, runners=4)
async def test_one_of_many_routers_gives_the_orders(world):
    """Each runner must load once, however many routers see that it is due."""
    await world.roll_out(2)
    assert world.routers[0].view.wanted[MODEL].version == 2
