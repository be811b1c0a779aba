"""The retry budget as requests use it, before real routers."""

from pimentoledge.routing import clocks
from pimentoledge.routing import peak_counts
from pimentoledge.routing import peers
from pimentoledge.routing import rosters
from pimentoledge.tests import router_world

with_world = router_world.with_world


@with_world(plain=3)
async def test_a_request_counts_once_however_many_servers_refuse_connections(
    world,
):
    """Guards against a ratio applied to requests that were none."""
    [router] = world.routers
    router.view.bounds = router_world.bounds_without_slack(router.view.bounds)
    for name in ("p0", "p1", "p2"):
        world.servers[name].close()
    assert (await world.request("/cards/", body=b"c")).status == 503
    budget = router.view.budget("plain")
    assert budget.allowance(clocks.now(), 1) <= 0.2


@with_world(routers=4)
async def test_a_partition_gives_no_side_the_budget_of_the_other(world):
    """Guards against slack that both sides of a long cut use in full."""
    first, second, *others = world.routers
    await world.until(lambda: first.view.members == 4)
    for each in others:
        each.close()
    roster = first.peers.roster
    begin = clocks.now()
    for seconds, members in (
        (rosters.MEMBER_SECONDS + 2.0, 4),
        (peers.SHARED_BUDGET_SECONDS + rosters.MEMBER_SECONDS + 4.0, 2),
    ):
        roster.known[second.peers.address].alive_at = begin + seconds
        first.peers.tick(begin + seconds)
        assert roster.count(begin + seconds) == 2
        assert first.view.members == members


def test_a_peak_lasts_as_long_as_its_window():
    peak = peak_counts.PeakCount(window_seconds=10.0)
    values = [(0.0, 4), (1.0, 2), (5.0, 3), (9.9, 1), (10.1, 1), (15.2, 1)]
    assert [peak.note(value, now) for now, value in values] == [
        4,
        4,
        4,
        4,
        3,
        1,
    ]


@with_world(routers=2)
async def test_a_router_that_starts_alone_shares_the_budget_with_the_others(
    world,
):
    """Guards against the whole slack for each router of a restarted fleet."""
    for each in world.routers:
        each.peers.fleet_size.started_at = clocks.now() - 60
    path = "router-leases/fleet"
    await world.until(lambda: path in world.store.objects.objects, seconds=8)
    for each in world.routers:
        each.close()
    port = router_world.free_port()
    router = await world.add_router("router-2", port, [port])
    await world.until(lambda: router.view.ready())
    await world.until(lambda: router.view.members == 2, seconds=2)
    assert router.peers.roster.count(clocks.now()) == 1
