"""Quarantine of request content and prompt parts that crash servers.

A request may crash each server that begins to run it, and its client may send
it again with a new id, to any router. Also one part of a prompt may crash each
server, whatever else the request holds. Unless routers remember both, they
crash one server after another.

Where servers die together, little of what ran there is the cause. A suspect
that succeeded after a crash did not cause it, in whichever order the two are
reported.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs
import xxhash

from pimentoledge.routing import blames
from pimentoledge.routing import crash_evidence
from pimentoledge.routing import request_types
from pimentoledge.routing import server_deaths

# How long content of the least number of crashes is quarantined; each further
# crash multiplies the time by the factor, up to the maximum.
QUARANTINE_SECONDS = 60.0
QUARANTINE_FACTOR = 10.0
MAX_QUARANTINE_SECONDS = 86400.0
# The same for a part, which sound requests may share.
PART_QUARANTINE_SECONDS = 15.0
PART_QUARANTINE_FACTOR = 4.0
# After a part's quarantine single requests with it are sent, each once the
# outcome of the one before must be known.
TRIAL_SECONDS = 5.0
# A crash is forgotten this long after the newest one of its subject, and never
# before twice the quarantine has passed.
MEMORY_SECONDS = 300.0
# Most subjects with crashes, and with successes, remembered, at some 300 and
# 150 bytes each.
MAX_SUSPECTS = 4000
MAX_SUCCESSES = 4000


class QuarantinedError(Exception):
    """A request's content or a part is quarantined: it must not be sent."""


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


def part_key(model: str, part: str) -> str:
    """Returns the key of a prompt part as read by a model."""
    return xxhash.xxh3_128_hexdigest(f"{model}\0{part}".encode())


def subjects_of(
    client_request: request_types.ClientRequest, organisation: str
) -> tuple[server_deaths.Subject, ...]:
    """Returns what a request may crash servers by, its content first.

    Args:
        client_request: the request.
        organisation: name of the organisation, "" if none.
    """
    content = server_deaths.Subject(
        key=fingerprint(client_request, organisation)
    )
    parts = {
        part_key(client_request.model, part.name): depth
        for depth, part in enumerate(client_request.shared, 1)
    }
    return content, *(
        server_deaths.Subject(key=key, depth=depth)
        for key, depth in parts.items()
    )


@attrs.define(kw_only=True)
class Quarantine:
    """A subject that is to blame for crashes.

    Attributes:
        until: end of the quarantine, in seconds of clocks.now.
        trial_until: until when no further request is sent on trial.
    """

    until: float
    trial_until: float = crash_evidence.NEVER


def quarantine_seconds(crashes: int, *, is_part: bool = False) -> float:
    """Returns how long a subject is quarantined after its newest crash."""
    least = _least_crashes(is_part)
    seconds, factor = (
        (PART_QUARANTINE_SECONDS, PART_QUARANTINE_FACTOR)
        if is_part
        else (QUARANTINE_SECONDS, QUARANTINE_FACTOR)
    )
    if crashes < least:
        return 0.0
    # The exponent is bounded, as a float's range is.
    exponent = min(crashes - least, 20)
    return min(seconds * factor**exponent, MAX_QUARANTINE_SECONDS)


class Suspects:
    """Subjects of requests suspected of crashing servers.

    Attributes:
        subjects: the suspects by key, the newest last.
        quarantines: those that are to blame, by key.
        deaths: servers that died or may have.
        watched_from: time from which successes are known, to this router or to
            those whose records it has.
        on_change: called with the key and the incarnation of a crash that is
            new or newly released.
        on_success: called with the key of a suspect whose success after a
            crash, or shortly before, the other routers must know.
        on_forget: called with the key and the incarnations of a suspect that is
            forgotten.
        on_verdict: called with the key of a suspect that is newly quarantined
            or released.
        rank: returns how many routers precede this one in sending requests of a
            subject on trial.
    """

    def __init__(self, *, explain=blames.explain):
        self.subjects: collections.OrderedDict[str, crash_evidence.Suspect] = (
            collections.OrderedDict()
        )
        self.quarantines: dict[str, Quarantine] = {}
        self.deaths = server_deaths.ServerDeaths()
        self.watched_from = crash_evidence.NEVER
        self.on_change: Callable[[str, str], None] = lambda *_: None
        self.on_success: Callable[[str], None] = lambda *_: None
        self.on_forget: Callable[[str, Iterable[str]], None] = lambda *_: None
        self.on_verdict: Callable[[str], None] = lambda *_: None
        self.rank: Callable[[str], int] = lambda key: 0
        self._explain = explain
        self._changed = False
        self._subjects_by_incarnation: dict[str, set[str]] = {}
        # Subjects with enough crashes to be quarantined if nothing explains
        # them.
        self._candidates: set[str] = set()
        # When the servers of all known crashes died.
        self._died_at: dict[str, float] = {}
        self._successes: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record_break(
        self,
        subjects: Iterable[server_deaths.Subject],
        incarnation: str,
        *,
        sent: float,
        now: float,
        silent: bool = False,
    ) -> list[str]:
        """Records that a connection broke while the server ran a request.

        Returns the subjects that may have crashed the server, if it is known to
        be dead; see server_deaths.ServerDeaths.
        """
        causes = self.deaths.record_break(
            subjects, incarnation, sent=sent, now=now, silent=silent
        )
        return self._record_causes(causes, incarnation)

    def record_death(self, incarnation: str, now: float) -> list[str]:
        """Records that a server died; returns the subjects that it ran."""
        causes = self.deaths.record_death(incarnation, now)
        return self._record_causes(causes, incarnation)

    def _record_causes(
        self, causes: list[server_deaths.Cause], incarnation: str
    ) -> list[str]:
        for each in causes:
            self.record_crash(
                each.subject, incarnation, each.when, silent=each.silent
            )
        return sorted(each.subject.key for each in causes)

    def record_life(self, incarnation: str, sent_at: float) -> list[str]:
        """Records that a server has answered a request.

        What broke or seemed to die before the request was sent did not end the
        server.

        Args:
            incarnation: the server.
            sent_at: when the request was sent.

        Returns:
            the subjects that are released by this.
        """
        self.deaths.record_life(incarnation, sent_at)
        if self._died_at.get(incarnation, sent_at) < sent_at:
            del self._died_at[incarnation]
        return [
            key
            for key in list(self._subjects_by_incarnation.get(incarnation, ()))
            if self.subjects[key].crashes[incarnation].when < sent_at
            and self._release(key, incarnation)
        ]

    def record_crash(
        self,
        subject: server_deaths.Subject,
        incarnation: str,
        when: float,
        *,
        released: bool = False,
        silent: bool = False,
    ) -> bool:
        """Records that a server died while it ran a subject.

        Returns whether this crash, or its release, was not known before.
        """
        key = subject.key
        suspect = self.subjects.get(key)
        if suspect is None:
            suspect = self._add_suspect(subject)
        suspect.depth = max(suspect.depth, subject.depth)
        crash = suspect.crashes.get(incarnation)
        self._died_at[incarnation] = min(
            self._died_at.get(incarnation, when), when
        )
        if crash is not None:
            crash.when = min(crash.when, when)
            self._reconsider(key)
            return released and self._release(key, incarnation)
        suspect.crashes[incarnation] = crash_evidence.Crash(
            when, released, silent
        )
        self._subjects_by_incarnation.setdefault(incarnation, set()).add(key)
        self.subjects.move_to_end(key)
        while len(self.subjects) > MAX_SUSPECTS:
            self._forget(self._least_suspected())
        self._reconsider(key)
        self.on_change(key, incarnation)
        if when <= suspect.succeeded_at:
            self.on_success(key)
        return True

    def _add_suspect(
        self, subject: server_deaths.Subject
    ) -> crash_evidence.Suspect:
        suspect = crash_evidence.Suspect(
            depth=subject.depth,
            succeeded_at=self._successes.get(subject.key, crash_evidence.NEVER),
        )
        self.subjects[subject.key] = suspect
        return suspect

    def record_success(self, key: str, when: float) -> bool:
        """Records that a server has run a subject without a crash.

        Args:
            key: the subject.
            when: a time at which it was shown to be sound.

        Returns:
            whether this releases the subject of any crash.
        """
        if when <= self._successes.get(key, crash_evidence.NEVER):
            return False
        self._successes[key] = when
        self._successes.move_to_end(key)
        if len(self._successes) > MAX_SUCCESSES:
            self._successes.popitem(last=False)
        suspect = self.subjects.get(key)
        if suspect is None:
            return False
        before, trust = len(suspect.counted()), suspect.trust(self.watched_from)
        suspect.succeeded_at = max(suspect.succeeded_at, when)
        releases = len(suspect.counted()) < before
        if releases or (
            key in self._candidates
            and suspect.trust(self.watched_from) is not trust
        ):
            self._reconsider(key)
            self.on_success(key)
        return releases

    def _release(self, key: str, incarnation: str) -> bool:
        crash = self.subjects[key].crashes[incarnation]
        if crash.released:
            return False
        crash.released = True
        self._reconsider(key)
        self.on_change(key, incarnation)
        return True

    def _reconsider(self, key: str) -> None:
        """Handles changed evidence against a subject."""
        suspect = self.subjects[key]
        if len(suspect.counted()) >= blames.MIN_CONTENT_CRASHES:
            is_new = key not in self._candidates
            self._candidates.add(key)
            if (
                is_new
                and suspect.trust(self.watched_from) is blames.Trust.RECENT
            ):
                self.on_success(key)
        elif key in self._candidates:
            self._candidates.discard(key)
        else:
            return
        self._changed = True

    def _judge(self) -> None:
        """Decides again what is quarantined, if the evidence has changed."""
        if not self._changed:
            return
        self._changed = False
        assessment = crash_evidence.Assessment(
            subjects=self.subjects,
            run_on=self._subjects_by_incarnation,
            died_at=self._died_at,
            watched_from=self.watched_from,
        )
        blamed = self._explain(
            [assessment.evidence(key) for key in self._candidates]
        )
        verdicts = {}
        for key, crashes in blamed.items():
            former = self.quarantines.get(key)
            verdicts[key] = Quarantine(
                until=self._ends_at(key, crashes),
                trial_until=crash_evidence.NEVER
                if former is None
                else former.trial_until,
            )
        changed = verdicts.keys() ^ self.quarantines.keys()
        self.quarantines = verdicts
        for key in sorted(changed):
            self.on_verdict(key)

    def _ends_at(self, key: str, crashes: dict[str, float]) -> float:
        suspect = self.subjects[key]
        newest = max(suspect.crashes[each].when for each in crashes)
        is_part = suspect.depth > 0
        number = max(_least_crashes(is_part), math.floor(sum(crashes.values())))
        return newest + quarantine_seconds(number, is_part=is_part)

    def is_quarantined(self, key: str, now: float) -> bool:
        """Returns whether a subject must not run, not even on trial."""
        return self.quarantined_until(key) > now

    def quarantined_until(self, key: str) -> float:
        """Returns when requests of a subject may be sent again, or 0."""
        self._judge()
        quarantine = self.quarantines.get(key)
        if quarantine is None:
            return 0.0
        until = max(quarantine.until, quarantine.trial_until)
        if self.subjects[key].depth:
            until = max(until, quarantine.until + self._trial_delay(key))
        return until

    def _trial_delay(self, key: str) -> float:
        return TRIAL_SECONDS * self.rank(key)

    def blocking(
        self, subjects: Iterable[server_deaths.Subject], now: float
    ) -> str | None:
        """Returns the subject for which a request must not run, or None."""
        self._judge()
        if not self.quarantines:
            return None
        for each in subjects:
            if self.is_quarantined(each.key, now):
                return each.key
        return None

    def blocked_until(self, subjects: Iterable[server_deaths.Subject]) -> float:
        """Returns when a request with some subjects may be sent again."""
        return max(self.quarantined_until(each.key) for each in subjects)

    def start_trial(
        self, subjects: Iterable[server_deaths.Subject], now: float
    ) -> None:
        """Records that a request is sent whose subjects' quarantines ended.

        Until its outcome is known, no other request with the same part is.
        """
        for each in subjects:
            quarantine = self.quarantines.get(each.key)
            if quarantine is not None and each.depth:
                quarantine.trial_until = now + TRIAL_SECONDS

    def _least_suspected(self) -> str:
        """Returns the oldest subject of those with the fewest crashes.

        A data centre that is lost makes suspects of all that ran there; they
        must not displace what is quarantined.
        """
        for key, suspect in self.subjects.items():
            if len(suspect.counted()) < blames.MIN_CONTENT_CRASHES:
                return key
        return next(iter(self.subjects))

    def _forget(self, key: str) -> None:
        suspect = self.subjects.pop(key)
        self.quarantines.pop(key, None)
        self._candidates.discard(key)
        self._changed = True
        for incarnation in suspect.crashes:
            keys = self._subjects_by_incarnation[incarnation]
            keys.discard(key)
            if not keys:
                del self._subjects_by_incarnation[incarnation]
                self._died_at.pop(incarnation, None)
        self.on_forget(key, suspect.crashes)

    def watch_from(self, when: float) -> None:
        """Extends the time from which successes are known."""
        if when < self.watched_from:
            self.watched_from = when
            self._changed = True

    def expire(self, now: float) -> list[str]:
        """Forgets what has become too old; returns the forgotten subjects."""
        self._judge()
        expired = [
            key
            for key, suspect in self.subjects.items()
            if now
            > suspect.newest()
            + memory_seconds(len(suspect.counted()), is_part=suspect.depth > 0)
        ]
        for key in expired:
            self._forget(key)
        self.deaths.expire(now)
        return expired


def _least_crashes(is_part: bool) -> int:
    return blames.MIN_PART_CRASHES if is_part else blames.MIN_CONTENT_CRASHES


def memory_seconds(crashes: int, *, is_part: bool = False) -> float:
    """Returns how long a suspect is remembered after its newest crash."""
    return max(MEMORY_SECONDS, 2 * quarantine_seconds(crashes, is_part=is_part))
