"""Launch: confirms reservations whose intents are durable.

A start is never sent before its intent is durable in the journal. When the
owner of the worker doesn't answer or refuses, the attempt is in doubt and is
handed to the resolver.
"""

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.errors import PeerUnreachableError
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import (
    AttemptId,
    Incarnation,
    PartitionId,
    split_attempt,
)
from cyclamentrack.membership import Member, Membership
from cyclamentrack.messages import (
    Confirm,
    Confirmation,
    Confirmed,
    Grant,
    Origin,
    PeerMessage,
    Release,
)
from cyclamentrack.ownership import Ownership
from cyclamentrack.peer_capacity import PeerCapacityView
from cyclamentrack.ports import Peers
from cyclamentrack.queue_waits import QueueWaits
from cyclamentrack.registry import WorkRecord
from cyclamentrack.resolution import AttemptResolver
from cyclamentrack.works import Works


class _Launch(msgspec.Struct, frozen=True, kw_only=True):
    """Attempts whose intents are durable once ``position`` is."""

    position: int
    grants: list[Grant]


class Launcher:
    """Confirms or cancels reservations."""

    def __init__(
        self,
        *,
        works: Works,
        fleet: Fleet,
        ownership: Ownership,
        membership: Membership,
        view: PeerCapacityView,
        peers: Peers,
        resolver: AttemptResolver,
        queue_waits: QueueWaits,
    ) -> None:
        """Start with no launches."""
        self._works = works
        self._fleet = fleet
        self._ownership = ownership
        self._membership = membership
        self._view = view
        self._peers = peers
        self._resolver = resolver
        self._queue_waits = queue_waits
        self._in_flight: dict[PartitionId, int] = {}

    def is_idle(self, partition: PartitionId) -> bool:
        """Return whether no launch of a partition's work is in flight."""
        return not self._in_flight.get(partition)

    def launch_later(self, grants: list[Grant], nursery: trio.Nursery) -> None:
        """Start granted attempts once their intents are durable."""
        positions = [
            record.position
            for record in map(self._record, grants)
            if record is not None
        ]
        launch = _Launch(position=max(positions, default=0), grants=grants)
        for partition in self._partitions(grants):
            self._in_flight[partition] = self._in_flight.get(partition, 0) + 1
        nursery.start_soon(self._launch, launch)

    async def cancel(self, grants: list[Grant]) -> None:
        """Release unused reservations; unreachable ones expire."""
        groups: dict[tuple[PartitionId, PartitionId], list[AttemptId]] = {}
        for grant in grants:
            work, _, _ = split_attempt(grant.attempt)
            rack = self._fleet.partition(grant.site.rack)
            key = (self._works.partition(work), rack)
            groups.setdefault(key, []).append(grant.attempt)
        for (partition, rack), attempts in groups.items():
            owner = self._ownership.owner(rack)
            if owner is not None:
                await self.release(owner, partition, attempts)

    async def release(
        self, owner: Member, partition: PartitionId, attempts: list[AttemptId]
    ) -> None:
        """Release reservations at the owner of their workers."""
        if self._ownership.epoch(partition) is None:
            return
        request = Release(
            origin=self._ownership.origin(partition), attempts=attempts
        )
        if self._membership.is_me(owner):
            self._fleet.release(request)
        else:
            await self.call(owner, request)

    async def call(
        self, owner: Member, request: PeerMessage
    ) -> PeerMessage | None:
        """Call a peer and return its reply, or ``None`` without an answer.

        A peer that doesn't answer is dropped from the view of free capacity.
        """
        try:
            return await self._peers.call(
                address=owner.peer,
                message=request,
                timeout_s=defaults.PEER_CALL_TIMEOUT_S,
            )
        except PeerUnreachableError:
            self._view.forget(owner.incarnation)
            return None

    async def _launch(self, launch: _Launch) -> None:
        try:
            await self._works.wait_durable_position(launch.position)
            await self._confirm_all(launch.grants)
        finally:
            for partition in self._partitions(launch.grants):
                self._in_flight[partition] -= 1

    async def _confirm_all(self, grants: list[Grant]) -> None:
        """Confirm the grants whose works are still owned here.

        Attempts of cancelled works are stopped instead.
        """
        by_owner: dict[tuple[Incarnation | None, PartitionId], list[Grant]] = {}
        for grant in grants:
            record = self._record(grant)
            if record is None:
                continue
            if record.cancelled:
                self._resolver.resolve(grant.attempt, grant.site, stop=True)
                continue
            self._queue_waits.end(record.work)
            owner = self._ownership.owner(
                self._fleet.partition(grant.site.rack),
            )
            key = (
                owner.incarnation if owner else None,
                self._works.partition(record.work.id),
            )
            by_owner.setdefault(key, []).append(grant)
        for (_, partition), batch in by_owner.items():
            if self._ownership.epoch(partition) is not None:
                await self._confirm(batch, self._ownership.origin(partition))

    async def _confirm(self, grants: list[Grant], origin: Origin) -> None:
        rack = grants[0].site.rack
        owner = self._ownership.owner(self._fleet.partition(rack))
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
        if owner is None:
            self._resolve_all(grants)
            return
        if self._membership.is_me(owner):
            confirmed = self._fleet.confirm(request)
        else:
            reply = await self.call(owner, request)
            if not isinstance(reply, Confirmed):
                self._resolve_all(grants)
                return
            confirmed = reply
        self._resolve_refused(confirmed.refused, grants)

    def _resolve_refused(
        self, refused: list[AttemptId], grants: list[Grant]
    ) -> None:
        """Resolve refused attempts; this also bars them from starting."""
        attempts = set(refused)
        self._resolve_all(
            [grant for grant in grants if grant.attempt in attempts],
        )

    def _resolve_all(self, grants: list[Grant]) -> None:
        for grant in grants:
            self._resolver.resolve(grant.attempt, grant.site, stop=False)

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
