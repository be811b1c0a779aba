"""Which other routers there are, and how long ago each was heard."""

import random

import attrs

from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import peer_messages

# A router that was not heard for so long is taken to be away.
AWAY_SECONDS = 1.6
# One that was heard within this still counts as a user of the shared budget.
MEMBER_SECONDS = 30.0
# One that was not heard for so long, and is no seed, is forgotten: VMs that
# were replaced would be written to for ever.
FORGET_SECONDS = 60.0
# What another router counted holds for so long: it only bridges the time in
# which one that has just started has heard few.
COUNT_SECONDS = 5.0
# Routers told to one that has just come: enough to write to, and some KB.
MAX_AGES_SENT = 64


@attrs.define(kw_only=True)
class Peer:
    """Another router.

    Attributes:
        first_seen_at: when it became known.
        last_heard_at: when this router last heard it; long ago before the
            first time.
        alive_at: when any router last heard it, as far as is told.
        beat: its last heartbeat, or None.
        configuration: its newest configuration version.
        data_centre: where it is, or "" if that isn't known yet.
    """

    first_seen_at: float = 0.0
    last_heard_at: float = -1e9
    alive_at: float = -1e9
    beat: peer_messages.Heartbeat | None = None
    configuration: int = 0
    data_centre: str = ""


class Roster:
    """The other routers, by mailbox.

    Attributes:
        own: this router's mailbox.
        data_centre: where it is.
        seeds: mailboxes that the settings name.
        known: every router that this one knows of.
        partners: those that it writes to.
        near: those of them in its own data centre.
        rank: how many routers of its data centre come before it on the
            circle.
        counted: most routers that another counted lately, and when.
    """

    def __init__(self, *, own: str, data_centre: str):
        self.own = own
        self.data_centre = data_centre
        self.seeds: list[str] = []
        self.known: dict[str, Peer] = {}
        self.partners: list[str] = []
        self.near: list[str] = []
        self.rank = 0
        self.counted = (0, -1e9)

    def add_seeds(self, seeds: list[str], now: float) -> None:
        """Takes mailboxes to find routers by."""
        self.seeds = seeds
        for each in seeds:
            self.add(each, now)

    def add(self, address: str, now: float) -> None:
        """Notes that there may be a router."""
        if address != self.own and address not in self.known:
            self.known[address] = Peer(first_seen_at=now)

    def members(self, now: float) -> dict[str, Peer]:
        """Returns the other routers that are believed to live."""
        return {
            address: peer
            for address, peer in self.known.items()
            if now - peer.alive_at < MEMBER_SECONDS
        }

    def ages(
        self, now: float, most: int | None = None
    ) -> dict[str, dict[str, int]]:
        """Returns for how many ms each member was not heard.

        Args:
            now: the time.
            most: how many to return, drawn at random; None for all.

        Returns:
            the ages by data centre and mailbox.
        """
        members = self.members(now)
        told = list(members)
        if most is not None and len(told) > most:
            told = random.sample(told, most)
        found: dict[str, dict[str, int]] = {}
        for address in told:
            peer = members[address]
            ages = found.setdefault(peer.data_centre, {})
            ages[address] = int((now - peer.alive_at) * 1000)
        return found

    def merge_ages(self, ages: dict[str, dict[str, int]], now: float) -> None:
        """Takes how long ago another router heard each."""
        for data_centre, found in ages.items():
            for address, age in found.items():
                if address != self.own:
                    self._take_age(address, data_centre, now - age / 1000, now)

    def _take_age(
        self, address: str, data_centre: str, when: float, now: float
    ) -> None:
        self.add(address, now)
        peer = self.known[address]
        peer.alive_at = max(peer.alive_at, when)
        peer.data_centre = peer.data_centre or data_centre

    def count_report(self, now: float) -> tuple[int, int]:
        """Returns the most routers that anyone counts, and its age in ms."""
        own = 1 + len(self.members(now))
        most, when = self.counted
        if own >= most or now - when > COUNT_SECONDS:
            return own, 0
        return most, int((now - when) * 1000)

    def merge_count(self, count: int, age: int, now: float) -> None:
        """Takes how many routers another one counts, and the age in ms.

        The age is that of the first count of so many, so that it goes out of
        use everywhere when fewer are left.
        """
        most, when = self.counted
        taken = now - age / 1000
        if now - when > COUNT_SECONDS or (count, taken) > (most, when):
            self.counted = (count, taken)

    def tick(self, now: float) -> None:
        """Forgets who is gone, and chooses whom to write to."""
        for address, peer in list(self.known.items()):
            since = max(peer.alive_at, peer.first_seen_at)
            if address not in self.seeds and now - since > FORGET_SECONDS:
                del self.known[address]
        self._choose_partners(now)

    def _choose_partners(self, now: float) -> None:
        """Chooses among the members, and some that may come to be.

        A seed that was never heard may be about to start. One of those not
        heard is written to in any case: two halves that were cut apart for
        long find each other again by it.
        """
        members = self.members(now)
        hopes = [
            address
            for address, peer in self.known.items()
            if address not in members
            and (
                address in self.seeds
                or now - peer.first_seen_at < MEMBER_SECONDS
            )
        ]
        room = max(1, heartbeat_rings.ALL_TO_ALL - len(members))
        hoped = random.sample(hopes, min(room, len(hopes)))
        where = {each: peer.data_centre for each, peer in members.items()}
        self.near, far = heartbeat_rings.partners(
            self.own, self.data_centre, where
        )
        self.partners = self.near + far + hoped
        here = heartbeat_rings.ring_position(self.own)
        self.rank = sum(
            heartbeat_rings.ring_position(each) < here
            for each, at in where.items()
            if at == self.data_centre
        )

    def count(self, now: float) -> int:
        """Returns how many routers share the budget of repeats.

        One that has heard nobody yet goes by its seeds: to take itself for
        the only one would spend the whole budget beside the others. One that
        has just started has heard few, and goes by what it is told.
        """
        alive = len(self.members(now)) or len(self.known)
        most, when = self.counted
        if now - when > COUNT_SECONDS:
            most = 0
        return max(1 + alive, most)

    def reaches_all(self) -> bool:
        """Returns whether every router hears the others itself."""
        return len(self.known) <= heartbeat_rings.ALL_TO_ALL

    def silent_partners(self, now: float) -> list[str]:
        """Returns the partners that were heard before, and are not now."""
        return [
            address
            for address in self.partners
            if AWAY_SECONDS
            < now - self.known[address].last_heard_at
            < MEMBER_SECONDS
        ]

    def present(self, now: float) -> dict[str, Peer]:
        """Returns the routers that this one heard just now, by mailbox."""
        return {
            address: peer
            for address, peer in self.known.items()
            if now - peer.last_heard_at < AWAY_SECONDS
        }
