"""Clients that can't be reached for some seconds while their requests run."""

import asyncio
import socket

import pytest

from pimentoledge.routing import clocks
from pimentoledge.tests import cut_links
from pimentoledge.tests import router_world

with_world = router_world.with_world
CUT_SECONDS = 2.5


async def _open(world):
    """Returns a client that notices a reset, and its socket."""
    client = world.client()
    await client.open()
    sock = client.writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    return client, sock._sock


@pytest.mark.parametrize("work_seconds", [0.4, 2.8], ids=["sent", "running"])
def test_an_unsafe_call_is_answered_though_its_client_was_cut_off(work_seconds):
    """Guards against a call that ran and whose client saw a reset."""

    @with_world(plain=1, runners=0)
    async def test(world):
        world.servers["p0"].work_seconds = work_seconds
        client, sock = await _open(world)
        headers = {"Deadline-Ms": "4000"}
        client.send("/cards/", body=b"c", headers=headers)
        await asyncio.sleep(0.2)
        with cut_links.unreachable(sock):
            await asyncio.sleep(CUT_SECONDS)
        async with asyncio.timeout(4.0):
            answer = await client.read()
        client.close()
        assert answer.status == 200
        assert answer.complete
        assert len(world.executed_requests("plain")) == 1

    test()


@pytest.mark.parametrize("before_events", [True, False])
def test_a_stream_that_can_not_resume_outlasts_a_cut(before_events):
    """Guards against a draft that ran and whose client saw a reset."""

    @with_world(plain=1, runners=1)
    async def test(world):
        runner = world.servers["r0"]
        runner.queue_seconds = 1.0 if before_events else 0.0
        runner.event_seconds = 0.3
        client, sock = await _open(world)
        headers = router_world.stream_headers(**{"Deadline-Ms": "7000"})
        client.send("/drafts/", headers=headers)
        await asyncio.sleep(0.7)
        with cut_links.unreachable(sock):
            await asyncio.sleep(CUT_SECONDS)
        async with asyncio.timeout(6.0):
            answer = await client.read()
        client.close()
        assert answer.complete
        assert answer.body.count(b"data:") == runner.events

    test()


@with_world(plain=1, runners=1)
async def test_a_stream_that_can_resume_ends_with_its_client(world):
    """Guards against streams for clients that are gone."""
    runner = world.servers["r0"]
    runner.events, runner.event_seconds = 100, 0.05
    client, sock = await _open(world)
    client.send("/lookups/", headers=router_world.stream_headers())
    await asyncio.sleep(0.3)
    with cut_links.unreachable(sock):
        await world.until(lambda: not world.routers[0].exchanges, seconds=3.0)
    client.close()


@with_world(plain=1, runners=0)
async def test_an_unreachable_client_is_not_held_after_its_call(world):
    """Guards against connections of dead clients that stay open."""
    [router] = world.routers
    client, sock = await _open(world)
    headers = {"Deadline-Ms": "1500"}
    client.send("/cards/", body=b"c", headers=headers)
    await world.until(lambda: world.executed_requests("plain"))
    sent = clocks.now()
    with cut_links.unreachable(sock):
        await world.until(lambda: not router.connections, seconds=6.0)
    assert clocks.now() - sent > 1.0
    client.close()
