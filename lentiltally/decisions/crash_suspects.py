"""Refusal of requests that crash the targets that run them.

A request that was running on a target when the target terminated is a suspect, by its
whole content (``content_suspects``) and by the parts of its prompt.

A part of a prompt may crash targets in requests that have nothing else in common, and
at any event of an answer. So the parts that requests share are suspects, too, until a
target has written a whole answer and run on. A part is refused after several crashes,
and crashes that one refused part explains do not count against other parts or contents.

docs/design/crash-suspects.md has a table of what counts as evidence.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from lentiltally.decisions.content_suspects import ContentRefusal, ContentSuspects
from lentiltally.decisions.crash_traits import RequestTraits
from lentiltally.decisions.part_evidence import (
    EvidenceChange,
    PartCrashes,
    PartEvidence,
)

__all__ = ["CrashSuspects", "PartChanges"]

# Many requests have the same part, so it takes more evidence than one content, and of
# different requests: each of them could crash targets by something else.
PART_CRASHES_BEFORE_REFUSAL = 3
CONTENTS_BEFORE_REFUSAL = 2
# A failure of hosts or of their power ends many targets at one moment, which counts
# once. Agents tell of an end within this time; if they end with their hosts, the list
# of targets tells of each end separately.
MOMENT_S = 0.1
# A part that was in a whole answer lately is hardly the cause. It is refused only if no
# answer with it has ended between crashes that are far apart.
ANSWERED_PART_CRASHES = 5
ANSWERED_PART_MOMENT_S = 1.0
ANSWERED_PART_REFUSAL_S = 5.0
REFUSAL_S = 60.0
MAX_REFUSAL_S = 600.0
MAX_STAGGER = 1.0
# Time for the answer to a request that is let through after a refusal.
TRIAL_S = 10.0
# Of parts that were in the same crashes only one is the cause. A request that lacks one
# of them is let through soon, because its answer or its crash tells them apart.
TIED_TRIAL_S = 1.0
MAX_SUSPECTS = 2_000
# About 1 MB, and far more requests than an entry answers while a target restarts.
MAX_FINISHED = 8_000


@dataclass(frozen=True, slots=True)
class PartChanges:
    """Parts that are refused from now on, and parts that no longer are."""

    refused: tuple[int, ...] = ()
    released: tuple[int, ...] = ()


@dataclass(slots=True)
class _PartRefusal:
    """A refused part; one request is let through after ``until_s``.

    ``is_on_trial`` says that this has happened since the last crash. ``tied`` are the
    parts that were in the same crashes, with this one; a request that lacks one of them
    is let through after ``tied_until_s``.
    """

    until_s: float
    wait_s: float
    tied_until_s: float
    tied: frozenset[int] = frozenset()
    is_on_trial: bool = False


class CrashSuspects:
    """Contents and prompt parts, with the target starts that they may have crashed.

    A target start is one incarnation of a target: a target that restarted can crash
    again. ``contents`` are the suspects by whole content.
    """

    def __init__(self, stagger: float = 0.0) -> None:
        """Start without suspects.

        ``stagger`` from 0 to 1 differs between entries, so that they don't all let a
        refused part through at the same time.
        """
        self.contents = ContentSuspects(stagger)
        self._stagger = stagger
        self._parts = PartEvidence()
        self._answered_at_s: OrderedDict[int, float] = OrderedDict()
        self._refused: OrderedDict[int, _PartRefusal] = OrderedDict()

    @property
    def suspected_parts(self) -> int:
        """Return how many parts were in crashes since their last answer."""
        return len(self._parts)

    @property
    def refused_parts(self) -> int:
        """Return how many parts are refused, with those whose trial is due."""
        return len(self._refused)

    def record_crash(
        self, traits: RequestTraits, target_start: str, now_s: float
    ) -> bool:
        """Note that a target terminated while it ran the request.

        Return True if that was not known for this target start. A content that has
        finished recently is no suspect.
        """
        is_new = self.contents.record_crash(traits.content, target_start, now_s)
        for part in traits.parts:
            change = self._parts.record(part, traits.content, target_start, now_s)
            if change is EvidenceChange.NEW_START:
                self._renew_refusal(part, now_s)
            is_new |= change is not EvidenceChange.NONE
        return is_new

    def judge_parts(self, now_s: float) -> PartChanges:
        """Refuse the parts that best explain the crashes, and release the others."""
        # One crash is not enough to refuse a part.
        starts = {
            part: self._recent_starts(crashes, now_s)
            for part, crashes in self._parts.repeated()
        }
        causes, explained = self._causes(starts, now_s)
        refused = [part for part in causes if part not in self._refused]
        for part in refused:
            was_answered = self._was_answered(part, now_s)
            wait_s = ANSWERED_PART_REFUSAL_S if was_answered else REFUSAL_S
            until_s = now_s + self._staggered(wait_s)
            tied_until_s = now_s + self._staggered(TIED_TRIAL_S)
            self._refused[part] = _PartRefusal(until_s, wait_s, tied_until_s)
        for part, tied in causes.items():
            self._refused[part].tied = tied
        while len(self._refused) > MAX_SUSPECTS:
            self._refused.popitem(last=False)
        released = [
            part
            for part in self._refused
            if part not in causes
            and (crashes := self._parts.get(part)) is not None
            and (recent := self._recent_starts(crashes, now_s))
            and recent <= explained
        ]
        for part in released:
            del self._refused[part]
        return PartChanges(tuple(refused), tuple(released))

    def parts_answered(self, parts: Iterable[int], now_s: float) -> list[int]:
        """Clear the parts of an answer that has ended; return those suspected before.

        If other entries suspect them too, they must be told.
        """
        cleared = []
        for part in parts:
            self._answered_at_s[part] = now_s
            self._answered_at_s.move_to_end(part)
            was_suspect = self._parts.forget(part)
            was_refused = self._refused.pop(part, None) is not None
            if was_suspect or was_refused:
                cleared.append(part)
        while len(self._answered_at_s) > MAX_FINISHED:
            self._answered_at_s.popitem(last=False)
        return cleared

    def refusals(self, now_s: float) -> list[tuple[int, float, float]]:
        """Return refused parts, the time to their trial and the wait before it, in s.

        Those whose trial is due are left out.
        """
        return [
            (part, refusal.until_s - now_s, refusal.wait_s)
            for part, refusal in self._refused.items()
            if refusal.until_s > now_s
        ]

    def adopt_refusals(
        self, refusals: Iterable[tuple[int, float, float]], now_s: float
    ) -> tuple[list[int], list[int]]:
        """Refuse parts that another entry refuses, as ``refusals`` returned them.

        No time is adopted that is longer than an entry would choose. Return the parts
        refused from now on, and those that were in an answer lately, which the other
        entry does not know.
        """
        adopted, refuted = [], []
        for part, told_left_s, told_wait_s in refusals:
            left_s = min(told_left_s, MAX_REFUSAL_S * (1.0 + MAX_STAGGER))
            wait_s = min(told_wait_s, MAX_REFUSAL_S)
            if self._was_answered(part, now_s):
                refuted.append(part)
            elif part not in self._refused and len(self._refused) < MAX_SUSPECTS:
                tied_until_s = now_s + self._staggered(TIED_TRIAL_S)
                self._refused[part] = _PartRefusal(now_s + left_s, wait_s, tied_until_s)
                adopted.append(part)
        return adopted, refuted

    def are_any_refused(self, parts: Iterable[int]) -> bool:
        """Return whether one of the parts is refused, also if its trial is due."""
        return not self._refused.keys().isdisjoint(parts)

    def content_refused_for_s(self, content: int, now_s: float) -> float | None:
        """Return the time until a refused content is tried again, None if it is not.

        It is 0 or less once a trial is due.
        """
        if not self.contents.is_suspect(content):
            return None
        return self.contents.refused_for_s(content, now_s, self.explained_starts())

    def begin_content_trial(self, content: int, now_s: float) -> bool:
        """Return whether one request may try a refused content now."""
        if not self.contents.is_suspect(content):
            return False
        return self.contents.begin_trial(content, now_s, self.explained_starts())

    def content_refusals(self, now_s: float) -> list[ContentRefusal]:
        """Return the refused contents, the last suspected first."""
        return self.contents.refusals(now_s, self.explained_starts())

    def explained_starts(self) -> set[str]:
        """Return the crashes that refused parts explain."""
        return {
            start
            for part in self._refused
            if (crashes := self._parts.get(part)) is not None
            for start in crashes.at_s
        }

    def refused_part(
        self, parts: Iterable[int], now_s: float, on_trial: Collection[int] = ()
    ) -> tuple[int, float] | None:
        """Return a refused part and the time until it is tried again, None if none is.

        Parts ``on_trial`` are let through.
        """
        for part in parts:
            refusal = self._refused.get(part)
            if refusal is not None and part not in on_trial and now_s < refusal.until_s:
                return part, refusal.until_s - now_s
        return None

    def begin_trials(self, parts: Iterable[int], now_s: float) -> list[int]:
        """Return the refused parts that one request may try now, all or none.

        Others are refused until the trial has had time for an answer.
        """
        refused = [part for part in parts if part in self._refused]
        if not all(self._is_trial_due(part, refused, now_s) for part in refused):
            return []
        self.trials_begun(refused, now_s)
        return refused

    def trials_begun(self, parts: Iterable[int], now_s: float) -> None:
        """Note that an entry lets a request with refused parts through."""
        for part in parts:
            refusal = self._refused.get(part)
            if refusal is not None:
                refusal.is_on_trial = True
                until_s = now_s + self._staggered(TRIAL_S)
                refusal.until_s = max(refusal.until_s, until_s)
                refusal.tied_until_s = now_s + self._staggered(TIED_TRIAL_S)

    def _is_trial_due(self, part: int, refused: Collection[int], now_s: float) -> bool:
        """Return whether a request with the ``refused`` parts may try this one."""
        refusal = self._refused[part]
        if now_s >= refusal.until_s:
            return True
        others = refusal.tied.difference(refused)
        is_cause_open = not others.isdisjoint(self._refused)
        return is_cause_open and now_s >= refusal.tied_until_s

    def _renew_refusal(self, part: int, now_s: float) -> None:
        """Refuse a part for longer, if a request that was let through has crashed."""
        refusal = self._refused.get(part)
        if refusal is None:
            return
        if refusal.is_on_trial:
            refusal.is_on_trial = False
            refusal.wait_s = min(MAX_REFUSAL_S, 2 * refusal.wait_s)
        until_s = now_s + self._staggered(refusal.wait_s)
        refusal.until_s = max(refusal.until_s, until_s)
        refusal.tied_until_s = now_s + self._staggered(TIED_TRIAL_S)

    def _staggered(self, wait_s: float) -> float:
        return wait_s * (1.0 + self._stagger)

    @staticmethod
    def _recent_starts(crashes: PartCrashes, now_s: float) -> set[str]:
        times = crashes.at_s.items()
        return {start for start, at_s in times if now_s - at_s < REFUSAL_S}

    def _causes(
        self, starts: dict[int, set[str]], now_s: float
    ) -> tuple[dict[int, frozenset[int]], set[str]]:
        """Return the fewest parts that explain the crashes, and what they explain.

        Each part has those that explain the same, with itself.
        The part with most crashes that no other part explains comes first. Parts that
        were in an answer lately come last. Parts with the same crashes can't be told
        apart, so all of them are causes until there is more evidence.
        """
        causes: dict[int, frozenset[int]] = {}
        explained: set[str] = set()
        while True:
            ranked = [
                ((not self._was_answered(part, now_s), len(left)), part, left)
                for part, recent in starts.items()
                if (left := recent - explained) and self._is_enough(part, left, now_s)
            ]
            if not ranked:
                return causes, explained
            best, _, most = max(ranked, key=lambda entry: entry[0])
            tied = frozenset(
                part for rank, part, left in ranked if rank == best and left == most
            )
            causes.update(dict.fromkeys(tied, tied))
            explained |= most

    def _is_enough(self, part: int, starts: set[str], now_s: float) -> bool:
        """Return whether the crashes suffice to refuse the part."""
        if self._was_answered(part, now_s):
            required, apart_s = ANSWERED_PART_CRASHES, ANSWERED_PART_MOMENT_S
        else:
            required, apart_s = PART_CRASHES_BEFORE_REFUSAL, MOMENT_S
        crashes = self._parts.get(part)
        if crashes is None or len(starts) < required:
            return False
        if len(crashes.contents) < CONTENTS_BEFORE_REFUSAL:
            return False
        moments, last_s = 0, -math.inf
        for at_s in sorted(crashes.at_s[start] for start in starts):
            if at_s - last_s >= apart_s:
                moments, last_s = moments + 1, at_s
        return moments >= required

    def _was_answered(self, part: int, now_s: float) -> bool:
        return now_s - self._answered_at_s.get(part, -math.inf) < REFUSAL_S
