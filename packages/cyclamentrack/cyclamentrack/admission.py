"""Admission control: refuses work on arrival, with the reason and a remedy.

Work that no worker could ever hold is refused with a limit that would fit.
Work that would wait too long is refused with a retry time. The wait is
predicted from the declared core-seconds that wait at the same or a higher
urgency.
"""

from collections.abc import Callable

import msgspec

from cyclamentrack import defaults
from cyclamentrack.errors import ErrorKind, Problem, Ran
from cyclamentrack.ids import PoolName
from cyclamentrack.ledger import task_capacity
from cyclamentrack.ports import Instance
from cyclamentrack.queue import WorkQueue
from cyclamentrack.resources import NO_RESOURCES, Resources
from cyclamentrack.tickets import Configuration
from cyclamentrack.work import Kind, Urgency, Work

_MIN_RETRY_S = 1.0
_URGENCIES = list(Urgency)


class PoolCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """Task capacity of a pool's listed workers, in total and by type."""

    total: Resources
    types: frozenset[Resources]


def capacities(instances: list[Instance]) -> dict[PoolName, PoolCapacity]:
    """Return the capacity of each pool in the instance list."""
    totals: dict[PoolName, Resources] = {}
    types: dict[PoolName, set[Resources]] = {}
    for instance in instances:
        before = totals.get(instance.pool, NO_RESOURCES)
        totals[instance.pool] = before.plus(task_capacity(instance))
        types.setdefault(instance.pool, set()).add(task_capacity(instance))
    return {
        pool: PoolCapacity(total=total, types=frozenset(types[pool]))
        for pool, total in totals.items()
    }


class Admission:
    """Decides whether work is accepted."""

    def __init__(
        self,
        *,
        queue: WorkQueue,
        configuration: Configuration,
        own_share: Callable[[], float],
    ) -> None:
        """Take the queue, the configuration and this daemon's share.

        ``own_share`` returns the fraction of the cell that this daemon owns.
        """
        self._queue = queue
        self._configuration = configuration
        self._own_share = own_share
        self._pools: dict[PoolName, PoolCapacity] = {}
        self._total = NO_RESOURCES

    @property
    def pools(self) -> dict[PoolName, PoolCapacity]:
        """The capacity of each pool."""
        return self._pools

    def update_instances(self, instances: list[Instance]) -> None:
        """Compute the cell's capacity from the instance list."""
        self._pools = capacities(instances)
        self._total = NO_RESOURCES
        for capacity in self._pools.values():
            self._total = self._total.plus(capacity.total)

    def total(self) -> Resources:
        """Return the capacity of the whole cell."""
        return self._total

    def refuse(self, work: Work) -> Problem | None:
        """Return why work is refused, or ``None`` when it is admitted."""
        return (
            self._refuse_malformed(work)
            or self._refuse_impossible(work)
            or self._refuse_quota(work)
            or self._refuse_overload(work)
        )

    def predicted_wait_s(self, work: Work) -> float:
        """Return the predicted wait of a work in seconds.

        It is the shortest of three predictions: by all work of the same or a
        higher urgency, by the work of its urgency on that urgency's floor,
        which higher urgencies can't use up, and by its team's work on an
        equal part of that floor.
        """
        cores = self.total().milli_cores / 1000 * self._own_share()
        if not cores:
            return 0
        queue = self._queue
        urgency = work.urgency
        ahead = _URGENCIES[: _URGENCIES.index(urgency) + 1]
        floor_cores = cores * self._configuration.floor(urgency)
        in_order = sum(queue.demand_s(level) for level in ahead) / cores
        if not floor_cores:
            return in_order
        in_floor = queue.demand_s(urgency) / floor_cores
        teams = max(queue.teams(urgency), 1)
        in_team = queue.team_demand_s(urgency, work.team) * teams / floor_cores
        return min(in_order, in_floor, in_team)

    def _refuse_malformed(self, work: Work) -> Problem | None:
        if work.kind is not Kind.LOOKUP:
            return None
        if work.idempotent and work.tasks == 1:
            return None
        return Problem(
            kind=ErrorKind.INVALID,
            detail=f'lookup {work.id} is not idempotent or has several tasks',
            remedy=(
                'mark it idempotent with one task, '
                'or use kind "batch" and wait for it'
            ),
        )

    def _refuse_impossible(self, work: Work) -> Problem | None:
        capacity = self._pools.get(work.pool)
        if capacity is None:
            return self._unknown_pool(work)
        if not any(work.resources.fits(kind) for kind in capacity.types):
            return Problem(
                kind=ErrorKind.IMPOSSIBLE,
                detail=f'no worker of pool {work.pool} could hold a task',
                remedy=f'request at most {_describe(capacity.types)} per task',
            )
        if work.kind is Kind.GANG:
            return _refuse_large_gang(work, capacity)
        return None

    def _unknown_pool(self, work: Work) -> Problem:
        if not self._pools:
            return Problem(
                kind=ErrorKind.OVERLOADED,
                detail='the instance list has not been read yet',
                remedy='send it again after retry_after_s seconds',
                retry_after_s=_MIN_RETRY_S,
            )
        names = ', '.join(sorted(self._pools))
        return Problem(
            kind=ErrorKind.IMPOSSIBLE,
            detail=f'pool {work.pool} does not exist',
            remedy=f'use one of: {names}',
        )

    def _refuse_quota(self, work: Work) -> Problem | None:
        quota = self._configuration.quota(work.team)
        if quota is None:
            return None
        requested = work.resources
        if work.kind is Kind.GANG:
            requested = _multiply(requested, work.tasks)
        if requested.fits(quota):
            return None
        return Problem(
            kind=ErrorKind.QUOTA,
            detail=f'{work.id} exceeds the quota of team {work.team}',
            remedy=f'request at most {_describe(frozenset((quota,)))}',
        )

    def _refuse_overload(self, work: Work) -> Problem | None:
        if len(self._queue) >= defaults.MAX_QUEUED_WORKS:
            return _overloaded(
                work,
                f'{len(self._queue)} works are already waiting',
                _MIN_RETRY_S,
            )
        limit_s = self._configuration.wait_limit_s(work.urgency)
        if work.deadline_s is not None:
            limit_s = min(limit_s, work.deadline_s)
        wait_s = self.predicted_wait_s(work)
        if wait_s <= limit_s:
            return None
        return _overloaded(
            work,
            f'predicted wait of {wait_s:.0f} s exceeds {limit_s:.0f} s',
            wait_s - limit_s,
        )


def _overloaded(work: Work, reason: str, retry_s: float) -> Problem:
    return Problem(
        kind=ErrorKind.OVERLOADED,
        detail=f'{work.id} of urgency {work.urgency.value}: {reason}',
        remedy='send it again after retry_after_s seconds',
        ran=Ran.NO,
        retry_after_s=max(retry_s, _MIN_RETRY_S),
    )


def _refuse_large_gang(work: Work, capacity: PoolCapacity) -> Problem | None:
    if _multiply(work.resources, work.tasks).fits(capacity.total):
        return None
    return Problem(
        kind=ErrorKind.IMPOSSIBLE,
        detail=f'pool {work.pool} is too small for all tasks of {work.id}',
        remedy='use fewer or smaller tasks, or kind "batch"',
    )


def _multiply(amount: Resources, count: int) -> Resources:
    return Resources(
        milli_cores=amount.milli_cores * count,
        memory_mib=amount.memory_mib * count,
        accelerators=amount.accelerators * count,
    )


def _describe(amounts: frozenset[Resources]) -> str:
    return ' or '.join(
        f'{amount.milli_cores} milli-cores, {amount.memory_mib} MiB and '
        f'{amount.accelerators} accelerators'
        for amount in sorted(amounts, key=lambda one: one.milli_cores)
    )
