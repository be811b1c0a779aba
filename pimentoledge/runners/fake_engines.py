"""A fake model engine as a pure state machine, with simulated faults.

It uses continuous batching: one completion at a time is prefilled, while
decode steps generate one token for each stream of the batch. The caller
supplies the time: `step(now)` processes everything that is due and returns the
events produced, and `next_wake()` returns when the next step is due. Tests in
virtual time and the HTTP server make the same calls.

    engine = FakeEngine(slots=4, cache_blocks=1000)
    refused = engine.submit(run, salt, now)
    while (wake := engine.next_wake()) is not None:
        for event in engine.step(wake): ...
"""

import collections
import math

import attrs

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.runners import blocks
from pimentoledge.runners import fake_answers
from pimentoledge.runners import fake_caches
from pimentoledge.runners import fake_streams
from pimentoledge.runners import fake_weight_stores
from pimentoledge.runners import messages
from pimentoledge.runners import streams

MAX_ENDED_STREAMS = 4096
MAX_WAITING = 1000
CRASHED = "crashed"
CANCELLED = "cancelled"


def expected_text(prompt: str, first: int, count: int) -> str:
    """Returns the text that every fake engine generates for a prompt.

    Args:
        prompt: the prompt.
        first: index of the first token in the whole answer, from 0.
        count: number of tokens.
    """
    seed = fake_answers.text_seed(prompt.encode("utf-8"))
    return fake_answers.generate_text(seed, first, count)


@attrs.define(kw_only=True)
class Counters:
    """Counters of an engine over all its incarnations.

    Attributes:
        runs: how often the prefill of each request id began.
        computed_tokens: prompt tokens computed.
        cached_tokens: prompt tokens found in the cache.
        generated_tokens: tokens generated.
        crashes: number of crashes.
        cancelled: streams cancelled.
        wrong_continuations: completions whose `continued` text differs from
            what the engine generates.
    """

    runs: collections.Counter = attrs.field(factory=collections.Counter)
    computed_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    crashes: int = 0
    cancelled: int = 0
    wrong_continuations: int = 0


class FakeEngine:
    """A fake model engine without clock, threads or sockets.

    Attributes:
        name: prefix of its incarnation ids.
        slots: maximum number of streams in the batch; with 0 it only stores
            KV blocks for export and import.
        token_seconds: prefill time of one uncached prompt token.
        step_seconds: time between two tokens of a stream.
        checks_orders: whether it refuses orders with a stale fencing token.
        text_every: tokens of a stream per EngineText after the first one.
        max_waiting: length of its own queue; more completions are refused.
        report_lag: delay of the reported status in seconds.
        kv_block_seconds: time to export or import one block.
        restart_seconds: time from a crash to the automatic restart; None to
            stay down until `restart` is called.
        poison: a prompt that contains this marker crashes the engine; empty
            for none.
        poison_after: tokens generated for such a prompt before the crash.
        resets_fencing: whether a restart resets the highest fencing token to
            0.
        starts: number of starts, including the first.
        incarnation: id of the current incarnation; empty while it is down.
        weights: weights version loaded; a restart loads the initial one.
        adapters: adapters loaded; a restart loads the initial ones.
        role: its role; reported, without further effect.
        fencing: highest fencing token seen.
        cache: its block cache.
        counters: its counters.
    """

    def __init__(
        self,
        *,
        slots: int,
        cache_blocks: int,
        token_seconds: float = 0.0001,
        step_seconds: float = 0.032,
        block_bytes: int = blocks.BLOCK_BYTES,
        weights: str = "w1",
        adapters: tuple[str, ...] = (),
        checks_orders: bool = True,
        weight_store: fake_weight_stores.WeightStore | None = None,
        name: str = "engine",
        seed: int = 0,
    ):
        self.name = name
        self.seed = seed
        self.slots = slots
        self.cache_blocks = cache_blocks
        self.token_seconds = token_seconds
        self.step_seconds = step_seconds
        self.block_bytes = block_bytes
        self.boot_weights = weights
        self.boot_adapters = tuple(adapters)
        self.checks_orders = checks_orders
        self.weight_store = weight_store or fake_weight_stores.WeightStore()
        self.text_every = 1
        self.max_waiting = MAX_WAITING
        self.log_faults = fake_caches.LogFaults()
        self.report_lag = 0.0
        self.kv_block_seconds = 0.0
        self.restart_seconds: float | None = None
        self.poison = ""
        self.poison_after = 0
        self.resets_fencing = False
        self.fencing = 0
        self.counters = Counters()
        self.starts = 0
        self.now = 0.0
        self.output: list[streams.Event] = []
        self._start_incarnation()

    @property
    def event_delay(self) -> float:
        """Delay of the cache events in seconds."""
        return self.log_faults.delay

    @event_delay.setter
    def event_delay(self, seconds: float) -> None:
        self.log_faults.delay = seconds

    @property
    def event_loss(self) -> float:
        """Fraction of the cache events that are lost, from 0 to 1."""
        return self.log_faults.loss

    @event_loss.setter
    def event_loss(self, share: float) -> None:
        self.log_faults.loss = share

    def submit(
        self,
        run: actions.RunCompletion,
        salt: str,
        now: float,
        chain: list[bytes] | None = None,
    ) -> events.EngineBroken | None:
        """Queues a completion, or refuses it.

        `max_tokens` counts the whole answer: a continuation generates only
        the tokens after its `continued_tokens`.

        Args:
            run: the completion.
            salt: the cache salt, which separates blocks with equal text.
            now: the time.
            chain: digests of its blocks; computed here if None.

        Returns:
            None when it was accepted, else the refusal.
        """
        self.now = now
        key = (run.request, run.attempt)
        if key in self.streams:
            return fake_streams.broken_event(key, results.Ran.RAN, "duplicate")
        if reason := self._refusal_reason(run):
            return fake_streams.broken_event(key, results.Ran.NOT_RUN, reason)
        stream = self._create_stream(run, salt, chain)
        self.streams[key] = stream
        self._queue_of(stream).append(stream)
        self._begin_prefill(now)
        self._record_status(now)
        return None

    def step(self, now: float) -> list[streams.Event]:
        """Processes all that is due by now, in order; returns the events."""
        while True:
            due = self._next_due_time()
            if due > now:
                break
            self.now = due
            self._run_due(due)
        self.now = now
        output = self.output
        self.output = []
        return output

    def next_wake(self) -> float | None:
        """Returns when the next step is due; None for never."""
        if self.output:
            return self.now
        due = self._next_due_time()
        return None if due == math.inf else due

    def cancel(self, request: str, attempt: int, now: float) -> bool:
        """Cancels a stream; returns False for an unknown one."""
        self.now = now
        stream = self.streams.get((request, attempt))
        if stream is None:
            return False
        started = stream is self.prefill or stream in self.decoding
        if stream is self.prefill:
            self._clear_prefill()
        elif started:
            self.decoding.remove(stream)
            if not self.decoding:
                self.decode_due = math.inf
        else:
            self._queue_of(stream).remove(stream)
        self._remove_stream(stream)
        self.counters.cancelled += 1
        ran = results.Ran.RAN if started else results.Ran.NOT_RUN
        self.output.append(
            fake_streams.broken_event((request, attempt), ran, CANCELLED)
        )
        self._begin_prefill(now)
        self._record_status(now)
        return True

    def resume(
        self, request: str, attempt: int, index: int
    ) -> list[streams.Event] | None:
        """Returns the events of a stream from a token on.

        Tokens generated later are part of the output of the next steps.

        Args:
            request: request id.
            attempt: attempt number.
            index: first token to return, from 0 within the attempt.

        Returns:
            The text sent so far, and the end event if the stream has ended.
            None if the stream is unknown or not yet at this token.
        """
        key = (request, attempt)
        stream = self.streams.get(key) or self.ended.get(key)
        if stream is None or index > stream.sent:
            return None
        resumed_events: list[streams.Event] = []
        if index < stream.sent:
            resumed_events.append(stream.text_event(index, stream.sent - index))
        if key in self.ended:
            resumed_events.append(stream.ended_event())
        return resumed_events

    def status(self, now: float) -> events.EngineStatus:
        """Returns the engine's status as of `report_lag` seconds ago."""
        if not self.incarnation:
            return events.EngineStatus()
        if self.report_lag <= 0 or not self.statuses:
            return self._snapshot()
        self._drop_old_statuses(now)
        return self.statuses[0][1]

    def cache_events(
        self, after: int, now: float
    ) -> messages.CacheEvents | None:
        """Returns this incarnation's cache events; None while it is down."""
        if not self.incarnation:
            return None
        return messages.CacheEvents(
            incarnation=self.incarnation,
            events=self.cache.log.read(after, now),
        )

    def order(self, order: messages.Order, now: float) -> messages.OrderAnswer:
        """Executes an order, or refuses it.

        A load takes as long as the weight store determines and empties the
        cache. Completions are refused until it ends, and the load itself is
        refused while the engine has any streams.
        """
        self.now = now
        if not self.incarnation:
            return self._refuse_order("down")
        if self.checks_orders:
            if order.fencing < self.fencing:
                return self._refuse_order("fenced")
            self.fencing = order.fencing
        match order.kind:
            case "load":
                return self._load(order.value, now)
            case "add_adapter":
                self.adapters = sorted({*self.adapters, order.value})
            case "drop_adapter":
                if any(
                    each.adapter == order.value
                    for each in self.streams.values()
                ):
                    return self._refuse_order("busy")
                self.adapters = [
                    each for each in self.adapters if each != order.value
                ]
            case "role":
                self.role = order.value
            case _:
                return self._refuse_order("unknown")
        return self._accept_order()

    def export_kv(self, chain: list[bytes]) -> messages.KvBlocks:
        """Returns the cached leading blocks of a chain."""
        cached = chain[: self.cache.match(chain)] if self.incarnation else []
        seconds = self.kv_block_seconds * len(cached)
        return messages.KvBlocks(blocks=cached, seconds=seconds)

    def import_kv(self, kv: messages.KvBlocks, now: float) -> float | None:
        """Imports blocks into the cache.

        Returns:
            Seconds until the blocks can be used; None while the engine is
            down or loads weights.
        """
        self.now = now
        if not self.incarnation or self.loading:
            return None
        seconds = self.kv_block_seconds * len(kv.blocks)
        self.pending_imports.append((now + seconds, kv.blocks))
        self.pending_imports.sort(key=lambda each: each[0])
        return seconds

    def crash(self, now: float) -> None:
        """Simulates a crash: all streams break, and the cache is lost."""
        self.now = now
        if not self.incarnation:
            return
        self.counters.crashes += 1
        for key in self.streams:
            # A client can't know whether the stream had started running.
            self.output.append(
                fake_streams.broken_event(key, results.Ran.RAN, CRASHED)
            )
        self._reset()
        self.incarnation = ""
        if self.restart_seconds is not None:
            self.restart_due = now + self.restart_seconds

    def restart(self, now: float) -> None:
        """Starts a new incarnation with the initial weights and no cache."""
        self.now = now
        if not self.incarnation:
            self._start_incarnation()

    def _start_incarnation(self) -> None:
        self.starts += 1
        self.incarnation = f"{self.name}-{self.seed}-{self.starts}"
        self.weights = self.boot_weights
        self.adapters = list(self.boot_adapters)
        self.role = "both"
        if self.resets_fencing:
            self.fencing = 0
        self._reset()

    def _reset(self) -> None:
        self.streams: dict[tuple[str, int], fake_streams.FakeStream] = {}
        self.ended: collections.OrderedDict[
            tuple[str, int], fake_streams.FakeStream
        ] = collections.OrderedDict()
        self.interactive: collections.deque[fake_streams.FakeStream] = (
            collections.deque()
        )
        self.batch: collections.deque[fake_streams.FakeStream] = (
            collections.deque()
        )
        self.prefill: fake_streams.FakeStream | None = None
        self.decoding: list[fake_streams.FakeStream] = []
        self.loading = ""
        self.pending_imports: list[tuple[float, list[bytes]]] = []
        self.statuses: collections.deque[tuple[float, events.EngineStatus]] = (
            collections.deque()
        )
        self.prefill_due = math.inf
        self.decode_due = math.inf
        self.load_due = math.inf
        self.restart_due = math.inf
        self._reset_cache()

    def _reset_cache(self) -> None:
        log = fake_caches.CacheLog(
            faults=self.log_faults, seed=self.seed * 1000 + self.starts
        )
        self.cache = fake_caches.BlockCache(capacity=self.cache_blocks, log=log)

    def _refusal_reason(self, run: actions.RunCompletion) -> str:
        if not self.incarnation:
            return "down"
        if self.slots == 0:
            return "slots"
        if self.loading:
            return "loading"
        adapter = run.completion.adapter
        if adapter and adapter not in self.adapters:
            return "adapter"
        if len(self.interactive) + len(self.batch) >= self.max_waiting:
            return "full"
        return ""

    def _create_stream(
        self,
        run: actions.RunCompletion,
        salt: str,
        chain: list[bytes] | None,
    ) -> fake_streams.FakeStream:
        prompt = run.completion.prompt.encode("utf-8")
        if chain is None:
            chain = blocks.chain(
                salt=salt, prompt=prompt, block_bytes=self.block_bytes
            )
        stream = fake_streams.create_stream(run, prompt, chain)
        stream.poisonous = bool(self.poison) and (
            self.poison in run.completion.prompt
        )
        if run.completion.continued != stream.text(0, stream.first_token):
            self.counters.wrong_continuations += 1
        return stream

    def _queue_of(
        self, stream: fake_streams.FakeStream
    ) -> collections.deque[fake_streams.FakeStream]:
        return self.interactive if stream.interactive else self.batch

    def _next_due_time(self) -> float:
        due = self.decode_due
        if self.prefill_due < due:
            due = self.prefill_due
        if self.load_due < due:
            due = self.load_due
        if self.restart_due < due:
            due = self.restart_due
        if self.pending_imports and self.pending_imports[0][0] < due:
            due = self.pending_imports[0][0]
        return due

    def _run_due(self, due: float) -> None:
        if self.pending_imports and self.pending_imports[0][0] <= due:
            _, imported = self.pending_imports.pop(0)
            stored = self.cache.store(imported, due)
            self.cache.release(imported[:stored])
        elif self.load_due <= due:
            self._end_load()
        elif self.restart_due <= due:
            self._start_incarnation()
        elif self.prefill_due <= due:
            self._end_prefill(due)
        else:
            self._decode_step(due)

    def _begin_prefill(self, now: float) -> None:
        if self.prefill is not None or len(self.decoding) >= self.slots:
            return
        if self.interactive:
            stream = self.interactive.popleft()
        elif self.batch:
            stream = self.batch.popleft()
        else:
            return
        cached_blocks = self.cache.match(stream.chain)
        self.cache.pin(stream.chain[:cached_blocks])
        stream.pinned_blocks = cached_blocks
        stream.cached_tokens = blocks.tokens_in(
            cached_blocks * self.block_bytes
        )
        uncached_tokens = (
            stream.prompt_tokens + stream.first_token - stream.cached_tokens
        )
        self.prefill = stream
        self.prefill_due = now + max(uncached_tokens, 1) * self.token_seconds
        self.counters.runs[stream.request] += 1
        self.output.append(
            events.EngineStarted(
                request=stream.request,
                attempt=stream.attempt,
                incarnation=self.incarnation,
                prompt_tokens=stream.prompt_tokens,
                cached_tokens=stream.cached_tokens,
            )
        )

    def _clear_prefill(self) -> None:
        self.prefill = None
        self.prefill_due = math.inf

    def _end_prefill(self, now: float) -> None:
        stream = self.prefill
        self._clear_prefill()
        computed = stream.prompt_tokens - stream.cached_tokens
        self.counters.computed_tokens += computed
        self.counters.cached_tokens += stream.cached_tokens
        uncached_blocks = stream.chain[stream.pinned_blocks :]
        stream.pinned_blocks += self.cache.store(uncached_blocks, now)
        if not self.decoding:
            self.decode_due = now + self.step_seconds
        self.decoding.append(stream)
        if self._advance([stream], now):
            self._begin_prefill(now)
            self._record_status(now)

    def _decode_step(self, now: float) -> None:
        self.decode_due = now + self.step_seconds
        if self._advance(list(self.decoding), now):
            self._begin_prefill(now)

    def _advance(
        self, streams: list[fake_streams.FakeStream], now: float
    ) -> bool:
        """Generates a token per stream; returns False if the engine crashed."""
        text_every = self.text_every
        ended = []
        for stream in streams:
            if stream.poisonous and stream.generated >= self.poison_after:
                self.crash(now)
                return False
            if stream.first_token + stream.generated < stream.end_token:
                stream.generated += 1
                self.counters.generated_tokens += 1
            unsent = stream.generated - stream.sent
            finished = stream.first_token + stream.generated >= stream.end_token
            if unsent and (
                finished or unsent >= text_every or stream.generated == 1
            ):
                self.output.append(stream.text_event(stream.sent, unsent))
                stream.sent = stream.generated
            if finished:
                self.output.append(stream.ended_event())
                ended.append(stream)
        if ended:
            self._finish(ended)
            self._record_status(now)
        return True

    def _finish(self, ended: list[fake_streams.FakeStream]) -> None:
        for stream in ended:
            self._remove_stream(stream)
            self.ended[(stream.request, stream.attempt)] = stream
            if len(self.ended) > MAX_ENDED_STREAMS:
                self.ended.popitem(last=False)
        self.decoding = [each for each in self.decoding if each not in ended]
        if not self.decoding:
            self.decode_due = math.inf

    def _remove_stream(self, stream: fake_streams.FakeStream) -> None:
        del self.streams[(stream.request, stream.attempt)]
        self.cache.release(stream.chain[: stream.pinned_blocks])

    def _record_status(self, now: float) -> None:
        if self.report_lag > 0:
            self._drop_old_statuses(now)
            self.statuses.append((now, self._snapshot()))

    def _drop_old_statuses(self, now: float) -> None:
        horizon = now - self.report_lag
        while len(self.statuses) > 1 and self.statuses[1][0] <= horizon:
            self.statuses.popleft()

    def _snapshot(self) -> events.EngineStatus:
        return events.EngineStatus(
            incarnation=self.incarnation,
            weights=self.weights,
            adapters=list(self.adapters),
            role=self.role,
            running=len(self.decoding) + (self.prefill is not None),
            waiting=len(self.interactive) + len(self.batch),
            slots=self.slots,
            token_seconds=self.token_seconds,
            step_seconds=self.step_seconds,
            fencing=self.fencing if self.checks_orders else 0,
        )

    def _load(self, weights: str, now: float) -> messages.OrderAnswer:
        if self.loading == weights:
            return self._accept_order()
        if self.loading or self.streams:
            return self._refuse_order("busy")
        if self.weights == weights:
            return self._accept_order()
        self.loading = weights
        self.load_due = now + self.weight_store.begin_load(now)
        return self._accept_order()

    def _end_load(self) -> None:
        self.weights = self.loading
        self.loading = ""
        self.load_due = math.inf
        old_cache = self.cache
        self._reset_cache()
        # The log is kept: events of one incarnation are numbered without a
        # restart.
        self.cache.log = old_cache.log
        for block in old_cache.free:
            old_cache.log.record(block, self.now, stored=False)

    def _accept_order(self) -> messages.OrderAnswer:
        highest = self.fencing if self.checks_orders else 0
        return messages.OrderAnswer(accepted=True, highest=highest)

    def _refuse_order(self, reason: str) -> messages.OrderAnswer:
        highest = self.fencing if self.checks_orders else 0
        return messages.OrderAnswer(
            accepted=False, reason=reason, highest=highest
        )
