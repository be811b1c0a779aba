"""Exchange between routers of which content crashed servers."""

from collections.abc import Callable

from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import peer_messages
from pimentoledge.routing import record_logs
from pimentoledge.routing import stored_quarantines
from pimentoledge.routing import suspects as suspects_module

KIND = "crashes"


class CrashReports:
    """Records of crashes: this router's own, and those of others.

    Attributes:
        suspects: the content that is suspected.
        stored: the store's record of quarantined content.
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
        # Contents whose crashes this router saw itself.
        self._observed: set[str] = set()
        self.lines = lines
        self.changed = changed
        self.forgotten = forgotten
        suspects.on_change = self._note
        suspects.on_forget = self._discard

    def kind(self) -> record_logs.RecordKind:
        """Returns the kind of these records."""
        return record_logs.RecordKind(
            name=KIND, encode=self.encode, merge=self.merge
        )

    def _note(self, content: str, incarnation: str) -> None:
        self.changed(KIND, (content, incarnation))
        if content in self._observed:
            self.stored.crashed(content, clocks.now())

    def _discard(self, content: str, incarnation: str) -> None:
        self.forgotten(KIND, (content, incarnation))
        self._observed.discard(content)
        self.stored.forgotten(content)

    def encode(
        self, keys: list[tuple[str, str]], now: float
    ) -> list[peer_messages.CrashRecord]:
        """Returns the records of some crashes."""
        records = []
        for content, incarnation in keys:
            crash = self.suspects.contents[content].crashes[incarnation]
            records.append(
                peer_messages.CrashRecord(
                    content=content,
                    incarnation=incarnation,
                    age=max(0, int((now - crash.when) * 1000)),
                    released=crash.released,
                    silent=crash.silent,
                )
            )
        return records

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
            record.content,
            record.incarnation,
            now - record.age / 1000,
            released=record.released,
            silent=record.silent,
        )
        if is_new:
            self.lines.write(
                "crash_reported",
                content=record.content,
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
        breaks = self.suspects.breaks.get(incarnation)
        if breaks is not None:
            self.lines.write(
                "server_died",
                server=incarnation,
                breaks=len(breaks.connections),
                oldest_s=round(now - breaks.connections[0].when, 2),
            )
        for content in self.suspects.record_death(incarnation, now):
            self.observe(content, incarnation, now)

    def server_broke(
        self,
        content: str,
        incarnation: str,
        *,
        sent: float,
        now: float,
        silent: bool,
    ) -> None:
        """Records that a server gave no response to content."""
        for each in self.suspects.record_break(
            content, incarnation, sent=sent, now=now, silent=silent
        ):
            self.observe(each, incarnation, now)

    def observe(self, content: str, incarnation: str, now: float) -> None:
        """Records that this router saw content crash a server."""
        self._observed.add(content)
        self.stored.crashed(content, now)
        self.lines.write(
            "crashed",
            content=content,
            server=incarnation,
            quarantined=self.suspects.is_quarantined(content, now),
        )
