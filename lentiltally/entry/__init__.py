"""The entry process, which receives callers' requests and returns the answers."""

from __future__ import annotations

from lentiltally.entry.process import Entry, run

__all__ = ["Entry", "run"]
