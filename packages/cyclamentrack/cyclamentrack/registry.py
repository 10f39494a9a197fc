"""The registry of one partition's works, built by applying events.

Applying the same events in the same order always gives the same registry, so
a successor rebuilds the owner's registry from a snapshot and the journal.
"""

import enum
from collections.abc import Iterator

import msgspec

from cyclamentrack import defaults
from cyclamentrack.errors import Ran
from cyclamentrack.events import (
    Accepted,
    Cancelled,
    Ended,
    Event,
    Placed,
    work_of,
)
from cyclamentrack.ids import AttemptId, PartitionId, WorkId, attempt_id
from cyclamentrack.messages import Site
from cyclamentrack.work import (
    FINAL_STAGES,
    Kind,
    Outcome,
    Stage,
    Work,
    WorkView,
)


class Phase(enum.Enum):
    """The phase of one task."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


class TaskRecord(msgspec.Struct, kw_only=True):
    """One task of a work and its latest attempt.

    ``failures`` counts the attempts that ran and did not succeed.
    """

    phase: Phase = Phase.WAITING
    attempt: int = 0
    site: Site | None = None
    outcome: Outcome | None = None
    answer: str = ''
    failures: int = 0


class WorkRecord(msgspec.Struct, kw_only=True):
    """One work with the state of its tasks.

    ``position`` is the position of its last event in the owner's journal.
    """

    work: Work
    tasks: list[TaskRecord]
    stage: Stage = Stage.QUEUED
    cancelled: bool = False
    reason: str = ''
    started: bool = False
    position: int = 0

    @property
    def final(self) -> bool:
        """Whether the work has ended."""
        return self.stage in FINAL_STAGES

    def waiting(self) -> list[int]:
        """Return the indexes of the tasks that wait for capacity."""
        return [
            index
            for index, task in enumerate(self.tasks)
            if task.phase is Phase.WAITING
        ]

    def placed(self) -> Iterator[tuple[AttemptId, TaskRecord]]:
        """Yield the attempts that are placed and have not ended."""
        for index, task in enumerate(self.tasks):
            if task.phase is Phase.PLACED:
                yield self.attempt(index), task

    def attempt(self, index: int) -> AttemptId:
        """Return the id of a task's latest attempt."""
        return attempt_id(
            work=self.work.id,
            task=index,
            attempt=self.tasks[index].attempt,
        )

    def view(self) -> WorkView:
        """Return the view that callers get."""
        return WorkView(
            id=self.work.id,
            stage=self.stage,
            ran=self._ran(),
            tasks=len(self.tasks),
            running=self._count(Phase.PLACED),
            done=self._count(Phase.DONE),
            answers=(
                [task.answer for task in self.tasks] if self.final else []
            ),
            reason=self.reason,
        )

    def _count(self, phase: Phase) -> int:
        return sum(1 for task in self.tasks if task.phase is phase)

    def _ran(self) -> Ran:
        if self.stage is Stage.UNKNOWN:
            return Ran.UNKNOWN
        if any(task.outcome is Outcome.LOST for task in self.tasks):
            return Ran.UNKNOWN
        if self.started:
            return Ran.YES
        if any(task.phase is Phase.PLACED for task in self.tasks):
            return Ran.UNKNOWN
        return Ran.NO


class RegistryImage(msgspec.Struct, frozen=True, kw_only=True):
    """The snapshot of a registry."""

    records: list[WorkRecord]


class WorkRegistry:
    """The works of one partition."""

    def __init__(self, *, partition: PartitionId) -> None:
        """Start empty."""
        self.partition = partition
        self._records: dict[WorkId, WorkRecord] = {}

    @classmethod
    def restore(
        cls, *, partition: PartitionId, image: RegistryImage
    ) -> 'WorkRegistry':
        """Build a registry from a snapshot.

        Positions are reset to 0: they refer to the earlier owner's journal.
        """
        registry = cls(partition=partition)
        registry._records = {record.work.id: record for record in image.records}
        for record in image.records:
            record.position = 0
        return registry

    def __len__(self) -> int:
        """Return the number of works."""
        return len(self._records)

    def records(self) -> Iterator[WorkRecord]:
        """Yield all records in the order in which they were accepted."""
        yield from self._records.values()

    def find(self, work: WorkId) -> WorkRecord | None:
        """Return a work's record, or ``None``."""
        return self._records.get(work)

    def remove(self, work: WorkId) -> None:
        """Remove a work whose accept was withdrawn."""
        self._records.pop(work, None)

    def image(self) -> RegistryImage:
        """Drop the oldest ended works and return a snapshot of the rest.

        ``FINISHED_WORKS_LIMIT`` ended works are retained.
        """
        self._trim()
        return RegistryImage(records=list(self._records.values()))

    def apply(self, event: Event) -> WorkRecord | None:
        """Apply an event; return the record that it changed, if any."""
        match event:
            case Accepted(work=work):
                return self._accept(work)
            case Placed() | Ended() | Cancelled():
                record = self._records.get(work_of(event))
                if record is None or record.final:
                    return None
                return _change(record, event)

    def _accept(self, work: Work) -> WorkRecord | None:
        if work.id in self._records:
            return None
        record = WorkRecord(
            work=work,
            tasks=[TaskRecord() for _ in range(work.tasks)],
        )
        self._records[work.id] = record
        return record

    def _trim(self) -> None:
        ended = [work for work, record in self._records.items() if record.final]
        surplus = len(ended) - defaults.FINISHED_WORKS_LIMIT
        for work in ended[: max(surplus, 0)]:
            self._records.pop(work)


def _change(
    record: WorkRecord, event: Placed | Ended | Cancelled
) -> WorkRecord | None:
    match event:
        case Placed(tasks=placed):
            for entry in placed:
                _place(record.tasks[entry.task], entry.attempt, entry.site)
        case Ended():
            task = record.tasks[event.task]
            if task.phase is not Phase.PLACED or task.attempt != event.attempt:
                return None
            _end(record, task, event)
        case Cancelled(reason=reason):
            record.cancelled = True
            record.reason = reason
            for task in record.tasks:
                _cancel_task(task)
    record.stage = _stage(record)
    return record


def _place(task: TaskRecord, attempt: int, site: Site) -> None:
    if attempt <= task.attempt:
        return  # a snapshot already holds it; replay must not undo its end
    task.phase = Phase.PLACED
    task.attempt = attempt
    task.site = site
    task.outcome = None


def _cancel_task(task: TaskRecord) -> None:
    if task.phase is Phase.WAITING:
        task.phase = Phase.DONE
        task.outcome = task.outcome or Outcome.NEVER


def _end(record: WorkRecord, task: TaskRecord, event: Ended) -> None:
    task.outcome = event.outcome
    task.answer = event.answer
    if event.outcome is not Outcome.NEVER:
        record.started = True
    if event.outcome is Outcome.FAILED:
        task.failures += 1
    if record.work.kind is Kind.GANG:
        task.phase = Phase.DONE
        _end_gang(record)
        return
    may_retry = not record.cancelled and _may_run_again(record.work, task)
    task.phase = Phase.WAITING if may_retry else Phase.DONE


def _may_run_again(work: Work, task: TaskRecord) -> bool:
    if task.outcome is Outcome.NEVER:
        return True
    if work.kind is Kind.SERVICE:
        return work.idempotent or task.outcome is not Outcome.LOST
    if task.outcome is Outcome.SUCCEEDED:
        return False
    return work.idempotent and task.failures < defaults.MAX_ATTEMPTS


def _end_gang(record: WorkRecord) -> None:
    """Let a gang run again as a whole, once none of its tasks is placed."""
    if record.cancelled or any(
        task.phase is not Phase.DONE for task in record.tasks
    ):
        return
    outcomes = {task.outcome for task in record.tasks}
    if outcomes == {Outcome.SUCCEEDED}:
        return
    never_started = outcomes == {Outcome.NEVER}
    tries = max(task.failures for task in record.tasks)
    if never_started or (
        record.work.idempotent and tries < defaults.MAX_ATTEMPTS
    ):
        for task in record.tasks:
            task.phase = Phase.WAITING


def _stage(record: WorkRecord) -> Stage:
    phases = {task.phase for task in record.tasks}
    if phases != {Phase.DONE}:
        return Stage.RUNNING if Phase.PLACED in phases else Stage.QUEUED
    outcomes = {task.outcome for task in record.tasks}
    if outcomes == {Outcome.SUCCEEDED}:
        return Stage.SUCCEEDED
    if record.cancelled and record.work.idempotent:
        return Stage.CANCELLED
    if Outcome.LOST in outcomes:
        return Stage.UNKNOWN
    if record.cancelled:
        return Stage.CANCELLED
    if Outcome.STOPPED in outcomes:
        return Stage.UNKNOWN
    return Stage.FAILED
