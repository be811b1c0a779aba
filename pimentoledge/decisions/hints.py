"""Which backend server probably holds which prompt prefix.

Hints come only from this entry's own requests. They are never more than
hints: the engine evicts blocks within seconds, so a hint expires in seconds,
and the agent checks what a request assumed before it runs.
"""

import collections

import attrs


@attrs.define(kw_only=True, eq=False)
class EngineLife:
    """One engine incarnation with one weights version.

    Hints point to it. When the engine restarts or its weights change, the
    entry marks it as over, and all its hints are void at once.
    """

    server: str
    incarnation: str = ""
    weights: str = ""
    ended: bool = False


@attrs.define(kw_only=True, eq=False)
class PromptHint:
    """One request's prompt on one server; shared by all its blocks."""

    life: EngineLife
    at: float


class Hints:
    """A bounded table from block digest to the servers that hold it.

    Attributes:
        limit: most digests kept; the one unused for the longest goes first.
        seconds: age at which a hint is no longer used.
        holders: most servers kept for one digest, newest first.
        table: holdings by digest, in the order of their last use.
    """

    def __init__(self, *, limit: int, seconds: float, holders: int):
        self.limit = limit
        self.seconds = seconds
        self.holders = holders
        self.table: collections.OrderedDict[bytes, tuple[PromptHint, ...]] = (
            collections.OrderedDict()
        )

    def add(self, blocks: list[bytes], life: EngineLife, now: float):
        """Notes that a server holds a prompt's blocks."""
        holding = PromptHint(life=life, at=now)
        for block in blocks:
            kept = self.table.get(block, ())
            others = [each for each in kept if self.is_live(each, life, now)]
            self.table[block] = (holding, *others[: self.holders - 1])
            self.table.move_to_end(block)
        while len(self.table) > self.limit:
            self.table.popitem(last=False)

    def is_live(
        self, holding: PromptHint, life: EngineLife, now: float
    ) -> bool:
        """Returns whether a holding still says something beside a new one."""
        if holding.life is life or holding.life.ended:
            return False
        return now - holding.at <= self.seconds

    def depths(self, blocks: list[bytes], now: float) -> dict[str, int]:
        """Returns the number of leading blocks held, by server name."""
        found: dict[str, int] = {}
        for depth in range(len(blocks), 0, -1):
            for holding in self.table.get(blocks[depth - 1], ()):
                life = holding.life
                if life.ended or now - holding.at > self.seconds:
                    continue
                found.setdefault(life.server, depth)
        return found

    def expire(self, now: float):
        """Drops digests whose newest hint is too old."""
        while self.table:
            block, holdings = next(iter(self.table.items()))
            if now - holdings[0].at <= self.seconds:
                return
            del self.table[block]
