"""Exchange between routers of the limits that servers advertise."""

from collections.abc import Callable
from collections.abc import Iterable
import random

from pimentoledge.routing import cluster_views
from pimentoledge.routing import peer_messages
from pimentoledge.routing import rosters
from pimentoledge.routing import server_limits
from pimentoledge.routing import server_notices

# Minimum interval between reports of changes, since a server may advertise
# another limit in each of its responses.
CHANGES_SECONDS = 0.2
# Interval between messages with all limits, each to one random router.
FULL_REPORT_SECONDS = 2.0


class LimitReports:
    """Sends and receives limits; changes are forwarded by each router.

    Attributes:
        view: the router's view of the cluster.
        roster: the other routers.
        notices: merges limits that peers have received.
        send_all: sends a message to mailboxes.
        pending: incarnations of servers whose limits are yet to be sent.
    """

    def __init__(
        self,
        *,
        view: cluster_views.ClusterView,
        roster: rosters.Roster,
        notices: server_notices.ServerNotices,
        send_all: Callable[[list[str], object], None],
    ):
        self.view = view
        self.roster = roster
        self.notices = notices
        self.send_all = send_all
        self.pending: set[str] = set()
        self._next_changes = 0.0
        self._next_all = 0.0

    @property
    def limits(self) -> server_limits.ServerLimits:
        """The limits known to this router."""
        return self.view.server_limits

    def changed(self, server: str) -> None:
        """Schedules a report of a server's changed limit."""
        self.pending.add(server)

    def tick(self, now: float) -> None:
        """Sends reports that are due, and removes expired limits."""
        if self.pending and now >= self._next_changes:
            self._next_changes = now + CHANGES_SECONDS
            self._send(self.roster.partners, self.pending, now)
            self.pending = set()
        if self.limits.advertised and now >= self._next_all:
            self._next_all = now + FULL_REPORT_SECONDS
            declared = self.view.servers.by_incarnation
            self.limits.expire(declared.keys(), now)
            members = list(self.roster.members(now))
            if members:
                self.send_all_limits(random.choice(members), now)

    def send_all_limits(self, address: str, now: float) -> None:
        """Sends all limits to one router."""
        self._send([address], self.limits.advertised.keys(), now)

    def _send(
        self, addresses: list[str], servers: Iterable[str], now: float
    ) -> None:
        limits = self.limits.encode(servers, now)
        if limits and addresses:
            message = peer_messages.LimitReport(
                limits=limits, clock=self.view.clock(now)
            )
            self.send_all(addresses, message)

    def receive(
        self, sender: str, received: peer_messages.LimitReport, sent_at: float
    ) -> None:
        """Merges limits that a peer has received.

        Args:
            sender: the peer's mailbox.
            received: the peer's message.
            sent_at: earliest time at which the message may have been sent.
        """
        for server, (number, age) in received.limits.items():
            per_second = None if number < 0 else number
            limit = server_limits.AdvertisedLimit(
                per_second=per_second, received_at=sent_at - age / 1000
            )
            self.notices.merge_limit(server, limit, sender)
