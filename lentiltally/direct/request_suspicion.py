"""What crashes of targets mean for one request: refusals, trials and evidence."""

from __future__ import annotations

from collections.abc import Callable

from lentiltally.decisions.crash_traits import (
    RequestTraits,
    fingerprint_texts,
    part_fingerprint,
    request_fingerprint,
)
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.entry_suspects import EntrySuspects
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.request import CallerRequest
from lentiltally.problems import Refusal

__all__ = ["RequestSuspicion"]


class RequestSuspicion:
    """Whether one request may be sent, and what its attempts say about crashes."""

    def __init__(
        self,
        suspects: EntrySuspects,
        request: CallerRequest,
        answer: CallerAnswer,
        retry_after_s: Callable[[], float],
        account: str = "",
    ) -> None:
        """Start before the first attempt; ``retry_after_s`` spreads retries.

        ``account`` is the name of the caller's client account, empty without one.
        """
        self._suspects = suspects
        self._answer = answer
        self._retry_after_s = retry_after_s
        self.traits = _traits_of(request, account)
        self._parts_on_trial: list[int] = []
        self._is_content_on_trial = False
        self._is_resumed = request.last_event_id is not None
        # The targets whose answers continue what another one has begun.
        self._continuing: set[str] = set()

    @property
    def is_part_on_trial(self) -> bool:
        """Return whether the request tries a refused part of its prompt.

        Once its answer has begun, a target that only stalls may be replaced.
        """
        return bool(self._parts_on_trial) and not self._answer.is_started

    def begin(self) -> None:
        """Begin the trials that are due; raises Refusal if the content is refused."""
        content = self.traits.content
        self._is_content_on_trial = self._suspects.begin_content_trial(content)
        refusal = self._content_refusal()
        if refusal is not None:
            raise refusal
        self._parts_on_trial = self._suspects.begin_trials(self.traits.parts)

    def refusal(self) -> Refusal | None:
        """Return why the request may not be sent now, None if it may."""
        return self._content_refusal() or self._part_refusal()

    def may_be_sent(self) -> bool:
        """Return whether the request may be sent to a target now."""
        return self.refusal() is None

    def attempt_begun(self, record: TargetRecord) -> None:
        """Note an attempt; a trial of a content is one, whatever its outcome."""
        self._is_content_on_trial = False
        if self._is_resumed or self._answer.is_started:
            self._continuing.add(record.target_id)
        else:
            self._continuing.discard(record.target_id)

    def attempt_failed(self, record: TargetRecord, *, was_reset: bool) -> None:
        """Note an attempt that may have run; ``was_reset`` may be a sign of a crash."""
        # A trial is one attempt: a retry would end another target.
        self._parts_on_trial = []
        if was_reset:
            self._suspects.connection_lost(record, self.traits)
        else:
            self._suspects.answered(record, self.traits, is_proof=False)

    def attempt_abandoned(self, record: TargetRecord) -> None:
        """Note an attempt that was given up, so that its outcome is not known."""
        self._suspects.attempt_abandoned(record, self.traits)

    def answered(self, record: TargetRecord) -> None:
        """Note that a target has completed the answer.

        That is no proof if it only wrote the rest of an answer: it may crash at what
        others have written.
        """
        self._parts_on_trial = []
        is_proof = record.target_id not in self._continuing
        self._suspects.answered(record, self.traits, is_proof=is_proof)

    def _content_refusal(self) -> Refusal | None:
        if self._is_content_on_trial:
            return None
        left_s = self._suspects.content_refused_for_s(self.traits.content)
        if left_s is None:
            return None
        return _refusal(
            "crash-suspect",
            "targets ended while they ran this request",
            max(left_s, self._retry_after_s()),
        )

    def _part_refusal(self) -> Refusal | None:
        """Return the refusal because of a part of the prompt, None if none is refused.

        It holds also for the rest of an answer that has begun.
        """
        refused = self._suspects.refused_part(self.traits.parts, self._parts_on_trial)
        if refused is None:
            return None
        part, left_s = refused
        (text,) = fingerprint_texts((part,))
        detail = f"targets ended while they answered with the prompt part {text}"
        return _refusal("crash-suspect-part", detail, left_s)


def _refusal(reason: str, detail: str, retry_after_s: float) -> Refusal:
    return Refusal(503, reason, detail, step="suspects", retry_after_s=retry_after_s)


def _traits_of(request: CallerRequest, account: str) -> RequestTraits:
    adapter = request.adapter.key if request.adapter else ""
    return RequestTraits(
        request_fingerprint(request.host, request.path, adapter, request.body, account),
        tuple(part_fingerprint(part) for part in request.shared_parts),
    )
