"""What an agent keeps of one attempt until it has ended."""

import enum

import attrs

from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import prefixes
from pimentoledge.nodes import messages


class RunStage(enum.StrEnum):
    """Where an attempt stands at its agent."""

    # Its claim is on the way to the store.
    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    # It was not run; its key is being freed before its entry hears of it.
    RELEASING = "releasing"
    # Its answer broke off; the engine is asked whether it still lives.
    BROKEN = "broken"
    # Told to stop at the engine, to make room for interactive work.
    PAUSING = "pausing"
    PAUSED = "paused"


@attrs.define(kw_only=True)
class Run:
    """One attempt at its agent.

    Attributes:
        dispatch: what to run.
        sender: the entry's mailbox.
        expires: when its time is up.
        stage: where it stands.
        sequence: number of the next frame.
        tokens: tokens generated since it was last handed to the engine.
        earlier_tokens: tokens generated before it was paused.
        pieces: what was generated, kept for work that may be paused.
        ran: what was seen when it broke: results.Ran.
        begun: whether an engine has ever begun it, before a pause too.
        resumes: times that it was taken up again without a new token.
        wanted: whether its entry still waits for it.
        text: what was generated, kept for a resend of a completion with a
            key; None once it is too long.
        verdict: RELEASING: what its entry will be told.
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
        """Returns whether it may be stopped and go on later."""
        return (
            self.dispatch.priority == declarations.Priority.BATCH
            and self.dispatch.completion is not None
            and not self.dispatch.key
        )

    def completion(self) -> messages.Completion:
        """Returns what the engine has to do, behind what it has done."""
        wanted = self.dispatch.completion
        if not self.earlier_tokens:
            return wanted
        return attrs.evolve(
            wanted,
            continued=wanted.continued + "".join(self.pieces),
            continued_tokens=wanted.continued_tokens + self.earlier_tokens,
        )

    def salt(self, weights: str) -> str:
        """Returns under what the engine may share cached blocks."""
        return prefixes.salt(
            organisation=self.dispatch.organisation,
            model=self.dispatch.completion.model,
            adapter=self.dispatch.completion.adapter,
            weights=weights,
        ).hex()

    def action(
        self, *, weights: str
    ) -> actions.RunCompletion | actions.RunCall:
        """Returns what hands this to the engine or service.

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
