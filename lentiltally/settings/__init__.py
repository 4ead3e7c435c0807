"""Process settings: TOML files whose every key is checked against one table."""

from __future__ import annotations

from lentiltally.settings._checker import SettingsError
from lentiltally.settings._keys import KEYS, REQUIRED, Key
from lentiltally.settings._load import load, load_agent, load_entry, parse
from lentiltally.settings._model import (
    AdminSettings,
    AgentLimits,
    AgentSettings,
    AgentsSettings,
    CallerSettings,
    ChannelSettings,
    EntrySettings,
    HealthSettings,
    HostListSettings,
    IdempotencySettings,
    LoggingSettings,
    LogServiceSettings,
    MetricsSettings,
    ProcessSettings,
    TargetSettings,
    TokenSettings,
)
from lentiltally.settings._secret import Secret

__all__ = [
    "KEYS",
    "REQUIRED",
    "AdminSettings",
    "AgentLimits",
    "AgentSettings",
    "AgentsSettings",
    "CallerSettings",
    "ChannelSettings",
    "EntrySettings",
    "HealthSettings",
    "HostListSettings",
    "IdempotencySettings",
    "Key",
    "LogServiceSettings",
    "LoggingSettings",
    "MetricsSettings",
    "ProcessSettings",
    "Secret",
    "SettingsError",
    "TargetSettings",
    "TokenSettings",
    "load",
    "load_agent",
    "load_entry",
    "parse",
]
