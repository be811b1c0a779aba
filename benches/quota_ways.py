"""Alternative limiters for limits over all routers, for comparison.

Each has the interface of `routing.quotas.limiters.Limiter`.
"""

import attrs

from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters
from pimentoledge.routing.quotas import rights

# Interval between two count reports, and time without one after which a router
# counts as silent.
BROADCAST_SECONDS = 0.1
SILENT_SECONDS = 0.6
# Share of a limit that routers may use while its owner is unreachable.
FALLBACK_SHARE = 0.5


@attrs.define(kw_only=True)
class CountReport:
    """Costs executed at one router since its start, by organisation.

    Attributes:
        life: number of the router's start.
        costs: total cost by organisation.
    """

    life: int
    costs: dict[str, float]


class LocalLimiter:
    """Base of the limiters: decides at once by the router's own ledger."""

    def __init__(self, *, own, life, bounds, share, routers, send):
        self.own = own
        self.life = life
        self.ledger = ledgers.Ledger(bounds=bounds)
        self.share = share
        self.routers = routers
        self.send = send
        self.leaving = False

    def acquire(self, organisation, limit, cost, now, decided):
        """Decides by the router's own ledger."""
        decision = self.ledger.acquire(organisation, limit, cost, now)
        decided(limiters.AcquireResult(decision=decision, owner=self.own))
        return 0

    def cancel(self, number):
        """Does nothing, as no acquire is pending."""

    def give_back(self, organisation, cost, owner, now):
        """Refunds the cost of a granted request that never ran."""
        self.ledger.give_back(organisation, cost, now)

    def set_share(self, share, now):
        """Sets this router's share of every limit."""
        for slot in self.ledger.slots:
            lease_before = slot.leases.get(self.own)
            if share and (lease_before is None or lease_before.share != share):
                lease = ledgers.RightsLease(share=share, until=rights.NEVER)
                slot.put(
                    self.own, lease, allowance=lease_before is None, now=now
                )

    def tick(self, now):
        """Updates this router's share."""
        self.set_share(self.share(now), now)

    def handle(self, sender, message, now):
        """Ignores messages."""

    def unreachable(self, address, now):
        """Does nothing, as there are no connections."""

    def leave(self, now):
        """Marks the router as leaving; it has no rights to release."""
        self.leaving = True


class EqualShares(LocalLimiter):
    """Gives each router an equal share, without messages."""


class BroadcastCounts(LocalLimiter):
    """Sends executed costs to all routers, each of which has the whole limit.

    A silent router is assumed to use its share.
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
        """Decides by the replicated bucket and counts granted costs."""
        self.limits[organisation] = limit

        def record_decision(answer):
            if answer.decision.granted:
                total = self.costs.get(organisation, 0.0) + cost
                self.costs[organisation] = total
                self._changed = True
            decided(answer)

        return super().acquire(organisation, limit, cost, now, record_decision)

    def tick(self, now):
        """Sets the share to that of all reporting routers; sends own counts."""
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
        """Subtracts another router's newly reported costs from the pools."""
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
    """One owner decides for the whole limit of an organisation.

    Routers that can't reach the owner use their share of FALLBACK_SHARE of the
    limit. `decisions.lending` does the same for entries, with requests instead
    of costs.
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
        """Returns the owner of a slot among reachable routers and this one."""
        reachable = [
            each
            for each in self.routers(now)
            if now >= self.retry_at.get(each, -rights.NEVER)
        ]
        return rights.owner_of(slot, [*reachable, self.own])

    def suspect(self, owner, now):
        """Marks an owner as unreachable for a second."""
        self.retry_at[owner] = now + 1.0

    def acquire(self, organisation, limit, cost, now, decided):
        """Acquires the cost from the owner."""
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
        """Updates the fallback share and handles timeouts of acquires."""
        self.set_share(FALLBACK_SHARE * self.share(now), now)
        self.limiter._check_pending(now)

    def handle(self, sender, message, now):
        """Handles acquires of other routers and answers of owners."""
        self.limiter.handle(sender, message, now)

    def unreachable(self, address, now):
        """Marks an owner whose connection broke as unreachable."""
        if address in self.retry_at:
            self.suspect(address, now)


LIMITERS = {
    "equal parts": EqualShares,
    "counts told": BroadcastCounts,
    "whole owner": SingleOwner,
    "lent rights": limiters.Limiter,
}
