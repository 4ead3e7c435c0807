"""The administration API."""

from __future__ import annotations
