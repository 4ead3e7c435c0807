"""Admission of requests at an entry: fair shares, criticality and early shedding."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from lentiltally.decisions._adapter_use import AdapterUse
from lentiltally.decisions._fair_shares import FairShares, TeamLimits

__all__ = [
    "Admission",
    "AdmissionRequest",
    "AdmissionSettings",
    "Admitted",
    "Shed",
    "TeamLimits",
]


class AdmissionRequest(msgspec.Struct, frozen=True):
    """A request, with the waits that are expected at its placement.

    ``criticality`` is 0 (non-idempotent), 1 (interactive) or 2 (deferrable).
    ``time_budget_s`` is the time left until the answer would begin too late.
    ``queue_wait_s`` is the expected queue wait. With ``needs_load`` the adapter has to
    be loaded first. ``adapter`` names it: the load of an adapter that is requested
    often serves more than one request, so a longer wait for it is admitted.
    """

    team: str
    criticality: int
    time_budget_s: float
    queue_wait_s: float
    needs_load: bool = False
    adapter: str = ""


class Admitted(msgspec.Struct, frozen=True):
    """The request may be dispatched; ``finished`` must be called for it later."""


class Shed(msgspec.Struct, frozen=True):
    """The request is shed before anything was sent.

    ``retry_after_s`` is the delay after which the caller should retry it.
    """

    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of the expected waits, as fractions of the time budget by criticality.

    Less critical work is shed at a shorter expected wait, which reserves capacity for
    more critical work. The fractions for load waits are small, because the estimate
    comes from the entry's own work only, and work that is admitted but then misses its
    deadline should have been shed at once. ``max_load_wait_fraction`` limits the
    fraction for popular adapters, ``max_share_factor`` the factor by which the fair
    share of a team changes all fractions. ``default_load_wait_s`` is assumed until the
    rate at which load waits end is known.
    """

    queue_wait_fractions: tuple[float, float, float] = (0.9, 0.6, 0.5)
    load_wait_fractions: tuple[float, float, float] = (0.5, 0.12, 0.03)
    max_load_wait_fraction: float = 0.35
    max_share_factor: float = 2.0
    min_retry_after_s: float = 0.5
    max_retry_after_s: float = 30.0
    default_load_wait_s: float = 0.3


class Admission:
    """Admits or sheds the requests of one entry.

    The expected load wait is the number of the entry's requests that wait for a load,
    divided by the rate at which such waits end (Little's law). It needs no reports on
    the loads of other entries, since their use of the store lowers the rate.
    """

    def __init__(
        self,
        rng: random.Random,
        limits: Mapping[str, TeamLimits] | None = None,
        settings: AdmissionSettings | None = None,
    ) -> None:
        """Start without requests; teams without limits have share 1."""
        self._rng = rng
        self._settings = settings or AdmissionSettings()
        self._shares = FairShares(limits or {})
        self._adapter_use = AdapterUse()
        self._load_waits = _LoadWaitEstimate(self._settings.default_load_wait_s)

    def set_limits(self, team: str, limits: TeamLimits) -> None:
        """Set the configured limits of a team."""
        self._shares.set_limits(team, limits)

    def offer(self, request: AdmissionRequest, now_s: float) -> Admitted | Shed:
        """Admit or shed a request; an admitted one counts until it has finished."""
        self._shares.offered(request.team, now_s)
        if request.adapter:
            self._adapter_use.record_request(request.adapter, now_s)
        if self._shares.is_at_limit(request.team):
            return Shed("team limit", self._retry_after_s(1.0))
        share_factor = self._shares.share_factor(
            request.team, now_s, self._settings.max_share_factor
        )
        fraction = self._settings.queue_wait_fractions[request.criticality]
        excess_s = (
            request.queue_wait_s - fraction * share_factor * request.time_budget_s
        )
        if excess_s > 0:
            return Shed("queue", self._retry_after_s(excess_s))
        if request.needs_load:
            fraction = self._settings.load_wait_fractions[request.criticality]
            popularity = max(
                1.0, self._adapter_use.decayed_count(request.adapter, now_s)
            )
            fraction = min(self._settings.max_load_wait_fraction, fraction * popularity)
            wait_s = self._load_waits.wait_s(request.criticality, now_s)
            excess_s = wait_s - fraction * share_factor * request.time_budget_s
            if excess_s > 0:
                return Shed("adapter loads", self._retry_after_s(excess_s))
            self._load_waits.started(request.criticality, now_s)
        self._shares.admitted(request.team, now_s)
        return Admitted()

    def load_wait_ended(self, criticality: int, now_s: float) -> None:
        """Count the end of a load wait, at the first token or refusal of a request."""
        self._load_waits.ended(criticality, now_s)

    def finished(self, team: str, now_s: float) -> None:
        """Count the end of an admitted request, whatever its outcome."""
        self._shares.finished(team, now_s)

    def _retry_after_s(self, excess_s: float) -> float:
        """Return a retry delay: the excess wait, plus up to half of it as jitter.

        By then the excess has drained.
        """
        settings = self._settings
        delay_s = max(settings.min_retry_after_s, excess_s) * self._rng.uniform(
            1.0, 1.5
        )
        return min(settings.max_retry_after_s, delay_s)


@dataclass(slots=True)
class _LoadWaitEstimate:
    """The entry's requests that wait for a load, and the rate at which waits end.

    ``waiting`` counts them by criticality. ``_ended`` and ``_counted_s`` are the number
    of ended waits and the time in which they ended, both with exponential decay of
    ``half_life_s``, so that their ratio is a rate.
    """

    default_wait_s: float
    half_life_s: float = 10.0
    waiting: list[int] = field(default_factory=lambda: [0, 0, 0])
    _ended: float = 0.0
    _counted_s: float = 0.0
    _decayed_at_s: float = 0.0

    def started(self, criticality: int, now_s: float) -> None:
        self._decay(now_s)
        self.waiting[criticality] += 1

    def ended(self, criticality: int, now_s: float) -> None:
        self._decay(now_s)
        self.waiting[criticality] = max(0, self.waiting[criticality] - 1)
        self._ended += 1.0

    def wait_s(self, criticality: int, now_s: float) -> float:
        """Return the expected load wait, behind work that is at least as critical."""
        self._decay(now_s)
        ahead = sum(self.waiting[: criticality + 1])
        if ahead == 0 or self._counted_s == 0.0:
            return self.default_wait_s
        # No load wait can end before the first load has taken its default time.
        observed_s = self._counted_s - self.default_wait_s
        if observed_s <= 0.0:
            return self.default_wait_s
        ended_per_s = max(self._ended, 1.0) / observed_s
        return self.default_wait_s + ahead / ended_per_s

    def _decay(self, now_s: float) -> None:
        """Decay the count and the time that it covers.

        Time in which no request waits is not counted, since it says nothing about the
        rate.
        """
        elapsed_s = max(0.0, now_s - self._decayed_at_s)
        self._decayed_at_s = now_s
        if elapsed_s == 0.0 or not any(self.waiting):
            return
        decay = 0.5 ** (elapsed_s / self.half_life_s)
        self._ended *= decay
        self._counted_s = self._counted_s * decay + elapsed_s
