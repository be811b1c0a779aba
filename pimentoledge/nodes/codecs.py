"""Encodes messages as MessagePack in an envelope with a message number."""

import msgspec
from returns import result

from pimentoledge import results
from pimentoledge.decisions import events
from pimentoledge.nodes import messages
from pimentoledge.nodes import numbers

_ENCODER = msgspec.msgpack.Encoder()
# Message number, sender's mailbox, sender's configuration version, body.
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(
    tuple[int, str, numbers.Identifier, msgspec.Raw]
)


class Codec:
    """Encodes and decodes a set of numbered messages.

    Attributes:
        numbers: class of each message, by its number on the wire.
    """

    def __init__(self, *, numbers: dict[int, type]):
        self.numbers = numbers
        self._numbers_by_class = {
            kind: number for number, kind in numbers.items()
        }
        self._decoders = {
            number: msgspec.msgpack.Decoder(kind)
            for number, kind in numbers.items()
        }

    def encode(
        self, message: object, *, sender: str, configuration: int
    ) -> bytes:
        """Encodes a message.

        Args:
            message: instance of one of the classes in `numbers`.
            sender: address of the sender's mailbox, for replies.
            configuration: newest configuration version that the sender
                knows.

        Returns:
            The envelope as MessagePack.
        """
        number = self._numbers_by_class[type(message)]
        return _ENCODER.encode((number, sender, configuration, message))

    def decode(
        self, data: bytes
    ) -> result.Result[events.FromNode, results.Error]:
        """Decodes an envelope; returns an Error if the bytes are invalid."""
        try:
            number, sender, configuration, body = _ENVELOPE_DECODER.decode(data)
            message = self._decoders[number].decode(body)
        except (msgspec.MsgspecError, KeyError) as error:
            # A process of a newer version may send unknown messages.
            text = f"unreadable message: {error}"
            code = results.Code.INTERNAL
            return result.Failure(results.Error(code=code, text=text))
        event = events.FromNode(
            sender=sender, message=message, configuration=configuration
        )
        return result.Success(event)


CODEC = Codec(numbers=messages.NUMBERS)
