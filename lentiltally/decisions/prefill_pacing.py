"""How many prompts one engine reads at a time.

Prompts that queue at an engine can't be put in order any more: one whose caller is
served late in any case is read before one that could still be in time. The agent
therefore lets requests through in turn; while prompts are being read, further ones
wait beside the engine, where their order can change.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PrefillPacing", "PrefillPacingSettings"]


@dataclass(frozen=True, slots=True)
class PrefillPacingSettings:
    """Bounds of the prompts that are read at the same time.

    ``max_tokens`` keep the engine reading while the next request is on its way; a
    longer prompt is read alone. ``overdue_s`` is the time after which a prompt no
    longer counts, because the notice that it was read was lost or its engine stands.
    An engine is expected to read ``usual_tokens_per_s`` until more is known;
    ``rate_share`` is how much each prompt that was read changes that.
    """

    max_tokens: int = 4_096
    overdue_s: float = 1.0
    usual_tokens_per_s: float = 19_000.0
    rate_share: float = 0.05


@dataclass(slots=True)
class _Reading:
    """One prompt that was let through at ``since_s``, behind ``ahead`` other tokens."""

    tokens: int
    since_s: float
    ahead: int


class PrefillPacing:
    """The prompts that one engine is reading, as its agent knows them."""

    def __init__(self, settings: PrefillPacingSettings | None = None) -> None:
        """Start with an engine that reads nothing."""
        self._settings = settings or PrefillPacingSettings()
        self._reading: dict[str, _Reading] = {}
        self._token_s = 1.0 / self._settings.usual_tokens_per_s

    @property
    def tokens(self) -> int:
        """Return the tokens of the prompts that are being read."""
        return sum(reading.tokens for reading in self._reading.values())

    def has_room(self, tokens: int, now_s: float) -> bool:
        """Return whether another prompt may be read now."""
        self._drop_overdue(now_s)
        if not self._reading:
            return True
        return self.tokens + tokens <= self._settings.max_tokens

    def started(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count the prompt of a request that was let through."""
        self._reading.pop(request_id, None)
        self._reading[request_id] = _Reading(tokens, now_s, self.tokens)

    def read(self, request_id: str, now_s: float) -> None:
        """Forget a prompt that was read, and learn from the time it took."""
        reading = self._reading.pop(request_id, None)
        if reading is None or reading.tokens <= 0:
            return
        token_s = (now_s - reading.since_s) / (reading.tokens + reading.ahead)
        token_s = min(token_s, 4.0 / self._settings.usual_tokens_per_s)
        self._token_s += self._settings.rate_share * (token_s - self._token_s)

    def expected_s(self, tokens: int) -> float:
        """Return the time until a prompt would be read if it started now."""
        return (self.tokens + tokens) * self._token_s

    def ended(self, request_id: str) -> None:
        """Forget the prompt of a request that ended before it was read."""
        self._reading.pop(request_id, None)

    def clear(self) -> None:
        """Forget all prompts, after the engine started anew."""
        self._reading.clear()

    def _drop_overdue(self, now_s: float) -> None:
        due_s = now_s - self._settings.overdue_s
        for request_id, reading in list(self._reading.items()):
            if reading.since_s <= due_s:
                del self._reading[request_id]
