"""Cost of control-plane work at the size expected in two years.

The value is the share of a core that control-plane work takes in an entry, computed
from measured slopes. Further fields give the slopes, memory of the tables, sizes of
messages, and bytes per second of entry and agent. ``docs/CAPACITY.md`` explains the
calculation.
"""

from __future__ import annotations

import time

from bench import _control
from bench._costs import slope
from bench._measurement import Measurement
from lentiltally.clock import SystemClock
from lentiltally.platform.log_client import LogClient
from standins.log_service import LogStandIn

BOUND_PERCENT = 3.6
BOUND_BYTES_PER_S = 4_096
BOUND_MEMORY_MB = 64
ENTRIES_PER_REGION = 107
AGENTS_PER_REGION = 237
TARGETS_PER_REGION = 950
HEARTBEAT_INTERVAL_S = 10.0
HELLO_INTERVAL_S = 30.0
# 44% of 100,000 adapters become active or idle within an hour. An adapter that becomes
# active is loaded by one engine of one region, which unloads another adapter for it;
# this is one change of the engine's state.
STATE_CHANGES_PER_S = 0.44 * 100_000 / 3_600 / 2
CONFIG_POLL_S = 2.0
STREAM_POLL_S = 10.0
CHANGES_PER_S = 3_600 / 86_400
# One HTTP poll of the log that returns no records: request and response with headers.
POLL_BYTES = 420
POLLS = (100, 200, 400)
SINGLE_CHANGES = (20, 60, 180)


def run(seed: int) -> Measurement:
    """Measure the slopes; ``seed`` is only recorded, the work does not depend on it."""
    slopes = _slopes()
    sizes = _control.measure_encoded_sizes()
    heartbeats_per_s = AGENTS_PER_REGION / HEARTBEAT_INTERVAL_S
    entry_us = (
        STATE_CHANGES_PER_S * slopes["state_us"]
        + heartbeats_per_s * slopes["beat_us"]
        + slopes["poll_us"] * (1 / CONFIG_POLL_S + 2 / STREAM_POLL_S)
        + CHANGES_PER_S * slopes["change_us"]
    )
    entry_bytes = (
        STATE_CHANGES_PER_S * sizes["state_bytes"]
        + heartbeats_per_s * sizes["heartbeat_bytes"]
        + AGENTS_PER_REGION / HELLO_INTERVAL_S * sizes["hello_bytes"]
        + POLL_BYTES * (1 / CONFIG_POLL_S + 2 / STREAM_POLL_S)
        + CHANGES_PER_S * sizes["change_record_bytes"]
    )
    agent_bytes = (
        ENTRIES_PER_REGION
        * STATE_CHANGES_PER_S
        / AGENTS_PER_REGION
        * sizes["state_bytes"]
        + ENTRIES_PER_REGION / HEARTBEAT_INTERVAL_S * sizes["heartbeat_bytes"]
        + ENTRIES_PER_REGION / HELLO_INTERVAL_S * sizes["hello_bytes"]
        + POLL_BYTES * (1 / CONFIG_POLL_S + 3 / STREAM_POLL_S)
        + CHANGES_PER_S * sizes["change_record_bytes"]
    )
    entry_cpu_percent = entry_us / 1e4
    tables_mb = (
        100_000 * slopes["adapter_bytes"] + TARGETS_PER_REGION * slopes["target_bytes"]
    ) / 1e6
    holds = entry_cpu_percent <= BOUND_PERCENT and max(entry_bytes, agent_bytes) <= (
        BOUND_BYTES_PER_S
    )
    return Measurement(
        measure="capacity",
        seed=seed,
        baseline=None,
        value=entry_cpu_percent,
        bound=BOUND_PERCENT,
        holds=holds,
        unit="percent",
        fields={
            "entry_bytes_per_s": round(entry_bytes),
            "agent_bytes_per_s": round(agent_bytes),
            "bytes_per_s_bound": BOUND_BYTES_PER_S,
            "tables_mb": round(tables_mb, 1),
            **{name: round(value, 1) for name, value in slopes.items()},
            **sizes,
        },
    )


def _slopes() -> dict[str, float]:
    _control.largest_config_tree()
    return {
        "beat_us": _control.cpu_slope(_control.HEARTBEATS, _control.apply_heartbeats),
        "state_us": _control.cpu_slope(_control.TARGETS, _control.apply_states),
        "target_bytes": _control.memory_slope(_control.TARGETS, _control.apply_states),
        "adapter_bytes": _control.memory_slope(_control.ADAPTERS, _control.config_tree),
        "change_us": _control.cpu_slope(SINGLE_CHANGES, _control.apply_single_changes),
        "claim_us": _control.cpu_slope(_control.CLAIMS, _control.claim_table),
        "claim_bytes": _control.memory_slope(_control.CLAIMS, _control.claim_table),
        "poll_us": _poll_us(),
    }


def _poll_us() -> float:
    """Return the processor time of a log client for one read that returns no records.

    The log stand-in runs in the same process, so only the time of the calling thread
    counts.
    """
    log = LogStandIn()
    log.start()
    try:
        client = LogClient(log.url, 2.0, SystemClock())
        points = []
        for count in POLLS:
            started_s = time.thread_time()
            for _ in range(count):
                client.read("config", 0, 1000, 0)
            points.append((float(count), (time.thread_time() - started_s) * 1e6))
        return slope(points)
    finally:
        log.stop()
