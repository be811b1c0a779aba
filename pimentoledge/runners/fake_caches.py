"""The fake engine's block cache, and its log of cache events."""

import bisect
import collections
import random

import attrs

from pimentoledge.runners import messages

LOG_SIZE = 100_000
BATCH_SIZE = 1000


@attrs.define(kw_only=True)
class LogFaults:
    """How an engine's cache events come out.

    Attributes:
        delay: seconds after which an event can be read.
        loss: share of the events that get lost, from 0 to 1.
    """

    delay: float = 0.0
    loss: float = 0.0


class CacheLog:
    """Cache events of one incarnation, delivered late and with gaps.

    Attributes:
        faults: how late, and with how many gaps.
        random: where the losses come from.
        number: number of the last event, the lost ones included.
    """

    def __init__(self, *, faults: LogFaults, seed: int):
        self.faults = faults
        self.random = random.Random(seed)
        self.number = 0
        self.numbers: list[int] = []
        self.entries: list[tuple[float, bool, bytes]] = []

    def record(self, block: bytes, now: float, *, stored: bool) -> None:
        """Adds an event, or loses it."""
        self.number += 1
        loss = self.faults.loss
        if loss > 0 and self.random.random() < loss:
            return
        self.numbers.append(self.number)
        self.entries.append((now + self.faults.delay, stored, block))
        if len(self.numbers) > 2 * LOG_SIZE:
            del self.numbers[:LOG_SIZE]
            del self.entries[:LOG_SIZE]

    def read(self, after: int, now: float) -> list[messages.CacheEvent]:
        """Returns events with greater numbers that can be read by now."""
        first = bisect.bisect_right(self.numbers, after)
        found = []
        for position in range(first, len(self.numbers)):
            when, stored, block = self.entries[position]
            if when > now or len(found) == BATCH_SIZE:
                break
            found.append(
                messages.CacheEvent(
                    number=self.numbers[position], stored=stored, block=block
                )
            )
        return found


class BlockCache:
    """Blocks by digest, within a limit, the least recently used leave first.

    Blocks of running streams are pinned and can't leave. A stream that ends
    frees its deepest block first, so that shared text stays longest.

    Attributes:
        capacity: blocks that fit in.
        free: digests that no stream uses, the least recently used first.
        pinned: streams using each digest that is in use.
        log: where entering and leaving is recorded.
        evictions: blocks that had to leave.
    """

    def __init__(self, *, capacity: int, log: CacheLog):
        self.capacity = capacity
        self.free: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self.pinned: dict[bytes, int] = {}
        self.log = log
        self.evictions = 0

    def __len__(self) -> int:
        return len(self.free) + len(self.pinned)

    def holds(self, block: bytes) -> bool:
        """Returns whether a block is in the cache."""
        return block in self.pinned or block in self.free

    def match(self, chain: list[bytes]) -> int:
        """Returns how many blocks of a chain, from its start, are here."""
        depth = 0
        for block in chain:
            if block not in self.pinned and block not in self.free:
                break
            depth += 1
        return depth

    def pin(self, chain: list[bytes]) -> None:
        """Marks blocks that are here as used by one more stream."""
        for block in chain:
            self.free.pop(block, None)
            self.pinned[block] = self.pinned.get(block, 0) + 1

    def store(self, chain: list[bytes], now: float) -> int:
        """Takes computed blocks in, pinned by the stream that computed them.

        Returns:
            How many are pinned; the rest didn't fit beside pinned blocks.
        """
        for position, block in enumerate(chain):
            if not self.holds(block):
                if not self._make_room(now):
                    return position
                self.log.record(block, now, stored=True)
            self.pin([block])
        return len(chain)

    def release(self, chain: list[bytes]) -> None:
        """Ends one stream's use of its blocks."""
        for block in reversed(chain):
            users = self.pinned[block] - 1
            if users:
                self.pinned[block] = users
            else:
                del self.pinned[block]
                self.free[block] = None

    def _make_room(self, now: float) -> bool:
        if len(self) < self.capacity:
            return True
        if not self.free:
            return False
        block, _ = self.free.popitem(last=False)
        self.evictions += 1
        self.log.record(block, now, stored=False)
        return True
