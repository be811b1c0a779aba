"""Other ways to hold a limit over all routers, to compare with the product's.

Each has the interface of `quotas.limiters.Limiter`.
"""

import attrs

from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters
from pimentoledge.routing.quotas import rights

# Between two tellings of what ran, and how soon a router counts as silent.
BROADCAST_SECONDS = 0.1
SILENT_SECONDS = 0.6
# Part of a limit that routers use beside an owner that they can't hear.
FALLBACK_SHARE = 0.5


@attrs.define(kw_only=True)
class CountReport:
    """What ran at one router since it started, by organisation."""

    life: int
    costs: dict[str, float]


class LocalLimiter:
    """What the ways have in common: an own ledger, decided at once."""

    def __init__(self, *, own, life, bounds, share, routers, send):
        self.own = own
        self.life = life
        self.ledger = ledgers.Ledger(bounds=bounds)
        self.share = share
        self.routers = routers
        self.send = send
        self.leaving = False

    def acquire(self, organisation, limit, cost, now, decided):
        """Decides by the own ledger."""
        decision = self.ledger.acquire(organisation, limit, cost, now)
        decided(limiters.AcquireResult(decision=decision, owner=self.own))
        return 0

    def cancel(self, number):
        """Nothing waits."""

    def give_back(self, organisation, cost, owner, now):
        """Returns what never ran."""
        self.ledger.give_back(organisation, cost, now)

    def set_share(self, share, now):
        """Sets the part of every limit that this router has."""
        for slot in self.ledger.slots:
            lease_before = slot.leases.get(self.own)
            if share and (lease_before is None or lease_before.share != share):
                lease = ledgers.RightsLease(share=share, until=rights.NEVER)
                slot.put(
                    self.own, lease, allowance=lease_before is None, now=now
                )

    def tick(self, now):
        """Keeps the own part up to date."""
        self.set_share(self.share(now), now)

    def handle(self, sender, message, now):
        """Takes no messages."""

    def unreachable(self, address, now):
        """Keeps no connections."""

    def leave(self, now):
        """Has nobody's rights."""
        self.leaving = True


class EqualShares(LocalLimiter):
    """Each router has an equal part, and nothing is said."""


class BroadcastCounts(LocalLimiter):
    """Each router tells all others what ran, and keeps the whole limit.

    A router that is silent is taken to use its part.
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        self.costs: dict[str, float] = {}
        self.last_reports: dict[str, tuple[int, dict[str, float]]] = {}
        self.last_report_at: dict[str, float] = {}
        self.limits: dict[str, ledgers.Limit] = {}
        self._next_broadcast_at = 0.0
        self._changed = False

    def acquire(self, organisation, limit, cost, now, decided):
        """Decides by the replica, and counts what runs."""
        self.limits[organisation] = limit

        def record_decision(answer):
            if answer.decision.granted:
                total = self.costs.get(organisation, 0.0) + cost
                self.costs[organisation] = total
                self._changed = True
            decided(answer)

        return super().acquire(organisation, limit, cost, now, record_decision)

    def tick(self, now):
        """Tells what ran; shrinks to what those who are heard have."""
        own_share = self.share(now)
        reporting = [
            each
            for each, when in self.last_report_at.items()
            if now - when < SILENT_SECONDS
        ]
        self.set_share(min(1.0, own_share * (1 + len(reporting))), now)
        if now < self._next_broadcast_at:
            return
        self._next_broadcast_at = now + BROADCAST_SECONDS
        report = CountReport(life=self.life, costs=dict(self.costs))
        for each in self.routers(now):
            self.send(each, report)

    def handle(self, sender, message, now):
        """Takes what another router has counted."""
        self.last_report_at[sender] = now
        life, before = self.last_reports.get(sender, (message.life, {}))
        if life != message.life:
            before = {}
        self.last_reports[sender] = (message.life, message.costs)
        for name, total in message.costs.items():
            increase = total - before.get(name, 0.0)
            limit = self.limits.get(name)
            if increase <= 0 or limit is None:
                continue
            slot = self.ledger.slots[ledgers.slot_of(name)]
            pool = slot.pool(name, limit, now)
            pool.level -= increase


class SingleOwner(LocalLimiter):
    """One owner has the whole limit; who can't hear it uses a part of half.

    As `decisions.lending` does for entries, with costs instead of requests.
    """

    def __init__(self, **fields):
        super().__init__(**fields)
        bounds = self.ledger.bounds
        self.owner_ledger = ledgers.Ledger(bounds=bounds)
        for slot in self.owner_ledger.slots:
            lease = ledgers.RightsLease(share=1.0, until=rights.NEVER)
            slot._counted_at = -100.0
            slot.put(self.own, lease, allowance=False, now=-100.0)
        self.limiter = limiters.Limiter(
            own=self.own,
            life=self.life,
            bounds=bounds,
            share=self.share,
            routers=self.routers,
            send=self.send,
        )
        self.limiter.ledger = self.owner_ledger
        self.limiter.rights = self
        self.limiter._decide_here = self._decide_here
        self.retry_at: dict[str, float] = {}

    def target(self, slot, now):
        """Returns the owner of a slot, or this router."""
        reachable = [
            each
            for each in self.routers(now)
            if now >= self.retry_at.get(each, -rights.NEVER)
        ]
        return rights.owner_of(slot, [*reachable, self.own])

    def suspect(self, owner, now):
        """Asks an owner nothing for a second."""
        self.retry_at[owner] = now + 1.0

    def acquire(self, organisation, limit, cost, now, decided):
        """Asks the owner."""
        return self.limiter.acquire(organisation, limit, cost, now, decided)

    def _decide_here(self, pending_acquire, now):
        owner = self.target(ledgers.slot_of(pending_acquire.organisation), now)
        ledger = self.owner_ledger if owner == self.own else self.ledger
        decision = ledger.acquire(
            pending_acquire.organisation,
            pending_acquire.limit,
            pending_acquire.cost,
            now,
        )
        pending_acquire.decided(
            limiters.AcquireResult(decision=decision, owner=self.own)
        )

    def tick(self, now):
        """Looks at late answers."""
        self.set_share(FALLBACK_SHARE * self.share(now), now)
        self.limiter._check_pending(now)

    def handle(self, sender, message, now):
        """Takes questions and answers."""
        self.limiter.handle(sender, message, now)

    def unreachable(self, address, now):
        """Takes that a connection broke."""
        if address in self.retry_at:
            self.suspect(address, now)


LIMITERS = {
    "equal parts": EqualShares,
    "counts told": BroadcastCounts,
    "whole owner": SingleOwner,
    "lent rights": limiters.Limiter,
}
