"""A stand-in for the platform's table service."""

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

_BUDGET_BURST_S = 0.1
_NO_BUDGET = float('inf')


class StoreFaults(msgspec.Struct, kw_only=True):
    """Faults that can be switched while the service runs.

    ``lost_replies`` is the share of writes that take effect without a reply.
    ``slow_s`` delays each call, in seconds.
    """

    out: bool = False
    lost_replies: float = 0
    slow_s: float = 0


class MemoryTable:
    """Rows with versions, transactions with conditions, a write budget."""

    def __init__(
        self, *, seed: int = 0, writes_per_s: float = _NO_BUDGET
    ) -> None:
        """Start empty; a commit beyond the budget waits for its turn."""
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._random = random.Random(seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        self._writes_per_s = writes_per_s
        self._next_write_at = float('-inf')
        self.faults = StoreFaults()
        self.writes = 0
        self.reads = 0

    async def read(self, *, keys: Sequence[str]) -> list[Row | None]:
        """Return rows by key."""
        await self._pass()
        self.reads += 1
        return [self._rows.get(key) for key in keys]

    async def scan(self, *, prefix: str, limit: int, after: str) -> list[Row]:
        """Return rows in key order."""
        await self._pass()
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
        """Apply a transaction, or lose its reply."""
        await self._pass()
        await self._wait_for_budget()
        for condition in transaction.conditions:
            self._check(condition)
        self.writes += 1
        for write in transaction.writes:
            self._write(write)
        if self._random.random() < self.faults.lost_replies:
            raise StoreUncertainError(message='the reply was lost')

    async def _pass(self) -> None:
        await trio.sleep(self.faults.slow_s)
        if self.faults.out:
            raise StoreUncertainError(message='the table service is out')

    async def _wait_for_budget(self) -> None:
        if self._writes_per_s == _NO_BUDGET:
            return
        now = trio.current_time()
        turn = max(self._next_write_at, now - _BUDGET_BURST_S)
        self._next_write_at = turn + 1 / self._writes_per_s
        await trio.sleep(max(turn - now, 0))

    def _check(self, condition: Condition) -> None:
        match condition:
            case Absent(key=key):
                holds = key not in self._rows
            case Present(key=key):
                holds = key in self._rows
            case VersionIs(key=key, version=version):
                row = self._rows.get(key)
                holds = row is not None and row.version == version
        if not holds:
            raise ConditionFailedError(key=condition.key)

    def _write(self, write: Write) -> None:
        match write:
            case Put(key=key, body=body):
                known = self._rows.get(key)
                if known is None:
                    bisect.insort(self._keys, key)
                version = known.version + 1 if known else 1
                self._rows[key] = Row(key=key, body=body, version=version)
            case Delete(key=key):
                if self._rows.pop(key, None) is not None:
                    self._keys.pop(bisect.bisect_left(self._keys, key))


class MemoryStore:
    """Objects by key."""

    def __init__(self) -> None:
        """Start empty."""
        self._objects: dict[str, bytes] = {}
        self.faults = StoreFaults()

    async def put(self, *, key: str, body: bytes) -> None:
        """Store an object."""
        await self._pass()
        self._objects[key] = body

    async def fetch(self, *, key: str) -> bytes | None:
        """Return an object, or ``None``."""
        await self._pass()
        return self._objects.get(key)

    async def remove(self, *, key: str) -> None:
        """Remove an object."""
        await self._pass()
        self._objects.pop(key, None)

    async def names(self, *, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        await self._pass()
        return sorted(key for key in self._objects if key.startswith(prefix))

    async def _pass(self) -> None:
        await trio.sleep(self.faults.slow_s)
        if self.faults.out:
            raise StoreUncertainError(message='the object store is out')
