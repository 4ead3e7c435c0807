"""The result of a measurement, printed as JSON on the last line of output."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure with its baseline and bound, and further figures by name.

    ``holds`` says whether all bounds hold, also those of the further figures.
    ``baseline`` is None where there is nothing to compare with.
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
        """Return the JSON object; further figures are keys at the same level."""
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
