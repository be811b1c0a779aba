"""Relays the events of a server's stream to a client as they arrive."""

import asyncio
from collections.abc import Callable

import logbook

from pimentoledge.routing import attempts
from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import client_responses
from pimentoledge.routing import clocks
from pimentoledge.routing import event_streams
from pimentoledge.routing import request_types

logger = logbook.Logger("stream_relays")

# An answer that has gone on to this many events shows that the request's parts
# don't crash the server: that happens as it begins to write.
PROVING_EVENTS = 2


class StreamRelay:
    """Relays the stream of one attempt.

    Events are relayed from the callback that receives them: a wake-up of the
    request's task for each would cost as much as the relaying.

    Attributes:
        attempt: the attempt.
        response: the head of the server's response.
        answer: the response to the client.
        framed: whether the response tells where it ends.
        observes_speed: whether the gaps between events are added to the
            estimated speed of the server.
        on_first: called before the first bytes are relayed.
        on_event: called before the first complete events are relayed.
        on_proved: called once the answer has gone on after it began.
        events: number of complete events received.
    """

    def __init__(
        self,
        *,
        attempt: attempts.Attempt,
        response: request_types.ServerResponse,
        answer: client_responses.ClientResponse,
        framed: bool,
        observes_speed: bool,
        on_first: Callable[[], None],
        on_event: Callable[[], None],
        on_proved: Callable[[], None],
    ):
        self.attempt = attempt
        self.response = response
        self.answer = answer
        self.framed = framed
        self.observes_speed = observes_speed
        self.on_first = on_first
        self.on_event = on_event
        self.on_proved = on_proved
        self.events = 0
        self._begun = False
        self._splitter = event_streams.Splitter()
        self._resuming: asyncio.Task | None = None
        # The next gap isn't due to the server: it has the time in which the
        # stream had no server, or in which reading was paused for the client.
        self._ignores_gap = answer.first_seconds is not None

    def has_proved_sound(self) -> bool:
        """Returns whether the answer has gone on after it began."""
        return self.events >= PROVING_EVENTS

    async def run(self) -> None:
        """Relays the stream to its end.

        A stream that ends with its connection before any event looks the same
        as one of a server that crashed.

        Raises:
            BrokenError: the stream ended early, or an event is too large.
        """
        connection = self.attempt.connection
        connection.relay = self._receive
        try:
            while (chunk := await self.attempt.next_chunk()) is not None:
                self._feed(chunk)
                if not self.answer.client.is_writable():
                    self._ignores_gap = True
                await self.answer.client.drained()
        except buffer_bounds.BoundExceededError as error:
            exceeded = error.exceeded
            raise attempts.over_bound(exceeded.bound, exceeded.size) from error
        finally:
            connection.relay = None
            if self._resuming is not None:
                self._resuming.cancel()
        if self._splitter.rest:
            raise attempts.broken("ended within an event")
        if not self.framed and not self.events:
            raise attempts.broken("ended with its connection and no event")

    def _receive(self, chunk: bytes) -> None:
        """Relays bytes from the connection's callback."""
        try:
            self._feed(chunk)
        except buffer_bounds.BoundExceededError as error:
            self.attempt.connection.break_off(
                str(error), exceeded=error.exceeded
            )
            return
        except Exception:
            logger.exception("defect")
            self.attempt.connection.break_off("defect")
            return
        if self.answer.client.is_writable():
            return
        self._ignores_gap = True
        if self._resuming is None:
            self.attempt.connection.pause()
            self._resuming = asyncio.get_running_loop().create_task(
                self._resume()
            )

    async def _resume(self) -> None:
        """Reads from the server again once the client has caught up."""
        await self.answer.client.drained()
        self._resuming = None
        self.attempt.connection.resume()

    def _feed(self, chunk: bytes) -> None:
        if not self._begun:
            self._begun = True
            self.on_first()
        complete = self._splitter.feed(chunk)
        holder = self.attempt.connection.holder
        if holder is not None:
            holder.note(
                buffer_budgets.Part.INCOMPLETE_EVENT, len(self._splitter.rest)
            )
        if not complete:
            return
        if not self.events:
            self.on_event()
        had_proved = self.has_proved_sound()
        self.events += len(complete)
        if self.has_proved_sound() and not had_proved:
            self.on_proved()
        gaps = self.answer.pass_events(complete, self.response)
        if gaps and self._ignores_gap:
            # Those after the first are of events that had arrived meanwhile.
            self._ignores_gap = False
            return
        for gap in gaps:
            self.attempt.backend.note_event_gap(gap)
            if self.observes_speed:
                self.attempt.backend.note_paced_gap(gap, clocks.now())
