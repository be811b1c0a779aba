"""Detects peer messages that were delayed in the network.

A network partition delays a connection's bytes and delivers them when it ends.
The ages in such a message are as of sending and would appear too recent.
"""

import attrs

from pimentoledge.nodes import mailboxes

# Least excess over the shortest recent delay that counts as delayed.
MIN_EXCESS_SECONDS = 0.25
# Ages lack the time that undelayed messages take. Times that two routers report
# to each other may differ by this and still be the same.
ROUND_TRIP_SECONDS = 2 * MIN_EXCESS_SECONDS
# Messages wait up to this long until their connection is up. So the shortest
# delay may be too high by as much until a message has arrived that was sent so
# long after the first.
CONNECT_SECONDS = mailboxes.CONNECT_TIMEOUT_SECONDS
# Window of the shortest delay. Two clocks drift apart by about 30 ms within it.
WINDOW_SECONDS = 300.0


@attrs.define(kw_only=True)
class ShortestDelay:
    """The shortest delay from one router process, plus its clock offset.

    Attributes:
        started_ms: start of the process by its own clock, in ms.
        first_sent: when its first message was sent, by its own clock, in ms.
        settled: whether a message was among them that found its connection up.
        before: shortest delay of the previous window, in seconds.
        least: shortest delay of this window, in seconds.
        since: start of this window.
    """

    started_ms: int
    first_sent: int
    before: float
    least: float
    since: float
    settled: bool = False


class Delays:
    """Message delays by sender, for clocks that need not be synchronized.

    Attributes:
        shortest: shortest delays by the sender's mailbox.
    """

    def __init__(self):
        self.shortest: dict[str, ShortestDelay] = {}

    def excess_seconds(
        self,
        sender: str,
        clock: tuple[int, int],
        now: float,
        least: float = MIN_EXCESS_SECONDS,
    ) -> float:
        """Returns by how many seconds a message was delayed, or 0.

        Args:
            sender: the sender's mailbox.
            clock: when the sender started and when it sent the message, in ms
                of its own clock; zeros if the sender doesn't report them.
            now: when the message arrived.
            least: shortest delay that counts.
        """
        started_ms, sent = clock
        if not sent:
            return 0.0
        delay = now - sent / 1000
        known = self.shortest.get(sender)
        if known is None or known.started_ms != started_ms:
            self._forget(now)
            self.shortest[sender] = ShortestDelay(
                started_ms=started_ms,
                first_sent=sent,
                before=delay,
                least=delay,
                since=now,
            )
            return 0.0
        if now - known.since > WINDOW_SECONDS:
            known.before, known.least, known.since = known.least, delay, now
        known.least = min(known.least, delay)
        excess = delay - min(known.before, known.least)
        was_settled = known.settled
        known.settled |= sent - known.first_sent >= 1000 * CONNECT_SECONDS
        if excess < least:
            return 0.0
        if was_settled or excess < MIN_EXCESS_SECONDS:
            return excess
        return excess + CONNECT_SECONDS

    def is_settled(self, sender: str) -> bool:
        """Returns whether a message of a sender found its connection up."""
        known = self.shortest.get(sender)
        return known is not None and known.settled

    def _forget(self, now: float) -> None:
        """Removes routers that have sent nothing for two windows."""
        for sender, known in list(self.shortest.items()):
            if now - known.since > 2 * WINDOW_SECONDS:
                del self.shortest[sender]
