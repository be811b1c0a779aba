"""Selects the starting entries that scan the store, and notifies the others.

When all entries restart, none has the configuration, and each has little more
than its list of seeds. The first two reachable seeds, which every starting
entry contacts, therefore let one entry per data centre scan the store. The
others copy from these entries, which notify them once they are complete.
"""

from pimentoledge.decisions import peers

# After this time a seed lets another entry of the same data centre scan, since
# the first one may be dead or unable to reach the store.
GRANT_SECONDS = 1.0
# Mean interval at which an incomplete entry repeats its request.
RETRY_SECONDS = 0.25
# Entries notified together that this one is complete. Each fetches a snapshot,
# so more at a time would only wait for each other.
ANNOUNCED_TOGETHER = 16
ANNOUNCE_SECONDS = 0.1
MAX_WAITING = peers.MAX_PEERS


class Joining:
    """State of one entry while many entries start together.

    Attributes:
        granted: whether a seed allowed this entry to scan the store.
        refused: whether an incomplete entry has answered this one, with or
            without a grant.
        waiting: mailboxes of entries to notify once this one is complete.
    """

    def __init__(self):
        self.granted = False
        self.refused = False
        self.waiting: list[str] = []
        self._holders: dict[str, tuple[str, float]] = {}
        self._next_batch = float("-inf")

    def add_waiting(self, mailbox: str) -> None:
        """Adds an entry that sent a digest while this one was incomplete."""
        if mailbox in self.waiting or len(self.waiting) >= MAX_WAITING:
            return
        self.waiting.append(mailbox)

    def grant(self, mailbox: str, data_centre: str, now: float) -> bool:
        """Returns whether an entry may scan for its data centre."""
        holder, ends = self._holders.get(data_centre, ("", now))
        if holder != mailbox and now < ends:
            return False
        # A repeated request does not extend the grant: an entry that can't
        # reach the store would otherwise block its data centre for ever.
        if holder != mailbox:
            self._holders[data_centre] = (mailbox, now + GRANT_SECONDS)
        return True

    def on_summary(self, scan: bool) -> None:
        """Records the answer of an entry that is not complete."""
        self.granted = self.granted or scan
        self.refused = True

    def put_first(self, near: list[str]) -> None:
        """Puts the entries of this data centre first, after a scan."""
        rest = [each for each in self.waiting if each not in near]
        self.waiting = near + rest

    def next_batch(self, now: float) -> list[str]:
        """Returns the entries to notify now."""
        if not self.waiting or now < self._next_batch:
            return []
        self._next_batch = now + ANNOUNCE_SECONDS
        batch = self.waiting[:ANNOUNCED_TOGETHER]
        self.waiting = self.waiting[ANNOUNCED_TOGETHER:]
        return batch

    def next_batch_time(self) -> float:
        """Returns when `next_batch` is due next."""
        return self._next_batch if self.waiting else float("inf")
