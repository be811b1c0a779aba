"""Keeps the copies of the store's objects in step with other routers.

Two of each data centre watch the servers and tell the others; a router that
the store turns away asks one that knows more.
"""

import collections
from collections.abc import Callable

from pimentoledge.routing import beliefs
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import mirrors
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import rosters
from pimentoledge.routing import takers as takers_module
from pimentoledge.routing import watch_shares
from pimentoledge.routing import watchers

# A newer copy is asked for only if nothing has brought it by then.
PATIENCE_SECONDS = 0.25
# Who was asked for changes has sent them by then, or another is asked.
ASKED_SECONDS = 0.05
# Changes kept for those that ask for them; each is some hundred bytes.
MOST_OFFERED = 50
# Between two wishes for the same kind.
WISH_SECONDS = 0.6


class Copies:
    """What a router tells and hears of the store's objects.

    Attributes:
        believed: what the process believes.
        watching: the tasks that follow the store, by kind.
        roster: the other routers.
        takers: turn what is told into beliefs.
        lines: where changes of belief are written.
        send: sends a message to a mailbox.
        shares: who watches the servers for others.
        lapse_told: until when a server that is gone may come back, as told.
    """

    def __init__(
        self,
        *,
        believed: beliefs.Beliefs,
        watching: dict[str, watchers.Watcher],
        roster: rosters.Roster,
        takers: takers_module.Takers,
        lines: log_lines.Lines,
        send: Callable[[str, object], None],
    ):
        self.believed = believed
        self.watching = watching
        self.roster = roster
        self.takers = takers
        self.lines = lines
        self.send = send
        self.shares = watch_shares.WatchShares(own=roster.own)
        self.lapse_told = 0.0
        self._wished: dict[str, float] = {}
        self._asked = (0, 0.0)
        self._offered: collections.OrderedDict[int, peer_messages.Told] = (
            collections.OrderedDict()
        )

    def store_reached(self) -> bool:
        """Returns whether the store answers this router."""
        return all(each.reached for each in self.watching.values())

    def known(self, now: float) -> dict[str, tuple[int, int]]:
        """Returns what is known of each kind, as heartbeats tell it."""
        return {
            name: (
                each.mirror.changed_at,
                int((now - each.mirror.known_at) * 1000),
            )
            for name, each in self.watching.items()
            if each.mirror.revision is not None and each.mirror.known_at
        }

    def take_known(self, beat: peer_messages.Beat, now: float) -> None:
        """Takes that another router lately saw that nothing is newer.

        It holds here only where all that it knows is known here; of named
        weights the heartbeat itself tells all.
        """
        for name, (changed_at, age) in beat.known.items():
            mirror = self._mirror(name)
            if mirror is None or mirror.revision is None:
                continue
            if name == "weights" or changed_at <= mirror.revision:
                mirror.freshen(now - age / 1000)

    def look_turn(self) -> int:
        """Returns when this router looks, as an index of LOOK_SHARES.

        Of few routers the first is one that the store answers, of many the
        first of each data centre. It may have died up to 30 s ago without
        being missed, so there the next has a turn of its own: else all others
        would look at the same time.
        """
        if not self.roster.reaches_all():
            return min(self.roster.rank, 2)
        first = all(
            address > self.roster.own or not peer.beat.store_reached
            for address, peer in self.roster.present(clocks.now()).items()
        )
        return 0 if first else 2

    def _mirror(self, kind: str) -> mirrors.Mirror | None:
        found = self.watching.get(kind)
        return None if found is None else found.mirror

    def follows(self) -> bool:
        """Returns whether others watch the servers for this router."""
        if self.roster.reaches_all():
            return False
        return self.shares.are_enough(self.roster.rank, clocks.now())

    def sign(self, now: float) -> dict[str, int]:
        """Returns who watches, this router included if it does."""
        if self.watching["servers"].watching:
            self.shares.watches(now)
        return self.shares.to_tell(now)

    def tell(self, after: int, found: registrations.Changes) -> None:
        """Passes on what this router's watch of the servers brought.

        Args:
            after: revision of the newest change known before.
            found: what it brought.
        """
        if self.roster.reaches_all() or not (found.changed or found.removed):
            return
        told = peer_messages.Told(
            after=after, changes=found, lapse_ms=self._lapse_ms()
        )
        self._offer(told, without="")

    def _lapse_ms(self) -> int:
        """Returns for how long yet what is gone may come back."""
        lapse_seconds = self.takers.lapse_ends() - clocks.now()
        return max(0, int(lapse_seconds * 1000))

    def _take_lapse(self, lapse_ms: int) -> None:
        """Takes for how long another router waits for what is gone."""
        lapse_ends = clocks.now() + lapse_ms / 1000
        self.lapse_told = max(self.lapse_told, lapse_ends)

    def _offer(self, told: peer_messages.Told, without: str) -> None:
        """Offers changes to the neighbours in the data centre."""
        changes = told.changes
        newest = max(
            each.revision for each in changes.changed + changes.removed
        )
        self._offered[newest] = told
        while len(self._offered) > MOST_OFFERED:
            self._offered.popitem(last=False)
        for address in self.roster.near:
            if address != without:
                self.send(address, peer_messages.Offer(changed_at=newest))

    def offered(self, sender: str, offer: peer_messages.Offer) -> None:
        """Asks for changes that are news, of the first that offers them."""
        now = clocks.now()
        servers = self._mirror("servers")
        if servers.revision is None or offer.changed_at <= servers.revision:
            return
        asked, when = self._asked
        if offer.changed_at <= asked and now - when < ASKED_SECONDS:
            return
        self._asked = (offer.changed_at, now)
        self.send(sender, peer_messages.Want(changed_at=offer.changed_at))

    def hand_over(self, sender: str, want: peer_messages.Want) -> None:
        """Sends changes that were offered."""
        told = self._offered.get(want.changed_at)
        if told is not None:
            self.send(sender, told)

    def take(self, sender: str, told: peer_messages.Told) -> None:
        """Takes and passes on what another's watch brought."""
        servers = self._mirror("servers")
        if servers.revision is None:
            return
        if told.after > servers.revision:
            self.watching["servers"].catch_up()
            return
        self._take_lapse(told.lapse_ms)
        if servers.apply(told.changes):
            self._offer(told, without=sender)

    def is_behind(self, peer: rosters.Peer) -> bool:
        """Returns whether a router knows a newer configuration or servers."""
        return self._lacks_configuration(peer) or self._lacks_servers(peer)

    def _lacks_configuration(self, peer: rosters.Peer) -> bool:
        held = self.believed.configuration
        return peer.configuration > (held.version if held else 0)

    def _lacks_servers(self, peer: rosters.Peer) -> bool:
        changed_at, _ = peer.beat.known.get("servers", (-1, 0))
        revision = self._mirror("servers").revision
        return revision is None or changed_at > revision

    def catch_up(self, address: str) -> None:
        """Asks the store, or a router, for what that router knows newer.

        A router that waits at the store itself is no exception. One whose wait
        was never heard trusted it beside the heartbeats of others that knew of
        a server's leaving; who hears from the store isn't behind by now.
        """
        peer = self.roster.known.get(address)
        if peer is None:
            return
        if self._lacks_configuration(peer):
            self._wish(address, "configuration")
        if not self._lacks_servers(peer):
            return
        listed = self._mirror("servers").revision is not None
        many = not self.roster.reaches_all()
        if many and listed and self.store_reached():
            # All servers of so many routers are too long a list to be sent.
            self.watching["servers"].catch_up()
        else:
            self._wish(address, "servers")

    def _wish(self, address: str, kind: str) -> None:
        now = clocks.now()
        if now - self._wished.get(kind, 0.0) < WISH_SECONDS:
            return
        self._wished[kind] = now
        self.send(address, peer_messages.Wish(kind=kind))

    def give(self, address: str, kind: str) -> None:
        """Sends a router all objects of a kind."""
        mirror = self._mirror(kind)
        if mirror is None or mirror.revision is None:
            return
        gift = peer_messages.Gift(
            kind=kind, listing=mirror.listing(), lapse_ms=self._lapse_ms()
        )
        self.send(address, gift)

    def take_all(self, sender: str, gift: peer_messages.Gift) -> None:
        """Takes all objects of a kind from another router."""
        mirror = self._mirror(gift.kind)
        if mirror is None:
            return
        self.lines.write(
            "told_by_router",
            router=sender,
            kind=gift.kind,
            revision=gift.listing.revision,
            held=mirror.revision,
        )
        # A server whose entry lapsed lives; dropped on another router's word it
        # was missing here until it had written again.
        self._take_lapse(gift.lapse_ms)
        mirror.apply(gift.listing)
