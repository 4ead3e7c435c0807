"""The part of a fake entry that resolves calls with keys chosen by callers."""

from __future__ import annotations

import itertools
from abc import abstractmethod
from dataclasses import dataclass

from bench._guarantees.environment import Environment
from bench._guarantees.journal import Call
from bench._guarantees.kernel import Process
from lentiltally.decisions import answers, claim_resolution, claims
from lentiltally.decisions.membership import HOST_LIST_MAX_AGE_S
from lentiltally.ids import AttemptIds
from lentiltally.wire import messages


@dataclass(slots=True)
class Request:
    """A call at an entry, with its current attempt and claim.

    ``is_cancelled`` is set when a cancel was sent at the deadline. ``may_have_run``
    says whether an earlier attempt may have been executed.
    """

    call: Call
    deadline_s: float
    attempt_id: str = ""
    target: str = ""
    agent: str = ""
    assembly: answers.AnswerAssembly | None = None
    resolution: claim_resolution.ClaimResolution | None = None
    open_claim: claims.Open | None = None
    is_cancelled: bool = False
    retries_left: int = 2
    may_have_run: bool = False
    is_over: bool = False


class EntryClaims(Process):
    """Claims of an entry and the requests that wait for them."""

    def __init__(self, environment: Environment, name: str, run_number: int) -> None:
        """Start without knowledge of agents or claims."""
        super().__init__(environment.kernel)
        self.name, self.network, self.log = name, environment.network, environment.log
        self.directory = environment.directory
        self.components = environment.components
        self.incarnation = f"{name}#{run_number}"
        self.membership = self.components.membership(HOST_LIST_MAX_AGE_S)
        self.claims = self.components.claims()
        self.requests: list[Request] = []
        self.ids = AttemptIds(self.incarnation)
        self._query_numbers = itertools.count()
        self._open_queries: dict[str, tuple[Request, str]] = {}
        self._is_reading_claims = False
        self.call_every(0.1, self._read_claims)

    @abstractmethod
    def dispatch(
        self, request: Request, attempt_id: str, target: str, incarnation: str
    ) -> None:
        """Send an attempt to the agent of a target."""

    @abstractmethod
    def choose_target(self) -> str | None:
        """Return a random eligible target, or None."""

    @abstractmethod
    def refuse(self, request: Request, executed: str) -> None:
        """End a request with a refusal."""

    @abstractmethod
    def send_release(self, attempt_id: str, agent: str) -> None:
        """Tell the agent that an answer is no longer needed."""

    def open_requests(self) -> list[Request]:
        """Return the requests that have not ended."""
        return [request for request in self.requests if not request.is_over]

    def status(self, request: Request) -> claims.ClaimStatus:
        """Return the claim status of the key of a request."""
        return self.claims.status("t", request.call.key, request.call.body)

    def apply_resolution(
        self, request: Request, actions: claim_resolution.Actions
    ) -> None:
        """Carry out the actions of a claim resolution."""
        for action in actions:
            self._apply_resolution_action(request, action)

    def _apply_resolution_action(
        self, request: Request, action: claim_resolution.ResolutionAction
    ) -> None:
        assert request.resolution is not None
        match action:
            case claim_resolution.CreateClaim():
                self._create_claim(request)
            case claim_resolution.AppendClaim():
                self._append_claim(request, action.record)
            case claim_resolution.AppendAbandon():
                self._append_with_retries(action.record)
            case claim_resolution.AppendOutcome():
                self._append_with_retries(action.record)
            case claim_resolution.Dispatch():
                self._dispatch_claimed(request, action.record)
            case claim_resolution.QueryAgent():
                request.open_claim = action.claim
                self.call_later(
                    action.delay_s, lambda: self._query_agent(request, action.claim)
                )
            case claim_resolution.Replay():
                self._replay(request, action.finished.claim_id)
            case claim_resolution.ReplayFromAgent():
                self._replay(request, action.claim_id)
            case claim_resolution.Refuse():
                self.refuse(request, action.executed)

    def _dispatch_claimed(self, request: Request, record: claims.ClaimRecord) -> None:
        assert request.resolution is not None
        if self.membership.eligible(record.target, self.now_s).ok:
            target, incarnation = record.target, record.agent_incarnation
            self.dispatch(request, record.claim_id, target, incarnation)
        else:
            # No attempt was sent for this claim, so it can be abandoned.
            self.apply_resolution(request, request.resolution.attempt_refused(True))

    def _create_claim(self, request: Request) -> None:
        assert request.resolution is not None
        target = self.choose_target()
        if target is None:
            self.apply_resolution(
                request, request.resolution.no_target("none eligible")
            )
            return
        state = self.membership.state(target)
        assert state is not None
        claim_id, call = self.ids.next(), request.call
        claim_binding = (target, state.agent, state.agent_incarnation)
        record = claims.ClaimRecord("t", call.key, call.body, claim_id, *claim_binding)
        self.apply_resolution(request, request.resolution.claim(record))

    def _append_claim(self, request: Request, record: claims.ClaimRecord) -> None:
        resolution = request.resolution
        assert resolution is not None

        def on_answer(offset: int | None) -> None:
            if resolution.own_claim_id != record.claim_id:
                return
            if offset is None:
                self.apply_resolution(request, resolution.append_failed())
            else:
                self.apply_resolution(request, resolution.appended(offset))

        self.log.append(self, "claims", [record], on_answer)

    def _append_with_retries(
        self, record: claims.AbandonRecord | claims.OutcomeRecord
    ) -> None:
        def on_answer(offset: int | None) -> None:
            if offset is None:
                self.call_later(1.0, lambda: self._append_with_retries(record))
            elif isinstance(record, claims.OutcomeRecord) and record.executed == "yes":
                agent = self.directory.agent_of_incarnation(
                    self.directory.bound_incarnations[record.claim_id]
                )
                self.send_release(record.claim_id, agent)

        self.log.append(self, "claims", [record], on_answer)

    def _replay(self, request: Request, claim_id: str) -> None:
        """Deliver the recorded answer: that of the only execution of the work."""
        journal, call = self.kernel.journal, request.call
        del claim_id
        executions = [e for e in journal.executions if e.call.work_id == call.work_id]
        # Without an execution the answer has no events, which the check detects.
        for execution in executions[:1]:
            for index in range(execution.call.events):
                journal.record_event(call.number, execution.number, index)
        journal.record_completion(call.number, call.events, self.now_s)
        request.is_over = True

    def _query_agent(self, request: Request, claim: claims.Open) -> None:
        resolution = request.resolution
        if request.is_over or resolution is None:
            return
        status = self.status(request)
        if not isinstance(status, claims.Open) or status.claim_id != claim.claim_id:
            return
        query_id = f"q{next(self._query_numbers)}"
        self._open_queries[query_id] = (request, claim.claim_id)
        query = messages.ClaimQuery(
            query_id, self.name, claim.agent_incarnation, claim.claim_id
        )
        self.network.send(self.name, claim.agent, query)
        self.call_later(2.0, lambda: self._retry_query(query_id, request, claim))

    def _retry_query(self, query_id: str, request: Request, claim: claims.Open) -> None:
        if self._open_queries.pop(query_id, None) is not None:
            self.network.reconnect(self.name, claim.agent)
            self._query_agent(request, claim)

    def handle_claim_answer(self, message: messages.ClaimAnswer) -> None:
        """Handle the answer of an agent to a claim query."""
        request, claim_id = self._open_queries.pop(message.query_id, (None, ""))
        if request is None or request.resolution is None or request.is_over:
            return
        assert request.open_claim is not None
        state = claim_resolution.ClaimState(message.state)
        actions = request.resolution.agent_reported(claim_id, state, request.open_claim)
        self.apply_resolution(request, actions)

    def _read_claims(self) -> None:
        start = self.claims.next_offset
        records = self.log.read("claims", start)
        if not records or self._is_reading_claims:
            return
        self._is_reading_claims = True
        delay_s = self.kernel.rng.uniform(0.002, 0.3)
        self.call_later(delay_s, lambda: self._apply_claims(start, records))

    def _apply_claims(self, start: int, records: list[tuple[object, int]]) -> None:
        self._is_reading_claims = False
        for number, (record, time_ms) in enumerate(records):
            assert isinstance(
                record,
                claims.ClaimRecord
                | claims.OutcomeRecord
                | claims.AbandonRecord
                | claims.SettleRecord,
            )
            self.claims.apply(record, start + number, time_ms)
            for request in self.open_requests():
                self._notify_request(request, record)

    def _notify_request(
        self, request: Request, record: claims.ClaimStreamRecord
    ) -> None:
        resolution = request.resolution
        if resolution is None or record.key != request.call.key:
            return
        status = self.status(request)
        is_own_claim = isinstance(record, claims.ClaimRecord) and (
            record.claim_id == resolution.own_claim_id
        )
        actions = (
            resolution.offset_applied(status)
            if is_own_claim
            else resolution.status_changed(status)
        )
        self.apply_resolution(request, actions)
