"""Wire format of the engines: JSON over HTTP, streams as SSE.

Each event of a stream has the lines `event: NAME` and `data: JSON`; a text
event has no name. A stream is complete only if it has its `ended` event. A
block that begins with a colon is a comment; the first one confirms that the
completion was accepted, which may be long before it starts.
"""

import attrs
import msgspec

from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.runners import messages

COMPLETIONS_PATH = "/v1/completions"
CANCEL_PATH = "/cancel"
RESUME_PATH = "/resume"
STATUS_PATH = "/status"
ORDERS_PATH = "/orders"
EVENTS_PATH = "/events"
KV_EXPORT_PATH = "/kv/export"
KV_IMPORT_PATH = "/kv/import"
# Status of a refused completion; the body is a Refusal.
REFUSED_STATUS = 409
DOWN_STATUS = 503
DATA_PREFIX = b"data: "
STARTED_PREFIX = b"event: started\ndata: "
ENDED_PREFIX = b"event: ended\ndata: "
BROKEN_PREFIX = b"event: broken\ndata: "
BLOCK_END = b"\n\n"
COMMENT_PREFIX = b":"
ACCEPTED_COMMENT = b": accepted\n\n"


@attrs.define(kw_only=True)
class CompletionBody:
    """Body of a completion request."""

    run: actions.RunCompletion
    salt: str


@attrs.define(kw_only=True)
class Refusal:
    """Body of a refusal.

    Attributes:
        ran: a results.Ran; whether the completion may have run.
        reason: why it was refused.
    """

    ran: str
    reason: str


@attrs.define(kw_only=True)
class Chunk:
    """Data of a text event; `index` counts tokens from 0."""

    index: int
    text: str
    tokens: int


@attrs.define(kw_only=True)
class ExportRequest:
    """Body of an export request."""

    blocks: list[bytes]


@attrs.define(kw_only=True)
class ImportAnswer:
    """Body of the response to an import."""

    seconds: float


encode = msgspec.json.Encoder().encode
chunk_decoder = msgspec.json.Decoder(Chunk)
started_decoder = msgspec.json.Decoder(events.EngineStarted)
ended_decoder = msgspec.json.Decoder(events.EngineEnded)
broken_decoder = msgspec.json.Decoder(events.EngineBroken)
completion_body_decoder = msgspec.json.Decoder(CompletionBody)
refusal_decoder = msgspec.json.Decoder(Refusal)
status_decoder = msgspec.json.Decoder(events.EngineStatus)
order_decoder = msgspec.json.Decoder(messages.Order)
order_answer_decoder = msgspec.json.Decoder(messages.OrderAnswer)
cache_events_decoder = msgspec.json.Decoder(messages.CacheEvents)
export_request_decoder = msgspec.json.Decoder(ExportRequest)
kv_blocks_decoder = msgspec.json.Decoder(messages.KvBlocks)
import_answer_decoder = msgspec.json.Decoder(ImportAnswer)


def encode_event(
    event: (
        events.EngineStarted
        | events.EngineText
        | events.EngineEnded
        | events.EngineBroken
    ),
) -> bytes:
    """Returns the encoding of an event in a stream."""
    match event:
        case events.EngineText():
            chunk = Chunk(
                index=event.index, text=event.text, tokens=event.tokens
            )
            return DATA_PREFIX + encode(chunk) + BLOCK_END
        case events.EngineStarted():
            return STARTED_PREFIX + encode(event) + BLOCK_END
        case events.EngineEnded():
            return ENDED_PREFIX + encode(event) + BLOCK_END
        case events.EngineBroken():
            return BROKEN_PREFIX + encode(event) + BLOCK_END
