"""A fake entry process around the real decision classes."""

from __future__ import annotations

import ast

from bench._guarantees.agent import SECRET
from bench._guarantees.entry_claims import EntryClaims, Request
from bench._guarantees.journal import OWN_NOTICE_BOUND_S, Call
from bench._guarantees.world import Shared
from lentiltally.decisions import answers, minted_keys
from lentiltally.decisions.membership import (
    HOST_LIST_MAX_AGE_S,
    HOST_LIST_POLL_INTERVAL_S,
)
from lentiltally.wire import messages

DEADLINE_S = 14.0


class FakeEntry(EntryClaims):
    """One run of an entry."""

    def __init__(self, shared: Shared, name: str, run: int) -> None:
        """Listen for agents and read the host list."""
        super().__init__(shared, name, run)
        self.started_at_s = shared.kernel.now_s
        self.network.listen(name, self, self.receive)
        self.every(0.5, self._tick)
        self.every(HOST_LIST_POLL_INTERVAL_S, self._poll_hosts)
        self.every(2.0, self._say_hello)
        self._say_hello()
        self._poll_hosts()

    def end(self) -> None:
        """End at once; callers see a broken connection."""
        if self.is_dead:
            return
        self.is_dead = True
        for request in self.requests:
            if not request.is_over:
                journal = self.kernel.journal
                journal.refused(request.call.number, "unknown", self.now_s)

    def enter_call(self, call: Call) -> None:
        """Take a call, or leave the caller without a connection."""
        self.enter(lambda: self.call(call))

    def call(self, call: Call) -> None:
        """Take a call."""
        request = Request(call, self.now_s + DEADLINE_S)
        self.kernel.journal.called(call)
        self.requests.append(request)
        if call.is_minted:
            self._dispatch_minted(request)
        elif call.is_idempotent:
            self._dispatch_new(request)
        else:
            request.resolution = self.parts.resolution("t", call.key)
            self.act(request, request.resolution.start(self.status(request)))

    def receive(self, message: object) -> None:
        """Handle a message of an agent."""
        match message:
            case messages.TargetState():
                self._state(message)
            case messages.Progress():
                self.membership.record_contact(message.agent, self.now_s)
                for request in self.active():
                    index = message.attempts.get(request.attempt_id)
                    if request.assembly is not None and index is not None:
                        actions = request.assembly.progress(index, self.now_s)
                        self._deliver(request, actions)
            case messages.ClaimAnswer():
                self.claim_answer(message)
            case (
                messages.AnswerHead()
                | messages.AnswerEvents()
                | messages.AnswerEnd()
                | messages.CompleteAnswer()
                | messages.Refused()
            ):
                self._answer(message)

    def _answer(self, message: answers.AnswerMessage) -> None:
        # Every assembly sees every message, as if answers had crossed.
        for request in self.active():
            if request.assembly is not None:
                actions = request.assembly.received(message, self.now_s)
                self._deliver(request, actions)

    def _state(self, message: messages.TargetState) -> None:
        if message.status == "leaving":
            self.directory.told[self.run_name, message.agent_incarnation] = True
        self.membership.apply_state(message, self.now_s)
        for request in self.active():
            if request.agent != message.agent or request.assembly is None:
                continue
            current = self.membership.agent_incarnation(message.agent)
            if current is not None and current != self._bound(request):
                # The state may be an old run's, so the process that listens is asked.
                index = request.assembly.next_index
                self._resume(request, index)

    def _bound(self, request: Request) -> str:
        return self.directory.bound[request.attempt_id]

    def _dispatch_minted(self, request: Request) -> None:
        key = minted_keys.verify([SECRET], request.call.key)
        target = None if key is None else self.directory.target_of(key.agent)
        is_ok = target and self.membership.eligible(target, self.now_s).ok
        if key is None or target is None or not is_ok:
            self.refuse(request, "no")
        else:
            # The agent itself has to find out that the key is of an earlier run.
            state = self.membership.state(target)
            assert state is not None
            self.dispatch(request, self.ids.next(), target, state.agent_incarnation)

    def _dispatch_new(self, request: Request) -> None:
        target = self.choose()
        if target is None:
            self.refuse(request, "no")
            return
        state = self.membership.state(target)
        assert state is not None
        self.dispatch(request, self.ids.next(), target, state.agent_incarnation)

    def choose(self) -> str | None:
        """Return a random eligible target."""
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
        request.assembly = self.parts.assembly(attempt_id, self.now_s)
        self.directory.bound[attempt_id] = incarnation
        self._check_leaving(target)
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

    def _check_leaving(self, target: str) -> None:
        """Compare with what the agents and the host list themselves know."""
        agent = self.directory.agents[self.directory.agent_of(target)]
        left_at_s, now_s = agent.left_at_s, self.now_s
        was_told = self.directory.told.get((self.run_name, agent.incarnation), False)
        is_told = left_at_s is not None and was_told and not agent.is_dead
        if is_told and now_s - (left_at_s or 0.0) > OWN_NOTICE_BOUND_S:
            self.kernel.journal.sent_to_leaving()
        listed_s = self.directory.listed_leaving.get(agent.name)
        if listed_s is not None:
            since_s = max(listed_s, self.started_at_s)
            if now_s - since_s > HOST_LIST_MAX_AGE_S:
                self.kernel.journal.sent_to_leaving()

    def _deliver(self, request: Request, actions: list[answers.AnswerAction]) -> None:
        for action in actions:
            if request.is_over:
                return
            self._deliver_one(request, action)

    def _deliver_one(self, request: Request, action: answers.AnswerAction) -> None:
        journal, number = self.kernel.journal, request.call.number
        match action:
            case answers.DeliverEvents():
                for event in answers.split_events(action.data):
                    execution, index = event.split()
                    journal.delivered(number, int(execution), int(index))
            case answers.DeliverCompleteAnswer():
                for execution, index in ast.literal_eval(action.body.decode()):
                    journal.delivered(number, execution, index)
            case answers.Complete():
                self._completed(request)
            case answers.RequestResume():
                self._resume(request, action.next_index)
            case answers.Reconnect():
                self.network.reconnect(self.name, request.agent)
            case answers.Failed():
                self._failed(request, action)

    def _resume(self, request: Request, next_index: int) -> None:
        bound = self._bound(request)
        resume = messages.Resume(
            request.attempt_id, self.name, bound, next_index, reconnect=False
        )
        self.network.send(self.name, request.agent, resume)

    def _completed(self, request: Request) -> None:
        self.membership.completed(request.agent)
        self.kernel.journal.completed(
            request.call.number, request.call.events, self.now_s
        )
        request.is_over = True
        if request.resolution is not None:
            body = request.attempt_id.encode()
            self.act(request, request.resolution.answered(200, "", body))
        else:
            self.release(request.attempt_id, request.agent)

    def release(self, attempt_id: str, agent: str) -> None:
        """Tell the agent to forget an answer."""
        self.network.send(self.name, agent, messages.Release(attempt_id))

    def _failed(self, request: Request, failure: answers.Failed) -> None:
        self.membership.completed(request.agent)
        delivered = request.assembly is not None and request.assembly.has_delivered
        request.assembly = None
        if request.resolution is not None:
            is_no = failure.executed == "no"
            self.act(request, request.resolution.attempt_refused(is_no))
            return
        may_retry = failure.executed == "no" or request.call.is_idempotent
        if request.call.is_minted or delivered or not may_retry:
            self.refuse(request, failure.executed)
        elif request.tries_left and not request.is_cancelled:
            request.tries_left -= 1
            request.may_have_run |= failure.executed != "no"
            self._dispatch_new(request)
        else:
            self.refuse(request, failure.executed)

    def refuse(self, request: Request, executed: str) -> None:
        """End a request with a refusal."""
        request.is_over = True
        # An earlier try of idempotent work may have run, so "no" would be untrue.
        if request.may_have_run and executed == "no":
            executed = "unknown"
        self.kernel.journal.refused(request.call.number, executed, self.now_s)

    def _tick(self) -> None:
        for request in self.active():
            if request.assembly is not None:
                self._deliver(request, request.assembly.tick(self.now_s))
            if not request.is_over and self.now_s > request.deadline_s:
                self._deadline(request)
        for agent in self.membership.unresponsive_agents(self.now_s):
            self.network.reconnect(self.name, agent)

    def _deadline(self, request: Request) -> None:
        if request.assembly is not None and not request.is_cancelled:
            request.is_cancelled = True
            request.deadline_s = self.now_s + 2.0
            bound = self._bound(request)
            cancel = messages.Cancel(request.attempt_id, self.name, bound, "deadline")
            self.network.send(self.name, request.agent, cancel)
        elif request.resolution is not None:
            self.act(request, request.resolution.timed_out())
        else:
            self.refuse(request, "unknown")

    def _poll_hosts(self) -> None:
        hosts = self.directory.hosts()
        asked_at_s = self.now_s

        def read() -> None:
            self.membership.host_list_received(hosts, self.now_s, asked_at_s)

        self.later(0.3, read)

    def _say_hello(self) -> None:
        hello = messages.Hello(self.name, self.name, self.name, "d")
        for agent in self.directory.agents:
            self.network.send(self.name, agent, hello)
