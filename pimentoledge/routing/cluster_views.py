"""A router process's view of the cluster, with the age of its parts."""

import math

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources
from pimentoledge.routing import claimed_requests
from pimentoledge.routing import configurations
from pimentoledge.routing import first_events as first_events_module
from pimentoledge.routing import load_controls
from pimentoledge.routing import memory_estimates
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import retry_budgets
from pimentoledge.routing import saved_parts
from pimentoledge.routing import server_limits as server_limits_module
from pimentoledge.routing import suspects as suspects_module
from pimentoledge.routing import wait_estimates
from pimentoledge.routing import wanted_weights
from pimentoledge.routing.fair_shares import organisation_shares
from pimentoledge.routing.quotas import ledgers

# Requests are sent to a server with superseded weights only until this long
# before those weights expire, because a request may queue there before it
# begins.
WEIGHTS_MARGIN_SECONDS = 1.5
# A request that has not started on superseded weights is withdrawn this long
# before the time limit for those weights, since the connection's end takes
# time to reach the server.
WITHDRAW_SECONDS = 0.3


@attrs.frozen(kw_only=True)
class RouterBounds:
    """Bounds set by the deployment.

    Attributes:
        budget_ratio: retries allowed for each request of a service.
        budget_slack: further retries allowed in a window, over all routers.
        budget_seconds: length of the window of the retry budget.
        weights_seconds: how long after weights are superseded requests may
            still begin on them.
        lease_seconds: least time between the orders of two lease holders.
        grace_seconds: time from SIGTERM to SIGKILL.
        drain_seconds: how long a server that is leaving may get requests.
        configuration_seconds: time within which a new configuration must be
            in force.
        limits: by how much organisations' limits may be exceeded.
    """

    budget_ratio: float = 0.2
    budget_slack: float = 20.0
    budget_seconds: float = 10.0
    weights_seconds: float = 8.0
    lease_seconds: float = 3.0
    grace_seconds: float = 8.0
    drain_seconds: float = 2.0
    configuration_seconds: float = 2.0
    limits: ledgers.QuotaBounds = ledgers.QuotaBounds()


@attrs.define(kw_only=True)
class ClusterView:
    """One process's view of the cluster; only its event loop accesses it.

    Attributes:
        name: name of this process.
        data_centre: data centre in which it runs.
        started_at: when it started, in seconds of clocks.now.
        bounds: bounds set by the deployment.
        configuration: newest configuration, or None before the first.
        configured: when that came into force here, in seconds of clocks.now.
        unreadable_version: version of the newest configuration that this build
            can't decode, or 0.
        behind_since: since when a router in reach is known to have a newer
            configuration, in seconds of clocks.now, or None.
        caches_by_kind: copies of the store's objects from which this view is
            built, by kind.
        servers: the backend servers.
        server_limits: rate limits that servers announced in their responses.
        wanted: wanted weights by model.
        caches_down: addresses of KV cache servers that don't respond.
        members: routers that share the retry budget, this one included.
        leaving: whether this process is shutting down.
        refusing: whether it has stopped starting requests.
        repeats: retry budgets by service.
        first_events: estimates of the time to the first event, from the tokens
            to be read, by model.
        unshared: mean tokens of a request outside of shared prompt parts, by
            model.
        claimed: ids of requests that may run only once.
        saved: shared prompt parts held by the KV cache servers.
        links: load of the links of the KV cache servers.
        prompts_sent: prompt reports not yet sent to the other routers.
        reaches_all: whether all routers send this one their load reports; if
            not, only those of its data centre do.
        remote_means: mean load of runners in other data centres.
        suspects: request content that was on servers when they crashed.
        load_control: at which services load control is in effect.
        fair_shares: what organisations receive of each service.
    """

    name: str
    data_centre: str
    started_at: float
    bounds: RouterBounds = attrs.field(factory=RouterBounds)
    configuration: configurations.Configuration | None = None
    configured: float = 0.0
    unreadable_version: int = 0
    behind_since: float | None = None
    caches_by_kind: dict[str, object_caches.ObjectCache] = attrs.field(
        factory=dict
    )
    servers: backends.Backends = attrs.field(factory=backends.Backends)
    server_limits: server_limits_module.ServerLimits = attrs.field(
        factory=server_limits_module.ServerLimits
    )
    wanted: dict[str, wanted_weights.WantedWeights] = attrs.field(factory=dict)
    caches_down: set[str] = attrs.field(factory=set)
    members: int = 1
    leaving: bool = False
    refusing: bool = False
    repeats: dict[str, retry_budgets.Budget] = attrs.field(factory=dict)
    suspects: suspects_module.Suspects = attrs.field(
        factory=suspects_module.Suspects
    )
    first_events: dict[str, first_events_module.FirstEventFit] = attrs.field(
        factory=dict
    )
    unshared: dict[str, memory_estimates.MeanTokens] = attrs.field(factory=dict)
    prompts_sent: list[peer_messages.PromptReport] = attrs.field(factory=list)
    reaches_all: bool = True
    remote_means: dict[str, wait_estimates.MeanLoad] = attrs.field(factory=dict)
    claimed: claimed_requests.ClaimedRequests = attrs.field(
        factory=claimed_requests.ClaimedRequests
    )
    saved: saved_parts.SavedParts = attrs.field(factory=saved_parts.SavedParts)
    links: cache_sources.Links = attrs.field(factory=cache_sources.Links)
    load_control: load_controls.LoadControl = attrs.field(
        factory=load_controls.LoadControl
    )
    fair_shares: organisation_shares.FairShares = attrs.field(
        factory=organisation_shares.FairShares
    )

    def known_at(self, name: str) -> float:
        """Returns up to when changes of a kind of objects are known, or 0."""
        cache = self.caches_by_kind.get(name)
        return cache.known_at if cache is not None else 0.0

    def budget(self, service: str) -> retry_budgets.Budget:
        """Returns the retry budget of a service; creates it if needed."""
        found = self.repeats.get(service)
        if found is None:
            found = retry_budgets.Budget(
                ratio=self.bounds.budget_ratio,
                slack=self.bounds.budget_slack,
                window_seconds=self.bounds.budget_seconds,
                started_at=self.started_at,
            )
            self.repeats[service] = found
        return found

    def first_event(self, model: str) -> first_events_module.FirstEventFit:
        """Returns the estimate of a model's time to the first event."""
        return self.first_events.setdefault(
            model, first_events_module.FirstEventFit()
        )

    def mean_unshared(self, model: str) -> memory_estimates.MeanTokens:
        """Returns the mean of the unshared tokens of a model's requests."""
        return self.unshared.setdefault(model, memory_estimates.MeanTokens())

    def update_budgets(self) -> None:
        """Applies changed bounds to the retry budgets; keeps their spending."""
        for budget in self.repeats.values():
            budget.ratio = self.bounds.budget_ratio
            budget.slack = self.bounds.budget_slack
            budget.window_seconds = self.bounds.budget_seconds

    def set_wanted_version(
        self,
        model: str,
        version: int,
        since: float,
        *,
        source: wanted_weights.Source = wanted_weights.Source.HEARD,
        known_at: float = math.inf,
    ) -> bool:
        """Records the wanted version of a model; returns whether that is new.

        Args:
            model: the model.
            version: the wanted version of its weights.
            since: when it was named, in seconds of clocks.now, as far as
                known.
            source: where that time comes from.
            known_at: when some router had the version, in seconds of
                clocks.now; infinite if unknown.
        """
        named = wanted_weights.NamedVersion(
            version=version, since=since, source=source, known_at=known_at
        )
        known = self.wanted.get(model)
        if known is not None:
            return known.add(named)
        self.wanted[model] = wanted_weights.WantedWeights(named)
        return True

    def begins_until(self, model: str, version: int | None) -> float | None:
        """Returns until when requests may begin on a version of the weights.

        The time is in seconds of clocks.now; None means without limit. The
        limit counts from the first version that was named after this one,
        since a runner may have missed several versions.
        """
        wanted = self.wanted.get(model)
        if wanted is None or version is None:
            return None
        superseded = wanted.superseded(version)
        if superseded is None:
            return None
        return superseded + self.bounds.weights_seconds

    def may_begin(self, model: str, version: int | None, now: float) -> bool:
        """Returns whether requests may be sent to servers with a version."""
        until = self.begins_until(model, version)
        return until is None or now < until - WEIGHTS_MARGIN_SECONDS

    def withdrawn_at(self, model: str, version: int | None) -> float | None:
        """Returns when requests not begun on a version are withdrawn."""
        until = self.begins_until(model, version)
        return None if until is None else until - WITHDRAW_SECONDS

    def has_quotas(self) -> bool:
        """Returns whether any organisation has a limit."""
        return self.configuration is not None and self.configuration.has_quotas

    def clock(self, now: float) -> tuple[int, int]:
        """Returns the start time of this process and the time, in ms."""
        return int(self.started_at * 1000), int(now * 1000)

    def shares_limits(self) -> bool:
        """Returns whether any limit is shared by all routers."""
        return self.has_quotas() or self.server_limits.has_any()

    def ready(self) -> bool:
        """Returns whether this router is ready to serve clients."""
        return self.configuration is not None and not self.leaving
