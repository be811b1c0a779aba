"""Messages between routers and their wire numbers."""

import attrs

from pimentoledge.nodes import numbers
from pimentoledge.routing import configuration_histories
from pimentoledge.routing import registrations
from pimentoledge.routing import stream_versions
from pimentoledge.routing.quotas import messages as quota_messages


@attrs.define(kw_only=True)
class Heartbeat:
    """Periodic message with the sender's newest state.

    Attributes:
        data_centre: the sender's data centre.
        counted: highest number of routers that any router counts, and the
            count's age in ms.
        wanted: by model, wanted version of the weights and for how many ms it
            has been known. Older builds send this field only, not `named`.
        known: by kind of stored object, revision of the newest change known,
            and ms since the copy was last confirmed to be current. Kinds
            without a copy are absent.
        eras: by kind of stored object, era of the revision in `known`.
        lease_era: era of `lease_revision`.
        store_reached: whether the store responds to the sender.
        lease_revision: revision of the lease, or -1 if unknown.
        lease_holder: holder of the lease.
        lease_ms: ms for which the lease's state has been known.
        lease_quiet_ms: for how many ms after that write its holder gives no
            order; 0 from older builds.
        leaving: whether the sender is shutting down.
        pulse: fencing token of the newest known lease holder, and sequence
            number of its newest heartbeat; forwarded from router to router.
        holding: whether the holder held the lease at that heartbeat.
        loading: servers loading or about to load at that heartbeat, with ms
            left.
        watchers: some routers of the sender's data centre that watch the
            servers for others, by mailbox, with the age in ms of the newest
            announcement of each.
        named: by model, announced versions of the weights, the newest last,
            each with its age in ms and the origin of that time, as the number
            of a Source.
        named_known: by model, announced versions of the weights, each with the
            ms since some router is known to have had it. Absent from older
            builds.
        records: the sender's log of records and the number of the newest one
            there that it has sent; zeros from older builds.
        clock: when the sender started and when the message was sent, in ms of
            the sender's clock; zeros from older builds.
        unheard: mailboxes of routers to which the sender sends heartbeats but
            from which it no longer receives any.
        configuration_watchers: some routers of the sender's data centre that
            watch the configuration for others, by mailbox, with the age in ms
            of the newest announcement and the bandwidth of the router's link
            in Mbit/s.
    """

    data_centre: str
    counted: tuple[numbers.Number, numbers.Number]
    wanted: dict[str, tuple[numbers.Identifier, numbers.Number]]
    known: dict[str, tuple[numbers.Identifier, numbers.Number]]
    store_reached: bool
    lease_revision: numbers.Identifier
    lease_holder: str
    lease_ms: numbers.Number
    leaving: bool
    pulse: tuple[numbers.Identifier, numbers.Number] = (0, 0)
    holding: bool = False
    loading: dict[str, numbers.Number] = attrs.field(factory=dict)
    watchers: dict[str, numbers.Number] = attrs.field(factory=dict)
    named: dict[str, list[tuple[numbers.Identifier, numbers.Number, int]]] = (
        attrs.field(factory=dict)
    )
    clock: tuple[numbers.Number, numbers.Number] = (0, 0)
    unheard: list[str] = attrs.field(factory=list)
    eras: dict[str, numbers.Identifier] = attrs.field(factory=dict)
    lease_era: numbers.Identifier = 0
    named_known: dict[str, list[tuple[numbers.Identifier, numbers.Number]]] = (
        attrs.field(factory=dict)
    )
    records: tuple[numbers.Identifier, numbers.Number] = (0, 0)
    lease_quiet_ms: numbers.Number = 0
    configuration_watchers: dict[str, tuple[numbers.Number, numbers.Real]] = (
        attrs.field(factory=dict)
    )

    def known_position(self, kind: str) -> tuple[int, int]:
        """Returns era and revision of the newest known change, or (-1, 0)."""
        if kind not in self.known:
            return (-1, 0)
        return self.eras.get(kind, 0), self.known[kind][0]


@attrs.define(kw_only=True)
class ListingRequest:
    """Requests all objects of a kind of which the receiver has a newer copy."""

    kind: str


@attrs.define(kw_only=True)
class FullListing:
    """All objects of a kind.

    Attributes:
        kind: kind of the objects.
        listing: the objects.
        lapse_ms: ms left in which a removed server may still reappear.
    """

    kind: str
    listing: registrations.Listing
    lapse_ms: numbers.Number = 0


@attrs.define(kw_only=True)
class ConfigurationRequest:
    """Requests what the receiver has newer of the configuration.

    Attributes:
        base: digest of the content that the sender has, or "" for none.
    """

    base: str


@attrs.define(kw_only=True)
class ConfigurationUpdate:
    """The sender's configuration, as differences to another content.

    Attributes:
        name: name of the object.
        position: era and revision of the object.
        known_to: era and revision up to which the sender knows all changes.
        steps: the differences in order; the first may have the whole content.
    """

    name: str
    position: tuple[numbers.Identifier, numbers.Identifier]
    known_to: tuple[numbers.Identifier, numbers.Identifier]
    steps: list[configuration_histories.Step]


@attrs.define(kw_only=True)
class StreamsBegan:
    """Streams that the receiver keeps a record of."""

    streams: list[stream_versions.Began]


@attrs.define(kw_only=True)
class StreamVersionQuery:
    """Asks for the software version that began a stream.

    Attributes:
        number: number of the question.
        request: id of the request that brought the stream's first event.
        host: host of its route.
        services: services of its route.
        seconds: for how long a stream may be resumed, or 0 if only a record of
            it is asked for.
    """

    number: numbers.Number
    request: str
    host: str = ""
    services: list[str] = attrs.field(factory=list)
    seconds: numbers.Real = 0.0


@attrs.define(kw_only=True)
class StreamVersionAnswer:
    """Answers a StreamVersionQuery.

    Attributes:
        number: number of the question.
        software: the version, or None if the sender doesn't know it.
        alone: the version that alone has served in that time, or None.
    """

    number: numbers.Number
    software: str | None = None
    alone: str | None = None


@attrs.define(kw_only=True)
class ChangesOffer:
    """Announces that its sender has changes of the servers.

    The changes themselves are sent only on request, so that a neighbour that
    receives ten offers of them fetches them once.

    Attributes:
        changed_at: revision of the newest of the changes.
        era: era of that revision.
    """

    changed_at: numbers.Identifier
    era: numbers.Identifier = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision of the newest of the changes."""
        return self.era, self.changed_at


@attrs.define(kw_only=True)
class ChangesRequest:
    """Requests offered changes.

    Attributes:
        changed_at: the revision in the offer.
        era: era of that revision.
    """

    changed_at: numbers.Identifier
    era: numbers.Identifier = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision in the offer."""
        return self.era, self.changed_at


@attrs.define(kw_only=True)
class WatchedChanges:
    """Changes that a watch of the servers returned.

    Routers of a data centre forward it to each other.

    Attributes:
        after: revision of the newest change that the watcher knew before. A
            receiver whose copy is older than that has missed changes.
        changes: the changes.
        lapse_ms: ms left in which a removed server may still reappear.
    """

    after: numbers.Identifier
    changes: registrations.Changes
    lapse_ms: numbers.Number


@attrs.define(kw_only=True)
class CrashReport:
    """Reports a request that was running on a server that crashed.

    Sent by former builds only; see CrashRecord.

    Attributes:
        content: fingerprint of the request.
        incarnation: the server that crashed.
    """

    content: str
    incarnation: str


@attrs.define(kw_only=True)
class HeartbeatAges:
    """Time since each router's last known heartbeat.

    Attributes:
        ages: in ms, by data centre and mailbox.
    """

    ages: dict[str, dict[str, numbers.Number]]


@attrs.define(kw_only=True)
class LimitReport:
    """Rate limits that servers advertise.

    Attributes:
        limits: by incarnation, requests per second that a server accepts from
            all routers together, or -1 if it no longer advertises a limit,
            and how many ms ago that was received.
        clock: as in a heartbeat.
    """

    limits: dict[str, tuple[numbers.Real, numbers.Number]]
    clock: tuple[numbers.Number, numbers.Number]


@attrs.define(kw_only=True)
class PromptReport:
    """A prompt sent to a runner, whose prefix cache will hold its parts.

    Attributes:
        server: the runner's incarnation.
        namespace: cache namespace of the parts.
        parts: name and number of tokens of each part, in order; the last is
            not shared with any other request.
        saved_to: address of the KV cache server that is to store the parts,
            or "".
        read: whether the runner has finished the prefill of the parts;
            otherwise it is yet to do so.
    """

    server: str
    namespace: str
    parts: list[tuple[str, numbers.Number]]
    saved_to: str = ""
    read: bool = False


@attrs.define(kw_only=True)
class LoadReport:
    """Load that the sender causes at servers, and load that servers report.

    Attributes:
        has: by server, the sender's open requests, those of them without a
            first event, and prompt tokens yet to be prefilled.
        said: by server, the numbers of running and waiting requests and of
            slots that it reported, and the report's age in ms.
        prompts: prompts that were sent, or read and saved, since the last
            report.
        means: by data centre, the mean load of a runner: requests, those of
            them without a first event, and prompt tokens yet to be prefilled;
            with the age in ms.
        slowdowns: slowdown in percent that servers reported with the load in
            `said`; absent from older builds, as are the fields below.
        speeds: the sender's observations of servers' speeds, by incarnation.
        shares: service that organisations received through the sender.
        memory: tokens of memory of the sender's open requests, by incarnation.
        waiting: number of requests that wait at the sender, by service.
        refused: refused requests whose clients may return, by content digest,
            with the ms since their first arrival.
    """

    has: dict[str, tuple[numbers.Number, numbers.Number, numbers.Number]]
    said: dict[
        str,
        tuple[numbers.Number, numbers.Number, numbers.Number, numbers.Number],
    ]
    prompts: list[PromptReport]
    means: dict[
        str, tuple[numbers.Real, numbers.Real, numbers.Number, numbers.Number]
    ]
    slowdowns: dict[str, numbers.Number] = attrs.field(factory=dict)
    speeds: dict[str, tuple[numbers.Number, ...]] = attrs.field(factory=dict)
    shares: list[tuple[str, str, numbers.Number, numbers.Number]] = attrs.field(
        factory=list
    )
    memory: dict[str, numbers.Number] = attrs.field(factory=dict)
    waiting: dict[str, numbers.Number] = attrs.field(factory=dict)
    refused: dict[str, numbers.Number] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class CrashRecord:
    """A server that died while it ran a suspect.

    Attributes:
        content: key of the suspect: the content of a request or a prompt part.
        incarnation: the server.
        age: ms since it died.
        released: whether this doesn't count any more.
        silent: whether the server was only silent.
        depth: place of a part in the prompt, or 0 for content.
    """

    content: str
    incarnation: str
    age: numbers.Number
    released: bool = False
    silent: bool = False
    depth: numbers.Number = 0


@attrs.define(kw_only=True)
class SuccessRecord:
    """A suspect that has run at a server after a crash.

    Attributes:
        subject: key of the suspect.
        age: ms since it was shown to be sound.
    """

    subject: str
    age: numbers.Number


@attrs.define(kw_only=True)
class Records:
    """Some records of the sender's log, as of sending.

    Attributes:
        life: the log.
        after: number after which they begin.
        upto: number up to which they are complete.
        clock: as in a heartbeat.
        crashes: servers that died, and what they ran.
        successes: what has run since.
        watched: ms for which successes have been known, one value at most.
    """

    life: numbers.Identifier
    after: numbers.Number
    upto: numbers.Number
    clock: tuple[numbers.Number, numbers.Number]
    crashes: list[CrashRecord] = attrs.field(factory=list)
    successes: list[SuccessRecord] = attrs.field(factory=list)
    watched: list[numbers.Number] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class RecordsRequest:
    """Requests the records of the receiver's log after a number.

    Attributes:
        life: the log.
        after: the number.
    """

    life: numbers.Identifier
    after: numbers.Number


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
    16: Records,
    17: RecordsRequest,
    18: ConfigurationRequest,
    19: ConfigurationUpdate,
    20: StreamsBegan,
    21: StreamVersionQuery,
    22: StreamVersionAnswer,
}
