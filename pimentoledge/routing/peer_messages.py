"""Messages between routers, numbered for the wire."""

import attrs

from pimentoledge.routing import registrations
from pimentoledge.routing.quotas import messages as quota_messages


@attrs.define(kw_only=True)
class Heartbeat:
    """A heartbeat with what is newest at its sender.

    Attributes:
        data_centre: where its sender is.
        counted: most routers that anyone counts, and the count's age in ms.
        wanted: wanted version of each model's weights, and for how many ms
            that has been known; all that routers of former builds tell.
        known: by kind of the store's objects, revision of the newest change
            that it knows, and for how many ms nothing has shown that there is
            no newer one; without the kinds that it knows nothing of.
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
        watchers: some of its data centre that watch the servers for others,
            by mailbox, with the age of the last sign of each in ms.
        named: versions of each model's weights that were named, the newest
            last, with how many ms ago each was, and where that time comes
            from, as the number of a Source.
        clock: when its sender started and when it was sent, in ms of the
            sender's clock; zeros from routers of former builds.
        unheard: routers that its sender writes to and doesn't hear any more,
            by mailbox.
    """

    data_centre: str
    counted: tuple[int, int]
    wanted: dict[str, tuple[int, int]]
    known: dict[str, tuple[int, int]]
    store_reached: bool
    lease_revision: int
    lease_holder: str
    lease_ms: int
    leaving: bool
    pulse: tuple[int, int] = (0, 0)
    holding: bool = False
    loading: dict[str, int] = attrs.field(factory=dict)
    watchers: dict[str, int] = attrs.field(factory=dict)
    named: dict[str, list[tuple[int, int, int]]] = attrs.field(factory=dict)
    clock: tuple[int, int] = (0, 0)
    unheard: list[str] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class ListingRequest:
    """Asks for all objects of a kind, which the receiver knows newer."""

    kind: str


@attrs.define(kw_only=True)
class FullListing:
    """All objects of a kind.

    Attributes:
        kind: which kind.
        listing: the objects.
        lapse_ms: for how long yet what is gone may come back.
    """

    kind: str
    listing: registrations.Listing
    lapse_ms: int = 0


@attrs.define(kw_only=True)
class ChangesOffer:
    """Says that its sender has heard of changes of the servers.

    What changed goes only to those that lack it: a neighbour that hears of it
    from ten others gets it once.

    Attributes:
        changed_at: revision of the newest of them.
    """

    changed_at: int


@attrs.define(kw_only=True)
class ChangesRequest:
    """Asks for what was offered."""

    changed_at: int


@attrs.define(kw_only=True)
class WatchedChanges:
    """What a watch of the servers brought.

    It goes on from router to router within a data centre.

    Attributes:
        after: revision of the newest change that the watcher knew before: who
            doesn't know that one has missed something.
        changes: what it brought.
        lapse_ms: for how long yet what is gone may come back.
    """

    after: int
    changes: registrations.Changes
    lapse_ms: int


@attrs.define(kw_only=True)
class CrashReport:
    """Content that was in servers that died.

    Attributes:
        content: fingerprint of the request.
        incarnation: the server that died.
    """

    content: str
    incarnation: str


@attrs.define(kw_only=True)
class HeartbeatAges:
    """For how many ms each router was not heard.

    Attributes:
        ages: by data centre and mailbox.
    """

    ages: dict[str, dict[str, int]]


@attrs.define(kw_only=True)
class LimitReport:
    """Limits that servers have named.

    Attributes:
        limits: by incarnation, requests a second that a server takes of all
            routers together, or -1 if it names no limit any more, and how many
            ms ago that was received.
        clock: as in a heartbeat.
    """

    limits: dict[str, tuple[float, int]]
    clock: tuple[int, int]


@attrs.define(kw_only=True)
class PromptReport:
    """A prompt that was sent to a runner, which will keep its parts.

    Attributes:
        server: the runner, by incarnation.
        namespace: under which the parts are found.
        parts: the parts in order, as name and tokens; the last is shared with
            no other request.
        saved_to: address of the KV cache server that is to keep them, or "".
        read: whether the runner has read them; else it is about to.
    """

    server: str
    namespace: str
    parts: list[tuple[str, int]]
    saved_to: str = ""
    read: bool = False


@attrs.define(kw_only=True)
class LoadReport:
    """What its sender has at servers, and what they said to it.

    Attributes:
        has: by server, requests that have not ended, those of them without
            an event, and prompt tokens yet to be read.
        said: by server, the requests that it said run and wait, its slots,
            and how many ms ago it said so.
        prompts: those sent, or read and saved, since the last report.
        means: by data centre, what a runner of it has in the mean: requests,
            those of them without an event, and prompt tokens yet to be read;
            with the age in ms.
    """

    has: dict[str, tuple[int, int, int]]
    said: dict[str, tuple[int, int, int, int]]
    prompts: list[PromptReport]
    means: dict[str, tuple[float, float, int, int]]


NUMBERS: dict[int, type] = {
    1: Heartbeat,
    2: ListingRequest,
    3: FullListing,
    4: CrashReport,
    5: HeartbeatAges,
    6: WatchedChanges,
    7: ChangesOffer,
    8: ChangesRequest,
    9: LoadReport,
    10: quota_messages.LeaseRights,
    11: quota_messages.RightsLeased,
    12: quota_messages.Acquire,
    13: quota_messages.Acquired,
    14: quota_messages.GiveBack,
    15: LimitReport,
}
