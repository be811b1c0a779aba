"""What fake engines generate: the same text for the same prompt."""

import functools
import zlib

import attrs
import msgspec

from pimentoledge.nodes import messages

WORDS = [
    "the",
    "rear",
    "hub",
    "of",
    "this",
    "frame",
    "takes",
    "a",
    "longer",
    "axle",
    "so",
    "check",
    "the",
    "spacing",
    "before",
    "you",
    "order",
]
STOP = "stop"
LENGTH = "length"


def text_seed(prompt: bytes) -> int:
    """Returns what the text of a prompt's answer depends on."""
    return zlib.crc32(prompt)


def generate_text(seed: int, first: int, count: int) -> str:
    """Returns so many tokens of an answer, a numbered word for each."""
    word_count = len(WORDS)
    if count == 1:
        return f"{WORDS[(seed + first) % word_count]}{first} "
    return "".join(
        [
            f"{WORDS[(seed + n) % word_count]}{n} "
            for n in range(first, first + count)
        ]
    )


@attrs.define(kw_only=True)
class Parameters:
    """The sampling parameters that the fake knows.

    Attributes:
        fake_length: tokens after which the answer ends by itself; 0 for
            never, so that it ends at max_tokens.
    """

    fake_length: int = 0


@functools.lru_cache(maxsize=256)
def _decode_parameters(raw: bytes) -> Parameters:
    try:
        return msgspec.json.decode(raw, type=Parameters)
    except msgspec.MsgspecError:
        return Parameters()


@attrs.frozen(kw_only=True)
class AnswerEnd:
    """Where an answer ends, and how.

    Attributes:
        tokens: tokens of the whole answer.
        reason: the finish reason.
    """

    tokens: int
    reason: str


def end_of(completion: messages.Completion) -> AnswerEnd:
    """Returns where the answer to a completion ends."""
    length = _decode_parameters(completion.parameters).fake_length
    if 0 < length <= completion.max_tokens:
        return AnswerEnd(tokens=length, reason=STOP)
    return AnswerEnd(tokens=completion.max_tokens, reason=LENGTH)
