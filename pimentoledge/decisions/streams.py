"""Reorders the frames of one response stream across its attempts."""

import io

import attrs

from pimentoledge import results
from pimentoledge.nodes import messages

# Maximum number of frames buffered after a gap. Frames of one attempt arrive
# over one connection, so a gap that isn't closed by the next few frames is a
# loss and not a reordering.
MAX_BUFFERED_FRAMES = 8
# Maximum number of delivered characters kept for a continuation on another
# runner. A longer stream can't be continued.
MAX_KEPT_CHARACTERS = 256 * 1024


@attrs.frozen(kw_only=True)
class Attempt:
    """A new attempt.

    Attributes:
        number: attempt number, starting at 1.
        sequence: sequence number of its first frame.
    """

    number: int
    sequence: int


@attrs.frozen(kw_only=True)
class Broken:
    """The current attempt can't be completed because frames were lost.

    Attributes:
        error: error for the caller if no other attempt follows.
    """

    error: results.Error


@attrs.frozen(kw_only=True)
class Complete:
    """Every frame was delivered.

    Attributes:
        completion_tokens: tokens delivered over all attempts.
    """

    completion_tokens: int


@attrs.define(slots=True, init=False)
class Stream:
    """The response stream of one request, in the order of delivery.

    Messages of another request, of an older attempt or of an ended attempt
    are ignored.

    Attributes:
        request: request id.
        attempt: number of the current attempt; 0 before the first.
        sequence: sequence number of the next frame to deliver.
        tokens: tokens delivered.
        open: whether the current attempt may still deliver frames.
        buffered: frames received after a gap, by sequence number.
        kept_text: delivered text; None once it is too long to be kept.
        kept_characters: characters in `kept_text`.
    """

    request: str
    attempt: int
    sequence: int
    tokens: int
    open: bool
    buffered: dict[int, messages.Frame]
    kept_text: io.StringIO | None
    kept_characters: int

    def __init__(self, *, request: str):
        self.request = request
        self.attempt = 0
        self.sequence = 0
        self.tokens = 0
        self.open = False
        self.buffered = {}
        self.kept_text = io.StringIO()
        self.kept_characters = 0

    def new_attempt(self) -> Attempt:
        """Ends the current attempt and starts the next one."""
        self.attempt += 1
        self.open = True
        self.buffered.clear()
        return Attempt(number=self.attempt, sequence=self.sequence)

    def is_current(self, request: str, attempt: int) -> bool:
        """Returns whether a message belongs to the open attempt."""
        return self.open and attempt == self.attempt and request == self.request

    def accept(self, frame: messages.Frame) -> list[messages.Frame] | Broken:
        """Handles a received frame.

        Returns:
            The frames to deliver now, in order; empty if the frame is dropped
            or buffered. Broken if frames of the attempt were lost.
        """
        if not self.is_current(frame.request, frame.attempt):
            return []
        if frame.sequence < self.sequence:
            return []
        if frame.sequence > self.sequence:
            return self._buffer(frame)
        self._deliver(frame)
        if not self.buffered:
            return [frame]
        return self._take_buffered(frame)

    def finish(self, finished: messages.Finished) -> Complete | Broken | None:
        """Handles the end of an attempt.

        Returns:
            Complete if every frame was delivered, Broken if some are missing,
            None if the message belongs to another attempt.
        """
        if not self.is_current(finished.request, finished.attempt):
            return None
        if finished.sequence != self.sequence:
            return self._break(f"ended at frame {finished.sequence}")
        self.open = False
        return Complete(completion_tokens=self.tokens)

    def can_continue(self) -> bool:
        """Returns whether another attempt can continue the delivered text."""
        return self.kept_text is not None

    def continued(self) -> str:
        """Returns the delivered text; empty if it is no longer kept."""
        return self.kept_text.getvalue() if self.kept_text is not None else ""

    def continued_tokens(self) -> int:
        """Returns the number of tokens delivered."""
        return self.tokens

    def _buffer(self, frame: messages.Frame) -> list[messages.Frame] | Broken:
        if (
            len(self.buffered) >= MAX_BUFFERED_FRAMES
            and frame.sequence not in self.buffered
        ):
            return self._break(f"frame {frame.sequence} was received")
        self.buffered.setdefault(frame.sequence, frame)
        return []

    def _take_buffered(self, first: messages.Frame) -> list[messages.Frame]:
        ready = [first]
        while (frame := self.buffered.pop(self.sequence, None)) is not None:
            self._deliver(frame)
            ready.append(frame)
        return ready

    def _deliver(self, frame: messages.Frame) -> None:
        self.sequence += 1
        self.tokens += frame.tokens
        if self.kept_text is None:
            return
        self.kept_characters += len(frame.text)
        if self.kept_characters > MAX_KEPT_CHARACTERS:
            self.kept_text = None
            return
        self.kept_text.write(frame.text)

    def _break(self, reason: str) -> Broken:
        self.open = False
        self.buffered.clear()
        text = f"frame {self.sequence} of the stream was lost: {reason}"
        error = results.Error(code=results.Code.STREAM_BROKEN, text=text)
        return Broken(error=error)
