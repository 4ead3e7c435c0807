"""The entry process."""

from __future__ import annotations
