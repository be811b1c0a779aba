"""Keeps local copies of the store's objects up to date."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import attrs
import logbook

from pimentoledge.platform import stores
from pimentoledge.routing import clocks
from pimentoledge.routing import hedged_calls
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import registrations
from pimentoledge.routing import store_states
from pimentoledge.routing import supervised_tasks
from pimentoledge.routing import unanswered_calls

logger = logbook.Logger("watchers")

# Longest wait of a watch. It is long because each call to the store has a cost.
WATCH_SECONDS = 20.0
# Mean backoff between calls to a store that doesn't respond. The jitter is half
# of it either way: without it, routers that start together would be rejected
# together each time.
RETRY_SECONDS = 0.5
# Interval at which a router checks that peers still watch for it.
FOLLOW_SECONDS = 0.1
# Ages of a copy at which a router polls the store, as shares of the allowed
# age, by the rank of the router. A silent watch proves nothing: a call sent
# during an outage, or whose connection the network dropped, is never answered,
# and a router that relied on it missed leaving servers for 22 s. So one router
# polls early, with a call that returns at once. The others poll only if
# heartbeats (0.5 s apart) have not reported that nothing changed. A lost poll
# is sent again within 0.5 s, which leaves at least a twentieth of the allowed
# age.
POLL_SHARES = (0.4, 0.6, 0.7)
# Part of the allowed age for which a response may take to arrive until the same
# content is requested elsewhere.
RECEIVING_SHARE = 0.4
# Interval between checks whether a response is still arriving.
RECEIVING_CHECK_SECONDS = 0.1
# Longest time that a watcher waits for another one to get a response from a
# store that doesn't respond: what rejects calls of one kind need not reject
# those of the others.
FOLLOWER_RETRY_SECONDS = 1.0
# Interval between checks whether peers watch instead of this router.
MAX_WAIT_STEP_SECONDS = 0.5
# Changes within this time are read by one call.
BATCH_SECONDS = 0.05
# A watch that is answered sooner than this may return changes made before it
# was sent; one answered later returns a change as it is made.
LIVE_WATCH_SECONDS = 0.5
# How long the open watch may still answer after a poll found a change: a
# working watch reports the change as well.
WATCH_GRACE_SECONDS = 0.05
# How long after the store's recovery servers whose entries lapsed in the outage
# are kept. Servers rewrite their entries within about two seconds. A server
# that left meanwhile must get no request two seconds after it left, so the rest
# of that time is left for requests in flight.
LAPSE_GRACE_SECONDS = 1.6
# Shortest outage in which an entry may lapse: servers write about 1.2 s apart,
# and an entry lapses after three intervals without a write, so at the earliest
# two intervals after an outage began. If any lost call counted as an outage, a
# server that left while a router's own connection was dead would get requests
# for 1.6 s more, past the allowed time.
MIN_LAPSE_OUTAGE_SECONDS = 2.4


class Watcher:
    """Keeps the copy of one kind of objects up to date, in one task.

    Attributes:
        cache: the copy that it maintains.
        store: the store's client.
        lines: log of changes of the view.
        bound_seconds: returns the allowed age of the copy.
        poll_rank: returns when this router polls, as an index of POLL_SHARES.
        follows: returns whether peers watch the store for this router.
        on_changes: called with changes that the store has returned.
        answers: signals to the watchers of a store that it answered one of
            them.
        arrived: returns the earliest time at which data read at a given time,
            in answer to a call of a given time, may have arrived, which is
            earlier if the process was paused.
        polls_in_outage: whether this watcher retries while the store doesn't
            respond. The others wait until it gets a response, since each call
            has a cost.
        leaves_watch: whether an open watch is given up once peers watch the
            store for this router, for kinds whose changes are large.
        reached: whether the store gave a readable answer to the last call.
        unreadable: whether its answer to the last call can't be read.
        watching: whether a watch of its own is open or was just answered.
        complete_at: send time of the newest call whose response had all changes
            and was applied, in seconds of clocks.now.
        recovered_at: when the store last recovered from an outage in which
            entries may have lapsed, in seconds of clocks.now, or 0.
    """

    def __init__(
        self,
        *,
        cache: object_caches.ObjectCache,
        store: stores.StoreClient,
        lines: log_lines.Lines,
        bound_seconds: Callable[[], float],
        poll_rank: Callable[[], int] = lambda: 0,
        follows: Callable[[], bool] = lambda: False,
        on_changes: Callable[[registrations.Changes], None] = (
            lambda changes: None
        ),
        answers: hedged_calls.AnswerSignal,
        polls_in_outage: bool,
        arrived: Callable[..., float] = lambda now, sent=0.0: now,
    ):
        self.cache = cache
        self.store = store
        self.lines = lines
        self.bound_seconds = bound_seconds
        self.poll_rank = poll_rank
        self.follows = follows
        self.on_changes = on_changes
        self.answers = answers
        self.polls_in_outage = polls_in_outage
        self.arrived = arrived
        self.leaves_watch = False
        self.reached = True
        self.unreadable = False
        self.watching = False
        self.complete_at = 0.0
        self._poll_requested = asyncio.Event()
        self.recovered_at = 0.0
        # The copy's known_at when the first call since the last response was
        # lost, or None.
        self._missing_since: float | None = None
        # Number of retries of the current poll.
        self._poll_repeats = 0
        # Send time of the newest call whose response covers all changes.
        self._complete_at = 0.0
        # Send time of the poll or listing that was answered last.
        self._answered_sent_at = 0.0
        # Result of the newest watch, or None, and its send time.
        self._watch_result: registrations.WatchResult | None = None
        self._watch_sent_at = 0.0
        self._relist = True
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the task."""
        self._task = supervised_tasks.start(
            f"watcher of {self.cache.kind}", self._run()
        )

    def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()

    def is_receiving(self, now: float) -> bool:
        """Returns whether the store's response to a call is arriving."""
        return self.store.is_receiving(
            self.cache.kind, now, RECEIVING_SHARE * self.bound_seconds()
        )

    def state(self) -> store_states.StoreState:
        """Returns what the last call showed of the store."""
        if self.unreadable:
            return store_states.StoreState.UNREADABLE
        if not self.reached:
            return store_states.StoreState.UNREACHED
        if self.cache.revision is None:
            return store_states.StoreState.UNKNOWN
        return store_states.StoreState.CURRENT

    def lapse_ends(self) -> float:
        """Returns until when a missing entry may have lapsed in an outage.

        Entries of servers that could not write during the outage lapse. They
        are written again within about two seconds of the store's recovery.
        """
        return (
            self.recovered_at + LAPSE_GRACE_SECONDS
            if self.recovered_at
            else 0.0
        )

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("defect")
                self._relist = True
                await asyncio.sleep(RETRY_SECONDS)

    def catch_up(self) -> None:
        """Polls the store now, since changes may have been missed."""
        self._poll_requested.set()

    async def _step(self) -> None:
        since = self.cache.revision
        if self._relist or since is None:
            found = await self._list()
        elif not self.reached:
            found = await self._poll()
        elif self.follows():
            found = await self._follow()
        else:
            found = await self._watch(since)
        if found is None:
            return
        if await self._apply(found) and isinstance(
            found, registrations.Changes
        ):
            self.on_changes(found)
        await asyncio.sleep(BATCH_SECONDS)

    async def _watch(self, since: int) -> registrations.WatchResult | None:
        """Waits for changes; polls when the watch may have missed some.

        Returns:
            what a call returned, or None if peers watch instead.
        """
        self.watching = True
        self.lines.write(
            "store_watched",
            kind=self.cache.kind,
            since=since,
            wait_s=WATCH_SECONDS,
            known_age=self._known_age(),
        )
        self._watch_sent_at = clocks.now()
        waiting = asyncio.ensure_future(self._request_changes(WATCH_SECONDS))
        try:
            while not await self._wait_until_poll_due(waiting):
                if self._is_watch_needless(clocks.now()):
                    return None
                found = await self._poll_beside(waiting)
                if found is None:
                    break
                if not _is_unchanged(found):
                    await asyncio.wait({waiting}, timeout=WATCH_GRACE_SECONDS)
                    if not waiting.done():
                        return found
                    break
                await self._apply(found)
            self._watch_result = waiting.result()
            return self._watch_result
        finally:
            waiting.cancel()

    def _wait_step(self, left: float) -> float:
        return min(left, MAX_WAIT_STEP_SECONDS) if self.leaves_watch else left

    def _is_watch_needless(self, now: float) -> bool:
        """Returns whether peers watch, and nothing arrives on this watch."""
        return (
            self.leaves_watch and self.follows() and not self.is_receiving(now)
        )

    async def _poll_beside(
        self, waiting: asyncio.Future
    ) -> registrations.WatchResult | None:
        """Polls; returns None if an open watch brings changes meanwhile.

        The poll would only bring them once more, and later on a slow link.
        """
        polling = asyncio.ensure_future(self._poll())
        try:
            await asyncio.wait(
                {polling, waiting}, return_when=asyncio.FIRST_COMPLETED
            )
            if not polling.done() and isinstance(
                waiting.result(), registrations.Changes
            ):
                return None
            return await polling
        finally:
            polling.cancel()

    async def _request_changes(
        self, seconds: float
    ) -> registrations.WatchResult:
        """Requests the changes since the copy's position.

        A store of another era would return those since a revision that it gave
        out again.
        """
        era, revision = self.cache.position
        # A peer's changes may advance the copy before the response.
        after = self.cache.changed_at
        found = await self.store.watch(self.cache.kind, revision, seconds)
        if not isinstance(found, registrations.Changes):
            return found
        if found.era != era:
            return registrations.HistoryGone(era=found.era)
        return attrs.evolve(found, after=after)

    async def _wait_until_poll_due(self, waiting: asyncio.Future) -> bool:
        """Returns whether a watch ended before a poll became due."""
        requested = asyncio.ensure_future(self._poll_requested.wait())
        try:
            while not waiting.done():
                now = clocks.now()
                left = self._poll_due_at() - now
                if self.is_receiving(now):
                    # A poll would carry the same objects once more.
                    left = max(left, RECEIVING_CHECK_SECONDS)
                if (
                    left <= 0
                    or self._poll_requested.is_set()
                    or self._is_watch_needless(now)
                ):
                    return False
                await asyncio.wait(
                    {waiting, requested},
                    timeout=self._wait_step(left),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            return True
        finally:
            requested.cancel()

    def _poll_due_at(self) -> float:
        """Returns when this router polls next, by the age of its copy."""
        share = POLL_SHARES[self.poll_rank()]
        return self.cache.known_at + share * self.bound_seconds()

    def _known_age(self) -> float:
        return round(clocks.now() - self.cache.known_at, 2)

    async def _poll(
        self,
    ) -> registrations.WatchResult:
        """Requests changes by a call that returns at once."""
        self._poll_requested.clear()
        self._poll_repeats = 0
        sent = clocks.now()
        found = await hedged_calls.first_answer(
            call=self._request_poll,
            overdue=self._poll_overdue,
            failed=self._unanswered,
        )
        if not _is_unchanged(found):
            self.lines.write(
                "store_looked",
                kind=self.cache.kind,
                found=type(found).__name__,
                known_age=self._known_age(),
            )
        if isinstance(found, registrations.Changes):
            self._complete_at = sent
        return found

    async def _request_poll(self) -> registrations.WatchResult:
        """Sends a poll; an idle connection that is dead shows no silence."""
        if not self._poll_repeats:
            self._answered_sent_at = clocks.now()
            return await self._request_changes(0.0)
        return await self._track(self._request_changes(0.0))

    async def _track(self, call: Awaitable[object]) -> object:
        """Makes a call that shows the store's silence if it is lost."""
        with self.answers.unanswered.track(
            self.cache.kind, self.arrived
        ) as tracked:
            found = await call
            if not isinstance(found, registrations.Unavailable):
                self._answered_sent_at = tracked.sent
                tracked.answered = True
            else:
                tracked.answered = not found.overdue
        return found

    async def _poll_overdue(self) -> None:
        """Waits until the poll should be sent again.

        Each kind retries once, since only its own connection may be dead. After
        that the store doesn't respond: only one kind retries, on routers that
        poll before the last ones. The delays don't grow: weights that were
        announced in an outage count as superseded from the last retry before
        the store's recovery, so the time to the next one is lost to runners
        that load them. Idle connections are dropped, since they may be as dead
        as the one used by the poll.
        """
        retries = (
            self.polls_in_outage and self.poll_rank() < len(POLL_SHARES) - 1
        )
        if retries or not self._poll_repeats:
            await self._answer_overdue()
        else:
            await self.answers.next()
        self._poll_repeats += 1
        self._record_missing_answer()
        self.store.forget_connections()

    async def _list(
        self,
    ) -> registrations.Listing | registrations.Unavailable:
        sent = clocks.now()
        found = await hedged_calls.first_answer(
            call=lambda: self._track(self.store.list(self.cache.kind)),
            overdue=self._list_overdue,
            failed=self._unanswered,
        )
        if isinstance(found, registrations.Listing):
            self._complete_at = sent
        return found

    async def _list_overdue(self) -> None:
        """Waits until the listing should be requested again."""
        if self.polls_in_outage:
            await self._answer_overdue()
        else:
            await self.answers.next()

    async def _answer_overdue(self) -> None:
        """Waits until an answer should have arrived.

        Copies of a large answer that is arriving would delay each other.
        """
        await asyncio.sleep(unanswered_calls.OVERDUE_SECONDS)
        while self.is_receiving(clocks.now()):
            await asyncio.sleep(RECEIVING_CHECK_SECONDS)

    def _unanswered(self, unavailable: registrations.Unavailable) -> None:
        """Records that a poll or a listing got no response."""
        self._record_silence(clocks.now())
        self._record_failure(unavailable)

    def _record_silence(self, before: float) -> None:
        """Records when the store was last shown to be silent.

        Args:
            before: when the call was sent that was answered now.
        """
        silent_at = self.answers.unanswered.silent_at(
            self.cache.kind,
            since=self.cache.known_at,
            before=before,
            arrived=self.arrived,
        )
        self.cache.silent_at = max(self.cache.silent_at, silent_at)

    async def _pause(self) -> None:
        """Backs off before the next call to a store that didn't respond.

        The delay grows with the router's rank: peers report to it that the
        store has recovered, and what has changed.
        """
        factor = 1 + self.poll_rank()
        seconds = factor * RETRY_SECONDS * (0.5 + random.random())
        if self.polls_in_outage:
            await asyncio.sleep(seconds)
            return
        try:
            async with asyncio.timeout(
                factor * FOLLOWER_RETRY_SECONDS + seconds
            ):
                await self.answers.next()
        except TimeoutError:
            return

    def _record_failure(self, unavailable: registrations.Unavailable) -> None:
        """Records that a call failed."""
        if self.reached or self.unreadable != unavailable.unreadable:
            self.lines.write(
                "store_unreadable" if unavailable.unreadable else "store_lost",
                kind=self.cache.kind,
                why=unavailable.reason,
            )
        if unavailable.unreadable:
            # The changes that can't be read may no longer be in a listing.
            self._relist = True
        else:
            self._record_missing_answer()
        self.reached = False
        self.unreadable = unavailable.unreadable
        self.watching = False

    def _record_missing_answer(self) -> None:
        """Records when the store's responses began to be missing."""
        if self._missing_since is None:
            self._missing_since = self.cache.known_at

    def _record_answer(self) -> None:
        """Records that the store answered."""
        now = clocks.now()
        if not self.reached:
            self.lines.write("store_back", kind=self.cache.kind)
            self.reached = True
            self.unreadable = False
        if self._missing_since is not None:
            if now - self._missing_since >= MIN_LAPSE_OUTAGE_SECONDS:
                self.recovered_at = now
            self._missing_since = None
        self.answers.answered()

    def _change_age_seconds(self, found: registrations.WatchResult) -> float:
        """Returns the greatest possible age of the received changes.

        A watch is answered when something changes. A poll, a listing or a watch
        that was just sent may return changes made at any time since the copy
        was last complete. The time in which the store answers nobody doesn't
        count, since the bounds on the age of copies don't apply to it.
        """
        now = clocks.now()
        if not self.cache.known_at:
            return 0.0
        arrived = self.arrived(now)
        if found is self._watch_result and (
            arrived - self._watch_sent_at >= LIVE_WATCH_SECONDS
        ):
            return now - arrived
        return now - max(self.cache.known_at, self.cache.silent_at)

    def _log_unreadable(self, reasons: tuple[str, ...]) -> None:
        for why in reasons:
            self.lines.write("unreadable", object=self.cache.kind, why=why)

    async def _follow(
        self,
    ) -> registrations.WatchResult | None:
        """Relies on peers' watches; returns the result of a poll, if any."""
        self.watching = False
        try:
            async with asyncio.timeout(FOLLOW_SECONDS):
                await self._poll_requested.wait()
        except TimeoutError:
            if clocks.now() < self._poll_due_at():
                return None
        return await self._poll()

    async def _apply(self, found: registrations.WatchResult) -> bool:
        """Applies a result; returns whether the copy includes it."""
        match found:
            case registrations.Unavailable():
                self._record_failure(found)
                await self._pause()
                return False
            case registrations.HistoryGone():
                self.lines.write(
                    "history_gone", kind=self.cache.kind, era=found.era
                )
                self._relist = True
                return False
        self._record_answer()
        self._record_silence(
            self._watch_sent_at
            if found is self._watch_result
            else self._answered_sent_at
        )
        self._log_unreadable(found.unreadable)
        if self.cache.is_older(found):
            self._drop(found)
            return False
        if self.cache.revision is not None and found.era != self.cache.era:
            self._begin_era(found)
        self.cache.apply(found, self._change_age_seconds(found))
        self._advance()
        return True

    def _advance(self) -> None:
        """Notes that the copy has all changes of the newest response."""
        self.complete_at = self._complete_at
        self.cache.advance_known_at(self._complete_at)
        self._relist = False

    def _drop(
        self, found: registrations.Listing | registrations.Changes
    ) -> None:
        """Drops a result that a peer's copy has overtaken."""
        self.lines.write(
            "store_result_older",
            kind=self.cache.kind,
            found=type(found).__name__,
            position=found.position,
            held=self.cache.position,
        )
        if found.era == self.cache.era:
            # The copy has all that the result has.
            self._advance()

    def _begin_era(self, found: registrations.Listing) -> None:
        """Notes that the store was restored from an older copy.

        Servers whose entries it lost register again.
        """
        self.recovered_at = clocks.now()
        self.lines.write(
            "store_restored",
            kind=self.cache.kind,
            position=found.position,
            held=self.cache.position,
        )


def _is_unchanged(found: object) -> bool:
    """Returns whether a result shows that nothing changed."""
    if not isinstance(found, registrations.Changes):
        return False
    return not (found.changed or found.removed or found.unreadable)
