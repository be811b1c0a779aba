"""Client connections: parsing of requests and sending of responses."""

import asyncio
from collections.abc import Callable
import socket
import struct

import logbook
from returns import result

from pimentoledge import results
from pimentoledge.platform import requests
from pimentoledge.routing import body_budgets
from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import client_listeners
from pimentoledge.routing import clocks
from pimentoledge.routing import configurations
from pimentoledge.routing import exchanges
from pimentoledge.routing import head_budgets
from pimentoledge.routing import http_messages
from pimentoledge.routing import log_lines
from pimentoledge.routing import router_responses
from pimentoledge.routing import server_connections

logger = logbook.Logger("clients")

# Number of complete requests that may wait behind the current one; beyond it
# the router stops reading from the connection.
MAX_PIPELINED_REQUESTS = 8
# Time for the first request on a new connection while the router drains.
# Clients send it within some ms of opening the connection.
FIRST_REQUEST_SECONDS = 1.0
# Clients that expect this interim response hold the body back until it arrives
# or their own timeout ends. It is sent once no earlier response is pending on
# the connection.
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Text of a refusal while requests of others take the memory.
HELD_TEXT = "too many bytes of other requests are held"
HEAD_END = b"\r\n\r\n"
READ_BYTES = 64 * 1024
# Time in which a client that was refused may go on sending. Closing a
# connection with unread input resets it, and the client might see the reset
# and not the response.
LINGER_SECONDS = 0.5
# Receive buffer of a connection with a large body.
LARGE_BUFFER_BYTES = 256 * 1024
# Within this time after the last bytes were sent a closed window shows.
UNREAD_SECONDS = 2.0
# Values of SO_LINGER. With the first one the kernel resets the connection when
# the socket is closed, also if the process is killed.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)


class ClientConnection(asyncio.Protocol):
    """One connection of a client; serves one request at a time.

    Attributes:
        limits: returns the limits on clients' requests.
        ready: returns whether the load balancer should send clients here.
        state_page: returns the body of answers to readiness probes, as JSON.
        begin: creates the exchange that serves a request.
        leaving: returns whether the router drains and closes connections.
        open_connections: all open connections; contains this one while open.
        lines: log of clients that are closed.
        holder: counts what is held for the client.
        bodies: counts the bodies of requests.
        heads: counts the heads of requests.
        idle_since: when it last became idle, in seconds of clocks.now.
        exchange: the exchange in progress, or None.
        gone: whether the connection is closed.
        served: whether a complete response was sent on it.
        allows_chunks: whether the current response may be sent in chunks.
        omits_body: whether only the head of the current response is sent.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], configurations.ClientLimits],
        ready: Callable[[], bool],
        state_page: Callable[[], bytes] = lambda: b"",
        begin: Callable[..., exchanges.Exchange],
        leaving: Callable[[], bool],
        open_connections: set,
        buffers: buffer_budgets.BufferBudget,
        bodies: body_budgets.BodyBudget,
        heads: head_budgets.HeadBudget,
        lines: log_lines.Lines,
    ):
        self.limits = limits
        self.ready = ready
        self.state_page = state_page
        self.begin = begin
        self.leaving = leaving
        self.open_connections = open_connections
        self.lines = lines
        self.bodies = bodies
        self.heads = heads
        self.holder = buffer_budgets.Holder(
            budget=buffers,
            unsent_bytes=self._unsent_bytes,
            close_client=self._close_slow,
        )
        self.idle_since = clocks.now()
        self.exchange: exchanges.Exchange | None = None
        self.gone = False
        self.served = False
        self.allows_chunks = True
        self.omits_body = False
        self._head_sent = False
        self._transport: asyncio.Transport | None = None
        bounds = limits()
        self._parser = http_messages.RequestParser(
            max_header_bytes=bounds.header_bytes,
            max_body_bytes=bounds.body_bytes,
            max_waiting=MAX_PIPELINED_REQUESTS,
            on_begin=self._apply_limits,
        )
        self._keep_alive = True
        self._ends_by_close = False
        self._body_ended = False
        self._parse_error: http_messages.BadMessageError | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._sent_at = 0.0
        self._held_until = 0.0
        self._served_bytes = 0
        self._served_head_bytes = 0
        self._body_paused = False
        self._serving = False
        self._buffer_enlarged = False
        self._lingers_until: float | None = None

    def _apply_limits(self) -> None:
        """Applies the limits in force to the request that begins."""
        bounds = self.limits()
        self._parser.max_header_bytes = bounds.header_bytes
        self._parser.max_body_bytes = bounds.body_bytes

    def connection_made(self, transport) -> None:
        """Stores the transport and enables keepalive probes."""
        self._transport = transport
        # All that the client doesn't read at once is reported, to be counted,
        # and stops the reading from its server.
        transport.set_write_buffer_limits(high=0)
        # What one read adds to a body that should not be read on.
        transport.max_size = READ_BYTES
        self.open_connections.add(self)
        server_connections.enable_keepalive(self._socket())

    def connection_lost(self, error: Exception | None) -> None:
        """Notifies the exchange in progress of the connection's end."""
        self.gone = True
        self._parser.close()
        self._writable.set()
        self.holder.note(buffer_budgets.Part.UNSENT, 0)
        self.open_connections.discard(self)
        self._note_held()
        if self.exchange is not None:
            self.exchange.client_left("closed" if error is None else str(error))

    def hold_until(self, until: float) -> None:
        """Keeps the connection while the client is unreachable, until a time.

        A client whose connection ends without a response can't tell whether
        its request was read, and may send one that must not run twice again.

        Args:
            until: the time, in seconds of clocks.now.
        """
        self._held_until = until
        if not self.gone:
            server_connections.disable_keepalive(self._socket())

    def end_hold(self, now: float) -> None:
        """Ends `hold_until` if its time has passed."""
        if not self._held_until or now < self._held_until:
            return
        self._held_until = 0.0
        if not self.gone:
            server_connections.enable_keepalive(self._socket())

    def _socket(self) -> socket.socket:
        return self._transport.get_extra_info("socket")

    def pause_writing(self) -> None:
        """Marks the connection as not writable: the client reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Marks the connection as writable again."""
        self._writable.set()
        if self._body_ended:
            self._set_linger(_END_ON_CLOSE)
        self.holder.note(buffer_budgets.Part.UNSENT, 0)

    def has_unsent(self) -> bool:
        """Returns whether the client has not taken all that was sent to it."""
        return self._unsent_bytes() > 0

    def _unsent_bytes(self) -> int:
        return 0 if self.gone else self._transport.get_write_buffer_size()

    def _close_slow(self, exceeded: buffer_bounds.Exceeded) -> None:
        """Closes the connection of a client that reads too slowly.

        Its exchange is notified like that of a client that has left.
        """
        request = ""
        if self.exchange is not None:
            client_request = self.exchange.context.client_request
            request = client_request.request if client_request else ""
        self.lines.write(
            "bound_exceeded",
            bound=exceeded.bound.value,
            bytes=exceeded.size,
            request=request,
            server=None,
        )
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and serves the next complete request."""
        self._parse(data)
        self._serve_next()
        self._note_held()
        self._pause_or_resume()
        self._enlarge_buffer()

    def _parse(self, data: bytes = b"") -> None:
        """Parses received bytes, or those that were kept before."""
        if self._parse_error is not None:
            return
        try:
            self._parser.feed(data)
        except http_messages.BadMessageError as error:
            self._parse_error = error
            self._parser.abandon()

    def _note_held(self) -> None:
        """Counts what is held of this connection's requests.

        The request in progress may outlast the connection.
        """
        complete = self._served_bytes
        read = announced = unserved = 0
        if not self.gone:
            complete += self._parser.waiting_bytes()
            unserved = self._parser.heads_memory()
            if self._waits():
                unserved += client_listeners.RECEIVE_BUFFER_BYTES
        if not self.gone and self._parse_error is None:
            read = self._parser.incomplete_bytes()
            announced = self._parser.announced_bytes()
        self.bodies.note(
            self,
            body_budgets.Bodies(
                complete=complete, read=read, announced=announced
            ),
        )
        self.heads.note(
            self,
            head_budgets.Heads(
                served=self._served_head_bytes, unserved=unserved
            ),
        )

    def _enlarge_buffer(self) -> None:
        """Lets the kernel receive a large announced body faster.

        Its rest is counted once a part of it was read, so that the kernel
        holds no more than the bound of bodies allows.
        """
        announced = self._parser.announced_bytes()
        if (
            not self._buffer_enlarged
            and not self.gone
            and self._parser.announces_length()
            and self._parser.incomplete_bytes()
            and announced > client_listeners.RECEIVE_BUFFER_BYTES
            and self.bodies.fits()
        ):
            self._buffer_enlarged = True
            self._socket().setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, LARGE_BUFFER_BYTES
            )

    def pause_body(self, paused: bool) -> None:
        """Stops reading an incomplete body, or goes on."""
        self._body_paused = paused
        self._pause_or_resume()

    def refuse_body(self) -> None:
        """Refuses the request whose body is being read."""
        self._log_refusal(
            buffer_bounds.Bound.REQUEST_BODIES, self._parser.incomplete_bytes()
        )
        self._refuse_unread()

    def refuse_heads(self) -> None:
        """Refuses the requests that wait, and the one that is being read."""
        self._log_refusal(
            buffer_bounds.Bound.REQUEST_HEADS, self._parser.heads_memory()
        )
        self._parser.requests.clear()
        self._refuse_unread()

    def _log_refusal(
        self, bound: buffer_bounds.Bound, size: int, request: str = ""
    ) -> None:
        self.lines.write(
            "bound_exceeded",
            bound=bound.value,
            bytes=size,
            request=request,
            server=None,
        )

    def _refuse_unread(self) -> None:
        """Refuses what was not read completely, after what was."""
        self._parser.abandon()
        self._parse_error = http_messages.BadMessageError(HELD_TEXT, 503)
        self._body_paused = False
        self._serve_next()
        self._note_held()
        self._pause_or_resume()

    def _waits(self) -> bool:
        """Returns whether nothing is read until a request was served."""
        waiting = len(self._parser.requests) > MAX_PIPELINED_REQUESTS
        return waiting or bool(self._parser.unparsed_bytes())

    def _pause_or_resume(self) -> None:
        if self.gone or self._transport.is_closing():
            return
        if self._body_paused or self._waits():
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _serve_next(self) -> None:
        """Serves complete requests until one is in progress or none is left."""
        if self._serving:
            return
        self._serving = True
        try:
            while self._serve_one():
                self._parse()
        finally:
            self._serving = False

    def _serve_one(self) -> bool:
        """Serves the next complete request, if none is in progress.

        Returns:
            Whether it served one.
        """
        if self.exchange is not None or self.gone:
            return False
        if self._transport.is_closing() or self._lingers_until is not None:
            return False
        if self._parser.requests:
            head, body = self._parser.requests.pop(0)
            self._served_bytes = len(body)
            self._served_head_bytes = head.memory_bytes
            self._serve(head, body)
            return True
        if self._parse_error is not None:
            self._refuse_incomplete(self._parse_error)
        elif self._parser.awaits_continue:
            self._parser.awaits_continue = False
            self.send(CONTINUE_RESPONSE)
        return False

    def _serve(self, head: http_messages.RequestHead, body: bytes) -> None:
        # The client can be reached again.
        self.end_hold(self._held_until)
        self._keep_alive = head.keep_alive
        self.allows_chunks = head.allows_chunks()
        self.omits_body = head.method == b"HEAD"
        self._head_sent = False
        if requests.is_readiness_probe(head):
            status = 200 if self.ready() else 503
            self.send(
                requests.encode_router_response(
                    status=status, request="", body=self.state_page()
                )
            )
            self.finished()
            return
        if self.heads.is_full() or self.bodies.is_full(self):
            self._refuse_complete(head, len(body))
            return
        decoded = requests.decode_request(head, body, clocks.now())
        self.exchange = self.begin(decoded, self)
        self.exchange.start()

    def _refuse_complete(
        self, head: http_messages.RequestHead, size: int
    ) -> None:
        """Refuses a request while those in progress take the memory."""
        match requests.decode_request(head, b"", clocks.now()):
            case result.Success(decoded):
                request = decoded.request
            case result.Failure():
                request = ""
        bound = buffer_bounds.Bound.REQUEST_BODIES
        if self.heads.is_full():
            bound = buffer_bounds.Bound.REQUEST_HEADS
        self._log_refusal(bound, size, request)
        code = results.Code.OVERLOADED
        self.send(
            router_responses.encode(
                code=code,
                request=request,
                text=HELD_TEXT,
                retry_seconds=router_responses.retry_seconds(code),
                closes=self.closes,
            )
        )
        self.finished()

    def _refuse_incomplete(self, error: http_messages.BadMessageError) -> None:
        """Refuses the request that is being read, and closes the connection."""
        logger.info(
            "refused bytes",
            extra={"fields": {"status": error.status, "why": str(error)}},
        )
        code = results.Code.BAD_FIELD
        retry_seconds = None
        if error.status in router_responses.NOT_RUN_STATUSES:
            code = results.Code.OVERLOADED
            retry_seconds = router_responses.retry_seconds(code)
        self.send(
            router_responses.encode(
                code=code,
                status=error.status,
                request="",
                text=str(error) if retry_seconds else "",
                retry_seconds=retry_seconds,
                closes=True,
            )
        )
        self._transport.write_eof()
        self._lingers_until = clocks.now() + LINGER_SECONDS

    @property
    def closes(self) -> bool:
        """Whether the connection closes after the current response."""
        return not self._keep_alive or self.leaving()

    def end_body_by_close(self) -> None:
        """Prepares for a response whose body ends with the connection.

        Until the whole body was written, any end of the connection is a reset,
        since the client would take a normal one for the end of the body.
        """
        self._keep_alive = False
        self._ends_by_close = True
        if not self.gone:
            self._set_linger(_RESET_ON_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        self._socket().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def send(self, data: bytes) -> None:
        """Sends bytes unless the connection is closed."""
        self._sent_at = clocks.now()
        if self.omits_body:
            data = self._head_of(data)
        if not self.gone:
            self._transport.write(data)
            if not self._writable.is_set():
                self.holder.note(
                    buffer_budgets.Part.UNSENT, self._unsent_bytes()
                )

    def _head_of(self, data: bytes) -> bytes:
        """Returns the part of a response to HEAD that is sent."""
        if self._head_sent:
            return b""
        self._head_sent = True
        return data[: data.index(HEAD_END) + len(HEAD_END)]

    def sending_socket(self, now: float) -> socket.socket | None:
        """Returns the socket if bytes were just sent, unless it is held."""
        if self.gone or self._held_until:
            return None
        if now - self._sent_at > UNREAD_SECONDS:
            return None
        return self._socket()

    def is_writable(self) -> bool:
        """Returns whether the send buffer is empty."""
        return self._writable.is_set()

    async def drained(self) -> None:
        """Waits until the send buffer is empty or the client is gone."""
        await self._writable.wait()

    def finished(self) -> None:
        """Finishes a request whose response was sent completely."""
        self._end_exchange()
        self.served = True
        self.idle_since = clocks.now()
        if self.gone:
            return
        if self._ends_by_close:
            self._body_ended = True
            if self.is_writable():
                self._set_linger(_END_ON_CLOSE)
        if self.closes:
            self._transport.close()
            return
        self._serve_next()
        self._note_held()
        self._pause_or_resume()

    def _end_exchange(self) -> None:
        self.exchange = None
        self.omits_body = False
        self._served_bytes = 0
        self._served_head_bytes = 0
        self._note_held()

    def abort(self) -> None:
        """Aborts the connection, so that the response doesn't look complete."""
        self._end_exchange()
        if self._transport is not None:
            self._transport.abort()

    def is_busy(self) -> bool:
        """Returns whether a request is in progress."""
        return self.exchange is not None

    def close_if_idle(self, now: float) -> None:
        """Closes the connection if it has been idle for too long.

        Args:
            now: the time, in seconds of clocks.now.
        """
        if self.exchange is not None:
            return
        if self._lingers_until is not None and now > self._lingers_until:
            self._transport.close()
        if now - self.idle_since > self._idle_limit():
            self._transport.close()

    def awaits_first_request(self, now: float) -> bool:
        """Returns whether it was just opened and has sent no request yet."""
        return (
            not self.served
            and self.exchange is None
            and now - self.idle_since < FIRST_REQUEST_SECONDS
        )

    def _idle_limit(self) -> float:
        """Returns how long it may wait for a request or the rest of one."""
        bounds = self.limits()
        if self._parser.begun:
            return bounds.header_seconds + bounds.idle_seconds
        if not self.leaving():
            return bounds.idle_seconds
        # The first request on a new connection may be in transit. If it were
        # closed now, the client would have to open another connection.
        return 0.0 if self.served else FIRST_REQUEST_SECONDS
