"""Simulated engines and KV cache servers in virtual time.

An engine runs in steps. A step generates a token for each request whose prompt
is read, and prefills one chunk of the other prompts, round-robin. So a long
prompt slows all answers of its engine, but a short one waits little for it.
Running requests and cached prompt parts share the memory; the least recently
used part that no running request uses is evicted first. Transfers of cached
parts queue at the links of both ends.
"""

import collections
from collections.abc import Callable
import heapq
import itertools

import attrs

from pimentoledge.routing import request_types

# Transfers that would wait longer than this are not started.
MAX_TRANSFER_WAIT_SECONDS = 2.0
# Transfers between data centres take so many times as long.
CROSS_CENTRE_FACTOR = 2.0


class Scheduler:
    """Scheduler of actions in virtual time.

    Attributes:
        now: current virtual time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def schedule(self, due_at: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        item = (max(due_at, self.now), next(self._sequence), action)
        heapq.heappush(self._scheduled, item)

    def schedule_after(
        self, seconds: float, action: Callable[[], None]
    ) -> None:
        """Schedules an action some seconds from now."""
        self.schedule(self.now + seconds, action)

    def run(self, until: float) -> None:
        """Runs all actions that are due up to a time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, action = heapq.heappop(self._scheduled)
            action()
        self.now = until


@attrs.frozen(kw_only=True)
class EngineSpec:
    """Sizes and speeds of an engine.

    Attributes:
        slots: maximum number of running requests.
        max_waiting: maximum number of waiting requests.
        memory_tokens: KV cache memory in tokens.
        step_seconds: base duration of a step without prefill.
        slot_seconds: duration added to a step for each running request.
        prefill_tokens_per_second: prompt tokens prefilled per second.
        pair_seconds: duration added for each pair of a prefilled token and one
            before it, as for attention.
        chunk_tokens: maximum number of prompt tokens prefilled in a step.
        first_event_seconds: time from the end of prefill to the first event.
        steps_per_event: steps, and so tokens, of each event.
        token_bytes: KV cache memory of a token.
        link_bytes_per_second: bandwidth of the engine's link.
        load_seconds: time to load weights.
    """

    slots: int = 16
    max_waiting: int = 48
    memory_tokens: int = 59572
    step_seconds: float = 0.00612
    slot_seconds: float = 0.0000234
    prefill_tokens_per_second: float = 32400.0
    pair_seconds: float = 1.18e-9
    chunk_tokens: int = 1024
    first_event_seconds: float = 0.064
    steps_per_event: int = 4
    token_bytes: int = 131072
    link_bytes_per_second: float = 550e9 / 8
    load_seconds: float = 0.55


@attrs.define(kw_only=True)
class Totals:
    """Counts of all engines' work.

    Attributes:
        prefill_tokens: prompt tokens prefilled.
        repeated_tokens: of these, tokens of shared parts that an engine had
            already prefilled under the same namespace.
        cached_tokens: prompt tokens found in an engine's memory, or fetched.
        moved_bytes: bytes of cached parts sent over links.
        not_started: transfers that would have waited too long.
        prefill_counts: number of prefills of each part, by namespace and name.
    """

    prefill_tokens: int = 0
    repeated_tokens: int = 0
    cached_tokens: int = 0
    moved_bytes: int = 0
    not_started: int = 0
    prefill_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )


@attrs.define(kw_only=True, eq=False)
class Link:
    """A network link of one node, which carries one transfer at a time.

    Attributes:
        data_centre: data centre of the node.
        bytes_per_second: bandwidth.
        free_at: when the last transfer in its queue ends.
    """

    data_centre: str
    bytes_per_second: float
    free_at: float = 0.0


def transfer(source: Link, target: Link, size: int, now: float) -> float | None:
    """Queues a transfer at both links and returns when it ends.

    Returns None if the transfer would wait too long and is not started.
    """
    starts_at = max(now, source.free_at, target.free_at)
    if starts_at - now > MAX_TRANSFER_WAIT_SECONDS:
        return None
    seconds = size / min(source.bytes_per_second, target.bytes_per_second)
    if source.data_centre != target.data_centre:
        seconds *= CROSS_CENTRE_FACTOR
    source.free_at = target.free_at = starts_at + seconds
    return starts_at + seconds


class PrefixCache:
    """Cached parts by namespace and name, least recently used first.

    Attributes:
        parts: tokens of each part by namespace and name.
        tokens: total tokens of the parts.
    """

    def __init__(self):
        self.parts: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def use_prefix(
        self, namespace: str, parts: list[request_types.Part]
    ) -> int:
        """Returns the number of leading parts cached; marks them as used."""
        count = 0
        for part in parts:
            if (namespace, part.name) not in self.parts:
                break
            count += 1
        for part in reversed(parts[:count]):
            self.parts.move_to_end((namespace, part.name))
        return count

    def put(self, namespace: str, part: request_types.Part) -> None:
        """Adds a part, or marks it as used."""
        key = (namespace, part.name)
        if key not in self.parts:
            self.parts[key] = part.tokens
            self.tokens += part.tokens
        self.parts.move_to_end(key)

    def evict_to(
        self, max_tokens: int, use_counts: collections.Counter
    ) -> None:
        """Evicts the least recently used parts that are not in use."""
        if self.tokens <= max_tokens:
            return
        for key in list(self.parts):
            if use_counts[key]:
                continue
            self.tokens -= self.parts.pop(key)
            if self.tokens <= max_tokens:
                return


class CacheServer:
    """A KV cache server, which stores the parts that engines save.

    Attributes:
        address: the server's address.
        link: link for parts that engines fetch.
        inbound_link: link for parts that engines save.
        memory_tokens: capacity in tokens.
        cache: the stored parts.
    """

    def __init__(self, *, address: str, link: Link, memory_tokens: int):
        self.address = address
        self.link = link
        self.inbound_link = Link(
            data_centre=link.data_centre, bytes_per_second=link.bytes_per_second
        )
        self.memory_tokens = memory_tokens
        self.cache = PrefixCache()

    def put(self, namespace: str, parts: list[request_types.Part]) -> None:
        """Stores parts and evicts others beyond the capacity."""
        for part in parts:
            self.cache.put(namespace, part)
        self.cache.evict_to(self.memory_tokens, collections.Counter())


@attrs.define(kw_only=True, eq=False)
class Run:
    """A request at an engine.

    Attributes:
        client_request: the request.
        dispatch: the router's dispatch of the request.
        events: number of events of the answer.
        on_first_event: called at the first event.
        on_event_gap: called with the seconds before each further event.
        on_end: called at the end, with whether the answer is complete.
        parts: all parts of the prompt.
        ready: whether no transfer of cached parts is pending.
        tokens_left: prompt tokens not yet prefilled; None until it starts.
        tokens_read: prompt tokens in the engine's memory.
        steps: number of generated tokens.
        last_read_number: number of the last prefill of one of its chunks; the
            request with the lowest one is next.
        last_event_at: time of the last event.
    """

    client_request: request_types.ClientRequest
    dispatch: request_types.Dispatch
    events: int
    on_first_event: Callable[[], None]
    on_event_gap: Callable[[float], None]
    on_end: Callable[[bool], None]
    parts: list[request_types.Part] = attrs.field(factory=list)
    ready: bool = False
    tokens_left: int | None = None
    tokens_read: int = 0
    steps: int = 0
    last_read_number: int = 0
    last_event_at: float | None = None

    @property
    def tokens(self) -> int:
        """Tokens of memory used by the prompt and the answer."""
        return self.client_request.prompt_tokens + self.steps


class Engine:
    """One runner's engine.

    Attributes:
        name: the server's id.
        spec: sizes and speeds.
        link: link for transfers of cached parts.
        scheduler: scheduler in virtual time.
        totals: counts of all engines' work.
        sources: engines and KV cache servers by address.
        waiting: waiting requests.
        running: running requests.
        cache: cached parts.
        use_counts: running requests of each part, by namespace and name.
        loading: whether weights are being loaded.
        up: whether the engine responds.
        version: version of the loaded weights.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        data_centre: str,
        spec: EngineSpec,
        scheduler: Scheduler,
        totals: Totals,
        sources: dict[str, "Engine | CacheServer"],
    ):
        self.name = name
        self.spec = spec
        self.link = Link(
            data_centre=data_centre, bytes_per_second=spec.link_bytes_per_second
        )
        self.scheduler = scheduler
        self.totals = totals
        self.sources = sources
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.cache = PrefixCache()
        self.use_counts: collections.Counter = collections.Counter()
        self.loading = False
        self.up = True
        self.version = 1
        self._stepping = False
        self._read_numbers = itertools.count(1)
        sources[address] = self

    def load(self) -> request_types.ServerLoad:
        """Returns the reported load; requests in prefill count as waiting."""
        reading = sum(1 for each in self.running if each.tokens_left)
        return request_types.ServerLoad(
            running=len(self.running) - reading,
            waiting=len(self.waiting) + reading,
            slots=self.spec.slots,
        )

    def submit(self, run: Run) -> bool:
        """Queues a request; returns False if the engine is full or loading."""
        full = len(self.waiting) >= self.spec.max_waiting
        if full or self.loading:
            return False
        run.parts = list(run.client_request.parts)
        self.waiting.append(run)
        self._fetch(run)
        return True

    def cancel(self, run: Run) -> None:
        """Cancels a request."""
        if run in self.waiting:
            self.waiting.remove(run)
        elif run in self.running:
            self._remove(run)

    def load_weights(self, done: Callable[[], None]) -> None:
        """Loads weights; clears the cache, but running requests continue."""
        self.loading = True
        self.cache = PrefixCache()

        def loaded() -> None:
            self.loading = False
            self.cache = PrefixCache()
            done()

        self.scheduler.schedule_after(self.spec.load_seconds, loaded)

    def _fetch(self, run: Run) -> None:
        """Fetches the leading prompt parts that only the source has cached."""
        source = self.sources.get(run.dispatch.fetch_from or "")
        namespace = run.dispatch.namespace or ""
        cached_count = self.cache.use_prefix(namespace, run.parts)
        source_count = (
            0
            if source is None
            else source.cache.use_prefix(namespace, run.parts)
        )
        missing = run.parts[cached_count:source_count]
        if not missing:
            self._set_ready(run)
            return
        size = sum(each.tokens for each in missing) * self.spec.token_bytes
        ends_at = transfer(source.link, self.link, size, self.scheduler.now)
        if ends_at is None:
            self.totals.not_started += 1
            self._set_ready(run)
            return
        self.totals.moved_bytes += size

        def fetched() -> None:
            for part in missing:
                self.cache.put(namespace, part)
            self._set_ready(run)

        self.scheduler.schedule(ends_at, fetched)

    def _set_ready(self, run: Run) -> None:
        run.ready = True
        self._start_stepping()

    def _start_stepping(self) -> None:
        if not self._stepping:
            self._stepping = True
            self._step()

    def _running_tokens(self) -> int:
        """Returns the memory of running requests; shared parts count once."""
        parts = {
            (each.dispatch.namespace, part.name): part.tokens
            for each in self.running
            for part in each.parts
        }
        generated = sum(each.steps for each in self.running)
        return generated + sum(parts.values())

    def _admit(self) -> None:
        """Starts ready requests while there are free slots and memory."""
        if not self.waiting or len(self.running) >= self.spec.slots:
            return
        self.waiting.sort(key=lambda each: each.dispatch.urgency or 0)
        memory = self._running_tokens()
        for run in [each for each in self.waiting if each.ready]:
            if len(self.running) >= self.spec.slots:
                return
            if self.running and (
                memory + run.client_request.prompt_tokens
                > self.spec.memory_tokens
            ):
                return
            self.waiting.remove(run)
            self._start(run)
            memory = self._running_tokens()

    def _start(self, run: Run) -> None:
        namespace = run.dispatch.namespace or ""
        cached_count = self.cache.use_prefix(namespace, run.parts)
        run.tokens_read = sum(each.tokens for each in run.parts[:cached_count])
        run.tokens_left = max(
            1, run.client_request.prompt_tokens - run.tokens_read
        )
        self.totals.cached_tokens += run.tokens_read
        self.totals.prefill_tokens += run.tokens_left
        for part in run.parts[cached_count:-1]:
            if self.totals.prefill_counts[namespace, part.name]:
                self.totals.repeated_tokens += part.tokens
            self.totals.prefill_counts[namespace, part.name] += 1
        for part in run.parts:
            self.use_counts[namespace, part.name] += 1
        self.running.append(run)

    def _remove(self, run: Run) -> None:
        self.running.remove(run)
        for part in run.parts:
            self.use_counts[run.dispatch.namespace or "", part.name] -= 1

    def _step(self) -> None:
        self._admit()
        if not self.running or not self.up:
            self._stepping = False
            return
        budget = self.spec.chunk_tokens
        seconds = self.spec.step_seconds
        seconds += self.spec.slot_seconds * len(self.running)
        reads: list[tuple[Run, int]] = []
        self.running.sort(key=lambda each: each.last_read_number)
        for run in self.running:
            if not run.tokens_left or budget <= 0:
                continue
            run.last_read_number = next(self._read_numbers)
            tokens = min(budget, run.tokens_left)
            budget -= tokens
            reads.append((run, tokens))
            pairs = tokens * (run.tokens_read + tokens / 2)
            seconds += tokens / self.spec.prefill_tokens_per_second
            seconds += pairs * self.spec.pair_seconds
        decoding = [each for each in self.running if not each.tokens_left]
        self.scheduler.schedule_after(
            seconds, lambda: self._end_step(reads, decoding)
        )

    def _end_step(
        self, reads: list[tuple[Run, int]], decoding: list[Run]
    ) -> None:
        for run in decoding:
            if run in self.running:
                self._generate_token(run)
        for run, tokens in reads:
            if run in self.running:
                run.tokens_left -= tokens
                run.tokens_read += tokens
                if not run.tokens_left:
                    self._finish_prefill(run)
        max_cached = self.spec.memory_tokens - sum(
            each.tokens_read if each.tokens_left else each.steps
            for each in self.running
        )
        self.cache.evict_to(max_cached, self.use_counts)
        self._step()

    def _finish_prefill(self, run: Run) -> None:
        namespace = run.dispatch.namespace or ""
        for part in run.parts:
            self.cache.put(namespace, part)
        self._save(run)
        self.scheduler.schedule_after(
            self.spec.first_event_seconds, lambda: self._send_first_event(run)
        )

    def _send_first_event(self, run: Run) -> None:
        if run in self.running:
            run.last_event_at = self.scheduler.now
            run.on_first_event()

    def _save(self, run: Run) -> None:
        """Sends a prompt's parts that the KV cache server lacks to it."""
        server = self.sources.get(run.dispatch.save_to or "")
        if server is None:
            return
        namespace = run.dispatch.namespace or ""
        cached_count = server.cache.use_prefix(namespace, run.parts)
        size = sum(each.tokens for each in run.parts[cached_count:])
        size *= self.spec.token_bytes
        ends_at = transfer(
            self.link, server.inbound_link, size, self.scheduler.now
        )
        if ends_at is None:
            self.totals.not_started += 1
            return
        self.totals.moved_bytes += size
        self.scheduler.schedule(
            ends_at, lambda: server.put(namespace, run.parts)
        )

    def _generate_token(self, run: Run) -> None:
        run.steps += 1
        if run.last_event_at is None or run.steps % self.spec.steps_per_event:
            return
        now = self.scheduler.now
        run.on_event_gap(now - run.last_event_at)
        run.last_event_at = now
        if run.steps >= run.events * self.spec.steps_per_event:
            self._remove(run)
            run.on_end(True)
