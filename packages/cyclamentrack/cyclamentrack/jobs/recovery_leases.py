"""Keeping adopted runs alive while an owner still reads its jobs.

The store may leave some jobs' rows unanswered for longer than a worker's lease
lasts. What runs can be held without knowing it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from cyclamentrack.errors import StoreUncertainError, WorkerUnreachableError
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.ports import PollOrder, StoreRefusedError

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies, SliceOwner

# Reading the jobs takes some hundredths of a second, a second in a slow store.
_BEGIN_S = 1.0
# Looks are priced; leases last 6 s or more.
_LOOK_S = 2.0
_ANSWER_S = 0.35
_RETRY_S = 0.15


class RecoveryHold:
    """Extends the leases of a slice's workers until it is cancelled."""

    def __init__(self, *, owner: SliceOwner, parts: OwnerDependencies) -> None:
        """Hold nothing before ``run``."""
        self._owner = owner
        self._parts = parts

    async def run(self) -> None:
        """Hold all listed workers if the recovery takes long.

        Raises ``OrderFencedError`` when a newer owner was there.
        """
        await trio.sleep(_BEGIN_S)
        workers = await self._list_workers()
        async with trio.open_nursery() as nursery:
            for worker in workers:
                nursery.start_soon(self._hold, worker)

    async def _list_workers(self) -> list[Worker]:
        table = self._parts.tables.workers
        while True:
            try:
                page = await self._parts.store.scan(table=table, part='')
            except (StoreUncertainError, StoreRefusedError):
                await trio.sleep(_RETRY_S)
                continue
            entries = [
                self._parts.entry_decoder.worker(row.key.key, row.body)
                for row in page.rows
            ]
            return [
                Worker(entry=entry)
                for entry in entries
                if entry is not None and entry.pool == self._owner.claim.pool
            ]

    async def _hold(self, worker: Worker) -> None:
        """Extend one worker's lease, unless its last look went unanswered."""
        while True:
            now = trio.current_time()
            until = worker.lease_until_ms(
                now=now, lease_s=self._owner.timings.worker_lease_s
            )
            if until is not None:
                self._owner.held_at[worker.entry.id] = now
            try:
                report = await self._owner.orders.poll(
                    worker=worker.entry,
                    order=PollOrder(
                        token=self._owner.claim.token,
                        acknowledged=0,
                        lease_until_ms=until,
                        wait_s=0.0,
                        answer_s=_ANSWER_S,
                    ),
                )
            except WorkerUnreachableError:
                worker.clock_ms = None
            else:
                worker.record_clock(
                    clock_ms=report.clock_ms, now=trio.current_time()
                )
            await trio.sleep(_RETRY_S if until is None else _LOOK_S)
