"""Connections to servers: one request at a time, every byte accounted for."""

import asyncio
import collections
import socket

import attrs

from pimentoledge.routing import clocks
from pimentoledge.routing import http_messages

# A peer that acknowledges nothing for so long is dark: three losses in a row
# on a link that loses 3 in 100 packets come once in 37,000 segments.
UNACKNOWLEDGED_MS = 1000
# An idle connection that went silent is found within about 3 s.
PROBE_IDLE_S = 1
PROBE_GAP_S = 1
PROBES = 2
# Pieces that wait for a slow client before the server is no longer read.
MOST_WAITING = 64
# Servers are a few ms away; an opening packet that is lost comes again after
# a second, so waiting longer than this gains nothing over another server.
CONNECT_SECONDS = 0.6


@attrs.frozen(kw_only=True)
class HeadReceived:
    """The head of an answer arrived."""

    head: http_messages.ResponseHead


@attrs.frozen(kw_only=True)
class BodyReceived:
    """Bytes of an answer's body arrived."""

    data: bytes


@attrs.frozen(kw_only=True)
class ResponseEnded:
    """An answer is complete."""


@attrs.frozen(kw_only=True)
class ConnectionBroken:
    """The connection ended, or carried bytes that are no answer."""

    reason: str


ConnectionEvent = HeadReceived | BodyReceived | ResponseEnded | ConnectionBroken


def keep_watch(sock: socket.socket) -> None:
    """Makes a connection break when its other end goes silent.

    Without it a connection whose peer lost power, or that the network
    forgot, stays open for minutes and swallows what is sent on it.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_GAP_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class ServerConnection(asyncio.Protocol):
    """One connection to a server.

    Attributes:
        address: the server's IP:PORT.
        on_lost: called once when it has ended.
        busy: whether an answer is awaited.
        reusable: whether another request may be sent on it.
        idle_until: when the server may close it, in seconds of clocks.now.
    """

    def __init__(self, *, address: str, on_lost=lambda connection: None):
        self.address = address
        self.on_lost = on_lost
        self.busy = False
        self.reusable = True
        self.idle_until = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser = http_messages.ResponseParser(
            heads=self._on_head, pieces=self._on_piece, ends=self._on_end
        )
        self._happenings: collections.deque[ConnectionEvent] = (
            collections.deque()
        )
        self._waiter: asyncio.Future | None = None
        self._ends_by_close = False
        self._over = False
        self._paused = False

    def connection_made(self, transport) -> None:
        """Takes the transport."""
        self._transport = transport
        keep_watch(transport.get_extra_info("socket"))

    def send(self, data: bytes) -> None:
        """Sends a request; its answer comes by `next`."""
        self.busy = True
        self._transport.write(data)

    def has_unread_input(self) -> bool:
        """Returns whether something came that has not been looked at."""
        return bool(self._happenings)

    def abort(self) -> None:
        """Ends the connection at once, so that the server stops its work."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def next(self) -> ConnectionEvent:
        """Returns what happens next.

        After ConnectionBroken nothing more does.
        """
        while not self._happenings:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self._paused and len(self._happenings) <= MOST_WAITING // 2:
            self._paused = False
            self._transport.resume_reading()
        return self._happenings.popleft()

    def _happen(self, happening: ConnectionEvent) -> None:
        self._happenings.append(happening)
        if len(self._happenings) > MOST_WAITING and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the server."""
        if not self.busy:
            # Bytes beyond an answer belong to no request: what follows on
            # this connection could be taken for another request's answer.
            self.abort()
            return
        try:
            self._parser.feed(data)
        except http_messages.BadMessageError as error:
            self.break_off(f"not an answer: {error}")

    def _on_head(self, head: http_messages.ResponseHead) -> None:
        if not self.busy:
            self.reusable = False
            return
        self._ends_by_close = head.ends_by_close
        if not head.keep_alive or head.ends_by_close:
            self.reusable = False
        self._happen(HeadReceived(head=head))

    def _on_piece(self, data: bytes) -> None:
        if self.busy:
            self._happen(BodyReceived(data=data))

    def _on_end(self) -> None:
        if not self.busy:
            return
        self._happen(ResponseEnded())

    def finish(self, *, idle_seconds: float) -> None:
        """Ends the wait for an answer; the connection may be used again."""
        self.busy = False
        self.idle_until = clocks.now() + idle_seconds
        if self._happenings or self._over:
            # An answer followed the answer.
            self.abort()

    def break_off(self, reason: str) -> None:
        """Ends the connection at once, and tells whoever awaits an answer."""
        if self._over:
            return
        self._over = True
        self._happen(ConnectionBroken(reason=reason))
        self.abort()

    def eof_received(self) -> bool:
        """Takes the server's orderly end, which may end an answer."""
        if self.busy and self._ends_by_close and not self._over:
            self._over = True
            self._happen(ResponseEnded())
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Takes the end of the connection."""
        self.reusable = False
        if not self._over:
            self._over = True
            self._happen(
                ConnectionBroken(reason=str(error) if error else "closed")
            )
        self.on_lost(self)


class CannotConnectError(Exception):
    """No connection could be opened: nothing was sent."""


class ConnectionPool:
    """Open connections to servers, by address.

    Attributes:
        idle: connections that wait for a request, the last used last.
        opened: how many connections were opened.
    """

    def __init__(self):
        self.idle: dict[str, list[ServerConnection]] = {}
        self.opened = 0

    async def acquire(
        self, address: str, *, connect_seconds: float = CONNECT_SECONDS
    ) -> ServerConnection:
        """Returns a connection; raises CannotConnectError."""
        waiting = self.idle.get(address, [])
        now = clocks.now()
        while waiting:
            connection = waiting.pop()
            if connection.reusable and now < connection.idle_until:
                return connection
            connection.abort()
        return await self._open(address, connect_seconds)

    async def _open(self, address: str, seconds: float) -> ServerConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(seconds):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(
                        address=address, on_lost=self._lost
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            raise CannotConnectError(f"{address}: {error!r}") from error
        return connection

    def release(
        self,
        connection: ServerConnection,
        *,
        idle_seconds: float,
        most_idle: int | None = None,
    ) -> None:
        """Takes back a connection whose answer is complete.

        Args:
            connection: the connection.
            idle_seconds: for how long it may be used again.
            most_idle: how many may wait to its server, this one included; a
                server resets what all routers hold beyond its own bound.
        """
        connection.finish(idle_seconds=idle_seconds)
        waiting = self.idle.setdefault(connection.address, [])
        full = most_idle is not None and len(waiting) >= most_idle
        if full or not connection.reusable:
            connection.abort()
            return
        waiting.append(connection)

    def _lost(self, connection: ServerConnection) -> None:
        waiting = self.idle.get(connection.address)
        if waiting and connection in waiting:
            waiting.remove(connection)

    def forget(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self.idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            self.forget(address)
