"""Which requests were running on a target when it ended.

A lost connection alone is no sign of a crash: targets also reset connections that they
do not want. It is one if the same start of the target has ended, which an entry may
learn before or after the loss. A start of a target is one of its runs, named by the
target's id and the time at which it started, so that all entries mean the same one.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["TargetCrashes", "start_name"]

# The list of targets keeps a target that has crashed for a few seconds, and for longer
# while the store is away.
LOSS_RETENTION_S = 15.0
# A connection to a target that has ended is lost within this time, also if the target's
# host does not answer any more.
LATE_LOSS_S = 5.0
# Each entry has far fewer open requests, and each host far fewer starts within the time
# above.
MAX_LOSSES = 2_000
MAX_ENDED_STARTS = 1_000

Lost = TypeVar("Lost")


def start_name(target_id: str, started_ms: int) -> str:
    """Return the name of a start of a target, the same at all entries."""
    return f"{target_id}@{started_ms}"


@dataclass(frozen=True, slots=True)
class _Loss(Generic[Lost]):
    started_ms: int
    request: Lost
    at_s: float


class TargetCrashes(Generic[Lost]):
    """Matches lost connections with ended starts of targets."""

    def __init__(self) -> None:
        """Start without losses."""
        self._losses: OrderedDict[str, list[_Loss[Lost]]] = OrderedDict()
        self._count = 0
        # The last start in ms that is known to have ended, and when it became known.
        self._ended: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def connection_lost(
        self, target_id: str, started_ms: int, request: Lost, now_s: float
    ) -> bool:
        """Note a request whose connection was lost.

        Return whether its start has ended already, so that the request is a suspect.
        """
        ended = self._ended.get(target_id)
        if ended is not None and self.has_ended(target_id, started_ms):
            return now_s - ended[1] < LATE_LOSS_S
        losses = self._losses.setdefault(target_id, [])
        self._losses.move_to_end(target_id)
        losses.append(_Loss(started_ms, request, now_s))
        self._count += 1
        while self._count > MAX_LOSSES:
            _, dropped = self._losses.popitem(last=False)
            self._count -= len(dropped)
        return False

    def has_losses(self, target_id: str) -> bool:
        """Return whether a connection to the target was lost and not matched yet."""
        return target_id in self._losses

    def has_ended(self, target_id: str, started_ms: int) -> bool:
        """Return whether a start is known to have ended."""
        return started_ms <= self._ended.get(target_id, (-1, 0.0))[0]

    def ended(
        self, target_id: str, started_ms: int, now_s: float
    ) -> list[tuple[str, Lost]]:
        """Note that the starts up to ``started_ms`` have ended.

        Return the requests whose connections to them were lost shortly before, each
        with the name of the start.
        """
        if not self.has_ended(target_id, started_ms):
            self._ended[target_id] = started_ms, now_s
            self._ended.move_to_end(target_id)
            while len(self._ended) > MAX_ENDED_STARTS:
                self._ended.popitem(last=False)
        losses = self._losses.pop(target_id, [])
        kept = [loss for loss in losses if loss.started_ms > started_ms]
        if kept:
            self._losses[target_id] = kept
        self._count -= len(losses) - len(kept)
        return [
            (start_name(target_id, loss.started_ms), loss.request)
            for loss in losses
            if loss.started_ms <= started_ms and now_s - loss.at_s < LOSS_RETENTION_S
        ]
