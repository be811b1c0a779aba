"""Poison requests: content that crashes each engine that runs it.

When an engine dies, all it ran is suspect. A crash is one fact with an id of
its own, known by (server, incarnation), and an entry's knowledge is the set
of crashes of each fingerprint. Sets merge by union, so that news may come
twice, late or in any order, and several entries may report one crash.
"""

import hashlib

import attrs
import msgspec

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages

PREFIX = "quarantine/"
# Crashes after which content is refused until its record expires.
POISON_CRASHES = 3
FINGERPRINT_BYTES = 16
CRASH_BYTES = 8
# Entries that make one crash durable: one, and one in case that it dies.
WRITERS = 2
# An entry that saw a crash itself writes it after so long, unless the store
# shows it by then: the writers may be out of its reach.
BACKUP_SECONDS = 0.2
MAX_RECORDS = 4096
MAX_CRASHES = 4096
# How long a watch of the store waits for news.
WATCH_SECONDS = 30.0
# The next watch starts at once after a quiet time, so that news of the next
# crash is quick; else after a pause, so that many come with one answer.
WATCH_PAUSE_SECONDS = 0.5
QUIET_SECONDS = 5.0
EXPIRE_SECONDS = 1.0
# An answer that has not come so long after it was due is asked for again.
ANSWER_SECONDS = 30.0
STORE_RETRY_SECONDS = 2.0


@attrs.define(kw_only=True)
class Clear:
    """Nothing is known against it."""


@attrs.define(kw_only=True)
class Suspect:
    """It ran in engines that died; run it apart from other suspects.

    Attributes:
        crashes: how many engines.
    """

    crashes: int


@attrs.define(kw_only=True)
class Poison:
    """Refuse it.

    Attributes:
        error: the answer; it says that it ran, and until when it is refused.
    """

    error: results.Error


@attrs.define(kw_only=True)
class SuspectRecord:
    """What is known against one fingerprint.

    Attributes:
        crashes: ids of the crashes, and whether the engine's death was seen
            by the agent beside it (rather than the whole VM vanishing).
        until: when it is forgotten.
        held_until: until when it is refused though fewer than POISON_CRASHES.
    """

    crashes: dict[bytes, bool] = attrs.field(factory=dict)
    until: float = 0.0
    held_until: float = 0.0


@attrs.define(kw_only=True)
class CrashRecord:
    """One crash as far as the store goes.

    Attributes:
        report: what was reported.
        version: the object's version; 0 while not known to be stored.
        write_at: when this entry writes it; None if it needn't.
    """

    report: messages.Suspects
    version: int = 0
    write_at: float | None = None


def fingerprint_of(organisation: str, parts: list[bytes]) -> bytes:
    """Returns the digest that content keeps under a new request id.

    Args:
        organisation: whose request it is.
        parts: all that an engine gets to see of it, without request id and
            without text that earlier attempts generated.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in [organisation.encode(), *parts]:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def crash_id(server: str, incarnation: str) -> bytes:
    """Returns the id under which all reporters know one crash."""
    digest = hashlib.blake2b(digest_size=CRASH_BYTES)
    digest.update(f"{server}\0{incarnation}".encode())
    return digest.digest()


class Quarantine:
    """One entry's knowledge of suspects and poison.

    Attributes:
        name: this entry's mailbox.
        peers: mailboxes of the other entries; the owner keeps it current.
        records: SuspectRecord by fingerprint.
        crashes: CrashRecord by id.
        running: request that runs now, by suspect fingerprint.
        unwritten: ids of the crashes that this entry has still to write.
    """

    def __init__(
        self,
        *,
        name: str,
        peers: list[str] | None = None,
        suspect_seconds: float = 300.0,
        hold_seconds: float = 30.0,
        poison_seconds: float = 86400.0,
        vanished_seconds: float = 60.0,
    ):
        self.name = name
        self.peers = list(peers or [])
        self.suspect_seconds = suspect_seconds
        self.hold_seconds = hold_seconds
        self.poison_seconds = poison_seconds
        self.vanished_seconds = vanished_seconds
        self.records: dict[bytes, SuspectRecord] = {}
        self.crashes: dict[bytes, CrashRecord] = {}
        self.running: dict[bytes, str] = {}
        self.calls = 0
        self.writing: bytes | None = None
        self.write_call = ""
        self.write_after = 0.0
        self.unwritten: dict[bytes, None] = {}
        self.watch_call = ""
        self.watched_at = 0.0
        self.expire_at = 0.0
        self.revision = 0
        # Due at once, to read what earlier entries stored; serving need not
        # wait for it.
        self.watch_at = 0.0

    def check(self, fingerprint: bytes, now: float) -> Clear | Suspect | Poison:
        """Says whether content may run."""
        record = self.records.get(fingerprint)
        if record is None:
            return Clear()
        if record.until <= now:
            del self.records[fingerprint]
            return Clear()
        count = len(record.crashes)
        end = record.until if count >= POISON_CRASHES else record.held_until
        if end > now:
            proved = any(record.crashes.values())
            return Poison(error=_poison_error(count, end - now, proved=proved))
        if count == 1 and not any(record.crashes.values()):
            # One vanished VM says next to nothing, and a data centre that
            # goes would have all that it ran wait for one another.
            return Clear()
        return Suspect(crashes=count)

    def rank_servers(self, fingerprint: bytes, names: list[str]) -> list[str]:
        """Orders servers for a suspect, alike at each entry.

        Entries that have not yet heard of each other's crashes send copies
        of the same content to the same server, whose agent runs one at a
        time and remembers what it did; so they crash one engine and not one
        each. Those that it crashed come last, which leaves others whole.
        """
        record = self.records.get(fingerprint)
        crashed = {
            self.crashes[each].report.server
            for each in (record.crashes if record else ())
            if each in self.crashes
        }
        return sorted(
            names,
            key=lambda each: (each in crashed, _rank(fingerprint, each)),
        )

    def claim(self, fingerprint: bytes, request: str) -> bool:
        """Claims a suspect for one request; false while another runs."""
        return self.running.setdefault(fingerprint, request) == request

    def release_claim(self, fingerprint: bytes, request: str) -> None:
        """Gives up a claim of begin()."""
        if self.running.get(fingerprint) == request:
            del self.running[fingerprint]

    def record_crash(
        self,
        suspects: list[bytes],
        server: str,
        incarnation: str,
        now: float,
        *,
        certain: bool = True,
    ) -> list[actions.Action]:
        """Notes that an engine died while it ran these.

        Args:
            suspects: fingerprints of what ran.
            server: the engine's backend server.
            incarnation: the life that ended.
            now: the time.
            certain: whether its agent saw the engine die; false when the
                whole VM vanished, which is mostly not the request's doing.
        """
        report = messages.Suspects(
            server=server,
            incarnation=incarnation,
            fingerprints=sorted(set(suspects)),
            certain=certain,
        )
        if not self._merge(report, now):
            return []
        crash = self.crashes[crash_id(server, incarnation)]
        if certain and crash.write_at is None and not crash.version:
            self._schedule_write(crash, now + BACKUP_SECONDS)
        news = [report] if certain else self._repeat_suspects(report)
        sends: list[actions.Action] = [
            actions.Send(address=address, message=message)
            for address in self.peers
            for message in news
        ]
        if news:
            sends.append(self._log_crash(report))
        return sends + self._write(now)

    def record_completion(
        self, fingerprint: bytes, now: float
    ) -> list[actions.Action]:
        """Notes that an engine completed it; releases it everywhere."""
        record = self.records.pop(fingerprint, None)
        if record is None or record.until <= now:
            return []
        released = messages.Released(
            fingerprint=fingerprint, crashes=sorted(record.crashes)
        )
        fields: dict[str, object] = {
            "fingerprint": fingerprint.hex(),
            "crashes": len(record.crashes),
        }
        log = actions.LogDecision(kind="release", fields=fields)
        sends = [
            actions.Send(address=each, message=released) for each in self.peers
        ]
        return [log, *sends]

    def handle(self, event: object, now: float) -> list[actions.Action]:
        """Takes news of peers and answers of the store; ignores the rest."""
        match event:
            case events.FromNode(message=messages.Suspects() as report):
                self._merge(report, now)
                return self._write(now)
            case events.FromNode(message=messages.Released() as released):
                self._release(released)
                return []
            case stores.StoreAnswer(call=call) if (
                call and call == self.watch_call
            ):
                return self._handle_watch_answer(event, now)
            case stores.StoreAnswer(call=call) if (
                call and call == self.write_call
            ):
                return self._handle_write_answer(event, now)
        return []

    def wake(self, now: float) -> list[actions.Action]:
        """Does what is due: the next watch, writes put off, deletions."""
        self._expire(now)
        asked = self._write(now)
        if now >= self.watch_at:
            asked.append(actions.CallStore(call=self._watch(now)))
        return asked

    def next_wake(self) -> float:
        """Returns when wake() is due."""
        if self.writing is not None:
            return self.watch_at
        times = [
            max(self.write_after, self.crashes[each].write_at)
            for each in self.unwritten
        ]
        return min([*times, self.watch_at])

    def _watch(self, now: float) -> stores.Call:
        """Returns the next read: all at first, then what has changed.

        The store is the second way for news, beside messages: entries that
        can't reach each other would each let a poison request crash an
        engine of its own.
        """
        self.watched_at = now
        self.watch_at = now + WATCH_SECONDS + ANSWER_SECONDS
        self.watch_call = self._new_call()
        if not self.revision:
            return stores.Scan(call=self.watch_call, prefix=PREFIX)
        return stores.Watch(
            call=self.watch_call,
            prefix=PREFIX,
            after=self.revision,
            seconds=WATCH_SECONDS,
        )

    def _log_crash(self, report: messages.Suspects) -> actions.LogDecision:
        counts = {
            each.hex(): len(self.records[each].crashes)
            for each in report.fingerprints
            if each in self.records
        }
        fields: dict[str, object] = {
            "server": report.server,
            "incarnation": report.incarnation,
            "verdict": "crashed" if report.certain else "vanished",
            "suspects": counts,
        }
        return actions.LogDecision(kind="suspect", fields=fields)

    def _repeat_suspects(
        self, report: messages.Suspects
    ) -> list[messages.Suspects]:
        """Returns what peers need to know after a VM vanished.

        A data centre that goes takes thousands of requests along, and each
        would be told to each entry. So peers hear of content only when it
        was on a second VM that vanished, and then of all its crashes.
        """
        news = []
        for fingerprint in report.fingerprints:
            crashes = self.records[fingerprint].crashes
            if len(crashes) > 1:
                news += [
                    attrs.evolve(
                        self.crashes[crash].report, fingerprints=[fingerprint]
                    )
                    for crash in crashes
                    if crash in self.crashes
                ]
        return news

    def _merge(self, report: messages.Suspects, now: float) -> bool:
        """Adds a crash; returns whether anything was new."""
        crash = crash_id(report.server, report.incarnation)
        known = self.crashes.get(crash)
        if known is not None:
            fresh = set(report.fingerprints) - set(known.report.fingerprints)
            if not fresh:
                return False
            report = attrs.evolve(
                report,
                fingerprints=sorted(fresh | set(known.report.fingerprints)),
            )
        else:
            fresh = set(report.fingerprints)
        # With exactly one earlier suspect among those that ran, this crash
        # points at it; the others have only shared its batch.
        earlier = [each for each in sorted(fresh) if self._count(each, now)]
        for fingerprint in sorted(fresh):
            self._add(fingerprint, crash, report.certain, now)
        if len(earlier) == 1 and report.certain:
            self.records[earlier[0]].held_until = now + self.hold_seconds
        merged = CrashRecord(
            report=report, version=known.version if known else 0
        )
        self.crashes[crash] = merged
        # A vanished VM isn't made durable: a data centre that goes takes
        # hundreds at once, and the store has few writes to spare.
        if report.certain and self.name in self._writers(crash):
            self._schedule_write(merged, now)
        self._evict()
        return True

    def _count(self, fingerprint: bytes, now: float) -> int:
        record = self.records.get(fingerprint)
        if record is None or record.until <= now:
            return 0
        return len(record.crashes)

    def _add(
        self, fingerprint: bytes, crash: bytes, certain: bool, now: float
    ) -> None:
        if not self._count(fingerprint, now):
            self.records[fingerprint] = SuspectRecord()
        record = self.records[fingerprint]
        record.crashes[crash] = certain
        if len(record.crashes) < POISON_CRASHES:
            record.until = now + self.suspect_seconds
        elif any(record.crashes.values()):
            record.until = now + self.poison_seconds
        else:
            # Three VMs of one failing rack look like poison; without an
            # engine seen to die the refusal is short, shorter than the time
            # for which a suspect is remembered.
            record.until = now + self.vanished_seconds

    def _release(self, released: messages.Released) -> None:
        record = self.records.get(released.fingerprint)
        if record is None:
            return
        for crash in released.crashes:
            record.crashes.pop(crash, None)
        record.held_until = 0.0
        if not record.crashes:
            del self.records[released.fingerprint]

    def _evict(self) -> None:
        while len(self.records) > MAX_RECORDS:
            weakest = min(self.records, key=self._eviction_rank)
            del self.records[weakest]
        while len(self.crashes) > MAX_CRASHES:
            oldest = next(iter(self.crashes))
            self.unwritten.pop(oldest, None)
            del self.crashes[oldest]

    def _eviction_rank(self, fingerprint: bytes) -> tuple[int, float]:
        record = self.records[fingerprint]
        return (len(record.crashes), record.until)

    def _expire(self, now: float) -> None:
        if now < self.expire_at:
            return
        self.expire_at = now + EXPIRE_SECONDS
        late = [
            each for each, record in self.records.items() if record.until <= now
        ]
        for fingerprint in late:
            del self.records[fingerprint]

    def _writers(self, crash: bytes) -> list[str]:
        everyone = {self.name, *self.peers}
        ranked = sorted(everyone, key=lambda each: _rank(crash, each))
        return ranked[:WRITERS]

    def _schedule_write(self, crash: CrashRecord, at: float | None) -> None:
        """Sets when this entry writes a crash."""
        crash.write_at = at
        key = crash_id(crash.report.server, crash.report.incarnation)
        if at is None:
            self.unwritten.pop(key, None)
        else:
            self.unwritten[key] = None

    def _next_write(self, now: float) -> bytes | None:
        for key in list(self.unwritten):
            crash = self.crashes[key]
            if not crash.version and not self._is_live(key):
                # Released before it was ever stored: nothing to delete.
                self._schedule_write(crash, None)
            elif crash.write_at <= now:
                return key
        return None

    def _is_live(self, crash: bytes) -> bool:
        prints = self.crashes[crash].report.fingerprints
        records = [self.records.get(each) for each in prints]
        return any(each and crash in each.crashes for each in records)

    def _write(self, now: float) -> list[actions.Action]:
        """Sends the next write; one at a time, to spare the store."""
        crash = self._next_write(now)
        if self.writing is not None or crash is None:
            return []
        if now < self.write_after:
            return []
        self.writing = crash
        self.write_call = self._new_call()
        known = self.crashes[crash]
        live = self._is_live(crash)
        value = msgspec.json.encode(known.report) if live else None
        write = stores.Write(
            call=self.write_call,
            path=PREFIX + crash.hex(),
            value=value,
            expected=known.version,
            write_id=self.write_call,
        )
        return [actions.CallStore(call=write)]

    def _handle_write_answer(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        crash = self.crashes.get(self.writing or b"")
        self.writing = None
        self.write_call = ""
        if crash is None:
            return self._write(now)
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                self._schedule_write(crash, None)
                crash.version = answer.version
            case stores.Outcome.CONFLICT:
                # Another entry stored the same crash; the watch brings its
                # version and whatever it names beyond ours.
                self._schedule_write(crash, None)
            case _:
                # Down or lost. Writing again is safe: the path names the
                # crash, so a write that did take effect gives a conflict.
                self.write_after = now + STORE_RETRY_SECONDS
        return self._write(now)

    def _handle_watch_answer(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        self.watch_call = ""
        if answer.outcome != stores.Outcome.FOUND:
            # Read all again: a store that was down may have forgotten what
            # changed in between.
            self.revision = 0
            self.watch_at = now + STORE_RETRY_SECONDS
            return []
        for each in answer.objects:
            if each.value is None:
                self._forget_deleted(_crash_at(each.path))
            else:
                self._merge_stored(each, now)
        self.revision = answer.version
        quiet = now - self.watched_at > QUIET_SECONDS
        self.watch_at = now if quiet else now + WATCH_PAUSE_SECONDS
        self._clean_up(now)
        return self._write(now)

    def _forget_deleted(self, key: bytes) -> None:
        """Forgets a crash that another entry or an operator deleted."""
        crash = self.crashes.pop(key, None)
        self.unwritten.pop(key, None)
        for fingerprint in crash.report.fingerprints if crash else ():
            released = messages.Released(fingerprint=fingerprint, crashes=[key])
            self._release(released)

    def _clean_up(self, now: float) -> None:
        """Deletes stored crashes that nothing is held against any more."""
        for key, crash in self.crashes.items():
            dead = crash.version and not self._is_live(key)
            if dead and self.name in self._writers(key):
                self._schedule_write(crash, now)

    def _merge_stored(self, stored: stores.Object, now: float) -> None:
        try:
            report = msgspec.json.decode(stored.value, type=messages.Suspects)
        except (msgspec.DecodeError, msgspec.ValidationError):
            # Written by a newer program; it decides nothing here.
            return
        crash = crash_id(report.server, report.incarnation)
        if stored.path != PREFIX + crash.hex():
            return
        self._merge(report, now)
        known = self.crashes[crash]
        known.version = stored.version
        missing = set(known.report.fingerprints) - set(report.fingerprints)
        owner = bool(missing) and self.name in self._writers(crash)
        self._schedule_write(known, now if owner else None)

    def _new_call(self) -> str:
        self.calls += 1
        return f"{PREFIX}{self.name}/{self.calls}"


def _poison_error(count: int, seconds: float, *, proved: bool) -> results.Error:
    text = f"this request ran and {count} engines that ran it crashed"
    if not proved:
        # What was sent to a VM that vanished may have reached its engine or
        # not; to say that it ran would be a guess.
        text = f"{count} servers vanished that may have run this request"
    return results.Error(
        code=results.Code.POISON,
        text=f"{text}; it is refused for {seconds:.0f} s",
        ran=results.Ran.RAN if proved else results.Ran.UNKNOWN,
        retry_after=seconds,
    )


def _rank(fingerprint: bytes, name: str) -> bytes:
    digest = hashlib.blake2b(digest_size=CRASH_BYTES)
    digest.update(fingerprint)
    digest.update(name.encode())
    return digest.digest()


def _crash_at(path: str) -> bytes:
    try:
        return bytes.fromhex(path.removeprefix(PREFIX))
    except ValueError:
        return b""
