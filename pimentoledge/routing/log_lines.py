"""Structured log lines: bounded, and never blocking."""

import os
import sys

import attrs
import logbook
import msgspec

from pimentoledge.routing import clocks
from pimentoledge.routing import counters as counters_module

# A kind of line beyond this rate is counted instead of written: 100 lines of
# 200 bytes a second cost about half a percent of a core.
LINES_PER_SECOND = 100
CHANNEL = "decisions"

logger = logbook.Logger(CHANNEL)


@attrs.define
class _Window:
    started: float = 0.0
    written: int = 0
    left_out: int = 0


class LineHandler(logbook.Handler):
    """Writes each record as one JSON line to a descriptor.

    Attributes:
        descriptor: where to; made non-blocking.
        dropped: lines that a full pipe did not take.
    """

    def __init__(self, *, descriptor: int, level: str = "INFO"):
        super().__init__(level=level, bubble=False)
        self.descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or counts it where the reader doesn't keep up."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "channel": record.channel,
            "message": record.message,
        }
        line.update(record.extra.get("fields") or {})
        if record.level >= logbook.WARNING:
            line["level"] = record.level_name.lower()
        if record.exc_info:
            line["error"] = record.formatted_exception
        if self.dropped:
            line["dropped_lines"] = self.dropped
        try:
            os.write(
                self.descriptor, msgspec.json.encode(line, enc_hook=str) + b"\n"
            )
            self.dropped = 0
        except OSError:
            # A full pipe must not hold up requests; the next line that fits
            # tells how many are missing.
            self.dropped += 1


def to_standard_output(*, level: str) -> LineHandler:
    """Returns the handler of a daemon.

    Args:
        level: lowest level, by logbook's name in any case.
    """
    return LineHandler(descriptor=sys.stdout.fileno(), level=level.upper())


class Lines:
    """Decisions as log lines, at most so many of a kind in a second.

    Attributes:
        counters: where every decision is counted, written or not.
    """

    def __init__(self, *, counters: counters_module.Counters):
        self.counters = counters
        self._windows: dict[str, _Window] = {}

    def write(self, message: str, **fields: object) -> None:
        """Writes a decision, or counts it if its kind came too often."""
        outcome = (
            fields.get("code") or fields.get("verdict") or fields.get("late")
        )
        self.counters.decided(message, str(outcome or ""))
        now = clocks.now()
        window = self._windows.setdefault(message, _Window())
        if now - window.started >= 1.0:
            if window.left_out:
                fields["left_out_before"] = window.left_out
            window.started, window.written, window.left_out = now, 0, 0
        if window.written >= LINES_PER_SECOND:
            window.left_out += 1
            return
        window.written += 1
        logger.info(message, extra={"fields": fields})
