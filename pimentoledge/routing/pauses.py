"""When this process stood still, and what it read may have waited."""

from pimentoledge.routing import clocks

# A tick that comes so late shows that the process did not run.
PAUSE_SECONDS = 0.4
# What lay in the sockets has been read so long after a pause.
SETTLE_SECONDS = 1.0


class Pauses:
    """The newest pause of this process, by its ticks.

    Attributes:
        ticked: when it ticked last, in seconds of clocks.now.
        began: since when it may have stood still in the newest pause.
        ended: when that pause was over.
    """

    def __init__(self):
        self.ticked = clocks.now()
        self.began = self.ended = -SETTLE_SECONDS

    def tick(self, now: float) -> None:
        """Takes that the process runs."""
        if now - self.ticked > PAUSE_SECONDS:
            self.began, self.ended = self.ticked, now
        self.ticked = now

    def arrived(self, now: float) -> float:
        """Returns as of when what is read now may have lain in a socket."""
        if now - self.ticked > PAUSE_SECONDS:
            return self.ticked
        return self.began if now - self.ended < SETTLE_SECONDS else now
