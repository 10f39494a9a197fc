"""The workers of a slice as the platform lists them, each with a watch."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker
from cyclamentrack.jobs.ports import (
    Changes,
    HistoryLostError,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.registry import Placement, placements
from cyclamentrack.jobs.watch import WorkerWatch

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies, SliceOwner

_log = logging.getLogger(__name__)

# A connection that has gone silent hides a draining worker for so long.
_FEED_WAIT_S = 1.0
_FEED_RETRY_S = 0.15
# Worker entries change often and are only read for state and address.
_FEED_GAP_S = 0.25
# A run's worker that isn't listed at a claim may still run it for so long
# beyond the lease: the former owner may have held it until it learnt of the
# claim.
_FORMER_OWNER_S = 2.0
_CLOCK_SLACK = 1.03
# New connections to all workers at once would let all first looks time out.
_GREETINGS = 16


class WorkerRoster:
    """Follows the platform's list and begins a watch for each worker."""

    def __init__(self, *, owner: SliceOwner, parts: OwnerDependencies) -> None:
        """Follow nothing before ``follow``."""
        self._owner = owner
        self._parts = parts
        self._store = parts.store
        self._greeting = trio.CapacityLimiter(_GREETINGS)
        self._listed = trio.Event()

    async def follow(self) -> None:
        """Follow the list until cancelled."""
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
            await trio.sleep(_FEED_GAP_S)

    async def settle_unlisted(self) -> None:
        """Give up runs whose worker wasn't listed since before the claim."""
        lease = self._owner.timings.worker_lease_s * _CLOCK_SLACK
        held_at = self._owner.held_at.values()
        lease_sent_at = max((self._owner.claim.claimed_at, *held_at))
        settled_at = lease_sent_at + lease + _FORMER_OWNER_S
        await trio.sleep_until(settled_at)
        await self._listed.wait()
        for placement in list(placements(self._owner.registry)):
            if placement.worker not in self._owner.fleet.workers:
                self._owner.run_lost(placement, why='its worker is not listed')

    def _reset_workers(self, rows: tuple[StoredRow, ...]) -> None:
        present = {WorkerId(row.key.key) for row in rows}
        for worker in self._owner.fleet.workers:
            if worker not in present:
                self._owner.fleet.mark_unlisted(worker)
        self._take_rows(rows)
        self._owner.registry.update_pool_capacity(
            self._owner.fleet.task_capacity
        )
        self._listed.set()

    def _take_workers(self, changes: Changes) -> None:
        for key in changes.removed:
            self._owner.fleet.mark_unlisted(WorkerId(key.key))
        self._take_rows(changes.rows)
        self._owner.wake()

    def _take_rows(self, rows: tuple[StoredRow, ...]) -> None:
        found = [new for row in rows if (new := self._take_worker(row))]
        if not found:
            return
        recorded: dict[WorkerId, list[Placement]] = {}
        for placement in placements(self._owner.registry):
            recorded.setdefault(placement.worker, []).append(placement)
        for worker in found:
            self._adopt(worker, recorded.get(worker.entry.id, []))

    def _take_worker(self, row: StoredRow) -> Worker | None:
        """Take in a worker's entry; return the worker if it is new."""
        entry = self._parts.entry_decoder.worker(row.key.key, row.body)
        if entry is None or entry.pool != self._owner.claim.pool:
            return None
        known = self._owner.fleet.workers.get(entry.id)
        worker = self._owner.fleet.update_entry(entry)
        return None if worker is known else worker

    def _adopt(self, worker: Worker, recorded: list[Placement]) -> None:
        """Charge a worker's recorded runs and begin to hold it."""
        worker.lease_sent_at = max(
            self._owner.claim.claimed_at + _FORMER_OWNER_S,
            self._owner.held_at.get(worker.entry.id, 0.0),
        )
        for placement in recorded:
            step = self._owner.registry.step_of(placement.task)
            if step is not None:
                worker.take(
                    task=placement.task,
                    run=placement.run,
                    step=step.step,
                )
        watch = WorkerWatch(
            owner=self._owner, worker=worker, greeting=self._greeting
        )
        self._owner.nursery.start_soon(watch.run)
