"""Actions that a state machine returns for its daemon to carry out."""

import attrs

from pimentoledge import results
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.runners import messages as runners


@attrs.define(kw_only=True)
class Send:
    """Send a message to another process.

    Attributes:
        address: the recipient's mailbox, as tcp://ip:port.
        message: one of the classes of nodes.messages.
    """

    address: str
    message: object


@attrs.define(kw_only=True)
class CallStore:
    """Make a call to the object API; the answer arrives as an event."""

    call: stores.Call


@attrs.define(kw_only=True)
class ReplyText:
    """Entry: send a piece of the stream to the client."""

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
    """Entry: send a plain service's complete response to the client."""

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
    """Entry: send the response to an operator.

    Attributes:
        request: request id.
        status: HTTP status.
        fields: the JSON body.
        version: version of the returned object; 0 for none.
        known: whether this is the node's local copy, because the store is
            down.
    """

    request: str
    status: int
    fields: dict[str, object]
    version: int = 0
    known: bool = False


@attrs.define(kw_only=True)
class RunCompletion:
    """Agent: submit a completion to the engine.

    Attributes:
        request: request id.
        attempt: attempt number.
        priority: declarations.Priority.
        completion: the completion to run.
        salt: cache salt. The engine shares cached blocks only between equal
            salts, so that no organisation can reuse another's prompts or
            detect them by timing.
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
    """Agent: send a call to the plain service."""

    request: str
    attempt: int
    call: messages.ServiceCall
    seconds: float
    key: str = ""
    trace: str = ""


@attrs.define(kw_only=True)
class CancelRun:
    """Agent: cancel an attempt at the engine."""

    request: str
    attempt: int


@attrs.define(kw_only=True)
class ResumeRun:
    """Agent: resume a stream whose connection to the engine broke.

    Attributes:
        request: request id.
        attempt: attempt number.
        index: index of the first token that is still needed.
    """

    request: str
    attempt: int
    index: int


@attrs.define(kw_only=True)
class CheckEngine:
    """Agent: fetch the engine's status, with its incarnation, at once."""


@attrs.define(kw_only=True)
class OrderEngine:
    """Agent: send an order to the engine."""

    order: runners.Order


@attrs.define(kw_only=True)
class ReleaseMemory:
    """Entry: return memory freed after a large store answer to the system."""


@attrs.define(kw_only=True)
class LogDecision:
    """Write one log line for a decision.

    Attributes:
        kind: "route", "admit", "refuse", "retry", "order", ...
        fields: the decision, its subject and its reason.
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
