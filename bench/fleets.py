"""Fleets and attempt requests for measurements, drawn with fixed seeds."""

import random
from pathlib import Path

import msgspec

from cyclamentrack.ids import BootId, PoolName, WorkerId, attempt_id
from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import AttemptRequest
from cyclamentrack.ports import Instance
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind
from cyclamentrack_standins.fleets import FleetFile, build_instances

_ROOT = Path(__file__).parent.parent
POOL = PoolName('shared')
_PER_RACK = 5

_TYPES = (
    Resources(milli_cores=16_000, memory_mib=65_536),
    Resources(milli_cores=64_000, memory_mib=131_072),
    Resources(milli_cores=64_000, memory_mib=262_144, accelerators=8),
    Resources(milli_cores=128_000, memory_mib=262_144, accelerators=8),
)
_TYPE_WEIGHTS = (18, 19, 7, 8)


def todays_instances() -> list[Instance]:
    """Return the workers of the four upstream services at today's sizes."""
    path = _ROOT / 'demo' / 'fleet.toml'
    fleet = msgspec.toml.decode(path.read_bytes(), type=FleetFile)
    return build_instances(fleet, address='standin')


def mixed_instances(count: int, *, seed: int = 1) -> list[Instance]:
    """Return workers of today's four types, in the same proportions."""
    rng = random.Random(seed)
    return [
        Instance(
            id=WorkerId(f'worker-{number:05d}'),
            address='standin',
            rack=f'rack-{number // _PER_RACK}',
            zone=f'zone-{number // _PER_RACK % 23}',
            pool=POOL,
            capacity=rng.choices(_TYPES, _TYPE_WEIGHTS)[0],
            slots=8,
        )
        for number in range(count)
    ]


def open_ledger(instances: list[Instance]) -> Ledger:
    """Return a ledger in which all workers are open for work."""
    ledger = Ledger()
    for instance in instances:
        ledger.add(instance, boot=BootId('1'))
        ledger.open(instance.id, boot=BootId('1'))
    return ledger


def mixed_request(
    number: int, rng: random.Random, *, accelerator_share: float = 0.2
) -> AttemptRequest:
    """Return a request for one batch attempt of random size.

    ``accelerator_share`` is the share of requests that need accelerators.
    """
    if rng.random() < accelerator_share:
        resources = Resources(
            milli_cores=rng.choice((4000, 8000, 16_000)),
            memory_mib=rng.choice((8192, 16_384, 32_768)),
            accelerators=rng.choice((1, 1, 2, 4)),
        )
    else:
        resources = Resources(
            milli_cores=rng.choice((250, 500, 1000, 2000, 4000, 12_000)),
            memory_mib=rng.choice((512, 1024, 4096, 8192, 24_576)),
        )
    return AttemptRequest(
        attempt=attempt_id(work=f'work-{number}', task=0, attempt=1),
        kind=Kind.BATCH,
        pool=POOL,
        resources=resources,
        run_s=60.0,
    )
