"""Steps for the dispatch filter, with fake agents that answer as configured."""

from __future__ import annotations

import logging
import random
from datetime import timedelta

import msgspec
from behave import given, then, when

from lentiltally.exchange import CallerRequest, Exchange, Work
from lentiltally.ids import AttemptIds
from lentiltally.metrics import Metrics
from lentiltally.pipeline.dispatch import Dispatch
from lentiltally.problems import Refusal
from lentiltally.routing.attempts import AttemptContext
from lentiltally.routing.pending import PendingAttempts
from lentiltally.routing.retry_policy import BudgetedRetryPolicy
from lentiltally.wire import (
    AnswerEnd,
    AnswerEvents,
    AnswerHead,
    CompleteAnswer,
    Execute,
    Refused,
    TargetCounts,
    TargetState,
)

DEADLINE_S = 20.0
FIRST_EVENT = b"id: 1\ndata: {}\n\n"
WORK = Work(
    kind="model",
    team="t",
    adapter="a",
    version="1",
    source="a/1",
    base_model="m",
    targets=(),
    path="/v1/completions",
    stream=False,
    is_idempotent=True,
    is_keyed=False,
    criticality=0,
    share=1.0,
    max_concurrent=0,
    deadline_s=DEADLINE_S,
    config_offset=0,
    max_tokens=1,
    prefix_hash=0,
)


class FakeClock:
    """Advances only when something sleeps."""

    def __init__(self):
        self.now_s = 0.0

    def monotonic_s(self):
        return self.now_s

    def sleep(self, duration: timedelta):
        self.now_s += duration.total_seconds()


class FakeDirectory:
    """Chooses the first target that is not excluded."""

    def __init__(self, count):
        self.targets = [_target(number) for number in range(1, count + 1)]

    def choose(self, request, targets):
        remaining = [t for t in self.targets if t.target not in request.excluded]
        return remaining[0] if remaining else None

    def finished(self, state):
        pass

    def mark_not_loaded(self, target, adapter_hash):
        pass

    def update_counts(self, target, counts):
        pass


class FakeAgents:
    """Answers each attempt at once; the first ones get the given refusals."""

    def __init__(self, pending, refusals):
        self._pending = pending
        self._refusals = list(refusals)
        self.sent = []

    def put(self, address, message):
        if not isinstance(message, Execute):
            return
        self.sent.append(message)
        if self._refusals:
            executed, reason = self._refusals.pop(0)
            answer = Refused(message.attempt_id, executed, reason, "run", "agent", 0.0)
        else:
            answer = CompleteAnswer(message.attempt_id, 200, "text/plain", b"done")
        self._pending.deliver(answer)


class FakeStreamAgent:
    """Begins a stream for each attempt; the test delivers the rest."""

    def __init__(self, pending):
        self.pending = pending
        self.attempt_id = ""

    def put(self, address, message):
        if not isinstance(message, Execute):
            return
        self.attempt_id = message.attempt_id
        self.deliver(AnswerHead(self.attempt_id, 200, "text/event-stream"))
        self.deliver(AnswerEvents(self.attempt_id, 0, 1, FIRST_EVENT))

    def deliver(self, message):
        self.pending.deliver(message)


class RecordingHandler(logging.Handler):
    """Keeps log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


class FakeReleaseSender:
    """Drops all releases."""

    def put(self, address, attempt_id):
        pass


def _target(number):
    return TargetState(
        agent=f"agent-{number}",
        agent_address=f"tcp://agent-{number}",
        agent_incarnation="run",
        sequence=1,
        target=f"target-{number}",
        kind="engine",
        base_model="m",
        failure_domain="domain-a",
        status="ready",
        reason="",
        engine_incarnation="engine",
        counts=TargetCounts(),
        batch_places=1,
        adapter_slots=1,
        resident=(),
    )


@given(
    "dispatch has {count:d} targets, of which the first {failures:d} fail with "
    "{executed:w} {reason}"
)
def dispatch_targets(context, count, failures, executed, reason):
    pending = PendingAttempts()
    context.agents = FakeAgents(pending, [(executed, reason)] * failures)
    set_dispatch(context, pending, count)


def set_dispatch(context, pending, count):
    context.directory = FakeDirectory(count)
    attempt_context = AttemptContext(
        pending=pending,
        directory=context.directory,
        outboxes=context.agents,
        releases=FakeReleaseSender(),
        ids=AttemptIds("entry"),
        reply_address="tcp://entry",
        clock=FakeClock(),
    )
    retries = BudgetedRetryPolicy(random.Random(1))
    context.dispatch = Dispatch(
        attempt_context, retries, Metrics(None, "entry"), "domain-a"
    )


@when("dispatch runs {kind} work")
def dispatch_runs(context, kind):
    work = msgspec.structs.replace(WORK, is_idempotent=kind == "idempotent")
    request = CallerRequest("POST", WORK.path, "", {}, b"{}", 0.0)
    try:
        context.status = context.dispatch(Exchange(request, "r", work=work)).status
    except Refusal as refusal:
        context.status = refusal.status


@then("dispatch ends with {status:d} after {attempts:d} attempts, {suspicion}")
def dispatch_ended(context, status, attempts, suspicion):
    sent = context.agents.sent
    assert (context.status, len(sent)) == (status, attempts), (context.status, sent)
    is_suspected = any(message.is_suspect for message in sent)
    assert is_suspected == (suspicion == "suspected"), sent


@given("dispatch has a target that begins a stream")
def dispatch_stream_target(context):
    pending = PendingAttempts()
    context.agents = FakeStreamAgent(pending)
    set_dispatch(context, pending, 1)


@when("dispatch's stream ends after its first event because {cause}")
def dispatch_stream_ends(context, cause):
    handler = RecordingHandler()
    logger = logging.getLogger("lentiltally.pipeline.dispatch")
    logger.addHandler(handler)
    context.add_cleanup(logger.removeHandler, handler)
    context.records = handler.records
    work = msgspec.structs.replace(WORK, stream=True)
    request = CallerRequest("POST", WORK.path, "", {}, b"{}", 0.0)
    parts = context.dispatch(Exchange(request, "r", work=work)).body
    assert next(parts) == FIRST_EVENT
    attempt_id = context.agents.attempt_id
    if cause == "its caller is gone":
        parts.close()
    elif cause == "its entry stops":
        context.agents.pending.end_all()
    elif cause == "its target fails":
        context.agents.deliver(
            Refused(attempt_id, "unknown", "target-failed", "run", "agent", 0.0)
        )
    else:

        def fail(target, counts):
            raise ValueError

        context.directory.update_counts = fail
        context.agents.deliver(AnswerEnd(attempt_id, 1))
    context.told = b"".join(parts)


@then("dispatch's stream has told its caller {told}")
def dispatch_stream_told(context, told):
    if told == "nothing":
        assert not context.told, context.told
    else:
        assert context.told.startswith(b"event: error\n"), context.told
        assert told.encode() in context.told, context.told


@then('dispatch has logged "{line}" for the request with the reason "{reason}"')
def dispatch_logged(context, line, reason):
    (record,) = [r for r in context.records if r.getMessage() == line]
    assert record.request == "r", record.__dict__
    error = record.exc_info and record.exc_info[0].__name__
    assert reason in (error, getattr(record, "reason", None)), record.__dict__
