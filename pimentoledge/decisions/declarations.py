"""What operators declare: contracts, backend servers, models, services."""

import enum
import hashlib

import attrs
import msgspec
from returns import result

from pimentoledge import results
from pimentoledge.decisions import stores

# How long the answer of a finished call is kept, unless declared.
OUTCOME_SECONDS = 3600.0


class Priority(enum.StrEnum):
    """How a contract's traffic is served when there is a queue."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class ServerKind(enum.StrEnum):
    """What stands behind a backend server's agent."""

    RUNNER = "runner"
    SERVICE = "service"
    KV_CACHE = "kv_cache"


class ServerState(enum.StrEnum):
    """What the operator wants of a backend server."""

    IN = "in"
    LEAVING = "leaving"


@attrs.define(kw_only=True)
class Contract:
    """One organisation's limits, priorities and permissions.

    Attributes:
        organisation: the organisation's name.
        version: the store's version of this object; 0 before it is stored.
        key_digests: hexadecimal BLAKE2b-256 digests of its API keys.
        models: permitted models.
        services: permitted plain services.
        priority: the highest priority its requests may ask for.
        share: weight in the fair share among organisations.
        requests_per_second: rate limit; 0 for none.
        burst: requests that may come at once above the rate.
        concurrency: requests at one time; 0 for no limit.
        deadline_seconds: deadline of a request that names none.
        max_deadline_seconds: the longest deadline a request may name.
    """

    organisation: str
    version: int = 0
    key_digests: list[str] = attrs.field(factory=list)
    models: list[str] = attrs.field(factory=list)
    services: list[str] = attrs.field(factory=list)
    priority: Priority = Priority.INTERACTIVE
    share: float = 1.0
    requests_per_second: float = 0.0
    burst: int = 10
    concurrency: int = 0
    deadline_seconds: float = 60.0
    max_deadline_seconds: float = 600.0


@attrs.define(kw_only=True)
class BackendServer:
    """A declared backend server.

    Attributes:
        name: unique name.
        version: the store's version of this object.
        kind: runner, plain service or KV cache server.
        serves: the model or service that it serves.
        agent: address of its agent's mailbox, as tcp://ip:port.
        data_centre: where it stands.
        state: what the operator wants of it.
        checks_orders: whether it refuses an old fencing number.
        slots: requests that it can run at one time.
        role: a runner's role, "both", "prefill" or "decode".
    """

    name: str
    version: int = 0
    kind: ServerKind = ServerKind.RUNNER
    serves: str
    agent: str
    data_centre: str = ""
    state: ServerState = ServerState.IN
    checks_orders: bool = True
    slots: int = 16
    role: str = "both"


@attrs.define(kw_only=True)
class Model:
    """A declared model.

    Attributes:
        name: the model's name.
        version: the store's version of this object.
        weights: the weights version that its runners should have.
        adapters: adapters that its runners should have.
        concurrent_loads: runners that may load weights at one time.
    """

    name: str
    version: int = 0
    weights: str
    adapters: list[str] = attrs.field(factory=list)
    concurrent_loads: int = 2


@attrs.define(kw_only=True)
class Service:
    """A declared plain service.

    Attributes:
        name: the service's name.
        version: the store's version of this object.
        repeatable_methods: methods whose calls may be repeated; a call with
            any other method needs an idempotency key and runs at most once.
        outcome_seconds: how long the answer of a finished call is kept.
    """

    name: str
    version: int = 0
    repeatable_methods: list[str] = attrs.field(factory=lambda: ["GET", "HEAD"])
    outcome_seconds: float = OUTCOME_SECONDS


@attrs.define(kw_only=True)
class EntryNode:
    """An entry process, declared by itself when it starts.

    Attributes:
        name: unique name.
        version: the store's version of this object.
        mailbox: where other processes reach it, as tcp://ip:port.
        data_centre: where it stands.
    """

    name: str
    version: int = 0
    mailbox: str
    data_centre: str = ""


class Role(enum.StrEnum):
    """What an operator may do; each role includes the ones before it."""

    VIEWER = "viewer"
    EDITOR = "editor"
    ADMIN = "admin"


@attrs.define(kw_only=True)
class Operator:
    """An operator of the administration API.

    Attributes:
        name: unique name.
        version: the store's version of this object.
        role: what the operator may do.
        key_digests: hexadecimal BLAKE2b-256 digests of the operator's keys.
    """

    name: str
    version: int = 0
    role: Role = Role.VIEWER
    key_digests: list[str] = attrs.field(factory=list)


Declaration = Contract | BackendServer | Model | Service | EntryNode | Operator

# Everything that is declared stands below one path, so that one watch sees
# all of it and none of the store's busier kinds.
ROOT = "declared/"

# The path of each kind in the object API; the object's name follows.
PREFIXES: dict[type, str] = {
    Contract: ROOT + "contracts/",
    BackendServer: ROOT + "backend-servers/",
    Model: ROOT + "models/",
    Service: ROOT + "services/",
    EntryNode: ROOT + "entries/",
    Operator: ROOT + "operators/",
}


def key_digest(key: str) -> str:
    """Returns the hexadecimal digest under which a key is kept."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


def name_of(declaration: Declaration) -> str:
    """Returns the name under which a declaration is stored."""
    match declaration:
        case Contract():
            return declaration.organisation
        case _:
            return declaration.name


def path_of(declaration: Declaration) -> str:
    """Returns the path of a declaration in the object API."""
    return PREFIXES[type(declaration)] + name_of(declaration)


def kind_of(path: str) -> type | None:
    """Returns the kind of declaration that stands at a path, if any."""
    for kind, prefix in PREFIXES.items():
        if path.startswith(prefix):
            return kind
    return None


@attrs.frozen(kw_only=True)
class Change:
    """Who made a declaration; stored beside its fields.

    Attributes:
        by: name of the operator.
        at: when, in seconds since 1970.
    """

    by: str
    at: float


def encode(declaration: Declaration, change: Change | None = None) -> bytes:
    """Returns the JSON that is stored for a declaration.

    The version is left out: the store gives it at the write.
    """
    fields = msgspec.to_builtins(declaration)
    del fields["version"]
    if change is not None:
        fields["changed"] = msgspec.to_builtins(change)
    return msgspec.json.encode(fields)


def decode(
    path: str, stored: stores.Object
) -> result.Result[Declaration, results.Error]:
    """Reads a stored declaration; its values are checked by validation.

    Fields that this release does not know are passed over, so that a newer
    release may add some while both run.

    Args:
        path: where it is stored.
        stored: the object; its value must not be None.

    Returns:
        The declaration with the object's version, or an Error that names
        the field.
    """
    kind = kind_of(path)
    if kind is None:
        return _invalid(f"{path}: no kind of declaration is kept here")
    try:
        declaration = msgspec.json.decode(stored.value, type=kind)
    except msgspec.MsgspecError as error:
        return _invalid(f"{path}: {error}")
    if path_of(declaration) != path:
        return _invalid(f"{path}: names {name_of(declaration)!r} inside")
    declaration.version = stored.version
    return result.Success(declaration)


def _invalid(text: str) -> result.Failure:
    code = results.Code.INVALID_DECLARATION
    return result.Failure(results.Error(code=code, text=text))
