"""Metrics over statsd; only names of the table of metrics may be used."""

from __future__ import annotations

import logging
import math
import re
import threading
from typing import Final

from statsd import StatsClient

from lentiltally._metric_table import METRICS, Kind, Metric
from lentiltally.errors import LentiltallyError
from lentiltally.settings import MetricsSettings, ProcessSettings

__all__ = ["METRICS", "Metric", "MetricError", "Metrics"]

_log = logging.getLogger(__name__)
_BY_NAME: Final = {metric.name: metric for metric in METRICS}
_UNSAFE = re.compile(r"[^A-Za-z0-9_-]")
# The usual flush interval of statsd receivers.
FLUSH_INTERVAL_S = 10.0
# The metrics of a daemon must use only a small part of its 4 KB/s of control traffic.
# 10 timers of about 50 bytes, with about 40 samples each, are 2 KB in 10 s. An interval
# with more timings than the one before can exceed TIMINGS_PER_INTERVAL.
TIMINGS_PER_INTERVAL = 16
# Callers choose team names, so the number of time series per metric is limited.
MAX_LABELS = 256
OTHER_LABEL = "other"
MAX_PACKET_BYTES = 1432


class MetricError(LentiltallyError):
    """A metric is not in the table, or is used in another way than declared there."""


class Metrics:
    """Counters, gauges and timers of one process; safe to use from several threads.

    Counters and gauges are kept in memory and sent every ``FLUSH_INTERVAL_S``. Timings
    are sampled if an interval has more than ``TIMINGS_PER_INTERVAL`` of one timer; the
    packet holds the sampling rate. Sending never raises. An undeclared name raises
    MetricError, because it is a mistake in the code.
    """

    def __init__(self, client: StatsClient | None, process_name: str) -> None:
        """Send through the client; without one, only check the names of metrics."""
        self._client = client
        self._process = _UNSAFE.sub("_", process_name)
        self._lock = threading.Lock()
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._pipeline = client.pipeline() if client is not None else None
        self._timing_counts: dict[str, int] = {}
        self._last_timing_counts: dict[str, int] = {}
        self._labels: dict[str, set[str]] = {}
        self._closing = threading.Event()
        self._thread: threading.Thread | None = None

    @classmethod
    def from_settings(
        cls, settings: MetricsSettings, process: ProcessSettings
    ) -> Metrics:
        """Return the metrics of a process; without a host, nothing is sent."""
        return cls(_new_client(settings, process.role), process.name)

    def count(self, name: str, amount: int = 1, *, label: str = "") -> None:
        """Add to a counter; a label is appended to the metric's name."""
        metric = _declared(name, "counter", label)
        with self._lock:
            path = self._path(metric, label)
            self._counters[path] = self._counters.get(path, 0) + amount

    def gauge(self, name: str, value: float, *, label: str = "") -> None:
        """Set a gauge, in the declared unit."""
        metric = _declared(name, "gauge", label)
        if math.isfinite(value):
            with self._lock:
                path = f"{self._process}.{self._path(metric, label)}"
                self._gauges[path] = value

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds; the packet holds milliseconds."""
        _declared(name, "timer", "")
        if self._pipeline is None or not math.isfinite(duration_s):
            return
        with self._lock:
            count = self._timing_counts[name] = self._timing_counts.get(name, 0) + 1
            expected = max(count, self._last_timing_counts.get(name, 0))
            rate = min(1.0, TIMINGS_PER_INTERVAL / expected)
            self._pipeline.timing(name, duration_s * 1000, rate)

    def start(self) -> None:
        """Start a thread that sends every ``FLUSH_INTERVAL_S``."""
        if self._client is None or self._thread is not None:
            return
        self._thread = threading.Thread(target=self._run, daemon=True, name="metrics")
        self._thread.start()

    def flush(self) -> None:
        """Send the collected values, and begin a new interval."""
        with self._lock:
            counters, self._counters = self._counters, {}
            gauges, self._gauges = self._gauges, {}
            self._last_timing_counts, self._timing_counts = self._timing_counts, {}
            pipeline = self._pipeline
            if self._client is None or pipeline is None:
                return
            self._pipeline = self._client.pipeline()
        try:
            for name, amount in counters.items():
                pipeline.incr(name, amount)
            for name, value in gauges.items():
                pipeline.gauge(name, value)
            pipeline.send()
        except Exception as error:
            _log.warning("metrics not sent to statsd", extra={"error": str(error)})

    def close(self) -> None:
        """Stop the thread, send the collected values and close the client."""
        self._closing.set()
        if self._thread is not None:
            self._thread.join(timeout=1.0)
        self.flush()
        with self._lock:
            client, self._client, self._pipeline = self._client, None, None
        if client is not None:
            client.close()

    def _run(self) -> None:
        while not self._closing.wait(FLUSH_INTERVAL_S):
            self.flush()

    def _path(self, metric: Metric, label: str) -> str:
        if not metric.label:
            return metric.name
        used_labels = self._labels.setdefault(metric.name, set())
        label = _UNSAFE.sub("_", label) or OTHER_LABEL
        if label not in used_labels:
            if len(used_labels) >= MAX_LABELS:
                label = OTHER_LABEL
            used_labels.add(label)
        return f"{metric.name}.{label}"


def _new_client(settings: MetricsSettings, role: str) -> StatsClient | None:
    if settings.host is None:
        return None
    try:
        return StatsClient(
            settings.host,
            settings.port,
            prefix=f"{settings.prefix}.{role}",
            maxudpsize=MAX_PACKET_BYTES,
            ipv6=":" in settings.host,
        )
    except OSError as error:
        # For example the statsd receiver has an IPv6 address and this host no IPv6.
        _log.warning(
            "metrics disabled, statsd client failed",
            extra={"peer": settings.host, "error": str(error)},
        )
        return None


def _declared(name: str, kind: Kind, label: str) -> Metric:
    metric = _BY_NAME.get(name)
    if metric is None:
        reason = "is not in the table of metrics"
    elif metric.kind != kind:
        reason = f"is a {metric.kind}, not a {kind}"
    elif label and not metric.label:
        reason = "has no label"
    else:
        return metric
    raise MetricError(f"metric {name!r} {reason}", step="metrics")
