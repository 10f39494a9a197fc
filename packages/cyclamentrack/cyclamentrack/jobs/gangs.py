"""When and where a gang or a large task that finds no room now could start.

Only some workers may run it, and it needs room on all of its workers at one
moment, or much of one worker. Unless that room is kept, smaller tasks take
each piece as it becomes free and it starves. A plan names the workers whose
room will be free first; until then they take only what ends before that
moment.
"""

from collections.abc import Iterable

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.model import Step, TaskName
from cyclamentrack.jobs.registry import JobRegistry, Placement
from cyclamentrack.resources import Resources

_NEVER = float('inf')
_PERCENT = 100.0
# Progress below this says too little about when a run will end.
_TELLING_PERCENT = 10.0
# A run that is past its estimate is taken to need so much of it again.
_OVERTIME_SHARE = 0.3
# Expected ends move by about this much from look to look, seconds.
_LOYALTY_S = 0.8
# A task that takes this share of a worker seldom finds it by chance.
_LARGE_SHARE = 0.24


class GangPlan(msgspec.Struct, frozen=True, kw_only=True):
    """When and where the tasks of a step could start.

    ``starts`` gives for each worker the first moment at which one of the
    tasks could start there; for a gang it is the same for all.
    """

    starts: dict[WorkerId, float]


class _Release(msgspec.Struct, frozen=True, order=True, array_like=True):
    at: float
    need: Resources


class Forecast:
    """When the runs under way will give their room back."""

    def __init__(self, *, registry: JobRegistry, now: float) -> None:
        """Look at a worker's runs when a plan first asks for them."""
        self._now = now
        self._registry = registry
        self._releases: dict[WorkerId, list[_Release]] = {}

    def plan(
        self,
        step: Step,
        workers: list[Worker],
        *,
        count: int,
        former: frozenset[WorkerId],
    ) -> GangPlan:
        """Return the earliest starts of some tasks, of a gang together.

        Workers of the ``former`` plan are given up only for starts that are
        clearly earlier: room that was kept on them would be wasted.
        """
        times = sorted(
            (at - _LOYALTY_S * (worker.entry.id in former), at, worker.entry.id)
            for worker in workers
            for at in self._slots(step, worker, count)
        )
        chosen = sorted((at, name) for _, at, name in times[:count])
        if step.gang and len(chosen) < count:
            return GangPlan(starts={})
        starts: dict[WorkerId, float] = {}
        for at, worker in chosen:
            first = chosen[-1][0] if step.gang else at
            starts.setdefault(worker, first)
        return GangPlan(starts=starts)

    def _slots(self, step: Step, worker: Worker, count: int) -> list[float]:
        """Return when the worker has room for one task, for two, ..."""
        need = charge(step)
        limit = min(step.max_per_worker or count, count)
        room = worker.free
        cores = room.milli_cores - need.milli_cores
        memory = room.memory_mib - need.memory_mib
        devices = room.accelerators - need.accelerators
        at = self._now
        found: list[float] = []
        releases = iter(self._releases_of(worker))
        while len(found) < limit:
            if cores >= 0 and memory >= 0 and devices >= 0:
                found.append(at)
                cores -= need.milli_cores
                memory -= need.memory_mib
                devices -= need.accelerators
                continue
            release = next(releases, None)
            if release is None or release.at >= _NEVER:
                break
            at = max(at, release.at)
            cores += release.need.milli_cores
            memory += release.need.memory_mib
            devices += release.need.accelerators
        return found

    def _releases_of(self, worker: Worker) -> list[_Release]:
        """Return the room that a worker's runs will give back, in order."""
        known = self._releases.get(worker.entry.id)
        if known is None:
            found = (self._release(name, worker) for name in worker.charges)
            known = sorted(
                (one for one in found if one is not None),
                key=lambda release: release.at,
            )
            self._releases[worker.entry.id] = known
        return known

    def _release(
        self, holding: tuple[TaskName, int], worker: Worker
    ) -> _Release | None:
        name, run = holding
        task = self._registry.task(name)
        step = self._registry.step_of(name)
        if task is None or step is None:
            return None
        placement = task.placement
        if placement is None or placement.run != run:
            return None
        end = expected_end(
            placement, step.step, slowness=worker.slowness, now=self._now
        )
        return _Release(end, charge(step.step))


def needs_plan(step: Step, capacities: Iterable[Resources]) -> bool:
    """Tell whether room must be kept for a step's tasks.

    For gangs, and for tasks that are large on workers of each capacity.
    """
    need = charge(step)
    shares = [need.dominant_share(capacity) for capacity in capacities]
    return step.gang or min(shares, default=0.0) >= _LARGE_SHARE


def expected_end(
    placement: Placement, step: Step, *, slowness: float, now: float
) -> float:
    """Return when a run will probably end, steady seconds."""
    if step.lasting:
        return _NEVER
    began = placement.confirmed_at or placement.since
    worked = now - began
    if placement.percent >= _TELLING_PERCENT and worked > 0:
        rest = worked * (_PERCENT - placement.percent) / placement.percent
        return now + rest
    expected = step.estimate_s * slowness
    if worked > expected:
        return now + _OVERTIME_SHARE * expected
    return began + expected
