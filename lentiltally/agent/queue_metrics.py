"""Measures the waits and the batch of one target's queue."""

from __future__ import annotations

from lentiltally.metrics import Metrics

__all__ = ["QueueMetrics"]


class QueueMetrics:
    """What one target's queue tells the metrics; the runner's lock guards it."""

    def __init__(self, metrics: Metrics, target: str, places: int) -> None:
        """Measure the queue of a target with that many batch places."""
        self._metrics = metrics
        self._target = target
        self._places = places
        # Attempts whose adapter was absent when they arrived.
        self._cold: set[str] = set()
        self._fill_samples: list[float] = []

    def arrived_cold(self, attempt_id: str) -> None:
        """Note an attempt whose adapter must be loaded first."""
        self._cold.add(attempt_id)

    def began(self, attempt_id: str, waited_s: float, *, is_behind_long: bool) -> None:
        """Time a wait; ``is_behind_long`` for short work while long work ran."""
        self._metrics.timing("queue_wait", waited_s)
        is_cold = attempt_id in self._cold
        self._cold.discard(attempt_id)
        self._metrics.timing("load_wait", waited_s if is_cold else 0.0)
        if is_behind_long:
            self._metrics.timing("short_behind_long_wait", waited_s)

    def given_back(self, attempt_id: str) -> None:
        """Count an attempt that ended without having run."""
        self._cold.discard(attempt_id)
        self._metrics.count("not_run")

    def sample(self, running: int) -> None:
        """Take a sample of how full the batch is while work waits."""
        self._fill_samples.append(100.0 * running / self._places)

    def send_gauges(self, queued: int) -> None:
        """Send the queue's length and the mean fill of the batch."""
        samples, self._fill_samples = self._fill_samples, []
        self._metrics.gauge("queue_length", queued, label=self._target)
        if samples:
            fill = sum(samples) / len(samples)
            self._metrics.gauge("batch_fill", fill, label=self._target)
