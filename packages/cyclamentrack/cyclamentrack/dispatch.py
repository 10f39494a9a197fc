"""Dispatch: from waiting works to started attempts.

Each round takes lanes in fair order, reserves room here and then at peers,
journals the intents of all that got room in one commit, and only then
confirms the reservations, upon which the owner of the worker starts them.
"""

import logging
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.book import WorkRecord
from cyclamentrack.cellview import CellView
from cyclamentrack.errors import PeerSilentError
from cyclamentrack.events import Placed, PlacedTask
from cyclamentrack.fairness import Fairness
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import (
    AttemptId,
    Incarnation,
    PartitionId,
    WorkId,
    attempt_id,
    split_attempt,
)
from cyclamentrack.membership import Member, Membership
from cyclamentrack.messages import (
    Confirm,
    Confirmation,
    Confirmed,
    Grant,
    Need,
    Origin,
    Release,
    Reserve,
    Reserved,
)
from cyclamentrack.ownership import Ownership
from cyclamentrack.ports import Peers
from cyclamentrack.queue import Lane, LaneKey, WorkQueue
from cyclamentrack.retries import RetryBudget
from cyclamentrack.settle import Settler
from cyclamentrack.usage import Usage
from cyclamentrack.waits import Waits
from cyclamentrack.work import Kind
from cyclamentrack.works import Works

_log = logging.getLogger(__name__)

_IDLE_S = 0.5
_SPILL_NEEDS = 64
_SPILL_PEERS = 2
_SPILL_LANES = 2
_SPILL_PAUSE_S = 0.5


class _Launch(msgspec.Struct, frozen=True, kw_only=True):
    """Attempts whose intents were journalled, by the daemon to confirm at."""

    position: int
    grants: list[Grant]


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
        view: CellView,
        peers: Peers,
        settler: Settler,
        fairness: Fairness,
        usage: Usage,
        waits: Waits,
    ) -> None:
        """Nothing is placed before ``run``."""
        self._works = works
        self._queue = queue
        self._fleet = fleet
        self._ownership = ownership
        self._membership = membership
        self._view = view
        self._peers = peers
        self._settler = settler
        self._fairness = fairness
        self._usage = usage
        self._waits = waits
        self._retries = RetryBudget()
        self._tries: dict[WorkId, int] = {}
        self._spills_at: dict[LaneKey, float] = {}
        self._closed: set[PartitionId] = set()
        self._in_flight: dict[PartitionId, int] = {}
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

    def is_idle(self, partition: PartitionId) -> bool:
        """Tell whether no launch of a partition's work is in flight."""
        return not self._in_flight.get(partition)

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
        blocked = self._place_here(nursery)
        for lane in blocked[:_SPILL_LANES]:
            if self._may_spill(lane):
                await self._spill(lane, nursery)

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
        self._spills_at[lane.key] = now + _SPILL_PAUSE_S
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
            self._launch_later(grants, nursery)
        return blocked

    def _place_lane(self, lane: Lane, budget: int) -> tuple[list[Grant], bool]:
        """Place works of a lane in order until one finds no room."""
        placed: list[Grant] = []
        for record in list(islice(lane.works.values(), budget)):
            if not self._fairness.may_place(record.work):
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

    def _needs(self, record: WorkRecord, budget: int) -> list[Need]:
        waiting = record.waiting()
        if record.work.kind is not Kind.GANG:
            waiting = waiting[:budget]
        if not self._retries.allows(record, waiting):
            return []
        return [self._need(record, index) for index in waiting]

    def _need(self, record: WorkRecord, index: int) -> Need:
        """Describe the next attempt at a task; its number was never used."""
        work = record.work
        number = record.tasks[index].attempt + 1
        number += self._tries.get(work.id, 0)
        return Need(
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
        if not tasks:
            return
        self._works.log(Placed(work=record.work.id, tasks=tasks))
        self._tries.pop(record.work.id, None)
        self._retries.note(record, len(tasks))
        self.placements += len(tasks)
        if not record.waiting():
            self._queue.discard(record.work.id)

    # Confirming

    def _launch_later(self, grants: list[Grant], nursery: trio.Nursery) -> None:
        positions = [
            record.position
            for record in map(self._record, grants)
            if record is not None
        ]
        launch = _Launch(position=max(positions, default=0), grants=grants)
        for partition in self._partitions(grants):
            self._in_flight[partition] = self._in_flight.get(partition, 0) + 1
        nursery.start_soon(self._launch, launch)

    async def _launch(self, launch: _Launch) -> None:
        try:
            await self._works.settle_position(launch.position)
            await self._confirm_all(launch.grants)
        finally:
            for partition in self._partitions(launch.grants):
                self._in_flight[partition] -= 1

    async def _confirm_all(self, grants: list[Grant]) -> None:
        """Confirm grants whose works are still here and still wanted."""
        by_agent: dict[tuple[Incarnation | None, PartitionId], list[Grant]] = {}
        for grant in grants:
            record = self._record(grant)
            if record is None:
                continue
            if record.cancelled:
                self._settler.ask(grant.attempt, grant.site, stop=True)
                continue
            self._waits.end(record.work)
            agent = self._ownership.owner(
                self._fleet.partition(grant.site.rack),
            )
            key = (
                agent.incarnation if agent else None,
                self._works.partition(record.work.id),
            )
            by_agent.setdefault(key, []).append(grant)
        for (_, partition), batch in by_agent.items():
            if self._ownership.epoch(partition) is not None:
                await self._confirm(batch, self._ownership.origin(partition))

    async def _confirm(self, grants: list[Grant], origin: Origin) -> None:
        rack = grants[0].site.rack
        agent = self._ownership.owner(self._fleet.partition(rack))
        request = Confirm(
            origin=origin,
            confirmations=[
                Confirmation(
                    attempt=grant.attempt,
                    payload=self._payload(grant),
                )
                for grant in grants
            ],
        )
        if agent is None:
            self._ask_all(grants)
            return
        if self._membership.is_me(agent):
            confirmed = self._fleet.confirm(request)
        else:
            reply = await self._call(agent, request)
            if not isinstance(reply, Confirmed):
                self._ask_all(grants)
                return
            confirmed = reply
        self._end_refused(confirmed.refused, grants)

    def _end_refused(
        self, refused: list[AttemptId], grants: list[Grant]
    ) -> None:
        """Settle refused attempts by asking, which also seals them."""
        lost = set(refused)
        self._ask_all([grant for grant in grants if grant.attempt in lost])

    def _ask_all(self, grants: list[Grant]) -> None:
        for grant in grants:
            self._settler.ask(grant.attempt, grant.site, stop=False)

    async def _call(self, agent: Member, request: object) -> object:
        try:
            return await self._peers.call(
                address=agent.peer,
                message=request,
                timeout_s=defaults.PEER_CALL_TIMEOUT_S,
            )
        except PeerSilentError:
            self._view.forget(agent.incarnation)
            return None

    # Room at peers

    async def _spill(self, lane: Lane, nursery: trio.Nursery) -> None:
        """Look for room at the peers that probably have it."""
        if lane.key.kind is Kind.GANG:
            await self._spill_gang(lane, nursery)
            return
        candidates = self._view.candidates(lane.key.pool, lane.key.resources)
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
        by_partition: dict[PartitionId, list[Need]] = {}
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
        needs: list[Need],
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
        )
        self._count_tries(needs)
        reply = await self._call(agent, request)
        if isinstance(reply, Reserved):
            return reply.grants
        attempts = [need.attempt for need in needs]
        self._start_soon(self._release, agent, partition, attempts)
        return []

    def _count_tries(self, needs: list[Need]) -> None:
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
            self._launch_later(used, nursery)
        if unused:
            nursery.start_soon(self._cancel, unused)

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

    async def _cancel(self, grants: list[Grant]) -> None:
        """Give back reservations that are not used; expiry does the rest."""
        groups: dict[tuple[PartitionId, PartitionId], list[AttemptId]] = {}
        for grant in grants:
            work, _, _ = split_attempt(grant.attempt)
            rack = self._fleet.partition(grant.site.rack)
            key = (self._works.partition(work), rack)
            groups.setdefault(key, []).append(grant.attempt)
        for (partition, rack), attempts in groups.items():
            agent = self._ownership.owner(rack)
            if agent is not None:
                await self._release(agent, partition, attempts)

    async def _release(
        self, agent: Member, partition: PartitionId, attempts: list[AttemptId]
    ) -> None:
        if self._ownership.epoch(partition) is None:
            return
        request = Release(
            origin=self._ownership.origin(partition), attempts=attempts
        )
        if self._membership.is_me(agent):
            self._fleet.release(request)
        else:
            await self._call(agent, request)

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
            await self._cancel(grants)
            return
        self._use_grants(grants, nursery)

    # Small helpers

    def _start_soon(self, step: Callable[..., Any], *arguments: Any) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(step, *arguments)

    def _origin(self, record: WorkRecord) -> Origin:
        return self._ownership.origin(self._works.partition(record.work.id))

    def _record(self, grant: Grant) -> WorkRecord | None:
        work, _, _ = split_attempt(grant.attempt)
        return self._works.find(work)

    def _payload(self, grant: Grant) -> str:
        record = self._record(grant)
        return record.work.payload if record else ''

    def _partitions(self, grants: list[Grant]) -> set[PartitionId]:
        return {
            self._works.partition(split_attempt(grant.attempt)[0])
            for grant in grants
        }


def _missing(needs: list[Need], grants: list[Grant]) -> list[Need]:
    granted = {grant.attempt for grant in grants}
    return [need for need in needs if need.attempt not in granted]
