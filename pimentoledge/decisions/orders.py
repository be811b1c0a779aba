"""Which orders an agent gives to its engine, and when.

The declared state says what the engine should have. The agent beside the
engine alone gives orders, one at a time: only with a fencing number, a load
only with a permit and without work in the engine. An order counts as done
when the engine's status shows it, not when it was accepted.
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
        unknown: the same for an order whose answer did not come.
        retry: wait after a refused order.
        out: time an engine is down before the permits say so.
    """

    done: float = 60.0
    unknown: float = 5.0
    retry: float = 0.5
    out: float = 5.0


@attrs.frozen(kw_only=True)
class Target:
    """One order that would bring the engine nearer to its declaration."""

    kind: str
    value: str


@attrs.define(kw_only=True)
class Given:
    """An order that was given and is not yet shown by the status.

    Attributes:
        target: what it is to bring about.
        order: the order itself.
        incarnation: the engine's life that it was given to.
        until: when to stop waiting for it.
    """

    target: Target
    order: messages.Order
    incarnation: str
    until: float


class Orders:
    """Gives the orders of one agent life.

    Attributes:
        server: the backend server's name.
        address: this agent's mailbox, as it would be declared.
        timing: times.
        tenure: the right to give orders.
        permits: the entry in the object of permits.
        declared: the server's declaration; None before it is known.
        model: the declaration of the model that it serves.
        runners: how many runners of the model are declared in; 0 while that
            is not known.
        status: what the engine said last.
        down_since: when the engine went down; None while it is up.
        running: requests in the engine or waiting at this agent.
        adapters_in_use: adapters of those requests.
        given: the order under way.
        closing: whether new work is refused, for a load.
        retiring: whether the process shall end: no further order is given.
        not_before: earliest next order.
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
        self.given: Given | None = None
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
        """Takes in what is declared now.

        Args:
            server: this server's declaration; None when it has none.
            model: its model's declaration; None when it has none.
            runners: how many runners of the model are declared in; 0 for not
                known, and then nothing is ordered.
            now: monotonic seconds.
        """
        self.declared = server
        self.model = model
        self.runners = runners
        return self._step(now)

    def work(
        self, *, running: int, adapters: frozenset[str], now: float
    ) -> list[actions.Action]:
        """Takes in how many requests the engine and the queue hold."""
        drained = self.closing and running == 0
        freed = self.adapters_in_use - adapters
        self.running = running
        self.adapters_in_use = adapters
        return self._step(now) if drained or freed else []

    def retire(self, now: float) -> list[actions.Action]:
        """Gives no further order; a load that runs keeps its permit."""
        self.retiring = True
        return self._step(now)

    def held(self) -> bool:
        """Returns whether the process should not end yet.

        It waits for an order that runs, and to give its permit back. It does
        not wait for a store that is down: its next life, or time, frees the
        permit.
        """
        leaves = self._leaves_entry() and not self.permits.unreachable
        return self.given is not None or leaves

    def owns(self, answer: stores.StoreAnswer) -> bool:
        """Returns whether the store's answer is to one of its calls."""
        return self.tenure.update.owns(answer) or self.permits.owns(answer)

    def handle(
        self,
        event: events.EngineStatus | events.OrderDone | stores.StoreAnswer,
        now: float,
    ) -> list[actions.Action]:
        """Takes an event; answers of the store only where it `owns` them."""
        found: list[actions.Action] = []
        match event:
            case events.EngineStatus():
                self._shown(event, now)
            case events.OrderDone():
                self._done(event, now)
            case stores.StoreAnswer() if self.tenure.update.owns(event):
                found = self.tenure.handle(event, now)
            case stores.StoreAnswer():
                found = self.permits.handle(event, now)
        return found + self._step(now)

    def next_wake(self) -> float | None:
        """Returns when to call `wake`; None for never."""
        waits = [self.not_before, self.tenure.retry_at]
        if self.down_since is not None:
            waits.append(self.down_since + self.timing.out)
        # What was due at the last step was done there; it is named again
        # only if it is still to come, or the daemon would spin.
        times = [each for each in waits if each > self._stepped_at]
        if self.given is not None:
            times.append(self.given.until)
        calls = [self.tenure.next_wake()]
        if self._in_charge() or self._leaves_entry():
            calls.append(self.permits.next_wake())
        times += [each for each in calls if each is not None]
        return min(times, default=None)

    def wake(self, now: float) -> list[actions.Action]:
        """Does what is due by now."""
        return self.tenure.wake(now) + self._step(now)

    def _shown(self, status: events.EngineStatus, now: float) -> None:
        self.status = status
        if status.incarnation:
            self.down_since = None
        elif self.down_since is None:
            self.down_since = now
        given = self.given
        if given is None:
            return
        # An engine that died has forgotten the order, and comes back with
        # the weights that it was started with.
        died = status.incarnation != given.incarnation
        if died or _shows(status, given.target):
            self.given = None

    def _done(self, done: events.OrderDone, now: float) -> None:
        given = self.given
        if given is None or done.order != given.order:
            return
        if done.answer is None:
            # It may have been carried out: the status tells, and after that
            # it is given again, which does no harm.
            given.until = now + self.timing.unknown
            return
        if done.answer.accepted:
            given.until = now + self.timing.done
            return
        self.given = None
        self.not_before = now + self.timing.retry
        if done.answer.reason == FENCED:
            self.tenure.mark_fenced(done.answer.highest)

    def _step(self, now: float) -> list[actions.Action]:
        self._stepped_at = now
        if self.given is not None and now >= self.given.until:
            self.given = None
        if not self._in_charge():
            return self._stand_back(now)
        target = self._target()
        self.permits.set_want(self._want(target, now))
        found = []
        if self._needs_number(target):
            found += self.tenure.acquire(now)
        self.permits.number = self.tenure.number
        found += self.permits.wake(now)
        self.closing = self._must_close(target)
        if target is not None and self.given is None:
            found += self._try(target, now)
        return found

    def _in_charge(self) -> bool:
        """Returns whether this agent is the one that is declared.

        A process holds its mailbox's address alone as long as it lives. So
        of two agents of one server at most one has the declared address, and
        a paused one that has it keeps any other from starting there.
        """
        return (
            self.declared is not None
            and self.model is not None
            and self.runners > 0
            and self.declared.agent == self.address
            and self.declared.state is declarations.ServerState.IN
            and self.declared.kind is declarations.ServerKind.RUNNER
        )

    def _stand_back(self, now: float) -> list[actions.Action]:
        # Taken out of service in mid-load, the engine goes on loading. With
        # its permit given back at once, another runner would load as well,
        # over the limit; so it is kept until the status shows the load.
        loading = self.given is not None
        self.closing = loading and self.given.target.kind == LOAD
        if not self._leaves_entry():
            return []
        if not loading:
            self.permits.set_want(None)
        return self.permits.wake(now)

    def _leaves_entry(self) -> bool:
        return self.permits.mine is not None and self.tenure.number > 0

    def _target(self) -> Target | None:
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

    def _out(self, now: float) -> bool:
        since = self.down_since
        return since is not None and now >= since + self.timing.out

    def _want(
        self, target: Target | None, now: float
    ) -> permits.WantedPermit | None:
        if self.given is not None:
            target = self.given.target
        kind = _PERMIT_KINDS.get(target.kind) if target else None
        if self._out(now) and not self.retiring:
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
        if self.given is not None:
            return self.given.target.kind == LOAD
        loading = target is not None and target.kind == LOAD
        return loading and self.permits.granted()

    def _try(self, target: Target, now: float) -> list[actions.Action]:
        """Gives the order if all that it needs is there."""
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
        # An engine that ignores the number, or forgot it in a crash, would
        # carry out the order of an agent that was paused and superseded. It
        # shows as another life in the object; reading that just before
        # leaves only a pause between the reading and the sending, and what
        # comes of that the status shows afterwards.
        if not self.tenure.fresh(now):
            return self.tenure.confirm(now)
        return self._give(target, now)

    def _give(self, target: Target, now: float) -> list[actions.Action]:
        order = messages.Order(
            kind=target.kind, value=target.value, fencing=self.tenure.number
        )
        self.given = Given(
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


def _shows(status: events.EngineStatus, target: Target) -> bool:
    match target.kind:
        case "load":
            return status.weights == target.value
        case "add_adapter":
            return target.value in status.adapters
        case "drop_adapter":
            return target.value not in status.adapters
        case _:
            return status.role == target.value
