"""Messages by which processes keep each other's configuration complete."""

import attrs

from pimentoledge.decisions import stores


@attrs.define(kw_only=True)
class BucketState:
    """A bucket as a node has it.

    Attributes:
        number: the bucket's number.
        digest: digest of its live objects and their versions.
        known: revision up to which it is complete; -1 for not.
    """

    number: int
    digest: int
    known: int


@attrs.define(kw_only=True)
class Changes:
    """Objects that the receiver may lack.

    Attributes:
        objects: newest objects of the store, deleted ones with no value.
        done: buckets that were asked for and that end with this message; the
            receiver has them whole if it comes to the same digest.
    """

    objects: list[stores.Object]
    done: list[BucketState] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Digest:
    """Entry to entry: what I have, in a few numbers; answer with Summary.

    Attributes:
        root: digest of all live objects and their versions.
        known: revision up to which the sender is complete; -1 for not.
        name: the sender's name.
        data_centre: where the sender is.
        watched: seconds since an entry of that data centre last called the
            store for changes, as far as the sender has heard.
        floor: up to this version the sender knows what it does not have to
            be deleted.
    """

    root: int
    known: int
    name: str
    data_centre: str
    watched: float
    floor: int = 0


@attrs.define(kw_only=True)
class Summary:
    """Entry to entry: answer to Digest.

    Attributes:
        root: as in Digest.
        known: as in Digest.
        name: as in Digest.
        data_centre: as in Digest.
        watched: as in Digest.
        buckets: digest of each bucket; empty when the roots are equal.
        whole: number and revision of the buckets that are complete, while
            the sender is not complete itself.
        floor: as in Digest.
        scan: whether the receiver, which lacks objects, shall read the store
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
    """What the sender has in one bucket.

    Attributes:
        number: the bucket's number.
        fingerprints: one for each object and version, deleted ones too.
    """

    number: int
    fingerprints: list[int]


@attrs.define(kw_only=True)
class BucketRequest:
    """Send me what these buckets hold beyond what I list.

    Attributes:
        buckets: what the sender has.
        answer: whether the receiver may ask back for what it lacks itself.
    """

    buckets: list[BucketContents]
    answer: bool = True


@attrs.define(kw_only=True)
class Poll:
    """Agent to entry: this is what I have; tell me what is newer.

    Attributes:
        server: the agent's backend server.
        versions: path and version of the declarations that it goes by.
        held: the buckets that it keeps for entries that restart.
    """

    server: str
    versions: list[tuple[str, int]]
    held: list[BucketState]


@attrs.define(kw_only=True)
class PollAnswer:
    """Entry to agent: answer to Poll, after Changes if there are any.

    Attributes:
        known: revision up to which the entry is complete; -1 for not.
        entries: mailboxes of entries to poll.
        held: the buckets to keep, with the entry's own digests; meaningless
            while `known` is -1.
        runners: how many runners of the agent's model are declared in.
    """

    known: int
    entries: list[str]
    held: list[BucketState]
    runners: int = 0


@attrs.define(kw_only=True)
class StatusRequest:
    """Entry to entry: an operator asks what is in force at you."""


@attrs.define(kw_only=True)
class StatusAnswer:
    """Entry to entry: answer to StatusRequest.

    Attributes:
        name: the sender's name.
        data_centre: where it is.
        version: newest version that it has.
        known: revision up to which it is complete.
        root: digest of all that it has.
        rejected: paths whose newest version it can't read; a few.
        agents: agents that lately polled it.
        behind: names of those that are behind it; a few.
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
