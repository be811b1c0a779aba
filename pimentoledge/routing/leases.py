"""The lease of the router that gives orders: one conditionally written object.

A pure state machine. A holder gives orders only for a short term after it
sent a successful write; a successor's write makes the holder's next write
fail. So an idle holder needs no calls, and can be replaced at once.

A store that is restored from an older copy forgets the newest writes, and with
them possibly a holder. Revisions count only within an era of the store.
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
# Longest time without orders that a holder may have written, as a multiple of
# the longest that a successor waits: settings of routers may differ for a time.
MAX_QUIET_WAITS = 4
# Fencing tokens consist of an era and, in this many bits, a revision.
REVISION_BITS = 32


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
        era: the store's newest known era.
        era_learnt_at: when that era became known to this process.
        revision: the lease's newest known revision in that era; 0 if the object
            does not exist; None if unknown.
        held_by: its holder at that revision, or "".
        written_in_era: whether that revision was written in that era, so that
            no later write was lost.
        learnt_at: when that revision became known to this process, or to a peer
            that knew it earlier.
        term_ends: when this process's term ends.
        quiet_until: no orders are sent before this time, because they would be
            too close to a former holder's.
        fence: this tenure's fencing token. A tenure lasts as long as each of
            its writes replaces the one before it.
        last_write: position of this process's newest acknowledged write, or
            None.
        quiet_seconds: time after the write of that revision in which its holder
            sends no order, because it would be too close to a former holder's.
    """

    holder: str
    lease_seconds: float
    era: int = 0
    era_learnt_at: float = 0.0
    revision: int | None = None
    held_by: str = ""
    written_in_era: bool = False
    learnt_at: float = 0.0
    term_ends: float = 0.0
    quiet_until: float = 0.0
    fence: int = 0
    last_write: tuple[int, int] | None = None
    quiet_seconds: float = 0.0

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

    def learn_era(self, era: int, now: float) -> None:
        """Updates the state from the era in a response, or that a peer knows.

        An own term stays valid: its write was the newest one, so whoever
        succeeded it in the lost writes doesn't order before the term is over.
        """
        if era <= self.era:
            return
        self.era = era
        self.era_learnt_at = now
        self.revision = None
        self.written_in_era = False

    def learn(
        self, stored: registrations.Stored | registrations.Absent, now: float
    ) -> None:
        """Updates the state from a read or a conflict."""
        self.learn_era(stored.era, now)
        self._learn_revision(stored, _written_era(stored) == stored.era, now)

    def _learn_revision(
        self,
        stored: registrations.Stored | registrations.Absent,
        written_in_era: bool,
        now: float,
    ) -> None:
        revision = _revision(stored)
        if stored.era < self.era or (
            self.revision is not None and revision <= self.revision
        ):
            return
        self.revision = revision
        self.held_by = _holder(stored)
        self.written_in_era = written_in_era
        self.learnt_at = now
        self.quiet_seconds = min(
            _quiet_seconds(stored), MAX_QUIET_WAITS * self._longest_wait()
        )
        if self.held_by != self.holder:
            self.term_ends = 0.0

    def merge_peer(
        self, known: registrations.Stored, learnt: float, now: float
    ) -> None:
        """Merges another process's state of the lease.

        Args:
            known: the newest revision that it knows.
            learnt: when it learnt that revision.
            now: the time.
        """
        self.learn_era(known.era, now)
        self._learn_revision(known, False, learnt)
        if known.position == (self.era, self.revision):
            self.learnt_at = min(self.learnt_at, learnt)

    def mark_unknown(self) -> None:
        """Records a write whose outcome is unknown."""
        self.revision = None

    def quiet_seconds_at(self, now: float) -> float:
        """Returns how long no order follows a write that is sent now."""
        return max(0.0, self.quiet_until - now, self._former_quiet(now) - now)

    def record_write(
        self,
        stored: registrations.Stored,
        sent: float,
        *,
        quiet_seconds: float = 0.0,
    ) -> None:
        """Records this process's own successful write.

        One that is known to be overwritten gives no term.

        Args:
            stored: the lease after the write.
            sent: when the write was sent; the term starts then.
            quiet_seconds: time after it in which no order is sent, as stored.
        """
        if stored.era < self.era:
            # The store has lost this write.
            self.mark_unknown()
            return
        self.learn_era(stored.era, sent)
        if self.revision is not None and stored.revision < self.revision:
            # A newer write became known before this acknowledgement.
            return
        self.quiet_until = max(
            self.quiet_until, self._former_quiet(sent), sent + quiet_seconds
        )
        if (self.era, self.revision) != self.last_write:
            # Others may have held the lease since the last acknowledged write,
            # even if this process is its holder again.
            self.fence = (stored.era << REVISION_BITS) + stored.revision
        self.last_write = stored.position
        self.revision = stored.revision
        self.held_by = self.holder
        self.written_in_era = True
        self.learnt_at = sent
        self.quiet_seconds = quiet_seconds
        self.term_ends = sent + TERM_SECONDS

    def _longest_wait(self) -> float:
        """Returns how long a successor waits after a former holder's write."""
        return TERM_SECONDS + self.lease_seconds

    def _former_quiet(self, sent: float) -> float:
        """Returns until when orders may be too close to a former holder's.

        A former holder's last successful write was sent before its revision
        became known here, so its term ends no later than TERM_SECONDS after
        that. One that was to be quiet for that time has given no order, and
        those before it are as far away as it had to wait itself. A holder whose
        writes were lost sent its last one before the new era became known.
        """
        wait = self._longest_wait()
        quiet = self.learnt_at + self.quiet_seconds
        if self.held_by not in ("", self.holder):
            may_have_ordered = (
                self.quiet_seconds < TERM_SECONDS - ORDER_MARGIN_SECONDS
            )
            if may_have_ordered:
                quiet = self.learnt_at + wait
        if self.era and not self.written_in_era and not self.holds(sent):
            quiet = max(quiet, self.era_learnt_at + wait)
        return quiet


def _revision(stored: registrations.Stored | registrations.Absent) -> int:
    match stored:
        case registrations.Stored(revision=revision):
            return revision
        case registrations.Absent():
            return 0


def _written_era(stored: registrations.Stored | registrations.Absent) -> int:
    """Returns the era that the lease's last writer knew, or -1 if unknown."""
    match stored:
        case registrations.Stored(value={"era": int(era)}):
            return era
        case registrations.Stored(value=dict()):
            return 0
        case _:
            return -1


def _quiet_seconds(
    stored: registrations.Stored | registrations.Absent,
) -> float:
    """Returns for how long the holder sends no order; 0 if not stored."""
    match stored:
        case registrations.Stored(value={"quiet_ms": int(ms)}):
            return ms / 1000
        case _:
            return 0.0


def _holder(stored: registrations.Stored | registrations.Absent) -> str:
    match stored:
        case registrations.Stored(value={"holder": holder}):
            return str(holder)
        case _:
            return ""
