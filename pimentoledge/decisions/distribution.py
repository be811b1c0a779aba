"""Distribution of configuration changes between entries, by gossip.

A few entries of each data centre watch the store; more than the intended
few are harmless. An entry sends each new change to a few others, which do the
same, so it reaches nearly all entries in a few hops. Every second each entry
compares digests with another one to repair lost messages, and every message
between processes carries its sender's newest version, so that an entry that
lags detects it at once.

A starting entry copies the configuration from another entry, or scans the
store if no entry has it. Agents keep a few buckets each, from which the
entries recover when all of them restart while the store is down.
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
# When no entry of this data centre has called the store for changes for this
# long, the entries of the next ranks begin to, one after the other.
TAKEOVER_SECONDS = 15.0
TAKEOVER_STEP_SECONDS = 1.0
DIGEST_SECONDS = 1.0
# Minimum time between two digests sent because an entry turned out to be ahead.
BEHIND_SECONDS = 0.2
# A starting entry scans the store after this time without a repair from another
# entry. One of a lower rank, or with an answer from an incomplete entry, waits
# longer, since others scan.
JOIN_SECONDS = 1.0
LATE_JOIN_SECONDS = 4.0
LATE_JOIN_SPREAD_SECONDS = 4.0
ANNOUNCE_NEAR = 2
ANNOUNCE_FAR = 1
# More changes than this at a time are left to the comparison of digests.
MAX_ANNOUNCED = watching.MAX_FRESH - 1
# How long a starting entry that has a complete copy waits for a newer version
# that another entry has announced.
NEWER_SECONDS = 2.0
# Store answers with at least this many objects are followed by a release of
# unused memory to the operating system.
LARGE_ANSWER = 2000
MAX_AGE_SECONDS = 1e6


@attrs.define(kw_only=True)
class PeerStatus:
    """The last status report of another entry.

    Attributes:
        tell: the report.
        at: time of its arrival.
    """

    tell: messages.StatusAnswer
    at: float


class Distributor:
    """Distributes the configuration on behalf of one entry.

    Attributes:
        name: this entry's name.
        address: this entry's mailbox.
        data_centre: this entry's data centre.
        configuration: this entry's configuration, changed only by this class
            and its parts.
        peers: the other entries.
        watching: scans and watches of the store.
        repairs: repairs of differences with other nodes.
        agents: the agents that this entry serves.
        registration: declaration of this entry itself.
        joining: coordination with other starting entries.
        peer_statuses: PeerStatus by mailbox.
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
        """Sets the mailbox once its port is known."""
        self.peers.address = address
        self.agents.address = address

    def handle(self, event: object, now: float) -> Actions:
        """Handles a message, a store answer, an unreachable peer or a drain."""
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
                # Without a reachable entry, the store is scanned at once.
                self._is_watcher = self._should_watch(now)
            case events.Drain():
                return self.registration.retire()
        return []

    def wake(self, now: float) -> Actions:
        """Runs the calls, digests and notifications that are due."""
        if self._started is None:
            self._started = now
        self._finish_join(now)
        self._is_watcher = self._should_watch(now)
        self._sweeper = self.peers.rank(now, everywhere=True) == 0
        todo = self.watching.due_calls(
            now, watcher=self._is_watcher, sweeper=self._sweeper
        )
        todo += self.registration.write_if_due(self.address, now)
        todo += self.agents.introduce(now)
        if self.configuration.is_complete():
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
            watcher=self._is_watcher, sweeper=self._sweeper
        )
        times = [self._next_digest, follow]
        if self.configuration.is_complete():
            times.append(self.joining.next_batch_time())
        return min(each for each in times if each is not None)

    def publish(self, objects: list[stores.Object], now: float) -> Actions:
        """Applies and announces objects that the store has just confirmed.

        The agents that keep the objects' buckets are notified at once as
        well. If this process and then every other entry is lost while the
        store is down, only they have the accepted objects.
        """
        keepers = self.agents.notify_keepers(objects)
        return self._apply(objects, now) + keepers

    def request_statuses(self, now: float) -> Actions:
        """Requests a status report from every other entry."""
        usable = self.peers.usable(now)
        mailboxes = {peer.mailbox for peer in usable}
        self.peer_statuses = {
            m: t for m, t in self.peer_statuses.items() if m in mailboxes
        }
        status_request = messages.StatusRequest()
        return [
            actions.Send(address=peer.mailbox, message=status_request)
            for peer in usable
        ]

    def status(self, now: float) -> messages.StatusAnswer:
        """Returns this entry's status report."""
        view = self.configuration
        count, behind = self.agents.counts(now)
        return messages.StatusAnswer(
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
            case messages.BucketRequest() as fetch:
                return self.repairs.answer_fetch(fetch, sender)
            case messages.Poll() as poll:
                offered = self.repairs.fetch_from_agent(poll.held, sender)
                return offered + self.agents.on_poll(poll, sender, now)
            case messages.StatusRequest():
                tell = self.status(now)
                return [actions.Send(address=sender, message=tell)]
            case messages.StatusAnswer() as tell:
                self.peer_statuses[sender] = PeerStatus(tell=tell, at=now)
        return []

    def _on_digest(
        self, digest: messages.Digest, sender: str, now: float
    ) -> Actions:
        view = self.configuration
        complete = digest.known >= 0
        if complete and not view.is_complete():
            # The digest requests a summary, which starts a snapshot. A summary
            # sent to the complete entry would make it fetch from this one.
            if self.repairs.snapshots(now):
                return []
            return [self._send_digest(sender, now)]
        self.repairs.compare(digest)
        summary = self.repairs.summary(digest, self._own_state(now))
        if not (complete or view.is_complete()):
            self.joining.add_waiting(sender)
            if self.address in self.peers.first_seeds(now):
                summary.scan = self.joining.grant(
                    sender, digest.data_centre, now
                )
        return [actions.Send(address=sender, message=summary)]

    def _on_incomplete_summary(
        self, summary: messages.Summary, now: float
    ) -> None:
        if summary.known >= 0 or self.configuration.is_complete():
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
        """Marks a starting entry complete once it has a complete copy.

        A restarting entry could copy from a partitioned entry that lags, and
        then serve an older configuration than before. It therefore waits for
        the newest version that any other entry has announced, but only for a
        limited time, since that entry may be gone.
        """
        if self.configuration.is_complete() or not self.repairs.all_complete():
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
        starting = not self.configuration.is_complete()
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
        # An agent's copy may be stale. It serves an incomplete entry; at a
        # complete one it could only restore deleted objects.
        if view.is_complete() and self.agents.is_agent(sender):
            return []
        deletions = (
            view.known_deletions(changes.objects) if view.is_complete() else []
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
        # The objects that a starting entry reads are not new; sending them
        # to all agents would be thousands of messages at once. Between
        # entries, digests repair so many changes better.
        if many or not self.configuration.is_complete():
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
            # The sender has the same objects. Its version may be that of a
            # deletion, which an entry that started later never receives;
            # without its version the entry would consider itself behind for
            # ever.
            view.version = max(view.version, event.configuration)

    def _compare_digests(self, now: float) -> Actions:
        self.agents.declare(
            [each.mailbox for each in self.peers.usable(now) if each.declared]
        )
        starting = not self.configuration.is_complete()
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
        recipients = self.peers.choose(now, near=1, far=1)[:2]
        recipients += self.peers.first_seeds(now)
        return [
            self._send_digest(mailbox, now)
            for mailbox in dict.fromkeys(recipients)
            if mailbox != self.address
        ]

    def _near_entries(self, now: float) -> list[str]:
        return [
            peer.mailbox
            for peer in self.peers.usable(now)
            if peer.data_centre == self.data_centre
        ]

    def _probe_declared(self, now: float) -> Actions:
        """Contacts each declared entry in rotation, and deletes dead ones."""
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
        """Returns whether this entry has to call the store for changes."""
        rank = self.peers.rank(now)
        if not self.configuration.is_complete():
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
