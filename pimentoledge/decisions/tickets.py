"""The state that an entry keeps for each request in progress."""

import enum

import attrs

from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import retries
from pimentoledge.decisions import streams


class Phase(enum.StrEnum):
    """Phase of a request at the entry."""

    # Waits for admission under its contract's limits.
    LIMITED = "limited"
    # Waits for placement or for its next attempt.
    PLACING = "placing"
    # Sent to an agent that has not admitted or refused it yet.
    SENT = "sent"
    # Admitted by the agent.
    ADMITTED = "admitted"


@attrs.define(kw_only=True)
class Ticket:
    """A request in progress.

    Attributes:
        event: the caller's request.
        contract: its organisation's contract at the time of acceptance.
        deadline: time at which it ends with DEADLINE_PASSED.
        blocks: chained block digests of its prompt.
        fingerprint: digest of organisation and content.
        stream: orders the frames of its attempts.
        crashes: number of engine crashes attributed to its content, as of
            the current attempt.
        attempt_state: state of the retry policy.
        phase: its phase.
        server: backend server of the current attempt.
        agent: mailbox of that server's agent.
        last_heard_at: time of the last message from the agent about it.
        probed: whether a probe was sent to the agent since that time.
    """

    event: events.CallerRequest
    contract: declarations.Contract
    deadline: float
    blocks: list[bytes]
    fingerprint: bytes
    stream: streams.Stream
    attempt_state: retries.AttemptState
    phase: Phase = Phase.LIMITED
    crashes: int = 0
    server: str = ""
    agent: str = ""
    last_heard_at: float = 0.0
    probed: bool = False

    def repeatable(self) -> bool:
        """Returns whether the request may run more than once."""
        if self.event.idempotency_key:
            return False
        return self.event.call is None or self.event.call.repeatable

    def priority(self) -> declarations.Priority:
        """Returns the lower of the requested and the contract's priority."""
        if self.event.batch:
            return declarations.Priority.BATCH
        return self.contract.priority
