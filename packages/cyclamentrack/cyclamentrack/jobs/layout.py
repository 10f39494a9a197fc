"""On which workers the tasks of one step are laid out.

Answers mixed sizes: the worker whose rest stays most balanced, near the data,
away from workers on which the task failed and from those that waiting gangs
depend on; single accelerators are taken where others are in use already.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.model import Step
from cyclamentrack.jobs.registry import StepRun, TaskRun
from cyclamentrack.resources import NO_RESOURCES


def suits(step: Step, worker: Worker) -> bool:
    """Tell whether a worker's labels and runs allow tasks of a step."""
    if step.requires and step.requires not in worker.entry.labels:
        return False
    charges = worker.charges.values()
    if step.fills:
        return not any(holding.serving for holding in charges)
    return True


def with_room(step: Step, workers: list[Worker]) -> list[Worker]:
    """Return the workers that have room for a task of a step."""
    need = charge(step)
    return [
        worker
        for worker in workers
        if suits(step, worker) and need.fits(worker.free)
    ]


def at_limit(step: StepRun) -> set[WorkerId]:
    """Return the workers that have as many tasks of a step as they may."""
    limit = step.step.max_per_worker
    if not limit:
        return set()
    counts = Counter(placement.worker for placement in step.placed)
    return {worker for worker, count in counts.items() if count >= limit}


def holds_start(step: StepRun, workers: list[Worker]) -> bool:
    """Tell whether workers have room for one task, or for a whole gang."""
    spec = step.step
    if not spec.gang:
        return bool(workers)
    limit = spec.max_per_worker or spec.count
    need = charge(spec)
    room = sum(min(need.times_in(one.free), limit) for one in workers)
    return room >= spec.count


def lay_out_each(
    step: StepRun,
    tasks: list[TaskRun],
    allowed: list[Worker],
    contested: dict[WorkerId, float],
) -> list[tuple[TaskRun, Worker]]:
    """Place as many tasks as there is room for, in their order."""
    rooms = _Rooms(step=step, workers=allowed, contested=contested)
    chosen: list[tuple[TaskRun, Worker]] = []
    for task in tasks:
        worker = rooms.best(allowed, avoid=task.failed_on)
        if worker is None:
            break
        rooms.take(worker)
        chosen.append((task, worker))
    return chosen


def lay_out_gang(
    step: StepRun,
    allowed: list[Worker],
    contested: dict[WorkerId, float],
) -> list[tuple[TaskRun, Worker]]:
    """Place all members or none, in one rack if they are sensitive to it."""
    groups: list[list[Worker]] = [allowed]
    if step.step.rack_sensitive:
        groups = [*_by_rack(allowed), allowed]
    for group in groups:
        rooms = _Rooms(step=step, workers=group, contested=contested)
        chosen: list[tuple[TaskRun, Worker]] = []
        for task in step.tasks:
            worker = rooms.best(group, avoid=task.failed_on)
            if worker is None:
                break
            rooms.take(worker)
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
    """Why a worker is worse than another; the first difference decides."""

    far: bool
    disturbed: bool
    contested: float
    devices_left: int
    rest: float


class _Rooms:
    """Rooms of some workers while one step is laid out over them."""

    def __init__(
        self,
        *,
        step: StepRun,
        workers: list[Worker],
        contested: dict[WorkerId, float],
    ) -> None:
        self._contested = contested
        self._step = step.step
        self._need = charge(step.step)
        self._free = {worker.entry.id: worker.free for worker in workers}
        self._costs: dict[WorkerId, _Cost] = {}
        self._count: dict[WorkerId, int] = {}
        for placement in step.placed:
            self._add(placement.worker)

    def best(
        self, workers: list[Worker], *, avoid: set[WorkerId]
    ) -> Worker | None:
        """Return the worker that should take the next task, if any can."""
        fitting = [worker for worker in workers if self._fits(worker)]
        if not fitting:
            return None
        return min(
            fitting,
            key=lambda worker: (worker.entry.id in avoid, self._cost(worker)),
        )

    def take(self, worker: Worker) -> None:
        """Charge one task."""
        name = worker.entry.id
        left = self._free[name].minus(self._need)
        self._free[name] = NO_RESOURCES if worker.probing else left
        self._costs.pop(name, None)
        self._add(name)

    def _add(self, worker: WorkerId) -> None:
        self._count[worker] = self._count.get(worker, 0) + 1

    def _fits(self, worker: Worker) -> bool:
        limit = self._step.max_per_worker
        if limit and self._count.get(worker.entry.id, 0) >= limit:
            return False
        return self._need.fits(self._free[worker.entry.id])

    def _cost(self, worker: Worker) -> _Cost:
        """Return a worker's cost, worked out anew once it took a task."""
        known = self._costs.get(worker.entry.id)
        if known is None:
            known = self._reckon(worker)
            self._costs[worker.entry.id] = known
        return known

    def _reckon(self, worker: Worker) -> _Cost:
        step = self._step
        far = bool(step.data_rack) and step.data_rack != worker.entry.rack
        disturbed = step.serving_target_ms > 0 and any(
            holding.fills for holding in worker.charges.values()
        )
        return _Cost(
            far,
            disturbed,
            self._contested.get(worker.entry.id, 0.0),
            self._devices_left(worker),
            self._rest(worker) * worker.slowness,
        )

    def _devices_left(self, worker: Worker) -> int:
        """Return the accelerators left over; a full worker is best.

        Gangs need whole workers, so single devices are taken where others
        are in use already.
        """
        if not self._need.accelerators:
            return 0
        free = self._free[worker.entry.id]
        return free.accelerators - self._need.accelerators

    def _rest(self, worker: Worker) -> float:
        """Return how uneven and large the worker's rest would be."""
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
