"""Validates the bodies of completions and converts them to messages."""

import re
from typing import Annotated
from typing import Literal

import attrs
import msgspec
from returns import result

from pimentoledge import results
from pimentoledge.nodes import messages

DEFAULT_MAX_TOKENS = 1024
_MAX_TOKENS = 1 << 20
_MAX_TIMEOUT_SECONDS = 86400

# Fields that are parsed here; all others are passed to the engine unchanged.
_PARSED_FIELDS = (
    "model",
    "adapter",
    "messages",
    "prompt",
    "max_tokens",
    "max_completion_tokens",
    "stream",
    "stream_options",
    "n",
    "best_of",
    "timeout",
)
# Fields that require more than text from the engine. Ignoring them would
# return a response that doesn't match the request.
_UNSUPPORTED_FIELDS = (
    "tools",
    "functions",
    "logprobs",
    "top_logprobs",
    "echo",
    "suffix",
    "audio",
    "modalities",
)
_EMPTY_VALUES = (b"null", b"false", b"[]", b"0", b'["text"]')

# Finds the field in msgspec's error messages: "... - at `$.messages[0].role`",
# "Object missing required field `messages`".
_FIELD_PATH_PATTERN = re.compile(r"`(?:\$\.)?([a-z][\w.\[\]]*)`$")

_TokenCount = Annotated[int, msgspec.Meta(ge=1, le=_MAX_TOKENS)]
_TimeoutSeconds = Annotated[float, msgspec.Meta(gt=0, le=_MAX_TIMEOUT_SECONDS)]
_Penalty = Annotated[float, msgspec.Meta(ge=-2, le=2)]
_ModelName = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_StopSequence = Annotated[str, msgspec.Meta(max_length=256)]


@attrs.define(kw_only=True)
class _Part:
    """A piece of a message's content; only text is supported."""

    type: Literal["text"]
    text: str


@attrs.define(kw_only=True)
class _Message:
    """One message of a chat."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[_Part]


@attrs.define(kw_only=True)
class _StreamOptions:
    """Options of a streamed answer."""

    include_usage: bool = False


@attrs.define(kw_only=True)
class _Body:
    """Fields common to chat and text completions.

    The sampling parameters are validated and passed on unchanged.
    """

    model: _ModelName
    adapter: str | None = None
    max_tokens: _TokenCount | None = None
    max_completion_tokens: _TokenCount | None = None
    stream: bool | None = None
    stream_options: _StreamOptions | None = None
    n: Literal[1] | None = None
    best_of: Literal[1] | None = None
    timeout: _TimeoutSeconds | None = None
    temperature: Annotated[float, msgspec.Meta(ge=0, le=2)] | None = None
    top_p: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None
    presence_penalty: _Penalty | None = None
    frequency_penalty: _Penalty | None = None
    seed: int | None = None
    stop: (
        _StopSequence
        | Annotated[list[_StopSequence], msgspec.Meta(max_length=4)]
        | None
    ) = None


@attrs.define(kw_only=True)
class _ChatBody(_Body):
    messages: Annotated[list[_Message], msgspec.Meta(min_length=1)]


@attrs.define(kw_only=True)
class _TextBody(_Body):
    prompt: str | Annotated[list[str], msgspec.Meta(min_length=1, max_length=1)]


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """A parsed completion request.

    Attributes:
        completion: the message for the engine.
        model_name: the model as given by the caller.
        chat: whether the response has the chat format.
        stream: whether the response is streamed.
        include_usage: whether a stream ends with the token counts.
        timeout_seconds: timeout given in the body; 0 for none.
    """

    completion: messages.Completion
    model_name: str
    chat: bool
    stream: bool
    include_usage: bool
    timeout_seconds: float


@attrs.frozen(kw_only=True)
class BodyError:
    """An error in the body of a request.

    Attributes:
        error: the error.
        param: the invalid field; None if there is no single one.
    """

    error: results.Error
    param: str | None = None


_decode_chat = msgspec.json.Decoder(_ChatBody).decode
_decode_text = msgspec.json.Decoder(_TextBody).decode
_decode_fields = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
_encode = msgspec.json.Encoder().encode


def parse(
    body: bytes, *, chat: bool
) -> result.Result[CompletionRequest, BodyError]:
    """Parses the body of a completion.

    Args:
        body: the raw JSON.
        chat: whether it was sent to /v1/chat/completions.

    Returns:
        The parsed request, or the BodyError of an invalid body.
    """
    try:
        fields = _decode_fields(body)
        unsupported = _find_unsupported_field(fields)
        if unsupported is not None:
            return result.Failure(unsupported)
        decoded = _decode_chat(body) if chat else _decode_text(body)
    except msgspec.ValidationError as error:
        return result.Failure(_validation_error(str(error)))
    except (msgspec.DecodeError, RecursionError) as error:
        # A body nested some thousand levels deep raises RecursionError.
        return result.Failure(_json_error(str(error)))
    return result.Success(_build_request(decoded, fields, chat))


def _json_error(text: str) -> BodyError:
    message = f"the body is not valid JSON: {text}"
    error = results.Error(code=results.Code.BAD_JSON, text=message)
    return BodyError(error=error)


def _validation_error(text: str) -> BodyError:
    field_path = _FIELD_PATH_PATTERN.search(text)
    param = field_path.group(1) if field_path is not None else None
    error = results.Error(code=results.Code.BAD_FIELD, text=text)
    return BodyError(error=error, param=param)


def _find_unsupported_field(fields: dict[str, msgspec.Raw]) -> BodyError | None:
    for name in _UNSUPPORTED_FIELDS:
        if name in fields and bytes(fields[name]) not in _EMPTY_VALUES:
            text = f"the field {name} is not supported"
            error = results.Error(code=results.Code.BAD_FIELD, text=text)
            return BodyError(error=error, param=name)
    return None


def _build_request(
    body: _ChatBody | _TextBody, fields: dict[str, msgspec.Raw], chat: bool
) -> CompletionRequest:
    model, _, adapter = body.model.partition(":")
    max_tokens = (
        body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
    )
    for name in _PARSED_FIELDS:
        fields.pop(name, None)
    completion = messages.Completion(
        model=model,
        adapter=body.adapter or adapter,
        prompt=_render_prompt(body),
        max_tokens=max_tokens,
        parameters=_encode(fields),
    )
    options = body.stream_options
    return CompletionRequest(
        completion=completion,
        model_name=body.model,
        chat=chat,
        stream=bool(body.stream),
        include_usage=options is not None and options.include_usage,
        timeout_seconds=body.timeout or 0.0,
    )


def _render_prompt(body: _ChatBody | _TextBody) -> str:
    match body:
        case _TextBody():
            prompt = body.prompt
            return prompt if isinstance(prompt, str) else prompt[0]
        case _ChatBody():
            rendered = [_render_message(each) for each in body.messages]
            return "".join(rendered) + "<|assistant|>\n"


def _render_message(message: _Message) -> str:
    content = message.content
    if not isinstance(content, str):
        content = "".join(each.text for each in content)
    # A role marker within the text would start a message of that role; an
    # inserted space prevents this.
    content = content.replace("<|", "< |")
    return f"<|{message.role}|>\n{content}\n"
