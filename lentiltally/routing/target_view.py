"""Converts the state reports of agents for placement."""

from __future__ import annotations

from lentiltally.decisions.placement import TargetView
from lentiltally.wire import TargetState

__all__ = ["placement_view"]


def placement_view(state: TargetState, now_s: float) -> TargetView:
    """Return the placement view of a target, with counts as of ``now_s``."""
    return TargetView(
        name=state.target,
        failure_domain=state.failure_domain,
        # Placement groups targets by base model; a plain service is a group of its own.
        base_model=state.base_model or f"service:{state.target}",
        agent=state.agent,
        batch_places=state.batch_places,
        adapter_slots=state.adapter_slots,
        queued=state.counts.queued,
        running=state.counts.running,
        resident=frozenset(state.resident),
        reported_at_s=now_s,
        free_slots=state.counts.free_slots,
    )
