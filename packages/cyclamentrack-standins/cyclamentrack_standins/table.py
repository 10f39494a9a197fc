"""In-memory stand-ins for the platform's table service and object store."""

import bisect
import random
from collections.abc import Sequence
from itertools import islice

import msgspec
import trio

from cyclamentrack.errors import ConditionFailedError, StoreUncertainError
from cyclamentrack.ports import (
    Absent,
    Condition,
    Delete,
    Present,
    Put,
    Row,
    Transaction,
    VersionIs,
    Write,
)

# A table that was idle commits this much of its write budget at once.
_BUDGET_BURST_S = 0.1
_UNLIMITED = float('inf')


class StoreFaults(msgspec.Struct, kw_only=True):
    """Faults that can be switched while the service runs.

    With ``out`` every call fails. ``lost_replies`` is the share of commits
    that take effect although their sender gets an error. ``slow_s`` delays
    each call, in seconds.
    """

    out: bool = False
    lost_replies: float = 0
    slow_s: float = 0


class MemoryTable:
    """Rows with versions, conditional transactions and a write budget.

    ``writes`` and ``reads`` count transactions and read calls.
    """

    def __init__(
        self, *, seed: int = 0, writes_per_s: float = _UNLIMITED
    ) -> None:
        """Create an empty table; commits beyond the budget are delayed."""
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._random = random.Random(seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        self._writes_per_s = writes_per_s
        self._next_write_at = float('-inf')
        self.faults = StoreFaults()
        self.writes = 0
        self.reads = 0

    async def read(self, *, keys: Sequence[str]) -> list[Row | None]:
        """Return the row of each key, or ``None`` where it's missing."""
        await self._apply_faults()
        self.reads += 1
        return [self._rows.get(key) for key in keys]

    async def scan(self, *, prefix: str, limit: int, after: str) -> list[Row]:
        """Return up to ``limit`` rows with a prefix, in order of their keys.

        The rows start after the key ``after``.
        """
        await self._apply_faults()
        self.reads += 1
        start = bisect.bisect_right(self._keys, max(after, prefix[:-1]))
        found: list[Row] = []
        for key in islice(self._keys, start, None):
            if key.startswith(prefix):
                found.append(self._rows[key])
            elif key > prefix:
                break
            if len(found) >= limit:
                break
        return found

    async def commit(self, *, transaction: Transaction) -> None:
        """Apply a transaction.

        Raises ``ConditionFailedError`` when a condition isn't met, and
        ``StoreUncertainError`` when the reply is lost after the writes.
        """
        await self._apply_faults()
        await self._wait_for_budget()
        for condition in transaction.conditions:
            self._check_condition(condition)
        self.writes += 1
        for write in transaction.writes:
            self._apply_write(write)
        if self._random.random() < self.faults.lost_replies:
            raise StoreUncertainError(message='the reply was lost')

    async def _apply_faults(self) -> None:
        await trio.sleep(self.faults.slow_s)
        if self.faults.out:
            raise StoreUncertainError(
                message='the table service is unavailable'
            )

    async def _wait_for_budget(self) -> None:
        if self._writes_per_s == _UNLIMITED:
            return
        now = trio.current_time()
        write_at = max(self._next_write_at, now - _BUDGET_BURST_S)
        self._next_write_at = write_at + 1 / self._writes_per_s
        await trio.sleep(max(write_at - now, 0))

    def _check_condition(self, condition: Condition) -> None:
        match condition:
            case Absent(key=key):
                met = key not in self._rows
            case Present(key=key):
                met = key in self._rows
            case VersionIs(key=key, version=version):
                row = self._rows.get(key)
                met = row is not None and row.version == version
        if not met:
            raise ConditionFailedError(key=condition.key)

    def _apply_write(self, write: Write) -> None:
        match write:
            case Put(key=key, body=body):
                existing = self._rows.get(key)
                if existing is None:
                    bisect.insort(self._keys, key)
                version = existing.version + 1 if existing else 1
                self._rows[key] = Row(key=key, body=body, version=version)
            case Delete(key=key):
                if self._rows.pop(key, None) is not None:
                    self._keys.pop(bisect.bisect_left(self._keys, key))


class MemoryStore:
    """Objects by key; ``lost_replies`` has no effect here."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._objects: dict[str, bytes] = {}
        self.faults = StoreFaults()

    async def put(self, *, key: str, body: bytes) -> None:
        """Store an object, and replace one with the same key."""
        await self._apply_faults()
        self._objects[key] = body

    async def fetch(self, *, key: str) -> bytes | None:
        """Return an object, or ``None`` when there is none."""
        await self._apply_faults()
        return self._objects.get(key)

    async def remove(self, *, key: str) -> None:
        """Remove an object, if it exists."""
        await self._apply_faults()
        self._objects.pop(key, None)

    async def names(self, *, prefix: str) -> list[str]:
        """Return the keys that start with a prefix, sorted."""
        await self._apply_faults()
        return sorted(key for key in self._objects if key.startswith(prefix))

    async def _apply_faults(self) -> None:
        await trio.sleep(self.faults.slow_s)
        if self.faults.out:
            raise StoreUncertainError(message='the object store is unavailable')
