"""What routers tell each other, over pynng."""

import asyncio
from collections.abc import Callable
import random

import logbook

from pimentoledge.decisions import events
from pimentoledge.nodes import codecs
from pimentoledge.nodes import mailboxes
from pimentoledge.platform import stores
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import delays
from pimentoledge.routing import fleet_sizes
from pimentoledge.routing import holder_heartbeats
from pimentoledge.routing import leases
from pimentoledge.routing import limit_reports
from pimentoledge.routing import load_reports
from pimentoledge.routing import log_lines
from pimentoledge.routing import peer_messages
from pimentoledge.routing import replicators
from pimentoledge.routing import rosters
from pimentoledge.routing import server_notices
from pimentoledge.routing import view_updaters
from pimentoledge.routing import wanted_weights
from pimentoledge.routing import watchers
from pimentoledge.routing.quotas import limiters

logger = logbook.Logger("peers")

# A heartbeat of some 200 bytes, twice a second.
HEARTBEAT_SECONDS = 0.5
# News that come within this of a heartbeat wait for its end and share the
# next: what several routers pass on at once would else go out several times.
NEWS_SECONDS = 0.004
# Between two tellings of who was heard, each to one router drawn at random: of
# 300 routers each knows the others' ages to within some 15 s, for 4 KB/s.
AGES_SECONDS = 2.0
CODEC = codecs.Codec(numbers=peer_messages.NUMBERS)


class PeerMessenger:
    """This router's part of the talk between routers.

    Attributes:
        view: what the process believes.
        lease: what it knows of the lease.
        updater: turn what is told into beliefs.
        lines: where changes of belief are written.
        holder_heartbeats: signs of life of the router that gives orders.
        roster: the other routers.
        replicator: keeps the copies of the store's objects in step with theirs.
        load_reports: tell and take what routers have at servers.
        limit_reports: send and receive the limits that servers have named.
        fleet_size: how many routers there are.
        limiter: holds organisations' limits over all routers.
        arrived: returns as of when what is read at a time may have lain in a
            socket, since the process stood still.
        delays: how long messages were held up on their way.
    """

    def __init__(
        self,
        *,
        listen: str,
        seeds: list[str],
        view: cluster_views.ClusterView,
        lease: leases.Lease,
        watching: dict[str, watchers.Watcher],
        takers: view_updaters.ViewUpdater,
        notices: server_notices.ServerNotices,
        store: stores.Store,
        lines: log_lines.Lines,
        arrived: Callable[[float], float] = lambda now: now,
    ):
        self.view = view
        self.arrived = arrived
        self.delays = delays.Delays()
        self._held_up: set[str] = set()
        self.lease = lease
        self.updater = takers
        self.lines = lines
        self.holder_heartbeats = holder_heartbeats.HolderHeartbeats(
            lease=lease, view=view
        )
        self.roster = rosters.Roster(
            own=f"tcp://{listen}", data_centre=view.data_centre
        )
        self.replicator = replicators.Replicator(
            view=view,
            watching=watching,
            roster=self.roster,
            takers=takers,
            lines=lines,
            send=self._send,
        )
        self.load_reports = load_reports.LoadReports(
            view=view, roster=self.roster, send_all=self._tell
        )
        self.limit_reports = limit_reports.LimitReports(
            view=view,
            roster=self.roster,
            notices=notices,
            send_all=self._tell,
        )
        self.fleet_size = fleet_sizes.FleetSize(
            roster=self.roster,
            store=store,
            lines=lines,
            wanted=view.shares_limits,
            owners=lambda: self.limiter.rights.wanted,
            born=view.born,
        )
        self.limiter = limiters.Limiter(
            own=self.roster.own,
            life=random.getrandbits(31),
            bounds=view.bounds.limits,
            share=self.fleet_size.share,
            routers=self.fleet_size.routers,
            send=self._send,
            renew=self._renew,
        )
        self._loop: asyncio.AbstractEventLoop | None = None
        self._next_beat = 0.0
        self._next_ages = 0.0
        self._news_wait = False
        self._mailbox = mailboxes.Mailbox(
            address=f"tcp://{listen}", deliver=self._deliver, codec=CODEC
        )
        self.add_seeds(seeds)

    def start(self) -> None:
        """Listens."""
        self._loop = asyncio.get_running_loop()
        self._mailbox.start()
        self.fleet_size.start()

    def add_seeds(self, seeds: list[str]) -> None:
        """Takes addresses, as IP:PORT, to find routers by."""
        self.roster.add_seeds([f"tcp://{each}" for each in seeds], clocks.now())

    def close(self) -> None:
        """Closes all connections."""
        self.fleet_size.close()
        self._mailbox.close()

    def _deliver(self, event: object) -> None:
        """Brings an event from pynng's threads to the loop."""
        try:
            self._loop.call_soon_threadsafe(self.handle, event)
        except RuntimeError:
            # The loop has ended; nothing is left to be told.
            return

    def tick(self, now: float) -> None:
        """Sends heartbeats when they are due."""
        self.roster.tick(now)
        self._mailbox.expire(now, set(self.roster.partners))
        for address in self.roster.silent_partners(now):
            self._renew(address, now)
        if now >= self._next_beat:
            self.beat(now)
        if now >= self._next_ages:
            self._tell_ages(now)
        self.load_reports.tick(now)
        self.limit_reports.tick(now)
        if self.view.shares_limits() or self.limiter.questions:
            self.limiter.tick(now)
        self.view.members = self.roster.count(now)

    def beat_now(self) -> None:
        """Sends a heartbeat at once, since something changed."""
        if self._loop is None or self._news_wait:
            return
        now = clocks.now()
        wait = self._next_beat - HEARTBEAT_SECONDS + NEWS_SECONDS - now
        if wait <= 0:
            self.beat(now)
            return
        self._news_wait = True
        self._loop.call_later(wait, self._send_news)

    def _send_news(self) -> None:
        self._news_wait = False
        self.beat(clocks.now())

    def beat(self, now: float) -> None:
        """Sends a heartbeat to each partner."""
        self._next_beat = now + HEARTBEAT_SECONDS
        self.holder_heartbeats.own(now)
        self._tell(self.roster.partners, self._own_beat(now))

    def _tell_ages(self, now: float) -> None:
        """Tells one router how long ago each was heard."""
        self._next_ages = now + AGES_SECONDS
        members = list(self.roster.members(now))
        if not members:
            return
        told = peer_messages.HeartbeatAges(ages=self.roster.ages(now))
        self._send(random.choice(members), told)

    def _send(self, address: str, message: object) -> None:
        self._tell([address], message)

    def _own_beat(self, now: float) -> peer_messages.Heartbeat:
        lease = self.lease
        return peer_messages.Heartbeat(
            data_centre=self.view.data_centre,
            counted=self.roster.count_report(now),
            wanted={
                model: (wanted.version, int((now - wanted.since) * 1000))
                for model, wanted in self.view.wanted.items()
            },
            known=self.replicator.known(now),
            store_reached=self.replicator.store_reached(),
            lease_revision=-1 if lease.revision is None else lease.revision,
            lease_holder=lease.held_by,
            lease_ms=int((now - lease.learnt) * 1000),
            leaving=self.view.leaving,
            pulse=self.holder_heartbeats.newest,
            holding=self.holder_heartbeats.holding,
            loading=self.holder_heartbeats.loading_servers(now),
            watchers=self.replicator.current_watchers(now),
            named={
                model: [
                    (
                        each.version,
                        int((now - each.since) * 1000),
                        int(each.source),
                    )
                    for each in wanted.named
                ]
                for model, wanted in self.view.wanted.items()
            },
            clock=self.view.clock(now),
            unheard=self.roster.silent_partners(now),
        )

    def _tell(self, addresses: list[str], message: object) -> None:
        configuration = self.view.configuration
        self._mailbox.send_all(
            addresses,
            message,
            configuration=configuration.version if configuration else 0,
            now=clocks.now(),
        )

    def handle(self, event: object) -> None:
        """Takes an event of the mailbox; on the loop."""
        match event:
            case events.FromNode(message=peer_messages.Heartbeat() as beat):
                self._heard(event, beat)
            case events.FromNode(
                message=peer_messages.ListingRequest() as wish
            ):
                self.replicator.send_listing(event.sender, wish.kind)
            case events.FromNode(message=peer_messages.FullListing() as gift):
                self.replicator.receive_listing(event.sender, gift)
            case events.FromNode(message=peer_messages.CrashReport() as crash):
                self._crashed(crash)
            case events.FromNode(
                message=peer_messages.HeartbeatAges(ages=ages)
            ):
                self.roster.merge_ages(ages, clocks.now())
            case events.FromNode(
                message=peer_messages.WatchedChanges() as told
            ):
                self.replicator.receive_changes(event.sender, told)
            case events.FromNode(message=peer_messages.ChangesOffer() as offer):
                self.replicator.request_changes(event.sender, offer)
            case events.FromNode(
                message=peer_messages.ChangesRequest() as want
            ):
                self.replicator.send_changes(event.sender, want)
            case events.FromNode(message=peer_messages.LoadReport() as work):
                self.load_reports.take(event.sender, work, clocks.now())
            case events.FromNode(message=peer_messages.LimitReport() as limits):
                sent = self._sent_at(event.sender, limits.clock, clocks.now())
                self.limit_reports.receive(event.sender, limits, sent)
            case mailboxes.PeerUp() | mailboxes.PeerDown():
                self._mailbox.handle(event)
            case events.FromNode(message=message):
                self.limiter.handle(event.sender, message, clocks.now())
            case events.Unreachable(address=address):
                # The next heartbeat tries anew; silence is judged there.
                self.limiter.unreachable(address, clocks.now())

    def server_died(self, incarnation: str) -> None:
        """Tells the others which content a dead server had."""
        for content in self.view.suspects.record_death(
            incarnation, clocks.now()
        ):
            self.lines.write("crashed", content=content, server=incarnation)
            self._tell(
                self.roster.partners,
                peer_messages.CrashReport(
                    content=content, incarnation=incarnation
                ),
            )

    def _crashed(self, crash: peer_messages.CrashReport) -> None:
        is_news = self.view.suspects.record_crash(
            crash.content, crash.incarnation, clocks.now()
        )
        if is_news and not self.roster.reaches_all():
            self._tell(self.roster.partners, crash)

    def _heard(
        self, event: events.FromNode, beat: peer_messages.Heartbeat
    ) -> None:
        now = clocks.now()
        self.roster.meet(event.sender, now)
        peer = self.roster.known.get(event.sender)
        if peer is None:
            return
        if now - peer.last_heard_at > rosters.AWAY_SECONDS:
            self._greet(event.sender, now)
        peer.last_heard_at = peer.alive = now
        peer.beat = beat
        peer.configuration = event.configuration
        peer.data_centre = beat.data_centre
        if self.roster.own in beat.unheard:
            self._renew(event.sender, now)
        self.roster.merge_count(*beat.counted, now)
        if beat.data_centre == self.view.data_centre:
            self.replicator.shares.take(beat.watchers, now)
        sent = self._sent_at(event.sender, beat.clock, now)
        self.replicator.merge_known(beat, sent)
        self._learn_weights(beat, sent, now)
        self._learn(beat, now)
        if self.replicator.is_behind(peer):
            later = self._loop.call_later
            later(
                replicators.PATIENCE_SECONDS,
                self.replicator.catch_up,
                event.sender,
            )

    def _sent_at(
        self, sender: str, clock: tuple[int, int], now: float
    ) -> float:
        """Returns as of when what a message tells is known to hold."""
        held = self.delays.held(sender, clock, now)
        if held and sender not in self._held_up:
            self._held_up.add(sender)
            self.lines.write("held_up", router=sender, seconds=round(held, 2))
        if not held:
            self._held_up.discard(sender)
        return min(self.arrived(now), now - held)

    def _renew(self, address: str, now: float) -> None:
        """Opens the connection to a router anew.

        The network may have forgotten a connection that stands at both ends.
        Which of the two directions it has forgotten isn't known.
        """
        if self._mailbox.renew(address, now, rosters.AWAY_SECONDS):
            self.lines.write("router_reconnected", router=address)

    def _greet(self, address: str, now: float) -> None:
        """Tells a router that has come, or come back, what is newest."""
        self.lines.write("router_heard", router=address)
        ages = self.roster.ages(now, most=rosters.MOST_TOLD)
        self._send(address, peer_messages.HeartbeatAges(ages=ages))
        self._send(address, self._own_beat(now))
        self.limit_reports.greet(address, now)

    def _learn_weights(
        self, beat: peer_messages.Heartbeat, sent: float, now: float
    ) -> None:
        least = wanted_weights.Source.HEARD
        if sent < now:
            # When it was sent isn't known exactly.
            least = wanted_weights.Source.NOT_BEFORE
        for model, newest in beat.wanted.items():
            named = beat.named.get(model) or [(*newest, 0)]
            for version, age, source in reversed(named):
                self.updater.want(
                    model,
                    version,
                    sent - age / 1000,
                    "router",
                    source=wanted_weights.Source(max(source, least)),
                )

    def _learn(self, beat: peer_messages.Heartbeat, now: float) -> None:
        if beat.lease_revision > 0:
            self.lease.merge_peer(
                beat.lease_revision,
                beat.lease_holder,
                now - beat.lease_ms / 1000,
            )
        if (
            self.holder_heartbeats.merge(beat, now)
            and not self.roster.reaches_all()
        ):
            self.beat_now()

    @property
    def address(self) -> str:
        """This router's mailbox."""
        return self._mailbox.address
