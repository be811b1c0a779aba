"""Keeps the copies of the store's objects in step with other routers.

Two of each data centre watch the servers and tell the others; a router that
the store turns away asks one that knows more.
"""

import collections
from collections.abc import Callable

from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import rosters
from pimentoledge.routing import view_updaters
from pimentoledge.routing import watch_shares
from pimentoledge.routing import watchers

# A newer copy is asked for only if nothing has brought it by then.
PATIENCE_SECONDS = 0.25
# Who was asked for changes has sent them by then, or another is asked.
ASKED_SECONDS = 0.05
# Changes kept for those that ask for them; each is some hundred bytes.
MOST_OFFERED = 50
# Between two wishes for the same kind.
LISTING_REQUEST_SECONDS = 0.6


class Replicator:
    """What a router tells and hears of the store's objects.

    Attributes:
        view: what the process believes.
        watching: the tasks that follow the store, by kind.
        roster: the other routers.
        updater: turn what is told into beliefs.
        lines: where changes of belief are written.
        send: sends a message to a mailbox.
        shares: who watches the servers for others.
        lapse_told: until when a server that is gone may come back, as told.
    """

    def __init__(
        self,
        *,
        view: cluster_views.ClusterView,
        watching: dict[str, watchers.Watcher],
        roster: rosters.Roster,
        takers: view_updaters.ViewUpdater,
        lines: log_lines.Lines,
        send: Callable[[str, object], None],
    ):
        self.view = view
        self.watching = watching
        self.roster = roster
        self.updater = takers
        self.lines = lines
        self.send = send
        self.shares = watch_shares.WatchShares(own=roster.own)
        self.lapse_told = 0.0
        self._wished: dict[str, float] = {}
        self._asked = (0, 0.0)
        self._offered: collections.OrderedDict[
            int, peer_messages.WatchedChanges
        ] = collections.OrderedDict()

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

    def merge_known(self, beat: peer_messages.Heartbeat, now: float) -> None:
        """Takes that another router lately saw that nothing is newer.

        It holds here only where all that it knows is known here; of named
        weights the heartbeat itself tells all.
        """
        for name, (changed_at, age) in beat.known.items():
            mirror = self._mirror(name)
            if mirror is None or mirror.revision is None:
                continue
            if name == "weights" or changed_at <= mirror.revision:
                mirror.advance_known_at(now - age / 1000)

    def poll_rank(self) -> int:
        """Returns when this router looks, as an index of POLL_SHARES.

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

    def _mirror(self, kind: str) -> object_caches.ObjectCache | None:
        found = self.watching.get(kind)
        return None if found is None else found.mirror

    def follows(self) -> bool:
        """Returns whether others watch the servers for this router."""
        if self.roster.reaches_all():
            return False
        return self.shares.has_enough(self.roster.rank, clocks.now())

    def current_watchers(self, now: float) -> dict[str, int]:
        """Returns who watches, this router included if it does."""
        if self.watching["servers"].watching:
            self.shares.watches(now)
        return self.shares.watcher_ages(now)

    def forward_changes(self, after: int, found: registrations.Changes) -> None:
        """Passes on what this router's watch of the servers brought.

        Args:
            after: revision of the newest change known before.
            found: what it brought.
        """
        if self.roster.reaches_all() or not (found.changed or found.removed):
            return
        told = peer_messages.WatchedChanges(
            after=after, changes=found, lapse_ms=self._lapse_ms()
        )
        self._offer(told, without="")

    def _lapse_ms(self) -> int:
        """Returns for how long yet what is gone may come back."""
        lapse_seconds = self.updater.lapse_ends() - clocks.now()
        return max(0, int(lapse_seconds * 1000))

    def _take_lapse(self, lapse_ms: int) -> None:
        """Takes for how long another router waits for what is gone."""
        lapse_ends = clocks.now() + lapse_ms / 1000
        self.lapse_told = max(self.lapse_told, lapse_ends)

    def _offer(self, told: peer_messages.WatchedChanges, without: str) -> None:
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
                self.send(
                    address, peer_messages.ChangesOffer(changed_at=newest)
                )

    def request_changes(
        self, sender: str, offer: peer_messages.ChangesOffer
    ) -> None:
        """Asks for changes that are news, of the first that offers them."""
        now = clocks.now()
        servers = self._mirror("servers")
        if servers.revision is None or offer.changed_at <= servers.revision:
            return
        asked, when = self._asked
        if offer.changed_at <= asked and now - when < ASKED_SECONDS:
            return
        self._asked = (offer.changed_at, now)
        self.send(
            sender, peer_messages.ChangesRequest(changed_at=offer.changed_at)
        )

    def send_changes(
        self, sender: str, want: peer_messages.ChangesRequest
    ) -> None:
        """Sends changes that were offered."""
        told = self._offered.get(want.changed_at)
        if told is not None:
            self.send(sender, told)

    def receive_changes(
        self, sender: str, told: peer_messages.WatchedChanges
    ) -> None:
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
        held = self.view.configuration
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
        if now - self._wished.get(kind, 0.0) < LISTING_REQUEST_SECONDS:
            return
        self._wished[kind] = now
        self.send(address, peer_messages.ListingRequest(kind=kind))

    def send_listing(self, address: str, kind: str) -> None:
        """Sends a router all objects of a kind."""
        mirror = self._mirror(kind)
        if mirror is None or mirror.revision is None:
            return
        gift = peer_messages.FullListing(
            kind=kind, listing=mirror.listing(), lapse_ms=self._lapse_ms()
        )
        self.send(address, gift)

    def receive_listing(
        self, sender: str, gift: peer_messages.FullListing
    ) -> None:
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
