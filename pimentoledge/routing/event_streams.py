"""Splitting of server-sent event streams into complete events."""

import attrs

from pimentoledge.routing import buffer_bounds

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
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            BoundExceededError: the incomplete event is too large.
        """
        if not self.rest:
            *complete, rest = data.split(_END)
            self.rest += rest
        else:
            complete = self._complete_rest(data)
        if len(self.rest) > buffer_bounds.EVENT_BYTES:
            raise buffer_bounds.BoundExceededError(
                buffer_bounds.Bound.EVENT, len(self.rest)
            )
        return [
            Event(number=_number(each), data=each + _END) for each in complete
        ]

    def _complete_rest(self, data: bytes) -> list[bytes]:
        """Adds bytes to the incomplete event; returns what they complete.

        Only new bytes are searched and copied, since an event may arrive in
        thousands of pieces.
        """
        start = len(self.rest) - 1
        self.rest += data
        end = self.rest.find(_END, start)
        if end < 0:
            return []
        first = bytes(self.rest[:end])
        *more, rest = bytes(self.rest[end + len(_END) :]).split(_END)
        self.rest = bytearray(rest)
        return [first, *more]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_NUMBER):
            text = line[len(_NUMBER) :].strip()
            return int(text) if text.isdigit() else None
    return None
