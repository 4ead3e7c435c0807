"""Executes non-idempotent work at most once per key, by claims in the log."""

from __future__ import annotations

import hashlib
import logging
from collections import deque
from collections.abc import Iterator

import msgspec

from lentiltally.decisions import claim_resolution
from lentiltally.decisions.claim_resolution import ClaimResolution, ClaimState
from lentiltally.decisions.claims import (
    ClaimRecord,
    ClaimStatus,
    Finished,
    Open,
    OutcomeRecord,
)
from lentiltally.exchange import Answer, Exchange, Handler
from lentiltally.pipeline.dispatch import placement_request
from lentiltally.problems import Refusal
from lentiltally.routing.attempts import AttemptContext
from lentiltally.routing.claims import ClaimLog
from lentiltally.routing.pending import ENTRY_STOPPED
from lentiltally.routing.queries import ClaimQueries
from lentiltally.wire import ClaimAnswer

_log = logging.getLogger(__name__)

STEP = "claim"
QUERY_TIMEOUT_S = 1.0


class ClaimFilter:
    """Executes work that is declared non-idempotent at most once per key."""

    def __init__(
        self,
        claims: ClaimLog,
        queries: ClaimQueries,
        context: AttemptContext,
        failure_domain: str,
    ) -> None:
        """``failure_domain`` is that of the entry; targets in it are preferred."""
        self.claims = claims
        self.queries = queries
        self.context = context
        self.failure_domain = failure_domain

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on under a claim, or return the recorded answer.

        Work that is not declared non-idempotent is passed on without a claim.
        """
        if not exchange.resolved().is_keyed:
            return next_handler(exchange)
        if not exchange.key:
            raise Refusal(
                400,
                "key-required",
                "this work must not be repeated, so an Idempotency-Key is required",
                step=STEP,
            )
        if not self.claims.is_ready:
            raise Refusal(
                503,
                "claims-not-read",
                "the claims have not been read from the log yet",
                step=STEP,
                retry_after_s=1.0,
            )
        return _KeyedRequest(self, exchange, next_handler).run()


class _KeyedRequest:
    """One keyed request; executes the actions of its claim resolution."""

    def __init__(
        self, claim_filter: ClaimFilter, exchange: Exchange, next_handler: Handler
    ) -> None:
        work = exchange.resolved()
        self._claims = claim_filter.claims
        self._queries = claim_filter.queries
        self._context = claim_filter.context
        self._failure_domain = claim_filter.failure_domain
        self._exchange = exchange
        self._next_handler = next_handler
        self._team = work.team
        self._digest = hashlib.blake2b(
            f"{work.adapter}@{work.version} {work.path}\n".encode() + exchange.body,
            digest_size=16,
        ).digest()
        self._deadline_s = exchange.request.received_s + work.deadline_s
        self._resolution = ClaimResolution(work.team, exchange.key)
        self._refused_targets: set[str] = set()
        # The newest answer of an agent to a claim query, replayed if it is final.
        self._agent_answer: ClaimAnswer | None = None

    def run(self) -> Answer:
        """Return the answer of the only execution; raises Refusal if there is none."""
        actions = deque(self._resolution.start(self._status()))
        while actions or not self._resolution.is_over:
            if not actions:
                # Every action that waits returns a further action. If there is none,
                # only another record in the stream can continue the resolution.
                self._claims.wait_change(min(0.5, max(0.0, self._remaining_s())))
                actions.extend(self._resolution.status_changed(self._status()))
                if self._remaining_s() <= 0:
                    actions.extend(self._resolution.timed_out())
                continue
            result = self._execute(actions.popleft())
            if isinstance(result, Answer):
                return result
            actions.extend(result)
        raise AssertionError("a claim resolution ended without a final action")

    def _execute(
        self, action: claim_resolution.ResolutionAction
    ) -> claim_resolution.Actions | Answer:
        match action:
            case claim_resolution.Dispatch():
                return self._dispatch(action.record)
            case claim_resolution.Replay():
                return self._replay(action.finished)
            case claim_resolution.ReplayFromAgent():
                return self._replay_from_agent(action.claim_id)
            case claim_resolution.Refuse():
                raise self._refusal(action)
            case _:
                return self._execute_intermediate(action)

    def _execute_intermediate(
        self, action: claim_resolution.ResolutionAction
    ) -> claim_resolution.Actions:
        """Execute an action that can't end the request."""
        match action:
            case claim_resolution.CreateClaim():
                return self._create_claim()
            case claim_resolution.AppendClaim():
                return self._append(action.record)
            case claim_resolution.WaitForOffset():
                return self._wait_for_offset(action.offset)
            case claim_resolution.QueryAgent():
                return self._query(action)
            case claim_resolution.AppendAbandon() | claim_resolution.AppendOutcome():
                self._claims.append_with_retry(action.record)
        return []

    def _wait_for_offset(self, offset: int) -> claim_resolution.Actions:
        if self._claims.wait_past(offset, max(0.0, self._remaining_s())):
            return self._resolution.offset_applied(self._status())
        return self._resolution.append_failed()

    def _create_claim(self) -> claim_resolution.Actions:
        work = self._exchange.resolved()
        request = placement_request(
            work, self._failure_domain, frozenset(self._refused_targets)
        )
        target = self._context.directory.choose_for_claim(request, work.targets)
        if target is None:
            return self._resolution.no_target("no target can take the request now")
        record = ClaimRecord(
            self._team,
            self._exchange.key,
            self._digest,
            self._context.ids.next(),
            target.target,
            target.agent,
            target.agent_incarnation,
        )
        return self._resolution.claim(record)

    def _append(self, record: ClaimRecord) -> claim_resolution.Actions:
        offset = self._claims.append_claim(record, max(0.0, self._remaining_s()))
        if offset is None:
            return self._resolution.append_failed()
        return self._resolution.appended(offset)

    def _dispatch(self, record: ClaimRecord) -> claim_resolution.Actions | Answer:
        exchange = msgspec.structs.replace(
            self._exchange,
            claim_id=record.claim_id,
            bound_target=record.target,
            bound_incarnation=record.agent_incarnation,
        )
        try:
            answer = self._next_handler(exchange)
        except Refusal as refusal:
            if refusal.reason == ENTRY_STOPPED:
                # The claim stays open: its agent knows the outcome, and the next entry
                # that receives the key asks for it.
                raise
            self._refused_targets.add(record.target)
            _log.info(
                "claimed attempt refused",
                extra={"attempt": record.claim_id, "reason": refusal.reason},
            )
            return self._resolution.attempt_refused(refusal.executed == "no")
        if isinstance(answer.body, bytes):
            self._append_outcome(record, answer, answer.body)
            return answer
        parts = self._forward_stream(record, answer, answer.body)
        return msgspec.structs.replace(answer, body=parts)

    def _forward_stream(
        self, record: ClaimRecord, answer: Answer, parts: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Forward a stream; append its outcome if it has ended with ``[DONE]``."""
        collected: list[bytes] = []
        for part in parts:
            collected.append(part)
            yield part
        body = b"".join(collected)
        if b"data: [DONE]" in body[-64:]:
            self._append_outcome(record, answer, body)

    def _append_outcome(self, record: ClaimRecord, answer: Answer, body: bytes) -> None:
        content_type = dict(answer.headers)["Content-Type"]
        for action in self._resolution.answered(answer.status, content_type, body):
            if isinstance(action, claim_resolution.AppendOutcome):
                self._claims.append_with_retry(
                    action.record, on_done=lambda: self._release(record)
                )

    def _release(self, record: ClaimRecord) -> None:
        address = self._context.directory.agent_address(record.agent)
        if address is not None:
            self._context.releases.put(address, record.claim_id)

    def _query(self, action: claim_resolution.QueryAgent) -> claim_resolution.Actions:
        claim = action.claim
        until_s = self._context.clock.monotonic_s() + action.delay_s
        while (remaining_s := until_s - self._context.clock.monotonic_s()) > 0:
            self._claims.wait_change(remaining_s)
            actions = self._resolution.status_changed(self._status())
            if actions:
                return actions
        if self._remaining_s() <= 0:
            return self._resolution.timed_out()
        agent_answer = self._queries.query(
            claim, min(QUERY_TIMEOUT_S, self._remaining_s())
        )
        if agent_answer is None:
            return [
                claim_resolution.QueryAgent(claim, claim_resolution.QUERY_INTERVAL_S)
            ]
        self._agent_answer = agent_answer
        return self._resolution.agent_reported(
            claim.claim_id, ClaimState(agent_answer.state), claim
        )

    def _replay(self, finished: Finished) -> Answer:
        outcome = finished.outcome or self._claims.read_outcome(finished.outcome_offset)
        if outcome is not None and outcome.body is not None:
            return self._recorded_answer(finished.target, outcome)
        if outcome is not None:
            agent_answer = self._queries.query(
                Open(
                    finished.claim_id,
                    finished.target,
                    finished.agent,
                    finished.agent_incarnation,
                    0,
                ),
                QUERY_TIMEOUT_S,
            )
            if (
                agent_answer is not None
                and agent_answer.state == ClaimState.FINISHED.value
            ):
                return self._answer(
                    finished.target,
                    agent_answer.status,
                    agent_answer.content_type,
                    agent_answer.body,
                )
        raise Refusal(
            409,
            "answer-not-kept",
            "the work was done before, but its answer can't be had now",
            step=STEP,
            executed="unknown",
            peer=finished.target,
        )

    def _replay_from_agent(self, claim_id: str) -> Answer:
        agent_answer = self._agent_answer
        assert agent_answer is not None
        status = self._status()
        target = status.target if isinstance(status, Open) else ""
        self._claims.append_with_retry(
            OutcomeRecord(
                self._team,
                self._exchange.key,
                claim_id,
                "yes",
                agent_answer.status,
                agent_answer.content_type,
                agent_answer.body,
            )
        )
        return self._answer(
            target, agent_answer.status, agent_answer.content_type, agent_answer.body
        )

    def _recorded_answer(self, target: str, outcome: OutcomeRecord) -> Answer:
        assert outcome.body is not None
        return self._answer(target, outcome.status, outcome.content_type, outcome.body)

    def _answer(
        self, target: str, status: int, content_type: str, body: bytes
    ) -> Answer:
        work = self._exchange.resolved()
        name = f"{work.team}/{work.adapter}"
        headers = (
            ("Content-Type", content_type),
            ("Lentiltally-Adapter", f"{name}@{work.version}" if work.version else name),
            ("Lentiltally-Target", target),
            ("Lentiltally-Config-Offset", str(work.config_offset)),
            ("Lentiltally-Replayed", "true"),
        )
        return Answer(status, headers, body)

    def _refusal(self, action: claim_resolution.Refuse) -> Refusal:
        # A problem document has only "no" and "unknown"; work that an operator found
        # to be executed must not be reported as "no".
        is_not_executed = action.executed == "no"
        may_retry = is_not_executed and action.status == 503
        return Refusal(
            action.status,
            "claim-" + action.reason.split(",", maxsplit=1)[0].replace(" ", "-"),
            action.reason,
            step=STEP,
            executed="no" if is_not_executed else "unknown",
            retry_after_s=1.0 if may_retry else None,
        )

    def _status(self) -> ClaimStatus:
        return self._claims.status(self._team, self._exchange.key, self._digest)

    def _remaining_s(self) -> float:
        return self._deadline_s - self._context.clock.monotonic_s()
