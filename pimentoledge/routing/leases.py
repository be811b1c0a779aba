"""The lease of the router that gives orders: one conditionally written object.

A pure state machine. A holder gives orders only for a short term after it
sent a successful write; a successor's write makes the holder's next write
fail. So an idle holder needs no calls, and can be replaced at once.
"""

import enum

import attrs

from pimentoledge.routing import registrations

# How long orders may be given after a successful write was sent. The store
# answers within a few ms, or some hundred ms if it is slow.
TERM_SECONDS = 1.5
# A holder with orders due renews when less than this is left of its term.
RENEW_SECONDS = 0.8
# No order is sent in the last part of the term, as it takes time to arrive.
ORDER_MARGIN_SECONDS = 0.25


class Step(enum.StrEnum):
    """What the process that uses the lease should do next."""

    READ = "read"
    WRITE = "write"
    ORDER = "order"
    WAIT = "wait"


@attrs.define(kw_only=True)
class Lease:
    """One process's cached state of the lease.

    Attributes:
        holder: name of this process's VM in the lease.
        lease_seconds: minimum time between orders of two different holders.
        revision: the lease's newest known revision; 0 if the object does not
            exist; None if unknown.
        held_by: its holder at that revision, or "".
        learnt_at: when that revision became known to this process, or to a peer
            that knew it earlier.
        term_ends: when this process's term ends.
        quiet_until: no orders are sent before this time, because they would be
            too close to a former holder's.
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
        """Returns what to do next if orders are due."""
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
        """Updates the state from a read or from a peer's report."""
        revision = 0 if stored is None else stored.revision
        if self.revision is not None and revision <= self.revision:
            return
        self.revision = revision
        self.held_by = _holder(stored)
        self.learnt_at = now
        if self.held_by != self.holder:
            self.term_ends = 0.0

    def merge_peer(self, revision: int, held_by: str, learnt: float) -> None:
        """Merges another process's state of the lease.

        Args:
            revision: the newest revision that it knows.
            held_by: the holder at that revision.
            learnt: when it learnt that revision.
        """
        self.learn(
            registrations.Stored(
                name="", revision=revision, value={"holder": held_by}
            ),
            learnt,
        )
        if revision == self.revision:
            self.learnt_at = min(self.learnt_at, learnt)

    def mark_unknown(self) -> None:
        """Records a write whose outcome is unknown."""
        self.revision = None

    def record_write(self, stored: registrations.Stored, sent: float) -> None:
        """Records this process's own successful write.

        Args:
            stored: the lease after the write.
            sent: when the write was sent; the term starts then.
        """
        if self.held_by not in ("", self.holder):
            # The former holder's last successful write was sent before its
            # revision became known here, so its term ends no later than this.
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
