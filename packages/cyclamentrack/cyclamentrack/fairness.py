"""The order in which lanes get room.

A class of work below its floor goes first, then the more urgent, then the
team that holds the smallest part of its share (dominant resource fairness).
"""

from collections.abc import Callable

from cyclamentrack.ids import TeamName
from cyclamentrack.queue import Lane
from cyclamentrack.resources import Resources
from cyclamentrack.tickets import Configuration
from cyclamentrack.usage import Usage
from cyclamentrack.work import Urgency, Work

_RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}


class Fairness:
    """Orders lanes by floors, urgency and shares."""

    def __init__(
        self,
        *,
        usage: Usage,
        configuration: Configuration,
        capacity: Callable[[], Resources],
        team_usage: Callable[[TeamName], list[Resources]],
    ) -> None:
        """``capacity`` is this daemon's; ``team_usage`` is the peers' word."""
        self._usage = usage
        self._configuration = configuration
        self._capacity = capacity
        self._team_usage = team_usage

    def order(self, lanes: list[Lane]) -> list[Lane]:
        """Return the lanes, the one to serve first at the front."""
        if len(lanes) < 2:
            return lanes
        capacity = self._capacity()
        below = {
            urgency: self.is_below_floor(urgency, capacity)
            for urgency in Urgency
        }
        shares = {
            team: self._team_share(team, capacity)
            for team in {lane.key.team for lane in lanes}
        }
        return sorted(
            lanes,
            key=lambda lane: (
                not below[lane.key.urgency],
                _RANKS[lane.key.urgency],
                shares[lane.key.team],
            ),
        )

    def is_below_floor(self, urgency: Urgency, capacity: Resources) -> bool:
        """Tell whether an urgency holds less than its floor."""
        held = self._usage.by_urgency(urgency).dominant_share(capacity)
        return held < self._configuration.floor(urgency)

    def may_place(self, work: Work) -> bool:
        """Tell whether one more task keeps the team within its quota."""
        quota = self._configuration.quota(work.team)
        if quota is None:
            return True
        used = self._usage.by_team(work.team)
        for elsewhere in self._team_usage(work.team):
            used = used.plus(elsewhere)
        return used.plus(work.resources).fits(quota)

    def _team_share(self, team: TeamName, capacity: Resources) -> float:
        held = self._usage.by_team(team).dominant_share(capacity)
        return held / self._configuration.weight(team)
