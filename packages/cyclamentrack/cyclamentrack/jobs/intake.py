"""Jobs on their way into a slice's book: recovery, the feed, and clearing."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from cyclamentrack.codec import decode
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.jobs.journal import HEAD
from cyclamentrack.jobs.model import Job, JobId, JobState, Queue
from cyclamentrack.jobs.ports import (
    Batch,
    HistoryLostError,
    Page,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import (
    JOBS,
    STEPS,
    all_jobs_parts,
    cancel_key,
    cancelled_job,
    closed_key,
    job_key,
    pool_of_part,
)
from cyclamentrack.jobs.registry import Closed, JobRun, placements

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies, SliceOwner

_log = logging.getLogger(__name__)

# A feed's connection that has gone silent is noticed after this and the
# adapter's slack; what callers hand in meanwhile waits so long.
_FEED_WAIT_S = 1.0
_FEED_RETRY_S = 0.15
# Nodes tell the owner at once of what they keep; the feed is for what they
# could not tell, so several changes share one answer.
_FEED_GAP_S = 0.25
_SWEEP_S = 5.0
# Clocks of instances differ; an older acceptance is taken for this old.
_MAX_AGE_S = 120.0


class JobIntake:
    """Brings a slice's jobs from the store into its owner's book."""

    def __init__(self, *, owner: SliceOwner, parts: OwnerDependencies) -> None:
        """Read nothing before ``recover``."""
        self._owner = owner
        self._parts = parts
        self._store = parts.store

    async def recover(self) -> int:
        """Read the book that earlier owners left; return its version."""
        kept = await self._scan(STEPS, self._owner.claim.pool)
        for row in kept.rows:
            if '.' not in row.key.key and row.key.key != HEAD:
                closed = decode(row.body, Closed)
                self._owner.registry.closed[JobId(row.key.key)] = closed
        version = await self._read_jobs()
        for row in kept.rows:
            if '.' in row.key.key:
                self._restore_step(row)
        for entry in list(self._owner.registry.jobs.values()):
            self._resume(entry)
        _log.info(
            'slice recovered pool=%s token=%d open=%d closed=%d runs=%d',
            self._owner.claim.pool,
            self._owner.claim.token,
            len(self._owner.registry.jobs),
            len(self._owner.registry.closed),
            sum(1 for _ in placements(self._owner.registry)),
        )
        return version

    async def follow(self, version: int) -> None:
        """Follow what callers hand in and cancel, until cancelled."""
        await self._follow_feed(version)
        while True:
            version = await self._newest()
            async with trio.open_nursery() as nursery:
                for part in all_jobs_parts(self._owner.claim.pool):
                    nursery.start_soon(self._read_part, part)
                await self._follow_feed(version)
                nursery.cancel_scope.cancel()

    def take_kept(self, job: Job) -> None:
        """Take in a job that a node has just kept.

        The feed brings it too, but may be seconds late while the store is in
        trouble.
        """
        if self._owner.recovered.is_set():
            self._admit(job)
            self._owner.wake()

    def take_cancel(self, job: JobId) -> None:
        """Take in a cancelling that a node has just kept."""
        self._take_cancel(job)
        self._owner.wake()

    async def sweep(self) -> None:
        """Remove jobs whose state no caller may ask for any more.

        A job whose row outlived its final state would run again.
        """
        while True:
            await trio.sleep(_SWEEP_S)
            horizon = self._parts.wall_clock() - self._owner.timings.status_s
            old = [
                job
                for job, closed in self._owner.registry.closed.items()
                if closed.closed_at_s < horizon
            ]
            for job in old:
                if await self._remove_job(job):
                    self._forget(job)

    def _resume(self, entry: JobRun) -> None:
        if entry.job.id in self._owner.registry.cancels:
            self._owner.close(entry, JobState.CANCELLED)
            return
        self._owner.open_due(entry)
        if self._owner.registry.all_done(entry):
            self._owner.close(entry, JobState.COMPLETED)

    async def _follow_feed(self, version: int) -> None:
        """Follow the feed until its history is lost."""
        while True:
            try:
                changes = await self._store.follow(
                    table=JOBS, after=version, wait_s=_FEED_WAIT_S
                )
            except (StoreUncertainError, StoreRefusedError):
                await trio.sleep(_FEED_RETRY_S)
                continue
            except HistoryLostError:
                return
            version = changes.version
            for row in changes.rows:
                if pool_of_part(row.key.part) == self._owner.claim.pool:
                    self._take_job(row)
            self._owner.wake()
            await trio.sleep(_FEED_GAP_S)

    async def _newest(self) -> int:
        """Return a version from which to follow, without reading any job."""
        while True:
            await trio.sleep(_FEED_RETRY_S)
            try:
                return (await self._store.parts(table=JOBS)).version
            except (StoreUncertainError, StoreRefusedError) as error:
                _log.warning('jobs can not be followed: %s', error)

    async def _read_jobs(self) -> int:
        """Read all jobs of the pool; return the oldest page's version."""
        versions: list[int] = []

        async def read(part: str) -> None:
            versions.append(await self._read_part(part))

        async with trio.open_nursery() as nursery:
            for part in all_jobs_parts(self._owner.claim.pool):
                nursery.start_soon(read, part)
        return min(versions)

    async def _read_part(self, part: str) -> int:
        page = await self._scan(JOBS, part)
        for row in page.rows:
            self._take_job(row)
        self._owner.wake()
        return page.version

    async def _scan(self, table: str, part: str) -> Page:
        while True:
            try:
                return await self._store.scan(table=table, part=part)
            except (StoreUncertainError, StoreRefusedError) as error:
                _log.warning(
                    'slice %s waits: %s', self._owner.claim.pool, error
                )
                await trio.sleep(_FEED_RETRY_S)

    def _restore_step(self, row: StoredRow) -> None:
        entry = self._owner.registry.jobs.get(JobId(row.key.key.split('.')[0]))
        if entry is None:
            self._owner.journal.put(row.key, None)
            return
        self._owner.registry.restore(
            entry, row.key.key, row.body, trio.current_time()
        )

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
        entry = self._owner.registry.admit(job=job, queue=queue, now=arrived)
        if entry is None:
            return
        if not self._owner.recovered.is_set():
            return
        _log.info(
            'job taken in job=%s queue=%s steps=%d',
            job.id,
            job.queue,
            len(job.steps),
        )
        self._resume(entry)

    def _take_cancel(self, job: JobId) -> None:
        self._owner.registry.cancels.add(job)
        entry = self._owner.registry.jobs.get(job)
        if entry is not None and self._owner.recovered.is_set():
            self._owner.close(entry, JobState.CANCELLED)

    def _forget(self, job: JobId) -> None:
        self._owner.registry.closed.pop(job)
        self._owner.registry.cancels.discard(job)
        self._owner.journal.put(closed_key(self._owner.claim.pool, job), None)

    async def _remove_job(self, job: JobId) -> bool:
        """Remove what was handed in; tell whether that is done."""
        pool = self._owner.claim.pool
        rows = (job_key(pool, job), cancel_key(pool, job))
        try:
            await self._store.commit(Batch(removes=rows))
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.info('job %s stays in the store: %s', job, error)
            return False
        return True
