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

IDLE_CHECK_INTERVAL_SECONDS = 0.05
# Size of the random seed, drawn at each start: write ids must never repeat
# those of an earlier start.
SEED_BITS = 64
# Longer than the state machine takes to answer any update.
OPERATOR_TIMEOUT_SECONDS = 12.0


class EntryDaemon:
    """One entry process.

    Attributes:
        chosen: the checked settings.
        core: the state machine; only the loop's thread changes it.
        loop: the thread that owns the state machine.
        store: task that calls the object API.
        vms: task that reads the list of VMs.
        metrics: the exported metrics.
        admin: the HTTP server for operators.
        callers: the HTTP server for callers.
        replies: queue for the answer of each open request, by request id.
        operator_answers: queue for the answer of each operator's request, by
            request id.
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
            interval_seconds=chosen.number("vm-list-seconds"),
            deliver=self.loop.inbox.put,
        )
        self.metrics = metrics.EntryMetrics()
        self.admin = admin_servers.AdminServer(
            listen=chosen.text("admin-listen"),
            pages={
                api.API_ROOT: api.AdminApi(submit=self.answer_operator).serve,
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
            body_memory_bytes=chosen.integer("body-memory-bytes"),
            send_buffer_bytes=chosen.integer("stream-buffer-bytes"),
            submit=self.submit,
            on_caller_left=self.caller_left,
            list_models=self.models_of_key,
            is_ready=self.ready,
        )
        self.replies: dict[str, replies.ReplyQueue] = {}
        self.operator_answers: dict[str, queue.SimpleQueue] = {}
        self.leaving = False

    def object_client(self) -> objects.ObjectClient:
        """Returns a new client of the object API."""
        return objects.ObjectClient(
            url=self.chosen.text("store"),
            timeout=self.chosen.number("store-timeout"),
        )

    def start(self) -> None:
        """Opens every socket and starts every task."""
        allocators.limit_arenas()
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
        """Reports not ready for a time, then finishes running requests.

        The balancer polls /readyz only periodically. Until its next poll it
        still sends callers here, and they are served.
        """
        self.leaving = True
        time.sleep(self.chosen.number("drain-seconds"))
        self.loop.inbox.put(events.Drain())
        deadline = time.monotonic() + self.chosen.number("shutdown-seconds")
        while time.monotonic() < deadline and not self.loop.query(_is_idle):
            time.sleep(IDLE_CHECK_INTERVAL_SECONDS)

    def close(self) -> None:
        """Closes every socket and waits for every task."""
        self.callers.close()
        for answer in list(self.operator_answers.values()):
            answer.put(None)
        self.admin.close()
        self.vms.close()
        self.loop.close()
        self.store.close()

    def submit(self, event: events.CallerRequest) -> replies.ReplyQueue:
        """Passes a request to the state machine; any thread may call it."""
        answer = replies.ReplyQueue(
            limit_bytes=self.chosen.integer("stream-buffer-bytes")
        )
        self.replies[event.request] = answer
        self.metrics.note_arrival(event.request)
        self.loop.inbox.put(event)
        return answer

    def caller_left(self, request: str) -> None:
        """Reports that the caller of a request disconnected."""
        if self.replies.pop(request, None) is None:
            return  # The request has already ended and was counted.
        self.metrics.note_caller_left(request)
        self.loop.inbox.put(events.CallerGone(request=request))

    def ready(self) -> bool:
        """Returns whether the balancer may send callers here."""
        return not self.leaving and self.core.configuration.is_complete()

    def alive(self) -> bool:
        """Returns whether the state machine's thread responds."""
        return self.loop.query(_is_idle) is not None

    def refresh_metrics(self) -> None:
        """Updates the gauges."""
        self.metrics.open_requests.set(len(self.replies))
        self.metrics.configuration_version.set(self.core.configuration.version)

    def answer_operator(
        self, event: events.OperatorRequest
    ) -> actions.ReplyOperator | None:
        """Returns the answer to an operator, or None on timeout or close."""
        answer: queue.SimpleQueue = queue.SimpleQueue()
        self.operator_answers[event.request] = answer
        self.loop.inbox.put(event)
        try:
            return answer.get(timeout=OPERATOR_TIMEOUT_SECONDS)
        except queue.Empty:
            return None
        finally:
            del self.operator_answers[event.request]

    def models_of_key(self, key_digest: str) -> list[str] | None:
        """Returns the models of an API key, or None for an unknown key."""

        def find_models(core: entries.Entry) -> list[str] | None:
            contract = core.configuration.contract_by_key(key_digest)
            return None if contract is None else list(contract.models)

        return self.loop.query(find_models)

    def perform(self, to_perform: list[actions.Action]) -> None:
        """Carries out all actions except sending messages."""
        for action in to_perform:
            match action:
                case actions.ReplyText():
                    self.metrics.note_text(action.request)
                    self.reply(action, last=False)
                case actions.CallStore():
                    self.store.call(action.call)
                case actions.ReplyOperator():
                    answer = self.operator_answers.get(action.request)
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
        """Passes a part of an answer to its caller's thread."""
        answer = self.replies.get(action.request)
        if last:
            self.replies.pop(action.request, None)
            self.metrics.note_end(action)
        if answer is None:
            return
        if not answer.put(action) and not last:
            self.caller_left(action.request)


def _answer_defect(event: object) -> list[actions.Action]:
    """Returns an error reply to a request whose handling raised an exception.

    Without it the caller would wait for its deadline and not learn why.
    """
    if not isinstance(event, events.CallerRequest):
        return []
    error = results.Error(code=results.Code.INTERNAL, ran=results.Ran.NOT_RUN)
    return [actions.ReplyError(request=event.request, error=error)]


def _is_idle(core: entries.Entry) -> bool:
    return core.idle()
