"""Serving layer for very many LoRA adapters."""

from __future__ import annotations

from lentiltally.errors import LentiltallyError

__version__ = "0.1.0"

__all__ = ["LentiltallyError", "__version__"]
