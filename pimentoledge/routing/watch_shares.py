"""Choice of the routers that watch a kind of the store's objects for others.

Each open watch costs a call to the store at every change. In a large fleet a
few routers of each data centre watch and forward the changes to the others
there. A router that knows of too few watchers watches for itself.
"""

from pimentoledge.nodes import numbers
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
        bandwidth: bandwidth of this router's link in Mbit/s, or 0.
        seen: time of each watcher's newest announcement, by mailbox.
        bandwidths: bandwidth of each watcher's link in Mbit/s, by mailbox;
            those with most watch. Zeros for kinds whose changes are small.
    """

    def __init__(self, *, own: str, bandwidth: float = 0.0):
        self.own = own
        self.bandwidth = bandwidth
        self.seen: dict[str, float] = {}
        self.bandwidths: dict[str, float] = {}

    def record_own(self, now: float) -> None:
        """Records that this router is watching."""
        self.seen[self.own] = now
        self.bandwidths[self.own] = self.bandwidth

    def merge_ages(self, ages: dict[str, int], now: float) -> None:
        """Merges ages of watchers' announcements, in ms, from a peer."""
        for address, age in ages.items():
            if address != self.own:
                known = self.seen.get(address, -1e9)
                self.seen[address] = max(known, now - age / 1000)

    def merge_watchers(
        self, watchers: dict[str, tuple[int, float]], now: float
    ) -> None:
        """Merges ages of announcements and bandwidths from a peer."""
        for address, (_, bandwidth) in watchers.items():
            if address != self.own:
                self.bandwidths[address] = bandwidth
        self.merge_ages({each: age for each, (age, _) in watchers.items()}, now)

    def watchers(self, now: float) -> dict[str, tuple[int, float]]:
        """Returns the first watchers, with their ages and bandwidths."""
        return {
            each: (age, self.bandwidths.get(each, 0.0))
            for each, age in self.watcher_ages(now).items()
        }

    def place(self, now: float) -> int:
        """Returns this router's place among the first watchers.

        Routers that are none of them share the last place.
        """
        first = self._fresh(now)[:WATCHERS]
        return first.index(self.own) if self.own in first else WATCHERS

    def watcher_ages(self, now: float) -> dict[str, int]:
        """Returns the first watchers by rank, with their ages in ms."""
        return {
            each: numbers.milliseconds(now - self.seen[each])
            for each in self._fresh(now)[:WATCHERS]
        }

    def _fresh(self, now: float) -> list[str]:
        """Returns the active watchers, in the same order on every router."""
        for address, when in list(self.seen.items()):
            if now - when > FRESH_SECONDS:
                del self.seen[address]
                self.bandwidths.pop(address, None)
        return sorted(
            self.seen,
            key=lambda each: (
                -self.bandwidths.get(each, 0.0),
                heartbeat_rings.ring_position(each),
            ),
        )

    def has_enough(self, rank: int, now: float) -> bool:
        """Returns whether enough other routers watch for this one.

        Args:
            rank: number of routers of the data centre, watching or not, that
                precede this one on the ring.
            now: the time.
        """
        first = self._fresh(now)[:WATCHERS]
        slowest = min(
            (self.bandwidths.get(each, 0.0) for each in first), default=0.0
        )
        if self.own in first or self.bandwidth > slowest:
            return False
        return len(first) >= (WATCHERS if rank < STANDBYS else 1)
