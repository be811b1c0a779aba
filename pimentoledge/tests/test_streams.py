"""Tests of decisions.streams: order and completeness over attempts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pimentoledge import results
from pimentoledge.decisions import streams
from pimentoledge.nodes import messages

REQUEST = "r-1"
TRUTH = messages.Truth(server="runner-1")


def frame(sequence, attempt=1, request=REQUEST, text=None):
    return messages.Frame(
        request=request,
        attempt=attempt,
        sequence=sequence,
        text=f"{sequence} " if text is None else text,
        tokens=1,
    )


def finished(sequence, attempt=1):
    return messages.Finished(
        request=REQUEST,
        attempt=attempt,
        sequence=sequence,
        reason="stop",
        prompt_tokens=1,
        cached_tokens=0,
        completion_tokens=sequence,
        truth=TRUTH,
    )


def started():
    stream = streams.Stream(request=REQUEST)
    stream.new_attempt()
    return stream


def test_frames_of_an_older_attempt_or_another_request_never_come_out():
    """A caller sees words of a dead runner between those of the living one.

    A runner stalls, the entry goes on with another; then the first one's
    frames arrive after all, with the sequence that is due next.
    """
    stream = started()
    assert stream.accept(frame(0)) == [frame(0)]
    second = stream.new_attempt()
    assert second == streams.Attempt(number=2, sequence=1)
    assert stream.accept(frame(1, attempt=1)) == []
    assert stream.accept(frame(1, attempt=2, request="r-2")) == []
    assert stream.finish(finished(1, attempt=1)) is None
    assert stream.accept(frame(1, attempt=2)) == [frame(1, attempt=2)]
    assert stream.continued() == "0 1 "
    assert stream.continued_tokens() == 2


def test_a_lost_frame_is_never_a_silent_short_answer():
    """A caller gets an answer with a word missing and no error.

    The transport drops one frame to a slow pipe; the end arrives whole.
    """
    stream = started()
    stream.accept(frame(0))
    assert stream.accept(frame(2)) == []
    end = stream.finish(finished(3))
    assert isinstance(end, streams.Broken)
    assert end.error.code == results.Code.STREAM_BROKEN
    assert stream.accept(frame(1)) == []
    assert stream.continued() == "0 "


def test_held_frames_are_bounded():
    """An entry's memory grows with a stream whose first frame was lost."""
    stream = started()
    last = None
    for sequence in range(1, streams.MAX_BUFFERED_FRAMES + 2):
        last = stream.accept(frame(sequence))
    assert isinstance(last, streams.Broken)
    assert not stream.buffered


def test_text_for_a_continuation_is_bounded():
    stream = started()
    long = "x" * streams.MAX_KEPT_CHARACTERS
    stream.accept(frame(0, text=long))
    assert stream.can_continue()
    stream.accept(frame(1))
    assert not stream.can_continue()
    assert stream.continued() == ""
    assert stream.finish(finished(2)) == streams.Complete(completion_tokens=2)


class Deliveries(stateful.RuleBasedStateMachine):
    """Frames come late, twice, crossed or never, over several attempts.

    The oracle: each attempt generates the answer from where the stream
    stood; what comes out is always a beginning of that answer, and Complete
    means the whole of it.
    """

    length = 12

    def __init__(self):
        super().__init__()
        self.stream = streams.Stream(request=REQUEST)
        self.seen = []
        self.flight = []
        self.ended = False

    @stateful.initialize()
    def begin(self):
        self.attempt()

    @stateful.rule()
    def attempt(self):
        if self.ended:
            return
        new = self.stream.new_attempt()
        for sequence in range(new.sequence, self.length):
            self.flight.append(frame(sequence, attempt=new.number))
        self.flight.append(finished(self.length, attempt=new.number))

    @stateful.rule(back=strategies.integers(0, 3), twice=strategies.booleans())
    def deliver(self, back, twice):
        if not self.flight:
            return
        index = min(back, len(self.flight) - 1)
        message = self.flight[index]
        if not twice:
            del self.flight[index]
        match message:
            case messages.Frame():
                taken = self.stream.accept(message)
                if not isinstance(taken, streams.Broken):
                    self.seen += [each.sequence for each in taken]
            case messages.Finished():
                end = self.stream.finish(message)
                if isinstance(end, streams.Complete):
                    assert self.seen == list(range(self.length))
                    assert end.completion_tokens == self.length
                    assert not self.ended
                    self.ended = True

    @stateful.rule(index=strategies.integers(0, 3))
    def lose(self, index):
        if index < len(self.flight):
            del self.flight[index]

    @stateful.invariant()
    def in_order(self):
        assert self.seen == list(range(len(self.seen)))
        assert len(self.stream.buffered) <= streams.MAX_BUFFERED_FRAMES


Deliveries.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
TestDeliveries = Deliveries.TestCase
