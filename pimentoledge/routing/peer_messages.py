"""Messages between routers, numbered for the wire."""

import attrs

from pimentoledge.routing import registrations


@attrs.define(kw_only=True)
class Beat:
    """A heartbeat with what is newest at its sender.

    Attributes:
        members: mailboxes of the routers that it knows, now and then; else
            none.
        wanted: wanted version of each model's weights, and for how many ms
            that has been known.
        servers_revision: up to which it knows the servers, or -1.
        store_reached: whether the store answers it.
        lease_revision: of the lease, or -1.
        lease_holder: its holder.
        lease_ms: for how long that has been known.
        holds: whether the sender may give orders now.
        leaving: whether it ends.
        loading: servers about to load or loading, with ms left.
    """

    members: list[str]
    wanted: dict[str, tuple[int, int]]
    servers_revision: int
    store_reached: bool
    lease_revision: int
    lease_holder: str
    lease_ms: int
    holds: bool
    leaving: bool
    loading: dict[str, int] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Wish:
    """Asks for all objects of a kind, which the receiver knows newer."""

    kind: str


@attrs.define(kw_only=True)
class Gift:
    """All objects of a kind, as of a revision."""

    kind: str
    revision: int
    objects: list[registrations.Stored]


@attrs.define(kw_only=True)
class Crashed:
    """Content that was in servers that died.

    Attributes:
        content: fingerprint of the request.
        incarnation: the server that died.
    """

    content: str
    incarnation: str


NUMBERS: dict[int, type] = {1: Beat, 2: Wish, 3: Gift, 4: Crashed}
