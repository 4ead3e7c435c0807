"""The agent process."""

from __future__ import annotations
