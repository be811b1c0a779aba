"""Events that the state machines of entries and agents handle.

The daemons create them from what they read from sockets, and pass them to
the state machines together with the time. Answers of the store are in
`stores`.
"""

import attrs

from pimentoledge.nodes import messages
from pimentoledge.runners import messages as runners


@attrs.define(kw_only=True)
class FromNode:
    """A message of another process has arrived.

    Attributes:
        sender: the sender's mailbox.
        message: one of the classes of nodes.messages.
        configuration: newest configuration version that the sender has.
    """

    sender: str
    message: object
    configuration: int = 0


@attrs.define(kw_only=True)
class Unreachable:
    """A process can't be reached by a message.

    Attributes:
        address: its mailbox.
        unsent: messages that certainly never left this process. Messages
            sent before them may or may not have arrived.
    """

    address: str
    unsent: list[object] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class ListedVm:
    """One VM in the platform's list, which lags.

    Attributes:
        address: its IP address.
        leaving: whether the platform is about to remove it.
    """

    address: str
    leaving: bool = False


@attrs.define(kw_only=True)
class VmsListed:
    """Entry: the platform's list of VMs, which lags, was read.

    Attributes:
        vms: the complete list.
    """

    vms: list[ListedVm]


@attrs.define(kw_only=True)
class CallerRequest:
    """Entry: a request of a client.

    Attributes:
        request: new id, unique over all entries and their restarts.
        key_digest: hexadecimal digest of the API key.
        seconds: time limit set by the client; 0 for none.
        batch: whether the client requests batch priority.
        idempotency_key: as received; empty for none.
        completion: the completion, or None.
        call: the service call, or None.
        trace: traceparent header.
    """

    request: str
    key_digest: str
    seconds: float = 0.0
    batch: bool = False
    idempotency_key: str = ""
    completion: messages.Completion | None = None
    call: messages.ServiceCall | None = None
    trace: str = ""


@attrs.define(kw_only=True)
class CallerGone:
    """Entry: the client of a request disconnected or reads too slowly."""

    request: str


@attrs.define(kw_only=True)
class Drain:
    """The process shuts down: it takes no new work and finishes the rest."""


@attrs.define(kw_only=True)
class EngineStarted:
    """Agent: the engine added a completion to its batch."""

    request: str
    attempt: int
    incarnation: str
    prompt_tokens: int
    cached_tokens: int


@attrs.define(kw_only=True)
class EngineText:
    """Agent: the engine generated text.

    Attributes:
        request: request id.
        attempt: attempt number.
        index: index of its first token, from 0 within this attempt.
        text: the text.
        tokens: number of tokens in the text.
    """

    request: str
    attempt: int
    index: int
    text: str
    tokens: int


@attrs.define(kw_only=True)
class EngineEnded:
    """Agent: the engine reports that a completion has ended."""

    request: str
    attempt: int
    reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@attrs.define(kw_only=True)
class EngineBroken:
    """Agent: the answer of the engine broke off, or never began.

    Attributes:
        request: request id.
        attempt: attempt number.
        ran: results.Ran; "not_run" only if the engine certainly did not
            start it.
        text: description of the error.
    """

    request: str
    attempt: int
    ran: str
    text: str


@attrs.define(kw_only=True)
class EngineStatus:
    """Agent: status reported by the engine or service; it lags.

    Attributes:
        incarnation: id of its current start; empty if it did not answer.
        weights: weights version loaded.
        adapters: adapters loaded.
        role: its role, "both", "prefill" or "decode".
        running: requests in its batch.
        waiting: requests in its own queue.
        slots: maximum number of requests in its batch.
        token_seconds: prefill time of one uncached token, in seconds.
        step_seconds: time of one batch step, in seconds.
        fencing: highest fencing number that it has received; 0 if it ignores
            them.
    """

    incarnation: str = ""
    weights: str = ""
    adapters: list[str] = attrs.field(factory=list)
    role: str = "both"
    running: int = 0
    waiting: int = 0
    slots: int = 0
    token_seconds: float = 0.0
    step_seconds: float = 0.0
    fencing: int = 0


@attrs.define(kw_only=True)
class OrderDone:
    """Agent: the result of an order.

    Attributes:
        order: the order.
        answer: the engine's answer; None if none arrived, in which case the
            order may or may not have been carried out.
    """

    order: runners.Order
    answer: runners.OrderAnswer | None


@attrs.define(kw_only=True)
class ServiceDone:
    """Agent: the plain service answered."""

    request: str
    attempt: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes


@attrs.define(kw_only=True)
class OperatorRequest:
    """Entry: a request of an operator.

    Attributes:
        request: new id, unique over all entries and their restarts.
        key_digest: hexadecimal digest of the operator's key.
        method: GET, PUT, PATCH or DELETE.
        kind: path segment of the object kind, such as "contracts"; or
            "status".
        name: the object's name; empty for a list.
        history: whether the object's former versions are requested.
        limit: maximum number of names in one page of a list.
        cursor: last name of the previous page.
        body: the JSON body.
        expected: version that the object must have; 0 if it must be absent;
            None for no condition.
        dry_run: whether to validate the request without writing.
        at: the wall clock, in seconds since 1970.
    """

    request: str
    key_digest: str
    method: str
    kind: str
    name: str = ""
    history: bool = False
    limit: int = 100
    cursor: str = ""
    body: bytes = b""
    expected: int | None = None
    dry_run: bool = False
    at: float = 0.0
