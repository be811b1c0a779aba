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
_DRAINING = "draining"
_LEAVING_BY_STATE = {"ready": False, _DRAINING: True}
# Ports of TCP.
_MAX_PORT = 65535


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


def _field(fields: dict, name: str, kind: type, default: Any = None) -> Any:
    """Returns a field of a type; raises ValueError without it.

    A `default` is returned where the field is missing or null.
    """
    value = fields.get(name)
    if value is None and default is not None:
        return default
    # To Python a truth value is an int; to the platform it is none.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ValueError(f"{name} is {value!r}"[:100])
    return value


def decode_registration(
    stored: registrations.Stored,
) -> registrations.Registration:
    """Returns a backend server's registration; raises ValueError."""
    spec = stored.value
    if not isinstance(spec, dict):
        raise ValueError("a server's entry that is no table")
    state = _field(spec, "state", str, "ready")
    if state not in _LEAVING_BY_STATE:
        raise ValueError(f"state is {state!r}"[:100])
    return registrations.Registration(
        server=stored.name,
        service=_field(spec, "service", str),
        address=_address(_field(spec, "address", str)),
        data_centre=_field(spec, "zone", str),
        slots=max(1, _field(spec, "slots", int, 1)),
        leaving=_LEAVING_BY_STATE[state] or stored.leaving,
        weights=_weight_versions(_field(spec, "models", list, [])),
        born=_incarnation_start(spec),
    )


def decode_runner_report(body: Any) -> rollouts.RunnerReport:
    """Returns what a runner reports of itself; raises ValueError."""
    if not isinstance(body, dict):
        raise ValueError("a report that is no table")
    if not isinstance(body.get("busy"), bool):
        raise ValueError("a report that doesn't say whether it is busy")
    return rollouts.RunnerReport(
        weights=_weight_versions(_field(body, "models", list)),
        loading=body["busy"],
        # `seq` counts orders taken here; in the store it counts heartbeats.
        orders_taken=_field(body, "seq", int),
        born=_incarnation_start(body),
        leaving=body.get("state") == _DRAINING,
    )


def _incarnation_start(fields: dict) -> int | None:
    """Returns when the life began that a server tells of, or None."""
    if fields.get("born") is None:
        return None
    return _field(fields, "born", int)


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise ValueError(f"address is {text!r}"[:100])
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"address is {text!r}"[:100])
    return text


def _weight_versions(models: list) -> dict[str, int]:
    """Returns the version of each model's weights.

    The `version` beside `models` is that of the server's software.
    """
    versions = {}
    for model in models:
        if not isinstance(model, dict):
            raise ValueError("a model that is no table")
        versions[_field(model, "name", str)] = _field(model, "version", int)
    return versions


def decode_named_weights(
    stored: registrations.Stored,
) -> registrations.NamedWeights:
    """Returns which version of a model's weights is wanted."""
    spec = stored.value
    if not isinstance(spec, dict):
        raise ValueError("named weights that are no table")
    return registrations.NamedWeights(
        model=_field(spec, "model", str), version=_field(spec, "version", int)
    )


def decode_configuration(
    stored: registrations.Stored,
) -> configurations.Configuration:
    """Returns a configuration; raises KeyError or ValueError on a bad one."""
    spec = stored.value
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
    gap_milliseconds = entry.get("gapAimMs")
    return configurations.Route(
        name=entry["name"],
        host=entry["host"].lower(),
        path_prefix=entry["pathPrefix"],
        kind=_repeatability(entry),
        timeout_seconds=_seconds(entry, "timeoutMs")
        or configurations.USUAL_TIMEOUT_SECONDS,
        objective_seconds=_seconds(entry, "targetLatencyMs"),
        urgency=entry.get("priority") or 0,
        shares=shares,
        most_servers=entry.get("maxAttempts") or 1,
        open=bool(entry.get("public")),
        by_prefix=bool(entry.get("sticky")),
        resumable=bool(entry.get("resumable")),
        gap_seconds=None
        if gap_milliseconds is None
        else gap_milliseconds / 1000,
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
        link_bytes=_link_bytes_per_second(engine)
        or _link_bytes_per_second(entry),
    )


def _link_bytes_per_second(entry: dict) -> float | None:
    """Returns bytes in a second of a link given in Mbit/s, or None."""
    megabits_per_second = entry.get("linkMbps")
    return megabits_per_second * 1_000_000 / 8 if megabits_per_second else None


def _limits(entry: dict) -> configurations.ClientLimits:
    defaults = configurations.ClientLimits()
    return configurations.ClientLimits(
        header_bytes=entry.get("maxHeaderBytes") or defaults.header_bytes,
        body_bytes=entry.get("maxBodyBytes") or defaults.body_bytes,
        header_seconds=_seconds(entry, "headerTimeoutMs")
        or defaults.header_seconds,
        idle_seconds=_seconds(entry, "idleTimeoutMs") or defaults.idle_seconds,
    )


def _seconds(entry: dict, name: str) -> float:
    """Returns a field given in milliseconds as seconds; 0 without it."""
    return (entry.get(name) or 0) / 1000


def _repeatability(entry: dict) -> configurations.Repeatability:
    """Returns a route's kind.

    What is not known here is treated as what may run only once: that is true
    of every kind.
    """
    try:
        return configurations.Repeatability(entry.get("kind"))
    except ValueError:
        return configurations.Repeatability.UNSAFE
