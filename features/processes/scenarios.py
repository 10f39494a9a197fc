"""Single cases on real processes, which the soak's seeds can reach as well."""

import asyncio

from features.processes.cell import POOLS, Cell

_TASKS = 30
_WORK_S = 30.0
_PARTITION_S = 16.0
_SETTLED_S = 4.0
_ASKS = 150


async def partition_owner(workers):
    """Partition the owner with some workers while a job of 30 tasks runs."""
    cell = Cell(workers=6)
    try:
        await cell.open()
        await _play(cell, workers)
        cell.judge.close()
    finally:
        await cell.close()
    return cell


async def _play(cell, workers):
    fields = {'Count': _TASKS, 'Cpu': 2000, 'MemMb': 64, 'EstimateMs': 30000}
    plan = {'cpu': fields['Cpu'], 'work_s': _WORK_S}
    job = cell.new_job(name='5c0e7a21d94b36f8', steps=[(fields, plan)])
    await cell.call(cell.nodes['n0'], 'POST', job)
    await asyncio.sleep(_SETTLED_S)
    owner = cell.owner(POOLS[0]).name
    names = [worker.name for worker in cell.workers[:workers]]
    cell.judge.record(f'{owner}, {names} are partitioned')
    island = cell.links.part([owner, *names])
    await asyncio.sleep(_PARTITION_S)
    cell.judge.record('the partition is over')
    cell.links.heal(island)
    for node in cell.nodes.values():
        await _wait_until_completed(cell, node, job)


async def _wait_until_completed(cell, node, job):
    """Wait far longer than the job takes, as the machine may be busy."""
    for _ in range(_ASKS):
        _, answer = await cell.call(node, 'GET', job)
        if answer == {'State': 'completed'}:
            return
        await asyncio.sleep(1)
    cell.judge.breaks(f'LOST: {job.name} is {answer} at {node.name}')
