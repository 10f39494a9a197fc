"""Index of workers by free capacity, so that placement never scans a fleet.

Workers of one capacity share a grid for each count of free accelerators. A
bucket of the grid holds the workers with the same level of free processors
and of free memory; bit masks mark the buckets in use. For each level of
processors, a search visits the buckets whose memory would leave the most
balanced remainder.
"""

from collections.abc import Callable, Iterator
from operator import itemgetter

import msgspec
from sortedcontainers import SortedDict

from cyclamentrack.ids import BootId, PoolName, WorkerId
from cyclamentrack.resources import Resources

_LEVELS = 64
# Limits on the work of one search: rows tried in a bucket, workers scored in
# a grid, and workers yielded from a grid.
_MAX_ROWS_PER_BUCKET = 4
_MAX_CANDIDATES = 8
_MAX_MOST_FREE_ROWS = 24

Score = Callable[['WorkerCapacity', Resources], float]
Bucket = tuple[int, int]
"""Level of free processors and level of free memory."""


class WorkerCapacity(msgspec.Struct, kw_only=True, eq=False):
    """The free capacity of one worker, in the units of ``Resources``.

    ``lookup_cores`` and ``lookup_memory`` are what is free of its reserve for
    lookups. The last three fields are its position in the index.
    """

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
    lookup_cores: int = 0
    lookup_memory: int = 0
    bucket: Bucket | None = None
    grid_group: int = 0
    slot_group: int | None = None

    def has_free(self, need: Resources) -> bool:
        """Return whether the need fits in the free capacity."""
        return (
            need.milli_cores <= self.cores
            and need.memory_mib <= self.memory
            and need.accelerators <= self.accelerators
        )

    def has_lookup_reserve(self, need: Resources) -> bool:
        """Return whether the need fits in the free reserve for lookups."""
        return (
            need.milli_cores <= self.lookup_cores
            and need.memory_mib <= self.lookup_memory
            and not need.accelerators
        )


def level(amount: int, whole: int) -> int:
    """Return an amount's fraction of a whole, in ``_LEVELS`` steps.

    >>> level(0, 100), level(50, 100), level(100, 100)
    (0, 32, 64)
    """
    if amount <= 0 or not whole:
        return 0
    return min(amount * _LEVELS // whole, _LEVELS)


class _Grid:
    """Workers of one capacity and count of free accelerators."""

    def __init__(self, *, capacity: Resources) -> None:
        self._capacity = capacity
        self._buckets: dict[Bucket, dict[WorkerId, WorkerCapacity]] = {}
        self._core_mask = 0
        self._memory_masks = [0] * (_LEVELS + 1)

    def put(self, row: WorkerCapacity, bucket: Bucket) -> None:
        core, memory = bucket
        self._buckets.setdefault(bucket, {})[row.id] = row
        self._core_mask |= 1 << core
        self._memory_masks[core] |= 1 << memory

    def drop(self, row: WorkerCapacity, bucket: Bucket) -> None:
        members = self._buckets[bucket]
        members.pop(row.id)
        if members:
            return
        self._buckets.pop(bucket)
        core, memory = bucket
        self._memory_masks[core] &= ~(1 << memory)
        if not self._memory_masks[core]:
            self._core_mask &= ~(1 << core)

    def best(  # noqa: WPS210, WPS231
        self, need: Resources, score: Score
    ) -> tuple[float, WorkerCapacity] | None:
        """Return the candidate with the lowest score, if any fits.

        Levels of processors are visited from the lowest that can fit. This
        is the inner loop of every placement, so it isn't split into
        functions.
        """
        capacity = self._capacity
        core_floor = level(need.milli_cores, capacity.milli_cores)
        memory_floor = level(need.memory_mib, capacity.memory_mib)
        shift = memory_floor - core_floor
        best: tuple[float, WorkerCapacity] | None = None
        left = _MAX_CANDIDATES
        cores = self._core_mask >> core_floor << core_floor
        while cores and left > 0:
            low = cores & -cores
            cores ^= low
            core = low.bit_length() - 1
            mask = self._memory_masks[core] >> memory_floor << memory_floor
            if not mask:
                continue
            balanced = max(core + shift, memory_floor)
            for memory in _nearest_bits(mask, balanced):
                row = _find_fitting(self._buckets[core, memory], need)
                if row is None:
                    continue
                left -= 1
                found = score(row, need)
                if best is None or found < best[0]:
                    best = (found, row)
        return best

    def most_free(self, need: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers that fit the need, most free processors first."""
        for core in reversed(list(_bits(self._core_mask))):
            for memory in _bits(self._memory_masks[core]):
                row = _find_fitting(self._buckets[core, memory], need)
                if row is not None:
                    yield row


class FreeCapacityIndex:
    """The open workers of one pool, indexed by free capacity."""

    def __init__(self) -> None:
        """Start empty."""
        self._grids: SortedDict = SortedDict()
        self._by_slots: SortedDict = SortedDict()

    def put(self, row: WorkerCapacity) -> None:
        """Add a worker, or move it after its free capacity changed."""
        bucket = (
            level(row.cores, row.capacity.milli_cores),
            level(row.memory, row.capacity.memory_mib),
        )
        if bucket != row.bucket or row.accelerators != row.grid_group:
            self._leave_bucket(row)
            row.bucket = bucket
            row.grid_group = row.accelerators
            self._grid(row).put(row, bucket)
        if row.slots != row.slot_group:
            self._leave_slot_group(row)
            row.slot_group = row.slots
            self._by_slots.setdefault(row.slots, {})[row.id] = row

    def remove(self, row: WorkerCapacity) -> None:
        """Remove a worker."""
        self._leave_bucket(row)
        self._leave_slot_group(row)

    def best(self, need: Resources, score: Score) -> WorkerCapacity | None:
        """Return the worker with the lowest score that fits the need.

        Workers with the fewest free accelerators come first, so that work
        without accelerators doesn't fill up workers that have some free.
        """
        for accelerators in self._grids.irange(need.accelerators):
            found = [
                best
                for grid in self._grids[accelerators].values()
                if (best := grid.best(need, score)) is not None
            ]
            if found:
                return min(found, key=itemgetter(0))[1]
        return None

    def most_free_slots(self, need: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers with a free slot that fit the need, most free first."""
        for slots in reversed(self._by_slots):
            if slots < 1:
                return
            rows = reversed(self._by_slots[slots].values())
            for row in _take(rows, _MAX_ROWS_PER_BUCKET):
                if row.has_lookup_reserve(need) or row.has_free(need):
                    yield row

    def most_free(self, need: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers that fit the need.

        Within each group of equal capacity and free accelerators, the workers
        with the most free processors come first.
        """
        for accelerators in self._grids.irange(need.accelerators):
            for grid in self._grids[accelerators].values():
                yield from _take(grid.most_free(need), _MAX_MOST_FREE_ROWS)

    def _grid(self, row: WorkerCapacity) -> _Grid:
        group = self._grids.setdefault(row.grid_group, {})
        grid = group.get(row.capacity)
        if grid is None:
            grid = _Grid(capacity=row.capacity)
            group[row.capacity] = grid
        return grid

    def _leave_bucket(self, row: WorkerCapacity) -> None:
        if row.bucket is not None:
            self._grid(row).drop(row, row.bucket)
            row.bucket = None

    def _leave_slot_group(self, row: WorkerCapacity) -> None:
        if row.slot_group is None:
            return
        members = self._by_slots[row.slot_group]
        members.pop(row.id)
        if not members:
            self._by_slots.pop(row.slot_group)
        row.slot_group = None


def _find_fitting(
    members: dict[WorkerId, WorkerCapacity], need: Resources
) -> WorkerCapacity | None:
    """Return one of the last few members that fits the need.

    A dict keeps removed entries and skips them one by one, so iterating from
    the front would take longer with each removal there.
    """
    left = _MAX_ROWS_PER_BUCKET
    for row in reversed(members.values()):
        if row.has_free(need):
            return row
        left -= 1
        if not left:
            return None
    return None


def _take(rows: object, count: int) -> Iterator[WorkerCapacity]:
    for _, row in zip(range(count), rows, strict=False):
        yield row


def _bits(mask: int) -> Iterator[int]:
    """Yield the positions of the bits that are set, lowest first."""
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def _nearest_bits(mask: int, position: int) -> list[int]:
    """Return the nearest set bit at or above a position and the one below."""
    found: list[int] = []
    above = mask >> position
    if above:
        found.append(position + (above & -above).bit_length() - 1)
    below = mask & ((1 << position) - 1)
    if below:
        found.append(below.bit_length() - 1)
    return found
