"""Which daemon owns which partition.

Rendezvous hashing over the live daemons determines which daemon should own a
partition; the partition's row records which one does. A claim is a single
transaction that succeeds only if the previous owner's member row is gone and
the claimant's own member row still exists.
"""

import hashlib
import logging
from collections.abc import Awaitable, Callable

import msgspec
import trio

from cyclamentrack import defaults
from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import ConditionFailedError, StoreUncertainError
from cyclamentrack.ids import DaemonId, Epoch, Incarnation, PartitionId
from cyclamentrack.journal import JOURNAL_PREFIX, Journal, incarnation_of
from cyclamentrack.membership import Member, Membership, MemberState, member_key
from cyclamentrack.messages import Origin
from cyclamentrack.ports import (
    Absent,
    Condition,
    ObjectStore,
    Put,
    Table,
    Transaction,
    VersionIs,
    Write,
)
from cyclamentrack.recovery import RegistryReader, Source, SourceKind
from cyclamentrack.registry import WorkRegistry
from cyclamentrack.store import commit_confirmed

_log = logging.getLogger(__name__)

_PREFIX = 'partition/'
_OWNERS_STAMP_KEY = 'partitions/stamp'
_RELEASES_PER_ROUND = 4
# Surplus partitions are released only after the live daemons have been the
# same for this long.
_STABLE_MEMBERSHIP_S = 2.0
_DEAD_ROWS_PER_SCAN = 200


class PartitionRow(msgspec.Struct, frozen=True, kw_only=True):
    """A partition's row in the table service.

    ``claim`` is unique to the transaction that wrote the row. ``sources``
    lists, in order, the snapshots and journals from which the partition's
    work registry is recovered.
    """

    partition: PartitionId
    epoch: Epoch
    owner: DaemonId | None
    incarnation: Incarnation | None
    claim: str
    sources: list[Source]


class _OwnedPartition(msgspec.Struct, kw_only=True):
    """A partition that this daemon owns, with its row and row version."""

    row: PartitionRow
    version: int


class Handlers(msgspec.Struct, frozen=True, kw_only=True):
    """Callbacks for partitions that this daemon acquires or releases.

    ``on_acquired`` receives the recovered registry. ``on_released`` stops
    all decisions on a partition and returns once none of its operations is
    in flight. ``registry`` returns the registry of an owned partition.
    """

    on_acquired: Callable[[PartitionId, Epoch, WorkRegistry], None]
    on_released: Callable[[PartitionId], Awaitable[None]]
    registry: Callable[[PartitionId], WorkRegistry]


def partition_key(partition: PartitionId) -> str:
    """Return the key of a partition's row."""
    return f'{_PREFIX}{partition:04d}'


def rendezvous(partition: PartitionId, daemons: list[DaemonId]) -> DaemonId:
    """Return the daemon with the highest weight for a partition.

    >>> rendezvous(3, ['a', 'b']) == rendezvous(3, ['b', 'a'])
    True
    """
    return max(daemons, key=lambda daemon: _weight(partition, daemon))


class Ownership:
    """Tracks which daemon owns each partition and claims this one's share."""

    def __init__(
        self,
        *,
        table: Table,
        store: ObjectStore,
        membership: Membership,
        journal: Journal,
        handlers: Handlers,
        partitions: int,
    ) -> None:
        """Start without any partition; ``run`` claims them."""
        self._table = table
        self._store = store
        self._membership = membership
        self._journal = journal
        self._handlers = handlers
        self._partitions = partitions
        self._reader = RegistryReader(
            table=table,
            store=store,
            partitions=partitions,
        )
        self._owned: dict[PartitionId, _OwnedPartition] = {}
        self._last_rows: dict[PartitionId, PartitionRow] = {}
        self._row_versions: dict[PartitionId, int] = {}
        self._claim_count = 0
        self._last_scan_key: tuple[int, frozenset[Incarnation]] | None = None
        self._rescan_at = float('-inf')
        self._gc_cursor = ''
        self._draining = False
        self._rewrite_lock = trio.Lock()
        self._stable_since = float('inf')
        self._stable_members: frozenset[str] = frozenset()
        self.changed = trio.Event()

    @property
    def owned_partitions(self) -> list[PartitionId]:
        """The numbers of the partitions that this daemon owns."""
        return list(self._owned)

    def epoch(self, partition: PartitionId) -> Epoch | None:
        """Return the epoch of an owned partition, or ``None``."""
        owned = self._owned.get(partition)
        return owned.row.epoch if owned else None

    def owner(self, partition: PartitionId) -> Member | None:
        """Return the live daemon that owned a partition at the last read."""
        if partition in self._owned:
            return self._membership.me
        row = self._last_rows.get(partition)
        if row is None or row.owner is None or row.incarnation is None:
            return None
        return self._membership.find(row.incarnation)

    def epochs(self) -> dict[PartitionId, Epoch]:
        """Return the epoch of each partition, as of the last read."""
        return {
            partition: row.epoch for partition, row in self._last_rows.items()
        }

    def origin(self, partition: PartitionId) -> Origin:
        """Return the sender details for messages about a partition."""
        return Origin(
            daemon=self._membership.me.daemon,
            incarnation=self._membership.me.incarnation,
            partition=partition,
            epoch=self._owned[partition].row.epoch,
        )

    async def run(self) -> None:
        """Claim, recover and hand over partitions until cancelled.

        A draining daemon keeps reading the owners, because its requests in
        flight still have to be routed to them.
        """
        while True:
            try:
                await self._round()
            except StoreUncertainError:
                _log.info('cannot read the partition rows; will retry')
            await trio.sleep(defaults.CLAIM_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the partition rows if an owner may have changed.

        Each change of owner also writes one small stamp row. Its version is
        read first, and all the partition rows are read only when the stamp
        or the set of members changed, or when the periodic rescan is due.
        """
        stamp = (await self._table.read(keys=[_OWNERS_STAMP_KEY]))[0]
        version = stamp.version if stamp else 0
        members = frozenset(
            member.incarnation for member in self._membership.members
        )
        scan_key = (version, members)
        due = trio.current_time() >= self._rescan_at
        if scan_key == self._last_scan_key and not due:
            return
        await self._rescan()
        self._last_scan_key = scan_key
        self._rescan_at = trio.current_time() + defaults.RESCAN_INTERVAL_S

    async def drain(self) -> None:
        """Hand over every partition and claim no more."""
        self._draining = True
        for partition in list(self._owned):
            await self._release(partition)

    async def snapshot(self, partition: PartitionId) -> None:
        """Snapshot a partition's registry and refer to it from its row."""
        owned = self._owned.get(partition)
        if owned is None:
            return
        from_row, key = await self._write_snapshot(partition)
        me = self._membership.me
        sources = [
            Source(kind=SourceKind.SNAPSHOT, key=key),
            _journal_source(me, from_row),
        ]
        async with self._rewrite_lock:
            if self._owned.get(partition) is owned:
                await self._update_row(owned, owned.row.owner, sources)

    def oldest_needed_row(self) -> int:
        """Return the first own journal row that an owned partition needs."""
        me = self._membership.me
        rows = [
            source.from_row
            for owned in self._owned.values()
            for source in owned.row.sources
            if source.incarnation == me.incarnation
        ]
        return min(rows, default=self._journal.open_row)

    async def find_unreferenced_rows(self) -> list[str]:
        """Return keys of journal rows that no recovery will read.

        Once an incarnation is dead, no partition row starts to refer to its
        journal. Partition rows that are read after its death and don't refer
        to it therefore never will.
        """
        living = {member.incarnation for member in self._membership.members}
        await self._rescan()
        if len(self._last_rows) < self._partitions:
            return []
        wanted = living | {
            source.incarnation
            for row in self._last_rows.values()
            for source in row.sources
        }
        rows = await self._table.scan(
            prefix=JOURNAL_PREFIX,
            limit=_DEAD_ROWS_PER_SCAN,
            after=self._gc_cursor,
        )
        self._gc_cursor = (
            rows[-1].key if len(rows) == _DEAD_ROWS_PER_SCAN else ''
        )
        return [
            row.key for row in rows if incarnation_of(row.key) not in wanted
        ]

    async def _rescan(self) -> None:
        rows = await self._table.scan(
            prefix=_PREFIX,
            limit=self._partitions,
            after='',
        )
        before = {key: row.epoch for key, row in self._last_rows.items()}
        for row in rows:
            entry = decode(row.body, PartitionRow)
            self._last_rows[entry.partition] = entry
            self._row_versions[entry.partition] = row.version
        after = {key: row.epoch for key, row in self._last_rows.items()}
        if before != after:
            self._notify_changed()

    async def _round(self) -> None:
        await self.refresh()
        if self._draining or not self._membership.valid:
            return
        live = self._live_daemons()
        if not live:
            return
        mine = self._membership.me.daemon
        wanted = {
            PartitionId(number)
            for number in range(self._partitions)
            if rendezvous(PartitionId(number), live) == mine
        }
        await self._claim_all(wanted)
        if self._is_membership_stable():
            surplus = [part for part in self._owned if part not in wanted]
            for partition in surplus[:_RELEASES_PER_ROUND]:
                await self._release(partition)

    def _live_daemons(self) -> list[DaemonId]:
        return [
            member.daemon
            for member in self._membership.members
            if member.state is MemberState.LIVE
        ]

    def _is_membership_stable(self) -> bool:
        """Return whether the live daemons are unchanged for long enough."""
        now = trio.current_time()
        members = frozenset(self._live_daemons())
        if members != self._stable_members:
            self._stable_members = members
            self._stable_since = now
        return now - self._stable_since >= _STABLE_MEMBERSHIP_S

    async def _claim_all(self, wanted: set[PartitionId]) -> None:
        claimed: dict[PartitionId, _OwnedPartition] = {}
        for partition in sorted(wanted - set(self._owned)):
            owned = await self._claim(partition)
            if owned is not None:
                claimed[partition] = owned
        if not claimed:
            return
        registries = await self._reader.read(
            {part: owned.row.sources[:-1] for part, owned in claimed.items()},
        )
        for partition, owned in claimed.items():
            self._owned[partition] = owned
            self._handlers.on_acquired(
                partition,
                owned.row.epoch,
                registries[partition],
            )
        self._notify_changed()

    async def _claim(self, partition: PartitionId) -> _OwnedPartition | None:
        """Claim one partition unless a live daemon owns it."""
        seen = self._last_rows.get(partition)
        conditions: list[Condition] = [self._membership.row_exists_condition()]
        sources: list[Source] = []
        epoch = Epoch(1)
        version = 0
        if seen is None:
            conditions.append(Absent(key=partition_key(partition)))
        else:
            if not self._is_unowned(seen):
                return None
            version = self._row_versions[partition]
            epoch = Epoch(seen.epoch + 1)
            sources = seen.sources
            conditions.append(
                VersionIs(key=partition_key(partition), version=version),
            )
            conditions.extend(_owner_is_gone(seen))
        me = self._membership.me
        row = PartitionRow(
            partition=partition,
            epoch=epoch,
            owner=me.daemon,
            incarnation=me.incarnation,
            claim=self._unique_id(),
            sources=[*sources, _journal_source(me, self._journal.open_row)],
        )
        if not await self._commit_row(row, conditions):
            return None
        return _OwnedPartition(row=row, version=version + 1)

    def _is_unowned(self, seen: PartitionRow) -> bool:
        if seen.owner is None or seen.incarnation is None:
            return True
        return not self._membership.is_alive(seen.owner, seen.incarnation)

    async def _release(self, partition: PartitionId) -> None:
        """Stop deciding on a partition, snapshot it and give up ownership."""
        owned = self._owned[partition]
        await self._handlers.on_released(partition)
        _, key = await self._write_snapshot(partition)
        sources = [Source(kind=SourceKind.SNAPSHOT, key=key)]
        async with self._rewrite_lock:
            self._owned.pop(partition)
            await self._update_row(owned, None, sources)
        self._notify_changed()

    async def _update_row(
        self,
        owned: _OwnedPartition,
        owner: DaemonId | None,
        sources: list[Source],
    ) -> None:
        me = self._membership.me
        row = msgspec.structs.replace(
            owned.row,
            owner=owner,
            incarnation=me.incarnation if owner else None,
            claim=self._unique_id(),
            sources=sources,
        )
        conditions = [
            self._membership.row_exists_condition(),
            VersionIs(
                key=partition_key(row.partition),
                version=owned.version,
            ),
        ]
        old = owned.row.sources
        if await self._commit_row(row, conditions):
            owned.row = row
            owned.version += 1
            await self._remove_old_snapshots(old, sources[0].key)

    async def _commit_row(
        self, row: PartitionRow, conditions: list[Condition]
    ) -> bool:
        proof = Put(key=partition_key(row.partition), body=encode(row))
        try:
            await commit_confirmed(
                table=self._table,
                transaction=Transaction(
                    conditions=conditions,
                    writes=self._writes(row, proof),
                ),
                proof=proof,
            )
        except ConditionFailedError:
            return False
        self._last_rows[row.partition] = row
        return True

    def _writes(self, row: PartitionRow, proof: Put) -> list[Write]:
        known = self._last_rows.get(row.partition)
        same = known and known.owner == row.owner and known.epoch == row.epoch
        if same:
            return [proof]
        return [proof, Put(key=_OWNERS_STAMP_KEY, body=row.claim.encode())]

    async def _write_snapshot(self, partition: PartitionId) -> tuple[int, str]:
        """Store a snapshot that contains durable events only.

        Returns the first journal row that isn't covered and the snapshot's
        key. A withdrawn accept must not come back through a snapshot, so the
        image is taken again if an event was withdrawn before all events in
        the image were durable.
        """
        while True:
            withdrawn_count = self._journal.withdrawn_count
            position = self._journal.appended
            from_row = self._journal.open_row
            body = encode(self._handlers.registry(partition).image())
            await self._journal.wait_durable(position)
            if self._journal.withdrawn_count == withdrawn_count:
                break
        key = f'snapshot/{partition:04d}/{self._unique_id()}'
        await self._upload(key, body)
        return from_row, key

    async def _upload(self, key: str, body: bytes) -> None:
        while True:
            try:
                await self._store.put(key=key, body=body)
            except StoreUncertainError:
                await trio.sleep(defaults.TABLE_RETRY_MAX_S)
            else:
                return

    async def _remove_old_snapshots(
        self, sources: list[Source], current_key: str
    ) -> None:
        for source in sources:
            if source.kind is SourceKind.SNAPSHOT and source.key != current_key:
                try:
                    await self._store.remove(key=source.key)
                except StoreUncertainError:
                    _log.info('cannot remove old snapshot %s', source.key)

    def _unique_id(self) -> str:
        self._claim_count += 1
        return f'{self._membership.me.incarnation}-{self._claim_count}'

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


def _owner_is_gone(seen: PartitionRow) -> list[Condition]:
    if seen.owner is None or seen.incarnation is None:
        return []
    return [Absent(key=member_key(seen.owner, seen.incarnation))]


def _journal_source(me: Member, from_row: int) -> Source:
    return Source(
        kind=SourceKind.JOURNAL,
        daemon=me.daemon,
        incarnation=me.incarnation,
        from_row=from_row,
    )


def _weight(partition: PartitionId, daemon: DaemonId) -> bytes:
    return hashlib.blake2b(
        f'{partition}/{daemon}'.encode(),
        digest_size=8,
    ).digest()
