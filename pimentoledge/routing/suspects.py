"""Quarantine of request content that crashes servers.

A request may crash each server that begins to run it, and its client may send
it again with a new id, to any router. Unless routers remember its content, it
crashes one server after another.

A broken connection alone shows no crash: most break for other reasons. It
counts once its server is found dead, and until a later response shows that the
server lives.
"""

import collections
from collections.abc import Callable

import attrs
import xxhash

from pimentoledge.routing import request_types

# At most three servers may crash from one content. Quarantine after the second
# crash leaves one for a router that has not yet received the report.
MAX_CRASHES = 2
# How long content of two crashes is quarantined; each further crash multiplies
# the time by the factor, up to the maximum.
QUARANTINE_SECONDS = 60.0
QUARANTINE_FACTOR = 10.0
MAX_QUARANTINE_SECONDS = 86400.0
# A crash is forgotten this long after the newest one of its content, and never
# before twice the quarantine has passed.
MEMORY_SECONDS = 300.0
# How long a broken connection may count after it broke. The entry of a dead
# server lapses some seconds later, and after an outage of the store only then.
BREAK_SECONDS = 30.0
# Most contents and broken connections remembered, at some 300 bytes each.
MAX_CONTENTS = 2000
MAX_BREAKS = 2000
# Most dead servers remembered.
MAX_DEAD = 1000


class QuarantinedError(Exception):
    """A request's content is quarantined, so it must not be sent."""


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
class Crash:
    """A server that died while it ran some content.

    Attributes:
        when: when it died at the latest, in seconds of clocks.now.
        released: whether it no longer counts, because the content was completed
            or the server turned out to live. This is never revoked.
    """

    when: float
    released: bool = False


@attrs.define(kw_only=True)
class Suspect:
    """Content that was on servers when they died.

    Attributes:
        crashes: the crashes, by incarnation of the server.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)

    def counted(self) -> list[Crash]:
        """Returns the crashes that count."""
        return [each for each in self.crashes.values() if not each.released]

    def newest(self) -> float:
        """Returns the time of the newest crash, released or not."""
        return max(each.when for each in self.crashes.values())


@attrs.frozen
class BrokenConnection:
    """A connection that broke while a server ran some content."""

    content: str
    when: float


def quarantine_seconds(crashes: int) -> float:
    """Returns how long content is quarantined after its newest crash."""
    if crashes < MAX_CRASHES:
        return 0.0
    seconds = QUARANTINE_SECONDS * QUARANTINE_FACTOR ** (crashes - MAX_CRASHES)
    return min(seconds, MAX_QUARANTINE_SECONDS)


class Suspects:
    """Request content suspected of crashing servers.

    Attributes:
        contents: the suspects by content fingerprint, the newest last.
        breaks: connections that broke during requests, by incarnation of the
            server, the server of the newest last.
        dead: when servers were found dead, by incarnation, the newest last.
        on_change: called with the content and the incarnation of a crash that
            is new or newly released.
        on_forget: called with the content and the incarnation of a crash that
            is forgotten.
    """

    def __init__(self):
        self.contents: collections.OrderedDict[str, Suspect] = (
            collections.OrderedDict()
        )
        self.breaks: collections.OrderedDict[str, list[BrokenConnection]] = (
            collections.OrderedDict()
        )
        self.dead: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.on_change: Callable[[str, str], None] = lambda *_: None
        self.on_forget: Callable[[str, str], None] = lambda *_: None
        self._contents_by_incarnation: dict[str, set[str]] = {}

    def record_break(
        self, content: str, incarnation: str, now: float
    ) -> list[str]:
        """Records that a connection broke while the server ran content.

        Returns:
            the contents that crashed the server, if it is known to be dead.
        """
        self.breaks.setdefault(incarnation, []).append(
            BrokenConnection(content, now)
        )
        self.breaks.move_to_end(incarnation)
        while sum(map(len, self.breaks.values())) > MAX_BREAKS:
            self.breaks.popitem(last=False)
        if incarnation in self.dead:
            return self.record_death(incarnation, now)
        return []

    def record_death(self, incarnation: str, now: float) -> list[str]:
        """Records that a server died; returns the contents that it ran."""
        self.dead[incarnation] = now
        self.dead.move_to_end(incarnation)
        while len(self.dead) > MAX_DEAD:
            self.dead.popitem(last=False)
        contents = {
            each.content
            for each in self.breaks.pop(incarnation, ())
            if now - each.when < BREAK_SECONDS
        }
        for content in contents:
            self.record_crash(content, incarnation, now)
        return sorted(contents)

    def record_life(self, incarnation: str, sent_at: float) -> list[str]:
        """Records that a server has answered a request.

        What broke or seemed to die before the request was sent did not end the
        server.

        Args:
            incarnation: the server.
            sent_at: when the request was sent.

        Returns:
            the contents that are released by this.
        """
        if self.dead.get(incarnation, sent_at) < sent_at:
            del self.dead[incarnation]
        breaks = self.breaks.get(incarnation)
        if breaks:
            later = [each for each in breaks if each.when >= sent_at]
            self.breaks[incarnation] = later
            if not later:
                del self.breaks[incarnation]
        return [
            content
            for content in list(
                self._contents_by_incarnation.get(incarnation, ())
            )
            if self.contents[content].crashes[incarnation].when < sent_at
            and self._release(content, incarnation)
        ]

    def record_crash(
        self,
        content: str,
        incarnation: str,
        when: float,
        *,
        released: bool = False,
    ) -> bool:
        """Records that a server died while it ran content.

        Returns whether this crash, or its release, was not known before.
        """
        suspect = self.contents.setdefault(content, Suspect())
        crash = suspect.crashes.get(incarnation)
        if crash is not None:
            crash.when = min(crash.when, when)
            return released and self._release(content, incarnation)
        suspect.crashes[incarnation] = Crash(when, released)
        self._contents_by_incarnation.setdefault(incarnation, set()).add(
            content
        )
        self.contents.move_to_end(content)
        while len(self.contents) > MAX_CONTENTS:
            self._forget(self._least_suspected())
        self.on_change(content, incarnation)
        return True

    def clear(self, content: str) -> bool:
        """Clears content of suspicion, since a server has completed it.

        Returns whether any crash of it counted.
        """
        suspect = self.contents.get(content)
        if suspect is None:
            return False
        released = [
            self._release(content, incarnation)
            for incarnation in suspect.crashes
        ]
        return any(released)

    def _release(self, content: str, incarnation: str) -> bool:
        crash = self.contents[content].crashes[incarnation]
        if crash.released:
            return False
        crash.released = True
        self.on_change(content, incarnation)
        return True

    def is_quarantined(self, content: str, now: float) -> bool:
        """Returns whether content has crashed too many servers to run again."""
        return self.quarantined_until(content) > now

    def quarantined_until(self, content: str) -> float:
        """Returns the end of a content's quarantine, or 0."""
        suspect = self.contents.get(content)
        counted = suspect.counted() if suspect is not None else []
        if len(counted) < MAX_CRASHES:
            return 0.0
        newest = max(each.when for each in counted)
        return newest + quarantine_seconds(len(counted))

    def _least_suspected(self) -> str:
        """Returns the oldest content of those with the fewest crashes.

        A data centre that is lost makes suspects of all content that ran there;
        they must not displace content that is quarantined.
        """
        for content, suspect in self.contents.items():
            if len(suspect.counted()) < MAX_CRASHES:
                return content
        return next(iter(self.contents))

    def _forget(self, content: str) -> None:
        suspect = self.contents.pop(content)
        for incarnation in suspect.crashes:
            contents = self._contents_by_incarnation[incarnation]
            contents.discard(content)
            if not contents:
                del self._contents_by_incarnation[incarnation]
            self.on_forget(content, incarnation)

    def expire(self, now: float) -> list[str]:
        """Forgets what has become too old; returns the forgotten contents."""
        expired = [
            content
            for content, suspect in self.contents.items()
            if now > suspect.newest() + memory_seconds(len(suspect.counted()))
        ]
        for content in expired:
            self._forget(content)
        for incarnation, breaks in list(self.breaks.items()):
            if now - breaks[-1].when >= BREAK_SECONDS:
                del self.breaks[incarnation]
        return expired


def memory_seconds(crashes: int) -> float:
    """Returns how long content is remembered after its newest crash."""
    return max(MEMORY_SECONDS, 2 * quarantine_seconds(crashes))
