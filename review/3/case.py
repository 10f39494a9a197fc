"""Over 500 ends wait on a minion when a new owner polls it first."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import BOUNDS, Cell, job, main, route

JOBS = [f'{number:016x}' for number in range(1, 41)]
TASKS = 36
WORK_MS = 8000
# The jobs end one after another, from this moment on, within 1.5 s.
# The owner is killed just before it.
MOMENT_S = 16.0
STEP_MS = 36
KILL_BEFORE_S = 0.1
RESTART_S = 3.0


async def play(cell: Cell, trouble: bool) -> list[str]:
    """Play the case and return how the rule was broken."""
    record = cell.record
    await cell.start(nodes=3, minions=2, routes=[route('r-q', '/q/')])
    for minion in cell.minions:
        minion.capacity = {'Cpu': 64000, 'MemMb': 262144, 'Gpu': 8}
        minion.register()
    await asyncio.sleep(2)
    node = cell.nodes[0]
    moment = time.time() + MOMENT_S
    for number, one in enumerate(JOBS):
        spec = {'until_ms': int(moment * 1000) + STEP_MS * number}
        body = job(count=TASKS, cpu=80, mem=128, spec=spec, EstimateMs=WORK_MS)
        await cell.submit(node, f'/q/{one}', body)
    await asyncio.sleep(moment - KILL_BEFORE_S - time.time())
    record.say(f'starts {len(cell.starts)}, done {len(cell.done)}')
    owner = cell.owner()
    if trouble:
        owner.signal(signal.SIGKILL)
    await asyncio.sleep(2)
    waiting = [len(minion.life.ends) for minion in cell.minions]
    record.say(f'done {len(cell.done)}, not taken note of yet: {waiting}')
    await asyncio.sleep(RESTART_S - 2)
    if trouble:
        await owner.start()
    await asyncio.sleep(BOUNDS['finish_s'])
    shown = {await cell.state(cell.nodes[1], f'/q/{one}') for one in JOBS}
    record.say(f'{shown}, starts {len(cell.starts)}, done {len(cell.done)}')
    return cell.broken


if __name__ == '__main__':
    main(Path(__file__).resolve().parent, play)
