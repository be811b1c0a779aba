"""Peers that read nothing for longer than unreachable ones are kept."""

import asyncio
import contextlib
import socket
import struct
import time

import pytest

from pimentoledge.platform import names
from pimentoledge.platform import stand_in_platforms
from pimentoledge.platform import stand_in_servers
from pimentoledge.routing import clocks
from pimentoledge.routing import daemons
from pimentoledge.routing import server_connections
from pimentoledge.routing import slow_readers
from pimentoledge.tests import router_world

with_world = router_world.with_world

# Longer than the timeout of unacknowledged data and all keepalive probes.
PAUSE_SECONDS = 4.5
BODY = b"x" * 300_000
SLOW_BODY = b"x" * 40_000


def _narrow_socket(**more):
    """Returns a socket whose receive window holds a few KB."""
    sock = socket.socket(**more)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    return sock


def _slow_client(address):
    """Returns a connected socket of which a sender buffers some 50 KB."""
    sock = _narrow_socket()
    # Segments as on an Ethernet link; the buffer grows with their size.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    sock.connect(address)
    sock.setblocking(False)
    return sock


def _request(body, request):
    head = (
        "POST /cards/ HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {request}\r\nAuthorization: Bearer key-of-acme\r\n"
        f"Deadline-Ms: 20000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _allow_long_requests(world, *, kind="unsafe"):
    """Configures a timeout beyond the pause, and large bodies."""
    route = stand_in_platforms.route(
        "cards", service="plain", kind=kind, timeoutMs=15000
    )
    configuration = stand_in_platforms.configuration(
        2, routes=[route], limits={"maxBodyBytes": 2 * len(BODY)}
    )
    world.store.put(
        names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, configuration
    )
    [router] = world.routers
    await world.until(lambda: router.view.configuration.version == 2)


@with_world(plain=1, runners=0)
async def test_a_client_that_reads_late_gets_its_whole_response(world):
    """Guards against a live client whose connection is reset."""
    [router] = world.routers
    await _allow_long_requests(world)
    host, _, port = router.chosen.text("listen").rpartition(":")
    sock = _narrow_socket()
    sock.connect((host, int(port)))
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock, limit=2048)
    reader._transport.pause_reading()
    writer.write(_request(BODY, "slow"))
    await asyncio.sleep(PAUSE_SECONDS)
    reader._transport.resume_reading()
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    body = await reader.readexactly(len(b"answer of ") + len(BODY))
    assert body.endswith(BODY)
    await world.until(lambda: not router.slow_readers.waiting)
    writer.close()


@with_world(plain=1, runners=0)
async def test_a_planned_stop_waits_for_a_client_that_reads_late(world):
    """Guards against the end of a process that holds a part of a response."""
    # Small enough to be passed on at once.
    body = BODY[:200_000]
    [router] = world.routers
    await _allow_long_requests(world)
    host, _, port = router.chosen.text("listen").rpartition(":")
    sock = _slow_client((host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=2048)
    reader._transport.pause_reading()
    writer.write(_request(body, "slow"))
    await world.until(
        lambda: any(each.has_unsent() for each in router.connections)
    )
    await world.until(lambda: not router.exchanges)
    began = clocks.now()
    drain = asyncio.create_task(router.drain())
    await asyncio.sleep(daemons.BALANCER_REMOVAL_SECONDS + 0.5)
    assert not drain.done()
    reader._transport.resume_reading()
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(len(b"answer of ") + len(body))
    await drain
    assert clocks.now() - began < router.view.bounds.grace_seconds - 1
    writer.close()


async def _read_slowly(address, number):
    """Returns a response that is read at an even pace of 5 KB a second."""
    loop = asyncio.get_running_loop()
    # Windows close at different times between two checks.
    await asyncio.sleep(0.13 * number)
    sock = _slow_client(address)
    await loop.sock_sendall(sock, _request(SLOW_BODY, f"slow-{number}"))
    received = b""
    while not received.endswith(SLOW_BODY):
        data = await loop.sock_recv(sock, 500)
        if not data:
            break
        received += data
        await asyncio.sleep(0.1)
    sock.close()
    return received


@with_world(plain=1, runners=0)
async def test_clients_that_read_at_an_even_pace_get_whole_responses(world):
    """Guards against a reset when a window closes again, long after a write."""
    [router] = world.routers
    # Connections with unsafe requests have no timeout in any case.
    await _allow_long_requests(world, kind="safe")
    host, _, port = router.chosen.text("listen").rpartition(":")
    responses = await asyncio.gather(
        *(_read_slowly((host, int(port)), number) for number in range(16))
    )
    assert all(each.endswith(SLOW_BODY) for each in responses)
    await world.until(lambda: not router.slow_readers.waiting)


@with_world(plain=0, runners=0)
async def test_a_server_that_reads_late_gets_its_whole_request(world):
    """Guards against a long request that breaks at a live server."""
    received = []

    async def serve(reader, writer):
        reader._transport.pause_reading()
        await asyncio.sleep(PAUSE_SECONDS)
        reader._transport.resume_reading()
        head = await reader.readuntil(b"\r\n\r\n")
        received.append(await reader.readexactly(len(BODY)))
        assert b"slow" in head
        fields = b"%b: slow\r\n%b: s\r\n" % (names.REQUEST_ID, names.SIGNATURE)
        fields += b"Content-Length: 2\r\n\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + fields + b"ok")

    listener = _narrow_socket()
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listener, limit=2048)
    host, port = listener.getsockname()
    entry = stand_in_servers.StandInServer(
        incarnation="p9", service="plain", weights={}
    ).entry() | {"address": f"{host}:{port}"}
    world.store.put(names.SERVER_KIND, "p9", entry)
    [router] = world.routers
    await _allow_long_requests(world)
    await world.until(lambda: "p9" in router.view.servers.by_incarnation)
    host, _, port = router.chosen.text("listen").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(_request(BODY, "slow"))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert received == [BODY]
    writer.close()
    server.close()


@pytest.mark.parametrize(
    ("state", "waits"),
    [
        ({}, False),
        ({"unsent_bytes": 9000}, True),
        ({"unsent_bytes": 9000, "probes": 1}, True),
        ({"unsent_bytes": 9000, "probes": 2}, False),
        ({"unsent_bytes": 9000, "unacknowledged": 4}, False),
        ({"unacknowledged": 4, "window_bytes": 0}, False),
        ({"unsent_bytes": 9, "unacknowledged": 1, "window_bytes": 0}, True),
        (
            {
                "unsent_bytes": 9,
                "unacknowledged": 1,
                "window_bytes": 0,
                "acknowledged_ms": 1500,
            },
            False,
        ),
    ],
)
def test_only_a_peer_that_answers_probes_is_waited_for(state, waits):
    """Guards against unreachable peers that are found late."""
    fields = {
        "probes": 0,
        "retransmit_ms": 200.0,
        "segment_bytes": 1448,
        "unacknowledged": 0,
        "acknowledged_ms": 100,
        "unsent_bytes": 0,
        "window_bytes": 65536,
    }
    assert slow_readers.SendState(**fields | state).waits_for_reader() is waits


@contextlib.contextmanager
def _connected():
    """Yields a socket that doesn't block, and its peer, which reads slowly."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        _narrow_socket() as peer,
    ):
        peer.connect(listener.getsockname())
        sock, _ = listener.accept()
        with sock:
            sock.setblocking(False)
            yield sock, peer


def _read_all(peer):
    peer.settimeout(0.3)
    with contextlib.suppress(TimeoutError):
        while peer.recv(65536):
            pass


def test_a_timeout_is_suspended_until_the_peer_has_read_all():
    tcp = socket.IPPROTO_TCP
    with _connected() as (sock, peer):
        server_connections.enable_keepalive(sock)
        readers = slow_readers.SlowReaders()
        readers.tick([sock], 1.0)
        assert not readers.waiting
        sock.send(BODY)
        _await_closed_window(sock)
        readers.tick([sock], 2.0)
        assert readers.waiting == {sock}
        assert not sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        _read_all(peer)
        readers.tick([], 3.0)
        assert not readers.waiting
        assert (
            sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
            == server_connections.UNACKNOWLEDGED_MS
        )


def test_a_held_connection_gets_no_timeout_back():
    """Guards against the reset of a client whose unsafe request runs."""
    with _connected() as (sock, peer):
        sock.send(BODY)
        _await_closed_window(sock)
        readers = slow_readers.SlowReaders()
        readers.tick([sock], 2.0)
        assert readers.waiting == {sock}
        server_connections.disable_keepalive(sock)
        _read_all(peer)
        readers.tick([], 3.0)
        assert not readers.waiting
        assert not sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def _await_closed_window(sock):
    for _ in range(100):
        state = slow_readers.send_state(sock)
        if state.waits_for_reader():
            return
        time.sleep(0.02)
