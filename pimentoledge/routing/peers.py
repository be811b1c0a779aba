"""What routers tell each other, over pynng."""

import asyncio
from collections.abc import Callable

import attrs
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
from pimentoledge.routing import registrations
from pimentoledge.routing import watchers

logger = logbook.Logger("peers")

# A heartbeat of some 200 bytes to each other router, twice a second.
BEAT_SECONDS = 0.5
# Only each tenth heartbeat carries the members' addresses: with 23 routers
# they are four fifths of its bytes. Who is heard for the first time, or again,
# is told them at once.
MEMBERS_EVERY = 10
# A router that was not heard for so long is taken to be away.
AWAY_SECONDS = 1.6
# One that was heard within this still counts as a user of the shared budget.
MEMBER_SECONDS = 30.0
# One that was not heard for so long, and is no seed, is forgotten: VMs that
# were replaced would be written to for ever.
FORGET_SECONDS = 60.0
# A newer copy is asked of another router only if the store has not brought
# it by then.
PATIENCE_SECONDS = 0.25
# Between two wishes for the same kind.
WISH_SECONDS = 0.6

CODEC = codecs.Codec(numbers=peer_messages.NUMBERS)


@attrs.define(kw_only=True)
class Peer:
    """Another router.

    Attributes:
        met: when it became known.
        heard: when it was last heard; long ago before the first time.
        beat: its last heartbeat, or None.
        configuration: its newest configuration version.
    """

    met: float = 0.0
    heard: float = -1e9
    beat: peer_messages.Beat | None = None
    configuration: int = 0


class Peers:
    """This router's part of the talk between routers.

    Attributes:
        believed: what the process believes.
        lease: what it knows of the lease.
        kinds: copies of the store's objects, by kind.
        watching: the tasks that follow the store.
        takers: turn what is told into beliefs.
        lines: where changes of belief are written.
        known: other routers, by mailbox.
        loading: returns servers about to load, with ms left.
    """

    def __init__(
        self,
        *,
        listen: str,
        seeds: list[str],
        believed: beliefs.Beliefs,
        lease: leases.Lease,
        kinds: dict[str, mirrors.Mirror],
        watching: list[watchers.Watcher],
        takers: watchers.Takers,
        lines: log_lines.Lines,
        loading: Callable[[float], dict[str, int]],
    ):
        self.believed = believed
        self.lease = lease
        self.kinds = kinds
        self.watching = watching
        self.takers = takers
        self.lines = lines
        self.loading = loading
        self.known: dict[str, Peer] = {}
        self.seeds: list[str] = []
        self._loop: asyncio.AbstractEventLoop | None = None
        self._next_beat = 0.0
        self._beats = 0
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
        self.seeds = [f"tcp://{each}" for each in seeds]
        for each in self.seeds:
            self._meet(each)

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

    def _meet(self, address: str) -> None:
        if address != self._mailbox.address and address not in self.known:
            self.known[address] = Peer(met=clocks.now())

    def tick(self, now: float) -> None:
        """Sends heartbeats when they are due."""
        self._forget_gone(now)
        self._mailbox.expire(now, set(self.known))
        if now >= self._next_beat:
            self.beat(now)
        self._count_members(now)

    def _forget_gone(self, now: float) -> None:
        for address, peer in list(self.known.items()):
            since = max(peer.heard, peer.met)
            if address not in self.seeds and now - since > FORGET_SECONDS:
                del self.known[address]

    def news(self) -> None:
        """Sends a heartbeat at once, since something changed."""
        if self._loop is not None:
            self.beat(clocks.now())

    def beat(self, now: float) -> None:
        """Sends a heartbeat to each router."""
        self._next_beat = now + BEAT_SECONDS
        self._beats += 1
        tell_members = self._beats % MEMBERS_EVERY == 0
        beat = self._own_beat(now, tell_members=tell_members)
        for address in self.known:
            self._send(address, beat, now)

    def _send(self, address: str, message: object, now: float) -> None:
        configuration = self.believed.configuration
        self._mailbox.send(
            address,
            message,
            configuration=configuration.version if configuration else 0,
            now=now,
        )

    def _told_members(self, now: float) -> list[str]:
        return [
            address
            for address, peer in self.known.items()
            if now - peer.heard < MEMBER_SECONDS
        ]

    def _own_beat(
        self, now: float, *, tell_members: bool
    ) -> peer_messages.Beat:
        servers = self.kinds["servers"].revision
        lease = self.lease
        return peer_messages.Beat(
            members=self._told_members(now) if tell_members else [],
            wanted={
                model: (wanted.version, int((now - wanted.since) * 1000))
                for model, wanted in self.believed.wanted.items()
            },
            servers_revision=-1 if servers is None else servers,
            store_reached=self.store_reached(),
            lease_revision=-1 if lease.revision is None else lease.revision,
            lease_holder=lease.held_by,
            lease_ms=int((now - lease.learnt) * 1000),
            holds=lease.holds(now),
            leaving=self.believed.leaving,
            loading=self.loading(now),
        )

    def store_reached(self) -> bool:
        """Returns whether the store answers this router."""
        return all(each.reached for each in self.watching)

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
            case mailboxes.PeerUp() | mailboxes.PeerDown():
                self._mailbox.handle(event)
            case events.Unreachable():
                pass  # The next heartbeat tries anew; silence is judged there.

    def server_died(self, incarnation: str) -> None:
        """Tells the others which content a dead server had."""
        now = clocks.now()
        for content in self.believed.suspects.died(incarnation, now):
            self.lines.write("crashed", content=content, server=incarnation)
            crash = peer_messages.Crashed(
                content=content, incarnation=incarnation
            )
            for address in self.known:
                self._send(address, crash, now)

    def _crashed(self, crash: peer_messages.Crashed) -> None:
        self.believed.suspects.crashed(
            crash.content, crash.incarnation, clocks.now()
        )

    def _heard(self, event: events.FromNode, beat: peer_messages.Beat) -> None:
        now = clocks.now()
        self._meet(event.sender)
        peer = self.known.get(event.sender)
        if peer is None:
            return
        if now - peer.heard > AWAY_SECONDS:
            self.lines.write("router_heard", router=event.sender)
            beat_back = self._own_beat(now, tell_members=True)
            self._send(event.sender, beat_back, now)
        peer.heard = now
        peer.beat = beat
        peer.configuration = event.configuration
        for address in beat.members:
            self._meet(address)
        self._learn(beat, now)
        if self._is_behind(peer):
            later = self._loop.call_later
            later(PATIENCE_SECONDS, self._catch_up, event.sender)

    def _learn(self, beat: peer_messages.Beat, now: float) -> None:
        for model, (version, age) in beat.wanted.items():
            self.takers.want(model, version, now - age / 1000, "router")
        if beat.lease_revision > 0:
            self.lease.told(
                beat.lease_revision,
                beat.lease_holder,
                now - beat.lease_ms / 1000,
            )
        for incarnation, milliseconds in beat.loading.items():
            backend = self.believed.servers.by_incarnation.get(incarnation)
            if backend is not None:
                backend.loading_until = now + milliseconds / 1000

    def _is_behind(self, peer: Peer) -> bool:
        """Returns whether a router knows a newer configuration or servers."""
        return self._lacks_configuration(peer) or self._lacks_servers(peer)

    def _lacks_configuration(self, peer: Peer) -> bool:
        held = self.believed.configuration
        return peer.configuration > (held.version if held else 0)

    def _lacks_servers(self, peer: Peer) -> bool:
        if self.store_reached():
            return False
        servers = self.kinds["servers"].revision
        return servers is None or peer.beat.servers_revision > servers

    def _catch_up(self, address: str) -> None:
        """Asks a router for what it knows newer, if the store is silent."""
        peer = self.known.get(address)
        if peer is None:
            return
        if self._lacks_configuration(peer):
            self._wish(address, "configuration")
        if self._lacks_servers(peer):
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

    def _count_members(self, now: float) -> None:
        """Counts the routers that share the budget of repeats.

        One that has heard nobody yet goes by its seeds: to take itself for
        the only one would spend the whole budget beside the others.
        """
        heard = sum(
            now - each.heard < MEMBER_SECONDS for each in self.known.values()
        )
        if not heard:
            heard = len(self.known)
        self.believed.members = 1 + heard

    def present(self, now: float) -> dict[str, Peer]:
        """Returns the routers that were heard just now, by mailbox."""
        return {
            address: peer
            for address, peer in self.known.items()
            if now - peer.heard < AWAY_SECONDS
        }

    @property
    def address(self) -> str:
        """This router's mailbox."""
        return self._mailbox.address
