"""Membership of the router fleet and the ages of its heartbeats."""

import random

import attrs
import xxhash

from pimentoledge.nodes import numbers
from pimentoledge.routing import delays
from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import peer_messages

# A router without a heartbeat for this long is treated as unreachable.
AWAY_SECONDS = 1.6
# A router with a heartbeat in this time still counts as a member that shares
# the retry budget.
MEMBER_SECONDS = 30.0
# A router without a heartbeat for this long is removed unless it is a seed;
# otherwise messages to replaced VMs would be sent for ever.
FORGET_SECONDS = 60.0
# Validity of a peer's member count. It only bridges the time in which a router
# that has just started knows few others.
COUNT_SECONDS = 5.0
# Number of heartbeat ages sent to a router that has just joined: enough for it
# to choose partners, in some KB.
MAX_AGES_SENT = 64


@attrs.define(kw_only=True)
class Peer:
    """Another router.

    Attributes:
        first_seen_at: when it became known.
        last_heard_at: when this router last received a heartbeat from it; a
            time in the distant past if it never has.
        alive_at: when any router last received a heartbeat from it, as far as
            reported.
        heartbeat: its last heartbeat, or None.
        configuration: its newest configuration version.
        data_centre: its data centre, or "" if not known yet.
    """

    first_seen_at: float = 0.0
    last_heard_at: float = -1e9
    alive_at: float = -1e9
    heartbeat: peer_messages.Heartbeat | None = None
    configuration: int = 0
    data_centre: str = ""


class Roster:
    """The other routers, by mailbox.

    Attributes:
        own: this router's mailbox.
        data_centre: this router's data centre.
        seeds: mailboxes given in the settings.
        known: every known router.
        partners: routers to which this one sends heartbeats.
        near: partners in its own data centre.
        rank: number of routers of its data centre that precede it on the ring.
        counted: highest recent count of routers by a peer, and its time.
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
        """Sets the seeds and adds them to the known routers."""
        self.seeds = seeds
        for each in seeds:
            self.add(each, now)

    def add(self, address: str, now: float) -> None:
        """Adds a router to the known ones, alive or not."""
        if address != self.own and address not in self.known:
            self.known[address] = Peer(first_seen_at=now)

    def members(self, now: float) -> dict[str, Peer]:
        """Returns the other routers that are considered alive."""
        return {
            address: peer
            for address, peer in self.known.items()
            if now - peer.alive_at < MEMBER_SECONDS
        }

    def ages(
        self, now: float, most: int | None = None
    ) -> dict[str, dict[str, int]]:
        """Returns the age of each member's last known heartbeat.

        Args:
            now: the time.
            most: maximum number of members, drawn at random; None for all.

        Returns:
            the ages in ms by data centre and mailbox.
        """
        members = self.members(now)
        chosen = list(members)
        if most is not None and len(chosen) > most:
            chosen = random.sample(chosen, most)
        by_data_centre: dict[str, dict[str, int]] = {}
        for address in chosen:
            peer = members[address]
            ages = by_data_centre.setdefault(peer.data_centre, {})
            ages[address] = numbers.milliseconds(now - peer.alive_at)
        return by_data_centre

    def merge_ages(self, ages: dict[str, dict[str, int]], now: float) -> None:
        """Merges the heartbeat ages that a peer reports, in ms."""
        for data_centre, by_address in ages.items():
            for address, age in by_address.items():
                if address != self.own:
                    self._merge_age(address, data_centre, now - age / 1000, now)

    def _merge_age(
        self, address: str, data_centre: str, when: float, now: float
    ) -> None:
        self.add(address, now)
        peer = self.known[address]
        peer.alive_at = max(peer.alive_at, when)
        peer.data_centre = peer.data_centre or data_centre

    def count_report(self, now: float) -> tuple[int, int]:
        """Returns the highest count by any router, and its age in ms."""
        own = 1 + len(self.members(now))
        most, when = self.counted
        if own >= most or now - when > COUNT_SECONDS:
            return own, 0
        return most, numbers.milliseconds(now - when)

    def merge_count(self, count: int, age: int, now: float) -> None:
        """Merges a peer's count of routers.

        Args:
            count: the number of routers.
            age: ms since that number was first counted. Forwarding doesn't
                renew it, so that a count that is too high expires everywhere.
            now: the time.
        """
        most, when = self.counted
        counted_at = now - age / 1000
        # Each heartbeat would add its transit time to that of the same count.
        is_later = counted_at - when > delays.ROUND_TRIP_SECONDS
        if (
            now - when > COUNT_SECONDS
            or count > most
            or (count == most and is_later)
        ):
            self.counted = (count, counted_at)

    def tick(self, now: float) -> None:
        """Removes routers that are gone, and chooses the partners."""
        for address, peer in list(self.known.items()):
            since = max(peer.alive_at, peer.first_seen_at)
            if address not in self.seeds and now - since > FORGET_SECONDS:
                del self.known[address]
        self._choose_partners(now)

    def _choose_partners(self, now: float) -> None:
        """Chooses partners among the members and some possible members.

        A seed without a heartbeat so far may be about to start. At least one
        router that is not a member is always a partner, so that the halves of
        a long network partition find each other again.
        """
        members = self.members(now)
        candidates = [
            address
            for address, peer in self.known.items()
            if address not in members
            and (
                address in self.seeds
                or now - peer.first_seen_at < MEMBER_SECONDS
            )
        ]
        room = max(1, heartbeat_rings.ALL_TO_ALL - len(members))
        probed = random.sample(candidates, min(room, len(candidates)))
        data_centres = {
            each: peer.data_centre for each, peer in members.items()
        }
        self.near, far = heartbeat_rings.partners(
            self.own, self.data_centre, data_centres
        )
        self.partners = self.near + far + probed
        here = heartbeat_rings.ring_position(self.own)
        self.rank = sum(
            heartbeat_rings.ring_position(each) < here
            for each, data_centre in data_centres.items()
            if data_centre == self.data_centre
        )

    def count(self, now: float) -> int:
        """Returns how many routers share the retry budget.

        A router without any members counts the routers that it knows of, such
        as its seeds: if it counted itself only, it would use the whole budget
        while the others use it too. A router that has just started knows few
        others and uses the count that peers report.
        """
        alive = len(self.members(now)) or len(self.known)
        most, when = self.counted
        if now - when > COUNT_SECONDS:
            most = 0
        return max(1 + alive, most)

    def rank_for(self, key: str, now: float) -> int:
        """Returns how many members precede this router for a key.

        Routers that know the same members agree without a message.
        """
        own = _score(key, self.own)
        return sum(_score(key, each) > own for each in self.members(now))

    def reaches_all(self) -> bool:
        """Returns whether every router sends heartbeats to all others."""
        return len(self.known) <= heartbeat_rings.ALL_TO_ALL

    def silent_partners(self, now: float) -> list[str]:
        """Returns the partners whose heartbeats have stopped recently."""
        return [
            address
            for address in self.partners
            if AWAY_SECONDS
            < now - self.known[address].last_heard_at
            < MEMBER_SECONDS
        ]

    def present(self, now: float) -> dict[str, Peer]:
        """Returns the routers with a recent heartbeat, by mailbox."""
        return {
            address: peer
            for address, peer in self.known.items()
            if now - peer.last_heard_at < AWAY_SECONDS
        }


def _score(key: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key} {address}".encode())
