"""Structured log lines with a rate limit and non-blocking output."""

import os
import sys
import traceback

import attrs
import logbook
import msgspec

from pimentoledge.routing import clocks
from pimentoledge.routing import counters as counters_module

# Lines of one kind beyond this rate are counted and not written. 100 lines of
# 200 bytes a second cost about half a percent of a core.
LINES_PER_SECOND = 100
CHANNEL = "decisions"
# Length of an error in a line; its end names the cause.
MAX_ERROR_CHARACTERS = 2000

logger = logbook.Logger(CHANNEL)


@attrs.define
class _Window:
    started: float = 0.0
    written: int = 0
    suppressed: int = 0


class LineHandler(logbook.Handler):
    """Writes each record as one JSON line to a file descriptor.

    Attributes:
        descriptor: the file descriptor, which is made non-blocking.
        dropped: number of lines dropped since the last written one because the
            pipe was full.
    """

    def __init__(self, *, descriptor: int, level: str = "INFO"):
        super().__init__(level=level, bubble=False)
        self.descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or counts it as dropped if the pipe is full."""
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
            # A full pipe must not block requests. The next line written
            # contains the number of dropped lines.
            self.dropped += 1


def to_standard_output(*, level: str) -> LineHandler:
    """Returns a handler that writes to the standard output.

    Args:
        level: name of the lowest logged level in logbook, in any case.
    """
    return LineHandler(descriptor=sys.stdout.fileno(), level=level.upper())


class Lines:
    """Writes decisions as log lines, at most LINES_PER_SECOND of each kind.

    Attributes:
        counters: counts every decision, written or not.
    """

    def __init__(self, *, counters: counters_module.Counters):
        self.counters = counters
        self._windows: dict[str, _Window] = {}

    def write(self, message: str, **fields: object) -> None:
        """Counts a decision, and logs it unless its kind is over the limit.

        Args:
            message: kind of the decision.
            **fields: fields of the log line.
        """
        outcome = (
            fields.get("code")
            or fields.get("verdict")
            or fields.get("late")
            or fields.get("bound")
        )
        self.counters.decided(message, str(outcome or ""))
        now = clocks.now()
        window = self._windows.setdefault(message, _Window())
        if now - window.started >= 1.0:
            if window.suppressed:
                fields["left_out_before"] = window.suppressed
            window.started, window.written, window.suppressed = now, 0, 0
        if window.written >= LINES_PER_SECOND:
            window.suppressed += 1
            return
        window.written += 1
        logger.info(message, extra={"fields": fields})

    def write_defect(self, **fields: object) -> None:
        """Logs the error being handled; the process goes on.

        Args:
            **fields: what the error was met in.
        """
        error = traceback.format_exc()[-MAX_ERROR_CHARACTERS:]
        self.write("defect", error=error, **fields)
