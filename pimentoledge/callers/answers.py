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
_PLACEHOLDER = "\x00text\x00"
_ENCODED_PLACEHOLDER = _encode(_PLACEHOLDER)


def _usage(end: actions.ReplyEnd) -> dict[str, object]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.completion_tokens,
        "total_tokens": end.prompt_tokens + end.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    }


def _event(chunk: dict[str, object]) -> bytes:
    return b"data: " + _encode(chunk) + b"\n\n"


class CompletionEncoder:
    """Builds the answer to one completion.

    Attributes:
        asked: what was asked for.
        common: fields that every object of the answer has.
        before: what stands before the text of an event.
        behind: what stands behind it.
    """

    __slots__ = (
        "common_fields",
        "completion_request",
        "event_prefix",
        "event_suffix",
    )

    def __init__(
        self,
        *,
        request_id: str,
        completion_request: completions.CompletionRequest,
    ):
        self.completion_request = completion_request
        prefix = "chatcmpl-" if completion_request.chat else "cmpl-"
        self.common_fields = {
            "id": prefix + request_id,
            "object": self._object_type(),
            "created": int(time.time()),
            "model": completion_request.model_name,
        }
        template = _event(self._chunk([self._choice(_PLACEHOLDER, None)]))
        # The last mark is the text; a model's name could hold another.
        self.event_prefix, _, self.event_suffix = template.rpartition(
            _ENCODED_PLACEHOLDER
        )

    def encode_start(self) -> bytes:
        """Returns what a stream begins with: the role, in a chat."""
        if not self.completion_request.chat:
            return b""
        delta = {"role": "assistant", "content": ""}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        return _event(self._chunk([choice]))

    def encode_text(self, text: str) -> bytes:
        """Returns the event of one piece of text."""
        return self.event_prefix + _encode(text) + self.event_suffix

    def encode_end(self, end: actions.ReplyEnd) -> bytes:
        """Returns what a complete stream ends with."""
        events = _event(self._chunk([self._last_choice(end.reason)]))
        if self.completion_request.include_usage:
            events += _event({**self._chunk([]), "usage": _usage(end)})
        return events + DONE_EVENT

    def encode_response(self, text: str, end: actions.ReplyEnd) -> bytes:
        """Returns an answer that isn't streamed."""
        choice = {"index": 0, "logprobs": None, "finish_reason": end.reason}
        if self.completion_request.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return _encode(
            {**self.common_fields, "choices": [choice], "usage": _usage(end)}
        )

    def _object_type(self) -> str:
        if not self.completion_request.chat:
            return "text_completion"
        if self.completion_request.stream:
            return "chat.completion.chunk"
        return "chat.completion"

    def _chunk(self, choices: list[dict[str, object]]) -> dict[str, object]:
        chunk = {**self.common_fields, "choices": choices}
        if self.completion_request.include_usage:
            chunk["usage"] = None
        return chunk

    def _choice(self, text: str, reason: str | None) -> dict[str, object]:
        choice = {"index": 0, "logprobs": None, "finish_reason": reason}
        if self.completion_request.chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return choice

    def _last_choice(self, reason: str) -> dict[str, object]:
        choice = self._choice("", reason)
        if self.completion_request.chat:
            choice["delta"] = {}
        return choice


def encode_failure(error: results.Error) -> bytes:
    """Returns the event that ends a stream that can't be completed."""
    return b"data: " + faults.error_body(error) + b"\n\n"


def encode_models(names: list[str]) -> bytes:
    """Returns the answer to GET /v1/models."""
    models = [
        {
            "id": each,
            "object": "model",
            "created": 0,
            "owned_by": "organisation",
        }
        for each in names
    ]
    return _encode({"object": "list", "data": models})
