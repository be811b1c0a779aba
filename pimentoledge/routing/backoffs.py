"""When servers that asked for no request take some again."""

from pimentoledge.routing import backends
from pimentoledge.routing import beliefs
from pimentoledge.routing import configurations


def back_at(
    believed: beliefs.Beliefs,
    route: configurations.Route,
    now: float,
    without: frozenset[str] | set[str] = frozenset(),
) -> float | None:
    """Returns when the first server of a route may be tried again.

    None where some server might take a request before, or where none of them
    has asked for no request: what they lack is not told beforehand.

    Args:
        believed: what the process believes.
        route: whose servers are meant.
        now: the time.
        without: servers, by incarnation, that can take the request no more.
    """
    servers = [
        each
        for share in route.shares
        for each in believed.servers.of_service(share.service)
        if not each.is_leaving()
        and (
            each.backs_off(now) or each.registration.incarnation not in without
        )
    ]
    away = [each.backs_off(now) or each.unreached(now) for each in servers]
    if not all(away) or not any(each.backs_off(now) for each in servers):
        return None
    return min(map(_next_try, servers))


def _next_try(backend: backends.Backend) -> float:
    return max(backend.avoid_until, backend.notice.retry_at)
