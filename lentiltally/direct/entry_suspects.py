"""What one entry knows of requests that crash targets, and what it tells of them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from itertools import islice

from lentiltally.clock import Clock
from lentiltally.decisions.content_suspects import ContentRefusal
from lentiltally.decisions.crash_suspects import CrashSuspects
from lentiltally.decisions.crash_traits import (
    MAX_LOGGED_PARTS,
    RequestTraits,
    fingerprint_texts,
)
from lentiltally.decisions.recent_answers import RecentAnswers
from lentiltally.decisions.target_crashes import TargetCrashes, start_name
from lentiltally.decisions.target_directory import TargetDirectory
from lentiltally.direct.messages import CrashReport
from lentiltally.direct.model import TargetRecord, TargetStage

__all__ = ["EntrySuspects"]

_log = logging.getLogger(__name__)


class EntrySuspects:
    """Matches lost requests with ended targets, and records and refuses suspects.

    The callbacks tell other entries what is new here.
    """

    def __init__(
        self, directory: TargetDirectory, clock: Clock, stagger: float
    ) -> None:
        """Start without suspects; ``stagger`` from 0 to 1 differs between entries."""
        self.decisions = CrashSuspects(stagger)
        self.on_suspect: Callable[[str, RequestTraits], None] = _do_nothing
        self.on_parts_cleared: Callable[[list[int]], None] = _do_nothing
        self.on_trial: Callable[[list[int]], None] = _do_nothing
        self.on_content_refused: Callable[[], None] = _do_nothing
        self.on_contents_cleared: Callable[[list[int]], None] = _do_nothing
        self._directory = directory
        self._clock = clock
        self._crashes: TargetCrashes[RequestTraits] = TargetCrashes()
        self._answers: RecentAnswers[RequestTraits] = RecentAnswers()

    def has_ended(self, target_id: str, started_ms: int) -> bool:
        """Return whether a start of a target is known to have ended."""
        return self._crashes.has_ended(target_id, started_ms)

    def has_losses(self, target_id: str) -> bool:
        """Return whether a connection to a target was lost and not matched yet."""
        return self._crashes.has_losses(target_id)

    def connection_lost(self, record: TargetRecord, traits: RequestTraits) -> None:
        """Note a request whose connection was lost; its target may have crashed."""
        if self._is_draining(record.target_id):
            return
        now_s = self._clock.monotonic_s()
        if self._crashes.connection_lost(
            record.target_id, record.started_ms, traits, now_s
        ):
            start = start_name(record.target_id, record.started_ms)
            self._record_suspects([(start, traits)])

    def attempt_abandoned(self, record: TargetRecord, traits: RequestTraits) -> None:
        """Note a request that its target may still have been running.

        Its caller has left, or it took too long. Should the target end, it is a
        suspect.
        """
        self.connection_lost(record, traits)

    def answered(
        self, record: TargetRecord, traits: RequestTraits, *, is_proof: bool
    ) -> None:
        """Note that a target has completed its answer to a request.

        If ``is_proof``, the target wrote all of it. This clears the content, since a
        request that crashes each target which runs it gets no whole answer, and the
        parts of the prompt once the target has run on.
        """
        if is_proof:
            self.request_finished(traits.content)
        if traits.parts:
            self._answers.answered(
                record.target_id,
                record.started_ms,
                traits,
                self._clock.monotonic_s(),
                is_proof=is_proof,
            )

    def tick(self) -> None:
        """Clear the prompt parts whose targets have run on after their answers."""
        for traits in self._answers.survived(self._clock.monotonic_s()):
            self.answer_survived(traits.parts)

    def target_ended(
        self,
        target_id: str,
        started_ms: int,
        reason: str,
        *,
        was_draining: bool = False,
    ) -> None:
        """Note that the starts of a target up to ``started_ms`` have ended.

        Requests whose connections to it were lost shortly before become crash suspects,
        and the prompt parts of those that it has just answered, unless it was draining:
        such a target may end its connections.
        """
        now_s = self._clock.monotonic_s()
        lost = self._crashes.ended(target_id, started_ms, now_s)
        lost += [
            (start_name(target_id, answered_ms), traits.without_content())
            for answered_ms, traits in self._answers.ended(target_id, started_ms)
        ]
        if was_draining or self._is_draining(target_id):
            lost = []
        new = self._record_suspects(lost)
        _log.info(
            "target removed or restarted",
            extra={
                "target": target_id,
                "started_ms": started_ms,
                "reason": reason,
                "suspects": fingerprint_texts(traits.content for traits in new),
                "parts": _part_texts(new),
            },
        )

    def crash_reported(self, report: CrashReport) -> None:
        """Record the suspects that another entry has reported."""
        now_s = self._clock.monotonic_s()
        new = [
            traits
            for content, *parts in report.requests
            if self._record_crash(
                traits := RequestTraits(content, tuple(parts)),
                report.target_start,
                now_s,
            )
        ]
        if new:
            _log.info(
                "crash suspects reported",
                extra={
                    "start": report.target_start,
                    "suspects": fingerprint_texts(t.content for t in new),
                    "parts": _part_texts(new),
                },
            )
            self._judge_parts()

    def content_refused_for_s(self, content: int) -> float | None:
        """Return the time until a refused content is tried again, None if it is not."""
        return self.decisions.content_refused_for_s(content, self._clock.monotonic_s())

    def begin_content_trial(self, content: int) -> bool:
        """Return whether one request may try a refused content now."""
        is_due = self.decisions.begin_content_trial(content, self._clock.monotonic_s())
        if is_due:
            _log.info("request content tried again", extra=_suspects_field([content]))
            self.on_content_refused()
        return is_due

    def request_finished(self, content: int) -> None:
        """Clear the content of a request that has finished."""
        if self.decisions.contents.finished(content, self._clock.monotonic_s()):
            self._log_contents_released([content], "answered")
            self.on_contents_cleared([content])

    def refused_contents(self) -> list[ContentRefusal]:
        """Return the refused contents, the last suspected first."""
        return self.decisions.content_refusals(self._clock.monotonic_s())

    def contents_refused_elsewhere(self, refusals: list[ContentRefusal]) -> None:
        """Refuse what another entry refuses, unless it has finished here lately."""
        now_s = self._clock.monotonic_s()
        adopted, refuted = self.decisions.contents.adopt(refusals, now_s)
        if adopted:
            self._log_content_refused(adopted, "another entry refuses it")
        if refuted:
            self.on_contents_cleared(refuted)

    def contents_cleared(self, contents: tuple[int, ...]) -> None:
        """Clear contents that have finished at another entry."""
        released = self.decisions.contents.clear(contents)
        if released:
            self._log_contents_released(released, "answered at another entry")

    def refused_part(
        self, parts: Iterable[int], on_trial: list[int]
    ) -> tuple[int, float] | None:
        """Return a refused part and for how long, as ``CrashSuspects`` does."""
        return self.decisions.refused_part(parts, self._clock.monotonic_s(), on_trial)

    def trials_begun(self, parts: tuple[int, ...]) -> None:
        """Note that another entry lets a request with refused parts through."""
        self.decisions.trials_begun(parts, self._clock.monotonic_s())

    def answer_survived(self, parts: tuple[int, ...]) -> None:
        """Clear the prompt parts of an answer after which its target has run on."""
        cleared = self._clear_parts(parts, "answered")
        if cleared:
            self.on_parts_cleared(cleared)

    def parts_cleared(self, parts: tuple[int, ...]) -> None:
        """Clear the prompt parts of an answer that another entry's target survived."""
        self._clear_parts(parts, "answered at another entry")

    def begin_trials(self, parts: tuple[int, ...]) -> list[int]:
        """Return the refused parts that a request may try now, and announce them."""
        on_trial = self.decisions.begin_trials(parts, self._clock.monotonic_s())
        if on_trial:
            _log.info(
                "prompt part tried again", extra={"parts": fingerprint_texts(on_trial)}
            )
            self.on_trial(on_trial)
        return on_trial

    def refused_parts(self) -> list[tuple[int, float, float]]:
        """Return the refused parts, as ``CrashSuspects.refusals`` does."""
        return self.decisions.refusals(self._clock.monotonic_s())

    def parts_refused_elsewhere(self, refusals: list[tuple[int, float, float]]) -> None:
        """Refuse the parts that another entry refuses, unless answered lately here."""
        adopted, refuted = self.decisions.adopt_refusals(
            refusals, self._clock.monotonic_s()
        )
        if adopted:
            self._log_refused(adopted, "another entry refuses it")
        if refuted:
            self.on_parts_cleared(refuted)

    def _clear_parts(self, parts: tuple[int, ...], reason: str) -> list[int]:
        released = [p for p in parts if self.decisions.are_any_refused((p,))]
        cleared = self.decisions.parts_answered(parts, self._clock.monotonic_s())
        if released:
            self._log_released(released, reason)
        return cleared

    def _judge_parts(self) -> None:
        """Refuse the prompt parts that explain the crashes known so far."""
        changes = self.decisions.judge_parts(self._clock.monotonic_s())
        if changes.refused:
            self._log_refused(
                changes.refused, "targets ended while they answered with it"
            )
        if changes.released:
            self._log_released(changes.released, "another part explains the crashes")

    @staticmethod
    def _log_refused(parts: Iterable[int], reason: str) -> None:
        _log.warning(
            "prompt part refused",
            extra={"parts": fingerprint_texts(parts), "reason": reason},
        )

    @staticmethod
    def _log_released(parts: Iterable[int], reason: str) -> None:
        _log.info(
            "prompt part no longer refused",
            extra={"parts": fingerprint_texts(parts), "reason": reason},
        )

    def _record_suspects(
        self, lost: list[tuple[str, RequestTraits]]
    ) -> list[RequestTraits]:
        """Record suspects by start, and return those that were not known."""
        now_s = self._clock.monotonic_s()
        new = []
        for start, traits in lost:
            if self._record_crash(traits, start, now_s):
                new.append(traits)
                self.on_suspect(start, traits)
        if new:
            self._judge_parts()
        return new

    def _record_crash(self, traits: RequestTraits, start: str, now_s: float) -> bool:
        """Record a suspect; return whether it was not known for this target start."""
        was_refused = self.decisions.contents.is_refused(traits.content)
        is_new = self.decisions.record_crash(traits, start, now_s)
        if not was_refused and self.decisions.contents.is_refused(traits.content):
            self._log_content_refused(
                [traits.content], "targets ended while they ran it"
            )
            self.on_content_refused()
        return is_new

    @staticmethod
    def _log_content_refused(contents: Iterable[int], reason: str) -> None:
        extra = {**_suspects_field(contents), "reason": reason}
        _log.warning("request content refused", extra=extra)

    @staticmethod
    def _log_contents_released(contents: Iterable[int], reason: str) -> None:
        extra = {**_suspects_field(contents), "reason": reason}
        _log.info("request content no longer refused", extra=extra)

    def _is_draining(self, target_id: str) -> bool:
        record = self._directory.get(target_id)
        return record is not None and record.stage is TargetStage.DRAINING


def _part_texts(suspects: Iterable[RequestTraits]) -> list[str]:
    """Return the parts of suspects for a log line, the first ones of many."""
    parts = dict.fromkeys(part for traits in suspects for part in traits.parts)
    return fingerprint_texts(islice(parts, MAX_LOGGED_PARTS))


def _suspects_field(contents: Iterable[int]) -> dict[str, object]:
    return {"suspects": fingerprint_texts(contents)}


def _do_nothing(*_: object) -> None:
    """Do nothing: the default callback until an entry's process sets one."""
