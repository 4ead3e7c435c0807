"""The result of a measurement, as printed on the last line."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure with its baseline and bound, and further named figures.

    ``holds`` covers the bounds of the further figures too. ``baseline`` is None where
    a measurement has nothing to compare with.
    """

    measure: str
    seed: int
    baseline: float | None
    value: float
    bound: float
    holds: bool
    unit: str
    fields: dict[str, object] = field(default_factory=dict)

    def to_dict(self) -> dict[str, object]:
        """Return the JSON object, with the further figures beside the fixed ones."""
        return {
            "measure": self.measure,
            "seed": self.seed,
            "baseline": self.baseline,
            "value": self.value,
            "bound": self.bound,
            "holds": self.holds,
            "unit": self.unit,
            **self.fields,
        }
