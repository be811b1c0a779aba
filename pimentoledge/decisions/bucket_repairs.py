"""Repairing the difference between two nodes, bucket by bucket."""

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import stores
from pimentoledge.nodes import configuration_messages as messages

# Buckets asked for in one message.
FETCHED_TOGETHER = 16
# Bytes of values in one message.
MESSAGE_BYTES = 200_000
# A node that answered nothing for so long is not waited for.
REPAIR_TIMEOUT_SECONDS = 2.0
# Snapshots that an entry that starts takes at one time.
MAX_SNAPSHOTS = 2

Actions = list[actions.Action]


def bucket_fingerprints(
    view: configuration.Configuration, number: int
) -> messages.Bucket:
    """Returns what a node has in a bucket, as fingerprints."""
    bucket_records = view.records[number]
    fingerprints = [
        configuration.fingerprint(path, record.version)
        for path, record in bucket_records.items()
    ]
    return messages.Bucket(number=number, fingerprints=fingerprints)


def missing(
    view: configuration.Configuration, bucket: messages.Bucket
) -> list[stores.Object]:
    """Returns what another node lacks of a bucket."""
    theirs = set(bucket.fingerprints)
    return [
        each
        for each in view.bucket(bucket.number)
        if configuration.fingerprint(each.path, each.version) not in theirs
    ]


def answers(
    view: configuration.Configuration,
    fetch: messages.Fetch,
    *,
    known: int,
) -> list[messages.Changes]:
    """Returns the answer to a fetch, in messages of a bounded size.

    Args:
        view: where the objects are.
        fetch: what is asked for.
        known: revision up to which those buckets are complete.
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
        messages.Held(
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
        left: bucket numbers still to ask for.
        floor: the other node's floor.
        full: whether every bucket is fetched, with all deletions.
        ends: when it counts as broken off.
    """

    left: list[int]
    floor: int
    full: bool
    ends: float


class BucketRepairs:
    """The repairs of one entry.

    Attributes:
        configuration: what is in force here.
        repairs: Repair by the other node's mailbox.
        whole: while this entry is not complete itself, the revision up to
            which a bucket is, by its number.
    """

    def __init__(self, *, view: configuration.Configuration):
        self.configuration = view
        self.repairs: dict[str, Repair] = {}
        self.whole: dict[int, int] = {}

    def busy(self, now: float) -> bool:
        """Returns whether a repair makes progress."""
        return any(now < each.ends for each in self.repairs.values())

    def snapshots(self, now: float) -> int:
        """Returns how many snapshots make progress."""
        return sum(r.full and now < r.ends for r in self.repairs.values())

    def abandon(self, mailbox: str) -> None:
        """Gives up a repair with a node that can't be reached."""
        self.repairs.pop(mailbox, None)

    def summary(
        self, digest: messages.Digest, about_me: dict[str, object]
    ) -> messages.Summary:
        """Returns the answer to a digest."""
        view = self.configuration
        summary = messages.Summary(**about_me)
        if digest.root != view.root or digest.known == configuration.UNKNOWN:
            summary.buckets = list(view.buckets)
        if not view.is_whole():
            summary.whole = list(self.whole.items())
        return summary

    def compare(self, digest: messages.Digest | messages.Summary) -> None:
        """Learns how far it is complete from a node that has the same."""
        view = self.configuration
        if view.is_whole() and view.root == digest.root:
            view.known = max(view.known, digest.known)
            # What is in neither of the two is gone, as the other one knows.
            view.raise_floor(digest.floor)

    def start(
        self, summary: messages.Summary, sender: str, now: float
    ) -> Actions:
        """Fetches what differs from a node, after its summary."""
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
        full = summary.known >= 0 and not view.is_whole()
        if full and self.snapshots(now) >= MAX_SNAPSHOTS:
            return []
        if full:
            # The digests cover what is live; deletions are wanted too.
            numbers += [
                number
                for number in range(configuration.BUCKETS)
                if number not in self.whole and number not in numbers
            ]
        elif not view.is_whole():
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
        """Goes on after the answer to a fetch has been applied."""
        if not changes.done:
            return []
        self.mark_complete(changes.done)
        repair = self.repairs.get(sender)
        if repair is None:
            return []
        # The other node has restarted since its summary, and now gives what
        # it has, which may be nothing. To raise the floor after that would
        # make all objects count as deleted here, so that no other node's were
        # taken and this entry never became complete.
        if repair.full and any(each.known < 0 for each in changes.done):
            del self.repairs[sender]
            return []
        if repair.left:
            return self._fetch_next(sender, now)
        del self.repairs[sender]
        if repair.full:
            self.configuration.raise_floor(repair.floor)
        return []

    def answer_fetch(self, fetch: messages.Fetch, sender: str) -> Actions:
        """Answers a fetch, and asks back for what is missing here."""
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
        self, held: list[messages.Held], sender: str
    ) -> Actions:
        """Takes from an agent's buckets while this entry is not complete."""
        view = self.configuration
        if view.is_whole():
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

    def mark_complete(self, held: list[messages.Held]) -> None:
        """Notes the buckets that are complete here since another's are."""
        view = self.configuration
        if view.is_whole():
            return
        # The digest is compared, as a message with a part of the bucket may
        # have been lost on the way.
        for each in held:
            if each.known >= 0 and view.buckets[each.number] == each.digest:
                self.whole[each.number] = each.known

    def all_complete(self) -> bool:
        """Returns whether every bucket is complete here."""
        return len(self.whole) == configuration.BUCKETS

    def finish(self) -> None:
        """Makes the configuration complete, once every bucket is."""
        self.configuration.known = min(self.whole.values())
        self.whole.clear()

    def fetch(
        self, mailbox: str, numbers: list[int], *, answer: bool
    ) -> actions.Send:
        """Returns a fetch of some buckets."""
        view = self.configuration
        own = [bucket_fingerprints(view, number) for number in numbers]
        fetch = messages.Fetch(buckets=own, answer=answer)
        return actions.Send(address=mailbox, message=fetch)

    def _fetch_next(self, sender: str, now: float) -> Actions:
        repair = self.repairs[sender]
        numbers = repair.left[:FETCHED_TOGETHER]
        repair.left = repair.left[FETCHED_TOGETHER:]
        repair.ends = now + REPAIR_TIMEOUT_SECONDS
        return [self.fetch(sender, numbers, answer=True)]

    def _is_missing_objects(self, bucket: messages.Bucket) -> bool:
        own = bucket_fingerprints(self.configuration, bucket.number)
        return not set(own.fingerprints).issuperset(bucket.fingerprints)


def _complete_buckets(summary: messages.Summary) -> list[messages.Held]:
    return [
        messages.Held(
            number=number, digest=summary.buckets[number], known=known
        )
        for number, known in summary.whole
    ]
