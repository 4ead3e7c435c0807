"""Metrics of one target's queue: waiting times, length and batch fill."""

from __future__ import annotations

from lentiltally.metrics import Metrics

__all__ = ["QueueMetrics"]


class QueueMetrics:
    """Reports on one target's queue; not thread-safe, the caller holds the lock."""

    def __init__(self, metrics: Metrics, target: str, batch_slots: int) -> None:
        """Start without samples; ``batch_slots`` is how many attempts run at once."""
        self._metrics = metrics
        self._target = target
        self._batch_slots = batch_slots
        # Waiting attempts whose adapter was not loaded when they arrived.
        self._cold_attempts: set[str] = set()
        self._fill_samples: list[float] = []

    def record_cold_arrival(self, attempt_id: str) -> None:
        """Remember an attempt whose adapter must be loaded before it can start."""
        self._cold_attempts.add(attempt_id)

    def record_start(
        self, attempt_id: str, waited_s: float, *, is_behind_long: bool
    ) -> None:
        """Report the queue wait of an attempt that starts.

        ``is_behind_long`` is True for short work that starts while long work runs.
        """
        self._metrics.timing("queue_wait", waited_s)
        is_cold = attempt_id in self._cold_attempts
        self._cold_attempts.discard(attempt_id)
        self._metrics.timing("load_wait", waited_s if is_cold else 0.0)
        if is_behind_long:
            self._metrics.timing("short_behind_long_wait", waited_s)

    def record_not_run(self, attempt_id: str) -> None:
        """Count an attempt that left the queue without having run."""
        self._cold_attempts.discard(attempt_id)
        self._metrics.count("not_run")

    def sample_batch_fill(self, running: int) -> None:
        """Take a sample of the batch fill in per cent, given the running attempts."""
        self._fill_samples.append(100.0 * running / self._batch_slots)

    def send_gauges(self, queued: int) -> None:
        """Send the queue length and the mean batch fill since the last call."""
        samples, self._fill_samples = self._fill_samples, []
        self._metrics.gauge("queue_length", queued, label=self._target)
        if samples:
            fill = sum(samples) / len(samples)
            self._metrics.gauge("batch_fill", fill, label=self._target)
