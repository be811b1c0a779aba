"""Servers that answer reports and orders again."""

from pimentoledge.platform import orders
from pimentoledge.platform import second_responses
from pimentoledge.routing import calls
from pimentoledge.routing import rollouts
from pimentoledge.tests import router_world

MODEL = router_world.MODEL
with_world = router_world.with_world


def _client_of(world):
    """Returns a server that repeats its answers, and a client and its entry."""
    server = world.servers["r0"]
    server.second_response = lambda _: second_responses.SecondResponse()
    [router] = world.routers
    backend = router.view.servers.by_incarnation["r0"]
    client = orders.RunnerClient(caller=calls.Caller(), holder="test")
    return server, client, backend.registration


def _order(version, orders_taken):
    return rollouts.LoadOrder(
        model=MODEL, version=version, fence=1, orders_taken=orders_taken
    )


@with_world(plain=0, runners=1)
async def test_a_report_is_not_the_one_before(world):
    """Guards against weights that a server had at an earlier report."""
    server, client, runner = _client_of(world)
    for version in (5, 6, 7):
        server.weights[MODEL] = version
        report = await client.report(runner)
        assert report.weights[MODEL] == version


@with_world(plain=0, runners=1)
async def test_an_order_is_not_answered_by_a_report(world):
    """Guards against an order that counts as carried out and was refused."""
    server, client, runner = _client_of(world)
    await client.report(runner)
    verdict = await client.load(runner, _order(5, server.orders_taken + 1))
    assert verdict is rollouts.OrderVerdict.OUT_OF_STEP


@with_world(plain=0, runners=1)
async def test_an_order_is_not_answered_by_another_order(world):
    """Guards against a refused order that counts as taken."""
    server, client, runner = _client_of(world)
    taken = server.orders_taken
    first = await client.load(runner, _order(5, taken))
    second = await client.load(runner, _order(6, taken))
    assert first is rollouts.OrderVerdict.TAKEN
    assert second is rollouts.OrderVerdict.OUT_OF_STEP
    assert (await client.report(runner)).orders_taken == taken + 1
