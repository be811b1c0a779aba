"""Quarantine of request content that crashes servers.

A request may crash each server that begins to run it, and its client may send
it again with a new id, to any router. Unless routers remember its content, it
crashes one server after another.
"""

import collections

import attrs
import xxhash

from pimentoledge.routing import request_types

# At most three servers may crash from one content. Quarantine after the second
# crash leaves one for a router that has not yet received the report.
MAX_CRASHES = 2
# A broken connection counts against its content only if the server is found
# dead within this time; most connections break for other reasons.
DEATH_SECONDS = 3.0
# Content is released from quarantine after this time without a crash.
MEMORY_SECONDS = 60.0
# Most contents remembered, at some 300 bytes each.
MAX_CONTENTS = 2000


def fingerprint(client_request: request_types.ClientRequest) -> str:
    """Returns a hash that is the same for repetitions of a request."""
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
    """Request content suspected of crashing servers.

    Attributes:
        contents: crashes by content fingerprint, the newest last.
        breaks: connections that broke during requests, by incarnation of the
            server.
    """

    def __init__(self):
        self.contents: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self.breaks: dict[str, list[_BrokenConnection]] = {}

    def record_break(self, content: str, incarnation: str, now: float) -> None:
        """Records that a connection broke while the server ran content."""
        recent = [
            each
            for each in self.breaks.get(incarnation, ())
            if now - each.when < DEATH_SECONDS
        ]
        self.breaks[incarnation] = [*recent, _BrokenConnection(content, now)]

    def record_death(self, incarnation: str, now: float) -> list[str]:
        """Records that a server died; returns the contents that it ran."""
        contents = [
            each.content
            for each in self.breaks.pop(incarnation, ())
            if now - each.when < DEATH_SECONDS
        ]
        for content in contents:
            self.record_crash(content, incarnation, now)
        return contents

    def record_crash(self, content: str, incarnation: str, now: float) -> bool:
        """Records that a server died while it ran content.

        Returns whether this crash was not known before.
        """
        suspect = self.contents.setdefault(content, _Suspect())
        is_new = incarnation not in suspect.crashed
        suspect.crashed[incarnation] = now
        suspect.newest = now
        self.contents.move_to_end(content)
        while len(self.contents) > MAX_CONTENTS:
            self.contents.popitem(last=False)
        return is_new

    def clear(self, content: str) -> None:
        """Clears content of suspicion after a complete response."""
        self.contents.pop(content, None)

    def is_quarantined(self, content: str, now: float) -> bool:
        """Returns whether content has crashed too many servers to run again."""
        suspect = self.contents.get(content)
        if suspect is None:
            return False
        if now - suspect.newest > MEMORY_SECONDS:
            del self.contents[content]
            return False
        return len(suspect.crashed) >= MAX_CRASHES
