"""Bodies of the engine's HTTP interface and its deterministic answers."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec
import xxhash

DEFAULT_MAX_TOKENS = 16
_LENGTH_MARK = re.compile(r"<tokens:(\d+)>")


class ChatMessage(msgspec.Struct):
    """One message of a chat; content parts without text are ignored."""

    role: str
    content: str | list[dict[str, object]] = ""


class CompletionBody(msgspec.Struct):
    """The fields of a completion or chat request that the engine reads."""

    model: str = ""
    prompt: str | list[str] = ""
    messages: list[ChatMessage] = []
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    priority: float = 0

    def text(self) -> str:
        """Return the prompt, or the chat in the form of chat_prompt()."""
        if self.messages:
            return chat_prompt(self.messages)
        return self.prompt if isinstance(self.prompt, str) else "\n".join(self.prompt)

    def token_limit(self) -> int:
        """Return the greatest length of the answer, at least 1."""
        limit = self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        return max(1, limit)


def chat_prompt(messages: Sequence[ChatMessage]) -> str:
    """Return the prompt that a chat stands for."""
    return "".join(f"{one.role}: {_content(one)}\n" for one in messages)


def _content(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(str(part.get("text", "")) for part in message.content)


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens of an answer.

    A prompt that contains ``<tokens:N>`` ends by itself after N tokens; others run
    up to ``max_tokens``. So callers can send work of an unannounced length.
    """
    mark = _LENGTH_MARK.search(prompt)
    return min(max(1, int(mark[1])), max_tokens) if mark else max_tokens


def answer_seed(model: str, prompt: str) -> str:
    """Return the part that all tokens of one answer share."""
    return xxhash.xxh32_hexdigest(f"{model}\n{prompt}".encode())


def answer_token(seed: str, index: int) -> str:
    """Return token ``index`` (from 0); it needs no escaping in JSON."""
    return f"{seed}.{index} "


def answer_text(model: str, prompt: str, count: int) -> str:
    """Return the first ``count`` tokens, so that a test can recompute an answer."""
    seed = answer_seed(model, prompt)
    return "".join(answer_token(seed, index) for index in range(count))


class AnswerForm:
    """Encodes one answer, whole or as server-sent events.

    Event ids count from 1: one event for each token, one with the finish reason, and
    ``[DONE]``.
    """

    def __init__(
        self, request_id: str, model: str, fingerprint: str, *, chat: bool, created: int
    ) -> None:
        """Prepare the parts that all events of the answer share."""
        self._chat = chat
        self._fields = {
            "id": request_id,
            "created": created,
            "model": model,
            "system_fingerprint": fingerprint,
        }
        kind = "chat.completion.chunk" if chat else "text_completion"
        head = msgspec.json.encode({"object": kind, **self._fields}).decode()
        self._head = head[:-1] + ',"choices":[{"index":0,'
        self._open, self._close = ('"text":"', '"')
        if chat:
            self._open, self._close = ('"delta":{"content":"', '"}')

    def token_event(self, number: int, text: str) -> str:
        """Return the event of one token."""
        return (
            f"id: {number}\ndata: {self._head}{self._open}{text}{self._close},"
            '"finish_reason":null}]}\n\n'
        )

    def last_events(self, number: int, reason: str) -> str:
        """Return the event with the finish reason, from that id, and ``[DONE]``."""
        content = '"delta":{}' if self._chat else '"text":""'
        return (
            f'id: {number}\ndata: {self._head}{content},"finish_reason":"{reason}"'
            f"}}]}}\n\nid: {number + 1}\ndata: [DONE]\n\n"
        )

    def error_event(self, number: int, message: str) -> str:
        """Return the event that ends a failed answer."""
        error = msgspec.json.encode({"error": {"message": message, "code": 500}})
        return f"id: {number}\ndata: {error.decode()}\n\n"

    def whole(self, text: str, reason: str, tokens: int) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, object] = {"index": 0, "finish_reason": reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return msgspec.json.encode(
            {
                "object": "chat.completion" if self._chat else "text_completion",
                **self._fields,
                "choices": [choice],
                "usage": {"completion_tokens": tokens},
            }
        )
