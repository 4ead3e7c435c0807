"""The process of an entry on the direct path."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from lentiltally.clock import Clock
from lentiltally.decisions.balance_mode import Balance
from lentiltally.decisions.log_position import log_position, position_era
from lentiltally.decisions.shared_reads import SharedReads
from lentiltally.decisions.target_directory import DirectoryChange
from lentiltally.direct.agent_client import AgentClient
from lentiltally.direct.allotment_client import AllotmentClient
from lentiltally.direct.balance_report import BalanceReport
from lentiltally.direct.caller_connection import CallerConnection
from lentiltally.direct.caller_connections import (
    CallerConnections,
    listen_to_callers,
    max_caller_connections,
)
from lentiltally.direct.configuration_client import ConfigurationClient
from lentiltally.direct.crash_announcements import CrashAnnouncements
from lentiltally.direct.entry_feeds import (
    ConfigurationDecoder,
    ConfigurationFeed,
    TargetDecoder,
    TargetFeed,
)
from lentiltally.direct.entry_metrics import EntryMetrics
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.explanation import Explainer
from lentiltally.direct.feed_types import KeyedTopic
from lentiltally.direct.forwarder import Forwarder
from lentiltally.direct.forwarding import ForwarderSettings, ForwardingContext
from lentiltally.direct.keyed_feed import KeyedFeed
from lentiltally.direct.memory_budgets import answer_budget, request_budget
from lentiltally.direct.messages import (
    AdapterAnswer,
    ConfigurationConfirmed,
    EngineEnded,
    EngineState,
    KnownVersions,
    Message,
    StoreReport,
)
from lentiltally.direct.model import CallerLimits, TargetStage
from lentiltally.direct.pages import EXPLAIN_PATH, METRICS_PATH, PageServer
from lentiltally.direct.peer_socket import PeerSocket
from lentiltally.direct.permit_client import PermitClient
from lentiltally.direct.platform_interfaces import HeaderCodec
from lentiltally.direct.raw_request import RawRequest
from lentiltally.direct.read_resources import ReadResources
from lentiltally.direct.read_turns import ReadTurns
from lentiltally.direct.right_messages import AllotmentAnswer, PermitAnswer
from lentiltally.direct.settings import HostSettings, SocketAddress
from lentiltally.direct.settings_watch import SettingsWatch
from lentiltally.direct.state_subscriber import StateSubscriber
from lentiltally.direct.stop_signal import StopSignal
from lentiltally.direct.target_pool import TargetPool
from lentiltally.direct.target_probe import TargetProbe

__all__ = ["EntryPlatform", "EntryProcess"]

_log = logging.getLogger(__name__)

# Interval at which the entry looks for subscriptions that are due.
SUBSCRIBE_INTERVAL_S = 0.2
TICK_INTERVAL_S = 0.25
# Interval at which the entry looks which targets have run on after their answers.
SUSPECTS_INTERVAL_S = 0.1
# Interval at which the entry looks whether the proof of its configuration gets old.
CONFIRM_INTERVAL_S = 0.1
# Share of the bound on a new configuration for which a long poll waits at the store.
# The answer may be lost: the read's timeout and a retry must fit into the rest.
CONFIGURATION_WAIT_SHARE = 0.5
# Wait of a long poll while agents read the configuration too, so that a lost answer is
# noticed by their news.
COVERED_CONFIGURATION_WAIT_S = 20.0
# An answer to a long poll that did not arrive this long after its wait is lost.
CONFIGURATION_ANSWER_S = 0.5
# The pause lets one read collect records that are written in quick succession.
CONFIGURATION_PAUSE_S = 0.2
# Reads of the list of targets within the bound on noticing a draining target.
TARGET_READS_PER_BOUND = 2.0
# After SIGTERM the entry still accepts connections: they keep arriving until two
# readiness checks have failed, and shortly after.
ACCEPT_AFTER_STOP_S = 2.5
STOP_MARGIN_S = 0.7
# The part of it in which the last answers are written.
LAST_ANSWERS_S = 0.35
# A connection may be accepted this long before its request arrives. When none has been
# opened for this long, the listener is closed.
QUIET_BEFORE_CLOSE_S = 0.3
# The settings file may also change without SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class EntryPlatform:
    """The platform's protocols and topics that an entry uses."""

    header_codec: HeaderCodec
    configuration: KeyedTopic
    targets: KeyedTopic
    decode_configuration: ConfigurationDecoder
    decode_target: TargetDecoder
    readiness_path: bytes


class EntryProcess:
    """Creates the components of an entry and runs them until it is asked to stop."""

    def __init__(
        self,
        settings: HostSettings,
        platform: EntryPlatform,
        clock: Clock,
        load_settings: Callable[[], HostSettings] | None = None,
        balance: Balance = Balance.AUTO,
    ) -> None:
        """Create the components; sockets are opened by ``run``.

        Without ``load_settings`` the settings can't be reloaded. ``balance`` says how
        engines are chosen.
        """
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._metrics = EntryMetrics()
        self._state = EntryState(settings, clock, random.random(), random.Random())
        self._state.choice.mode.balance = balance
        self._balance = BalanceReport(self._state.choice.mode, self._metrics)
        turns = ReadTurns()
        answers = ReadResources(turns, answer_budget(settings))
        self._requests = ReadResources(turns, request_budget(settings))
        self._pool = TargetPool(clock, answers)
        self._connections = CallerConnections(max_caller_connections(settings))
        # Connections close after their current answer.
        self.is_stopping = False
        self._last_opened_at_s = 0.0
        self.is_listening = False
        self._forwarder: Forwarder
        self._peers = PeerSocket(self._message_received)
        self._agents = AgentClient(self._peers)
        self._permits = PermitClient(self._state, self._peers, clock)
        self._allotments = AllotmentClient(self._state, self._peers, clock)
        self._crashes = CrashAnnouncements(self._state, self._peers, clock)
        self._subscriber = StateSubscriber(
            settings.name, self._state, self._peers, clock, random.Random()
        )
        self._watch = (
            SettingsWatch(settings, load_settings, self._state.apply_bounds)
            if load_settings
            else None
        )
        self._target_feed = TargetFeed(
            platform.decode_target,
            self._state.directory,
            self._target_changed,
            clock,
        )
        bounds = settings.bounds
        configuration_wait_s = CONFIGURATION_WAIT_SHARE * bounds.configuration_s
        targets_pause_s = bounds.leaving_s / TARGET_READS_PER_BOUND
        # Only long polls that agents cover can outlast this: others time out before.
        self._shared_configuration = SharedReads(
            bounds.configuration_s, configuration_wait_s + CONFIGURATION_ANSWER_S
        )
        self._shared_targets = SharedReads(bounds.leaving_s, targets_pause_s)
        configuration_feed = ConfigurationFeed(
            platform.decode_configuration,
            self._state.apply_desired_state,
            self._state.version_announced,
        )
        self._configuration = KeyedFeed(
            "configuration",
            platform.configuration,
            configuration_feed,
            clock,
            pause_s=CONFIGURATION_PAUSE_S,
            wait_s=configuration_wait_s,
            shared=self._shared_configuration,
            covered_wait_s=COVERED_CONFIGURATION_WAIT_S,
        )
        self._confirmations = ConfigurationClient(
            self._state,
            self._configuration,
            configuration_feed,
            peers=self._peers,
            subscriber=self._subscriber,
            are_targets_known=lambda: self._targets.is_current,
            metrics=self._metrics,
            clock=clock,
        )
        self._targets = KeyedFeed(
            "targets",
            platform.targets,
            self._target_feed,
            clock,
            pause_s=targets_pause_s,
            wait_s=0.0,
            shared=self._shared_targets,
        )
        self._targets.on_era = self._metrics.store_era.set
        self._state.on_target_list_stale = self._targets.request_read
        self._state.list_position = lambda: self._targets.next_offset

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests that are in force."""
        return self._state.limits

    def track_dropped_lines(self, dropped: Callable[[], float]) -> None:
        """Expose the number of dropped log lines as a metric."""
        self._metrics.track_dropped_lines(dropped)

    def reload(self) -> None:
        """Reread the settings file."""
        if self._watch is not None:
            self._watch.check()

    async def run(self, stop: StopSignal) -> int:
        """Serve until asked to stop; return the exit code.

        Raises OSError if a port can't be bound at start.
        """
        await self._peers.open(
            SocketAddress(self._settings.ip, self._settings.peer_port)
        )
        self._forwarder = Forwarder(
            ForwardingContext(
                state=self._state,
                header_codec=self._platform.header_codec,
                agents=self._agents,
                metrics=self._metrics,
                balance=self._balance,
                pool=self._pool,
                probe=TargetProbe(self._pool, self._state),
                permits=self._permits,
                allotments=self._allotments,
                clock=self._clock,
                rng=random.Random(),
                settings=ForwarderSettings(),
            )
        )
        assert self._settings.callers is not None
        pages = await self._open_pages()
        server = await listen_to_callers(
            lambda: CallerConnection(self, self._clock, self._requests),
            self._settings.callers,
        )
        self.is_listening = True
        _log.info(
            "entry started",
            extra={
                "address": str(self._settings.callers),
                "metrics_port": self._settings.metrics_port,
                "peer_port": self._settings.peer_port,
            },
        )
        tasks = [
            asyncio.create_task(work)
            for work in (
                self._configuration.run(),
                self._targets.run(),
                self._every(SUBSCRIBE_INTERVAL_S, self._subscriber.renew),
                self._every(CONFIRM_INTERVAL_S, self._confirmations.tick),
                self._every(TICK_INTERVAL_S, self._tick),
                self._every(SUSPECTS_INTERVAL_S, self._state.suspects.tick),
                self._every(SETTINGS_CHECK_INTERVAL_S, self.reload),
            )
        ]
        try:
            await stop.wait()
            await self._drain(server)
        finally:
            server.close()
            for task in tasks:
                task.cancel()
            pages.close()
            self._pool.close()
            self._peers.close()
        _log.info("entry stopped", extra={"open_requests": self._open_requests()})
        await asyncio.sleep(0.05)
        return 0

    async def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        """Forward one request and answer it."""
        self._connections.used(connection)
        await self._forwarder.handle(request, connection)

    def opened(self, connection: CallerConnection) -> None:
        """Keep track of a new connection."""
        self._connections.add(connection)
        self._last_opened_at_s = self._clock.monotonic_s()

    def closed(self, connection: CallerConnection) -> None:
        """Forget a connection that has closed."""
        self._connections.discard(connection)

    async def _open_pages(self) -> PageServer:
        pages = PageServer(
            {
                self._platform.readiness_path: self._readiness,
                b"/readyz": self._readiness,
                b"/healthz": lambda: (200, b"alive\n"),
                METRICS_PATH: self._metrics_page,
            },
            self._clock,
            {EXPLAIN_PATH: Explainer(self._state, self._clock).page},
        )
        assert self._settings.readiness is not None
        await pages.listen(self._settings.readiness)
        await pages.listen(
            SocketAddress(self._settings.ip, self._settings.metrics_port)
        )
        return pages

    def _readiness(self) -> tuple[int, bytes]:
        if self.is_stopping:
            return 503, b"stopping\n"
        if self._state.table is None or not self._targets.is_current:
            return 503, b"no configuration yet\n"
        if not self._confirmations.is_confirmed:
            return 503, b"configuration unconfirmed\n"
        return 200, b"ready\n"

    def _metrics_page(self) -> tuple[int, bytes]:
        self._confirmations.update_metrics()
        self._metrics.connections_opened.set(self._pool.opened)
        self._metrics.refused_parts.set(len(self._state.suspects.refused_parts()))
        self._metrics.targets_closed(
            *self._state.notices.closed(self._clock.monotonic_s())
        )
        return 200, self._metrics.page()

    async def _drain(self, server: asyncio.Server) -> None:
        """Serve open requests until all are answered or the grace period ends.

        Requests that are still open then are refused, or broken off if their answer has
        begun.
        """
        started_s = self._clock.monotonic_s()
        self.is_stopping = True
        _log.info("entry stopping", extra={"open_requests": self._open_requests()})
        await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        # Further requests are refused, on new connections and on kept ones: an answer
        # that began before the stop had no "Connection: close".
        self._forwarder.stop_accepting()
        until_s = started_s + self._state.bounds.stop_s - STOP_MARGIN_S
        while (now_s := self._clock.monotonic_s()) < until_s:
            # Closing the listener resets connections that are not accepted yet.
            if now_s - self._last_opened_at_s > QUIET_BEFORE_CLOSE_S:
                if not self._connections:
                    break
                server.close()
            # A request may be on its way on an idle connection, so all stay open while
            # the process has other work.
            if self._open_requests() == 0:
                self._close_idle(now_s)
            await asyncio.sleep(0.05)
        server.close()
        for connection in self._connections:
            connection.end_request()
        until_s = self._clock.monotonic_s() + LAST_ANSWERS_S
        while any(not c.is_idle or c.is_sending for c in self._connections):
            if self._clock.monotonic_s() > until_s:
                break
            await asyncio.sleep(0.01)

    def _close_idle(self, now_s: float) -> None:
        for connection in self._connections:
            if connection.idle_s(now_s) > QUIET_BEFORE_CLOSE_S:
                connection.close_idle("stop")

    def _open_requests(self) -> int:
        return sum(not connection.is_idle for connection in self._connections)

    def _tick(self) -> None:
        self._target_feed.tick()
        self._state.note_agent_hosts()
        self._pool.close_stale()
        for connection in self._connections:
            connection.check_timeouts()
        self._crashes.tell_refusals()
        self._balance.tick()

    def _target_changed(self, change: DirectoryChange) -> None:
        record = change.record
        if change.kind == "appeared":
            self._state.suspects.target_ended(
                change.target_id, record.started_ms - 1, "started anew"
            )
            self._subscriber.renew()
        elif change.kind == "gone":
            self._state.suspects.target_ended(
                change.target_id,
                record.started_ms,
                "gone",
                was_draining=record.stage is TargetStage.DRAINING,
            )
            self._pool.drop(change.target_id)
            self._state.choice.forget(change.target_id)

    def _message_received(self, message: Message, sender: SocketAddress) -> None:
        if isinstance(message, AdapterAnswer):
            self._agents.answer_received(message)
        elif isinstance(message, PermitAnswer):
            self._permits.answer_received(message, sender.ip)
        elif isinstance(message, AllotmentAnswer):
            self._allotments.answer_received(message, sender.ip)
        elif isinstance(message, ConfigurationConfirmed):
            self._confirmations.answer_received(message, sender.ip)
        elif isinstance(message, KnownVersions):
            self._confirmations.versions_received(message, sender.ip)
        elif isinstance(message, EngineState):
            self._state.engine_state_received(sender.ip, message)
            if message.store is not None:
                self._store_reported(message.store, sender.ip)
        elif isinstance(message, EngineEnded):
            self._state.engine_ended(sender.ip, message.started_ms)
        else:
            self._crashes.message_received(message)

    def _store_reported(self, report: StoreReport, agent: str) -> None:
        """Note what an agent has read; read the list of targets if it has news."""
        now_s = self._clock.monotonic_s()
        self._confirmations.agent_reported(agent, report.config_age_ms)
        self._confirmations.version_named(report.config_version)
        self._shared_configuration.reported(
            _position(report.config_changed_at, report.config_era, self._configuration),
            report.config_age_ms / 1000,
            now_s,
        )
        self._shared_targets.reported(
            _position(report.targets_changed_at, report.targets_era, self._targets),
            report.targets_age_ms / 1000,
            now_s,
            agent,
        )
        if report.outage_ended_ms >= 0:
            returned_at_s = now_s - report.outage_ended_ms / 1000
            if self._shared_targets.was_outage(returned_at_s, agent):
                self._state.directory.store_returned(returned_at_s)
        if self._shared_targets.has_news(self._targets.next_offset):
            self._targets.news_reported()

    async def _every(self, period_s: float, act: Callable[[], None]) -> None:
        """Call ``act`` regularly; failures are logged with its name as the step."""
        while True:
            await asyncio.sleep(period_s)
            try:
                act()
            except Exception:
                _log.exception("periodic task failed", extra={"step": act.__name__})


def _position(offset: int, era: int | None, feed: KeyedFeed) -> int:
    """Return the position of an agent's offset; without an era in that of a feed."""
    return log_position(position_era(feed.next_offset) if era is None else era, offset)
