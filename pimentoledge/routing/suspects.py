"""Content that was in servers that crashed.

A request may crash each server that begins to run it, and comes again from
its client with a new id, at any router. Without a memory of its content it
would take down one server after the other.
"""

import collections

import attrs
import xxhash

from pimentoledge.routing import request_types

# The users' pages allow three servers; what is stopped after the second
# crash leaves one for a router that hasn't heard yet.
MAX_CRASHES = 2
# A connection that broke counts against its content only if the server is
# found dead so soon after; most broken connections have other causes.
DEATH_SECONDS = 3.0
# After so long without a crash the content is innocent again.
MEMORY_SECONDS = 60.0
# How many contents are remembered: some 300 bytes each.
MAX_CONTENTS = 2000


def fingerprint(client_request: request_types.ClientRequest) -> str:
    """Returns what is the same for a request that comes again."""
    digest = xxhash.xxh3_128(client_request.method)
    for part in (
        client_request.host.encode(),
        client_request.target,
        (client_request.key or "").encode(),
    ):
        digest.update(b"\0" + part)
    digest.update(b"\0" + client_request.body)
    return digest.hexdigest()


@attrs.define
class _Suspect:
    crashed: dict[str, float] = attrs.field(factory=dict)
    newest: float = 0.0


@attrs.frozen
class _BrokenConnection:
    content: str
    when: float


class Suspects:
    """What this router knows of such content.

    Attributes:
        contents: crashes by content, the newest last.
        breaks: connections that broke under content, by server.
    """

    def __init__(self):
        self.contents: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self.breaks: dict[str, list[_BrokenConnection]] = {}

    def record_break(self, content: str, incarnation: str, now: float) -> None:
        """Notes that the connection to a server broke under content."""
        recent = [
            each
            for each in self.breaks.get(incarnation, ())
            if now - each.when < DEATH_SECONDS
        ]
        self.breaks[incarnation] = [*recent, _BrokenConnection(content, now)]

    def record_death(self, incarnation: str, now: float) -> list[str]:
        """Takes proof that a server died; returns the contents it had."""
        found = [
            each.content
            for each in self.breaks.pop(incarnation, ())
            if now - each.when < DEATH_SECONDS
        ]
        for content in found:
            self.record_crash(content, incarnation, now)
        return found

    def record_crash(self, content: str, incarnation: str, now: float) -> bool:
        """Notes that content was in a server when it died.

        Returns whether that is news.
        """
        suspect = self.contents.setdefault(content, _Suspect())
        is_news = incarnation not in suspect.crashed
        suspect.crashed[incarnation] = now
        suspect.newest = now
        self.contents.move_to_end(content)
        while len(self.contents) > MAX_CONTENTS:
            self.contents.popitem(last=False)
        return is_news

    def clear(self, content: str) -> None:
        """Takes a whole answer as proof of innocence."""
        self.contents.pop(content, None)

    def is_quarantined(self, content: str, now: float) -> bool:
        """Returns whether content crashed too many servers to run again."""
        suspect = self.contents.get(content)
        if suspect is None:
            return False
        if now - suspect.newest > MEMORY_SECONDS:
            del self.contents[content]
            return False
        return len(suspect.crashed) >= MAX_CRASHES
