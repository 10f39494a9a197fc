"""A route is taken out and added again with another service."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import ADVICE, BOUNDS, Cell, main, route

JOB = '5c0e7a21d94b36f8'
KEPT = route('r-keep', '/q/', Advice=ADVICE)
NIGHT = route('r-night', '/night/', Advice=ADVICE)
WORK_MS = 12000


async def play(cell: Cell, trouble: bool) -> list[str]:
    """Play the case and return how the rule was broken."""
    record = cell.record
    services = ('pool-a', 'pool-b')
    await cell.start(
        nodes=3, minions=4, routes=[KEPT, NIGHT], services=services
    )
    first, second = cell.nodes[:2]
    step = {'Count': 4, 'Cpu': 2000, 'MemMb': 256, 'EstimateMs': WORK_MS}
    body = {
        'Spec': f'{{"work_ms": {WORK_MS}}}',
        'Steps': [step, {**step, 'After': [0]}],
    }
    path = f'/night/{JOB}'
    await cell.submit(first, path, body)
    await asyncio.sleep(1)
    cell.configure(2, [KEPT])
    await asyncio.sleep(1)
    service = services[1] if trouble else services[0]
    cell.configure(3, [KEPT, {**NIGHT, 'Service': service}])
    # Both ConfigApplyMs after the manifest and visible_ms after the job's ack.
    await asyncio.sleep(BOUNDS['visible_ms'] / 1000)
    shown = [await cell.state(node, path) for node in cell.nodes]
    record.say(f'the job is answered with {shown} by the nodes')
    broken = [
        f'LOST: GET {path} is answered 410, though the job was accepted'
        for one in shown
        if one == 'status 410'
    ]
    # The same request arrives again, seconds after its 200.
    await cell.submit(second, path, body)
    await asyncio.sleep(BOUNDS['finish_s'])
    record.say(f'{await cell.state(second, path)}, starts {len(cell.starts)}')
    return [*broken, *cell.broken]


if __name__ == '__main__':
    main(Path(__file__).resolve().parent, play)
