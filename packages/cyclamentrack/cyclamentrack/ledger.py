"""Tracks the capacity of a daemon's workers and who has allocated it.

All changes are plain function calls between two checkpoints of one task, so
no lock is needed and no worker is ever allocated more than it has.
"""

from collections.abc import Iterable, Iterator
from itertools import starmap

import msgspec

from cyclamentrack import defaults
from cyclamentrack.ids import BootId, PoolName, WorkerId
from cyclamentrack.index import FreeCapacityIndex, WorkerCapacity
from cyclamentrack.messages import PoolSummary
from cyclamentrack.ports import Instance
from cyclamentrack.resources import NO_RESOURCES, Resources


class Allocation(msgspec.Struct, kw_only=True, eq=False):
    """Capacity of a worker that is allocated to one attempt or lookup.

    With ``from_lookup_reserve`` the resources come out of what the worker
    reserves for lookups.
    """

    worker: WorkerId
    resources: Resources
    slots: int = 0
    from_lookup_reserve: bool = False


def lookup_reserve(instance: Instance) -> Resources:
    """Return what a worker always reserves for lookups."""
    return Resources(
        milli_cores=instance.slots * defaults.LOOKUP_SLOT_MILLI_CORES,
        memory_mib=instance.slots * defaults.LOOKUP_SLOT_MEMORY_MIB,
    )


def task_capacity(instance: Instance) -> Resources:
    """Return a worker's capacity for tasks: all but the lookup reserve."""
    reserve = lookup_reserve(instance)
    total = instance.capacity
    return Resources(
        milli_cores=max(total.milli_cores - reserve.milli_cores, 0),
        memory_mib=max(total.memory_mib - reserve.memory_mib, 0),
        accelerators=total.accelerators,
    )


class Ledger:
    """Free capacity of all workers that this daemon owns.

    An open worker receives new allocations; a closed one doesn't.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self._rows: dict[WorkerId, WorkerCapacity] = {}
        self._open: set[WorkerId] = set()
        self._allocations: dict[str, Allocation] = {}
        self._allocations_on: dict[WorkerId, dict[str, None]] = {}
        self._pools: dict[PoolName, FreeCapacityIndex] = {}
        self._racks: dict[tuple[PoolName, str], dict[WorkerId, None]] = {}

    def add(self, instance: Instance, *, boot: BootId) -> None:
        """Add a worker, closed to new allocations until it is opened."""
        for_tasks = task_capacity(instance)
        row = WorkerCapacity(
            id=instance.id,
            rack=instance.rack,
            zone=instance.zone,
            pool=instance.pool,
            boot=boot,
            capacity=instance.capacity,
            cores=for_tasks.milli_cores,
            memory=for_tasks.memory_mib,
            accelerators=for_tasks.accelerators,
            slots=instance.slots,
            lookup_cores=instance.capacity.milli_cores - for_tasks.milli_cores,
            lookup_memory=instance.capacity.memory_mib - for_tasks.memory_mib,
        )
        self._rows[instance.id] = row
        self._allocations_on[instance.id] = {}
        self._pools.setdefault(row.pool, FreeCapacityIndex())
        rack = self._racks.setdefault((row.pool, row.rack), {})
        rack[row.id] = None

    def remove(self, worker: WorkerId) -> None:
        """Remove a worker and every allocation on it."""
        row = self._rows.get(worker)
        if row is None:
            return
        self.close(worker)
        self._rows.pop(worker)
        self._racks[row.pool, row.rack].pop(worker)
        for key in self._allocations_on.pop(worker):
            self._allocations.pop(key)

    def open(self, worker: WorkerId, *, boot: BootId) -> None:
        """Allow new allocations on a worker."""
        row = self._rows[worker]
        row.boot = boot
        self._open.add(worker)
        self._pools[row.pool].put(row)

    def close(self, worker: WorkerId) -> None:
        """Prevent new allocations on a worker; existing ones stay."""
        if worker in self._open:
            self._open.discard(worker)
            row = self._rows[worker]
            self._pools[row.pool].remove(row)

    def allocate(
        self,
        key: str,
        *,
        worker: WorkerId,
        resources: Resources,
        slots: int = 0,
    ) -> None:
        """Allocate capacity of a worker; the caller has checked that it fits.

        What a worker reports when it is fenced may exceed its free capacity.
        The free capacity then becomes negative, and nothing is placed there
        until it is positive again.
        """
        row = self._rows[worker]
        from_lookup_reserve = slots > 0 and row.has_lookup_reserve(resources)
        allocation = Allocation(
            worker=worker,
            resources=resources,
            slots=slots,
            from_lookup_reserve=from_lookup_reserve,
        )
        self._allocations[key] = allocation
        self._allocations_on[worker][key] = None
        self._charge(row, allocation, 1)

    def release(self, key: str) -> Allocation | None:
        """Free an allocation; a second release does nothing."""
        allocation = self._allocations.pop(key, None)
        if allocation is None:
            return None
        row = self._rows[allocation.worker]
        self._allocations_on[allocation.worker].pop(key)
        self._charge(row, allocation, -1)
        return allocation

    def find_allocation(self, key: str) -> Allocation | None:
        """Return the allocation of a key, or ``None``."""
        return self._allocations.get(key)

    def allocations_on(self, worker: WorkerId) -> list[str]:
        """Return the keys of the allocations on a worker."""
        return list(self._allocations_on.get(worker, ()))

    def row(self, worker: WorkerId) -> WorkerCapacity | None:
        """Return a worker's capacity row, or ``None``."""
        return self._rows.get(worker)

    def rows(self) -> Iterable[WorkerCapacity]:
        """Return the capacity rows of all workers."""
        return self._rows.values()

    def is_open(self, worker: WorkerId) -> bool:
        """Return whether a worker is open to new allocations."""
        return worker in self._open

    def pool(self, pool: PoolName) -> FreeCapacityIndex | None:
        """Return the index of a pool's open workers, or ``None``."""
        return self._pools.get(pool)

    def racks(self, pool: PoolName) -> Iterator[list[WorkerCapacity]]:
        """Yield the open workers of each rack of a pool."""
        for (name, _), members in self._racks.items():
            if name != pool:
                continue
            rows = [
                self._rows[worker] for worker in members if worker in self._open
            ]
            if rows:
                yield rows

    def summaries(self) -> list[PoolSummary]:
        """Return the free capacity of each pool."""
        by_pool: dict[PoolName, list[WorkerCapacity]] = {}
        for row in self._rows.values():
            by_pool.setdefault(row.pool, []).append(row)
        return list(starmap(self._summary, by_pool.items()))

    def _summary(
        self, pool: PoolName, members: list[WorkerCapacity]
    ) -> PoolSummary:
        ready = [row for row in members if row.id in self._open]
        capacity = NO_RESOURCES
        for row in members:
            capacity = capacity.plus(row.capacity)
        return PoolSummary(
            pool=pool,
            free=Resources(
                milli_cores=sum(max(row.cores, 0) for row in ready),
                memory_mib=sum(max(row.memory, 0) for row in ready),
                accelerators=sum(max(row.accelerators, 0) for row in ready),
            ),
            largest=Resources(
                milli_cores=max(
                    (max(row.cores, 0) for row in ready), default=0
                ),
                memory_mib=max(
                    (max(row.memory, 0) for row in ready), default=0
                ),
                accelerators=max(
                    (max(row.accelerators, 0) for row in ready),
                    default=0,
                ),
            ),
            slots=sum(max(row.slots, 0) for row in ready),
            capacity=capacity,
            largest_worker=_largest([row.capacity for row in members]),
        )

    def _charge(
        self, row: WorkerCapacity, allocation: Allocation, sign: int
    ) -> None:
        """Subtract an allocation from a row, or add it back if sign is -1."""
        row.slots -= sign * allocation.slots
        if allocation.from_lookup_reserve:
            row.lookup_cores -= sign * allocation.resources.milli_cores
            row.lookup_memory -= sign * allocation.resources.memory_mib
        else:
            row.cores -= sign * allocation.resources.milli_cores
            row.memory -= sign * allocation.resources.memory_mib
            row.accelerators -= sign * allocation.resources.accelerators
        self._reindex(row)

    def _reindex(self, row: WorkerCapacity) -> None:
        if row.id in self._open:
            self._pools[row.pool].put(row)


def _largest(amounts: list[Resources]) -> Resources:
    return Resources(
        milli_cores=max(amount.milli_cores for amount in amounts),
        memory_mib=max(amount.memory_mib for amount in amounts),
        accelerators=max(amount.accelerators for amount in amounts),
    )
