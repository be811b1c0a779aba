"""Streams go on only at the software version that began them."""

import asyncio
import socket

from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import counters
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import rosters
from pimentoledge.routing import stream_version_exchanges
from pimentoledge.routing import stream_versions
from pimentoledge.routing import version_histories
from pimentoledge.tests import router_world
from pimentoledge.tests import test_router_silent_peers

with_world = router_world.with_world
MODEL = router_world.MODEL


async def _all_connected(world):
    """Waits until each router hears all others."""
    others = len(world.routers) - 1
    await world.until(
        lambda: all(
            len(each.peers.roster.present(clocks.now())) == others
            for each in world.routers
        )
    )


async def _add_runners(world, **counts):
    """Adds runners by software version."""
    for software, count in counts.items():
        for number in range(count):
            world.platform.add_server(
                f"{software}-{number}",
                service="runners",
                weights={MODEL: 1},
                software=software,
            )
    await world.until(world.all_servers_known)


def _runs(world, request):
    """Returns the software versions at which a request ran, in order."""
    return [
        server.software
        for server in world.servers.values()
        for call in server.calls
        if call.ran and call.headers["request-id"] == request
    ]


def _let_pass(router):
    """Lets the time pass for which versions must be known."""
    versions = router.view.servers.versions
    versions._configured_since -= 2 * version_histories.REMEMBERED_SECONDS
    cache = router.view.caches_by_kind["servers"]
    cache.listed_at = versions._configured_since


def _avoid(world, software, seconds):
    """Makes all routers avoid the servers of a version for a while."""
    for router in world.routers:
        for each in router.view.servers.by_incarnation.values():
            if each.registration.software == software:
                each.avoid_until = clocks.now() + seconds


async def _begin(world, request, number=0, avoided="v1"):
    """Sends a new stream; returns the version that served it."""
    _avoid(world, avoided, 5.0)
    answer = await world.request(
        "/lookups/",
        number=number,
        headers=router_world.stream_headers(**{"Request-Id": request}),
    )
    _avoid(world, avoided, 0.0)
    assert answer.complete
    [software] = _runs(world, request)
    assert software != avoided
    return software


async def _is_unknown(world, request, resumes="unknown"):
    """Returns whether a resumption is refused for its unknown version."""
    answer = await _resume(world, request, resumes)
    return answer.status == 503 and b"2008" in answer.body


async def _resume(world, request, resumes, number=0):
    """Resumes a stream after its second event."""
    more = {"Request-Id": request, "Last-Event-Id": "2"}
    if resumes:
        more["Resumes"] = resumes
    return await world.request(
        "/lookups/", number=number, headers=router_world.stream_headers(**more)
    )


@with_world(runners=0)
async def test_a_response_holds_no_events_of_two_software_versions(world):
    """Guards against a stream that goes on at another version by itself."""
    await _add_runners(world, v1=1, v2=1)
    await world.until_retries_allowed("runners")
    for server in world.servers.values():
        server.cut_after = 3
    began = clocks.now()
    answer = await world.request(
        "/lookups/", headers=router_world.stream_headers()
    )
    assert not answer.complete
    assert answer.body.count(b"data:") == 3
    assert len(world.executed_requests("runners")) == 1
    assert clocks.now() - began < 1.0


@with_world(runners=0)
async def test_a_broken_stream_goes_on_at_its_own_software_version(world):
    await _add_runners(world, v1=2, v2=2)
    await world.until_retries_allowed("runners")
    for number in range(4):
        for server in world.servers.values():
            server.cut_after = 3
        request = f"own-{number}"
        answer = await world.request(
            "/lookups/",
            headers=router_world.stream_headers(**{"Request-Id": request}),
        )
        versions = _runs(world, request)
        assert len(set(versions)) == 1
        for server in world.servers.values():
            server.cut_after = None
        if answer.complete:
            assert answer.body.count(b"data:") == 5


@with_world(routers=3, runners=0)
async def test_a_client_resumes_a_stream_at_any_router_at_its_version(world):
    """Guards against resumptions at a version drawn by chance."""
    await _add_runners(world, v1=2, v2=2)
    await _all_connected(world)
    for number in range(24):
        avoided = ("v1", "v2")[number % 2]
        began = await _begin(
            world, f"a-{number}", number=number % 3, avoided=avoided
        )
        for taken in range(2):
            again = await _resume(
                world,
                f"b-{number}-{taken}",
                f"a-{number}",
                number=(number + 1 + taken) % 3,
            )
            assert again.complete
            assert again.body.count(b"data:") == 3
            assert _runs(world, f"b-{number}-{taken}") == [began]


@with_world(routers=4, runners=0)
async def test_a_stream_is_resumed_though_the_router_that_began_it_is_gone(
    world,
):
    """Guards against versions that only the router of a stream knows."""
    await _add_runners(world, v1=2, v2=2)
    await _all_connected(world)
    began = {
        f"a-{number}": await _begin(
            world, f"a-{number}", avoided=("v1", "v2")[number % 2]
        )
        for number in range(16)
    }
    await asyncio.sleep(0.1)
    world.routers[0].close()
    for number, (request, software) in enumerate(began.items()):
        again = f"b-{number}"
        answer = await _resume(world, again, request, number=1 + number % 3)
        assert answer.complete
        assert _runs(world, again) == [software]


@with_world(runners=0)
async def test_a_stream_of_unknown_version_is_refused_at_once(world):
    """Guards against a guess where nobody knows the version."""
    await _add_runners(world, v1=1, v2=1)
    for resumes in ("never-seen", ""):
        began = clocks.now()
        answer = await _resume(world, f"of-{resumes}", resumes)
        assert answer.status == 503
        assert b"2008" in answer.body
        assert clocks.now() - began < 0.6
    assert not world.executed_requests("runners")


@with_world(runners=0)
async def test_a_stream_whose_version_no_server_has_is_refused_at_once(world):
    """Guards against a wait to the deadline for a version that is gone."""
    await _add_runners(world, v1=1, v2=1)
    [router] = world.routers
    router.peers.stream_versions.began("of-v3", "v3", 10.0)
    began = clocks.now()
    answer = await _resume(world, "again", "of-v3")
    assert answer.status == 503
    assert b"2009" in answer.body
    assert clocks.now() - began < 0.3


@with_world(runners=0)
async def test_a_stream_goes_on_at_the_only_version_of_all_its_life(world):
    """Guards against errors where one version alone has served for long."""
    await _add_runners(world, v1=2)
    [router] = world.routers
    assert await _is_unknown(world, "early")
    _let_pass(router)
    answer = await _resume(world, "late", "unknown")
    assert answer.complete
    await _add_runners(world, v2=1)
    assert await _is_unknown(world, "after")
    world.store.remove("servers", "v2-0")
    await world.until(lambda: "v2-0" not in router.view.servers.by_server)
    assert await _is_unknown(world, "left")


@with_world(routers=2, runners=0)
async def test_a_router_that_knows_that_one_version_served_tells_others(world):
    """Guards against errors where only another router has run for long."""
    await _add_runners(world, v1=2)
    await _all_connected(world)
    _let_pass(world.routers[1])
    assert (await _resume(world, "again", "unknown")).complete


@with_world(routers=2, runners=0)
async def test_a_router_with_an_old_view_does_not_name_the_only_version(world):
    """Guards against a version that registered while the store was silent."""
    await _add_runners(world, v1=2)
    await _all_connected(world)
    first, second = world.routers
    for each in world.routers:
        _let_pass(each)
    with socket.create_server(("127.0.0.1", 0)) as silent:
        first.store.address = f"127.0.0.1:{silent.getsockname()[1]}"
        first.caller.close()
        for call in list(first.caller.open_calls):
            call.connection.abort()
        for router in world.routers:
            test_router_silent_peers.silence(router)
        world.platform.add_server(
            "v2-0", service="runners", weights={MODEL: 1}, software="v2"
        )
        await world.until(lambda: "v2-0" in second.view.servers.by_server)
        assert await _begin(world, "of-v2", number=1) == "v2"
        assert "v2-0" not in first.view.servers.by_server
        second.close()
        answer = await _resume(world, "again", "of-v2")
    assert answer.status == 503
    assert b"2008" in answer.body


@with_world(runners=0)
async def test_a_version_that_came_and_went_between_two_listings_counts(world):
    """Guards against versions of which a router has seen no registration."""
    await _add_runners(world, v1=2)
    [router] = world.routers
    _let_pass(router)
    router.kinds["servers"]._relist = True
    router.kinds["servers"].catch_up()
    listed = router.view.caches_by_kind["servers"].listed_at
    await world.until(
        lambda: router.view.caches_by_kind["servers"].listed_at > listed,
        seconds=8.0,
    )
    assert await _is_unknown(world, "again")


@with_world(runners=0)
async def test_a_route_that_had_another_service_has_no_only_version(world):
    """Guards against streams that the former service of a route began."""
    await _add_runners(world, v1=2)
    [router] = world.routers
    _let_pass(router)
    moved = router_world.configuration(2)
    for each in moved["routes"]:
        if each["pathPrefix"] == "/lookups/":
            each["service"] = "plain"
    world.store.put("config", "main", moved)
    await world.until(lambda: router.view.configuration.version == 2)
    world.store.put("config", "main", router_world.configuration(3))
    await world.until(lambda: router.view.configuration.version == 3)
    assert await _is_unknown(world, "again")


@with_world(runners=0)
async def test_a_stream_of_a_server_without_a_version_goes_on_nowhere(world):
    """Guards against two unknown versions that are taken for the same."""
    for number in range(2):
        world.platform.add_server(
            f"none-{number}",
            service="runners",
            weights={MODEL: 1},
            software="",
        )
    await world.until(world.all_servers_known)
    answer = await world.request(
        "/lookups/",
        headers=router_world.stream_headers(**{"Request-Id": "began"}),
    )
    assert answer.complete
    [began] = [each for each in world.servers.values() if each.calls]
    world.store.remove("servers", began.incarnation)
    [router] = world.routers
    await world.until(
        lambda: began.incarnation not in router.view.servers.by_server
    )
    answer = await _resume(world, "again", "began")
    assert answer.status == 503
    assert b"2009" in answer.body


@with_world(routers=3, runners=0)
async def test_a_record_that_an_owner_could_not_get_goes_to_another(world):
    """Guards against versions lost with a router that has just died."""
    await _all_connected(world)
    first, second, third = world.routers
    third.close()
    versions = first.peers.stream_versions
    for number in range(20):
        versions.began(f"q{number}", "v1", 10.0)
    kept = second.peers.stream_versions.records
    await world.until(lambda: len(kept.current(clocks.now())) == 20)


@with_world(routers=2, runners=0)
async def test_a_router_that_leaves_hands_its_streams_over(world):
    """Guards against streams lost while all routers restart in turn."""
    await _add_runners(world, v1=1, v2=1)
    first, second = world.routers
    versions = first.peers.stream_versions
    versions.roster = type(
        "Alone",
        (),
        {
            "members": lambda now: {},
            "reaches_all": lambda: True,
            "present": lambda now: {},
        },
    )
    versions.began("kept", "v2", 10.0)
    await asyncio.sleep(0.05)
    assert (
        second.peers.stream_versions.records.get("kept", clocks.now()) is None
    )
    versions.roster = first.peers.roster
    versions.hand_over()
    await world.until(
        lambda: second.peers.stream_versions.records.get("kept", clocks.now())
        == "v2"
    )


def test_owners_are_the_same_for_all_and_in_two_data_centres():
    members = {f"r{each}": "ab"[each % 2] for each in range(9)}
    for number in range(50):
        ranked = stream_versions.ranked(f"q{number}", members)
        assert sorted(ranked) == sorted(members)
        assert members[ranked[0]] != members[ranked[1]]
        shuffled = dict(reversed(members.items()))
        assert stream_versions.ranked(f"q{number}", shuffled) == ranked


def test_a_record_ends_with_the_life_of_its_stream():
    records = stream_versions.StreamRecords()
    records.put(
        stream_versions.Began(request="q", software="v1", left_ms=2000), 10.0
    )
    assert records.get("q", 11.9) == "v1"
    assert records.get("q", 12.1) is None
    records.expire(12.1)
    assert not records.current(0.0)


def _registration(server, service, software):
    return registrations.Registration(
        server=server,
        service=service,
        address="127.0.0.1:1",
        data_centre="a",
        slots=1,
        leaving=False,
        weights={},
        software=software,
    )


def test_a_version_counts_as_the_only_one_after_the_last_other_one():
    history = version_histories.VersionHistory()
    history.put(_registration("a", "s", "v1"), 1.0)
    assert history.only(["s"], 0.0) == "s v1"
    history.put(_registration("b", "s", "v2"), 2.0)
    history.put(_registration("c", "t", "v3"), 2.0)
    assert history.only(["s"], 0.0) is None
    history.remove("a", 80.0)
    assert history.only(["s"], 80.0) is None
    assert history.only(["s"], 80.1) == "s v2"
    assert history.only(["s", "t"], 80.1) is None
    history.put(_registration("b", "s", "v1"), 90.0)
    assert history.only(["s"], 85.0) is None


def test_changes_are_known_since_the_last_listing():
    """Guards against servers that nobody has seen, or only their removal."""
    history = version_histories.VersionHistory()
    cache = object_caches.ObjectCache(
        kind="servers", on_change=lambda changed, removed: None
    )
    history.configure(_configuration(), clocks.now())
    assert history.known_since("h", cache) is None
    cache.apply(registrations.Listing(objects=[], revision=3))
    cache.listed_at = 5.0
    history._configured_since = 4.0
    assert history.known_since("h", cache) == 5.0
    cache.apply(registrations.Changes(changed=[], removed=[], revision=4))
    assert history.known_since("h", cache) == 5.0
    gone = registrations.Stored(name="unseen", revision=5, value=None)
    cache.apply(registrations.Changes(changed=[], removed=[gone], revision=5))
    assert history.known_since("h", cache) > 5.0


def _configuration():
    return configurations.build(
        version=1,
        routes=[],
        organisations=None,
        services=[],
        limits=configurations.ClientLimits(),
    )


def _exchange(sent):
    """Returns the exchange of a router that knows twelve others."""
    peer = rosters.Peer(alive_at=clocks.now())
    roster = rosters.Roster(own="own", data_centre="a")
    roster.known = {f"r{each}": peer for each in range(12)}
    return stream_version_exchanges.StreamVersionExchange(
        roster=roster,
        send=lambda address, query: sent.append((address, query)),
        lines=log_lines.Lines(counters=counters.Counters()),
        view=cluster_views.ClusterView(
            name="own", data_centre="a", started_at=0.0
        ),
        confirm=lambda: asyncio.sleep(0, False),
    )


def _resumable_route():
    return configurations.Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=configurations.Repeatability.STREAM,
        timeout_seconds=9.0,
        objective_seconds=1.0,
        urgency=0,
        shares=(configurations.ServiceShare(service="s", weight=1.0),),
        most_servers=2,
        open=True,
        by_prefix=True,
        resumable=True,
        gap_seconds=None,
    )


def test_all_others_are_queried_if_the_first_ones_know_nothing():
    """Guards against answers of the first routers that end the whole query."""

    async def play():
        sent = []
        exchange = _exchange(sent)
        finding = asyncio.ensure_future(
            exchange.find("q", _resumable_route(), 9.0)
        )
        answered = 0
        while not finding.done():
            await asyncio.sleep(0.01)
            for address, query in sent[answered:]:
                known = "v2" if answered == 11 else None
                answered += 1
                exchange.receive_answer(
                    address,
                    peer_messages.StreamVersionAnswer(
                        number=query.number, software=known
                    ),
                )
        return await finding, len(sent)

    assert asyncio.run(play()) == ("v2", 12)


def test_an_answer_to_an_earlier_process_is_not_taken():
    """Guards against the version of another stream after a restart."""

    async def play():
        sent = []
        former, restarted = _exchange(sent), _exchange(sent)
        findings = [
            asyncio.ensure_future(each.find(request, _resumable_route(), 9.0))
            for each, request in ((former, "of-v2"), (restarted, "of-v1"))
        ]
        await asyncio.sleep(0.01)
        for address, query in sent[:]:
            if query.request == "of-v2":
                restarted.receive_answer(
                    address,
                    peer_messages.StreamVersionAnswer(
                        number=query.number, software="v2"
                    ),
                )
        return (await asyncio.gather(*findings))[1]

    assert asyncio.run(play()) is None
