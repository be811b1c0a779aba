"""Tests of the request path of a router with fakes of the platform."""

import asyncio

import attrs
import pytest

from pimentoledge.platform import names
from pimentoledge.platform import stand_in_platforms
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import load_controls
from pimentoledge.routing import wait_estimates
from pimentoledge.routing import watchers
from pimentoledge.tests import router_world

with_world = router_world.with_world
stream_headers = router_world.stream_headers


@with_world()
async def test_call_is_relayed_with_its_response_and_headers(
    world,
):
    got = await world.request(
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
    assert (got.status, got.body, got.complete) == (
        200,
        b"answer of card",
        True,
    )
    assert got.headers["server-stamp"] == "stand.in"
    [call] = world.executed_requests("plain")
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


@with_world()
async def test_requests_the_configuration_does_not_allow_are_refused(world):
    cases = [
        ("/nowhere/", {}, 404),
        ("/cards/", {"key": None}, 401),
        ("/cards/", {"key": "unknown"}, 401),
        ("/cards/", {"body": b"x" * 20000}, 413),
        ("/cards/", {"headers": {"X": "y" * 9000}}, 431),
        ("/cards/", {"headers": {"Transfer-Encoding": "chunked"}}, 400),
    ]
    for path, more, status in cases:
        got = await world.request(path, **more)
        assert got.status == status, (path, more)
    assert not world.executed_requests("plain")


def test_router_without_configuration_refuses_with_retry_after():
    """A router without a configuration must refuse with 503 and Retry-After.

    It starts while the store is down, so it can't know routes or keys; a 404
    or 401 would be wrong.
    """

    async def play():
        world = router_world.RouterWorld()
        world.store.start()
        world.store.objects.down = True
        try:
            port = router_world.free_port()
            await world.add_router("router", port, [port])
            got = await world.request("/cards/")
            assert got.status == 503
            assert float(got.headers["retry-after"]) > 0
            ready = await world.request("/-/ready")
            assert ready.status == 503
        finally:
            await world.close()

    asyncio.run(play())


@with_world()
async def test_unrepeatable_call_without_response_is_not_retried(
    world,
):
    """Guards against a duplicate run of a call that is not repeatable.

    The server runs the call and its connection breaks before the response. A
    retry at another server would run it twice.
    """
    for server in world.servers.values():
        server.lose = 1
    got = await world.request("/cards/", body=b"card")
    assert got.status == 502
    assert len(world.executed_requests("plain")) == 1


@with_world()
async def test_call_refused_as_not_run_is_retried_elsewhere(world):
    await world.until_retries_allowed("plain")
    world.servers["p0"].refuse = 1
    world.servers["p1"].refuse = 0
    for _ in range(3):
        got = await world.request("/cards/", body=b"card")
        assert got.status == 200
    assert len(world.executed_requests("plain")) == 3


@with_world()
async def test_refusal_by_all_servers_has_retry_after(world):
    for server in world.servers.values():
        server.refuse = 9
    got = await world.request("/cards/", body=b"card")
    assert got.status == 503
    assert 0 < float(got.headers["retry-after"]) < 2
    assert b"not_run" in got.body
    assert not world.executed_requests("plain")


@with_world()
async def test_failed_repeatable_call_is_retried_elsewhere(world):
    await world.until_retries_allowed("plain")
    for server in world.servers.values():
        server.fail = 1
    got = await world.request("/notices/", method="GET")
    assert got.status == 500  # Both failed, and two servers are allowed.
    assert len(world.executed_requests("plain")) == 2
    got = await world.request("/notices/", method="GET")
    assert got.status == 200


@with_world(plain=1)
async def test_response_to_another_request_is_not_relayed(world):
    """Guards against relaying the response to another request.

    The server's response bears another request id than the one sent.
    """
    world.servers["p0"].misnumber = 1
    got = await world.request("/cards/", body=b"card")
    assert got.status == 504 or got.status == 502
    got = await world.request("/cards/", body=b"next")
    assert got.body == b"answer of next"


@with_world()
async def test_stream_is_relayed_completely(world):
    got = await world.request("/drafts/", headers=stream_headers())
    assert got.status == 200 and got.complete
    assert [int(n) for n in _numbers(got.body)] == [1, 2, 3, 4, 5]
    [call] = world.executed_requests("runners")
    assert call.headers["expect-version"] == "1"
    [router] = world.routers
    group = router.view.configuration.shared_group
    assert group.startswith("~")
    assert call.headers["cache-salt"] == f"1.{group}"
    assert call.headers["kv-save"] == world.kv_server.address
    # The route's urgency, 1, within the organisation's, 2.
    assert call.headers["request-priority"] == "7"


@with_world()
async def test_isolated_organisations_share_no_cache_namespace(world):
    await world.request(
        "/drafts/", key="key-of-walled", headers=stream_headers()
    )
    [call] = world.executed_requests("runners")
    assert call.headers["cache-salt"] == "1.walled"


@with_world(runners=1)
async def test_an_organisation_that_becomes_isolated_shares_no_earlier_parts(
    world,
):
    """Guards against parts made before that others go on using."""
    [router] = world.routers
    salts = {}
    for version, isolated in ((2, False), (3, True), (4, False), (5, True)):
        tenants = [
            {"name": "acme", "apiKeys": ["key-a"], "isolated": isolated},
            {"name": "other", "apiKeys": ["key-o"]},
        ]
        world.store.put(
            names.CONFIGURATION_KIND,
            names.CONFIGURATION_NAME,
            stand_in_platforms.configuration(version, tenants=tenants),
        )
        await world.until(
            lambda number=version: router.view.configuration.version == number
        )
        for key in ("key-a", "key-o"):
            await world.request("/drafts/", key=key, headers=stream_headers())
            call = world.executed_requests("runners")[-1]
            salts[version, key] = call.headers["cache-salt"]
    for version in (2, 4):
        assert salts[version, "key-a"] == salts[version, "key-o"]
    for version in (3, 5):
        alone = salts[version, "key-a"]
        assert [key for key, salt in salts.items() if salt == alone] == [
            (3, "key-a"),
            (5, "key-a"),
        ]
        assert salts[version, "key-o"] != salts[version - 1, "key-o"]


def _numbers(body):
    return [
        line[3:].strip()
        for line in body.decode().split("\n")
        if line.startswith("id:")
    ]


@with_world()
async def test_broken_stream_resumes_elsewhere_without_a_gap(world):
    """A client must get each event once although a runner's stream breaks.

    The first runner's stream ends within its fourth event; another runner
    resumes after the third event, in the same response.
    """
    await world.until_retries_allowed("runners")
    for server in world.servers.values():
        server.cut_after = 3 if server.service == "runners" else None
    got = await world.request("/lookups/", headers=stream_headers())
    # The second runner's stream breaks as well, before its last two events.
    assert _numbers(got.body)[:3] == ["1", "2", "3"]
    assert got.status == 200
    resumed = [
        call.headers["last-event-id"]
        for call in world.executed_requests("runners")
        if "last-event-id" in call.headers
    ]
    assert resumed == ["3"]


@with_world()
async def test_broken_stream_without_resumption_does_not_look_complete(world):
    """A stream that breaks must not look complete, nor run again."""
    for server in world.servers.values():
        server.cut_after = 3
    got = await world.request("/drafts/", headers=stream_headers())
    assert not got.complete
    assert _numbers(got.body) == ["1", "2", "3"]
    assert len(world.executed_requests("runners")) == 1


@with_world(runners=1)
async def test_stream_is_cancelled_when_client_disconnects(world):
    """A runner must stop generating once the client has disconnected."""
    runner = world.servers["r0"]
    runner.events, runner.event_seconds = 1000, 0.02
    client = world.client()
    await client.open()
    client.send("/drafts/", headers=stream_headers())
    await world.until(lambda: runner.active_requests == 1)
    client.close()
    await world.until(lambda: runner.active_requests == 0, seconds=1.0)


@with_world(plain=1)
async def test_unrepeatable_call_finishes_after_client_disconnects(world):
    client = world.client()
    await client.open()
    client.send("/cards/", body=b"card")
    await world.until(lambda: len(world.servers["p0"].calls) == 1)
    client.close()
    await world.until(lambda: world.servers["p0"].active_requests == 0)
    got = await world.request("/cards/", body=b"next")
    assert got.body == b"answer of next"


@with_world()
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
    assert (await world.request("/cards/")).status == 404
    assert (await world.request("/new/", method="GET")).status == 401
    assert (
        await world.request("/new/", method="GET", key="fresh")
    ).status == 200
    # A late update with an older version is ignored.
    world.store.put("config", "main", {**first, "version": 3})
    await asyncio.sleep(0.2)
    assert router.view.configuration.version == 5


@with_world()
async def test_leaving_server_gets_no_new_requests(world):
    world.write_registration(world.servers["p0"], leaving=True)
    [router] = world.routers
    await world.until(
        lambda: router.view.servers.by_incarnation["p0"].registration.leaving
    )
    for _ in range(4):
        assert (await world.request("/cards/", body=b"c")).status == 200
    assert not world.servers["p0"].calls


@with_world(plain=2)
async def test_call_to_a_dead_server_is_retried(world):
    """A call is retried when the connection to a dead server fails.

    Nothing was sent, so even a call that is not repeatable may be retried.
    """
    world.servers["p0"].close()
    for _ in range(4):
        assert (await world.request("/cards/", body=b"c")).status == 200


@with_world(plain=1)
async def test_other_server_at_a_reused_address_runs_nothing(world):
    """A request must not run on a server that took over another's address.

    After a crash another incarnation uses the address, while the router has
    the former one cached. The response reports the new incarnation, and the
    router sends nothing more to the former one.
    """
    server = world.servers["p0"]
    server.incarnation = "somebody-else"
    got = await world.request("/cards/", body=b"c")
    assert got.status == 503
    assert not world.executed_requests("plain")


@with_world(plain=1)
async def test_draining_router_finishes_requests_and_refuses_late_ones(
    world,
):
    """A draining router fails its readiness probe and finishes its requests.

    Once the load balancer has removed it, it refuses new calls with "not run",
    so that the end of the grace time interrupts none.
    """
    [router] = world.routers
    kept = world.client()
    await kept.open()
    assert (await kept.request("/cards/", body=b"a")).status == 200
    drain = asyncio.ensure_future(router.drain())
    await asyncio.sleep(0.3)
    assert (await world.request("/-/ready")).status == 503
    got = await world.request("/cards/", body=b"b")
    assert (got.status, got.headers["connection"]) == (200, "close")
    assert (await kept.read()).status is None  # Closed while it was idle.
    await drain
    got = await world.request("/cards/", body=b"c")
    assert got.status == 503
    assert b"not_run" in got.body


@with_world(plain=1)
async def test_requests_on_one_connection_are_answered_in_order(world):
    client = world.client()
    await client.open()
    for body in (b"one", b"two", b"three"):
        client.send("/cards/", body=body)
    for body in (b"one", b"two", b"three"):
        assert (await client.read()).body == b"answer of " + body
    client.close()


@with_world(plain=1)
async def test_metrics_count_decisions(world):
    await world.request("/cards/", body=b"c")
    [router] = world.routers
    client = router_world.Client(router.chosen.text("metrics-listen"))
    await client.open()
    got = await client.request("/metrics", method="GET")
    client.close()
    assert b'kind="answered",outcome=""' in got.body


@with_world(runners=2)
async def test_prompt_parts_come_from_a_runner_without_kv_cache_server(world):
    """Guards against fetches from a dead KV cache server, some 100 ms each.

    After the server dies, nothing is saved to it or fetched from it. Prompt
    parts that another runner has cached are fetched from that runner.
    """
    [router] = world.routers
    await world.request("/drafts/", headers=stream_headers())
    [first] = world.executed_requests("runners")
    world.kv_server.close()
    await world.until(lambda: router.view.caches_down)
    assert not router.view.saved.saved
    holder = next(
        each
        for each in router.view.servers.by_incarnation.values()
        if each.parts
    )
    holder.failure_rate = 1.0
    holder.failure_rate_at = clocks.now()
    await world.request("/drafts/", headers=stream_headers())
    second = next(
        call for call in world.executed_requests("runners") if call is not first
    )
    assert "kv-save" not in second.headers
    assert second.headers["kv-fetch"] == holder.registration.address


@with_world(plain=2)
async def test_servers_expired_in_an_outage_are_used_until_they_are_back(
    world,
):
    """Guards against refusals after an outage in which entries expired.

    The store loses entries of live servers if they can't renew them for two
    renewal intervals. Calls in the two seconds until the servers have written
    their entries again must not be refused.
    """
    [router] = world.routers
    world.store.objects.down = True
    await world.until(lambda: not router.kinds["servers"].reached)
    await asyncio.sleep(watchers.MIN_LAPSE_OUTAGE_SECONDS)
    world.store.objects.down = False
    for name in ("p0", "p1"):
        world.store.remove("servers", name)
    await world.until(lambda: len(router.updater.lapsed) == 2)
    assert (await world.request("/cards/", body=b"c")).status == 200
    world.write_registration(world.servers["p0"])
    await world.until(lambda: "p0" not in router.updater.lapsed)
    known = router.view.servers.by_incarnation
    await world.until(lambda: "p1" not in known)
    assert "p0" in known


@with_world(plain=1)
async def test_connections_from_before_a_pause_are_not_reused(world):
    """Guards against idle connections that look open after a VM was suspended.

    Servers close them meanwhile. Whether a call sent on one has run would be
    unknown.
    """
    [router] = world.routers
    await world.request("/cards/", body=b"c")
    assert any(router.pool.idle.values())
    router.detect_pause(clocks.now() + 5)
    assert not any(router.pool.idle.values())
    assert (await world.request("/cards/", body=b"c")).status == 200


@with_world(plain=1)
async def test_draining_router_serves_first_request_on_new_connection(world):
    """Guards against closing a new connection before its first request.

    The client opens a connection to a draining router, the router closes idle
    connections, and only then the request arrives.
    """
    [router] = world.routers
    router.view.leaving = True
    client = world.client()
    await client.open()
    await world.until(lambda: router.connections)
    router.tick()
    got = await client.request("/cards/", body=b"c")
    assert (got.status, got.headers["connection"]) == (200, "close")


@with_world(plain=2)
async def test_call_in_progress_at_its_deadline_is_not_reported_as_not_run(
    world,
):
    """Guards against a false "not run", which makes the client retry the call.

    The first server accepts no connection; the second is still executing the
    call at the deadline.
    """
    [router] = world.routers
    dead, slow = world.servers["p0"], world.servers["p1"]
    router.view.servers.by_incarnation["p1"].failure_rate = 1.0
    router.view.servers.by_incarnation["p1"].failure_rate_at = clocks.now()
    dead.close()
    slow.work_seconds = 1.5
    got = await world.request(
        "/cards/", body=b"card", headers={"Deadline-Ms": "400"}
    )
    assert got.status == 504
    assert len(world.executed_requests("plain")) == 1


@with_world(runners=2)
async def test_failed_resumption_sends_no_second_response_in_a_stream(
    world,
):
    """Guards against a second response within a stream that has started.

    The first runner's stream breaks after three events; the runner that should
    resume it responds with an error.
    """
    [router] = world.routers
    for server in world.servers.values():
        server.cut_after = 3 if server.service == "runners" else None
    first, second = (
        router.view.servers.by_incarnation[name] for name in ("r0", "r1")
    )
    second.failure_rate = 1.0
    second.failure_rate_at = clocks.now()
    world.servers["r1"].cut_after = None
    world.servers["r1"].fail = 9
    first.failure_rate = 0.0
    got = await world.request("/lookups/", headers=stream_headers())
    assert not got.complete
    assert _numbers(got.body) == ["1", "2", "3"]
    assert b"failed" not in got.body


@with_world(plain=2)
async def test_server_that_left_after_an_outage_is_not_used_as_expired(
    world,
):
    """Guards against treating a server that left as one whose entry expired.

    A server left and removed its entry 1.4 s after an outage of the store. The
    router took the entry for expired and used the server for two seconds
    more: a request reached it 2,003 ms after its removal.
    """
    [router] = world.routers
    servers = router.kinds["servers"]
    servers.recovered_at = clocks.now() - 1.4
    world.store.remove("servers", "p0")
    known = router.view.servers.by_incarnation
    begun = clocks.now()
    await world.until(lambda: "p0" not in known)
    assert clocks.now() - begun < 1.0


@with_world(plain=1, runners=1)
async def test_requests_at_the_end_of_the_grace_time_get_final_responses(
    world,
):
    """Requests that can't finish before SIGKILL must get a final response.

    A call in progress gets a 504, as it may have run; a stream is aborted
    without the last chunk, which would make it look complete.
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
    await world.until(lambda: world.servers["r0"].active_requests)
    router.view.bounds = attrs.evolve(router.view.bounds, grace_seconds=1.0)
    await router.drain()
    assert (await call.read()).status == 504
    router.close()
    got = await stream.read()
    assert got.status == 200 and not got.complete


@with_world(plain=1)
async def test_draining_router_finishes_call_of_disconnected_client(world):
    """A draining router must finish a call whose client has disconnected."""
    [router] = world.routers
    world.servers["p0"].work_seconds = 0.6
    client = world.client()
    await client.open()
    client.send("/cards/", body=b"card")
    await world.until(lambda: world.servers["p0"].active_requests)
    client.close()
    await world.until(lambda: not router.connections)
    assert len(router.exchanges) == 1
    await world.until(lambda: not router.exchanges)


@with_world()
async def test_expect_100_continue_gets_interim_response(world):
    """Guards against uploads that stall for a second.

    The client sends "Expect: 100-continue" and waits; without an interim
    response it sends the body only after its own timeout.
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
    [call] = world.executed_requests("plain")
    assert "expect" not in call.headers


@with_world()
async def test_interim_response_waits_for_earlier_responses(world):
    """Guards against an interim response that precedes an earlier response.

    A client sends a complete request and at once the head of the next one with
    "Expect: 100-continue". An interim response sent first would be taken as
    belonging to the first request.
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


@with_world()
async def test_too_large_body_is_refused_without_interim_response(world):
    """A client must not have to send 20 KB to get a 413."""
    expects = {"Expect": "100-continue", "Content-Length": "20000"}
    got = await world.request("/cards/1", headers=expects)
    assert got.status == 413


def test_an_attempt_that_fails_to_start_leaves_no_load(monkeypatch):
    """Guards against servers that appear to have less than no requests."""

    def fail(*args):
        raise ValueError("no estimate")

    @with_world(plain=0, runners=1)
    async def run(world):
        [router] = world.routers
        router.view.load_control.mode = load_controls.Mode.ON
        backend = router.view.servers.by_incarnation["r0"]
        with monkeypatch.context() as patched:
            patched.setattr(wait_estimates, "tokens_ahead", fail)
            got = await world.request("/drafts/", headers=stream_headers())
        assert got.status == 500
        load = (backend.open, backend.open_tokens, backend.unbegun)
        assert load == (0, 0, 0)
        assert backend.unread_tokens == 0
        got = await world.request("/drafts/", headers=stream_headers())
        assert (got.status, got.complete) == (200, True)
        assert (backend.open, backend.open_tokens) == (0, 0)

    run()


@pytest.mark.parametrize(
    "mode", [load_controls.Mode.ON, load_controls.Mode.OFF]
)
def test_gaps_are_observed_where_load_control_applies(monkeypatch, mode):
    """Guards against estimating speeds at each event for no use."""
    gaps = []
    monkeypatch.setattr(
        backends.Backend,
        "note_paced_gap",
        lambda backend, seconds, now: gaps.append(seconds),
    )

    @with_world(plain=0, runners=1)
    async def run(world):
        [router] = world.routers
        router.view.load_control.mode = mode
        got = await world.request("/drafts/", headers=stream_headers())
        assert (got.status, got.complete) == (200, True)
        assert bool(gaps) == (mode is load_controls.Mode.ON)

    run()


@with_world()
async def test_a_response_to_head_has_no_body_on_either_side(world):
    """Guards against a wait for a body, and bytes taken for a next response."""
    client = world.client()
    await client.open()
    for path, status in (("/notices/", 200), ("/nowhere/", 404)):
        client.send(path, method="HEAD")
        async with asyncio.timeout(2):
            found, headers = await client._read_head()
        assert found == status
        assert headers.get("content-length") != "0"
        answer = await client.request("/notices/", body=b"n")
        assert (answer.status, answer.complete) == (200, True)
    client.close()
    [head, *_] = world.executed_requests("plain")
    assert head.body == b""


@with_world()
async def test_a_server_that_sends_a_body_to_head_answers_no_other_request(
    world,
):
    """Guards against a body that is taken for a later response."""
    for server in world.servers.values():
        server.body_to_head = True
    client = world.client()
    await client.open()
    for _ in range(4):
        client.send("/notices/", method="HEAD")
        async with asyncio.timeout(2):
            assert (await client._read_head())[0] == 200
        answer = await client.request("/notices/", body=b"n")
        assert (answer.status, answer.complete) == (200, True)
    client.close()


@with_world(plain=1, runners=0)
async def test_many_pipelined_probes_are_all_answered(world):
    """Guards against a depth of calls that grows with pipelined requests."""
    client = world.client()
    await client.open()
    client.writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n" * 1500)
    async with asyncio.timeout(8):
        for _ in range(1500):
            assert (await client.read()).status == 200
    client.close()
