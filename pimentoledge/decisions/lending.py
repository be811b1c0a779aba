"""The owner's side of a contract's limits: one token bucket, lent out.

The entry that owns an organisation keeps one Ledger for it. What the other
entries may let in, they borrow from there, so that one limit holds over all
of them.
"""

import math

import attrs

from pimentoledge.nodes import messages

TOKEN_SECONDS = 2.0
SLOT_SECONDS = 30.0
# An owner that knows no limit yet waits at most this long for a token.
MAX_WAIT_SECONDS = 60.0
# Entries that were told to wait ask again no sooner, so that a contract far
# above its limit costs few messages.
MIN_WAIT_SECONDS = 0.05
# An entry that needs a slot waits this long for those that are recalled.
RECALL_SECONDS = 0.05
# After a slot was lacking, borrowers go on saying at once what they end.
SCARCE_SECONDS = 1.0
# The number of a Lend that answers no Borrow.
RECALL_NUMBER = 0


@attrs.define(kw_only=True)
class SlotLease:
    """Slots lent to one entry.

    Attributes:
        slots: how many.
        running: of them, in use at the borrower's last word.
        until: when they come back by themselves.
        scarce: whether the borrower knows that there are no more, and so
            says at once when one becomes free.
        recalled: whether the borrower is asked to give back the rest.
        life: the borrower's life that this is from.
        number: of the Borrow that this is from.
    """

    slots: int
    running: int
    until: float
    scarce: bool = False
    recalled: bool = False
    life: int = 0
    number: int = 0


@attrs.define(kw_only=True)
class Pending:
    """An answer that waits for recalled slots.

    Attributes:
        ask: what was asked for.
        answer: its tokens are settled, its slots are not.
        until: when it is sent in any case.
    """

    ask: messages.Borrow
    answer: messages.Lend
    until: float


@attrs.frozen(kw_only=True)
class Reply:
    """A message to a borrower."""

    address: str
    message: messages.Lend


@attrs.define(kw_only=True)
class Ledger:
    """What is left of one organisation's limits, and who has the rest.

    Attributes:
        version: contract version that the limits are from.
        rate: tokens per second; 0 for no limit.
        burst: most tokens kept.
        concurrency: slots in all; 0 for no limit.
        level: tokens left; below zero when entries let requests in ahead.
        filled_at: time up to which `level` counts.
        leases: slots lent, by the borrower's mailbox.
        scarce_until: a slot was lacking a moment ago; counts as scarce.
        pending: answers that wait for recalled slots, by mailbox.
    """

    version: int
    rate: float
    burst: float
    concurrency: int
    level: float
    filled_at: float
    leases: dict[str, SlotLease] = attrs.field(factory=dict)
    scarce_until: float = 0.0
    pending: dict[str, Pending] = attrs.field(factory=dict)

    def lend(
        self, borrower: str, ask: messages.Borrow, now: float
    ) -> list[Reply]:
        """Settles what the borrower reports, and lends what there is."""
        self.update_limits(ask)
        self.refill(now)
        self.level += ask.returned - ask.debt
        self.level = min(self.level, self.burst)
        answer = messages.Lend(
            organisation=ask.organisation,
            number=ask.number,
            token_seconds=TOKEN_SECONDS,
            slot_seconds=SLOT_SECONDS,
        )
        self._lend_tokens(ask, answer)
        # A level that was overtaken by a newer one would lend slots to
        # others that the borrower believes it still has.
        if self._is_outdated(borrower, ask):
            return []
        self.pending.pop(borrower, None)
        recalls = self._lend_slots(borrower, ask, answer, now)
        if recalls:
            self.pending[borrower] = Pending(
                ask=ask, answer=answer, until=now + RECALL_SECONDS
            )
            return recalls
        done = [Reply(address=borrower, message=answer)]
        return done + self.answer_pending(now)

    def answer_pending(self, now: float) -> list[Reply]:
        """Answers those whose slots have come back, or that waited enough."""
        done: list[Reply] = []
        for borrower, pending in list(self.pending.items()):
            recalls = self._lend_slots(
                borrower, pending.ask, pending.answer, now
            )
            ask = pending.ask
            short = pending.answer.slots < ask.running + ask.waiting
            expected = any(lease.recalled for lease in self.leases.values())
            if short and (recalls or expected) and now < pending.until:
                done += recalls
                continue
            del self.pending[borrower]
            done.append(Reply(address=borrower, message=pending.answer))
        return done

    def update_limits(self, ask: messages.Borrow) -> None:
        """Takes over the limits of a newer contract, never of an older one."""
        if ask.version <= self.version:
            return
        self.version = ask.version
        self.rate = ask.rate
        self.burst = burst_of(ask)
        self.concurrency = ask.concurrency

    def refill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        passed = max(0.0, now - self.filled_at)
        self.level = min(self.burst, self.level + passed * self.rate)
        self.filled_at = max(now, self.filled_at)

    def keep_only(self, borrowers: set[str]) -> None:
        """Takes back the slots of entries that are gone."""
        for borrower in list(self.leases):
            if borrower not in borrowers:
                del self.leases[borrower]
        for borrower in list(self.pending):
            if borrower not in borrowers:
                del self.pending[borrower]

    def idle(self, now: float) -> bool:
        """Whether forgetting this ledger would change nothing."""
        self.refill(now)
        self._expire_leases(now)
        return not self.leases and self.level >= self.burst

    def _lend_tokens(self, ask: messages.Borrow, answer: messages.Lend) -> None:
        if not self.rate:
            answer.tokens = ask.tokens
            return
        answer.tokens = max(0, min(ask.tokens, math.floor(self.level)))
        self.level -= answer.tokens
        if ask.tokens and not answer.tokens:
            floor = min(MIN_WAIT_SECONDS, self.burst / (2 * self.rate))
            wait = max(floor, (1.0 - self.level) / self.rate)
            answer.wait = min(wait, MAX_WAIT_SECONDS)

    def _is_outdated(self, borrower: str, ask: messages.Borrow) -> bool:
        lease = self.leases.get(borrower)
        if lease is None or lease.life != ask.life:
            return False
        return ask.number < lease.number

    def _lend_slots(
        self,
        borrower: str,
        ask: messages.Borrow,
        answer: messages.Lend,
        now: float,
    ) -> list[Reply]:
        """Settles the slots of an answer; returns recalls where short."""
        if not self.concurrency:
            answer.slots = ask.slots
            return []
        self._expire_leases(now)
        self.leases.pop(borrower, None)
        lent = sum(lease.slots for lease in self.leases.values())
        free = self.concurrency - lent
        # What runs already is counted whether or not it was lent: it can't
        # be taken back, and leaving it out would lend its slots twice.
        answer.slots = max(ask.running, min(ask.slots, free))
        short = answer.slots < ask.running + ask.waiting
        if short:
            self.scarce_until = now + SCARCE_SECONDS
        answer.scarce = answer.slots >= free or now < self.scarce_until
        self.leases[borrower] = SlotLease(
            slots=answer.slots,
            running=ask.running + ask.waiting,
            until=now + SLOT_SECONDS,
            scarce=answer.scarce,
            life=ask.life,
            number=ask.number,
        )
        return self._recall(borrower, ask.organisation) if short else []

    def _recall(self, borrower: str, organisation: str) -> list[Reply]:
        """Asks the others for the slots that they hold and don't use.

        Slots lent ahead of need would otherwise be refused to an entry that
        needs them, while the organisation is below its limit.
        """
        done: list[Reply] = []
        for address, lease in self.leases.items():
            unused = lease.slots > lease.running or not lease.scarce
            if address == borrower or lease.recalled or not unused:
                continue
            lease.recalled = True
            recall = messages.Lend(
                organisation=organisation, number=RECALL_NUMBER, scarce=True
            )
            done.append(Reply(address=address, message=recall))
        return done

    def _expire_leases(self, now: float) -> None:
        """Takes back the slots of borrowers that have not renewed them."""
        for borrower, lease in list(self.leases.items()):
            if lease.until <= now:
                del self.leases[borrower]


def burst_of(ask: messages.Borrow) -> float:
    """Returns the bucket's size; room for one request at least."""
    return max(1.0, float(ask.burst))


def open_ledger(ask: messages.Borrow, now: float) -> Ledger:
    """Returns the ledger of an organisation that was not known before.

    The bucket starts full. After a change of owner this lets in at most one
    burst too many; starting empty would refuse an organisation that has
    just come.
    """
    return Ledger(
        version=ask.version,
        rate=ask.rate,
        burst=burst_of(ask),
        concurrency=ask.concurrency,
        level=burst_of(ask),
        filled_at=now,
    )
