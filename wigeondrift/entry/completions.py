"""Bodies of completions and chat completions, compatible with the OpenAI API."""

import abc
from typing import Annotated, Literal

import msgspec

from wigeondrift.errors import ErrorKind, RequestError

DEFAULT_MAX_TOKENS = 256
CHARACTERS_PER_TOKEN = 4
DONE_EVENT = b"data: [DONE]\n\n"
PLACEHOLDER = "\0text\0"

ModelName = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer.

    Attributes
    ----------
    include_usage : bool
        Whether a chunk with the usage is sent before the end.
    """

    include_usage: bool = False


class CompletionRequest(msgspec.Struct):
    """Body of ``POST /v1/completions``; unknown fields are ignored."""

    model: ModelName
    prompt: str | list[str]
    max_tokens: int | None = None
    n: int | None = None
    stream: bool | None = None
    stream_options: StreamOptions | None = None

    @property
    def text(self) -> str:
        """The prompt as one string.

        Raises
        ------
        RequestError
            If the request has no prompt or several.
        """
        if isinstance(self.prompt, str):
            return self.prompt
        if len(self.prompt) != 1:
            raise RequestError(ErrorKind.INVALID_PARAMETER, "prompt must be one text")
        return self.prompt[0]

    @property
    def token_limit(self) -> int | None:
        """Requested maximum number of tokens; None if not set."""
        return self.max_tokens


class TextPart(msgspec.Struct):
    """Part of a message's content; only text is accepted."""

    type: Literal["text"]
    text: str


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[TextPart] | None = None

    @property
    def text(self) -> str:
        """The content as one string."""
        if self.content is None:
            return ""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ChatRequest(msgspec.Struct):
    """Body of ``POST /v1/chat/completions``; unknown fields are ignored."""

    model: ModelName
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1, max_length=4096)]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    stream: bool | None = None
    stream_options: StreamOptions | None = None

    @property
    def text(self) -> str:
        """Prompt that represents the conversation."""
        lines = [f"{message.role}: {message.text}\n" for message in self.messages]
        return "".join(lines) + "assistant:"

    @property
    def token_limit(self) -> int | None:
        """Requested maximum number of tokens; None if not set."""
        if self.max_completion_tokens is not None:
            return self.max_completion_tokens
        return self.max_tokens


AnyRequest = CompletionRequest | ChatRequest


class Usage(msgspec.Struct):
    """Token counts of one answer; the prompt tokens are an estimate."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


def estimate_prompt_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt; at least one."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


def make_usage(prompt: str, tokens: int) -> Usage:
    """Return the usage of an answer with ``tokens`` tokens."""
    prompt_tokens = estimate_prompt_tokens(prompt)
    return Usage(prompt_tokens, tokens, prompt_tokens + tokens)


def get_max_tokens(request: AnyRequest, upper_bound: int) -> int:
    """Return the maximum number of tokens for the answer to a request.

    Raises
    ------
    RequestError
        If the requested number is below one or above ``upper_bound``, or if more
        than one answer is requested.
    """
    if request.n not in (None, 1):
        raise RequestError(ErrorKind.INVALID_PARAMETER, "n must be 1")
    requested = request.token_limit
    if requested is None:
        return min(DEFAULT_MAX_TOKENS, upper_bound)
    if not 1 <= requested <= upper_bound:
        reason = f"max_tokens must be from 1 to {upper_bound}"
        raise RequestError(ErrorKind.INVALID_PARAMETER, reason)
    return requested


class AnswerFormat(abc.ABC):
    """JSON encoding of the answers of one path.

    Parameters
    ----------
    request_id, model : str
    created : int
        Creation time, in seconds since the epoch.
    """

    __slots__ = ("_chunk_parts", "_common_fields", "_is_first")

    prefix: str
    chunk_object: str
    complete_object: str

    def __init__(self, request_id: str, model: str, created: int) -> None:
        self._common_fields = {
            "id": f"{self.prefix}-{request_id}",
            "created": created,
            "model": model,
        }
        self._is_first = True
        self._chunk_parts: tuple[bytes, bytes] | None = None

    def make_chunk(self, text: str) -> bytes:
        """Return the server-sent event for one part of the text.

        All events but the first differ only in the text, so the rest of the JSON
        document is encoded once and reused.
        """
        if self._is_first:
            return self._frame(self._make_choice(text, None))
        if self._chunk_parts is None:
            frame = self._frame(self._make_choice(PLACEHOLDER, None))
            before, _, after = frame.partition(msgspec.json.encode(PLACEHOLDER))
            self._chunk_parts = (before, after)
        before, after = self._chunk_parts
        return before + msgspec.json.encode(text) + after

    def make_last_chunk(self, finish_reason: str) -> bytes:
        """Return the event with the finish reason."""
        return self._frame(self._make_choice("", finish_reason))

    def _frame(self, choice: dict) -> bytes:
        chunk = {
            **self._common_fields,
            "object": self.chunk_object,
            "choices": [choice],
        }
        self._is_first = False
        return frame_event(chunk)

    def make_usage_chunk(self, usage: Usage) -> bytes:
        """Return the event with the usage."""
        fields = {**self._common_fields, "object": self.chunk_object}
        return frame_event({**fields, "choices": [], "usage": usage})

    def make_complete(self, text: str, finish_reason: str, usage: Usage) -> bytes:
        """Return the body of a complete, non-streamed answer."""
        choice = self._make_complete_choice(text, finish_reason)
        fields = {**self._common_fields, "object": self.complete_object}
        return msgspec.json.encode({**fields, "choices": [choice], "usage": usage})

    @abc.abstractmethod
    def _make_choice(self, text: str, finish_reason: str | None) -> dict:
        """Return the ``choices`` item of one event."""

    @abc.abstractmethod
    def _make_complete_choice(self, text: str, finish_reason: str) -> dict:
        """Return the ``choices`` item of a complete answer."""


class CompletionFormat(AnswerFormat):
    """Encoding of the answers of ``/v1/completions``."""

    __slots__ = ()

    prefix = "cmpl"
    chunk_object = "text_completion"
    complete_object = "text_completion"

    def _make_choice(self, text: str, finish_reason: str | None) -> dict:
        return {
            "index": 0,
            "text": text,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def _make_complete_choice(self, text: str, finish_reason: str) -> dict:
        return self._make_choice(text, finish_reason)


class ChatFormat(AnswerFormat):
    """Encoding of the answers of ``/v1/chat/completions``."""

    __slots__ = ()

    prefix = "chatcmpl"
    chunk_object = "chat.completion.chunk"
    complete_object = "chat.completion"

    def _make_choice(self, text: str, finish_reason: str | None) -> dict:
        delta: dict[str, str] = {"role": "assistant"} if self._is_first else {}
        if finish_reason is None:
            delta["content"] = text
        return {
            "index": 0,
            "delta": delta,
            "logprobs": None,
            "finish_reason": finish_reason,
        }

    def _make_complete_choice(self, text: str, finish_reason: str) -> dict:
        return {
            "index": 0,
            "message": {"role": "assistant", "content": text, "refusal": None},
            "logprobs": None,
            "finish_reason": finish_reason,
        }


def frame_event(document: object) -> bytes:
    """Encode a JSON document as a server-sent event."""
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


def frame_comment(text: str) -> bytes:
    """Encode a server-sent events comment, which clients ignore."""
    return f": {text}\n\n".encode()
