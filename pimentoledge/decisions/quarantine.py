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
MAX_RECORDS = 4096
MAX_CRASHES = 4096
SCAN_SECONDS = 60.0
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
class Record:
    """What is known against one fingerprint.

    Attributes:
        crashes: ids of the crashes, and whether the engine's death was seen
            by the agent beside it (rather than the whole VM vanishing).
        until: when it is forgotten.
        held: until when it is refused though fewer than POISON_CRASHES.
    """

    crashes: dict[bytes, bool] = attrs.field(factory=dict)
    until: float = 0.0
    held: float = 0.0


@attrs.define(kw_only=True)
class Crash:
    """One crash as far as the store goes.

    Attributes:
        report: what was reported.
        version: the object's version; 0 while not known to be stored.
        wanted: whether this entry has still to write it.
    """

    report: messages.Suspects
    version: int = 0
    wanted: bool = False


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


def server_order(fingerprint: bytes, servers: list[str]) -> list[str]:
    """Orders servers for a suspect, alike at each entry.

    Entries that have not yet heard of each other's crashes send copies of
    the same content to the same server, whose agent runs one at a time and
    remembers what it did; so they crash one engine and not one each.
    """
    return sorted(servers, key=lambda each: _rank(fingerprint, each))


class Quarantine:
    """One entry's knowledge of suspects and poison.

    Attributes:
        name: this entry's mailbox.
        peers: mailboxes of the other entries; the owner keeps it current.
        records: Record by fingerprint.
        crashes: Crash by id.
        running: request that runs now, by suspect fingerprint.
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
        self.records: dict[bytes, Record] = {}
        self.crashes: dict[bytes, Crash] = {}
        self.running: dict[bytes, str] = {}
        self.calls = 0
        self.writing: bytes | None = None
        self.write_call = ""
        self.write_after = 0.0
        self.scan_call = ""
        self.scan_at: float | None = None

    def start(self, now: float) -> list[actions.Action]:
        """Reads what earlier entries stored; serving need not wait for it."""
        self.scan_at = now
        return self.wake(now)

    def check(self, fingerprint: bytes, now: float) -> Clear | Suspect | Poison:
        """Says whether content may run."""
        record = self.records.get(fingerprint)
        if record is None:
            return Clear()
        if record.until <= now:
            del self.records[fingerprint]
            return Clear()
        count = len(record.crashes)
        end = record.until if count >= POISON_CRASHES else record.held
        if end > now:
            return Poison(error=_poison(count, end - now))
        if count == 1 and not any(record.crashes.values()):
            # One vanished VM says next to nothing, and a data centre that
            # goes would have all that it ran wait for one another.
            return Clear()
        return Suspect(crashes=count)

    def begin(self, fingerprint: bytes, request: str) -> bool:
        """Claims a suspect for one request; false while another runs."""
        return self.running.setdefault(fingerprint, request) == request

    def end(self, fingerprint: bytes, request: str) -> None:
        """Gives up a claim of begin()."""
        if self.running.get(fingerprint) == request:
            del self.running[fingerprint]

    def crashed(
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
        sends: list[actions.Action] = [
            actions.Send(address=each, message=report) for each in self.peers
        ]
        return sends + self._write(now)

    def survived(self, fingerprint: bytes, now: float) -> list[actions.Action]:
        """Notes that an engine completed it; releases it everywhere."""
        record = self.records.pop(fingerprint, None)
        if record is None or record.until <= now:
            return []
        released = messages.Released(
            fingerprint=fingerprint, crashes=sorted(record.crashes)
        )
        return [
            actions.Send(address=each, message=released) for each in self.peers
        ]

    def handle(self, event: object, now: float) -> list[actions.Action]:
        """Takes news of peers and answers of the store; ignores the rest."""
        match event:
            case events.FromNode(message=messages.Suspects() as report):
                self._merge(report, now)
                return self._write(now)
            case events.FromNode(message=messages.Released() as released):
                self._release(released)
                return []
            case stores.Answer(call=call) if call and call == self.scan_call:
                return self._scanned(event, now)
            case stores.Answer(call=call) if call and call == self.write_call:
                return self._written(event, now)
        return []

    def wake(self, now: float) -> list[actions.Action]:
        """Does what is due: the next scan, writes put off, deletions."""
        self._expire(now)
        asked = self._write(now)
        if self.scan_at is not None and now >= self.scan_at:
            self.scan_at = now + SCAN_SECONDS
            self.scan_call = self._new_call()
            call = stores.Scan(call=self.scan_call, prefix=PREFIX)
            asked.append(actions.CallStore(call=call))
        return asked

    def next_wake(self) -> float | None:
        """Returns when wake() is due."""
        times = [] if self.scan_at is None else [self.scan_at]
        if self.writing is None and self._next_write() is not None:
            times.append(self.write_after)
        return min(times, default=None)

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
            self.records[earlier[0]].held = now + self.hold_seconds
        owner = self.name in self._writers(crash)
        self.crashes[crash] = Crash(
            report=report,
            version=known.version if known else 0,
            # A vanished VM isn't made durable: a data centre that goes takes
            # hundreds at once, and the store has few writes to spare.
            wanted=owner and report.certain,
        )
        self._bound()
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
            self.records[fingerprint] = Record()
        record = self.records[fingerprint]
        record.crashes[crash] = certain
        seconds = self.suspect_seconds
        if len(record.crashes) >= POISON_CRASHES:
            # Three VMs of one failing rack look like poison; without an
            # engine seen to die the refusal is short.
            proved = any(record.crashes.values())
            seconds = self.poison_seconds if proved else self.vanished_seconds
        record.until = max(record.until, now + seconds)

    def _release(self, released: messages.Released) -> None:
        record = self.records.get(released.fingerprint)
        if record is None:
            return
        for crash in released.crashes:
            record.crashes.pop(crash, None)
        record.held = 0.0
        if not record.crashes:
            del self.records[released.fingerprint]

    def _bound(self) -> None:
        while len(self.records) > MAX_RECORDS:
            weakest = min(self.records, key=self._weight)
            del self.records[weakest]
        while len(self.crashes) > MAX_CRASHES:
            del self.crashes[next(iter(self.crashes))]

    def _weight(self, fingerprint: bytes) -> tuple[int, float]:
        record = self.records[fingerprint]
        return (len(record.crashes), record.until)

    def _expire(self, now: float) -> None:
        late = [
            each for each, record in self.records.items() if record.until <= now
        ]
        for fingerprint in late:
            del self.records[fingerprint]

    def _writers(self, crash: bytes) -> list[str]:
        everyone = {self.name, *self.peers}
        ranked = sorted(everyone, key=lambda each: _rank(crash, each))
        return ranked[:WRITERS]

    def _next_write(self) -> bytes | None:
        for crash, each in self.crashes.items():
            # What was released before it was ever stored has nothing to
            # delete either.
            if each.wanted and (each.version or self._live(crash)):
                return crash
        return None

    def _live(self, crash: bytes) -> bool:
        prints = self.crashes[crash].report.fingerprints
        records = [self.records.get(each) for each in prints]
        return any(each and crash in each.crashes for each in records)

    def _write(self, now: float) -> list[actions.Action]:
        """Sends the next write; one at a time, to spare the store."""
        crash = self._next_write()
        if self.writing is not None or crash is None:
            return []
        if now < self.write_after:
            return []
        self.writing = crash
        self.write_call = self._new_call()
        known = self.crashes[crash]
        live = self._live(crash)
        value = msgspec.json.encode(known.report) if live else None
        write = stores.Write(
            call=self.write_call,
            path=PREFIX + crash.hex(),
            value=value,
            expected=known.version,
            write_id=self.write_call,
        )
        return [actions.CallStore(call=write)]

    def _written(
        self, answer: stores.Answer, now: float
    ) -> list[actions.Action]:
        crash = self.crashes.get(self.writing or b"")
        self.writing = None
        self.write_call = ""
        if crash is None:
            return self._write(now)
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                crash.wanted = False
                crash.version = answer.version
            case stores.Outcome.CONFLICT:
                # Another entry stored the same crash; the next scan brings
                # its version and whatever it names beyond ours.
                crash.wanted = False
            case _:
                # Down or lost. Writing again is safe: the path names the
                # crash, so a write that did take effect gives a conflict.
                self.write_after = now + STORE_RETRY_SECONDS
        return self._write(now)

    def _scanned(
        self, answer: stores.Answer, now: float
    ) -> list[actions.Action]:
        self.scan_call = ""
        if answer.outcome != stores.Outcome.FOUND:
            self.scan_at = now + STORE_RETRY_SECONDS
            return []
        for each in answer.objects:
            if each.value is not None:
                self._stored(each, now)
        found = {each.path for each in answer.objects if each.value is not None}
        gone = [
            crash
            for crash, each in self.crashes.items()
            if each.version and PREFIX + crash.hex() not in found
        ]
        for crash in gone:
            del self.crashes[crash]
        return self._write(now)

    def _stored(self, stored: stores.Object, now: float) -> None:
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
        outdated = bool(missing) or not self._live(crash)
        known.wanted = outdated and self.name in self._writers(crash)

    def _new_call(self) -> str:
        self.calls += 1
        return f"{PREFIX}{self.name}/{self.calls}"


def _poison(count: int, seconds: float) -> results.Error:
    return results.Error(
        code=results.Code.POISON,
        text=f"this request ran and {count} engines that ran it crashed; "
        f"it is refused for {seconds:.0f} s",
        ran=results.Ran.RAN,
        retry_after=seconds,
    )


def _rank(fingerprint: bytes, name: str) -> bytes:
    digest = hashlib.blake2b(digest_size=CRASH_BYTES)
    digest.update(fingerprint)
    digest.update(name.encode())
    return digest.digest()
