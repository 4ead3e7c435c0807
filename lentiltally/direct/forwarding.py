"""Settings and shared components for forwarding the requests of an entry."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lentiltally.clock import Clock
from lentiltally.decisions.target_timeouts import TargetTimeoutSettings
from lentiltally.direct.agent_client import AgentClient
from lentiltally.direct.allotment_client import AllotmentClient
from lentiltally.direct.balance_report import BalanceReport
from lentiltally.direct.entry_metrics import EntryMetrics
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.permit_client import PermitClient
from lentiltally.direct.platform_interfaces import HeaderCodec
from lentiltally.direct.target_pool import TargetPool
from lentiltally.direct.target_probe import TargetProbe
from lentiltally.problems import Refusal, stopping_refusal

__all__ = ["ForwarderSettings", "ForwardingContext"]


@dataclass(frozen=True, slots=True)
class ForwarderSettings:
    """Timeouts and limits of one request.

    ``deadline_margin_s`` is reserved for the answer to reach the caller.
    ``max_rejections`` is how many targets may reject a request before it is refused,
    ``max_declines`` how many agents may decline to pin its adapter, which is cheaper.
    One agent may keep a request waiting for ``acquire_wait_share`` of the time to its
    deadline, at most ``max_acquire_wait_s``; ``connect_timeout_share`` and
    ``max_connect_timeout_s`` limit the time to open a connection likewise.
    ``attempt_timeouts`` apply where another target may take over. While none takes over
    from a silent target, all are asked again every ``replacement_interval_s``. Targets
    are told to check for a new adapter version once it has been known for
    ``version_check_share`` of the bound within which it must be in use.
    ``rejection_cooldown_s`` and ``unreachable_cooldown_s`` are how long a target is
    avoided after it rejected a request or could not be reached. A refused caller is
    told to retry after a random time between ``min_retry_after_s`` and
    ``max_retry_after_s``.
    """

    deadline_margin_s: float = 0.03
    max_rejections: int = 4
    max_declines: int = 10
    acquire_wait_share: float = 0.3
    max_acquire_wait_s: float = 1.5
    attempt_timeouts: TargetTimeoutSettings = TargetTimeoutSettings()
    replacement_interval_s: float = 0.3
    version_check_share: float = 0.5
    connect_timeout_share: float = 0.3
    max_connect_timeout_s: float = 0.5
    rejection_cooldown_s: float = 0.1
    unreachable_cooldown_s: float = 1.0
    min_retry_after_s: float = 0.2
    max_retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """The components of an entry that all of its requests share."""

    state: EntryState
    header_codec: HeaderCodec
    agents: AgentClient
    metrics: EntryMetrics
    balance: BalanceReport
    pool: TargetPool
    probe: TargetProbe
    permits: PermitClient
    allotments: AllotmentClient
    clock: Clock
    rng: random.Random
    settings: ForwarderSettings

    @staticmethod
    def stopping_refusal(step: str) -> Refusal:
        """Return the refusal of a request that has not run because the entry stops."""
        return stopping_refusal(step)

    def retry_after_s(self) -> float:
        """Return a random delay that spreads the retries of refused callers."""
        settings = self.settings
        return self.rng.uniform(settings.min_retry_after_s, settings.max_retry_after_s)
