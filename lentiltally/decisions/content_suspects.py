"""Refusal of requests that crash the targets that run them, by their whole content.

A request that was running on a target when the target terminated is a suspect. Callers
retry it under another id, so it is identified by a fingerprint of its content. Once it
is the suspect of several targets, it is refused, unless a request with the same
fingerprint has finished recently: if many callers send the same request, it is running
whenever a target terminates, whatever the cause.

A refused content is tried again, by one request at a time and at longer and longer
intervals. A trial counts as failed from its beginning, because its crash may never be
noticed: the entry that sent it may end, too. Only an answer ends the refusal.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field

__all__ = ["ContentRefusal", "ContentSuspects"]

# Operators accept the loss of up to three targets to one request; a retry may be under
# way when the second one ends.
CRASHES_BEFORE_REFUSAL = 2
# So many crashes speak against a content even if they are far apart, or if a part of
# its prompt explains them.
SUFFICIENT_CRASHES = 3
EVIDENCE_S = 60.0
# The wait before each trial; the last one repeats. A content that was refused by
# coincidence is served by its first trial.
TRIAL_WAITS_S = (60.0, 600.0, 86_400.0)
# The most by which entries spread their trials, as a share of the wait and, for
# refusals that they were told of, in seconds.
MAX_STAGGER = 1.0
ADOPTED_STAGGER_S = 5.0
FINISHED_S = 60.0
MAX_SUSPECTS = 2_000
MAX_CRASHES_OF_CONTENT = 16
# About 1 MB, and far more requests than an entry answers while a target restarts.
MAX_FINISHED = 8_000


@dataclass(frozen=True, slots=True)
class ContentRefusal:
    """A refused content, the time in s to its next trial, and its trials so far."""

    content: int
    left_s: float
    trials: int


@dataclass(slots=True)
class _Suspect:
    """Crashes of one content by target start, and its refusal, if it is refused."""

    crashes: OrderedDict[str, float] = field(default_factory=OrderedDict)
    refused_until_s: float = -math.inf
    trials: int = 0
    was_adopted: bool = False

    @property
    def is_refused(self) -> bool:
        return self.refused_until_s > -math.inf


class ContentSuspects:
    """Contents of requests, with the target starts that they may have crashed.

    A target start is one incarnation of a target: a target that restarted can crash
    again.
    """

    def __init__(self, stagger: float = 0.0) -> None:
        """Start without suspects; ``stagger`` from 0 to 1 differs between entries."""
        self._stagger = stagger
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        self._finished_at_s: OrderedDict[int, float] = OrderedDict()

    def record_crash(self, content: int, target_start: str, now_s: float) -> bool:
        """Note that a target terminated while it ran a request with the content.

        Return True if that was not known for this target start. A content that has
        finished recently is no suspect.
        """
        if self._has_finished(content, now_s):
            return False
        suspect = self._suspect(content)
        if target_start in suspect.crashes:
            return False
        suspect.crashes[target_start] = now_s
        if len(suspect.crashes) > MAX_CRASHES_OF_CONTENT:
            suspect.crashes.popitem(last=False)
        if suspect.is_refused or _is_enough(suspect.crashes, now_s):
            until_s = now_s + self._wait_s(suspect.trials)
            suspect.refused_until_s = max(suspect.refused_until_s, until_s)
        return True

    def is_suspect(self, content: int) -> bool:
        """Return whether a content may have crashed a target, or is refused."""
        return content in self._suspects

    def is_refused(self, content: int) -> bool:
        """Return whether a content is refused, also if its trial is due."""
        suspect = self._suspects.get(content)
        return suspect is not None and suspect.is_refused

    def finished(self, content: int, now_s: float) -> bool:
        """Clear the content of a request that has finished.

        Return whether it was refused, so that other entries must be told.
        """
        suspect = self._suspects.pop(content, None)
        self._finished_at_s[content] = now_s
        self._finished_at_s.move_to_end(content)
        while len(self._finished_at_s) > MAX_FINISHED:
            self._finished_at_s.popitem(last=False)
        return suspect is not None and suspect.is_refused

    def refused_for_s(
        self, content: int, now_s: float, explained: Set[str]
    ) -> float | None:
        """Return the time until a refused content is tried again, None if it is not.

        It is 0 or less once a trial is due. Crashes of ``explained`` target starts have
        another cause, which is refused.
        """
        suspect = self._suspects.get(content)
        if suspect is None or not self._counts(suspect, explained):
            return None
        return suspect.refused_until_s - now_s

    def begin_trial(self, content: int, now_s: float, explained: Set[str]) -> bool:
        """Return whether a request with a refused content may try it now.

        All others are refused until the next trial.
        """
        left_s = self.refused_for_s(content, now_s, explained)
        if left_s is None or left_s > 0.0:
            return False
        suspect = self._suspects[content]
        suspect.trials += 1
        suspect.refused_until_s = now_s + self._wait_s(suspect.trials)
        return True

    def refusals(self, now_s: float, explained: Set[str]) -> list[ContentRefusal]:
        """Return the refused contents, the last suspected first."""
        return [
            ContentRefusal(content, max(0.0, s.refused_until_s - now_s), s.trials)
            for content, s in reversed(self._suspects.items())
            if self._counts(s, explained)
        ]

    def adopt(
        self, refusals: Iterable[ContentRefusal], now_s: float
    ) -> tuple[list[int], list[int]]:
        """Refuse contents that another entry refuses, as ``refusals`` returned them.

        No time is adopted that is longer than an entry would choose. Return the
        contents refused from now on, and those that have finished here lately.
        """
        adopted, refuted = [], []
        for told in refusals:
            if self._has_finished(told.content, now_s):
                refuted.append(told.content)
                continue
            suspect = self._suspect(told.content)
            if not suspect.is_refused:
                adopted.append(told.content)
                suspect.was_adopted = True
            elif told.trials <= suspect.trials:
                continue
            suspect.trials = max(0, min(told.trials, len(TRIAL_WAITS_S)))
            left_s = min(told.left_s, (1.0 + MAX_STAGGER) * _wait_s(suspect.trials))
            until_s = now_s + left_s + ADOPTED_STAGGER_S * self._stagger
            suspect.refused_until_s = max(suspect.refused_until_s, until_s)
        return adopted, refuted

    def clear(self, contents: Iterable[int]) -> list[int]:
        """Clear contents that finished at another entry; return those refused."""
        return [
            content
            for content in contents
            if (suspect := self._suspects.pop(content, None)) and suspect.is_refused
        ]

    def _suspect(self, content: int) -> _Suspect:
        suspect = self._suspects.setdefault(content, _Suspect())
        self._suspects.move_to_end(content)
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[self._least_suspected()]
        return suspect

    def _least_suspected(self) -> int:
        """Return the content to forget: the oldest that is not refused, if any."""
        oldest = next(iter(self._suspects))
        contents = (c for c, s in self._suspects.items() if not s.is_refused)
        return next(contents, oldest)

    def _has_finished(self, content: int, now_s: float) -> bool:
        return now_s - self._finished_at_s.get(content, -math.inf) < FINISHED_S

    def _wait_s(self, trials: int) -> float:
        return _wait_s(trials) * (1.0 + self._stagger)

    @staticmethod
    def _counts(suspect: _Suspect, explained: Set[str]) -> bool:
        """Return whether a suspect is refused, and by evidence that still counts."""
        if not suspect.is_refused:
            return False
        starts = suspect.crashes.keys()
        if suspect.was_adopted or len(starts) >= SUFFICIENT_CRASHES:
            return True
        return len(starts - explained) >= CRASHES_BEFORE_REFUSAL


def _is_enough(crashes: Mapping[str, float], now_s: float) -> bool:
    """Return whether the crashes, by target start, suffice to refuse a content."""
    recent = sum(now_s - at_s < EVIDENCE_S for at_s in crashes.values())
    return recent >= CRASHES_BEFORE_REFUSAL or len(crashes) >= SUFFICIENT_CRASHES


def _wait_s(trials: int) -> float:
    return TRIAL_WAITS_S[min(trials, len(TRIAL_WAITS_S) - 1)]
