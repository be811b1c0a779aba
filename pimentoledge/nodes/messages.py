"""Messages between processes, each with a number on the wire.

Times are durations in seconds, because the processes share no clock.
"""

import attrs

from pimentoledge.nodes import configuration_messages


@attrs.define(kw_only=True)
class Completion:
    """A completion as the agent passes it to its engine.

    Attributes:
        model: model name.
        adapter: adapter name, or empty.
        prompt: the rendered prompt, UTF-8.
        max_tokens: maximum number of tokens to generate.
        parameters: JSON object of sampling parameters, forwarded unparsed.
        continued: text that an earlier attempt already sent to the caller; the
            engine continues after it.
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
    """A call to a plain service, forwarded unparsed.

    Attributes:
        service: the service's name.
        method: HTTP method.
        path: path below the service's root.
        query: query string without the question mark.
        headers: name and value pairs.
        body: body of the request.
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
    """An agent's status of its own backend server; corrects an entry's hints.

    Attributes:
        server: backend server's name.
        incarnation: id of the engine's current run; empty if it is down.
        weights: weights version loaded.
        adapters: adapters loaded.
        leaving: whether it is draining and accepts no new work.
        loading: whether it accepts no new work until weights are loaded.
        running: requests in the engine.
        queued: requests waiting at the agent.
        queued_tokens: uncached prompt tokens waiting or in prefill.
        slots: requests that the engine can run at once.
        token_seconds: prefill time per uncached prompt token.
        step_seconds: time between two tokens of a stream.
        received: number of dispatches that this run of the agent received
            from the receiver of this message; the status covers these.
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
    """Entry to agent: runs a request if the entry's assumptions still hold.

    Attributes:
        request: request id, unique over all entries.
        attempt: number of the attempt, from 1.
        organisation: owner of the request.
        priority: declarations.Priority.
        share: the contract's weight in fair sharing.
        seconds_left: time remaining until the deadline.
        server: name of the backend server that must run it.
        incarnation: expected incarnation of the engine; empty for any, if the
            entry has no hint yet and relies on no cached block.
        weights: expected weights version; empty for a plain service.
        configuration: entry's configuration version.
        expected_depth: prompt tokens that are expected to be cached there.
        prompt_tokens: estimated length of the prompt.
        fingerprint: digest of organisation and content, for quarantine.
        crashes: number of engines that this content is known to have crashed.
        key: idempotency key; empty if the call may be repeated.
        sequence: number of the first frame.
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
    """Agent to entry: the request is running or queued at the agent."""

    request: str
    attempt: int
    truth: ServerStatus


@attrs.define(kw_only=True)
class Refused:
    """Agent to entry: this attempt was not run and never will be.

    Attributes:
        request: request id.
        attempt: attempt number.
        code: results.Code.
        truth: status of the agent's backend server.
        retry_after: advised backoff in seconds; 0 if there is none.
    """

    request: str
    attempt: int
    code: int
    truth: ServerStatus
    retry_after: float = 0.0


@attrs.define(kw_only=True)
class Frame:
    """Agent to entry: the next part of a stream.

    Attributes:
        request: request id.
        attempt: attempt number.
        sequence: number of this frame within the request; a later attempt
            continues the numbers of the previous one.
        text: generated text.
        tokens: number of tokens in the text.
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
        sequence: number of the frame that would be next; if the entry expects
            a smaller number, frames were lost.
        reason: the engine's finish reason, "stop" or "length".
        prompt_tokens: tokens in the prompt.
        cached_tokens: prompt tokens that were in the engine's cache.
        completion_tokens: tokens generated by this attempt.
        truth: status of the agent's backend server.
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
    """Agent to entry: the complete response of a plain service.

    Attributes:
        request: request id.
        attempt: attempt number.
        status: HTTP status.
        headers: name and value pairs.
        body: body of the response.
        truth: status of the agent's backend server.
        replayed: whether this is the stored response of an earlier run.
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
    """Agent to entry: the request failed after it was admitted.

    Attributes:
        request: request id.
        attempt: attempt number.
        code: results.Code.
        ran: results.Ran; "not_run" only if the server never received it.
        truth: status of the agent's backend server.
        suspects: fingerprints that were running when the engine crashed.
        incarnation: incarnation of the engine that crashed, if it did.
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
    """Entry to agent: cancels an attempt that no caller waits for."""

    request: str
    attempt: int


@attrs.define(kw_only=True)
class Probe:
    """Entry to agent: requests its status and checks for lost requests.

    Attributes:
        requests: ids of requests that the entry expects at the agent.
    """

    requests: list[str] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class ProbeAnswer:
    """Agent to entry: reply to Probe.

    Attributes:
        truth: status of the agent's backend server.
        unknown: requests named in the probe that the agent does not have.
    """

    truth: ServerStatus
    unknown: list[str] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class QuotaRequest:
    """Entry to the owner of a contract's limits: requests tokens and slots.

    Levels (`running`, `slots`) are absolute, so the next message corrects the
    effect of a lost or repeated one.

    Attributes:
        organisation: organisation of the contract.
        life: random number chosen when the sender's process started.
        number: increases by one with each message of this process run for
            this organisation, so that a late message is recognized.
        version: the sender's version of the contract.
        rate: that version's requests per second; 0 for no limit.
        burst: that version's burst.
        concurrency: that version's concurrent requests; 0 for no limit.
        tokens: requested tokens; each admits one request.
        debt: requests that were admitted before their token was granted.
        returned: unused tokens that are returned.
        running: requests running at the sender.
        waiting: requests that wait there for a slot or a token.
        slots: requested number of concurrent requests, including those that
            run or wait.
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
    """Reply to QuotaRequest, or a recall of leased slots that are unused.

    Attributes:
        organisation: organisation of the contract.
        number: number of the QuotaRequest; 0 for a recall.
        tokens: leased tokens; they expire after `token_seconds`.
        slots: total number of concurrent requests that the receiver may run.
        token_seconds: lease time, from the sending of the QuotaRequest.
        slot_seconds: lease time, from the sending of the QuotaRequest.
        wait: seconds until a token is available; 0 if some were leased or
            none was requested.
        scarce: whether no slot is free; the receiver then reports the end of
            each request at once.
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
    """Entry to entry, and in the store: requests running at a crash.

    Attributes:
        server: the engine's backend server.
        incarnation: incarnation of the engine that crashed.
        fingerprints: fingerprints of the running requests, sorted.
        certain: whether the agent observed the crash; false if the whole VM
            disappeared.
    """

    server: str
    incarnation: str
    fingerprints: list[bytes]
    certain: bool = True


@attrs.define(kw_only=True)
class SuspectCleared:
    """Entry to entry: an engine completed a suspect without a crash.

    Attributes:
        fingerprint: fingerprint of the suspect that is released.
        crashes: ids of the crashes of which it is cleared.
    """

    fingerprint: bytes
    crashes: list[bytes]


# Numbers on the wire. A number is never reused for another message.
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
