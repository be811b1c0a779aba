"""What routers of a data centre tell each other of the work at servers.

Of many routers each sends a server a request every few seconds, and so hears
its load seldom: with 68 routers before 60 runners half of all requests went to
a runner that had told this router nothing for nine seconds. What the
others have sent there is known to them alone until the server's next answer.
"""

from collections.abc import Callable

from pimentoledge.routing import asks
from pimentoledge.routing import backends
from pimentoledge.routing import beliefs
from pimentoledge.routing import peer_messages
from pimentoledge.routing import rings
from pimentoledge.routing import rosters

# Between two reports. A prompt of 9,000 tokens is read in 0.3 s: a report that
# comes much later tells of what is over.
REPORT_SECONDS = 0.1
# What hasn't changed is told again after this, for those who have just come.
REPEAT_SECONDS = 1.0
# A load that a server said longer ago is not passed on.
FRESH_SECONDS = 1.0
# Routers of the data centre that are told, and as many that tell: some 300
# bytes ten times a second from each, whatever the size of the fleet.
MOST_TOLD = 32


class LoadReports:
    """Tells what this router has at servers, and takes what others have.

    Attributes:
        believed: what the process believes.
        roster: the other routers.
        send: sends a message to a mailbox.
        told: the newest report, and when it was sent.
        heard: from whom there are reports, by mailbox, with the servers.
    """

    def __init__(
        self,
        *,
        believed: beliefs.Beliefs,
        roster: rosters.Roster,
        send: Callable[[str, object], None],
    ):
        self.believed = believed
        self.roster = roster
        self.send = send
        self.told: tuple[dict[str, tuple[int, int, int]], float] = ({}, -1e9)
        self.heard: dict[str, set[str]] = {}
        self._next = 0.0

    def tick(self, now: float) -> None:
        """Sends a report when one is due, and forgets who is away."""
        if now < self._next:
            return
        self._next = now + REPORT_SECONDS
        present = self.roster.present(now)
        for address in [each for each in self.heard if each not in present]:
            self._forget(address)
        self._report(now)

    def _report(self, now: float) -> None:
        before, when = self.told
        servers = self.believed.servers.by_incarnation
        has = {
            name: (each.open, each.unbegun, each.reading)
            for name, each in servers.items()
            if each.open
        }
        said = {
            name: (
                each.load.running,
                each.load.waiting,
                each.load.slots,
                int((now - each.load_at) * 1000),
            )
            for name, each in servers.items()
            if each.load_first_hand and each.load_at > max(when, now - 1)
        }
        if has == before and not said and now - when < REPEAT_SECONDS:
            return
        self.told = (has, now)
        message = peer_messages.Work(has=has, said=said)
        for address in self._receivers(now):
            self.send(address, message)

    def _receivers(self, now: float) -> list[str]:
        """Returns the routers of the data centre that come next on the circle.

        So each tells, and is told by, as many.
        """
        here = rings.place(self.roster.own)
        near = [
            address
            for address, peer in self.roster.present(now).items()
            if peer.data_centre == self.believed.data_centre
        ]
        near.sort(key=lambda each: (rings.place(each) - here) % rings.CIRCLE)
        return near[:MOST_TOLD]

    def take(self, sender: str, work: peer_messages.Work, now: float) -> None:
        """Takes another router's report in place of its last."""
        self._forget(sender)
        servers = self.believed.servers.by_incarnation
        for name, (open_, unbegun, unread) in work.has.items():
            backend = servers.get(name)
            if backend is not None:
                backend.others[sender] = backends.Share(
                    open=open_, unbegun=unbegun, unread=unread
                )
        self.heard[sender] = set(work.has)
        for name, (running, waiting, slots, age) in work.said.items():
            backend = servers.get(name)
            said_at = now - age / 1000
            if backend is not None and said_at > backend.load_at:
                load = asks.Load(running=running, waiting=waiting, slots=slots)
                backend.told_load(load, said_at, first_hand=False)

    def _forget(self, sender: str) -> None:
        servers = self.believed.servers.by_incarnation
        for name in self.heard.pop(sender, ()):
            backend = servers.get(name)
            if backend is not None:
                backend.others.pop(sender, None)
