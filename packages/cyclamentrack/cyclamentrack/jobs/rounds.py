"""What one round of decisions knows, has given away, keeps, and asks for."""

from collections.abc import Iterable

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.capacity_index import CapacityIndex, total
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.gangs import Forecast, GangPlan, needs_plan
from cyclamentrack.jobs.headroom import Headroom
from cyclamentrack.jobs.layout import at_limit, holds_start, with_room
from cyclamentrack.jobs.model import Step, TaskName
from cyclamentrack.jobs.order import Ready
from cyclamentrack.jobs.permits import StepPermits
from cyclamentrack.jobs.registry import JobRegistry, JobRun, StepRun, TaskRun
from cyclamentrack.resources import Resources

# Of the workers one in so many has room kept at a time, beyond one plan's.
_KEPT_SHARE = 3
# Steps for which a round looks at the ends that all workers expect.
_PLANS = 16
# Steps that a round wishes permits for beyond one for each free lane, since
# some calls are kept off some lanes.
_SPARE_WISHES = 4
# Room is kept for starts that are expected within this time, seconds.
_HORIZON_S = 6.0
# A job that has nothing running beside free room for 3 s counts as lost, and
# permits take up to half a second. So room that is kept beyond that time is
# open to it, after it has waited for a while.
_NEGLECT_S = 1.2
_NOTHING_RUNS_S = 2.4
# A pool of which so much is in use, in some dimension, is busy.
_BUSY_SHARE = 0.55


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """One task and the worker that it was given to."""

    step: StepRun
    task: TaskRun
    worker: Worker
    permit: str


class PermitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A step that can't be placed without permits on some of these."""

    entry: JobRun
    step: StepRun
    workers: list[Worker]
    ahead: bool = False


class Demand:
    """What this round's wishes would take of the room that is free.

    Steps for which no room would be left don't wish: their permits would
    end before they could be used, and the service's time is scarce.
    """

    def __init__(self, free: Resources) -> None:
        """Begin with the room that is free."""
        self._cores = free.milli_cores
        self._devices = free.accelerators

    def admit(self, step: StepRun, count: int) -> bool:
        """Count a step's wish, unless nothing is left for it."""
        need = charge(step.step)
        if need.milli_cores and self._cores <= 0:
            return False
        if need.accelerators and self._devices <= 0:
            return False
        self._cores -= need.milli_cores * count
        self._devices -= need.accelerators * count
        return True


class Round(msgspec.Struct, kw_only=True):
    """What one round decided."""

    assignments: list[Assignment] = msgspec.field(default_factory=list)
    permit_requests: list[PermitRequest] = msgspec.field(default_factory=list)


class RoundState:
    """What one round has given away, keeps, and asks for."""

    def __init__(
        self,
        *,
        now: float,
        registry: JobRegistry,
        usable: list[Worker],
        suspects: list[Worker],
        urgent_queues: bool,
        most_starts: int,
        free_permit_routes: int,
    ) -> None:
        """Begin with all room open and nothing given."""
        self._most_wishes = free_permit_routes + _SPARE_WISHES
        self.starts_left = most_starts
        whole = total(one.entry.capacity for one in usable)
        self.capacity_index = CapacityIndex(usable)
        self.headroom = Headroom(
            whole_milli=whole.milli_cores,
            free_milli=self.capacity_index.free.milli_cores,
            urgent_queues=urgent_queues,
        )
        self.now = now
        self.usable = usable
        self.suspects = suspects
        self.demand = Demand(self.capacity_index.free)
        self.outcome = Round()
        self.given: set[TaskName] = set()
        self.prepared = 0
        self.planned = 0
        self.contested: dict[WorkerId, float] = {}
        self.kept: dict[WorkerId, float] = {}
        self._most_kept = max(len(usable) // _KEPT_SHARE, 1)
        self._busy = _is_busy([*usable, *suspects])
        self._capacities = {
            (one.milli_cores, one.memory_mib, one.accelerators): one
            for one in (worker.entry.capacity for worker in usable)
        }
        self._eligible: tuple[StepRun, int, list[Worker]] | None = None
        self._registry = registry
        self._forecast: Forecast | None = None

    @property
    def may_wish(self) -> bool:
        """Whether a call for one more step could get a lane this round."""
        return len(self.outcome.permit_requests) < self._most_wishes

    @property
    def forecast(self) -> Forecast:
        """When runs will end; worked out once a round, if it is needed."""
        if self._forecast is None:
            self._forecast = Forecast(registry=self._registry, now=self.now)
        return self._forecast

    def contest(self, claims: Iterable[set[WorkerId]]) -> None:
        """Note how much large steps depend on each worker.

        One that may run on few workers depends on each of them all the more.
        """
        for good in claims:
            for worker in good:
                share = 1.0 / len(good)
                self.contested[worker] = self.contested.get(worker, 0) + share

    def keep(self, plan: GangPlan) -> bool:
        """Keep room for a plan, unless too much is kept already."""
        wanted = len(self.kept) + len(plan.starts)
        if not plan.starts or (self.kept and wanted > self._most_kept):
            return False
        if max(plan.starts.values()) > self.now + _HORIZON_S:
            return False
        self.kept.update(plan.starts)
        return True

    def open_to(self, step: StepRun, worker: Worker) -> bool:
        """Tell whether a worker's room may be used by a step.

        Room that is kept for a gang takes only what ends before its start.
        """
        until = self.kept.get(worker.entry.id)
        if until is None:
            return True
        end = self.now + step.step.estimate_s * worker.slowness
        return not step.step.lasting and end <= until

    def needs_plan(self, step: Step) -> bool:
        """Tell whether room must be kept for a step's tasks."""
        return needs_plan(step, self._capacities.values())

    def give(
        self, step: StepRun, task: TaskRun, worker: Worker, permit: str
    ) -> None:
        """Give a task to a worker, and charge that for it."""
        self.starts_left -= 1
        self.headroom.take(charge(step.step).milli_cores)
        worker.take(task=task.name, run=task.run + 1, step=step.step)
        self.capacity_index.shrink(worker)
        self.given.add(task.name)
        self.outcome.assignments.append(
            Assignment(step=step, task=task, worker=worker, permit=permit),
        )

    def tasks_in_turn(self, ready: Ready) -> list[TaskRun]:
        """Return the tasks that may be placed beside urgent queues' room."""
        tasks = ready.waiting
        step = ready.step
        if step.step.lasting:
            return tasks
        if self.neglected(step):
            return tasks[:1]
        if ready.entry.queue.priority == 0:
            return tasks
        count = self.headroom.allowed(
            wanted=len(tasks),
            need_milli=charge(step.step).milli_cores,
            latest_start=ready.latest_start,
            now=self.now,
        )
        return tasks[:count]

    def eligible(self, step: StepRun, known: StepPermits) -> list[Worker]:
        """Return the workers that have room which is kept for nobody else.

        Workers whose permit was refused are left out. A job that has waited
        with nothing running may use room that is kept for too long, and
        workers on probation, unless the pool is busy.
        """
        if self._eligible is not None:
            last, version, workers = self._eligible
            if last is step and version == self.capacity_index.version:
                return workers
        found = self._find_eligible(step, known)
        self._eligible = (step, self.capacity_index.version, found)
        return found

    def within_reach(self, step: StepRun) -> list[Worker]:
        """Return the workers that a step may be given in time."""
        if self.neglected(step):
            return [*self.usable, *self.suspects]
        return self.usable

    def eligible_among(
        self, step: StepRun, names: Iterable[WorkerId], known: StepPermits
    ) -> list[Worker]:
        """Return those of some workers that ``eligible`` would return."""
        among = set(names)
        roomy = self.capacity_index.with_room_among(step.step, among)
        found = [
            worker
            for worker in self._allowed(step, roomy, known)
            if self.open_to(step, worker)
        ]
        if not self.neglected(step) or holds_start(step, found):
            return found
        return [
            worker
            for worker in self.eligible(step, known)
            if worker.entry.id in among
        ]

    def plannable(self, step: StepRun, *, keeps: bool) -> list[Worker]:
        """Return the workers that a step may wait for.

        A plan for which no room can be kept looks only at workers that have
        room now, and so do all beyond a round's share of plans.
        """
        if self.neglected(step):
            return self.within_reach(step)
        if keeps and self.planned < _PLANS and len(self.kept) < self._most_kept:
            self.planned += 1
            return self.usable
        return self.capacity_index.with_room(step.step)

    def neglected(self, step: StepRun) -> bool:
        """Tell whether a job has nothing running though the pool has room.

        Each task that lasts counts by itself, however busy the pool is.
        """
        if step.step.lasting:
            since = min(
                (task.idle_since for task in step.idle), default=self.now
            )
            return self.now - max(since, step.opened_at) >= _NEGLECT_S
        entry = self._registry.jobs[step.name.job]
        since = max(entry.idle_since, step.opened_at)
        if self._busy or self.now - since < _NEGLECT_S:
            return False
        return not entry.placed

    def _find_eligible(self, step: StepRun, known: StepPermits) -> list[Worker]:
        roomy = self._allowed(
            step, self.capacity_index.with_room(step.step), known
        )
        found = [worker for worker in roomy if self.open_to(step, worker)]
        if not self.neglected(step) or holds_start(step, found):
            return found
        found.extend(self._kept_long(step, roomy))
        if not holds_start(step, found):
            suspects = with_room(step.step, self.suspects)
            found.extend(self._allowed(step, suspects, known))
        return found

    def _kept_long(self, step: StepRun, roomy: list[Worker]) -> list[Worker]:
        """Return workers whose room is kept from a step for too long."""
        idle_since = self._registry.jobs[step.name.job].idle_since
        bound = max(idle_since, step.opened_at) + _NOTHING_RUNS_S
        return [
            worker
            for worker in roomy
            if not self.open_to(step, worker)
            and self.kept[worker.entry.id] > bound
        ]

    def _allowed(
        self, step: StepRun, workers: list[Worker], known: StepPermits
    ) -> list[Worker]:
        """Leave out workers that refused a step or hold enough of it."""
        full = at_limit(step)
        return [
            worker
            for worker in workers
            if worker.entry.id not in full
            and not known.barred(
                worker.entry.id, now=self.now, incarnation=worker.incarnation
            )
        ]


def _is_busy(workers: list[Worker]) -> bool:
    """Tell whether most processors or most accelerators are in use."""
    whole = total(one.entry.capacity for one in workers)
    used = total(one.used for one in workers)
    return used.dominant_share(whole) >= _BUSY_SHARE
