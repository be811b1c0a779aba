"""Anti-entropy: repairs differences between two nodes bucket by bucket."""

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import stores
from pimentoledge.nodes import configuration_messages as messages

# Buckets requested in one message.
FETCHED_TOGETHER = 16
# Bytes of paths and values after which an answer continues in another message.
MESSAGE_BYTES = 200_000
# A repair ends when the other node has not answered for this long.
REPAIR_TIMEOUT_SECONDS = 2.0
# Concurrent snapshots that a starting entry fetches.
MAX_SNAPSHOTS = 2

Actions = list[actions.Action]


def bucket_fingerprints(
    view: configuration.Configuration, number: int
) -> messages.BucketContents:
    """Returns the fingerprints of a node's objects in a bucket."""
    bucket_records = view.records[number]
    fingerprints = [
        configuration.fingerprint(path, record.version)
        for path, record in bucket_records.items()
    ]
    return messages.BucketContents(number=number, fingerprints=fingerprints)


def missing(
    view: configuration.Configuration, bucket: messages.BucketContents
) -> list[stores.Object]:
    """Returns the objects of a bucket that another node does not have."""
    theirs = set(bucket.fingerprints)
    return [
        each
        for each in view.bucket(bucket.number)
        if configuration.fingerprint(each.path, each.version) not in theirs
    ]


def answers(
    view: configuration.Configuration,
    fetch: messages.BucketRequest,
    *,
    known: int,
) -> list[messages.Changes]:
    """Returns the answer to a fetch, split into messages of bounded size.

    Args:
        view: the configuration that the objects are read from.
        fetch: the requested buckets, with the requester's fingerprints.
        known: revision up to which the requested buckets are complete.
    """
    parts = [messages.Changes(objects=[])]
    size = 0
    for bucket in fetch.buckets:
        for each in missing(view, bucket):
            if size > MESSAGE_BYTES:
                parts.append(messages.Changes(objects=[]))
                size = 0
            parts[-1].objects.append(each)
            size += len(each.value or b"") + len(each.path)
    parts[-1].done = [
        messages.BucketState(
            number=bucket.number,
            digest=view.buckets[bucket.number],
            known=known,
        )
        for bucket in fetch.buckets
    ]
    return parts


@attrs.define(kw_only=True)
class Repair:
    """Buckets that are being fetched from another node.

    Attributes:
        left: numbers of the buckets that are not requested yet.
        floor: the other node's floor.
        full: whether this is a snapshot: every bucket, with all deletions.
        ends: time at which the repair has timed out.
    """

    left: list[int]
    floor: int
    full: bool
    ends: float


class BucketRepairs:
    """The running repairs of one entry.

    Attributes:
        configuration: this entry's configuration.
        repairs: Repair by the other node's mailbox.
        whole: while this entry is not complete, the revision up to which a
            bucket is complete, by bucket number.
    """

    def __init__(self, *, view: configuration.Configuration):
        self.configuration = view
        self.repairs: dict[str, Repair] = {}
        self.whole: dict[int, int] = {}

    def busy(self, now: float) -> bool:
        """Returns whether any repair has not timed out."""
        return any(now < each.ends for each in self.repairs.values())

    def snapshots(self, now: float) -> int:
        """Returns the number of snapshots that have not timed out."""
        return sum(r.full and now < r.ends for r in self.repairs.values())

    def abandon(self, mailbox: str) -> None:
        """Abandons the repair with a node that is unreachable."""
        self.repairs.pop(mailbox, None)

    def summary(
        self, digest: messages.Digest, about_me: dict[str, object]
    ) -> messages.Summary:
        """Returns the answer to a digest."""
        view = self.configuration
        summary = messages.Summary(**about_me)
        if digest.root != view.root or digest.known == configuration.UNKNOWN:
            summary.buckets = list(view.buckets)
        if not view.is_complete():
            summary.whole = list(self.whole.items())
        return summary

    def compare(self, digest: messages.Digest | messages.Summary) -> None:
        """Adopts `known` and the floor of a node with the same objects."""
        view = self.configuration
        if view.is_complete() and view.root == digest.root:
            view.known = max(view.known, digest.known)
            # An object that neither node has was deleted, up to the other
            # node's floor.
            view.raise_floor(digest.floor)

    def start(
        self, summary: messages.Summary, sender: str, now: float
    ) -> Actions:
        """Fetches the buckets that differ from a node's summary."""
        self.compare(summary)
        view = self.configuration
        running = self.repairs.get(sender)
        if running is not None and now < running.ends:
            return []
        numbers = [
            number
            for number, digest in enumerate(summary.buckets)
            if digest != view.buckets[number]
        ]
        full = summary.known >= 0 and not view.is_complete()
        if full and self.snapshots(now) >= MAX_SNAPSHOTS:
            return []
        if full:
            # The digests cover only live objects; a snapshot also needs the
            # deletions.
            numbers += [
                number
                for number in range(configuration.BUCKETS)
                if number not in self.whole and number not in numbers
            ]
        elif not view.is_complete():
            self.mark_complete(_complete_buckets(summary))
        if not numbers:
            return []
        self.repairs[sender] = Repair(
            left=numbers, floor=summary.floor, full=full, ends=now
        )
        return self._fetch_next(sender, now)

    def on_changes(
        self, changes: messages.Changes, sender: str, now: float
    ) -> Actions:
        """Continues a repair after the answer to a fetch was applied."""
        if not changes.done:
            return []
        self.mark_complete(changes.done)
        repair = self.repairs.get(sender)
        if repair is None:
            return []
        # The other node has restarted since its summary and may have sent
        # nothing. Raising the floor would mark all objects as deleted here,
        # so that this entry would accept none from other nodes and never
        # become complete.
        if repair.full and any(each.known < 0 for each in changes.done):
            del self.repairs[sender]
            return []
        if repair.left:
            return self._fetch_next(sender, now)
        del self.repairs[sender]
        if repair.full:
            self.configuration.raise_floor(repair.floor)
        return []

    def answer_fetch(
        self, fetch: messages.BucketRequest, sender: str
    ) -> Actions:
        """Answers a fetch, and fetches the objects that are missing here."""
        view = self.configuration
        todo: Actions = [
            actions.Send(address=sender, message=part)
            for part in answers(view, fetch, known=view.known)
        ]
        lacking = [
            b.number for b in fetch.buckets if self._is_missing_objects(b)
        ]
        if fetch.answer and lacking:
            todo.append(self.fetch(sender, lacking, answer=False))
        return todo

    def fetch_from_agent(
        self, held: list[messages.BucketState], sender: str
    ) -> Actions:
        """Fetches an agent's buckets while this entry is not complete."""
        view = self.configuration
        if view.is_complete():
            return []
        self.mark_complete(held)
        differ = [
            each.number
            for each in held
            if view.buckets[each.number] != each.digest
        ]
        if not differ:
            return []
        return [self.fetch(sender, differ, answer=False)]

    def mark_complete(self, held: list[messages.BucketState]) -> None:
        """Records buckets that equal a complete copy at another node."""
        view = self.configuration
        if view.is_complete():
            return
        # The digest is compared because a message with part of the bucket
        # may have been lost.
        for each in held:
            if each.known >= 0 and view.buckets[each.number] == each.digest:
                self.whole[each.number] = each.known

    def all_complete(self) -> bool:
        """Returns whether every bucket is complete here."""
        return len(self.whole) == configuration.BUCKETS

    def finish(self) -> None:
        """Marks the configuration complete; every bucket must be."""
        self.configuration.known = min(self.whole.values())
        self.whole.clear()

    def fetch(
        self, mailbox: str, numbers: list[int], *, answer: bool
    ) -> actions.Send:
        """Returns the message that fetches some buckets."""
        view = self.configuration
        own = [bucket_fingerprints(view, number) for number in numbers]
        fetch = messages.BucketRequest(buckets=own, answer=answer)
        return actions.Send(address=mailbox, message=fetch)

    def _fetch_next(self, sender: str, now: float) -> Actions:
        repair = self.repairs[sender]
        numbers = repair.left[:FETCHED_TOGETHER]
        repair.left = repair.left[FETCHED_TOGETHER:]
        repair.ends = now + REPAIR_TIMEOUT_SECONDS
        return [self.fetch(sender, numbers, answer=True)]

    def _is_missing_objects(self, bucket: messages.BucketContents) -> bool:
        own = bucket_fingerprints(self.configuration, bucket.number)
        return not set(own.fingerprints).issuperset(bucket.fingerprints)


def _complete_buckets(summary: messages.Summary) -> list[messages.BucketState]:
    return [
        messages.BucketState(
            number=number, digest=summary.buckets[number], known=known
        )
        for number, known in summary.whole
    ]
