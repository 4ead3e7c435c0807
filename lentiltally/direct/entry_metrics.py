"""Counters and latency histograms of an entry on the direct path."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ["EntryMetrics"]

# Seconds; from a fast lookup to the longest stream that operators wait for.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class EntryMetrics:
    """The metrics of one entry, in a registry of their own."""

    def __init__(self) -> None:
        """Register all metrics."""
        self._registry = CollectorRegistry(auto_describe=False)
        self._ended = Histogram(
            "lentiltally_request_seconds",
            "Time from a request's head to its end",
            ["kind", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._refused = Counter(
            "lentiltally_refusals",
            "Requests that this entry refused",
            ["status", "reason"],
            registry=self._registry,
        )
        self.connections_opened = Gauge(
            "lentiltally_target_connections_opened",
            "Connections opened to targets since the start",
            registry=self._registry,
        )
        self.log_lines_dropped = Gauge(
            "lentiltally_log_lines_dropped",
            "Log lines dropped because they came too fast",
            registry=self._registry,
        )

    def ended(self, kind: str, outcome: str, took_s: float) -> None:
        """Count the end of a request."""
        self._ended.labels(kind, outcome).observe(took_s)

    def refused(self, status: int, reason: str) -> None:
        """Count a refusal."""
        self._refused.labels(str(status), reason).inc()

    def page(self) -> bytes:
        """Return the metrics as text."""
        return generate_latest(self._registry)
