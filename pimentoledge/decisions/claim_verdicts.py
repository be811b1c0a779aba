"""Verdicts on requests with an idempotency key."""

import attrs

from pimentoledge import results
from pimentoledge.decisions import claim_records


@attrs.frozen(kw_only=True)
class Granted:
    """The claim is durable, and this agent may start the call once.

    The agent checks the request's deadline again right before it starts the
    call, since the granted call may have waited in the agent's queue.
    """

    request: str
    attempt: int


@attrs.frozen(kw_only=True)
class Replay:
    """The call with this key already ran; this is its answer."""

    request: str
    attempt: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes


@attrs.frozen(kw_only=True)
class Denied:
    """The request is not run.

    Attributes:
        request: request id.
        attempt: attempt number.
        code: the reason.
        ran: whether the call identified by the key ran.
    """

    request: str
    attempt: int
    code: results.Code
    ran: results.Ran


@attrs.frozen(kw_only=True)
class Released:
    """The key of a granted call that never started is released.

    Any agent may claim it again. If the store fails, the verdict is sent
    although the record is still there; other agents then report the outcome
    of the call as unknown.
    """

    request: str
    attempt: int


Verdict = Granted | Replay | Denied | Released


def deny(
    request: str,
    attempt: int,
    code: results.Code,
    ran: results.Ran = results.Ran.NOT_RUN,
) -> Denied:
    """Returns a refusal; by default it reports that the call did not run."""
    return Denied(request=request, attempt=attempt, code=code, ran=ran)


def finished(
    request: str, attempt: int, answer: claim_records.StoredAnswer | None
) -> Replay | Denied:
    """Returns the answer of the first run, or a refusal if it isn't kept."""
    if answer is None:
        code = results.Code.ANSWER_NOT_KEPT
        return deny(request, attempt, code, results.Ran.RAN)
    return Replay(
        request=request,
        attempt=attempt,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )
