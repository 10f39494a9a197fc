"""In-memory row store with versions, change feeds and injected faults."""

import bisect
import operator
from collections import Counter
from collections.abc import Callable, Sequence

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
from cyclamentrack_standins.links import STORE, Links

_CALL_DELAY_S = 0.004
_LOST_REPLY_S = 1.0
_LATE_WRITE_S = 3.0
_MAX_QUEUE_S = 1.0
_ROW_BYTES = 65536
_INVALID = 400
_PAGE_ROWS = 500


class MemoryRows:
    """The rows of a test and the faults of the store.

    ``down`` leaves all calls unanswered, ``unanswered_parts`` those to some
    parts of tables, ``unanswered_scans`` some scans, and ``unanswered_tables``
    the scans and feeds of whole tables. ``refused_nodes`` get a refusal and
    ``reset_nodes`` a reset connection. ``lost_replies`` and ``delayed_writes``
    count the writes to come whose reply is lost, or which are applied only
    after seconds. With ``transaction_s`` the transactions of a
    part take so long, one after another; while more than one second of them
    wait, others are refused. A transaction with a value over ``row_bytes`` is
    refused for good. ``calls`` counts the calls of all kinds by table.
    """

    def __init__(self, *, links: Links | None = None) -> None:
        """Start without rows and faults; ``links`` tells who reaches it."""
        self.links = links or Links()
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.down = False
        self.refused_nodes: set[str] = set()
        self.reset_nodes: set[str] = set()
        self.unanswered_parts: set[str] = set()
        self.unanswered_scans: set[tuple[str, str]] = set()
        self.unanswered_tables: set[str] = set()
        self.lost_replies = 0
        self.delayed_writes = 0
        self.feed_delay_s = 0.0
        self.reply_delay_s = 0.0
        self.transaction_s = 0.0
        self.row_bytes = _ROW_BYTES
        self.commits = 0
        self.refusals = 0
        self.calls: Counter[str] = Counter()
        self.history_from = 0
        self.on_commit: Callable[[Batch], None] | None = None
        self._part_free_at: dict[str, float] = {}
        self._history: list[tuple[int, RowKey, StoredRow | None]] = []
        self._written = trio.Event()

    def client(self, node: str) -> 'MemoryRowClient':
        """Return a client of the store for one node."""
        return MemoryRowClient(rows=self, node=node)

    def drop_history(self) -> None:
        """Drop the history of all changes so far."""
        self.history_from = self.version

    def put(self, key: RowKey, body: bytes) -> None:
        """Write a row unconditionally, as the platform itself does."""
        self.apply(Batch(puts=((key, body),)))

    def remove(self, key: RowKey) -> None:
        """Remove a row unconditionally, as the platform itself does."""
        self.apply(Batch(removes=(key,)))

    def apply(self, batch: Batch) -> Committed | Conflict:
        """Apply a batch without delay, or return its conditions' rows."""
        for condition in batch.expected:
            if self._version_of(condition.key) != condition.version:
                return self._conflict(batch)
        self.version += 1
        for key, body in batch.puts:
            row = StoredRow(key=key, body=body, version=self.version)
            self.rows[key] = row
            self._history.append((self.version, key, row))
        for key in batch.removes:
            if self.rows.pop(key, None) is not None:
                self._history.append((self.version, key, None))
        self._written.set()
        self._written = trio.Event()
        return Committed(version=self.version)

    def changes(self, table: str, after: int) -> Changes:
        """Return the latest change of each row of a table after a version."""
        first = bisect.bisect_right(
            self._history, after, key=operator.itemgetter(0)
        )
        newest = {
            key: row
            for _, key, row in self._history[first:]
            if key.table == table
        }
        return Changes(
            rows=tuple(row for row in newest.values() if row is not None),
            removed=tuple(key for key, row in newest.items() if row is None),
            version=self.version,
        )

    def has_changed(self, table: str, after: int) -> bool:
        """Return whether a row of a table was put or removed since."""
        changes = self.changes(table, after)
        return bool(changes.rows or changes.removed)

    def check_size(self, batch: Batch) -> None:
        """Refuse a batch with a value that is too large for a row."""
        if any(len(body) > self.row_bytes for _, body in batch.puts):
            self.refusals += 1
            raise StoreRefusedError(status=_INVALID, for_good=True)

    async def take_turn(self, part: str) -> None:
        """Wait for a transaction's turn in its part, and carry it out."""
        if not self.transaction_s:
            return
        now = trio.current_time()
        begins = max(self._part_free_at.get(part, now), now)
        if begins - now > _MAX_QUEUE_S:
            raise StoreRefusedError(status=429)
        self._part_free_at[part] = begins + self.transaction_s
        await trio.sleep_until(begins + self.transaction_s)

    async def wait_for_change(self) -> None:
        """Wait until the next write to any table."""
        await self._written.wait()

    def _version_of(self, key: RowKey) -> int:
        row = self.rows.get(key)
        return row.version if row else 0

    def _conflict(self, batch: Batch) -> Conflict:
        return Conflict(
            rows=tuple(
                self.rows[condition.key]
                for condition in batch.expected
                if condition.key in self.rows
            ),
        )


class MemoryRowClient:
    """Client of the store for one node; it simulates delays and faults."""

    def __init__(self, *, rows: MemoryRows, node: str) -> None:
        """Call the store on behalf of a node."""
        self._rows = rows
        self._node = node

    async def commit(self, batch: Batch) -> Committed | Conflict:
        """Apply a batch; a fault may delay it or lose its reply."""
        self._rows.calls[_table_of(batch)] += 1
        await self._begin_call(_part_of(batch))
        rows = self._rows
        rows.check_size(batch)
        await rows.take_turn(_part_of(batch))
        rows.commits += 1
        if rows.on_commit is not None:
            rows.on_commit(batch)
        if rows.delayed_writes > 0:
            rows.delayed_writes -= 1
            trio.lowlevel.spawn_system_task(_apply_late, rows, batch)
            await self._lose_reply()
        reply = rows.apply(batch)
        await trio.sleep(rows.reply_delay_s)
        if rows.lost_replies > 0:
            rows.lost_replies -= 1
            await self._lose_reply()
        return reply

    async def scan(self, *, table: str, part: str) -> Page:
        """Return all rows of a part of a table."""
        self._rows.calls[table] += 1
        await self._begin_call(part)
        await self._check_table(table)
        if (table, part) in self._rows.unanswered_scans:
            await self._lose_reply()
        rows = [
            row
            for key, row in self._rows.rows.items()
            if key.table == table and key.part == part
        ]
        rows.sort(key=lambda row: row.key.key)
        return Page(rows=tuple(rows), version=self._rows.version)

    async def read_pages(
        self,
        *,
        table: str,
        part: str,
        handle: Callable[[Sequence[StoredRow]], object],
    ) -> int:
        """Hand over the rows of a part of a table in pages."""
        page = await self.scan(table=table, part=part)
        for first in range(0, len(page.rows), _PAGE_ROWS):
            handle(page.rows[first : first + _PAGE_ROWS])
        return page.version

    async def parts(self, *, table: str) -> PartNames:
        """Return the parts of a table that contain rows."""
        await self._begin_call()
        names = {key.part for key in self._rows.rows if key.table == table}
        return PartNames(names=tuple(sorted(names)), version=self._rows.version)

    async def read(self, key: RowKey) -> StoredRow | None:
        """Return one row, or ``None`` if there is none."""
        self._rows.calls[key.table] += 1
        await self._begin_call(key.part)
        return self._rows.rows.get(key)

    async def follow(self, *, table: str, after: int, wait_s: float) -> Changes:
        """Wait up to ``wait_s`` for changes of a table after a version."""
        self._rows.calls[table] += 1
        await self._begin_call()
        await self._check_table(table)
        if after < self._rows.history_from:
            raise HistoryLostError(table=table)
        with trio.move_on_after(wait_s):
            while not self._rows.has_changed(table, after):
                await self._rows.wait_for_change()
        await trio.sleep(self._rows.feed_delay_s)
        await self._begin_call()
        await self._check_table(table)
        return self._rows.changes(table, after)

    async def _begin_call(self, part: str = '') -> None:
        await trio.sleep(_CALL_DELAY_S)
        if self._node in self._rows.refused_nodes:
            raise StoreRefusedError(status=503)
        if self._node in self._rows.reset_nodes:
            raise StoreUncertainError(message='connection reset')
        connected = self._rows.links.connected(self._node, STORE)
        down = self._rows.down or not connected
        if down or part in self._rows.unanswered_parts:
            await self._lose_reply()

    async def _check_table(self, table: str) -> None:
        if table in self._rows.unanswered_tables:
            await self._lose_reply()

    async def _lose_reply(self) -> None:
        await trio.sleep(_LOST_REPLY_S)
        raise StoreUncertainError(message='no answer')


def _part_of(batch: Batch) -> str:
    return _first_key(batch).part


def _table_of(batch: Batch) -> str:
    return _first_key(batch).table


def _first_key(batch: Batch) -> RowKey:
    keys = [key for key, _ in batch.puts] or batch.removes
    return keys[0]


async def _apply_late(rows: MemoryRows, batch: Batch) -> None:
    await trio.sleep(_LATE_WRITE_S)
    rows.apply(batch)
