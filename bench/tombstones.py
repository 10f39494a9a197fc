"""Measures double starts and leaked capacity with and without tombstones.

The daemons share the workers, so work is also placed through reservations at
a peer. Messages between them are delayed beyond the caller timeout, and some
are lost. A reservation that arrives after its cancellation holds capacity
that nobody will use until it expires; that capacity is summed over time.
"""

import trio

from bench.report import Report
from cyclamentrack.fleet import Fleet
from cyclamentrack.ids import AttemptId, split_attempt
from cyclamentrack.messages import Reserve, Reserved
from cyclamentrack.node import Node
from cyclamentrack.registry import Phase
from cyclamentrack.resources import Resources
from cyclamentrack.work import Kind
from cyclamentrack_standins.network import NetworkFaults
from features.harness.world import World, make_work

_SEEDS = (1, 2, 3, 4)
_WORKERS = 12
_ROUNDS = 40
_ROUND_S = 1.0
_SAMPLE_S = 0.1


class _Sampler:
    """Sums the capacity of reservations that nobody will confirm."""

    def __init__(self, *, world: World) -> None:
        self._world = world
        self.core_seconds = 0.0

    async def run(self) -> None:
        while True:
            for node in self._world.cell.nodes.values():
                self.core_seconds += self._leaked(node) * _SAMPLE_S
            await trio.sleep(_SAMPLE_S)

    def _leaked(self, node: Node) -> float:
        """Return the cores reserved for attempts that won't be placed."""
        leaked = sum(
            entry.need.resources.milli_cores
            for entry in node.fleet.reservations.waiting()
            if not self._is_wanted(entry.need.attempt)
        )
        return leaked / 1000

    def _is_wanted(self, attempt: AttemptId) -> bool:
        """Return whether the task waits, or was placed with this attempt."""
        work, index, number = split_attempt(attempt)
        for node in self._world.cell.nodes.values():
            record = node.works.find(work)
            if record is None:
                continue
            task = record.tasks[index]
            if task.phase is Phase.WAITING:
                return True
            return task.phase is Phase.PLACED and task.attempt == number
        return False


def measure() -> Report:
    """Run the same load with and without tombstones."""
    report = Report(
        name='tombstones',
        headings=[
            'tombstones',
            'double starts',
            'leaked core-s',
            'late reserves',
        ],
    )
    leaks: dict[bool, float] = {}
    for tombstones in (True, False):
        doubled = 0
        leaked = 0.0
        late = 0
        for seed in _SEEDS:
            found = _run(seed, tombstones)
            doubled += found[0]
            leaked += found[1]
            late += found[2]
        leaks[tombstones] = leaked
        report.add('with' if tombstones else 'without', doubled, leaked, late)
        if tombstones:
            report.at_most(
                'double starts with tombstones',
                target=0,
                measured=doubled,
                unit='starts',
            )
    report.at_most(
        'leaked capacity with tombstones over without',
        target=1,
        measured=leaks[True] / leaks[False] if leaks[False] else 0,
        unit='times',
    )
    return report


def _run(seed: int, tombstones: bool) -> tuple[int, float, int]:
    world = World(seed=seed, tombstones=tombstones)
    late = _LateReserves()
    try:
        world.add_workers(_WORKERS)
        world.start('a', 'b', 'c')
        sampler = _Sampler(world=world)
        world.loop.run(_start_sampler, world, sampler)
        world.cell.network.faults = NetworkFaults(
            lost=0.02, lost_replies=0.05, late=0.25, late_s=2.5
        )
        for number in range(_ROUNDS):
            works = [
                make_work(
                    f'job-{number}-{part}',
                    kind=Kind.GANG if part % 3 == 0 else Kind.BATCH,
                    tasks=6 if part % 3 == 0 else 1,
                    idempotent=True,
                    resources=Resources(milli_cores=4000, memory_mib=1024),
                    run_s=1.0,
                )
                for part in range(6)
            ]
            node = world.any_node()
            world.loop.run(_submit, node, works)
            for work in works[::2]:
                world.loop.run(_cancel, node, work.id)
            world.loop.sleep(_ROUND_S)
        world.loop.sleep(20)
        return (
            len(world.cell.recorder.doubled),
            sampler.core_seconds,
            late.count,
        )
    finally:
        late.stop()
        world.close()


class _LateReserves:
    """Counts requests that a tombstone refused, or would have refused."""

    def __init__(self) -> None:
        self.count = 0
        self._original = Fleet.reserve

        def reserve(fleet: Fleet, request: Reserve) -> Reserved:
            refused = [
                need
                for need in request.needs
                if fleet.reservations.is_refused(need.attempt)
            ]
            self.count += len(refused)
            return self._original(fleet, request)

        Fleet.reserve = reserve

    def stop(self) -> None:
        Fleet.reserve = self._original


async def _start_sampler(world: World, sampler: _Sampler) -> None:
    world.loop.nursery.start_soon(sampler.run)


async def _submit(node: Node, works: list) -> None:
    with trio.move_on_after(2):
        await node.router.submit(works, 2.0)


async def _cancel(node: Node, work: str) -> None:
    with trio.move_on_after(1):
        await node.router.cancel([work])
