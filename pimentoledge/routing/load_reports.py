"""Exchange of load and cache reports between routers.

In a large fleet each router sends a given server a request only every few
seconds, so it seldom receives the server's load and knows little of its prefix
cache. Without reports, with 68 routers and 60 runners, the chosen runner had in
half of the cases reported no load to this router for nine seconds, and a router
knew a 68th of the cached parts.
"""

from collections.abc import Callable
from typing import Protocol

from pimentoledge.nodes import numbers
from pimentoledge.routing import backends
from pimentoledge.routing import cluster_views
from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import peer_loads
from pimentoledge.routing import peer_messages
from pimentoledge.routing import request_types
from pimentoledge.routing import rosters
from pimentoledge.routing import selections
from pimentoledge.routing import wait_estimates

# Small changes are reported after this time, also for routers that have just
# joined. The begin or end of a short answer is worth less than a message to
# each of 13 routers, which takes some 0.1 ms at both ends.
REPEAT_SECONDS = 0.5
# Load that a server reported longer ago is not forwarded.
FRESH_SECONDS = 1.0
# A larger change of a runner's pending prompt tokens is reported at once. The
# number corresponds to 30 ms of prefill.
URGENT_TOKENS = 1000
# Maximum interval between reports of the runners' mean load, some 60 bytes, to
# other data centres.
REMOTE_REPORT_SECONDS = 0.5
# A mean load of another data centre that is older than this is discarded.
MEAN_EXPIRY_SECONDS = 3.0
# Number of routers of the data centre that receive a router's reports, and from
# which it receives some. Each sends some 300 bytes ten times a second, and the
# maximum keeps that independent of the fleet's size.
MAX_RECEIVERS = 32
# Maximum number of prompts in a report, some 60 bytes each. Others are dropped:
# cached parts are only a hint, and the next report has newer prompts.
MAX_PROMPTS = 200

OwnLoad = dict[str, tuple[int, int, int]]


class ReportPart(Protocol):
    """Fills and merges some fields of the reports between nearby routers."""

    def fill(self, report: peer_messages.LoadReport, now: float) -> None:
        """Sets its fields of a report that is about to be sent."""

    def merge(
        self, sender: str, report: peer_messages.LoadReport, now: float
    ) -> None:
        """Merges its fields of a report of a router, given its mailbox."""

    def forget(self, sender: str) -> None:
        """Discards what an absent router had reported."""


class LoadReports:
    """Sends this router's load at servers and receives that of its peers.

    Attributes:
        view: the router's view of the cluster.
        roster: the other routers.
        send_all: sends a message to mailboxes.
        last_report: load in this router's newest report, and its time.
        servers_by_sender: servers in each peer's last report, by mailbox.
        to_forward: prompts from other data centres, yet to be forwarded.
        parts: fill and merge further fields of the reports.
    """

    def __init__(
        self,
        *,
        view: cluster_views.ClusterView,
        roster: rosters.Roster,
        send_all: Callable[[list[str], object], None],
    ):
        self.view = view
        self.roster = roster
        self.send_all = send_all
        self.last_report: tuple[OwnLoad, float] = ({}, -1e9)
        self.servers_by_sender: dict[str, set[str]] = {}
        self.to_forward: list[peer_messages.PromptReport] = []
        self.parts: list[ReportPart] = []
        self._next_remote = 0.0
        self._remote_prompts: list[peer_messages.PromptReport] = []

    def prompt_changed(self, prompt_tokens: int, now: float) -> None:
        """Reports at once that a long prompt was sent, or was prefilled.

        If reports waited for the next tick, all routers would see the same
        load and choose the same runner: half of all prompts then share their
        runner with one sent in the last 0.12 s, while most runners of the data
        centre have nothing to prefill.

        Args:
            prompt_tokens: its length; a short one waits for the next tick.
            now: the time.
        """
        if prompt_tokens > URGENT_TOKENS:
            self.tick(now)

    def tick(self, now: float) -> None:
        """Sends reports that are due, and discards load of absent routers."""
        self.view.reaches_all = self.roster.reaches_all()
        present = self.roster.present(now)
        for address in [
            each for each in self.servers_by_sender if each not in present
        ]:
            self._forget(address)
        self._expire_means(now)
        prompts = self._take_prompts()
        self._report_nearby(prompts, now)
        self._remote_prompts += prompts
        if any(map(_is_long, prompts)) or now >= self._next_remote:
            self._report_remote(now)

    def _take_prompts(self) -> list[peer_messages.PromptReport]:
        prompts = self.view.prompts_sent[-MAX_PROMPTS:]
        self.view.prompts_sent.clear()
        return prompts

    def _report_nearby(
        self, prompts: list[peer_messages.PromptReport], now: float
    ) -> None:
        """Sends a report to routers nearby if it is due or urgent."""
        before, when = self.last_report
        has = self._own_loads()
        said = self._reported_loads(when, now)
        forwarded, self.to_forward = self.to_forward[-MAX_PROMPTS:], []
        urgent = _differ(before, has) or any(map(_is_long, prompts + forwarded))
        if not urgent and now - when < REPEAT_SECONDS:
            return
        self.last_report = (has, now)
        message = peer_messages.LoadReport(
            has=has,
            said=said,
            prompts=prompts + forwarded,
            means=self._means(now),
        )
        for part in self.parts:
            part.fill(message, now)
        self.send_all(self._near_receivers(now), message)

    def _report_remote(self, now: float) -> None:
        """Sends a report to one router of each other data centre."""
        self._next_remote = now + REMOTE_REPORT_SECONDS
        prompts, self._remote_prompts = self._remote_prompts[-MAX_PROMPTS:], []
        means = {}
        mean = self._own_mean(now)
        if mean is not None:
            means[self.view.data_centre] = (*mean, 0)
        message = peer_messages.LoadReport(
            has={}, said={}, prompts=prompts, means=means
        )
        self.send_all(self._remote_receivers(now), message)

    def _own_mean(self, now: float) -> tuple[float, float, int] | None:
        """Returns the mean load of a runner of the own data centre.

        Returns:
            requests, queued requests and prompt tokens yet to be prefilled;
            None without runners.
        """
        runners = [
            each
            for each in self.view.servers.by_incarnation.values()
            if each.registration.weights
            and each.registration.data_centre == self.view.data_centre
            and not each.announced_leaving()
        ]
        if not runners:
            return None
        busy = sum(each.estimated_requests(now) for each in runners)
        queued = sum(each.queued(now) for each in runners)
        unread = sum(each.outstanding() for each in runners)
        count = len(runners)
        return (
            round(busy / count, 2),
            round(queued / count, 2),
            unread // count,
        )

    def _means(self, now: float) -> dict[str, tuple[float, float, int, int]]:
        """Returns the known mean loads of other data centres, for a report."""
        return {
            data_centre: (
                each.busy,
                each.queued,
                each.unread,
                numbers.milliseconds(now - each.since),
            )
            for data_centre, each in self.view.remote_means.items()
        }

    def _own_loads(self) -> OwnLoad:
        servers = self.view.servers.by_incarnation
        return {
            name: (each.open, each.unbegun, each.unread_tokens)
            for name, each in servers.items()
            if each.open
        }

    def _reported_loads(
        self, since: float, now: float
    ) -> dict[str, tuple[int, int, int, int]]:
        """Returns load that servers reported to this router since a time."""
        servers = self.view.servers.by_incarnation
        since = max(since, now - FRESH_SECONDS)
        return {
            name: (
                each.load.running,
                each.load.waiting,
                each.load.slots,
                numbers.milliseconds(now - each.load_at),
            )
            for name, each in servers.items()
            if each.load_first_hand and each.load_at > since
        }

    def _near_receivers(self, now: float) -> list[str]:
        """Returns the receivers of this router's reports.

        They are the routers that follow it on the ring, so that each router
        receives from as many as it sends to. In a large fleet only routers of
        the own data centre are included.
        """
        near = [
            address
            for address, peer in self.roster.present(now).items()
            if self._is_near(peer)
        ]
        return self._ring_order(near)[:MAX_RECEIVERS]

    def _is_near(self, peer: rosters.Peer) -> bool:
        own = self.view.data_centre
        return self.roster.reaches_all() or peer.data_centre == own

    def _remote_receivers(self, now: float) -> list[str]:
        """Returns the next router on the ring in each other data centre.

        That router forwards prompts to its neighbours, so each prompt is sent
        to another data centre only once.
        """
        own = self.view.data_centre
        if self.roster.reaches_all():
            return []
        by_data_centre: dict[str, list[str]] = {}
        for address, peer in self.roster.members(now).items():
            if peer.data_centre not in ("", own):
                by_data_centre.setdefault(peer.data_centre, []).append(address)
        return [self._ring_order(each)[0] for each in by_data_centre.values()]

    def _ring_order(self, addresses: list[str]) -> list[str]:
        """Returns addresses in ring order, starting after this router."""
        here = heartbeat_rings.ring_position(self.roster.own)
        return sorted(
            addresses,
            key=lambda each: (heartbeat_rings.ring_position(each) - here)
            % heartbeat_rings.RING_SIZE,
        )

    def receive(
        self, sender: str, report: peer_messages.LoadReport, now: float
    ) -> None:
        """Merges a peer's report, which replaces its previous one."""
        peer = self.roster.known.get(sender)
        near = peer is not None and self._is_near(peer)
        self._merge_means(report, now)
        for prompt in report.prompts:
            selections.note_peer_prompt(self.view, prompt, now)
        if not near:
            self.to_forward += report.prompts
            return
        self._merge_own_loads(sender, report, now)
        self._merge_reported_loads(report, now)
        for part in self.parts:
            part.merge(sender, report, now)

    def _merge_own_loads(
        self, sender: str, report: peer_messages.LoadReport, now: float
    ) -> None:
        servers = self.view.servers.by_incarnation
        gone = self.servers_by_sender.get(sender, set()) - set(report.has)
        self.servers_by_sender[sender] = set(report.has)
        for name in gone | set(report.has):
            backend = servers.get(name)
            if backend is not None:
                self._set_peer_load(
                    backend,
                    sender,
                    report.has.get(name),
                    report.memory.get(name),
                    now,
                )

    def _set_peer_load(
        self,
        backend: backends.Backend,
        sender: str,
        peer_load: tuple[int, int, int] | None,
        tokens: int | None,
        now: float,
    ) -> None:
        """Sets a router's load at a server.

        A decrease of the tokens to prefill shows that the server has moved on
        to the next prompt, so the time of its current prefill starts anew.
        """
        before = backend.outstanding()
        if peer_load is None:
            backend.peer_loads.remove(sender)
        else:
            open_, unbegun, unread = peer_load
            backend.peer_loads.set(
                sender,
                peer_loads.PeerLoad(
                    open=open_,
                    unbegun=unbegun,
                    unread=unread,
                    tokens=None if tokens is None else max(0, tokens),
                ),
            )
        if not before or backend.outstanding() < before:
            backend.read_since = now

    def _merge_reported_loads(
        self, report: peer_messages.LoadReport, now: float
    ) -> None:
        servers = self.view.servers.by_incarnation
        for name, (running, waiting, slots, age) in report.said.items():
            backend = servers.get(name)
            said_at = now - age / 1000
            if backend is not None and said_at > backend.load_at:
                load = request_types.ServerLoad(
                    running=running, waiting=waiting, slots=slots
                )
                backend.update_load(load, said_at, first_hand=False)

    def _merge_means(
        self, report: peer_messages.LoadReport, now: float
    ) -> None:
        known = self.view.remote_means
        for data_centre, (busy, queued, unread, age) in report.means.items():
            since = now - age / 1000
            if data_centre == self.view.data_centre:
                continue
            if data_centre not in known or since > known[data_centre].since:
                known[data_centre] = wait_estimates.MeanLoad(
                    busy=busy, queued=queued, unread=unread, since=since
                )

    def _expire_means(self, now: float) -> None:
        known = self.view.remote_means
        for data_centre in list(known):
            if now - known[data_centre].since > MEAN_EXPIRY_SECONDS:
                del known[data_centre]

    def _forget(self, sender: str) -> None:
        for part in self.parts:
            part.forget(sender)
        servers = self.view.servers.by_incarnation
        for name in self.servers_by_sender.pop(sender, ()):
            backend = servers.get(name)
            if backend is not None:
                backend.peer_loads.remove(sender)


def _differ(before: OwnLoad, has: OwnLoad) -> bool:
    """Returns whether the load at some server changed by an urgent amount."""
    nothing = (0, 0, 0)
    return any(
        abs(has.get(name, nothing)[2] - before.get(name, nothing)[2])
        > URGENT_TOKENS
        for name in has.keys() | before.keys()
    )


def _is_long(prompt: peer_messages.PromptReport) -> bool:
    """Returns whether a prompt is long enough to be reported at once."""
    return sum(tokens for _, tokens in prompt.parts) > URGENT_TOKENS
