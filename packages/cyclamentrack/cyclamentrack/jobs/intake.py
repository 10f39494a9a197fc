"""Loads a slice's jobs into its registry and removes expired ones."""

from __future__ import annotations

import functools
import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec
import trio

from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.feeds import FeedHealth
from cyclamentrack.jobs.journal import HEAD, Head, OwnershipLostError
from cyclamentrack.jobs.model import Job, JobId, JobState, Origin
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Expect,
    HistoryLostError,
    Page,
    PartNames,
    RowKey,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import (
    JOBS,
    STEPS,
    VOTERS,
    Cancellation,
    Voter,
    cancel_key_beside,
    cancelled_job,
    closed_key,
    job_key,
    may_hold_jobs_of,
    recorded_job,
)
from cyclamentrack.jobs.registry import Closed, JobRun, placements
from cyclamentrack.jobs.room import MAX_JOB_TASKS, job_bytes, task_count
from cyclamentrack.jobs.tombstones import TombstoneRemover

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies, SliceOwner

_log = logging.getLogger(__name__)

# A dead connection of the feed is noticed after this time plus the adapter's
# margin; jobs submitted meanwhile wait as long.
_FEED_WAIT_S = 1.0
_FEED_RETRY_S = 0.15
# Nodes notify the owner of a job as soon as they have stored it. The feed only
# delivers jobs whose notification was lost, so its changes may be collected.
_FEED_GAP_S = 0.25
_CANCELLATIONS_CACHED = 256
_EXPIRY_CHECK_S = 5.0
_PARKED_CHECK_S = 0.2
# Parked jobs that are read from the store at the same time.
_PARKED_READS = 16
# Clocks of instances differ, so no job is assumed to be older than this.
_MAX_JOB_AGE_S = 120.0


class JobIntake:
    """Loads a slice's jobs from the store into its owner's registry."""

    def __init__(
        self, *, owner: SliceOwner, dependencies: OwnerDependencies
    ) -> None:
        """Create the intake; it reads nothing until ``recover``."""
        self._owner = owner
        self._dependencies = dependencies
        self._store = dependencies.store
        self._health = FeedHealth(name='jobs')
        self.tombstones = TombstoneRemover(
            owner=owner, dependencies=dependencies
        )
        self._former_keys: dict[JobId, RowKey] = {}
        self._versions: dict[JobId, int] = {}
        self._recorded: frozenset[JobId] = frozenset()

    async def recover(self) -> int:
        """Read the registry of earlier owners; return the version to follow."""
        records = await self._scan(STEPS, self._owner.claim.pool)
        self._load_voters(records)
        for row in records.rows:
            if '.' not in row.key.key and row.key.key != HEAD:
                closed = decode(row.body, Closed)
                self._owner.registry.restore_closed(JobId(row.key.key), closed)
        self._recorded = frozenset(
            job for row in records.rows if (job := recorded_job(row.key))
        )
        version = await self._read_jobs()
        for row in sorted(records.rows, key=_version):
            if '.' in row.key.key and row.key.key != VOTERS:
                self._restore_step(row)
        self._rate_recovered_jobs()
        for entry in list(self._owner.registry.jobs.values()):
            self._owner.settle(entry)
            self._continue_job(entry)
        for job in list(self._owner.registry.parked):
            self._end_cancelled(job)
        self._recorded = frozenset()
        self._owner.caps.usage.recover(self._owner.registry)
        _log.info(
            'slice recovered pool=%s token=%d open=%d parked=%d closed=%d '
            'runs=%d',
            self._owner.claim.pool,
            self._owner.claim.token,
            len(self._owner.registry.jobs),
            len(self._owner.registry.parked),
            len(self._owner.registry.closed),
            sum(1 for _ in placements(self._owner.registry)),
        )
        return version

    async def follow(self, version: int) -> None:
        """Follow submitted and cancelled jobs, until cancelled."""
        await self._follow_feed(version)
        while True:
            await trio.sleep(_FEED_RETRY_S)
            found = await self._list_parts()
            async with trio.open_nursery() as nursery:
                for part in self._parts_of_pool(found):
                    nursery.start_soon(self._read_part, part)
                await self._follow_feed(found.version)
                nursery.cancel_scope.cancel()

    def apply_stored_job(self, job: Job) -> None:
        """Add a job that a node has just stored.

        The feed brings it too, but may be seconds late while the store has
        faults.
        """
        if self._owner.recovered.is_set():
            self._admit(job)
            self._owner.wake()

    def apply_cancel(self, job: JobId, origin: Origin | None) -> None:
        """Cancel a job whose cancellation a node has just stored."""
        self._close_cancelled(job, origin)
        self._owner.wake()

    def forget_cancellation(self, key: RowKey) -> None:
        """Forget a cancellation whose row is gone, also of other pools."""
        job = cancelled_job(key)
        if job is None:
            return
        self.tombstones.forget(job)
        if job not in self._owner.registry.jobs:
            self._owner.registry.cancels.pop(job, None)

    async def load_parked_jobs(self) -> None:
        """Load parked jobs from the store once there is room for them."""
        registry = self._owner.registry
        while True:
            await trio.sleep(_PARKED_CHECK_S)
            room = registry.room
            due = [
                job
                for job, parked in registry.parked.items()
                if not parked.ending
                and (room is None or room.admits(parked.size))
            ]
            async with trio.open_nursery() as nursery:
                for job in due[:_PARKED_READS]:
                    nursery.start_soon(self._load_parked, job)

    async def remove_expired_jobs(self) -> None:
        """Remove closed jobs once callers may no longer ask for their state.

        The job's own row goes first: if it outlived the row of its final
        state, the job would run again.
        """
        while True:
            await trio.sleep(_EXPIRY_CHECK_S)
            horizon = (
                self._dependencies.wall_clock() - self._owner.timings.status_s
            )
            old = [
                job
                for job, closed in self._owner.registry.closed.items()
                if closed.closed_at_s < horizon
            ]
            for job in old:
                if await self._remove_job(job):
                    self._forget(job)

    def _load_voters(self, records: Page) -> None:
        """Load the former owner's voters; malformed ones stay unknown.

        Raises ``OwnershipLostError`` if they may be those of a later owner.
        """
        claim = self._owner.claim
        rows = {row.key.key: row for row in records.rows}
        head = rows.get(HEAD)
        if head is None or decode(head.body, Head).owner != claim.id:
            raise OwnershipLostError(part=claim.pool)
        row = rows.get(VOTERS)
        try:
            voters = decode(row.body, dict[WorkerId, Voter]) if row else {}
        except msgspec.ValidationError as error:
            _log.error('voters not decoded pool=%s: %s', claim.pool, error)
            return
        self._owner.quorum.load_voters(voters)

    def _continue_job(self, entry: JobRun) -> None:
        if self._is_cancelled(entry.job):
            self._owner.close(entry, JobState.CANCELLED)
            return
        self._owner.open_due(entry)
        if self._owner.registry.all_done(entry):
            self._owner.close(entry, JobState.COMPLETED)

    async def _follow_feed(self, version: int) -> None:
        """Follow the feed until the store no longer has its history."""
        while True:
            try:
                changes = await self._store.follow(
                    table=JOBS, after=version, wait_s=_FEED_WAIT_S
                )
            except (StoreUncertainError, StoreRefusedError) as error:
                self._health.note_failure(error)
                await trio.sleep(_FEED_RETRY_S)
                continue
            except HistoryLostError:
                return
            self._health.note_answer()
            version = changes.version
            for row in changes.rows:
                if may_hold_jobs_of(self._owner.claim.pool, row.key.part):
                    self._apply_row(row)
            for key in changes.removed:
                self.forget_cancellation(key)
            self._owner.wake()
            await trio.sleep(_FEED_GAP_S)

    async def _list_parts(self) -> PartNames:
        """Return the parts that hold jobs, and the version to follow."""
        while True:
            try:
                return await self._store.parts(table=JOBS)
            except (StoreUncertainError, StoreRefusedError) as error:
                _log.warning('parts of jobs not listed, retrying: %s', error)
            await trio.sleep(_FEED_RETRY_S)

    def _parts_of_pool(self, found: PartNames) -> list[str]:
        pool = self._owner.claim.pool
        return [part for part in found.names if may_hold_jobs_of(pool, part)]

    async def _read_jobs(self) -> int:
        """Read all jobs of the pool; return the version to follow.

        Jobs in parts that are created meanwhile come with the feed.
        """
        found = await self._list_parts()
        async with trio.open_nursery() as nursery:
            for part in self._parts_of_pool(found):
                nursery.start_soon(self._read_part, part)
        return found.version

    async def _read_part(self, part: str) -> None:
        while True:
            try:
                await self._store.read_pages(
                    table=JOBS, part=part, handle=self._apply_rows
                )
            except (StoreUncertainError, StoreRefusedError) as error:
                self._log_failed_read(error)
                await trio.sleep(_FEED_RETRY_S)
                continue
            return

    def _apply_rows(self, rows: Sequence[StoredRow]) -> None:
        for row in rows:
            self._apply_row(row)
        self._owner.wake()

    async def _scan(self, table: str, part: str) -> Page:
        while True:
            try:
                return await self._store.scan(table=table, part=part)
            except (StoreUncertainError, StoreRefusedError) as error:
                self._log_failed_read(error)
                await trio.sleep(_FEED_RETRY_S)

    def _log_failed_read(self, error: Exception) -> None:
        _log.warning(
            'read failed, retrying slice=%s: %s', self._owner.claim.pool, error
        )

    def _restore_step(self, row: StoredRow) -> None:
        entry = self._owner.registry.jobs.get(JobId(row.key.key.split('.')[0]))
        if entry is None:
            self._owner.journal.put(row.key, None)
            return
        self._owner.registry.restore(
            entry, row.key.key, row.body, trio.current_time()
        )

    def _apply_row(self, row: StoredRow) -> None:
        cancelled = cancelled_job(row.key)
        if cancelled is not None:
            cancellation = _read_cancellation(row.body)
            self.tombstones.note(cancelled, row, cancellation)
            self._close_cancelled(cancelled, cancellation)
            return
        pool = self._owner.claim.pool
        if JobId(row.key.key) in self._owner.registry.closed:
            self._note_row(row)
            return
        # CBOR holds texts as they are. Most rows are those of other pools, and
        # decoding them all would take a new owner long.
        if pool.encode() not in row.body:
            return
        try:
            job = decode(row.body, Job)
        except msgspec.ValidationError as error:
            _log.error('job not decoded job=%s: %s', row.key.key, error)
            return
        if job.pool == pool:
            self._note_row(row)
            self._admit(job)

    def _note_row(self, row: StoredRow) -> None:
        """Remember a job's version, and its key if it is of an earlier one."""
        job = JobId(row.key.key)
        self._versions[job] = row.version
        if row.key != job_key(job):
            self._former_keys[job] = row.key

    def _admit(self, job: Job) -> None:
        registry = self._owner.registry
        known = (registry.jobs, registry.parked, registry.closed)
        if any(job.id in jobs for jobs in known):
            return
        if task_count(job) > MAX_JOB_TASKS:
            self._give_up_oversized(job)
        elif self._has_room_for(job):
            self._load(job)
        else:
            self._park(job)

    def _has_room_for(self, job: Job) -> bool:
        """Return whether a job may be loaded now.

        One that has started or is cancelled is loaded in any case.
        """
        if job.id in self._recorded or self._is_cancelled(job):
            return True
        return self._owner.registry.admits(job_bytes(job))

    def _park(self, job: Job) -> None:
        parked = self._owner.registry.park(job)
        self._owner.metrics.count('jobs_parked')
        _log.info('job parked job=%s bytes=%d', job.id, parked.size)

    def _give_up_oversized(self, job: Job) -> None:
        """Fail a job of an earlier version that no owner may load."""
        _log.warning(
            'job given up job=%s tasks=%d why=it has more than %d tasks',
            job.id,
            task_count(job),
            MAX_JOB_TASKS,
        )
        self._owner.metrics.count('jobs_given_up')
        self._owner.registry.park(job)
        self._close_parked(job.id, JobState.FAILED)

    async def _load_parked(self, job: JobId) -> None:
        key = self._former_keys.get(job, job_key(job))
        try:
            row = await self._store.read(key)
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.info('parked job not read job=%s: %s', job, error)
            return
        registry = self._owner.registry
        parked = registry.parked.get(job)
        if parked is None or parked.ending:
            return
        if row is None:
            _log.error('parked job has no row any more job=%s', job)
            registry.parked.pop(job)
        elif registry.admits(parked.size):
            registry.parked.pop(job)
            self._apply_rows([row])

    def _load(self, job: Job) -> None:
        age = self._dependencies.wall_clock() - job.accepted_at_s
        arrived = trio.current_time() - min(max(age, 0.0), _MAX_JOB_AGE_S)
        entry = self._owner.registry.admit(
            job=job, queue=self._owner.queue(job), now=arrived
        )
        if entry is None or not self._owner.recovered.is_set():
            return
        self._rate(entry)
        _log.info(
            'job added job=%s queue=%s steps=%d account=%s rate=%s',
            job.id,
            job.queue,
            len(job.steps),
            job.account or 'none',
            'within' if entry.within_rate else 'beyond',
        )
        self._owner.backlog.note_arrival(entry)
        self._continue_job(entry)

    def _rate(self, entry: JobRun) -> None:
        """Note whether a job arrived within its account's rate."""
        entry.within_rate = self._owner.account_rates.admit(
            entry.job.account, arrived_at=entry.arrived_at
        )
        if not entry.within_rate:
            self._owner.metrics.count('jobs_beyond_rate')

    def _rate_recovered_jobs(self) -> None:
        """Count the open jobs again, in the order in which they arrived.

        Jobs that have ended aren't counted, so no job becomes beyond the rate
        that wasn't.
        """
        entries = self._owner.registry.jobs.values()
        for entry in sorted(entries, key=_arrived_at):
            self._rate(entry)

    def _close_cancelled(self, job: JobId, origin: Origin | None) -> None:
        registry = self._owner.registry
        registry.cancels[job] = origin
        if not self._owner.recovered.is_set():
            return
        self._end_cancelled(job)
        entry = registry.jobs.get(job)
        if entry is not None and self._is_cancelled(entry.job):
            self._owner.close(entry, JobState.CANCELLED)

    def _is_cancelled(self, job: Job) -> bool:
        return self._owner.registry.is_cancelled(job.id, job.origin)

    def _end_cancelled(self, job: JobId) -> None:
        """Give a parked job its final state if it has been cancelled."""
        registry = self._owner.registry
        parked = registry.parked.get(job)
        if parked is None or parked.ending:
            return
        if registry.is_cancelled(job, parked.origin):
            self._close_parked(job, JobState.CANCELLED)

    def _close_parked(self, job: JobId, state: JobState) -> None:
        """Set the final state of a job that isn't loaded."""
        owner = self._owner
        parked = owner.registry.parked[job]
        parked.ending = True
        _log.info('job closed job=%s state=%s parked=yes', job, state.value)
        origin = parked.origin
        closed = Closed(
            state=state,
            queue=origin.queue,
            closed_at_s=self._dependencies.wall_clock(),
            address=origin.address,
            account=origin.account,
        )
        owner.journal.put(closed_key(owner.claim.pool, job), encode(closed))
        owner.nursery.start_soon(self._publish_parked, job, closed)

    async def _publish_parked(self, job: JobId, closed: Closed) -> None:
        await self._owner.journal.flushed()
        self._owner.registry.closed[job] = closed
        self._owner.registry.parked.pop(job, None)

    def _forget(self, job: JobId) -> None:
        self._owner.registry.closed.pop(job)
        self._owner.registry.cancels.pop(job, None)
        self._former_keys.pop(job, None)
        self._versions.pop(job, None)
        self._owner.journal.put(closed_key(self._owner.claim.pool, job), None)

    async def _remove_job(self, job: JobId) -> bool:
        """Remove a job's own rows; return whether that succeeded.

        An earlier version may have stored them in another part. A removal
        that the store applies late must not remove a later job of this id.
        """
        former = self._former_keys.get(job)
        try:
            if former is not None:
                await self._remove_version(former, job)
            reused = await self._remove_version(job_key(job), job)
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.info('expired job not removed job=%s: %s', job, error)
            return False
        if reused is None:
            return True
        if job not in self._versions:
            # No reading has brought the row yet, so it may be the job's own.
            self._note_row(reused)
            return False
        self._forget(job)
        self._apply_row(reused)
        return False

    async def _remove_version(
        self, key: RowKey, job: JobId
    ) -> StoredRow | None:
        """Remove a job's row as it was read, and its cancellation.

        Returns the row of another job that has taken the id. Raises
        ``StoreRefusedError`` or ``StoreUncertainError``.
        """
        version = self._versions.get(job, 0)
        if key != self._former_keys.get(job, job_key(job)):
            version = 0
        answer = await self._store.commit(
            Batch(
                expected=(Expect(key, version),),
                removes=(key, cancel_key_beside(key)),
            )
        )
        return None if isinstance(answer, Committed) else answer.find(key)


def _version(row: StoredRow) -> int:
    return row.version


def _arrived_at(entry: JobRun) -> float:
    return entry.arrived_at


# Clients may cancel any number of unknown jobs, and most of a queue's or an
# account's cancellations are equal.
@functools.lru_cache(maxsize=_CANCELLATIONS_CACHED)
def _read_cancellation(body: bytes) -> Cancellation | None:
    """Return a cancellation; earlier versions stored it without its queue."""
    try:
        return decode(body, Cancellation)
    except msgspec.ValidationError:
        return None
