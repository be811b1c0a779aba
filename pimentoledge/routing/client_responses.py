"""What a client is sent: a server's answer, a stream, or a refusal."""

from pimentoledge import results
from pimentoledge.platform import requests
from pimentoledge.routing import clocks
from pimentoledge.routing import event_streams
from pimentoledge.routing import request_types
from pimentoledge.routing import router_responses


class ClientResponse:
    """The answer to one request; exactly one of its ends is reached.

    Attributes:
        client: the client's connection.
        request: the client's id of its attempt, or "".
        arrived: when the request had been read.
        last_event: number of the last event that the client has, or None.
        head_sent: whether a stream's head was sent.
        first_seconds: time to the first event, or None before it.
        gap_seconds: longest pause between two events.
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

    def silent_seconds(self, now: float) -> float:
        """Returns for how long the client has got nothing."""
        return now - (self._event_at or self.arrived)

    def begin(self, client_request: request_types.ClientRequest) -> None:
        """Takes the request that it answers."""
        self.request = client_request.request
        self.arrived = client_request.arrived
        self.last_event = client_request.resume_after

    def can_resume(self) -> bool:
        """Returns whether another server's events may follow the last one.

        Events without numbers were sent: a second run's can't be told from
        the first's, and the client would get them twice.
        """
        return not self.head_sent or self.last_event is not None

    def pass_on(
        self, answer: request_types.ServerResponse, body: bytes
    ) -> None:
        """Sends a server's whole answer."""
        self.client.send(
            requests.encode_answer_head(
                answer, length=len(body), closes=self.client.closes
            )
            + body
        )
        self.client.finished()

    def pass_event(
        self, event: event_streams.Event, answer: request_types.ServerResponse
    ) -> float | None:
        """Sends an event unless the client has it.

        Returns the pause since the one before, in seconds, or None.
        """
        if event.number is not None:
            if self.last_event is not None and event.number <= self.last_event:
                return None
            self.last_event = event.number
        self._send_stream_head(answer)
        self.client.send(b"%x\r\n%b\r\n" % (len(event.data), event.data))
        return self._pause()

    def _pause(self) -> float | None:
        now = clocks.now()
        before, self._event_at = self._event_at, now
        if self.first_seconds is None:
            self.first_seconds = now - self.arrived
            return None
        self.gap_seconds = max(self.gap_seconds, now - before)
        return now - before

    def _send_stream_head(self, answer: request_types.ServerResponse) -> None:
        if self.head_sent:
            return
        self.head_sent = True
        self.client.send(
            requests.encode_answer_head(
                answer, length=None, closes=self.client.closes
            )
        )

    def end_stream(self, answer: request_types.ServerResponse) -> None:
        """Ends a stream that is whole."""
        self._send_stream_head(answer)
        self.client.send(b"0\r\n\r\n")
        self.client.finished()

    def break_off(self) -> None:
        """Ends a stream so that it doesn't look whole."""
        self.client.abort()

    def refuse(self, code: results.Code, retry_seconds: float | None) -> None:
        """Sends an answer of the system's own.

        Args:
            code: what happened.
            retry_seconds: when to come back, or None.
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
