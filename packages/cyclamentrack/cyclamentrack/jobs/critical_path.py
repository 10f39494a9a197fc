"""Critical path of a job: the longest chain of steps that depend on another.

Its length is the shortest time in which the job can end, and the job's
objective is a multiple of it. As the objective does, it counts a step that is
wider than a quarter of its pool's capacity, or than its account may run at a
time, in waves, and one permit call for each step.
"""

import math
from collections.abc import Callable, Sequence

import msgspec

from cyclamentrack.jobs.allotments import tasks_within_cap
from cyclamentrack.jobs.model import Job, PermitPolicy, Step
from cyclamentrack.resources import NO_RESOURCES, Resources

# A step may use 1/4 of its pool at a time.
_POOL_DIVISOR = 4
# The objective allows for one permit call that names this many workers.
_WORKERS_NAMED = 30

PoolCapacity = Callable[[Step], int]
"""Returns how many tasks of a step fit into the whole pool; 0 if unknown."""


class CriticalPath(msgspec.Struct, frozen=True, kw_only=True):
    """Length of a job's critical path, in seconds.

    For each step, ``after_s`` is the longest chain of steps that follow it
    and ``pool_slots`` how many of its tasks fit into the pool, 0 if unknown;
    no more than four times as many as the account's cap admits.
    """

    total_s: float
    after_s: tuple[float, ...]
    pool_slots: tuple[int, ...]


def waves(step: Step, count: int, capacity: int) -> int:
    """Return how many waves it takes to run ``count`` tasks of a step.

    >>> from cyclamentrack.resources import Resources
    >>> need = Resources(milli_cores=1000, memory_mib=1)
    >>> waves(Step(count=30, need=need), 30, 40)
    3
    """
    if step.gang or not capacity:
        return 1
    return max(math.ceil(count * _POOL_DIVISOR / capacity), 1)


def compute_critical_path(
    job: Job,
    *,
    permits: PermitPolicy | None,
    capacity: PoolCapacity,
    task_s: Sequence[float],
    cap: Resources = NO_RESOURCES,
) -> CriticalPath:
    """Return a job's critical path; ``task_s`` is each step's time per task.

    ``cap`` is that of the job's account.
    """
    pool_slots = tuple(
        _slots(capacity(step), tasks_within_cap(cap, step.need))
        for step in job.steps
    )
    own = [
        _permit_call_s(permits) + each_s * waves(step, step.count, slots)
        for step, each_s, slots in zip(
            job.steps, task_s, pool_slots, strict=True
        )
    ]
    after = _after(job, own)
    total = max(map(sum, zip(own, after, strict=True)), default=0.0)
    return CriticalPath(
        total_s=total, after_s=tuple(after), pool_slots=pool_slots
    )


def _slots(in_pool: int, in_cap: int | None) -> int:
    """Return the number of slots of which a step may use a quarter."""
    if in_cap is None:
        return in_pool
    within_cap = in_cap * _POOL_DIVISOR
    return min(in_pool, within_cap) if in_pool else within_cap


def _after(job: Job, own: list[float]) -> list[float]:
    """Return for each step the longest chain of steps that depend on it."""
    after = [0.0 for _ in job.steps]
    for number in reversed(range(len(job.steps))):
        for before in job.steps[number].after:
            later = own[number] + after[number]
            after[before] = max(after[before], later)
    return after


def _permit_call_s(permits: PermitPolicy | None) -> float:
    if permits is None:
        return 0.0
    return permits.decide_s + _WORKERS_NAMED * permits.each_s
