"""Adds an organisation's standing and a service's scarcity to a demand."""

import attrs

from pimentoledge.routing import capacity_checks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import request_types
from pimentoledge.routing.fair_shares import organisation_shares
from pimentoledge.routing.fair_shares import service_usages
from pimentoledge.routing.fair_shares import share_counters
from pimentoledge.routing.fair_shares import standings

# Interval at which the use of a service's servers is summed up.
USAGE_SECONDS = 0.2
# Shortages that show that capacity is scarce. Weights that are too old don't,
# nor does a wait alone: one slow or distant server may cause it.
CAPACITY_SHORTAGES = frozenset(
    (capacity_checks.Shortage.SLOTS, capacity_checks.Shortage.MEMORY)
)
# A shortage counts if more than this part of what the request may use is in
# use. With less, it is the request that fits nowhere, such as a prompt larger
# than the memory, and others find a place.
MIN_SHORTAGE_USE = 0.5


def counting(
    view: cluster_views.ClusterView, service: str
) -> organisation_shares.FairShares | None:
    """Returns what counts requests of a service, or None if nothing does."""
    return view.fair_shares if view.load_control.applies(service) else None


def name_of(organisation: configurations.Organisation | None) -> str:
    """Returns the name that an organisation is counted under.

    Requests without a key count together as one organisation.
    """
    return "" if organisation is None else organisation.name


def with_shares(
    demand: capacity_checks.Demand,
    *,
    view: cluster_views.ClusterView,
    client_request: request_types.ClientRequest,
    route: configurations.Route,
    organisation: configurations.Organisation | None,
    service_name: str,
    now: float,
) -> capacity_checks.Demand:
    """Returns the demand of a request where load control is in effect."""
    shares = view.fair_shares
    name = name_of(organisation)
    usage = update(view, service_name, client_request.model, now)
    demand = attrs.evolve(
        demand,
        tokens=share_counters.work_of(client_request).memory,
        mean_tokens=usage.mean_tokens,
    )
    standing = shares.standing(service_name, name, now)
    scarce = usage.is_scarce(*demand.shares()) or shares.is_short(
        service_name, now
    )
    return attrs.evolve(
        demand,
        standing=standing,
        above_share=max(
            capacity_checks.ABOVE_SHARE,
            1 - shares.reserve(service_name, now),
        ),
        scarce=scarce,
        preferred=scarce
        and standing is standings.Standing.BELOW
        and shares.level(service_name, now).uneven,
        starved=is_starved(view, route, name, standing),
    )


def is_starved(
    view: cluster_views.ClusterView,
    route: configurations.Route,
    organisation: str,
    standing: standings.Standing,
) -> bool:
    """Returns whether a request's organisation or kind is hardly ever served.

    If its kind is, organisations above their shares don't profit: they may send
    most of that kind, and the others would be served no more often.
    """
    served = view.fair_shares.served
    service = route.shares[0].service
    if served.is_starved(service, organisation):
        return True
    return standing is not standings.Standing.ABOVE and served.is_starved(
        service, route.urgency
    )


def update(
    view: cluster_views.ClusterView, service_name: str, model: str, now: float
) -> service_usages.ServiceUsage:
    """Returns the use of a service's servers; measures it if that is due."""
    shares = view.fair_shares
    usage = shares.usage(service_name, now - USAGE_SECONDS)
    if usage is not None:
        return usage
    service = view.configuration.services.get(service_name)
    memory = None if service is None else service.cache_tokens
    usage = service_usages.measure(
        view.servers.of_service(service_name),
        memory=memory,
        mean_tokens=view.mean_unshared(model).mean(),
        now=now,
    )
    token_seconds = view.first_event(model).token_seconds if model else 0.0
    shares.set_organisations(view.configuration.organisations)
    shares.set_capacity(
        service_name,
        memory=(memory or 0) * usage.servers
        if model
        else share_counters.SLOT_UNITS * usage.slots,
        prefill=usage.servers / token_seconds if token_seconds > 0 else None,
    )
    shares.set_usage(service_name, usage, now)
    return usage


def note_shortage(
    view: cluster_views.ClusterView,
    service_name: str,
    organisation: configurations.Organisation | None,
    *,
    demand: capacity_checks.Demand | None,
    shortages: dict[capacity_checks.Shortage, int],
    now: float,
) -> None:
    """Records that no server of a service had capacity for a request.

    Args:
        view: the router's view of the cluster.
        service_name: the service.
        organisation: the request's organisation, or None.
        demand: what the request needs; None at services without a model.
        shortages: numbers of servers by what they lacked. No server may have
            been left out of the search.
        now: the time.
    """
    if (
        demand is None
        or not CAPACITY_SHORTAGES & shortages.keys()
        or not view.load_control.applies(service_name)
    ):
        return
    shares = view.fair_shares
    usage = shares.usage(service_name, now - USAGE_SECONDS)
    if usage is None or not usage.exceeds(MIN_SHORTAGE_USE, *demand.shares()):
        return
    shares.note_shortage(service_name, name_of(organisation), now)
