"""State of one scheduling round: assignments, kept capacity, requests."""

from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.account_caps import CapRound
from cyclamentrack.jobs.capacity_index import (
    BUSY_SHARE,
    CapacityIndex,
    total,
)
from cyclamentrack.jobs.crashes import is_suspected
from cyclamentrack.jobs.fleet import Worker, charge
from cyclamentrack.jobs.gangs import Forecast, StartPlan, needs_plan
from cyclamentrack.jobs.headroom import Headroom
from cyclamentrack.jobs.layout import (
    fits_start,
    tasks_per_worker,
    with_free_capacity,
)
from cyclamentrack.jobs.model import JobId, Step, StepName, TaskName
from cyclamentrack.jobs.order import ReadyStep
from cyclamentrack.jobs.permits import StepPermits
from cyclamentrack.jobs.registry import JobRegistry, JobRun, StepRun, TaskRun
from cyclamentrack.jobs.suitability import Suitability
from cyclamentrack.resources import Resources

# Capacity is kept on at most one in this many workers at a time. The first
# plan of a round may exceed this limit.
_WORKERS_PER_KEPT = 3
# At most one in this many workers runs an isolated task at a time.
_WORKERS_PER_ISOLATED = 3
# Steps per round for which plans consider the expected ends on all workers.
_MAX_WIDE_PLANS = 16
# Permit requests that a round makes beyond one for each free route, since
# some calls may not use some routes.
_EXTRA_REQUESTS = 4
# Capacity is only kept for starts that are expected within this time.
_PLAN_HORIZON_S = 6.0
# A job counts as lost if nothing of it runs for 3 s although the pool has
# free capacity, and permits take up to half a second. So after _NEGLECT_S of
# waiting, a job may also use capacity that is kept for a start later than
# _IDLE_LIMIT_S after the job began to wait.
_NEGLECT_S = 1.2
_IDLE_LIMIT_S = 2.4


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """A task, the worker chosen for it and the permit, empty if none."""

    step: StepRun
    task: TaskRun
    worker: Worker
    permit: str


class PermitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for permits to run a step's tasks on some of the workers.

    A request that is ``ahead`` renews permits before there is free capacity.
    A gang's workers are requested ``together``.
    """

    entry: JobRun
    step: StepRun
    workers: list[Worker]
    ahead: bool = False

    @property
    def together(self) -> bool:
        """Whether the step needs valid permits for all workers at once."""
        return self.step.step.gang


class Demand:
    """Free capacity that this round's permit requests have not yet claimed.

    A step for which no capacity would be left requests no permits: they
    would expire before they could be used, and the service's time is scarce.
    """

    def __init__(self, free: Resources) -> None:
        """Begin with the pool's free capacity."""
        self._cores = free.milli_cores
        self._devices = free.accelerators

    def admit(self, step: StepRun, count: int) -> bool:
        """Claim capacity for a step's tasks; return false if none is left."""
        need = charge(step.step)
        if need.milli_cores and self._cores <= 0:
            return False
        if need.accelerators and self._devices <= 0:
            return False
        self._cores -= need.milli_cores * count
        self._devices -= need.accelerators * count
        return True


class Round(msgspec.Struct, kw_only=True):
    """Result of one round: the assignments and the permit requests."""

    assignments: list[Assignment] = msgspec.field(default_factory=list)
    permit_requests: list[PermitRequest] = msgspec.field(default_factory=list)


class RoundState:
    """Working state of one round.

    Tracks which capacity was assigned, which is kept for planned starts, and
    which permits are requested.
    """

    def __init__(
        self,
        *,
        now: float,
        registry: JobRegistry,
        usable: list[Worker],
        quarantined: list[Worker],
        urgent_queues: bool,
        max_starts: int,
        free_permit_routes: int,
        caps: CapRound | None = None,
    ) -> None:
        """Begin with no capacity kept and nothing assigned."""
        self._max_requests = free_permit_routes + _EXTRA_REQUESTS
        self.starts_left = max_starts
        whole = total(one.entry.capacity for one in usable)
        self.capacity_index = CapacityIndex(usable)
        self.headroom = Headroom(
            total_milli=whole.milli_cores,
            free_milli=self.capacity_index.total_free.milli_cores,
            urgent_queues=urgent_queues,
        )
        self.now = now
        self._caps = caps
        self.usable = usable
        self.quarantined = quarantined
        self.demand = Demand(self.capacity_index.total_free)
        self.outcome = Round()
        self.assigned: set[TaskName] = set()
        self.renewals_ahead = 0
        self.wide_plans = 0
        self.contention: dict[WorkerId, float] = {}
        self.kept_until: dict[WorkerId, float] = {}
        self._max_kept_workers = max(len(usable) // _WORKERS_PER_KEPT, 1)
        self._max_isolated = max(len(usable) // _WORKERS_PER_ISOLATED, 1)
        self._isolated = sum(one.isolated_run is not None for one in usable)
        self._busy = _is_busy([*usable, *quarantined])
        self._overfull = {
            one.entry.id
            for one in (*usable, *quarantined)
            if not one.used.fits(one.entry.capacity)
        }
        self._capacities = {
            (one.milli_cores, one.memory_mib, one.accelerators): one
            for one in (worker.entry.capacity for worker in usable)
        }
        self._eligible: tuple[StepRun, int, list[Worker]] | None = None
        self._suitability: tuple[StepName, int, Suitability] | None = None
        self._assigned_on: defaultdict[StepName, Counter[WorkerId]] = (
            defaultdict(Counter)
        )
        self._registry = registry
        self._forecast: Forecast | None = None
        self._placed_jobs: dict[JobId, bool] = {}

    @property
    def may_request(self) -> bool:
        """Whether one more step could get a permit route this round."""
        return len(self.outcome.permit_requests) < self._max_requests

    @property
    def forecast(self) -> Forecast:
        """When runs will end; created once a round, on first use."""
        if self._forecast is None:
            self._forecast = Forecast(registry=self._registry, now=self.now)
        return self._forecast

    def add_contention(self, worker_sets: Iterable[set[WorkerId]]) -> None:
        """Record how much large steps depend on each worker.

        ``worker_sets`` holds, for each such step, the workers that may run
        it. A step adds 1 in total, so it adds more to each of few workers.
        """
        for permitted in worker_sets:
            for worker in permitted:
                share = 1.0 / len(permitted)
                self.contention[worker] = self.contention.get(worker, 0) + share

    def keep_capacity(self, plan: StartPlan) -> bool:
        """Keep capacity for a plan and return whether that was done.

        It is refused for an empty plan, a start beyond the horizon, or if too
        many workers are kept already.
        """
        wanted = len(self.kept_until) + len(plan.starts)
        if not plan.starts or (
            self.kept_until and wanted > self._max_kept_workers
        ):
            return False
        if max(plan.starts.values()) > self.now + _PLAN_HORIZON_S:
            return False
        self.kept_until.update(plan.starts)
        return True

    def available_to(self, step: StepRun, worker: Worker) -> bool:
        """Return whether a step may use a worker's free capacity.

        Capacity that is kept for a planned start is only open to tasks that
        are expected to end before that start.
        """
        until = self.kept_until.get(worker.entry.id)
        if until is None:
            return True
        end = self.now + step.step.estimate_s * worker.slowness
        return not step.step.lasting and end <= until

    def may_start(self, ready: ReadyStep) -> bool:
        """Return whether the account's cap lets some of a step's tasks start.

        What it doesn't let start is noted as waiting for the cap.
        """
        if self._caps is None:
            return True
        free = self.capacity_index.total_free
        return self._caps.admitted(ready, free=free) > 0

    def within_cap(self, ready: ReadyStep) -> int | None:
        """Return how many more of a step's tasks the cap lets start."""
        return self._caps.room_left(ready) if self._caps else None

    def needs_plan(self, step: Step) -> bool:
        """Return whether capacity must be kept for a step's tasks."""
        return needs_plan(step, self._capacities.values())

    def assign(
        self,
        step: StepRun,
        task: TaskRun,
        worker: Worker,
        permit: str,
        *,
        isolated: bool = False,
    ) -> None:
        """Assign a task to a worker and charge the worker for it."""
        self.starts_left -= 1
        if self._caps is not None:
            account = self._registry.jobs[step.name.job].job.account
            self._caps.assign(account, step.step)
        self.headroom.subtract(charge(step.step).milli_cores)
        worker.charge_run(
            task=task.name, run=task.run + 1, step=step.step, isolated=isolated
        )
        self._isolated += isolated
        self.capacity_index.update(worker)
        self.assigned.add(task.name)
        self._assigned_on[step.name][worker.entry.id] += 1
        self.outcome.assignments.append(
            Assignment(step=step, task=task, worker=worker, permit=permit),
        )

    def must_isolate(self, step: StepRun, task: TaskRun) -> bool:
        """Return whether a task must have a worker of its own at its start.

        A gang's members start together.
        """
        return not step.step.gang and is_suspected(task)

    def may_isolate(self, step: StepRun) -> int:
        """Return how many more workers may get an isolated run of a step now.

        A neglected job must start, however many workers have such runs.
        """
        if self.neglected(step):
            return len(self.usable)
        return max(self._max_isolated - self._isolated, 0)

    def placeable_tasks(self, ready: ReadyStep) -> list[TaskRun]:
        """Return the waiting tasks that may be placed in this round.

        Queues other than urgent ones must leave headroom for these. Lasting
        tasks and the first task of a neglected job are exempt.
        """
        tasks = self._left_within_cap(ready)
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

    def suitable(
        self, step: StepRun, workers: Iterable[Worker], known: StepPermits
    ) -> list[Worker]:
        """Return those of some workers that may run one more task of a step."""
        version = self.capacity_index.version
        if self._suitability is None or self._suitability[:2] != (
            step.name,
            version,
        ):
            judged = Suitability(
                entry=self._registry.jobs[step.name.job],
                step=step,
                known=known,
                tasks_on=self.tasks_on(step),
                overfull=self._overfull,
                now=self.now,
            )
            self._suitability = (step.name, version, judged)
        return self._suitability[-1].among(workers)

    def tasks_on(self, step: StepRun) -> Counter[WorkerId]:
        """Count a step's tasks by worker, with those of this round.

        It is empty for a step without a limit per worker.
        """
        if not step.step.max_per_worker:
            return Counter()
        return tasks_per_worker(step) + self._assigned_on[step.name]

    def eligible(self, step: StepRun, known: StepPermits) -> list[Worker]:
        """Return the workers with free capacity that a step may use.

        Capacity that is kept for others and workers whose permit was refused
        are left out. A job that has waited with nothing running may also use
        capacity that is kept for too long, and quarantined workers, unless
        the pool is busy.
        """
        if self._eligible is not None:
            last, version, workers = self._eligible
            if last is step and version == self.capacity_index.version:
                return workers
        found = self._find_eligible(step, known)
        self._eligible = (step, self.capacity_index.version, found)
        return found

    def assignable(self, step: StepRun) -> list[Worker]:
        """Return the workers whose capacity a step may get at some time."""
        if self.neglected(step):
            return [*self.usable, *self.quarantined]
        return self.usable

    def eligible_among(
        self, step: StepRun, names: Iterable[WorkerId], known: StepPermits
    ) -> list[Worker]:
        """Return the named workers that ``eligible`` would return."""
        among = set(names)
        fitting = self.capacity_index.with_free_capacity_among(step.step, among)
        found = [
            worker
            for worker in self.suitable(step, fitting, known)
            if self.available_to(step, worker)
        ]
        if not self.neglected(step) or fits_start(step, found):
            return found
        return [
            worker
            for worker in self.eligible(step, known)
            if worker.entry.id in among
        ]

    def plannable(
        self, step: StepRun, known: StepPermits, *, keeps: bool
    ) -> list[Worker]:
        """Return the workers that a step's plan may include.

        A plan only includes workers that have free capacity now if no
        capacity can be kept for it, or after a round's limit of wider plans.
        Quarantined workers are included where a neglected step may use them.
        """
        if self.neglected(step):
            if self._fits_usable(step, known):
                return self.usable
            return self.assignable(step)
        if (
            keeps
            and self.wide_plans < _MAX_WIDE_PLANS
            and len(self.kept_until) < self._max_kept_workers
        ):
            self.wide_plans += 1
            return self.usable
        return self.capacity_index.with_free_capacity(step.step)

    def neglected(self, step: StepRun) -> bool:
        """Return whether a job has waited too long with nothing running.

        A job isn't neglected while the pool is busy. Each lasting task counts
        by itself, however busy the pool is.
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
        return not self._has_placed(entry)

    def _has_placed(self, entry: JobRun) -> bool:
        """Return whether a task of a job was placed before this round."""
        found = self._placed_jobs.get(entry.job.id)
        if found is None:
            found = entry.any_placed
            self._placed_jobs[entry.job.id] = found
        return found

    def _left_within_cap(self, ready: ReadyStep) -> list[TaskRun]:
        room = self.within_cap(ready)
        if room is None:
            return ready.waiting
        left = [
            task for task in ready.waiting if task.name not in self.assigned
        ]
        return left[:room]

    def _find_eligible(self, step: StepRun, known: StepPermits) -> list[Worker]:
        fitting = self.suitable(
            step, self.capacity_index.with_free_capacity(step.step), known
        )
        found = [
            worker for worker in fitting if self.available_to(step, worker)
        ]
        if not self.neglected(step) or fits_start(step, found):
            return found
        found.extend(self._kept_too_long(step, fitting))
        if not fits_start(step, found):
            quarantined = with_free_capacity(step.step, self.quarantined)
            found.extend(self.suitable(step, quarantined, known))
        return found

    def _fits_usable(self, step: StepRun, known: StepPermits) -> bool:
        """Return whether a step fits on workers that aren't quarantined."""
        usable = [
            worker
            for worker in self.eligible(step, known)
            if self.now >= worker.quarantined_until
        ]
        return fits_start(step, usable)

    def _kept_too_long(
        self, step: StepRun, fitting: list[Worker]
    ) -> list[Worker]:
        """Return workers whose capacity is kept from a step for too long."""
        idle_since = self._registry.jobs[step.name.job].idle_since
        bound = max(idle_since, step.opened_at) + _IDLE_LIMIT_S
        return [
            worker
            for worker in fitting
            if not self.available_to(step, worker)
            and self.kept_until[worker.entry.id] > bound
        ]


def _is_busy(workers: list[Worker]) -> bool:
    """Return whether much of the processors, memory or accelerators is used."""
    whole = total(one.entry.capacity for one in workers)
    used = total(one.used for one in workers)
    return used.dominant_share(whole) >= BUSY_SHARE
