"""An entry of another writer, with an IPv6 address, lies among the minions."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import BOUNDS, Cell, job, main, route

BEFORE = '00000000000000a1'
AFTER = '00000000000000a2'
# The loopback address of IPv6; nothing listens there.
ADDRESS = '::1:8080'


async def play(cell: Cell, trouble: bool) -> list[str]:
    """Play the case and return how the rule was broken."""
    await cell.start(nodes=3, minions=4, routes=[route('r-q', '/q/')])
    node = cell.nodes[0]
    body = job(count=4, cpu=2000, mem=256, spec={'work_ms': 8000})
    await cell.submit(node, f'/q/{BEFORE}', body)
    await asyncio.sleep(2)
    if trouble:
        cell.put_entry(
            'i-other',
            {
                'Service': 'pool-a',
                'Address': ADDRESS,
                'Zone': 'z1',
                'Slots': 8,
                'State': 'ready',
                'Capacity': {'Cpu': 16000, 'MemMb': 65536, 'Gpu': 0},
            },
        )
    await asyncio.sleep(2)
    await cell.submit(node, f'/q/{AFTER}', body)
    await asyncio.sleep(BOUNDS['finish_s'])
    broken = await cell.neglected(
        node,
        [f'/q/{BEFORE}', f'/q/{AFTER}'],
        for_s=20,
        others='with 4 minions of 16 cores on which nothing else runs',
    )
    shown = [await cell.state(node, f'/q/{one}') for one in (BEFORE, AFTER)]
    cell.record.say(f'shown as {shown}, starts {len(cell.starts)}')
    return broken


if __name__ == '__main__':
    main(Path(__file__).resolve().parent, play)
