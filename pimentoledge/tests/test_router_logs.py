"""The router's log lines: bounded, and never in a request's way."""

import os

import msgspec

from pimentoledge.routing import counters
from pimentoledge.routing import log_lines


def lines_of(reader):
    os.set_blocking(reader, False)
    try:
        data = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_a_kind_beyond_its_rate_is_counted_and_told_later():
    reader, writer = os.pipe()
    counted = counters.Counters()
    lines = log_lines.Lines(counters=counted)
    handler = log_lines.LineHandler(descriptor=writer)
    with handler.threadbound():
        for _ in range(log_lines.LINES_PER_SECOND + 50):
            lines.write("refused", code="X")
        lines.write("another")
        lines._windows["refused"].started -= 2
        lines.write("refused", code="X")
    found = lines_of(reader)
    refused = [line for line in found if line["message"] == "refused"]
    assert len(refused) == log_lines.LINES_PER_SECOND + 1
    assert refused[-1]["left_out_before"] == 50
    assert refused[0]["time"].endswith("Z")
    total = log_lines.LINES_PER_SECOND + 51
    assert counted.decisions[("refused", "X")] == total


def test_a_full_pipe_drops_lines_and_says_how_many():
    """A reader of the log that stands still must not hold up requests."""
    reader, writer = os.pipe()
    lines = log_lines.Lines(counters=counters.Counters())
    handler = log_lines.LineHandler(descriptor=writer)
    with handler.threadbound():
        for number in range(60):
            lines.write(f"kind-{number}", text="x" * 2000)
        dropped = handler.dropped
        assert dropped
        os.read(reader, 1 << 20)
        lines.write("after")
    assert lines_of(reader)[-1]["dropped_lines"] == dropped
