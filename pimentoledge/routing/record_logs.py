"""Replication of records that every router must have.

Some facts are observed by one router and bind all of them. Sent once, they
would miss whoever is cut off, paused or joins later. So each router numbers its
records in the order in which it got or changed them: its log. Its heartbeats
carry the newest number, and a router that lacks records of a log requests them
until it has them. A record that is new to a router enters its own log, so that
it spreads from neighbour to neighbour.
"""

from collections.abc import Callable
import itertools
import random
import sys

import attrs

from pimentoledge.routing import peer_messages

# Most records in one message, at some 60 bytes each.
MAX_RECORDS = 500
# After this time without the requested records, they are requested again.
REQUEST_SECONDS = 0.3

# Name of the kind and key of the record within it.
Key = tuple[str, object]


@attrs.frozen(kw_only=True)
class RecordKind:
    """A kind of records.

    Attributes:
        name: its field in peer_messages.Records.
        encode: returns that field for some keys at a time.
        merge: merges such a field from a router; the changed records are noted
            in the log again. It is called with the field, the sender's mailbox
            and the time as of which the message is known to be valid.
    """

    name: str
    encode: Callable[[list, float], object]
    merge: Callable[[object, str, float], None]


class RecordLog:
    """This router's records, in the order in which they last changed.

    Attributes:
        life: identifies this log; another process has another one.
        newest: number of the newest record, 0 if there was none.
    """

    def __init__(self):
        self.life = random.randint(1, sys.maxsize)
        self.newest = 0
        self._numbers: dict[Key, int] = {}
        # In the order of the numbers.
        self._keys: dict[int, Key] = {}

    def note(self, key: Key) -> None:
        """Gives a new or changed record the next number."""
        self.discard(key)
        self.newest += 1
        self._numbers[key] = self.newest
        self._keys[self.newest] = key

    def discard(self, key: Key) -> None:
        """Removes a record that is no longer kept."""
        number = self._numbers.pop(key, None)
        if number is not None:
            del self._keys[number]

    def after(self, number: int, most: int) -> tuple[list[Key], int]:
        """Returns the first records after a number.

        Returns:
            the records, and the number up to which they are complete.
        """
        later = (each for each in self._keys if each > number)
        found = list(itertools.islice(later, most))
        upto = found[-1] if len(found) == most else self.newest
        return [self._keys[each] for each in found], max(upto, number)


@attrs.define(kw_only=True)
class _PeerLog:
    """What this router has of another one's log.

    Attributes:
        life: the log.
        upto: number up to which all of its records have arrived.
        newest: newest number that its heartbeats have carried.
        requested_at: when records were last requested.
    """

    life: int
    upto: int = 0
    newest: int = 0
    requested_at: float = -1e9


class RecordExchange:
    """Exchanges records with the partners of a router.

    Attributes:
        log: this router's log.
        kinds: the kinds of records by name.
        send: sends a message to some mailboxes.
        partners: returns the mailboxes to which new records are sent.
        clock: returns the router's clock as in a heartbeat.
        sent: number up to which records have been sent to the partners.
    """

    def __init__(
        self,
        *,
        kinds: list[RecordKind],
        send: Callable[[list[str], object], None],
        partners: Callable[[], list[str]],
        clock: Callable[[float], tuple[int, int]],
    ):
        self.log = RecordLog()
        self.kinds = {each.name: each for each in kinds}
        self.send = send
        self.partners = partners
        self.clock = clock
        self.sent = 0
        self._peer_logs: dict[str, _PeerLog] = {}

    def position(self) -> tuple[int, int]:
        """Returns this router's log and its newest number, for heartbeats."""
        return self.log.life, self.sent

    def send_new(self, now: float) -> None:
        """Sends the partners what is new since the last call."""
        while self.sent < self.log.newest:
            message = self._records(self.sent, now)
            self.sent = message.upto
            partners = self.partners()
            if partners:
                self.send(partners, message)

    def _records(self, after: int, now: float) -> peer_messages.Records:
        keys, upto = self.log.after(after, MAX_RECORDS)
        by_kind: dict[str, list] = {}
        for name, key in keys:
            by_kind.setdefault(name, []).append(key)
        return peer_messages.Records(
            life=self.log.life,
            after=after,
            upto=upto,
            clock=self.clock(now),
            **{
                name: self.kinds[name].encode(keys, now)
                for name, keys in by_kind.items()
            },
        )

    def _peer_log(self, sender: str, life: int) -> _PeerLog:
        known = self._peer_logs.get(sender)
        if known is None or known.life != life:
            known = _PeerLog(life=life)
            self._peer_logs[sender] = known
        return known

    def receive(
        self, sender: str, records: peer_messages.Records, sent_at: float
    ) -> None:
        """Merges records from a router.

        Args:
            sender: the router's mailbox.
            records: its message.
            sent_at: time as of which the message is known to be valid.
        """
        for name, kind in self.kinds.items():
            field = getattr(records, name)
            if field:
                kind.merge(field, sender, sent_at)
        known = self._peer_log(sender, records.life)
        if records.after <= known.upto < records.upto:
            known.upto = records.upto
            known.requested_at = -1e9

    def receive_position(
        self, sender: str, position: tuple[int, int], now: float
    ) -> None:
        """Requests what this router lacks of another one's log.

        Args:
            sender: the router's mailbox.
            position: its log and the newest number there, from a heartbeat.
            now: the time.
        """
        life, newest = position
        if not life:
            # A former build has no log.
            return
        known = self._peer_log(sender, life)
        known.newest = max(known.newest, newest)
        self.request_missing(sender, now)

    def request_missing(self, sender: str, now: float) -> None:
        """Requests the records of a log that have not arrived."""
        known = self._peer_logs.get(sender)
        if known is None or known.upto >= known.newest:
            return
        if now - known.requested_at < REQUEST_SECONDS:
            return
        known.requested_at = now
        self.send(
            [sender],
            peer_messages.RecordsRequest(life=known.life, after=known.upto),
        )

    def receive_request(
        self, sender: str, request: peer_messages.RecordsRequest, now: float
    ) -> None:
        """Sends the records after a number of this router's log."""
        after = request.after if request.life == self.log.life else 0
        self.send([sender], self._records(after, now))

    def forget(self, members: set[str]) -> None:
        """Forgets the logs of all but some routers."""
        for address in self._peer_logs.keys() - members:
            del self._peer_logs[address]
