"""What a state machine asks its daemon to do."""

import attrs

from pimentoledge import results
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.runners import messages as runners


@attrs.define(kw_only=True)
class Send:
    """Send a message to another process.

    Attributes:
        address: the receiver's mailbox, as tcp://ip:port.
        message: one of the classes of nodes.messages.
    """

    address: str
    message: object


@attrs.define(kw_only=True)
class CallStore:
    """Make a call to the object API; its answer comes back as a message."""

    call: stores.Call


@attrs.define(kw_only=True)
class ReplyText:
    """Entry: give a piece of the stream to the caller."""

    request: str
    text: str
    tokens: int


@attrs.define(kw_only=True)
class ReplyEnd:
    """Entry: the stream is complete."""

    request: str
    reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@attrs.define(kw_only=True)
class ReplyAnswer:
    """Entry: a plain service's whole answer."""

    request: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    replayed: bool = False


@attrs.define(kw_only=True)
class ReplyError:
    """Entry: the request ends with an error."""

    request: str
    error: results.Error


@attrs.define(kw_only=True)
class ReplyOperator:
    """Entry: the answer to an operator.

    Attributes:
        request: request id.
        status: HTTP status.
        fields: the JSON body.
        version: version of the object answered with; 0 for none.
        known: whether this is what this node knows, the store being down.
    """

    request: str
    status: int
    fields: dict[str, object]
    version: int = 0
    known: bool = False


@attrs.define(kw_only=True)
class RunCompletion:
    """Agent: hand a completion to the engine.

    Attributes:
        request: request id.
        attempt: attempt number.
        priority: declarations.Priority.
        completion: what to run.
        salt: the engine shares cached blocks only under an equal salt, so
            that no organisation can use or time another's prompts.
        trace: traceparent header.
    """

    request: str
    attempt: int
    priority: str
    completion: messages.Completion
    salt: str = ""
    trace: str = ""


@attrs.define(kw_only=True)
class RunCall:
    """Agent: hand a call to the plain service."""

    request: str
    attempt: int
    call: messages.ServiceCall
    seconds: float
    key: str = ""
    trace: str = ""


@attrs.define(kw_only=True)
class CancelRun:
    """Agent: cancel at the engine."""

    request: str
    attempt: int


@attrs.define(kw_only=True)
class ResumeRun:
    """Agent: take up a stream whose connection to the engine broke.

    Attributes:
        request: request id.
        attempt: attempt number.
        index: number of the first token that is still needed.
    """

    request: str
    attempt: int
    index: int


@attrs.define(kw_only=True)
class CheckEngine:
    """Agent: ask the engine at once who it is."""


@attrs.define(kw_only=True)
class OrderEngine:
    """Agent: give an order to the engine."""

    order: runners.Order


@attrs.define(kw_only=True)
class ReleaseMemory:
    """Entry: give back memory that a large answer of the store has left."""


@attrs.define(kw_only=True)
class LogDecision:
    """Write one log line for a decision.

    Attributes:
        kind: "route", "admit", "refuse", "retry", "order", ...
        fields: what was decided, about what, and why.
    """

    kind: str
    fields: dict[str, object]


Action = (
    Send
    | CallStore
    | ReplyText
    | ReplyEnd
    | ReplyAnswer
    | ReplyError
    | ReplyOperator
    | RunCompletion
    | RunCall
    | CancelRun
    | ResumeRun
    | CheckEngine
    | OrderEngine
    | ReleaseMemory
    | LogDecision
)
