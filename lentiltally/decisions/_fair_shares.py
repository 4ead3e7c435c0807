"""Weighted max-min fair shares of the teams, from exponentially decayed counts."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class TeamLimits(msgspec.Struct, frozen=True):
    """Limits of a team at an entry.

    ``share`` is its weight among the teams, ``max_concurrent`` the number of requests
    that it may have in progress.
    """

    share: float = 1.0
    max_concurrent: int = 1_000_000


class _Team(msgspec.Struct):
    """Recent requests of a team.

    ``offered`` and ``admitted`` are decayed counts as of ``at_s``, and ``open`` is the
    number of requests in progress. ``ratio`` is the fair share divided by the admitted
    requests.
    """

    limits: TeamLimits
    offered: float = 0.0
    admitted: float = 0.0
    open: int = 0
    at_s: float = 0.0
    ratio: float = 1.0


class FairShares:
    """Recently offered and admitted requests of each team, against its fair share.

    Counts halve every ``half_life_s``. Fair shares are weighted max-min shares: what a
    team does not use of its share is divided among the others, so no capacity is
    reserved for idle teams.
    """

    def __init__(
        self, limits: Mapping[str, TeamLimits], half_life_s: float = 15.0
    ) -> None:
        """Start without requests; teams without ``limits`` have the default ones."""
        self._limits = dict(limits)
        self._half_life_s = half_life_s
        self._teams: dict[str, _Team] = {}
        self._ratios_updated_at_s = float("-inf")

    def set_limits(self, team: str, limits: TeamLimits) -> None:
        """Set the limits of a team."""
        self._limits[team] = limits
        team_state = self._teams.get(team)
        if team_state is not None:
            team_state.limits = limits

    def offered(self, team: str, now_s: float) -> None:
        """Count a request of a team, whether it is admitted or not."""
        self._decayed_team(team, now_s).offered += 1.0

    def admitted(self, team: str, now_s: float) -> None:
        """Count an admitted request of a team."""
        team_state = self._decayed_team(team, now_s)
        team_state.admitted += 1.0
        team_state.open += 1

    def finished(self, team: str, now_s: float) -> None:
        """Count the end of an admitted request."""
        team_state = self._decayed_team(team, now_s)
        team_state.open = max(0, team_state.open - 1)

    def is_at_limit(self, team: str) -> bool:
        """Return whether the team has reached its limit of concurrent requests."""
        team_state = self._teams.get(team)
        return (
            team_state is not None
            and team_state.open >= team_state.limits.max_concurrent
        )

    def share_factor(self, team: str, now_s: float, max_factor: float) -> float:
        """Return the fair share of a team divided by its admitted requests.

        The result is between ``1 / max_factor`` and ``max_factor``.
        """
        if now_s - self._ratios_updated_at_s >= 0.5:
            self._update_ratios(now_s)
        return min(
            max_factor,
            max(1.0 / max_factor, self._decayed_team(team, now_s).ratio),
        )

    def _decayed_team(self, team: str, now_s: float) -> _Team:
        team_state = self._teams.get(team)
        if team_state is None:
            limits = self._limits.get(team, TeamLimits())
            team_state = self._teams[team] = _Team(limits, at_s=now_s)
        elif now_s > team_state.at_s:
            decay = 0.5 ** ((now_s - team_state.at_s) / self._half_life_s)
            team_state.offered *= decay
            team_state.admitted *= decay
            team_state.at_s = now_s
        return team_state

    def _update_ratios(self, now_s: float) -> None:
        """Divide the admitted requests by weighted max-min; remove idle teams."""
        self._ratios_updated_at_s = now_s
        teams = [self._decayed_team(name, now_s) for name in self._teams]
        for name in [name for name, team in self._teams.items() if _is_idle(team)]:
            del self._teams[name]
        left = sum(team.admitted for team in teams)
        weight = sum(team.limits.share for team in teams)
        for team in sorted(teams, key=lambda team: team.offered / team.limits.share):
            proportional = left * team.limits.share / weight if weight > 0 else 0.0
            fair = min(team.offered, proportional)
            # Adding 1 to both keeps the ratio stable for teams with few requests.
            team.ratio = (fair + 1.0) / (team.admitted + 1.0)
            left -= fair
            weight -= team.limits.share


def _is_idle(team: _Team) -> bool:
    return team.offered < 0.01 and not team.open
