"""Exchange between routers of what crashed servers, and what did not."""

from collections.abc import Callable
from collections.abc import Iterable

from pimentoledge.nodes import numbers
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import peer_messages
from pimentoledge.routing import record_logs
from pimentoledge.routing import server_deaths
from pimentoledge.routing import stored_quarantines
from pimentoledge.routing import suspects as suspects_module

CRASHES = "crashes"
SUCCESSES = "successes"
WATCHED = "watched"
# An earlier start of what is known is forwarded only if earlier by this.
WATCHED_STEP_SECONDS = 2.0


class CrashReports:
    """Records of crashes and successes: this router's own, and others'.

    Attributes:
        suspects: what is suspected.
        stored: the store's record of what is quarantined.
        lines: log of changes of what is known.
        changed: called with the kind and the key of a record that is new or
            has changed.
        forgotten: called with the kind and the key of a record that is no
            longer kept.
    """

    def __init__(
        self,
        *,
        suspects: suspects_module.Suspects,
        stored: stored_quarantines.StoredQuarantines,
        lines: log_lines.Lines,
        changed: Callable[[str, object], None],
        forgotten: Callable[[str, object], None],
    ):
        self.suspects = suspects
        self.stored = stored
        # Suspects whose crashes this router saw itself.
        self._observed: set[str] = set()
        self.lines = lines
        self.changed = changed
        self.forgotten = forgotten
        suspects.on_change = self._note
        suspects.on_success = self._note_success
        suspects.on_forget = self._discard
        suspects.on_verdict = self._note_verdict

    def kinds(self) -> list[record_logs.RecordKind]:
        """Returns the kinds of these records, in the order of merging.

        Crashes come last: what speaks for a suspect must be known by then.
        """
        return [
            record_logs.RecordKind(
                name=WATCHED,
                encode=self.encode_watched,
                merge=self.merge_watched,
            ),
            record_logs.RecordKind(
                name=SUCCESSES,
                encode=self.encode_successes,
                merge=self.merge_successes,
            ),
            record_logs.RecordKind(
                name=CRASHES, encode=self.encode, merge=self.merge
            ),
        ]

    def start(self, started_at: float) -> None:
        """Starts to keep successes.

        Args:
            started_at: time from which this router sees them.
        """
        self.suspects.watched_from = started_at
        self.changed(WATCHED, "")
        self.stored.start()

    def close(self) -> None:
        """Stops the tasks."""
        self.stored.close()

    def _note(self, subject: str, incarnation: str) -> None:
        self.changed(CRASHES, (subject, incarnation))
        if subject in self._observed:
            self.stored.changed(subject)

    def _note_success(self, subject: str) -> None:
        self.changed(SUCCESSES, subject)
        if subject in self._observed:
            self.stored.changed(subject)

    def _note_verdict(self, subject: str) -> None:
        quarantine = self.suspects.quarantines.get(subject)
        suspect = self.suspects.subjects.get(subject)
        self.lines.write(
            "released" if quarantine is None else "quarantined",
            subject=subject,
            depth=None if suspect is None else suspect.depth,
            crashes=None if suspect is None else len(suspect.counted()),
            seconds=None
            if quarantine is None
            else round(quarantine.until - clocks.now(), 1),
        )
        if subject in self._observed:
            self.stored.changed(subject)

    def _discard(self, subject: str, incarnations: Iterable[str]) -> None:
        for each in incarnations:
            self.forgotten(CRASHES, (subject, each))
        self.forgotten(SUCCESSES, subject)
        self._observed.discard(subject)
        self.stored.changed(subject)

    def encode(
        self, keys: list[tuple[str, str]], now: float
    ) -> list[peer_messages.CrashRecord]:
        """Returns the records of some crashes."""
        records = []
        for subject, incarnation in keys:
            suspect = self.suspects.subjects[subject]
            crash = suspect.crashes[incarnation]
            records.append(
                peer_messages.CrashRecord(
                    content=subject,
                    incarnation=incarnation,
                    age=max(0, numbers.milliseconds(now - crash.when)),
                    released=crash.released,
                    silent=crash.silent,
                    depth=suspect.depth,
                )
            )
        return records

    def encode_successes(
        self, keys: list[str], now: float
    ) -> list[peer_messages.SuccessRecord]:
        """Returns the records of some successes."""
        return [
            peer_messages.SuccessRecord(
                subject=key,
                age=1
                + numbers.milliseconds(
                    now - self.suspects.subjects[key].succeeded_at
                ),
            )
            for key in keys
        ]

    def merge_successes(
        self,
        records: list[peer_messages.SuccessRecord],
        sender: str,
        sent_at: float,
    ) -> None:
        """Merges the successes that another router saw.

        The time of a success may come out too early, never too late, so that it
        releases no crash after it.
        """
        for each in records:
            if self.suspects.record_success(
                each.subject, sent_at - each.age / 1000
            ):
                self.lines.write(
                    "success_reported",
                    subject=each.subject,
                    router=sender,
                    age=each.age,
                )

    def encode_watched(self, keys: list[str], now: float) -> list[int]:
        """Returns for how long successes have been known, in ms."""
        return [max(0, numbers.milliseconds(now - self.suspects.watched_from))]

    def merge_watched(
        self, ages: list[int], sender: str, sent_at: float
    ) -> None:
        """Merges for how long another router has known successes.

        Its records have those that matter, so this router has them, too.
        """
        watched_from = sent_at - max(ages) / 1000
        if self.suspects.watched_from - watched_from > WATCHED_STEP_SECONDS:
            self.suspects.watch_from(watched_from)
            self.changed(WATCHED, "")

    def merge(
        self,
        records: list[peer_messages.CrashRecord],
        sender: str,
        sent_at: float,
    ) -> None:
        """Merges the records of another router.

        The time of a crash may come out too late, by the way of the message,
        never too early: a response to a request that was sent later shows that
        the server lives.
        """
        now = clocks.now()
        for each in records:
            self._merge(each, sender, now)

    def _merge(
        self, record: peer_messages.CrashRecord, sender: str, now: float
    ) -> None:
        is_new = self.suspects.record_crash(
            server_deaths.Subject(key=record.content, depth=record.depth),
            record.incarnation,
            now - record.age / 1000,
            released=record.released,
            silent=record.silent,
        )
        if is_new:
            self.lines.write(
                "crash_reported",
                subject=record.content,
                depth=record.depth,
                server=record.incarnation,
                router=sender,
                age=record.age,
                released=record.released,
                quarantined=self.suspects.is_quarantined(record.content, now),
            )
        if is_new and not record.released:
            # What else it ran may have broken here before anything showed why.
            self.server_died(record.incarnation, now)

    def receive_former(
        self, sender: str, report: peer_messages.CrashReport, now: float
    ) -> None:
        """Handles a crash that a router of a former build reports."""
        record = peer_messages.CrashRecord(
            content=report.content, incarnation=report.incarnation, age=0
        )
        self._merge(record, sender, now)

    def server_died(self, incarnation: str, now: float) -> None:
        """Records the end of a server, which what it ran may have caused."""
        breaks = self.suspects.deaths.breaks.get(incarnation)
        if breaks is not None:
            self.lines.write(
                "server_died",
                server=incarnation,
                breaks=len(breaks.connections),
                oldest_s=round(now - breaks.connections[0].when, 2),
            )
        for subject in self.suspects.record_death(incarnation, now):
            self.observe(subject, incarnation, now)

    def server_broke(
        self,
        subjects: Iterable[server_deaths.Subject],
        incarnation: str,
        *,
        sent: float,
        now: float,
        silent: bool,
    ) -> None:
        """Records that a server gave no complete response to a request."""
        for each in self.suspects.record_break(
            subjects, incarnation, sent=sent, now=now, silent=silent
        ):
            self.observe(each, incarnation, now)

    def observe(self, subject: str, incarnation: str, now: float) -> None:
        """Records that this router saw a subject on a server that died."""
        self._observed.add(subject)
        self.stored.changed(subject)
        suspect = self.suspects.subjects.get(subject)
        self.lines.write(
            "crashed",
            subject=subject,
            depth=None if suspect is None else suspect.depth,
            server=incarnation,
            quarantined=self.suspects.is_quarantined(subject, now),
        )
