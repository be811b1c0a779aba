"""Where a router's rights lie: in its own ledger, or lent to an owner.

Rights are lent for a term that counts from a reading of the owner's own clock,
which the owner sends and the lender sends back. So the owner never counts on
rights that the lender has taken back, however late a message comes.
"""

import attrs

from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import messages

# Between two messages to an owner; of many routers each sends fewer.
MESSAGE_INTERVAL_SECONDS = 0.25
# An owner hears so many of these in a second at most.
MAX_MESSAGES_PER_SECOND = 150
# The same while rights wait for an owner that has not answered yet.
WAITING_INTERVAL_SECONDS = 0.5
# Rights are lent for so many intervals between messages.
TERM_INTERVALS = 4
# An owner that leaves so many intervals' messages unanswered is silent.
SILENT_INTERVALS = 2.4
# A silent owner is not chosen again for so long, at first.
AVOID_SECONDS = 2.0
# At most; each time that it stays silent the time doubles.
MAX_AVOID_SECONDS = 16.0
# The same for an owner that ends.
LEAVING_SECONDS = 10.0
# An owner that left a question unanswered is asked none for so long.
SUSPECT_SECONDS = 0.5
NEVER = float("inf")


@attrs.define(kw_only=True)
class OwnerState:
    """What was said between this router and an owner.

    Attributes:
        number: of the newest message to it.
        answered: the newest of these that it answered.
        echo_ms: its clock at that answer, or 0.
        echo_at: when that answer came.
        waiting_since: when the first message without an answer was sent.
        avoided_until: before this, or an answer, no rights are lent to it.
        avoided_seconds: for how long it was avoided the last time.
        suspected_until: before this it is asked nothing.
    """

    number: int = 0
    answered: int = 0
    echo_ms: int = 0
    echo_at: float = -NEVER
    waiting_since: float | None = None
    avoided_until: float = -NEVER
    avoided_seconds: float = 0.0
    suspected_until: float = -NEVER

    def avoid(self, seconds: float, now: float) -> None:
        """Lends it nothing for a time."""
        self.avoided_seconds = seconds
        self.avoided_until = now + seconds
        self.waiting_since = None


@attrs.define(kw_only=True)
class SlotLocation:
    """Where the rights of a slot lie.

    Attributes:
        owner: mailbox of the router that has them.
        until: when they lapse there.
        ending: whether they are to be taken back.
        left_out: number of the first message to the owner that leaves the slot
            out, or None.
        brought_to: mailbox of the router that the newest allowance went to.
        brought_at: when it was last said to go there.
        fresh: whether that router has not answered yet.
    """

    owner: str
    until: float = NEVER
    ending: bool = False
    left_out: int | None = None
    brought_to: str | None = None
    brought_at: float = -NEVER
    fresh: bool = False

    def send_allowance(self, router: str, now: float, *, fresh: bool) -> None:
        """Takes that the allowance goes to a router from now on."""
        self.brought_to = router
        self.brought_at = now
        self.fresh = fresh


def message_interval_seconds(share: float) -> float:
    """Returns the time between messages, by a router's part of all."""
    return (
        max(MESSAGE_INTERVAL_SECONDS, 1 / share / MAX_MESSAGES_PER_SECOND)
        if share
        else MESSAGE_INTERVAL_SECONDS
    )


def owner_of(slot: int, routers: list[str]) -> str:
    """Returns the router that comes next on the circle after a slot."""
    here = heartbeat_rings.place(f"quota-slot-{slot}")
    return min(
        routers,
        key=lambda each: (heartbeat_rings.place(each) - here)
        % heartbeat_rings.CIRCLE,
    )


class Rights:
    """This router's rights, slot by slot.

    Attributes:
        own: this router's mailbox.
        ledger: its own ledger.
        life: tells messages of this process from those of an earlier one.
        locations: where the rights of each slot lie.
        wanted: the router that is to have them.
        owner_states: by owner.
        share: this router's part of every limit; 0 while it is not known.
    """

    def __init__(self, *, own: str, ledger: ledgers.Ledger, life: int):
        self.own = own
        self.ledger = ledger
        self.life = life
        self.locations = [SlotLocation(owner=own) for _ in range(ledgers.SLOTS)]
        self.wanted = [own] * ledgers.SLOTS
        self.owner_states: dict[str, OwnerState] = {}
        self.share = 0.0

    @property
    def term_seconds(self) -> float:
        """For how long rights are lent."""
        return TERM_INTERVALS * message_interval_seconds(self.share)

    def pause_seconds(self) -> float:
        """Returns for how long owners need not be written to."""
        pause = message_interval_seconds(self.share)
        waits = any(
            home.owner == self.own and wanted != self.own
            for home, wanted in zip(self.locations, self.wanted, strict=True)
        )
        return min(pause, WAITING_INTERVAL_SECONDS) if waits else pause

    def owner_state(self, owner: str) -> OwnerState:
        """Returns what was said between this router and an owner."""
        return self.owner_states.setdefault(owner, OwnerState())

    def target(self, slot: int, now: float) -> str:
        """Returns whom to ask about a slot's organisations."""
        owner = self.locations[slot].owner
        if owner == self.own or not self._is_suspected(owner, now):
            return owner
        wanted = self.wanted[slot]
        return self.own if self._is_suspected(wanted, now) else wanted

    def next_owner(self, slot: int, now: float) -> str | None:
        """Returns where the rights of a slot go next, if not here."""
        wanted = self.wanted[slot]
        lies_here = self.locations[slot].owner == self.own
        if (
            not lies_here
            or wanted == self.own
            or self._is_suspected(wanted, now)
        ):
            return None
        return wanted

    def suspect(self, owner: str, now: float) -> bool:
        """Takes that an owner gave no answer; returns whether it is news."""
        news = not self._is_suspected(owner, now)
        self.owner_state(owner).suspected_until = now + SUSPECT_SECONDS
        return news

    def _is_suspected(self, owner: str, now: float) -> bool:
        if owner == self.own:
            return False
        talk = self.owner_state(owner)
        return now < max(talk.suspected_until, talk.avoided_until)

    def _answered_recently(self, owner: str, now: float) -> bool:
        """Returns whether an owner's newest answer is new enough to lend by."""
        if owner == self.own:
            return True
        return now - self.owner_state(owner).echo_at < self.term_seconds / 2

    def step(
        self, share: float, routers: list[str], now: float
    ) -> list[tuple[str, messages.LeaseRights]]:
        """Moves rights where that is due; returns messages to owners.

        Args:
            share: this router's part of every limit, or 0.
            routers: mailboxes of the others that are believed to live.
            now: the time.
        """
        self.share = share
        self._avoid_silent(now)
        trusted = [
            each
            for each in routers
            if now >= self.owner_state(each).avoided_until
        ]
        sure = [
            each
            for each in trusted
            if now >= self.owner_state(each).suspected_until
        ]
        for slot in range(ledgers.SLOTS):
            self.wanted[slot] = owner_of(slot, [*sure, self.own])
            self._step_slot(slot, now)
        return self._messages(now)

    def _avoid_silent(self, now: float) -> None:
        most = SILENT_INTERVALS * message_interval_seconds(self.share)
        for talk in self.owner_states.values():
            if talk.waiting_since is None or now - talk.waiting_since < most:
                continue
            seconds = max(AVOID_SECONDS, 2 * talk.avoided_seconds)
            talk.avoid(min(seconds, MAX_AVOID_SECONDS), now)

    def _step_slot(self, slot: int, now: float) -> None:
        home, wanted = self.locations[slot], self.wanted[slot]
        if home.owner == self.own:
            if (
                wanted != self.own
                and self.share
                and self._answered_recently(wanted, now)
            ):
                self._lend(slot, wanted, now)
            else:
                self._keep(slot, now)
            return
        talk = self.owner_state(home.owner)
        if wanted != home.owner:
            home.ending = now < talk.avoided_until or (
                now >= talk.suspected_until
                and self._answered_recently(wanted, now)
            )
        else:
            home.ending = False
            home.left_out = None
        let_go = home.left_out is not None and talk.answered >= home.left_out
        if let_go or now >= home.until:
            self.take_back(slot, now)

    def _keep(self, slot: int, now: float) -> None:
        """Puts the rights into the own ledger, or changes them there."""
        held = self.ledger.slots[slot].leases.get(self.own)
        if self.share and (held is None or held.share != self.share):
            self._put(slot, now)

    def _put(self, slot: int, now: float) -> None:
        home = self.locations[slot]
        held = self.ledger.slots[slot]
        comes = self.own not in held.leases
        stays = self.wanted[slot] == self.own
        due = comes and stays and self._allowance_due(home, now)
        if due:
            home.send_allowance(self.own, now, fresh=False)
        lease = ledgers.RightsLease(share=self.share, until=NEVER)
        held.put(self.own, lease, allowance=due, now=now)

    def _allowance_due(self, home: SlotLocation, now: float) -> bool:
        """Returns whether no allowance can be spent with that of before.

        It may have been counted anywhere until it lapsed.
        """
        window = ledgers.longest_window(self.ledger.bounds)
        return now - home.brought_at >= window + ledgers.ALLOWANCE_SECONDS

    def _lend(self, slot: int, owner: str, now: float) -> None:
        home = self.locations[slot]
        held = self.ledger.slots[slot]
        unused = home.brought_to == self.own and not held.pools
        if unused:
            held.withdraw_allowance(self.own)
        if unused or self._allowance_due(home, now):
            home.send_allowance(owner, now, fresh=True)
        held.remove(self.own, now)
        home.owner = owner
        home.until = self.owner_state(owner).echo_at + self.term_seconds
        home.ending = False
        home.left_out = None

    def take_back(self, slot: int, now: float) -> None:
        """Takes the rights of a slot back into the own ledger."""
        home = self.locations[slot]
        home.owner = self.own
        home.until = NEVER
        home.ending = False
        home.left_out = None
        if self.share:
            self._put(slot, now)

    def _messages(self, now: float) -> list[tuple[str, messages.LeaseRights]]:
        owners = {home.owner for home in self.locations} | set(self.wanted)
        owners.discard(self.own)
        return [(each, self._message(each, now)) for each in sorted(owners)]

    def _message(self, owner: str, now: float) -> messages.LeaseRights:
        talk = self.owner_state(owner)
        talk.number += 1
        if talk.waiting_since is None:
            talk.waiting_since = now
        lent, fresh = [], []
        for slot, home in enumerate(self.locations):
            if home.owner == owner and not home.ending:
                lent.append(slot)
                home.until = max(home.until, talk.echo_at + self.term_seconds)
            elif home.owner == owner and home.left_out is None:
                home.left_out = talk.number
            elif self._sends_allowance_ahead(slot, owner, now):
                home.send_allowance(owner, now, fresh=True)
            asked = owner in (home.owner, self.wanted[slot])
            if home.fresh and home.brought_to == owner and asked:
                home.brought_at = now
                fresh.append(slot)
        return messages.LeaseRights(
            number=talk.number,
            life=self.life,
            echo_ms=talk.echo_ms,
            term_ms=int(1000 * self.term_seconds),
            share=self.share,
            slots=lent,
            fresh=fresh,
            unanswered=talk.number - talk.answered,
        )

    def _sends_allowance_ahead(self, slot: int, owner: str, now: float) -> bool:
        """Returns whether an owner is asked before the rights can come."""
        home = self.locations[slot]
        waits = home.owner == self.own or self._is_suspected(home.owner, now)
        return (
            self.wanted[slot] == owner
            and home.owner != owner
            and self.share > 0
            and waits
            and self._allowance_due(home, now)
        )

    def handle_answer(
        self, owner: str, answer: messages.RightsLeased, now: float
    ) -> None:
        """Takes an owner's answer."""
        talk = self.owner_state(owner)
        if answer.leaving:
            self._handle_leaving(owner, now)
            return
        if not talk.answered < answer.number <= talk.number:
            return
        talk.answered = answer.number
        talk.echo_ms = answer.clock_ms
        talk.echo_at = now
        talk.waiting_since = None
        talk.avoided_seconds = 0.0
        talk.avoided_until = -NEVER
        for home in self.locations:
            if home.brought_to == owner:
                home.fresh = False

    def _handle_leaving(self, owner: str, now: float) -> None:
        """Takes that an owner ends, and holds no rights any more."""
        talk = self.owner_state(owner)
        talk.avoid(LEAVING_SECONDS, now)
        talk.echo_at = -NEVER
        for slot, home in enumerate(self.locations):
            if home.owner == owner:
                self.take_back(slot, now)
