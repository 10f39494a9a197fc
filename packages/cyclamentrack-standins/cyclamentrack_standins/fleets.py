"""Fleet files, which describe the workers of each pool of a cell."""

import msgspec

from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.ports import Instance
from cyclamentrack.resources import Resources


class PoolSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The workers of one upstream service.

    Racks of ``per_rack`` workers are spread over the zones in turn.
    """

    name: PoolName
    workers: int
    per_rack: int
    zones: int
    capacity: Resources
    slots: int = 8


class FleetFile(msgspec.Struct, frozen=True, kw_only=True):
    """All pools of a cell."""

    pool: list[PoolSpec]


def build_instances(fleet: FleetFile, *, address: str) -> list[Instance]:
    """Return the instances of a fleet, all with the same address."""
    instances: list[Instance] = []
    for pool in fleet.pool:
        for number in range(pool.workers):
            rack = number // pool.per_rack
            instances.append(
                Instance(
                    id=WorkerId(f'{pool.name}-{number:03d}'),
                    address=address,
                    rack=f'{pool.name}-rack-{rack}',
                    zone=f'zone-{rack % pool.zones}',
                    pool=pool.name,
                    capacity=pool.capacity,
                    slots=pool.slots,
                ),
            )
    return instances
