"""One of the minions that may run a gang fails all it starts for seconds."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import ADVICE, BOUNDS, Cell, main, route

JOB = '5c0e7a21d94b36f8'
MINIONS = 12
GOOD = 4
TASKS = 8
GREY_S = 5.0


async def play(cell: Cell, trouble: bool) -> list[str]:
    """Play the case and return how the rule was broken."""
    queue = route('r-q', '/q/', Advice=ADVICE, MaxAttempts=3)
    await cell.start(nodes=3, minions=MINIONS, routes=[queue])
    for minion in cell.minions:
        minion.capacity = {'Cpu': 64000, 'MemMb': 262144, 'Gpu': 8}
        minion.register()
    await asyncio.sleep(2)
    good = cell.minions[:GOOD]
    cell.good = {one.id for one in good}
    good[0].grey = trouble
    step = {
        'Count': TASKS, 'Cpu': 8000, 'MemMb': 16000, 'Gpu': 2,
        'EstimateMs': 2000, 'Gang': True, 'AntiAffinity': 2,
    }  # fmt: skip
    body = {'Spec': f'{{"work_ms": 2000, "gang": {TASKS}}}', 'Steps': [step]}
    node = cell.nodes[0]
    await cell.submit(node, f'/q/{JOB}', body)
    await asyncio.sleep(GREY_S)
    good[0].grey = False
    cell.record.say(f'no minion is grey any more; starts {len(cell.starts)}')
    # All has been calm for finish_s, and no minion has anything to do.
    await asyncio.sleep(BOUNDS['finish_s'])
    broken = await cell.neglected(
        node,
        [f'/q/{JOB}'],
        for_s=30,
        others='with 12 minions of 8 accelerators on which nothing runs',
    )
    shown = await cell.state(node, f'/q/{JOB}')
    cell.record.say(f'shown as {shown!r}, starts {len(cell.starts)}')
    return broken


if __name__ == '__main__':
    main(Path(__file__).resolve().parent, play)
