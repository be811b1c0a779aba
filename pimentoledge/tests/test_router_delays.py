"""Messages between routers that were held up by a cut are not news."""

import attrs

from pimentoledge.decisions import events
from pimentoledge.routing import clocks
from pimentoledge.routing import delays
from pimentoledge.routing import wanted_weights
from pimentoledge.tests import router_world

played = router_world.played
MODEL = router_world.MODEL
HELD_SECONDS = 5.0


def deliver(receiver, sender, message):
    """Brings a message that was sent some seconds ago."""
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
    """Delays by clocks that don't agree."""

    def test_only_what_is_later_than_usual_was_held_up(self):
        found = delays.Delays()
        assert found.held("r", (1, 70_000), 10.0) == 0.0
        assert found.held("r", (1, 71_000), 11.002) == 0.0
        assert found.held("r", (1, 72_000), 16.0) == 4.0
        assert found.held("r", (1, 77_000), 17.1) == 0.0

    def test_a_new_life_may_have_another_clock(self):
        found = delays.Delays()
        found.held("r", (1, 70_000), 10.0)
        assert found.held("r", (2, 1_000), 11.0) == 0.0
        assert found.held("r", (2, 2_000), 13.0) == 1.0

    def test_clocks_that_drift_apart_hold_nothing_up(self):
        found = delays.Delays()
        for second in range(0, 20_000, 10):
            sent = int(1000 * second * (1 - 1e-4)) + 1
            assert found.held("r", (1, sent), float(second)) == 0.0

    def test_who_is_gone_is_forgotten(self):
        found = delays.Delays()
        found.held("r", (1, 70_000), 10.0)
        found.held("s", (1, 70_000), 1000.0)
        assert list(found.shortest) == ["s"]


@played(routers=2, plain=1, runners=1)
async def test_a_limit_that_a_cut_held_up_is_no_news(world):
    """Guards against the end of a limit of before a cut, told after it."""
    first, second = await meet(world)
    limits = second.view.server_limits
    first.view.server_limits.update(
        "p0", 1.0, sent_at=clocks.now(), received_at=clocks.now()
    )
    told = []
    reports = first.peers.limit_reports
    reports.send_all = lambda addresses, message: told.append(message)
    reports.send_all_limits("second", clocks.now())
    limits.update(
        "p0", 2.0, sent_at=clocks.now(), received_at=clocks.now() - 1.0
    )
    deliver(second, first, told[0])
    assert limits.get("p0") == 2.0


@played(routers=2, plain=1, runners=1)
async def test_a_heartbeat_that_a_cut_held_up_freshens_nothing(world):
    """Guards against lists that a cut has kept old and that count as young."""
    first, second = await meet(world)
    mirror = second.kinds["servers"].mirror
    beat = first.peers._own_heartbeat(clocks.now())
    mirror.known_at = before = clocks.now() - 4.0
    deliver(second, first, attrs.evolve(beat, known=_known(beat)))
    assert mirror.known_at == before


def _known(beat):
    """Returns what a heartbeat tells, as if nothing were newer than it."""
    return {kind: (revision, 0) for kind, (revision, _) in beat.known.items()}


@played(routers=2, plain=1, runners=1)
async def test_weights_that_a_cut_held_up_count_from_before_it(world):
    """Guards against older weights that are used for longer after a cut."""
    first, second = await meet(world)
    first.view.want(MODEL, 2, clocks.now())
    now = clocks.now()
    deliver(second, first, first.peers._own_heartbeat(now))
    [*_, newest] = second.view.wanted[MODEL].named
    assert newest.version == 2
    assert newest.since < now - HELD_SECONDS + 0.5
    assert newest.source is wanted_weights.Source.NOT_BEFORE
