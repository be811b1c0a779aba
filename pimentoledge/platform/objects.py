"""Objects of the store, decoded into the router's types."""

from pimentoledge.routing import configurations
from pimentoledge.routing import registrations


def stored(item: dict) -> registrations.Stored:
    """Returns an object of the store; raises KeyError on a bad one."""
    meta = item["metadata"]
    return registrations.Stored(
        name=meta["name"],
        # `rev` is the revision of the last change, `createRev` of the first.
        revision=meta["rev"],
        value=item.get("spec"),
        leaving=bool(meta.get("deleting")),
    )


def registration(each: registrations.Stored) -> registrations.Registration:
    """Returns a backend server's registration."""
    spec = each.value
    return registrations.Registration(
        incarnation=each.name,
        service=spec["service"],
        address=spec["address"],
        data_centre=spec["zone"],
        slots=spec.get("slots") or 1,
        leaving=spec.get("state") == "draining" or each.leaving,
        # `version` beside `models` is that of the server's software.
        weights={
            model["name"]: model["version"]
            for model in spec.get("models") or ()
        },
    )


def named_weights(each: registrations.Stored) -> registrations.NamedWeights:
    """Returns which version of a model's weights is wanted."""
    spec = each.value
    return registrations.NamedWeights(
        model=spec["model"], version=spec["version"]
    )


def configuration(
    each: registrations.Stored,
) -> configurations.Configuration:
    """Returns a configuration; raises KeyError or ValueError on a bad one."""
    spec = each.value
    organisations = spec.get("tenants")
    return configurations.build(
        version=spec["version"],
        routes=[_route(route) for route in spec["routes"]],
        organisations=None
        if organisations is None
        else [_organisation(entry) for entry in organisations],
        services=[_service(entry) for entry in spec.get("services") or ()],
        limits=_limits(spec.get("limits") or {}),
    )


def _route(entry: dict) -> configurations.Route:
    split = entry.get("trafficSplit")
    if split:
        shares = tuple(
            configurations.Share(service=part["service"], weight=part["weight"])
            for part in split
        )
    else:
        shares = (configurations.Share(service=entry["service"], weight=1.0),)
    gap = entry.get("gapAimMs")
    return configurations.Route(
        name=entry["name"],
        host=entry["host"].lower(),
        path_prefix=entry["pathPrefix"],
        kind=_kind(entry),
        timeout_seconds=_seconds(entry, "timeoutMs")
        or configurations.USUAL_TIMEOUT_SECONDS,
        objective_seconds=_seconds(entry, "targetLatencyMs"),
        urgency=entry.get("priority") or 0,
        shares=shares,
        most_servers=entry.get("maxAttempts") or 1,
        open=bool(entry.get("public")),
        by_prefix=bool(entry.get("sticky")),
        resumable=bool(entry.get("resumable")),
        gap_seconds=None if gap is None else gap / 1000,
    )


def _organisation(entry: dict) -> configurations.Organisation:
    return configurations.Organisation(
        name=entry["name"],
        keys=tuple(entry.get("apiKeys") or ()),
        urgency=entry.get("priority"),
        isolated=bool(entry.get("isolated")),
    )


def _service(entry: dict) -> configurations.Service:
    engine = entry.get("engine") or {}
    return configurations.Service(
        name=entry["name"],
        max_connections=entry.get("maxConns") or 0,
        models=tuple(each["name"] for each in engine.get("models") or ()),
        slots=engine.get("slots"),
        cache_tokens=engine.get("kvCapacityTokens")
        or entry.get("kvCapacityTokens"),
        cache_address=entry.get("kvStore"),
        data_centre=entry.get("zone"),
    )


def _limits(entry: dict) -> configurations.Limits:
    usual = configurations.Limits()
    return configurations.Limits(
        header_bytes=entry.get("maxHeaderBytes") or usual.header_bytes,
        body_bytes=entry.get("maxBodyBytes") or usual.body_bytes,
        header_seconds=_seconds(entry, "headerTimeoutMs")
        or usual.header_seconds,
        idle_seconds=_seconds(entry, "idleTimeoutMs") or usual.idle_seconds,
    )


def _seconds(entry: dict, name: str) -> float:
    """Returns a field given in milliseconds as seconds; 0 without it."""
    return (entry.get(name) or 0) / 1000


def _kind(entry: dict) -> configurations.Kind:
    """Returns a route's kind.

    What is not known here is treated as what may run only once: that is true
    of every kind.
    """
    try:
        return configurations.Kind(entry.get("kind"))
    except ValueError:
        return configurations.Kind.UNSAFE
