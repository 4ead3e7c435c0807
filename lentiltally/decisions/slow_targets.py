"""Which targets are slowed for the moment and get no new work."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from statistics import median


@dataclass(frozen=True, slots=True)
class SlowTargetSettings:
    """When a target counts as slow.

    ``factor`` times the median of all targets is slow. Slowdowns last 0.5 to 5 s, so
    only observations of the last ``window_s`` count and a target returns by itself
    after ``retry_s`` without a slow one; the work it then gets is the probe.
    """

    factor: float = 3.0
    window_s: float = 1.0
    retry_s: float = 1.0
    max_share: float = 1.0 / 3.0
    min_latency_s: float = 0.005


class SlowTargets:
    """Compares the latencies of targets that should be equal.

    The latencies must be of the same kind for all targets, and free of waits for
    places or loads: the time to the first token of work that started at once, or the
    time between tokens.
    """

    def __init__(
        self,
        failure_domains: Mapping[str, str],
        settings: SlowTargetSettings | None = None,
    ) -> None:
        """Take the failure domain of each target; the mapping may change later."""
        self._domains = failure_domains
        self._settings = settings or SlowTargetSettings()
        self._recent: dict[str, deque[tuple[float, float]]] = {}
        self._usual_s: dict[str, float] = {}
        self._ejected_at_s: dict[str, float] = {}

    def observed(self, target: str, latency_s: float, now_s: float) -> None:
        """Take a latency of a target."""
        recent = self._recent.setdefault(target, deque(maxlen=16))
        recent.append((now_s, latency_s))
        known_s = self._usual_s.get(target, latency_s)
        self._usual_s[target] = known_s + 0.05 * (latency_s - known_s)
        if self._is_slow(target, now_s):
            if target in self._ejected_at_s or self._may_eject(target):
                self._ejected_at_s[target] = now_s
        elif target in self._ejected_at_s and latency_s <= self._limit_s():
            del self._ejected_at_s[target]

    def ejected(self, now_s: float) -> frozenset[str]:
        """Return the targets that get no new work now."""
        for target, at_s in list(self._ejected_at_s.items()):
            if now_s - at_s >= self._settings.retry_s or target not in self._domains:
                del self._ejected_at_s[target]
        return frozenset(self._ejected_at_s)

    def _limit_s(self) -> float:
        usual = [self._usual_s[t] for t in self._usual_s if t in self._domains]
        usual_s = median(usual) if usual else 0.0
        return self._settings.factor * max(usual_s, self._settings.min_latency_s)

    def _is_slow(self, target: str, now_s: float) -> bool:
        since_s = now_s - self._settings.window_s
        recent = [
            latency_s for at_s, latency_s in self._recent[target] if at_s >= since_s
        ]
        return bool(recent) and median(recent[-3:]) > self._limit_s()

    def _may_eject(self, target: str) -> bool:
        """Return whether enough targets stay, also in the target's domain."""
        ejected = self._ejected_at_s.keys()
        if len(ejected) + 1 > self._settings.max_share * len(self._domains):
            return False
        domain = self._domains.get(target)
        return any(
            other != target and other not in ejected and other_domain == domain
            for other, other_domain in self._domains.items()
        )
