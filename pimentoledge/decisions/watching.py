"""Scans and watches of the store by which an entry follows its changes."""

import random

from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores

WATCH_SECONDS = 10.0
# Pause between two watches, so that one answer carries changes that follow
# each other closely.
PAUSE_SECONDS = 0.1
MIN_RETRY_SECONDS = 0.25
# Bounds the delay of a change after the store was down.
MAX_RETRY_SECONDS = 2.0
# A sweep scans all objects again. Its interval grows with their number, which
# bounds the bytes read per second.
MIN_SWEEP_SECONDS = 10.0
SWEEP_OBJECTS_PER_SECOND = 20.0
# At most this many new objects of one answer are returned; the others are
# applied only.
MAX_FRESH = 65


class Watching:
    """Calls the store for changes, one call at a time beside a sweep.

    Attributes:
        configuration: the configuration that the answers are applied to.
        attempted: time of the last scan or watch, sweeps excluded.
        failures: number of consecutive calls that failed.
    """

    def __init__(
        self,
        *,
        view: configuration.Configuration,
        seed: int,
    ):
        self.configuration = view
        self.attempted = float("-inf")
        self.failures = 0
        self._random = random.Random(seed)
        self._call = ""
        self._sweep = ""
        self._retry = float("-inf")
        self._next_sweep: float | None = None

    def busy(self) -> bool:
        """Returns whether a scan or watch is waiting for its answer."""
        return bool(self._call)

    def due_calls(
        self, now: float, *, watcher: bool, sweeper: bool
    ) -> list[actions.Action]:
        """Returns the calls that are due.

        Args:
            now: the time.
            watcher: whether this node watches the store.
            sweeper: whether this node is the one that sweeps.
        """
        if self.busy():
            self.attempted = now
        calls: list[stores.Call] = []
        if watcher and not self.busy() and now >= self._retry:
            self.attempted = now
            calls.append(self._next_call())
        if watcher and sweeper and self._sweep_due(now):
            self._sweep = self._new_id("sweep")
            calls.append(
                stores.Scan(call=self._sweep, prefix=declarations.ROOT)
            )
        return [actions.CallStore(call=call) for call in calls]

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[stores.Object] | None:
        """Applies an answer of the store.

        Args:
            answer: the answer.
            now: the time.

        Returns:
            At most MAX_FRESH of the new objects, which are all applied; None
            when the answer is to another component's call or the call failed.
        """
        if answer.call == self._sweep:
            self._sweep = ""
            self._schedule_sweep(now)
            return self._scanned(answer) if _read(answer) else None
        if answer.call != self._call:
            return None
        scanned = self._call.startswith("scan.")
        self._call = ""
        if not _read(answer):
            self._back_off(now)
            return None
        self.failures = 0
        self._retry = now + PAUSE_SECONDS
        return self._scanned(answer) if scanned else self._watched(answer)

    def next_wake(self, *, watcher: bool, sweeper: bool) -> float | None:
        """Returns when `due_calls` is due next."""
        times = []
        if watcher and not self.busy():
            times.append(self._retry)
        if watcher and sweeper and not self._sweep and self._next_sweep:
            times.append(self._next_sweep)
        return min(times, default=None)

    def _next_call(self) -> stores.Call:
        if not self.configuration.is_complete():
            self._call = self._new_id("scan")
            return stores.Scan(call=self._call, prefix=declarations.ROOT)
        self._call = self._new_id("watch")
        return stores.Watch(
            call=self._call,
            prefix=declarations.ROOT,
            after=self.configuration.known,
            seconds=WATCH_SECONDS,
        )

    def _watched(self, answer: stores.StoreAnswer) -> list[stores.Object]:
        # Not treated as a scan: a late watch answer that arrives after a
        # scan's may contain an object that the scan no longer found.
        fresh = self._apply(answer.objects, from_store=False)
        known = self.configuration.known
        self.configuration.known = max(known, answer.version)
        return fresh

    def _scanned(self, answer: stores.StoreAnswer) -> list[stores.Object]:
        view = self.configuration
        up_to_date = answer.version >= view.floor
        # Detects deletions that a watch dropped: objects that are still in
        # force here and no longer in the store.
        gone = view.missed_deletions(answer.objects, answer.version)
        fresh = self._apply(answer.objects, from_store=up_to_date)
        fresh += self._apply(gone, from_store=False)
        view.raise_floor(answer.version)
        view.known = max(view.known, answer.version)
        return fresh

    def _apply(
        self, objects: list[stores.Object], *, from_store: bool
    ) -> list[stores.Object]:
        view = self.configuration
        fresh = []
        # Popped one by one, so that the records reuse the memory of objects
        # that are already applied. Otherwise a scan of 36,000 objects leaves
        # as much unused memory as the scan itself takes.
        while objects:
            each = objects.pop()
            if not view.is_newer(each, from_store=from_store):
                continue
            view.apply([each], from_store=from_store)
            if len(fresh) < MAX_FRESH:
                fresh.append(each)
        return fresh

    def _back_off(self, now: float) -> None:
        self.failures += 1
        pause = MIN_RETRY_SECONDS * 2 ** min(self.failures - 1, 4)
        pause = min(pause, MAX_RETRY_SECONDS)
        self._retry = now + pause * self._random.uniform(0.5, 1.0)

    def _sweep_due(self, now: float) -> bool:
        if self._sweep:
            return False
        if self._next_sweep is None:
            self._schedule_sweep(now)
        return now >= self._next_sweep

    def _schedule_sweep(self, now: float) -> None:
        size = len(self.configuration.paths) / SWEEP_OBJECTS_PER_SECOND
        self._next_sweep = now + max(MIN_SWEEP_SECONDS, size)

    def _new_id(self, kind: str) -> str:
        return f"{kind}.{self._random.getrandbits(64):016x}"


def _read(answer: stores.StoreAnswer) -> bool:
    found = (stores.Outcome.FOUND, stores.Outcome.ABSENT)
    return answer.outcome in found
