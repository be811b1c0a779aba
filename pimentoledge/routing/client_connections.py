"""Connections of clients: whole requests in, answers out."""

import asyncio
from collections.abc import Callable

import logbook

from pimentoledge import results
from pimentoledge.platform import requests
from pimentoledge.routing import clocks
from pimentoledge.routing import configurations
from pimentoledge.routing import exchanges
from pimentoledge.routing import http_messages
from pimentoledge.routing import router_responses
from pimentoledge.routing import server_connections

logger = logbook.Logger("clients")

# Requests that wait behind the one being served, before reading stops.
MOST_WAITING = 8
# A client sends its request within some ms of opening a connection.
FIRST_SECONDS = 1.0
# Clients that ask for it send no body before it, or only after a wait of
# their own; it is sent once no earlier answer is due on the connection.
GO_AHEAD = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientConnection(asyncio.Protocol):
    """One connection of a client; serves one request at a time.

    Attributes:
        limits: returns the bounds on what clients send.
        ready: returns whether the balancer should send clients here.
        begin: makes the exchange that serves a request.
        leaving: returns whether connections are to end.
        open_connections: all open connections; this one is in it while open.
        idle_since: when it last began to wait for a request.
        exchange: the request being served, or None.
        gone: whether the client has closed it.
        served: whether it has carried a whole answer.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], configurations.ClientLimits],
        ready: Callable[[], bool],
        begin: Callable[..., exchanges.Exchange],
        leaving: Callable[[], bool],
        everyone: set,
    ):
        self.limits = limits
        self.ready = ready
        self.begin = begin
        self.leaving = leaving
        self.open_connections = everyone
        self.idle_since = clocks.now()
        self.exchange: exchanges.Exchange | None = None
        self.gone = False
        self.served = False
        self._transport: asyncio.Transport | None = None
        bounds = limits()
        self._parser = http_messages.RequestParser(
            max_header_bytes=bounds.header_bytes,
            max_body_bytes=bounds.body_bytes,
        )
        self._keep = True
        self._refused: http_messages.BadMessageError | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport) -> None:
        """Takes the transport."""
        self._transport = transport
        self.open_connections.add(self)
        server_connections.keep_watch(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Takes the end of the connection."""
        self.gone = True
        self._writable.set()
        self.open_connections.discard(self)
        if self.exchange is not None:
            self.exchange.client_left()

    def pause_writing(self) -> None:
        """The client reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """The client has read on."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the client."""
        if self._refused is not None:
            return
        try:
            self._parser.feed(data)
        except http_messages.BadMessageError as error:
            self._refused = error
        if len(self._parser.requests) > MOST_WAITING:
            self._transport.pause_reading()
        self._serve_next()

    def _serve_next(self) -> None:
        """Begins with the next whole request, if none is being served."""
        if self.exchange is not None or self.gone:
            return
        if self._parser.requests:
            head, body = self._parser.requests.pop(0)
            self._transport.resume_reading()
            self._serve(head, body)
        elif self._refused is not None:
            self._refuse_bytes(self._refused)
        elif self._parser.awaits_go_ahead:
            self._parser.awaits_go_ahead = False
            self.send(GO_AHEAD)

    def _serve(self, head: http_messages.RequestHead, body: bytes) -> None:
        self._keep = head.keep_alive
        if requests.is_ready_call(head):
            status = 200 if self.ready() else 503
            self.send(requests.encode_own_answer(status=status, request=""))
            self.finished()
            return
        decoded = requests.decode_request(head, body, clocks.now())
        self.exchange = self.begin(decoded, self)
        self.exchange.start()

    def _refuse_bytes(self, error: http_messages.BadMessageError) -> None:
        logger.info(
            "refused bytes",
            extra={"fields": {"status": error.status, "why": str(error)}},
        )
        self.send(
            router_responses.encode(
                code=results.Code.BAD_FIELD,
                status=error.status,
                request="",
                closes=True,
            )
        )
        self._transport.close()

    @property
    def closes(self) -> bool:
        """Whether the connection ends after the present answer."""
        return not self._keep or self.leaving()

    def send(self, data: bytes) -> None:
        """Sends bytes unless the client has gone."""
        if not self.gone:
            self._transport.write(data)

    async def drained(self) -> None:
        """Waits until the client has read most of what was sent."""
        await self._writable.wait()

    def finished(self) -> None:
        """Ends a request whose answer is whole."""
        self.exchange = None
        self.served = True
        self.idle_since = clocks.now()
        if self.gone:
            return
        if self.closes:
            self._transport.close()
            return
        self._serve_next()

    def abort(self) -> None:
        """Ends the connection so that an answer doesn't look whole."""
        self.exchange = None
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self, now: float) -> None:
        """Closes it if it waits for a request for too long.

        Args:
            now: the time.
        """
        if self.exchange is not None:
            return
        if now - self.idle_since > self._most_idle():
            self._transport.close()

    def _most_idle(self) -> float:
        """Returns how long it may wait for a request, or for its rest."""
        bounds = self.limits()
        if self._parser.begun:
            return bounds.header_seconds + bounds.idle_seconds
        if not self.leaving():
            return bounds.idle_seconds
        # A new connection's first request may be on its way: closed before
        # it is read, it would cost the client another connection.
        return 0.0 if self.served else FIRST_SECONDS
