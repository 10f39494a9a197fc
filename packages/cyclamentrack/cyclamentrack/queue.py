"""Works that wait for capacity, in lanes.

A lane is a FIFO of works with the same key. They all request the same
capacity, so when the first one doesn't fit, none of the lane does. Other lanes
continue, so large work never blocks small work behind it.
"""

from collections.abc import Iterator

import msgspec

from cyclamentrack.ids import PoolName, TeamName, WorkId
from cyclamentrack.registry import WorkRecord
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind, Urgency, Work

# A smaller demand in core-seconds is a rounding error of the running sum.
_ROUNDING_ERROR_S = 1e-6


class LaneKey(msgspec.Struct, frozen=True, kw_only=True):
    """The properties that all works of a lane share."""

    urgency: Urgency
    team: TeamName
    kind: Kind
    pool: PoolName
    resources: Resources
    gang_size: int


class Lane(msgspec.Struct, kw_only=True, eq=False):
    """Waiting works with the same key, oldest first."""

    key: LaneKey
    works: dict[WorkId, WorkRecord]

    def first(self) -> Work | None:
        """Return the oldest work, or ``None``."""
        record = next(iter(self.works.values()), None)
        return record.work if record else None


class WorkQueue:
    """All lanes of a daemon."""

    def __init__(self) -> None:
        """Start empty."""
        self._lanes: dict[LaneKey, Lane] = {}
        self._lane_of: dict[WorkId, LaneKey] = {}
        self._demand_s: dict[tuple[Urgency, TeamName], float] = {}

    def __len__(self) -> int:
        """Return the number of waiting works."""
        return len(self._lane_of)

    def __contains__(self, work: WorkId) -> bool:
        """Return whether a work is waiting."""
        return work in self._lane_of

    def offer(self, record: WorkRecord) -> None:
        """Add a work; one that is queued already keeps its place."""
        work = record.work
        if work.id in self._lane_of:
            return
        key = lane_key(work)
        lane = self._lanes.get(key)
        if lane is None:
            lane = Lane(key=key, works={})
            self._lanes[key] = lane
        lane.works[work.id] = record
        self._lane_of[work.id] = key
        self._count(work, 1)

    def discard(self, work: WorkId) -> None:
        """Remove a work; do nothing if it isn't queued."""
        key = self._lane_of.pop(work, None)
        if key is None:
            return
        lane = self._lanes[key]
        record = lane.works.pop(work)
        self._count(record.work, -1)
        if not lane.works:
            self._lanes.pop(key)

    def lanes(self) -> list[Lane]:
        """Return the lanes, none of which is empty."""
        return list(self._lanes.values())

    def records(self) -> Iterator[WorkRecord]:
        """Yield all waiting works."""
        for lane in self._lanes.values():
            yield from lane.works.values()

    def demand_s(self, urgency: Urgency) -> float:
        """Return the declared core-seconds that wait at an urgency."""
        return sum(
            amount
            for (level, _), amount in self._demand_s.items()
            if level is urgency
        )

    def team_demand_s(self, urgency: Urgency, team: TeamName) -> float:
        """Return one team's declared core-seconds that wait at an urgency."""
        return self._demand_s.get((urgency, team), 0)

    def teams(self, urgency: Urgency) -> int:
        """Return the number of teams with works waiting at an urgency."""
        return sum(1 for level, _ in self._demand_s if level is urgency)

    def _count(self, work: Work, sign: int) -> None:
        key = (work.urgency, work.team)
        amount = self._demand_s.get(key, 0) + sign * core_seconds(work)
        if amount > _ROUNDING_ERROR_S:
            self._demand_s[key] = amount
        else:
            self._demand_s.pop(key, None)


def lane_key(work: Work) -> LaneKey:
    """Return the key of the lane that a work waits in."""
    return LaneKey(
        urgency=work.urgency,
        team=work.team,
        kind=work.kind,
        pool=work.pool,
        resources=work.resources,
        gang_size=work.tasks if work.kind is Kind.GANG else 0,
    )


def core_seconds(work: Work) -> float:
    """Return the declared core-seconds of all tasks of a work."""
    return work.tasks * work.run_s * work.resources.milli_cores / 1000
