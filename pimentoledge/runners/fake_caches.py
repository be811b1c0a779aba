"""Block cache and cache event log of the fake engine."""

import bisect
import collections
import random

import attrs

from pimentoledge.runners import messages

MAX_LOG_EVENTS = 100_000
MAX_BATCH_EVENTS = 1000


@attrs.define(kw_only=True)
class LogFaults:
    """Simulated faults of an engine's cache event log.

    Attributes:
        delay: seconds until an event can be read.
        loss: fraction of the events that are lost, from 0 to 1.
    """

    delay: float = 0.0
    loss: float = 0.0


class CacheLog:
    """Cache events of one incarnation, with simulated delay and loss.

    Attributes:
        faults: delay and loss rate.
        rng: random number generator that selects the lost events.
        last_number: number of the last event, including lost ones.
        numbers: numbers of the readable events, ascending.
        entries: (time from which it can be read, stored, block) of each.
    """

    def __init__(self, *, faults: LogFaults, seed: int):
        self.faults = faults
        self.rng = random.Random(seed)
        self.last_number = 0
        self.numbers: list[int] = []
        self.entries: list[tuple[float, bool, bytes]] = []

    def record(self, block: bytes, now: float, *, stored: bool) -> None:
        """Appends an event, or drops it as lost."""
        self.last_number += 1
        loss = self.faults.loss
        if loss > 0 and self.rng.random() < loss:
            return
        self.numbers.append(self.last_number)
        self.entries.append((now + self.faults.delay, stored, block))
        if len(self.numbers) > 2 * MAX_LOG_EVENTS:
            del self.numbers[:MAX_LOG_EVENTS]
            del self.entries[:MAX_LOG_EVENTS]

    def read(self, after: int, now: float) -> list[messages.CacheEvent]:
        """Returns the next readable events with numbers above `after`."""
        first = bisect.bisect_right(self.numbers, after)
        batch = []
        for position in range(first, len(self.numbers)):
            readable_at, stored, block = self.entries[position]
            if readable_at > now or len(batch) == MAX_BATCH_EVENTS:
                break
            batch.append(
                messages.CacheEvent(
                    number=self.numbers[position], stored=stored, block=block
                )
            )
        return batch


class BlockCache:
    """LRU cache of blocks, identified by their digests.

    Blocks of running streams are pinned and can't be evicted. A stream that
    ends releases its deepest block first, so that shared prefixes are evicted
    last.

    Attributes:
        capacity: maximum number of blocks.
        free: digests that no stream uses, least recently used first.
        pin_counts: number of streams that use each pinned digest.
        log: records stored and evicted blocks.
        evictions: number of evicted blocks.
    """

    def __init__(self, *, capacity: int, log: CacheLog):
        self.capacity = capacity
        self.free: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self.pin_counts: dict[bytes, int] = {}
        self.log = log
        self.evictions = 0

    def __len__(self) -> int:
        return len(self.free) + len(self.pin_counts)

    def contains(self, block: bytes) -> bool:
        """Returns whether a block is in the cache."""
        return block in self.pin_counts or block in self.free

    def match(self, chain: list[bytes]) -> int:
        """Returns how many leading blocks of a chain are cached."""
        count = 0
        for block in chain:
            if block not in self.pin_counts and block not in self.free:
                break
            count += 1
        return count

    def pin(self, chain: list[bytes]) -> None:
        """Pins cached blocks for one more stream."""
        for block in chain:
            self.free.pop(block, None)
            self.pin_counts[block] = self.pin_counts.get(block, 0) + 1

    def store(self, chain: list[bytes], now: float) -> int:
        """Stores blocks and pins them for one stream.

        Returns:
            Number of blocks pinned; the others didn't fit beside the blocks
            that are pinned already.
        """
        for position, block in enumerate(chain):
            if not self.contains(block):
                if not self._evict_if_full(now):
                    return position
                self.log.record(block, now, stored=True)
            self.pin([block])
        return len(chain)

    def release(self, chain: list[bytes]) -> None:
        """Unpins the blocks of one stream."""
        for block in reversed(chain):
            users = self.pin_counts[block] - 1
            if users:
                self.pin_counts[block] = users
            else:
                del self.pin_counts[block]
                self.free[block] = None

    def _evict_if_full(self, now: float) -> bool:
        if len(self) < self.capacity:
            return True
        if not self.free:
            return False
        block, _ = self.free.popitem(last=False)
        self.evictions += 1
        self.log.record(block, now, stored=False)
        return True
