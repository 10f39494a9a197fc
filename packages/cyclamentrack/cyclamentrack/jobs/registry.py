"""The job book: what a slice's owner knows of its jobs, steps and tasks.

The book decides nothing. It opens steps whose turn has come, takes in ends,
and encodes the records that a successor reads.
"""

import enum
import statistics
from collections.abc import Iterator

import msgspec

from cyclamentrack.codec import decode, encode
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.critical_path import (
    CriticalPath,
    Room,
    compute_critical_path,
)
from cyclamentrack.jobs.model import (
    Job,
    JobId,
    JobState,
    Queue,
    QueueName,
    Step,
    StepName,
    TaskName,
)

_PERCENT = 100


class Closed(msgspec.Struct, frozen=True, kw_only=True):
    """What is kept of a job after its end; its id stays taken."""

    state: JobState
    queue: QueueName
    closed_at_s: float


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """The kept state of one task; ``worker`` is empty while none has it."""

    index: int
    run: int
    done: bool
    worker: str
    incarnation: int
    failures: int
    checkpoint: str


class Phase(enum.Enum):
    """What is known of a run's start."""

    STARTING = 'starting'
    RUNNING = 'running'


class Placement(msgspec.Struct, kw_only=True, eq=False):
    """One run of a task on a worker, from the decision to its listed end."""

    task: TaskName
    run: int
    worker: WorkerId
    incarnation: int
    phase: Phase
    since: float
    permit: str = ''
    lease_until_ms: int | None = None
    confirmed_at: float = 0.0
    percent: float = 0.0
    progressed_at: float = 0.0
    reading: float = 0.0
    pace: int = _PERCENT
    resumed: bool = False
    stopping: bool = False
    stop_acknowledged_at: float = 0.0


class TaskRun(msgspec.Struct, kw_only=True, eq=False):
    """One task: its runs so far and where it runs now."""

    name: TaskName
    run: int = 0
    done: bool = False
    failures: int = 0
    checkpoint: str = ''
    placement: Placement | None = None
    idle_since: float = 0.0
    failed_on: set[WorkerId] = msgspec.field(default_factory=set)

    @property
    def idle(self) -> bool:
        """Whether the task waits to be placed."""
        return not self.done and self.placement is None


class StepRun(msgspec.Struct, kw_only=True, eq=False):
    """One step of one occurrence whose turn has come."""

    name: StepName
    step: Step
    tasks: list[TaskRun]
    opened_at: float
    durations_s: list[float] = msgspec.field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether all tasks have ended as done."""
        return all(task.done for task in self.tasks)

    @property
    def idle(self) -> list[TaskRun]:
        """Tasks that wait to be placed; of a gang all or none."""
        waiting = [task for task in self.tasks if task.idle]
        if self.step.gang and len(waiting) < len(self.tasks):
            return []
        return waiting

    @property
    def placed(self) -> list[Placement]:
        """Runs of this step that some worker has."""
        return [task.placement for task in self.tasks if task.placement]

    @property
    def task_s(self) -> float:
        """How long a task takes, by those that are done if there are any."""
        if self.durations_s:
            return statistics.median(self.durations_s)
        return self.step.estimate_s

    def record(self) -> bytes:
        """Return the kept form."""
        return encode(
            [_task_row(task) for task in self.tasks if task.run or task.done]
        )


class JobRun(msgspec.Struct, kw_only=True, eq=False):
    """One job that has not left the book."""

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

    @property
    def due_by(self) -> float:
        """Steady time by which the job should have ended."""
        queue = self.queue
        allowed = queue.target_s + queue.stretch * self.critical_path.total_s
        return self.arrived_at + allowed

    @property
    def shown(self) -> JobState:
        """The state that callers are told."""
        if self.state is not None and self.published:
            return self.state
        return JobState.RUNNING if self.has_started() else JobState.QUEUED

    @property
    def placed(self) -> list[Placement]:
        """Runs of this job that some worker has."""
        return [run for step in self.steps.values() for run in step.placed]

    def has_started(self) -> bool:
        """Tell whether a task is known to have started; that stays so."""
        if self.placed_once and not self.started:
            self.started = any(
                run.phase is Phase.RUNNING for run in self.placed
            )
        return self.started


class JobRegistry:
    """All jobs of one slice."""

    def __init__(self) -> None:
        """Start empty; nothing is known of the pool's room yet."""
        self.jobs: dict[JobId, JobRun] = {}
        self._room: Room = _unknown_room
        self.closed: dict[JobId, Closed] = {}
        self.cancels: set[JobId] = set()
        self.open_steps: dict[StepName, StepRun] = {}

    def admit(self, *, job: Job, queue: Queue, now: float) -> JobRun | None:
        """Add an accepted job; one that is known already is left alone."""
        if job.id in self.jobs or job.id in self.closed:
            return None
        critical_path = compute_critical_path(
            job,
            permits=queue.permits,
            room=self._room,
            task_s=[step.estimate_s for step in job.steps],
        )
        entry = JobRun(
            job=job, queue=queue, arrived_at=now, critical_path=critical_path
        )
        self.jobs[job.id] = entry
        return entry

    def update_pool_capacity(self, room: Room) -> None:
        """Reckon all chains with the room that the pool has now."""
        self._room = room
        for entry in self.jobs.values():
            self.update_critical_path(entry)

    def update_critical_path(self, entry: JobRun) -> None:
        """Reckon a chain anew, from done tasks where a step has some."""
        task_s = [step.estimate_s for step in entry.job.steps]
        for run in entry.steps.values():
            if run.durations_s:
                task_s[run.name.step] = run.task_s
        entry.critical_path = compute_critical_path(
            entry.job,
            permits=entry.queue.permits,
            room=self._room,
            task_s=task_s,
        )

    def open_due_steps(
        self, entry: JobRun, *, now: float, wall_s: float
    ) -> None:
        """Open the steps whose turn has come."""
        if entry.state is not None:
            return
        self._open_occurrences(entry, now=now, wall_s=wall_s)
        for occurrence in range(entry.opened):
            self._open_steps(entry, occurrence, now)

    def task(self, name: TaskName) -> TaskRun | None:
        """Return a task of a step that was opened."""
        entry = self.jobs.get(name.job)
        step = entry.steps.get((name.occurrence, name.step)) if entry else None
        if step is None or name.index >= len(step.tasks):
            return None
        return step.tasks[name.index]

    def save(self, name: TaskName, checkpoint: str) -> None:
        """Note a task's checkpoint; any member's holds for its whole gang."""
        step = self.step_of(name)
        if step is None:
            return
        saved = step.tasks if step.step.gang else [step.tasks[name.index]]
        for task in saved:
            task.checkpoint = checkpoint

    def step_of(self, name: TaskName) -> StepRun | None:
        """Return the opened step of a task."""
        entry = self.jobs.get(name.job)
        return entry.steps.get((name.occurrence, name.step)) if entry else None

    def all_done(self, entry: JobRun) -> bool:
        """Tell whether every task of every occurrence has ended as done."""
        job = entry.job
        wanted = job.occurrences * len(job.steps)
        return len(entry.steps) == wanted and all(
            step.done for step in entry.steps.values()
        )

    def close(self, entry: JobRun, *, state: JobState, wall_s: float) -> Closed:
        """Give a job its final state; its runs are yet to be stopped.

        Callers are told once the journal has kept it.
        """
        entry.state = state
        for step in entry.steps.values():
            self.open_steps.pop(step.name, None)
        return Closed(state=state, queue=entry.job.queue, closed_at_s=wall_s)

    def drop(self, entry: JobRun) -> None:
        """Remove a job that has ended and of which nothing runs."""
        self.jobs.pop(entry.job.id, None)

    def state(self, job: JobId) -> JobState | None:
        """Return what a caller is told of a job, ``None`` if unknown."""
        if job in self.closed:
            return self.closed[job].state
        entry = self.jobs.get(job)
        return entry.shown if entry else None

    def waiting(self) -> dict[QueueName, int]:
        """Count by queue the jobs of which no task has started."""
        counts: dict[QueueName, int] = {}
        for entry in self.jobs.values():
            if entry.state is None and not entry.has_started():
                name = entry.job.queue
                counts[name] = counts.get(name, 0) + 1
        return counts

    def restore(self, entry: JobRun, key: str, body: bytes, now: float) -> None:
        """Take in the kept record of one step."""
        occurrence, step = (int(part) for part in key.split('.')[1:])
        entry.opened = max(entry.opened, occurrence + 1)
        run = self._open_step(entry, (occurrence, step), now)
        for row in decode(body, list[TaskRow]):
            _restore_task(run.tasks[row.index], row, now)
            entry.placed_once = entry.placed_once or row.run > 0
            entry.started = entry.started or _has_run(row)
        if run.done:
            self.open_steps.pop(run.name, None)

    def _open_occurrences(
        self, entry: JobRun, *, now: float, wall_s: float
    ) -> None:
        job = entry.job
        while entry.opened < job.occurrences:
            due = job.start_at_s + entry.opened * job.interval_s
            if job.timed and wall_s < due:
                return
            entry.opened += 1

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


def _unknown_room(step: Step) -> int:
    del step
    return 0


def placements(registry: JobRegistry) -> Iterator[Placement]:
    """Return every run that some worker has."""
    for entry in registry.jobs.values():
        if entry.placed_once:
            yield from entry.placed


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
    )


def _has_run(row: TaskRow) -> bool:
    """Tell whether a run of a task is known to have started."""
    return row.done or row.failures > 0 or bool(row.checkpoint)


def _restore_task(task: TaskRun, row: TaskRow, now: float) -> None:
    task.run = row.run
    task.done = row.done
    task.failures = row.failures
    task.checkpoint = row.checkpoint
    if row.worker:
        task.placement = Placement(
            task=task.name,
            run=row.run,
            worker=WorkerId(row.worker),
            incarnation=row.incarnation,
            phase=Phase.STARTING,
            since=now,
            resumed=True,
        )
