"""The configuration in force: routes, organisations, services, limits."""

import enum

import attrs

# For a route that states none; the clients' own deadlines are shorter.
USUAL_TIMEOUT_SECONDS = 60.0


class Repeatability(enum.StrEnum):
    """What may be repeated."""

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
    """Where requests of a host and path go, and under which terms.

    Attributes:
        name: its name.
        host: the host, in lower case.
        path_prefix: begins the paths; ends with a slash.
        kind: what may be repeated.
        timeout_seconds: longest time a client is kept waiting.
        objective_seconds: time within which an answer has its full worth.
        urgency: 0 is first.
        shares: services, with weights.
        most_servers: on how many servers one attempt of a client may run.
        open: whether no key is needed.
        by_prefix: whether requests share prompts.
        resumable: whether a stream may go on at another server.
        gap_seconds: longest pause between events in time, or None.
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
    """What an organisation's limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen(kw_only=True)
class Quota:
    """An organisation's limit over all routers.

    Attributes:
        unit: what it counts.
        per_second: its rate.
        burst: what may come at once.
        plain_tokens: what a request counts that tells no tokens.
    """

    unit: Unit
    per_second: float
    burst: float
    plain_tokens: int = 1

    def cost(self, tokens: int) -> float:
        """Returns what a request counts, by the tokens that it tells, or 0."""
        match self.unit:
            case Unit.TOKENS:
                return tokens or self.plain_tokens
            case Unit.REQUESTS:
                return 1


@attrs.frozen(kw_only=True)
class Organisation:
    """Whose keys they are, and its contract's terms.

    Attributes:
        name: its name.
        keys: its API keys.
        urgency: goes before the route's, or None.
        isolated: whether it shares no cached part with others.
        quota: its limit, or None.
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
        name: its name.
        max_connections: a server's connections from all callers.
        models: its models, where it runs any.
        slots: requests that an engine runs at once, or None.
        cache_tokens: an engine's or KV cache server's memory, or None.
        cache_address: address of a KV cache server, or None.
        data_centre: where a KV cache server stands, or None.
        token_bytes: cached memory of a token, or None.
        link_bytes: bytes in a second that an engine's or KV cache server's
            link carries, or None.
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
    """Bounds on what clients send.

    Attributes:
        header_bytes: largest head.
        body_bytes: largest body.
        header_seconds: longest time to send a head.
        idle_seconds: longest idle time of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.define(kw_only=True)
class Configuration:
    """One version of everything that the operator declares.

    Attributes:
        version: grows with each change.
        routes: the routes of a host, longest prefix first.
        organisations: by name.
        services: by name.
        limits: bounds on what clients send.
        by_key: the organisation of each key; None where there are no keys.
        has_quotas: whether some organisation has a limit.
    """

    version: int
    routes: dict[str, list[Route]]
    organisations: dict[str, Organisation]
    services: dict[str, Service]
    limits: ClientLimits
    by_key: dict[str, Organisation] | None
    has_quotas: bool = False

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

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
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for found in by_host.values():
        found.sort(key=lambda route: -len(route.path_prefix))
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
        has_quotas=any(each.quota for each in organisations or ()),
    )
