"""Reading a partition's book back from snapshots and journals."""

import enum
import logging
from collections.abc import Iterable
from graphlib import TopologicalSorter

import msgspec

from cyclamentrack.codec import decode
from cyclamentrack.errors import CyclamentrackError, StoreUncertainError
from cyclamentrack.events import work_of
from cyclamentrack.ids import DaemonId, Incarnation, PartitionId
from cyclamentrack.journal import JournalRow, journal_key
from cyclamentrack.ports import ObjectStore, Row, Table
from cyclamentrack.registry import RegistryImage, WorkRegistry
from cyclamentrack.store import Backoff
from cyclamentrack.work import partition_of

_log = logging.getLogger(__name__)

_PAGE_ROWS = 20


class SourceKind(enum.Enum):
    """Where part of a book is read from."""

    SNAPSHOT = 'snapshot'
    JOURNAL = 'journal'


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """One part of a book: a snapshot's key, or a journal from a row on."""

    kind: SourceKind
    key: str = ''
    daemon: DaemonId = DaemonId('')
    incarnation: Incarnation = Incarnation('')
    from_row: int = 0


class SnapshotMissingError(CyclamentrackError):
    """A partition's row names a snapshot that the object store lacks."""


class BookReader:
    """Reads the books of several partitions, each journal only once."""

    def __init__(
        self, *, table: Table, store: ObjectStore, partitions: int
    ) -> None:
        """Read through the given services."""
        self._table = table
        self._store = store
        self._partitions = partitions

    async def read(
        self, sources: dict[PartitionId, list[Source]]
    ) -> dict[PartitionId, WorkRegistry]:
        """Return the book of each partition.

        Sources are read in order, in pages, so memory is bounded by the books
        and one page. Waits as long as the services are out.
        """
        registries: dict[PartitionId, WorkRegistry] = {}
        for partition, parts in sources.items():
            registries[partition] = await self._base(partition, parts)
        for life in _lives(sources.values()):
            await self._replay(life, registries, sources)
        return registries

    async def _base(
        self, partition: PartitionId, parts: list[Source]
    ) -> WorkRegistry:
        first = parts[0] if parts else None
        if first is None or first.kind is not SourceKind.SNAPSHOT:
            return WorkRegistry(partition=partition)
        body = await self._fetch(first.key)
        if body is None:
            raise SnapshotMissingError(
                message=f'snapshot {first.key} is missing',
                remedy="restore it from the object store's own history",
            )
        image: RegistryImage = decode(body, RegistryImage)
        return WorkRegistry.restore(partition=partition, image=image)

    async def _fetch(self, key: str) -> bytes | None:
        backoff = Backoff()
        while True:
            try:
                return await self._store.fetch(key=key)
            except StoreUncertainError:
                await backoff.sleep()

    async def _replay(
        self,
        life: tuple[DaemonId, Incarnation],
        registries: dict[PartitionId, WorkRegistry],
        sources: dict[PartitionId, list[Source]],
    ) -> None:
        starts = _starts(life, sources)
        row_number = min(starts.values())
        prefix = journal_key(*life, 0)[:-12]
        after = journal_key(*life, row_number)
        page = await self._first_page(after)
        while page:
            for row in page:
                number = int(row.key[-12:])
                self._apply(row, number, starts, registries)
            page = await self._scan(prefix, page[-1].key)

    async def _first_page(self, key: str) -> list[Row]:
        """Return the rows from a key on, that key included."""
        prefix = key[:-12]
        number = int(key[-12:])
        before = f'{prefix}{number - 1:012d}' if number else ''
        return await self._scan(prefix, before)

    async def _scan(self, prefix: str, after: str) -> list[Row]:
        backoff = Backoff()
        while True:
            try:
                return await self._table.scan(
                    prefix=prefix,
                    limit=_PAGE_ROWS,
                    after=after,
                )
            except StoreUncertainError:
                await backoff.sleep()

    def _apply(
        self,
        row: Row,
        number: int,
        starts: dict[PartitionId, int],
        registries: dict[PartitionId, WorkRegistry],
    ) -> None:
        packed: JournalRow = decode(row.body, JournalRow)
        for event in packed.events:
            partition = partition_of(work_of(event), self._partitions)
            if number >= starts.get(partition, number + 1):
                registries[partition].apply(event)


def _lives(
    sources: Iterable[list[Source]],
) -> list[tuple[DaemonId, Incarnation]]:
    """Return the journals to replay, in an order that fits every list.

    There is one: a daemon that follows another in some list claimed the
    partition after the other's death, so no list can hold them the other way.
    """
    order: TopologicalSorter[tuple[DaemonId, Incarnation]] = TopologicalSorter()
    for parts in sources:
        before: list[tuple[DaemonId, Incarnation]] = []
        for part in parts:
            if part.kind is not SourceKind.JOURNAL:
                continue
            life = (part.daemon, part.incarnation)
            order.add(life, *before)
            before = [life]
    return list(order.static_order())


def _starts(
    life: tuple[DaemonId, Incarnation],
    sources: dict[PartitionId, list[Source]],
) -> dict[PartitionId, int]:
    """Return the row from which each partition reads one journal."""
    starts: dict[PartitionId, int] = {}
    for partition, parts in sources.items():
        for part in parts:
            if (part.daemon, part.incarnation) == life:
                starts.setdefault(partition, part.from_row)
    return starts
