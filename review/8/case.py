"""Tasks that last end as done; nobody cancels their job."""

import asyncio
import time
from pathlib import Path

from common_2 import TROUBLE, run

from features.processes.workers import Run, Worker

JOB = '00000000000000e1'
STARTUP_S = 0.6
ENDS_S = 5.0
WATCH_S = 20.0
# 6 s after its last run a task has to run, and may be away for 3 s on end.
MISSING_S = 9.0


class LastingRun(Run):
    """A run of a task that lasts: at work after a short startup."""

    def row(self):
        """Return the run as a list of runs shows it."""
        worked = time.monotonic() - self.began_at
        return [
            self.task,
            self.number,
            '',
            100 if worked > STARTUP_S else 20,
            0,
        ]


class LastingWorker(Worker):
    """Its first run of each task ends, as done or as failed."""

    def _start(self, life, asked, caller):
        known = asked['Task'] in life.runs
        answer = super()._start(life, asked, caller)
        current = life.runs.get(asked['Task'])
        if current is not None and not known:
            current.__class__ = LastingRun
            if current.number == 1:
                current.ends_at = current.began_at + ENDS_S
                current.how = 'done' if TROUBLE else 'failed'
        return answer


async def play(cell):
    """Play the case; return how the rule was broken."""
    fields = {
        'Count': 2,
        'Cpu': 1000,
        'MemMb': 64,
        'EstimateMs': 600,
        'LongRunning': True,
        'AllowConcurrent': True,
    }
    job = cell.new_job(name=JOB, steps=[(fields, {'cpu': 1000, 'work_s': 500})])
    await cell.submit(job)
    missing_since = {}
    broken = set()
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        for task in job.tasks:
            if cell.judge.active[task] or not cell.judge.starts[task]:
                missing_since.pop(task, None)
            elif now - missing_since.setdefault(task, now) > MISSING_S:
                broken.add(task)
    state = await cell.shown(job)
    return [
        f'LOST: {task} lasts, its job was not cancelled and is shown as '
        f'{state}, and it has not run for {MISSING_S:g} s on an empty pool'
        for task in sorted(broken)
    ]


run(Path(__file__).parent, play, workers=6, annex=2, worker_type=LastingWorker)
