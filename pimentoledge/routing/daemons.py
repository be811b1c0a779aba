"""The router daemon: its sockets and tasks on one event loop."""

import asyncio
from collections.abc import Iterator
import os
import signal
import socket
import sys

import logbook
import msgspec
from returns import result

from pimentoledge import results
from pimentoledge import settings
from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.platform import orders
from pimentoledge.platform import stores
from pimentoledge.routing import body_budgets
from pimentoledge.routing import buffer_budgets
from pimentoledge.routing import cache_monitors
from pimentoledge.routing import calls
from pimentoledge.routing import client_connections
from pimentoledge.routing import client_listeners
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import connection_limits
from pimentoledge.routing import connection_slots
from pimentoledge.routing import counters
from pimentoledge.routing import exchanges
from pimentoledge.routing import extra_responses
from pimentoledge.routing import head_budgets
from pimentoledge.routing import hedged_calls
from pimentoledge.routing import lease_holders
from pimentoledge.routing import leases
from pimentoledge.routing import liveness_checks
from pimentoledge.routing import load_controls
from pimentoledge.routing import log_lines
from pimentoledge.routing import loop_loads
from pimentoledge.routing import object_caches
from pimentoledge.routing import object_merges
from pimentoledge.routing import pages
from pimentoledge.routing import pauses
from pimentoledge.routing import peers
from pimentoledge.routing import rechecks
from pimentoledge.routing import rollouts
from pimentoledge.routing import server_connections
from pimentoledge.routing import server_notices
from pimentoledge.routing import server_permits
from pimentoledge.routing import slow_readers
from pimentoledge.routing import store_states
from pimentoledge.routing import supervised_tasks
from pimentoledge.routing import view_updaters
from pimentoledge.routing import watchers
from pimentoledge.routing.admission import gates
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.request_stages import contexts
from pimentoledge.routing.server_speeds import speed_metrics

logger = logbook.Logger("router")

TICK_SECONDS = 0.1
# The load balancer probes readiness every second and removes a VM after two
# failures; new clients connect until then.
BALANCER_REMOVAL_SECONDS = 2.6
# Time kept free at the end of the grace time, since everything must end before
# SIGKILL.
SHUTDOWN_MARGIN_SECONDS = 0.6
# Time to transmit the last responses before the sockets close.
FLUSH_SECONDS = 0.1
# A tick that is this late shows that the process was suspended.
PAUSE_SECONDS = 1.0
# Interval between checks of the settings file, which may change without SIGHUP.
SETTINGS_CHECK_SECONDS = 1.0
PAGE_LISTENERS = ("ready-listen", "metrics-listen")
BAD_SETTING_EXIT = 2
FAILURE_EXIT = 1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
CONFIG_VARIABLE = settings.ENVIRONMENT_PREFIX + "CONFIG"


class Router:
    """One router process.

    Attributes:
        chosen: the checked settings.
        view: cached state of the cluster.
        counters: the counters of the metrics endpoint.
        lines: writes the decision log.
        notices: applies what responses report about their servers.
        pool: connections to backend servers.
        client_slots: open connections of clients.
        page_slots: open connections of the balancer, and to the metrics.
        exchanges: requests in progress, also those whose clients disconnected.
        slow_readers: connections whose peers read slowly.
        buffers: counts the bytes held for exchanges.
        bodies: counts the bodies of requests.
        heads: counts the heads of requests.
        loop_load: load of the event loop, or None if it isn't measured.
        connection_limit: decides which connections of clients are accepted.
    """

    def __init__(
        self,
        *,
        chosen: settings.Settings,
        loop_load: loop_loads.LoopLoad | None = None,
    ):
        self.chosen = chosen
        self.loop_load = loop_load
        self.connection_limit = connection_limits.ConnectionLimit()
        self.counters = counters.Counters()
        self.lines = log_lines.Lines(counters=self.counters)
        self.view = cluster_views.ClusterView(
            name=chosen.text("name"),
            data_centre=chosen.text("data-centre"),
            started_at=clocks.now(),
            bounds=_bounds(chosen),
            load_control=load_controls.LoadControl(
                mode=load_controls.Mode(chosen.text("load-control"))
            ),
        )
        self.notices = server_notices.ServerNotices(
            servers=self.view.servers,
            limits=self.view.server_limits,
            lines=self.lines,
            limit_changed=lambda server: (
                self.peers.limit_reports.changed(server)
            ),
            arrived=lambda now: self.pauses.arrived(now),
        )
        self.pool = server_connections.ConnectionPool(
            on_extra=extra_responses.logger_to(self.lines)
        )
        self.buffers = buffer_budgets.BufferBudget(
            bound=buffer_budgets.bound_of(chosen.number("memory-mb"))
        )
        self.bodies = body_budgets.BodyBudget(
            bound=body_budgets.bound_of(chosen.number("memory-mb")),
            paused_bytes=client_listeners.RECEIVE_BUFFER_BYTES,
        )
        self.heads = head_budgets.HeadBudget(
            bound=head_budgets.bound_of(chosen.number("memory-mb"))
        )
        self.caller = calls.Caller(lines=self.lines)
        self.client_slots = connection_slots.ConnectionSlots()
        self.page_slots = {
            name: connection_slots.ConnectionSlots() for name in PAGE_LISTENERS
        }
        self._limit_connections()
        self.exchanges: set[exchanges.Exchange] = set()
        self.slow_readers = slow_readers.SlowReaders()
        self.store = stores.StoreClient(
            address=chosen.text("store-address"), caller=self.caller
        )
        self.updater = view_updaters.ViewUpdater(
            view=self.view,
            lines=self.lines,
            on_change=self._send_heartbeat,
            on_death=self._on_death,
            lapse_ends=self._lapse_ends,
            on_restart=self._restarted,
        )
        kinds = {
            "configuration": object_caches.ObjectCache(
                kind=names.CONFIGURATION_KIND,
                on_change=self.updater.apply_configuration,
                merge=object_merges.by_version(objects.configuration_version),
                keeps_missing=True,
            ),
            "servers": object_caches.ObjectCache(
                kind=names.SERVER_KIND,
                on_change=self.updater.apply_servers,
                merge=object_merges.registrations_merge(
                    objects.decode_registration, objects.heartbeat_count
                ),
            ),
            "weights": object_caches.ObjectCache(
                kind=names.WEIGHT_VERSION_KIND,
                on_change=self.updater.apply_weights,
                merge=object_merges.by_version(objects.weights_version),
                keeps_missing=True,
            ),
        }
        self.view.caches_by_kind = kinds
        bounds = {
            "configuration": lambda: (self.view.bounds.configuration_seconds),
            "servers": lambda: self.view.bounds.drain_seconds,
            "weights": lambda: self.view.bounds.weights_seconds,
        }
        self.pauses = pauses.Pauses()
        answers = hedged_calls.AnswerSignal()
        self.kinds = {
            name: watchers.Watcher(
                cache=each,
                store=self.store,
                lines=self.lines,
                bound_seconds=bounds[name],
                answers=answers,
                # Nothing can be served without a configuration.
                polls_in_outage=name == "configuration",
                arrived=self.pauses.arrived,
            )
            for name, each in kinds.items()
        }
        self.watchers = list(self.kinds.values())
        listen = chosen.text("peer-listen")
        holder = f"{chosen.text('name')}@{listen}"
        self.lease = leases.Lease(
            holder=holder, lease_seconds=self.view.bounds.lease_seconds
        )
        self.peers = peers.PeerMessenger(
            listen=listen,
            seeds=chosen.items("peer-seeds"),
            view=self.view,
            lease=self.lease,
            watching=self.kinds,
            updater=self.updater,
            notices=self.notices,
            store=self.store,
            lines=self.lines,
            arrived=self.pauses.arrived,
            bandwidth=chosen.number("link-mbps"),
        )
        self.admission = gates.AdmissionGate(
            counters=self.counters,
            in_use=self.view.servers.requests_in_use,
            received=self.view.fair_shares.received,
        )
        self.peers.load_reports.parts.append(self.admission)
        self.updater.on_server = lambda service: self.admission.notify(
            service, clocks.now()
        )
        self.permits = server_permits.Permits(
            limits=self.view.server_limits,
            limiter=self.peers.limiter,
            lines=self.lines,
        )
        for each in self.watchers:
            each.poll_rank = self.peers.replicator.poll_rank
        replicator = self.peers.replicator
        for name in ("servers", "weights"):
            self.kinds[name].follows = replicator.follows
        watcher = self.kinds["configuration"]
        watcher.follows = replicator.follows_configuration
        watcher.poll_rank = replicator.configuration_poll_rank
        watcher.leaves_watch = True
        self.kinds["servers"].on_changes = replicator.forward_changes
        runners = orders.RunnerClient(
            caller=self.caller,
            holder=holder,
            on_response=self.notices.apply_reply,
        )
        self.rechecks = rechecks.Rechecks(
            runners=runners,
            permits=self.permits,
            lines=self.lines,
            on_weights=self.updater.infer_named_weights,
        )
        self.liveness_checks = liveness_checks.LivenessChecks(
            pool=self.pool,
            died=self._on_death,
            accepted=lambda server: self.view.suspects.deaths.record_accepted(
                server, clocks.now()
            ),
            lines=self.lines,
        )
        self.cache_links = cache_monitors.CacheMonitor(
            view=self.view, lines=self.lines
        )
        self.holder = lease_holders.LeaseHolder(
            view=self.view,
            lease=self.lease,
            rollout=rollouts.Rollout(view=self.view),
            store=self.store,
            runners=runners,
            permits=self.permits,
            peers=self.peers,
            lines=self.lines,
        )
        self.listener = self._new_listener(
            "listen",
            make=lambda: self._new_connection(self.client_slots),
            slots=self.client_slots,
            limit=self.connection_limit,
            late_share=self._late_share,
        )
        ready, metrics = (self.page_slots[name] for name in PAGE_LISTENERS)
        self.page_listeners = [
            self._new_listener(
                "ready-listen",
                make=lambda: self._new_connection(ready),
                slots=ready,
            ),
            self._new_listener(
                "metrics-listen",
                make=lambda: pages.PageConnection(
                    page=self._page, open_connections=metrics.connections
                ),
                slots=metrics,
            ),
        ]
        self._settings_modified = _settings_modified(chosen.text("config"))
        self._next_settings_check = 0.0
        self._ticked = clocks.now()
        self._stop_requested: asyncio.Event | None = None
        self._failure: supervised_tasks.TaskEndedError | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._former_handlers: dict[signal.Signals, object] = {}

    async def start(self) -> None:
        """Opens every socket and starts every task."""
        self._stop_requested = asyncio.Event()
        loop = self._loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # A handler of the loop can't be replaced without a moment of the
        # default action, which ends the process.
        for each in STOP_SIGNALS:
            self._former_handlers[each] = signal.signal(each, self._stop)
        for each in self.watchers:
            each.start()
        self.listener.start()
        for each in self.page_listeners:
            each.start()
        self.peers.start()
        self.holder.start()
        self.lines.write("started", name=self.view.name)

    def _limit_connections(self) -> None:
        """Sets the limits on connections by the settings."""
        descriptors = connection_slots.descriptors_of(
            self.chosen.number("max-descriptors")
        )
        self.client_slots.maximum = connection_slots.client_connections_of(
            descriptors, self.chosen.number("memory-mb")
        )
        for slots in self.page_slots.values():
            slots.maximum = connection_slots.page_connections_of(descriptors)

    def _new_listener(
        self,
        name: str,
        *,
        make,
        slots: connection_slots.ConnectionSlots,
        limit: connection_limits.ConnectionLimit | None = None,
        late_share=lambda now: 0.0,
    ) -> client_listeners.ClientListener:
        return client_listeners.ClientListener(
            address=self.chosen.text(name),
            make=make,
            limit=limit or connection_limits.ConnectionLimit(),
            slots=slots,
            in_progress=self._requests_in_progress,
            late_share=late_share,
            lines=self.lines,
        )

    def _stop(self, number: int, frame: object) -> None:
        """Requests the end; runs in the main thread, between two operations."""
        loop = self._loop
        if loop is not None and not loop.is_closed():
            loop.call_soon_threadsafe(self._stop_requested.set)

    def _send_heartbeat(self) -> None:
        self.peers.send_heartbeat_soon()

    def _lapse_ends(self) -> float:
        return max(
            self.kinds["servers"].lapse_ends(),
            self.peers.replicator.peer_lapse_ends,
        )

    def _restarted(self, address: str) -> None:
        self.pool.forget(address)
        self.caller.pool.forget(address)

    def _on_death(self, incarnation: str) -> None:
        self.peers.server_died(incarnation)

    def _state_page(self) -> bytes:
        """Returns what readiness probes get: what the router knows, and why."""
        configuration = self.view.configuration
        return msgspec.json.encode(
            {
                "ready": self.view.ready(),
                "leaving": self.view.leaving,
                "configuration_version": configuration.version
                if configuration
                else None,
                "store": {
                    name: each.state() for name, each in self.kinds.items()
                },
                "unreadable_objects": {
                    name: len(found)
                    for name, found in self.updater.unreadable.items()
                },
            }
        )

    def _store_gauges(self) -> dict[str, float]:
        """Returns whether the store is reached and read, by kind of objects."""
        gauges = {}
        for name, each in self.kinds.items():
            state = each.state()
            unreached = state is store_states.StoreState.UNREACHED
            unreadable = state is store_states.StoreState.UNREADABLE
            gauges[f"{name}_store_reached"] = not unreached
            gauges[f"{name}_store_readable"] = not (unreached or unreadable)
            gauges[f"{name}_unreadable_objects"] = len(
                self.updater.unreadable[name]
            )
        return gauges

    def _page(self) -> bytes:
        configuration = self.view.configuration
        now = clocks.now()
        ages = {
            f"{name}_age_seconds": now - each.known_at
            for name, each in self.view.caches_by_kind.items()
            if each.known_at
        }
        return self.counters.page(
            ages
            | {
                "open_connections": len(self.connections),
                "configuration_version": configuration.version
                if configuration
                else 0,
                "routers": self.peers.roster.count(now),
                "server_connections_opened": self.pool.opened,
                "connections_refused": self.connection_limit.refused,
                "connections_ended": self.client_slots.ended,
                "buffered_bytes": self.buffers.held,
                "buffered_bytes_peak": self.buffers.peak,
                "buffered_bytes_bound": self.buffers.bound,
                "request_body_bytes": self.bodies.held,
                "request_body_bytes_peak": self.bodies.peak,
                "request_body_bytes_bound": self.bodies.bound,
                "request_head_bytes": self.heads.held,
                "request_head_bytes_peak": self.heads.peak,
                "request_head_bytes_bound": self.heads.bound,
            }
            | self._store_gauges()
            | speed_metrics.gauges(self.view, now)
            | self.admission.gauges(now)
        )

    def _reload(self) -> None:
        """Applies changed settings; addresses bound at the start stay."""
        match read_settings(dict(os.environ), flags=self.chosen.flags()):
            case result.Failure(error):
                self.lines.write("reload_refused", why=error.text)
                return
            case result.Success(chosen):
                pass
        changed = [
            name
            for name, value in chosen.values.items()
            if value.text != self.chosen.text(name)
        ]
        self.chosen = chosen
        self.view.bounds = _bounds(chosen)
        self.view.update_budgets()
        self.buffers.bound = buffer_budgets.bound_of(chosen.number("memory-mb"))
        self.bodies.bound = body_budgets.bound_of(chosen.number("memory-mb"))
        self.heads.bound = head_budgets.bound_of(chosen.number("memory-mb"))
        self._limit_connections()
        self.view.load_control.mode = load_controls.Mode(
            chosen.text("load-control")
        )
        self.peers.limiter.set_bounds(self.view.bounds.limits)
        self.lease.lease_seconds = self.view.bounds.lease_seconds
        self.store.address = chosen.text("store-address")
        self.peers.add_seeds(chosen.items("peer-seeds"))
        self.lines.write("reload", changed=",".join(changed))

    def _reload_if_changed(self, now: float) -> None:
        """Reloads the settings file if it has changed since the last check."""
        if now < self._next_settings_check:
            return
        self._next_settings_check = now + SETTINGS_CHECK_SECONDS
        written = _settings_modified(self.chosen.text("config"))
        if written != self._settings_modified:
            self._settings_modified = written
            self._reload()

    def _new_connection(
        self, slots: connection_slots.ConnectionSlots
    ) -> client_connections.ClientConnection:
        return client_connections.ClientConnection(
            limits=self._limits,
            ready=self.view.ready,
            state_page=self._state_page,
            begin=self._new_exchange,
            leaving=lambda: self.view.leaving,
            open_connections=slots.connections,
            buffers=self.buffers,
            bodies=self.bodies,
            heads=self.heads,
            lines=self.lines,
        )

    @property
    def connections(self) -> list[client_connections.ClientConnection]:
        """Returns the open connections of clients, also of the balancer."""
        ready = self.page_slots["ready-listen"].connections
        return [*self.client_slots.connections, *ready]

    def _requests_in_progress(self) -> int:
        now = clocks.now()
        return len(self.exchanges) + sum(
            each.awaits_first_request(now) for each in self.connections
        )

    def _late_share(self, now: float) -> float:
        if self.loop_load is None:
            return 0.0
        return self.loop_load.late_share(now)

    def _limits(self) -> configurations.ClientLimits:
        if self.view.configuration is None:
            return configurations.ClientLimits()
        return self.view.configuration.limits

    def _new_exchange(self, decoded, client) -> exchanges.Exchange:
        return exchanges.Exchange(
            decoded=decoded,
            active_exchanges=self.exchanges,
            context=contexts.Context(
                client=client,
                view=self.view,
                pool=self.pool,
                lines=self.lines,
                died=self._on_death,
                broke=self.peers.server_broke,
                check_alive=self.liveness_checks.check,
                recheck=self.rechecks.recheck,
                prompt_changed=self.peers.load_reports.prompt_changed,
                stream_versions=self.peers.stream_versions,
                limiter=self.peers.limiter,
                notices=self.notices,
                permits=self.permits,
                admission=self.admission,
            ),
        )

    def detect_pause(self, now: float) -> None:
        """Drops idle connections and refreshes caches after a process pause.

        After a VM was suspended, its idle connections look open although the
        servers may have closed them; whether a request sent on one has run
        would be unknown. The lease needs no such check, because its term is
        measured by a clock that counts suspended time.
        """
        paused = now - self._ticked
        self._ticked = now
        if paused > PAUSE_SECONDS:
            self.pool.close()
            self.caller.close()
            for each in self.watchers:
                each.catch_up()
            self.lines.write("paused", seconds=round(paused, 2))

    async def run(self) -> None:
        """Runs until a signal requests the end, then drains and closes.

        Raises:
            TaskEndedError: a task or thread that it needs has ended.
        """
        asyncio.get_running_loop().set_exception_handler(self._on_loop_error)
        await self.start()
        self._ticked = clocks.now()
        while not self._stop_requested.is_set():
            self.detect_pause(clocks.now())
            self.tick()
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._stop_requested.wait()
            except TimeoutError:
                continue
        if self._failure is not None:
            raise self._failure
        await self.drain()
        _ignore_stop_signals()
        self.close()

    def _on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict
    ) -> None:
        """Handles an error that no task handles."""
        name = supervised_tasks.ended_task(context)
        if name is None or self.view.leaving:
            loop.default_exception_handler(context)
            return
        error = supervised_tasks.TaskEndedError(context["message"])
        error.__cause__ = context.get("exception")
        self._failure = error
        self._stop_requested.set()

    def tick(self) -> None:
        """Runs the periodic work: heartbeats, idle connections, settings."""
        now = clocks.now()
        self.pauses.tick(now)
        self.buffers.refresh()
        self.bodies.tick(now)
        for each in self.connections:
            each.close_if_idle(now)
            each.end_hold(now)
        for each in list(self.page_slots["metrics-listen"].connections):
            each.close_if_idle(now)
        for each in list(self.exchanges):
            each.withdraw_if_late(now)
        self.slow_readers.tick(self._sending_sockets(now), now)
        self.peers.tick(now)
        self.cache_links.tick()
        self.updater.tick(now)
        self.admission.tick(now)
        self._reload_if_changed(now)

    def _sending_sockets(self, now: float) -> Iterator[socket.socket]:
        """Returns the sockets of which a peer may not have read all."""
        for client in self.connections:
            sock = client.sending_socket(now)
            if sock is not None:
                yield sock
        for exchange in self.exchanges:
            attempt = exchange.context.current_attempt
            if attempt is None or attempt.has_begun():
                continue
            sock = attempt.connection.sending_socket()
            if sock is not None:
                yield sock

    async def drain(self) -> None:
        """Fails the readiness probe and finishes the accepted requests.

        Clients that read slowly get the rest of their responses. Requests that
        are still in progress shortly before the end of the grace time get their
        final response.
        """
        self.lines.write("leaving")
        self.view.leaving = True
        self.admission.drain()
        self.peers.limiter.leave(clocks.now())
        self.peers.stream_versions.hand_over()
        self.peers.send_heartbeat_soon()
        drain_start = clocks.now()
        until = (
            drain_start
            + self.view.bounds.grace_seconds
            - SHUTDOWN_MARGIN_SECONDS
        )
        while clocks.now() < until:
            self.tick()
            self.view.refusing = (
                clocks.now() - drain_start > BALANCER_REMOVAL_SECONDS
            )
            if self.view.refusing and not self._is_busy():
                break
            await asyncio.sleep(TICK_SECONDS)
        for each in list(self.exchanges):
            each.end_now()
        await asyncio.sleep(FLUSH_SECONDS)

    def _is_busy(self) -> bool:
        """Returns whether the process would cut something if it ended now.

        The bytes that a client's connection holds are lost with the process.
        """
        return (
            bool(self.exchanges)
            or self.holder.busy()
            or any(each.has_unsent() for each in self.connections)
        )

    def close(self) -> None:
        """Closes every socket."""
        for number, former in self._former_handlers.items():
            if signal.getsignal(number) == self._stop:
                signal.signal(number, former)
        self.listener.close()
        for each in self.page_listeners:
            each.close()
        self.admission.close()
        self.holder.close()
        self.rechecks.close()
        self.liveness_checks.close()
        self.cache_links.close()
        for each in self.watchers:
            each.close()
        self.peers.close()
        self.pool.close()
        self.caller.close()
        self.lines.write("ended")


def _ignore_stop_signals() -> None:
    """Ignores further signals, while the process takes some time to exit."""
    for each in STOP_SIGNALS:
        signal.signal(each, signal.SIG_IGN)


def _bounds(chosen: settings.Settings) -> cluster_views.RouterBounds:
    return cluster_views.RouterBounds(
        budget_ratio=chosen.number("retry-ratio"),
        budget_slack=chosen.number("retry-slack"),
        budget_seconds=chosen.number("retry-window-s"),
        weights_seconds=chosen.number("weights-ms") / 1000,
        lease_seconds=chosen.number("lease-ms") / 1000,
        grace_seconds=chosen.number("grace-s"),
        drain_seconds=chosen.number("drain-ms") / 1000,
        configuration_seconds=chosen.number("config-ms") / 1000,
        limits=ledgers.QuotaBounds(
            window_seconds=chosen.number("limit-window-s"),
            over=chosen.number("limit-over"),
            slack=chosen.number("limit-slack"),
        ),
    )


def _settings_modified(path: str) -> float:
    """Returns the modification time of a settings file, or 0 without one."""
    try:
        return os.stat(path).st_mtime if path else 0.0
    except OSError as error:
        logger.warning("settings file: {}", error)
        return 0.0


def read_settings(
    environment: dict[str, str], *, flags: dict[str, str] | None = None
) -> result.Result[settings.Settings, results.Error]:
    """Returns the router's checked settings, or an error.

    Args:
        environment: environment variables; they may name the settings file and
            contain settings.
        flags: settings from the command line.
    """
    flags = flags or {}
    path = flags.get("config") or environment.get(CONFIG_VARIABLE)
    file: dict[str, str] = {}
    if path:
        match settings.read_file(path):
            case result.Failure(error):
                return result.Failure(error)
            case result.Success(found):
                file = found
    return settings.check_settings(
        program=settings.ROUTER,
        flags=flags,
        environment=environment,
        file=file,
    )


def main() -> int:
    """Runs a router with the settings of its file; returns the exit status."""
    match read_settings(dict(os.environ)):
        case result.Failure(error):
            print(f"{error.code.value}: {error.text}", flush=True)
            return BAD_SETTING_EXIT
        case result.Success(chosen):
            pass
    return run(chosen)


def run(chosen: settings.Settings) -> int:
    """Runs a router until a signal ends it; returns the exit status."""
    handler = log_lines.to_standard_output(level=chosen.text("log-level"))
    load = loop_loads.LoopLoad()
    with (
        handler.applicationbound(),
        asyncio.Runner(loop_factory=lambda: new_loop(load)) as runner,
    ):
        runner.run(_run_or_exit(Router(chosen=chosen, loop_load=load)))
    return 0


async def _run_or_exit(router: Router) -> None:
    """Runs a router; an unexpected error ends the process at once.

    Closing might wait for what has failed, and the platform restarts only
    processes that have ended.
    """
    try:
        await router.run()
    except Exception:
        logger.exception("unexpected error; the process ends")
        sys.stdout.flush()
        os._exit(FAILURE_EXIT)


def new_loop(load: loop_loads.LoopLoad) -> asyncio.AbstractEventLoop:
    """Returns an event loop whose load is measured."""
    return asyncio.SelectorEventLoop(loop_loads.TimedSelector(load))
