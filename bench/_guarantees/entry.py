"""A fake entry process, around the real decision classes."""

from __future__ import annotations

import ast

from bench._guarantees.agent import MINTED_KEY_SECRET
from bench._guarantees.entry_claims import EntryClaims, Request
from bench._guarantees.environment import Environment
from bench._guarantees.journal import DRAIN_NOTICE_BOUND_S, Call
from lentiltally.decisions import answers, minted_keys
from lentiltally.decisions.membership import (
    HOST_LIST_MAX_AGE_S,
    HOST_LIST_POLL_INTERVAL_S,
)
from lentiltally.wire import messages

DEADLINE_S = 14.0


class FakeEntry(EntryClaims):
    """One incarnation of an entry."""

    def __init__(self, environment: Environment, name: str, run_number: int) -> None:
        """Listen for agents and start to poll the host list."""
        super().__init__(environment, name, run_number)
        self.started_at_s = environment.kernel.now_s
        self.network.listen(name, self, self.receive)
        self.call_every(0.5, self._check_deadlines)
        self.call_every(HOST_LIST_POLL_INTERVAL_S, self._poll_host_list)
        self.call_every(2.0, self._send_hello)
        self._send_hello()
        self._poll_host_list()

    def terminate(self) -> None:
        """Terminate at once; callers see a closed connection."""
        if self.is_dead:
            return
        self.is_dead = True
        for request in self.requests:
            if not request.is_over:
                journal = self.kernel.journal
                journal.record_refusal(request.call.number, "unknown", self.now_s)

    def submit_call(self, call: Call) -> None:
        """Accept a call of a caller; it is lost if the process is dead."""
        self.run_or_defer(lambda: self.handle_call(call))

    def handle_call(self, call: Call) -> None:
        """Start to process a call."""
        request = Request(call, self.now_s + DEADLINE_S)
        self.kernel.journal.record_call(call)
        self.requests.append(request)
        if call.is_minted:
            self._dispatch_minted(request)
        elif call.is_idempotent:
            self._dispatch_new(request)
        else:
            request.resolution = self.components.resolution("t", call.key)
            self.apply_resolution(
                request, request.resolution.start(self.status(request))
            )

    def receive(self, message: object) -> None:
        """Handle a message from an agent."""
        match message:
            case messages.TargetState():
                self._handle_state(message)
            case messages.Progress():
                self.membership.record_contact(message.agent, self.now_s)
                for request in self.open_requests():
                    index = message.attempts.get(request.attempt_id)
                    if request.assembly is not None and index is not None:
                        actions = request.assembly.progress(index, self.now_s)
                        self._apply_answer_actions(request, actions)
            case messages.ClaimAnswer():
                self.handle_claim_answer(message)
            case (
                messages.AnswerHead()
                | messages.AnswerEvents()
                | messages.AnswerEnd()
                | messages.CompleteAnswer()
                | messages.Refused()
            ):
                self._handle_answer(message)

    def _handle_answer(self, message: answers.AnswerMessage) -> None:
        # Every assembly gets every message, as if answers were misrouted.
        for request in self.open_requests():
            if request.assembly is not None:
                actions = request.assembly.received(message, self.now_s)
                self._apply_answer_actions(request, actions)

    def _handle_state(self, message: messages.TargetState) -> None:
        if message.status == "leaving":
            self.directory.drain_notices_received[
                self.incarnation, message.agent_incarnation
            ] = True
        self.membership.apply_state(message, self.now_s)
        for request in self.open_requests():
            if request.agent != message.agent or request.assembly is None:
                continue
            current = self.membership.agent_incarnation(message.agent)
            if current is not None and current != self._bound_incarnation(request):
                # The state may have come late from an earlier agent incarnation. So the
                # agent that listens now is asked to resume.
                index = request.assembly.next_index
                self._resume(request, index)

    def _bound_incarnation(self, request: Request) -> str:
        return self.directory.bound_incarnations[request.attempt_id]

    def _dispatch_minted(self, request: Request) -> None:
        key = minted_keys.verify([MINTED_KEY_SECRET], request.call.key)
        target = None if key is None else self.directory.target_of(key.agent)
        is_eligible = target and self.membership.eligible(target, self.now_s).ok
        if key is None or target is None or not is_eligible:
            self.refuse(request, "no")
        else:
            # The agent itself must notice that the key is of an earlier incarnation.
            state = self.membership.state(target)
            assert state is not None
            self.dispatch(request, self.ids.next(), target, state.agent_incarnation)

    def _dispatch_new(self, request: Request) -> None:
        target = self.choose_target()
        if target is None:
            self.refuse(request, "no")
            return
        state = self.membership.state(target)
        assert state is not None
        self.dispatch(request, self.ids.next(), target, state.agent_incarnation)

    def choose_target(self) -> str | None:
        """Return a random eligible target, or None."""
        eligible = [
            target
            for target in self.membership.targets()
            if self.membership.eligible(target, self.now_s).ok
        ]
        return self.kernel.rng.choice(eligible) if eligible else None

    def dispatch(
        self, request: Request, attempt_id: str, target: str, incarnation: str
    ) -> None:
        """Send an attempt to the agent of a target."""
        agent = self.directory.agent_of(target)
        call = request.call
        request.attempt_id, request.target, request.agent = attempt_id, target, agent
        request.assembly = self.components.assembly(attempt_id, self.now_s)
        self.directory.bound_incarnations[attempt_id] = incarnation
        self._check_not_draining(target)
        self.membership.dispatched(agent, self.now_s)
        execute = messages.Execute(
            attempt_id=attempt_id,
            reply_address=self.name,
            agent_incarnation=incarnation,
            target=target,
            team="t",
            adapter=call.adapter,
            version="1",
            source="",
            method="POST",
            path="",
            content_type="",
            body=str(call.number).encode(),
            stream=call.is_streamed,
            priority=0,
            idempotent=call.is_idempotent,
            fingerprint="",
            deadline_left_s=request.deadline_s - self.now_s,
            config_offset=0,
        )
        self.network.send(self.name, agent, execute)

    def _check_not_draining(self, target: str) -> None:
        """Record a violation if a target drains and the entry should know it by now."""
        agent = self.directory.agents[self.directory.agent_of(target)]
        drain_started_s, now_s = agent.drain_started_s, self.now_s
        was_notified = self.directory.drain_notices_received.get(
            (self.incarnation, agent.incarnation), False
        )
        has_drain_notice = (
            drain_started_s is not None and was_notified and not agent.is_dead
        )
        if has_drain_notice and now_s - (drain_started_s or 0.0) > DRAIN_NOTICE_BOUND_S:
            self.kernel.journal.record_sent_to_draining()
        listed_at_s = self.directory.listed_draining_since_s.get(agent.name)
        if listed_at_s is not None:
            since_s = max(listed_at_s, self.started_at_s)
            if now_s - since_s > HOST_LIST_MAX_AGE_S:
                self.kernel.journal.record_sent_to_draining()

    def _apply_answer_actions(
        self, request: Request, actions: list[answers.AnswerAction]
    ) -> None:
        for action in actions:
            if request.is_over:
                return
            self._apply_answer_action(request, action)

    def _apply_answer_action(
        self, request: Request, action: answers.AnswerAction
    ) -> None:
        journal, number = self.kernel.journal, request.call.number
        match action:
            case answers.DeliverEvents():
                for event in answers.split_events(action.data):
                    execution, index = event.split()
                    journal.record_event(number, int(execution), int(index))
            case answers.DeliverCompleteAnswer():
                for execution, index in ast.literal_eval(action.body.decode()):
                    journal.record_event(number, execution, index)
            case answers.Complete():
                self._handle_completed(request)
            case answers.RequestResume():
                self._resume(request, action.next_index)
            case answers.Reconnect():
                self.network.reconnect(self.name, request.agent)
            case answers.Failed():
                self._handle_failed(request, action)

    def _resume(self, request: Request, next_index: int) -> None:
        agent_incarnation = self._bound_incarnation(request)
        resume = messages.Resume(
            request.attempt_id,
            self.name,
            agent_incarnation,
            next_index,
            reconnect=False,
        )
        self.network.send(self.name, request.agent, resume)

    def _handle_completed(self, request: Request) -> None:
        self.membership.completed(request.agent)
        self.kernel.journal.record_completion(
            request.call.number, request.call.events, self.now_s
        )
        request.is_over = True
        if request.resolution is not None:
            body = request.attempt_id.encode()
            self.apply_resolution(request, request.resolution.answered(200, "", body))
        else:
            self.send_release(request.attempt_id, request.agent)

    def send_release(self, attempt_id: str, agent: str) -> None:
        """Tell the agent that an answer is no longer needed."""
        self.network.send(self.name, agent, messages.Release(attempt_id))

    def _handle_failed(self, request: Request, failure: answers.Failed) -> None:
        self.membership.completed(request.agent)
        delivered = request.assembly is not None and request.assembly.has_delivered
        request.assembly = None
        if request.resolution is not None:
            is_not_executed = failure.executed == "no"
            self.apply_resolution(
                request, request.resolution.attempt_refused(is_not_executed)
            )
            return
        may_retry = failure.executed == "no" or request.call.is_idempotent
        if request.call.is_minted or delivered or not may_retry:
            self.refuse(request, failure.executed)
        elif request.retries_left and not request.is_cancelled:
            request.retries_left -= 1
            request.may_have_run |= failure.executed != "no"
            self._dispatch_new(request)
        else:
            self.refuse(request, failure.executed)

    def refuse(self, request: Request, executed: str) -> None:
        """End a request with a refusal."""
        request.is_over = True
        # An earlier attempt of idempotent work may have run, so "no" would be untrue.
        if request.may_have_run and executed == "no":
            executed = "unknown"
        self.kernel.journal.record_refusal(request.call.number, executed, self.now_s)

    def _check_deadlines(self) -> None:
        for request in self.open_requests():
            if request.assembly is not None:
                self._apply_answer_actions(request, request.assembly.tick(self.now_s))
            if not request.is_over and self.now_s > request.deadline_s:
                self._handle_deadline(request)
        for agent in self.membership.unresponsive_agents(self.now_s):
            self.network.reconnect(self.name, agent)

    def _handle_deadline(self, request: Request) -> None:
        if request.assembly is not None and not request.is_cancelled:
            request.is_cancelled = True
            request.deadline_s = self.now_s + 2.0
            agent_incarnation = self._bound_incarnation(request)
            cancel = messages.Cancel(
                request.attempt_id, self.name, agent_incarnation, "deadline"
            )
            self.network.send(self.name, request.agent, cancel)
        elif request.resolution is not None:
            self.apply_resolution(request, request.resolution.timed_out())
        else:
            self.refuse(request, "unknown")

    def _poll_host_list(self) -> None:
        hosts = self.directory.hosts()
        requested_at_s = self.now_s

        def read() -> None:
            self.membership.host_list_received(hosts, self.now_s, requested_at_s)

        self.call_later(0.3, read)

    def _send_hello(self) -> None:
        hello = messages.Hello(self.name, self.name, self.name, "d")
        for agent in self.directory.agents:
            self.network.send(self.name, agent, hello)
