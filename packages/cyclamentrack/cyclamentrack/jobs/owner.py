"""The owner of a slice: accepts jobs, places tasks and processes run ends.

One trio task follows the jobs, one follows the workers, one decides rounds,
and one polls each worker. They change the registry only between two trio
checkpoints, so no locks are needed. State that must outlive the owner is
written to the journal before any message that depends on it is sent.
"""

import logging
from collections.abc import Callable, Iterable

import msgspec
import trio

from cyclamentrack.codec import encode
from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.account_caps import AccountCaps
from cyclamentrack.jobs.accounts import AccountName
from cyclamentrack.jobs.admission import PoolFigures
from cyclamentrack.jobs.backlog import Backlog
from cyclamentrack.jobs.capacity_index import total
from cyclamentrack.jobs.crashes import CrashedRun, suspect
from cyclamentrack.jobs.dispatch import Dispatcher
from cyclamentrack.jobs.fair_share import AccountRates
from cyclamentrack.jobs.feeds import FeedHealth, Rollout
from cyclamentrack.jobs.fleet import Fleet, Worker
from cyclamentrack.jobs.intake import JobIntake
from cyclamentrack.jobs.journal import Journal
from cyclamentrack.jobs.launch import Launcher, stop_until_ended
from cyclamentrack.jobs.lease_quorum import LeaseQuorum
from cyclamentrack.jobs.loop_load import LoopLoad
from cyclamentrack.jobs.model import (
    Configuration,
    End,
    Job,
    JobState,
    Queue,
    StepName,
)
from cyclamentrack.jobs.permits import (
    SHORT_CALL_S,
    PermitCache,
    PermitCall,
    PermitRoute,
)
from cyclamentrack.jobs.ports import (
    DEFAULT_ROW_BYTES,
    CellTables,
    EndReport,
    EntryDecoder,
    RowKey,
    RowStore,
    StartAnswer,
    Timings,
    WorkerOrders,
)
from cyclamentrack.jobs.records import (
    VOTERS,
    Claim,
    closed_key,
    recorded_job,
    step_key,
)
from cyclamentrack.jobs.recovery_leases import RecoveryLeases
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
from cyclamentrack.jobs.voters import VoterRecorder
from cyclamentrack.jobs.worker_feed import WorkerFeed
from cyclamentrack.jobs.worker_health import (
    EstimateAccuracy,
    quarantine_worker,
    took_expected_time,
)
from cyclamentrack.metrics import Metrics

_log = logging.getLogger(__name__)

# A round runs at least this often, because due times, expiring permits and
# ending quarantines don't wake the loop.
_MAX_ROUND_INTERVAL_S = 0.2
# A worker is quarantined after this many failed runs without a completed one
# in between.
_QUARANTINE_FAILURES = 2
# A start without an answer for this long no longer counts as under way: the
# worker is unreachable rather than busy.
_START_ANSWER_S = 0.3
# No rounds are decided while a journal commit takes longer than this: further
# starts would only queue up behind it.
_MAX_COMMIT_LAG_S = 0.5


class OwnerDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Interfaces, settings and clocks that a slice owner uses."""

    store: RowStore
    orders: WorkerOrders
    entry_decoder: EntryDecoder
    tables: CellTables
    timings: Timings
    configuration: Callable[[], Configuration | None]
    permit_routes: Callable[[PoolName], dict[str, PermitRoute]]
    metrics: Metrics
    wall_clock: Callable[[], float]
    steady_clock: Callable[[], float]
    suspended_s: Callable[[], float]
    row_bytes: int = DEFAULT_ROW_BYTES
    # The bytes that the jobs of a pool may take, ``None`` without a limit.
    memory_limit: Callable[[], int | None] = lambda: None
    # How long a newer configuration may have been stored without being known
    # here, and when the known one was stored.
    configuration_age_s: Callable[[], float] = float
    configuration_rollout: Callable[[], Rollout] = Rollout


class SliceOwner:
    """Owns the jobs and the workers of one pool under one claim."""

    def __init__(
        self, *, claim: Claim, journal: Journal, dependencies: OwnerDependencies
    ) -> None:
        """Create the owner; it does nothing until ``run``."""
        self.claim = claim
        self.registry = JobRegistry(row_bytes=dependencies.row_bytes)
        self.fleet = Fleet()
        # A worker that leaves as planned is listed as draining for drain_s.
        self.worker_list = FeedHealth(
            name='workers',
            suspended_s=dependencies.suspended_s,
            longest_gap_s=dependencies.timings.drain_s,
        )
        self.quorum = LeaseQuorum(
            claim=claim, suspended_s=dependencies.suspended_s
        )
        self.estimate_accuracy = EstimateAccuracy()
        self.account_rates = AccountRates(weight=self.account_weight)
        self.journal = journal
        journal.on_refused = self._give_up_unrecorded
        self.backlog = Backlog(registry=self.registry)
        self.loop_load = LoopLoad(
            pool=claim.pool, clock=dependencies.steady_clock
        )
        self.timings = dependencies.timings
        self.orders = dependencies.orders
        self.metrics = dependencies.metrics
        self.recovered = trio.Event()
        # When each worker's lease was last extended during the recovery, while
        # the jobs were not known yet.
        self.recovery_leases_sent_at: dict[WorkerId, float] = {}
        self.intake = JobIntake(owner=self, dependencies=dependencies)
        self.caps = AccountCaps(
            claim=claim, dependencies=dependencies, on_change=self.wake
        )
        self.registry.cap_of = self.caps.cap
        self.registry.memory_limit = dependencies.memory_limit
        self._dependencies = dependencies
        self._store = dependencies.store
        self._wake = trio.Event()
        self._paused = False
        self._applied_configuration: Configuration | None = None
        self._starting: list[Placement] = []
        self._nursery: trio.Nursery | None = None
        self._permits: PermitCache | None = None

    @property
    def nursery(self) -> trio.Nursery:
        """The nursery that this owner's trio tasks run in."""
        if self._nursery is None:
            raise RuntimeError(
                'the slice owner has no nursery; start it with run() first'
            )
        return self._nursery

    async def run(self) -> None:
        """Recover the slice and run it until it is lost or cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.journal.run)
            permits = PermitCache(
                nursery=nursery,
                permit_routes=lambda: self._dependencies.permit_routes(
                    self.claim.pool
                ),
                on_answer=self.wake,
            )
            self._permits = permits
            launcher = Launcher(owner=self, nursery=nursery)
            intake = self.intake
            worker_feed = WorkerFeed(
                owner=self, dependencies=self._dependencies
            )
            async with trio.open_nursery() as recovery:
                leases = RecoveryLeases(
                    owner=self, dependencies=self._dependencies
                )
                recovery.start_soon(leases.run)
                jobs_version = await intake.recover()
                recovery.cancel_scope.cancel()
            for task in (
                worker_feed.follow,
                worker_feed.drop_unlisted_runs,
                VoterRecorder(owner=self).run,
                intake.remove_expired_jobs,
                intake.load_parked_jobs,
                intake.tombstones.run,
                self.caps.rows.run,
            ):
                nursery.start_soon(task)
            nursery.start_soon(intake.follow, jobs_version)
            self.recovered.set()
            self.metrics.observe(
                'slice_recovery', trio.current_time() - self.claim.claimed_at
            )
            nursery.start_soon(self.loop_load.watch, self._count_waiting)
            await self._dispatch_rounds(permits, launcher)

    def wake(self) -> None:
        """Request a scheduling round."""
        self._wake.set()

    def pause(self) -> None:
        """Stop deciding rounds, before the slice is handed over."""
        self._paused = True

    def queue(self, job: Job) -> Queue:
        """Return the queue whose terms hold for a job.

        These are the present terms while the queue is configured, and
        otherwise those under which the job was accepted.
        """
        configuration = self._dependencies.configuration()
        configured = configuration and configuration.queue(job.queue)
        return configured or job.terms or _queue_without_terms(job)

    def account_weight(self, name: AccountName) -> float | None:
        """Return an account's weight, ``None`` if it isn't configured."""
        configuration = self._dependencies.configuration()
        account = configuration and configuration.account_index.named(name)
        return account.weight if account else None

    def figures(self) -> PoolFigures:
        """Return the present figures for admission control."""
        now = trio.current_time()
        workers = [one for one in self.fleet.workers.values() if one.listed]
        return self.backlog.figures(
            now,
            whole=total(one.entry.capacity for one in workers),
            used=total(one.used for one in workers),
            far_beyond=self.account_rates.far_beyond(now),
            room=self.registry.room,
        )

    def typical_s(self, step: StepRun) -> float:
        """Return the expected duration of one task of a step, 0 if unknown."""
        entry = self.registry.jobs.get(step.name.job)
        if entry is None:
            return 0.0
        return self.estimate_accuracy.typical_s(entry.job.queue, step)

    def record_tasks(self, step: StepRun, tasks: Iterable[TaskRun]) -> None:
        """Queue journal writes of the rows that hold these tasks of a step."""
        entry = self.registry.jobs.get(step.name.job)
        if entry is None or entry.state is not None:
            return
        for row in sorted({step.row_of(task.name.index) for task in tasks}):
            self._put_rows(step, [row])

    def settle(self, entry: JobRun) -> None:
        """Settle a restored job, and rewrite rows of an earlier layout."""
        for name, rows in self.registry.settle(entry).items():
            if rows:
                step = entry.steps[name.occurrence, name.step]
                self._put_rows(step, sorted(rows, reverse=True))

    def open_due(self, entry: JobRun) -> None:
        """Open the steps of a job that are due and whose inputs are done."""
        self.registry.open_due_steps(
            entry,
            now=trio.current_time(),
            wall_s=self._dependencies.wall_clock(),
        )

    def handle_run_end(self, worker: Worker, report: EndReport) -> None:
        """Update the registry and the worker for a run end that it listed."""
        worker.release(task=report.task, run=report.run)
        task = self.registry.task(report.task)
        step = self.registry.step_of(report.task)
        if task is None or step is None:
            return
        self._log_end(worker, report, task)
        self.registry.jobs[step.name.job].started = True
        current = self._clear_placement(task, worker, report.run)
        if report.end is End.DONE:
            self._task_done(step, task, worker, current)
        elif current is not None:
            self._run_failed(step, task, worker, report)
        self.record_tasks(step, [task])
        self._after_end(step)

    def handle_lost_run(self, placement: Placement, *, why: str) -> None:
        """Make the task of a run that certainly no longer runs idle again."""
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
        entry = self.registry.jobs[step.name.job]
        entry.has_started()
        self.caps.release(entry.job, step.step)
        task.placement = None
        task.idle_since = trio.current_time()
        self.record_tasks(step, [task])
        self._after_end(step)

    def handle_crash(
        self, runs: list[CrashedRun], *, heard_at: float | None
    ) -> None:
        """Give up the jobs whose tasks keep crashing their workers.

        ``heard_at`` is when the worker answered this owner last.
        """
        watched = heard_at is not None and self.worker_list.followed_since(
            heard_at
        )
        hopeless = suspect(runs, heard_at=heard_at, watched=watched)
        for run in runs:
            _log.info(
                'worker lost under task=%s run=%d worker=%s heard=%s '
                'watched=%s connection_lost=%s crashes=%d suspicion=%d',
                run.task.name,
                run.placement.run,
                run.placement.worker,
                heard_at is not None,
                watched,
                run.placement.connection_lost,
                run.task.crashes,
                run.task.suspicion,
            )
            step = self.registry.step_of(run.task.name)
            if step is not None:
                self.record_tasks(step, [run.task])
        for task in hopeless:
            entry = self.registry.jobs.get(task.name.job)
            if entry is None or entry.state is not None:
                continue
            _log.warning(
                'job given up job=%s task=%s why=its workers crash',
                entry.job.id,
                task.name,
            )
            self.metrics.count('jobs_given_up')
            self.close(entry, JobState.FAILED)

    def note_start_answer(
        self, placement: Placement, answer: StartAnswer
    ) -> None:
        """Slow down the starts of a step that workers refuse."""
        step = self.registry.step_of(placement.task)
        if self._permits is None or step is None:
            return
        if answer is StartAnswer.STARTED:
            self._permits.note_started(step.name, placement)
            return
        self._permits.note_start_refused(
            step.name,
            placement,
            permit_void=answer is StartAnswer.NO_PERMIT,
        )

    def stop_run(self, placement: Placement) -> None:
        """Stop a run; the order is repeated until the run has ended."""
        if not placement.stopping:
            placement.stopping = True
            self.nursery.start_soon(stop_until_ended, self, placement)

    def close(self, entry: JobRun, state: JobState) -> None:
        """Set a job's final state and stop its remaining runs."""
        if entry.state is not None:
            return
        self.backlog.forget(entry.job.id)
        _log.info('job closed job=%s state=%s', entry.job.id, state.value)
        closed = self.registry.close(
            entry, state=state, wall_s=self._dependencies.wall_clock()
        )
        pool = self.claim.pool
        self.journal.supersede(
            [
                step_key(pool, step.name, row)
                for step in entry.steps.values()
                for row in sorted(step.stored_rows)
            ],
            key=closed_key(pool, entry.job.id),
            body=encode(closed),
        )
        for step in entry.steps.values():
            self._forget_permits(step)
        for placement in entry.placed:
            self.stop_run(placement)
        self.nursery.start_soon(self._publish, entry, closed)

    def _give_up_unrecorded(self, key: RowKey) -> None:
        """Fail the job of a row that the store refuses for good.

        Without its record the next owner would run its tasks again.
        """
        if key.key == VOTERS:
            self.quorum.note_refused()
        job = recorded_job(key)
        entry = self.registry.jobs.get(job) if job else None
        if entry is None or entry.state is not None:
            return
        _log.error(
            'job given up job=%s row=%s why=the store refuses its record',
            entry.job.id,
            key.key,
        )
        self.metrics.count('jobs_unrecorded')
        self.close(entry, JobState.FAILED)

    def _put_rows(self, step: StepRun, rows: list[int]) -> None:
        bodies: dict[int, bytes] = {}
        for row in rows:
            bodies |= step.record(row, max_bytes=self._dependencies.row_bytes)
        pool = self.claim.pool
        keyed = {
            step_key(pool, step.name, row): body for row, body in bodies.items()
        }
        if len(keyed) == 1:
            self.journal.put(*keyed.popitem())
        else:
            self.journal.put_together(keyed)

    def _forget_permits(self, step: StepRun) -> None:
        if self._permits is not None:
            self._permits.forget(step.name)

    def _clear_placement(
        self, task: TaskRun, worker: Worker, run: int
    ) -> Placement | None:
        placement = task.placement
        if placement is None or placement.run != run:
            return None
        if placement.worker != worker.entry.id:
            return None
        job = self.registry.jobs[task.name.job].job
        self.caps.release(job, job.steps[task.name.step])
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
        self._record_duration(worker, step, current)
        finished = step.tasks if step.step.gang else [task]
        for member in finished:
            member.done = True
        if not step.step.gang and task.placement is not None:
            self.stop_run(task.placement)

    def _record_duration(
        self, worker: Worker, step: StepRun, current: Placement | None
    ) -> None:
        """Update the worker's speed and the estimates from a completed run."""
        if current is None or not current.confirmed_at:
            worker.note_success()
            return
        worked_s = trio.current_time() - current.confirmed_at
        typical_s = self.typical_s(step)
        if typical_s:
            worker.learn_speed(worked_s, typical_s, step.step)
        if not current.resumed:
            entry = self.registry.jobs[step.name.job]
            self.estimate_accuracy.record(entry.job.queue, step.step, worked_s)
            step.record_duration(worked_s)
            if len(step.durations_s) == 1:
                self.registry.update_critical_path(entry)
        if (
            took_expected_time(worked_s, typical_s=typical_s)
            or not worker.probing
        ):
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
            self.registry.record_checkpoint(report.task, report.checkpoint)
        if report.end is not End.FAILED:
            return
        self._count_failure(worker, task)
        if step.step.gang:
            step.count_gang_failure(report.run)
        else:
            task.failures += 1
        entry = self.registry.jobs[step.name.job]
        limit = self.queue(entry.job).max_attempts
        if task.failures >= limit and not step.step.lasting:
            self.close(entry, JobState.FAILED)

    def _count_failure(self, worker: Worker, task: TaskRun) -> None:
        """Count a failure against the worker, unless the task is the cause.

        A task that also fails on a second worker is taken to be the cause, so
        the failure no longer counts against the first one.
        """
        now = trio.current_time()
        earlier = task.failed_on - {worker.entry.id}
        for name in earlier:
            previous = self.fleet.workers.get(name)
            if previous is not None and previous.failures:
                previous.failures -= 1
        if not earlier:
            worker.failures += 1
            if worker.probing or worker.failures >= _QUARANTINE_FAILURES:
                quarantine_worker(worker, now, why='failures')
        task.failed_on |= {worker.entry.id}

    def _after_end(self, step: StepRun) -> None:
        entry = self.registry.jobs.get(step.name.job)
        if entry is None:
            return
        if step.done:
            self.registry.open_steps.pop(step.name, None)
            self._forget_permits(step)
        if not entry.any_placed:
            entry.idle_since = trio.current_time()
        if entry.state is None:
            self.open_due(entry)
            if self.registry.all_done(entry):
                self.close(entry, JobState.COMPLETED)
        elif entry.published and not entry.any_placed:
            self._drop(entry)
        self.wake()

    def _drop(self, entry: JobRun) -> None:
        """Forget an ended job; a takeover no longer has to count its runs."""
        job = entry.job.id
        self.registry.drop(entry)
        closed = self.registry.closed.get(job)
        if closed is not None and closed.running is not None:
            closed = msgspec.structs.replace(closed, running=None)
            self.registry.closed[job] = closed
            self.journal.put(closed_key(self.claim.pool, job), encode(closed))

    async def _publish(self, entry: JobRun, closed: Closed) -> None:
        await self.journal.flushed()
        entry.published = True
        self.registry.closed[entry.job.id] = closed
        if not entry.any_placed:
            self._drop(entry)

    async def _dispatch_rounds(
        self, permits: PermitCache, launcher: Launcher
    ) -> None:
        dispatcher = Dispatcher(
            registry=self.registry,
            fleet=self.fleet,
            permits=permits,
            urgent_queues=self._has_urgent_queues,
            caps=self.caps,
            account_weight=self.account_weight,
        )
        while True:
            with trio.move_on_after(_MAX_ROUND_INTERVAL_S):
                await self._wake.wait()
            await trio.sleep(self.loop_load.pause_s)
            self._wake = trio.Event()
            self._apply_configuration()
            if self._paused or self.journal.commit_lag_s > _MAX_COMMIT_LAG_S:
                continue
            with self.loop_load.measured_round():
                self._open_timed_jobs()
                outcome = dispatcher.decide(
                    trio.current_time(), max_starts=self._max_starts()
                )
                self._apply_round(outcome, permits, launcher)

    def _apply_configuration(self) -> None:
        """Give all jobs the terms of a new version of the configuration."""
        configuration = self._dependencies.configuration()
        if configuration is self._applied_configuration:
            return
        self._applied_configuration = configuration
        recapped = self.caps.take_changes()
        for entry in self.registry.jobs.values():
            queue = self.queue(entry.job)
            if queue != entry.queue or entry.job.account in recapped:
                entry.queue = queue
                self.registry.update_critical_path(entry)

    def _apply_round(
        self, outcome: Round, permits: PermitCache, launcher: Launcher
    ) -> None:
        permits.replace_calls(
            [
                PermitCall(
                    step=request.step.name,
                    policy=request.entry.queue.permits,
                    workers={
                        worker.entry.id: worker.incarnation
                        for worker in request.workers
                    },
                    ahead=request.ahead,
                    together=request.together,
                )
                for request in outcome.permit_requests
                if request.entry.queue.permits is not None
            ],
            keep_own_short=self._has_short_permits(),
        )
        placed = [self._place(assigned) for assigned in outcome.assignments]
        steps: dict[StepName, list[Assignment]] = {}
        for assigned in outcome.assignments:
            steps.setdefault(assigned.step.name, []).append(assigned)
        for group in steps.values():
            self.record_tasks(group[0].step, [one.task for one in group])
        if placed:
            self._starting.extend(placed)
            self.nursery.start_soon(launcher.launch, placed)

    def _max_starts(self) -> int:
        """Return how many more starts may be sent now.

        A start that has been unanswered for long doesn't count any more.
        """
        since = trio.current_time() - _START_ANSWER_S
        self._starting = [
            placement
            for placement in self._starting
            if placement.phase is Phase.STARTING and placement.since > since
        ]
        return self.loop_load.max_starts - len(self._starting)

    def _has_urgent_queues(self) -> bool:
        configuration = self._dependencies.configuration()
        return (
            configuration is not None
            and self.claim.pool in configuration.index.urgent_pools
        )

    def _has_short_permits(self) -> bool:
        configuration = self._dependencies.configuration()
        if configuration is None:
            return False
        shortest_s = configuration.index.shortest_permit_s.get(self.claim.pool)
        return shortest_s is not None and shortest_s <= SHORT_CALL_S

    def _place(self, assigned: Assignment) -> Placement:
        task = assigned.task
        task.run += 1
        placement = Placement(
            task=task.name,
            run=task.run,
            worker=assigned.worker.entry.id,
            incarnation=assigned.worker.incarnation,
            phase=Phase.STARTING,
            since=trio.current_time(),
            instance=assigned.worker.entry.instance,
            permit=assigned.permit,
            resumed=bool(task.checkpoint),
        )
        task.placement = placement
        entry = self.registry.jobs[task.name.job]
        entry.placed_once = True
        self.caps.charge(entry.job, assigned.step.step)
        self._note_start(entry, assigned.step)
        return placement

    def _note_start(self, entry: JobRun, step: StepRun) -> None:
        """Learn from a start how long jobs wait."""
        error_s = self.backlog.note_start(entry, step.step, trio.current_time())
        if error_s is not None:
            sign = 'early' if error_s < 0 else 'late'
            self.metrics.observe(f'start_predicted_{sign}', abs(error_s))

    def _count_waiting(self) -> int:
        return sum(self.registry.waiting().values())

    def _open_timed_jobs(self) -> None:
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


def _queue_without_terms(job: Job) -> Queue:
    """Return a queue for a job that an earlier version has stored."""
    return Queue(name=job.queue, host='', path_prefix='', pool=job.pool)
