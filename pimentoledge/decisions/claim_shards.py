"""One agent's claims in one shard, and its conditional updates.

A shard keeps the newest version of its object that it has read or written
(the base) and the desired state of each key of this life of the agent. Each
write applies all desired states to the object at once, on condition of the
base's version; claims that arrive meanwhile go into the next write. After
each answer the claims are compared with the new base, so conflicts and lost
answers need no separate handling: only the contents of the base count.
"""

import collections.abc
import enum
import random

import attrs
import msgspec

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import claim_records
from pimentoledge.decisions import claim_verdicts
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages

_CALL_SEPARATOR = "#"
_OBJECT_HEADER_BYTES = 32


@attrs.frozen(kw_only=True)
class ClaimBounds:
    """Bounds and intervals of the claims; times in seconds.

    Attributes:
        shards: maximum number of shards that an agent keeps in memory.
        claims: maximum number of unsettled claims of a shard.
        object_bytes: maximum size of an object; the store accepts values up
            to 1 MB.
        answers_bytes: size of an object above which no further answers are
            kept, only records that the calls ran; leaves room for claims.
        answer_bytes: maximum size of a kept answer.
        key_seconds: minimum time for which a key is kept.
        outage_wait: how long a call waits while the store fails.
        write_gap: minimum time between the starts of two writes of a shard;
            it doubles with each failed store call and shrinks again with
            each successful one.
        max_write_gap: maximum of the doubled write gap.
        write_gap_decay: factor by which a successful call shrinks the gap.
        outcome_delay: how long an outcome waits for a claim with which it
            can share a write.
        call_seconds: time after which a store call counts as lost.
    """

    shards: int = 64
    claims: int = 1024
    object_bytes: int = 950_000
    answers_bytes: int = 700_000
    answer_bytes: int = 4096
    key_seconds: float = 86400.0
    outage_wait: float = 2.0
    write_gap: float = 0.02
    max_write_gap: float = 1.0
    write_gap_decay: float = 0.8
    outcome_delay: float = 0.25
    call_seconds: float = 30.0


Output = actions.CallStore | claim_verdicts.Verdict


class Phase(enum.StrEnum):
    """Progress of a claim within this life of the agent."""

    # Waits until its record is durable; the call has not started.
    WANTED = "wanted"
    # Granted; the call may have started.
    RUNNING = "running"
    # The call was answered; the store may not have its outcome yet.
    DONE = "done"
    # The call never started and never will; the store may still hold its
    # record.
    ABANDONED = "abandoned"


@attrs.define(kw_only=True)
class Claim:
    """An unsettled claim of this life of the agent.

    Attributes:
        key: digest of organisation and idempotency key.
        content: digest of the request.
        request: request id.
        attempt: newest attempt of the request.
        token: number of the claim within this life.
        unstarted: tokens of earlier claims of this key by this life whose
            calls never started; this claim may replace their records.
        phase: progress of the claim.
        arrived: when the request arrived.
        deadline: deadline of the request.
        give_up_at: when to stop waiting for the store.
        outcome_seconds: how long to keep the answer.
        write_sent: whether a write with its record was ever sent.
        answer: if DONE, the answer.
        due: if DONE or ABANDONED, when the change should be written.
        notify_release: if ABANDONED, whether the agent needs a Released
            verdict once the key is free.
    """

    key: bytes
    content: bytes
    request: str
    attempt: int
    token: int
    unstarted: frozenset[int] = frozenset()
    phase: Phase = Phase.WANTED
    arrived: float
    deadline: float
    give_up_at: float
    outcome_seconds: float
    write_sent: bool = False
    answer: claim_records.StoredAnswer | None = None
    due: float = 0.0
    notify_release: bool = False

    def deny(
        self, code: results.Code, ran: results.Ran = results.Ran.NOT_RUN
    ) -> claim_verdicts.Denied:
        """Returns a refusal; by default it reports that nothing ran."""
        return claim_verdicts.deny(self.request, self.attempt, code, ran)

    def released(self) -> claim_verdicts.Released:
        """Returns the verdict that the key is free; clears the notification."""
        self.notify_release = False
        return claim_verdicts.Released(
            request=self.request, attempt=self.attempt
        )

    def finished(
        self, answer: claim_records.StoredAnswer | None
    ) -> claim_verdicts.Verdict:
        """Returns the first run's answer, or a refusal if it isn't kept."""
        return claim_verdicts.finished(self.request, self.attempt, answer)


class ShardClaims:
    """The claims of one shard.

    Attributes:
        path: the shard's object in the store.
        life: this life of the agent.
        limits: bounds and intervals.
        counter: source of numbers that are unique within this life, also
            across shards and after this shard is evicted and loaded again.
            With a token used twice, an old record would be mistaken for
            that of the new claim.
        random: source of jitter.
        base: newest known contents of the object, or None. Its records of
            finished calls stay valid when it is out of date.
        current: whether the base is the newest version, as far as known;
            otherwise the object is read before the next write.
        version: version of the base.
        observed_at: when the base was read or written.
        observed_call: number of the store call that returned the base; a
            claim with a smaller token arrived before that call was sent.
        unsettled: unsettled claims by key.
        pending_call: the store call in flight, or None.
        sent_at: when that call was sent.
        call_number: number of that call.
        pending_shard: contents of the object if the write in flight succeeds.
        uncertain_version: expected version of a write whose outcome is
            unknown, or None; until the object has another version, that
            write may still take effect.
        not_before: earliest time of the next store call.
        current_gap: current time between two writes. The store refuses calls
            above its rate limit in the same way as in an outage; since each
            shard adapts its own gap, shards share the rate without
            coordination.
        down_since: when the store began to fail, or None.
    """

    def __init__(
        self,
        *,
        path: str,
        life: str,
        limits: ClaimBounds,
        counter: collections.abc.Iterator[int],
        seed: int,
    ):
        self.path = path
        self.life = life
        self.limits = limits
        self.counter = counter
        self.random = random.Random(seed)
        self.base: claim_records.Shard | None = None
        self.current = False
        self.version = 0
        self.observed_at = 0.0
        self.observed_call = 0
        self.unsettled: dict[bytes, Claim] = {}
        self.pending_call: stores.Read | stores.Write | None = None
        self.sent_at = 0.0
        self.call_number = 0
        self.pending_shard: claim_records.Shard | None = None
        self.uncertain_version: int | None = None
        self.not_before = 0.0
        self.current_gap = limits.write_gap
        self.down_since: float | None = None

    def idle(self) -> bool:
        """Returns whether the shard may be evicted from memory."""
        return (
            not self.unsettled
            and self.pending_call is None
            and self.uncertain_version is None
        )

    def holds(self, request: str) -> bool:
        """Returns whether a request has an unsettled claim here."""
        return self._claim_of(request) is not None

    def claim(
        self,
        dispatch: messages.Dispatch,
        outcome_seconds: float,
        now: float,
    ) -> list[Output]:
        """Claims a request; its verdict is returned now or later."""
        key = claim_records.key_digest(dispatch.organisation, dispatch.key)
        claim = Claim(
            key=key,
            content=claim_records.content_digest(dispatch),
            request=dispatch.request,
            attempt=dispatch.attempt,
            token=next(self.counter),
            arrived=now,
            deadline=now + dispatch.seconds_left,
            give_up_at=now
            + min(dispatch.seconds_left, self.limits.outage_wait),
            outcome_seconds=outcome_seconds,
        )
        outputs: list[Output] = []
        existing = self.unsettled.get(key)
        if existing is not None and existing.phase != Phase.ABANDONED:
            return self._answer_duplicate(claim, existing)
        if existing is not None:
            if existing.notify_release:
                outputs.append(existing.released())
            claim.unstarted = existing.unstarted | {existing.token}
        elif len(self.unsettled) >= self.limits.claims:
            return [claim.deny(results.Code.OVERLOADED)]
        self.unsettled[key] = claim
        outputs += self._settle(now)
        if self._in_outage_backoff(now):
            outputs += self._give_up(claim, now)
        return outputs + self.step(now)

    def finished(
        self,
        request: str,
        answer: claim_records.StoredAnswer | None,
        now: float,
    ) -> list[Output]:
        """Records a granted request's answer; None for one not to be kept."""
        claim = self._claim_of(request)
        if claim is None or claim.phase != Phase.RUNNING:
            return []
        claim.phase = Phase.DONE
        if answer is not None and self._is_storable(answer):
            claim.answer = answer
        claim.due = now + self.limits.outcome_delay
        return self.step(now)

    def failed(
        self, request: str, ran: results.Ran, now: float
    ) -> list[Output]:
        """Records the end of a request that has no answer."""
        claim = self._claim_of(request)
        if claim is None:
            return []
        match claim.phase:
            case Phase.WANTED:
                self._abandon(claim, now)
            case Phase.RUNNING if ran == results.Ran.NOT_RUN:
                self._abandon(claim, now)
                claim.due = now
                claim.notify_release = True
                claim.give_up_at = now + self.limits.outage_wait
            case Phase.RUNNING:
                # The record stays CLAIMED without an outcome: whether the
                # call ran can no longer be found out, so no agent may run
                # it again.
                del self.unsettled[claim.key]
        return self.step(now)

    def answer(self, answer: stores.StoreAnswer, now: float) -> list[Output]:
        """Handles the store's answer to the call in flight."""
        call = self.pending_call
        if call is None or answer.call != call.call:
            return []
        self.pending_call = None
        match answer.outcome:
            case stores.Outcome.DOWN | stores.Outcome.LOST:
                self._store_failed(call, answer.outcome, now)
            case _ if self._apply_answer(answer, now):
                self.current_gap = max(
                    self.limits.write_gap,
                    self.current_gap * self.limits.write_gap_decay,
                )
                self.down_since = None
            case _:
                self._store_failed(call, stores.Outcome.DOWN, now)
        return self.step(now)

    def step(self, now: float) -> list[Output]:
        """Settles claims, handles timeouts and sends the next store call."""
        outputs = self._settle(now)
        for claim in list(self.unsettled.values()):
            if now < claim.give_up_at:
                continue
            outputs += self._give_up(claim, now)
            if claim.notify_release:
                outputs.append(claim.released())
        if (
            self.pending_call is not None
            and now >= self.sent_at + self.limits.call_seconds
        ):
            # An answer that never arrives because of a defect in the store
            # client must not block the shard: the call counts as lost, and a
            # later answer to it is ignored.
            call, self.pending_call = self.pending_call, None
            self._store_failed(call, stores.Outcome.LOST, now)
        if self.pending_call is None and now >= self.not_before:
            outputs += self._call_store(now)
        return outputs

    def next_wake(self) -> float | None:
        """Returns when `step` is due; None if never."""
        times = [
            each.give_up_at
            for each in self.unsettled.values()
            if each.phase == Phase.WANTED or each.notify_release
        ]
        if self.pending_call is not None:
            times.append(self.sent_at + self.limits.call_seconds)
        else:
            due = self._call_due()
            if due is not None:
                times.append(max(due, self.not_before))
        return min(times, default=None)

    def _claim_of(self, request: str) -> Claim | None:
        for claim in self.unsettled.values():
            if claim.request == request:
                return claim
        return None

    def _is_storable(self, answer: claim_records.StoredAnswer) -> bool:
        header_bytes = sum(
            len(name) + len(value) for name, value in answer.headers
        )
        return len(answer.body) + header_bytes <= self.limits.answer_bytes

    def _answer_duplicate(self, claim: Claim, existing: Claim) -> list[Output]:
        """Answers a request whose key has an unsettled claim of this life."""
        if claim.content != existing.content:
            return [claim.deny(results.Code.KEY_REUSED)]
        if existing.phase == Phase.DONE:
            return [claim.finished(existing.answer)]
        return [claim.deny(results.Code.CLAIM_RUNNING, results.Ran.UNKNOWN)]

    def _abandon(self, claim: Claim, now: float) -> None:
        """Abandons a claim whose call never started and now never will."""
        if not claim.write_sent and not claim.unstarted:
            del self.unsettled[claim.key]
            return
        # The store may hold its record, or may get it from a write still in
        # flight. The record is removed, so that a retry at another agent can
        # run; until then this life still treats the key as free.
        claim.phase = Phase.ABANDONED
        claim.due = now + self.limits.outcome_delay

    def _in_outage_backoff(self, now: float) -> bool:
        """Returns whether the store is in an outage and in its backoff."""
        if self.pending_call is not None or now >= self.not_before:
            return False
        return self._in_outage(now)

    def _in_outage(self, now: float) -> bool:
        if self.down_since is None:
            return False
        return now - self.down_since >= self.limits.outage_wait

    def _give_up(self, claim: Claim, now: float) -> list[Output]:
        """Refuses a waiting claim, whatever the outcome of its write.

        The refusal reports "not run". That holds even if a write with the
        record takes effect later: only this life may run the call of that
        record, and the phase set here prevents it from doing so.
        """
        if self.unsettled.get(claim.key) is not claim:
            return []
        if claim.phase != Phase.WANTED:
            return []
        self._abandon(claim, now)
        record = self._conflicting_record(claim)
        if record is not None:
            # Another life has claimed it, and the newest state can't be read.
            code = results.Code.OUTCOME_UNKNOWN
            return [claim.deny(code, results.Ran.UNKNOWN)]
        if now >= claim.deadline:
            return [claim.deny(results.Code.DEADLINE_UNMEETABLE)]
        return [claim.deny(results.Code.CLAIM_STORE_DOWN)]

    def _is_own(
        self, claim: Claim, record: claim_records.ClaimRecord | None
    ) -> bool:
        """Returns whether a record is this claim's or one it may replace."""
        if record is None or record.state != claim_records.State.CLAIMED:
            return False
        if record.life != self.life:
            return False
        return record.token == claim.token or record.token in claim.unstarted

    def _conflicting_record(
        self, claim: Claim
    ) -> claim_records.ClaimRecord | None:
        """Returns the base's record of the key if it is not the claim's own."""
        if self.base is None:
            return None
        record = self.base.records.get(claim.key)
        if record is None or self._is_own(claim, record):
            return None
        return record

    def _settle(self, now: float) -> list[Output]:
        """Compares the claims with the base and returns their verdicts."""
        if self.base is None:
            return []
        outputs: list[Output] = []
        for claim in list(self.unsettled.values()):
            match claim.phase:
                case Phase.WANTED:
                    outputs += self._settle_wanted(claim, now)
                case Phase.DONE:
                    self._settle_done(claim)
                case Phase.ABANDONED:
                    outputs += self._settle_abandoned(claim)
        return outputs

    def _settle_wanted(self, claim: Claim, now: float) -> list[Output]:
        record = self.base.records.get(claim.key)
        conflicting = self._conflicting_record(claim)
        if conflicting is not None:
            return self._settle_conflicting(claim, conflicting)
        if record is None or record.token != claim.token:
            return []
        if now >= claim.deadline:
            # The deadline passed during the write. The entry may already
            # have answered the client, so the call must not start.
            return self._give_up(claim, now)
        claim.phase = Phase.RUNNING
        return [
            claim_verdicts.Granted(request=claim.request, attempt=claim.attempt)
        ]

    def _settle_conflicting(
        self, claim: Claim, record: claim_records.ClaimRecord
    ) -> list[Output]:
        """Answers from the record of another claim, unless it may be stale."""
        running = record.state == claim_records.State.CLAIMED
        elsewhere = running and record.life != self.life
        if elsewhere and self.observed_call < claim.token:
            # Its outcome may have been written since: read again first.
            return []
        del self.unsettled[claim.key]
        if record.content != claim.content:
            return [claim.deny(results.Code.KEY_REUSED)]
        match record.state:
            case claim_records.State.CLAIMED:
                code = results.Code.OUTCOME_UNKNOWN
                return [claim.deny(code, results.Ran.UNKNOWN)]
            case _:
                return [claim.finished(record.answer)]

    def _settle_done(self, claim: Claim) -> None:
        # Any record other than the claim's own settles it: its outcome or,
        # if the record expired, a newer claim that must not be overwritten.
        if self._conflicting_record(claim) is not None:
            del self.unsettled[claim.key]

    def _settle_abandoned(self, claim: Claim) -> list[Output]:
        certain = self.current and self.uncertain_version is None
        if self.pending_call is not None or not certain:
            return []
        if self._is_own(claim, self.base.records.get(claim.key)):
            return []
        del self.unsettled[claim.key]
        return [claim.released()] if claim.notify_release else []

    def _store_failed(
        self,
        call: stores.Read | stores.Write,
        outcome: stores.Outcome,
        now: float,
    ) -> None:
        lost = outcome == stores.Outcome.LOST
        if lost and isinstance(call, stores.Write):
            # The write may have taken effect or may still do so: read the
            # object before anything else.
            self.uncertain_version = call.expected
            self.current = False
        if self.down_since is None:
            self.down_since = self.sent_at
        self.current_gap = min(self.limits.max_write_gap, self.current_gap * 2)
        self.not_before = now + self.current_gap * self.random.uniform(0.5, 1.0)
        if not self._in_outage(now):
            return
        for claim in self.unsettled.values():
            if claim.phase == Phase.WANTED or claim.notify_release:
                claim.give_up_at = now

    def _apply_answer(self, answer: stores.StoreAnswer, now: float) -> bool:
        """Updates the base from an answer; returns False if it is unusable."""
        written, self.pending_shard = self.pending_shard, None
        stored = next(
            (each for each in answer.objects if each.path == self.path), None
        )
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                self._observe(written, answer.version, now)
                self._clear_uncertain_write()
                return True
            case stores.Outcome.CONFLICT if stored is None:
                # The object has changed, but its contents are not included.
                self.current = False
                return True
        return self._apply_object(stored, now)

    def _apply_object(self, stored: stores.Object | None, now: float) -> bool:
        deleted = stored is None or stored.value is None
        if not deleted and stored.version < self.version:
            # A stale read, older than the base: it could lack a claim, so
            # the object is read again.
            return False
        try:
            shard = claim_records.decode(None if deleted else stored.value)
        except (msgspec.MsgspecError, ValueError, TypeError):
            # Not a valid encoding of a shard, so nothing is known of its
            # claims. Calls are refused until an operator repairs the object.
            return False
        version = 0 if deleted else stored.version
        self._observe(shard, version, now)
        if (
            self.uncertain_version is not None
            and version != self.uncertain_version
        ):
            self._clear_uncertain_write()
        return True

    def _observe(
        self, shard: claim_records.Shard, version: int, now: float
    ) -> None:
        self.base = shard
        self.current = True
        self.version = version
        self.observed_at = now
        self.observed_call = self.call_number

    def _clear_uncertain_write(self) -> None:
        self.uncertain_version = None

    def _call_due(self) -> float | None:
        """Returns when the next store call is due; None if never."""
        if self.uncertain_version is not None:
            return self.not_before
        times = []
        for claim in self.unsettled.values():
            match claim.phase:
                case Phase.WANTED:
                    times.append(claim.arrived)
                case Phase.DONE | Phase.ABANDONED:
                    times.append(claim.due)
        return min(times, default=None)

    def _call_store(self, now: float) -> list[Output]:
        due = self._call_due()
        if due is None or now < due:
            return []
        if not self.current or self._needs_read():
            self.pending_call = stores.Read(
                call=self._call_id(), path=self.path
            )
            self.sent_at = now
            return [actions.CallStore(call=self.pending_call)]
        return self._write(now)

    def _needs_read(self) -> bool:
        """Returns whether a waiting claim conflicts with another's record."""
        return any(
            each.phase == Phase.WANTED
            and self._conflicting_record(each) is not None
            for each in self.unsettled.values()
        )

    def _call_id(self) -> str:
        self.call_number = next(self.counter)
        return f"{self.path}{_CALL_SEPARATOR}{self.life}-{self.call_number}"

    def _write(self, now: float) -> list[Output]:
        """Sends one write with the desired records of all claims."""
        outputs: list[Output] = []
        age = self.base.age + max(0.0, now - self.observed_at)
        shard = claim_records.Shard(age=age, records=self._unexpired(age))
        size = shard.size() + _OBJECT_HEADER_BYTES
        for claim in list(self.unsettled.values()):
            before = shard.records.get(claim.key)
            after = self._desired_record(claim, before, age, size)
            growth = _encoded_length(after) - _encoded_length(before)
            wanted = claim.phase == Phase.WANTED
            if wanted and size + growth > self.limits.object_bytes:
                outputs += self._refuse_full(claim, now)
                continue
            if after is None:
                shard.records.pop(claim.key, None)
            else:
                shard.records[claim.key] = after
            size += growth
            claim.write_sent = claim.write_sent or wanted
        call = self._call_id()
        self.pending_call = stores.Write(
            call=call,
            path=self.path,
            value=shard.encode(),
            expected=self.version,
            write_id=f"{self.life}-{self.call_number}",
        )
        self.sent_at = now
        self.not_before = now + self.current_gap
        self.pending_shard = shard
        return [*outputs, actions.CallStore(call=self.pending_call)]

    def _refuse_full(self, claim: Claim, now: float) -> list[Output]:
        self._abandon(claim, now)
        return [claim.deny(results.Code.CLAIMS_FULL)]

    def _desired_record(
        self,
        claim: Claim,
        before: claim_records.ClaimRecord | None,
        age: float,
        size: int,
    ) -> claim_records.ClaimRecord | None:
        """Returns the record to write for a claim's key; None to remove it."""
        own = self._is_own(claim, before)
        if before is not None and not own:
            return before
        match claim.phase:
            case Phase.ABANDONED:
                return None
            case Phase.DONE:
                return self._outcome_record(claim, before, age, size)
            case _ if own and before.token == claim.token:
                return before
            case _:
                return claim_records.ClaimRecord(
                    key=claim.key,
                    content=claim.content,
                    state=claim_records.State.CLAIMED,
                    until=age + self.limits.key_seconds,
                    life=self.life,
                    token=claim.token,
                )

    def _outcome_record(
        self,
        claim: Claim,
        before: claim_records.ClaimRecord | None,
        age: float,
        size: int,
    ) -> claim_records.ClaimRecord:
        if claim.answer is not None:
            record = claim_records.ClaimRecord(
                key=claim.key,
                content=claim.content,
                state=claim_records.State.FINISHED,
                until=age + claim.outcome_seconds,
                answer=claim.answer,
            )
            growth = len(record.encoded) - _encoded_length(before)
            if size + growth <= self.limits.answers_bytes:
                return record
        return self._remembered_record(claim.key, claim.content, age)

    def _remembered_record(
        self, key: bytes, content: bytes, age: float
    ) -> claim_records.ClaimRecord:
        return claim_records.ClaimRecord(
            key=key,
            content=content,
            state=claim_records.State.REMEMBERED,
            until=age + self.limits.key_seconds,
        )

    def _unexpired(self, age: float) -> dict[bytes, claim_records.ClaimRecord]:
        """Returns the base's unexpired records.

        Expired answers are replaced by records without the answer.
        """
        kept = {}
        for key, record in self.base.records.items():
            if record.until > age:
                kept[key] = record
            elif record.state == claim_records.State.FINISHED:
                kept[key] = self._remembered_record(key, record.content, age)
        return kept


def _encoded_length(record: claim_records.ClaimRecord | None) -> int:
    return 0 if record is None else len(record.encoded)


def path_of_call(call: str) -> str:
    """Returns the shard path from the id of a store call."""
    return call.partition(_CALL_SEPARATOR)[0]
