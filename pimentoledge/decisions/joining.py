"""Which entries that start read the store, and whom they tell once complete.

When all entries restart there is nobody to take the configuration from, and
each one knows little more than its seeds. So the first two seeds that can be
reached, which hear of all, let one entry of each data centre read the store.
The others take it from those, who tell them as soon as they are complete.
"""

from pimentoledge.decisions import peers

# A seed lets another entry of the same data centre scan after so long, as the
# first one may be dead or cut off from the store.
GRANT_SECONDS = 1.0
# How soon an entry that is not complete asks again.
RETRY_SECONDS = 0.25
# Entries told together that this one is complete. Each takes a snapshot, so
# more at one time would only wait for each other.
TOLD_TOGETHER = 16
TELL_SECONDS = 0.1
MOST_WAITING = peers.MOST_HEARD


class Joining:
    """One entry's part in a start of many.

    Attributes:
        granted: whether a seed let this entry scan.
        refused: whether an entry that is not complete itself did not.
        waiting: mailboxes of entries to tell once this one is complete.
    """

    def __init__(self):
        self.granted = False
        self.refused = False
        self.waiting: list[str] = []
        self._holders: dict[str, tuple[str, float]] = {}
        self._next_tell = float("-inf")

    def asked(self, mailbox: str) -> None:
        """Notes an entry that asked before this one was complete."""
        if mailbox in self.waiting or len(self.waiting) >= MOST_WAITING:
            return
        self.waiting.append(mailbox)

    def grant(self, mailbox: str, data_centre: str, now: float) -> bool:
        """Returns whether an entry shall scan for its data centre."""
        holder, ends = self._holders.get(data_centre, ("", now))
        if holder != mailbox and now < ends:
            return False
        # It keeps the first one's end: one that can't reach the store would
        # otherwise hold the scan of its data centre for ever.
        if holder != mailbox:
            self._holders[data_centre] = (mailbox, now + GRANT_SECONDS)
        return True

    def answered(self, scan: bool) -> None:
        """Takes the word of an entry that is not complete."""
        self.granted = self.granted or scan
        self.refused = True

    def scanned(self, near: list[str]) -> None:
        """Has those of its data centre told first, after a scan."""
        rest = [each for each in self.waiting if each not in near]
        self.waiting = near + rest

    def tell(self, now: float) -> list[str]:
        """Returns the entries to tell now."""
        if not self.waiting or now < self._next_tell:
            return []
        self._next_tell = now + TELL_SECONDS
        told = self.waiting[:TOLD_TOGETHER]
        self.waiting = self.waiting[TOLD_TOGETHER:]
        return told

    def next_tell(self) -> float:
        """Returns when `tell` is due next."""
        return self._next_tell if self.waiting else float("inf")
