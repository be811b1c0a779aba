"""Servers that answer again on a connection that carries further requests."""

import asyncio
import contextlib
import itertools
import socket

import pytest

from pimentoledge.platform import second_responses
from pimentoledge.routing import server_connections
from pimentoledge.tests import router_world

with_world = router_world.with_world


@pytest.mark.parametrize("path", ["/notices/", "/cards/"])
@pytest.mark.parametrize("late_status", [200, 503])
def test_a_late_response_does_not_answer_a_request_with_the_same_id(
    path, late_status
):
    """Guards against a success of a first try for a second that failed."""

    @with_world(plain=1)
    async def test(world):
        server = world.servers["p0"]
        server.second_response = lambda request: (
            second_responses.SecondResponse(statuses={500: late_status})
        )
        server.fail = 2
        answers = []
        for organisation_key in (
            router_world.KEY,
            router_world.stand_in_platforms.ISOLATED_KEY,
        ):
            answers.append(
                await world.request(
                    path,
                    body=b"c",
                    headers={"Request-Id": "same"},
                    key=organisation_key,
                )
            )
        assert [each.status for each in answers] == [500, 500]
        assert [each.body for each in answers] == [b"failed", b"failed"]

    test()


@with_world(plain=1)
async def test_a_connection_does_not_collect_ids_without_end(world):
    """Guards against memory that grows with the age of a connection."""
    [router] = world.routers
    client = world.client()
    await client.open()
    for _ in range(server_connections.MAX_REQUESTS + 1):
        assert (await client.request("/cards/", body=b"c")).status == 200
    client.close()
    [address] = router.pool.idle
    [connection] = router.pool.idle[address]
    assert connection.request_count == len(connection.carried) == 1


@contextlib.asynccontextmanager
async def _waiting_connection(pool=None):
    """Yields a connection on which a request waits, and the server's socket."""
    pool = pool or server_connections.ConnectionPool()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        connection = await pool.acquire(f"{host}:{port}")
        accepted, _ = listener.accept()
        with accepted:
            connection.send(b"GET / HTTP/1.1\r\n\r\n", request="a")
            yield connection, accepted


async def _events_until_end(connection):
    """Returns the kinds of events up to the end of a response."""
    kinds = []
    while not kinds or kinds[-1] not in (
        server_connections.ResponseEnded,
        server_connections.ConnectionBroken,
    ):
        kinds.append(type(await connection.next()))
    return kinds


@pytest.mark.parametrize("size", [1, 17, 50])
def test_a_connection_on_which_another_head_has_begun_is_not_reused(size):
    """Guards against the rest of a late head that completes the next one."""
    response = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n"
    )

    async def play():
        extra = []
        pool = server_connections.ConnectionPool(
            on_extra=lambda connection, head, size: extra.append(head)
        )
        async with _waiting_connection(pool) as (connection, accepted):
            accepted.sendall(response + response[:size])
            kinds = await _events_until_end(connection)
            assert kinds[-1] is server_connections.ResponseEnded
            pool.release(connection, idle_seconds=10)
            assert not pool.idle[connection.address]
            assert extra == [None]

    asyncio.run(play())


@pytest.mark.parametrize("missing", [1, 5, 11, 12, 35])
@pytest.mark.parametrize("sizes", [(), (0,), (10,), (10, 20)])
def test_a_cut_response_is_not_completed_by_the_next_one(missing, sizes):
    """Guards against a success whose body ends with the head of a failure."""
    cut = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: %d\r\n\r\n"
        % (5 + missing)
        + b"begin"
    )
    other = b"HTTP/1.1 500 Failed\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n"

    async def play():
        async with _waiting_connection() as (connection, accepted):
            ends = (0, *sizes, len(other))
            pieces = [cut] + [
                other[start:end] for start, end in itertools.pairwise(ends)
            ]
            if not sizes:
                pieces = [cut + other]
            # The router may close the connection before all pieces are sent.
            with contextlib.suppress(ConnectionError):
                for each in pieces:
                    accepted.sendall(each)
                    await asyncio.sleep(0.02)
            kinds = await _events_until_end(connection)
            assert kinds[-1] is server_connections.ConnectionBroken

    asyncio.run(play())


def test_a_response_is_whole_whatever_its_body_quotes():
    """Guards against answers about HTTP that are taken for cut ones."""
    body = b"HTTP/1.1 500 Failed\r\nRequest-Id: a\r\n\r\n"
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def play():
        async with _waiting_connection() as (connection, accepted):
            accepted.sendall(response + body + response)
            kinds = await _events_until_end(connection)
            assert kinds[-1] is server_connections.ResponseEnded

    asyncio.run(play())


@pytest.mark.parametrize("path", ["/notices/", "/cards/"])
@pytest.mark.parametrize("size", [13, 16, 40, 60, 90])
def test_a_late_response_that_is_cut_gives_no_status_to_the_next_one(
    path, size
):
    """Guards against a success that a server had answered with a failure."""

    @with_world(plain=1)
    async def test(world):
        server = world.servers["p0"]
        server.second_response = lambda _: second_responses.SecondResponse(
            max_bytes=size
        )
        assert (await world.request(path, body=b"c")).status == 200
        server.fail = 1
        assert (await world.request(path, body=b"c")).status == 502

    test()


@with_world(plain=1)
async def test_a_cut_late_response_does_not_hold_up_the_next_one(world):
    """Guards against a response that is skipped as part of another's body."""
    server = world.servers["p0"]
    body = b"c" * 2000
    server.second_response = lambda _: second_responses.SecondResponse(
        max_bytes=300
    )
    await world.request("/cards/", body=body)
    began = asyncio.get_running_loop().time()
    assert (await world.request("/cards/", body=body)).status == 502
    assert asyncio.get_running_loop().time() - began < 1.0


@pytest.mark.parametrize("path", ["/notices/", "/cards/"])
@pytest.mark.parametrize("missing", [1, 4, 12, 32])
def test_a_cut_body_is_not_completed_by_a_response_that_goes_on_later(
    path, missing
):
    """Guards against a success with another answer's head in its body.

    The first bytes of the second response complete the body exactly, and what
    tells that they don't belong to it comes in a later read.
    """

    @with_world(plain=1)
    async def test(world):
        server = world.servers["p0"]
        server.second_response = lambda _: second_responses.SecondResponse(
            statuses={200: 500},
            delay_seconds=0.02,
            piece_bytes=missing,
            missing_bytes=missing,
        )
        assert (await world.request(path, body=b"c" * 64)).status == 502

    test()


@with_world(plain=1)
async def test_a_body_that_quotes_a_status_line_is_passed_on(world):
    """Guards against whole answers that wait for their missing bytes."""
    for body in (b"HTTP/1.1 500 Failed\r\n", b"GET / HTT"):
        answer = await world.request("/cards/", body=body)
        assert (answer.status, answer.body) == (200, b"answer of " + body)


@pytest.mark.parametrize(("name", "status"), [("same", 502), ("other", 200)])
def test_a_body_with_another_response_to_its_request_is_not_whole(name, status):
    """Guards against a cut response that a second one completes exactly."""

    @with_world(plain=1)
    async def test(world):
        second = f"HTTP/1.1 500 Failed\r\nRequest-Id: {name}\r\n\r\n"
        answer = await world.request(
            "/cards/", body=second.encode(), headers={"Request-Id": "same"}
        )
        assert answer.status == status

    test()


@pytest.mark.parametrize(
    ("value", "delivered"),
    [
        (b"HTTP/1.1 502 Bad Gateway, then retried", True),
        (b'214 - "HTTP/1.1 200 OK"', True),
        (b"1.1 cacheHTTP/1.1 500 Failed", False),
    ],
)
def test_a_field_may_quote_a_status_line_on_a_new_connection(value, delivered):
    """Guards against servers of which each response counts as cut."""
    data = b"HTTP/1.1 200 OK\r\nNote: %b\r\nContent-Length: 0\r\n\r\n" % value

    async def play():
        pool = server_connections.ConnectionPool()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            for _ in range(2):
                connection = await pool.acquire(address)
                accepted, _ = listener.accept()
                connection.send(b"GET / HTTP/1.1\r\n\r\n", request="a")
                accepted.sendall(data)
                kinds = await _events_until_end(connection)
                ended = kinds[-1] is server_connections.ResponseEnded
                assert ended == delivered
                pool.release(connection, idle_seconds=10)
                assert not pool.idle[address]
                accepted.close()

    asyncio.run(play())
