"""Messaging between routers over pynng."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

import logbook

from pimentoledge.decisions import events
from pimentoledge.nodes import codecs
from pimentoledge.nodes import mailboxes
from pimentoledge.nodes import numbers
from pimentoledge.platform import stores
from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import copy_confirmations
from pimentoledge.routing import crash_reports
from pimentoledge.routing import delays
from pimentoledge.routing import fleet_sizes
from pimentoledge.routing import holder_heartbeats
from pimentoledge.routing import leases
from pimentoledge.routing import limit_reports
from pimentoledge.routing import load_reports
from pimentoledge.routing import log_lines
from pimentoledge.routing import peak_counts
from pimentoledge.routing import peer_messages
from pimentoledge.routing import record_logs
from pimentoledge.routing import registrations
from pimentoledge.routing import replicators
from pimentoledge.routing import rosters
from pimentoledge.routing import server_deaths
from pimentoledge.routing import server_notices
from pimentoledge.routing import stored_quarantines
from pimentoledge.routing import stream_version_exchanges
from pimentoledge.routing import supervised_tasks
from pimentoledge.routing import view_updaters
from pimentoledge.routing import wanted_weights
from pimentoledge.routing import watchers
from pimentoledge.routing.fair_shares import share_reports
from pimentoledge.routing.quotas import limiters
from pimentoledge.routing.server_speeds import speed_reports

logger = logbook.Logger("peers")

# A heartbeat takes some 200 bytes.
HEARTBEAT_SECONDS = 0.5
# Changes within this time after a heartbeat are delayed to its end and sent in
# one heartbeat; otherwise changes that several routers forward at once would
# each cause a heartbeat.
COALESCE_SECONDS = 0.004
# Interval between messages with heartbeat ages, each to one random router.
# With 300 routers each then knows the others' ages to within some 15 s, at a
# cost of 4 KB/s.
AGES_SECONDS = 2.0
# For how long routers that are not heard any more still share the retry budget:
# during a long partition each side would otherwise use all of it.
SHARED_BUDGET_SECONDS = 120.0
# Interval between checks for crashes that are too old to count.
EXPIRY_SECONDS = 1.0
CODEC = codecs.Codec(numbers=peer_messages.NUMBERS)


class PeerMessenger:
    """Sends and handles the messages between this router and its peers.

    Attributes:
        view: the router's view of the cluster.
        lease: the router's state of the lease.
        updater: applies received changes to the view.
        lines: log of changes of the view.
        holder_heartbeats: heartbeats of the lease holder.
        roster: the other routers.
        replicator: synchronises the copies of stored objects with peers.
        load_reports: exchange the routers' load at servers.
        limit_reports: exchange the limits that servers advertise.
        crash_reports: exchange what crashed servers.
        records: replicate the records that every router must have.
        fleet_size: number of routers.
        stream_versions: software versions of streams.
        limiter: enforces organisations' limits across all routers.
        arrived: returns the earliest time at which data that is read at a
            given time may have arrived, since a paused process leaves data in
            its sockets.
        delays: how long messages were delayed on their way.
    """

    def __init__(
        self,
        *,
        listen: str,
        seeds: list[str],
        view: cluster_views.ClusterView,
        lease: leases.Lease,
        watching: dict[str, watchers.Watcher],
        updater: view_updaters.ViewUpdater,
        notices: server_notices.ServerNotices,
        store: stores.StoreClient,
        lines: log_lines.Lines,
        arrived: Callable[[float], float] = lambda now: now,
        bandwidth: float = 0.0,
    ):
        self.view = view
        self.arrived = arrived
        self.delays = delays.Delays()
        self._delayed_senders: set[str] = set()
        self.lease = lease
        self.updater = updater
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
            updater=updater,
            lines=lines,
            send=self._send,
            bandwidth=bandwidth,
        )
        self.load_reports = load_reports.LoadReports(
            view=view, roster=self.roster, send_all=self._send_all
        )
        self.load_reports.parts.append(speed_reports.SpeedReports(view=view))
        self.load_reports.parts.append(share_reports.ShareReports(view=view))
        self.limit_reports = limit_reports.LimitReports(
            view=view,
            roster=self.roster,
            notices=notices,
            send_all=self._send_all,
        )
        self.crash_reports = crash_reports.CrashReports(
            suspects=view.suspects,
            stored=stored_quarantines.StoredQuarantines(
                suspects=view.suspects,
                store=store,
                lines=lines,
                started_at=view.started_at,
            ),
            lines=lines,
            changed=self._note_record,
            forgotten=self._discard_record,
        )
        view.suspects.rank = lambda key: self.roster.rank_for(key, clocks.now())
        self.records = record_logs.RecordExchange(
            kinds=self.crash_reports.kinds(),
            send=self._send_all,
            partners=lambda: self.roster.partners,
            clock=view.clock,
        )
        self.stream_versions = stream_version_exchanges.StreamVersionExchange(
            roster=self.roster,
            send=self._send,
            lines=lines,
            view=view,
            confirm=lambda: copy_confirmations.confirm(
                watching[kind] for kind in ("servers", "configuration")
            ),
        )
        self.fleet_size = fleet_sizes.FleetSize(
            roster=self.roster,
            store=store,
            lines=lines,
            owners=lambda: self.limiter.rights.wanted,
            started_at=view.started_at,
        )
        self.limiter = limiters.Limiter(
            own=self.roster.own,
            life=random.getrandbits(31),
            bounds=view.bounds.limits,
            share=self.fleet_size.share,
            routers=self.fleet_size.routers,
            send=self._send,
            renew=self._reconnect,
        )
        self._loop: asyncio.AbstractEventLoop | None = None
        self._routers = peak_counts.PeakCount(
            window_seconds=SHARED_BUDGET_SECONDS
        )
        self._next_heartbeat = 0.0
        self._next_ages = 0.0
        self._next_expiry = 0.0
        self._heartbeat_scheduled = False
        self._records_scheduled = False
        self._mailbox = mailboxes.Mailbox(
            address=f"tcp://{listen}",
            deliver=self._deliver,
            codec=CODEC,
            on_failure=self._on_receiver_ended,
            max_message_bytes=buffer_bounds.LISTING_BYTES,
        )
        self.add_seeds(seeds)

    def start(self) -> None:
        """Starts to listen for messages and to track the fleet's size."""
        self._loop = asyncio.get_running_loop()
        self._mailbox.start()
        self.fleet_size.start()
        self.crash_reports.start(self.view.started_at)

    def add_seeds(self, seeds: list[str]) -> None:
        """Adds addresses, as IP:PORT, for the discovery of routers."""
        self.roster.add_seeds([f"tcp://{each}" for each in seeds], clocks.now())

    def close(self) -> None:
        """Closes all connections."""
        self.fleet_size.close()
        self.crash_reports.close()
        self._mailbox.close()

    def _deliver(self, event: object) -> None:
        """Passes an event from pynng's threads to the event loop."""
        try:
            self._loop.call_soon_threadsafe(self.handle, event)
        except RuntimeError:
            # The loop is closed, so nothing is left to handle the event.
            return

    def _on_receiver_ended(self, error: Exception) -> None:
        """Reports the end of the receiving thread, in that thread."""
        try:
            self._loop.call_soon_threadsafe(
                supervised_tasks.report, "receiving thread", error
            )
        except RuntimeError:
            # The loop is closed, so the process ends anyway.
            return

    def tick(self, now: float) -> None:
        """Does the periodic work; sends messages that are due."""
        self.roster.tick(now)
        self._mailbox.expire(now, set(self.roster.partners))
        for address in self.roster.silent_partners(now):
            self._reconnect(address, now)
        if now >= self._next_heartbeat:
            self.send_heartbeat(now)
        if now >= self._next_ages:
            self._send_ages(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_SECONDS
            self.view.suspects.expire(now)
            self.records.forget(set(self.roster.known))
            self.stream_versions.expire(now)
            self.view.claimed.expire(now)
        self.load_reports.tick(now)
        self.limit_reports.tick(now)
        if self.view.shares_limits() or self.limiter.pending:
            self.limiter.tick(now)
        routers = self.fleet_size.count(now)
        self.view.members = self._routers.note(routers, now)
        self.replicator.update_behind(now)

    def send_heartbeat_soon(self) -> None:
        """Sends a heartbeat after a change, at once or coalesced."""
        if self._loop is None or self._heartbeat_scheduled:
            return
        now = clocks.now()
        wait = self._next_heartbeat - HEARTBEAT_SECONDS + COALESCE_SECONDS - now
        if wait <= 0:
            self.send_heartbeat(now)
            return
        self._heartbeat_scheduled = True
        self._loop.call_later(wait, self._send_coalesced)

    def _send_coalesced(self) -> None:
        self._heartbeat_scheduled = False
        self.send_heartbeat(clocks.now())

    def send_heartbeat(self, now: float) -> None:
        """Sends a heartbeat to each partner at once."""
        self._next_heartbeat = now + HEARTBEAT_SECONDS
        self.holder_heartbeats.record_own(now)
        self._send_all(self.roster.partners, self._own_heartbeat(now))

    def _send_ages(self, now: float) -> None:
        """Sends the heartbeat ages of all members to one random router."""
        self._next_ages = now + AGES_SECONDS
        members = list(self.roster.members(now))
        if not members:
            return
        message = peer_messages.HeartbeatAges(ages=self.roster.ages(now))
        self._send(random.choice(members), message)

    def _send(self, address: str, message: object) -> None:
        self._send_all([address], message)

    def _own_heartbeat(self, now: float) -> peer_messages.Heartbeat:
        lease = self.lease
        return peer_messages.Heartbeat(
            data_centre=self.view.data_centre,
            counted=self.roster.count_report(now),
            wanted={
                model: (
                    wanted.version,
                    numbers.milliseconds(now - wanted.since),
                )
                for model, wanted in self.view.wanted.items()
            },
            known=self.replicator.known(now),
            eras=self.replicator.eras(),
            store_reached=self.replicator.store_reached(),
            lease_revision=-1 if lease.revision is None else lease.revision,
            lease_holder=lease.held_by,
            lease_era=lease.era,
            lease_ms=numbers.milliseconds(now - lease.learnt_at),
            lease_quiet_ms=numbers.milliseconds(lease.quiet_seconds),
            leaving=self.view.leaving,
            pulse=self.holder_heartbeats.newest,
            holding=self.holder_heartbeats.holding,
            loading=self.holder_heartbeats.loading_servers(now),
            watchers=self.replicator.current_watchers(now),
            named={
                model: [
                    (
                        each.version,
                        numbers.milliseconds(now - each.since),
                        int(each.source),
                    )
                    for each in wanted.named
                ]
                for model, wanted in self.view.wanted.items()
            },
            named_known={
                model: [
                    (each.version, numbers.milliseconds(now - each.latest()))
                    for each in wanted.named
                    if each.latest() <= now
                ]
                for model, wanted in self.view.wanted.items()
            },
            clock=self.view.clock(now),
            unheard=self.roster.silent_partners(now),
            records=self.records.position(),
            configuration_watchers=self.replicator.configuration_watchers(now),
        )

    def _send_all(self, addresses: list[str], message: object) -> None:
        configuration = self.view.configuration
        self._mailbox.send_all(
            addresses,
            message,
            configuration=configuration.version if configuration else 0,
            now=clocks.now(),
        )

    def handle(self, event: object) -> None:
        """Handles an event of the mailbox; runs on the event loop.

        An error in one message costs no other.
        """
        try:
            self._dispatch(event)
        except Exception:
            self.lines.write_defect(event=_describe(event))

    def _dispatch(self, event: object) -> None:
        match event:
            case events.FromNode(
                message=peer_messages.Heartbeat() as heartbeat
            ):
                self._handle_heartbeat(event, heartbeat)
            case events.FromNode(
                message=peer_messages.ListingRequest() as request
            ):
                self.replicator.send_listing(event.sender, request.kind)
            case events.FromNode(message=peer_messages.FullListing() as full):
                self.replicator.receive_listing(event.sender, full)
            case events.FromNode(
                message=peer_messages.ConfigurationRequest() as behind
            ):
                self.replicator.configurations.answer(event.sender, behind)
            case events.FromNode(
                message=peer_messages.ConfigurationUpdate() as update
            ):
                self.replicator.receive_configuration(event.sender, update)
            case events.FromNode(message=peer_messages.StreamsBegan() as began):
                self.stream_versions.receive(began)
            case events.FromNode(
                message=peer_messages.StreamVersionQuery() as query
            ):
                self.stream_versions.answer(event.sender, query)
            case events.FromNode(
                message=peer_messages.StreamVersionAnswer() as answer
            ):
                self.stream_versions.receive_answer(event.sender, answer)
            case events.FromNode(message=peer_messages.CrashReport() as crash):
                self.crash_reports.receive_former(
                    event.sender, crash, clocks.now()
                )
            case events.FromNode(message=peer_messages.Records() as records):
                self._receive_records(event.sender, records)
            case events.FromNode(
                message=peer_messages.RecordsRequest() as wanted
            ):
                self.records.receive_request(event.sender, wanted, clocks.now())
            case events.FromNode(
                message=peer_messages.HeartbeatAges(ages=ages)
            ):
                self.roster.merge_ages(ages, clocks.now())
            case events.FromNode(
                message=peer_messages.WatchedChanges() as watched
            ):
                self.replicator.receive_changes(event.sender, watched)
            case events.FromNode(message=peer_messages.ChangesOffer() as offer):
                self.replicator.request_changes(event.sender, offer)
            case events.FromNode(
                message=peer_messages.ChangesRequest() as changes_request
            ):
                self.replicator.send_changes(event.sender, changes_request)
            case events.FromNode(message=peer_messages.LoadReport() as load):
                self.load_reports.receive(event.sender, load, clocks.now())
            case events.FromNode(message=peer_messages.LimitReport() as limits):
                sent = self._sent_at(event.sender, limits.clock, clocks.now())
                self.limit_reports.receive(event.sender, limits, sent)
            case mailboxes.PeerUp() | mailboxes.PeerDown():
                self._mailbox.handle(event)
            case events.FromNode(message=message):
                self.limiter.handle(event.sender, message, clocks.now())
            case events.Unreachable(address=address, unsent=unsent):
                self.stream_versions.resend_later(unsent)
                # The next heartbeat retries; peers that stay silent are
                # detected by the age of their last heartbeat.
                self.limiter.unreachable(address, clocks.now())

    def server_died(self, incarnation: str) -> None:
        """Records the end of a server, which what it ran may have caused."""
        self.crash_reports.server_died(incarnation, clocks.now())

    def server_broke(
        self,
        subjects: Iterable[server_deaths.Subject],
        incarnation: str,
        sent: float,
        silent: bool,
    ) -> None:
        """Records that a server gave no complete response to a request.

        Args:
            subjects: what the request may crash servers by.
            incarnation: the server.
            sent: when the request was sent.
            silent: whether the server was silent, rather than closed the
                connection.
        """
        self.crash_reports.server_broke(
            subjects, incarnation, sent=sent, now=clocks.now(), silent=silent
        )

    def _note_record(self, kind: str, key: object) -> None:
        """Sends a new or changed record to the partners."""
        self.records.log.note((kind, key))
        if self._loop is not None and not self._records_scheduled:
            self._records_scheduled = True
            self._loop.call_soon(self._send_records)

    def _discard_record(self, kind: str, key: object) -> None:
        self.records.log.discard((kind, key))

    def _send_records(self) -> None:
        self._records_scheduled = False
        self.records.send_new(clocks.now())

    def _receive_records(
        self, sender: str, records: peer_messages.Records
    ) -> None:
        now = clocks.now()
        sent_at = self._sent_at(sender, records.clock, now)
        self.records.receive(sender, records, sent_at)
        self.records.request_missing(sender, now)

    def _handle_heartbeat(
        self, event: events.FromNode, heartbeat: peer_messages.Heartbeat
    ) -> None:
        now = clocks.now()
        self.roster.add(event.sender, now)
        peer = self.roster.known.get(event.sender)
        if peer is None:
            return
        if now - peer.last_heard_at > rosters.AWAY_SECONDS:
            self._send_current_state(event.sender, now)
        peer.last_heard_at = peer.alive_at = now
        peer.heartbeat = heartbeat
        peer.configuration = event.configuration
        peer.data_centre = heartbeat.data_centre
        if self.roster.own in heartbeat.unheard:
            self._reconnect(event.sender, now)
        self.roster.merge_count(*heartbeat.counted, now)
        sent = self._sent_at(event.sender, heartbeat.clock, now)
        if heartbeat.data_centre == self.view.data_centre:
            self.replicator.shares.merge_ages(heartbeat.watchers, sent)
            self.replicator.configuration_shares.merge_watchers(
                heartbeat.configuration_watchers, sent
            )
        # The weights come first: the copies confirmed so far lack them.
        self._merge_weights(event.sender, heartbeat, sent, now)
        # Routers forward these times to each other, so even short delays that
        # are not deducted would add up.
        delay = self.delays.excess_seconds(
            event.sender, heartbeat.clock, now, least=0.0
        )
        self.replicator.merge_known(heartbeat, min(sent, now - delay))
        self.records.receive_position(event.sender, heartbeat.records, now)
        self._merge_lease(heartbeat, now)
        self.replicator.update_behind(now)
        if self.replicator.follows_configuration():
            self.replicator.catch_up_configuration(event.sender)
        if self.replicator.is_behind(peer):
            later = self._loop.call_later
            later(
                replicators.CATCH_UP_DELAY_SECONDS,
                self.replicator.catch_up,
                event.sender,
            )

    def _sent_at(
        self, sender: str, clock: tuple[int, int], now: float
    ) -> float:
        """Returns the time as of which a message is known to be valid.

        A message that was delayed, or lay in the socket of a paused process,
        is older than its arrival.
        """
        delay = self.delays.excess_seconds(sender, clock, now)
        if delay and sender not in self._delayed_senders:
            self._delayed_senders.add(sender)
            self.lines.write("held_up", router=sender, seconds=round(delay, 2))
        if not delay:
            self._delayed_senders.discard(sender)
        return min(self.arrived(now), now - delay)

    def _reconnect(self, address: str, now: float) -> None:
        """Reopens the connection to a router.

        The network may have dropped a connection that both ends take to be
        open. Which direction is broken is not known.
        """
        if self._mailbox.renew(address, now, rosters.AWAY_SECONDS):
            self.lines.write("router_reconnected", router=address)

    def _send_current_state(self, address: str, now: float) -> None:
        """Sends the newest state to a router that has joined or returned."""
        self.lines.write("router_heard", router=address)
        ages = self.roster.ages(now, most=rosters.MAX_AGES_SENT)
        self._send(address, peer_messages.HeartbeatAges(ages=ages))
        self._send(address, self._own_heartbeat(now))
        self.limit_reports.send_all_limits(address, now)

    def _merge_weights(
        self,
        sender: str,
        heartbeat: peer_messages.Heartbeat,
        sent: float,
        now: float,
    ) -> None:
        least = wanted_weights.Source.HEARD
        if sent < now:
            # The exact time of sending is not known.
            least = wanted_weights.Source.NOT_BEFORE
        waited = self._undetected_wait(sender, sent, now)
        for model, newest in heartbeat.wanted.items():
            named = heartbeat.named.get(model) or [(*newest, 0)]
            known_ms = dict(heartbeat.named_known.get(model, ()))
            for version, age, number in named:
                source = wanted_weights.Source(max(number, least))
                since = sent - age / 1000
                if source is wanted_weights.Source.NOT_BEFORE:
                    since -= waited
                known_seconds = known_ms.get(version, 0) / 1000
                self.updater.merge_peer_weights(
                    model,
                    wanted_weights.NamedVersion(
                        version=version,
                        since=since,
                        source=source,
                        known_at=now - known_seconds,
                    ),
                    sent - known_seconds,
                )

    def _undetected_wait(self, sender: str, sent: float, now: float) -> float:
        """Returns how long a message may have waited for its connection."""
        if sent < now or self.delays.is_settled(sender):
            return 0.0
        return delays.CONNECT_SECONDS

    def _merge_lease(
        self, heartbeat: peer_messages.Heartbeat, now: float
    ) -> None:
        if heartbeat.lease_revision > 0:
            self.lease.merge_peer(
                registrations.Stored(
                    name="",
                    revision=heartbeat.lease_revision,
                    value={
                        "holder": heartbeat.lease_holder,
                        "quiet_ms": heartbeat.lease_quiet_ms,
                    },
                    era=heartbeat.lease_era,
                ),
                now - heartbeat.lease_ms / 1000,
                now,
            )
        if (
            self.holder_heartbeats.merge(heartbeat, now)
            and not self.roster.reaches_all()
        ):
            self.send_heartbeat_soon()

    @property
    def address(self) -> str:
        """This router's mailbox."""
        return self._mailbox.address


def _describe(event: object) -> str:
    """Returns the kind of an event, and who sent it."""
    match event:
        case events.FromNode(sender=sender, message=message):
            return f"{type(message).__name__} from {sender}"
        case _:
            return type(event).__name__
