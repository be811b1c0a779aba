"""Scripts of servers' bytes on connections that carry several requests."""

import asyncio
import socket

import pytest

from pimentoledge.routing import server_connections
from pimentoledge.tests import scripted_connections

MORE_THAN_SOCKETS_BUFFER = 32 * 1024 * 1024


@pytest.mark.parametrize("id_first", [True, False])
def test_a_cut_head_is_not_continued_by_the_next_response(id_first):
    """Guards against the status of a cut response for the next request."""
    late = scripted_connections.Response(status=200, id_first=id_first)
    for cut in range(1, len(late.encode("<1+0>", "a"))):
        extra = scripted_connections.Extra(
            moment=scripted_connections.Moment.AWAITED, response=late, cut=cut
        )
        first = scripted_connections.Exchange(
            request="a",
            method=b"GET",
            response=scripted_connections.Response(status=500),
            extras=(extra,),
        )
        second = scripted_connections.Exchange(
            request="b",
            method=b"GET",
            response=scripted_connections.Response(status=500),
        )
        assert scripted_connections.play([first, second]).reused == 1


def test_a_connection_is_not_reused_after_an_unrequested_interim_response():
    """Guards against reuse after extra bytes that arrive with the response."""
    interim = scripted_connections.Extra(
        moment=scripted_connections.Moment.AT_ONCE,
        response=None,
        raw=b"HTTP/1.1 103 Early Hints\r\n\r\n",
    )
    response = scripted_connections.Response(status=200)
    first = scripted_connections.Exchange(
        request="a", method=b"GET", response=response, extras=(interim,)
    )
    second = scripted_connections.Exchange(
        request="b", method=b"GET", response=response
    )
    assert scripted_connections.play([first, second]).reused == 0


def test_a_connection_is_not_reused_while_its_request_is_being_sent():
    """Guards against a request that waits behind the rest of another one."""

    async def run():
        pool = server_connections.ConnectionPool()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            connection = await pool.acquire(address)
            accepted, _ = listener.accept()
            body = bytes(MORE_THAN_SOCKETS_BUFFER)
            head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
            connection.send(head % len(body) + body)
            accepted.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            while not isinstance(
                await connection.next(), server_connections.ResponseEnded
            ):
                pass
            pool.release(connection, idle_seconds=10)
            assert not pool.idle[address]
            accepted.close()

    asyncio.run(run())
