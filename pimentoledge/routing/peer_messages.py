"""Messages between routers, numbered for the wire."""

import attrs

from pimentoledge.routing import registrations


@attrs.define(kw_only=True)
class Beat:
    """A heartbeat with what is newest at its sender.

    Attributes:
        counted: most routers that anyone counts, and the count's age in ms.
        wanted: wanted version of each model's weights, and for how many ms
            that has been known.
        servers_revision: up to which it knows the servers, or -1.
        store_reached: whether the store answers it.
        lease_revision: of the lease, or -1.
        lease_holder: its holder.
        lease_ms: for how long that has been known.
        leaving: whether it ends.
        pulse: fencing token of the newest holder that was heard of, and
            number of its newest sign of life; it goes on from router to
            router.
        holding: whether the holder held the lease then.
        loading: servers about to load or loading at that sign of life, with
            ms left.
    """

    counted: tuple[int, int]
    wanted: dict[str, tuple[int, int]]
    servers_revision: int
    store_reached: bool
    lease_revision: int
    lease_holder: str
    lease_ms: int
    leaving: bool
    pulse: tuple[int, int] = (0, 0)
    holding: bool = False
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


@attrs.define(kw_only=True)
class Ages:
    """For how many ms each router was not heard, by mailbox."""

    ages: dict[str, int]


NUMBERS: dict[int, type] = {
    1: Beat,
    2: Wish,
    3: Gift,
    4: Crashed,
    5: Ages,
}
