"""Decision code without I/O, threads or a clock of its own."""

from __future__ import annotations
