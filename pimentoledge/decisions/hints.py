"""Hints: which backend servers probably have a prompt prefix cached.

Hints are derived only from this entry's own requests and may be wrong. The
engine can evict blocks within seconds, so hints expire after seconds, and the
agent checks a request's assumptions before it runs.
"""

import collections

import attrs


@attrs.define(kw_only=True, eq=False)
class EngineLife:
    """One engine incarnation with one weights version.

    Hints reference it. When the engine restarts or its weights change, the
    entry marks it as ended, which invalidates all its hints at once.
    """

    server: str
    incarnation: str = ""
    weights: str = ""
    ended: bool = False


@attrs.define(kw_only=True, eq=False)
class PromptHint:
    """A prompt that ran on a server; shared by all blocks of the prompt."""

    life: EngineLife
    at: float


class Hints:
    """A bounded table from block digest to the servers that have it cached.

    Attributes:
        limit: maximum number of digests; the least recently added one is
            evicted first.
        seconds: maximum age of a hint.
        holders: maximum number of servers per digest.
        table: hints by digest, newest first, with the least recently added
            digest first.
    """

    def __init__(self, *, limit: int, seconds: float, holders: int):
        self.limit = limit
        self.seconds = seconds
        self.holders = holders
        self.table: collections.OrderedDict[bytes, tuple[PromptHint, ...]] = (
            collections.OrderedDict()
        )

    def add(self, blocks: list[bytes], life: EngineLife, now: float):
        """Adds a hint that a server has a prompt's blocks cached."""
        hint = PromptHint(life=life, at=now)
        for block in blocks:
            kept = self.table.get(block, ())
            others = [each for each in kept if self.is_live(each, life, now)]
            self.table[block] = (hint, *others[: self.holders - 1])
            self.table.move_to_end(block)
        while len(self.table) > self.limit:
            self.table.popitem(last=False)

    def is_live(self, hint: PromptHint, life: EngineLife, now: float) -> bool:
        """Returns whether a hint is still useful beside a new one."""
        if hint.life is life or hint.life.ended:
            return False
        return now - hint.at <= self.seconds

    def depths(self, blocks: list[bytes], now: float) -> dict[str, int]:
        """Returns the number of leading blocks cached, by server name."""
        cached: dict[str, int] = {}
        for depth in range(len(blocks), 0, -1):
            for hint in self.table.get(blocks[depth - 1], ()):
                life = hint.life
                if life.ended or now - hint.at > self.seconds:
                    continue
                cached.setdefault(life.server, depth)
        return cached

    def expire(self, now: float):
        """Drops digests whose newest hint has expired."""
        while self.table:
            block, hints = next(iter(self.table.items()))
            if now - hints[0].at <= self.seconds:
                return
            del self.table[block]
