"""Whether a router may act by its configuration if a newer one is known."""

from pimentoledge import results

# Refusals that a newer configuration may take back.
DOUBTFUL_CODES = frozenset((results.Code.NOT_FOUND, results.Code.BAD_KEY))
# Part of the time in which a new configuration is to be in force after which
# nothing is served by an older one. The rest is for requests on their way, and
# for the time until this router got to know of the newer one.
OVERDUE_SHARE = 0.5
# Longest time that a request waits for the newer configuration.
HOLD_SECONDS = 0.5
# The same, as a part of the time that the client waits.
HOLD_SHARE = 0.3


def may_act(
    code: results.Code | None,
    *,
    behind_since: float | None,
    bound_seconds: float,
    now: float,
) -> bool:
    """Returns whether a request is handled by the configuration in force.

    Args:
        code: the code of its refusal, or None if it is accepted.
        behind_since: since when a newer configuration is known, or None.
        bound_seconds: time within which a configuration is to be in force.
        now: the time.
    """
    if behind_since is None:
        return True
    if code is not None:
        return code not in DOUBTFUL_CODES
    return now - behind_since < OVERDUE_SHARE * bound_seconds


def hold_seconds(wait_seconds: float) -> float:
    """Returns how long a request waits for the newer configuration.

    Args:
        wait_seconds: how long its client waits.
    """
    return min(HOLD_SECONDS, HOLD_SHARE * wait_seconds)
