"""Responses that end with their connections, before real routers."""

import asyncio

import pytest

from pimentoledge.tests import router_world

with_world = router_world.with_world


@with_world(plain=0, runners=1)
async def test_a_stream_that_ends_with_its_connection_is_whole(world):
    """Guards against streams without chunks that are taken for broken."""
    server = world.servers["r0"]
    server.unframed = True
    answer = await world.request(
        "/drafts/", headers=router_world.stream_headers()
    )
    assert answer.status == 200
    assert answer.complete
    assert answer.body.count(b"id:") == server.events


@with_world(plain=0, runners=1)
async def test_a_stream_that_ends_within_an_event_is_broken_off(world):
    """Guards against a stream that looks whole without its last event."""
    server = world.servers["r0"]
    server.unframed = True
    server.cut_after = 2
    answer = await world.request(
        "/drafts/", headers=router_world.stream_headers()
    )
    assert answer.status == 200
    assert not answer.complete


@pytest.mark.parametrize("cut_after", [None, 2])
def test_a_stream_for_http_1_0_ends_with_the_connection(cut_after):
    """Guards against chunk sizes in events, and cut streams that look whole."""

    @with_world(plain=0, runners=1)
    async def run(world):
        server = world.servers["r0"]
        server.cut_after = cut_after
        client = world.client()
        await client.open()
        headers = router_world.stream_headers(Connection="keep-alive")
        client.send("/drafts/", headers=headers, version="1.0")
        async with asyncio.timeout(8):
            answer = await client.read_to_close()
        client.close()
        assert answer.status == 200
        assert "transfer-encoding" not in answer.headers
        assert answer.headers["connection"] == "close"
        assert answer.complete == (cut_after is None)
        lines = answer.body.split(b"\n")
        assert all(
            not line or line.startswith((b"id:", b"data:")) for line in lines
        )
        if answer.complete:
            assert answer.body.count(b"id:") == server.events

    run()


@with_world(plain=0, runners=1)
async def test_an_empty_stream_that_ends_with_its_connection_has_failed(world):
    """Guards against a crash after the head that is passed on as a success."""
    server = world.servers["r0"]
    server.unframed = True
    server.events = 0
    [router] = world.routers
    answer = await world.request(
        "/drafts/", headers=router_world.stream_headers()
    )
    assert answer.status == 502
    assert router.view.servers.by_incarnation["r0"].failure_rate


@with_world(plain=0, runners=1)
async def test_an_empty_stream_that_has_an_end_is_whole(world):
    """Guards against an empty answer that is refused though it is complete."""
    world.servers["r0"].events = 0
    answer = await world.request(
        "/drafts/", headers=router_world.stream_headers()
    )
    assert (answer.status, answer.complete) == (200, True)


@with_world(plain=1, runners=0)
async def test_a_response_that_ends_with_its_connection_is_whole(world):
    """Guards against answers without a length that are taken for broken."""
    world.servers["p0"].unframed = True
    answer = await world.request("/cards/", body=b"card")
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body == b"answer of card"


@with_world(plain=1, runners=0)
async def test_an_empty_response_that_ends_with_its_connection_has_failed(
    world,
):
    """Guards against a crash that is passed on as an empty success."""
    server = world.servers["p0"]
    server.unframed = server.empty = True
    answer = await world.request("/cards/", body=b"card")
    assert answer.status == 502


@with_world(plain=1, runners=0)
async def test_an_empty_response_with_a_length_is_whole(world):
    """Guards against an empty answer that is refused though it is complete."""
    world.servers["p0"].empty = True
    answer = await world.request("/cards/", body=b"card")
    assert (answer.status, answer.complete) == (200, True)
