"""Messages to bytes and back: MessagePack in a numbered envelope."""

import msgspec
from returns import result

from pimentoledge import results
from pimentoledge.decisions import events
from pimentoledge.nodes import messages

_NUMBER_OF = {kind: number for number, kind in messages.NUMBERS.items()}
_DECODERS = {
    number: msgspec.msgpack.Decoder(kind)
    for number, kind in messages.NUMBERS.items()
}
_ENCODER = msgspec.msgpack.Encoder()
# number, sender's mailbox, sender's configuration version, body.
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, str, int, msgspec.Raw])


def encode(message: object, *, sender: str, configuration: int) -> bytes:
    """Encodes a message.

    Args:
        message: one of the classes in messages.NUMBERS.
        sender: the sender's mailbox, to answer to.
        configuration: newest configuration version that the sender knows.

    Returns:
        The envelope as MessagePack.
    """
    number = _NUMBER_OF[type(message)]
    return _ENCODER.encode((number, sender, configuration, message))


def decode(data: bytes) -> result.Result[events.FromNode, results.Error]:
    """Decodes an envelope; bytes that are none give an Error."""
    try:
        number, sender, configuration, body = _ENVELOPE.decode(data)
        message = _DECODERS[number].decode(body)
    except (msgspec.MsgspecError, KeyError) as error:
        # A process of a newer version may send what this one can't read.
        text = f"unreadable message: {error}"
        code = results.Code.INTERNAL
        return result.Failure(results.Error(code=code, text=text))
    event = events.FromNode(
        sender=sender, message=message, configuration=configuration
    )
    return result.Success(event)
