"""Decision logic without I/O, threads or a clock; callers pass the time."""

from __future__ import annotations
