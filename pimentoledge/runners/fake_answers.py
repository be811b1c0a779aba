"""Deterministic answers of the fake engine, derived from the prompt."""

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
    """Returns the seed from which the answer to a prompt is generated."""
    return zlib.crc32(prompt)


def generate_text(seed: int, first: int, count: int) -> str:
    """Returns `count` tokens of an answer; each is a numbered word."""
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
    """The sampling parameters that the fake engine supports.

    Attributes:
        fake_length: tokens after which the answer stops; with 0 it ends only
            at max_tokens.
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
    """Length and finish reason of an answer.

    Attributes:
        tokens: number of tokens in the whole answer.
        reason: the finish reason.
    """

    tokens: int
    reason: str


def end_of(completion: messages.Completion) -> AnswerEnd:
    """Returns length and finish reason of a completion's answer."""
    length = _decode_parameters(completion.parameters).fake_length
    if 0 < length <= completion.max_tokens:
        return AnswerEnd(tokens=length, reason=STOP)
    return AnswerEnd(tokens=completion.max_tokens, reason=LENGTH)
