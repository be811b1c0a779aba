"""Messages of the engine's interface that aren't events of the agent."""

import attrs


@attrs.define(kw_only=True)
class Order:
    """An order to an engine.

    Attributes:
        kind: "load" (weights), "add_adapter", "drop_adapter" or "role".
        value: weights version, adapter or role.
        fencing: the sender's fencing token; an engine that checks orders
            refuses a token below the highest that it has seen.
    """

    kind: str
    value: str
    fencing: int


@attrs.define(kw_only=True)
class OrderAnswer:
    """An engine's answer to an order.

    Attributes:
        accepted: whether it was or will be executed.
        reason: why it was refused: "fenced", "busy", "down" or "unknown".
        highest: highest fencing token that the engine has seen.
    """

    accepted: bool
    reason: str = ""
    highest: int = 0


@attrs.define(kw_only=True)
class CacheEvent:
    """A block was stored in or evicted from the engine's cache.

    Attributes:
        number: consecutive number within an incarnation; a gap means that
            events were lost.
        stored: whether the block was stored (True) or evicted.
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
    """KV cache blocks transferred between two engines.

    Attributes:
        blocks: chained digests, from the start of a prefix.
        data: the cached values; opaque.
        seconds: duration of the transfer at the exporting engine.
    """

    blocks: list[bytes]
    data: bytes = b""
    seconds: float = 0.0
