"""Model engines and KV cache servers in virtual time, for routers' decisions.

An engine runs in steps. Each gives every request past its prompt a token, and
reads one chunk of the prompts that are yet to be read, in turn: so one long
prompt slows all answers of its engine, and a short one waits little for it.
Memory is shared by what runs and by cached parts; the least recently used part
that nobody runs on yields first. Transfers of cached parts queue at both links.
"""

import collections
from collections.abc import Callable
import heapq
import itertools

import attrs

from pimentoledge.routing import request_types

# A transfer that would wait longer than this is not started.
MOST_TRANSFER_WAIT_SECONDS = 2.0
# Between data centres a transfer takes so many times as long.
ELSEWHERE_TIMES = 2.0


class Agenda:
    """Virtual time: what is due when.

    Attributes:
        now: the time, in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Plans an action."""
        item = (max(when, self.now), next(self._numbers), action)
        heapq.heappush(self._due, item)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Plans an action some seconds from now."""
        self.at(self.now + seconds, action)

    def run(self, until: float) -> None:
        """Does all that is due up to a time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until


@attrs.frozen(kw_only=True)
class Shape:
    """An engine's figures.

    Attributes:
        slots: requests that run at once.
        waiting: requests that may wait besides.
        memory_tokens: tokens of its memory.
        step_seconds: a step with one request and nothing to read.
        slot_seconds: added to a step for each further request.
        read_tokens: prompt tokens read in a second.
        pair_seconds: added for each pair of a read token and one before it.
        chunk_tokens: prompt tokens read in a step at most.
        first_seconds: from a read prompt to its first event's leaving.
        event_steps: steps for each event.
        token_bytes: memory of a token.
        link_bytes: bytes that its link carries in a second.
        load_seconds: to load weights.
    """

    slots: int = 16
    waiting: int = 48
    memory_tokens: int = 59572
    step_seconds: float = 0.00612
    slot_seconds: float = 0.0000234
    read_tokens: float = 32400.0
    pair_seconds: float = 1.18e-9
    chunk_tokens: int = 1024
    first_seconds: float = 0.064
    event_steps: int = 4
    token_bytes: int = 131072
    link_bytes: float = 550e9 / 8
    load_seconds: float = 0.55


@attrs.define(kw_only=True)
class Totals:
    """What all engines did.

    Attributes:
        read: prompt tokens read.
        again: of these, tokens of shared parts that some engine had read
            under the same namespace before.
        kept: prompt tokens found in an engine's memory, or fetched.
        moved_bytes: cached memory sent over links.
        not_started: transfers that would have waited too long.
        readers: engines that read each part, by namespace and name.
    """

    read: int = 0
    again: int = 0
    kept: int = 0
    moved_bytes: int = 0
    not_started: int = 0
    readers: collections.Counter = attrs.field(factory=collections.Counter)


@attrs.define(kw_only=True, eq=False)
class Link:
    """One end of transfers, which it carries one after another.

    Attributes:
        data_centre: where it is.
        speed: bytes in a second.
        free_at: when it has nothing left to carry.
    """

    data_centre: str
    speed: float
    free_at: float = 0.0


def transfer(source: Link, target: Link, size: int, now: float) -> float | None:
    """Returns when a transfer that is asked for now ends, or None.

    One that would wait too long is not started.
    """
    starts = max(now, source.free_at, target.free_at)
    if starts - now > MOST_TRANSFER_WAIT_SECONDS:
        return None
    seconds = size / min(source.speed, target.speed)
    if source.data_centre != target.data_centre:
        seconds *= ELSEWHERE_TIMES
    source.free_at = target.free_at = starts + seconds
    return starts + seconds


class Kept:
    """Cached parts by namespace and name, least recently used first.

    Attributes:
        tokens: sum of them.
    """

    def __init__(self):
        self.parts: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def prefix(self, namespace: str, parts: list[request_types.Part]) -> int:
        """Returns how many of the first parts are kept, and uses them."""
        found = 0
        for part in parts:
            if (namespace, part.name) not in self.parts:
                break
            found += 1
        for part in reversed(parts[:found]):
            self.parts.move_to_end((namespace, part.name))
        return found

    def put(self, namespace: str, part: request_types.Part) -> None:
        """Keeps a part."""
        key = (namespace, part.name)
        if key not in self.parts:
            self.parts[key] = part.tokens
            self.tokens += part.tokens
        self.parts.move_to_end(key)

    def drop_to(self, most: int, used: collections.Counter) -> None:
        """Lets the least recently used parts yield that nobody runs on."""
        if self.tokens <= most:
            return
        for key in list(self.parts):
            if used[key]:
                continue
            self.tokens -= self.parts.pop(key)
            if self.tokens <= most:
                return


class CacheServer:
    """Keeps parts that engines save.

    Attributes:
        address: of it.
        link: carries what is fetched from it.
        inward: carries what is saved to it.
        memory_tokens: tokens that it keeps.
        kept: the parts.
    """

    def __init__(self, *, address: str, link: Link, memory_tokens: int):
        self.address = address
        self.link = link
        self.inward = Link(data_centre=link.data_centre, speed=link.speed)
        self.memory_tokens = memory_tokens
        self.kept = Kept()

    def put(self, namespace: str, parts: list[request_types.Part]) -> None:
        """Keeps parts that have come."""
        for part in parts:
            self.kept.put(namespace, part)
        self.kept.drop_to(self.memory_tokens, collections.Counter())


@attrs.define(kw_only=True, eq=False)
class Run:
    """A request at an engine.

    Attributes:
        client_request: the request.
        sent: what was sent with it.
        events: events that it makes.
        began: called at the first event.
        paused: called with the pause before each further event.
        ended: called at its end, with whether it is complete.
        parts: the parts of its prompt, its own included.
        ready: whether nothing is to be fetched for it any more.
        left: prompt tokens yet to be read; None before it is admitted.
        done: prompt tokens that its engine has of it.
        steps: steps that it has made tokens in.
        turn: grows whenever a chunk of it is read.
        event_at: when its newest event left.
    """

    client_request: request_types.ClientRequest
    sent: request_types.Dispatch
    events: int
    began: Callable[[], None]
    paused: Callable[[float], None]
    ended: Callable[[bool], None]
    parts: list[request_types.Part] = attrs.field(factory=list)
    ready: bool = False
    left: int | None = None
    done: int = 0
    steps: int = 0
    turn: int = 0
    event_at: float | None = None

    @property
    def tokens(self) -> int:
        """Memory that its prompt and its answer take."""
        return self.client_request.prompt_tokens + self.steps


class Engine:
    """One runner's engine.

    Attributes:
        name: the server's id.
        shape: its figures.
        link: carries its transfers.
        agenda: virtual time.
        totals: what all engines did.
        sources: links and kept parts by address.
        cache_servers: by address.
        waiting: requests that don't run yet.
        running: those that do.
        kept: cached parts.
        loading: whether it loads weights.
        up: whether it answers.
        version: of the weights that it has.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        data_centre: str,
        shape: Shape,
        agenda: Agenda,
        totals: Totals,
        sources: dict[str, "Engine | CacheServer"],
    ):
        self.name = name
        self.shape = shape
        self.link = Link(data_centre=data_centre, speed=shape.link_bytes)
        self.agenda = agenda
        self.totals = totals
        self.sources = sources
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.kept = Kept()
        self.used: collections.Counter = collections.Counter()
        self.loading = False
        self.up = True
        self.version = 1
        self._stepping = False
        self._turns = itertools.count(1)
        sources[address] = self

    def load(self) -> request_types.ServerLoad:
        """Returns what it says of its load: what is being read waits."""
        reading = sum(1 for each in self.running if each.left)
        return request_types.ServerLoad(
            running=len(self.running) - reading,
            waiting=len(self.waiting) + reading,
            slots=self.shape.slots,
        )

    def submit(self, run: Run) -> bool:
        """Takes a request, or returns that it is full or loading."""
        full = len(self.waiting) >= self.shape.waiting
        if full or self.loading:
            return False
        run.parts = list(run.client_request.parts)
        self.waiting.append(run)
        self._fetch(run)
        return True

    def cancel(self, run: Run) -> None:
        """Stops a request."""
        if run in self.waiting:
            self.waiting.remove(run)
        elif run in self.running:
            self._leave(run)

    def load_weights(self, done: Callable[[], None]) -> None:
        """Loads weights: what it kept is gone, what runs goes on."""
        self.loading = True
        self.kept = Kept()

        def loaded() -> None:
            self.loading = False
            self.kept = Kept()
            done()

        self.agenda.after(self.shape.load_seconds, loaded)

    def _fetch(self, run: Run) -> None:
        """Fetches what a source keeps of a prompt beyond what is kept here."""
        source = self.sources.get(run.sent.fetch_from or "")
        namespace = run.sent.namespace or ""
        have = self.kept.prefix(namespace, run.parts)
        more = 0 if source is None else source.kept.prefix(namespace, run.parts)
        wanted = run.parts[have:more]
        if not wanted:
            self._ready(run)
            return
        size = sum(each.tokens for each in wanted) * self.shape.token_bytes
        ends = transfer(source.link, self.link, size, self.agenda.now)
        if ends is None:
            self.totals.not_started += 1
            self._ready(run)
            return
        self.totals.moved_bytes += size

        def fetched() -> None:
            for part in wanted:
                self.kept.put(namespace, part)
            self._ready(run)

        self.agenda.at(ends, fetched)

    def _ready(self, run: Run) -> None:
        run.ready = True
        self._wake()

    def _wake(self) -> None:
        if not self._stepping:
            self._stepping = True
            self._step()

    def _memory(self) -> int:
        """Returns tokens that running requests take, shared parts once."""
        parts = {
            (each.sent.namespace, part.name): part.tokens
            for each in self.running
            for part in each.parts
        }
        made = sum(each.steps for each in self.running)
        return made + sum(parts.values())

    def _admit(self) -> None:
        """Lets requests run while there are slots and memory."""
        if not self.waiting or len(self.running) >= self.shape.slots:
            return
        self.waiting.sort(key=lambda each: each.sent.urgency or 0)
        memory = self._memory()
        for run in [each for each in self.waiting if each.ready]:
            if len(self.running) >= self.shape.slots:
                return
            if self.running and (
                memory + run.client_request.prompt_tokens
                > self.shape.memory_tokens
            ):
                return
            self.waiting.remove(run)
            self._begin(run)
            memory = self._memory()

    def _begin(self, run: Run) -> None:
        namespace = run.sent.namespace or ""
        have = self.kept.prefix(namespace, run.parts)
        run.done = sum(each.tokens for each in run.parts[:have])
        run.left = max(1, run.client_request.prompt_tokens - run.done)
        self.totals.kept += run.done
        self.totals.read += run.left
        for part in run.parts[have:-1]:
            if self.totals.readers[namespace, part.name]:
                self.totals.again += part.tokens
            self.totals.readers[namespace, part.name] += 1
        for part in run.parts:
            self.used[namespace, part.name] += 1
        self.running.append(run)

    def _leave(self, run: Run) -> None:
        self.running.remove(run)
        for part in run.parts:
            self.used[run.sent.namespace or "", part.name] -= 1

    def _step(self) -> None:
        self._admit()
        if not self.running or not self.up:
            self._stepping = False
            return
        budget = self.shape.chunk_tokens
        seconds = self.shape.step_seconds
        seconds += self.shape.slot_seconds * len(self.running)
        reads: list[tuple[Run, int]] = []
        self.running.sort(key=lambda each: each.turn)
        for run in self.running:
            if not run.left or budget <= 0:
                continue
            run.turn = next(self._turns)
            tokens = min(budget, run.left)
            budget -= tokens
            reads.append((run, tokens))
            pairs = tokens * (run.done + tokens / 2)
            seconds += tokens / self.shape.read_tokens
            seconds += pairs * self.shape.pair_seconds
        decoding = [each for each in self.running if not each.left]
        self.agenda.after(seconds, lambda: self._end_step(reads, decoding))

    def _end_step(
        self, reads: list[tuple[Run, int]], decoding: list[Run]
    ) -> None:
        for run in decoding:
            if run in self.running:
                self._make_token(run)
        for run, tokens in reads:
            if run in self.running:
                run.left -= tokens
                run.done += tokens
                if not run.left:
                    self._has_read(run)
        most = self.shape.memory_tokens - sum(
            each.done if each.left else each.steps for each in self.running
        )
        self.kept.drop_to(most, self.used)
        self._step()

    def _has_read(self, run: Run) -> None:
        namespace = run.sent.namespace or ""
        for part in run.parts:
            self.kept.put(namespace, part)
        self._save(run)
        self.agenda.after(self.shape.first_seconds, lambda: self._first(run))

    def _first(self, run: Run) -> None:
        if run in self.running:
            run.event_at = self.agenda.now
            run.began()

    def _save(self, run: Run) -> None:
        """Sends a prompt's parts to the KV cache server that lacks them."""
        server = self.sources.get(run.sent.save_to or "")
        if server is None:
            return
        namespace = run.sent.namespace or ""
        have = server.kept.prefix(namespace, run.parts)
        size = sum(each.tokens for each in run.parts[have:])
        size *= self.shape.token_bytes
        ends = transfer(self.link, server.inward, size, self.agenda.now)
        if ends is None:
            self.totals.not_started += 1
            return
        self.totals.moved_bytes += size
        self.agenda.at(ends, lambda: server.put(namespace, run.parts))

    def _make_token(self, run: Run) -> None:
        run.steps += 1
        if run.event_at is None or run.steps % self.shape.event_steps:
            return
        now = self.agenda.now
        run.paused(now - run.event_at)
        run.event_at = now
        if run.steps >= run.events * self.shape.event_steps:
            self._leave(run)
            run.ended(True)
