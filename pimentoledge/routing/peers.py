"""What routers tell each other, over pynng."""

import asyncio
import random

import logbook

from pimentoledge.decisions import events
from pimentoledge.nodes import codecs
from pimentoledge.nodes import mailboxes
from pimentoledge.routing import beliefs
from pimentoledge.routing import clocks
from pimentoledge.routing import leases
from pimentoledge.routing import log_lines
from pimentoledge.routing import mirrors
from pimentoledge.routing import peer_messages
from pimentoledge.routing import pulses
from pimentoledge.routing import registrations
from pimentoledge.routing import rings
from pimentoledge.routing import rosters
from pimentoledge.routing import watch_shares
from pimentoledge.routing import watchers

logger = logbook.Logger("peers")

# A heartbeat of some 200 bytes, twice a second.
BEAT_SECONDS = 0.5
# News that come within this of a heartbeat wait for its end and share the
# next: what several routers pass on at once would else go out several times.
NEWS_SECONDS = 0.004
# Between two tellings of who was heard, each to one router drawn at random: of
# 300 routers each knows the others' ages to within some 15 s, for 4 KB/s.
AGES_SECONDS = 2.0
# A newer copy is asked of another router only if the store has not brought
# it by then.
PATIENCE_SECONDS = 0.25
# Between two wishes for the same kind.
WISH_SECONDS = 0.6

CODEC = codecs.Codec(numbers=peer_messages.NUMBERS)


class Peers:
    """This router's part of the talk between routers.

    Attributes:
        believed: what the process believes.
        lease: what it knows of the lease.
        kinds: copies of the store's objects, by kind.
        watching: the tasks that follow the store, by kind.
        takers: turn what is told into beliefs.
        lines: where changes of belief are written.
        pulses: signs of life of the router that gives orders.
        roster: the other routers.
        shares: who watches the servers for others.
        lapse_told: until when a server that is gone may come back, as told.
    """

    def __init__(
        self,
        *,
        listen: str,
        seeds: list[str],
        believed: beliefs.Beliefs,
        lease: leases.Lease,
        kinds: dict[str, mirrors.Mirror],
        watching: dict[str, watchers.Watcher],
        takers: watchers.Takers,
        lines: log_lines.Lines,
    ):
        self.believed = believed
        self.lease = lease
        self.kinds = kinds
        self.watching = watching
        self.takers = takers
        self.lines = lines
        self.pulses = pulses.Pulses(lease=lease, believed=believed)
        self.roster = rosters.Roster(
            own=f"tcp://{listen}", data_centre=believed.data_centre
        )
        self.shares = watch_shares.WatchShares(own=f"tcp://{listen}")
        self.lapse_told = 0.0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._next_beat = 0.0
        self._next_ages = 0.0
        self._news_wait = False
        self._wished: dict[str, float] = {}
        self._mailbox = mailboxes.Mailbox(
            address=f"tcp://{listen}", deliver=self._deliver, codec=CODEC
        )
        self.add_seeds(seeds)

    def start(self) -> None:
        """Listens."""
        self._loop = asyncio.get_running_loop()
        self._mailbox.start()

    def add_seeds(self, seeds: list[str]) -> None:
        """Takes addresses, as IP:PORT, to find routers by."""
        self.roster.add_seeds([f"tcp://{each}" for each in seeds], clocks.now())

    def close(self) -> None:
        """Closes all connections."""
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
        if now >= self._next_beat:
            self.beat(now)
        if now >= self._next_ages:
            self._tell_ages(now)
        self.believed.members = self.roster.count(now)

    def news(self) -> None:
        """Sends a heartbeat at once, since something changed."""
        if self._loop is None or self._news_wait:
            return
        now = clocks.now()
        wait = self._next_beat - BEAT_SECONDS + NEWS_SECONDS - now
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
        self._next_beat = now + BEAT_SECONDS
        self.pulses.own(now)
        if self.watching["servers"].watching:
            self.shares.watches(now)
        beat = self._own_beat(now)
        for address in self.roster.partners:
            self._send(address, beat, now)

    def _tell_ages(self, now: float) -> None:
        """Tells one router how long ago each was heard."""
        self._next_ages = now + AGES_SECONDS
        members = list(self.roster.members(now))
        if not members:
            return
        told = peer_messages.Ages(ages=self.roster.ages(now))
        self._send(random.choice(members), told, now)

    def _send(self, address: str, message: object, now: float) -> None:
        configuration = self.believed.configuration
        self._mailbox.send(
            address,
            message,
            configuration=configuration.version if configuration else 0,
            now=now,
        )

    def _own_beat(self, now: float) -> peer_messages.Beat:
        servers = self.kinds["servers"]
        lease = self.lease
        return peer_messages.Beat(
            data_centre=self.believed.data_centre,
            counted=self.roster.tell_count(now),
            wanted={
                model: (wanted.version, int((now - wanted.since) * 1000))
                for model, wanted in self.believed.wanted.items()
            },
            servers_changed=-1
            if servers.revision is None
            else servers.changed_at,
            store_reached=self.store_reached(),
            lease_revision=-1 if lease.revision is None else lease.revision,
            lease_holder=lease.held_by,
            lease_ms=int((now - lease.learnt) * 1000),
            leaving=self.believed.leaving,
            pulse=self.pulses.newest,
            holding=self.pulses.holding,
            loading=self.pulses.to_tell(now),
            watchers=self.shares.to_tell(now),
        )

    def store_reached(self) -> bool:
        """Returns whether the store answers this router."""
        return all(each.reached for each in self.watching.values())

    def follows(self) -> bool:
        """Returns whether others watch the servers for this router."""
        if self._reaches_all():
            return False
        return self.shares.are_enough(self.roster.rank, clocks.now())

    def tell_changes(self, after: int, found: registrations.Changes) -> None:
        """Passes on what this router's watch of the servers brought."""
        if self._reaches_all() or not (found.changed or found.removed):
            return
        lapse_ends = self.takers.lapse_ends()
        self._tell(
            self.roster.near,
            peer_messages.Told(
                after=after,
                revision=found.revision,
                changed=found.changed,
                removed=found.removed,
                lapse_ms=max(0, int((lapse_ends - clocks.now()) * 1000)),
            ),
        )

    def _tell(self, addresses: list[str], message: object) -> None:
        for address in addresses:
            self._send(address, message, clocks.now())

    def _take_changes(self, sender: str, told: peer_messages.Told) -> None:
        """Takes and passes on what another's watch brought."""
        servers = self.kinds["servers"]
        if servers.revision is None:
            return
        if told.after > servers.revision:
            self.watching["servers"].catch_up()
            return
        self.lapse_told = max(
            self.lapse_told, clocks.now() + told.lapse_ms / 1000
        )
        is_news = servers.apply(
            registrations.Changes(
                changed=told.changed,
                removed=told.removed,
                revision=told.revision,
            )
        )
        if is_news:
            others = [each for each in self.roster.near if each != sender]
            self._tell(others, told)

    def handle(self, event: object) -> None:
        """Takes an event of the mailbox; on the loop."""
        match event:
            case events.FromNode(message=peer_messages.Beat() as beat):
                self._heard(event, beat)
            case events.FromNode(message=peer_messages.Wish() as wish):
                self._give(event.sender, wish.kind)
            case events.FromNode(message=peer_messages.Gift() as gift):
                self._take(event.sender, gift)
            case events.FromNode(message=peer_messages.Crashed() as crash):
                self._crashed(crash)
            case events.FromNode(message=peer_messages.Ages(ages=ages)):
                self.roster.take_ages(ages, clocks.now())
            case events.FromNode(message=peer_messages.Told() as told):
                self._take_changes(event.sender, told)
            case mailboxes.PeerUp() | mailboxes.PeerDown():
                self._mailbox.handle(event)
            case events.Unreachable():
                pass  # The next heartbeat tries anew; silence is judged there.

    def server_died(self, incarnation: str) -> None:
        """Tells the others which content a dead server had."""
        for content in self.believed.suspects.died(incarnation, clocks.now()):
            self.lines.write("crashed", content=content, server=incarnation)
            self._tell(
                self.roster.partners,
                peer_messages.Crashed(content=content, incarnation=incarnation),
            )

    def _crashed(self, crash: peer_messages.Crashed) -> None:
        is_news = self.believed.suspects.crashed(
            crash.content, crash.incarnation, clocks.now()
        )
        if is_news and not self._reaches_all():
            self._tell(self.roster.partners, crash)

    def _reaches_all(self) -> bool:
        """Returns whether every router hears the others itself."""
        return len(self.roster.known) <= rings.ALL_TO_ALL

    def _heard(self, event: events.FromNode, beat: peer_messages.Beat) -> None:
        now = clocks.now()
        self.roster.meet(event.sender, now)
        peer = self.roster.known.get(event.sender)
        if peer is None:
            return
        if now - peer.heard > rosters.AWAY_SECONDS:
            self._greet(event.sender, now)
        peer.heard = peer.alive = now
        peer.beat = beat
        peer.configuration = event.configuration
        peer.data_centre = beat.data_centre
        self.roster.take_count(*beat.counted, now)
        if beat.data_centre == self.believed.data_centre:
            self.shares.take(beat.watchers, now)
        self._learn(beat, now)
        if self._is_behind(peer):
            later = self._loop.call_later
            later(PATIENCE_SECONDS, self._catch_up, event.sender)

    def _greet(self, address: str, now: float) -> None:
        """Tells a router that has come, or come back, what is newest."""
        self.lines.write("router_heard", router=address)
        ages = self.roster.ages(now, most=rosters.MOST_TOLD)
        self._send(address, peer_messages.Ages(ages=ages), now)
        self._send(address, self._own_beat(now), now)

    def _learn(self, beat: peer_messages.Beat, now: float) -> None:
        for model, (version, age) in beat.wanted.items():
            self.takers.want(model, version, now - age / 1000, "router")
        if beat.lease_revision > 0:
            self.lease.told(
                beat.lease_revision,
                beat.lease_holder,
                now - beat.lease_ms / 1000,
            )
        if self.pulses.told(beat, now) and not self._reaches_all():
            self.news()

    def _is_behind(self, peer: rosters.Peer) -> bool:
        """Returns whether a router knows a newer configuration or servers."""
        return self._lacks_configuration(peer) or self._lacks_servers(peer)

    def _lacks_configuration(self, peer: rosters.Peer) -> bool:
        held = self.believed.configuration
        return peer.configuration > (held.version if held else 0)

    def _lacks_servers(self, peer: rosters.Peer) -> bool:
        if self.store_reached() and self.watching["servers"].watching:
            return False
        revision = self.kinds["servers"].revision
        return revision is None or peer.beat.servers_changed > revision

    def _catch_up(self, address: str) -> None:
        """Asks the store, or a router, for what that router knows newer."""
        peer = self.roster.known.get(address)
        if peer is None:
            return
        if self._lacks_configuration(peer):
            self._wish(address, "configuration")
        if self._lacks_servers(peer) and self.store_reached():
            self.watching["servers"].catch_up()
        elif self._lacks_servers(peer):
            self._wish(address, "servers")

    def _wish(self, address: str, kind: str) -> None:
        now = clocks.now()
        if now - self._wished.get(kind, 0.0) < WISH_SECONDS:
            return
        self._wished[kind] = now
        self._send(address, peer_messages.Wish(kind=kind), now)

    def _give(self, address: str, kind: str) -> None:
        mirror = self.kinds.get(kind)
        if mirror is None or mirror.revision is None:
            return
        gift = peer_messages.Gift(
            kind=kind,
            revision=mirror.revision,
            objects=mirror.listing().objects,
        )
        self._send(address, gift, clocks.now())

    def _take(self, sender: str, gift: peer_messages.Gift) -> None:
        mirror = self.kinds.get(gift.kind)
        if mirror is None:
            return
        self.lines.write(
            "told_by_router",
            router=sender,
            kind=gift.kind,
            revision=gift.revision,
            held=mirror.revision,
        )
        mirror.apply(
            registrations.Listing(objects=gift.objects, revision=gift.revision)
        )

    @property
    def address(self) -> str:
        """This router's mailbox."""
        return self._mailbox.address
