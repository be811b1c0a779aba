"""How one entry gets every change of the configuration, and passes it on.

A few entries of each data centre watch the store; more than the intended
few are harmless. An entry that learns something new tells a few others, who
do the same, so a change reaches nearly all in a few hops. Every second each
entry compares digests with another one, which repairs what was lost on the
way, and every message between processes carries its sender's newest version,
so that one that is behind learns it at once.

An entry that starts takes everything from another entry, and only when there
is none that has it, from the store. Agents keep a few buckets each, so that
entries that all restart while the store is down find it again.
"""

import random

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import agent_subscriptions
from pimentoledge.decisions import bucket_repairs
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import joining
from pimentoledge.decisions import peers
from pimentoledge.decisions import registration
from pimentoledge.decisions import stores
from pimentoledge.decisions import watching
from pimentoledge.nodes import configuration_messages as messages

Actions = list[actions.Action]

WATCHERS = 2
# When the store was not called for changes from this data centre for so long,
# the next entries by rank begin, one after the other.
TAKEOVER_SECONDS = 15.0
TAKEOVER_STEP_SECONDS = 1.0
DIGEST_SECONDS = 1.0
# Least time between two questions to an entry that turned out to be ahead.
BEHIND_SECONDS = 0.2
# How long an entry that starts waits for an answer of any other one; one of a
# lower rank, or that was told that others scan, waits longer.
JOIN_SECONDS = 1.0
LATE_JOIN_SECONDS = 4.0
LATE_JOIN_SPREAD_SECONDS = 4.0
ANNOUNCE_NEAR = 2
ANNOUNCE_FAR = 1
# More changes than this at one time are left to the digests.
MAX_ANNOUNCED = watching.MAX_FRESH - 1
# How long an entry that starts, and has everything from one entry, waits for
# a newer version that another one has told of.
NEWER_SECONDS = 2.0
# Objects in an answer after which memory is given back.
LARGE_ANSWER = 2000
MAX_AGE_SECONDS = 1e6


@attrs.define(kw_only=True)
class PeerStatus:
    """What another entry told of itself for the status page.

    Attributes:
        tell: what it told.
        at: when.
    """

    tell: messages.StatusTell
    at: float


class Distributor:
    """One entry's part in the distribution.

    Attributes:
        name: this entry's name.
        address: its mailbox.
        data_centre: where it stands.
        configuration: what is in force here; only this machine changes it.
        peers: the other entries.
        watching: its calls to the store.
        exchange: repairs differences with another entry.
        agents: the agents that it serves.
        registration: declares this entry itself.
        joining: its part in a start of many.
        told: PeerStatus by mailbox.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        data_centre: str,
        seed: int,
        view: configuration.Configuration,
        seeds: list[str],
    ):
        self.name = name
        self.data_centre = data_centre
        self.configuration = view
        self.peers = peers.PeerDirectory(
            address=address,
            data_centre=data_centre,
            seeds=seeds,
            seed=seed,
        )
        self.watching = watching.Watching(view=view, seed=seed + 1)
        self.repairs = bucket_repairs.BucketRepairs(view=view)
        self.agents = agent_subscriptions.AgentSubscriptions(
            address=address, view=view
        )
        self.registration = registration.Registration(
            name=name,
            data_centre=data_centre,
            view=view,
            seed=seed + 2,
        )
        self.joining = joining.Joining()
        self.peer_statuses: dict[str, PeerStatus] = {}
        self._random = random.Random(seed)
        self._watched = float("-inf")
        self._started: float | None = None
        self._scan_jitter = self._random.uniform(0, LATE_JOIN_SPREAD_SECONDS)
        self._next_digest = float("-inf")
        self._last_request = float("-inf")
        self._newest_announced = 0
        self._complete_since: float | None = None
        self._is_watcher = False
        self._sweeper = False

    @property
    def address(self) -> str:
        """Returns this entry's mailbox."""
        return self.peers.address

    @address.setter
    def address(self, address: str) -> None:
        """Sets the mailbox, once its port is known."""
        self.peers.address = address
        self.agents.address = address

    def handle(self, event: object, now: float) -> Actions:
        """Takes a message, an answer of the store, or a fault of a peer."""
        match event:
            case events.FromNode():
                todo = self._on_message(event, now) + self._request_if_behind(
                    event, now
                )
                self._finish_join(now)
                return todo
            case stores.StoreAnswer():
                return self._on_store_answer(event, now)
            case events.Unreachable(address=address):
                self.peers.unreachable(address, now)
                self.repairs.abandon(address)
                # With nobody left to ask it scans at once.
                self._is_watcher = self._should_watch(now)
            case events.Drain():
                return self.registration.retire()
        return []

    def wake(self, now: float) -> Actions:
        """Does what is due."""
        if self._started is None:
            self._started = now
        self._finish_join(now)
        self._is_watcher = self._should_watch(now)
        self._sweeper = self.peers.rank(now, everywhere=True) == 0
        todo = self.watching.due_calls(
            now, duty=self._is_watcher, sweeper=self._sweeper
        )
        todo += self.registration.write_if_due(self.address, now)
        todo += self.agents.introduce(now)
        if self.configuration.is_whole():
            batch = self.joining.next_batch(now)
            todo += [self._send_digest(mailbox, now) for mailbox in batch]
        if now >= self._next_digest:
            todo += self._compare_digests(now)
        return todo

    def next_wake(self) -> float | None:
        """Returns when `wake` is due next."""
        if self._started is None:
            return float("-inf")
        follow = self.watching.next_wake(
            duty=self._is_watcher, sweeper=self._sweeper
        )
        times = [self._next_digest, follow]
        if self.configuration.is_whole():
            times.append(self.joining.next_batch_time())
        return min(each for each in times if each is not None)

    def publish(self, objects: list[stores.Object], now: float) -> Actions:
        """Takes objects that the store was just seen to hold, and tells all.

        The agents that keep the objects' buckets are told at once as well: if
        this process and then every other entry is lost while the store is
        down, they are the only ones that have what was accepted here.
        """
        keepers = self.agents.notify_keepers(objects)
        return self._apply(objects, now) + keepers

    def ask_status(self, now: float) -> Actions:
        """Asks every other entry what is in force there."""
        usable = self.peers.usable(now)
        mailboxes = {peer.mailbox for peer in usable}
        self.peer_statuses = {
            m: t for m, t in self.peer_statuses.items() if m in mailboxes
        }
        ask = messages.StatusAsk()
        return [
            actions.Send(address=peer.mailbox, message=ask) for peer in usable
        ]

    def status(self, now: float) -> messages.StatusTell:
        """Returns what is in force here."""
        view = self.configuration
        count, behind = self.agents.counts(now)
        return messages.StatusTell(
            name=self.name,
            data_centre=self.data_centre,
            version=view.version,
            known=view.known,
            root=view.root,
            rejected=sorted(view.rejections)[: agent_subscriptions.MAX_NAMED],
            agents=count,
            behind=behind,
        )

    def _on_message(self, event: events.FromNode, now: float) -> Actions:
        sender = event.sender
        match event.message:
            case messages.Changes() as changes:
                return self._on_changes(changes, sender, now)
            case messages.Digest() as digest:
                self._note_peer(digest, event, now)
                return self._on_digest(digest, sender, now)
            case messages.Summary() as summary:
                self._note_peer(summary, event, now)
                self._on_incomplete_summary(summary, now)
                return self.repairs.start(summary, sender, now)
            case messages.Fetch() as fetch:
                return self.repairs.answer_fetch(fetch, sender)
            case messages.Poll() as poll:
                offered = self.repairs.fetch_from_agent(poll.held, sender)
                return offered + self.agents.on_poll(poll, sender, now)
            case messages.StatusAsk():
                tell = self.status(now)
                return [actions.Send(address=sender, message=tell)]
            case messages.StatusTell() as tell:
                self.peer_statuses[sender] = PeerStatus(tell=tell, at=now)
        return []

    def _on_digest(
        self, digest: messages.Digest, sender: str, now: float
    ) -> Actions:
        view = self.configuration
        complete = digest.known >= 0
        if complete and not view.is_whole():
            # Its snapshot is asked for; to a summary it would answer by
            # asking for what is here.
            if self.repairs.snapshots(now):
                return []
            return [self._send_digest(sender, now)]
        self.repairs.compare(digest)
        summary = self.repairs.summary(digest, self._own_state(now))
        if not (complete or view.is_whole()):
            self.joining.add_waiting(sender)
            if self.address in self.peers.first_seeds(now):
                summary.scan = self.joining.grant(
                    sender, digest.data_centre, now
                )
        return [actions.Send(address=sender, message=summary)]

    def _on_incomplete_summary(
        self, summary: messages.Summary, now: float
    ) -> None:
        if summary.known >= 0 or self.configuration.is_whole():
            return
        self.joining.on_summary(summary.scan)
        self._is_watcher = self._should_watch(now)

    def _request_if_behind(self, event: events.FromNode, now: float) -> Actions:
        newer = event.configuration > self.configuration.version
        if not newer or self.agents.is_agent(event.sender):
            return []
        self._newest_announced = max(
            self._newest_announced, event.configuration
        )
        if now < self._last_request + BEHIND_SECONDS:
            return []
        self._last_request = now
        return [self._send_digest(event.sender, now)]

    def _finish_join(self, now: float) -> None:
        """Makes a starting entry complete, once it has all that it can get.

        An entry that restarts could take everything from one that is cut off
        and lags, and then serve from something older than before. So it
        waits for the newest version that any other entry told of; but not
        for ever, since that entry may be gone.
        """
        if self.configuration.is_whole() or not self.repairs.all_complete():
            return
        if self._complete_since is None:
            self._complete_since = now
        up_to_date = self.configuration.version >= self._newest_announced
        if up_to_date or now >= self._complete_since + NEWER_SECONDS:
            self.repairs.finish()

    def _on_store_answer(
        self, answer: stores.StoreAnswer, now: float
    ) -> Actions:
        large = len(answer.objects) >= LARGE_ANSWER
        starting = not self.configuration.is_whole()
        fresh = self.watching.handle(answer, now)
        if fresh is not None:
            todo = self._announce(fresh, now)
            if starting:
                self.joining.put_first(self._near_entries(now))
            return todo + ([actions.ReleaseMemory()] if large else [])
        return self._apply(self.registration.handle(answer, now), now)

    def _on_changes(
        self, changes: messages.Changes, sender: str, now: float
    ) -> Actions:
        view = self.configuration
        # An agent's copy may be old. It helps an entry that has nothing; to
        # one that is complete it could only bring back what was deleted.
        if view.is_whole() and self.agents.is_agent(sender):
            return []
        deletions = (
            view.known_deletions(changes.objects) if view.is_whole() else []
        )
        todo = self._apply(changes.objects, now, sender=sender)
        if deletions:
            reply = messages.Changes(objects=deletions)
            todo.append(actions.Send(address=sender, message=reply))
        return todo + self.repairs.on_changes(changes, sender, now)

    def _apply(
        self,
        objects: list[stores.Object],
        now: float,
        *,
        sender: str = "",
    ) -> Actions:
        view = self.configuration
        fresh = [o for o in objects if view.is_newer(o, from_store=False)]
        view.apply(fresh, from_store=False)
        return self._announce(fresh, now, sender=sender)

    def _announce(
        self,
        fresh: list[stores.Object],
        now: float,
        *,
        sender: str = "",
    ) -> Actions:
        if not fresh:
            return []
        many = len(fresh) > MAX_ANNOUNCED
        if many or any(_is_entry(each) for each in fresh):
            self.peers.declare(self.configuration.entries())
        if many or any(_is_server(each) for each in fresh):
            self.agents.servers_changed()
        # What a starting entry reads is no news; telling it to all agents
        # would be thousands of messages at one time. And so much is better
        # repaired by digests at the other entries.
        if many or not self.configuration.is_whole():
            return []
        todo = [
            self._log_rejection(each)
            for each in fresh
            if self._is_rejected(each)
        ]
        todo += self.agents.notify_agents(fresh)
        changes = messages.Changes(objects=fresh)
        chosen = self.peers.choose(now, near=ANNOUNCE_NEAR, far=ANNOUNCE_FAR)
        return todo + [
            actions.Send(address=mailbox, message=changes)
            for mailbox in chosen
            if mailbox != sender
        ]

    def _is_rejected(self, stored: stores.Object) -> bool:
        return stored.path in self.configuration.rejections

    def _log_rejection(self, stored: stores.Object) -> actions.LogDecision:
        rejection = self.configuration.rejections[stored.path]
        fields = {
            "path": stored.path,
            "version": stored.version,
            "why": rejection.error.message(),
            "in_force": stored.path in self.configuration.paths,
        }
        return actions.LogDecision(kind="reject_declaration", fields=fields)

    def _note_peer(
        self,
        message: messages.Digest | messages.Summary,
        event: events.FromNode,
        now: float,
    ) -> None:
        sender = event.sender
        self.peers.seen(sender, message.name, message.data_centre, now)
        if message.data_centre == self.data_centre:
            self._watched = max(self._watched, now - message.watched)
        view = self.configuration
        if message.root == view.root:
            # The sender has the same. Its version may be that of a deletion,
            # which an entry that started later never hears of; without this
            # it would take itself for behind for ever.
            view.version = max(view.version, event.configuration)

    def _compare_digests(self, now: float) -> Actions:
        self.agents.declare(
            [each.mailbox for each in self.peers.usable(now) if each.declared]
        )
        starting = not self.configuration.is_whole()
        pause = joining.RETRY_SECONDS if starting else DIGEST_SECONDS
        self._next_digest = now + pause * self._random.uniform(0.8, 1.2)
        near = self._random.randrange(2)
        chosen = self.peers.choose(now, near=near, far=1 - near)
        if starting:
            return self._ask_to_join(now)
        todo = [self._send_digest(mailbox, now) for mailbox in chosen[:2]]
        return todo + (self._probe_declared(now) if self._sweeper else [])

    def _ask_to_join(self, now: float) -> Actions:
        if self.repairs.snapshots(now) >= bucket_repairs.MAX_SNAPSHOTS:
            return []
        asked = self.peers.choose(now, near=1, far=1)[:2]
        asked += self.peers.first_seeds(now)
        return [
            self._send_digest(mailbox, now)
            for mailbox in dict.fromkeys(asked)
            if mailbox != self.address
        ]

    def _near_entries(self, now: float) -> list[str]:
        return [
            peer.mailbox
            for peer in self.peers.usable(now)
            if peer.data_centre == self.data_centre
        ]

    def _probe_declared(self, now: float) -> Actions:
        """Tries each declared entry in turn, and forgets the dead ones."""
        todo: Actions = []
        mailbox = self.peers.next_declared(now)
        if mailbox is not None:
            todo.append(self._send_digest(mailbox, now))
        for name in self.peers.dead()[:1]:
            todo += self.registration.forget(name)
        return todo

    def _send_digest(self, mailbox: str, now: float) -> actions.Send:
        digest = messages.Digest(**self._own_state(now))
        return actions.Send(address=mailbox, message=digest)

    def _own_state(self, now: float) -> dict[str, object]:
        watched = max(self._watched, self.watching.attempted)
        if self.watching.busy():
            watched = now
        return {
            "root": self.configuration.root,
            "known": self.configuration.known,
            "name": self.name,
            "data_centre": self.data_centre,
            "watched": min(now - watched, MAX_AGE_SECONDS),
            "floor": self.configuration.floor,
        }

    def _should_watch(self, now: float) -> bool:
        """Tells whether this entry shall call the store for changes."""
        rank = self.peers.rank(now)
        if not self.configuration.is_whole():
            return self._should_scan(rank, now)
        if rank < WATCHERS:
            return True
        watched = max(self._watched, self.watching.attempted)
        late = (rank - WATCHERS) * TAKEOVER_STEP_SECONDS
        return now - watched > TAKEOVER_SECONDS + late

    def _should_scan(self, rank: int, now: float) -> bool:
        if self._started is None or self.repairs.busy(now):
            return False
        if self.joining.granted or not self.peers.usable(now):
            return True
        wait = JOIN_SECONDS
        if rank >= WATCHERS or self.joining.refused:
            wait = LATE_JOIN_SECONDS + self._scan_jitter
        return now >= self._started + wait


def _is_server(stored: stores.Object) -> bool:
    return declarations.kind_of(stored.path) is declarations.BackendServer


def _is_entry(stored: stores.Object) -> bool:
    return declarations.kind_of(stored.path) is declarations.EntryNode
