"""Messages that replicate the configuration between processes."""

import attrs

from pimentoledge.decisions import stores


@attrs.define(kw_only=True)
class BucketState:
    """A node's state of a bucket.

    Attributes:
        number: the bucket's number.
        digest: digest of its live objects and their versions.
        known: revision up to which it is complete; -1 if it is incomplete.
    """

    number: int
    digest: int
    known: int


@attrs.define(kw_only=True)
class Changes:
    """Objects that the receiver may lack.

    Attributes:
        objects: newest objects of the store; deleted ones have no value.
        done: requested buckets of which this message contains the last
            objects; the receiver's copy is complete if its digest is equal.
    """

    objects: list[stores.Object]
    done: list[BucketState] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Digest:
    """Entry to entry: digest of the sender's objects; the reply is Summary.

    Attributes:
        root: digest of all live objects and their versions.
        known: revision up to which the sender is complete; -1 if it is
            incomplete.
        name: the sender's name.
        data_centre: the sender's data centre.
        watched: seconds since an entry of that data centre last called the
            store for changes, as far as the sender knows.
        floor: an object that the sender lacks was deleted if its version is
            not above this one.
    """

    root: int
    known: int
    name: str
    data_centre: str
    watched: float
    floor: int = 0


@attrs.define(kw_only=True)
class Summary:
    """Entry to entry: reply to Digest.

    Attributes:
        root: as in Digest.
        known: as in Digest.
        name: as in Digest.
        data_centre: as in Digest.
        watched: as in Digest.
        buckets: digest of each bucket; empty when the roots are equal.
        whole: numbers and revisions of the complete buckets, if the sender
            itself is incomplete.
        floor: as in Digest.
        scan: whether the receiver, which lacks objects, must read the store
            for its data centre.
    """

    root: int
    known: int
    name: str
    data_centre: str
    watched: float
    buckets: list[int] = attrs.field(factory=list)
    whole: list[tuple[int, int]] = attrs.field(factory=list)
    floor: int = 0
    scan: bool = False


@attrs.define(kw_only=True)
class BucketContents:
    """The sender's objects in a bucket.

    Attributes:
        number: the bucket's number.
        fingerprints: one for each object and version, also of deleted ones.
    """

    number: int
    fingerprints: list[int]


@attrs.define(kw_only=True)
class BucketRequest:
    """Requests the objects in some buckets that the sender lacks.

    Attributes:
        buckets: the sender's objects in these buckets.
        answer: whether the receiver may in turn request objects that it lacks.
    """

    buckets: list[BucketContents]
    answer: bool = True


@attrs.define(kw_only=True)
class Poll:
    """Agent to entry: requests the changes since the agent's versions.

    Attributes:
        server: the agent's backend server.
        versions: paths and versions of the declarations that the agent uses.
        held: the buckets that it stores for entries that restart.
    """

    server: str
    versions: list[tuple[str, int]]
    held: list[BucketState]


@attrs.define(kw_only=True)
class PollAnswer:
    """Entry to agent: reply to Poll, sent after Changes if there are any.

    Attributes:
        known: revision up to which the entry is complete; -1 if it is
            incomplete.
        entries: mailboxes of the entries to poll.
        held: the buckets to store, with the entry's own digests; invalid if
            `known` is -1.
        runners: number of runners of the agent's model that are declared in.
    """

    known: int
    entries: list[str]
    held: list[BucketState]
    runners: int = 0


@attrs.define(kw_only=True)
class StatusRequest:
    """Entry to entry: requests the receiver's status for an operator."""


@attrs.define(kw_only=True)
class StatusAnswer:
    """Entry to entry: reply to StatusRequest.

    Attributes:
        name: the sender's name.
        data_centre: the sender's data centre.
        version: newest version that it has.
        known: revision up to which it is complete.
        root: digest of all its objects.
        rejected: some of the paths whose newest version it can't read.
        agents: number of agents that polled it recently.
        behind: names of some agents with older versions than its own.
    """

    name: str
    data_centre: str
    version: int
    known: int
    root: int
    rejected: list[str]
    agents: int
    behind: list[str]


NUMBERS: dict[int, type] = {
    50: Changes,
    51: Digest,
    52: Summary,
    53: BucketRequest,
    54: Poll,
    55: PollAnswer,
    56: StatusRequest,
    57: StatusAnswer,
}
