"""Parses an engine's stream and detects incomplete ones."""

from collections.abc import Iterator

import msgspec

from pimentoledge import results
from pimentoledge.decisions import events
from pimentoledge.runners import wires

Event = (
    events.EngineStarted
    | events.EngineText
    | events.EngineEnded
    | events.EngineBroken
)


class StreamReader:
    """Turns the bytes of one stream into events.

    A crashing engine closes its connections, which looks like the end of a
    response, and lost events leave a gap in the token numbers. So an answer is
    complete only if it has its `ended` event and each text begins where the
    previous one stopped. Anything else yields exactly one EngineBroken as the
    last event.

    Attributes:
        request: request id.
        attempt: attempt number.
        index: number of the next token.
        finished: whether EngineEnded or EngineBroken was returned.
        complete: whether it was EngineEnded.
        unparsed: bytes of the last, still incomplete event.
    """

    def __init__(self, *, request: str, attempt: int, index: int = 0):
        self.request = request
        self.attempt = attempt
        self.index = index
        self.finished = False
        self.complete = False
        self.unparsed = b""

    def feed(self, data: bytes) -> Iterator[Event]:
        """Parses received bytes; adjacent texts are joined into one event."""
        *blocks, self.unparsed = (self.unparsed + data).split(wires.BLOCK_END)
        first = self.index
        texts: list[str] = []
        for block in blocks:
            if self.finished:
                return
            if block.startswith(wires.COMMENT_PREFIX):
                continue
            if block.startswith(wires.DATA_PREFIX):
                fault = self._append_text(block, texts)
                if not fault:
                    continue
                event = self.mark_broken(fault)
            else:
                event = self._decode_event(block)
            if texts:
                yield self._text_event(first, texts)
                texts = []
            yield event
        if texts:
            yield self._text_event(first, texts)

    def mark_broken(
        self, text: str, ran: results.Ran = results.Ran.RAN
    ) -> events.EngineBroken:
        """Marks the stream as finished and returns its EngineBroken event."""
        self.finished = True
        return events.EngineBroken(
            request=self.request, attempt=self.attempt, ran=str(ran), text=text
        )

    def _append_text(self, block: bytes, texts: list[str]) -> str:
        try:
            chunk = wires.chunk_decoder.decode(block[len(wires.DATA_PREFIX) :])
        except msgspec.MsgspecError as error:
            return f"bad text block: {error}"
        if chunk.index != self.index:
            return f"token {chunk.index} came where {self.index} was due"
        texts.append(chunk.text)
        self.index += chunk.tokens
        return ""

    def _text_event(self, first: int, texts: list[str]) -> events.EngineText:
        return events.EngineText(
            request=self.request,
            attempt=self.attempt,
            index=first,
            text="".join(texts),
            tokens=self.index - first,
        )

    def _decode_event(self, block: bytes) -> Event:
        try:
            event = _decode_block(block)
        except msgspec.MsgspecError as error:
            return self.mark_broken(f"bad block: {error}")
        if (event.request, event.attempt) != (self.request, self.attempt):
            return self.mark_broken("a block of another stream")
        match event:
            case events.EngineEnded():
                if event.completion_tokens != self.index:
                    return self.mark_broken(
                        f"{event.completion_tokens} tokens announced, but"
                        f" {self.index} came"
                    )
                self.finished = True
                self.complete = True
            case events.EngineBroken():
                self.finished = True
        return event


def _decode_block(block: bytes) -> Event:
    for prefix, decoder in (
        (wires.STARTED_PREFIX, wires.started_decoder),
        (wires.ENDED_PREFIX, wires.ended_decoder),
        (wires.BROKEN_PREFIX, wires.broken_decoder),
    ):
        if block.startswith(prefix):
            return decoder.decode(block[len(prefix) :])
    raise msgspec.DecodeError("unknown event")
