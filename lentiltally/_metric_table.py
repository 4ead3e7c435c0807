"""The table of metrics.

The names in the code are checked against it, and the table in docs/METRICS.md is
written from it, with the ``meaning`` texts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Literal

Kind = Literal["counter", "gauge", "timer"]


@dataclass(frozen=True, slots=True)
class Metric:
    """One declared metric.

    ``label`` says which kind of label is appended to the name, such as a team; it is
    empty for most metrics. ``role`` says which daemon sends the metric.
    """

    name: str
    kind: Kind
    unit: str
    meaning: str
    role: Literal["entry", "agent", "both"]
    label: str = ""


def _counter(
    name: str,
    meaning: str,
    role: Literal["entry", "agent", "both"] = "entry",
    label: str = "",
) -> Metric:
    return Metric(name, "counter", "count", meaning, role, label)


def _timer(
    name: str,
    meaning: str,
    role: Literal["entry", "agent", "both"] = "entry",
) -> Metric:
    return Metric(name, "timer", "ms", meaning, role)


METRICS: Final = (
    _counter("requests", "requests received from callers", label="team"),
    _counter("answers_in_time", "whole answers sent before the deadline", label="team"),
    _counter("answers_late", "whole answers sent after the deadline", label="team"),
    _counter("refusals", "requests refused", label="reason"),
    _timer("refusal_latency", "time from a request to its refusal"),
    _counter("sheds", "requests refused by admission before placement", label="team"),
    _counter("unknown_outcomes", 'answers with executed "unknown"'),
    _counter("retries", "attempts sent again after not run or failed ones"),
    _counter("hedges", "second attempts of slow idempotent requests"),
    _counter("ejections", "targets taken out because they were slow"),
    Metric("ejected", "gauge", "targets", "targets out at present", "entry"),
    _timer("first_token_latency", "time from a request to its first event"),
    _timer("answer_latency", "time from a request to the end of its answer"),
    _counter("claims_appended", "claims written to the log"),
    _timer("claim_append_latency", "time from a claim to its place in the log"),
    Metric(
        "targets_leaving", "gauge", "targets", "targets that get no new work", "entry"
    ),
    _counter("loads", "adapter loads ordered", "agent"),
    _counter("load_failures", "adapter loads that failed or were unknown", "agent"),
    Metric("loads_in_flight", "gauge", "loads", "loads running at present", "agent"),
    _timer("load_wait", "time a request waited for its adapter; 0 if loaded", "agent"),
    Metric("queue_length", "gauge", "requests", "requests waiting", "agent", "target"),
    _timer("queue_wait", "time from arrival at the agent to the engine", "agent"),
    _timer(
        "short_behind_long_wait",
        "queue wait of short requests while a long one held a batch place",
        "agent",
    ),
    _timer(
        "short_wait",
        "queue wait of short requests while no long one held a batch place",
        "agent",
    ),
    Metric(
        "batch_fill",
        "gauge",
        "percent",
        "batch places in use while requests waited, mean since the last value",
        "agent",
        "target",
    ),
    _counter("answer_mismatches", "answers of a wrong adapter or engine", "agent"),
    _counter("engine_restarts", "new incarnations of an engine", "agent"),
    _counter("not_run", "queued requests handed back to the entry", "agent"),
    Metric("config_offset", "gauge", "offset", "offset of the configuration", "both"),
    Metric("config_lag", "gauge", "s", "age of the newest answer of the log", "both"),
    Metric("log_unavailable", "gauge", "0 or 1", "1 while the log fails", "both"),
    Metric("quarantined", "gauge", "requests", "fingerprints in quarantine", "both"),
    Metric("leaving", "gauge", "0 or 1", "1 while this process is draining", "both"),
    _counter("reconnects", "channel connections replaced", "both"),
    _counter("frames_dropped", "channel frames not sent or not understood", "both"),
)
