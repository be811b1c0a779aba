"""End-to-end tests of servers' limits: routers, store and servers."""

import asyncio
import types

import pytest

from pimentoledge.routing import clocks
from pimentoledge.routing import request_types
from pimentoledge.routing import selections
from pimentoledge.routing import server_limits
from pimentoledge.routing import server_permits
from pimentoledge.tests import router_world
from pimentoledge.tests import test_router_server_limits

limited = test_router_server_limits.limited

with_world = router_world.with_world
# Time from a server's first answer with a limit until it must be enforced.
ENFORCED_AFTER_SECONDS = 3.0
WINDOW_SECONDS = 4.0
# Requests by which a window may exceed a limit, in addition to half of it.
SLACK = 5
PAUSE_SECONDS = 0.02
# Longest time until a router acquires a permit of a server that accepts two
# requests a second: one permit for each of two routers, and the shortest wait.
MAX_PERMIT_WAIT_SECONDS = 1.1
# Precision of Retry-After.
ROUNDING_SECONDS = 0.001


async def send_load(world, path, seconds, headers=()):
    """Sends requests to all routers in turn; returns the answers."""
    answers = []
    number = 0
    until = clocks.now() + seconds
    while clocks.now() < until:
        number += 1
        router = number % len(world.routers)
        answers.append(
            await world.request(path, router, body=b"n", headers=headers)
        )
        await asyncio.sleep(PAUSE_SECONDS)
    return answers


def most_in_window(server, since):
    """Returns the most calls, of any kind, that a server got in a window.

    Args:
        server: the fake server.
        since: earliest start of a window, in seconds of time.monotonic.
    """
    arrivals = sorted(at for at in server.arrival_times if at >= since)
    return max(
        (
            sum(each <= at < each + WINDOW_SECONDS for at in arrivals)
            for each in arrivals
        ),
        default=0,
    )


def allowed(per_second):
    return 1.5 * per_second * WINDOW_SECONDS + SLACK


@pytest.mark.parametrize(
    ("path", "server", "limit"),
    [
        pytest.param("/notices/", "p0", "1", id="plain"),
        pytest.param("/lookups/", "r0", "1.1", id="streamed"),
        pytest.param("/notices/", "p0", "0.2", id="below-one-a-router"),
    ],
)
def test_a_server_gets_no_more_than_the_limit_that_it_names(
    path, server, limit
):
    """Guards against limits that are forwarded to clients but not enforced."""

    @with_world(routers=3, plain=2, runners=2)
    async def test(world):
        headers = {}
        if path == "/lookups/":
            headers = router_world.stream_headers()
        limited_server = world.servers[server]
        limited_server.limit = limit
        answers = await send_load(world, path, 8.5, headers)
        enforced_from = (
            min(call.received_at for call in limited_server.calls)
            + ENFORCED_AFTER_SECONDS
        )
        assert most_in_window(limited_server, enforced_from) <= allowed(
            float(limit)
        )
        assert [each.body for each in answers if each.status != 200] == []

    test()


def next_permit_at(world, router):
    """Returns when a router may acquire its next permit for the server."""
    backends = world.routers[router].view.servers.by_incarnation
    return backends["p0"].limited_until


async def request_at_once(world, router):
    """Sends a request that must be answered at once.

    Returns:
        The time of sending, the answer, and the time of receiving it.
    """
    began = clocks.now()
    answer = await world.request("/notices/", router, body=b"n")
    ended = clocks.now()
    assert ended - began <= 0.3
    return began, answer, ended


def check_refusal(began, answer, ended, next_permit):
    """Checks that Retry-After of a refusal fits the next permit's time.

    Args:
        began: when the request was sent.
        answer: the refusal.
        ended: when the refusal was received.
        next_permit: when the router may acquire its next permit.

    Returns:
        The time at which the client may retry.
    """
    assert answer.status == 503
    assert next_permit <= began + MAX_PERMIT_WAIT_SECONDS
    wait = float(answer.headers["retry-after"])
    assert wait > 0
    assert ended + wait >= next_permit - ROUNDING_SECONDS
    spread = max(0.3, 0.25 * (next_permit - began))
    assert began + wait <= next_permit + spread + ROUNDING_SECONDS
    return ended + wait


async def retry_soonest(world, router):
    """Sends requests that are refused, and retries the first that may retry.

    The requests are sent shortly before the next permit, as late as a request
    is still refused, so that its Retry-After is about the shortest possible.

    Returns:
        The status of the retry; None if the requests were sent so late that
        one of them was queued until the next permit, and was served.
    """
    next_permit = next_permit_at(world, router)
    await asyncio.sleep(next_permit - 0.1 - clocks.now())
    responses = await asyncio.gather(
        *(request_at_once(world, router) for _ in range(10))
    )
    if (
        next_permit_at(world, router) != next_permit
        or responses[0][1].status == 200
    ):
        return None
    retry_times = [check_refusal(*each, next_permit) for each in responses]
    await asyncio.sleep(min(retry_times) - clocks.now())
    return (await world.request("/notices/", router, body=b"n")).status


@with_world(routers=2, plain=1, runners=0)
async def test_a_request_beyond_the_limit_is_refused_at_once_with_retry_after(
    world,
):
    """Guards against queued requests and a Retry-After that is too short.

    Retry-After has no lower bound: it decreases with the time that is left
    until the next permit. A client that retries after it is served, unless
    another one was first.
    """
    world.servers["p0"].limit = "2"
    await send_load(world, "/notices/", 3.0)
    refused = 0
    for number in range(30):
        router = number % 2
        began, answer, ended = await request_at_once(world, router)
        if answer.status != 200:
            refused += 1
            check_refusal(began, answer, ended, next_permit_at(world, router))
    assert refused
    statuses = []
    for _ in range(3):
        for router in range(2):
            while (await request_at_once(world, router))[1].status == 200:
                pass
        statuses += await asyncio.gather(
            *(retry_soonest(world, router) for router in range(2))
        )
    assert set(statuses) - {None} == {200}


def advertise_limit(router, server, per_second):
    """Passes a router an answer in which a server advertises a limit."""
    backend = router.view.servers.by_incarnation[server]
    router.notices.apply(backend, limited(per_second), clocks.now())
    return backend


@with_world(routers=3, plain=1, runners=1)
async def test_a_limit_reaches_all_routers_and_one_that_joins(world):
    """Guards against routers that exceed a limit until an answer names it."""
    for each in world.routers:
        each.peers.limit_reports._next_all = float("inf")
    advertise_limit(world.routers[0], "p0", 2.0)
    await world.until(
        lambda: all(
            each.view.server_limits.get("p0") == 2.0 for each in world.routers
        ),
        seconds=1.0,
    )
    ports = [
        each.chosen.text("peer-listen").rpartition(":")[2]
        for each in world.routers
    ]
    joined = await world.add_router("router-3", router_world.free_port(), ports)
    joined.peers.limit_reports._next_all = float("inf")
    await world.until(
        lambda: joined.view.server_limits.get("p0") == 2.0, seconds=2.5
    )


@with_world(routers=2, plain=1, runners=0)
async def test_a_request_is_answered_after_its_limit_ends(world):
    """Guards against pending acquires to a dead owner without a timeout."""
    [router, _] = world.routers
    limiter = router.peers.limiter
    advertise_limit(router, "p0", 1.0)
    limiter.rights.target = lambda slot, now: "tcp://127.0.0.1:9"
    request_task = asyncio.ensure_future(world.request("/notices/", body=b"n"))
    await world.until(lambda: limiter.pending)
    router.view.server_limits.advertised.clear()
    began = clocks.now()
    await request_task
    assert clocks.now() - began < 1.0


@with_world(routers=2, plain=1, runners=1)
async def test_a_router_that_missed_a_limit_receives_it_again(world):
    """Guards against the loss of a message about a limit."""
    first, second = world.routers
    await world.until(lambda: first.peers.roster.members(clocks.now()))
    advertise_limit(first, "p0", 2.0)
    first.peers.limit_reports.pending.clear()
    await world.until(
        lambda: second.view.server_limits.get("p0") == 2.0, seconds=3.0
    )


@with_world(routers=2, plain=1, runners=0)
async def test_a_limit_that_ends_at_one_router_ends_at_all(world):
    """Guards against a limit that is enforced after its server ended it."""
    server = world.servers["p0"]
    server.limit = "2"
    await send_load(world, "/notices/", 1.0)
    server.limit = ""
    async with asyncio.timeout(5):
        while any(each.view.server_limits.has_any() for each in world.routers):
            await send_load(world, "/notices/", 0.2)
    answers = await send_load(world, "/notices/", 1.0)
    assert {each.status for each in answers} == {200}


@with_world(routers=2, plain=1, runners=2)
async def test_weights_are_loaded_within_a_limit(world):
    """Guards against a limit that blocks the load of weights."""
    runner = world.servers["r0"]
    runner.limit = "1"
    headers = router_world.stream_headers()
    await send_load(world, "/lookups/", ENFORCED_AFTER_SECONDS, headers)
    since = clocks.now()
    world.store.put(
        "versions",
        router_world.MODEL,
        {"model": router_world.MODEL, "version": 2},
    )
    await send_load(world, "/lookups/", 5.0, headers)
    assert runner.weights[router_world.MODEL] == 2
    assert most_in_window(runner, since) <= allowed(1.0)


@with_world(plain=1, runners=2)
async def test_a_runner_whose_limit_is_used_gets_no_order(world):
    """Guards against orders, and reports before them, that bypass a limit."""
    [router] = world.routers
    runner = world.servers["r0"]
    backend = advertise_limit(router, "r0", 1.0)
    refused = []
    acquire = router.permits.acquire

    async def refuse(wanted):
        if wanted is not backend:
            return await acquire(wanted)
        refused.append(wanted)
        backend.limited_until = clocks.now() + 60.0
        return server_permits.Permit(granted=False)

    router.holder.permits = types.SimpleNamespace(acquire=refuse)
    world.store.put(
        "versions",
        router_world.MODEL,
        {"model": router_world.MODEL, "version": 2},
    )
    await world.until(lambda: refused)
    other = world.servers["r1"]
    await world.until(lambda: other.weights[router_world.MODEL] == 2)
    assert not runner.arrival_times


@with_world(plain=1, runners=2)
async def test_no_report_is_requested_from_a_runner_whose_limit_is_used(world):
    """Guards against requests for reports that bypass a limit.

    Refusals cause these requests.
    """
    [router] = world.routers
    backend = advertise_limit(router, "r0", 1.0)
    backend.limited_until = clocks.now() + 60.0
    reached = len(world.servers["r0"].arrival_times)
    router.rechecks.recheck(backend)
    await world.until(lambda: not router.rechecks.pending)
    assert len(world.servers["r0"].arrival_times) == reached


@with_world(plain=2, runners=1)
async def test_a_limit_advertised_during_a_connect_is_enforced(world):
    """Guards against requests that bypass a limit.

    The server was selected for them before it advertised the limit.
    """
    [router] = world.routers
    request_task = await world.request_while_connecting("p0", "p1")
    advertise_limit(router, "p0", 1.0)
    assert (await request_task).status == 200
    assert not world.servers["p0"].calls


@with_world(plain=1, runners=0)
async def test_an_unsent_request_returns_its_permit(world):
    """Guards against permits lost when a connection cannot be opened."""
    [router] = world.routers
    backend = advertise_limit(router, "p0", 1.0)
    slots = router.peers.limiter.ledger.slots
    await world.until(lambda: all(each.earned > 1.5 for each in slots))
    world.servers["p0"].close()
    for _ in range(8):
        backend.limited_until = backend.avoid_until = 0.0
        assert (await world.request("/notices/", body=b"n")).status == 503
    [pool] = [pool for slot in slots for pool in slot.pools.values()]
    assert pool.level > 1.0
    assert not backend.limited_until


@with_world(plain=1, runners=2)
async def test_nothing_is_fetched_from_a_runner_with_a_limit(world):
    """Guards against fetches of cached parts that bypass a limit."""
    [router] = world.routers
    advertise_limit(router, "r0", 1.0)
    part = request_types.Part(name="part", tokens=600)
    for name in ("r0", "r1"):
        holder = router.view.servers.by_incarnation[name]
        holder.note_parts("1", (part,), 50000, 0.0)
    found = selections._unlimited(router.view, "runners", "1", (part,))
    assert [each.registration.incarnation for each in found] == ["r1"]


@with_world(routers=1, plain=1, runners=0)
async def test_an_answer_that_arrived_during_a_freeze_is_not_new(world):
    """Guards against an old answer that counts as new after a freeze.

    The answer was in the socket while the router was frozen.
    """
    [router] = world.routers
    limits = router.view.server_limits
    now = clocks.now()
    router.pauses.ticked = now - 5.0
    backend = router.view.servers.by_incarnation["p0"]
    router.notices.apply(backend, limited(2.0), now + 1.0)
    assert limits.advertised["p0"].received_at == now - 5.0
    meanwhile = server_limits.AdvertisedLimit(
        per_second=1.0, received_at=now - 3.0
    )
    router.notices.merge_limit("p0", meanwhile, "router")
    assert limits.get("p0") == 1.0
