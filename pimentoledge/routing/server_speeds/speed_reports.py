"""Exchange of servers' speeds in the load reports between routers."""

import itertools

from pimentoledge.routing import backends
from pimentoledge.routing import cluster_views
from pimentoledge.routing import peer_messages
from pimentoledge.routing import request_types
from pimentoledge.routing.server_speeds import slowdowns

# Observations are sent at this interval: with each of ten reports a second
# they would take a tenth of the slowest routers' links.
INTERVAL_SECONDS = 0.5
# Maximum number of servers with observations in a report.
MAX_SERVERS = 100


class SpeedReports:
    """Fills and merges the fields `slowdowns` and `speeds` of load reports.

    Attributes:
        view: the router's view of the cluster.
    """

    def __init__(self, *, view: cluster_views.ClusterView):
        self.view = view
        self._next = 0.0
        self._by_sender: dict[str, set[str]] = {}

    def fill(self, report: peer_messages.LoadReport, now: float) -> None:
        """Adds the slowdowns of reported loads, and own observations."""
        servers = self.view.servers.by_incarnation
        for name in report.said:
            load = servers[name].load
            if load is not None and load.slowdown is not None:
                slowdown = min(slowdowns.MAX_SLOWDOWN, load.slowdown)
                report.slowdowns[name] = round(100 * slowdown)
        if now >= self._next:
            self._next = now + INTERVAL_SECONDS
            report.speeds = self._speeds(now)

    def _speeds(self, now: float) -> dict[str, tuple[int, ...]]:
        """Returns observations of the servers most observed."""
        found = {}
        for name, each in self.view.servers.by_incarnation.items():
            if self.view.load_control.applies(each.registration.service):
                summary = each.speed.summary(now)
                if summary:
                    found[name] = summary
        if len(found) <= MAX_SERVERS:
            return found
        names = sorted(found, key=lambda name: -found[name][0] - found[name][2])
        return {name: found[name] for name in names[:MAX_SERVERS]}

    def merge(
        self, sender: str, report: peer_messages.LoadReport, now: float
    ) -> None:
        """Merges the slowdowns and observations of another router."""
        servers = self.view.servers.by_incarnation
        for name, percent in report.slowdowns.items():
            backend = servers.get(name)
            if backend is not None and name in report.said:
                self._merge_slowdown(backend, percent, report.said[name], now)
        if not report.speeds:
            return
        summaries = dict(itertools.islice(report.speeds.items(), MAX_SERVERS))
        self._forget_at(
            sender, self._by_sender.get(sender, set()) - set(summaries)
        )
        known = {name for name in summaries if name in servers}
        self._by_sender[sender] = known
        for name in known:
            servers[name].speed.merge(sender, summaries[name], now)

    def _merge_slowdown(
        self,
        backend: backends.Backend,
        percent: int,
        said: tuple[int, int, int, int],
        now: float,
    ) -> None:
        running, waiting, slots, age = said
        load = request_types.ServerLoad(
            running=running,
            waiting=waiting,
            slots=slots,
            slowdown=percent / 100,
        )
        self.view.load_control.note_report(backend.registration.service, load)
        backend.speed.note_report(load.slowdown, now - max(0, age) / 1000)

    def forget(self, sender: str) -> None:
        """Discards the observations of an absent router."""
        self._forget_at(sender, self._by_sender.pop(sender, set()))

    def _forget_at(self, sender: str, names: set[str]) -> None:
        """Discards a router's observations of some servers."""
        servers = self.view.servers.by_incarnation
        for name in names:
            backend = servers.get(name)
            if backend is not None:
                backend.speed.forget(sender)
