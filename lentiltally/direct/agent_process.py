"""The process of an agent, the only sender of orders to its engine."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from lentiltally.clock import Clock
from lentiltally.decisions.engine_orders import (
    AdapterRequest,
    AdapterRequestState,
    EngineOrder,
    EngineReport,
)
from lentiltally.decisions.engine_slots import EngineSlots
from lentiltally.direct.agent_metrics import AgentMetrics
from lentiltally.direct.agent_rights import RIGHT_MESSAGES, AgentRights
from lentiltally.direct.entry_feeds import (
    ConfigurationDecoder,
    ConfigurationFeed,
    TargetDecoder,
)
from lentiltally.direct.feed_types import KeyedTopic
from lentiltally.direct.http_connection import ConnectError
from lentiltally.direct.messages import (
    AcquireAdapter,
    AdapterAnswer,
    AdapterDecision,
    ConfirmConfiguration,
    ContentsCleared,
    CrashReport,
    EngineEnded,
    Message,
    PartsCleared,
    PartsSurvived,
    PartTrial,
    PrefillFinished,
    RefusedContents,
    RefusedParts,
    ReleaseAdapter,
    StateSubscription,
)
from lentiltally.direct.model import AdapterNotice, DesiredState
from lentiltally.direct.pages import METRICS_PATH, PageServer
from lentiltally.direct.peer_socket import PeerSocket
from lentiltally.direct.platform_interfaces import EngineControl
from lentiltally.direct.refusal_relay import RefusalRelay
from lentiltally.direct.settings import HostSettings, SocketAddress
from lentiltally.direct.state_publisher import MAX_PERMIT_WAIT_S, StatePublisher
from lentiltally.direct.stop_signal import StopSignal
from lentiltally.direct.store_reader import StoreReader, StoreTopics
from lentiltally.direct.version_teller import VersionTeller
from lentiltally.errors import LentiltallyError

__all__ = ["AgentPlatform", "AgentProcess"]

_log = logging.getLogger(__name__)

# Intervals at which the engine's report is read: usually, and while requests wait or a
# load is under way.
REPORT_INTERVAL_S = 0.1
BUSY_REPORT_INTERVAL_S = 0.015
# Interval at which the list of agents is looked at, also while the engine is silent.
AGENT_LIST_INTERVAL_S = 0.25
# Times that entries are told of the end of an engine's start: a datagram may be lost.
END_ANNOUNCEMENTS = 3
# An entry that has started subscribes a few times within this time. Its former
# subscription may still be valid.
NEW_ENTRY_MS = 3_000
# What entries tell each other through agents.
SUSPECT_MESSAGES = (
    CrashReport,
    PartsCleared,
    PartsSurvived,
    PartTrial,
    RefusedParts,
    RefusedContents,
    ContentsCleared,
)

_DECISIONS = {
    AdapterRequestState.GRANTED: AdapterDecision.GRANTED,
    AdapterRequestState.DECLINED: AdapterDecision.DECLINED,
    AdapterRequestState.NO_ENGINE: AdapterDecision.NO_ENGINE,
}


@dataclass(frozen=True, slots=True)
class AgentPlatform:
    """The platform's protocols and topics that an agent uses.

    ``service`` is the service that the host's engine belongs to, empty if unknown.
    """

    engine: EngineControl
    configuration: KeyedTopic
    targets: KeyedTopic
    decode_configuration: ConfigurationDecoder
    decode_target: TargetDecoder
    service: str


class AgentProcess:
    """Creates the components of an agent and runs them until it is asked to stop."""

    def __init__(
        self, settings: HostSettings, platform: AgentPlatform, clock: Clock
    ) -> None:
        """Create the components; sockets are opened by ``run``."""
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._slots = EngineSlots()
        self._metrics = AgentMetrics()
        self._requesting_entries: dict[str, SocketAddress] = {}
        self._wake = asyncio.Event()
        self._peers = PeerSocket(self._message_received)
        self._publisher = StatePublisher(self._slots, self._peers)
        self._config_version = 0
        self._is_engine_unresponsive = False
        self._identified_start_ms: int | None = None
        self._last_start_ms: int | None = None
        self._end_announcements_left = 0
        self._refusals = RefusalRelay()
        self._rights = AgentRights(settings, self._peers, self._metrics, clock)
        self._engine_services: frozenset[str] = frozenset()
        self._health_path = ""
        # Adapter requests carry the newest version that their entry knows, so an agent
        # may read of it late.
        self._reader = StoreReader(
            StoreTopics(platform.configuration, platform.targets),
            ConfigurationFeed(
                platform.decode_configuration,
                self._apply_desired_state,
                self._notice_read,
            ),
            platform.decode_target,
            settings,
            platform.service,
            clock=clock,
            rng=random.Random(),
        )
        self._versions = VersionTeller(self._reader, self._slots, self._peers)
        self._reader.targets.on_era = self._metrics.store_era.set

    def track_dropped_lines(self, dropped: Callable[[], float]) -> None:
        """Expose the number of dropped log lines as a metric."""
        self._metrics.track_dropped_lines(dropped)

    def reload(self) -> None:
        """Log the request: no setting of an agent can change at run time."""
        _log.info("settings reload ignored")

    async def run(self, stop: StopSignal) -> int:
        """Run until asked to stop; return the exit code.

        Raises OSError if a port can't be bound at start.
        """
        await self._peers.open(
            SocketAddress(self._settings.ip, self._settings.peer_port)
        )
        pages = PageServer(
            {METRICS_PATH: lambda: (200, self._metrics.page())}, self._clock
        )
        await pages.listen(
            SocketAddress(self._settings.ip, self._settings.metrics_port)
        )
        _log.info(
            "agent started",
            extra={
                "engine": str(self._settings.engine),
                "metrics_port": self._settings.metrics_port,
            },
        )
        tasks = [
            asyncio.create_task(self._reader.configuration.run()),
            asyncio.create_task(self._reader.targets.run()),
            asyncio.create_task(self._run_engine()),
            asyncio.create_task(self._follow_agents()),
        ]
        try:
            await stop.wait()
        finally:
            for task in tasks:
                task.cancel()
            pages.close()
            self._peers.close()
        _log.info("agent stopped")
        return 0

    def _apply_desired_state(self, state: DesiredState) -> None:
        if state.version <= self._config_version:
            return
        self._config_version = state.version
        self._reader.version_applied(state.version)
        self._engine_services = frozenset(
            service.name
            for service in state.services.values()
            if service.engine is not None
        )
        service = state.services.get(self._platform.service)
        if service is None:
            engines = [s for s in state.services.values() if s.engine is not None]
            service = engines[0] if len(engines) == 1 else None
        if service is not None and service.engine is not None:
            self._slots.set_spec(service.engine)
            self._health_path = service.health_path
        _log.info("desired state applied", extra={"config_version": state.version})

    def _notice_read(self, notice: AdapterNotice) -> None:
        self._versions.notice_read(notice)
        self._version_announced(notice)

    def _version_announced(self, notice: AdapterNotice) -> None:
        if self._slots.update_newest_version(notice):
            _log.info(
                "new adapter version announced",
                extra={
                    "adapter": f"{notice.model}/{notice.adapter}",
                    "version": notice.version,
                },
            )
            self._wake.set()

    def _message_received(self, message: Message, sender: SocketAddress) -> None:
        now_s = self._clock.monotonic_s()
        if isinstance(message, StateSubscription):
            self._subscribed(message, sender, now_s)
        elif isinstance(message, AcquireAdapter):
            self._acquire_requested(message, sender, now_s)
        elif isinstance(message, ReleaseAdapter):
            self._slots.release(message.request_id)
            self._requesting_entries.pop(message.request_id, None)
            self._answer_requests()
        elif isinstance(message, PrefillFinished):
            self._slots.prefill_finished(message.request_id, now_s)
            self._answer_requests()
        elif isinstance(message, RIGHT_MESSAGES):
            self._rights.received(message, sender)
        elif isinstance(message, ConfirmConfiguration):
            self._confirmation_requested(message, sender)
        elif isinstance(message, SUSPECT_MESSAGES):
            self._refusals.received(message, now_s)
            self._publisher.forward(message, sender)

    def _subscribed(
        self, message: StateSubscription, sender: SocketAddress, now_s: float
    ) -> None:
        is_new = self._publisher.subscribe(sender, message.interval_ms / 1000, now_s)
        if is_new:
            self._wake.set()
        if is_new or message.age_ms < NEW_ENTRY_MS:
            for refusals in self._refusals.messages(now_s):
                self._peers.send(sender, refusals)
        self._reader.version_seen(message.config_version)
        if message.asks_versions:
            self._versions.tell(sender)

    def _confirmation_requested(
        self, message: ConfirmConfiguration, sender: SocketAddress
    ) -> None:
        answer = self._reader.confirmation(message)
        if answer is not None:
            self._peers.send(sender, answer)

    def _acquire_requested(
        self, message: AcquireAdapter, sender: SocketAddress, now_s: float
    ) -> None:
        self._requesting_entries[message.request_id] = sender
        if message.newest_version > 0:
            self._version_announced(
                AdapterNotice(message.model, message.adapter, message.newest_version)
            )
        self._slots.request(
            AdapterRequest(
                request_id=message.request_id,
                model=message.model,
                adapter=message.adapter,
                rank=message.rank,
                since_s=now_s,
                wait_deadline_s=now_s + message.max_wait_ms / 1000,
                expires_s=now_s + message.left_ms / 1000,
                prompt_tokens=message.prompt_tokens,
                objective_deadline_s=now_s + message.objective_ms / 1000,
            )
        )
        self._answer_requests()
        if self._slots.is_waiting(message.request_id):
            waiting = AdapterAnswer(message.request_id, AdapterDecision.WAITING)
            self._peers.send(sender, waiting)
            self._wake.set()

    def _answer_requests(self) -> None:
        now_s = self._clock.monotonic_s()
        for result in self._slots.decide_requests(now_s):
            request = result.request
            waited_s = now_s - request.since_s
            self._metrics.decided(result.state, waited_s)
            is_granted = result.state is AdapterRequestState.GRANTED
            sender = self._requesting_entries.get(request.request_id)
            if not is_granted:
                self._requesting_entries.pop(request.request_id, None)
            if sender is not None:
                self._peers.send(
                    sender,
                    AdapterAnswer(
                        request.request_id,
                        _DECISIONS[result.state],
                        result.version,
                        result.reason,
                        int(1000 * min(MAX_PERMIT_WAIT_S, result.wait_s)),
                    ),
                )
            _log.info(
                "adapter granted" if is_granted else "adapter declined",
                extra={
                    "request": request.request_id,
                    "adapter": request.key,
                    "version": result.version,
                    "reason": result.reason,
                    "waited_s": round(waited_s, 3),
                },
            )

    async def _run_engine(self) -> None:
        """Read reports, send orders and publish states until cancelled."""
        while True:
            try:
                await self._step()
                self._engine_responded()
            except LentiltallyError as error:
                self._engine_failed(error)
            except Exception:
                _log.exception("engine step failed")
            self._publish_state()
            pause_s = (
                BUSY_REPORT_INTERVAL_S if self._slots.has_work else REPORT_INTERVAL_S
            )
            self._wake.clear()
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _follow_agents(self) -> None:
        """Note which agents there are, until cancelled: they hold shared rights."""
        while True:
            await asyncio.sleep(AGENT_LIST_INTERVAL_S)
            try:
                self._note_agents()
            except Exception:
                _log.exception("list of agents not noted")

    def _note_agents(self) -> None:
        if self._engine_services and self._reader.targets.is_current:
            hosts = self._reader.hosts_of(self._engine_services)
            position = self._reader.targets.next_offset
            self._rights.agents_listed(hosts, position)

    def _publish_state(self) -> None:
        now_s = self._clock.monotonic_s()
        self._metrics.prefill_ns_per_token.set(self._slots.prefill_ns_per_token)
        arriving_tokens_per_s = self._slots.arriving_tokens_per_s(now_s)
        self._metrics.arriving_tokens_per_s.set(arriving_tokens_per_s)
        try:
            self._publisher.publish(self._reader.report(now_s), now_s)
        except Exception:
            # Without this task the agent would run on but never read its engine again.
            _log.exception("engine state not published")

    async def _step(self) -> None:
        report = await self._platform.engine.report()
        self._apply_report(report)
        if not await self._is_identified(report):
            return
        order = self._slots.next_order(self._clock.monotonic_s())
        while order is not None:
            if await self._send_order(order) not in (200, 202):
                break
            self._apply_report(await self._platform.engine.report())
            next_order = self._slots.next_order(self._clock.monotonic_s())
            if next_order == order:
                # The report does not reflect the order yet.
                break
            order = next_order

    async def _is_identified(self, report: EngineReport) -> bool:
        """Return whether orders can name the current run of the engine.

        The engine may carry out an order late. After a restart its sequence numbers
        begin again, so an old order that does not name its run could match one of them.
        """
        if self._identified_start_ms != report.started_ms and self._health_path:
            self._identified_start_ms = None
            if await self._platform.engine.identify(self._health_path):
                self._identified_start_ms = report.started_ms
        return self._identified_start_ms is not None

    def _apply_report(self, report: EngineReport) -> None:
        self._reader.engine_started(report.started_ms)
        self._last_start_ms = report.started_ms
        self._end_announcements_left = END_ANNOUNCEMENTS
        if self._slots.update_report(report):
            _log.info("engine restarted", extra={"started_ms": report.started_ms})
        self._answer_requests()
        for request_id in list(self._requesting_entries):
            if not self._slots.has_request(request_id):
                del self._requesting_entries[request_id]

    async def _send_order(self, order: EngineOrder) -> int | None:
        """Send an order and return the status of the answer.

        Returns None if there was no answer; the engine may still carry out the order
        later. It does not count as unresponsive then, and only the order is repeated.
        """
        fields = {
            "order": order.kind.value,
            "adapter": f"{order.model}/{order.adapter}",
            "version": order.version,
            "sequence": order.expected_sequence,
            "reason": order.reason,
        }
        try:
            status = await self._platform.engine.order(order)
        except LentiltallyError as error:
            _log.warning(
                "engine order not answered", extra={**fields, "error": str(error)}
            )
            self._metrics.ordered(order.kind, None)
            return None
        self._metrics.ordered(order.kind, status)
        _log.info("engine order answered", extra={**fields, "status": status})
        return status

    def _engine_responded(self) -> None:
        if self._is_engine_unresponsive:
            self._is_engine_unresponsive = False
            self._reader.engine_silent_since_s = None
            self._metrics.engine_unresponsive.set(0)
            _log.info("engine responding again")

    def _engine_failed(self, error: LentiltallyError) -> None:
        self._slots.mark_unresponsive()
        self._answer_requests()
        if not self._is_engine_unresponsive:
            self._is_engine_unresponsive = True
            self._reader.engine_silent_since_s = self._clock.monotonic_s()
            self._metrics.engine_unresponsive.set(1)
            _log.warning("engine unresponsive", extra={"error": str(error)})
        if isinstance(error, ConnectError) and error.is_refused:
            self._announce_end()

    def _announce_end(self) -> None:
        """Tell the entries that the engine's last known start has ended."""
        if self._last_start_ms is None or self._end_announcements_left == 0:
            return
        if self._end_announcements_left == END_ANNOUNCEMENTS:
            _log.warning("engine ended", extra={"started_ms": self._last_start_ms})
        self._end_announcements_left -= 1
        self._publisher.announce(EngineEnded(self._last_start_ms))
