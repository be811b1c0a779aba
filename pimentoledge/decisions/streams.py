"""Puts the frames of one stream in order, over all its attempts."""

import io

import attrs

from pimentoledge import results
from pimentoledge.nodes import messages

# Frames kept behind a gap. Frames of one attempt come over one connection, so
# a gap that isn't closed by the next few frames is a loss, not a crossing.
MAX_BUFFERED_FRAMES = 8
# Characters kept for a continuation on another runner; a stream that has grown
# beyond this can't be continued any more.
MAX_KEPT_CHARACTERS = 256 * 1024


@attrs.frozen(kw_only=True)
class Attempt:
    """A new attempt.

    Attributes:
        number: number of the attempt, from 1.
        sequence: number that its first frame shall have.
    """

    number: int
    sequence: int


@attrs.frozen(kw_only=True)
class Broken:
    """The current attempt can't end well: frames were lost.

    Attributes:
        error: what to tell the caller if no other attempt follows.
    """

    error: results.Error


@attrs.frozen(kw_only=True)
class Complete:
    """Every frame was delivered.

    Attributes:
        completion_tokens: tokens generated over all attempts.
    """

    completion_tokens: int


@attrs.define(slots=True, init=False)
class Stream:
    """The frames of one request, as its caller shall see them.

    A message of another request, of an older attempt or of an attempt that
    has ended changes nothing and delivers nothing.

    Attributes:
        request: request id.
        attempt: number of the current attempt; 0 before the first.
        sequence: number of the frame that is delivered next.
        tokens: tokens delivered.
        open: whether the current attempt may still deliver.
        buffered: frames behind a gap, by sequence.
        kept_text: text delivered; None once it has grown too long to be kept.
        kept_characters: characters in `kept`.
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
        """Ends the current attempt and begins the next."""
        self.attempt += 1
        self.open = True
        self.buffered.clear()
        return Attempt(number=self.attempt, sequence=self.sequence)

    def is_current(self, request: str, attempt: int) -> bool:
        """Returns whether a message is of the attempt that is open."""
        return self.open and attempt == self.attempt and request == self.request

    def accept(self, frame: messages.Frame) -> list[messages.Frame] | Broken:
        """Takes a frame.

        Returns:
            The frames to deliver now, in order; none for a frame that is
            dropped or held. Broken if the attempt can't go on.
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
        """Takes the end of an attempt.

        Returns:
            Complete if every frame was delivered, Broken if some are missing,
            None if it is of another attempt.
        """
        if not self.is_current(finished.request, finished.attempt):
            return None
        if finished.sequence != self.sequence:
            return self._break(f"ended at frame {finished.sequence}")
        self.open = False
        return Complete(completion_tokens=self.tokens)

    def can_continue(self) -> bool:
        """Returns whether another attempt can go on behind what was sent."""
        return self.kept_text is not None

    def continued(self) -> str:
        """Returns the text delivered; empty if it is no longer kept."""
        return self.kept_text.getvalue() if self.kept_text is not None else ""

    def continued_tokens(self) -> int:
        """Returns the number of tokens delivered."""
        return self.tokens

    def _buffer(self, frame: messages.Frame) -> list[messages.Frame] | Broken:
        if (
            len(self.buffered) >= MAX_BUFFERED_FRAMES
            and frame.sequence not in self.buffered
        ):
            return self._break(f"frame {frame.sequence} came")
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

    def _break(self, seen: str) -> Broken:
        self.open = False
        self.buffered.clear()
        text = f"frame {self.sequence} of the stream was lost: {seen}"
        error = results.Error(code=results.Code.STREAM_BROKEN, text=text)
        return Broken(error=error)
