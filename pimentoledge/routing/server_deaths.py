"""Which requests may have ended a server, from connections that broke.

A broken connection alone shows no crash: most break for other reasons. It
counts once its server is found dead, and until a later response shows that the
server lives.
"""

import collections
from collections.abc import Iterable

import attrs

# How long a broken connection may count after it broke. The entry of a dead
# server lapses some seconds later, and after an outage of the store only then.
BREAK_SECONDS = 30.0
# Most servers with broken connections, and connections of each.
MAX_BROKEN_SERVERS = 500
MAX_BREAKS = 100
# Most dead servers remembered.
MAX_DEAD = 1000


@attrs.frozen(kw_only=True)
class Subject:
    """Something that a request may crash servers by.

    Attributes:
        key: identifies it.
        depth: place of a part in the prompt, 1 for the first; 0 for the whole
            content of a request.
    """

    key: str
    depth: int = 0


@attrs.frozen
class BrokenConnection:
    """A connection that broke while a server ran a request.

    Attributes:
        subjects: what the request may crash servers by.
        sent: when the request was sent.
        when: when the connection broke.
        silent: whether the server did not close it.
    """

    subjects: tuple[Subject, ...]
    sent: float
    when: float
    silent: bool


@attrs.frozen(kw_only=True)
class Cause:
    """What may have ended a server.

    Attributes:
        subject: the suspect.
        when: when its connection broke; never before the server died.
        silent: whether the server did not close the connection.
    """

    subject: Subject
    when: float
    silent: bool


@attrs.define
class ServerBreaks:
    """Connections to a server that broke and may show its death.

    Attributes:
        connections: the connections, the latest to break last.
        accepted_at: when the server last accepted a new connection.
    """

    connections: list[BrokenConnection] = attrs.field(factory=list)
    accepted_at: float = 0.0

    def died_at(self, found_at: float) -> float:
        """Returns when the server died if it was found dead at some time."""
        later = (
            each.when
            for each in self.connections
            if each.when >= self.accepted_at
        )
        return min(later, default=found_at)

    def causes(self, died_at: float, now: float) -> Iterable[Cause]:
        """Yields what may have ended the server.

        A request that was sent when the server had died did not end it.
        """
        for each in self.connections:
            if each.sent <= died_at and now - each.when < BREAK_SECONDS:
                for subject in each.subjects:
                    yield Cause(
                        subject=subject, when=each.when, silent=each.silent
                    )


class ServerDeaths:
    """Servers of which connections broke or that were found dead.

    Attributes:
        breaks: connections that broke during requests, by incarnation of the
            server, the server of the newest last.
        dead: when servers were found dead, by incarnation, the newest last.
    """

    def __init__(self):
        self.breaks: collections.OrderedDict[str, ServerBreaks] = (
            collections.OrderedDict()
        )
        self.dead: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_break(
        self,
        subjects: Iterable[Subject],
        incarnation: str,
        *,
        sent: float,
        now: float,
        silent: bool = False,
    ) -> list[Cause]:
        """Records that a connection broke while the server ran a request.

        Args:
            subjects: what the request may crash servers by.
            incarnation: the server.
            sent: when the request was sent.
            now: the time.
            silent: whether the server was silent, rather than closed the
                connection.

        Returns:
            what may have ended the server, if it is known to be dead.
        """
        breaks = self.breaks.setdefault(incarnation, ServerBreaks())
        breaks.connections.append(
            BrokenConnection(tuple(subjects), sent, now, silent)
        )
        self.breaks.move_to_end(incarnation)
        while len(self.breaks) > MAX_BROKEN_SERVERS:
            self.breaks.popitem(last=False)
        del breaks.connections[:-MAX_BREAKS]
        if incarnation in self.dead:
            return self.record_death(incarnation, now)
        return []

    def record_accepted(self, incarnation: str, now: float) -> None:
        """Records that a server accepted a new connection after one broke."""
        breaks = self.breaks.get(incarnation)
        if breaks is not None:
            breaks.accepted_at = now

    def record_death(self, incarnation: str, now: float) -> list[Cause]:
        """Records that a server died; returns what may have ended it."""
        breaks = self.breaks.pop(incarnation, ServerBreaks())
        died_at = min(self.dead.get(incarnation, now), breaks.died_at(now))
        self.dead[incarnation] = died_at
        self.dead.move_to_end(incarnation)
        while len(self.dead) > MAX_DEAD:
            self.dead.popitem(last=False)
        causes = {
            each.subject.key: each for each in breaks.causes(died_at, now)
        }
        return list(causes.values())

    def record_life(self, incarnation: str, sent_at: float) -> None:
        """Records that a server has answered a request sent at some time.

        What broke or seemed to die before did not end the server.
        """
        if self.dead.get(incarnation, sent_at) < sent_at:
            del self.dead[incarnation]
        breaks = self.breaks.get(incarnation)
        if breaks is not None:
            breaks.connections = [
                each for each in breaks.connections if each.when >= sent_at
            ]
            if not breaks.connections:
                del self.breaks[incarnation]

    def expire(self, now: float) -> None:
        """Forgets connections that broke too long ago."""
        for incarnation, breaks in list(self.breaks.items()):
            if now - breaks.connections[-1].when >= BREAK_SECONDS:
                del self.breaks[incarnation]
