"""One router's part of enforcing organisations' limits over all routers.

A pure state machine. For each request the router sends an acquire to the owner
of the organisation's slot, which answers from its ledger; there is no other
coordination. While no owner answers, the router decides by its own rights.
"""

from collections.abc import Callable
import math

import attrs

from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import messages
from pimentoledge.routing.quotas import rights as rights_module

# Timeout of an acquire. The owner is then suspected and gets no acquires for a
# while, and the next owner gets this one.
ANSWER_SECONDS = 0.15
# Number of owners tried for a request before the router's own rights decide.
MAX_OWNERS_ASKED = 2
# The connection is reopened after more unanswered messages than this.
MAX_UNANSWERED = 3
# A pending acquire is dropped after this time. Until then a late grant is
# matched to it and given back.
FORGET_SECONDS = 10.0
# An acquire's number has the process's life above this many bits. Lives of 31
# bits keep it within the range of numbers in messages.
ACQUIRE_BITS = 20


@attrs.frozen(kw_only=True)
class AcquireResult:
    """Result of an acquire.

    Attributes:
        decision: the ledger's decision.
        owner: mailbox of the router whose ledger decided.
        seconds: how long the answer took.
    """

    decision: ledgers.Decision
    owner: str
    seconds: float = 0.0


@attrs.define(kw_only=True)
class PendingAcquire:
    """An acquire that waits for an owner's answer.

    Attributes:
        organisation: organisation of the request.
        limit: the limit in this router's configuration.
        cost: cost in the limit's unit.
        decided: callback for the result; None if the result is not needed any
            more.
        owner: mailbox of the owner that the acquire was sent to.
        began: when the request arrived.
        requested_at: when the acquire was sent to that owner.
        owners_asked: number of owners tried so far.
    """

    organisation: str
    limit: ledgers.Limit
    cost: float
    decided: Callable[[AcquireResult], None] | None
    owner: str
    began: float
    requested_at: float
    owners_asked: int = 1


class Limiter:
    """Enforces organisations' limits at one router.

    Attributes:
        own: this router's mailbox.
        ledger: pools of the slots that it owns.
        rights: where its own rights are.
        share: returns its part of every limit; 0 while that is unknown.
        routers: returns the mailboxes of the other routers considered alive.
        send: sends a message to a mailbox.
        renew: reopens the connection to a mailbox.
        pending: acquires that wait for an answer, by number.
        leaving: whether this router is shutting down.
    """

    def __init__(
        self,
        *,
        own: str,
        life: int,
        bounds: ledgers.QuotaBounds,
        share: Callable[[float], float],
        routers: Callable[[float], list[str]],
        send: Callable[[str, object], None],
        renew: Callable[[str, float], None] = lambda address, now: None,
    ):
        self.own = own
        self.ledger = ledgers.Ledger(bounds=bounds)
        self.rights = rights_module.Rights(
            own=own, ledger=self.ledger, life=life
        )
        self.share = share
        self.routers = routers
        self.send = send
        self.renew = renew
        self.pending: dict[int, PendingAcquire] = {}
        self.leaving = False
        # Answers to an earlier process at this mailbox have other numbers.
        self._number = life << ACQUIRE_BITS
        self._stepped = False
        self._next_step_at = 0.0
        self._newest_leases: dict[str, tuple[int, int]] = {}

    def set_bounds(self, bounds: ledgers.QuotaBounds) -> None:
        """Replaces the bounds; the levels of all pools stay."""
        self.ledger.set_bounds(bounds)

    def acquire(
        self,
        organisation: str,
        limit: ledgers.Limit,
        cost: float,
        now: float,
        decided: Callable[[AcquireResult], None],
    ) -> int:
        """Acquires the cost of a request; may call `decided` before it returns.

        Returns the number of the acquire, for `cancel`.
        """
        if not self._stepped:
            self._step(now)
        pending_acquire = PendingAcquire(
            organisation=organisation,
            limit=limit,
            cost=cost,
            decided=decided,
            owner=self._target(organisation, now),
            began=now,
            requested_at=now,
        )
        return self._send_or_decide(pending_acquire, now)

    def _target(self, organisation: str, now: float) -> str:
        return self.rights.target(ledgers.slot_of(organisation), now)

    def _send_or_decide(
        self, pending_acquire: PendingAcquire, now: float
    ) -> int:
        self._number += 1
        if pending_acquire.owner == self.own:
            self._decide_here(pending_acquire, now)
            return self._number
        pending_acquire.requested_at = now
        self.pending[self._number] = pending_acquire
        limit = pending_acquire.limit
        self.send(
            pending_acquire.owner,
            messages.Acquire(
                number=self._number,
                organisation=pending_acquire.organisation,
                cost=pending_acquire.cost,
                version=limit.version,
                per_second=limit.per_second,
                burst=limit.burst,
                limit_age_ms=_limit_age_ms(limit, now),
            ),
        )
        return self._number

    def _decide_here(self, pending_acquire: PendingAcquire, now: float) -> None:
        decision = self.ledger.acquire(
            pending_acquire.organisation,
            pending_acquire.limit,
            pending_acquire.cost,
            now,
        )
        if not decision.granted and self._try_next_owner(pending_acquire, now):
            return
        pending_acquire.decided(
            AcquireResult(
                decision=decision,
                owner=self.own,
                seconds=now - pending_acquire.began,
            )
        )

    def _try_next_owner(
        self, pending_acquire: PendingAcquire, now: float
    ) -> bool:
        """Sends an acquire to the next owner of the slot, if there is one.

        A router that has just started has few rights; the next owner may
        already have those of other routers. Returns whether it was sent.
        """
        slot = ledgers.slot_of(pending_acquire.organisation)
        owner = self.rights.next_owner(slot, now)
        if owner is None or pending_acquire.owners_asked > 1:
            return False
        self._send_or_decide(
            attrs.evolve(pending_acquire, owner=owner, owners_asked=2), now
        )
        return True

    def cancel(self, number: int) -> None:
        """Cancels an acquire; a later grant is given back."""
        pending_acquire = self.pending.get(number)
        if pending_acquire is not None:
            pending_acquire.decided = None

    def give_back(
        self, organisation: str, cost: float, owner: str, now: float
    ) -> None:
        """Refunds the cost of a granted request that never ran."""
        if owner == self.own:
            self.ledger.give_back(organisation, cost, now)
            return
        self.send(
            owner, messages.GiveBack(organisation=organisation, cost=cost)
        )

    def tick(self, now: float) -> None:
        """Handles timeouts of acquires, and moves and renews rights."""
        self.ledger.expire(now)
        self._check_pending(now)
        if now < self._next_step_at:
            return
        self._step(now)
        self._next_step_at = now + self.rights.pause_seconds()

    def _step(self, now: float) -> None:
        self._stepped = True
        share = self.share(now)
        for owner, message in self.rights.step(share, self.routers(now), now):
            if message.unanswered > MAX_UNANSWERED:
                self.renew(owner, now)
            self.send(owner, message)

    def _check_pending(self, now: float) -> None:
        for number, pending_acquire in list(self.pending.items()):
            elapsed = now - pending_acquire.requested_at
            if (
                pending_acquire.decided is not None
                and elapsed >= ANSWER_SECONDS
            ):
                self._suspect(pending_acquire.owner, now)
                self._retry(number, pending_acquire, now)
            elif elapsed >= FORGET_SECONDS:
                del self.pending[number]

    def _retry(
        self, number: int, pending_acquire: PendingAcquire, now: float
    ) -> None:
        """Tries the next owner, or decides by the router's own rights."""
        again = attrs.evolve(
            pending_acquire, owners_asked=pending_acquire.owners_asked + 1
        )
        # The entry stays for a late answer, whose grant is given back.
        pending_acquire.decided = None
        self._retry_elsewhere(again, pending_acquire.owner, now)

    def _retry_elsewhere(
        self, again: PendingAcquire, before: str, now: float
    ) -> None:
        again.owner = self._target(again.organisation, now)
        if again.owners_asked > MAX_OWNERS_ASKED or again.owner == before:
            again.owner = self.own
        self._send_or_decide(again, now)

    def _suspect(self, owner: str, now: float) -> None:
        """Marks an owner as suspected, and sends leases to the next owners.

        They get acquires from now on, so they need the allowances at once.
        """
        if self.rights.suspect(owner, now):
            self._step(now)

    def unreachable(self, address: str, now: float) -> None:
        """Handles a broken connection to another router."""
        if address not in self.rights.owner_states:
            return
        self._suspect(address, now)
        for number, pending_acquire in list(self.pending.items()):
            if (
                pending_acquire.owner == address
                and pending_acquire.decided is not None
            ):
                self._retry(number, pending_acquire, now)

    def leave(self, now: float) -> None:
        """Releases all rights of other routers, as this router shuts down."""
        self.leaving = True
        lenders = {
            each for slot in self.ledger.slots for each in slot.leases
        } - {self.own}
        for each in lenders:
            self.ledger.remove(each, now)
            self.send(each, self._leaving_answer(0))

    def _leaving_answer(self, number: int) -> messages.RightsLeased:
        return messages.RightsLeased(number=number, clock_ms=0, leaving=True)

    def handle(self, sender: str, message: object, now: float) -> None:
        """Handles a message of another router."""
        match message:
            case messages.LeaseRights():
                self._handle_lease(sender, message, now)
            case messages.RightsLeased():
                self._handle_lease_answer(sender, message, now)
            case messages.Acquire():
                self._handle_acquire(sender, message, now)
            case messages.Acquired():
                self._handle_acquired(sender, message, now)
            case messages.GiveBack(organisation=organisation, cost=cost):
                self.ledger.give_back(organisation, cost, now)

    def _handle_lease(
        self, sender: str, rights: messages.LeaseRights, now: float
    ) -> None:
        """Replaces the rights that another router lends to this one."""
        if rights.unanswered > MAX_UNANSWERED:
            # Its messages arrive, so the answers to it get lost.
            self.renew(sender, now)
        if self.leaving:
            self.ledger.remove(sender, now)
            self.send(sender, self._leaving_answer(rights.number))
            return
        life, number = self._newest_leases.get(sender, (0, 0))
        if life == rights.life and rights.number <= number:
            return
        self._newest_leases[sender] = (rights.life, rights.number)
        age_ms = int(1000 * now) - rights.echo_ms
        timely = rights.echo_ms > 0 and 0 <= age_ms < rights.term_ms
        until = (rights.echo_ms + rights.term_ms) / 1000
        for number, slot in enumerate(self.ledger.slots):
            fresh = number in rights.fresh
            if number in rights.slots and timely:
                lease = ledgers.RightsLease(share=rights.share, until=until)
                slot.put(sender, lease, allowance=fresh, now=now)
            elif number not in rights.slots:
                slot.remove(sender, now)
                if fresh:
                    slot.add_allowance(sender, rights.share, now)
        answer = messages.RightsLeased(
            number=rights.number, clock_ms=int(1000 * now)
        )
        self.send(sender, answer)

    def _handle_lease_answer(
        self, sender: str, answer: messages.RightsLeased, now: float
    ) -> None:
        first = sender not in self.rights.owner_states or (
            not self.rights.owner_state(sender).answered
        )
        self.rights.handle_answer(sender, answer, now)
        if first or answer.leaving:
            # Rights that waited for a new owner's clock reading are lent now.
            self._step(now)

    def _handle_acquire(
        self, sender: str, acquire: messages.Acquire, now: float
    ) -> None:
        limit = _limit_of(acquire, now)
        decision = self.ledger.acquire(
            acquire.organisation, limit, acquire.cost, now
        )
        wait = decision.wait_seconds
        self.send(
            sender,
            messages.Acquired(
                number=acquire.number,
                granted=decision.granted,
                wait_ms=-1 if wait is None else math.ceil(1000 * wait),
                left=decision.left,
                share=decision.share,
            ),
        )

    def _handle_acquired(
        self, sender: str, answer: messages.Acquired, now: float
    ) -> None:
        pending_acquire = self.pending.pop(answer.number, None)
        if pending_acquire is None:
            return
        if pending_acquire.decided is None:
            if answer.granted:
                self.give_back(
                    pending_acquire.organisation,
                    pending_acquire.cost,
                    sender,
                    now,
                )
            return
        if not answer.granted and not answer.share:
            # A refusal by a router without rights does not mean that the
            # limit is used up.
            self._suspect(sender, now)
            again = attrs.evolve(
                pending_acquire, owners_asked=pending_acquire.owners_asked + 1
            )
            self._retry_elsewhere(again, sender, now)
            return
        wait = None if answer.wait_ms < 0 else answer.wait_ms / 1000
        pending_acquire.decided(
            AcquireResult(
                decision=ledgers.Decision(
                    granted=answer.granted,
                    wait_seconds=wait,
                    left=answer.left,
                    share=answer.share,
                ),
                owner=sender,
                seconds=now - pending_acquire.began,
            )
        )


def _limit_age_ms(limit: ledgers.Limit, now: float) -> int:
    """Returns how long ago a server's limit was received, else -1."""
    if limit.bounds is None:
        return -1
    return max(0, int(1000 * now) - limit.version)


def _limit_of(acquire: messages.Acquire, now: float) -> ledgers.Limit:
    """Returns the limit of an acquire, with times of this router's clock."""
    if acquire.limit_age_ms >= 0:
        received_at = now - acquire.limit_age_ms / 1000
        return ledgers.server_limit(acquire.per_second, received_at)
    return ledgers.Limit(
        version=acquire.version,
        per_second=acquire.per_second,
        burst=acquire.burst,
    )
