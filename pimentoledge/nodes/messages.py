"""Messages between the processes, each with a number on the wire.

Times are durations in seconds: the processes share no clock.
"""

import attrs

from pimentoledge.nodes import configuration_messages


@attrs.define(kw_only=True)
class Completion:
    """A completion as the agent hands it to its engine.

    Attributes:
        model: model name.
        adapter: adapter name; empty for none.
        prompt: the rendered prompt, UTF-8.
        max_tokens: most tokens to generate.
        parameters: JSON object of sampling parameters, passed on unread.
        continued: text already sent to the caller by an earlier attempt; the
            engine continues behind it.
        continued_tokens: tokens in `continued`.
    """

    model: str
    adapter: str = ""
    prompt: str
    max_tokens: int
    parameters: bytes = b"{}"
    continued: str = ""
    continued_tokens: int = 0


@attrs.define(kw_only=True)
class ServiceCall:
    """A call to a plain service, passed on unread.

    Attributes:
        service: the service's name.
        method: HTTP method.
        path: path below the service's root.
        query: query string without the question mark.
        headers: name and value pairs.
        body: the body.
        repeatable: whether it may run more than once.
    """

    service: str
    method: str
    path: str
    query: str = ""
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""
    repeatable: bool = True


@attrs.define(kw_only=True)
class ServerStatus:
    """What an agent knows of its own backend server; corrects hints.

    Attributes:
        server: backend server's name.
        incarnation: id of the engine's life; empty when it is down.
        weights: weights version loaded.
        adapters: adapters loaded.
        leaving: whether it takes no new work any more.
        loading: whether it takes no new work until weights are loaded.
        running: requests in the engine.
        queued: requests waiting at the agent.
        queued_tokens: uncached prompt tokens waiting or in prefill.
        slots: requests that the engine can run at one time.
        token_seconds: prefill time of one uncached prompt token.
        step_seconds: time between two tokens of one stream.
        received: dispatches received so far in this agent's life from the
            process that this message goes to; covers what it had sent.
        configuration: newest configuration version that the agent has.
    """

    server: str
    incarnation: str = ""
    weights: str = ""
    adapters: list[str] = attrs.field(factory=list)
    leaving: bool = False
    loading: bool = False
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    slots: int = 0
    token_seconds: float = 0.0
    step_seconds: float = 0.0
    received: int = 0
    configuration: int = 0


@attrs.define(kw_only=True)
class Dispatch:
    """Entry to agent: run this, if what I assume is still true.

    Attributes:
        request: request id, unique over all entries.
        attempt: number of the attempt, from 1.
        organisation: whose request it is.
        priority: declarations.Priority.
        share: the contract's weight in the fair share.
        seconds_left: time to the deadline.
        server: backend server that is meant.
        incarnation: engine incarnation assumed; empty for any, when the
            entry has no hint yet and relies on no cached block.
        weights: weights version assumed; empty for a plain service.
        configuration: entry's configuration version.
        expected_depth: prompt tokens expected to be cached there.
        prompt_tokens: estimated length of the prompt.
        fingerprint: digest of organisation and content, for quarantine.
        crashes: engines that this content is known to have crashed.
        key: idempotency key; empty when the call may be repeated.
        sequence: number that the first frame shall have.
        completion: the completion, or None.
        call: the service call, or None.
        trace: traceparent header.
    """

    request: str
    attempt: int
    organisation: str
    priority: str
    share: float = 1.0
    seconds_left: float
    server: str
    incarnation: str = ""
    weights: str = ""
    configuration: int = 0
    expected_depth: int = 0
    prompt_tokens: int = 0
    fingerprint: bytes = b""
    crashes: int = 0
    key: str = ""
    sequence: int = 0
    completion: Completion | None = None
    call: ServiceCall | None = None
    trace: str = ""


@attrs.define(kw_only=True)
class Admitted:
    """Agent to entry: accepted; it runs or waits in the queue here."""

    request: str
    attempt: int
    truth: ServerStatus


@attrs.define(kw_only=True)
class Refused:
    """Agent to entry: not run, and never will be for this attempt.

    Attributes:
        request: request id.
        attempt: attempt number.
        code: results.Code.
        truth: what is true here.
        retry_after: seconds; 0 for no advice.
    """

    request: str
    attempt: int
    code: int
    truth: ServerStatus
    retry_after: float = 0.0


@attrs.define(kw_only=True)
class Frame:
    """Agent to entry: the next piece of a stream.

    Attributes:
        request: request id.
        attempt: attempt number.
        sequence: number of this frame within the request; a later attempt
            goes on where the one before it stopped.
        text: generated text.
        tokens: tokens in it.
    """

    request: str
    attempt: int
    sequence: int
    text: str
    tokens: int = 1


@attrs.define(kw_only=True)
class Frames:
    """Agent to entry: frames of many streams in one message."""

    frames: list[Frame]


@attrs.define(kw_only=True)
class Finished:
    """Agent to entry: the stream is complete.

    Attributes:
        request: request id.
        attempt: attempt number.
        sequence: number of the frame that would come next; a smaller count
            at the entry means that frames were lost.
        reason: the engine's finish reason, "stop" or "length".
        prompt_tokens: tokens in the prompt.
        cached_tokens: prompt tokens that the engine took from its cache.
        completion_tokens: tokens generated by this attempt.
        truth: what is true here.
    """

    request: str
    attempt: int
    sequence: int
    reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int
    truth: ServerStatus


@attrs.define(kw_only=True)
class ServiceAnswer:
    """Agent to entry: the plain service's whole answer.

    Attributes:
        request: request id.
        attempt: attempt number.
        status: HTTP status.
        headers: name and value pairs.
        body: the body.
        truth: what is true here.
        replayed: whether this is the kept answer of an earlier run.
    """

    request: str
    attempt: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    truth: ServerStatus
    replayed: bool = False


@attrs.define(kw_only=True)
class Failed:
    """Agent to entry: admitted, and then it did not end well.

    Attributes:
        request: request id.
        attempt: attempt number.
        code: results.Code.
        ran: results.Ran; "not_run" only when the server never got it.
        truth: what is true here.
        suspects: fingerprints that were running when the engine died.
        incarnation: the life that ended, if the engine died.
    """

    request: str
    attempt: int
    code: int
    ran: str
    truth: ServerStatus
    suspects: list[bytes] = attrs.field(factory=list)
    incarnation: str = ""


@attrs.define(kw_only=True)
class Cancel:
    """Entry to agent: nobody waits for this attempt any more."""

    request: str
    attempt: int


@attrs.define(kw_only=True)
class Probe:
    """Entry to agent: tell me your truth, and which requests you hold.

    Attributes:
        requests: ids of requests the entry believes are there.
    """

    requests: list[str] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class ProbeAnswer:
    """Agent to entry: answer to Probe.

    Attributes:
        truth: what is true here.
        unknown: requests named in the probe that are not held here.
    """

    truth: ServerStatus
    unknown: list[str] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class QuotaRequest:
    """Entry to the entry that owns a contract's limits: lend to me.

    Levels (`running`, `slots`) are absolute, so a lost or repeated message
    is put right by the next one.

    Attributes:
        organisation: whose contract.
        life: a number drawn when the sender's process started.
        number: grows by one with each message of this life for this
            organisation, so that one that comes late is known.
        version: the contract's version that the sender has.
        rate: that version's requests per second; 0 for no limit.
        burst: that version's burst.
        concurrency: that version's concurrent requests; 0 for no limit.
        tokens: tokens wanted, each good for one request.
        debt: requests that were let in ahead of a token.
        returned: tokens handed back unspent.
        running: requests that run at the sender.
        waiting: requests that wait there for a slot or a token.
        slots: concurrent requests wanted, with those that run or wait.
    """

    organisation: str
    number: int
    life: int = 0
    version: int = 0
    rate: float = 0.0
    burst: int = 0
    concurrency: int = 0
    tokens: int = 0
    debt: int = 0
    returned: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0


@attrs.define(kw_only=True)
class QuotaGrant:
    """Answer to QuotaRequest, or a recall of slots that are lent and unused.

    Attributes:
        organisation: whose contract.
        number: that of the QuotaRequest; 0 for a recall.
        tokens: tokens lent; they lapse after `token_seconds`.
        slots: concurrent requests that the receiver may run, in all.
        token_seconds: from the sending of the QuotaRequest.
        slot_seconds: from the sending of the QuotaRequest.
        wait: seconds until a token will be there; 0 when some were lent or
            none was wanted.
        scarce: whether no slot is free now; who ends a request says so at
            once.
    """

    organisation: str
    number: int
    tokens: int = 0
    slots: int = 0
    token_seconds: float = 0.0
    slot_seconds: float = 0.0
    wait: float = 0.0
    scarce: bool = False


@attrs.define(kw_only=True)
class Suspects:
    """Entry to entry, and in the store: an engine died running these.

    Attributes:
        server: the engine's backend server.
        incarnation: the life that ended.
        fingerprints: what it ran, sorted.
        certain: whether its agent saw the engine die; false when the whole
            VM vanished.
    """

    server: str
    incarnation: str
    fingerprints: list[bytes]
    certain: bool = True


@attrs.define(kw_only=True)
class SuspectCleared:
    """Entry to entry: an engine completed this suspect.

    Attributes:
        fingerprint: what is released.
        crashes: ids of the crashes that it is cleared of.
    """

    fingerprint: bytes
    crashes: list[bytes]


# Numbers on the wire; a number is never used for another message.
# 1-29 requests; 30-39 limits; 40-49 quarantine; 50-69 configuration and
# membership; 70-79 claims; 80-89 orders and permits.
NUMBERS: dict[int, type] = {
    1: Dispatch,
    2: Admitted,
    3: Refused,
    4: Frame,
    5: Frames,
    6: Finished,
    7: ServiceAnswer,
    8: Failed,
    9: Cancel,
    10: Probe,
    11: ProbeAnswer,
    30: QuotaRequest,
    31: QuotaGrant,
    40: Suspects,
    41: SuspectCleared,
    **configuration_messages.NUMBERS,
}
