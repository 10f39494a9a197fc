"""One incarnation of a daemon, with all its stages wired together.

When a node is fenced, ``run`` raises ``FencedError`` and the daemon starts a
new node, which joins the cell as a new incarnation.
"""

import logging
import random
from collections.abc import Callable

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.admission import Admission
from cyclamentrack.audit import Audit, AuditKind
from cyclamentrack.coordinator import Coordinator
from cyclamentrack.dispatch import Dispatcher
from cyclamentrack.errors import (
    ErrorKind,
    PeerUnreachableError,
    Problem,
    Ran,
    StoreUncertainError,
)
from cyclamentrack.fairness import Fairness
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import Epoch, PartitionId
from cyclamentrack.journal import Journal
from cyclamentrack.launch import Launcher
from cyclamentrack.lookups import LookupRunner
from cyclamentrack.membership import Member, Membership, MemberState
from cyclamentrack.messages import (
    Answers,
    CancelWork,
    ConfigChanged,
    Confirm,
    Declined,
    Done,
    EndsRecorded,
    PeerMessage,
    Release,
    ReportEnds,
    Reserve,
    Revoke,
    RunLookup,
    ShowWork,
    SubmitWork,
    Summary,
)
from cyclamentrack.metrics import Metrics
from cyclamentrack.ownership import Handlers, Ownership
from cyclamentrack.peer_capacity import PeerCapacityView
from cyclamentrack.ports import (
    Instances,
    ObjectStore,
    Peers,
    Table,
    Workers,
)
from cyclamentrack.queue import WorkQueue
from cyclamentrack.queue_waits import QueueWaits
from cyclamentrack.registry import WorkRegistry
from cyclamentrack.reports import EndReporter
from cyclamentrack.resolution import AttemptResolver
from cyclamentrack.resources import Resources
from cyclamentrack.routing import Router, serve
from cyclamentrack.tickets import (
    Configuration,
    Ticket,
    TicketRow,
    TicketService,
)
from cyclamentrack.usage import Usage
from cyclamentrack.works import Works

_log = logging.getLogger(__name__)

_IDLE_POLL_S = 0.02


class Platform(msgspec.Struct, frozen=True, kw_only=True):
    """Clients for the platform's services, the workers and the peers."""

    table: Table
    store: ObjectStore
    instances: Instances
    workers: Workers
    peers: Peers


class Node:
    """One incarnation of a daemon."""

    def __init__(
        self,
        *,
        platform: Platform,
        me: Member,
        wall_clock: Callable[[], float],
        partitions: int = defaults.PARTITIONS,
        tombstones: bool = True,
        seed: int = 0,
    ) -> None:
        """Create the stages; nothing is read or written before ``run``."""
        self._platform = platform
        self._partitions = partitions
        self._random = random.Random(f'{me.incarnation}/{seed}')  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        self._released_registries: dict[PartitionId, WorkRegistry] = {}
        self._epochs: dict[PartitionId, Epoch] = {}
        self._scope = trio.CancelScope()
        self.draining = False
        self.metrics = Metrics()
        self.queue_waits = QueueWaits(metrics=self.metrics)
        self.usage = Usage()
        self.queue = WorkQueue()
        self.view = PeerCapacityView(seed=self._random.getrandbits(32))
        self.configuration = Configuration()
        self.audit = Audit(
            store=platform.store,
            daemon=me.daemon,
            incarnation=me.incarnation,
            wall_clock=wall_clock,
        )
        self.membership = Membership(table=platform.table, me=me)
        self.journal = Journal(
            table=platform.table,
            membership=self.membership,
            writers=lambda: len(self.membership.members),
            metrics=self.metrics,
        )
        self.works = Works(journal=self.journal, partitions=partitions)
        self.ownership = Ownership(
            table=platform.table,
            store=platform.store,
            membership=self.membership,
            journal=self.journal,
            handlers=Handlers(
                on_acquired=self._on_acquired,
                on_released=self._on_released,
                registry=self._registry,
            ),
            partitions=partitions,
        )
        self.tickets = TicketService(
            table=platform.table,
            membership=self.membership,
            configuration=self.configuration,
        )
        self._build_stages(tombstones=tombstones)

    @property
    def me(self) -> Member:
        """This daemon's member row."""
        return self.membership.me

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests to this daemon."""
        return (
            not self.draining
            and self.configuration.loaded
            and bool(self.admission.pools)
        )

    async def run(self) -> None:
        """Join the cell and serve until stopped.

        Raises ``FencedError`` when a successor took over.
        """
        with self._scope:
            await self.membership.join()
            async with trio.open_nursery() as nursery:
                for stage in self._stages():
                    nursery.start_soon(stage)

    async def drain(self) -> None:
        """Hand over all partitions and flush the audit log.

        Requests in flight continue meanwhile. The caller waits for them,
        then calls ``leave``.
        """
        self.draining = True
        with trio.move_on_after(defaults.DRAIN_LIMIT_S):
            await self.membership.set_state(MemberState.DRAINING)
            await self.ownership.drain()
            await self.audit.flush()

    async def leave(self) -> None:
        """Remove this daemon's row and stop all stages."""
        with trio.move_on_after(defaults.TABLE_TIMEOUT_S):
            await self.membership.leave()
        self.stop()

    def stop(self) -> None:
        """Stop all stages immediately, as a crash would."""
        self._scope.cancel()

    async def apply_ticket(self, ticket: Ticket) -> TicketRow | Problem:
        """Apply a change ticket and notify the peers."""
        outcome = await self.tickets.apply(ticket)
        match outcome:
            case TicketRow(revision=revision):
                event, detail = 'accepted', f'revision {revision}'
            case Problem(kind=kind, detail=reason):
                event, detail = f'refused: {kind.value}', reason
        self.audit.record(
            AuditKind.TICKET,
            str(ticket.number),
            event,
            by=ticket.by,
            detail=detail,
        )
        if isinstance(outcome, TicketRow):
            self.tickets.poll_now()
            await self._broadcast(ConfigChanged(revision=outcome.revision))
        return outcome

    async def handle(self, message: PeerMessage) -> PeerMessage:
        """Handle one request of a peer and return the reply."""
        match message:
            case SubmitWork() | ShowWork() | CancelWork():
                answers = await serve(self.coordinator, message)
                return Answers(answers=answers or [])
            case RunLookup(work=work, deadline_s=deadline_s):
                return await self.lookups.run_lookup(work, deadline_s)
            case Reserve():
                reserved = self.fleet.reserve(message)
                self.dispatcher.prioritize_peer(message, len(reserved.grants))
                return reserved
            case Release():
                self.fleet.release(message)
                return Done()
            case Confirm():
                return self.fleet.confirm(message)
            case Revoke():
                return self.fleet.revoke(message)
            case ReportEnds(settlements=settlements):
                recorded = await self.coordinator.record_ends(settlements)
                return EndsRecorded(attempts=recorded)
            case Summary():
                self.view.update(message)
                return Done()
            case ConfigChanged():
                self.tickets.poll_now()
                return Done()
        return _not_a_request(message)

    def capacity(self) -> Resources:
        """Return this daemon's share of the cell's capacity.

        Works are spread evenly over the partitions, so the share is that of
        the owned partitions and not that of the owned workers.
        """
        total = self.admission.total()
        share = self._own_share()
        return Resources(
            milli_cores=int(total.milli_cores * share),
            memory_mib=int(total.memory_mib * share),
            accelerators=int(total.accelerators * share),
        )

    def _build_stages(self, *, tombstones: bool) -> None:
        platform = self._platform
        self.fleet = Fleet(
            workers=platform.workers,
            instances=platform.instances,
            owner=self.me.daemon,
            partitions=self._partitions,
            capacity_changed=lambda: self.dispatcher.wake(),
            listed=lambda listed: self.admission.update_instances(listed),
            may_renew=self._may_renew,
            tombstones=tombstones,
        )
        self.resolver = AttemptResolver(
            works=self.works,
            fleet=self.fleet,
            ownership=self.ownership,
            membership=self.membership,
            peers=platform.peers,
            apply_ends=lambda ends: self.coordinator.apply_ends(ends),
        )
        self.launcher = Launcher(
            works=self.works,
            fleet=self.fleet,
            ownership=self.ownership,
            membership=self.membership,
            view=self.view,
            peers=platform.peers,
            resolver=self.resolver,
            queue_waits=self.queue_waits,
        )
        self.dispatcher = Dispatcher(
            works=self.works,
            queue=self.queue,
            fleet=self.fleet,
            ownership=self.ownership,
            membership=self.membership,
            view=self.view,
            launcher=self.launcher,
            resolver=self.resolver,
            fairness=Fairness(
                usage=self.usage,
                configuration=self.configuration,
                capacity=self.capacity,
                team_usage=self.view.team_usage,
            ),
            usage=self.usage,
            metrics=self.metrics,
        )
        self.admission = Admission(
            queue=self.queue,
            configuration=self.configuration,
            own_share=self._own_share,
        )
        self.coordinator = Coordinator(
            works=self.works,
            dispatcher=self.dispatcher,
            resolver=self.resolver,
            admission=self.admission,
            membership=self.membership,
            usage=self.usage,
            metrics=self.metrics,
            queue_waits=self.queue_waits,
            audit=self.audit,
        )
        self.reporter = EndReporter(
            fleet=self.fleet,
            works=self.works,
            coordinator=self.coordinator,
            ownership=self.ownership,
            membership=self.membership,
            peers=platform.peers,
        )
        self.lookups = LookupRunner(fleet=self.fleet)
        self.router = Router(
            works=self.works,
            coordinator=self.coordinator,
            lookups=self.lookups,
            ownership=self.ownership,
            membership=self.membership,
            view=self.view,
            peers=platform.peers,
            queue_waits=self.queue_waits,
        )

    def _stages(self) -> list[Callable[[], object]]:
        return [
            self.membership.run,
            self.journal.run,
            self.ownership.run,
            self.fleet.run,
            self.dispatcher.run,
            self.resolver.run,
            self.coordinator.run,
            self.reporter.run,
            self.tickets.run,
            self.audit.run,
            self._send_summaries,
            self._write_snapshots,
            self._resolve_on_owner_change,
        ]

    # Acquiring and releasing partitions

    def _on_acquired(
        self, partition: PartitionId, epoch: Epoch, registry: WorkRegistry
    ) -> None:
        self.audit.record(
            AuditKind.OWNERSHIP,
            f'partition {partition}',
            f'epoch {epoch}',
        )
        self._released_registries.pop(partition, None)
        self.works.add_registry(registry)
        self.dispatcher.reopen(partition)
        self.coordinator.recover(partition)
        self.fleet.acquire_partition(partition, epoch)

    async def _on_released(self, partition: PartitionId) -> None:
        """Stop placing, wait until nothing is in flight, then release."""
        self.dispatcher.close(partition)
        self.fleet.close(partition)
        while not self._is_idle(partition):
            await trio.sleep(_IDLE_POLL_S)
        self.coordinator.release(partition)
        self.resolver.drop(partition)
        registry = self.works.remove_registry(partition)
        if registry is not None:
            self._released_registries[partition] = registry
        self.fleet.release_partition(partition)
        self.audit.record(
            AuditKind.OWNERSHIP,
            f'partition {partition}',
            'handed over',
        )

    def _is_idle(self, partition: PartitionId) -> bool:
        return self.launcher.is_idle(partition) and self.lookups.is_idle(
            partition
        )

    def _registry(self, partition: PartitionId) -> WorkRegistry:
        if partition in self._released_registries:
            return self._released_registries[partition]
        return self.works.registry(partition)

    async def _resolve_on_owner_change(self) -> None:
        """Resolve attempts whenever their worker gets a new owner."""
        while True:
            changed = self.ownership.changed
            self._resolve_moved_attempts()
            await changed.wait()

    def _resolve_moved_attempts(self) -> None:
        epochs = self.ownership.epochs()
        moved = {
            partition
            for partition, epoch in epochs.items()
            if self._epochs.get(partition, epoch) != epoch
        }
        self._epochs = epochs
        if moved:
            self.coordinator.resolve_attempts_on(moved, self.fleet.partition)

    # Background tasks

    def _may_renew(self) -> bool:
        return self.membership.lease_expired_s < defaults.OUTAGE_GRACE_S

    def _own_share(self) -> float:
        return len(self.ownership.owned_partitions) / self._partitions

    async def _write_snapshots(self) -> None:
        """Snapshot the registries in turn, so that the journal stays short."""
        while True:
            owned = self.ownership.owned_partitions
            pause = defaults.SNAPSHOT_INTERVAL_S / max(len(owned), 1)
            for partition in owned:
                await trio.sleep(pause)
                if partition in self.ownership.owned_partitions:
                    await self.ownership.snapshot(partition)
            self.journal.truncate(self.ownership.oldest_needed_row())
            await self._remove_dead_rows()
            if not owned:
                await trio.sleep(pause)

    async def _remove_dead_rows(self) -> None:
        """Delete journal rows of dead daemons.

        Only the daemon with the lowest incarnation id does this.
        """
        first = min(
            (member.incarnation for member in self.membership.members),
            default='',
        )
        if first != self.me.incarnation or not self.membership.valid:
            return
        try:
            keys = await self.ownership.find_unreferenced_rows()
        except StoreUncertainError:
            return
        if keys:
            self.journal.schedule_deletes(keys)

    async def _send_summaries(self) -> None:
        while True:
            await self._broadcast(self._summary(), limit=defaults.SUMMARY_PEERS)
            await trio.sleep(defaults.SUMMARY_INTERVAL_S)

    def _summary(self) -> Summary:
        return Summary(
            daemon=self.me.daemon,
            incarnation=self.me.incarnation,
            revision=self.configuration.revision,
            pools=self.fleet.ledger.summaries(),
            queued=len(self.queue),
            teams=self.usage.teams(),
        )

    async def _broadcast(
        self, message: PeerMessage, *, limit: int | None = None
    ) -> None:
        """Send a message to all peers, or to ``limit`` random ones."""
        peers = [
            member
            for member in self.membership.members
            if not self.membership.is_me(member)
        ]
        if limit is not None and len(peers) > limit:
            peers = self._random.sample(peers, limit)
        async with trio.open_nursery() as nursery:
            for member in peers:
                nursery.start_soon(self._send_to, member, message)

    async def _send_to(self, member: Member, message: PeerMessage) -> None:
        try:
            await self._platform.peers.call(
                address=member.peer,
                message=message,
                timeout_s=defaults.PEER_HEARTBEAT_S,
            )
        except PeerUnreachableError:
            self.view.forget(member.incarnation)


def _not_a_request(message: PeerMessage) -> Declined:
    return Declined(
        problem=Problem(
            kind=ErrorKind.INVALID,
            detail=f'message {type(message).__name__} is not a known request',
            remedy='run the same version on all daemons',
            ran=Ran.NO,
        ),
    )
