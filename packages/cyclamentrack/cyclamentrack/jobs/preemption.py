"""Preemption: runs that can wait are stopped for urgent work that can't.

Urgent jobs are short and come in bursts. Headroom covers bursts of two to
three times the usual rate; this is made for bursts of six times the usual for
some seconds, in a pool that is otherwise full of checkpointing tasks of
several seconds whose jobs have seconds to spare. Without such a shortage
nothing is stopped, and nothing is computed.

Only queues of priority 0 preempt, and only others are preempted, so two queues
never preempt each other in turn.
"""

import operator
from collections.abc import Callable, Iterable

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.model import TaskName
from cyclamentrack.jobs.order import (
    Prospect,
    ReadyStep,
    latest_start,
    prospect,
)
from cyclamentrack.jobs.registry import (
    JobRegistry,
    JobRun,
    Phase,
    Placement,
    StepRun,
    TaskRun,
)
from cyclamentrack.resources import NO_RESOURCES, Resources
from cyclamentrack.victims import stops_to_fit

# Tasks store a checkpoint each second of work, and the owner learns of it with
# the next poll, about a second later. A run without one for longer would lose
# more than an urgent task takes.
_MAX_LOSS_S = 2.0
# A resumed run repeats about this much of its work.
_RESUME_S = 0.1
# A preempted job's latest start must be ahead by this much: a burst lasts 4 s,
# and what was stopped for it is placed again in the second after it.
_MARGIN_S = 5.0
_MAX_PREEMPTIONS = 2
# A task that has been preempted isn't preempted again for about the time that
# it needs to end.
_PAUSE_S = 5.0
# Preempted capacity is left to urgent steps for this long after the stop
# should have taken effect: a permit call and two rounds.
_RESERVED_S = 0.3
# Bounds on the cost of one round.
_MAX_STEPS = 16
_MAX_STOPS = 48


class Preemptible(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """A run that may be stopped, and the work that it would lose."""

    step: StepRun
    task: TaskRun
    placement: Placement
    loss_s: float

    @property
    def need(self) -> Resources:
        """What a worker gets back when the run has ended."""
        return charge(self.step.step)

    @property
    def cost(self) -> float:
        """The work that is repeated, in core-milliseconds."""
        return (self.loss_s + _RESUME_S) * self.need.milli_cores


class Shortage(msgspec.Struct, frozen=True, kw_only=True, eq=False):
    """Urgent tasks that a round couldn't place, and the workers they may use.

    Without permits there are no workers yet.
    """

    step: StepRun
    count: int
    workers: Callable[[], list[Worker]]


def may_preempt(ready: ReadyStep, *, now: float, stop_s: float) -> bool:
    """Return whether other runs may be stopped for a step's tasks.

    The job must still be worth something once the runs have been stopped.
    """
    step = ready.step.step
    entry = ready.entry
    if entry.queue.priority > 0 or not entry.within_rate:
        return False
    return not (step.gang or step.lasting) and ready.worthwhile(now + stop_s)


def _always() -> bool:
    return True


class Preemption:
    """Chooses the runs to stop, and reserves their capacity."""

    def __init__(
        self,
        *,
        registry: JobRegistry,
        stop_s: float = 0.9,
        recording: Callable[[], bool] = _always,
    ) -> None:
        """Expect that stopping a run takes up to ``stop_s``.

        Nothing is stopped while ends and starts aren't ``recording``.
        """
        self.stop_s = stop_s
        self._registry = registry
        self._recording = recording
        self.reserved: dict[WorkerId, float] = {}
        self._stops: dict[tuple[TaskName, int], float] = {}
        self._found_at = float('-inf')
        self._found: dict[WorkerId, list[Preemptible]] = {}

    def is_reserved(self, worker: WorkerId, step: StepRun, now: float) -> bool:
        """Return whether a worker's capacity is left to other, urgent steps."""
        until = self.reserved.get(worker)
        if until is None or now > until:
            return False
        entry = self._registry.jobs[step.name.job]
        if entry.queue.priority > 0:
            return True
        latest = latest_start(entry, step, count=1)
        worth = prospect(entry, latest=latest, now=now)
        return worth is Prospect.WORTHLESS

    def stoppable_milli(self, now: float) -> int:
        """Return the processors of all runs that may be stopped."""
        return sum(
            one.need.milli_cores
            for found in self.candidates(now).values()
            for one in found
        )

    def candidates(self, now: float) -> dict[WorkerId, list[Preemptible]]:
        """Return the runs that may be stopped by worker, least loss first."""
        if self._found_at != now:
            self._found_at = now
            self._found = self._find(now) if self._recording() else {}
        return self._found

    def choose(
        self, shortages: list[Shortage], *, now: float
    ) -> list[Preemptible]:
        """Return the runs to stop, and reserve their capacity.

        Urgent tasks that will fit within about the time that a stop takes
        don't need any. Reservations end with the shortage.
        """
        if not shortages:
            self.reserved.clear()
            return []
        self._stops = {
            run: until for run, until in self._stops.items() if now <= until
        }
        candidates = self.candidates(now)
        if not candidates:
            return []
        plan = _Plan(candidates=candidates, free_soon=self._free_soon(now))
        for shortage in shortages[:_MAX_STEPS]:
            plan.serve(shortage)
        until = now + self.stop_s + _RESERVED_S
        for chosen in plan.stops:
            chosen.task.preempted += 1
            chosen.task.preempted_at = now
            placement = chosen.placement
            self._stops[placement.task, placement.run] = until
            self.reserved[placement.worker] = until
        return plan.stops

    def _find(self, now: float) -> dict[WorkerId, list[Preemptible]]:
        found: dict[WorkerId, list[Preemptible]] = {}
        for step in self._registry.open_steps.values():
            entry = self._registry.jobs[step.name.job]
            if entry.queue.priority == 0 or not _may_stop(step):
                continue
            for one in self._of_step(entry, step, now):
                found.setdefault(one.placement.worker, []).append(one)
        for several in found.values():
            several.sort(key=_least_loss)
        return found

    def _of_step(
        self, entry: JobRun, step: StepRun, now: float
    ) -> list[Preemptible]:
        """Return the runs of a step that its job can spare."""
        found = [
            Preemptible(
                step=step, task=task, placement=placement, loss_s=loss_s
            )
            for task in step.tasks[step.first_open :]
            if (placement := task.placement) is not None
            and not task.done
            and _is_settled(task, placement, now)
            and (loss_s := _loss_s(placement, now)) <= _MAX_LOSS_S
        ]
        if not found:
            return []
        waiting = len(step.idle) + len(found)
        latest = latest_start(entry, step, count=waiting)
        ready_at = now + self.stop_s + _MAX_LOSS_S + _RESUME_S
        return found if latest - ready_at >= _MARGIN_S else []

    def _free_soon(self, now: float) -> Callable[[Worker], Resources]:
        def free_soon(worker: Worker) -> Resources:
            free = worker.free
            for run, run_charge in worker.charges.items():
                if self._ends_soon(run, worker, now):
                    free = free.plus(run_charge.need)
            return free

        return free_soon

    def _ends_soon(
        self, run: tuple[TaskName, int], worker: Worker, now: float
    ) -> bool:
        """Return whether a run should end within about the time of a stop.

        A run that is late for its estimate by more than that tells nothing,
        and neither does one whose stop isn't answered in time.
        """
        name, number = run
        task = self._registry.task(name)
        placement = task.placement if task else None
        step = self._registry.step_of(name)
        if placement is None or step is None or placement.run != number:
            return False
        if placement.stopping:
            return run in self._stops or not task.preempted
        began = placement.confirmed_at or placement.since
        left_s = began + step.task_s * worker.slowness - now
        return not step.step.lasting and abs(left_s) <= self.stop_s


class _Plan:
    """What is stopped in one round, and what will be free then."""

    def __init__(
        self,
        *,
        candidates: dict[WorkerId, list[Preemptible]],
        free_soon: Callable[[Worker], Resources],
    ) -> None:
        self.stops: list[Preemptible] = []
        self._candidates = {
            name: list(found) for name, found in candidates.items()
        }
        self._free_soon = free_soon
        self._free: dict[WorkerId, Resources] = {}

    def serve(self, shortage: Shortage) -> None:
        """Cover an urgent step's tasks by what will be free, then by stops."""
        need = charge(shortage.step.step)
        left = shortage.count
        workers = shortage.workers()
        for worker in workers:
            if not left:
                return
            left -= self._take(worker, need, left)
        if not left or len(self.stops) >= _MAX_STOPS:
            return
        offers = self._offers(workers, need, left)
        for _, worker, victims in offers:
            self._stop(worker, victims)
            left -= self._take(worker, need, left)
            if not left or len(self.stops) >= _MAX_STOPS:
                return

    def _offers(
        self, workers: Iterable[Worker], need: Resources, left: int
    ) -> list[tuple[float, Worker, list[Preemptible]]]:
        """Return what could be stopped on each worker, least loss first."""
        offers = []
        for worker in workers:
            victims = self._victims(worker, need)
            if not victims:
                continue
            free = self._of(worker)
            for one in victims:
                free = free.plus(one.need)
            fitting = min(need.times_in(free), left)
            price = sum(one.cost for one in victims) / max(fitting, 1)
            offers.append((price, worker, victims))
        return sorted(offers, key=operator.itemgetter(0))

    def _victims(self, worker: Worker, need: Resources) -> list[Preemptible]:
        """Return one run whose end makes room, or else as few as possible."""
        found = self._candidates.get(worker.entry.id, [])
        free = self._of(worker)
        for one in found:
            if need.fits(free.plus(one.need)):
                return [one]
        return stops_to_fit(
            need,
            free=free,
            candidates=sorted(found, key=lambda one: -one.need.milli_cores),
            need_of=lambda one: one.need,
        )

    def _stop(self, worker: Worker, victims: list[Preemptible]) -> None:
        name = worker.entry.id
        for one in victims:
            self._candidates[name].remove(one)
            self._free[name] = self._of(worker).plus(one.need)
        self.stops.extend(victims)

    def _take(self, worker: Worker, need: Resources, most: int) -> int:
        free = self._of(worker)
        count = min(need.times_in(free), most)
        if count:
            self._free[worker.entry.id] = free.minus(need.times(count))
        return count

    def _of(self, worker: Worker) -> Resources:
        name = worker.entry.id
        if name not in self._free:
            open_worker = not (worker.probing or worker.isolated_run)
            self._free[name] = (
                self._free_soon(worker) if open_worker else NO_RESOURCES
            )
        return self._free[name]


def _least_loss(one: Preemptible) -> tuple[float, int]:
    return one.loss_s, -one.need.milli_cores


def _may_stop(step: StepRun) -> bool:
    kind = step.step
    return kind.checkpointing and not (kind.gang or kind.lasting or kind.fills)


def _is_settled(task: TaskRun, placement: Placement, now: float) -> bool:
    """Return whether a run works and hasn't been preempted too often."""
    if placement.phase is not Phase.RUNNING or placement.stopping:
        return False
    return (
        placement.confirmed_at > 0
        and task.preempted < _MAX_PREEMPTIONS
        and now - task.preempted_at >= _PAUSE_S
    )


def _loss_s(placement: Placement, now: float) -> float:
    """Return how much work a run has done since its last known checkpoint."""
    return now - max(placement.confirmed_at, placement.checkpointed_at)
