"""The HTTP endpoint for Prometheus metrics."""

import asyncio
from collections.abc import Callable

from pimentoledge.platform import requests
from pimentoledge.routing import http_messages

PATH = b"/metrics"
MAX_HEADER_BYTES = 8192


class PageConnection(asyncio.Protocol):
    """One connection to the metrics endpoint; closes after its response.

    Attributes:
        page: returns the metrics in Prometheus's text format.
    """

    def __init__(self, *, page: Callable[[], bytes]):
        self.page = page
        self._transport: asyncio.Transport | None = None
        self._parser = http_messages.RequestParser(
            max_header_bytes=MAX_HEADER_BYTES, max_body_bytes=0
        )

    def connection_made(self, transport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and responds to the first complete request."""
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
        self._transport.write(
            requests.encode_router_response(
                status=status, request="", body=body, closes=True
            )
        )
        self._transport.close()
