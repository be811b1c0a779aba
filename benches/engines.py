"""Simulates a runner's engine, step by step in virtual time.

The engine runs every request that the agent's admission submits. Each step
generates one token for every request past its prefill and spends a budget of
prompt tokens on the others, interactive ones first. The cache of prompt blocks
is limited; the least recently used block is evicted first.
"""

import collections

import attrs

from benches import workloads

_CHUNK_TOKENS = 512


@attrs.define(kw_only=True, eq=False)
class Job:
    """A request in an engine.

    Attributes:
        arrival: the request.
        attempt: number of the attempt.
        expected_tokens: cached tokens that the entry expected.
        crashes: number of engines known to have crashed on the request.
        cached: prompt tokens found in the cache; None before the start.
        tokens_left: tokens to compute before the next one is generated.
        stored_blocks: number of prompt blocks already put into the cache.
        generated: tokens generated.
    """

    arrival: workloads.Arrival
    attempt: int
    expected_tokens: int
    crashes: int = 0
    cached: int | None = None
    tokens_left: int = 0
    stored_blocks: int = 0
    generated: int = 0


class Holders:
    """Counts the running engines that have each block cached.

    Attributes:
        counts: number of engines by block.
    """

    def __init__(self):
        self.counts: collections.Counter[bytes] = collections.Counter()

    def add(self, block: bytes):
        """Adds an engine that has cached a block."""
        self.counts[block] += 1

    def remove(self, block: bytes):
        """Removes an engine that no longer has a block cached."""
        if self.counts[block] <= 1:
            del self.counts[block]
        else:
            self.counts[block] -= 1

    def depth(self, blocks: list[bytes]) -> int:
        """Returns how many leading blocks are each cached by some engine."""
        return _leading_cached(blocks, self.counts)


def _leading_cached(blocks: list[bytes], cached) -> int:
    for depth, block in enumerate(blocks):
        if block not in cached:
            return depth
    return len(blocks)


class Engine:
    """One engine.

    Attributes:
        name: the runner's name.
        pool: the runner's sizes and speeds.
        holders: shared counts of cached blocks, for the wasted tokens.
        batch: jobs in the batch.
        cache: cached blocks, least recently used first.
        prefilled: prompt tokens of the running step, by job.
        started: jobs that started, each with the prompt tokens that it computes
            although another engine has them cached.
    """

    def __init__(
        self, *, name: str, pool: workloads.RunnerPool, holders: Holders
    ):
        self.name = name
        self.pool = pool
        self.holders = holders
        self.batch: list[Job] = []
        self.cache: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self.prefilled: list[tuple[Job, int]] = []
        self.started: list[tuple[Job, int]] = []

    def submit(self, job: Job):
        """Adds a new or paused job to the batch."""
        job.cached = None
        job.tokens_left = (
            job.arrival.prompt_tokens - job.expected_tokens + job.generated
        )
        self.batch.append(job)

    def cancel(self, job: Job):
        """Removes a job from the batch and from the running step."""
        self.batch.remove(job)
        self.prefilled = [each for each in self.prefilled if each[0] is not job]

    def idle(self) -> bool:
        """Returns whether the batch is empty."""
        return not self.batch

    def left_tokens(self) -> int:
        """Returns the tokens left to compute of all jobs."""
        return sum(job.tokens_left for job in self.batch)

    def depth(self, blocks: list[bytes]) -> int:
        """Returns how many leading blocks are in the cache."""
        return _leading_cached(blocks, self.cache)

    def start_step(self) -> float:
        """Starts a step and returns its duration in seconds."""
        budget = _CHUNK_TOKENS
        self.prefilled = []
        order = sorted(
            (
                job
                for job in self.batch
                if job.cached is None or job.tokens_left
            ),
            key=lambda job: job.arrival.priority != workloads.INTERACTIVE,
        )
        for job in order:
            if budget <= 0:
                break
            if job.cached is None:
                self.use_cached_prefix(job)
            tokens = min(budget, job.tokens_left)
            budget -= tokens
            self.prefilled.append((job, tokens))
        prefill_seconds = (_CHUNK_TOKENS - budget) * self.pool.token_seconds
        return self.pool.step_seconds + prefill_seconds

    def use_cached_prefix(self, job: Job):
        """Starts a job with the cached prefix of its prompt."""
        depth = self.depth(job.arrival.blocks)
        cached_anywhere = self.holders.depth(job.arrival.blocks)
        wasted = max(0, cached_anywhere - depth) * workloads.BLOCK_TOKENS
        job.cached = depth * workloads.BLOCK_TOKENS
        job.stored_blocks = depth
        # At least one token is computed, to get the first token of the answer.
        # Generated tokens of a resumed job are computed again too.
        known = job.arrival.prompt_tokens + job.generated
        job.tokens_left = max(1, known - job.cached)
        self.touch(job.arrival.blocks[:depth])
        self.started.append((job, wasted))

    def touch(self, blocks: list[bytes]):
        """Marks blocks as used, the first of a prompt as the most recent.

        So no block is evicted before those that follow it in the prompt.
        """
        for block in reversed(blocks):
            if block in self.cache:
                self.cache.move_to_end(block)

    def end_step(self) -> tuple[list[Job], list[Job]]:
        """Ends a step.

        Returns:
            Jobs whose first token is ready, and jobs that are complete.
        """
        first: list[Job] = []
        done: list[Job] = []
        for job in self.batch:
            if job.cached is not None and not job.tokens_left:
                job.generated += 1
        for job, tokens in self.prefilled:
            job.tokens_left -= tokens
            self.store(job)
            if not job.tokens_left:
                job.generated += 1
                first.append(job)
        for job in self.batch:
            if job.generated >= job.arrival.output_tokens:
                done.append(job)
        if done:
            done_ids = set(map(id, done))
            self.batch = [job for job in self.batch if id(job) not in done_ids]
        return first, done

    def store(self, job: Job):
        """Puts the blocks that a job has computed into the cache."""
        known = max(0, job.arrival.prompt_tokens - job.tokens_left)
        depth = min(len(job.arrival.blocks), known // workloads.BLOCK_TOKENS)
        for block in job.arrival.blocks[job.stored_blocks : depth]:
            if block not in self.cache:
                self.cache[block] = None
                self.holders.add(block)
        job.stored_blocks = max(job.stored_blocks, depth)
        self.touch(job.arrival.blocks[:depth])
        max_blocks = self.pool.cache_tokens // workloads.BLOCK_TOKENS
        while len(self.cache) > max_blocks:
            block, _ = self.cache.popitem(last=False)
            self.holders.remove(block)

    def crash(self):
        """Clears the cache and the batch, as after a crash."""
        for block in self.cache:
            self.holders.remove(block)
        self.cache.clear()
        self.batch = []
        self.prefilled = []
