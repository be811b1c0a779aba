"""Heartbeats of the lease holder, forwarded by all routers."""

from pimentoledge.nodes import numbers
from pimentoledge.routing import cluster_views
from pimentoledge.routing import leases
from pimentoledge.routing import peer_messages

# A holder whose last heartbeat is this old is treated as unreachable. The time
# covers two heartbeats and their way over nine routers.
SILENT_SECONDS = 1.6


class HolderHeartbeats:
    """The newest heartbeat of a holder, this router's own or a forwarded one.

    Attributes:
        lease: the router's state of the lease.
        view: the router's view of the cluster, whose `loading_until` is set.
        newest: fencing token and sequence number of the newest heartbeat.
        holding: whether the holder held the lease at that heartbeat.
        received_at: when this router received it.
        loading: end of the loading time of the servers that load at that
            heartbeat, by incarnation.
    """

    def __init__(self, *, lease: leases.Lease, view: cluster_views.ClusterView):
        self.lease = lease
        self.view = view
        self.newest = (0, 0)
        self.holding = False
        self.received_at = -1e9
        self.loading: dict[str, float] = {}

    def record_own(self, now: float) -> None:
        """Records a heartbeat if this router is the holder.

        A router that has just lost the lease records one more, which
        announces that. One that has received a later holder's heartbeat
        records none, even if its own term hasn't ended.
        """
        holds = self.lease.holds(now)
        fence, number = self.newest
        if fence > self.lease.fence:
            return
        is_own = fence == self.lease.fence
        if not holds and not (is_own and self.holding):
            return
        self.newest = (self.lease.fence, number + 1 if is_own else 1)
        self.holding = holds
        self.received_at = now
        self.loading = {
            name: each.loading_until
            for name, each in self.view.servers.by_incarnation.items()
            if each.loading_until > now
        }

    def merge(self, heartbeat: peer_messages.Heartbeat, now: float) -> bool:
        """Merges a holder's heartbeat that a peer forwards.

        A heartbeat older than the newest is ignored; otherwise a server that
        has finished loading would count as loading again.

        Returns:
            whether it is newer than the newest one known before.
        """
        if heartbeat.pulse <= self.newest:
            return False
        self.newest = heartbeat.pulse
        self.holding = heartbeat.holding
        self.received_at = now
        self.loading = {
            name: now + milliseconds / 1000
            for name, milliseconds in heartbeat.loading.items()
        }
        for name, until in self.loading.items():
            backend = self.view.servers.by_incarnation.get(name)
            if backend is not None:
                backend.loading_until = until
        return True

    def loading_servers(self, now: float) -> dict[str, int]:
        """Returns the servers that are loading, with ms left."""
        return {
            name: numbers.milliseconds(until - now)
            for name, until in self.loading.items()
            if until > now
        }

    def holder_is_alive(self, now: float) -> bool:
        """Returns whether a holder's heartbeat was received recently."""
        return self.holding and now - self.received_at < SILENT_SECONDS
