"""What an entry keeps of one request until it has ended."""

import enum

import attrs

from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import retries
from pimentoledge.decisions import streams


class Phase(enum.StrEnum):
    """Where a request stands."""

    # Waits for a share of its contract's limit.
    LIMITED = "limited"
    # Waits to be placed again.
    PLACING = "placing"
    # Sent to an agent that has not said yet whether it takes it.
    SENT = "sent"
    # The agent took it.
    ADMITTED = "admitted"


@attrs.define(kw_only=True)
class Ticket:
    """One request.

    Attributes:
        event: what the caller asked for.
        contract: its organisation's contract when it was accepted.
        deadline: when its time is up.
        blocks: chained digests of its prompt.
        fingerprint: digest of organisation and content.
        stream: orders the frames of its attempts.
        crashes: engines that its content is known to have crashed, as of the
            current attempt.
        attempt_state: what the retry policy knows of it.
        phase: where it stands.
        server: backend server of the current attempt.
        agent: mailbox of that server's agent.
        last_heard_at: when its agent was last heard of.
        probed: whether its agent was asked about it since.
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
        """Returns whether it may run more than once."""
        if self.event.idempotency_key:
            return False
        return self.event.call is None or self.event.call.repeatable

    def priority(self) -> declarations.Priority:
        """Returns the lower of what was asked for and what is permitted."""
        if self.event.batch:
            return declarations.Priority.BATCH
        return self.contract.priority
