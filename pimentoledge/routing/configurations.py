"""The configuration in force: routes, organisations, services, limits."""

import enum

import attrs
import msgspec
import xxhash

# For routes without a timeout of their own; clients' deadlines are shorter.
USUAL_TIMEOUT_SECONDS = 60.0


class Repeatability(enum.StrEnum):
    """Whether requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class ServiceShare:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Services, timeouts and retry rules for requests of a host and path.

    Attributes:
        name: name of the route.
        host: host name, in lower case.
        path_prefix: prefix of the paths; ends with a slash.
        kind: whether requests may be retried.
        timeout_seconds: longest time that a client waits for a response.
        objective_seconds: target latency of a response.
        urgency: priority; 0 is the highest.
        shares: services, with the weights of the traffic split.
        most_servers: most servers on which one client request may run.
        open: whether requests need no API key.
        by_prefix: whether requests have shared prompt prefixes.
        resumable: whether a stream may resume on another server.
        gap_seconds: target for the longest gap between events, or None.
    """

    name: str
    host: str
    path_prefix: str
    kind: Repeatability
    timeout_seconds: float
    objective_seconds: float
    urgency: int
    shares: tuple[ServiceShare, ...]
    most_servers: int
    open: bool
    by_prefix: bool
    resumable: bool
    gap_seconds: float | None

    def repeatable(self) -> bool:
        """Returns whether a request may run more than once."""
        return self.kind is Repeatability.SAFE or self.resumable


class Unit(enum.StrEnum):
    """Unit of an organisation's rate limit."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen(kw_only=True)
class Quota:
    """An organisation's rate limit over all routers.

    Attributes:
        unit: unit of the rate and the burst.
        per_second: rate, in units a second.
        burst: most units that may be used at once.
        plain_tokens: cost of a request that states no number of tokens.
    """

    unit: Unit
    per_second: float
    burst: float
    plain_tokens: int = 1

    def cost(self, tokens: int) -> float:
        """Returns a request's cost; tokens is 0 where it states none."""
        match self.unit:
            case Unit.TOKENS:
                return tokens or self.plain_tokens
            case Unit.REQUESTS:
                return 1


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation, its API keys and its contract's terms.

    Attributes:
        name: name of the organisation.
        keys: its API keys.
        urgency: priority that overrides the route's, or None.
        isolated: whether it shares no cached prompt parts with others.
        quota: its rate limit, or None.
    """

    name: str
    keys: tuple[str, ...]
    urgency: int | None
    isolated: bool
    quota: Quota | None = None


@attrs.frozen(kw_only=True)
class Service:
    """A service of backend servers, or a KV cache server.

    Attributes:
        name: name of the service.
        max_connections: most connections to one server, from all clients.
        models: models that it runs, if any.
        slots: requests that an engine runs at once, or None.
        cache_tokens: memory of an engine or a KV cache server, in tokens, or
            None.
        cache_address: address of a KV cache server, or None.
        data_centre: data centre of a KV cache server, or None.
        token_bytes: cache memory used by a token, in bytes, or None.
        link_bytes: bandwidth of an engine's or a KV cache server's link, in
            bytes a second, or None.
    """

    name: str
    max_connections: int
    models: tuple[str, ...]
    slots: int | None
    cache_tokens: int | None
    cache_address: str | None
    data_centre: str | None
    token_bytes: int | None = None
    link_bytes: float | None = None


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Bounds on client requests and connections.

    Attributes:
        header_bytes: largest request head.
        body_bytes: largest request body.
        header_seconds: longest time to send a request head.
        idle_seconds: longest idle time of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.define(kw_only=True)
class Configuration:
    """One version of the configuration that operators declare.

    Attributes:
        version: increases with each change.
        routes: routes by host and path prefix.
        organisations: organisations by name.
        services: services by name.
        limits: bounds on client requests and connections.
        by_key: organisations by API key; None if no keys are declared.
        shared_group: group of the organisations that aren't isolated.
        service_names: the services that it declares or sends requests to.
        has_quotas: whether any organisation has a limit.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    organisations: dict[str, Organisation]
    services: dict[str, Service]
    limits: ClientLimits
    by_key: dict[str, Organisation] | None
    shared_group: str = ""
    service_names: frozenset[str] = frozenset()
    has_quotas: bool = False

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None."""
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def cache_group(self, organisation: Organisation | None) -> str:
        """Returns the group of organisations that share cached prompt parts.

        Parts that an organisation made before it became isolated stay in the
        servers' caches, so the group of all others changes with the set of
        isolated ones.

        Args:
            organisation: the organisation of a request, as it was when the
                request arrived, or None.
        """
        if organisation is None:
            return self.shared_group
        current = self.organisations.get(organisation.name, organisation)
        return current.name if current.isolated else self.shared_group

    def runs_model(self, service: str, model: str) -> bool:
        """Returns whether a service is declared to run a model."""
        declared = self.services.get(service)
        return declared is not None and model in declared.models

    def cache_servers(self) -> list[Service]:
        """Returns the KV cache servers."""
        return [
            each
            for each in self.services.values()
            if each.cache_address is not None
        ]


def build(
    *,
    version: int,
    routes: list[Route],
    organisations: list[Organisation] | None,
    services: list[Service],
    limits: ClientLimits,
) -> Configuration:
    """Returns a configuration with its indexes."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {}).setdefault(route.path_prefix, route)
    by_key = None
    if organisations is not None:
        by_key = {key: each for each in organisations for key in each.keys}
    return Configuration(
        version=version,
        routes=by_host,
        organisations={each.name: each for each in organisations or ()},
        services={each.name: each for each in services},
        limits=limits,
        by_key=by_key,
        shared_group=_shared_group(organisations or []),
        service_names=frozenset(
            [each.name for each in services]
            + [share.service for route in routes for share in route.shares]
        ),
        has_quotas=any(each.quota for each in organisations or ()),
    )


def _shared_group(organisations: list[Organisation]) -> str:
    """Returns a name that differs for each set of isolated organisations."""
    isolated = sorted(each.name for each in organisations if each.isolated)
    if not isolated:
        return ""
    return f"~{xxhash.xxh3_64_hexdigest(msgspec.json.encode(isolated))}"
