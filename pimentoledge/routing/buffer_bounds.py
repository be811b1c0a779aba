"""Bounds on what a router reads from a server and holds of it."""

import enum

import attrs

# Heads of servers have some hundred bytes; platforms allow 8 to 64 KiB.
HEAD_BYTES = 64 * 1024
HEAD_LINES = 256
# Framing is a few bytes a chunk, so that it exceeds its body by this much only
# if a server sends extensions, trailers or single bytes without end.
FRAMING_BYTES = 64 * 1024
EVENT_BYTES = 1024 * 1024
# A response of up to this size is held whole, so that a broken or failed one
# may be retried. A larger one is passed on as it arrives.
COLLECTED_BYTES = 256 * 1024
# Bodies of responses to a router's own calls. Listings of the store have some
# MB; servers answer orders with some hundred bytes.
REPLY_BYTES = 1024 * 1024
LISTING_BYTES = 16 * 1024 * 1024
# Responses to other requests that a server may send before the one to the
# request in progress. A response of an earlier request can be late, and
# there is at most one on each connection.
SKIPPED_RESPONSES = 8


class Bound(enum.StrEnum):
    """What a server or a client has exceeded."""

    HEAD = "head"
    HEAD_LINES = "head_lines"
    FRAMING = "framing"
    EVENT = "event"
    BODY = "body"
    SKIPPED = "skipped_responses"
    # The bytes that the whole process holds.
    BUFFERS = "buffers"
    # The incomplete request bodies that the whole process holds.
    REQUEST_BODIES = "request_bodies"
    # The request heads that the whole process holds.
    REQUEST_HEADS = "request_heads"


@attrs.frozen(kw_only=True)
class Exceeded:
    """A bound that was exceeded.

    Attributes:
        bound: the bound.
        size: what exceeded it, in bytes, or a number of lines or responses.
    """

    bound: Bound
    size: int

    def __str__(self) -> str:
        """Returns a text for the log."""
        return f"bound {self.bound.value} exceeded: {self.size}"


class BoundExceededError(Exception):
    """A peer exceeded a bound.

    Attributes:
        exceeded: the bound and the size.
    """

    def __init__(self, bound: Bound, size: int):
        self.exceeded = Exceeded(bound=bound, size=size)
        super().__init__(str(self.exceeded))
