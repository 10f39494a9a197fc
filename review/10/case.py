"""The number of waiting jobs of a queue that was moved, during a hand-over."""

import asyncio
import signal
import time
from pathlib import Path

from common_2 import BOUNDS, TROUBLE, run

from features.processes.cell import PLAIN, POOLS, ROUTES

FIRST, SECOND = POOLS
# Jobs count from so long after their acceptance on.
COUNTED_S = BOUNDS['visible_ms'] / 1000 + 2
DOWN_S = 3.0
WATCH_S = 8.0
JOBS = 8


async def play(cell):
    """Play the case; return how the rule was broken."""
    # Long tasks fill the workers, so that all later jobs wait.
    await cell.submit(_job(cell, '00000000000000f0', 6, 200.0))
    await asyncio.sleep(2)
    jobs = [_job(cell, f'00000000000000a{n}', 1, 1.0) for n in range(JOBS)]
    for job in jobs:
        await cell.submit(job)
    cell.configure({**ROUTES, PLAIN: SECOND})
    await asyncio.sleep(COUNTED_S + 1)
    owner = cell.owner(FIRST)
    cell.judge.record(
        f'{owner.name} owns {FIRST}, {cell.owner(SECOND).name} owns {SECOND}'
    )
    restarting = asyncio.create_task(_restart(owner))
    wrong = await _count(cell, jobs, owner)
    await restarting
    return [*wrong[:1], *wrong[-1:]]


def _job(cell, name, count, work_s):
    fields = {
        'Count': count,
        'Cpu': 16000,
        'MemMb': 64,
        'EstimateMs': 1000 * work_s,
    }
    return cell.new_job(
        name=name, steps=[(fields, {'cpu': 16000, 'work_s': work_s})]
    )


async def _restart(owner):
    """Stop a node in order; it is started again once it has ended."""
    if not TROUBLE:
        return
    owner.outages += 1
    owner.send(signal.SIGTERM)
    await asyncio.sleep(DOWN_S)
    owner.outages -= 1


async def _count(cell, jobs, stopped):
    wrong = []
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        for node in cell.nodes.values():
            if node is stopped:
                continue
            status, answer = await node.client.call('GET', PLAIN, timeout_s=3)
            cell.judge.record(f'GET {PLAIN} at {node.name}: {status} {answer}')
            waiting = sum(not cell.judge.starts[one.tasks[0]] for one in jobs)
            if status == 200 and 2 * answer['Waiting'] < waiting:
                wrong.append(
                    f'MIXED: {node.name} gives Waiting {answer["Waiting"]}, '
                    f'and {waiting} jobs wait'
                )
        await asyncio.sleep(0.05)
    cell.judge.record(f'{len(wrong)} wrong counts')
    return wrong


run(Path(__file__).parent, play, workers=6, annex=2)
