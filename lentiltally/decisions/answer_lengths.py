"""Estimates of how many tokens an answer will have."""

from __future__ import annotations

from collections import OrderedDict


class AnswerLengthEstimates:
    """Expected answer lengths per adapter, learned from finished work.

    Callers don't announce lengths. The estimate follows the logarithm of the lengths,
    so one answer that is 20 times longer doesn't make the adapter look long.
    """

    def __init__(
        self,
        default_tokens: float = 256.0,
        weight: float = 0.2,
        max_adapters: int = 4096,
    ) -> None:
        """Use the default until an adapter's first answer has ended."""
        self._default_tokens = default_tokens
        self._weight = weight
        self._max_adapters = max_adapters
        self._tokens: OrderedDict[str, float] = OrderedDict()

    def expected(self, adapter: str, produced: float = 0.0) -> float:
        """Return the expected total tokens, given those produced so far.

        An answer that outgrows its estimate is expected to be as long again, which is
        the usual residual life of a heavy-tailed length.
        """
        estimate = self._tokens.get(adapter, self._default_tokens)
        return estimate if produced < estimate else 2.0 * produced

    def finished(self, adapter: str, tokens: float) -> None:
        """Learn from an answer that ended by itself."""
        known = self._tokens.pop(adapter, None)
        tokens = max(1.0, tokens)
        if known is not None:
            tokens = known ** (1.0 - self._weight) * tokens**self._weight
        self._tokens[adapter] = tokens
        if len(self._tokens) > self._max_adapters:
            self._tokens.popitem(last=False)
