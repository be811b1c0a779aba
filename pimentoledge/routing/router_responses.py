"""Answers that are the system's own, with a numbered code."""

import random

import msgspec

from pimentoledge import results
from pimentoledge.platform import requests
from pimentoledge.routing.quotas import ledgers

# Statuses by which a client is promised that its request did not run and
# never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# After so long a client may come back; servers that were full or loading are
# free again within half a second or so.
RETRY_SECONDS = 0.3
# After which there may be room where servers were full. A guess: neither it
# nor its spread was varied in a measurement, nor taken from how long streams
# last.
FULL_RETRY_SECONDS = 0.7
FULL_RETRY_SPREAD = 0.4
# After which a client may come back to a router that has no configuration: it
# has just started, and knows nothing before the store has answered it, which
# is asked every half second. Clients have one try more, so one that comes
# back before that gets nothing: where all routers started within an outage,
# 148, 47, 107 clients were refused for good with 0.3 s, 108, 30, 65 with 1 s.
DARK_RETRY_SECONDS = 1.0
# After which a router that has just started, or was cut off, has found out who
# keeps an organisation's limit.
UNKNOWN_RETRY_SECONDS = 0.4
# Clients that were refused together must not come back together.
DARK_RETRY_SPREAD = 0.25
# Added to the time until the first of the servers that asked for no request is
# back, as a part of it: clients must not come back before it, nor together.
BACKOFF_RETRY_SPREAD = 0.25
# Of clients that are told the longest wait.
LIMIT_RETRY_SPREAD = 0.2


def retry_seconds(code: results.Code) -> float | None:
    """Returns after how long a refused client may come back, or None.

    Only a refusal that promises that the request was not run says so.
    """
    if results.MEANINGS[code].status not in NOT_RUN_STATUSES:
        return None
    match code:
        case results.Code.CONFIGURATION_INCOMPLETE:
            return _spread(DARK_RETRY_SECONDS, DARK_RETRY_SPREAD)
        case results.Code.LIMIT_UNKNOWN:
            return _spread(UNKNOWN_RETRY_SECONDS, DARK_RETRY_SPREAD)
        case results.Code.OVERLOADED:
            return _spread(FULL_RETRY_SECONDS, FULL_RETRY_SPREAD)
    return RETRY_SECONDS


def backoff_retry_seconds(wait_seconds: float) -> float:
    """Returns after how long a client refused by all servers may come back.

    Args:
        wait_seconds: when the first server takes requests again.
    """
    spread = max(BACKOFF_RETRY_SPREAD * wait_seconds, RETRY_SECONDS)
    return wait_seconds + random.uniform(0.0, spread)


def limit_retry_seconds(wait_seconds: float | None) -> float | None:
    """Returns after how long a client beyond its limit may come back, or None.

    Args:
        wait_seconds: when there will be room for it, or None if never.
    """
    if wait_seconds is None:
        return None
    if wait_seconds < ledgers.LONGEST_WAIT_SECONDS:
        return wait_seconds
    return _spread(wait_seconds, LIMIT_RETRY_SPREAD)


def _spread(seconds: float, share: float) -> float:
    return seconds * random.uniform(1 - share, 1 + share)


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
