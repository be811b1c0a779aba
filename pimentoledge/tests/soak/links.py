"""A TCP proxy in front of a server that injects network faults."""

import asyncio
import contextlib
import socket
import struct

CHUNK_BYTES = 65536
SLOW_DELAY_SECONDS = 0.25
# SO_LINGER with a timeout of 0: closing the socket resets the connection.
_ZERO_LINGER = struct.pack("ii", 1, 0)


class Link:
    """Proxies the connections to one server.

    Attributes:
        target: function that returns IP:PORT of the server.
        address: IP:PORT of the proxy, once it has been started.
        slow: whether data is delayed.
        mute: whether the server's data is discarded. A connection on which
            data was discarded never forwards data in that direction again.
        silent: whether data is discarded in both directions, likewise for the
            rest of the connection.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.slow = False
        self.mute = False
        self.silent = False
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task, asyncio.StreamWriter] = {}

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        self._server.close()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reset(self) -> None:
        """Resets all connections from routers."""
        for writer in self._connections.values():
            _reset(writer)

    async def _handle_connection(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._connections[task] = writer
        try:
            await self._relay(reader, writer)
        except OSError:
            # An error on one connection resets the other.
            _reset(writer)
        except asyncio.CancelledError:
            # Only `close` cancels. The error isn't raised again: asyncio's
            # server reports a connection's task that ends cancelled.
            _reset(writer)
        finally:
            del self._connections[task]
            writer.close()

    async def _relay(self, reader, writer) -> None:
        host, _, port = self.target().rpartition(":")
        server = await asyncio.open_connection(host, int(port))
        requests_task = asyncio.create_task(
            self._forward(reader, server[1], self._request_lost)
        )
        answers_task = asyncio.create_task(
            self._forward(server[0], writer, self._answer_lost)
        )
        try:
            await asyncio.wait(
                (requests_task, answers_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for task in (requests_task, answers_task):
                task.cancel()
            await asyncio.gather(
                requests_task, answers_task, return_exceptions=True
            )
            server[1].close()

    def _request_lost(self) -> bool:
        return self.silent

    def _answer_lost(self) -> bool:
        return self.silent or self.mute

    async def _forward(self, reader, writer, is_lost) -> None:
        """Forwards one direction until its end.

        Once data was discarded, all later data is discarded as well.
        """
        discarding = False
        while data := await reader.read(CHUNK_BYTES):
            discarding = discarding or is_lost()
            if discarding:
                continue
            if self.slow:
                await asyncio.sleep(SLOW_DELAY_SECONDS)
            writer.write(data)
            await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    writer.transport.abort()
