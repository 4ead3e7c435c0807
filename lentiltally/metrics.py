"""Metrics over statsd, with a declared table of names."""

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
# All metrics of a daemon must stay well under its 4 KB/s of control traffic: 10 timers
# of about 50 bytes, sampled down to about 40 each, are 2 KB in 10 s.
TIMINGS_PER_INTERVAL = 16
# Callers choose team names, so the number of series that they can open is bounded.
MAX_LABELS = 256
OTHER_LABEL = "other"
MAX_PACKET_BYTES = 1432


class MetricError(LentiltallyError):
    """A metric was used that is not in the table, or not as it is declared."""


class Metrics:
    """Counts, gauges and timings of one process; safe to use from several threads.

    Counters and gauges are kept in memory and sent every ``FLUSH_INTERVAL_S``; timings
    are sampled beyond ``TIMINGS_PER_INTERVAL``, with the rate in the packet. Sending
    never raises; an undeclared name does, because that is a mistake in the code.
    """

    def __init__(self, client: StatsClient | None, process_name: str) -> None:
        """Send through the client; only check names if there is none."""
        self._client = client
        self._process = _UNSAFE.sub("_", process_name)
        self._lock = threading.Lock()
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._pipe = client.pipeline() if client is not None else None
        self._seen: dict[str, int] = {}
        self._seen_before: dict[str, int] = {}
        self._labels: dict[str, set[str]] = {}
        self._closing = threading.Event()
        self._thread: threading.Thread | None = None

    @classmethod
    def from_settings(
        cls, settings: MetricsSettings, process: ProcessSettings
    ) -> Metrics:
        """Return the metrics of a process, which send nothing without a host."""
        return cls(_new_client(settings, process.role), process.name)

    def count(self, name: str, amount: int = 1, *, label: str = "") -> None:
        """Add to a counter."""
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
        if self._pipe is None or not math.isfinite(duration_s):
            return
        with self._lock:
            seen = self._seen[name] = self._seen.get(name, 0) + 1
            expected = max(seen, self._seen_before.get(name, 0))
            rate = min(1.0, TIMINGS_PER_INTERVAL / expected)
            self._pipe.timing(name, duration_s * 1000, rate)

    def start(self) -> None:
        """Send at intervals from a thread of its own."""
        if self._client is None or self._thread is not None:
            return
        self._thread = threading.Thread(target=self._run, daemon=True, name="metrics")
        self._thread.start()

    def flush(self) -> None:
        """Send what has gathered, and begin a new interval."""
        with self._lock:
            counters, self._counters = self._counters, {}
            gauges, self._gauges = self._gauges, {}
            self._seen_before, self._seen = self._seen, {}
            pipe = self._pipe
            if self._client is None or pipe is None:
                return
            self._pipe = self._client.pipeline()
        try:
            for name, amount in counters.items():
                pipe.incr(name, amount)
            for name, value in gauges.items():
                pipe.gauge(name, value)
            pipe.send()
        except Exception as error:
            _log.warning("metrics not sent", extra={"error": str(error)})

    def close(self) -> None:
        """Send what has gathered and stop."""
        self._closing.set()
        if self._thread is not None:
            self._thread.join(timeout=1.0)
        self.flush()
        with self._lock:
            client, self._client, self._pipe = self._client, None, None
        if client is not None:
            client.close()

    def _run(self) -> None:
        while not self._closing.wait(FLUSH_INTERVAL_S):
            self.flush()

    def _path(self, metric: Metric, label: str) -> str:
        if not metric.label:
            return metric.name
        known = self._labels.setdefault(metric.name, set())
        label = _UNSAFE.sub("_", label) or OTHER_LABEL
        if label not in known:
            if len(known) >= MAX_LABELS:
                label = OTHER_LABEL
            known.add(label)
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
        # For example an IPv6 receiver on a host without IPv6.
        _log.warning("no metrics", extra={"peer": settings.host, "error": str(error)})
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
