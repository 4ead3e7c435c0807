"""Process settings."""

from __future__ import annotations
