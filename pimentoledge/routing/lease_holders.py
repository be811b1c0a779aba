"""The task that holds the lease and gives orders while it does."""

import asyncio
import math

import logbook

from pimentoledge.platform import orders
from pimentoledge.platform import stores
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import leases
from pimentoledge.routing import log_lines
from pimentoledge.routing import peers as peers_module
from pimentoledge.routing import registrations
from pimentoledge.routing import rollouts
from pimentoledge.routing import server_permits
from pimentoledge.routing import supervised_tasks

logger = logbook.Logger("holder")

KIND = "router-leases"
NAME = "orders"
STEP_SECONDS = 0.03
# Additional wait per rank before a router takes the lease.
RANK_SECONDS = 0.4
# Time between the announcement of a load, at which routers stop sending
# requests to the runner, and the order to load.
NOTICE_SECONDS = 0.02
# How long routers avoid a runner that loads, unless the store shows earlier
# that the load is done.
AVOID_SECONDS = 0.9
# Longest wait of an order for a permit. The runner gets no requests meanwhile.
PERMIT_SECONDS = 3.0
# Interval between calls to a store that does not answer.
RETRY_SECONDS = 0.4


class LeaseHolder:
    """Takes the lease when orders are due and no other router gives them.

    Attributes:
        view: the router's view of the cluster.
        lease: the router's cached state of the lease.
        rollout: decides which orders are due.
        store: the store's client.
        runners: client that sends orders to runners.
        permits: enforce the limits that runners have advertised.
        peers: the other routers.
        lines: log for decisions.
    """

    def __init__(
        self,
        *,
        view: cluster_views.ClusterView,
        lease: leases.Lease,
        rollout: rollouts.Rollout,
        store: stores.StoreClient,
        runners: orders.RunnerClient,
        permits: server_permits.Permits,
        peers: peers_module.PeerMessenger,
        lines: log_lines.Lines,
    ):
        self.view = view
        self.lease = lease
        self.rollout = rollout
        self.store = store
        self.runners = runners
        self.permits = permits
        self.peers = peers
        self.lines = lines
        self._due_since: float | None = None
        self._task: asyncio.Task | None = None
        self._orders: set[asyncio.Task] = set()

    def start(self) -> None:
        """Starts the task."""
        self._task = supervised_tasks.start("lease holder", self._run())

    def close(self) -> None:
        """Stops the task, and cancels orders in flight."""
        if self._task is not None:
            self._task.cancel()
        for each in self._orders:
            each.cancel()

    async def _run(self) -> None:
        await self._read()
        while True:
            try:
                await self._step(clocks.now())
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("defect")
            await asyncio.sleep(STEP_SECONDS)

    async def _step(self, now: float) -> None:
        if not self.rollout.needed():
            self._due_since = None
            return
        if not self._is_turn(now):
            return
        match self.lease.step(now):
            case leases.Step.READ:
                await self._read()
            case leases.Step.WRITE:
                await self._write(now)
            case leases.Step.ORDER | leases.Step.WAIT:
                pass
        if self.lease.may_order(clocks.now()):
            self._start_orders(clocks.now())

    def _is_turn(self, now: float) -> bool:
        """Returns whether this router should act on the lease.

        The current holder acts at once, the others after it in order of rank.
        None acts while it receives the holder's heartbeats.
        """
        if self._due_since is None:
            self._due_since = now
        if self.lease.holds(now):
            return True
        if self.peers.holder_heartbeats.holder_is_alive(now):
            self._due_since = now
            return False
        return now - self._due_since >= RANK_SECONDS * self._rank(now)

    def _rank(self, now: float) -> int:
        """Returns how many live routers should act before this one."""
        if self.lease.held_by == self.lease.holder:
            return 0
        mine = (self.view.leaving, self.peers.address)
        better = [
            address
            for address, peer in self.peers.roster.present(now).items()
            if peer.heartbeat.store_reached
            and (peer.heartbeat.leaving, address) < mine
        ]
        return len(better) + (1 if self.lease.held_by else 0)

    def busy(self) -> bool:
        """Returns whether this router holds the lease and has orders to give.

        A router that shuts down then continues as long as it may: a successor
        would first have to wait until no order of this router can be too close
        to its own.
        """
        return self.lease.holds(clocks.now()) and self.rollout.needed()

    async def _read(self) -> None:
        stored = await self.store.read(KIND, NAME)
        if isinstance(stored, registrations.Unavailable):
            await asyncio.sleep(RETRY_SECONDS)
            return
        self.lease.learn(stored, clocks.now())
        self.lines.write(
            "lease_read",
            holder=self.lease.held_by,
            era=self.lease.era,
            revision=self.lease.revision,
            fence=self.lease.fence,
        )

    async def _write(self, now: float) -> None:
        before, former_fence = self.lease.held_by, self.lease.fence
        quiet_ms = math.ceil(self.lease.quiet_seconds_at(now) * 1000)
        outcome = await self.store.write(
            KIND,
            NAME,
            {
                "holder": self.lease.holder,
                "sent": now,
                "era": self.lease.era,
                "quiet_ms": quiet_ms,
            },
            revision=self.lease.revision or None,
        )
        match outcome:
            case registrations.Stored():
                self.lease.learn_era(outcome.era, clocks.now())
                self.lease.record_write(
                    outcome, now, quiet_seconds=quiet_ms / 1000
                )
                if self.lease.fence != former_fence:
                    self.lines.write(
                        "lease_taken",
                        before=before,
                        former_fence=former_fence,
                        fence=self.lease.fence,
                        quiet_s=round(
                            max(0.0, self.lease.quiet_until - now), 2
                        ),
                    )
                    self.peers.send_heartbeat_soon()
            case registrations.Conflict(found=current, era=era):
                held_era = self.lease.era
                if current is None:
                    self.lease.learn_era(era, clocks.now())
                    self.lease.mark_unknown()
                else:
                    self.lease.learn(current, clocks.now())
                self.lines.write(
                    "lease_conflict",
                    before=before,
                    holder=self.lease.held_by,
                    revision=self.lease.revision,
                    era=era,
                    held_era=held_era,
                )
            case registrations.Unavailable(reason=reason):
                self.lines.write("lease_write_failed", why=reason)
                self.lease.mark_unknown()
                await asyncio.sleep(RETRY_SECONDS)

    def _start_orders(self, now: float) -> None:
        due = self.rollout.due(now)
        if not due:
            return
        for each in due:
            progress = self.rollout.progress_of(each.backend)
            progress.calling = True
            each.backend.loading_until = now + AVOID_SECONDS
            task = asyncio.get_running_loop().create_task(
                self._send_order(each)
            )
            self._orders.add(task)
            task.add_done_callback(self._orders.discard)
        self.peers.send_heartbeat_soon()

    async def _send_order(self, due: rollouts.DueLoad) -> None:
        """Sends one order and records its verdict."""
        verdict = rollouts.OrderVerdict.UNREACHED
        order = None
        try:
            await asyncio.sleep(NOTICE_SECONDS)
            match await self._prepare_order(due):
                case rollouts.LoadOrder() as order:
                    verdict = await self.runners.load(
                        due.backend.registration, order
                    )
                case rollouts.OrderVerdict() as verdict:
                    pass
        finally:
            now = clocks.now()
            self.rollout.note_verdict(due, verdict, now)
            if verdict is not rollouts.OrderVerdict.TAKEN:
                due.backend.loading_until = 0.0
            self.lines.write(
                "order",
                server=due.backend.registration.incarnation,
                model=due.model,
                version=due.version,
                fence=None if order is None else order.fence,
                verdict=verdict,
            )

    async def _acquire_permit(self, backend: backends.Backend) -> bool:
        """Returns whether a call to a runner is permitted; waits for its limit.

        During the wait the runner is announced as loading, so that requests do
        not use up its limit before the order.
        """
        until = clocks.now() + PERMIT_SECONDS
        while True:
            permit = await self.permits.acquire(backend)
            now = clocks.now()
            if permit.granted or backend.limited_until > until:
                return permit.granted
            backend.loading_until = backend.limited_until + AVOID_SECONDS
            self.peers.send_heartbeat_soon()
            await asyncio.sleep(backend.limited_until - now)

    async def _prepare_order(
        self, due: rollouts.DueLoad
    ) -> rollouts.LoadOrder | rollouts.OrderVerdict:
        """Returns the order to send, or why none is."""
        progress = self.rollout.progress_of(due.backend)
        registration = due.backend.registration
        if progress.orders_taken is None:
            if not await self._acquire_permit(due.backend):
                return rollouts.OrderVerdict.UNREACHED
            reported = await self.runners.report(registration)
            if isinstance(reported, registrations.Unavailable):
                return rollouts.OrderVerdict.UNREACHED
            if due.backend.is_other_incarnation(reported.born):
                return rollouts.OrderVerdict.UNREACHED
            progress.orders_taken = reported.orders_taken
            if reported.weights.get(due.model, 0) >= due.version:
                return rollouts.OrderVerdict.HOLDS
        if not await self._acquire_permit(due.backend):
            return rollouts.OrderVerdict.UNREACHED
        now = clocks.now()
        if due.backend.is_leaving() or due.backend.is_backing_off(now):
            return rollouts.OrderVerdict.UNREACHED
        # The lease is checked last because the report may have taken long.
        if not self.lease.may_order(now):
            return rollouts.OrderVerdict.UNREACHED
        return rollouts.LoadOrder(
            model=due.model,
            version=due.version,
            fence=self.lease.fence,
            orders_taken=progress.orders_taken,
        )
