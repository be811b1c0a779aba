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
        needed: slots needed for running and waiting requests, as of the
            borrower's last QuotaRequest.
        until: when the lease expires.
        scarce: whether the borrower was notified that no slots are left and
            so reports each freed slot at once.
        recalled: whether a recall of unused slots was sent to the borrower.
        incarnation: `life` of the QuotaRequest that this lease answers.
        request_number: number of that QuotaRequest.
    """

    slots: int
    needed: int
    until: float
    scarce: bool = False
    recalled: bool = False
    incarnation: int = 0
    request_number: int = 0


@attrs.define(kw_only=True)
class PendingAnswer:
    """An answer that waits for recalled slots.

    Attributes:
        request: the message to answer.
        answer: the answer; its tokens are final, its slots are not.
        until: when it is sent even if no slots were returned.
    """

    request: messages.QuotaRequest
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
    pending: dict[str, PendingAnswer] = attrs.field(factory=dict)

    def grant(
        self, borrower: str, request: messages.QuotaRequest, now: float
    ) -> list[Reply]:
        """Applies the borrower's report and grants what is available.

        Args:
            borrower: mailbox of the borrower.
            request: its report and the tokens and slots that it requests.
            now: monotonic time in seconds.

        Returns:
            The messages to send: recalls if slots are short, else the answer
            and those pending answers that are now complete.
        """
        self.update_limits(request)
        self.refill(now)
        self.level += request.returned - request.debt
        self.level = min(self.level, self.burst)
        answer = messages.QuotaGrant(
            organisation=request.organisation,
            number=request.number,
            token_seconds=TOKEN_SECONDS,
            slot_seconds=SLOT_SECONDS,
        )
        self._grant_tokens(request, answer)
        # Applying an outdated report would free slots that a newer one has
        # leased to this borrower, and lend them to others as well.
        if self._is_outdated(borrower, request):
            return []
        self.pending.pop(borrower, None)
        recalls = self._grant_slots(borrower, request, answer, now)
        if recalls:
            self.pending[borrower] = PendingAnswer(
                request=request, answer=answer, until=now + RECALL_SECONDS
            )
            return recalls
        replies = [Reply(address=borrower, message=answer)]
        return replies + self.answer_pending(now)

    def answer_pending(self, now: float) -> list[Reply]:
        """Returns the pending answers that are complete or have timed out.

        Recalls that became necessary meanwhile are returned with them.
        """
        replies: list[Reply] = []
        for borrower, pending in list(self.pending.items()):
            recalls = self._grant_slots(
                borrower, pending.request, pending.answer, now
            )
            request = pending.request
            short = pending.answer.slots < request.running + request.waiting
            expected = any(lease.recalled for lease in self.leases.values())
            if short and (recalls or expected) and now < pending.until:
                replies += recalls
                continue
            del self.pending[borrower]
            replies.append(Reply(address=borrower, message=pending.answer))
        return replies

    def update_limits(self, request: messages.QuotaRequest) -> None:
        """Applies the limits of a newer contract; ignores an older one."""
        if request.version <= self.version:
            return
        self.version = request.version
        self.rate = request.rate
        self.burst = burst_of(request)
        self.concurrency = request.concurrency

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

    def is_idle(self, now: float) -> bool:
        """Returns whether the ledger can be dropped without effect."""
        self.refill(now)
        self._expire_leases(now)
        return not (self.leases or self.pending) and self.level >= self.burst

    def _grant_tokens(
        self, request: messages.QuotaRequest, answer: messages.QuotaGrant
    ) -> None:
        if not self.rate:
            answer.tokens = request.tokens
            return
        answer.tokens = max(0, min(request.tokens, math.floor(self.level)))
        self.level -= answer.tokens
        if request.tokens and not answer.tokens:
            floor = min(MIN_WAIT_SECONDS, self.burst / (2 * self.rate))
            wait = max(floor, (1.0 - self.level) / self.rate)
            answer.wait = min(wait, MAX_WAIT_SECONDS)

    def _is_outdated(
        self, borrower: str, request: messages.QuotaRequest
    ) -> bool:
        lease = self.leases.get(borrower)
        if lease is None or lease.incarnation != request.life:
            return False
        return request.number < lease.request_number

    def _grant_slots(
        self,
        borrower: str,
        request: messages.QuotaRequest,
        answer: messages.QuotaGrant,
        now: float,
    ) -> list[Reply]:
        """Sets the slots of an answer; returns recalls if slots are short."""
        if not self.concurrency:
            answer.slots = request.slots
            return []
        self._expire_leases(now)
        self.leases.pop(borrower, None)
        lent = sum(lease.slots for lease in self.leases.values())
        free = self.concurrency - lent
        # Running requests count whether or not their slots were lent: they
        # can't be stopped, and leaving them out would lend their slots twice.
        answer.slots = max(request.running, min(request.slots, free))
        short = answer.slots < request.running + request.waiting
        if short:
            self.scarce_until = now + SCARCE_SECONDS
        answer.scarce = answer.slots >= free or now < self.scarce_until
        self.leases[borrower] = SlotLease(
            slots=answer.slots,
            needed=request.running + request.waiting,
            until=now + SLOT_SECONDS,
            scarce=answer.scarce,
            incarnation=request.life,
            request_number=request.number,
        )
        return (
            self._recall_slots(borrower, request.organisation) if short else []
        )

    def _recall_slots(self, borrower: str, organisation: str) -> list[Reply]:
        """Returns recalls for the other borrowers' unused slots.

        Without a recall, slots lent ahead of demand would be unavailable to
        an entry that needs them, while the organisation is below its limit.
        """
        replies: list[Reply] = []
        for address, lease in self.leases.items():
            unused = lease.slots > lease.needed or not lease.scarce
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


def burst_of(request: messages.QuotaRequest) -> float:
    """Returns the capacity of the token bucket, at least one request."""
    return max(1.0, float(request.burst))


def open_ledger(request: messages.QuotaRequest, now: float) -> Ledger:
    """Returns a new ledger with a full bucket.

    After a change of owner the full bucket admits at most one burst too
    many. An empty one would refuse the first requests of a new organisation.
    """
    return Ledger(
        version=request.version,
        rate=request.rate,
        burst=burst_of(request),
        concurrency=request.concurrency,
        level=burst_of(request),
        filled_at=now,
    )
