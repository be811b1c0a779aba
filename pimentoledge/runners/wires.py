"""The engines' form on the wire: JSON over HTTP, streams as SSE.

Each block of a stream is `event: NAME` and `data: JSON`; a text block has no
event name. A stream is complete only with its `ended` block. A block that
begins with a colon is a comment; the first one says that the completion was
taken in, long before it may start.
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
# Status with which an engine refuses a completion; the body is a Refusal.
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
        ran: results.Ran.
        reason: why.
    """

    ran: str
    reason: str


@attrs.define(kw_only=True)
class Chunk:
    """Data of a text block; `index` counts tokens from 0."""

    index: int
    text: str
    tokens: int


@attrs.define(kw_only=True)
class ExportRequest:
    """Body of an export request."""

    blocks: list[bytes]


@attrs.define(kw_only=True)
class ImportAnswer:
    """Body of the answer to an import."""

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
    """Returns the block of a stream that stands for an event."""
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
