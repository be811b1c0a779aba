"""Connections to servers, each with one request at a time, and their pool."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import select
import socket
import time

import attrs

from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import clocks
from pimentoledge.routing import http_messages

# A peer that acknowledges nothing for this long is treated as unreachable. On
# a link that loses 3 in 100 packets, three losses in a row occur once in 37,000
# segments.
UNACKNOWLEDGED_MS = 1000
# An idle connection whose peer is unreachable is detected within about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Number of events, and of their bytes, that may wait to be read; beyond it the
# router stops reading from the server.
MAX_QUEUED_EVENTS = 64
MAX_QUEUED_BYTES = 64 * 1024
# Bytes read at a time. A connection begins with the smaller number, which is
# doubled while its bytes are handled quickly, and halved while they aren't:
# 32 KiB may hold 16,000 empty events, which take 60 ms. What the exchange of a
# slow client holds is up to twice the larger number.
MIN_READ_BYTES = 1024
FIRST_READ_BYTES = 4096
MAX_READ_BYTES = 32 * 1024
# Processor time that the bytes of one read may take. Events must reach clients
# within 200 ms, also if dozens of connections carry such bytes.
HANDLING_SECONDS = 0.004
# Servers are a few ms away, and a lost SYN is retransmitted after a second, so
# trying another server is better than a longer wait.
CONNECT_SECONDS = 0.6
# The last part of that time begins only when the event loop turns.
CONNECT_UNREAD_SECONDS = 0.1
# How long the next bytes of a response that is being sent may take. A packet
# that was lost takes longer.
NEXT_BYTES_SECONDS = 0.1
# A connection keeps the ids of all its requests, so it carries no more.
MAX_REQUESTS = 256


@attrs.frozen(kw_only=True)
class HeadReceived:
    """The head of a response arrived."""

    head: http_messages.ResponseHead


@attrs.frozen(kw_only=True)
class BodyReceived:
    """Bytes of a response body arrived."""

    data: bytes


@attrs.frozen(kw_only=True)
class ResponseEnded:
    """A response is complete."""


@attrs.frozen(kw_only=True)
class ConnectionBroken:
    """The connection ended, or carried bytes that are no HTTP response.

    Attributes:
        reason: text for the log.
        silent: whether the peer acknowledged nothing for too long.
        invalid: whether it carried bytes that are no HTTP response.
        exceeded: the bound that it exceeded, or None.
    """

    reason: str
    silent: bool = False
    invalid: bool = False
    exceeded: buffer_bounds.Exceeded | None = None


ConnectionEvent = HeadReceived | BodyReceived | ResponseEnded | ConnectionBroken
OnExtra = Callable[
    ["ServerConnection", http_messages.ResponseHead | None, int], None
]


def enable_keepalive(sock: socket.socket) -> None:
    """Enables keepalive probes and the limit on unacknowledged data.

    Without them, a connection whose peer lost power, or whose state the
    network dropped, stays open for minutes and loses the data sent on it.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def disable_keepalive(sock: socket.socket) -> None:
    """Keeps a connection open while its peer is unreachable."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)


# Every read is parsed before the next one begins, so connections share it.
_read_buffer = memoryview(bytearray(MAX_READ_BYTES))


class ServerConnection(asyncio.BufferedProtocol):
    """One connection to a server.

    Attributes:
        address: the server's IP:PORT.
        on_lost: called once when the connection has ended.
        busy: whether a response is pending.
        reusable: whether another request may be sent on it.
        idle_until: until when it may be reused, in seconds of clocks.now.
        received_at: when data last arrived, in seconds of clocks.now.
        relay: called with bytes of a response's body as they arrive, or None
            while `next` returns them.
        holder: counts what is held for the client whose request it has, or
            None.
        ends_by_close: whether the response's body ends with the connection.
        reads_ahead: whether bytes are read while others are queued.
        expects_body: whether the response may have a body; one to HEAD has
            none, whatever its head says.
        number: its number among the connections of its pool.
        request_count: how many requests were sent on it.
        carried: ids of the requests that were sent on it.
        on_extra: called with the connection, the head or None, and the number
            of bytes of a response that no request is waiting for.
    """

    def __init__(
        self,
        *,
        address: str,
        number: int = 0,
        on_lost: Callable[["ServerConnection"], None] = lambda connection: None,
        on_extra: OnExtra = lambda connection, head, size: None,
    ):
        self.address = address
        self.number = number
        self.request_count = 0
        self.carried: set[str] = set()
        self.on_lost = on_lost
        self.on_extra = on_extra
        self.busy = False
        self.reusable = True
        self.idle_until = 0.0
        self.received_at = 0.0
        self.relay: Callable[[bytes], None] | None = None
        self.holder: buffer_budgets.Holder | None = None
        self.reads_ahead = True
        self.expects_body = True
        self._transport: asyncio.Transport | None = None
        self._parser = http_messages.ResponseParser(
            heads=self._on_head, pieces=self._on_chunk, ends=self._on_end
        )
        self._events: collections.deque[ConnectionEvent] = collections.deque()
        self._queued_bytes = 0
        self._messages_at_end = 0
        self._read_bytes = FIRST_READ_BYTES
        self._waiter: asyncio.Future | None = None
        self.ends_by_close = False
        self._ended = False
        self._paused = False
        self._extra_head: http_messages.ResponseHead | None = None

    def connection_made(self, transport) -> None:
        """Stores the transport and enables keepalive probes."""
        self._transport = transport
        # Any unsent bytes are reported, to be counted.
        transport.set_write_buffer_limits(high=0)
        enable_keepalive(transport.get_extra_info("socket"))

    def send(self, data: bytes, *, request: str | None = None) -> None:
        """Sends a request; `next` returns its response.

        Args:
            data: the encoded request.
            request: its id, or None if it has none.
        """
        self.busy = True
        self.request_count += 1
        self._parser.allows_quotes = self.request_count == 1
        if request is not None:
            self.carried.add(request)
        self._transport.write(data)
        if self.holder is not None:
            self.holder.note(
                buffer_budgets.Part.REQUEST,
                self._transport.get_write_buffer_size(),
            )

    def sending_socket(self) -> socket.socket | None:
        """Returns the socket, or None if the connection has ended."""
        if self._ended:
            return None
        return self._transport.get_extra_info("socket")

    def resume_writing(self) -> None:
        """Notes that the server has read the request."""
        if self.holder is not None:
            self.holder.note(buffer_budgets.Part.REQUEST, 0)

    def count_for(self, holder: buffer_budgets.Holder) -> None:
        """Counts what is held of this connection for a client from now on."""
        self.holder = holder
        holder.close_server = self._exceed

    def stop_counting(self) -> None:
        """Ends `count_for`, as the exchange has ended."""
        if self.holder is not None:
            self.holder.server_ended()
            self.holder = None
        self.reads_ahead = True

    def _exceed(self, exceeded: buffer_bounds.Exceeded) -> None:
        if exceeded.bound is buffer_bounds.Bound.BUFFERS:
            # What is queued must be freed at once.
            self.holder = None
            self._events.clear()
            self._queued_bytes = 0
            if self._ended:
                # Its last event was among them, and `next` would never return.
                self._push_event(
                    ConnectionBroken(reason=str(exceeded), exceeded=exceeded)
                )
                self.abort()
                return
        self.break_off(str(exceeded), exceeded=exceeded)

    def has_unread_input(self) -> bool:
        """Returns whether an event is queued that `next` hasn't returned."""
        return bool(self._events)

    def is_reusable(self, now: float) -> bool:
        """Returns whether another request may be sent on it now.

        The end of the connection may have arrived and not been read yet. A
        request that is sent then is lost, and whether it ran is unknown.
        """
        if not self.reusable or now >= self.idle_until:
            return False
        poll = select.poll()
        poll.register(
            self._transport.get_extra_info("socket").fileno(), select.POLLIN
        )
        return not poll.poll(0)

    def abort(self) -> None:
        """Aborts the connection, so that the server cancels the request."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def next(self) -> ConnectionEvent:
        """Waits for the next event and returns it.

        No event follows ConnectionBroken.
        """
        await self._wait_for_event()
        event = self._events.popleft()
        if isinstance(event, BodyReceived):
            self._note_queued(-len(event.data))
        if self.reads_ahead and not self._is_full(share=0.5):
            self.resume()
        return event

    async def _wait_for_event(self) -> None:
        if not self._events:
            self.resume()
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    async def was_cut(self) -> bool:
        """Returns whether the complete response has taken bytes of another.

        A body that may have is held until the other one's next bytes, which are
        no response, must have arrived.
        """
        if not self._parser.may_be_cut():
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NEXT_BYTES_SECONDS):
                await self._wait_for_event()
        return any(
            isinstance(each, ConnectionBroken) and each.invalid
            for each in self._events
        )

    def _note_queued(self, change: int) -> None:
        self._queued_bytes += change
        if self.holder is not None:
            self.holder.note(buffer_budgets.Part.QUEUED, self._queued_bytes)

    def _is_full(self, *, share: float = 1.0) -> bool:
        """Returns whether nothing may be read before `next` returns more.

        Args:
            share: part of the maxima that may be queued.
        """
        tight = self.holder is not None and self.holder.budget.is_tight()
        if tight or not self.reads_ahead:
            return self._queued_bytes > 0
        return (
            len(self._events) > MAX_QUEUED_EVENTS * share
            or self._queued_bytes > MAX_QUEUED_BYTES * share
        )

    def pause(self) -> None:
        """Stops reading from the server until `resume` or `next`."""
        if not self._paused and not self._ended:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads from the server again."""
        if self._paused:
            self._paused = False
            self._transport.resume_reading()

    def _push_event(self, event: ConnectionEvent) -> None:
        self._events.append(event)
        if isinstance(event, BodyReceived):
            self._note_queued(len(event.data))
        if self._is_full():
            self.pause()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return _read_buffer[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the bytes that were read into the buffer."""
        if nbytes < MIN_READ_BYTES:
            # Single events are not worth the measurement.
            self.data_received(_read_buffer[:nbytes])
            return
        began = time.thread_time()
        self.data_received(_read_buffer[:nbytes])
        took = time.thread_time() - began
        if took > HANDLING_SECONDS:
            self._read_bytes = max(MIN_READ_BYTES, self._read_bytes // 2)
        elif nbytes == self._read_bytes and took < HANDLING_SECONDS / 4:
            self._read_bytes = min(MAX_READ_BYTES, self._read_bytes * 2)

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses received bytes."""
        self.received_at = clocks.now()
        if not self.busy:
            # Bytes after a complete response belong to no request. Data that
            # follows could be taken for the response to another request.
            self._note_extra_bytes(data)
            self.abort()
            return
        try:
            self._parser.feed(data)
        except http_messages.BadMessageError as error:
            if self._events and isinstance(self._events[-1], ResponseEnded):
                self.on_extra(self, None, 0)
            self.break_off(f"invalid HTTP response: {error}", invalid=True)
        except buffer_bounds.BoundExceededError as error:
            self._exceed(error.exceeded)

    def _note_extra_bytes(self, data: bytes | memoryview) -> None:
        try:
            self._parser.feed(data)
        except (
            http_messages.BadMessageError,
            buffer_bounds.BoundExceededError,
        ):
            # The connection is aborted, whatever the bytes are.
            pass
        self.on_extra(self, self._extra_head, len(data))

    def _on_head(self, head: http_messages.ResponseHead) -> None:
        if not self.busy or self._ended:
            self.reusable = False
            self._extra_head = head
            return
        if not self.expects_body:
            head = attrs.evolve(head, ends_by_close=False)
        self.ends_by_close = head.ends_by_close
        if not head.keep_alive or head.ends_by_close:
            self.reusable = False
        if self._parser.quoted:
            # On a connection that was used before, it would not be told from a
            # head that was cut.
            self.reusable = False
        self._push_event(HeadReceived(head=head))
        if not self.expects_body:
            # The parser goes on to wait for a body.
            self.reusable = False
            self._push_event(ResponseEnded())

    def _on_chunk(self, data: bytes) -> None:
        if not self.busy or self._ended:
            return
        if self.relay is not None and not self._events:
            self.relay(data)
        else:
            self._push_event(BodyReceived(data=data))

    def _on_end(self, message_count: int) -> None:
        if not self.busy or self._ended:
            return
        self._messages_at_end = message_count
        self._push_event(ResponseEnded())

    def finish(self, *, idle_seconds: float) -> None:
        """Ends a request; the connection may be reused for `idle_seconds`."""
        self.busy = False
        self.idle_until = clocks.now() + idle_seconds
        # Without reading, the end of an idle connection isn't noticed.
        self.resume()
        if self._events or self._ended:
            # More data, or the connection's end, followed the response.
            for event in self._events:
                if isinstance(event, HeadReceived):
                    self.on_extra(self, event.head, self._queued_bytes)
            self.abort()
        elif (
            self.reusable and self._parser.message_count > self._messages_at_end
        ):
            # Another response, or an interim one, has begun to arrive.
            self.on_extra(self, None, 0)
            self.abort()
        elif self._transport.get_write_buffer_size():
            # The server has not read the request, and may never do so. Another
            # one would wait behind the rest.
            self.abort()

    def break_off(
        self,
        reason: str,
        *,
        invalid: bool = False,
        exceeded: buffer_bounds.Exceeded | None = None,
    ) -> None:
        """Aborts the connection and queues a ConnectionBroken event.

        Args:
            reason: text for the log.
            invalid: whether it carried bytes that are no HTTP response.
            exceeded: the bound that was exceeded, or None.
        """
        if self._ended:
            return
        self._ended = True
        self._push_event(
            ConnectionBroken(reason=reason, invalid=invalid, exceeded=exceeded)
        )
        self.abort()

    def eof_received(self) -> bool:
        """Handles the server's close, which may end a response's body."""
        if self.busy and self.ends_by_close and not self._ended:
            self._ended = True
            self._push_event(ResponseEnded())
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Queues a ConnectionBroken event unless the response has ended."""
        self.reusable = False
        if not self._ended:
            self._ended = True
            self._push_event(
                ConnectionBroken(
                    reason=str(error) if error else "closed",
                    silent=isinstance(error, TimeoutError),
                )
            )
        self.on_lost(self)


class CannotConnectError(Exception):
    """No connection could be opened: nothing was sent."""


@contextlib.asynccontextmanager
async def _connect_timeout(seconds: float) -> AsyncIterator[None]:
    """Raises TimeoutError in a connect that takes longer.

    After a pause of this process, a connection that is open is seen first.
    """
    loop = asyncio.get_running_loop()
    last_seconds = min(seconds, CONNECT_UNREAD_SECONDS)
    async with asyncio.timeout(None) as limit:
        timer = loop.call_later(
            seconds - last_seconds,
            lambda: limit.reschedule(loop.time() + last_seconds),
        )
        try:
            yield
        finally:
            timer.cancel()


class ConnectionPool:
    """A pool of idle connections to servers.

    Attributes:
        idle: idle connections by address, the last used last.
        opened: how many connections this pool has tried to open.
        on_extra: called as `ServerConnection.on_extra`.
    """

    def __init__(
        self, *, on_extra: OnExtra = lambda connection, head, size: None
    ):
        self.on_extra = on_extra
        self.idle: dict[str, list[ServerConnection]] = {}
        self.opened = 0

    async def acquire(
        self,
        address: str,
        *,
        request: str | None = None,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> ServerConnection:
        """Returns an idle connection to an address, or opens one.

        A server may answer a request again, and late. The id of a response
        tells to which request it belongs, so no id is sent twice on one
        connection, whoever sent it first.

        Args:
            address: IP:PORT.
            request: id of the request that is to be sent on it, or None.
            connect_seconds: how long opening a connection may take.

        Raises:
            CannotConnectError: no connection could be opened.
        """
        now = clocks.now()
        for connection in reversed(self.idle.get(address, [])[:]):
            if not connection.is_reusable(now):
                self.idle[address].remove(connection)
                connection.abort()
            elif request is None or request not in connection.carried:
                self.idle[address].remove(connection)
                return connection
        return await self._open(address, connect_seconds)

    async def open(self, address: str) -> ServerConnection:
        """Opens a connection to an address.

        Raises:
            CannotConnectError: no connection could be opened.
        """
        return await self._open(address, CONNECT_SECONDS)

    async def _open(self, address: str, seconds: float) -> ServerConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        number = self.opened
        try:
            async with _connect_timeout(seconds):
                _, connection = await loop.create_connection(
                    lambda: ServerConnection(
                        address=address,
                        number=number,
                        on_lost=self._lost,
                        on_extra=self.on_extra,
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
        max_idle: int | None = None,
    ) -> None:
        """Returns a connection to the pool after a complete response.

        Args:
            connection: the connection.
            idle_seconds: for how long it may be reused.
            max_idle: maximum number of idle connections to its server, this
                one included. A server resets the connections of all routers
                that exceed its own limit.
        """
        connection.finish(idle_seconds=idle_seconds)
        waiting = self.idle.setdefault(connection.address, [])
        full = max_idle is not None and len(waiting) >= max_idle
        used_up = connection.request_count >= MAX_REQUESTS
        if full or used_up or not connection.reusable:
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
