"""In-memory fake of the platform's object API, with simulated faults."""

import collections
import threading
import time

import attrs

from pimentoledge.decisions import stores

MAX_VALUE_BYTES = 1 << 20


class TokenBucket:
    """Token bucket with a burst of one second's worth of calls."""

    def __init__(self, *, per_second: float):
        self.per_second = per_second
        self.tokens = per_second
        self.last_refill = None

    def try_acquire(self, now: float) -> bool:
        """Returns whether a call is within the rate; 0 means no limit."""
        if self.per_second <= 0:
            return True
        if self.last_refill is not None:
            gained = (now - self.last_refill) * self.per_second
            self.tokens = min(self.per_second, self.tokens + gained)
        self.last_refill = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@attrs.frozen(kw_only=True)
class Backup:
    """A copy of all objects at a revision."""

    objects: dict[str, stores.Object]
    revision: int


class FakeObjects:
    """A fake object API: versions, conditional writes, scans and watches.

    One counter numbers the writes of all objects. Calls return immediately and
    are thread-safe; a server implements the waiting of watches with `changed`.

    Attributes:
        clock: returns the time in seconds, for the rate limits.
        objects: all objects by path in the order of their last write; a
            deleted one remains as a tombstone with value None.
        revision: version of the last write.
        era: number that rises with each restore.
        changed: condition that is notified after each write and guards all
            other attributes.
        down: whether each call is refused, without effect.
        latency: seconds that the server waits before it executes a call.
        lose_answers: number of following writes that take effect but whose
            answer is lost.
        lose_answers_of: the same for writes of one object, by path.
        lose_requests: number of following writes that are lost before they
            take effect, so that they get no answer either.
        drop_watch_entries: number of following changes that watches omit.
        max_value_bytes: a longer value is refused, without effect.
        write_limiter: rate limit of writes; calls above it are refused.
        read_limiter: rate limit of reads, scans and watches.
        counts: number of calls by kind, including refused ones.
    """

    def __init__(self, *, clock=time.monotonic):
        self.clock = clock
        self.objects: dict[str, stores.Object] = {}
        self.revision = 0
        self.era = 1
        self.changed = threading.Condition()
        self.down = False
        self.latency = 0.0
        self.lose_answers = 0
        self.lose_answers_of = collections.Counter()
        self.lose_requests = 0
        self.drop_watch_entries = 0
        self.max_value_bytes = MAX_VALUE_BYTES
        self.write_limiter = TokenBucket(per_second=0)
        self.read_limiter = TokenBucket(per_second=0)
        self.counts = {"writes": 0, "reads": 0, "scans": 0, "watches": 0}

    def set_rate_limits(
        self, *, writes_per_second: float, reads_per_second: float
    ):
        """Sets the rate limits; 0 means none."""
        with self.changed:
            self.write_limiter = TokenBucket(per_second=writes_per_second)
            self.read_limiter = TokenBucket(per_second=reads_per_second)

    def call(self, call: stores.Call) -> stores.StoreAnswer:
        """Executes a call and returns its answer immediately."""
        with self.changed:
            self._count(call)
            if self.down or not self._within_rate(call):
                return self._answer(call, stores.Outcome.DOWN)
            match call:
                case stores.Read():
                    return self._read(call)
                case stores.Write():
                    return self._write(call)
                case stores.Scan():
                    written = self._written_after(call.prefix, 0)
                    existing = [
                        each for each in written if each.value is not None
                    ]
                    return self._list_answer(call, existing)
                case stores.Watch():
                    return self._watch(call)

    def back_up(self) -> Backup:
        """Returns a copy of all objects."""
        with self.changed:
            return Backup(objects=dict(self.objects), revision=self.revision)

    def restore(self, backup: Backup) -> None:
        """Replaces all objects by a copy; its revisions are given out again."""
        with self.changed:
            self.objects = dict(backup.objects)
            self.revision = backup.revision
            self.era += 1
            self.changed.notify_all()

    def has_changes(self, prefix: str, after: int) -> bool:
        """Returns whether a watch has changes to return; counts no call."""
        return bool(self._written_after(prefix, after))

    def _count(self, call: stores.Call) -> None:
        match call:
            case stores.Read():
                self.counts["reads"] += 1
            case stores.Write():
                self.counts["writes"] += 1
            case stores.Scan():
                self.counts["scans"] += 1
            case stores.Watch():
                self.counts["watches"] += 1

    def _within_rate(self, call: stores.Call) -> bool:
        limiter = (
            self.write_limiter
            if isinstance(call, stores.Write)
            else self.read_limiter
        )
        return limiter.try_acquire(self.clock())

    def _answer(
        self, call, outcome, objects=(), version=0
    ) -> stores.StoreAnswer:
        return stores.StoreAnswer(
            call=call.call,
            outcome=outcome,
            objects=list(objects),
            version=version,
        )

    def _list_answer(self, call, objects) -> stores.StoreAnswer:
        return self._answer(call, stores.Outcome.FOUND, objects, self.revision)

    def _existing(self, path: str) -> stores.Object | None:
        stored = self.objects.get(path)
        if stored is None or stored.value is None:
            return None
        return stored

    def _read(self, call: stores.Read) -> stores.StoreAnswer:
        existing = self._existing(call.path)
        if existing is None:
            return self._answer(call, stores.Outcome.ABSENT)
        return self._answer(
            call, stores.Outcome.FOUND, [existing], existing.version
        )

    def _write(self, call: stores.Write) -> stores.StoreAnswer:
        if len(call.value or b"") > self.max_value_bytes:
            return self._answer(call, stores.Outcome.DOWN)
        if self.lose_requests > 0:
            self.lose_requests -= 1
            return self._answer(call, stores.Outcome.LOST)
        current = self._existing(call.path)
        if call.expected != (current.version if current else 0):
            objects = [current] if current else []
            return self._answer(call, stores.Outcome.CONFLICT, objects)
        self.revision += 1
        self.objects.pop(call.path, None)
        self.objects[call.path] = stores.Object(
            path=call.path,
            version=self.revision,
            value=call.value,
            write_id=call.write_id,
        )
        self.changed.notify_all()
        if self._loses_answer(call.path):
            return self._answer(call, stores.Outcome.LOST)
        return self._answer(call, stores.Outcome.WRITTEN, version=self.revision)

    def _loses_answer(self, path: str) -> bool:
        if self.lose_answers_of[path] > 0:
            self.lose_answers_of[path] -= 1
            return True
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return False

    def _watch(self, call: stores.Watch) -> stores.StoreAnswer:
        written = self._written_after(call.prefix, call.after)
        dropped = min(self.drop_watch_entries, len(written))
        self.drop_watch_entries -= dropped
        return self._list_answer(call, written[dropped:])

    def _written_after(self, prefix: str, after: int) -> list[stores.Object]:
        """Returns objects under a prefix written after a version, in order."""
        written = []
        for each in reversed(self.objects.values()):
            if each.version <= after:
                break
            if each.path.startswith(prefix):
                written.append(each)
        written.reverse()
        return written
