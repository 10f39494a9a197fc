"""Dispatch: turns waiting works into started attempts.

Each round serves the lanes in fair order. It reserves capacity on the workers
owned here and then on those of peers ("spill"), journals the intents of all
attempts that got capacity in one commit, and only then confirms the
reservations. The owner of a worker starts an attempt when it is confirmed.
"""

import logging
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

import trio

from cyclamentrack import defaults
from cyclamentrack.events import Placed, PlacedTask
from cyclamentrack.fairness import Fairness
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import (
    Incarnation,
    PartitionId,
    PoolName,
    WorkId,
    attempt_id,
    split_attempt,
)
from cyclamentrack.launch import Launcher
from cyclamentrack.membership import Membership
from cyclamentrack.messages import (
    AttemptRequest,
    Grant,
    Origin,
    Reserve,
    Reserved,
)
from cyclamentrack.metrics import Metrics
from cyclamentrack.ownership import Ownership
from cyclamentrack.peer_capacity import PeerCapacityView
from cyclamentrack.preemption import Preemption
from cyclamentrack.queue import Lane, LaneKey, WorkQueue
from cyclamentrack.registry import WorkRecord
from cyclamentrack.resolution import AttemptResolver
from cyclamentrack.retries import RetryBudget
from cyclamentrack.usage import Usage
from cyclamentrack.work import Kind, Work
from cyclamentrack.works import Works

_log = logging.getLogger(__name__)

# A round starts at least this often, also when nothing has changed.
_IDLE_ROUND_INTERVAL_S = 0.5
# Needs in one request to a peer, peers per lane and lanes per round.
_MAX_SPILL_NEEDS = 64
_MAX_SPILL_PEERS = 2
_MAX_SPILL_LANES = 2
# Shortest time between two spills of one lane.
_SPILL_INTERVAL_S = 0.5
_BELOW_SHARE_SPILL_INTERVAL_S = 0.1
# How long own work that isn't below its share leaves a pool to a peer.
_PEER_PRIORITY_S = 0.25


class Dispatcher:
    """Places the waiting works of this daemon."""

    def __init__(
        self,
        *,
        works: Works,
        queue: WorkQueue,
        fleet: Fleet,
        ownership: Ownership,
        membership: Membership,
        view: PeerCapacityView,
        launcher: Launcher,
        resolver: AttemptResolver,
        fairness: Fairness,
        usage: Usage,
        metrics: Metrics,
    ) -> None:
        """Place nothing before ``run``."""
        self._works = works
        self._queue = queue
        self._fleet = fleet
        self._ownership = ownership
        self._membership = membership
        self._view = view
        self._launcher = launcher
        self._fairness = fairness
        self._usage = usage
        self.preemption = Preemption(
            ledger=fleet.ledger,
            fairness=fairness,
            stop=lambda attempt, site: resolver.resolve(
                attempt, site, stop=True
            ),
        )
        self._metrics = metrics
        self._retries = RetryBudget()
        self._number_offsets: dict[WorkId, int] = {}
        self._peer_priority_until: dict[PoolName, float] = {}
        self._next_spill_at: dict[LaneKey, float] = {}
        self._closed_partitions: set[PartitionId] = set()
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.placements = 0

    def wake(self) -> None:
        """Start a round: there is new work or newly free capacity."""
        self._wake.set()

    def reconsider(self, record: WorkRecord) -> None:
        """Queue a work if any of its tasks wait for capacity."""
        if record.final or not record.waiting():
            self._queue.discard(record.work.id)
            return
        self._queue.offer(record)
        self.wake()

    def withdraw(self, work: WorkId) -> None:
        """Drop a work whose accept was withdrawn."""
        self._queue.discard(work)
        self._number_offsets.pop(work, None)

    def close(self, partition: PartitionId) -> None:
        """Stop placing works of a partition."""
        self._closed_partitions.add(partition)
        for record in list(self._queue.records()):
            if self._works.partition(record.work.id) == partition:
                self._queue.discard(record.work.id)

    def reopen(self, partition: PartitionId) -> None:
        """Place works of a partition again."""
        self._closed_partitions.discard(partition)

    def prioritize_peer(self, request: Reserve, granted: int) -> None:
        """Free capacity for a peer's work that is below its share.

        Does nothing unless the peer's request was granted nothing. Own work
        that isn't below its share isn't placed in the pool for
        ``_PEER_PRIORITY_S``, so that the peer's next request gets the
        capacity of attempts that are stopped or end in the meantime.
        """
        if not request.owed or granted:
            return
        need = request.needs[0]
        until = trio.current_time() + _PEER_PRIORITY_S
        self._peer_priority_until[need.pool] = until
        self.preemption.preempt_for_peer(need, len(request.needs))

    async def run(self) -> None:
        """Run rounds until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                with trio.move_on_after(_IDLE_ROUND_INTERVAL_S):
                    await self._wake.wait()
                self._wake = trio.Event()
                if self._membership.valid:
                    await self._round(nursery)
                await trio.lowlevel.checkpoint()

    async def _round(self, nursery: trio.Nursery) -> None:
        with self._metrics.timed('decision'):
            blocked = self._place_locally(nursery)
        self._preempt(blocked)
        for lane in blocked[:_MAX_SPILL_LANES]:
            if self._may_spill(lane):
                await self._spill(lane, nursery)

    def _preempt(self, blocked: list[Lane]) -> None:
        """Preempt for the first blocked lane that is below its share."""
        for lane in blocked:
            work = lane.first()
            if work is not None and self._fairness.is_below_share(work):
                self.preemption.preempt_for_work(work, len(lane.works))
                return

    def _may_spill(self, lane: Lane) -> bool:
        """Return whether a lane may ask peers now, and note that it does.

        A failed spill releases capacity, which starts a new round. Without a
        minimum interval between two spills of a lane this would be a busy
        loop.
        """
        now = trio.current_time()
        if now < self._next_spill_at.get(lane.key, now):
            return False
        self._next_spill_at = {
            key: at for key, at in self._next_spill_at.items() if at > now
        }
        work = lane.first()
        below = work is not None and self._fairness.is_below_share(work)
        wait_s = _BELOW_SHARE_SPILL_INTERVAL_S if below else _SPILL_INTERVAL_S
        self._next_spill_at[lane.key] = now + wait_s
        return True

    def _place_locally(self, nursery: trio.Nursery) -> list[Lane]:
        """Place on own workers; return the lanes that didn't fit."""
        budget = defaults.DISPATCH_BATCH
        blocked: list[Lane] = []
        grants: list[Grant] = []
        for lane in self._fairness.order(self._queue.lanes()):
            placed, stuck = self._place_lane(lane, budget)
            grants.extend(placed)
            budget -= len(placed)
            if stuck:
                blocked.append(lane)
            if budget <= 0:
                self.wake()
                break
        if grants:
            self._launcher.launch_later(grants, nursery)
        return blocked

    def _place_lane(self, lane: Lane, budget: int) -> tuple[list[Grant], bool]:
        """Place works of a lane in order until one doesn't fit.

        Return the grants and whether a work didn't fit.
        """
        placed: list[Grant] = []
        for record in list(islice(lane.works.values(), budget)):
            if not self._may_place(record.work):
                return placed, False
            needs = self._needs(record, budget - len(placed))
            if not needs:
                continue
            origin = self._origin(record)
            granted = self._fleet.reserve(
                Reserve(origin=origin, needs=needs),
            ).grants
            self._record_placed(record, granted)
            placed.extend(granted)
            if len(granted) < len(needs):
                return placed, True
            if len(placed) >= budget:
                break
        return placed, False

    def _may_place(self, work: Work) -> bool:
        """Return whether a work may be placed now.

        While a peer has priority in the pool, only work below its share may.
        """
        if not self._fairness.may_place(work):
            return False
        peer_until = self._peer_priority_until.get(work.pool, 0)
        if trio.current_time() >= peer_until:
            return True
        return self._fairness.is_below_share(work)

    def _needs(self, record: WorkRecord, budget: int) -> list[AttemptRequest]:
        waiting = record.waiting()
        if record.work.kind is not Kind.GANG:
            waiting = waiting[:budget]
        if not self._retries.allows(record, waiting):
            return []
        return [self._need(record, index) for index in waiting]

    def _need(self, record: WorkRecord, index: int) -> AttemptRequest:
        """Return the request for a task's next attempt.

        The offset skips numbers that were sent to a peer before, whatever
        the result of that request was.
        """
        work = record.work
        number = record.tasks[index].attempt + 1
        number += self._number_offsets.get(work.id, 0)
        return AttemptRequest(
            attempt=attempt_id(work=work.id, task=index, attempt=number),
            kind=work.kind,
            pool=work.pool,
            resources=work.resources,
            run_s=work.run_s,
            workload=work.workload,
        )

    def _record_placed(
        self, record: WorkRecord, grants: Iterable[Grant]
    ) -> None:
        """Journal the intents of a work's attempts that got capacity."""
        tasks: list[PlacedTask] = []
        for grant in grants:
            _, index, number = split_attempt(grant.attempt)
            tasks.append(PlacedTask(index, number, grant.site))
            self._usage.add(grant.attempt, record.work)
            self.preemption.add(grant.attempt, record.work, grant.site)
        if not tasks:
            return
        self._works.log(Placed(work=record.work.id, tasks=tasks))
        self._number_offsets.pop(record.work.id, None)
        self._retries.record_placed(record, len(tasks))
        self.placements += len(tasks)
        if not record.waiting():
            self._queue.discard(record.work.id)

    # Capacity of peers

    async def _spill(self, lane: Lane, nursery: trio.Nursery) -> None:
        """Reserve at the peers that probably have enough free capacity."""
        if lane.key.kind is Kind.GANG:
            await self._spill_gang(lane, nursery)
            return
        candidates = self._view.candidates(lane.key.pool, lane.key.resources)
        work = lane.first()
        if not candidates and work and self._fairness.is_below_share(work):
            candidates = self._view.pool_owners(lane.key.pool)
        records = list(islice(lane.works.values(), _MAX_SPILL_NEEDS))
        for peer in candidates[:_MAX_SPILL_PEERS]:
            await self._spill_to(peer, records, nursery)
            if not lane.works:
                return

    async def _spill_to(
        self,
        peer: Incarnation,
        records: list[WorkRecord],
        nursery: trio.Nursery,
    ) -> None:
        by_partition: dict[PartitionId, list[AttemptRequest]] = {}
        for record in records:
            if self._is_current(record):
                partition = self._works.partition(record.work.id)
                needs = self._needs(record, _MAX_SPILL_NEEDS)
                by_partition.setdefault(partition, []).extend(needs)
        for partition, needs in by_partition.items():
            if needs:
                grants = await self._reserve_at(
                    peer,
                    partition,
                    needs[:_MAX_SPILL_NEEDS],
                    partial=False,
                )
                self._use_grants(grants, nursery)

    async def _reserve_at(
        self,
        peer: Incarnation,
        partition: PartitionId,
        needs: list[AttemptRequest],
        *,
        partial: bool,
    ) -> list[Grant]:
        """Reserve at a peer and return its grants.

        Without an answer the peer may still have made the reservations, so they
        are released in the background.
        """
        member = self._membership.find(peer)
        if member is None or self._ownership.epoch(partition) is None:
            return []
        for need in needs:
            self._view.charge(peer, need.resources.milli_cores)
        request = Reserve(
            origin=self._ownership.origin(partition),
            needs=needs,
            partial=partial,
            owed=self._is_below_share(needs[0]),
        )
        self._advance_numbers(needs)
        reply = await self._launcher.call(member, request)
        if isinstance(reply, Reserved):
            return reply.grants
        attempts = [need.attempt for need in needs]
        self._start_soon(self._launcher.release, member, partition, attempts)
        return []

    def _advance_numbers(self, needs: list[AttemptRequest]) -> None:
        """Use new attempt numbers in the next requests of these works."""
        for work in {split_attempt(need.attempt)[0] for need in needs}:
            self._number_offsets[work] = self._number_offsets.get(work, 0) + 1

    def _use_grants(self, grants: list[Grant], nursery: trio.Nursery) -> None:
        by_work: dict[WorkId, list[Grant]] = {}
        for grant in grants:
            work, _, _ = split_attempt(grant.attempt)
            by_work.setdefault(work, []).append(grant)
        used: list[Grant] = []
        unused: list[Grant] = []
        for work, batch in by_work.items():
            record = self._works.find(work)
            if record is None or not self._is_still_waiting(record, batch):
                unused.extend(batch)
                continue
            self._record_placed(record, batch)
            used.extend(batch)
        if used:
            self._launcher.launch_later(used, nursery)
        if unused:
            nursery.start_soon(self._launcher.cancel, unused)

    def _is_still_waiting(
        self, record: WorkRecord, grants: list[Grant]
    ) -> bool:
        """Return whether the tasks still wait after the peer's reply."""
        if not self._is_current(record):
            return False
        waiting = set(record.waiting())
        return all(
            split_attempt(grant.attempt)[1] in waiting for grant in grants
        )

    def _is_current(self, record: WorkRecord) -> bool:
        return (
            not record.cancelled
            and self._works.find(record.work.id) is record
            and self._works.partition(record.work.id)
            not in self._closed_partitions
        )

    async def _spill_gang(self, lane: Lane, nursery: trio.Nursery) -> None:
        """Reserve a gang's tasks here and at peers: all of them or none.

        All daemons reserve in the order of the daemons' names, so that two
        gangs can't deadlock on each other's partial reservations.
        """
        record = next(iter(lane.works.values()), None)
        if record is None or not self._is_current(record):
            return
        needs = self._needs(record, record.work.tasks)
        if not needs:
            return
        self._advance_numbers(needs)
        partition = self._works.partition(record.work.id)
        grants: list[Grant] = []
        me = self._membership.me.incarnation
        names = self._view.candidates(lane.key.pool, lane.key.resources)
        for peer in sorted([*names, me]):
            missing = _missing(needs, grants)
            if not missing:
                break
            if peer == me:
                request = Reserve(
                    origin=self._ownership.origin(partition),
                    needs=missing,
                    partial=True,
                )
                grants.extend(self._fleet.reserve(request).grants)
                continue
            grants.extend(
                await self._reserve_at(
                    peer,
                    partition,
                    missing,
                    partial=True,
                ),
            )
        if _missing(needs, grants):
            await self._launcher.cancel(grants)
            return
        self._use_grants(grants, nursery)

    # Helpers

    def _is_below_share(self, need: AttemptRequest) -> bool:
        record = self._works.find(split_attempt(need.attempt)[0])
        return record is not None and self._fairness.is_below_share(record.work)

    def _start_soon(self, step: Callable[..., Any], *arguments: Any) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(step, *arguments)

    def _origin(self, record: WorkRecord) -> Origin:
        return self._ownership.origin(self._works.partition(record.work.id))


def _missing(
    needs: list[AttemptRequest], grants: list[Grant]
) -> list[AttemptRequest]:
    granted = {grant.attempt for grant in grants}
    return [need for need in needs if need.attempt not in granted]
