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
LONGEST_WAIT_SECONDS = 60.0
# Entries that were told to wait ask again no sooner, so that a contract far
# above its limit costs few messages.
SHORTEST_WAIT_SECONDS = 0.05


@attrs.define(kw_only=True)
class Lease:
    """Slots lent to one entry.

    Attributes:
        slots: how many.
        until: when they come back by themselves.
    """

    slots: int
    until: float


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
    """

    version: int
    rate: float
    burst: float
    concurrency: int
    level: float
    filled_at: float
    leases: dict[str, Lease] = attrs.field(factory=dict)

    def lend(
        self, borrower: str, ask: messages.Borrow, now: float
    ) -> messages.Lend:
        """Settles what the borrower reports, and lends what there is."""
        self.learn(ask)
        self.fill(now)
        self.level += ask.returned - ask.debt
        self.level = min(self.level, self.burst)
        answer = messages.Lend(
            organisation=ask.organisation,
            number=ask.number,
            token_seconds=TOKEN_SECONDS,
            slot_seconds=SLOT_SECONDS,
        )
        self._lend_tokens(ask, answer)
        self._lend_slots(borrower, ask, answer, now)
        return answer

    def learn(self, ask: messages.Borrow) -> None:
        """Takes over the limits of a newer contract, never of an older one."""
        if ask.version <= self.version:
            return
        self.version = ask.version
        self.rate = ask.rate
        self.burst = burst_of(ask)
        self.concurrency = ask.concurrency

    def fill(self, now: float) -> None:
        """Adds the tokens of the time that has passed."""
        passed = max(0.0, now - self.filled_at)
        self.level = min(self.burst, self.level + passed * self.rate)
        self.filled_at = max(now, self.filled_at)

    def keep_only(self, borrowers: set[str]) -> None:
        """Takes back the slots of entries that are gone."""
        for borrower in list(self.leases):
            if borrower not in borrowers:
                del self.leases[borrower]

    def idle(self, now: float) -> bool:
        """Whether forgetting this ledger would change nothing."""
        self.fill(now)
        self._lapse(now)
        return not self.leases and self.level >= self.burst

    def _lend_tokens(self, ask: messages.Borrow, answer: messages.Lend) -> None:
        if not self.rate:
            answer.tokens = ask.tokens
            return
        answer.tokens = max(0, min(ask.tokens, math.floor(self.level)))
        self.level -= answer.tokens
        if ask.tokens and not answer.tokens:
            floor = min(SHORTEST_WAIT_SECONDS, self.burst / (2 * self.rate))
            wait = max(floor, (1.0 - self.level) / self.rate)
            answer.wait = min(wait, LONGEST_WAIT_SECONDS)

    def _lend_slots(
        self,
        borrower: str,
        ask: messages.Borrow,
        answer: messages.Lend,
        now: float,
    ) -> None:
        if not self.concurrency:
            answer.slots = ask.slots
            return
        self._lapse(now)
        self.leases.pop(borrower, None)
        free = self.concurrency - sum(
            lease.slots for lease in self.leases.values()
        )
        # What runs already is counted whether or not it was lent: it can't
        # be taken back, and leaving it out would lend its slots twice.
        answer.slots = max(ask.running, min(ask.slots, free))
        answer.scarce = answer.slots >= free
        if answer.slots:
            self.leases[borrower] = Lease(
                slots=answer.slots, until=now + SLOT_SECONDS
            )

    def _lapse(self, now: float) -> None:
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
