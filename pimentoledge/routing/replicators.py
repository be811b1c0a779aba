"""Synchronises the copies of the store's objects between routers.

In a large fleet two routers of each data centre watch the servers and forward
changes to the others. A router that cannot reach the store requests newer
objects from a peer.
"""

import collections
from collections.abc import Callable

import attrs

from pimentoledge.nodes import numbers
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configuration_exchanges
from pimentoledge.routing import delays
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import rosters
from pimentoledge.routing import view_updaters
from pimentoledge.routing import watch_shares
from pimentoledge.routing import watchers

# Delay before a newer copy is requested, since the change usually arrives by
# itself in this time.
CATCH_UP_DELAY_SECONDS = 0.25
# After this time without an answer, changes are requested from another peer.
CHANGES_TIMEOUT_SECONDS = 0.05
# Number of offered changes kept for requests; each takes some hundred bytes.
MAX_OFFERED = 50
# Minimum interval between two requests for listings of the same kind. It
# doubles with each request that is not answered yet, up to the maximum: several
# copies of a large listing on a slow link would delay each other and all else.
LISTING_REQUEST_SECONDS = 0.6
MAX_LISTING_REQUEST_SECONDS = 2.4
# The same for differences of the configuration, which are small. A router that
# is cut off or of a former build doesn't answer, and others may.
DIFFERENCE_REQUEST_SECONDS = 0.25
MAX_DIFFERENCE_REQUEST_SECONDS = 1.0
_DIFFERENCE = "difference"


class Replicator:
    """Sends and receives changes of the store's objects.

    Attributes:
        view: the router's view of the cluster.
        watching: the tasks that follow the store, by kind.
        roster: the other routers.
        updater: applies received changes to the view.
        lines: log of changes of the view.
        send: sends a message to a mailbox.
        shares: which routers watch the servers for others.
        configuration_shares: which routers watch the configuration for others.
        configurations: exchanges differences of the configuration.
        peer_lapse_ends: time until which a removed server may still reappear,
            as reported by peers.
    """

    def __init__(
        self,
        *,
        view: cluster_views.ClusterView,
        watching: dict[str, watchers.Watcher],
        roster: rosters.Roster,
        updater: view_updaters.ViewUpdater,
        lines: log_lines.Lines,
        send: Callable[[str, object], None],
        bandwidth: float = 0.0,
    ):
        self.view = view
        self.watching = watching
        self.roster = roster
        self.updater = updater
        self.lines = lines
        self.send = send
        self.shares = watch_shares.WatchShares(own=roster.own)
        self.configuration_shares = watch_shares.WatchShares(
            own=roster.own, bandwidth=bandwidth
        )
        self.configurations = configuration_exchanges.ConfigurationExchange(
            updater=updater,
            cache=self._cache("configuration"),
            lines=lines,
            send=lambda address, message: self.send(address, message),
        )
        self.peer_lapse_ends = 0.0
        # By kind, the earliest time of the next request for a listing, and the
        # interval after it.
        self._listing_requests: dict[str, tuple[float, float]] = {}
        self._last_request = ((-1, 0), 0.0)
        self._offered: collections.OrderedDict[
            tuple[int, int], peer_messages.WatchedChanges
        ] = collections.OrderedDict()

    def store_reached(self) -> bool:
        """Returns whether this router can reach the store."""
        return all(each.reached for each in self.watching.values())

    def known(self, now: float) -> dict[str, tuple[int, int]]:
        """Returns revision and age of the copy of each kind, for heartbeats.

        Returns:
            by kind, revision of the newest known change, and ms since the copy
            was last confirmed to be current.
        """
        return {
            name: (
                each.cache.changed_at,
                numbers.milliseconds(now - each.cache.known_at),
            )
            for name, each in self.watching.items()
            if each.cache.revision is not None and each.cache.known_at
        }

    def eras(self) -> dict[str, int]:
        """Returns the era of the copy of each kind, for heartbeats."""
        return {name: each.cache.era for name, each in self.watching.items()}

    def merge_known(
        self, heartbeat: peer_messages.Heartbeat, now: float
    ) -> None:
        """Marks copies as current that a peer has confirmed to be current.

        A copy that lacks a change that the peer has counts as current once it
        has that change. Weights always qualify, as the heartbeat itself carries
        all of their versions.
        """
        for name, (changed_at, age) in heartbeat.known.items():
            cache = self._cache(name)
            if cache is None or cache.revision is None:
                continue
            position = (heartbeat.eras.get(name, 0), changed_at)
            if name == "weights":
                position = cache.position
            cache.merge_confirmed(position, now - age / 1000)

    def poll_rank(self) -> int:
        """Returns when this router polls the store, as an index of POLL_SHARES.

        In a small fleet the first to poll is a router that can reach the
        store, in a large one the first of each data centre. The latter may
        have been dead for up to 30 s without being detected, so the second
        has a turn of its own; otherwise all others would poll at once.
        """
        if not self.roster.reaches_all():
            return min(self.roster.rank, 2)
        first = all(
            address > self.roster.own or not peer.heartbeat.store_reached
            for address, peer in self.roster.present(clocks.now()).items()
        )
        return 0 if first else 2

    def _cache(self, kind: str) -> object_caches.ObjectCache | None:
        watcher = self.watching.get(kind)
        return None if watcher is None else watcher.cache

    def follows(self) -> bool:
        """Returns whether this router relies on the watches of others."""
        if self.roster.reaches_all():
            return False
        return self.shares.has_enough(self.roster.rank, clocks.now())

    def follows_configuration(self) -> bool:
        """Returns whether others watch the configuration for this router.

        A whole copy of a large configuration takes a slow link seconds. The
        routers with the fastest links of a data centre watch it, and the others
        request from them what has changed.
        """
        return self.configuration_shares.has_enough(
            self.roster.rank, clocks.now()
        )

    def configuration_poll_rank(self) -> int:
        """Returns when this router polls the store for the configuration."""
        if self.roster.reaches_all():
            return self.poll_rank()
        return self.configuration_shares.place(clocks.now())

    def configuration_watchers(
        self, now: float
    ) -> dict[str, tuple[int, float]]:
        """Returns the watchers of the configuration in this data centre.

        Returns:
            by mailbox, ms since the watcher's newest announcement and the
            bandwidth of its link.
        """
        watcher = self.watching.get("configuration")
        if watcher is not None and watcher.watching:
            self.configuration_shares.record_own(now)
        return self.configuration_shares.watchers(now)

    def current_watchers(self, now: float) -> dict[str, int]:
        """Returns the ages of the watchers, including this router if it is one.

        Returns:
            by mailbox, ms since the watcher's newest announcement.
        """
        if self.watching["servers"].watching:
            self.shares.record_own(now)
        return self.shares.watcher_ages(now)

    def forward_changes(self, found: registrations.Changes) -> None:
        """Forwards changes that this router's watch of the servers returned."""
        if self.roster.reaches_all() or not (found.changed or found.removed):
            return
        watched = peer_messages.WatchedChanges(
            after=found.after,
            changes=attrs.evolve(found, transfer=None),
            lapse_ms=self._lapse_ms(),
        )
        self._offer(watched, excluded="")

    def _lapse_ms(self) -> int:
        """Returns the ms left in which a removed server may still reappear."""
        lapse_seconds = self.updater.lapse_ends() - clocks.now()
        return max(0, numbers.milliseconds(lapse_seconds))

    def _merge_lapse(self, lapse_ms: int) -> None:
        """Merges the time for which a peer waits for removed servers."""
        lapse_ends = clocks.now() + lapse_ms / 1000
        known = max(self.peer_lapse_ends, self.updater.lapse_ends())
        # Each message would add its transit time to the same time.
        if lapse_ends - known > delays.ROUND_TRIP_SECONDS:
            self.peer_lapse_ends = lapse_ends

    def _offer(
        self, watched: peer_messages.WatchedChanges, excluded: str
    ) -> None:
        """Offers changes to the neighbours in the data centre.

        Args:
            watched: the changes.
            excluded: mailbox of a neighbour that has them already, or "".
        """
        changes = watched.changes
        newest = max(
            each.revision for each in changes.changed + changes.removed
        )
        offer = peer_messages.ChangesOffer(changed_at=newest, era=changes.era)
        self._offered[offer.position] = watched
        while len(self._offered) > MAX_OFFERED:
            self._offered.popitem(last=False)
        for address in self.roster.near:
            if address != excluded:
                self.send(address, offer)

    def request_changes(
        self, sender: str, offer: peer_messages.ChangesOffer
    ) -> None:
        """Requests new changes from the first peer that offers them."""
        now = clocks.now()
        servers = self._cache("servers")
        if servers.revision is None or offer.position <= servers.position:
            return
        requested, when = self._last_request
        if offer.position <= requested and now - when < CHANGES_TIMEOUT_SECONDS:
            return
        self._last_request = (offer.position, now)
        self.send(
            sender,
            peer_messages.ChangesRequest(
                changed_at=offer.changed_at, era=offer.era
            ),
        )

    def send_changes(
        self, sender: str, request: peer_messages.ChangesRequest
    ) -> None:
        """Sends offered changes to a peer that requests them."""
        watched = self._offered.get(request.position)
        if watched is not None:
            self.send(sender, watched)

    def receive_changes(
        self, sender: str, watched: peer_messages.WatchedChanges
    ) -> None:
        """Applies and forwards changes that a peer's watch returned."""
        servers = self._cache("servers")
        changes = watched.changes
        if servers.revision is None or servers.is_older(changes):
            return
        if not servers.continues(changes) or watched.after > servers.revision:
            self.watching["servers"].catch_up()
            return
        self._merge_lapse(watched.lapse_ms)
        if servers.apply(changes):
            self._offer(watched, excluded=sender)

    def is_behind(self, peer: rosters.Peer) -> bool:
        """Returns whether a peer has a newer configuration or servers."""
        return self._lacks_configuration(peer) or self._lacks_servers(peer)

    def _lacks_configuration(self, peer: rosters.Peer) -> bool:
        configuration = self.view.configuration
        if configuration is None:
            return peer.configuration > 0
        return peer.configuration > max(
            configuration.version, self.view.unreadable_version
        )

    def update_behind(self, now: float) -> None:
        """Records since when a router in reach has a newer configuration."""
        behind = any(
            self._lacks_configuration(peer)
            for peer in self.roster.present(now).values()
        )
        if not behind:
            self.view.behind_since = None
        elif self.view.behind_since is None:
            self.view.behind_since = now

    def _lacks_servers(self, peer: rosters.Peer) -> bool:
        servers = self._cache("servers")
        known = peer.heartbeat.known_position("servers")
        return servers.revision is None or known > servers.position

    def catch_up(self, address: str) -> None:
        """Requests what a peer has newer, from the store or from that peer.

        A router with an open watch at the store does so too: the store may
        never have received the watch's request, and the router would rely on
        it and miss a server's drain that peers announce. A router whose watch
        works is no longer behind when this is called.
        """
        peer = self.roster.known.get(address)
        if peer is None:
            return
        self.catch_up_configuration(address)
        if not self._lacks_servers(peer):
            return
        listed = self._cache("servers").revision is not None
        large_fleet = not self.roster.reaches_all()
        if large_fleet and listed and self.store_reached():
            # In a large fleet the list of all servers is too long to send.
            self.watching["servers"].catch_up()
        else:
            self._request_listing(address, "servers")

    def catch_up_configuration(self, address: str) -> None:
        """Requests what a peer has newer of the configuration, if it has.

        The store may be sending it at the same time: the difference is small
        and arrives first on a slow link.
        """
        peer = self.roster.known.get(address)
        if peer is None or not self._lacks_configuration(peer):
            return
        if self._may_request(
            _DIFFERENCE,
            first=DIFFERENCE_REQUEST_SECONDS,
            most=MAX_DIFFERENCE_REQUEST_SECONDS,
        ):
            self.configurations.request(address)

    def _request_listing(self, address: str, kind: str) -> None:
        if self._may_request(kind):
            self.send(address, peer_messages.ListingRequest(kind=kind))

    def _may_request(
        self,
        kind: str,
        *,
        first: float = LISTING_REQUEST_SECONDS,
        most: float = MAX_LISTING_REQUEST_SECONDS,
    ) -> bool:
        """Returns whether another request is due; counts it.

        Args:
            kind: what is requested.
            first: interval after the first request, in seconds.
            most: longest interval.
        """
        now = clocks.now()
        next_at, interval = self._listing_requests.get(kind, (now, first))
        if now < next_at:
            return False
        self._listing_requests[kind] = (
            now + interval,
            min(2 * interval, most),
        )
        return True

    def receive_configuration(
        self, sender: str, update: peer_messages.ConfigurationUpdate
    ) -> None:
        """Applies a difference of the configuration that a peer has sent."""
        self._note_answer(_DIFFERENCE, DIFFERENCE_REQUEST_SECONDS)
        self.configurations.receive(sender, update)

    def _note_answer(
        self, kind: str, first: float = LISTING_REQUEST_SECONDS
    ) -> None:
        """Lets the next request wait for the shortest interval only."""
        next_at, _ = self._listing_requests.get(kind, (0.0, 0.0))
        self._listing_requests[kind] = (next_at, first)

    def send_listing(self, address: str, kind: str) -> None:
        """Sends all objects of a kind to a peer."""
        cache = self._cache(kind)
        if cache is None or cache.revision is None:
            return
        full = peer_messages.FullListing(
            kind=kind, listing=cache.listing(), lapse_ms=self._lapse_ms()
        )
        self.send(address, full)

    def receive_listing(
        self, sender: str, full: peer_messages.FullListing
    ) -> None:
        """Applies all objects of a kind that a peer has sent."""
        cache = self._cache(full.kind)
        if cache is None:
            return
        self._note_answer(full.kind)
        self.lines.write(
            "told_by_router",
            router=sender,
            kind=full.kind,
            position=full.listing.position,
            held=cache.position,
        )
        # A server whose entry expired may still be alive. If it were dropped
        # because a peer's listing lacks it, it would be missing here until it
        # registers again.
        self._merge_lapse(full.lapse_ms)
        cache.apply(full.listing)
