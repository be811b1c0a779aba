"""Software versions of the servers that began streams.

What two software versions of a server write doesn't fit together, so a stream
goes on only at the version that began it.
"""

import collections

import attrs
import xxhash

from pimentoledge.nodes import numbers

# Records that a router keeps, of some 200 bytes each.
MAX_RECORDS = 20000
# Routers that keep a record beside the one that the stream began at.
OWNERS = 2


@attrs.frozen(kw_only=True)
class Began:
    """A stream that has begun.

    Attributes:
        request: id of the request that brought its first event.
        software: what identifies the software of the server that began it.
        left_ms: ms for which the stream may still be resumed.
    """

    request: str
    software: str
    left_ms: numbers.Number


class StreamRecords:
    """The streams that this router knows, by the id of their first request."""

    def __init__(self):
        self._records: collections.OrderedDict[str, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def put(self, began: Began, now: float) -> None:
        """Records a stream."""
        until = now + began.left_ms / 1000
        self._records[began.request] = (began.software, until)
        while len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def get(self, request: str, now: float) -> str | None:
        """Returns the software version that began a stream, or None."""
        software, until = self._records.get(request, (None, 0.0))
        return software if now < until else None

    def expire(self, now: float) -> None:
        """Removes streams that can't be resumed any more."""
        for request, (_, until) in list(self._records.items()):
            if now >= until:
                del self._records[request]

    def current(self, now: float) -> list[Began]:
        """Returns all streams that may still be resumed."""
        return [
            Began(
                request=request,
                software=software,
                left_ms=numbers.milliseconds(until - now),
            )
            for request, (software, until) in self._records.items()
            if until > now
        ]


def ranked(request: str, members: dict[str, str]) -> list[str]:
    """Returns routers in the order in which they are owners of a stream.

    The second is in another data centre than the first, if any is.

    Args:
        request: id of the stream's first request.
        members: data centres of the routers by mailbox.
    """
    order = sorted(
        members,
        key=lambda each: xxhash.xxh3_64_intdigest(f"{request} {each}".encode()),
    )
    if not order:
        return []
    first = order[0]
    elsewhere = [each for each in order[1:] if members[each] != members[first]]
    if not elsewhere:
        return order
    second = elsewhere[0]
    return [first, second] + [
        each for each in order if each not in (first, second)
    ]
