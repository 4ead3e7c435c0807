"""The state and I/O behind an entry's pipeline: targets, attempts, claims."""

from __future__ import annotations
