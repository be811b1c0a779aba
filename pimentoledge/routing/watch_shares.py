"""Which routers watch the store's servers for the others.

With many routers each watch of each costs a call at every change. A few of
each data centre watch, and tell the others there; who does not hear of enough
of them watches for itself.
"""

from pimentoledge.routing import heartbeat_rings

# So many watch for all: what one misses, or dies with, the other tells.
WATCHERS = 2
# The first routers by rank stand in for a watcher that died; the rest only
# when none is left: else its death would make all of them watch.
STANDBYS = 4
# A watcher whose last sign is so old doesn't count. Signs go on with
# heartbeats, so they are about 0.5 s old and 0.1 s more for each router on
# the way. Then who follows watches for itself, well within the 2 s in which a
# server that leaves must get no more requests.
FRESH_SECONDS = 1.5


class WatchShares:
    """Signs of those who watch, this router's own or as told.

    Attributes:
        own: this router's mailbox.
        seen: when each watcher last gave a sign, by mailbox.
    """

    def __init__(self, *, own: str):
        self.own = own
        self.seen: dict[str, float] = {}

    def record_own(self, now: float) -> None:
        """Gives this router's own sign."""
        self.seen[self.own] = now

    def merge_ages(self, ages: dict[str, int], now: float) -> None:
        """Takes for how many ms others had no sign of each watcher."""
        for address, age in ages.items():
            if address != self.own:
                known = self.seen.get(address, -1e9)
                self.seen[address] = max(known, now - age / 1000)

    def watcher_ages(self, now: float) -> dict[str, int]:
        """Returns the first watchers in rank, with the ages of their signs."""
        return {
            each: int((now - self.seen[each]) * 1000)
            for each in self._fresh(now)[:WATCHERS]
        }

    def _fresh(self, now: float) -> list[str]:
        """Returns those who watch, in the rank that all agree on."""
        for address, when in list(self.seen.items()):
            if now - when > FRESH_SECONDS:
                del self.seen[address]
        return sorted(self.seen, key=heartbeat_rings.ring_position)

    def has_enough(self, rank: int, now: float) -> bool:
        """Returns whether others watch for this router.

        Args:
            rank: how many routers of the data centre, watching or not, come
                before it.
            now: the time.
        """
        first = self._fresh(now)[:WATCHERS]
        if self.own in first:
            return False
        return len(first) >= (WATCHERS if rank < STANDBYS else 1)
