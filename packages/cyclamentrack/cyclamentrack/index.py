"""Index of workers by free room, so that a choice never scans the fleet.

Workers are kept in buckets by free accelerators (exact) and by the level of
their free processors and memory, four levels to a doubling. A search visits
buckets from the tightest that can fit and stops after a few candidates.
"""

from collections.abc import Iterator

import msgspec
from sortedcontainers import SortedDict

from cyclamentrack.ids import BootId, PoolName, WorkerId
from cyclamentrack.resources import Resources

_STEPS_PER_DOUBLING = 4
_BUCKET_TRIES = 3
_SEEK_LIMIT = 96
_TOP_LEVEL = 10_000


class WorkerSlotRow(msgspec.Struct, kw_only=True, eq=False):
    """The free room of one worker, in the units of ``Resources``."""

    id: WorkerId
    rack: str
    zone: str
    pool: PoolName
    boot: BootId
    capacity: Resources
    cores: int
    memory: int
    accelerators: int
    slots: int
    bucket: tuple[int, int, int] | None = None
    slot_bucket: int | None = None

    def holds(self, need: Resources) -> bool:
        """Tell whether the need fits in what is free now."""
        return (
            need.milli_cores <= self.cores
            and need.memory_mib <= self.memory
            and need.accelerators <= self.accelerators
        )


def level(amount: int) -> int:
    """Return the level of an amount; levels rise with the amount.

    >>> level(1) < level(2) < level(3) < level(1000)
    True
    """
    if amount < _STEPS_PER_DOUBLING:
        return amount
    bits = amount.bit_length()
    mantissa = (amount >> (bits - 3)) & 3
    return bits * _STEPS_PER_DOUBLING + mantissa


class RoomIndex:
    """Workers of one pool, found by free room."""

    def __init__(self) -> None:
        """Start empty."""
        self._buckets: SortedDict = SortedDict()
        self._by_slots: SortedDict = SortedDict()

    def put(self, row: WorkerSlotRow) -> None:
        """Add a worker, or move it after its free room changed."""
        bucket = (row.accelerators, level(row.cores), level(row.memory))
        if bucket != row.bucket:
            _drop(self._buckets, row.bucket, row)
            row.bucket = bucket
            self._buckets.setdefault(bucket, {})[row.id] = row
        if row.slots != row.slot_bucket:
            _drop(self._by_slots, row.slot_bucket, row)
            row.slot_bucket = row.slots
            self._by_slots.setdefault(row.slots, {})[row.id] = row

    def remove(self, row: WorkerSlotRow) -> None:
        """Take a worker out."""
        _drop(self._buckets, row.bucket, row)
        _drop(self._by_slots, row.slot_bucket, row)
        row.bucket = None
        row.slot_bucket = None

    def tightest(self, need: Resources) -> Iterator[WorkerSlotRow]:
        """Yield workers that hold the need, tightest buckets first."""
        floor_core = level(need.milli_cores)
        floor_memory = level(need.memory_mib)
        seek = (need.accelerators, floor_core, floor_memory)
        keys = self._buckets.keys()
        size = len(keys)
        for _ in range(_SEEK_LIMIT):
            position = self._buckets.bisect_left(seek)
            if position >= size:
                return
            accelerators, core, memory = keys[position]
            if core < floor_core:
                seek = (accelerators, floor_core, floor_memory)
                continue
            if memory < floor_memory:
                seek = (accelerators, core, floor_memory)
                continue
            bucket = self._buckets[accelerators, core, memory]
            yield from _fitting(bucket, need)
            seek = (accelerators, core, memory + 1)

    def emptiest_slots(self, need: Resources) -> Iterator[WorkerSlotRow]:
        """Yield workers with a free slot that hold the need, emptiest first."""
        for slots in reversed(self._by_slots):
            if slots < 1:
                return
            yield from _fitting(self._by_slots[slots], need)

    def roomiest(self, need: Resources) -> Iterator[WorkerSlotRow]:
        """Yield workers that hold the need, roomiest buckets first."""
        top = (_TOP_LEVEL, _TOP_LEVEL, _TOP_LEVEL)
        floor = (need.accelerators, 0, 0)
        tries = self._buckets.irange(floor, top, reverse=True)
        for _, key in zip(range(_SEEK_LIMIT), tries, strict=False):
            yield from _fitting(self._buckets[key], need)


def _fitting(
    bucket: dict[WorkerId, WorkerSlotRow], need: Resources
) -> Iterator[WorkerSlotRow]:
    for _, row in zip(range(_BUCKET_TRIES), bucket.values(), strict=False):
        if row.holds(need):
            yield row


def _drop(buckets: SortedDict, key: object, row: WorkerSlotRow) -> None:
    if key is None:
        return
    bucket = buckets[key]
    bucket.pop(row.id)
    if not bucket:
        buckets.pop(key)
