"""Splitting of server-sent event streams into complete events."""

import attrs

_END = b"\n\n"
_NUMBER = b"id:"


@attrs.frozen(kw_only=True)
class Event:
    """One complete event.

    Attributes:
        number: the event's id, or None if it has no numeric id.
        data: its bytes, including the empty line that ends it.
    """

    number: int | None
    data: bytes


class Splitter:
    """Splits bytes into complete events.

    Attributes:
        rest: bytes of the last, still incomplete event.
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete."""
        *complete, self.rest = (self.rest + data).split(_END)
        return [
            Event(number=_number(each), data=each + _END) for each in complete
        ]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_NUMBER):
            text = line[len(_NUMBER) :].strip()
            return int(text) if text.isdigit() else None
    return None
