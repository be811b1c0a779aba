"""Assigns home servers to prompt prefixes by rendezvous hashing.

Entries agree on the homes without exchanging messages. A prompt is hashed at
one depth. If that depth is too small, one server gets all requests of a large
organisation, more than its cache or capacity allows. If it is too large, text
shared by many prompts is computed on many servers. A prompt is therefore
hashed at the first counted depth, unless the traffic under that prefix is too
high for one server. The prefix is then split: its continuations are hashed
separately until its traffic falls again. A prefix that is too hot for one
server and has no continuations gets several homes.
"""

from collections.abc import Sequence
import math

import attrs

from pimentoledge.decisions import levels
from pimentoledge.decisions import rankings

# Blocks between two counted depths, and the smallest depth that is hashed.
_STRIDE_BLOCKS = 8
_WINDOW_SECONDS = 30.0
_MAX_COUNTED = 20_000
# A prefix is split when its traffic exceeds this multiple of the mean traffic
# per server, and joined again below half of that. Each entry counts only a
# sample of the traffic: with a single threshold, entries would permanently
# disagree on the depth of a prefix near it, and each would compute the text
# on a different server.
_SPLIT_SHARE = 1.3
_JOIN_FACTOR = 0.5
# With fewer counted requests, a prefix's share is mostly noise.
_MIN_SPLIT_REQUESTS = 12
# Additional homes beside those needed for the traffic, so that placement can
# choose a less loaded one.
_SPARE_HOMES = 1
_MAX_HOMES = 32
_MAX_SPLIT = 4096
_MAX_RANKINGS = 64


@attrs.define(kw_only=True)
class Home:
    """A home server of a prefix.

    Attributes:
        position: position of the server in the given list.
        first: whether the home is needed for the traffic; otherwise it is a
            spare.
    """

    position: int
    first: bool


@attrs.define(kw_only=True)
class Level:
    """The depth at which a prompt is hashed, with its traffic.

    Attributes:
        depth: depth in blocks.
        count: requests with this prefix, over about one window.
        limit: maximum number of these requests for one server.
    """

    depth: int
    count: float
    limit: float


class Homes:
    """Computes the homes of prompts.

    Attributes:
        levels: request counts by prefix.
        split: digests of the prefixes that are split.
        rankings: ranking of the servers by model.
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
        """Returns the homes of a prompt, needed homes before spare ones.

        Args:
            model: model name.
            blocks: digests of the prompt's blocks.
            names: names of the servers declared for the model.
            now: current time.
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
        """Returns the level with the smallest depth that isn't split."""
        total = self.levels.total(model, now) + 1
        limit = _SPLIT_SHARE * total / servers
        level = Level(depth=len(blocks), count=0.0, limit=limit)
        for depth in self.levels.depths(blocks):
            count = self.levels.count(blocks[depth - 1], now)
            if count < 1 and level.count:
                # No request with this continuation of the split prefix has
                # been counted yet.
                return level
            level = Level(depth=depth, count=count, limit=limit)
            if not self.update_split(blocks[depth - 1], count, limit):
                return level
        return level

    def update_split(self, block: bytes, count: float, limit: float) -> bool:
        """Splits or joins a level; returns whether it is split now."""
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
        previous = self.levels.began_at
        self.levels.add(model, blocks, now)
        if self.levels.began_at != previous:
            # Joins the prefixes that no longer receive requests.
            self.split = {
                each for each in self.split if self.levels.count(each, now) > 0
            }

    def ranking(self, model: str, names: Sequence[str]) -> rankings.Ranking:
        """Returns the ranking of a model's servers, rebuilt on a change."""
        cached = self.rankings.get(model)
        if cached is not None and cached.names == names:
            return cached
        if len(self.rankings) >= _MAX_RANKINGS:
            self.rankings.clear()
        self.rankings[model] = rankings.Ranking(names=names)
        return self.rankings[model]
