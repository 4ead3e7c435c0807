"""The part of a fake entry that resolves calls with caller-chosen keys."""

from __future__ import annotations

import itertools
from abc import abstractmethod
from dataclasses import dataclass

from bench._guarantees.journal import Call
from bench._guarantees.kernel import Process
from bench._guarantees.world import Shared
from lentiltally.decisions import answers, claim_resolution, claims
from lentiltally.decisions.membership import HOST_LIST_MAX_AGE_S
from lentiltally.ids import AttemptIds
from lentiltally.wire import messages


@dataclass(slots=True)
class Request:
    """One call at an entry."""

    call: Call
    deadline_s: float
    attempt_id: str = ""
    target: str = ""
    agent: str = ""
    assembly: answers.AnswerAssembly | None = None
    resolution: claim_resolution.ClaimResolution | None = None
    open_claim: claims.Open | None = None
    is_cancelled: bool = False
    tries_left: int = 2
    may_have_run: bool = False
    is_over: bool = False


class EntryClaims(Process):
    """Claims, and the requests that wait for them."""

    def __init__(self, shared: Shared, name: str, run: int) -> None:
        """Start without any view of agents or claims."""
        super().__init__(shared.kernel)
        self.name, self.network, self.log = name, shared.network, shared.log
        self.directory = shared.directory
        self.parts = shared.parts
        self.run_name = f"{name}#{run}"
        self.membership = self.parts.membership(HOST_LIST_MAX_AGE_S)
        self.claims = self.parts.claims()
        self.requests: list[Request] = []
        self.ids = AttemptIds(self.run_name)
        self._queries = itertools.count()
        self._query_of: dict[str, tuple[Request, str]] = {}
        self._is_following = False
        self.every(0.1, self._follow)

    @abstractmethod
    def dispatch(
        self, request: Request, attempt_id: str, target: str, incarnation: str
    ) -> None:
        """Send an attempt to the agent of a target."""

    @abstractmethod
    def choose(self) -> str | None:
        """Return a random eligible target."""

    @abstractmethod
    def refuse(self, request: Request, executed: str) -> None:
        """End a request with a refusal."""

    @abstractmethod
    def release(self, attempt_id: str, agent: str) -> None:
        """Tell the agent to forget an answer."""

    def active(self) -> list[Request]:
        """Return the requests that have not ended."""
        return [request for request in self.requests if not request.is_over]

    def status(self, request: Request) -> claims.ClaimStatus:
        """Return the status of the key of a request."""
        return self.claims.status("t", request.call.key, request.call.body)

    def act(self, request: Request, actions: claim_resolution.Actions) -> None:
        """Carry out the actions of a resolution."""
        for action in actions:
            self._act_one(request, action)

    def _act_one(
        self, request: Request, action: claim_resolution.ResolutionAction
    ) -> None:
        assert request.resolution is not None
        match action:
            case claim_resolution.CreateClaim():
                self._make_claim(request)
            case claim_resolution.AppendClaim():
                self._append_claim(request, action.record)
            case claim_resolution.AppendAbandon():
                self._append_until_done(action.record)
            case claim_resolution.AppendOutcome():
                self._append_until_done(action.record)
            case claim_resolution.Dispatch():
                self._dispatch_claimed(request, action.record)
            case claim_resolution.QueryAgent():
                request.open_claim = action.claim
                self.later(action.delay_s, lambda: self._query(request, action.claim))
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
            # Nothing was sent under the claim, so it can be abandoned.
            self.act(request, request.resolution.attempt_refused(True))

    def _make_claim(self, request: Request) -> None:
        assert request.resolution is not None
        target = self.choose()
        if target is None:
            self.act(request, request.resolution.no_target("none eligible"))
            return
        state = self.membership.state(target)
        assert state is not None
        claim_id, call = self.ids.next(), request.call
        bound = (target, state.agent, state.agent_incarnation)
        record = claims.ClaimRecord("t", call.key, call.body, claim_id, *bound)
        self.act(request, request.resolution.claim(record))

    def _append_claim(self, request: Request, record: claims.ClaimRecord) -> None:
        resolution = request.resolution
        assert resolution is not None

        def answered(offset: int | None) -> None:
            if resolution.own_claim_id != record.claim_id:
                return
            if offset is None:
                self.act(request, resolution.append_failed())
            else:
                self.act(request, resolution.appended(offset))

        self.log.append(self, "claims", [record], answered)

    def _append_until_done(
        self, record: claims.AbandonRecord | claims.OutcomeRecord
    ) -> None:
        def answered(offset: int | None) -> None:
            if offset is None:
                self.later(1.0, lambda: self._append_until_done(record))
            elif isinstance(record, claims.OutcomeRecord) and record.executed == "yes":
                agent = self.directory.agent_name(self.directory.bound[record.claim_id])
                self.release(record.claim_id, agent)

        self.log.append(self, "claims", [record], answered)

    def _replay(self, request: Request, claim_id: str) -> None:
        """Give the recorded answer: that of the work's only execution."""
        journal, call = self.kernel.journal, request.call
        del claim_id
        runs = [e for e in journal.executions if e.call.work == call.work]
        # An answer without a run is delivered without events, which the check finds.
        for run in runs[:1]:
            for index in range(run.call.events):
                journal.delivered(call.number, run.number, index)
        journal.completed(call.number, call.events, self.now_s)
        request.is_over = True

    def _query(self, request: Request, claim: claims.Open) -> None:
        resolution = request.resolution
        if request.is_over or resolution is None:
            return
        status = self.status(request)
        if not isinstance(status, claims.Open) or status.claim_id != claim.claim_id:
            return
        query_id = f"q{next(self._queries)}"
        self._query_of[query_id] = (request, claim.claim_id)
        query = messages.ClaimQuery(
            query_id, self.name, claim.agent_incarnation, claim.claim_id
        )
        self.network.send(self.name, claim.agent, query)
        self.later(2.0, lambda: self._query_again(query_id, request, claim))

    def _query_again(self, query_id: str, request: Request, claim: claims.Open) -> None:
        if self._query_of.pop(query_id, None) is not None:
            self.network.reconnect(self.name, claim.agent)
            self._query(request, claim)

    def claim_answer(self, message: messages.ClaimAnswer) -> None:
        """Apply an agent's answer about a claim."""
        request, claim_id = self._query_of.pop(message.query_id, (None, ""))
        if request is None or request.resolution is None or request.is_over:
            return
        assert request.open_claim is not None
        state = claim_resolution.ClaimState(message.state)
        actions = request.resolution.agent_reported(claim_id, state, request.open_claim)
        self.act(request, actions)

    def _follow(self) -> None:
        start = self.claims.next_offset
        records = self.log.read("claims", start)
        if not records or self._is_following:
            return
        self._is_following = True
        delay_s = self.kernel.rng.uniform(0.002, 0.3)
        self.later(delay_s, lambda: self._followed(start, records))

    def _followed(self, start: int, records: list[tuple[object, int]]) -> None:
        self._is_following = False
        for number, (record, time_ms) in enumerate(records):
            assert isinstance(
                record,
                claims.ClaimRecord
                | claims.OutcomeRecord
                | claims.AbandonRecord
                | claims.SettleRecord,
            )
            self.claims.apply(record, start + number, time_ms)
            for request in self.active():
                self._record_seen(request, record)

    def _record_seen(self, request: Request, record: claims.ClaimStreamRecord) -> None:
        resolution = request.resolution
        if resolution is None or record.key != request.call.key:
            return
        status = self.status(request)
        is_own = isinstance(record, claims.ClaimRecord) and (
            record.claim_id == resolution.own_claim_id
        )
        actions = (
            resolution.offset_applied(status)
            if is_own
            else resolution.status_changed(status)
        )
        self.act(request, actions)
