"""Tests of a router's handling of faulty responses and slow peers."""

import asyncio
import contextlib
import os
import socket

from returns import result

from pimentoledge.platform import stand_in_servers
from pimentoledge.platform import stores
from pimentoledge.routing import calls
from pimentoledge.routing import clocks
from pimentoledge.routing import daemons
from pimentoledge.routing import registrations
from pimentoledge.routing import server_connections
from pimentoledge.tests import raw_servers
from pimentoledge.tests import router_world

IDENTITY = {"Request-Id": "q-raw"}


def reply(body=b"answer", *, length=None, status=200):
    """Returns a signed response to the request of these tests."""
    head = (
        f"HTTP/1.1 {status} X\r\nRequest-Id: q-raw\r\nServer-Stamp: s\r\n"
    ).encode()
    if length is not None:
        head += b"Content-Length: %d\r\n" % length
    return head + b"\r\n" + body


def before(answer, **how):
    """Turns a coroutine into a test with a server that sends given bytes."""

    def decorate(test):
        def run():
            async def whole(address):
                world = router_world.RouterWorld()
                try:
                    await world.start(plain=0, runners=0)
                    server = stand_in_servers.StandInServer(
                        incarnation="raw", service="plain"
                    )
                    spec = {**server.entry(), "address": address}
                    world.store.put("servers", "raw", spec)
                    known = world.routers[0].view.servers.by_incarnation
                    await world.until(lambda: known)
                    await test(world)
                finally:
                    await world.close()

            with raw_servers.raw_server(answer, **how) as url:
                asyncio.run(whole(url.removeprefix("http://")))

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return decorate


def send_request(world, path="/cards/", **more):
    headers = {**IDENTITY, **more}
    return world.request(path, body=b"card", headers=headers)


@before(reply(b"until the end"))
async def test_an_answer_without_a_length_ends_with_its_connection(world):
    got = await send_request(world)
    assert (got.status, got.body, got.complete) == (200, b"until the end", True)


@before(reply(b"half", length=9))
async def test_an_answer_that_is_cut_is_not_passed_on(world):
    """Guards against a truncated response passed on as complete."""
    assert (await send_request(world)).status == 502


@before(b"this is no answer\r\n\r\n")
async def test_bytes_that_are_no_answer_are_not_passed_on(world):
    assert (await send_request(world)).status == 502


@before(reply(b"first", length=5) + reply(b"second", length=6), hang=True)
async def test_a_second_answer_reaches_nobody(world):
    """Guards against a second response that belongs to no request.

    The connection is closed, so that the leftover bytes can't become the
    response to the next request.
    """
    got = await send_request(world)
    assert got.body == b"first"
    [router] = world.routers
    await asyncio.sleep(0.1)
    assert not any(router.pool.idle.values())


@before(reply(b"", length=0).replace(b"Server-Stamp: s\r\n", b""))
async def test_a_success_without_a_signature_is_not_passed_on(world):
    assert (await send_request(world)).status == 502


@before(reply(b"no", length=2, status=503))
async def test_a_503_without_a_not_run_signal_is_not_passed_on(world):
    """Guards against a client that repeats a request that may have run.

    A router's 503 means that the request never ran, but this server's doesn't.
    """
    assert (await send_request(world)).status == 502


@before(b"", hang=True)
async def test_a_silent_server_holds_a_request_only_to_its_deadline(world):
    """Guards against a server that accepts a request and never responds."""
    async with asyncio.timeout(1.5):
        got = await send_request(world, **{"Deadline-Ms": "400"})
    assert got.status == 504


@router_world.with_world(plain=1)
async def test_a_client_that_reads_nothing_holds_up_no_other(world):
    """Guards against a slow client that delays other clients."""
    slow = world.client()
    await slow.open()
    for _ in range(6):
        slow.send("/cards/", body=b"x" * 9000)
    for _ in range(3):
        assert (await world.request("/cards/", body=b"c")).status == 200
    slow.close()


def test_a_changed_settings_file_is_taken_up_without_a_signal(
    tmp_path, monkeypatch
):
    path = tmp_path / "router.toml"
    usual = 'name = "r"\nstore-address = "127.0.0.1:9"\n'
    path.write_text(usual + 'retry-slack = "20"\n')
    monkeypatch.setenv(daemons.CONFIG_VARIABLE, str(path))
    monkeypatch.setattr(daemons, "SETTINGS_CHECK_SECONDS", 0.0)
    match daemons.read_settings(dict(os.environ)):
        case result.Success(chosen):
            router = daemons.Router(chosen=chosen)
    router.tick()
    assert router.view.bounds.budget_slack == 20
    path.write_text(usual + 'retry-slack = "50"\n')
    os.utime(path, (1, 1))
    router.tick()
    assert router.view.bounds.budget_slack == 50
    path.write_text("not settings")
    os.utime(path, (2, 2))
    with contextlib.suppress(OSError):
        router.tick()
    assert router.view.bounds.budget_slack == 50


def test_a_store_that_falls_silent_is_given_up_and_asked_anew():
    """Guards against a watch that waits for ever on a silent connection.

    New connections may still work. A watch without a response well after its
    time must end, and its connection must not be used again.
    """

    async def play(address):
        caller = calls.Caller()
        store = stores.StoreClient(address=address, caller=caller)
        async with asyncio.timeout(4):
            found = await store.watch("servers", 1, 0.1)
        assert isinstance(found, registrations.Unavailable)
        assert not found.maybe_done
        assert not any(caller.pool.idle.values())

    with raw_servers.raw_server(b"", hang=True) as url:
        asyncio.run(play(url.removeprefix("http://")))


@router_world.with_world(plain=1)
async def test_idle_connections_are_watched_for_silence(world):
    """Guards against a server without power, which only probes detect."""
    await world.request("/cards/", body=b"c")
    [router] = world.routers
    [connection] = next(filter(None, router.pool.idle.values()))
    sock = connection._transport.get_extra_info("socket")
    tcp = socket.IPPROTO_TCP
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    unacknowledged = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
    assert unacknowledged == server_connections.UNACKNOWLEDGED_MS
    probing = sock.getsockopt(tcp, socket.TCP_KEEPIDLE) + sock.getsockopt(
        tcp, socket.TCP_KEEPINTVL
    ) * sock.getsockopt(tcp, socket.TCP_KEEPCNT)
    assert probing <= 3


def test_an_idle_connection_that_has_ended_is_not_used():
    """Guards against a request lost on a connection that is already closed."""

    async def play():
        pool = server_connections.ConnectionPool()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            connection = await pool.acquire(address)
            accepted, _ = listener.accept()
            pool.release(connection, idle_seconds=10)
            assert connection.is_reusable(clocks.now())
            # Its end arrives before the event loop runs again.
            accepted.close()
            other = await pool.acquire(address)
            assert other is not connection
            other.abort()

    asyncio.run(play())
