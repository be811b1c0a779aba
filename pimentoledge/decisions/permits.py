"""Permits for loads, kept in one stored table that all agents share.

The weight store is rate limited, so the number of runners that load at one
time is limited, and at least half of a model's runners stay in service. The
table lists the servers that are loading or known to be out of service.
Processes share no clock, so a holder increments a counter as its heartbeat.
If the counter is unchanged for `PermitTiming.expiry` seconds of an observer's
own clock, the holder has lost its permit.
"""

import enum
import math
import random

import attrs
import msgspec
from returns import result

from pimentoledge.decisions import actions
from pimentoledge.decisions import conditional_updates
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores

PATH = "permits/loads"
_CHECK_PREFIX = "permit-check/"


class PermitKind(enum.StrEnum):
    """Kind of an entry in the permit table."""

    # Loading weights: counts as a load and as out of service.
    WEIGHTS = "weights"
    # Loading an adapter while serving: counts as a load.
    ADAPTER = "adapter"
    # Out of service and not loading.
    OUT = "out"


@attrs.define(kw_only=True)
class PermitEntry:
    """One entry of the permit table.

    Attributes:
        server: the backend server.
        number: its agent's fencing number, which grows with each start.
        model: the model that it serves.
        kind: kind of the entry.
        counter: heartbeat counter, incremented by a live holder.
    """

    server: str
    number: int
    model: str
    kind: PermitKind
    counter: int = 0


@attrs.define(kw_only=True)
class PermitTable:
    """The value of the stored object at PATH."""

    holders: list[PermitEntry] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class WantedPermit:
    """The entry that an agent requests.

    Attributes:
        kind: kind of the entry.
        model: the model that its server serves.
        limit: maximum number of concurrent loads.
        runners: number of runners of the model that are declared in.
        serving: whether its engine is serving, so that a load takes a runner
            out of service.
    """

    kind: PermitKind
    model: str
    limit: int
    runners: int
    serving: bool = True


@attrs.frozen(kw_only=True)
class PermitTiming:
    """Times in seconds.

    Attributes:
        expiry: time after which a holder with an unchanged counter loses its
            permit.
        renew: interval between increments of the own counter.
        start: maximum age of the last increment at which a load may be
            started; the rest of `expiry` is the time that a load has.
        poll: base interval of polling for a free permit.
        poll_runner: added to `poll` for each runner of the model, so that the
            total polling rate of a large model stays bounded.
        retry: delay after the store was down.
    """

    expiry: float = 10.0
    renew: float = 3.0
    start: float = 2.0
    poll: float = 0.2
    poll_runner: float = 0.01
    retry: float = 1.0


def max_out_of_service(runners: int) -> int:
    """Returns how many runners of a model may be out at one time.

    At least half of them, rounded up, go on serving. A model's only runner
    has to go out to load at all. If this many are out already,
    `_may_leave_service` may still allow one more.
    """
    return max(1, runners // 2)


@attrs.define(kw_only=True)
class CounterObservation:
    """How long another holder's counter has been observed unchanged.

    Attributes:
        counter: the counter's value.
        unchanged_seconds: observed seconds without a change.
        read_at: when the answer of the last read arrived.
    """

    counter: int
    unchanged_seconds: float
    read_at: float


class LoadPermits:
    """One agent's entry in the permit table.

    Brings the entry to the requested state and keeps it there. When a holder
    that loads weights expires, its entry becomes "out", until the server's
    next agent or the operator removes it.

    Attributes:
        server: its backend server.
        number: the agent's fencing number; 0 if there is none, in which case
            nothing is written.
        timing: timeouts and intervals.
        want: the requested entry; None for no entry.
        mine: the own entry as last read or written; None for none.
        confirmed_at: when the read that `mine` is based on was sent.
        inspected: whether the table was read since this agent started.
        reason: why the permit was denied: "limit", "guard" or "".
        kept_until: until when an entry of an earlier start of the agent is
            kept although none is requested.
        superseded: whether a later start of the agent has the entry.
        unreachable: whether the store was down at the last attempt.
        update: the conditional update of the stored table.
        unverified: another server's "out" entry whose declaration is to be
            checked; None for none.
    """

    def __init__(
        self,
        *,
        server: str,
        life: str,
        generator: random.Random,
        timing: PermitTiming | None = None,
    ):
        self.server = server
        self.number = 0
        self.timing = timing or PermitTiming()
        self.want: WantedPermit | None = None
        self.mine: PermitEntry | None = None
        self.confirmed_at = -math.inf
        self.inspected = False
        self.reason = ""
        self.kept_until = -math.inf
        self.superseded = False
        self.unreachable = False
        self.update = conditional_updates.ConditionalUpdate(
            path=PATH, name="permits", life=life, generator=generator
        )
        self.unverified: PermitEntry | None = None
        self._checks = 0
        self._undeclared: set[tuple[str, int]] = set()
        self._random = generator
        self._next: PermitEntry | None = None
        self._now = 0.0
        self._poll_at = -math.inf
        self._retry_at = -math.inf
        self._renew_at = math.inf
        # By server and fencing number; bounded by the size of the table.
        self._observations: dict[tuple[str, int], CounterObservation] = {}

    def set_want(self, want: WantedPermit | None) -> None:
        """Sets the requested entry; `wake` then writes it."""
        if _kind_of(want) is not _kind_of(self.want):
            self._poll_at = -math.inf
            self.reason = ""
        self.want = want

    def granted(self) -> bool:
        """Returns whether the entry is the requested one."""
        if self.want is None or self.mine is None:
            return False
        return self.mine.number == self.number and self._matches_want(self.mine)

    def fresh(self, now: float) -> bool:
        """Returns whether the permit is recent enough to start a load."""
        age = now - self.confirmed_at
        return self.granted() and age <= self.timing.start

    def renew(self, now: float) -> None:
        """Schedules an early increment of the counter, to start a load."""
        self._renew_at = now

    def next_wake(self) -> float | None:
        """Returns when to call `wake`; None for never."""
        if self.update.busy():
            return self.update.next_wake()
        return self._due()

    def wake(self, now: float) -> list[actions.Action]:
        """Runs the timers that are due."""
        if self.update.busy():
            return self.update.wake(now)
        due = self._due()
        if due is None or now < due:
            return []
        return self.update.start(self._change, now)

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        """Handles the store's answer."""
        if answer.call.startswith(_CHECK_PREFIX):
            self._handle_check(answer)
            return []
        self._now = now
        called, ended = self.update.handle(answer, now)
        match ended:
            case conditional_updates.UpdateOutcome.DOWN:
                self._retry_at = now + self.timing.retry
                self.unreachable = True
            case (
                conditional_updates.UpdateOutcome.WRITTEN
                | conditional_updates.UpdateOutcome.UNCHANGED
            ):
                called += self._finish_update(now)
        return called

    def owns(self, answer: stores.StoreAnswer) -> bool:
        """Returns whether an answer is to one of its calls."""
        return self.update.owns(answer) or answer.call.startswith(_CHECK_PREFIX)

    def _finish_update(self, now: float) -> list[actions.Action]:
        self.unreachable = False
        self.mine = self._next
        self.inspected = True
        self.confirmed_at = self.update.started
        self._renew_at = math.inf
        if self.reason:
            self._poll_at = now + self._poll_seconds()
        if self.reason != "guard" or self.unverified is None:
            return []
        self._checks += 1
        path = declarations.PREFIXES[declarations.BackendServer]
        call = stores.Read(
            call=f"{_CHECK_PREFIX}{self._checks}",
            path=path + self.unverified.server,
        )
        return [actions.CallStore(call=call)]

    def _handle_check(self, answer: stores.StoreAnswer) -> None:
        """Records whether the server of `unverified` is still declared.

        Without this check the entry of a permanently removed server would
        count as out of service forever and block every upgrade of its model.
        """
        entry, self.unverified = self.unverified, None
        if entry is None or answer.call != f"{_CHECK_PREFIX}{self._checks}":
            return
        match answer.outcome:
            case stores.Outcome.ABSENT:
                is_active = False
            case stores.Outcome.FOUND:
                is_active = _is_active_runner(answer.objects[0], entry.model)
            case _:
                return
        if not is_active:
            self._undeclared.add((entry.server, entry.number))

    def _poll_seconds(self) -> float:
        runners = self.want.runners if self.want else 0
        wait = self.timing.poll + self.timing.poll_runner * runners
        if any(
            each.unchanged_seconds > 0 for each in self._observations.values()
        ):
            # A holder may have died. Each read counts for at most a quarter of
            # the expiry, so the table is read that often.
            wait = min(wait, self.timing.expiry / 4)
        return wait * self._random.uniform(0.5, 1.0)

    def _due(self) -> float | None:
        if not self.inspected:
            return self._retry_at
        if self.number == 0 or self.superseded:
            return None
        if self.want is None:
            due = max(self._retry_at, self.kept_until)
            return due if self.mine else None
        if not self.granted():
            return max(self._retry_at, self._poll_at)
        if self.want.kind is PermitKind.OUT:
            return None
        regular = self.confirmed_at + self.timing.renew
        return max(self._retry_at, min(regular, self._renew_at))

    def _matches_want(self, holder: PermitEntry) -> bool:
        return holder.kind is self.want.kind and holder.model == self.want.model

    def _change(
        self, found: stores.Object | None
    ) -> conditional_updates.Change:
        table = _decode(found)
        self._observe_counters(table)
        self.reason = ""
        mine = [each for each in table.holders if each.server == self.server]
        others = [each for each in table.holders if each.server != self.server]
        self._next = mine[0] if mine else None
        if self._next and self._next.number > self.number > 0:
            self.superseded = True
        self._keep_earlier_entry()
        if self.superseded or self.number == 0:
            return conditional_updates.Change(write=False)
        if self.want is None and self._now < self.kept_until:
            return conditional_updates.Change(write=False)
        if self.want is None:
            return self._remove_entry(others)
        return self._write_entry(others)

    def _keep_earlier_entry(self) -> None:
        """Keeps an entry of an earlier agent start while its load may run.

        The engine may still be carrying out an order of the earlier start,
        and its status does not show that. If the entry were released at once
        because no load is pending any more, another runner could load at the
        same time.
        """
        found = self._next
        if self.inspected or found is None or found.kind is PermitKind.OUT:
            return
        self.kept_until = self._now + self.timing.expiry

    def _remove_entry(
        self, others: list[PermitEntry]
    ) -> conditional_updates.Change:
        if self._next is None:
            return conditional_updates.Change(write=False)
        self._next = None
        return _encode(others)

    def _write_entry(
        self, others: list[PermitEntry]
    ) -> conditional_updates.Change:
        mine = self._next
        want = self.want
        counter = 0
        if mine is not None and mine.number == self.number:
            if want.kind is PermitKind.OUT and self._matches_want(mine):
                return conditional_updates.Change(write=False)
            counter = mine.counter
        others = [each for each in map(self._expire_entry, others) if each]
        self.reason = self._denial_reason(others, mine)
        if self.reason:
            return conditional_updates.Change(write=False)
        self._next = PermitEntry(
            server=self.server,
            number=self.number,
            model=want.model,
            kind=want.kind,
            counter=counter + 1,
        )
        return _encode([*others, self._next])

    def _denial_reason(
        self, others: list[PermitEntry], mine: PermitEntry | None
    ) -> str:
        want = self.want
        # An entry of an earlier start of the agent already counts, so taking
        # it over does not add a load.
        if want.kind is PermitKind.OUT or (
            mine is not None and self._matches_want(mine)
        ):
            return ""
        loading = [each for each in others if each.kind is not PermitKind.OUT]
        if len(loading) >= want.limit:
            return "limit"
        already_out = mine is not None and mine.kind is PermitKind.OUT
        if want.kind is PermitKind.ADAPTER or already_out or not want.serving:
            return ""
        out = [
            each
            for each in others
            if each.model == want.model and each.kind is not PermitKind.ADAPTER
        ]
        if _may_leave_service(want.runners, out):
            return ""
        idle = [each for each in out if each.kind is PermitKind.OUT]
        self.unverified = self._random.choice(idle) if idle else None
        return "guard"

    def _expire_entry(self, holder: PermitEntry) -> PermitEntry | None:
        """Returns another server's entry after expiry; None to remove it."""
        if (holder.server, holder.number) in self._undeclared:
            return None
        observation = self._observations.get((holder.server, holder.number))
        if (
            observation is None
            or observation.unchanged_seconds < self.timing.expiry
        ):
            return holder
        if holder.kind is PermitKind.ADAPTER:
            return None
        return attrs.evolve(holder, kind=PermitKind.OUT)

    def _observe_counters(self, table: PermitTable) -> None:
        """Measures how long the counters of other holders are unchanged.

        A holder can't increment its counter while the store is down. If an
        observer counted that time, it would take the permit from a live
        holder. So the interval between two reads counts for at most a quarter
        of the expiry.
        """
        before = self._observations
        self._observations = {}
        for each in table.holders:
            if each.kind is PermitKind.OUT or each.server == self.server:
                continue
            key = (each.server, each.number)
            last = before.get(key)
            unchanged = 0.0
            if last is not None and last.counter == each.counter:
                # The interval runs from the answer of one read to the request
                # of the next, so a slow store shortens it and never
                # lengthens it.
                interval = max(0.0, self.update.started - last.read_at)
                unchanged = last.unchanged_seconds + min(
                    interval, self.timing.expiry / 4
                )
            self._observations[key] = CounterObservation(
                counter=each.counter,
                unchanged_seconds=unchanged,
                read_at=self._now,
            )


def _is_active_runner(stored: stores.Object, model: str) -> bool:
    """Returns whether a server is declared in for the model."""
    if stored.value is None:
        return False
    match declarations.decode(stored.path, stored):
        case result.Success(declarations.BackendServer() as server):
            state = declarations.ServerState.IN
            return server.serves == model and server.state is state
    return True


def _may_leave_service(runners: int, out: list[PermitEntry]) -> bool:
    """Returns whether one more runner of a model may go out of service."""
    if len(out) < max_out_of_service(runners):
        return True
    # Runners that stay out of service would block an upgrade, which may be
    # what repairs them. So beyond the limit the others go one at a time, as
    # long as one is left in service.
    loading = any(each.kind is PermitKind.WEIGHTS for each in out)
    return not loading and runners - len(out) > 1


def _kind_of(want: WantedPermit | None) -> PermitKind | None:
    return want.kind if want else None


def _decode(found: stores.Object | None) -> PermitTable:
    if found is None:
        return PermitTable()
    return msgspec.json.decode(found.value, type=PermitTable)


def _encode(holders: list[PermitEntry]) -> conditional_updates.Change:
    table = PermitTable(holders=holders)
    return conditional_updates.Change(
        write=True, value=msgspec.json.encode(table)
    )
