"""How long what other routers sent was held up on its way.

A cut holds a connection's bytes up and lets them through when it is over; the
ages in them would then seem as young as they were when they were sent.
"""

import attrs

# A delay that is so much longer than the shortest one of late counts.
MIN_EXCESS_SECONDS = 0.25
# Two clocks drift apart by some 30 ms within this.
WINDOW_SECONDS = 300.0


@attrs.define(kw_only=True)
class ShortestDelay:
    """The shortest delay of one life of a router, plus its clock's distance.

    Attributes:
        born: when that life began, by its own clock in ms.
        before: the least of the window before, in seconds.
        least: the least of this window.
        since: when this window began.
    """

    born: int
    before: float
    least: float
    since: float


class Delays:
    """Delays of messages, by sender; clocks need not agree.

    Attributes:
        shortest: by mailbox.
    """

    def __init__(self):
        self.shortest: dict[str, ShortestDelay] = {}

    def excess_seconds(
        self, sender: str, clock: tuple[int, int], now: float
    ) -> float:
        """Returns for how many seconds a message was held up; 0 if it wasn't.

        Args:
            sender: the mailbox that sent it.
            clock: when the sender started and when it sent the message, in ms
                of its own clock; zeros from who doesn't tell.
            now: when the message came.
        """
        born, sent = clock
        if not sent:
            return 0.0
        delay = now - sent / 1000
        known = self.shortest.get(sender)
        if known is None or known.born != born:
            self._forget(now)
            self.shortest[sender] = ShortestDelay(
                born=born, before=delay, least=delay, since=now
            )
            return 0.0
        if now - known.since > WINDOW_SECONDS:
            known.before, known.least, known.since = known.least, delay, now
        known.least = min(known.least, delay)
        held = delay - min(known.before, known.least)
        return held if held >= MIN_EXCESS_SECONDS else 0.0

    def _forget(self, now: float) -> None:
        """Forgets routers that have sent nothing for two windows."""
        for sender, known in list(self.shortest.items()):
            if now - known.since > 2 * WINDOW_SECONDS:
                del self.shortest[sender]
