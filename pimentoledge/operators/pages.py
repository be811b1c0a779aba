"""Metrics and health pages, which every daemon serves to operators."""

from collections import abc

import prometheus_client

from pimentoledge import metrics
from pimentoledge.operators import servers

METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
TEXT_TYPE = "text/plain; charset=utf-8"


def daemon_pages(
    *,
    daemon_metrics: metrics.Metrics,
    is_alive: abc.Callable[[], bool],
    is_ready: abc.Callable[[], bool],
    refresh_gauges: abc.Callable[[], None],
) -> dict[str, servers.Page]:
    """Returns the metrics and health pages by path.

    Args:
        daemon_metrics: the daemon's metrics.
        is_alive: whether the state machine's thread responds.
        is_ready: whether the daemon accepts new work.
        refresh_gauges: sets the gauges to their current values.
    """

    def metrics_page(_: servers.PageRequest) -> servers.PageResponse:
        refresh_gauges()
        return servers.PageResponse(
            body=daemon_metrics.render(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    return {
        METRICS_PATH: metrics_page,
        HEALTH_PATH: lambda _: _health_response(is_alive()),
        READY_PATH: lambda _: _health_response(is_ready()),
    }


def _health_response(healthy: bool) -> servers.PageResponse:
    if healthy:
        return servers.PageResponse(body=b"ok\n", content_type=TEXT_TYPE)
    return servers.PageResponse(
        status=503, body=b"no\n", content_type=TEXT_TYPE
    )
