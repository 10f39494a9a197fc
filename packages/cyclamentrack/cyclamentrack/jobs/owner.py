"""The owner of a slice: takes jobs in, places tasks, and takes in ends.

One task follows the jobs, one the workers, one decides rounds, and one holds
each worker. All of them change the book only between two checkpoints, so no
locks are needed. What must outlive the owner goes through the journal before
anything that depends on it is sent.
"""

import logging
from collections.abc import Callable

import msgspec
import trio

from cyclamentrack.codec import encode
from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.dispatch import Dispatcher
from cyclamentrack.jobs.fleet import Fleet, Worker
from cyclamentrack.jobs.intake import JobIntake
from cyclamentrack.jobs.journal import Journal
from cyclamentrack.jobs.launch import Launcher, stop_until_ended
from cyclamentrack.jobs.loop_load import LoopLoad
from cyclamentrack.jobs.model import (
    Configuration,
    End,
    JobState,
    Queue,
)
from cyclamentrack.jobs.permits import (
    SHORT_CALL_S,
    PermitCache,
    PermitCall,
    PermitRoute,
)
from cyclamentrack.jobs.ports import (
    CellTables,
    EndReport,
    EntryDecoder,
    RowStore,
    Timings,
    WorkerOrders,
)
from cyclamentrack.jobs.records import (
    Claim,
    closed_key,
    step_key,
)
from cyclamentrack.jobs.recovery_leases import RecoveryHold
from cyclamentrack.jobs.registry import (
    Closed,
    JobRegistry,
    JobRun,
    Phase,
    Placement,
    StepRun,
    TaskRun,
)
from cyclamentrack.jobs.rounds import Assignment, Round
from cyclamentrack.jobs.worker_feed import WorkerRoster
from cyclamentrack.jobs.worker_health import (
    EstimateAccuracy,
    quarantine_worker,
    took_expected_time,
)

_log = logging.getLogger(__name__)

# Rounds that nothing woke: due times, permits and probations that end.
_IDLE_ROUND_S = 0.2
# So many runs that fail in a row, none done between, make a worker suspect.
_SUSPECT_FAILURES = 2
# A worker that takes longer to answer is silent, not busy.
_START_S = 0.3
# A commit that waits for so long stops further decisions: their starts could
# only pile up behind it.
_ROUND_STALL_S = 0.5


class OwnerDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """What an owner works with."""

    store: RowStore
    orders: WorkerOrders
    entry_decoder: EntryDecoder
    tables: CellTables
    timings: Timings
    configuration: Callable[[], Configuration | None]
    permit_routes: Callable[[PoolName], dict[str, PermitRoute]]
    wall_clock: Callable[[], float]
    steady_clock: Callable[[], float]


class SliceOwner:
    """Owns the jobs and the workers of one pool under one claim."""

    def __init__(
        self, *, claim: Claim, journal: Journal, parts: OwnerDependencies
    ) -> None:
        """Own nothing before ``run``."""
        self.claim = claim
        self.registry = JobRegistry()
        self.fleet = Fleet()
        self.trust = EstimateAccuracy()
        self.journal = journal
        self.loop_load = LoopLoad(pool=claim.pool, clock=parts.steady_clock)
        self.timings = parts.timings
        self.orders = parts.orders
        self.recovered = trio.Event()
        # When leases were last extended before the jobs were known.
        self.held_at: dict[WorkerId, float] = {}
        self.intake = JobIntake(owner=self, parts=parts)
        self._parts = parts
        self._store = parts.store
        self._wake = trio.Event()
        self._paused = False
        self._starting: list[Placement] = []
        self._nursery: trio.Nursery | None = None
        self._permits: PermitCache | None = None

    @property
    def nursery(self) -> trio.Nursery:
        """Where this owner's tasks run."""
        if self._nursery is None:
            raise RuntimeError('the owner does not run')
        return self._nursery

    async def run(self) -> None:
        """Own the slice until it is lost or this is cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.journal.run)
            permits = PermitCache(
                nursery=nursery,
                permit_routes=lambda: self._parts.permit_routes(
                    self.claim.pool
                ),
                on_answer=self.wake,
            )
            self._permits = permits
            launcher = Launcher(owner=self, nursery=nursery)
            intake = self.intake
            roster = WorkerRoster(owner=self, parts=self._parts)
            async with trio.open_nursery() as recovery:
                hold = RecoveryHold(owner=self, parts=self._parts)
                recovery.start_soon(hold.run)
                jobs_version = await intake.recover()
                recovery.cancel_scope.cancel()
            nursery.start_soon(intake.follow, jobs_version)
            nursery.start_soon(roster.follow)
            nursery.start_soon(roster.settle_unlisted)
            nursery.start_soon(intake.sweep)
            self.recovered.set()
            nursery.start_soon(self.loop_load.watch, self._count_waiting)
            await self._dispatch_rounds(permits, launcher)

    def wake(self) -> None:
        """Ask for a round."""
        self._wake.set()

    def pause(self) -> None:
        """Decide nothing more, before the slice is handed over."""
        self._paused = True

    def queue(self, entry: JobRun) -> Queue:
        """Return a job's queue as the configuration in force has it."""
        configuration = self._parts.configuration()
        found = configuration and configuration.queue(entry.job.queue)
        return found or entry.queue

    def typical_s(self, step: StepRun) -> float:
        """Return how long a task of a step should take, 0 if unknown."""
        entry = self.registry.jobs.get(step.name.job)
        if entry is None:
            return 0.0
        return self.trust.typical_s(entry.job.queue, step)

    def keep_step(self, step: StepRun) -> None:
        """Queue the step's record for the journal."""
        entry = self.registry.jobs.get(step.name.job)
        if entry is not None and entry.state is None:
            key = step_key(self.claim.pool, step.name)
            self.journal.put(key, step.record())

    def open_due(self, entry: JobRun) -> None:
        """Open the steps of a job whose turn has come."""
        self.registry.open_due_steps(
            entry,
            now=trio.current_time(),
            wall_s=self._parts.wall_clock(),
        )

    def run_ended(self, worker: Worker, report: EndReport) -> None:
        """Take in an end that a worker has listed."""
        worker.release(task=report.task, run=report.run)
        task = self.registry.task(report.task)
        step = self.registry.step_of(report.task)
        if task is None or step is None:
            return
        self._log_end(worker, report, task)
        self.registry.jobs[step.name.job].started = True
        current = self._clear(task, worker, report.run)
        if report.end is End.DONE:
            self._task_done(step, task, worker, current)
        elif current is not None:
            self._run_failed(step, task, worker, report)
        self.keep_step(step)
        self._after_end(step)

    def run_lost(self, placement: Placement, *, why: str) -> None:
        """Take a run back that is certain to run no more."""
        worker = self.fleet.workers.get(placement.worker)
        if worker is not None:
            worker.release(task=placement.task, run=placement.run)
        task = self.registry.task(placement.task)
        step = self.registry.step_of(placement.task)
        if task is None or step is None or task.placement is not placement:
            return
        _log.info(
            'run lost task=%s run=%d worker=%s why=%s',
            placement.task,
            placement.run,
            placement.worker,
            why,
        )
        self.registry.jobs[step.name.job].has_started()
        task.placement = None
        task.idle_since = trio.current_time()
        self.keep_step(step)
        self._after_end(step)

    def stop_run(self, placement: Placement) -> None:
        """Have a run stopped, until its end is listed."""
        if not placement.stopping:
            placement.stopping = True
            self.nursery.start_soon(stop_until_ended, self, placement)

    def close(self, entry: JobRun, state: JobState) -> None:
        """Give a job its final state and stop what still runs."""
        if entry.state is not None:
            return
        _log.info('job closed job=%s state=%s', entry.job.id, state.value)
        closed = self.registry.close(
            entry, state=state, wall_s=self._parts.wall_clock()
        )
        pool = self.claim.pool
        self.journal.put(closed_key(pool, entry.job.id), encode(closed))
        for step in entry.steps.values():
            self.journal.put(step_key(pool, step.name), None)
            self._forget_permits(step)
        for placement in entry.placed:
            self.stop_run(placement)
        self.nursery.start_soon(self._publish, entry, closed)

    def _forget_permits(self, step: StepRun) -> None:
        if self._permits is not None:
            self._permits.forget(step.name)

    def _clear(
        self, task: TaskRun, worker: Worker, run: int
    ) -> Placement | None:
        placement = task.placement
        if placement is None or placement.run != run:
            return None
        if placement.worker != worker.entry.id:
            return None
        task.placement = None
        task.idle_since = trio.current_time()
        return placement

    def _task_done(
        self,
        step: StepRun,
        task: TaskRun,
        worker: Worker,
        current: Placement | None,
    ) -> None:
        self._learn(worker, step, current)
        finished = step.tasks if step.step.gang else [task]
        for one in finished:
            one.done = True
        if not step.step.gang and task.placement is not None:
            self.stop_run(task.placement)

    def _learn(
        self, worker: Worker, step: StepRun, current: Placement | None
    ) -> None:
        """Learn from a run that is done how its worker does."""
        if current is None or not current.confirmed_at:
            worker.note_success()
            return
        worked = trio.current_time() - current.confirmed_at
        typical = self.typical_s(step)
        if typical:
            worker.learn_speed(worked, typical, step.step)
        if not current.resumed:
            entry = self.registry.jobs[step.name.job]
            self.trust.learn(entry.job.queue, step.step, worked)
            step.durations_s.append(worked)
            if len(step.durations_s) == 1:
                self.registry.update_critical_path(entry)
        if took_expected_time(worked, typical_s=typical) or not worker.probing:
            worker.note_success()
        else:
            quarantine_worker(worker, trio.current_time(), why='slow')

    def _run_failed(
        self,
        step: StepRun,
        task: TaskRun,
        worker: Worker,
        report: EndReport,
    ) -> None:
        if report.checkpoint:
            self.registry.save(report.task, report.checkpoint)
        if report.end is not End.FAILED:
            return
        self._blame(worker, task)
        members = step.tasks if step.step.gang else [task]
        for member in members:
            member.failures += 1
        entry = self.registry.jobs[step.name.job]
        limit = self.queue(entry).max_attempts
        if task.failures >= limit and not step.step.lasting:
            self.close(entry, JobState.FAILED)

    def _blame(self, worker: Worker, task: TaskRun) -> None:
        """Hold a failure against its worker, unless the task is at fault.

        A task that fails on a second worker clears the first.
        """
        now = trio.current_time()
        earlier = task.failed_on - {worker.entry.id}
        for name in earlier:
            former = self.fleet.workers.get(name)
            if former is not None and former.failures:
                former.failures -= 1
        if not earlier:
            worker.failures += 1
            if worker.probing or worker.failures >= _SUSPECT_FAILURES:
                quarantine_worker(worker, now, why='failures')
        task.failed_on.add(worker.entry.id)

    def _after_end(self, step: StepRun) -> None:
        entry = self.registry.jobs.get(step.name.job)
        if entry is None:
            return
        if step.done:
            self.registry.open_steps.pop(step.name, None)
            self._forget_permits(step)
        if not entry.placed:
            entry.idle_since = trio.current_time()
        if entry.state is None:
            self.open_due(entry)
            if self.registry.all_done(entry):
                self.close(entry, JobState.COMPLETED)
        elif entry.published and not entry.placed:
            self.registry.drop(entry)
        self.wake()

    async def _publish(self, entry: JobRun, closed: Closed) -> None:
        await self.journal.flushed()
        entry.published = True
        self.registry.closed[entry.job.id] = closed
        if not entry.placed:
            self.registry.drop(entry)

    async def _dispatch_rounds(
        self, permits: PermitCache, launcher: Launcher
    ) -> None:
        dispatcher = Dispatcher(
            registry=self.registry,
            fleet=self.fleet,
            permits=permits,
            urgent_queues=self._has_urgent_queues,
        )
        while True:
            with trio.move_on_after(_IDLE_ROUND_S):
                await self._wake.wait()
            await trio.sleep(self.loop_load.pause_s)
            self._wake = trio.Event()
            if self._paused or self.journal.commit_lag_s > _ROUND_STALL_S:
                continue
            with self.loop_load.measured_round():
                self._open_timed()
                outcome = dispatcher.decide(
                    trio.current_time(), most_starts=self._most_starts()
                )
                self._act(outcome, permits, launcher)

    def _act(
        self, outcome: Round, permits: PermitCache, launcher: Launcher
    ) -> None:
        permits.replace_calls(
            [
                PermitCall(
                    step=wish.step.name,
                    policy=wish.entry.queue.permits,
                    workers={
                        worker.entry.id: worker.incarnation
                        for worker in wish.workers
                    },
                    ahead=wish.ahead,
                )
                for wish in outcome.permit_requests
                if wish.entry.queue.permits is not None
            ],
            keep_own_short=self._has_short_permits(),
        )
        placed = [self._place(given) for given in outcome.assignments]
        for step in {
            id(one.step): one.step for one in outcome.assignments
        }.values():
            self.keep_step(step)
        if placed:
            self._starting.extend(placed)
            self.nursery.start_soon(launcher.launch, placed)

    def _most_starts(self) -> int:
        """Return how many more starts may be under way.

        A start that has long gone unanswered leaves its place to others.
        """
        since = trio.current_time() - _START_S
        self._starting = [
            one
            for one in self._starting
            if one.phase is Phase.STARTING and one.since > since
        ]
        return self.loop_load.most_starts - len(self._starting)

    def _has_urgent_queues(self) -> bool:
        configuration = self._parts.configuration()
        return configuration is not None and any(
            queue.pool == self.claim.pool and queue.priority == 0
            for queue in configuration.queues
        )

    def _has_short_permits(self) -> bool:
        configuration = self._parts.configuration()
        return configuration is not None and any(
            queue.pool == self.claim.pool
            and queue.permits is not None
            and queue.permits.decide_s <= SHORT_CALL_S
            for queue in configuration.queues
        )

    def _place(self, given: Assignment) -> Placement:
        task = given.task
        task.run += 1
        placement = Placement(
            task=task.name,
            run=task.run,
            worker=given.worker.entry.id,
            incarnation=given.worker.incarnation,
            phase=Phase.STARTING,
            since=trio.current_time(),
            permit=given.permit,
            resumed=bool(task.checkpoint),
        )
        task.placement = placement
        self.registry.jobs[task.name.job].placed_once = True
        return placement

    def _count_waiting(self) -> int:
        return sum(self.registry.waiting().values())

    def _open_timed(self) -> None:
        for entry in self.registry.jobs.values():
            if entry.job.timed and entry.state is None:
                self.open_due(entry)

    def _log_end(
        self, worker: Worker, report: EndReport, task: TaskRun
    ) -> None:
        placement = task.placement
        began = placement.since if placement else trio.current_time()
        _log.info(
            'run ended task=%s run=%d worker=%s end=%s after_ms=%d',
            report.task,
            report.run,
            worker.entry.id,
            report.end.value,
            int((trio.current_time() - began) * 1000),
        )
