"""In-memory workers with runs, leases, fencing tokens, ends and permits.

Every start is recorded. Tests check the record for a task that ran twice at
the same time, a worker whose capacity was exceeded, and a completed task that
was started again.
"""

from collections.abc import Callable, Sequence

import msgspec
import trio

from cyclamentrack.errors import WorkerUnreachableError
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import charge
from cyclamentrack.jobs.model import (
    End,
    Step,
    StepName,
    TaskName,
    Token,
    WorkerEntry,
)
from cyclamentrack.jobs.ports import (
    EndReport,
    OrderFencedError,
    Permits,
    PollOrder,
    PollReport,
    RunReport,
    StartAnswer,
    StartOrder,
)
from cyclamentrack.resources import NO_RESOURCES, Resources
from cyclamentrack_standins.links import Links

_CALL_DELAY_S = 0.002
_UNREACHABLE_S = 0.8
_LATE_START_S = 3.0
_STOP_DELAY_S = 0.3
_TICK_S = 0.02
_CHECKPOINT_S = 0.5
# A former capacity counts for the time in which an owner must notice, 3 s, and
# one heartbeat of the worker.
_RESIZE_GRACE_S = 4.5
_MS_PER_S = 1000
_MAX_ENDS = 500


class Behaviour(msgspec.Struct, kw_only=True):
    """How the tasks of a step behave: work time and number of failures.

    A run that fails does so ``fails_after_s`` after its start.
    The task with index ``crasher`` crashes each worker soon after its start,
    whose answer may be lost. Checkpoints have at least ``checkpoint_bytes``.
    Workers refuse starts without a permit if the step ``needs_permit``, and
    those in ``refused_by`` refuse all.
    """

    step: Step
    work_s: float = 1.0
    fails: int = 0
    fails_after_s: float = 0.0
    needs_permit: bool = False
    refused_by: frozenset[WorkerId] = frozenset()
    crasher: int | None = None
    crasher_answered: bool = True
    checkpoint_bytes: int = 0


_DEFAULT_BEHAVIOUR = Behaviour(
    step=Step(count=1, need=Resources(milli_cores=100, memory_mib=10)),
)


class PollRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One poll of a worker, and the non-waiting polls in progress then."""

    at: float
    wait_s: float
    in_progress: int


class MemoryRun(msgspec.Struct, kw_only=True, eq=False):
    """A run on a worker; times are in seconds of the test's clock.

    ``percent`` is the share of its full speed that was ordered last.
    """

    order: StartOrder
    started_at: float
    percent: int = 100
    stop_at: float | None = None


class MemoryWorker:
    """One worker, over all its incarnations.

    An ``unreachable`` worker answers no call but goes on with its runs, and one
    that is ``disconnected`` refuses connections. The client of one that is
    ``unusable`` raises errors that nobody expects. Each
    of the next ``delayed_starts`` starts is left unanswered and carried out
    later. ``barred_runs`` has the highest run of each task that was stopped or
    ended; runs up to it can't start any more.
    """

    def __init__(self, *, entry: WorkerEntry, workers: 'MemoryWorkers') -> None:
        """Start without runs."""
        self.entry = entry
        self.unreachable = False
        self.unusable = False
        self.disconnected = False
        self.fails_all = False
        self.slowness = 1.0
        self.delayed_starts = 0
        self.token = 0
        self.lease_until = 0.0
        self.runs: dict[tuple[TaskName, int], MemoryRun] = {}
        self.ends: list[EndReport] = []
        self.barred_runs: dict[TaskName, int] = {}
        self.acknowledged = 0
        self.most_waiting_ends = 0
        self._last_end_number = 0
        self._former_capacity = entry.capacity
        self._resized_at = 0.0
        self._workers = workers

    def crash(self, *, incarnation: int) -> None:
        """Lose all state and restart with a new incarnation."""
        self.entry = msgspec.structs.replace(
            self.entry, incarnation=incarnation
        )
        self.runs.clear()
        self.ends.clear()
        self.barred_runs.clear()
        self.token = 0
        self.acknowledged = 0
        self._last_end_number = 0

    def lose_power(self) -> None:
        """Lose all state and answer nothing until ``unreachable`` is unset."""
        self.unreachable = True
        self.crash(incarnation=self.entry.incarnation + 1)

    def resize(self, entry: WorkerEntry) -> None:
        """Take over an entry; a smaller capacity holds only after a while."""
        self._former_capacity = self.entry.capacity
        self._resized_at = trio.current_time()
        self.entry = entry

    def has_room(self, used: Resources) -> bool:
        """Return whether the worker's runs may use so much."""
        if used.fits(self.entry.capacity):
            return True
        settled = trio.current_time() > self._resized_at + _RESIZE_GRACE_S
        return not settled and used.fits(self._former_capacity)

    def vanish(self) -> None:
        """Lose all runs and refuse connections from now on."""
        self.runs.clear()
        self.disconnected = True

    def start(self, order: StartOrder) -> StartAnswer:
        """Start a run, or return why it can't start."""
        now = trio.current_time()
        if order.token < self.token:
            return StartAnswer.FENCED
        self.token = order.token
        key = (order.task, order.run)
        if key in self.runs:
            return StartAnswer.STARTED
        if order.run <= self.barred_runs.get(order.task, 0):
            return StartAnswer.STALE_RUN
        if order.lease_until_ms < now * _MS_PER_S:
            return StartAnswer.LATE
        if self._workers.refuses(self, order):
            return StartAnswer.NO_PERMIT
        self._extend(order.lease_until_ms)
        self._workers.record_start(self, order)
        self.runs[key] = MemoryRun(order=order, started_at=now)
        return StartAnswer.STARTED

    def stop(self, task: TaskName, run: int, token: int) -> None:
        """Stop a run, or bar it from starting if it has not started yet."""
        self._check_token(token)
        current = self.runs.get((task, run))
        if current is None:
            self.barred_runs[task] = max(self.barred_runs.get(task, 0), run)
        elif current.stop_at is None:
            current.stop_at = trio.current_time() + _STOP_DELAY_S

    def poll(self, order: PollOrder) -> None:
        """Extend the lease and drop acknowledged ends of this incarnation."""
        self._check_token(order.token)
        if order.lease_until_ms is not None:
            self._extend(order.lease_until_ms)
        if order.incarnation != self.entry.incarnation:
            return
        self.acknowledged = max(self.acknowledged, order.acknowledged)
        for end in self.ends:
            if end.number <= order.acknowledged and end.end is End.DONE:
                self._workers.acknowledged_tasks.add(end.task)
        self.ends = [
            end for end in self.ends if end.number > order.acknowledged
        ]

    def tick(self) -> None:
        """End runs that completed, failed, were stopped or lost the lease."""
        now = trio.current_time()
        if any(self._is_crasher(task) for task, _ in self.runs):
            self.vanish()
        for key, run in list(self.runs.items()):
            end = self._end_of(key, run, now)
            if end is not None:
                self._record_run_end(key, end)

    def is_answered(self, task: TaskName) -> bool:
        """Return whether the answer to a task's start arrives."""
        if not self._is_crasher(task):
            return True
        return self._workers.behaviour(task).crasher_answered

    def report(self) -> PollReport:
        """Return the lists of current runs and of unacknowledged ends."""
        now = trio.current_time()
        return PollReport(
            incarnation=self.entry.incarnation,
            clock_ms=int(now * _MS_PER_S),
            running=tuple(
                RunReport(
                    task=task,
                    run=number,
                    checkpoint=self._checkpoint(task, run, now),
                    percent=self._percent(task, run, now),
                    reading=self._workers.readings.get(task.job, 0.0),
                )
                for (task, number), run in self.runs.items()
            ),
            ended=tuple(self.ends[:_MAX_ENDS]),
            complete=len(self.ends) < _MAX_ENDS,
        )

    def _is_crasher(self, task: TaskName) -> bool:
        return self._workers.behaviour(task).crasher == task.index

    def _checkpoint(self, task: TaskName, run: MemoryRun, now: float) -> str:
        """Return the run's latest checkpoint.

        It is different for each member of a gang.
        """
        behaviour = self._workers.behaviour(task)
        saved = int((now - run.started_at) / _CHECKPOINT_S)
        if not behaviour.step.checkpointing or not saved:
            return ''
        checkpoint = f'{task.index}-{run.order.run}-{saved}'
        return checkpoint.ljust(behaviour.checkpoint_bytes, '-')

    def _percent(self, task: TaskName, run: MemoryRun, now: float) -> float:
        work_s = self._work_s(task)
        return min(100.0, 100 * (now - run.started_at) / work_s)

    def _work_s(self, task: TaskName) -> float:
        return self.slowness * self._workers.behaviour(task).work_s

    def _end_of(
        self, key: tuple[TaskName, int], run: MemoryRun, now: float
    ) -> End | None:
        behaviour = self._workers.behaviour(key[0])
        if now > self.lease_until:
            return End.LEASE_EXPIRED
        if run.stop_at is not None and now >= run.stop_at:
            return End.STOPPED
        worked_s = now - run.started_at
        if self.fails_all or (
            key[1] <= behaviour.fails and worked_s >= behaviour.fails_after_s
        ):
            return End.FAILED
        if behaviour.step.gang and self._workers.has_failed_member(key):
            return End.BROKEN
        if behaviour.step.lasting or worked_s < self._work_s(key[0]):
            return None
        return End.DONE

    def _record_run_end(self, key: tuple[TaskName, int], end: End) -> None:
        self.runs.pop(key)
        task, run = key
        self.barred_runs[task] = max(self.barred_runs.get(task, 0), run)
        self._last_end_number += 1
        self.ends.append(
            EndReport(
                number=self._last_end_number,
                task=task,
                run=run,
                end=end,
                checkpoint='',
            ),
        )
        self.most_waiting_ends = max(self.most_waiting_ends, len(self.ends))
        self._workers.record_end(self, task, end)

    def _extend(self, until_ms: int) -> None:
        self.lease_until = max(self.lease_until, until_ms / _MS_PER_S)

    def _check_token(self, token: int) -> None:
        if token < self.token:
            raise OrderFencedError(worker=self.entry.id)
        self.token = token


class MemoryWorkers:
    """All workers of a test, and the record of their runs and polls.

    ``readings`` are the response times that the tasks of a job report.
    ``paces`` counts the orders to pace a task, and ``lost_paces`` those to come
    that are lost. ``on_start`` is called before each start.
    """

    def __init__(self, *, links: Links | None = None) -> None:
        """Start without workers; ``links`` tells which nodes reach them."""
        self.links = links or Links()
        self.workers: dict[WorkerId, MemoryWorker] = {}
        self.behaviours: dict[tuple[str, int], Behaviour] = {}
        self.acknowledged_tasks: set[TaskName] = set()
        self.starts: list[tuple[float, TaskName, int, WorkerId]] = []
        self.refused_starts: list[tuple[float, TaskName, WorkerId]] = []
        self.polls: list[PollRecord] = []
        self.readings: dict[str, float] = {}
        self.paces = 0
        self.lost_paces = 0
        self.violations: list[str] = []
        self.on_start: Callable[[StartOrder], None] | None = None
        self.completed_tasks: set[TaskName] = set()
        self._checkpoints: dict[tuple[str, int, int], str] = {}

    def add(self, entry: WorkerEntry) -> MemoryWorker:
        """Add a worker."""
        worker = MemoryWorker(entry=entry, workers=self)
        self.workers[entry.id] = worker
        return worker

    def behaviour(self, task: TaskName) -> Behaviour:
        """Return how a task behaves."""
        return self.behaviours.get((task.job, task.step), _DEFAULT_BEHAVIOUR)

    async def run(self) -> None:
        """Advance the runs of all workers until cancelled."""
        while True:
            await trio.sleep(_TICK_S)
            for worker in self.workers.values():
                worker.tick()

    def record_start(self, worker: MemoryWorker, order: StartOrder) -> None:
        """Record a start and the rules that it violates."""
        task = order.task
        if self.on_start is not None:
            self.on_start(order)
        self._check_checkpoint(order)
        self.starts.append(
            (trio.current_time(), task, order.run, worker.entry.id),
        )
        for other in self.workers.values():
            if any(name == task for name, _ in other.runs):
                self.violations.append(f'{task} runs twice')
        if task in self.acknowledged_tasks:
            self.violations.append(
                f'{task} started after its end was acknowledged'
            )
        used = charge(self.behaviour(task).step)
        for name, _ in worker.runs:
            used = used.plus(charge(self.behaviour(name).step))
        if not worker.has_room(used) and used != NO_RESOURCES:
            self.violations.append(f'{worker.entry.id} exceeds its capacity')

    def refuses(self, worker: MemoryWorker, order: StartOrder) -> bool:
        """Return whether a worker refuses a start for want of a permit."""
        behaviour = self.behaviour(order.task)
        name = worker.entry.id
        refused = name in behaviour.refused_by or (
            behaviour.needs_permit and not order.permit
        )
        if refused:
            self.refused_starts.append((trio.current_time(), order.task, name))
        return refused

    def has_failed_member(self, key: tuple[TaskName, int]) -> bool:
        """Return whether another member of a gang's run ended incomplete."""
        name, run = key
        running = {
            one for worker in self.workers.values() for one in worker.runs
        }
        return any(
            (task, number) not in running and task not in self.completed_tasks
            for _, task, number, _ in self.starts
            if number == run and task.job == name.job and task.step == name.step
        )

    def record_end(
        self, worker: MemoryWorker, task: TaskName, end: End
    ) -> None:
        """Record an end."""
        del worker
        if end is End.DONE:
            self.completed_tasks.add(task)

    def orders(self, node: str = '') -> 'MemoryOrders':
        """Return a client that sends a node's orders to the workers."""
        return MemoryOrders(workers=self, node=node)

    def _check_checkpoint(self, order: StartOrder) -> None:
        """Record members of one gang run that start at unequal checkpoints."""
        task = order.task
        if not self.behaviour(task).step.gang:
            return
        key = (task.job, task.step, order.run)
        expected = self._checkpoints.setdefault(key, order.checkpoint)
        if expected != order.checkpoint:
            self.violations.append(
                f'{task} starts at another checkpoint than its gang'
            )


class MemoryOrders:
    """Client of the workers; it simulates delays and faults."""

    def __init__(self, *, workers: MemoryWorkers, node: str) -> None:
        """Send orders of a node to these workers."""
        self._workers = workers
        self._node = node
        self._non_waiting_polls = 0

    async def start(
        self, *, worker: WorkerEntry, order: StartOrder
    ) -> StartAnswer:
        """Order a worker to start a run."""
        await trio.sleep(_CALL_DELAY_S)
        target = self._find(worker)
        if target.disconnected:
            return StartAnswer.NOT_SENT
        if self._is_unreachable(target):
            await trio.sleep(order.answer_s)
            return StartAnswer.NO_ANSWER
        if target.delayed_starts > 0:
            target.delayed_starts -= 1
            trio.lowlevel.spawn_system_task(_start_late, target, order)
            await trio.sleep(order.answer_s)
            return StartAnswer.NO_ANSWER
        answer = target.start(order)
        if not target.is_answered(order.task):
            return StartAnswer.NO_ANSWER
        return answer

    async def stop(
        self, *, worker: WorkerEntry, task: TaskName, run: int, token: Token
    ) -> None:
        """Stop a run."""
        (await self._reach(worker)).stop(task, run, token)

    async def poll(
        self, *, worker: WorkerEntry, order: PollOrder
    ) -> PollReport:
        """Extend the lease and wait up to ``wait_s`` for an end."""
        non_waiting = order.wait_s == 0
        self._non_waiting_polls += non_waiting
        try:
            return await self._poll(worker, order)
        finally:
            self._non_waiting_polls -= non_waiting

    async def pace(
        self,
        *,
        worker: WorkerEntry,
        task: TaskName,
        run: int,
        percent: int,
        token: Token,
    ) -> None:
        """Record a run's pace; runs of a test don't slow each other down."""
        del token
        self._workers.paces += 1
        target = await self._reach(worker)
        if self._workers.lost_paces > 0:
            self._workers.lost_paces -= 1
            await trio.sleep(_UNREACHABLE_S)
            raise WorkerUnreachableError(worker=worker.id)
        paced = target.runs.get((task, run))
        if paced is not None:
            paced.percent = percent

    async def _poll(self, worker: WorkerEntry, order: PollOrder) -> PollReport:
        self._workers.polls.append(
            PollRecord(
                at=trio.current_time(),
                wait_s=order.wait_s,
                in_progress=self._non_waiting_polls,
            ),
        )
        target = await self._reach(worker)
        incarnation = target.entry.incarnation
        target.poll(order)
        with trio.move_on_after(order.wait_s):
            while not target.ends:
                await trio.sleep(_TICK_S)
        report = (await self._reach(worker)).report()
        if report.incarnation != incarnation:
            raise WorkerUnreachableError(worker=worker.id, disconnected=True)
        return report

    def _find(self, worker: WorkerEntry) -> MemoryWorker:
        target = self._workers.workers[worker.id]
        if target.unusable:
            raise ValueError(worker.address)
        return target

    async def _reach(self, worker: WorkerEntry) -> MemoryWorker:
        await trio.sleep(_CALL_DELAY_S)
        target = self._find(worker)
        if target.disconnected:
            raise WorkerUnreachableError(worker=worker.id, disconnected=True)
        if self._is_unreachable(target):
            await trio.sleep(_UNREACHABLE_S)
            raise WorkerUnreachableError(worker=worker.id)
        return target

    def _is_unreachable(self, target: MemoryWorker) -> bool:
        links = self._workers.links
        return target.unreachable or not links.connected(
            self._node, target.entry.id
        )


class MemoryPermitService:
    """Grants permits and records the calls.

    It handles one call at a time for each node; ``for_node`` returns the
    client of one.
    """

    def __init__(
        self, *, decide_s: float, valid_s: float, each_s: float = 0.0
    ) -> None:
        """Take ``decide_s`` a call and ``each_s`` for each worker named.

        Permits are valid for ``valid_s``.
        """
        self.calls: list[StepName] = []
        self.permitted: dict[str, set[WorkerId]] = {}
        self.refuses_all = False
        self.decide_s = decide_s
        self.each_s = each_s
        self.valid_s = valid_s

    def for_node(self) -> 'MemoryPermitClient':
        """Return a client whose calls wait for one another only."""
        return MemoryPermitClient(service=self)

    def answer(self, step: StepName, workers: Sequence[WorkerId]) -> Permits:
        """Grant permits for the permitted workers, by default for all."""
        permitted = self.permitted.get(step.job, set(workers))
        if self.refuses_all:
            permitted = set()
        return Permits(
            granted={
                one: f'{one}/permit' for one in workers if one in permitted
            },
            valid_s=self.valid_s,
        )


class MemoryPermitClient:
    """The permit service as one node calls it."""

    def __init__(self, *, service: MemoryPermitService) -> None:
        """Call one service; ``unanswered`` calls get no answer."""
        self.unanswered = False
        self._service = service
        self._lock = trio.Lock()

    async def request_permits(
        self, *, step: StepName, workers: Sequence[WorkerId], timeout_s: float
    ) -> Permits | None:
        """Return the permits, or ``None`` if the timeout passes first."""
        service = self._service
        with trio.move_on_after(timeout_s):
            if self.unanswered:
                await trio.sleep_forever()
            async with self._lock:
                service.calls.append(step)
                await trio.sleep(
                    service.decide_s + service.each_s * len(workers)
                )
            return service.answer(step, workers)
        return None


async def _start_late(worker: MemoryWorker, order: StartOrder) -> None:
    """Carry out a start late, unless the worker has lost all it held since."""
    incarnation = worker.entry.incarnation
    await trio.sleep(_LATE_START_S)
    if worker.entry.incarnation == incarnation:
        worker.start(order)
