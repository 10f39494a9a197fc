"""Reads the demonstration's input file and builds its works."""

from pathlib import Path

import msgspec

from cyclamentrack.ids import PoolName, TeamName, WorkId
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind, Urgency, Work


class Group(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A group of ``count`` works that differ only in number."""

    prefix: str
    count: int
    kind: Kind
    team: TeamName
    pool: PoolName
    resources: Resources
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    tasks: int = 1
    run_s: float = 1.0

    def works(self) -> list[Work]:
        """Return the works of the group."""
        return [
            Work(
                id=WorkId(f'{self.prefix}-{number}'),
                kind=self.kind,
                team=self.team,
                pool=self.pool,
                resources=self.resources,
                urgency=self.urgency,
                idempotent=self.idempotent,
                tasks=self.tasks,
                run_s=self.run_s,
                workload=self.prefix,
                payload=f'{self.prefix} {number}',
            )
            for number in range(self.count)
        ]


class Workload(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All groups of a demonstration."""

    group: list[Group]


def load_works(path: Path) -> list[Work]:
    """Return the works of all groups of an input file."""
    workload = msgspec.toml.decode(path.read_bytes(), type=Workload)
    return [work for group in workload.group for work in group.works()]
