"""The end of the backoff of a route's servers."""

from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations


def back_at(
    view: cluster_views.ClusterView,
    route: configurations.Route,
    now: float,
    without: frozenset[str] | set[str] = frozenset(),
) -> float | None:
    """Returns when the first server of a route may be tried again.

    Returns None if some server might accept a request earlier, or if none of
    them has requested a backoff or has a used-up limit: the time at which a
    server becomes free for other reasons isn't known in advance.

    Args:
        view: cached state of the cluster.
        route: the route whose servers are considered.
        now: the time, in seconds of clocks.now.
        without: incarnations of servers that this request is not sent to.
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
    blocked = [
        each.is_unavailable(now) or each.is_unreachable(now) for each in servers
    ]
    if not all(blocked) or not any(
        each.is_unavailable(now) for each in servers
    ):
        return None
    return min(each.available_at() for each in servers)
