"""The owner's side of a contract's limits: a token bucket lent to entries.

The entry that owns an organisation's limits keeps one Ledger for it. The
other entries borrow tokens and slots from it, so that one limit holds over
all of them.
"""

import math

import attrs

from pimentoledge.nodes import messages

TOKEN_SECONDS = 2.0
SLOT_SECONDS = 30.0
# Longest wait for a token that a QuotaGrant announces, however low the rate is.
MAX_WAIT_SECONDS = 60.0
# An entry without tokens waits at least this long before its next
# QuotaRequest, so that a contract far above its limit costs few messages.
MIN_WAIT_SECONDS = 0.05
# How long the answer to a QuotaRequest waits for recalled slots.
RECALL_SECONDS = 0.05
# How long slots count as scarce after a shortage. Meanwhile borrowers report
# each freed slot at once.
SCARCE_SECONDS = 1.0
# The number of a QuotaGrant that recalls unused slots instead of answering a
# QuotaRequest.
RECALL_NUMBER = 0


@attrs.define(kw_only=True)
class SlotLease:
    """Slots lent to one entry.

    Attributes:
        slots: number of slots.
        running: slots needed for running and waiting requests, as of the
            borrower's last QuotaRequest.
        until: when the lease expires.
        scarce: whether the borrower was notified that no slots are left and
            so reports each freed slot at once.
        recalled: whether a recall of unused slots was sent to the borrower.
        life: the borrower's life in the QuotaRequest behind this lease.
        number: the number of that QuotaRequest.
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
        borrow: the message to answer.
        answer: the answer; its tokens are final, its slots are not.
        until: when it is sent even if no slots have come back.
    """

    borrow: messages.QuotaRequest
    answer: messages.QuotaGrant
    until: float


@attrs.frozen(kw_only=True)
class Reply:
    """A message to a borrower."""

    address: str
    message: messages.QuotaGrant


@attrs.define(kw_only=True)
class Ledger:
    """The tokens left and the slots lent of one organisation's limits.

    Attributes:
        version: version of the contract that the limits are from.
        rate: tokens per second; 0 for no limit.
        burst: capacity of the token bucket.
        concurrency: total number of slots; 0 for no limit.
        level: tokens left; negative after debt was reported for requests
            that entries admitted from their own shares.
        filled_at: time up to which `level` was refilled.
        leases: slots lent, by the borrower's mailbox.
        scarce_until: time until which slots count as scarce after a
            shortage.
        pending: answers that wait for recalled slots, by the borrower's
            mailbox.
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
        self, borrower: str, borrow: messages.QuotaRequest, now: float
    ) -> list[Reply]:
        """Applies the borrower's report and lends what is available.

        Args:
            borrower: mailbox of the borrower.
            borrow: its report and the tokens and slots that it requests.
            now: monotonic time in seconds.

        Returns:
            The messages to send: recalls if slots are short, else the answer
            and those pending answers that are now complete.
        """
        self.update_limits(borrow)
        self.refill(now)
        self.level += borrow.returned - borrow.debt
        self.level = min(self.level, self.burst)
        answer = messages.QuotaGrant(
            organisation=borrow.organisation,
            number=borrow.number,
            token_seconds=TOKEN_SECONDS,
            slot_seconds=SLOT_SECONDS,
        )
        self._lend_tokens(borrow, answer)
        # Applying an outdated report would free slots that a newer one has
        # leased to this borrower, and lend them to others as well.
        if self._is_outdated(borrower, borrow):
            return []
        self.pending.pop(borrower, None)
        recalls = self._lend_slots(borrower, borrow, answer, now)
        if recalls:
            self.pending[borrower] = Pending(
                borrow=borrow, answer=answer, until=now + RECALL_SECONDS
            )
            return recalls
        replies = [Reply(address=borrower, message=answer)]
        return replies + self.answer_pending(now)

    def answer_pending(self, now: float) -> list[Reply]:
        """Returns the pending answers whose slots came back or time is up.

        Recalls that became necessary meanwhile are returned with them.
        """
        replies: list[Reply] = []
        for borrower, pending in list(self.pending.items()):
            recalls = self._lend_slots(
                borrower, pending.borrow, pending.answer, now
            )
            borrow = pending.borrow
            short = pending.answer.slots < borrow.running + borrow.waiting
            expected = any(lease.recalled for lease in self.leases.values())
            if short and (recalls or expected) and now < pending.until:
                replies += recalls
                continue
            del self.pending[borrower]
            replies.append(Reply(address=borrower, message=pending.answer))
        return replies

    def update_limits(self, borrow: messages.QuotaRequest) -> None:
        """Applies the limits of a newer contract; ignores an older one."""
        if borrow.version <= self.version:
            return
        self.version = borrow.version
        self.rate = borrow.rate
        self.burst = burst_of(borrow)
        self.concurrency = borrow.concurrency

    def refill(self, now: float) -> None:
        """Adds the tokens accrued since the last refill."""
        passed = max(0.0, now - self.filled_at)
        self.level = min(self.burst, self.level + passed * self.rate)
        self.filled_at = max(now, self.filled_at)

    def keep_only(self, borrowers: set[str]) -> None:
        """Drops the leases and pending answers of all other borrowers."""
        for borrower in list(self.leases):
            if borrower not in borrowers:
                del self.leases[borrower]
        for borrower in list(self.pending):
            if borrower not in borrowers:
                del self.pending[borrower]

    def idle(self, now: float) -> bool:
        """Returns whether the ledger can be dropped without effect."""
        self.refill(now)
        self._expire_leases(now)
        return not self.leases and self.level >= self.burst

    def _lend_tokens(
        self, borrow: messages.QuotaRequest, answer: messages.QuotaGrant
    ) -> None:
        if not self.rate:
            answer.tokens = borrow.tokens
            return
        answer.tokens = max(0, min(borrow.tokens, math.floor(self.level)))
        self.level -= answer.tokens
        if borrow.tokens and not answer.tokens:
            floor = min(MIN_WAIT_SECONDS, self.burst / (2 * self.rate))
            wait = max(floor, (1.0 - self.level) / self.rate)
            answer.wait = min(wait, MAX_WAIT_SECONDS)

    def _is_outdated(
        self, borrower: str, borrow: messages.QuotaRequest
    ) -> bool:
        lease = self.leases.get(borrower)
        if lease is None or lease.life != borrow.life:
            return False
        return borrow.number < lease.number

    def _lend_slots(
        self,
        borrower: str,
        borrow: messages.QuotaRequest,
        answer: messages.QuotaGrant,
        now: float,
    ) -> list[Reply]:
        """Sets the slots of an answer; returns recalls if slots are short."""
        if not self.concurrency:
            answer.slots = borrow.slots
            return []
        self._expire_leases(now)
        self.leases.pop(borrower, None)
        lent = sum(lease.slots for lease in self.leases.values())
        free = self.concurrency - lent
        # Running requests count whether or not their slots were lent: they
        # can't be stopped, and leaving them out would lend their slots twice.
        answer.slots = max(borrow.running, min(borrow.slots, free))
        short = answer.slots < borrow.running + borrow.waiting
        if short:
            self.scarce_until = now + SCARCE_SECONDS
        answer.scarce = answer.slots >= free or now < self.scarce_until
        self.leases[borrower] = SlotLease(
            slots=answer.slots,
            running=borrow.running + borrow.waiting,
            until=now + SLOT_SECONDS,
            scarce=answer.scarce,
            life=borrow.life,
            number=borrow.number,
        )
        return self._recall(borrower, borrow.organisation) if short else []

    def _recall(self, borrower: str, organisation: str) -> list[Reply]:
        """Returns recalls for the other borrowers' unused slots.

        Without a recall, slots lent ahead of demand would be unavailable to
        an entry that needs them, while the organisation is below its limit.
        """
        replies: list[Reply] = []
        for address, lease in self.leases.items():
            unused = lease.slots > lease.running or not lease.scarce
            if address == borrower or lease.recalled or not unused:
                continue
            lease.recalled = True
            recall = messages.QuotaGrant(
                organisation=organisation, number=RECALL_NUMBER, scarce=True
            )
            replies.append(Reply(address=address, message=recall))
        return replies

    def _expire_leases(self, now: float) -> None:
        """Removes the leases that their borrowers have not renewed."""
        for borrower, lease in list(self.leases.items()):
            if lease.until <= now:
                del self.leases[borrower]


def burst_of(borrow: messages.QuotaRequest) -> float:
    """Returns the capacity of the token bucket, at least one request."""
    return max(1.0, float(borrow.burst))


def open_ledger(borrow: messages.QuotaRequest, now: float) -> Ledger:
    """Returns a new ledger with a full bucket.

    After a change of owner the full bucket admits at most one burst too
    many. An empty one would refuse the first requests of a new organisation.
    """
    return Ledger(
        version=borrow.version,
        rate=borrow.rate,
        burst=burst_of(borrow),
        concurrency=borrow.concurrency,
        level=burst_of(borrow),
        filled_at=now,
    )
