"""The settings of a process as typed values."""

from __future__ import annotations

from datetime import datetime
from typing import Literal

import msgspec

from lentiltally.settings._secret import Secret


class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The name and role of the process, and where it runs."""

    role: Literal["entry", "agent"]
    name: str
    region: str
    failure_domain: str
    drain_s: float


class ChannelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The channel between lentiltally processes."""

    listen: str
    peers: tuple[str, ...]


class LogServiceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's log service."""

    url: str
    timeout_s: float
    retention_s: float


class MetricsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where metrics are sent; nothing is sent if ``host`` is None."""

    host: str | None
    port: int
    prefix: str


class LoggingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The log lines that the process writes to standard error."""

    level: str
    format: Literal["json", "text"]


class AgentLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the memory of an agent."""

    kept_answers_bytes: int


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The listener for callers."""

    listen: str
    threads: int
    max_body_bytes: int
    max_header_bytes: int
    read_timeout_s: float
    max_key_bytes: int
    default_deadline_s: float
    tls_certificate: str | None
    tls_key: str | None


class TokenSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One operator token: its hash, what it may change and until when."""

    name: str
    sha256: str
    scopes: tuple[str, ...]
    expires: datetime | None


class AdminSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The listener of the administration API."""

    listen: str
    threads: int
    tls_certificate: str | None
    tls_key: str | None
    tokens: tuple[TokenSettings, ...]


class AgentsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The agents that an entry subscribes to before it has read the host list."""

    addresses: tuple[str, ...]


class HostListSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's host list."""

    url: str
    poll_s: float


class IdempotencySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Idempotency keys of non-idempotent requests; none are minted without a secret."""

    key_lifetime_s: float
    minted_key_secret: Secret | None


class HealthSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The listener for health checks of an agent."""

    listen: str


class TargetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """One target of an agent.

    ``base_model``, ``adapter_slots`` and ``batch_places`` are None for services.
    """

    name: str
    kind: Literal["engine", "service"]
    url: str
    base_model: str | None
    adapter_slots: int | None
    batch_places: int | None
    enforces_fencing: bool
    max_queue: int
    first_byte_timeout_s: float
    silence_timeout_s: float


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of an entry."""

    process: ProcessSettings
    channel: ChannelSettings
    log: LogServiceSettings
    metrics: MetricsSettings
    logging: LoggingSettings
    callers: CallerSettings
    admin: AdminSettings
    agents: AgentsSettings
    host_list: HostListSettings
    idempotency: IdempotencySettings


class AgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of an agent."""

    process: ProcessSettings
    channel: ChannelSettings
    log: LogServiceSettings
    metrics: MetricsSettings
    logging: LoggingSettings
    limits: AgentLimits
    health: HealthSettings
    targets: tuple[TargetSettings, ...]
