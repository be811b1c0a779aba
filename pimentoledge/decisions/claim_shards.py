"""One agent's claims in one shard, and its conditional updates.

The shard keeps the newest version of its object that it has seen (the base)
and what this life of the agent wants of each key. Each write puts all of
that into the object at once, on condition of the base's version; whatever
comes meanwhile goes into the next write. After each answer the two are
compared again, so a conflict or a lost answer needs no path of its own: what
counts is only what the base says.
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
        shards: shards that one agent holds in memory.
        claims: unsettled claims of one shard.
        object_bytes: largest object; the store takes values up to 1 MB.
        answers_bytes: object size above which no further answer is kept,
            only that the call ran; leaves room for claims.
        answer_bytes: largest answer that is kept.
        key_seconds: how long a key is remembered, at least.
        outage_wait: how long a call waits for a store that fails.
        write_gap: shortest time between the starts of two writes of a
            shard; it doubles with each call that the store refuses, and
            shrinks again with each that it takes.
        max_write_gap: what it grows to at most.
        write_gap_decay: factor by which it shrinks.
        outcome_delay: how long an outcome waits for a claim to share the
            write with.
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
    """How far a claim is in this life."""

    # Waits for its record to be durable; surely not started.
    WANTED = "wanted"
    # Granted; may have been started.
    RUNNING = "running"
    # Has its answer; the store may not have it yet.
    DONE = "done"
    # Never started, and never will be; the store may still hold its record.
    ABANDONED = "abandoned"


@attrs.define(kw_only=True)
class Claim:
    """A key that this life of the agent has to settle.

    Attributes:
        key: digest of organisation and key.
        content: digest of the request.
        request: request id.
        attempt: newest attempt of the request.
        token: number of the claim within this life.
        unstarted: tokens of earlier claims of this key by this life that
            never started; their records may be taken over.
        phase: how far it is.
        arrived: when the request came.
        deadline: when it must have ended.
        give_up: when to stop waiting for the store.
        outcome_seconds: how long to keep its answer.
        proposed: whether a write that holds its record was ever sent.
        answer: DONE: the answer.
        due: DONE and ABANDONED: when the store should be told.
        tell: ABANDONED: whether the agent waits to hear that the key is free.
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
    give_up: float
    outcome_seconds: float
    proposed: bool = False
    answer: claim_records.StoredAnswer | None = None
    due: float = 0.0
    tell: bool = False

    def deny(
        self, code: results.Code, ran: results.Ran = results.Ran.NOT_RUN
    ) -> claim_verdicts.Denied:
        """Returns a refusal; by default one that says that nothing ran."""
        return claim_verdicts.deny(self.request, self.attempt, code, ran)

    def released(self) -> claim_verdicts.Released:
        """Returns word that the key is free, once."""
        self.tell = False
        return claim_verdicts.Released(
            request=self.request, attempt=self.attempt
        )

    def finished(
        self, answer: claim_records.StoredAnswer | None
    ) -> claim_verdicts.Verdict:
        """Returns the answer of the first run, or that it isn't kept."""
        return claim_verdicts.finished(self.request, self.attempt, answer)


class ShardClaims:
    """The claims of one shard.

    Attributes:
        path: the shard's object in the store.
        life: this life of the agent.
        limits: bounds and intervals.
        counter: numbers that are never given twice within this life, also
            not by another shard or after this one was dropped and loaded
            again; a token that came twice would take an old record for new.
        random: source of jitter.
        base: newest contents seen, or None; what it says of a finished call
            stays true, also when it is out of date.
        current: whether the base is the newest version, as far as known;
            otherwise the object is read before the next write.
        version: version of the base.
        observed: when the base was seen.
        observed_by: number of the store call that showed the base; a claim
            with a smaller token came before that call was made.
        unsettled: unsettled claim by key.
        call: the store call that is out, or None.
        sent: when it was sent.
        number: its number.
        proposal: contents that the write being out would leave.
        doubt: version on which a write of unknown fate depends, or None;
            until the object has another version, that write may still take
            effect.
        not_before: earliest time of the next store call.
        gap: time between two writes now. The store refuses what is above
            its rate as it refuses in an outage; shards that each find their
            own gap share the rate without knowing of one another.
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
        self.observed = 0.0
        self.observed_by = 0
        self.unsettled: dict[bytes, Claim] = {}
        self.call: stores.Read | stores.Write | None = None
        self.sent = 0.0
        self.number = 0
        self.proposal: claim_records.Shard | None = None
        self.doubt: int | None = None
        self.not_before = 0.0
        self.gap = limits.write_gap
        self.down_since: float | None = None

    def idle(self) -> bool:
        """Returns whether it may be dropped from memory."""
        return not self.unsettled and self.call is None and self.doubt is None

    def holds(self, request: str) -> bool:
        """Returns whether a request has an unsettled claim here."""
        return self._claim_of(request) is not None

    def claim(
        self,
        dispatch: messages.Dispatch,
        outcome_seconds: float,
        now: float,
    ) -> list[Output]:
        """Takes a request; its verdict comes now or later."""
        key = claim_records.key_digest(dispatch.organisation, dispatch.key)
        claim = Claim(
            key=key,
            content=claim_records.content_digest(dispatch),
            request=dispatch.request,
            attempt=dispatch.attempt,
            token=next(self.counter),
            arrived=now,
            deadline=now + dispatch.seconds_left,
            give_up=now + min(dispatch.seconds_left, self.limits.outage_wait),
            outcome_seconds=outcome_seconds,
        )
        outputs: list[Output] = []
        held = self.unsettled.get(key)
        if held is not None and held.phase != Phase.ABANDONED:
            return self._meet(claim, held)
        if held is not None:
            if held.tell:
                outputs.append(held.released())
            claim.unstarted = held.unstarted | {held.token}
        elif len(self.unsettled) >= self.limits.claims:
            return [claim.deny(results.Code.OVERLOADED)]
        self.unsettled[key] = claim
        outputs += self._settle(now)
        if self._hopeless(now):
            outputs += self._give_up(claim, now)
        return outputs + self.step(now)

    def finished(
        self,
        request: str,
        answer: claim_records.StoredAnswer | None,
        now: float,
    ) -> list[Output]:
        """Takes the answer of a granted request; None for one not to keep."""
        claim = self._claim_of(request)
        if claim is None or claim.phase != Phase.RUNNING:
            return []
        claim.phase = Phase.DONE
        if answer is not None and self._keepable(answer):
            claim.answer = answer
        claim.due = now + self.limits.outcome_delay
        return self.step(now)

    def failed(
        self, request: str, ran: results.Ran, now: float
    ) -> list[Output]:
        """Takes the end of a request that gave no answer."""
        claim = self._claim_of(request)
        if claim is None:
            return []
        match claim.phase:
            case Phase.WANTED:
                self._abandon(claim, now)
            case Phase.RUNNING if ran == results.Ran.NOT_RUN:
                self._abandon(claim, now)
                claim.due = now
                claim.tell = True
                claim.give_up = now + self.limits.outage_wait
            case Phase.RUNNING:
                # Its record stays as it is, claimed and without outcome:
                # nobody will ever know more, so nobody may run it again.
                del self.unsettled[claim.key]
        return self.step(now)

    def answer(self, answer: stores.StoreAnswer, now: float) -> list[Output]:
        """Takes the store's answer to the call that is out."""
        call = self.call
        if call is None or answer.call != call.call:
            return []
        self.call = None
        match answer.outcome:
            case stores.Outcome.DOWN | stores.Outcome.LOST:
                self._store_failed(call, answer.outcome, now)
            case _ if self._adopt(answer, now):
                self.gap = max(
                    self.limits.write_gap,
                    self.gap * self.limits.write_gap_decay,
                )
                self.down_since = None
            case _:
                self._store_failed(call, stores.Outcome.DOWN, now)
        return self.step(now)

    def step(self, now: float) -> list[Output]:
        """Settles what can be settled, and makes the next store call."""
        outputs = self._settle(now)
        for claim in list(self.unsettled.values()):
            if now < claim.give_up:
                continue
            outputs += self._give_up(claim, now)
            if claim.tell:
                outputs.append(claim.released())
        if (
            self.call is not None
            and now >= self.sent + self.limits.call_seconds
        ):
            # An answer that never comes, by a defect below, must not stop
            # the shard: the call counts as lost, and a later answer to it
            # is ignored.
            call, self.call = self.call, None
            self._store_failed(call, stores.Outcome.LOST, now)
        if self.call is None and now >= self.not_before:
            outputs += self._call_store(now)
        return outputs

    def next_wake(self) -> float | None:
        """Returns when `step` is due; None for no need."""
        times = [
            each.give_up
            for each in self.unsettled.values()
            if each.phase == Phase.WANTED or each.tell
        ]
        if self.call is not None:
            times.append(self.sent + self.limits.call_seconds)
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

    def _keepable(self, answer: claim_records.StoredAnswer) -> bool:
        names = sum(len(name) + len(value) for name, value in answer.headers)
        return len(answer.body) + names <= self.limits.answer_bytes

    def _meet(self, claim: Claim, held: Claim) -> list[Output]:
        """Answers a request whose key this life already deals with."""
        if claim.content != held.content:
            return [claim.deny(results.Code.KEY_REUSED)]
        if held.phase == Phase.DONE:
            return [claim.finished(held.answer)]
        return [claim.deny(results.Code.CLAIM_RUNNING, results.Ran.UNKNOWN)]

    def _abandon(self, claim: Claim, now: float) -> None:
        """Gives up a claim that never started and now never will."""
        if not claim.proposed and not claim.unstarted:
            del self.unsettled[claim.key]
            return
        # The store may hold its record, or come to hold it by a write still
        # under way. It is taken out, so that a resend to another agent may
        # run; until then this life knows that the key is free.
        claim.phase = Phase.ABANDONED
        claim.due = now + self.limits.outcome_delay

    def _hopeless(self, now: float) -> bool:
        """Returns whether the store fails and isn't to be tried just now."""
        if self.call is not None or now >= self.not_before:
            return False
        return self._outage(now)

    def _outage(self, now: float) -> bool:
        if self.down_since is None:
            return False
        return now - self.down_since >= self.limits.outage_wait

    def _give_up(self, claim: Claim, now: float) -> list[Output]:
        """Refuses a claim that waits; true whatever becomes of its write.

        The refusal says "not run". That holds although a write with the
        record may take effect later: only this life may run what it names,
        and the phase set here keeps it from ever doing so.
        """
        if self.unsettled.get(claim.key) is not claim:
            return []
        if claim.phase != Phase.WANTED:
            return []
        self._abandon(claim, now)
        record = self._foreign(claim)
        if record is not None:
            # Seen as claimed elsewhere, and the newest state can't be read.
            code = results.Code.OUTCOME_UNKNOWN
            return [claim.deny(code, results.Ran.UNKNOWN)]
        if now >= claim.deadline:
            return [claim.deny(results.Code.DEADLINE_UNMEETABLE)]
        return [claim.deny(results.Code.CLAIM_STORE_DOWN)]

    def _is_own(
        self, claim: Claim, record: claim_records.ClaimRecord | None
    ) -> bool:
        """Returns whether a record is of this claim or one it took over."""
        if record is None or record.state != claim_records.State.CLAIMED:
            return False
        if record.life != self.life:
            return False
        return record.token == claim.token or record.token in claim.unstarted

    def _foreign(self, claim: Claim) -> claim_records.ClaimRecord | None:
        """Returns the base's record of the key if it isn't the claim's."""
        if self.base is None:
            return None
        record = self.base.records.get(claim.key)
        if record is None or self._is_own(claim, record):
            return None
        return record

    def _settle(self, now: float) -> list[Output]:
        """Compares the claims with the base."""
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
        foreign = self._foreign(claim)
        if foreign is not None:
            return self._settle_foreign(claim, foreign)
        if record is None or record.token != claim.token:
            return []
        if now >= claim.deadline:
            # The write took longer than the caller waits: its entry may
            # have answered by now, so the call must not start any more.
            return self._give_up(claim, now)
        claim.phase = Phase.RUNNING
        return [
            claim_verdicts.Granted(request=claim.request, attempt=claim.attempt)
        ]

    def _settle_foreign(
        self, claim: Claim, record: claim_records.ClaimRecord
    ) -> list[Output]:
        """Answers from the record of an earlier request, if it is enough."""
        running = record.state == claim_records.State.CLAIMED
        elsewhere = running and record.life != self.life
        if elsewhere and self.observed_by < claim.token:
            # Its outcome may have come since: read again first.
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
        # Any record but the claim's own ends it: the outcome itself, or,
        # after the key was forgotten, a newer claim that must stay.
        if self._foreign(claim) is not None:
            del self.unsettled[claim.key]

    def _settle_abandoned(self, claim: Claim) -> list[Output]:
        certain = self.current and self.doubt is None
        if self.call is not None or not certain:
            return []
        if self._is_own(claim, self.base.records.get(claim.key)):
            return []
        del self.unsettled[claim.key]
        return [claim.released()] if claim.tell else []

    def _store_failed(
        self,
        call: stores.Read | stores.Write,
        outcome: stores.Outcome,
        now: float,
    ) -> None:
        lost = outcome == stores.Outcome.LOST
        if lost and isinstance(call, stores.Write):
            # It may have taken effect, or may yet: look before anything.
            self.doubt = call.expected
            self.current = False
        if self.down_since is None:
            self.down_since = self.sent
        self.gap = min(self.limits.max_write_gap, self.gap * 2)
        self.not_before = now + self.gap * self.random.uniform(0.5, 1.0)
        if not self._outage(now):
            return
        for claim in self.unsettled.values():
            if claim.phase == Phase.WANTED or claim.tell:
                claim.give_up = now

    def _adopt(self, answer: stores.StoreAnswer, now: float) -> bool:
        """Takes the newest state of the object; False if it is unusable."""
        proposal, self.proposal = self.proposal, None
        found = next(
            (each for each in answer.objects if each.path == self.path), None
        )
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                self._observe(proposal, answer.version, now)
                self._clear_doubt()
                return True
            case stores.Outcome.CONFLICT if found is None:
                # It says that the object has changed, but not to what.
                self.current = False
                return True
        return self._adopt_object(found, now)

    def _adopt_object(self, found: stores.Object | None, now: float) -> bool:
        deleted = found is None or found.value is None
        if not deleted and found.version < self.version:
            # An answer from before what was seen already, by a store that
            # lags behind itself. It could hide a claim; ask again.
            return False
        try:
            shard = claim_records.decode(None if deleted else found.value)
        except (msgspec.MsgspecError, ValueError, TypeError):
            # Not written by this program. Running on would be guessing, so
            # calls are refused until an operator has put it right.
            return False
        version = 0 if deleted else found.version
        self._observe(shard, version, now)
        if self.doubt is not None and version != self.doubt:
            self._clear_doubt()
        return True

    def _observe(
        self, shard: claim_records.Shard, version: int, now: float
    ) -> None:
        self.base = shard
        self.current = True
        self.version = version
        self.observed = now
        self.observed_by = self.number

    def _clear_doubt(self) -> None:
        self.doubt = None

    def _call_due(self) -> float | None:
        """Returns when a store call is wanted; None for not at all."""
        if self.doubt is not None:
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
            self.call = stores.Read(call=self._call_id(), path=self.path)
            self.sent = now
            return [actions.CallStore(call=self.call)]
        return self._write(now)

    def _needs_read(self) -> bool:
        """Returns whether a claim held elsewhere has to be looked at."""
        return any(
            each.phase == Phase.WANTED and self._foreign(each) is not None
            for each in self.unsettled.values()
        )

    def _call_id(self) -> str:
        self.number = next(self.counter)
        return f"{self.path}{_CALL_SEPARATOR}{self.life}-{self.number}"

    def _write(self, now: float) -> list[Output]:
        """Sends one write with everything that the store should know."""
        outputs: list[Output] = []
        age = self.base.age + max(0.0, now - self.observed)
        shard = claim_records.Shard(age=age, records=self._unexpired(age))
        size = shard.size() + _OBJECT_HEADER_BYTES
        for claim in list(self.unsettled.values()):
            before = shard.records.get(claim.key)
            after = self._desired(claim, before, age, size)
            grown = _length(after) - _length(before)
            wanted = claim.phase == Phase.WANTED
            if wanted and size + grown > self.limits.object_bytes:
                outputs += self._refuse_full(claim, now)
                continue
            if after is None:
                shard.records.pop(claim.key, None)
            else:
                shard.records[claim.key] = after
            size += grown
            claim.proposed = claim.proposed or wanted
        call = self._call_id()
        self.call = stores.Write(
            call=call,
            path=self.path,
            value=shard.encode(),
            expected=self.version,
            write_id=f"{self.life}-{self.number}",
        )
        self.sent = now
        self.not_before = now + self.gap
        self.proposal = shard
        return [*outputs, actions.CallStore(call=self.call)]

    def _refuse_full(self, claim: Claim, now: float) -> list[Output]:
        self._abandon(claim, now)
        return [claim.deny(results.Code.CLAIMS_FULL)]

    def _desired(
        self,
        claim: Claim,
        before: claim_records.ClaimRecord | None,
        age: float,
        size: int,
    ) -> claim_records.ClaimRecord | None:
        """Returns what the object should hold for a claim's key."""
        own = self._is_own(claim, before)
        if before is not None and not own:
            return before
        match claim.phase:
            case Phase.ABANDONED:
                return None
            case Phase.DONE:
                return self._outcome(claim, before, age, size)
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

    def _outcome(
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
            grown = len(record.encoded) - _length(before)
            if size + grown <= self.limits.answers_bytes:
                return record
        return self._remembered(claim.key, claim.content, age)

    def _remembered(
        self, key: bytes, content: bytes, age: float
    ) -> claim_records.ClaimRecord:
        return claim_records.ClaimRecord(
            key=key,
            content=content,
            state=claim_records.State.REMEMBERED,
            until=age + self.limits.key_seconds,
        )

    def _unexpired(self, age: float) -> dict[bytes, claim_records.ClaimRecord]:
        """Returns the base's records without what has run its time."""
        kept = {}
        for key, record in self.base.records.items():
            if record.until > age:
                kept[key] = record
            elif record.state == claim_records.State.FINISHED:
                kept[key] = self._remembered(key, record.content, age)
        return kept


def _length(record: claim_records.ClaimRecord | None) -> int:
    return 0 if record is None else len(record.encoded)


def path_of_call(call: str) -> str:
    """Returns the path of the shard that made a store call."""
    return call.partition(_CALL_SEPARATOR)[0]
