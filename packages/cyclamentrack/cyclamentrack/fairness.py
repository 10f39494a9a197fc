"""The order in which lanes get capacity.

An urgency that holds less than its floor, the share of the capacity that is
guaranteed to it, goes first. Then the more urgent goes first, then the team
with the smallest weighted dominant share (dominant resource fairness).
"""

from collections.abc import Callable

from cyclamentrack.ids import TeamName
from cyclamentrack.queue import Lane
from cyclamentrack.resources import Resources
from cyclamentrack.tickets import Configuration
from cyclamentrack.usage import Usage
from cyclamentrack.work import Kind, Urgency, Work

# The part of its urgency's floor that a team above its fair share leaves free.
_FLOOR_SHARE_FOR_OTHER_TEAMS = 0.5
_RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}


def is_preemptible(work: Work) -> bool:
    """Return whether tasks of a work may be stopped and run again."""
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
        """Take callables for the capacity and for the peers' team usage.

        ``capacity`` returns this daemon's part of the cell's capacity.
        ``team_usage`` returns what each peer reported for a team.
        """
        self._usage = usage
        self._configuration = configuration
        self._capacity = capacity
        self._team_usage = team_usage

    def order(self, lanes: list[Lane]) -> list[Lane]:
        """Return the lanes in the order in which to serve them."""
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
        """Return whether an urgency holds less than its floor."""
        used_share = self._usage.by_urgency(urgency).dominant_share(capacity)
        return used_share < self._configuration.floor(urgency)

    def is_below_share(self, work: Work) -> bool:
        """Return whether a work's urgency or team is below its fair share.

        The fair share of an urgency is its floor. That of a team is an equal
        part of what its urgency holds, or of the floor if that is more.
        """
        capacity = self._capacity()
        if self.is_below_floor(work.urgency, capacity):
            return True
        floor = self._configuration.floor(work.urgency)
        used_share = self._usage.by_urgency(work.urgency).dominant_share(
            capacity
        )
        teams = max(self._usage.count_teams(), 1)
        fair_share = max(floor, used_share) / teams
        return self._team_share(work.team, capacity) < fair_share

    def may_place(self, work: Work) -> bool:
        """Return whether one more task respects the quota and the floors.

        Preemptible work may use the idle part of other urgencies' floors;
        other work must leave those floors free.
        """
        return self._is_within_quota(work) and (
            is_preemptible(work) or self._leaves_floors_free(work)
        )

    def may_preempt(self, work: Work) -> bool:
        """Return whether a running task may be preempted.

        Work that is below its own share is never stopped for other work.
        """
        return is_preemptible(work) and not self.is_below_share(work)

    def _leaves_floors_free(self, work: Work) -> bool:
        """Return whether the floors of other urgencies stay free.

        A team above its fair share also leaves part of its own urgency's
        floor free for other teams, so that one team can't use up an urgency.
        """
        if self.is_below_share(work):
            return True
        capacity = self._capacity()
        claimed_share = work.resources.dominant_share(capacity)
        for urgency in Urgency:
            share = self._usage.by_urgency(urgency).dominant_share(capacity)
            floor = self._configuration.floor(urgency)
            if urgency is work.urgency:
                claimed_share += share + floor * _FLOOR_SHARE_FOR_OTHER_TEAMS
            else:
                claimed_share += max(share, floor)
        return claimed_share <= 1

    def _is_within_quota(self, work: Work) -> bool:
        quota = self._configuration.quota(work.team)
        if quota is None:
            return True
        used = self._usage.by_team(work.team)
        for peer_used in self._team_usage(work.team):
            used = used.plus(peer_used)
        return used.plus(work.resources).fits(quota)

    def _team_share(self, team: TeamName, capacity: Resources) -> float:
        return self._usage.by_team(team).weighted_share(
            capacity, weight=self._configuration.weight(team)
        )
