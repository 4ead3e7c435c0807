"""Steps for streams of an engine that falls silent, on the product's own interface."""

from __future__ import annotations

import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import msgspec
from behave import given, then, when

from lentiltally.agent.engine_client import EngineClient
from lentiltally.agent.engine_run import EngineAttempt
from lentiltally.agent.engine_target import EngineTarget
from lentiltally.agent.kept_answers import KeptAnswer
from lentiltally.agent.runner import TargetRunner
from lentiltally.agent.shared import AgentState
from lentiltally.agent.stream_reader import StreamReader
from lentiltally.agent.target import Job
from lentiltally.clock import SystemClock
from lentiltally.decisions.attempts import AttemptTable
from lentiltally.decisions.work_queue import QueuedWork
from lentiltally.metrics import Metrics
from lentiltally.settings import TargetSettings
from lentiltally.wire import AnswerEnd, Cancel
from tests.steps.agent_cut_answers_steps import read_request
from tests.steps.engine_run_steps import execute_message
from tests.steps.resumed_streams_steps import (
    DONE,
    JSON,
    RESUMED,
    answer,
    emitted_events,
    event,
    stream,
)

LIMIT_S = 5.0
# Longest wait for what must happen; no verdict depends on it.
WAIT_S = 20.0
SILENCE_S = 0.2
# How often an attempt is told that time is left.
PATIENCE = 2
REST = event(3) + DONE
WITHOUT_ID = event(1).partition(b"\n")[2]
FIRST_EVENTS = {
    "after event 2": (event(1) + event(2), REST),
    "after an event without an id": (WITHOUT_ID, b"data: [DONE]\n\n"),
    "before the first event": (b"", event(1) + event(2) + REST),
}
RESUMED_ANSWERS = RESUMED | {
    "an error 503": answer(b"503 Busy", JSON, b'{"error": 1}'),
    "a head and silence": stream(b""),
}


class SilentEngine:
    """Falls silent on the first connection and goes on there when it is told to.

    ``resumed`` is the answer on each later connection; those stay open if it is a head
    only. ``closed`` counts the connections that the other end has closed.
    """

    def __init__(self, first, rest):
        self.go_on = threading.Event()
        self.goes_on_after_resume = False
        self.resumed = RESUMED_ANSWERS["an error 503"]
        self.opened = 0
        self._first, self._rest = first, rest
        self._threads = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            thread = threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def _serve(self, connection):
        with connection:
            if b" /v1/cancel/" in read_request(connection).partition(b"\r\n")[0]:
                connection.sendall(answer(b"200 OK", JSON, b"{}"))
                return
            self.opened += 1
            if self.opened == 1:
                self._serve_first(connection)
            else:
                self._serve_resumed(connection)

    def _serve_first(self, connection):
        connection.sendall(stream(self._first))
        if self.go_on.wait(WAIT_S):
            try:
                connection.sendall(self._rest)
                # The body has no length and ends here.
                connection.shutdown(socket.SHUT_WR)
            except OSError:
                # The other end has closed the connection.
                return
        _wait_closed(connection)

    def _serve_resumed(self, connection):
        connection.sendall(self.resumed)
        if self.goes_on_after_resume:
            self.go_on.set()
        if self.resumed == RESUMED_ANSWERS["a head and silence"]:
            _wait_closed(connection)

    def close(self):
        """Accept no more connections, and end the first one."""
        self._listener.close()
        self.go_on.set()

    def all_closed(self):
        """Return whether the other end closes every connection."""
        self.go_on.set()
        for thread in self._threads:
            thread.join(WAIT_S)
        return not any(thread.is_alive() for thread in self._threads)


def _wait_closed(connection):
    try:
        while connection.recv(4096):
            pass
    except OSError:
        # A reset is a close, too.
        return


def _start_engine(context, where):
    context.engine = SilentEngine(*FIRST_EVENTS[where])
    context.add_cleanup(context.engine.close)
    context.asked = 0


@given("engine attempt's engine falls silent after event 2")
def falls_silent(context):
    _start_engine(context, "after event 2")
    context.has_time_left = lambda: True


@given("engine attempt's engine answers a resumed stream with {kind} and then goes on")
def answers_and_goes_on(context, kind):
    context.engine.resumed = RESUMED_ANSWERS[kind]
    context.engine.goes_on_after_resume = True


@given("engine attempt's engine answers a resumed stream with the next events")
def answers_next_events(context):
    context.engine.resumed = RESUMED_ANSWERS["the next events"]


@given("engine attempt's engine falls silent for a while {where}")
def falls_silent_for_a_while(context, where):
    _start_engine(context, where)

    def has_time_left():
        # The attempt has noticed the silence.
        context.engine.go_on.set()
        return True

    context.has_time_left = has_time_left


@given("engine attempt's engine falls silent for good {where}")
def falls_silent_for_good(context, where):
    _start_engine(context, where)

    def has_time_left():
        context.asked += 1
        return context.asked <= PATIENCE

    context.has_time_left = has_time_left


@when("engine attempt runs {kind} work")
def runs_work(context, kind):
    reader = StreamReader(SystemClock())
    reader.start()
    context.add_cleanup(reader.stop)
    execute = msgspec.structs.replace(
        execute_message(True), idempotent=kind == "idempotent"
    )
    context.emitted = []
    context.attempt = EngineAttempt(
        EngineClient(context.engine.url, "engine", 4, LIMIT_S, LIMIT_S),
        execute,
        "i1",
        context.emitted.append,
        reader=reader,
        silence_timeout_s=SILENCE_S,
        has_time_left=context.has_time_left,
    )
    context.execute_steps("When engine attempt runs")


@then("engine attempt has emitted the whole stream")
def emitted_whole_stream(context):
    assert context.error is None, context.error
    expected = context.engine._first + context.engine._rest
    assert emitted_events(context) == expected, emitted_events(context)
    assert isinstance(context.emitted[-1], AnswerEnd), context.emitted[-1]


@then("engine attempt's engine has seen {count:d} connection, all closed")
@then("engine attempt's engine has seen {count:d} connections, all closed")
def seen_connections(context, count):
    assert context.engine.opened == count, context.engine.opened
    assert context.engine.all_closed()


@then("engine attempt has asked {times:d} times whether time is left")
def asked_times(context, times):
    assert context.asked == times, context.asked


class FakeReporter:
    """Drops all messages."""

    def send(self, address, message):
        pass


@when("engine target runs the stream {when}")
def target_runs(context, when):
    clock = SystemClock()
    state = AgentState(
        name="agent",
        incarnation="run",
        address="tcp://agent",
        failure_domain="domain-a",
        clock=clock,
        metrics=Metrics(None, "agent"),
        log=None,
        attempts=AttemptTable("run"),
    )
    settings = TargetSettings(
        name="engine",
        kind="engine",
        url=context.engine.url,
        base_model="m",
        adapter_slots=1,
        batch_places=1,
        enforces_fencing=False,
        max_queue=1,
        first_byte_timeout_s=LIMIT_S,
        silence_timeout_s=SILENCE_S,
    )
    reader = StreamReader(clock)
    reader.start()
    context.add_cleanup(reader.stop)
    target = EngineTarget(settings, state, None, reader)
    runner = TargetRunner(settings, state, FakeReporter(), target)
    is_past = when == "past its deadline"
    deadline_s = clock.monotonic_s() + (0.0 if is_past else 3600.0)
    item = QueuedWork("a1", "t/a@1", 0, 1, 0.0, deadline_s, 1.0)
    execute = execute_message(True)
    job = Job(item, execute, KeptAnswer(""), engine_incarnation="i1")
    runner._running["a1"] = job
    if not is_past:
        runner.cancel(Cancel("a1", "", "run", "caller gone"))
    with ThreadPoolExecutor(1) as pool:
        result = pool.submit(target.run, job, lambda message: None)
        try:
            context.error = result.exception(WAIT_S)
        except TimeoutError:
            # The failure of the step must not wait for the stream.
            context.engine.close()
            raise
