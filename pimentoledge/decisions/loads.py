"""What an entry believes of one backend server's load and state.

An agent's report is old when it arrives, and until the next one comes the
entry itself goes on sending. So the queue is kept as a fluid: it drains at
the server's own speed, each dispatch adds to it, and a report replaces it
together with those dispatches that the agent had counted in it.
"""

import collections

import attrs

from pimentoledge.nodes import messages

# Prefill time of a token until the first report says better.
UNKNOWN_TOKEN_SECONDS = 0.0002
# Dispatches that no report covered for so long were lost, or their agent has
# started anew; after this time they no longer weigh.
UNCOVERED_SECONDS = 5.0
_FIRST_BACKOFF = 0.5
_LONGEST_BACKOFF = 8.0


@attrs.define(kw_only=True)
class Sent:
    """A dispatch that no report has covered yet.

    Attributes:
        number: number among the dispatches to this server, from 1.
        tokens: uncached prompt tokens expected.
        at: time of the dispatch.
    """

    number: int
    tokens: int
    at: float


class EstimatedLoad:
    """One backend server as this entry sees it.

    Attributes:
        truth: newest report; None before the first.
        reported_at: when the newest report came.
        backlog: uncached tokens believed to be waiting, at `drained_at`.
        drained_at: time up to which the backlog has been drained.
        count: dispatches sent so far.
        uncovered: dispatches that no report covers, oldest first.
        failures: failures in a row.
        retry_at: time before which it is used only as a last resort.
    """

    def __init__(self):
        self.truth: messages.Truth | None = None
        self.reported_at = 0.0
        self.backlog = 0.0
        self.drained_at = 0.0
        self.count = 0
        self.uncovered: collections.deque[Sent] = collections.deque()
        self.failures = 0
        self.retry_at = 0.0

    def token_seconds(self) -> float:
        """Returns the prefill time of one uncached token."""
        if self.truth is None or self.truth.token_seconds <= 0:
            return UNKNOWN_TOKEN_SECONDS
        return self.truth.token_seconds

    def drain(self, now: float):
        """Lets the backlog run down to a time."""
        passed = max(0.0, now - self.drained_at)
        self.backlog = max(0.0, self.backlog - passed / self.token_seconds())
        self.drained_at = max(self.drained_at, now)
        self.forget(now)

    def forget(self, now: float):
        """Drops dispatches that no report will cover any more."""
        oldest = now - UNCOVERED_SECONDS
        while self.uncovered and self.uncovered[0].at < oldest:
            self.uncovered.popleft()

    def sent(self, tokens: int, now: float):
        """Counts a dispatch with its uncached tokens."""
        self.drain(now)
        self.count += 1
        self.backlog += tokens
        sent = Sent(number=self.count, tokens=tokens, at=now)
        self.uncovered.append(sent)

    def reported(self, truth: messages.Truth, now: float):
        """Takes a report in place of what was believed before."""
        before = self.truth.received if self.truth else 0
        if truth.received < before:
            # The agent has started anew and counts from 0: its numbers and
            # ours no longer fit, and what was under way died with it.
            self.uncovered.clear()
            self.count = truth.received
        while self.uncovered and self.uncovered[0].number <= truth.received:
            self.uncovered.popleft()
        # This entry has started anew at its old address, and the agent goes
        # on counting: without this each of our dispatches would seem covered
        # by a report from before it, and a herd of restarted entries would
        # send all their work to the runner that looked idle last.
        self.count = max(self.count, truth.received)
        self.truth = truth
        self.reported_at = now
        self.drained_at = now
        self.forget(now)
        self.backlog = truth.queued_tokens + sum(
            each.tokens for each in self.uncovered
        )
        self.failures = 0
        self.retry_at = 0.0

    def failed(self, now: float):
        """Counts a failure to reach it or to be served by it."""
        seconds = min(_LONGEST_BACKOFF, _FIRST_BACKOFF * 2**self.failures)
        self.failures += 1
        self.retry_at = now + seconds
        self.uncovered.clear()

    def wait_seconds(self, now: float, residence: float) -> float:
        """Returns the expected wait before a new request's prefill begins.

        Args:
            now: the time.
            residence: how long a request holds a slot, in seconds.
        """
        self.drain(now)
        wait = self.backlog * self.token_seconds()
        if self.truth is None or self.truth.slots <= 0:
            return wait
        present = self.truth.running + self.truth.queued + len(self.uncovered)
        over = present - self.truth.slots + 1
        if over <= 0:
            return wait
        return max(wait, over * residence / self.truth.slots)
