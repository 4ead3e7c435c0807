"""Filter 7: at most one execution of non-idempotent work, by claims in the log."""

from __future__ import annotations

import hashlib
import logging
from collections import deque
from collections.abc import Iterator

import msgspec

from lentiltally.decisions import claim_resolution as steps
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
from lentiltally.routing.claims import Claims
from lentiltally.routing.queries import ClaimQueries
from lentiltally.wire import ClaimAnswer

_log = logging.getLogger(__name__)

STEP = "claim"
QUERY_TIMEOUT_S = 1.0


class ClaimFilter:
    """Lets declared non-idempotent work run at most once for each key."""

    def __init__(
        self,
        claims: Claims,
        queries: ClaimQueries,
        context: AttemptContext,
        failure_domain: str,
    ) -> None:
        """Take the claims of the entry and what is needed to choose targets."""
        self.claims = claims
        self.queries = queries
        self.context = context
        self.failure_domain = failure_domain

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on under a claim, or give the recorded answer."""
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
    """Carries out the actions of one claim resolution."""

    def __init__(
        self, parts: ClaimFilter, exchange: Exchange, next_handler: Handler
    ) -> None:
        work = exchange.resolved()
        self._claims = parts.claims
        self._queries = parts.queries
        self._context = parts.context
        self._failure_domain = parts.failure_domain
        self._exchange = exchange
        self._following = next_handler
        self._team = work.team
        self._digest = hashlib.blake2b(
            f"{work.adapter}@{work.version} {work.path}\n".encode() + exchange.body,
            digest_size=16,
        ).digest()
        self._deadline_s = exchange.request.received_s + work.deadline_s
        self._resolution = ClaimResolution(work.team, exchange.key)
        self._excluded: set[str] = set()
        self._said: ClaimAnswer | None = None

    def run(self) -> Answer:
        """Return the answer of the one execution; raises Refusal if there is none."""
        actions = deque(self._resolution.start(self._status()))
        while actions or not self._resolution.is_over:
            if not actions:
                # Every wait below ends in a new action, so an empty list means that
                # only a further record can help.
                self._claims.wait_change(min(0.5, max(0.0, self._left_s())))
                actions.extend(self._resolution.changed(self._status()))
                if self._left_s() <= 0:
                    actions.extend(self._resolution.timed_out())
                continue
            result = self._carry_out(actions.popleft())
            if isinstance(result, Answer):
                return result
            actions.extend(result)
        raise AssertionError("a claim resolution ended without a final action")

    def _carry_out(self, action: steps.ResolutionAction) -> steps.Actions | Answer:
        match action:
            case steps.Dispatch():
                return self._dispatch(action.record)
            case steps.Replay():
                return self._replay(action.finished)
            case steps.ReplayFromAgent():
                return self._replay_from_agent(action.claim_id)
            case steps.Refuse():
                raise self._refusal(action)
            case _:
                return self._go_on(action)

    def _go_on(self, action: steps.ResolutionAction) -> steps.Actions:
        """Carry out an action that can't end the request."""
        match action:
            case steps.NeedClaim():
                return self._new_claim()
            case steps.AppendClaim():
                return self._append(action.record)
            case steps.Follow():
                return self._follow(action.offset)
            case steps.QueryAgent():
                return self._query(action)
            case steps.AppendAbandon() | steps.AppendOutcome():
                self._claims.append_later(action.record)
        return []

    def _follow(self, offset: int) -> steps.Actions:
        if self._claims.wait_past(offset, max(0.0, self._left_s())):
            return self._resolution.followed(self._status())
        return self._resolution.append_failed()

    def _new_claim(self) -> steps.Actions:
        work = self._exchange.resolved()
        wanted = placement_request(
            work, self._failure_domain, frozenset(self._excluded)
        )
        target = self._context.directory.preview(wanted, work.targets)
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

    def _append(self, record: ClaimRecord) -> steps.Actions:
        offset = self._claims.append_claim(record, max(0.0, self._left_s()))
        if offset is None:
            return self._resolution.append_failed()
        return self._resolution.appended(offset)

    def _dispatch(self, record: ClaimRecord) -> steps.Actions | Answer:
        exchange = msgspec.structs.replace(
            self._exchange,
            claim_id=record.claim_id,
            bound_target=record.target,
            bound_incarnation=record.agent_incarnation,
        )
        try:
            answer = self._following(exchange)
        except Refusal as refusal:
            self._excluded.add(record.target)
            _log.info(
                "claimed attempt refused",
                extra={"attempt": record.claim_id, "reason": refusal.reason},
            )
            return self._resolution.attempt_refused(refusal.executed == "no")
        if isinstance(answer.body, bytes):
            self._finish(record, answer, answer.body)
            return answer
        parts = self._collect(record, answer, answer.body)
        return msgspec.structs.replace(answer, body=parts)

    def _collect(
        self, record: ClaimRecord, answer: Answer, parts: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Pass a stream on and record it once it has ended whole."""
        collected: list[bytes] = []
        for part in parts:
            collected.append(part)
            yield part
        body = b"".join(collected)
        if b"data: [DONE]" in body[-64:]:
            self._finish(record, answer, body)

    def _finish(self, record: ClaimRecord, answer: Answer, body: bytes) -> None:
        content_type = dict(answer.headers)["Content-Type"]
        for action in self._resolution.answered(answer.status, content_type, body):
            if isinstance(action, steps.AppendOutcome):
                self._claims.append_later(
                    action.record, on_done=lambda: self._release(record)
                )

    def _release(self, record: ClaimRecord) -> None:
        address = self._context.directory.agent_address(record.agent)
        if address is not None:
            self._context.releases.put(address, record.claim_id)

    def _query(self, action: steps.QueryAgent) -> steps.Actions:
        claim = action.claim
        until_s = self._context.clock.monotonic_s() + action.delay_s
        while (left_s := until_s - self._context.clock.monotonic_s()) > 0:
            self._claims.wait_change(left_s)
            changed = self._resolution.changed(self._status())
            if changed:
                return changed
        if self._left_s() <= 0:
            return self._resolution.timed_out()
        said = self._queries.ask(claim, min(QUERY_TIMEOUT_S, self._left_s()))
        if said is None:
            return [steps.QueryAgent(claim, steps.QUERY_INTERVAL_S)]
        self._said = said
        return self._resolution.agent_said(
            claim.claim_id, ClaimState(said.state), claim
        )

    def _replay(self, finished: Finished) -> Answer:
        outcome = finished.outcome or self._claims.recorded(finished.outcome_offset)
        if outcome is not None and outcome.body is not None:
            return self._recorded(finished.target, outcome)
        if outcome is not None:
            said = self._queries.ask(
                Open(
                    finished.claim_id,
                    finished.target,
                    finished.agent,
                    finished.agent_incarnation,
                    0,
                ),
                QUERY_TIMEOUT_S,
            )
            if said is not None and said.state == ClaimState.FINISHED.value:
                return self._answer(
                    finished.target, said.status, said.content_type, said.body
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
        said = self._said
        assert said is not None
        status = self._status()
        target = status.target if isinstance(status, Open) else ""
        self._claims.append_later(
            OutcomeRecord(
                self._team,
                self._exchange.key,
                claim_id,
                "yes",
                said.status,
                said.content_type,
                said.body,
            )
        )
        return self._answer(target, said.status, said.content_type, said.body)

    def _recorded(self, target: str, outcome: OutcomeRecord) -> Answer:
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

    def _refusal(self, action: steps.Refuse) -> Refusal:
        # The problem document knows "no" and "unknown" only; work that an operator
        # found executed is no longer "not run".
        is_no = action.executed == "no"
        can_retry = is_no and action.status == 503
        return Refusal(
            action.status,
            "claim-" + action.reason.split(",", maxsplit=1)[0].replace(" ", "-"),
            action.reason,
            step=STEP,
            executed="no" if is_no else "unknown",
            retry_after_s=1.0 if can_retry else None,
        )

    def _status(self) -> ClaimStatus:
        return self._claims.status(self._team, self._exchange.key, self._digest)

    def _left_s(self) -> float:
        return self._deadline_s - self._context.clock.monotonic_s()
