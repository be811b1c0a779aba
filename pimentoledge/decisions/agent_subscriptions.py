"""What an entry does for the agents: their declarations and their buckets.

An agent costs the store nothing. It polls one of a few entries for its own
server's declaration and that of the model or service; two entries, chosen by
a ring, tell it of a change at once. For that it keeps some buckets of the
whole configuration, so that entries that all restart find it again.
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
# Entries that tell an agent of a change.
TELLERS = 2
# Entries that an agent is told to poll.
POLLED = 4
MOST_SEEN = 4096
SEEN_SECONDS = 15.0
MOST_NAMED = 20
# An agent that has not polled for so long may know no entry that lives; the
# entries that tell it of changes write to it, a few agents at one time.
LOST_SECONDS = 60.0
INTRODUCED_TOGETHER = 20
INTRODUCE_SECONDS = 1.0

Actions = list[actions.Action]


def own_paths(server: declarations.BackendServer) -> list[str]:
    """Returns the paths of the declarations that a server's agent goes by."""
    serves = declarations.Model
    if server.kind is declarations.ServerKind.SERVICE:
        serves = declarations.Service
    return [
        declarations.path_of(server),
        declarations.PREFIXES[serves] + server.serves,
    ]


@attrs.define(kw_only=True)
class AgentPoll:
    """An agent that polled this entry.

    Attributes:
        server: its backend server.
        at: when it polled last.
        behind: whether it lacked something then.
    """

    server: str
    at: float
    behind: bool


class AgentSubscriptions:
    """The agents as one entry serves them.

    Attributes:
        address: this entry's mailbox.
        configuration: what is in force here.
        seen: AgentPoll by the agent's mailbox.
    """

    def __init__(self, *, address: str, view: configuration.Configuration):
        self.address = address
        self.configuration = view
        self.seen: dict[str, AgentPoll] = {}
        self._declared: list[str] = []
        self._entries: rings.Ring | None = None
        self._servers: rings.Ring | None = None
        self._held: dict[str, list[int]] = {}
        self._mine: list[str] | None = None
        self._counted: dict[str, int] = {}
        self._counted_at = -1
        self._written: dict[str, float] = {}
        self._next_introduction = float("-inf")

    def knows(self, mailbox: str) -> bool:
        """Returns whether a mailbox is that of an agent."""
        return mailbox in self.seen

    def declare(self, mailboxes: list[str]) -> None:
        """Takes the mailboxes of the declared entries that are reachable."""
        if mailboxes == self._declared:
            return
        self._declared = mailboxes
        self._entries = None
        self._mine = None

    def servers_changed(self) -> None:
        """Notes that declared backend servers have changed."""
        self._servers = None
        self._mine = None

    def polled(self, poll: messages.Poll, sender: str, now: float) -> Actions:
        """Answers an agent."""
        newer = self._newer(poll)
        self._see(
            sender, AgentPoll(server=poll.server, at=now, behind=bool(newer))
        )
        todo: Actions = []
        if newer:
            changes = messages.Changes(objects=newer)
            todo.append(actions.Send(address=sender, message=changes))
        answer = messages.PollAnswer(
            known=self.configuration.known,
            entries=self._entries_of(poll.server, POLLED),
            held=self._held_by(poll.server),
            runners=self._runners_like(poll.server),
        )
        todo.append(actions.Send(address=sender, message=answer))
        return todo

    def _runners_like(self, name: str) -> int:
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
        """Tells the agents that this entry is to tell of changes."""
        todo: Actions = []
        for each in objects:
            for server in self._concerned(each.path):
                if self.address in self._entries_of(server.name, TELLERS):
                    changes = messages.Changes(objects=[each])
                    send = actions.Send(address=server.agent, message=changes)
                    todo.append(send)
        return todo

    def notify_keepers(self, objects: list[stores.Object]) -> Actions:
        """Tells the agents that keep the objects' buckets."""
        ring = self._server_ring()
        todo: Actions = []
        for each in objects:
            number = configuration.bucket_of(each.path)
            for name in ring.successors(_place(number), KEEPERS):
                server = self.configuration.server(name)
                changes = messages.Changes(objects=[each])
                send = actions.Send(address=server.agent, message=changes)
                todo.append(send)
        return todo

    def introduce(self, now: float) -> Actions:
        """Writes to agents that poll nobody, so that they know an entry.

        An agent knows the entries' addresses from its settings and from
        their answers. When all entries were replaced at other addresses, it
        would poll the dead ones for ever.
        """
        if now < self._next_introduction or not self.configuration.is_whole():
            return []
        self._next_introduction = now + INTRODUCE_SECONDS
        polled = {
            each.server
            for each in self.seen.values()
            if now - each.at < LOST_SECONDS
        }
        lost = [
            name
            for name in self._told_by_me()
            if name not in polled
            and now - self._written.get(name, float("-inf")) > LOST_SECONDS
        ]
        todo: Actions = []
        for name in lost[:INTRODUCED_TOGETHER]:
            self._written[name] = now
            server = self.configuration.server(name)
            path = declarations.path_of(server)
            found = self.configuration.in_force(path)
            changes = messages.Changes(objects=[found])
            todo.append(actions.Send(address=server.agent, message=changes))
        return todo

    def counts(self, now: float) -> tuple[int, list[str]]:
        """Returns how many agents polled lately, and who was behind."""
        lately = [
            each for each in self.seen.values() if now - each.at < SEEN_SECONDS
        ]
        behind = sorted(each.server for each in lately if each.behind)
        return len(lately), behind[:MOST_NAMED]

    def _newer(self, poll: messages.Poll) -> list[stores.Object]:
        server = self.configuration.server(poll.server)
        given = dict(poll.versions)
        if server is None:
            paths = list(given)
        else:
            paths = own_paths(server)
        newer = []
        for path in paths:
            found = self.configuration.newest(path)
            if found is not None and found.version > given.get(path, -1):
                newer += [
                    each
                    for each in (self.configuration.in_force(path), found)
                    if each is not None
                ]
        return newer

    def _see(self, mailbox: str, seen: AgentPoll) -> None:
        self.seen.pop(mailbox, None)
        self.seen[mailbox] = seen
        if len(self.seen) > MOST_SEEN:
            del self.seen[next(iter(self.seen))]

    def _concerned(self, path: str) -> list[declarations.BackendServer]:
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

    def _told_by_me(self) -> list[str]:
        if self._mine is None:
            kind = declarations.BackendServer
            self._mine = [
                name
                for name in self.configuration.page(kind, after="", limit=None)
                if self.address in self._entries_of(name, TELLERS)
            ]
            mine = set(self._mine)
            self._written = {
                name: at for name, at in self._written.items() if name in mine
            }
        return self._mine

    def _server_ring(self) -> rings.Ring:
        if self._servers is None:
            kind = declarations.BackendServer
            names = self.configuration.page(kind, after="", limit=None)
            self._servers = rings.Ring(names=names)
            self._held = {}
            for number in range(configuration.BUCKETS):
                place = _place(number)
                for name in self._servers.successors(place, KEEPERS):
                    self._held.setdefault(name, []).append(number)
        return self._servers

    def _held_by(self, server: str) -> list[messages.Held]:
        self._server_ring()
        view = self.configuration
        return [
            messages.Held(
                number=number, digest=view.buckets[number], known=view.known
            )
            for number in self._held.get(server, ())
        ]


def _place(number: int) -> int:
    return rings.point(f"bucket {number}")
