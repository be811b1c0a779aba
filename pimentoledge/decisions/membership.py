"""Which declared backend servers an entry may give new work to.

Three sources are put together. The declaration alone admits a server. The
platform's list of VMs and what the entry sees itself (refused connections,
timeouts, changed incarnations, the agent's word that it is leaving) may only
remove a server or delay it.
"""

import collections
import enum
import math
import random

import attrs

from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.nodes import messages

# Incarnations remembered for one server; a truth that names a past one is a
# late message.
PAST_INCARNATIONS = 4


@attrs.frozen(kw_only=True)
class BackoffTiming:
    """Times and bounds of hold-back; all times in seconds.

    Attributes:
        first: hold-back after the first failure.
        longest: longest hold-back.
        trial: how long one trial request keeps others away.
        last_resort: time between trials when nothing else is left.
        forget: time without failure after which one failure is forgotten.
        probe: time between probes of a server that takes no new work.
        max_servers: most servers remembered.
    """

    first: float = 0.25
    longest: float = 30.0
    trial: float = 1.0
    last_resort: float = 0.5
    forget: float = 60.0
    probe: float = 1.0
    max_servers: int = 16384


class ReportOrder(enum.StrEnum):
    """What a truth means beside what was known of its server."""

    CURRENT = "current"
    RESTARTED = "restarted"
    # It names an incarnation that is known to have ended: a late message.
    PAST = "past"


@attrs.define(kw_only=True)
class FailureRecord:
    """What speaks against one server; absent for a healthy one.

    Attributes:
        failures: failures not yet forgotten.
        decay_from: time from which the next one is forgotten.
        backoff_until: end of the hold-back.
        soft: whether only timeouts led to the hold-back.
        down: whether it failed and has not answered since.
        failed_at: time of the last hard failure.
        tried_at: when the trial that is out was sent; others stay away.
        closed: whether its agent said that it takes no new work.
        loading: whether it said so for a load only.
        left_at: when its agent last said that it is leaving.
        probe_at: when to ask a closed server again.
    """

    failures: int = 0
    decay_from: float = 0.0
    backoff_until: float = 0.0
    soft: bool = True
    down: bool = False
    failed_at: float = -math.inf
    tried_at: float = -math.inf
    closed: bool = False
    loading: bool = False
    left_at: float = -math.inf
    probe_at: float = 0.0


def host_of(agent: str) -> str:
    """Returns the IP address within tcp://ip:port."""
    return agent.rpartition(":")[0].rpartition("/")[2]


class Membership:
    """One entry's view of the declared servers.

    Attributes:
        timing: times and bounds.
        failure_records: FailureRecord by server name, oldest first.
        incarnations: the last incarnations by server name, newest last.
        leaving_vms: addresses that the platform lists as leaving.
        missing_vms: addresses that were listed and no longer are, and the
            time when each was first missed.
        known_vms: addresses in the latest list.
        next_probe: when to ask a closed server again; None for never.
    """

    def __init__(self, *, seed: int, timing: BackoffTiming | None = None):
        self.timing = timing or BackoffTiming()
        self.failure_records: collections.OrderedDict[str, FailureRecord] = (
            collections.OrderedDict()
        )
        self.incarnations: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )
        self.leaving_vms: frozenset[str] = frozenset()
        self.missing_vms: dict[str, float] = {}
        self.known_vms: frozenset[str] = frozenset()
        self.next_probe: float | None = None
        self._random = random.Random(seed)

    def usable(
        self, servers: list[declarations.BackendServer], now: float
    ) -> list[declarations.BackendServer]:
        """Returns the servers that may get new work.

        Args:
            servers: declared servers, such as those of one model.
            now: monotonic seconds.

        Returns:
            The servers without trouble and those due for a trial. Where that
            leaves none, those held back on soft evidence; where there is none
            of those either, one that is due for a last trial.
        """
        declared = [
            each
            for each in servers
            if each.state is declarations.ServerState.IN
        ]
        listed = self._not_leaving_by_list(declared)
        records = self.failure_records
        found = [
            each
            for each in listed
            if each.name not in records
            or self._accepts_work(records[each.name], now)
        ]
        found = self._without_missing(found)
        if found:
            return found
        return self._last_resort(listed, now)

    def record_dispatch(self, server: str, now: float) -> None:
        """Takes note of work sent to a server; it may be the trial."""
        trouble = self.failure_records.get(server)
        if trouble is not None and trouble.down:
            trouble.tried_at = now

    def record_refusal(self, server: str, now: float) -> None:
        """Takes note that nothing listens there, or that its engine is down.

        Args:
            server: the server's name.
            now: monotonic seconds.
        """
        self._record_failure(server, now, soft=False)

    def record_timeout(self, server: str, now: float) -> None:
        """Takes note that no answer came in time, which proves little."""
        self._record_failure(server, now, soft=True)

    def record_report(self, truth: messages.Truth, now: float) -> ReportOrder:
        """Takes note of an agent's word.

        Args:
            truth: what the agent says of its server.
            now: monotonic seconds.

        Returns:
            Whether the engine is the one known, a new one, or one that is
            known to have ended; in the last case nothing is changed.
        """
        if not truth.incarnation:
            self._update_closed(truth, now)
            self._record_failure(truth.server, now, soft=False)
            return ReportOrder.CURRENT
        heard = self._update_incarnation(truth)
        if heard is ReportOrder.PAST:
            return heard
        self._update_closed(truth, now)
        trouble = self.failure_records.get(truth.server)
        was_down = trouble is not None and trouble.down
        if heard is ReportOrder.RESTARTED and not was_down:
            self._record_restart(truth.server, now)
        elif trouble is not None:
            self._record_recovery(truth.server, trouble, now)
        return heard

    def update_vms(self, states: list[events.ListedVm], now: float) -> None:
        """Takes in the platform's list of VMs.

        A VM that was listed and no longer is counts as soft evidence only:
        the list lags and may be cut short. One never listed may be too new
        to be there; its declaration admits it.

        Args:
            states: the whole list.
            now: monotonic seconds.
        """
        listed = frozenset(each.address for each in states)
        self.leaving_vms = frozenset(
            each.address for each in states if each.leaving
        )
        gone = (self.known_vms | self.missing_vms.keys()) - listed
        kept = sorted(gone, key=lambda each: self.missing_vms.get(each, now))
        self.missing_vms = {
            each: self.missing_vms.get(each, now)
            for each in kept[-self.timing.max_servers :]
        }
        self.known_vms = listed

    def due_probes(self, now: float) -> list[str]:
        """Returns closed servers to ask whether they take new work again.

        Each is returned once in every `timing.probe` seconds. A message
        asks, so that no request is spent on a server that is leaving.

        Args:
            now: monotonic seconds.
        """
        if self.next_probe is None or now < self.next_probe:
            return []
        due = []
        closed = []
        for name, trouble in self.failure_records.items():
            if not trouble.closed:
                continue
            if now >= trouble.probe_at:
                trouble.probe_at = now + self.timing.probe
                due.append(name)
            closed.append(trouble.probe_at)
        self.next_probe = min(closed, default=None)
        return due

    def next_wake(self) -> float | None:
        """Returns when to call `due_probes`; None for never."""
        return self.next_probe

    def incarnation(self, server: str) -> str:
        """Returns the engine incarnation last heard of; empty for none."""
        known = self.incarnations.get(server)
        return known[-1] if known else ""

    def _accepts_work(self, trouble: FailureRecord, now: float) -> bool:
        if trouble.closed or now < trouble.backoff_until:
            return False
        on_trial = trouble.down and now < trouble.tried_at + self.timing.trial
        return not on_trial

    def _not_leaving_by_list(
        self, servers: list[declarations.BackendServer]
    ) -> list[declarations.BackendServer]:
        if not self.leaving_vms:
            return servers
        return [
            each
            for each in servers
            if host_of(each.agent) not in self.leaving_vms
        ]

    def _without_missing(
        self, servers: list[declarations.BackendServer]
    ) -> list[declarations.BackendServer]:
        # A list that comes back cut short would remove every server at once.
        # It shows as servers whose agents still answer; so a missing VM only
        # loses its place while another server is left to take the work.
        if not self.missing_vms:
            return servers
        present = [
            each
            for each in servers
            if host_of(each.agent) not in self.missing_vms
        ]
        return present or servers

    def _last_resort(
        self, servers: list[declarations.BackendServer], now: float
    ) -> list[declarations.BackendServer]:
        held = [
            (self.failure_records[each.name], each)
            for each in servers
            if self._may_come_back(self.failure_records[each.name])
        ]
        soft = [each for trouble, each in held if trouble.soft]
        if soft:
            return soft
        # All were refused, as when every engine of a model restarts at once:
        # without this a request would wait for the end of a long hold-back
        # though an engine is there again.
        due = []
        for trouble, each in held:
            latest = max(trouble.failed_at, trouble.tried_at)
            if now >= latest + self.timing.last_resort:
                due.append((latest, each.name, each))
        if not due:
            return []
        longest_ago = min(due, key=lambda each: each[:2])
        return [longest_ago[2]]

    def _may_come_back(self, trouble: FailureRecord) -> bool:
        return trouble.loading or not trouble.closed

    def _failure_record(self, server: str, now: float) -> FailureRecord:
        trouble = self.failure_records.get(server)
        if trouble is None:
            trouble = FailureRecord(decay_from=now)
            self.failure_records[server] = trouble
            if len(self.failure_records) > self.timing.max_servers:
                self.failure_records.popitem(last=False)
        self._decay_failures(trouble, now)
        return trouble

    def _decay_failures(self, trouble: FailureRecord, now: float) -> None:
        rounds = int((now - trouble.decay_from) / self.timing.forget)
        if rounds > 0:
            trouble.failures = max(0, trouble.failures - rounds)
            trouble.decay_from += rounds * self.timing.forget

    def _record_failure(self, server: str, now: float, *, soft: bool) -> None:
        trouble = self._failure_record(server, now)
        if not soft:
            trouble.failed_at = now
        trouble.tried_at = -math.inf
        if now < trouble.backoff_until:
            # Many requests fail together when one engine dies: that is one
            # failure. Hard evidence still outweighs soft.
            trouble.soft = trouble.soft and soft
            return
        trouble.soft = soft
        trouble.down = True
        self._start_backoff(trouble, now)

    def _record_restart(self, server: str, now: float) -> None:
        trouble = self._failure_record(server, now)
        if trouble.failures > 0:
            trouble.soft = False
            self._start_backoff(trouble, now)
            return
        # The first restart delays nothing: the engine is there and answers.
        trouble.failures = 1
        trouble.decay_from = now

    def _start_backoff(self, trouble: FailureRecord, now: float) -> None:
        doubled = self.timing.first * 2.0 ** min(trouble.failures, 32)
        trouble.failures = min(trouble.failures + 1, 32)
        trouble.decay_from = now
        wait = min(doubled, self.timing.longest)
        # Without jitter all entries would send their trials together.
        trouble.backoff_until = now + wait * self._random.uniform(0.75, 1.25)

    def _record_recovery(
        self, server: str, trouble: FailureRecord, now: float
    ) -> None:
        self._decay_failures(trouble, now)
        if now < trouble.backoff_until and not trouble.soft:
            # An answer sent before the engine died comes late: it must not
            # end the hold-back.
            return
        trouble.down = False
        trouble.backoff_until = 0.0
        trouble.tried_at = -math.inf
        if trouble.failures == 0 and not trouble.closed:
            del self.failure_records[server]

    def _update_closed(self, truth: messages.Truth, now: float) -> None:
        if truth.leaving or truth.loading:
            trouble = self._failure_record(truth.server, now)
            if not trouble.closed:
                trouble.probe_at = now + self.timing.probe
                self.next_probe = min(
                    trouble.probe_at, self.next_probe or math.inf
                )
            trouble.closed = True
            trouble.loading = not truth.leaving
            if truth.leaving:
                trouble.left_at = now
            return
        trouble = self.failure_records.get(truth.server)
        # An answer sent before the leave and late on its way must not open
        # the server again; one later than that only costs a refusal by the
        # agent, whose truth closes it again.
        if trouble is not None and now >= trouble.left_at + self.timing.probe:
            trouble.closed = False

    def _update_incarnation(self, truth: messages.Truth) -> ReportOrder:
        known = self.incarnations.get(truth.server, ())
        if known and known[-1] == truth.incarnation:
            return ReportOrder.CURRENT
        if truth.incarnation in known:
            return ReportOrder.PAST
        latest = (*known, truth.incarnation)[-PAST_INCARNATIONS:]
        self.incarnations[truth.server] = latest
        if len(self.incarnations) > self.timing.max_servers:
            self.incarnations.popitem(last=False)
        return ReportOrder.RESTARTED if known else ReportOrder.CURRENT
