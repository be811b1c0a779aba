"""Tests of peer messages that a network partition delayed."""

import asyncio

import attrs

from pimentoledge.decisions import events
from pimentoledge.routing import clocks
from pimentoledge.routing import delays
from pimentoledge.routing import wanted_weights
from pimentoledge.tests import router_world

with_world = router_world.with_world
MODEL = router_world.MODEL
HELD_SECONDS = 5.0


def deliver(receiver, sender, message):
    """Delivers a message as if it was sent HELD_SECONDS ago."""
    born, sent = message.clock
    message = attrs.evolve(
        message, clock=(born, sent - int(1000 * HELD_SECONDS))
    )
    receiver.peers.handle(
        events.FromNode(
            sender=sender.peers.address, message=message, configuration=1
        )
    )


async def meet(world):
    first, second = world.routers
    await world.until(
        lambda: first.peers.address in second.peers.delays.shortest
    )
    return first, second


class TestDelays:
    """Delays between routers with unsynchronized clocks."""

    def test_only_messages_later_than_usual_count_as_delayed(self):
        found = delays.Delays()
        assert found.excess_seconds("r", (1, 70_000), 10.0) == 0.0
        assert found.excess_seconds("r", (1, 71_000), 11.002) == 0.0
        assert found.excess_seconds("r", (1, 72_000), 16.0) == 4.0
        assert found.excess_seconds("r", (1, 77_000), 17.1) == 0.0

    def test_a_restarted_sender_may_have_another_clock(self):
        found = delays.Delays()
        found.excess_seconds("r", (1, 70_000), 10.0)
        assert found.excess_seconds("r", (2, 1_000), 11.0) == 0.0
        assert found.excess_seconds("r", (2, 2_000), 12.0) == 0.0
        assert found.excess_seconds("r", (2, 3_000), 14.0) == 1.0

    def test_a_first_message_may_have_waited_for_its_connection(self):
        found = delays.Delays()
        assert found.excess_seconds("r", (1, 70_000), 10.0) == 0.0
        assert found.excess_seconds("r", (1, 70_500), 12.5) == 3.0
        assert found.excess_seconds("r", (1, 71_000), 11.0) == 0.0
        assert found.excess_seconds("r", (1, 72_000), 14.0) == 2.0

    def test_clock_drift_does_not_count_as_a_delay(self):
        found = delays.Delays()
        for second in range(0, 20_000, 10):
            sent = int(1000 * second * (1 - 1e-4)) + 1
            assert found.excess_seconds("r", (1, sent), float(second)) == 0.0

    def test_senders_without_recent_messages_are_removed(self):
        found = delays.Delays()
        found.excess_seconds("r", (1, 70_000), 10.0)
        found.excess_seconds("s", (1, 70_000), 1000.0)
        assert list(found.shortest) == ["s"]


@with_world(routers=2, plain=1, runners=1)
async def test_a_delayed_limit_does_not_replace_a_newer_one(world):
    """Guards against an old limit that is delivered late by a partition."""
    first, second = await meet(world)
    limits = second.view.server_limits
    first.view.server_limits.update(
        "p0", 1.0, sent_at=clocks.now(), received_at=clocks.now()
    )
    sent = []
    reports = first.peers.limit_reports
    reports.send_all = lambda addresses, message: sent.append(message)
    reports.send_all_limits("second", clocks.now())
    limits.update(
        "p0", 2.0, sent_at=clocks.now(), received_at=clocks.now() - 1.0
    )
    deliver(second, first, sent[0])
    assert limits.get("p0") == 2.0


@with_world(routers=2, plain=1, runners=1)
async def test_a_delayed_heartbeat_does_not_refresh_listings(world):
    """Guards against stale listings that count as recent after a partition."""
    first, second = await meet(world)
    cache = second.kinds["servers"].cache
    heartbeat = first.peers._own_heartbeat(clocks.now())
    cache.known_at = before = clocks.now() - 4.0
    deliver(second, first, attrs.evolve(heartbeat, known=_known(heartbeat)))
    assert cache.known_at == before


def _known(heartbeat):
    """Returns the known revisions of a heartbeat, each with an age of 0."""
    return {
        kind: (revision, 0) for kind, (revision, _) in heartbeat.known.items()
    }


@with_world(routers=2, plain=1, runners=1)
async def test_delayed_weights_count_from_before_the_partition(world):
    """Guards against using older weights for too long after a partition."""
    first, second = await meet(world)
    first.view.set_wanted_version(MODEL, 2, clocks.now())
    now = clocks.now()
    deliver(second, first, first.peers._own_heartbeat(now))
    [*_, newest] = second.view.wanted[MODEL].named
    assert newest.version == 2
    assert newest.since < now - HELD_SECONDS + 0.5
    assert newest.source is wanted_weights.Source.NOT_BEFORE


@with_world(routers=2, plain=1, runners=1)
async def test_a_delayed_heartbeat_revives_no_watcher(world):
    """Guards against relying on a watcher that died in a partition."""
    first, second = await meet(world)
    now = clocks.now()
    heartbeat = first.peers._own_heartbeat(now)
    watchers = {"tcp://gone:1": 0}
    deliver(second, first, attrs.evolve(heartbeat, watchers=watchers))
    ages = second.peers.replicator.shares.watcher_ages(now)
    assert "tcp://gone:1" not in ages


@with_world(routers=2, plain=1, runners=1)
async def test_routers_do_not_prolong_each_other_s_wait_for_lapsed_entries(
    world,
):
    """Guards against requests to a server that is gone, after an outage."""
    first, second = world.routers
    watcher = first.kinds["servers"]
    watcher.recovered_at = clocks.now()
    ends = watcher.lapse_ends()
    pair = first.peers.replicator, second.peers.replicator
    for _ in range(20):
        for sender, receiver in (pair, reversed(pair)):
            left = sender._lapse_ms()
            await asyncio.sleep(0.02)
            receiver._merge_lapse(left)
    assert max(each.updater.lapse_ends() for each in pair) < ends + 0.5


@with_world(routers=2, plain=1, runners=1)
async def test_a_guess_of_a_start_is_bounded_for_each_unknown_version(world):
    """Guards against excluding all runners by a peer that just started."""
    first, second = await meet(world)
    now = clocks.now()
    bound = second.view.bounds.weights_seconds
    complete_at = second.view.known_at("weights")
    for version, since, source in (
        (2, now - bound, wanted_weights.Source.GUESSED),
        (3, now, wanted_weights.Source.HEARD),
    ):
        first.view.set_wanted_version(
            MODEL, version, since, source=source, known_at=now
        )
    second.peers.handle(
        events.FromNode(
            sender=first.peers.address,
            message=first.peers._own_heartbeat(clocks.now()),
            configuration=1,
        )
    )
    assert second.view.begins_until(MODEL, 1) >= complete_at + bound


@with_world(routers=2, plain=1, runners=1)
async def test_a_first_message_that_waited_prolongs_no_use_of_older_weights(
    world,
):
    """Guards against a bound that moves on when a router restarts."""
    first, second = await meet(world)
    second.peers.delays.shortest.clear()
    now = clocks.now()
    first.view.set_wanted_version(
        MODEL,
        2,
        now - 4.0,
        source=wanted_weights.Source.NOT_BEFORE,
        known_at=now - 2.0,
    )
    waited = 0.9
    for sender, receiver, sent in (
        (first, second, now - waited),
        (second, first, now),
    ):
        receiver.peers.handle(
            events.FromNode(
                sender=sender.peers.address,
                message=sender.peers._own_heartbeat(sent),
                configuration=1,
            )
        )
    assert first.view.wanted[MODEL].since < now - 4.0 + 0.5
