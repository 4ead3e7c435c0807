"""What every request of an entry is forwarded with."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lentiltally.clock import Clock
from lentiltally.decisions.target_timeouts import TargetTimeoutSettings
from lentiltally.direct.adapter_requests import AdapterRequests
from lentiltally.direct.entry_metrics import EntryMetrics
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.target_pool import TargetPool
from lentiltally.direct.wire import Wire

__all__ = ["ForwarderSettings", "Forwarding"]


@dataclass(frozen=True, slots=True)
class ForwarderSettings:
    """Times and counts of one request.

    ``deadline_margin_s`` is kept for the answer to reach the caller. ``max_refusals``
    is how many targets may refuse a request before it is given back, ``max_declines``
    how many agents may decline to hold its adapter, which is cheaper. ``hold_share`` is
    the part of the time left for which one agent may keep a request waiting.
    ``patience`` is with targets where another may take over. ``version_share`` of the
    time in which a new version must be in use is allowed before targets are told to
    check it.
    """

    deadline_margin_s: float = 0.03
    max_refusals: int = 4
    max_declines: int = 10
    hold_share: float = 0.3
    max_hold_s: float = 1.5
    patience: TargetTimeoutSettings = TargetTimeoutSettings()
    version_share: float = 0.5
    connect_share: float = 0.3
    max_connect_s: float = 0.5
    refused_avoid_s: float = 0.1
    unreachable_avoid_s: float = 1.0
    min_retry_after_s: float = 0.2
    max_retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Forwarding:
    """The parts that all requests of an entry share."""

    state: EntryState
    wire: Wire
    adapters: AdapterRequests
    metrics: EntryMetrics
    pool: TargetPool
    clock: Clock
    rng: random.Random
    settings: ForwarderSettings

    def retry_after_s(self) -> float:
        """Return a pause that spreads the returns of refused callers."""
        settings = self.settings
        return self.rng.uniform(settings.min_retry_after_s, settings.max_retry_after_s)
