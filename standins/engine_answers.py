"""Completion requests and deterministic answers of the engine stand-in."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec
import xxhash

DEFAULT_MAX_TOKENS = 16
_LENGTH_MARKER = re.compile(r"<tokens:(\d+)>")


class ChatMessage(msgspec.Struct):
    """One message of a chat; content parts without text are ignored."""

    role: str
    content: str | list[dict[str, object]] = ""


class CompletionBody(msgspec.Struct):
    """Body of a completion or chat request; other fields are ignored."""

    model: str = ""
    prompt: str | list[str] = ""
    messages: list[ChatMessage] = []
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    priority: float = 0

    def text(self) -> str:
        """Return the prompt; a chat is rendered by chat_prompt()."""
        if self.messages:
            return chat_prompt(self.messages)
        return self.prompt if isinstance(self.prompt, str) else "\n".join(self.prompt)

    def token_limit(self) -> int:
        """Return the limit on tokens in the answer, at least 1."""
        limit = self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        return max(1, limit)


def chat_prompt(messages: Sequence[ChatMessage]) -> str:
    """Render the messages of a chat as one prompt."""
    return "".join(
        f"{message.role}: {_message_text(message)}\n" for message in messages
    )


def _message_text(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(str(part.get("text", "")) for part in message.content)


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens of an answer.

    The answer to a prompt that contains ``<tokens:N>`` ends after N tokens, others
    run up to ``max_tokens``. With the marker, tests send requests whose answer is
    shorter than the limit that the request states.
    """
    marker = _LENGTH_MARKER.search(prompt)
    return min(max(1, int(marker[1])), max_tokens) if marker else max_tokens


def answer_seed(model: str, prompt: str) -> str:
    """Return the text with which every token of one answer begins."""
    return xxhash.xxh32_hexdigest(f"{model}\n{prompt}".encode())


def answer_token(seed: str, index: int) -> str:
    """Return the token at ``index``, from 0; its text needs no escaping in JSON."""
    return f"{seed}.{index} "


def answer_text(model: str, prompt: str, count: int) -> str:
    """Return the first ``count`` tokens of an answer; tests compare answers with it."""
    seed = answer_seed(model, prompt)
    return "".join(answer_token(seed, index) for index in range(count))


class AnswerEncoder:
    """Encodes one answer, as one body or as server-sent events.

    Event ids count from 1. There is one event for each token, one with the finish
    reason, and ``[DONE]``.
    """

    def __init__(
        self, request_id: str, model: str, fingerprint: str, *, chat: bool, created: int
    ) -> None:
        """Prepare the fields that all events of the answer share."""
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
        # JSON around the text of a token.
        self._prefix, self._suffix = ('"text":"', '"')
        if chat:
            self._prefix, self._suffix = ('"delta":{"content":"', '"}')

    def token_event(self, number: int, text: str) -> str:
        """Return the event of one token, with ``number`` as its id."""
        return (
            f"id: {number}\ndata: {self._head}{self._prefix}{text}{self._suffix},"
            '"finish_reason":null}]}\n\n'
        )

    def last_events(self, number: int, reason: str) -> str:
        """Return the last two events: the finish reason, at ``number``, and [DONE]."""
        content = '"delta":{}' if self._chat else '"text":""'
        return (
            f'id: {number}\ndata: {self._head}{content},"finish_reason":"{reason}"'
            f"}}]}}\n\nid: {number + 1}\ndata: [DONE]\n\n"
        )

    def error_event(self, number: int, message: str) -> str:
        """Return the event that ends the stream of a failed execution."""
        error = msgspec.json.encode({"error": {"message": message, "code": 500}})
        return f"id: {number}\ndata: {error.decode()}\n\n"

    def complete_body(self, text: str, reason: str, tokens: int) -> bytes:
        """Return the JSON body of an answer that is not streamed."""
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
