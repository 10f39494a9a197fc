"""Which daemon owns which partition.

Rendezvous hashing over the live daemons says who should own a partition; the
partition's row says who does. A claim is one transaction that holds only
while the former owner's row is gone and the claimant's is there.
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
from cyclamentrack.journal import JOURNAL_PREFIX, Journal, journal_of
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
from cyclamentrack.recovery import BookReader, Source, SourceKind
from cyclamentrack.registry import WorkRegistry
from cyclamentrack.store import commit_confirmed

_log = logging.getLogger(__name__)

_PREFIX = 'partition/'
_STAMP_KEY = 'partitions/stamp'
_RELEASES_PER_ROUND = 4
_STEADY_S = 2.0
_DEAD_ROWS = 200


class PartitionRow(msgspec.Struct, frozen=True, kw_only=True):
    """A partition's row in the table service.

    ``claim`` is unique to the transaction that wrote the row. ``sources``
    say where its book is read from, in order.
    """

    partition: PartitionId
    epoch: Epoch
    owner: DaemonId | None
    incarnation: Incarnation | None
    claim: str
    sources: list[Source]


class _Held(msgspec.Struct, kw_only=True):
    """A partition that this daemon owns."""

    row: PartitionRow
    version: int


class Handlers(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon does when partitions come and go.

    ``on_acquired`` gets a recovered registry; ``on_released`` stops all
    decisions on a partition and returns once nothing of it is in flight.
    ``registry`` returns the registry of a partition that is held.
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
    """The partitions that this daemon owns, and its view of the others."""

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
        """Own nothing yet."""
        self._table = table
        self._store = store
        self._membership = membership
        self._journal = journal
        self._handlers = handlers
        self._partitions = partitions
        self._reader = BookReader(
            table=table,
            store=store,
            partitions=partitions,
        )
        self._held: dict[PartitionId, _Held] = {}
        self._seen: dict[PartitionId, PartitionRow] = {}
        self._versions: dict[PartitionId, int] = {}
        self._claims = 0
        self._mark: tuple[int, frozenset[Incarnation]] | None = None
        self._rescan_at = float('-inf')
        self._collected = ''
        self._draining = False
        self._rewriting = trio.Lock()
        self._steady_since = float('inf')
        self._steady_members: frozenset[str] = frozenset()
        self.changed = trio.Event()

    @property
    def held(self) -> list[PartitionId]:
        """The partitions that this daemon owns."""
        return list(self._held)

    def epoch(self, partition: PartitionId) -> Epoch | None:
        """Return the epoch of a partition that is held, or ``None``."""
        held = self._held.get(partition)
        return held.row.epoch if held else None

    def owner(self, partition: PartitionId) -> Member | None:
        """Return the live daemon that owns a partition, as last seen."""
        if partition in self._held:
            return self._membership.me
        row = self._seen.get(partition)
        if row is None or row.owner is None or row.incarnation is None:
            return None
        return self._membership.find(row.incarnation)

    def epochs(self) -> dict[PartitionId, Epoch]:
        """Return the epoch of each partition, as last seen."""
        return {partition: row.epoch for partition, row in self._seen.items()}

    def origin(self, partition: PartitionId) -> Origin:
        """Return what this daemon's messages about a partition carry."""
        return Origin(
            daemon=self._membership.me.daemon,
            incarnation=self._membership.me.incarnation,
            partition=partition,
            epoch=self._held[partition].row.epoch,
        )

    async def run(self) -> None:
        """Claim, recover and hand over partitions until cancelled.

        A draining daemon still follows who owns what, for the requests that
        it has in flight.
        """
        while True:
            try:
                await self._round()
            except StoreUncertainError:
                _log.info('partition rows could not be read')
            await trio.sleep(defaults.CLAIM_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the partition rows if one of them may have changed hands.

        Each change of owner also writes one small row, whose version is
        read first; the many rows are only read again when it has changed.
        """
        stamp = (await self._table.read(keys=[_STAMP_KEY]))[0]
        version = stamp.version if stamp else 0
        members = frozenset(
            member.incarnation for member in self._membership.members
        )
        mark = (version, members)
        due = trio.current_time() >= self._rescan_at
        if mark == self._mark and not due:
            return
        await self._rescan()
        self._mark = mark
        self._rescan_at = trio.current_time() + defaults.RESCAN_INTERVAL_S

    async def drain(self) -> None:
        """Hand every partition over; claim none from now on."""
        self._draining = True
        for partition in list(self._held):
            await self._release(partition)

    async def snapshot(self, partition: PartitionId) -> None:
        """Write a partition's book to the object store and point to it."""
        held = self._held.get(partition)
        if held is None:
            return
        from_row, key = await self._write_image(partition)
        me = self._membership.me
        sources = [
            Source(kind=SourceKind.SNAPSHOT, key=key),
            _journal_source(me, from_row),
        ]
        async with self._rewriting:
            if self._held.get(partition) is held:
                await self._rewrite(held, held.row.owner, sources)

    def oldest_row(self) -> int:
        """Return the earliest own journal row that a held book needs."""
        me = self._membership.me
        rows = [
            source.from_row
            for held in self._held.values()
            for source in held.row.sources
            if source.incarnation == me.incarnation
        ]
        return min(rows, default=self._journal.open_row)

    async def find_dead_rows(self) -> list[str]:
        """Return keys of journal rows that no book will be read from.

        Once an incarnation is dead no partition begins to refer to it, so
        rows read after its death that don't refer to it never will.
        """
        living = {member.incarnation for member in self._membership.members}
        await self._rescan()
        if len(self._seen) < self._partitions:
            return []
        wanted = living | {
            source.incarnation
            for row in self._seen.values()
            for source in row.sources
        }
        rows = await self._table.scan(
            prefix=JOURNAL_PREFIX, limit=_DEAD_ROWS, after=self._collected
        )
        self._collected = rows[-1].key if len(rows) == _DEAD_ROWS else ''
        return [row.key for row in rows if journal_of(row.key) not in wanted]

    async def _rescan(self) -> None:
        rows = await self._table.scan(
            prefix=_PREFIX,
            limit=self._partitions,
            after='',
        )
        before = {key: row.epoch for key, row in self._seen.items()}
        for row in rows:
            entry = decode(row.body, PartitionRow)
            self._seen[entry.partition] = entry
            self._versions[entry.partition] = row.version
        after = {key: row.epoch for key, row in self._seen.items()}
        if before != after:
            self._announce()

    async def _round(self) -> None:
        await self.refresh()
        if self._draining or not self._membership.valid:
            return
        live = self._live()
        if not live:
            return
        mine = self._membership.me.daemon
        wanted = {
            PartitionId(number)
            for number in range(self._partitions)
            if rendezvous(PartitionId(number), live) == mine
        }
        await self._claim_all(wanted)
        if self._is_steady():
            surplus = [part for part in self._held if part not in wanted]
            for partition in surplus[:_RELEASES_PER_ROUND]:
                await self._release(partition)

    def _live(self) -> list[DaemonId]:
        return [
            member.daemon
            for member in self._membership.members
            if member.state is MemberState.LIVE
        ]

    def _is_steady(self) -> bool:
        """Tell whether the set of daemons has been the same for a while."""
        now = trio.current_time()
        members = frozenset(self._live())
        if members != self._steady_members:
            self._steady_members = members
            self._steady_since = now
        return now - self._steady_since >= _STEADY_S

    async def _claim_all(self, wanted: set[PartitionId]) -> None:
        claimed: dict[PartitionId, _Held] = {}
        for partition in sorted(wanted - set(self._held)):
            held = await self._claim(partition)
            if held is not None:
                claimed[partition] = held
        if not claimed:
            return
        registries = await self._reader.read(
            {part: held.row.sources[:-1] for part, held in claimed.items()},
        )
        for partition, held in claimed.items():
            self._held[partition] = held
            self._handlers.on_acquired(
                partition,
                held.row.epoch,
                registries[partition],
            )
        self._announce()

    async def _claim(self, partition: PartitionId) -> _Held | None:
        """Claim one partition if nobody alive owns it."""
        seen = self._seen.get(partition)
        conditions: list[Condition] = [self._membership.alive()]
        sources: list[Source] = []
        epoch = Epoch(1)
        version = 0
        if seen is None:
            conditions.append(Absent(key=partition_key(partition)))
        else:
            if not self._is_free(seen):
                return None
            version = self._versions[partition]
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
            claim=self._unique(),
            sources=[*sources, _journal_source(me, self._journal.open_row)],
        )
        if not await self._put(row, conditions):
            return None
        return _Held(row=row, version=version + 1)

    def _is_free(self, seen: PartitionRow) -> bool:
        if seen.owner is None or seen.incarnation is None:
            return True
        return not self._membership.is_alive(seen.owner, seen.incarnation)

    async def _release(self, partition: PartitionId) -> None:
        """Hand a partition over: stop deciding, write its book, let go."""
        held = self._held[partition]
        await self._handlers.on_released(partition)
        _, key = await self._write_image(partition)
        sources = [Source(kind=SourceKind.SNAPSHOT, key=key)]
        async with self._rewriting:
            self._held.pop(partition)
            await self._rewrite(held, None, sources)
        self._announce()

    async def _rewrite(
        self, held: _Held, owner: DaemonId | None, sources: list[Source]
    ) -> None:
        me = self._membership.me
        row = msgspec.structs.replace(
            held.row,
            owner=owner,
            incarnation=me.incarnation if owner else None,
            claim=self._unique(),
            sources=sources,
        )
        conditions = [
            self._membership.alive(),
            VersionIs(
                key=partition_key(row.partition),
                version=held.version,
            ),
        ]
        old = held.row.sources
        if await self._put(row, conditions):
            held.row = row
            held.version += 1
            await self._remove_images(old, sources[0].key)

    async def _put(
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
        self._seen[row.partition] = row
        return True

    def _writes(self, row: PartitionRow, proof: Put) -> list[Write]:
        known = self._seen.get(row.partition)
        same = known and known.owner == row.owner and known.epoch == row.epoch
        if same:
            return [proof]
        return [proof, Put(key=_STAMP_KEY, body=row.claim.encode())]

    async def _write_image(self, partition: PartitionId) -> tuple[int, str]:
        """Write a book that holds durable events only; return row and key.

        A withdrawn accept must not come back through a snapshot, so the
        image is taken again if one was withdrawn before it was settled.
        """
        while True:
            withdrawn = self._journal.withdrawn
            position = self._journal.appended
            from_row = self._journal.open_row
            body = encode(self._handlers.registry(partition).image())
            await self._journal.wait_durable(position)
            if self._journal.withdrawn == withdrawn:
                break
        key = f'snapshot/{partition:04d}/{self._unique()}'
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

    async def _remove_images(self, sources: list[Source], kept: str) -> None:
        for source in sources:
            if source.kind is SourceKind.SNAPSHOT and source.key != kept:
                try:
                    await self._store.remove(key=source.key)
                except StoreUncertainError:
                    _log.info('old snapshot %s is left behind', source.key)

    def _unique(self) -> str:
        self._claims += 1
        return f'{self._membership.me.incarnation}-{self._claims}'

    def _announce(self) -> None:
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
