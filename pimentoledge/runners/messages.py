"""What the engine's interface carries, beside the agent's events."""

import attrs


@attrs.define(kw_only=True)
class Order:
    """An order to an engine.

    Attributes:
        kind: "load" (weights), "add_adapter", "drop_adapter" or "role".
        value: weights version, adapter or role.
        fencing: the giver's fencing number; an engine that checks orders
            refuses a number below the highest that it has seen.
    """

    kind: str
    value: str
    fencing: int


@attrs.define(kw_only=True)
class OrderAnswer:
    """An engine's answer to an order.

    Attributes:
        accepted: whether it was or will be carried out.
        reason: why not: "fenced", "busy", "down".
        highest: highest fencing number that the engine has seen.
    """

    accepted: bool
    reason: str = ""
    highest: int = 0


@attrs.define(kw_only=True)
class CacheEvent:
    """A block entered or left the engine's cache.

    Attributes:
        number: grows by one with each event of an incarnation; a gap means
            that events were lost.
        stored: whether it entered or left.
        block: chained digest of the block.
    """

    number: int
    stored: bool
    block: bytes


@attrs.define(kw_only=True)
class CacheEvents:
    """A batch of cache events of one incarnation."""

    incarnation: str
    events: list[CacheEvent]


@attrs.define(kw_only=True)
class KvBlocks:
    """KV cache blocks on their way from one engine to another.

    Attributes:
        blocks: chained digests, from the start of a prefix.
        data: the cached values; opaque.
        seconds: time that the transfer takes at the engine that answers.
    """

    blocks: list[bytes]
    data: bytes = b""
    seconds: float = 0.0
