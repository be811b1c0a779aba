"""Selects a backend server for a request and builds its dispatch."""

import functools
import math

import attrs
import xxhash

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources
from pimentoledge.routing import capacity_checks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import peer_messages
from pimentoledge.routing import placements
from pimentoledge.routing import request_types
from pimentoledge.routing import shortlists
from pimentoledge.routing import wait_estimates
from pimentoledge.routing.fair_shares import share_demands

MAX_URGENCY = 9
# Distinct route urgencies within one urgency of an organisation.
URGENCIES_PER_ORGANISATION = 3
# Share of a server's connections that all routers together may keep idle.
IDLE_CONNECTION_SHARE = 0.5
# Below this, prefilling is faster than fetching from another runner.
MIN_FETCH_TOKENS = 256
# When the link of a KV cache server is busier than BUSY_LINK_SHARE, a prompt is
# saved only if the server lacks at least MIN_UNSAVED_RATIO shared tokens for
# each unshared token, because unshared tokens use the link and the cache but
# are never reused. Otherwise a link of 340 Gbit/s is overloaded, saved parts
# arrive two seconds late, and three in four parts requested meanwhile are
# prefilled again.
BUSY_LINK_SHARE = 1.0
MIN_UNSAVED_RATIO = 2.0
# No runner has finished loading new weights this soon after their announcement:
# a load takes at least 0.55 s. Until then any cached part of the older weights
# is safe to fetch, which saves a quarter of the repeated prefill: 104,606
# instead of 139,742 tokens over five changes of weights in 50 s.
SAFE_FETCH_SECONDS = 0.45
# Parts saved within this time before this router received newer weights may
# have been saved after their announcement. Parts saved earlier are fetched
# throughout the change, which reduces repeated prefill from 250,606 to 197,000
# tokens over four changes and from 386,527 to 360,000 over three.
NOTICE_DELAY_SECONDS = 1.0


def ordered_services(route: configurations.Route, request: str) -> list[str]:
    """Returns a route's services, the one selected by the split first.

    The split hashes the request's id, so it needs no state.
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
    software: str | None = None,
) -> placements.Choice | placements.NoCapacity:
    """Returns the server to send a request to, or the shortages if none.

    Args:
        view: the router's view of the cluster.
        client_request: the request.
        route: its route.
        organisation: its organisation, or None.
        without: incarnations of servers to leave out.
        now: the time.
        software: the only software version that it may go on at, or None.
    """
    result = placements.NoCapacity(shortage={})
    prompt = _prompt(view, client_request, organisation)
    model = client_request.model
    may_begin = functools.cache(
        lambda version: view.may_begin(model, version, now)
    )
    for name in ordered_services(route, client_request.request):
        criteria = _criteria(
            view, client_request, route, organisation, name, now
        )
        if software is not None:
            criteria = attrs.evolve(_urgent(criteria), may_probe=False)
        for drawn in shortlists.draws(
            view.servers,
            service=name,
            data_centre=view.data_centre,
            prompt=prompt,
            software=software,
        ):
            candidates = [
                each
                for each in drawn
                if each.registration.incarnation not in without
                and may_begin(placements.weights_of(each, model))
            ]
            result = placements.choose(
                candidates=candidates, criteria=criteria, now=now
            )
            if isinstance(result, placements.Choice):
                return result
        if not without and software is None:
            share_demands.note_shortage(
                view,
                name,
                organisation,
                demand=criteria.demand,
                shortages=result.shortage,
                now=now,
            )
    return result


def has_software(
    view: cluster_views.ClusterView,
    route: configurations.Route,
    software: str,
    without: set[str],
) -> bool:
    """Returns whether a stream of a software version can go on anywhere."""
    return any(
        each.registration.incarnation not in without and not each.is_leaving()
        for share in route.shares
        for each in shortlists.of_software(
            view.servers, share.service, software
        )
    )


def _urgent(criteria: placements.Criteria) -> placements.Criteria:
    """Returns the criteria of a stream that goes on.

    Only servers of its version can serve it, so it goes before new ones there,
    and late is better than not at all.
    """
    if criteria.demand is None:
        return criteria
    return attrs.evolve(
        criteria,
        demand=attrs.evolve(
            criteria.demand,
            urgent=True,
            objective_seconds=math.inf,
            standing=None,
        ),
    )


def _prompt(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    organisation: configurations.Organisation | None,
) -> shortlists.Prompt:
    wanted = view.wanted.get(client_request.model)
    if wanted is None:
        return shortlists.Prompt()
    return shortlists.Prompt(
        namespace=placements.namespace(
            wanted.version, _cache_group(view, organisation)
        ),
        parts=client_request.shared,
    )


def weights_allow(
    view: cluster_views.ClusterView,
    model: str,
    backend: backends.Backend,
    now: float,
) -> bool:
    """Returns whether a server's weights are new enough to start on."""
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
    wanted = view.wanted.get(client_request.model)
    return placements.Criteria(
        data_centre=view.data_centre,
        parts=client_request.shared,
        unshared=client_request.unshared_tokens(),
        model=client_request.model,
        newest=None if wanted is None else wanted.version,
        withdrawn_at=functools.cache(
            lambda version: view.withdrawn_at(client_request.model, version)
        ),
        cache_group=_cache_group(view, organisation),
        sources=_newest_sources(
            view, client_request, organisation, service_name, now
        ),
        speeds=speeds_of(view, client_request.model, service_name),
        demand=_demand(
            view, client_request, route, organisation, service_name, now
        ),
        local_first=bool(client_request.model) and not view.reaches_all,
        members=view.members,
        events=view.servers.pace(service_name).expected_events(
            client_request.answer_tokens
        ),
        gap_objective=route.gap_seconds,
        may_probe=route.kind is not configurations.Repeatability.UNSAFE
        and client_request.resume_after is None,
    )


def speeds_of(
    view: cluster_views.ClusterView, model: str, service_name: str
) -> wait_estimates.Speeds:
    """Returns the speeds estimated from a model's first events."""
    per_server = view.load_control.applies(service_name)
    if not model:
        return wait_estimates.Speeds(per_server=per_server)
    known = view.first_event(model)
    return wait_estimates.Speeds(
        base_seconds=known.expected_seconds(0),
        token_seconds=known.token_seconds,
        fetch_seconds=cache_sources.transfer_seconds(
            1,
            service=view.configuration.services.get(service_name),
            link_bytes=None,
            remote=False,
        ),
        mean_unread=view.mean_unshared(model).mean(),
        remote_means=view.remote_means,
        per_server=per_server,
    )


def _demand(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    route: configurations.Route,
    organisation: configurations.Organisation | None,
    service_name: str,
    now: float,
) -> capacity_checks.Demand | None:
    if not client_request.model:
        return None
    service = view.configuration.services.get(service_name)
    demand = capacity_checks.Demand(
        urgent=route.urgency == request_types.HIGHEST_URGENCY,
        mean_tokens=view.mean_unshared(client_request.model).mean(),
        memory=None if service is None else service.cache_tokens,
        objective_seconds=route.objective_seconds,
    )
    if not view.load_control.applies(service_name):
        return demand
    return share_demands.with_shares(
        demand,
        view=view,
        client_request=client_request,
        route=route,
        organisation=organisation,
        service_name=service_name,
        now=now,
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
            wanted.version, _cache_group(view, organisation)
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
    """Returns the servers that a prompt's cached parts can be fetched from.

    Args:
        view: the router's view of the cluster.
        client_request: the request.
        service_name: service whose runners are sources.
        version: version of the weights.
        namespace: cache namespace of that version.
        now: the time.
    """
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
        runners=_unlimited(
            view, service_name, namespace, client_request.shared
        ),
        stored=stored,
        model=client_request.model,
        version=version,
        namespace=namespace,
        parts=client_request.shared,
        now=now,
    )


def _unlimited(
    view: cluster_views.ClusterView,
    service_name: str,
    namespace: str,
    parts: tuple[request_types.Part, ...],
) -> list[backends.Backend]:
    """Returns servers with cached parts that have announced no rate limit.

    Fetches would load a server in addition to the requests that its limit
    admits.
    """
    return [
        each
        for each in view.servers.holders_of(
            namespace, parts, shortlists.MAX_EVALUATED
        )
        if each.registration.service == service_name
        and not view.server_limits.get(each.registration.incarnation)
    ]


def _cache_group(
    view: cluster_views.ClusterView,
    organisation: configurations.Organisation | None,
) -> str:
    if view.configuration is not None:
        return view.configuration.cache_group(organisation)
    if organisation is None or not organisation.isolated:
        return ""
    return organisation.name


def expected_weights(
    view: cluster_views.ClusterView, model: str, backend: backends.Backend
) -> int | None:
    """Returns the version of the weights that a request is to begin on.

    A runner whose version is unknown gets the newest, so that it refuses the
    request if it has an older one.
    """
    version = placements.weights_of(backend, model)
    wanted = view.wanted.get(model)
    if version is not None or wanted is None:
        return version
    service = view.configuration.services.get(backend.registration.service)
    runs_model = service is not None and model in service.models
    return wanted.version if runs_model else None


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
    """Returns the routing data sent to a server along with the request.

    During a change of weights, a run that continues under new weights may
    store parts computed with both versions in the older namespace. A request
    that fetches such a part would be answered from another version's KV cache.
    Parts of older weights are therefore no longer saved once newer weights are
    announced. They are fetched only until the first runner can have switched,
    or if they were saved before the announcement: the KV cache server never
    overwrites a stored part.
    """
    sent = request_types.Dispatch(
        server=backend.registration.server,
        organisation=None if organisation is None else organisation.name,
        seconds_left=seconds_left,
        resume_after=resume_after,
    )
    version = expected_weights(view, client_request.model, backend)
    if version is None:
        return sent
    sent.urgency = urgency_of(route, organisation)
    sent.weights = version
    sent.namespace = placements.namespace(
        version, _cache_group(view, organisation)
    )
    sent.to_read = client_request.prompt_tokens
    if not client_request.parts:
        return sent
    cached = backend.cached_tokens(sent.namespace, client_request.shared)
    sent.to_read -= cached
    cache = cache_server(view, client_request.parts)
    address = None if cache is None else cache.cache_address
    wanted = view.wanted.get(client_request.model)
    superseded = None if wanted is None else wanted.superseded(version)
    if superseded is None:
        # The KV cache server may hold more than this router has recorded; a
        # miss costs 1 ms.
        sent.fetch_from = address
        _set_fetch_source(view, client_request, backend, cached, sent, now)
        sent.save_to = _save_to(
            view, client_request, sent.namespace, cache, now
        )
    elif address is not None and _may_fetch_older(
        view, address, sent.namespace, client_request.shared, now, superseded
    ):
        sent.fetch_from = address
    return sent


def _set_fetch_source(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    backend: backends.Backend,
    cached: int,
    sent: request_types.Dispatch,
    now: float,
) -> None:
    """Sets the server that the runner fetches cached parts from, if any."""
    registration = backend.registration
    source = sources_of(
        view,
        client_request,
        service_name=registration.service,
        version=sent.weights,
        namespace=sent.namespace,
        now=now,
    ).for_runner(registration.data_centre, cached)
    if source is not None:
        sent.fetch_from = source.address
        sent.to_read -= source.tokens - cached


def _save_to(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    namespace: str,
    cache: configurations.Service | None,
    now: float,
) -> str | None:
    """Returns the address of the KV cache server to save to, or None."""
    if cache is None:
        return None
    address = cache.cache_address
    unsaved = view.saved.unsaved_tokens(
        address, namespace, client_request.shared, now
    )
    min_unsaved = 1
    if view.links.busy_share(address, now) > BUSY_LINK_SHARE:
        min_unsaved = MIN_UNSAVED_RATIO * client_request.unshared_tokens()
    return address if unsaved and unsaved >= min_unsaved else None


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
        view: the router's view of the cluster.
        address: address of the KV cache server.
        namespace: cache namespace of the older weights.
        parts: the prompt's shared parts.
        now: the time.
        since: when the first newer weights were announced.
    """
    if now - since < SAFE_FETCH_SECONDS:
        return True
    latest = since - NOTICE_DELAY_SECONDS
    return view.saved.saved_before(address, namespace, parts, latest, now)


def urgency_of(
    route: configurations.Route,
    organisation: configurations.Organisation | None,
) -> int:
    """Returns the urgency at the runner, from 0 (most urgent) to 9.

    The organisation's urgency takes precedence; the route's orders requests of
    equally urgent organisations. Most organisations have the same urgency, so
    with it alone long prompts would be as urgent as short interactive ones.
    """
    route_urgency = min(route.urgency, URGENCIES_PER_ORGANISATION - 1)
    if organisation is None or organisation.urgency is None:
        return min(route_urgency, MAX_URGENCY)
    urgency = URGENCIES_PER_ORGANISATION * organisation.urgency + route_urgency
    return min(urgency, MAX_URGENCY)


def cache_server(
    view: cluster_views.ClusterView, parts: tuple[request_types.Part, ...]
) -> configurations.Service | None:
    """Returns the KV cache server of a prompt, among those that are up.

    Uses rendezvous hashing on the last shared part, so all routers in all data
    centres choose the same server. With one server for each data centre, a part
    would be prefilled and stored in each of them, and prefilling 3,780 tokens
    again costs eighty times as much as a fetch from another data centre.
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
    """Returns how many idle connections this router may keep to a server.

    A server counts the connections of all routers and resets those beyond its
    maximum. All routers share half of the maximum for idle connections; the
    other half is for requests in progress.
    """
    service = view.configuration.services.get(service_name)
    if service is None or not service.max_connections:
        return None
    own_share = (
        IDLE_CONNECTION_SHARE * service.max_connections / max(1, view.members)
    )
    return max(1, int(own_share))


def note_sent(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    backend: backends.Backend,
    sent: request_types.Dispatch,
    now: float,
) -> None:
    """Records, and reports to peers, which parts a server will have cached."""
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
    """Records that a request's prompt has been prefilled."""
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
    """Records where a prompt was sent and queues the report to the peers."""
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
    """Records a report that a prompt was sent to a runner, or prefilled by it.

    Reports are ignored until the configuration is loaded: a router that has
    just started may have servers without the sizes of their caches.
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
    """Records that a prompt is being saved, and the load on the link."""
    address, namespace = prompt.saved_to, prompt.namespace
    tokens = view.saved.unsaved_tokens(address, namespace, parts, now)
    view.saved.note_saving(address, namespace, parts[:-1], now)
    services = view.configuration.services
    data_centre = backend.registration.data_centre
    for each in view.configuration.cache_servers():
        if each.cache_address == address:
            seconds = cache_sources.transfer_seconds(
                tokens,
                service=services.get(backend.registration.service),
                link_bytes=each.link_bytes,
                remote=each.data_centre != data_centre,
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
    max_tokens = int(tokens * placements.CACHED_SHARE)
    ready_at = now + cache_sources.READY_SECONDS
    backend.note_parts(namespace, parts, max_tokens, ready_at)
