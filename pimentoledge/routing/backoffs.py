"""When servers that take no request now take some again."""

from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations


def back_at(
    view: cluster_views.ClusterView,
    route: configurations.Route,
    now: float,
    without: frozenset[str] | set[str] = frozenset(),
) -> float | None:
    """Returns when the first server of a route may be tried again.

    None where some server might take a request before, or where none of them
    has asked for no request or has a limit that is used up: what they lack is
    not told beforehand.

    Args:
        view: what the process believes.
        route: whose servers are meant.
        now: the time.
        without: servers, by incarnation, that can take the request no more.
    """
    servers = [
        each
        for share in route.shares
        for each in view.servers.of_service(share.service)
        if not each.is_leaving()
        and (
            each.is_unavailable(now)
            or each.registration.incarnation not in without
        )
    ]
    away = [
        each.is_unavailable(now) or each.is_unreachable(now) for each in servers
    ]
    if not all(away) or not any(each.is_unavailable(now) for each in servers):
        return None
    return min(each.available_at() for each in servers)
