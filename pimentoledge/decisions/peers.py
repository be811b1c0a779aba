"""The directory of the other entries, and the choice of those to contact."""

import random

import attrs

from pimentoledge.decisions import declarations
from pimentoledge.decisions import rings

# An undeclared entry counts as known for this long after its last message.
UNDECLARED_PEER_SECONDS = 60.0
# Backoff during which an unreachable entry is not chosen; it doubles with each
# further failure.
MIN_BACKOFF_SECONDS = 10.0
MAX_BACKOFF_SECONDS = 640.0
MAX_PEERS = 1024
# Messages go only to this many near and this many far entries, which are
# resampled regularly. A connection costs about 30 KB, so one to each entry
# would use a third of a node's memory budget, and a few random ones connect
# all entries as well.
VIEW_SIZE = 8
VIEW_SECONDS = 60.0
# Number of seeds that let starting entries scan the store.
MAX_GRANTING_SEEDS = 2
NEVER = float("-inf")


@attrs.define(kw_only=True)
class Peer:
    """Another entry.

    Attributes:
        mailbox: address of its mailbox.
        name: its name; empty while unknown.
        data_centre: its data centre; empty while unknown.
        declared: whether the configuration declares it.
        last_seen: time of its last digest or summary.
        retry_at: time from which it may be contacted again.
        backoff: its last backoff, in seconds.
    """

    mailbox: str
    name: str = ""
    data_centre: str = ""
    declared: bool = False
    last_seen: float = NEVER
    retry_at: float = NEVER
    backoff: float = 0.0


class PeerDirectory:
    """The other entries: declared, seen recently, or seeds.

    Attributes:
        address: this entry's own mailbox.
        data_centre: this entry's data centre.
        table: Peer by mailbox.
        seeds: mailboxes from the settings.
    """

    def __init__(
        self, *, address: str, data_centre: str, seeds: list[str], seed: int
    ):
        self.address = address
        self.data_centre = data_centre
        self.seeds = seeds
        self.table: dict[str, Peer] = {}
        self._random = random.Random(seed)
        self._view: set[str] = set()
        self._view_ends = NEVER
        self._last_declared = ""

    def declare(self, entries: list[declarations.EntryNode]) -> None:
        """Replaces the set of declared entries."""
        for peer in self.table.values():
            peer.declared = False
        for entry in entries:
            if entry.mailbox == self.address:
                continue
            peer = self.table.setdefault(
                entry.mailbox, Peer(mailbox=entry.mailbox)
            )
            peer.declared = True
            peer.name = entry.name
            peer.data_centre = entry.data_centre

    def seen(
        self, mailbox: str, name: str, data_centre: str, now: float
    ) -> None:
        """Records a message of an entry and resets its backoff."""
        if mailbox == self.address:
            return
        if mailbox not in self.table:
            self._evict_unknown(now)
        peer = self.table.setdefault(mailbox, Peer(mailbox=mailbox))
        peer.name = name
        peer.data_centre = data_centre
        peer.last_seen = now
        peer.retry_at = NEVER
        peer.backoff = 0.0

    def unreachable(self, mailbox: str, now: float) -> None:
        """Starts or doubles the backoff of an unreachable entry."""
        if mailbox in self.seeds or mailbox in self.table:
            peer = self.table.setdefault(mailbox, Peer(mailbox=mailbox))
            if peer.retry_at > now:
                return
            longer = max(2 * peer.backoff, MIN_BACKOFF_SECONDS)
            peer.backoff = min(longer, MAX_BACKOFF_SECONDS)
            peer.retry_at = now + peer.backoff

    def usable(self, now: float) -> list[Peer]:
        """Returns the known entries that are not in backoff."""
        found = [
            peer
            for peer in self.table.values()
            if self._is_known(peer, now) and peer.retry_at <= now
        ]
        for seed in self.seeds:
            if seed not in self.table and seed != self.address:
                found.append(Peer(mailbox=seed))
        return found

    def first_seeds(self, now: float) -> list[str]:
        """Returns the seeds that grant scans.

        Entries that can reach the same seeds agree on them.
        """
        usable = [
            seed
            for seed in sorted(self.seeds)
            if seed not in self.table or self.table[seed].retry_at <= now
        ]
        return usable[:MAX_GRANTING_SEEDS]

    def choose(self, now: float, *, near: int, far: int) -> list[str]:
        """Returns randomly chosen mailboxes.

        Args:
            now: the time.
            near: number of entries of this data centre.
            far: number of entries of the other data centres; of all entries
                when those are too few.
        """
        usable = self._in_view(now)
        if len(usable) <= near + far:
            return [peer.mailbox for peer in usable]
        return [p.mailbox for p in self._sample(usable, near=near, far=far)]

    def next_declared(self, now: float) -> str | None:
        """Returns the next reachable declared entry, in rotation."""
        found = sorted(
            mailbox
            for mailbox, peer in self.table.items()
            if peer.declared and peer.retry_at <= now
        )
        later = [mailbox for mailbox in found if mailbox > self._last_declared]
        self._last_declared = (later or found or [""])[0]
        return self._last_declared or None

    def dead(self) -> list[str]:
        """Returns the names of declared entries at the maximum backoff."""
        return [
            peer.name
            for peer in self.table.values()
            if peer.declared and peer.backoff >= MAX_BACKOFF_SECONDS
        ]

    def rank(self, now: float, *, everywhere: bool = False) -> int:
        """Returns this entry's rank among those of its data centre.

        Entries with the same directory agree on the ranks without a message.

        Args:
            now: the time.
            everywhere: rank among the entries of all data centres.
        """
        mine = rings.point(self.address)
        return sum(
            rings.point(peer.mailbox) < mine
            for peer in self.usable(now)
            if everywhere or peer.data_centre in ("", self.data_centre)
        )

    def _in_view(self, now: float) -> list[Peer]:
        usable = self.usable(now)
        if len(usable) <= 2 * VIEW_SIZE:
            return usable
        kept = [peer for peer in usable if peer.mailbox in self._view]
        if now < self._view_ends and len(kept) >= VIEW_SIZE:
            return kept
        self._view_ends = now + VIEW_SECONDS * self._random.uniform(0.5, 1)
        chosen = self._sample(usable, near=VIEW_SIZE, far=VIEW_SIZE)
        self._view = {peer.mailbox for peer in chosen}
        return chosen

    def _sample(self, usable: list[Peer], *, near: int, far: int) -> list[Peer]:
        here = [p for p in usable if p.data_centre == self.data_centre]
        chosen = self._random.sample(here, min(near, len(here)))
        rest = [p for p in usable if p.data_centre != self.data_centre]
        if len(rest) < far:
            rest = [p for p in usable if p not in chosen]
        return chosen + self._random.sample(rest, min(far, len(rest)))

    def _is_known(self, peer: Peer, now: float) -> bool:
        recently = now - peer.last_seen < UNDECLARED_PEER_SECONDS
        return peer.declared or recently or peer.mailbox in self.seeds

    def _evict_unknown(self, now: float) -> None:
        if len(self.table) < MAX_PEERS:
            return
        old = [m for m, p in self.table.items() if not self._is_known(p, now)]
        for mailbox in old:
            del self.table[mailbox]
