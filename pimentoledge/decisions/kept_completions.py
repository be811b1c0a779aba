"""Completions kept to answer retries with the same idempotency key."""

import attrs
import msgspec

from pimentoledge.decisions import claim_records
from pimentoledge.decisions import runs
from pimentoledge.nodes import messages

_STATUS = 200


@attrs.frozen(kw_only=True)
class Completed:
    """A finished completion as sent to the client.

    Attributes:
        text: the complete text.
        reason: the engine's finish reason.
        prompt_tokens: tokens in the prompt.
        completion_tokens: tokens generated.
    """

    text: str
    reason: str
    prompt_tokens: int
    completion_tokens: int


def answer(
    run: runs.Run, finished: messages.Finished
) -> claim_records.StoredAnswer | None:
    """Returns the answer to keep for a run; None if it is too long."""
    if run.text is None:
        return None
    completed = Completed(
        text=run.text,
        reason=finished.reason,
        prompt_tokens=finished.prompt_tokens,
        completion_tokens=finished.completion_tokens,
    )
    body = msgspec.msgpack.encode(completed)
    return claim_records.StoredAnswer(status=_STATUS, headers=[], body=body)


def replay(
    body: bytes, run: runs.Run, status: messages.ServerStatus
) -> tuple[messages.Frames, messages.Finished]:
    """Returns the messages that stream a kept completion to a new request.

    Raises:
        msgspec.DecodeError: the body was not encoded by `answer`.
    """
    completed = msgspec.msgpack.decode(body, type=Completed)
    request, attempt = run.key()
    frame = messages.Frame(
        request=request,
        attempt=attempt,
        sequence=run.sequence,
        text=completed.text,
        tokens=completed.completion_tokens,
    )
    finished = messages.Finished(
        request=request,
        attempt=attempt,
        sequence=run.sequence + 1,
        reason=completed.reason,
        prompt_tokens=completed.prompt_tokens,
        cached_tokens=0,
        completion_tokens=completed.completion_tokens,
        truth=status,
    )
    return messages.Frames(frames=[frame]), finished
