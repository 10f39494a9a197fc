"""Stand-in for workers: runs, leases, fencing tokens, ends and permits.

Every start is recorded, so a test can ask afterwards whether a task ran in
two places, a worker was overfilled, or a done task was started again.
"""

from collections.abc import Sequence

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

_CALL_S = 0.002
_LOST_S = 0.8
_STOP_S = 0.3
_TICK_S = 0.02
_CHECKPOINT_S = 0.5
_MS_PER_S = 1000


class Behaviour(msgspec.Struct, kw_only=True):
    """How the tasks of a step behave in a test."""

    step: Step
    work_s: float = 1.0
    fails: int = 0


_USUAL = Behaviour(
    step=Step(count=1, need=Resources(milli_cores=100, memory_mib=10)),
)


class Look(msgspec.Struct, frozen=True, kw_only=True):
    """One look at a worker, and how many that don't wait were under way."""

    at: float
    wait_s: float
    under_way: int


class MemoryRun(msgspec.Struct, kw_only=True, eq=False):
    """One run on a worker."""

    order: StartOrder
    began: float
    stop_at: float | None = None


class MemoryWorker:
    """One worker, in one life after the other."""

    def __init__(self, *, entry: WorkerEntry, fleet: 'MemoryWorkers') -> None:
        """Start idle."""
        self.entry = entry
        self.silent = False
        self.fails_all = False
        self.slowness = 1.0
        self.delayed_starts = 0
        self.token = 0
        self.lease_until = 0.0
        self.runs: dict[tuple[TaskName, int], MemoryRun] = {}
        self.ends: list[EndReport] = []
        self.sealed: dict[TaskName, int] = {}
        self.acknowledged = 0
        self._number = 0
        self._fleet = fleet

    def crash(self, *, incarnation: int) -> None:
        """Forget everything and begin a new life."""
        self.entry = msgspec.structs.replace(
            self.entry, incarnation=incarnation
        )
        self.runs.clear()
        self.ends.clear()
        self.sealed.clear()
        self.token = 0
        self.acknowledged = 0
        self._number = 0

    def start(self, order: StartOrder) -> StartAnswer:
        """Carry out an order to start a run."""
        now = trio.current_time()
        if order.token < self.token:
            return StartAnswer.FENCED
        self.token = order.token
        key = (order.task, order.run)
        if key in self.runs:
            return StartAnswer.STARTED
        if order.run <= self.sealed.get(order.task, 0):
            return StartAnswer.STALE_RUN
        if order.lease_until_ms < now * _MS_PER_S:
            return StartAnswer.LATE
        self._extend(order.lease_until_ms)
        self._fleet.note_start(self, order)
        self.runs[key] = MemoryRun(order=order, began=now)
        return StartAnswer.STARTED

    def stop(self, task: TaskName, run: int, token: int) -> None:
        """Stop a run, or refuse it from now on."""
        self._check(token)
        found = self.runs.get((task, run))
        if found is None:
            self.sealed[task] = max(self.sealed.get(task, 0), run)
        elif found.stop_at is None:
            found.stop_at = trio.current_time() + _STOP_S

    def hold(self, order: PollOrder) -> None:
        """Extend the lease and forget acknowledged ends."""
        self._check(order.token)
        if order.lease_until_ms is not None:
            self._extend(order.lease_until_ms)
        self.acknowledged = max(self.acknowledged, order.acknowledged)
        for end in self.ends:
            if end.number <= order.acknowledged and end.end is End.DONE:
                self._fleet.noted.add(end.task)
        self.ends = [
            end for end in self.ends if end.number > order.acknowledged
        ]

    def tick(self) -> None:
        """End what has worked long enough, was stopped, or has lapsed."""
        now = trio.current_time()
        for key, run in list(self.runs.items()):
            end = self._end_of(key, run, now)
            if end is not None:
                self._list_end(key, end)

    def report(self) -> PollReport:
        """Return both lists."""
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
                    reading=0.0,
                )
                for (task, number), run in self.runs.items()
            ),
            ended=tuple(self.ends),
        )

    def _checkpoint(self, task: TaskName, run: MemoryRun, now: float) -> str:
        """Return a value that differs from member to member of a gang."""
        if not self._fleet.behaviour(task).step.checkpointing:
            return ''
        saved = int((now - run.began) / _CHECKPOINT_S)
        return f'{task.index}-{run.order.run}-{saved}' if saved else ''

    def _percent(self, task: TaskName, run: MemoryRun, now: float) -> float:
        work_s = self._work_s(task)
        return min(100.0, 100 * (now - run.began) / work_s)

    def _work_s(self, task: TaskName) -> float:
        return self.slowness * self._fleet.behaviour(task).work_s

    def _end_of(
        self, key: tuple[TaskName, int], run: MemoryRun, now: float
    ) -> End | None:
        behaviour = self._fleet.behaviour(key[0])
        if now > self.lease_until:
            return End.LAPSED
        if run.stop_at is not None and now >= run.stop_at:
            return End.STOPPED
        if self.fails_all or key[1] <= behaviour.fails:
            return End.FAILED
        if behaviour.step.gang and self._fleet.is_broken(key):
            return End.BROKEN
        if behaviour.step.lasting or now - run.began < self._work_s(key[0]):
            return None
        return End.DONE

    def _list_end(self, key: tuple[TaskName, int], end: End) -> None:
        self.runs.pop(key)
        task, run = key
        self.sealed[task] = max(self.sealed.get(task, 0), run)
        self._number += 1
        self.ends.append(
            EndReport(
                number=self._number,
                task=task,
                run=run,
                end=end,
                checkpoint='',
            ),
        )
        self._fleet.note_end(self, task, end)

    def _extend(self, until_ms: int) -> None:
        self.lease_until = max(self.lease_until, until_ms / _MS_PER_S)

    def _check(self, token: int) -> None:
        if token < self.token:
            raise OrderFencedError(worker=self.entry.id)
        self.token = token


class MemoryWorkers:
    """All workers of a test, and the record of what they ran."""

    def __init__(self) -> None:
        """Start without workers."""
        self.workers: dict[WorkerId, MemoryWorker] = {}
        self.behaviours: dict[tuple[str, int], Behaviour] = {}
        self.noted: set[TaskName] = set()
        self.starts: list[tuple[float, TaskName, int, WorkerId]] = []
        self.looks: list[Look] = []
        self.broken: list[str] = []
        self.done: set[TaskName] = set()
        self._checkpoints: dict[tuple[str, int, int], str] = {}

    def add(self, entry: WorkerEntry) -> MemoryWorker:
        """Add a worker."""
        worker = MemoryWorker(entry=entry, fleet=self)
        self.workers[entry.id] = worker
        return worker

    def behaviour(self, task: TaskName) -> Behaviour:
        """Return how a task behaves."""
        return self.behaviours.get((task.job, task.step), _USUAL)

    async def run(self) -> None:
        """Let time pass on all workers until cancelled."""
        while True:
            await trio.sleep(_TICK_S)
            for worker in self.workers.values():
                worker.tick()

    def note_start(self, worker: MemoryWorker, order: StartOrder) -> None:
        """Record a start and what it breaks."""
        task = order.task
        self._check_checkpoint(order)
        self.starts.append(
            (trio.current_time(), task, order.run, worker.entry.id),
        )
        for other in self.workers.values():
            if any(name == task for name, _ in other.runs):
                self.broken.append(f'{task} runs twice')
        if task in self.noted:
            self.broken.append(f'{task} started after its end was noted')
        used = charge(self.behaviour(task).step)
        for name, _ in worker.runs:
            used = used.plus(charge(self.behaviour(name).step))
        if not used.fits(worker.entry.capacity) and used != NO_RESOURCES:
            self.broken.append(f'{worker.entry.id} is over what it has')

    def is_broken(self, key: tuple[TaskName, int]) -> bool:
        """Tell whether another member of a gang's run has ended undone."""
        name, run = key
        running = {
            one for worker in self.workers.values() for one in worker.runs
        }
        return any(
            (task, number) not in running and task not in self.done
            for _, task, number, _ in self.starts
            if number == run and task.job == name.job and task.step == name.step
        )

    def note_end(self, worker: MemoryWorker, task: TaskName, end: End) -> None:
        """Record an end."""
        del worker
        if end is End.DONE:
            self.done.add(task)

    def orders(self) -> 'MemoryOrders':
        """Return the way to the workers."""
        return MemoryOrders(workers=self)

    def _check_checkpoint(self, order: StartOrder) -> None:
        """Record members of one gang run that begin at unequal points."""
        task = order.task
        if not self.behaviour(task).step.gang:
            return
        key = (task.job, task.step, order.run)
        first = self._checkpoints.setdefault(key, order.checkpoint)
        if first != order.checkpoint:
            self.broken.append(f'{task} begins at another checkpoint')


class MemoryOrders:
    """Orders to the workers of a test."""

    def __init__(self, *, workers: MemoryWorkers) -> None:
        """Reach all workers."""
        self._workers = workers
        self._not_waiting = 0

    async def start(
        self, *, worker: WorkerEntry, order: StartOrder
    ) -> StartAnswer:
        """Order the start of a run."""
        await trio.sleep(_CALL_S)
        found = self._workers.workers[worker.id]
        if found.silent:
            await trio.sleep(order.answer_s)
            return StartAnswer.SILENT
        if found.delayed_starts > 0:
            found.delayed_starts -= 1
            trio.lowlevel.spawn_system_task(_start_late, found, order)
            await trio.sleep(order.answer_s)
            return StartAnswer.SILENT
        return found.start(order)

    async def stop(
        self, *, worker: WorkerEntry, task: TaskName, run: int, token: Token
    ) -> None:
        """Stop a run."""
        (await self._reach(worker)).stop(task, run, token)

    async def poll(
        self, *, worker: WorkerEntry, order: PollOrder
    ) -> PollReport:
        """Extend the lease and wait for an end."""
        passing = order.wait_s == 0
        self._not_waiting += passing
        try:
            return await self._hold(worker, order)
        finally:
            self._not_waiting -= passing

    async def pace(
        self,
        *,
        worker: WorkerEntry,
        task: TaskName,
        run: int,
        percent: int,
        token: Token,
    ) -> None:
        """Do nothing: tasks of a test don't disturb each other."""
        del task, run, percent, token
        await self._reach(worker)

    async def _hold(self, worker: WorkerEntry, order: PollOrder) -> PollReport:
        self._workers.looks.append(
            Look(
                at=trio.current_time(),
                wait_s=order.wait_s,
                under_way=self._not_waiting,
            ),
        )
        found = await self._reach(worker)
        found.hold(order)
        with trio.move_on_after(order.wait_s):
            while not found.ends:
                await trio.sleep(_TICK_S)
        return (await self._reach(worker)).report()

    async def _reach(self, worker: WorkerEntry) -> MemoryWorker:
        await trio.sleep(_CALL_S)
        found = self._workers.workers[worker.id]
        if found.silent:
            await trio.sleep(_LOST_S)
            raise WorkerUnreachableError(worker=worker.id)
        return found


class MemoryAdvisor:
    """Grants permits, one call at a time, and counts calls."""

    def __init__(self, *, decide_s: float, valid_s: float) -> None:
        """Take so long for a call; permits hold so long."""
        self.calls: list[StepName] = []
        self.good: dict[str, set[WorkerId]] = {}
        self.refuses_all = False
        self._decide_s = decide_s
        self.valid_s = valid_s
        self._lock = trio.Lock()

    async def request_permits(
        self, *, step: StepName, workers: Sequence[WorkerId], timeout_s: float
    ) -> Permits | None:
        """Grant permits on the good workers, on all by default."""
        with trio.move_on_after(timeout_s):
            async with self._lock:
                self.calls.append(step)
                await trio.sleep(self._decide_s)
            good = self.good.get(step.job, set(workers))
            if self.refuses_all:
                good = set()
            return Permits(
                granted={
                    one: f'{one}/permit' for one in workers if one in good
                },
                valid_s=self.valid_s,
            )
        return None


async def _start_late(worker: MemoryWorker, order: StartOrder) -> None:
    await trio.sleep(3.0)
    worker.start(order)
