"""Exchanges what organisations receive with the routers nearby."""

from pimentoledge.routing import cluster_views
from pimentoledge.routing import peer_messages

# Interval between two reports of counters. Reports of load go out with each
# long prompt, and the counters change little meanwhile.
SUMMARY_SECONDS = 0.25


class ShareReports:
    """Fills and merges the counters and the memory in load reports.

    The memory is merged with the numbers of open requests by LoadReports.

    Attributes:
        view: the router's view of the cluster.
    """

    def __init__(self, *, view: cluster_views.ClusterView):
        self.view = view
        self._next_summary = 0.0

    def fill(self, report: peer_messages.LoadReport, now: float) -> None:
        """Sets the memory of open requests, and the counters if they are due.

        Nothing is sent about services without load control, so reports are as
        long as before there.
        """
        applies = self.view.load_control.applies
        for name in report.has:
            backend = self.view.servers.by_incarnation[name]
            if applies(backend.registration.service):
                report.memory[name] = backend.open_tokens
        if now >= self._next_summary:
            self._next_summary = now + SUMMARY_SECONDS
            report.shares = self.view.fair_shares.summary(now)

    def merge(
        self, sender: str, report: peer_messages.LoadReport, now: float
    ) -> None:
        """Merges the counters of a router, given its mailbox."""
        self.view.fair_shares.merge(sender, report.shares, now)

    def forget(self, sender: str) -> None:
        """Discards the counters of an absent router."""
        self.view.fair_shares.forget(sender)
