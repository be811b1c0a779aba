"""The router's whole path, before stand-ins of the platform."""

import asyncio

import attrs

from pimentoledge.routing import clocks
from pimentoledge.routing import watchers
from pimentoledge.tests import router_world

played = router_world.played
stream_headers = router_world.stream_headers


@played()
async def test_a_call_gets_the_servers_own_answer_and_the_servers_headers(
    world,
):
    got = await world.ask(
        "/cards/1?x=2",
        body=b"card",
        headers={
            "Tenant": "somebody",
            "Cache-Salt": "mine",
            "Kv-From": "1.2.3.4:5/x",
            "Expect-Version": "7",
            "X-Trace": "kept",
        },
    )
    assert (got.status, got.body, got.whole) == (200, b"answer of card", True)
    assert got.headers["server-stamp"] == "stand.in"
    [call] = world.ran("plain")
    assert (call.method, call.target, call.body) == (
        "POST",
        "/cards/1?x=2",
        b"card",
    )
    assert call.headers["tenant"] == "acme"
    assert call.headers["x-trace"] == "kept"
    assert call.headers["expect-instance"] in world.servers
    assert 0 < int(call.headers["deadline-ms"]) <= 2500
    for name in ("authorization", "cache-salt", "kv-from", "expect-version"):
        assert name not in call.headers


@played()
async def test_what_the_configuration_does_not_allow_is_refused(world):
    cases = [
        ("/nowhere/", {}, 404),
        ("/cards/", {"key": None}, 401),
        ("/cards/", {"key": "unknown"}, 401),
        ("/cards/", {"body": b"x" * 20000}, 413),
        ("/cards/", {"headers": {"X": "y" * 9000}}, 431),
        ("/cards/", {"headers": {"Transfer-Encoding": "chunked"}}, 400),
    ]
    for path, more, status in cases:
        got = await world.ask(path, **more)
        assert got.status == status, (path, more)
    assert not world.ran("plain")


def test_a_router_without_a_configuration_promises_not_run():
    """A client must hear "come back" from a router that knows nothing yet.

    The router starts while the store is down; a 404 or 401 would be false.
    """

    async def play():
        world = router_world.World()
        world.store.start()
        world.store.objects.down = True
        try:
            port = router_world.free_port()
            await world.add_router("router", port, [port])
            got = await world.ask("/cards/")
            assert got.status == 503
            assert float(got.headers["retry-after"]) > 0
            ready = await world.ask("/-/ready")
            assert ready.status == 503
        finally:
            await world.close()

    asyncio.run(play())


@played()
async def test_a_call_that_may_not_be_repeated_runs_once_though_unanswered(
    world,
):
    """A job card whose answer is lost must not be posted a second time.

    The server runs the call and its connection breaks; sent on to another
    server, two mechanics would strip the same wheel.
    """
    for server in world.servers.values():
        server.lose = 1
    got = await world.ask("/cards/", body=b"card")
    assert got.status == 502
    assert len(world.ran("plain")) == 1


@played()
async def test_a_call_that_did_not_run_goes_elsewhere(world):
    world.servers["p0"].refuse = 1
    world.servers["p1"].refuse = 0
    for _ in range(3):
        got = await world.ask("/cards/", body=b"card")
        assert got.status == 200
    assert len(world.ran("plain")) == 3


@played()
async def test_when_nobody_runs_it_the_refusal_says_when_to_come_back(world):
    for server in world.servers.values():
        server.refuse = 9
    got = await world.ask("/cards/", body=b"card")
    assert got.status == 503
    assert 0 < float(got.headers["retry-after"]) < 2
    assert b"not_run" in got.body
    assert not world.ran("plain")


@played()
async def test_a_repeatable_call_that_failed_is_tried_elsewhere(world):
    for server in world.servers.values():
        server.fail = 1
    got = await world.ask("/notices/", method="GET")
    assert got.status == 500  # Both failed, and two servers are allowed.
    assert len(world.ran("plain")) == 2
    got = await world.ask("/notices/", method="GET")
    assert got.status == 200


@played(plain=1)
async def test_another_requests_late_answer_is_not_passed_on(world):
    """An answer that belongs to another request must reach no client.

    The server answers with another id: what comes is no answer to this one.
    """
    world.servers["p0"].misnumber = 1
    got = await world.ask("/cards/", body=b"card")
    assert got.status == 504 or got.status == 502
    got = await world.ask("/cards/", body=b"next")
    assert got.body == b"answer of next"


@played()
async def test_a_stream_is_passed_on_whole(world):
    got = await world.ask("/drafts/", headers=stream_headers())
    assert got.status == 200 and got.whole
    assert [int(n) for n in _numbers(got.body)] == [1, 2, 3, 4, 5]
    [call] = world.ran("runners")
    assert call.headers["expect-version"] == "1"
    assert call.headers["cache-salt"] == "1"
    assert call.headers["kv-save"] == world.kept.address
    # The route's urgency, 1, within the organisation's, 2.
    assert call.headers["request-priority"] == "7"


@played()
async def test_isolated_organisations_share_no_namespace(world):
    await world.ask("/drafts/", key="key-of-walled", headers=stream_headers())
    [call] = world.ran("runners")
    assert call.headers["cache-salt"] == "1.walled"


def _numbers(body):
    return [
        line[3:].strip()
        for line in body.decode().split("\n")
        if line.startswith("id:")
    ]


@played()
async def test_a_stream_that_breaks_goes_on_elsewhere_without_a_gap(world):
    """A client must get each event once though the runner dies in an event.

    The first runner is cut within its fourth event; another goes on behind
    the third, in the same answer.
    """
    for server in world.servers.values():
        server.cut_after = 3 if server.service == "runners" else None
    got = await world.ask("/lookups/", headers=stream_headers())
    # The second runner is cut as well, after all its events but two.
    assert _numbers(got.body)[:3] == ["1", "2", "3"]
    assert got.status == 200
    resumed = [
        call.headers["last-event-id"]
        for call in world.ran("runners")
        if "last-event-id" in call.headers
    ]
    assert resumed == ["3"]


@played()
async def test_a_stream_that_may_not_be_resumed_never_looks_whole(world):
    """A draft that breaks off must not look complete, nor run again."""
    for server in world.servers.values():
        server.cut_after = 3
    got = await world.ask("/drafts/", headers=stream_headers())
    assert not got.whole
    assert _numbers(got.body) == ["1", "2", "3"]
    assert len(world.ran("runners")) == 1


@played(runners=1)
async def test_a_client_that_leaves_stops_its_stream(world):
    """A runner must not make tokens for a client that has gone."""
    runner = world.servers["r0"]
    runner.events, runner.event_seconds = 1000, 0.02
    client = world.client()
    await client.open()
    client.send("/drafts/", headers=stream_headers())
    await world.until(lambda: runner.at_work == 1)
    client.close()
    await world.until(lambda: runner.at_work == 0, seconds=1.0)


@played(plain=1)
async def test_a_posted_call_is_finished_though_its_client_left(world):
    client = world.client()
    await client.open()
    client.send("/cards/", body=b"card")
    await world.until(lambda: len(world.servers["p0"].calls) == 1)
    client.close()
    await world.until(lambda: world.servers["p0"].at_work == 0)
    got = await world.ask("/cards/", body=b"next")
    assert got.body == b"answer of next"


@played()
async def test_a_new_configuration_is_in_force_at_once(world):
    first = router_world.configuration()
    moved = router_world.configuration(
        version=5,
        routes=[router_world.route("new", service="plain", kind="safe")],
        tenants=[{"name": "acme", "apiKeys": ["fresh"]}],
    )
    world.store.put("config", "main", moved)
    [router] = world.routers
    await world.until(lambda: router.view.configuration.version == 5)
    assert (await world.ask("/cards/")).status == 404
    assert (await world.ask("/new/", method="GET")).status == 401
    assert (await world.ask("/new/", method="GET", key="fresh")).status == 200
    # An older one that comes late changes nothing.
    world.store.put("config", "main", {**first, "version": 3})
    await asyncio.sleep(0.2)
    assert router.view.configuration.version == 5


@played()
async def test_a_leaving_server_gets_no_new_work(world):
    world.tell(world.servers["p0"], leaving=True)
    [router] = world.routers
    await world.until(
        lambda: router.view.servers.by_incarnation["p0"].registration.leaving
    )
    for _ in range(4):
        assert (await world.ask("/cards/", body=b"c")).status == 200
    assert not world.servers["p0"].calls


@played(plain=2)
async def test_a_dead_server_costs_no_call(world):
    """A job card sent to a dead server goes to another: nothing was sent."""
    world.servers["p0"].close()
    for _ in range(4):
        assert (await world.ask("/cards/", body=b"c")).status == 200


@played(plain=1)
async def test_another_server_at_the_address_runs_nothing(world):
    """An address is used again by another server after a crash.

    The router still believes in the first life; the server says that it is
    another one, and the router leaves the first alone for good.
    """
    server = world.servers["p0"]
    server.incarnation = "somebody-else"
    got = await world.ask("/cards/", body=b"c")
    assert got.status == 503
    assert not world.ran("plain")


@played(plain=1)
async def test_leaving_router_finishes_what_it_read_and_takes_nothing_late(
    world,
):
    """A call read before SIGTERM is answered; the balancer is told at once.

    Later than the balancer needs, a new call is refused with "not run", so
    that none is cut when the grace time ends.
    """
    [router] = world.routers
    kept = world.client()
    await kept.open()
    assert (await kept.ask("/cards/", body=b"a")).status == 200
    drain = asyncio.ensure_future(router.drain())
    await asyncio.sleep(0.3)
    assert (await world.ask("/-/ready")).status == 503
    got = await world.ask("/cards/", body=b"b")
    assert (got.status, got.headers["connection"]) == (200, "close")
    assert (await kept.read()).status is None  # Closed while it was idle.
    await drain
    got = await world.ask("/cards/", body=b"c")
    assert got.status == 503
    assert b"not_run" in got.body


@played(plain=1)
async def test_requests_on_one_connection_are_answered_in_order(world):
    client = world.client()
    await client.open()
    for body in (b"one", b"two", b"three"):
        client.send("/cards/", body=body)
    for body in (b"one", b"two", b"three"):
        assert (await client.read()).body == b"answer of " + body
    client.close()


@played(plain=1)
async def test_the_page_of_counters_counts_decisions(world):
    await world.ask("/cards/", body=b"c")
    [router] = world.routers
    client = router_world.Client(router.chosen.text("metrics-listen"))
    await client.open()
    got = await client.ask("/metrics", method="GET")
    client.close()
    assert b'kind="answered",outcome=""' in got.body


@played(runners=2)
async def test_without_the_kv_cache_server_parts_come_from_a_runner(world):
    """A fetch from a dead KV cache server would cost some hundred ms.

    The server dies; nothing is saved to it or fetched from it any more, and
    what another runner read for this router is fetched there.
    """
    [router] = world.routers
    await world.ask("/drafts/", headers=stream_headers())
    [first] = world.ran("runners")
    world.kept.close()
    await world.until(lambda: router.view.caches_down)
    assert not router.view.saved.saved
    holder = next(
        each
        for each in router.view.servers.by_incarnation.values()
        if each.parts
    )
    holder.trouble = 1.0
    holder.troubled_at = clocks.now()
    await world.ask("/drafts/", headers=stream_headers())
    second = next(call for call in world.ran("runners") if call is not first)
    assert "kv-save" not in second.headers
    assert second.headers["kv-fetch"] == holder.registration.address


@played(plain=2)
async def test_servers_that_lapsed_in_an_outage_are_used_until_they_are_back(
    world,
):
    """After an outage the store has lost entries of servers that live.

    Calls in the two seconds until the servers have written again must not be
    refused. An outage takes entries only if servers can't write for two of the
    intervals at which they do.
    """
    [router] = world.routers
    world.store.objects.down = True
    await world.until(lambda: not router.kinds["servers"].reached)
    await asyncio.sleep(watchers.MIN_LAPSE_OUTAGE_SECONDS)
    world.store.objects.down = False
    for name in ("p0", "p1"):
        world.store.remove("servers", name)
    await world.until(lambda: len(router.updater.lapsed) == 2)
    assert (await world.ask("/cards/", body=b"c")).status == 200
    world.tell(world.servers["p0"])
    await world.until(lambda: "p0" not in router.updater.lapsed)
    known = router.view.servers.by_incarnation
    await world.until(lambda: "p1" not in known)
    assert "p0" in known


@played(plain=1)
async def test_after_a_pause_no_older_connection_is_used(world):
    """A frozen VM wakes with connections that its servers closed meanwhile.

    A job card sent on one would be lost: it may have run, or not.
    """
    [router] = world.routers
    await world.ask("/cards/", body=b"c")
    assert any(router.pool.idle.values())
    router.look_for_a_pause(clocks.now() + 5)
    assert not any(router.pool.idle.values())
    assert (await world.ask("/cards/", body=b"c")).status == 200


@played(plain=1)
async def test_a_new_connection_of_a_leaving_router_may_still_ask(world):
    """A request that is on its way must be read, not met by a closed door.

    The client opens its connection, the router looks for idle connections,
    and only then the request comes.
    """
    [router] = world.routers
    router.view.leaving = True
    client = world.client()
    await client.open()
    await world.until(lambda: router.connections)
    router.tick()
    got = await client.ask("/cards/", body=b"c")
    assert (got.status, got.headers["connection"]) == (200, "close")


@played(plain=2)
async def test_a_call_under_way_at_its_deadline_is_not_promised_as_not_run(
    world,
):
    """A refusal that says "not run" would make the client post it again.

    The first server takes no connection; the second has the job card when
    the deadline comes, and works on it still.
    """
    [router] = world.routers
    dead, slow = world.servers["p0"], world.servers["p1"]
    router.view.servers.by_incarnation["p1"].trouble = 1.0
    router.view.servers.by_incarnation["p1"].troubled_at = clocks.now()
    dead.close()
    slow.work_seconds = 1.5
    got = await world.ask(
        "/cards/", body=b"card", headers={"Deadline-Ms": "400"}
    )
    assert got.status == 504
    assert len(world.ran("plain")) == 1


@played(runners=2)
async def test_a_failed_resumption_never_puts_a_second_answer_into_a_stream(
    world,
):
    """A stream that breaks must end as broken, not with another answer in it.

    The first runner is cut after three events; the one that should go on
    answers with an error of its own.
    """
    [router] = world.routers
    for server in world.servers.values():
        server.cut_after = 3 if server.service == "runners" else None
    first, second = (
        router.view.servers.by_incarnation[name] for name in ("r0", "r1")
    )
    second.trouble = 1.0
    second.troubled_at = clocks.now()
    world.servers["r1"].cut_after = None
    world.servers["r1"].fail = 9
    first.trouble = 0.0
    got = await world.ask("/lookups/", headers=stream_headers())
    assert not got.whole
    assert _numbers(got.body) == ["1", "2", "3"]
    assert b"failed" not in got.body


@played(plain=2)
async def test_a_server_that_left_after_an_outage_is_not_taken_for_lapsed(
    world,
):
    """A request reached a server 2,003 ms after it had left the store.

    The store came back, a server's entry was taken away 1.4 s later, as it
    left, and the router used it for two seconds more from then.
    """
    [router] = world.routers
    servers = router.kinds["servers"]
    servers.recovered_at = clocks.now() - 1.4
    world.store.remove("servers", "p0")
    known = router.view.servers.by_incarnation
    begun = clocks.now()
    await world.until(lambda: "p0" not in known)
    assert clocks.now() - begun < 1.0


@played(plain=1, runners=1)
async def test_at_the_end_of_the_grace_time_nothing_looks_whole_or_unanswered(
    world,
):
    """What can't be finished before SIGKILL gets its final answer.

    A job card at work is answered 504, as it may have run; a stream breaks
    off without the end mark that would make it look complete.
    """
    [router] = world.routers
    world.servers["p0"].work_seconds = 3.0
    world.servers["r0"].events, world.servers["r0"].event_seconds = 99, 0.05
    call, stream = world.client(), world.client()
    await call.open()
    await stream.open()
    call.send("/cards/", body=b"card")
    stream.send("/drafts/", headers=stream_headers())
    await world.until(lambda: len(router.exchanges) == 2)
    await world.until(lambda: world.servers["r0"].at_work)
    router.view.bounds = attrs.evolve(router.view.bounds, grace_seconds=1.0)
    await router.drain()
    assert (await call.read()).status == 504
    router.close()
    got = await stream.read()
    assert got.status == 200 and not got.whole


@played(plain=1)
async def test_a_leaving_router_finishes_the_call_of_a_client_that_left(world):
    """A job card whose client left must not be cut by the process's end."""
    [router] = world.routers
    world.servers["p0"].work_seconds = 0.6
    client = world.client()
    await client.open()
    client.send("/cards/", body=b"card")
    await world.until(lambda: world.servers["p0"].at_work)
    client.close()
    await world.until(lambda: not router.connections)
    assert len(router.exchanges) == 1
    await world.until(lambda: not router.exchanges)


@played()
async def test_a_client_that_waits_for_leave_to_send_its_body_gets_it(world):
    """A mechanic's upload hangs for a second before each job card.

    The client sends the head with "Expect: 100-continue" and waits; without
    an interim answer it sends the body only when its own patience is over.
    """
    client = world.client()
    await client.open()
    expects = {"Expect": "100-continue", "Content-Length": "4"}
    client.send("/cards/1", headers=expects)
    async with asyncio.timeout(0.5):
        interim = await client.reader.readuntil(b"\r\n\r\n")
    assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.writer.write(b"card")
    got = await client.read()
    client.close()
    assert (got.status, got.body) == (200, b"answer of card")
    [call] = world.ran("plain")
    assert "expect" not in call.headers


@played()
async def test_leave_to_send_waits_until_earlier_answers_are_out(world):
    """An interim answer before an earlier request's answer would be its own.

    A client sends a whole request and at once the head of the next, which
    waits for leave: the first answer must come first.
    """
    client = world.client()
    await client.open()
    client.send("/cards/1", body=b"one")
    expects = {"Expect": "100-continue", "Content-Length": "3"}
    client.send("/cards/2", headers=expects)
    first = await client.read()
    assert first.body == b"answer of one"
    interim = await client.reader.readuntil(b"\r\n\r\n")
    assert interim.startswith(b"HTTP/1.1 100 ")
    client.writer.write(b"two")
    second = await client.read()
    client.close()
    assert second.body == b"answer of two"


@played()
async def test_a_body_that_is_refused_by_its_length_is_not_asked_for(world):
    """A client must not send 20 KB to hear that they are too many."""
    expects = {"Expect": "100-continue", "Content-Length": "20000"}
    got = await world.ask("/cards/1", headers=expects)
    assert got.status == 413
