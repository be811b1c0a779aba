"""One router's part of holding organisations' limits over all routers.

A pure state machine. A request is asked for at the owner of its organisation's
slot, which answers from its ledger; nothing else is agreed. While no owner
answers, the router goes by the rights that it has itself.
"""

from collections.abc import Callable

import attrs

from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import messages
from pimentoledge.routing.quotas import rights as rights_module

# An owner that has not answered a question by then is asked no more for a
# while, and the next one is asked.
ANSWER_SECONDS = 0.15
# How many owners are asked about a request before the own rights decide.
MAX_OWNERS_ASKED = 2
# After so many messages without an answer the connections are opened anew.
MAX_UNANSWERED = 3
# Answers that come so late are of no use; what they granted is given back.
FORGET_SECONDS = 10.0


@attrs.frozen(kw_only=True)
class AcquireResult:
    """What became of a request that asked for its part of a limit.

    Attributes:
        decision: what a ledger said.
        owner: mailbox of the router whose ledger that was.
        seconds: how long the answer took.
    """

    decision: ledgers.Decision
    owner: str
    seconds: float = 0.0


@attrs.define(kw_only=True)
class PendingAcquire:
    """A request that waits for an owner's answer.

    Attributes:
        organisation: whose it is.
        limit: as this router knows it.
        cost: in the limit's unit.
        decided: called with the answer; None when nobody waits any more.
        owner: who is asked.
        began: when the request came.
        asked_at: when that owner was asked.
        asked: how many owners were asked.
    """

    organisation: str
    limit: ledgers.Limit
    cost: float
    decided: Callable[[AcquireResult], None] | None
    owner: str
    began: float
    asked_at: float
    asked: int = 1


class Limiter:
    """Limits of organisations, as one router keeps them.

    Attributes:
        own: this router's mailbox.
        ledger: what it owns.
        rights: where its own rights lie.
        share: returns its part of every limit; 0 while that is not known.
        routers: returns the mailboxes of the others believed to live.
        send: sends a message to a mailbox.
        renew: opens the connection to a mailbox anew.
        pending: requests that wait, by number.
        leaving: whether this router ends.
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
        self._number = 0
        self._stepped = False
        self._next_step_at = 0.0
        self._newest_leases: dict[str, tuple[int, int]] = {}

    def set_bounds(self, bounds: ledgers.QuotaBounds) -> None:
        """Takes changed bounds; what is left of each limit stays."""
        self.ledger.set_bounds(bounds)

    def acquire(
        self,
        organisation: str,
        limit: ledgers.Limit,
        cost: float,
        now: float,
        decided: Callable[[AcquireResult], None],
    ) -> int:
        """Asks to let a request in; `decided` may be called at once.

        Returns the number of the question, for `cancel`.
        """
        if not self._stepped:
            self._step(now)
        question = PendingAcquire(
            organisation=organisation,
            limit=limit,
            cost=cost,
            decided=decided,
            owner=self._target(organisation, now),
            began=now,
            asked_at=now,
        )
        return self._send_or_decide(question, now)

    def _target(self, organisation: str, now: float) -> str:
        return self.rights.target(ledgers.slot_of(organisation), now)

    def _send_or_decide(self, question: PendingAcquire, now: float) -> int:
        self._number += 1
        if question.owner == self.own:
            self._decide_here(question, now)
            return self._number
        question.asked_at = now
        self.pending[self._number] = question
        limit = question.limit
        self.send(
            question.owner,
            messages.Acquire(
                number=self._number,
                organisation=question.organisation,
                cost=question.cost,
                version=limit.version,
                per_second=limit.per_second,
                burst=limit.burst,
                limit_age_ms=_limit_age_ms(limit, now),
            ),
        )
        return self._number

    def _decide_here(self, question: PendingAcquire, now: float) -> None:
        decision = self.ledger.acquire(
            question.organisation, question.limit, question.cost, now
        )
        if not decision.granted and self._try_next_owner(question, now):
            return
        question.decided(
            AcquireResult(
                decision=decision, owner=self.own, seconds=now - question.began
            )
        )

    def _try_next_owner(self, question: PendingAcquire, now: float) -> bool:
        """Asks the owner to which the own rights are about to go, if any.

        A router that has just started has few rights; who is to have them may
        have those of others already.
        """
        slot = ledgers.slot_of(question.organisation)
        owner = self.rights.next_owner(slot, now)
        if owner is None or question.asked > 1:
            return False
        self._send_or_decide(attrs.evolve(question, owner=owner, asked=2), now)
        return True

    def cancel(self, number: int) -> None:
        """Takes that nobody waits for an answer any more."""
        question = self.pending.get(number)
        if question is not None:
            question.decided = None

    def give_back(
        self, organisation: str, cost: float, owner: str, now: float
    ) -> None:
        """Returns what was granted to a request that never ran."""
        if owner == self.own:
            self.ledger.give_back(organisation, cost, now)
            return
        self.send(
            owner, messages.GiveBack(organisation=organisation, cost=cost)
        )

    def tick(self, now: float) -> None:
        """Does what is due: late answers, rights, and telling owners."""
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
        for number, question in list(self.pending.items()):
            late = now - question.asked_at
            if question.decided is not None and late >= ANSWER_SECONDS:
                self._suspect(question.owner, now)
                self._retry(number, question, now)
            elif late >= FORGET_SECONDS:
                del self.pending[number]

    def _retry(self, number: int, question: PendingAcquire, now: float) -> None:
        """Asks the next owner, or decides by the own rights."""
        again = attrs.evolve(question, asked=question.asked + 1)
        # A late answer still finds the question: what it grants is given back.
        question.decided = None
        self._retry_elsewhere(again, question.owner, now)

    def _retry_elsewhere(
        self, again: PendingAcquire, before: str, now: float
    ) -> None:
        again.owner = self._target(again.organisation, now)
        if again.asked > MAX_OWNERS_ASKED or again.owner == before:
            again.owner = self.own
        self._send_or_decide(again, now)

    def _suspect(self, owner: str, now: float) -> None:
        """Tells the next owners at once that they will be asked."""
        if self.rights.suspect(owner, now):
            self._step(now)

    def unreachable(self, address: str, now: float) -> None:
        """Takes that a connection to another router broke."""
        if address not in self.rights.owner_states:
            return
        self._suspect(address, now)
        for number, question in list(self.pending.items()):
            if question.owner == address and question.decided is not None:
                self._retry(number, question, now)

    def leave(self, now: float) -> None:
        """Lets go of all rights of others, since this router ends."""
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
        """Takes a message of another router."""
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
        self, sender: str, lent: messages.LeaseRights, now: float
    ) -> None:
        """Takes another router's rights as they are from now on."""
        if lent.unanswered > MAX_UNANSWERED:
            # Its messages come, so it is the answers that get lost.
            self.renew(sender, now)
        if self.leaving:
            self.ledger.remove(sender, now)
            self.send(sender, self._leaving_answer(lent.number))
            return
        life, number = self._newest_leases.get(sender, (0, 0))
        if life == lent.life and lent.number <= number:
            return
        self._newest_leases[sender] = (lent.life, lent.number)
        age_ms = int(1000 * now) - lent.echo_ms
        timely = lent.echo_ms > 0 and 0 <= age_ms < lent.term_ms
        until = (lent.echo_ms + lent.term_ms) / 1000
        for number, slot in enumerate(self.ledger.slots):
            fresh = number in lent.fresh
            if number in lent.slots and timely:
                lease = ledgers.RightsLease(share=lent.share, until=until)
                slot.put(sender, lease, allowance=fresh, now=now)
            elif number not in lent.slots:
                slot.remove(sender, now)
                if fresh:
                    slot.add_allowance(sender, lent.share, now)
        answer = messages.RightsLeased(
            number=lent.number, clock_ms=int(1000 * now)
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
            # Rights that waited for a new owner's clock go there at once.
            self._step(now)

    def _handle_acquire(
        self, sender: str, asked: messages.Acquire, now: float
    ) -> None:
        limit = _limit_of(asked, now)
        decision = self.ledger.acquire(
            asked.organisation, limit, asked.cost, now
        )
        wait = decision.wait_seconds
        self.send(
            sender,
            messages.Acquired(
                number=asked.number,
                granted=decision.granted,
                wait_ms=-1 if wait is None else int(1000 * wait),
                left=decision.left,
                share=decision.share,
            ),
        )

    def _handle_acquired(
        self, sender: str, answer: messages.Acquired, now: float
    ) -> None:
        question = self.pending.pop(answer.number, None)
        if question is None:
            return
        if question.decided is None:
            if answer.granted:
                self.give_back(
                    question.organisation, question.cost, sender, now
                )
            return
        if not answer.granted and not answer.share:
            # Who holds no rights knows nothing of the limit.
            self._suspect(sender, now)
            again = attrs.evolve(question, asked=question.asked + 1)
            self._retry_elsewhere(again, sender, now)
            return
        wait = None if answer.wait_ms < 0 else answer.wait_ms / 1000
        question.decided(
            AcquireResult(
                decision=ledgers.Decision(
                    granted=answer.granted,
                    wait_seconds=wait,
                    left=answer.left,
                    share=answer.share,
                ),
                owner=sender,
                seconds=now - question.began,
            )
        )


def _limit_age_ms(limit: ledgers.Limit, now: float) -> int:
    """Returns how long ago a server's limit was received, else -1."""
    if limit.bounds is None:
        return -1
    return max(0, int(1000 * now) - limit.version)


def _limit_of(asked: messages.Acquire, now: float) -> ledgers.Limit:
    """Returns the limit that a question is about, by this router's clock."""
    if asked.limit_age_ms >= 0:
        heard = now - asked.limit_age_ms / 1000
        return ledgers.server_limit(asked.per_second, heard)
    return ledgers.Limit(
        version=asked.version,
        per_second=asked.per_second,
        burst=asked.burst,
    )
