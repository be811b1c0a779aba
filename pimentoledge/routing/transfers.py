"""How contents of the store reached this router, for the log."""

import attrs


@attrs.frozen(kw_only=True)
class Transfer:
    """Times of a response, in seconds of clocks.now.

    Attributes:
        source: "store", or the mailbox of the router that sent it.
        size: length of the encoded content in bytes.
        sent_at: when the request was sent.
        head_at: when the response began to arrive.
        ended_at: when its last bytes arrived.
        decode_seconds: processor time to decode its body.
    """

    source: str
    size: int
    sent_at: float
    head_at: float
    ended_at: float
    decode_seconds: float

    def fields(self, now: float) -> dict[str, object]:
        """Returns fields of a log line.

        Args:
            now: when the content is applied.
        """
        return {
            "source": self.source,
            "kb": round(self.size / 1000, 1),
            "awaited_ms": _ms(self.head_at - self.sent_at),
            "arrived_ms": _ms(self.ended_at - self.head_at),
            "queued_ms": _ms(now - self.ended_at - self.decode_seconds),
            "decoded_ms": _ms(self.decode_seconds),
        }


def _ms(seconds: float) -> float:
    # The head is read by a task, which may run after the body has arrived.
    return round(1000 * max(0.0, seconds), 1)
