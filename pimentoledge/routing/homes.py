"""Where a shared part that nobody keeps yet is read for the first time.

After new weights, every cached part is gone. Routers that send requests with
the same part to several runners at once have it read by each of them. All
routers agree without a message on one runner for it, until its reader has
saved it, or can be asked for it.
"""

import collections

import attrs
import xxhash

from pimentoledge.routing import asks
from pimentoledge.routing import backends

# Smaller parts are read sooner than sent to another data centre.
LEAST_TOKENS = 500
# Only parts met twice within this time are likely to be met again before
# they are saved.
POPULAR_SECONDS = 10.0
# From a reader's first event until the part can be fetched from the KV cache
# server: 2,520 tokens of 131 KB take some 15 ms, twice that between data
# centres.
SAVE_SECONDS = 0.05
# A part that was saved so long ago may have yielded in the KV cache server.
AGAIN_SECONDS = 20.0
# How many parts are remembered: some 200 bytes each.
MOST_PARTS = 4000


@attrs.define
class _Use:
    last: float = -1e9
    before: float = -1e9


class Homes:
    """What this router knows of shared parts.

    Attributes:
        uses: the last two uses of each part, by name.
        saved: when each part was saved, by namespace and name.
    """

    def __init__(self):
        self.uses: collections.OrderedDict[str, _Use] = (
            collections.OrderedDict()
        )
        self.saved: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def used(self, parts: tuple[asks.Part, ...], now: float) -> None:
        """Notes that a request has these shared parts."""
        for part in parts:
            use = self.uses.setdefault(part.name, _Use())
            use.before, use.last = use.last, now
            self.uses.move_to_end(part.name)
        while len(self.uses) > MOST_PARTS:
            self.uses.popitem(last=False)

    def was_read(
        self, namespace: str, parts: tuple[asks.Part, ...], now: float
    ) -> None:
        """Notes that a runner has read these parts, and saves them."""
        for part in parts:
            key = (namespace, part.name)
            self.saved[key] = now + SAVE_SECONDS
            self.saved.move_to_end(key)
        while len(self.saved) > MOST_PARTS:
            self.saved.popitem(last=False)

    def needs_saving(
        self, namespace: str, parts: tuple[asks.Part, ...], now: float
    ) -> bool:
        """Returns whether a request should save its prompt.

        Saving takes along the part that no other request shares. Saved each
        time, those push the shared ones out: 15 prompts a second fill a KV
        cache server of 839,000 tokens within 20 s.
        """
        for part in parts:
            saved = self.saved.get((namespace, part.name))
            if saved is None or now - saved > AGAIN_SECONDS:
                return True
        return False

    def saved_before(
        self,
        namespace: str,
        parts: tuple[asks.Part, ...],
        moment: float,
        now: float,
    ) -> bool:
        """Returns whether all these parts were saved by a moment.

        Parts that may have yielded since don't count.
        """
        if self.needs_saving(namespace, parts, now):
            return False
        return all(self.saved[namespace, part.name] <= moment for part in parts)

    def lost(self) -> None:
        """Notes that a KV cache server may have lost its parts.

        Else they would count as saved for 20 s more: every runner would read
        them for itself, and no request would save them again.
        """
        self.saved.clear()

    def unsaved(
        self, namespace: str, parts: tuple[asks.Part, ...], now: float
    ) -> asks.Part | None:
        """Returns the first large, popular part that is not saved yet."""
        for part in parts:
            if part.tokens < LEAST_TOKENS:
                continue
            saved = self.saved.get((namespace, part.name))
            if saved is not None and saved <= now:
                continue
            use = self.uses.get(part.name)
            if use is not None and now - use.before < POPULAR_SECONDS:
                return part
        return None


def last_large(parts: tuple[asks.Part, ...]) -> asks.Part | None:
    """Returns the last part that is worth sending a request for."""
    large = [part for part in parts if part.tokens >= LEAST_TOKENS]
    return large[-1] if large else None


def home(
    namespace: str, part: asks.Part, runners: list[backends.Backend]
) -> backends.Backend | None:
    """Returns the runner that reads a part first, the same for all routers."""

    def rank(runner: backends.Backend) -> int:
        text = f"{namespace}/{part.name}/{runner.registration.incarnation}"
        return xxhash.xxh3_64_intdigest(text.encode())

    return max(runners, key=rank, default=None)
