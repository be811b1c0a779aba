"""What routers tell each other of the work that servers have.

Of many routers each sends a server a request every few seconds, and so hears
its load, and learns what it keeps, seldom. With 68 routers before 60 runners
the runner that was chosen had in half of the cases told this router nothing
for nine seconds, and of the parts that it kept a router knew a 68th.
"""

from collections.abc import Callable

from pimentoledge.routing import backends
from pimentoledge.routing import cluster_views
from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import peer_messages
from pimentoledge.routing import request_types
from pimentoledge.routing import rosters
from pimentoledge.routing import selections
from pimentoledge.routing import wait_estimates

# What changed little is told after this, also for those who have just come:
# that a short answer began or ended matters less than a message to each of 13
# routers, which takes some 0.1 ms at both ends.
REPEAT_SECONDS = 0.5
# What a server said longer ago is not passed on.
FRESH_SECONDS = 1.0
# A change of what a runner has to read that is told at once: 30 ms of reading.
URGENT_TOKENS = 1000
# What a data centre's runners have in the mean is told to the others so often
# at least: some 60 bytes.
REMOTE_REPORT_SECONDS = 0.5
# What was told longer ago of another data centre says nothing any more.
MEAN_EXPIRY_SECONDS = 3.0
# Routers of the data centre that are told, and as many that tell: some 300
# bytes ten times a second from each, whatever the size of the fleet.
MAX_RECEIVERS = 32
# Prompts told in one report; some 60 bytes each. More are left out: what they
# leave at a runner is a hint, and the next report brings newer ones.
MAX_PROMPTS = 200

OwnLoad = dict[str, tuple[int, int, int]]


class LoadReports:
    """Tells what this router has at servers, and takes what others have.

    Attributes:
        view: what the process believes.
        roster: the other routers.
        send_all: sends a message to mailboxes.
        last_report: what it had at servers by its newest report, and when.
        servers_by_sender: servers in each peer's last report, by mailbox.
        to_forward: prompts from other data centres, yet to be forwarded.
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
        self._next_far = 0.0
        self._far_prompts: list[peer_messages.PromptReport] = []

    def prompt_changed(self, prompt_tokens: int, now: float) -> None:
        """Reports at once that a prompt was sent, or was read.

        Left for the next tick, half of all prompts met another one at their
        runner that had been sent there in the last 0.12 s, while most runners
        of the data centre had nothing to read: all routers saw the same, and
        chose the same runner.

        Args:
            prompt_tokens: its length; a short one is left for later.
            now: the time.
        """
        if prompt_tokens > URGENT_TOKENS:
            self.tick(now)

    def tick(self, now: float) -> None:
        """Reports what is news, and forgets who is away."""
        self.view.reaches_all = self.roster.reaches_all()
        present = self.roster.present(now)
        for address in [
            each for each in self.servers_by_sender if each not in present
        ]:
            self._forget(address)
        self._forget_old_means(now)
        prompts = self._prompts()
        self._report_near(prompts, now)
        self._far_prompts += prompts
        if any(map(_is_long, prompts)) or now >= self._next_far:
            self._report_far(now)

    def _prompts(self) -> list[peer_messages.PromptReport]:
        found = self.view.prompts_sent[-MAX_PROMPTS:]
        self.view.prompts_sent.clear()
        return found

    def _report_near(
        self, prompts: list[peer_messages.PromptReport], now: float
    ) -> None:
        """Tells the data centre's routers, where there is something new."""
        before, when = self.last_report
        has = self._has()
        said = self._said(when, now)
        passing, self.to_forward = self.to_forward[-MAX_PROMPTS:], []
        news = _differ(before, has) or any(map(_is_long, prompts + passing))
        if not news and now - when < REPEAT_SECONDS:
            return
        self.last_report = (has, now)
        message = peer_messages.LoadReport(
            has=has,
            said=said,
            prompts=prompts + passing,
            means=self._means(now),
        )
        self.send_all(self._near(now), message)

    def _report_far(self, now: float) -> None:
        """Tells a router of each other data centre."""
        self._next_far = now + REMOTE_REPORT_SECONDS
        prompts, self._far_prompts = self._far_prompts[-MAX_PROMPTS:], []
        means = {}
        mean = self._own_mean(now)
        if mean is not None:
            means[self.view.data_centre] = (*mean, 0)
        message = peer_messages.LoadReport(
            has={}, said={}, prompts=prompts, means=means
        )
        self.send_all(self._far(now), message)

    def _own_mean(self, now: float) -> tuple[float, float, int] | None:
        """Returns what a runner of the own data centre has in the mean."""
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
        """Returns what is known of other data centres, for the neighbours."""
        return {
            place: (
                each.busy,
                each.queued,
                each.unread,
                int((now - each.since) * 1000),
            )
            for place, each in self.view.elsewhere.items()
        }

    def _has(self) -> OwnLoad:
        servers = self.view.servers.by_incarnation
        return {
            name: (each.open, each.unbegun, each.reading)
            for name, each in servers.items()
            if each.open
        }

    def _said(
        self, since: float, now: float
    ) -> dict[str, tuple[int, int, int, int]]:
        """Returns what servers said to this router since its last report."""
        servers = self.view.servers.by_incarnation
        since = max(since, now - FRESH_SECONDS)
        return {
            name: (
                each.load.running,
                each.load.waiting,
                each.load.slots,
                int((now - each.load_at) * 1000),
            )
            for name, each in servers.items()
            if each.load_first_hand and each.load_at > since
        }

    def _near(self, now: float) -> list[str]:
        """Returns the routers that come next on the circle.

        So each tells, and is told by, as many. Of many routers, those of the
        own data centre.
        """
        near = [
            address
            for address, peer in self.roster.present(now).items()
            if self._is_near(peer)
        ]
        return self._from_here(near)[:MAX_RECEIVERS]

    def _is_near(self, peer: rosters.Peer) -> bool:
        own = self.view.data_centre
        return self.roster.reaches_all() or peer.data_centre == own

    def _far(self, now: float) -> list[str]:
        """Returns the next router on the circle of each other data centre.

        It passes on to its neighbours, so what a prompt leaves at a runner
        goes to another data centre once.
        """
        own = self.view.data_centre
        if self.roster.reaches_all():
            return []
        places: dict[str, list[str]] = {}
        for address, peer in self.roster.members(now).items():
            if peer.data_centre not in ("", own):
                places.setdefault(peer.data_centre, []).append(address)
        return [self._from_here(each)[0] for each in places.values()]

    def _from_here(self, addresses: list[str]) -> list[str]:
        here = heartbeat_rings.ring_position(self.roster.own)
        return sorted(
            addresses,
            key=lambda each: (heartbeat_rings.ring_position(each) - here)
            % heartbeat_rings.RING_SIZE,
        )

    def receive(
        self, sender: str, work: peer_messages.LoadReport, now: float
    ) -> None:
        """Takes another router's report in place of its last."""
        peer = self.roster.known.get(sender)
        near = peer is not None and self._is_near(peer)
        self._take_means(work, now)
        for prompt in work.prompts:
            selections.note_peer_prompt(self.view, prompt, now)
        if not near:
            self.to_forward += work.prompts
            return
        self._take_has(sender, work, now)
        self._take_said(work, now)

    def _take_has(
        self, sender: str, work: peer_messages.LoadReport, now: float
    ) -> None:
        servers = self.view.servers.by_incarnation
        gone = self.servers_by_sender.get(sender, set()) - set(work.has)
        self.servers_by_sender[sender] = set(work.has)
        for name in gone | set(work.has):
            backend = servers.get(name)
            if backend is not None:
                self._set_share(backend, sender, work.has.get(name), now)

    def _set_share(
        self,
        backend: backends.Backend,
        sender: str,
        share: tuple[int, int, int] | None,
        now: float,
    ) -> None:
        """Takes what a router has at a server now.

        That it has less unread there shows that the server has gone on to
        what is next.
        """
        before = backend.outstanding()
        backend.others.pop(sender, None)
        if share is not None:
            open_, unbegun, unread = share
            backend.others[sender] = backends.PeerLoad(
                open=open_, unbegun=unbegun, unread=unread
            )
        if not before or backend.outstanding() < before:
            backend.read_since = now

    def _take_said(self, work: peer_messages.LoadReport, now: float) -> None:
        servers = self.view.servers.by_incarnation
        for name, (running, waiting, slots, age) in work.said.items():
            backend = servers.get(name)
            said_at = now - age / 1000
            if backend is not None and said_at > backend.load_at:
                load = request_types.ServerLoad(
                    running=running, waiting=waiting, slots=slots
                )
                backend.update_load(load, said_at, first_hand=False)

    def _take_means(self, work: peer_messages.LoadReport, now: float) -> None:
        known = self.view.elsewhere
        for place, (busy, queued, unread, age) in work.means.items():
            since = now - age / 1000
            if place == self.view.data_centre:
                continue
            if place not in known or since > known[place].since:
                known[place] = wait_estimates.MeanLoad(
                    busy=busy, queued=queued, unread=unread, since=since
                )

    def _forget_old_means(self, now: float) -> None:
        known = self.view.elsewhere
        for place in list(known):
            if now - known[place].since > MEAN_EXPIRY_SECONDS:
                del known[place]

    def _forget(self, sender: str) -> None:
        servers = self.view.servers.by_incarnation
        for name in self.servers_by_sender.pop(sender, ()):
            backend = servers.get(name)
            if backend is not None:
                backend.others.pop(sender, None)


def _differ(before: OwnLoad, has: OwnLoad) -> bool:
    """Returns whether some server has much more, or less, to read."""
    nothing = (0, 0, 0)
    return any(
        abs(has.get(name, nothing)[2] - before.get(name, nothing)[2])
        > URGENT_TOKENS
        for name in has.keys() | before.keys()
    )


def _is_long(prompt: peer_messages.PromptReport) -> bool:
    """Returns whether another router should know of a prompt at once."""
    return sum(tokens for _, tokens in prompt.parts) > URGENT_TOKENS
