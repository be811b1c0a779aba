"""Answers that are the system's own, with a numbered code."""

import msgspec

from pimentoledge import results
from pimentoledge.platform import requests

# Statuses by which a client is promised that its request did not run and
# never will.
PROMISES = frozenset((408, 421, 429, 503))
# After so long a client may come back; servers that were full or loading are
# free again within half a second or so.
RETRY_SECONDS = 0.3


def encode(
    *,
    code: results.Code,
    request: str,
    status: int | None = None,
    text: str = "",
    retry_seconds: float | None = None,
    closes: bool = False,
) -> bytes:
    """Returns an answer of the system's own.

    Args:
        code: what happened.
        request: the client's id of its attempt, or "".
        status: HTTP status, if not that of the code.
        text: more than the code's own words.
        retry_seconds: when to come back, or None.
        closes: whether the connection ends after it.
    """
    meaning = results.MEANINGS[code]
    body = msgspec.json.encode(
        {
            "error": {
                "code": int(code),
                "outcome": meaning.ran.value,
                "message": text or meaning.text,
            }
        }
    )
    return requests.encode_own_answer(
        status=status or meaning.status,
        request=request,
        body=body,
        retry_seconds=retry_seconds,
        closes=closes,
    )
