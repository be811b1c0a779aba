"""The response to a client: a server's response, a stream, or a refusal."""

import asyncio

from pimentoledge import results
from pimentoledge.platform import requests
from pimentoledge.routing import clocks
from pimentoledge.routing import event_streams
from pimentoledge.routing import request_types
from pimentoledge.routing import router_responses


class ClientResponse:
    """The response to one request.

    It ends with exactly one of `pass_on`, `end_body`, `end_stream`,
    `break_off` and `refuse`.

    Attributes:
        client: the client's connection.
        request: the request id sent by the client, or "".
        arrived: when the request had been read, in seconds of clocks.now.
        last_event: number of the last event sent to the client, or None.
        head_sent: whether the head of a stream or of a large body was sent.
        first_seconds: time to the first event, or None before it.
        gap_seconds: longest time between two events.
    """

    def __init__(self, *, client):
        self.client = client
        self.request = ""
        self.arrived = 0.0
        self.last_event: int | None = None
        self.head_sent = False
        self.first_seconds: float | None = None
        self.gap_seconds = 0.0
        self._event_at = 0.0
        self._is_body = False
        self._chunked = False

    def silent_seconds(self, now: float) -> float:
        """Returns the time since the client last received anything."""
        return now - (self._event_at or self.arrived)

    def begin(self, client_request: request_types.ClientRequest) -> None:
        """Sets the request that this response belongs to."""
        self.request = client_request.request
        self.arrived = client_request.arrived
        self.last_event = client_request.resume_after

    def can_resume(self) -> bool:
        """Returns whether another server may continue the stream.

        It may not once events without numbers were sent: those of a second run
        can't be matched with them, and the client would receive them twice.
        A body that is passed on as it arrives can't be continued either.
        """
        if self._is_body:
            return False
        return not self.head_sent or self.last_event is not None

    def pass_on(
        self, answer: request_types.ServerResponse, body: bytes
    ) -> None:
        """Sends a server's complete response."""
        # The length of the body that a response to HEAD omits isn't known.
        length = None if self.client.omits_body else len(body)
        self.client.send(
            requests.encode_response_head(
                answer,
                length=length,
                closes=self.client.closes,
                chunked=False,
            )
            + body
        )
        self.client.finished()

    def begin_body(
        self, answer: request_types.ServerResponse, length: int | None
    ) -> None:
        """Sends the head of a response whose body is passed on in pieces.

        Args:
            answer: the head of the server's response.
            length: length of the body, or None if it isn't known.
        """
        self._is_body = True
        self._send_head(answer, length)

    def _send_head(
        self, answer: request_types.ServerResponse, length: int | None
    ) -> None:
        """Sends the head of a response that is sent in pieces.

        Args:
            answer: the head of the server's response.
            length: length of the body, or None if it isn't known.
        """
        self.head_sent = True
        if length is None:
            self._chunked = self.client.allows_chunks
            if not self._chunked:
                self.client.end_body_by_close()
        self.client.send(
            requests.encode_response_head(
                answer,
                length=length,
                closes=self.client.closes,
                chunked=self._chunked,
            )
        )

    def _send_piece(self, data: bytes) -> None:
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.client.send(data)

    def _end_pieces(self) -> None:
        if self._chunked:
            self.client.send(b"0\r\n\r\n")
        self.client.finished()

    async def pass_body(self, data: bytes) -> None:
        """Sends a piece of a body; waits until the client has read it.

        The body of an unsafe call is read to its end also if the client has
        left. No client slows that down, so other tasks run after each piece.
        """
        if not data:
            return
        if self.client.gone:
            await asyncio.sleep(0)
            return
        self._send_piece(data)
        await self.client.drained()

    def end_body(self) -> None:
        """Ends a complete body."""
        self._end_pieces()

    def pass_events(
        self,
        events: list[event_streams.Event],
        answer: request_types.ServerResponse,
    ) -> list[float]:
        """Sends events that arrived together, but those the client has already.

        Returns:
            the time since the previous event in seconds, for each event sent
            after the first.
        """
        gaps = []
        unsent = []
        for event in events:
            if event.number is not None:
                last = self.last_event
                if last is not None and event.number <= last:
                    continue
                self.last_event = event.number
            unsent.append(event.data)
            gap = self._record_gap()
            if gap is not None:
                gaps.append(gap)
        if unsent:
            self._send_stream_head(answer)
            self._send_piece(b"".join(unsent))
        return gaps

    def _record_gap(self) -> float | None:
        now = clocks.now()
        previous, self._event_at = self._event_at, now
        if self.first_seconds is None:
            self.first_seconds = now - self.arrived
            return None
        self.gap_seconds = max(self.gap_seconds, now - previous)
        return now - previous

    def _send_stream_head(self, answer: request_types.ServerResponse) -> None:
        if not self.head_sent:
            self._send_head(answer, None)

    def end_stream(self, answer: request_types.ServerResponse) -> None:
        """Ends a complete stream."""
        self._send_stream_head(answer)
        self._end_pieces()

    def break_off(self) -> None:
        """Aborts a stream, so that it doesn't look complete."""
        self.client.abort()

    def refuse(self, code: results.Code, retry_seconds: float | None) -> None:
        """Sends a refusal or error generated by the router.

        Args:
            code: the result code.
            retry_seconds: seconds until the client may retry, or None.
        """
        self.client.send(
            router_responses.encode(
                code=code,
                request=self.request,
                retry_seconds=retry_seconds,
                closes=self.client.closes,
            )
        )
        self.client.finished()
