"""Runs an entry or an agent of the direct path with the platform's clients."""

from __future__ import annotations

import asyncio
import logging
import sys
import tomllib
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from lentiltally import logs
from lentiltally.clock import SystemClock
from lentiltally.decisions.balance_mode import Balance
from lentiltally.direct.log_stream import BoundedStream, LogRateLimiter
from lentiltally.direct.model import AdapterNotice, DesiredState
from lentiltally.direct.settings import HostSettings
from lentiltally.direct.stop_signal import StopSignal
from lentiltally.platform import http_headers
from lentiltally.platform.desired_state import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    decode_adapter_notice,
    decode_desired_state,
    is_adapter_notice,
)
from lentiltally.platform.host_settings import load_host_settings
from lentiltally.platform.store_client import StoreTopic
from lentiltally.platform.target_list import TARGET_TOPIC, decode_target_record

if TYPE_CHECKING:
    from lentiltally.direct.agent_process import AgentPlatform
    from lentiltally.direct.entry_process import EntryPlatform

__all__ = [
    "agent_platform",
    "configuration_topic",
    "decode_configuration",
    "entry_platform",
    "run_agent",
    "run_entry",
]

# Twice the rate at which an entry logs under the highest load of current deployments.
LOG_LINES_PER_S = 400.0


def run_entry(settings: HostSettings, path: str, balance: str = "auto") -> int:
    """Run an entry until it is asked to stop; return its exit code.

    ``path`` is the settings file, which is read again on a reload. ``balance`` is the
    name of a ``Balance``.
    """
    from lentiltally.direct.entry_process import EntryProcess  # noqa: PLC0415

    process = EntryProcess(
        settings,
        entry_platform(settings),
        SystemClock(),
        load_settings=lambda: load_host_settings(path, "entry"),
        balance=Balance(balance),
    )
    return _run(process, settings)


def run_agent(settings: HostSettings, path: str) -> int:
    """Run an agent until it is asked to stop; return its exit code.

    ``path`` is the settings file; it names the service that the engine belongs to.
    """
    from lentiltally.direct.agent_process import AgentProcess  # noqa: PLC0415

    service = str(tomllib.loads(Path(path).read_text()).get("service", ""))
    platform = agent_platform(settings, service)
    return _run(AgentProcess(settings, platform, SystemClock()), settings)


def entry_platform(settings: HostSettings) -> EntryPlatform:
    """Return the protocols and topics of an entry."""
    from lentiltally.direct.entry_process import EntryPlatform  # noqa: PLC0415

    return EntryPlatform(
        header_codec=http_headers,
        configuration=configuration_topic(settings),
        targets=StoreTopic.from_address(TARGET_TOPIC, settings.store),
        decode_configuration=decode_configuration,
        decode_target=decode_target_record,
        readiness_path=http_headers.READINESS_PATH,
    )


def agent_platform(settings: HostSettings, service: str) -> AgentPlatform:
    """Return the protocols and topics of an agent whose engine is of a service."""
    from lentiltally.direct.agent_process import AgentPlatform  # noqa: PLC0415
    from lentiltally.platform.engine_control import EngineControlClient  # noqa: PLC0415

    assert settings.engine is not None
    return AgentPlatform(
        engine=EngineControlClient(settings.engine, settings.name),
        configuration=configuration_topic(settings),
        targets=StoreTopic.from_address(TARGET_TOPIC, settings.store),
        # An agent has no callers, so it needs no memory and time for their accounts.
        decode_configuration=partial(decode_configuration, with_accounts=False),
        decode_target=decode_target_record,
        service=service,
    )


def configuration_topic(settings: HostSettings) -> StoreTopic:
    """Return a reader of the configuration."""
    return StoreTopic.from_address(
        CONFIGURATION_TOPIC, settings.store, has_large_records=True
    )


class _Process(Protocol):
    """Common interface of the entry and agent processes."""

    def reload(self) -> None: ...

    def track_dropped_lines(self, dropped: Callable[[], float]) -> None: ...

    async def run(self, stop: StopSignal) -> int: ...


def _run(process: _Process, settings: HostSettings) -> int:
    """Log to standard output at a limited rate, and run the process until it ends."""
    stream = BoundedStream(sys.stdout.fileno())
    logs.configure("info", "json", settings.name, stream=stream)
    rate_limiter = LogRateLimiter(SystemClock(), LOG_LINES_PER_S)
    for handler in logging.getLogger().handlers:
        handler.addFilter(rate_limiter)
    process.track_dropped_lines(lambda: stream.dropped + rate_limiter.dropped)

    async def run() -> int:
        stop = StopSignal(process.reload)
        stop.install()
        return await process.run(stop)

    return asyncio.run(run())


def decode_configuration(
    key: str, value: bytes, *, with_accounts: bool = True
) -> DesiredState | AdapterNotice | None:
    """Decode a record of the configuration topic; None if its key is not used here."""
    if key == CONFIGURATION_KEY:
        return decode_desired_state(value, with_accounts=with_accounts)
    if is_adapter_notice(key):
        return decode_adapter_notice(value)
    return None
