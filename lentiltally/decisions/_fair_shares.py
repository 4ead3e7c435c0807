"""Weighted max-min shares of the teams, from decayed counts."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class TeamLimits(msgspec.Struct, frozen=True):
    """A team's weight and the number of requests it may have open at an entry."""

    share: float = 1.0
    max_concurrent: int = 1_000_000


class _Team(msgspec.Struct):
    limits: TeamLimits
    offered: float = 0.0
    admitted: float = 0.0
    open: int = 0
    at_s: float = 0.0
    ratio: float = 1.0


class FairShares:
    """What each team was offered and given lately, against its fair part.

    Counts halve every ``half_life_s``. The fair parts are max-min shares: a team that
    asks for less than its part leaves the rest to the others, so shares are borrowed
    without being reserved.
    """

    def __init__(
        self, limits: Mapping[str, TeamLimits], half_life_s: float = 15.0
    ) -> None:
        """Keep the limits of the teams; other teams have the default."""
        self._limits = dict(limits)
        self._half_life_s = half_life_s
        self._teams: dict[str, _Team] = {}
        self._shared_at_s = float("-inf")

    def set_limits(self, team: str, limits: TeamLimits) -> None:
        """Take the limits of a team, which may have changed."""
        self._limits[team] = limits
        entry = self._teams.get(team)
        if entry is not None:
            entry.limits = limits

    def offered(self, team: str, now_s: float) -> None:
        """Count a request of a team."""
        self._decayed(team, now_s).offered += 1.0

    def admitted(self, team: str, now_s: float) -> None:
        """Count an admitted request of a team."""
        entry = self._decayed(team, now_s)
        entry.admitted += 1.0
        entry.open += 1

    def finished(self, team: str, now_s: float) -> None:
        """Count the end of an admitted request."""
        entry = self._decayed(team, now_s)
        entry.open = max(0, entry.open - 1)

    def is_at_limit(self, team: str) -> bool:
        """Return whether the team has as many open requests as it may."""
        entry = self._teams.get(team)
        return entry is not None and entry.open >= entry.limits.max_concurrent

    def factor(self, team: str, now_s: float, most: float) -> float:
        """Return the team's fair part over what it was given, within 1/most to most."""
        if now_s - self._shared_at_s >= 0.5:
            self._share(now_s)
        return min(most, max(1.0 / most, self._decayed(team, now_s).ratio))

    def _decayed(self, team: str, now_s: float) -> _Team:
        entry = self._teams.get(team)
        if entry is None:
            limits = self._limits.get(team, TeamLimits())
            entry = self._teams[team] = _Team(limits, at_s=now_s)
        elif now_s > entry.at_s:
            kept = 0.5 ** ((now_s - entry.at_s) / self._half_life_s)
            entry.offered *= kept
            entry.admitted *= kept
            entry.at_s = now_s
        return entry

    def _share(self, now_s: float) -> None:
        """Divide what was admitted by weighted max-min, and forget idle teams."""
        self._shared_at_s = now_s
        teams = [self._decayed(name, now_s) for name in self._teams]
        for name in [name for name, team in self._teams.items() if _is_idle(team)]:
            del self._teams[name]
        left = sum(team.admitted for team in teams)
        weight = sum(team.limits.share for team in teams)
        for team in sorted(teams, key=lambda team: team.offered / team.limits.share):
            part = left * team.limits.share / weight if weight > 0 else 0.0
            fair = min(team.offered, part)
            # One request of slack keeps the ratio steady for teams with little traffic.
            team.ratio = (fair + 1.0) / (team.admitted + 1.0)
            left -= fair
            weight -= team.limits.share


def _is_idle(team: _Team) -> bool:
    return team.offered < 0.01 and not team.open
