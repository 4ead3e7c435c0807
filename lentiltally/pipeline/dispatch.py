"""Filter 8: chooses a target, sends the attempt, retries, returns the answer."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from datetime import timedelta
from typing import Protocol

import msgspec

from lentiltally.decisions.answers import DeliverHead, DeliverWhole, Failed
from lentiltally.decisions.attempts import RefusalReason
from lentiltally.decisions.placement import PlacementRequest
from lentiltally.exchange import Answer, Exchange, Work
from lentiltally.ids import adapter_hash
from lentiltally.metrics import Metrics
from lentiltally.problems import Refusal, problem_body
from lentiltally.routing.attempts import Attempt, AttemptContext
from lentiltally.wire import ANSWER_MISMATCH, TargetState

_log = logging.getLogger(__name__)

STEP = "dispatch"
# A request that takes a target down must not reach a third one.
MAX_TARGET_FAILURES = 2
MAX_TRIES = 6
# Work that a target without free slots may hand back before it has to keep it.
MAX_RETURNS = 2
CALLER_ERROR_REASONS = frozenset({"quarantined"})
# Failures that the request can't have caused: the engine lives, or the agent's run that
# the attempt was meant for had ended before the attempt arrived.
BLAMELESS_REASONS = frozenset({ANSWER_MISMATCH, RefusalReason.OTHER_INCARNATION.value})


class RetryPolicy(Protocol):
    """Decides whether and when a failed attempt is tried again."""

    def sent(self, work: Work) -> None:
        """Count a first attempt."""
        ...

    def retry_after_s(
        self, work: Work, failed: Failed, tries: int, left_s: float
    ) -> float | None:
        """Return the delay before the next try, or None to give up."""
        ...


class Dispatch:
    """The end of the pipeline: runs the work on a target."""

    def __init__(
        self,
        context: AttemptContext,
        retries: RetryPolicy,
        metrics: Metrics,
        failure_domain: str,
    ) -> None:
        """Take what attempts need and the policy on retries."""
        self._context = context
        self._retries = retries
        self._metrics = metrics
        self._failure_domain = failure_domain

    def __call__(self, exchange: Exchange) -> Answer:
        """Return the answer of the first attempt that gives one.

        Raises Refusal if there is none.
        """
        work = exchange.resolved()
        deadline_s = exchange.request.received_s + work.deadline_s
        excluded: set[str] = set()
        failures = 0
        self._retries.sent(work)
        for tries in range(1, MAX_TRIES + 1):
            attempt = self._start(exchange, deadline_s, frozenset(excluded))
            first = (
                attempt.send(exchange, reject_if_no_slot=tries <= MAX_RETURNS)
                or attempt.first()
            )
            if isinstance(first, DeliverWhole):
                attempt.close(release=not work.is_keyed)
                return self._whole(exchange, attempt.target, first)
            if isinstance(first, DeliverHead):
                return self._stream(exchange, attempt, first)
            assert first is not None
            attempt.close()
            excluded.add(attempt.target.target)
            self._note(work, attempt, first)
            is_blamed = _is_blamed(first)
            failures += is_blamed
            delay_s = self._retry_delay_s(work, first, tries, deadline_s)
            is_last = tries == MAX_TRIES or failures >= MAX_TARGET_FAILURES
            if delay_s is None or is_last:
                raise failure_refusal(first, attempt.target.target)
            if is_blamed:
                exchange = msgspec.structs.replace(exchange, is_suspect=True)
            self._wait(delay_s, exchange, attempt, first)
        raise AssertionError("the last try neither answered nor refused")

    def _note(self, work: Work, attempt: Attempt, failed: Failed) -> None:
        if failed.executed == "no" and work.kind == "model":
            adapter = adapter_hash(work.team, work.adapter, work.version)
            self._context.directory.not_run(attempt.target.target, adapter)

    def _start(
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
            return directory.chosen(exchange.bound_target, exchange.bound_incarnation)
        wanted = placement_request(work, self._failure_domain, excluded)
        chosen = directory.choose(wanted, work.targets)
        if chosen is None and excluded:
            # Better the same target again than none.
            wanted = placement_request(work, self._failure_domain, frozenset())
            chosen = directory.choose(wanted, work.targets)
        return chosen

    def _retry_delay_s(
        self, work: Work, failed: Failed, tries: int, deadline_s: float
    ) -> float | None:
        if work.is_keyed or failed.reason in CALLER_ERROR_REASONS:
            return None
        if failed.executed == "unknown" and not work.is_idempotent:
            return None
        left_s = deadline_s - self._context.clock.monotonic_s()
        return self._retries.retry_after_s(work, failed, tries, left_s)

    def _wait(
        self, delay_s: float, exchange: Exchange, attempt: Attempt, failed: Failed
    ) -> None:
        self._metrics.count("retries")
        _log.info(
            "retry",
            extra={
                "request": exchange.request_id,
                "attempt": attempt.attempt_id,
                "target": attempt.target.target,
                "reason": failed.reason,
                "delay_s": delay_s,
            },
        )
        self._context.clock.sleep(timedelta(seconds=delay_s))

    def _whole(
        self, exchange: Exchange, target: TargetState, whole: DeliverWhole
    ) -> Answer:
        headers = _headers(exchange, target, whole.content_type)
        return Answer(whole.status, headers, whole.body)

    def _stream(
        self, exchange: Exchange, attempt: Attempt, head: DeliverHead
    ) -> Answer:
        headers = _headers(exchange, attempt.target, head.content_type)
        headers += (("Cache-Control", "no-cache"),)
        return Answer(head.status, headers, _events(attempt, exchange))


def _is_blamed(failed: Failed) -> bool:
    """Return whether the request may be what brought its target down."""
    return failed.executed == "unknown" and failed.reason not in BLAMELESS_REASONS


def placement_request(
    work: Work, failure_domain: str, excluded: frozenset[str]
) -> PlacementRequest:
    """Return what placement needs to know of the work."""
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
    """Return the refusal that tells the caller of a failed attempt."""
    is_unknown = failed.executed != "no"
    if failed.reason in CALLER_ERROR_REASONS:
        status = 422
    elif failed.reason == "deadline":
        status = 504
    else:
        status = 502 if is_unknown else 503
    return Refusal(
        status,
        _reason_name(failed.reason),
        f"the attempt failed: {failed.reason}",
        step=STEP,
        executed="unknown" if is_unknown else "no",
        peer=target,
        retry_after_s=(
            None if is_unknown or status == 422 else (failed.retry_after_s or 1.0)
        ),
    )


def _reason_name(reason: str) -> str:
    """Return the reason as a short stable name."""
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


def _events(attempt: Attempt, exchange: Exchange) -> Iterator[bytes]:
    try:
        for part in attempt.events():
            if isinstance(part, Failed):
                # The status was sent already, so the stream itself has to tell. It
                # ends without [DONE], by which callers know it is not whole.
                refusal = failure_refusal(part, attempt.target.target)
                body = problem_body(refusal, exchange.request_id)
                yield b"event: error\ndata: " + body + b"\n\n"
            else:
                yield part
    finally:
        # The answer to keyed work is kept by the agent until its outcome is in the log.
        attempt.close(release=not exchange.resolved().is_keyed)
