"""The agent daemon: sockets and threads around the agent's state machine."""

from concurrent import futures
import secrets
import threading
import time

import logbook

from pimentoledge import logs
from pimentoledge import metrics
from pimentoledge import settings
from pimentoledge.decisions import actions
from pimentoledge.decisions import agents
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.nodes import loops
from pimentoledge.operators import pages
from pimentoledge.operators import servers as admin_servers
from pimentoledge.runners import engines
from pimentoledge.runners import messages
from pimentoledge.services import clients
from pimentoledge.stores import objects
from pimentoledge.stores import store_tasks

logger = logbook.Logger("agent")

STATUS_INTERVAL_SECONDS = 0.5
# Interval while the engine accepts no work: it may idle until the next check.
CLOSED_STATUS_INTERVAL_SECONDS = 0.1
IDLE_CHECK_INTERVAL_SECONDS = 0.05
# Threads besides the one for each running request.
EXTRA_THREADS = 4
# Size of the id of this start of the process.
START_ID_BYTES = 8
# Size of the random seed, drawn at each start: write ids must never repeat
# those of an earlier start.
SEED_BITS = 64


class AgentDaemon:
    """One agent process.

    Attributes:
        chosen: the checked settings.
        core: the state machine; only the loop's thread changes it.
        loop: the thread that owns the state machine.
        store: task that calls the object API.
        backend: client of the engine or service beside this agent.
        metrics: the exported metrics.
        admin: the HTTP server for metrics and health.
    """

    def __init__(self, *, chosen: settings.Settings):
        self.chosen = chosen
        name = chosen.text("name")
        self.kind = declarations.ServerKind(chosen.text("kind"))
        start_id = secrets.token_hex(START_ID_BYTES)
        slots = chosen.integer("slots")
        self.core = agents.Agent(
            name=name,
            address=chosen.text("mailbox"),
            kind=self.kind,
            life=start_id,
            slots=slots,
            seed=secrets.randbits(SEED_BITS),
            view=configuration.Configuration(),
            seeds=chosen.items("peers"),
        )
        self.loop = loops.EventLoop(
            core=self.core,
            mailbox_address=chosen.text("mailbox"),
            perform=self.perform,
        )
        self.store = store_tasks.StoreTask(
            client=self.object_client(), deliver=self.loop.inbox.put
        )
        self.backend = self.backend_client()
        self.pool = futures.ThreadPoolExecutor(
            max_workers=slots + EXTRA_THREADS, thread_name_prefix="run"
        )
        self.metrics = metrics.AgentMetrics()
        self.admin = admin_servers.AdminServer(
            listen=chosen.text("admin-listen"),
            pages=pages.daemon_pages(
                daemon_metrics=self.metrics,
                is_alive=self.alive,
                is_ready=self.ready,
                refresh_gauges=self.refresh_metrics,
            ),
        )
        self.status_check_due = threading.Event()
        self.closing = False
        self.status_thread = threading.Thread(
            target=self.poll_status, name="status"
        )

    def object_client(self) -> objects.ObjectClient:
        """Returns a new client of the object API."""
        return objects.ObjectClient(
            url=self.chosen.text("store"),
            timeout=self.chosen.number("store-timeout"),
        )

    def backend_client(self) -> engines.EngineClient | clients.ServiceClient:
        """Returns a client of the engine or service beside this agent."""
        url = self.chosen.text("backend")
        if self.kind == declarations.ServerKind.SERVICE:
            return clients.ServiceClient(url=url)
        silence_timeout = self.chosen.number("engine-timeout")
        return engines.EngineClient(url=url, idle_timeout=silence_timeout)

    def start(self) -> None:
        """Opens every socket and starts every task."""
        self.loop.start()
        self.core.orders.address = self.loop.mailbox.address
        self.store.start()
        self.backend.start()
        self.loop.run_thread()
        self.status_thread.start()
        self.admin.start()
        address = self.loop.mailbox.address
        logger.info("agent {} listens at {}", self.core.name, address)

    def drain(self) -> None:
        """Rejects new work and finishes running requests."""
        self.loop.inbox.put(events.Drain())
        deadline = time.monotonic() + self.chosen.number("shutdown-seconds")
        while time.monotonic() < deadline and not self.loop.query(_is_idle):
            time.sleep(IDLE_CHECK_INTERVAL_SECONDS)

    def close(self) -> None:
        """Closes every socket and waits for every task."""
        self.closing = True
        self.admin.close()
        self.status_check_due.set()
        self.status_thread.join()
        self.loop.close()
        self.backend.close()
        self.pool.shutdown(wait=True, cancel_futures=True)
        self.store.close()

    def poll_status(self) -> None:
        """Polls the engine's status, periodically and when a check is due."""
        while not self.closing:
            self.loop.inbox.put(self.status())
            engine_closed = self.core.orders.closing
            self.status_check_due.wait(
                CLOSED_STATUS_INTERVAL_SECONDS
                if engine_closed
                else STATUS_INTERVAL_SECONDS
            )
            self.status_check_due.clear()

    def status(self) -> events.EngineStatus:
        """Returns the status that the engine or service reports."""
        if isinstance(self.backend, engines.EngineClient):
            return self.backend.status()
        # A plain service has no incarnation, since it keeps no state that a
        # request could rely on. The id of the agent's start replaces it.
        return events.EngineStatus(incarnation=self.core.life)

    def alive(self) -> bool:
        """Returns whether the state machine's thread responds."""
        return self.loop.query(_is_idle) is not None

    def ready(self) -> bool:
        """Returns whether this agent may get new work."""
        return bool(self.core.status.incarnation) and not self.core.draining

    def refresh_metrics(self) -> None:
        """Updates the gauges."""
        self.metrics.running.set(len(self.core.admission.running))
        self.metrics.queued.set(self.core.admission.queued)
        self.metrics.claims.set(self.core.claims.held())
        self.metrics.claim_bytes.set(self.core.claims.largest())
        self.metrics.configuration_version.set(self.core.configuration.version)

    def perform(self, to_perform: list[actions.Action]) -> None:
        """Carries out all actions except sending messages."""
        for action in to_perform:
            match action:
                case actions.RunCompletion():
                    self.backend.start_run(
                        action, action.salt, self.deliver_events
                    )
                case actions.RunCall():
                    self.pool.submit(self.run_call, action)
                case actions.ResumeRun():
                    self.backend.start_resume(
                        action.request,
                        action.attempt,
                        action.index,
                        self.deliver_events,
                    )
                case actions.CancelRun():
                    self.pool.submit(
                        self.backend.cancel, action.request, action.attempt
                    )
                case actions.CheckEngine():
                    self.status_check_due.set()
                case actions.OrderEngine():
                    self.pool.submit(self.send_order, action.order)
                case actions.CallStore():
                    self.store.call(action.call)
                case actions.LogDecision():
                    self.metrics.count_decision(action)
                    logs.log_decision(action.kind, action.fields)

    def deliver_events(self, stream_events: list[object]) -> None:
        """Delivers the events of the engine's streams."""
        for event in stream_events:
            self.loop.inbox.put(event)

    def send_order(self, order: messages.Order) -> None:
        """Sends an order to the engine and delivers its answer."""
        answer = self.backend.order(order)
        if answer.reason == engines.NO_ANSWER_REASON:
            answer = None
        self.loop.inbox.put(events.OrderDone(order=order, answer=answer))
        self.status_check_due.set()

    def run_call(self, action: actions.RunCall) -> None:
        """Runs a call at the service and delivers its answer."""
        self.loop.inbox.put(self.backend.run(action))


def _is_idle(core: agents.Agent) -> bool:
    return core.idle()
