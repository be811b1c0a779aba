"""Answers to completions, in the JSON forms of the OpenAI API.

A stream's events differ only in their text: what stands before and behind it
is encoded once for each request, since the cost of one token counts.
"""

import time

import msgspec

from pimentoledge import results
from pimentoledge.callers import completions
from pimentoledge.callers import faults
from pimentoledge.decisions import actions

DONE_EVENT = b"data: [DONE]\n\n"

_encode = msgspec.json.Encoder().encode
# Stands for the text while a template is encoded; cut out again afterwards.
_MARK = "\x00text\x00"
_ENCODED_MARK = _encode(_MARK)


def _usage(end: actions.ReplyEnd) -> dict[str, object]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }


def _event(content: dict[str, object]) -> bytes:
    return b"data: " + _encode(content) + b"\n\n"


class CompletionEncoder:
    """Builds the answer to one completion.

    Attributes:
        asked: what was asked for.
        common: fields that every object of the answer has.
        before: what stands before the text of an event.
        behind: what stands behind it.
    """

    __slots__ = ("asked", "before", "behind", "common")

    def __init__(self, *, request: str, asked: completions.CompletionRequest):
        self.asked = asked
        prefix = "chatcmpl-" if asked.chat else "cmpl-"
        self.common = {
            "id": prefix + request,
            "object": self._kind(),
            "created": int(time.time()),
            "model": asked.name,
        }
        template = _event(self._chunk([self._choice(_MARK, None)]))
        # The last mark is the text; a model's name could hold another.
        self.before, _, self.behind = template.rpartition(_ENCODED_MARK)

    def encode_start(self) -> bytes:
        """Returns what a stream begins with: the role, in a chat."""
        if not self.asked.chat:
            return b""
        delta = {"role": "assistant", "content": ""}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        return _event(self._chunk([choice]))

    def encode_text(self, text: str) -> bytes:
        """Returns the event of one piece of text."""
        return self.before + _encode(text) + self.behind

    def encode_end(self, end: actions.ReplyEnd) -> bytes:
        """Returns what a complete stream ends with."""
        events = _event(self._chunk([self._last_choice(end.reason)]))
        if self.asked.include_usage:
            events += _event({**self._chunk([]), "usage": _usage(end)})
        return events + DONE_EVENT

    def encode_response(self, text: str, end: actions.ReplyEnd) -> bytes:
        """Returns an answer that isn't streamed."""
        choice = {"index": 0, "logprobs": None, "finish_reason": end.reason}
        if self.asked.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return _encode(
            {**self.common, "choices": [choice], "usage": _usage(end)}
        )

    def _kind(self) -> str:
        if not self.asked.chat:
            return "text_completion"
        if self.asked.stream:
            return "chat.completion.chunk"
        return "chat.completion"

    def _chunk(self, choices: list[dict[str, object]]) -> dict[str, object]:
        chunk = {**self.common, "choices": choices}
        if self.asked.include_usage:
            chunk["usage"] = None
        return chunk

    def _choice(self, text: str, reason: str | None) -> dict[str, object]:
        choice = {"index": 0, "logprobs": None, "finish_reason": reason}
        if self.asked.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return choice

    def _last_choice(self, reason: str) -> dict[str, object]:
        choice = self._choice("", reason)
        if self.asked.chat:
            choice["delta"] = {}
        return choice


def encode_failure(error: results.Error) -> bytes:
    """Returns the event that ends a stream that can't be completed."""
    return b"data: " + faults.error_body(error) + b"\n\n"


def encode_models(names: list[str]) -> bytes:
    """Returns the answer to GET /v1/models."""
    data = [
        {
            "id": each,
            "object": "model",
            "created": 0,
            "owned_by": "organisation",
        }
        for each in names
    ]
    return _encode({"object": "list", "data": data})
