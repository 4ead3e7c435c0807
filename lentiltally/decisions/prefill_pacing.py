"""Limits how many prompt tokens one engine prefills at the same time.

Requests that queue inside an engine can't be reordered any more: the engine may prefill
a prompt whose answer will be late in any case before one that could still be in time.
The agent therefore limits the prompts that are in prefill at once. Further requests
wait at the agent, which can reorder them.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentiltally.decisions.engine_pace import ArrivalRate, PaceEstimate

__all__ = ["PrefillPacing", "PrefillPacingSettings"]


@dataclass(frozen=True, slots=True)
class PrefillPacingSettings:
    """Limits of concurrent prefills, and the estimate of the prefill rate.

    ``max_tokens`` bounds the prompt tokens in prefill. It is large enough to keep the
    engine busy while the next request is on its way; a longer prompt is admitted if no
    other is in prefill. After ``expiry_s`` a prefill no longer counts: the message
    about its end was lost, or its engine has stalled. ``default_tokens_per_s`` is the
    initial estimate of the prefill rate. The time per token is an exponentially
    weighted average with ``smoothing_factor``, the weight of the newest prefill.
    """

    max_tokens: int = 4_096
    expiry_s: float = 1.0
    default_tokens_per_s: float = 19_000.0
    smoothing_factor: float = 0.05


@dataclass(slots=True)
class _Prefill:
    """A prompt admitted at ``admitted_s`` behind ``tokens_ahead`` other tokens."""

    tokens: int
    admitted_s: float
    tokens_ahead: int


class PrefillPacing:
    """The prompts in prefill on one engine, as far as its agent knows."""

    def __init__(self, settings: PrefillPacingSettings | None = None) -> None:
        """Start without prompts in prefill."""
        self._settings = settings or PrefillPacingSettings()
        self._prefills: dict[str, _Prefill] = {}
        self._s_per_token = 1.0 / self._settings.default_tokens_per_s
        self._pace = PaceEstimate()
        self._arrivals = ArrivalRate()

    @property
    def ns_per_token(self) -> int:
        """Return the engine's time per prompt token lately, 0 if not known."""
        return self._pace.ns_per_token

    def arriving_tokens_per_s(self, now_s: float) -> int:
        """Return the rate of prompt tokens admitted lately."""
        return self._arrivals.tokens_per_s(now_s)

    @property
    def tokens(self) -> int:
        """Return the number of prompt tokens in prefill."""
        return sum(prefill.tokens for prefill in self._prefills.values())

    def has_room(self, tokens: int, now_s: float) -> bool:
        """Return whether a prompt of this many tokens may be admitted now."""
        self._drop_expired(now_s)
        if not self._prefills:
            return True
        return self.tokens + tokens <= self._settings.max_tokens

    def started(self, request_id: str, tokens: int, now_s: float) -> None:
        """Count the prompt of an admitted request."""
        self._prefills.pop(request_id, None)
        self._prefills[request_id] = _Prefill(tokens, now_s, self.tokens)
        self._arrivals.add(tokens, now_s)

    def finished(self, request_id: str, now_s: float) -> None:
        """Remove a finished prefill and update the rate estimate with its duration.

        One slow prefill counts as at most four times the default time per token.
        """
        prefill = self._prefills.pop(request_id, None)
        if prefill is None or prefill.tokens <= 0:
            return
        self._pace.finished(prefill.tokens, prefill.admitted_s, now_s)
        s_per_token = (now_s - prefill.admitted_s) / (
            prefill.tokens + prefill.tokens_ahead
        )
        s_per_token = min(s_per_token, 4.0 / self._settings.default_tokens_per_s)
        self._s_per_token += self._settings.smoothing_factor * (
            s_per_token - self._s_per_token
        )

    def expected_s(self, tokens: int) -> float:
        """Return the time until a prompt's prefill would finish if admitted now."""
        return (self.tokens + tokens) * self._s_per_token

    def ended(self, request_id: str) -> None:
        """Remove the prompt of a request that ended before its prefill finished."""
        self._prefills.pop(request_id, None)

    def clear(self) -> None:
        """Remove all prompts, after a restart of the engine."""
        self._prefills.clear()
        self._pace = PaceEstimate()

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.expiry_s
        for request_id, prefill in list(self._prefills.items()):
            if prefill.admitted_s <= oldest_s:
                del self._prefills[request_id]
