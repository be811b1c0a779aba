"""Who alone may give orders: one object in the store, changed conditionally.

A pure state machine. A holder gives orders only for a short term after it
sent a write that succeeded; a successor's write makes the holder's next one
fail. So an idle holder costs no calls, and can be succeeded at once.
"""

import enum

import attrs

from pimentoledge.routing import registrations

# Orders may be given so long after a successful write was sent. The store
# answers in some ms, in some hundred where it is slow.
TERM_SECONDS = 1.5
# A holder with work writes again when less than this is left of its term.
RENEW_SECONDS = 0.8
# No order is begun in the last part of the term: it is on its way meanwhile.
ORDER_MARGIN_SECONDS = 0.25


class Step(enum.StrEnum):
    """What the owner of the lease should do next."""

    READ = "read"
    WRITE = "write"
    ORDER = "order"
    WAIT = "wait"


@attrs.define(kw_only=True)
class Lease:
    """What one process knows of the lease.

    Attributes:
        holder: this process's VM, as it stands in the lease.
        lease_seconds: no two holders' orders may be closer than this.
        revision: the lease's newest known revision; 0 if there is none;
            None if not known.
        held_by: its holder at that revision, or "".
        learnt_at: when that revision became known here.
        term_ends: until when this process may give orders.
        quiet_until: before this, a former holder's orders are too close.
        fence: this tenure's fencing token.
    """

    holder: str
    lease_seconds: float
    revision: int | None = None
    held_by: str = ""
    learnt_at: float = 0.0
    term_ends: float = 0.0
    quiet_until: float = 0.0
    fence: int = 0

    def step(self, now: float) -> Step:
        """Returns what to do next, where orders are due."""
        if self.revision is None:
            return Step.READ
        if self.term_ends - now < RENEW_SECONDS:
            return Step.WRITE
        return Step.ORDER if self.may_order(now) else Step.WAIT

    def may_order(self, now: float) -> bool:
        """Returns whether an order may be sent now."""
        left = self.term_ends - now
        return left > ORDER_MARGIN_SECONDS and now >= self.quiet_until

    def holds(self, now: float) -> bool:
        """Returns whether this process is the holder now."""
        return now < self.term_ends

    def learn(self, stored: registrations.Stored | None, now: float) -> None:
        """Takes the lease as it was read or told."""
        revision = 0 if stored is None else stored.revision
        if self.revision is not None and revision <= self.revision:
            return
        self.revision = revision
        self.held_by = _holder(stored)
        self.learnt_at = now
        if self.held_by != self.holder:
            self.term_ends = 0.0

    def merge_peer(self, revision: int, held_by: str, learnt: float) -> None:
        """Takes what another process knows of the lease, and since when."""
        self.learn(
            registrations.Stored(
                name="", revision=revision, value={"holder": held_by}
            ),
            learnt,
        )
        if revision == self.revision:
            self.learnt_at = min(self.learnt_at, learnt)

    def mark_unknown(self) -> None:
        """Takes a write whose outcome is unknown."""
        self.revision = None

    def record_write(self, stored: registrations.Stored, sent: float) -> None:
        """Takes this process's own successful write.

        Args:
            stored: the lease as it is now.
            sent: when the write was sent; the term counts from then.
        """
        if self.held_by not in ("", self.holder):
            # The former holder's last successful write was sent before its
            # revision was learnt here.
            last_order = self.learnt_at + TERM_SECONDS
            quiet = last_order + self.lease_seconds
            self.quiet_until = max(self.quiet_until, quiet)
        if self.held_by != self.holder or not self.fence:
            self.fence = stored.revision
        self.revision = stored.revision
        self.held_by = self.holder
        self.learnt_at = sent
        self.term_ends = sent + TERM_SECONDS


def _holder(stored: registrations.Stored | None) -> str:
    if stored is None or not isinstance(stored.value, dict):
        return ""
    return str(stored.value.get("holder", ""))
