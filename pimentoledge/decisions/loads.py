"""An entry's estimate of one backend server's load and state.

An agent's report is outdated when it arrives, and the entry goes on sending
until the next one. So the backlog is estimated as a fluid queue: it drains at
the server's prefill speed and each dispatch adds to it. A report replaces the
backlog and removes the dispatches that the agent had counted in it.
"""

import collections

import attrs

from pimentoledge.nodes import messages

# Prefill time of a token until the first report, in seconds.
UNKNOWN_TOKEN_SECONDS = 0.0002
# Seconds after which a dispatch that no report covers no longer counts: it was
# lost, or its agent has restarted.
UNCOVERED_SECONDS = 5.0
_FIRST_BACKOFF = 0.5
_MAX_BACKOFF = 8.0


@attrs.define(kw_only=True)
class Sent:
    """A dispatch that no report has covered yet.

    Attributes:
        number: sequence number among the dispatches to this server, from 1.
        tokens: expected uncached prompt tokens.
        at: time of the dispatch.
    """

    number: int
    tokens: int
    at: float


class EstimatedLoad:
    """An entry's estimate of the load of one backend server.

    Attributes:
        status: newest report; None before the first.
        reported_at: arrival time of the newest report.
        backlog: estimated uncached tokens waiting, at `drained_at`.
        drained_at: time up to which the backlog has been drained.
        count: number of dispatches sent so far.
        uncovered: dispatches that no report covers, oldest first.
        failures: consecutive failures.
        retry_at: end of the backoff, before which the server is used only as
            a last resort.
    """

    def __init__(self):
        self.status: messages.ServerStatus | None = None
        self.reported_at = 0.0
        self.backlog = 0.0
        self.drained_at = 0.0
        self.count = 0
        self.uncovered: collections.deque[Sent] = collections.deque()
        self.failures = 0
        self.retry_at = 0.0

    def token_seconds(self) -> float:
        """Returns the prefill time of one uncached token, in seconds."""
        if self.status is None or self.status.token_seconds <= 0:
            return UNKNOWN_TOKEN_SECONDS
        return self.status.token_seconds

    def drain(self, now: float):
        """Drains the backlog up to a time."""
        passed = max(0.0, now - self.drained_at)
        self.backlog = max(0.0, self.backlog - passed / self.token_seconds())
        self.drained_at = max(self.drained_at, now)
        self.forget(now)

    def forget(self, now: float):
        """Drops dispatches that have been uncovered for too long."""
        oldest = now - UNCOVERED_SECONDS
        while self.uncovered and self.uncovered[0].at < oldest:
            self.uncovered.popleft()

    def sent(self, tokens: int, now: float):
        """Records a dispatch with its uncached tokens."""
        self.drain(now)
        self.count += 1
        self.backlog += tokens
        sent = Sent(number=self.count, tokens=tokens, at=now)
        self.uncovered.append(sent)

    def record_status(self, status: messages.ServerStatus, now: float):
        """Replaces the estimate by a report."""
        before = self.status.received if self.status else 0
        if status.received < before:
            # The agent has restarted and counts from 0: the sequence numbers
            # no longer match, and the dispatches in flight are lost.
            self.uncovered.clear()
            self.count = status.received
        while self.uncovered and self.uncovered[0].number <= status.received:
            self.uncovered.popleft()
        # If this entry has restarted at its old address, the agent goes on
        # counting. Without this, reports older than a dispatch would seem to
        # cover it, and many restarted entries at once would send all their
        # work to the runner that last reported itself idle.
        self.count = max(self.count, status.received)
        self.status = status
        self.reported_at = now
        self.drained_at = now
        self.forget(now)
        self.backlog = status.queued_tokens + sum(
            each.tokens for each in self.uncovered
        )
        self.failures = 0
        self.retry_at = 0.0

    def failed(self, now: float):
        """Records a failure of the server or its agent; starts a backoff."""
        seconds = min(_MAX_BACKOFF, _FIRST_BACKOFF * 2**self.failures)
        self.failures += 1
        self.retry_at = now + seconds
        self.uncovered.clear()

    def wait_seconds(self, now: float, residence: float) -> float:
        """Returns the expected wait before a new request's prefill begins.

        Args:
            now: monotonic seconds.
            residence: how long a request holds a slot, in seconds.
        """
        self.drain(now)
        wait = self.backlog * self.token_seconds()
        if self.status is None or self.status.slots <= 0:
            return wait
        present = self.status.running + self.status.queued + len(self.uncovered)
        over = present - self.status.slots + 1
        if over <= 0:
            return wait
        return max(wait, over * residence / self.status.slots)
