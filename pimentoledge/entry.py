"""The entry daemon: sockets and threads around the entry's state machine."""

import queue
import secrets
import time

import logbook

from pimentoledge import allocators
from pimentoledge import logs
from pimentoledge import metrics
from pimentoledge import results
from pimentoledge import settings
from pimentoledge.callers import replies
from pimentoledge.callers import servers
from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import entries
from pimentoledge.decisions import events
from pimentoledge.nodes import loops
from pimentoledge.operators import api
from pimentoledge.operators import pages
from pimentoledge.operators import servers as admin_servers
from pimentoledge.stores import objects
from pimentoledge.stores import store_tasks
from pimentoledge.stores import vm_tasks
from pimentoledge.stores import vms

logger = logbook.Logger("entry")

IDLE_CHECK_SECONDS = 0.05
# New at each start: ids of writes must never be those of a former life.
SEED_BITS = 64
# Longer than any update takes to be answered by the state machine.
OPERATOR_SECONDS = 12.0


class EntryDaemon:
    """One entry process.

    Attributes:
        chosen: its checked settings.
        core: the state machine; only the loop's thread touches it.
        loop: the thread that owns the state machine.
        store: task that calls the object API.
        vms: task that reads the list of VMs.
        metrics: what it counts.
        admin: the HTTP server for operators.
        callers: the HTTP server for callers.
        replies: where the answer of each open request goes.
        operators: where the answer to each operator goes.
        leaving: whether the balancer should send no more callers.
    """

    def __init__(self, *, chosen: settings.Settings):
        self.chosen = chosen
        name = chosen.text("name")
        self.core = entries.Entry(
            name=name,
            address=chosen.text("mailbox"),
            data_centre=chosen.text("data-centre"),
            seed=secrets.randbits(SEED_BITS),
            block_bytes=chosen.integer("block-bytes"),
            view=configuration.Configuration(),
            seeds=chosen.items("peers"),
            first_key=chosen.text("operator-key-digest"),
        )
        self.loop = loops.EventLoop(
            core=self.core,
            mailbox_address=chosen.text("mailbox"),
            perform=self.perform,
            on_error=_answer_defect,
        )
        self.store = store_tasks.StoreTask(
            client=self.object_client(), deliver=self.loop.inbox.put
        )
        self.vms = vm_tasks.VmTask(
            client=vms.VmListClient(
                url=chosen.text("store"), timeout=chosen.number("store-timeout")
            ),
            seconds=chosen.number("vm-list-seconds"),
            deliver=self.loop.inbox.put,
        )
        self.metrics = metrics.EntryMetrics()
        self.admin = admin_servers.AdminServer(
            listen=chosen.text("admin-listen"),
            pages={
                api.API_ROOT: api.AdminApi(submit=self.operate).serve,
                **pages.daemon_pages(
                    daemon_metrics=self.metrics,
                    is_alive=self.alive,
                    is_ready=self.ready,
                    refresh_gauges=self.refresh_metrics,
                ),
            },
        )
        self.callers = servers.CallerServer(
            listen=chosen.text("listen"),
            max_open_requests=chosen.integer("caller-threads"),
            max_body_bytes=chosen.integer("max-body-bytes"),
            send_buffer_bytes=chosen.integer("stream-buffer-bytes"),
            submit=self.submit,
            on_caller_left=self.caller_left,
            list_models=self.models,
            is_ready=self.ready,
        )
        self.replies: dict[str, replies.ReplyQueue] = {}
        self.operators: dict[str, queue.SimpleQueue] = {}
        self.leaving = False

    def object_client(self) -> objects.ObjectClient:
        """Returns a new client of the object API."""
        return objects.ObjectClient(
            url=self.chosen.text("store"),
            timeout=self.chosen.number("store-timeout"),
        )

    def start(self) -> None:
        """Opens every socket and starts every task."""
        self.loop.start()
        self.core.address = self.loop.mailbox.address
        self.core.limits.address = self.core.address
        self.core.distributor.address = self.core.address
        self.store.start()
        self.loop.run_thread()
        self.vms.start()
        self.admin.start()
        self.callers.start()
        logger.info("entry {} serves {}", self.core.name, self.callers.address)

    def drain(self) -> None:
        """Leaves the balancer, then finishes what runs.

        A balancer looks at /readyz only now and then; until it has, callers
        still come here, and each is served.
        """
        self.leaving = True
        time.sleep(self.chosen.number("drain-seconds"))
        self.loop.inbox.put(events.Drain())
        until = time.monotonic() + self.chosen.number("shutdown-seconds")
        while time.monotonic() < until and not self.loop.query(_is_idle):
            time.sleep(IDLE_CHECK_SECONDS)

    def close(self) -> None:
        """Closes every socket and waits for every task."""
        self.callers.close()
        for answer in list(self.operators.values()):
            answer.put(None)
        self.admin.close()
        self.vms.close()
        self.loop.close()
        self.store.close()

    def submit(self, event: events.CallerRequest) -> replies.ReplyQueue:
        """Hands a request to the state machine; any thread may call it."""
        answer = replies.ReplyQueue(
            limit_bytes=self.chosen.integer("stream-buffer-bytes")
        )
        self.replies[event.request] = answer
        self.metrics.note_arrival(event.request)
        self.loop.inbox.put(event)
        return answer

    def caller_left(self, request: str) -> None:
        """Says that the caller of a request went away."""
        if self.replies.pop(request, None) is None:
            return  # It has ended meanwhile, and was counted.
        self.metrics.note_caller_left(request)
        self.loop.inbox.put(events.CallerGone(request=request))

    def ready(self) -> bool:
        """Returns whether the balancer should send callers here."""
        return not self.leaving and self.core.configuration.is_complete()

    def alive(self) -> bool:
        """Returns whether the state machine's thread answers."""
        return self.loop.query(_is_idle) is not None

    def refresh_metrics(self) -> None:
        """Brings the gauges up to date."""
        self.metrics.open.set(len(self.replies))
        self.metrics.configuration.set(self.core.configuration.version)

    def operate(
        self, event: events.OperatorRequest
    ) -> actions.ReplyOperator | None:
        """Hands an operator's request on and waits for the answer."""
        answer: queue.SimpleQueue = queue.SimpleQueue()
        self.operators[event.request] = answer
        self.loop.inbox.put(event)
        try:
            return answer.get(timeout=OPERATOR_SECONDS)
        except queue.Empty:
            return None
        finally:
            del self.operators[event.request]

    def models(self, key_digest: str) -> list[str] | None:
        """Returns the models of an API key, or None for an unknown key."""

        def find(core: entries.Entry) -> list[str] | None:
            contract = core.configuration.contract_by_key(key_digest)
            return None if contract is None else list(contract.models)

        return self.loop.query(find)

    def perform(self, todo: list[actions.Action]) -> None:
        """Carries out actions other than sending."""
        for action in todo:
            match action:
                case actions.ReplyText():
                    self.metrics.note_text(action.request)
                    self.reply(action, last=False)
                case actions.CallStore():
                    self.store.call(action.call)
                case actions.ReplyOperator():
                    answer = self.operators.get(action.request)
                    if answer is not None:
                        answer.put(action)
                case actions.ReleaseMemory():
                    allocators.release_free_memory()
                case actions.LogDecision():
                    self.metrics.count_decision(action)
                    logs.log_decision(action.kind, action.fields)
                case _:
                    self.reply(action, last=True)

    def reply(self, action: actions.Action, *, last: bool) -> None:
        """Hands a piece of an answer to its caller's thread."""
        answer = self.replies.get(action.request)
        if last:
            self.replies.pop(action.request, None)
            self.metrics.note_end(action)
        if answer is None:
            return
        if not answer.put(action) and not last:
            self.caller_left(action.request)


def _answer_defect(event: object) -> list[actions.Action]:
    """Answers a request that met a defect before it was taken up.

    Its caller would wait for its deadline and never learn why.
    """
    if not isinstance(event, events.CallerRequest):
        return []
    error = results.Error(code=results.Code.INTERNAL, ran=results.Ran.NOT_RUN)
    return [actions.ReplyError(request=event.request, error=error)]


def _is_idle(core: entries.Entry) -> bool:
    return core.idle()
