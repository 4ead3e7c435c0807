"""Which requests an entry accepts: fair shares, criticality and early refusal."""

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
    """A request with the waits that its placement expects.

    ``patience_s`` is the time left until the answer would begin too late.
    ``criticality`` is 0 (non-idempotent), 1 (interactive) or 2 (deferrable).
    ``adapter`` names what is to be loaded; a load for an adapter that is asked for
    often serves more than one request, so it may be waited for longer.
    """

    team: str
    criticality: int
    patience_s: float
    queue_wait_s: float
    needs_load: bool = False
    adapter: str = ""


class Admitted(msgspec.Struct, frozen=True):
    """The request may be dispatched; ``finished`` is due for it later."""


class Shed(msgspec.Struct, frozen=True):
    """The request is refused before anything was sent."""

    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Parts of the patience that the expected waits may use, per criticality.

    Less critical work is refused at a shorter expected wait, so that room is left for
    the more critical. Load waits get little: their estimate comes from the entry's own
    work only, and work that is admitted and then gives up is refused too late.
    """

    queue_parts: tuple[float, float, float] = (0.9, 0.6, 0.5)
    load_parts: tuple[float, float, float] = (0.5, 0.12, 0.03)
    max_load_part: float = 0.35
    max_share_factor: float = 2.0
    min_retry_after_s: float = 0.5
    max_retry_after_s: float = 30.0
    usual_load_wait_s: float = 0.3


class Admission:
    """Accepts or sheds requests of one entry.

    The wait for a load is the number of own requests that wait for one, divided by
    the rate at which such waits end (Little's law). That needs no report of the other
    entries' loads: their share of the store shows in the rate.
    """

    def __init__(
        self,
        rng: random.Random,
        limits: Mapping[str, TeamLimits] | None = None,
        settings: AdmissionSettings | None = None,
    ) -> None:
        """Start without work; teams without limits have share 1."""
        self._rng = rng
        self._settings = settings or AdmissionSettings()
        self._shares = FairShares(limits or {})
        self._use = AdapterUse()
        self._loads = _LoadWaits(self._settings.usual_load_wait_s)

    def set_limits(self, team: str, limits: TeamLimits) -> None:
        """Take the limits of a team as they are configured now."""
        self._shares.set_limits(team, limits)

    def offer(self, request: AdmissionRequest, now_s: float) -> Admitted | Shed:
        """Decide on a request; an admitted one counts until it has finished."""
        self._shares.offered(request.team, now_s)
        if request.adapter:
            self._use.record_request(request.adapter, now_s)
        if self._shares.is_at_limit(request.team):
            return Shed("team limit", self._retry_after_s(1.0))
        factor = self._shares.factor(
            request.team, now_s, self._settings.max_share_factor
        )
        part = self._settings.queue_parts[request.criticality]
        over_s = request.queue_wait_s - part * factor * request.patience_s
        if over_s > 0:
            return Shed("queue", self._retry_after_s(over_s))
        if request.needs_load:
            part = self._settings.load_parts[request.criticality]
            gain = max(1.0, self._use.score(request.adapter, now_s))
            part = min(self._settings.max_load_part, part * gain)
            wait_s = self._loads.wait_s(request.criticality, now_s)
            over_s = wait_s - part * factor * request.patience_s
            if over_s > 0:
                return Shed("adapter loads", self._retry_after_s(over_s))
            self._loads.began(request.criticality, now_s)
        self._shares.admitted(request.team, now_s)
        return Admitted()

    def load_wait_ended(self, criticality: int, now_s: float) -> None:
        """Count the first token, or the refusal, of a request that needed a load."""
        self._loads.ended(criticality, now_s)

    def finished(self, team: str, now_s: float) -> None:
        """Count the end of an admitted request, whatever its outcome."""
        self._shares.finished(team, now_s)

    def _retry_after_s(self, over_s: float) -> float:
        """Return a delay after which the backlog has drained, spread by half."""
        settings = self._settings
        delay_s = max(settings.min_retry_after_s, over_s) * self._rng.uniform(1.0, 1.5)
        return min(settings.max_retry_after_s, delay_s)


@dataclass(slots=True)
class _LoadWaits:
    """Own requests that wait for a load, and how fast such waits end."""

    usual_wait_s: float
    half_life_s: float = 10.0
    waiting: list[int] = field(default_factory=lambda: [0, 0, 0])
    _ended: float = 0.0
    _seen_s: float = 0.0
    _at_s: float = 0.0

    def began(self, criticality: int, now_s: float) -> None:
        self._decay(now_s)
        self.waiting[criticality] += 1

    def ended(self, criticality: int, now_s: float) -> None:
        self._decay(now_s)
        self.waiting[criticality] = max(0, self.waiting[criticality] - 1)
        self._ended += 1.0

    def wait_s(self, criticality: int, now_s: float) -> float:
        """Return the expected wait behind work that is as critical or more."""
        self._decay(now_s)
        ahead = sum(self.waiting[: criticality + 1])
        if ahead == 0 or self._seen_s == 0.0:
            return self.usual_wait_s
        # No wait can have ended before the first load has had its usual time.
        counted_s = self._seen_s - self.usual_wait_s
        if counted_s <= 0.0:
            return self.usual_wait_s
        per_s = max(self._ended, 1.0) / counted_s
        return self.usual_wait_s + ahead / per_s

    def _decay(self, now_s: float) -> None:
        """Let both the count and the time it covers fade, so that they stay a rate.

        Time in which nothing waits doesn't count: it says nothing about the rate.
        """
        passed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if passed_s == 0.0 or not any(self.waiting):
            return
        kept = 0.5 ** (passed_s / self.half_life_s)
        self._ended *= kept
        self._seen_s = self._seen_s * kept + passed_s
