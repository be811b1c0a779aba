"""An entry's service to the agents: their declarations and kept buckets.

Agents never call the store. An agent polls one of a few entries for the
declarations of its own server and of its model or service; two entries, chosen
by consistent hashing, also notify it of a change at once. In return it keeps
some buckets of the whole configuration, from which the entries recover when
they all restart.
"""

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import rings
from pimentoledge.decisions import stores
from pimentoledge.nodes import configuration_messages as messages

# Agents that keep each bucket.
KEEPERS = 3
# Entries that notify an agent of a change.
NOTIFYING_ENTRIES = 2
# Entries that an agent polls.
POLLED_ENTRIES = 4
MAX_POLLS = 4096
SEEN_SECONDS = 15.0
MAX_NAMED = 20
# An agent that has not polled for this long may have no address of a running
# entry. The entries that notify it of changes then send it a message, to a few
# agents at a time.
LOST_SECONDS = 60.0
INTRODUCED_TOGETHER = 20
INTRODUCE_SECONDS = 1.0

Actions = list[actions.Action]


def own_paths(server: declarations.BackendServer) -> list[str]:
    """Returns the paths of the declarations that a server's agent needs."""
    serves = declarations.Model
    if server.kind is declarations.ServerKind.SERVICE:
        serves = declarations.Service
    return [
        declarations.path_of(server),
        declarations.PREFIXES[serves] + server.serves,
    ]


@attrs.define(kw_only=True)
class AgentPoll:
    """The last poll of an agent.

    Attributes:
        server: name of the agent's backend server.
        at: time of the poll.
        behind: whether the agent lacked a newer version.
    """

    server: str
    at: float
    behind: bool


class AgentSubscriptions:
    """The agents that one entry serves.

    Attributes:
        address: this entry's mailbox.
        configuration: this entry's configuration.
        seen: AgentPoll by the agent's mailbox.
    """

    def __init__(self, *, address: str, view: configuration.Configuration):
        self.address = address
        self.configuration = view
        self.seen: dict[str, AgentPoll] = {}
        self._declared: list[str] = []
        self._entries: rings.Ring | None = None
        self._servers: rings.Ring | None = None
        self._kept_buckets: dict[str, list[int]] = {}
        self._notified_names: list[str] | None = None
        self._counted: dict[str, int] = {}
        self._counted_at = -1
        self._introduced_at: dict[str, float] = {}
        self._next_introduction = float("-inf")

    def is_agent(self, mailbox: str) -> bool:
        """Returns whether a mailbox belongs to an agent that polled."""
        return mailbox in self.seen

    def declare(self, mailboxes: list[str]) -> None:
        """Sets the mailboxes of the declared entries that are reachable."""
        if mailboxes == self._declared:
            return
        self._declared = mailboxes
        self._entries = None
        self._notified_names = None

    def servers_changed(self) -> None:
        """Invalidates what was derived from the declared servers."""
        self._servers = None
        self._notified_names = None

    def on_poll(self, poll: messages.Poll, sender: str, now: float) -> Actions:
        """Answers an agent's poll."""
        newer = self._newer(poll)
        self._record_poll(
            sender, AgentPoll(server=poll.server, at=now, behind=bool(newer))
        )
        todo: Actions = []
        if newer:
            changes = messages.Changes(objects=newer)
            todo.append(actions.Send(address=sender, message=changes))
        answer = messages.PollAnswer(
            known=self.configuration.known,
            entries=self._entries_of(poll.server, POLLED_ENTRIES),
            held=self._held_by(poll.server),
            runners=self._runner_count(poll.server),
        )
        todo.append(actions.Send(address=sender, message=answer))
        return todo

    def _runner_count(self, name: str) -> int:
        server = self.configuration.server(name)
        if server is None:
            return 0
        version = self.configuration.version
        if version != self._counted_at:
            self._counted_at = version
            self._counted.clear()
        if server.serves not in self._counted:
            self._counted[server.serves] = self._count(server.serves)
        return self._counted[server.serves]

    def _count(self, model: str) -> int:
        like = self.configuration.servers(declarations.ServerKind.RUNNER, model)
        state = declarations.ServerState.IN
        return sum(each.state is state for each in like)

    def notify_agents(self, objects: list[stores.Object]) -> Actions:
        """Sends changes to the agents that this entry has to notify."""
        todo: Actions = []
        for each in objects:
            for server in self._affected_servers(each.path):
                if self.address in self._entries_of(
                    server.name, NOTIFYING_ENTRIES
                ):
                    changes = messages.Changes(objects=[each])
                    send = actions.Send(address=server.agent, message=changes)
                    todo.append(send)
        return todo

    def notify_keepers(self, objects: list[stores.Object]) -> Actions:
        """Sends objects to the agents that keep their buckets."""
        ring = self._server_ring()
        todo: Actions = []
        for each in objects:
            number = configuration.bucket_of(each.path)
            for name in ring.successors(_bucket_point(number), KEEPERS):
                server = self.configuration.server(name)
                changes = messages.Changes(objects=[each])
                send = actions.Send(address=server.agent, message=changes)
                todo.append(send)
        return todo

    def introduce(self, now: float) -> Actions:
        """Contacts agents that have stopped polling, to show them an address.

        An agent gets the entries' addresses from its settings and from their
        answers. If all entries were replaced at other addresses, it would
        poll the old ones for ever.
        """
        if (
            now < self._next_introduction
            or not self.configuration.is_complete()
        ):
            return []
        self._next_introduction = now + INTRODUCE_SECONDS
        polled = {
            each.server
            for each in self.seen.values()
            if now - each.at < LOST_SECONDS
        }
        lost = [
            name
            for name in self._notified_by_me()
            if name not in polled
            and now - self._introduced_at.get(name, float("-inf"))
            > LOST_SECONDS
        ]
        todo: Actions = []
        for name in lost[:INTRODUCED_TOGETHER]:
            self._introduced_at[name] = now
            server = self.configuration.server(name)
            path = declarations.path_of(server)
            found = self.configuration.in_force(path)
            changes = messages.Changes(objects=[found])
            todo.append(actions.Send(address=server.agent, message=changes))
        return todo

    def counts(self, now: float) -> tuple[int, list[str]]:
        """Returns how many agents polled recently, and which of them lag."""
        recent = [
            each for each in self.seen.values() if now - each.at < SEEN_SECONDS
        ]
        behind = sorted(each.server for each in recent if each.behind)
        return len(recent), behind[:MAX_NAMED]

    def _newer(self, poll: messages.Poll) -> list[stores.Object]:
        server = self.configuration.server(poll.server)
        polled = dict(poll.versions)
        if server is None:
            paths = list(polled)
        else:
            paths = own_paths(server)
        newer = []
        for path in paths:
            found = self.configuration.newest(path)
            if found is not None and found.version > polled.get(path, -1):
                newer += [
                    each
                    for each in (self.configuration.in_force(path), found)
                    if each is not None
                ]
        return newer

    def _record_poll(self, mailbox: str, seen: AgentPoll) -> None:
        self.seen.pop(mailbox, None)
        self.seen[mailbox] = seen
        if len(self.seen) > MAX_POLLS:
            del self.seen[next(iter(self.seen))]

    def _affected_servers(self, path: str) -> list[declarations.BackendServer]:
        kind = declarations.kind_of(path)
        name = path.removeprefix(declarations.PREFIXES.get(kind, ""))
        of_kind = declarations.ServerKind
        view = self.configuration
        if kind is declarations.BackendServer:
            server = view.server(name)
            return [] if server is None else [server]
        if kind is declarations.Model:
            runners = view.servers(of_kind.RUNNER, name)
            return runners + view.servers(of_kind.KV_CACHE, name)
        if kind is declarations.Service:
            return view.servers(of_kind.SERVICE, name)
        return []

    def _entries_of(self, server: str, count: int) -> list[str]:
        if self._entries is None:
            names = {*self._declared, self.address}
            self._entries = rings.Ring(names=names)
        return self._entries.successors(rings.point(server), count)

    def _notified_by_me(self) -> list[str]:
        if self._notified_names is None:
            kind = declarations.BackendServer
            self._notified_names = [
                name
                for name in self.configuration.page(kind, after="", limit=None)
                if self.address in self._entries_of(name, NOTIFYING_ENTRIES)
            ]
            mine = set(self._notified_names)
            self._introduced_at = {
                name: at
                for name, at in self._introduced_at.items()
                if name in mine
            }
        return self._notified_names

    def _server_ring(self) -> rings.Ring:
        if self._servers is None:
            kind = declarations.BackendServer
            names = self.configuration.page(kind, after="", limit=None)
            self._servers = rings.Ring(names=names)
            self._kept_buckets = {}
            for number in range(configuration.BUCKETS):
                place = _bucket_point(number)
                for name in self._servers.successors(place, KEEPERS):
                    self._kept_buckets.setdefault(name, []).append(number)
        return self._servers

    def _held_by(self, server: str) -> list[messages.BucketState]:
        self._server_ring()
        view = self.configuration
        return [
            messages.BucketState(
                number=number, digest=view.buckets[number], known=view.known
            )
            for number in self._kept_buckets.get(server, ())
        ]


def _bucket_point(number: int) -> int:
    return rings.point(f"bucket {number}")
