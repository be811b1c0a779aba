"""Ways by which a router could learn late that a server leaves.

A server that says so in the store serves on for a while and then ends. After
that while, `drain-ms`, nobody may send it a request. So a router must notice
whenever it may not have heard.
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

played = router_world.played
MODEL = router_world.MODEL
# For so long a server that leaves may get requests, by default.
DRAIN_SECONDS = 2.0


def knows(router, server="p0"):
    """Returns whether a router knows that a server leaves, or is gone."""
    found = router.view.servers.by_incarnation.get(server)
    return found is None or found.registration.leaving


async def _all_wait(world):
    """Returns when every wait for changes has begun."""
    await asyncio.sleep(0.3)


async def _outage(world):
    """Plays one that ends every wait, and swallows the calls made anew."""
    world.store.silent = True
    world.store.cut_watches()
    await asyncio.sleep(2.0)
    world.store.silent = False
    await asyncio.sleep(0.3)


def _silence(router):
    """Lets every call of a router to the store go without an answer."""

    async def unanswered(*_, **__):
        await asyncio.sleep(stores.CALL_SECONDS)
        return registrations.Unavailable(reason="silent", maybe_done=True)

    async def unheard(kind, revision, seconds):
        await asyncio.sleep(seconds)
        return await unanswered()

    router.store.watch = unheard
    for name in ("list", "read", "write"):
        setattr(router.store, name, unanswered)


@played(routers=2, plain=2, runners=1)
async def test_requests_reach_no_server_that_left_after_an_outage(world):
    """Guests' requests reached a server 2,041 ms after it said that it leaves.

    The store fell silent. Each router's wait for changes ended; it asked anew,
    to wait 20 s. A call that comes into an outage is never answered, also when
    it is over, so all routers heard of no server for 22 s. Evidence: the
    store's figures have one call of each router in the outage, without an
    answer, and none after it, while a server that had been gone for 9 s still
    counted as usable in what a choice went by.
    """
    await _outage(world)
    world.tell(world.servers["p0"], leaving=True)
    left = clocks.now()
    while clocks.now() < left + DRAIN_SECONDS + 0.5:
        for number in range(2):
            await world.ask("/notices/", number, body=b"n")
        await asyncio.sleep(0.02)
    last = max((each.at for each in world.servers["p0"].calls), default=0.0)
    assert last < left + DRAIN_SECONDS
    assert all(knows(each) for each in world.routers)


@played(routers=2, plain=1, runners=1)
async def test_revoked_keys_and_weights_are_heard_of_after_an_outage(world):
    """What travels the same way came as late: 22 s after an outage.

    A key that was taken away went on working, and requests went on to older
    weights, at every router whose wait for changes ended in the outage.
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


@played(plain=2, runners=1)
async def test_a_wait_that_the_network_forgot_is_found_out(world):
    """An open connection may go silent for good while new ones work.

    A lone router hears of no change on it, and nobody else can tell.
    """
    [router] = world.routers
    await _all_wait(world)
    world.store.forget_watches()
    world.tell(world.servers["p0"], leaving=True)
    await world.until(lambda: knows(router), seconds=DRAIN_SECONDS)


@played(routers=2, plain=2, runners=1)
async def test_a_router_whose_wait_is_unheard_heeds_the_others(world):
    """A router that waited on a dead call took no other's word for servers.

    Its heartbeats showed it the newer change; as it took itself to be
    watching, it asked nobody for it.
    """
    first, second = world.routers
    await world.until(lambda: first.peers.roster.present(clocks.now()))
    await _all_wait(world)
    _silence(second)
    # Ends the wait that was begun before.
    world.tell(world.servers["r0"], leaving=True)
    await world.until(lambda: knows(first, "r0"))
    await world.until(lambda: knows(second, "r0"))
    await _all_wait(world)
    world.tell(world.servers["p0"], leaving=True)
    await world.until(lambda: knows(second), seconds=DRAIN_SECONDS)


async def _none_hears_of_many(world, *, cut_off):
    """Plays that the calls of those who watch for all others are dead."""
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
    world.tell(world.servers["r0"], leaving=True)
    await world.until(lambda: all(knows(each, "r0") for each in world.routers))
    await _all_wait(world)
    watching = [
        each for each in world.routers if each.kinds["servers"].watching
    ]
    assert watching
    for each in watching if cut_off else ():
        _silence(each)
    world.store.forget_watches()
    world.tell(world.servers["p0"], leaving=True)
    await world.until(
        lambda: all(knows(each) for each in world.routers),
        seconds=DRAIN_SECONDS,
    )


@played(routers=13, plain=2, runners=1)
async def test_those_for_whom_others_wait_find_out_that_nobody_hears(world):
    """With many routers two wait for all; both may wait on dead calls.

    They went on to give signs that they watch, so the others asked nobody.
    """
    await _none_hears_of_many(world, cut_off=False)


@played(routers=13, plain=2, runners=1)
async def test_those_for_whom_others_wait_ask_when_these_reach_no_store(world):
    """The same, and the store is silent to those who watch, to no other."""
    await _none_hears_of_many(world, cut_off=True)


@played(plain=2, runners=1)
async def test_a_server_that_leaves_while_it_is_being_reached_gets_nothing(
    world,
):
    """A choice may be older than the news of the server's leaving.

    Opening a connection may take 0.6 s; the request was sent on it whatever
    had been heard meanwhile.
    """
    [router] = world.routers
    asked = await world.ask_while_opening("p0", "p1")
    world.tell(world.servers["p0"], leaving=True)
    await world.until(lambda: knows(router))
    assert (await asked).status == 200
    assert not world.servers["p0"].calls
    assert len(world.servers["p1"].calls) == 1


@played(plain=2, runners=1)
async def test_a_router_that_was_paused_asks_the_store_at_once(world):
    """A VM that was frozen doesn't know what it missed.

    It meant to ask the store as soon as it runs again; a router that waits
    for changes itself did not, and its wait may have been forgotten.
    """
    [router] = world.routers
    await _all_wait(world)
    world.store.forget_watches()
    world.tell(world.servers["p0"], leaving=True)
    await asyncio.sleep(0.1)
    assert not knows(router)
    router._ticked = clocks.now() - 5.0
    router.look_for_a_pause(clocks.now())
    await world.until(lambda: knows(router), seconds=0.3)


@pytest.mark.parametrize(("away", "lapsed"), [(0.3, False), (3.0, True)])
def test_only_a_long_outage_lets_entries_lapse(away, lapsed):
    """A server that had left got requests for 1.6 s more, after each lost call.

    Entries lapse only where servers could not write for two of the intervals
    at which they do. A call that is cut or turned away shows no such outage:
    what is gone then has left.
    """
    servers = watchers.Watcher(
        mirror=object_caches.ObjectCache(
            kind="servers", on_change=lambda changed, gone: None
        ),
        store=None,
        lines=log_lines.Lines(counters=counters.Counters()),
        bound_seconds=lambda: DRAIN_SECONDS,
        answers=hedged_calls.AnswerSignal(),
        polls_in_outage=False,
    )
    servers.mirror.advance_known_at(clocks.now() - away)
    servers._record_failure(
        registrations.Unavailable(reason="cut", maybe_done=False)
    )
    servers._record_answer()
    assert (servers.lapse_ends() > clocks.now()) is lapsed
    # A further call that is lost soon after takes nothing back.
    servers.mirror.advance_known_at(clocks.now())
    servers._record_failure(
        registrations.Unavailable(reason="cut", maybe_done=False)
    )
    assert (servers.lapse_ends() > clocks.now()) is lapsed
    servers._record_answer()
    assert (servers.lapse_ends() > clocks.now()) is lapsed


@played(routers=3, plain=1, runners=1)
async def test_one_router_looks_for_all(world):
    """Each call to the store is paid for, and each router would look.

    One looks, its heartbeats tell the others, and what all know stays young.
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
            clocks.now() - each.kinds["servers"].mirror.known_at
            for each in world.routers
        ]
        oldest = max(oldest, *ages)
    assert oldest < watchers.POLL_SHARES[-1] * DRAIN_SECONDS + 0.3
    early = watchers.POLL_SHARES[0] * DRAIN_SECONDS
    assert world.store.counts["GET servers"] - before <= 4.0 / early + 2


@played(routers=2, plain=1, runners=1)
async def test_a_heartbeat_freshens_only_where_all_it_knows_is_known(world):
    """A router that lacks a change must not take its list for whole.

    One that has heard of the change shows that there is none newer.
    """
    first, second = world.routers
    await world.until(lambda: second.peers.roster.present(clocks.now()))
    await _all_wait(world)
    copies = second.peers.replicator
    mirror = copies.watching["servers"].mirror
    beat = first.peers._own_beat(clocks.now())
    for ahead, age in ((1, -60_000), (0, -120_000)):
        # Ages from the time to come, which nothing else has.
        beat.known = {"servers": (mirror.revision + ahead, age)}
        now = clocks.now()
        copies.merge_known(beat, now)
        assert (mirror.known_at > now + 1) is (ahead == 0)


@played(routers=2, plain=2, runners=1)
async def test_lapsed_entries_are_not_dropped_on_another_routers_word(world):
    """Calls were refused after an outage, though the servers lived.

    A router that heard first from the store kept those whose entries had lapsed
    until they would be back. One that had the list from it dropped them at
    once: the list came without the time for which that router waits.
    """
    first, second = world.routers
    await world.until(lambda: first.peers.roster.present(clocks.now()))
    await _all_wait(world)
    for each in second.watchers:
        each.close()
        each.reached = False
    first.kinds["servers"].recovered_at = clocks.now()
    world.store.remove("servers", "p0")
    mirror = second.kinds["servers"].mirror
    await world.until(lambda: "p0" in first.updater.lapsed)
    await world.until(lambda: "p0" not in mirror.objects)
    assert "p0" in second.view.servers.by_incarnation
    await world.until(
        lambda: "p0" not in second.view.servers.by_incarnation,
        seconds=DRAIN_SECONDS,
    )
