"""The slice's journal: group commits that a later owner can fence.

Every commit is conditional on the version of the slice's head row and replaces
that row. A copy of a commit that the store applies late, or a commit of a
replaced owner, therefore finds another version and does nothing.
"""

import logging
from collections.abc import Callable, Mapping, Sequence

import msgspec
import trio

from cyclamentrack.codec import decode, encode
from cyclamentrack.errors import CyclamentrackError, StoreUncertainError
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    Conflict,
    Expect,
    RowKey,
    RowStore,
    StoredRow,
    StoreRefusedError,
)

_log = logging.getLogger(__name__)

# The store accepts 100 entries per call; the head row takes two of them, as a
# condition and as a write.
_BATCH_ENTRIES = 98
# Below the store's limit of 1 MB per call, which also has to hold the names
# and the base64 overhead.
_BATCH_BYTES = 500_000
# Minimum time between commits of one slice, which bounds its load on the
# store.
_COMMIT_INTERVAL_S = 0.01
_RETRY_MIN_S = 0.05
_RETRY_MAX_S = 0.4

_Write = tuple[RowKey, int, bytes | None]

HEAD = 'head'
TABLE = 'journal'


class OwnershipLostError(CyclamentrackError):
    """Another owner has claimed the slice."""

    def __init__(self, *, part: str) -> None:
        """Create the error for a slice, given by its part name."""
        super().__init__(
            message=f'slice {part} has a newer owner',
            remedy='stop all work on it; the newer owner has its registry',
        )


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The owner that wrote a slice's last commit, and the commit's number."""

    owner: str
    number: int


def head_key(part: str) -> RowKey:
    """Return the key of a slice's head row."""
    return RowKey(TABLE, part, HEAD)


class Journal:
    """Writes of one owner, committed in order, one commit at a time.

    ``on_refused`` is called with the key of a row that the store refuses for
    good. Unless it supersedes that row, the write is dropped.
    """

    def __init__(
        self, *, store: RowStore, part: str, owner: str, version: int
    ) -> None:
        """Continue from the head row's version that the claim wrote."""
        self.commit_began_at: float | None = None
        self.on_refused: Callable[[RowKey], None] = _ignore
        self._store = store
        self._part = part
        self._owner = owner
        self._version = version
        self._number = 0
        self._pending: dict[RowKey, tuple[int, bytes | None]] = {}
        self._last_number = 0
        self._waiting: list[tuple[int, trio.Event]] = []
        self._wake = trio.Event()

    @property
    def commit_lag_s(self) -> float:
        """How long the current commit has taken so far, seconds."""
        if self.commit_began_at is None:
            return 0.0
        return trio.current_time() - self.commit_began_at

    def put(self, key: RowKey, body: bytes | None) -> None:
        """Queue a write; ``None`` removes the row.

        A queued write to the same row is replaced and keeps its place in the
        queue, so callers that wait for the earlier write wait for this one.
        """
        self._last_number += 1
        queued = self._pending.get(key)
        number = queued[0] if queued else self._last_number
        self._pending[key] = (number, body)
        self._wake.set()

    def put_together(self, rows: Mapping[RowKey, bytes]) -> None:
        """Queue rows that are stored one after another, in this order.

        They take the place of the first of them that is queued already.
        """
        queued = [
            self._pending.pop(key)[0] for key in rows if key in self._pending
        ]
        self._last_number += 1
        number = min(queued, default=self._last_number)
        for key, body in rows.items():
            self._pending[key] = (number, body)
        if queued:
            self._sort_pending()
        self._wake.set()

    def supersede(
        self, keys: Sequence[RowKey], *, key: RowKey, body: bytes
    ) -> None:
        """Queue a row, and the removal of rows that it makes needless.

        The rows are never removed before it is stored, also if a write to one
        of them is queued already and the commits end in between. It takes the
        place of the first such write, so callers that wait for that wait for
        this row.
        """
        queued = [
            self._pending.pop(one)[0] for one in keys if one in self._pending
        ]
        self.put(key, body)
        if queued:
            self._pending[key] = (min(queued), body)
            self._sort_pending()
        for one in keys:
            self.put(one, None)

    async def flushed(self) -> None:
        """Wait until all writes queued before this call are stored."""
        if not self._pending and self.commit_began_at is None:
            return
        event = trio.Event()
        self._waiting.append((self._last_number, event))
        await event.wait()

    async def run(self) -> None:
        """Commit queued writes until the slice is lost or this is cancelled."""
        while True:
            await self._wake.wait()
            await trio.sleep(_COMMIT_INTERVAL_S)
            self._wake = trio.Event()
            while self._pending:
                await self._commit_next()

    async def _commit_next(self) -> None:
        writes = self._take_batch()
        self.commit_began_at = trio.current_time()
        await self._commit_writes(writes)
        self.commit_began_at = None
        self._wake_waiters()

    async def _commit_writes(self, writes: Sequence[_Write]) -> None:
        """Commit writes in order; those refused for good cost no others."""
        try:
            await self._commit_batch(writes)
        except StoreRefusedError:
            if len(writes) == 1:
                await self._commit_or_drop(writes[0])
                return
            middle = len(writes) // 2
            await self._commit_writes(writes[:middle])
            await self._commit_writes(writes[middle:])

    async def _commit_or_drop(self, write: _Write) -> None:
        """Commit a write, or drop it if the store refuses it and no others."""
        await self._commit_batch(())
        try:
            await self._commit_batch((write,))
        except StoreRefusedError as error:
            self._drop(write, error)

    def _drop(self, write: _Write, error: StoreRefusedError) -> None:
        """Drop a write; what supersedes its row takes its place."""
        key, number, _ = write
        _log.error(
            'row refused for good slice=%s key=%s: %s',
            self._part,
            key.key,
            error,
        )
        newer = self._pending.get(key)
        marker = (number, None)
        self._pending[key] = marker
        self.on_refused(key)
        if self._pending.get(key) is not marker:
            return
        del self._pending[key]
        if newer is not None:
            self._pending[key] = newer
            self._sort_pending()

    async def _commit_batch(self, writes: Sequence[_Write]) -> None:
        self._number += 1
        head = Head(owner=self._owner, number=self._number)
        key = head_key(self._part)
        batch = Batch(
            expected=(Expect(key, self._version),),
            puts=(
                (key, encode(head)),
                *((row, body) for row, _, body in writes if body is not None),
            ),
            removes=tuple(row for row, _, body in writes if body is None),
        )
        self._version = await self._commit(batch, head)

    def _take_batch(self) -> list[_Write]:
        taken: list[_Write] = []
        size = 0
        for key, (number, body) in list(self._pending.items()):
            size += len(body or b'')
            if taken and size > _BATCH_BYTES:
                break
            taken.append((key, number, body))
            if len(taken) >= _BATCH_ENTRIES:
                break
        for key, _, _ in taken:
            self._pending.pop(key)
        return taken

    def _sort_pending(self) -> None:
        self._pending = dict(sorted(self._pending.items(), key=_queue_number))

    def _wake_waiters(self) -> None:
        first_pending = min(
            (number for number, _ in self._pending.values()),
            default=self._last_number + 1,
        )
        remaining: list[tuple[int, trio.Event]] = []
        for number, event in self._waiting:
            if number < first_pending:
                event.set()
            else:
                remaining.append((number, event))
        self._waiting = remaining

    async def _commit(self, batch: Batch, head: Head) -> int:
        """Commit a batch; an error means that its writes are refused for good.

        A head row alone is never refused for good.
        """
        delay = _RETRY_MIN_S
        while True:
            try:
                answer = await self._store.commit(batch)
            except (StoreUncertainError, StoreRefusedError) as error:
                if _is_final(error, batch):
                    raise
                _log.warning(
                    'journal commit failed, retrying slice=%s number=%d: %s',
                    self._part,
                    head.number,
                    error,
                )
                await trio.sleep(delay)
                delay = min(2 * delay, _RETRY_MAX_S)
                continue
            match answer:
                case Committed(version=version):
                    return version
                case Conflict():
                    return self._own_version(answer, head)

    def _own_version(self, conflict: Conflict, head: Head) -> int:
        """Return the head row's version if an earlier attempt wrote it.

        Raises ``OwnershipLostError`` if another owner did.
        """
        row: StoredRow | None = conflict.find(head_key(self._part))
        if row is None or decode(row.body, Head) != head:
            raise OwnershipLostError(part=self._part)
        return row.version


def _ignore(key: RowKey) -> None:
    del key


def _is_final(
    error: StoreUncertainError | StoreRefusedError, batch: Batch
) -> bool:
    """Return whether a batch's writes, besides the head, are refused."""
    writes = len(batch.puts) + len(batch.removes) - 1
    return (
        isinstance(error, StoreRefusedError) and error.for_good and writes > 0
    )


def _queue_number(item: tuple[RowKey, tuple[int, bytes | None]]) -> int:
    return item[1][0]
