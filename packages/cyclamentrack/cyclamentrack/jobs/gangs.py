"""Plans the start of gangs and large tasks that don't fit now.

Only some workers may run such a step. A gang needs free capacity on all of
its workers at the same time, a large task needs much of one worker. Unless
that capacity is kept, smaller tasks take each piece as it becomes free and
the step starves. A plan names the workers whose capacity will be free first;
until then they only take tasks that end before the planned start.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.model import Step, TaskName
from cyclamentrack.jobs.registry import JobRegistry, Placement
from cyclamentrack.resources import Resources

_NEVER = float('inf')
_PERCENT = 100.0
# Progress below this is too little to estimate when a run will end.
_MIN_PERCENT = 10.0
# A run past its estimate is expected to need this share of the estimate more.
_OVERTIME_SHARE = 0.3
# Expected ends change by about this much from poll to poll.
_REPLACE_MARGIN_S = 0.8
# A task that needs this share of a worker seldom finds it free unless it is
# kept.
_LARGE_SHARE = 0.24


class StartPlan(msgspec.Struct, frozen=True, kw_only=True):
    """When and where the tasks of a step could start.

    ``starts`` maps each worker to the earliest steady time at which one of
    the tasks could start there; for a gang it is the same for all workers.
    """

    starts: dict[WorkerId, float]


class _Release(msgspec.Struct, frozen=True, order=True, array_like=True):
    at: float
    need: Resources


class Forecast:
    """Forecast of when running tasks will release their capacity."""

    def __init__(self, *, registry: JobRegistry, now: float) -> None:
        """Create a forecast; a worker's runs are read on first use."""
        self._now = now
        self._registry = registry
        self._releases: dict[WorkerId, list[_Release]] = {}

    def plan(
        self,
        step: Step,
        workers: list[Worker],
        *,
        count: int,
        tasks_on: Counter[WorkerId],
        previous: frozenset[WorkerId],
    ) -> StartPlan:
        """Return the earliest starts of ``count`` tasks, of a gang together.

        ``tasks_on`` are the step's tasks that count for its limit per worker.
        Workers of the ``previous`` plan are only replaced by others that are
        free now or have a clearly earlier start: the capacity that was kept on
        them would be wasted. The plan of a gang is empty if it doesn't fit as
        a whole.
        """
        limit = step.max_per_worker or count
        times = sorted(
            (
                at > self._now,
                at - _REPLACE_MARGIN_S * (worker.entry.id in previous),
                at,
                worker.entry.id,
            )
            for worker in workers
            for at in self._start_times(
                step, worker, min(limit - tasks_on[worker.entry.id], count)
            )
        )
        chosen = sorted((at, name) for *_, at, name in times[:count])
        if step.gang and len(chosen) < count:
            return StartPlan(starts={})
        starts: dict[WorkerId, float] = {}
        for at, worker in chosen:
            first = chosen[-1][0] if step.gang else at
            starts.setdefault(worker, first)
        return StartPlan(starts=starts)

    def _start_times(
        self, step: Step, worker: Worker, count: int
    ) -> list[float]:
        """Return when it has capacity for one task, for two, and so on."""
        need = charge(step)
        free = worker.free
        cores = free.milli_cores - need.milli_cores
        memory = free.memory_mib - need.memory_mib
        devices = free.accelerators - need.accelerators
        at = self._now
        found: list[float] = []
        releases = iter(self._releases_of(worker))
        while len(found) < count:
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
        """Return the releases of capacity on a worker, ordered by time."""
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
        self, charge_key: tuple[TaskName, int], worker: Worker
    ) -> _Release | None:
        name, run = charge_key
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
    """Return whether capacity must be kept for a step's tasks.

    That holds for gangs and for tasks that are large for every capacity that
    workers have.
    """
    need = charge(step)
    shares = [need.dominant_share(capacity) for capacity in capacities]
    return step.gang or min(shares, default=0.0) >= _LARGE_SHARE


def expected_end(
    placement: Placement, step: Step, *, slowness: float, now: float
) -> float:
    """Return the steady time at which a run will probably end.

    It is extrapolated from the progress that was last reported, as of then, or
    from the estimate while there is too little progress. The time for which a
    resumed run has worked in all isn't known.
    """
    if step.lasting:
        return _NEVER
    began = placement.confirmed_at or placement.since
    expected_s = step.estimate_s * slowness
    end = began + expected_s
    measured_s = placement.progressed_at - began
    if placement.resumed and placement.percent:
        left = (_PERCENT - placement.percent) / _PERCENT
        end = placement.progressed_at + left * expected_s
    elif placement.percent >= _MIN_PERCENT and measured_s > 0:
        end = began + measured_s * _PERCENT / placement.percent
    if end < now:
        return now + _OVERTIME_SHARE * expected_s
    return end
