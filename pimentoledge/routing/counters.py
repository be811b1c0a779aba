"""Counters of decisions and of times to the first event.

They are plain numbers. prometheus_client is imported only when the metrics are
requested, since it takes 5 MB that serving requests doesn't need.
"""

import bisect

from pimentoledge.routing import clocks
from pimentoledge.routing.fair_shares import refusal_counts

# Upper bounds in seconds, around the usual latency objectives of 0.2 to 0.8 s.
BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0)

# Organisations with a gauge of their refusals.
MAX_SHOWN = 10


class Counters:
    """The counters of one router.

    Attributes:
        decisions: number of decisions by kind and outcome.
        refusals: number of refusals by urgency of the route and standing of the
            organisation; "" where they are unknown.
        refused: recent refusals by organisation.
        first_events: number of streams by bucket of the time to their first
            event; the last bucket holds those beyond all bounds.
        first_seconds: sum of these times in seconds.
    """

    def __init__(self):
        self.decisions: dict[tuple[str, str], int] = {}
        self.refusals: dict[tuple[str, str], int] = {}
        self.refused = refusal_counts.RefusalCounts()
        self.first_events = [0] * (len(BUCKETS) + 1)
        self.first_seconds = 0.0

    def decided(self, kind: str, outcome: str) -> None:
        """Counts a decision."""
        key = (kind, outcome)
        self.decisions[key] = self.decisions.get(key, 0) + 1

    def refusal(
        self, *, urgency: str, standing: str, organisation: str, now: float
    ) -> None:
        """Counts a refused request, also one over its organisation's limit."""
        key = (urgency, standing)
        self.refusals[key] = self.refusals.get(key, 0) + 1
        self.refused.add(organisation, now)

    def first_event(self, seconds: float) -> None:
        """Counts a stream's time to its first event."""
        self.first_events[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.first_seconds += seconds

    def page(self, gauges: dict[str, float]) -> bytes:
        """Returns all metrics in Prometheus's text format.

        Args:
            gauges: values of further metrics, by name.
        """
        import prometheus_client  # noqa: PLC0415
        from prometheus_client import core  # noqa: PLC0415

        registry = prometheus_client.CollectorRegistry()
        registry.register(_Collector(self, gauges, core))
        return prometheus_client.generate_latest(registry)


class _Collector:

    def __init__(self, counters: Counters, gauges: dict[str, float], core):
        self.counters = counters
        self.gauges = gauges
        self.core = core

    def collect(self):
        """Yields all metric families."""
        family = self.core.CounterMetricFamily(
            "pimentoledge_router_decisions",
            "Decisions, by kind and outcome",
            labels=["kind", "outcome"],
        )
        for (kind, outcome), count in self.counters.decisions.items():
            family.add_metric([kind, outcome], count)
        yield family
        family = self.core.CounterMetricFamily(
            "pimentoledge_router_refusals",
            "Refused requests, by urgency and standing of the organisation",
            labels=["urgency", "standing"],
        )
        for (urgency, standing), count in self.counters.refusals.items():
            family.add_metric([urgency, standing], count)
        yield family
        family = self.core.GaugeMetricFamily(
            "pimentoledge_router_organisation_refusals",
            "Recent refusals, halved each minute, of the largest organisations",
            labels=["organisation"],
        )
        largest = self.counters.refused.largest(MAX_SHOWN, clocks.now())
        for organisation, count in largest.items():
            family.add_metric([organisation], count)
        yield family
        buckets = []
        total = 0
        for bound, count in zip(
            (*BUCKETS, "+Inf"), self.counters.first_events, strict=True
        ):
            total += count
            buckets.append((str(bound), total))
        yield self.core.HistogramMetricFamily(
            "pimentoledge_router_first_event_seconds",
            "Time from a request's arrival to its first event",
            buckets=buckets,
            sum_value=self.counters.first_seconds,
        )
        for name, value in self.gauges.items():
            yield self.core.GaugeMetricFamily(
                f"pimentoledge_router_{name}", name, value=value
            )
