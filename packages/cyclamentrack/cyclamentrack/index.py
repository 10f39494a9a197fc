"""Index of workers by free room, so that a choice never scans the fleet.

Workers of one capacity share a grid for each count of free accelerators. A
cell of the grid holds those with the same level of free processors and
memory; bit masks tell which cells are in use. A search visits, for each level
of processors, the cells whose memory is nearest to a balanced rest.
"""

from collections.abc import Callable, Iterator
from operator import itemgetter

import msgspec
from sortedcontainers import SortedDict

from cyclamentrack.ids import BootId, PoolName, WorkerId
from cyclamentrack.resources import Resources

_LEVELS = 64
_CELL_TRIES = 4
_CANDIDATES = 8
_ROOMY_CANDIDATES = 24

Score = Callable[['WorkerCapacity', Resources], float]
Cell = tuple[int, int]
"""Level of free processors and level of free memory."""


class WorkerCapacity(msgspec.Struct, kw_only=True, eq=False):
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
    lookup_cores: int = 0
    lookup_memory: int = 0
    cell: Cell | None = None
    group: int = 0
    slot_bucket: int | None = None

    def holds(self, need: Resources) -> bool:
        """Tell whether the need fits in what is free now."""
        return (
            need.milli_cores <= self.cores
            and need.memory_mib <= self.memory
            and need.accelerators <= self.accelerators
        )

    def reserves(self, need: Resources) -> bool:
        """Tell whether the need fits in what is kept for lookups."""
        return (
            need.milli_cores <= self.lookup_cores
            and need.memory_mib <= self.lookup_memory
            and not need.accelerators
        )


def level(amount: int, whole: int) -> int:
    """Return the level of an amount, from zero to ``_LEVELS``.

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
        self._cells: dict[Cell, dict[WorkerId, WorkerCapacity]] = {}
        self._core_mask = 0
        self._memory_masks = [0] * (_LEVELS + 1)

    def put(self, row: WorkerCapacity, cell: Cell) -> None:
        core, memory = cell
        self._cells.setdefault(cell, {})[row.id] = row
        self._core_mask |= 1 << core
        self._memory_masks[core] |= 1 << memory

    def drop(self, row: WorkerCapacity, cell: Cell) -> None:
        members = self._cells[cell]
        members.pop(row.id)
        if members:
            return
        self._cells.pop(cell)
        core, memory = cell
        self._memory_masks[core] &= ~(1 << memory)
        if not self._memory_masks[core]:
            self._core_mask &= ~(1 << core)

    def best(  # noqa: WPS210, WPS231
        self, need: Resources, score: Score
    ) -> tuple[float, WorkerCapacity] | None:
        """Return the candidate with the lowest score, if any fits.

        Levels of processors are visited from the lowest that can fit. This
        is the inner loop of every decision, so it is written out plainly.
        """
        capacity = self._capacity
        core_floor = level(need.milli_cores, capacity.milli_cores)
        memory_floor = level(need.memory_mib, capacity.memory_mib)
        shift = memory_floor - core_floor
        best: tuple[float, WorkerCapacity] | None = None
        left = _CANDIDATES
        cores = self._core_mask >> core_floor << core_floor
        while cores and left > 0:
            low = cores & -cores
            cores ^= low
            core = low.bit_length() - 1
            mask = self._memory_masks[core] >> memory_floor << memory_floor
            if not mask:
                continue
            balanced = max(core + shift, memory_floor)
            for memory in _nearest(mask, balanced):
                row = _fitting(self._cells[core, memory], need)
                if row is None:
                    continue
                left -= 1
                found = score(row, need)
                if best is None or found < best[0]:
                    best = (found, row)
        return best

    def roomiest(self, need: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers that hold the need, most free processors first."""
        for core in reversed(list(_bits(self._core_mask))):
            for memory in _bits(self._memory_masks[core]):
                row = _fitting(self._cells[core, memory], need)
                if row is not None:
                    yield row


class FreeCapacityIndex:
    """Workers of one pool, found by free room."""

    def __init__(self) -> None:
        """Start empty."""
        self._grids: SortedDict = SortedDict()
        self._by_slots: SortedDict = SortedDict()

    def put(self, row: WorkerCapacity) -> None:
        """Add a worker, or move it after its free room changed."""
        cell = (
            level(row.cores, row.capacity.milli_cores),
            level(row.memory, row.capacity.memory_mib),
        )
        if cell != row.cell or row.accelerators != row.group:
            self._drop_cell(row)
            row.cell = cell
            row.group = row.accelerators
            self._grid(row).put(row, cell)
        if row.slots != row.slot_bucket:
            self._drop_slots(row)
            row.slot_bucket = row.slots
            self._by_slots.setdefault(row.slots, {})[row.id] = row

    def remove(self, row: WorkerCapacity) -> None:
        """Take a worker out."""
        self._drop_cell(row)
        self._drop_slots(row)

    def best(self, need: Resources, score: Score) -> WorkerCapacity | None:
        """Return the worker with the lowest score that holds the need.

        Workers that would have the fewest accelerators left come first, so
        that work without accelerators doesn't strand them.
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

    def emptiest_slots(self, need: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers with a free slot that hold the need, emptiest first."""
        for slots in reversed(self._by_slots):
            if slots < 1:
                return
            rows = reversed(self._by_slots[slots].values())
            for row in _first(rows, _CELL_TRIES):
                if row.reserves(need) or row.holds(need):
                    yield row

    def roomiest(self, need: Resources) -> Iterator[WorkerCapacity]:
        """Yield workers that hold the need, roomiest of each kind first."""
        for accelerators in self._grids.irange(need.accelerators):
            for grid in self._grids[accelerators].values():
                yield from _first(grid.roomiest(need), _ROOMY_CANDIDATES)

    def _grid(self, row: WorkerCapacity) -> _Grid:
        group = self._grids.setdefault(row.group, {})
        grid = group.get(row.capacity)
        if grid is None:
            grid = _Grid(capacity=row.capacity)
            group[row.capacity] = grid
        return grid

    def _drop_cell(self, row: WorkerCapacity) -> None:
        if row.cell is not None:
            self._grid(row).drop(row, row.cell)
            row.cell = None

    def _drop_slots(self, row: WorkerCapacity) -> None:
        if row.slot_bucket is None:
            return
        bucket = self._by_slots[row.slot_bucket]
        bucket.pop(row.id)
        if not bucket:
            self._by_slots.pop(row.slot_bucket)
        row.slot_bucket = None


def _fitting(
    members: dict[WorkerId, WorkerCapacity], need: Resources
) -> WorkerCapacity | None:
    """Return one of the last few members that holds the need.

    A dict skips what was removed at its front one by one, so a search from
    the front would take longer with each removal.
    """
    left = _CELL_TRIES
    for row in reversed(members.values()):
        if row.holds(need):
            return row
        left -= 1
        if not left:
            return None
    return None


def _first(rows: object, count: int) -> Iterator[WorkerCapacity]:
    for _, row in zip(range(count), rows, strict=False):
        yield row


def _bits(mask: int) -> Iterator[int]:
    """Yield the positions of the bits that are set, lowest first."""
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def _nearest(mask: int, position: int) -> list[int]:
    """Return the set bits next to a position: from it up, and below."""
    found: list[int] = []
    above = mask >> position
    if above:
        found.append(position + (above & -above).bit_length() - 1)
    below = mask & ((1 << position) - 1)
    if below:
        found.append(below.bit_length() - 1)
    return found
