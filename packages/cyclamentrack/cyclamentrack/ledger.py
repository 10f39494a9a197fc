"""The ledger of a daemon's workers: what each has, and who holds it.

All changes are plain function calls between two checkpoints of one task, so
no lock is needed and no worker is ever promised more than it has.
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


class Hold(msgspec.Struct, kw_only=True, eq=False):
    """Room held on a worker by one attempt or lookup."""

    worker: WorkerId
    resources: Resources
    slots: int = 0
    reserved: bool = False


def lookup_reserve(instance: Instance) -> Resources:
    """Return what a worker keeps for lookups, whatever else it runs."""
    return Resources(
        milli_cores=instance.slots * defaults.LOOKUP_SLOT_MILLI_CORES,
        memory_mib=instance.slots * defaults.LOOKUP_SLOT_MEMORY_MIB,
    )


def task_capacity(instance: Instance) -> Resources:
    """Return what a worker has for tasks: all but what lookups keep."""
    kept = lookup_reserve(instance)
    whole = instance.capacity
    return Resources(
        milli_cores=max(whole.milli_cores - kept.milli_cores, 0),
        memory_mib=max(whole.memory_mib - kept.memory_mib, 0),
        accelerators=whole.accelerators,
    )


class Ledger:
    """Free room of all workers that this daemon owns."""

    def __init__(self) -> None:
        """Start without workers."""
        self._rows: dict[WorkerId, WorkerCapacity] = {}
        self._open: set[WorkerId] = set()
        self._holds: dict[str, Hold] = {}
        self._held_on: dict[WorkerId, dict[str, None]] = {}
        self._pools: dict[PoolName, FreeCapacityIndex] = {}
        self._racks: dict[tuple[PoolName, str], dict[WorkerId, None]] = {}

    def add(self, instance: Instance, *, boot: BootId) -> None:
        """Take a worker on, closed to new holds until it is opened."""
        room = task_capacity(instance)
        row = WorkerCapacity(
            id=instance.id,
            rack=instance.rack,
            zone=instance.zone,
            pool=instance.pool,
            boot=boot,
            capacity=instance.capacity,
            cores=room.milli_cores,
            memory=room.memory_mib,
            accelerators=room.accelerators,
            slots=instance.slots,
            lookup_cores=instance.capacity.milli_cores - room.milli_cores,
            lookup_memory=instance.capacity.memory_mib - room.memory_mib,
        )
        self._rows[instance.id] = row
        self._held_on[instance.id] = {}
        self._pools.setdefault(row.pool, FreeCapacityIndex())
        rack = self._racks.setdefault((row.pool, row.rack), {})
        rack[row.id] = None

    def remove(self, worker: WorkerId) -> None:
        """Drop a worker and every hold on it."""
        row = self._rows.get(worker)
        if row is None:
            return
        self.close(worker)
        self._rows.pop(worker)
        self._racks[row.pool, row.rack].pop(worker)
        for key in self._held_on.pop(worker):
            self._holds.pop(key)

    def open(self, worker: WorkerId, *, boot: BootId) -> None:
        """Let new holds be placed on a worker."""
        row = self._rows[worker]
        row.boot = boot
        self._open.add(worker)
        self._pools[row.pool].put(row)

    def close(self, worker: WorkerId) -> None:
        """Keep new holds away from a worker; present holds stay."""
        if worker in self._open:
            self._open.discard(worker)
            row = self._rows[worker]
            self._pools[row.pool].remove(row)

    def hold(
        self,
        key: str,
        *,
        worker: WorkerId,
        resources: Resources,
        slots: int = 0,
    ) -> None:
        """Charge a worker; the caller has checked that it fits.

        A hold that a seal reported may exceed what is free: the room then
        goes below zero and nothing is placed until it is above again.
        """
        row = self._rows[worker]
        reserved = slots > 0 and row.has_lookup_reserve(resources)
        held = Hold(
            worker=worker,
            resources=resources,
            slots=slots,
            reserved=reserved,
        )
        self._holds[key] = held
        self._held_on[worker][key] = None
        self._charge(row, held, 1)

    def release(self, key: str) -> Hold | None:
        """Give back what a hold took; a second release does nothing."""
        held = self._holds.pop(key, None)
        if held is None:
            return None
        row = self._rows[held.worker]
        self._held_on[held.worker].pop(key)
        self._charge(row, held, -1)
        return held

    def holder(self, key: str) -> Hold | None:
        """Return a hold, or ``None``."""
        return self._holds.get(key)

    def holds_on(self, worker: WorkerId) -> list[str]:
        """Return the keys of the holds on a worker."""
        return list(self._held_on.get(worker, ()))

    def row(self, worker: WorkerId) -> WorkerCapacity | None:
        """Return a worker's row, or ``None``."""
        return self._rows.get(worker)

    def rows(self) -> Iterable[WorkerCapacity]:
        """Return the rows of all workers."""
        return self._rows.values()

    def is_open(self, worker: WorkerId) -> bool:
        """Tell whether new holds may be placed on a worker."""
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
        """Return the free room of each pool."""
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

    def _charge(self, row: WorkerCapacity, held: Hold, sign: int) -> None:
        """Take a hold's room, or with a negative sign give it back."""
        row.slots -= sign * held.slots
        if held.reserved:
            row.lookup_cores -= sign * held.resources.milli_cores
            row.lookup_memory -= sign * held.resources.memory_mib
        else:
            row.cores -= sign * held.resources.milli_cores
            row.memory -= sign * held.resources.memory_mib
            row.accelerators -= sign * held.resources.accelerators
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
