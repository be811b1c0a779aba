"""All that one router process believes, and how old it is."""

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources
from pimentoledge.routing import configurations
from pimentoledge.routing import first_events as first_events_module
from pimentoledge.routing import memory_estimates
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import retry_budgets
from pimentoledge.routing import saved_parts
from pimentoledge.routing import server_limits as server_limits_module
from pimentoledge.routing import suspects as suspects_module
from pimentoledge.routing import wait_estimates
from pimentoledge.routing import wanted_weights
from pimentoledge.routing.quotas import ledgers

# A request must begin well before its server's weights count as too old: it
# may wait there for its turn.
WEIGHTS_MARGIN_SECONDS = 1.5


@attrs.frozen(kw_only=True)
class RouterBounds:
    """Figures that the deployment sets.

    Attributes:
        budget_ratio: repeats for each request of a service.
        budget_slack: repeats besides, in a window, over all entries.
        budget_seconds: the window.
        weights_seconds: until when a request may begin on older weights.
        lease_seconds: no two holders' orders may be closer than this.
        grace_seconds: from SIGTERM to SIGKILL.
        drain_seconds: for how long a server that leaves may get requests.
        configuration_seconds: in which a new configuration is to be in force.
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
    """What one process believes; only its loop touches it.

    Attributes:
        name: this process.
        data_centre: where it runs.
        born: when it started.
        bounds: figures that the deployment sets.
        configuration: newest configuration, or None before the first.
        configured: when that came into force here.
        caches_by_kind: the copies of the store's objects that all this comes
            from, by name.
        servers: the backend servers.
        server_limits: the limits that servers have named in their answers.
        wanted: wanted weights by model.
        caches_down: addresses of KV cache servers that don't answer.
        members: how many entries there are, this one included.
        leaving: whether it was told to end.
        refusing: whether it begins no request any more.
        repeats: budget of repeats by service.
        first_events: how long what is to be read keeps them, by model.
        unshared: tokens that a request doesn't share, by model.
        saved: which shared parts the KV cache servers keep.
        links: how busy those servers' links are.
        prompts_sent: what the other routers are yet to be told of prompts.
        reaches_all: whether every router tells this one what it has at servers;
            else those of its data centre do.
        elsewhere: what runners of other data centres have, in the mean.
        suspects: content that was in servers that crashed.
    """

    name: str
    data_centre: str
    born: float
    bounds: RouterBounds = attrs.field(factory=RouterBounds)
    configuration: configurations.Configuration | None = None
    configured: float = 0.0
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
    elsewhere: dict[str, wait_estimates.MeanLoad] = attrs.field(factory=dict)
    saved: saved_parts.SavedParts = attrs.field(factory=saved_parts.SavedParts)
    links: cache_sources.Links = attrs.field(factory=cache_sources.Links)

    def known_at(self, name: str) -> float:
        """Returns as of when a kind of the store's objects is known, or 0."""
        found = self.caches_by_kind.get(name)
        return found.known_at if found is not None else 0.0

    def budget(self, service: str) -> retry_budgets.Budget:
        """Returns the budget of a service."""
        found = self.repeats.get(service)
        if found is None:
            found = retry_budgets.Budget(
                ratio=self.bounds.budget_ratio,
                slack=self.bounds.budget_slack,
                window_seconds=self.bounds.budget_seconds,
                born=self.born,
            )
            self.repeats[service] = found
        return found

    def first_event(self, model: str) -> first_events_module.FirstEventFit:
        """Returns what is known of a model's first events."""
        return self.first_events.setdefault(
            model, first_events_module.FirstEventFit()
        )

    def mean_unshared(self, model: str) -> memory_estimates.MeanTokens:
        """Returns what a model's requests don't share, in the mean."""
        return self.unshared.setdefault(model, memory_estimates.MeanTokens())

    def update_budgets(self) -> None:
        """Brings the budgets to changed bounds; what was spent stays."""
        for budget in self.repeats.values():
            budget.ratio = self.bounds.budget_ratio
            budget.slack = self.bounds.budget_slack
            budget.window_seconds = self.bounds.budget_seconds

    def want(
        self,
        model: str,
        version: int,
        since: float,
        *,
        source: wanted_weights.Source = wanted_weights.Source.HEARD,
    ) -> bool:
        """Takes a named version; returns whether it is news.

        Args:
            model: which model.
            version: the version that it is to have.
            since: when it was named, as far as known.
            source: where that time comes from.
        """
        named = wanted_weights.Named(
            version=version, since=since, source=source
        )
        known = self.wanted.get(model)
        if known is not None:
            return known.take(named)
        self.wanted[model] = wanted_weights.WantedWeights(named)
        return True

    def begins_until(self, model: str, version: int | None) -> float | None:
        """Returns until when requests may begin on a version of the weights.

        None is for any time; the time is in seconds of clocks.now. Each
        version is bound by the first that was named after it: a runner may
        have missed several.
        """
        wanted = self.wanted.get(model)
        if wanted is None or version is None:
            return None
        superseded = wanted.superseded(version)
        if superseded is None:
            return None
        return superseded + self.bounds.weights_seconds

    def may_begin(self, model: str, version: int | None, now: float) -> bool:
        """Returns whether requests may be sent to begin on a version."""
        until = self.begins_until(model, version)
        return until is None or now < until - WEIGHTS_MARGIN_SECONDS

    def has_quotas(self) -> bool:
        """Returns whether some organisation has a limit."""
        return self.configuration is not None and self.configuration.has_quotas

    def clock(self, now: float) -> tuple[int, int]:
        """Returns when this process started and the time, in ms."""
        return int(self.born * 1000), int(now * 1000)

    def shares_limits(self) -> bool:
        """Returns whether some limit is held over all routers together."""
        return self.has_quotas() or self.server_limits.has_any()

    def ready(self) -> bool:
        """Returns whether clients should be sent here."""
        return self.configuration is not None and not self.leaving
