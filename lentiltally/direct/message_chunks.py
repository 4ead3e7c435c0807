"""Divides what is to be told among messages that hold a limited number of items."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TypeVar

__all__ = ["chunks"]

_T = TypeVar("_T")


def chunks(items: Sequence[_T], size: int) -> Iterator[tuple[_T, ...]]:
    """Return the items in their order, at most ``size`` at a time."""
    return (tuple(items[n : n + size]) for n in range(0, len(items), size))
