"""Other ways to hold a limit over all routers, to compare with the product's.

Each has the interface of `quotas.limiters.Limiter`.
"""

import attrs

from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters
from pimentoledge.routing.quotas import rights

# Between two tellings of what ran, and how soon a router counts as silent.
TELL_SECONDS = 0.1
SILENT_SECONDS = 0.6
# Part of a limit that routers use beside an owner that they can't hear.
OWN_SHARE = 0.5


@attrs.define(kw_only=True)
class Counted:
    """What ran at one router since it started, by organisation."""

    life: int
    costs: dict[str, float]


class Way:
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

    def hold(self, share, now):
        """Sets the part of every limit that this router has."""
        for slot in self.ledger.slots:
            held = slot.leases.get(self.own)
            if share and (held is None or held.share != share):
                lease = ledgers.RightsLease(share=share, until=rights.NEVER)
                slot.put(self.own, lease, allowance=held is None, now=now)

    def tick(self, now):
        """Keeps the own part up to date."""
        self.hold(self.share(now), now)

    def handle(self, sender, message, now):
        """Takes no messages."""

    def unreachable(self, address, now):
        """Keeps no connections."""

    def leave(self, now):
        """Has nobody's rights."""
        self.leaving = True


class EqualParts(Way):
    """Each router has an equal part, and nothing is said."""


class Counts(Way):
    """Each router tells all others what ran, and keeps the whole limit.

    A router that is silent is taken to use its part.
    """

    def __init__(self, **more):
        super().__init__(**more)
        self.costs: dict[str, float] = {}
        self.known: dict[str, tuple[int, dict[str, float]]] = {}
        self.heard: dict[str, float] = {}
        self.limits: dict[str, ledgers.Limit] = {}
        self._next = 0.0
        self._news = False

    def acquire(self, organisation, limit, cost, now, decided):
        """Decides by the replica, and counts what runs."""
        self.limits[organisation] = limit

        def counted(answer):
            if answer.decision.granted:
                total = self.costs.get(organisation, 0.0) + cost
                self.costs[organisation] = total
                self._news = True
            decided(answer)

        return super().acquire(organisation, limit, cost, now, counted)

    def tick(self, now):
        """Tells what ran; shrinks to what those who are heard have."""
        own = self.share(now)
        heard = [
            each
            for each, when in self.heard.items()
            if now - when < SILENT_SECONDS
        ]
        self.hold(min(1.0, own * (1 + len(heard))), now)
        if now < self._next:
            return
        self._next = now + TELL_SECONDS
        told = Counted(life=self.life, costs=dict(self.costs))
        for each in self.routers(now):
            self.send(each, told)

    def handle(self, sender, message, now):
        """Takes what another router has counted."""
        self.heard[sender] = now
        life, before = self.known.get(sender, (message.life, {}))
        if life != message.life:
            before = {}
        self.known[sender] = (message.life, message.costs)
        for name, total in message.costs.items():
            more = total - before.get(name, 0.0)
            limit = self.limits.get(name)
            if more <= 0 or limit is None:
                continue
            slot = self.ledger.slots[ledgers.slot_of(name)]
            pool = slot.pool(name, limit, now)
            pool.level -= more


class WholeOwner(Way):
    """One owner has the whole limit; who can't hear it uses a part of half.

    As `decisions.lending` does for entries, with costs instead of requests.
    """

    def __init__(self, **more):
        super().__init__(**more)
        bounds = self.ledger.bounds
        self.owned = ledgers.Ledger(bounds=bounds)
        for slot in self.owned.slots:
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
        self.limiter.ledger = self.owned
        self.limiter.rights = self
        self.limiter._decide_here = self._decide_here
        self.talks: dict[str, float] = {}

    def target(self, slot, now):
        """Returns the owner of a slot, or this router."""
        sure = [
            each
            for each in self.routers(now)
            if now >= self.talks.get(each, -rights.NEVER)
        ]
        return rights.owner_of(slot, [*sure, self.own])

    def doubt(self, owner, now):
        """Asks an owner nothing for a second."""
        self.talks[owner] = now + 1.0

    def acquire(self, organisation, limit, cost, now, decided):
        """Asks the owner."""
        return self.limiter.acquire(organisation, limit, cost, now, decided)

    def _decide_here(self, question, now):
        owner = self.target(ledgers.slot_of(question.organisation), now)
        ledger = self.owned if owner == self.own else self.ledger
        decision = ledger.acquire(
            question.organisation, question.limit, question.cost, now
        )
        question.decided(
            limiters.AcquireResult(decision=decision, owner=self.own)
        )

    def tick(self, now):
        """Looks at late answers."""
        self.hold(OWN_SHARE * self.share(now), now)
        self.limiter._check_pending(now)

    def handle(self, sender, message, now):
        """Takes questions and answers."""
        self.limiter.handle(sender, message, now)

    def unreachable(self, address, now):
        """Takes that a connection broke."""
        if address in self.talks:
            self.doubt(address, now)


WAYS = {
    "equal parts": EqualParts,
    "counts told": Counts,
    "whole owner": WholeOwner,
    "lent rights": limiters.Limiter,
}
