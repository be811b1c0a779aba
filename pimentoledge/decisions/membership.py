"""Selects the declared backend servers that may get new requests.

Three sources are combined. Only a declaration admits a server. The platform's
list of VMs and the entry's own observations (refused connections, timeouts,
changed incarnations, an agent's report that it is leaving) may only exclude a
server or delay requests to it.
"""

import collections
import enum
import math
import random

import attrs

from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.nodes import messages

# Number of incarnations stored for one server. A report that names one of the
# earlier incarnations is a late message.
PAST_INCARNATIONS = 4


@attrs.frozen(kw_only=True)
class BackoffTiming:
    """Times and bounds of the backoff of servers; all times in seconds.

    Attributes:
        first: backoff after the first failure.
        longest: maximum backoff.
        trial: how long a trial request in flight blocks other requests to
            the same server.
        last_resort: minimum time between trials of a server in backoff when
            no other server is usable.
        forget: time without failure that lowers the failure count by one.
        probe: time between probes of a server that accepts no new requests.
        max_servers: maximum number of servers with stored state.
    """

    first: float = 0.25
    longest: float = 30.0
    trial: float = 1.0
    last_resort: float = 0.5
    forget: float = 60.0
    probe: float = 1.0
    max_servers: int = 16384


class ReportOrder(enum.StrEnum):
    """How an agent's report relates to the server's known incarnations."""

    CURRENT = "current"
    RESTARTED = "restarted"
    # A late message: its incarnation is known to have ended.
    PAST = "past"


@attrs.define(kw_only=True)
class FailureRecord:
    """Failures and unavailability of one server; absent for a healthy one.

    Attributes:
        failures: failure count; it decays with time.
        decay_from: start of the interval after which `failures` drops by
            one.
        backoff_until: end of the backoff.
        soft: whether only timeouts caused the backoff.
        down: whether the server failed and has not answered since.
        failed_at: time of the last hard failure.
        tried_at: when the trial request in flight was sent; it blocks other
            requests.
        closed: whether the agent reported that it accepts no new requests.
        loading: whether it is closed only while it loads weights.
        left_at: time of the agent's last report that it is leaving.
        probe_at: when to probe a closed server again.
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
    """One entry's state of the declared servers.

    Attributes:
        timing: times and bounds.
        failure_records: FailureRecord by server name, oldest first.
        incarnations: recent incarnations by server name, newest last.
        leaving_vms: addresses that the platform lists as leaving.
        missing_vms: time of first absence, by address that was listed
            before and no longer is.
        known_vms: addresses in the latest list.
        next_probe: when to probe a closed server again; None for never.
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
        """Returns the servers that may get new requests.

        Args:
            servers: declared servers, such as those of one model.
            now: monotonic seconds.

        Returns:
            The healthy servers and those due for a trial. If there are none,
            the servers in backoff because of timeouts only; if there are
            none of these either, at most one server that is due for a
            last-resort trial.
        """
        declared = [
            each
            for each in servers
            if each.state is declarations.ServerState.IN
        ]
        listed = self._not_leaving_by_list(declared)
        records = self.failure_records
        selected = [
            each
            for each in listed
            if each.name not in records
            or self._accepts_work(records[each.name], now)
        ]
        selected = self._without_missing(selected)
        if selected:
            return selected
        return self._last_resort(listed, now)

    def record_dispatch(self, server: str, now: float) -> None:
        """Records a request sent to a server, which may be its trial."""
        record = self.failure_records.get(server)
        if record is not None and record.down:
            record.tried_at = now

    def record_refusal(self, server: str, now: float) -> None:
        """Records a refused connection or a report that the engine is down.

        Args:
            server: the server's name.
            now: monotonic seconds.
        """
        self._record_failure(server, now, soft=False)

    def record_timeout(self, server: str, now: float) -> None:
        """Records a timeout, which is weak evidence of a failure."""
        self._record_failure(server, now, soft=True)

    def record_report(
        self, report: messages.ServerStatus, now: float
    ) -> ReportOrder:
        """Records an agent's report about its server.

        Args:
            report: the agent's report.
            now: monotonic seconds.

        Returns:
            Whether the report is from the current engine, a new one, or one
            known to have ended; in the last case nothing is changed.
        """
        if not report.incarnation:
            self._update_closed(report, now)
            self._record_failure(report.server, now, soft=False)
            return ReportOrder.CURRENT
        order = self._update_incarnation(report)
        if order is ReportOrder.PAST:
            return order
        self._update_closed(report, now)
        record = self.failure_records.get(report.server)
        was_down = record is not None and record.down
        if order is ReportOrder.RESTARTED and not was_down:
            self._record_restart(report.server, now)
        elif record is not None:
            self._record_recovery(report.server, record, now)
        return order

    def update_vms(self, states: list[events.ListedVm], now: float) -> None:
        """Applies the platform's list of VMs.

        A VM that is no longer listed is weak evidence only: the list lags
        and may be truncated. A VM that was never listed may be newer than
        the list; its declaration admits it.

        Args:
            states: the whole list.
            now: monotonic seconds.
        """
        listed = frozenset(each.address for each in states)
        self.leaving_vms = frozenset(
            each.address for each in states if each.leaving
        )
        unlisted = (self.known_vms | self.missing_vms.keys()) - listed
        missing = sorted(
            unlisted, key=lambda each: self.missing_vms.get(each, now)
        )
        self.missing_vms = {
            each: self.missing_vms.get(each, now)
            for each in missing[-self.timing.max_servers :]
        }
        self.known_vms = listed

    def due_probes(self, now: float) -> list[str]:
        """Returns closed servers whose agents are due for a probe.

        Each is returned at most once in `timing.probe` seconds. Probes are
        separate messages, so that no request is risked on a server that is
        leaving.

        Args:
            now: monotonic seconds.
        """
        if self.next_probe is None or now < self.next_probe:
            return []
        due = []
        closed = []
        for name, record in self.failure_records.items():
            if not record.closed:
                continue
            if now >= record.probe_at:
                record.probe_at = now + self.timing.probe
                due.append(name)
            closed.append(record.probe_at)
        self.next_probe = min(closed, default=None)
        return due

    def next_wake(self) -> float | None:
        """Returns when to call `due_probes`; None for never."""
        return self.next_probe

    def incarnation(self, server: str) -> str:
        """Returns the newest reported engine incarnation; empty for none."""
        known = self.incarnations.get(server)
        return known[-1] if known else ""

    def _accepts_work(self, record: FailureRecord, now: float) -> bool:
        if record.closed or now < record.backoff_until:
            return False
        on_trial = record.down and now < record.tried_at + self.timing.trial
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
        # A truncated list would exclude every server at once, though their
        # agents still answer. So a missing VM is excluded only while another
        # server is left to take the requests.
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
        in_backoff = [
            (self.failure_records[each.name], each)
            for each in servers
            if self._may_come_back(self.failure_records[each.name])
        ]
        soft = [each for record, each in in_backoff if record.soft]
        if soft:
            return soft
        # All servers failed hard, as when every engine of a model restarts
        # at once. Without a retry here, requests would wait for the end of a
        # long backoff although an engine is up again.
        due = []
        for record, each in in_backoff:
            latest = max(record.failed_at, record.tried_at)
            if now >= latest + self.timing.last_resort:
                due.append((latest, each.name, each))
        if not due:
            return []
        longest_ago = min(due, key=lambda each: each[:2])
        return [longest_ago[2]]

    def _may_come_back(self, record: FailureRecord) -> bool:
        return record.loading or not record.closed

    def _failure_record(self, server: str, now: float) -> FailureRecord:
        record = self.failure_records.get(server)
        if record is None:
            record = FailureRecord(decay_from=now)
            self.failure_records[server] = record
            if len(self.failure_records) > self.timing.max_servers:
                self.failure_records.popitem(last=False)
        self._decay_failures(record, now)
        return record

    def _decay_failures(self, record: FailureRecord, now: float) -> None:
        rounds = int((now - record.decay_from) / self.timing.forget)
        if rounds > 0:
            record.failures = max(0, record.failures - rounds)
            record.decay_from += rounds * self.timing.forget

    def _record_failure(self, server: str, now: float, *, soft: bool) -> None:
        record = self._failure_record(server, now)
        if not soft:
            record.failed_at = now
        record.tried_at = -math.inf
        if now < record.backoff_until:
            # The many requests that fail together when one engine dies count
            # as one failure. A hard failure still overrides timeouts.
            record.soft = record.soft and soft
            return
        record.soft = soft
        record.down = True
        self._start_backoff(record, now)

    def _record_restart(self, server: str, now: float) -> None:
        record = self._failure_record(server, now)
        if record.failures > 0:
            record.soft = False
            self._start_backoff(record, now)
            return
        # The first restart causes no backoff, as the engine is answering.
        record.failures = 1
        record.decay_from = now

    def _start_backoff(self, record: FailureRecord, now: float) -> None:
        doubled = self.timing.first * 2.0 ** min(record.failures, 32)
        record.failures = min(record.failures + 1, 32)
        record.decay_from = now
        wait = min(doubled, self.timing.longest)
        # Without jitter all entries would retry a server at the same time.
        record.backoff_until = now + wait * self._random.uniform(0.75, 1.25)

    def _record_recovery(
        self, server: str, record: FailureRecord, now: float
    ) -> None:
        self._decay_failures(record, now)
        if now < record.backoff_until and not record.soft:
            # This may be a late answer, sent before the engine died. It must
            # not end the backoff.
            return
        record.down = False
        record.backoff_until = 0.0
        record.tried_at = -math.inf
        if record.failures == 0 and not record.closed:
            del self.failure_records[server]

    def _update_closed(self, report: messages.ServerStatus, now: float) -> None:
        if report.leaving or report.loading:
            record = self._failure_record(report.server, now)
            if not record.closed:
                record.probe_at = now + self.timing.probe
                self.next_probe = min(
                    record.probe_at, self.next_probe or math.inf
                )
            record.closed = True
            record.loading = not report.leaving
            if report.leaving:
                record.left_at = now
            return
        record = self.failure_records.get(report.server)
        # A delayed report that the agent sent before it began to leave must
        # not reopen the server. One delayed by more than `probe` seconds costs
        # only a refusal by the agent, whose next report closes it again.
        if record is not None and now >= record.left_at + self.timing.probe:
            record.closed = False

    def _update_incarnation(self, report: messages.ServerStatus) -> ReportOrder:
        known = self.incarnations.get(report.server, ())
        if known and known[-1] == report.incarnation:
            return ReportOrder.CURRENT
        if report.incarnation in known:
            return ReportOrder.PAST
        latest = (*known, report.incarnation)[-PAST_INCARNATIONS:]
        self.incarnations[report.server] = latest
        if len(self.incarnations) > self.timing.max_servers:
            self.incarnations.popitem(last=False)
        return ReportOrder.RESTARTED if known else ReportOrder.CURRENT
