"""Formats log lines as plain text or as JSON."""

import datetime

import logbook
import msgspec

logger = logbook.Logger("decisions")


def _format_plain(record: logbook.LogRecord, _handler: object) -> str:
    timestamp = record.time.strftime("%Y-%m-%dT%H:%M:%S.%f")
    return (
        f"{timestamp}Z {record.level_name} {record.channel}:"
        f" {_format_message(record)}"
    )


def _format_message(record: logbook.LogRecord) -> str:
    fields = record.extra["fields"]
    if not fields:
        return record.message
    pairs = " ".join(f"{name}={_format_value(fields[name])}" for name in fields)
    return f"{record.message} {pairs}"


def _format_value(value: object) -> str:
    if isinstance(value, str):
        return value if value and " " not in value else repr(value)
    return msgspec.json.encode(value, enc_hook=str).decode()


def _format_json(record: logbook.LogRecord, _handler: object) -> str:
    line = {
        "time": record.time.replace(tzinfo=datetime.UTC).isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
        **(record.extra["fields"] or {}),
    }
    return msgspec.json.encode(line, enc_hook=str).decode()


def make_handler(*, level: str, form: str) -> logbook.Handler:
    """Returns the handler that writes to standard error.

    Args:
        level: lowest level, by logbook's name in any case.
        form: "plain" or "json".
    """
    handler = logbook.StderrHandler(level=level.upper(), bubble=False)
    handler.formatter = _format_json if form == "json" else _format_plain
    return handler


def log_decision(kind: str, fields: dict[str, object]) -> None:
    """Writes the log line of one decision."""
    logger.info(kind, extra={"fields": fields})
