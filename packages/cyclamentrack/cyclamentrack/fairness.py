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
from cyclamentrack.work import Kind, Urgency, Work

_FLOOR_FOR_OTHER_TEAMS = 0.5
_RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}


def is_stoppable(work: Work) -> bool:
    """Tell whether a task of a work may be stopped and run again."""
    return work.idempotent and work.kind is Kind.BATCH


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

    def is_owed(self, work: Work) -> bool:
        """Tell whether a work's urgency or team holds less than its due.

        An urgency is due its floor. A team is due an equal part of what its
        urgency holds, or of the floor if that is more.
        """
        capacity = self._capacity()
        if self.is_below_floor(work.urgency, capacity):
            return True
        floor = self._configuration.floor(work.urgency)
        held = self._usage.by_urgency(work.urgency).dominant_share(capacity)
        teams = max(self._usage.count_teams(), 1)
        due = max(floor, held) / teams
        return self._team_share(work.team, capacity) < due

    def may_place(self, work: Work) -> bool:
        """Tell whether one more task keeps to the quota and the floors.

        Work that can be stopped may use what others' floors leave idle;
        other work must leave those floors free.
        """
        return self._keeps_quota(work) and (
            is_stoppable(work) or self._keeps_floors(work)
        )

    def may_stop(self, work: Work) -> bool:
        """Tell whether a running task may be stopped for one below a floor."""
        return is_stoppable(work) and not self.is_owed(work)

    def _keeps_floors(self, work: Work) -> bool:
        """Tell whether the floors of others stay free.

        A team beyond its due also leaves part of its own urgency's floor to
        the other teams, so that one team can't take an urgency for itself.
        """
        if self.is_owed(work):
            return True
        capacity = self._capacity()
        held = work.resources.dominant_share(capacity)
        for urgency in Urgency:
            share = self._usage.by_urgency(urgency).dominant_share(capacity)
            floor = self._configuration.floor(urgency)
            if urgency is work.urgency:
                held += share + floor * _FLOOR_FOR_OTHER_TEAMS
            else:
                held += max(share, floor)
        return held <= 1

    def _keeps_quota(self, work: Work) -> bool:
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
