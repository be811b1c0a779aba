"""Permits for loads, kept in one object that all agents share.

The weight store is rate limited, so only so many runners load at one time;
and a model keeps at least half of its runners while others load. The object
lists who loads and who is known to be out of service. Processes share no
clock: a holder moves a counter on, and one whose counter stands still for
`PermitTiming.expiry` seconds of another's own clock has lost its permit.
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
    """What an entry of the object says."""

    # It loads weights: counts as a load, and as out of service.
    WEIGHTS = "weights"
    # It loads an adapter while it serves: counts as a load.
    ADAPTER = "adapter"
    # It is out of service and loads nothing.
    OUT = "out"


@attrs.define(kw_only=True)
class PermitEntry:
    """One entry of the object.

    Attributes:
        server: the backend server.
        number: its agent's fencing number; a later life has a greater one.
        model: the model that it serves.
        kind: what the entry says.
        counter: grows while the holder lives.
    """

    server: str
    number: int
    model: str
    kind: PermitKind
    counter: int = 0


@attrs.define(kw_only=True)
class PermitTable:
    """The object's value."""

    holders: list[PermitEntry] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class WantedPermit:
    """What an agent wants its entry to be.

    Attributes:
        kind: what to say.
        model: the model that its server serves.
        limit: loads at one time.
        runners: how many runners of the model are declared in.
        serving: whether its engine serves now, so that a load takes a runner
            away.
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
        expiry: how long a counter stands still before its permit is lost.
        renew: time between two moves of one's own counter.
        start: age of the last move up to which a load may be started; what
            is left until `expiry` is the time that a load has.
        poll: shortest time between two looks for a free permit.
        poll_runner: time added to that for each runner of the model, so that
            the looks of a large model together stay bounded.
        retry: wait after the store was down.
    """

    expiry: float = 10.0
    renew: float = 3.0
    start: float = 2.0
    poll: float = 0.2
    poll_runner: float = 0.01
    retry: float = 1.0


def most_out(runners: int) -> int:
    """Returns how many runners of a model may be out at one time.

    At least half of them, rounded up, go on serving; only where more than
    half are out for other reasons does one more go. The only runner of a
    model must go out to load at all.
    """
    return max(1, runners // 2)


@attrs.define(kw_only=True)
class CounterObservation:
    """How long another's counter was seen to stand still.

    Attributes:
        counter: the counter.
        unchanged_seconds: seconds, as far as they were watched.
        read_at: when the last read that showed it was answered.
    """

    counter: int
    unchanged_seconds: float
    read_at: float


class LoadPermits:
    """One agent's entry in the object.

    It is brought to what is wanted and kept there. A slot freed by a death
    turns into an entry that says "out", until the server's next agent or the
    operator removes it.

    Attributes:
        server: its backend server.
        number: its fencing number; 0 while there is none, and then nothing
            is written.
        timing: times.
        want: what the entry shall be; None for no entry.
        mine: the entry as last read or written; None for none.
        confirmed_at: when the read was sent that the entry rests on.
        inspected: whether the object was read in this life.
        reason: why a permit was not given: "limit", "guard" or "".
        kept_until: until when an entry of an earlier life is kept though it
            is not wanted.
        superseded: whether a later life of the agent has the entry.
        unreachable: whether the store was down at the last try.
        update: the calls to the store that change the object.
        unverified: another's entry that says "out" while its server may no
            longer be declared; None for none.
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
        # By server and fencing number; bounded by the size of the object.
        self._observations: dict[tuple[str, int], CounterObservation] = {}

    def set_want(self, want: WantedPermit | None) -> None:
        """Says what the entry shall be; `wake` then brings it there."""
        if _kind_of(want) is not _kind_of(self.want):
            self._poll_at = -math.inf
            self.reason = ""
        self.want = want

    def granted(self) -> bool:
        """Returns whether the entry is what is wanted."""
        if self.want is None or self.mine is None:
            return False
        return self.mine.number == self.number and self._matches_want(self.mine)

    def fresh(self, now: float) -> bool:
        """Returns whether a load may be started under the permit."""
        age = now - self.confirmed_at
        return self.granted() and age <= self.timing.start

    def renew(self, now: float) -> None:
        """Has the counter moved on before its time, to start a load."""
        self._renew_at = now

    def next_wake(self) -> float | None:
        """Returns when to call `wake`; None for never."""
        if self.update.busy():
            return self.update.next_wake()
        return self._due()

    def wake(self, now: float) -> list[actions.Action]:
        """Does what is due by now."""
        if self.update.busy():
            return self.update.wake(now)
        due = self._due()
        if due is None or now < due:
            return []
        return self.update.start(self._change, now)

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        """Takes the store's answer."""
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
        """Finds out whether an entry's server is still declared.

        Without this the entry of a server that is gone for good would count
        as out for ever, and hold up every upgrade of its model.
        """
        doubted, self.unverified = self.unverified, None
        if doubted is None or answer.call != f"{_CHECK_PREFIX}{self._checks}":
            return
        match answer.outcome:
            case stores.Outcome.ABSENT:
                counts = False
            case stores.Outcome.FOUND:
                counts = _is_active_runner(answer.objects[0], doubted.model)
            case _:
                return
        if not counts:
            self._undeclared.add((doubted.server, doubted.number))

    def _poll_seconds(self) -> float:
        runners = self.want.runners if self.want else 0
        wait = self.timing.poll + self.timing.poll_runner * runners
        if any(
            each.unchanged_seconds > 0 for each in self._observations.values()
        ):
            # Someone may be dead: to count its time it must be watched.
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
        book = _decode(found)
        self._observe_counters(book)
        self.reason = ""
        mine = [each for each in book.holders if each.server == self.server]
        others = [each for each in book.holders if each.server != self.server]
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
        """Keeps the entry of an earlier life as long as its load may last.

        The engine may still carry out that life's order, and its status
        doesn't say so. Given back at once, when nothing is to be loaded any
        more, the entry would let another runner load at the same time.
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
        # An entry of an earlier life already counts; taking it over does not
        # make one more.
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
        """Returns another's entry as it is to stand; None to remove it."""
        if (holder.server, holder.number) in self._undeclared:
            return None
        sighting = self._observations.get((holder.server, holder.number))
        if sighting is None or sighting.unchanged_seconds < self.timing.expiry:
            return holder
        if holder.kind is PermitKind.ADAPTER:
            return None
        return attrs.evolve(holder, kind=PermitKind.OUT)

    def _observe_counters(self, book: PermitTable) -> None:
        """Counts how long the others' counters have stood still.

        A holder can't move its counter while the store is down. An observer
        that took that time for the holder's silence would take a permit away
        from one that lives. So a stretch between two reads counts for no
        more than a quarter of the expiry, however long it was.
        """
        before = self._observations
        self._observations = {}
        for each in book.holders:
            if each.kind is PermitKind.OUT or each.server == self.server:
                continue
            key = (each.server, each.number)
            last = before.get(key)
            still = 0.0
            if last is not None and last.counter == each.counter:
                # From the answer of the one read to the sending of the next:
                # a slow store makes it shorter, never longer.
                stretch = max(0.0, self.update.started - last.read_at)
                still = last.unchanged_seconds + min(
                    stretch, self.timing.expiry / 4
                )
            self._observations[key] = CounterObservation(
                counter=each.counter, unchanged_seconds=still, read_at=self._now
            )


def _is_active_runner(stored: stores.Object, model: str) -> bool:
    """Returns whether a stored declaration is of a runner of the model."""
    if stored.value is None:
        return False
    match declarations.decode(stored.path, stored):
        case result.Success(declarations.BackendServer() as server):
            state = declarations.ServerState.IN
            return server.serves == model and server.state is state
    return True


def _may_leave_service(runners: int, out: list[PermitEntry]) -> bool:
    """Returns whether one more runner of a model may go out of service."""
    if len(out) < most_out(runners):
        return True
    # Runners that stay out would hold an upgrade up for as long as they do,
    # and it may be their cure. So the others then go one by one, as long as
    # one is left that serves.
    going = any(each.kind is PermitKind.WEIGHTS for each in out)
    return not going and runners - len(out) > 1


def _kind_of(want: WantedPermit | None) -> PermitKind | None:
    return want.kind if want else None


def _decode(found: stores.Object | None) -> PermitTable:
    if found is None:
        return PermitTable()
    return msgspec.json.decode(found.value, type=PermitTable)


def _encode(holders: list[PermitEntry]) -> conditional_updates.Change:
    book = PermitTable(holders=holders)
    return conditional_updates.Change(
        write=True, value=msgspec.json.encode(book)
    )
