"""Dispatch: from waiting works to started attempts.

Each round takes lanes in fair order, reserves room here and then at peers,
journals the intents of all that got room in one commit, and only then
confirms the reservations, upon which the owner of the worker starts them.
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

_IDLE_S = 0.5
_SPILL_NEEDS = 64
_SPILL_PEERS = 2
_SPILL_LANES = 2
_SPILL_PAUSE_S = 0.5
_OWED_SPILL_PAUSE_S = 0.1
_GUEST_S = 0.25


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
        """Nothing is placed before ``run``."""
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
            stop=lambda attempt, site: resolver.ask(attempt, site, stop=True),
        )
        self._metrics = metrics
        self._retries = RetryBudget()
        self._tries: dict[WorkId, int] = {}
        self._guests: dict[PoolName, float] = {}
        self._spills_at: dict[LaneKey, float] = {}
        self._closed: set[PartitionId] = set()
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.placements = 0

    def wake(self) -> None:
        """Let a round begin: there is new work or new room."""
        self._wake.set()

    def offer(self, record: WorkRecord) -> None:
        """Queue a work whose tasks wait for room."""
        if record.final or not record.waiting():
            self._queue.discard(record.work.id)
            return
        self._queue.offer(record)
        self.wake()

    def withdraw(self, work: WorkId) -> None:
        """Forget a work whose accept was taken back."""
        self._queue.discard(work)
        self._tries.pop(work, None)

    def close(self, partition: PartitionId) -> None:
        """Place no more works of a partition."""
        self._closed.add(partition)
        for record in list(self._queue.records()):
            if self._works.partition(record.work.id) == partition:
                self._queue.discard(record.work.id)

    def reopen(self, partition: PartitionId) -> None:
        """Place works of a partition from now on."""
        self._closed.discard(partition)

    def prioritize_peer(self, request: Reserve, granted: int) -> None:
        """Make room for a peer's work that is owed room and found none.

        Own work that isn't owed any steps back for a moment, so that the
        peer's next try finds what is stopped or ends meanwhile.
        """
        if not request.owed or granted:
            return
        need = request.needs[0]
        until = trio.current_time() + _GUEST_S
        self._guests[need.pool] = until
        self.preemption.make_room_for(need, len(request.needs))

    async def run(self) -> None:
        """Run rounds until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                with trio.move_on_after(_IDLE_S):
                    await self._wake.wait()
                self._wake = trio.Event()
                if self._membership.valid:
                    await self._round(nursery)
                await trio.lowlevel.checkpoint()

    async def _round(self, nursery: trio.Nursery) -> None:
        with self._metrics.timed('decision'):
            blocked = self._place_here(nursery)
        self._take_back(blocked)
        for lane in blocked[:_SPILL_LANES]:
            if self._may_spill(lane):
                await self._spill(lane, nursery)

    def _take_back(self, blocked: list[Lane]) -> None:
        """Stop borrowers for the first blocked lane that is below its floor."""
        for lane in blocked:
            work = lane.first()
            if work is not None and self._fairness.is_owed(work):
                self.preemption.make_room(work, len(lane.works))
                return

    def _may_spill(self, lane: Lane) -> bool:
        """Tell whether a lane's turn to ask peers has come again.

        A failed spill gives room back, which begins a new round: without a
        pause between two spills of a lane that would go on for ever.
        """
        now = trio.current_time()
        if now < self._spills_at.get(lane.key, now):
            return False
        self._spills_at = {
            key: at for key, at in self._spills_at.items() if at > now
        }
        work = lane.first()
        owed = work is not None and self._fairness.is_owed(work)
        pause_s = _OWED_SPILL_PAUSE_S if owed else _SPILL_PAUSE_S
        self._spills_at[lane.key] = now + pause_s
        return True

    def _place_here(self, nursery: trio.Nursery) -> list[Lane]:
        """Place on own workers; return the lanes that found no room."""
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
        """Place works of a lane in order until one finds no room."""
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
            self._note_placed(record, granted)
            placed.extend(granted)
            if len(granted) < len(needs):
                return placed, True
            if len(placed) >= budget:
                break
        return placed, False

    def _may_place(self, work: Work) -> bool:
        """Tell whether a work may take room now, before any guest."""
        if not self._fairness.may_place(work):
            return False
        guest_until = self._guests.get(work.pool, 0)
        if trio.current_time() >= guest_until:
            return True
        return self._fairness.is_owed(work)

    def _needs(self, record: WorkRecord, budget: int) -> list[AttemptRequest]:
        waiting = record.waiting()
        if record.work.kind is not Kind.GANG:
            waiting = waiting[:budget]
        if not self._retries.allows(record, waiting):
            return []
        return [self._need(record, index) for index in waiting]

    def _need(self, record: WorkRecord, index: int) -> AttemptRequest:
        """Describe the next attempt at a task; its number was never used."""
        work = record.work
        number = record.tasks[index].attempt + 1
        number += self._tries.get(work.id, 0)
        return AttemptRequest(
            attempt=attempt_id(work=work.id, task=index, attempt=number),
            kind=work.kind,
            pool=work.pool,
            resources=work.resources,
            run_s=work.run_s,
            workload=work.workload,
        )

    def _note_placed(self, record: WorkRecord, grants: Iterable[Grant]) -> None:
        """Journal the intents of a work's attempts that got room."""
        tasks: list[PlacedTask] = []
        for grant in grants:
            _, index, number = split_attempt(grant.attempt)
            tasks.append(PlacedTask(index, number, grant.site))
            self._usage.hold(grant.attempt, record.work)
            self.preemption.note(grant.attempt, record.work, grant.site)
        if not tasks:
            return
        self._works.log(Placed(work=record.work.id, tasks=tasks))
        self._tries.pop(record.work.id, None)
        self._retries.note(record, len(tasks))
        self.placements += len(tasks)
        if not record.waiting():
            self._queue.discard(record.work.id)

    # Room at peers

    async def _spill(self, lane: Lane, nursery: trio.Nursery) -> None:
        """Look for room at the peers that probably have it."""
        if lane.key.kind is Kind.GANG:
            await self._spill_gang(lane, nursery)
            return
        candidates = self._view.candidates(lane.key.pool, lane.key.resources)
        work = lane.first()
        if not candidates and work and self._fairness.is_owed(work):
            candidates = self._view.holders(lane.key.pool)
        records = list(islice(lane.works.values(), _SPILL_NEEDS))
        for peer in candidates[:_SPILL_PEERS]:
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
                needs = self._needs(record, _SPILL_NEEDS)
                by_partition.setdefault(partition, []).extend(needs)
        for partition, needs in by_partition.items():
            if needs:
                grants = await self._reserve_at(
                    peer,
                    partition,
                    needs[:_SPILL_NEEDS],
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
        """Try to reserve at a peer; silence means that a cancel follows."""
        agent = self._membership.find(peer)
        if agent is None or self._ownership.epoch(partition) is None:
            return []
        for need in needs:
            self._view.charge(peer, need.resources.milli_cores)
        request = Reserve(
            origin=self._ownership.origin(partition),
            needs=needs,
            partial=partial,
            owed=self._is_owed(needs[0]),
        )
        self._count_tries(needs)
        reply = await self._launcher.call(agent, request)
        if isinstance(reply, Reserved):
            return reply.grants
        attempts = [need.attempt for need in needs]
        self._start_soon(self._launcher.release, agent, partition, attempts)
        return []

    def _count_tries(self, needs: list[AttemptRequest]) -> None:
        """Use new attempt numbers next time, whatever becomes of these."""
        for work in {split_attempt(need.attempt)[0] for need in needs}:
            self._tries[work] = self._tries.get(work, 0) + 1

    def _use_grants(self, grants: list[Grant], nursery: trio.Nursery) -> None:
        by_work: dict[WorkId, list[Grant]] = {}
        for grant in grants:
            work, _, _ = split_attempt(grant.attempt)
            by_work.setdefault(work, []).append(grant)
        used: list[Grant] = []
        unused: list[Grant] = []
        for work, batch in by_work.items():
            record = self._works.find(work)
            if record is None or not self._still_waits(record, batch):
                unused.extend(batch)
                continue
            self._note_placed(record, batch)
            used.extend(batch)
        if used:
            self._launcher.launch_later(used, nursery)
        if unused:
            nursery.start_soon(self._launcher.cancel, unused)

    def _still_waits(self, record: WorkRecord, grants: list[Grant]) -> bool:
        """Tell whether the tasks still wait, after a reply took its time."""
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
            and self._works.partition(record.work.id) not in self._closed
        )

    async def _spill_gang(self, lane: Lane, nursery: trio.Nursery) -> None:
        """Reserve a gang's tasks here and at peers: all of them or none.

        Peers are asked in the order of their names, so that two gangs never
        hold each other's room in a circle.
        """
        record = next(iter(lane.works.values()), None)
        if record is None or not self._is_current(record):
            return
        needs = self._needs(record, record.work.tasks)
        if not needs:
            return
        self._count_tries(needs)
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

    # Small helpers

    def _is_owed(self, need: AttemptRequest) -> bool:
        record = self._works.find(split_attempt(need.attempt)[0])
        return record is not None and self._fairness.is_owed(record.work)

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
