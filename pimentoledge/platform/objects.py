"""Objects of the store, decoded into the router's types.

Entries may come from another writer: each field is looked at before it is
believed, and what can't be read raises ValueError.
"""

from typing import Any

from pimentoledge.routing import configurations
from pimentoledge.routing import registrations
from pimentoledge.routing import rollouts

# States of a backend server that it takes requests in; in any other it would
# be guesswork what it does with them.
_LEAVES = "draining"
_STATES = {"ready": False, _LEAVES: True}
# Ports of TCP.
_MOST_PORT = 65535


def decode_stored(item: Any) -> registrations.Stored:
    """Returns an object of the store; raises ValueError on a bad one."""
    if not isinstance(item, dict):
        raise ValueError("an object that is no table")
    meta = _field(item, "metadata", dict)
    return registrations.Stored(
        name=_field(meta, "name", str),
        # `rev` is the revision of the last change, `createRev` of the first.
        revision=_field(meta, "rev", int),
        value=item.get("spec"),
        leaving=bool(meta.get("deleting")),
    )


def _field(table: dict, name: str, kind: type, default: Any = None) -> Any:
    """Returns a field of a type; raises ValueError without it.

    A `default` is returned where the field is missing or null.
    """
    value = table.get(name)
    if value is None and default is not None:
        return default
    # To Python a truth value is an int; to the platform it is none.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ValueError(f"{name} is {value!r}"[:100])
    return value


def decode_registration(
    each: registrations.Stored,
) -> registrations.Registration:
    """Returns a backend server's registration; raises ValueError."""
    spec = each.value
    if not isinstance(spec, dict):
        raise ValueError("a server's entry that is no table")
    state = _field(spec, "state", str, "ready")
    if state not in _STATES:
        raise ValueError(f"state is {state!r}"[:100])
    return registrations.Registration(
        server=each.name,
        service=_field(spec, "service", str),
        address=_address(_field(spec, "address", str)),
        data_centre=_field(spec, "zone", str),
        slots=max(1, _field(spec, "slots", int, 1)),
        leaving=_STATES[state] or each.leaving,
        weights=_weights(_field(spec, "models", list, [])),
        born=_born(spec),
    )


def decode_runner_report(body: Any) -> rollouts.RunnerReport:
    """Returns what a runner reports of itself; raises ValueError."""
    if not isinstance(body, dict):
        raise ValueError("a report that is no table")
    if not isinstance(body.get("busy"), bool):
        raise ValueError("a report that doesn't say whether it is busy")
    return rollouts.RunnerReport(
        weights=_weights(_field(body, "models", list)),
        loading=body["busy"],
        # `seq` counts orders taken here; in the store it counts heartbeats.
        orders_taken=_field(body, "seq", int),
        born=_born(body),
        leaving=body.get("state") == _LEAVES,
    )


def _born(told: dict) -> int | None:
    """Returns when the life began that a server tells of, or None."""
    if told.get("born") is None:
        return None
    return _field(told, "born", int)


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise ValueError(f"address is {text!r}"[:100])
    if not 0 < int(port) <= _MOST_PORT:
        raise ValueError(f"address is {text!r}"[:100])
    return text


def _weights(models: list) -> dict[str, int]:
    """Returns the version of each model's weights.

    The `version` beside `models` is that of the server's software.
    """
    found = {}
    for model in models:
        if not isinstance(model, dict):
            raise ValueError("a model that is no table")
        found[_field(model, "name", str)] = _field(model, "version", int)
    return found


def decode_named_weights(
    each: registrations.Stored,
) -> registrations.NamedWeights:
    """Returns which version of a model's weights is wanted."""
    spec = each.value
    if not isinstance(spec, dict):
        raise ValueError("named weights that are no table")
    return registrations.NamedWeights(
        model=_field(spec, "model", str), version=_field(spec, "version", int)
    )


def decode_configuration(
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
            configurations.ServiceShare(
                service=part["service"], weight=part["weight"]
            )
            for part in split
        )
    else:
        shares = (
            configurations.ServiceShare(service=entry["service"], weight=1.0),
        )
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
        quota=_quota(entry),
    )


def _quota(entry: dict) -> configurations.Quota | None:
    """Returns an organisation's limit; None for no rate, or one of 0."""
    rate = entry.get("ratePerS")
    if not rate:
        return None
    by_tokens = entry.get("unit") == "tokens"
    return configurations.Quota(
        unit=configurations.Unit.TOKENS
        if by_tokens
        else configurations.Unit.REQUESTS,
        per_second=rate,
        burst=entry.get("burst") or rate,
        plain_tokens=entry.get("plainTokens") or 1,
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
        token_bytes=engine.get("kvBytes"),
        link_bytes=_link_bytes(engine) or _link_bytes(entry),
    )


def _link_bytes(entry: dict) -> float | None:
    """Returns bytes in a second of a link given in Mbit/s, or None."""
    found = entry.get("linkMbps")
    return found * 1_000_000 / 8 if found else None


def _limits(entry: dict) -> configurations.ClientLimits:
    usual = configurations.ClientLimits()
    return configurations.ClientLimits(
        header_bytes=entry.get("maxHeaderBytes") or usual.header_bytes,
        body_bytes=entry.get("maxBodyBytes") or usual.body_bytes,
        header_seconds=_seconds(entry, "headerTimeoutMs")
        or usual.header_seconds,
        idle_seconds=_seconds(entry, "idleTimeoutMs") or usual.idle_seconds,
    )


def _seconds(entry: dict, name: str) -> float:
    """Returns a field given in milliseconds as seconds; 0 without it."""
    return (entry.get(name) or 0) / 1000


def _kind(entry: dict) -> configurations.Repeatability:
    """Returns a route's kind.

    What is not known here is treated as what may run only once: that is true
    of every kind.
    """
    try:
        return configurations.Repeatability(entry.get("kind"))
    except ValueError:
        return configurations.Repeatability.UNSAFE
