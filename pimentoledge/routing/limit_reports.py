"""What routers tell each other of the limits that servers have named."""

from collections.abc import Callable
from collections.abc import Iterable
import random

from pimentoledge.routing import cluster_views
from pimentoledge.routing import peer_messages
from pimentoledge.routing import rosters
from pimentoledge.routing import server_limits
from pimentoledge.routing import server_notices

# Between two reports of what changed: a server may name another limit in each
# of its answers.
CHANGES_SECONDS = 0.2
# Between two messages with all limits, each to one router drawn at random.
FULL_REPORT_SECONDS = 2.0


class LimitReports:
    """Sends and receives limits; news is forwarded from router to router.

    Attributes:
        view: what the process believes.
        roster: the other routers.
        notices: takes limits that others have received.
        send_all: sends a message to mailboxes.
        pending: servers whose limits are yet to be sent, by incarnation.
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
        self._next_news = 0.0
        self._next_all = 0.0

    @property
    def limits(self) -> server_limits.ServerLimits:
        """The limits as this router knows them."""
        return self.view.server_limits

    def changed(self, server: str) -> None:
        """Takes that a server's limit changed."""
        self.pending.add(server)

    def tick(self, now: float) -> None:
        """Sends what is due, and forgets limits that are over."""
        if self.pending and now >= self._next_news:
            self._next_news = now + CHANGES_SECONDS
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
        """Sends one router all limits."""
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
        """Takes limits that another router has received.

        Args:
            sender: its mailbox.
            received: its message.
            sent_at: when it was sent, or may have been.
        """
        for server, (number, age) in received.limits.items():
            per_second = None if number < 0 else number
            limit = server_limits.AdvertisedLimit(
                per_second=per_second, received_at=sent_at - age / 1000
            )
            self.notices.merge_limit(server, limit, sender)
