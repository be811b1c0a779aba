"""Declared objects: contracts, backend servers, models, services and others."""

import enum
import hashlib

import attrs
import msgspec
from returns import result

from pimentoledge import results
from pimentoledge.decisions import stores

# Default time for which the answer of a finished call is kept.
OUTCOME_SECONDS = 3600.0


class Priority(enum.StrEnum):
    """Scheduling class of a contract's requests when they are queued."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class ServerKind(enum.StrEnum):
    """The kind of process that a backend server's agent manages."""

    RUNNER = "runner"
    SERVICE = "service"
    KV_CACHE = "kv_cache"


class ServerState(enum.StrEnum):
    """The declared state of a backend server."""

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
        priority: the highest priority its requests may use.
        share: weight in fair queueing among organisations.
        requests_per_second: rate limit; 0 for none.
        burst: number of requests that may exceed the rate at once.
        concurrency: maximum concurrent requests; 0 for no limit.
        deadline_seconds: default deadline of a request.
        max_deadline_seconds: the longest deadline a request may set.
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
        data_centre: the data centre it runs in.
        state: the declared state.
        checks_orders: whether it rejects orders with an old fencing number.
        slots: number of requests it can run concurrently.
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
        concurrent_loads: number of runners that may load weights
            concurrently.
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
        repeatable_methods: HTTP methods that are safe to retry; a call with
            any other method needs an idempotency key and runs at most once.
        outcome_seconds: how long the answer of a finished call is kept.
    """

    name: str
    version: int = 0
    repeatable_methods: list[str] = attrs.field(factory=lambda: ["GET", "HEAD"])
    outcome_seconds: float = OUTCOME_SECONDS


@attrs.define(kw_only=True)
class EntryNode:
    """An entry process; it writes its own declaration at startup.

    Attributes:
        name: unique name.
        version: the store's version of this object.
        mailbox: address of its mailbox, as tcp://ip:port.
        data_centre: the data centre it runs in.
    """

    name: str
    version: int = 0
    mailbox: str
    data_centre: str = ""


class Role(enum.StrEnum):
    """Permissions of an operator; each role includes the ones before it."""

    VIEWER = "viewer"
    EDITOR = "editor"
    ADMIN = "admin"


@attrs.define(kw_only=True)
class Operator:
    """An operator of the administration API.

    Attributes:
        name: unique name.
        version: the store's version of this object.
        role: the operator's permissions.
        key_digests: hexadecimal BLAKE2b-256 digests of the operator's keys.
    """

    name: str
    version: int = 0
    role: Role = Role.VIEWER
    key_digests: list[str] = attrs.field(factory=list)


Declaration = Contract | BackendServer | Model | Service | EntryNode | Operator

# All declarations share one path prefix, so that a single watch covers them
# and excludes the objects in the store that change more often.
ROOT = "declared/"

# Path prefix of each kind in the object API; the object's name follows it.
PREFIXES: dict[type, str] = {
    Contract: ROOT + "contracts/",
    BackendServer: ROOT + "backend-servers/",
    Model: ROOT + "models/",
    Service: ROOT + "services/",
    EntryNode: ROOT + "entries/",
    Operator: ROOT + "operators/",
}


def key_digest(key: str) -> str:
    """Returns the hexadecimal digest stored for an API key."""
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
    """Returns the declaration class for a path; None if there is none."""
    for kind, prefix in PREFIXES.items():
        if path.startswith(prefix):
            return kind
    return None


@attrs.frozen(kw_only=True)
class Change:
    """Author and time of a change; stored with the declaration's fields.

    Attributes:
        by: name of the operator.
        at: time of the change, in seconds since the Unix epoch.
    """

    by: str
    at: float


def encode(declaration: Declaration, change: Change | None = None) -> bytes:
    """Returns the JSON that is stored for a declaration.

    The version is omitted, since the store assigns it at the write.
    """
    fields = msgspec.to_builtins(declaration)
    del fields["version"]
    if change is not None:
        fields["changed"] = msgspec.to_builtins(change)
    return msgspec.json.encode(fields)


def decode(
    path: str, stored: stores.Object
) -> result.Result[Declaration, results.Error]:
    """Decodes a stored declaration; `validation` checks its values.

    Unknown fields are ignored, so that a newer release can add fields while
    both releases run.

    Args:
        path: the object's path.
        stored: the object; its value must not be None.

    Returns:
        The declaration with the object's version, or an Error that names
        the invalid field.
    """
    kind = kind_of(path)
    if kind is None:
        return _invalid(f"{path}: not the path of a declaration")
    try:
        declaration = msgspec.json.decode(stored.value, type=kind)
    except msgspec.MsgspecError as error:
        return _invalid(f"{path}: {error}")
    if path_of(declaration) != path:
        return _invalid(f"{path}: names {name_of(declaration)!r} in its value")
    declaration.version = stored.version
    return result.Success(declaration)


def _invalid(text: str) -> result.Failure:
    code = results.Code.INVALID_DECLARATION
    return result.Failure(results.Error(code=code, text=text))
