"""Log fields that explain routing decisions, with the age of their data."""

from pimentoledge.routing import backends
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import placements
from pimentoledge.routing import request_types
from pimentoledge.routing.fair_shares import share_demands


def of_choice(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    choice: placements.Choice,
    now: float,
) -> dict[str, object]:
    """Returns the log fields of a choice of a server.

    Costs are expected waits in ms; ages are in seconds, None if no data was
    ever received.
    """
    backend = choice.backend
    fields = _configuration(view, now) | {
        "usable": choice.usable,
        "declared": choice.declared,
        "servers_age": _age(view.known_at("servers"), now),
        "cost": round(choice.candidate.cost, 1),
        "first_ms": round(1000 * choice.candidate.first_seconds, 1),
        "second": None
        if choice.second_cost is None
        else round(choice.second_cost, 1),
        "busy": round(backend.estimated_requests(now), 1),
        "load_age": _age(backend.load_at, now),
    }
    if view.load_control.applies(backend.registration.service):
        fields |= _speed(backend, now)
    wanted = view.wanted.get(client_request.model)
    if wanted is not None:
        fields["weights"] = placements.weights_of(backend, client_request.model)
        superseded = wanted.superseded(fields["weights"] or wanted.version)
        if superseded is not None:
            fields["superseded_age"] = _age(superseded, now)
        fields["newest"] = wanted.version
        fields["newest_age"] = _age(wanted.since, now)
    return fields


def _speed(backend: backends.Backend, now: float) -> dict[str, object]:
    """Returns the estimates of a server's speed that a choice used."""
    speed = backend.speed
    event = speed.event_seconds(backend.estimated_requests(now) + 1, now)
    return {
        "speed": round(speed.prefill_factor(now), 2),
        "step": round(speed.step_factor(now), 2),
        "event_ms": None if event is None else round(1000 * event, 1),
        "limit": round(speed.limit(backend.registration.slots, now), 1),
    }


def of_dispatch(
    client_request: request_types.ClientRequest,
    backend: backends.Backend,
    sent: request_types.Dispatch,
) -> dict[str, object]:
    """Returns the log fields of a prompt's cached parts in a dispatch.

    With the log lines of all routers, they show which part was prefilled where
    and whether it could have been fetched.
    """
    if sent.namespace is None or not client_request.parts:
        return {}
    return {
        "urgency": sent.urgency,
        "namespace": sent.namespace,
        "parts": [
            f"{each.name}:{each.tokens}" for each in client_request.shared
        ],
        "unshared": client_request.unshared_tokens(),
        "held": backend.cached_tokens(sent.namespace, client_request.shared),
        "fetch": sent.fetch_from,
        "save": sent.save_to is not None,
    }


def of_refusal(
    view: cluster_views.ClusterView,
    route: configurations.Route | None,
    tried: int,
    now: float,
) -> dict[str, object]:
    """Returns the log fields of a refusal."""
    if view.configuration is None:
        return {"configuration": None}
    fields = _configuration(view, now)
    if route is None:
        return fields
    servers = [
        each
        for share in route.shares
        for each in view.servers.of_service(share.service)
    ]
    budget = view.budget(route.shares[0].service)
    return fields | {
        "servers": len(servers),
        "usable": sum(each.usable(now) for each in servers),
        "backing_off": sum(each.is_backing_off(now) for each in servers),
        "limited": sum(now < each.limited_until for each in servers),
        "tried": tried,
        "repeats_left": round(budget.allowance(now, view.members), 1),
    }


def of_standing(
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest | None,
    route: configurations.Route | None,
    organisation: configurations.Organisation | None,
    now: float,
) -> dict[str, object]:
    """Returns the log fields of how an organisation's service compares.

    `received` and `fair_share` are parts of the service's capacity, divided by
    the organisation's weight. Where load control is not in effect, only the
    organisation is named.
    """
    fields = {
        "organisation": share_demands.name_of(organisation),
        "standing": None,
    }
    if route is None or client_request is None or view.configuration is None:
        return fields
    service = route.shares[0].service
    shares = share_demands.counting(view, service)
    if shares is None:
        return fields
    name = fields["organisation"]
    usage = share_demands.update(view, service, client_request.model, now)
    standing = shares.standing(service, name, now)
    return fields | {
        "standing": standing.value,
        "received": round(shares.received(service, name, now), 4),
        "fair_share": round(shares.level(service, now).share, 4),
        "slots_used": _part(usage.busy, usage.slots),
        "memory_used": _part(usage.held, usage.memory),
        "starved": share_demands.is_starved(view, route, name, standing),
    }


def _part(used: float, total: float) -> float | None:
    return round(used / total, 3) if total else None


def _configuration(
    view: cluster_views.ClusterView, now: float
) -> dict[str, object]:
    return {
        "configuration": view.configuration.version,
        "configuration_age": _age(view.configured, now),
    }


def _age(since: float, now: float) -> float | None:
    return round(now - since, 2) if since else None
