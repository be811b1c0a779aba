"""What happens to an entry or an agent, apart from messages and answers.

The daemons turn what they read from sockets into these, and give them to the
state machines together with the time.
"""

import attrs

from pimentoledge.nodes import messages
from pimentoledge.runners import messages as runners


@attrs.define(kw_only=True)
class FromNode:
    """A message came from another process.

    Attributes:
        sender: the sender's mailbox.
        message: one of the classes of nodes.messages.
        configuration: newest configuration version that the sender knows.
    """

    sender: str
    message: object
    configuration: int = 0


@attrs.define(kw_only=True)
class Unreachable:
    """A process can't be reached by a message.

    Attributes:
        address: its mailbox.
        unsent: messages that surely never left this process; what was sent
            before them may or may not have arrived.
    """

    address: str
    unsent: list[object] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class ListedVm:
    """One VM as the platform's lagging list shows it.

    Attributes:
        address: its IP address.
        leaving: whether the platform is about to take it away.
    """

    address: str
    leaving: bool = False


@attrs.define(kw_only=True)
class VmsListed:
    """Entry: the platform's list of VMs was read; it lags.

    Attributes:
        vms: the whole list.
    """

    vms: list[ListedVm]


@attrs.define(kw_only=True)
class CallerRequest:
    """Entry: a caller asks for something.

    Attributes:
        request: new id, unique over all entries and their restarts.
        key_digest: hexadecimal digest of the API key.
        seconds: time the caller allows; 0 when it named none.
        batch: whether the caller asks for batch priority.
        idempotency_key: as given; empty for none.
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
    """Entry: the caller of a request went away or reads too slowly."""

    request: str


@attrs.define(kw_only=True)
class Drain:
    """The process shall end: take no new work, finish what runs."""


@attrs.define(kw_only=True)
class EngineStarted:
    """Agent: the engine took a completion into its batch."""

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
        index: number of the first token in it, from 0 within this attempt.
        text: the text.
        tokens: tokens in it.
    """

    request: str
    attempt: int
    index: int
    text: str
    tokens: int


@attrs.define(kw_only=True)
class EngineEnded:
    """Agent: the engine says that a completion is complete."""

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
        ran: results.Ran; "not_run" only if the engine surely did not start.
        text: what was seen.
    """

    request: str
    attempt: int
    ran: str
    text: str


@attrs.define(kw_only=True)
class EngineStatus:
    """Agent: what the engine or service says of itself; lags.

    Attributes:
        incarnation: id of its life; empty when it did not answer.
        weights: weights version loaded.
        adapters: adapters loaded.
        role: its role, "both", "prefill" or "decode".
        running: requests in its batch.
        waiting: requests in its own queue.
        slots: requests in its batch at most.
        token_seconds: prefill time of one uncached token.
        step_seconds: time of one batch step.
        fencing: highest fencing number seen; 0 when it ignores them.
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
    """Agent: what became of an order.

    Attributes:
        order: the order.
        answer: the engine's answer; None when none came, so that the order
            may or may not have been carried out.
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
    """Entry: an operator asks for something.

    Attributes:
        request: new id, unique over all entries and their restarts.
        key_digest: hexadecimal digest of the operator's key.
        method: GET, PUT, PATCH or DELETE.
        kind: the kind's part of the path, as "contracts"; or "status".
        name: the object's name; empty for a list.
        history: whether the object's former versions are asked for.
        limit: names in one page of a list.
        cursor: the last name of the page before.
        body: the JSON body.
        expected: version that the object must have; 0 when it must be
            absent; None when the operator names no condition.
        dry_run: check everything, and write nothing.
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
