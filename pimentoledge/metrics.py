"""Counters and gauges of a process, for /metrics."""

import prometheus_client

REGISTRY = prometheus_client.CollectorRegistry()

REQUESTS = prometheus_client.Counter(
    "pimentoledge_requests",
    "Requests ended, by result code",
    ["code"],
    registry=REGISTRY,
)
RETRIES = prometheus_client.Counter(
    "pimentoledge_retries",
    "Attempts after the first, by the code that caused them",
    ["code"],
    registry=REGISTRY,
)
OPEN = prometheus_client.Gauge(
    "pimentoledge_open_requests",
    "Requests that have not ended",
    registry=REGISTRY,
)
FIRST_TOKEN = prometheus_client.Histogram(
    "pimentoledge_first_token_seconds",
    "Time from a request's arrival to its first token",
    buckets=(0.01, 0.03, 0.1, 0.2, 0.4, 0.83, 1.5, 3, 6, 15, 60),
    registry=REGISTRY,
)
PROMPT_TOKENS = prometheus_client.Counter(
    "pimentoledge_prompt_tokens",
    "Prompt tokens of complete answers, by whether the engine had them cached",
    ["cached"],
    registry=REGISTRY,
)
CONFIGURATION = prometheus_client.Gauge(
    "pimentoledge_configuration_version",
    "Newest configuration version in force here",
    registry=REGISTRY,
)


def page() -> bytes:
    """Returns all metrics in Prometheus's text form."""
    return prometheus_client.generate_latest(REGISTRY)
