"""Prompt parts that crash servers, before real routers."""

import asyncio

from pimentoledge.routing import clocks
from pimentoledge.routing import server_deaths
from pimentoledge.tests import router_world

with_world = router_world.with_world
BAD = "bad"
CRASHED = 502
QUARANTINED = 503
# Sends allowed after the time in which routers can know of the fifth crash.
MAX_CRASHES = 5
MAX_LATE_SENDS = 3


def _crash_on_part(world, **more):
    for each in world.servers.values():
        each.crashes_on_part = BAD
        for name, value in more.items():
            setattr(each, name, value)


def _crashes(world):
    return sum(bool(each.crashes) for each in world.servers.values())


class _Sender:
    """Sends requests of which no two are alike."""

    def __init__(self, world):
        self.world = world
        self.sent = 0

    async def send(self, *shared, number=0, path="/drafts/", **more):
        """Sends a request with some shared parts; returns the response."""
        self.sent += 1
        names = [*shared, f"own{self.sent}"]
        parts = ",".join(f"{each}:100" for each in names)
        answer = await self.world.request(
            path,
            number=number,
            body=b"%d" % self.sent,
            headers=router_world.stream_headers(parts),
            **more,
        )
        await asyncio.sleep(0.1)
        return answer

    async def crash(self, number=0, **more):
        """Sends a request with the bad part; returns the status."""
        answer = await self.send("first", BAD, number=number, **more)
        return answer.status


@with_world(plain=0, runners=12)
async def test_requests_that_share_a_part_crash_few_servers(world):
    """Guards against one part that crashes a server for each new request."""
    _crash_on_part(world)
    sender = _Sender(world)
    statuses = [await sender.crash() for _ in range(10)]
    assert statuses[MAX_CRASHES:] == [QUARANTINED] * MAX_CRASHES
    assert _crashes(world) <= MAX_CRASHES


@with_world(routers=3, plain=0, runners=12)
async def test_a_part_that_comes_to_any_router_crashes_few_servers(world):
    """Guards against crashes that each router counts for itself."""
    _crash_on_part(world)
    sender = _Sender(world)
    for number in range(12):
        await sender.crash(number % 3)
    assert _crashes(world) <= MAX_CRASHES


@with_world(plain=0, runners=12)
async def test_sound_requests_with_the_same_first_part_are_served(world):
    """Guards against a route that is refused for the part of some requests."""
    _crash_on_part(world)
    sender = _Sender(world)
    for _ in range(8):
        await sender.crash()
        assert (await sender.send("first", "other")).status == 200
    assert await sender.crash() == QUARANTINED
    for _ in range(4):
        assert (await sender.send("first")).status == 200
        assert (await sender.send("first", "another")).status == 200


@with_world(plain=0, runners=12)
async def test_a_part_counts_whatever_else_the_request_holds(world):
    """Guards against crashes that count for one caller or place only."""
    keys = [router_world.KEY, "second"]
    tenants = [
        {"name": name, "apiKeys": [key]}
        for name, key in zip(("acme", "other"), keys, strict=True)
    ]
    value = router_world.configuration(version=9, tenants=tenants)
    world.store.put("config", "main", value)
    [router] = world.routers
    await world.until(lambda: router.view.configuration.version == 9)
    _crash_on_part(world)
    sender = _Sender(world)
    for number in range(8):
        parts = (BAD, f"s{number}") if number % 2 else (f"s{number}", BAD)
        await sender.send(
            *parts,
            key=keys[number % 2],
            path=("/drafts/", "/lookups/")[number // 2 % 2],
        )
    assert _crashes(world) <= MAX_CRASHES


@with_world(plain=0, runners=12)
async def test_a_part_that_crashes_servers_after_the_head_is_found(world):
    """Guards against a response's head that acquits the request's parts."""
    _crash_on_part(world, crashes_after_head=True)
    sender = _Sender(world)
    for _ in range(8):
        await sender.crash()
    assert _crashes(world) <= MAX_CRASHES


@with_world(plain=0, runners=12)
async def test_a_part_that_crashes_servers_unframed_is_found(world):
    """Guards against an empty stream that counts as a success of its parts."""
    _crash_on_part(world, crashes_after_head=True, unframed=True)
    sender = _Sender(world)
    for _ in range(8):
        await sender.crash()
    assert _crashes(world) <= MAX_CRASHES


@with_world(plain=0, runners=12)
async def test_the_last_part_is_never_to_blame(world):
    """Guards against sessions that are refused, since only one request is."""
    _crash_on_part(world)
    sender = _Sender(world)
    for _ in range(6):
        await sender.crash()
    answer = await world.request(
        "/drafts/",
        body=b"sound",
        headers=router_world.stream_headers(f"first:100,{BAD}:100"),
    )
    assert answer.status == 200


@with_world(plain=0, runners=12)
async def test_a_quarantined_part_is_known_after_all_routers_restart(world):
    """Guards against more crashes after each restart of all routers."""
    _crash_on_part(world)
    sender = _Sender(world)
    while await sender.crash() == CRASHED:
        pass
    crashes = _crashes(world)
    await world.until(lambda: "POST quarantines" in world.store.counts)
    for router in world.routers:
        router.close()
    world.routers.clear()
    port = router_world.free_port()
    router = await world.add_router("after", port, [port])
    await world.until(router.view.ready)
    await world.until(lambda: router.view.suspects.subjects)
    assert await sender.crash() == QUARANTINED
    assert (await sender.send("first", "other")).status == 200
    assert _crashes(world) == crashes


@with_world(routers=3, plain=0, runners=12)
async def test_a_router_that_joins_learns_which_part_is_quarantined(world):
    """Guards against crashes for each router that is added."""
    _crash_on_part(world)
    sender = _Sender(world)
    while await sender.crash() == CRASHED:
        pass
    crashes = _crashes(world)
    ports = [
        int(each.chosen.text("peer-listen").rpartition(":")[2])
        for each in world.routers
    ]
    await world.add_router("late", router_world.free_port(), ports)
    await world.until(
        lambda: len(world.routers[3].view.suspects.quarantines) > 0
    )
    assert await sender.crash(3) == QUARANTINED
    assert _crashes(world) == crashes


@with_world(routers=3, plain=0, runners=12)
async def test_a_success_at_one_router_releases_the_part_at_all(world):
    """Guards against a wrong verdict that outlasts its refutation."""
    first, *others = world.routers
    for number in range(3):
        first.view.suspects.record_crash(
            server_deaths.Subject(key="part", depth=1),
            f"gone{number}",
            clocks.now() - number / 5,
        )
    await world.until(
        lambda: all(
            each.view.suspects.is_quarantined("part", clocks.now())
            for each in others
        )
    )
    first.view.suspects.record_success("part", clocks.now())
    await world.until(
        lambda: not any(
            each.view.suspects.is_quarantined("part", clocks.now())
            for each in others
        )
    )


@with_world(routers=2, plain=0, runners=1)
async def test_a_router_that_joins_knows_for_how_long_parts_were_watched(world):
    """Guards against a router that takes parts unknown to it for sound."""
    first, second = world.routers
    since = clocks.now() - 100.0
    first.view.suspects.watched_from = since
    first.peers.crash_reports.changed("watched", "")
    await world.until(lambda: second.view.suspects.watched_from < since + 1.0)
    ports = [
        int(each.chosen.text("peer-listen").rpartition(":")[2])
        for each in world.routers
    ]
    joined = await world.add_router("late", router_world.free_port(), ports)
    await world.until(lambda: joined.view.suspects.watched_from < since + 1.0)


@with_world(runners=1)
async def test_a_request_whose_answer_has_gone_on_is_not_suspected(world):
    """Guards against suspicion of what a runner was past when it broke."""
    [router] = world.routers
    broken = []
    router.peers.server_broke = lambda subjects, *more: broken.append(subjects)
    for events in (1, 3):
        world.servers["r0"].cut_after = events
        answer = await world.request(
            "/drafts/", headers=router_world.stream_headers()
        )
        assert not answer.complete
    assert broken[0]
    assert not broken[1]
