"""Resources held by placed tasks of this daemon's works.

They are counted by urgency, by kind and by team.
"""

import msgspec

from cyclamentrack.ids import AttemptId, TeamName
from cyclamentrack.messages import TeamUsage
from cyclamentrack.registry import WorkRecord
from cyclamentrack.resources import NO_RESOURCES, Resources
from cyclamentrack.work import Kind, Urgency, Work


class _Counter(msgspec.Struct, kw_only=True, eq=False):
    cores: int = 0
    memory: int = 0
    accelerators: int = 0

    def add(self, amount: Resources, sign: int) -> None:
        self.cores += sign * amount.milli_cores
        self.memory += sign * amount.memory_mib
        self.accelerators += sign * amount.accelerators

    def total(self) -> Resources:
        return Resources(
            milli_cores=max(self.cores, 0),
            memory_mib=max(self.memory, 0),
            accelerators=max(self.accelerators, 0),
        )


class Usage:
    """Resources held by placed attempts."""

    def __init__(self) -> None:
        """Start with no attempts."""
        self._placed: dict[AttemptId, Work] = {}
        self._urgencies = {urgency: _Counter() for urgency in Urgency}
        self._kinds = {kind: _Counter() for kind in Kind}
        self._teams: dict[TeamName, _Counter] = {}

    def add(self, attempt: AttemptId, work: Work) -> None:
        """Add an attempt that was placed; a second time does nothing."""
        if attempt not in self._placed:
            self._placed[attempt] = work
            self._count(work, 1)

    def release(self, attempt: AttemptId) -> None:
        """Subtract an attempt that ended; a second time does nothing."""
        work = self._placed.pop(attempt, None)
        if work is not None:
            self._count(work, -1)

    def restore(self, record: WorkRecord) -> None:
        """Add the placed attempts of a recovered work."""
        for attempt, _ in record.placed():
            self.add(attempt, record.work)

    def drop(self, record: WorkRecord) -> None:
        """Subtract the attempts of a work that another daemon owns now."""
        for attempt, _ in record.placed():
            self.release(attempt)

    def by_urgency(self, urgency: Urgency) -> Resources:
        """Return the resources held at an urgency."""
        return self._urgencies[urgency].total()

    def by_kind(self, kind: Kind) -> Resources:
        """Return the resources held by a kind of work."""
        return self._kinds[kind].total()

    def by_team(self, team: TeamName) -> Resources:
        """Return the resources held by a team."""
        counter = self._teams.get(team)
        return counter.total() if counter else NO_RESOURCES

    def count_teams(self) -> int:
        """Return the number of teams that hold processors."""
        return sum(1 for counter in self._teams.values() if counter.cores > 0)

    def teams(self) -> list[TeamUsage]:
        """Return the resources held by each team."""
        return [
            TeamUsage(team, counter.total())
            for team, counter in self._teams.items()
        ]

    def _count(self, work: Work, sign: int) -> None:
        team = self._teams.setdefault(work.team, _Counter())
        for counter in (
            self._urgencies[work.urgency],
            self._kinds[work.kind],
            team,
        ):
            counter.add(work.resources, sign)
