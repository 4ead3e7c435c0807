"""A mechanism, what switches it off, and the scenario that must then fail."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Mutation"]


@dataclass(frozen=True, slots=True)
class Mutation:
    """A mechanism, the edit that switches it off, and the scenario that must then fail.

    ``module`` is relative to ``lentiltally``; its text ``before`` is replaced by
    ``after``. ``feature`` is relative to ``tests`` and has no suffix, ``scenario`` is a
    part of a scenario's title.
    """

    mechanism: str
    module: str
    before: str
    after: str
    feature: str
    scenario: str
