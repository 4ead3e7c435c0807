"""Ejection of slow targets, which get no new work for the time being."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from statistics import median


@dataclass(frozen=True, slots=True)
class SlowTargetSettings:
    """When a target is ejected as slow, and when it is readmitted.

    A target is slow if the median of its last latencies exceeds ``latency_factor``
    times the median of the smoothed latencies of all targets, which counts as at least
    ``min_latency_s``. Slowdowns last 0.5 to 5 s, so only latencies of the last
    ``window_s`` count, and a target is readmitted after a cooldown of ``cooldown_s``
    without a slow latency; the work that it gets then serves as the probe. At most
    ``max_ejected_fraction`` of the targets are ejected at once.
    """

    latency_factor: float = 3.0
    window_s: float = 1.0
    cooldown_s: float = 1.0
    max_ejected_fraction: float = 1.0 / 3.0
    min_latency_s: float = 0.005


class SlowTargets:
    """Compares the latencies of targets that are expected to be equally fast.

    The latencies must be of the same kind for all targets, and must not include waits
    for batch slots or adapter loads. Suitable are the time to first token of work that
    started at once, and the inter-token latency.
    """

    def __init__(
        self,
        failure_domains: Mapping[str, str],
        settings: SlowTargetSettings | None = None,
    ) -> None:
        """Start without ejections.

        ``failure_domains`` maps each target to its domain and may change later.
        """
        self._domains = failure_domains
        self._settings = settings or SlowTargetSettings()
        # Time and latency of the last observations of each target.
        self._recent: dict[str, deque[tuple[float, float]]] = {}
        # Exponentially weighted average of each target's latency.
        self._smoothed_s: dict[str, float] = {}
        self._ejected_at_s: dict[str, float] = {}

    def observed(self, target: str, latency_s: float, now_s: float) -> None:
        """Add a latency of a target; eject or readmit the target."""
        recent = self._recent.setdefault(target, deque(maxlen=16))
        recent.append((now_s, latency_s))
        smoothed_s = self._smoothed_s.get(target, latency_s)
        self._smoothed_s[target] = smoothed_s + 0.05 * (latency_s - smoothed_s)
        if self._is_slow(target, now_s):
            if target in self._ejected_at_s or self._may_eject(target):
                self._ejected_at_s[target] = now_s
        elif target in self._ejected_at_s and latency_s <= self._threshold_s():
            del self._ejected_at_s[target]

    def ejected(self, now_s: float) -> frozenset[str]:
        """Return the targets that are ejected now."""
        for target, at_s in list(self._ejected_at_s.items()):
            if now_s - at_s >= self._settings.cooldown_s or target not in self._domains:
                del self._ejected_at_s[target]
        return frozenset(self._ejected_at_s)

    def _threshold_s(self) -> float:
        smoothed = [self._smoothed_s[t] for t in self._smoothed_s if t in self._domains]
        typical_s = median(smoothed) if smoothed else 0.0
        return self._settings.latency_factor * max(
            typical_s, self._settings.min_latency_s
        )

    def _is_slow(self, target: str, now_s: float) -> bool:
        since_s = now_s - self._settings.window_s
        recent = [
            latency_s for at_s, latency_s in self._recent[target] if at_s >= since_s
        ]
        return bool(recent) and median(recent[-3:]) > self._threshold_s()

    def _may_eject(self, target: str) -> bool:
        """Return whether enough targets remain, and at least one of the same domain."""
        ejected = self._ejected_at_s.keys()
        if len(ejected) + 1 > self._settings.max_ejected_fraction * len(self._domains):
            return False
        domain = self._domains.get(target)
        return any(
            other != target and other not in ejected and other_domain == domain
            for other, other_domain in self._domains.items()
        )
