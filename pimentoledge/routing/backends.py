"""The router's view of each backend server: load, health and cached parts."""

import collections

import attrs

from pimentoledge.routing import clocks
from pimentoledge.routing import peer_loads as peer_loads_module
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import version_histories
from pimentoledge.routing.server_speeds import paces
from pimentoledge.routing.server_speeds import speeds

# Backoff after a server reported that it is full.
FULL_BACKOFF_SECONDS = 0.15
# A load report counts in full for this long: a prompt of 9,000 tokens is
# prefilled in 0.3 s.
LOAD_FRESH_SECONDS = 0.5
# A load report is ignored after this time: most responses have ended by then.
LOAD_EXPIRY_SECONDS = 3.0
# Backoff after a failed connection; doubles with each further failure.
FAILURE_BACKOFF_SECONDS = 0.5
MAX_FAILURE_BACKOFF_SECONDS = 4.0
# Weight of the newest request in the moving failure rate.
FAILURE_RATE_WEIGHT = 0.15
# Half-life of the failure rate after the last failure.
FAILURE_RATE_HALF_LIFE_SECONDS = 2.0
# Weight of the newest event gap in the moving mean, an effective window of
# about 30 events.
EVENT_GAP_WEIGHT = 0.03
# Longer gaps are caused by changes of weights, not by a runner's speed.
MAX_EVENT_GAP_SECONDS = 0.4
# Removed incarnations whose notices are kept: an entry that an outage removed
# is registered again within seconds.
MAX_FORMER_NOTICES = 1000


@attrs.define
class CachedPart:
    """A prompt part that a server is assumed to have cached.

    Attributes:
        tokens: length of the part.
        ready_at: time at which it is prefilled there and can be fetched.
    """

    tokens: int
    ready_at: float


@attrs.define(kw_only=True)
class ServerNotice:
    """What one incarnation of a server has announced.

    Attributes:
        leaving: whether it is leaving, by a response, or by its entry when that
            was removed; this is never revoked.
        retry_at: end of the backoff that it requested of this process, or 0.
    """

    leaving: bool = False
    retry_at: float = 0.0


@attrs.define(kw_only=True, eq=False)
class Backend:
    """One incarnation of a backend server.

    Attributes:
        registration: its last registration in the store.
        notice: what it has announced, also before its entry was removed.
        open: requests of this process that it has not ended.
        open_tokens: memory of these, in tokens.
        unread_tokens: prompt tokens of this process that it has not prefilled
            yet.
        read_since: start of the prefill in progress, as far as known.
        unbegun: open requests of this process without a first event.
        reserved: requests of this process that have a place and are not sent.
        reserved_tokens: prompt tokens of these that it will have to prefill.
        load: its last load report, or None.
        load_open: `open` at the time of the load report.
        load_unbegun: `unbegun` at the time of the load report.
        load_at: time of the load report.
        load_first_hand: whether the report was sent to this process.
        peer_loads: load of the other routers.
        avoid_until: end of the backoff after a failure or a full server.
        limited_until: time until which its rate limit is used up for this
            process.
        failures: consecutive failed connections.
        ended: whether this incarnation is known to have ended.
        loading_until: time until which it is assumed to load weights.
        parts: parts assumed to be cached, by namespace and name; the least
            recently used first.
        part_tokens: total length of `parts`.
        failure_rate: moving failure rate of its requests.
        failure_rate_at: time of the last failure.
        mean_event_gap: mean time between its events, in seconds; 0 if unknown.
        holders: the servers that are assumed to have each part cached, by
            namespace and name; shared with the other servers.
        speed: its estimated speed and concurrency limit.
    """

    registration: registrations.Registration
    holders: dict[tuple[str, str], dict["Backend", None]] = attrs.field(
        factory=dict, repr=False
    )
    notice: ServerNotice = attrs.field(factory=ServerNotice)
    open: int = 0
    open_tokens: int = 0
    unread_tokens: int = 0
    read_since: float = 0.0
    unbegun: int = 0
    reserved: int = 0
    reserved_tokens: int = 0
    load: request_types.ServerLoad | None = None
    load_open: int = 0
    load_unbegun: int = 0
    load_at: float = 0.0
    load_first_hand: bool = False
    peer_loads: peer_loads_module.PeerLoads = attrs.field(
        factory=peer_loads_module.PeerLoads
    )
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
    speed: speeds.ServerSpeed = attrs.field(factory=speeds.ServerSpeed)

    def is_other_incarnation(self, born: int | None) -> bool:
        """Returns whether a message is from another incarnation of the server.

        A message from a later incarnation also marks this one as ended; the
        later one is added when its registration arrives from the store.

        Args:
            born: start of the incarnation that sent the message, or None.
        """
        own = self.registration.born
        if None in (born, own) or born == own:
            return False
        self.ended = self.ended or born > own
        return True

    def note_event_gap(self, seconds: float) -> None:
        """Adds the gap between two events of one of its streams to the mean."""
        if seconds > MAX_EVENT_GAP_SECONDS:
            return
        if not self.mean_event_gap:
            self.mean_event_gap = seconds
        self.mean_event_gap += EVENT_GAP_WEIGHT * (
            seconds - self.mean_event_gap
        )

    def note_paced_gap(self, seconds: float, now: float) -> None:
        """Adds the gap between two events to its estimated speed."""
        self.speed.note_event_gap(
            seconds,
            self.estimated_requests(now),
            self.registration.slots,
            now,
        )

    def finish_loading(self) -> None:
        """Marks the end of a load of weights, which empties its cache."""
        self.forget_parts()
        self.loading_until = 0.0

    def note_weights(self, reported: dict[str, int]) -> bool:
        """Applies the weights that it has reported; returns whether any is new.

        One incarnation loads only newer versions, so a report of an older one
        is late.
        """
        known = self.registration.weights
        weights = {
            model: max(version, known.get(model, version))
            for model, version in reported.items()
        }
        if weights == known:
            return False
        self.registration = attrs.evolve(self.registration, weights=weights)
        self.finish_loading()
        return True

    def announced_leaving(self) -> bool:
        """Returns whether its leaving was announced, here or in the store."""
        return self.registration.leaving or self.notice.leaving

    def is_leaving(self) -> bool:
        """Returns whether it accepts no new work, or has ended."""
        return self.ended or self.announced_leaving()

    def is_backing_off(self, now: float) -> bool:
        """Returns whether a backoff that it requested is in effect.

        It may serve other clients meanwhile, so it doesn't count as down.
        """
        return now < self.notice.retry_at

    def is_unavailable(self, now: float) -> bool:
        """Returns whether it requested a backoff or its limit is used up."""
        return self.is_backing_off(now) or now < self.limited_until

    def available_at(self) -> float:
        """Returns the earliest time at which it may be tried again."""
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
        """Returns the weight of the last load report, from 1 to 0.

        Load reports come only with responses. A server that reported a long
        queue gets no requests, so without the decay it would count as full
        forever.
        """
        age = now - self.load_at - LOAD_FRESH_SECONDS
        return min(
            1.0, max(0.0, 1 - age / (LOAD_EXPIRY_SECONDS - LOAD_FRESH_SECONDS))
        )

    def estimated_requests(self, now: float) -> float:
        """Returns the estimated number of requests at the server."""
        own = self.open + self.reserved
        known = own + self.peer_loads.open
        if self.load is None:
            return known
        reported = self.load.running + self.load.waiting - self.load_open
        return max(known, reported * self._load_freshness(now) + own)

    def queued(self, now: float) -> float:
        """Returns the estimated number of requests without a first event."""
        own = self.unbegun + self.reserved
        known = own + self.peer_loads.unbegun
        if self.load is None:
            return known
        reported = self.load.waiting - self.load_unbegun
        return max(known, reported * self._load_freshness(now) + own)

    def outstanding(self) -> int:
        """Returns the prompt tokens of known requests without a first event."""
        own = self.unread_tokens + self.reserved_tokens
        return own + self.peer_loads.unread

    def unread(self, mean: float, now: float, token_seconds: float) -> int:
        """Returns the estimated prompt tokens that it has not prefilled yet.

        The prefill in progress is counted as partly done. Requests of routers
        that don't report to this one are estimated from the server's reported
        queue.

        Args:
            mean: mean prompt tokens of such a request to prefill.
            now: the time.
            token_seconds: prefill time per token; 0 if unknown.
        """
        known = self.outstanding()
        if known and token_seconds:
            read = (now - self.read_since) / token_seconds
            known = max(0, known - int(read))
        if self.load is None or not mean:
            return known
        unbegun = self.unbegun + self.reserved + self.peer_loads.unbegun
        return known + int(mean * max(0, self.queued(now) - unbegun))

    def update_load(
        self,
        load: request_types.ServerLoad,
        now: float,
        *,
        first_hand: bool = True,
    ) -> None:
        """Stores a load report, received directly or through another router."""
        self.load = load
        self.load_first_hand = first_hand
        self.load_open = self.open
        self.load_unbegun = self.unbegun
        self.load_at = now
        if load.slowdown is not None:
            self.speed.note_report(load.slowdown, now)

    def back_off_full(self, now: float) -> None:
        """Starts a short backoff because the server is full."""
        self.avoid_until = max(self.avoid_until, now + FULL_BACKOFF_SECONDS)

    def note_connection_failure(self, now: float) -> None:
        """Starts a backoff, longer with each consecutive failure."""
        self.note_request_failure(now)
        backoff = FAILURE_BACKOFF_SECONDS * 2**self.failures
        self.failures = min(self.failures + 1, 4)
        self.avoid_until = now + min(backoff, MAX_FAILURE_BACKOFF_SECONDS)

    def is_unreachable(self, now: float) -> bool:
        """Returns whether it is in backoff after a failed connection."""
        return self.failures > 0 and now < self.avoid_until

    def note_success(self) -> None:
        """Resets the failure backoff and lowers the failure rate."""
        self.failures = 0
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate

    def note_request_failure(self, now: float) -> None:
        """Raises the failure rate after a failed request.

        Status checks don't count: a server may pass them and fail requests.
        """
        self.failure_rate = self.decayed_failure_rate(now)
        self.failure_rate += FAILURE_RATE_WEIGHT * (1 - self.failure_rate)
        self.failure_rate_at = now

    def decayed_failure_rate(self, now: float) -> float:
        """Returns the failure rate, decayed by the time since the last failure.

        A failed server gets no requests while others are free, so without the
        decay its recovery would never be detected.
        """
        return self.failure_rate * 0.5 ** (
            (now - self.failure_rate_at) / FAILURE_RATE_HALF_LIFE_SECONDS
        )

    def cached_tokens(
        self, namespace: str, parts: tuple, ready_by: float | None = None
    ) -> int:
        """Returns the number of a prompt's leading tokens that it has cached.

        Args:
            namespace: cache namespace of the parts.
            parts: the prompt's parts.
            ready_by: if given, counts only parts that can be fetched by then.
        """
        total = 0
        for part in parts:
            cached = self.parts.get((namespace, part.name))
            if cached is None:
                break
            if ready_by is not None and cached.ready_at > ready_by:
                break
            total += part.tokens
        return total

    def note_parts(
        self, namespace: str, parts: tuple, max_tokens: int, ready_at: float
    ) -> None:
        """Records the parts of a prompt that it will have cached.

        Args:
            namespace: cache namespace of the parts.
            parts: the prompt's parts.
            max_tokens: capacity for cached parts; the least recently used are
                evicted beyond it.
            ready_at: time at which it will have prefilled them.
        """
        for part in parts:
            key = (namespace, part.name)
            if key in self.parts:
                self.parts.move_to_end(key)
                continue
            self.parts[key] = CachedPart(part.tokens, ready_at)
            self.part_tokens += part.tokens
            self.holders.setdefault(key, {})[self] = None
        while self.part_tokens > max_tokens and self.parts:
            key, evicted = self.parts.popitem(last=False)
            self.part_tokens -= evicted.tokens
            self._drop_holder(key)

    def _drop_holder(self, key: tuple[str, str]) -> None:
        others = self.holders.get(key)
        if others is None:
            return
        others.pop(self, None)
        if not others:
            del self.holders[key]

    def note_parts_read(self, namespace: str, parts: tuple, now: float) -> None:
        """Marks these parts as prefilled and ready to fetch."""
        for part in parts:
            cached = self.parts.get((namespace, part.name))
            if cached is not None:
                cached.ready_at = min(cached.ready_at, now)

    def forget_parts(self) -> None:
        """Clears the parts that it is assumed to have cached."""
        for key in self.parts:
            self._drop_holder(key)
        self.parts.clear()
        self.part_tokens = 0


class Backends:
    """All declared backend servers.

    Attributes:
        by_incarnation: the servers by their current incarnation.
        versions: the software that has served each service.
        by_server: the servers by id.
        by_service: the servers by service.
        by_place: the servers by service and data centre.
        holders: the servers that are assumed to have a part cached, by
            namespace and name.
        paces: pace of the streams by service.
    """

    def __init__(self):
        self.by_incarnation: dict[str, Backend] = {}
        self.versions = version_histories.VersionHistory()
        self.by_server: dict[str, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}
        self.by_place: dict[tuple[str, str], list[Backend]] = {}
        self.holders: dict[tuple[str, str], dict[Backend, None]] = {}
        self.paces: dict[str, paces.ServicePace] = {}
        self._former_notices: collections.OrderedDict[str, ServerNotice] = (
            collections.OrderedDict()
        )

    def put(self, registration: registrations.Registration) -> Backend:
        """Applies a registration and returns the server's current incarnation.

        A late registration of a former incarnation is ignored.
        """
        backend = self.by_server.get(registration.server)
        if backend is None:
            return self._add(registration)
        before = backend.registration
        if registration.is_older_than(before):
            return backend
        if registration.incarnation != before.incarnation:
            self.remove(registration.server)
            return self._add(registration)
        self._unlist(backend)
        backend.registration = registration
        self._list(backend)
        if before.weights != registration.weights:
            backend.finish_loading()
        return backend

    def _add(self, registration: registrations.Registration) -> Backend:
        notice = (
            self._former_notices.pop(registration.incarnation, None)
            or ServerNotice()
        )
        backend = Backend(
            registration=registration,
            notice=notice,
            holders=self.holders,
            speed=speeds.ServerSpeed(pace=self.pace(registration.service)),
        )
        self.by_incarnation[registration.incarnation] = backend
        self.by_server[registration.server] = backend
        self._list(backend)
        return backend

    def _list(self, backend: Backend) -> None:
        service = backend.registration.service
        place = (service, backend.registration.data_centre)
        self.versions.put(backend.registration, clocks.now())
        self.by_service.setdefault(service, []).append(backend)
        self.by_place.setdefault(place, []).append(backend)

    def _unlist(self, backend: Backend) -> None:
        service = backend.registration.service
        place = (service, backend.registration.data_centre)
        self.versions.remove(backend.registration.server, clocks.now())
        self.by_service[service].remove(backend)
        self.by_place[place].remove(backend)

    def remove(self, server: str) -> Backend | None:
        """Removes a server that is no longer declared and returns it."""
        backend = self.by_server.pop(server, None)
        if backend is not None:
            del self.by_incarnation[backend.registration.incarnation]
            self._unlist(backend)
            backend.forget_parts()
            backend.ended = True
            backend.notice.leaving |= backend.registration.leaving
            self._former_notices[backend.registration.incarnation] = (
                backend.notice
            )
            while len(self._former_notices) > MAX_FORMER_NOTICES:
                self._former_notices.popitem(last=False)
        return backend

    def pace(self, service: str) -> paces.ServicePace:
        """Returns the pace of a service's streams."""
        return self.paces.setdefault(service, paces.ServicePace())

    def requests_in_use(self, service: str, now: float) -> float:
        """Returns the estimated number of requests at a service's servers."""
        return sum(
            each.estimated_requests(now)
            for each in self.of_service(service)
            if not each.is_leaving()
        )

    def of_service(self, service: str) -> list[Backend]:
        """Returns the servers of a service."""
        return self.by_service.get(service, [])

    def of_place(self, service: str, data_centre: str) -> list[Backend]:
        """Returns the servers of a service in a data centre."""
        return self.by_place.get((service, data_centre), [])

    def holders_of(
        self, namespace: str, parts: tuple, most: int
    ) -> list[Backend]:
        """Returns servers that are assumed to have parts of a prompt cached.

        Args:
            namespace: cache namespace of the parts.
            parts: the prompt's parts; those that have more of them come first.
            most: maximum number of servers.
        """
        found: dict[Backend, None] = {}
        for part in reversed(parts):
            for each in self.holders.get((namespace, part.name), ()):
                found[each] = None
                if len(found) >= most:
                    return list(found)
        return list(found)
