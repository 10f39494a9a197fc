"""A minion is lost for good, on which a task that lasts was at work."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # ruff: ignore[module-import-not-at-top-of-file]

_NODES = 6
_MINIONS = 18
_CPU = 16000
_TASK_CPU = 6000
_TASKS = 2
_HOST = 'tickets.example'
_PREFIX = '/blocks/'
_JOB = '5c0e7a21d94b36f8'
_DECIDE_S = 0.56
_EACH_S = 0.008
_VALID_S = 2.0
# RULES, LOST: each task that lasts, from 6 s after its last run, has nothing
# running for 3 s. ContactMs and some seconds of calm come before.
_CALM_S = 7.0
_LAST_RUN_S = 6.0
_IDLE_S = 3.0
_LENGTH_S = 45.0
_ROUTE = {
    'Name': 'school-block',
    'Host': _HOST,
    'PathPrefix': _PREFIX,
    'Service': 'gise',
    'Priority': 1,
    'MaxAttempts': 4,
    'Stretch': 2.2,
    'TargetLatencyMs': 2500,
    'Advice': {
        'DecideMs': _DECIDE_S * 1000,
        'EachMs': _EACH_S * 1000,
        'ValidMs': _VALID_S * 1000,
    },
}


def _running(platform):
    return {
        task
        for minion in platform.minions
        if minion.up
        for task, _ in minion.runs
    }


def _free_minions(platform):
    """Count the minions that could take the task."""
    return sum(
        minion.up and minion.state == 'ready' and not minion.runs
        for minion in platform.minions
    )


async def case(record):
    """Return whether a task that lasts is left without a run."""
    platform = standins.Platform(record, nodes=_NODES)
    advice = standins.Advice(
        platform.advice_port,
        good=lambda step, minion: True,
        decide_s=_DECIDE_S,
        each_s=_EACH_S,
        valid_s=_VALID_S,
    )
    for number in range(_MINIONS):
        minion = standins.Minion(
            platform,
            machine=f'machine-{number}',
            service='gise',
            cpu=_CPU,
            mem=65536,
            work=lambda task, run, spec: (None, 'lasting'),
        )
        minion.advice = advice
        platform.minions.append(minion)
    step = {
        'Count': _TASKS,
        'Cpu': _TASK_CPU,
        'MemMb': 12000,
        'EstimateMs': 620,
        'LongRunning': True,
        'AntiAffinity': 1,
    }
    try:
        await platform.run(routes=[_ROUTE], services=['gise'], advice=advice)
        if not await platform.ready(host=_HOST, prefix=_PREFIX):
            return None
        if not await platform.submit(
            _JOB, {'Spec': 'block', 'Steps': [step]}, host=_HOST, prefix=_PREFIX
        ):
            return None
        await asyncio.sleep(8.0)
        at_work = [one for one in platform.minions if one.runs]
        if len(at_work) != _TASKS:
            record.add('the tasks did not start')
            return None
        if standins.trouble():
            max(at_work, key=lambda one: one.id).end('is lost for good')
        lost_at = record.now
        idle_since = None
        while record.now < _LENGTH_S:
            await asyncio.sleep(0.1)
            settled = record.now - lost_at > _CALM_S + _LAST_RUN_S
            complete = len(_running(platform)) == _TASKS
            if complete or not settled or _free_minions(platform) < 2 * _TASKS:
                idle_since = None
                continue
            idle_since = idle_since or record.now
            if record.now - idle_since > _IDLE_S:
                record.add(
                    f'a task has had no run since {lost_at:.1f}, '
                    f'{_free_minions(platform)} minions are free and allowed'
                )
                for _, named, good in advice.calls[-3:]:
                    record.add(f'advice asked for {named}, good: {good}')
                return True
        return False
    finally:
        await platform.stop()


standins.run_case(case, FOLDER)
