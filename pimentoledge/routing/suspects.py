"""Quarantine of request content that crashes servers.

A request may crash each server that begins to run it, and its client may send
it again with a new id, to any router. Unless routers remember its content, it
crashes one server after another.

A broken connection alone shows no crash: most break for other reasons. It
counts once its server is found dead, and until a later response shows that the
server lives. Where servers die together, little of what ran there is the cause.
"""

import collections
from collections.abc import Callable
import itertools
import math

import attrs
import xxhash

from pimentoledge.routing import request_types

# At most three servers may crash from one content. Quarantine after the second
# crash leaves one for a router that has not yet received the report.
MAX_CRASHES = 2
# Weight of a crash that something else may explain: the server was only silent,
# as behind a partition, or servers that did not run the content died within the
# time below. Two such crashes don't reach the least sum of weights for
# quarantine.
WEAK_WEIGHT = 0.5
MASS_LOSS_SECONDS = 0.5
MIN_WEIGHT = 1.5
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
# Most contents remembered, at some 300 bytes each.
MAX_CONTENTS = 2000
# Most servers with broken connections, and connections of each.
MAX_BROKEN_SERVERS = 500
MAX_BREAKS = 100
# Most dead servers remembered.
MAX_DEAD = 1000


class QuarantinedError(Exception):
    """A request's content is quarantined, so it must not be sent."""


def fingerprint(
    client_request: request_types.ClientRequest, organisation: str
) -> str:
    """Returns a hash that is the same for repetitions of a request.

    Args:
        client_request: the request.
        organisation: name of the organisation, "" if none; its keys may change.
    """
    digest = xxhash.xxh3_128(client_request.method)
    for part in (
        client_request.host.encode(),
        client_request.target,
        organisation.encode(),
    ):
        digest.update(b"\0" + part)
    digest.update(b"\0" + client_request.body)
    return digest.hexdigest()


@attrs.define
class Crash:
    """A server that died while it ran some content.

    Attributes:
        when: when its connection broke, in seconds of clocks.now; never before
            the server died.
        released: whether it no longer counts, because the content was completed
            or the server turned out to live. This is never revoked.
        silent: whether the server did not close the connection.
    """

    when: float
    released: bool = False
    silent: bool = False


@attrs.define(kw_only=True)
class Suspect:
    """Content that was on servers when they died.

    Attributes:
        crashes: the crashes, by incarnation of the server.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)

    def counted(self) -> dict[str, Crash]:
        """Returns the crashes that count."""
        return {
            incarnation: each
            for incarnation, each in self.crashes.items()
            if not each.released
        }

    def newest(self) -> float:
        """Returns the time of the newest crash, released or not."""
        return max(each.when for each in self.crashes.values())


@attrs.frozen
class BrokenConnection:
    """A connection that broke while a server ran some content.

    Attributes:
        content: the content.
        sent: when the request was sent.
        when: when the connection broke.
        silent: whether the server did not close it.
    """

    content: str
    sent: float
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
        self.breaks: collections.OrderedDict[str, ServerBreaks] = (
            collections.OrderedDict()
        )
        self.dead: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.on_change: Callable[[str, str], None] = lambda *_: None
        self.on_forget: Callable[[str, str], None] = lambda *_: None
        self._contents_by_incarnation: dict[str, set[str]] = {}
        # When the servers of all known crashes died.
        self._deaths: dict[str, float] = {}

    def record_break(
        self,
        content: str,
        incarnation: str,
        *,
        sent: float,
        now: float,
        silent: bool = False,
    ) -> list[str]:
        """Records that a connection broke while the server ran content.

        Args:
            content: the content.
            incarnation: the server.
            sent: when the request was sent.
            now: the time.
            silent: whether the server was silent, rather than closed the
                connection.

        Returns:
            the contents that crashed the server, if it is known to be dead.
        """
        breaks = self.breaks.setdefault(incarnation, ServerBreaks())
        breaks.connections.append(BrokenConnection(content, sent, now, silent))
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

    def record_death(self, incarnation: str, now: float) -> list[str]:
        """Records that a server died; returns the contents that it ran.

        A request that was sent when the server had died did not end it.
        """
        breaks = self.breaks.pop(incarnation, ServerBreaks())
        died_at = min(self.dead.get(incarnation, now), breaks.died_at(now))
        self.dead[incarnation] = died_at
        self.dead.move_to_end(incarnation)
        while len(self.dead) > MAX_DEAD:
            self.dead.popitem(last=False)
        causes = {
            each.content: each
            for each in breaks.connections
            if each.sent <= died_at and now - each.when < BREAK_SECONDS
        }
        for content, each in causes.items():
            self.record_crash(
                content, incarnation, each.when, silent=each.silent
            )
        return sorted(causes)

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
        if breaks is not None:
            breaks.connections = [
                each for each in breaks.connections if each.when >= sent_at
            ]
            if not breaks.connections:
                del self.breaks[incarnation]
        if self._deaths.get(incarnation, sent_at) < sent_at:
            del self._deaths[incarnation]
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
        silent: bool = False,
    ) -> bool:
        """Records that a server died while it ran content.

        Returns whether this crash, or its release, was not known before.
        """
        suspect = self.contents.setdefault(content, Suspect())
        crash = suspect.crashes.get(incarnation)
        self._deaths[incarnation] = min(
            self._deaths.get(incarnation, when), when
        )
        if crash is not None:
            crash.when = min(crash.when, when)
            return released and self._release(content, incarnation)
        suspect.crashes[incarnation] = Crash(when, released, silent)
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
        counted = suspect.counted() if suspect is not None else {}
        if len(counted) < MAX_CRASHES:
            return 0.0
        weight = sum(map(self._weight, counted, itertools.repeat(counted)))
        if weight < MIN_WEIGHT:
            return 0.0
        newest = max(each.when for each in counted.values())
        crashes = max(MAX_CRASHES, math.floor(weight))
        return newest + quarantine_seconds(crashes)

    def _weight(self, incarnation: str, counted: dict[str, Crash]) -> float:
        """Returns the weight of one of the crashes of some content."""
        crash = counted[incarnation]
        is_weak = crash.silent or any(
            abs(died_at - crash.when) < MASS_LOSS_SECONDS
            for other, died_at in self._deaths.items()
            if other not in counted
        )
        return WEAK_WEIGHT if is_weak else 1.0

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
                self._deaths.pop(incarnation, None)
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
            if now - breaks.connections[-1].when >= BREAK_SECONDS:
                del self.breaks[incarnation]
        return expired


def memory_seconds(crashes: int) -> float:
    """Returns how long content is remembered after its newest crash."""
    return max(MEMORY_SECONDS, 2 * quarantine_seconds(crashes))
