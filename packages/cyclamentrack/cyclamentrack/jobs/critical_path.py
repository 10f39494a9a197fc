"""How long a job takes at best: its longest chain of steps.

The objective of a job is a multiple of that time. A step that is wider than a
quarter of its pool's room counts in waves, and each step counts one permit
call, as the objective does.
"""

import math
from collections.abc import Callable, Sequence

import msgspec

from cyclamentrack.jobs.model import Job, PermitPolicy, Step

# A step may take a quarter of its pool at a time.
_WIDEST_SHARE = 4
# The objective allows for one permit call that names so many workers.
_CALL_NAMES = 30

Room = Callable[[Step], int]
"""Tells how many tasks of a step the whole pool holds; 0 if unknown."""


class CriticalPath(msgspec.Struct, frozen=True, kw_only=True):
    """The longest chain of a job, seconds.

    ``after_s`` gives for each step the longest chain that follows it, and
    ``rooms`` how many of its tasks the pool holds.
    """

    total_s: float
    after_s: tuple[float, ...]
    rooms: tuple[int, ...]


def waves(step: Step, count: int, room: int) -> int:
    """Return how many times in a row tasks of a step have to run.

    >>> from cyclamentrack.resources import Resources
    >>> need = Resources(milli_cores=1000, memory_mib=1)
    >>> waves(Step(count=30, need=need), 30, 40)
    3
    """
    if step.gang or not room:
        return 1
    return max(math.ceil(count * _WIDEST_SHARE / room), 1)


def compute_critical_path(
    job: Job,
    *,
    permits: PermitPolicy | None,
    room: Room,
    task_s: Sequence[float],
) -> CriticalPath:
    """Work out a job's longest chain from how long its tasks take."""
    rooms = tuple(room(step) for step in job.steps)
    own = [
        _call_s(permits) + each_s * waves(step, step.count, held)
        for step, each_s, held in zip(job.steps, task_s, rooms, strict=True)
    ]
    after = _after(job, own)
    total = max(map(sum, zip(own, after, strict=True)), default=0.0)
    return CriticalPath(total_s=total, after_s=tuple(after), rooms=rooms)


def _after(job: Job, own: list[float]) -> list[float]:
    """Return for each step the longest chain of those that wait for it."""
    after = [0.0 for _ in job.steps]
    for number in reversed(range(len(job.steps))):
        for before in job.steps[number].after:
            later = own[number] + after[number]
            after[before] = max(after[before], later)
    return after


def _call_s(permits: PermitPolicy | None) -> float:
    if permits is None:
        return 0.0
    return permits.decide_s + _CALL_NAMES * permits.each_s
