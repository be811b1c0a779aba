"""Log lines, in a plain and a JSON form."""

import datetime

import logbook
import msgspec

logger = logbook.Logger("decisions")


def _plain(record: logbook.LogRecord, _handler: object) -> str:
    when = record.time.strftime("%Y-%m-%dT%H:%M:%S.%f")
    return f"{when}Z {record.level_name} {record.channel}: {_text(record)}"


def _text(record: logbook.LogRecord) -> str:
    fields = record.extra["fields"]
    if not fields:
        return record.message
    pairs = " ".join(f"{name}={_short(fields[name])}" for name in fields)
    return f"{record.message} {pairs}"


def _short(value: object) -> str:
    if isinstance(value, str):
        return value if value and " " not in value else repr(value)
    return msgspec.json.encode(value, enc_hook=str).decode()


def _json(record: logbook.LogRecord, _handler: object) -> str:
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
    chosen = logbook.StderrHandler(level=level.upper(), bubble=False)
    chosen.formatter = _json if form == "json" else _plain
    return chosen


def log_decision(kind: str, fields: dict[str, object]) -> None:
    """Writes the log line of one decision."""
    logger.info(kind, extra={"fields": fields})
