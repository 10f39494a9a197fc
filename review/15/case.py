"""A minion is lost for good, the only one without a task that serves."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # ruff: ignore[module-import-not-at-top-of-file]

_NODES = 6
_MINIONS = 7
_CPU = 64000
_MEM = 262144
_SERVING_CPU = 8000
_HOST = 'tickets.example'
_PREFIX = '/maps/'
_SERVING = '5c0e7a21d94b36f8'
_FILLING = '5c0e7a21d94b36f9'
# RULES, LOST: finish_s after the end of the traffic, a job has nothing running
# for 3 s while a task's turn has come, there is capacity for it twice over, and
# under half of the service's capacity is in use.
_FINISH_S = 14.0
_IDLE_S = 3.0
_WORK_S = 12.0
_ROUTE = {
    'Name': 'hall-map',
    'Host': _HOST,
    'PathPrefix': _PREFIX,
    'Service': 'sahne',
    'Priority': 1,
    'MaxAttempts': 4,
    'Stretch': 2.2,
    'TargetLatencyMs': 1000,
}


def _work(task, run, spec):
    del task, run
    return (None, 'lasting') if spec == 'serve' else (_WORK_S, 'done')


def _minions_with(platform, job):
    return [
        minion
        for minion in platform.minions
        if minion.up and any(task.startswith(job) for task, _ in minion.runs)
    ]


async def _submit(platform, job, spec, step):
    return await platform.submit(
        job, {'Spec': spec, 'Steps': [step]}, host=_HOST, prefix=_PREFIX
    )


async def case(record):
    """Return whether the job that fills is left with nothing running."""
    platform = standins.Platform(record, nodes=_NODES)
    for number in range(_MINIONS):
        platform.minions.append(
            standins.Minion(
                platform,
                machine=f'machine-{number}',
                service='sahne',
                cpu=_CPU,
                mem=_MEM,
                work=_work,
            )
        )
    serving = {
        'Count': _MINIONS - 1,
        'Cpu': _SERVING_CPU,
        'MemMb': 4000,
        'EstimateMs': 1000,
        'LongRunning': True,
        'AntiAffinity': 1,
        'Image': 'map-server',
        'TargetMs': 100,
    }
    filling = {
        'Count': 1,
        'Cpu': 4000,
        'MemMb': 4000,
        'EstimateMs': int(_WORK_S * 1000),
        'Image': 'map-batch',
        'Fills': True,
    }
    try:
        await platform.run(routes=[_ROUTE], services=['sahne'])
        if not await platform.ready(host=_HOST, prefix=_PREFIX):
            return None
        if not await _submit(platform, _SERVING, 'serve', serving):
            return None
        await asyncio.sleep(3.0)
        if not await _submit(platform, _FILLING, 'fill', filling):
            return None
        await asyncio.sleep(3.0)
        record.add('the traffic ends')
        at_work = _minions_with(platform, _FILLING)
        if not at_work or len(_minions_with(platform, _SERVING)) != 6:
            record.add('the tasks did not start')
            return None
        if standins.trouble():
            at_work[0].end('is lost for good')
        await asyncio.sleep(_FINISH_S + _IDLE_S)
        began = record.now
        while record.now - began < _IDLE_S:
            if _minions_with(platform, _FILLING):
                return False
            await asyncio.sleep(0.1)
        state = await platform.state(_FILLING, host=_HOST, prefix=_PREFIX)
        if state == 'completed':
            return False
        up = [minion for minion in platform.minions if minion.up]
        record.add(
            f'nothing of {_FILLING} has run for {_IDLE_S} s; {len(up)} minions '
            f'are up, each with {_SERVING_CPU} of {_CPU} thousandths of a core '
            f'and 4000 of {_MEM} MB in use'
        )
        return True
    finally:
        await platform.stop()


standins.run_case(case, FOLDER)
