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

from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.book import (
    Closed,
    JobBook,
    JobRun,
    Phase,
    Placement,
    StepRun,
    TaskRun,
    gang_ends_whole,
    placements,
)
from cyclamentrack.jobs.dispatch import Assignment, Dispatcher, Round
from cyclamentrack.jobs.fleet import Fleet, Worker
from cyclamentrack.jobs.journal import HEAD, Journal
from cyclamentrack.jobs.launch import Launcher
from cyclamentrack.jobs.model import (
    Configuration,
    End,
    Job,
    JobId,
    JobState,
    Queue,
)
from cyclamentrack.jobs.permits import (
    SHORT_CALL_S,
    LaneCall,
    PermitBook,
    PermitCall,
)
from cyclamentrack.jobs.ports import (
    Batch,
    CellTables,
    Changes,
    EndReport,
    HistoryLostError,
    Page,
    RowStore,
    StoredRow,
    StoreRefusedError,
    Translator,
    Tuning,
    WorkerOrders,
)
from cyclamentrack.jobs.records import (
    JOBS,
    STEPS,
    Claim,
    all_jobs_parts,
    cancel_key,
    cancelled_job,
    closed_key,
    job_key,
    pool_of_part,
    step_key,
)
from cyclamentrack.jobs.sickness import suspect
from cyclamentrack.jobs.watch import WorkerWatch

_log = logging.getLogger(__name__)

# A feed's connection that has gone silent is noticed after this and the
# adapter's slack; what callers hand in meanwhile waits so long.
_FEED_WAIT_S = 1.0
_FEED_RETRY_S = 0.15
# Rounds that nothing woke: due times, permits and probations that end.
_IDLE_ROUND_S = 0.2
# Wakes within this time share a round.
_ROUND_GAP_S = 0.002
_SWEEP_S = 5.0
# A run's worker that isn't listed at a claim may still run it for so long
# beyond the lease: the former owner may have held it until it learnt of the
# claim.
_FORMER_OWNER_S = 2.0
_CLOCK_SLACK = 1.03


class Collaborators(msgspec.Struct, frozen=True, kw_only=True):
    """What an owner works with."""

    store: RowStore
    orders: WorkerOrders
    translator: Translator
    tables: CellTables
    tuning: Tuning
    configuration: Callable[[], Configuration | None]
    lanes: Callable[[PoolName], dict[str, LaneCall]]
    wall_clock: Callable[[], float]


class SliceOwner:
    """Owns the jobs and the workers of one pool under one claim."""

    def __init__(
        self, *, claim: Claim, journal: Journal, parts: Collaborators
    ) -> None:
        """Own nothing before ``run``."""
        self.claim = claim
        self.book = JobBook()
        self.fleet = Fleet()
        self.journal = journal
        self.tuning = parts.tuning
        self.orders = parts.orders
        self.recovered = trio.Event()
        self._parts = parts
        self._store = parts.store
        self._wake = trio.Event()
        self._paused = False
        self._nursery: trio.Nursery | None = None

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
            permits = PermitBook(
                nursery=nursery,
                lanes=lambda: self._parts.lanes(self.claim.pool),
                on_answer=self.wake,
            )
            launcher = Launcher(owner=self, nursery=nursery)
            jobs_version = await self._recover()
            nursery.start_soon(self._follow_jobs, jobs_version)
            nursery.start_soon(self._follow_workers)
            nursery.start_soon(self._settle_unlisted)
            nursery.start_soon(self._sweep)
            self.recovered.set()
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

    def keep_step(self, step: StepRun) -> None:
        """Queue the step's record for the journal."""
        entry = self.book.jobs.get(step.name.job)
        if entry is not None and entry.state is None:
            key = step_key(self.claim.pool, step.name)
            self.journal.put(key, step.record())

    def run_ended(self, worker: Worker, report: EndReport) -> None:
        """Take in an end that a worker has listed."""
        worker.release(task=report.task, run=report.run)
        task = self.book.task(report.task)
        step = self.book.step_of(report.task)
        if task is None or step is None:
            return
        self._log_end(worker, report, task)
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
        task = self.book.task(placement.task)
        step = self.book.step_of(placement.task)
        if task is None or step is None or task.placement is not placement:
            return
        _log.info(
            'run lost task=%s run=%d worker=%s why=%s',
            placement.task,
            placement.run,
            placement.worker,
            why,
        )
        task.placement = None
        self.keep_step(step)
        self._after_end(step)

    def stop_run(self, placement: Placement) -> None:
        """Have a run stopped, until its end is listed."""
        if not placement.stopping:
            placement.stopping = True
            self.nursery.start_soon(Launcher.stop_until_ended, self, placement)

    def _clear(
        self, task: TaskRun, worker: Worker, run: int
    ) -> Placement | None:
        placement = task.placement
        if placement is None or placement.run != run:
            return None
        if placement.worker != worker.entry.id:
            return None
        task.placement = None
        return placement

    def _task_done(
        self,
        step: StepRun,
        task: TaskRun,
        worker: Worker,
        current: Placement | None,
    ) -> None:
        worker.note_success()
        if current is not None and current.confirmed_at:
            worked = trio.current_time() - current.confirmed_at
            worker.learn_speed(worked, step.step)
        finished = step.tasks if step.step.gang else [task]
        for one in finished:
            one.done = True
        if not step.step.gang and task.placement is not None:
            self.stop_run(task.placement)

    def _run_failed(
        self,
        step: StepRun,
        task: TaskRun,
        worker: Worker,
        report: EndReport,
    ) -> None:
        members = step.tasks if step.step.gang else [task]
        if report.checkpoint:
            for member in members:
                member.checkpoint = report.checkpoint
        if report.end is not End.FAILED:
            return
        self._blame(worker, task)
        for member in members:
            member.failures += 1
        entry = self.book.jobs[step.name.job]
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
            if worker.failures >= _SUSPECT_FAILURES:
                _log.warning(
                    'worker on probation worker=%s why=failures',
                    worker.entry.id,
                )
                suspect(worker, now)
        task.failed_on.add(worker.entry.id)

    def _after_end(self, step: StepRun) -> None:
        entry = self.book.jobs.get(step.name.job)
        if entry is None:
            return
        if step.done:
            self.book.open_steps.pop(step.name, None)
        if entry.state is None:
            self._open_due(entry)
            if self.book.all_done(entry):
                self.close(entry, JobState.COMPLETED)
        elif entry.published and not entry.placed:
            self.book.drop(entry)
        self.wake()

    def close(self, entry: JobRun, state: JobState) -> None:
        """Give a job its final state and stop what still runs."""
        if entry.state is not None:
            return
        _log.info('job closed job=%s state=%s', entry.job.id, state.value)
        closed = self.book.close(
            entry, state=state, wall_s=self._parts.wall_clock()
        )
        pool = self.claim.pool
        self.journal.put(closed_key(pool, entry.job.id), encode(closed))
        for step in entry.steps.values():
            self.journal.put(step_key(pool, step.name), None)
        for placement in entry.placed:
            self.stop_run(placement)
        self.nursery.start_soon(self._publish, entry, closed)

    async def _publish(self, entry: JobRun, closed: Closed) -> None:
        await self.journal.flushed()
        entry.published = True
        self.book.closed[entry.job.id] = closed
        if not entry.placed:
            self.book.drop(entry)

    async def _dispatch_rounds(
        self, permits: PermitBook, launcher: Launcher
    ) -> None:
        dispatcher = Dispatcher(
            book=self.book, fleet=self.fleet, permits=permits
        )
        while True:
            with trio.move_on_after(_IDLE_ROUND_S):
                await self._wake.wait()
            await trio.sleep(_ROUND_GAP_S)
            self._wake = trio.Event()
            if self._paused or self.journal.behind_s > _ROUND_STALL_S:
                continue
            self._open_timed()
            outcome = dispatcher.decide(trio.current_time())
            self._act(outcome, permits, launcher)

    def _act(
        self, outcome: Round, permits: PermitBook, launcher: Launcher
    ) -> None:
        permits.offer(
            [
                PermitCall(
                    step=wish.step.name,
                    policy=wish.entry.queue.permits,
                    workers={
                        worker.entry.id: worker.life
                        for worker in wish.workers
                    },
                )
                for wish in outcome.wishes
                if wish.entry.queue.permits is not None
            ],
            keep_own_short=self._has_short_permits(),
        )
        placed = [self._place(given) for given in outcome.assignments]
        for step in {id(one.step): one.step for one in outcome.assignments}.values():
            self.keep_step(step)
        if placed:
            self.nursery.start_soon(launcher.launch, placed)

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
            life=given.worker.life,
            phase=Phase.STARTING,
            since=trio.current_time(),
            permit=given.permit,
        )
        task.placement = placement
        self.book.jobs[task.name.job].begun = True
        return placement

    def _open_due(self, entry: JobRun) -> None:
        self.book.open_due_steps(
            entry,
            now=trio.current_time(),
            wall_s=self._parts.wall_clock(),
        )

    def _open_timed(self) -> None:
        for entry in self.book.jobs.values():
            if entry.job.timed and entry.state is None:
                self._open_due(entry)

    async def _recover(self) -> int:
        """Read the book that earlier owners left; return its version."""
        kept = await self._scan(STEPS, self.claim.pool)
        for row in kept.rows:
            if '.' not in row.key.key and row.key.key != HEAD:
                closed = decode(row.body, Closed)
                self.book.closed[JobId(row.key.key)] = closed
        version = await self._read_jobs()
        for row in kept.rows:
            if '.' in row.key.key:
                self._restore_step(row)
        for entry in list(self.book.jobs.values()):
            self._resume(entry)
        _log.info(
            'slice recovered pool=%s token=%d open=%d closed=%d runs=%d',
            self.claim.pool,
            self.claim.token,
            len(self.book.jobs),
            len(self.book.closed),
            sum(1 for _ in placements(self.book)),
        )
        return version

    def _resume(self, entry: JobRun) -> None:
        if entry.job.id in self.book.cancels:
            self.close(entry, JobState.CANCELLED)
            return
        self._open_due(entry)
        if self.book.all_done(entry):
            self.close(entry, JobState.COMPLETED)

    async def _read_jobs(self) -> int:
        """Read all jobs of the pool; return the oldest page's version."""
        versions: list[int] = []

        async def read_part(part: str) -> None:
            page = await self._scan(JOBS, part)
            versions.append(page.version)
            for row in page.rows:
                self._take_job(row)

        async with trio.open_nursery() as nursery:
            for part in all_jobs_parts(self.claim.pool):
                nursery.start_soon(read_part, part)
        return min(versions)

    async def _scan(self, table: str, part: str) -> Page:
        while True:
            try:
                return await self._store.scan(table=table, part=part)
            except (StoreUncertainError, StoreRefusedError) as error:
                _log.warning('slice %s waits: %s', self.claim.pool, error)
                await trio.sleep(_FEED_RETRY_S)

    def _restore_step(self, row: StoredRow) -> None:
        entry = self.book.jobs.get(JobId(row.key.key.split('.')[0]))
        if entry is None:
            self.journal.put(row.key, None)
            return
        self.book.restore(entry, row.key.key, row.body, trio.current_time())

    async def _follow_jobs(self, version: int) -> None:
        while True:
            try:
                changes = await self._store.follow(
                    table=JOBS, after=version, wait_s=_FEED_WAIT_S
                )
            except (StoreUncertainError, StoreRefusedError):
                await trio.sleep(_FEED_RETRY_S)
                continue
            except HistoryLostError:
                version = await self._read_jobs()
                self.wake()
                continue
            version = changes.version
            for row in changes.rows:
                if pool_of_part(row.key.part) == self.claim.pool:
                    self._take_job(row)
            self.wake()

    def _take_job(self, row: StoredRow) -> None:
        job = cancelled_job(row.key)
        if job is None:
            self._admit(decode(row.body, Job))
        else:
            self._take_cancel(job)

    def _admit(self, job: Job) -> None:
        configuration = self._parts.configuration()
        found = configuration and configuration.queue(job.queue)
        queue = found or Queue(
            name=job.queue, host='', path_prefix='', pool=job.pool
        )
        age = self._parts.wall_clock() - job.accepted_at_s
        arrived = trio.current_time() - min(max(age, 0.0), _MAX_AGE_S)
        entry = self.book.admit(job=job, queue=queue, now=arrived)
        if entry is None:
            return
        _log.info(
            'job taken in job=%s queue=%s steps=%d',
            job.id,
            job.queue,
            len(job.steps),
        )
        if self.recovered.is_set():
            self._resume(entry)

    def _take_cancel(self, job: JobId) -> None:
        self.book.cancels.add(job)
        entry = self.book.jobs.get(job)
        if entry is not None and self.recovered.is_set():
            self.close(entry, JobState.CANCELLED)

    async def _follow_workers(self) -> None:
        table = self._parts.tables.workers
        version: int | None = None
        while True:
            try:
                if version is None:
                    page = await self._store.scan(table=table, part='')
                    self._reset_workers(page.rows)
                    version = page.version
                changes = await self._store.follow(
                    table=table, after=version, wait_s=_FEED_WAIT_S
                )
            except (StoreUncertainError, StoreRefusedError):
                await trio.sleep(_FEED_RETRY_S)
                continue
            except HistoryLostError:
                version = None
                continue
            version = changes.version
            self._take_workers(changes)
            await trio.sleep(_WORKER_FEED_GAP_S)

    def _reset_workers(self, rows: tuple[StoredRow, ...]) -> None:
        present = {WorkerId(row.key.key) for row in rows}
        for worker in self.fleet.workers:
            if worker not in present:
                self.fleet.lose(worker)
        for row in rows:
            self._take_worker(row)

    def _take_workers(self, changes: Changes) -> None:
        for key in changes.removed:
            self.fleet.lose(WorkerId(key.key))
        for row in changes.rows:
            self._take_worker(row)
        self.wake()

    def _take_worker(self, row: StoredRow) -> None:
        entry = self._parts.translator.worker(row.key.key, row.body)
        if entry is None or entry.pool != self.claim.pool:
            return
        known = self.fleet.workers.get(entry.id)
        worker = self.fleet.see(entry)
        if worker is not known:
            self._adopt(worker)

    def _adopt(self, worker: Worker) -> None:
        """Charge a worker's recorded runs and begin to hold it."""
        worker.ordered_at = self.claim.claimed_at + _FORMER_OWNER_S
        for placement in placements(self.book):
            if placement.worker == worker.entry.id:
                step = self.book.step_of(placement.task)
                if step is not None:
                    worker.take(
                        task=placement.task,
                        run=placement.run,
                        step=step.step,
                    )
        watch = WorkerWatch(owner=self, worker=worker)
        self.nursery.start_soon(watch.run)

    async def _settle_unlisted(self) -> None:
        """Give up runs whose worker wasn't listed since before the claim."""
        lease = self.tuning.worker_lease_s * _CLOCK_SLACK + _FORMER_OWNER_S
        await trio.sleep_until(self.claim.claimed_at + lease)
        for placement in list(placements(self.book)):
            if placement.worker not in self.fleet.workers:
                self.run_lost(placement, why='its worker is not listed')

    async def _sweep(self) -> None:
        """Remove jobs whose state no caller may ask for any more."""
        while True:
            await trio.sleep(_SWEEP_S)
            horizon = self._parts.wall_clock() - self.tuning.status_s
            old = [
                job
                for job, closed in self.book.closed.items()
                if closed.closed_at_s < horizon
            ]
            for job in old:
                self.book.closed.pop(job)
                self.book.cancels.discard(job)
                self.journal.put(closed_key(self.claim.pool, job), None)
                await self._remove_job(job)

    async def _remove_job(self, job: JobId) -> None:
        pool = self.claim.pool
        rows = (job_key(pool, job), cancel_key(pool, job))
        try:
            await self._store.commit(Batch(removes=rows))
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.info('job %s stays in the store: %s', job, error)

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


# So many runs that fail in a row, none done between, make a worker suspect.
_SUSPECT_FAILURES = 2
# A commit that waits for so long stops further decisions: their starts could
# only pile up behind it.
_ROUND_STALL_S = 0.5
# Worker entries change often and are only read for state and address.
_WORKER_FEED_GAP_S = 0.25
# Clocks of instances differ; an older acceptance is taken for this old.
_MAX_AGE_S = 120.0
