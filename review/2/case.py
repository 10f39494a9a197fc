"""Minions lose power for some seconds and begin again under their ids."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import BOUNDS, Cell, job, main, route

JOBS = [f'{number:016x}' for number in range(1, 201)]
MINIONS = 8
DOWN_S = 1.0


async def play(cell: Cell, trouble: bool) -> list[str]:
    """Play the case and return how the rule was broken."""
    record = cell.record
    await cell.start(nodes=3, minions=MINIONS, routes=[route('r-q', '/q/')])

    async def hand_in() -> None:
        for number, one in enumerate(JOBS):
            body = job(count=8, cpu=1000, mem=64, spec={'work_ms': 600})
            await cell.submit(cell.nodes[number % 3], f'/q/{one}', body)
            await asyncio.sleep(0.2)

    handing_in = asyncio.create_task(hand_in())
    await asyncio.sleep(2.5)
    turn = 0
    while not handing_in.done() and not cell.broken:
        if trouble:
            await cell.minions[turn % MINIONS].lose_power(DOWN_S)
        turn += 1
        await asyncio.sleep(2.5)
    await handing_in
    await asyncio.sleep(BOUNDS['finish_s'])
    shown = {await cell.state(cell.nodes[1], f'/q/{one}') for one in JOBS}
    record.say(f'{shown}, starts {len(cell.starts)}, done {len(cell.done)}')
    return cell.broken


if __name__ == '__main__':
    main(Path(__file__).resolve().parent, play)
