"""Counters and latency histograms of an entry on the direct path."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

from lentiltally.direct.process_metrics import LATENCY_BUCKETS_S, ProcessMetrics

__all__ = ["EntryMetrics"]


class EntryMetrics(ProcessMetrics):
    """The metrics of one entry, in a registry of their own."""

    def __init__(self) -> None:
        """Register all metrics."""
        super().__init__()
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

    def ended(self, kind: str, outcome: str, took_s: float) -> None:
        """Count the end of a request."""
        self._ended.labels(kind, outcome).observe(took_s)

    def refused(self, status: int, reason: str) -> None:
        """Count a refusal."""
        self._refused.labels(str(status), reason).inc()
