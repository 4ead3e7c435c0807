"""Estimates of answer lengths in tokens."""

from __future__ import annotations

from collections import OrderedDict


class AnswerLengthEstimates:
    """Expected answer lengths per adapter, learned from finished answers.

    Callers don't announce lengths. The estimate is an exponentially weighted average of
    the logarithms of the lengths, so that a single answer of 20 times the usual length
    changes it little.
    """

    def __init__(
        self,
        default_tokens: float = 256.0,
        smoothing_factor: float = 0.2,
        max_adapters: int = 4096,
    ) -> None:
        """Use ``default_tokens`` until an adapter's first answer has finished.

        Above ``max_adapters``, the adapter whose last answer is the oldest is dropped.
        """
        self._default_tokens = default_tokens
        self._smoothing_factor = smoothing_factor
        self._max_adapters = max_adapters
        self._tokens: OrderedDict[str, float] = OrderedDict()

    def expected(self, adapter: str, produced: float = 0.0) -> float:
        """Return the expected total tokens, given the tokens produced so far.

        An answer that has reached its estimate is expected to become twice as long,
        which is the usual residual life of a heavy-tailed distribution.
        """
        estimate = self._tokens.get(adapter, self._default_tokens)
        return estimate if produced < estimate else 2.0 * produced

    def finished(self, adapter: str, tokens: float) -> None:
        """Update the estimate with the length of an answer that was not cut short."""
        estimate = self._tokens.pop(adapter, None)
        tokens = max(1.0, tokens)
        if estimate is not None:
            tokens = (
                estimate ** (1.0 - self._smoothing_factor)
                * tokens**self._smoothing_factor
            )
        self._tokens[adapter] = tokens
        if len(self._tokens) > self._max_adapters:
            self._tokens.popitem(last=False)
