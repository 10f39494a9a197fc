"""One node of the job cell: membership, claims, and the slices it owns."""

import logging
import secrets
import time
from collections.abc import Callable, Sequence

import msgspec
import trio

from cyclamentrack.clocks import suspended_s
from cyclamentrack.codec import decode
from cyclamentrack.errors import PeerUnreachableError, StoreUncertainError
from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.claim_health import ClaimHealth
from cyclamentrack.jobs.claim_order import capacity_classes, claim_delays_s
from cyclamentrack.jobs.claims import (
    RENEW_S,
    LeaseRenewer,
    LeaseTracker,
    claim_slice,
)
from cyclamentrack.jobs.feeds import FeedHealth, Rollouts
from cyclamentrack.jobs.guarded_orders import GuardedOrders
from cyclamentrack.jobs.journal import Journal, OwnershipLostError
from cyclamentrack.jobs.member_row import MemberRow
from cyclamentrack.jobs.messages import (
    AskPermits,
    CancelStored,
    JobStored,
    OutcomeReply,
    PermitsReply,
    TransferSlice,
)
from cyclamentrack.jobs.model import Configuration, Shape, StepName
from cyclamentrack.jobs.owner import OwnerDependencies, SliceOwner
from cyclamentrack.jobs.peer_health import ObservedPeers, PeerHealth
from cyclamentrack.jobs.peer_watch import MemberEntry, PeerWatch
from cyclamentrack.jobs.permits import PermitRoute
from cyclamentrack.jobs.pool_rooms import pool_limit
from cyclamentrack.jobs.ports import (
    DEFAULT_ROW_BYTES,
    CellTables,
    EntryDecoder,
    HistoryLostError,
    OrderFencedError,
    Page,
    Permits,
    PermitService,
    RowKey,
    RowStore,
    StoredRow,
    StoreRefusedError,
    Timings,
    WorkerOrders,
)
from cyclamentrack.jobs.queue_moves import QueueMoves
from cyclamentrack.jobs.records import (
    MEMBERS,
    Claim,
    Lease,
    Member,
    member_key,
)
from cyclamentrack.jobs.settling import MemberSettling
from cyclamentrack.jobs.slice_needs import SliceNeeds, SliceRetirement
from cyclamentrack.metrics import Metrics
from cyclamentrack.ports import Peers
from cyclamentrack.timeouts import LagAwareTimeouts

_log = logging.getLogger(__name__)

_CLAIM_ID_BYTES = 6
_CLAIM_CHECK_S = 0.25
# A node that lost a slice doesn't claim it again for this long: if it did,
# workers would take the two owners to alternate.
_RECLAIM_DELAY_S = 3.2
# A change on a dead connection is noticed only after this wait, and a new
# configuration must be in force within two seconds.
_CONFIGURATION_WAIT_S = 0.7
# Share of the time within which a change must be in force, for which a node
# relies on its last answer. The rest is for what it does with that.
_CONFIGURATION_AGE_SHARE = 0.6
_MEMBERS_WAIT_S = 4.0
_RETRY_S = 0.2
_HAND_OVER_TIMEOUT_S = 1.5
# A renewal that takes longer has failed; a slow store takes about 0.25 s.
_RENEW_TIMEOUT_S = 0.6
# A renewal passes through the event loop this many times. While the loop
# lags, the next renewal starts that many lags sooner.
_RENEWAL_LOOP_PASSES = 5
# The store loses some replies, so one failed renewal means little. An owner
# whose renewals have failed for longer than this asks its peers to claim the
# slice, rather than wait until its lease expires.
_TRANSFER_AFTER_S = 0.55
_TRANSFER_TIMEOUT_S = 0.8
# A small node handles a pool with fewer workers as well as a large one.
_LARGE_POOL_WORKERS = 40
# Twice the time within which the slice must not alternate between two owners.
_UPGRADE_CHECK_S = 6.0
_PEER_MARGIN_S = 0.2
_NOTIFY_TIMEOUT_S = 0.5
# A slice is offered to this many peers that answer.
_MAX_OFFERS = 3


class CellDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Interfaces, settings and clocks that a node uses."""

    store: RowStore
    orders: WorkerOrders
    permit_service: PermitService
    entry_decoder: EntryDecoder
    tables: CellTables
    timings: Timings
    peers: Peers
    wall_clock: Callable[[], float]
    timeouts: LagAwareTimeouts = msgspec.field(default_factory=LagAwareTimeouts)
    metrics: Metrics = msgspec.field(default_factory=Metrics)
    steady_clock: Callable[[], float] = time.perf_counter
    suspended_s: Callable[[], float] = suspended_s
    row_bytes: int = DEFAULT_ROW_BYTES


def _ignore(found: object) -> None:
    del found


class _TableHandlers(msgspec.Struct, frozen=True, kw_only=True):
    """What to do with the rows of a table that is followed.

    ``begin`` gets the rows of each complete reading before ``apply`` does.
    """

    apply: Callable[[Sequence[StoredRow]], object]
    remove: Callable[[Sequence[RowKey]], object] = _ignore
    begin: Callable[[Sequence[StoredRow]], object] = _ignore

    def load(self, page: Page) -> None:
        """Handle a complete reading of the table."""
        self.begin(page.rows)
        self.apply(page.rows)


class JobCell:
    """One node: follows the shared tables, claims slices and owns them."""

    def __init__(self, *, me: Member, dependencies: CellDependencies) -> None:
        """Create the node; it does nothing until ``run``."""
        self.me = me
        self.dependencies = dependencies
        self.configuration: Configuration | None = None
        self.configured = trio.Event()
        self.queue_moves = QueueMoves(began_at=trio.current_time())
        self.owners: dict[PoolName, SliceOwner] = {}
        self.members: dict[str, Member] = {}
        self.lease_tracker = LeaseTracker(store=dependencies.store)
        self.configuration_feed = FeedHealth(
            name='configuration', suspended_s=dependencies.suspended_s
        )
        self.members_feed = FeedHealth(name='members')
        self.leaving = False
        self._rollouts = Rollouts(
            rollout_s=dependencies.timings.configuration_s
        )
        self.peers = ObservedPeers(
            peers=dependencies.peers, health=PeerHealth()
        )
        self._member_row = MemberRow(store=dependencies.store, member=me)
        self._member_entries: dict[str, MemberEntry] = {}
        self._settling = MemberSettling(node=me.node)
        self._peer_watch = PeerWatch(
            node=me.node,
            members=self._member_entries,
            peers=self.peers,
            store=dependencies.store,
            feed=self.members_feed,
            watches_all=lambda: bool(self.owners),
        )
        self._nursery: trio.Nursery | None = None
        self._permit_call_lock = trio.Lock()
        self._claiming: set[PoolName] = set()
        self._due_since: dict[PoolName, float] = {}
        self._lost_at: dict[PoolName, float] = {}
        self._needs = SliceNeeds(lease_tracker=self.lease_tracker)
        self._renewers: dict[PoolName, LeaseRenewer] = {}
        # An owner reads its permit routes several times in each round, so they
        # are only found again when the members, the owners or the peers that
        # answer have changed.
        self._permit_routes: dict[PoolName, dict[str, PermitRoute]] = {}
        self._routed_owners: dict[PoolName, str] = {}
        self._routed_generation = 0

    async def run(self) -> None:
        """Follow the shared tables and own slices until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.dependencies.timeouts.run)
            nursery.start_soon(self._member_row.run)
            nursery.start_soon(self._peer_watch.run)
            nursery.start_soon(self._follow_configuration)
            nursery.start_soon(self._follow_members)
            nursery.start_soon(self.lease_tracker.follow)
            nursery.start_soon(self._claim_due_slices, nursery)

    async def hand_over(self) -> None:
        """Transfer or release all slices, so that peers own them at once."""
        self.leaving = True
        with trio.move_on_after(_HAND_OVER_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._remove_member)
                for pool, owner in self.owners.items():
                    nursery.start_soon(
                        self._release, owner, self._renewers[pool]
                    )

    def owner_address(self, pool: PoolName) -> str | None:
        """Return the address of a slice's owner, if it is a known peer."""
        seen = self.lease_tracker.seen.get(pool)
        if seen is None or seen.lease.node == self.me.node:
            return None
        return seen.lease.address or None

    @property
    def configuration_is_current(self) -> bool:
        """Whether no newer version can have to be in force here already."""
        age_s = self.configuration_feed.age_s
        limit_s = (
            _CONFIGURATION_AGE_SHARE * self.dependencies.timings.configuration_s
        )
        return age_s is not None and age_s < limit_s

    def pools_without_owner(self) -> list[PoolName]:
        """Return the pools without an owner known to be alive."""
        if self.configuration is None:
            return []
        now = trio.current_time()
        return [
            pool
            for pool in self._needs.pools(self.configuration)
            if pool not in self.owners
            and not self.lease_tracker.is_renewed(pool, now=now)
        ]

    def notify_owner(
        self, pool: PoolName, message: JobStored | CancelStored
    ) -> None:
        """Notify the owner of a slice of a stored request, without waiting."""
        if isinstance(message, JobStored):
            self._needs.note_stored(pool)
        owner = self.owners.get(pool)
        if owner is not None:
            match message:
                case JobStored(job=job):
                    owner.intake.apply_stored_job(job)
                case CancelStored(job=job, origin=origin):
                    owner.intake.apply_cancel(job, origin)
            return
        address = self.owner_address(pool)
        if address is not None and self._nursery is not None:
            self._nursery.start_soon(self._send_notification, address, message)

    def peer_addresses(self) -> list[str]:
        """Return the addresses of all other members.

        They are in the order of their names, beginning after this node's, so
        that nodes don't all ask the same peer first.
        """
        own = self.me.node
        names = sorted(self.members, key=lambda name: (name < own, name))
        return [self.members[name].address for name in names if name != own]

    async def claim_from_owner(self, pool: PoolName, claim: str) -> bool:
        """Claim a slice at its owner's request; return whether it is owned.

        Nothing is claimed while this node is leaving, can't reach the store,
        or finds another claim than ``claim``.
        """
        if self.leaving or not self.configured.is_set():
            return False
        if self.lease_tracker.store_unreachable or not self._nursery:
            return False
        try:
            await self.lease_tracker.refresh(pool)
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.warning('slice transfer failed pool=%s: %s', pool, error)
            return False
        seen = self.lease_tracker.seen.get(pool)
        if seen is None or seen.lease.claim != claim:
            return False
        await self._claim(pool, self._nursery)
        return pool in self.owners

    def permit_routes(self, pool: PoolName) -> dict[str, PermitRoute]:
        """Return a slice's permit routes by address; ``''`` is this node's.

        Members that answer and own no slice are assigned to the slices in
        rotation, so that no two owners queue on the same route.
        """
        owners = {
            known: self.lease_tracker.seen[known].lease.node
            for known in self.lease_tracker.unretired()
        }
        generation = self.peers.health.generation
        if (owners, generation) != (
            self._routed_owners,
            self._routed_generation,
        ):
            self._routed_owners = owners
            self._routed_generation = generation
            self._permit_routes.clear()
        found = self._permit_routes.get(pool)
        if found is None:
            found = self._find_permit_routes(pool, owners)
            self._permit_routes[pool] = found
        return found

    async def request_permits(
        self, step: StepName, workers: Sequence[WorkerId], timeout_s: float
    ) -> Permits | None:
        """Call the permit service from this node, one call at a time."""
        with trio.move_on_after(timeout_s):
            async with self._permit_call_lock:
                return await self.dependencies.permit_service.request_permits(
                    step=step, workers=workers, timeout_s=timeout_s
                )
        return None

    def _find_permit_routes(
        self, pool: PoolName, owners: dict[PoolName, str]
    ) -> dict[str, PermitRoute]:
        found: dict[str, PermitRoute] = {'': self.request_permits}
        pools = sorted(owners)
        free = sorted(
            name
            for name in set(self.members) - set(owners.values())
            if name != self.me.node
            and self.peers.health.answers(self.members[name].address)
        )
        for number, name in enumerate(free):
            if pools and pools[number % len(pools)] == pool:
                address = self.members[name].address
                found[address] = self._peer_permit_route(address)
        return found

    def _peer_permit_route(self, address: str) -> PermitRoute:
        async def call(
            step: StepName, workers: Sequence[WorkerId], timeout_s: float
        ) -> Permits | None:
            message = AskPermits(
                step=step, workers=list(workers), timeout_s=timeout_s
            )
            try:
                reply = await self.peers.call(
                    address=address,
                    message=message,
                    timeout_s=timeout_s + _PEER_MARGIN_S,
                )
            except PeerUnreachableError as error:
                _log.info('permit route failed: %s', error)
                return None
            match reply:
                case PermitsReply(answered=True):
                    return Permits(granted=reply.granted, valid_s=reply.valid_s)
                case _:
                    return None

        return call

    async def _send_notification(
        self, address: str, message: JobStored | CancelStored
    ) -> None:
        try:
            await self.peers.call(
                address=address, message=message, timeout_s=_NOTIFY_TIMEOUT_S
            )
        except PeerUnreachableError as error:
            _log.info('owner not notified; its feed will deliver it: %s', error)

    async def _remove_member(self) -> None:
        try:
            await self._member_row.remove()
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.warning('member entry not removed on leaving: %s', error)

    async def _follow_configuration(self) -> None:
        tables = self.dependencies.tables
        key = RowKey(tables.configuration, '', tables.configuration_key)
        await self._follow(
            tables.configuration,
            _CONFIGURATION_WAIT_S,
            self.configuration_feed,
            _TableHandlers(
                apply=lambda rows: [
                    self._apply_configuration(row)
                    for row in rows
                    if row.key == key
                ],
            ),
        )

    def _apply_configuration(self, row: StoredRow) -> None:
        found = self.dependencies.entry_decoder.configuration(row.body)
        if found is None:
            return
        current = self.configuration
        if current is not None and found.version <= current.version:
            return
        if current is not None:
            self.queue_moves.note(current, found, now=trio.current_time())
        self.configuration = found
        self._rollouts.note(self.configuration_feed)
        self.configured.set()
        _log.info(
            'configuration in force version=%d queues=%d',
            found.version,
            len(found.queues),
        )

    async def _follow_members(self) -> None:
        await self._follow(
            MEMBERS,
            _MEMBERS_WAIT_S,
            self.members_feed,
            _TableHandlers(
                apply=lambda rows: [self._apply_member(row) for row in rows],
                remove=lambda keys: [
                    self._remove_member_row(key) for key in keys
                ],
                begin=self._keep_members,
            ),
        )

    def _keep_members(self, rows: Sequence[StoredRow]) -> None:
        """Drop the members that a complete reading lacks; they have left."""
        present = {row.key.key for row in rows}
        for name in set(self.members) - present:
            _log.info('member left node=%s', name)
            self._remove_member_row(member_key(name))

    def _remove_member_row(self, key: RowKey) -> None:
        self.members.pop(key.key, None)
        self._member_entries.pop(key.key, None)
        self._permit_routes.clear()
        if key.key == self.me.node:
            self._member_row.note_row(None)

    def _apply_member(self, row: StoredRow) -> None:
        self._permit_routes.clear()
        if row.key.key == self.me.node:
            self._member_row.note_row(row)
        try:
            member = decode(row.body, Member)
        except msgspec.ValidationError as error:
            _log.warning('member %s not decoded: %s', row.key.key, error)
            return
        if member.left:
            self._remove_member_row(row.key)
            return
        if not member.doubted:
            self.peers.health.note_registered(member.address)
        self._settling.note(row.key.key)
        self.members[row.key.key] = member
        self._member_entries[row.key.key] = MemberEntry(
            member=member, version=row.version
        )
        self._peer_watch.wake()

    async def _follow(
        self,
        table: str,
        wait_s: float,
        feed: FeedHealth,
        handlers: '_TableHandlers',
    ) -> None:
        """Read a table that has a single part, then follow its changes.

        It is read again once the store no longer has the history of changes.
        """
        version: int | None = None
        while True:
            asked_at = feed.now
            try:
                if version is None:
                    page = await self.dependencies.store.scan(
                        table=table, part=''
                    )
                    handlers.load(page)
                    version = page.version
                changes = await self.dependencies.store.follow(
                    table=table, after=version, wait_s=wait_s
                )
            except (StoreUncertainError, StoreRefusedError) as error:
                feed.note_failure(error)
                await trio.sleep(_RETRY_S)
                continue
            except HistoryLostError:
                version = None
                continue
            version = changes.version
            handlers.apply(changes.rows)
            handlers.remove(changes.removed)
            feed.note_answer(asked_at)

    async def _claim_due_slices(self, nursery: trio.Nursery) -> None:
        await self.configured.wait()
        await self.lease_tracker.loaded.wait()
        while True:
            if not self.leaving and self.configuration is not None:
                for pool in self._needs.pools(self.configuration):
                    self._claim_if_due(pool, nursery)
            changed = self.lease_tracker.changed
            with trio.move_on_after(_CLAIM_CHECK_S):
                await changed.wait()

    def _claim_if_due(self, pool: PoolName, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        if pool in self._claiming:
            return
        if pool in self.owners or not self.lease_tracker.is_due(
            pool, node=self.me.node, now=now
        ):
            self._due_since.pop(pool, None)
            return
        if now - self._lost_at.get(pool, -_RECLAIM_DELAY_S) < _RECLAIM_DELAY_S:
            return
        new = pool not in self.lease_tracker.seen
        if new and not self._settling.is_over(now):
            return
        since = self._due_since.setdefault(pool, now)
        if now - since < self._claim_delay_s(pool):
            return
        self._due_since.pop(pool, None)
        self._claiming.add(pool)
        nursery.start_soon(self._finish_claim, pool, nursery)

    def _claim_delay_s(self, pool: PoolName) -> float:
        """Return how long this node lets others claim first, seconds.

        A slice that this node owned before its restart is claimed at once,
        unless there are more capable nodes.
        """
        former = self.lease_tracker.seen.get(pool)
        members = {
            name: member
            for name, member in self.members.items()
            if not self.peers.health.is_silent(member.address)
            and (former is None or name != former.lease.node)
        } | {self.me.node: self.me}
        known = former is not None and former.lease.node == self.me.node
        if known and capacity_classes(members.values())[self.me.node] == 0:
            return 0.0
        owners = self._slice_owners()
        if self.owners or self._claiming:
            owners.add(self.me.node)
        delays_s = claim_delays_s(pool, members=members, owners=owners)
        return delays_s[self.me.node]

    def _slice_owners(self) -> set[str]:
        """Return the nodes that own a slice according to the known leases."""
        return {
            seen.lease.node
            for seen in self.lease_tracker.seen.values()
            if not seen.lease.released
        }

    async def _claim(self, pool: PoolName, nursery: trio.Nursery) -> None:
        if pool in self.owners or pool in self._claiming:
            return
        self._claiming.add(pool)
        await self._finish_claim(pool, nursery)

    async def _finish_claim(
        self, pool: PoolName, nursery: trio.Nursery
    ) -> None:
        try:
            await self._try_claim(pool, nursery)
        finally:
            self._claiming.discard(pool)

    async def _try_claim(self, pool: PoolName, nursery: trio.Nursery) -> None:
        former = self.lease_tracker.seen.get(pool)
        lease = Lease(
            node=self.me.node,
            claim=f'{self.me.node}/{secrets.token_hex(_CLAIM_ID_BYTES)}',
            address=self.me.address,
            number=0,
            shapes=former.lease.shapes if former else (),
        )
        try:
            claim = await claim_slice(
                store=self.dependencies.store,
                lease_tracker=self.lease_tracker,
                pool=pool,
                lease=lease,
                suspended_s=self.dependencies.suspended_s,
            )
        except (StoreUncertainError, StoreRefusedError) as error:
            _log.warning('claim of pool=%s failed: %s', pool, error)
            return
        if claim is not None:
            self._start_owner(claim, lease, nursery)

    def _start_owner(
        self, claim: Claim, lease: Lease, nursery: trio.Nursery
    ) -> None:
        dependencies = self.dependencies
        journal = Journal(
            store=dependencies.store,
            part=claim.pool,
            owner=claim.id,
            version=claim.token,
        )
        owner = SliceOwner(
            claim=claim,
            journal=journal,
            dependencies=OwnerDependencies(
                store=dependencies.store,
                orders=GuardedOrders(orders=dependencies.orders),
                entry_decoder=dependencies.entry_decoder,
                tables=dependencies.tables,
                timings=dependencies.timings,
                configuration=lambda: self.configuration,
                permit_routes=self.permit_routes,
                metrics=dependencies.metrics,
                wall_clock=dependencies.wall_clock,
                steady_clock=dependencies.steady_clock,
                suspended_s=dependencies.suspended_s,
                configuration_age_s=lambda: self.configuration_feed.unknown_s,
                configuration_rollout=lambda: self._rollouts.recent(
                    self.configuration_feed.now
                ),
                row_bytes=dependencies.row_bytes,
                memory_limit=lambda: pool_limit(
                    (self.me, *self.members.values()), self.configuration
                ),
            ),
        )
        renewer = LeaseRenewer(
            store=dependencies.store, claim=claim, lease=lease
        )
        self.owners[claim.pool] = owner
        self._peer_watch.wake()
        dependencies.metrics.count('slices_claimed')
        self._renewers[claim.pool] = renewer
        nursery.start_soon(self._run_owner, owner, renewer)

    async def _run_owner(
        self, owner: SliceOwner, renewer: LeaseRenewer
    ) -> None:
        pool = owner.claim.pool
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(owner.run)
                nursery.start_soon(self._renew, owner, renewer)
                nursery.start_soon(self._transfer_to_larger_node, owner)
                nursery.start_soon(
                    SliceRetirement(
                        owner=owner,
                        renewer=renewer,
                        configuration=lambda: (
                            self.configuration
                            if self.configuration_is_current
                            else None
                        ),
                    ).run
                )
        except* (OwnershipLostError, OrderFencedError) as lost:
            _log.warning(
                'slice lost pool=%s token=%d why=%s',
                pool,
                owner.claim.token,
                _first_cause(lost),
            )
        except* Exception:
            _log.exception('slice dropped after an error pool=%s', pool)
        finally:
            self._forget_owner(owner)

    def _forget_owner(self, owner: SliceOwner) -> None:
        pool = owner.claim.pool
        self._lost_at[pool] = trio.current_time()
        self.dependencies.metrics.count('slices_given_up')
        if self.owners.get(pool) is owner:
            self.owners.pop(pool)
            self._renewers.pop(pool)

    async def _renew(self, owner: SliceOwner, renewer: LeaseRenewer) -> None:
        health = ClaimHealth(owner=owner)
        while True:
            began = trio.current_time()
            if await self._renew_once(owner, renewer):
                health.note_success()
                lag_s = self.dependencies.timeouts.lag_s
                await trio.sleep(
                    max(RENEW_S - _RENEWAL_LOOP_PASSES * lag_s, _RETRY_S)
                )
                continue
            if health.note_failure(began) > _TRANSFER_AFTER_S:
                await self._transfer_unreachable(owner)
                health.note_unconfirmed()
            await trio.sleep(_RETRY_S)

    async def _renew_once(
        self, owner: SliceOwner, renewer: LeaseRenewer
    ) -> bool:
        waiting = None
        shapes: tuple[Shape, ...] = ()
        figures = None
        if owner.recovered.is_set():
            waiting = owner.registry.waiting()
            shapes = owner.fleet.shapes
            figures = owner.figures()
        with self.dependencies.timeouts.limit(_RENEW_TIMEOUT_S):
            requested_at = owner.quorum.now
            try:
                if await renewer.renew(
                    waiting=waiting, shapes=shapes, figures=figures
                ):
                    owner.quorum.confirm(requested_at)
            except (StoreUncertainError, StoreRefusedError) as error:
                _log.warning(
                    'lease not renewed pool=%s: %s', owner.claim.pool, error
                )
                return False
            return True
        _log.warning('lease not renewed pool=%s: no answer', owner.claim.pool)
        return False

    async def _transfer_unreachable(self, owner: SliceOwner) -> None:
        """Transfer a slice whose lease can't be renewed from this node.

        Raises ``OwnershipLostError`` once a peer owns it. If no peer can claim
        it, the store is down for all nodes, and the slice stays here.
        """
        if await self._transfer_to_peer(
            owner, self._peers_in_claim_order(owner.claim.pool)
        ):
            raise OwnershipLostError(part=owner.claim.pool)

    async def _transfer_to_larger_node(self, owner: SliceOwner) -> None:
        """Transfer a large pool to a node of a higher class, once there is one.

        Only a node that owns nothing yet is asked. The slice can't come back,
        since nodes of a higher class transfer nothing to those of a lower one
        while they run.
        """
        while True:
            await trio.sleep(_UPGRADE_CHECK_S)
            if owner.fleet.listed < _LARGE_POOL_WORKERS:
                continue
            if await self._transfer_to_peer(owner, self._more_capable(owner)):
                raise OwnershipLostError(part=owner.claim.pool)

    async def _transfer_to_peer(
        self, owner: SliceOwner, peers: list[Member]
    ) -> bool:
        """Ask peers in order to claim a slice; return whether one did."""
        claim = owner.claim
        message = TransferSlice(pool=claim.pool, claim=claim.id)
        answering = await self.peers.find_answering(
            [peer.address for peer in peers], enough=_MAX_OFFERS
        )
        for peer in peers:
            if peer.address not in answering:
                continue
            try:
                reply = await self.peers.call(
                    address=peer.address,
                    message=message,
                    timeout_s=_TRANSFER_TIMEOUT_S,
                )
            except PeerUnreachableError:
                continue
            match reply:
                case OutcomeReply(kept='kept'):
                    _log.info(
                        'slice transferred pool=%s to=%s', claim.pool, peer.node
                    )
                    return True
        return False

    def _more_capable(self, owner: SliceOwner) -> list[Member]:
        """Return the peers of a higher capacity class that own nothing."""
        classes = capacity_classes(
            {**self.members, self.me.node: self.me}.values()
        )
        own = classes[self.me.node]
        owners = self._slice_owners()
        return [
            peer
            for peer in self._peers_in_claim_order(owner.claim.pool)
            if peer.node not in owners and classes[peer.node] < own
        ]

    def _peers_in_claim_order(self, pool: PoolName) -> list[Member]:
        """Return all peers in the order in which they would claim a slice."""
        others = {
            name: member
            for name, member in self.members.items()
            if name != self.me.node
        }
        names = claim_delays_s(
            pool, members=others, owners=self._slice_owners()
        )
        return [others[name] for name in names]

    async def _release(self, owner: SliceOwner, renewer: LeaseRenewer) -> None:
        pool = owner.claim.pool
        owner.pause()
        await owner.journal.flushed()
        if await self._transfer_to_peer(
            owner, self._peers_in_claim_order(pool)
        ):
            return
        try:
            await renewer.release()
        except (StoreUncertainError, StoreRefusedError, OwnershipLostError):
            _log.warning('slice not released pool=%s', pool)
        else:
            _log.info('slice released pool=%s', pool)


def _first_cause(error: BaseException) -> BaseException:
    """Return the first error in nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
