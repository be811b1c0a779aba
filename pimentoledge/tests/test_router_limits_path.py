"""End-to-end tests of organisations' limits: routers, store and servers."""

import asyncio

from pimentoledge.tests import router_world

ACME = {"name": "acme", "apiKeys": [router_world.KEY], "priority": 2}


async def limit(world, version=5, **more):
    """Sets the organisation's limit; waits until all routers have it."""
    tenants = [{**ACME, **more}]
    changed = router_world.configuration(
        version=version, kv_address=world.kv_server.address, tenants=tenants
    )
    world.store.put("config", "main", changed)
    await world.until(
        lambda: all(
            each.view.configuration.version == version for each in world.routers
        )
    )
    # Rights are lent to an owner and fill its pools.
    await asyncio.sleep(2.5)


def cost(tokens):
    return router_world.stream_headers(**{"Token-Usage": f"{tokens},20"})


@router_world.with_world(routers=2)
async def test_a_request_beyond_the_limit_gets_429_and_retry_after(world):
    """Guards against an organisation that runs without a limit."""
    await limit(world, unit="tokens", ratePerS=2000, burst=2000)
    answers = [
        await world.request("/drafts/x", number % 2, headers=cost(600))
        for number in range(8)
    ]
    statuses = [each.status for each in answers]
    assert statuses.count(200) >= 3
    refused = [each for each in answers if each.status == 429]
    assert refused
    assert 0 < float(refused[0].headers["retry-after"]) < 2
    assert len(world.executed_requests("runners")) == statuses.count(200)


@router_world.with_world(routers=2)
async def test_requests_are_counted_where_the_limit_says_so(world):
    """Guards against a limit in requests that counts tokens."""
    await limit(world, ratePerS=2, burst=4)
    answers = [
        await world.request("/drafts/x", number % 2, headers=cost(5000))
        for number in range(8)
    ]
    assert 4 <= [each.status for each in answers].count(200) <= 6


@router_world.with_world(routers=1)
async def test_a_request_without_tokens_counts_as_the_configured_number(world):
    """Guards against plain calls that cost nothing, or the whole limit."""
    await limit(
        world, unit="tokens", plainTokens=500, ratePerS=1000, burst=2000
    )
    answers = [
        await world.request("/notices/x", method="GET") for _ in range(8)
    ]
    assert 4 <= [each.status for each in answers].count(200) <= 6


@router_world.with_world(routers=1)
async def test_a_client_that_waits_for_retry_after_is_served(world):
    """Guards against a Retry-After that is too short."""
    await limit(world, unit="tokens", ratePerS=1000, burst=1000)
    while True:
        answer = await world.request("/drafts/x", headers=cost(400))
        if answer.status == 429:
            break
    await asyncio.sleep(float(answer.headers["retry-after"]) + 0.02)
    answer = await world.request("/drafts/x", headers=cost(400))
    assert answer.status == 200


@router_world.with_world(routers=1, runners=0)
async def test_a_request_that_no_server_accepted_costs_nothing(world):
    """Guards against tokens lost by requests that no server accepted."""
    await limit(world, unit="tokens", ratePerS=1000, burst=2000)
    for _ in range(10):
        answer = await world.request("/drafts/x", headers=cost(700))
        assert answer.status == 503
    limiter = world.routers[0].peers.limiter
    slots = limiter.ledger.slots
    pools = [pool for slot in slots for pool in slot.pools.values()]
    assert [pool.level > 1900 for pool in pools] == [True]


@router_world.with_world(routers=2)
async def test_an_organisation_without_a_limit_is_not_refused(world):
    """Guards against organisations without a limit that are refused."""
    await limit(world, unit="tokens", ratePerS=0, burst=0)
    answers = [
        await world.request("/drafts/x", headers=cost(90000)) for _ in range(5)
    ]
    assert {each.status for each in answers} == {200}
