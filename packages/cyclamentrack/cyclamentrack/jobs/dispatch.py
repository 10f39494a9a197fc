"""Which task goes to which worker next.

Order answers the load in which more is ready than fits: urgent queues first,
within a queue the job that is due first. Choice of worker answers mixed
sizes: the worker whose rest stays most balanced, near the data, away from
workers on which the task failed.
"""

from collections.abc import Callable, Iterable, Iterator

import msgspec

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.book import JobBook, JobRun, StepRun, TaskRun
from cyclamentrack.jobs.fleet import Fleet, Worker, charge
from cyclamentrack.jobs.gangs import Forecast, GangPlan, needs_plan
from cyclamentrack.jobs.headroom import Headroom
from cyclamentrack.jobs.model import StepName, TaskName
from cyclamentrack.jobs.order import (
    Turn,
    latest_start,
    prospect_of,
    turn,
)
from cyclamentrack.jobs.permits import PermitBook
from cyclamentrack.resources import NOTHING

# A worker that hasn't answered for so long gets nothing new.
_SILENCE_S = 2.6
_NEVER = float('inf')
# Of the workers one in so many has room kept at a time, beyond one plan's.
_KEPT_SHARE = 3
# Room is kept for starts that are expected within this time, seconds.
_HORIZON_S = 6.0
# A job that has nothing running beside free room for 3 s counts as lost, and
# permits take up to half a second. So room that is kept beyond that time is
# open to it, after it has waited for a while.
_NEGLECT_S = 1.2
_NOTHING_RUNS_S = 2.4
# A pool of which so much is in use, in some dimension, is busy.
_BUSY_SHARE = 0.55
# Steps whose permits are renewed before there is room for them.
_PREPARED = 2
# Permits are renewed so long before a gang's room is expected to be free,
# beyond the time that the decision takes.
_PERMIT_LEAD_S = 0.35


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """One task and the worker that it was given to."""

    step: StepRun
    task: TaskRun
    worker: Worker
    permit: str


class PermitWish(msgspec.Struct, frozen=True, kw_only=True):
    """A step that can't be placed without permits on some of these."""

    entry: JobRun
    step: StepRun
    workers: list[Worker]
    ahead: bool = False


class _Demand:
    """What this round's wishes would take of the room that is free.

    Steps for which no room would be left don't wish: their permits would
    end before they could be used, and the service's time is scarce.
    """

    def __init__(self, usable: list[Worker]) -> None:
        self._cores = sum(worker.free.milli_cores for worker in usable)
        self._devices = sum(worker.free.accelerators for worker in usable)

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
    wishes: list[PermitWish] = msgspec.field(default_factory=list)


class Dispatcher:
    """Decides rounds of placements for one slice."""

    def __init__(
        self,
        *,
        book: JobBook,
        fleet: Fleet,
        permits: PermitBook,
        urgent_queues: Callable[[], bool],
    ) -> None:
        """Decide over the book's open steps and the fleet's rooms."""
        self._urgent_queues = urgent_queues
        self._holding: set[StepName] = set()
        self._book = book
        self._fleet = fleet
        self._permits = permits

    def decide(self, now: float) -> Round:
        """Give ready tasks to workers, and charge these for them."""
        present = [
            worker
            for worker in self._fleet.workers.values()
            if worker.present(now=now, silence_s=_SILENCE_S)
        ]
        usable = [one for one in present if now >= one.suspect_until]
        state = _RoundState(
            now=now,
            usable=usable,
            suspects=[one for one in present if now < one.suspect_until],
            demand=_Demand(usable),
            forecast=Forecast(book=self._book, workers=usable, now=now),
            headroom=_headroom(usable, urgent_queues=self._urgent_queues()),
        )
        ready = self._in_order(now)
        state.contest(self._claims(ready, state))
        self._holding.clear()
        for entry, step in ready:
            self._place_step(entry, step, state)
            if needs_plan(step.step, usable):
                self._plan(entry, step, state)
            else:
                self._wish(entry, step, state)
        return state.outcome

    def _in_order(self, now: float) -> list[tuple[JobRun, StepRun]]:
        ready = [
            (self._book.jobs[step.name.job], step)
            for step in self._book.open_steps.values()
            if step.idle
        ]
        ready.sort(key=lambda pair: self._turn(*pair, now))
        return ready

    def _claims(
        self, ready: list[tuple[JobRun, StepRun]], state: '_RoundState'
    ) -> Iterator[set[WorkerId]]:
        """Return the workers that each large step or gang depends on."""
        for entry, step in ready:
            good = self._permits.of(step.name).good
            if not good or not needs_plan(step.step, state.usable):
                continue
            if prospect_of(entry, step, state.now):
                yield set(good)

    def _turn(
        self, entry: JobRun, step: StepRun, now: float
    ) -> tuple[bool, bool, Turn]:
        """Return a step's turn: what room is kept for is next to urgent work.

        Room that was kept in vain is wasted, so whoever has it keeps it.
        """
        own = turn(entry, step, now)
        return own.after_urgent, step.name not in self._holding, own

    def _place_step(
        self, entry: JobRun, step: StepRun, state: '_RoundState'
    ) -> None:
        eligible = self._eligible(step, state)
        if not eligible:
            return
        permit_of = self._permit_lookup(entry, step, state.now)
        allowed = [
            worker for worker in eligible if permit_of(worker) is not None
        ]
        if step.step.gang:
            chosen = _place_gang(step, allowed, state.contested)
        else:
            tasks = self._tasks_in_turn(entry, step, state)
            chosen = _place_each(step, tasks, allowed, state.contested)
        for task, worker in chosen:
            state.headroom.take(charge(step.step).milli_cores)
            worker.take(task=task.name, run=task.run + 1, step=step.step)
            state.given.add(task.name)
            state.outcome.assignments.append(
                Assignment(
                    step=step,
                    task=task,
                    worker=worker,
                    permit=permit_of(worker) or '',
                ),
            )

    def _tasks_in_turn(
        self, entry: JobRun, step: StepRun, state: '_RoundState'
    ) -> list[TaskRun]:
        """Return the tasks that may be placed beside urgent queues' room."""
        tasks = step.idle
        if self._neglected(step, state):
            return tasks[:1]
        if entry.queue.priority == 0 or step.step.lasting:
            return tasks
        count = state.headroom.allowed(
            wanted=len(tasks),
            need_milli=charge(step.step).milli_cores,
            latest_start=latest_start(entry, step),
            now=state.now,
        )
        return tasks[:count]

    def _eligible(self, step: StepRun, state: '_RoundState') -> list[Worker]:
        """Return the workers that have room which is kept for nobody else.

        A job that has waited with nothing running may use room that is kept
        for too long, and workers on probation, unless the pool is busy.
        """
        roomy = _with_room(step, state.usable)
        found = [worker for worker in roomy if state.open_to(step, worker)]
        if found or not self._neglected(step, state):
            return found
        idle_since = self._book.jobs[step.name.job].idle_since
        bound = max(idle_since, step.opened_at) + _NOTHING_RUNS_S
        kept_long = [
            worker for worker in roomy if state.kept[worker.entry.id] > bound
        ]
        return kept_long or _with_room(step, state.suspects)

    def _within_reach(
        self, step: StepRun, state: '_RoundState'
    ) -> list[Worker]:
        """Return the workers that a step may wait for."""
        if self._neglected(step, state):
            return [*state.usable, *state.suspects]
        return state.usable

    def _neglected(self, step: StepRun, state: '_RoundState') -> bool:
        """Tell whether a job has nothing running though the pool has room."""
        entry = self._book.jobs[step.name.job]
        since = max(entry.idle_since, step.opened_at)
        if state.busy or state.now - since < _NEGLECT_S:
            return False
        return not entry.placed

    def _plan(self, entry: JobRun, step: StepRun, state: '_RoundState') -> None:
        """Keep room for tasks that wait, and renew their permits in time."""
        left = [task for task in step.idle if task.name not in state.given]
        if not left:
            return
        known = self._permits.of(step.name)
        candidates = [
            worker
            for worker in self._within_reach(step, state)
            if worker.entry.id not in known.bad
            and (not known.good or worker.entry.id in known.good)
            and worker.entry.id not in state.kept
            and _suits(step, worker)
        ]
        plan = state.forecast.plan(step.step, candidates, count=len(left))
        permitted = bool(known.good) or entry.queue.permits is None
        useful = permitted and prospect_of(entry, step, state.now)
        if useful and state.keep(plan):
            self._holding.add(step.name)
        if entry.queue.permits is not None:
            self._renew_for_plan(entry, step, plan, state)

    def _renew_for_plan(
        self,
        entry: JobRun,
        step: StepRun,
        plan: GangPlan,
        state: '_RoundState',
    ) -> None:
        """Ask for permits that will hold when the plan's moments come."""
        policy = entry.queue.permits
        known = self._permits.of(step.name)
        decide_s = policy.decide_s if policy else 0
        soon = state.now + decide_s + _PERMIT_LEAD_S
        due = [
            worker
            for worker in self._within_reach(step, state)
            if plan.starts.get(worker.entry.id, _NEVER) <= soon
            and not known.fresh(
                worker.entry.id, now=state.now, life=worker.life
            )
        ]
        unknown = self._unknown(step, state)
        if due or (unknown and not known.good):
            state.outcome.wishes.append(
                PermitWish(
                    entry=entry,
                    step=step,
                    workers=_distinct([*due, *unknown]),
                ),
            )

    def _unknown(self, step: StepRun, state: '_RoundState') -> list[Worker]:
        """Return workers of which it isn't known whether they may run it.

        Naming one more costs little beside the call itself, so the first
        call names all, whether they have room now or not.
        """
        known = self._permits.of(step.name)
        need = charge(step.step)
        return [
            worker
            for worker in state.usable
            if worker.entry.id not in known.bad
            and worker.entry.id not in known.good
            and _suits(step, worker)
            and need.fits(worker.entry.capacity)
        ]

    def _permit_lookup(
        self, entry: JobRun, step: StepRun, now: float
    ) -> Callable[[Worker], str | None]:
        if entry.queue.permits is None:
            return lambda worker: ''
        known = self._permits.of(step.name)

        def lookup(worker: Worker) -> str | None:
            permit = known.fresh(worker.entry.id, now=now, life=worker.life)
            if permit:
                return permit
            return None

        return lookup

    def _prepare(
        self, entry: JobRun, step: StepRun, state: '_RoundState'
    ) -> None:
        """Renew permits of the next steps before a worker has room for them.

        Otherwise each room that becomes free waits for a decision first.
        """
        known = self._permits.of(step.name)
        stale = [
            worker
            for worker in state.usable
            if worker.entry.id in known.good
            and not known.fresh(
                worker.entry.id, now=state.now, life=worker.life
            )
        ]
        if stale and state.prepared < _PREPARED:
            state.prepared += 1
            state.outcome.wishes.append(
                PermitWish(entry=entry, step=step, workers=stale, ahead=True)
            )

    def _wish(self, entry: JobRun, step: StepRun, state: '_RoundState') -> None:
        """Ask for permits on workers that have room for what is left."""
        left = [
            task
            for task in self._tasks_in_turn(entry, step, state)
            if task.name not in state.given
        ]
        if entry.queue.permits is None or not left:
            return
        bad = self._permits.of(step.name).bad
        wanted = [
            worker
            for worker in self._eligible(step, state)
            if worker.entry.id not in bad
        ]
        room_left = self._neglected(step, state) or state.demand.admit(
            step, len(left)
        )
        if not wanted:
            self._prepare(entry, step, state)
        elif room_left:
            state.outcome.wishes.append(
                PermitWish(
                    entry=entry,
                    step=step,
                    workers=_distinct(
                        [
                            *wanted,
                            *self._unknown(step, state),
                        ]
                    ),
                ),
            )


def _headroom(usable: list[Worker], *, urgent_queues: bool) -> Headroom:
    return Headroom(
        whole_milli=sum(one.entry.capacity.milli_cores for one in usable),
        free_milli=sum(one.free.milli_cores for one in usable),
        urgent_queues=urgent_queues,
    )


def _is_busy(usable: list[Worker]) -> bool:
    """Tell whether most processors or most accelerators are in use."""
    whole = NOTHING
    used = NOTHING
    for one in usable:
        whole = whole.plus(one.entry.capacity)
        used = used.plus(one.used)
    return used.dominant_share(whole) >= _BUSY_SHARE


def _distinct(workers: list[Worker]) -> list[Worker]:
    return list({worker.entry.id: worker for worker in workers}.values())


class _RoundState:
    """What one round has given away, keeps, and asks for."""

    def __init__(
        self,
        *,
        now: float,
        usable: list[Worker],
        suspects: list[Worker],
        demand: _Demand,
        forecast: Forecast,
        headroom: Headroom,
    ) -> None:
        self.headroom = headroom
        self.now = now
        self.usable = usable
        self.suspects = suspects
        self.demand = demand
        self.forecast = forecast
        self.outcome = Round()
        self.given: set[TaskName] = set()
        self.prepared = 0
        self.contested: dict[WorkerId, float] = {}
        self.kept: dict[WorkerId, float] = {}
        self.busy = _is_busy(usable)

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
        most = max(len(self.usable) // _KEPT_SHARE, 1)
        wanted = len(self.kept) + len(plan.starts)
        if not plan.starts or (self.kept and wanted > most):
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


def _suits(step: StepRun, worker: Worker) -> bool:
    spec = step.step
    if spec.requires and spec.requires not in worker.entry.labels:
        return False
    holdings = worker.holdings.values()
    if spec.fills:
        return not any(holding.serving for holding in holdings)
    return True


def _with_room(step: StepRun, workers: list[Worker]) -> list[Worker]:
    need = charge(step.step)
    return [
        worker
        for worker in workers
        if _suits(step, worker) and need.fits(worker.free)
    ]


def _place_each(
    step: StepRun,
    tasks: list[TaskRun],
    allowed: list[Worker],
    contested: dict[WorkerId, float],
) -> list[tuple[TaskRun, Worker]]:
    rooms = _Rooms(step=step, workers=allowed, contested=contested)
    chosen: list[tuple[TaskRun, Worker]] = []
    for task in tasks:
        worker = rooms.best(allowed, avoid=task.failed_on)
        if worker is None:
            break
        rooms.take(worker)
        chosen.append((task, worker))
    return chosen


def _place_gang(
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
        return min(fitting, key=lambda worker: self._cost(worker, avoid))

    def take(self, worker: Worker) -> None:
        """Charge one task."""
        name = worker.entry.id
        left = self._free[name].minus(self._need)
        self._free[name] = NOTHING if worker.on_trial else left
        self._add(name)

    def _add(self, worker: WorkerId) -> None:
        self._count[worker] = self._count.get(worker, 0) + 1

    def _fits(self, worker: Worker) -> bool:
        limit = self._step.max_per_worker
        if limit and self._count.get(worker.entry.id, 0) >= limit:
            return False
        return self._need.fits(self._free[worker.entry.id])

    def _cost(
        self, worker: Worker, avoid: set[WorkerId]
    ) -> tuple[bool, bool, bool, float, int, float]:
        step = self._step
        far = bool(step.data_rack) and step.data_rack != worker.entry.rack
        disturbed = step.serving_target_ms > 0 and any(
            holding.fills for holding in worker.holdings.values()
        )
        return (
            worker.entry.id in avoid,
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
