"""Processor time, memory and threads of a process, and least-squares slopes."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024


def cpu_s(pid: int) -> float:
    """Return the processor time of a process, user and system, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    # The second field is the command name in parentheses, which may contain spaces.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process, in bytes."""
    return _status_field(pid, "VmRSS") * KIB


def threads(pid: int) -> int:
    """Return the number of threads of a process."""
    return _status_field(pid, "Threads")


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of y over x, for at least two different x."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


def _status_field(pid: int, name: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise ValueError(f"no field {name} in /proc/{pid}/status")
