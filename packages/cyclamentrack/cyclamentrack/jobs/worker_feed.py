"""Follows the platform's list of a slice's workers and polls each of them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.fleet import Worker, lease_end
from cyclamentrack.jobs.lease_quorum import EXTENSION_S
from cyclamentrack.jobs.ports import (
    Changes,
    HistoryLostError,
    StoredRow,
    StoreRefusedError,
)
from cyclamentrack.jobs.registry import Placement, placements
from cyclamentrack.jobs.watch import WorkerPoller

if TYPE_CHECKING:
    from cyclamentrack.jobs.owner import OwnerDependencies, SliceOwner

_log = logging.getLogger(__name__)

# A dead connection hides a draining worker for this long.
_FEED_WAIT_S = 1.0
_FEED_RETRY_S = 0.15
# Worker entries change often, and only state and address are needed.
_FEED_GAP_S = 0.25
# First polls at the same time: with new connections to all workers at once, all
# first polls would time out.
_CONCURRENT_CONTACTS = 16


class WorkerFeed:
    """Follows the platform's list of workers and starts a poller for each."""

    def __init__(
        self, *, owner: SliceOwner, dependencies: OwnerDependencies
    ) -> None:
        """Create the feed; it reads nothing until ``follow``."""
        self._owner = owner
        self._dependencies = dependencies
        self._store = dependencies.store
        self._contact_limiter = trio.CapacityLimiter(_CONCURRENT_CONTACTS)
        self._listed = trio.Event()
        self._health = owner.worker_list

    async def follow(self) -> None:
        """Follow the list until cancelled."""
        table = self._dependencies.tables.workers
        version: int | None = None
        while True:
            try:
                if version is None:
                    version = await self._read_list()
                changes = await self._store.follow(
                    table=table, after=version, wait_s=_FEED_WAIT_S
                )
            except (StoreUncertainError, StoreRefusedError) as error:
                self._health.note_failure(error)
                await trio.sleep(_FEED_RETRY_S)
                continue
            except HistoryLostError:
                version = None
                continue
            self._health.note_answer()
            version = changes.version
            self._apply_changes(changes)
            await trio.sleep(_FEED_GAP_S)

    async def drop_unlisted_runs(self) -> None:
        """Drop recorded runs whose worker has not been listed since the claim.

        Waits until the lease of such a worker has certainly ended. What closed
        jobs had running before the claim has also ended then.
        """
        quorum = self._owner.quorum
        recovery_leases_sent_at = self._owner.recovery_leases_sent_at.values()
        with trio.move_on_at(quorum.extensions_end_at):
            await quorum.excluded.wait()
        lease_sent_at = max(
            (quorum.extensions_end_at, *recovery_leases_sent_at)
        )
        await trio.sleep_until(
            lease_end(
                sent_at=lease_sent_at,
                lease_s=self._owner.timings.worker_lease_s,
            )
        )
        self._owner.caps.release_former()
        await self._listed.wait()
        for placement in list(placements(self._owner.registry)):
            if placement.worker not in self._owner.fleet.workers:
                self._owner.handle_lost_run(
                    placement, why='its worker is not listed'
                )

    async def _read_list(self) -> int:
        table = self._dependencies.tables.workers
        page = await self._store.scan(table=table, part='')
        self._replace_entries(page.rows)
        self._health.note_answer()
        return page.version

    def _replace_entries(self, rows: tuple[StoredRow, ...]) -> None:
        present = {WorkerId(row.key.key) for row in rows}
        for worker in self._owner.fleet.workers:
            if worker not in present:
                self._owner.fleet.mark_unlisted(worker)
        self._apply_rows(rows)
        self._owner.registry.update_pool_capacity(
            self._owner.fleet.task_capacity
        )
        self._listed.set()

    def _apply_changes(self, changes: Changes) -> None:
        for key in changes.removed:
            self._owner.fleet.mark_unlisted(WorkerId(key.key))
        self._apply_rows(changes.rows)
        self._owner.wake()

    def _apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        found = [new for row in rows if (new := self._apply_entry(row))]
        if not found:
            return
        recorded: dict[WorkerId, list[Placement]] = {}
        for placement in placements(self._owner.registry):
            recorded.setdefault(placement.worker, []).append(placement)
        for worker in found:
            self._start_polling(worker, recorded.get(worker.entry.id, []))

    def _apply_entry(self, row: StoredRow) -> Worker | None:
        """Update a worker's entry; return the worker if it is new."""
        entry = self._dependencies.entry_decoder.worker(row.key.key, row.body)
        if entry is None or entry.pool != self._owner.claim.pool:
            return None
        known = self._owner.fleet.workers.get(entry.id)
        worker = self._owner.fleet.update_entry(entry)
        return None if worker is known else worker

    def _start_polling(self, worker: Worker, recorded: list[Placement]) -> None:
        """Charge a worker's recorded runs to it and start polling it."""
        worker.lease_sent_at = max(
            self._owner.claim.claimed_at + EXTENSION_S,
            self._owner.recovery_leases_sent_at.get(worker.entry.id, 0.0),
        )
        for placement in recorded:
            step = self._owner.registry.step_of(placement.task)
            if step is not None:
                worker.charge_run(
                    task=placement.task,
                    run=placement.run,
                    step=step.step,
                )
        poller = WorkerPoller(
            owner=self._owner,
            worker=worker,
            contact_limiter=self._contact_limiter,
        )
        self._owner.nursery.start_soon(poller.run)
