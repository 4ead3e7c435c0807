"""Metrics that every process on the direct path exposes."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge
from prometheus_client.exposition import generate_latest

__all__ = ["LATENCY_BUCKETS_S", "ProcessMetrics"]

# From a fast lookup to the longest stream that operators wait for.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class ProcessMetrics:
    """A separate Prometheus registry with the metrics that all processes share."""

    def __init__(self) -> None:
        """Register the common metrics."""
        self._registry = CollectorRegistry(auto_describe=False)
        self._log_lines_dropped = Gauge(
            "lentiltally_log_lines_dropped",
            "Log lines dropped because they came too fast or nobody read them",
            registry=self._registry,
        )

        self.store_era = Gauge(
            "lentiltally_store_era",
            "Era of the store; it rises when the store comes back from an older copy",
            registry=self._registry,
        )

    def track_dropped_lines(self, dropped: Callable[[], float]) -> None:
        """Expose the number of dropped log lines that the function returns."""
        self._log_lines_dropped.set_function(dropped)

    def page(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
