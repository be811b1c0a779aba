"""Reconciles an engine with its declared state by orders.

Only the agent on the engine's host sends orders, one at a time. Each order
needs a fencing number; a load of weights also needs a permit and an engine
without work. An order counts as done when the engine's status shows its
effect, not when the engine accepted it.
"""

import math
import random

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import fencing
from pimentoledge.decisions import permits
from pimentoledge.decisions import stores
from pimentoledge.runners import messages

LOAD = "load"
ADD_ADAPTER = "add_adapter"
DROP_ADAPTER = "drop_adapter"
ROLE = "role"
FENCED = "fenced"
_PERMIT_KINDS = {
    LOAD: permits.PermitKind.WEIGHTS,
    ADD_ADAPTER: permits.PermitKind.ADAPTER,
}


@attrs.frozen(kw_only=True)
class OrderTiming:
    """Times in seconds.

    Attributes:
        done: longest wait for the status to show an accepted order.
        unknown: longest wait for an order that was not answered.
        retry: delay after a refused order.
        out: time that an engine is down before its permit entry becomes
            "out".
    """

    done: float = 60.0
    unknown: float = 5.0
    retry: float = 0.5
    out: float = 5.0


@attrs.frozen(kw_only=True)
class Target:
    """The next step towards the declared state.

    Attributes:
        kind: kind of the order.
        value: weights version, adapter or role.
    """

    kind: str
    value: str


@attrs.define(kw_only=True)
class PendingOrder:
    """An order that was sent and that the status does not show yet.

    Attributes:
        target: the intended effect.
        order: the order.
        incarnation: incarnation of the engine that it was sent to.
        until: timeout of the wait.
    """

    target: Target
    order: messages.Order
    incarnation: str
    until: float


class Orders:
    """Sends the orders of one start of an agent.

    Attributes:
        server: the backend server's name.
        address: this agent's mailbox, compared with the declared one.
        timing: timeouts and delays.
        tenure: the fencing number, which gives the right to send orders.
        permits: this server's entry in the permit table.
        declared: the server's declaration; None before it is known.
        model: the declaration of the model that it serves.
        runners: number of runners of the model that are declared in; 0 if
            unknown.
        status: the engine's latest status.
        down_since: when the engine went down; None while it is up.
        running: requests in the engine or waiting at this agent.
        adapters_in_use: adapters of those requests.
        pending: the order in progress.
        closing: whether new work is refused because of a load.
        retiring: whether the process is shutting down; no further order is
            sent.
        not_before: earliest time of the next order.
    """

    def __init__(
        self,
        *,
        server: str,
        life: str,
        address: str,
        seed: int,
        timing: OrderTiming | None = None,
    ):
        generator = random.Random(f"{seed}/{server}")
        self.server = server
        self.address = address
        self.timing = timing or OrderTiming()
        self.tenure = fencing.Tenure(
            server=server, life=life, generator=generator
        )
        self.permits = permits.LoadPermits(
            server=server, life=life, generator=generator
        )
        self.declared: declarations.BackendServer | None = None
        self.model: declarations.Model | None = None
        self.runners = 0
        self.status: events.EngineStatus | None = None
        self.down_since: float | None = None
        self.running = 0
        self.adapters_in_use: frozenset[str] = frozenset()
        self.pending: PendingOrder | None = None
        self.closing = False
        self.retiring = False
        self.not_before = -math.inf
        self._stepped_at = -math.inf

    def declare(
        self,
        *,
        server: declarations.BackendServer | None,
        model: declarations.Model | None,
        runners: int,
        now: float,
    ) -> list[actions.Action]:
        """Updates the declarations.

        Args:
            server: this server's declaration; None if there is none.
            model: its model's declaration; None if there is none.
            runners: number of runners of the model that are declared in; 0
                if unknown, in which case no order is sent.
            now: monotonic seconds.
        """
        self.declared = server
        self.model = model
        self.runners = runners
        return self._step(now)

    def work(
        self, *, running: int, adapters: frozenset[str], now: float
    ) -> list[actions.Action]:
        """Updates the number of requests and the adapters that they use."""
        drained = self.closing and running == 0
        freed = self.adapters_in_use - adapters
        self.running = running
        self.adapters_in_use = adapters
        return self._step(now) if drained or freed else []

    def retire(self, now: float) -> list[actions.Action]:
        """Stops sending orders; a load in progress keeps its permit."""
        self.retiring = True
        return self._step(now)

    def held(self) -> bool:
        """Returns whether the process should not exit yet.

        It waits for the order in progress and for the release of its permit.
        It does not wait for a store that is down: the permit is then released
        by the agent's next start or expires.
        """
        entry_left = self._has_entry() and not self.permits.unreachable
        return self.pending is not None or entry_left

    def owns(self, answer: stores.StoreAnswer) -> bool:
        """Returns whether the store's answer is to one of its calls."""
        return self.tenure.update.owns(answer) or self.permits.owns(answer)

    def handle(
        self,
        event: events.EngineStatus | events.OrderDone | stores.StoreAnswer,
        now: float,
    ) -> list[actions.Action]:
        """Handles an event; of the store's answers only those it `owns`."""
        todo: list[actions.Action] = []
        match event:
            case events.EngineStatus():
                self._handle_status(event, now)
            case events.OrderDone():
                self._handle_done(event, now)
            case stores.StoreAnswer() if self.tenure.update.owns(event):
                todo = self.tenure.handle(event, now)
            case stores.StoreAnswer():
                todo = self.permits.handle(event, now)
        return todo + self._step(now)

    def next_wake(self) -> float | None:
        """Returns when to call `wake`; None for never."""
        waits = [self.not_before, self.tenure.retry_at]
        if self.down_since is not None:
            waits.append(self.down_since + self.timing.out)
        # Times up to the last step were handled in it. Returning them again
        # would make the daemon wake up in a busy loop.
        times = [each for each in waits if each > self._stepped_at]
        if self.pending is not None:
            times.append(self.pending.until)
        calls = [self.tenure.next_wake()]
        if self._is_declared_agent() or self._has_entry():
            calls.append(self.permits.next_wake())
        times += [each for each in calls if each is not None]
        return min(times, default=None)

    def wake(self, now: float) -> list[actions.Action]:
        """Runs the timers that are due."""
        return self.tenure.wake(now) + self._step(now)

    def _handle_status(self, status: events.EngineStatus, now: float) -> None:
        self.status = status
        if status.incarnation:
            self.down_since = None
        elif self.down_since is None:
            self.down_since = now
        pending = self.pending
        if pending is None:
            return
        # A restarted engine has lost the order and is back at the weights that
        # it was started with.
        restarted = status.incarnation != pending.incarnation
        if restarted or _status_shows(status, pending.target):
            self.pending = None

    def _handle_done(self, done: events.OrderDone, now: float) -> None:
        pending = self.pending
        if pending is None or done.order != pending.order:
            return
        if done.answer is None:
            # It may have been carried out. If the status does not show it in
            # time, it is sent again, which is harmless.
            pending.until = now + self.timing.unknown
            return
        if done.answer.accepted:
            pending.until = now + self.timing.done
            return
        self.pending = None
        self.not_before = now + self.timing.retry
        if done.answer.reason == FENCED:
            self.tenure.mark_fenced(done.answer.highest)

    def _step(self, now: float) -> list[actions.Action]:
        self._stepped_at = now
        if self.pending is not None and now >= self.pending.until:
            self.pending = None
        if not self._is_declared_agent():
            return self._withdraw(now)
        target = self._next_target()
        self.permits.set_want(self._wanted_permit(target, now))
        todo = []
        if self._needs_number(target):
            todo += self.tenure.acquire(now)
        self.permits.number = self.tenure.number
        todo += self.permits.wake(now)
        self.closing = self._must_close(target)
        if target is not None and self.pending is None:
            todo += self._try_order(target, now)
        return todo

    def _is_declared_agent(self) -> bool:
        """Returns whether this is the declared agent of a runner in service.

        A process has its mailbox's address exclusively until it exits. So of
        two agents of one server at most one has the declared address, and a
        suspended process with that address prevents another one from starting
        there.
        """
        return (
            self.declared is not None
            and self.model is not None
            and self.runners > 0
            and self.declared.agent == self.address
            and self.declared.state is declarations.ServerState.IN
            and self.declared.kind is declarations.ServerKind.RUNNER
        )

    def _withdraw(self, now: float) -> list[actions.Action]:
        # An engine that is taken out of service during a load goes on loading.
        # If its permit were released at once, another runner could load
        # beyond the limit; so it is kept until the status shows the load.
        loading = self.pending is not None
        self.closing = loading and self.pending.target.kind == LOAD
        if not self._has_entry():
            return []
        if not loading:
            self.permits.set_want(None)
        return self.permits.wake(now)

    def _has_entry(self) -> bool:
        return self.permits.mine is not None and self.tenure.number > 0

    def _next_target(self) -> Target | None:
        status = self.status
        if self.retiring or status is None or not status.incarnation:
            return None
        if status.role != self.declared.role:
            return Target(kind=ROLE, value=self.declared.role)
        if status.weights != self.model.weights:
            return Target(kind=LOAD, value=self.model.weights)
        for adapter in status.adapters:
            unused = adapter not in self.adapters_in_use
            if adapter not in self.model.adapters and unused:
                return Target(kind=DROP_ADAPTER, value=adapter)
        for adapter in self.model.adapters:
            if adapter not in status.adapters:
                return Target(kind=ADD_ADAPTER, value=adapter)
        return None

    def _is_out(self, now: float) -> bool:
        since = self.down_since
        return since is not None and now >= since + self.timing.out

    def _wanted_permit(
        self, target: Target | None, now: float
    ) -> permits.WantedPermit | None:
        if self.pending is not None:
            target = self.pending.target
        kind = _PERMIT_KINDS.get(target.kind) if target else None
        if self._is_out(now) and not self.retiring:
            kind = permits.PermitKind.OUT
        if kind is None:
            return None
        return permits.WantedPermit(
            kind=kind,
            model=self.model.name,
            limit=self.model.concurrent_loads,
            runners=self.runners,
            serving=bool(self.status.incarnation and self.status.weights),
        )

    def _needs_number(self, target: Target | None) -> bool:
        if self.tenure.number:
            return False
        return (
            target is not None
            or self.permits.want is not None
            or self.permits.mine is not None
        )

    def _must_close(self, target: Target | None) -> bool:
        if self.pending is not None:
            return self.pending.target.kind == LOAD
        loading = target is not None and target.kind == LOAD
        return loading and self.permits.granted()

    def _try_order(self, target: Target, now: float) -> list[actions.Action]:
        """Sends the order if all its preconditions are met."""
        if self.tenure.number == 0 or now < self.not_before:
            return []
        needs_permit = target.kind in _PERMIT_KINDS
        if needs_permit and not self.permits.granted():
            return []
        if target.kind == LOAD and self.running > 0:
            return []
        if needs_permit and not self.permits.fresh(now):
            self.permits.renew(now)
            return self.permits.wake(now)
        # An engine that ignores fencing numbers, or lost its number in a
        # crash, would carry out the order of an agent that was suspended and
        # superseded. The stored record shows the successor, so it is read
        # just before the order is sent. That leaves a suspension between the
        # read and the send; the status shows its effect afterwards.
        if not self.tenure.fresh(now):
            return self.tenure.confirm(now)
        return self._send_order(target, now)

    def _send_order(self, target: Target, now: float) -> list[actions.Action]:
        order = messages.Order(
            kind=target.kind, value=target.value, fencing=self.tenure.number
        )
        self.pending = PendingOrder(
            target=target,
            order=order,
            incarnation=self.status.incarnation,
            until=now + self.timing.done,
        )
        self.closing = self._must_close(target)
        fields = {
            "server": self.server,
            "order": target.kind,
            "value": target.value,
            "fencing": order.fencing,
            "incarnation": self.status.incarnation,
        }
        return [
            actions.LogDecision(kind="order", fields=fields),
            actions.OrderEngine(order=order),
        ]


def _status_shows(status: events.EngineStatus, target: Target) -> bool:
    match target.kind:
        case "load":
            return status.weights == target.value
        case "add_adapter":
            return target.value in status.adapters
        case "drop_adapter":
            return target.value not in status.adapters
        case _:
            return status.role == target.value
