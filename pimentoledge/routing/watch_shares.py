"""Choice of the routers that watch the store's servers for the others.

Each open watch costs a call to the store at every change. In a large fleet a
few routers of each data centre watch and forward the changes to the others
there. A router that knows of too few watchers watches for itself.
"""

from pimentoledge.routing import heartbeat_rings

# Number of watchers per data centre. If one misses a change or dies before it
# forwards it, the other one still does.
WATCHERS = 2
# Routers of a lower rank than this replace a watcher that died. The rest watch
# only if no watcher is left; otherwise one death would make all of them watch.
STANDBYS = 4
# A watcher whose last announcement is this old no longer counts. Announcements
# are forwarded with heartbeats, so they are about 0.5 s old, and 0.1 s more for
# each router on the way. Routers that relied on the watcher then watch for
# themselves, well within the 2 s after which a draining server must get no more
# requests.
FRESH_SECONDS = 1.5


class WatchShares:
    """Announcements of watchers, this router's own or forwarded ones.

    Attributes:
        own: this router's mailbox.
        seen: time of each watcher's newest announcement, by mailbox.
    """

    def __init__(self, *, own: str):
        self.own = own
        self.seen: dict[str, float] = {}

    def record_own(self, now: float) -> None:
        """Records that this router is watching."""
        self.seen[self.own] = now

    def merge_ages(self, ages: dict[str, int], now: float) -> None:
        """Merges ages of watchers' announcements, in ms, from a peer."""
        for address, age in ages.items():
            if address != self.own:
                known = self.seen.get(address, -1e9)
                self.seen[address] = max(known, now - age / 1000)

    def watcher_ages(self, now: float) -> dict[str, int]:
        """Returns the first watchers by rank, with their ages in ms."""
        return {
            each: int((now - self.seen[each]) * 1000)
            for each in self._fresh(now)[:WATCHERS]
        }

    def _fresh(self, now: float) -> list[str]:
        """Returns the active watchers, in the same order on every router."""
        for address, when in list(self.seen.items()):
            if now - when > FRESH_SECONDS:
                del self.seen[address]
        return sorted(self.seen, key=heartbeat_rings.ring_position)

    def has_enough(self, rank: int, now: float) -> bool:
        """Returns whether enough other routers watch for this one.

        Args:
            rank: number of routers of the data centre, watching or not, that
                precede this one on the ring.
            now: the time.
        """
        first = self._fresh(now)[:WATCHERS]
        if self.own in first:
            return False
        return len(first) >= (WATCHERS if rank < STANDBYS else 1)
