"""The entry process: takes callers' requests and returns their answers."""

from __future__ import annotations

from lentiltally.entry.process import Entry, run

__all__ = ["Entry", "run"]
