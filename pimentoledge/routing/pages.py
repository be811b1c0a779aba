"""The page of counters, over HTTP."""

import asyncio
from collections.abc import Callable

from pimentoledge.platform import requests
from pimentoledge.routing import http_messages

PATH = b"/metrics"
MOST_HEADER_BYTES = 8192


class PageConnection(asyncio.Protocol):
    """One connection to the page of counters; ends after its answer.

    Attributes:
        page: returns the page.
    """

    def __init__(self, *, page: Callable[[], bytes]):
        self.page = page
        self._transport: asyncio.Transport | None = None
        self._parser = http_messages.RequestParser(
            max_header_bytes=MOST_HEADER_BYTES, max_body_bytes=0
        )

    def connection_made(self, transport) -> None:
        """Takes the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Takes bytes; answers the first whole request."""
        try:
            self._parser.feed(data)
        except http_messages.BadMessageError as error:
            self._answer(error.status, b"")
            return
        if not self._parser.requests:
            return
        head, _ = self._parser.requests[0]
        if head.target != PATH:
            self._answer(404, b"")
            return
        self._answer(200, self.page())

    def _answer(self, status: int, body: bytes) -> None:
        self._transport.write(
            requests.encode_own_answer(
                status=status, request="", body=body, closes=True
            )
        )
        self._transport.close()
