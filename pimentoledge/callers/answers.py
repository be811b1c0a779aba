"""Encodes responses to completions in the JSON formats of the OpenAI API.

The events of a stream differ only in their text. The bytes before and after
the text are encoded once per request, to keep the cost of each token low.
"""

import time

import msgspec

from pimentoledge import results
from pimentoledge.callers import completions
from pimentoledge.callers import faults
from pimentoledge.decisions import actions

DONE_EVENT = b"data: [DONE]\n\n"

_encode = msgspec.json.Encoder().encode
# Placeholder for the text while the event template is encoded.
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
    """Builds the response to one completion.

    Attributes:
        completion_request: the parsed request.
        common_fields: fields of every object in the response.
        event_prefix: bytes of an event before its text.
        event_suffix: bytes of an event after its text.
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
        # The last placeholder is the text; a model's name could contain one.
        self.event_prefix, _, self.event_suffix = template.rpartition(
            _ENCODED_PLACEHOLDER
        )

    def encode_start(self) -> bytes:
        """Returns the start of a stream: the role event of a chat, if any."""
        if not self.completion_request.chat:
            return b""
        delta = {"role": "assistant", "content": ""}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        return _event(self._chunk([choice]))

    def encode_text(self, text: str) -> bytes:
        """Returns the event for one piece of text."""
        return self.event_prefix + _encode(text) + self.event_suffix

    def encode_end(self, end: actions.ReplyEnd) -> bytes:
        """Returns the final events of a complete stream."""
        events = _event(self._chunk([self._last_choice(end.reason)]))
        if self.completion_request.include_usage:
            events += _event({**self._chunk([]), "usage": _usage(end)})
        return events + DONE_EVENT

    def encode_response(self, text: str, end: actions.ReplyEnd) -> bytes:
        """Returns the body of a response that isn't streamed."""
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
    """Returns the error event that ends an incomplete stream."""
    return b"data: " + faults.error_body(error) + b"\n\n"


def encode_models(names: list[str]) -> bytes:
    """Returns the response body of GET /v1/models."""
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
