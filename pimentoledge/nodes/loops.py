"""The event loop thread that owns a process's state machine."""

from collections.abc import Callable
import queue
import threading
import time
import traceback

import attrs
import logbook

from pimentoledge.decisions import actions
from pimentoledge.nodes import mailboxes

logger = logbook.Logger("loops")

# Longest wait for an event, and interval at which connections expire.
MAX_WAIT_SECONDS = 0.25
# Longest wait of another thread for the result of a query.
QUERY_TIMEOUT_SECONDS = 5.0
# Most events handled before their actions are executed; bounds the delay of
# the first action in a burst.
MAX_BATCH_EVENTS = 64


@attrs.define(kw_only=True)
class Query:
    """A query of the state machine by another thread.

    Attributes:
        function: called with the state machine, in the loop's thread.
        answer: queue that gets the result.
    """

    function: Callable[[object], object]
    answer: queue.SimpleQueue[object] = attrs.field(factory=queue.SimpleQueue)


class EventLoop:
    """Passes events to a state machine and executes its actions.

    Attributes:
        core: the state machine; has `handle(event, now)`, `tick(now)`,
            `flush()`, `next_wake()`, `partners()` and a
            `configuration.version`.
        inbox: events from other threads.
        mailbox: connections to other processes.
        perform: executes all actions other than Send.
        on_error: returns the actions for an event whose handling raised an
            exception.
        closing: whether `close` was called.
        stopped: whether the thread handles no more events.
        last_expiry: when the mailbox last expired connections.
    """

    def __init__(
        self,
        *,
        core: object,
        mailbox_address: str,
        perform: Callable[[list[actions.Action]], None],
        on_error: Callable[[object], list[actions.Action]] = lambda _: [],
    ):
        self.core = core
        self.perform = perform
        self.on_error = on_error
        self.inbox: queue.SimpleQueue[object] = queue.SimpleQueue()
        self.mailbox = mailboxes.Mailbox(
            address=mailbox_address, deliver=self.inbox.put
        )
        self.thread = threading.Thread(target=self.run, name="loop")
        self.closing = False
        self.stopped = False
        self.last_expiry = 0.0

    def start(self) -> None:
        """Opens the mailbox; `run_thread` then starts handling events."""
        self.mailbox.start()

    def run_thread(self) -> None:
        """Starts handling events."""
        self.thread.start()

    def close(self) -> None:
        """Handles the events received so far, then stops."""
        self.closing = True
        self.inbox.put(None)
        if self.thread.ident is not None:
            self.thread.join()
        self.mailbox.close()

    def query(self, function: Callable[[object], object]) -> object:
        """Calls a function with the state machine, in the loop's thread.

        Used by other threads. Returns the function's result, or None if the
        loop is closing or there is no result in QUERY_TIMEOUT_SECONDS.
        """
        query = Query(function=function)
        self.inbox.put(query)
        deadline = time.monotonic() + QUERY_TIMEOUT_SECONDS
        while not self.closing and time.monotonic() < deadline:
            try:
                return query.answer.get(timeout=MAX_WAIT_SECONDS)
            except queue.Empty:
                continue
        return None

    def run(self) -> None:
        """Handles events until closed."""
        while not self.stopped:
            self.handle_batch(self.collect_batch())

    def collect_batch(self) -> list[object]:
        """Waits for events until the next timer; returns a batch of them."""
        wait = MAX_WAIT_SECONDS
        wake_at = self.core.next_wake()
        if wake_at is not None:
            wait = min(wait, max(0.0, wake_at - time.monotonic()))
        try:
            batch = [self.inbox.get(timeout=wait)]
        except queue.Empty:
            return []
        while len(batch) < MAX_BATCH_EVENTS and not self.inbox.empty():
            batch.append(self.inbox.get())
        return batch

    def handle_batch(self, batch: list[object]) -> None:
        """Handles a batch of events and all due timers."""
        now = time.monotonic()
        due: list[actions.Action] = []
        for event in batch:
            due += self.call_guarded(event, self.handle, event, now)
        wake_at = self.core.next_wake()
        if wake_at is not None and wake_at <= now:
            due += self.call_guarded(None, self.core.tick, now)
        due += self.call_guarded(None, self.core.flush)
        self.call_guarded(None, self.dispatch_actions, due, now)
        if now - self.last_expiry > MAX_WAIT_SECONDS:
            self.last_expiry = now
            self.mailbox.expire(now, self.core.partners())

    def call_guarded(
        self, event: object, function: Callable, *arguments: object
    ) -> list[actions.Action]:
        """Calls a function; an exception affects only the event it handles.

        Otherwise an exception would end the thread, and every stream of the
        process would hang; or it would discard the actions of the whole batch,
        and other streams would lose a frame.
        """
        try:
            return function(*arguments) or []
        except Exception:
            logger.critical("defect: {}", traceback.format_exc())
            return self.on_error(event)

    def handle(self, event: object, now: float) -> list[actions.Action]:
        """Handles one event."""
        match event:
            case None:
                self.stopped = True
            case Query():
                event.answer.put(event.function(self.core))
            case mailboxes.PeerUp() | mailboxes.PeerDown():
                self.mailbox.handle(event)
            case _:
                return self.core.handle(event, now)
        return []

    def dispatch_actions(self, due: list[actions.Action], now: float) -> None:
        """Sends messages and passes other actions to `perform`."""
        others = []
        version = self.core.configuration.version
        for action in due:
            if isinstance(action, actions.Send):
                self.mailbox.send(
                    action.address,
                    action.message,
                    configuration=version,
                    now=now,
                )
            else:
                others.append(action)
        if others:
            self.perform(others)
