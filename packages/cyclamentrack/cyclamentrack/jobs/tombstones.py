"""Removes the cancellations of jobs that were unknown when cancelled.

Such a cancellation is kept for as long as a submission of the job may still
be stored: the store may apply a write seconds after it was sent.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec
import trio

from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Expect,
    RowKey,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.records import Cancellation, cancelled_job, job_key

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
        self._found: dict[RowKey, _Tombstone] = {}

    def note(self, row: StoredRow, cancellation: Cancellation | None) -> None:
        """Note the present row of a cancellation."""
        if cancellation is None or not cancellation.job_unknown:
            self._found.pop(row.key, None)
            return
        known = self._found.get(row.key)
        if known is None or known.version != row.version:
            kept_s = KEPT_S if self._is_own(cancellation) else 2 * KEPT_S
            due_at = trio.current_time() + kept_s
            self._found[row.key] = _Tombstone(row.version, due_at)

    def forget(self, key: RowKey) -> None:
        """Forget a row that has been removed."""
        self._found.pop(key, None)

    async def run(self) -> None:
        """Remove tombstones until cancelled."""
        while True:
            await trio.sleep(_CHECK_S)
            now = trio.current_time()
            parts: dict[str, list[RowKey]] = {}
            for key, found in self._found.items():
                if found.due_at <= now:
                    parts.setdefault(key.part, []).append(key)
            for keys in parts.values():
                for first in range(0, len(keys), _PER_COMMIT):
                    await self._remove(keys[first : first + _PER_COMMIT])

    def _is_own(self, cancellation: Cancellation) -> bool:
        configuration = self._configuration()
        queue = configuration and configuration.queue(cancellation.queue)
        return bool(queue) and queue.pool == self._owner.claim.pool

    async def _remove(self, keys: list[RowKey]) -> None:
        """Remove tombstones together, or one by one if some are needed.

        Those that can't be removed now are tried again at the next check.
        """
        batch = Batch(
            expected=tuple(
                condition
                for key in keys
                if key in self._found
                for condition in self._conditions(key)
            ),
            removes=tuple(key for key in keys if key in self._found),
        )
        if not batch.removes:
            return
        try:
            answer = await self._store.commit(batch)
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.info('%d tombstones not removed: %s', len(keys), error)
            return
        if isinstance(answer, Committed) or len(keys) == 1:
            for key in keys:
                self.forget(key)
                self._owner.intake.forget_cancellation(key)
            return
        for key in keys:
            await self._remove([key])

    def _conditions(self, key: RowKey) -> tuple[Expect, ...]:
        """Return that there is no job, and no newer cancellation of it."""
        job = cancelled_job(key)
        present = Expect(key, self._found[key].version)
        return (present, Expect(job_key(job), 0)) if job else (present,)
