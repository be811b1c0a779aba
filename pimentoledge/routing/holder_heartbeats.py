"""Signs of life of the router that gives orders, passed on by all."""

from pimentoledge.routing import cluster_views
from pimentoledge.routing import leases
from pimentoledge.routing import peer_messages

# A holder whose last sign of life is so old is taken to be away: two
# heartbeats of it and the way over nine routers.
SILENT_SECONDS = 1.6


class HolderHeartbeats:
    """The newest sign of life, this router's own or as told.

    Attributes:
        lease: what the process knows of the lease.
        view: what the process believes; `loading_until` is kept here.
        newest: fencing token and number of the newest sign.
        holding: whether the holder held the lease then.
        received_at: when that was taken here.
        loading: servers that load at that sign, with the time until when.
    """

    def __init__(self, *, lease: leases.Lease, view: cluster_views.ClusterView):
        self.lease = lease
        self.view = view
        self.newest = (0, 0)
        self.holding = False
        self.received_at = -1e9
        self.loading: dict[str, float] = {}

    def record_own(self, now: float) -> None:
        """Gives a sign of life if this router is the holder, or just was."""
        holds = self.lease.holds(now)
        fence, number = self.newest
        mine = fence == self.lease.fence
        if not holds and not (mine and self.holding):
            return
        self.newest = (self.lease.fence, number + 1 if mine else 1)
        self.holding = holds
        self.received_at = now
        self.loading = {
            name: each.loading_until
            for name, each in self.view.servers.by_incarnation.items()
            if each.loading_until > now
        }

    def merge(self, beat: peer_messages.Heartbeat, now: float) -> bool:
        """Takes a sign of life that another router passes on.

        Returns whether it is news. What is older than the newest is not
        looked at: a server that has loaded would count as loading again.
        """
        if beat.pulse <= self.newest:
            return False
        self.newest = beat.pulse
        self.holding = beat.holding
        self.received_at = now
        self.loading = {
            name: now + milliseconds / 1000
            for name, milliseconds in beat.loading.items()
        }
        for name, until in self.loading.items():
            backend = self.view.servers.by_incarnation.get(name)
            if backend is not None:
                backend.loading_until = until
        return True

    def loading_servers(self, now: float) -> dict[str, int]:
        """Returns the servers that load, with ms left."""
        return {
            name: int((until - now) * 1000)
            for name, until in self.loading.items()
            if until > now
        }

    def holder_is_alive(self, now: float) -> bool:
        """Returns whether a holder gave a sign of life just now."""
        return self.holding and now - self.received_at < SILENT_SECONDS
