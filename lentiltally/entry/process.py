"""The entry process: connects listeners, pipeline, configuration and channels."""

from __future__ import annotations

import logging
import random
import signal
import threading
from datetime import timedelta

from lentiltally.clock import Clock, SystemClock
from lentiltally.config import ConfigFollower, FollowerState, FollowerThread
from lentiltally.entry.administration import Administration, EntryOperations
from lentiltally.entry.quarantine_log import QuarantineLog
from lentiltally.entry.server import CallerApplication, new_server
from lentiltally.entry.status import EntryStatus
from lentiltally.ids import AttemptIds, new_incarnation
from lentiltally.metrics import Metrics
from lentiltally.pipeline import (
    AdmitFilter,
    ClaimFilter,
    Dispatch,
    Handler,
    ModelsFilter,
    ObserveFilter,
    ParseFilter,
    QuarantineFilter,
    RefusalFilter,
    ResolveFilter,
    pipeline,
)
from lentiltally.platform.host_list import HostListClient
from lentiltally.platform.log_client import LogClient
from lentiltally.routing.attempts import AttemptContext
from lentiltally.routing.claims import ClaimLog
from lentiltally.routing.pending import PendingAttempts
from lentiltally.routing.queries import ClaimQueries
from lentiltally.routing.releases import ReleaseSender
from lentiltally.routing.retry_policy import BudgetedRetryPolicy
from lentiltally.routing.targets import TargetDirectory
from lentiltally.settings import EntrySettings
from lentiltally.wire import (
    AnswerEnd,
    AnswerEvents,
    AnswerHead,
    ClaimAnswer,
    CompleteAnswer,
    ConfigFetch,
    ConfigSnapshot,
    Heartbeat,
    Hello,
    Inbox,
    Message,
    Outboxes,
    Progress,
    Refused,
    TargetState,
)
from lentiltally.wire.config_peers import ConfigPeers

_log = logging.getLogger(__name__)

HOST_LIST_TIMEOUT_S = 2.0
SIGNAL_CHECK_INTERVAL_S = 0.25
GAUGE_INTERVAL_S = 10.0
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
# Load balancers are expected to have read from /readyz, and to have stopped sending
# requests, this long after a drain has begun.
DRAIN_NOTICE_S = 2.0


class Entry:
    """One entry process."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        """Bind the addresses; raises ChannelError or OSError if one is in use."""
        self._settings = settings
        self._clock = clock
        self._stopping = threading.Event()
        self._metrics = Metrics.from_settings(settings.metrics, settings.process)
        self._log = LogClient(settings.log.url, settings.log.timeout_s, clock)
        self._inbox = Inbox(settings.channel.listen, self._on_message)
        self._outboxes = Outboxes(clock, self._on_connected)
        self._pending = PendingAttempts()
        incarnation = new_incarnation()
        self._directory = TargetDirectory(
            hello=Hello(
                settings.process.name,
                incarnation,
                settings.channel.listen,
                settings.process.failure_domain,
            ),
            seeds=settings.agents.addresses,
            outboxes=self._outboxes,
            host_list=HostListClient(settings.host_list.url, HOST_LIST_TIMEOUT_S),
            poll_s=settings.host_list.poll_s,
            clock=clock,
            on_agent_restart=self._pending.agent_restarted,
        )
        self._releases = ReleaseSender(self._outboxes)
        self._context = AttemptContext(
            pending=self._pending,
            directory=self._directory,
            outboxes=self._outboxes,
            releases=self._releases,
            ids=AttemptIds(incarnation),
            reply_address=settings.channel.listen,
            clock=clock,
        )
        self._peers = ConfigPeers(
            self._outboxes,
            settings.channel.peers,
            settings.channel.listen,
            lambda: self._config.tree,
        )
        self._config = FollowerThread(ConfigFollower(self._log, clock, self._peers))
        self._quarantine = QuarantineLog(self._log, clock)
        self._claims = ClaimLog(
            self._log, clock, settings.idempotency.key_lifetime_s, self._metrics
        )
        self._queries = ClaimQueries(
            self._outboxes,
            self._directory,
            settings.channel.listen,
            AttemptIds(f"{incarnation}-query"),
        )
        status = EntryStatus(
            settings,
            incarnation,
            config=self._config,
            directory=self._directory,
            pending=self._pending,
            quarantine=self._quarantine,
        )
        self._administration = Administration(
            settings,
            self._log,
            self._config,
            status=status,
            operations=EntryOperations(self._claims, self._quarantine),
            clock=clock,
        )
        self._callers = CallerApplication(
            self._new_pipeline(), settings.callers, clock, self._metrics, self._is_ready
        )
        self._server = new_server(
            settings.callers.listen,
            self._callers,
            settings.callers.threads,
            certificate=settings.callers.tls_certificate,
            key=settings.callers.tls_key,
            read_timeout_s=settings.callers.read_timeout_s,
            max_header_bytes=settings.callers.max_header_bytes,
            max_body_bytes=settings.callers.max_body_bytes,
        )
        self._server.prepare()

    def serve(self) -> int:
        """Run until SIGTERM or SIGINT, drain, and return the exit code."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self._stopping.set())
        self._start()
        _log.info("entry ready", extra={"address": self._settings.callers.listen})
        # Without a timeout, the wait can miss a signal that arrives just before it.
        next_gauge_s = 0.0
        while not self._stopping.wait(SIGNAL_CHECK_INTERVAL_S):
            if self._clock.monotonic_s() >= next_gauge_s:
                next_gauge_s = self._clock.monotonic_s() + GAUGE_INTERVAL_S
                self._set_gauges()
        self._drain()
        return 0

    def _start(self) -> None:
        self._metrics.start()
        self._config.start()
        self._quarantine.start()
        self._claims.start()
        self._inbox.start()
        self._directory.start()
        self._releases.start()
        self._administration.start()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def _set_gauges(self) -> None:
        follower = self._config.follower
        is_down = follower.state is FollowerState.LOG_DOWN
        self._metrics.gauge("config_offset", follower.offset)
        self._metrics.gauge("config_lag", follower.staleness_s() or 0.0)
        self._metrics.gauge("log_unavailable", int(is_down))
        self._metrics.gauge("quarantined", len(self._quarantine.quarantined()))
        states = self._directory.states()
        leaving = sum(state.status == "leaving" for state, _ in states)
        self._metrics.gauge("targets_leaving", leaving)

    def _drain(self) -> None:
        """Report not ready, wait for the running requests, and stop.

        Requests that arrive until load balancers know of the drain are served, too. The
        wait is limited by the setting ``process.drain_s``.
        """
        self._callers.is_draining = True
        self._metrics.gauge("leaving", 1)
        began_s = self._clock.monotonic_s()
        notice_end_s = began_s + DRAIN_NOTICE_S
        deadline_s = began_s + self._settings.process.drain_s
        while (now_s := self._clock.monotonic_s()) < deadline_s:
            if now_s >= notice_end_s and not self._callers.active_requests:
                break
            self._clock.sleep(DRAIN_POLL_INTERVAL)
        self._end_open_requests()
        self._server.stop()
        self._administration.stop()
        self._directory.stop()
        self._claims.stop()
        self._quarantine.stop()
        self._releases.stop()
        self._outboxes.close()
        self._inbox.close()
        self._metrics.close()
        _log.info("entry stopped")

    def _end_open_requests(self) -> None:
        """Let the requests that outlast the drain be answered before the server stops.

        Their outcome is unknown, because agents go on with what must not run twice.
        """
        if self._callers.active_requests:
            _log.warning(
                "ending requests that outlast the drain",
                extra={"requests": self._callers.active_requests},
            )
            self._pending.end_all()

    def _is_ready(self) -> bool:
        return self._has_configuration() and self._directory.has_targets()

    def _has_configuration(self) -> bool:
        """Return whether the configuration is complete enough to serve.

        It has been read to the end of the stream once, or comes from a peer while the
        log is down. Before that, the entry would refuse adapters as unknown that are in
        the part of the stream that it has not read.
        """
        follower = self._config.follower
        if follower.staleness_s() is not None:
            return True
        return follower.state is FollowerState.LOG_DOWN and follower.offset > 0

    def _new_pipeline(self) -> Handler:
        domain = self._settings.process.failure_domain
        retries = BudgetedRetryPolicy(random.Random())
        return pipeline(
            (
                RefusalFilter(self._metrics, self._clock),
                ParseFilter(self._settings.callers.max_key_bytes),
                ModelsFilter(lambda: self._config.tree),
                ResolveFilter(
                    lambda: self._config.tree,
                    self._settings.callers.default_deadline_s,
                ),
                ObserveFilter(self._metrics, self._clock),
                QuarantineFilter(self._quarantine),
                AdmitFilter(self._directory, domain, self._clock, self._metrics),
                ClaimFilter(self._claims, self._queries, self._context, domain),
            ),
            Dispatch(self._context, retries, self._metrics, domain),
        )

    def _on_connected(self, address: str) -> None:
        """Subscribe to an agent again, because it may have restarted."""
        self._directory.subscribe(address)

    def _on_message(self, message: Message) -> None:
        match message:
            case AnswerEvents() | AnswerHead() | AnswerEnd() | CompleteAnswer():
                self._pending.deliver(message)
            case Refused():
                self._pending.deliver(message)
            case Progress():
                self._directory.record_contact(message.agent)
                self._pending.deliver_progress(message)
            case Heartbeat():
                self._directory.heartbeat(message)
            case TargetState():
                self._directory.apply_state(message)
            case ClaimAnswer():
                self._queries.deliver(message)
            case ConfigFetch():
                self._peers.answer_fetch(message)
            case ConfigSnapshot():
                self._peers.add_answer(message)
            case _:
                _log.warning(
                    "message of an unexpected kind", extra={"kind": type(message)}
                )


def run(settings: EntrySettings) -> int:
    """Run an entry until SIGTERM or SIGINT; return the exit code."""
    return Entry(settings, SystemClock()).serve()
