"""Counters and gauges of one daemon, for /metrics."""

import time

import prometheus_client

from pimentoledge import results
from pimentoledge.decisions import actions

FIRST_TOKEN_BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.4, 0.83, 1.5, 3, 6, 15, 60)


class Metrics:
    """Metrics of every daemon; each daemon has its own registry.

    Attributes:
        registry: registry of all metrics of the daemon.
        decisions: decisions by kind and outcome.
        configuration_version: newest configuration version in force here.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.decisions = prometheus_client.Counter(
            "pimentoledge_decisions",
            "Decisions, by kind and outcome",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.configuration_version = prometheus_client.Gauge(
            "pimentoledge_configuration_version",
            "Newest configuration version in force here",
            registry=self.registry,
        )

    def count_decision(self, decision: actions.LogDecision) -> None:
        """Counts a decision by the field that names its outcome."""
        fields = decision.fields
        for name in ("verdict", "step", "reason"):
            if name in fields:
                outcome = str(fields[name])
                self.decisions.labels(decision.kind, outcome).inc()
                return
        self.decisions.labels(decision.kind, "").inc()

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


class EntryMetrics(Metrics):
    """Metrics of an entry.

    Attributes:
        requests: requests ended, by result code.
        open_requests: requests that have not ended.
        first_token: time from arrival to the first text.
        prompt_tokens: prompt tokens, by whether the engine had them cached.
        arrivals: arrival times of requests that have no text yet, by id.
    """

    def __init__(self):
        super().__init__()
        self.requests = prometheus_client.Counter(
            "pimentoledge_requests",
            "Requests ended, by result code",
            ["code"],
            registry=self.registry,
        )
        self.open_requests = prometheus_client.Gauge(
            "pimentoledge_open_requests",
            "Requests that have not ended",
            registry=self.registry,
        )
        self.first_token = prometheus_client.Histogram(
            "pimentoledge_first_token_seconds",
            "Time from a request's arrival to its first text",
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.prompt_tokens = prometheus_client.Counter(
            "pimentoledge_prompt_tokens",
            "Prompt tokens of complete answers, by whether they were cached",
            ["cached"],
            registry=self.registry,
        )
        self.arrivals: dict[str, float] = {}

    def note_arrival(self, request: str) -> None:
        """Records a request's arrival; any thread may call it."""
        self.arrivals[request] = time.monotonic()

    def note_text(self, request: str) -> None:
        """Records the time to a stream's first text; ignores later text."""
        arrived = self.arrivals.pop(request, None)
        if arrived is not None:
            self.first_token.observe(time.monotonic() - arrived)

    def note_caller_left(self, request: str) -> None:
        """Counts a request whose caller left; any thread may call it."""
        self.arrivals.pop(request, None)
        self.requests.labels(results.Code.CALLER_GONE.name).inc()

    def note_end(self, action: actions.Action) -> None:
        """Counts an ended request by its result code."""
        self.arrivals.pop(action.request, None)
        match action:
            case actions.ReplyError():
                self.requests.labels(action.error.code.name).inc()
                return
            case actions.ReplyEnd():
                computed = action.prompt_tokens - action.cached_tokens
                self.prompt_tokens.labels("yes").inc(action.cached_tokens)
                self.prompt_tokens.labels("no").inc(max(0, computed))
        self.requests.labels("OK").inc()


class AgentMetrics(Metrics):
    """Metrics of an agent.

    Attributes:
        running: attempts that run at the engine or service.
        queued: attempts that are queued at this agent.
        claims: claims that are not settled in the store.
        claim_bytes: size of the largest shard of claims held here.
    """

    def __init__(self):
        super().__init__()
        self.running = self._gauge("running", "Attempts that run")
        self.queued = self._gauge("queued", "Attempts that wait here")
        self.claims = self._gauge("claims", "Claims not settled in the store")
        self.claim_bytes = self._gauge(
            "claim_shard_bytes", "Size of the largest shard of claims held here"
        )

    def _gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"pimentoledge_{name}", text, registry=self.registry
        )
