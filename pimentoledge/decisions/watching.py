"""Following the store: which calls a watcher makes, and what they tell."""

import random

from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores

WATCH_SECONDS = 10.0
# Changes that come close together are told by one call.
PAUSE_SECONDS = 0.1
SHORTEST_RETRY_SECONDS = 0.25
# Bounds how late a change is heard of after the store was down.
LONGEST_RETRY_SECONDS = 2.0
# A sweep reads everything again. Its pause grows with what there is to read,
# so that its bytes per second are bounded.
SHORTEST_SWEEP_SECONDS = 10.0
SWEEP_OBJECTS_PER_SECOND = 20.0
# New objects of one answer that are returned; the rest is applied and dropped.
MAX_FRESH = 65


class Watching:
    """The calls of one watcher, one at a time beside a sweep.

    Attributes:
        configuration: what is known here.
        attempted: when the store was last called for changes.
        failures: calls in a row that got no answer.
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
        self, now: float, *, duty: bool, sweeper: bool
    ) -> list[actions.Action]:
        """Makes the calls that are due.

        Args:
            now: the time.
            duty: whether this node is one of the watchers.
            sweeper: whether it is the one that sweeps.
        """
        if self.busy():
            self.attempted = now
        calls: list[stores.Call] = []
        if duty and not self.busy() and now >= self._retry:
            self.attempted = now
            calls.append(self._next_call())
        if duty and sweeper and self._sweep_due(now):
            self._sweep = self._new_id("sweep")
            calls.append(
                stores.Scan(call=self._sweep, prefix=declarations.ROOT)
            )
        return [actions.CallStore(call=call) for call in calls]

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[stores.Object] | None:
        """Takes an answer of the store.

        Args:
            answer: the answer.
            now: the time.

        Returns:
            The objects that were new here, now applied, at most MOST_FRESH of
            them; None when the answer is not to a call of this machine or
            brought nothing.
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

    def next_wake(self, *, duty: bool, sweeper: bool) -> float | None:
        """Returns when `due_calls` is due next."""
        times = []
        if duty and not self.busy():
            times.append(self._retry)
        if duty and sweeper and not self._sweep and self._next_sweep:
            times.append(self._next_sweep)
        return min(times, default=None)

    def _next_call(self) -> stores.Call:
        if not self.configuration.is_whole():
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
        # Not as from a scan: a watch's answer that comes late, behind one of
        # a scan, may hold an object that the scan no longer found.
        fresh = self._apply(answer.objects, from_store=False)
        known = self.configuration.known
        self.configuration.known = max(known, answer.version)
        return fresh

    def _scanned(self, answer: stores.StoreAnswer) -> list[stores.Object]:
        view = self.configuration
        up_to_date = answer.version >= view.floor
        # A watch that dropped a deletion shows here: the store no longer has
        # an object that is still in force.
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
        # Taken from the end one by one, so that what is kept of an object
        # goes where the ones before it were: a scan of 36,000 would otherwise
        # leave its own size in unused memory behind.
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
        pause = SHORTEST_RETRY_SECONDS * 2 ** min(self.failures - 1, 4)
        pause = min(pause, LONGEST_RETRY_SECONDS)
        self._retry = now + pause * self._random.uniform(0.5, 1.0)

    def _sweep_due(self, now: float) -> bool:
        if self._sweep:
            return False
        if self._next_sweep is None:
            self._schedule_sweep(now)
        return now >= self._next_sweep

    def _schedule_sweep(self, now: float) -> None:
        size = len(self.configuration.paths) / SWEEP_OBJECTS_PER_SECOND
        self._next_sweep = now + max(SHORTEST_SWEEP_SECONDS, size)

    def _new_id(self, kind: str) -> str:
        return f"{kind}.{self._random.getrandbits(64):016x}"


def _read(answer: stores.StoreAnswer) -> bool:
    found = (stores.Outcome.FOUND, stores.Outcome.ABSENT)
    return answer.outcome in found
