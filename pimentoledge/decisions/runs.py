"""State of one attempt at its agent, kept until the attempt has ended."""

import enum

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import prefixes
from pimentoledge.nodes import messages


class RunStage(enum.StrEnum):
    """Stage of an attempt at its agent."""

    # Its claim is being written to the store.
    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    # It was not run; its claim is released before the entry is informed.
    RELEASING = "releasing"
    # Its answer broke off; the engine's status is being fetched to find out
    # whether the engine is still up.
    BROKEN = "broken"
    # It is being cancelled at the engine, to free a slot for interactive work.
    PAUSING = "pausing"
    PAUSED = "paused"


@attrs.define(kw_only=True)
class Run:
    """One attempt at its agent.

    Attributes:
        dispatch: the dispatch to run.
        sender: the entry's mailbox.
        expires: time of its deadline.
        stage: its current stage.
        sequence: sequence number of the next frame.
        tokens: tokens generated since it was last submitted to the engine.
        earlier_tokens: tokens generated before it was paused.
        pieces: generated text, kept only for work that may be paused.
        ran: results.Ran as determined when its answer broke off.
        begun: whether an engine has ever begun it, also before a pause.
        resumes: consecutive resumptions without a new token.
        wanted: whether its entry still waits for it.
        text: generated text, kept to answer a resend of a completion with an
            idempotency key; None once it is too long.
        verdict: the reply to send when the claim is released, in stage
            RELEASING.
    """

    dispatch: messages.Dispatch
    sender: str
    expires: float
    stage: RunStage = RunStage.QUEUED
    sequence: int = 0
    tokens: int = 0
    earlier_tokens: int = 0
    pieces: list[str] = attrs.field(factory=list)
    ran: str = ""
    begun: bool = False
    resumes: int = 0
    wanted: bool = True
    text: str | None = ""
    verdict: messages.Refused | messages.Failed | None = None

    def key(self) -> tuple[str, int]:
        """Returns request and attempt."""
        return self.dispatch.request, self.dispatch.attempt

    def is_pausable(self) -> bool:
        """Returns whether it may be paused and resumed."""
        return (
            self.dispatch.priority == declarations.Priority.BATCH
            and self.dispatch.completion is not None
            and not self.dispatch.key
        )

    def completion(self) -> messages.Completion:
        """Returns the completion, continued after the text so far."""
        original = self.dispatch.completion
        if not self.earlier_tokens:
            return original
        return attrs.evolve(
            original,
            continued=original.continued + "".join(self.pieces),
            continued_tokens=original.continued_tokens + self.earlier_tokens,
        )

    def salt(self, weights: str) -> str:
        """Returns the salt under which the engine may share cached blocks."""
        return prefixes.salt(
            organisation=self.dispatch.organisation,
            model=self.dispatch.completion.model,
            adapter=self.dispatch.completion.adapter,
            weights=weights,
        ).hex()

    def action(
        self, *, weights: str
    ) -> actions.RunCompletion | actions.RunCall:
        """Returns the action that submits this to the engine or service.

        Args:
            weights: weights version that the engine has loaded.
        """
        dispatch = self.dispatch
        if dispatch.completion is None:
            return actions.RunCall(
                request=dispatch.request,
                attempt=dispatch.attempt,
                call=dispatch.call,
                seconds=dispatch.seconds_left,
                key=dispatch.key,
                trace=dispatch.trace,
            )
        return actions.RunCompletion(
            request=dispatch.request,
            attempt=dispatch.attempt,
            priority=dispatch.priority,
            completion=self.completion(),
            salt=self.salt(weights),
            trace=dispatch.trace,
        )
