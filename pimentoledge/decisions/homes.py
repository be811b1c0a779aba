"""Which servers a prefix belongs to, so that entries agree without messages.

A prefix is hashed at a depth. Too shallow, and one server gets all of a large
organisation, more than its cache or its time holds; too deep, and text that
many prompts share is computed on many servers. So every prompt is hashed at
the first counted depth, unless a hot one is split there: then its
continuations are hashed apart. When it cools it is joined again. Text that
is too hot for one server and has no continuations gets several homes.
"""

from collections.abc import Sequence
import math

import attrs

from pimentoledge.decisions import levels
from pimentoledge.decisions import rankings

# Blocks between two counted depths; the first is the shallowest hashed.
_STRIDE_BLOCKS = 8
_WINDOW_SECONDS = 30.0
_MAX_COUNTED = 20_000
# A prefix is split when its traffic is more than this many times the mean of
# one server, and joined again below half of that. The gap matters: entries
# count samples, and near a single limit they would disagree on the depth for
# ever, each computing the text on another server.
_SPLIT_SHARE = 1.3
_JOIN_FACTOR = 0.5
# With fewer requests counted, a share is mostly chance.
_MIN_SPLIT_REQUESTS = 12
# Homes beside those that the traffic needs; the less loaded one is taken.
_SPARE_HOMES = 1
_MAX_HOMES = 32
_MAX_SPLIT = 4096
_MAX_RANKINGS = 64


@attrs.define(kw_only=True)
class Home:
    """A home of a prefix.

    Attributes:
        position: position of the server in the list that was given.
        first: whether the traffic needs it; else it is a spare.
    """

    position: int
    first: bool


@attrs.define(kw_only=True)
class Level:
    """Where on a prompt its home is decided.

    Attributes:
        depth: in blocks.
        count: requests under it, of about one window.
        limit: requests that one server should have of these.
    """

    depth: int
    count: float
    limit: float


class Homes:
    """Finds the homes of prompts.

    Attributes:
        levels: how much traffic lies under which prefix.
        split: digests whose continuations are hashed apart.
        rankings: the servers' order, by model.
    """

    def __init__(self):
        self.levels = levels.Levels(
            stride=_STRIDE_BLOCKS, seconds=_WINDOW_SECONDS, limit=_MAX_COUNTED
        )
        self.split: set[bytes] = set()
        self.rankings: dict[str, rankings.Ranking] = {}

    def find(
        self, model: str, blocks: list[bytes], names: list[str], now: float
    ) -> list[Home]:
        """Returns the homes of a prompt, the first ones first.

        Args:
            model: the model.
            blocks: digests of the prompt's blocks.
            names: the servers declared for the model.
            now: the time.
        """
        if not blocks or not names:
            return []
        level = self.level(model, blocks, len(names), now)
        needed = 1
        if level.count >= _MIN_SPLIT_REQUESTS:
            needed = min(_MAX_HOMES, math.ceil(level.count / level.limit))
        ranked = self.ranking(model, names).first(
            blocks[level.depth - 1], needed + _SPARE_HOMES
        )
        return [
            Home(position=position, first=rank < needed)
            for rank, position in enumerate(ranked)
        ]

    def level(
        self, model: str, blocks: list[bytes], servers: int, now: float
    ) -> Level:
        """Returns the shallowest level that isn't split."""
        total = self.levels.total(model, now) + 1
        limit = _SPLIT_SHARE * total / servers
        level = Level(depth=len(blocks), count=0.0, limit=limit)
        for depth in self.levels.depths(blocks):
            count = self.levels.count(blocks[depth - 1], now)
            if count < 1 and level.count:
                # Nothing that goes on from the split level was seen before.
                return level
            level = Level(depth=depth, count=count, limit=limit)
            if not self.update_split(blocks[depth - 1], count, limit):
                return level
        return level

    def update_split(self, block: bytes, count: float, limit: float) -> bool:
        """Returns whether a level is split, after splitting or joining it."""
        if block in self.split:
            if count > _JOIN_FACTOR * limit:
                return True
            self.split.discard(block)
            return False
        hot = count >= _MIN_SPLIT_REQUESTS and count > limit
        if hot and len(self.split) < _MAX_SPLIT:
            self.split.add(block)
        return hot

    def add(self, model: str, blocks: list[bytes], now: float):
        """Counts a request."""
        before = self.levels.began_at
        self.levels.add(model, blocks, now)
        if self.levels.began_at != before:
            # Levels that nobody asks for any more are joined here.
            self.split = {
                each for each in self.split if self.levels.count(each, now) > 0
            }

    def ranking(self, model: str, names: Sequence[str]) -> rankings.Ranking:
        """Returns the order of a model's servers, made anew on a change."""
        known = self.rankings.get(model)
        if known is not None and known.names == names:
            return known
        if len(self.rankings) >= _MAX_RANKINGS:
            self.rankings.clear()
        self.rankings[model] = rankings.Ranking(names=names)
        return self.rankings[model]
