"""What this process believes of each backend server, and why."""

import collections

import attrs

from pimentoledge.routing import registrations
from pimentoledge.routing import request_types

# How long a server is left alone after it said that it is full.
FULL_BACKOFF_SECONDS = 0.15
# What a server says of its load holds for so long: a prompt of 9,000 tokens is
# read in 0.3 s.
LOAD_FRESH_SECONDS = 0.5
# Nothing of it holds after so long: most answers have ended by then.
LOAD_EXPIRY_SECONDS = 3.0
# After a connection that failed; doubles with each further one.
FAILURE_BACKOFF_SECONDS = 0.5
MAX_FAILURE_BACKOFF_SECONDS = 4.0
# Weight of the newest request in the share of those that failed.
FAILURE_RATE_WEIGHT = 0.15
# A failure counts half as much after so long.
FAILURE_RATE_HALF_LIFE_SECONDS = 2.0
# Weight of the newest pause in the mean: some 30 events back still count.
EVENT_GAP_WEIGHT = 0.03
# Longer pauses tell of changes of weights, not of a runner's speed.
MAX_EVENT_GAP_SECONDS = 0.4
# Lives that are gone of which it is kept what they said of themselves: an entry
# that an outage took comes back within seconds.
MAX_FORMER_NOTICES = 1000


@attrs.define
class CachedPart:
    """A part that a server is believed to keep.

    Attributes:
        tokens: its length.
        ready_at: when it will have been read there, and can be fetched.
    """

    tokens: int
    ready_at: float


@attrs.frozen(kw_only=True)
class PeerLoad:
    """What another router has at a server, by its last report.

    Attributes:
        open: requests that have not ended.
        unbegun: those of them that have no event yet.
        unread: prompt tokens of theirs that the server has yet to read.
    """

    open: int
    unbegun: int
    unread: int


@attrs.define(kw_only=True)
class ServerNotice:
    """What one life of a server has said of itself in answers.

    Attributes:
        leaving: whether it leaves; it never takes that back.
        retry_at: until when it asked this process for no request, or 0.
    """

    leaving: bool = False
    retry_at: float = 0.0


@attrs.define(kw_only=True, eq=False)
class Backend:
    """One life of a backend server.

    Attributes:
        registration: what it last said of itself in the store.
        notice: what it has said of itself in answers to this process.
        open: requests of this process that it has and has not ended.
        unread_tokens: prompt tokens of this process that it has yet to read.
        read_since: since when it reads what is next, as far as is known.
        unbegun: those of them that have no event yet.
        load: what it last said of its load, or None.
        load_open: `open` of this process when it said so.
        load_unbegun: `unbegun` of this process when it said so.
        load_at: when it said so.
        load_first_hand: whether it said so to this process.
        peer_loads: what other routers have there, by mailbox.
        avoid_until: when it is tried again.
        limited_until: until when its limit has no room for this process.
        failures: failures in a row.
        ended: whether something showed that this life has ended.
        loading_until: until when it is believed to load weights.
        parts: parts believed cached, by namespace and name, with tokens; the
            least recently used first.
        part_tokens: sum of them.
        failure_rate: share of its last requests that it failed.
        failure_rate_at: when that was last so.
        mean_event_gap: mean pause between its events, in seconds; 0 if none
            was seen.
    """

    registration: registrations.Registration
    notice: ServerNotice = attrs.field(factory=ServerNotice)
    open: int = 0
    unread_tokens: int = 0
    read_since: float = 0.0
    unbegun: int = 0
    load: request_types.ServerLoad | None = None
    load_open: int = 0
    load_unbegun: int = 0
    load_at: float = 0.0
    load_first_hand: bool = False
    peer_loads: dict[str, PeerLoad] = attrs.field(factory=dict)
    avoid_until: float = 0.0
    limited_until: float = 0.0
    failures: int = 0
    ended: bool = False
    loading_until: float = 0.0
    parts: collections.OrderedDict[tuple[str, str], CachedPart] = attrs.field(
        factory=collections.OrderedDict
    )
    part_tokens: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    mean_event_gap: float = 0.0

    def is_other_incarnation(self, born: int | None) -> bool:
        """Returns whether a server's word is not of this life.

        A later life's word shows that this one is over; the store tells of
        the later one.

        Args:
            born: when the life began that the word is of, or None.
        """
        own = self.registration.born
        if None in (born, own) or born == own:
            return False
        self.ended = self.ended or born > own
        return True

    def note_event_gap(self, seconds: float) -> None:
        """Takes the pause between two events of one of its streams."""
        if seconds > MAX_EVENT_GAP_SECONDS:
            return
        if not self.mean_event_gap:
            self.mean_event_gap = seconds
        self.mean_event_gap += EVENT_GAP_WEIGHT * (
            seconds - self.mean_event_gap
        )

    def finish_loading(self) -> None:
        """Takes the end of a load: it holds no part and takes work again."""
        self.forget_parts()
        self.loading_until = 0.0

    def announced_leaving(self) -> bool:
        """Returns whether it has said that it leaves, here or in the store.

        The store may be behind: its entry doesn't take back an answer.
        """
        return self.registration.leaving or self.notice.leaving

    def is_leaving(self) -> bool:
        """Returns whether it asks for no new work, or has ended."""
        return self.ended or self.announced_leaving()

    def is_backing_off(self, now: float) -> bool:
        """Returns whether it has asked this process for no request yet.

        Others may be served there meanwhile, so it doesn't count as down.
        """
        return now < self.notice.retry_at

    def is_unavailable(self, now: float) -> bool:
        """Returns whether it backs off, or its limit is used up."""
        return self.is_backing_off(now) or now < self.limited_until

    def available_at(self) -> float:
        """Returns when it may be tried again, as far as is known."""
        return max(self.avoid_until, self.notice.retry_at, self.limited_until)

    def usable(self, now: float) -> bool:
        """Returns whether new work may be sent to it."""
        return (
            not self.is_leaving()
            and not self.is_unavailable(now)
            and now >= self.avoid_until
            and now >= self.loading_until
        )

    def _load_freshness(self, now: float) -> float:
        """Returns how much of what it last said of its load still holds.

        It is told by its answers alone: one that said that many wait there
        is sent nothing, and so would count as full for good.
        """
        age = now - self.load_at - LOAD_FRESH_SECONDS
        return min(
            1.0, max(0.0, 1 - age / (LOAD_EXPIRY_SECONDS - LOAD_FRESH_SECONDS))
        )

    def estimated_requests(self, now: float) -> float:
        """Returns how many requests it is believed to have."""
        known = self.open + sum(each.open for each in self.peer_loads.values())
        if self.load is None:
            return known
        said = self.load.running + self.load.waiting - self.load_open
        return max(known, said * self._load_freshness(now) + self.open)

    def queued(self, now: float) -> float:
        """Returns how many requests it is believed to have not yet begun."""
        others = sum(each.unbegun for each in self.peer_loads.values())
        known = self.unbegun + others
        if self.load is None:
            return known
        said = self.load.waiting - self.load_unbegun
        return max(known, said * self._load_freshness(now) + self.unbegun)

    def outstanding(self) -> int:
        """Returns the prompt tokens of requests without an event yet."""
        others = self.peer_loads.values()
        return self.unread_tokens + sum(each.unread for each in others)

    def unread(self, mean: float, now: float, token_seconds: float) -> int:
        """Returns how many prompt tokens it is believed to have yet to read.

        Of what is next it has read a part already. Requests of routers that
        don't report here show in what it says waits.

        Args:
            mean: tokens that such a request is to have read.
            now: the time.
            token_seconds: in which it reads a token; 0 if that isn't known.
        """
        known = self.outstanding()
        if known and token_seconds:
            read = (now - self.read_since) / token_seconds
            known = max(0, known - int(read))
        others = self.peer_loads.values()
        unbegun = self.unbegun + sum(each.unbegun for each in others)
        return known + int(mean * max(0, self.queued(now) - unbegun))

    def update_load(
        self,
        load: request_types.ServerLoad,
        now: float,
        *,
        first_hand: bool = True,
    ) -> None:
        """Takes what it says of its load, to this process or to another."""
        self.load = load
        self.load_first_hand = first_hand
        self.load_open = self.open
        self.load_unbegun = self.unbegun
        self.load_at = now

    def back_off_full(self, now: float) -> None:
        """Leaves it alone for a moment."""
        self.avoid_until = max(self.avoid_until, now + FULL_BACKOFF_SECONDS)

    def note_connection_failure(self, now: float) -> None:
        """Leaves it alone, longer with each failure in a row."""
        self.note_request_failure(now)
        pause = FAILURE_BACKOFF_SECONDS * 2**self.failures
        self.failures = min(self.failures + 1, 4)
        self.avoid_until = now + min(pause, MAX_FAILURE_BACKOFF_SECONDS)

    def is_unreachable(self, now: float) -> bool:
        """Returns whether no connection to it could be opened just now."""
        return self.failures > 0 and now < self.avoid_until

    def note_success(self) -> None:
        """Takes an answer as proof that it works."""
        self.failures = 0
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate

    def note_request_failure(self, now: float) -> None:
        """Takes a request that failed; a status check would tell nothing."""
        self.failure_rate = self.decayed_failure_rate(now)
        self.failure_rate += FAILURE_RATE_WEIGHT * (1 - self.failure_rate)
        self.failure_rate_at = now

    def decayed_failure_rate(self, now: float) -> float:
        """Returns its trouble; old evidence counts less.

        One that failed gets no requests while others are free, so nothing
        else would ever show that it has recovered.
        """
        return self.failure_rate * 0.5 ** (
            (now - self.failure_rate_at) / FAILURE_RATE_HALF_LIFE_SECONDS
        )

    def cached_tokens(
        self, namespace: str, parts: tuple, ready_by: float | None = None
    ) -> int:
        """Returns how many of a prompt's first tokens it holds.

        Args:
            namespace: under which they are found.
            parts: the prompt's parts.
            ready_by: counts only those that can be fetched by then, or None.
        """
        total = 0
        for part in parts:
            held = self.parts.get((namespace, part.name))
            if held is None:
                break
            if ready_by is not None and held.ready_at > ready_by:
                break
            total += part.tokens
        return total

    def note_parts(
        self, namespace: str, parts: tuple, most: int, ready_at: float
    ) -> None:
        """Notes that it will hold these parts of a prompt.

        Args:
            namespace: under which they are found.
            parts: the parts.
            most: tokens of parts that it is believed to keep.
            ready_at: when it will have read them.
        """
        for part in parts:
            key = (namespace, part.name)
            if key in self.parts:
                self.parts.move_to_end(key)
                continue
            self.parts[key] = CachedPart(part.tokens, ready_at)
            self.part_tokens += part.tokens
        while self.part_tokens > most and self.parts:
            _, held = self.parts.popitem(last=False)
            self.part_tokens -= held.tokens

    def note_parts_read(self, namespace: str, parts: tuple, now: float) -> None:
        """Notes that it has read these parts."""
        for part in parts:
            held = self.parts.get((namespace, part.name))
            if held is not None:
                held.ready_at = min(held.ready_at, now)

    def forget_parts(self) -> None:
        """Notes that it holds nothing."""
        self.parts.clear()
        self.part_tokens = 0


class Backends:
    """All backend servers that are declared.

    Attributes:
        by_incarnation: every one of them, by its present life.
        by_server: the same, by the server's id.
        by_service: the same, by service.
    """

    def __init__(self):
        self.by_incarnation: dict[str, Backend] = {}
        self.by_server: dict[str, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}
        self._gone: collections.OrderedDict[str, ServerNotice] = (
            collections.OrderedDict()
        )

    def put(self, registration: registrations.Registration) -> Backend:
        """Takes a registration, new or changed; returns the present life.

        A former life's late word changes nothing.
        """
        found = self.by_server.get(registration.server)
        if found is None:
            return self._add(registration)
        before = found.registration
        if registration.is_older_than(before):
            return found
        if registration.incarnation != before.incarnation:
            self.remove(registration.server)
            return self._add(registration)
        if registration.service != before.service:
            self.by_service[before.service].remove(found)
            self.by_service.setdefault(registration.service, []).append(found)
        found.registration = registration
        if before.weights != registration.weights:
            found.finish_loading()
        return found

    def _add(self, registration: registrations.Registration) -> Backend:
        notice = (
            self._gone.pop(registration.incarnation, None) or ServerNotice()
        )
        found = Backend(registration=registration, notice=notice)
        self.by_incarnation[registration.incarnation] = found
        self.by_server[registration.server] = found
        self.by_service.setdefault(registration.service, []).append(found)
        return found

    def remove(self, server: str) -> Backend | None:
        """Takes away a server that is no longer declared."""
        found = self.by_server.pop(server, None)
        if found is not None:
            del self.by_incarnation[found.registration.incarnation]
            self.by_service[found.registration.service].remove(found)
            found.ended = True
            self._gone[found.registration.incarnation] = found.notice
            while len(self._gone) > MAX_FORMER_NOTICES:
                self._gone.popitem(last=False)
        return found

    def of_service(self, service: str) -> list[Backend]:
        """Returns the servers of a service."""
        return self.by_service.get(service, [])
