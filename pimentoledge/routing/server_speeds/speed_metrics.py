"""Metrics of the servers' estimated speeds and limits."""

import re

from pimentoledge.routing import cluster_views


def gauges(view: cluster_views.ClusterView, now: float) -> dict[str, float]:
    """Returns smallest, median and largest estimates by service.

    Their number doesn't grow with that of the servers.
    """
    found = {}
    for service, servers in view.servers.by_service.items():
        if not servers or not view.load_control.applies(service):
            continue
        name = re.sub(r"\W", "_", service)
        for kind, values in (
            ("speed_factor", [each.speed.step_factor(now) for each in servers]),
            (
                "concurrency_limit",
                [
                    each.speed.limit(each.registration.slots, now)
                    for each in servers
                ],
            ),
        ):
            values.sort()
            found |= {
                f"{kind}_smallest_{name}": values[0],
                f"{kind}_median_{name}": values[len(values) // 2],
                f"{kind}_largest_{name}": values[-1],
            }
    return found
