"""Stand-in for a store of rows: versions, feeds, lost and late replies."""

from collections.abc import Callable

import trio

from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.jobs.ports import (
    Batch,
    Changes,
    Committed,
    Conflict,
    HistoryLostError,
    Page,
    PartNames,
    RowKey,
    StoredRow,
    StoreRefusedError,
)

_CALL_S = 0.004
_LOST_S = 1.0
_LATE_S = 3.0


class MemoryRows:
    """All rows, shared by the nodes of a test."""

    def __init__(self) -> None:
        """Start empty and sound."""
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.down = False
        self.refusing: set[str] = set()
        self.resetting: set[str] = set()
        self.silent_parts: set[str] = set()
        self.silent_scans: set[tuple[str, str]] = set()
        self.lose_replies = 0
        self.late_writes = 0
        self.feed_delay_s = 0.0
        self.reply_delay_s = 0.0
        self.commits = 0
        self.history_from = 0
        self.on_commit: Callable[[Batch], None] | None = None
        self._log: list[tuple[int, RowKey, StoredRow | None]] = []
        self._changed = trio.Event()

    def client(self, node: str) -> 'MemoryRowClient':
        """Return the store as one node sees it."""
        return MemoryRowClient(rows=self, node=node)

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self.history_from = self.version

    def put(self, key: RowKey, body: bytes) -> None:
        """Write a row as the platform's own writers do."""
        self.apply(Batch(puts=((key, body),)))

    def remove(self, key: RowKey) -> None:
        """Remove a row as the platform's own writers do."""
        self.apply(Batch(removes=(key,)))

    def apply(self, batch: Batch) -> Committed | Conflict:
        """Apply a batch at once."""
        for one in batch.expected:
            if self._version_of(one.key) != one.version:
                return self._conflict(batch)
        self.version += 1
        for key, body in batch.puts:
            row = StoredRow(key=key, body=body, version=self.version)
            self.rows[key] = row
            self._log.append((self.version, key, row))
        for key in batch.removes:
            if self.rows.pop(key, None) is not None:
                self._log.append((self.version, key, None))
        self._changed.set()
        self._changed = trio.Event()
        return Committed(version=self.version)

    def changes(self, table: str, after: int) -> Changes:
        """Return what changed in a table after a version."""
        newest = {
            key: row
            for version, key, row in self._log
            if version > after and key.table == table
        }
        return Changes(
            rows=tuple(row for row in newest.values() if row is not None),
            removed=tuple(key for key, row in newest.items() if row is None),
            version=self.version,
        )

    async def wait_for_change(self) -> None:
        """Wait until something is written."""
        await self._changed.wait()

    def _version_of(self, key: RowKey) -> int:
        row = self.rows.get(key)
        return row.version if row else 0

    def _conflict(self, batch: Batch) -> Conflict:
        return Conflict(
            rows=tuple(
                self.rows[one.key]
                for one in batch.expected
                if one.key in self.rows
            ),
        )


class MemoryRowClient:
    """The store as one node reaches it."""

    def __init__(self, *, rows: MemoryRows, node: str) -> None:
        """Call for one node."""
        self._rows = rows
        self._node = node

    async def commit(self, batch: Batch) -> Committed | Conflict:
        """Apply a batch, perhaps late, perhaps with the reply lost."""
        await self._enter(_part_of(batch))
        rows = self._rows
        rows.commits += 1
        if rows.on_commit is not None:
            rows.on_commit(batch)
        if rows.late_writes > 0:
            rows.late_writes -= 1
            trio.lowlevel.spawn_system_task(_apply_late, rows, batch)
            await self._lose()
        answer = rows.apply(batch)
        await trio.sleep(rows.reply_delay_s)
        if rows.lose_replies > 0:
            rows.lose_replies -= 1
            await self._lose()
        return answer

    async def scan(self, *, table: str, part: str) -> Page:
        """Return all rows of a part of a table."""
        await self._enter(part)
        if (table, part) in self._rows.silent_scans:
            await self._lose()
        found = [
            row
            for key, row in self._rows.rows.items()
            if key.table == table and key.part == part
        ]
        found.sort(key=lambda row: row.key.key)
        return Page(rows=tuple(found), version=self._rows.version)

    async def parts(self, *, table: str) -> PartNames:
        """Return the parts of a table that hold rows."""
        await self._enter()
        names = {key.part for key in self._rows.rows if key.table == table}
        return PartNames(names=tuple(sorted(names)), version=self._rows.version)

    async def read(self, key: RowKey) -> StoredRow | None:
        """Return one row."""
        await self._enter(key.part)
        return self._rows.rows.get(key)

    async def follow(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Wait for changes of a table after a version."""
        await self._enter()
        if after < self._rows.history_from:
            raise HistoryLostError(table=table)
        with trio.move_on_after(wait_s):
            while not self._rows.changes(table, after).rows:
                await self._rows.wait_for_change()
        await trio.sleep(self._rows.feed_delay_s)
        await self._enter()
        return self._rows.changes(table, after)

    async def _enter(self, part: str = '') -> None:
        await trio.sleep(_CALL_S)
        if self._node in self._rows.refusing:
            raise StoreRefusedError(status=503)
        if self._node in self._rows.resetting:
            raise StoreUncertainError(message='connection reset')
        if self._rows.down or part in self._rows.silent_parts:
            await self._lose()

    async def _lose(self) -> None:
        await trio.sleep(_LOST_S)
        raise StoreUncertainError(message='no answer')


def _part_of(batch: Batch) -> str:
    keys = [key for key, _ in batch.puts] or batch.removes
    return keys[0].part


async def _apply_late(rows: MemoryRows, batch: Batch) -> None:
    await trio.sleep(_LATE_S)
    rows.apply(batch)
