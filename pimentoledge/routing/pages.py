"""The HTTP endpoint for Prometheus metrics."""

import asyncio
from collections.abc import Callable

from pimentoledge.platform import requests
from pimentoledge.routing import clocks
from pimentoledge.routing import http_messages

PATH = b"/metrics"
MAX_HEADER_BYTES = 8192
# Longest time from the opening of a connection until its response was read.
CONNECTION_SECONDS = 15.0


class PageConnection(asyncio.Protocol):
    """One connection to the metrics endpoint; closes after its response.

    Attributes:
        page: returns the metrics in Prometheus's text format.
        open_connections: all open connections; contains this one while open.
        served: whether a response was sent.
        idle_since: when it was opened, in seconds of clocks.now.
    """

    def __init__(self, *, page: Callable[[], bytes], open_connections: set):
        self.page = page
        self.open_connections = open_connections
        self.served = False
        self.idle_since = clocks.now()
        self._transport: asyncio.Transport | None = None
        self._parser = http_messages.RequestParser(
            max_header_bytes=MAX_HEADER_BYTES, max_body_bytes=0
        )

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self._transport = transport
        self.open_connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Notes that the connection has ended."""
        self._parser.close()
        self.open_connections.discard(self)

    def is_busy(self) -> bool:
        """Returns False: requests are answered at once."""
        return False

    def abort(self) -> None:
        """Ends the connection at once."""
        self._transport.abort()

    def close_if_idle(self, now: float) -> None:
        """Ends the connection of a client that takes too long.

        Args:
            now: the time, in seconds of clocks.now.
        """
        if now - self.idle_since > CONNECTION_SECONDS:
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and responds to the first complete request."""
        if self.served:
            return
        try:
            self._parser.feed(data)
        except http_messages.BadMessageError as error:
            self._respond(error.status, b"")
            return
        if not self._parser.requests:
            return
        head, _ = self._parser.requests[0]
        if head.target != PATH:
            self._respond(404, b"")
            return
        self._respond(200, self.page())

    def _respond(self, status: int, body: bytes) -> None:
        self.served = True
        self._transport.write(
            requests.encode_router_response(
                status=status, request="", body=body, closes=True
            )
        )
        self._transport.close()
