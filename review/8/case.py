"""A queue is moved and its former service retired; the owner is killed."""

import asyncio
import json
import signal
import time
from pathlib import Path

from common_2 import BOUNDS, TROUBLE, run

from features.processes.cell import KEPT, POOLS, ROUTES

FIRST, SECOND = POOLS
JOB = '00000000000000a1'
TASKS = 24
WORK_S = 2.0
DOWN_S = 3.0
FINISH_S = float(BOUNDS['finish_s'])
NEGLECT_S = 3.0
WATCH_S = 40.0


async def play(played):
    """Play the case; return how the rule was broken."""
    fields = {'Count': TASKS, 'Cpu': 8000, 'MemMb': 64, 'EstimateMs': 2000}
    plan = {'cpu': 8000, 'work_s': WORK_S}
    job = played.new_job(name=JOB, steps=[(fields, plan)], prefix=KEPT)
    await played.submit(job)
    await asyncio.sleep(1)
    _retire(played)
    await asyncio.sleep(4)
    owner = played.owner(SECOND)
    played.judge.record(f'{owner.name} owns {SECOND}')
    if TROUBLE:
        owner.outages += 1
        owner.send(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        owner.outages -= 1
    return await _watch(played, job)


def _retire(played):
    """Send the queue to the other service, and take its former one out."""
    routes = {**ROUTES, KEPT: FIRST}
    played.configure(routes)
    played.judge.record(f'the next manifest names the service {FIRST} alone')
    body, _ = played.store.rows['op', '', 'config']
    content = json.loads(body)
    content['Version'] += 1
    content['Services'] = [
        service for service in content['Services'] if service['Name'] == FIRST
    ]
    played.store.put_json('op', 'config', content)


async def _watch(played, job):
    began_at = time.monotonic()
    idle_since = None
    longest_s = 0.0
    state = ''
    while time.monotonic() < began_at + WATCH_S and state != 'completed':
        await asyncio.sleep(0.1)
        now = time.monotonic()
        idle_since = None if played.judge.runs(job) else idle_since or now
        if now > began_at + FINISH_S and idle_since:
            longest_s = max(longest_s, now - max(idle_since, began_at))
        if int(10 * (now - began_at)) % 20 == 0:
            state = await played.shown(job)
    played.judge.record(f'nothing ran for {longest_s:.1f} s, shown as {state}')
    if state == 'completed' or longest_s < NEGLECT_S:
        return []
    text = 'with its service empty, and nobody has cancelled it'
    return [f'LOST: {JOB} has nothing running for {longest_s:.0f} s {text}']


run(Path(__file__).parent, play, workers=6, annex=2)
