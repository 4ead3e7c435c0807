"""Executes a request on a target: choice, attempts, retries and the answer."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from datetime import timedelta
from typing import Protocol

import msgspec

from lentiltally.decisions.answers import DeliverCompleteAnswer, DeliverHead, Failed
from lentiltally.decisions.attempts import RefusalReason
from lentiltally.decisions.placement import PlacementRequest
from lentiltally.exchange import Answer, Exchange, Work
from lentiltally.ids import adapter_hash
from lentiltally.metrics import Metrics
from lentiltally.problems import Refusal, problem_body
from lentiltally.routing.attempts import Attempt, AttemptContext
from lentiltally.routing.pending import ENTRY_STOPPED
from lentiltally.wire import ANSWER_MISMATCH, TargetState

_log = logging.getLogger(__name__)

STEP = "dispatch"
# A request that crashes its targets must not reach a third one.
MAX_TARGET_FAILURES = 2
MAX_ATTEMPTS = 6
# Only in the first attempts may a target reject the work because it has no adapter slot
# left; later ones are queued until a slot is free.
REJECTABLE_ATTEMPTS = 2
CALLER_ERROR_REASONS = frozenset({"quarantined"})
FINAL_REASONS = CALLER_ERROR_REASONS | {ENTRY_STOPPED}
# Failures that the request can't have caused: the engine is still running, or the agent
# incarnation to which the attempt was addressed had ended before the attempt arrived.
UNRELATED_REASONS = frozenset({ANSWER_MISMATCH, RefusalReason.OTHER_INCARNATION.value})


class RetryPolicy(Protocol):
    """Decides whether and when a failed attempt is retried."""

    def record_first_attempt(self, work: Work) -> None:
        """Count a first attempt."""
        ...

    def retry_delay_s(
        self, work: Work, failed: Failed, attempt_number: int, left_s: float
    ) -> float | None:
        """Return the delay before the next attempt, or None for no retry.

        ``attempt_number`` is that of the failed attempt, from 1; ``left_s`` is the time
        to the deadline.
        """
        ...


class Dispatch:
    """The handler at the end of the pipeline: executes the work on a target."""

    def __init__(
        self,
        context: AttemptContext,
        retries: RetryPolicy,
        metrics: Metrics,
        failure_domain: str,
    ) -> None:
        """``failure_domain`` is that of the entry; targets in it are preferred."""
        self._context = context
        self._retries = retries
        self._metrics = metrics
        self._failure_domain = failure_domain

    def __call__(self, exchange: Exchange) -> Answer:
        """Return the answer of the first attempt that is answered.

        Raises Refusal if none is.
        """
        work = exchange.resolved()
        deadline_s = exchange.request.received_s + work.deadline_s
        excluded: set[str] = set()
        failures = 0
        self._retries.record_first_attempt(work)
        for attempt_number in range(1, MAX_ATTEMPTS + 1):
            attempt = self._new_attempt(exchange, deadline_s, frozenset(excluded))
            first = (
                attempt.send(
                    exchange,
                    reject_if_no_slot=attempt_number <= REJECTABLE_ATTEMPTS,
                )
                or attempt.first_part()
            )
            if isinstance(first, DeliverCompleteAnswer):
                attempt.close(release=not work.is_keyed)
                return self._whole_answer(exchange, attempt.target, first)
            if isinstance(first, DeliverHead):
                return self._stream_answer(exchange, attempt, first)
            assert first is not None
            attempt.close()
            excluded.add(attempt.target.target)
            self._mark_not_loaded(work, attempt, first)
            may_be_cause = _may_be_caused_by_request(first)
            failures += may_be_cause
            delay_s = self._retry_delay_s(work, first, attempt_number, deadline_s)
            is_last = attempt_number == MAX_ATTEMPTS or failures >= MAX_TARGET_FAILURES
            if delay_s is None or is_last:
                raise failure_refusal(first, attempt.target.target)
            if may_be_cause:
                exchange = msgspec.structs.replace(exchange, is_suspect=True)
            self._wait_before_retry(delay_s, exchange, attempt, first)
        raise AssertionError("the last attempt was neither answered nor refused")

    def _mark_not_loaded(self, work: Work, attempt: Attempt, failed: Failed) -> None:
        if failed.executed == "no" and work.kind == "model":
            adapter = adapter_hash(work.team, work.adapter, work.version)
            self._context.directory.mark_not_loaded(attempt.target.target, adapter)

    def _new_attempt(
        self, exchange: Exchange, deadline_s: float, excluded: frozenset[str]
    ) -> Attempt:
        target = self._choose(exchange, excluded)
        if target is None:
            raise Refusal(
                503,
                "no-target",
                "no target can take the request now",
                step=STEP,
                retry_after_s=1.0,
            )
        attempt_id = exchange.claim_id or self._context.ids.next()
        return Attempt(self._context, target, attempt_id, deadline_s)

    def _choose(
        self, exchange: Exchange, excluded: frozenset[str]
    ) -> TargetState | None:
        work = exchange.resolved()
        directory = self._context.directory
        if exchange.bound_target:
            return directory.choose_bound(
                exchange.bound_target, exchange.bound_incarnation
            )
        request = placement_request(work, self._failure_domain, excluded)
        chosen = directory.choose(request, work.targets)
        if chosen is None and excluded:
            # A retry on a target that has failed is better than no retry.
            request = placement_request(work, self._failure_domain, frozenset())
            chosen = directory.choose(request, work.targets)
        return chosen

    def _retry_delay_s(
        self, work: Work, failed: Failed, attempt_number: int, deadline_s: float
    ) -> float | None:
        if work.is_keyed or failed.reason in FINAL_REASONS:
            return None
        if failed.executed == "unknown" and not work.is_idempotent:
            return None
        left_s = deadline_s - self._context.clock.monotonic_s()
        return self._retries.retry_delay_s(work, failed, attempt_number, left_s)

    def _wait_before_retry(
        self, delay_s: float, exchange: Exchange, attempt: Attempt, failed: Failed
    ) -> None:
        self._metrics.count("retries")
        _log.info(
            "retrying attempt",
            extra={
                "request": exchange.request_id,
                "attempt": attempt.attempt_id,
                "target": attempt.target.target,
                "reason": failed.reason,
                "delay_s": delay_s,
            },
        )
        self._context.clock.sleep(timedelta(seconds=delay_s))

    def _whole_answer(
        self, exchange: Exchange, target: TargetState, whole: DeliverCompleteAnswer
    ) -> Answer:
        headers = _headers(exchange, target, whole.content_type)
        return Answer(whole.status, headers, whole.body)

    def _stream_answer(
        self, exchange: Exchange, attempt: Attempt, head: DeliverHead
    ) -> Answer:
        headers = _headers(exchange, attempt.target, head.content_type)
        headers += (("Cache-Control", "no-cache"),)
        return Answer(head.status, headers, _stream_parts(attempt, exchange))


def _may_be_caused_by_request(failed: Failed) -> bool:
    """Return whether the request itself may have caused the failure."""
    return failed.executed == "unknown" and failed.reason not in UNRELATED_REASONS


def placement_request(
    work: Work, failure_domain: str, excluded: frozenset[str]
) -> PlacementRequest:
    """Return the placement request of the work; ``excluded`` holds target names."""
    is_model = work.kind == "model"
    return PlacementRequest(
        base_model=work.base_model,
        adapter_hash=adapter_hash(work.team, work.adapter, work.version)
        if is_model
        else 0,
        prefix_hash=work.prefix_hash,
        failure_domain=failure_domain,
        excluded=excluded,
    )


def failure_refusal(failed: Failed, target: str) -> Refusal:
    """Return the refusal that reports a failed attempt to the caller."""
    is_unknown = failed.executed != "no"
    if failed.reason in CALLER_ERROR_REASONS:
        status = 422
    elif failed.reason == "deadline":
        status = 504
    else:
        status = 502 if is_unknown else 503
    return Refusal(
        status,
        _problem_reason(failed.reason),
        f"the attempt failed: {failed.reason}",
        step=STEP,
        executed="unknown" if is_unknown else "no",
        peer=target,
        retry_after_s=(
            None if is_unknown or status == 422 else (failed.retry_after_s or 1.0)
        ),
    )


def _problem_reason(reason: str) -> str:
    """Return a short stable name; ``attempt-failed`` if the reason is a free text."""
    name = reason.replace(" ", "-")
    return name if name.replace("-", "").isalpha() else "attempt-failed"


def _headers(
    exchange: Exchange, target: TargetState, content_type: str
) -> tuple[tuple[str, str], ...]:
    work = exchange.resolved()
    name = f"{work.team}/{work.adapter}"
    return (
        ("Content-Type", content_type),
        ("Lentiltally-Adapter", f"{name}@{work.version}" if work.version else name),
        ("Lentiltally-Target", target.target),
        ("Lentiltally-Config-Offset", str(work.config_offset)),
    )


def _stream_parts(attempt: Attempt, exchange: Exchange) -> Iterator[bytes]:
    try:
        for part in attempt.events():
            if isinstance(part, Failed):
                _log_early_end(attempt, exchange, part.reason, part.executed)
                yield _error_event(attempt, exchange, part)
            else:
                yield part
    except GeneratorExit:
        _log_early_end(attempt, exchange, "caller gone", "unknown")
        raise
    except Exception:
        # Nothing that is raised from here on becomes an answer to the caller.
        _log.exception(
            "unexpected error in a stream", extra=_log_fields(attempt, exchange)
        )
        yield _error_event(attempt, exchange, Failed("unknown", "internal", 0.0))
    finally:
        # The agent keeps the answer to keyed work until its outcome is in the log.
        attempt.close(release=not exchange.resolved().is_keyed)


def _error_event(attempt: Attempt, exchange: Exchange, failed: Failed) -> bytes:
    """Return the event by which a stream reports its failure.

    The status line has been sent, so the error goes into the stream. It ends without
    [DONE], so that callers can tell it is incomplete.
    """
    refusal = failure_refusal(failed, attempt.target.target)
    body = problem_body(refusal, exchange.request_id)
    return b"event: error\ndata: " + body + b"\n\n"


def _log_early_end(
    attempt: Attempt, exchange: Exchange, reason: str, executed: str
) -> None:
    _log.warning(
        "stream ended early",
        extra=_log_fields(attempt, exchange) | {"reason": reason, "executed": executed},
    )


def _log_fields(attempt: Attempt, exchange: Exchange) -> dict[str, str]:
    return {
        "request": exchange.request_id,
        "attempt": attempt.attempt_id,
        "target": attempt.target.target,
    }
