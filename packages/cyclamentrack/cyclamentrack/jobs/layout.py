"""Chooses workers for the tasks of one step.

The choice is made for tasks of mixed sizes: it prefers a worker near the data
whose free capacity stays most balanced, and avoids workers on which the task
failed and those that waiting gangs depend on. Single accelerators are taken
where others are already in use.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge, tells_health
from cyclamentrack.jobs.model import Step
from cyclamentrack.jobs.registry import StepRun, TaskRun
from cyclamentrack.resources import NO_RESOURCES


def is_compatible(step: Step, worker: Worker) -> bool:
    """Return whether a worker's labels and runs allow tasks of a step."""
    if step.requires and step.requires not in worker.entry.labels:
        return False
    charges = worker.charges.values()
    if step.fills:
        return not any(run_charge.serving for run_charge in charges)
    return True


def with_free_capacity(step: Step, workers: list[Worker]) -> list[Worker]:
    """Return the workers with free capacity for a task of a step."""
    need = charge(step)
    return [worker for worker in workers if need.fits(worker.free)]


def tasks_per_worker(step: StepRun) -> Counter[WorkerId]:
    """Count the placed tasks of a step by worker."""
    return Counter(placement.worker for placement in step.placed)


def fits_start(step: StepRun, workers: list[Worker]) -> bool:
    """Return whether workers have capacity for one task or a whole gang."""
    spec = step.step
    if not spec.gang:
        return bool(workers)
    limit = spec.max_per_worker or spec.count
    need = charge(spec)
    slots = sum(min(need.times_in(one.free), limit) for one in workers)
    return slots >= spec.count


def place_each(
    step: StepRun,
    tasks: list[TaskRun],
    allowed: list[Worker],
    contention: dict[WorkerId, float],
    tasks_on: Counter[WorkerId],
) -> list[tuple[TaskRun, Worker]]:
    """Choose workers for as many tasks as fit, in the tasks' order.

    ``tasks_on`` are the step's tasks that count for its limit per worker.
    """
    free = _FreeCapacity(
        step=step, workers=allowed, contention=contention, tasks_on=tasks_on
    )
    chosen: list[tuple[TaskRun, Worker]] = []
    for task in tasks:
        worker = free.best(allowed, task)
        if worker is None:
            break
        free.subtract_task(worker)
        chosen.append((task, worker))
    return chosen


def place_isolated(
    step: StepRun,
    tasks: list[TaskRun],
    allowed: list[Worker],
) -> list[tuple[TaskRun, Worker]]:
    """Choose a worker of its own for each task, with few runs if possible.

    A silent worker comes last: if it has crashed already, the task would be
    suspected of another crash.
    """
    workers = sorted(
        allowed, key=lambda worker: (worker.silent, len(worker.charges))
    )
    need = charge(step.step)
    fitting = [worker for worker in workers if need.fits(worker.free)]
    return list(zip(tasks, fitting, strict=False))


def place_gang(
    step: StepRun,
    allowed: list[Worker],
    contention: dict[WorkerId, float],
) -> list[tuple[TaskRun, Worker]]:
    """Choose workers for all members of a gang or none.

    A rack-sensitive gang is placed in one rack if it fits in one.
    """
    groups: list[list[Worker]] = [allowed]
    if step.step.rack_sensitive:
        groups = [*_by_rack(allowed), allowed]
    for group in groups:
        free = _FreeCapacity(
            step=step, workers=group, contention=contention, tasks_on=Counter()
        )
        chosen: list[tuple[TaskRun, Worker]] = []
        for task in step.tasks:
            worker = free.best(group, task)
            if worker is None:
                break
            free.subtract_task(worker)
            chosen.append((task, worker))
        if len(chosen) == len(step.tasks):
            return chosen
    return []


def _by_rack(workers: Iterable[Worker]) -> list[list[Worker]]:
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return sorted(racks.values(), key=len)


class _Cost(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Cost of a worker for a task; the first differing field decides."""

    far: bool
    disturbed: bool
    contention: float
    devices_left: int
    imbalance: float


class _FreeCapacity:
    """Free capacity of some workers while one step's tasks are placed."""

    def __init__(
        self,
        *,
        step: StepRun,
        workers: list[Worker],
        contention: dict[WorkerId, float],
        tasks_on: Counter[WorkerId],
    ) -> None:
        self._contention = contention
        self._step = step.step
        self._need = charge(step.step)
        self._free = {worker.entry.id: worker.free for worker in workers}
        self._costs: dict[WorkerId, _Cost] = {}
        self._count = Counter(tasks_on)

    def best(self, workers: list[Worker], task: TaskRun) -> Worker | None:
        """Return the best worker for a task, if it fits anywhere."""
        fitting = [worker for worker in workers if self._fits(worker)]
        if not fitting:
            return None
        return min(
            fitting,
            key=lambda worker: (
                worker.entry.id in task.failed_on,
                self._cost(worker),
            ),
        )

    def subtract_task(self, worker: Worker) -> None:
        """Subtract one task from a worker's free capacity."""
        name = worker.entry.id
        left = self._free[name].minus(self._need)
        probed = worker.probing and tells_health(self._step)
        self._free[name] = NO_RESOURCES if probed else left
        self._costs.pop(name, None)
        self._count[name] += 1

    def _fits(self, worker: Worker) -> bool:
        limit = self._step.max_per_worker
        if limit and self._count[worker.entry.id] >= limit:
            return False
        return self._need.fits(self._free[worker.entry.id])

    def _cost(self, worker: Worker) -> _Cost:
        """Return a worker's cost, cached until a task is placed on it."""
        known = self._costs.get(worker.entry.id)
        if known is None:
            known = self._compute_cost(worker)
            self._costs[worker.entry.id] = known
        return known

    def _compute_cost(self, worker: Worker) -> _Cost:
        step = self._step
        far = bool(step.data_rack) and step.data_rack != worker.entry.rack
        disturbed = step.serving_target_ms > 0 and any(
            run_charge.best_effort for run_charge in worker.charges.values()
        )
        return _Cost(
            far,
            disturbed,
            self._contention.get(worker.entry.id, 0.0),
            self._devices_left(worker),
            self._imbalance(worker) * worker.slowness,
        )

    def _devices_left(self, worker: Worker) -> int:
        """Return how many accelerators would stay free; fewer is better.

        Gangs need whole workers, so single accelerators are taken where
        others are already in use.
        """
        if not self._need.accelerators:
            return 0
        free = self._free[worker.entry.id]
        return free.accelerators - self._need.accelerators

    def _imbalance(self, worker: Worker) -> float:
        """Return 1 plus the imbalance of the capacity that would stay free.

        The imbalance is the largest free share of a resource less the
        smallest one.
        """
        whole = worker.entry.capacity
        free = self._free[worker.entry.id]
        shares = [
            (free.milli_cores - self._need.milli_cores)
            / max(whole.milli_cores, 1),
            (free.memory_mib - self._need.memory_mib)
            / max(whole.memory_mib, 1),
        ]
        if whole.accelerators:
            shares.append(
                (free.accelerators - self._need.accelerators)
                / whole.accelerators,
            )
        return 1.0 + max(shares) - min(shares)
