"""Admission control at the agent of a backend server.

A dispatch runs only if the state that its entry assumed when it sent it
(incarnation, weights, adapters, configuration) is still current. Admitted
work is ordered by priority, then by fair share among organisations, then by
arrival.
"""

import collections

import attrs

from pimentoledge import results
from pimentoledge.decisions import declarations
from pimentoledge.decisions import queues
from pimentoledge.nodes import messages

# Crashes after which content is refused as poison; see quarantine.
POISON_CRASHES = 3
# Bound on the fingerprints in `Admission.remembered`.
MAX_REMEMBERED = 1024
# Bound on the configuration versions kept with the time of their arrival.
MAX_VERSIONS = 64
# Weight of the newest duration in the moving average.
DURATION_WEIGHT = 0.1
# Upper bound on the generated tokens charged to the fair share in advance;
# `FairQueue.correct` replaces the estimate when the answer has ended.
EXPECTED_TOKENS = 256
MIN_RETRY_AFTER = 0.1
MAX_RETRY_AFTER = 30.0

Key = tuple[str, int]


@attrs.define(kw_only=True)
class Admit:
    """The dispatch runs now.

    Attributes:
        pause: running batch attempts to cancel at the engine to free a slot
            for it. The caller calls `Admission.paused` when each has
            stopped.
    """

    pause: list[Key] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Queue:
    """The dispatch is queued.

    `Admission.ready` or `Admission.expired` returns it later.
    """


@attrs.define(kw_only=True)
class Refuse:
    """The attempt is refused and will not be run here.

    Attributes:
        code: reason for the refusal.
        retry_after: seconds after which this server may be tried again.
        dispatch: the refused dispatch.
        sender: mailbox of the entry that sent it.
        started: whether it ran before it was paused. Such an attempt is
            reported as failed, not as "not run".
    """

    code: results.Code
    retry_after: float = 0.0
    dispatch: messages.Dispatch
    sender: str
    started: bool = False


@attrs.define(kw_only=True)
class Ready:
    """A queued dispatch that starts now.

    Attributes:
        dispatch: the dispatch to start.
        sender: mailbox of the entry that sent it.
        resumed: whether it was paused; the engine then continues after the
            text generated before the pause.
    """

    dispatch: messages.Dispatch
    sender: str
    resumed: bool = False


@attrs.define(kw_only=True)
class Running:
    """A dispatch that was handed to the engine.

    Attributes:
        item: the queue item of the dispatch.
        started: time of the start.
        batch: whether it has batch priority.
        aged: whether it got its slot because of its waiting time.
        pausing: whether the engine was ordered to stop it; its slot counts
            as free.
        proved: whether it has generated enough to be unlikely to crash the
            engine; see `agents.PROVED_TOKENS`.
        not_started: whether the engine refused it, so that it can't be the
            cause of a crash.
    """

    item: queues.Item
    started: float
    batch: bool
    aged: bool = False
    pausing: bool = False
    proved: bool = False
    not_started: bool = False


@attrs.define(kw_only=True)
class Crashes:
    """Crash history of some content at this agent.

    Attributes:
        count: engine crashes known to have happened while the content ran,
            here or elsewhere.
        until: expiry time of this record.
        refused_until: until when it is refused though fewer than
            POISON_CRASHES are known: it was the only suspect in the last
            crash that had been a suspect before.
    """

    count: int
    until: float
    refused_until: float = 0.0


class Admission:
    """Decides at one agent what runs, what waits and what is refused.

    Each attempt must be offered only once; `holds` detects duplicates.

    Attributes:
        server: name of the backend server.
        slots: requests that the engine runs at one time.
        reserve: slots kept free of batch work that can't be paused.
        aged_slots: slots that aged batch work may hold at one time.
        pauses: whether the engine can stop batch work and resume it.
        age_seconds: waiting time after which batch work precedes interactive
            work.
        queue_limit: maximum length of the queue of each priority.
        configuration_grace: seconds that an entry may lag behind a
            configuration version known here.
        hold_seconds: how long content is refused after a crash in which it
            was the only content with an earlier crash.
        suspect_seconds: how long the crashes of a suspect are remembered.
        poison_seconds: how long the crashes of poison are remembered.
        running: Running by request and attempt.
        interactive: queue of interactive work.
        batch: queue of batch work.
        dropped: items displaced from a full queue and not yet returned by
            `expired`.
        duration: mean seconds that a request holds a slot; 0 if unknown.
        token_seconds: prefill time of one uncached token, in seconds.
        remembered: Crashes by fingerprint, oldest first.
        versions: configuration versions within the grace period, with the
            time of their arrival.
        required: lowest configuration version accepted from entries.
        now: time of the latest call.
    """

    def __init__(
        self,
        *,
        server: str,
        slots: int,
        reserve: int | None = None,
        pauses: bool = True,
        age_seconds: float = 10.0,
        queue_limit: int = 256,
        configuration_grace: float = 5.0,
        hold_seconds: float = 30.0,
        suspect_seconds: float = 300.0,
        poison_seconds: float = 86400.0,
    ):
        self.server = server
        self.slots = slots
        default = max(1, slots // 8) if slots > 1 else 0
        self.reserve = default if reserve is None else reserve
        self.pauses = pauses
        self.aged_slots = max(1, slots // 8)
        self.age_seconds = age_seconds
        self.queue_limit = queue_limit
        self.configuration_grace = configuration_grace
        self.hold_seconds = hold_seconds
        self.suspect_seconds = suspect_seconds
        self.poison_seconds = poison_seconds
        self.running: dict[Key, Running] = {}
        self.interactive = queues.FairQueue()
        self.batch = queues.FairQueue()
        self.dropped: list[queues.Item] = []
        self.duration = 0.0
        self.token_seconds = 0.0
        self.remembered: dict[bytes, Crashes] = {}
        self.versions: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=MAX_VERSIONS
        )
        self.required = 0
        self.now = 0.0

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return self.interactive.size + self.batch.size

    @property
    def queued_tokens(self) -> int:
        """Uncached prompt tokens of the queued requests."""
        return sum(
            _uncached_tokens(item.dispatch)
            for queue in (self.interactive, self.batch)
            for item in queue
        )

    def holds(self, request: str, attempt: int) -> bool:
        """Returns whether an attempt is running or queued here."""
        return (request, attempt) in self.running or (
            self._waiting(request, attempt) is not None
        )

    def suspects(self) -> list[bytes]:
        """Returns the fingerprints of the attempts in the engine."""
        fingerprints = [
            each.item.dispatch.fingerprint
            for each in self.running.values()
            if not each.not_started
        ]
        return list(dict.fromkeys(each for each in fingerprints if each))

    def offer(
        self,
        dispatch: messages.Dispatch,
        sender: str,
        status: messages.ServerStatus,
        now: float,
    ) -> Admit | Queue | Refuse:
        """Decides on a new dispatch.

        If the queue is full, an item of another organisation may be
        displaced. Call `expired` afterwards, which returns that item.
        """
        self.now = now
        self.token_seconds = status.token_seconds
        self._record_version(status.configuration, now)
        known = self._known_crashes(dispatch.fingerprint, now)
        crashes = max(dispatch.crashes, known.count)
        code = self._find_mismatch(dispatch, status)
        if code is None and known.refused_until > now:
            code = results.Code.POISON
        code = code or self._check_crashes(crashes)
        if code is not None:
            delay = self._slot_wait(1) if code == _BUSY else 0.0
            if code == results.Code.POISON:
                delay = MAX_RETRY_AFTER
            return _refuse(dispatch, sender, code, delay)
        item = queues.Item(
            dispatch=dispatch,
            sender=sender,
            arrived=now,
            deadline=now + dispatch.seconds_left,
            cost=_expected_tokens(dispatch),
            crashes=crashes,
        )
        queue = self._queue(item)
        starts = queue.size == 0 and self._may_start(item)
        victim = self._victim(item) if not starts and not queue.size else None
        starts = starts or victim is not None
        wait = 0.0 if starts else self._wait(dispatch)
        late = now + wait - self._latest_start(item)
        if late > 0 or dispatch.seconds_left <= 0:
            return _refuse(
                dispatch, sender, results.Code.DEADLINE_UNMEETABLE, late
            )
        if starts:
            self._start(item, now)
            return Admit(pause=self._pause(victim))
        queue.push(item)
        if queue.size > self.queue_limit:
            victim = queue.waiting[queue.heaviest()][-1]
            queue.remove(victim)
            if victim is item:
                return _refuse(dispatch, sender, results.Code.OVERLOADED, wait)
            self.dropped.append(victim)
        return Queue()

    def ended(
        self,
        request: str,
        attempt: int,
        now: float,
        *,
        finished: bool = False,
        tokens: int | None = None,
    ) -> None:
        """Frees the slot of an attempt.

        Args:
            request: request id.
            attempt: attempt number.
            now: monotonic seconds.
            finished: whether the engine completed it; its crash record is
                then removed.
            tokens: sum of uncached prompt tokens and generated tokens; None
                if unknown.
        """
        self.now = now
        ended = self.running.pop((request, attempt), None)
        if ended is None:
            return
        if tokens is not None:
            self._queue(ended.item).correct(ended.item, tokens)
        if finished:
            self._update_duration(now - ended.started)
            self.remembered.pop(ended.item.dispatch.fingerprint, None)

    def proved(self, request: str, attempt: int) -> None:
        """Records that an attempt has generated its first tokens.

        Other suspects may then run beside it; otherwise they would wait for
        its whole answer. If it still crashes the engine, the crash also
        counts against each of them.
        """
        proved = self.running.get((request, attempt))
        if proved is not None:
            proved.proved = True

    def not_started(self, request: str, attempt: int) -> None:
        """Records that the engine refused an attempt or was already down."""
        refused = self.running.get((request, attempt))
        if refused is not None:
            refused.not_started = True

    def paused(self, request: str, attempt: int, now: float) -> None:
        """Requeues an attempt that the engine has stopped for a pause.

        It is placed at the front of its organisation's batch work; `ready`
        resumes it.
        """
        self.now = now
        stopped = self.running.pop((request, attempt), None)
        if stopped is not None:
            stopped.item.started = True
            self.batch.push_front(stopped.item)

    def cancel(self, request: str, attempt: int) -> bool:
        """Removes a queued attempt; returns whether it was queued here."""
        item = self._waiting(request, attempt)
        if item is not None:
            self._queue(item).remove(item)
        return item is not None

    def ready(self, now: float) -> list[Ready]:
        """Starts queued work that has a slot and returns it.

        Call this after each `ended` and `offer`.
        """
        self.now = now
        started = []
        while (item := self._next(now)) is not None:
            aged = item is self._find_aged(now)
            self._queue(item).remove(item)
            self._start(item, now, aged=aged)
            started.append(
                Ready(
                    dispatch=item.dispatch,
                    sender=item.sender,
                    resumed=item.started,
                )
            )
        return started

    def expired(self, now: float) -> list[Refuse]:
        """Removes displaced items and items that can't start in time."""
        self.now = now
        refused = [
            self._refuse_queued(item, results.Code.OVERLOADED)
            for item in self.dropped
        ]
        self.dropped.clear()
        for queue in (self.interactive, self.batch):
            late = [item for item in queue if self._latest_start(item) <= now]
            for item in late:
                queue.remove(item)
                code = results.Code.DEADLINE_UNMEETABLE
                refused.append(self._refuse_queued(item, code))
        return refused

    def clear(self) -> list[messages.Dispatch]:
        """Handles an engine crash; returns the queued work that did not run.

        Paused work has run, so it is removed without being returned; the
        caller fails it together with the running work.

        The content that was running is recorded as suspect. This process
        outlives the engine, so it can refuse the content before any entry
        has learned of the crash.
        """
        earlier = dict.fromkeys(self.suspects(), 0)
        for each in self.running.values():
            fingerprint = each.item.dispatch.fingerprint
            if fingerprint in earlier:
                known = max(earlier[fingerprint], each.item.crashes)
                earlier[fingerprint] = known
        repeated = [each for each, known in earlier.items() if known]
        for fingerprint, known in earlier.items():
            refuse = repeated == [fingerprint]
            self._record_crashes(fingerprint, known + 1, refuse=refuse)
        self.running.clear()
        items = self.interactive.clear() + self.batch.clear() + self.dropped
        self.dropped = []
        return [item.dispatch for item in items if not item.started]

    def next_wake(self) -> float | None:
        """Returns when `expired` or `ready` is due next; None for never."""
        times = [
            self._latest_start(item)
            for queue in (self.interactive, self.batch)
            for item in queue
        ]
        oldest = self.batch.oldest()
        if oldest is not None and self._free_slots() > 0:
            aged = oldest.arrived + self.age_seconds
            if aged > self.now:
                times.append(aged)
        return min(times, default=None)

    def _find_mismatch(
        self, dispatch: messages.Dispatch, status: messages.ServerStatus
    ) -> results.Code | None:
        if dispatch.server != self.server:
            return results.Code.WRONG_SERVER
        if not status.incarnation:
            return results.Code.SERVER_DOWN
        if status.leaving:
            return results.Code.SERVER_LEAVING
        if status.loading:
            return results.Code.SERVER_LOADING
        if dispatch.incarnation not in ("", status.incarnation):
            return results.Code.STALE_INCARNATION
        if dispatch.weights not in ("", status.weights):
            return results.Code.STALE_WEIGHTS
        adapter = dispatch.completion.adapter if dispatch.completion else ""
        if adapter and adapter not in status.adapters:
            return results.Code.ADAPTER_NOT_LOADED
        # An entry that receives no configuration changes could apply a
        # contract that was withdrawn. Version 0 means unknown; a version
        # above `required` is accepted, also when this agent lags behind.
        if 0 < dispatch.configuration < self.required:
            return results.Code.STALE_CONFIGURATION
        return None

    def _record_version(self, version: int, now: float) -> None:
        newest = self.versions[-1][0] if self.versions else self.required
        if version > newest:
            self.versions.append((version, now))
        while self.versions:
            version, since = self.versions[0]
            if now - since < self.configuration_grace:
                break
            self.required = version
            self.versions.popleft()

    def _check_crashes(self, crashes: int) -> results.Code | None:
        if crashes >= POISON_CRASHES:
            return results.Code.POISON
        if crashes == 0:
            return None
        running = [
            each.item for each in self.running.values() if not each.proved
        ]
        present = [*running, *self.interactive, *self.batch]
        return _BUSY if any(each.crashes for each in present) else None

    def _known_crashes(self, fingerprint: bytes, now: float) -> Crashes:
        known = self.remembered.get(fingerprint)
        if known is None:
            return Crashes(count=0, until=0.0)
        if known.until <= now:
            del self.remembered[fingerprint]
            return Crashes(count=0, until=0.0)
        return known

    def _record_crashes(
        self, fingerprint: bytes, count: int, *, refuse: bool
    ) -> None:
        poison = count >= POISON_CRASHES
        seconds = self.poison_seconds if poison else self.suspect_seconds
        self.remembered.pop(fingerprint, None)
        self.remembered[fingerprint] = Crashes(
            count=count,
            until=self.now + seconds,
            refused_until=self.now + self.hold_seconds if refuse else 0.0,
        )
        while len(self.remembered) > MAX_REMEMBERED:
            first_expiring = min(
                self.remembered, key=lambda each: self.remembered[each].until
            )
            del self.remembered[first_expiring]

    def _queue(self, item: queues.Item) -> queues.FairQueue:
        return self.batch if _is_batch(item.dispatch) else self.interactive

    def _waiting(self, request: str, attempt: int) -> queues.Item | None:
        for queue in (self.interactive, self.batch):
            for item in queue:
                if item.key() == (request, attempt):
                    return item
        return None

    def _free_slots(self) -> int:
        pausing = sum(each.pausing for each in self.running.values())
        return self.slots - len(self.running) + pausing

    def _victim(self, item: queues.Item) -> Running | None:
        """Returns the batch work to preempt for an interactive item.

        Without preemption an interactive request that finds no free slot
        waits for a whole batch answer instead of one engine step. The
        attempt that started last is chosen because it has the least to
        recompute. Attempts that got their slot by age are never preempted,
        or they would starve.
        """
        if _is_batch(item.dispatch):
            return None
        candidates = [
            each
            for each in self.running.values()
            if each.batch
            and not each.aged
            and not each.pausing
            and self._is_pausable(each.item.dispatch)
        ]
        return max(candidates, key=lambda each: each.started, default=None)

    def _pause(self, victim: Running | None) -> list[Key]:
        if victim is None:
            return []
        victim.pausing = True
        return [victim.item.key()]

    def _may_start(self, item: queues.Item) -> bool:
        free = self._free_slots()
        if not _is_batch(item.dispatch):
            return free > 0
        if self.interactive.size:
            return False
        return free > (0 if self._is_pausable(item.dispatch) else self.reserve)

    def _is_pausable(self, dispatch: messages.Dispatch) -> bool:
        # A plain service can't resume a call, and an attempt with an
        # idempotency key must not be started twice.
        return (
            self.pauses and dispatch.completion is not None and not dispatch.key
        )

    def _find_aged(self, now: float) -> queues.Item | None:
        # Interactive work can fill all slots for hours. Without aging, batch
        # work would wait until it is refused for its deadline.
        oldest = self.batch.oldest()
        if oldest is None or now - oldest.arrived < self.age_seconds:
            return None
        aged_running = sum(each.aged for each in self.running.values())
        return oldest if aged_running < self.aged_slots else None

    def _next(self, now: float) -> queues.Item | None:
        if self._free_slots() <= 0:
            return None
        item = self._find_aged(now) or self.interactive.peek()
        if item is not None:
            return item
        item = self.batch.peek()
        return item if item is not None and self._may_start(item) else None

    def _start(
        self, item: queues.Item, now: float, *, aged: bool = False
    ) -> None:
        self._queue(item).charge(item)
        self.running[item.key()] = Running(
            item=item,
            started=now,
            batch=_is_batch(item.dispatch),
            aged=aged,
        )

    def _update_duration(self, seconds: float) -> None:
        if self.duration == 0.0:
            self.duration = seconds
        self.duration += DURATION_WEIGHT * (seconds - self.duration)

    def _slot_wait(self, ahead: float) -> float:
        return ahead * self.duration / max(1, self.slots)

    def _wait(self, dispatch: messages.Dispatch) -> float:
        ahead = self.interactive.ahead(dispatch)
        if _is_batch(dispatch):
            ahead = self.interactive.size + self.batch.ahead(dispatch)
        return self._slot_wait(ahead + 1)

    def _refuse_queued(self, item: queues.Item, code: results.Code) -> Refuse:
        wait = self._wait(item.dispatch)
        refused = _refuse(item.dispatch, item.sender, code, wait)
        return attrs.evolve(refused, started=item.started)

    def _latest_start(self, item: queues.Item) -> float:
        return (
            item.deadline - _uncached_tokens(item.dispatch) * self.token_seconds
        )


_BUSY = results.Code.SUSPECT_BUSY


def _is_batch(dispatch: messages.Dispatch) -> bool:
    return dispatch.priority == declarations.Priority.BATCH


def _uncached_tokens(dispatch: messages.Dispatch) -> int:
    return max(0, dispatch.prompt_tokens - dispatch.expected_depth)


def _expected_tokens(dispatch: messages.Dispatch) -> int:
    answer = 0
    if dispatch.completion is not None:
        answer = min(dispatch.completion.max_tokens, EXPECTED_TOKENS)
    return max(1, _uncached_tokens(dispatch) + answer)


def _refuse(
    dispatch: messages.Dispatch,
    sender: str,
    code: results.Code,
    retry_after: float,
) -> Refuse:
    if retry_after > 0:
        retry_after = min(max(retry_after, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return Refuse(
        code=code, retry_after=retry_after, dispatch=dispatch, sender=sender
    )
