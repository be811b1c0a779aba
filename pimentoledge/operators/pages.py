"""Pages that every daemon serves to operators: metrics and health."""

from collections import abc

import prometheus_client

from pimentoledge import metrics
from pimentoledge.operators import servers

METRICS = "/metrics"
HEALTH = "/healthz"
READY = "/readyz"
TEXT = "text/plain; charset=utf-8"


def daemon_pages(
    *,
    counted: metrics.Metrics,
    alive: abc.Callable[[], bool],
    ready: abc.Callable[[], bool],
    refresh: abc.Callable[[], None],
) -> dict[str, servers.Page]:
    """Returns the pages by path.

    Args:
        counted: the daemon's metrics.
        alive: whether the state machine's thread answers.
        ready: whether new work should come here.
        refresh: brings the gauges up to date.
    """

    def metrics_page(_: servers.PageRequest) -> servers.PageResponse:
        refresh()
        return servers.PageResponse(
            body=counted.render(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    return {
        METRICS: metrics_page,
        HEALTH: lambda _: _health(alive()),
        READY: lambda _: _health(ready()),
    }


def _health(good: bool) -> servers.PageResponse:
    if good:
        return servers.PageResponse(body=b"ok\n", content_type=TEXT)
    return servers.PageResponse(status=503, body=b"no\n", content_type=TEXT)
