"""Answers that have just ended, until their targets have shown that they run on.

A target may terminate because of a request whose answer it has just completed. So an
answer clears its request only some time after its end, and counts against the request
if the target terminates before.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["SURVIVAL_S", "RecentAnswers"]

# An agent reads its engine's report every 0.1 s, and tells of its end at once.
SURVIVAL_S = 0.3
# Far more answers than an entry gives within that time.
MAX_ANSWERS = 2_000

Answered = TypeVar("Answered")


@dataclass(frozen=True, slots=True)
class _Answer(Generic[Answered]):
    target_id: str
    started_ms: int
    request: Answered
    is_proof: bool
    at_s: float


class RecentAnswers(Generic[Answered]):
    """Requests whose answers ended within the last moment, in their order."""

    def __init__(self) -> None:
        """Start without answers."""
        self._answers: deque[_Answer[Answered]] = deque(maxlen=MAX_ANSWERS)

    @property
    def is_pending(self) -> bool:
        """Return whether there are answers whose targets may still end."""
        return bool(self._answers)

    def answered(
        self,
        target_id: str,
        started_ms: int,
        request: Answered,
        now_s: float,
        *,
        is_proof: bool,
    ) -> None:
        """Note the end of an answer of one start of a target.

        ``is_proof`` says that the target wrote all of it, so that the request does not
        crash targets if this one runs on.
        """
        answer = _Answer(target_id, started_ms, request, is_proof, now_s)
        self._answers.append(answer)

    def ended(self, target_id: str, started_ms: int) -> list[tuple[int, Answered]]:
        """Return the requests that starts up to ``started_ms`` have just answered.

        Each has its start in ms. These starts have ended, so the answers prove nothing.
        """
        kept: list[_Answer[Answered]] = []
        found: list[tuple[int, Answered]] = []
        for answer in self._answers:
            if answer.target_id == target_id and answer.started_ms <= started_ms:
                found.append((answer.started_ms, answer.request))
            else:
                kept.append(answer)
        if found:
            self._answers = deque(kept, MAX_ANSWERS)
        return found

    def survived(self, now_s: float) -> list[Answered]:
        """Return the requests whose targets have run on; each is returned once."""
        proven: list[Answered] = []
        while self._answers and now_s - self._answers[0].at_s >= SURVIVAL_S:
            answer = self._answers.popleft()
            if answer.is_proof:
                proven.append(answer.request)
        return proven
