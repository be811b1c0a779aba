"""Location of a router's rights: in its own ledger, or lent to an owner.

Rights are lent for a term that starts at a reading of the owner's own clock,
which the owner sends and the lender echoes. So the owner never uses rights that
the lender has taken back, however late a message arrives.
"""

import attrs

from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import messages

# Interval between two messages to an owner; longer if there are many routers.
MESSAGE_INTERVAL_SECONDS = 0.25
# Upper bound of the messages that an owner receives per second in total.
MAX_MESSAGES_PER_SECOND = 150
# Longest interval while rights wait for an owner that has not answered yet.
WAITING_INTERVAL_SECONDS = 0.5
# Length of a lease, in intervals between messages.
TERM_INTERVALS = 4
# An owner is silent if it answers no message for this many intervals.
SILENT_INTERVALS = 2.4
# How long a silent owner is not chosen again, the first time.
AVOID_SECONDS = 2.0
# Upper bound of that time, which doubles each time the owner stays silent.
MAX_AVOID_SECONDS = 16.0
# How long an owner that shuts down is not chosen again.
LEAVING_SECONDS = 10.0
# How long an owner gets no acquires after it left one unanswered.
SUSPECT_SECONDS = 0.5
NEVER = float("inf")


@attrs.define(kw_only=True)
class OwnerState:
    """State of the message exchange between this router and an owner.

    Attributes:
        number: number of the newest message to it.
        answered: number of the newest message that it answered.
        echo_ms: its clock reading in that answer, or 0.
        echo_at: when that answer arrived.
        waiting_since: when the first message without an answer was sent.
        avoided_until: no rights are lent to it before this time, unless it
            answers.
        avoided_seconds: how long it was avoided the last time.
        suspected_until: it gets no acquires before this time.
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
        """Excludes the owner from leases for a time."""
        self.avoided_seconds = seconds
        self.avoided_until = now + seconds
        self.waiting_since = None


@attrs.define(kw_only=True)
class SlotLocation:
    """Where the rights of a slot are.

    Attributes:
        owner: mailbox of the router that has them.
        until: when the lease to it expires.
        ending: whether the lease is to be ended.
        left_out: number of the first message to the owner that omits the slot,
            or None.
        brought_to: mailbox of the router that got the newest allowance.
        brought_at: when a message last carried it there.
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
        """Records that the allowance goes to a router from now on."""
        self.brought_to = router
        self.brought_at = now
        self.fresh = fresh


def message_interval_seconds(share: float) -> float:
    """Returns the interval between messages for a router's part of limits."""
    return (
        max(MESSAGE_INTERVAL_SECONDS, 1 / share / MAX_MESSAGES_PER_SECOND)
        if share
        else MESSAGE_INTERVAL_SECONDS
    )


def owner_of(slot: int, routers: list[str]) -> str:
    """Returns the router that follows a slot on the consistent-hash ring."""
    here = heartbeat_rings.ring_position(f"quota-slot-{slot}")
    return min(
        routers,
        key=lambda each: (heartbeat_rings.ring_position(each) - here)
        % heartbeat_rings.RING_SIZE,
    )


class Rights:
    """This router's rights, slot by slot.

    Attributes:
        own: this router's mailbox.
        ledger: its own ledger.
        life: distinguishes messages of this process from those of an earlier
            one.
        locations: where the rights of each slot are.
        wanted: router that should have the rights of each slot.
        owner_states: state of the exchange with each owner.
        share: this router's part of every limit; 0 while it is unknown.
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
        """Length of a lease."""
        return TERM_INTERVALS * message_interval_seconds(self.share)

    def pause_seconds(self) -> float:
        """Returns the time until the next messages to owners are due."""
        pause = message_interval_seconds(self.share)
        waits = any(
            location.owner == self.own and wanted != self.own
            for location, wanted in zip(
                self.locations, self.wanted, strict=True
            )
        )
        return min(pause, WAITING_INTERVAL_SECONDS) if waits else pause

    def owner_state(self, owner: str) -> OwnerState:
        """Returns the state of the exchange with an owner."""
        return self.owner_states.setdefault(owner, OwnerState())

    def target(self, slot: int, now: float) -> str:
        """Returns the router that gets acquires for a slot."""
        owner = self.locations[slot].owner
        if owner == self.own or not self._is_suspected(owner, now):
            return owner
        wanted = self.wanted[slot]
        return self.own if self._is_suspected(wanted, now) else wanted

    def next_owner(self, slot: int, now: float) -> str | None:
        """Returns the router that a slot's rights here will be lent to.

        None if they are lent already, stay here, or that router is suspected.
        """
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
        """Marks an owner as suspected; returns whether it was not before."""
        is_new = not self._is_suspected(owner, now)
        self.owner_state(owner).suspected_until = now + SUSPECT_SECONDS
        return is_new

    def _is_suspected(self, owner: str, now: float) -> bool:
        if owner == self.own:
            return False
        state = self.owner_state(owner)
        return now < max(state.suspected_until, state.avoided_until)

    def _answered_recently(self, owner: str, now: float) -> bool:
        """Returns whether an owner's last answer is recent enough to lend."""
        if owner == self.own:
            return True
        return now - self.owner_state(owner).echo_at < self.term_seconds / 2

    def step(
        self, share: float, routers: list[str], now: float
    ) -> list[tuple[str, messages.LeaseRights]]:
        """Moves rights where that is due; returns messages to owners.

        Args:
            share: this router's part of every limit, or 0.
            routers: mailboxes of the other routers considered alive.
            now: the time.
        """
        self.share = share
        self._avoid_silent(now)
        trusted = [
            each
            for each in routers
            if now >= self.owner_state(each).avoided_until
        ]
        unsuspected = [
            each
            for each in trusted
            if now >= self.owner_state(each).suspected_until
        ]
        for slot in range(ledgers.SLOTS):
            self.wanted[slot] = owner_of(slot, [*unsuspected, self.own])
            self._step_slot(slot, now)
        return self._messages(now)

    def _avoid_silent(self, now: float) -> None:
        most = SILENT_INTERVALS * message_interval_seconds(self.share)
        for state in self.owner_states.values():
            if state.waiting_since is None or now - state.waiting_since < most:
                continue
            seconds = max(AVOID_SECONDS, 2 * state.avoided_seconds)
            state.avoid(min(seconds, MAX_AVOID_SECONDS), now)

    def _step_slot(self, slot: int, now: float) -> None:
        location, wanted = self.locations[slot], self.wanted[slot]
        if location.owner == self.own:
            if (
                wanted != self.own
                and self.share
                and self._answered_recently(wanted, now)
            ):
                self._lease_to(slot, wanted, now)
            else:
                self._update_own_lease(slot, now)
            return
        state = self.owner_state(location.owner)
        if wanted != location.owner:
            location.ending = now < state.avoided_until or (
                now >= state.suspected_until
                and self._answered_recently(wanted, now)
            )
        else:
            location.ending = False
            location.left_out = None
        released = (
            location.left_out is not None
            and state.answered >= location.left_out
        )
        if released or now >= location.until:
            self.take_back(slot, now)

    def _update_own_lease(self, slot: int, now: float) -> None:
        """Puts the rights into this router's ledger, or updates them there."""
        lease = self.ledger.slots[slot].leases.get(self.own)
        if self.share and (lease is None or lease.share != self.share):
            self._put(slot, now)

    def _put(self, slot: int, now: float) -> None:
        location = self.locations[slot]
        own_slot = self.ledger.slots[slot]
        is_new = self.own not in own_slot.leases
        stays = self.wanted[slot] == self.own
        due = is_new and stays and self._allowance_due(location, now)
        if due:
            location.send_allowance(self.own, now, fresh=False)
        lease = ledgers.RightsLease(share=self.share, until=NEVER)
        own_slot.put(self.own, lease, allowance=due, now=now)

    def _allowance_due(self, location: SlotLocation, now: float) -> bool:
        """Returns whether a new allowance cannot overlap with the last one.

        Any ledger may have counted the last one until it lapsed, so a window
        must pass from then on.
        """
        window = ledgers.longest_window(self.ledger.bounds)
        return now - location.brought_at >= window + ledgers.ALLOWANCE_SECONDS

    def _lease_to(self, slot: int, owner: str, now: float) -> None:
        location = self.locations[slot]
        own_slot = self.ledger.slots[slot]
        unused = location.brought_to == self.own and not own_slot.pools
        if unused:
            own_slot.withdraw_allowance(self.own)
        if unused or self._allowance_due(location, now):
            location.send_allowance(owner, now, fresh=True)
        own_slot.remove(self.own, now)
        location.owner = owner
        location.until = self.owner_state(owner).echo_at + self.term_seconds
        location.ending = False
        location.left_out = None

    def take_back(self, slot: int, now: float) -> None:
        """Takes the rights of a slot back into this router's ledger."""
        location = self.locations[slot]
        location.owner = self.own
        location.until = NEVER
        location.ending = False
        location.left_out = None
        if self.share:
            self._put(slot, now)

    def _messages(self, now: float) -> list[tuple[str, messages.LeaseRights]]:
        owners = {location.owner for location in self.locations} | set(
            self.wanted
        )
        owners.discard(self.own)
        return [(each, self._message(each, now)) for each in sorted(owners)]

    def _message(self, owner: str, now: float) -> messages.LeaseRights:
        state = self.owner_state(owner)
        state.number += 1
        if state.waiting_since is None:
            state.waiting_since = now
        leased_slots, fresh = [], []
        for slot, location in enumerate(self.locations):
            if location.owner == owner and not location.ending:
                leased_slots.append(slot)
                location.until = max(
                    location.until, state.echo_at + self.term_seconds
                )
            elif location.owner == owner and location.left_out is None:
                location.left_out = state.number
            elif self._sends_allowance_ahead(slot, owner, now):
                location.send_allowance(owner, now, fresh=True)
            is_target = owner in (location.owner, self.wanted[slot])
            if location.fresh and location.brought_to == owner and is_target:
                location.brought_at = now
                fresh.append(slot)
        return messages.LeaseRights(
            number=state.number,
            life=self.life,
            echo_ms=state.echo_ms,
            term_ms=int(1000 * self.term_seconds),
            share=self.share,
            slots=leased_slots,
            fresh=fresh,
            unanswered=state.number - state.answered,
        )

    def _sends_allowance_ahead(self, slot: int, owner: str, now: float) -> bool:
        """Returns whether to send an owner the allowance before the rights.

        That is so if it gets acquires before the rights can be lent to it.
        """
        location = self.locations[slot]
        waits = location.owner == self.own or self._is_suspected(
            location.owner, now
        )
        return (
            self.wanted[slot] == owner
            and location.owner != owner
            and self.share > 0
            and waits
            and self._allowance_due(location, now)
        )

    def handle_answer(
        self, owner: str, answer: messages.RightsLeased, now: float
    ) -> None:
        """Handles an owner's answer to a lease message."""
        state = self.owner_state(owner)
        if answer.leaving:
            self._handle_leaving(owner, now)
            return
        if not state.answered < answer.number <= state.number:
            return
        state.answered = answer.number
        state.echo_ms = answer.clock_ms
        state.echo_at = now
        state.waiting_since = None
        state.avoided_seconds = 0.0
        state.avoided_until = -NEVER
        for location in self.locations:
            if location.brought_to == owner:
                location.fresh = False

    def _handle_leaving(self, owner: str, now: float) -> None:
        """Handles that an owner shuts down and has released all rights."""
        state = self.owner_state(owner)
        state.avoid(LEAVING_SECONDS, now)
        state.echo_at = -NEVER
        for slot, location in enumerate(self.locations):
            if location.owner == owner:
                self.take_back(slot, now)
