"""Tests of decisions.streams: order and completeness over attempts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pimentoledge import results
from pimentoledge.decisions import streams
from pimentoledge.nodes import messages

REQUEST = "r-1"
STATUS = messages.ServerStatus(server="runner-1")


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
        truth=STATUS,
    )


def started():
    stream = streams.Stream(request=REQUEST)
    stream.new_attempt()
    return stream


def test_frames_of_an_older_attempt_or_another_request_are_dropped():
    """A caller's stream mixes the frames of two attempts.

    A runner stalls and the entry starts another attempt. Then frames of the
    first attempt arrive late, with the sequence number expected next.
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


def test_a_lost_frame_breaks_the_stream():
    """A caller gets an incomplete answer without an error.

    The transport drops one frame on a slow connection, and the end of the
    stream still arrives.
    """
    stream = started()
    stream.accept(frame(0))
    assert stream.accept(frame(2)) == []
    end = stream.finish(finished(3))
    assert isinstance(end, streams.Broken)
    assert end.error.code == results.Code.STREAM_BROKEN
    assert stream.accept(frame(1)) == []
    assert stream.continued() == "0 "


def test_buffered_frames_are_bounded():
    """Memory grows with each frame of a stream whose first frame was lost."""
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
    """Frames are delayed, duplicated, reordered or lost over several attempts.

    Each attempt generates the answer from the current position of the stream.
    The delivered frames are always a prefix of that answer, and Complete
    means that all of it was delivered.
    """

    length = 12

    def __init__(self):
        super().__init__()
        self.stream = streams.Stream(request=REQUEST)
        self.delivered = []
        self.in_flight = []
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
            self.in_flight.append(frame(sequence, attempt=new.number))
        self.in_flight.append(finished(self.length, attempt=new.number))

    @stateful.rule(back=strategies.integers(0, 3), twice=strategies.booleans())
    def deliver(self, back, twice):
        if not self.in_flight:
            return
        index = min(back, len(self.in_flight) - 1)
        message = self.in_flight[index]
        if not twice:
            del self.in_flight[index]
        match message:
            case messages.Frame():
                result = self.stream.accept(message)
                if not isinstance(result, streams.Broken):
                    self.delivered += [each.sequence for each in result]
            case messages.Finished():
                end = self.stream.finish(message)
                if isinstance(end, streams.Complete):
                    assert self.delivered == list(range(self.length))
                    assert end.completion_tokens == self.length
                    assert not self.ended
                    self.ended = True

    @stateful.rule(index=strategies.integers(0, 3))
    def lose(self, index):
        if index < len(self.in_flight):
            del self.in_flight[index]

    @stateful.invariant()
    def in_order(self):
        assert self.delivered == list(range(len(self.delivered)))
        assert len(self.stream.buffered) <= streams.MAX_BUFFERED_FRAMES


Deliveries.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)
TestDeliveries = Deliveries.TestCase
