"""Measures the recovery from a killed owner and from a table outage.

Real daemons run on a paused clock with in-memory stand-ins, so the times
depend on the protocol and not on this machine.
"""

import trio

from bench.report import Report, percentile
from cyclamentrack import defaults
from cyclamentrack.node import Node
from cyclamentrack.work import Kind, Work
from cyclamentrack_standins.table import StoreFaults
from features.harness.oracle import Oracle
from features.harness.world import World, make_work

_WORKERS = 12
_DAEMONS = 'abc'
_ROUND_S = 0.25
_OUTAGE_S = 30
_TAKEOVER_TARGET_S = defaults.LEASE_S + 2
_MS = 1000


def measure() -> Report:
    """Measure the takeover after a kill, then lookups during an outage."""
    report = Report(
        name='recover', headings=['what', 'p50 ms', 'p99 ms', 'count']
    )
    _measure_kill(report)
    _measure_outage(report)
    return report


def _measure_kill(report: Report) -> None:
    world = _start()
    try:
        oracle = Oracle(recorder=world.cell.recorder)
        owner = _daemon_with_most_partitions(world)
        lost = set(owner.ownership.owned_partitions)
        _load(world, oracle, 'before', rounds=20)
        writes = world.cell.table.writes
        placed = sum(world.cell.recorder.starts.values())
        world.loop.run(_kill, world, owner)
        first = _measure_first_placement(world, oracle, lost)
        _load(world, oracle, 'after', rounds=40)
        world.loop.sleep(60)
        placements = sum(world.cell.recorder.starts.values()) - placed
        per_thousand = (world.cell.table.writes - writes) / placements * 1000
        missing = _count_lost(world, oracle)
        report.add('takeover to first placement', first * _MS, '', 1)
        report.at_most(
            'killed owner to the first placement of its partitions',
            target=_TAKEOVER_TARGET_S,
            measured=first,
            unit='s',
        )
        report.at_most('work lost', target=0, measured=missing, unit='works')
        report.at_most(
            'work doubled',
            target=0,
            measured=len(world.cell.recorder.doubled),
            unit='tasks',
        )
        report.add(
            'table writes per 1,000 placements', per_thousand, '', placements
        )
        report.slopes['writes_per_1000_placements'] = per_thousand
    finally:
        world.close()


def _measure_outage(report: Report) -> None:
    world = _start()
    try:
        oracle = Oracle(recorder=world.cell.recorder)
        for phase, out in (
            ('before', False),
            ('during', True),
            ('after', False),
        ):
            world.cell.table.faults = StoreFaults(out=out)
            rounds = int(_OUTAGE_S / _ROUND_S)
            waits, failed = _look_up(world, phase, rounds)
            report.add(
                f'lookups {phase} the outage',
                percentile(waits, 0.5) * _MS,
                percentile(waits, 0.99) * _MS,
                f'{len(waits)} answered, {failed} not',
            )
            report.at_most(
                f'lookups not answered {phase} the outage',
                target=0,
                measured=failed,
                unit='lookups',
            )
        _load(world, oracle, 'end', rounds=4)
        world.loop.sleep(30)
        report.at_most(
            'work lost after the outage',
            target=0,
            measured=_count_lost(world, oracle),
            unit='works',
        )
    finally:
        world.close()


def _start() -> World:
    world = World(seed=3)
    world.add_workers(_WORKERS)
    world.start(*_DAEMONS)
    return world


def _daemon_with_most_partitions(world: World) -> Node:
    return max(
        world.cell.nodes.values(),
        key=lambda node: len(node.ownership.owned_partitions),
    )


def _load(world: World, oracle: Oracle, name: str, *, rounds: int) -> None:
    """Submit short works at a steady rate."""
    for number in range(rounds):
        works = [
            make_work(f'{name}-{number}-{part}', run_s=1.0, idempotent=True)
            for part in range(10)
        ]
        _submit(world, oracle, works)
        world.loop.sleep(_ROUND_S)


def _submit(world: World, oracle: Oracle, works: list[Work]) -> None:
    for work in works:
        oracle.expect(work)
    node = world.any_node()
    for answer in world.loop.run(node.router.submit, works, 20.0):
        oracle.told(answer)


def _measure_first_placement(
    world: World, oracle: Oracle, partitions: set[int]
) -> float:
    """Return the time until work of the lost partitions starts, in seconds."""
    started_at = world.loop.run(_now)
    number = 0
    while True:
        number += 1
        work = make_work(f'probe-{number}', run_s=1.0, idempotent=True)
        node = world.any_node()
        if node.works.partition(work.id) not in partitions:
            continue
        _submit(world, oracle, [work])
        while not world.cell.recorder.starts_of(work.id):
            world.loop.sleep(0.01)
        return world.loop.run(_now) - started_at


def _count_lost(world: World, oracle: Oracle) -> int:
    lost = 0
    for promise in oracle.promises.values():
        done = world.cell.recorder.completions[f'{promise.work.id}#0']
        if promise.accepted and not done:
            lost += 1
    return lost


def _look_up(world: World, phase: str, rounds: int) -> tuple[list[float], int]:
    """Return the sorted waits of answered lookups, and the failed ones."""
    waits: list[float] = []
    failed = 0
    for number in range(rounds):
        work = make_work(
            f'look-{phase}-{number}', kind=Kind.LOOKUP, idempotent=True
        )
        started_at = world.loop.run(_now)
        node = list(world.cell.nodes.values())[number % len(_DAEMONS)]
        done = world.loop.run(node.router.lookup, work)
        if done.problem is None:
            waits.append(world.loop.run(_now) - started_at)
        else:
            failed += 1
        world.loop.sleep(_ROUND_S)
    return sorted(waits), failed


async def _now() -> float:
    return trio.current_time()


async def _kill(world: World, node: Node) -> None:
    world.cell.kill(node)
