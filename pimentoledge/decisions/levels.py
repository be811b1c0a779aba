"""Counts a model's requests by prompt prefix.

Prompts form a tree: all prompts of an organisation share their first text,
and fewer share each further level. The depths at which prompts diverge are
unknown, so requests are counted every few blocks; the count falls where
prompts diverge.

Each entry counts only its own requests. The load balancer gives every entry a
fair sample, so the relative shares agree between entries.
"""

import attrs


@attrs.define(kw_only=True)
class Window:
    """Request counts of one time window.

    Attributes:
        counts: requests by digest.
        totals: requests by model.
    """

    counts: dict[bytes, int] = attrs.field(factory=dict)
    totals: dict[str, int] = attrs.field(factory=dict)


class Levels:
    """Request counts over a sliding window, with bounded memory.

    Attributes:
        stride: blocks between two counted depths.
        seconds: length of a window in seconds.
        limit: maximum number of digests counted in one window; further new
            digests are not counted.
        began_at: start time of the current window.
        current: the current window.
        previous: the window before it.
    """

    def __init__(self, *, stride: int, seconds: float, limit: int):
        self.stride = stride
        self.seconds = seconds
        self.limit = limit
        self.began_at = 0.0
        self.current = Window()
        self.previous = Window()

    def rotate(self, now: float):
        """Starts a new window when the current one has ended."""
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
            count = counts.get(block)
            if count is None and len(counts) >= self.limit:
                return
            counts[block] = (count or 0) + 1

    def count(self, block: bytes, now: float) -> float:
        """Returns the requests with a prefix digest, over about one window."""
        newest = self.current.counts.get(block, 0)
        return newest + self.previous_weight(now) * self.previous.counts.get(
            block, 0
        )

    def total(self, model: str, now: float) -> float:
        """Returns all requests of a model, over about one window."""
        newest = self.current.totals.get(model, 0)
        return newest + self.previous_weight(now) * self.previous.totals.get(
            model, 0
        )

    def previous_weight(self, now: float) -> float:
        """Returns the weight of the previous window in the counts."""
        return max(0.0, 1 - (now - self.began_at) / self.seconds)
