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
ANNOUNCED_TOGETHER = 16
ANNOUNCE_SECONDS = 0.1
MAX_WAITING = peers.MAX_PEERS


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
        self._next_batch = float("-inf")

    def add_waiting(self, mailbox: str) -> None:
        """Notes an entry that asked before this one was complete."""
        if mailbox in self.waiting or len(self.waiting) >= MAX_WAITING:
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

    def on_summary(self, scan: bool) -> None:
        """Takes the word of an entry that is not complete."""
        self.granted = self.granted or scan
        self.refused = True

    def put_first(self, near: list[str]) -> None:
        """Has those of its data centre told first, after a scan."""
        rest = [each for each in self.waiting if each not in near]
        self.waiting = near + rest

    def next_batch(self, now: float) -> list[str]:
        """Returns the entries to tell now."""
        if not self.waiting or now < self._next_batch:
            return []
        self._next_batch = now + ANNOUNCE_SECONDS
        batch = self.waiting[:ANNOUNCED_TOGETHER]
        self.waiting = self.waiting[ANNOUNCED_TOGETHER:]
        return batch

    def next_batch_time(self) -> float:
        """Returns when `tell` is due next."""
        return self._next_batch if self.waiting else float("inf")
