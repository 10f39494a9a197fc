"""Removes the cancellations of jobs that were unknown when cancelled.

Such a cancellation is kept for as long as a submission of the job may still
be stored: the store may apply a write seconds after it was sent.
"""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING

import msgspec
import trio

from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.jobs.model import JobId
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Expect,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import (
    Cancellation,
    cancel_key,
    job_key,
    jobs_part,
)

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies, SliceOwner

_log = logging.getLogger(__name__)

# Far longer than the store or a node may delay a write. The owner's steady
# clock measures it, since clocks of instances may step.
KEPT_S = 180.0
_CHECK_S = 5.0
# Each takes three of the 100 entries of a call: two conditions, one removal.
_PER_COMMIT = 32


class _Tombstone(msgspec.Struct, frozen=True):
    version: int
    due_at: float


class TombstoneRemover:
    """Removes the tombstones of a slice's queues once they are needless.

    It also removes those of other slices, but so much later that their own
    owners have done it, if there are any. A tombstone beside a job stays: the
    job's owner removes it together with the job.
    """

    def __init__(
        self, *, owner: SliceOwner, dependencies: OwnerDependencies
    ) -> None:
        """Know no tombstones yet."""
        self._owner = owner
        self._configuration = dependencies.configuration
        self._store = dependencies.store
        self._found: dict[JobId, _Tombstone] = {}

    def note(
        self, job: JobId, row: StoredRow, cancellation: Cancellation | None
    ) -> None:
        """Note the present row of a job's cancellation."""
        if cancellation is None or not cancellation.job_unknown:
            self.forget(job)
            return
        known = self._found.get(job)
        if known is None or known.version != row.version:
            kept_s = KEPT_S if self._is_own(cancellation) else 2 * KEPT_S
            due_at = trio.current_time() + kept_s
            self._found[job] = _Tombstone(row.version, due_at)

    def forget(self, job: JobId) -> None:
        """Forget a job whose cancellation is no tombstone, or is gone."""
        self._found.pop(job, None)

    async def run(self) -> None:
        """Remove tombstones until cancelled."""
        while True:
            await trio.sleep(_CHECK_S)
            now = trio.current_time()
            parts: dict[str, list[JobId]] = {}
            for job, found in self._found.items():
                if found.due_at <= now:
                    parts.setdefault(jobs_part(job), []).append(job)
            for jobs in parts.values():
                for first in range(0, len(jobs), _PER_COMMIT):
                    await self._remove(jobs[first : first + _PER_COMMIT])

    def _is_own(self, cancellation: Cancellation) -> bool:
        configuration = self._configuration()
        queue = configuration and configuration.queue(cancellation.queue)
        return bool(queue) and queue.pool == self._owner.claim.pool

    async def _remove(self, jobs: list[JobId]) -> None:
        """Remove tombstones together, or one by one if some are needed.

        Those that can't be removed now are tried again at the next check.
        """
        present = [job for job in jobs if job in self._found]
        if not present:
            return
        try:
            answer = await self._store.commit(self._removal(present))
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.info('%d tombstones not removed: %s', len(present), error)
            return
        if isinstance(answer, Committed) or len(present) == 1:
            for job in present:
                self._owner.intake.forget_cancellation(cancel_key(job))
            return
        for job in present:
            await self._remove([job])

    def _removal(self, jobs: list[JobId]) -> Batch:
        """Return the removal of tombstones that are still the newest ones.

        There must be no jobs beside them.
        """
        keys = [cancel_key(job) for job in jobs]
        found = [self._found[job].version for job in jobs]
        return Batch(
            expected=(
                *itertools.starmap(Expect, zip(keys, found, strict=True)),
                *(Expect(job_key(job), 0) for job in jobs),
            ),
            removes=tuple(keys),
        )
