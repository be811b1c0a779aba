"""The retry budget as requests use it, before real routers."""

from pimentoledge.routing import clocks
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
