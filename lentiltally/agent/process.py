"""The agent process: creates its parts, handles messages of entries and drains.

Entries send messages to the agent's channel address. An attempt goes to the runner of
its target; questions about an attempt's answer or a claim are answered here.
"""

from __future__ import annotations

import logging
import signal
import threading
from collections.abc import Callable
from datetime import timedelta

from lentiltally.agent.engine_target import EngineTarget
from lentiltally.agent.health import HealthServer
from lentiltally.agent.leases import Leases
from lentiltally.agent.permits import Permits
from lentiltally.agent.reporter import Reporter, group_by_entry
from lentiltally.agent.runner import TargetRunner
from lentiltally.agent.service_target import ServiceTarget
from lentiltally.agent.shared import (
    QUARANTINE_STREAM,
    AgentState,
    quarantine_decoder,
    refuse,
)
from lentiltally.agent.stream_reader import StreamReader
from lentiltally.clock import Clock, SystemClock
from lentiltally.config import (
    ConfigFollower,
    ConfigTree,
    FollowerState,
    FollowerThread,
)
from lentiltally.decisions.attempts import AttemptTable, Refused
from lentiltally.decisions.load_permits import PermitSettings
from lentiltally.ids import new_incarnation
from lentiltally.metrics import Metrics
from lentiltally.platform.log_client import LogClient
from lentiltally.platform.stream_follower import StreamFollower
from lentiltally.settings import AgentSettings, TargetSettings
from lentiltally.wire import (
    Cancel,
    ClaimAnswer,
    ClaimQuery,
    Execute,
    Heartbeat,
    Hello,
    Inbox,
    Message,
    Outboxes,
    Release,
    Resume,
    TargetState,
)

_log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
GAUGE_INTERVAL_S = 10.0
RELEASE_TIMEOUT_S = 3.0
# Entries are expected to have stopped sending attempts this long after a drain was
# announced.
DRAIN_NOTICE_S = 2.0


class Agent:
    """An agent with its targets; each agent process runs one."""

    def __init__(self, settings: AgentSettings, clock: Clock) -> None:
        """Bind the addresses; raises ChannelError or OSError if one is taken.

        The channel's address is bound first. Only one process at a time can hold it,
        also while that process is paused, so no second agent sends orders to the
        targets.
        """
        self._settings = settings
        self._clock = clock
        self._inbox = Inbox(settings.channel.listen, self._on_message)
        self._health = HealthServer(settings.health.listen, self._is_ready)
        self._health.bind()
        self._outboxes = Outboxes(clock)
        log = LogClient(settings.log.url, settings.log.timeout_s, clock)
        incarnation = new_incarnation()
        self._state = AgentState(
            name=settings.process.name,
            incarnation=incarnation,
            address=settings.channel.listen,
            failure_domain=settings.process.failure_domain,
            clock=clock,
            metrics=Metrics.from_settings(settings.metrics, settings.process),
            log=log,
            attempts=AttemptTable(
                incarnation, max_answer_bytes=settings.limits.kept_answers_bytes
            ),
        )
        self._reporter = Reporter(
            outboxes=self._outboxes,
            get_state_reports=self._state_reports,
            get_open_attempts=self._open_attempts_by_entry,
            make_heartbeat=self._make_heartbeat,
            clock=clock,
        )
        self._permits = Permits(log, settings.process.name, clock, PermitSettings())
        self._config_thread = FollowerThread(
            ConfigFollower(log, clock), self._on_configuration
        )
        self._quarantine_follower = StreamFollower(
            log,
            QUARANTINE_STREAM,
            quarantine_decoder,
            self._state.apply_quarantine,
            clock,
        )
        self._stream_reader = StreamReader(clock)
        self._targets: dict[str, EngineTarget | ServiceTarget] = {}
        self._runners: dict[str, TargetRunner] = {}
        for target in settings.targets:
            self._add_target(target)
        self._leases = Leases(
            log,
            {
                name: target.ownership
                for name, target in self._targets.items()
                if isinstance(target, EngineTarget)
            },
            self._state.lock,
            clock,
        )
        self._stopping = threading.Event()
        self._is_draining = False
        self._gauges_due_s = 0.0

    def serve(self) -> int:
        """Run until SIGTERM or SIGINT, drain, and return the exit code."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self._stopping.set())
        self._start()
        _log.info("agent ready", extra={"address": self._state.address})
        while not self._stopping.wait(TICK_INTERVAL_S):
            self._tick()
        self._drain()
        return 0

    def _start(self) -> None:
        self._state.metrics.start()
        self._config_thread.start()
        self._quarantine_follower.start()
        self._permits.start()
        self._leases.start()
        for name, target in self._targets.items():
            target.start(self._runners[name])
        self._stream_reader.start()
        self._reporter.start()
        self._inbox.start()
        threading.Thread(target=self._health.serve, daemon=True).start()

    def _on_configuration(self, tree: ConfigTree) -> None:
        """Apply a configuration: its offset, and which adapters are still declared."""
        with self._state.lock:
            self._state.config_offset = tree.offset
            for target in self._targets.values():
                target.apply_configuration(tree)

    def _tick(self) -> None:
        for runner in self._runners.values():
            runner.process_queue()
            runner.sample_batch_fill()
        now_s = self._clock.monotonic_s()
        if now_s >= self._gauges_due_s:
            self._gauges_due_s = now_s + GAUGE_INTERVAL_S
            self._set_gauges()

    def _set_gauges(self) -> None:
        follower, metrics = self._config_thread.follower, self._state.metrics
        is_down = follower.state is FollowerState.LOG_DOWN
        metrics.gauge("config_offset", follower.offset)
        metrics.gauge("config_lag", follower.staleness_s() or 0.0)
        metrics.gauge("log_unavailable", int(is_down))
        with self._state.lock:
            quarantined = len(self._state.quarantine.quarantined())
        metrics.gauge("quarantined", quarantined)
        metrics.gauge("loads_in_flight", self._permits.held_count())
        for runner in self._runners.values():
            runner.set_gauges()

    def _drain(self) -> None:
        """Announce the drain, let running attempts finish, and stop all parts."""
        self._is_draining = True
        self._state.metrics.gauge("leaving", 1)
        for runner in self._runners.values():
            runner.drain()
        self._reporter.broadcast()
        deadline_s = self._clock.monotonic_s() + self._settings.process.drain_s
        # Attempts that entries send before they have received the announcement must be
        # refused by this incarnation: a later one can't tell that they never ran.
        notice_end_s = self._clock.monotonic_s() + DRAIN_NOTICE_S
        self._wait_until(lambda: False, min(deadline_s, notice_end_s))
        self._wait_until(self._is_idle, deadline_s)
        # Live entries release an answer soon after they have received it.
        release_end_s = self._clock.monotonic_s() + RELEASE_TIMEOUT_S
        self._wait_until(self._all_answers_released, min(deadline_s, release_end_s))
        self._state.record_outcomes()
        for runner in self._runners.values():
            runner.abort_running()
        for target in self._targets.values():
            target.stop()
        self._stream_reader.stop()
        self._reporter.stop()
        self._leases.stop()
        self._permits.stop()
        self._quarantine_follower.stop()
        # Waits for appends that have begun; the log client's timeout limits that.
        self._state.background.shutdown(cancel_futures=True)
        self._outboxes.close()
        self._inbox.close()
        self._health.stop()
        self._state.metrics.close()
        _log.info("agent stopped")

    def _is_idle(self) -> bool:
        return all(runner.is_idle() for runner in self._runners.values())

    def _all_answers_released(self) -> bool:
        with self._state.lock:
            return self._state.attempts.is_idle

    def _wait_until(self, is_done: Callable[[], bool], deadline_s: float) -> None:
        while self._clock.monotonic_s() < deadline_s and not is_done():
            self._clock.sleep(timedelta(seconds=TICK_INTERVAL_S))

    def _is_ready(self) -> bool:
        return not self._is_draining and any(
            target.is_ready() for target in self._targets.values()
        )

    def _add_target(self, settings: TargetSettings) -> None:
        target: EngineTarget | ServiceTarget
        if settings.kind == "engine":
            target = EngineTarget(
                settings, self._state, self._permits, self._stream_reader
            )
        else:
            target = ServiceTarget(settings)
        self._targets[settings.name] = target
        self._runners[settings.name] = TargetRunner(
            settings, self._state, self._reporter, target
        )

    def _state_reports(self) -> list[TargetState]:
        return [runner.state_report() for runner in self._runners.values()]

    def _make_heartbeat(self) -> Heartbeat:
        state = self._state
        with state.lock:
            return Heartbeat(
                state.name, state.incarnation, state.state_sequence, state.config_offset
            )

    def _open_attempts_by_entry(self) -> dict[str, dict[str, int]]:
        with self._state.lock:
            open_attempts = {
                attempt_id: (answer.reply_address, answer.next_index)
                for attempt_id, answer in self._state.open_answers.items()
            }
        return group_by_entry(open_attempts)

    def _on_message(self, message: Message) -> None:
        match message:
            case Execute():
                self._execute(message)
            case Cancel():
                self._cancel(message)
            case Resume():
                self._resume(message)
            case Release():
                with self._state.lock:
                    self._state.release_answer(message.attempt_id)
            case Hello():
                self._reporter.on_hello(message)
            case ClaimQuery():
                self._reporter.send(message.reply_address, self._claim_answer(message))
            case _:
                _log.warning(
                    "message of an unexpected kind", extra={"kind": type(message)}
                )

    def _execute(self, message: Execute) -> None:
        runner = self._runners.get(message.target)
        if runner is not None:
            runner.submit(message)
            return
        with self._state.lock:
            self._state.attempts.refuse(message.attempt_id)
        refuse(
            self._reporter,
            message.reply_address,
            message.attempt_id,
            "no such target",
            message.target,
        )

    def _cancel(self, message: Cancel) -> None:
        if message.agent_incarnation != self._state.incarnation:
            self._refuse_other_incarnation(message)
            return
        for runner in self._runners.values():
            if runner.cancel(message):
                return
        with self._state.lock:
            self._state.attempts.refuse(message.attempt_id)
        refuse(
            self._reporter,
            message.reply_address,
            message.attempt_id,
            "cancelled",
            self._state.name,
        )

    def _resume(self, message: Resume) -> None:
        if message.reconnect:
            self._outboxes.reconnect(message.reply_address)
        if message.agent_incarnation != self._state.incarnation:
            self._refuse_other_incarnation(message)
            return
        with self._state.lock:
            result = self._state.attempts.query(message.attempt_id)
            answer = self._state.find_answer(message.attempt_id)
        if answer is None:
            self._refuse_resume(message, isinstance(result, Refused))
            return
        answer.reply_address = message.reply_address
        for part in answer.messages_from(message.next_index):
            self._reporter.send(message.reply_address, part)

    def _refuse_other_incarnation(self, message: Cancel | Resume) -> None:
        """Answer for an attempt that was sent to an earlier incarnation of the agent.

        It may have been executed there.
        """
        refuse(
            self._reporter,
            message.reply_address,
            message.attempt_id,
            "agent restarted",
            self._state.name,
            executed="unknown",
        )

    def _refuse_resume(self, message: Resume, is_not_run: bool) -> None:
        refuse(
            self._reporter,
            message.reply_address,
            message.attempt_id,
            "attempt not known",
            self._state.name,
            executed="no" if is_not_run else "unknown",
        )

    def _claim_answer(self, query: ClaimQuery) -> ClaimAnswer:
        unknown = ClaimAnswer(query.query_id, "unknown", 0, "", b"")
        if query.agent_incarnation != self._state.incarnation:
            return unknown
        with self._state.lock:
            result = self._state.attempts.query(query.claim_id)
            answer = self._state.find_answer(query.claim_id)
        if isinstance(result, Refused):
            return ClaimAnswer(query.query_id, "refused", 0, "", b"")
        if answer is None:
            return unknown
        if not answer.is_finished:
            return ClaimAnswer(query.query_id, "running", 0, "", b"")
        complete = answer.as_complete_answer()
        if complete is None:
            return unknown
        return ClaimAnswer(
            query.query_id,
            "finished",
            complete.status,
            complete.content_type,
            complete.body,
        )


def run(settings: AgentSettings) -> int:
    """Run an agent until SIGTERM or SIGINT; return the exit code."""
    return Agent(settings, SystemClock()).serve()
