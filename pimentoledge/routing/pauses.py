"""Detects pauses of this process, in which received data was not read."""

from pimentoledge.routing import clocks

# A tick that is later than this shows that the process was paused.
PAUSE_SECONDS = 0.4
# Time after a pause by which the data that lay in sockets has been read.
SETTLE_SECONDS = 1.0


class Pauses:
    """The newest pause of this process, found by late ticks.

    Attributes:
        ticked: time of the last tick, in seconds of clocks.now.
        began: earliest start of the newest pause.
        ended: when that pause ended.
    """

    def __init__(self):
        self.ticked = clocks.now()
        self.began = self.ended = -SETTLE_SECONDS

    def tick(self, now: float) -> None:
        """Records that the process is running."""
        if now - self.ticked > PAUSE_SECONDS:
            self.began, self.ended = self.ticked, now
        self.ticked = now

    def arrived(self, now: float, sent: float = 0.0) -> float:
        """Returns the earliest time at which data read now may have arrived.

        Args:
            now: the time.
            sent: when the call was sent that the data answers, if known. A
                pause before it had no effect on the data.
        """
        if now - self.ticked > PAUSE_SECONDS:
            return self.ticked
        settled = now - self.ended >= SETTLE_SECONDS or sent >= self.ended
        return now if settled else self.began
