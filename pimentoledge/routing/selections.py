"""From a request and what is believed to a server and a dispatch."""

import xxhash

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources
from pimentoledge.routing import capacity_checks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import peer_messages
from pimentoledge.routing import placements
from pimentoledge.routing import request_types
from pimentoledge.routing import wait_estimates

MAX_URGENCY = 9
# Urgencies of routes that are told apart within an organisation's.
URGENCIES_PER_ORGANISATION = 3
# Part of a server's connections that all routers together may leave idle.
IDLE_CONNECTION_SHARE = 0.5
# Fewer tokens are read sooner than fetched from another runner.
MIN_FETCH_TOKENS = 256
# From so busy a link of a KV cache server on, a prompt is saved only if the
# server lacks so many tokens of its shared parts for each token of its own,
# which are carried and kept for nobody. Otherwise a link of 340 Gbit/s is given
# more than it carries, what is saved comes two seconds late, and three in four
# parts asked for meanwhile are read again.
BUSY_LINK_SHARE = 1.0
MIN_UNSAVED_RATIO = 2.0
# No runner has loaded weights so soon after they were named: a load takes
# 0.55 s and more. Until then any part of older weights may be fetched, which
# saves a quarter of what is read again: 139,742 to 104,606 tokens over five
# changes of weights in 50 s, played once each.
SAFE_FETCH_SECONDS = 0.45
# Parts saved in the last second before this router heard of newer weights may
# have been saved after they were named. Parts saved before are fetched all
# through a change: 250,606 to 197,000 tokens read again over four changes,
# 386,527 to 360,000 over three, two plays each.
NOTICE_DELAY_SECONDS = 1.0


def ordered_services(route: configurations.Route, request: str) -> list[str]:
    """Returns a route's services, the request's own first.

    The split is by the request's id, so no state is needed.
    """
    names = [share.service for share in route.shares]
    if len(names) == 1:
        return names
    total = sum(share.weight for share in route.shares)
    point = xxhash.xxh3_64_intdigest(request.encode()) / 2**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            others = [name for name in names if name != share.service]
            return [share.service, *others]
    return names


def select(
    *,
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    route: configurations.Route,
    organisation: configurations.Organisation | None,
    without: set[str],
    now: float,
) -> placements.Choice | placements.NoCapacity:
    """Returns the server to send a request to, if one has room."""
    found = placements.NoCapacity(shortage={})
    for name in ordered_services(route, client_request.request):
        candidates = [
            each
            for each in view.servers.of_service(name)
            if each.registration.incarnation not in without
            and weights_allow(view, client_request.model, each, now)
        ]
        terms = _criteria(view, client_request, route, organisation, name, now)
        found = placements.choose(candidates=candidates, terms=terms, now=now)
        if isinstance(found, placements.Choice):
            return found
    return found


def weights_allow(
    view: cluster_views.ClusterView,
    model: str,
    backend: backends.Backend,
    now: float,
) -> bool:
    """Returns whether a server's weights are new enough to begin on."""
    version = placements.weights_of(backend, model)
    return view.may_begin(model, version, now)


def _criteria(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    route: configurations.Route,
    organisation: configurations.Organisation | None,
    service_name: str,
    now: float,
) -> placements.Criteria:
    service = view.configuration.services.get(service_name)
    wanted = view.wanted.get(client_request.model)
    return placements.Criteria(
        data_centre=view.data_centre,
        parts=client_request.shared,
        unshared=client_request.unshared_tokens(),
        model=client_request.model,
        newest=None if wanted is None else wanted.version,
        isolated_by=_isolated_by(organisation),
        sources=_newest_sources(
            view, client_request, organisation, service_name, now
        ),
        speeds=speeds_of(view, client_request.model, service_name),
        demand=_need(view, client_request, route, service),
        local_first=bool(client_request.model) and not view.reaches_all,
    )


def speeds_of(
    view: cluster_views.ClusterView, model: str, service_name: str
) -> wait_estimates.Speeds:
    """Returns what first events of a model have shown."""
    if not model:
        return wait_estimates.Speeds()
    known = view.first_event(model)
    return wait_estimates.Speeds(
        base_seconds=known.expected_seconds(0),
        token_seconds=known.token_seconds,
        fetch_seconds=cache_sources.transfer_seconds(
            1,
            service=view.configuration.services.get(service_name),
            link_bytes=None,
            apart=False,
        ),
        mean_unread=view.mean_unshared(model).mean(),
        elsewhere=view.elsewhere,
    )


def _need(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    route: configurations.Route,
    service: configurations.Service | None,
) -> capacity_checks.Demand | None:
    if not client_request.model:
        return None
    return capacity_checks.Demand(
        urgent=route.urgency == request_types.MOST_URGENT,
        mean_tokens=view.mean_unshared(client_request.model).mean(),
        memory=None if service is None else service.cache_tokens,
        objective_seconds=route.objective_seconds,
    )


def _newest_sources(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    organisation: configurations.Organisation | None,
    service_name: str,
    now: float,
) -> cache_sources.Sources:
    wanted = view.wanted.get(client_request.model)
    if wanted is None or client_request.shared_tokens() < MIN_FETCH_TOKENS:
        return cache_sources.Sources()
    return sources_of(
        view,
        client_request,
        service_name=service_name,
        version=wanted.version,
        namespace=placements.namespace(
            wanted.version, _isolated_by(organisation)
        ),
        now=now,
    )


def sources_of(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    *,
    service_name: str,
    version: int,
    namespace: str,
    now: float,
) -> cache_sources.Sources:
    """Returns what can be fetched of a prompt under a version's namespace."""
    cache = cache_server(view, client_request.parts)
    stored = None
    if cache is not None:
        stored = cache_sources.CacheSource(
            address=cache.cache_address,
            data_centre=cache.data_centre,
            tokens=view.saved.tokens(
                cache.cache_address, namespace, client_request.shared, now
            ),
        )
    return cache_sources.find(
        runners=_unlimited(view, service_name),
        stored=stored,
        model=client_request.model,
        version=version,
        namespace=namespace,
        parts=client_request.shared,
        now=now,
    )


def _unlimited(
    view: cluster_views.ClusterView, service_name: str
) -> list[backends.Backend]:
    """Returns a service's servers that have named no limit.

    A fetch would reach a server beside what its limit lets in.
    """
    return [
        each
        for each in view.servers.of_service(service_name)
        if not view.server_limits.get(each.registration.incarnation)
    ]


def _isolated_by(
    organisation: configurations.Organisation | None,
) -> str:
    if organisation is None or not organisation.isolated:
        return ""
    return organisation.name


def dispatch(
    *,
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    route: configurations.Route,
    organisation: configurations.Organisation | None,
    backend: backends.Backend,
    resume_after: int | None,
    seconds_left: float,
    now: float,
) -> request_types.Dispatch:
    """Returns what is sent to a server besides the request.

    While weights change, a run that goes on under new ones may leave parts
    made on both under the older namespace, and what then fetches them answers
    from other weights' memory. So parts of older weights are saved no more
    once newer ones are named, and fetched only until the first runner can
    have changed, or where they are known to have been saved before: the KV
    cache server keeps a part as it was first made.
    """
    found = request_types.Dispatch(
        server=backend.registration.server,
        organisation=None if organisation is None else organisation.name,
        seconds_left=seconds_left,
        resume_after=resume_after,
    )
    version = placements.weights_of(backend, client_request.model)
    if version is None:
        return found
    found.urgency = urgency_of(route, organisation)
    found.weights = version
    found.namespace = placements.namespace(version, _isolated_by(organisation))
    found.to_read = client_request.prompt_tokens
    if not client_request.parts:
        return found
    held = backend.cached_tokens(found.namespace, client_request.shared)
    found.to_read -= held
    cache = cache_server(view, client_request.parts)
    address = None if cache is None else cache.cache_address
    wanted = view.wanted.get(client_request.model)
    superseded = None if wanted is None else wanted.superseded(version)
    if superseded is None:
        # It may keep more than is known here; a miss costs a ms.
        found.fetch_from = address
        _fetch_newest(view, client_request, backend, held, found, now)
        found.save_to = _save_to(
            view, client_request, found.namespace, cache, now
        )
    elif address is not None and _may_fetch_older(
        view, address, found.namespace, client_request.shared, now, superseded
    ):
        found.fetch_from = address
    return found


def _fetch_newest(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    backend: backends.Backend,
    held: int,
    found: request_types.Dispatch,
    now: float,
) -> None:
    """Has the runner fetch what another server is believed to keep."""
    registration = backend.registration
    source = sources_of(
        view,
        client_request,
        service_name=registration.service,
        version=found.weights,
        namespace=found.namespace,
        now=now,
    ).for_runner(registration.data_centre, held)
    if source is not None:
        found.fetch_from = source.address
        found.to_read -= source.tokens - held


def _save_to(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    namespace: str,
    cache: configurations.Service | None,
    now: float,
) -> str | None:
    """Returns the KV cache server that is to keep a prompt's parts, or None."""
    if cache is None:
        return None
    address = cache.cache_address
    lacks = view.saved.unsaved_tokens(
        address, namespace, client_request.shared, now
    )
    least = 1
    if view.links.busy_share(address, now) > BUSY_LINK_SHARE:
        least = MIN_UNSAVED_RATIO * client_request.unshared_tokens()
    return address if lacks and lacks >= least else None


def _may_fetch_older(
    view: cluster_views.ClusterView,
    address: str,
    namespace: str,
    parts: tuple[request_types.Part, ...],
    now: float,
    since: float,
) -> bool:
    """Returns whether parts of older weights may be fetched.

    Args:
        view: what the process believes.
        address: of the KV cache server.
        namespace: of the older weights.
        parts: the shared parts.
        now: the time.
        since: when the first newer weights were named.
    """
    if now - since < SAFE_FETCH_SECONDS:
        return True
    moment = since - NOTICE_DELAY_SECONDS
    return view.saved.saved_before(address, namespace, parts, moment, now)


def urgency_of(
    route: configurations.Route,
    organisation: configurations.Organisation | None,
) -> int:
    """Returns the urgency at the runner, from 0 to 9.

    That of the organisation goes first; among its requests that of the route.
    With the organisation's alone, as most of them have the same, long prompts
    were as urgent as the short ones that someone waits for at the counter.
    """
    own = min(route.urgency, URGENCIES_PER_ORGANISATION - 1)
    if organisation is None or organisation.urgency is None:
        return min(own, MAX_URGENCY)
    urgency = URGENCIES_PER_ORGANISATION * organisation.urgency + own
    return min(urgency, MAX_URGENCY)


def cache_server(
    view: cluster_views.ClusterView, parts: tuple[request_types.Part, ...]
) -> configurations.Service | None:
    """Returns the KV cache server of a prompt, among those that live.

    All routers agree on it by the last shared part, wherever they are: with
    one for each data centre a part would be read, and kept, in each of them,
    and reading 3,780 tokens again costs eighty times a fetch from elsewhere.
    """
    name = parts[-2].name if len(parts) > 1 else ""
    return max(
        (
            each
            for each in view.configuration.cache_servers()
            if each.cache_address not in view.caches_down
        ),
        key=lambda each: xxhash.xxh3_64_intdigest(
            f"{name}/{each.cache_address}".encode()
        ),
        default=None,
    )


def max_idle_connections(
    view: cluster_views.ClusterView, service_name: str
) -> int | None:
    """Returns how many connections to a server may wait for a request.

    A server counts the connections of all routers and resets those beyond its
    bound. Each router may leave its part of half of them idle; the other half
    is for requests under way.
    """
    service = view.configuration.services.get(service_name)
    if service is None or not service.max_connections:
        return None
    part = (
        IDLE_CONNECTION_SHARE * service.max_connections / max(1, view.members)
    )
    return max(1, int(part))


def note_sent(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    backend: backends.Backend,
    sent: request_types.Dispatch,
    now: float,
) -> None:
    """Notes which parts a server will hold, for this router and the others."""
    if sent.namespace is None or len(client_request.parts) < 2:
        return
    _report_prompt(view, client_request, backend, sent, read=False, now=now)


def note_read(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    backend: backends.Backend,
    sent: request_types.Dispatch,
    now: float,
) -> None:
    """Notes that a request's shared parts have been read."""
    if sent.namespace is None:
        return
    backend.note_parts_read(sent.namespace, client_request.parts, now)
    if sent.save_to is None:
        return
    _report_prompt(view, client_request, backend, sent, read=True, now=now)


def _report_prompt(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    backend: backends.Backend,
    sent: request_types.Dispatch,
    *,
    read: bool,
    now: float,
) -> None:
    """Takes for this router, and tells the others, where a prompt went."""
    prompt = peer_messages.PromptReport(
        server=backend.registration.incarnation,
        namespace=sent.namespace,
        parts=[(part.name, part.tokens) for part in client_request.parts],
        saved_to=sent.save_to or "",
        read=read,
    )
    view.prompts_sent.append(prompt)
    note_peer_prompt(view, prompt, now)


def note_peer_prompt(
    view: cluster_views.ClusterView,
    prompt: peer_messages.PromptReport,
    now: float,
) -> None:
    """Takes that a prompt was sent to a runner, or read by it.

    A router that has just started may know servers and no configuration yet;
    how much they keep is not known to it.
    """
    if view.configuration is None:
        return
    parts = tuple(
        request_types.Part(name=name, tokens=tokens)
        for name, tokens in prompt.parts
    )
    shared = parts[:-1]
    saved = view.saved
    if prompt.read:
        saved.note_saved(prompt.saved_to, prompt.namespace, shared, now)
        return
    backend = view.servers.by_incarnation.get(prompt.server)
    if backend is None:
        return
    _note_cached(view, backend, prompt.namespace, parts, now)
    if prompt.saved_to:
        _note_saving(view, backend, prompt, parts, now)


def _note_saving(
    view: cluster_views.ClusterView,
    backend: backends.Backend,
    prompt: peer_messages.PromptReport,
    parts: tuple[request_types.Part, ...],
    now: float,
) -> None:
    """Takes that a prompt goes to a KV cache server, and what its link has."""
    address, namespace = prompt.saved_to, prompt.namespace
    tokens = view.saved.unsaved_tokens(address, namespace, parts, now)
    view.saved.note_saving(address, namespace, parts[:-1], now)
    services = view.configuration.services
    place = backend.registration.data_centre
    for each in view.configuration.cache_servers():
        if each.cache_address == address:
            seconds = cache_sources.transfer_seconds(
                tokens,
                service=services.get(backend.registration.service),
                link_bytes=each.link_bytes,
                apart=each.data_centre != place,
            )
            view.links.note_transfer(address, seconds, now)


def _note_cached(
    view: cluster_views.ClusterView,
    backend: backends.Backend,
    namespace: str,
    parts: tuple[request_types.Part, ...],
    now: float,
) -> None:
    service = view.configuration.services.get(backend.registration.service)
    tokens = 0 if service is None else service.cache_tokens or 0
    most = int(tokens * placements.CACHED_SHARE)
    ready_at = now + cache_sources.READY_SECONDS
    backend.note_parts(namespace, parts, most, ready_at)
