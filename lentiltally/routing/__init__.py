"""State and I/O of an entry's request pipeline: targets, attempts and claims."""

from __future__ import annotations
