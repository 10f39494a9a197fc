"""Registry of the jobs, steps and tasks of one slice.

It makes no scheduling decisions. It opens the steps that may run, holds the
state of their tasks, and encodes the records that the next owner reads.
"""

import bisect
import enum
from collections.abc import Callable, Iterator

import msgspec

from cyclamentrack.codec import decode, encode
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.accounts import NO_ACCOUNT, AccountName
from cyclamentrack.jobs.critical_path import (
    CriticalPath,
    PoolCapacity,
    compute_critical_path,
)
from cyclamentrack.jobs.model import (
    InstanceId,
    Job,
    JobId,
    JobState,
    Origin,
    Queue,
    QueueName,
    Step,
    StepName,
    TaskName,
)
from cyclamentrack.jobs.ports import DEFAULT_ROW_BYTES
from cyclamentrack.jobs.room import (
    CANCELLED_BYTES,
    CLOSED_BYTES,
    PARKED_BYTES,
    Room,
    job_bytes,
    occurrence_bytes,
)
from cyclamentrack.resources import NO_RESOURCES, Resources

_PERCENT = 100
# Each change of a task costs the encoding of its row. A step of 10,000 tasks
# has 157 rows, which is less than two commits of the journal.
_TASKS_PER_ROW = 64
# A row of one task has this much besides the checkpoint, at most.
_ROW_MARGIN_BYTES = 2000
# Each round looks at all open steps, so a job whose occurrences are due faster
# than they end has this many open at a time, from the oldest one on.
_MAX_OPEN_OCCURRENCES = 100


class Closed(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Record of a job that has ended; its id can't be used again.

    Rows of earlier versions lack the address of its queue and the account.
    ``running`` is what runs of the account that are being stopped still use.
    """

    state: JobState
    queue: QueueName
    closed_at_s: float
    address: str = ''
    account: AccountName = NO_ACCOUNT
    running: Resources | None = None

    @property
    def origin(self) -> Origin:
        """The queue and account that the job was accepted of."""
        return Origin(
            queue=self.queue, address=self.address, account=self.account
        )


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """The stored state of one task; ``worker`` is empty if it isn't placed.

    Rows of earlier versions lack the last fields.
    """

    index: int
    run: int
    done: bool
    worker: str
    incarnation: int
    failures: int
    checkpoint: str
    instance: InstanceId = InstanceId('')
    suspicion: int = 0
    crashes: int = 0
    lost_unseen: bool = False
    connection_lost: bool = False


class Phase(enum.Enum):
    """Whether a run is known to have started."""

    STARTING = 'starting'
    RUNNING = 'running'


class Placement(msgspec.Struct, kw_only=True, eq=False):
    """One run of a task on a worker, from the decision to its reported end.

    Times are steady seconds except ``lease_until_ms``, which is on the
    worker's clock. ``percent`` is the progress, ``pace`` the speed of a
    best-effort run in percent, which is being ordered while ``pacing``, and
    ``reading`` the tail response time of a serving run in milliseconds.
    ``sent`` is set once a start order may have reached the worker, and
    ``unanswered`` counts the orders to start without an answer. With
    ``connection_lost`` the worker closed its connection soon after the start,
    while an owner watched it.
    """

    task: TaskName
    run: int
    worker: WorkerId
    incarnation: int
    phase: Phase
    since: float
    instance: InstanceId = InstanceId('')
    permit: str = ''
    sent: bool = False
    unanswered: int = 0
    connection_lost: bool = False
    lease_until_ms: int | None = None
    confirmed_at: float = 0.0
    percent: float = 0.0
    progressed_at: float = 0.0
    reading: float = 0.0
    pace: int = _PERCENT
    pacing: bool = False
    resumed: bool = False
    stopping: bool = False
    stop_acknowledged_at: float = 0.0


class TaskRun(msgspec.Struct, kw_only=True, eq=False):
    """One task: the number of its runs so far and its current placement.

    ``crashes`` counts the workers that crashed while it ran or started there,
    and ``suspicion`` rises with each crash that it may have caused. With
    ``lost_unseen`` it has lost a worker, and no owner has seen it crash.
    """

    name: TaskName
    run: int = 0
    done: bool = False
    failures: int = 0
    suspicion: int = 0
    crashes: int = 0
    lost_unseen: bool = False
    checkpoint: str = ''
    placement: Placement | None = None
    idle_since: float = 0.0
    failed_on: frozenset[WorkerId] = frozenset()

    @property
    def idle(self) -> bool:
        """Whether the task waits to be placed."""
        return not self.done and self.placement is None


class StepRun(msgspec.Struct, kw_only=True, eq=False):
    """One opened step of one occurrence, with its tasks.

    A row of the store holds neighbouring tasks and is named by the first of
    them. ``splits`` are rows besides those of a fixed number of tasks,
    ``stored_rows`` the rows that may be in the store, and ``restored_from``
    has for each task read from the store its row, in the order of reading.
    ``durations_s`` is sorted, and all tasks before ``first_open`` are done.
    """

    name: StepName
    step: Step
    tasks: list[TaskRun]
    opened_at: float
    durations_s: list[float] = msgspec.field(default_factory=list)
    failed_run: int = 0
    splits: list[int] = msgspec.field(default_factory=list)
    stored_rows: set[int] = msgspec.field(default_factory=set)
    restored_from: dict[int, int] = msgspec.field(default_factory=dict)
    first_open: int = 0

    @property
    def done(self) -> bool:
        """Whether all tasks have completed."""
        tasks = self.tasks
        while self.first_open < len(tasks) and tasks[self.first_open].done:
            self.first_open += 1
        return self.first_open == len(tasks)

    @property
    def idle(self) -> list[TaskRun]:
        """Tasks that wait to be placed; for a gang all of them or none."""
        waiting = [
            task
            for task in self.tasks[self.first_open :]
            if task.placement is None and not task.done
        ]
        if self.step.gang and len(waiting) < len(self.tasks):
            return []
        return waiting

    @property
    def placed(self) -> list[Placement]:
        """Current placements of this step's tasks."""
        return [task.placement for task in self.tasks if task.placement]

    @property
    def any_placed(self) -> bool:
        """Whether a task is placed; those not done are looked at first."""
        found = self.first_open
        return any(task.placement for task in self.tasks[found:]) or any(
            task.placement for task in self.tasks[:found]
        )

    @property
    def task_s(self) -> float:
        """Seconds per task: the median of completed ones, or the estimate."""
        known = self.durations_s
        if not known:
            return self.step.estimate_s
        middle = len(known) // 2
        return (known[middle] + known[-1 - middle]) / 2

    def record_duration(self, worked_s: float) -> None:
        """Record how long a completed task took."""
        bisect.insort(self.durations_s, worked_s)

    def count_gang_failure(self, run: int) -> None:
        """Count a failed run of a gang once, however many members failed."""
        if run > self.failed_run:
            self.failed_run = run
            for task in self.tasks:
                task.failures += 1

    def row_of(self, task: int) -> int:
        """Return the row that holds a task."""
        found = task - task % _TASKS_PER_ROW
        place = bisect.bisect_right(self.splits, task)
        return max(found, self.splits[place - 1]) if place else found

    def record(self, row: int, *, max_bytes: int) -> dict[int, bytes]:
        """Return the encoded tasks of a row, split into rows that are stored.

        The row that gives tasks up is the last one.
        """
        end = self._end_of_row(row)
        body = encode(
            [
                _task_row(task)
                for task in self.tasks[row:end]
                if task.run or task.done
            ]
        )
        if len(body) <= max_bytes or end - row == 1:
            self.stored_rows.add(row)
            return {row: body}
        middle = (row + end) // 2
        bisect.insort(self.splits, middle)
        return {
            **self.record(middle, max_bytes=max_bytes),
            **self.record(row, max_bytes=max_bytes),
        }

    def settle(self) -> set[int]:
        """Settle a restored step; return the rows that have to be rewritten.

        These are the rows that hold tasks of other rows, as those of earlier
        versions do, and the rows that these tasks belong to.
        """
        if self.step.gang and self.restored_from:
            self._align_members()
        moved = {
            row
            for task, source in self.restored_from.items()
            if (own := self.row_of(task)) != source
            for row in (own, source)
        }
        self.restored_from = {}
        return moved

    def _align_members(self) -> None:
        """Give a gang's members what they have in common.

        Their rows may be those of different commits, and the last one counts.
        """
        newest = self.tasks[next(reversed(self.restored_from))]
        run = max(task.run for task in self.tasks)
        failures = max(task.failures for task in self.tasks)
        done = any(task.done for task in self.tasks)
        for task in self.tasks:
            task.run = run
            task.failures = failures
            task.done = done
            task.checkpoint = newest.checkpoint

    def _end_of_row(self, row: int) -> int:
        end = min(row - row % _TASKS_PER_ROW + _TASKS_PER_ROW, len(self.tasks))
        place = bisect.bisect_right(self.splits, row)
        return min(end, *self.splits[place : place + 1], len(self.tasks))


class JobRun(msgspec.Struct, kw_only=True, eq=False):
    """One job that is still in the registry.

    ``published`` is set once the final state is durable. A job that is not
    ``within_rate`` arrived while its account was beyond its rate. The first
    ``opened`` occurrences have been opened, and the first ``finished`` of them
    are done. ``occupied_bytes`` is what the job is estimated to take.
    """

    job: Job
    queue: Queue
    arrived_at: float
    critical_path: CriticalPath
    cancelled: bool = False
    state: JobState | None = None
    steps: dict[tuple[int, int], StepRun] = msgspec.field(
        default_factory=dict,
    )
    placed_once: bool = False
    started: bool = False
    idle_since: float = 0.0
    published: bool = False
    opened: int = 0
    finished: int = 0
    within_rate: bool = True
    occupied_bytes: int = 0

    @property
    def due_by(self) -> float:
        """Steady time by which the job should have ended."""
        queue = self.queue
        allowed = queue.target_s + queue.stretch * self.critical_path.total_s
        return self.arrived_at + allowed

    @property
    def visible_state(self) -> JobState:
        """The state that callers see; a final one only once it is durable."""
        if self.state is not None and self.published:
            return self.state
        return JobState.RUNNING if self.has_started() else JobState.QUEUED

    @property
    def placed(self) -> list[Placement]:
        """Current placements of this job's tasks."""
        return [run for step in self.steps.values() for run in step.placed]

    @property
    def any_placed(self) -> bool:
        """Whether a task of this job is placed."""
        return any(step.any_placed for step in self.steps.values())

    def has_started(self) -> bool:
        """Return whether a task is known to have ever started."""
        if self.placed_once and not self.started:
            self.started = any(
                run.phase is Phase.RUNNING for run in self.placed
            )
        return self.started


class ParkedJob(msgspec.Struct, kw_only=True, eq=False):
    """An accepted job without a start that stays in the store for now.

    ``size`` is what it will take once it is loaded. A job that is ``ending``
    gets its final state without being loaded.
    """

    origin: Origin
    size: int
    ending: bool = False


class JobRegistry:
    """All jobs of one slice and their open steps."""

    def __init__(self, *, row_bytes: int = DEFAULT_ROW_BYTES) -> None:
        """Start empty, with the pool's capacity unknown.

        A row of the store holds at most ``row_bytes``.
        """
        self._max_checkpoint_bytes = row_bytes - _ROW_MARGIN_BYTES
        self.jobs: dict[JobId, JobRun] = {}
        self._pool_capacity: PoolCapacity = _unknown_capacity
        self.cap_of: Callable[[AccountName], Resources] = _no_cap
        self.closed: dict[JobId, Closed] = {}
        self.cancels: dict[JobId, Origin | None] = {}
        self.open_steps: dict[StepName, StepRun] = {}
        self.parked: dict[JobId, ParkedJob] = {}
        self.memory_limit: Callable[[], int | None] = lambda: None
        self._occupied_bytes = 0
        self._origins: dict[Origin, Origin] = {}

    @property
    def has_jobs(self) -> bool:
        """Whether there are jobs, counting ended ones until they expire."""
        return bool(self.jobs or self.parked or self.closed)

    @property
    def kept_bytes(self) -> int:
        """What all that is known of jobs is estimated to take."""
        return (
            self._occupied_bytes
            + len(self.parked) * PARKED_BYTES
            + len(self.closed) * CLOSED_BYTES
            + len(self.cancels) * CANCELLED_BYTES
        )

    @property
    def room(self) -> Room | None:
        """The room that is left for jobs, ``None`` without a limit."""
        limit = self.memory_limit()
        return None if limit is None else Room(limit, limit - self.kept_bytes)

    def park(self, job: Job) -> ParkedJob:
        """Note an accepted job without keeping its steps."""
        parked = ParkedJob(origin=self._shared(job.origin), size=job_bytes(job))
        self.parked[job.id] = parked
        return parked

    def restore_closed(self, job: JobId, closed: Closed) -> None:
        """Add the final state of a job as it was stored."""
        origin = self._shared(closed.origin)
        self.closed[job] = msgspec.structs.replace(
            closed,
            queue=origin.queue,
            address=origin.address,
            account=origin.account,
        )

    def admits(self, size: int) -> bool:
        """Return whether there is room for a job of a size."""
        room = self.room
        return room is None or room.admits(size)

    def admit(self, *, job: Job, queue: Queue, now: float) -> JobRun | None:
        """Add an accepted job; return ``None`` if its id is known already."""
        if job.id in self.jobs or job.id in self.closed:
            return None
        critical_path = compute_critical_path(
            job,
            permits=queue.permits,
            capacity=self._pool_capacity,
            cap=self.cap_of(job.account),
            task_s=[step.estimate_s for step in job.steps],
        )
        entry = JobRun(
            job=job, queue=queue, arrived_at=now, critical_path=critical_path
        )
        self.parked.pop(job.id, None)
        self.jobs[job.id] = entry
        self._occupy(entry, job_bytes(job))
        return entry

    def update_pool_capacity(self, capacity: PoolCapacity) -> None:
        """Update all critical paths with the pool's current capacity."""
        self._pool_capacity = capacity
        for entry in self.jobs.values():
            self.update_critical_path(entry)

    def update_critical_path(self, entry: JobRun) -> None:
        """Update a job's critical path from completed tasks or estimates."""
        task_s = [step.estimate_s for step in entry.job.steps]
        for run in entry.steps.values():
            if run.durations_s:
                task_s[run.name.step] = run.task_s
        entry.critical_path = compute_critical_path(
            entry.job,
            permits=entry.queue.permits,
            capacity=self._pool_capacity,
            cap=self.cap_of(entry.job.account),
            task_s=task_s,
        )

    def open_due_steps(
        self, entry: JobRun, *, now: float, wall_s: float
    ) -> None:
        """Open the steps that are due and whose predecessors are done."""
        if entry.state is not None:
            return
        self._open_occurrences(entry, now=now, wall_s=wall_s)
        for occurrence in range(entry.finished, entry.opened):
            self._open_steps(entry, occurrence, now)

    def task(self, name: TaskName) -> TaskRun | None:
        """Return a task of an opened step, ``None`` if there is none."""
        entry = self.jobs.get(name.job)
        step = entry.steps.get((name.occurrence, name.step)) if entry else None
        if step is None or name.index >= len(step.tasks):
            return None
        return step.tasks[name.index]

    def record_checkpoint(self, name: TaskName, checkpoint: str) -> None:
        """Record a task's checkpoint; a gang member's is the whole gang's.

        One that no row can hold is left out, so that the task would go on from
        the one before.
        """
        step = self.step_of(name)
        if (
            step is None
            or len(checkpoint.encode()) > self._max_checkpoint_bytes
        ):
            return
        saved = step.tasks if step.step.gang else [step.tasks[name.index]]
        for task in saved:
            task.checkpoint = checkpoint

    def step_of(self, name: TaskName) -> StepRun | None:
        """Return the opened step of a task, ``None`` if it wasn't opened."""
        entry = self.jobs.get(name.job)
        return entry.steps.get((name.occurrence, name.step)) if entry else None

    def all_done(self, entry: JobRun) -> bool:
        """Return whether every task of every occurrence has completed."""
        job = entry.job
        wanted = job.occurrences * len(job.steps)
        return len(entry.steps) == wanted and all(
            step.done for step in entry.steps.values()
        )

    def close(self, entry: JobRun, *, state: JobState, wall_s: float) -> Closed:
        """Set a job's final state; its runs must still be stopped.

        API callers see the state once the journal has stored it.
        """
        entry.state = state
        for step in entry.steps.values():
            self.open_steps.pop(step.name, None)
        origin = self._shared(entry.job.origin)
        return Closed(
            state=state,
            queue=origin.queue,
            closed_at_s=wall_s,
            address=origin.address,
            account=origin.account,
            running=self._running_need(entry),
        )

    def drop(self, entry: JobRun) -> None:
        """Remove a job that has ended and has no runs left."""
        if self.jobs.pop(entry.job.id, None) is not None:
            self._occupied_bytes -= entry.occupied_bytes

    def state(self, job: JobId) -> JobState | None:
        """Return the state of a job that callers see, ``None`` if unknown."""
        if job in self.closed:
            return self.closed[job].state
        if job in self.parked:
            return JobState.QUEUED
        entry = self.jobs.get(job)
        return entry.visible_state if entry else None

    def origin(self, job: JobId) -> Origin | None:
        """Return the queue of a job, ``None`` if the job is unknown."""
        if job in self.closed:
            return self.closed[job].origin
        if job in self.parked:
            return self.parked[job].origin
        entry = self.jobs.get(job)
        return entry.job.origin if entry else None

    def is_cancelled(self, job: JobId, accepted_of: Origin) -> bool:
        """Return whether a job's own queue has cancelled it.

        Earlier versions stored cancellations without their queue.
        """
        if job not in self.cancels:
            return False
        origin = self.cancels[job]
        return origin is None or origin.matches(accepted_of)

    def waiting(self) -> dict[QueueName, int]:
        """Count by queue the jobs that have not started any task."""
        counts: dict[QueueName, int] = {}
        for entry in self.jobs.values():
            if entry.state is None and not entry.has_started():
                name = entry.job.queue
                counts[name] = counts.get(name, 0) + 1
        for parked in self.parked.values():
            if not parked.ending:
                name = parked.origin.queue
                counts[name] = counts.get(name, 0) + 1
        return counts

    def restore(self, entry: JobRun, key: str, body: bytes, now: float) -> None:
        """Restore tasks of a step from a row; rows stored later come later.

        Of a task that two rows hold, the state stored last counts.
        """
        place, first = _parse_row(key)
        self._note_opened(entry, max(entry.opened, place[0] + 1))
        run = entry.steps.get(place) or self._open_step(entry, place, now)
        run.stored_rows.add(first)
        if first % _TASKS_PER_ROW:
            bisect.insort(run.splits, first)
        for row in decode(body, list[TaskRow]):
            _restore_task(run.tasks[row.index], row, now)
            run.restored_from.pop(row.index, None)
            run.restored_from[row.index] = first
            entry.placed_once = entry.placed_once or row.run > 0
            entry.started = entry.started or _ever_started(row)

    def settle(self, entry: JobRun) -> dict[StepName, set[int]]:
        """Settle a restored job; return the rows to rewrite by step."""
        moved: dict[StepName, set[int]] = {}
        for run in entry.steps.values():
            moved[run.name] = run.settle()
            if run.done:
                self.open_steps.pop(run.name, None)
        return moved

    def _shared(self, origin: Origin) -> Origin:
        """Return one object for all equal origins, to save their texts."""
        return self._origins.setdefault(origin, origin)

    def _running_need(self, entry: JobRun) -> Resources | None:
        """Return what a job's account still uses, ``None`` without a cap."""
        if self.cap_of(entry.job.account) == NO_RESOURCES:
            return None
        found = placed_need(entry)
        return None if found == NO_RESOURCES else found

    def _open_occurrences(
        self, entry: JobRun, *, now: float, wall_s: float
    ) -> None:
        job = entry.job
        self._note_finished(entry)
        while entry.opened < job.occurrences:
            due = job.start_at_s + entry.opened * job.interval_s
            if job.timed and wall_s < due:
                return
            if not self._may_open_more(entry):
                return
            self._note_opened(entry, entry.opened + 1)

    def _may_open_more(self, entry: JobRun) -> bool:
        """Return whether one more occurrence of a job may be opened.

        A job without an unfinished one goes on whatever room is left.
        """
        unfinished = entry.opened - entry.finished
        if not unfinished:
            return True
        if unfinished >= _MAX_OPEN_OCCURRENCES:
            return False
        return self.admits(occurrence_bytes(entry.job))

    def _note_finished(self, entry: JobRun) -> None:
        while entry.finished < entry.opened:
            runs = (
                entry.steps.get((entry.finished, number))
                for number in range(len(entry.job.steps))
            )
            if not all(run is not None and run.done for run in runs):
                return
            entry.finished += 1

    def _note_opened(self, entry: JobRun, opened: int) -> None:
        """Note that occurrences are open; a job's size includes the first."""
        more = max(opened, 1) - max(entry.opened, 1)
        entry.opened = opened
        if more:
            self._occupy(entry, more * occurrence_bytes(entry.job))

    def _occupy(self, entry: JobRun, size: int) -> None:
        entry.occupied_bytes += size
        self._occupied_bytes += size

    def _open_steps(self, entry: JobRun, occurrence: int, now: float) -> None:
        for number, step in enumerate(entry.job.steps):
            place = (occurrence, number)
            if place in entry.steps:
                continue
            before = [entry.steps.get((occurrence, one)) for one in step.after]
            if all(one is not None and one.done for one in before):
                self._open_step(entry, place, now)

    def _open_step(
        self, entry: JobRun, place: tuple[int, int], now: float
    ) -> StepRun:
        occurrence, number = place
        job = entry.job.id
        step = entry.job.steps[number]
        run = StepRun(
            name=StepName(job, occurrence, number),
            step=step,
            opened_at=now,
            tasks=[
                TaskRun(name=TaskName(job, occurrence, number, index))
                for index in range(step.count)
            ],
        )
        entry.steps[place] = run
        self.open_steps[run.name] = run
        return run


def _no_cap(account: AccountName) -> Resources:
    del account
    return NO_RESOURCES


def _unknown_capacity(step: Step) -> int:
    del step
    return 0


def placements(registry: JobRegistry) -> Iterator[Placement]:
    """Yield the current placements of all jobs."""
    for entry in registry.jobs.values():
        if entry.placed_once:
            yield from entry.placed


def placed_need(entry: JobRun) -> Resources:
    """Return the needs of a job's placements."""
    found = NO_RESOURCES
    for step in entry.steps.values():
        found = found.plus(step.step.need.times(len(step.placed)))
    return found


def _task_row(task: TaskRun) -> TaskRow:
    placement = task.placement
    return TaskRow(
        task.name.index,
        task.run,
        task.done,
        placement.worker if placement else '',
        placement.incarnation if placement else 0,
        task.failures,
        task.checkpoint,
        placement.instance if placement else InstanceId(''),
        task.suspicion,
        task.crashes,
        task.lost_unseen,
        placement.connection_lost if placement else False,
    )


def _parse_row(key: str) -> tuple[tuple[int, int], int]:
    """Return the occurrence and step of a row's key, and its first task."""
    occurrence, step, *first = (int(part) for part in key.split('.')[1:])
    return (occurrence, step), first[0] if first else 0


def _ever_started(row: TaskRow) -> bool:
    """Return whether a run of a task is known to have started."""
    return row.done or row.failures > 0 or bool(row.checkpoint)


def _restore_task(task: TaskRun, row: TaskRow, now: float) -> None:
    task.run = row.run
    task.done = row.done
    task.failures = row.failures
    task.suspicion = row.suspicion
    task.crashes = row.crashes
    task.lost_unseen = row.lost_unseen
    task.checkpoint = row.checkpoint
    task.placement = None
    if row.worker:
        task.placement = Placement(
            task=task.name,
            run=row.run,
            worker=WorkerId(row.worker),
            incarnation=row.incarnation,
            phase=Phase.STARTING,
            since=now,
            instance=row.instance,
            sent=True,
            connection_lost=row.connection_lost,
            resumed=True,
        )
