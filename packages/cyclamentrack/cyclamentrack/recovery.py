"""Recovers the work registries of partitions from snapshots and journals."""

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

_ROWS_PER_PAGE = 20


class SourceKind(enum.Enum):
    """Where part of a registry is recovered from."""

    SNAPSHOT = 'snapshot'
    JOURNAL = 'journal'


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """One input of a recovery: a snapshot, or a journal from a row onwards.

    ``key`` names the snapshot; the other fields identify the journal.
    """

    kind: SourceKind
    key: str = ''
    daemon: DaemonId = DaemonId('')
    incarnation: Incarnation = Incarnation('')
    from_row: int = 0


class SnapshotMissingError(CyclamentrackError):
    """A partition's row refers to a snapshot that doesn't exist."""


class RegistryReader:
    """Recovers several partitions while reading each journal only once."""

    def __init__(
        self, *, table: Table, store: ObjectStore, partitions: int
    ) -> None:
        """Recover from rows of ``table`` and snapshots in ``store``."""
        self._table = table
        self._store = store
        self._partitions = partitions

    async def read(
        self, sources: dict[PartitionId, list[Source]]
    ) -> dict[PartitionId, WorkRegistry]:
        """Return the registry of each partition.

        Sources are read in order and in pages, so memory is bounded by the
        registries and one page. Retries while the services don't answer.
        Raises ``SnapshotMissingError`` when a snapshot doesn't exist.
        """
        registries: dict[PartitionId, WorkRegistry] = {}
        for partition, parts in sources.items():
            registries[partition] = await self._load_base(partition, parts)
        for journal_id in _order_journals(sources.values()):
            await self._replay(journal_id, registries, sources)
        return registries

    async def _load_base(
        self, partition: PartitionId, parts: list[Source]
    ) -> WorkRegistry:
        first = parts[0] if parts else None
        if first is None or first.kind is not SourceKind.SNAPSHOT:
            return WorkRegistry(partition=partition)
        body = await self._fetch_snapshot(first.key)
        if body is None:
            raise SnapshotMissingError(
                message=f'snapshot {first.key} does not exist',
                remedy="restore it from the object store's version history",
            )
        image: RegistryImage = decode(body, RegistryImage)
        return WorkRegistry.restore(partition=partition, image=image)

    async def _fetch_snapshot(self, key: str) -> bytes | None:
        backoff = Backoff()
        while True:
            try:
                return await self._store.fetch(key=key)
            except StoreUncertainError:
                await backoff.sleep()

    async def _replay(
        self,
        journal_id: tuple[DaemonId, Incarnation],
        registries: dict[PartitionId, WorkRegistry],
        sources: dict[PartitionId, list[Source]],
    ) -> None:
        first_rows = _first_rows(journal_id, sources)
        row_number = min(first_rows.values())
        prefix = journal_key(*journal_id, 0)[:-12]
        after = journal_key(*journal_id, row_number)
        page = await self._first_page(after)
        while page:
            for row in page:
                number = int(row.key[-12:])
                self._apply(row, number, first_rows, registries)
            page = await self._scan(prefix, page[-1].key)

    async def _first_page(self, key: str) -> list[Row]:
        """Return the first page of rows, starting with the given key."""
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
                    limit=_ROWS_PER_PAGE,
                    after=after,
                )
            except StoreUncertainError:
                await backoff.sleep()

    def _apply(
        self,
        row: Row,
        number: int,
        first_rows: dict[PartitionId, int],
        registries: dict[PartitionId, WorkRegistry],
    ) -> None:
        packed: JournalRow = decode(row.body, JournalRow)
        for event in packed.events:
            partition = partition_of(work_of(event), self._partitions)
            if number >= first_rows.get(partition, number + 1):
                registries[partition].apply(event)


def _order_journals(
    sources: Iterable[list[Source]],
) -> list[tuple[DaemonId, Incarnation]]:
    """Return the journals in an order that agrees with every source list.

    Such an order always exists: a daemon that follows another in one list
    claimed that partition after the other was dead, so no list contains them
    in the opposite order.
    """
    order: TopologicalSorter[tuple[DaemonId, Incarnation]] = TopologicalSorter()
    for parts in sources:
        before: list[tuple[DaemonId, Incarnation]] = []
        for part in parts:
            if part.kind is not SourceKind.JOURNAL:
                continue
            journal_id = (part.daemon, part.incarnation)
            order.add(journal_id, *before)
            before = [journal_id]
    return list(order.static_order())


def _first_rows(
    journal_id: tuple[DaemonId, Incarnation],
    sources: dict[PartitionId, list[Source]],
) -> dict[PartitionId, int]:
    """Return the first row of a journal that each partition needs."""
    first_rows: dict[PartitionId, int] = {}
    for partition, parts in sources.items():
        for part in parts:
            if (part.daemon, part.incarnation) == journal_id:
                first_rows.setdefault(partition, part.from_row)
    return first_rows
