"""How much of a model's traffic lies under each prompt prefix.

Prompts nest: all of an organisation's share their first text, fewer share
the next level. Where levels end is not known; counting at every few blocks
finds them, since the count falls where prompts part.

Each entry counts what it sees itself. The balancer gives every entry a fair
sample, so shares agree between entries though the counts are their own.
"""

import attrs


@attrs.define(kw_only=True)
class Window:
    """Counts of one stretch of time.

    Attributes:
        counts: requests by digest.
        totals: requests by model.
    """

    counts: dict[bytes, int] = attrs.field(factory=dict)
    totals: dict[str, int] = attrs.field(factory=dict)


class Levels:
    """Counts over a sliding window, bounded in memory.

    Attributes:
        stride: blocks between two counted depths.
        seconds: length of a window.
        limit: most digests counted in one window; then new ones are not.
        began_at: when the newest window began.
        current: the newest window.
        previous: the one before it.
    """

    def __init__(self, *, stride: int, seconds: float, limit: int):
        self.stride = stride
        self.seconds = seconds
        self.limit = limit
        self.began_at = 0.0
        self.current = Window()
        self.previous = Window()

    def rotate(self, now: float):
        """Begins a new window when the newest one is full."""
        age = now - self.began_at
        if age < self.seconds:
            return
        self.previous = self.current if age < 2 * self.seconds else Window()
        self.current = Window()
        self.began_at = now

    def depths(self, blocks: list[bytes]) -> range:
        """Returns the counted depths of a prompt, in blocks."""
        if not blocks:
            return range(0)
        first = min(self.stride, len(blocks))
        return range(first, len(blocks) + 1, self.stride)

    def add(self, model: str, blocks: list[bytes], now: float):
        """Counts a request."""
        self.rotate(now)
        totals = self.current.totals
        totals[model] = totals.get(model, 0) + 1
        counts = self.current.counts
        for depth in self.depths(blocks):
            block = blocks[depth - 1]
            known = counts.get(block)
            if known is None and len(counts) >= self.limit:
                return
            counts[block] = (known or 0) + 1

    def count(self, block: bytes, now: float) -> float:
        """Returns the requests of about one window under a digest."""
        newest = self.current.counts.get(block, 0)
        return newest + self.previous_weight(now) * self.previous.counts.get(
            block, 0
        )

    def total(self, model: str, now: float) -> float:
        """Returns all requests of about one window."""
        newest = self.current.totals.get(model, 0)
        return newest + self.previous_weight(now) * self.previous.totals.get(
            model, 0
        )

    def previous_weight(self, now: float) -> float:
        """Returns the weight of the older window."""
        return max(0.0, 1 - (now - self.began_at) / self.seconds)
