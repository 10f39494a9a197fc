"""Extends the leases of workers while a new owner still reads its jobs.

The store may not answer reads of some jobs for longer than a worker's lease
lasts. Leases can be extended without knowing the runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from cyclamentrack.errors import StoreUncertainError, WorkerUnreachableError
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.ports import PollOrder, StoreRefusedError

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies, SliceOwner

# Reading the jobs takes some hundredths of a second, or a second from a slow
# store.
_START_DELAY_S = 1.0
# Every poll has a cost, and leases last 6 s or more.
_POLL_INTERVAL_S = 2.0
_ANSWER_S = 0.35
_RETRY_S = 0.15


class RecoveryLeases:
    """Extends the leases of a slice's workers until it is cancelled."""

    def __init__(
        self, *, owner: SliceOwner, dependencies: OwnerDependencies
    ) -> None:
        """Create the task; it sends nothing until ``run``."""
        self._owner = owner
        self._dependencies = dependencies

    async def run(self) -> None:
        """Extend the leases of all listed workers if the recovery takes long.

        Raises ``OrderFencedError`` if a worker follows a newer owner.
        """
        await trio.sleep(_START_DELAY_S)
        workers = await self._list_workers()
        async with trio.open_nursery() as nursery:
            for worker in workers:
                nursery.start_soon(self._extend_lease, worker)

    async def _list_workers(self) -> list[Worker]:
        table = self._dependencies.tables.workers
        while True:
            try:
                page = await self._dependencies.store.scan(table=table, part='')
            except (StoreUncertainError, StoreRefusedError):
                await trio.sleep(_RETRY_S)
                continue
            entries = [
                self._dependencies.entry_decoder.worker(row.key.key, row.body)
                for row in page.rows
            ]
            return [
                Worker(entry=entry)
                for entry in entries
                if entry is not None and entry.pool == self._owner.claim.pool
            ]

    async def _extend_lease(self, worker: Worker) -> None:
        """Poll one worker; extend its lease if it answered the last poll."""
        while True:
            quorum = self._owner.quorum
            asked_at = quorum.now
            now = trio.current_time()
            until = worker.lease_until_ms(
                now=now,
                lease_s=self._owner.timings.worker_lease_s,
                overdue_s=quorum.overdue_s,
            )
            if until is not None:
                self._owner.recovery_leases_sent_at[worker.entry.id] = now
            try:
                report = await self._owner.orders.poll(
                    worker=worker.entry,
                    order=PollOrder(
                        token=self._owner.claim.token,
                        incarnation=worker.incarnation,
                        acknowledged=0,
                        lease_until_ms=until,
                        wait_s=0.0,
                        answer_s=_ANSWER_S,
                    ),
                )
            except WorkerUnreachableError:
                worker.clock_ms = None
            else:
                quorum.note_answer(
                    worker.entry,
                    incarnation=report.incarnation,
                    asked_at=asked_at,
                )
                worker.record_clock(
                    clock_ms=report.clock_ms, now=trio.current_time()
                )
            await trio.sleep(_RETRY_S if until is None else _POLL_INTERVAL_S)
