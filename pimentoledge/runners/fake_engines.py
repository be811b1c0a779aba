"""A model engine as a pure state machine, with its faults.

It batches continuously: prefill of one completion at a time, beside steps in
which each stream of the batch gets one token. Whoever drives it gives the
time: `step(now)` does everything that is due and returns what came out, and
`next_wake()` says when the next thing is due. The same calls serve a test in
virtual time and the HTTP server.

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
    """Returns what every engine generates for a prompt.

    Args:
        prompt: the prompt.
        first: number of the first token, from 0 over the whole answer.
        count: tokens.
    """
    seed = fake_answers.text_seed(prompt.encode("utf-8"))
    return fake_answers.generate_text(seed, first, count)


@attrs.define(kw_only=True)
class Counters:
    """What an engine did, over all its lives.

    Attributes:
        runs: how often each request id entered the batch.
        computed_tokens: prompt tokens computed.
        cached_tokens: prompt tokens taken from the cache.
        generated_tokens: tokens generated.
        crashes: crashes.
        cancelled: streams cancelled.
        wrong_continuations: continuations of a text that is not its own.
    """

    runs: collections.Counter = attrs.field(factory=collections.Counter)
    computed_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    crashes: int = 0
    cancelled: int = 0
    wrong_continuations: int = 0


class FakeEngine:
    """A model engine without clock, thread or socket.

    Attributes:
        name: first part of its incarnations.
        slots: streams in the batch at most; with none it only keeps KV
            cache, for export and import.
        token_seconds: prefill time of one uncached prompt token.
        step_seconds: time between two tokens of a stream.
        checks_orders: whether it refuses an old fencing number.
        text_every: tokens of a stream per EngineText after its first.
        max_waiting: completions in its own queue; more are refused.
        report_lag: seconds by which the status is late.
        kv_block_seconds: time to export or import one block.
        restart_seconds: time after a crash until it comes back by itself;
            None to stay down until `restart`.
        poison: a prompt with this marker crashes it; empty for none.
        poison_after: tokens that such a prompt generates before the crash.
        resets_fencing: whether a crash makes it forget the highest fencing
            number.
        incarnation: id of this life; empty while it is down.
        weights: weights version loaded; after a crash the one it was made
            with.
        adapters: adapters loaded; likewise.
        role: its role; reported, without further effect.
        fencing: highest fencing number seen.
        cache: its blocks.
        counters: what it did.
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
        """Seconds by which cache events are late."""
        return self.log_faults.delay

    @event_delay.setter
    def event_delay(self, seconds: float) -> None:
        self.log_faults.delay = seconds

    @property
    def event_loss(self) -> float:
        """Share of the cache events that get lost, from 0 to 1."""
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
        """Takes a completion in, or refuses it.

        `max_tokens` counts the whole answer: a continuation generates what
        is left behind its `continued_tokens`.

        Args:
            run: the completion.
            salt: what its cached blocks depend on, beside its text.
            now: the time.
            chain: digests of its blocks, where the caller has them already.

        Returns:
            None when it was taken in, else why not.
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
        """Does all that is due by now, in order; returns what came out."""
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
        """Returns when the next thing is due; None for never."""
        if self.output:
            return self.now
        due = self._next_due_time()
        return None if due == math.inf else due

    def cancel(self, request: str, attempt: int, now: float) -> bool:
        """Ends a stream; False when it isn't here."""
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
        """Returns a stream from a token on, as far as it got.

        What comes after is part of the next steps' output, as always.

        Args:
            request: request id.
            attempt: attempt number.
            index: first token wanted, from 0 within the attempt.

        Returns:
            The text, and the end if it has ended; None for a stream that the
            engine does not have or no longer knows.
        """
        key = (request, attempt)
        stream = self.streams.get(key) or self.ended.get(key)
        if stream is None or index > stream.sent:
            return None
        found: list[streams.Event] = []
        if index < stream.sent:
            found.append(stream.text_event(index, stream.sent - index))
        if key in self.ended:
            found.append(stream.ended_event())
        return found

    def status(self, now: float) -> events.EngineStatus:
        """Returns what the engine says of itself; late by `report_lag`."""
        if not self.incarnation:
            return events.EngineStatus()
        if self.report_lag <= 0 or not self.statuses:
            return self._snapshot()
        self._drop_old_statuses(now)
        return self.statuses[0][1]

    def cache_events(
        self, after: int, now: float
    ) -> messages.CacheEvents | None:
        """Returns cache events of this life; None while it is down."""
        if not self.incarnation:
            return None
        return messages.CacheEvents(
            incarnation=self.incarnation,
            events=self.cache.log.read(after, now),
        )

    def order(self, order: messages.Order, now: float) -> messages.OrderAnswer:
        """Carries out an order, or refuses it.

        A load empties the cache and takes the weight store's time, in which
        the engine takes no completion; it is refused while there is work.
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
        """Returns the blocks of a chain that are here, from its start."""
        found = chain[: self.cache.match(chain)] if self.incarnation else []
        seconds = self.kv_block_seconds * len(found)
        return messages.KvBlocks(blocks=found, seconds=seconds)

    def import_kv(self, kv: messages.KvBlocks, now: float) -> float | None:
        """Takes blocks in; returns the seconds until they can be used.

        Returns:
            None while the engine is down or loads weights.
        """
        self.now = now
        if not self.incarnation or self.loading:
            return None
        seconds = self.kv_block_seconds * len(kv.blocks)
        self.pending_imports.append((now + seconds, kv.blocks))
        self.pending_imports.sort(key=lambda each: each[0])
        return seconds

    def crash(self, now: float) -> None:
        """Dies: all streams break, and the cache is lost."""
        self.now = now
        if not self.incarnation:
            return
        self.counters.crashes += 1
        for key in self.streams:
            # From outside nobody can tell whether a stream had begun.
            self.output.append(
                fake_streams.broken_event(key, results.Ran.RAN, CRASHED)
            )
        self._reset()
        self.incarnation = ""
        if self.restart_seconds is not None:
            self.restart_due = now + self.restart_seconds

    def restart(self, now: float) -> None:
        """Comes back empty, as it was made, with a new incarnation."""
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
        uncached = (
            stream.prompt_tokens + stream.first_token - stream.cached_tokens
        )
        self.prefill = stream
        self.prefill_due = now + max(uncached, 1) * self.token_seconds
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
        uncached = stream.chain[stream.pinned_blocks :]
        stream.pinned_blocks += self.cache.store(uncached, now)
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
        """Gives each stream a token; False when that crashed the engine."""
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
        # Numbers go on: one incarnation has one sequence of events.
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
