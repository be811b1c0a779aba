"""Decodes objects of the store into the router's types.

Other writers may store malformed entries, so each field of an entry is
validated, and an invalid one raises ValueError.
"""

from collections.abc import Callable
import math
from typing import Any

from pimentoledge.routing import configurations
from pimentoledge.routing import registrations
from pimentoledge.routing import rollouts

# Whether a backend server is leaving, by state. Other states are rejected,
# because it is unknown how a server handles requests in them.
_DRAINING = "draining"
_LEAVING_BY_STATE = {"ready": False, _DRAINING: True}
# Highest TCP port.
_MAX_PORT = 65535
# Integers are encoded in 64 bits in messages to other routers.
_MAX_INTEGER = 2**63 - 1
_MAX_TEXT_CHARACTERS = 4096


def decode_stored(item: Any, era: int = 0) -> registrations.Stored:
    """Decodes an object of the store; raises ValueError if it is invalid.

    Args:
        item: the decoded JSON.
        era: era of the store in the response that contains it.
    """
    if not isinstance(item, dict):
        raise ValueError("stored object is not a JSON object")
    meta = _field(item, "metadata", dict)
    return registrations.Stored(
        name=_field(meta, "name", str),
        # `rev` is the revision of the last change, `createRev` of the first.
        revision=_field(meta, "rev", int),
        value=item.get("spec"),
        leaving=bool(meta.get("deleting")),
        era=era,
    )


def _field(
    fields: dict,
    name: str,
    kind: type | tuple[type, ...],
    default: Any = None,
) -> Any:
    """Returns a field; raises ValueError if it is missing or of another type.

    Integers that no message can hold and very long texts are refused too. If
    `default` is given, it is returned for a missing or null field.
    """
    value = fields.get(name)
    if value is None and default is not None:
        return default
    # A bool is an int in Python, but is no number on the platform.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ValueError(f"{name} is {value!r}"[:100])
    if isinstance(value, int) and abs(value) > _MAX_INTEGER:
        raise ValueError(f"{name} is beyond 64 bits")
    if isinstance(value, str) and len(value) > _MAX_TEXT_CHARACTERS:
        raise ValueError(f"{name} has {len(value)} characters")
    return value


def decode_registration(
    stored: registrations.Stored,
) -> registrations.Registration:
    """Decodes a backend server's registration; raises ValueError."""
    spec = stored.value
    if not isinstance(spec, dict):
        raise ValueError("server entry is not a JSON object")
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
        # Beside `models`, `version` is that of the server's software.
        software=str(_field(spec, "version", (str, int, float), "")),
    )


def heartbeat_count(stored: registrations.Stored) -> int:
    """Returns the number of heartbeats that a server's entry counts."""
    # In the store, `seq` counts heartbeats; in a report, orders taken.
    return _field(stored.value, "seq", int, 0)


def weights_version(stored: registrations.Stored) -> int:
    """Returns the version in a weights entry; raises ValueError."""
    return decode_named_weights(stored).version


def configuration_version(stored: registrations.Stored) -> int:
    """Returns the version of a configuration; raises ValueError."""
    if not isinstance(stored.value, dict):
        raise ValueError("configuration is not a JSON object")
    return _field(stored.value, "version", int)


def decode_runner_report(body: Any) -> rollouts.RunnerReport:
    """Decodes a runner's report of its state; raises ValueError."""
    if not isinstance(body, dict):
        raise ValueError("report is not a JSON object")
    if not isinstance(body.get("busy"), bool):
        raise ValueError("report has no boolean field busy")
    return rollouts.RunnerReport(
        weights=_weight_versions(_field(body, "models", list)),
        loading=body["busy"],
        # In a report, `seq` counts orders taken; in the store, heartbeats.
        orders_taken=_field(body, "seq", int),
        born=_incarnation_start(body),
        leaving=body.get("state") == _DRAINING,
    )


def _incarnation_start(fields: dict) -> int | None:
    """Returns when a server's incarnation started, or None if not reported."""
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
            raise ValueError("model is not a JSON object")
        versions[_field(model, "name", str)] = _field(model, "version", int)
    return versions


def decode_named_weights(
    stored: registrations.Stored,
) -> registrations.NamedWeights:
    """Decodes the version of a model's weights that is wanted."""
    spec = stored.value
    if not isinstance(spec, dict):
        raise ValueError("weights entry is not a JSON object")
    return registrations.NamedWeights(
        model=_field(spec, "model", str), version=_field(spec, "version", int)
    )


class RouteMemory:
    """Decodes routes; those of the configuration before are decoded once.

    Contents of successive configurations share the entries that didn't change.
    """

    def __init__(self):
        # By the identity of an entry, which is kept so that it stays unique.
        self._known: dict[int, tuple[dict, configurations.Route]] = {}
        self._next: dict[int, tuple[dict, configurations.Route]] = {}

    def decode(self, entry: dict) -> configurations.Route:
        """Decodes a route; raises KeyError or ValueError if invalid."""
        known = self._known.get(id(entry))
        if known is None or known[0] is not entry:
            known = (entry, decode_route(entry))
        self._next[id(entry)] = known
        return known[1]

    def turn(self) -> None:
        """Forgets routes that were not decoded since the last call."""
        self._known, self._next = self._next, {}


def decode_configuration(
    stored: registrations.Stored,
    route: Callable[[dict], configurations.Route] | None = None,
) -> configurations.Configuration:
    """Decodes a configuration; raises KeyError or ValueError if invalid.

    Args:
        stored: the object.
        route: decodes one route; None for decode_route.
    """
    spec = stored.value
    route = route or decode_route
    organisations = spec.get("tenants")
    return configurations.build(
        version=configuration_version(stored),
        routes=[route(each) for each in spec["routes"]],
        organisations=None
        if organisations is None
        else [_organisation(entry) for entry in organisations],
        services=[_service(entry) for entry in spec.get("services") or ()],
        limits=_limits(spec.get("limits") or {}),
    )


def decode_route(entry: dict) -> configurations.Route:
    """Decodes a route; raises KeyError or ValueError if invalid."""
    split = entry.get("trafficSplit")
    if split:
        shares = tuple(
            configurations.ServiceShare(
                service=_field(part, "service", str),
                weight=_amount(part, "weight"),
            )
            for part in split
        )
    else:
        shares = (
            configurations.ServiceShare(
                service=_field(entry, "service", str), weight=1.0
            ),
        )
    if not any(each.weight for each in shares):
        raise ValueError("no service gets a part of the traffic")
    prefix = _field(entry, "pathPrefix", str)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"pathPrefix is {prefix!r}"[:100])
    gap_milliseconds = _amount(entry, "gapAimMs") or None
    return configurations.Route(
        name=_field(entry, "name", str),
        host=_field(entry, "host", str).lower(),
        path_prefix=prefix,
        kind=_repeatability(entry),
        timeout_seconds=_seconds(entry, "timeoutMs")
        or configurations.USUAL_TIMEOUT_SECONDS,
        objective_seconds=_seconds(entry, "targetLatencyMs"),
        urgency=_amount(entry, "priority"),
        shares=shares,
        most_servers=_amount(entry, "maxAttempts") or 1,
        open=bool(entry.get("public")),
        by_prefix=bool(entry.get("sticky")),
        resumable=bool(entry.get("resumable")),
        gap_seconds=None
        if gap_milliseconds is None
        else gap_milliseconds / 1000,
    )


def _organisation(entry: dict) -> configurations.Organisation:
    return configurations.Organisation(
        name=_field(entry, "name", str),
        keys=tuple(_texts(entry, "apiKeys")),
        urgency=None
        if entry.get("priority") is None
        else _amount(entry, "priority"),
        isolated=bool(entry.get("isolated")),
        quota=_quota(entry),
    )


def _quota(entry: dict) -> configurations.Quota | None:
    """Returns an organisation's rate limit; None without a rate or with 0."""
    rate = _amount(entry, "ratePerS")
    if not rate:
        return None
    by_tokens = entry.get("unit") == "tokens"
    return configurations.Quota(
        unit=configurations.Unit.TOKENS
        if by_tokens
        else configurations.Unit.REQUESTS,
        per_second=rate,
        burst=_amount(entry, "burst") or rate,
        plain_tokens=_amount(entry, "plainTokens") or 1,
    )


def _service(entry: dict) -> configurations.Service:
    engine = _field(entry, "engine", dict, {})
    models = _field(engine, "models", list, [])
    return configurations.Service(
        name=_field(entry, "name", str),
        max_connections=_amount(entry, "maxConns"),
        models=tuple(_field(each, "name", str) for each in models),
        slots=_optional_amount(engine, "slots"),
        cache_tokens=_optional_amount(engine, "kvCapacityTokens")
        or _optional_amount(entry, "kvCapacityTokens"),
        cache_address=_optional_text(entry, "kvStore"),
        data_centre=_optional_text(entry, "zone"),
        token_bytes=_optional_amount(engine, "kvBytes"),
        link_bytes=_link_bytes_per_second(engine)
        or _link_bytes_per_second(entry),
    )


def _link_bytes_per_second(entry: dict) -> float | None:
    """Returns a link's bandwidth, which is given in Mbit/s, or None."""
    megabits_per_second = _amount(entry, "linkMbps")
    return megabits_per_second * 1_000_000 / 8 if megabits_per_second else None


def _limits(entry: dict) -> configurations.ClientLimits:
    defaults = configurations.ClientLimits()
    return configurations.ClientLimits(
        header_bytes=_amount(entry, "maxHeaderBytes") or defaults.header_bytes,
        body_bytes=_amount(entry, "maxBodyBytes") or defaults.body_bytes,
        header_seconds=_seconds(entry, "headerTimeoutMs")
        or defaults.header_seconds,
        idle_seconds=_seconds(entry, "idleTimeoutMs") or defaults.idle_seconds,
    )


def _optional_amount(entry: dict, name: str) -> float | None:
    """Returns a number that is not negative; None without it."""
    return None if entry.get(name) is None else _amount(entry, name)


def _optional_text(entry: dict, name: str) -> str | None:
    return None if entry.get(name) is None else _field(entry, name, str)


def _seconds(entry: dict, name: str) -> float:
    """Returns a field given in milliseconds as seconds; 0 without it."""
    return _amount(entry, name) / 1000


def _amount(entry: dict, name: str) -> float:
    """Returns a number that is not negative; 0 without it."""
    value = _field(entry, name, (int, float), 0)
    if not 0 <= value < math.inf:
        raise ValueError(f"{name} is {value!r}")
    return value


def _texts(entry: dict, name: str) -> list[str]:
    """Returns a list of texts; empty without it."""
    values = _field(entry, name, list, [])
    if not all(isinstance(each, str) for each in values):
        raise ValueError(f"{name} contains something else than texts")
    return values


def _repeatability(entry: dict) -> configurations.Repeatability:
    """Returns whether requests of a route may be retried.

    Requests of an unknown kind are treated as unsafe to retry, because running
    them at most once is correct for every kind.
    """
    try:
        return configurations.Repeatability(entry.get("kind"))
    except ValueError:
        return configurations.Repeatability.UNSAFE
