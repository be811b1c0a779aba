"""Streams of events: whole events only, each passed on once."""

import attrs

_END = b"\n\n"
_NUMBER = b"id:"


@attrs.frozen(kw_only=True)
class Event:
    """One whole event.

    Attributes:
        number: its id, or None.
        data: its bytes with the empty line that ends it.
    """

    number: int | None
    data: bytes


class Splitter:
    """Cuts bytes into whole events.

    Attributes:
        rest: bytes of an event that is not whole yet.
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that became whole."""
        *whole, self.rest = (self.rest + data).split(_END)
        return [Event(number=_number(each), data=each + _END) for each in whole]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_NUMBER):
            text = line[len(_NUMBER) :].strip()
            return int(text) if text.isdigit() else None
    return None
